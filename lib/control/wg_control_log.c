/* wg_control_log.c -- persists, sends and applies the output of the replicated log */
#include "wg_control_internal.h"

#include <string.h>

enum {
    /* Part of the last snapshot that the log may grow to. All snapshots of a growing state are then
       9 times as large as the last one, together. */
    _WGCO_SNAPSHOT_LOG_DIVISOR = 8
};

/* ---- helpers: messages --------------------------------------------------------------------- */

static Wgpb__ReplicaSet* _wgco_pack_set(const wgr_set* set) {
    GBytes* bytes = wgr_set_pack(set);
    gsize size;
    const uint8_t* data = g_bytes_get_data(bytes, &size);
    Wgpb__ReplicaSet* out = wgpb__replica_set__unpack(NULL, size, data);
    g_bytes_unref(bytes);
    return out;
}

static ProtobufCBinaryData _wgco_borrow(GBytes* bytes) {
    gsize size = 0;
    const void* data = bytes ? g_bytes_get_data(bytes, &size) : NULL;
    return (ProtobufCBinaryData){size, (uint8_t*)data};
}

static void _wgco_send_message(wgco_control* c, const wgr_message* m) {
    _wgco_peer_t* peer = NULL;
    for (int i = 0; i < c->peers_num; i++) {
        if (c->peers[i].up && c->peers[i].identity == m->to) {
            peer = &c->peers[i];
        }
    }
    if (!peer) {
        return;
    }
    Wgpb__Quorum out = WGPB__QUORUM__INIT;
    out.type = m->type;
    out.from = m->from;
    out.to = m->to;
    out.term = m->term;
    out.log_index = m->log_index;
    out.log_term = m->log_term;
    out.commit = m->commit;
    out.reject = m->reject;
    out.hint = m->hint;
    out.echo = m->echo;
    out.life = m->incarnation;
    out.snapshot_index = m->snapshot_index;
    out.snapshot_term = m->snapshot_term;
    out.offset = m->offset;
    out.total = m->total;
    out.chunk = _wgco_borrow(m->chunk);
    Wgpb__LogEntry* entries = g_new(Wgpb__LogEntry, m->entries_num + 1);
    out.entries = g_new(Wgpb__LogEntry*, m->entries_num + 1);
    for (int i = 0; i < m->entries_num; i++) {
        wgpb__log_entry__init(&entries[i]);
        entries[i].index = m->entries[i].index;
        entries[i].term = m->entries[i].term;
        entries[i].kind = m->entries[i].kind;
        entries[i].data = _wgco_borrow(m->entries[i].data);
        out.entries[out.n_entries++] = &entries[i];
    }
    Wgpb__Silence silences[WGR_REPLICAS_MAX];
    Wgpb__Silence* silence_pointers[WGR_REPLICAS_MAX];
    for (int i = 0; i < m->silences_num; i++) {
        wgpb__silence__init(&silences[i]);
        silences[i].id = m->silences[i].id;
        silences[i].length = m->silences[i].length;
        silence_pointers[i] = &silences[i];
    }
    out.silences = silence_pointers;
    out.n_silences = (size_t)m->silences_num;
    if (m->type == WGR_MESSAGE_SNAPSHOT) {
        out.replicas = _wgco_pack_set(&m->set);
    }
    wgn_send(c->net, peer->link, WGW_TYPE_QUORUM, &out.base);
    if (out.replicas) {
        wgpb__replica_set__free_unpacked(out.replicas, NULL);
    }
    g_free(out.entries);
    g_free(entries);
}

