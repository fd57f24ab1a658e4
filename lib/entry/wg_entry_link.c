/* wg_entry_link.c -- links to controls and other entry hosts, reports to the leader */
#include "wg_contact.h"
#include "wg_entry_internal.h"

#include <string.h>

enum {
    /* Minimum interval between attempts to reach a control. A replica listens some 40 ms after its
       start, and the tick runs each 50 ms. */
    WG_DIAL_INTERVAL = 30 * WG_USEC_PER_MSEC,
    /* Timeout of the handshake with a control, and initial report interval. */
    WG_PROOF_TIMEOUT = 350 * WG_USEC_PER_MSEC,
    /* Wait for a control without a leader to find one, before another control is dialled. Shorter
       than an election timeout, as the control may be partitioned from the others. */
    WG_LEADERLESS_TIMEOUT = 300 * WG_USEC_PER_MSEC,
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

void wg_entry_add_control(wg_entry* e, const char* address) {
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

/* ---- reconnecting ---------------------------------------------------------------------------- */

void wg_entry_reconnect(wg_entry* e, const char* address) {
    wg_copy_name(e->dial_address, sizeof e->dial_address, address);
    e->dial_at = wg_now() + (address[0] ? 0 : WG_DIAL_INTERVAL);
    wgn_close(e->net, e->link);
    wg_entry_dial(e, wg_now());
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

/* Sent only where room is used, so that reports are otherwise as small as before. */
static uint64_t wg_entry_read_us(const wg_entry* e, const wg_balance_load* load) {
    bool sent = e->settings->room_wait_ms > 0;
    return sent ? (uint64_t)wg_balance_read_time(e->balance, load->target, load->unread) : 0;
}

void wg_entry_report(wg_entry* e, wg_time now) {
    if (!e->link_up) {
        return;
    }
    Wgpb__EntryReport report = WGPB__ENTRY_REPORT__INIT;
    wg_balance_load* loads = g_new(wg_balance_load, WG_LOADS_MAX);
    int loads_num = wg_balance_loads(e->balance, loads, WG_LOADS_MAX);
    Wgpb__TargetLoad* load_items = g_new(Wgpb__TargetLoad, loads_num + 1);
    GPtrArray* own = wg_usage_take_changed(e->usage);
    Wgpb__WorkspaceUsage* usage_items = g_new(Wgpb__WorkspaceUsage, own->len + 1);
    report.loads = g_new(Wgpb__TargetLoad*, loads_num + 1);
    report.usage = g_new(Wgpb__WorkspaceUsage*, own->len + 1);
    report.seq = ++e->report_seq;
    wg_lease_report_sent(&e->lease, now, report.seq);
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
        load_items[i].read_us = wg_entry_read_us(e, &loads[i]);
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
    Wgpb__OriginNotes* origins = wg_entry_fill_origins(e, &report);
    wgn_send(e->net, e->link, WGW_TYPE_ENTRY_REPORT, &report.base);
    wg_entry_crashes_reported(e, &crashes);
    e->report_at = now + e->report_interval;
    if (origins) {
        wgpb__origin_notes__free_unpacked(origins, NULL);
    }
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
    if (wg_entry_admit_on_up(e, link) || wg_entry_handoff_on_up(e, link, peer) ||
        wg_entry_lease_on_up(e, link, peer)) {
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
    wg_usage_take_again(e->usage);
    wg_entry_report(e, e->state_at);
}

static void wg_entry_on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    wg_entry* e = user_data;
    wg_entry_admit_on_down(e, link);
    wg_entry_handoff_on_down(e, link);
    wg_entry_recovery_on_down(e, link);
    wg_entry_lease_on_down(e, link);
    if (link.id != e->link.id) {
        return;
    }
    wg_entry_recovery_drop_delayed(e);
    if (peer && e->leader_known) {
        wg_log(WG_EVENT_LINK_DOWN, "leader=%s state_age_ms=%" G_GINT64_FORMAT, peer->name,
               wg_entry_state_age_ms(e, wg_now()));
    }
    e->link = (wgn_link){0};
    e->link_up = false;
    e->link_confirms = false;
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
    if (wg_entry_admit_on_frame(e, link, frame) || wg_entry_handoff_on_frame(e, link, frame) ||
        wg_entry_origins_on_frame(e, link, frame) || wg_entry_incarnations_on_frame(e, frame) ||
        wg_entry_lease_on_frame(e, link, frame)) {
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
                              .links_max = wgn_links_max(e->settings->descriptors),
                              .unproven_max = wgn_unproven_max(e->settings->descriptors),
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
    wg_time timeout = wg_contact_leader_timeout(e->report_interval,
                                                e->settings->link_silence_ms * WG_USEC_PER_MSEC);
    if (e->link.id && (leaderless || since_contact > timeout)) {
        wg_entry_reconnect(e, "");
        return;
    }
    if (e->link_up && now >= e->report_at) {
        wg_entry_report(e, now);
    }
}
