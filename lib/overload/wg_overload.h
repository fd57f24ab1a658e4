#pragma once
/*
    wg_overload.h -- which requests an overloaded host refuses on arrival

    WHAT IT DOES
        Limits the rate of admitted requests while input waits too long in the event loop, and
        shares that rate among workspaces by max-min fairness. Decides from the head of a request
        alone, before its body is read. Pure.

    FEATURES
        - the limit is multiplied by WG_OVERLOAD_DECREASE while the delay is above its maximum, and
          rises by WG_OVERLOAD_INCREASE otherwise, once per tick
        - a workspace below its share is never refused, including bursts; see wg_overload_admits()
        - refusals are spread evenly over the requests of a workspace
        - a single long delay, for example of a host that stood still, causes no refusals

    USE
        1. wg_overload* o = wg_overload_setup(&(wg_overload_desc){.delay_max = ..., .seed = ...});
        2. if (!wg_overload_admits(o, now, workspace)) { refuse; wg_overload_retry_after(o, left) }
        3. wg_overload_tick(o, now, &sample);   // every WG_OVERLOAD_PERIOD
        4. wg_overload_shutdown(o);

    THE CALLER OWNS
        everything passed in.
*/
#include "wg_base.h"

enum {
    /* Time between two ticks, microseconds. */
    WG_OVERLOAD_PERIOD = 50 * WG_USEC_PER_MSEC,
    /* The limit is lifted after this time without refusals and with a low delay, microseconds. */
    WG_OVERLOAD_LIFT_AFTER = WG_USEC_PER_SEC,
    /* Smallest limit, requests per second: enough to notice that there is capacity again. */
    WG_OVERLOAD_LIMIT_MIN = 20,
    /* Requests that a workspace below its share may send at once. Shares can be smaller than one
       request per tick. */
    WG_OVERLOAD_BURST_MIN = 20,
    /* Longest Retry-After, microseconds. Callers wait no longer, whatever their deadline. */
    WG_OVERLOAD_RETRY_MAX = 4 * WG_USEC_PER_SEC
};

#define WG_OVERLOAD_DECREASE 0.85 /* factor of the limit per tick */
#define WG_OVERLOAD_INCREASE 0.05 /* step per tick as a fraction of the limit */

/* Workspace of the requests that belong to none; they are counted together. */
#define WG_OVERLOAD_NO_WORKSPACE ((uint64_t)0)

typedef struct {
    wg_time delay_max; /* microseconds; must be positive */
    uint64_t seed;     /* of the jitter of Retry-After */
} wg_overload_desc;

/* Measured delay of input. */
typedef struct {
    wg_time delay;          /* microseconds */
    wg_time since;          /* time at which the measurement started */
    wg_time stall_ended_at; /* end of the last stall of the process; 0: none */
} wg_overload_sample;

typedef enum {
    WG_OVERLOAD_UNCHANGED = 0,
    WG_OVERLOAD_BEGUN, /* a limit is in force from now on */
    WG_OVERLOAD_ENDED
} wg_overload_change;

typedef struct {
    double limit;           /* requests per second; 0: none in force */
    double read;            /* requests read per second, admitted or not */
    uint64_t largest;       /* workspace with most requests; WG_OVERLOAD_NO_WORKSPACE if none */
    double largest_read;    /* its requests read per second */
    uint64_t refused;       /* requests refused so far */
    double workspace_limit; /* share of a workspace, requests per second; 0: none in force */
} wg_overload_stats;

typedef struct wg_overload wg_overload;

wg_overload* wg_overload_setup(const wg_overload_desc* desc);
void wg_overload_shutdown(wg_overload* overload);
/* Counts a request whose head was read. False: it has to be refused. A workspace is below its share
   while its requests, less a burst of WG_OVERLOAD_BURST_MIN or two ticks of its share, whichever is
   larger, stay within its share. */
bool wg_overload_admits(wg_overload* overload, wg_time now, uint64_t workspace);
/* Adjusts the limit. Ticks may be late. */
wg_overload_change wg_overload_tick(wg_overload* overload, wg_time now,
                                    const wg_overload_sample* sample);
/* Whether a limit is in force. */
bool wg_overload_is_limited(const wg_overload* overload);
/* Microseconds after which the caller of a refused request may send it again; longer and spread
   more the further requests exceed the limit. `left`: time left until the caller's deadline, or
   WG_TIME_NEVER. 0 if the deadline has passed. */
wg_time wg_overload_retry_after(wg_overload* overload, wg_time left);
wg_overload_stats wg_overload_query_stats(const wg_overload* overload);
