/* wg_router_attempt.c -- sends attempts to targets over evhttp and relays their answers */
#include "wg_router_internal.h"

#include <stdlib.h>
#include <string.h>

static void _wgro_fail_attempt(_wgro_attempt_t* attempt);

/* ---- headers ------------------------------------------------------------------------------- */

/* Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that evhttp writes itself. */
bool _wgro_is_hop_header(const char* name) {
    static const char* hop[] = {
        "Connection", "Keep-Alive", "Proxy-Authenticate", "Transfer-Encoding",   "TE",
        "Trailer",    "Upgrade",    "Proxy-Connection",   "Proxy-Authorization", "Content-Length",
        "Host",       "Expect"};
    for (size_t i = 0; i < G_N_ELEMENTS(hop); i++) {
        if (g_ascii_strcasecmp(name, hop[i]) == 0) {
            return true;
        }
    }
    /* Headers reserved for the fleet, and headers between target and router, are not forwarded. */
    return g_ascii_strncasecmp(name, WGH_HEADER_PREFIX, strlen(WGH_HEADER_PREFIX)) == 0 ||
           g_ascii_strncasecmp(name, "Target-", 7) == 0;
}

static void _wgro_add_headers(_wgro_call_t* call, _wgro_attempt_t* attempt, int64_t resume_from) {
    struct evkeyvalq* out = evhttp_request_get_output_headers(attempt->request);
    struct evkeyvalq* in = evhttp_request_get_input_headers(call->request);
    for (struct evkeyval* h = in->tqh_first; h; h = h->next.tqe_next) {
        bool key = g_ascii_strcasecmp(h->key, "Authorization") == 0;
        bool resume = g_ascii_strcasecmp(h->key, "Last-Event-ID") == 0;
        if (!key && !resume && !_wgro_is_hop_header(h->key)) {
            evhttp_add_header(out, h->key, h->value);
        }
    }
    wgp_target_info info;
    wgp_query_target_id(call->router->place, call->choice.target, &info);
    evhttp_add_header(out, "Host", info.address);
    const wgt_row* workspace = wgt_find_id(call->router->table, call->workspace);
    evhttp_add_header(out, "Walnutgate-Workspace", workspace ? workspace->name : "");
    char text[32];
    g_snprintf(text, sizeof text, "%d", attempt->number);
    evhttp_add_header(out, "Walnutgate-Attempt", text);
    if (call->prefix) {
        g_snprintf(text, sizeof text, "%016" G_GINT64_MODIFIER "x", call->prefix);
        evhttp_add_header(out, "Walnutgate-Prefix", text);
    }
    if (resume_from > 0) {
        g_snprintf(text, sizeof text, "%" G_GINT64_FORMAT, resume_from);
        evhttp_add_header(out, "Last-Event-ID", text);
    }
}

enum {
    /* Answers are read in parts, so what evhttp holds is a line that is not complete. */
    _WGRO_UNPARSED_MAX = 64 * 1024 /* bytes */
};

/* ---- connections --------------------------------------------------------------------------- */

static void _wgro_conn_free_later(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    _wgro_conn_t* conn = user_data;
    evhttp_connection_free(conn->http);
    g_free(conn);
}

/* Deferred to the event loop: evhttp does not allow freeing a connection in its own callbacks. */
static void _wgro_conn_close(_wgro_conn_t* conn) {
    struct timeval no_delay = {0};
    conn->attempt = NULL;
    event_base_once(conn->router->base, -1, EV_TIMEOUT, _wgro_conn_free_later, conn, &no_delay);
}

static GQueue* _wgro_idle_conns(wgro_router* r, uint32_t target) {
    GQueue* idle = g_hash_table_lookup(r->conns, GUINT_TO_POINTER(target));
    if (!idle) {
        idle = g_queue_new();
        g_hash_table_insert(r->conns, GUINT_TO_POINTER(target), idle);
    }
    return idle;
}

static void _wgro_conn_release(_wgro_conn_t* conn) {
    GQueue* idle = _wgro_idle_conns(conn->router, conn->target);
    conn->attempt = NULL;
    if (idle->length >= _WGRO_CONNS_PER_TARGET) {
        _wgro_conn_close(conn);
    } else {
        g_queue_push_head(idle, conn);
    }
}

