/* wg_quorum_log.c -- in-memory log and the current replica set; see wg_quorum.h */
#include "wg_quorum_internal.h"

#include <string.h>

#include "wg_wire.h"

/* ---- helpers ------------------------------------------------------------------------------ */

static void _wgr_entry_clear(gpointer data) {
    wgr_entry* entry = data;
    if (entry->data) {
        g_bytes_unref(entry->data);
    }
}

static void _wgr_use_set(wgr_node* n, const wgr_entry* entry) {
    wgr_set set;
    bool ok = wgr_set_unpack(entry->data, &set);
    WG_ASSERT(ok);
    n->set = set;
    n->set_index = entry->index;
}

/* Selects the newest replica set in the log, or the snapshot's if there is none. */
static void _wgr_find_set(wgr_node* n) {
    for (uint64_t index = _wgr_last_index(n); index >= n->first_index && index > 0; index--) {
        const wgr_entry* entry = _wgr_entry_at(n, index);
        if (entry && entry->kind == WGR_ENTRY_REPLICAS) {
            _wgr_use_set(n, entry);
            return;
        }
    }
    n->set = n->snapshot_set;
    n->set_index = n->snapshot_index;
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgr_log_setup(wgr_node* n, const wgr_restored* restored) {
    n->entries = g_array_new(FALSE, TRUE, sizeof(wgr_entry));
    g_array_set_clear_func(n->entries, _wgr_entry_clear);
    n->first_index = 1;
    if (!restored) {
        return;
    }
    n->term = restored->term;
    n->voted_for = restored->voted_for;
    n->snapshot_index = restored->snapshot_index;
    n->snapshot_term = restored->snapshot_term;
    n->snapshot_set = restored->set;
    n->snapshot = restored->snapshot ? g_bytes_ref(restored->snapshot) : NULL;
    n->first_index = restored->snapshot_index + 1;
    if (restored->entries_num > 0) {
        n->first_index = restored->entries[0].index;
    }
    for (int i = 0; i < restored->entries_num; i++) {
        wgr_entry entry = restored->entries[i];
        WG_ASSERT(entry.index == n->first_index + (uint64_t)i);
        entry.data = entry.data ? g_bytes_ref(entry.data) : NULL;
        g_array_append_val(n->entries, entry);
    }
    n->commit = n->delivered = n->snapshot_index;
    n->stable = _wgr_last_index(n);
    _wgr_find_set(n);
}

uint64_t _wgr_last_index(const wgr_node* n) {
    return n->first_index + n->entries->len - 1;
}

const wgr_entry* _wgr_entry_at(const wgr_node* n, uint64_t index) {
    if (index < n->first_index || index > _wgr_last_index(n)) {
        return NULL;
    }
    return &g_array_index(n->entries, wgr_entry, index - n->first_index);
}

uint64_t _wgr_term_at(const wgr_node* n, uint64_t index) {
    const wgr_entry* entry = _wgr_entry_at(n, index);
    if (entry) {
        return entry->term;
    }
    return index == n->snapshot_index ? n->snapshot_term : 0;
}

void _wgr_log_append(wgr_node* n, uint64_t term, wgr_entry_kind kind, GBytes* data) {
    wgr_entry entry = {.index = _wgr_last_index(n) + 1, .term = term, .kind = kind};
    entry.data = data ? g_bytes_ref(data) : NULL;
    g_array_append_val(n->entries, entry);
    if (kind == WGR_ENTRY_REPLICAS) {
        _wgr_use_set(n, &g_array_index(n->entries, wgr_entry, n->entries->len - 1));
    }
}

void _wgr_log_truncate(wgr_node* n, uint64_t from) {
    WG_ASSERT(from > n->commit);
    WG_ASSERT(from >= n->first_index);
    g_array_set_size(n->entries, (guint)(from - n->first_index));
    if (n->stable >= from) {
        n->stable = from - 1;
        n->truncate_from = n->truncate_from ? MIN(n->truncate_from, from) : from;
    }
    _wgr_find_set(n);
}

void _wgr_log_reset(wgr_node* n, uint64_t index, uint64_t term, const wgr_set* set, GBytes* state) {
    WG_ASSERT(index > n->commit);
    g_array_set_size(n->entries, 0);
    n->first_index = index + 1;
    n->snapshot_index = index;
    n->snapshot_term = term;
    n->snapshot_set = *set;
    if (n->snapshot) {
        g_bytes_unref(n->snapshot);
    }
    n->snapshot = g_bytes_ref(state);
    n->commit = n->delivered = n->stable = index;
    n->truncate_from = 0;
    _wgr_find_set(n);
}

void _wgr_commit_to(wgr_node* n, uint64_t index) {
    WG_ASSERT(index <= _wgr_last_index(n));
    n->commit = MAX(n->commit, index);
}

bool _wgr_is_voter(const wgr_node* n, uint64_t id) {
    const wgr_replica* replica = wgr_set_find(&n->set, id);
    return replica && replica->voter;
}

int _wgr_voters_num(const wgr_node* n) {
    int num = 0;
    for (int i = 0; i < n->set.num; i++) {
        num += n->set.replicas[i].voter ? 1 : 0;
    }
    return num;
}

/* ---- public functions --------------------------------------------------------------------- */

void wgr_compact(wgr_node* n, uint64_t index, GBytes* state) {
    WG_ASSERT(index <= n->delivered && index <= n->stable);
    if (index <= n->snapshot_index) {
        return;
    }
    n->snapshot_term = _wgr_term_at(n, index);
    wgr_set set = n->snapshot_set;
    for (uint64_t i = n->snapshot_index + 1; i <= index; i++) {
        const wgr_entry* entry = _wgr_entry_at(n, i);
        if (entry && entry->kind == WGR_ENTRY_REPLICAS) {
            wgr_set_unpack(entry->data, &set);
        }
    }
    n->snapshot_set = set;
    n->snapshot_index = index;
    if (n->snapshot) {
        g_bytes_unref(n->snapshot);
    }
    n->snapshot = g_bytes_ref(state);
    uint64_t keep = (uint64_t)n->desc.log_keep;
    uint64_t first = index > keep ? index - keep + 1 : 1;
    if (first > n->first_index) {
        g_array_remove_range(n->entries, 0, (guint)(first - n->first_index));
        n->first_index = first;
    }
}

GBytes* wgr_set_pack(const wgr_set* set) {
    Wgpb__ReplicaSet out = WGPB__REPLICA_SET__INIT;
    Wgpb__Replica items[WGR_REPLICAS_MAX];
    Wgpb__Replica* pointers[WGR_REPLICAS_MAX];
    for (int i = 0; i < set->num; i++) {
        wgpb__replica__init(&items[i]);
        items[i].id = set->replicas[i].id;
        items[i].name = (char*)set->replicas[i].name;
        items[i].address = (char*)set->replicas[i].address;
        items[i].voter = set->replicas[i].voter;
        pointers[i] = &items[i];
    }
    out.n_replicas = (size_t)set->num;
    out.replicas = pointers;
    return g_byte_array_free_to_bytes(wgw_pack(&out.base));
}

bool wgr_set_unpack(GBytes* bytes, wgr_set* set) {
    *set = (wgr_set){0};
    gsize size = 0;
    const uint8_t* data = bytes ? g_bytes_get_data(bytes, &size) : NULL;
    Wgpb__ReplicaSet* in = wgpb__replica_set__unpack(NULL, size, data);
    bool ok = in && in->n_replicas <= WGR_REPLICAS_MAX;
    for (size_t i = 0; ok && i < in->n_replicas; i++) {
        wgr_replica* replica = &set->replicas[set->num++];
        replica->id = in->replicas[i]->id;
        replica->voter = in->replicas[i]->voter;
        ok = wg_copy_name(replica->name, sizeof replica->name, in->replicas[i]->name) &&
             wg_copy_name(replica->address, sizeof replica->address, in->replicas[i]->address);
    }
    if (in) {
        wgpb__replica_set__free_unpacked(in, NULL);
    }
    return ok;
}

const wgr_replica* wgr_set_find(const wgr_set* set, uint64_t id) {
    for (int i = 0; i < set->num; i++) {
        if (set->replicas[i].id == id) {
            return &set->replicas[i];
        }
    }
    return NULL;
}
