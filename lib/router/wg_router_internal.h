#pragma once
/* wg_router_internal.h -- state shared by the files of lib/router; not installed */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include "wg_claim.h"
#include "wg_exchange.h"
#include "wg_pacer.h"
#include "wg_router.h"
#include "wg_sse.h"

enum {
    _WGRO_SERVICES_MAX = 32,
    _WGRO_CONTROLS_MAX = 8,
    /* bytes; answers up to this size are relayed only when complete */
    _WGRO_BUFFERED_ANSWER_MAX = 64 * 1024,
    _WGRO_CONNS_PER_TARGET = 64, /* idle connections kept per target */
    _WGRO_UNKNOWN_KEYS = 1024    /* slots of the cache of keys that are not in the table */
};

typedef struct _wgro_call_t _wgro_call_t;
typedef struct _wgro_attempt_t _wgro_attempt_t;

/* A connection to a target. */
typedef struct {
    wgro_router* router;
    uint32_t target;
    wg_exchange* exchange;
    _wgro_attempt_t* attempt; /* NULL while idle */
} _wgro_conn_t;

/* One attempt of a call. Freed when its connection is idle again or closed. */
struct _wgro_attempt_t {
    wgro_router* router;
    wg_handle call; /* stale once the call has ended: events of the attempt are ignored */
    int number;
    uint32_t target;
    _wgro_conn_t* conn;
    const wg_message_head* head; /* of the answer; NULL before it came */
    struct evbuffer* buffered;   /* bytes of the answer that are not relayed yet */
    struct evbuffer* ready;      /* complete events to relay */
    int status;
    bool stream; /* server-sent events */
    bool done_seen;
    bool reported_not_run;
    bool aborted;
    bool paused;               /* reading from the target is stopped */
    char version[WG_NAME_MAX]; /* of the target's software; "": not stated */
    int64_t usage;             /* tokens reported by the target; -1: unknown */
};

struct _wgro_call_t {
    wgro_router* router;
    wg_handle handle;
    wgc_call machine;
    struct evhttp_request* request; /* NULL once the caller has closed the connection */
    int service;
    uint32_t workspace;
    wgq_limits limits;
    wgq_handle queued;
    wgp_choice choice; /* target whose slot the call holds; target 0: none */
    uint32_t last_target;
    _wgro_attempt_t* attempt;
    struct evbuffer* body;
    char* uri;
    bool urgent;
    bool keyed;
    uint8_t key[WGK_KEY_SIZE];
    uint64_t claim_attempt;
    uint64_t claim_ticket;
    uint64_t prefix;
    bool head_sent;
    const char* version; /* of the software that began the stream; NULL: no event was relayed */
    char version_text[WG_NAME_MAX];
    bool other_version; /* the last attempt met a target of another version */
    int64_t tokens;
    wg_time started;
    wg_time deadline;
    wg_time wait_until; /* end of the wait for a slot */
    wg_time picked_at;
    struct event* timer;
    wgc_event_type timer_event;
};

/* A request that waits for the row of its workspace. */
typedef struct {
    uint64_t ticket;
    struct evhttp_request* request;
    uint8_t key_hash[WG_KEY_HASH_SIZE];
    wg_time until;
} _wgro_parked_t;

typedef struct {
    bool live;
    wgt_row row;
    wgq_queue* queue;
    wgc_budget budget;
    wg_hist wait_time;  /* microseconds in the queue */
    wg_hist total_time; /* microseconds from request to answer */
} _wgro_service_t;

typedef struct {
    char address[WG_ADDRESS_MAX];
} _wgro_control_t;

typedef struct {
    uint64_t requests;
    uint64_t complete;
    uint64_t refused;
    uint64_t failed;
    uint64_t answers_aborted;
    uint64_t retries;
    uint64_t resumes;
    uint64_t caller_disconnects;
    uint64_t unknown_keys;
    uint64_t lease_refusals;
    uint64_t reports;
    uint64_t row_queries;
    uint64_t backoffs; /* backoff periods requested by targets */
} _wgro_counters_t;

struct wgro_router {
    const wgro_settings* settings;
    struct event_base* base;
    uint64_t seed;
    uint64_t incarnation;
    uint64_t counter; /* source of tickets and jitter */
    wg_time started_at;

    wgh_server callers;
    wgh_server operators;
    struct event* tick;
    wgn_net* net;
    char callers_address[WG_ADDRESS_MAX];

