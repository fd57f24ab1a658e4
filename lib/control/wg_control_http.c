/* wg_control_http.c -- operator endpoints of a control */
#include "wg_control_internal.h"

#include <event2/buffer.h>
#include <string.h>

/* ---- helpers ------------------------------------------------------------------------------ */

static bool _wgco_leads_now(wgco_control* c) {
    return c->leads && wgr_leads(c->node, wg_now());
}

static bool _wgco_is_operator(wgco_control* c, struct evhttp_request* request) {
    const char* key = wgh_bearer(request);
    uint8_t given[WG_KEY_HASH_SIZE];
    uint8_t expected[WG_KEY_HASH_SIZE];
    wg_key_hash(key ? key : "", given);
    wg_key_hash(c->settings->operator_key, expected);
    if (key && wgw_proof_equal(given, expected)) {
        return true;
    }
    wgh_reply_error(request, &(wgh_error){.status = 401,
                                          .code = "operator_key",
                                          .verdict = WG_VERDICT_NOT_RUN,
                                          .message = "the operators' key is missing or wrong"});
    return false;
}

static void _wgco_refuse_not_leader(wgco_control* c, struct evhttp_request* request) {
    json_t* more = json_object();
    json_object_set_new(more, "leader", json_string(_wgco_leader_address(c)));
    wgh_reply_error(request, &(wgh_error){.status = 421,
                                          .code = "not_leader",
                                          .verdict = WG_VERDICT_NOT_RUN,
                                          .retry_after = 500 * WG_USEC_PER_MSEC,
                                          .message = "this control does not lead; ask another",
                                          .extra = more});
}

static void _wgco_refuse_bad_request(struct evhttp_request* request, const char* message) {
    wgh_reply_error(request, &(wgh_error){.status = 400,
                                          .code = "bad_request",
                                          .verdict = WG_VERDICT_NOT_RUN,
                                          .message = message});
}

static bool _wgco_parse_edit_id(const char* hex, uint8_t id[WGT_EDIT_ID_SIZE]) {
    if (!hex || strlen(hex) != 2 * WGT_EDIT_ID_SIZE) {
        return false;
    }
    for (int i = 0; i < WGT_EDIT_ID_SIZE; i++) {
        int high = g_ascii_xdigit_value(hex[2 * i]);
        int low = g_ascii_xdigit_value(hex[2 * i + 1]);
        if (high < 0 || low < 0) {
            return false;
        }
        id[i] = (uint8_t)(high * 16 + low);
    }
    return true;
}

static const char* _wgco_outcome_name(wgt_outcome outcome) {
    static const char* names[WGT_OUTCOME_NUM] = {"", "accepted", "conflict", "invalid"};
    WG_ASSERT(outcome >= 0 && outcome < WGT_OUTCOME_NUM);
    return names[outcome];
}

/* ---- table --------------------------------------------------------------------------------- */

static void _wgco_get_table(wgco_control* c, struct evhttp_request* request,
                            const char* kind_name) {
    wgt_kind kind = wgt_kind_parse(kind_name);
    if (kind == WGT_KIND_DEFAULT) {
        wgh_reply_error(
            request,
            &(wgh_error){.status = 404,
                         .code = "unknown_table",
                         .verdict = WG_VERDICT_NOT_RUN,
                         .message = "unknown table; expected workspaces, services or targets"});
        return;
    }
    if (!_wgco_leads_now(c)) {
        _wgco_refuse_not_leader(c, request);
        return;
    }
    char* format = wgh_query(request, "format");
    if (format && strcmp(format, "csv") == 0) {
        GString* csv = wgt_csv_write(c->table, kind);
        wgh_reply_text(request, 200, "text/csv", csv->str);
        g_string_free(csv, TRUE);
    } else {
        json_t* rows = json_array();
        int at = -1;
        for (const wgt_row* row; (row = wgt_next(c->table, kind, &at));) {
            json_array_append_new(rows, wgt_row_to_json(row));
        }
        json_t* json = json_object();
        json_object_set_new(json, "version", json_integer((json_int_t)wgt_version(c->table)));
        json_object_set_new(json, "rows", rows);
        wgh_reply_json(request, 200, json);
    }
    g_free(format);
}

