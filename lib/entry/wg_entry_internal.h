#pragma once
/* wg_entry_internal.h -- state and functions shared within lib/entry; not installed */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "wg_admit.h"
#include "wg_answer.h"
#include "wg_backoff.h"
#include "wg_balance.h"
#include "wg_buffers.h"
#include "wg_config.h"
#include "wg_descriptors.h"
#include "wg_entry.h"
#include "wg_event_stream.h"
#include "wg_fair.h"
#include "wg_fingerprint.h"
#include "wg_handoff.h"
#include "wg_hangup.h"
#include "wg_hold.h"
#include "wg_incarnation.h"
#include "wg_lease.h"
#include "wg_loop.h"
#include "wg_origin.h"
#include "wg_overload.h"
#include "wg_policy.h"
#include "wg_quarantine.h"
#include "wg_retry.h"
#include "wg_room.h"
#include "wg_roster.h"
#include "wg_socket.h"
#include "wg_usage.h"
#include "wg_watch.h"

enum {
    WG_CONTROLS_MAX = 24,
    WG_RECOVERY_QUERIES_MAX = 4,
    WG_HEAD_BYTES_START = 16 * 1024, /* limit of a request head before a configuration is known */
    WG_BUFFERED_ANSWER_MAX = 64 * 1024, /* answers up to this size are relayed only when complete */
    WG_EVENT_ID_MAX = 32,
    WG_COORDINATORS_MAX = 16,
    /* Previous lists that are kept. Hosts that start together join one by one, each with a new
       list. */
    WG_PREVIOUS_COORDINATORS_MAX = 16
};

/* Seconds. Short, as other entry hosts can accept the request at once. */
#define WG_STOPPING_RETRY_AFTER 0.02

/* What this host knows of forced recoveries of the replica set (wg_entry_recovery.c). */
typedef struct {
    uint64_t known;  /* highest recovery heard of, see wg_term.h */
    bool roster_due; /* the next report to a leader has to contain the roster */
    wgn_link queries[WG_RECOVERY_QUERIES_MAX]; /* to other entry hosts, after the start */
    int queries_num;
    wg_time queries_expire_at; /* until then no leader is followed while queries are pending */
    GQueue delayed;            /* wg_delayed_frame*, from the control, oldest first */
} wg_entry_recovery;

typedef struct wg_call wg_call;
typedef struct wg_client wg_client;
typedef struct wg_upstream wg_upstream;
typedef struct wg_handed wg_handed; /* wg_entry_handed.c */
typedef struct wg_unsure wg_unsure; /* wg_entry_lease.c */
enum {
    /* Longest wait of a request for a sure configuration, or for sure targets: a search that gets
       no answer, and the first state of a leader that is found. */
    WG_UNSURE_WAIT_MAX = 500 * WG_USEC_PER_MSEC
};
typedef struct wg_taken wg_taken;                 /* wg_entry_taken.c */
typedef struct wg_entry_handoff wg_entry_handoff; /* wg_entry_handoff.c */

typedef enum {
    WG_CLIENT_HEAD = 0, /* waits for a request head */
    WG_CLIENT_BODY,     /* reads a request body */
    WG_CLIENT_BUSY,     /* a call is in progress, or its request waits or is at another host */
    WG_CLIENT_ENDING    /* flushes the last answer, then closes */
} wg_client_state;

/* A caller's connection, or a caller of another host whose request this host took (`taken`). */
struct wg_client {
    wg_entry* entry;
    struct bufferevent* bev; /* NULL if `taken` */
    struct event* watch;     /* detects that the caller closed while a call is in progress */
    bool watched;
    wg_hangup hangup; /* does the same while input waits in the socket */
    size_t input_max; /* bytes of input that are read before they are examined */
    wg_client_state state;
    wg_call* call;
    wg_handed* handed;  /* its request is at another host; NULL: it is not */
    wg_unsure* unsure;  /* its request waits for a sure configuration; NULL: it does not */
    wg_taken* taken;    /* the caller is connected to another host; NULL: it is connected here */
    wg_time arrived_at; /* arrival of the request; 0: unknown, estimated by the delay of input */
    wg_body body;
    char* head_bytes;      /* head of the request being read */
    size_t head_size;      /* bytes of `head_bytes` */
    wg_message_head* head; /* parsed `head_bytes`, while a body is read that is not dropped */
    struct evbuffer* body_bytes;
    bool dropping;         /* the request was refused; its body is read and dropped */
    bool keep;             /* connection may be reused after the current answer */
    bool by_connection;    /* the current answer has neither a length nor chunks */
    bool answered;         /* at least one answer was sent */
    wg_time state_since;   /* start of the current state, or arrival of the first byte of a head */
    bool head_started;     /* part of a head was received */
    size_t bytes_examined; /* bytes of an incomplete head that were examined */
    guint index;           /* index in entry->clients or entry->taken_clients */
    bool idle;             /* linked in entry->idle_clients */
    GList idle_link;
    wg_buffers_peer held; /* answers not read yet, input, and the head and body of the request */
    bool delayed;         /* its next request is read when earlier answers are read */
    char last_id[WG_NAME_MAX]; /* id of its last request */
};

/* Outcome of a call, as logged at its end. */
typedef struct {
    int status;
    wg_verdict verdict;
    const char* reason;
} wg_call_end;

