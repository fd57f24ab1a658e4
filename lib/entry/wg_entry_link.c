/* wg_entry_link.c -- link to the leader: fleet state, reports, redirects */
#include "wg_document.h"
#include "wg_term.h"

#include "wg_entry_internal.h"

#include <string.h>

/* Seconds of a steady rate that decayed usage amounts to: WG_USAGE_HALF_LIFE / ln 2. */
static const double WG_USAGE_SECONDS = 1.731;

enum {
    /* Minimum interval between attempts to reach a control. */
    WG_DIAL_INTERVAL = 30 * WG_USEC_PER_MSEC,
    /* Timeout of the handshake with a control, and initial report interval. */
    WG_PROOF_TIMEOUT = 350 * WG_USEC_PER_MSEC,
    /* Wait for a control without a leader to find one, before another control is dialled. Shorter
       than an election timeout, as the control may be partitioned from the others. */
    WG_LEADERLESS_TIMEOUT = 300 * WG_USEC_PER_MSEC,
    WG_LINKS_MAX = 1024, /* every entry host may connect to this one */
    WG_LOADS_MAX = 2048
};

/* ---- helpers: controls ----------------------------------------------------------------------- */

static void wg_addresses_add(wg_addresses* addresses, const char* address, uint64_t random) {
    for (int i = 0; i < addresses->num; i++) {
        if (strcmp(addresses->list[i], address) == 0) {
            return;
        }
    }
    int at = addresses->num < WG_CONTROLS_MAX ? addresses->num++ : (int)(random % WG_CONTROLS_MAX);
    wg_copy_name(addresses->list[at], WG_ADDRESS_MAX, address);
}

static void wg_entry_add_control(wg_entry* e, const char* address) {
    wg_addresses_add(&e->controls, address, ++e->counter);
}

bool wg_entry_host_address(const wg_entry* e, const char* seed, char* out, size_t size) {
    char ip[WG_ADDRESS_MAX];
    char own_ip[WG_ADDRESS_MAX];
    uint16_t port;
    uint16_t entry_port;
    if (!wgn_split_address(seed, ip, &port) ||
        !wgn_split_address(e->settings->fleet_listen, own_ip, &entry_port)) {
        return false;
    }
    g_snprintf(out, size, "%.56s:%d", ip, entry_port);
    return true;
}

bool wg_entry_add_seeds(wg_entry* e, const wg_entry_settings* settings, GError** error) {
    for (int i = 0; settings->seeds[i]; i++) {
        char ip[WG_ADDRESS_MAX];
        char address[WG_ADDRESS_MAX + 8];
        uint16_t port;
        if (!wgn_split_address(settings->seeds[i], ip, &port)) {
            g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "[entry] seeds: \"%s\" is not ip:port",
                        settings->seeds[i]);
            return false;
        }
        g_snprintf(address, sizeof address, "%s:%d", ip, (int)e->settings->fleet_port);
        wg_addresses_add(&e->seed_addresses, address, ++e->counter);
        /* An entry host at the seed's address knows controls too. */
        if (wg_entry_host_address(e, settings->seeds[i], address, sizeof address) &&
            strcmp(address, settings->fleet_listen) != 0) {
            wg_addresses_add(&e->seed_addresses, address, ++e->counter);
        }
    }
    return true;
}

/* Next address to dial: known replicas in turn, and periodically a seed, in case all known replicas
   were removed. */
static const char* wg_entry_next_address(wg_entry* e) {
    enum {
        SEEDS_EVERY = 4
    };
    int turn = e->next_control++;
    bool use_seeds = e->controls.num == 0 || (e->seed_addresses.num > 0 && turn % SEEDS_EVERY == 3);
    const wg_addresses* from = use_seeds ? &e->seed_addresses : &e->controls;
    return from->num ? from->list[(use_seeds ? e->next_seed++ : turn) % from->num] : NULL;
}

