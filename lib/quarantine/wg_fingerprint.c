/* wg_fingerprint.c -- see wg_fingerprint.h */
#include "wg_fingerprint.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* Hashes the length first, so that different splits into fields have different hashes. */
static void _wg_fingerprint_add(XXH3_state_t* state, const void* bytes, size_t size) {
    uint64_t length = size;
    XXH3_64bits_update(state, &length, sizeof length);
    XXH3_64bits_update(state, bytes, size);
}

static void _wg_fingerprint_add_body(XXH3_state_t* state, struct evbuffer* body) {
    int num = evbuffer_peek(body, -1, NULL, NULL, 0);
    struct evbuffer_iovec* pieces = g_new(struct evbuffer_iovec, num + 1);
    evbuffer_peek(body, -1, NULL, pieces, num);
    for (int i = 0; i < num; i++) {
        XXH3_64bits_update(state, pieces[i].iov_base, pieces[i].iov_len);
    }
    g_free(pieces);
}

uint64_t wg_fingerprint_seed(const char* fleet_key) {
    uint8_t digest[WG_KEY_HASH_SIZE];
    uint64_t seed;
    wg_key_hash(fleet_key, digest);
    memcpy(&seed, digest, sizeof seed);
    return seed;
}

uint64_t wg_fingerprint(const wg_fingerprint_desc* desc) {
    XXH3_state_t state;
    XXH3_INITSTATE(&state);
    XXH3_64bits_reset_withSeed(&state, desc->seed);
    _wg_fingerprint_add(&state, desc->host.text, desc->host.size);
    _wg_fingerprint_add(&state, desc->path.text, desc->path.size);
    _wg_fingerprint_add(&state, desc->workspace, desc->workspace ? strlen(desc->workspace) : 0);
    if (desc->body) {
        _wg_fingerprint_add_body(&state, desc->body);
    }
    uint64_t fingerprint = XXH3_64bits_digest(&state);
    return fingerprint ? fingerprint : 1;
}

uint64_t wg_fingerprint_of_part(uint64_t seed, const char* service, uint64_t part) {
    XXH3_state_t state;
    XXH3_INITSTATE(&state);
    XXH3_64bits_reset_withSeed(&state, seed);
    _wg_fingerprint_add(&state, service, strlen(service));
    _wg_fingerprint_add(&state, &part, sizeof part);
    uint64_t fingerprint = XXH3_64bits_digest(&state);
    return fingerprint ? fingerprint : 1;
}
