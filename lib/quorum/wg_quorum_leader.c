/* wg_quorum_leader.c -- leader: replication, commit, lease, leadership transfer */
#include "wg_quorum_internal.h"

#include <string.h>

/* ---- helpers ------------------------------------------------------------------------------ */

static void _wgr_send_snapshot(wgr_node* n, wg_time now, _wgr_peer_t* peer) {
    if (!n->snapshot) {
        return;
    }
    if (peer->progress != _WGR_PROGRESS_SNAPSHOT || peer->snapshot_index != n->snapshot_index) {
        peer->progress = _WGR_PROGRESS_SNAPSHOT;
        peer->snapshot_index = n->snapshot_index;
        peer->offset = 0;
    }
    gsize total = g_bytes_get_size(n->snapshot);
    gsize size = MIN((gsize)n->desc.message_bytes, total - peer->offset);
    wgr_message* m = _wgr_send(n, WGR_MESSAGE_SNAPSHOT, peer->id);
    m->snapshot_index = n->snapshot_index;
    m->snapshot_term = n->snapshot_term;
    m->set = n->snapshot_set;
    m->offset = peer->offset;
    m->total = total;
    m->chunk = g_bytes_new_from_bytes(n->snapshot, peer->offset, size);
    m->echo = now;
    peer->sent_at = now;
}

static void _wgr_send_entries(wgr_node* n, wg_time now, _wgr_peer_t* peer) {
    wgr_message* m = _wgr_send(n, WGR_MESSAGE_APPEND, peer->id);
    m->log_index = peer->next - 1;
    m->log_term = _wgr_term_at(n, peer->next - 1);
    m->commit = n->commit;
    m->echo = now;
    _wgr_unresponsive_report(n, now, m);
    uint64_t last = _wgr_last_index(n);
    size_t bytes = 0;
    uint64_t end = peer->next;
    while (end <= last && bytes < (size_t)n->desc.message_bytes) {
        const wgr_entry* entry = _wgr_entry_at(n, end);
        bytes += 32 + (entry->data ? g_bytes_get_size(entry->data) : 0);
        end++;
    }
    m->entries_num = (int)(end - peer->next);
    m->entries = g_new0(wgr_entry, MAX(m->entries_num, 1));
    for (int i = 0; i < m->entries_num; i++) {
        m->entries[i] = *_wgr_entry_at(n, peer->next + (uint64_t)i);
        if (m->entries[i].data) {
            g_bytes_ref(m->entries[i].data);
        }
    }
    if (peer->progress == _WGR_PROGRESS_STREAM) {
        peer->next = end;
    }
    peer->sent_at = now;
}

static void _wgr_send_to_peer(wgr_node* n, wg_time now, _wgr_peer_t* peer) {
    bool known = peer->next - 1 == 0 || _wgr_term_at(n, peer->next - 1) != 0;
    if (!known || peer->next < n->first_index) {
        _wgr_send_snapshot(n, now, peer);
    } else {
        _wgr_send_entries(n, now, peer);
    }
}

static int _wgr_compare_descending(const void* a, const void* b) {
    int64_t left = *(const int64_t*)a;
    int64_t right = *(const int64_t*)b;
    return left < right ? 1 : left > right ? -1 : 0;
}

/* Highest value that a majority of voters has reached; `own` is the value of this replica. */
static int64_t _wgr_majority(const wgr_node* n, int64_t own, int64_t (*value)(const _wgr_peer_t*)) {
    int64_t values[WGR_REPLICAS_MAX];
    int num = 0;
    for (int i = 0; i < n->peers_num; i++) {
        if (_wgr_is_voter(n, n->peers[i].id)) {
            values[num++] = value(&n->peers[i]);
        }
    }
    if (_wgr_is_voter(n, n->desc.self)) {
        values[num++] = own;
    }
    if (num == 0) {
        return 0;
    }
    qsort(values, (size_t)num, sizeof values[0], _wgr_compare_descending);
    return values[num / 2];
}

static int64_t _wgr_peer_acked(const _wgr_peer_t* peer) {
    return peer->acked_at;
}

static int64_t _wgr_peer_match(const _wgr_peer_t* peer) {
    return (int64_t)peer->match;
}

