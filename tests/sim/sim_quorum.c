/* sim_quorum.c -- see sim_quorum.h */
#include "sim_quorum.h"

#include <stdio.h>
#include <string.h>

#include "sim_disk.h"

/* ---- types -------------------------------------------------------------------------------- */

enum {
    TICK = 10 * WG_USEC_PER_MSEC,
    MESSAGES_MAX = 20000,
    COMPACT_AFTER = 40
};

typedef struct {
    wgr_node* node;
    simd_disk disk;
    bool up;
    wg_time frozen_until;
    wg_time offset;     /* of its clock */
    int drift_per_mill; /* its clock runs faster or slower */
    uint64_t applied;
    uint64_t applied_term;
    wgt_table* table;
    wgk_claims* claims;
    int crash_at; /* 1: before it syncs, 2: before it sends, 3: amid sending */
} node_t;

typedef struct {
    wg_time at;
    int to;
    int from;
    wgr_message message;
} flight_t;

struct simq_run {
    simq_desc desc;
    wg_time now;
    uint64_t counter;
    uint64_t trace;
    node_t nodes[SIM_NODES_MAX];
    bool cut[SIM_NODES_MAX][SIM_NODES_MAX];
    GArray* flights;
    GArray* committed; /* uint64_t: hash of the entry at each index */
    GArray* states;    /* uint64_t: hash of table and claims after each index, 0 unknown */
    uint64_t answered;
    wg_time led_at;
    simq_counts counts;
    uint64_t next_edit;
    uint64_t next_identity;
    uint64_t last_edit_number;
    GHashTable* outcomes;  /* edit number -> outcome and version of its first answer */
    uint64_t holders[256]; /* attempt that was granted each claim key, 0 none */
};

/* ---- helpers: chance and time --------------------------------------------------------------- */

static uint64_t chance(simq_run* s) {
    return wg_jitter(s->desc.seed, ++s->counter);
}

static bool one_in(simq_run* s, uint64_t num) {
    return chance(s) % num == 0;
}

static wg_time local_time(const simq_run* s, const node_t* n) {
    return n->offset + s->now + s->now / 1000 * n->drift_per_mill;
}

static int slot_of(const simq_run* s, uint64_t identity) {
    for (int i = 0; i < s->desc.replicas; i++) {
        if (s->nodes[i].disk.identity == identity) {
            return i;
        }
    }
    return -1;
}

static bool awake(const simq_run* s, const node_t* n) {
    return n->up && s->now >= n->frozen_until;
}

/* ---- helpers: state ------------------------------------------------------------------------- */

static GBytes* pack_state(const node_t* n) {
    Wgpb__State state = WGPB__STATE__INIT;
    state.table = wgt_dump(n->table);
    state.claims = wgk_dump(n->claims);
    GBytes* bytes = g_byte_array_free_to_bytes(wgw_pack(&state.base));
    wgpb__table_state__free_unpacked(state.table, NULL);
    wgpb__claim_state__free_unpacked(state.claims, NULL);
    return bytes;
}

static void load_state(node_t* n, GBytes* bytes) {
    gsize size;
    const uint8_t* data = g_bytes_get_data(bytes, &size);
    Wgpb__State* state = wgpb__state__unpack(NULL, size, data);
    bool good = state && (!state->table || wgt_load(n->table, state->table)) &&
                (!state->claims || wgk_load(n->claims, state->claims));
    WG_ASSERT(good);
    wgpb__state__free_unpacked(state, NULL);
}

