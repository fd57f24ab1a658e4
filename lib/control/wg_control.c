/* wg_control.c -- setup, links, tick and planned stop; see wg_control.h */
#include "wg_control_internal.h"

#include <string.h>

/* ---- settings ------------------------------------------------------------------------------ */

#define _NUMBER(group, field, def, min, max, unit, help)                                           \
    WGI_NUMBER(wgco_settings, group, field, def, min, max, unit, help)
#define _REAL(group, field, def, min, max, unit, help)                                             \
    WGI_REAL(wgco_settings, group, field, def, min, max, unit, help)
#define _TEXT(kind, group, field, def, help) WGI_TEXT(wgco_settings, kind, group, field, def, help)

const wgi_key wgco_keys[] = {
    _TEXT(TEXT, "control", name, NULL, "name of this control, unique in the fleet"),
    _TEXT(TEXT, "control", data_centre, "", "data centre of this control"),
    _TEXT(ADDRESS, "control", fleet_listen, NULL, "where fleet processes connect"),
    _TEXT(TEXT, "control", fleet_address, "",
          "ip:port at which other fleet processes reach fleet_listen; empty: the same"),
    _TEXT(ADDRESS, "control", operators_listen, "127.0.0.1:7200", "where operators connect"),
    _TEXT(TEXT, "control", data_folder, NULL,
          "folder on disk used only by this control; empty: it never votes"),
    _TEXT(LIST, "control", controls, "", "all controls as name@ip:port, including this one"),
    _TEXT(LIST, "control", seeds, "",
          "instead of controls: ip:port of some controls; the port is replaced by fleet_port"),
    _NUMBER("control", fleet_port, "7100", 1, 65535, "", "with seeds: port of fleet_listen on all"),
    _NUMBER("control", entry_port, "7101", 1, 65535, "",
            "with seeds: port of entry hosts to which controls announce themselves"),
    _NUMBER("control", losses, "1", 0, 1000, "",
            "with seeds: controls that may be lost at once, including their disks; 2 * losses + 1 "
            "have to "
            "answer before one is removed; limited to 1..3"),
    _TEXT(TEXT, "control", first_start, "false",
          "with seeds: true when the whole fleet starts for the first time"),
    _TEXT(SECRET, "keys", fleet_key, NULL, "file with the key that all fleet processes share"),
    _TEXT(SECRET, "keys", operator_key, NULL, "file with the operators' key"),
    _TEXT(TEXT, "log", log_level, "info", "debug, info, warn or error"),
    _TEXT(TEXT, "log", log_target, "stderr", "stderr or a file"),
    _NUMBER("timing", election_min_ms, "900", 100, 60000, "ms", "shortest wait before an election"),
    _NUMBER("timing", election_max_ms, "1500", 200, 120000, "ms",
            "longest wait before an election"),
    _NUMBER("timing", heartbeat_ms, "150", 10, 10000, "ms",
            "leader's heartbeat, at most a third of election_min_ms"),
    _NUMBER("timing", table_lease_ms, "4000", 500, 60000, "ms",
            "how long a router's table stays in force without contact; bounds the time until an "
            "edit is "
            "in force everywhere"),
    _NUMBER("timing", slot_lease_ms, "2000", 200, 60000, "ms", "duration of a slot lease"),
    _NUMBER("timing", router_gone_ms, "3000", 500, 600000, "ms",
            "time without contact after which a router counts as failed"),
    _NUMBER("timing", plan_ms, "5", 1, 1000, "ms", "shortest time between two capacity plans"),
    /* Longer than closing and redialling an unresponsive link takes (0.6 s and 0.3 s with the
       settings in deploy/, which set this to 1 s) and than the longest election wait, so that a
       transient link failure replaces no replica; short enough to restore redundancy before the
       next loss, for which a newcomer has 4 s. */
    _NUMBER(
        "timing", replica_gone_ms, "1600", 500, 3600000, "ms",
        "with seeds: time without contact after which a replica is replaced by a joining one, or "
        "removed when enough others answer; at least election_max_ms"),
    _NUMBER("timing", target_silent_ms, "6000", 500, 600000, "ms",
            "time without contact after which a target that registers itself gets no more work"),
    _NUMBER("timing", tick_ms, "10", 1, 100, "ms", "interval at which timers are checked"),
    _NUMBER("timing", link_silence_ms, "4000", 300, 60000, "ms",
            "time without traffic after which a link between fleet processes is closed"),
    _NUMBER("state", log_keep, "1000", 4, 1000000, "entries",
            "log entries kept behind a snapshot for lagging replicas"),
    _NUMBER("state", snapshot_entries, "1000", 10, 1000000, "entries",
            "log entries between two snapshots"),
    _NUMBER("limits", descriptors, "0", 0, 1000000, "",
            "descriptor limit of the process; bounds links to other processes; 0: unknown"),
    _REAL("limits", memory_mb, "0", 0, 1000000, "MB",
          "memory limit of the process; bounds data queued on links; 0: unknown"),
    _REAL("limits", held_mb, "0", 0, 1000000, "MB",
          "maximum size of what connections of operators hold, at least one edit of the largest "
          "size; 0: a quarter of memory_mb, or of the machine's memory"),
    _NUMBER("state", claims_max, "65536", 16, 1000000, "claims",
            "maximum number of run-once claims kept"),
    _NUMBER("state", claim_keep_s, "86400", 1, 31536000, "s", "how long a claim is kept"),
    /* Longer than the gaps between a caller's retries, shorter than an operator's investigation;
       each expiry may cost a few more targets. */
    _NUMBER("state", quarantine_s, "600", 1, 604800, "s",
            "how long a request that crashes targets is refused"),
    _NUMBER("admission", room_wait_ms, "0", 0, 60000, "ms",
            "reading time up to which a target with free slots has room, as told to entry hosts; "
            "0: nothing is told"),
};
const int wgco_keys_num = G_N_ELEMENTS(wgco_keys);

