/* hosts_operator.c -- see hosts_operator.h */
#include "hosts_operator.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "wg_net.h"

enum {
    REQUEST_TIMEOUT_S = 2,
    RETRY_GAP_MS = 100
};

typedef struct {
    struct event_base* base;
    bool done;
    int status;
    int version;
} answer;

/* ---- helpers --------------------------------------------------------------------------------- */

static char* make_configuration(const hosts* h, int version) {
    static const char engine[] = ",\"engine\":{\"slots\":8,\"memory_tokens\":1000000}";
    return g_strdup_printf(
        "{\"version\":%d,\"services\":[{\"name\":\"app\"%s}],\"routes\":[{"
        "\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"safe\","
        "\"timeout_ms\":2500,\"objective_ms\":500,\"attempts\":2,"
        "\"service\":\"app\"},{\"name\":\"s\",\"host\":\"h\","
        "\"path_prefix\":\"/stream/\",\"kind\":\"stream\","
        "\"timeout_ms\":5000,\"objective_ms\":500,\"attempts\":3,"
        "\"resumable\":true,\"service\":\"app\"},{\"name\":\"o\",\"host\":\"h\","
        "\"path_prefix\":\"/once/\",\"kind\":\"stream\",\"timeout_ms\":5000,"
        "\"objective_ms\":500,\"attempts\":1,\"service\":\"app\"}],\"limits\":{},"
        "\"workspaces\":[]}",
        version, h->engines ? engine : "");
}

static void on_answer(struct evhttp_request* request, void* user_data) {
    answer* a = user_data;
    a->done = true;
    a->status = request ? evhttp_request_get_response_code(request) : 0;
    if (a->status == 200) {
        struct evbuffer* in = evhttp_request_get_input_buffer(request);
        size_t size = evbuffer_get_length(in);
        json_t* json = json_loadb((const char*)evbuffer_pullup(in, -1), size, 0, NULL);
        a->version = (int)json_integer_value(json_object_get(json, "version"));
        json_decref(json);
    }
    event_base_loopbreak(a->base);
}

typedef struct {
    const char* address;
    const char* host; /* value of the Host header */
    const char* path;
    enum evhttp_cmd_type method;
    char* body;      /* owned, freed by send_request(); NULL: none */
    const char* key; /* operator key; NULL: none is sent */
} request_desc;

static answer send_request(hosts* h, const request_desc* q) {
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    answer a = {.base = h->base};
    wgn_split_address(q->address, ip, &port);
    struct evhttp_connection* connection = evhttp_connection_base_new(h->base, NULL, ip, port);
    evhttp_connection_set_timeout(connection, REQUEST_TIMEOUT_S);
    evhttp_connection_free_on_completion(connection);
    struct evhttp_request* request = evhttp_request_new(on_answer, &a);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", q->host);
    if (q->key) {
        char* bearer = g_strdup_printf("Bearer %s", q->key);
        evhttp_add_header(evhttp_request_get_output_headers(request), "Authorization", bearer);
        g_free(bearer);
    }
    if (q->body) {
        evbuffer_add(evhttp_request_get_output_buffer(request), q->body, strlen(q->body));
    }
    evhttp_make_request(connection, request, q->method, q->path);
    while (!a.done) {
        event_base_loop(h->base, EVLOOP_ONCE);
    }
    g_free(q->body);
    return a;
}

static answer request_configuration(hosts* h, const host* at, enum evhttp_cmd_type method,
                                    char* body) {
    return send_request(h, &(request_desc){.address = at->orders,
                                           .host = "orders",
                                           .path = "/v1/configuration",
                                           .method = method,
                                           .body = body});
}

/* The first host from number `attempt` on that has an entry process; NULL when none has. */
static const host* next_host(const hosts* h, int attempt) {
    for (int i = 0; i < h->num; i++) {
        const host* w = &h->hosts[(attempt + i) % h->num];
        if (w->entry > 0) {
            return w;
        }
    }
    return NULL;
}

/* ---- functions ------------------------------------------------------------------------------- */

void hosts_run_for(hosts* h, int ms) {
    struct timeval time = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_base_loopexit(h->base, &time);
    event_base_dispatch(h->base);
}

int hosts_recover_set(hosts* h, const host* at, const char* removed) {
    char address[WG_ADDRESS_MAX];
    g_snprintf(address, sizeof address, "127.%d.9.%d:7300", h->loopback_part_number, at->number);
    return send_request(h,
                        &(request_desc){.address = address,
                                        .host = "replica",
                                        .path = "/v1/replicas",
                                        .method = EVHTTP_REQ_POST,
                                        .key = "operator-key-of-the-soak",
                                        .body = g_strdup_printf(
                                            "{\"action\":\"form-anew\",\"gone\":\"%s\"}", removed)})
        .status;
}

int hosts_put_document(hosts* h, const host* at, char* document) {
    return request_configuration(h, at, EVHTTP_REQ_PUT, document).status;
}

int hosts_put_version(hosts* h, const host* at, int version) {
    return hosts_put_document(h, at, make_configuration(h, version));
}

int hosts_get_version(hosts* h, const host* at) {
    return request_configuration(h, at, EVHTTP_REQ_GET, NULL).version;
}

bool hosts_put_until(hosts* h, int version, int ms) {
    wg_time until = wg_now() + (wg_time)ms * WG_USEC_PER_MSEC;
    for (int attempt = 0; wg_now() < until; attempt++) {
        if (hosts_put_version(h, next_host(h, attempt), version) == 200) {
            return true;
        }
        hosts_run_for(h, RETRY_GAP_MS);
    }
    return false;
}

bool hosts_get_until(hosts* h, int version, int ms) {
    wg_time until = wg_now() + (wg_time)ms * WG_USEC_PER_MSEC;
    for (int attempt = 0; wg_now() < until; attempt++) {
        if (hosts_get_version(h, next_host(h, attempt)) >= version) {
            return true;
        }
        hosts_run_for(h, RETRY_GAP_MS);
    }
    return false;
}

bool hosts_serves_until(hosts* h, const host* at, int ms) {
    const request_desc call = {
        .address = at->callers, .host = "h", .path = "/safe/x", .method = EVHTTP_REQ_GET};
    wg_time until = wg_now() + (wg_time)ms * WG_USEC_PER_MSEC;
    while (wg_now() < until) {
        if (send_request(h, &call).status == 200) {
            return true;
        }
        hosts_run_for(h, RETRY_GAP_MS);
    }
    return false;
}
