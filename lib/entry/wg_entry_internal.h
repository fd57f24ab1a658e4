#pragma once
/* wg_entry_internal.h -- state shared by the files of lib/entry; not installed */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "wg_admit.h"
#include "wg_backoff.h"
#include "wg_balance.h"
#include "wg_config.h"
#include "wg_entry.h"
#include "wg_event_stream.h"
#include "wg_fair.h"
#include "wg_fingerprint.h"
#include "wg_loop.h"
#include "wg_policy.h"
#include "wg_quarantine.h"
#include "wg_retry.h"
#include "wg_roster.h"
#include "wg_usage.h"
#include "wg_watch.h"

enum {
    WG_CONTROLS_MAX = 24,
    WG_HEAD_BYTES_START = 16 * 1024, /* limit of a head while there is no configuration */
    WG_WHOLE_MAX = 64 * 1024,        /* answers up to this size are relayed only when whole */
    WG_OUTPUT_HIGH = 256 * 1024,     /* unsent bytes at which reading from a target pauses */
    WG_EVENT_ID_MAX = 32,
    WG_COORDINATORS_MAX = 16,
    WG_FORMER_COORDINATORS_MAX = 16 /* lists; hosts that start at one moment come one by one */
};

typedef struct wg_call wg_call;
typedef struct wg_client wg_client;
typedef struct wg_upstream wg_upstream;

typedef enum {
    WG_CLIENT_HEAD = 0, /* waits for a request */
    WG_CLIENT_BODY,     /* reads its body */
    WG_CLIENT_BUSY,     /* it has a call */
    WG_CLIENT_ENDING    /* the last answer is on its way out, then it closes */
} wg_client_state;

/* A caller's connection. */
struct wg_client {
    wg_entry* entry;
    struct bufferevent* bev;
    struct event* watch; /* for the end of the connection while a request is under way */
    bool watched;
    wg_client_state state;
    wg_call* call;
    wg_body body;
    char* head_bytes; /* of the request that is being read */
    size_t head_size;
    struct evbuffer* body_bytes;
    bool keep;        /* the connection may be used again after the present answer */
    bool answered;    /* it has had an answer before */
    wg_time since;    /* start of the present state, or first byte of a head */
    bool begun;       /* some bytes of a head came */
    size_t looked_at; /* of the bytes that came, part of a head */
    guint at;         /* place in entry->clients */
    bool idle;        /* it stands in entry->idle_clients */
    GList idle_link;
};

/* Why a call ended, as its last log line says. */
typedef struct {
    int status;
    wg_verdict verdict;
    const char* reason;
} wg_call_end;

/* One request of a caller. */
struct wg_call {
    wg_entry* entry;
    wg_client* client; /* NULL when the caller left */
    wg_config* config;
    const wg_route* route;
    const wg_workspace* workspace; /* NULL on open routes */
    int service;
    char* bytes; /* of the head */
    wg_message_head head;
    struct evbuffer* body;
    char id[WG_NAME_MAX];
    uint64_t fingerprint; /* the same for each copy of the request, at any host */
    bool head_only;       /* a HEAD request */
    wg_time started;
    wg_time until;    /* final answer at the latest */
    wg_time deadline; /* of the caller, WG_TIME_NEVER when it named none */
    wg_prompt prompt;
    bool has_prompt;
    wg_need need;
    wg_choice choice;
    wg_choice proposed;   /* asked for, not sent yet */
    uint64_t asked;       /* ticket of a question to a coordinator; 0: none waits */
    wg_time asked_until;  /* then this host decides alone */
    uint64_t admitted;    /* ticket of the admission that is held; 0: none */
    bool admitted_read;   /* its prompt was read */
    uint64_t admitted_by; /* rank of the coordinator that gave it */
    int asks;             /* questions of the present try */
    int asks_all;         /* questions so far */
    bool was_admitted;
    wg_time expected; /* wait for the first event, as of the last choice */
    wg_time limit;    /* the longest at which it would have been sent */
    wg_upstream* upstream;
    int attempts;
    wg_time sent_at;     /* the last of them */
    int unsent;          /* of them, no byte left this host */
    wg_time next_try_at; /* not earlier, while it waits in the queue */
    bool relaxed;        /* no target would answer in time: rather late than refused */
    bool may_have_run;
    bool was_offered;
    bool queued;
    wg_time queued_until;
    wg_time first_event_at;
    wg_time retry_at; /* of a next attempt that waits; 0 none */
    bool head_sent;
    bool chunked;                     /* the answer goes out in chunks */
    char last_event[WG_EVENT_ID_MAX]; /* last whole event that was passed on; "" none */
    int64_t events;
    struct event* timer;
    GList queue_link;
};