static void wg_entry_dial(wg_entry* e, wg_time now) {
    if (e->link.id || now < e->dial_at) {
        return;
    }
    const char* address = e->dial_address[0] ? e->dial_address : wg_entry_next_address(e);
    if (!address) {
        return;
    }
    e->link = wgn_dial(e->net, address);
    e->dial_address[0] = 0;
    e->dial_at = now + WG_DIAL_INTERVAL;
    e->state_at = now;
}

/* ---- helpers: state from the leader ---------------------------------------------------------- */

static void wg_entry_refuse_configuration(const wg_entry* e, const Wgpb__Configuration* in,
                                          GError* error) {
    wg_log(WG_EVENT_CONFIGURATION_REFUSED,
           "version=%" G_GUINT64_FORMAT " base=%" G_GUINT64_FORMAT " held=%" G_GUINT64_FORMAT " %s",
           in->version, in->base_version, e->config ? e->config->version : 0, error->message);
    g_error_free(error);
}

/* Applies a configuration document, or refuses it if it cannot be parsed. */
static void wg_entry_apply_document(wg_entry* e, const Wgpb__Configuration* in, GBytes* document) {
    GError* error = NULL;
    gsize size;
    const void* data = g_bytes_get_data(document, &size);
    wg_config* config = wg_config_parse(data, size, &error);
    if (!config) {
        wg_entry_refuse_configuration(e, in, error);
        return;
    }
    wg_config_unref(e->config);
    g_clear_pointer(&e->document, g_bytes_unref);
    e->config = config;
    e->document = g_bytes_ref(document);
    wg_log(WG_EVENT_CONFIGURATION_IN_FORCE, "version=%" G_GUINT64_FORMAT " routes=%d bytes=%zu",
           config->version, config->routes_num, in->packed.len);
}

/* False if the update does not apply to the current configuration and has to be sent in full. */
static bool wg_entry_apply_configuration(wg_entry* e, const Wgpb__Configuration* in) {
    uint64_t current = e->config ? e->config->version : 0;
    if (in->version <= current) {
        return true;
    }
    GError* error = NULL;
    GBytes* base = in->base_version && in->base_version == current ? e->document : NULL;
    GBytes* document = wg_document_unpack_message(in, base, &error);
    if (!document) {
        wg_entry_refuse_configuration(e, in, error);
        return false;
    }
    wg_entry_apply_document(e, in, document);
    g_bytes_unref(document);
    return true;
}

static bool wg_entry_evacuated_matches(const wg_entry* e, const Wgpb__EntryState* in) {
    const GPtrArray* current = wg_registry_evacuated(e->registry);
    bool same = current->len == in->n_evacuated;
    for (size_t i = 0; same && i < in->n_evacuated; i++) {
        same = strcmp(current->pdata[i], in->evacuated[i]) == 0;
    }
    return same;
}

static void wg_entry_apply_evacuated(wg_entry* e, const Wgpb__EntryState* in) {
    if (wg_entry_evacuated_matches(e, in)) {
        return;
    }
    wg_registry_set_evacuated(e->registry, in->evacuated, in->n_evacuated);
    GString* names = g_string_new(NULL);
    for (size_t i = 0; i < in->n_evacuated; i++) {
        g_string_append_printf(names, "%s%s", i ? "," : "", in->evacuated[i]);
    }
    wg_log(WG_EVENT_EVACUATION_IN_FORCE, "data_centres=%s registry=%" G_GUINT64_FORMAT,
           names->len ? names->str : "-", in->registry_change);
    g_string_free(names, TRUE);
}

static void wg_entry_apply_targets(wg_entry* e, const Wgpb__EntryState* in) {
    if (e->registry_known && in->registry_change == wg_registry_change(e->registry)) {
        return;
    }
    if (in->registry_reset) {
        wg_registry_clear(e->registry);
    }
    for (size_t i = 0; i < in->n_targets; i++) {
        wg_registry_merge(e->registry, wg_now(), in->targets[i]);
    }
    wg_entry_apply_evacuated(e, in);
    wg_registry_set_change(e->registry, in->registry_change);
    e->registry_known = true;
    wg_balance_sync(e->balance, wg_now(), e->registry);
    wg_upstream_drop_unusable(e);
}

