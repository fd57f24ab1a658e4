/* load.c -- see load.h */
#include "load.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* ---- types -------------------------------------------------------------------------------- */

typedef struct load_t load_t;

typedef struct {
    load_t* load;
    struct evhttp_connection* connection;
    char host[64]; /* address of the connection */
    uint64_t number;
    char id[48];
    char path[96];
    int tries;
    int host_index;
    wg_time begun;
    struct evbuffer* body;
    int64_t tokens;
    bool first_token_seen;
    bool done_seen;
    bool token_wrong;
    bool idle;
} caller_t;

struct load_t {
    const load_desc* desc;
    load_result* result;
    struct event_base* base;
    struct event* tick;
    caller_t* callers;
    char hosts[LOAD_HOSTS_MAX][64];
    int hosts_num;
    struct evhttp_connection* entry_connection;
    bool entry_in_flight;
    wg_time entry_refresh_at;
    wg_time start_time;
    wg_time last_complete_at;
    uint64_t begun;
    int active_num;
};

static void send_request(caller_t* c);
static void next_request(caller_t* c);

/* ---- helpers: entry hosts ------------------------------------------------------------------- */

static void on_entry_hosts(struct evhttp_request* request, void* user_data) {
    load_t* l = user_data;
    l->entry_in_flight = false;
    struct evbuffer* body = request ? evhttp_request_get_input_buffer(request) : NULL;
    size_t size = body ? evbuffer_get_length(body) : 0;
    json_t* json = size ? json_loadb((char*)evbuffer_pullup(body, -1), size, 0, NULL) : NULL;
    json_t* list = json_object_get(json, "entry_hosts");
    if (json_array_size(list) > 0) {
        l->hosts_num = 0;
        size_t i;
        json_t* host;
        json_array_foreach(list, i, host) {
            if (l->hosts_num < LOAD_HOSTS_MAX) {
                g_strlcpy(l->hosts[l->hosts_num++], json_string_value(host), sizeof l->hosts[0]);
            }
        }
        int64_t keep = json_integer_value(json_object_get(json, "keep_ms"));
        l->entry_refresh_at = wg_now() + keep * WG_USEC_PER_MSEC;
    } else {
        l->entry_refresh_at = wg_now() + 50 * WG_USEC_PER_MSEC;
    }
    json_decref(json);
}

static void refresh_entry_hosts(load_t* l, wg_time now) {
    if (!l->desc->follow_entry || l->entry_in_flight || now < l->entry_refresh_at) {
        return;
    }
    /* Ask one of the current entry hosts, or sometimes a first contact. */
    uint64_t pick = wg_jitter(l->desc->seed, (uint64_t)now);
    const char* host = l->hosts_num > 0 && pick % 4 != 0
                           ? l->hosts[pick % (uint64_t)l->hosts_num]
                           : l->desc->hosts[pick % (uint64_t)l->desc->hosts_num];
    char ip[64];
    g_strlcpy(ip, host, sizeof ip);
    char* colon = strrchr(ip, ':');
    *colon = 0;
    if (l->entry_connection) {
        evhttp_connection_free(l->entry_connection);
    }
    l->entry_connection = evhttp_connection_base_new(l->base, NULL, ip, (uint16_t)atoi(colon + 1));
    evhttp_connection_set_timeout(l->entry_connection, 1);
    struct evhttp_request* request = evhttp_request_new(on_entry_hosts, l);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", host);
    l->entry_in_flight = true;
    if (evhttp_make_request(l->entry_connection, request, EVHTTP_REQ_GET,
                            "/v1/entry?workspace=w0") != 0) {
        l->entry_in_flight = false;
    }
}

/* ---- helpers: answers ------------------------------------------------------------------------ */

static bool is_stream(const load_desc* d) {
    return d->kind == LOAD_KIND_STREAM || d->kind == LOAD_KIND_PLAIN_STREAM;
}

/* Tokens carry their number; checks that they arrive in order. */
static void read_stream(caller_t* c) {
    char* line;
    size_t size;
    while ((line = evbuffer_readln(c->body, &size, EVBUFFER_EOL_LF))) {
        const char* content = strstr(line, "\"content\":\"t");
        if (content) {
            int64_t number = g_ascii_strtoll(content + 12, NULL, 10);
            c->token_wrong = c->token_wrong || number != c->tokens + 1;
            c->tokens = number;
            if (!c->first_token_seen) {
                c->first_token_seen = true;
                wg_hist_add(&c->load->result->first_token, wg_now() - c->begun);
            }
        }
        c->done_seen = c->done_seen || strcmp(line, "data: [DONE]") == 0;
        free(line);
    }
}

