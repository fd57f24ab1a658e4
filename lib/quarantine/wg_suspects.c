/* wg_suspects.c -- see wg_suspects.h */
#include "wg_suspects.h"

#include <string.h>

enum {
    /* Two early crashes are enough, or three crashes of any kind. */
    WG_SUSPECT_WEIGHT_EARLY = 3,
    WG_SUSPECT_WEIGHT = 2,
    WG_SUSPECT_WEIGHT_DUE = 6,
    /* Slots for what ended well recently, indexed by fingerprint modulo this number. At 100
       requests per second and host, each with a part of its prompt that no other has, they hold
       most of the last 30 s; 256 KB. */
    WG_CLEARED_SLOTS = 16384,
    /* Short answers in a row that clear as one long one does: the chance that each of them ended
       just before its target would have crashed is then small. */
    WG_SHORT_ENDS_CLEAR = 4
};

typedef struct {
    uint64_t fingerprint; /* 0: the slot is empty */
    wg_time at;
    int short_ends; /* short answers since the last crash; WG_SHORT_ENDS_CLEAR: cleared */
} wg_cleared;

struct wg_suspects {
    wg_suspects_desc desc;
    GHashTable* by_fingerprint; /* fingerprint (within the wg_suspect) -> wg_suspect* */
    wg_cleared cleared[WG_CLEARED_SLOTS];
};

/* ---- helpers --------------------------------------------------------------------------------- */

static wg_cleared* _wg_cleared_slot(const wg_suspects* s, uint64_t fingerprint) {
    return (wg_cleared*)&s->cleared[fingerprint % WG_CLEARED_SLOTS];
}

/* Whether the slot has answers of the fingerprint that still count. */
static bool _wg_cleared_is_valid(const wg_suspects* s, wg_time now, uint64_t fingerprint) {
    const wg_cleared* cleared = _wg_cleared_slot(s, fingerprint);
    return cleared->fingerprint == fingerprint && now - cleared->at < s->desc.cleared_time;
}

/* Returns the workspace with the most suspects; the result is stable while nothing changes. */
static const char* _wg_suspects_largest_workspace(const wg_suspects* s) {
    GHashTable* counts = g_hash_table_new(g_str_hash, g_str_equal);
    const char* largest = NULL;
    int max_num = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->by_fingerprint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const char* workspace = ((wg_suspect*)value)->workspace;
        int num = GPOINTER_TO_INT(g_hash_table_lookup(counts, workspace)) + 1;
        g_hash_table_insert(counts, (gpointer)workspace, GINT_TO_POINTER(num));
        if (num > max_num) {
            max_num = num;
            largest = workspace;
        }
    }
    g_hash_table_unref(counts);
    return largest;
}

/* Evicts the oldest suspect of the largest workspace, so that one workspace cannot evict the
   suspects of others. */
static void _wg_suspects_evict(wg_suspects* s) {
    const char* workspace = _wg_suspects_largest_workspace(s);
    wg_suspect* oldest = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->by_fingerprint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_suspect* suspect = value;
        bool counts = strcmp(suspect->workspace, workspace) == 0;
        if (counts && (!oldest || suspect->last_crash_at < oldest->last_crash_at)) {
            oldest = suspect;
        }
    }
    g_hash_table_remove(s->by_fingerprint, &oldest->fingerprint);
}

static wg_suspect* _wg_suspects_create(wg_suspects* s, const wg_crash* crash) {
    if ((int)g_hash_table_size(s->by_fingerprint) >= s->desc.max) {
        _wg_suspects_evict(s);
    }
    wg_suspect* suspect = g_new0(wg_suspect, 1);
    suspect->fingerprint = crash->fingerprint;
    wg_copy_name(suspect->workspace, sizeof suspect->workspace, crash->workspace);
    wg_copy_name(suspect->path, sizeof suspect->path, crash->path);
    g_hash_table_insert(s->by_fingerprint, &suspect->fingerprint, suspect);
    return suspect;
}

/* Index of the target among those of the suspect, which may be its next one; -1: no room. */
static int _wg_suspect_index(const wg_suspect* suspect, uint32_t target) {
    int i = 0;
    while (i < suspect->targets_num && suspect->targets[i] != target) {
        i++;
    }
    return i < WG_SUSPECT_TARGETS_MAX ? i : -1;
}

/* A target counts once, by the copy of the request that it had begun. */
static void _wg_suspect_add(wg_suspect* suspect, const wg_crash* crash) {
    int i = _wg_suspect_index(suspect, crash->target);
    if (i < 0) {
        return;
    }
    bool known = i < suspect->targets_num;
    suspect->targets_num = MAX(suspect->targets_num, i + 1);
    suspect->targets[i] = crash->target;
    suspect->early[i] = crash->early || (known && suspect->early[i]);
    suspect->weight = 0;
    for (int t = 0; t < suspect->targets_num; t++) {
        suspect->weight += suspect->early[t] ? WG_SUSPECT_WEIGHT_EARLY : WG_SUSPECT_WEIGHT;
    }
}

