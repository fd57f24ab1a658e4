/* wg_table.c -- rows, versions, edits and snapshots; see wg_table.h */
#include "wg_table.h"

#include <string.h>

/* ---- types -------------------------------------------------------------------------------- */

/* A slot holds one row and is linked into a list in the order of the last change. */
typedef struct {
    wgt_row row;
    bool taken;
    int newer; /* slot of the row that changed next; -1 none */
    int older; /* slot of the row that changed before; -1 none */
} _wgt_slot_t;

struct wgt_table {
    wgt_desc desc;
    _wgt_slot_t* slots;
    int slots_used; /* slots at this index and above were never used */
    int free_slot;  /* head of the free list, linked by .newer; -1 none */
    int newest;
    int oldest;
    GHashTable* by_name; /* kind and name -> slot + 1 */
    GHashTable* by_id;   /* row id -> slot + 1 */
    GHashTable* by_key;  /* key hash -> slot + 1 */
    GHashTable* results; /* edit id -> wgt_result* */
    GQueue results_order;
    uint64_t version;
    uint64_t tombstone_floor; /* newest version of a deleted row that is no longer retained */
    uint32_t next_id;
    wgt_stats stats;
};

/* ---- helpers ------------------------------------------------------------------------------ */

static wgt_desc _wgt_desc_def(const wgt_desc* desc) {
    wgt_desc d = *desc;
    d.rows_max = d.rows_max ? d.rows_max : WGT_ROWS_DEFAULT;
    d.results_max = d.results_max ? d.results_max : WGT_RESULTS_DEFAULT;
    d.tombstones_max = d.tombstones_max ? d.tombstones_max : WGT_TOMBSTONES_DEFAULT;
    return d;
}

static guint _wgt_bytes_hash(const void* data) {
    guint value;
    memcpy(&value, data, sizeof value);
    return value;
}

static gboolean _wgt_key_equal(const void* a, const void* b) {
    return memcmp(a, b, WG_KEY_HASH_SIZE) == 0;
}

static gboolean _wgt_edit_id_equal(const void* a, const void* b) {
    return memcmp(a, b, WGT_EDIT_ID_SIZE) == 0;
}

static guint _wgt_row_hash(const void* data) {
    const wgt_row* row = data;
    return (guint)wg_hash(row->name, strlen(row->name), row->kind);
}

static gboolean _wgt_row_equal(const void* a, const void* b) {
    const wgt_row* left = a;
    const wgt_row* right = b;
    return left->kind == right->kind && strcmp(left->name, right->name) == 0;
}

static int _wgt_find_slot(const wgt_table* t, wgt_kind kind, const char* name) {
    wgt_row probe = {.kind = kind};
    if (!wg_copy_name(probe.name, sizeof probe.name, name)) {
        return -1;
    }
    return GPOINTER_TO_INT(g_hash_table_lookup(t->by_name, &probe)) - 1;
}

static void _wgt_unlink_slot(wgt_table* t, int slot) {
    _wgt_slot_t* s = &t->slots[slot];
    if (s->newer >= 0) {
        t->slots[s->newer].older = s->older;
    } else {
        t->newest = s->older;
    }
    if (s->older >= 0) {
        t->slots[s->older].newer = s->newer;
    } else {
        t->oldest = s->newer;
    }
}

/* Inserts a slot into the change order by its version. The search starts at the newest row, since
   most rows are inserted there. */
static void _wgt_link_slot(wgt_table* t, int slot) {
    _wgt_slot_t* s = &t->slots[slot];
    int older = t->newest;
    while (older >= 0 && t->slots[older].row.version > s->row.version) {
        older = t->slots[older].older;
    }
    s->older = older;
    s->newer = older >= 0 ? t->slots[older].newer : t->oldest;
    if (s->newer >= 0) {
        t->slots[s->newer].older = slot;
    } else {
        t->newest = slot;
    }
    if (older >= 0) {
        t->slots[older].newer = slot;
    } else {
        t->oldest = slot;
    }
}

