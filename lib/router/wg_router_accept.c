/* wg_router_accept.c -- caller endpoints: entry hosts, model and application services */
#include "wg_router_internal.h"

#include <stdlib.h>
#include <string.h>

/* ---- types -------------------------------------------------------------------------------- */

enum {
    _WGRO_PARK_TIME = 1500 * WG_USEC_PER_MSEC,
    _WGRO_PARKED_MAX = 1024,
    _WGRO_HELD_MEMORY_DIVISOR = 4, /* of the machine's memory: for all connections of callers */
    _WGRO_PREFIX_BYTES = 1024      /* leading bytes of a prompt that are hashed as its prefix */
};

static void _wgro_serve(wgro_router* r, struct evhttp_request* request, const wgt_row* workspace);

/* ---- helpers: refusals --------------------------------------------------------------------- */

enum {
    /* Short, as other routers can take the request at once. */
    _WGRO_STOPPING_RETRY_AFTER = 20 * WG_USEC_PER_MSEC
};

static void _wgro_refuse(wgro_router* r, struct evhttp_request* request, int status,
                         const char* code, wg_time retry_after, const char* message) {
    r->counters.refused++;
    wg_log(WG_EVENT_REQUEST_REFUSED, "code=%s", code);
    wgh_reply_error(request, &(wgh_error){.status = status,
                                          .code = code,
                                          .verdict = WG_VERDICT_NOT_RUN,
                                          .retry_after = retry_after,
                                          .message = message});
}

static json_t* _wgro_entry_list(wgro_router* r, const char* workspace, int spread,
                                const char* data_centre) {
    const wgm_member* list[64];
    int num = wgm_pick_entry_hosts(r->members, workspace, data_centre, spread, list, 64);
    json_t* hosts = json_array();
    for (int i = 0; i < num; i++) {
        if (!(r->stopping && strcmp(list[i]->name, r->settings->name) == 0)) {
            json_array_append_new(hosts, json_string(list[i]->address));
        }
    }
    return hosts;
}

static void _wgro_refuse_no_lease(wgro_router* r, struct evhttp_request* request) {
    r->counters.lease_refusals++;
    json_t* more = json_object();
    json_object_set_new(more, "entry_hosts",
                        _wgro_entry_list(r, "", WGM_ENTRY_HOSTS_DEFAULT, r->settings->data_centre));
    wgh_reply_error(request,
                    &(wgh_error){.status = 503,
                                 .code = "table_not_in_force",
                                 .verdict = WG_VERDICT_NOT_RUN,
                                 .retry_after = WG_USEC_PER_SEC,
                                 .message = "this router has lost contact with the leader; "
                                            "use another entry host",
                                 .extra = more});
}

/* Refuses what the table does not hold: for good only while the table is known to be the newest. */
static void _wgro_refuse_unknown(wgro_router* r, struct evhttp_request* request, int status,
                                 const char* code, const char* message) {
    if (wg_now() >= r->table_lease_until) {
        _wgro_refuse_no_lease(r, request);
    } else {
        _wgro_refuse(r, request, status, code, 0, message);
    }
}

/* ---- helpers: keys ------------------------------------------------------------------------- */

static bool _wgro_key_is_unknown(wgro_router* r, const uint8_t* hash) {
    uint64_t slot = wg_hash(hash, WG_KEY_HASH_SIZE, r->seed) % _WGRO_UNKNOWN_KEYS;
    return r->unknown_keys[slot].version == wgt_version(r->table) &&
           memcmp(r->unknown_keys[slot].hash, hash, WG_KEY_HASH_SIZE) == 0;
}

static void _wgro_record_unknown_key(wgro_router* r, const uint8_t* hash) {
    uint64_t slot = wg_hash(hash, WG_KEY_HASH_SIZE, r->seed) % _WGRO_UNKNOWN_KEYS;
    memcpy(r->unknown_keys[slot].hash, hash, WG_KEY_HASH_SIZE);
    r->unknown_keys[slot].version = wgt_version(r->table);
}

static const char _wgro_wrong_key[] = "the workspace key is missing or wrong";

static void _wgro_refuse_key(wgro_router* r, struct evhttp_request* request) {
    r->counters.unknown_keys++;
    _wgro_refuse(r, request, 401, "workspace_key", 0, _wgro_wrong_key);
}

static void _wgro_refuse_unknown_key(wgro_router* r, struct evhttp_request* request) {
    r->counters.unknown_keys++;
    _wgro_refuse_unknown(r, request, 401, "workspace_key", _wgro_wrong_key);
}

static void _wgro_on_parked_closed(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    _wgro_parked_t* parked = user_data;
    wgh_free_unanswered(parked->request);
    parked->request = NULL;
}

