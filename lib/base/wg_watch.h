#pragma once
/*
    wg_watch.h -- self-monitoring of a process: event-loop lag and outages of what it depends on

    WHAT IT DOES
        Decides when to log a condition, so that a lasting one is logged repeatedly without flooding
        the log. Pure.

    FEATURES
        - wg_pulse: lag of a periodic timer, as a histogram and a maximum; at most one log line a
          second
        - wg_absence: a log line after WG_OUTAGE_LOG_DELAY of outage, then each time its length has
          doubled

    USE
        1. if (wg_pulse_beat(&pulse, now, period, &late)) { log(late); }
        2. if (wg_absence_note(&absence, have_it, now)) { log(now - absence.since); }

    THE CALLER OWNS
        both structs; zero-initialise them.
*/
#include "wg_base.h"

enum {
    /* Lag that is logged, microseconds: a third of the shortest election timeout. */
    WG_PULSE_LATE = 100 * WG_USEC_PER_MSEC,
    /* Outage until the first log line, microseconds. Longer than an election. */
    WG_OUTAGE_LOG_DELAY = WG_USEC_PER_SEC
};

typedef struct {
    wg_time ticked_at; /* time of the last tick; 0: none yet */
    wg_time logged_at; /* time of the last log line */
    wg_time last;      /* lag of the last tick */
    wg_time lag_max;   /* maximum lag since the last log line */
    wg_hist late;      /* lag, microseconds */
} wg_pulse;

/* Records a tick of a timer with this period. True if a log line is due: at most once a second, if
   the lag reached WG_PULSE_LATE since the last line. `*late` is then the maximum lag. */
bool wg_pulse_beat(wg_pulse* pulse, wg_time now, wg_time period, wg_time* late);
/* Records a lag, in microseconds, of something that is not periodic. Returns as
   wg_pulse_beat(). */
bool wg_pulse_note(wg_pulse* pulse, wg_time now, wg_time lag, wg_time* late);

typedef struct {
    wg_time since;  /* start of the outage; 0: none */
    wg_time log_at; /* time of the next log line */
} wg_absence;

/* Records whether the dependency is present. True if a log line about the outage is due. */
bool wg_absence_note(wg_absence* absence, bool present, wg_time now);
/* Length of the outage in microseconds; 0 if there is none. */
wg_time wg_absence_length(const wg_absence* absence, wg_time now);