/* One request of a caller. */
struct wg_call {
    wg_entry* entry;
    wg_client* client; /* NULL after the caller disconnected */
    wg_config* config;
    const wg_route* route;
    const wg_workspace* workspace; /* NULL on open routes */
    int service;
    char* bytes; /* storage that `head` points into */
    wg_message_head head;
    struct evbuffer* body;
    char id[WG_NAME_MAX];
    char resumes[WG_NAME_MAX]; /* id of the request whose stream the caller takes up; "": none */
    char owner[WG_NAME_MAX];   /* host that the caller is connected to; "-": this host */
    uint64_t fingerprint;      /* equal for identical requests on all hosts */
    /* fingerprints of the parts of its prompt; the last one is the request's own */
    uint64_t parts[WG_PROMPT_PARTS_MAX];
    int parts_num;
    bool head_only; /* method is HEAD */
    wg_time started;
    wg_time expires_at; /* the call ends at this time at the latest */
    wg_time deadline;   /* deadline set by the caller, or WG_TIME_NEVER */
    wg_prompt prompt;
    bool has_prompt;
    wg_balance_request selection; /* needs of the request, and targets excluded so far */
    wg_balance_choice choice;     /* target of the current attempt, with the load accounted to it */
    wg_balance_choice proposed;   /* selected, but not sent yet */
    uint64_t admit_ticket;        /* ticket of the pending admission request; 0: none */
    wg_time admit_expires_at;     /* without an answer until then, this host decides alone */
    uint64_t admission_ticket;    /* ticket of the admission held; 0: none */
    bool admission_read;          /* the coordinator was notified that the prompt was processed */
    uint64_t coordinator_rank; /* rank of the coordinator of the pending request or the admission */
    int admit_requests;        /* admission requests of the current selection */
    int admit_requests_total;  /* admission requests of all selections */
    bool was_admitted;
    /* denied target with the smallest expected wait that is not hopeless; target 0: none */
    wg_balance_choice least_busy;
    bool denied_for_wait; /* a target denied the request for lack of room */
    bool held;            /* has waited for room at a coordinator, or waits there now */
    wg_time held_since;   /* start of the wait for room at a coordinator; 0: does not wait */
    wg_time held_time;    /* time that it waited there, once that is over */
    wg_time room_at;      /* earliest time at which a target expects room; 0: not known */
    wg_time expected;     /* expected time to the first event, as of the last selection */
    wg_time limit;        /* longest expected time at which the request may be sent */
    wg_upstream* upstream;
    int attempts;
    wg_time sent_at;     /* time of the last attempt */
    int unsent;          /* attempts of which no byte left this host */
    wg_time next_try_at; /* earliest time of the next selection while queued */
    bool relaxed;        /* wait limits widened, as no target meets them */
    wg_room_answer room; /* room of the service at the last selection */
    wg_time yield_time;  /* of its workspace at the first try, see wg_policy_yield_time(); 0: none,
                            or the setting is off */
    bool may_have_run;
    bool was_offered;
    bool queued; /* waits in the service's queue for a target */
    wg_time queued_until;
    wg_time first_event_at;
    wg_time retry_at;     /* time of the next attempt; 0: none scheduled */
    wg_time unsure_since; /* since when it waits for sure targets; 0: it does not */
    bool head_sent;
    wg_framing framing;               /* of the answer to the caller, once `head_sent` */
    bool caller_cut;                  /* the caller was cut off, as it did not read its answer */
    wg_time paused_time;              /* time for which reading the answer was paused, until now */
    char last_event[WG_EVENT_ID_MAX]; /* id of the last event relayed; "": none */
    int64_t events;
    int64_t events_before;          /* events relayed before the last attempt */
    char sent_version[WG_NAME_MAX]; /* software version of the last attempt's target */
    /* its number; 0: it stated the version, or that it is the process of that version, itself */
    uint32_t sent_target;
    /* Software version that the stream began at; NULL: no event has reached the caller, or not
       known. Points to `version_text`. */
    const char* version;
    char version_text[WG_NAME_MAX];
    uint32_t began_target; /* target that it began at, see wg_origin */
    wg_time began_at;
    wg_time doubted_at; /* since when `version` is in doubt; 0: it is not */
    uint64_t stream;    /* identifies it on all hosts, see lib/origin; 0: it cannot be taken up */
    uint64_t keepers[WG_ORIGIN_KEEPERS]; /* ranks of the coordinators that were told of it */
    int keepers_num;
    bool origin_reported;   /* to the leader, or waits for the next report */
    uint64_t origin_ticket; /* of the pending round of `origin_lookup`; 0: none */
    wg_origin_lookup origin_lookup;
    struct event* timer;
    GList queue_link;
};

typedef enum {
    WG_UPSTREAM_CONNECTING = 0,
    WG_UPSTREAM_HEAD, /* sends the request, or waits for the answer's head */
    WG_UPSTREAM_BODY,
    WG_UPSTREAM_ENDED, /* the answer ended with the connection; its target is checked */
    WG_UPSTREAM_IDLE
} wg_upstream_state;

/* A check whether a target has ended, see wg_entry_ends.c. */
typedef struct wg_end_check wg_end_check;

/* A connection to a target. */
struct wg_upstream {
    wg_entry* entry;
    uint32_t target;
    struct bufferevent* bev;
    wg_upstream_state state;
    wg_call* call;
    bool remote;              /* the target is in another data centre */
    wg_time connecting_since; /* start of the time limit for connecting */
    bool used;                /* connection served an earlier request */
    bool echoes;              /* the target echoes ids of requests on this connection */
    bool written;             /* bytes of the current request may have left this host */
    wg_answer answer;
    wg_time backoff_time;   /* backoff period requested by the answer; 0: none */
    wg_time established_at; /* when the connection came up, or a little later */
    bool asking;            /* the target was asked when it started, the request follows */
    wg_time asked_at;       /* until the request is sent; 0: it was not asked since the last one */
    uint64_t leader_ticket; /* of the question to the leader about the target; 0: none */
    struct evbuffer* content; /* answer body not relayed yet */
    bool is_event_stream;
    wg_end_check* end_check; /* that the end of the answer waits for, if `state` is ENDED */
    bool paused;             /* reading waits until the caller has read */
    wg_time paused_at;       /* start of the pause, if `paused` */
    size_t turn_bytes;       /* received since its last turn began */
    bool waits_turn;         /* linked in entry->turns: not read until events of others have run */
    GList turn_link;
    wg_buffers_peer held; /* request not read yet, and content not relayed yet */
    wg_time idle_since;
    wg_time idle_limit;
    GList idle_link;  /* in the queue of its target */
    GList idle_order; /* in entry->idle_upstreams */
};

/* Addresses of processes that may know the leader, each at most once. */
typedef struct {
    char list[WG_CONTROLS_MAX][WG_ADDRESS_MAX];
    int num;
} wg_addresses;

/* Entry host that admits prompts to a part of the targets on behalf of all entry hosts. */
typedef struct {
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX]; /* ip:port of its fleet listener */
    uint64_t rank;                /* hash of `name` */
    bool self;
    wgn_link link;
    bool up;
    wg_time dial_at;
    int timeouts_num; /* consecutive admission requests that timed out */
    wg_time unresponsive_until;
} wg_coordinator;

/* Previous list of coordinators, replaced at `replaced_at`. */
typedef struct {
    uint64_t ranks[WG_COORDINATORS_MAX];
    int num;
    wg_time replaced_at;
} wg_previous_coordinators;

/* Links of a search for a leader, one to each control that is asked. */
typedef struct {
    wgn_link links[WG_CONTROLS_MAX];
    char addresses[WG_CONTROLS_MAX][WG_ADDRESS_MAX];
    int num;
    uint64_t ticket;
    bool wide; /* all controls are asked, not only the leader that this host follows */
} wg_leader_search;

/* Order that waits for the leader's answer. */
typedef struct {
    uint64_t ticket;
    struct evhttp_request* request; /* NULL after the sender disconnected */
    GByteArray* packed;             /* serialized Wgpb__Order */
    bool sent;
    bool is_read;     /* requests the configuration */
    bool from_target; /* heartbeat or deregistration of a target */
    uint64_t version; /* version of the configuration carried; 0: none */
    wg_time received_at;
    wg_time expires_at;
} wg_entry_order;

