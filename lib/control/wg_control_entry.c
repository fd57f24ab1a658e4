/* wg_control_entry.c -- the leader's work for entry hosts that serve routes

   Configurations and changes of targets are agreed on in the replicated log and pushed to every
   entry host as they are applied. Loads, usage and the list of entry hosts are the leader's own,
   put together again from their reports by each new leader. */
#include "wg_control_internal.h"

#include <math.h>
#include <string.h>

enum {
    WG_REPORT_MS_MIN = 100,
    WG_REPORT_MS_PER_ENTRY = 2, /* more entry hosts report less often */
    /* A new leader tells of members only once all that are up could report to it. */
    WG_MEMBERS_SETTLE = 1500 * WG_USEC_PER_MSEC,
    WG_MEMBER_GONE = 1500 * WG_USEC_PER_MSEC,
    WG_USAGE_HALF_LIFE = 1200 * WG_USEC_PER_MSEC
};

/* ---- helpers: entry hosts ------------------------------------------------------------------ */

static void _wgco_entry_free(void* data) {
    _wgco_entry_t* e = data;
    g_hash_table_unref(e->loads);
    g_hash_table_unref(e->usage);
    g_free(e);
}

static _wgco_entry_t* _wgco_entry_of(const wgco_control* c, wgn_link link) {
    return g_hash_table_lookup(c->entries, GUINT_TO_POINTER(link.id));
}

static void _wgco_add_load(wgco_control* c, const Wgpb__TargetLoad* load, int sign) {
    Wgpb__TargetLoad* total = g_hash_table_lookup(c->load_totals, GUINT_TO_POINTER(load->target));
    if (!total) {
        total = g_new(Wgpb__TargetLoad, 1);
        wgpb__target_load__init(total);
        total->target = load->target;
        g_hash_table_insert(c->load_totals, GUINT_TO_POINTER(load->target), total);
    }
    WG_ASSERT(sign > 0 || (total->unread >= load->unread && total->running >= load->running));
    total->unread += (uint32_t)sign * load->unread;
    total->running += (uint32_t)sign * load->running;
    if (total->unread == 0 && total->running == 0) {
        g_hash_table_remove(c->load_totals, GUINT_TO_POINTER(load->target));
    }
}

static void _wgco_forget_loads(wgco_control* c, _wgco_entry_t* e) {
    GHashTableIter iter;
    gpointer load;
    g_hash_table_iter_init(&iter, e->loads);
    while (g_hash_table_iter_next(&iter, NULL, &load)) {
        _wgco_add_load(c, load, -1);
    }
    g_hash_table_remove_all(e->loads);
}

static void _wgco_take_loads(wgco_control* c, _wgco_entry_t* e, const Wgpb__EntryReport* in) {
    _wgco_forget_loads(c, e);
    for (size_t i = 0; i < in->n_loads; i++) {
        gpointer key = GUINT_TO_POINTER(in->loads[i]->target);
        if (g_hash_table_contains(e->loads, key)) {
            continue; /* named twice: the first one counts */
        }
        Wgpb__TargetLoad* load = g_new(Wgpb__TargetLoad, 1);
        wgpb__target_load__init(load);
        load->target = in->loads[i]->target;
        load->unread = in->loads[i]->unread;
        load->running = in->loads[i]->running;
        g_hash_table_insert(e->loads, key, load);
        _wgco_add_load(c, load, 1);
    }
}

/* ---- helpers: usage ------------------------------------------------------------------------ */

static void _wgco_decay_usage(wgco_control* c, wg_time now) {
    double keep = exp2(-(double)(now - c->usage_at) / WG_USAGE_HALF_LIFE);
    c->usage_at = now;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->usage);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wgco_usage_t* usage = value;
        usage->tokens *= keep;
        usage->asked *= keep;
        if (usage->asked < 1) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void _wgco_add_usage(wgco_control* c, uint64_t workspace, uint64_t tokens, uint64_t asked) {
    _wgco_usage_t* usage = g_hash_table_lookup(c->usage, &workspace);
    if (!usage) {
        usage = g_new0(_wgco_usage_t, 1);
        usage->workspace = workspace;
        g_hash_table_insert(c->usage, &usage->workspace, usage);
    }
    usage->tokens += (double)tokens;
    usage->asked += (double)asked;
}