static void check_state(simq_run* s, const node_t* n, uint64_t index) {
    GBytes* bytes = pack_state(n);
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

/* ---- helpers: nodes ------------------------------------------------------------------------- */

static void node_start(simq_run* s, node_t* n) {
    GError* error = NULL;
    n->table =
        wgt_setup(&(wgt_desc){.rows_max = 64, .results_max = 64, .tombstones_max = 8}, &error);
    n->claims = wgk_setup(&(wgk_desc){.claims_max = 16, .keep_seconds = 1000}, &error);
    if (n->disk.snapshot && g_bytes_get_size(n->disk.snapshot) > 0) {
        load_state(n, n->disk.snapshot);
    }
    n->applied = n->disk.snapshot_index;
    n->applied_term = n->disk.snapshot_term;
    wgr_restored restored = {.term = n->disk.term,
                             .voted_for = n->disk.voted_for,
                             .snapshot_index = n->disk.snapshot_index,
                             .snapshot_term = n->disk.snapshot_term,
                             .set = n->disk.set,
                             .snapshot = n->disk.snapshot,
                             .entries = (const wgr_entry*)(void*)n->disk.entries->data,
                             .entries_num = (int)n->disk.entries->len};
    n->node = wgr_setup(
        &(wgr_desc){.self = n->disk.identity,
                    .seed = chance(s),
                    .now = local_time(s, n),
                    .restored = &restored,
                    .message_bytes = 600,
                    /* Every other seed: waits so alike that elections collide. */
                    .election_max = s->desc.seed % 2 ? 0 : WGR_ELECTION_MIN_DEFAULT + TICK,
                    .log_keep = SIMD_LOG_KEEP},
        &error);
    WG_ASSERT(n->node && n->table && n->claims);
    n->up = true;
    n->crash_at = 0;
}

static void node_stop(node_t* n) {
    if (!n->up) {
        return;
    }
    wgr_shutdown(n->node);
    wgt_shutdown(n->table);
    wgk_shutdown(n->claims);
    n->node = NULL;
    n->up = false;
}

static void copy_message(const wgr_message* in, wgr_message* out) {
    *out = *in;
    out->chunk = in->chunk ? g_bytes_ref(in->chunk) : NULL;
    out->entries = g_memdup2(in->entries, sizeof(wgr_entry) * (size_t)MAX(in->entries_num, 1));
    for (int i = 0; i < in->entries_num; i++) {
        if (out->entries[i].data) {
            g_bytes_ref(out->entries[i].data);
        }
    }
    if (!in->entries) {
        out->entries = NULL;
    }
}

static void post(simq_run* s, int from, const wgr_message* message) {
    int to = slot_of(s, message->to);
    if (to < 0 || s->cut[from][to] || s->flights->len > MESSAGES_MAX) {
        s->counts.lost++;
        return;
    }
    bool faults = s->desc.faults;
    if (faults && one_in(s, 50)) {
        s->counts.lost++;
        return;
    }
    int copies = faults && one_in(s, 50) ? 2 : 1;
    s->counts.doubled += copies > 1 ? 1 : 0;
    s->counts.snapshots_sent += message->type == WGR_MESSAGE_SNAPSHOT && message->offset == 0;
    for (int i = 0; i < copies; i++) {
        flight_t flight = {.from = from, .to = to};
        wg_time slow = faults && one_in(s, 100) ? 400 * WG_USEC_PER_MSEC : 4 * WG_USEC_PER_MSEC;
        flight.at = s->now + 200 + (wg_time)(chance(s) % (uint64_t)slow);
        copy_message(message, &flight.message);
        g_array_append_val(s->flights, flight);
    }
}

/* An edit has one answer, whoever gives it and however often it is sent. */
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

/* A key is granted to one attempt until that attempt says that it did not run. */
static void check_claim(simq_run* s, const Wgpb__Claim* claim, wgk_outcome outcome) {
    uint64_t* holder = &s->holders[claim->key.data[0]];
    if (outcome == WGK_OUTCOME_GRANTED) {
        WG_ASSERT(*holder == 0 || *holder == claim->attempt);
        *holder = claim->attempt;
    }
}

static void check_claim_end(simq_run* s, const Wgpb__ClaimEnd* end, bool ended_before) {
    if (end->key.len == 0) {
        return;
    }
    uint64_t* holder = &s->holders[end->key.data[0]];
    if (end->verdict == WG_VERDICT_NOT_RUN && *holder == end->attempt && !ended_before) {
        *holder = 0;
    }
}

/* `first`: no other replica has applied the entry before. */
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

static void apply(simq_run* s, node_t* n, const wgr_entry* entry) {
    WG_ASSERT(entry->index == n->applied + 1);
    gsize size = 0;
    const void* data = entry->data ? g_bytes_get_data(entry->data, &size) : NULL;
    uint64_t hash = wg_hash(data, size, entry->term * 8 + (uint64_t)entry->kind) | 1;
    if (s->committed->len <= entry->index) {
        g_array_set_size(s->committed, (guint)entry->index + 1);
    }
    uint64_t* known = &g_array_index(s->committed, uint64_t, entry->index);
    bool first = *known == 0;
    WG_ASSERT(first || *known == hash); /* one entry at one index, for ever */
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

static void persist(node_t* n, const wgr_output* out) {
    if (out->snapshot) {
        simd_snapshot(&n->disk, out->snapshot_index, out->snapshot_term, &out->snapshot_set,
                      out->snapshot, true);
        load_state(n, out->snapshot);
        n->applied = out->snapshot_index;
        n->applied_term = out->snapshot_term;
    }
    if (out->truncate_from) {
        simd_truncate(&n->disk, out->truncate_from);
    }
    simd_append(&n->disk, out->entries, out->entries_num);
    if (out->hard_state) {
        WG_ASSERT(out->term > n->disk.term || n->disk.voted_for == 0 ||
                  n->disk.voted_for == out->voted_for);
        n->disk.term = out->term;
        n->disk.voted_for = out->voted_for;
    }
}

static void compact(node_t* n) {
    if (n->applied < n->disk.snapshot_index + COMPACT_AFTER) {
        return;
    }
    GBytes* state = pack_state(n);
    wgr_compact(n->node, n->applied, state);
    wgr_set set = *wgr_query_snapshot_set(n->node);
    simd_snapshot(&n->disk, n->applied, n->applied_term, &set, state, false);
    g_bytes_unref(state);
}

static void pump(simq_run* s, int slot) {
    node_t* n = &s->nodes[slot];
    wgr_output out;
    while (n->up && wgr_output_next(n->node, &out)) {
        if (n->crash_at == 1) {
            node_stop(n);
            return;
        }
        persist(n, &out);
        if (n->crash_at == 2) {
            node_stop(n);
            return;
        }
        int num = n->crash_at == 3 ? out.messages_num / 2 : out.messages_num;
        for (int i = 0; i < num; i++) {
            post(s, slot, &out.messages[i]);
        }
        if (n->crash_at == 3) {
            node_stop(n);
            return;
        }
        for (int i = 0; i < out.committed_num; i++) {
            apply(s, n, &out.committed[i]);
        }
        wgr_output_done(n->node, local_time(s, n));
        compact(n);
    }
}

/* ---- helpers: steps ------------------------------------------------------------------------- */

static void check_leadership(simq_run* s) {
    int leaders = 0;
    for (int i = 0; i < s->desc.replicas; i++) {
        if (!simq_believes_to_lead(s, i)) {
            continue;
        }
        leaders++;
        node_t* n = &s->nodes[i];
        /* It answers only after it applied what it committed. */
        WG_ASSERT(wgr_query_stats(n->node, local_time(s, n)).commit >= s->answered);
        if (awake(s, n)) {
            s->answered = MAX(s->answered, n->applied);
            s->counts.longest_without_leader =
                MAX(s->counts.longest_without_leader, s->now - s->led_at);
            s->led_at = s->now;
        }
    }
    WG_ASSERT(leaders <= 1);
}

static void deliver(simq_run* s) {
    for (guint i = 0; i < s->flights->len;) {
        flight_t flight = g_array_index(s->flights, flight_t, i);
        node_t* to = &s->nodes[flight.to];
        if (flight.at > s->now || (to->up && !awake(s, to))) {
            i++;
            continue;
        }
        g_array_remove_index_fast(s->flights, i);
        if (to->up) {
            s->trace = wg_hash(&flight.message.type, sizeof flight.message.type,
                               s->trace + flight.message.term + flight.message.log_index +
                                   (uint64_t)flight.at);
            wgr_step(to->node, local_time(s, to), &flight.message);
            pump(s, flight.to);
        }
        wgr_message_clear(&flight.message);
    }
}

static void tick(simq_run* s) {
    s->now += TICK;
    deliver(s);
    for (int i = 0; i < s->desc.replicas; i++) {
        if (awake(s, &s->nodes[i])) {
            wgr_tick(s->nodes[i].node, local_time(s, &s->nodes[i]));
            pump(s, i);
        }
    }
    check_leadership(s);
}

static uint64_t propose(simq_run* s, int slot, const ProtobufCMessage* command) {
    node_t* n = &s->nodes[slot];
    GByteArray* packed = wgw_pack(command);
    uint64_t index = wgr_propose(n->node, local_time(s, n), packed->data, packed->len);
    g_byte_array_unref(packed);
    pump(s, slot);
    return index;
}

static void random_edit(simq_run* s, int leader) {
    char name[16];
    g_snprintf(name, sizeof name, "w%d", (int)(chance(s) % 20));
    const wgt_row* row = wgt_find(s->nodes[leader].table, WGT_KIND_WORKSPACE, name);
    uint64_t base = row ? row->version : 0;
    if (one_in(s, 5)) {
        base = base > 0 ? base - 1 : 1; /* an editor who saw an older row */
    }
    uint64_t number = one_in(s, 4) && s->last_edit_number ? s->last_edit_number : ++s->next_edit;
    simq_edit(s, name, (int64_t)(chance(s) % 100 + 1), base, number);
}

static void random_claim(simq_run* s, int leader) {
    uint8_t key[WGK_KEY_SIZE] = {(uint8_t)(chance(s) % 24)};
    Wgpb__Command command = WGPB__COMMAND__INIT;
    Wgpb__Claim claim = WGPB__CLAIM__INIT;
    Wgpb__ClaimEnd end = WGPB__CLAIM_END__INIT;
    claim.workspace = end.workspace = (char*)"w";
    claim.key = end.key = (ProtobufCBinaryData){sizeof key, key};
    claim.attempt = end.attempt = chance(s) % 3 + 1;
    claim.now_seconds = (uint64_t)(s->now / WG_USEC_PER_SEC);
    end.verdict = (uint32_t)(chance(s) % WG_VERDICT_NUM);
    if (one_in(s, 2)) {
        command.claim = &claim;
    } else {
        command.claim_end = &end;
    }
    propose(s, leader, &command.base);
}

static int intact_voters(simq_run* s, const wgr_set* set) {
    int num = 0;
    for (int i = 0; i < set->num; i++) {
        num += set->replicas[i].voter && slot_of(s, set->replicas[i].id) >= 0;
    }
    return num;
}

static int voters(const wgr_set* set) {
    int num = 0;
    for (int i = 0; i < set->num; i++) {
        num += set->replicas[i].voter;
    }
    return num;
}

/* Lose a disk only while a majority of the voters keeps theirs: more cannot be survived. */
static void random_disk_loss(simq_run* s) {
    int leader = simq_leader(s);
    if (leader < 0) {
        return;
    }
    const wgr_set* set = wgr_query_set(s->nodes[leader].node);
    int slot = (int)(chance(s) % (uint64_t)s->desc.replicas);
    const wgr_replica* lost = wgr_set_find(set, s->nodes[slot].disk.identity);
    bool settled = set->num == s->desc.replicas && voters(set) == set->num;
    bool enough = intact_voters(s, set) - 1 > voters(set) / 2;
    if (slot != leader && lost && settled && enough) {
        simq_lose_disk(s, slot);
    }
}

static void random_fault(simq_run* s) {
    int a = (int)(chance(s) % (uint64_t)s->desc.replicas);
    int b = (int)(chance(s) % (uint64_t)s->desc.replicas);
    switch (chance(s) % 20) {
    case 16:
    case 17:
    case 18:
    case 19: /* back at once, while promises of the former run still count */
        simq_crash(s, a);
        simq_restart(s, a);
        s->counts.crashes++;
        break;
    case 0:
    case 1:
        s->cut[a][b] = a != b;
        s->counts.cuts++;
        break;
    case 2:
        s->cut[a][b] = s->cut[b][a] = a != b;
        s->counts.cuts++;
        break;
    case 3:
    case 4:
    case 5:
    case 6:
        memset(s->cut, 0, sizeof s->cut);
        break;
    case 7:
    case 8:
        if (s->nodes[a].up) {
            s->nodes[a].crash_at = 1 + (int)(chance(s) % 3);
            s->counts.crashes++;
        }
        break;
    case 9:
    case 10:
    case 11:
        simq_restart(s, a);
        break;
    case 12:
        simq_freeze(s, a, (wg_time)(chance(s) % (4 * WG_USEC_PER_SEC)));
        break;
    case 13:
        random_disk_loss(s);
        break;
    case 14:
        if (simq_leader(s) >= 0) {
            simq_hand_over(s, simq_leader(s));
            s->counts.hand_overs++;
        }
        break;
    default:
        for (int i = 0; i < s->desc.replicas; i++) {
            simq_replace(s, i);
        }
        break;
    }
}

/* ---- public functions --------------------------------------------------------------------- */

simq_run* simq_setup(const simq_desc* desc) {
    simq_run* s = g_new0(simq_run, 1);
    s->desc = *desc;
    s->now = 1000 * (wg_time)WG_USEC_PER_SEC;
    s->led_at = s->now;
    s->flights = g_array_new(FALSE, TRUE, sizeof(flight_t));
    s->committed = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    s->states = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    s->outcomes = g_hash_table_new(g_direct_hash, g_direct_equal);
    wgr_set set = {.num = desc->replicas};
    for (int i = 0; i < desc->replicas; i++) {
        wgr_replica* replica = &set.replicas[i];
        replica->id = ++s->next_identity;
        replica->voter = true;
        g_snprintf(replica->name, sizeof replica->name, "c%d", i);
    }
    GBytes* empty = g_bytes_new(NULL, 0);
    for (int i = 0; i < desc->replicas; i++) {
        node_t* n = &s->nodes[i];
        simd_reset(&n->disk);
        n->disk.identity = set.replicas[i].id;
        n->disk.term = 1;
        simd_snapshot(&n->disk, 1, 1, &set, empty, true);
        n->offset = (wg_time)(chance(s) % (uint64_t)(1000 * (wg_time)WG_USEC_PER_SEC));
        n->drift_per_mill = (int)(chance(s) % 11) - 5;
        node_start(s, n);
    }
    g_bytes_unref(empty);
    return s;
}

void simq_shutdown(simq_run* s) {
    for (int i = 0; i < s->desc.replicas; i++) {
        node_stop(&s->nodes[i]);
        simd_reset(&s->nodes[i].disk);
        g_array_unref(s->nodes[i].disk.entries);
    }
    for (guint i = 0; i < s->flights->len; i++) {
        wgr_message_clear(&g_array_index(s->flights, flight_t, i).message);
    }
    g_array_unref(s->flights);
    g_array_unref(s->committed);
    g_array_unref(s->states);
    g_hash_table_unref(s->outcomes);
    g_free(s);
}

void simq_steps(simq_run* s, uint64_t steps) {
    for (uint64_t i = 0; i < steps; i++) {
        if (s->desc.faults && one_in(s, 40)) {
            random_fault(s);
        }
        int leader = simq_leader(s);
        if (leader >= 0 && one_in(s, 3)) {
            random_edit(s, leader);
        }
        leader = simq_leader(s);
        if (leader >= 0 && one_in(s, 4)) {
            random_claim(s, leader);
        }
        tick(s);
    }
}

void simq_run_for(simq_run* s, wg_time duration) {
    wg_time until = s->now + duration;
    while (s->now < until) {
        tick(s);
    }
}

static bool all_agree(simq_run* s) {
    int leader = simq_leader(s);
    if (leader < 0) {
        return false;
    }
    const wgr_set* set = wgr_query_set(s->nodes[leader].node);
    if (set->num != s->desc.replicas || voters(set) != set->num) {
        return false;
    }
    for (int i = 0; i < s->desc.replicas; i++) {
        if (s->nodes[i].applied != s->nodes[leader].applied) {
            return false;
        }
    }
    return true;
}

void simq_settle(simq_run* s, wg_time within) {
    bool faults = s->desc.faults;
    s->desc.faults = false;
    memset(s->cut, 0, sizeof s->cut);
    wg_time until = s->now + within;
    for (int i = 0; i < s->desc.replicas; i++) {
        s->nodes[i].frozen_until = 0;
        s->nodes[i].crash_at = 0;
        simq_restart(s, i);
    }
    while (!all_agree(s)) {
        WG_ASSERT(s->now < until);
        for (int i = 0; i < s->desc.replicas; i++) {
            simq_replace(s, i);
        }
        tick(s);
    }
    s->desc.faults = faults;
}

int simq_leader(simq_run* s) {
    for (int i = 0; i < s->desc.replicas; i++) {
        if (awake(s, &s->nodes[i]) && simq_believes_to_lead(s, i)) {
            return i;
        }
    }
    return -1;
}

bool simq_believes_to_lead(simq_run* s, int slot) {
    node_t* n = &s->nodes[slot];
    return n->up && wgr_leads(n->node, local_time(s, n));
}

void simq_cut(simq_run* s, int from, int to, bool cut) {
    s->cut[from][to] = cut;
}

void simq_crash(simq_run* s, int slot) {
    node_stop(&s->nodes[slot]);
}

void simq_restart(simq_run* s, int slot) {
    if (!s->nodes[slot].up) {
        node_start(s, &s->nodes[slot]);
    }
}

void simq_freeze(simq_run* s, int slot, wg_time duration) {
    s->nodes[slot].frozen_until = s->now + duration;
    s->counts.freezes++;
}

void simq_lose_disk(simq_run* s, int slot) {
    node_t* n = &s->nodes[slot];
    node_stop(n);
    simd_reset(&n->disk);
    n->disk.identity = ++s->next_identity;
    node_start(s, n);
    s->counts.disks_lost++;
}

bool simq_replace(simq_run* s, int slot) {
    int leader = simq_leader(s);
    node_t* n = &s->nodes[slot];
    if (leader < 0 || !n->up ||
        wgr_set_find(wgr_query_set(s->nodes[leader].node), n->disk.identity)) {
        return false;
    }
    wgr_replica replica = {.id = n->disk.identity};
    g_snprintf(replica.name, sizeof replica.name, "c%d", slot);
    bool begun = wgr_add(s->nodes[leader].node, local_time(s, &s->nodes[leader]), &replica, NULL);
    s->counts.replaced += begun;
    pump(s, leader);
    return begun;
}

uint64_t simq_edit(simq_run* s, const char* workspace, int64_t weight, uint64_t base_version,
                   uint64_t edit_number) {
    int leader = simq_leader(s);
    if (leader < 0) {
        return 0;
    }
    s->last_edit_number = edit_number;
    uint8_t id[WGT_EDIT_ID_SIZE];
    uint64_t halves[2] = {wg_jitter(edit_number, 1), edit_number};
    memcpy(id, halves, sizeof id);
    wgt_row row;
    wgt_row_init(&row, WGT_KIND_WORKSPACE, workspace);
    row.workspace.weight = weight;
    Wgpb__Row packed;
    wgt_row_scratch scratch;
    wgt_row_pack(&row, &packed, &scratch);
    Wgpb__EditRow edit_row = WGPB__EDIT_ROW__INIT;
    edit_row.row = &packed;
    edit_row.base_version = base_version;
    Wgpb__EditRow* rows[] = {&edit_row};
    Wgpb__Edit edit = WGPB__EDIT__INIT;
    edit.edit_id = (ProtobufCBinaryData){sizeof id, id};
    edit.rows = rows;
    edit.n_rows = 1;
    Wgpb__Command command = WGPB__COMMAND__INIT;
    command.edit = &edit;
    return propose(s, leader, &command.base);
}

uint64_t simq_propose_bytes(simq_run* s, int slot, size_t size) {
    uint8_t* body = g_malloc0(size);
    Wgpb__Command command = WGPB__COMMAND__INIT;
    Wgpb__ClaimEnd end = WGPB__CLAIM_END__INIT;
    end.workspace = (char*)"none";
    end.body = (ProtobufCBinaryData){size, body};
    command.claim_end = &end;
    uint64_t index = propose(s, slot, &command.base);
    g_free(body);
    return index;
}

void simq_tick(simq_run* s) {
    tick(s);
}

wgr_stats simq_stats(simq_run* s, int slot) {
    return wgr_query_stats(s->nodes[slot].node, local_time(s, &s->nodes[slot]));
}

void simq_hand_over(simq_run* s, int slot) {
    wgr_hand_over(s->nodes[slot].node, local_time(s, &s->nodes[slot]));
    pump(s, slot);
}

uint64_t simq_answered(const simq_run* s) {
    return s->answered;
}

wgt_table* simq_table(simq_run* s, int slot) {
    return s->nodes[slot].table;
}

const wgr_set* simq_set(simq_run* s, int slot) {
    return wgr_query_set(s->nodes[slot].node);
}

wg_time simq_now(const simq_run* s) {
    return s->now;
}

simq_counts simq_query_counts(const simq_run* s) {
    simq_counts counts = s->counts;
    counts.committed = s->committed->len;
    for (int i = 0; i < s->desc.replicas; i++) {
        if (s->nodes[i].up) {
            counts.elections += wgr_query_stats(s->nodes[i].node, 0).elections;
        }
    }
    return counts;
}

uint64_t simq_query_trace(const simq_run* s) {
    return s->trace;
}