typedef struct {
    uint64_t requests;
    uint64_t completed;
    uint64_t refused;
    uint64_t failed;
    uint64_t aborted;
    uint64_t caller_disconnects;
    uint64_t tries; /* target selections, also those without a result */
    uint64_t retries;
    uint64_t resumes;
    uint64_t streams_taken_up; /* requests whose caller takes up a stream */
    uint64_t versions_joined;  /* streams continued at another software version; always 0 */
    uint64_t versions_gone;    /* streams refused as no target of their version serves */
    uint64_t versions_doubted; /* streams given up as their target had restarted unnoticed */
    uint64_t origins_told;     /* streams of this host that others were told of */
    uint64_t origins_here;     /* streams taken up whose version this host knew */
    uint64_t origins_asked;    /* those whose version another host knew */
    uint64_t origins_earlier;  /* those that nobody knew, as they began before other versions */
    uint64_t origins_only;     /* those that nobody knew, of services with one version */
    uint64_t origins_unknown;  /* those refused, as their version is not known */
    uint64_t answers_by_connection; /* answers of targets that ended with their connection */
    uint64_t answers_in_event;      /* answers of targets that ended within an event */
    uint64_t connects;
    uint64_t target_bytes_out;        /* bytes sent to targets */
    uint64_t target_bytes_in;         /* bytes received from targets */
    uint64_t target_remote_bytes_out; /* bytes sent to targets in other data centres */
    uint64_t target_remote_bytes_in;  /* bytes received from targets in other data centres */
    uint64_t cold_denials;            /* admissions denied for cold targets */
    uint64_t callers_replaced;        /* idle connections closed in favour of new ones */
    uint64_t callers_refused;         /* connections refused because none was idle */
    uint64_t log_lines_dropped;
    uint64_t denied_routes; /* requests denied as their route is not known */
    uint64_t denied_keys;   /* requests denied as their key is not known */
    uint64_t unsure_waits;  /* requests that waited for a sure configuration */
    uint64_t leader_searches;
    uint64_t denied_unsure; /* requests denied as the configuration may be outdated */
    uint64_t targets_ended; /* targets found ended after they aborted a request */
    uint64_t targets_alive; /* targets that aborted a request, but accept connections */
    uint64_t checks_skipped;
    uint64_t quarantine_refusals;
    uint64_t backoffs;              /* backoff periods requested by targets */
    uint64_t drains_reported;       /* targets that reported in an answer that they are draining */
    uint64_t backoff_refusals;      /* requests refused because all targets are in backoff */
    uint64_t over_share_refusals;   /* requests refused as their workspace is far above its share */
    uint64_t incarnation_questions; /* to targets, when they started */
    uint64_t incarnations_other;    /* answers of another process than the registry names */
    uint64_t target_stalls;         /* stalls of targets that this host coordinates */
    uint64_t callers_cut;           /* connections closed as the caller did not read its answer */
    uint64_t targets_cut;           /* connections closed as the target did not read the request */
    uint64_t bodies_refused;        /* requests refused as the host holds too many bytes */
    uint64_t accept_pauses;         /* pauses of the callers' listener */
    uint64_t descriptor_refusals;   /* requests refused for lack of descriptors */
    uint64_t idle_targets_closed;   /* idle connections to targets closed for new connections */
    uint64_t handed_off;            /* requests that ended at another host */
    uint64_t handoffs_failed;       /* those of them whose answer did not arrive complete */
    uint64_t handoffs_taken;        /* requests of other hosts that this host took */
} wg_entry_counters;

/* A complete answer to a request, or on a part of its prompt. */
typedef struct {
    uint64_t fingerprint;
    bool is_short; /* it was over while its target was at the beginning of it */
} wg_completion;

/* Crash evidence in a report. The arrays are released by wg_entry_crashes_reported(). */
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
    bool served; /* a request was served since the start */
    bool stopping;
    wg_time stop_at;

    struct evconnlistener* listener;
    wg_hangups* hangups;
    GPtrArray* clients;
    GPtrArray* taken_clients;     /* wg_client, callers of other hosts whose requests were taken */
    wg_time clients_due_at;       /* no connection exceeds its time limit before */
    uint64_t clients_due_version; /* configuration that `clients_due_at` follows from */
    GQueue idle_clients;          /* wg_client waiting for a request; longest idle first */
    GHashTable* idle;             /* target -> GQueue of wg_upstream */
    GHashTable* queues;           /* name of a service -> GQueue of wg_call */
    int calls_num;
    int upstreams_num;
    struct evbuffer* relayed_events; /* empty between events: one allocation for all streams */
    struct evbuffer* relayed_bytes;  /* likewise */

    /* copy of the fleet state */
    wg_config* config;
    GBytes* document; /* text of `config`, to apply differences to */
    wg_registry* registry;
    bool registry_known;
    wg_balance* balance;
    wg_backoff* backoff;
    GHashTable* retries; /* name of a service -> wg_retry* */
    wg_roster* roster;
    wg_usage_ledger* usage; /* usage of workspaces on this host and in the fleet */
    wg_fair_margin margin;
    wg_room_copy* room; /* room of services, as told by the leader; empty if not used */

    /* link to the leader */
    wgn_net* net;
    wgn_link link;
    bool link_up;
    bool link_confirms;     /* the control repeats the numbers of reports */
    bool on_standby;        /* state was taken from a replica without a leader */
    uint64_t term_followed; /* term of the last leader followed */
    wg_entry_recovery recovery;
    bool leader_known;
    wg_addresses controls;       /* replicas named by other processes */
    wg_addresses seed_addresses; /* controls and entry hosts at the seeds */
    int next_control;
    int next_seed;
    char dial_address[WG_ADDRESS_MAX];
    wg_time dial_at;
    wg_time report_at;
    wg_time state_at;      /* last state from a leader, or start of the link if later */
    wg_time heard_at;      /* last state from a leader; 0: none since the start */
    wg_outage leaderless;  /* outage without a leader */
    wg_time leaderless_at; /* when the linked control first reported no leader; 0: it knows one */
    wg_time report_interval;
    uint64_t report_seq;
    uint64_t state_seen; /* sequence of the last state received on this link */
    GQueue orders;       /* wg_entry_order* */

    /* what decisions are based on: wg_entry_lease.c */
    wg_lease lease;
    wg_lease_basis basis_logged;
    wg_leader_search search;
    GQueue unsure; /* wg_unsure*, requests that wait, oldest first */

    /* admission: wg_entry_admit.c */
    wg_admit* admit; /* admission to targets that this host coordinates */
    wg_hold* hold;   /* requests of all hosts that wait for these targets */
    struct event* hold_timer;
    wg_coordinator coordinators[WG_COORDINATORS_MAX]; /* highest rank first */
    int coordinators_num;
    wg_previous_coordinators previous_coordinators[WG_PREVIOUS_COORDINATORS_MAX]; /* oldest first */
    int previous_coordinators_num;
    GHashTable* pending_admissions; /* ticket -> wg_call* */
    GHashTable* cache_queries;      /* target -> private data of wg_entry_cache.c */
    GArray* cache_pending;          /* uint32_t, targets whose query is not finished */
    bool cache_outdated;            /* all targets have to be looked at again */

    /* streams that callers take up: wg_entry_origins.c */
    wg_origins* origins;
    /* Number of the last target that was registered when the records of streams begin: when this
       host got its first registry, or a coordinator left, with what it kept. */
    uint32_t origins_from;
    bool origins_from_known;
    wg_incarnations* incarnations;
    GHashTable* target_asks;        /* ticket -> wg_upstream* that waits for the leader's answer */
    wg_origins* unreported_origins; /* for the next report to the leader */
    GHashTable* pending_origins;    /* ticket -> wg_call* */

    /* requests that crash targets: wg_entry_quarantine.c */
    wg_quarantine* quarantine;   /* copy of the leader's list */
    wg_suspects* suspects;       /* evidence seen by this host */
    GArray* crashes;             /* wg_crash, not reported on this link yet */
    GArray* ended_well;          /* uint64_t, fingerprints not reported on this link yet */
    wg_time suspects_expired_at; /* last time that suspects were expired */

    GHashTable* checks;    /* target -> check in progress, see wg_entry_check.c */
    GArray* unresolved;    /* aborted requests whose targets are not known to have ended */
    GPtrArray* end_checks; /* wg_end_check in progress */
    GArray* unsure_ends;   /* requests whose answers ended with their connections, oldest first */
    wg_time checks_window_start; /* start of the current one-second window */
    int checks_num;              /* checks started in the current window */

    /* bytes held for callers and targets: wg_entry_buffers.c */
    wg_buffers* buffers;
    wg_buffers_level buffers_level; /* level last applied to the answers in progress */
    int paused_num;                 /* answers whose reading is paused */

    GQueue turns;       /* wg_upstream that wait for their next turn: wg_entry_turns.c */
    struct event* turn; /* has the priority of new requests */

    /* file descriptors: wg_entry_descriptors.c */
    bool spares_descriptors; /* the setting is on and the limit is known */
    GQueue idle_upstreams;   /* wg_upstream of all targets, longest idle first */
    wg_descriptors_watch descriptors_watch;
    uint64_t refused_before_shortage; /* descriptor_refusals until the last shortage began */
    struct event* accept_timer;       /* ends a pause of the callers' listener */
    wg_time accept_paused_at;         /* start of the pause of the listener; 0: it accepts */
    wg_time accept_logged_at;         /* last log line about a failed accept(); 0: none */

    wgh_server ready_server;
    wgh_server entry_server;
    wgh_server orders_server;

    wg_entry_counters counters;
    wg_lag_monitor tick_lag;   /* event-loop delay of the tick */
    struct event* delay_probe; /* queued behind callers' input to measure its delay */
    wg_time probe_since;       /* 0: the probe is not queued */
    wg_time last_probe_since;  /* time at which the last probe that ran was queued */
    wg_lag_monitor input_lag;  /* delay of callers' input in the event loop */
    wg_time stall_ended_at;    /* first tick after the last stall of this process; 0: none */

    wg_entry_handoff* handoff; /* NULL: off */

    /* refusals on arrival: wg_entry_overload.c */
    wg_overload* overload;            /* NULL: off */
    struct evbuffer* dropped_bytes;   /* bodies of refused requests pass through it */
    uint64_t refused_before_overload; /* refusals until the limit in force began */
    wg_time overload_log_second;      /* start of the second that overload_log_lines counts */
    int overload_log_lines;           /* also those left out */

    wg_hist first_byte_time; /* microseconds to the first byte of the answer */
    wg_hist total_time;
    wg_log_limit log_limit;        /* lines about requests */
    wg_log_limit denial_log_limit; /* lines about denied requests */
};

