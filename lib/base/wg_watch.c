/* wg_watch.c -- see wg_watch.h */
#include "wg_watch.h"

bool wg_lag_monitor_tick(wg_lag_monitor* p, wg_time now, wg_time period, wg_time* late) {
    wg_time last_tick_at = p->ticked_at;
    p->ticked_at = now;
    if (last_tick_at == 0) {
        return false;
    }
    wg_time lag = MAX(now - last_tick_at - period, 0);
    return wg_lag_monitor_record(p, now, lag, late);
}

bool wg_lag_monitor_record(wg_lag_monitor* p, wg_time now, wg_time lag, wg_time* late) {
    p->lag_last = lag;
    wg_hist_add(&p->lag_hist, lag);
    p->lag_max = MAX(p->lag_max, lag);
    if (p->lag_max < WG_LAG_LOG_MIN || now - p->logged_at < WG_USEC_PER_SEC) {
        return false;
    }
    *late = p->lag_max;
    p->lag_max = 0;
    p->logged_at = now;
    return true;
}

bool wg_outage_update(wg_outage* a, bool present, wg_time now) {
    if (present) {
        *a = (wg_outage){0};
        return false;
    }
    if (a->since == 0) {
        *a = (wg_outage){.since = now, .log_at = now + WG_OUTAGE_LOG_DELAY};
    }
    if (now < a->log_at) {
        return false;
    }
    a->log_at = now + wg_outage_duration(a, now);
    return true;
}

wg_time wg_outage_duration(const wg_outage* a, wg_time now) {
    return a->since ? now - a->since : 0;
}
