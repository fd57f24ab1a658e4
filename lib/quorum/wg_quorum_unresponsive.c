/* wg_quorum_unresponsive.c -- tracks unresponsive replicas across changes of leader

   Only a leader receives replies from all replicas. Each heartbeat reports to the followers which
   replicas don't respond, and for how long, so that the next leader continues from there. If the
   time were reset in each term, leaders that change often would never remove a failed voter, and
   the next failure could cost the majority.

   While there is no leader, a candidate or a replica that has just started measures the time from
   its first request to a voter, so that the next leader does not start from zero.

   Message delay can make a follower's measured time shorter than the leader's, never longer. A
   replica is removed from the list when a message from it is received. A wrong entry cannot violate
   safety, because the set changes only by committed log entries. */
#include "wg_quorum_internal.h"

/* ---- helpers ------------------------------------------------------------------------------ */

static const _wgr_unresponsive_t* _wgr_find_unresponsive(const wgr_node* n, uint64_t id) {
    for (int i = 0; i < n->unresponsive_num; i++) {
        if (n->unresponsive[i].id == id) {
            return &n->unresponsive[i];
        }
    }
    return NULL;
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgr_unresponsive_report(const wgr_node* n, wg_time now, wgr_message* m) {
    for (int i = 0; i < n->peers_num; i++) {
        const _wgr_peer_t* peer = &n->peers[i];
        wg_time length = now - MAX(peer->acked_at, peer->unresponsive_since);
        if (length >= n->desc.election_min) {
            m->silences[m->silences_num++] = (wgr_unresponsive){.id = peer->id, .length = length};
        }
    }
}

void _wgr_unresponsive_update(wgr_node* n, wg_time now, const wgr_message* m) {
    n->unresponsive_num = 0;
    for (int i = 0; i < m->silences_num; i++) {
        const wgr_unresponsive* reported = &m->silences[i];
        if (reported->id != n->desc.self && reported->length > 0) {
            n->unresponsive[n->unresponsive_num++] = (_wgr_unresponsive_t){
                .id = reported->id, .last_contact_at = now - reported->length};
        }
    }
}

void _wgr_unresponsive_restart(wgr_node* n, wg_time before, wg_time now) {
    for (int i = 0; n->role == WGR_ROLE_LEADER && i < n->peers_num; i++) {
        _wgr_peer_t* peer = &n->peers[i];
        if (before - MAX(peer->acked_at, peer->unresponsive_since) < n->desc.election_min) {
            peer->unresponsive_since = now;
        }
    }
}

void _wgr_unresponsive_await(wgr_node* n, wg_time now, uint64_t id) {
    if (_wgr_is_voter(n, id) && !_wgr_find_unresponsive(n, id) &&
        n->unresponsive_num < WGR_REPLICAS_MAX) {
        n->unresponsive[n->unresponsive_num++] =
            (_wgr_unresponsive_t){.id = id, .last_contact_at = now};
    }
}

void _wgr_unresponsive_clear(wgr_node* n, uint64_t id) {
    for (int i = 0; i < n->unresponsive_num; i++) {
        if (n->unresponsive[i].id == id) {
            n->unresponsive[i] = n->unresponsive[--n->unresponsive_num];
            return;
        }
    }
}

void _wgr_unresponsive_begin_term(wgr_node* n, wg_time now) {
    for (int i = 0; i < n->peers_num; i++) {
        const _wgr_unresponsive_t* entry = _wgr_find_unresponsive(n, n->peers[i].id);
        n->peers[i].unresponsive_since = entry ? MIN(entry->last_contact_at, now) : now;
    }
    n->unresponsive_num = 0;
}

void _wgr_unresponsive_end_term(wgr_node* n, wg_time now) {
    if (n->role != WGR_ROLE_LEADER) {
        return;
    }
    wgr_message report = {0};
    _wgr_unresponsive_report(n, now, &report);
    _wgr_unresponsive_update(n, now, &report);
}
