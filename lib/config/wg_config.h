#pragma once
/*
    wg_config.h -- a whole configuration: routes, services, workspaces and limits, checked as one

    WHAT IT DOES
        Reads the operator's JSON document into typed structs, refuses it with the reason when any
        part is wrong, and answers which route and which workspace a request belongs to.

    FEATURES
        - routes by host and longest path prefix; weighted splits over services
        - several keys a workspace; a key that two workspaces hold makes the whole invalid
        - unknown members are passed over, so that later documents can be read

    USE
        1. wg_config* c = wg_config_parse(bytes, size, &error);
        2. const wg_route* r = wg_config_route(c, host, path);
        3. const wg_workspace* w = wg_config_workspace(c, key);
        4. wg_config_unref(c);

    THE CALLER OWNS
        the bytes. Routes and workspaces belong to the configuration; a request that is under way
        holds a reference of it.
*/
#include "wg_message.h"

enum {
    WG_SPLIT_MAX = 8,
    WG_ROUTES_MAX = 20000,
    WG_ATTEMPTS_MAX = 16
};

/* What may be done with a request whose outcome is not known. */
typedef enum {
    WG_KIND_UNSAFE = 0, /* runs at most once */
    WG_KIND_SAFE,       /* may run more than once */
    WG_KIND_STREAM      /* server-sent events; runs at most once unless it may be resumed */
} wg_route_kind;

typedef struct {
    char* name;
    int connections; /* most connections to one target, from all callers */
    bool engine;     /* a model engine, with the members below */
    int slots;
    int64_t memory_tokens;
    bool copies;       /* engines copy what they hold of prompts to each other */
    wg_time tightest;  /* objective of its routes, WG_TIME_NEVER when it has none */
    int event_tokens;  /* tokens in one event of a stream */
    int event_calls;   /* waiting calls for cache events that one engine takes */
    wg_time cold_time; /* for so long after a start a target is cold; 0: never */
    double cold_rate;  /* requests a second that a cold target bears; 0: as many as any other */
} wg_service;

typedef struct {
    int service; /* index into services */
    int weight;
} wg_split;

typedef struct {
    char* name;
    char* host;
    char* prefix; /* of the path; begins and ends with a slash */
    wg_route_kind kind;
    bool resumable;
    bool open;     /* needs no key */
    bool affinity; /* requests name the parts of their prompt */
    int attempts;  /* targets that one request may be sent to */
    int priority;  /* 0 is highest */
    wg_time timeout;
    wg_time objective; /* to the answer, or to a stream's first event */
    wg_time pause;     /* between events of a stream */
    wg_split splits[WG_SPLIT_MAX];
    int splits_num;
    int weight_sum;
} wg_route;

typedef struct {
    char* name;
    uint64_t hash; /* of the name */
    int priority;  /* -1: that of the route holds */
} wg_workspace;

typedef struct {
    int64_t head_bytes;
    int64_t body_bytes;
    wg_time head_time;
    wg_time idle_time;
    int64_t tokens_per_second; /* 0: not told */
} wg_config_limits;

typedef struct {
    int references;
    uint64_t version;
    wg_route* routes;
    int routes_num;
    wg_service* services;
    int services_num;
    wg_workspace* workspaces;
    int workspaces_num;
    wg_config_limits limits;
    GHashTable* hosts; /* host -> GArray of wg_route*, longest prefix first */
    GHashTable* keys;  /* key -> wg_workspace* */
} wg_config;

/* NULL with the reason (WG_ERROR_INVALID) when the document is not a whole, valid configuration. */
wg_config* wg_config_parse(const void* bytes, size_t size, GError** error);
wg_config* wg_config_ref(wg_config* config);
void wg_config_unref(wg_config* config);
/* The route of a request, or NULL. `target` may hold a query. A port in `host` is passed over. */
const wg_route* wg_config_route(const wg_config* config, wg_text host, wg_text target);
/* The workspace that holds a key, or NULL. */
const wg_workspace* wg_config_workspace(const wg_config* config, wg_text key);
/* Index of a service of this name, or -1. */
int wg_config_service(const wg_config* config, const char* name);
/* The longest cold time of all services. */
wg_time wg_config_cold_time(const wg_config* config);
/* Service of one request, by its route's weights and a random number. */
int wg_route_pick(const wg_route* route, uint64_t random);
/* May a request on the route run again although it may have run before? */
bool wg_route_is_repeatable(const wg_route* route);
