/* wg_entry_state.c -- fleet state received from the leader, or from a replica without one */
#include "wg_contact.h"
#include "wg_document.h"
#include "wg_term.h"

#include "wg_entry_internal.h"

#include <string.h>

enum {
    WG_USAGE_SMALL_MAX = 1000000 /* workspaces; a larger number in a message is not believed */
};

/* Seconds of a steady rate that decayed usage amounts to: WG_USAGE_HALF_LIFE / ln 2. */
static const double WG_USAGE_SECONDS = 1.731;

/* ---- helpers: state from the leader ---------------------------------------------------------- */

static void wg_entry_refuse_configuration(const wg_entry* e, const Wgpb__Configuration* in,
                                          GError* error) {
    wg_log(WG_EVENT_CONFIGURATION_REFUSED,
           "version=%" G_GUINT64_FORMAT " base=%" G_GUINT64_FORMAT " held=%" G_GUINT64_FORMAT " %s",
           in->version, in->base_version, e->config ? e->config->version : 0, error->message);
    g_error_free(error);
}

/* Tokens available to all workspaces together in the period that usage covers; 0: unknown. */
static double wg_entry_total_share(const wg_entry* e) {
    return e->config ? (double)e->config->limits.tokens_per_second * WG_USAGE_SECONDS : 0;
}