/* ---- helpers: peers ------------------------------------------------------------------------ */

static bool _wgco_parse_controls(wgco_control* c, GError** error) {
    bool self_listed = false;
    if (c->discovers) {
        return _wgco_discovery_set_seeds(c, c->settings, error);
    }
    for (int i = 0; c->settings->controls[i]; i++) {
        char** parts = g_strsplit(c->settings->controls[i], "@", 2);
        struct sockaddr_storage storage;
        int size;
        bool good = parts[0] && parts[1] && wgn_parse_address(parts[1], &storage, &size) &&
                    c->peers_num < _WGCO_PEERS_MAX;
        _wgco_peer_t* peer = &c->peers[c->peers_num];
        good = good && wg_copy_name(peer->name, sizeof peer->name, parts[0]) &&
               wg_copy_name(peer->address, sizeof peer->address, parts[1]);
        g_strfreev(parts);
        if (!good) {
            g_set_error(
                error, WG_ERROR, WG_ERROR_INVALID,
                "[control] controls: \"%s\" is not name@ip:port, or more than %d are listed",
                c->settings->controls[i], _WGCO_PEERS_MAX);
            return false;
        }
        if (strcmp(peer->name, c->settings->name) == 0) {
            self_listed = true;
        } else {
            c->peers_num++;
        }
    }
    if (!self_listed) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID,
                    "[control] controls: this control (%s) is not listed", c->settings->name);
    }
    return self_listed;
}

static _wgco_peer_t* _wgco_peer_of_link(wgco_control* c, wgn_link link) {
    for (int i = 0; i < c->peers_num; i++) {
        if (c->peers[i].link.id == link.id) {
            return &c->peers[i];
        }
    }
    return NULL;
}

static void _wgco_dial_peers(wgco_control* c, wg_time now) {
    for (int i = 0; i < c->peers_num; i++) {
        _wgco_peer_t* peer = &c->peers[i];
        if (peer->link.id == 0 && now >= peer->dial_at) {
            peer->dial_at = now + 300 * WG_USEC_PER_MSEC;
            peer->link = wgn_dial(c->net, peer->address);
        }
    }
}

