/* wg_control_entry.c -- the leader's state for entry hosts

   Configurations and target changes are committed in the replicated log and pushed to every entry
   host once applied. Loads, usage and the roster of entry hosts are not replicated: each new leader
   rebuilds them from the hosts' reports.

   A host receives the changes since the versions it holds. Whatever was sent on a link counts as
   held: links preserve order, and a host that cannot apply a message closes the link and
   reconnects. */
#include "wg_contact.h"
#include "wg_control_internal.h"

#include <string.h>

enum {
    /* Interval between pushes per connected entry host, so that changes made together are sent
       together. At 300 hosts this is 30 ms, short compared to the seconds within which a change has
       to be in force. */
    WG_PUSH_INTERVAL_PER_ENTRY = 100 /* microseconds */
};

/* ---- helpers: entry hosts ------------------------------------------------------------------ */

static void _wgco_entry_free(void* data) {
    _wgco_entry_t* e = data;
    g_hash_table_unref(e->loads);
    g_hash_table_unref(e->usage);
    g_free(e);
}

static _wgco_entry_t* _wgco_find_entry(const wgco_control* c, wgn_link link) {
    return g_hash_table_lookup(c->entries, GUINT_TO_POINTER(link.id));
}

/* ---- helpers: members ---------------------------------------------------------------------- */

static void _wgco_update_member(wgco_control* c, const _wgco_entry_t* e, wg_time now) {
    if (!e->ready || e->leaving) {
        if (wg_roster_leave(c->roster, e->name)) {
            wg_log(WG_EVENT_MEMBER_LEAVING, "entry=%s", e->name);
            _wgco_entry_schedule_push(c);
        }
        return;
    }
    wg_roster_host host = {0};
    wg_copy_name(host.name, sizeof host.name, e->name);
    wg_copy_name(host.address, sizeof host.address, e->address);
    wg_copy_name(host.data_centre, sizeof host.data_centre, e->data_centre);
    if (wg_roster_record_report(c->roster, now, &host)) {
        wg_log(WG_EVENT_MEMBER_UP, "entry=%s", e->name);
        _wgco_entry_schedule_push(c);
    }
}

wg_time _wgco_report_interval(const wgco_control* c) {
    return wg_contact_report_interval((int)g_hash_table_size(c->entries));
}

static void _wgco_remove_unresponsive_members(wgco_control* c, wg_time now) {
    char name[WG_NAME_MAX];
    wg_time timeout = wg_contact_host_timeout(_wgco_report_interval(c));
    while (wg_roster_remove_unresponsive(c->roster, now, timeout, name)) {
        wg_log(WG_EVENT_MEMBER_GONE, "entry=%s", name);
        _wgco_entry_schedule_push(c);
    }
}

/* ---- helpers: states ----------------------------------------------------------------------- */

static void _wgco_send_configuration(wgco_control* c, _wgco_entry_t* e) {
    wgn_frame* frame = _wgco_documents_frame(&c->documents, e->configuration_version);
    if (frame && wgn_send_frame(c->net, e->link, frame)) {
        e->configuration_version = c->documents.version;
    }
}

/* Sends a state and records what the host then holds. */
static void _wgco_send_frame(wgco_control* c, _wgco_entry_t* e, wgn_frame* state, uint64_t seq,
                             _wgco_content content, wg_time now) {
    bool leads = c->leads && wgr_leads(c->node, now) && e->reported;
    bool sends_state = leads || _wgco_serves_standby(c, e, now);
    if (sends_state) {
        _wgco_send_configuration(c, e);
    }
    if (!wgn_send_frame(c->net, e->link, state)) {
        return;
    }
    c->states_sent++;
    e->state_seq = seq;
    if (sends_state) {
        e->registry_change = wg_registry_change(c->registry);
        e->quarantine_change = wg_quarantine_change(c->quarantine);
    }
    if (leads && content != _WGCO_CONTENT_TARGETS && _wgco_sends_members(c, e, now)) {
        e->roster_change = wg_roster_change(c->roster);
    }
}

