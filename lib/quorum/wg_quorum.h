#pragma once
/*
    wg_quorum.h -- a replicated log among 1 to 7 controls, as a pure state machine

    WHAT IT DOES
        Agrees on one sequence of entries (Raft, Ongaro and Ousterhout 2014, with pre-vote,
        check-quorum, leader leases, snapshot transfer and replica replacement). Does no I/O and
        reads no clock: messages and `now` are inputs, and the caller persists each output before
        it sends the output's messages.

    FEATURES
        - a replica is identified by an id stored in its data folder: a lost folder means a new id,
          which cannot vote until the set was changed and the replica has caught up
        - replacement: add the new id under the old name; the leader lets the new replica catch up,
          removes the old id, then promotes the new one to voter. Any later leader continues.
        - removal of unresponsive voters (gone_after): such a voter is removed when a learner has
          caught up to replace it, or when enough other voters respond. In a full set a voter and
          its replacement never count at the same time, so a replacement doesn't reduce the number
          of failures the set tolerates. The time since last contact survives a change of leader
          (wg_quorum_unresponsive.c).
        - a voter that stops, permanently or not, can leave the set first (wgr_leave)
        - wgr_leads(): true only while a majority has recently confirmed this leader. The lease
          starts when the heartbeat is sent and is shorter than the minimum election timeout, so a
          leader that resumes after a stall finds its lease expired.
        - leadership can be transferred in a planned stop; the lease ends first
        - when every voter has just started, no lease can be in force: an election starts without
          waiting for the election timeout (wg_quorum_start.c)

    USE
        1. wgr_node* n = wgr_setup(&(wgr_desc){.self = id, .seed = s, .now = now,
                                               .restored = &r}, &e);
        2. wgr_tick(n, now); wgr_step(n, now, &message); wgr_propose(n, now, data, size);
        3. while (wgr_output_next(n, &out)) { persist(&out); send(&out); apply(&out);
              wgr_output_done(n, now); }
        4. wgr_compact(n, applied_index, state);   // after the snapshot file is synced
        5. wgr_shutdown(n);

    THE CALLER OWNS
        messages it passes in. An output borrows from the node until wgr_output_done(). The order
        is binding: snapshot, truncation, entries and hard state are synced before messages are
        sent.
*/
#include "wg_base.h"

enum {
    WGR_REPLICAS_MAX = 8,
    WGR_ELECTION_MIN_DEFAULT = 900 * WG_USEC_PER_MSEC,
    WGR_ELECTION_MAX_DEFAULT = 1500 * WG_USEC_PER_MSEC,
    WGR_HEARTBEAT_DEFAULT = 150 * WG_USEC_PER_MSEC,
    WGR_LEASE_PERCENT = 80, /* of the minimum election timeout; the margin covers clock drift */
    WGR_MESSAGE_BYTES_DEFAULT = 256 * 1024,
    WGR_LOG_KEEP_DEFAULT = 1000, /* entries kept before the snapshot index, so that a slightly
                                    lagging replica needs no snapshot */
    WGR_LOSSES_DEFAULT = 1
};

typedef enum {
    WGR_ENTRY_DEFAULT = 0,
    WGR_ENTRY_EMPTY,    /* no-op entry that opens a term */
    WGR_ENTRY_DATA,     /* opaque data of the caller */
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
    WGR_MESSAGE_VOTE, /* hint 1: part of a leadership transfer */
    WGR_MESSAGE_VOTE_REPLY,
    WGR_MESSAGE_APPEND,
    WGR_MESSAGE_APPEND_REPLY,
    WGR_MESSAGE_SNAPSHOT,
    WGR_MESSAGE_SNAPSHOT_REPLY,
    WGR_MESSAGE_TIMEOUT_NOW, /* the leader asks this replica to start an election immediately */
    WGR_MESSAGE_START_QUERY, /* asks whether this replica has had contact with a leader since it
                              started */
    WGR_MESSAGE_START_REPLY, /* `reject`: the sender has had contact with a leader since it
                                started */
    WGR_MESSAGE_LEAVE,       /* a voter is about to stop and asks to be removed from the set */
    WGR_MESSAGE_LEAVE_REPLY, /* the sender of LEAVE was removed; `reject`: it stays a voter, too few
                                others respond */
    WGR_MESSAGE_NUM
} wgr_message_type;

typedef struct {
    uint64_t id; /* id stored in the data folder, never 0 */
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
    GBytes* data; /* owned reference; REPLICAS entries contain a wgr_set packed by wgr_set_pack() */
} wgr_entry;

/* Time since the leader's last contact with an unresponsive replica. */
typedef struct {
    uint64_t id;
    wg_time length; /* microseconds */
} wgr_unresponsive;