static void _wgco_take_usage(wgco_control* c, _wgco_entry_t* e, const Wgpb__EntryReport* in) {
    for (size_t i = 0; i < in->n_usage; i++) {
        const Wgpb__WorkspaceUsage* now = in->usage[i];
        uint64_t workspace = now->workspace;
        _wgco_reported_t* before = g_hash_table_lookup(e->usage, &workspace);
        if (!before) {
            /* What it served before it came to this leader is past. */
            before = g_new0(_wgco_reported_t, 1);
            before->workspace = workspace;
            g_hash_table_insert(e->usage, &before->workspace, before);
        } else if (now->tokens >= before->tokens && now->asked >= before->asked) {
            _wgco_add_usage(c, workspace, now->tokens - before->tokens, now->asked - before->asked);
        }
        before->tokens = now->tokens;
        before->asked = now->asked;
    }
}

/* ---- helpers: members ---------------------------------------------------------------------- */

static _wgco_member_t* _wgco_member_find(const wgco_control* c, const char* name, guint* at) {
    for (guint i = 0; i < c->members_listed->len; i++) {
        _wgco_member_t* member = c->members_listed->pdata[i];
        if (strcmp(member->name, name) == 0) {
            *at = i;
            return member;
        }
    }
    return NULL;
}

static void _wgco_member_drop(wgco_control* c, guint at, wg_event event) {
    const _wgco_member_t* member = c->members_listed->pdata[at];
    wg_log(event, "entry=%s", member->name);
    g_ptr_array_remove_index(c->members_listed, at);
    c->members_change++;
}

static void _wgco_entry_hear_member(wgco_control* c, const _wgco_entry_t* e, wg_time now) {
    guint at = 0;
    _wgco_member_t* member = _wgco_member_find(c, e->name, &at);
    bool listed = e->ready && !e->leaving;
    if (member && !listed) {
        _wgco_member_drop(c, at, WG_EVENT_MEMBER_LEAVING);
    } else if (member) {
        member->heard_at = now;
    } else if (listed) {
        member = g_new0(_wgco_member_t, 1);
        wg_copy_name(member->name, sizeof member->name, e->name);
        wg_copy_name(member->address, sizeof member->address, e->address);
        wg_copy_name(member->data_centre, sizeof member->data_centre, e->data_centre);
        member->heard_at = now;
        g_ptr_array_add(c->members_listed, member);
        c->members_change++;
        wg_log(WG_EVENT_MEMBER_UP, "entry=%s", e->name);
    }
}

static void _wgco_drop_silent_members(wgco_control* c, wg_time now) {
    for (guint i = c->members_listed->len; i > 0; i--) {
        const _wgco_member_t* member = c->members_listed->pdata[i - 1];
        if (now - member->heard_at > WG_MEMBER_GONE) {
            _wgco_member_drop(c, i - 1, WG_EVENT_MEMBER_GONE);
        }
    }
}

/* ---- helpers: states ----------------------------------------------------------------------- */

/* Everything that an EntryState points to; freed as one after it was sent. */
typedef struct {
    Wgpb__EntryState message;
    Wgpb__Configuration configuration;
    GPtrArray* targets; /* wg_target*, borrowed */
    Wgpb__TargetRecord* records;
    Wgpb__EntryMember* members;
    Wgpb__TargetLoad* loads;
    Wgpb__WorkspaceUsage* usage;
} _wgco_state_t;

static void _wgco_fill_configuration(wgco_control* c, _wgco_entry_t* e, _wgco_state_t* s) {
    s->message.configuration_version = c->configuration_version;
    if (!c->configuration || e->configuration_version >= c->configuration_version) {
        return;
    }
    gsize size;
    const void* data = g_bytes_get_data(c->configuration, &size);
    wgpb__configuration__init(&s->configuration);
    s->configuration.version = c->configuration_version;
    s->configuration.document = (ProtobufCBinaryData){size, (uint8_t*)data};
    s->message.configuration = &s->configuration;
    e->configuration_version = c->configuration_version;
}

static void _wgco_fill_targets(wgco_control* c, _wgco_entry_t* e, _wgco_state_t* s) {
    bool reset = false;
    s->message.registry_change = wg_registry_change(c->registry);
    if (e->registry_change == s->message.registry_change) {
        return;
    }
    s->targets = wg_registry_changes(c->registry, e->registry_change, &reset);
    s->message.registry_reset = reset;
    s->records = g_new(Wgpb__TargetRecord, s->targets->len + 1);
    s->message.targets = g_new(Wgpb__TargetRecord*, s->targets->len + 1);
    for (guint i = 0; i < s->targets->len; i++) {
        wg_target_pack(s->targets->pdata[i], &s->records[i]);
        s->message.targets[s->message.n_targets++] = &s->records[i];
    }
    e->registry_change = s->message.registry_change;
}

