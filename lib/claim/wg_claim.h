#pragma once
/*
    wg_claim.h -- run-once claims, applied from the replicated log

    WHAT IT DOES
        A request that must not be repeated is claimed by (workspace, idempotency key) before its
        first byte goes to a target. The first claim wins; later ones get its outcome.
        Pure: time is a number of seconds carried in the log.

    FEATURES
        - a claim resent by the same attempt is granted again; by another attempt, never
        - the outcome (verdict, status, a small body) is kept for later requests
        - the claim of a request that did not run is removed, so that a retry may run
        - records are kept for `keep_seconds` and at most `claims_max` of them; when all are
          younger, new claims are refused rather than old ones evicted

    USE
        1. wgk_claims* c = wgk_setup(&(wgk_desc){.claims_max = 65536}, &error);
        2. outcome = wgk_claim(c, &claim, &end);
        3. wgk_end(c, &end);
        4. wgk_dump() / wgk_load() for snapshots; wgk_shutdown(c);

    THE CALLER OWNS
        messages passed in; the `end` set by wgk_claim() is borrowed until the next call.
*/
#include "wg_wire.h"

enum {
    WGK_CLAIMS_DEFAULT = 65536,
    WGK_KEEP_SECONDS_DEFAULT = 24 * 3600,
    WGK_KEY_SIZE = 16,
    WGK_BODY_MAX = 2048 /* bytes of an answer's body that are kept */
};

typedef enum {
    WGK_OUTCOME_DEFAULT = 0,
    WGK_OUTCOME_GRANTED,   /* the request may run */
    WGK_OUTCOME_ENDED,     /* the earlier attempt has ended; its end is filled in */
    WGK_OUTCOME_RUNNING,   /* another attempt has not ended; it may have run */
    WGK_OUTCOME_FULL,      /* claims_max reached; nothing was claimed */
    WGK_OUTCOME_NO_LEADER, /* set by daemons, never by this library: nothing was claimed */
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

/* Returns NULL with WG_ERROR_INVALID if a field of `desc` is out of range. */
wgk_claims* wgk_setup(const wgk_desc* desc, GError** error);
void wgk_shutdown(wgk_claims* claims);
/* Applies a claim from the log. `*end` borrows the end of an earlier claim, or is NULL. */
wgk_outcome wgk_claim(wgk_claims* claims, const Wgpb__Claim* claim, const Wgpb__ClaimEnd** end);
/* Applies the end of a claimed request. WG_VERDICT_NOT_RUN removes the claim. Ignored if `end`
   is of another attempt or the claim has ended already. */
void wgk_end(wgk_claims* claims, const Wgpb__ClaimEnd* end);
/* Returns the end kept for the workspace and key of `like`, borrowed, or NULL. */
const Wgpb__ClaimEnd* wgk_find_end(const wgk_claims* claims, const Wgpb__ClaimEnd* like);
wgk_stats wgk_query_stats(const wgk_claims* claims);
/* Returns the state for a snapshot; free it with wgpb__claim_state__free_unpacked(). */
Wgpb__ClaimState* wgk_dump(const wgk_claims* claims);
bool wgk_load(wgk_claims* claims, const Wgpb__ClaimState* state);
