/* wg_quorum.c -- elections, followers and output batches; see wg_quorum.h */
#include "wg_quorum_internal.h"

#include <string.h>

/* ---- helpers ------------------------------------------------------------------------------ */

static wgr_desc _wgr_desc_def(const wgr_desc* desc) {
    wgr_desc d = *desc;
    d.election_min = d.election_min ? d.election_min : WGR_ELECTION_MIN_DEFAULT;
    d.election_max = d.election_max ? d.election_max : WGR_ELECTION_MAX_DEFAULT;
    d.heartbeat = d.heartbeat ? d.heartbeat : WGR_HEARTBEAT_DEFAULT;
    d.message_bytes = d.message_bytes ? d.message_bytes : WGR_MESSAGE_BYTES_DEFAULT;
    d.losses = d.losses ? d.losses : WGR_LOSSES_DEFAULT;
    d.log_keep = d.log_keep ? d.log_keep : WGR_LOG_KEEP_DEFAULT;
    return d;
}

static void _wgr_message_free_parts(gpointer data) {
    wgr_message_clear(data);
}

static void _wgr_reset_election(wgr_node* n, wg_time now) {
    n->deadlines_extended = false;
    n->election_at = now + wg_jitter_range(n->desc.seed, n->jitter_counter++, n->desc.election_min,
                                           n->desc.election_max);
}

static void _wgr_set_term(wgr_node* n, uint64_t term) {
    WG_ASSERT(term >= n->term);
    if (term > n->term) {
        n->term = term;
        n->voted_for = 0;
        n->hard_state_dirty = true;
    }
}

static bool _wgr_is_up_to_date(const wgr_node* n, const wgr_message* m) {
    uint64_t last = _wgr_last_index(n);
    uint64_t last_term = _wgr_term_at(n, last);
    return m->log_term > last_term || (m->log_term == last_term && m->log_index >= last);
}

static bool _wgr_has_recent_leader(const wgr_node* n, wg_time now) {
    if (n->role == WGR_ROLE_LEADER) {
        return true;
    }
    return now - n->leader_contact_at < n->desc.election_min;
}

static bool _wgr_majority_of_votes(const wgr_node* n) {
    int granted = 0;
    for (int i = 0; i < n->votes_num; i++) {
        granted += _wgr_is_voter(n, n->votes[i]) ? 1 : 0;
    }
    return granted > _wgr_voters_num(n) / 2;
}

static void _wgr_count_vote(wgr_node* n, uint64_t from) {
    for (int i = 0; i < n->votes_num; i++) {
        if (n->votes[i] == from) {
            return;
        }
    }
    if (n->votes_num < WGR_REPLICAS_MAX) {
        n->votes[n->votes_num++] = from;
    }
}

/* ---- elections ---------------------------------------------------------------------------- */

void _wgr_become_follower(wgr_node* n, wg_time now, uint64_t term, uint64_t leader) {
    _wgr_unresponsive_end_term(n, now);
    _wgr_set_term(n, term);
    n->role = WGR_ROLE_FOLLOWER;
    n->leader = leader;
    n->transferring = false;
    _wgr_reset_election(n, now);
}

void _wgr_campaign(wgr_node* n, wg_time now, _wgr_campaign_kind kind) {
    bool pre = kind == WGR_CAMPAIGN_PRE;
    _wgr_reset_election(n, now);
    if (!_wgr_is_voter(n, n->desc.self)) {
        return;
    }
    n->leader = 0;
    n->votes_num = 0;
    _wgr_count_vote(n, n->desc.self);
    if (pre) {
        n->role = WGR_ROLE_PRE_CANDIDATE;
    } else {
        n->role = WGR_ROLE_CANDIDATE;
        _wgr_set_term(n, n->term + 1);
        n->voted_for = n->desc.self;
        n->hard_state_dirty = true;
        n->elections++;
    }
    if (_wgr_majority_of_votes(n)) {
        if (pre) {
            _wgr_campaign(n, now, WGR_CAMPAIGN_VOTE);
        } else {
            _wgr_become_leader(n, now);
        }
        return;
    }
    for (int i = 0; i < n->set.num; i++) {
        const wgr_replica* replica = &n->set.replicas[i];
        if (!replica->voter || replica->id == n->desc.self) {
            continue;
        }
        _wgr_unresponsive_await(n, now, replica->id);
        wgr_message* m = _wgr_send(n, pre ? WGR_MESSAGE_PRE_VOTE : WGR_MESSAGE_VOTE, replica->id);
        m->term = pre ? n->term + 1 : n->term;
        m->log_index = _wgr_last_index(n);
        m->log_term = _wgr_term_at(n, m->log_index);
        m->hint = kind == WGR_CAMPAIGN_FORCED ? 1 : 0;
        m->incarnation = kind == WGR_CAMPAIGN_START ? _wgr_start_incarnation(n, replica->id) : 0;
    }
}

