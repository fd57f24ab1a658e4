#pragma once
/* wg_control_internal.h -- state shared by the files of lib/control; not installed */
#include <event2/event.h>

#include "wg_control.h"
#include "wg_origin.h"
#include "wg_quarantine.h"
#include "wg_room.h"
#include "wg_watch.h"

enum {
    WG_CONTROL_SEEDS_MAX = 8,
    _WGCO_ROUTERS_MAX = 512,
    /* States kept for hosts that lack the same: new hosts, those of a restart, the others. */
    _WGCO_SHARED_STATES_MAX = 4,
    _WGCO_PEERS_MAX = 16,
    _WGCO_ROWS_PER_REPLY = WGT_EDIT_ROWS_MAX + 1,
    _WGCO_VIRTUAL_TIMES_MAX = 2048,
    _WGCO_DUMP_SHARES_MAX = 200,
    /* Longest planned stop: time for two elections, and below the shortest grace period before a
       supervisor kills the process. */
    _WGCO_STOP_MAX = 3 * WG_USEC_PER_SEC,
    _WGCO_PLAN_INTERVAL_MAX = 200 * WG_USEC_PER_MSEC /* time between plans when nothing changes */
};

/* Another control, as named in the settings or discovered. */
typedef struct {
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX];
    wgn_link link; /* dialled by this control */
    bool up;
    uint64_t identity; /* 0: unknown */
    wg_time dial_at;
    wg_time down_at; /* when the link last went down; 0: never */
} _wgco_peer_t;

/* A router's link to this control. */
typedef struct {
    bool live;
    wgn_link link;
    char name[WG_NAME_MAX];
    uint64_t incarnation;
    wgf_router share;
    bool table_synced;   /* the router has received the complete table once */
    bool all_rows;       /* the router keeps all rows; otherwise it fetches workspaces on demand */
    uint64_t seq;        /* seq of the last reply */
    uint64_t report_seq; /* seq of the last report; 0: none accepted yet */
    int64_t echo;        /* send time of the last report, returned in replies */
    uint64_t table_version;  /* table version that the router has */
    uint64_t member_version; /* version of the member list that the router has */
} _wgco_session_t;

/* A client that waits for a log entry to be applied. */
typedef struct {
    uint64_t index;
    uint64_t term;
    struct evhttp_request* request; /* an operator's edit; NULL once disconnected */
    wgn_link link;                  /* router or entry host to answer */
    uint64_t ticket;
    bool order; /* an entry host's order, not a claim */
} _wgco_waiter_t;

/* An entry host's link and its last report. */
typedef struct {
    wgn_link link;
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX]; /* where callers connect */
    char data_centre[WG_NAME_MAX];
    /* Versions that the host holds, including what was sent on the link. */
    uint64_t configuration_version;
    uint64_t registry_change;
    uint64_t roster_change;
    uint64_t quarantine_change;
    uint64_t state_seq;  /* last state sent to the host */
    bool has_no_members; /* connected without a roster, so even an incomplete one is sent */
    bool reported;
    bool ready;
    bool standby; /* accepts the state of a replica that knows no leader */
    bool leaving;
    uint64_t report_seq; /* of its last report */
    GHashTable* loads;   /* target number -> Wgpb__TargetLoad* */
    GHashTable* usage;   /* hash of a workspace -> _wgco_reported_t* */
} _wgco_entry_t;

/* Cumulative usage of a workspace as last reported by an entry host. */
typedef struct {
    uint64_t workspace; /* hash of its name */
    uint64_t tokens;    /* tokens served */
    uint64_t asked;     /* demand: tokens of all its requests, including refused ones */
} _wgco_reported_t;

/* What a state for an entry host holds. */
typedef enum {
    _WGCO_CONTENT_DEFAULT = 0,
    _WGCO_CONTENT_TARGETS, /* changed targets and quarantines */
    _WGCO_CONTENT_CHANGES, /* these, and changes of the roster */
    _WGCO_CONTENT_ANSWER,  /* all changes, and the loads and usage of the fleet */
    _WGCO_CONTENT_NUM
} _wgco_content;

/* Versions that a state without loads depends on: what its receiver has, and what there is.
   Compared byte by byte, so padding has to be zero. */
