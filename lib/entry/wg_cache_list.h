#pragma once
/*
    wg_cache_list.h -- a target's own list of the prompt parts that it holds, read out of its answer

    The answer is a JSON object whose member "held" has one array a part: a text that is not used,
    the part's id, the tokens of it that are held, the model.
*/
#include "wg_base.h"

/* Ids of the parts of which tokens are held, as wg_prompt names them (uint64_t); NULL when the
   answer cannot be read. The caller frees the array. */
GArray* wg_cache_list_parse(const char* bytes, size_t size);
