#pragma once
/*
    wg_pacer.h -- schedules a router's reports to the leader within a traffic budget

    WHAT IT DOES
        Reports are sent at a regular interval while requests are in progress and at a longer one
        otherwise. They are sent early when they would change the leader's plan: a workspace starts
        to wait, slots become idle, or a slot that the leader reclaims is free. Over the budget,
        only the reports needed to renew the leases are sent. Pure.

    USE
        1. wgf_pacer_setup(&pacer, &(wgf_pacer_desc){.now = now});
        2. wgf_pacer_request(&pacer); wgf_pacer_update(&pacer, &(wgf_pacer_load){.waiting = true});
        3. if (wgf_pacer_due(&pacer, now, bytes_so_far)) { send;
              wgf_pacer_sent(&pacer, now, waiting); }

    THE CALLER OWNS
        the pacer struct (plain data).
*/
#include "wg_base.h"

enum {
    WGF_PACER_INTERVAL_DEFAULT = 200 * WG_USEC_PER_MSEC,
    WGF_PACER_IDLE_INTERVAL_DEFAULT = 500 * WG_USEC_PER_MSEC,
    WGF_PACER_MIN_INTERVAL_DEFAULT = 20 * WG_USEC_PER_MSEC,
    WGF_PACER_MAX_INTERVAL_DEFAULT = 500 * WG_USEC_PER_MSEC,
    WGF_PACER_BUDGET_DEFAULT = 6000, /* bytes per second */
    WGF_PACER_SAVED_SECONDS = 10     /* unused budget accumulates for at most this long */
};

typedef struct {
    wg_time now;
    wg_time interval;      /* between reports while requests are in progress */
    wg_time idle_interval; /* between reports while there are no requests */
    wg_time min_interval;  /* minimum time between reports */
    wg_time max_interval;  /* a report is sent after this long even over the budget */
    int64_t budget;        /* bytes per second, both directions */
} wgf_pacer_desc;

typedef struct {
    wgf_pacer_desc desc;
    wg_time sent_at;
    bool wanted;
    bool at_work;          /* requests are running or queued */
    bool waiting_reported; /* the last report said that requests are waiting */
    double allowance;      /* unused budget in bytes */
    wg_time allowance_at;
    uint64_t counted_bytes; /* link traffic at the last budget check, in bytes */
    uint64_t deferred;
} wgf_pacer;

/* Current load of the router. */
typedef struct {
    bool at_work; /* requests are running or queued */
    bool waiting; /* requests are queued */
    bool idle;    /* leased slots are idle */
} wgf_pacer_load;

/* Zero fields of `desc` take their defaults. */
void wgf_pacer_setup(wgf_pacer* pacer, const wgf_pacer_desc* desc);
/* Requests a report before the regular interval is over. */
void wgf_pacer_request(wgf_pacer* pacer);
/* Updates the load; call it after each change. */
void wgf_pacer_update(wgf_pacer* pacer, const wgf_pacer_load* load);
/* Whether to send a report now. `bytes` is the link's total traffic, both directions. */
bool wgf_pacer_due(wgf_pacer* pacer, wg_time now, uint64_t bytes);
void wgf_pacer_sent(wgf_pacer* pacer, wg_time now, bool waiting);
/* Earliest time at which wgf_pacer_due() can return true. */
wg_time wgf_pacer_next(const wgf_pacer* pacer);