/* wg_entry.c */
bool wg_entry_is_ready(const wg_entry* e);
/* Whether a planned stop refuses a new request that is expected to take `duration` microseconds:
   callers have newer entry answers by now, or the stop would abort the request. */
bool wg_entry_refuses_new(const wg_entry* e, wg_time duration);
/* Current event-loop delay of callers' input, microseconds. */
wg_time wg_entry_input_delay(const wg_entry* e, wg_time now);
/* Whether another log line about a request is allowed in this second; counts it. */
bool wg_entry_may_log(wg_entry* e, wg_time now);
/* The same for a request that is denied by the configuration: served ones do not crowd it out. */
bool wg_entry_may_log_denial(wg_entry* e, wg_time now);
/* Milliseconds since the last state from a leader; -1: there was none since the start. */
int64_t wg_entry_state_age_ms(const wg_entry* e, wg_time now);
/* Milliseconds since the host knew all that was acknowledged; -1: it never did. */
int64_t wg_entry_confirmed_ms(const wg_entry* e, wg_time now);

/* wg_entry_link.c */
bool wg_entry_add_seeds(wg_entry* e, const wg_entry_settings* settings, GError** error);
bool wg_entry_link_setup(wg_entry* e, GError** error);
void wg_entry_link_tick(wg_entry* e, wg_time now);
void wg_entry_report(wg_entry* e, wg_time now);
/* Closes the link to the control; dials `address`, or the next known one if it is empty. */
void wg_entry_reconnect(wg_entry* e, const char* address);
/* Handles a frame from the control: processes it now, or puts it aside until a leader is known. */
void wg_entry_receive_frame(wg_entry* e, const wgw_frame* frame);
void wg_entry_apply_frame(wg_entry* e, const wgw_frame* frame);
/* Writes the address at which the entry host on a seed, "ip:port", listens for fleet processes. */
bool wg_entry_host_address(const wg_entry* e, const char* seed, char* out, size_t size);

/* Adds the address of a control to those that are dialled. */
void wg_entry_add_control(wg_entry* e, const char* address);

/* wg_entry_state.c */
/* Applies a state from the control: follows its sender, or the leader that it names. */
void wg_entry_apply_state(wg_entry* e, const Wgpb__EntryState* in);
/* Reconnects if the update cannot be applied, as a new link sends the full configuration. */
void wg_entry_handle_configuration(wg_entry* e, const Wgpb__Configuration* in);
/* Decays the fleet usage last received, while there is no contact with a leader. */
void wg_entry_decay_usage(wg_entry* e, wg_time now);
/* Whether the service has room, as told by the leader, else as far as this host knows. While it
   has, no workspace yields to others. */
bool wg_entry_has_room(wg_entry* e, wg_time now, const char* service);
/* Whether the leader has been missing long enough to accept state from a replica. */
bool wg_entry_accepts_standby(const wg_entry* e, wg_time now);

/* wg_entry_recovery.c */
/* Asks the entry hosts on the seeds whether they know of a recovery. */
void wg_entry_recovery_setup(wg_entry* e);
void wg_entry_recovery_shutdown(wg_entry* e);
void wg_entry_recovery_tick(wg_entry* e, wg_time now);
/* This process stood still for `duration` microseconds. */
void wg_entry_recovery_record_stall(wg_entry* e, wg_time duration);
/* Records a recovery; leaves a leader of a set before it. `source` is named in the log. */
void wg_entry_recovery_record(wg_entry* e, uint64_t recovery, const char* source);
/* Whether the sender belongs to a replica set that a known recovery replaced, or leads in an
   earlier term than the last leader followed. */
bool wg_entry_is_outdated_leader(const wg_entry* e, const Wgpb__EntryState* in);
/* Processes the state that an entry host sends when a link to it comes up. */
void wg_entry_recovery_on_hello(wg_entry* e, wgn_link link, const Wgpb__EntryState* in);
void wg_entry_recovery_on_down(wg_entry* e, wgn_link link);
/* Whether a frame from the control was put aside: queries are pending, or it is a configuration and
   the control has not been accepted as leader. */
