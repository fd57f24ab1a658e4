#pragma once
/*
    wg_descriptors.h -- what gives way when a host runs short of file descriptors

    WHAT IT DOES
        Decides whether a new connection of a caller, or to a target, may be opened, and which idle
        connection is closed for it. Pure: counts go in, a verdict comes out.

    FEATURES
        - above WG_DESCRIPTORS_SHORT_PERCENT of the limit, each new connection replaces an idle one:
          a connection to a target first, then one of a caller
        - a reserve for operators' endpoints and closing connections is never used
        - connections to targets leave some descriptors to callers, so that requests that cannot be
          sent are at least answered
        - callers' connections leave to targets what these use and some more, up to half
        - reports when a shortage begins and ends

    USE
        1. wg_descriptors_counts counts = {.limit = ..., .callers = ..., ...};
        2. switch (wg_descriptors_decide(&counts, WG_DESCRIPTORS_TARGET)) {
               OPEN: open it
               CLOSE_TARGET, CLOSE_CALLER: close the longest idle connection of that kind; open it
               REFUSE: refuse the request, or let callers wait in the backlog }
        3. periodically: wg_descriptors_observe(&watch, now, &counts, paused)

    THE CALLER OWNS
        everything passed in.
*/
#include "wg_base.h"

enum {
    /* Percentages of the limit. */
    WG_DESCRIPTORS_SHORT_PERCENT = 80, /* above: idle connections are replaced */
    /* Up to this, a shortage ends; lower than the above, so that use near one bound is one
     * shortage. */
    WG_DESCRIPTORS_FREED_PERCENT = 75,
    /* Remainder: operators' endpoints, connections that are being closed, and descriptors that are
       not counted, such as listeners. */
    WG_DESCRIPTORS_MAX_PERCENT = 95,
    /* The difference to the maximum stays free for callers, who get an answer 503 if their request
       needs another connection to a target. Without it, they would get no answer. */
    WG_DESCRIPTORS_TARGETS_MAX_PERCENT = 90,
    /* Left to targets however few they use. Callers may then use 70%, as without this library. */
    WG_DESCRIPTORS_TARGETS_MIN_PERCENT = 25,
    /* Left to targets beyond those in use, so that their number can grow while callers are at their
       limit. Without it, each descriptor that a refused caller frees goes to another caller. */
    WG_DESCRIPTORS_TARGETS_MORE_PERCENT = 10,

    /* A shortage ends once use has been low for this time, microseconds: at most one pair of log
       lines per second. */
    WG_DESCRIPTORS_FREED_AFTER = WG_USEC_PER_SEC,
    /* Retry-After of a refused request, microseconds. Long enough for short requests to end. */
    WG_DESCRIPTORS_RETRY_AFTER_MIN = WG_USEC_PER_SEC / 2,
    WG_DESCRIPTORS_RETRY_AFTER_MAX = WG_USEC_PER_SEC
};

/* Descriptors of a host. */
typedef struct {
    int limit;        /* of the process; 0: unknown */
    int callers;      /* callers' connections */
    int callers_max;  /* limit of callers' connections for other reasons */
    int targets;      /* connections to targets */
    int links;        /* connections to other processes of the fleet */
    int idle_callers; /* of `callers`, those that may be closed */
    int idle_targets; /* of `targets`, those that may be closed */
} wg_descriptors_counts;

/* Kind of a new connection. */
typedef enum {
    WG_DESCRIPTORS_CALLER = 0,
    WG_DESCRIPTORS_TARGET,      /* for the first attempt of a request */
    WG_DESCRIPTORS_TARGET_AGAIN /* for a later attempt, whose earlier connection has closed */
} wg_descriptors_kind;

/* What to do for a new connection. */
typedef enum {
    WG_DESCRIPTORS_OPEN = 0,     /* the connection may be opened */
    WG_DESCRIPTORS_CLOSE_TARGET, /* also, once the longest idle connection to a target is closed */
    WG_DESCRIPTORS_CLOSE_CALLER, /* also, once the longest idle caller's connection is closed */
    WG_DESCRIPTORS_REFUSE        /* it must not be opened, and no idle connection can be replaced */
} wg_descriptors_verdict;

/* Begin and end of shortages. Zero-initialise it. */
typedef struct {
    bool is_short;
    wg_time short_since; /* start of the shortage, or the last observation without one */
    wg_time low_since;   /* start of the time of low use during a shortage; 0: use is not low */
} wg_descriptors_watch;

/* Change of a shortage, to be logged. */
typedef enum {
    WG_DESCRIPTORS_UNCHANGED = 0,
    WG_DESCRIPTORS_BEGUN,
    WG_DESCRIPTORS_ENDED
} wg_descriptors_change;

/* Descriptors in use. */
int wg_descriptors_used(const wg_descriptors_counts* counts);
/* Largest number of callers' connections; at least 1. Between 70% of the limit and half of the
   descriptors that links and the reserve leave: a request in progress takes one for its caller and
   one for its target. */
int wg_descriptors_callers_max(const wg_descriptors_counts* counts);
/* Whether one more connection of the kind may be opened. With an unknown limit always OPEN. */
wg_descriptors_verdict wg_descriptors_decide(const wg_descriptors_counts* counts,
                                             wg_descriptors_kind kind);
/* Returns whether a shortage begins or ends with these counts. `refuses`: new connections are
   refused, whatever the counts say. */
wg_descriptors_change wg_descriptors_observe(wg_descriptors_watch* watch, wg_time now,
                                             const wg_descriptors_counts* counts, bool refuses);
/* Retry-After of a request that is refused for lack of descriptors, microseconds. */
wg_time wg_descriptors_retry_after(uint64_t seed, uint64_t counter);
