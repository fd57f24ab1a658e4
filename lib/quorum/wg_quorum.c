/* wg_quorum.c -- setup, ticks, dispatch of messages and output batches; see wg_quorum.h */
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

/* ---- stalls ------------------------------------------------------------------------------- */

/* After a stall, extends the deadlines for elections and check-quorum once by a few heartbeats:
   messages that arrived during the stall are still unread, and acting before they are processed
   would cause needless elections and step-downs. Without it, a fleet on a machine that stood still
   for 0.7 s had no leader for 0.3 to 0.5 s more, and a leader that the others were too few to
   replace stepped down each time. Leases and vote promises stay in real time, since
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
