#pragma once
/*
    wg_share.h -- the leader's view of the fleet: accounts of workspaces, and slot leases to routers

    WHAT IT DOES
        Routers report, per service and workspace, what they served, what runs and what waits. Out
   of it the leader keeps each workspace's fleet-wide virtual time, and decides how many slots of
        each target each router may use. Pure.

    FEATURES
        - accounts only rise and are merged by maximum: repeated, crossed or late reports change
          nothing, and a restarted router is a new account
        - a workspace that comes back from idle starts at the fleet's smallest virtual time: it
   banks no credit; one that took more than its share pays for it
        - slots follow demand: weighted max-min over backlogged workspaces, those behind in virtual
          time more; each router gets the part of its workspaces' shares that it has the demand for
        - a target that has failed for every router that tried it is not counted on until one router
          says that it works again
        - slots that nobody needs are spread over the routers, and some stay with the leader, so
   that a new request starts without asking
        - the leader only adds slots, the router only gives them back: what the leader counts is
   never less than what the router holds, so that a target is never leased twice
        - slots are asked back by a quota; the router gives back whichever falls idle first
        - a new leader first learns what routers hold before it grants anything

    USE
        1. wgf_share* s = wgf_setup(&(wgf_desc){.now = now}, &error);
        2. wgf_config_begin(s); wgf_config_service(); wgf_config_target(); wgf_config_end(s);
        3. r = wgf_router_up(s, now, "r1", incarnation, "plateau");  wgf_report(s, now, r, &report);
        4. wgf_plan(s, now);
        5. wgf_take_orders(s, r, seq, &orders); num = wgf_take_fairs(s, r, fairs, max);
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
    WGF_SLOT_TERM_DEFAULT = 2 * WG_USEC_PER_SEC,
    WGF_SPARE_KEPT_PERCENT = 25, /* of slots nobody needs, kept by the leader */
    WGF_GRANTS_MAX = 256,        /* in one set of orders; the rest goes with the next */
    WGF_SCALE = 1000000          /* virtual time is cost * WGF_SCALE / weight */
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
    uint64_t virtual_time; /* as the router last knew it; only looked at in full reports */
} wgf_account;

/* Slots that a router holds at a target. */
typedef struct {
    uint32_t target;
    uint32_t slots;
    bool aside; /* the target failed for this router, which gives it no work for now */
} wgf_held;

typedef struct {
    bool full;        /* first report on a link: replaces what is known of the router */
    uint64_t applied; /* newest seq of wgf_take_orders() that the router has applied */
    bool leaving;
    const wgf_account* accounts;
    int accounts_num;
    const wgf_held* held; /* those that changed or were granted more since; full reports: all */
    int held_num;
} wgf_report_desc;

typedef struct {
    uint32_t target;
    uint32_t add;
} wgf_grant;

typedef struct {
    uint32_t service;
    uint32_t most; /* WGF_NO_QUOTA: keep what there is */
} wgf_quota;

/* What leaves for a router after a plan. */
typedef struct {
    wgf_grant grants[WGF_GRANTS_MAX];
    int grants_num;
    wgf_quota quotas[WGF_SERVICES_MAX];
    int quotas_num;
} wgf_orders;

typedef struct {
    uint32_t service;
    uint32_t workspace;
    uint64_t virtual_time; /* without the router's own running requests */
    uint64_t acked;        /* `served` of the router that is contained */
} wgf_fair;

typedef struct {
    wg_time now;
    int routers_max;
    int targets_max;
    int flows_max;
    int accounts_max;
    wg_time slot_term; /* leases end this long after the report they answer */
} wgf_desc;

typedef struct {
    int routers;
    int targets;
    int flows;
    int accounts;
    int64_t slots;  /* of targets that take work */
    int64_t leased; /* counted as used or usable by routers */
    uint64_t plans;
    uint64_t lapsed; /* routers whose leases ended by silence */
    uint64_t stale_reports;
} wgf_stats;

typedef struct wgf_share wgf_share;

/* NULL with an error (WG_ERROR_INVALID) when a field of `desc` is wrong. */
wgf_share* wgf_setup(const wgf_desc* desc, GError** error);
void wgf_shutdown(wgf_share* share);

/* Between begin and end name all services and targets; others are forgotten at the end. */
void wgf_config_begin(wgf_share* share);
bool wgf_config_service(wgf_share* share, uint32_t service, int over_percent, int64_t first_cost);
bool wgf_config_target(wgf_share* share, uint32_t target, uint32_t service, int slots, bool leaving,
                       const char* data_centre);
void wgf_config_end(wgf_share* share);
/* Weight of a workspace, which counts from now on. Unknown workspaces have weight 100. */
void wgf_set_weight(wgf_share* share, uint32_t workspace, int64_t weight);

/* A router's link is up; the same incarnation keeps its accounts. id 0 when there is no room. */
wgf_router wgf_router_up(wgf_share* share, wg_time now, const char* name, uint64_t incarnation,
                         const char* data_centre);
/* A router stopped in the planned way and holds nothing any more. */
void wgf_router_gone(wgf_share* share, wgf_router router);
void wgf_report(wgf_share* share, wg_time now, wgf_router router, const wgf_report_desc* report);
/* The leader does not know what this router holds: it has to send a full report. */
bool wgf_wants_full(const wgf_share* share, wgf_router router);
/* Work out anew who may use which slots; also ends the leases of silent routers. */
void wgf_plan(wgf_share* share, wg_time now);
/* Grants and quotas that are new for this router; they leave with `seq`. False when there are none.
 */
bool wgf_take_orders(wgf_share* share, wgf_router router, uint64_t seq, wgf_orders* orders);
bool wgf_has_orders(const wgf_share* share, wgf_router router);
/* Virtual times of the workspaces that this router has waiting or running. */
int wgf_take_fairs(wgf_share* share, wgf_router router, wgf_fair* fairs, int max);
/* Virtual time at which a workspace starts that comes back from idle. */
uint64_t wgf_query_fleet_time(const wgf_share* share, uint32_t service);
/* Virtual time of one workspace; 0 when unknown. */
uint64_t wgf_query_virtual_time(const wgf_share* share, uint32_t service, uint32_t workspace);
/* Cost that a workspace took of a service since this leader began; 0 when unknown. */
uint64_t wgf_query_served(const wgf_share* share, uint32_t service, uint32_t workspace);
/* Slots counted as held on one target, over all routers. */
int wgf_query_leased(const wgf_share* share, uint32_t target);
wgf_stats wgf_query_stats(const wgf_share* share);
