/* wg_descriptors.c -- see wg_descriptors.h */
#include "wg_descriptors.h"

/* ---- helpers --------------------------------------------------------------------------------- */

static int _wg_descriptors_percent(const wg_descriptors_counts* counts, int percent) {
    return (int)((int64_t)counts->limit * percent / 100);
}

/* Which idle connection a new one replaces; REFUSE: none is idle. */
static wg_descriptors_verdict _wg_descriptors_replace(const wg_descriptors_counts* counts) {
    if (counts->idle_targets > 0) {
        return WG_DESCRIPTORS_CLOSE_TARGET;
    }
    return counts->idle_callers > 0 ? WG_DESCRIPTORS_CLOSE_CALLER : WG_DESCRIPTORS_REFUSE;
}

/* ---- public functions ------------------------------------------------------------------------ */

int wg_descriptors_used(const wg_descriptors_counts* counts) {
    return counts->callers + counts->targets + counts->links;
}

int wg_descriptors_callers_max(const wg_descriptors_counts* counts) {
    int busy_targets = counts->targets - counts->idle_targets;
    int all = _wg_descriptors_percent(counts, WG_DESCRIPTORS_MAX_PERCENT) - counts->links;
    int for_targets =
        MAX(_wg_descriptors_percent(counts, WG_DESCRIPTORS_TARGETS_MIN_PERCENT),
            busy_targets + _wg_descriptors_percent(counts, WG_DESCRIPTORS_TARGETS_MORE_PERCENT));
    int max = MAX(all - for_targets, all / 2);
    return MAX(MIN(max, counts->callers_max), 1);
}

wg_descriptors_verdict wg_descriptors_decide(const wg_descriptors_counts* counts,
                                             wg_descriptors_kind kind) {
    bool is_caller = kind == WG_DESCRIPTORS_CALLER;
    if (counts->limit == 0) {
        return WG_DESCRIPTORS_OPEN;
    }
    if (is_caller && counts->callers >= wg_descriptors_callers_max(counts)) {
        /* Closing a connection to a target would not give callers a larger part. */
        return counts->idle_callers > 0 ? WG_DESCRIPTORS_CLOSE_CALLER : WG_DESCRIPTORS_REFUSE;
    }
    int used = wg_descriptors_used(counts) + 1;
    if (used <= _wg_descriptors_percent(counts, WG_DESCRIPTORS_SHORT_PERCENT)) {
        return WG_DESCRIPTORS_OPEN;
    }
    /* Replacing leaves the number in use as it is, also above the maximum. */
    wg_descriptors_verdict replace = _wg_descriptors_replace(counts);
    int max = _wg_descriptors_percent(counts, kind == WG_DESCRIPTORS_TARGET
                                                  ? WG_DESCRIPTORS_TARGETS_MAX_PERCENT
                                                  : WG_DESCRIPTORS_MAX_PERCENT);
    return replace == WG_DESCRIPTORS_REFUSE && used <= max ? WG_DESCRIPTORS_OPEN : replace;
}

wg_descriptors_change wg_descriptors_observe(wg_descriptors_watch* watch, wg_time now,
                                             const wg_descriptors_counts* counts, bool refuses) {
    int used = wg_descriptors_used(counts);
    if (counts->limit == 0) {
        return WG_DESCRIPTORS_UNCHANGED;
    }
    if (!watch->is_short) {
        /* Replacing keeps the use at the limit itself, which is a shortage too. */
        watch->is_short =
            refuses || used >= _wg_descriptors_percent(counts, WG_DESCRIPTORS_SHORT_PERCENT);
        watch->short_since = now;
        watch->low_since = 0;
        return watch->is_short ? WG_DESCRIPTORS_BEGUN : WG_DESCRIPTORS_UNCHANGED;
    }
    if (refuses || used > _wg_descriptors_percent(counts, WG_DESCRIPTORS_FREED_PERCENT)) {
        watch->low_since = 0;
        return WG_DESCRIPTORS_UNCHANGED;
    }
    watch->low_since = watch->low_since ? watch->low_since : now;
    watch->is_short = now - watch->low_since < WG_DESCRIPTORS_FREED_AFTER;
    return watch->is_short ? WG_DESCRIPTORS_UNCHANGED : WG_DESCRIPTORS_ENDED;
}

wg_time wg_descriptors_retry_after(uint64_t seed, uint64_t counter) {
    return wg_jitter_range(seed, counter, WG_DESCRIPTORS_RETRY_AFTER_MIN,
                           WG_DESCRIPTORS_RETRY_AFTER_MAX);
}