/* Bytes removed from the output buffer were handed to the kernel: the target may act on them. */
static void _wgro_on_written(struct evbuffer* buffer, const struct evbuffer_cb_info* info,
                             void* user_data) {
    (void)buffer;
    _wgro_conn_t* conn = user_data;
    if (info->n_deleted == 0 || !conn->attempt) {
        return;
    }
    _wgro_attempt_t* attempt = conn->attempt;
    _wgro_call_t* call = _wgro_call_find(attempt->router, attempt->call);
    if (call) {
        _wgro_call_event(call, &(wgc_event){.type = WGC_EVENT_WRITTEN, .attempt = attempt->number});
    }
}

/* The target sends what is no answer, without end. */
static void _wgro_on_flooded(void* user_data) {
    _wgro_conn_t* conn = user_data;
    if (conn->attempt) {
        _wgro_fail_attempt(conn->attempt);
    }
}

static _wgro_conn_t* _wgro_conn_open(wgro_router* r, uint32_t target, bool fresh) {
    GQueue* idle = _wgro_idle_conns(r, target);
    if (!fresh && idle->length > 0) {
        return g_queue_pop_head(idle);
    }
    wgp_target_info info;
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    if (!wgp_query_target_id(r->place, target, &info) ||
        !wgn_split_address(info.address, ip, &port)) {
        return NULL;
    }
    _wgro_conn_t* conn = g_new0(_wgro_conn_t, 1);
    conn->router = r;
    conn->target = target;
    conn->http = evhttp_connection_base_new(r->base, NULL, ip, port);
    evhttp_connection_set_retries(conn->http, 0);
    wgh_bound_answers(&conn->bounds, conn->http,
                      &(wgh_answer_limits){.head_max = WGH_HEAD_MAX_DEFAULT,
                                           .unparsed_max = _WGRO_UNPARSED_MAX,
                                           .on_exceeded = _wgro_on_flooded,
                                           .user_data = conn});
    struct bufferevent* bev = evhttp_connection_get_bufferevent(conn->http);
    evbuffer_add_cb(bufferevent_get_output(bev), _wgro_on_written, conn);
    return conn;
}

/* ---- relaying ------------------------------------------------------------------------------ */

static void _wgro_resume_reading(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    _wgro_call_t* call = user_data;
    if (call->attempt && call->attempt->paused && call->attempt->conn) {
        call->attempt->paused = false;
        bufferevent_enable(evhttp_connection_get_bufferevent(call->attempt->conn->http), EV_READ);
    }
}

static void _wgro_send_head(_wgro_call_t* call) {
    struct evkeyvalq* in = evhttp_request_get_input_headers(call->attempt->request);
    struct evkeyvalq* out = evhttp_request_get_output_headers(call->request);
    for (struct evkeyval* h = in->tqh_first; h; h = h->next.tqe_next) {
        bool length = g_ascii_strcasecmp(h->key, "Content-Length") == 0 && !call->attempt->stream;
        if (length || !_wgro_is_hop_header(h->key)) {
            evhttp_add_header(out, h->key, h->value);
        }
    }
    evhttp_send_reply_start(call->request, call->attempt->status,
                            wgh_reason(call->attempt->status));
    call->head_sent = true;
}

void _wgro_relay(_wgro_call_t* call) {
    _wgro_attempt_t* attempt = call->attempt;
    if (!call->request || !attempt) {
        return;
    }
    if (!call->head_sent) {
        _wgro_send_head(call);
    }
    struct evbuffer* ready = attempt->stream ? attempt->ready : attempt->buffered;
    if (evbuffer_get_length(ready) == 0) {
        return;
    }
    evhttp_send_reply_chunk_with_cb(call->request, ready, _wgro_resume_reading, call);
    /* Backpressure: stop reading from the target until the caller has drained its buffer. */
    struct evhttp_connection* caller = evhttp_request_get_connection(call->request);
    struct evbuffer* unsent = bufferevent_get_output(evhttp_connection_get_bufferevent(caller));
    bool over = evbuffer_get_length(unsent) > (size_t)call->router->settings->high_water;
    if (over && !attempt->paused && attempt->conn) {
        attempt->paused = true;
        bufferevent_disable(evhttp_connection_get_bufferevent(attempt->conn->http), EV_READ);
    }
}

/* ---- answers of targets --------------------------------------------------------------------- */