/* Holds the request until the leader has answered the row query for its key. */
static void _wgro_park(wgro_router* r, struct evhttp_request* request, const uint8_t* hash,
                       wg_time now) {
    uint64_t ticket = ++r->counter;
    if (r->parked.length >= _WGRO_PARKED_MAX || !_wgro_query_row(r, ticket, hash)) {
        _wgro_refuse_no_lease(r, request);
        return;
    }
    _wgro_parked_t* parked = g_new0(_wgro_parked_t, 1);
    parked->ticket = ticket;
    parked->request = request;
    parked->until = now + _WGRO_PARK_TIME;
    memcpy(parked->key_hash, hash, WG_KEY_HASH_SIZE);
    wgh_set_closed_cb(evhttp_request_get_connection(request), _wgro_on_parked_closed, parked);
    g_queue_push_tail(&r->parked, parked);
}

static void _wgro_unpark(wgro_router* r, GList* link, int outcome) {
    _wgro_parked_t* parked = link->data;
    g_queue_delete_link(&r->parked, link);
    struct evhttp_request* request = parked->request;
    if (request) {
        wgh_set_closed_cb(evhttp_request_get_connection(request), NULL, NULL);
        const wgt_row* row = wgt_find_key(r->table, parked->key_hash);
        if (row && _wgro_in_force(r, wg_now())) {
            _wgro_serve(r, request, row);
        } else if (outcome == 2) {
            _wgro_record_unknown_key(r, parked->key_hash);
            _wgro_refuse_key(r, request);
        } else {
            _wgro_refuse_no_lease(r, request);
        }
    }
    g_free(parked);
}

/* ---- helpers: requests --------------------------------------------------------------------- */

/* Priority header (RFC 9218): urgency 0 or 1 counts as urgent. */
static bool _wgro_is_urgent(struct evhttp_request* request) {
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), "Priority");
    const char* urgency = value ? strstr(value, "u=") : NULL;
    return urgency && (urgency[2] == '0' || urgency[2] == '1');
}

static void _wgro_serve_model(wgro_router* r, struct evhttp_request* request,
                              const wgt_row* workspace) {
    char message[160];
    json_t* json = wgh_body_json(request, message, sizeof message);
    const char* model = json_string_value(json_object_get(json, "model"));
    if (!json || !model) {
        _wgro_refuse(r, request, 400, "bad_request", 0, json ? "\"model\" is missing" : message);
        json_decref(json);
        return;
    }
    int service = _wgro_find_service(r, model);
    if (service < 0 || strcmp(r->services[service].row.service.kind, "model") != 0) {
        json_decref(json);
        _wgro_refuse_unknown(r, request, 404, "unknown_service", "no model service of this name");
        return;
    }
    char* prompt = json_dumps(json_object_get(json, "messages"), JSON_COMPACT | JSON_ENCODE_ANY);
    size_t length = prompt ? strlen(prompt) : 0;
    uint64_t prefix =
        length > 64 ? wg_hash(prompt, MIN(length, _WGRO_PREFIX_BYTES), r->services[service].row.id)
                    : 0;
    free(prompt);
    json_decref(json);
    _wgro_call_begin(r, &(_wgro_call_desc){.request = request,
                                           .workspace = workspace,
                                           .service = service,
                                           .uri = g_strdup("/v1/chat/completions"),
                                           .repeatable = true,
                                           .urgent = _wgro_is_urgent(request),
                                           .prefix = prefix});
}

static void _wgro_serve_app(wgro_router* r, struct evhttp_request* request,
                            const wgt_row* workspace) {
    const char* uri = evhttp_request_get_uri(request) + strlen("/v1/app/");
    char* name = g_strndup(uri, strcspn(uri, "/?"));
    const char* rest = uri + strlen(name);
    int service = _wgro_find_service(r, name);
    g_free(name);
    if (service < 0 || strcmp(r->services[service].row.service.kind, "app") != 0) {
        _wgro_refuse_unknown(r, request, 404, "unknown_service",
                             "no application service of this name");
        return;
    }
    char* target_uri = g_strdup_printf("%s%s", rest[0] == '/' ? "" : "/", rest);
    char* path = g_strndup(target_uri, strcspn(target_uri, "?"));
    bool repeatable = wgt_is_repeatable(&r->services[service].row, wgh_method(request), path);
    g_free(path);
    _wgro_call_begin(r, &(_wgro_call_desc){.request = request,
                                           .workspace = workspace,
                                           .service = service,
                                           .uri = target_uri,
                                           .repeatable = repeatable,
                                           .urgent = _wgro_is_urgent(request)});
}

static void _wgro_serve(wgro_router* r, struct evhttp_request* request, const wgt_row* workspace) {
    char path[256];
    wgh_path(request, path, sizeof path);
    if (strcmp(path, "/v1/chat/completions") == 0) {
        if (strcmp(wgh_method(request), "POST") != 0) {
            _wgro_refuse(r, request, 405, "bad_method", 0, "method not allowed, use POST");
        } else {
            _wgro_serve_model(r, request, workspace);
        }
    } else {
        _wgro_serve_app(r, request, workspace);
    }
}

