#pragma once
/*
    wg_quorum.h -- a replicated log among 1 to 7 controls, as a pure state machine

    WHAT IT DOES
        Agrees on one sequence of entries (Raft, Ongaro and Ousterhout 2014, with pre-vote,
        check-quorum, leader leases, snapshot transfer and replica replacement). No socket, file or
        clock: messages and `now` come in, an output comes out, and the caller persists it before it
        sends.

    FEATURES
        - a replica is known by an identity that lives in its data folder: a lost folder means a new
          identity, which cannot vote until the set was changed and it has caught up
        - replacement: add the new identity under the old name; the leader lets it catch up, takes
          the old one out, then gives the new one its vote. Any later leader carries on.
        - succession (gone_after): a voter that has been silent for so long goes when a learner has
          caught up to take its place, or when enough others answer. In a full set the two never
          count side by side, so as many may be lost after a replacement as before. How long it has
          been silent outlives a leader (wg_quorum_silence.c).
        - a voter that stops, for good or for a while, can leave the set first (wgr_leave)
        - wgr_leads(): true only while a majority has lately confirmed this leader. The lease counts
          from when a heartbeat was sent and is shorter than the shortest election wait, so that a
          frozen leader that wakes finds it ended.
        - leadership can be handed over in a planned stop; the lease ends first
        - when every voter has just started nobody holds a lease: an election at once
          (wg_quorum_start.c)

    USE
        1. wgr_node* n = wgr_setup(&(wgr_desc){.self = id, .seed = s, .now = now, .restored = &r},
   &e);
        2. wgr_tick(n, now); wgr_step(n, now, &message); wgr_propose(n, now, data, size);
        3. while (wgr_output_next(n, &out)) { persist(&out); send(&out); apply(&out);
              wgr_output_done(n, now); }
        4. wgr_compact(n, applied_index, state);   // after the snapshot file is safe
        5. wgr_shutdown(n);

    THE CALLER OWNS
        messages it passes in. An output borrows from the node until wgr_output_done(). Order is
        binding: snapshot, truncation, entries and hard state are synced before messages leave.
*/
#include "wg_base.h"

enum {
    WGR_REPLICAS_MAX = 8,
    WGR_ELECTION_MIN_DEFAULT = 900 * WG_USEC_PER_MSEC,
    WGR_ELECTION_MAX_DEFAULT = 1500 * WG_USEC_PER_MSEC,
    WGR_HEARTBEAT_DEFAULT = 150 * WG_USEC_PER_MSEC,
    WGR_LEASE_PERCENT = 80, /* of the shortest election wait; the rest covers clock drift */
    WGR_MESSAGE_BYTES_DEFAULT = 256 * 1024,
    WGR_LOG_KEEP_DEFAULT = 1000, /* entries kept behind a snapshot for replicas that lag a little */
    WGR_LOSSES_DEFAULT = 1
};

typedef enum {
    WGR_ENTRY_DEFAULT = 0,
    WGR_ENTRY_EMPTY,    /* first entry of a term */
    WGR_ENTRY_DATA,     /* the caller's */
    WGR_ENTRY_REPLICAS, /* a new replica set */
    WGR_ENTRY_NUM
} wgr_entry_kind;

typedef enum {
    WGR_ROLE_DEFAULT = 0,
    WGR_ROLE_FOLLOWER,
    WGR_ROLE_PRE_CANDIDATE,
    WGR_ROLE_CANDIDATE,
    WGR_ROLE_LEADER,
    WGR_ROLE_NUM
} wgr_role;

typedef enum {
    WGR_MESSAGE_DEFAULT = 0,
    WGR_MESSAGE_PRE_VOTE,
    WGR_MESSAGE_PRE_VOTE_REPLY,
    WGR_MESSAGE_VOTE, /* hint 1: asked for by a leader that hands over; `life`: see below */
    WGR_MESSAGE_VOTE_REPLY,
    WGR_MESSAGE_APPEND,
    WGR_MESSAGE_APPEND_REPLY,
    WGR_MESSAGE_SNAPSHOT,
    WGR_MESSAGE_SNAPSHOT_REPLY,
    WGR_MESSAGE_TIMEOUT_NOW, /* the leader asks this replica to stand at once */
    WGR_MESSAGE_START_ASK,   /* has this replica heard a leader since it started? */
    WGR_MESSAGE_START_REPLY, /* refused: it has */
    WGR_MESSAGE_LEAVE,       /* a voter is about to stop and asks to be taken out of the set */
    WGR_MESSAGE_LEAVE_REPLY, /* it is out; refused: it stays a voter, too few others answer */
    WGR_MESSAGE_NUM
} wgr_message_type;

typedef struct {
    uint64_t id; /* identity of a data folder, never 0 */
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX];
    bool voter;
} wgr_replica;

typedef struct {
    wgr_replica replicas[WGR_REPLICAS_MAX];
    int num;
} wgr_set;

typedef struct {
    uint64_t index;
    uint64_t term;
    wgr_entry_kind kind;
    GBytes* data; /* a reference; REPLICAS entries hold a wgr_set packed by wgr_set_pack() */
} wgr_entry;

/* For how long a replica has not answered. */
typedef struct {
    uint64_t id;
    wg_time length; /* microseconds */
} wgr_silence;

