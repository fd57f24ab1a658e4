#pragma once
/*
    load.h -- load generator: callers that send requests to routers and check each answer

    Each caller has one request in flight (closed loop). With `follow_entry` callers ask which entry
    hosts to use and cache the answer as long as it says. Requests refused with the verdict not-run,
    or by a refused connection, are retried at the next entry host.
*/
#include <event2/event.h>

#include "wg_base.h"

enum {
    LOAD_HOSTS_MAX = 64
};

typedef enum {
    LOAD_KIND_DEFAULT = 0, /* GET /v1/app/app/... */
    LOAD_KIND_ACTION,      /* POST /v1/app/app/..., must not be repeated, with an idempotency key */
    LOAD_KIND_STREAM,      /* a streamed completion */
    LOAD_KIND_PLAIN,       /* GET /do directly from a target */
    LOAD_KIND_PLAIN_STREAM,
    LOAD_KIND_NUM
} load_kind;

typedef struct {
    const char* hosts[LOAD_HOSTS_MAX]; /* addresses to contact first */
    int hosts_num;
    bool follow_entry; /* ask for entry hosts and refresh the list */
    const char* key;
    load_kind kind;
    int callers;
    int tokens;       /* tokens of a stream */
    int attempts_max; /* attempts before a request counts as failed; default 5 */
    wg_time duration;
    uint64_t requests; /* stop after this number; 0: after `duration` */
    uint64_t seed;
    const char* id_prefix;
    void (*on_tick)(void* user_data, wg_time since_start); /* every 10 ms */
    void* user_data;
} load_desc;

typedef struct {
    uint64_t complete; /* complete answers */
    uint64_t failed;   /* no complete answer after all attempts, or refused */
    uint64_t aborted;  /* the connection ended without a complete answer */
    uint64_t retried;
    uint64_t mismatched;   /* answers to another request: must be 0 */
    uint64_t token_errors; /* complete streams with a duplicated or lost token: must be 0 */
    uint64_t by_status[600];
    uint64_t refused_connections;
    wg_hist latency;        /* microseconds, complete answers */
    wg_hist first_token;    /* microseconds */
    GPtrArray* not_run_ids; /* ids of actions finally refused as not-run */
    GPtrArray* sent_ids;
    wg_time longest_gap; /* longest time without a complete answer */
    wg_time elapsed;
    char last_error[160];
} load_result;

void load_run(const load_desc* desc, load_result* result);
void load_clear(load_result* result);