static bool _wgco_unpack_message(const Wgpb__Quorum* in, wgr_message* m) {
    *m = (wgr_message){.type = (wgr_message_type)in->type,
                       .from = in->from,
                       .to = in->to,
                       .term = in->term,
                       .log_index = in->log_index,
                       .log_term = in->log_term,
                       .commit = in->commit,
                       .reject = in->reject,
                       .hint = in->hint,
                       .echo = in->echo,
                       .incarnation = in->life,
                       .snapshot_index = in->snapshot_index,
                       .snapshot_term = in->snapshot_term,
                       .offset = in->offset,
                       .total = in->total};
    m->chunk = g_bytes_new(in->chunk.data, in->chunk.len);
    m->entries = g_new0(wgr_entry, in->n_entries + 1);
    m->entries_num = (int)in->n_entries;
    for (size_t i = 0; i < in->n_entries; i++) {
        const Wgpb__LogEntry* entry = in->entries[i];
        m->entries[i] = (wgr_entry){.index = entry->index,
                                    .term = entry->term,
                                    .kind = (wgr_entry_kind)entry->kind,
                                    .data = g_bytes_new(entry->data.data, entry->data.len)};
    }
    for (size_t i = 0; i < in->n_silences && i < WGR_REPLICAS_MAX; i++) {
        m->silences[i] =
            (wgr_unresponsive){.id = in->silences[i]->id, .length = in->silences[i]->length};
        m->silences_num++;
    }
    if (!in->replicas) {
        return true;
    }
    GBytes* set = g_byte_array_free_to_bytes(wgw_pack(&in->replicas->base));
    bool good = wgr_set_unpack(set, &m->set);
    g_bytes_unref(set);
    return good;
}

/* ---- helpers: state ------------------------------------------------------------------------ */

GBytes* _wgco_pack_state(const wgco_control* c) {
    Wgpb__State state = WGPB__STATE__INIT;
    state.table = wgt_dump(c->table);
    state.claims = wgk_dump(c->claims);
    state.registry = wg_registry_dump(c->registry, wg_now());
    state.quarantine = wg_quarantine_dump(c->quarantine, wg_now());
    state.origins = _wgco_origins_dump(c);
    Wgpb__Configuration configuration;
    if (_wgco_documents_fill(&c->documents, &configuration)) {
        state.configuration = &configuration;
    }
    GBytes* bytes = g_byte_array_free_to_bytes(wgw_pack(&state.base));
    wgpb__table_state__free_unpacked(state.table, NULL);
    wgpb__claim_state__free_unpacked(state.claims, NULL);
    wgpb__registry_state__free_unpacked(state.registry, NULL);
    wgpb__quarantine_state__free_unpacked(state.quarantine, NULL);
    wgpb__origin_notes__free_unpacked(state.origins, NULL);
    return bytes;
}

bool _wgco_load_state(wgco_control* c, GBytes* bytes) {
    gsize size;
    const uint8_t* data = g_bytes_get_data(bytes, &size);
    Wgpb__State* state = wgpb__state__unpack(NULL, size, data);
    if (!state) {
        return false;
    }
    bool good = (!state->table || wgt_load(c->table, state->table)) &&
                (!state->claims || wgk_load(c->claims, state->claims)) &&
                (!state->registry || wg_registry_load(c->registry, wg_now(), state->registry));
    wg_quarantine_load(c->quarantine, wg_now(), state->quarantine);
    if (state->origins) {
        _wgco_apply_origins(c, state->origins);
    }
    if (good && state->configuration) {
        _wgco_apply_configuration(c, state->configuration);
    }
    wgpb__state__free_unpacked(state, NULL);
    return good;
}

/* ---- helpers: applying --------------------------------------------------------------------- */

static _wgco_waiter_t* _wgco_pop_waiter(wgco_control* c, uint64_t index) {
    _wgco_waiter_t* waiter = g_queue_peek_head(&c->waiters);
    if (!waiter || waiter->index != index) {
        return NULL;
    }
    return g_queue_pop_head(&c->waiters);
}

static void _wgco_apply_edit(wgco_control* c, uint64_t index, const Wgpb__Edit* in,
                             const _wgco_waiter_t* waiter) {
    wgt_edit edit = {.rows_num = 0};
    wgt_edit_row* rows = g_new0(wgt_edit_row, in->n_rows + 1);
    bool good = in->edit_id.len == WGT_EDIT_ID_SIZE;
    for (size_t i = 0; i < in->n_rows && good; i++) {
        good = in->rows[i]->row && wgt_row_unpack(in->rows[i]->row, &rows[i].row);
        rows[i].base_version = in->rows[i]->base_version;
        edit.rows_num++;
    }
    if (good) {
        memcpy(edit.id, in->edit_id.data, sizeof edit.id);
        edit.rows = rows;
        uint64_t before = wgt_version(c->table);
        wgt_result result;
        wgt_apply(c->table, &edit, index, &result);
        bool accepted = result.outcome == WGT_OUTCOME_ACCEPTED && !result.resent;
        wg_log(accepted ? WG_EVENT_EDIT_ACCEPTED : WG_EVENT_EDIT_REFUSED,
               "version=%" G_GUINT64_FORMAT " rows=%d by=%.40s %s", result.version, edit.rows_num,
               in->editor, result.reason);
        if (accepted) {
            _wgco_table_changed(c, before);
        }
        if (waiter && waiter->request) {
            _wgco_answer_edit(c, waiter->request, &result);
        }
    }
    g_free(rows);
}