static void _wgco_detach_request(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    _wgco_waiter_t* waiter = user_data;
    wgh_free_unanswered(waiter->request);
    waiter->request = NULL;
}

/* Parses the rows of an edit; each row's version becomes its base version. */
static GArray* _wgco_read_rows(const json_t* list, char* message, size_t size) {
    GArray* rows = g_array_new(FALSE, TRUE, sizeof(wgt_edit_row));
    size_t i;
    json_t* item;
    json_array_foreach((json_t*)list, i, item) {
        wgt_edit_row row = {0};
        json_t* kind_json = json_object_get(item, "kind_of_row");
        wgt_kind kind =
            wgt_kind_parse(json_string_value(kind_json) ? json_string_value(kind_json) : "");
        GError* error = NULL;
        json_t* plain = json_copy(item);
        json_object_del(plain, "kind_of_row");
        if (kind == WGT_KIND_DEFAULT) {
            g_snprintf(message, size, "row %zu: kind_of_row is not workspace, service or target",
                       i);
        } else if (!wgt_row_from_json(plain, kind, &row.row, &error)) {
            g_snprintf(message, size, "row %zu: %s", i, error->message);
            g_error_free(error);
            kind = WGT_KIND_DEFAULT;
        }
        json_decref(plain);
        if (kind == WGT_KIND_DEFAULT) {
            g_array_unref(rows);
            return NULL;
        }
        row.base_version = row.row.version;
        g_array_append_val(rows, row);
    }
    if (rows->len == 0 || rows->len > WGT_EDIT_ROWS_MAX) {
        g_snprintf(message, size, "an edit has 1..%d rows", WGT_EDIT_ROWS_MAX);
        g_array_unref(rows);
        return NULL;
    }
    return rows;
}

