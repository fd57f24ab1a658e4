/* wg_net_frame.c -- messages packed once and sent on many links; see wg_net.h */
#include <event2/buffer.h>

#include "wg_net_internal.h"

/* ---- helpers ------------------------------------------------------------------------------- */

static void _wgn_frame_on_written(const void* data, size_t size, void* user_data) {
    (void)data;
    (void)size;
    wgn_frame* frame = user_data;
    if (--frame->links_pending == 0) {
        WG_ASSERT(frame->budget->waiting >= frame->size);
        frame->budget->waiting -= frame->size;
        frame->budget = NULL;
    }
    wgn_frame_unref(frame);
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgn_frame_append(wgn_frame* frame, struct evbuffer* out, _wgn_budget* budget) {
    WG_ASSERT(!frame->budget || frame->budget == budget);
    if (frame->links_pending++ == 0) {
        frame->budget = budget;
        budget->waiting += frame->size;
    }
    wgn_frame_ref(frame);
    evbuffer_add_reference(out, frame->payload, frame->size, _wgn_frame_on_written, frame);
}

/* ---- public functions ---------------------------------------------------------------------- */

wgn_frame* wgn_frame_pack(wgw_type type, const ProtobufCMessage* message) {
    wgn_frame* frame = g_new0(wgn_frame, 1);
    GByteArray* packed = wgw_pack(message);
    frame->ref_count = 1;
    frame->type = type;
    frame->size = packed->len;
    frame->payload = g_byte_array_free(packed, FALSE);
    return frame;
}

wgn_frame* wgn_frame_ref(wgn_frame* frame) {
    frame->ref_count++;
    return frame;
}

void wgn_frame_unref(wgn_frame* frame) {
    if (frame && --frame->ref_count == 0) {
        WG_ASSERT(frame->links_pending == 0);
        g_free(frame->payload);
        g_free(frame);
    }
}