static int _wgt_alloc_slot(wgt_table* t) {
    int slot = t->free_slot;
    if (slot >= 0) {
        t->free_slot = t->slots[slot].newer;
    } else if (t->slots_used < t->desc.rows_max) {
        slot = t->slots_used++;
    } else {
        return -1;
    }
    t->slots[slot] = (_wgt_slot_t){.taken = true, .newer = -1, .older = -1};
    return slot;
}

/* Decodes 64 hex digits, which wgt_row_check() has validated. */
static void _wgt_parse_key(const char* hex, uint8_t out[WG_KEY_HASH_SIZE]) {
    for (int i = 0; i < WG_KEY_HASH_SIZE; i++) {
        int high = g_ascii_xdigit_value(hex[2 * i]);
        int low = g_ascii_xdigit_value(hex[2 * i + 1]);
        out[i] = (uint8_t)(high * 16 + low);
    }
}

/* Calls `visit` with each key hash of a workspace row. */
static void _wgt_for_each_key(const wgt_row* row, void (*visit)(wgt_table*, const uint8_t*, int),
                              wgt_table* t, int slot) {
    if (row->kind != WGT_KIND_WORKSPACE || row->deleted) {
        return;
    }
    const char* text = row->workspace.keys;
    while (strlen(text) >= 2 * WG_KEY_HASH_SIZE) {
        uint8_t hash[WG_KEY_HASH_SIZE];
        _wgt_parse_key(text, hash);
        visit(t, hash, slot);
        text += 2 * WG_KEY_HASH_SIZE;
        text += strspn(text, " ");
    }
}

static void _wgt_key_add(wgt_table* t, const uint8_t* hash, int slot) {
    g_hash_table_replace(t->by_key, g_memdup2(hash, WG_KEY_HASH_SIZE), GINT_TO_POINTER(slot + 1));
}

static void _wgt_key_remove(wgt_table* t, const uint8_t* hash, int slot) {
    if (GPOINTER_TO_INT(g_hash_table_lookup(t->by_key, hash)) == slot + 1) {
        g_hash_table_remove(t->by_key, hash);
    }
}

static int* _wgt_kind_count(wgt_table* t, wgt_kind kind) {
    switch (kind) {
    case WGT_KIND_WORKSPACE:
        return &t->stats.workspaces;
    case WGT_KIND_SERVICE:
        return &t->stats.services;
    default:
        return &t->stats.targets;
    }
}

static void _wgt_count_row(wgt_table* t, const wgt_row* row, int sign) {
    t->stats.rows += sign;
    if (row->deleted) {
        t->stats.deleted += sign;
    } else {
        *_wgt_kind_count(t, row->kind) += sign;
    }
}

static void _wgt_remove_slot(wgt_table* t, int slot) {
    _wgt_slot_t* s = &t->slots[slot];
    _wgt_count_row(t, &s->row, -1);
    _wgt_for_each_key(&s->row, _wgt_key_remove, t, slot);
    g_hash_table_remove(t->by_name, &s->row);
    g_hash_table_remove(t->by_id, GUINT_TO_POINTER(s->row.id));
    _wgt_unlink_slot(t, slot);
    s->taken = false;
    s->newer = t->free_slot;
    t->free_slot = slot;
}

/* Inserts a row or replaces the row of that name; false when the table is full. */
static bool _wgt_store_row(wgt_table* t, const wgt_row* row) {
    int slot = _wgt_find_slot(t, row->kind, row->name);
    if (slot >= 0) {
        _wgt_remove_slot(t, slot);
    }
    slot = _wgt_alloc_slot(t);
    if (slot < 0) {
        return false;
    }
    t->slots[slot].row = *row;
    wgt_row* stored = &t->slots[slot].row;
    g_hash_table_insert(t->by_name, stored, GINT_TO_POINTER(slot + 1));
    g_hash_table_insert(t->by_id, GUINT_TO_POINTER(stored->id), GINT_TO_POINTER(slot + 1));
    _wgt_for_each_key(stored, _wgt_key_add, t, slot);
    _wgt_link_slot(t, slot);
    _wgt_count_row(t, stored, 1);
    return true;
}