static void _wgco_entry_fill_members(wgco_control* c, _wgco_entry_t* e, _wgco_state_t* s,
                                     wg_time now) {
    bool settling = now - c->led_since < WG_MEMBERS_SETTLE;
    s->message.members_num = c->members_listed->len;
    s->message.members_change = e->members_change;
    if (e->members_change == c->members_change || (settling && !e->knows_no_members)) {
        return;
    }
    s->members = g_new(Wgpb__EntryMember, c->members_listed->len + 1);
    s->message.members = g_new(Wgpb__EntryMember*, c->members_listed->len + 1);
    for (guint i = 0; i < c->members_listed->len; i++) {
        _wgco_member_t* member = c->members_listed->pdata[i];
        wgpb__entry_member__init(&s->members[i]);
        s->members[i].name = member->name;
        s->members[i].address = member->address;
        s->members[i].data_centre = member->data_centre;
        s->message.members[s->message.n_members++] = &s->members[i];
    }
    e->members_change = c->members_change;
    s->message.members_change = c->members_change;
}

/* Loads of all others: what the host itself reported is taken off. */
static void _wgco_fill_loads(wgco_control* c, const _wgco_entry_t* e, _wgco_state_t* s) {
    guint num = g_hash_table_size(c->load_totals);
    s->loads = g_new(Wgpb__TargetLoad, num + 1);
    s->message.loads = g_new(Wgpb__TargetLoad*, num + 1);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->load_totals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Wgpb__TargetLoad* total = value;
        const Wgpb__TargetLoad* own =
            g_hash_table_lookup(e->loads, GUINT_TO_POINTER(total->target));
        Wgpb__TargetLoad* out = &s->loads[s->message.n_loads];
        wgpb__target_load__init(out);
        out->target = total->target;
        out->unread = total->unread - (own ? own->unread : 0);
        out->running = total->running - (own ? own->running : 0);
        if (out->unread || out->running) {
            s->message.loads[s->message.n_loads++] = out;
        }
    }
}

static void _wgco_fill_usage(wgco_control* c, _wgco_state_t* s, wg_time now) {
    _wgco_decay_usage(c, now);
    guint num = g_hash_table_size(c->usage);
    s->usage = g_new(Wgpb__WorkspaceUsage, num + 1);
    s->message.usage = g_new(Wgpb__WorkspaceUsage*, num + 1);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->usage);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _wgco_usage_t* usage = value;
        Wgpb__WorkspaceUsage* out = &s->usage[s->message.n_usage];
        wgpb__workspace_usage__init(out);
        out->workspace = usage->workspace;
        out->tokens = (uint64_t)usage->tokens;
        out->asked = (uint64_t)usage->asked;
        s->message.usage[s->message.n_usage++] = out;
    }
}

static void _wgco_state_clear(_wgco_state_t* s) {
    if (s->targets) {
        g_ptr_array_unref(s->targets);
    }
    g_free(s->records);
    g_free(s->message.targets);
    g_free(s->members);
    g_free(s->message.members);
    g_free(s->loads);
    g_free(s->message.loads);
    g_free(s->usage);
    g_free(s->message.usage);
}

static void _wgco_send_state(wgco_control* c, _wgco_entry_t* e, bool with_loads) {
    wg_time now = wg_now();
    _wgco_state_t s = {0};
    wgpb__entry_state__init(&s.message);
    wgr_stats stats = wgr_query_stats(c->node, now);
    const wgr_set* set = wgr_query_set(c->node);
    char* controls[WGR_REPLICAS_MAX];
    s.message.term = stats.term;
    s.message.leader_address = (char*)_wgco_leader_address(c);
    s.message.leads = c->leads && wgr_leads(c->node, now);
    s.message.report_ms =
        MAX(WG_REPORT_MS_MIN, WG_REPORT_MS_PER_ENTRY * g_hash_table_size(c->entries));
    if (!e->reported || !s.message.leads) {
        for (int i = 0; i < set->num; i++) {
            controls[s.message.n_controls++] = (char*)set->replicas[i].address;
        }
        s.message.controls = controls;
    }
    if (s.message.leads && e->reported) {
        _wgco_fill_configuration(c, e, &s);
        _wgco_fill_targets(c, e, &s);
        _wgco_entry_fill_members(c, e, &s, now);
        if (with_loads) {
            _wgco_fill_loads(c, e, &s);
            _wgco_fill_usage(c, &s, now);
            for (int i = 0; i < set->num; i++) {
                controls[i] = (char*)set->replicas[i].address;
            }
            s.message.controls = controls;
            s.message.n_controls = (size_t)set->num;
        }
    }
    wgn_send(c->net, e->link, WGW_TYPE_ENTRY_STATE, &s.message.base);
    _wgco_state_clear(&s);
}

