#pragma once
/*
    wg_queue.h -- one router's weighted fair queue of one service, across workspaces

    WHAT IT DOES
        Holds waiting requests and decides which goes next. Each workspace has a virtual time: the
        cost it took, over its weight, fleet-wide as far as this router knows. The backlogged
        workspace with the smallest virtual time goes next (start-time fair queueing, Goyal, Vin and
        Cheng 1997). Pure.

    FEATURES
        - cost is known only at the end: an estimate counts while a request runs, tokens count as
   they stream, the end settles it
        - accounts of settled cost only rise, so a repeated or late report changes nothing
        - urgent requests go first within their workspace's own share, and alone may use a reserve
   of slots; what they take is charged to their workspace
        - limits per workspace: rate, requests in flight, queue length, tokens per minute, each
          refusal with the time after which to come back, from the measured drain
        - a request that cannot be served in time is refused at once

    USE
        1. wgq_queue* q = wgq_setup(&(wgq_desc){.requests_max = 4096}, &error);
        2. r = wgq_push(q, now, &(wgq_request){.workspace = id, .limits = ...}, &refusal);
        3. while (a slot is free && wgq_pick(q, now, false, &r)) start(r);
        4. wgq_charge(q, r, tokens);  wgq_refresh(q, now);  wgq_finish(q, now, r, cost);
        5. while (wgq_expire(q, now, &r)) answer "too late" and wgq_drop(q, r);
        6. wgq_sync() with what the leader says of the fleet; wgq_accounts() to tell it.
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

/* Limits of a workspace, as its row gives them; 0 is none. */
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
    bool again;         /* a retry: no rate limit, goes to the head of its queue */
    int64_t estimate;   /* cost; 0: average of the workspace's, else desc.first_cost */
    wg_time wait_until; /* leave the queue by then */
    wg_time deadline;   /* of the whole request */
    void* user_data;
} wgq_request;

typedef enum {
    WGQ_REFUSAL_DEFAULT = 0,
    WGQ_REFUSAL_RATE,
    WGQ_REFUSAL_IN_FLIGHT,
    WGQ_REFUSAL_QUEUE,  /* its own queue is full */
    WGQ_REFUSAL_TOKENS, /* its budget of tokens is used up */
    WGQ_REFUSAL_FULL,   /* the router's memory for requests is used up */
    WGQ_REFUSAL_LATE,   /* cannot be served in time */
    WGQ_REFUSAL_NUM
} wgq_refusal_code;

typedef struct {
    wgq_refusal_code code;
    wg_time retry_after; /* how long until it makes sense to come back */
} wgq_refusal;

/* What the leader is told of one workspace. */
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
    int64_t first_cost; /* estimate without any history; default 200 */
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

/* Queue a request; id 0 and *refusal filled in when it is refused. */
wgq_handle wgq_push(wgq_queue* queue, wg_time now, const wgq_request* request,
                    wgq_refusal* refusal);
/* The next request to start, or false. `urgent_only`: only the reserve is free. */
bool wgq_pick(wgq_queue* queue, wg_time now, bool urgent_only, wgq_handle* picked);
/* A running request has cost this much so far. */
void wgq_charge(wgq_queue* queue, wgq_handle handle, int64_t cost_so_far);
/* Raise the estimates of running requests that have been at work for longer than their estimate
   stands for, by the service's usual cost per second. */
void wgq_refresh(wgq_queue* queue, wg_time now);
/* A running request ended and cost this much in all. */
void wgq_finish(wgq_queue* queue, wg_time now, wgq_handle handle, int64_t cost);
/* A waiting request that has to be given up now, or false. It stays until wgq_drop(). */
bool wgq_expire(wgq_queue* queue, wg_time now, wgq_handle* expired);
/* Take out a waiting request. */
void wgq_drop(wgq_queue* queue, wgq_handle handle);
/* When wgq_expire() has to be looked at next; WG_TIME_NEVER when nothing waits. */
wg_time wgq_next_expiry(const wgq_queue* queue);
void* wgq_user_data(const wgq_queue* queue, wgq_handle handle);
void wgq_set_user_data(wgq_queue* queue, wgq_handle handle, void* user_data);
/* How long a request of this workspace would wait now, by the measured drain. */
wg_time wgq_expected_wait(const wgq_queue* queue, wg_time now, uint32_t workspace);

/* Waiting requests of one workspace. */
int wgq_query_waiting(const wgq_queue* queue, uint32_t workspace);

/* What the fleet knows of a workspace, others' running requests included: its virtual time when
   this router's account stood at `acked` served. */
void wgq_sync(wgq_queue* queue, uint32_t workspace, uint64_t virtual_time, uint64_t acked);
/* Virtual time at which a workspace that comes back from idle starts. */
void wgq_set_fleet_time(wgq_queue* queue, uint64_t virtual_time);
/* Weight of a workspace changed. */
void wgq_set_weight(wgq_queue* queue, uint32_t workspace, int64_t weight);
/* Accounts that changed since they were last taken (all: every known one); returns how many. */
int wgq_accounts(wgq_queue* queue, bool all, wgq_account* accounts, int max);
/* Virtual time of a workspace here; 0 when unknown. */
uint64_t wgq_query_virtual_time(const wgq_queue* queue, uint32_t workspace);
wgq_stats wgq_query_stats(const wgq_queue* queue);
