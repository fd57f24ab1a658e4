#pragma once
/*
    wg_policy.h -- wait limits and retry behaviour of requests, as pure functions

    WHAT IT DOES
        Computes the limits within which a target may be given a request from the recent usage of
        the request's workspace, its fair share, and the time that the request has left.

    FEATURES
        - no workspace may fill targets beyond the tightest objective of the service; with limits by
          route a long prompt may still take its own route's objective, as long as the prompts
          before it do not
        - a workspace above its fair share yields: its requests accept less queueing and fewer
          slots, are tried less often, and do not cause shared parts to be computed again; none
          yields while the service has room
        - requests of a workspace with little usage are sent late rather than refused
        - tells when a workspace far above its share may be served again

    USE
        wg_policy_terms t = {.counts = true, .used = used, .levels = &levels, ...};
        wg_admit_limits limits = wg_policy_limits(&t, now);

    THE CALLER OWNS
        levels and margin, for as long as the terms are used.
*/
#include "wg_admit.h"
#include "wg_fair.h"

/* The inputs of a policy decision for one request. */
typedef struct {
    bool counts; /* the request has a prompt and is charged to a workspace */
    double used; /* recent usage of the workspace in the whole fleet, tokens per unit of weight */
    const wg_fair_levels* levels;
    const wg_fair_margin* margin;
    bool has_prompt;
    bool has_room; /* the service has room for further prompts */
    /* the whole wait of a prompt is limited by its own route's objective, and only the part caused
       by prompts of others by the tightest one */
    bool route_limits;
    /* an earlier attempt was sent; the wait tolerance no longer limits admission requests */
    bool sent_before;
    /* no target would answer in time, and the request is sent late rather than refused */
    bool relaxed;
    wg_time started;
    wg_time objective;          /* objective of the request's route for the first event */
    wg_time tightest_objective; /* the tightest objective of any route of the service */
} wg_policy_terms;

/* Longest time that a request may be queued on this host before it is refused, microseconds.
   `queue_max`: limit of its workspace, microseconds; WG_TIME_NEVER: none. */
wg_time wg_policy_queue_time_max(wg_time objective, wg_time queue_max);
/* Longest expected wait for the first event at which the request is sent. */
wg_time wg_policy_limit(const wg_policy_terms* terms, wg_time now);
/* Longest expected time to the answer at which a request without a prompt is sent. */
wg_time wg_policy_plain_limit(const wg_policy_terms* terms, wg_time now);
wg_admit_limits wg_policy_limits(const wg_policy_terms* terms, wg_time now);
/* Fraction of a target's slots that may be in use before this request. */
double wg_policy_slots_share(const wg_policy_terms* terms);
/* True if the request may spill over to a target that has to compute its shared parts again. */
bool wg_policy_may_spill_over(const wg_policy_terms* terms);
/* True if the request is sent late rather than refused. */
bool wg_policy_may_be_late(const wg_policy_terms* terms);
/* Maximum number of admissions requested in one try; 0: the request is not sent. */
int wg_policy_admission_requests_max(const wg_policy_terms* terms);
/* Microseconds until the wait tolerance of a workspace that no target may be asked for is above 0,
   if the workspace gets nothing more and the level stays; 0: targets may be asked now. */
wg_time wg_policy_yield_time(const wg_policy_terms* terms);
/* Microseconds between two tries of a queued request. */
wg_time wg_policy_try_gap(const wg_policy_terms* terms);
/* Returns a random time in microseconds after which a refused caller may retry. */
wg_time wg_policy_retry_after(uint64_t seed, uint64_t counter);
/* Like wg_policy_retry_after(), for a request that has `left` microseconds until its objective: at
   most `percent` of that time, so that the next request can still be answered within the objective.
   Exactly as wg_policy_retry_after() if that is less than 5 ms, as with `percent` 0. */
wg_time wg_policy_retry_within(uint64_t seed, uint64_t counter, wg_time left, int64_t percent);
/* Like wg_policy_retry_after() while all targets are in backoff for `backoff_time` microseconds,
   for a caller that has `left` microseconds until its deadline. */
wg_time wg_policy_retry_after_backoff(uint64_t seed, uint64_t counter, wg_time backoff_time,
                                      wg_time left);
/* Returns a random time in microseconds after which a caller refused because of `yield_time` may
   retry: up to a third longer, and at most a third of the `left` microseconds until its deadline.
 */
wg_time wg_policy_retry_after_yield(uint64_t seed, uint64_t counter, wg_time yield_time,
                                    wg_time left);
/* Moves `after`, a time beyond `backoff_time`, past the time at which this host ends its backoff,
   which includes a jitter of its own; all in microseconds from now. */
wg_time wg_policy_return_after_host(wg_time after, wg_time backoff_time, wg_time host_time);
