/* wg_entry_endpoints.c -- HTTP endpoints of an entry host: readiness, entry answers, orders,
   metrics, state */
#include "wg_document.h"

#include "wg_entry_internal.h"
#include "wg_target_read.h"

#include <stdlib.h>
#include <string.h>

enum {
    WG_ORDER_BODY_MAX = 16 << 20,
    WG_PORT_BODY_MAX = 64 * 1024, /* of what no order is sent to */
    WG_PORT_MEMORY_DIVISOR = 16   /* see the setting `ports_held_mb` */
};

/* ---- helpers --------------------------------------------------------------------------------- */

static void wg_endpoint_error(struct evhttp_request* request, int status, const char* code,
                              const char* message) {
    wgh_reply_error(request, &(wgh_error){.status = status,
                                          .code = code,
                                          .verdict = WG_VERDICT_NOT_RUN,
                                          .retry_after = status == 503 ? WG_USEC_PER_SEC / 2 : 0,
                                          .message = message});
}

void wg_entry_order_answer(struct evhttp_request* request, wg_order_outcome outcome,
                           GBytes* document) {
    if (outcome == WG_ORDER_DONE && document) {
        struct evbuffer* body = evbuffer_new();
        evbuffer_add(body, g_bytes_get_data(document, NULL), g_bytes_get_size(document));
        evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                          "application/json");
        evhttp_send_reply(request, 200, wgh_reason(200), body);
        evbuffer_free(body);
    } else if (outcome == WG_ORDER_DONE) {
        wgh_reply_json(request, 200, json_object());
    } else if (outcome == WG_ORDER_INVALID) {
        wg_endpoint_error(request, 400, "bad_request", "the order is malformed");
    } else if (outcome == WG_ORDER_NO_CONFIGURATION) {
        wg_endpoint_error(request, 503, "no_configuration", "there is no configuration yet");
    } else {
        wg_endpoint_error(request, 503, "no_leader", "no leader answered in time; send it again");
    }
}

/* ---- ready, metrics, state ------------------------------------------------------------------- */

json_t* wg_entry_dump(wg_entry* e) {
    wg_time now = wg_now();
    return json_pack("{s:s,s:b,s:b,s:I,s:I,s:i,s:i,s:i,s:b,s:I,s:I}", "name", e->settings->name,
                     "ready", (int)wg_entry_is_ready(e), "stopping", (int)e->stopping,
                     "configuration", (json_int_t)(e->config ? e->config->version : 0), "registry",
                     (json_int_t)wg_registry_change(e->registry), "members",
                     wg_roster_num(e->roster), "calls", e->calls_num, "callers",
                     (int)e->clients->len, "leader_known", (int)e->leader_known, "state_age_ms",
                     (json_int_t)wg_entry_state_age_ms(e, now), "tries",
                     (json_int_t)e->counters.tries);
}

static void wg_endpoint_leader_metrics(wg_entry* e, GString* out) {
    wg_time now = wg_now();
    g_string_append_printf(
        out,
        "walnutgate_entry_leader_known %d\n"
        "walnutgate_entry_on_standby %d\n"
        "walnutgate_entry_leaderless_seconds %.3f\n"
        "walnutgate_entry_confirmed_seconds %.3f\n"
        "walnutgate_entry_configuration_version %" G_GUINT64_FORMAT "\n",
        e->leader_known, e->on_standby,
        (double)wg_outage_duration(&e->leaderless, now) / WG_USEC_PER_SEC,
        e->lease.confirmed_at ? (double)wg_lease_age(&e->lease, now) / WG_USEC_PER_SEC : -1,
        e->config ? e->config->version : 0);
    wg_hist_print(&e->tick_lag.lag_hist, "walnutgate_loop_late_seconds", "", 1e6, out);
    wg_hist_print(&e->input_lag.lag_hist, "walnutgate_loop_behind_seconds", "", 1e6, out);
}

/* Room of each service as this host sees it, and what the leader tells of it. */
static void wg_endpoint_room_metrics(wg_entry* e, GString* out) {
    wg_time now = wg_now();
    int services = e->config && e->settings->room_wait_ms > 0 ? e->config->services_num : 0;
    for (int i = 0; i < services; i++) {
        const char* name = e->config->services[i].name;
        wg_room_count count;
        bool told = wg_room_copy_query(e->room, now, name, &count) != WG_ROOM_UNKNOWN;
        g_string_append_printf(out,
                               "walnutgate_entry_room{service=\"%s\"} %d\n"
                               "walnutgate_entry_room_told{service=\"%s\"} %d\n"
                               "walnutgate_entry_room_targets_ready{service=\"%s\"} %u\n"
                               "walnutgate_entry_room_targets{service=\"%s\"} %u\n",
                               name, wg_entry_has_room(e, now, name), name, told, name, count.ready,
                               name, count.with_room);
    }
}