/* ---- public functions ------------------------------------------------------------------------ */

wg_suspects* wg_suspects_setup(const wg_suspects_desc* desc) {
    wg_suspects* s = g_new0(wg_suspects, 1);
    s->desc = *desc;
    s->desc.max = desc->max ? desc->max : WG_SUSPECTS_MAX_DEFAULT;
    s->desc.lifetime =
        desc->lifetime ? desc->lifetime : WG_SUSPECT_LIFETIME_DEFAULT_S * (wg_time)WG_USEC_PER_SEC;
    s->desc.cleared_time = desc->cleared_time
                               ? desc->cleared_time
                               : WG_SUSPECT_CLEARED_DEFAULT_S * (wg_time)WG_USEC_PER_SEC;
    WG_ASSERT(s->desc.max > 0);
    s->by_fingerprint = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return s;
}

void wg_suspects_shutdown(wg_suspects* s) {
    g_hash_table_unref(s->by_fingerprint);
    g_free(s);
}

wg_suspect* wg_suspects_add(wg_suspects* s, wg_time now, const wg_crash* crash) {
    if (wg_suspects_ended_well(s, now, crash->fingerprint)) {
        return NULL;
    }
    if (_wg_cleared_is_valid(s, now, crash->fingerprint)) {
        _wg_cleared_slot(s, crash->fingerprint)->short_ends = 0;
    }
    wg_suspect* suspect = wg_suspects_find(s, crash->fingerprint);
    if (!suspect) {
        suspect = _wg_suspects_create(s, crash);
    }
    suspect->last_crash_at = now;
    _wg_suspect_add(suspect, crash);
    return suspect;
}

bool wg_suspect_is_due(const wg_suspect* suspect) {
    return suspect->weight >= WG_SUSPECT_WEIGHT_DUE;
}

wg_suspect* wg_suspects_find(const wg_suspects* s, uint64_t fingerprint) {
    return g_hash_table_lookup(s->by_fingerprint, &fingerprint);
}

bool wg_suspects_clear(wg_suspects* s, wg_time now, uint64_t fingerprint) {
    *_wg_cleared_slot(s, fingerprint) = (wg_cleared){fingerprint, now, WG_SHORT_ENDS_CLEAR};
    return g_hash_table_remove(s->by_fingerprint, &fingerprint);
}

bool wg_suspects_record_short_end(wg_suspects* s, wg_time now, uint64_t fingerprint) {
    bool valid = _wg_cleared_is_valid(s, now, fingerprint);
    wg_cleared* cleared = _wg_cleared_slot(s, fingerprint);
    int ends = valid ? MIN(cleared->short_ends + 1, WG_SHORT_ENDS_CLEAR) : 1;
    *cleared = (wg_cleared){fingerprint, now, ends};
    if (ends < WG_SHORT_ENDS_CLEAR) {
        return false;
    }
    g_hash_table_remove(s->by_fingerprint, &fingerprint);
    return true;
}

bool wg_suspects_ended_well(const wg_suspects* s, wg_time now, uint64_t fingerprint) {
    return _wg_cleared_is_valid(s, now, fingerprint) &&
           _wg_cleared_slot(s, fingerprint)->short_ends == WG_SHORT_ENDS_CLEAR;
}

void wg_suspects_remove(wg_suspects* s, uint64_t fingerprint) {
    g_hash_table_remove(s->by_fingerprint, &fingerprint);
}

void wg_suspects_tick(wg_suspects* s, wg_time now) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->by_fingerprint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now - ((wg_suspect*)value)->last_crash_at >= s->desc.lifetime) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

int wg_suspects_num(const wg_suspects* s) {
    return (int)g_hash_table_size(s->by_fingerprint);
}

GPtrArray* wg_suspects_list(const wg_suspects* s) {
    GPtrArray* list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->by_fingerprint);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(list, value);
    }
    return list;
}

GArray* wg_suspects_crashes(const wg_suspects* s) {
    GArray* crashes = g_array_new(FALSE, FALSE, sizeof(wg_crash));
    GPtrArray* list = wg_suspects_list(s);
    for (guint i = 0; i < list->len; i++) {
        const wg_suspect* suspect = list->pdata[i];
        for (int t = 0; t < suspect->targets_num; t++) {
            wg_crash crash = {.fingerprint = suspect->fingerprint,
                              .target = suspect->targets[t],
                              .early = suspect->early[t]};
            wg_copy_name(crash.workspace, sizeof crash.workspace, suspect->workspace);
            wg_copy_name(crash.path, sizeof crash.path, suspect->path);
            g_array_append_val(crashes, crash);
        }
    }
    g_ptr_array_unref(list);
    return crashes;
}
