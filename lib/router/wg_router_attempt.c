/* wg_router_attempt.c -- sends attempts to targets and relays their answers */
#include "wg_router_internal.h"

#include <stdlib.h>
#include <string.h>

static void _wgro_fail_attempt(_wgro_attempt_t* attempt);

/* ---- headers ------------------------------------------------------------------------------- */

/* Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that are written anew. */
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

static void _wgro_add_headers(_wgro_call_t* call, const _wgro_attempt_t* attempt,
                              int64_t resume_from, struct evbuffer* out) {
    struct evkeyvalq* in = evhttp_request_get_input_headers(call->request);
    for (struct evkeyval* h = in->tqh_first; h; h = h->next.tqe_next) {
        bool key = g_ascii_strcasecmp(h->key, "Authorization") == 0;
        bool resume = g_ascii_strcasecmp(h->key, "Last-Event-ID") == 0;
        if (!key && !resume && !_wgro_is_hop_header(h->key)) {
            wg_exchange_add_field(out, h->key, h->value);
        }
    }
    wgp_target_info info;
    wgp_query_target_id(call->router->place, call->choice.target, &info);
    wg_exchange_add_field(out, "Host", info.address);
    const wgt_row* workspace = wgt_find_id(call->router->table, call->workspace);
    wg_exchange_add_field(out, "Walnutgate-Workspace", workspace ? workspace->name : "");
    char text[32];
    g_snprintf(text, sizeof text, "%d", attempt->number);
    wg_exchange_add_field(out, "Walnutgate-Attempt", text);
    if (call->prefix) {
        g_snprintf(text, sizeof text, "%016" G_GINT64_MODIFIER "x", call->prefix);
        wg_exchange_add_field(out, "Walnutgate-Prefix", text);
    }
    if (resume_from > 0) {
        g_snprintf(text, sizeof text, "%" G_GINT64_FORMAT, resume_from);
        wg_exchange_add_field(out, "Last-Event-ID", text);
    }
}

/* Fields of a target's answer that callers get; the caller's answer states its length anew. */
void _wgro_copy_fields(const wg_message_head* head, struct evkeyvalq* out) {
    for (int i = 0; i < head->fields_num; i++) {
        char* name = wg_text_dup(head->fields[i].name);
        char* value = wg_text_dup(head->fields[i].value);
        if (!_wgro_is_hop_header(name) && !wg_message_is_hop_field(head, head->fields[i].name)) {
            evhttp_add_header(out, name, value);
        }
        g_free(name);
        g_free(value);
    }
}

/* ---- connections --------------------------------------------------------------------------- */

static void _wgro_conn_free_later(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    _wgro_conn_t* conn = user_data;
    wg_exchange_close(conn->exchange);
    g_free(conn);
}

/* Deferred to the event loop: what is called as an exchange goes on may still use it. */
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
    if (idle->length >= _WGRO_CONNS_PER_TARGET || !wg_exchange_is_usable(conn->exchange)) {
        _wgro_conn_close(conn);
    } else {
        g_queue_push_head(idle, conn);
    }
}

/* Returns an idle connection that can be used, or NULL. */
static _wgro_conn_t* _wgro_conn_take_idle(wgro_router* r, uint32_t target) {
    GQueue* idle = _wgro_idle_conns(r, target);
    for (_wgro_conn_t* conn; (conn = g_queue_pop_head(idle));) {
        if (wg_exchange_is_usable(conn->exchange)) {
            return conn;
        }
        _wgro_conn_close(conn);
    }
    return NULL;
}

static _wgro_conn_t* _wgro_conn_open(wgro_router* r, uint32_t target, bool fresh) {
    _wgro_conn_t* conn = fresh ? NULL : _wgro_conn_take_idle(r, target);
    wgp_target_info info;
    if (conn || !wgp_query_target_id(r->place, target, &info)) {
        return conn;
    }
    wg_exchange* exchange =
        wg_exchange_open(&(wg_exchange_desc){.base = r->base, .address = info.address});
    if (!exchange) {
        return NULL;
    }
    conn = g_new0(_wgro_conn_t, 1);
    conn->router = r;
    conn->target = target;
    conn->exchange = exchange;
    return conn;
}

