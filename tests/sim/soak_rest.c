/* soak_rest.c -- targets that refuse requests with backoff hints, and the check that hosts comply

   Targets record violations per host. A violation is excused only if that host's entry process was
   down, stopped or restarted, or the links to the target were impaired, so that the hint may not
   have arrived. Other faults don't excuse it: lost leaders, new configurations, changed target
   lists, SIGHUP. */
#include <inttypes.h>

#include "soak_internal.h"

enum {
    REFUSE_PERCENT_MIN = 30,
    REFUSE_PERCENT_SPAN = 71,
    BACKOFF_MS_MIN = 600,
    BACKOFF_MS_SPAN = 3000,
    OVERLOAD_MS_MIN = 500,
    OVERLOAD_MS_SPAN = 4000,
    /* HINT_DELAY: from the answer until its hint has to be obeyed. FAULT_BACKLOG_TIME: after a
       fault, for requests that it delayed. */
    HINT_DELAY = 600 * WG_USEC_PER_MSEC,
    FAULT_BACKLOG_TIME = 1 * WG_USEC_PER_SEC
};

/* ---- helpers --------------------------------------------------------------------------------- */

static bool has_excuse(const soak* s, const hosts_hint_violation* violation) {
    for (int i = 0; i < s->disturbances_num; i++) {
        const disturbance* d = &s->disturbances[i];
        bool concerns = d->entry == violation->host || d->target_links == violation->target;
        bool over = d->until != 0 && d->until + FAULT_BACKLOG_TIME < violation->since - HINT_DELAY;
        if (concerns && !over && d->from <= violation->at) {
            return true;
        }
    }
    return false;
}

/* ---- functions of the soak ------------------------------------------------------------------- */

bool soak_begin_overload(soak* s, int number) {
    host_target* t = &s->h.targets[number];
    char faults[64];
    int percent = REFUSE_PERCENT_MIN + (int)soak_random(s, REFUSE_PERCENT_SPAN);
    int backoff_ms = BACKOFF_MS_MIN + (int)soak_random(s, BACKOFF_MS_SPAN);
    int busy = OVERLOAD_MS_MIN + (int)soak_random(s, OVERLOAD_MS_SPAN);
    if (t->pid <= 0 || soak_is_repairing(s, number, true)) {
        return false;
    }
    g_snprintf(faults, sizeof faults, "refuse=%d&rest_ms=%d", percent, backoff_ms);
    if (!hosts_set_faults(&s->h, t, faults)) {
        return false;
    }
    s->result.overloads++;
    soak_plan_repair(s, REPAIR_OVERLOAD, number, true, busy, soak_begin_disturbance(s));
    return true;
}

void soak_end_overload(soak* s, int number) {
    hosts_set_faults(&s->h, &s->h.targets[number], "refuse=6&rest_ms=0");
}

void soak_check_hints(soak* s, const hosts_events* events) {
    for (guint i = 0; i < events->hint_violations->len; i++) {
        const hosts_hint_violation* violation =
            &g_array_index(events->hint_violations, hosts_hint_violation, i);
        if (has_excuse(s, violation)) {
            s->result.excused++;
            continue;
        }
        soak_record_violation(
            s, "host %d sent target %d a request %s at %" PRId64 ", not allowed since %" PRId64,
            violation->host, violation->target,
            violation->draining ? "while it was draining" : "in its backoff period", violation->at,
            violation->since);
    }
}
