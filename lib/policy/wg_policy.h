#pragma once
/*
    wg_policy.h -- how long a request may wait, for what, and how hard it is tried, as pure
   functions

    WHAT IT DOES
        From what a request's workspace lately had, what it is owed, and the time that the request
        has left, it gives the limits within which a target may be given the request.

    FEATURES
        - nobody fills targets beyond the tightest objective of the service
        - whoever has more than others gives way: it waits behind less, takes fewer slots, is tried
          less often, and has no shared parts read again for it
        - whoever has far less than others is sent rather late than refused

    USE
        wg_policy_terms t = {.counts = true, .used = used, .levels = &levels, ...};
        wg_admit_limits limits = wg_policy_limits(&t, now);

    THE CALLER OWNS
        levels and margin, for as long as the terms are used.
*/
#include "wg_admit.h"
#include "wg_fair.h"

/* What is known of a request. */
typedef struct {
    bool counts; /* it has a prompt and is charged to a workspace */
    double used; /* tokens that the workspace lately had in the whole fleet */
    const wg_fair_levels* levels;
    const wg_fair_margin* margin;
    bool has_prompt;
    bool sent_before; /* another attempt went out: patience no longer matters */
    bool relaxed;     /* no target would answer in time: rather late than refused */
    wg_time started;
    wg_time objective; /* of its route, to the first event */
    wg_time tightest;  /* the tightest objective of the service */
} wg_policy_terms;

/* Longest wait here, after its start, before a request is refused. */
wg_time wg_policy_wait(wg_time objective);
/* Longest expected wait for the first event at which the request is sent. */
wg_time wg_policy_limit(const wg_policy_terms* terms, wg_time now);
/* Longest expected time to the answer at which a request without a prompt is sent. */
wg_time wg_policy_plain_limit(const wg_policy_terms* terms, wg_time now);
wg_admit_limits wg_policy_limits(const wg_policy_terms* terms, wg_time now);
/* Part of a target's slots that may be taken before this request. */
double wg_policy_slots_share(const wg_policy_terms* terms);
/* May shared parts be read again elsewhere rather than refuse the request? */
bool wg_policy_may_spill(const wg_policy_terms* terms);
/* Is it sent though it may come late, rather than refused? */
bool wg_policy_is_modest(const wg_policy_terms* terms);
/* Coordinators that may be asked in one try; 0: it is not sent. */
int wg_policy_asks_max(const wg_policy_terms* terms);
/* Microseconds between two tries of a request that waits. */
wg_time wg_policy_try_gap(const wg_policy_terms* terms);
/* Microseconds after which a refused request may come back, drawn anew for each. */
wg_time wg_policy_retry_after(uint64_t seed, uint64_t counter);
/* The same while all targets rest for `rest` microseconds, of a caller who has `left` of them. */
wg_time wg_policy_retry_after_rest(uint64_t seed, uint64_t counter, wg_time rest, wg_time left);
