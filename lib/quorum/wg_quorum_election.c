/* wg_quorum_election.c -- campaigns and votes

   A candidate first asks whether it could win (pre-vote), so that a replica that was partitioned
   does not raise the term. A replica in contact with a leader votes for nobody else. */
#include "wg_quorum_internal.h"

/* ---- helpers ------------------------------------------------------------------------------ */

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

/* ---- functions of the library -------------------------------------------------------------- */

void _wgr_reset_election(wgr_node* n, wg_time now) {
    n->deadlines_extended = false;
    n->election_at = now + wg_jitter_range(n->desc.seed, n->jitter_counter++, n->desc.election_min,
                                           n->desc.election_max);
}

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

void _wgr_on_pre_vote(wgr_node* n, wg_time now, const wgr_message* m) {
    bool grant = m->term > n->term && !_wgr_has_recent_leader(n, now) && _wgr_is_up_to_date(n, m);
    n->votes_refused += grant ? 0 : 1;
    wgr_message* reply = _wgr_send(n, WGR_MESSAGE_PRE_VOTE_REPLY, m->from);
    reply->term = grant ? m->term : n->term;
    reply->reject = !grant;
}

void _wgr_on_vote(wgr_node* n, wg_time now, const wgr_message* m) {
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

void _wgr_on_vote_reply(wgr_node* n, wg_time now, const wgr_message* m, bool pre) {
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