/* Removes the oldest deleted rows beyond the limit. */
static void _wgt_trim_tombstones(wgt_table* t) {
    int slot = t->oldest;
    while (slot >= 0 && t->stats.deleted > t->desc.tombstones_max) {
        int next = t->slots[slot].newer;
        if (t->slots[slot].row.deleted) {
            t->tombstone_floor = t->slots[slot].row.version;
            _wgt_remove_slot(t, slot);
        }
        slot = next;
    }
}

static void _wgt_store_result(wgt_table* t, const wgt_result* result) {
    wgt_result* copy = g_memdup2(result, sizeof *result);
    if (g_hash_table_lookup(t->results, copy->edit_id)) {
        g_free(copy);
        return;
    }
    g_hash_table_insert(t->results, copy->edit_id, copy);
    g_queue_push_tail(&t->results_order, copy);
    while ((int)t->results_order.length > t->desc.results_max) {
        wgt_result* oldest = g_queue_pop_head(&t->results_order);
        g_hash_table_remove(t->results, oldest->edit_id); /* frees `oldest` */
    }
}

static void _wgt_refuse(wgt_result* result, wgt_outcome outcome, const char* format, ...) {
    va_list args;
    va_start(args, format);
    g_vsnprintf(result->reason, sizeof result->reason, format, args);
    va_end(args);
    result->outcome = outcome;
}

/* Looks up a row as it will be after the edit; NULL when it will not exist. */
static const wgt_row* _wgt_row_after_edit(const wgt_table* t, const wgt_edit* edit, wgt_kind kind,
                                          const char* name) {
    for (int i = 0; i < edit->rows_num; i++) {
        const wgt_row* row = &edit->rows[i].row;
        if (row->kind == kind && strcmp(row->name, name) == 0) {
            return row->deleted ? NULL : row;
        }
    }
    return wgt_find(t, kind, name);
}

static bool _wgt_service_in_use(const wgt_table* t, const wgt_edit* edit, const char* service) {
    int at = -1;
    for (const wgt_row* row; (row = wgt_next(t, WGT_KIND_TARGET, &at));) {
        const wgt_row* after = _wgt_row_after_edit(t, edit, WGT_KIND_TARGET, row->name);
        if (after && strcmp(after->target.service, service) == 0) {
            return true;
        }
    }
    return false;
}

/* Refuses the edit when a key of `row` would also belong to another workspace. */
static void _wgt_check_keys(wgt_table* t, const wgt_edit* edit, const wgt_row* row,
                            wgt_result* result) {
    char** keys = g_strsplit(row->workspace.keys, " ", -1);
    for (int i = 0; keys[i] && keys[i][0]; i++) {
        uint8_t hash[WG_KEY_HASH_SIZE];
        _wgt_parse_key(keys[i], hash);
        const wgt_row* owner = wgt_find_key(t, hash);
        const wgt_row* after =
            owner ? _wgt_row_after_edit(t, edit, WGT_KIND_WORKSPACE, owner->name) : NULL;
        bool other = after && strcmp(after->name, row->name) != 0;
        if (other && strstr(after->workspace.keys, keys[i])) {
            _wgt_refuse(result, WGT_OUTCOME_INVALID, "workspace \"%s\": a key belongs to \"%s\"",
                        row->name, after->name);
        }
        for (int r = 0; r < edit->rows_num; r++) {
            const wgt_row* other_row = &edit->rows[r].row;
            bool skip =
                other_row == row || other_row->kind != WGT_KIND_WORKSPACE || other_row->deleted;
            if (!skip && strstr(other_row->workspace.keys, keys[i])) {
                _wgt_refuse(result, WGT_OUTCOME_INVALID, "workspaces \"%s\" and \"%s\" share a key",
                            row->name, other_row->name);
            }
        }
    }
    g_strfreev(keys);
}

