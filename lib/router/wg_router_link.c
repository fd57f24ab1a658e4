/* wg_router_link.c -- the link to the leader: reports, replies, rows, claims */
#include "wg_router_internal.h"
#include "wg_term.h"

#include <string.h>

/* ---- types -------------------------------------------------------------------------------- */

enum {
    _WGRO_ACCOUNTS_MAX = 1024, /* accounts in one report */
    _WGRO_REPLY_DEADLINE = 1500 * WG_USEC_PER_MSEC,
    _WGRO_DIAL_GAP = 100 * WG_USEC_PER_MSEC,
    _WGRO_FRAME_OVERHEAD = 60 /* bytes of IP and TCP headers per frame */
};

/* ---- helpers: budget ----------------------------------------------------------------------- */

/* Bytes on the control links since start, IP and TCP headers included. */
static uint64_t _wgro_link_bytes(const wgro_router* r) {
    wgn_stats stats = wgn_query_stats(r->net);
    uint64_t frames = stats.frames_sent + stats.frames_received;
    return stats.bytes_sent + stats.bytes_received + frames * _WGRO_FRAME_OVERHEAD;
}

static bool _wgro_any_waiting(const wgro_router* r) {
    for (int i = 0; i < r->services_num; i++) {
        if (r->services[i].live && wgq_query_stats(r->services[i].queue).queued > 0) {
            return true;
        }
    }
    return false;
}

/* ---- helpers: report ----------------------------------------------------------------------- */

typedef struct {
    Wgpb__Report report;
    Wgpb__Account accounts[_WGRO_ACCOUNTS_MAX];
    Wgpb__Account* account_list[_WGRO_ACCOUNTS_MAX];
    Wgpb__Held held[WGP_TARGETS_DEFAULT];
    Wgpb__Held* held_list[WGP_TARGETS_DEFAULT];
} _wgro_report_t;

static void _wgro_fill_accounts(wgro_router* r, wg_time now, _wgro_report_t* out) {
    wgq_account accounts[_WGRO_ACCOUNTS_MAX];
    out->report.accounts = out->account_list;
    for (int i = 0; i < r->services_num; i++) {
        _wgro_service_t* service = &r->services[i];
        int room = _WGRO_ACCOUNTS_MAX - (int)out->report.n_accounts;
        if (!service->live) {
            continue;
        }
        wgq_raise_estimates(service->queue, now);
        int num = wgq_take_accounts(service->queue, r->report_full, accounts, room);
        for (int a = 0; a < num; a++) {
            Wgpb__Account* account = &out->accounts[out->report.n_accounts];
            wgpb__account__init(account);
            account->service = service->row.id;
            account->workspace = accounts[a].workspace;
            account->served = accounts[a].served;
            account->pending = accounts[a].pending;
            account->queued = accounts[a].queued;
            account->running = accounts[a].running;
            if (r->report_full) {
                account->virtual_time =
                    wgq_query_virtual_time(service->queue, accounts[a].workspace);
            }
            out->account_list[out->report.n_accounts++] = account;
        }
    }
}

/* Adds the targets whose leased slots or health changed since they were last reported. */
static void _wgro_fill_held(wgro_router* r, _wgro_report_t* out) {
    out->report.held = out->held_list;
    if (r->report_full) {
        g_hash_table_remove_all(r->held_reported);
    }
    wgp_target_info info;
    for (int i = 0; wgp_query_target(r->place, i, &info) && i < WGP_TARGETS_DEFAULT; i++) {
        gpointer id = GUINT_TO_POINTER(info.id);
        bool aside = info.ejected_until != 0 || info.backed_off;
        guint now = (guint)info.leased << 1 | (aside ? 1 : 0);
        if (GPOINTER_TO_UINT(g_hash_table_lookup(r->held_reported, id)) == now) {
            continue;
        }
        g_hash_table_insert(r->held_reported, id, GUINT_TO_POINTER(now));
        Wgpb__Held* held = &out->held[out->report.n_held];
        wgpb__held__init(held);
        held->target = info.id;
        held->slots = (uint32_t)info.leased;
        held->aside = aside;
        out->held_list[out->report.n_held++] = held;
    }
}