/* Speed of the targets that this host coordinates. */
static void wg_endpoint_speed_metrics(const wg_entry* e, GString* out) {
    wg_admit_summary* summary = g_new0(wg_admit_summary, 1);
    wg_admit_summarize(e->admit, summary);
    g_string_append_printf(out, "walnutgate_entry_targets_stalled %d\n", summary->stalled);
    wg_hist_print(&summary->bases, "walnutgate_entry_target_base_seconds", "", 1e6, out);
    wg_hist_print(&summary->speeds, "walnutgate_entry_target_tokens_per_second", "", 1, out);
    g_free(summary);
}

static void wg_endpoint_overload_metrics(const wg_entry* e, GString* out) {
    wg_overload_stats stats =
        e->overload ? wg_overload_query_stats(e->overload) : (wg_overload_stats){0};
    g_string_append_printf(out,
                           "walnutgate_entry_refused_on_arrival_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_arrival_limit_per_second %.0f\n",
                           stats.refused, stats.limit);
}

/* Admission requests of all hosts that wait, or waited, for room at this coordinator. */
static void wg_endpoint_hold_metrics(const wg_entry* e, GString* out) {
    const wg_hold_counters* c = wg_hold_count(e->hold);
    g_string_append_printf(out,
                           "walnutgate_entry_hold_waiting %d\n"
                           "walnutgate_entry_hold_granted_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_hold_expired_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_hold_dropped_total %" G_GUINT64_FORMAT "\n",
                           wg_hold_num(e->hold), c->granted, c->expired, c->dropped);
}

static void wg_endpoint_metrics(wg_entry* e, struct evhttp_request* request) {
    const wg_entry_counters* c = &e->counters;
    const struct {
        const char* name;
        uint64_t value;
    } counters[] = {{"requests", c->requests},
                    {"whole", c->completed},
                    {"refused", c->refused},
                    {"failed", c->failed},
                    {"cut", c->aborted},
                    {"caller_left", c->caller_disconnects},
                    {"tries", c->tries},
                    {"retries", c->retries},
                    {"resumes", c->resumes},
                    {"streams_taken_up", c->streams_taken_up},
                    {"versions_joined", c->versions_joined},
                    {"versions_gone", c->versions_gone},
                    {"answers_by_connection", c->answers_by_connection},
                    {"answers_in_event", c->answers_in_event},
                    {"connects", c->connects},
                    {"target_bytes_out", c->target_bytes_out},
                    {"target_bytes_in", c->target_bytes_in},
                    {"target_far_bytes_out", c->target_remote_bytes_out},
                    {"target_far_bytes_in", c->target_remote_bytes_in},
                    {"cold_denials", c->cold_denials},
                    {"callers_replaced", c->callers_replaced},
                    {"callers_turned_away", c->callers_refused},
                    {"log_lines_left_out", c->log_lines_dropped},
                    {"log_lines_lost", wg_log_lost()},
                    {"denied_routes", c->denied_routes},
                    {"denied_keys", c->denied_keys},
                    {"denied_unsure", c->denied_unsure},
                    {"targets_ended", c->targets_ended},
                    {"targets_stayed", c->targets_alive},
                    {"target_checks_left_out", c->checks_skipped},
                    {"quarantine_refusals", c->quarantine_refusals},
                    {"target_rests", c->backoffs},
                    {"targets_leaving_told", c->drains_reported},
                    {"rest_refusals", c->backoff_refusals},
                    {"over_share_refusals", c->over_share_refusals},
                    {"incarnation_questions", c->incarnation_questions},
                    {"incarnations_other", c->incarnations_other},
                    {"target_stalls", c->target_stalls},
                    {"callers_cut", c->callers_cut},
                    {"targets_cut", c->targets_cut},
                    {"bodies_refused", c->bodies_refused}};
    GString* out = g_string_new(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(counters); i++) {
        g_string_append_printf(out, "walnutgate_entry_%s_total %" G_GUINT64_FORMAT "\n",
                               counters[i].name, counters[i].value);
    }
    g_string_append_printf(out,
                           "walnutgate_entry_calls %d\nwalnutgate_entry_callers %u\n"
                           "walnutgate_entry_evacuated_data_centres %u\n"
                           "walnutgate_entry_quarantined %d\nwalnutgate_entry_suspects %d\n"
                           "walnutgate_entry_targets_resting %d\n",
                           e->calls_num, e->clients->len, wg_registry_evacuated(e->registry)->len,
                           wg_quarantine_num(e->quarantine), wg_suspects_num(e->suspects),
                           wg_backoff_active_num(e->backoff, wg_now()));
    wg_endpoint_speed_metrics(e, out);
    wg_endpoint_hold_metrics(e, out);
    wg_entry_origins_print_metrics(e, out);
    wg_entry_buffers_print_metrics(e, out);
    wgh_print_metrics(&e->ready_server, "ready", out);
    wgh_print_metrics(&e->entry_server, "entry", out);
    wgh_print_metrics(&e->orders_server, "orders", out);
    wg_entry_descriptors_print_metrics(e, out);
    wg_entry_lease_print_metrics(e, out);
    wgn_print_metrics(e->net, out);
    wg_endpoint_leader_metrics(e, out);
    wg_endpoint_room_metrics(e, out);
    wg_endpoint_overload_metrics(e, out);
    wg_entry_handoff_print_metrics(e, out);
    wg_hist_print(&e->first_byte_time, "walnutgate_entry_first_seconds", "", 1e6, out);
    wg_hist_print(&e->total_time, "walnutgate_entry_total_seconds", "", 1e6, out);
    wgh_reply_text(request, 200, "text/plain", out->str);
    g_string_free(out, TRUE);
}