static void _wgt_check_references(wgt_table* t, const wgt_edit* edit, const wgt_row* row,
                                  wgt_result* result) {
    if (row->kind == WGT_KIND_TARGET && !row->deleted &&
        !_wgt_row_after_edit(t, edit, WGT_KIND_SERVICE, row->target.service)) {
        _wgt_refuse(result, WGT_OUTCOME_INVALID, "target \"%s\": no service \"%s\"", row->name,
                    row->target.service);
    }
    if (row->kind == WGT_KIND_SERVICE && row->deleted && _wgt_service_in_use(t, edit, row->name)) {
        _wgt_refuse(result, WGT_OUTCOME_INVALID, "service \"%s\" still has targets", row->name);
    }
    if (row->kind == WGT_KIND_WORKSPACE && !row->deleted) {
        _wgt_check_keys(t, edit, row, result);
    }
}

static void _wgt_check_edit_row(wgt_table* t, const wgt_edit* edit, int at, wgt_result* result) {
    const wgt_row* row = &edit->rows[at].row;
    GError* error = NULL;
    if (!wgt_row_check(row, &error)) {
        _wgt_refuse(result, WGT_OUTCOME_INVALID, "%s", error->message);
        g_error_free(error);
        return;
    }
    for (int i = 0; i < at; i++) {
        if (_wgt_row_equal(&edit->rows[i].row, row)) {
            _wgt_refuse(result, WGT_OUTCOME_INVALID, "%s \"%s\" stands twice in the edit",
                        wgt_kind_name(row->kind), row->name);
            return;
        }
    }
    const wgt_row* current = wgt_find(t, row->kind, row->name);
    uint64_t version = current ? current->version : 0;
    if (version != edit->rows[at].base_version) {
        _wgt_refuse(result, WGT_OUTCOME_CONFLICT,
                    "%s \"%s\" is at version %" G_GUINT64_FORMAT ", not %" G_GUINT64_FORMAT,
                    wgt_kind_name(row->kind), row->name, version, edit->rows[at].base_version);
        return;
    }
    _wgt_check_references(t, edit, row, result);
}

static void _wgt_check_edit(wgt_table* t, const wgt_edit* edit, wgt_result* result) {
    if (edit->rows_num < 1 || edit->rows_num > WGT_EDIT_ROWS_MAX) {
        _wgt_refuse(result, WGT_OUTCOME_INVALID, "an edit has 1..%d rows", WGT_EDIT_ROWS_MAX);
        return;
    }
    if (t->stats.rows + edit->rows_num > t->desc.rows_max) {
        _wgt_refuse(result, WGT_OUTCOME_INVALID, "the table is full (%d rows)", t->desc.rows_max);
        return;
    }
    for (int i = 0; i < edit->rows_num && result->outcome == WGT_OUTCOME_DEFAULT; i++) {
        _wgt_check_edit_row(t, edit, i, result);
    }
}

/* ---- public functions --------------------------------------------------------------------- */

wgt_table* wgt_setup(const wgt_desc* desc, GError** error) {
    const wg_desc_field fields[] = {
        {"wgt_desc.rows_max", desc->rows_max, 0},
        {"wgt_desc.results_max", desc->results_max, 0},
        {"wgt_desc.tombstones_max", desc->tombstones_max, 0},
    };
    if (!wg_desc_check(fields, G_N_ELEMENTS(fields), error)) {
        return NULL;
    }
    wgt_table* t = g_new0(wgt_table, 1);
    t->desc = _wgt_desc_def(desc);
    t->slots = g_new0(_wgt_slot_t, t->desc.rows_max);
    t->free_slot = t->newest = t->oldest = -1;
    t->next_id = 1;
    t->by_name = g_hash_table_new(_wgt_row_hash, _wgt_row_equal);
    t->by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
    t->by_key = g_hash_table_new_full(_wgt_bytes_hash, _wgt_key_equal, g_free, NULL);
    t->results = g_hash_table_new_full(_wgt_bytes_hash, _wgt_edit_id_equal, NULL, g_free);
    g_queue_init(&t->results_order);
    return t;
}