static void _wgr_on_pre_vote(wgr_node* n, wg_time now, const wgr_message* m) {
    bool grant = m->term > n->term && !_wgr_has_recent_leader(n, now) && _wgr_is_up_to_date(n, m);
    n->votes_refused += grant ? 0 : 1;
    wgr_message* reply = _wgr_send(n, WGR_MESSAGE_PRE_VOTE_REPLY, m->from);
    reply->term = grant ? m->term : n->term;
    reply->reject = !grant;
}

static void _wgr_on_vote(wgr_node* n, wg_time now, const wgr_message* m) {
    bool forced = m->hint == 1;
    bool just_started = m->incarnation == n->incarnation && !n->promised;
    if (!forced && !just_started && _wgr_has_recent_leader(n, now)) {
        n->votes_refused++;
        return; /* ignores the term too: a replica that was partitioned must not depose a leader */
    }
    if (m->term > n->term) {
        _wgr_become_follower(n, now, m->term, 0);
    }
    bool free_vote = n->voted_for == 0 || n->voted_for == m->from;
    bool grant = m->term == n->term && free_vote && _wgr_is_up_to_date(n, m);
    if (grant) {
        n->voted_for = m->from;
        n->hard_state_dirty = true;
        _wgr_reset_election(n, now);
    } else {
        n->votes_refused++;
    }
    wgr_message* reply = _wgr_send(n, WGR_MESSAGE_VOTE_REPLY, m->from);
    reply->reject = !grant;
}

static void _wgr_on_vote_reply(wgr_node* n, wg_time now, const wgr_message* m, bool pre) {
    if (m->reject) {
        if (m->term > n->term) {
            _wgr_become_follower(n, now, m->term, 0);
        }
        return;
    }
    bool awaited = pre ? n->role == WGR_ROLE_PRE_CANDIDATE && m->term == n->term + 1
                       : n->role == WGR_ROLE_CANDIDATE && m->term == n->term;
    if (!awaited) {
        return;
    }
    _wgr_count_vote(n, m->from);
    if (!_wgr_majority_of_votes(n)) {
        return;
    }
    if (pre) {
        _wgr_campaign(n, now, WGR_CAMPAIGN_VOTE);
    } else {
        _wgr_become_leader(n, now);
    }
}

/* ---- followers ---------------------------------------------------------------------------- */

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

