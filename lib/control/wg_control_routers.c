/* wg_control_routers.c -- the leader's replies to routers: table, members, fairness, slots,
   claims */
#include "wg_control_internal.h"

#include <string.h>

/* ---- helpers: sessions --------------------------------------------------------------------- */

static _wgco_session_t* _wgco_find_session(wgco_control* c, wgn_link link) {
    for (int i = 0; i < _WGCO_ROUTERS_MAX; i++) {
        if (c->sessions[i].live && c->sessions[i].link.id == link.id) {
            return &c->sessions[i];
        }
    }
    return NULL;
}

static void _wgco_session_join_share(wgco_control* c, _wgco_session_t* s, wg_time now) {
    const wgn_peer* peer = wgn_query_peer(c->net, s->link);
    s->share = wgf_router_up(c->share, now, s->name, s->incarnation, peer ? peer->data_centre : "");
}

/* ---- helpers: planner input ---------------------------------------------------------------- */

static void _wgco_share_config(wgco_control* c) {
    wgf_config_begin(c->share);
    int at = -1;
    for (const wgt_row* row; (row = wgt_next(c->table, WGT_KIND_SERVICE, &at));) {
        wgf_config_service(c->share, row->id, (int)row->service.over_percent, row->service.cost);
    }
    at = -1;
    for (const wgt_row* row; (row = wgt_next(c->table, WGT_KIND_TARGET, &at));) {
        const wgt_row* service = wgt_find(c->table, WGT_KIND_SERVICE, row->target.service);
        wgf_config_target(c->share, row->id, service ? service->id : 0, (int)row->target.slots,
                          row->target.leaving != 0, row->target.data_centre);
    }
    wgf_config_end(c->share);
}

static void _wgco_share_weights(wgco_control* c, uint64_t since) {
    const wgt_row** rows = g_new(const wgt_row*, _WGCO_ROWS_PER_REPLY);
    bool more = true;
    while (more) {
        int num = wgt_changes(c->table, since, rows, _WGCO_ROWS_PER_REPLY, &more);
        for (int i = 0; i < num; i++) {
            if (rows[i]->kind == WGT_KIND_WORKSPACE && !rows[i]->deleted) {
                wgf_set_weight(c->share, rows[i]->id, rows[i]->workspace.weight);
            }
            since = rows[i]->version;
        }
        more = more && num > 0;
    }
    g_free(rows);
}

/* ---- helpers: replies ---------------------------------------------------------------------- */

/* Everything a Reply message points to; shared, as replies are built one at a time on one
   thread. */
typedef struct {
    Wgpb__Row rows[_WGCO_ROWS_PER_REPLY];
    Wgpb__Row* row_list[_WGCO_ROWS_PER_REPLY];
    wgt_row_scratch row_scratch[_WGCO_ROWS_PER_REPLY];
    const wgt_row* changed[_WGCO_ROWS_PER_REPLY];
    Wgpb__Member members[_WGCO_ROUTERS_MAX];
    Wgpb__Member* member_list[_WGCO_ROUTERS_MAX];
    wgf_virtual_time fairs[_WGCO_VIRTUAL_TIMES_MAX];
    Wgpb__Fair fair_items[_WGCO_VIRTUAL_TIMES_MAX];
    Wgpb__Fair* fair_list[_WGCO_VIRTUAL_TIMES_MAX];
    Wgpb__Fair fleet_items[WGF_SERVICES_MAX];
    Wgpb__Fair* fleet_list[WGF_SERVICES_MAX];
    wgf_orders orders;
    Wgpb__Grant grant_items[WGF_GRANTS_MAX];
    Wgpb__Grant* grant_list[WGF_GRANTS_MAX];
    Wgpb__Quota quota_items[WGF_SERVICES_MAX];
    Wgpb__Quota* quota_list[WGF_SERVICES_MAX];
} _wgco_reply_t;

static _wgco_reply_t* _wgco_scratch(void) {
    static _wgco_reply_t* scratch;
    if (!scratch) {
        scratch = g_new0(_wgco_reply_t, 1);
    }
    return scratch;
}

/* Fills in the rows the router lacks. A router that fetches rows on demand gets no workspaces in
   its first replies, only those that change later. */