void wgt_shutdown(wgt_table* t) {
    g_hash_table_unref(t->by_name);
    g_hash_table_unref(t->by_id);
    g_hash_table_unref(t->by_key);
    g_queue_clear(&t->results_order);
    g_hash_table_unref(t->results);
    g_free(t->slots);
    g_free(t);
}

void wgt_apply(wgt_table* t, const wgt_edit* edit, uint64_t index, wgt_result* result) {
    if (wgt_result_of(t, edit->id, result)) {
        result->resent = true;
        return;
    }
    WG_ASSERT(index > t->version);
    *result = (wgt_result){0};
    memcpy(result->edit_id, edit->id, sizeof result->edit_id);
    _wgt_check_edit(t, edit, result);
    if (result->outcome != WGT_OUTCOME_DEFAULT) {
        result->version = t->version;
        t->stats.refused++;
        _wgt_store_result(t, result);
        return;
    }
    for (int i = 0; i < edit->rows_num; i++) {
        wgt_row row = edit->rows[i].row;
        const wgt_row* current = wgt_find(t, row.kind, row.name);
        row.id = current ? current->id : t->next_id++;
        row.version = index;
        bool stored = _wgt_store_row(t, &row);
        WG_ASSERT(stored);
    }
    t->version = index;
    _wgt_trim_tombstones(t);
    result->outcome = WGT_OUTCOME_ACCEPTED;
    result->version = index;
    t->stats.accepted++;
    _wgt_store_result(t, result);
}

bool wgt_result_of(const wgt_table* t, const uint8_t* edit_id, wgt_result* result) {
    const wgt_result* known = g_hash_table_lookup(t->results, edit_id);
    if (known) {
        *result = *known;
    }
    return known != NULL;
}

bool wgt_put(wgt_table* t, const wgt_row* row) {
    int slot = _wgt_find_slot(t, row->kind, row->name);
    if (slot >= 0 && t->slots[slot].row.version >= row->version) {
        return false;
    }
    bool stored = _wgt_store_row(t, row);
    _wgt_trim_tombstones(t);
    return stored;
}

void wgt_remove(wgt_table* t, wgt_kind kind, const char* name) {
    int slot = _wgt_find_slot(t, kind, name);
    if (slot >= 0) {
        _wgt_remove_slot(t, slot);
    }
}

void wgt_set_version(wgt_table* t, uint64_t version) {
    WG_ASSERT(version >= t->version);
    t->version = version;
}

const wgt_row* wgt_find(const wgt_table* t, wgt_kind kind, const char* name) {
    int slot = _wgt_find_slot(t, kind, name);
    return slot >= 0 && !t->slots[slot].row.deleted ? &t->slots[slot].row : NULL;
}

const wgt_row* wgt_find_id(const wgt_table* t, uint32_t id) {
    int slot = GPOINTER_TO_INT(g_hash_table_lookup(t->by_id, GUINT_TO_POINTER(id))) - 1;
    return slot >= 0 && !t->slots[slot].row.deleted ? &t->slots[slot].row : NULL;
}

const wgt_row* wgt_find_key(const wgt_table* t, const uint8_t key_hash[WG_KEY_HASH_SIZE]) {
    int slot = GPOINTER_TO_INT(g_hash_table_lookup(t->by_key, key_hash)) - 1;
    return slot >= 0 ? &t->slots[slot].row : NULL;
}

const wgt_row* wgt_next(const wgt_table* t, wgt_kind kind, int* at) {
    for (int slot = *at + 1; slot < t->slots_used; slot++) {
        const _wgt_slot_t* s = &t->slots[slot];
        if (s->taken && s->row.kind == kind && !s->row.deleted) {
            *at = slot;
            return &s->row;
        }
    }
    return NULL;
}