static void _wgco_send_shared_state(wgco_control* c, _wgco_entry_t* e, _wgco_content content,
                                    wg_time now) {
    const _wgco_shared_state_t* shared = _wgco_shared_state(c, e, content, now);
    _wgco_send_frame(c, e, shared->frame, shared->seq, content, now);
}

/* Changes of targets go first, in a state that is shared: after a restart of the fleet all hosts
   lack all targets. */
static void _wgco_answer_report(wgco_control* c, _wgco_entry_t* e) {
    wg_time now = wg_now();
    bool leads = c->leads && wgr_leads(c->node, now);
    if (leads && e->registry_change != wg_registry_change(c->registry)) {
        _wgco_send_shared_state(c, e, _WGCO_CONTENT_TARGETS, now);
    }
    c->state_seq++;
    wgn_frame* state = _wgco_pack_entry_state(c, e, _WGCO_CONTENT_ANSWER, now);
    _wgco_send_frame(c, e, state, c->state_seq, _WGCO_CONTENT_ANSWER, now);
    wgn_frame_unref(state);
}

/* ---- helpers: pushes ----------------------------------------------------------------------- */

static bool _wgco_is_outdated(const wgco_control* c, const _wgco_entry_t* e, wg_time now) {
    return e->configuration_version < c->documents.version ||
           e->registry_change != wg_registry_change(c->registry) ||
           e->quarantine_change != wg_quarantine_change(c->quarantine) ||
           _wgco_sends_members(c, e, now);
}

/* Sends each entry host the state it lacks; with `all`, also notifies up-to-date hosts of the
   leader. */
static void _wgco_push(wgco_control* c, bool all) {
    wg_time now = wg_now();
    GHashTableIter iter;
    gpointer value;
    c->push_due = false;
    c->pushed_at = now;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wgco_entry_t* e = value;
        if (e->reported && (all || _wgco_is_outdated(c, e, now))) {
            _wgco_send_shared_state(c, e, _WGCO_CONTENT_CHANGES, now);
        }
    }
}

static void _wgco_push_if_due(wgco_control* c, wg_time now) {
    wg_time gap = WG_PUSH_INTERVAL_PER_ENTRY * (wg_time)g_hash_table_size(c->entries);
    if (c->push_due && now >= c->pushed_at + gap) {
        _wgco_push(c, false);
    }
}

/* ---- functions of the library: links ------------------------------------------------------- */