typedef enum {
    WG_UPSTREAM_CONNECTING = 0,
    WG_UPSTREAM_HEAD, /* the request was written, or is being */
    WG_UPSTREAM_BODY,
    WG_UPSTREAM_IDLE
} wg_upstream_state;

/* A connection to a target. */
struct wg_upstream {
    wg_entry* entry;
    uint32_t target;
    struct bufferevent* bev;
    wg_upstream_state state;
    wg_call* call;
    bool far;     /* the target stands in another data centre */
    bool used;    /* it served a request before */
    bool written; /* a byte of the present request may have left */
    char* bytes;  /* of the answer's head */
    wg_message_head head;
    wg_time rest; /* that the answer asks for, microseconds; 0: none */
    wg_body body;
    struct evbuffer* content; /* of the answer, not passed on yet */
    bool events;              /* the answer is a stream of events */
    bool paused;
    wg_time idle_since;
    wg_time idle_limit;
    GList idle_link;
};

/* Addresses of processes that may know the leader. */
typedef struct {
    char list[WG_CONTROLS_MAX][WG_ADDRESS_MAX];
    int num;
} wg_addresses;

/* The entry host that admits prompts to some targets, for all. */
typedef struct {
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX]; /* of its fleet port */
    uint64_t rank;                /* hash of its name */
    bool self;
    wgn_link link;
    bool up;
    wg_time dial_at;
    int missed; /* answers in a row that did not come in time */
    wg_time silent_until;
} wg_coordinator;

/* Coordinators as they were until a moment ago. */
typedef struct {
    uint64_t ranks[WG_COORDINATORS_MAX];
    int num;
    wg_time until;
} wg_former_coordinators;

/* An order that waits for the leader's answer. */
typedef struct {
    uint64_t ticket;
    struct evhttp_request* request; /* NULL when its sender left */
    GByteArray* packed;             /* Order */
    bool sent;
    bool read;
    bool of_target;   /* a heartbeat or a leave */
    uint64_t version; /* of the configuration that it carries; 0: none */
    wg_time since;
    wg_time until;
} wg_entry_order;

typedef struct {
    uint64_t requests;
    uint64_t whole;
    uint64_t refused;
    uint64_t failed;
    uint64_t cut;
    uint64_t left;
    uint64_t tries; /* choices of a target for a request, also those that came to nothing */
    uint64_t retries;
    uint64_t resumes;
    uint64_t connects;
    uint64_t target_bytes_out; /* to targets, and from them */
    uint64_t target_bytes_in;
    uint64_t target_far_bytes_out; /* the same, of targets in other data centres */
    uint64_t target_far_bytes_in;
    uint64_t cold_denials;        /* requests that a cold target was not given */
    uint64_t callers_replaced;    /* idle ones closed to make room */
    uint64_t callers_turned_away; /* closed at once: none was idle */
    uint64_t lines_left_out;
    uint64_t targets_ended;  /* after they broke off a request of this host */
    uint64_t targets_stayed; /* that broke off a request, but take connections */
    uint64_t checks_left_out;
    uint64_t quarantine_refusals;
    uint64_t rests;         /* that targets asked this host for */
    uint64_t leaves_told;   /* targets that said in an answer that they leave */
    uint64_t rest_refusals; /* requests refused because all targets rest */
} wg_entry_counters;

/* Evidence within a report; the arrays are the reporter's. */
typedef struct {
    Wgpb__Crash* items;
    Wgpb__Crash** list;
    guint num;
} wg_crash_report;

struct wg_entry {
    const wg_entry_settings* settings;
    const wg_entry_names* names;
    struct event_base* base;
    struct event* tick;
    uint64_t seed;
    uint64_t counter;
    uint64_t fingerprint_seed;
    wg_time started_at;
    bool served; /* a request, since the start */
    bool stopping;
    wg_time stop_at;

    struct evconnlistener* listener;
    GPtrArray* clients;
    GQueue idle_clients; /* wg_client that wait for a request; the longest idle is first */
    GHashTable* idle;    /* target -> GQueue of wg_upstream */
    GHashTable* queues;  /* name of a service -> GQueue of wg_call */
    int calls_num;
    int upstreams_num;

