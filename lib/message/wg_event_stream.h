#pragma once
/*
    wg_event_stream.h -- whole server-sent events out of a buffer

    WHAT IT DOES
        Cuts a stream at its blank lines, so that a broken stream can go on elsewhere after the last
        whole event. Bytes are passed on as they came.

    THE CALLER OWNS
        both buffers.
*/
#include "wg_base.h"

#include <event2/buffer.h>

enum {
    WG_EVENT_BYTES_MAX = 1 << 20 /* of one event */
};

typedef enum {
    WG_EVENT_STREAM_MORE = 0,
    WG_EVENT_STREAM_EVENT,
    WG_EVENT_STREAM_BAD /* an event is longer than WG_EVENT_BYTES_MAX */
} wg_event_stream_result;

/* Bytes up to and with the blank line that ends the first event; 0 when it is not whole. */
size_t wg_event_size(const char* bytes, size_t size);
/* Next line of an event, without its end; `at` moves behind it. False at `end`. */
bool wg_event_line(const char** at, const char* end, const char** line, size_t* size);
/* Move one whole event from `in` to `out`; `id` is set when the event names one. */
wg_event_stream_result wg_event_stream_next(struct evbuffer* in, struct evbuffer* out, char* id,
                                            size_t id_size);
