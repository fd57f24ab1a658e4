#pragma once
/*
    wg_watch.h -- self-monitoring of a process: event-loop lag and outages of what it depends on

    WHAT IT DOES
        Decides when to log a condition, so that a lasting one is logged repeatedly without flooding
        the log. Pure.

    FEATURES
        - wg_lag_monitor: lag of a periodic timer, as a histogram and a maximum; at most one
          log line a second
        - wg_log_limit: at most so many lines of a kind a second, and how many were left out
        - wg_outage: a log line after WG_OUTAGE_LOG_DELAY of outage, then each time its length has
          doubled

    USE
        1. if (wg_lag_monitor_tick(&monitor, now, period, &lag)) { log(lag); }
        2. if (wg_outage_update(&outage, present, now)) { log(now - outage.since); }
        3. if (wg_log_limit_take(&limit, now, 200, &left_out)) { log(...); }

    THE CALLER OWNS
        the structs; zero-initialise them.
*/
#include "wg_base.h"

enum {
    /* Minimum lag that is logged, microseconds: well below an election timeout. */
    WG_LAG_LOG_MIN = 100 * WG_USEC_PER_MSEC,
    /* Outage until the first log line, microseconds. Longer than an election. */
    WG_OUTAGE_LOG_DELAY = WG_USEC_PER_SEC
};

typedef struct {
    wg_time ticked_at; /* time of the last tick; 0: none yet */
    wg_time logged_at; /* time of the last log line */
    wg_time lag_last;  /* lag of the last tick */
    wg_time lag_max;   /* maximum lag since the last log line */
    wg_hist lag_hist;  /* lag, microseconds */
} wg_lag_monitor;

/* Records a tick of a timer with this period. True if a log line is due: at most once a second, if
   the lag reached WG_LAG_LOG_MIN since the last line. `*max_lag` is then the maximum lag. */
bool wg_lag_monitor_tick(wg_lag_monitor* monitor, wg_time now, wg_time period, wg_time* max_lag);
/* Records a lag, in microseconds, of something that is not periodic. Returns as
   wg_lag_monitor_tick(). */
bool wg_lag_monitor_record(wg_lag_monitor* monitor, wg_time now, wg_time lag, wg_time* max_lag);

/* Lines of one kind in the current second. */
typedef struct {
    wg_time second; /* start of the second; 0: no line yet */
    int lines;      /* also those left out */
} wg_log_limit;

/* Counts a line; false if it has to be left out. `*left_out`: lines left out in the second before,
   if that has just ended, else 0. */
bool wg_log_limit_take(wg_log_limit* limit, wg_time now, int max, int* left_out);

typedef struct {
    wg_time since;  /* start of the outage; 0: none */
    wg_time log_at; /* time of the next log line */
} wg_outage;

/* Records whether the dependency is present. True if a log line about the outage is due. */
bool wg_outage_update(wg_outage* outage, bool present, wg_time now);
/* Length of the outage in microseconds; 0 if there is none. */
wg_time wg_outage_duration(const wg_outage* outage, wg_time now);