static void _wgco_fill_rows(wgco_control* c, _wgco_session_t* s, Wgpb__Reply* reply) {
    _wgco_reply_t* scratch = _wgco_scratch();
    bool more;
    int num =
        wgt_changes(c->table, s->table_version, scratch->changed, _WGCO_ROWS_PER_REPLY, &more);
    if (num < 0) {
        reply->reset = true;
        s->table_version = 0;
        num = wgt_changes(c->table, 0, scratch->changed, _WGCO_ROWS_PER_REPLY, &more);
    }
    bool first_fill = !s->all_rows && !s->table_synced;
    reply->rows = scratch->row_list;
    for (int i = 0; i < num; i++) {
        const wgt_row* row = scratch->changed[i];
        s->table_version = row->version;
        if (first_fill && row->kind == WGT_KIND_WORKSPACE) {
            continue;
        }
        Wgpb__Row* out = &scratch->rows[reply->n_rows];
        wgt_row_pack(row, out, &scratch->row_scratch[reply->n_rows]);
        scratch->row_list[reply->n_rows++] = out;
    }
    if (!more) {
        s->table_version = wgt_version(c->table);
        s->table_synced = true;
    }
    reply->more_rows = more;
    reply->table_version = s->table_version;
}

static void _wgco_fill_members(wgco_control* c, _wgco_session_t* s, Wgpb__Reply* reply) {
    _wgco_reply_t* scratch = _wgco_scratch();
    reply->members = scratch->member_list;
    reply->members_reset = s->member_version == 0;
    const wgm_member* member;
    for (int i = 0; (member = wgm_at(c->members, i)); i++) {
        bool skip = member->version <= s->member_version ||
                    (reply->members_reset && member->state == WGM_STATE_UNREACHABLE);
        if (skip) {
            continue;
        }
        Wgpb__Member* out = &scratch->members[reply->n_members];
        wgpb__member__init(out);
        out->name = (char*)member->name;
        out->address = (char*)member->address;
        out->data_centre = (char*)member->data_centre;
        out->incarnation = member->incarnation;
        out->state = member->state;
        out->version = member->version;
        scratch->member_list[reply->n_members++] = out;
    }
    s->member_version = wgm_version(c->members);
    reply->member_version = s->member_version;
}

static void _wgco_fill_virtual_times(wgco_control* c, _wgco_session_t* s, Wgpb__Reply* reply) {
    _wgco_reply_t* scratch = _wgco_scratch();
    int num = wgf_take_virtual_times(c->share, s->share, scratch->fairs, _WGCO_VIRTUAL_TIMES_MAX);
    reply->fairs = scratch->fair_list;
    for (int i = 0; i < num; i++) {
        Wgpb__Fair* out = &scratch->fair_items[i];
        wgpb__fair__init(out);
        out->service = scratch->fairs[i].service;
        out->workspace = scratch->fairs[i].workspace;
        out->virtual_time = scratch->fairs[i].virtual_time;
        out->acked = scratch->fairs[i].acked;
        scratch->fair_list[reply->n_fairs++] = out;
    }
    reply->fleet = scratch->fleet_list;
    int at = -1;
    for (const wgt_row* row; (row = wgt_next(c->table, WGT_KIND_SERVICE, &at));) {
        if (reply->n_fleet == WGF_SERVICES_MAX) {
            break;
        }
        Wgpb__Fair* out = &scratch->fleet_items[reply->n_fleet];
        wgpb__fair__init(out);
        out->service = row->id;
        out->virtual_time = wgf_query_fleet_time(c->share, row->id);
        scratch->fleet_list[reply->n_fleet++] = out;
    }
}

static void _wgco_fill_orders(wgco_control* c, _wgco_session_t* s, Wgpb__Reply* reply) {
    _wgco_reply_t* scratch = _wgco_scratch();
    const wgf_orders* orders = &scratch->orders;
    wgf_take_orders(c->share, s->share, reply->seq, &scratch->orders);
    reply->grants = scratch->grant_list;
    for (int i = 0; i < orders->grants_num; i++) {
        Wgpb__Grant* out = &scratch->grant_items[i];
        wgpb__grant__init(out);
        out->target = orders->grants[i].target;
        out->add = orders->grants[i].add;
        scratch->grant_list[reply->n_grants++] = out;
    }
    reply->quotas = scratch->quota_list;
    for (int i = 0; i < orders->quotas_num; i++) {
        Wgpb__Quota* out = &scratch->quota_items[i];
        wgpb__quota__init(out);
        out->service = orders->quotas[i].service;
        out->most = orders->quotas[i].max;
        scratch->quota_list[reply->n_quotas++] = out;
    }
}

