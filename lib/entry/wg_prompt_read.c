/* wg_prompt_read.c -- see wg_prompt_read.h */
#include "wg_prompt_read.h"

#include <string.h>

/* ---- helpers --------------------------------------------------------------------------------- */

/* Returns a number of tokens as stated by a caller at the start of `text`, at most `max`; 0 if it
   is negative or no number. Blanks and a sign may precede it, and anything may follow. */
static uint32_t _wg_read_tokens(wg_text text, uint32_t max) {
    size_t at = 0;
    uint64_t tokens = 0;
    while (at < text.size && g_ascii_isspace(text.text[at])) {
        at++;
    }
    bool negative = at < text.size && text.text[at] == '-';
    at += at < text.size && (text.text[at] == '-' || text.text[at] == '+');
    while (at < text.size && g_ascii_isdigit(text.text[at]) && tokens < max) {
        tokens = 10 * tokens + (uint64_t)(text.text[at] - '0');
        at++;
    }
    return negative ? 0 : (uint32_t)MIN(tokens, max);
}

/* Takes the text before the next `separator`, or all of it, off `rest`. False if `separator` does
   not occur. */
static bool _wg_text_take(wg_text* rest, char separator, wg_text* taken) {
    const char* end = rest->size ? memchr(rest->text, separator, rest->size) : NULL;
    size_t size = end ? (size_t)(end - rest->text) : rest->size;
    size_t step = end ? size + 1 : size;
    *taken = (wg_text){rest->text, size};
    *rest = (wg_text){rest->text + step, rest->size - step};
    return end != NULL;
}

static wg_text _wg_text_strip(wg_text text) {
    while (text.size && g_ascii_isspace(text.text[0])) {
        text = (wg_text){text.text + 1, text.size - 1};
    }
    while (text.size && g_ascii_isspace(text.text[text.size - 1])) {
        text.size--;
    }
    return text;
}

/* ---- functions ------------------------------------------------------------------------------- */

bool wg_prompt_read(wg_text parts, wg_text tokens, wg_prompt* prompt) {
    *prompt = (wg_prompt){0};
    uint32_t sum = 0;
    for (int i = 0; parts.size > 0 && i < WG_PROMPT_PARTS_MAX; i++) {
        wg_text part;
        wg_text id;
        _wg_text_take(&parts, ',', &part);
        if (!_wg_text_take(&part, ':', &id)) {
            continue;
        }
        id = _wg_text_strip(id);
        prompt->parts[prompt->num] = wg_hash(id.text, id.size, 0);
        prompt->sizes[prompt->num] = _wg_read_tokens(part, WG_PROMPT_TOKENS_MAX - sum);
        sum += prompt->sizes[prompt->num];
        prompt->num++;
    }
    prompt->tokens = sum;
    if (tokens.text) {
        wg_text total;
        _wg_text_take(&tokens, ',', &total);
        prompt->tokens = MAX(sum, _wg_read_tokens(total, WG_PROMPT_TOKENS_MAX));
        prompt->answer = _wg_read_tokens(tokens, WG_PROMPT_TOKENS_MAX);
    }
    return prompt->num > 0;
}

wg_text wg_prompt_part_id(wg_text parts, int at) {
    while (parts.size > 0) {
        wg_text part;
        wg_text id;
        _wg_text_take(&parts, ',', &part);
        if (_wg_text_take(&part, ':', &id) && at-- == 0) {
            return _wg_text_strip(id);
        }
    }
    return (wg_text){0};
}