static void _wgr_on_append(wgr_node* n, wg_time now, const wgr_message* m) {
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

static void _wgr_on_snapshot(wgr_node* n, wg_time now, const wgr_message* m) {
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

static void _wgr_on_timeout_now(wgr_node* n, wg_time now, const wgr_message* m) {
    if (m->term == n->term && n->role == WGR_ROLE_FOLLOWER) {
        _wgr_campaign(n, now, WGR_CAMPAIGN_FORCED);
    }
}

/* ---- stalls ------------------------------------------------------------------------------- */

/* After a stall, extends the deadlines for elections and check-quorum once by a few heartbeats:
   messages that arrived during the stall are still unread, and acting before they are processed
   would cause needless elections and step-downs. Leases and vote promises stay in real time, since
   other replicas may have acted on them during the stall. */
static void _wgr_check_stall(wgr_node* n, wg_time now) {
    wg_time before = n->ticked_at;
    n->ticked_at = now;
    if (now - before < n->desc.election_min) {
        return;
    }
    _wgr_unresponsive_restart(n, before, now);
    if (n->deadlines_extended) {
        return;
    }
    wg_time extension = 2 * n->desc.heartbeat;
    n->deadlines_extended = true;
    n->deadlines_extended_until = now + extension;
    wg_time jitter = wg_jitter_range(n->desc.seed, n->jitter_counter++, extension, 2 * extension);
    n->election_at = MAX(n->election_at, now + jitter);
}

/* ---- leaving the set ---------------------------------------------------------------------- */

static void _wgr_request_leave(wgr_node* n, wg_time now) {
    if (!n->leaving || n->leave_answered || n->leader == 0 || now < n->leave_at) {
        return;
    }
    n->leave_at = now + n->desc.heartbeat;
    _wgr_send(n, WGR_MESSAGE_LEAVE, n->leader);
}

/* ---- functions of the library -------------------------------------------------------------- */

wgr_message* _wgr_send(wgr_node* n, wgr_message_type type, uint64_t to) {
    wgr_message m = {.type = type, .from = n->desc.self, .to = to, .term = n->term};
    g_array_append_val(n->messages, m);
    return &g_array_index(n->messages, wgr_message, n->messages->len - 1);
}

/* ---- public functions --------------------------------------------------------------------- */

wgr_node* wgr_setup(const wgr_desc* desc, GError** error) {
    wgr_desc d = _wgr_desc_def(desc);
    const char* field = NULL;
    if (d.self == 0) {
        field = "self";
    } else if (d.election_min <= 0 || d.election_max <= d.election_min) {
        field = "election_min/election_max";
    } else if (d.heartbeat <= 0 || d.heartbeat * 3 > d.election_min) {
        field = "heartbeat (at most a third of election_min)";
    } else if (d.gone_after && d.gone_after < d.election_max) {
        field = "gone_after (0, or at least election_max)";
    } else if (d.losses < 0 || 2 * d.losses + 1 > WGR_REPLICAS_MAX) {
        field = "losses";
    }
    if (field) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "wgr_desc.%s is missing or wrong", field);
        return NULL;
    }
    wgr_node* n = g_new0(wgr_node, 1);
    n->desc = d;
    n->lease = d.election_min * WGR_LEASE_PERCENT / 100;
    n->role = WGR_ROLE_FOLLOWER;
    n->incarnation = wg_hash(&d.seed, sizeof d.seed, d.self) | 1;
    n->messages = g_array_new(FALSE, TRUE, sizeof(wgr_message));
    g_array_set_clear_func(n->messages, _wgr_message_free_parts);
    _wgr_log_setup(n, d.restored);
    /* Before the restart this replica may have promised a leader not to vote. */
    n->leader_contact_at = d.now;
    n->ticked_at = d.now;
    _wgr_reset_election(n, d.now);
    return n;
}

void wgr_shutdown(wgr_node* n) {
    g_array_unref(n->entries);
    g_array_unref(n->messages);
    if (n->snapshot) {
        g_bytes_unref(n->snapshot);
    }
    if (n->install) {
        g_bytes_unref(n->install);
    }
    if (n->incoming) {
        g_byte_array_unref(n->incoming);
    }
    g_free(n);
}

void wgr_tick(wgr_node* n, wg_time now) {
    _wgr_check_stall(n, now);
    if (n->role == WGR_ROLE_LEADER) {
        _wgr_leader_tick(n, now);
    } else if (now >= n->election_at) {
        /* The only voter of a set wins at once; there are no promises of other voters. */
        _wgr_campaign(n, now, WGR_CAMPAIGN_PRE);
    } else {
        _wgr_start_tick(n, now);
        _wgr_request_leave(n, now);
    }
}

void wgr_step(wgr_node* n, wg_time now, const wgr_message* m) {
    if (m->to != n->desc.self || m->from == n->desc.self || m->from == 0) {
        return;
    }
    _wgr_unresponsive_clear(n, m->from);
    switch (m->type) {
    case WGR_MESSAGE_PRE_VOTE:
        _wgr_on_pre_vote(n, now, m);
        return;
    case WGR_MESSAGE_VOTE:
        _wgr_on_vote(n, now, m);
        return;
    case WGR_MESSAGE_PRE_VOTE_REPLY:
        _wgr_on_vote_reply(n, now, m, true);
        return;
    case WGR_MESSAGE_VOTE_REPLY:
        _wgr_on_vote_reply(n, now, m, false);
        return;
    case WGR_MESSAGE_APPEND:
        _wgr_on_append(n, now, m);
        return;
    case WGR_MESSAGE_SNAPSHOT:
        _wgr_on_snapshot(n, now, m);
        return;
    case WGR_MESSAGE_TIMEOUT_NOW:
        _wgr_on_timeout_now(n, now, m);
        return;
    case WGR_MESSAGE_START_QUERY:
        _wgr_on_start_query(n, m);
        return;
    case WGR_MESSAGE_START_REPLY:
        _wgr_on_start_reply(n, now, m);
        return;
    case WGR_MESSAGE_LEAVE:
        _wgr_on_leave(n, now, m);
        return;
    case WGR_MESSAGE_LEAVE_REPLY:
        n->leave_answered = n->leave_answered || n->leaving;
        return;
    default:
        break;
    }
    if (m->term > n->term) {
        _wgr_become_follower(n, now, m->term, 0);
        return;
    }
    if (m->term < n->term) {
        return;
    }
    if (m->type == WGR_MESSAGE_APPEND_REPLY) {
        _wgr_on_append_reply(n, now, m);
    } else if (m->type == WGR_MESSAGE_SNAPSHOT_REPLY) {
        _wgr_on_snapshot_reply(n, now, m);
    }
}

