#pragma once
/* wg_quorum_internal.h -- state shared by the files of lib/quorum; not installed */
#include "wg_quorum.h"

/* Acknowledgement time of a peer that has not acknowledged; distant past, without overflow in
   sums. */
#define _WGR_NEVER_ACKED (INT64_MIN / 4)

/* How the leader replicates to a peer. */
typedef enum {
    _WGR_PROGRESS_DEFAULT = 0,
    _WGR_PROGRESS_PROBE,    /* match index unknown: one message at a time */
    _WGR_PROGRESS_STREAM,   /* match index known: entries are sent as they are appended */
    _WGR_PROGRESS_SNAPSHOT, /* the peer needs entries that are no longer in the log: snapshot
                               chunks, one at a time */
    _WGR_PROGRESS_NUM
} _wgr_progress;

typedef struct {
    uint64_t id;
    _wgr_progress progress;
    uint64_t match;
    uint64_t next;
    uint64_t snapshot_index; /* index of the snapshot being sent */
    uint64_t offset;
    wg_time sent_at;       /* time of the last message to this peer */
    wg_time acked_at;      /* newest of the leader's own times echoed by this peer in this term */
    wg_time tracked_since; /* time when the peer joined the set or this replica became leader */
    wg_time unresponsive_since; /* last contact known from previous leaders, or end of a stall;
                                   acked_at counts if newer */
} _wgr_peer_t;

/* A replica that does not respond to the leader, or to this replica while there is no leader. */
typedef struct {
    uint64_t id;
    wg_time last_contact_at; /* last contact, in local time */
} _wgr_unresponsive_t;

/* Answer of another replica while this one asks whether all voters have just started. */
typedef struct {
    uint64_t id;
    uint64_t incarnation;   /* incarnation of the replica; 0: no answer yet */
    wg_time known_round;    /* round in which this incarnation was first seen */
    wg_time answered_round; /* newest round that the replica answered */
    uint64_t log_index;
    uint64_t log_term;
} _wgr_start_reply_t;

/* Time of the last request of a replica to leave the set. */
typedef struct {
    uint64_t id; /* 0: unused */
    wg_time at;
} _wgr_leave_request_t;

/* Reason for an election campaign. */
typedef enum {
    WGR_CAMPAIGN_DEFAULT = 0,
    WGR_CAMPAIGN_PRE,    /* pre-vote: asks whether a vote would be granted */
    WGR_CAMPAIGN_VOTE,   /* regular vote, after the pre-vote succeeded */
    WGR_CAMPAIGN_FORCED, /* leadership transfer */
    WGR_CAMPAIGN_START   /* every voter has just started: no lease can be in force */
} _wgr_campaign_kind;

struct wgr_node {
    wgr_desc desc;
    wg_time lease; /* duration */

    uint64_t term;
    uint64_t voted_for;
    wgr_role role;
    uint64_t leader;

    /* log: entries[i].index == first_index + i; older entries are covered by the snapshot */
    GArray* entries;
    uint64_t first_index;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    wgr_set snapshot_set;
    GBytes* snapshot;
    uint64_t commit;
    uint64_t delivered; /* last index returned as committed by wgr_output_next() */
    uint64_t stable;    /* last index that is synced to disk */
    wgr_set set;        /* newest replica set in the log, committed or not */
    uint64_t set_index;

    /* pending output */
    GArray* messages;
    uint64_t truncate_from;
    bool hard_state_dirty;
    GBytes* install; /* received snapshot that the caller has to store */
    bool output_open;
    uint64_t output_last;
    guint output_messages;

    /* elections */
    wg_time ticked_at;       /* time of the last wgr_tick() */
    bool deadlines_extended; /* deadlines were extended after a stall; cleared when the election
                                timer is reset or a majority confirms this leader */
    wg_time deadlines_extended_until; /* end of that extension */
    uint64_t jitter_counter;
    wg_time election_at;
    wg_time leader_contact_at;
    uint64_t votes[WGR_REPLICAS_MAX];
    int votes_num;

    /* start: wg_quorum_start.c */
    uint64_t incarnation; /* random id of this run of the process, never 0 */
    bool promised;   /* in this incarnation the replica has been leader or in contact with one */
    bool start_done; /* no more START_QUERY rounds in this incarnation */
    wg_time start_next_at;
    wg_time start_round;
    _wgr_start_reply_t start_replies[2 * WGR_REPLICAS_MAX]; /* one for each voter of the current set
                                                               and of the snapshot's set */
    int start_replies_num;
    uint64_t replaced_ids[4 * WGR_REPLICAS_MAX]; /* ids whose data folder is lost */
    int replaced_ids_num;

    /* wg_quorum_unresponsive.c; empty while this replica leads */
    _wgr_unresponsive_t unresponsive[WGR_REPLICAS_MAX];
    int unresponsive_num;

