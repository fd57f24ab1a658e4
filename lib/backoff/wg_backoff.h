#pragma once
/*
    wg_backoff.h -- what targets ask of this host in their answers, as a pure state machine

    WHAT IT DOES
        A target that turns a request away may ask the host for a time without requests
        (Retry-After, RFC 9110, 10.2.3), and any answer may say that the target leaves. Both hold
        for one start of a target and for the host that was told. This library reads the fields of
        an answer and remembers what they ask for.

    FEATURES
        - seconds, fractions of them, a date, several fields: the longest time counts, within a
          bound; what cannot be read asks for nothing and is told once for each target
        - a date counts from the answer's own date where it has one, so that clocks that differ do
          not matter
        - a rest never becomes shorter, and nothing but its end ends it
        - hosts that were asked in one moment come back one after the other
        - leaving is final
        - bounded: rests that are over give way first, then what was noted longest ago

    USE
        1. wg_backoff* b = wg_backoff_setup(&(wg_backoff_desc){0});
        2. wg_backoff_wish wish = {.status = status};
           wg_backoff_read_field(&wish, "Target-Leaving", name, value);  // each field of the answer
        3. wg_backoff_note(b, now, target, &wish, unix_time);
        4. if (now >= wg_backoff_free_at(b, now, target)) { it may be sent requests }

    THE CALLER OWNS
        the texts of an answer, and what a target's key stands for: another start of a target has to
        have another key.
*/
#include "wg_message.h"

enum {
    WG_BACKOFF_TARGETS_MAX_DEFAULT = 4096,
    WG_BACKOFF_REST_MAX_DEFAULT_S = 3600
};

/* What one answer asks for; zero-initialised but for the status. */
typedef struct {
    int status;      /* of the answer */
    wg_time rest;    /* microseconds, as the longest number says; 0: none */
    int64_t until;   /* Unix seconds, as the latest date says; 0: none */
    int64_t date;    /* of the answer, Unix seconds; 0: it does not say */
    bool unreadable; /* a Retry-After that is neither a number nor a date */
    bool leaving;
} wg_backoff_wish;

typedef struct {
    int targets_max;  /* remembered at once; default WG_BACKOFF_TARGETS_MAX_DEFAULT */
    wg_time rest_max; /* microseconds, a longer wish counts as this; default 3600 s */
    uint64_t seed;    /* of the ends of rests; another one on each host */
} wg_backoff_desc;

/* What a wish has changed. */
typedef struct {
    bool rests;      /* the target did not rest before */
    bool leaves;     /* it was not known to leave */
    bool unreadable; /* the first one of this target that cannot be read */
    wg_time rest;    /* microseconds that the answer asks for; 0: none */
} wg_backoff_news;

typedef struct wg_backoff wg_backoff;

/* Take one field of an answer into account; `leaving` is the name of the field that says that the
   target leaves. */
void wg_backoff_read_field(wg_backoff_wish* wish, const char* leaving, wg_text name, wg_text value);
/* Microseconds of rest that the answer asks for, at most `most`; 0: none. `unix_time`: seconds, for
   answers that do not tell their date. */
wg_time wg_backoff_wish_rest(const wg_backoff_wish* wish, int64_t unix_time, wg_time most);

wg_backoff* wg_backoff_setup(const wg_backoff_desc* desc);
void wg_backoff_shutdown(wg_backoff* backoff);
/* A target has answered. */
wg_backoff_news wg_backoff_note(wg_backoff* backoff, wg_time now, uint64_t target,
                                const wg_backoff_wish* wish, int64_t unix_time);
/* From when on the target is sent requests, up to an eighth of its rest after that; 0: now,
 * WG_TIME_NEVER: it leaves. */
wg_time wg_backoff_free_at(const wg_backoff* backoff, wg_time now, uint64_t target);
bool wg_backoff_is_leaving(const wg_backoff* backoff, uint64_t target);
/* Targets that rest now. */
int wg_backoff_resting_num(const wg_backoff* backoff, wg_time now);