/* Answers a report or pushes changes. Leadership is checked against the current time. */
static void _wgco_send_reply(wgco_control* c, _wgco_session_t* s, bool with_virtual_times) {
    Wgpb__Reply reply = WGPB__REPLY__INIT;
    wgr_stats stats = wgr_query_stats(c->node, wg_now());
    reply.term = stats.term;
    reply.report_seq = s->report_seq;
    reply.echo = s->echo;
    reply.leads = c->leads && wgr_leads(c->node, wg_now());
    reply.leader_address = (char*)_wgco_leader_address(c);
    if (reply.leads && s->report_seq > 0) {
        reply.seq = ++s->seq;
        reply.table_lease = c->settings->table_lease_ms * WG_USEC_PER_MSEC;
        reply.slot_lease = c->settings->slot_lease_ms * WG_USEC_PER_MSEC;
        _wgco_fill_rows(c, s, &reply);
        _wgco_fill_members(c, s, &reply);
        _wgco_fill_orders(c, s, &reply);
        reply.want_full = wgf_needs_full_report(c->share, s->share);
        if (with_virtual_times) {
            _wgco_fill_virtual_times(c, s, &reply);
        }
    }
    c->replies++;
    wgn_send(c->net, s->link, WGW_TYPE_REPLY, &reply.base);
}

/* ---- helpers: reports ---------------------------------------------------------------------- */

static void _wgco_update_member(wgco_control* c, const _wgco_session_t* s, bool leaving,
                                wg_time now) {
    const wgn_peer* peer = wgn_query_peer(c->net, s->link);
    wgm_member update = {.incarnation = s->incarnation,
                         .state = leaving ? WGM_STATE_LEAVING : WGM_STATE_UP};
    wg_copy_name(update.name, sizeof update.name, s->name);
    wg_copy_name(update.address, sizeof update.address, peer->address);
    wg_copy_name(update.data_centre, sizeof update.data_centre, peer->data_centre);
    wgm_event event = wgm_record_heartbeat(c->members, now, &update);
    if (event == WGM_EVENT_UP || event == WGM_EVENT_RESTARTED) {
        wg_log(WG_EVENT_MEMBER_UP, "router=%s", s->name);
    } else if (event == WGM_EVENT_LEAVING) {
        wg_log(WG_EVENT_MEMBER_LEAVING, "router=%s", s->name);
    }
}

static void _wgco_merge_report(wgco_control* c, _wgco_session_t* s, const Wgpb__Report* in,
                               wg_time now) {
    wgf_account* accounts = g_new(wgf_account, in->n_accounts + 1);
    wgf_held_slots* held = g_new(wgf_held_slots, in->n_held + 1);
    for (size_t i = 0; i < in->n_accounts; i++) {
        const Wgpb__Account* a = in->accounts[i];
        accounts[i] = (wgf_account){.service = a->service,
                                    .workspace = a->workspace,
                                    .served = a->served,
                                    .pending = a->pending,
                                    .queued = a->queued,
                                    .running = a->running,
                                    .virtual_time = a->virtual_time};
    }
    for (size_t i = 0; i < in->n_held; i++) {
        held[i] = (wgf_held_slots){in->held[i]->target, in->held[i]->slots, in->held[i]->aside};
    }
    wgf_report(c->share, now, s->share,
               &(wgf_report_desc){.full = in->full,
                                  .applied = in->applied,
                                  .leaving = in->leaving,
                                  .accounts = accounts,
                                  .accounts_num = (int)in->n_accounts,
                                  .held = held,
                                  .held_num = (int)in->n_held});
    g_free(accounts);
    g_free(held);
}

