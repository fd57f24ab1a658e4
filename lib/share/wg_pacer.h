#pragma once
/*
    wg_pacer.h -- when a router reports to the leader, within a budget of bytes

    WHAT IT DOES
        Reports leave at an interval while requests are at work, at a longer one while there are
   none, and soon when the leader's plan would be different if it knew: a workspace begins to wait,
   slots fall idle, a slot drained that the leader has taken back. Over the budget only what keeps
   the leases alive is sent. Pure.

    USE
        1. wgf_pacer_setup(&pacer, &(wgf_pacer_desc){.now = now});
        2. wgf_pacer_want(&pacer); wgf_pacer_state(&pacer, &(wgf_pacer_news){.waiting = true});
        3. if (wgf_pacer_due(&pacer, now, bytes_so_far)) { send; wgf_pacer_sent(&pacer, now,
   waiting); }

    THE CALLER OWNS
        the pacer struct (plain data).
*/
#include "wg_base.h"

enum {
    WGF_PACER_INTERVAL_DEFAULT = 200 * WG_USEC_PER_MSEC,
    WGF_PACER_QUIET_DEFAULT = 500 * WG_USEC_PER_MSEC,
    WGF_PACER_GAP_DEFAULT = 20 * WG_USEC_PER_MSEC,
    WGF_PACER_VITAL_DEFAULT = 500 * WG_USEC_PER_MSEC,
    WGF_PACER_BUDGET_DEFAULT = 6000, /* bytes per second */
    WGF_PACER_SAVED_SECONDS = 10     /* unspent budget may be saved up for this long */
};

typedef struct {
    wg_time now;
    wg_time interval; /* between two reports while requests are at work */
    wg_time quiet;    /* between two reports while there are none */
    wg_time gap;      /* shortest time between two reports */
    wg_time vital;    /* after this long a report leaves whatever the budget says */
    int64_t budget;   /* bytes per second, both ways */
} wgf_pacer_desc;

typedef struct {
    wgf_pacer_desc desc;
    wg_time sent_at;
    bool wanted;
    bool at_work;      /* requests run or wait */
    bool waiting_told; /* the leader was told that requests wait */
    double left;       /* bytes */
    wg_time left_at;
    uint64_t counted; /* bytes so far at the last look */
    uint64_t held_back;
} wgf_pacer;

/* How things stand at the router. */
typedef struct {
    bool at_work; /* requests run or wait */
    bool waiting; /* requests wait */
    bool idle;    /* leased slots are idle */
} wgf_pacer_news;

/* Begin with no report sent; zero fields of `desc` take their defaults. */
void wgf_pacer_setup(wgf_pacer* pacer, const wgf_pacer_desc* desc);
/* Something happened that the leader should know soon. */
void wgf_pacer_want(wgf_pacer* pacer);
/* How things stand now; call it after each change. */
void wgf_pacer_state(wgf_pacer* pacer, const wgf_pacer_news* news);
/* Whether to report now. `bytes` counts the link's traffic since it began, both ways. */
bool wgf_pacer_due(wgf_pacer* pacer, wg_time now, uint64_t bytes);
void wgf_pacer_sent(wgf_pacer* pacer, wg_time now, bool waiting);
/* Earliest time at which wgf_pacer_due() could say yes. */
wg_time wgf_pacer_next(const wgf_pacer* pacer);
