/* wg_http.c -- see wg_http.h */
#include "wg_http_internal.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <string.h>
#include <unistd.h>

/* ---- helpers ------------------------------------------------------------------------------ */

static bool _wgh_split_address(const char* address, char* ip, size_t size, uint16_t* port) {
    const char* colon = strrchr(address, ':');
    guint64 number;
    if (!colon || (size_t)(colon - address) >= size ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &number, NULL)) {
        return false;
    }
    memcpy(ip, address, (size_t)(colon - address));
    ip[colon - address] = 0;
    *port = (uint16_t)number;
    return true;
}

static void _wgh_send(struct evhttp_request* request, int status, const char* type,
                      const char* text) {
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", type);
    struct evbuffer* body = evbuffer_new();
    evbuffer_add(body, text, strlen(text));
    evhttp_send_reply(request, status, wgh_reason(status), body);
    evbuffer_free(body);
}

/* Fills in the defaults. */
static wgh_limits _wgh_limits_def(const wgh_limits* limits, const char* name) {
    wgh_limits l = *limits;
    l.head_max = l.head_max ? l.head_max : WGH_HEAD_MAX_DEFAULT;
    l.body_max = l.body_max ? l.body_max : WGH_BODY_MAX_DEFAULT;
    l.idle_seconds = l.idle_seconds ? l.idle_seconds : WGH_IDLE_SECONDS_DEFAULT;
    l.connections_max = l.connections_max ? l.connections_max : WGH_CONNECTIONS_DEFAULT;
    l.held_max = MAX(l.held_max ? l.held_max : WGH_HELD_DEFAULT, l.body_max + 4 * l.head_max);
    l.name = name;
    return l;
}

/* Values of a JSON text, or more: what separates or opens them outside strings. */
typedef struct {
    int64_t values;
    bool in_string;
    bool escaped;
} _wgh_json_count;

static void _wgh_count_byte(_wgh_json_count* count, char byte) {
    if (count->in_string) {
        count->in_string = count->escaped || byte != '"';
        count->escaped = byte == '\\' && !count->escaped;
    } else {
        count->in_string = byte == '"';
        count->values += byte == ',' || byte == ':' || byte == '[' || byte == '{';
    }
}

/* ---- public functions --------------------------------------------------------------------- */

bool wgh_listen(wgh_server* server, struct event_base* base, const char* address,
                const wgh_limits* limits, GError** error) {
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    struct evhttp* http = evhttp_new(base);
    struct evhttp_bound_socket* bound = NULL;
    if (_wgh_split_address(address, ip, sizeof ip, &port)) {
        bound = evhttp_bind_socket_with_handle(http, ip, port);
    }
    if (!bound) {
        g_set_error(error, WG_ERROR, WG_ERROR_IO, "cannot listen on %s: %s", address,
                    g_strerror(errno));
        evhttp_free(http);
        return false;
    }
    char* name = g_strdup(limits->name ? limits->name : address);
    wgh_limits l = _wgh_limits_def(limits, name);
    evhttp_set_max_headers_size(http, l.head_max);
    evhttp_set_max_body_size(http, l.body_max);
    evhttp_set_timeout(http, (int)l.idle_seconds);
    evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                         EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
    struct evconnlistener* listener = evhttp_bound_socket_get_listener(bound);
    *server = (wgh_server){
        .http = http, .guard = _wgh_guard_setup(base, http, listener, &l), .name = name};
    return true;
}

void wgh_close(wgh_server* server) {
    if (server->http) {
        evhttp_free(server->http);
        _wgh_guard_shutdown(server->guard);
        g_free(server->name);
    }
    *server = (wgh_server){0};
}

void wgh_handle(wgh_server* server, wgh_request_cb handler, void* user_data) {
    _wgh_guard_handle(server->guard, handler, user_data);
}

int wgh_connections_of(int64_t descriptors) {
    enum {
        DIVISOR = 8,
        MIN_NUM = 64
    };
    return descriptors > 0 ? (int)MAX(descriptors / DIVISOR, (int64_t)MIN_NUM)
                           : WGH_CONNECTIONS_DEFAULT;
}

int wgh_connections_num(const wgh_server* server) {
    return server->guard ? _wgh_guard_connections(server->guard) : 0;
}

void wgh_print_metrics(const wgh_server* server, const char* port, GString* out) {
    if (server->guard) {
        _wgh_guard_print_metrics(server->guard, port, out);
    }
}

void wgh_update_accepting(wgh_server* server, int64_t files_max) {
    /* The lowest free descriptor, which the kernel assigns, approximates the open files. */
    int lowest_free = dup(STDERR_FILENO);
    if (lowest_free >= 0) {
        close(lowest_free);
    }
    _wgh_guard_set_paused(server->guard, lowest_free < 0 || lowest_free >= files_max);
}

void wgh_reply_json(struct evhttp_request* request, int status, json_t* json) {
    char* text = json_dumps(json, JSON_COMPACT);
    _wgh_send(request, status, "application/json", text ? text : "{}");
    free(text);
    json_decref(json);
}

void wgh_reply_text(struct evhttp_request* request, int status, const char* type,
                    const char* text) {
    _wgh_send(request, status, type, text);
}