static void on_chunk(struct evhttp_request* request, void* user_data) {
    caller_t* c = user_data;
    evbuffer_add_buffer(c->body, evhttp_request_get_input_buffer(request));
    if (is_stream(c->load->desc) && evhttp_request_get_response_code(request) == 200) {
        read_stream(c);
    }
}

static void record_complete(caller_t* c) {
    load_t* l = c->load;
    wg_time now = wg_now();
    l->result->complete++;
    l->result->longest_gap = MAX(l->result->longest_gap, now - l->last_complete_at);
    l->last_complete_at = now;
    wg_hist_add(&l->result->latency, now - c->begun);
}

static bool body_contains(caller_t* c, const char* text) {
    size_t size = evbuffer_get_length(c->body);
    const char* body = size ? (const char*)evbuffer_pullup(c->body, -1) : "";
    return memmem(body, size, text, strlen(text)) != NULL;
}

static void check_answer(caller_t* c) {
    const load_desc* d = c->load->desc;
    load_result* r = c->load->result;
    if (is_stream(d)) {
        if (c->token_wrong || (c->done_seen && c->tokens != d->tokens)) {
            r->token_errors++;
        }
        if (!c->done_seen) {
            r->aborted++;
            r->failed++;
            return;
        }
    } else if (!body_contains(c, c->id)) {
        r->mismatched++;
    }
    record_complete(c);
}

static void record_failure(caller_t* c, int status, const char* verdict) {
    load_result* r = c->load->result;
    r->failed++;
    if (c->load->desc->kind == LOAD_KIND_ACTION && strcmp(verdict, "not-run") == 0) {
        g_ptr_array_add(r->not_run_ids, g_strdup(c->id));
    }
    size_t size = MIN(evbuffer_get_length(c->body), sizeof r->last_error - 32);
    g_snprintf(r->last_error, sizeof r->last_error, "%d %s %.*s", status, verdict, (int)size,
               size ? (const char*)evbuffer_pullup(c->body, -1) : "");
}

/* ---- helpers: requests ----------------------------------------------------------------------- */

static void drop_connection(caller_t* c) {
    if (c->connection) {
        evhttp_connection_free(c->connection);
        c->connection = NULL;
    }
}

static void on_retry(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    caller_t* c = user_data;
    drop_connection(c);
    send_request(c);
}

static void schedule_retry(caller_t* c, int wait_ms) {
    c->load->result->retried++;
    c->host_index++;
    struct timeval wait = {.tv_usec = wait_ms * 1000};
    event_base_once(c->load->base, -1, EV_TIMEOUT, on_retry, c, &wait);
}

static void on_next(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    next_request(user_data);
}

static void on_done(struct evhttp_request* request, void* user_data) {
    caller_t* c = user_data;
    load_result* r = c->load->result;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    r->by_status[CLAMP(status, 0, 599)]++;
    c->tries++;
    bool more = c->tries < (c->load->desc->attempts_max ? c->load->desc->attempts_max : 5);
    if (status == 200) {
        check_answer(c);
    } else if (status == 0) {
        /* No answer: only requests that may be repeated are sent again. */
        bool action = c->load->desc->kind == LOAD_KIND_ACTION;
        bool started = c->first_token_seen || evbuffer_get_length(c->body) > 0;
        if (more && !action && !started) {
            r->refused_connections++;
            schedule_retry(c, 20);
            return;
        }
        r->aborted++;
        record_failure(c, 0, "");
    } else {
        const char* verdict =
            evhttp_find_header(evhttp_request_get_input_headers(request), "Walnutgate-Verdict");
        if (more && verdict && strcmp(verdict, "not-run") == 0 && status == 503) {
            schedule_retry(c, 100);
            return;
        }
        record_failure(c, status, verdict ? verdict : "");
    }
    struct timeval now = {0};
    event_base_once(c->load->base, -1, EV_TIMEOUT, on_next, c, &now);
}

static bool select_host(caller_t* c) {
    load_t* l = c->load;
    if (l->hosts_num == 0) {
        return false;
    }
    const char* host = l->hosts[c->host_index % l->hosts_num];
    if (c->connection && strcmp(host, c->host) != 0) {
        drop_connection(c);
    }
    if (!c->connection) {
        char ip[64];
        g_strlcpy(c->host, host, sizeof c->host);
        g_strlcpy(ip, host, sizeof ip);
        char* colon = strrchr(ip, ':');
        *colon = 0;
        c->connection = evhttp_connection_base_new(l->base, NULL, ip, (uint16_t)atoi(colon + 1));
        evhttp_connection_set_timeout(c->connection, 40);
    }
    return true;
}

