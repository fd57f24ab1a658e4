#pragma once
/* wg_control_internal.h -- state shared by the files of lib/control; not installed */
#include <event2/event.h>

#include "wg_control.h"
#include "wg_quarantine.h"
#include "wg_watch.h"

enum {
    WG_CONTROL_SEEDS_MAX = 8,
    _WGCO_ROUTERS_MAX = 512,
    _WGCO_PEERS_MAX = 16,
    _WGCO_ROWS_PER_REPLY = WGT_EDIT_ROWS_MAX + 1,
    _WGCO_FAIRS_MAX = 2048,
    _WGCO_DUMP_SHARES_MAX = 200,
    /* Longest planned stop of a control: two elections of the default waits; at the shortest grace
       time in use (8 s) nobody has to kill it. */
    _WGCO_STOP_MAX = 3 * WG_USEC_PER_SEC,
    _WGCO_PLAN_INTERVAL_MAX = 200 * WG_USEC_PER_MSEC /* time between plans when nothing changes */
};

/* Another control, as the settings name it. */
typedef struct {
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX];
    wgn_link link; /* dialled by us */
    bool up;
    uint64_t identity; /* 0 unknown */
    wg_time dial_at;
    wg_time down_at; /* when it was last in touch; 0: never */
} _wgco_peer_t;

/* A router's link to this control. */
typedef struct {
    bool live;
    wgn_link link;
    char name[WG_NAME_MAX];
    uint64_t incarnation;
    wgf_router share;
    bool table_synced;
    bool all_rows;
    uint64_t seq;
    uint64_t report_seq;
    int64_t echo;
    uint64_t table_version;
    uint64_t member_version;
} _wgco_session_t;

/* Somebody who waits for an entry of the log. */
typedef struct {
    uint64_t index;
    uint64_t term;
    struct evhttp_request* request; /* an operator's edit; NULL when the operator left */
    wgn_link link;                  /* a router's claim */
    uint64_t ticket;
    bool order; /* of an entry host, not a claim */
} _wgco_waiter_t;

/* A link of an entry host, and what it last said. */
typedef struct {
    wgn_link link;
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX]; /* where callers connect */
    char data_centre[WG_NAME_MAX];
    uint64_t configuration_version; /* that it has, or will have once it reads what was sent */
    uint64_t registry_change;       /* the same */
    uint64_t roster_change;         /* the same */
    uint64_t quarantine_change;     /* the same */
    uint64_t state_seq;             /* of the last state that was sent to it */
    bool has_no_members;            /* as it came to this leader: any list is better than none */
    bool reported;
    bool ready;
    bool standby; /* it takes what a replica without a leader holds */
    bool leaving;
    GHashTable* loads; /* target number -> Wgpb__TargetLoad* */
    GHashTable* usage; /* hash of a workspace -> _wgco_reported_t* */
} _wgco_entry_t;

/* Totals of a workspace as an entry host last reported them. */
typedef struct {
    uint64_t workspace;
    uint64_t tokens;
    uint64_t asked;
} _wgco_reported_t;

/* A configuration that hosts may still hold, as the base of a difference. */
typedef struct {
    uint64_t version;
    GBytes* document;
    wgn_frame* difference; /* to the newest one; NULL until a host needs it */
} _wgco_base_t;

/* The newest configuration and those before it (wg_control_document.c). */
typedef struct {
    uint64_t version;          /* 0: none yet */
    GBytes* document;          /* NULL: none yet */
    GBytes* packed;            /* the same, as it stands in log and snapshot */
    wgn_frame* complete_frame; /* for hosts that hold no base; NULL until one needs it */
    GPtrArray* bases;          /* _wgco_base_t*, newest first */
} _wgco_documents_t;

/* Tokens that the fleet served a workspace lately, halved every WG_USAGE_HALF_LIFE. */
typedef struct {
    uint64_t workspace;
    double tokens;
    double asked;
} _wgco_usage_t;

struct wgco_control {
    wgco_desc desc;
    const wgco_settings* settings;
    struct event_base* base;
    struct event* tick;
    struct event* plan_event;
    struct event* stop_event;
    wgn_net* net;
    wgh_server http;
    wgs_store* store;
    wgr_node* node;
    wgt_table* table;
    wgk_claims* claims;
    _wgco_peer_t peers[_WGCO_PEERS_MAX];
    int peers_num;
    GQueue waiters; /* _wgco_waiter_t*, by index */
    uint64_t applied;
    uint64_t applied_term;
    wgr_role role_logged;
    bool pumping;
    bool failed;          /* something could not be written: this start of the replica is over */
    bool unrecoverable;   /* and the process has to end */
    wg_time suspended_at; /* since when the disk takes no writes; 0: it does */
    struct event* reopen_event; /* then: the next try */
    bool stopping;
    wg_time stop_at;
    bool transferring_leadership; /* to a successor, in a planned stop */