/* ---- endpoints ----------------------------------------------------------------------------- */

static void _wgro_entry(wgro_router* r, struct evhttp_request* request) {
    char* workspace = wgh_query(request, "workspace");
    char* data_centre = wgh_query(request, "data_centre");
    const char* caller_data_centre = data_centre ? data_centre : r->settings->data_centre;
    const wgt_row* row = workspace ? wgt_find(r->table, WGT_KIND_WORKSPACE, workspace) : NULL;
    int spread = row && row->workspace.entry_hosts > 0 ? (int)row->workspace.entry_hosts : 0;
    json_t* json = json_object();
    json_object_set_new(
        json, "entry_hosts",
        _wgro_entry_list(r, workspace ? workspace : "", spread, caller_data_centre));
    json_object_set_new(json, "keep_ms", json_integer(r->settings->entry_keep_ms));
    wgh_reply_json(request, 200, json);
    g_free(workspace);
    g_free(data_centre);
}

static bool _wgro_is_service_path(const char* path) {
    return strcmp(path, "/v1/chat/completions") == 0 || g_str_has_prefix(path, "/v1/app/");
}

static void _wgro_admit(wgro_router* r, struct evhttp_request* request) {
    wg_time now = wg_now();
    if (!_wgro_in_force(r, now)) {
        _wgro_refuse_no_lease(r, request);
        return;
    }
    const char* key = wgh_bearer(request);
    if (!key) {
        _wgro_refuse_key(r, request);
        return;
    }
    uint8_t hash[WG_KEY_HASH_SIZE];
    wg_key_hash(key, hash);
    const wgt_row* workspace = wgt_find_key(r->table, hash);
    if (workspace) {
        _wgro_serve(r, request, workspace);
    } else if (strcmp(r->settings->rows, "all") == 0 || _wgro_key_is_unknown(r, hash)) {
        _wgro_refuse_unknown_key(r, request);
    } else {
        _wgro_park(r, request, hash, now);
    }
}

static void _wgro_on_request(struct evhttp_request* request, void* user_data) {
    wgro_router* r = user_data;
    char path[256];
    wgh_path(request, path, sizeof path);
    if (r->stopping) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    }
    if (wgh_is_ambiguous(request)) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
        _wgro_refuse(
            r, request, 400, "ambiguous_length", 0,
            "ambiguous message length: repeated or malformed Content-Length or Transfer-Encoding");
        return;
    }
    if (strcmp(path, "/v1/entry") == 0) {
        _wgro_entry(r, request);
    } else if (strcmp(path, "/healthz") == 0) {
        wgh_reply_text(request, 200, "text/plain", "ok\n");
    } else if (_wgro_is_service_path(path) && _wgro_refuses_new(r, wg_now())) {
        _wgro_refuse(r, request, 503, "stopping", _WGRO_STOPPING_RETRY_AFTER, "this router stops");
    } else if (_wgro_is_service_path(path)) {
        r->counters.requests++;
        _wgro_admit(r, request);
    } else {
        _wgro_refuse(r, request, 404, "unknown_path", 0, "no such path");
    }
}

/* ---- internal functions -------------------------------------------------------------------- */

/* Files are left for connections to targets, one for each call, and for links and operators. */
static int _wgro_callers_max(const wgro_settings* s) {
    int64_t for_targets = MIN(s->calls_max, s->files_max / 2);
    return (int)(s->files_max - for_targets - s->files_max / 5);
}

static int64_t _wgro_held_max(const wgro_settings* s) {
    return s->held_mb > 0 ? wg_memory_bytes(s->held_mb)
                          : wg_memory_bytes(0) / _WGRO_HELD_MEMORY_DIVISOR;
}

bool _wgro_accept_setup(wgro_router* r, GError** error) {
    const wgro_settings* s = r->settings;
    wgh_limits limits = {.head_max = s->head_max,
                         .body_max = s->body_max,
                         .idle_seconds = s->idle_s,
                         .connections_max = _wgro_callers_max(s),
                         .held_max = _wgro_held_max(s),
                         .name = "callers"};
    if (!wgh_listen(&r->callers, r->base, s->callers_listen, &limits, error)) {
        return false;
    }
    wgh_handle(&r->callers, _wgro_on_request, r);
    return true;
}

void _wgro_on_row_answer(wgro_router* r, uint64_t ticket, int outcome) {
    for (GList* link = r->parked.head; link; link = link->next) {
        if (((_wgro_parked_t*)link->data)->ticket == ticket) {
            _wgro_unpark(r, link, outcome);
            return;
        }
    }
}

void _wgro_parked_tick(wgro_router* r, wg_time now) {
    while (r->parked.head && ((_wgro_parked_t*)r->parked.head->data)->until <= now) {
        _wgro_unpark(r, r->parked.head, 0);
    }
}