/* Applies the backoff that the answer requests from this router. Draining is handled separately. */
static void _wgro_apply_backoff_hint(const _wgro_attempt_t* attempt, const struct evkeyvalq* in) {
    wgro_router* r = attempt->router;
    wg_backoff_hint hint = {.status = attempt->status};
    for (const struct evkeyval* h = in->tqh_first; h; h = h->next.tqe_next) {
        wg_backoff_read_field(&hint, "", (wg_text){h->key, strlen(h->key)},
                              (wg_text){h->value, strlen(h->value)});
    }
    int64_t unix_time = g_get_real_time() / WG_USEC_PER_SEC;
    if (wgp_record_answer(r->place, wg_now(), attempt->target, &hint, unix_time) ==
        WGP_EVENT_BACKOFF) {
        wgp_target_info info;
        wgp_query_target_id(r->place, attempt->target, &info);
        r->counters.backoffs++;
        wg_log(WG_EVENT_TARGET_RESTS, "target=%s rest_ms=%" G_GINT64_FORMAT, info.name,
               wg_backoff_hint_period(&hint, unix_time,
                                      r->settings->target_rest_max_s * WG_USEC_PER_SEC) /
                   WG_USEC_PER_MSEC);
    }
}

static void _wgro_apply_target_headers(wgro_router* r, _wgro_attempt_t* attempt) {
    struct evkeyvalq* in = evhttp_request_get_input_headers(attempt->request);
    const char* running = evhttp_find_header(in, "Target-Running");
    guint64 number;
    if (running && g_ascii_string_to_unsigned(running, 10, 0, 1000000, &number, NULL)) {
        wgp_update_load(r->place, attempt->target, (int)number);
    }
    if (evhttp_find_header(in, "Target-Leaving") &&
        wgp_record_draining(r->place, attempt->target) == WGP_EVENT_DRAINING) {
        wg_log(WG_EVENT_TARGET_LEAVING, "source=answer");
    }
    const char* dropped = evhttp_find_header(in, "Target-Dropped-Prefix");
    if (dropped && g_ascii_string_to_unsigned(dropped, 16, 1, UINT64_MAX, &number, NULL)) {
        wgp_forget_prefix(r->place, number, attempt->target);
    }
    attempt->reported_not_run = evhttp_find_header(in, "Target-Not-Run") != NULL;
    const char* version = evhttp_find_header(in, "Target-Version");
    g_strlcpy(attempt->version, version ? version : "", sizeof attempt->version);
    wgp_record_version(r->place, attempt->target, attempt->version);
    _wgro_apply_backoff_hint(attempt, in);
}

static int _wgro_on_head(struct evhttp_request* request, void* user_data) {
    _wgro_attempt_t* attempt = user_data;
    if (wgh_refuse_informational(request, NULL) != 0) {
        return -1;
    }
    struct evkeyvalq* in = evhttp_request_get_input_headers(request);
    const char* type = evhttp_find_header(in, "Content-Type");
    const char* coding = evhttp_find_header(in, "Transfer-Encoding");
    attempt->status = evhttp_request_get_response_code(request);
    attempt->stream = type && g_ascii_strncasecmp(type, "text/event-stream", 17) == 0;
    attempt->length_known = evhttp_find_header(in, "Content-Length") ||
                            (coding && g_ascii_strcasecmp(coding, "chunked") == 0);
    _wgro_apply_target_headers(attempt->router, attempt);
    return 0;
}

static void _wgro_fail_attempt(_wgro_attempt_t* attempt) {
    _wgro_call_t* call = _wgro_call_find(attempt->router, attempt->call);
    if (call) {
        _wgro_call_event(call, &(wgc_event){.type = WGC_EVENT_FAILED, .attempt = attempt->number});
    }
}

/* Moves complete events to `ready`, without tokens that an earlier attempt already relayed. False
   when an event is too long or tokens are missing. */
static bool _wgro_read_events(_wgro_call_t* call, _wgro_attempt_t* attempt) {
    for (;;) {
        struct evbuffer* out = evbuffer_new();
        wgx_sse_event event;
        wgx_sse_result result = wgx_sse_next(attempt->buffered, out, &event);
        if (result != WGX_SSE_EVENT) {
            evbuffer_free(out);
            return result == WGX_SSE_INCOMPLETE;
        }
        bool token = event.data && !event.done;
        /* An event with data but without an id counts as the next token. */
        int64_t id = event.id >= 0 ? event.id : call->tokens + 1;
        bool repeated = token && id <= call->tokens;
        bool gap = token && id > call->tokens + 1;
        attempt->usage = event.usage ? event.cost : attempt->usage;
        attempt->done_seen = attempt->done_seen || event.done;
        if (token && !repeated && !gap) {
            call->tokens = id;
        }
        if (!repeated && !gap) {
            evbuffer_add_buffer(attempt->ready, out);
        }
        evbuffer_free(out);
        if (gap) {
            return false;
        }
    }
}