static void _wgco_schedule_plan(wgco_control* c) {
    if (c->plan_due) {
        return;
    }
    c->plan_due = true;
    /* Limits planning to 5 % of the time. */
    wg_time gap = MAX(c->settings->plan_ms * WG_USEC_PER_MSEC, 20 * c->plan_cost);
    struct timeval wait = {.tv_sec = gap / WG_USEC_PER_SEC, .tv_usec = gap % WG_USEC_PER_SEC};
    event_add(c->plan_event, &wait);
}

/* ---- functions of the library: leadership --------------------------------------------------- */

void _wgco_lead_begin(wgco_control* c, wg_time now) {
    GError* error = NULL;
    c->share = wgf_setup(
        &(wgf_desc){.now = now, .slot_lease = c->settings->slot_lease_ms * WG_USEC_PER_MSEC},
        &error);
    c->members = wgm_setup(
        &(wgm_desc){.gone_after = c->settings->router_gone_ms * WG_USEC_PER_MSEC}, &error);
    WG_ASSERT(c->share && c->members);
    c->leads = true;
    _wgco_entry_lead_begin(c, now);
    _wgco_share_config(c);
    _wgco_share_weights(c, 0);
    for (int i = 0; i < _WGCO_ROUTERS_MAX; i++) {
        _wgco_session_t* s = &c->sessions[i];
        if (s->live) {
            _wgco_session_join_share(c, s, now);
            s->report_seq = 0;
            s->member_version = 0;
            /* The router has reported to a follower so far; notify it that this control leads
               now. */
            _wgco_send_reply(c, s, false);
        }
    }
}

void _wgco_lead_end(wgco_control* c) {
    c->leads = false;
    wgf_shutdown(c->share);
    wgm_shutdown(c->members);
    c->share = NULL;
    c->members = NULL;
    event_del(c->plan_event);
    c->plan_due = false;
    _wgco_entry_lead_end(c);
    for (int i = 0; i < _WGCO_ROUTERS_MAX; i++) {
        if (c->sessions[i].live) {
            _wgco_send_reply(c, &c->sessions[i], false);
        }
    }
}

void _wgco_table_changed(wgco_control* c, uint64_t before) {
    if (!c->leads) {
        return;
    }
    _wgco_share_config(c);
    _wgco_share_weights(c, before);
    _wgco_schedule_plan(c);
    for (int i = 0; i < _WGCO_ROUTERS_MAX; i++) {
        if (c->sessions[i].live && c->sessions[i].report_seq > 0) {
            _wgco_send_reply(c, &c->sessions[i], false);
        }
    }
}

void _wgco_plan(wgco_control* c) {
    c->plan_due = false;
    if (!c->leads) {
        return;
    }
    wg_time begin = wg_now();
    wgf_plan(c->share, begin);
    for (int i = 0; i < _WGCO_ROUTERS_MAX; i++) {
        _wgco_session_t* s = &c->sessions[i];
        if (s->live && s->report_seq > 0 && wgf_has_orders(c->share, s->share)) {
            _wgco_send_reply(c, s, false);
        }
    }
    c->planned_at = wg_now();
    c->plan_cost = c->planned_at - begin;
}

void _wgco_routers_tick(wgco_control* c, wg_time now) {
    const wgm_member* unreachable;
    while ((unreachable = wgm_tick(c->members, now))) {
        wg_log(WG_EVENT_MEMBER_GONE, "router=%s", unreachable->name);
    }
    /* Leases expire even without new reports. */
    if (now - c->planned_at >= _WGCO_PLAN_INTERVAL_MAX) {
        _wgco_schedule_plan(c);
    }
}

/* ---- functions of the library: links -------------------------------------------------------- */

void _wgco_router_up(wgco_control* c, wgn_link link, const wgn_peer* peer) {
    for (int i = 0; i < _WGCO_ROUTERS_MAX; i++) {
        _wgco_session_t* s = &c->sessions[i];
        if (s->live) {
            continue;
        }
        *s = (_wgco_session_t){.live = true, .link = link, .incarnation = peer->incarnation};
        wg_copy_name(s->name, sizeof s->name, peer->name);
        if (c->leads) {
            _wgco_session_join_share(c, s, wg_now());
        }
        return;
    }
    wgn_close(c->net, link);
}

void _wgco_router_down(wgco_control* c, wgn_link link) {
    _wgco_session_t* s = _wgco_find_session(c, link);
    if (s) {
        s->live = false; /* its leases last until they expire */
    }
}