/* ---- functions of the library: links ------------------------------------------------------- */

void _wgco_entry_setup(wgco_control* c) {
    c->entries = g_hash_table_new_full(NULL, NULL, NULL, _wgco_entry_free);
    c->members_listed = g_ptr_array_new_with_free_func(g_free);
    c->load_totals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    c->usage = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void _wgco_entry_shutdown(wgco_control* c) {
    g_clear_pointer(&c->entries, g_hash_table_unref);
    g_clear_pointer(&c->members_listed, g_ptr_array_unref);
    g_clear_pointer(&c->load_totals, g_hash_table_unref);
    g_clear_pointer(&c->usage, g_hash_table_unref);
    g_clear_pointer(&c->registry, wg_registry_shutdown);
    g_clear_pointer(&c->configuration, g_bytes_unref);
    c->configuration_version = 0;
}

void _wgco_entry_up(wgco_control* c, wgn_link link, const wgn_peer* peer) {
    _wgco_entry_t* e = g_new0(_wgco_entry_t, 1);
    e->link = link;
    wg_copy_name(e->name, sizeof e->name, peer->name);
    wg_copy_name(e->address, sizeof e->address, peer->address);
    wg_copy_name(e->data_centre, sizeof e->data_centre, peer->data_centre);
    e->loads = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    e->usage = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_hash_table_insert(c->entries, GUINT_TO_POINTER(link.id), e);
}

void _wgco_entry_down(wgco_control* c, wgn_link link) {
    _wgco_entry_t* e = _wgco_entry_of(c, link);
    if (e) {
        _wgco_forget_loads(c, e);
        g_hash_table_remove(c->entries, GUINT_TO_POINTER(link.id));
    }
}

/* A host has come: those that started with it wait for it. */
static void _wgco_push_members(wgco_control* c, const _wgco_entry_t* but) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wgco_entry_t* e = value;
        bool settling = wg_now() - c->led_since < WG_MEMBERS_SETTLE;
        if (e != but && e->reported && e->knows_no_members && settling) {
            _wgco_send_state(c, e, false);
        }
    }
}

void _wgco_entry_take_report(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    _wgco_entry_t* e = _wgco_entry_of(c, link);
    Wgpb__EntryReport* in =
        e ? wgpb__entry_report__unpack(NULL, frame->size, frame->payload) : NULL;
    if (!in) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=entry-report");
        return;
    }
    e->knows_no_members = e->knows_no_members || (!e->reported && in->members_change == 0);
    e->reported = true;
    e->configuration_version = in->configuration_version;
    e->registry_change = in->registry_change;
    e->members_change = in->members_change;
    e->ready = in->ready;
    e->leaving = in->leaving;
    _wgco_take_loads(c, e, in);
    _wgco_take_usage(c, e, in);
    uint64_t members_before = c->members_change;
    if (c->leads) {
        _wgco_entry_hear_member(c, e, wg_now());
    }
    wgpb__entry_report__free_unpacked(in, NULL);
    _wgco_send_state(c, e, true);
    if (c->members_change != members_before) {
        _wgco_push_members(c, e);
    }
}

static void _wgco_send_states(wgco_control* c) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wgco_entry_t* e = value;
        if (e->reported) {
            _wgco_send_state(c, e, false);
        }
    }
}

void _wgco_entry_push(wgco_control* c) {
    if (c->leads) {
        _wgco_send_states(c);
    }
}

void _wgco_entry_redirect(wgco_control* c) {
    _wgco_send_states(c);
}

/* ---- functions of the library: orders ------------------------------------------------------ */

static void _wgco_answer_order(wgco_control* c, wgn_link link, uint64_t ticket,
                               wg_order_outcome outcome) {
    Wgpb__OrderAnswer answer = WGPB__ORDER_ANSWER__INIT;
    answer.ticket = ticket;
    answer.outcome = outcome;
    wgn_send(c->net, link, WGW_TYPE_ORDER_ANSWER, &answer.base);
}

static void _wgco_answer_read(wgco_control* c, wgn_link link, uint64_t ticket) {
    if (!c->configuration) {
        _wgco_answer_order(c, link, ticket, WG_ORDER_NOTHING);
        return;
    }
    gsize size;
    const void* data = g_bytes_get_data(c->configuration, &size);
    Wgpb__Configuration configuration = WGPB__CONFIGURATION__INIT;
    Wgpb__OrderAnswer answer = WGPB__ORDER_ANSWER__INIT;
    configuration.version = c->configuration_version;
    configuration.document = (ProtobufCBinaryData){size, (uint8_t*)data};
    answer.ticket = ticket;
    answer.outcome = WG_ORDER_DONE;
    answer.configuration = &configuration;
    wgn_send(c->net, link, WGW_TYPE_ORDER_ANSWER, &answer.base);
}