/* ---- entry answers --------------------------------------------------------------------------- */

/* Identifies the caller by its IP address. */
static uint64_t wg_endpoint_caller_hash(struct evhttp_request* request) {
    char* address = NULL;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &address, &port);
    return address ? wg_hash(address, strlen(address), 0) : 0;
}

static json_t* wg_endpoint_entry_addresses(wg_entry* e, struct evhttp_request* request) {
    char* caller_data_centre = wgh_query(request, e->names->query_data_centre);
    wg_roster_query query = {.data_centre = caller_data_centre ? caller_data_centre : "",
                             .caller = wg_endpoint_caller_hash(request),
                             .excluded = e->stopping ? e->settings->name : NULL};
    GPtrArray* hosts = wg_roster_pick(e->roster, &query);
    json_t* list = json_array();
    for (guint i = 0; i < hosts->len; i++) {
        const wg_roster_host* host = hosts->pdata[i];
        json_array_append_new(list, json_string(host->address));
    }
    g_ptr_array_unref(hosts);
    g_free(caller_data_centre);
    return list;
}

static void wg_endpoint_entry(wg_entry* e, struct evhttp_request* request) {
    json_t* list = wg_endpoint_entry_addresses(e, request);
    if (json_array_size(list) == 0 && wg_entry_is_ready(e)) {
        json_array_append_new(list, json_string(e->settings->callers_listen));
    }
    if (json_array_size(list) == 0) {
        json_decref(list);
        wg_endpoint_error(request, 503, "no_entry_host", "no entry host is known to be ready");
        return;
    }
    json_t* json = json_object();
    json_object_set_new(json, "addresses", list);
    json_object_set_new(json, "keep_s", json_integer(e->settings->entry_keep_s));
    wgh_reply_json(request, 200, json);
}

/* ---- orders ---------------------------------------------------------------------------------- */

static void wg_endpoint_put_configuration(wg_entry* e, struct evhttp_request* request) {
    struct evbuffer* in = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(in);
    GError* error = NULL;
    if (!wgh_body_is_small_json(request)) {
        wg_log(WG_EVENT_CONFIGURATION_REFUSED, "more than %d values", WGH_JSON_VALUES_MAX);
        wg_endpoint_error(request, 413, "too_many_values", "the document has too many values");
        return;
    }
    uint8_t* bytes = evbuffer_pullup(in, -1);
    wg_config* config = wg_config_parse(bytes ? bytes : (uint8_t*)"", size, &error);
    if (!config) {
        wg_log(WG_EVENT_CONFIGURATION_REFUSED, "%s", error->message);
        wg_endpoint_error(request, 400, "bad_configuration", error->message);
        g_error_free(error);
        return;
    }
    GBytes* document = g_bytes_new_static(bytes, size);
    GBytes* packed = wg_document_pack(document, NULL);
    Wgpb__Configuration configuration;
    wg_document_fill_message(&configuration, config->version, packed);
    wg_config_unref(config);
    Wgpb__Order order = WGPB__ORDER__INIT;
    order.configuration = &configuration;
    wg_entry_order_begin(e, request, &order);
    g_bytes_unref(packed);
    g_bytes_unref(document);
}