static void _wgro_send_report(wgro_router* r, wg_time now) {
    static _wgro_report_t* out;
    if (!out) {
        out = g_new0(_wgro_report_t, 1);
    }
    wgpb__report__init(&out->report);
    out->report.seq = ++r->report_seq;
    out->report.sent_at = now;
    out->report.applied = r->applied;
    out->report.table_version = r->table_complete ? wgt_version(r->table) : 0;
    out->report.member_version = wgm_version(r->members);
    out->report.leaving = r->stopping;
    out->report.recovery = wg_term_recovery(r->term);
    out->report.full = r->report_full;
    r->full_seq = r->report_full ? r->report_seq : r->full_seq;
    out->report.all_rows = strcmp(r->settings->rows, "all") == 0;
    _wgro_fill_accounts(r, now, out);
    _wgro_fill_held(r, out);
    wgn_send(r->net, r->link, WGW_TYPE_REPORT, &out->report.base);
    r->report_full = false;
    wgf_pacer_sent(&r->pacer, now, _wgro_any_waiting(r));
    r->counters.reports++;
}

/* ---- helpers: reply ------------------------------------------------------------------------ */

static void _wgro_apply_rows(wgro_router* r, const Wgpb__Reply* reply) {
    if (reply->reset) {
        /* The leader no longer knows the deletions since this router's version and sends the
           complete table: a row that is not in it was deleted. */
        for (int kind = WGT_KIND_WORKSPACE; kind < WGT_KIND_NUM; kind++) {
            int at = -1;
            for (const wgt_row* row; (row = wgt_next(r->table, (wgt_kind)kind, &at));) {
                wgt_remove(r->table, (wgt_kind)kind, row->name);
            }
        }
    }
    for (size_t i = 0; i < reply->n_rows; i++) {
        wgt_row row;
        if (wgt_row_unpack(reply->rows[i], &row)) {
            wgt_put(r->table, &row);
        }
    }
    if (reply->table_version > wgt_version(r->table)) {
        wgt_set_version(r->table, reply->table_version);
    }
    r->table_complete = !reply->more_rows;
    if (r->table_complete && r->configured_version != wgt_version(r->table)) {
        _wgro_configure(r);
    }
}

static void _wgro_apply_members(wgro_router* r, const Wgpb__Reply* reply) {
    if (reply->members_reset) {
        wgm_clear(r->members);
    }
    for (size_t i = 0; i < reply->n_members; i++) {
        const Wgpb__Member* in = reply->members[i];
        wgm_member member = {.incarnation = in->incarnation, .version = in->version};
        member.state = (wgm_state)CLAMP(in->state, WGM_STATE_UP, WGM_STATE_UNREACHABLE);
        if (wg_copy_name(member.name, sizeof member.name, in->name) &&
            wg_copy_name(member.address, sizeof member.address, in->address) &&
            wg_copy_name(member.data_centre, sizeof member.data_centre, in->data_centre)) {
            wgm_put(r->members, &member);
        }
    }
}

static _wgro_service_t* _wgro_service_by_id(wgro_router* r, uint32_t id) {
    for (int i = 0; i < r->services_num; i++) {
        if (r->services[i].live && r->services[i].row.id == id) {
            return &r->services[i];
        }
    }
    return NULL;
}

static void _wgro_apply_virtual_times(wgro_router* r, const Wgpb__Reply* reply) {
    for (size_t i = 0; i < reply->n_fleet; i++) {
        _wgro_service_t* service = _wgro_service_by_id(r, reply->fleet[i]->service);
        if (service) {
            wgq_set_fleet_time(service->queue, reply->fleet[i]->virtual_time);
        }
    }
    for (size_t i = 0; i < reply->n_fairs; i++) {
        const Wgpb__Fair* fair = reply->fairs[i];
        _wgro_service_t* service = _wgro_service_by_id(r, fair->service);
        if (service) {
            wgq_sync(service->queue, fair->workspace, fair->virtual_time, fair->acked);
        }
    }
}

