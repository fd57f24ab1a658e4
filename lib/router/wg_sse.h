#pragma once
/*
    wg_sse.h -- server-sent events, cut out of a stream (WHATWG HTML, section 9.2); private

    Cut by wg_event_stream.h; this reads what an event costs. Counts tokens by the event's id where
   there is one, else by events with data.
*/
#include "wg_base.h"

#include <event2/buffer.h>

typedef enum {
    WGX_SSE_DEFAULT = 0,
    WGX_SSE_MORE,     /* no whole event yet */
    WGX_SSE_EVENT,    /* one event moved out */
    WGX_SSE_TOO_LONG, /* the event exceeds WG_EVENT_BYTES_MAX */
    WGX_SSE_NUM
} wgx_sse_result;

typedef struct {
    bool done;    /* data was [DONE] */
    bool data;    /* it carries data */
    int64_t id;   /* of the event, -1 without one */
    bool usage;   /* it carries "usage" */
    int64_t cost; /* prompt and completion tokens of "usage" */
} wgx_sse_event;

/* Move the next whole event from `in` to the end of `out`. */
wgx_sse_result wgx_sse_next(struct evbuffer* in, struct evbuffer* out, wgx_sse_event* event);
/* Tokens in a JSON answer's "usage", or -1. */
int64_t wgx_usage_cost(const char* text, size_t size);
