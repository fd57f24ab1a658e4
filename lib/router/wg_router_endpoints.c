/* wg_router_endpoints.c -- operator endpoints of a router, and polling of the platform's host list
 */
#include "wg_router_internal.h"

#include <arpa/inet.h>
#include <event2/http.h>
#include <event2/util.h>
#include <string.h>

enum {
    _WGRO_HOSTS_TIMEOUT = 1 * WG_USEC_PER_SEC /* of a poll of the host list */
};

/* ---- state dump ---------------------------------------------------------------------------- */

static json_t* _wgro_dump_services(wgro_router* r) {
    json_t* list = json_array();
    wg_time now = wg_now();
    for (int i = 0; i < r->services_num; i++) {
        _wgro_service_t* s = &r->services[i];
        if (!s->live) {
            continue;
        }
        wgq_stats q = wgq_query_stats(s->queue);
        json_array_append_new(
            list,
            json_pack("{s:s,s:i,s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "name", s->row.name,
                      "queued", q.queued, "running", q.running, "workspaces", q.flows, "free_slots",
                      wgp_query_free(r->place, now, s->row.id), "picked", (json_int_t)q.picked,
                      "served", (json_int_t)q.served, "expired", (json_int_t)q.expired, "retries",
                      (json_int_t)s->budget.retries, "retries_refused",
                      (json_int_t)s->budget.refused, "wait_us_p50",
                      (json_int_t)wg_hist_quantile(&s->wait_time, 0.5), "wait_us_p99",
                      (json_int_t)wg_hist_quantile(&s->wait_time, 0.99)));
    }
    return list;
}

static json_t* _wgro_dump_targets(wgro_router* r) {
    json_t* list = json_array();
    wg_time now = wg_now();
    wgp_target_info t;
    for (int i = 0; wgp_query_target(r->place, i, &t); i++) {
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:b,s:b,s:b,s:I,s:I}", "name", t.name,
                            "address", t.address, "slots", t.slots, "leased", t.leased, "in_use",
                            t.in_use, "reported", t.reported, "leaving", (int)t.draining, "aside",
                            (int)(t.ejected_until > now), "rested", (int)t.backed_off, "requests",
                            (json_int_t)t.requests, "failures", (json_int_t)t.failures));
    }
    return list;
}

json_t* wgro_dump(wgro_router* r) {
    wg_time now = wg_now();
    wgn_stats n = wgn_query_stats(r->net);
    wgt_stats t = wgt_query_stats(r->table);
    wgm_stats m = wgm_query_stats(r->members);
    const _wgro_counters_t* c = &r->counters;
    json_t* json = json_pack(
        "{s:s,s:b,s:b,s:I,s:I,s:{s:b,s:I,s:I,s:I,s:I,s:I},s:{s:i,s:i,s:i},s:{s:i,s:i,s:i}}", "name",
        r->settings->name, "table_in_force", (int)_wgro_in_force(r, now), "stopping",
        (int)r->stopping, "table_version", (json_int_t)t.version, "term", (json_int_t)r->term,
        "link", "up", (int)(r->link_up && r->leader_known), "bytes_sent", (json_int_t)n.bytes_sent,
        "bytes_received", (json_int_t)n.bytes_received, "reports", (json_int_t)c->reports,
        "held_back", (json_int_t)r->pacer.deferred, "row_queries", (json_int_t)c->row_queries,
        "table", "workspaces", t.workspaces, "services", t.services, "targets", t.targets,
        "routers", "up", m.up, "leaving", m.leaving, "gone", m.unreachable);
    json_object_set_new(
        json, "requests",
        json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:i}", "taken", (json_int_t)c->requests,
                  "whole", (json_int_t)c->complete, "refused", (json_int_t)c->refused, "failed",
                  (json_int_t)c->failed, "cut", (json_int_t)c->answers_aborted, "retries",
                  (json_int_t)c->retries, "resumes", (json_int_t)c->resumes, "callers_left",
                  (json_int_t)c->caller_disconnects, "at_work", r->calls_pool.used));
    json_object_set_new(json, "services", _wgro_dump_services(r));
    json_object_set_new(json, "targets", _wgro_dump_targets(r));
    return json;
}

/* ---- operator endpoints -------------------------------------------------------------------- */