typedef struct {
    uint64_t has_registry_change;
    uint64_t has_roster_change;
    uint64_t has_quarantine_change;
    uint64_t registry_change;
    uint64_t roster_change;
    uint64_t quarantine_change;
    uint64_t configuration_version;
    uint64_t term;
    uint64_t leader;
    uint64_t hosts;
    uint64_t leads;
    uint64_t sends_members;
    uint64_t reported;
    uint64_t standby;
    uint64_t content;
} _wgco_state_key_t;

/* A state packed for one host and shared with others that lack the same. */
typedef struct {
    wgn_frame* frame; /* NULL: none */
    uint64_t seq;     /* sequence number in the state */
    wg_time packed_at;
    _wgco_state_key_t key;
} _wgco_shared_state_t;

/* A previous configuration that hosts may still hold. */
typedef struct {
    uint64_t version;
    GBytes* document;
    wgn_frame* difference; /* from this configuration to the newest one; NULL until needed */
} _wgco_base_t;

/* The newest configuration and its predecessors (wg_control_document.c). */
typedef struct {
    uint64_t version; /* 0: none yet */
    GBytes* document; /* NULL: none yet */
    GBytes* packed;   /* the document in packed form, as stored in the log and in snapshots */
    wgn_frame* complete_frame; /* for hosts without a known base; NULL until needed */
    GPtrArray* bases;          /* _wgco_base_t*, newest first */
} _wgco_documents_t;

/* Recent usage of a workspace in the fleet, with a half-life of WG_USAGE_HALF_LIFE. */
typedef struct {
    uint64_t workspace; /* hash of its name */
    double tokens;      /* tokens served */
    double asked;       /* demand, in tokens */
} _wgco_usage_t;

/* Targets of a service, as last counted (wg_control_room.c). */
typedef struct {
    char service[WG_NAME_MAX];
    wg_room_count count;
} _wgco_room_t;

/* Entry hosts that have to confirm a forced recovery (wg_control_confirm.c). */
typedef struct {
    bool pending; /* this leader holds acknowledgements */
    wg_time begun_at;
    bool any_roster;       /* a host has reported which hosts there are */
    GHashTable* confirmed; /* names of the hosts that know of the recovery */
    GHashTable* missing;   /* names of the hosts that others know and that have not confirmed */
    GQueue held;           /* _wgco_held_answer_t*, oldest first */
} _wgco_confirm_t;

struct wgco_control {
    wgco_desc desc;
    const wgco_settings* settings;
    struct event_base* base;
    struct event* tick;
    struct event* plan_event;
    struct event* pump_event; /* active while messages or proposals wait for the next pump */
    struct event* stop_event;
    wgn_net* net;
    wgh_server http;
    wgs_store* store;
    wgr_node* node;
    wgt_table* table;
    wgk_claims* claims;
    _wgco_peer_t peers[_WGCO_PEERS_MAX];
    int peers_num;
    GQueue waiters; /* _wgco_waiter_t*, in index order */
    uint64_t applied;
    uint64_t applied_term;
    size_t log_bytes;      /* of the entries applied since the last snapshot */
    size_t snapshot_bytes; /* of the last snapshot; 0: none yet */
    wgr_role role_logged;
    bool pumping;
    bool failed;                /* this run of the replica may write nothing more */
    bool unrecoverable;         /* the data folder cannot be used; the process has to end */
    wg_time suspended_at;       /* when the disk stopped accepting writes; 0: it accepts them */
    struct event* reopen_event; /* opens the data folder again after a failure */
    bool stopping;
    wg_time stop_at;
    bool transferring_leadership; /* during a planned stop */

