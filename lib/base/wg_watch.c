/* wg_watch.c -- see wg_watch.h */
#include "wg_watch.h"

bool wg_pulse_beat(wg_pulse* p, wg_time now, wg_time period, wg_time* late) {
    wg_time last_tick_at = p->ticked_at;
    p->ticked_at = now;
    if (last_tick_at == 0) {
        return false;
    }
    wg_time lag = MAX(now - last_tick_at - period, 0);
    return wg_pulse_note(p, now, lag, late);
}

bool wg_pulse_note(wg_pulse* p, wg_time now, wg_time lag, wg_time* late) {
    p->last = lag;
    wg_hist_add(&p->late, lag);
    p->lag_max = MAX(p->lag_max, lag);
    if (p->lag_max < WG_PULSE_LATE || now - p->logged_at < WG_USEC_PER_SEC) {
        return false;
    }
    *late = p->lag_max;
    p->lag_max = 0;
    p->logged_at = now;
    return true;
}

bool wg_absence_note(wg_absence* a, bool present, wg_time now) {
    if (present) {
        *a = (wg_absence){0};
        return false;
    }
    if (a->since == 0) {
        *a = (wg_absence){.since = now, .log_at = now + WG_OUTAGE_LOG_DELAY};
    }
    if (now < a->log_at) {
        return false;
    }
    a->log_at = now + wg_absence_length(a, now);
    return true;
}

wg_time wg_absence_length(const wg_absence* a, wg_time now) {
    return a->since ? now - a->since : 0;
}