bool wg_entry_recovery_delays(wg_entry* e, const wgw_frame* frame);
/* Applies the configurations that were put aside, as their sender has been accepted. */
void wg_entry_recovery_accept_configurations(wg_entry* e);
/* Drops the frames that were put aside; called when the link to the control is closed. */
void wg_entry_recovery_drop_delayed(wg_entry* e);
/* Term that tells other entry hosts what this host knows; 0: it has followed no leader yet. */
uint64_t wg_entry_recovery_hello_term(const wg_entry* e);

/* wg_entry_lease.c */
void wg_entry_lease_setup(wg_entry* e);
void wg_entry_lease_tick(wg_entry* e, wg_time now);
/* What decisions by the configuration and the registry are based on now. */
wg_lease_basis wg_entry_basis(const wg_entry* e, wg_time now);
/* Begins a call, here or at another host, once the configuration is sure: now, or soon. Takes
   ownership of `bytes`, which `head` points into, of `head` and of `body`. */
void wg_entry_lease_begin_call(wg_client* client, char* bytes, wg_message_head* head,
                               struct evbuffer* body);
/* The configuration may have become sure: begins the calls that wait. */
void wg_entry_lease_resume(wg_entry* e);
/* The caller of a waiting request has left. */
void wg_entry_lease_forget(wg_client* client);
/* The functions that return bool return false if the link or frame does not concern a search. */
bool wg_entry_lease_on_up(wg_entry* e, wgn_link link, const wgn_peer* peer);
void wg_entry_lease_on_down(wg_entry* e, wgn_link link);
bool wg_entry_lease_on_frame(wg_entry* e, wgn_link link, const wgw_frame* frame);
void wg_entry_lease_print_metrics(const wg_entry* e, GString* out);

/* wg_entry_orders.c */
void wg_entry_order_begin(wg_entry* e, struct evhttp_request* request, const Wgpb__Order* order);
/* Sends all pending orders to the leader; called when one becomes known. */
void wg_entry_orders_send(wg_entry* e);
void wg_entry_orders_apply_answer(wg_entry* e, const Wgpb__OrderAnswer* answer);
/* Marks all pending orders to be sent again. */
void wg_entry_orders_link_down(wg_entry* e);
void wg_entry_orders_tick(wg_entry* e, wg_time now);
void wg_entry_orders_drop(wg_entry* e);
/* Answers the sender of an order. `document` may be NULL. */
void wg_entry_order_answer(struct evhttp_request* request, wg_order_outcome outcome,
                           GBytes* document);

/* wg_entry_admit.c */
/* Updates the coordinators after a change of the roster. */
void wg_entry_admit_update_members(wg_entry* e);
void wg_entry_admit_tick(wg_entry* e, wg_time now);
/* Requests an admission from the coordinator of call->proposed.target. Ends in
   wg_call_admit_answered() or wg_call_admit_unanswered(), possibly before this returns. `hold`:
   longest wait for room at the coordinator; 0: the coordinator answers at once. */
void wg_entry_admit_request(wg_call* call, const wg_admit_limits* limits, wg_time hold,
                            wg_time now);
/* The request as wg_entry_admit_request() would send it for call->proposed.target. */
wg_admit_request wg_entry_admit_request_of(const wg_call* call, const wg_admit_limits* limits);
/* Decides at once on a request of any host; holder 0 is this host. */
wg_admit_answer wg_entry_admit_decide(wg_entry* e, wg_admit_request* request);
/* Passes the coordinator's answer to the host that requested it; holder 0 is this host. */
void wg_entry_admit_answer(wg_entry* e, uint64_t holder, uint64_t ticket,
                           const wg_admit_answer* answer);
/* The pending admission request timed out. */
void wg_entry_admit_unanswered(wg_call* call, wg_time now);
/* Notifies the coordinator that the target has processed the prompt. */
void wg_entry_admit_read(wg_call* call);
/* Ends the call's admission, if it holds one, and notifies the coordinator. `failed`: the target
   failed. */
void wg_entry_admit_end(wg_call* call, bool failed);
/* Drops a pending admission request and ends the admission. */
void wg_entry_admit_cancel(wg_call* call);
/* The functions that return bool return false if the link or frame does not concern admission. */
bool wg_entry_admit_on_up(wg_entry* e, wgn_link link);
/* Another process has connected, possibly to request admissions. */
void wg_entry_admit_on_peer_up(wg_entry* e, wgn_link link, const wgn_peer* peer);
void wg_entry_admit_on_down(wg_entry* e, wgn_link link);
bool wg_entry_admit_on_frame(wg_entry* e, wgn_link link, const wgw_frame* frame);

bool wg_entry_admit_coordinates(wg_entry* e, uint32_t target);
/* Whether this host coordinates any targets. */
bool wg_entry_admit_is_coordinator(const wg_entry* e);

/* wg_entry_hold.c */
void wg_entry_hold_setup(wg_entry* e);
void wg_entry_hold_shutdown(wg_entry* e);
/* Decides as coordinator on a request, or keeps it until there is room. Returns true if it waits;
   wg_entry_admit_answer() follows. */
bool wg_entry_hold_ask(wg_entry* e, wg_hold_request* request, wg_admit_answer* answer);
/* The prompt of an admission was processed. */
void wg_entry_hold_read(wg_entry* e, uint64_t holder, uint64_t ticket);
/* An admission ended, or a waiting request is no longer needed. */
void wg_entry_hold_end(wg_entry* e, uint64_t holder, uint64_t ticket, bool failed);
/* The link of the holder closed. */
void wg_entry_hold_release_holder(wg_entry* e, uint64_t holder);
void wg_entry_hold_tick(wg_entry* e, wg_time now);

/* wg_entry_origins.c */
void wg_entry_origins_setup(wg_entry* e);
void wg_entry_origins_shutdown(wg_entry* e);
void wg_entry_origins_tick(wg_entry* e, wg_time now);
void wg_entry_origins_print_metrics(const wg_entry* e, GString* out);
/* Adds streams that the leader has not been told of to the report, which borrows them until the
   caller frees the message; NULL: none. */
Wgpb__OriginNotes* wg_entry_fill_origins(wg_entry* e, Wgpb__EntryReport* report);
/* Whether the version that the call's stream began at is certain: its target has not restarted
   unnoticed with another one. */
bool wg_call_origin_is_certain(const wg_call* call);
/* Events of the stream have come from the target. If the version is in doubt because that target
   has restarted, it turns out to be that of the later start if the connection lasts. */
void wg_entry_origin_on_events(wg_call* call, const wg_upstream* up);
/* Tells other hosts of the version that a stream began at. Called before its first event leaves. */
void wg_entry_origin_record(wg_call* call);
/* Coordinators have changed, or a link to one: streams in progress whose keepers may not have their
   record are told of again. */
void wg_entry_origins_update_keepers(wg_entry* e);
/* Takes over a changed target: if its service now has several versions, the leader is told of the
   streams in progress. */
