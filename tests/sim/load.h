#pragma once
/*
    load.h -- callers: keeps requests going to routers, checks each answer, counts what came

    Callers do as the brief says: ask which entry hosts to use, keep the answer as long as it may be
    kept, connect there. Each caller has one request at a time (closed loop). A refusal with verdict
    not-run, or a connection that was refused, is tried at the next entry host.
*/
#include <event2/event.h>

#include "wg_base.h"

enum {
    LOAD_HOSTS_MAX = 64
};

typedef enum {
    LOAD_KIND_DEFAULT = 0, /* GET /v1/app/app/... */
    LOAD_KIND_ACTION,      /* POST /v1/app/app/..., may not be repeated, own key and id */
    LOAD_KIND_STREAM,      /* a streamed completion */
    LOAD_KIND_PLAIN,       /* GET of `path` straight from hosts[0], no key, no entry hosts */
    LOAD_KIND_PLAIN_STREAM,
    LOAD_KIND_NUM
} load_kind;

typedef struct {
    const char* hosts[LOAD_HOSTS_MAX]; /* first contacts */
    int hosts_num;
    bool follow_entry; /* ask for entry hosts, again and again */
    const char* key;
    load_kind kind;
    int callers;
    int tokens; /* of a stream */
    int tries;  /* of one request before it counts as failed; default 5 */
    wg_time duration;
    uint64_t requests; /* stop after so many, 0: by duration */
    uint64_t seed;
    const char* id_prefix;
    void (*on_tick)(void* user_data, wg_time since_start); /* every 10 ms */
    void* user_data;
} load_desc;

typedef struct {
    uint64_t whole;
    uint64_t failed; /* not whole after all tries, or refused for good */
    uint64_t broken; /* connection ended without a whole answer */
    uint64_t retried;
    uint64_t wrong;   /* an answer that was not the one asked for: must be 0 */
    uint64_t doubled; /* token twice or lost in a stream that said it was whole: must be 0 */
    uint64_t by_status[600];
    uint64_t refused_connections;
    wg_hist latency;        /* microseconds, whole answers */
    wg_hist first_token;    /* microseconds */
    GPtrArray* not_run_ids; /* ids of actions told not-run for good */
    GPtrArray* sent_ids;
    wg_time longest_gap; /* without any whole answer */
    wg_time took;
    char last_error[160];
} load_result;

void load_run(const load_desc* desc, load_result* result);
void load_clear(load_result* result);
