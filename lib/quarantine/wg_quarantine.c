/* wg_quarantine.c -- see wg_quarantine.h */
#include "wg_quarantine.h"

#include <string.h>

struct wg_quarantine {
    wg_quarantine_desc desc;
    GPtrArray* entries;         /* wg_quarantined*, oldest first */
    GHashTable* by_fingerprint; /* fingerprint -> wg_quarantined* in `entries` */
    uint64_t change;
};

/* ---- helpers --------------------------------------------------------------------------------- */

static void _wg_quarantine_remove(wg_quarantine* q, wg_quarantined* entry) {
    g_hash_table_remove(q->by_fingerprint, &entry->fingerprint);
    g_ptr_array_remove(q->entries, entry);
}

static int _wg_quarantine_num_of_workspace(const wg_quarantine* q, const char* workspace) {
    int num = 0;
    for (guint i = 0; i < q->entries->len; i++) {
        num += strcmp(((wg_quarantined*)q->entries->pdata[i])->workspace, workspace) == 0;
    }
    return num;
}

static wg_quarantined* _wg_quarantine_oldest_of(const wg_quarantine* q, const char* workspace) {
    for (guint i = 0; i < q->entries->len; i++) {
        wg_quarantined* entry = q->entries->pdata[i];
        if (strcmp(entry->workspace, workspace) == 0) {
            return entry;
        }
    }
    return NULL;
}

/* Returns the workspace with the most entries; if several have as many, the one with the oldest
   entry. */
static const char* _wg_quarantine_largest_workspace(const wg_quarantine* q) {
    const char* largest = NULL;
    int max_num = 0;
    for (guint i = 0; i < q->entries->len; i++) {
        const char* workspace = ((wg_quarantined*)q->entries->pdata[i])->workspace;
        int num = _wg_quarantine_num_of_workspace(q, workspace);
        if (num > max_num) {
            max_num = num;
            largest = workspace;
        }
    }
    return largest;
}

/* Returns the entry to evict before one of the workspace is added; NULL if there is room. */
static wg_quarantined* _wg_quarantine_entry_to_evict(const wg_quarantine* q,
                                                     const char* workspace) {
    if (_wg_quarantine_num_of_workspace(q, workspace) >= q->desc.per_workspace) {
        return _wg_quarantine_oldest_of(q, workspace);
    }
    if ((int)q->entries->len >= q->desc.max) {
        return _wg_quarantine_oldest_of(q, _wg_quarantine_largest_workspace(q));
    }
    return NULL;
}

static void _wg_quarantine_add(wg_quarantine* q, const wg_quarantined* entry) {
    wg_quarantined* added = g_new(wg_quarantined, 1);
    *added = *entry;
    g_ptr_array_add(q->entries, added);
    g_hash_table_insert(q->by_fingerprint, &added->fingerprint, added);
}

static wg_quarantined _wg_quarantined_unpack(const Wgpb__Quarantine* in, wg_time now) {
    uint64_t max_life_us = WG_QUARANTINE_DURATION_MAX_S * (uint64_t)WG_USEC_PER_SEC;
    wg_quarantined entry = {.fingerprint = in->fingerprint,
                            .crashes_num = (int)MIN(in->ends, (uint32_t)G_MAXINT),
                            .until = now + (wg_time)MIN(in->life_us, max_life_us)};
    g_strlcpy(entry.workspace, in->workspace, sizeof entry.workspace);
    g_strlcpy(entry.path, in->path, sizeof entry.path);
    return entry;
}

static void _wg_quarantine_clear(wg_quarantine* q) {
    g_hash_table_remove_all(q->by_fingerprint);
    g_ptr_array_set_size(q->entries, 0);
}

/* ---- public functions ------------------------------------------------------------------------ */

wg_quarantine* wg_quarantine_setup(const wg_quarantine_desc* desc) {
    wg_quarantine* q = g_new0(wg_quarantine, 1);
    q->desc = *desc;
    q->desc.max = desc->max ? desc->max : WG_QUARANTINE_MAX_DEFAULT;
    q->desc.per_workspace =
        desc->per_workspace ? desc->per_workspace : WG_QUARANTINE_PER_WORKSPACE_DEFAULT;
    WG_ASSERT(q->desc.max > 0 && q->desc.per_workspace > 0);
    q->entries = g_ptr_array_new_with_free_func(g_free);
    q->by_fingerprint = g_hash_table_new(g_int64_hash, g_int64_equal);
    return q;
}

void wg_quarantine_shutdown(wg_quarantine* q) {
    g_hash_table_unref(q->by_fingerprint);
    g_ptr_array_unref(q->entries);
    g_free(q);
}

