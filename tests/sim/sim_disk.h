#pragma once
/* sim_disk.h -- simulated disk of a replica; survives crashes of the replica */
#include "wg_quorum.h"

enum {
    SIM_DISK_LOG_KEEP = 10 /* entries kept before a snapshot's index */
};

typedef struct {
    uint64_t identity;
    uint64_t term;
    uint64_t voted_for;
    uint64_t snapshot_index;
    uint64_t snapshot_term;
    wgr_set set;
    GBytes* snapshot;
    GArray* entries;
} sim_disk;

/* Empties the disk; also initializes a zeroed one. */
void sim_disk_reset(sim_disk* disk);
/* Index of the first entry kept; with an empty log, the index of the next one. */
uint64_t sim_disk_first(const sim_disk* disk);
void sim_disk_truncate(sim_disk* disk, uint64_t from);
void sim_disk_append(sim_disk* disk, const wgr_entry* entries, int num);
void sim_disk_snapshot(sim_disk* disk, uint64_t index, uint64_t term, const wgr_set* set,
                       GBytes* state, bool reset);