void _wgco_entry_setup(wgco_control* c) {
    c->entries = g_hash_table_new_full(NULL, NULL, NULL, _wgco_entry_free);
    c->roster = wg_roster_setup();
    _wgco_documents_setup(&c->documents);
    _wgco_confirm_setup(c);
    c->load_totals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    c->loads_told = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    c->rooms = g_array_new(FALSE, FALSE, sizeof(_wgco_room_t));
    c->usage = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void _wgco_entry_shutdown(wgco_control* c) {
    g_clear_pointer(&c->entries, g_hash_table_unref);
    g_clear_pointer(&c->roster, wg_roster_shutdown);
    _wgco_documents_clear(&c->documents);
    _wgco_confirm_shutdown(c);
    _wgco_shared_states_clear(c);
    g_clear_pointer(&c->load_totals, g_hash_table_unref);
    g_clear_pointer(&c->loads_told, g_array_unref);
    g_clear_pointer(&c->rooms, g_array_unref);
    g_clear_pointer(&c->usage, g_hash_table_unref);
    g_clear_pointer(&c->registry, wg_registry_shutdown);
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

bool _wgco_entry_down(wgco_control* c, wgn_link link) {
    _wgco_entry_t* e = _wgco_find_entry(c, link);
    bool reported = e && e->reported;
    if (e) {
        _wgco_remove_loads(c, e);
        g_hash_table_remove(c->entries, GUINT_TO_POINTER(link.id));
    }
    return reported;
}

void _wgco_entry_receive_report(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    _wgco_entry_t* e = _wgco_find_entry(c, link);
    Wgpb__EntryReport* in =
        e ? wgpb__entry_report__unpack(NULL, frame->size, frame->payload) : NULL;
    if (!in) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=entry-report");
        return;
    }
    if (_wgco_check_superseded(c, in->recovery, wgn_query_peer(c->net, link))) {
        wgpb__entry_report__free_unpacked(in, NULL);
        return;
    }
    _wgco_confirm_receive_report(c, e, in);
    e->has_no_members = e->has_no_members || (!e->reported && in->members_change == 0);
    e->reported = true;
    e->report_seq = in->seq;
    if (in->state_seen == e->state_seq) { /* otherwise a newer state is in transit */
        e->configuration_version = in->configuration_version;
        e->registry_change = in->registry_change;
        e->roster_change = in->members_change;
        e->quarantine_change = in->quarantine_change;
    }
    e->ready = in->ready;
    e->standby = in->standby;
    e->leaving = in->leaving;
    _wgco_replace_loads(c, e, in);
    _wgco_update_usage(c, e, in);
    _wgco_quarantine_receive_report(c, e, in);
    _wgco_origins_receive_report(c, in);
    if (c->leads) {
        _wgco_update_member(c, e, wg_now());
    }
    wgpb__entry_report__free_unpacked(in, NULL);
    _wgco_answer_report(c, e);
}

void _wgco_receive_leader_ask(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    Wgpb__LeaderAsk* in = wgpb__leader_ask__unpack(NULL, frame->size, frame->payload);
    if (!in) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=leader-ask");
        return;
    }
    wg_time now = wg_now();
    Wgpb__LeaderAnswer answer = WGPB__LEADER_ANSWER__INIT;
    answer.ticket = in->ticket;
    answer.leads = c->leads && wgr_leads(c->node, now);
    answer.term = wgr_query_stats(c->node, now).term;
    answer.configuration_version = c->documents.version;
    answer.registry_change = wg_registry_change(c->registry);
    answer.leader_address = (char*)_wgco_leader_address(c);
    wgn_send(c->net, link, WGW_TYPE_LEADER_ANSWER, &answer.base);
    wgpb__leader_ask__free_unpacked(in, NULL);
}

void _wgco_entry_schedule_push(wgco_control* c) {
    c->push_due = true;
}

void _wgco_entry_redirect(wgco_control* c) {
    _wgco_push(c, true);
}

/* ---- functions of the library: leadership -------------------------------------------------- */

void _wgco_entry_lead_begin(wgco_control* c, wg_time now) {
    c->led_since = now;
    c->usage_at = now;
    _wgco_rooms_lead_begin(c);
    wg_roster_begin(c->roster, wgr_query_stats(c->node, now).term);
    g_hash_table_remove_all(c->usage);
    wg_registry_reset_contacts(c->registry, now);
    _wgco_confirm_lead_begin(c, now);
    _wgco_push(c, true);
}

void _wgco_entry_lead_end(wgco_control* c) {
    _wgco_confirm_lead_end(c);
    _wgco_push(c, true);
}

void _wgco_entry_tick(wgco_control* c, wg_time now) {
    _wgco_remove_unresponsive_members(c, now);
    _wgco_quarantine_tick(c, now);
    _wgco_origins_tick(c, now);
    _wgco_confirm_tick(c, now);
    _wgco_push_if_due(c, now);
    const wg_target* unresponsive = wg_registry_find_unresponsive(
        c->registry, now, c->settings->target_silent_ms * WG_USEC_PER_MSEC);
    if (!unresponsive) {
        return;
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    Wgpb__TargetRecord record;
    wg_target copy = *unresponsive;
    copy.state = WG_TARGET_UNRESPONSIVE;
    wg_target_pack(&copy, now, &record);
    command.target = &record;
    wg_registry_record_proposal(c->registry, copy.number, now);
    _wgco_propose(c, &command.base, NULL);
}