/* The first events that are relayed bind the stream to the software version of their target. */
static void _wgro_bind_version(_wgro_call_t* call, const _wgro_attempt_t* attempt) {
    if (!call->version) {
        g_strlcpy(call->version_text, attempt->version, sizeof call->version_text);
        call->version = call->version_text;
    }
}

/* Whether the stream began at another software version: what two versions write does not fit
   together. */
static bool _wgro_began_elsewhere(_wgro_call_t* call, const _wgro_attempt_t* attempt) {
    call->other_version = call->version && strcmp(call->version, attempt->version) != 0;
    return call->other_version;
}

static void _wgro_on_stream_data(_wgro_call_t* call, _wgro_attempt_t* attempt) {
    if (_wgro_began_elsewhere(call, attempt)) {
        evbuffer_drain(attempt->buffered, evbuffer_get_length(attempt->buffered));
        _wgro_fail_attempt(attempt);
        return;
    }
    bool valid = _wgro_read_events(call, attempt);
    if (evbuffer_get_length(attempt->ready) > 0) {
        _wgro_bind_version(call, attempt);
        if (call->machine.head_relayed) {
            _wgro_relay(call);
        } else {
            _wgro_call_event(call,
                             &(wgc_event){.type = WGC_EVENT_HEAD, .attempt = attempt->number});
        }
        _wgro_call_event(call, &(wgc_event){.type = WGC_EVENT_PROGRESS,
                                            .attempt = attempt->number,
                                            .tokens = call->tokens});
        wgq_charge(call->router->services[call->service].queue, call->queued, call->tokens);
    }
    if (!valid) {
        _wgro_fail_attempt(attempt);
    }
}