/* The target may act on the request. */
static void _wgro_on_written(void* user_data) {
    _wgro_attempt_t* attempt = user_data;
    _wgro_call_t* call = _wgro_call_find(attempt->router, attempt->call);
    if (call) {
        _wgro_call_event(call, &(wgc_event){.type = WGC_EVENT_WRITTEN, .attempt = attempt->number});
    }
}

/* ---- relaying ------------------------------------------------------------------------------ */

static void _wgro_resume_reading(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    _wgro_call_t* call = user_data;
    if (call->attempt && call->attempt->paused && call->attempt->conn) {
        call->attempt->paused = false;
        wg_exchange_resume(call->attempt->conn->exchange);
    }
}

static void _wgro_send_head(_wgro_call_t* call) {
    const _wgro_attempt_t* attempt = call->attempt;
    struct evkeyvalq* out = evhttp_request_get_output_headers(call->request);
    _wgro_copy_fields(attempt->head, out);
    wg_text length = wg_message_field(attempt->head, "Content-Length");
    if (length.text && !attempt->stream) {
        char* text = wg_text_dup(length);
        evhttp_add_header(out, "Content-Length", text);
        g_free(text);
    }
    evhttp_send_reply_start(call->request, attempt->status, wgh_reason(attempt->status));
    call->head_sent = true;
}

/* Bytes of the answer that are not written yet count for the caller's connection. */
static void _wgro_count_answer(const _wgro_call_t* call, const _wgro_attempt_t* attempt) {
    if (call->request) {
        wgh_set_kept(call->request, (int64_t)(evbuffer_get_length(attempt->buffered) +
                                              evbuffer_get_length(attempt->ready)));
    }
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
    _wgro_count_answer(call, attempt);
    /* Backpressure: stop reading from the target until the caller has drained its buffer. */
    struct evhttp_connection* caller = evhttp_request_get_connection(call->request);
    struct evbuffer* unsent = bufferevent_get_output(evhttp_connection_get_bufferevent(caller));
    bool over = evbuffer_get_length(unsent) > (size_t)call->router->settings->high_water;
    if (over && !attempt->paused && attempt->conn) {
        attempt->paused = true;
        wg_exchange_pause(attempt->conn->exchange);
    }
}

/* ---- answers of targets --------------------------------------------------------------------- */