/* Adopts the peer's cluster if this control belongs to none or its store is empty. */
static bool _wgco_join_cluster(wgco_control* c, const wgn_peer* peer) {
    uint64_t own = wgs_query_content(c->store)->cluster;
    if (peer->cluster == 0 || own == peer->cluster) {
        return true;
    }
    if (own != 0 && !wgs_is_empty(c->store)) {
        return false; /* only an empty store may change its cluster */
    }
    GError* error = NULL;
    if (!wgs_save_cluster(c->store, peer->cluster, &error)) {
        _wgco_storage_failed(c, error);
        return false;
    }
    wgn_set_cluster(c->net, peer->cluster);
    return true;
}

/* On the leader: adds a listed control whose name is not in the set yet. */
static void _wgco_add_new_controls(wgco_control* c, wg_time now) {
    const wgr_set* set = wgr_query_set(c->node);
    for (int i = 0; i < c->peers_num; i++) {
        const _wgco_peer_t* peer = &c->peers[i];
        bool known = !peer->up || peer->identity == 0;
        for (int j = 0; j < set->num && !known; j++) {
            /* With discovery, a replica whose folder was emptied replaces its previous identity
               without an operator's command. */
            known = c->discovers ? set->replicas[j].id == peer->identity
                                 : strcmp(set->replicas[j].name, peer->name) == 0;
        }
        if (known) {
            continue;
        }
        wgr_replica replica = {.id = peer->identity};
        wg_copy_name(replica.name, sizeof replica.name, peer->name);
        wg_copy_name(replica.address, sizeof replica.address, peer->address);
        if (wgr_add(c->node, now, &replica, NULL)) {
            wg_log(WG_EVENT_REPLICA_CHANGE, "added=%s", peer->name);
            return;
        }
    }
}

/* If another identity answers under a replica's name, the data folder of the replica was lost. */
static void _wgco_record_lost_replicas(wgco_control* c, const _wgco_peer_t* peer) {
    const wgr_set* set = wgr_query_set(c->node);
    for (int i = 0; i < set->num; i++) {
        const wgr_replica* replica = &set->replicas[i];
        if (strcmp(replica->name, peer->name) == 0 && replica->id != peer->identity) {
            wgr_record_replaced(c->node, replica->id);
        }
    }
}

/* Redials a control that has just connected: a connection attempt made before it was up may hang
   until its SYN is retransmitted after a second. */
static void _wgco_redial(wgco_control* c, const char* name) {
    for (int i = 0; i < c->peers_num; i++) {
        _wgco_peer_t* peer = &c->peers[i];
        if (strcmp(peer->name, name) == 0 && !peer->up) {
            wgn_close(c->net, peer->link);
            peer->dial_at = wg_now();
        }
    }
}

/* ---- callbacks of links -------------------------------------------------------------------- */

void _wgco_on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    wgco_control* c = user_data;
    if (peer->role == WGW_ROLE_ROUTER) {
        _wgco_router_up(c, link, peer);
        return;
    }
    if (peer->role == WGW_ROLE_ENTRY && _wgco_discovery_is_announcement(c, link)) {
        return;
    }
    if (peer->role == WGW_ROLE_ENTRY) {
        _wgco_entry_up(c, link, peer);
        return;
    }
    if (!_wgco_join_cluster(c, peer)) {
        wg_log(WG_EVENT_LINK_REFUSED, "peer=%s reason=another-cluster", peer->name);
        wgn_close(c->net, link);
        return;
    }
    _wgco_peer_t* known = _wgco_peer_of_link(c, link);
    if (known) {
        known->up = true;
        known->identity = peer->identity;
        _wgco_record_lost_replicas(c, known);
    } else {
        if (c->discovers) {
            _wgco_discovery_add_peer(c, peer->name, peer->address);
        }
        _wgco_redial(c, peer->name);
    }
    wg_log(WG_EVENT_LINK_UP, "peer=%s", peer->name);
}

void _wgco_on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    wgco_control* c = user_data;
    if (_wgco_discovery_is_announcement(c, link)) {
        return; /* an announcement, closed by this control once sent */
    }
    _wgco_peer_t* known = _wgco_peer_of_link(c, link);
    if (known) {
        known->link = (wgn_link){0};
        known->down_at = known->up ? wg_now() : known->down_at;
        known->up = false;
    } else if (peer && peer->role == WGW_ROLE_ENTRY && !_wgco_entry_down(c, link)) {
        return; /* a host that searched for a leader; each does without one, again and again */
    } else if (peer && peer->role == WGW_ROLE_ROUTER) {
        _wgco_router_down(c, link);
    }
    if (peer) {
        wg_log(WG_EVENT_LINK_DOWN, "peer=%s", peer->name);
    }
}