static void _wgco_apply_command(wgco_control* c, const wgr_entry* entry,
                                const _wgco_waiter_t* waiter) {
    gsize size;
    const uint8_t* data = g_bytes_get_data(entry->data, &size);
    Wgpb__Command* command = wgpb__command__unpack(NULL, size, data);
    WG_ASSERT(command != NULL);
    if (command->edit) {
        _wgco_apply_edit(c, entry->index, command->edit, waiter);
    }
    if (command->claim) {
        const Wgpb__ClaimEnd* end;
        wgk_outcome outcome = wgk_claim(c->claims, command->claim, &end);
        if (waiter) {
            _wgco_answer_claim(c, waiter->link, waiter->ticket, outcome, end);
        }
    }
    if (command->claim_end) {
        wgk_end(c->claims, command->claim_end);
        if (waiter) {
            _wgco_answer_claim(c, waiter->link, waiter->ticket, WGK_OUTCOME_ENDED, NULL);
        }
    }
    if (command->configuration) {
        _wgco_apply_configuration(c, command->configuration);
    }
    if (command->target) {
        _wgco_apply_target(c, command->target);
    }
    if (command->evacuation) {
        _wgco_apply_evacuation(c, command->evacuation);
    }
    if (command->quarantine) {
        _wgco_apply_quarantine(c, command->quarantine);
    }
    if (command->origins) {
        _wgco_apply_origins(c, command->origins);
    }
    if (waiter && waiter->order) {
        _wgco_complete_order(c, waiter, true);
    }
    wgpb__command__free_unpacked(command, NULL);
}

static void _wgco_apply(wgco_control* c, const wgr_entry* entry) {
    WG_ASSERT(entry->index == c->applied + 1);
    c->applied = entry->index;
    c->applied_term = entry->term;
    c->log_bytes += entry->data ? g_bytes_get_size(entry->data) : 0;
    _wgco_waiter_t* waiter = _wgco_pop_waiter(c, entry->index);
    if (waiter && waiter->term != entry->term) {
        /* Another leader's entry has this index; the waiter's own entry may still be committed. */
        if (waiter->request) {
            _wgco_answer_unknown(waiter->request);
        }
        if (waiter->order) {
            _wgco_complete_order(c, waiter, false);
        }
        g_free(waiter);
        waiter = NULL;
    }
    if (entry->kind == WGR_ENTRY_DATA) {
        _wgco_apply_command(c, entry, waiter);
    } else if (entry->kind == WGR_ENTRY_REPLICAS) {
        char* set = _wgco_describe_set(c);
        wg_log(WG_EVENT_REPLICA_CHANGE, "index=%" G_GUINT64_FORMAT " term=%" G_GUINT64_FORMAT " %s",
               entry->index, entry->term, set);
        g_free(set);
    }
    g_free(waiter);
}

/* ---- helpers: one batch of output ---------------------------------------------------------- */

static bool _wgco_persist(wgco_control* c, const wgr_output* out, GError** error) {
    if (out->snapshot) {
        if (!wgs_save_snapshot(c->store, out->snapshot_index, out->snapshot_term,
                               &out->snapshot_set, out->snapshot, true, error)) {
            return false;
        }
        if (!_wgco_load_state(c, out->snapshot)) {
            g_set_error(error, WG_ERROR, WG_ERROR_CORRUPT,
                        "snapshot from the leader is unreadable");
            return false;
        }
        c->applied = out->snapshot_index;
        c->applied_term = out->snapshot_term;
        c->log_bytes = 0;
        c->snapshot_bytes = g_bytes_get_size(out->snapshot);
        wg_log(WG_EVENT_SNAPSHOT_TAKEN, "index=%" G_GUINT64_FORMAT, out->snapshot_index);
    }
    if (out->truncate_from && !wgs_truncate(c->store, out->truncate_from, error)) {
        return false;
    }
    if (out->entries_num && !wgs_append(c->store, out->entries, out->entries_num, error)) {
        return false;
    }
    return !out->hard_state || wgs_save_hard_state(c->store, out->term, out->voted_for, error);
}