    /* leader */
    _wgr_peer_t peers[WGR_REPLICAS_MAX];
    int peers_num;
    wg_time heartbeat_at;
    wg_time leader_since;
    uint64_t term_start; /* index of the no-op entry that opened this term */
    bool transferring;
    wg_time transferring_until;
    _wgr_leave_request_t leave_requests[WGR_REPLICAS_MAX];

    /* planned stop */
    bool leaving;
    bool leave_answered; /* the leader answered the request to leave */
    wg_time leave_at;

    /* snapshot being received */
    GByteArray* incoming;
    uint64_t incoming_index;
    uint64_t incoming_from;

    uint64_t elections;
    uint64_t votes_refused;
};

/* log */
void _wgr_log_setup(wgr_node* n, const wgr_restored* restored);
uint64_t _wgr_last_index(const wgr_node* n);
/* Term of the entry at `index`; 0 when unknown. */
uint64_t _wgr_term_at(const wgr_node* n, uint64_t index);
const wgr_entry* _wgr_entry_at(const wgr_node* n, uint64_t index);
void _wgr_log_append(wgr_node* n, uint64_t term, wgr_entry_kind kind, GBytes* data);
void _wgr_log_truncate(wgr_node* n, uint64_t from);
void _wgr_log_reset(wgr_node* n, uint64_t index, uint64_t term, const wgr_set* set, GBytes* state);
void _wgr_commit_to(wgr_node* n, uint64_t index);
bool _wgr_is_voter(const wgr_node* n, uint64_t id);
int _wgr_voters_num(const wgr_node* n);

/* messages */
wgr_message* _wgr_send(wgr_node* n, wgr_message_type type, uint64_t to);

/* elections */
/* Starts a new, random election timeout. */
void _wgr_reset_election(wgr_node* n, wg_time now);
void _wgr_become_follower(wgr_node* n, wg_time now, uint64_t term, uint64_t leader);
void _wgr_campaign(wgr_node* n, wg_time now, _wgr_campaign_kind kind);
void _wgr_on_pre_vote(wgr_node* n, wg_time now, const wgr_message* m);
void _wgr_on_vote(wgr_node* n, wg_time now, const wgr_message* m);
/* `pre`: reply to a pre-vote. */
void _wgr_on_vote_reply(wgr_node* n, wg_time now, const wgr_message* m, bool pre);

/* followers */
void _wgr_on_append(wgr_node* n, wg_time now, const wgr_message* m);
void _wgr_on_snapshot(wgr_node* n, wg_time now, const wgr_message* m);
void _wgr_on_timeout_now(wgr_node* n, wg_time now, const wgr_message* m);

/* unresponsive replicas */
/* As leader: adds the unresponsive replicas to an APPEND message. */
void _wgr_unresponsive_report(const wgr_node* n, wg_time now, wgr_message* m);
/* As follower: replaces the list by the one from the leader. */
void _wgr_unresponsive_update(wgr_node* n, wg_time now, const wgr_message* m);
/* As leader, after a stall from `before` to `now`: peers that were responsive before it get a new
   deadline. */
void _wgr_unresponsive_restart(wgr_node* n, wg_time before, wg_time now);
/* Without a leader: starts measuring when a request to this voter is sent. */
void _wgr_unresponsive_await(wgr_node* n, wg_time now, uint64_t id);
/* Removes a replica from the list: a message from it was received. */
void _wgr_unresponsive_clear(wgr_node* n, uint64_t id);
/* Moves the list into the peers when a term as leader begins, and back when it ends. */
void _wgr_unresponsive_begin_term(wgr_node* n, wg_time now);
void _wgr_unresponsive_end_term(wgr_node* n, wg_time now);

/* start */
void _wgr_start_tick(wgr_node* n, wg_time now);
void _wgr_on_start_query(wgr_node* n, const wgr_message* m);
void _wgr_on_start_reply(wgr_node* n, wg_time now, const wgr_message* m);
/* Last known incarnation of a replica; 0 when it has not answered. */
uint64_t _wgr_start_incarnation(const wgr_node* n, uint64_t id);

/* replica set changes by the leader */
void _wgr_continue_set_change(wgr_node* n, wg_time now);
void _wgr_on_leave(wgr_node* n, wg_time now, const wgr_message* m);

/* leader */
/* Replication state of another replica; NULL when it isn't in the set or is this replica. */
_wgr_peer_t* _wgr_peer(wgr_node* n, uint64_t id);
void _wgr_become_leader(wgr_node* n, wg_time now);
void _wgr_leader_tick(wgr_node* n, wg_time now);
void _wgr_leader_set_changed(wgr_node* n, wg_time now);
void _wgr_on_append_reply(wgr_node* n, wg_time now, const wgr_message* m);
void _wgr_on_snapshot_reply(wgr_node* n, wg_time now, const wgr_message* m);
void _wgr_send_to_all(wgr_node* n, wg_time now);
void _wgr_advance_commit(wgr_node* n, wg_time now);
wg_time _wgr_lease_until(const wgr_node* n);
