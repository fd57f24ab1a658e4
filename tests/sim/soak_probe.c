/* soak_probe.c -- requests that check each host before the first and after the last fault

   Routes that exist in one version only show which configuration a host applies; a read shows
   whether it reaches a leader. */
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "soak_internal.h"
#include "wg_net.h"

typedef struct {
    soak* s;
    int number; /* index of the host */
    probe_kind kind;
    int version; /* newest acknowledged version when the probe was sent */
} probe;

/* ---- helpers --------------------------------------------------------------------------------- */

static int read_version(struct evhttp_request* request) {
    struct evbuffer* in = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(in);
    json_t* json = json_loadb((const char*)evbuffer_pullup(in, -1), size, 0, NULL);
    int version = (int)json_integer_value(json_object_get(json, "version"));
    json_decref(json);
    return version;
}

static bool has_passed(const probe* p, struct evhttp_request* request) {
    int status = request ? evhttp_request_get_response_code(request) : 0;
    switch (p->kind) {
    case PROBE_PREVIOUS:
        return status == 404;
    case PROBE_READ:
        return status == 200 && read_version(request) >= p->version;
    default:
        return status == 200;
    }
}

static void on_probe(struct evhttp_request* request, void* user_data) {
    probe* p = user_data;
    soak* s = p->s;
    if (p->version == s->passed_version && has_passed(p, request)) {
        s->probes_passed[p->number][p->kind] = true;
    }
    g_free(p);
}

static char* probe_path(probe_kind kind, int version) {
    switch (kind) {
    case PROBE_SERVICE:
        return g_strdup("/safe/probe");
    case PROBE_ENGINE:
        return g_strdup("/stream/1");
    case PROBE_NEWEST:
        return g_strdup_printf("/only-%d/x", version);
    case PROBE_PREVIOUS:
        return g_strdup_printf("/only-%d/x", version - 1);
    default:
        return g_strdup("/v1/configuration");
    }
}

static void send_probe(soak* s, int number, probe_kind kind) {
    const host* w = &s->h.hosts[number];
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    probe* p = g_new(probe, 1);
    *p = (probe){s, number, kind, s->passed_version};
    wgn_split_address(kind == PROBE_READ ? w->orders : w->callers, ip, &port);
    struct evhttp_connection* connection = evhttp_connection_base_new(s->base, NULL, ip, port);
    evhttp_connection_set_timeout(connection, 1);
    evhttp_connection_free_on_completion(connection);
    struct evhttp_request* request = evhttp_request_new(on_probe, p);
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Host", "soak");
    evhttp_add_header(out, "Walnutgate-Key", "key");
    char* path = probe_path(kind, p->version);
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, path);
    g_free(path);
}

/* ---- functions of the soak ------------------------------------------------------------------- */

void soak_probe(soak* s) {
    if (s->passed_version != s->acknowledged) {
        memset(s->probes_passed, 0, sizeof s->probes_passed);
        s->passed_version = s->acknowledged;
    }
    for (int i = 0; i < s->h.num; i++) {
        for (int kind = 0; kind < PROBES_NUM && !s->h.hosts[i].absent; kind++) {
            if (!s->probes_passed[i][kind]) {
                send_probe(s, i, (probe_kind)kind);
            }
        }
    }
}

bool soak_all_passed(const soak* s) {
    bool all = s->acknowledged > 0 && s->acknowledged == s->version &&
               s->acknowledged == s->passed_version;
    for (int i = 0; i < s->h.num && all; i++) {
        for (int kind = 0; kind < PROBES_NUM && !s->h.hosts[i].absent; kind++) {
            all = all && s->probes_passed[i][kind];
        }
    }
    return all;
}

char* soak_describe_probes(const soak* s) {
    static const char* const names[PROBES_NUM] = {"service", "engine", "newest", "previous",
                                                  "read"};
    GString* missing = g_string_new(NULL);
    for (int i = 0; i < s->h.num; i++) {
        for (int kind = 0; kind < PROBES_NUM && !s->h.hosts[i].absent; kind++) {
            if (!s->probes_passed[i][kind]) {
                g_string_append_printf(missing, " %d:%s", i + 1, names[kind]);
            }
        }
    }
    return g_string_free(missing, FALSE);
}