/* ---- functions of the library -------------------------------------------------------------- */

_wgr_peer_t* _wgr_peer(wgr_node* n, uint64_t id) {
    for (int i = 0; i < n->peers_num; i++) {
        if (n->peers[i].id == id) {
            return &n->peers[i];
        }
    }
    return NULL;
}

void _wgr_become_leader(wgr_node* n, wg_time now) {
    WG_ASSERT(_wgr_is_voter(n, n->desc.self));
    n->role = WGR_ROLE_LEADER;
    n->promised = true;
    n->leader = n->desc.self;
    n->transferring = false;
    n->leader_since = now;
    n->peers_num = 0;
    _wgr_leader_set_changed(n, now);
    _wgr_unresponsive_begin_term(n, now);
    _wgr_log_append(n, n->term, WGR_ENTRY_EMPTY, NULL);
    n->term_start = _wgr_last_index(n);
    _wgr_send_to_all(n, now);
}

void _wgr_leader_set_changed(wgr_node* n, wg_time now) {
    _wgr_peer_t old[WGR_REPLICAS_MAX];
    int old_num = n->peers_num;
    memcpy(old, n->peers, sizeof old);
    n->peers_num = 0;
    for (int i = 0; i < n->set.num; i++) {
        uint64_t id = n->set.replicas[i].id;
        if (id == n->desc.self) {
            continue;
        }
        _wgr_peer_t* peer = &n->peers[n->peers_num++];
        *peer = (_wgr_peer_t){
            .id = id, .progress = _WGR_PROGRESS_PROBE, .next = _wgr_last_index(n) + 1};
        peer->acked_at = _WGR_NEVER_ACKED;
        peer->sent_at = _WGR_NEVER_ACKED;
        peer->tracked_since = now;
        peer->unresponsive_since = now;
        for (int j = 0; j < old_num; j++) {
            if (old[j].id == id) {
                *peer = old[j];
            }
        }
    }
}

void _wgr_send_to_all(wgr_node* n, wg_time now) {
    n->heartbeat_at = now + n->desc.heartbeat;
    for (int i = 0; i < n->peers_num; i++) {
        _wgr_peer_t* peer = &n->peers[i];
        bool waiting =
            peer->progress == _WGR_PROGRESS_SNAPSHOT && now - peer->sent_at < n->desc.election_min;
        if (waiting) {
            /* A chunk is in flight; send a heartbeat without data so that the peer keeps
               contact. */
            wgr_message* m = _wgr_send(n, WGR_MESSAGE_SNAPSHOT, peer->id);
            m->snapshot_index = peer->snapshot_index;
            m->offset = UINT64_MAX;
            m->echo = now;
        } else {
            _wgr_send_to_peer(n, now, peer);
        }
    }
}

wg_time _wgr_lease_until(const wgr_node* n) {
    if (n->role != WGR_ROLE_LEADER || n->transferring) {
        return 0;
    }
    wg_time confirmed = _wgr_majority(n, WG_TIME_NEVER / 2, _wgr_peer_acked);
    return confirmed + n->lease;
}

void _wgr_leader_tick(wgr_node* n, wg_time now) {
    if (n->transferring && now >= n->transferring_until) {
        /* No lease again in this term: a delayed TIMEOUT_NOW may still start an election. */
        _wgr_become_follower(n, now, n->term, 0);
        return;
    }
    wg_time confirmed = _wgr_majority(n, WG_TIME_NEVER / 2, _wgr_peer_acked);
    n->deadlines_extended = n->deadlines_extended && now - confirmed >= n->desc.election_min;
    bool in_extension = n->deadlines_extended && now < n->deadlines_extended_until;
    if (!in_extension && MAX(confirmed, n->leader_since) + n->desc.election_max < now) {
        _wgr_become_follower(n, now, n->term, 0);
        return;
    }
    if (now >= n->heartbeat_at) {
        _wgr_send_to_all(n, now);
    }
    _wgr_continue_set_change(n, now);
}

