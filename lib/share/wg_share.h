#pragma once
/*
    wg_share.h -- the leader's fleet-wide accounts of workspaces, and slot leases to routers

    WHAT IT DOES
        Routers report, per service and workspace, their usage and their running and queued
        requests. From the reports the leader maintains each workspace's fleet-wide virtual time and
        decides how many slots of each target a router may use. Pure.

    FEATURES
        - account counters are monotonic and merged by maximum: duplicate, reordered or late
          reports change nothing, and a restarted router is a new account
        - a workspace that becomes active again starts at the service's lowest virtual time, so
          idle time earns no credit; usage above the fair share is charged
        - slots follow demand: weighted max-min over backlogged workspaces, with a higher weight
          for those below their fair share; a router gets the part of its workspaces' shares that
          its demand accounts for
        - a target that has failed for every router that tried it has no capacity until one router
          reports that it works again
        - most unused slots are distributed over the routers and the rest stays with the leader, so
          that new requests start without a round trip
        - only the leader adds slots and only the router releases them: the leader's count is never
          below the router's, so no slot is leased twice
        - slots are reclaimed by a quota; the router releases whichever become idle first
        - a new leader learns what routers hold before it grants anything

    USE
        1. wgf_share* s = wgf_setup(&(wgf_desc){.now = now}, &error);
        2. wgf_config_begin(s); wgf_config_service(); wgf_config_target(); wgf_config_end(s);
        3. r = wgf_router_up(s, now, "r1", incarnation, "plateau");  wgf_report(s, now, r, &report);
        4. wgf_plan(s, now);
        5. wgf_take_orders(s, r, seq, &orders); num = wgf_take_virtual_times(s, r, times, max);
        6. wgf_shutdown(s);

    THE CALLER OWNS
        all arrays passed in. Ids of services, workspaces and targets are row ids of the table.
*/
#include "wg_base.h"

enum {
    WGF_ROUTERS_DEFAULT = 512,
    WGF_TARGETS_DEFAULT = 1024,
    WGF_SERVICES_MAX = 32,
    WGF_FLOWS_DEFAULT = 32768,
    WGF_ACCOUNTS_DEFAULT = 262144,
    WGF_SLOT_LEASE_DEFAULT = 2 * WG_USEC_PER_SEC,
    WGF_UNUSED_RESERVE_PERCENT = 25, /* part of the unused slots that isn't granted */
    WGF_GRANTS_MAX = 256,            /* grants per set of orders; others follow in the next */
    WGF_SCALE = 1000000              /* virtual time is cost * WGF_SCALE / weight */
};

#define WGF_NO_QUOTA UINT32_MAX

typedef struct {
    uint32_t id;
} wgf_router;

typedef struct {
    uint32_t service;
    uint32_t workspace;
    uint64_t served;
    uint32_t pending;
    uint32_t queued;
    uint32_t running;
    uint64_t virtual_time; /* last value known to the router; used in full reports only */
} wgf_account;

/* Slots that a router holds at a target. */
typedef struct {
    uint32_t target;
    uint32_t slots;
    bool ejected; /* the target failed for this router and gets no requests from it */
} wgf_held_slots;

typedef struct {
    bool full;        /* first report on a link: replaces the state known of the router */
    uint64_t applied; /* newest seq of wgf_take_orders() that the router has applied */
    bool leaving;
    const wgf_account* accounts;
    int accounts_num;
    /* targets whose slots changed or were granted since the last report; full reports: all */
    const wgf_held_slots* held;
    int held_num;
} wgf_report_desc;

typedef struct {
    uint32_t target;
    uint32_t add;
} wgf_grant;

typedef struct {
    uint32_t service;
    uint32_t max; /* WGF_NO_QUOTA: no limit */
} wgf_quota;

/* Grants and quotas to send to a router after a plan. */
typedef struct {
    wgf_grant grants[WGF_GRANTS_MAX];
    int grants_num;
    wgf_quota quotas[WGF_SERVICES_MAX];
    int quotas_num;
} wgf_orders;

typedef struct {
    uint32_t service;
    uint32_t workspace;
    uint64_t virtual_time; /* excludes the router's own running requests */
    uint64_t acked;        /* value of the router's `served` included in virtual_time */
} wgf_virtual_time;

typedef struct {
    wg_time now;
    int routers_max;
    int targets_max;
    int flows_max;
    int accounts_max;
    wg_time slot_lease; /* leases expire this long after the report that renewed them */
} wgf_desc;

typedef struct {
    int routers;
    int targets;
    int flows;
    int accounts;
    int64_t slots;  /* of targets that accept requests */
    int64_t leased; /* slots counted against targets: held by routers or granted to them */
    uint64_t plans;
    uint64_t lapsed; /* number of times that a router's leases expired without a report */
    uint64_t stale_reports;
} wgf_stats;

typedef struct wgf_share wgf_share;

/* NULL with an error (WG_ERROR_INVALID) when a field of `desc` is wrong. */
wgf_share* wgf_setup(const wgf_desc* desc, GError** error);
void wgf_shutdown(wgf_share* share);

/* Sets the configuration: all services and targets are named between begin and end; end removes
   those that were not named. */
void wgf_config_begin(wgf_share* share);
bool wgf_config_service(wgf_share* share, uint32_t service, int over_percent, int64_t first_cost);
bool wgf_config_target(wgf_share* share, uint32_t target, uint32_t service, int slots,
                       bool draining, const char* data_centre);
void wgf_config_end(wgf_share* share);
/* Sets a workspace's weight, effective immediately. The default is 100. */
void wgf_set_weight(wgf_share* share, uint32_t workspace, int64_t weight);

/* Registers a router whose link is up. The same incarnation keeps its accounts. Returns id 0 when
   there is no room. */
wgf_router wgf_router_up(wgf_share* share, wg_time now, const char* name, uint64_t incarnation,
                         const char* data_centre);
/* Removes a router after a planned stop; its slots are free again. */
void wgf_remove_router(wgf_share* share, wgf_router router);
void wgf_report(wgf_share* share, wg_time now, wgf_router router, const wgf_report_desc* report);
/* True when the leader has no current state of this router and needs a full report. */
bool wgf_needs_full_report(const wgf_share* share, wgf_router router);
/* Recomputes the slots of all routers, and expires the leases of routers that don't report. */
void wgf_plan(wgf_share* share, wg_time now);
/* Returns new grants and quotas for a router, to be sent with `seq`; false when there are none. */
bool wgf_take_orders(wgf_share* share, wgf_router router, uint64_t seq, wgf_orders* orders);
bool wgf_has_orders(const wgf_share* share, wgf_router router);
/* Virtual times of the workspaces that have queued or running requests at this router. */
int wgf_take_virtual_times(wgf_share* share, wgf_router router, wgf_virtual_time* times, int max);
/* Virtual time at which a workspace starts when it becomes active. */
uint64_t wgf_query_fleet_time(const wgf_share* share, uint32_t service);
/* Virtual time of one workspace; 0 when unknown. */
uint64_t wgf_query_virtual_time(const wgf_share* share, uint32_t service, uint32_t workspace);
/* Cost that a workspace has used of a service since this leader began; 0 when unknown. */
uint64_t wgf_query_served(const wgf_share* share, uint32_t service, uint32_t workspace);
/* Slots leased of one target, over all routers. */
int wgf_query_leased(const wgf_share* share, uint32_t target);
wgf_stats wgf_query_stats(const wgf_share* share);
