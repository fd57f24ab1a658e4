#pragma once
/* sim_quorum_internal.h -- state of a simulation, shared by the files sim_quorum*.c */
#include "sim_disk.h"
#include "sim_quorum.h"

/* ---- types -------------------------------------------------------------------------------- */

enum {
    TICK = 10 * WG_USEC_PER_MSEC,
    MESSAGES_MAX = 20000,
    COMPACT_ENTRIES = 40
};

enum {
    SIMQ_CLAIM_KEEP_SECONDS = 1000 /* in replicated seconds */
};

typedef struct {
    wgr_node* node;
    sim_disk disk;
    bool up;
    wg_time frozen_until;
    wg_time offset;     /* clock offset from simulated time */
    int drift_per_mill; /* clock drift */
    uint64_t applied;
    uint64_t applied_term;
    wgt_table* table;
    wgk_claims* claims;
    bool stopping; /* a planned stop is in progress */
    int crash_at;  /* 0: none, 1: before syncing, 2: before sending, 3: between two messages */
} node_t;

typedef struct {
    wg_time at;
    int to;
    int from;
    wgr_message message;
} delivery_t;

struct simq_run {
    simq_desc desc;
    wg_time now;
    uint64_t counter;
    uint64_t trace;
    node_t nodes[SIM_NODES_MAX];
    bool cut[SIM_NODES_MAX][SIM_NODES_MAX];
    GArray* deliveries;
    GArray* committed;      /* uint64_t: hash of the entry at each index; 0: unknown */
    GArray* states;         /* uint64_t: hash of table and claims after each index; 0: unknown */
    uint64_t acknowledged;  /* highest index that a leader has acknowledged */
    wg_time leader_seen_at; /* when a leader was last seen */
    simq_counts counts;
    uint64_t next_edit;
    uint64_t next_identity;
    GArray* lost_identities; /* uint64_t: identities of replicas whose disk was lost */
    uint64_t last_edit_number;
    GHashTable* outcomes;           /* edit number -> outcome and version of its first result */
    uint64_t claim_holders[256];    /* attempt that was granted each claim key; 0: none */
    uint64_t claim_granted_at[256]; /* replicated seconds of each grant */
    uint64_t replicated_seconds;    /* newest replicated seconds */
};

/* ---- sim_quorum.c --------------------------------------------------------------------------- */

/* Next random number of the run; depends only on the seed and the number of earlier calls. */
uint64_t _simq_random(simq_run* s);
bool _simq_one_in(simq_run* s, uint64_t num);
/* The replica's clock, with its offset and drift. */
wg_time _simq_local_time(const simq_run* s, const node_t* n);
/* Slot of the replica that has this identity now; -1: none. */
int _simq_find_slot(const simq_run* s, uint64_t identity);
/* Returns the index of the proposed entry, 0 when it was refused. */
uint64_t _simq_propose(simq_run* s, int slot, const ProtobufCMessage* command);
int _simq_count_voters(const wgr_set* set);

/* ---- sim_quorum_apply.c --------------------------------------------------------------------- */

GBytes* _simq_pack_state(const node_t* n);
void _simq_load_state(node_t* n, GBytes* bytes);
/* Applies a committed entry; asserts that every replica applies the same entries with the same
   results. */
void _simq_apply(simq_run* s, node_t* n, const wgr_entry* entry);
