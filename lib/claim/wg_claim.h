#pragma once
/*
    wg_claim.h -- run-once claims, applied from the replicated log

    WHAT IT DOES
        A request that may not be repeated is claimed by (workspace, idempotency key) before its
   first byte goes to a target. The first claim wins; any later one learns what became of the first.
        Pure: time is a number of seconds that travels in the log.

    FEATURES
        - a claim resent by the same attempt is granted again; by another attempt, never
        - the outcome (verdict, status, a small body) is kept for later arrivals
        - a claim whose request did not run is taken back, so that a retry may run
        - records are kept WGK_KEEP_SECONDS_DEFAULT and at most `claims_max`; when all are younger
          than that, new claims are refused rather than old ones forgotten

    USE
        1. wgk_claims* c = wgk_setup(&(wgk_desc){.claims_max = 65536}, &error);
        2. outcome = wgk_claim(c, &claim, &end);
        3. wgk_end(c, &end);
        4. wgk_dump() / wgk_load() for snapshots; wgk_shutdown(c);

    THE CALLER OWNS
        messages passed in; `end` filled in by wgk_claim() borrows until the next call.
*/
#include "wg_wire.h"

enum {
    WGK_CLAIMS_DEFAULT = 65536,
    WGK_KEEP_SECONDS_DEFAULT = 24 * 3600,
    WGK_KEY_SIZE = 16,
    WGK_BODY_MAX = 2048 /* bytes of an outcome's body that are kept */
};

typedef enum {
    WGK_OUTCOME_DEFAULT = 0,
    WGK_OUTCOME_GRANTED,   /* run it */
    WGK_OUTCOME_ENDED,     /* the first one ended; its end is filled in */
    WGK_OUTCOME_RUNNING,   /* the first one has not ended, as far as is known: it may have run */
    WGK_OUTCOME_FULL,      /* no room; nothing was claimed */
    WGK_OUTCOME_NO_LEADER, /* set by daemons: nothing was claimed */
    WGK_OUTCOME_NUM
} wgk_outcome;

typedef struct {
    int claims_max;
    int keep_seconds;
} wgk_desc;

typedef struct {
    int claims;
    uint64_t granted;
    uint64_t repeated;
    uint64_t refused_full;
} wgk_stats;

typedef struct wgk_claims wgk_claims;

/* NULL with an error (WG_ERROR_INVALID) when a field of `desc` is wrong. */
wgk_claims* wgk_setup(const wgk_desc* desc, GError** error);
void wgk_shutdown(wgk_claims* claims);
/* A claim comes out of the log. *end borrows the end of an earlier claim, or is NULL. */
wgk_outcome wgk_claim(wgk_claims* claims, const Wgpb__Claim* claim, const Wgpb__ClaimEnd** end);
/* The end of a claim's request. NOT_RUN takes the claim back. Ignored for another attempt. */
void wgk_end(wgk_claims* claims, const Wgpb__ClaimEnd* end);
/* The end that is kept for a claim of this workspace and key, or NULL. */
const Wgpb__ClaimEnd* wgk_find_end(const wgk_claims* claims, const Wgpb__ClaimEnd* like);
wgk_stats wgk_query_stats(const wgk_claims* claims);
/* Snapshot form; freed by wgpb__claim_state__free_unpacked(). */
Wgpb__ClaimState* wgk_dump(const wgk_claims* claims);
bool wgk_load(wgk_claims* claims, const Wgpb__ClaimState* state);
