/* wg_quorum_follower.c -- entries and snapshots received from the leader */
#include "wg_quorum_internal.h"

/* ---- helpers ------------------------------------------------------------------------------ */

/* Common to all messages that only the leader of a term sends. Returns false when the message is
   from an older term. */
static bool _wgr_accept_leader(wgr_node* n, wg_time now, const wgr_message* m) {
    if (m->term < n->term) {
        return false;
    }
    WG_ASSERT(!(n->role == WGR_ROLE_LEADER && m->term == n->term));
    if (m->term > n->term || n->role != WGR_ROLE_FOLLOWER || n->leader != m->from) {
        _wgr_become_follower(n, now, m->term, m->from);
    }
    n->leader_contact_at = now;
    n->promised = true;
    _wgr_reset_election(n, now);
    return true;
}

/* Appends missing entries and truncates conflicting ones. Returns the last index that matches the
   leader's log. */
static uint64_t _wgr_merge_entries(wgr_node* n, const wgr_message* m) {
    for (int i = 0; i < m->entries_num; i++) {
        const wgr_entry* entry = &m->entries[i];
        if (entry->index <= n->commit) {
            continue; /* committed entries always match */
        }
        if (entry->index <= _wgr_last_index(n)) {
            if (_wgr_term_at(n, entry->index) == entry->term) {
                continue;
            }
            _wgr_log_truncate(n, entry->index);
        }
        WG_ASSERT(entry->index == _wgr_last_index(n) + 1);
        _wgr_log_append(n, entry->term, entry->kind, entry->data);
    }
    return m->log_index + (uint64_t)m->entries_num;
}

static void _wgr_install(wgr_node* n, const wgr_message* m) {
    GBytes* state = g_byte_array_free_to_bytes(n->incoming);
    n->incoming = NULL;
    if (_wgr_term_at(n, m->snapshot_index) == m->snapshot_term) {
        /* The log already contains the snapshot's last entry; later entries may have been
           acknowledged. */
        _wgr_commit_to(n, m->snapshot_index);
        g_bytes_unref(state);
        return;
    }
    _wgr_log_reset(n, m->snapshot_index, m->snapshot_term, &m->set, state);
    if (n->install) {
        g_bytes_unref(n->install);
    }
    n->install = state;
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgr_on_append(wgr_node* n, wg_time now, const wgr_message* m) {
    bool current = _wgr_accept_leader(n, now, m);
    wgr_message* reply = _wgr_send(n, WGR_MESSAGE_APPEND_REPLY, m->from);
    reply->echo = m->echo;
    reply->log_index = m->log_index;
    if (!current) {
        reply->reject = true;
        reply->hint = _wgr_last_index(n);
        reply->echo = 0;
        return;
    }
    _wgr_unresponsive_update(n, now, m);
    bool below_commit = m->log_index <= n->commit;
    bool agrees =
        m->log_index <= _wgr_last_index(n) && _wgr_term_at(n, m->log_index) == m->log_term;
    if (!below_commit && !agrees) {
        reply->reject = true;
        reply->hint = MIN(_wgr_last_index(n), m->log_index - 1);
        return;
    }
    uint64_t matched = MAX(_wgr_merge_entries(n, m), n->commit);
    matched = MIN(matched, _wgr_last_index(n));
    reply->log_index = matched;
    _wgr_commit_to(n, MIN(m->commit, matched));
}

void _wgr_on_snapshot(wgr_node* n, wg_time now, const wgr_message* m) {
    bool current = _wgr_accept_leader(n, now, m);
    wgr_message* reply = _wgr_send(n, WGR_MESSAGE_SNAPSHOT_REPLY, m->from);
    reply->snapshot_index = m->snapshot_index;
    reply->total = m->total;
    if (!current) {
        reply->offset = UINT64_MAX;
        return;
    }
    reply->echo = m->echo;
    if (m->offset == UINT64_MAX) {
        reply->offset = UINT64_MAX;
        return;
    }
    if (m->snapshot_index <= n->commit) {
        reply->offset = m->total;
        reply->log_index = n->commit;
        return;
    }
    bool other =
        n->incoming && (n->incoming_index != m->snapshot_index || n->incoming_from != m->from);
    if (other || (m->offset == 0 && n->incoming)) {
        g_byte_array_unref(n->incoming);
        n->incoming = NULL;
    }
    if (!n->incoming) {
        n->incoming = g_byte_array_new();
        n->incoming_index = m->snapshot_index;
        n->incoming_from = m->from;
    }
    if (m->offset == n->incoming->len && m->chunk) {
        gsize size;
        const uint8_t* data = g_bytes_get_data(m->chunk, &size);
        g_byte_array_append(n->incoming, data, (guint)size);
    }
    reply->offset = n->incoming->len;
    if (n->incoming->len == m->total) {
        _wgr_install(n, m);
        reply->log_index = n->commit;
    }
}

void _wgr_on_timeout_now(wgr_node* n, wg_time now, const wgr_message* m) {
    if (m->term == n->term && n->role == WGR_ROLE_FOLLOWER) {
        _wgr_campaign(n, now, WGR_CAMPAIGN_FORCED);
    }
}