    /* what this host believes */
    wg_config* config;
    GBytes* document; /* of the configuration: the next one may come as what changed since */
    wg_registry* registry;
    bool registry_known;
    wg_balance* balance;
    wg_backoff* backoff;
    GHashTable* retries; /* name of a service -> wg_retry* */
    wg_roster* roster;
    wg_usage_book* usage; /* of workspaces, here and in the whole fleet */
    wg_fair_margin margin;

    /* link to the leader */
    wgn_net* net;
    wgn_link link;
    bool link_up;
    bool on_standby; /* configuration and targets are a replica's, no leader has vouched for them */
    uint64_t term_followed; /* of the last leader */
    bool leader_known;
    wg_addresses controls; /* replicas, as a leader or a follower named them */
    wg_addresses others;   /* seeds, and the entry hosts there: asked now and then */
    int control_next;
    int other_next;
    char dial_address[WG_ADDRESS_MAX];
    wg_time dial_at;
    wg_time report_at;
    wg_time state_at;      /* last word of a leader */
    wg_absence leaderless; /* what is told of a leader that is missing */
    wg_time leaderless_at; /* the control at the other end knew no leader first then; 0: it does */
    wg_time report_gap;
    uint64_t report_seq;
    uint64_t state_seen; /* seq of the last state on this link */
    GQueue orders;       /* wg_entry_order* */

    /* admission: wg_entry_admit.c */
    wg_admit* admit;                                  /* to targets that this host coordinates */
    wg_coordinator coordinators[WG_COORDINATORS_MAX]; /* highest rank first */
    int coordinators_num;
    wg_former_coordinators former_coordinators[WG_FORMER_COORDINATORS_MAX]; /* oldest first */
    int former_coordinators_num;
    GHashTable* asks;       /* ticket -> wg_call* */
    GHashTable* cache_asks; /* target -> what wg_entry_cache.c knows of its list */

    /* requests that end targets: wg_entry_quarantine.c */
    wg_quarantine* quarantine; /* copy of what was agreed on */
    wg_suspects* suspects;     /* what this host saw */
    GArray* crashes;           /* wg_crash, not told to the leader on this link yet */
    GArray* ended_well;        /* uint64_t, fingerprints; the same */
    wg_time suspects_at;       /* when the suspects were last looked through */

    GHashTable* checks;   /* target -> what wg_entry_check.c has under way */
    GArray* doubts;       /* what broke off at targets of which that is not known yet */
    wg_time checks_since; /* start of the second that is counted */
    int checks_num;       /* begun in it */

    wgh_server ready_server;
    wgh_server entry_server;
    wgh_server orders_server;

    wg_entry_counters counters;
    wg_pulse pulse;     /* how late the tick comes */
    struct event* turn; /* stands in line with what callers send, to tell how long that waits */
    wg_time turn_since; /* 0: it stands in no line */
    wg_pulse behind;    /* how long it waited */
    wg_time woke_at;    /* the last tick before which this process stood still; 0: none */
    wg_hist first_time; /* microseconds to the first byte of an answer */
    wg_hist total_time;
    wg_time log_second;
    int log_lines;
};

/* wg_entry.c */
bool wg_entry_is_ready(const wg_entry* e);
/* A planned stop is so far on that callers have long had newer entry answers, or that a request
   that takes so long could be cut off by its end. */
bool wg_entry_refuses_new(const wg_entry* e, wg_time takes);
/* How long what callers send waits for its turn in the loop, microseconds, as last seen. */
wg_time wg_entry_turn_wait(const wg_entry* e, wg_time now);
/* May another line about a request be logged this second? */
bool wg_entry_may_log(wg_entry* e, wg_time now);

/* wg_entry_link.c */
bool wg_entry_learn_seeds(wg_entry* e, const wg_entry_settings* settings, GError** error);
bool wg_entry_link_setup(wg_entry* e, GError** error);
void wg_entry_link_tick(wg_entry* e, wg_time now);
void wg_entry_report(wg_entry* e, wg_time now);
/* Without word of a leader, what it said of usage fades. */
void wg_entry_fade_usage(wg_entry* e, wg_time now);

/* Has this host been without a leader for so long that it takes what a replica holds? */
bool wg_entry_takes_standby(const wg_entry* e, wg_time now);

