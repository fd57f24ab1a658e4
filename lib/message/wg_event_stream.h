#pragma once
/*
    wg_event_stream.h -- splits a buffer into server-sent events

    WHAT IT DOES
        Splits a stream into complete events at its blank lines, so that a failed stream can be
        resumed at another target after the last complete event. Bytes are forwarded unchanged.

    THE CALLER OWNS
        both buffers.
*/
#include "wg_base.h"

#include <event2/buffer.h>

enum {
    WG_EVENT_BYTES_MAX = 1 << 20 /* bytes of one event */
};

typedef enum {
    WG_EVENT_STREAM_MORE = 0,
    WG_EVENT_STREAM_EVENT,
    WG_EVENT_STREAM_BAD /* the event exceeds WG_EVENT_BYTES_MAX */
} wg_event_stream_result;

/* Size of the first event, including the blank line that ends it; 0 if it is incomplete. */
size_t wg_event_size(const char* bytes, size_t size);
/* Reads the next line of an event, without its line ending, and advances `at`. False at `end`. */
bool wg_event_next_line(const char** at, const char* end, const char** line, size_t* size);
/* Whether bytes that follow the last complete event begin another one. Blank lines and comments do
   not. */
bool wg_event_is_open(const char* bytes, size_t size);
/* Moves one complete event from `in` to `out`. `id` is set if the event has one that fits. */
wg_event_stream_result wg_event_stream_next(struct evbuffer* in, struct evbuffer* out, char* id,
                                            size_t id_size);
