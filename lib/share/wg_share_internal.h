#pragma once
/* wg_share_internal.h -- state shared by the files of lib/share; not installed */
#include "wg_share.h"

/* Slots of a target at a router. Held, sent and unsent slots all count against the target. */
typedef struct {
    uint16_t held;     /* in the router's last report */
    uint16_t sent;     /* granted since; the router may not have received them yet */
    uint16_t unsent;   /* granted, to be sent with the next orders */
    uint32_t sent_seq; /* seq of the last orders that granted some */
    bool ejected;      /* the target failed for this router */
} _wgf_slot_t;

/* Use of one service by one workspace at one router. */
typedef struct {
    int flow;
    int router;
    int next_of_flow; /* -1: end of list */
    int next_of_router;
    gint64 key;
    uint64_t served;
    uint32_t pending;
    uint32_t queued;
    uint32_t running;
} _wgf_account_t;

/* Use of one service by one workspace, over all routers. */
typedef struct {
    gint64 key;
    int service;
    uint32_t workspace;
    int64_t weight;
    int64_t virtual_time; /* of completed requests */
    uint64_t served;      /* since this leader began */
    int64_t pending;
    int64_t queued;
    int64_t running;
    int first_account;
    int active_index; /* index in the service's list of flows with demand; -1: not in it */
    bool limited;     /* scratch of a plan: demand exceeds the fair share */
} _wgf_flow_t;

typedef struct {
    uint32_t id;
    bool live;
    bool seen; /* named since wgf_config_begin() */
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
    bool draining;
    int service;
    int slots;
    int counted;     /* slots leased, over all routers */
    int ejected_num; /* number of routers that ejected the target */
    int holders;     /* number of routers that hold slots and haven't ejected the target */
    char data_centre[WG_NAME_MAX];
} _wgf_target_t;

typedef struct {
    bool live;
    uint64_t incarnation;
    char name[WG_NAME_MAX];
    char data_centre[WG_NAME_MAX];
    wg_time last_contact_at;
    bool reported;
    bool leaving;
    bool lapsed;
    int first_account;
    bool has_orders;
    uint32_t quota[WGF_SERVICES_MAX];      /* planned */
    uint32_t quota_sent[WGF_SERVICES_MAX]; /* last sent to the router */
    /* scratch of a plan */
    double exact_quota;
    int64_t demand;
    int wanted_slots;
    int held_slots;
    int reclaimed;
} _wgf_router_t;

struct wgf_share {
    wgf_desc desc;
    wg_time may_grant_at; /* a new leader grants nothing before */
    wg_pool routers_pool;
    _wgf_router_t* routers;
    _wgf_target_t* targets;
    int targets_num; /* entries in use, including removed targets */
    GHashTable* target_by_id;
    _wgf_service_t services[WGF_SERVICES_MAX];
    int services_num;
    _wgf_flow_t* flows;
    int flows_num;
    GHashTable* flow_by_key;
    GHashTable* weights;
    _wgf_account_t* accounts;
    int accounts_num;
    int free_account; /* head of the free list, linked by next_of_flow */
    GHashTable* account_by_key;
    _wgf_slot_t* slots; /* [router * targets_max + target] */
    double* shares;     /* scratch of a plan: slots or weight per flow */
    wgf_stats stats;
};

_wgf_slot_t* _wgf_slot(const wgf_share* s, int router, int target);
/* Replaces a slot's counts and updates the target's totals. */
void _wgf_set_slot(wgf_share* s, int router, int target, _wgf_slot_t slot);
int _wgf_slot_sum(const _wgf_slot_t* slot);
void _wgf_clear_router_slots(wgf_share* s, int router);
/* Clears the queued and running requests of a router. */
void _wgf_clear_router_demand(wgf_share* s, int router);
int _wgf_capacity(const wgf_share* s, const _wgf_target_t* target);
int64_t _wgf_effective_time(const _wgf_flow_t* flow);