static void wg_endpoint_get_configuration(wg_entry* e, struct evhttp_request* request) {
    Wgpb__Order order = WGPB__ORDER__INIT;
    order.read_configuration = true;
    wg_entry_order_begin(e, request, &order);
}

static void wg_endpoint_refuse_target(wg_entry* e, struct evhttp_request* request, const char* id,
                                      const char* reason) {
    if (wg_entry_may_log(e, wg_now())) {
        wg_log(WG_EVENT_TARGET_REFUSED, "id=%.63s %s", id, reason);
    }
    wg_endpoint_error(request, 400, "bad_request", reason);
}

static void wg_endpoint_order_target(wg_entry* e, struct evhttp_request* request,
                                     const wg_target* target) {
    Wgpb__TargetRecord record;
    wg_target_pack(target, wg_now(), &record);
    Wgpb__Order order = WGPB__ORDER__INIT;
    order.target = &record;
    wg_entry_order_begin(e, request, &order);
}

/* Whether the service is in the configuration, or the target is registered with it: a target must
   be able to drain after its service was removed. */
static bool wg_endpoint_knows_service(const wg_entry* e, const wg_target* reported) {
    if (!e->config || wg_config_service(e->config, reported->service) >= 0) {
        return true;
    }
    const wg_target* target = NULL;
    while ((target = wg_registry_next(e->registry, target ? target->number : 0))) {
        if (strcmp(target->id, reported->id) == 0 &&
            strcmp(target->service, reported->service) == 0) {
            return true;
        }
    }
    return false;
}

static void wg_endpoint_put_target(wg_entry* e, struct evhttp_request* request, const char* id) {
    char message[160] = "";
    GError* error = NULL;
    wg_target target;
    json_t* json = wgh_body_json(request, message, sizeof message);
    if (!json) {
        wg_endpoint_refuse_target(e, request, id, message);
    } else if (!wg_target_read(json, id, wg_now(), &target, &error)) {
        wg_endpoint_refuse_target(e, request, id, error->message);
        g_error_free(error);
    } else if (!wg_endpoint_knows_service(e, &target)) {
        wg_endpoint_refuse_target(e, request, id, "service: not in the configuration");
    } else {
        wg_endpoint_order_target(e, request, &target);
    }
    json_decref(json);
}

static void wg_endpoint_delete_target(wg_entry* e, struct evhttp_request* request, const char* id) {
    char message[160] = "";
    GError* error = NULL;
    wg_target target;
    bool empty = evbuffer_get_length(evhttp_request_get_input_buffer(request)) == 0;
    json_t* json = empty ? NULL : wgh_body_json(request, message, sizeof message);
    if (!empty && !json) {
        wg_endpoint_refuse_target(e, request, id, message);
    } else if (!wg_target_read_deregistration(json, id, &target, &error)) {
        wg_endpoint_refuse_target(e, request, id, error->message);
        g_error_free(error);
    } else {
        wg_endpoint_order_target(e, request, &target);
    }
    json_decref(json);
}

/* Begins or ends the evacuation of a data centre. */
static void wg_endpoint_evacuate(wg_entry* e, struct evhttp_request* request, const char* path,
                                 bool begins) {
    char* name = evhttp_uridecode(path, 0, NULL);
    if (!name || !name[0] || strlen(name) >= WG_NAME_MAX || strchr(name, '/')) {
        wg_endpoint_error(request, 400, "bad_request", "invalid name of a data centre");
        free(name);
        return;
    }
    Wgpb__Evacuation evacuation = WGPB__EVACUATION__INIT;
    evacuation.data_centre = name;
    evacuation.begins = begins;
    evacuation.cold_us = (uint64_t)(e->config ? wg_config_cold_time_max(e->config) : 0);
    Wgpb__Order order = WGPB__ORDER__INIT;
    order.evacuation = &evacuation;
    wg_entry_order_begin(e, request, &order);
    free(name);
}

/* ---- quarantine ------------------------------------------------------------------------------ */

static void wg_endpoint_get_quarantine(wg_entry* e, struct evhttp_request* request) {
    json_t* list = json_array();
    const wg_quarantined* entry;
    for (int i = 0; (entry = wg_quarantine_at(e->quarantine, i)); i++) {
        char text[20];
        g_snprintf(text, sizeof text, "%016" G_GINT64_MODIFIER "x", entry->fingerprint);
        json_array_append_new(list, json_string(text));
    }
    json_t* json = json_object();
    json_object_set_new(json, "fingerprints", list);
    wgh_reply_json(request, 200, json);
}

