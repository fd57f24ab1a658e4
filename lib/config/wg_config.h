#pragma once
/*
    wg_config.h -- a validated configuration: routes, services, workspaces and limits

    WHAT IT DOES
        Parses the operator's JSON document into typed structs, refuses it with the reason when any
        part is invalid, and finds the route and the workspace of a request.

    FEATURES
        - routes by host and longest path prefix; weighted splits across services
        - several keys per workspace; a key of two workspaces makes the configuration invalid
        - unknown members are ignored, so that documents of later versions can be read

    USE
        1. wg_config* c = wg_config_parse(bytes, size, &error);
        2. const wg_route* r = wg_config_route(c, host, path);
        3. const wg_workspace* w = wg_config_workspace(c, key);
        4. wg_config_unref(c);

    THE CALLER OWNS
        the bytes. Routes, services and workspaces belong to the configuration; a request holds a
        reference to it while it runs.
*/
#include "wg_message.h"

enum {
    WG_SPLITS_MAX = 8, /* splits of a route */
    WG_ROUTES_MAX = 20000,
    WG_ATTEMPTS_MAX = 16
};

/* How a request may be retried when it is unknown whether it ran. */
typedef enum {
    WG_ROUTE_KIND_UNSAFE = 0, /* runs at most once */
    WG_ROUTE_KIND_SAFE,       /* may run more than once */
    WG_ROUTE_KIND_STREAM /* server-sent events; runs at most once unless the route is resumable */
} wg_route_kind;

typedef struct {
    char* name;
    int connections;            /* maximum connections to one target, from all callers */
    bool engine;                /* the targets are model engines */
    int slots;                  /* requests that an engine runs concurrently */
    int64_t memory_tokens;      /* tokens that fit into the cache of an engine */
    bool copies;                /* engines can copy cached prompt parts from each other */
    wg_time tightest_objective; /* shortest objective of its routes; WG_TIME_NEVER without routes */
    int event_tokens;           /* tokens in one event of a stream */
    int event_calls;            /* concurrent waiting calls for cache events per engine */
    wg_time cold_time;          /* time after a target starts during which it is cold; 0: never */
    double cold_rate;           /* maximum requests per second to a cold target; 0: no limit */
} wg_service;

typedef struct {
    int service; /* index into services */
    int weight;
} wg_split;

typedef struct {
    char* name;
    char* host;
    char* prefix; /* path prefix; begins with a slash */
    wg_route_kind kind;
    bool resumable;
    bool open;         /* needs no key */
    bool affinity;     /* requests list the parts of their prompt in a header */
    int attempts;      /* maximum targets that a request is sent to */
    int priority;      /* 0: highest */
    wg_time timeout;   /* limit for the complete request */
    wg_time objective; /* time to the answer, or to the first event of a stream */
    wg_time pause;     /* objective for the time between events of a stream */
    wg_split splits[WG_SPLITS_MAX];
    int splits_num;
    int weight_sum; /* sum of the weights of all splits */
} wg_route;

typedef struct {
    char* name;
    uint64_t hash;     /* hash of the name */
    int priority;      /* -1: the priority of the route applies */
    double weight;     /* its share is this times that of a workspace with weight 1; 0.01 to 100 */
    wg_time queue_max; /* longest wait of a request for a target, microseconds; WG_TIME_NEVER: not
                          limited */
} wg_workspace;

typedef struct {
    int64_t head_bytes;        /* maximum size of a request head */
    int64_t body_bytes;        /* maximum size of a request body */
    wg_time head_time;         /* maximum time to receive a request head */
    wg_time idle_time;         /* maximum time between requests and within a body */
    int64_t tokens_per_second; /* capacity of all targets; 0: unknown */
} wg_config_limits;

typedef struct {
    int references;
    uint64_t version;
    wg_route* routes;
    int routes_num;
    wg_time stream_timeout_max; /* longest timeout of a route for streams; 0: there is none */
    wg_service* services;
    int services_num;
    wg_workspace* workspaces;
    int workspaces_num;
    wg_config_limits limits;
    GHashTable* hosts; /* host -> GPtrArray of wg_route*, longest prefix first */
    GHashTable* keys;  /* key -> wg_workspace* */
} wg_config;

/* Parses a document. Returns NULL with WG_ERROR_INVALID when any part of it is invalid. The result
   has one reference. */
wg_config* wg_config_parse(const void* bytes, size_t size, GError** error);
wg_config* wg_config_ref(wg_config* config);
void wg_config_unref(wg_config* config);
/* Finds the route of a request, or NULL. A query in `target` and a port in `host` are ignored. */
const wg_route* wg_config_route(const wg_config* config, wg_text host, wg_text target);
/* Finds the workspace that has a key, or NULL. */
const wg_workspace* wg_config_workspace(const wg_config* config, wg_text key);
/* Returns the index of a service by its name, or -1. */
int wg_config_service(const wg_config* config, const char* name);
/* Returns the maximum cold time of all services. */
wg_time wg_config_cold_time_max(const wg_config* config);
/* Selects the service of a request, by the weights of the route and a random number. */
int wg_route_pick(const wg_route* route, uint64_t random);
/* Whether a request on the route may be sent again although it may have run. */
bool wg_route_is_repeatable(const wg_route* route);
