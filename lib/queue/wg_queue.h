#pragma once
/*
    wg_queue.h -- weighted fair queue of one service on one router, across workspaces

    WHAT IT DOES
        Holds waiting requests and decides which one starts next. Each workspace has a virtual time:
        its cost divided by its weight, fleet-wide as far as this router knows. The backlogged
        workspace with the smallest virtual time goes next (start-time fair queueing, Goyal, Vin and
        Cheng 1997). Pure.

    FEATURES
        - the cost of a request is known only at its end: an estimate counts while it runs, tokens
          are charged as they are streamed, and the final cost replaces the estimate
        - accounts of settled cost only rise, so a repeated or late report changes nothing
        - urgent requests go first within the share of their workspace, and only they may use the
          reserve of slots; their cost is charged to their workspace
        - limits per workspace: rate, requests in flight, queue length, tokens per minute; each
          refusal carries a retry time derived from the drain rate
        - a request that cannot be served in time is refused at once

    USE
        1. wgq_queue* q = wgq_setup(&(wgq_desc){.requests_max = 4096}, &error);
        2. r = wgq_push(q, now, &(wgq_request){.workspace = id, .limits = ...}, &refusal);
        3. while (a slot is free && wgq_pick(q, now, false, &r)) start(r);
        4. wgq_charge(q, r, tokens);  wgq_raise_estimates(q, now);  wgq_finish(q, now, r, cost);
        5. while (wgq_expire(q, now, &r)) refuse it and wgq_drop(q, r);
        6. wgq_sync() with fleet state from the leader; wgq_take_accounts() to report to the leader.
        7. wgq_shutdown(q);

    THE CALLER OWNS
        user_data of requests. Handles go stale after wgq_finish() or wgq_drop().
*/
#include "wg_base.h"

enum {
    WGQ_FLOWS_DEFAULT = 32768,
    WGQ_REQUESTS_DEFAULT = 8192,
    /* Virtual time is cost * WGQ_SCALE / weight. */
    WGQ_SCALE = 1000000
};

typedef struct {
    uint32_t id;
} wgq_handle;

/* Limits of a workspace from its row; 0: no limit. */
typedef struct {
    int64_t weight;
    int64_t rate;
    int64_t burst;
    int64_t in_flight;
    int64_t queue;
    int64_t tokens_per_minute;
    int64_t urgent_percent;
} wgq_limits;

typedef struct {
    uint32_t workspace; /* row id */
    wgq_limits limits;
    bool urgent;
    bool retry;         /* a retry: exempt from the rate limit, queued at the head */
    int64_t estimate;   /* expected cost; 0: average of the workspace, else desc.first_cost */
    wg_time wait_until; /* the request expires if it has not started by then */
    wg_time deadline;   /* end of the request, its run time included */
    void* user_data;
} wgq_request;

typedef enum {
    WGQ_REFUSAL_DEFAULT = 0,
    WGQ_REFUSAL_RATE,
    WGQ_REFUSAL_IN_FLIGHT,
    WGQ_REFUSAL_QUEUE,  /* the queue of the workspace is full */
    WGQ_REFUSAL_TOKENS, /* tokens-per-minute limit exceeded */
    WGQ_REFUSAL_FULL,   /* no room for more requests or workspaces on this router */
    WGQ_REFUSAL_LATE,   /* cannot be served in time */
    WGQ_REFUSAL_NUM
} wgq_refusal_code;

typedef struct {
    wgq_refusal_code code;
    wg_time retry_after; /* when a retry may succeed, relative to now */
} wgq_refusal;

/* What is reported to the leader about one workspace. */
typedef struct {
    uint32_t workspace;
    uint64_t served;  /* settled cost since this process started; only rises */
    uint32_t pending; /* estimated cost of running requests that is not settled yet */
    uint32_t queued;
    uint32_t running;
} wgq_account;

typedef struct {
    int flows_max;
    int requests_max;
    int64_t first_cost; /* estimate when no request has finished yet; default 200 */
} wgq_desc;

typedef struct {
    int flows;
    int queued;
    int running;
    int urgent_queued;
    uint64_t pushed;
    uint64_t refused[WGQ_REFUSAL_NUM];
    uint64_t picked;
    uint64_t finished;
    uint64_t expired;
    uint64_t served;
} wgq_stats;

typedef struct wgq_queue wgq_queue;

/* NULL with an error (WG_ERROR_INVALID) when a field of `desc` is wrong. */
wgq_queue* wgq_setup(const wgq_desc* desc, GError** error);
void wgq_shutdown(wgq_queue* queue);

/* Queues a request. When it is refused, the id is 0 and *refusal is filled in. */
wgq_handle wgq_push(wgq_queue* queue, wg_time now, const wgq_request* request,
                    wgq_refusal* refusal);
/* Starts the next request; false when none is eligible. `urgent_only`: only the reserve is free. */
bool wgq_pick(wgq_queue* queue, wg_time now, bool urgent_only, wgq_handle* picked);
/* Charges a running request up to `cost_so_far`. */
void wgq_charge(wgq_queue* queue, wgq_handle handle, int64_t cost_so_far);
/* Raises the estimates of running requests that have outrun them, by the service's average cost per
   unit of run time. */
void wgq_raise_estimates(wgq_queue* queue, wg_time now);
/* Ends a running request with its final cost. */
void wgq_finish(wgq_queue* queue, wg_time now, wgq_handle handle, int64_t cost);
/* Sets `expired` to a waiting request that has expired; false when there is none. The request stays
   queued until wgq_drop(). */
bool wgq_expire(wgq_queue* queue, wg_time now, wgq_handle* expired);
/* Removes a waiting request. */
void wgq_drop(wgq_queue* queue, wgq_handle handle);
/* When wgq_expire() must be called next; WG_TIME_NEVER when no request waits. */
wg_time wgq_next_expiry(const wgq_queue* queue);
void* wgq_user_data(const wgq_queue* queue, wgq_handle handle);
void wgq_set_user_data(wgq_queue* queue, wgq_handle handle, void* user_data);
/* Expected wait of a new request of this workspace, from its recent drain rate. */
wg_time wgq_expected_wait(const wgq_queue* queue, wg_time now, uint32_t workspace);

/* Number of waiting requests of one workspace. */
int wgq_query_waiting(const wgq_queue* queue, uint32_t workspace);

/* Sets the fleet-wide virtual time of a workspace, running requests on other routers included.
   `acked`: this router's served cost that it contains. */
void wgq_sync(wgq_queue* queue, uint32_t workspace, uint64_t virtual_time, uint64_t acked);
/* Sets the virtual time at which a workspace that was idle starts. */
void wgq_set_fleet_time(wgq_queue* queue, uint64_t virtual_time);
void wgq_set_weight(wgq_queue* queue, uint32_t workspace, int64_t weight);
/* Fills in up to `max` accounts that changed since the last call (`all`: every account); returns
   their number. */
int wgq_take_accounts(wgq_queue* queue, bool all, wgq_account* accounts, int max);
/* Virtual time of a workspace on this router; 0 when the workspace is unknown. */
uint64_t wgq_query_virtual_time(const wgq_queue* queue, uint32_t workspace);
wgq_stats wgq_query_stats(const wgq_queue* queue);