void _wgco_receive_report(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    _wgco_session_t* s = _wgco_find_session(c, link);
    Wgpb__Report* in = s ? wgpb__report__unpack(NULL, frame->size, frame->payload) : NULL;
    if (!in) {
        return;
    }
    if (_wgco_check_superseded(c, in->recovery, wgn_query_peer(c->net, link))) {
        wgpb__report__free_unpacked(in, NULL);
        return;
    }
    wg_time now = wg_now();
    c->reports++;
    bool first = s->report_seq == 0;
    s->report_seq = in->seq;
    s->echo = in->sent_at;
    s->all_rows = in->all_rows;
    if (first || in->full) {
        s->table_version = in->table_version;
        s->table_synced = in->table_version > 0;
        s->member_version = 0;
    }
    if (c->leads) {
        /* The first report to a leader has to be full; none is merged before it. */
        if (first && !in->full) {
            s->report_seq = 0;
        } else {
            _wgco_merge_report(c, s, in, now);
            _wgco_update_member(c, s, in->leaving, now);
            if (in->full || in->n_accounts > 0 || in->n_held > 0) {
                _wgco_schedule_plan(c);
            }
        }
    }
    wgpb__report__free_unpacked(in, NULL);
    _wgco_send_reply(c, s, true);
}

void _wgco_receive_row_query(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    Wgpb__RowQuery* in = wgpb__row_query__unpack(NULL, frame->size, frame->payload);
    if (!in) {
        return;
    }
    Wgpb__RowAnswer answer = WGPB__ROW_ANSWER__INIT;
    Wgpb__Row row;
    wgt_row_scratch scratch;
    answer.ticket = in->ticket;
    /* outcome 0: not the leader, retry elsewhere; 1: found; 2: no such key */
    if (c->leads && wgr_leads(c->node, wg_now()) && in->key_hash.len == WG_KEY_HASH_SIZE) {
        const wgt_row* found = wgt_find_key(c->table, in->key_hash.data);
        answer.outcome = found ? 1 : 2;
        answer.table_version = wgt_version(c->table);
        if (found) {
            wgt_row_pack(found, &row, &scratch);
            answer.row = &row;
        }
    }
    wgn_send(c->net, link, WGW_TYPE_ROW_ANSWER, &answer.base);
    wgpb__row_query__free_unpacked(in, NULL);
}

void _wgco_answer_claim(wgco_control* c, wgn_link link, uint64_t ticket, wgk_outcome outcome,
                        const Wgpb__ClaimEnd* end) {
    Wgpb__ClaimAnswer answer = WGPB__CLAIM_ANSWER__INIT;
    answer.ticket = ticket;
    answer.outcome = outcome;
    answer.end = (Wgpb__ClaimEnd*)end;
    wgn_send(c->net, link, WGW_TYPE_CLAIM_ANSWER, &answer.base);
}

void _wgco_receive_claim(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    Wgpb__ClaimAsk* in = wgpb__claim_ask__unpack(NULL, frame->size, frame->payload);
    if (!in) {
        return;
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    bool leads = c->leads && wgr_leads(c->node, wg_now());
    c->claims_asked++;
    _wgco_waiter_t* waiter = g_new0(_wgco_waiter_t, 1);
    waiter->link = link;
    waiter->ticket = in->ticket;
    if (in->end && leads) {
        command.claim_end = in->end;
        _wgco_propose(c, &command.base, waiter); /* if this fails, the router resends it */
        waiter = NULL;
    } else if (in->claim && leads && in->claim->key.len == WGK_KEY_SIZE) {
        in->claim->now_seconds = (uint64_t)(g_get_real_time() / WG_USEC_PER_SEC);
        command.claim = in->claim;
        if (!_wgco_propose(c, &command.base, waiter)) {
            _wgco_answer_claim(c, link, in->ticket, WGK_OUTCOME_NO_LEADER, NULL);
        }
        waiter = NULL;
    } else if (in->claim) {
        _wgco_answer_claim(c, link, in->ticket, WGK_OUTCOME_NO_LEADER, NULL);
    }
    g_free(waiter);
    wgpb__claim_ask__free_unpacked(in, NULL);
}