static void wg_entry_apply_member(wg_entry* e, const Wgpb__EntryMember* in) {
    wg_roster_host host = {0};
    if (wg_copy_name(host.name, sizeof host.name, in->name) &&
        wg_copy_name(host.address, sizeof host.address, in->address) &&
        wg_copy_name(host.data_centre, sizeof host.data_centre, in->data_centre)) {
        wg_roster_copy_add(e->roster, &host);
    }
}

static void wg_entry_apply_members(wg_entry* e, const Wgpb__EntryState* in) {
    if (in->members_change == wg_roster_change(e->roster)) {
        return;
    }
    if (in->members_reset) {
        wg_roster_copy_reset(e->roster);
    }
    for (size_t i = 0; i < in->n_members_left; i++) {
        wg_roster_copy_remove(e->roster, in->members_left[i]);
    }
    for (size_t i = 0; i < in->n_members; i++) {
        wg_entry_apply_member(e, in->members[i]);
    }
    wg_roster_copy_set_change(e->roster, in->members_change);
    wg_entry_admit_update_members(e);
}

/* Tokens available to all workspaces together in the period that usage covers; 0: unknown. */
static double wg_entry_total_share(const wg_entry* e) {
    return e->config ? (double)e->config->limits.tokens_per_second * WG_USAGE_SECONDS : 0;
}

static void wg_entry_apply_usage(wg_entry* e, const Wgpb__EntryState* in) {
    wg_usage* list = g_new(wg_usage, in->n_usage + 1);
    for (size_t i = 0; i < in->n_usage; i++) {
        list[i] = (wg_usage){.workspace = in->usage[i]->workspace,
                             .tokens = in->usage[i]->tokens,
                             .demand = in->usage[i]->asked};
    }
    wg_usage_apply_report(e->usage, wg_now(), list, in->n_usage, wg_entry_total_share(e));
    g_free(list);
}

void wg_entry_decay_usage(wg_entry* e, wg_time now) {
    wg_usage_decay(e->usage, now, wg_roster_num(e->roster), wg_entry_total_share(e));
}

static void wg_entry_apply_loads(wg_entry* e, const Wgpb__EntryState* in) {
    wg_balance_clear_others_load(e->balance);
    for (size_t i = 0; i < in->n_loads; i++) {
        wg_balance_set_others_load(e->balance, in->loads[i]->target, in->loads[i]->unread,
                                   in->loads[i]->running);
    }
}

/* members_num is valid also without the list of members. */
static void wg_entry_update_hosts_num(wg_entry* e, const Wgpb__EntryState* in) {
    if (in->members_num > 0) {
        wg_balance_set_hosts(e->balance, (int)in->members_num);
    }
}

void wg_entry_reconnect(wg_entry* e, const char* address) {
    wg_copy_name(e->dial_address, sizeof e->dial_address, address);
    e->dial_at = wg_now() + (address[0] ? 0 : WG_DIAL_INTERVAL);
    wgn_close(e->net, e->link);
    wg_entry_dial(e, wg_now());
}

/* The peer is not the leader: dials the leader that it names. A control without a leader reports
   one as soon as it knows it, so the link is kept; an entry host has named controls, so one of them
   is dialled. */
static void wg_entry_follow_redirect(wg_entry* e, const char* leader_address, wg_time now) {
    const wgn_peer* peer = wgn_query_peer(e->net, e->link);
    bool elsewhere = leader_address[0] && !(peer && strcmp(peer->address, leader_address) == 0);
    if (e->leader_known) {
        wg_log(WG_EVENT_LEADER_LOST,
               "control=%s is no longer the leader, names=%s state_age_ms=%" G_GINT64_FORMAT
               " version=%" G_GUINT64_FORMAT,
               peer ? peer->name : "-", leader_address[0] ? leader_address : "-",
               (now - e->state_at) / WG_USEC_PER_MSEC, e->config ? e->config->version : 0);
    }
    e->leader_known = false;
    if (elsewhere) {
        wg_entry_reconnect(e, leader_address);
    } else if (!peer || peer->role != WGW_ROLE_CONTROL) {
        wg_entry_reconnect(e, "");
    } else if (!e->leaderless_at) {
        e->leaderless_at = now;
    }
}

