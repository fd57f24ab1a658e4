#pragma once
/*
    wg_router.h -- router: accepts callers' requests and relays targets' answers

    WHAT IT DOES
        Accepts callers' HTTP requests, queues them fairly, picks targets, relays answers, and
        answers callers' requests for the list of entry hosts. Works under two leases from
        the leader: one on the table, one on target slots.

    FEATURES
        - one wgc_call per request; one wgq_queue and one retry budget per service
        - streams are relayed event by event with bounded memory, and a stream that its target
          aborted is resumed at another target of the same software version
        - reports to the leader are sent on change, at most at an interval and within a byte budget
        - planned stop: reports that it is leaving, and serves until every entry-host answer that
          names it has expired

    USE
        1. wgi_load(path, wgro_keys, wgro_keys_num, &settings, &error);
        2. wgro_router* r = wgro_setup(&(wgro_desc){.base = base, .settings = &settings}, &error);
        3. event_base_dispatch(base);
        4. wgro_stop(r); leaves the event loop when all work is finished
        5. wgro_shutdown(r);

    THE CALLER OWNS
        base and settings, for as long as the router lives.
*/
#include "wg_call.h"
#include "wg_http.h"
#include "wg_member.h"
#include "wg_net.h"
#include "wg_place.h"
#include "wg_queue.h"
#include "wg_settings.h"
#include "wg_table.h"

typedef struct {
    char* name;
    char* data_centre;
    char* callers_listen;
    char* callers_address;
    char* operators_listen;
    char** controls;
    char* fleet_key;
    char* operator_key;
    char* log_level;
    char* log_target;
    char* rows;
    char* lease_lost;
    char* hosts_url;
    int64_t hosts_ms;
    int64_t calls_max;
    int64_t head_max;
    int64_t body_max;
    int64_t idle_s;
    int64_t target_rest_max_s;
    int64_t files_max;
    int64_t report_ms;
    int64_t report_gap_ms;
    int64_t budget_bytes;
    int64_t entry_keep_ms;
    int64_t claim_wait_ms;
    int64_t stop_wait_ms;
    int64_t grace_ms;
    int64_t urgent_reserve;
    int64_t high_water;
    double held_mb;
} wgro_settings;

extern const wgi_key wgro_keys[];
extern const int wgro_keys_num;

typedef struct {
    struct event_base* base;
    const wgro_settings* settings;
} wgro_desc;

typedef struct wgro_router wgro_router;

wgro_router* wgro_setup(const wgro_desc* desc, GError** error);
void wgro_shutdown(wgro_router* router);
/* Begins a planned stop. A second call aborts all running calls and leaves the event loop. */
void wgro_stop(wgro_router* router);
/* State dump; the caller owns the reference. */
json_t* wgro_dump(wgro_router* router);