static void _wgro_follow_redirect(wgro_router* r, const Wgpb__Reply* reply) {
    r->leader_known = false;
    if (reply->leader_address && reply->leader_address[0]) {
        g_strlcpy(r->dial_address, reply->leader_address, sizeof r->dial_address);
    }
    wgn_close(r->net, r->link);
}

/* Applies granted slots and quotas. Not called for orders that the leader sent before it received
   this router's last full report, which reset its count of this router's slots. */
static void _wgro_apply_slot_orders(wgro_router* r, const Wgpb__Reply* reply) {
    for (size_t i = 0; i < reply->n_quotas; i++) {
        wgp_set_quota(r->place, reply->quotas[i]->service, reply->quotas[i]->most);
    }
    for (size_t i = 0; i < reply->n_grants; i++) {
        wgp_add_slots(r->place, reply->grants[i]->target, (int)reply->grants[i]->add);
        /* Forces an entry in the next report, even if the slots were released at once. */
        g_hash_table_insert(r->held_reported, GUINT_TO_POINTER(reply->grants[i]->target),
                            GUINT_TO_POINTER(G_MAXUINT));
    }
}

/* Drops all slots: the leader may already have granted them to other routers. */
static void _wgro_end_slot_leases(wgro_router* r) {
    r->slot_lease_until = 0;
    wgp_clear_slots(r->place);
    r->report_full = true;
    wg_log(WG_EVENT_LEASES_LAPSED, "%s", "");
}

static void _wgro_apply_reply(wgro_router* r, const Wgpb__Reply* reply) {
    wg_time now = wg_now();
    r->last_reply_at = now;
    if (!reply->leads || reply->term < r->term) {
        _wgro_follow_redirect(r, reply);
        return;
    }
    bool new_leader = reply->term != r->term || !r->leader_known;
    r->term = reply->term;
    r->leader_known = true;
    if (new_leader || reply->seq == 0) {
        bool leader_has_report = reply->seq > 0 && reply->report_seq > 0;
        if (!leader_has_report) {
            /* The leader has not received a full report of this router in this term. */
            r->report_full = true;
            _wgro_report_soon(r);
            return;
        }
    }
    r->applied = reply->seq;
    _wgro_apply_rows(r, reply);
    _wgro_apply_members(r, reply);
    _wgro_apply_virtual_times(r, reply);
    if (reply->report_seq >= r->full_seq) {
        _wgro_apply_slot_orders(r, reply);
    }
    if (reply->want_full) {
        _wgro_end_slot_leases(r);
        _wgro_report_soon(r);
        return;
    }
    r->slot_lease_until = reply->echo + reply->slot_lease;
    wgp_set_lease(r->place, r->slot_lease_until);
    if (r->table_complete) {
        r->table_lease_until = MAX(r->table_lease_until, reply->echo + reply->table_lease);
    } else {
        _wgro_report_soon(r); /* the reply carries the next rows */
    }
    _wgro_dispatch(r);
}

/* ---- callbacks of the link ----------------------------------------------------------------- */

static void _wgro_resend_ends(wgro_router* r) {
    GHashTableIter iter;
    gpointer ticket;
    gpointer packed;
    g_hash_table_iter_init(&iter, r->claim_ends);
    while (g_hash_table_iter_next(&iter, &ticket, &packed)) {
        GByteArray* bytes = packed;
        Wgpb__ClaimAsk* ask = wgpb__claim_ask__unpack(NULL, bytes->len, bytes->data);
        wgn_send(r->net, r->link, WGW_TYPE_CLAIM_ASK, &ask->base);
        wgpb__claim_ask__free_unpacked(ask, NULL);
    }
}

static void _wgro_resend_claims(wgro_router* r) {
    for (int i = 0; i < r->calls_pool.capacity; i++) {
        _wgro_call_t* call = r->calls_pool.taken[i] ? &r->calls[i] : NULL;
        if (call && call->machine.state == WGC_STATE_CLAIMING) {
            _wgro_request_claim(r, call);
        }
    }
}