/* Ends the quarantine of a request. It may be quarantined again on new evidence. */
static void wg_endpoint_delete_quarantine(wg_entry* e, struct evhttp_request* request,
                                          const char* text) {
    guint64 fingerprint = 0;
    if (!g_ascii_string_to_unsigned(text, 16, 1, G_MAXUINT64, &fingerprint, NULL)) {
        wg_endpoint_error(request, 400, "bad_request",
                          "invalid fingerprint: expected 16 hexadecimal digits");
        return;
    }
    Wgpb__Quarantine quarantine = WGPB__QUARANTINE__INIT;
    quarantine.fingerprint = fingerprint;
    quarantine.reason = WG_QUARANTINE_END_OPERATOR;
    Wgpb__Order order = WGPB__ORDER__INIT;
    order.quarantine = &quarantine;
    wg_entry_order_begin(e, request, &order);
}

/* ---- set-up ---------------------------------------------------------------------------------- */

static void wg_endpoint_on_request(struct evhttp_request* request, void* user_data) {
    static const char targets[] = "/v1/targets/";
    static const char evacuations[] = "/v1/evacuations/";
    static const char quarantine[] = "/v1/quarantine/";
    wg_entry* e = user_data;
    char path[256];
    wgh_path(request, path, sizeof path);
    const char* method = wgh_method(request);
    bool get = strcmp(method, "GET") == 0;
    bool put = strcmp(method, "PUT") == 0 || strcmp(method, "POST") == 0;
    bool target = g_str_has_prefix(path, targets);
    bool remove = strcmp(method, "DELETE") == 0;
    const char* id = path + sizeof targets - 1;
    if (get && strcmp(path, "/v1/ready") == 0) {
        wgh_reply_text(request, wg_entry_is_ready(e) ? 200 : 503, "text/plain", "\n");
    } else if (get && strcmp(path, "/v1/entry") == 0) {
        wg_endpoint_entry(e, request);
    } else if (get && strcmp(path, "/v1/configuration") == 0) {
        wg_endpoint_get_configuration(e, request);
    } else if (put && strcmp(path, "/v1/configuration") == 0) {
        wg_endpoint_put_configuration(e, request);
    } else if (put && target) {
        wg_endpoint_put_target(e, request, id);
    } else if (remove && target) {
        wg_endpoint_delete_target(e, request, id);
    } else if ((put || remove) && g_str_has_prefix(path, evacuations)) {
        wg_endpoint_evacuate(e, request, path + sizeof evacuations - 1, put);
    } else if (get && strcmp(path, "/v1/quarantine") == 0) {
        wg_endpoint_get_quarantine(e, request);
    } else if (remove && g_str_has_prefix(path, quarantine)) {
        wg_endpoint_delete_quarantine(e, request, path + sizeof quarantine - 1);
    } else if (get && strcmp(path, "/metrics") == 0) {
        wg_endpoint_metrics(e, request);
    } else if (get && strcmp(path, "/v1/state") == 0) {
        wgh_reply_json(request, 200, wg_entry_dump(e));
    } else {
        wg_endpoint_error(request, 404, "not_found", "no such endpoint");
    }
}

typedef struct {
    const char* name;
    const char* address;
    int64_t body_max;
} wg_port;

static bool wg_endpoint_listen(wg_entry* e, wgh_server* server, const wg_port* port,
                               GError** error) {
    const wg_entry_settings* s = e->settings;
    wgh_limits limits = {
        .name = port->name,
        .body_max = port->body_max,
        .connections_max =
            s->port_connections ? (int)s->port_connections : wgh_connections_of(s->descriptors),
        .held_max = s->ports_held_mb > 0 ? wg_memory_bytes(s->ports_held_mb)
                                         : wg_memory_bytes(s->memory_mb) / WG_PORT_MEMORY_DIVISOR};
    if (!wgh_listen(server, e->base, port->address, &limits, error)) {
        return false;
    }
    evhttp_set_allowed_methods(server->http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_POST |
                                                 EVHTTP_REQ_DELETE);
    wgh_handle(server, wg_endpoint_on_request, e);
    return true;
}

bool wg_entry_endpoints_setup(wg_entry* e, GError** error) {
    const wg_entry_settings* s = e->settings;
    const wg_port ready = {"ready", s->ready_listen, WG_PORT_BODY_MAX};
    const wg_port entry = {"entry", s->entry_listen, WG_PORT_BODY_MAX};
    const wg_port orders = {"orders", s->orders_listen, WG_ORDER_BODY_MAX};
    return wg_endpoint_listen(e, &e->ready_server, &ready, error) &&
           wg_endpoint_listen(e, &e->entry_server, &entry, error) &&
           wg_endpoint_listen(e, &e->orders_server, &orders, error);
}