static void _wgco_propose_order(wgco_control* c, wgn_link link, uint64_t ticket,
                                const Wgpb__Command* command) {
    _wgco_waiter_t* waiter = g_new0(_wgco_waiter_t, 1);
    waiter->link = link;
    waiter->ticket = ticket;
    waiter->order = true;
    if (!_wgco_propose(c, &command->base, waiter)) {
        _wgco_answer_order(c, link, ticket, WG_ORDER_NOT_LEADER);
    }
}

static void _wgco_order_configuration(wgco_control* c, wgn_link link, const Wgpb__Order* in) {
    if (in->configuration->version <= c->configuration_version) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_DONE);
        return;
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    command.configuration = in->configuration;
    _wgco_propose_order(c, link, in->ticket, &command);
}

static void _wgco_order_target(wgco_control* c, wgn_link link, const Wgpb__Order* in) {
    wg_target heard;
    if (!wg_target_unpack(in->target, &heard)) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_INVALID);
        return;
    }
    if (wg_registry_hear(c->registry, wg_now(), &heard) != WG_HEARD_CHANGE) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_DONE);
        return;
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    command.target = in->target;
    _wgco_propose_order(c, link, in->ticket, &command);
}

void _wgco_entry_take_order(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    Wgpb__Order* in = wgpb__order__unpack(NULL, frame->size, frame->payload);
    if (!in) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=order");
        return;
    }
    if (!c->leads || !wgr_leads(c->node, wg_now())) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_NOT_LEADER);
    } else if (in->read_configuration) {
        _wgco_answer_read(c, link, in->ticket);
    } else if (in->configuration) {
        _wgco_order_configuration(c, link, in);
    } else if (in->target) {
        _wgco_order_target(c, link, in);
    } else {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_INVALID);
    }
    wgpb__order__free_unpacked(in, NULL);
}

void _wgco_entry_answer(wgco_control* c, const _wgco_waiter_t* waiter, bool agreed) {
    _wgco_answer_order(c, waiter->link, waiter->ticket, agreed ? WG_ORDER_DONE : WG_ORDER_UNKNOWN);
}

void _wgco_entry_apply_configuration(wgco_control* c, const Wgpb__Configuration* in) {
    if (in->version <= c->configuration_version) {
        return;
    }
    if (c->configuration) {
        g_bytes_unref(c->configuration);
    }
    c->configuration = g_bytes_new(in->document.data, in->document.len);
    c->configuration_version = in->version;
    wg_log(WG_EVENT_CONFIGURATION_AGREED, "version=%" G_GUINT64_FORMAT " bytes=%zu", in->version,
           in->document.len);
    _wgco_entry_push(c);
}

void _wgco_entry_apply_target(wgco_control* c, const Wgpb__TargetRecord* in) {
    wg_target record;
    uint64_t before = wg_registry_change(c->registry);
    if (!wg_target_unpack(in, &record)) {
        return;
    }
    wg_registry_apply(c->registry, wg_now(), &record);
    if (wg_registry_change(c->registry) != before) {
        wg_log(WG_EVENT_TARGET_AGREED, "target=%s address=%s state=%d sequence=%" G_GUINT64_FORMAT,
               record.id, record.address, record.state, record.sequence);
        _wgco_entry_push(c);
    }
}

/* ---- functions of the library: leadership -------------------------------------------------- */

void _wgco_entry_lead_begin(wgco_control* c, wg_time now) {
    c->led_since = now;
    c->usage_at = now;
    c->members_change += 1 + (uint64_t)(now & 0xffff); /* no copy of another leader's is current */
    g_ptr_array_set_size(c->members_listed, 0);
    g_hash_table_remove_all(c->usage);
    wg_registry_hear_all(c->registry, now);
    _wgco_entry_push(c);
}

void _wgco_entry_lead_end(wgco_control* c) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wgco_send_state(c, value, false);
    }
}

void _wgco_entry_tick(wgco_control* c, wg_time now) {
    _wgco_drop_silent_members(c, now);
    const wg_target* silent =
        wg_registry_silent(c->registry, now, c->settings->target_silent_ms * WG_USEC_PER_MSEC);
    if (!silent) {
        return;
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    Wgpb__TargetRecord record;
    wg_target copy = *silent;
    copy.state = WG_TARGET_SILENT;
    wg_target_pack(&copy, &record);
    command.target = &record;
    wg_registry_note_asked(c->registry, copy.number, now);
    _wgco_propose(c, &command.base, NULL);
}