void wg_entry_origins_update_target(wg_entry* e, uint32_t number);
/* Finds out at which version the stream began that the caller takes up, then goes on with the
   request, or refuses it. May free the call. */
void wg_entry_origin_find(wg_call* call);
/* The round of the lookup is over. */
void wg_entry_origin_expired(wg_call* call);
/* Drops a pending lookup. */
void wg_entry_origin_cancel(wg_call* call);
/* False if the frame does not concern origins. */
/* From now on, records of streams are complete: this host has its first registry, or a coordinator
   has left with what it kept. */
void wg_entry_origins_begin_records(wg_entry* e);
bool wg_entry_origins_on_frame(wg_entry* e, wgn_link link, const wgw_frame* frame);

/* wg_entry_cold.c */
/* Requests per second that all hosts together may send to a cold target; 0 if it is not cold. */
double wg_entry_cold_rate(const wg_entry* e, uint32_t target);
/* Whether this host may send to cold targets. False shortly after its start, when the roster is
   incomplete and several hosts could consider themselves coordinator of the same target. */
bool wg_entry_may_use_cold(const wg_entry* e, wg_time now);
/* Whether this host may admit requests to a cold target. */
bool wg_entry_may_grant_cold(const wg_entry* e, uint32_t target, wg_time now);
/* Keeps the current list of coordinators before it is replaced by `list`. False if both are the
   same. */
bool wg_entry_record_coordinators(wg_entry* e, const wg_coordinator* list, int num, wg_time now);
/* NULL if the target or its service is unknown. */
const wg_service* wg_entry_service_of(const wg_entry* e, uint32_t target);

/* wg_entry_overload.c; all but setup, shutdown and tick only if e->overload is set */
void wg_entry_overload_setup(wg_entry* e);
void wg_entry_overload_shutdown(wg_entry* e);
void wg_entry_overload_tick(wg_entry* e, wg_time now);
/* Counts a request whose head was read. False: it has to be refused. */
bool wg_entry_overload_admits(wg_entry* e, const wg_message_head* head, wg_time now);
/* Seconds after which the caller of a refused request may send it again. */
double wg_entry_overload_retry_after(wg_entry* e, const wg_message_head* head, wg_time now);
/* Logs a refusal, within the limit of lines per second. */
void wg_entry_overload_log(wg_entry* e, const wg_message_head* head, double retry_after,
                           wg_time now);

/* wg_entry_handoff.c */

/* Leaves `handoff` NULL if handoff_delay_ms is 0. */
void wg_entry_handoff_setup(wg_entry* e);
void wg_entry_handoff_shutdown(wg_entry* e);
void wg_entry_handoff_tick(wg_entry* e, wg_time now);
/* A planned stop begins: other hosts are told to hand off nothing more to this one. */
void wg_entry_handoff_stop(wg_entry* e);
/* Whether no request is at another host, and all answers to other hosts were sent. */
bool wg_entry_handoff_is_drained(const wg_entry* e);
void wg_entry_handoff_print_metrics(const wg_entry* e, GString* out);
/* Hands a complete request off to another host, and takes ownership of the arguments. False: the
   request is kept, and nothing was done. */
bool wg_entry_handoff_begin(wg_client* client, char* bytes, wg_message_head* head,
                            struct evbuffer* body);
/* The caller closed its connection, or was cut off, while its request is at another host. Logs
   `reason` as the end of the handoff. */
void wg_entry_handoff_caller_left(wg_client* client, const char* reason);
/* Asks the other host to pause, or to resume, the answer of a request that is there. */
void wg_entry_handoff_pause(const wg_client* client);
void wg_entry_handoff_resume(const wg_client* client);
/* The functions up to wg_entry_handoff_output() are for clients with `taken`. */
/* Sends a part of the answer to the caller's host. Empties `bytes`. */
void wg_entry_handoff_write(wg_client* client, struct evbuffer* bytes);
/* The answer is complete. `keep`: the caller's connection may be kept. Frees the client once
   everything is sent. */
void wg_entry_handoff_answered(wg_client* client, bool keep);
/* The answer ends early. Frees the client. */
void wg_entry_handoff_cut(wg_client* client);
/* Whether the caller's host asked to pause the answer; false for a caller of this host. */
bool wg_entry_handoff_is_paused(const wg_client* client);
/* Part of the answer that is not sent yet. */
struct evbuffer* wg_entry_handoff_output(const wg_client* client);
/* Name of the caller's host; "-" for a caller of this host. */
const char* wg_entry_handoff_owner(const wg_client* client);
/* Links and frames. Those that return bool return false if the link or frame does not concern
   handoff. */
bool wg_entry_handoff_on_up(wg_entry* e, wgn_link link, const wgn_peer* peer);
void wg_entry_handoff_on_down(wg_entry* e, wgn_link link);
bool wg_entry_handoff_on_frame(wg_entry* e, wgn_link link, const wgw_frame* frame);

/* wg_entry_cache.c */
void wg_entry_cache_setup(wg_entry* e);
void wg_entry_cache_shutdown(wg_entry* e);
void wg_entry_cache_tick(wg_entry* e, wg_time now);
/* Takes over a changed target: this host queries it if it coordinates it. */
void wg_entry_cache_update_target(wg_entry* e, uint32_t number);

/* wg_entry_check.c */
void wg_entry_check_setup(wg_entry* e);
void wg_entry_check_shutdown(wg_entry* e);
/* Resolves unresolved failures from the registry's state of their targets. */
void wg_entry_check_unresolved(wg_entry* e, wg_time now);
/* Checks whether a target has ended after it closed the connection of `call` mid-request. */
void wg_entry_check_target(wg_entry* e, const wg_call* call, const wg_upstream* up);

/* wg_entry_incarnation.c */
void wg_entry_incarnations_setup(wg_entry* e);
void wg_entry_incarnations_shutdown(wg_entry* e);
/* Any target may have restarted while this process stood still for `duration`. */
void wg_entry_incarnations_record_stall(wg_entry* e, wg_time duration);
/* A connection to the target broke off or was refused: it may have restarted. */
void wg_entry_doubt_target(wg_entry* e, uint32_t target);
/* Whether the request may be sent to this target, as far as it matters which process is there. */
bool wg_call_may_choose_incarnation(const wg_call* call, const wg_target* target, wg_time now);
/* What to do before the request of the connection's call is sent on it. */
wg_incarnation_step wg_upstream_incarnation_step(const wg_upstream* up, const wg_target* target);
/* Asks the target on this connection when it started. */
void wg_upstream_ask(wg_upstream* up, const wg_target* target);
/* Asks the leader when it heard of the target. May close `up` and free its call. */
void wg_upstream_ask_leader(wg_upstream* up);
/* The connection closes: it waits for no answer of the leader. */
void wg_upstream_forget_ask(wg_upstream* up);
/* False: the frame is of another type. */
bool wg_entry_incarnations_on_frame(wg_entry* e, const wgw_frame* frame);
/* Writes the request on an established connection, or first a question to its target if it matters
   which process is there. May close `up` and free its call. */
