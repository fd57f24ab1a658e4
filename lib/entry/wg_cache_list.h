#pragma once
/*
    wg_cache_list.h -- parser of a target's list of cached prompt parts

    The list is a JSON object whose member "held" has one array per part: an unused string, the id
    of the part, the number of its cached tokens, the model.
*/
#include "wg_base.h"

/* Returns the hashed ids (uint64_t, as in wg_prompt) of all parts with cached tokens, or NULL if
   the list is malformed. The caller frees the array. */
GArray* wg_cache_list_parse(const char* bytes, size_t size);
