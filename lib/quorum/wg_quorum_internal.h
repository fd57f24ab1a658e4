#pragma once
/* wg_quorum_internal.h -- state shared by the files of lib/quorum; not installed */
#include "wg_quorum.h"

/* Time of an acknowledgement that never came; far in the past without overflow in sums. */
#define _WGR_NEVER_ACKED (INT64_MIN / 4)

/* How the leader feeds one other replica. */
typedef enum {
    _WGR_FEED_DEFAULT = 0,
    _WGR_FEED_PROBE,    /* match unknown: one message at a time */
    _WGR_FEED_STREAM,   /* match known: entries leave as they come */
    _WGR_FEED_SNAPSHOT, /* too far behind the log: snapshot chunks, one at a time */
    _WGR_FEED_NUM
} _wgr_feed;

typedef struct {
    uint64_t id;
    _wgr_feed feed;
    uint64_t match;
    uint64_t next;
    uint64_t snapshot_index; /* of the snapshot being fed */
    uint64_t offset;
    wg_time sent_at;      /* last message */
    wg_time acked_at;     /* own time echoed by the newest reply in this term */
    wg_time since;        /* it is in the set, or this replica leads */
    wg_time silent_since; /* if it never answers in this term: what an earlier leader knew */
} _wgr_peer_t;

/* A replica that did not answer the leader, as far as this one knows. */
typedef struct {
    uint64_t id;
    wg_time since; /* own time */
} _wgr_silent_t;

/* What a replica answered while this one asks whether all have just started. */
typedef struct {
    uint64_t id;
    uint64_t life;    /* 0: no answer yet */
    wg_time known_in; /* round under way when this life was first heard of */
    wg_time answered; /* newest round that it answered */
    uint64_t log_index;
    uint64_t log_term;
} _wgr_start_t;

/* A replica that asked to leave the set, and when it last did. */
typedef struct {
    uint64_t id; /* 0: a free place */
    wg_time at;
} _wgr_leaver_t;

/* Why a replica stands. */
typedef enum {
    WGR_CAMPAIGN_DEFAULT = 0,
    WGR_CAMPAIGN_PRE,    /* asks whether it would be elected */
    WGR_CAMPAIGN_VOTE,   /* it would be */
    WGR_CAMPAIGN_FORCED, /* the leader hands over */
    WGR_CAMPAIGN_START   /* every voter has just started: nobody holds a lease */
} _wgr_campaign_kind;

struct wgr_node {
    wgr_desc desc;
    wg_time lease; /* length */

    uint64_t term;
    uint64_t voted_for;
    wgr_role role;
    uint64_t leader;

    /* log: entries[i].index == first_index + i; what came before stands in the snapshot */
    GArray* entries;
    uint64_t first_index;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    wgr_set snapshot_set;
    GBytes* snapshot;
    uint64_t commit;
    uint64_t handed_out; /* entries up to here went out to be applied */
    uint64_t stable;     /* entries up to here are synced */
    wgr_set set;         /* newest in the log, committed or not */
    uint64_t set_index;

    /* pending output */
    GArray* messages;
    uint64_t truncate_from;
    bool hard_state_dirty;
    GBytes* install; /* snapshot to store */
    bool output_open;
    uint64_t output_last;
    guint output_messages;

    /* elections */
    wg_time ticked_at;    /* last wgr_tick() */
    bool spared;          /* it stood still, and has heard of no leader or majority since */
    wg_time spared_until; /* then: it reads first */
    uint64_t jitter_counter;
    wg_time election_at;
    wg_time heard_leader_at;
    uint64_t votes[WGR_REPLICAS_MAX];
    int votes_num;

    /* start: wg_quorum_start.c */
    uint64_t life;   /* random, of this run of the process */
    bool promised;   /* it has heard a leader, or been one, in this life */
    bool start_over; /* it asks no more whether all have just started */
    wg_time start_at;
    wg_time start_round;
    _wgr_start_t starts[2 * WGR_REPLICAS_MAX]; /* of the set and that of the snapshot */
    int starts_num;
    uint64_t gone[4 * WGR_REPLICAS_MAX]; /* identities whose data folder is lost */
    int gone_num;