    /* entry hosts that serve routes (wg_control_entry.c) */
    _wgco_documents_t documents;
    wg_registry* registry;
    wg_quarantine* quarantine;    /* replicated (wg_control_quarantine.c) */
    wg_suspects* suspects;        /* crash evidence reported by entry hosts */
    wg_time quarantine_at;        /* time of the last periodic check for due quarantines */
    wg_origins* origins;          /* replicated (wg_control_origins.c) */
    wg_origins* reported_origins; /* on the leader: to be proposed */
    wg_time origins_at;           /* time of the last proposal of these */
    wg_roster* roster;
    GHashTable* entries; /* link id -> _wgco_entry_t* */
    uint64_t state_seq;  /* sequence number of the last state sent to any entry host */
    bool push_due;       /* some entry hosts lack a change */
    _wgco_shared_state_t shared_states[_WGCO_SHARED_STATES_MAX];
    unsigned shared_next; /* index of the one that is replaced next, modulo their number */
    wg_time pushed_at;
    GHashTable* load_totals; /* target number -> Wgpb__TargetLoad* */
    GArray* loads_told;      /* uint32_t, numbers of the targets whose load is told to hosts */
    wg_time loads_told_at;   /* when they were selected */
    wg_room_lead room_lead;
    GArray* rooms;     /* _wgco_room_t */
    wg_time rooms_at;  /* when they were counted; 0: not counted by this leader */
    GHashTable* usage; /* hash of a workspace -> _wgco_usage_t* */
    wg_time usage_at;
    wg_time led_since;
    _wgco_confirm_t confirm;
    char announced_leader[WG_ADDRESS_MAX]; /* leader address last sent to entry hosts; "": none */
    wgn_link announce_link;                /* to the entry host on a seed */
    int announce_next;                     /* index of the next seed to contact */
    wg_time announce_at;
    char announce_seeds[WG_CONTROL_SEEDS_MAX][WG_NAME_MAX]; /* IP addresses */
    int announce_seeds_num;
    bool discovers; /* finds other controls through seeds */
    bool observer;  /* has no data folder: serves nothing and never votes */

    /* while this control leads */
    bool leads;
    wgf_share* share;
    wgm_members* members;
    _wgco_session_t* sessions;
    bool plan_due;
    wg_time plan_cost;
    wg_time planned_at;

    /* self-monitoring (wg_control_watch.c) */
    wg_lag_monitor loop_lag;
    wg_outage leaderless;

    /* counters */
    uint64_t edits;
    uint64_t claims_asked;
    uint64_t reports;
    uint64_t replies;
    uint64_t states_packed; /* states for entry hosts, without and with loads */
    uint64_t states_sent;
    uint64_t targets_packed;        /* records of targets in packed states */
    uint64_t heartbeats_superseded; /* of processes that a later one replaced */
    uint64_t snapshots;
    uint64_t snapshot_bytes_total;
    wg_hist commit_time; /* microseconds from proposal to application of edits */
    wg_time started_at;
};

/* start, suspend and reopen (wg_control_start.c) */
/* Opens the data folder and joins the replica set. If the disk accepts no writes now, it is
   retried in the background and the call succeeds; false with an error if retrying would not
   help. */
bool _wgco_start(wgco_control* c, GError** error);
void _wgco_end(wgco_control* c);
/* Handles a failed write to the data folder; takes ownership of `error`. */
void _wgco_storage_failed(wgco_control* c, GError* error);

/* forced recovery (wg_control_recovery.c) */
/* Recovers the replica set with this replica as its only member. `lost` names the voters that
   will not come back, NULL-terminated. The data folder is reopened shortly afterwards. False
   with an error if a majority may still come back. */
bool _wgco_recover_set(wgco_control* c, char** lost, GError** error);
/* Compares the last forced recovery that `reporter` knows with that of this replica's set. If this
   replica was removed by a recovery, records it in the data folder, ends the process, and returns
   true. */
bool _wgco_check_superseded(wgco_control* c, uint64_t recovery, const wgn_peer* reporter);
/* False with an error if a forced recovery removed the replica of this data folder. */
bool _wgco_may_open_folder(const wgs_content* content, GError** error);

/* acknowledgements after a forced recovery (wg_control_confirm.c) */
void _wgco_confirm_setup(wgco_control* c);
void _wgco_confirm_shutdown(wgco_control* c);
void _wgco_confirm_lead_begin(wgco_control* c, wg_time now);
void _wgco_confirm_lead_end(wgco_control* c);
void _wgco_confirm_receive_report(wgco_control* c, const _wgco_entry_t* e,
                                  const Wgpb__EntryReport* in);
void _wgco_confirm_tick(wgco_control* c, wg_time now);
/* Sends an answer to an order, or holds it until the entry hosts have confirmed the recovery. */
void _wgco_confirm_send_answer(wgco_control* c, wgn_link link, const Wgpb__OrderAnswer* answer);

