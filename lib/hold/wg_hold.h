#pragma once
/*
    wg_hold.h -- queue of admission requests that wait at a coordinator, as a pure state machine

    WHAT IT DOES
        A coordinator (lib/admit) adds requests that it cannot grant now. When a target may have
        room again, the queue decides which request is granted next, and it denies requests whose
        wait is over or that can no longer be in time.

    FEATURES
        - order of grants at a target: the workspace with the least recent usage first; within a
          workspace by rank, then by the least time left
        - requests that do not fit now are passed over. After half of its wait, a request that waits
          for prompts to be read makes all requests behind it wait as well.
        - usage counts per unit of the workspace's weight, as last stated by a request
        - usage includes the grants of this coordinator that reports of usage do not contain yet
        - the limit of the complete wait shrinks by the time waited
        - bounded number of requests, and a bounded number of requests examined per decision;
          additions and single removals cost logarithmic time. The removal of a holder passes over
          all requests, an update of usage over all workspaces.

    USE
        1. wg_hold* h = wg_hold_setup(&(wg_hold_desc){.decide = decide, .usage = usage});
        2. if (!wg_hold_ask(h, now, &request, &answer)) send `answer`; else it waits
        3. wg_hold_notify_room(h, target);          // a prompt was read, or a request ended
        4. while (wg_hold_next(h, now, &action)) send the answer of `action`;
        5. a timer at wg_hold_due_at(h), then step 4
        6. wg_hold_remove(h, holder, ticket);       // the holder no longer needs it
           wg_hold_remove_holder(h, holder);        // the holder's link closed

    THE CALLER OWNS
        admissions, links and timers. Requests are copied.
*/
#include "wg_admit.h"

enum {
    WG_HOLD_WAITING_MAX_DEFAULT = 4096
};

typedef struct {
    wg_admit_request admit; /* its limits apply at the time of wg_hold_add() */
    uint64_t workspace;     /* hash of the workspace; 0: none */
    double weight;          /* of the workspace; 0 counts as 1; bounded by wg_fair_weight() */
    uint32_t rank;          /* priority; 0 first */
    uint32_t charge;        /* tokens charged to the workspace when the request is granted */
    wg_time hold;           /* longest wait for room, microseconds */
} wg_hold_request;

typedef enum {
    WG_HOLD_GRANTED = 0,
    WG_HOLD_EXPIRED, /* denied: the longest wait is over */
    WG_HOLD_LATE     /* denied: it can no longer be in time */
} wg_hold_outcome;

typedef struct {
    wg_hold_outcome outcome;
    uint64_t holder;
    uint64_t ticket;
    wg_admit_answer answer;
    wg_time waited; /* microseconds */
} wg_hold_action;

/* Totals since wg_hold_setup(). */
typedef struct {
    uint64_t granted; /* after a wait */
    uint64_t expired; /* denied after a wait, for either reason */
    uint64_t dropped; /* removed by or with their holder, or not added because the queue was full */
} wg_hold_counters;

typedef struct {
    /* Decides on an admission at once and counts it if it is granted, as wg_admit_decide(). */
    wg_admit_answer (*decide)(wg_admit_request* request, wg_time now, void* user_data);
    /* Reported recent usage of a workspace in the whole fleet, tokens. */
    double (*usage)(uint64_t workspace, void* user_data);
    void* user_data;
    int waiting_max; /* default WG_HOLD_WAITING_MAX_DEFAULT */
} wg_hold_desc;

typedef struct wg_hold wg_hold;

/* True if a denied request should not wait: it is denied for other reasons than those of
   wg_hold_denies_for_wait(), or the wait that is too long will not have shrunk to its limit
   within `hold` microseconds. */
bool wg_hold_is_hopeless(const wg_admit_request* request, const wg_admit_answer* answer,
                         wg_time hold);
/* True if a denied request is denied for prompts to be read, requests in progress or requests that
   wait before it, all of which pass with time. */
bool wg_hold_denies_for_wait(const wg_admit_request* request, const wg_admit_answer* answer);
/* Microseconds until the wait in a denial has shrunk to its limits at the speed of the target; 0:
   not known. */
wg_time wg_hold_room_after(const wg_admit_limits* limits, const wg_admit_answer* answer);

wg_hold* wg_hold_setup(const wg_hold_desc* desc);
void wg_hold_shutdown(wg_hold* hold);
/* Decides on a request at once, or adds it to the queue. Returns true if it waits; otherwise
   `answer` is the answer. */
bool wg_hold_ask(wg_hold* hold, wg_time now, const wg_hold_request* request,
                 wg_admit_answer* answer);
/* Adds a request that was denied. False if the queue is full or contains it already. */
bool wg_hold_add(wg_hold* hold, wg_time now, const wg_hold_request* request);
/* True if a waiting request that precedes this one at its target must not be delayed: this one must
   not be granted now. */
bool wg_hold_must_wait(wg_hold* hold, wg_time now, const wg_hold_request* request);
/* Counts a grant to a workspace until reports of usage contain it. Grants by wg_hold_ask() and
   wg_hold_next() count by themselves. */
void wg_hold_charge(wg_hold* hold, wg_time now, uint64_t workspace, uint32_t tokens);
/* Reads the reported usage of all waiting workspaces again; for each report, or periodically. */
void wg_hold_update_usage(wg_hold* hold, wg_time now);
/* The target may have room: wg_hold_next() examines the requests that wait for it. */
void wg_hold_notify_room(wg_hold* hold, uint32_t target);
/* As wg_hold_notify_room() for all targets. */
void wg_hold_notify_all(wg_hold* hold);
/* Returns the next grant or denial in `action`; false: none for now. */
bool wg_hold_next(wg_hold* hold, wg_time now, wg_hold_action* action);
/* Time at which wg_hold_next() is due; 0: at once; WG_TIME_NEVER: not before another call. */
wg_time wg_hold_due_at(const wg_hold* hold);
/* Removes a request. False if it does not wait. */
bool wg_hold_remove(wg_hold* hold, uint64_t holder, uint64_t ticket);
/* Removes all requests of a holder. */
void wg_hold_remove_holder(wg_hold* hold, uint64_t holder);
/* Returns the number of waiting requests. */
int wg_hold_num(const wg_hold* hold);
const wg_hold_counters* wg_hold_count(const wg_hold* hold);
/* Returns the number of comparisons and examined requests so far, as a measure of cost. */
uint64_t wg_hold_operations(const wg_hold* hold);
