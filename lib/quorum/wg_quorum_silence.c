/* wg_quorum_silence.c -- tracks unresponsive replicas across changes of leader

   Only a leader receives replies from all replicas. Each heartbeat reports to the followers which
   replicas don't respond, and for how long, so that the next leader continues from there. If the
   time were reset in each term, leaders that change often would never remove a failed voter, and
   the next failure could cost the majority.

   While there is no leader, a candidate or a replica that has just started measures the time from
   its first request to a voter.

   Message delay can make a follower's measured time shorter than the leader's, never longer. A
   replica is removed from the list when a message from it is received. A wrong entry cannot violate
   safety, because the set changes only by committed log entries. */
#include "wg_quorum_internal.h"

/* ---- helpers ------------------------------------------------------------------------------ */

static const _wgr_silent_t* _wgr_silent(const wgr_node* n, uint64_t id) {
    for (int i = 0; i < n->silent_num; i++) {
        if (n->silent[i].id == id) {
            return &n->silent[i];
        }
    }
    return NULL;
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgr_silence_tell(const wgr_node* n, wg_time now, wgr_message* m) {
    for (int i = 0; i < n->peers_num; i++) {
        const _wgr_peer_t* peer = &n->peers[i];
        wg_time length = now - MAX(peer->acked_at, peer->silent_since);
        if (length >= n->desc.election_min) {
            m->silences[m->silences_num++] = (wgr_silence){.id = peer->id, .length = length};
        }
    }
}

void _wgr_silence_learn(wgr_node* n, wg_time now, const wgr_message* m) {
    n->silent_num = 0;
    for (int i = 0; i < m->silences_num; i++) {
        const wgr_silence* silence = &m->silences[i];
        if (silence->id != n->desc.self && silence->length > 0) {
            n->silent[n->silent_num++] =
                (_wgr_silent_t){.id = silence->id, .since = now - silence->length};
        }
    }
}

void _wgr_silence_begin_anew(wgr_node* n, wg_time before, wg_time now) {
    for (int i = 0; n->role == WGR_ROLE_LEADER && i < n->peers_num; i++) {
        _wgr_peer_t* peer = &n->peers[i];
        if (before - MAX(peer->acked_at, peer->silent_since) < n->desc.election_min) {
            peer->silent_since = now;
        }
    }
}

void _wgr_silence_ask(wgr_node* n, wg_time now, uint64_t id) {
    if (_wgr_is_voter(n, id) && !_wgr_silent(n, id) && n->silent_num < WGR_REPLICAS_MAX) {
        n->silent[n->silent_num++] = (_wgr_silent_t){.id = id, .since = now};
    }
}

void _wgr_silence_is_broken(wgr_node* n, uint64_t id) {
    for (int i = 0; i < n->silent_num; i++) {
        if (n->silent[i].id == id) {
            n->silent[i] = n->silent[--n->silent_num];
            return;
        }
    }
}

void _wgr_silence_inherit(wgr_node* n, wg_time now) {
    for (int i = 0; i < n->peers_num; i++) {
        const _wgr_silent_t* silent = _wgr_silent(n, n->peers[i].id);
        n->peers[i].silent_since = silent ? MIN(silent->since, now) : now;
    }
    n->silent_num = 0;
}

void _wgr_silence_leave(wgr_node* n, wg_time now) {
    if (n->role != WGR_ROLE_LEADER) {
        return;
    }
    wgr_message kept = {0};
    _wgr_silence_tell(n, now, &kept);
    _wgr_silence_learn(n, now, &kept);
}