static void _wgro_on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    wgro_router* r = user_data;
    if (link.id != r->link.id || peer->role != WGW_ROLE_CONTROL) {
        wgn_close(r->net, link);
        return;
    }
    wg_log(WG_EVENT_LINK_UP, "peer=%s", peer->name);
    r->link_up = true;
    r->link_since = wg_now();
    r->last_reply_at = r->link_since;
    r->applied = 0;
    r->report_full = true;
    _wgro_send_report(r, wg_now());
    _wgro_resend_ends(r);
    _wgro_resend_claims(r);
}

static void _wgro_on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    wgro_router* r = user_data;
    if (link.id != r->link.id) {
        return;
    }
    if (peer && r->leader_known) {
        wg_log(WG_EVENT_LINK_DOWN, "peer=%s", peer->name);
    }
    r->link = (wgn_link){0};
    r->link_up = false;
    r->leader_known = false;
}

static void _wgro_on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    wgro_router* r = user_data;
    if (link.id != r->link.id) {
        return;
    }
    if (frame->type == WGW_TYPE_REPLY) {
        Wgpb__Reply* reply = wgpb__reply__unpack(NULL, frame->size, frame->payload);
        if (reply) {
            _wgro_apply_reply(r, reply);
            wgpb__reply__free_unpacked(reply, NULL);
        }
    } else if (frame->type == WGW_TYPE_ROW_ANSWER) {
        Wgpb__RowAnswer* answer = wgpb__row_answer__unpack(NULL, frame->size, frame->payload);
        wgt_row row;
        if (answer && answer->row && wgt_row_unpack(answer->row, &row)) {
            wgt_put(r->table, &row);
        }
        if (answer) {
            _wgro_on_row_answer(r, answer->ticket, (int)answer->outcome);
            wgpb__row_answer__free_unpacked(answer, NULL);
        }
    } else if (frame->type == WGW_TYPE_CLAIM_ANSWER) {
        Wgpb__ClaimAnswer* answer = wgpb__claim_answer__unpack(NULL, frame->size, frame->payload);
        if (answer && !g_hash_table_remove(r->claim_ends, &answer->ticket)) {
            _wgro_on_claim_answer(r, answer->ticket, (int)answer->outcome, answer->end);
        }
        if (answer) {
            wgpb__claim_answer__free_unpacked(answer, NULL);
        }
    }
}

/* ---- internal functions -------------------------------------------------------------------- */

bool _wgro_link_setup(wgro_router* r, GError** error) {
    for (int i = 0; r->settings->controls[i]; i++) {
        const char* at = strchr(r->settings->controls[i], '@');
        const char* address = at ? at + 1 : r->settings->controls[i];
        struct sockaddr_storage storage;
        int size;
        if (!wgn_parse_address(address, &storage, &size) || r->controls_num == _WGRO_CONTROLS_MAX) {
            g_set_error(error, WG_ERROR, WG_ERROR_INVALID,
                        "[router] controls: \"%s\" is not name@ip:port, or more than %d are listed",
                        r->settings->controls[i], _WGRO_CONTROLS_MAX);
            return false;
        }
        wg_copy_name(r->controls[r->controls_num++].address, WG_ADDRESS_MAX, address);
    }
    if (r->controls_num == 0) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID,
                    "[router] controls: at least one control is required");
        return false;
    }
    wgn_peer self = {.role = WGW_ROLE_ROUTER, .incarnation = r->incarnation};
    if (!wg_copy_name(self.name, sizeof self.name, r->settings->name) ||
        !wg_copy_name(self.address, sizeof self.address, r->callers_address) ||
        !wg_copy_name(self.data_centre, sizeof self.data_centre, r->settings->data_centre)) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID,
                    "[router] name, callers_address or data_centre is too long");
        return false;
    }
    r->control_next = (int)(wg_jitter(r->seed, r->counter++) % (uint64_t)r->controls_num);
    r->claim_ends = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                          (GDestroyNotify)g_byte_array_unref);
    r->held_reported = g_hash_table_new(g_direct_hash, g_direct_equal);
    r->net = wgn_setup(&(wgn_desc){.base = r->base,
                                   .fleet_key = r->settings->fleet_key,
                                   .self = self,
                                   .links_max = 16,
                                   .on_up = _wgro_on_up,
                                   .on_frame = _wgro_on_frame,
                                   .on_down = _wgro_on_down,
                                   .user_data = r},
                       error);
    return r->net != NULL;
}