bool wg_quarantine_apply(wg_quarantine* q, wg_time now, const Wgpb__Quarantine* change,
                         wg_quarantined* dropped) {
    wg_quarantined* held = wg_quarantine_find(q, change->fingerprint);
    *dropped = (wg_quarantined){0};
    if (change->fingerprint == 0 || change->begins == (held != NULL)) {
        return false;
    }
    q->change++;
    if (held) {
        _wg_quarantine_remove(q, held);
        return true;
    }
    wg_quarantined entry = _wg_quarantined_unpack(change, now);
    wg_quarantined* evicted = _wg_quarantine_entry_to_evict(q, entry.workspace);
    if (evicted) {
        *dropped = *evicted;
        _wg_quarantine_remove(q, evicted);
    }
    _wg_quarantine_add(q, &entry);
    return true;
}

bool wg_quarantine_contains(const wg_quarantine* q, uint64_t fingerprint) {
    return wg_quarantine_find(q, fingerprint) != NULL;
}

wg_quarantined* wg_quarantine_find(const wg_quarantine* q, uint64_t fingerprint) {
    return g_hash_table_lookup(q->by_fingerprint, &fingerprint);
}

wg_quarantined* wg_quarantine_at(const wg_quarantine* q, int at) {
    return at < (int)q->entries->len ? q->entries->pdata[at] : NULL;
}

int wg_quarantine_num(const wg_quarantine* q) {
    return (int)q->entries->len;
}

uint64_t wg_quarantine_change(const wg_quarantine* q) {
    return q->change;
}

const char* wg_quarantine_end_name(wg_quarantine_end end) {
    static const char* names[WG_QUARANTINE_END_NUM] = {"unknown", "time-is-over", "operator",
                                                       "ended-well"};
    return end >= 0 && end < WG_QUARANTINE_END_NUM ? names[end] : names[0];
}

/* ---- copies ---------------------------------------------------------------------------------- */

uint64_t* wg_quarantine_fingerprints(const wg_quarantine* q) {
    uint64_t* list = g_new(uint64_t, q->entries->len + 1);
    for (guint i = 0; i < q->entries->len; i++) {
        list[i] = ((wg_quarantined*)q->entries->pdata[i])->fingerprint;
    }
    return list;
}

void wg_quarantine_copy(wg_quarantine* q, uint64_t change, const uint64_t* fingerprints,
                        size_t num) {
    _wg_quarantine_clear(q);
    q->change = change;
    for (size_t i = 0; i < num; i++) {
        if (!wg_quarantine_contains(q, fingerprints[i])) {
            _wg_quarantine_add(q, &(wg_quarantined){.fingerprint = fingerprints[i]});
        }
    }
}

/* ---- messages -------------------------------------------------------------------------------- */

void wg_quarantined_pack(const wg_quarantined* entry, wg_time now, Wgpb__Quarantine* out) {
    wgpb__quarantine__init(out);
    out->fingerprint = entry->fingerprint;
    out->begins = true;
    out->workspace = (char*)entry->workspace;
    out->path = (char*)entry->path;
    out->ends = (uint32_t)entry->crashes_num;
    out->life_us = (uint64_t)MAX(entry->until - now, 0);
}

Wgpb__QuarantineState* wg_quarantine_dump(const wg_quarantine* q, wg_time now) {
    Wgpb__QuarantineState state = WGPB__QUARANTINE_STATE__INIT;
    Wgpb__Quarantine* items = g_new(Wgpb__Quarantine, q->entries->len + 1);
    state.quarantined = g_new(Wgpb__Quarantine*, q->entries->len + 1);
    for (guint i = 0; i < q->entries->len; i++) {
        wg_quarantined_pack(q->entries->pdata[i], now, &items[i]);
        state.quarantined[state.n_quarantined++] = &items[i];
    }
    state.change = q->change;
    size_t size = wgpb__quarantine_state__get_packed_size(&state);
    uint8_t* bytes = g_malloc(size + 1);
    wgpb__quarantine_state__pack(&state, bytes);
    Wgpb__QuarantineState* out = wgpb__quarantine_state__unpack(NULL, size, bytes);
    g_free(bytes);
    g_free(state.quarantined);
    g_free(items);
    return out;
}

void wg_quarantine_load(wg_quarantine* q, wg_time now, const Wgpb__QuarantineState* state) {
    _wg_quarantine_clear(q);
    q->change = state ? state->change : 0;
    for (size_t i = 0; state && i < state->n_quarantined; i++) {
        wg_quarantined entry = _wg_quarantined_unpack(state->quarantined[i], now);
        if (entry.fingerprint != 0 && !wg_quarantine_contains(q, entry.fingerprint)) {
            _wg_quarantine_add(q, &entry);
        }
    }
}
