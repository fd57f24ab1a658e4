#pragma once
/*
    wg_backoff.h -- backoff requested by targets in their answers, as a pure state machine

    WHAT IT DOES
        A target that refuses a request may ask the host to back off for some time (Retry-After, RFC
        9110, 10.2.3), and any answer may announce that the target is draining. Both apply to one
        incarnation of a target and to the host that received the answer. This library parses the
        header fields and remembers the backoff periods.

    FEATURES
        - seconds, fractions, dates, repeated fields: the longest period applies, up to a limit; an
          unreadable value is ignored and reported once per target
        - a date is relative to the answer's own Date if it has one, so that clock skew does not
          matter
        - a backoff period is never shortened, and ends only by its expiry
        - hosts that back off at the same time return at different times
        - draining is final
        - bounded: expired entries are evicted first, then the least recently updated

    USE
        1. wg_backoff* b = wg_backoff_setup(&(wg_backoff_desc){0});
        2. wg_backoff_hint hint = {.status = status};
           wg_backoff_read_field(&hint, "Target-Leaving", name, value);  // each field of the answer
        3. wg_backoff_record(b, now, target, &hint, unix_time);
        4. if (now >= wg_backoff_ends_at(b, now, target)) { it may be sent requests }

    THE CALLER OWNS
        the texts of an answer, and the keys of targets: each incarnation of a target needs a key of
        its own.
*/
#include "wg_message.h"

enum {
    WG_BACKOFF_TARGETS_MAX_DEFAULT = 4096,
    WG_BACKOFF_PERIOD_MAX_DEFAULT_S = 3600
};

/* Backoff hint of one answer; initialise all but `status` to 0. */
typedef struct {
    int status;      /* HTTP status of the answer */
    wg_time period;  /* longest period given in seconds, in microseconds; 0: none */
    int64_t until;   /* latest date, Unix seconds; 0: none */
    int64_t date;    /* Date of the answer, Unix seconds; 0: none */
    bool unreadable; /* a Retry-After is neither a number nor a date */
    bool draining;
} wg_backoff_hint;

typedef struct {
    int targets_max;     /* targets remembered; default WG_BACKOFF_TARGETS_MAX_DEFAULT */
    wg_time backoff_max; /* maximum backoff period, microseconds; default 3600 s */
    uint64_t seed;       /* for the jitter of backoff periods; has to differ between hosts */
} wg_backoff_desc;

/* Changes caused by a hint. */
typedef struct {
    bool backoff_started;  /* the target was not in backoff before */
    bool draining_started; /* the target was not known to drain before */
    bool unreadable;       /* first unreadable Retry-After of this target */
    wg_time period;        /* requested backoff period, microseconds; 0: none */
} wg_backoff_update;

/* The current backoff period of a target. */
typedef struct {
    wg_time requested_until; /* end of the requested period; 0: not in backoff */
    wg_time ends_at;         /* end for this host, with its jitter */
} wg_backoff_period;

typedef struct wg_backoff wg_backoff;

/* Parses one header field of an answer. `draining_field` is the name of the field that announces
   draining. */
void wg_backoff_read_field(wg_backoff_hint* hint, const char* draining_field, wg_text name,
                           wg_text value);
/* Returns the requested backoff period in microseconds, at most `max`; 0: none. `unix_time` is
   the current time in seconds, used for answers without a Date. */
wg_time wg_backoff_hint_period(const wg_backoff_hint* hint, int64_t unix_time, wg_time max);

wg_backoff* wg_backoff_setup(const wg_backoff_desc* desc);
void wg_backoff_shutdown(wg_backoff* backoff);
/* Records the hint of an answer. */
wg_backoff_update wg_backoff_record(wg_backoff* backoff, wg_time now, uint64_t target,
                                    const wg_backoff_hint* hint, int64_t unix_time);
/* Returns when the target's backoff period ends, including jitter of up to an eighth of the
   period; 0: not in backoff, WG_TIME_NEVER: draining. */
wg_time wg_backoff_ends_at(const wg_backoff* backoff, wg_time now, uint64_t target);
/* Like wg_backoff_ends_at(), with the end that the target requested. */
wg_backoff_period wg_backoff_period_of(const wg_backoff* backoff, wg_time now, uint64_t target);
bool wg_backoff_is_draining(const wg_backoff* backoff, uint64_t target);
/* Returns the number of targets in backoff. */
int wg_backoff_active_num(const wg_backoff* backoff, wg_time now);