static void wg_entry_apply_weights(wg_entry* e) {
    wg_usage_weight* list = g_new(wg_usage_weight, e->config->workspaces_num + 1);
    size_t num = 0;
    for (int i = 0; i < e->config->workspaces_num; i++) {
        const wg_workspace* workspace = &e->config->workspaces[i];
        if (workspace->weight != 1) {
            list[num++] = (wg_usage_weight){workspace->hash, workspace->weight};
        }
    }
    wg_usage_set_weights(e->usage, list, num, wg_entry_total_share(e));
    g_free(list);
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
    wg_entry_apply_weights(e);
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

/* False if the evacuated data centres stay the same. */
static bool wg_entry_apply_evacuated(wg_entry* e, const Wgpb__EntryState* in) {
    if (wg_entry_evacuated_matches(e, in)) {
        return false;
    }
    wg_registry_set_evacuated(e->registry, in->evacuated, in->n_evacuated);
    GString* names = g_string_new(NULL);
    for (size_t i = 0; i < in->n_evacuated; i++) {
        g_string_append_printf(names, "%s%s", i ? "," : "", in->evacuated[i]);
    }
    wg_log(WG_EVENT_EVACUATION_IN_FORCE, "data_centres=%s registry=%" G_GUINT64_FORMAT,
           names->len ? names->str : "-", in->registry_change);
    g_string_free(names, TRUE);
    return true;
}

/* Passes the changed targets on to what depends on them. `all`: any target may have changed. */
static void wg_entry_pass_on_targets(wg_entry* e, const Wgpb__EntryState* in, bool all) {
    if (all) {
        wg_balance_sync(e->balance, e->registry);
        e->cache_outdated = true;
    }
    for (size_t i = 0; i < in->n_targets; i++) {
        uint32_t number = in->targets[i]->number;
        if (!all) {
            wg_balance_sync_target(e->balance, e->registry, number);
            wg_entry_cache_update_target(e, number);
        }
        wg_entry_origins_update_target(e, number);
    }
}

static bool wg_entry_target_is_removed(const wg_entry* e, uint32_t number) {
    const wg_target* target = wg_registry_find(e->registry, number);
    return target && target->state == WG_TARGET_REMOVED;
}

static void wg_entry_merge_target(wg_entry* e, const Wgpb__TargetRecord* in) {
    bool was_known = wg_registry_find(e->registry, in->number) != NULL;
    bool was_removed = wg_entry_target_is_removed(e, in->number);
    wg_registry_merge(e->registry, wg_now(), in);
    bool removed = wg_entry_target_is_removed(e, in->number);
    if (removed) {
        wg_incarnations_forget(e->incarnations, in->number);
    } else if (!was_known || was_removed) {
        wg_entry_doubt_target(e, in->number);
    }
    uint32_t running = wg_balance_own_running(e->balance, in->number);
    if (running > 0 && removed != was_removed) {
        wg_log(WG_EVENT_TARGET_GONE_BUSY, "target=%u id=%s removed=%d replaced=%d running=%u",
               in->number, in->id, removed, in->replaced, running);
    }
}

static void wg_entry_apply_targets(wg_entry* e, const Wgpb__EntryState* in) {
    if (e->registry_known && in->registry_change == wg_registry_change(e->registry)) {
        return;
    }
    if (in->registry_reset) {
        wg_registry_clear(e->registry);
    }
    for (size_t i = 0; i < in->n_targets; i++) {
        wg_entry_merge_target(e, in->targets[i]);
    }
    bool evacuated = wg_entry_apply_evacuated(e, in);
    wg_registry_set_change(e->registry, in->registry_change);
    if (!e->registry_known) {
        wg_entry_origins_begin_records(e);
    }
    e->registry_known = true;
    wg_entry_pass_on_targets(e, in, in->registry_reset || evacuated);
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

static void wg_entry_apply_usage(wg_entry* e, const Wgpb__EntryState* in) {
    wg_usage* list = g_new(wg_usage, in->n_usage + 1);
    for (size_t i = 0; i < in->n_usage; i++) {
        list[i] = (wg_usage){.workspace = in->usage[i]->workspace,
                             .tokens = in->usage[i]->tokens,
                             .demand = in->usage[i]->asked};
    }
    wg_usage_report report = {
        .list = list,
        .num = in->n_usage,
        .small = {.tokens = in->usage_small_tokens, .demand = in->usage_small_asked},
        .small_num = MIN(in->usage_small_num, (uint32_t)WG_USAGE_SMALL_MAX)};
    wg_usage_apply_report(e->usage, wg_now(), &report, wg_entry_total_share(e));
    wg_usage_set_lifetime(e->usage, wg_contact_usage_lifetime(e->report_interval));
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

/* A leader that tells of no service does not know the loads of all hosts yet, or has the setting
   off: what its predecessor told is outdated. */
static void wg_entry_apply_rooms(wg_entry* e, const Wgpb__EntryState* in) {
    if (e->settings->room_wait_ms == 0) {
        return;
    }
    wg_room_report* list = g_new(wg_room_report, in->n_rooms + 1);
    for (size_t i = 0; i < in->n_rooms; i++) {
        const Wgpb__ServiceRoom* room = in->rooms[i];
        list[i] = (wg_room_report){room->name, {room->ready, room->with_room}};
    }
    wg_room_copy_set_lifetime(e->room, wg_contact_room_lifetime(e->report_interval));
    wg_room_copy_apply(e->room, wg_now(), list, in->n_rooms);
    g_free(list);
}

/* What this host has sent since its last report is not in the leader's counts: callers that all
   use one host would fill all targets before the next report. */
static bool wg_entry_leaves_room(const wg_entry* e, const char* service) {
    wg_time wait_max = e->settings->room_wait_ms * WG_USEC_PER_MSEC;
    return wg_balance_leaves_room(e->balance, service, wait_max);
}

bool wg_entry_has_room(wg_entry* e, wg_time now, const char* service) {
    wg_room_answer told = wg_room_copy_query(e->room, now, service, NULL);
    if (told == WG_ROOM_UNKNOWN) {
        return wg_balance_has_room(e->balance, now, service);
    }
    return told == WG_ROOM_FREE && wg_entry_leaves_room(e, service);
}

/* members_num is valid also without the list of members. */
static void wg_entry_update_hosts_num(wg_entry* e, const Wgpb__EntryState* in) {
    if (in->members_num > 0) {
        wg_balance_set_hosts(e->balance, (int)in->members_num);
    }
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
               wg_entry_state_age_ms(e, now), e->config ? e->config->version : 0);
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

/* The state is applied: this host knows what the leader had acknowledged as it answered. */
static void wg_entry_apply_confirmation(wg_entry* e, const Wgpb__EntryState* in) {
    uint64_t version = e->config ? e->config->version : 0;
    e->link_confirms = e->link_confirms || in->report_seq > 0;
    if (version >= in->configuration_version) {
        wg_lease_report_answered(&e->lease, in->report_seq);
    }
}

void wg_entry_apply_state(wg_entry* e, const Wgpb__EntryState* in) {
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
    e->heard_at = now;
    e->leaderless_at = 0;
    e->report_interval = in->report_ms * WG_USEC_PER_MSEC;
    e->state_seen = in->seq;
    wg_entry_apply_targets(e, in);
    wg_entry_apply_members(e, in);
    wg_entry_apply_quarantine(e, in);
    wg_entry_update_hosts_num(e, in);
    wg_entry_apply_confirmation(e, in);
    if (in->n_controls > 0) {
        wg_entry_apply_loads(e, in);
        wg_entry_apply_usage(e, in);
        wg_entry_apply_rooms(e, in);
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
    wg_entry_lease_resume(e);
}

void wg_entry_handle_configuration(wg_entry* e, const Wgpb__Configuration* in) {
    bool was_ready = wg_entry_is_ready(e);
    if (wg_entry_apply_configuration(e, in)) {
        wg_entry_report_if_ready_now(e, was_ready, wg_now());
    } else {
        wg_entry_reconnect(e, "");
    }
}