/* Reports at once when this host becomes ready, so that callers are directed to it. */
static void wg_entry_report_if_ready_now(wg_entry* e, bool was_ready, wg_time now) {
    if (wg_entry_is_ready(e) && !was_ready) {
        wg_entry_report(e, now);
    }
}

/* ---- helpers: state from a replica without a leader ------------------------------------------ */

bool wg_entry_accepts_standby(const wg_entry* e, wg_time now) {
    wg_time wait = e->settings->standby_ms * WG_USEC_PER_MSEC;
    return wait > 0 && !e->leader_known && wg_outage_duration(&e->leaderless, now) >= wait;
}

/* Applies the state of a replica that knows no leader either, unless this host has a newer one. */
static void wg_entry_apply_standby(wg_entry* e, const Wgpb__EntryState* in, wg_time now) {
    const wgn_peer* peer = wgn_query_peer(e->net, e->link);
    bool newer = !e->registry_known || in->registry_change > wg_registry_change(e->registry);
    if (!wg_entry_accepts_standby(e, now) || !newer) {
        return;
    }
    bool was_ready = wg_entry_is_ready(e);
    wg_entry_recovery_accept_configurations(e);
    wg_entry_apply_targets(e, in);
    wg_entry_apply_quarantine(e, in);
    e->on_standby = e->on_standby || !was_ready;
    wg_log(WG_EVENT_STANDBY_TAKEN,
           "control=%s leaderless_ms=%" G_GINT64_FORMAT " version=%" G_GUINT64_FORMAT
           " registry=%" G_GUINT64_FORMAT " since_start=%d",
           peer ? peer->name : "-", wg_outage_duration(&e->leaderless, now) / WG_USEC_PER_MSEC,
           e->config ? e->config->version : 0, in->registry_change, e->on_standby);
}

static void wg_entry_leave_outdated_leader(wg_entry* e, const Wgpb__EntryState* in) {
    const wgn_peer* peer = wgn_query_peer(e->net, e->link);
    wg_log(WG_EVENT_LEADER_LOST,
           "control=%s leads in an outdated term: term=%" G_GUINT64_FORMAT
           " followed=%" G_GUINT64_FORMAT " recovery=%" G_GUINT64_FORMAT,
           peer ? peer->name : "-", in->term, e->term_followed, e->recovery.known);
    wg_entry_reconnect(e, "");
}

static void wg_entry_apply_state(wg_entry* e, const Wgpb__EntryState* in) {
    wg_time now = wg_now();
    if (wg_entry_is_outdated_leader(e, in)) {
        wg_entry_leave_outdated_leader(e, in);
        return;
    }
    const wgn_peer* peer = wgn_query_peer(e->net, e->link);
    wg_entry_recovery_record(e, wg_term_recovery(in->term), peer ? peer->name : "-");
    if (in->leads && in->n_controls > 0) {
        e->controls.num = 0; /* the leader's list is complete */
    }
    for (size_t i = 0; i < in->n_controls; i++) {
        wg_entry_add_control(e, in->controls[i]);
    }
    if (!in->leads) {
        if (in->standby) {
            wg_entry_apply_standby(e, in, now);
        }
        wg_entry_follow_redirect(e, in->leader_address, now);
        return;
    }
    wg_entry_recovery_accept_configurations(e);
    if (!e->link_up) {
        return; /* a configuration could not be applied */
    }
    bool was_ready = wg_entry_is_ready(e);
    e->on_standby = false;
    e->term_followed = in->term;
    e->state_at = now;
    e->leaderless_at = 0;
    e->report_interval = in->report_ms * WG_USEC_PER_MSEC;
    e->state_seen = in->seq;
    wg_entry_apply_targets(e, in);
    wg_entry_apply_members(e, in);
    wg_entry_apply_quarantine(e, in);
    wg_entry_update_hosts_num(e, in);
    if (in->n_controls > 0) {
        wg_entry_apply_loads(e, in);
        wg_entry_apply_usage(e, in);
        wg_call_queue_run(e);
    }
    if (!e->leader_known) {
        e->leader_known = true;
        wg_log(WG_EVENT_LINK_UP, "leader term=%" G_GUINT64_FORMAT, in->term);
        if (e->recovery.roster_due) {
            wg_entry_report(e, now); /* before orders, whose acknowledgement depends on it */
        }
        wg_entry_orders_send(e);
    }
    wg_entry_report_if_ready_now(e, was_ready, now);
}

