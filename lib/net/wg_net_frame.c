/* wg_net_frame.c -- messages packed once and sent on many links; see wg_net.h */
#include <event2/buffer.h>
#include <zstd.h>

#include "wg_net_internal.h"

enum {
    _WGN_COMPRESSED_MIN = 2048, /* bytes; shorter payloads gain little */
    _WGN_COMPRESSION_LEVEL = 3  /* of zstd, 1 to 22 */
};

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

GByteArray* _wgn_decompress(const uint8_t* payload, size_t size, size_t max) {
    unsigned long long content = ZSTD_getFrameContentSize(payload, size);
    if (content > max) {
        return NULL; /* also when the header is damaged */
    }
    GByteArray* bytes = g_byte_array_new();
    g_byte_array_set_size(bytes, (guint)content);
    if (ZSTD_decompress(bytes->data, bytes->len, payload, size) != content) {
        g_byte_array_unref(bytes);
        return NULL;
    }
    return bytes;
}

/* ---- public functions ---------------------------------------------------------------------- */

wgn_frame* wgn_frame_pack(wgw_type type, const ProtobufCMessage* message) {
    wgn_frame* frame = g_new0(wgn_frame, 1);
    frame->ref_count = 1;
    frame->type = type;
    frame->size = protobuf_c_message_get_packed_size(message);
    frame->payload = g_malloc(frame->size);
    protobuf_c_message_pack(message, frame->payload);
    return frame;
}

wgn_frame* wgn_frame_pack_compressed(wgw_type type, const ProtobufCMessage* message) {
    wgn_frame* frame = wgn_frame_pack(type, message);
    if (frame->size < _WGN_COMPRESSED_MIN) {
        return frame;
    }
    size_t bound = ZSTD_compressBound(frame->size);
    uint8_t* packed = g_malloc(bound);
    size_t size = ZSTD_compress(packed, bound, frame->payload, frame->size, _WGN_COMPRESSION_LEVEL);
    if (ZSTD_isError(size) || size >= frame->size) {
        g_free(packed);
        return frame;
    }
    g_free(frame->payload);
    frame->payload = g_realloc(packed, size);
    frame->size = size;
    frame->compressed = true;
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