static void _wgro_get_metrics(wgro_router* r, struct evhttp_request* request) {
    const _wgro_counters_t* c = &r->counters;
    wgn_stats n = wgn_query_stats(r->net);
    const struct {
        const char* name;
        uint64_t value;
    } counters[] = {{"walnutgate_requests_total", c->requests},
                    {"walnutgate_answers_whole_total", c->complete},
                    {"walnutgate_refused_total", c->refused},
                    {"walnutgate_failed_total", c->failed},
                    {"walnutgate_cut_total", c->answers_aborted},
                    {"walnutgate_retries_total", c->retries},
                    {"walnutgate_resumes_total", c->resumes},
                    {"walnutgate_callers_left_total", c->caller_disconnects},
                    {"walnutgate_target_rests_total", c->backoffs},
                    {"walnutgate_lease_refusals_total", c->lease_refusals},
                    {"walnutgate_reports_total", c->reports},
                    {"walnutgate_reports_held_back_total", r->pacer.deferred},
                    {"walnutgate_control_bytes_sent_total", n.bytes_sent},
                    {"walnutgate_control_bytes_received_total", n.bytes_received},
                    {"walnutgate_table_version", wgt_version(r->table)},
                    {"walnutgate_table_in_force", _wgro_in_force(r, wg_now())},
                    {"walnutgate_calls", (uint64_t)r->calls_pool.used}};
    GString* out = g_string_new(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(counters); i++) {
        g_string_append_printf(out, "%s %" G_GUINT64_FORMAT "\n", counters[i].name,
                               counters[i].value);
    }
    for (int i = 0; i < r->services_num; i++) {
        char label[WG_NAME_MAX + 16];
        g_snprintf(label, sizeof label, "service=\"%s\"", r->services[i].row.name);
        wg_hist_print(&r->services[i].wait_time, "walnutgate_wait_seconds", label, 1e6, out);
        wg_hist_print(&r->services[i].total_time, "walnutgate_request_seconds", label, 1e6, out);
    }
    wgh_print_metrics(&r->callers, "callers", out);
    wgh_print_metrics(&r->operators, "operators", out);
    wgh_reply_text(request, 200, "text/plain; version=0.0.4", out->str);
    g_string_free(out, TRUE);
}

static bool _wgro_is_operator(wgro_router* r, struct evhttp_request* request) {
    const char* key = wgh_bearer(request);
    uint8_t presented[WG_KEY_HASH_SIZE];
    uint8_t expected[WG_KEY_HASH_SIZE];
    wg_key_hash(key ? key : "", presented);
    wg_key_hash(r->settings->operator_key, expected);
    return key && wgw_proof_equal(presented, expected);
}

