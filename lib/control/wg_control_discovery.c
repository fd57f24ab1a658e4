/* wg_control_discovery.c -- discovery of controls through seeds, and replacement of lost replicas

   On the first start, every seed with a disk derives the same initial replica set and the same
   identities from the list of seeds, so no negotiation is needed. Controls that join later have
   random identities and are added by the leader, one membership change at a time. */
#include "wg_control_internal.h"

#include <string.h>

enum {
    /* Interval between announcements of this control; each goes to one seed. */
    WG_ANNOUNCE_INTERVAL = 400 * WG_USEC_PER_MSEC
};

/* ---- helpers ------------------------------------------------------------------------------- */

/* Converts a seed's "ip:port" to that host's name (the IP) and fleet address. */
static bool _wgco_parse_seed(const wgco_control* c, const char* seed, char name[WG_NAME_MAX],
                             char address[WG_ADDRESS_MAX]) {
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    if (!wgn_split_address(seed, ip, &port) || !wg_copy_name(name, WG_NAME_MAX, ip)) {
        return false;
    }
    g_snprintf(address, WG_ADDRESS_MAX, "%s:%d", ip, (int)c->settings->fleet_port);
    return true;
}

static uint64_t _wgco_seed_identity(const char* name) {
    return wg_hash(name, strlen(name), 1) | 1;
}

static _wgco_peer_t* _wgco_find_peer(wgco_control* c, const char* name) {
    for (int i = 0; i < c->peers_num; i++) {
        if (strcmp(c->peers[i].name, name) == 0) {
            return &c->peers[i];
        }
    }
    return NULL;
}

static bool _wgco_in_set(const wgco_control* c, const char* name) {
    const wgr_set* set = c->node ? wgr_query_set(c->node) : NULL;
    for (int i = 0; set && i < set->num; i++) {
        if (strcmp(set->replicas[i].name, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns an unused peer entry, or reuses that of a peer that is down and not in the set. */
static _wgco_peer_t* _wgco_allocate_peer(wgco_control* c) {
    if (c->peers_num < _WGCO_PEERS_MAX) {
        return &c->peers[c->peers_num++];
    }
    for (int i = 0; i < c->peers_num; i++) {
        _wgco_peer_t* peer = &c->peers[i];
        if (!peer->up && peer->link.id == 0 && !_wgco_in_set(c, peer->name)) {
            return peer;
        }
    }
    return NULL;
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgco_discovery_add_peer(wgco_control* c, const char* name, const char* address) {
    if (strcmp(name, c->settings->name) == 0 || _wgco_find_peer(c, name)) {
        return;
    }
    _wgco_peer_t* peer = _wgco_allocate_peer(c);
    if (peer) {
        *peer = (_wgco_peer_t){0};
        wg_copy_name(peer->name, sizeof peer->name, name);
        wg_copy_name(peer->address, sizeof peer->address, address);
    }
}

bool _wgco_discovery_set_seeds(wgco_control* c, const wgco_settings* settings, GError** error) {
    c->announce_seeds_num = 0;
    for (int i = 0; settings->seeds[i]; i++) {
        char name[WG_NAME_MAX];
        char address[WG_ADDRESS_MAX];
        if (!_wgco_parse_seed(c, settings->seeds[i], name, address)) {
            g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "[control] seeds: \"%s\" is not ip:port",
                        settings->seeds[i]);
            return false;
        }
        _wgco_discovery_add_peer(c, name, address);
        if (c->announce_seeds_num < WG_CONTROL_SEEDS_MAX) {
            wg_copy_name(c->announce_seeds[c->announce_seeds_num++], WG_NAME_MAX, name);
        }
    }
    return true;
}

static bool _wgco_initial_set(const wgco_control* c, wgr_set* set) {
    bool self = false;
    *set = (wgr_set){0};
    for (int i = 0; c->settings->seeds[i] && set->num < WGR_REPLICAS_MAX; i++) {
        wgr_replica* replica = &set->replicas[set->num++];
        _wgco_parse_seed(c, c->settings->seeds[i], replica->name, replica->address);
        replica->id = _wgco_seed_identity(replica->name);
        replica->voter = true;
        self = self || strcmp(replica->name, c->settings->name) == 0;
    }
    return self;
}

bool _wgco_discovery_bootstrap(wgco_control* c, GError** error) {
    wgr_set set;
    if (strcmp(c->settings->first_start, "true") != 0 || !_wgco_initial_set(c, &set)) {
        return true;
    }
    uint64_t cluster = 0;
    for (int i = 0; i < set.num; i++) {
        cluster ^= set.replicas[i].id;
    }
    wgs_store* store =
        wgs_open(&(wgs_desc){.folder = c->settings->data_folder,
                             .fresh_identity = _wgco_seed_identity(c->settings->name),
                             .fresh_cluster = cluster | 1},
                 error);
    if (!store) {
        return false;
    }
    bool good = true;
    if (wgs_query_content(store)->fresh) {
        GBytes* state = g_bytes_new(NULL, 0);
        good = wgs_save_hard_state(store, 1, 0, error) &&
               wgs_save_snapshot(store, 1, 1, &set, state, false, error);
        g_bytes_unref(state);
    }
    wgs_close(store);
    return good;
}

/* A seed need not have a data folder, and a control that starts knows only the seeds. Each
   control therefore announces its address to the entry hosts on the seeds and gets the addresses
   of other controls from them. */
static void _wgco_announce_self(wgco_control* c, wg_time now) {
    if (now < c->announce_at || c->announce_seeds_num == 0) {
        return;
    }
    c->announce_at = now + WG_ANNOUNCE_INTERVAL;
    if (c->announce_link.id) {
        wgn_close(c->net, c->announce_link);
        c->announce_link = (wgn_link){0};
    }
    const char* seed = c->announce_seeds[c->announce_next++ % c->announce_seeds_num];
    const wgr_set* set = wgr_query_set(c->node);
    if (set->num > 0 && _wgco_in_set(c, seed)) {
        return; /* a seed that is a replica is dialled directly */
    }
    char address[WG_ADDRESS_MAX];
    g_snprintf(address, sizeof address, "%.40s:%d", seed, (int)c->settings->entry_port);
    c->announce_link = wgn_dial(c->net, address);
}

bool _wgco_discovery_is_announcement(const wgco_control* c, wgn_link link) {
    return c->announce_link.id == link.id;
}

void _wgco_discovery_receive_controls(wgco_control* c, const wgw_frame* frame) {
    Wgpb__EntryState* in = wgpb__entry_state__unpack(NULL, frame->size, frame->payload);
    for (size_t i = 0; in && i < in->n_controls; i++) {
        char ip[WG_ADDRESS_MAX];
        uint16_t port;
        if (wgn_split_address(in->controls[i], ip, &port)) {
            _wgco_discovery_add_peer(c, ip, in->controls[i]);
        }
    }
    if (in) {
        wgpb__entry_state__free_unpacked(in, NULL);
    }
}

void _wgco_discovery_tick(wgco_control* c, wg_time now) {
    if (!c->discovers) {
        return;
    }
    const wgr_set* set = wgr_query_set(c->node);
    for (int i = 0; i < set->num; i++) {
        _wgco_discovery_add_peer(c, set->replicas[i].name, set->replicas[i].address);
    }
    _wgco_announce_self(c, now);
}
