#pragma once
/* wg_control_internal.h -- state shared by the files of lib/control; not installed */
#include <event2/event.h>

#include "wg_control.h"

enum {
    _WGCO_ROUTERS_MAX = 512,
    _WGCO_PEERS_MAX = 8,
    _WGCO_ROWS_PER_REPLY = WGT_EDIT_ROWS_MAX + 1,
    _WGCO_FAIRS_MAX = 2048,
    _WGCO_SHARES_DUMPED = 200,
    _WGCO_PLAN_AT_LEAST = 200 * WG_USEC_PER_MSEC /* time between plans when nothing changes */
};

/* Another control, as the settings name it. */
typedef struct {
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX];
    wgn_link link; /* dialled by us */
    bool up;
    uint64_t identity; /* 0 unknown */
    wg_time dial_at;
} _wgco_peer_t;

/* A router's link to this control. */
typedef struct {
    bool live;
    wgn_link link;
    char name[WG_NAME_MAX];
    uint64_t incarnation;
    wgf_router share;
    bool reported;
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
} _wgco_waiter_t;

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
    bool failed;
    bool stopping;
    bool handing_over; /* to a successor, in a planned stop */

    /* while this control leads */
    bool leads;
    wgf_share* share;
    wgm_members* members;
    _wgco_session_t* sessions;
    bool plan_due;
    wg_time plan_cost;
    wg_time planned_at;

    /* counters */
    uint64_t edits;
    uint64_t claims_asked;
    uint64_t reports;
    uint64_t replies;
    wg_hist commit_time; /* microseconds from proposal to application of edits */
    wg_time started_at;
};

/* replication (wg_control_log.c) */
void _wgco_pump(wgco_control* c);
void _wgco_take_quorum(wgco_control* c, const wgw_frame* frame);
bool _wgco_propose(wgco_control* c, const ProtobufCMessage* command, _wgco_waiter_t* waiter);
void _wgco_fail_waiters(wgco_control* c);
bool _wgco_load_state(wgco_control* c, GBytes* state);
GBytes* _wgco_pack_state(const wgco_control* c);
const char* _wgco_leader_address(const wgco_control* c);
void _wgco_die(wgco_control* c, GError* error);

/* routers (wg_control_routers.c) */
void _wgco_lead_begin(wgco_control* c, wg_time now);
void _wgco_lead_end(wgco_control* c);
void _wgco_router_up(wgco_control* c, wgn_link link, const wgn_peer* peer);
void _wgco_router_down(wgco_control* c, wgn_link link);
void _wgco_take_report(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_take_row_query(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_take_claim(wgco_control* c, wgn_link link, const wgw_frame* frame);
void _wgco_answer_claim(wgco_control* c, wgn_link link, uint64_t ticket, wgk_outcome outcome,
                        const Wgpb__ClaimEnd* end);
void _wgco_table_changed(wgco_control* c, uint64_t before);
void _wgco_routers_tick(wgco_control* c, wg_time now);
void _wgco_plan(wgco_control* c);

/* operators (wg_control_http.c) */
bool _wgco_http_setup(wgco_control* c, GError** error);
void _wgco_answer_edit(wgco_control* c, struct evhttp_request* request, const wgt_result* result);
void _wgco_answer_unknown(struct evhttp_request* request);