/* wg_entry_orders.c */
void wg_entry_order_begin(wg_entry* e, struct evhttp_request* request, const Wgpb__Order* order);
/* A leader is known: send all that waits. */
void wg_entry_orders_send(wg_entry* e);
void wg_entry_orders_take_answer(wg_entry* e, const Wgpb__OrderAnswer* answer);
/* What was sent has to be sent again. */
void wg_entry_orders_link_lost(wg_entry* e);
void wg_entry_orders_tick(wg_entry* e, wg_time now);
void wg_entry_orders_drop(wg_entry* e);
/* `document` NULL: none is part of the answer. */
void wg_entry_order_answer(struct evhttp_request* request, wg_order_outcome outcome,
                           GBytes* document);

/* wg_entry_admit.c */
/* The list of entry hosts has changed. */
void wg_entry_admit_members(wg_entry* e);
void wg_entry_admit_tick(wg_entry* e, wg_time now);
/* Ask who coordinates call->proposed.target; the answer comes through wg_call_admit_answered() or
   wg_call_admit_unanswered(), also before this returns. */
void wg_entry_admit_ask(wg_call* call, const wg_admit_limits* limits, wg_time now);
/* No answer came in time. */
void wg_entry_admit_unanswered(wg_call* call, wg_time now);
/* The prompt of the call's admission is read; its request is over; the call itself is. */
void wg_entry_admit_read(wg_call* call);
void wg_entry_admit_end(wg_call* call, bool failed);
void wg_entry_admit_forget(wg_call* call);
/* False when the link or the frame is none of admission. */
bool wg_entry_admit_on_up(wg_entry* e, wgn_link link);
/* Another process has come, perhaps to ask for admissions. */
void wg_entry_admit_on_asker(wg_entry* e, wgn_link link, const wgn_peer* peer);
void wg_entry_admit_on_down(wg_entry* e, wgn_link link);
bool wg_entry_admit_on_frame(wg_entry* e, wgn_link link, const wgw_frame* frame);

/* Does this host coordinate the target? */
bool wg_entry_admit_coordinates(wg_entry* e, uint32_t target);

/* wg_entry_cold.c */
/* Requests a second that the target bears now, of all hosts together; 0: any, it is not cold. */
double wg_entry_cold_rate(const wg_entry* e, uint32_t target);
/* May this host send to cold targets? After a start the lists of entry hosts are not whole: many
   would take themselves for the coordinator of the same target. */
bool wg_entry_feeds_cold(const wg_entry* e, wg_time now);
/* May it grant this one, which is cold, to others and to itself? */
bool wg_entry_grants_cold(const wg_entry* e, uint32_t target, wg_time now);
/* The list of coordinators is about to be replaced. */
void wg_entry_note_coordinators(wg_entry* e, const wg_coordinator* list, int num, wg_time now);
/* Service of a target, as the configuration in force has it; NULL when either is not known. */
const wg_service* wg_entry_service_of(const wg_entry* e, uint32_t target);

/* wg_entry_cache.c */
void wg_entry_cache_setup(wg_entry* e);
void wg_entry_cache_shutdown(wg_entry* e);
void wg_entry_cache_tick(wg_entry* e, wg_time now);

/* wg_entry_check.c */
void wg_entry_check_setup(wg_entry* e);
void wg_entry_check_shutdown(wg_entry* e);
/* Look what the registry says of targets that broke off. */
void wg_entry_check_doubts(wg_entry* e, wg_time now);
/* The connection on which the call's request was sent has ended without a whole answer: find out
   whether the target has ended too. */
void wg_entry_check_broken(wg_entry* e, const wg_call* call, const wg_upstream* up);

/* wg_entry_backoff.c */
/* A target has answered: take in what it asks of this host. `id`: of the request. Returns the
   microseconds of rest that it asks for; 0: none. */
wg_time wg_entry_note_answer(wg_entry* e, uint32_t target, const wg_backoff_wish* wish,
                             const char* id);
/* May the target be sent requests now? Whatever sends one asks this first: requests, those that go
   on or are sent again, and questions for cached prompts. */
bool wg_entry_may_send(const wg_entry* e, const wg_target* target, wg_time now);
/* May connections to it be kept for later? */
bool wg_entry_may_keep(const wg_entry* e, const wg_target* target);