/* Applies the backoff that the answer requests from this router. Draining is handled separately. */
static void _wgro_apply_backoff_hint(const _wgro_attempt_t* attempt) {
    wgro_router* r = attempt->router;
    wg_backoff_hint hint = {.status = attempt->status};
    for (int i = 0; i < attempt->head->fields_num; i++) {
        const wg_message_pair* f = &attempt->head->fields[i];
        wg_backoff_read_field(&hint, "", f->name, f->value);
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

static bool _wgro_has_field(const wg_message_head* head, const char* name) {
    return wg_message_field(head, name).text != NULL;
}

/* Reads a number in a field. False if there is none within the limits. */
static bool _wgro_read_number(const wg_message_head* head, const char* name, guint base,
                              guint64 min, guint64 max, guint64* number) {
    char* text = wg_text_dup(wg_message_field(head, name));
    bool good = text && g_ascii_string_to_unsigned(text, base, min, max, number, NULL);
    g_free(text);
    return good;
}

static void _wgro_apply_target_headers(wgro_router* r, _wgro_attempt_t* attempt) {
    const wg_message_head* head = attempt->head;
    guint64 number;
    if (_wgro_read_number(head, "Target-Running", 10, 0, 1000000, &number)) {
        wgp_update_load(r->place, attempt->target, (int)number);
    }
    if (_wgro_has_field(head, "Target-Leaving") &&
        wgp_record_draining(r->place, attempt->target) == WGP_EVENT_DRAINING) {
        wg_log(WG_EVENT_TARGET_LEAVING, "source=answer");
    }
    if (_wgro_read_number(head, "Target-Dropped-Prefix", 16, 1, UINT64_MAX, &number)) {
        wgp_forget_prefix(r->place, number, attempt->target);
    }
    attempt->reported_not_run = _wgro_has_field(head, "Target-Not-Run");
    wg_text version = wg_message_field(head, "Target-Version");
    g_snprintf(attempt->version, sizeof attempt->version, "%.*s", (int)version.size,
               version.text ? version.text : "");
    wgp_record_version(r->place, attempt->target, attempt->version);
    _wgro_apply_backoff_hint(attempt);
}

static bool _wgro_on_head(const wg_message_head* head, void* user_data) {
    _wgro_attempt_t* attempt = user_data;
    static const char event_stream[] = "text/event-stream";
    wg_text type = wg_message_field(head, "Content-Type");
    attempt->head = head;
    attempt->status = head->status;
    attempt->stream = type.size >= sizeof event_stream - 1 &&
                      g_ascii_strncasecmp(type.text, event_stream, sizeof event_stream - 1) == 0;
    _wgro_apply_target_headers(attempt->router, attempt);
    return true;
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

static void _wgro_on_body(struct evbuffer* in, void* user_data) {
    _wgro_attempt_t* attempt = user_data;
    _wgro_call_t* call = _wgro_call_find(attempt->router, attempt->call);
    if (!call) {
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    evbuffer_add_buffer(attempt->buffered, in);
    _wgro_count_answer(call, attempt);
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

/* A stream says itself that it is complete. Another answer that only ended with its connection may
   have been cut off. */
static bool _wgro_is_complete(const _wgro_attempt_t* attempt, wg_exchange_result result) {
    if (attempt->stream) {
        return result != WG_EXCHANGE_FAILED && attempt->done_seen &&
               evbuffer_get_length(attempt->buffered) == 0;
    }
    return result == WG_EXCHANGE_WHOLE;
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

/* The exchange with the target has ended. */
static void _wgro_on_done(wg_exchange_result result, void* user_data) {
    _wgro_attempt_t* attempt = user_data;
    if (attempt->aborted) {
        return; /* _wgro_abort_later() frees the connection and the attempt */
    }
    wgro_router* r = attempt->router;
    _wgro_call_t* call = _wgro_call_find(r, attempt->call);
    bool complete = _wgro_is_complete(attempt, result);
    _wgro_conn_t* conn = attempt->conn;
    attempt->conn = NULL;
    if (call) {
        wgc_event event = {.type = WGC_EVENT_FAILED, .attempt = attempt->number};
        if (result != WG_EXCHANGE_FAILED && attempt->reported_not_run) {
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

static const wg_exchange_handler _wgro_attempt_handler = {.on_written = _wgro_on_written,
                                                          .on_head = _wgro_on_head,
                                                          .on_body = _wgro_on_body,
                                                          .on_done = _wgro_on_done};

/* ---- internal functions -------------------------------------------------------------------- */

static void _wgro_attempt_send(_wgro_call_t* call, _wgro_attempt_t* attempt, int64_t resume_from) {
    struct evbuffer* fields = evbuffer_new();
    _wgro_add_headers(call, attempt, resume_from, fields);
    wg_time remaining = MAX(call->deadline - wg_now(), WG_USEC_PER_MSEC) + WG_USEC_PER_SEC;
    wg_exchange_request request = {.method = wgh_method(call->request),
                                   .target = call->uri,
                                   .fields = fields,
                                   .body = call->body,
                                   .timeout = remaining};
    wg_exchange_send(attempt->conn->exchange, &request, &_wgro_attempt_handler, attempt);
    evbuffer_free(fields);
}

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
    conn->attempt = attempt;
    call->attempt = attempt;
    _wgro_attempt_send(call, attempt, resume_from);
    return true;
}

static void _wgro_abort_later(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    _wgro_attempt_t* attempt = user_data;
    wg_exchange_close(attempt->conn->exchange);
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
            wg_exchange_close(conn->exchange);
            g_free(conn);
        }
        g_queue_free(idle);
    }
    g_hash_table_unref(r->conns);
}