int wgt_changes(const wgt_table* t, uint64_t version, const wgt_row** rows, int max, bool* more) {
    *more = false;
    if (version > 0 && version < t->tombstone_floor) {
        return -1;
    }
    int slot = t->newest;
    while (slot >= 0 && t->slots[slot].row.version > version) {
        slot = t->slots[slot].older;
    }
    slot = slot >= 0 ? t->slots[slot].newer : t->oldest;
    int num = 0;
    for (; slot >= 0; slot = t->slots[slot].newer) {
        if (num == max) {
            /* Do not split the rows of one edit: a copy resumes after a complete version. */
            *more = true;
            uint64_t next_version = t->slots[slot].row.version;
            while (num > 0 && rows[num - 1]->version == next_version) {
                num--;
            }
            WG_ASSERT(num > 0);
            break;
        }
        rows[num++] = &t->slots[slot].row;
    }
    return num;
}

uint64_t wgt_version(const wgt_table* t) {
    return t->version;
}

wgt_stats wgt_query_stats(const wgt_table* t) {
    wgt_stats stats = t->stats;
    stats.version = t->version;
    return stats;
}

Wgpb__TableState* wgt_dump(const wgt_table* t) {
    Wgpb__TableState* state = malloc(sizeof *state);
    wgpb__table_state__init(state);
    state->version = t->version;
    state->next_id = t->next_id;
    state->tombstone_floor = t->tombstone_floor;
    state->rows = malloc(sizeof(Wgpb__Row*) * (size_t)(t->stats.rows + 1));
    for (int slot = t->oldest; slot >= 0; slot = t->slots[slot].newer) {
        /* Pack and unpack, so that the row is allocated like the rest of the message. */
        Wgpb__Row packed;
        wgt_row_scratch scratch;
        wgt_row_pack(&t->slots[slot].row, &packed, &scratch);
        GByteArray* bytes = wgw_pack(&packed.base);
        state->rows[state->n_rows++] = wgpb__row__unpack(NULL, bytes->len, bytes->data);
        g_byte_array_unref(bytes);
    }
    state->results = malloc(sizeof(Wgpb__EditResult*) * (t->results_order.length + 1));
    for (GList* link = t->results_order.head; link; link = link->next) {
        const wgt_result* result = link->data;
        Wgpb__EditResult* out = malloc(sizeof *out);
        wgpb__edit_result__init(out);
        out->edit_id.data = malloc(WGT_EDIT_ID_SIZE);
        memcpy(out->edit_id.data, result->edit_id, WGT_EDIT_ID_SIZE);
        out->edit_id.len = WGT_EDIT_ID_SIZE;
        out->version = result->version;
        out->outcome = result->outcome;
        out->reason = strdup(result->reason);
        state->results[state->n_results++] = out;
    }
    return state;
}

bool wgt_load(wgt_table* t, const Wgpb__TableState* state) {
    while (t->oldest >= 0) {
        _wgt_remove_slot(t, t->oldest);
    }
    g_queue_clear(&t->results_order);
    g_hash_table_remove_all(t->results);
    for (size_t i = 0; i < state->n_rows; i++) {
        wgt_row row;
        if (!wgt_row_unpack(state->rows[i], &row) || !_wgt_store_row(t, &row)) {
            return false;
        }
    }
    for (size_t i = 0; i < state->n_results; i++) {
        const Wgpb__EditResult* in = state->results[i];
        wgt_result result = {.version = in->version, .outcome = (wgt_outcome)in->outcome};
        if (in->edit_id.len != WGT_EDIT_ID_SIZE) {
            return false;
        }
        memcpy(result.edit_id, in->edit_id.data, WGT_EDIT_ID_SIZE);
        g_strlcpy(result.reason, in->reason, sizeof result.reason);
        _wgt_store_result(t, &result);
    }
    t->version = state->version;
    t->next_id = state->next_id;
    t->tombstone_floor = state->tombstone_floor;
    return true;
}
