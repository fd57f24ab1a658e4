/* wg_policy.c -- see wg_policy.h */
#include "wg_policy.h"

#include <math.h>

#include "wg_usage.h"

enum {
    /* Percentage of the objective that a request may be queued before it is refused. Low, since
       requests that are not placed soon rarely succeed. */
    _WG_POLICY_WAIT_PERCENT = 11,
    _WG_POLICY_WAIT_MIN = 5 * WG_USEC_PER_MSEC,
    /* Callers honour a Retry-After of up to their remaining time divided by this. */
    _WG_POLICY_HONOURED_DIVISOR = 3,
    /* Part of the yield time up to which a Retry-After is later, so that callers that were refused
       together do not return together. */
    _WG_POLICY_YIELD_JITTER_DIVISOR = 3,
    _WG_POLICY_ADMISSIONS_MAX = 3,
    _WG_POLICY_ADMISSIONS_MAX_LIMITED = 2 /* for a wait tolerance below 1 */
};

/* Fraction of the objective that the expected first event may take. */
static const double _WG_POLICY_LIMIT = 0.95;
/* Fraction of the objective that the expected answer may take without a prompt. Lower, since
   requests of other hosts are not known yet and service times vary. */
static const double _WG_POLICY_PLAIN_LIMIT = 0.7;
/* Fraction of _WG_POLICY_LIMIT that remains when confidence in estimates is 0. */
static const double _WG_POLICY_NO_CONFIDENCE_FACTOR = 0.6;
/* Factor on the limit of a request that is sent late rather than refused. */
static const double _WG_POLICY_RELAXED_FACTOR = 2;
/* Fraction of a target's slots for workspaces above their fair share: minimum, and the range by
   wait tolerance. */
static const double _WG_POLICY_SLOTS_MIN = 0.55;
static const double _WG_POLICY_SLOTS_SPAN = 0.35;
/* Fraction of the objective that queued prompts may take before a request that is too large to
   meet the objective. */
static const double _WG_POLICY_LARGE_LIMIT = 0.3;

/* Range of Retry-After times. Short, since targets have capacity again within tenths of a
   second. */
enum {
    _WG_POLICY_HOST_JITTER_DIVISOR = 3, /* of a caller's jitter that is added to the host's */
    /* Microseconds. With less time, the answer to the next request would be late in any case. */
    _WG_POLICY_RETRY_WITHIN_MIN = 5 * WG_USEC_PER_MSEC,
    _WG_POLICY_RETRY_WITHIN_SPREAD = 3 /* longest time divided by the shortest one */
};
static const wg_time _WG_POLICY_RETRY_AFTER_MIN = 100 * WG_USEC_PER_MSEC;
static const wg_time _WG_POLICY_RETRY_AFTER_MAX = 300 * WG_USEC_PER_MSEC;
/* Longest yield time, microseconds. Callers honour only a part of their remaining time in any case;
   keeps the result finite if the level is almost 0. */
static const wg_time _WG_POLICY_YIELD_MAX = 60 * WG_USEC_PER_SEC;

static double _wg_policy_tolerance(const wg_policy_terms* t) {
    if (!t->counts || t->has_room) {
        return 1;
    }
    double tolerance = wg_fair_wait_tolerance(t->used, t->levels);
    return tolerance < 1 ? tolerance * wg_fair_confidence(t->margin) : 1;
}

wg_time wg_policy_queue_time_max(wg_time objective, wg_time queue_max) {
    wg_time own = MAX(objective * _WG_POLICY_WAIT_PERCENT / 100, _WG_POLICY_WAIT_MIN);
    return MIN(own, queue_max);
}

/* Returns the limit of a wait that has to end within `time`. */
static wg_time _wg_policy_limit_of(const wg_policy_terms* t, wg_time time) {
    double confidence = wg_fair_confidence(t->margin);
    double limit = _WG_POLICY_LIMIT * (_WG_POLICY_NO_CONFIDENCE_FACTOR +
                                       (1 - _WG_POLICY_NO_CONFIDENCE_FACTOR) * confidence);
    return (wg_time)(limit * (double)time);
}

static wg_time _wg_policy_time_left(const wg_policy_terms* t, wg_time now) {
    return t->started + t->objective - now;
}

/* Limit of the part of the wait that prompts of others cause. A queue that is longer would make
   requests of the tightest class late. */
static wg_time _wg_policy_shared_limit(const wg_policy_terms* t, wg_time now) {
    return _wg_policy_limit_of(t, MIN(_wg_policy_time_left(t, now), t->tightest_objective));
}

wg_time wg_policy_limit(const wg_policy_terms* t, wg_time now) {
    if (t->route_limits && t->has_prompt) {
        return _wg_policy_limit_of(t, _wg_policy_time_left(t, now));
    }
    return _wg_policy_shared_limit(t, now);
}

wg_time wg_policy_plain_limit(const wg_policy_terms* t, wg_time now) {
    /* At least half of the objective, since a late answer is still useful. */
    wg_time left = MAX(t->started + t->objective - now, t->objective / 2);
    return (wg_time)(_WG_POLICY_PLAIN_LIMIT * (double)left);
}