void _wgco_on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    wgco_control* c = user_data;
    const wgn_peer* peer = wgn_query_peer(c->net, link);
    bool control = peer && peer->role == WGW_ROLE_CONTROL;
    bool router = peer && peer->role == WGW_ROLE_ROUTER;
    bool entry = peer && peer->role == WGW_ROLE_ENTRY;
    if (entry && frame->type == WGW_TYPE_ENTRY_STATE) {
        _wgco_discovery_receive_controls(c, frame);
        return;
    }
    if (control && frame->type == WGW_TYPE_QUORUM) {
        _wgco_receive_quorum(c, frame);
    } else if (entry && frame->type == WGW_TYPE_ENTRY_REPORT) {
        _wgco_entry_receive_report(c, link, frame);
    } else if (entry && frame->type == WGW_TYPE_ORIGIN_ASK) {
        _wgco_receive_origin_ask(c, link, frame);
    } else if (entry && frame->type == WGW_TYPE_TARGET_ASK) {
        _wgco_receive_target_ask(c, link, frame);
    } else if (entry && frame->type == WGW_TYPE_LEADER_ASK) {
        _wgco_receive_leader_ask(c, link, frame);
    } else if (entry && frame->type == WGW_TYPE_ORDER) {
        _wgco_receive_order(c, link, frame);
    } else if (router && frame->type == WGW_TYPE_REPORT) {
        _wgco_receive_report(c, link, frame);
    } else if (router && frame->type == WGW_TYPE_ROW_QUERY) {
        _wgco_receive_row_query(c, link, frame);
    } else if (router && frame->type == WGW_TYPE_CLAIM_ASK) {
        _wgco_receive_claim(c, link, frame);
    } else {
        wg_log(WG_EVENT_FRAME_BAD, "reason=type-not-for-this-role");
        wgn_close(c->net, link);
    }
}

/* ---- tick ---------------------------------------------------------------------------------- */

static void _wgco_log_role(wgco_control* c, wg_time now) {
    wgr_stats stats = wgr_query_stats(c->node, now);
    bool quiet = stats.role == WGR_ROLE_PRE_CANDIDATE || stats.role == WGR_ROLE_CANDIDATE;
    if (stats.role != c->role_logged && !quiet) {
        c->role_logged = stats.role;
        wg_log(WG_EVENT_ROLE_CHANGED, "role=%s term=%" G_GUINT64_FORMAT,
               stats.role == WGR_ROLE_LEADER ? "leader" : "follower", stats.term);
    }
}

/* Redirects entry hosts connected to this follower to the leader once its address is known. */
static void _wgco_announce_leader(wgco_control* c) {
    /* The address is empty while only the leader's identity is known. */
    const char* leader = _wgco_leader_address(c);
    if (strcmp(leader, c->announced_leader) == 0) {
        return;
    }
    wg_copy_name(c->announced_leader, sizeof c->announced_leader, leader);
    if (leader[0] && !c->leads) {
        _wgco_entry_redirect(c);
    }
}

static void _wgco_update_leadership(wgco_control* c, wg_time now) {
    bool leads = wgr_leads(c->node, now);
    if (leads && !c->leads) {
        _wgco_lead_begin(c, now);
    } else if (!leads && c->leads) {
        _wgco_lead_end(c);
    }
    /* A leader whose lease has expired may still commit its entries, so their senders wait. */
    if (wgr_query_stats(c->node, now).role != WGR_ROLE_LEADER) {
        _wgco_fail_waiters(c);
    }
    _wgco_announce_leader(c);
}

static void _wgco_on_tick(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wgco_control* c = user_data;
    wg_time now = wg_now();
    if (!c->node) {
        return; /* waiting for the disk to accept writes */
    }
    wgr_tick(c->node, now);
    _wgco_pump(c);
    if (c->failed) {
        return;
    }
    _wgco_watch_tick(c, now);
    _wgco_update_leadership(c, now);
    _wgco_log_role(c, now);
    _wgco_discovery_tick(c, now);
    _wgco_dial_peers(c, now);
    if (c->leads) {
        _wgco_watch_extend_deadlines(c, now);
        _wgco_add_new_controls(c, now);
        _wgco_routers_tick(c, now);
        _wgco_entry_tick(c, now);
        _wgco_pump(c);
    }
}

