/* wg_quorum_set.c -- replica set changes by the leader: additions, replacement, removal

   One change is made at a time, and each is committed before the next. Tolerating the loss of n
   replicas takes 2n + 1 voters; the set shrinks below that only temporarily, when an unresponsive
   voter is removed so that its replacement can be promoted. */
#include "wg_quorum_internal.h"

#include <string.h>

/* ---- helpers ------------------------------------------------------------------------------ */

static uint64_t _wgr_propose_set(wgr_node* n, wg_time now, const wgr_set* set) {
    GBytes* data = wgr_set_pack(set);
    _wgr_log_append(n, n->term, WGR_ENTRY_REPLICAS, data);
    g_bytes_unref(data);
    _wgr_leader_set_changed(n, now);
    _wgr_send_to_all(n, now);
    return _wgr_last_index(n);
}

/* Allows one change at a time, and none before an entry of this term is committed. */
static bool _wgr_may_change_set(const wgr_node* n) {
    return n->role == WGR_ROLE_LEADER && n->commit >= n->term_start && n->set_index <= n->commit;
}

static void _wgr_set_remove(wgr_set* set, uint64_t id) {
    int kept = 0;
    for (int i = 0; i < set->num; i++) {
        if (set->replicas[i].id != id) {
            set->replicas[kept++] = set->replicas[i];
        }
    }
    set->num = kept;
}

static void _wgr_propose_removal(wgr_node* n, wg_time now, uint64_t id) {
    wgr_set next = n->set;
    _wgr_set_remove(&next, id);
    _wgr_propose_set(n, now, &next);
}

static void _wgr_propose_promotion(wgr_node* n, wg_time now, uint64_t id) {
    wgr_set next = n->set;
    for (int i = 0; i < next.num; i++) {
        next.replicas[i].voter = next.replicas[i].voter || next.replicas[i].id == id;
    }
    _wgr_propose_set(n, now, &next);
}

/* ---- helpers: responsiveness -------------------------------------------------------------- */

/* Whether a replica replied to this leader within the minimum election timeout; true for the leader
   itself. */
static bool _wgr_is_responsive(wgr_node* n, wg_time now, uint64_t id) {
    const _wgr_peer_t* peer = _wgr_peer(n, id);
    return !peer || now - peer->acked_at < n->desc.election_min;
}

/* Time since a replica's last contact with this leader or a previous one. */
static wg_time _wgr_time_since_contact(wgr_node* n, wg_time now, uint64_t id) {
    const _wgr_peer_t* peer = _wgr_peer(n, id);
    return peer ? now - MAX(peer->acked_at, peer->unresponsive_since) : 0;
}

/* A new leader waits for replies before it removes a replica, whatever previous leaders
   reported. */
static bool _wgr_peers_had_time_to_reply(const wgr_node* n, wg_time now) {
    return now - n->leader_since >= n->desc.election_min;
}

static int _wgr_responsive_voters_except(wgr_node* n, wg_time now, uint64_t id) {
    int num = 0;
    for (int i = 0; i < n->set.num; i++) {
        const wgr_replica* voter = &n->set.replicas[i];
        num += voter->voter && voter->id != id && _wgr_is_responsive(n, now, voter->id);
    }
    return num;
}

/* The unresponsive voter with the oldest contact; NULL when all voters respond. */
static const wgr_replica* _wgr_longest_unresponsive(wgr_node* n, wg_time now) {
    const wgr_replica* longest = NULL;
    for (int i = 0; i < n->set.num; i++) {
        const wgr_replica* voter = &n->set.replicas[i];
        if (!voter->voter || _wgr_is_responsive(n, now, voter->id)) {
            continue;
        }
        if (!longest || _wgr_time_since_contact(n, now, voter->id) >
                            _wgr_time_since_contact(n, now, longest->id)) {
            longest = voter;
        }
    }
    return longest;
}

/* Number of voters needed to tolerate `losses` failures. */
static int _wgr_full_set_num(const wgr_node* n) {
    return 2 * n->desc.losses + 1;
}

/* ---- helpers: leave requests -------------------------------------------------------------- */

static const _wgr_leave_request_t* _wgr_find_leave_request(const wgr_node* n, uint64_t id) {
    for (size_t i = 0; i < G_N_ELEMENTS(n->leave_requests); i++) {
        if (n->leave_requests[i].id == id) {
            return &n->leave_requests[i];
        }
    }
    return NULL;
}

/* Whether a replica asked to leave recently. One that is still running after the maximum election
   timeout may be added again under its id. */