    /* entry hosts that serve routes (wg_control_entry.c) */
    _wgco_documents_t documents;
    wg_registry* registry;
    wg_quarantine* quarantine; /* wg_control_quarantine.c */
    wg_suspects* suspects;     /* as entry hosts told them */
    wg_time quarantine_at;     /* when what is due was last looked for */
    wg_roster* roster;
    GHashTable* entries; /* link id -> _wgco_entry_t* */
    uint64_t state_seq;  /* of the last state that was sent to any */
    bool push_due;       /* something changed that entry hosts are not told yet */
    wg_time pushed_at;
    GHashTable* load_totals; /* target number -> Wgpb__TargetLoad* */
    GHashTable* usage;       /* hash of a workspace -> _wgco_usage_t* */
    wg_time usage_at;
    wg_time led_since;
    char announced_leader[WG_ADDRESS_MAX]; /* address that entry hosts were last told; "" none */
    wgn_link announce_link;                /* to the entry host at a seed */
    int announce_next;                     /* seed whose turn it is */
    wg_time announce_at;
    char announce_seeds[WG_CONTROL_SEEDS_MAX][WG_NAME_MAX]; /* ips */
    int announce_seeds_num;
    bool discovers; /* other controls are found through seeds */
    bool observer;  /* has no data folder: does nothing, never votes */

    /* while this control leads */
    bool leads;
    wgf_share* share;
    wgm_members* members;
    _wgco_session_t* sessions;
    bool plan_due;
    wg_time plan_cost;
    wg_time planned_at;

    /* what is told of trouble that lasts (wg_control_watch.c) */
    wg_pulse loop_lag;
    wg_absence leaderless;

    /* counters */
    uint64_t edits;
    uint64_t claims_asked;
    uint64_t reports;
    uint64_t replies;
    wg_hist commit_time; /* microseconds from proposal to application of edits */
    wg_time started_at;
};

/* start and pause (wg_control_start.c) */
/* Open the data folder and take part. A disk that takes no writes now is waited for; false with the
   reason when waiting would not help. */
bool _wgco_start(wgco_control* c, GError** error);
void _wgco_end(wgco_control* c);
/* Something could not be stored; takes over `error`. */
void _wgco_storage_failed(wgco_control* c, GError* error);

/* operators (wg_control_form.c) */
/* Go on alone, without the voters of these names, NULL at the end; the replica opens its folder
   again a moment later. False with the reason when a majority may still come back. */
bool _wgco_recover_set(wgco_control* c, char** lost, GError** error);

/* links (wg_control.c) */
void _wgco_on_up(wgn_link link, const wgn_peer* peer, void* user_data);
void _wgco_on_down(wgn_link link, const wgn_peer* peer, void* user_data);
void _wgco_on_frame(wgn_link link, const wgw_frame* frame, void* user_data);

/* replication (wg_control_log.c) */
void _wgco_pump(wgco_control* c);
void _wgco_receive_quorum(wgco_control* c, const wgw_frame* frame);
bool _wgco_propose(wgco_control* c, const ProtobufCMessage* command, _wgco_waiter_t* waiter);
void _wgco_fail_waiters(wgco_control* c);
bool _wgco_load_state(wgco_control* c, GBytes* state);
GBytes* _wgco_pack_state(const wgco_control* c);
const char* _wgco_leader_address(const wgco_control* c);