/* links (wg_control.c) */
void _wgco_on_up(wgn_link link, const wgn_peer* peer, void* user_data);
void _wgco_on_down(wgn_link link, const wgn_peer* peer, void* user_data);
void _wgco_on_frame(wgn_link link, const wgw_frame* frame, void* user_data);

/* replication (wg_control_log.c) */
/* Stores, sends and applies what the replicated log has ready. */
void _wgco_pump(wgco_control* c);
/* Pumps once the input that the event loop has ready is processed, so that all of it is stored with
   one disk sync. */
void _wgco_schedule_pump(wgco_control* c);
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
/* False if the host had sent no report on the link. */
bool _wgco_entry_down(wgco_control* c, wgn_link link);
void _wgco_entry_receive_report(wgco_control* c, wgn_link link, const wgw_frame* frame);
/* Tells an entry host that searches for a leader whether this control leads. */
void _wgco_receive_leader_ask(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_entry_lead_begin(wgco_control* c, wg_time now);
void _wgco_entry_lead_end(wgco_control* c);
void _wgco_entry_tick(wgco_control* c, wg_time now);
/* Schedules a push of changes to the entry hosts that lack them. */
void _wgco_entry_schedule_push(wgco_control* c);
/* On a follower: sends the leader's address to all entry hosts that have reported. */
void _wgco_entry_redirect(wgco_control* c);

/* Time between two reports of one host. */
wg_time _wgco_report_interval(const wgco_control* c);

/* state messages for entry hosts (wg_control_state.c) */
/* Packs the state that `e` lacks. */
wgn_frame* _wgco_pack_entry_state(wgco_control* c, const _wgco_entry_t* e, _wgco_content content,
                                  wg_time now);
/* Returns the state without loads that `e` lacks, valid until the next call. It is packed once for
   all hosts that lack the same. */
const _wgco_shared_state_t* _wgco_shared_state(wgco_control* c, const _wgco_entry_t* e,
                                               _wgco_content content, wg_time now);
void _wgco_shared_states_clear(wgco_control* c);
/* True if the host should receive roster changes. An incomplete roster would turn callers away from
   hosts that are up, so it is withheld while a new leader waits for reports. */
bool _wgco_sends_members(const wgco_control* c, const _wgco_entry_t* e, wg_time now);
/* True while running hosts may not have reported to this leader yet. */
bool _wgco_is_settling(const wgco_control* c, wg_time now);
/* True if a replica without a known leader may send its applied state to the host. That state is
   committed but may be outdated. */
bool _wgco_serves_standby(const wgco_control* c, const _wgco_entry_t* e, wg_time now);

/* loads and usage reported by entry hosts (wg_control_usage.c) */
void _wgco_remove_loads(wgco_control* c, _wgco_entry_t* e);
void _wgco_replace_loads(wgco_control* c, _wgco_entry_t* e, const Wgpb__EntryReport* in);
/* Returns the loads that are told to hosts, const Wgpb__TargetLoad*: all, or of very many the
   fullest ones. The caller frees the array only. */
GPtrArray* _wgco_told_loads(wgco_control* c, wg_time now);
/* Requests that the target processes at a time; an assumption if it reports none. */
uint32_t _wgco_target_slots(const wg_target* target);
/* Adds what the workspaces used since their last report on this link. */
void _wgco_update_usage(wgco_control* c, _wgco_entry_t* e, const Wgpb__EntryReport* in);
void _wgco_decay_usage(wgco_control* c, wg_time now);
/* Demand from which a workspace is listed to hosts, in tokens. */
double _wgco_usage_listed_from(const wgco_control* c);

/* room of services (wg_control_room.c) */
/* Returns what hosts are told, _wgco_room_t, valid until the next call; NULL: nothing. */
const GArray* _wgco_rooms(wgco_control* c, wg_time now);
void _wgco_rooms_lead_begin(wgco_control* c);

/* orders forwarded by entry hosts (wg_control_orders.c) */
void _wgco_receive_order(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_complete_order(wgco_control* c, const _wgco_waiter_t* waiter, bool committed);
void _wgco_apply_configuration(wgco_control* c, const Wgpb__Configuration* in);
void _wgco_apply_target(wgco_control* c, const Wgpb__TargetRecord* in);
void _wgco_apply_evacuation(wgco_control* c, const Wgpb__Evacuation* in);

/* quarantine of requests that crash targets (wg_control_quarantine.c) */
void _wgco_quarantine_setup(wgco_control* c);
void _wgco_quarantine_shutdown(wgco_control* c);
void _wgco_quarantine_receive_report(wgco_control* c, const _wgco_entry_t* e,
                                     const Wgpb__EntryReport* in);
/* On the leader: proposes quarantines that are due to begin or to end. */
void _wgco_quarantine_tick(wgco_control* c, wg_time now);
void _wgco_apply_quarantine(wgco_control* c, const Wgpb__Quarantine* in);
json_t* _wgco_quarantine_dump(const wgco_control* c);
void _wgco_quarantine_metrics(const wgco_control* c, GString* out);

/* versions at which streams began (wg_control_origins.c) */
void _wgco_origins_setup(wgco_control* c);
void _wgco_origins_shutdown(wgco_control* c);
void _wgco_origins_receive_report(wgco_control* c, const Wgpb__EntryReport* in);
/* On the leader: proposes what hosts have reported. */
void _wgco_origins_tick(wgco_control* c, wg_time now);
void _wgco_apply_origins(wgco_control* c, const Wgpb__OriginNotes* in);
/* A host asks when a target was last heard of. */
void _wgco_receive_target_ask(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_receive_origin_ask(wgco_control* c, wgn_link link, const wgw_frame* frame);
Wgpb__OriginNotes* _wgco_origins_dump(const wgco_control* c);
void _wgco_origins_metrics(const wgco_control* c, GString* out);

/* configuration documents (wg_control_document.c) */
void _wgco_documents_setup(_wgco_documents_t* d);
void _wgco_documents_clear(_wgco_documents_t* d);
/* Adopts a newer configuration. False without an error if it is not newer; false with an error
   if the document cannot be unpacked. */
bool _wgco_documents_apply(_wgco_documents_t* d, const Wgpb__Configuration* in, GError** error);
/* Returns the update that a host with `version` needs, borrowed; NULL if it is up to date. */
wgn_frame* _wgco_documents_frame(_wgco_documents_t* d, uint64_t version);
/* Fills `out` with the newest configuration, borrowing its bytes; false if there is none. */
bool _wgco_documents_fill(const _wgco_documents_t* d, Wgpb__Configuration* out);

/* discovery of other controls (wg_control_discovery.c) */
bool _wgco_discovery_set_seeds(wgco_control* c, const wgco_settings* settings, GError** error);
/* On a fleet's first start, each seed creates the same initial replica set in its own data
   folder. */
bool _wgco_discovery_bootstrap(wgco_control* c, GError** error);
/* Adds a control to the list of peers to dial, unless it is known already. */
void _wgco_discovery_add_peer(wgco_control* c, const char* name, const char* address);
/* Adds the replicas of the set as peers and announces this control to the seeds' entry hosts. */
void _wgco_discovery_tick(wgco_control* c, wg_time now);
/* True if `link` is the outgoing announcement to a seed's entry host. */
bool _wgco_discovery_is_announcement(const wgco_control* c, wgn_link link);
/* Adds the controls listed in an entry host's state as peers. */
void _wgco_discovery_receive_controls(wgco_control* c, const wgw_frame* frame);

/* self-monitoring (wg_control_watch.c) */
/* Logs event-loop delays and leader outages. */
void _wgco_watch_tick(wgco_control* c, wg_time now);
/* On the leader: extends liveness deadlines by the time for which this process stalled. */
void _wgco_watch_extend_deadlines(wgco_control* c, wg_time now);
/* True if `replica` is this control or has a live link to it. */
bool _wgco_is_up(const wgco_control* c, const wgr_replica* replica);
/* The set as log details: voters, learners and unreachable replicas; the caller frees the text. */
char* _wgco_describe_set(const wgco_control* c);
/* Names of the replicas known to hold the log up to `index`; the caller frees the text. */
char* _wgco_describe_holders(const wgco_control* c, uint64_t index);
void _wgco_watch_metrics(const wgco_control* c, GString* out);

/* operator endpoints (wg_control_http.c) */
bool _wgco_http_setup(wgco_control* c, GError** error);
void _wgco_answer_edit(wgco_control* c, struct evhttp_request* request, const wgt_result* result);
void _wgco_answer_unknown(struct evhttp_request* request);