static bool _wgr_is_leaving(const wgr_node* n, wg_time now, uint64_t id) {
    const _wgr_leave_request_t* request = _wgr_find_leave_request(n, id);
    return request && now - request->at < n->desc.election_max;
}

/* Reuses the replica's entry, else a free or the oldest one. */
static void _wgr_record_leave_request(wgr_node* n, wg_time now, uint64_t id) {
    _wgr_leave_request_t* slot = &n->leave_requests[0];
    for (size_t i = 0; i < G_N_ELEMENTS(n->leave_requests); i++) {
        _wgr_leave_request_t* request = &n->leave_requests[i];
        if (request->id == id) {
            slot = request;
            break;
        }
        if (request->id == 0 || request->at < slot->at) {
            slot = request;
        }
    }
    *slot = (_wgr_leave_request_t){.id = id, .at = now};
}

static bool _wgr_may_leave(wgr_node* n, wg_time now, uint64_t id) {
    return _wgr_responsive_voters_except(n, now, id) >= _wgr_full_set_num(n);
}

/* ---- helpers: steps of a set change ------------------------------------------------------- */

/* Removes a voter that asked to leave. Like the other steps, returns true when a change was
   proposed. */
static bool _wgr_remove_leaving(wgr_node* n, wg_time now) {
    for (int i = 0; i < n->peers_num; i++) {
        uint64_t id = n->peers[i].id;
        bool requested = _wgr_is_voter(n, id) && _wgr_is_leaving(n, now, id);
        if (requested && _wgr_may_leave(n, now, id)) {
            _wgr_propose_removal(n, now, id);
            return true;
        }
    }
    return false;
}

static bool _wgr_has_caught_up(wgr_node* n, wg_time now, const wgr_replica* learner) {
    const _wgr_peer_t* peer = _wgr_peer(n, learner->id);
    return peer && peer->progress == _WGR_PROGRESS_STREAM && peer->match >= n->commit &&
           now - peer->acked_at < n->desc.election_min;
}

static const wgr_replica* _wgr_caught_up_learner(wgr_node* n, wg_time now) {
    for (int i = 0; i < n->set.num; i++) {
        const wgr_replica* learner = &n->set.replicas[i];
        if (!learner->voter && _wgr_has_caught_up(n, now, learner)) {
            return learner;
        }
    }
    return NULL;
}

static const wgr_replica* _wgr_previous_identity(const wgr_node* n, const wgr_replica* learner) {
    for (int i = 0; i < n->set.num; i++) {
        const wgr_replica* other = &n->set.replicas[i];
        if (other->voter && strcmp(other->name, learner->name) == 0) {
            return other;
        }
    }
    return NULL;
}

/* An unresponsive learner would occupy a slot of the set forever. */
static const wgr_replica* _wgr_unresponsive_learner(wgr_node* n, wg_time now) {
    for (int i = 0; i < n->set.num; i++) {
        const wgr_replica* learner = &n->set.replicas[i];
        bool expired = _wgr_time_since_contact(n, now, learner->id) > n->desc.gone_after;
        if (!learner->voter && expired && !_wgr_is_responsive(n, now, learner->id)) {
            return learner;
        }
    }
    return NULL;
}

/* Removes a replica that has been unresponsive for too long. An unresponsive voter still counts
   towards the majority. If its replacement were promoted first, the next failure could cost the
   majority permanently (2 of 4 voters left), so the old voter is removed before. */
static bool _wgr_remove_unresponsive(wgr_node* n, wg_time now, const wgr_replica* learner) {
    if (n->desc.gone_after == 0 || !_wgr_peers_had_time_to_reply(n, now)) {
        return false;
    }
    const wgr_replica* expired_learner = _wgr_unresponsive_learner(n, now);
    if (expired_learner) {
        _wgr_propose_removal(n, now, expired_learner->id);
        return true;
    }
    const wgr_replica* voter = _wgr_longest_unresponsive(n, now);
    if (!voter || _wgr_time_since_contact(n, now, voter->id) <= n->desc.gone_after) {
        return false;
    }
    bool has_replacement = learner && _wgr_voters_num(n) >= _wgr_full_set_num(n);
    if (!has_replacement &&
        _wgr_responsive_voters_except(n, now, voter->id) < _wgr_full_set_num(n)) {
        return false;
    }
    _wgr_propose_removal(n, now, voter->id);
    return true;
}

/* In a full set, a learner isn't promoted while a voter is unresponsive, since it may have to
   replace that voter. It also waits long enough to detect a voter that failed just as the learner
   joined. The delay is harmless: a full set tolerates the required failures without the learner. */