static void _wgco_on_pump(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wgco_control* c = user_data;
    if (c->node) {
        _wgco_pump(c);
    }
}

static void _wgco_on_plan(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    _wgco_plan(user_data);
}

/* A planned stop lasts until another control leads and this one has left the set. With discovery
   it may never come back, and a voter that stays away would weaken a set that already has its
   replacement. */
static bool _wgco_is_stop_over(const wgco_control* c) {
    if (!c->node) {
        return true;
    }
    /* A leader without other replicas has nobody to transfer leadership to. */
    bool leads = wgr_query_stats(c->node, wg_now()).role == WGR_ROLE_LEADER;
    if (leads) {
        return !c->transferring_leadership;
    }
    return !c->discovers || wgr_leave_is_settled(c->node) || wg_now() - c->stop_at > _WGCO_STOP_MAX;
}

static void _wgco_on_stop(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wgco_control* c = user_data;
    if (_wgco_is_stop_over(c)) {
        wg_log(WG_EVENT_STOP_DRAINED, "after_ms=%" G_GINT64_FORMAT,
               (wg_now() - c->stop_at) / WG_USEC_PER_MSEC);
        event_base_loopbreak(c->base);
    }
}

/* ---- public functions --------------------------------------------------------------------- */

wgco_control* wgco_setup(const wgco_desc* desc, GError** error) {
    wgco_control* c = g_new0(wgco_control, 1);
    c->desc = *desc;
    c->settings = desc->settings;
    c->base = desc->base;
    c->started_at = wg_now();
    c->sessions = g_new0(_wgco_session_t, _WGCO_ROUTERS_MAX);
    c->discovers = c->settings->seeds[0] != NULL;
    c->observer = c->discovers && !c->settings->data_folder[0];
    g_queue_init(&c->waiters);
    if (c->observer) {
        return c;
    }
    c->tick = event_new(c->base, -1, EV_PERSIST, _wgco_on_tick, c);
    c->plan_event = evtimer_new(c->base, _wgco_on_plan, c);
    c->pump_event = event_new(c->base, -1, 0, _wgco_on_pump, c);
    event_priority_set(c->pump_event, WGN_PRIORITY); /* as the links that schedule it */
    c->stop_event = event_new(c->base, -1, EV_PERSIST, _wgco_on_stop, c);
    struct timeval period = {.tv_usec = c->settings->tick_ms * WG_USEC_PER_MSEC};
    event_add(c->tick, &period);
    if (!_wgco_parse_controls(c, error) || !_wgco_start(c, error)) {
        wgco_shutdown(c);
        return NULL;
    }
    return c;
}

void wgco_shutdown(wgco_control* c) {
    _wgco_end(c);
    if (c->tick) {
        event_free(c->tick);
        event_free(c->plan_event);
        event_free(c->pump_event);
        event_free(c->stop_event);
    }
    g_free(c->sessions);
    g_free(c);
}

void wgco_stop(wgco_control* c) {
    if (c->stopping) {
        wg_log(WG_EVENT_STOP_HURRIED, "%s", "");
        event_base_loopbreak(c->base);
        return;
    }
    c->stopping = true;
    c->stop_at = wg_now();
    wg_log(WG_EVENT_STOP_BEGUN, "%s", "");
    if (!c->node) {
        event_base_loopbreak(c->base);
        return;
    }
    c->transferring_leadership = wgr_transfer_leadership(c->node, wg_now());
    if (c->discovers) {
        wgr_leave(c->node);
    }
    _wgco_pump(c);
    struct timeval period = {.tv_usec = 20 * WG_USEC_PER_MSEC};
    event_add(c->stop_event, &period);
}

void wgco_reload(wgco_control* c, const wgco_settings* settings) {
    if (c->discovers && !c->observer) {
        _wgco_discovery_set_seeds(c, settings, NULL);
    }
}

bool wgco_failed(const wgco_control* c) {
    return c->unrecoverable;
}
