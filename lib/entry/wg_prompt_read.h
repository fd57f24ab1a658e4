#pragma once
/* wg_prompt_read.h -- parser of what a caller's request states of its prompt

   Reads the fields in place, as this runs for each request, also for those that are refused. */
#include "wg_balance.h"
#include "wg_message.h"

/* `parts`: "id:tokens", separated by commas; `tokens`: "prompt,answer", or empty. More parts than
   WG_PROMPT_PARTS_MAX are left out, larger numbers are cut to WG_PROMPT_TOKENS_MAX. False if there
   is no part. */
bool wg_prompt_read(wg_text parts, wg_text tokens, wg_prompt* prompt);
/* Id of the part at index `at` of the prompt; its text is NULL if there is none. */
wg_text wg_prompt_part_id(wg_text parts, int at);
