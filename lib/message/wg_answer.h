#pragma once
/*
    wg_answer.h -- reads one answer, strictly, from the bytes of a connection; a pure state machine

    WHAT IT DOES
        Reads the head and the body of an answer as they arrive, with the parsers of wg_message.h,
        and decides whether the answer is whole. All answers that the project reads are read by
        this.

    FEATURES
        - what is no answer is malformed: a status out of 100 to 599 or not of three digits, a
          name with a blank, a control byte or a high byte, a folded line, two lengths, a length
          with a sign
        - informational answers are passed over and count to the size of the head; 101 is
          malformed, as nothing asks to switch protocols
        - an answer with neither a length nor chunks is ended by its connection only if that
          closed in order and the peer had received the whole request: a peer that leaves before
          that has not answered it, whatever it sent

    USE
        1. wg_answer_begin(&answer, &(wg_answer_desc){.bodiless = false});
        2. wg_answer_read_head(&answer, input) until it is not WG_ANSWER_MORE; then the same with
           wg_answer_read_body(&answer, input, body)
        3. if the connection ends: wg_answer_is_ended_by(&answer, ...)
        4. wg_answer_clear(&answer)

    THE CALLER OWNS
        the buffers. Texts of `head` are valid until the next begin or clear.
*/
#include "wg_message.h"

enum {
    WG_ANSWER_HEAD_MAX_DEFAULT = 16 * 1024 /* bytes, informational answers included */
};

typedef struct {
    bool bodiless;   /* the request was a HEAD */
    size_t head_max; /* bytes; default WG_ANSWER_HEAD_MAX_DEFAULT */
} wg_answer_desc;

typedef enum {
    WG_ANSWER_MORE = 0, /* needs more bytes */
    WG_ANSWER_COMPLETE, /* the head or the body, whichever was read */
    WG_ANSWER_TOO_LONG, /* the head */
    WG_ANSWER_MALFORMED
} wg_answer_state;

typedef struct {
    wg_answer_desc desc;
    size_t heads_size; /* bytes of the heads so far, informational ones included */
    char* bytes;       /* storage that `head` points into */
    wg_message_head head;
    wg_body body;
} wg_answer;

/* Begins an answer; one that was read before is cleared. `answer` is zero-initialised at first. */
void wg_answer_begin(wg_answer* answer, const wg_answer_desc* desc);
void wg_answer_clear(wg_answer* answer);
wg_answer_state wg_answer_read_head(wg_answer* answer, struct evbuffer* in);
/* Moves body bytes to `out`. Call it once the head is complete. */
wg_answer_state wg_answer_read_body(wg_answer* answer, struct evbuffer* in, struct evbuffer* out);
/* Whether the end of the connection is the end of the answer, whose head is complete. `orderly`:
   the peer closed, without an error; `received`: it had received the whole request. */
bool wg_answer_is_ended_by(const wg_answer* answer, bool orderly, bool received);
