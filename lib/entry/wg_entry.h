#pragma once
/*
    wg_entry.h -- an entry host that serves the routes of a whole configuration

    WHAT IT DOES
        Takes callers' HTTP requests, finds route and workspace, chooses a target that registered
        itself, relays the answer as it comes, and answers which entry hosts to use. Takes orders
        of operators and heartbeats of targets on behalf of the leader.

    FEATURES
        - heads are read strictly; what two readers could understand differently is refused
        - at most once for requests that may not be repeated; others go to another target within
          their attempts and the fleet's retry budget
        - streams of resumable routes go on at another target inside one answer
        - the configuration only moves forward; without one every request gets 503
        - a planned stop: left out of entry answers at once, finishes what runs, then leaves

    USE
        1. wgi_load(path, wg_entry_keys, wg_entry_keys_num, &settings, &error);
        2. wg_entry* e = wg_entry_setup(&(wg_entry_desc){.base = base, .settings = &settings,
               .names = &names}, &error);
        3. event_base_dispatch(base); wg_entry_stop(e) leaves the loop when all is done;
           wg_entry_shutdown(e);

    THE CALLER OWNS
        base, settings and names, for as long as the entry host lives.
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
    int64_t grace_s;
    int64_t link_silence_ms;
    int64_t order_ms;
    int64_t cold_settle_ms;
    int64_t standby_ms;
    int64_t retry_percent;
    int64_t retry_slack;
    int64_t retry_window_ms;
    int64_t callers_max;
    int64_t target_rest_max_s;
    int64_t descriptors;
    int64_t memory_mb;
} wg_entry_settings;

extern const wgi_key wg_entry_keys[];
extern const int wg_entry_keys_num;

/* Names of header fields and query parameters, as callers and targets know them. */
typedef struct {
    const char* request_id;    /* of one attempt of a caller; targets echo it */
    const char* key;           /* of the workspace */
    const char* deadline;      /* milliseconds that the caller waits */
    const char* prompt_parts;  /* ID:TOKENS, comma-separated */
    const char* prompt_tokens; /* TOKENS,MOST TOKENS OF THE ANSWER */
    const char* last_event;    /* id of the last event that the caller has */
    const char* workspace;     /* name, told to targets */
    const char* expect;        /* id of the target that is meant */
    const char* copy_from;     /* ip:port of the target that holds a part of the prompt */
    const char* not_run;       /* of a target that did not run a request */
    const char* leaving;       /* `1`: of a target that leaves, in all its answers */
    const char* cache_list;    /* path where a target lists the prompt parts it holds; NULL: none */
    const char* query_place;   /* data centre of a caller that asks for entry hosts */
    /* Further fields that only this system may set, NULL at the end; NULL: none. Callers' are not
       passed on. */
    const char* const* withheld;
} wg_entry_names;

typedef struct {
    struct event_base* base;
    const wg_entry_settings* settings;
    const wg_entry_names* names; /* NULL: those of this project */
} wg_entry_desc;

typedef struct wg_entry wg_entry;

/* NULL with the reason when the ports or the settings do not allow a start. */
wg_entry* wg_entry_setup(const wg_entry_desc* desc, GError** error);
void wg_entry_shutdown(wg_entry* entry);
/* Planned stop; a second call hurries it. */
void wg_entry_stop(wg_entry* entry);
/* Take over what may change while it runs: seeds that were not known before. */
void wg_entry_reload(wg_entry* entry, const wg_entry_settings* settings);
/* State dump; the caller releases it. */
json_t* wg_entry_dump(wg_entry* entry);
