#pragma once
/*
    wg_fingerprint.h -- what makes two requests the same, as one number

    WHAT IT DOES
        Hashes host, path with query, workspace and body of a request. Callers that send a request
        again, at any entry host, send the same fingerprint; another workspace never does, whatever
        it sends.

    FEATURES
        - the seed comes out of the fleet key: the same on all hosts, and nobody outside can prepare
          two requests that collide
        - the body is hashed where it lies, however its buffer is cut

    USE
        1. uint64_t seed = wg_fingerprint_seed(fleet_key);          // once
        2. uint64_t f = wg_fingerprint(&(wg_fingerprint_desc){.seed = seed, .path = path, ...});

    THE CALLER OWNS
        everything passed in.
*/
#include "wg_message.h"

typedef struct {
    uint64_t seed;
    wg_text host;
    wg_text path;          /* with its query */
    const char* workspace; /* its name; NULL: none */
    struct evbuffer* body; /* NULL: none */
} wg_fingerprint_desc;

/* The seed that all hosts with this fleet key use. */
uint64_t wg_fingerprint_seed(const char* fleet_key);
/* Never 0. */
uint64_t wg_fingerprint(const wg_fingerprint_desc* desc);
