#pragma once
/*
    wg_fingerprint.h -- fingerprints that identify repeated requests

    WHAT IT DOES
        Hashes host, path with query, workspace and body of a request. A request that a caller
        repeats has the same fingerprint at every entry host; requests of different workspaces have
        different ones, whatever they contain. Also hashes one part of a prompt, which has the same
        fingerprint in all requests to a service.

    FEATURES
        - the seed is derived from the fleet key: it is the same on all hosts, and outsiders cannot
          construct collisions
        - the body is hashed in place, independent of the segments of its buffer

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
    wg_text path;          /* including the query */
    const char* workspace; /* name of the workspace; NULL: none */
    struct evbuffer* body; /* NULL: none */
} wg_fingerprint_desc;

/* Derives the seed shared by all hosts with this fleet key. */
uint64_t wg_fingerprint_seed(const char* fleet_key);
/* Returns the fingerprint, never 0. */
uint64_t wg_fingerprint(const wg_fingerprint_desc* desc);
/* Returns the fingerprint of a part of a prompt, by the hash of its id, never 0. Services may run
   different software, so what crashes the targets of one need not crash those of another. */
uint64_t wg_fingerprint_of_part(uint64_t seed, const char* service, uint64_t part);
