#pragma once
/*
    wg_entry.h -- entry host: serves all routes of a configuration

    WHAT IT DOES
        Accepts callers' HTTP requests, determines route and workspace, selects a registered
        target, and relays its answer as it arrives. Answers callers' requests for the list of
        entry hosts ("entry answers", GET /v1/entry). Forwards orders of operators and heartbeats
        of targets to the leader.

    FEATURES
        - strict parsing of request heads; ambiguous ones are refused
        - at-most-once delivery of requests that are not repeatable; others are retried on other
          targets within the route's attempts and the fleet's retry budget
        - event streams of resumable routes continue on another target within one answer, and where
          their callers take them up at any host; only on targets of the software version that
          began them
        - configuration versions only increase; without a configuration requests get 503
        - planned stop: removed from entry answers at once, completes running requests, then exits

    USE
        1. wgi_load(path, wg_entry_keys, wg_entry_keys_num, &settings, &error);
        2. wg_entry* e = wg_entry_setup(&(wg_entry_desc){.base = base, .settings = &settings,
               .names = &names}, &error);
        3. event_base_dispatch(base); wg_entry_stop(e) ends the loop after the planned stop;
           wg_entry_shutdown(e);

    THE CALLER OWNS
        base, settings and names, which must outlive the entry host.
*/
#include "wg_http.h"
#include "wg_net.h"
#include "wg_settings.h"

typedef struct {
    char* name;
    char* data_centre;
    char* callers_listen;
    char* ready_listen;
    char* entry_listen;
    char* orders_listen;
    char** seeds;
    int64_t fleet_port;
    char* fleet_listen;
    char* fleet_key;
    char* log_level;
    char* log_target;
    int64_t entry_keep_s;
    double grace_s;
    int64_t link_silence_ms;
    double configuration_ms;
    double drain_ms;
    int64_t order_ms;
    int64_t cold_settle_ms;
    int64_t standby_ms;
    int64_t retry_percent;
    double retry_slack;
    int64_t retry_window_ms;
    int64_t recovery_query_ms;
    int64_t callers_max;
    int64_t target_rest_max_s;
    int64_t descriptors;
    double memory_mb;
    int64_t learn_base;
    int64_t room_wait_ms;
    int64_t route_limits;
    int64_t hold_percent;
    int64_t input_delay_ms;
    double held_mb;
    double ports_held_mb;
    int64_t port_connections;
    int64_t unread_ms;
    int64_t refuse_over_share;
    int64_t retry_after_percent;
    int64_t handoff_delay_ms;
    int64_t spare_descriptors;
} wg_entry_settings;

extern const wgi_key wg_entry_keys[];
extern const int wg_entry_keys_num;

/* Names of header fields, paths and query parameters on the wire. */
typedef struct {
    const char* request_id;        /* id of one attempt of a caller; echoed by targets */
    const char* key;               /* key of the workspace */
    const char* deadline;          /* milliseconds until the caller's deadline */
    const char* prompt_parts;      /* ID:TOKENS, comma-separated */
    const char* prompt_tokens;     /* PROMPT TOKENS,MAXIMUM ANSWER TOKENS */
    const char* last_event;        /* id of the last event received by the caller */
    const char* resumes;           /* id of the caller's request that brought the first event */
    const char* workspace;         /* name of the workspace, set for targets */
    const char* expected_target;   /* id of the intended target */
    const char* copy_from;         /* ip:port of a target that has a part of the prompt cached */
    const char* not_run;           /* set by a target that did not run the request */
    const char* draining;          /* `1`: set by a draining target in all answers */
    const char* target_version;    /* software version, set by a target in answers; NULL: none */
    const char* state;             /* path at which a target tells when it started; NULL: none */
    const char* cache_list;        /* path of a target's list of cached prompt parts; NULL: none */
    const char* query_data_centre; /* data centre of a caller that requests entry hosts */
    /* NULL-terminated list of further fields that only entry hosts may set; removed from callers'
       requests. NULL: none. */
    const char* const* reserved;
} wg_entry_names;

typedef struct {
    struct event_base* base;
    const wg_entry_settings* settings;
    const wg_entry_names* names; /* NULL: default names */
} wg_entry_desc;

typedef struct wg_entry wg_entry;

/* Returns NULL and sets `error` if a listener cannot be opened or a setting is invalid. */
wg_entry* wg_entry_setup(const wg_entry_desc* desc, GError** error);
void wg_entry_shutdown(wg_entry* entry);
/* Starts a planned stop; a second call ends the loop at once and aborts running requests. */
void wg_entry_stop(wg_entry* entry);
/* Applies settings that may change at run time: new seeds are added. */
void wg_entry_reload(wg_entry* entry, const wg_entry_settings* settings);
/* Returns a state dump; the caller releases it with json_decref(). */
json_t* wg_entry_dump(wg_entry* entry);