static void _wgro_on_operator_request(struct evhttp_request* request, void* user_data) {
    wgro_router* r = user_data;
    char path[128];
    wgh_path(request, path, sizeof path);
    bool ready = _wgro_in_force(r, wg_now()) && !r->stopping;
    if (strcmp(path, "/healthz") == 0) {
        wgh_reply_text(request, 200, "text/plain", "ok\n");
    } else if (strcmp(path, "/readyz") == 0) {
        wgh_reply_text(request, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    } else if (strcmp(path, "/metrics") == 0) {
        _wgro_get_metrics(r, request);
    } else if (!_wgro_is_operator(r, request)) {
        wgh_reply_error(request, &(wgh_error){.status = 401,
                                              .code = "operator_key",
                                              .verdict = WG_VERDICT_NOT_RUN,
                                              .message = "the operators' key is missing or wrong"});
    } else if (strcmp(path, "/debug/state") == 0) {
        wgh_reply_json(request, 200, wgro_dump(r));
    } else {
        wgh_reply_error(request, &(wgh_error){.status = 404,
                                              .code = "unknown_page",
                                              .verdict = WG_VERDICT_NOT_RUN,
                                              .message = "no such endpoint"});
    }
}

bool _wgro_operators_setup(wgro_router* r, GError** error) {
    enum {
        FILES_DIVISOR = 10, /* of files_max: for connections of operators */
        BODY_MAX = 64 * 1024
    };
    wgh_limits limits = {.body_max = BODY_MAX,
                         .connections_max = (int)(r->settings->files_max / FILES_DIVISOR),
                         .held_max = WGH_HELD_DEFAULT / FILES_DIVISOR,
                         .name = "operators"};
    if (!wgh_listen(&r->operators, r->base, r->settings->operators_listen, &limits, error)) {
        return false;
    }
    wgh_handle(&r->operators, _wgro_on_operator_request, r);
    return true;
}

/* ---- host list ------------------------------------------------------------------------------ */

static void _wgro_apply_hosts(wgro_router* r, const json_t* json) {
    uint64_t version = (uint64_t)json_integer_value(json_object_get(json, "version"));
    size_t i;
    json_t* host;
    json_array_foreach(json_object_get(json, "hosts"), i, host) {
        const char* address = json_string_value(json_object_get(host, "address"));
        const char* state = json_string_value(json_object_get(host, "state"));
        if (!address || !state) {
            continue;
        }
        bool draining = strcmp(state, "leaving") == 0;
        if (wgp_update_host(r->place, address, draining, version) == WGP_EVENT_DRAINING) {
            wg_log(WG_EVENT_TARGET_LEAVING, "address=%s source=host-list", address);
        }
    }
}

static void _wgro_on_hosts(wg_exchange_result result, void* user_data) {
    wgro_router* r = user_data;
    r->hosts_pending = false;
    json_t* json = NULL;
    if (result != WG_EXCHANGE_FAILED && wg_exchange_head(r->hosts_exchange)->status == 200) {
        struct evbuffer* body = wg_exchange_body(r->hosts_exchange);
        size_t size = evbuffer_get_length(body);
        const char* text = size ? (const char*)evbuffer_pullup(body, -1) : "";
        json = json_loadb(text, size, 0, NULL);
    }
    if (json) {
        _wgro_apply_hosts(r, json);
        json_decref(json);
        r->hosts_available = true;
    } else if (r->hosts_available) {
        r->hosts_available = false;
        wg_log(WG_EVENT_HOST_LIST_LOST, "%s", "");
    }
}

static const wg_exchange_handler _wgro_hosts_handler = {.on_done = _wgro_on_hosts};

/* Makes sure that there is a connection to the list's server. A name is resolved by the system's
   resolver, which may block for a moment. */
static bool _wgro_hosts_connect(wgro_router* r, const struct evhttp_uri* uri) {
    if (r->hosts_exchange && wg_exchange_is_usable(r->hosts_exchange)) {
        return true;
    }
    if (r->hosts_exchange) {
        wg_exchange_close(r->hosts_exchange);
        r->hosts_exchange = NULL;
    }
    char port[8];
    char address[WG_ADDRESS_MAX];
    struct evutil_addrinfo* found = NULL;
    struct evutil_addrinfo hints = {.ai_family = AF_INET, .ai_socktype = SOCK_STREAM};
    g_snprintf(port, sizeof port, "%d",
               evhttp_uri_get_port(uri) > 0 ? evhttp_uri_get_port(uri) : 80);
    if (evutil_getaddrinfo(evhttp_uri_get_host(uri), port, &hints, &found) != 0) {
        return false;
    }
    char ip[INET_ADDRSTRLEN];
    const struct sockaddr_in* at = (const struct sockaddr_in*)(const void*)found->ai_addr;
    evutil_inet_ntop(AF_INET, &at->sin_addr, ip, sizeof ip);
    g_snprintf(address, sizeof address, "%s:%s", ip, port);
    evutil_freeaddrinfo(found);
    r->hosts_exchange = wg_exchange_open(&(wg_exchange_desc){.base = r->base, .address = address});
    return r->hosts_exchange != NULL;
}

static void _wgro_hosts_ask(wgro_router* r, const struct evhttp_uri* uri) {
    const char* path = evhttp_uri_get_path(uri);
    struct evbuffer* fields = evbuffer_new();
    wg_exchange_add_field(fields, "Host", evhttp_uri_get_host(uri));
    r->hosts_pending = true;
    wg_exchange_send(r->hosts_exchange,
                     &(wg_exchange_request){.method = "GET",
                                            .target = path && path[0] ? path : "/",
                                            .fields = fields,
                                            .body_max = WGH_BODY_MAX_DEFAULT,
                                            .timeout = _WGRO_HOSTS_TIMEOUT},
                     &_wgro_hosts_handler, r);
    evbuffer_free(fields);
}

void _wgro_hosts_tick(wgro_router* r, wg_time now) {
    if (!r->settings->hosts_url[0] || now < r->hosts_poll_at || r->hosts_pending) {
        return;
    }
    r->hosts_poll_at = now + r->settings->hosts_ms * WG_USEC_PER_MSEC;
    struct evhttp_uri* uri = evhttp_uri_parse(r->settings->hosts_url);
    if (uri && evhttp_uri_get_host(uri) && _wgro_hosts_connect(r, uri)) {
        _wgro_hosts_ask(r, uri);
    }
    if (uri) {
        evhttp_uri_free(uri);
    }
}