static void _wgro_on_chunk(struct evhttp_request* request, void* user_data) {
    _wgro_attempt_t* attempt = user_data;
    _wgro_call_t* call = _wgro_call_find(attempt->router, attempt->call);
    struct evbuffer* in = evhttp_request_get_input_buffer(request);
    if (!call) {
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    evbuffer_add_buffer(attempt->buffered, in);
    if (attempt->stream) {
        _wgro_on_stream_data(call, attempt);
    } else if (evbuffer_get_length(attempt->buffered) > _WGRO_BUFFERED_ANSWER_MAX ||
               call->head_sent) {
        if (call->machine.head_relayed) {
            _wgro_relay(call);
        } else {
            _wgro_call_event(call,
                             &(wgc_event){.type = WGC_EVENT_HEAD, .attempt = attempt->number});
        }
    }
}

static bool _wgro_is_complete(const _wgro_attempt_t* attempt) {
    if (attempt->stream) {
        return attempt->done_seen && evbuffer_get_length(attempt->buffered) == 0;
    }
    return attempt->length_known;
}

static void _wgro_read_usage(_wgro_call_t* call, _wgro_attempt_t* attempt) {
    bool model = strcmp(call->router->services[call->service].row.service.kind, "model") == 0;
    if (model && !attempt->stream && !call->head_sent) {
        size_t size = evbuffer_get_length(attempt->buffered);
        const char* text = (const char*)evbuffer_pullup(attempt->buffered, -1);
        attempt->usage = text ? wgx_usage_cost(text, size) : -1;
    }
}

static void _wgro_attempt_free(_wgro_attempt_t* attempt) {
    evbuffer_free(attempt->buffered);
    evbuffer_free(attempt->ready);
    g_free(attempt);
}

/* The exchange with the target has ended; `request` is NULL or has no status when it failed. */
static void _wgro_on_done(struct evhttp_request* request, void* user_data) {
    _wgro_attempt_t* attempt = user_data;
    if (attempt->aborted) {
        return; /* _wgro_abort_later() frees the connection and the attempt */
    }
    wgro_router* r = attempt->router;
    _wgro_call_t* call = _wgro_call_find(r, attempt->call);
    bool answered = request && evhttp_request_get_response_code(request) != 0;
    bool complete = answered && _wgro_is_complete(attempt);
    _wgro_conn_t* conn = attempt->conn;
    attempt->conn = NULL;
    /* After a complete answer the connection is idle; otherwise it is closed below. */
    if (answered && complete) {
        conn->attempt = NULL;
    }
    if (call) {
        wgc_event event = {.type = WGC_EVENT_FAILED, .attempt = attempt->number};
        if (answered && attempt->reported_not_run) {
            event.type = WGC_EVENT_NOT_RUN_REPORTED;
        } else if (complete) {
            event.type = WGC_EVENT_COMPLETE;
            _wgro_read_usage(call, attempt);
            wgp_record_prefix(r->place, call->prefix, attempt->target);
        }
        _wgro_call_event(call, &event);
    }
    if (complete) {
        _wgro_conn_release(conn);
    } else {
        _wgro_conn_close(conn);
    }
    _wgro_attempt_free(attempt);
}

/* ---- internal functions -------------------------------------------------------------------- */

bool _wgro_attempt_begin(_wgro_call_t* call, int number, int64_t resume_from) {
    wgro_router* r = call->router;
    /* The target may just have closed an idle connection, and then it is unknown whether the
       request ran. A request that must not be repeated gets a new connection. */
    bool fresh = !call->machine.desc.repeatable;
    if (!wgp_may_send(r->place, wg_now(), call->choice.target)) {
        return false; /* the target has started draining or requested backoff since the pick */
    }
    call->other_version = !wgp_has_version(r->place, call->choice.target, call->version);
    if (call->other_version) {
        return false; /* none of the stream's version has a free slot; tried again after a wait */
    }
    _wgro_conn_t* conn = _wgro_conn_open(r, call->choice.target, fresh);
    if (!conn || !call->request) {
        if (conn) {
            _wgro_conn_release(conn);
        }
        return false;
    }
    _wgro_attempt_t* attempt = g_new0(_wgro_attempt_t, 1);
    attempt->router = r;
    attempt->call = call->handle;
    attempt->number = number;
    attempt->target = call->choice.target;
    attempt->conn = conn;
    attempt->usage = -1;
    attempt->buffered = evbuffer_new();
    attempt->ready = evbuffer_new();
    attempt->request = evhttp_request_new(_wgro_on_done, attempt);
    evhttp_request_set_chunked_cb(attempt->request, _wgro_on_chunk);
    evhttp_request_set_header_cb(attempt->request, _wgro_on_head);
    _wgro_add_headers(call, attempt, resume_from);
    evbuffer_add_buffer_reference(evhttp_request_get_output_buffer(attempt->request), call->body);
    wg_time remaining = MAX(call->deadline - wg_now(), WG_USEC_PER_MSEC) + WG_USEC_PER_SEC;
    struct timeval timeout = {.tv_sec = remaining / WG_USEC_PER_SEC,
                              .tv_usec = remaining % WG_USEC_PER_SEC};
    evhttp_connection_set_timeout_tv(conn->http, &timeout);
    conn->attempt = attempt;
    call->attempt = attempt;
    enum evhttp_cmd_type command = evhttp_request_get_command(call->request);
    if (evhttp_make_request(conn->http, attempt->request, command, call->uri) != 0) {
        /* evhttp has freed the request and will not invoke its callbacks. */
        conn->attempt = NULL;
        call->attempt = NULL;
        _wgro_conn_close(conn);
        _wgro_attempt_free(attempt);
        return false;
    }
    return true;
}

static void _wgro_abort_later(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    _wgro_attempt_t* attempt = user_data;
    evhttp_connection_free(attempt->conn->http);
    g_free(attempt->conn);
    _wgro_attempt_free(attempt);
}

void _wgro_attempt_abort(_wgro_attempt_t* attempt) {
    attempt->call = (wg_handle){0};
    if (!attempt->conn || attempt->aborted) {
        return; /* _wgro_on_done() or _wgro_abort_later() frees the attempt */
    }
    /* Closing the connection cancels the request at the target. */
    struct timeval no_delay = {0};
    attempt->aborted = true;
    attempt->conn->attempt = NULL;
    event_base_once(attempt->router->base, -1, EV_TIMEOUT, _wgro_abort_later, attempt, &no_delay);
}

void _wgro_conns_shutdown(wgro_router* r) {
    GHashTableIter iter;
    gpointer idle;
    g_hash_table_iter_init(&iter, r->conns);
    while (g_hash_table_iter_next(&iter, NULL, &idle)) {
        _wgro_conn_t* conn;
        while ((conn = g_queue_pop_head(idle))) {
            evhttp_connection_free(conn->http);
            g_free(conn);
        }
        g_queue_free(idle);
    }
    g_hash_table_unref(r->conns);
}
