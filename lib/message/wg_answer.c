/* wg_answer.c -- see wg_answer.h */
#include "wg_answer.h"

enum {
    STATUS_SWITCHING_PROTOCOLS = 101
};

void wg_answer_begin(wg_answer* answer, const wg_answer_desc* desc) {
    wg_answer_clear(answer);
    answer->desc = *desc;
    answer->desc.head_max = desc->head_max ? desc->head_max : WG_ANSWER_HEAD_MAX_DEFAULT;
}

void wg_answer_clear(wg_answer* answer) {
    g_free(answer->bytes);
    *answer = (wg_answer){0};
}

/* Reads one head, which may be that of an informational answer. */
static wg_answer_state _wg_answer_read_one(wg_answer* answer, struct evbuffer* in) {
    size_t have = evbuffer_get_length(in);
    const char* bytes = (const char*)evbuffer_pullup(in, (ev_ssize_t)have);
    size_t size = bytes ? wg_message_head_size(bytes, have) : 0;
    if (answer->heads_size + (size ? size : have) > answer->desc.head_max) {
        return WG_ANSWER_TOO_LONG;
    }
    if (size == 0) {
        return WG_ANSWER_MORE;
    }
    answer->heads_size += size;
    g_free(answer->bytes);
    answer->bytes = g_malloc(size);
    evbuffer_remove(in, answer->bytes, size);
    bool good =
        wg_message_parse_answer(answer->bytes, size, answer->desc.bodiless, &answer->head) &&
        answer->head.status != STATUS_SWITCHING_PROTOCOLS;
    return good ? WG_ANSWER_COMPLETE : WG_ANSWER_MALFORMED;
}

wg_answer_state wg_answer_read_head(wg_answer* answer, struct evbuffer* in) {
    wg_answer_state state;
    do {
        state = _wg_answer_read_one(answer, in);
    } while (state == WG_ANSWER_COMPLETE && answer->head.status < 200);
    if (state == WG_ANSWER_COMPLETE) {
        wg_body_begin(&answer->body, &answer->head);
    }
    return state;
}

wg_answer_state wg_answer_read_body(wg_answer* answer, struct evbuffer* in, struct evbuffer* out) {
    switch (wg_body_read(&answer->body, in, out)) {
    case WG_BODY_MORE:
        return WG_ANSWER_MORE;
    case WG_BODY_COMPLETE:
        return WG_ANSWER_COMPLETE;
    default:
        return WG_ANSWER_MALFORMED;
    }
}

bool wg_answer_is_ended_by(const wg_answer* answer, bool orderly, bool received) {
    return answer->body.framing == WG_FRAMING_CLOSE && orderly && received;
}
