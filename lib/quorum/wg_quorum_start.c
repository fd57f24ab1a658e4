/* wg_quorum_start.c -- starts an election without delay when every voter has just started

   A replica that starts may have made a promise to a leader before its restart, so normally it
   waits until any lease based on that promise has expired. If all voters have restarted, there is
   no such lease. A replica checks this by asking all voters, in rounds:

   - Each voter answers with its incarnation (a random number generated at start) and whether it has
     been leader or had contact with one in this incarnation.
   - Once all incarnations are known, another round has to return the same answers. Otherwise a
     leader could have been elected between two answers of one round. A leader that holds a lease at
     the second answer cannot have based it on an incarnation that had already ended.
   - Vote requests carry the incarnation of each voter. A voter that has restarted or had contact
     with a leader in the meantime handles the request like any other and keeps its promise.

   The voters of the last snapshot's set are asked too: a leader that removes itself from the set
   counts until the change is committed. A replica whose data folder is known to be lost need not
   answer. To avoid split votes, only the replica with the newest log becomes a candidate; the
   lowest id wins among equal logs. If a voter doesn't answer, the regular election timeout
   applies. */
#include "wg_quorum_internal.h"

enum {
    /* Delay between rounds: a few round trips between data centres, well below an election
       timeout. */
    _WGR_START_GAP = 20 * WG_USEC_PER_MSEC
};

static bool _wgr_start_may_query(const wgr_node* n) {
    return !n->promised && !n->start_done && n->role != WGR_ROLE_LEADER &&
           _wgr_is_voter(n, n->desc.self);
}

static bool _wgr_start_is_replaced(const wgr_node* n, uint64_t id) {
    for (int i = 0; i < n->replaced_ids_num; i++) {
        if (n->replaced_ids[i] == id) {
            return true;
        }
    }
    return false;
}

static _wgr_start_reply_t* _wgr_start_reply_of(wgr_node* n, uint64_t id) {
    for (int i = 0; i < n->start_replies_num; i++) {
        if (n->start_replies[i].id == id) {
            return &n->start_replies[i];
        }
    }
    return NULL;
}

/* Adds the voters of a set that have to answer. */
static void _wgr_start_expect(wgr_node* n, const wgr_set* set) {
    for (int i = 0; i < set->num; i++) {
        uint64_t id = set->replicas[i].id;
        bool expected =
            set->replicas[i].voter && id != n->desc.self && !_wgr_start_is_replaced(n, id);
        if (expected && !_wgr_start_reply_of(n, id)) {
            n->start_replies[n->start_replies_num++] = (_wgr_start_reply_t){.id = id};
        }
    }
}

static void _wgr_start_query(wgr_node* n, wg_time now) {
    n->start_next_at = now + _WGR_START_GAP;
    n->start_round++;
    _wgr_start_expect(n, &n->set);
    _wgr_start_expect(n, &n->snapshot_set);
    for (int i = 0; i < n->start_replies_num; i++) {
        _wgr_unresponsive_await(n, now, n->start_replies[i].id);
        wgr_message* m = _wgr_send(n, WGR_MESSAGE_START_QUERY, n->start_replies[i].id);
        m->echo = n->start_round;
    }
}

/* Whether a voter has a newer log than this replica, or an equal log and a lower id. */
static bool _wgr_start_has_priority(const wgr_node* n, const _wgr_start_reply_t* other) {
    uint64_t last = _wgr_last_index(n);
    uint64_t last_term = _wgr_term_at(n, last);
    if (!_wgr_is_voter(n, other->id)) {
        return false;
    }
    if (other->log_term != last_term) {
        return other->log_term > last_term;
    }
    return other->log_index != last ? other->log_index > last : other->id < n->desc.self;
}

/* Whether all voters answered a round that began after every incarnation was known, and this
   replica has priority. */
static bool _wgr_start_is_confirmed(const wgr_node* n) {
    wg_time known_round = 0;
    for (int i = 0; i < n->start_replies_num; i++) {
        known_round = MAX(known_round, n->start_replies[i].known_round);
    }
    for (int i = 0; i < n->start_replies_num; i++) {
        const _wgr_start_reply_t* other = &n->start_replies[i];
        if (other->answered_round <= known_round || _wgr_start_has_priority(n, other)) {
            return false;
        }
    }
    return true;
}

static bool _wgr_start_knows_all(const wgr_node* n) {
    for (int i = 0; i < n->start_replies_num; i++) {
        if (n->start_replies[i].incarnation == 0) {
            return false;
        }
    }
    return true;
}

/* ---- functions of the library -------------------------------------------------------------- */

uint64_t _wgr_start_incarnation(const wgr_node* n, uint64_t id) {
    for (int i = 0; i < n->start_replies_num; i++) {
        if (n->start_replies[i].id == id) {
            return n->start_replies[i].incarnation;
        }
    }
    return 0;
}

void _wgr_start_tick(wgr_node* n, wg_time now) {
    if (!_wgr_start_may_query(n) || now < n->start_next_at) {
        return;
    }
    _wgr_start_query(n, now);
    if (n->start_replies_num == 0) {
        n->start_done = true; /* no other voter can hold a lease */
        _wgr_campaign(n, now, WGR_CAMPAIGN_START);
    }
}

void _wgr_on_start_query(wgr_node* n, const wgr_message* m) {
    wgr_message* reply = _wgr_send(n, WGR_MESSAGE_START_REPLY, m->from);
    reply->echo = m->echo;
    reply->incarnation = n->incarnation;
    reply->reject = n->promised;
    reply->log_index = _wgr_last_index(n);
    reply->log_term = _wgr_term_at(n, reply->log_index);
}

void _wgr_on_start_reply(wgr_node* n, wg_time now, const wgr_message* m) {
    _wgr_start_reply_t* other = _wgr_start_reply_of(n, m->from);
    if (!other || !_wgr_start_may_query(n)) {
        return;
    }
    if (m->reject) {
        n->start_done = true; /* there may be a leader: wait for the regular election timeout */
        return;
    }
    bool knew_all = _wgr_start_knows_all(n);
    if (other->incarnation != m->incarnation) {
        other->incarnation = m->incarnation;
        other->known_round = n->start_round;
    }
    other->answered_round = MAX(other->answered_round, m->echo);
    other->log_index = m->log_index;
    other->log_term = m->log_term;
    if (_wgr_start_is_confirmed(n)) {
        n->start_done = true;
        _wgr_campaign(n, now, WGR_CAMPAIGN_START);
    } else if (!knew_all && _wgr_start_knows_all(n)) {
        _wgr_start_query(n, now);
    }
}

/* ---- public functions ---------------------------------------------------------------------- */

void wgr_record_replaced(wgr_node* n, uint64_t id) {
    if (id == 0 || _wgr_start_is_replaced(n, id) ||
        n->replaced_ids_num == G_N_ELEMENTS(n->replaced_ids)) {
        return;
    }
    n->replaced_ids[n->replaced_ids_num++] = id;
    for (int i = 0; i < n->start_replies_num; i++) {
        if (n->start_replies[i].id == id) {
            n->start_replies[i] = n->start_replies[--n->start_replies_num];
            break;
        }
    }
}

bool wgr_is_replaced(const wgr_node* n, uint64_t id) {
    return _wgr_start_is_replaced(n, id);
}