void _wgr_advance_commit(wgr_node* n, wg_time now) {
    if (n->role != WGR_ROLE_LEADER) {
        return;
    }
    uint64_t index = (uint64_t)_wgr_majority(n, (int64_t)n->stable, _wgr_peer_match);
    if (index <= n->commit || _wgr_term_at(n, index) != n->term) {
        return;
    }
    _wgr_commit_to(n, index);
    if (!_wgr_is_voter(n, n->desc.self) && n->set_index <= n->commit) {
        _wgr_become_follower(n, now, n->term, 0);
        return;
    }
    _wgr_send_to_all(n, now);
}

void _wgr_on_append_reply(wgr_node* n, wg_time now, const wgr_message* m) {
    _wgr_peer_t* peer = n->role == WGR_ROLE_LEADER ? _wgr_peer(n, m->from) : NULL;
    if (!peer) {
        return;
    }
    peer->acked_at = MAX(peer->acked_at, m->echo);
    if (m->reject) {
        if (m->log_index <= peer->match) {
            return; /* outdated rejection: a later reply already matched this index */
        }
        uint64_t next = MIN(m->log_index, m->hint + 1);
        peer->next = MAX(MIN(peer->next, next), peer->match + 1);
        peer->progress = _WGR_PROGRESS_PROBE;
        _wgr_send_to_peer(n, now, peer);
        return;
    }
    WG_ASSERT(m->log_index <= _wgr_last_index(n));
    peer->match = MAX(peer->match, m->log_index);
    peer->next = MAX(peer->next, peer->match + 1);
    peer->progress = _WGR_PROGRESS_STREAM;
    _wgr_advance_commit(n, now);
    if (n->role == WGR_ROLE_LEADER && peer->next <= _wgr_last_index(n)) {
        _wgr_send_to_peer(n, now, peer);
    }
}

void _wgr_on_snapshot_reply(wgr_node* n, wg_time now, const wgr_message* m) {
    _wgr_peer_t* peer = n->role == WGR_ROLE_LEADER ? _wgr_peer(n, m->from) : NULL;
    if (!peer) {
        return;
    }
    peer->acked_at = MAX(peer->acked_at, m->echo);
    bool awaited =
        peer->progress == _WGR_PROGRESS_SNAPSHOT && m->snapshot_index == peer->snapshot_index;
    if (!awaited || m->offset == UINT64_MAX) {
        return;
    }
    peer->offset = m->offset;
    if (m->offset < m->total) {
        _wgr_send_snapshot(n, now, peer);
        return;
    }
    peer->match = MAX(peer->match, m->log_index);
    peer->next = peer->match + 1;
    peer->progress = _WGR_PROGRESS_PROBE;
    _wgr_send_to_peer(n, now, peer);
}

/* ---- public functions --------------------------------------------------------------------- */

uint64_t wgr_propose(wgr_node* n, wg_time now, const void* data, size_t size) {
    if (n->role != WGR_ROLE_LEADER || n->transferring) {
        return 0;
    }
    GBytes* bytes = g_bytes_new(data, size);
    _wgr_log_append(n, n->term, WGR_ENTRY_DATA, bytes);
    g_bytes_unref(bytes);
    _wgr_send_to_all(n, now);
    return _wgr_last_index(n);
}

bool wgr_transfer_leadership(wgr_node* n, wg_time now) {
    if (n->role != WGR_ROLE_LEADER || n->transferring) {
        return false;
    }
    const _wgr_peer_t* best = NULL;
    for (int i = 0; i < n->peers_num; i++) {
        const _wgr_peer_t* peer = &n->peers[i];
        bool responsive = now - peer->acked_at < n->desc.election_min;
        if (_wgr_is_voter(n, peer->id) && responsive && (!best || peer->match > best->match)) {
            best = peer;
        }
    }
    if (!best) {
        return false;
    }
    n->transferring = true;
    n->transferring_until = now + n->desc.election_max;
    _wgr_send(n, WGR_MESSAGE_TIMEOUT_NOW, best->id);
    return true;
}

uint64_t wgr_query_match(const wgr_node* n, uint64_t id) {
    if (id == n->desc.self) {
        return n->stable;
    }
    const _wgr_peer_t* peer = _wgr_peer((wgr_node*)n, id);
    return peer ? peer->match : 0;
}
