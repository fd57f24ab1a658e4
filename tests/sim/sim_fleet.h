#pragma once
/*
    sim_fleet.h -- replays traces over lib/queue, lib/place and lib/share in simulated time

    Simulates routers, a leader, and targets with slots and a token pace, with message delays and
    without sockets. Compares policies for sharing capacity on one trace:
        - alone: each router by itself, with a fixed part of each target's slots
        - arbiter: one queue for the fleet; each request is granted by a message
        - leased: as in walnutgate: routers report accounts to the leader and receive slot leases
        - omniscient: the arbiter without delay, an upper bound

    Trace format: docs/TRACES.md.
*/
#include "wg_pacer.h"
#include "wg_place.h"
#include "wg_queue.h"
#include "wg_share.h"

enum {
    SIMF_ROUTERS_MAX = 512,
    SIMF_TARGETS_MAX = 1024,
    SIMF_WORKSPACES_MAX = 64,
    SIMF_LOADS_MAX = 4096,
    SIMF_EXPECTS_MAX = 32,
    SIMF_FAULTS_MAX = 512
};

typedef enum {
    SIMF_POLICY_DEFAULT = 0,
    SIMF_POLICY_ALONE,
    SIMF_POLICY_ARBITER,
    SIMF_POLICY_LEASED,
    SIMF_POLICY_OMNISCIENT,
    SIMF_POLICY_NUM
} simf_policy;

typedef struct {
    char name[32];
    int64_t weight;
} simf_workspace;

/* Arrivals of one workspace at some routers. */
typedef struct {
    int workspace;
    wg_time from;
    wg_time to;
    double rate; /* requests per second */
    int64_t tokens_min;
    int64_t tokens_max;
    int64_t estimate; /* the router's estimate of the tokens; 0: its own average */
    int router_first;
    int router_last;
    bool urgent;
} simf_load;

typedef enum {
    SIMF_FAULT_DEFAULT = 0,
    SIMF_FAULT_CUT_ROUTER,     /* a: router; no messages to or from the leader */
    SIMF_FAULT_RESTART_ROUTER, /* a: router; it loses its state */
    SIMF_FAULT_LOSE_LEADER,    /* a new leader without state starts at `to` */
    SIMF_FAULT_LOSE_TARGETS,   /* a..b: first and last target */
    SIMF_FAULT_SET_WEIGHT,     /* a: workspace, b: weight */
    SIMF_FAULT_KILL_TARGETS,   /* a..b; routers are not notified, requests there fail */
    SIMF_FAULT_NUM
} simf_fault_type;

typedef struct {
    simf_fault_type type;
    wg_time from;
    wg_time to;
    int a;
    int b;
} simf_fault;

/* An expected result: a metric of simf_result compared with a value. */
typedef struct {
    char metric[32];
    char op; /* '<' or '>' */
    double value;
} simf_expect;

typedef struct {
    char name[64];
    uint64_t seed;
    int routers;
    int targets;
    int slots;
    wg_time pace; /* time between two tokens of a request */
    wg_time duration;
    wg_time delay;  /* one-way delay of a message */
    wg_time report; /* time between two reports of a router */
    wg_time queue_wait;
    wg_time deadline;
    int over_percent;
    int64_t queue_limit;
    simf_workspace workspaces[SIMF_WORKSPACES_MAX];
    int workspaces_num;
    simf_load loads[SIMF_LOADS_MAX];
    int loads_num;
    simf_fault faults[SIMF_FAULTS_MAX];
    int faults_num;
    simf_expect expects[SIMF_EXPECTS_MAX];
    int expects_num;
} simf_trace;

typedef struct {
    double gap_median; /* tokens per 100 of weight, between any two backlogged workspaces */
    double gap_p99;
    double gap_worst;
    double gap_over_bound;      /* largest gap over the bound of its pair */
    double gap_over_bound_calm; /* gap_over_bound apart from faults and 5 s after each */
    double busy;                /* fraction of slot time used while requests waited */
    double tokens;              /* tokens delivered within deadlines */
    double wasted;              /* fraction of the tokens of requests that missed their deadline */
    double wait_p99;            /* seconds */
    double wait_worst;
    double urgent_wait_worst;
    double refused;       /* fraction of the requests */
    double control_bytes; /* control traffic, bytes per router and second */
    double leader_bytes;  /* traffic of the leader, bytes per second */
    double recovery;      /* seconds from the last fault's end until gaps stay within bounds */
    uint64_t finished;
    uint64_t requests;
} simf_result;

/* Reads a trace; false with an error that names the line. */
bool simf_trace_read(const char* path, simf_trace* trace, GError** error);
bool simf_trace_parse(const char* text, simf_trace* trace, GError** error);
simf_result simf_run(const simf_trace* trace, simf_policy policy);
const char* simf_policy_name(simf_policy policy);
/* Value of a metric by its name; false when there is none. */
bool simf_metric(const simf_result* result, const char* name, double* value);
