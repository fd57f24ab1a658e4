/* sim_disk.c -- see sim_disk.h */
#include "sim_disk.h"

static void entry_clear(gpointer data) {
    wgr_entry* entry = data;
    if (entry->data) {
        g_bytes_unref(entry->data);
    }
}

void sim_disk_reset(sim_disk* disk) {
    if (disk->entries) {
        g_array_unref(disk->entries);
    }
    if (disk->snapshot) {
        g_bytes_unref(disk->snapshot);
    }
    *disk = (sim_disk){0};
    disk->entries = g_array_new(FALSE, TRUE, sizeof(wgr_entry));
    g_array_set_clear_func(disk->entries, entry_clear);
}

uint64_t sim_disk_first(const sim_disk* disk) {
    return disk->entries->len ? g_array_index(disk->entries, wgr_entry, 0).index
                              : disk->snapshot_index + 1;
}

void sim_disk_truncate(sim_disk* disk, uint64_t from) {
    uint64_t first = sim_disk_first(disk);
    if (from < first + disk->entries->len) {
        g_array_set_size(disk->entries, (guint)(from > first ? from - first : 0));
    }
}

void sim_disk_append(sim_disk* disk, const wgr_entry* entries, int num) {
    for (int i = 0; i < num; i++) {
        wgr_entry copy = entries[i];
        copy.data = copy.data ? g_bytes_ref(copy.data) : NULL;
        WG_ASSERT(copy.index == sim_disk_first(disk) + disk->entries->len);
        g_array_append_val(disk->entries, copy);
    }
}

void sim_disk_snapshot(sim_disk* disk, uint64_t index, uint64_t term, const wgr_set* set,
                       GBytes* state, bool reset) {
    if (disk->snapshot) {
        g_bytes_unref(disk->snapshot);
    }
    disk->snapshot = g_bytes_ref(state);
    disk->snapshot_index = index;
    disk->snapshot_term = term;
    disk->set = *set;
    if (reset) {
        g_array_set_size(disk->entries, 0);
        return;
    }
    uint64_t first = sim_disk_first(disk);
    if (index > SIM_DISK_LOG_KEEP && first < index - SIM_DISK_LOG_KEEP) {
        g_array_remove_range(disk->entries, 0, (guint)(index - SIM_DISK_LOG_KEEP - first));
    }
}