/* Reconnects if the update cannot be applied, as a new link sends the full configuration. */
static void wg_entry_handle_configuration(wg_entry* e, const Wgpb__Configuration* in) {
    bool was_ready = wg_entry_is_ready(e);
    if (wg_entry_apply_configuration(e, in)) {
        wg_entry_report_if_ready_now(e, was_ready, wg_now());
    } else {
        wg_entry_reconnect(e, "");
    }
}

/* ---- reports --------------------------------------------------------------------------------- */

/* Adds the names in the roster if a leader of a recovered set has to learn them. The returned list
   has to outlive the report. */
static GPtrArray* wg_entry_fill_roster(wg_entry* e, Wgpb__EntryReport* report) {
    GPtrArray* names = g_ptr_array_new();
    if (e->recovery.roster_due && e->leader_known) {
        for (int i = 0; i < wg_roster_num(e->roster); i++) {
            g_ptr_array_add(names, (char*)wg_roster_at(e->roster, i)->name);
        }
        e->recovery.roster_due = false;
    }
    report->members = (char**)names->pdata;
    report->n_members = names->len;
    return names;
}

void wg_entry_report(wg_entry* e, wg_time now) {
    if (!e->link_up) {
        return;
    }
    Wgpb__EntryReport report = WGPB__ENTRY_REPORT__INIT;
    wg_balance_load* loads = g_new(wg_balance_load, WG_LOADS_MAX);
    int loads_num = wg_balance_loads(e->balance, loads, WG_LOADS_MAX);
    Wgpb__TargetLoad* load_items = g_new(Wgpb__TargetLoad, loads_num + 1);
    GPtrArray* own = wg_usage_own(e->usage);
    Wgpb__WorkspaceUsage* usage_items = g_new(Wgpb__WorkspaceUsage, own->len + 1);
    report.loads = g_new(Wgpb__TargetLoad*, loads_num + 1);
    report.usage = g_new(Wgpb__WorkspaceUsage*, own->len + 1);
    report.seq = ++e->report_seq;
    report.configuration_version = e->config ? e->config->version : 0;
    report.registry_change = e->registry_known ? wg_registry_change(e->registry) : 0;
    report.members_change = wg_roster_change(e->roster);
    report.state_seen = e->state_seen;
    report.leaving = e->stopping;
    report.ready = wg_entry_is_ready(e);
    report.standby = wg_entry_accepts_standby(e, now);
    report.recovery = e->recovery.known;
    GPtrArray* roster = wg_entry_fill_roster(e, &report);
    for (int i = 0; i < loads_num; i++) {
        wgpb__target_load__init(&load_items[i]);
        load_items[i].target = loads[i].target;
        load_items[i].unread = loads[i].unread;
        load_items[i].running = loads[i].running;
        report.loads[report.n_loads++] = &load_items[i];
    }
    for (guint i = 0; i < own->len; i++) {
        const wg_usage* usage = own->pdata[i];
        Wgpb__WorkspaceUsage* item = &usage_items[report.n_usage];
        wgpb__workspace_usage__init(item);
        item->workspace = usage->workspace;
        item->tokens = usage->tokens;
        item->asked = usage->demand;
        report.usage[report.n_usage++] = item;
    }
    wg_crash_report crashes = wg_entry_fill_crashes(e, &report);
    wgn_send(e->net, e->link, WGW_TYPE_ENTRY_REPORT, &report.base);
    wg_entry_crashes_reported(e, &crashes);
    e->report_at = now + e->report_interval;
    g_free(report.loads);
    g_free(report.usage);
    g_free(load_items);
    g_ptr_array_unref(own);
    g_ptr_array_unref(roster);
    g_free(usage_items);
    g_free(loads);
}