void wg_upstream_begin_exchange(wg_upstream* up);
/* Whether the answer to the question is too long. */
bool wg_upstream_is_told_too_much(const wg_upstream* up);
/* The answer to the question is complete. False: the connection cannot be used for the request. */
bool wg_upstream_told(wg_upstream* up);

/* wg_entry_ends.c */
void wg_entry_ends_setup(wg_entry* e);
void wg_entry_ends_shutdown(wg_entry* e);
void wg_entry_ends_tick(wg_entry* e, wg_time now);
/* What it shows that the process of a target has ended. */
wg_end_kind wg_entry_end_kind(const wg_entry* e, uint32_t target, wg_time now);
/* Checks whether a target has ended after it closed the connection that delimits its answer, and
   calls wg_call_answer_checked(). False: there is no check. */
bool wg_entry_ends_check(wg_entry* e, wg_upstream* up);
/* The connection closes: nothing waits for its check any more. */
void wg_entry_ends_forget(wg_upstream* up);
/* Records a request whose answer ended with its connection: it ended well if its target is still
   there some seconds later. */
void wg_entry_ends_record(wg_entry* e, uint32_t target, wg_completion completion);

/* wg_entry_backoff.c */
/* Applies the backoff hint of a target's answer. `id` is the request's id, for the log. Returns the
   requested backoff period in microseconds; 0: none. */
wg_time wg_entry_record_answer(wg_entry* e, uint32_t target, const wg_backoff_hint* hint,
                               const char* id);
/* Whether the target accepts requests now. Checked before every request to a target: first
   attempts, retries, resumed streams, and cache queries. */
bool wg_entry_may_send(const wg_entry* e, const wg_target* target, wg_time now);
/* The same for this request: a stream may go on only at the version that began it. */
bool wg_call_may_send(const wg_call* call, const wg_target* target, wg_time now);
/* Whether idle connections to the target may be kept. */
bool wg_entry_may_keep(const wg_entry* e, const wg_target* target);

/* wg_entry_quarantine.c */
void wg_entry_quarantine_setup(wg_entry* e);
void wg_entry_quarantine_shutdown(wg_entry* e);
void wg_entry_quarantine_tick(wg_entry* e, wg_time now);
/* Sets the fingerprints of the parts of the request's prompt. */
void wg_call_read_parts(wg_call* call);
/* Whether the request, or a part of its prompt except the last one, is quarantined; `fingerprint`
   then receives which one. May be NULL. */
bool wg_call_is_quarantined(const wg_call* call, uint64_t* fingerprint);
/* Refuses a quarantined request in any state of its call. */
void wg_call_refuse_quarantined(wg_call* call);
/* Events of the answer that the current attempt has brought. */
int64_t wg_call_attempt_events(const wg_call* call);
/* Whether the target of the current attempt is at the beginning of its answer, which is where a
   part of a prompt crashes it. */
bool wg_call_is_at_beginning(const wg_call* call);
/* Records that a target ended while it processed a request of this host. */
void wg_entry_record_crash(wg_entry* e, const wg_crash* crash);
/* Records a complete answer, which shows that its request or part does not crash targets. */
void wg_entry_record_completion(wg_entry* e, wg_completion completion);
/* Applies the leader's quarantine list. */
void wg_entry_apply_quarantine(wg_entry* e, const Wgpb__EntryState* in);
/* Queues all evidence to be reported again, on a new link. */
void wg_entry_requeue_crashes(wg_entry* e);
/* Adds unreported evidence to a report; wg_entry_crashes_reported() releases it once the report was
   sent. */
wg_crash_report wg_entry_fill_crashes(wg_entry* e, Wgpb__EntryReport* report);
void wg_entry_crashes_reported(wg_entry* e, wg_crash_report* report);

/* wg_entry_buffers.c */
void wg_entry_buffers_setup(wg_entry* e);
/* Cuts off connections that are due, and applies pauses. */
void wg_entry_buffers_tick(wg_entry* e, wg_time now);
void wg_entry_buffers_print_metrics(const wg_entry* e, GString* out);
/* Starts and ends the account of a connection. */
void wg_entry_buffers_add_client(wg_client* client);
void wg_entry_buffers_remove_client(wg_client* client);
void wg_entry_buffers_add_upstream(wg_upstream* up);
void wg_entry_buffers_remove_upstream(wg_upstream* up);
/* The connection is established. */
void wg_entry_buffers_connected(const wg_upstream* up);
/* A request is about to be written to an established connection. */
void wg_entry_buffers_begin_request(const wg_upstream* up);
/* A part of the answer to the client's call was written: pauses reading from targets as needed. */
void wg_entry_buffers_control(wg_client* client);
/* Largest request body that the host can hold. */
int64_t wg_entry_buffers_body_max(const wg_entry* e);
/* Whether the client's next request has to wait until it has read earlier answers. */
bool wg_entry_buffers_delays_request(const wg_client* client);

/* wg_entry_turns.c */
void wg_entry_turns_setup(wg_entry* e);
void wg_entry_turns_shutdown(wg_entry* e);
/* Ends the connection's turn if it has received much: it is not read until its next turn. */
void wg_upstream_count_turn(wg_upstream* up);
/* The connection does not wait for a turn any more, as it begins one, is idle or closes. Reading is
   not enabled. */
void wg_upstream_end_turn(wg_upstream* up);

/* wg_entry_descriptors.c */
void wg_entry_descriptors_setup(wg_entry* e);
void wg_entry_descriptors_shutdown(wg_entry* e);
/* Pauses e->listener after each failed accept(). */
void wg_entry_descriptors_watch_listener(wg_entry* e);
/* Whether the callers' listener is not paused. */
bool wg_entry_accepts(const wg_entry* e);
/* Descriptors in use: connections of callers and to targets, and links. `max` receives the limit of
   the process; 0: unknown. */
int wg_entry_descriptors(const wg_entry* e, int* max);
/* Whether one more connection of the kind may be opened, possibly in place of an idle one. Always
   true if the host does not spare descriptors. */
bool wg_entry_may_open(wg_entry* e, wg_descriptors_kind kind);
/* Closes the idle connection that gives way to a new one of the kind, if there has to be one. */
void wg_entry_make_room(wg_entry* e, wg_descriptors_kind kind);
/* A caller's connection was accepted: pauses the listener if there must be no further one. */
void wg_entry_descriptors_accepted(wg_entry* e);
/* A connection closes, and is no longer counted. */
void wg_entry_descriptors_closed(wg_entry* e);
/* Seconds after which the caller of a request that was refused may send it again. */
double wg_entry_descriptors_retry_after(wg_entry* e);
void wg_entry_descriptors_tick(wg_entry* e, wg_time now);
void wg_entry_descriptors_print_metrics(const wg_entry* e, GString* out);

/* wg_entry_attempt.c */
/* Selects a target and sends the request, or queues it. */
void wg_call_try(wg_call* call);
void wg_call_unqueue(wg_call* call);
/* Ends a request whose time in the queue is over: 503, or 502 if a target may have started it. */
void wg_call_refuse_queued(wg_call* call);
/* Schedules a retry if the route and the retry budget allow it. `unsent`: no byte of the last
   attempt left this host. False: the call has to end. */