static void _wgco_propose_edit(wgco_control* c, struct evhttp_request* request, const uint8_t* id,
                               const char* editor, const GArray* rows) {
    Wgpb__Edit edit = WGPB__EDIT__INIT;
    edit.edit_id = (ProtobufCBinaryData){WGT_EDIT_ID_SIZE, (uint8_t*)id};
    edit.editor = (char*)editor;
    Wgpb__EditRow* items = g_new0(Wgpb__EditRow, rows->len);
    Wgpb__Row* packed = g_new0(Wgpb__Row, rows->len);
    wgt_row_scratch* scratch = g_new0(wgt_row_scratch, rows->len);
    edit.rows = g_new0(Wgpb__EditRow*, rows->len);
    for (guint i = 0; i < rows->len; i++) {
        const wgt_edit_row* row = &g_array_index(rows, wgt_edit_row, i);
        wgt_row_pack(&row->row, &packed[i], &scratch[i]);
        wgpb__edit_row__init(&items[i]);
        items[i].row = &packed[i];
        items[i].base_version = row->base_version;
        edit.rows[edit.n_rows++] = &items[i];
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    command.edit = &edit;
    _wgco_waiter_t* waiter = g_new0(_wgco_waiter_t, 1);
    waiter->request = request;
    wgh_set_closed_cb(evhttp_request_get_connection(request), _wgco_detach_request, waiter);
    if (!_wgco_propose(c, &command.base, waiter)) {
        wgh_set_closed_cb(evhttp_request_get_connection(request), NULL, NULL);
        _wgco_refuse_not_leader(c, request);
    }
    g_free(edit.rows);
    g_free(items);
    g_free(packed);
    g_free(scratch);
}

static void _wgco_post_edit(wgco_control* c, struct evhttp_request* request) {
    char message[256] = "";
    json_t* json = wgh_body_json(request, message, sizeof message);
    uint8_t id[WGT_EDIT_ID_SIZE];
    GArray* rows = NULL;
    if (json && !_wgco_parse_edit_id(json_string_value(json_object_get(json, "edit_id")), id)) {
        g_snprintf(message, sizeof message, "edit_id is not 32 hex digits");
    } else if (json) {
        rows = _wgco_read_rows(json_object_get(json, "rows"), message, sizeof message);
    }
    if (!rows) {
        _wgco_refuse_bad_request(request, message);
    } else if (!_wgco_leads_now(c)) {
        _wgco_refuse_not_leader(c, request);
    } else {
        const char* editor = json_string_value(json_object_get(json, "editor"));
        c->edits++;
        _wgco_propose_edit(c, request, id, editor ? editor : "", rows);
    }
    if (rows) {
        g_array_unref(rows);
    }
    json_decref(json);
}

void _wgco_answer_edit(wgco_control* c, struct evhttp_request* request, const wgt_result* result) {
    wgh_set_closed_cb(evhttp_request_get_connection(request), NULL, NULL);
    json_t* json = json_object();
    json_object_set_new(json, "outcome", json_string(_wgco_outcome_name(result->outcome)));
    json_object_set_new(json, "version", json_integer((json_int_t)result->version));
    json_object_set_new(json, "resent", json_boolean(result->resent));
    json_object_set_new(json, "reason", json_string(result->reason));
    if (result->outcome == WGT_OUTCOME_CONFLICT) {
        /* The reason starts with the row's kind and quoted name; include that row's current
           state. */
        char** words = g_strsplit(result->reason, " ", 3);
        char* name = g_strdup(words[0] && words[1] ? words[1] : "");
        g_strdelimit(name, "\"", ' ');
        const wgt_row* row = wgt_find(c->table, wgt_kind_parse(words[0]), g_strstrip(name));
        json_object_set_new(json, "present", row ? wgt_row_to_json(row) : json_null());
        g_free(name);
        g_strfreev(words);
    }
    int status = result->outcome == WGT_OUTCOME_ACCEPTED   ? 200
                 : result->outcome == WGT_OUTCOME_CONFLICT ? 409
                                                           : 400;
    wgh_reply_json(request, status, json);
}

void _wgco_answer_unknown(struct evhttp_request* request) {
    wgh_set_closed_cb(evhttp_request_get_connection(request), NULL, NULL);
    wgh_reply_error(request,
                    &(wgh_error){.status = 503,
                                 .code = "outcome_unknown",
                                 .verdict = WG_VERDICT_MAY_HAVE_RUN,
                                 .retry_after = WG_USEC_PER_SEC,
                                 .message = "leadership changed; send the same edit_id again"});
}

/* ---- replicas ------------------------------------------------------------------------------ */

/* Handled by this replica itself, as there is no leader. */
static void _wgco_post_recover_set(wgco_control* c, struct evhttp_request* request,
                                   const char* names) {
    char** lost = g_strsplit(names, ",", -1);
    GError* error = NULL;
    if (_wgco_recover_set(c, lost, &error)) {
        json_t* done = json_object();
        json_object_set_new(done, "outcome", json_string("formed"));
        wgh_reply_json(request, 200, done);
    } else {
        wgh_reply_error(request, &(wgh_error){.status = 409,
                                              .code = "form_anew",
                                              .verdict = WG_VERDICT_NOT_RUN,
                                              .message = error->message});
        g_error_free(error);
    }
    g_strfreev(lost);
}

static void _wgco_post_replica(wgco_control* c, struct evhttp_request* request) {
    char message[256] = "";
    json_t* json = wgh_body_json(request, message, sizeof message);
    const char* action = json_string_value(json_object_get(json, "action"));
    const char* name = json_string_value(json_object_get(json, "name"));
    GError* error = NULL;
    bool good = false;
    const char* lost_names = json_string_value(json_object_get(json, "gone"));
    if (action && lost_names && strcmp(action, "form-anew") == 0) {
        _wgco_post_recover_set(c, request, lost_names);
        json_decref(json);
        return;
    }
    if (!json || !action || !name) {
        _wgco_refuse_bad_request(request, message[0] ? message : "action and name are required");
        json_decref(json);
        return;
    }
    if (!_wgco_leads_now(c)) {
        _wgco_refuse_not_leader(c, request);
        json_decref(json);
        return;
    }
    if (strcmp(action, "replace") == 0) {
        for (int i = 0; i < c->peers_num; i++) {
            const _wgco_peer_t* peer = &c->peers[i];
            if (strcmp(peer->name, name) == 0 && peer->up) {
                wgr_replica replica = {.id = peer->identity};
                wg_copy_name(replica.name, sizeof replica.name, peer->name);
                wg_copy_name(replica.address, sizeof replica.address, peer->address);
                good = wgr_add(c->node, wg_now(), &replica, &error);
            }
        }
    } else if (strcmp(action, "remove") == 0) {
        const wgr_set* set = wgr_query_set(c->node);
        for (int i = 0; i < set->num && !good && !error; i++) {
            if (strcmp(set->replicas[i].name, name) == 0) {
                good = wgr_remove(c->node, wg_now(), set->replicas[i].id, &error);
                break;
            }
        }
    }
    if (good) {
        json_t* done = json_object();
        json_object_set_new(done, "outcome", json_string("begun"));
        wgh_reply_json(request, 200, done);
    } else {
        wgh_reply_error(request,
                        &(wgh_error){.status = 409,
                                     .code = "replica",
                                     .verdict = WG_VERDICT_NOT_RUN,
                                     .message = error ? error->message
                                                      : "no such control is up, or unknown "
                                                        "action (expected replace or remove)"});
    }
    g_clear_error(&error);
    json_decref(json);
    _wgco_pump(c);
}

/* ---- state --------------------------------------------------------------------------------- */

static json_t* _wgco_dump_replicas(wgco_control* c) {
    json_t* list = json_array();
    const wgr_set* set = wgr_query_set(c->node);
    for (int i = 0; i < set->num; i++) {
        const wgr_replica* r = &set->replicas[i];
        char id[20];
        g_snprintf(id, sizeof id, "%016" G_GINT64_MODIFIER "x", r->id);
        json_array_append_new(list,
                              json_pack("{s:s,s:s,s:s,s:b,s:I}", "name", r->name, "identity", id,
                                        "address", r->address, "voter", (int)r->voter, "match",
                                        (json_int_t)wgr_query_match(c->node, r->id)));
    }
    return list;
}

static json_t* _wgco_dump_members(wgco_control* c) {
    static const char* states[WGM_STATE_NUM] = {"", "up", "leaving", "gone"};
    json_t* list = json_array();
    const wgm_member* m;
    for (int i = 0; c->members && (m = wgm_at(c->members, i)); i++) {
        json_array_append_new(list,
                              json_pack("{s:s,s:s,s:s,s:s}", "name", m->name, "address", m->address,
                                        "data_centre", m->data_centre, "state", states[m->state]));
    }
    return list;
}

/* Cost served per workspace and service since this leader began, up to _WGCO_DUMP_SHARES_MAX
   entries. */
static json_t* _wgco_dump_shares(wgco_control* c) {
    json_t* list = json_array();
    int service_at = -1;
    for (const wgt_row* service; (service = wgt_next(c->table, WGT_KIND_SERVICE, &service_at));) {
        int at = -1;
        for (const wgt_row* row; (row = wgt_next(c->table, WGT_KIND_WORKSPACE, &at));) {
            uint64_t served = wgf_query_served(c->share, service->id, row->id);
            if (served == 0 || json_array_size(list) >= _WGCO_DUMP_SHARES_MAX) {
                continue;
            }
            json_array_append_new(list, json_pack("{s:s,s:s,s:I,s:I}", "service", service->name,
                                                  "workspace", row->name, "weight",
                                                  (json_int_t)row->workspace.weight, "cost",
                                                  (json_int_t)served));
        }
    }
    return list;
}

json_t* wgco_dump(wgco_control* c) {
    wg_time now = wg_now();
    if (!c->node) {
        return json_pack(
            "{s:s,s:b,s:I}", "name", c->settings->name, "leads", 0, "disk_takes_no_writes_for_ms",
            (json_int_t)(c->suspended_at ? (now - c->suspended_at) / WG_USEC_PER_MSEC : 0));
    }
    wgr_stats q = wgr_query_stats(c->node, now);
    wgt_stats t = wgt_query_stats(c->table);
    wgk_stats k = wgk_query_stats(c->claims);
    wgs_stats s = wgs_query_stats(c->store);
    wgn_stats n = wgn_query_stats(c->net);
    json_t* json = json_pack(
        "{s:s,s:b,s:s,s:{s:I,s:I,s:I,s:I,s:I,s:I,s:I},s:{s:I,s:i,s:i,s:i,s:I,s:I},s:{s:i,s:I,s:I},"
        "s:{s:I,s:I,s:I,s:i},s:{s:I,s:I,s:i,s:I,s:I}}",
        "name", c->settings->name, "leads", (int)wgr_leads(c->node, now), "leader",
        _wgco_leader_address(c), "log", "term", (json_int_t)q.term, "last_term",
        (json_int_t)q.last_term, "first", (json_int_t)q.first_index, "last",
        (json_int_t)q.last_index, "commit", (json_int_t)q.commit, "snapshot",
        (json_int_t)q.snapshot_index, "elections", (json_int_t)q.elections, "table", "version",
        (json_int_t)t.version, "workspaces", t.workspaces, "services", t.services, "targets",
        t.targets, "accepted", (json_int_t)t.accepted, "refused", (json_int_t)t.refused, "claims",
        "kept", k.claims, "granted", (json_int_t)k.granted, "repeated", (json_int_t)k.repeated,
        "store", "syncs", (json_int_t)s.syncs, "bytes_written", (json_int_t)s.bytes_written,
        "log_bytes", (json_int_t)s.log_bytes, "segments", s.segments, "links", "bytes_sent",
        (json_int_t)n.bytes_sent, "bytes_received", (json_int_t)n.bytes_received, "links", n.links,
        "frames_bad", (json_int_t)n.frames_bad, "proofs_bad", (json_int_t)n.proofs_bad);
    json_object_set_new(json, "replicas", _wgco_dump_replicas(c));
    json_object_set_new(json, "routers", _wgco_dump_members(c));
    json_object_set_new(json, "quarantine", _wgco_quarantine_dump(c));
    if (c->share) {
        json_object_set_new(json, "shares", _wgco_dump_shares(c));
        wgf_stats f = wgf_query_stats(c->share);
        json_object_set_new(json, "capacity",
                            json_pack("{s:i,s:i,s:i,s:i,s:I,s:I,s:I,s:I}", "routers", f.routers,
                                      "targets", f.targets, "flows", f.flows, "accounts",
                                      f.accounts, "slots", (json_int_t)f.slots, "leased",
                                      (json_int_t)f.leased, "plans", (json_int_t)f.plans, "plan_us",
                                      (json_int_t)c->plan_cost));
    }
    return json;
}

static void _wgco_get_metrics(wgco_control* c, struct evhttp_request* request) {
    wg_time now = wg_now();
    wgr_stats q = wgr_query_stats(c->node, now);
    wgt_stats t = wgt_query_stats(c->table);
    wgs_stats s = wgs_query_stats(c->store);
    wgn_stats n = wgn_query_stats(c->net);
    GString* out = g_string_new(NULL);
    const struct {
        const char* name;
        uint64_t value;
    } counters[] = {{"walnutgate_leads", wgr_leads(c->node, now)},
                    {"walnutgate_term", q.term},
                    {"walnutgate_log_commit", q.commit},
                    {"walnutgate_elections_total", q.elections},
                    {"walnutgate_table_version", t.version},
                    {"walnutgate_edits_accepted_total", t.accepted},
                    {"walnutgate_edits_refused_total", t.refused},
                    {"walnutgate_claims_asked_total", c->claims_asked},
                    {"walnutgate_reports_total", c->reports},
                    {"walnutgate_replies_total", c->replies},
                    {"walnutgate_entry_states_packed_total", c->states_packed},
                    {"walnutgate_entry_states_sent_total", c->states_sent},
                    {"walnutgate_entry_targets_packed_total", c->targets_packed},
                    {"walnutgate_heartbeats_superseded_total", c->heartbeats_superseded},
                    {"walnutgate_snapshots_total", c->snapshots},
                    {"walnutgate_snapshot_bytes_total", c->snapshot_bytes_total},
                    {"walnutgate_store_syncs_total", s.syncs},
                    {"walnutgate_control_bytes_sent_total", n.bytes_sent},
                    {"walnutgate_control_bytes_received_total", n.bytes_received}};
    for (size_t i = 0; i < G_N_ELEMENTS(counters); i++) {
        g_string_append_printf(out, "%s %" G_GUINT64_FORMAT "\n", counters[i].name,
                               counters[i].value);
    }
    wgn_print_metrics(c->net, out);
    _wgco_watch_metrics(c, out);
    _wgco_quarantine_metrics(c, out);
    _wgco_origins_metrics(c, out);
    wgh_print_metrics(&c->http, "operators", out);
    wgh_reply_text(request, 200, "text/plain; version=0.0.4", out->str);
    g_string_free(out, TRUE);
}

/* Ready if a leader is known and no stop has begun. */
static void _wgco_get_ready(wgco_control* c, struct evhttp_request* request) {
    wgr_stats q = wgr_query_stats(c->node, wg_now());
    bool ready = q.leader != 0 && !c->stopping;
    wgh_reply_text(request, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

static void _wgco_on_request(struct evhttp_request* request, void* user_data) {
    wgco_control* c = user_data;
    char path[128];
    wgh_path(request, path, sizeof path);
    const char* method = wgh_method(request);
    bool get = strcmp(method, "GET") == 0;
    bool post = strcmp(method, "POST") == 0;
    if (get && strcmp(path, "/healthz") == 0) {
        wgh_reply_text(request, 200, "text/plain", "ok\n");
        return;
    }
    if (get && strcmp(path, "/readyz") == 0) {
        _wgco_get_ready(c, request);
        return;
    }
    if (get && strcmp(path, "/metrics") == 0) {
        _wgco_get_metrics(c, request);
        return;
    }
    if (!_wgco_is_operator(c, request)) {
        return;
    }
    if (get && strcmp(path, "/debug/state") == 0) {
        wgh_reply_json(request, 200, wgco_dump(c));
    } else if (get && g_str_has_prefix(path, "/v1/table/")) {
        _wgco_get_table(c, request, path + strlen("/v1/table/"));
    } else if (post && strcmp(path, "/v1/table/edit") == 0) {
        _wgco_post_edit(c, request);
    } else if (post && strcmp(path, "/v1/replicas") == 0) {
        _wgco_post_replica(c, request);
    } else {
        wgh_reply_error(request, &(wgh_error){.status = 404,
                                              .code = "unknown_page",
                                              .verdict = WG_VERDICT_NOT_RUN,
                                              .message = "no such endpoint"});
    }
}

bool _wgco_http_setup(wgco_control* c, GError** error) {
    enum {
        BODY_MAX = 16 << 20,
        HELD_MEMORY_DIVISOR = 4
    };
    const wgco_settings* s = c->settings;
    int64_t held_max = s->held_mb > 0 ? wg_memory_bytes(s->held_mb)
                                      : wg_memory_bytes(s->memory_mb) / HELD_MEMORY_DIVISOR;
    wgh_limits limits = {.body_max = BODY_MAX,
                         .connections_max = wgh_connections_of(s->descriptors),
                         .held_max = held_max,
                         .name = "operators"};
    if (!wgh_listen(&c->http, c->base, c->settings->operators_listen, &limits, error)) {
        return false;
    }
    wgh_handle(&c->http, _wgco_on_request, c);
    return true;
}
