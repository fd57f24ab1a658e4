#pragma once
/* wg_share_internal.h -- state shared by the files of lib/share; not installed */
#include "wg_share.h"

/* Slots of a target at a router. All of them count against the target. */
typedef struct {
    uint16_t held;     /* as the router last said */
    uint16_t sent;     /* added since; the router may not have them yet */
    uint16_t fresh;    /* to be added with the next orders */
    uint32_t sent_seq; /* of the last orders that added some */
    bool aside;        /* it failed for this router */
} _wgf_slot_t;

/* One service's use by one workspace at one router. */
typedef struct {
    int flow;
    int router;
    int next_of_flow; /* -1 ends */
    int next_of_router;
    gint64 key;
    uint64_t served;
    uint32_t pending;
    uint32_t queued;
    uint32_t running;
} _wgf_account_t;

/* One service's use by one workspace. */
typedef struct {
    gint64 key;
    int service;
    uint32_t workspace;
    int64_t weight;
    int64_t virtual_time; /* settled */
    uint64_t served;      /* since this leader began */
    int64_t pending;
    int64_t queued;
    int64_t running;
    int first_account;
    int active_place; /* in the service's list of flows with demand; -1 */
    bool limited;     /* scratch of a plan: wants more than its fair share */
} _wgf_flow_t;

typedef struct {
    uint32_t id;
    bool live;
    bool seen; /* by the configuration under way */
    int over_percent;
    int64_t first_cost;
    int64_t fleet_time;
    int* active; /* flows with demand */
    int active_num;
} _wgf_service_t;

typedef struct {
    uint32_t id;
    bool live;
    bool seen;
    bool leaving;
    int service;
    int slots;
    int counted; /* over all routers */
    int aside;   /* routers for which it failed */
    int holders; /* routers that hold slots and for which it has not failed */
    char data_centre[WG_NAME_MAX];
} _wgf_target_t;

typedef struct {
    bool live;
    uint64_t incarnation;
    char name[WG_NAME_MAX];
    char data_centre[WG_NAME_MAX];
    wg_time heard_at;
    bool reported;
    bool leaving;
    bool lapsed;
    int first_account;
    bool has_orders;
    uint32_t quota[WGF_SERVICES_MAX];      /* wanted */
    uint32_t quota_sent[WGF_SERVICES_MAX]; /* as last ordered */
    /* scratch of a plan */
    double exact;
    int64_t demand;
    int want;
    int holds;
    int asked;
} _wgf_router_t;

struct wgf_share {
    wgf_desc desc;
    wg_time may_grant_at; /* end of a new leader's wait */
    wg_pool routers_pool;
    _wgf_router_t* routers;
    _wgf_target_t* targets;
    int targets_num; /* places used so far */
    GHashTable* target_by_id;
    _wgf_service_t services[WGF_SERVICES_MAX];
    int services_num;
    _wgf_flow_t* flows;
    int flows_num;
    GHashTable* flow_by_key;
    GHashTable* weights;
    _wgf_account_t* accounts;
    int accounts_num;
    int free_account; /* chain through next_of_flow */
    GHashTable* account_by_key;
    _wgf_slot_t* slots; /* [router * targets_max + target] */
    double* shares;     /* scratch: slots per flow in a plan */
    wgf_stats stats;
};

_wgf_slot_t* _wgf_slot(const wgf_share* s, int router, int target);
/* Replace a slot's counts; keeps the target's sum right. */
void _wgf_set_slot(wgf_share* s, int router, int target, _wgf_slot_t slot);
int _wgf_slot_sum(const _wgf_slot_t* slot);
void _wgf_clear_router_slots(wgf_share* s, int router);
/* A router's waiting and running requests count no longer. */
void _wgf_clear_router_demand(wgf_share* s, int router);
int _wgf_capacity(const wgf_share* s, const _wgf_target_t* target);
int64_t _wgf_effective_time(const _wgf_flow_t* flow);