/* ---- links ----------------------------------------------------------------------------------- */

/* Sends the known controls to a connected process. If the process is a control, its own address is
   one of them from then on. */
static void wg_entry_send_controls(wg_entry* e, wgn_link link, const wgn_peer* peer) {
    Wgpb__EntryState state = WGPB__ENTRY_STATE__INIT;
    char* controls[WG_CONTROLS_MAX];
    if (peer->role == WGW_ROLE_CONTROL) {
        wg_entry_add_control(e, peer->address);
    }
    for (int i = 0; i < e->controls.num; i++) {
        controls[i] = e->controls.list[i];
    }
    state.controls = controls;
    state.n_controls = (size_t)e->controls.num;
    state.term = wg_entry_recovery_hello_term(e);
    wgn_send(e->net, link, WGW_TYPE_ENTRY_STATE, &state.base);
}

static void wg_entry_on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    wg_entry* e = user_data;
    if (wg_entry_admit_on_up(e, link)) {
        return;
    }
    if (link.id != e->link.id) {
        wg_entry_admit_on_peer_up(e, link, peer);
        wg_entry_send_controls(e, link, peer);
        return;
    }
    e->link_up = true;
    e->state_at = wg_now();
    e->recovery.roster_due = e->recovery.known > 0;
    wg_entry_requeue_crashes(e);
    wg_entry_report(e, e->state_at);
}

static void wg_entry_on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    wg_entry* e = user_data;
    wg_entry_admit_on_down(e, link);
    wg_entry_recovery_on_down(e, link);
    if (link.id != e->link.id) {
        return;
    }
    wg_entry_recovery_drop_delayed(e);
    if (peer && e->leader_known) {
        wg_log(WG_EVENT_LINK_DOWN, "leader=%s state_age_ms=%" G_GINT64_FORMAT, peer->name,
               (wg_now() - e->state_at) / WG_USEC_PER_MSEC);
    }
    e->link = (wgn_link){0};
    e->link_up = false;
    e->leaderless_at = 0;
    e->leader_known = false;
    e->state_seen = 0;
    wg_entry_orders_link_down(e);
}

static void wg_entry_log_missing_leader(wg_entry* e, wg_time now) {
    if (!wg_outage_update(&e->leaderless, e->leader_known, now)) {
        return;
    }
    const wgn_peer* peer = wgn_query_peer(e->net, e->link);
    wg_log(WG_EVENT_LEADER_MISSING,
           "for_ms=%" G_GINT64_FORMAT " control=%s controls=%d asked=%d version=%" G_GUINT64_FORMAT
           " orders=%u",
           wg_outage_duration(&e->leaderless, now) / WG_USEC_PER_MSEC, peer ? peer->name : "-",
           e->controls.num, e->next_control, e->config ? e->config->version : 0, e->orders.length);
}

static void wg_entry_refuse_frame(wg_entry* e, wgn_link link) {
    wg_log(WG_EVENT_FRAME_BAD, "reason=not-for-an-entry-host");
    wgn_close(e->net, link);
}