    /* wg_quorum_silence.c; empty while this replica leads */
    _wgr_silent_t silent[WGR_REPLICAS_MAX];
    int silent_num;

    /* leader */
    _wgr_peer_t peers[WGR_REPLICAS_MAX];
    int peers_num;
    wg_time heartbeat_at;
    wg_time led_since;
    uint64_t term_start; /* index of the empty entry of this term */
    bool handing_over;
    wg_time handing_over_until;
    _wgr_leaver_t leavers[WGR_REPLICAS_MAX];

    /* planned stop */
    bool leaving;
    bool left; /* the leader answered */
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
/* Term of an entry; 0 when it is not known. */
uint64_t _wgr_term_at(const wgr_node* n, uint64_t index);
const wgr_entry* _wgr_entry_at(const wgr_node* n, uint64_t index);
void _wgr_log_append(wgr_node* n, uint64_t term, wgr_entry_kind kind, GBytes* data);
void _wgr_log_truncate(wgr_node* n, uint64_t from);
void _wgr_log_reset(wgr_node* n, uint64_t index, uint64_t term, const wgr_set* set, GBytes* state);
void _wgr_commit_to(wgr_node* n, uint64_t index);
bool _wgr_is_voter(const wgr_node* n, uint64_t id);
int _wgr_voters(const wgr_node* n);

/* messages */
wgr_message* _wgr_send(wgr_node* n, wgr_message_type type, uint64_t to);
void _wgr_become_follower(wgr_node* n, wg_time now, uint64_t term, uint64_t leader);
void _wgr_campaign(wgr_node* n, wg_time now, _wgr_campaign_kind kind);

/* silence */
/* As leader: tell who does not answer. */
void _wgr_silence_tell(const wgr_node* n, wg_time now, wgr_message* m);
/* As follower: take over what the leader tells. */
void _wgr_silence_learn(wgr_node* n, wg_time now, const wgr_message* m);
/* As leader: it did not listen between these times, so who answered before is not silent. */
void _wgr_silence_begin_anew(wgr_node* n, wg_time before, wg_time now);
/* Without a leader: a question to this voter leaves now. */
void _wgr_silence_ask(wgr_node* n, wg_time now, uint64_t id);
/* A message of this replica has come. */
void _wgr_silence_is_broken(wgr_node* n, uint64_t id);
/* A term as leader begins, or ends. */
void _wgr_silence_inherit(wgr_node* n, wg_time now);
void _wgr_silence_leave(wgr_node* n, wg_time now);

/* start */
void _wgr_start_tick(wgr_node* n, wg_time now);
void _wgr_on_start_ask(wgr_node* n, const wgr_message* m);
void _wgr_on_start_reply(wgr_node* n, wg_time now, const wgr_message* m);
/* The life in which a replica last answered; 0 when it did not. */
uint64_t _wgr_start_life(const wgr_node* n, uint64_t id);

/* the set, as a leader changes it */
void _wgr_carry_on_change(wgr_node* n, wg_time now);
void _wgr_on_leave(wgr_node* n, wg_time now, const wgr_message* m);

/* leader */
/* What the leader knows of another replica; NULL: not in the set, or itself. */
_wgr_peer_t* _wgr_peer(wgr_node* n, uint64_t id);
void _wgr_become_leader(wgr_node* n, wg_time now);
void _wgr_leader_tick(wgr_node* n, wg_time now);
void _wgr_leader_set_changed(wgr_node* n, wg_time now);
void _wgr_on_append_reply(wgr_node* n, wg_time now, const wgr_message* m);
void _wgr_on_snapshot_reply(wgr_node* n, wg_time now, const wgr_message* m);
void _wgr_feed_all(wgr_node* n, wg_time now);
void _wgr_advance_commit(wgr_node* n, wg_time now);
wg_time _wgr_lease_until(const wgr_node* n);