void wgr_leave(wgr_node* n) {
    n->leaving = true;
}

bool wgr_leave_is_settled(const wgr_node* n) {
    return n->leave_answered || !_wgr_is_voter(n, n->desc.self);
}

bool wgr_output_next(wgr_node* n, wgr_output* out) {
    WG_ASSERT(!n->output_open);
    *out = (wgr_output){0};
    uint64_t last = _wgr_last_index(n);
    bool pending = n->install || n->truncate_from || n->hard_state_dirty || n->messages->len > 0 ||
                   last > n->stable || n->commit > n->delivered;
    if (!pending) {
        return false;
    }
    if (n->install) {
        out->snapshot = n->install;
        out->snapshot_index = n->snapshot_index;
        out->snapshot_term = n->snapshot_term;
        out->snapshot_set = n->snapshot_set;
    }
    out->truncate_from = n->truncate_from;
    if (last > n->stable) {
        out->entries = _wgr_entry_at(n, n->stable + 1);
        out->entries_num = (int)(last - n->stable);
    }
    out->hard_state = n->hard_state_dirty;
    out->term = n->term;
    out->voted_for = n->voted_for;
    out->messages = (const wgr_message*)(void*)n->messages->data;
    out->messages_num = (int)n->messages->len;
    if (n->commit > n->delivered) {
        out->committed = _wgr_entry_at(n, n->delivered + 1);
        out->committed_num = (int)(n->commit - n->delivered);
        WG_ASSERT(out->committed != NULL);
    }
    n->output_open = true;
    n->output_last = last;
    n->output_messages = n->messages->len;
    n->delivered = n->commit;
    return true;
}

void wgr_output_done(wgr_node* n, wg_time now) {
    WG_ASSERT(n->output_open);
    n->output_open = false;
    if (n->install) {
        g_bytes_unref(n->install);
        n->install = NULL;
    }
    n->truncate_from = 0;
    n->hard_state_dirty = false;
    n->stable = n->output_last;
    g_array_remove_range(n->messages, 0, n->output_messages);
    _wgr_advance_commit(n, now);
}

bool wgr_leads(const wgr_node* n, wg_time now) {
    return n->role == WGR_ROLE_LEADER && n->commit >= n->term_start && now < _wgr_lease_until(n);
}

const wgr_set* wgr_query_set(const wgr_node* n) {
    return &n->set;
}

const wgr_set* wgr_query_snapshot_set(const wgr_node* n) {
    return &n->snapshot_set;
}

wgr_stats wgr_query_stats(const wgr_node* n, wg_time now) {
    (void)now;
    return (wgr_stats){.role = n->role,
                       .term = n->term,
                       .leader = n->leader,
                       .first_index = n->first_index,
                       .last_index = _wgr_last_index(n),
                       .last_term = _wgr_term_at(n, _wgr_last_index(n)),
                       .commit = n->commit,
                       .snapshot_index = n->snapshot_index,
                       .lease_until = _wgr_lease_until(n),
                       .elections = n->elections,
                       .votes_refused = n->votes_refused};
}

void wgr_message_clear(wgr_message* m) {
    for (int i = 0; i < m->entries_num; i++) {
        if (m->entries[i].data) {
            g_bytes_unref(m->entries[i].data);
        }
    }
    g_free(m->entries);
    if (m->chunk) {
        g_bytes_unref(m->chunk);
    }
    m->entries = NULL;
    m->entries_num = 0;
    m->chunk = NULL;
}