wg_admit_limits wg_policy_limits(const wg_policy_terms* t, wg_time now) {
    double total = (double)wg_policy_limit(t, now);
    double shared = (double)_wg_policy_shared_limit(t, now);
    double tolerance = _wg_policy_tolerance(t);
    double factor = t->relaxed ? _WG_POLICY_RELAXED_FACTOR : 1;
    double large = _WG_POLICY_LARGE_LIMIT * (double)t->tightest_objective;
    bool behind = t->counts && wg_fair_is_behind(t->used, t->levels);
    return (wg_admit_limits){.total = (wg_time)(factor * total),
                             .ahead = (wg_time)(factor * tolerance * shared),
                             .ahead_large = (wg_time)(factor * tolerance * large),
                             .counts_missing = tolerance < 1 && !behind};
}

double wg_policy_slots_share(const wg_policy_terms* t) {
    double tolerance = _wg_policy_tolerance(t);
    bool all = !t->has_prompt || tolerance >= 1;
    return all ? 1 : _WG_POLICY_SLOTS_MIN + _WG_POLICY_SLOTS_SPAN * tolerance;
}

bool wg_policy_may_spill_over(const wg_policy_terms* t) {
    return t->counts && _wg_policy_tolerance(t) >= 1;
}

bool wg_policy_may_be_late(const wg_policy_terms* t) {
    return t->counts && wg_fair_is_far_below_share(t->used, t->levels);
}

int wg_policy_admission_requests_max(const wg_policy_terms* t) {
    double tolerance = t->sent_before ? 1 : _wg_policy_tolerance(t);
    if (tolerance <= 0) {
        return 0;
    }
    return tolerance < 1 ? _WG_POLICY_ADMISSIONS_MAX_LIMITED : _WG_POLICY_ADMISSIONS_MAX;
}

/* Only the usage of the workspace is assumed to change. A service without room serves as much as it
   can, so others take what the workspace leaves, and the level stays. */
wg_time wg_policy_yield_time(const wg_policy_terms* t) {
    if (wg_policy_admission_requests_max(t) > 0) {
        return 0;
    }
    double time = WG_USAGE_HALF_LIFE * log2(MAX(wg_fair_excess(t->used, t->levels), 1));
    return MIN((wg_time)MIN(time, (double)_WG_POLICY_YIELD_MAX) + 1, _WG_POLICY_YIELD_MAX);
}

wg_time wg_policy_try_gap(const wg_policy_terms* t) {
    return wg_fair_try_gap(_wg_policy_tolerance(t));
}

wg_time wg_policy_retry_after(uint64_t seed, uint64_t counter) {
    return wg_jitter_range(seed, counter, _WG_POLICY_RETRY_AFTER_MIN, _WG_POLICY_RETRY_AFTER_MAX);
}

wg_time wg_policy_retry_within(uint64_t seed, uint64_t counter, wg_time left, int64_t percent) {
    wg_time max = left * percent / 100;
    if (max < _WG_POLICY_RETRY_WITHIN_MIN) {
        return wg_policy_retry_after(seed, counter);
    }
    return wg_jitter_range(seed, counter, max / _WG_POLICY_RETRY_WITHIN_SPREAD, max);
}

/* Returns `after`, or a random time that leaves the caller enough of its `left` microseconds to be
   served. */
static wg_time _wg_policy_honoured(uint64_t seed, uint64_t counter, wg_time after, wg_time left) {
    wg_time max_wait = MAX(left, 0) / _WG_POLICY_HONOURED_DIVISOR;
    wg_time spread = wg_jitter_range(seed, counter, max_wait * 4 / 5, max_wait);
    return after <= max_wait ? after : spread;
}

/* Callers that return before the end of the backoff period would be refused again. All of them
   wait for the same moment, so each gets a random offset, limited so that the caller can still be
   served. */
wg_time wg_policy_retry_after_backoff(uint64_t seed, uint64_t counter, wg_time backoff_time,
                                      wg_time left) {
    wg_time after = backoff_time + wg_policy_retry_after(seed, counter);
    return _wg_policy_honoured(seed, counter, after, left);
}

wg_time wg_policy_retry_after_yield(uint64_t seed, uint64_t counter, wg_time yield_time,
                                    wg_time left) {
    wg_time time = MIN(yield_time, _WG_POLICY_YIELD_MAX);
    wg_time jitter = wg_jitter_range(seed, counter, 0, time / _WG_POLICY_YIELD_JITTER_DIVISOR);
    return _wg_policy_honoured(seed, counter, time + jitter, left);
}

/* The host's jitter already separates its callers from those of other hosts; the rest only has to
   separate the callers of this host. */
wg_time wg_policy_return_after_host(wg_time after, wg_time backoff_time, wg_time host_time) {
    if (after < backoff_time || after >= host_time) {
        return after;
    }
    return host_time + (after - backoff_time) / _WG_POLICY_HOST_JITTER_DIVISOR;
}