void wgh_reply_error(struct evhttp_request* request, const wgh_error* error) {
    json_t* json = error->extra ? error->extra : json_object();
    json_object_set_new(json, "code", json_string(error->code));
    json_object_set_new(json, "verdict", json_string(wg_verdict_name(error->verdict)));
    json_object_set_new(json, "message", json_string(error->message ? error->message : ""));
    struct evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, WGH_HEADER_VERDICT, wg_verdict_name(error->verdict));
    if (error->retry_after > 0) {
        json_object_set_new(json, "retry_after_ms",
                            json_integer((error->retry_after + 999) / WG_USEC_PER_MSEC));
        char seconds[24];
        wg_time whole_seconds = (error->retry_after + WG_USEC_PER_SEC - 1) / WG_USEC_PER_SEC;
        g_snprintf(seconds, sizeof seconds, "%" G_GINT64_FORMAT, whole_seconds);
        evhttp_add_header(headers, "Retry-After", seconds);
    }
    json_t* outer = json_object();
    json_object_set_new(outer, "error", json);
    wgh_reply_json(request, error->status, outer);
}

bool wgh_is_ambiguous(struct evhttp_request* request) {
    const struct evkeyvalq* in = evhttp_request_get_input_headers(request);
    int lengths = 0;
    int codings = 0;
    for (const struct evkeyval* h = in->tqh_first; h; h = h->next.tqe_next) {
        if (strpbrk(h->key, " \t")) {
            return true;
        }
        bool length = g_ascii_strcasecmp(h->key, "Content-Length") == 0;
        bool coding = g_ascii_strcasecmp(h->key, "Transfer-Encoding") == 0;
        lengths += length;
        codings += coding;
        bool digits = strspn(h->value, "0123456789") == strlen(h->value) && h->value[0];
        bool chunked = g_ascii_strcasecmp(h->value, "chunked") == 0;
        if ((length && !digits) || (coding && !chunked)) {
            return true;
        }
    }
    return lengths + codings > 1;
}

const char* wgh_bearer(struct evhttp_request* request) {
    static const char prefix[] = "Bearer ";
    const char* value =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Authorization");
    if (!value || g_ascii_strncasecmp(value, prefix, sizeof prefix - 1) != 0) {
        return NULL;
    }
    return value + sizeof prefix - 1;
}

void wgh_path(struct evhttp_request* request, char* path, size_t size) {
    const char* uri = evhttp_request_get_uri(request);
    size_t length = strcspn(uri, "?#");
    g_strlcpy(path, uri, MIN(size, length + 1));
}

char* wgh_query(struct evhttp_request* request, const char* name) {
    const char* uri = evhttp_request_get_uri(request);
    struct evkeyvalq params;
    if (evhttp_parse_query_str(strchr(uri, '?') ? strchr(uri, '?') + 1 : "", &params) != 0) {
        return NULL;
    }
    char* value = g_strdup(evhttp_find_header(&params, name));
    evhttp_clear_headers(&params);
    return value;
}

const char* wgh_method(struct evhttp_request* request) {
    switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

bool wgh_body_is_small_json(struct evhttp_request* request) {
    struct evbuffer* body = evhttp_request_get_input_buffer(request);
    int num = evbuffer_peek(body, -1, NULL, NULL, 0);
    struct evbuffer_iovec* parts = g_new0(struct evbuffer_iovec, (gsize)MAX(num, 1));
    _wgh_json_count count = {0};
    evbuffer_peek(body, -1, NULL, parts, num);
    for (int i = 0; i < num; i++) {
        const char* bytes = parts[i].iov_base;
        for (size_t at = 0; at < parts[i].iov_len; at++) {
            _wgh_count_byte(&count, bytes[at]);
        }
    }
    g_free(parts);
    return count.values <= WGH_JSON_VALUES_MAX;
}

json_t* wgh_body_json(struct evhttp_request* request, char* message, size_t size) {
    struct evbuffer* body = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(body);
    if (!wgh_body_is_small_json(request)) {
        g_snprintf(message, size, "body has more than %d values", WGH_JSON_VALUES_MAX);
        return NULL;
    }
    const char* text = (const char*)evbuffer_pullup(body, -1);
    json_error_t error;
    json_t* json = json_loadb(text ? text : "", length, JSON_REJECT_DUPLICATES, &error);
    if (!json) {
        g_snprintf(message, size, "body is not JSON: %s (line %d)", error.text, error.line);
    }
    return json;
}

void wgh_free_unanswered(struct evhttp_request* request) {
    if (request && !evhttp_request_get_connection(request)) {
        evhttp_request_free(request);
    }
}

const char* wgh_reason(int status) {
    static const struct {
        int status;
        const char* reason;
    } reasons[] = {{200, "OK"},
                   {400, "Bad Request"},
                   {401, "Unauthorized"},
                   {403, "Forbidden"},
                   {404, "Not Found"},
                   {405, "Method Not Allowed"},
                   {409, "Conflict"},
                   {413, "Content Too Large"},
                   {421, "Misdirected Request"},
                   {429, "Too Many Requests"},
                   {502, "Bad Gateway"},
                   {503, "Service Unavailable"},
                   {504, "Gateway Timeout"}};
    for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++) {
        if (reasons[i].status == status) {
            return reasons[i].reason;
        }
    }
    return "Other";
}