typedef struct {
    wgr_message_type type;
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t log_index; /* APPEND: index of the entry before `entries`; replies: matched or rejected
                           index */
    uint64_t log_term;
    uint64_t commit;
    bool reject;
    uint64_t hint; /* rejected APPEND_REPLY: last index of the follower */
    /* send time of a heartbeat, or number of a START_QUERY round; the reply returns it unchanged */
    wg_time echo;
    /* START_REPLY: incarnation of the sender. VOTE: incarnation in which the receiver may grant the
       vote without waiting for a lease to end; 0: none. */
    uint64_t incarnation;
    wgr_entry* entries;
    int entries_num;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    uint64_t offset; /* of `chunk` in the snapshot; replies: bytes received */
    uint64_t total;
    GBytes* chunk;
    wgr_set set; /* SNAPSHOT only */
    /* APPEND: replicas that don't respond to the leader */
    wgr_unresponsive silences[WGR_REPLICAS_MAX];
    int silences_num;
} wgr_message;

/* Contents of a data folder at start. */
typedef struct {
    uint64_t term;
    uint64_t voted_for;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    wgr_set set;      /* replica set as of the snapshot */
    GBytes* snapshot; /* state at snapshot_index; may be NULL at index 0 */
    const wgr_entry* entries;
    int entries_num;
} wgr_restored;

typedef struct {
    uint64_t self; /* required */
    uint64_t seed; /* of the random election timeouts */
    wg_time now;
    const wgr_restored* restored; /* NULL: an empty replica that waits to be added */
    wg_time election_min;
    wg_time election_max;
    wg_time heartbeat;
    wg_time gone_after; /* time without contact after which a voter may be removed; 0: only when its
                           replacement of the same name has caught up */
    int losses;         /* simultaneous permanent replica failures to tolerate: a voter without a
                           replacement is removed only when 2 * losses + 1 others respond */
    int message_bytes;  /* limit for the entries or snapshot bytes in one message */
    int log_keep;
} wgr_desc;

/* One batch of work. Fields that are 0 or NULL require nothing. */
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
    const wgr_entry* committed; /* entries to apply, in order */
    int committed_num;
} wgr_output;

typedef struct {
    wgr_role role;
    uint64_t term;
    uint64_t leader; /* replica id; 0: unknown */
    uint64_t first_index;
    uint64_t last_index;
    uint64_t last_term; /* term of the entry at last_index */
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

/* Runs timers: elections, heartbeats, resends. Call it every few milliseconds; `now` is in
   microseconds. */
void wgr_tick(wgr_node* node, wg_time now);
/* Processes a message from another replica. */
void wgr_step(wgr_node* node, wg_time now, const wgr_message* message);
/* Appends an entry as leader. Returns its index, or 0 when this replica isn't the leader or is
   transferring leadership. */
uint64_t wgr_propose(wgr_node* node, wg_time now, const void* data, size_t size);
/* Adds a replica to the set as a learner. If its name is in the set under another id, it replaces
   that one once it has caught up. */
bool wgr_add(wgr_node* node, wg_time now, const wgr_replica* replica, GError** error);
bool wgr_remove(wgr_node* node, wg_time now, uint64_t id, GError** error);
/* For a planned stop of a leader: ends the lease and asks the most advanced voter to take over.
   Returns false and changes nothing when this replica isn't the leader or no other voter responded
   recently. */
bool wgr_transfer_leadership(wgr_node* node, wg_time now);

/* Before a planned stop: repeatedly asks the leader to remove this replica from the set.
   wgr_leave_is_settled() is true once that is settled: the replica was removed, was no voter, or
   has to stay a voter. */
void wgr_leave(wgr_node* node);
bool wgr_leave_is_settled(const wgr_node* node);

/* Records that a replica's data folder is lost for good and another id runs in its place, so that
   its votes and leases no longer matter. */
void wgr_record_replaced(wgr_node* node, uint64_t id);
bool wgr_is_replaced(const wgr_node* node, uint64_t id);

/* Fills in the next batch of work; false when there is none. */
bool wgr_output_next(wgr_node* node, wgr_output* output);
void wgr_output_done(wgr_node* node, wg_time now);
/* Discards log entries covered by a snapshot that is synced to disk; `state` is the state at
   `index`. */
void wgr_compact(wgr_node* node, uint64_t index, GBytes* state);

/* True when this replica is leader, a majority confirmed it within the lease, and it has committed
   an entry in its term. */
bool wgr_leads(const wgr_node* node, wg_time now);
const wgr_set* wgr_query_set(const wgr_node* node);
/* The replica set as of the newest snapshot. */
const wgr_set* wgr_query_snapshot_set(const wgr_node* node);
wgr_stats wgr_query_stats(const wgr_node* node, wg_time now);
/* As leader: index up to which a replica is known to have the log. */
uint64_t wgr_query_match(const wgr_node* node, uint64_t id);

/* Serialized replica set, as REPLICAS entries carry it. */
GBytes* wgr_set_pack(const wgr_set* set);
bool wgr_set_unpack(GBytes* bytes, wgr_set* set);
const wgr_replica* wgr_set_find(const wgr_set* set, uint64_t id);
/* Releases the entries and the chunk of a message. */
void wgr_message_clear(wgr_message* message);
