/* wg_watch.c -- see wg_watch.h */
#include "wg_watch.h"

bool wg_lag_monitor_tick(wg_lag_monitor* monitor, wg_time now, wg_time period, wg_time* max_lag) {
    wg_time last_tick_at = monitor->ticked_at;
    monitor->ticked_at = now;
    if (last_tick_at == 0) {
        return false;
    }
    wg_time lag = MAX(now - last_tick_at - period, 0);
    return wg_lag_monitor_record(monitor, now, lag, max_lag);
}

bool wg_lag_monitor_record(wg_lag_monitor* monitor, wg_time now, wg_time lag, wg_time* max_lag) {
    monitor->lag_last = lag;
    wg_hist_add(&monitor->lag_hist, lag);
    monitor->lag_max = MAX(monitor->lag_max, lag);
    if (monitor->lag_max < WG_LAG_LOG_MIN || now - monitor->logged_at < WG_USEC_PER_SEC) {
        return false;
    }
    *max_lag = monitor->lag_max;
    monitor->lag_max = 0;
    monitor->logged_at = now;
    return true;
}

bool wg_log_limit_take(wg_log_limit* limit, wg_time now, int max, int* left_out) {
    *left_out = 0;
    if (limit->second == 0 || now - limit->second >= WG_USEC_PER_SEC) {
        *left_out = MAX(limit->lines - max, 0);
        *limit = (wg_log_limit){.second = now};
    }
    return ++limit->lines <= max;
}

bool wg_outage_update(wg_outage* outage, bool present, wg_time now) {
    if (present) {
        *outage = (wg_outage){0};
        return false;
    }
    if (outage->since == 0) {
        *outage = (wg_outage){.since = now, .log_at = now + WG_OUTAGE_LOG_DELAY};
    }
    if (now < outage->log_at) {
        return false;
    }
    outage->log_at = now + wg_outage_duration(outage, now);
    return true;
}

wg_time wg_outage_duration(const wg_outage* outage, wg_time now) {
    return outage->since ? now - outage->since : 0;
}
