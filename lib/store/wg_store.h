#pragma once
/*
    wg_store.h -- the data folder of a control: log, snapshots and vote, synced before use

    WHAT IT DOES
        Keeps what must survive a restart. Files in the folder:
            state          identity, cluster, term and vote; replaced as a whole
            log-<index>    segments of entries, each record with its length and checksum
            snapshot-<i>   state at an index, with a checksum
            synced         how far the log is known to be synced, two alternating slots
            lock           held while a process uses the folder

    FEATURES
        - a record that was being written at a crash (a torn tail) is cut off; a record that was
          synced and is now short or damaged stops the start with the reason
        - folders are synced after renames and removals
        - after a failed write or sync the store is only closed: what the folder holds is then the
          same as after a crash, and opening it again finds all that was synced. WG_ERROR_DISK says
          that the disk takes no writes now and may later

    USE
        1. wgs_store* s = wgs_open(&(wgs_desc){.folder = f, .fresh_identity = random}, &error);
        2. const wgs_content* c = wgs_query_content(s);     // what was found
        3. wgs_truncate(); wgs_append(); wgs_save_hard_state(); wgs_save_snapshot();
        4. wgs_close(s);

    THE CALLER OWNS
        entries and bytes passed in. The content belongs to the store until wgs_forget_content().
*/
#include "wg_quorum.h"

enum {
    WGS_SEGMENT_BYTES_DEFAULT = 4 << 20,
    WGS_RECORD_MAX = 16 << 20 /* bytes; a longer length in a record is damage */
};

typedef struct {
    const char* folder;      /* required; created when missing */
    uint64_t fresh_identity; /* identity given to an empty folder; required */
    uint64_t fresh_cluster;  /* cluster given to an empty folder; 0: learnt later */
    size_t segment_bytes;    /* default WGS_SEGMENT_BYTES_DEFAULT */
    int log_keep;            /* entries kept behind a snapshot, default WGR_LOG_KEEP_DEFAULT */
} wgs_desc;

typedef struct {
    uint64_t identity;
    uint64_t cluster;
    bool fresh; /* the folder was empty */
    bool tail_cut;
    wgr_restored restored;
} wgs_content;

typedef struct {
    uint64_t syncs;
    uint64_t bytes_written;
    uint64_t log_bytes;
    int segments;
    uint64_t snapshots;
} wgs_stats;

typedef struct wgs_store wgs_store;

/* Open a folder and read what it holds; NULL with the reason otherwise. */
wgs_store* wgs_open(const wgs_desc* desc, GError** error);
void wgs_close(wgs_store* store);
const wgs_content* wgs_query_content(const wgs_store* store);
/* Release the entries and the snapshot read at the start. */
void wgs_forget_content(wgs_store* store);

bool wgs_save_hard_state(wgs_store* store, uint64_t term, uint64_t voted_for, GError** error);
/* The cluster that this replica belongs to from now on; it has none yet, or holds nothing. */
bool wgs_save_cluster(wgs_store* store, uint64_t cluster, GError** error);
/* Go on in another cluster with what is held, from this later term on. */
bool wgs_leave_cluster(wgs_store* store, uint64_t cluster, uint64_t term, GError** error);
/* Neither a log nor a snapshot is held. */
bool wgs_is_blank(const wgs_store* store);
/* Append entries and sync them. */
bool wgs_append(wgs_store* store, const wgr_entry* entries, int num, GError** error);
/* Remove stored entries from `from` on. */
bool wgs_truncate(wgs_store* store, uint64_t from, GError** error);
/* Store a snapshot and drop what it makes superfluous. `reset`: the log before and behind it does
   not belong to it (it came from the leader). */
bool wgs_save_snapshot(wgs_store* store, uint64_t index, uint64_t term, const wgr_set* set,
                       GBytes* state, bool reset, GError** error);
wgs_stats wgs_query_stats(const wgs_store* store);