static bool _wgr_waits_for_vacancy(wgr_node* n, wg_time now, const wgr_replica* learner) {
    if (n->desc.gone_after == 0 || _wgr_voters_num(n) < _wgr_full_set_num(n)) {
        return false;
    }
    return now - _wgr_peer(n, learner->id)->tracked_since < n->desc.gone_after ||
           _wgr_longest_unresponsive(n, now);
}

/* Promotes a learner that has caught up, after the previous id of the same name was removed. */
static bool _wgr_promote(wgr_node* n, wg_time now, const wgr_replica* learner) {
    const wgr_replica* previous = _wgr_previous_identity(n, learner);
    if (previous) {
        _wgr_propose_removal(n, now, previous->id);
        return true;
    }
    if (_wgr_waits_for_vacancy(n, now, learner)) {
        return false;
    }
    _wgr_propose_promotion(n, now, learner->id);
    return true;
}

/* ---- functions of the library -------------------------------------------------------------- */

/* Proposes the next step of the set changes in progress. */
void _wgr_continue_set_change(wgr_node* n, wg_time now) {
    if (!_wgr_may_change_set(n) || n->transferring || _wgr_remove_leaving(n, now)) {
        return;
    }
    const wgr_replica* learner = _wgr_caught_up_learner(n, now);
    bool proposed = learner && _wgr_promote(n, now, learner);
    if (!proposed) {
        _wgr_remove_unresponsive(n, now, learner);
    }
}

/* Replies only after the set without the sender is committed: until then its vote may be needed. */
void _wgr_on_leave(wgr_node* n, wg_time now, const wgr_message* m) {
    if (n->role != WGR_ROLE_LEADER) {
        return; /* the sender retries with the current leader */
    }
    bool is_voter = _wgr_is_voter(n, m->from);
    bool stays = is_voter && !_wgr_may_leave(n, now, m->from);
    if (!stays) {
        _wgr_record_leave_request(n, now, m->from);
    }
    bool settled = stays || (!is_voter && n->set_index <= n->commit);
    if (settled) {
        wgr_message* reply = _wgr_send(n, WGR_MESSAGE_LEAVE_REPLY, m->from);
        reply->reject = stays;
    }
}

/* ---- public functions --------------------------------------------------------------------- */

bool wgr_add(wgr_node* n, wg_time now, const wgr_replica* replica, GError** error) {
    if (!_wgr_may_change_set(n)) {
        g_set_error(error, WG_ERROR, WG_ERROR_CONFLICT,
                    "this replica is not the leader, or another replica set change is in progress");
        return false;
    }
    if (replica->id == 0 || !replica->name[0] || wgr_set_find(&n->set, replica->id)) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID,
                    "replica has no id or name, or its id is already in the set");
        return false;
    }
    if (_wgr_is_leaving(n, now, replica->id)) {
        g_set_error(error, WG_ERROR, WG_ERROR_CONFLICT, "replica %s has asked to leave the set",
                    replica->name);
        return false;
    }
    wgr_set next = n->set;
    for (int i = 0; i < n->set.num; i++) {
        const wgr_replica* other = &n->set.replicas[i];
        bool same_name = strcmp(other->name, replica->name) == 0;
        if (same_name && other->id == n->desc.self) {
            g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "the leader cannot replace itself");
            return false;
        }
        if (same_name && !other->voter) {
            /* Learner of an earlier addition that was not completed. */
            _wgr_set_remove(&next, other->id);
        }
    }
    if (next.num == WGR_REPLICAS_MAX) {
        g_set_error(error, WG_ERROR, WG_ERROR_FULL, "replica set is full: at most %d replicas",
                    WGR_REPLICAS_MAX);
        return false;
    }
    next.replicas[next.num] = *replica;
    next.replicas[next.num++].voter = false;
    _wgr_propose_set(n, now, &next);
    return true;
}

bool wgr_remove(wgr_node* n, wg_time now, uint64_t id, GError** error) {
    const wgr_replica* replica = wgr_set_find(&n->set, id);
    bool last_voter = replica && replica->voter && _wgr_voters_num(n) == 1;
    if (!_wgr_may_change_set(n) || !replica || last_voter) {
        g_set_error(error, WG_ERROR, WG_ERROR_CONFLICT,
                    "this replica is not the leader, another replica set change is in progress, "
                    "or the replica is unknown or the last voter");
        return false;
    }
    wgr_set next = n->set;
    _wgr_set_remove(&next, id);
    _wgr_propose_set(n, now, &next);
    return true;
}
