#pragma once
/*
    wg_watch.h -- what a process watches of itself: how late its loop turns, how long something that
    it needs is missing

    WHAT IT DOES
        Tells when a line is worth writing, so that trouble that lasts is told again and again but
        never floods the log. Pure.

    FEATURES
        - wg_pulse: lateness of a timer that should fire once a period, as a histogram and a worst
          value; at most one line a second
        - wg_absence: a line after one second without, then after two, four, eight and so on

    USE
        1. if (wg_pulse_beat(&pulse, now, period, &late)) { log(late); }
        2. if (wg_absence_note(&absence, have_it, now)) { log(now - absence.since); }

    THE CALLER OWNS
        both structs; zero-initialised they are ready for use.
*/
#include "wg_base.h"

enum {
    /* Lateness that is told, microseconds: a third of the shortest election wait in use (300 ms);
       less harms nobody. */
    WG_PULSE_LATE = 100 * WG_USEC_PER_MSEC,
    /* First line about something that is missing, microseconds: longer than an election. */
    WG_ABSENCE_FIRST = WG_USEC_PER_SEC
};

typedef struct {
    wg_time beat_at; /* 0: none yet */
    wg_time told_at;
    wg_time last;  /* lateness of the last beat */
    wg_time worst; /* since the last line */
    wg_hist late;  /* microseconds */
} wg_pulse;

/* The timer fired. True at most once a second: it was late by more than WG_PULSE_LATE since the
   last line, at worst by `*late` microseconds. */
bool wg_pulse_beat(wg_pulse* pulse, wg_time now, wg_time period, wg_time* late);
/* The same for something that was late by `over` microseconds and has no period. */
bool wg_pulse_note(wg_pulse* pulse, wg_time now, wg_time over, wg_time* late);

typedef struct {
    wg_time since;  /* missing since; 0: it is there */
    wg_time say_at; /* next line */
} wg_absence;

/* Is it there now? True when a line about its absence is due. */
bool wg_absence_note(wg_absence* absence, bool present, wg_time now);
/* Microseconds for which it has been missing; 0 when it is there. */
wg_time wg_absence_length(const wg_absence* absence, wg_time now);