void wg_entry_apply_frame(wg_entry* e, const wgw_frame* frame) {
    if (frame->type == WGW_TYPE_ENTRY_STATE) {
        Wgpb__EntryState* in = wgpb__entry_state__unpack(NULL, frame->size, frame->payload);
        if (in) {
            wg_entry_apply_state(e, in);
            wgpb__entry_state__free_unpacked(in, NULL);
            return;
        }
    } else if (frame->type == WGW_TYPE_CONFIGURATION) {
        Wgpb__Configuration* in = wgpb__configuration__unpack(NULL, frame->size, frame->payload);
        if (in) {
            wg_entry_handle_configuration(e, in);
            wgpb__configuration__free_unpacked(in, NULL);
            return;
        }
    } else if (frame->type == WGW_TYPE_ORDER_ANSWER) {
        Wgpb__OrderAnswer* in = wgpb__order_answer__unpack(NULL, frame->size, frame->payload);
        if (in) {
            wg_entry_orders_apply_answer(e, in);
            wgpb__order_answer__free_unpacked(in, NULL);
            return;
        }
    }
    wg_entry_refuse_frame(e, e->link);
}

void wg_entry_receive_frame(wg_entry* e, const wgw_frame* frame) {
    if (!wg_entry_recovery_delays(e, frame)) {
        wg_entry_apply_frame(e, frame);
    }
}

/* An entry host sends one state on each new link. */
static void wg_entry_apply_hello(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    Wgpb__EntryState* in = wgpb__entry_state__unpack(NULL, frame->size, frame->payload);
    if (in) {
        wg_entry_recovery_on_hello(e, link, in);
        wgpb__entry_state__free_unpacked(in, NULL);
    }
}

static void wg_entry_on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    wg_entry* e = user_data;
    if (wg_entry_admit_on_frame(e, link, frame)) {
        return;
    }
    if (link.id == e->link.id) {
        wg_entry_receive_frame(e, frame);
    } else if (frame->type == WGW_TYPE_ENTRY_STATE) {
        wg_entry_apply_hello(e, link, frame);
    }
}

bool wg_entry_link_setup(wg_entry* e, GError** error) {
    wgn_peer self = {.role = WGW_ROLE_ENTRY, .incarnation = e->seed};
    wg_copy_name(self.name, sizeof self.name, e->settings->name);
    wg_copy_name(self.address, sizeof self.address, e->settings->callers_listen);
    wg_copy_name(self.data_centre, sizeof self.data_centre, e->settings->data_centre);
    e->report_interval = WG_PROOF_TIMEOUT;
    e->net =
        wgn_setup(&(wgn_desc){.base = e->base,
                              .fleet_key = e->settings->fleet_key,
                              .self = self,
                              .links_max = WG_LINKS_MAX,
                              .waiting_max = wgn_waiting_max(e->settings->memory_mb),
                              .proof_deadline = WG_PROOF_TIMEOUT,
                              .receive_deadline = e->settings->link_silence_ms * WG_USEC_PER_MSEC,
                              .ping_interval = e->settings->link_silence_ms * WG_USEC_PER_MSEC / 4,
                              .on_up = wg_entry_on_up,
                              .on_frame = wg_entry_on_frame,
                              .on_down = wg_entry_on_down,
                              .user_data = e},
                  error);
    bool good = e->net && wgn_listen(e->net, e->settings->fleet_listen, error) &&
                wg_entry_add_seeds(e, e->settings, error);
    if (good) {
        wg_entry_recovery_setup(e);
    }
    return good;
}

void wg_entry_link_tick(wg_entry* e, wg_time now) {
    wg_entry_recovery_tick(e, now);
    wg_entry_orders_tick(e, now);
    wg_entry_log_missing_leader(e, now);
    wg_entry_dial(e, now);
    /* A stall of this process does not count as time since last contact with the leader. */
    wg_time since_contact = now - MAX(e->state_at, e->stall_ended_at);
    bool leaderless = e->leaderless_at && now - e->leaderless_at > WG_LEADERLESS_TIMEOUT;
    if (e->link.id &&
        (leaderless || since_contact > e->settings->link_silence_ms * WG_USEC_PER_MSEC)) {
        wg_entry_reconnect(e, "");
        return;
    }
    if (e->link_up && now >= e->report_at) {
        wg_entry_report(e, now);
    }
}