typedef struct {
    wgr_message_type type;
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t log_index; /* APPEND: entry before `entries`; replies: matched or refused index */
    uint64_t log_term;
    uint64_t commit;
    bool reject;
    uint64_t hint; /* APPEND_REPLY refused: last index of the follower */
    wg_time echo;  /* time of the sender of a heartbeat, or its round, handed back in the reply */
    uint64_t life; /* START_REPLY: of the sender; VOTE: the life of the receiver in which it may
                      vote at once, 0 none */
    wgr_entry* entries;
    int entries_num;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    uint64_t offset; /* of `chunk` in the snapshot; replies: bytes received */
    uint64_t total;
    GBytes* chunk;
    wgr_set set;                            /* SNAPSHOT only */
    wgr_silence silences[WGR_REPLICAS_MAX]; /* APPEND: who does not answer the leader */
    int silences_num;
} wgr_message;

/* What a data folder held at start. */
typedef struct {
    uint64_t term;
    uint64_t voted_for;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    wgr_set set;      /* as of the snapshot */
    GBytes* snapshot; /* state at snapshot_index; may be NULL at index 0 */
    const wgr_entry* entries;
    int entries_num;
} wgr_restored;

typedef struct {
    uint64_t self; /* required */
    uint64_t seed; /* of the election waits */
    wg_time now;
    const wgr_restored* restored; /* NULL: an empty replica that waits to be added */
    wg_time election_min;
    wg_time election_max;
    wg_time heartbeat;
    wg_time gone_after; /* silence after which a voter may be taken out; 0: never, but for its
                           successor of the same name */
    int losses;         /* replicas that may be lost at one time, with their disks: so that this
                           holds, a set of 2 * losses + 1 that answer is never made smaller */
    int message_bytes;  /* entries or snapshot bytes in one message */
    int log_keep;
} wgr_desc;

/* One batch of work. Fields that are 0 or NULL ask for nothing. */
typedef struct {
    GBytes* snapshot; /* replaces state and log */
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    wgr_set snapshot_set;
    uint64_t truncate_from; /* remove stored entries from this index on */
    const wgr_entry* entries;
    int entries_num;
    bool hard_state;
    uint64_t term;
    uint64_t voted_for;
    const wgr_message* messages;
    int messages_num;
    const wgr_entry* committed; /* apply these, in order */
    int committed_num;
} wgr_output;

typedef struct {
    wgr_role role;
    uint64_t term;
    uint64_t leader; /* identity, 0 unknown */
    uint64_t first_index;
    uint64_t last_index;
    uint64_t last_term; /* of the entry there */
    uint64_t commit;
    uint64_t snapshot_index;
    wg_time lease_until; /* 0 unless leader */
    uint64_t elections;
    uint64_t votes_refused;
} wgr_stats;

typedef struct wgr_node wgr_node;

/* NULL with an error (WG_ERROR_INVALID) when a field of `desc` is wrong. */
wgr_node* wgr_setup(const wgr_desc* desc, GError** error);
void wgr_shutdown(wgr_node* node);

/* Let time pass, every few milliseconds: elections, heartbeats, resends. `now` in microseconds. */
void wgr_tick(wgr_node* node, wg_time now);
/* Take a message of another replica. */
void wgr_step(wgr_node* node, wg_time now, const wgr_message* message);
/* Append an entry as leader; its index, or 0 when this replica does not lead or hands over. */
uint64_t wgr_propose(wgr_node* node, wg_time now, const void* data, size_t size);
/* Let a new replica into the set, without a vote at first. When its name is in the set under
   another identity, it will replace that one. */
bool wgr_add(wgr_node* node, wg_time now, const wgr_replica* replica, GError** error);
/* Take a replica out of the set. */
bool wgr_remove(wgr_node* node, wg_time now, uint64_t id, GError** error);
/* Planned stop of a leader: end the lease, let the most advanced voter take over. False when this
   replica does not lead, or no other voter was heard of lately: then nothing changes. */
bool wgr_hand_over(wgr_node* node, wg_time now);

/* Before a planned stop: ask the leader, again and again, to take this replica out of the set.
   wgr_has_left() tells when that is settled: it is out, was never in, or has to stay a voter. */
void wgr_leave(wgr_node* node);
bool wgr_has_left(const wgr_node* node);

/* The data folder of a replica is lost for good: another identity runs in its place, so whatever it
   promised or led is over. */
void wgr_note_gone(wgr_node* node, uint64_t id);
bool wgr_is_known_gone(const wgr_node* node, uint64_t id);

/* Fill in the next batch of work; false when there is none. */
bool wgr_output_next(wgr_node* node, wgr_output* output);
void wgr_output_done(wgr_node* node, wg_time now);
/* The state up to `index` stands in a snapshot that is safe on disk. */
void wgr_compact(wgr_node* node, uint64_t index, GBytes* state);

/* This replica leads, a majority confirmed it within the lease, and it has committed in its term.
 */
bool wgr_leads(const wgr_node* node, wg_time now);
const wgr_set* wgr_query_set(const wgr_node* node);
/* The set as of the newest snapshot. */
const wgr_set* wgr_query_snapshot_set(const wgr_node* node);
wgr_stats wgr_query_stats(const wgr_node* node, wg_time now);
/* Index up to which a replica is known (by the leader) to hold the log. */
uint64_t wgr_query_match(const wgr_node* node, uint64_t id);

/* Plain bytes of a replica set, as REPLICAS entries carry it. */
GBytes* wgr_set_pack(const wgr_set* set);
bool wgr_set_unpack(GBytes* bytes, wgr_set* set);
const wgr_replica* wgr_set_find(const wgr_set* set, uint64_t id);
/* Release what a message holds (entries and chunk). */
void wgr_message_clear(wgr_message* message);