/* A snapshot is due after a number of entries, but not before the log has grown to a part of the
   last snapshot: otherwise each change would cost as much as the state is large. */
static bool _wgco_is_snapshot_due(const wgco_control* c) {
    wgr_stats stats = wgr_query_stats(c->node, wg_now());
    return c->applied >= stats.snapshot_index + (uint64_t)c->settings->snapshot_entries &&
           c->log_bytes >= c->snapshot_bytes / _WGCO_SNAPSHOT_LOG_DIVISOR;
}

static void _wgco_record_snapshot(wgco_control* c, GBytes* state) {
    c->snapshots++;
    c->log_bytes = 0;
    c->snapshot_bytes = g_bytes_get_size(state);
    c->snapshot_bytes_total += c->snapshot_bytes;
}

static void _wgco_compact_if_due(wgco_control* c) {
    if (!_wgco_is_snapshot_due(c)) {
        return;
    }
    GBytes* state = _wgco_pack_state(c);
    GError* error = NULL;
    /* The snapshot holds the set of the newest applied entry; a membership change in progress is
       replayed from the log. */
    wgr_compact(c->node, c->applied, state);
    wgr_set set = *wgr_query_snapshot_set(c->node);
    if (!wgs_save_snapshot(c->store, c->applied, c->applied_term, &set, state, false, &error)) {
        _wgco_storage_failed(c, error);
    } else {
        _wgco_record_snapshot(c, state);
        wg_log(WG_EVENT_SNAPSHOT_SAVED, "index=%" G_GUINT64_FORMAT " bytes=%zu", c->applied,
               g_bytes_get_size(state));
    }
    g_bytes_unref(state);
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgco_pump(wgco_control* c) {
    if (c->pumping || c->failed) {
        return;
    }
    c->pumping = true;
    wgr_output out;
    while (!c->failed && wgr_output_next(c->node, &out)) {
        GError* error = NULL;
        if (!_wgco_persist(c, &out, &error)) {
            _wgco_storage_failed(c, error);
            break;
        }
        for (int i = 0; i < out.messages_num; i++) {
            _wgco_send_message(c, &out.messages[i]);
        }
        for (int i = 0; i < out.committed_num; i++) {
            _wgco_apply(c, &out.committed[i]);
        }
        wgr_output_done(c->node, wg_now());
        _wgco_compact_if_due(c);
    }
    c->pumping = false;
}

void _wgco_schedule_pump(wgco_control* c) {
    event_active(c->pump_event, EV_TIMEOUT, 1);
}

void _wgco_receive_quorum(wgco_control* c, const wgw_frame* frame) {
    Wgpb__Quorum* in = wgpb__quorum__unpack(NULL, frame->size, frame->payload);
    if (!in) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=quorum-message");
        return;
    }
    wgr_message m;
    if (_wgco_unpack_message(in, &m)) {
        wgr_step(c->node, wg_now(), &m);
    }
    wgr_message_clear(&m);
    wgpb__quorum__free_unpacked(in, NULL);
    _wgco_schedule_pump(c);
}

bool _wgco_propose(wgco_control* c, const ProtobufCMessage* command, _wgco_waiter_t* waiter) {
    GByteArray* packed = wgw_pack(command);
    uint64_t index = wgr_propose(c->node, wg_now(), packed->data, packed->len);
    g_byte_array_unref(packed);
    if (index == 0) {
        g_free(waiter);
        return false;
    }
    if (waiter) {
        waiter->index = index;
        waiter->term = wgr_query_stats(c->node, wg_now()).term;
        g_queue_push_tail(&c->waiters, waiter);
    }
    _wgco_schedule_pump(c);
    return true;
}

void _wgco_fail_waiters(wgco_control* c) {
    _wgco_waiter_t* waiter;
    while ((waiter = g_queue_pop_head(&c->waiters))) {
        if (waiter->request) {
            _wgco_answer_unknown(waiter->request);
        }
        if (waiter->order) {
            _wgco_complete_order(c, waiter, false);
        }
        g_free(waiter);
    }
}

const char* _wgco_leader_address(const wgco_control* c) {
    uint64_t leader = wgr_query_stats(c->node, wg_now()).leader;
    const wgr_replica* replica = wgr_set_find(wgr_query_set(c->node), leader);
    return replica ? replica->address : "";
}