    /* link to the leader */
    _wgro_control_t controls[_WGRO_CONTROLS_MAX];
    int controls_num;
    int control_next;
    wgn_link link;
    bool link_up;
    wg_time link_since;
    wg_time dial_at;
    char dial_address[WG_ADDRESS_MAX]; /* leader's address as reported by a control; "": unknown */
    uint64_t term;
    bool leader_known;
    uint64_t report_seq;
    uint64_t applied;
    bool report_full;
    uint64_t full_seq; /* seq of the last full report */
    wgf_pacer pacer;
    wg_time last_reply_at;
    wg_time slot_lease_until; /* 0: no slots are leased */
    wg_time table_lease_until;
    bool table_in_force;
    int replies_unsent;     /* replies that their callers have not taken yet */
    GHashTable* claim_ends; /* ticket -> packed ClaimAsk, until the leader confirms it */

    wgt_table* table;
    bool table_complete;
    wgm_members* members;
    wgp_place* place;
    _wgro_service_t services[_WGRO_SERVICES_MAX];
    int services_num;
    uint64_t configured_version;
    GHashTable* held_reported; /* target -> leased slots and health as last reported */

    wg_pool calls_pool;
    _wgro_call_t* calls;
    GHashTable* conns; /* target -> GQueue of idle _wgro_conn_t* */
    GQueue parked;
    struct {
        uint8_t hash[WG_KEY_HASH_SIZE];
        uint64_t version;
    } unknown_keys[_WGRO_UNKNOWN_KEYS];

    wg_exchange* hosts_exchange; /* NULL: none is open */
    wg_time hosts_poll_at;
    bool hosts_available;
    bool hosts_pending;

    bool stopping;
    wg_time stop_at;
    _wgro_counters_t counters;
};

/* wg_router.c */
void _wgro_configure(wgro_router* r);
int _wgro_find_service(const wgro_router* r, const char* name);
/* Whether a planned stop has gone on for so long that requests are refused. */
bool _wgro_refuses_new(const wgro_router* r, wg_time now);
bool _wgro_in_force(wgro_router* r, wg_time now);

/* wg_router_link.c */
bool _wgro_link_setup(wgro_router* r, GError** error);
void _wgro_link_tick(wgro_router* r, wg_time now);
void _wgro_report_soon(wgro_router* r);
bool _wgro_query_row(wgro_router* r, uint64_t ticket, const uint8_t* key_hash);
bool _wgro_request_claim(wgro_router* r, _wgro_call_t* call);
void _wgro_end_claim(wgro_router* r, _wgro_call_t* call, wg_verdict verdict, int status,
                     const char* type, struct evbuffer* body);

/* wg_router_accept.c */
bool _wgro_accept_setup(wgro_router* r, GError** error);
void _wgro_on_row_answer(wgro_router* r, uint64_t ticket, int outcome);
void _wgro_parked_tick(wgro_router* r, wg_time now);

/* wg_router_call.c */
typedef struct {
    struct evhttp_request* request;
    const wgt_row* workspace;
    int service;
    char* uri; /* owned by the call from then on */
    bool repeatable;
    bool urgent;
    uint64_t prefix;
} _wgro_call_desc;
void _wgro_call_begin(wgro_router* r, const _wgro_call_desc* desc);
void _wgro_call_event(_wgro_call_t* call, const wgc_event* event);
_wgro_call_t* _wgro_call_find(wgro_router* r, wg_handle handle);
void _wgro_on_claim_answer(wgro_router* r, uint64_t ticket, int outcome, const Wgpb__ClaimEnd* end);
void _wgro_dispatch(wgro_router* r);
void _wgro_expire(wgro_router* r, wg_time now);
/* Refuses all waiting requests, so that their callers can use another entry host. */
void _wgro_fail_queued(wgro_router* r);
/* Fails calls whose wait ends before any target of their service leaves its backoff period. */
void _wgro_fail_backoff_waits(wgro_router* r, wg_time now);
void _wgro_abort_all(wgro_router* r);

/* wg_router_attempt.c */
/* Adds the fields of a target's answer that callers get. */
void _wgro_copy_fields(const wg_message_head* head, struct evkeyvalq* out);
bool _wgro_attempt_begin(_wgro_call_t* call, int number, int64_t resume_from);
void _wgro_attempt_abort(_wgro_attempt_t* attempt);
void _wgro_conns_shutdown(wgro_router* r);
/* Relays what the attempt has buffered; sends the head of the answer first if it was not sent. */
void _wgro_relay(_wgro_call_t* call);
bool _wgro_is_hop_header(const char* name);

/* wg_router_endpoints.c */
bool _wgro_operators_setup(wgro_router* r, GError** error);
void _wgro_hosts_tick(wgro_router* r, wg_time now);
