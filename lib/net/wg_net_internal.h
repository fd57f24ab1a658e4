#pragma once
/* wg_net_internal.h -- packed frames inside lib/net; not installed */
#include <event2/buffer.h>

#include "wg_net.h"

/* Unsent bytes of shared frames; a frame counts once, on however many links it is queued. */
typedef struct {
    size_t waiting;
} _wgn_budget;

struct wgn_frame {
    int ref_count;
    int links_pending;   /* links that have not written the frame yet */
    _wgn_budget* budget; /* set while `links_pending` is not 0 */
    wgw_type type;
    bool compressed;
    size_t size; /* bytes of payload */
    uint8_t* payload;
};

/* Appends a frame by reference. It counts in the budget until all links have written it; the budget
   has to outlive the links. */
void _wgn_frame_append(wgn_frame* frame, struct evbuffer* out, _wgn_budget* budget);
/* Unpacks a compressed payload of at most `max` bytes; NULL if it is damaged or longer. The caller
   frees it. */
GByteArray* _wgn_decompress(const uint8_t* payload, size_t size, size_t max);