static void _wgro_dial(wgro_router* r, wg_time now) {
    r->dial_at = now + _WGRO_DIAL_GAP + wg_jitter_range(r->seed, r->counter++, 0, _WGRO_DIAL_GAP);
    r->link_since = now;
    if (r->dial_address[0]) {
        r->link = wgn_dial(r->net, r->dial_address);
        r->dial_address[0] = 0;
        return;
    }
    r->control_next = (r->control_next + 1) % r->controls_num;
    r->link = wgn_dial(r->net, r->controls[r->control_next].address);
}

void _wgro_link_tick(wgro_router* r, wg_time now) {
    if (r->slot_lease_until > 0 && now >= r->slot_lease_until) {
        _wgro_end_slot_leases(r);
    }
    if (r->link.id == 0) {
        if (now >= r->dial_at) {
            _wgro_dial(r, now);
        }
        return;
    }
    bool unresponsive = now - MAX(r->last_reply_at, r->link_since) > _WGRO_REPLY_DEADLINE;
    if (unresponsive) {
        wgn_close(r->net, r->link);
        return;
    }
    if (!r->link_up) {
        return;
    }
    if (r->report_full || wgf_pacer_due(&r->pacer, now, _wgro_link_bytes(r))) {
        _wgro_send_report(r, now);
    }
}

void _wgro_report_soon(wgro_router* r) {
    wgf_pacer_request(&r->pacer);
    if (r->link_up) {
        _wgro_link_tick(r, wg_now());
    }
}

bool _wgro_query_row(wgro_router* r, uint64_t ticket, const uint8_t* key_hash) {
    Wgpb__RowQuery query = WGPB__ROW_QUERY__INIT;
    query.ticket = ticket;
    query.key_hash = (ProtobufCBinaryData){WG_KEY_HASH_SIZE, (uint8_t*)key_hash};
    r->counters.row_queries++;
    return r->link_up && wgn_send(r->net, r->link, WGW_TYPE_ROW_QUERY, &query.base);
}

static const char* _wgro_workspace_name(wgro_router* r, const _wgro_call_t* call) {
    const wgt_row* row = wgt_find_id(r->table, call->workspace);
    return row ? row->name : "";
}

bool _wgro_request_claim(wgro_router* r, _wgro_call_t* call) {
    Wgpb__Claim claim = WGPB__CLAIM__INIT;
    claim.workspace = (char*)_wgro_workspace_name(r, call);
    claim.key = (ProtobufCBinaryData){WGK_KEY_SIZE, call->key};
    claim.attempt = call->claim_attempt;
    Wgpb__ClaimAsk ask = WGPB__CLAIM_ASK__INIT;
    ask.ticket = call->claim_ticket;
    ask.claim = &claim;
    return r->link_up && wgn_send(r->net, r->link, WGW_TYPE_CLAIM_ASK, &ask.base);
}

void _wgro_end_claim(wgro_router* r, _wgro_call_t* call, wg_verdict verdict, int status,
                     const char* type, struct evbuffer* body) {
    Wgpb__ClaimEnd end = WGPB__CLAIM_END__INIT;
    end.workspace = (char*)_wgro_workspace_name(r, call);
    end.key = (ProtobufCBinaryData){WGK_KEY_SIZE, call->key};
    end.attempt = call->claim_attempt;
    end.verdict = verdict;
    end.status = (uint32_t)status;
    end.content_type = (char*)(type ? type : "");
    size_t size = body ? evbuffer_get_length(body) : 0;
    if (size > 0 && size <= WGK_BODY_MAX) {
        end.body = (ProtobufCBinaryData){size, evbuffer_pullup(body, -1)};
    }
    Wgpb__ClaimAsk ask = WGPB__CLAIM_ASK__INIT;
    ask.ticket = ++r->counter;
    ask.end = &end;
    uint64_t* ticket = g_new(uint64_t, 1);
    *ticket = ask.ticket;
    g_hash_table_insert(r->claim_ends, ticket, wgw_pack(&ask.base));
    wgn_send(r->net, r->link, WGW_TYPE_CLAIM_ASK, &ask.base);
}
