#pragma once
/* sim_fleet_internal.h -- state of a replay, shared by the files sim_fleet*.c */
#include "sim_fleet.h"

/* ---- types -------------------------------------------------------------------------------- */

enum {
    SERVICE_ID = 1,
    TARGET_ID_FIRST = 10000,
    SAMPLE_INTERVAL = 100 * WG_USEC_PER_MSEC,
    PLAN_DELAY = 5 * WG_USEC_PER_MSEC,
    LEASE_TERM = 2 * WG_USEC_PER_SEC,
    SETTLE_TIME = 5 * WG_USEC_PER_SEC, /* after a fault, until gaps are checked again */
    /* Sizes of messages in bytes, with protobuf, framing and TCP/IP headers. */
    REPORT_BYTES = 90,
    REPLY_BYTES = 105,
    ACCOUNT_BYTES = 16,
    HELD_BYTES = 8,
    FAIR_BYTES = 16,
    SLOT_BYTES = 6,
    GRANT_BYTES = 90
};

typedef struct {
    int workspace;
    int router;
    int64_t tokens;
    bool urgent;
    wg_time arrived;
    wg_time started; /* first token; 0: not started */
    wg_time deadline;
    wgp_choice choice;
    wgq_handle handle;
    bool running; /* at a target */
    bool in_slot; /* occupies a slot of the target; else waits there */
} request_t;

typedef enum {
    EVENT_ARRIVAL,
    EVENT_FINISH,
    EVENT_REPORT,    /* a router reports if due */
    EVENT_AT_LEADER, /* a report reaches the leader */
    EVENT_PLAN,      /* the leader plans leases */
    EVENT_AT_ROUTER, /* a reply reaches the router */
    EVENT_GRANTED,   /* an arbiter's grant reaches the router */
    EVENT_REFUSED,   /* a target's refusal reaches the router */
    EVENT_SAMPLE,
    EVENT_FAULT
} event_type;

typedef struct {
    wg_time at;
    uint64_t order;
    event_type type;
    int a;
    void* data;
} event_t;

/* A report in flight. */
typedef struct {
    int router;
    uint64_t incarnation;
    wg_time sent_at;
    bool full;
    uint64_t applied;
    int accounts_num;
    int held_num;
    wgf_account accounts[SIMF_WORKSPACES_MAX];
    wgf_held_slots* held;
} report_t;

/* A reply in flight. */
typedef struct {
    int router;
    uint64_t incarnation;
    uint64_t leader;
    uint64_t seq;
    wg_time echo;
    uint64_t fleet_time;
    int fairs_num;
    wgf_virtual_time fairs[SIMF_WORKSPACES_MAX];
    wgf_orders orders;
} reply_t;

typedef struct {
    wgq_queue* queue;
    wgp_place* place;
    uint64_t incarnation;
    bool cut;
    bool report_full;
    bool report_scheduled; /* an EVENT_REPORT is pending */
    wgf_pacer pacer;
    wg_time lease_until;
    uint64_t applied;
    uint64_t leader;          /* leader whose reply it applied last */
    uint32_t* reported_slots; /* last reported slots of each target */
    /* the leader's state of this router */
    wgf_router at_leader;
    uint64_t seq;
    uint64_t bytes;
} router_t;

typedef struct {
    int in_slots;
    GQueue waiting; /* request_t*, waiting for a slot */
    bool removed;
    bool unreachable; /* refuses connections; routers are not notified */
} target_t;

/* Service of two workspaces when both became backlogged. */
typedef struct {
    bool backlogged;
    double base_a;
    double base_b;
} pair_t;

typedef struct {
    const simf_trace* trace;
    simf_policy policy;
    wg_time now;
    uint64_t order;
    uint64_t counter;
    GArray* heap;
    router_t* routers;
    target_t* targets;
    wgf_share* share;
    uint64_t leader;     /* number of the current leader; 0: none */
    wg_time counts_from; /* from then on the leader knows all leases */
    bool plan_scheduled;
    GPtrArray* running; /* request_t* */
    int64_t weights[SIMF_WORKSPACES_MAX];
    double delivered[SIMF_WORKSPACES_MAX];  /* tokens of finished requests */
    double normalized[SIMF_WORKSPACES_MAX]; /* tokens per 100 of weight, as of the last sample */
    double last_tokens[SIMF_WORKSPACES_MAX];
    int queued[SIMF_WORKSPACES_MAX];
    bool emptied[SIMF_WORKSPACES_MAX]; /* its queue was empty at some time since the last sample */
    pair_t pairs[SIMF_WORKSPACES_MAX][SIMF_WORKSPACES_MAX];
    GArray* gaps;
    wg_hist wait;
    wg_time urgent_wait;
    double slot_time;
    double busy_time;
    double tokens_in_time;
    double tokens_late;
    double request_tokens_max;
    uint64_t refused;
    uint64_t requests;
    uint64_t finished;
    uint64_t leader_bytes;
    wg_time last_fault_end;
    wg_time last_out_of_bound_at;
    double over_bound; /* largest gap over the bound of its pair */
    double over_bound_calm;
    wg_time settled_from; /* end of the last SETTLE_TIME; pairs are measured anew from then */
} run_t;

/* ---- functions ------------------------------------------------------------------------------ */
double _simf_tokens_so_far(const run_t* s, const request_t* q);
void _simf_take_sample(run_t* s);
void _simf_add_slot_time(run_t* s, wg_time until);
simf_result _simf_collect(run_t* s);
void _simf_inject_fault(run_t* s, const simf_fault* f, bool begin);
void _simf_schedule(run_t* s, wg_time at, event_type type, int a, void* data);
bool _simf_is_central(const run_t* s);
int _simf_fixed_slots(const run_t* s, int router, int target);
void _simf_router_start(run_t* s, int i);
void _simf_share_config(run_t* s);
void _simf_leader_start(run_t* s);
void _simf_target_start_next(run_t* s, target_t* target);
target_t* _simf_target_of(run_t* s, const request_t* q);
int _simf_queue_router(const run_t* s, int router);
void _simf_schedule_report(run_t* s, int router);
void _simf_dispatch(run_t* s, int router);
void _simf_schedule_plan(run_t* s);
