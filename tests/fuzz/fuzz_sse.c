/* fuzz_sse.c -- libFuzzer: splitting of a target's stream into server-sent events */
#include "wg_sse.h"

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
    struct evbuffer* in = evbuffer_new();
    struct evbuffer* out = evbuffer_new();
    evbuffer_add(in, data, size);
    wgx_sse_event event;
    while (wgx_sse_next(in, out, &event) == WGX_SSE_EVENT) {
    }
    WG_ASSERT(evbuffer_get_length(in) + evbuffer_get_length(out) == size);
    evbuffer_free(in);
    evbuffer_free(out);
    return 0;
}
