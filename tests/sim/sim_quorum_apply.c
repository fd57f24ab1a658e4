/* sim_quorum_apply.c -- applies entries to a replica's table and claims, and checks the results */
#include <string.h>

#include "sim_quorum_internal.h"

/* ---- helpers: state ------------------------------------------------------------------------- */

GBytes* _simq_pack_state(const node_t* n) {
    Wgpb__State state = WGPB__STATE__INIT;
    state.table = wgt_dump(n->table);
    state.claims = wgk_dump(n->claims);
    GBytes* bytes = g_byte_array_free_to_bytes(wgw_pack(&state.base));
    wgpb__table_state__free_unpacked(state.table, NULL);
    wgpb__claim_state__free_unpacked(state.claims, NULL);
    return bytes;
}

void _simq_load_state(node_t* n, GBytes* bytes) {
    gsize size;
    const uint8_t* data = g_bytes_get_data(bytes, &size);
    Wgpb__State* state = wgpb__state__unpack(NULL, size, data);
    bool good = state && (!state->table || wgt_load(n->table, state->table)) &&
                (!state->claims || wgk_load(n->claims, state->claims));
    WG_ASSERT(good);
    wgpb__state__free_unpacked(state, NULL);
}

static void check_state(simq_run* s, const node_t* n, uint64_t index) {
    GBytes* bytes = _simq_pack_state(n);
    gsize size;
    const void* data = g_bytes_get_data(bytes, &size);
    uint64_t hash = wg_hash(data, size, 1) | 1;
    g_bytes_unref(bytes);
    if (s->states->len <= index) {
        g_array_set_size(s->states, (guint)index + 1);
    }
    uint64_t* known = &g_array_index(s->states, uint64_t, index);
    WG_ASSERT(*known == 0 || *known == hash);
    *known = hash;
}

/* An edit has the same result on every replica, however often it is sent. */
static void check_outcome(simq_run* s, const wgt_edit* edit, const wgt_result* result) {
    uint64_t halves[2];
    memcpy(halves, edit->id, sizeof halves);
    gpointer number = GUINT_TO_POINTER(halves[1]);
    gpointer answer =
        GUINT_TO_POINTER(result->version * WGT_OUTCOME_NUM + (uint64_t)result->outcome);
    gpointer known = g_hash_table_lookup(s->outcomes, number);
    WG_ASSERT(known == NULL || known == answer);
    g_hash_table_insert(s->outcomes, number, answer);
}

/* A key stays granted to one attempt until that attempt ends as not run, or until claims expire
   after SIMQ_CLAIM_KEEP_SECONDS, and not earlier. */
static void check_claim(simq_run* s, const Wgpb__Claim* claim, wgk_outcome outcome) {
    uint8_t key = claim->key.data[0];
    uint64_t* holder = &s->claim_holders[key];
    s->replicated_seconds = MAX(s->replicated_seconds, claim->now_seconds);
    bool over = s->replicated_seconds >= s->claim_granted_at[key] + SIMQ_CLAIM_KEEP_SECONDS;
    if (outcome == WGK_OUTCOME_GRANTED) {
        WG_ASSERT(*holder == 0 || *holder == claim->attempt || over);
        if (*holder == 0 || over) {
            s->claim_granted_at[key] = s->replicated_seconds;
        }
        *holder = claim->attempt;
    }
}

static void check_claim_end(simq_run* s, const Wgpb__ClaimEnd* end, bool ended_before) {
    if (end->key.len == 0) {
        return;
    }
    uint64_t* holder = &s->claim_holders[end->key.data[0]];
    if (end->verdict == WG_VERDICT_NOT_RUN && *holder == end->attempt && !ended_before) {
        *holder = 0;
    }
}

/* `first`: no other replica has applied the entry yet. */
static void apply_command(simq_run* s, node_t* n, const wgr_entry* entry, bool first) {
    gsize size;
    const uint8_t* data = g_bytes_get_data(entry->data, &size);
    Wgpb__Command* command = wgpb__command__unpack(NULL, size, data);
    WG_ASSERT(command != NULL);
    if (command->edit) {
        wgt_edit_row row = {.base_version = command->edit->rows[0]->base_version};
        bool good = wgt_row_unpack(command->edit->rows[0]->row, &row.row);
        WG_ASSERT(good);
        wgt_edit edit = {.rows = &row, .rows_num = 1};
        memcpy(edit.id, command->edit->edit_id.data, sizeof edit.id);
        wgt_result result;
        wgt_apply(n->table, &edit, entry->index, &result);
        check_outcome(s, &edit, &result);
        s->counts.edits_resent += first && result.resent;
        s->counts.edits_accepted +=
            first && !result.resent && result.outcome == WGT_OUTCOME_ACCEPTED;
        s->counts.edits_conflict +=
            first && !result.resent && result.outcome == WGT_OUTCOME_CONFLICT;
    }
    if (command->claim) {
        const Wgpb__ClaimEnd* end;
        wgk_outcome outcome = wgk_claim(n->claims, command->claim, &end);
        if (first) {
            check_claim(s, command->claim, outcome);
        }
        s->counts.claims_granted += first && outcome == WGK_OUTCOME_GRANTED;
        s->counts.claims_repeated += first && outcome == WGK_OUTCOME_RUNNING;
    }
    if (command->claim_end) {
        const Wgpb__ClaimEnd* known = wgk_find_end(n->claims, command->claim_end);
        if (first) {
            check_claim_end(s, command->claim_end, known != NULL);
        }
        wgk_end(n->claims, command->claim_end);
    }
    wgpb__command__free_unpacked(command, NULL);
}

void _simq_apply(simq_run* s, node_t* n, const wgr_entry* entry) {
    WG_ASSERT(entry->index == n->applied + 1);
    gsize size = 0;
    const void* data = entry->data ? g_bytes_get_data(entry->data, &size) : NULL;
    uint64_t hash = wg_hash(data, size, entry->term * 8 + (uint64_t)entry->kind) | 1;
    if (s->committed->len <= entry->index) {
        g_array_set_size(s->committed, (guint)entry->index + 1);
    }
    uint64_t* known = &g_array_index(s->committed, uint64_t, entry->index);
    bool first = *known == 0;
    WG_ASSERT(first || *known == hash); /* a committed entry never changes */
    *known = hash;
    if (entry->kind == WGR_ENTRY_DATA) {
        apply_command(s, n, entry, first);
    }
    n->applied = entry->index;
    n->applied_term = entry->term;
    if (entry->index % 8 == 0) {
        check_state(s, n, entry->index);
    }
}