/* routers (wg_control_routers.c) */
void _wgco_lead_begin(wgco_control* c, wg_time now);
void _wgco_lead_end(wgco_control* c);
void _wgco_router_up(wgco_control* c, wgn_link link, const wgn_peer* peer);
void _wgco_router_down(wgco_control* c, wgn_link link);
void _wgco_receive_report(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_receive_row_query(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_receive_claim(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_answer_claim(wgco_control* c, wgn_link link, uint64_t ticket, wgk_outcome outcome,
                        const Wgpb__ClaimEnd* end);
void _wgco_table_changed(wgco_control* c, uint64_t before);
void _wgco_routers_tick(wgco_control* c, wg_time now);
void _wgco_plan(wgco_control* c);

/* entry hosts (wg_control_entry.c) */
void _wgco_entry_setup(wgco_control* c);
void _wgco_entry_shutdown(wgco_control* c);
void _wgco_entry_up(wgco_control* c, wgn_link link, const wgn_peer* peer);
void _wgco_entry_down(wgco_control* c, wgn_link link);
void _wgco_entry_receive_report(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_entry_lead_begin(wgco_control* c, wg_time now);
void _wgco_entry_lead_end(wgco_control* c);
void _wgco_entry_tick(wgco_control* c, wg_time now);
/* Something changed: entry hosts are told with the next push. */
void _wgco_entry_schedule_push(wgco_control* c);
/* As a follower: tell every entry host here where the leader is. */
void _wgco_entry_redirect(wgco_control* c);

/* orders of entry hosts, and what became of them (wg_control_orders.c) */
void _wgco_receive_order(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_complete_order(wgco_control* c, const _wgco_waiter_t* waiter, bool committed);
void _wgco_apply_configuration(wgco_control* c, const Wgpb__Configuration* in);
void _wgco_apply_target(wgco_control* c, const Wgpb__TargetRecord* in);
void _wgco_apply_evacuation(wgco_control* c, const Wgpb__Evacuation* in);

/* requests that end targets (wg_control_quarantine.c) */
void _wgco_quarantine_setup(wgco_control* c);
void _wgco_quarantine_shutdown(wgco_control* c);
void _wgco_quarantine_receive_report(wgco_control* c, const _wgco_entry_t* e,
                                     const Wgpb__EntryReport* in);
/* As leader: propose what is due to begin or to end. */
void _wgco_quarantine_tick(wgco_control* c, wg_time now);
void _wgco_apply_quarantine(wgco_control* c, const Wgpb__Quarantine* in);
json_t* _wgco_quarantine_dump(const wgco_control* c);
void _wgco_quarantine_metrics(const wgco_control* c, GString* out);

/* the configuration (wg_control_document.c) */
void _wgco_documents_setup(_wgco_documents_t* d);
void _wgco_documents_clear(_wgco_documents_t* d);
/* Take a configuration over when it is newer. False: it is not, or its bytes are no document
   (error set). */
bool _wgco_documents_apply(_wgco_documents_t* d, const Wgpb__Configuration* in, GError** error);
/* What a host with this version lacks, borrowed; NULL: nothing. */
wgn_frame* _wgco_documents_frame(_wgco_documents_t* d, uint64_t version);
/* The newest one as a message that borrows its bytes; false: there is none. */
bool _wgco_documents_fill(const _wgco_documents_t* d, Wgpb__Configuration* out);

/* discovery of other controls (wg_control_discovery.c) */
bool _wgco_discovery_set_seeds(wgco_control* c, const wgco_settings* settings, GError** error);
/* On the first start of a fleet, the seeds form the first set of replicas, each for itself. */
bool _wgco_discovery_bootstrap(wgco_control* c, GError** error);
/* A control that connected, or that stands in the set, is one to be dialled. */
void _wgco_discovery_add_peer(wgco_control* c, const char* name, const char* address);
/* Know the replicas of the set; give the entry hosts at the seeds word of this control. */
void _wgco_discovery_tick(wgco_control* c, wg_time now);
/* Is this a link on which word is given to a seed? */
bool _wgco_discovery_is_announcement(const wgco_control* c, wgn_link link);
/* An entry host sends_state of the controls that it knows. */
void _wgco_discovery_receive_controls(wgco_control* c, const wgw_frame* frame);

/* what this control sees of itself and of the set (wg_control_watch.c) */
/* A line when the loop turned late, or when nobody has led for a while. */
void _wgco_watch_tick(wgco_control* c, wg_time now);
/* A leader that stalled still before this tick has heard nobody meanwhile. */
void _wgco_watch_extend_deadlines(wgco_control* c, wg_time now);
/* The set as a log line's detail: voters, learners, and those whose link is down; the caller frees
   it. */
bool _wgco_is_up(const wgco_control* c, const wgr_replica* replica);
char* _wgco_describe_set(const wgco_control* c);
/* Names of the replicas that this leader knows to hold the log up to an index; the caller frees it.
 */
char* _wgco_describe_holders(const wgco_control* c, uint64_t index);
void _wgco_watch_metrics(const wgco_control* c, GString* out);

/* operators (wg_control_http.c) */
bool _wgco_http_setup(wgco_control* c, GError** error);
void _wgco_answer_edit(wgco_control* c, struct evhttp_request* request, const wgt_result* result);
void _wgco_answer_unknown(struct evhttp_request* request);