bool wg_call_schedule_retry(wg_call* call, bool unsent);
/* Seconds after which the caller may send a refused request again. */
double wg_call_retry_after(const wg_call* call);
/* Tokens charged to a workspace: prompt tokens and weighted answer tokens. */
uint32_t wg_charged_tokens(uint32_t prompt, uint32_t answer);
/* Tokens charged to the call's workspace. */
uint32_t wg_call_tokens(const wg_call* call);
/* Microseconds that the request has waited for room at coordinators. */
wg_time wg_call_held_time(const wg_call* call, wg_time now);
/* Recent tokens of the call's workspace in the fleet, per unit of its weight. */
double wg_call_usage(const wg_call* call);
/* Weight of the call's workspace by the configuration in force; 1 without a workspace. */
double wg_call_weight(const wg_call* call);
/* Whether the request is charged to a workspace. */
bool wg_call_is_charged(const wg_call* call);
void wg_call_admit_answered(wg_call* call, const wg_admit_answer* answer);
void wg_call_admit_unanswered(wg_call* call, wg_time now);

/* wg_entry_endpoints.c */
bool wg_entry_endpoints_setup(wg_entry* e, GError** error);

/* wg_entry_error.c */
/* Error answer of this host. */
typedef struct {
    int status;
    const char* code;
    wg_verdict verdict;
    const char* id;     /* of the request; NULL or "": none */
    double retry_after; /* seconds; 0: none */
    bool keep;          /* the connection stays open */
    bool head_only;     /* method is HEAD: an answer without a body */
} wg_error_answer;

void wg_client_write_error(wg_client* client, const wg_error_answer* error);

/* wg_entry_client.c */
bool wg_client_listen(wg_entry* e, GError** error);
void wg_client_tick(wg_entry* e, wg_time now);
/* Whether any caller is sending a request, including unread ones. */
bool wg_client_any_sending(const wg_entry* e);
/* Bytes of answers that callers have not received yet: buffered, or held by the kernel. */
size_t wg_client_undelivered(const wg_entry* e);
/* The connection's call has ended. `keep` false: closes once the output is flushed. */
void wg_client_call_ended(wg_client* client, bool keep);
/* Closes at once, also in the middle of an answer. */
void wg_client_close(wg_client* client);
/* The answer is delimited by the caller's connection. Until it is whole, any close of the
   connection resets it, also one by the end of this process: a truncated answer must not look
   complete. */
void wg_client_delimit_by_connection(wg_client* client);
/* The caller's connection that has waited longest for a request and may be closed in favour of
   another one; NULL: none. Only for a host that spares descriptors. */
wg_client* wg_client_longest_idle(wg_entry* e, wg_time now);
/* Refuses a request that has no call: writes the answer, and counts it. */
void wg_client_refuse(wg_client* client, const wg_error_answer* refusal);
/* Writes a part of an answer to the caller. Empties `bytes`. */
void wg_client_write(wg_client* client, struct evbuffer* bytes);

/* wg_entry_call.c */
/* Takes ownership of `bytes`, which `head` points into, and of `body`. */
void wg_call_begin(wg_client* client, char* bytes, const wg_message_head* head,
                   struct evbuffer* body);
/* Refuses a request that has no call; takes ownership like wg_call_begin(). */
void wg_call_deny(wg_client* client, char* bytes, struct evbuffer* body,
                  const wg_message_head* head, int status, const char* code);
void wg_call_caller_disconnected(wg_call* call);
/* Releases the load accounted to the target, and the admission. */
void wg_call_release_target(wg_call* call, wg_result result);
/* Whether the caller's connection stays open after the answer. That of another host's caller does
   not depend on this host's planned stop. */
bool wg_call_keeps_connection(const wg_call* call);
/* The end of a call whose answer was written. */
void wg_call_log_and_free(wg_call* call, const wg_call_end* end);
void wg_call_queue_run(wg_entry* e);
void wg_call_set_timer(wg_call* call, wg_time now);
/* Microseconds that the answer to a request takes at most once it has begun, by the tokens that its
   head states; 0 without a prompt. */
wg_time wg_call_answer_time(const wg_entry* e, const wg_message_head* head);
/* Deadline set by the caller of a request that arrived at `arrived_at`, or WG_TIME_NEVER. */
wg_time wg_call_deadline(const wg_entry* e, const wg_message_head* head, wg_time arrived_at);
/* Answers with an error of this host and ends the call. */
void wg_call_refuse(wg_call* call, int status, const char* reason, double retry_after);
void wg_call_abort_all(wg_entry* e);
/* Sets all calls' timers anew after a stall. */
void wg_call_reset_timers(wg_entry* e, wg_time now);

/* wg_entry_answer.c */
/* Restricts the request to targets of the software version that its stream began at. */
void wg_call_set_origin(wg_call* call, const wg_origin* origin);
/* False if the attempt has ended: `up` is closed, and `call` may be freed. */
bool wg_call_answer_head(wg_call* call, wg_upstream* up);
void wg_call_answer_data(wg_call* call, wg_upstream* up);
/* The length or the last chunk was received. */
void wg_call_answer_complete(wg_call* call, wg_upstream* up);
/* The answer has neither, and its connection has ended. */
void wg_call_answer_closed(wg_call* call, wg_upstream* up);
/* Whether the target had ended by then is known now, as far as it can be. */
void wg_call_answer_checked(wg_call* call, wg_upstream* up, bool target_ended);
/* The target stopped accepting work before the request was sent; not counted as its failure. */
void wg_call_attempt_withdrawn(wg_call* call, wg_upstream* up, const char* reason);
/* The attempt ended without a complete answer. `up` may be NULL. */
void wg_call_attempt_failed(wg_call* call, wg_upstream* up, const char* reason);

/* wg_entry_upstream.c */
/* Uses an idle connection unless `fresh`, or opens one. NULL if that fails. */
wg_upstream* wg_upstream_open(wg_entry* e, const wg_target* target, bool fresh);
/* Whether there is an idle connection to the target. */
bool wg_upstream_has_idle(wg_entry* e, const wg_target* target);
/* Keeps an established connection to the target, on which nothing was sent, for the next request.
   Takes ownership of `bev`. */
void wg_upstream_adopt(wg_entry* e, uint32_t number, struct bufferevent* bev);
void wg_upstream_send(wg_upstream* up, wg_call* call);
/* Begins to wait for an answer. */
void wg_upstream_expect_answer(wg_upstream* up, bool bodiless);
/* Whether the head of the answer was received. */
bool wg_upstream_has_begun(const wg_upstream* up);
void wg_upstream_close(wg_upstream* up);
void wg_upstream_release(wg_upstream* up);
void wg_upstream_tick(wg_entry* e, wg_time now);
/* Stops reading the answer; nothing if it is paused already. */
void wg_upstream_pause(wg_upstream* up);
void wg_upstream_resume(wg_upstream* up);
/* Ends the time of a pause that is over; reading is not enabled. */
void wg_upstream_end_pause(wg_upstream* up);
void wg_upstream_drop_unusable(wg_entry* e);
void wg_upstream_shutdown(wg_entry* e);