/* wg_entry_quarantine.c */
void wg_entry_quarantine_setup(wg_entry* e);
void wg_entry_quarantine_shutdown(wg_entry* e);
void wg_entry_quarantine_tick(wg_entry* e, wg_time now);
/* Is a request with this fingerprint to be refused at once? */
bool wg_entry_is_quarantined(const wg_entry* e, uint64_t fingerprint);
/* Final answer to a call of a quarantined request, whatever it waits for. */
void wg_entry_refuse_quarantined(wg_call* call);
/* A target ended while it had a request of this host. */
void wg_entry_note_crash(wg_entry* e, const wg_crash* crash);
/* The request was answered as a whole: it does not end targets. */
void wg_entry_note_ended_well(wg_entry* e, uint64_t fingerprint);
/* The leader's list. */
void wg_entry_take_quarantine(wg_entry* e, const Wgpb__EntryState* in);
/* A new link: all that this host saw is to be told. */
void wg_entry_tell_crashes_again(wg_entry* e);
/* Put into a report what is to be told; afterwards it was sent. */
wg_crash_report wg_entry_fill_crashes(wg_entry* e, Wgpb__EntryReport* report);
void wg_entry_crashes_told(wg_entry* e, wg_crash_report* report);

/* wg_entry_attempt.c */
/* Choose a target and send, or wait for one. */
void wg_call_try(wg_call* call);
void wg_call_unqueue(wg_call* call);
/* Another attempt, when the rules and the budget allow it; `unsent`: no byte of the last one left.
   False: the call has to end. */
bool wg_call_again(wg_call* call, bool unsent);
/* Seconds after which a refused request may come back. */
double wg_call_retry_after(const wg_call* call);
/* Prompt tokens, and those that may be made, as workspaces are charged for them. */
uint32_t wg_call_tokens(const wg_call* call);
/* Tokens that the call's workspace lately had in the whole fleet. */
double wg_call_usage(const wg_call* call);
/* Is the request charged to a workspace? */
bool wg_call_counts(const wg_call* call);
void wg_call_admit_answered(wg_call* call, const wg_admit_answer* answer);
void wg_call_admit_unanswered(wg_call* call, wg_time now);

/* wg_entry_pages.c */
bool wg_entry_pages_setup(wg_entry* e, GError** error);

/* wg_entry_client.c */
bool wg_client_listen(wg_entry* e, GError** error);
void wg_client_tick(wg_entry* e, wg_time now);
/* Is a request on its way from any caller, also one that is not read yet? */
bool wg_client_any_sends(const wg_entry* e);
/* The call of the connection is over; `keep` false: close once all is written. */
void wg_client_call_over(wg_client* client, bool keep);
/* Close at once, also in the middle of an answer. */
void wg_client_close(wg_client* client);
/* Write as much as the socket takes now; the rest follows. Empties `bytes`. */
void wg_socket_write(struct bufferevent* bev, struct evbuffer* bytes);

/* Has the other end closed, with nothing left to read? */
bool wg_socket_peer_has_left(struct bufferevent* bev);

/* wg_entry_call.c */
/* Takes over `bytes` and `body`. */
void wg_call_begin(wg_client* client, char* bytes, size_t size, struct evbuffer* body);
void wg_call_caller_left(wg_call* call);
void wg_call_answer_head(wg_call* call, wg_upstream* up);
void wg_call_answer_data(wg_call* call, wg_upstream* up);
void wg_call_answer_whole(wg_call* call, wg_upstream* up);
/* The connection is up, but the target takes nothing any more: it is not to blame for that. */
void wg_call_attempt_withdrawn(wg_call* call, wg_upstream* up, const char* reason);
/* The attempt is over without a whole answer. */
void wg_call_attempt_failed(wg_call* call, wg_upstream* up, const char* reason);
void wg_call_queue_run(wg_entry* e);
void wg_call_set_timer(wg_call* call, wg_time now);
/* A final answer of ours, at once. */
void wg_call_refuse(wg_call* call, int status, const char* reason, double retry_after);
void wg_call_cut_all(wg_entry* e);
/* The process stood still: what calls wait for may be over already. */
void wg_call_wake_all(wg_entry* e, wg_time now);
/* A refusal of ours, before there is a call. */
void wg_client_refuse(wg_client* client, int status, const char* code, double retry_after,
                      bool keep);

/* wg_entry_upstream.c */
wg_upstream* wg_upstream_open(wg_entry* e, const wg_target* target, bool fresh);
void wg_upstream_send(wg_upstream* up, wg_call* call);
void wg_upstream_close(wg_upstream* up);
void wg_upstream_release(wg_upstream* up);
void wg_upstream_tick(wg_entry* e, wg_time now);
void wg_upstream_resume(wg_upstream* up);
void wg_upstream_forget(wg_entry* e);
void wg_upstream_shutdown(wg_entry* e);
