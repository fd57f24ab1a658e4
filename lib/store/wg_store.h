#pragma once
/*
    wg_store.h -- durable storage of a control replica: log, snapshots, term and vote

    WHAT IT DOES
        Stores the state of a replica that must survive a restart. Every change is synced before the
        call returns. Files in the data folder:
            state          identity, cluster, term and vote; replaced atomically
            log-<index>    segments of log entries; each record has a length and a checksum
            snapshot-<i>   state at a log index, with a checksum
            synced         marker: index up to which the log is synced
            lock           held while a process uses the folder

    FEATURES
        - a record that was being written at a crash (a torn tail) is removed; a synced record that
          is truncated or corrupt makes wgs_open() fail
        - the folder is synced after renames and removals
        - after a failed write or sync, only wgs_close() may be called: the folder is as after a
          crash, and opening it again restores everything that was synced. WG_ERROR_DISK: the disk
          accepts no writes now but may later (full, read-only, I/O error)

    USE
        1. wgs_store* s = wgs_open(&(wgs_desc){.folder = f, .fresh_identity = random}, &error);
        2. const wgs_content* c = wgs_query_content(s);     // the restored state
        3. wgs_truncate(); wgs_append(); wgs_save_hard_state(); wgs_save_snapshot();
        4. wgs_close(s);

    THE CALLER OWNS
        entries and bytes passed in. The content belongs to the store until wgs_release_content().
*/
#include "wg_quorum.h"

enum {
    WGS_SEGMENT_BYTES_DEFAULT = 4 << 20,
    WGS_RECORD_SIZE_MAX = 16 << 20 /* bytes of payload; a record with a larger length is corrupt */
};

typedef struct {
    const char* folder;      /* required; created when missing */
    uint64_t fresh_identity; /* identity assigned to an empty folder; required */
    uint64_t fresh_cluster;  /* cluster assigned to an empty folder; 0: set by wgs_save_cluster() */
    size_t segment_bytes;    /* default WGS_SEGMENT_BYTES_DEFAULT */
    int log_keep; /* log entries retained after a snapshot; default WGR_LOG_KEEP_DEFAULT */
} wgs_desc;

typedef struct {
    uint64_t identity;
    uint64_t cluster;
    uint64_t superseded_by; /* forced recovery that removed this replica; 0: none */
    bool fresh;             /* the folder was empty */
    bool tail_truncated;    /* a torn record at the end of the log was removed */
    wgr_restored restored;
} wgs_content;

typedef struct {
    uint64_t syncs;         /* syncs for appends and state writes since wgs_open() */
    uint64_t bytes_written; /* log and snapshot bytes written since wgs_open() */
    uint64_t log_bytes;     /* current size of all log segments */
    int segments;           /* log segments in the folder */
    uint64_t snapshots;     /* snapshots written since wgs_open() */
} wgs_stats;

typedef struct wgs_store wgs_store;

/* Opens and locks a data folder and reads its content. Returns NULL on error: WG_ERROR_INVALID,
   WG_ERROR_CORRUPT, WG_ERROR_IO or WG_ERROR_DISK. */
wgs_store* wgs_open(const wgs_desc* desc, GError** error);
void wgs_close(wgs_store* store);
const wgs_content* wgs_query_content(const wgs_store* store);
/* Releases the entries and the snapshot that wgs_open() read. */
void wgs_release_content(wgs_store* store);

/* Saves term and vote. The term must not decrease, and within one term a vote must not change. */
bool wgs_save_hard_state(wgs_store* store, uint64_t term, uint64_t voted_for, GError** error);
/* Saves the cluster that this replica joins. It must have no cluster yet, or neither log nor
   snapshot. */
bool wgs_save_cluster(wgs_store* store, uint64_t cluster, GError** error);
/* Switches to another cluster, keeping log and snapshot. `term` must exceed the current term; the
   vote is cleared. */
bool wgs_switch_cluster(wgs_store* store, uint64_t cluster, uint64_t term, GError** error);
/* Records that a forced recovery, numbered as in wg_term.h, removed this replica from the set. */
bool wgs_save_superseded(wgs_store* store, uint64_t recovery, GError** error);
/* Whether the store has neither a log nor a snapshot. */
bool wgs_is_empty(const wgs_store* store);
/* Appends entries and syncs them. Their indexes must continue the log. */
bool wgs_append(wgs_store* store, const wgr_entry* entries, int num, GError** error);
/* Removes the entries at index `from` and later. */
bool wgs_truncate(wgs_store* store, uint64_t from, GError** error);
/* Saves a snapshot and removes the log segments and the snapshot that it replaces. `reset`: removes
   the complete log, for a snapshot from the leader, which the local log may not match. */
bool wgs_save_snapshot(wgs_store* store, uint64_t index, uint64_t term, const wgr_set* set,
                       GBytes* state, bool reset, GError** error);
wgs_stats wgs_query_stats(const wgs_store* store);
