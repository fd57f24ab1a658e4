#pragma once
/*
    wg_sse.h -- server-sent events of a stream (WHATWG HTML, section 9.2); private to lib/router

    Splits a stream into events with wg_event_stream.h and reads the fields of an event that matter
    for relaying and cost: its id, its data and its "usage".
*/
#include "wg_base.h"

#include <event2/buffer.h>

typedef enum {
    WGX_SSE_DEFAULT = 0,
    WGX_SSE_INCOMPLETE, /* no complete event yet */
    WGX_SSE_EVENT,      /* one event was moved to `out` */
    WGX_SSE_TOO_LONG,   /* the event exceeds WG_EVENT_BYTES_MAX */
    WGX_SSE_NUM
} wgx_sse_result;

typedef struct {
    bool done;    /* data was [DONE] */
    bool data;    /* the event has a data line */
    int64_t id;   /* "id" of the event; -1: none */
    bool usage;   /* the data has a "usage" object */
    int64_t cost; /* prompt and completion tokens of "usage" */
} wgx_sse_event;

/* Moves the next complete event from `in` to the end of `out`. */
wgx_sse_result wgx_sse_next(struct evbuffer* in, struct evbuffer* out, wgx_sse_event* event);
/* Prompt and completion tokens in the "usage" of a JSON answer; -1 without one. */
int64_t wgx_usage_cost(const char* text, size_t size);
