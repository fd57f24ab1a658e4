#pragma once
/*
    wg_term.h -- forced recoveries of the replica set, counted in the terms of its leaders

    A leader's term consists of the number of forced recoveries of the set (high bits) and the
    number of elections since the last one (low bits). Terms never decrease, so a replica set that
    was replaced by a recovery can reach no term of the recovered set.
*/
#include <stdint.h>

enum {
    /* A set cannot hold 2^30 elections in years. */
    WG_TERM_ELECTION_BITS = 30
};

/* Forced recoveries of the set before `term`; 0: none. */
static inline uint64_t wg_term_recovery(uint64_t term) {
    return term >> WG_TERM_ELECTION_BITS;
}

/* The lowest term of a set that was recovered `recovery` times. */
static inline uint64_t wg_recovery_first_term(uint64_t recovery) {
    return recovery << WG_TERM_ELECTION_BITS;
}