static void send_request(caller_t* c) {
    const load_desc* d = c->load->desc;
    evbuffer_drain(c->body, evbuffer_get_length(c->body));
    c->tokens = 0;
    c->first_token_seen = c->done_seen = c->token_wrong = false;
    if (!select_host(c)) {
        struct timeval wait = {.tv_usec = 20000};
        event_base_once(c->load->base, -1, EV_TIMEOUT, on_retry, c, &wait);
        return;
    }
    struct evhttp_request* request = evhttp_request_new(on_done, c);
    evhttp_request_set_chunked_cb(request, on_chunk);
    struct evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", c->host);
    evhttp_add_header(headers, "X-Request-Id", c->id);
    if (d->key) {
        char bearer[96];
        g_snprintf(bearer, sizeof bearer, "Bearer %s", d->key);
        evhttp_add_header(headers, "Authorization", bearer);
    }
    enum evhttp_cmd_type method = EVHTTP_REQ_GET;
    const char* path = c->path;
    if (d->kind == LOAD_KIND_ACTION) {
        method = EVHTTP_REQ_POST;
        evhttp_add_header(headers, "Idempotency-Key", c->id);
    }
    if (is_stream(d)) {
        method = EVHTTP_REQ_POST;
        path = "/v1/chat/completions";
        evbuffer_add_printf(evhttp_request_get_output_buffer(request),
                            "{\"model\":\"model\",\"stream\":true,\"max_tokens\":%d,"
                            "\"messages\":[]}",
                            d->tokens);
    }
    if (evhttp_make_request(c->connection, request, method, path) != 0) {
        schedule_retry(c, 20);
    }
}

static void next_request(caller_t* c) {
    load_t* l = c->load;
    const load_desc* d = l->desc;
    bool over = wg_now() - l->start_time >= d->duration || (d->requests && l->begun >= d->requests);
    if (over) {
        c->idle = true;
        if (--l->active_num == 0) {
            event_base_loopbreak(l->base);
        }
        return;
    }
    c->number = l->begun++;
    c->tries = 0;
    c->begun = wg_now();
    g_snprintf(c->id, sizeof c->id, "%s%lu-%lu", d->id_prefix ? d->id_prefix : "q",
               (unsigned long)d->seed, (unsigned long)c->number);
    bool plain = d->kind == LOAD_KIND_PLAIN;
    g_snprintf(c->path, sizeof c->path, "%s/do", plain ? "" : "/v1/app/app");
    if (d->kind == LOAD_KIND_ACTION) {
        g_ptr_array_add(l->result->sent_ids, g_strdup(c->id));
    }
    send_request(c);
}

static void on_tick(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    load_t* l = user_data;
    wg_time now = wg_now();
    refresh_entry_hosts(l, now);
    if (l->desc->on_tick) {
        l->desc->on_tick(l->desc->user_data, now - l->start_time);
    }
}

/* ---- public functions --------------------------------------------------------------------- */

void load_run(const load_desc* desc, load_result* result) {
    *result = (load_result){0};
    result->not_run_ids = g_ptr_array_new_with_free_func(g_free);
    result->sent_ids = g_ptr_array_new_with_free_func(g_free);
    load_t l = {
        .desc = desc, .result = result, .start_time = wg_now(), .last_complete_at = wg_now()};
    l.base = event_base_new();
    l.callers = g_new0(caller_t, desc->callers);
    l.active_num = desc->callers;
    if (!desc->follow_entry) {
        for (int i = 0; i < desc->hosts_num; i++) {
            g_strlcpy(l.hosts[l.hosts_num++], desc->hosts[i], sizeof l.hosts[0]);
        }
    }
    l.tick = event_new(l.base, -1, EV_PERSIST, on_tick, &l);
    struct timeval period = {.tv_usec = 10000};
    event_add(l.tick, &period);
    for (int i = 0; i < desc->callers; i++) {
        caller_t* c = &l.callers[i];
        c->load = &l;
        c->host_index = i;
        c->body = evbuffer_new();
        next_request(c);
    }
    event_base_dispatch(l.base);
    result->elapsed = wg_now() - l.start_time;
    for (int i = 0; i < desc->callers; i++) {
        drop_connection(&l.callers[i]);
        evbuffer_free(l.callers[i].body);
    }
    if (l.entry_connection) {
        evhttp_connection_free(l.entry_connection);
    }
    event_free(l.tick);
    event_base_free(l.base);
    g_free(l.callers);
}

void load_clear(load_result* result) {
    g_ptr_array_unref(result->not_run_ids);
    g_ptr_array_unref(result->sent_ids);
}
