#pragma once
/* wg_net_internal.h -- packed frames as the files of lib/net see them; not installed */
#include <event2/buffer.h>

#include "wg_net.h"

/* Bytes of frames that wait on links, each frame counted once however many links it waits on. */
typedef struct {
    size_t waiting;
} _wgn_budget;

struct wgn_frame {
    int references;
    int waits;           /* links that it was not written out to yet */
    _wgn_budget* budget; /* while it waits */
    wgw_type type;
    size_t size; /* of the payload */
    uint8_t* payload;
};

/* Append a frame without copying it; it counts in the budget until all links have written it out.
   The budget has to outlive the links. */
void _wgn_frame_append(wgn_frame* frame, struct evbuffer* out, _wgn_budget* budget);
