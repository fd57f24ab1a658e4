/* wg_entry_client.c -- callers' connections: strict parsing of requests, limits, timeouts */
#include "wg_entry_internal.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>

enum {
    WG_HEAD_TIMEOUT_START = 3 * WG_USEC_PER_SEC,  /* before a configuration is known */
    WG_IDLE_TIMEOUT_START = 15 * WG_USEC_PER_SEC, /* before a configuration is known */
    WG_ENDING_TIMEOUT = 2 * WG_USEC_PER_SEC,      /* to flush the last answer */
    /* A connection that waits for a request for a shorter time is not closed for lack of
       descriptors: the first request of a new caller, or the next one, may be on its way. */
    WG_IDLE_MIN = 100 * WG_USEC_PER_MSEC,
    WG_LISTEN_BACKLOG = 512
};

/* Seconds; for a body that does not fit. Short, as other hosts may have room. This host has room
   again when bodies were answered or callers that read nothing were cut off. */
static const double WG_BUFFERS_RETRY_AFTER = 0.5;

static void wg_client_process_input(wg_client* client);

/* ---- helpers -------------------------------------------------------------------------------- */

void wg_client_write(wg_client* client, struct evbuffer* bytes) {
    if (client->taken) {
        wg_entry_handoff_write(client, bytes);
    } else {
        wg_socket_write(client->bev, bytes);
    }
}

static void wg_client_leave_idle(wg_client* client) {
    if (client->idle) {
        g_queue_unlink(&client->entry->idle_clients, &client->idle_link);
        client->idle = false;
    }
}

static void wg_client_enter_idle(wg_client* client) {
    wg_client_leave_idle(client);
    client->idle = true;
    client->idle_link = (GList){.data = client};
    g_queue_push_tail_link(&client->entry->idle_clients, &client->idle_link);
}

static void wg_client_free(wg_client* client) {
    wg_client_leave_idle(client);
    GPtrArray* clients = client->entry->clients;
    wg_client* last = clients->pdata[clients->len - 1];
    last->index = client->index;
    g_ptr_array_remove_index_fast(clients, client->index);
    event_free(client->watch);
    wg_entry_buffers_remove_client(client);
    bufferevent_free(client->bev);
    g_free(client->head_bytes);
    g_free(client->head);
    if (client->body_bytes) {
        evbuffer_free(client->body_bytes);
    }
    g_free(client);
}

void wg_client_close(wg_client* client) {
    if (client->handed) {
        wg_entry_handoff_caller_left(client, "caller-left");
    }
    if (client->unsure) {
        wg_entry_lease_forget(client);
    }
    if (client->call) {
        wg_call* call = client->call;
        client->call = NULL;
        call->client = NULL;
        wg_call_caller_disconnected(call);
    }
    if (client->taken) {
        wg_entry_handoff_cut(client);
    } else {
        wg_client_free(client);
    }
}

/* While a call is in progress, only watches for the end of the caller's connection, at a higher
   priority than new requests. Input stays in the socket. */
static void wg_client_watch(wg_client* client, bool busy) {
    if (busy && !client->watched) {
        event_add(client->watch, NULL);
        bufferevent_disable(client->bev, EV_READ);
    } else if (!busy && client->watched) {
        bufferevent_enable(client->bev, EV_READ);
        event_del(client->watch);
    }
    client->watched = busy;
}

/* The caller closed the connection, or sent its next request already. In the latter case the end of
   the connection can only be detected by reading that request. */
static void wg_client_on_watch(evutil_socket_t fd, short what, void* user_data) {
    (void)what;
    wg_client* client = user_data;
    char byte;
    ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR)) {
        wg_client_close(client);
        return;
    }
    wg_client_watch(client, false);
}

static void wg_client_set_state(wg_client* client, wg_client_state state) {
    client->state = state;
    client->state_since = wg_now();
    client->head_started = false;
    client->bytes_examined = 0;
    client->dropping = false;
    client->arrived_at = 0;
    wg_client_watch(client, state == WG_CLIENT_BUSY);
    if (state == WG_CLIENT_HEAD) {
        wg_client_enter_idle(client);
    } else {
        wg_client_leave_idle(client);
    }
}

/* The last answer is flushed: the caller reads the end of the connection after it. */
static void wg_client_end_output(wg_client* client) {
    if (client->by_connection) {
        wg_socket_reset_on_close(client->bev, false);
    }
    shutdown(bufferevent_getfd(client->bev), SHUT_WR);
}

/* Closes once the output is flushed. */
static void wg_client_end(wg_client* client) {
    wg_client_set_state(client, WG_CLIENT_ENDING);
    if (evbuffer_get_length(bufferevent_get_output(client->bev)) == 0) {
        wg_client_end_output(client);
    }
}

void wg_client_refuse(wg_client* client, const wg_error_answer* refusal) {
    client->entry->counters.refused++;
    wg_client_write_error(client, refusal);
}

static void wg_client_reject(wg_client* client, int status, const char* code) {
    if (wg_entry_may_log(client->entry, wg_now())) {
        wg_log(WG_EVENT_CONNECTION_REFUSED, "status=%d code=%s", status, code);
    }
    wg_client_refuse(
        client, &(wg_error_answer){.status = status, .code = code, .verdict = WG_VERDICT_NOT_RUN});
    wg_client_end(client);
}

/* ---- reading -------------------------------------------------------------------------------- */

static size_t wg_client_head_max(const wg_entry* e) {
    return e->config ? (size_t)e->config->limits.head_bytes : WG_HEAD_BYTES_START;
}

static int64_t wg_client_body_max(const wg_entry* e) {
    int64_t limit = e->config ? e->config->limits.body_bytes : WGH_BODY_MAX_DEFAULT;
    return MIN(limit, wg_entry_buffers_body_max(e));
}

/* Whether there is input that was not examined yet. On an overloaded host such a connection must be
   treated neither as idle nor as slow: a request that was sent in time would get no answer or be
   refused as too slow. */
static bool wg_client_has_unread(const wg_client* client) {
    char byte;
    return evbuffer_get_length(bufferevent_get_input(client->bev)) > client->bytes_examined ||
           recv(bufferevent_getfd(client->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Whether the peer has closed, or does not send any more, also if input is left to read. */
static bool wg_client_caller_has_left(const wg_client* client) {
    struct pollfd state = {.fd = bufferevent_getfd(client->bev), .events = POLLRDHUP};
    return poll(&state, 1, 0) > 0;
}

/* Starts the call of a complete request, unless the caller has closed meanwhile. The event loop
   would report that only after the request was sent to a target. */
static void wg_client_start_call(wg_client* client) {
    if (wg_socket_peer_has_closed(client->bev)) {
        client->entry->counters.caller_disconnects++;
        wg_client_close(client);
        return;
    }
    char* bytes = client->head_bytes;
    wg_message_head* head = client->head;
    struct evbuffer* body = client->body_bytes;
    client->head_bytes = NULL;
    client->head = NULL;
    client->body_bytes = NULL;
    wg_client_set_state(client, WG_CLIENT_BUSY);
    wg_entry_lease_begin_call(client, bytes, head, body);
}

/* Refuses a request because the host is above its bound on held bytes: with the body read so far,
   or for another reason. */
static void wg_client_refuse_body(wg_client* client) {
    static const char code[] = "buffers_full";
    wg_entry* e = client->entry;
    e->counters.bodies_refused++;
    if (wg_entry_may_log(e, wg_now())) {
        wg_log(WG_EVENT_CONNECTION_REFUSED, "status=503 code=%s held=%" G_GINT64_FORMAT, code,
               wg_buffers_held(e->buffers));
    }
    evbuffer_drain(client->body_bytes, evbuffer_get_length(client->body_bytes));
    wg_buffers_set_kept(e->buffers, &client->held, 0);
    wg_client_refuse(client, &(wg_error_answer){.status = 503,
                                                .code = code,
                                                .verdict = WG_VERDICT_NOT_RUN,
                                                .retry_after = WG_BUFFERS_RETRY_AFTER});
    wg_client_end(client);
}

/* False if the body is incomplete or was refused. */
static bool wg_client_read_body(wg_client* client) {
    wg_body_state state =
        wg_body_read(&client->body, bufferevent_get_input(client->bev), client->body_bytes);
    if (state == WG_BODY_BAD) {
        wg_client_reject(client, 400, "body_malformed");
        return false;
    }
    if (client->body.decoded > wg_client_body_max(client->entry)) {
        wg_client_reject(client, 413, "body_too_large");
        return false;
    }
    wg_buffers_set_kept(client->entry->buffers, &client->held,
                        (int64_t)evbuffer_get_length(client->body_bytes));
    if (wg_buffers_exceeded(client->entry->buffers)) {
        wg_client_refuse_body(client);
        return false;
    }
    return state == WG_BODY_COMPLETE;
}

static void wg_client_begin_body(wg_client* client, const wg_message_head* head) {
    wg_body_begin(&client->body, head);
    client->head = g_new(wg_message_head, 1);
    *client->head = *head;
    client->body_bytes = evbuffer_new();
    client->keep = head->keep_alive;
    if (wg_text_equals_nocase(wg_message_field(head, "Expect"), "100-continue")) {
        struct evbuffer* out = evbuffer_new();
        evbuffer_add_printf(out, "HTTP/1.1 100 Continue\r\n\r\n");
        wg_socket_write(client->bev, out);
        evbuffer_free(out);
    }
    wg_client_set_state(client, WG_CLIENT_BODY);
}

/* Drops the body of a refused request as far as it has arrived. The request was answered, so a
   malformed body closes the connection without another answer. */
static void wg_client_drop_body(wg_client* client) {
    struct evbuffer* dropped = client->entry->dropped_bytes;
    wg_body_state state = wg_body_read(&client->body, bufferevent_get_input(client->bev), dropped);
    evbuffer_drain(dropped, evbuffer_get_length(dropped));
    if (state == WG_BODY_BAD || client->body.decoded > wg_client_body_max(client->entry)) {
        wg_client_end(client);
    } else if (state == WG_BODY_COMPLETE) {
        wg_client_call_ended(client, !client->entry->stopping);
    }
}

/* A caller that has not sent the body yet, as it waits for "100 Continue", may omit it after an
   error. Whether it does cannot be told from what follows. */
static bool wg_client_may_omit_body(const wg_client* client, const wg_message_head* head) {
    return head->framing != WG_FRAMING_NONE &&
           wg_text_equals_nocase(wg_message_field(head, "Expect"), "100-continue") &&
           evbuffer_get_length(bufferevent_get_input(client->bev)) == 0;
}

/* Answers before the body has arrived. The body is dropped; then the connection can be reused. */
static void wg_client_refuse_on_arrival(wg_client* client, const wg_message_head* head) {
    wg_entry* e = client->entry;
    wg_time now = wg_now();
    size_t unsent = evbuffer_get_length(bufferevent_get_output(client->bev));
    wg_error_answer refusal = {.status = 503,
                               .verdict = WG_VERDICT_NOT_RUN,
                               .code = e->stopping ? "stopping" : "overloaded",
                               .retry_after = wg_entry_overload_retry_after(e, head, now),
                               .keep = head->keep_alive && !e->stopping &&
                                       !wg_client_may_omit_body(client, head) &&
                                       unsent <= WG_BUFFERS_UNREAD_MAX,
                               .head_only = wg_text_equals_nocase(head->method, "HEAD")};
    e->counters.requests++;
    wg_entry_overload_log(e, head, refusal.retry_after, now);
    wg_client_refuse(client, &refusal);
    if (!refusal.keep) {
        wg_client_end(client);
        return;
    }
    wg_body_begin(&client->body, head);
    wg_client_set_state(client, WG_CLIENT_BODY);
    client->dropping = true;
    wg_client_drop_body(client);
}

/* Whether this host reads the request. Otherwise it was refused, or its caller has left. */
static bool wg_client_is_admitted(wg_client* client, const wg_message_head* head) {
    wg_entry* e = client->entry;
    if (!e->overload) {
        return true;
    }
    if (wg_overload_is_limited(e->overload) && wg_client_caller_has_left(client)) {
        e->counters.caller_disconnects++;
        wg_client_close(client);
        return false;
    }
    if (!wg_entry_overload_admits(e, head, wg_now())) {
        wg_client_refuse_on_arrival(client, head);
        return false;
    }
    return true;
}

/* False if the head is incomplete or was refused. */
static bool wg_client_read_head(wg_client* client) {
    struct evbuffer* in = bufferevent_get_input(client->bev);
    size_t max = wg_client_head_max(client->entry);
    size_t have = evbuffer_get_length(in);
    if (have == 0) {
        return false;
    }
    if (!client->head_started) {
        client->head_started = true;
        client->state_since = wg_now();
        wg_client_leave_idle(client);
    }
    size_t look = MIN(have, max + 1);
    const char* bytes = (const char*)evbuffer_pullup(in, (ev_ssize_t)look);
    size_t size = wg_message_head_size(bytes, look);
    if (size == 0 || size > max) {
        client->bytes_examined = have;
        if (have > max) {
            wg_client_reject(client, 431, "head_too_large");
        }
        return false;
    }
    g_free(client->head_bytes);
    client->head_bytes = g_malloc(size);
    client->head_size = size;
    evbuffer_remove(in, client->head_bytes, size);
    wg_message_head head;
    int status = wg_message_parse_request(client->head_bytes, size, &head);
    if (status) {
        wg_client_reject(client, status, "head_malformed");
        return false;
    }
    if (head.framing == WG_FRAMING_LENGTH && head.length > wg_client_body_max(client->entry)) {
        wg_client_reject(client, 413, "body_too_large");
        return false;
    }
    if (!wg_client_is_admitted(client, &head)) {
        return false;
    }
    wg_client_begin_body(client, &head);
    return true;
}

/* Whether the next request waits until the caller has read its earlier answers. Its input then
   stays in the socket. */
static bool wg_client_delays_request(wg_client* client) {
    client->delayed = wg_entry_buffers_delays_request(client);
    if (client->delayed) {
        bufferevent_disable(client->bev, EV_READ);
    }
    return client->delayed;
}

/* The caller has read its answers: continues with its next request. */
static void wg_client_end_delay(wg_client* client) {
    client->delayed = false;
    bufferevent_enable(client->bev, EV_READ);
    bufferevent_trigger(client->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

/* Advances the connection with the input received. */
static void wg_client_process_input(wg_client* client) {
    if (client->dropping) {
        wg_client_drop_body(client);
        return;
    }
    if (client->state == WG_CLIENT_ENDING) {
        struct evbuffer* in = bufferevent_get_input(client->bev);
        evbuffer_drain(in, evbuffer_get_length(in));
        return;
    }
    if (client->state == WG_CLIENT_HEAD && wg_client_delays_request(client)) {
        return;
    }
    if (client->state == WG_CLIENT_HEAD && !wg_client_read_head(client)) {
        return;
    }
    if (client->state == WG_CLIENT_BODY && wg_client_read_body(client)) {
        wg_client_start_call(client);
    }
}

static void wg_client_on_read(struct bufferevent* bev, void* user_data) {
    (void)bev;
    wg_client_process_input(user_data);
}

static void wg_client_on_write(struct bufferevent* bev, void* user_data) {
    (void)bev;
    wg_client* client = user_data;
    if (client->state == WG_CLIENT_ENDING) {
        wg_client_end_output(client);
    } else if (client->call && client->call->upstream) {
        wg_upstream_resume(client->call->upstream);
    } else if (client->handed) {
        wg_entry_handoff_resume(client);
    } else if (client->delayed) {
        wg_client_end_delay(client);
    } else if (client->state == WG_CLIENT_HEAD && !client->head_started && !client->idle) {
        wg_client_enter_idle(client); /* it has read its last answer */
    }
}

static void wg_client_on_event(struct bufferevent* bev, short what, void* user_data) {
    (void)bev;
    (void)what;
    wg_client_close(user_data);
}

/* ---- functions of the library --------------------------------------------------------------- */

void wg_client_delimit_by_connection(wg_client* client) {
    client->by_connection = true;
    client->keep = false;
    if (client->bev) {
        wg_socket_reset_on_close(client->bev, true);
    }
}

void wg_client_call_ended(wg_client* client, bool keep) {
    client->call = NULL;
    client->answered = true;
    wg_buffers_set_kept(client->entry->buffers, &client->held, 0);
    if (client->taken) {
        wg_entry_handoff_answered(client, keep);
        return;
    }
    if (!keep) {
        wg_client_end(client);
        return;
    }
    wg_client_set_state(client, WG_CLIENT_HEAD);
    if (evbuffer_get_length(bufferevent_get_input(client->bev)) > 0) {
        bufferevent_trigger(client->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
    }
}

/* Maximum number of callers' connections, unless the host spares descriptors. Reserves descriptors
   for connections to targets and other hosts: without free descriptors accept() fails and the
   listener wakes the loop continuously. */
static guint wg_client_connections_max(const wg_entry* e) {
    enum {
        CALLERS_MAX_PERCENT = 70,
        DESCRIPTORS_MAX_PERCENT = 95 /* remainder: operator endpoints and closing connections */
    };
    int64_t limit_num = e->settings->callers_max;
    int64_t descriptors = e->settings->descriptors;
    if (descriptors > 0) {
        int64_t others = e->upstreams_num + wgn_query_stats(e->net).links;
        limit_num = MIN(limit_num, descriptors * CALLERS_MAX_PERCENT / 100);
        limit_num = MIN(limit_num, descriptors * DESCRIPTORS_MAX_PERCENT / 100 - others);
    }
    return (guint)MAX(limit_num, 1);
}

/* The caller's connection that has waited longest for a request, or NULL: none that neither sends
   one nor reads its last answer. */
static wg_client* wg_client_oldest_idle(wg_entry* e) {
    wg_client* oldest;
    while ((oldest = g_queue_peek_head(&e->idle_clients)) &&
           (wg_client_has_unread(oldest) ||
            evbuffer_get_length(bufferevent_get_output(oldest->bev)) > 0)) {
        wg_client_leave_idle(oldest);
    }
    return oldest;
}

wg_client* wg_client_longest_idle(wg_entry* e, wg_time now) {
    wg_client* oldest = wg_client_oldest_idle(e);
    return oldest && now - oldest->state_since >= WG_IDLE_MIN ? oldest : NULL;
}

/* Closes the longest idle connection if the limit is reached. False if no connection is idle. A
   host that spares descriptors keeps the connection in any case, as it stops to accept before. */
static bool wg_client_make_room(wg_entry* e) {
    if (e->spares_descriptors) {
        wg_entry_make_room(e, WG_DESCRIPTORS_CALLER);
        return true;
    }
    if (e->clients->len < wg_client_connections_max(e)) {
        return true;
    }
    wg_client* oldest = wg_client_oldest_idle(e);
    if (!oldest) {
        e->counters.callers_refused++;
        return false;
    }
    e->counters.callers_replaced++;
    wg_client_close(oldest);
    return true;
}

static void wg_client_accept(struct evconnlistener* listener, evutil_socket_t fd,
                             struct sockaddr* address, int size, void* user_data) {
    (void)listener;
    (void)address;
    (void)size;
    wg_entry* e = user_data;
    if (!wg_client_make_room(e)) {
        if (wg_entry_may_log(e, wg_now())) {
            wg_log(WG_EVENT_CONNECTION_REFUSED, "code=too_many_callers callers=%u",
                   e->clients->len);
        }
        evutil_closesocket(fd);
        return;
    }
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    wg_client* client = g_new0(wg_client, 1);
    client->entry = e;
    client->bev =
        bufferevent_socket_new(e->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(client->bev, wg_client_on_read, wg_client_on_write, wg_client_on_event,
                      client);
    client->watch = event_new(e->base, fd, EV_READ, wg_client_on_watch, client);
    wg_loop_prioritize_event(client->watch);
    wg_entry_buffers_add_client(client);
    client->index = e->clients->len;
    g_ptr_array_add(e->clients, client);
    wg_client_set_state(client, WG_CLIENT_HEAD);
    bufferevent_enable(client->bev, EV_READ | EV_WRITE);
    wg_entry_descriptors_accepted(e);
}

bool wg_client_listen(wg_entry* e, GError** error) {
    struct sockaddr_storage address;
    int size;
    const char* text = e->settings->callers_listen;
    if (wgn_parse_address(text, &address, &size)) {
        e->listener = evconnlistener_new_bind(e->base, wg_client_accept, e,
                                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                              WG_LISTEN_BACKLOG, (struct sockaddr*)&address, size);
    }
    if (!e->listener) {
        g_set_error(error, WG_ERROR, WG_ERROR_IO, "cannot listen on %s: %s", text,
                    g_strerror(errno));
        return false;
    }
    wg_entry_descriptors_watch_listener(e);
    return true;
}

static wg_time wg_client_head_timeout(const wg_entry* e) {
    return e->config ? e->config->limits.head_time : WG_HEAD_TIMEOUT_START;
}

static wg_time wg_client_idle_timeout(const wg_entry* e) {
    return e->config ? e->config->limits.idle_time : WG_IDLE_TIMEOUT_START;
}

/* Maximum time in the current state; 0: not limited. */
static wg_time wg_client_state_timeout(const wg_client* client) {
    switch (client->state) {
    case WG_CLIENT_HEAD:
        return client->head_started ? wg_client_head_timeout(client->entry)
                                    : wg_client_idle_timeout(client->entry);
    case WG_CLIENT_BODY:
        return wg_client_idle_timeout(client->entry);
    case WG_CLIENT_ENDING:
        return WG_ENDING_TIMEOUT;
    case WG_CLIENT_BUSY:
        break;
    }
    return 0;
}

/* Whether a caller is sending a request that was not answered yet. */
static bool wg_client_is_sending(const wg_client* client) {
    return (client->state == WG_CLIENT_BODY && !client->dropping) ||
           (client->state == WG_CLIENT_HEAD && client->head_started);
}

/* Whether the caller still reads its last answer: the time limit counts from when it last did. */
static bool wg_client_is_reading(const wg_client* client, wg_time now, wg_time limit) {
    const wg_buffers* buffers = client->entry->buffers;
    const wg_buffers_peer* held = &client->held;
    return wg_buffers_is_reading(buffers, now, held) ||
           (held->unread > 0 && wg_buffers_unread_time(buffers, now, held) < limit);
}

/* Whether the connection exceeded the timeout of its state. Unread input extends the timeout, for
   an incomplete request at most to twice its length, so that a slow sender cannot hold a
   connection indefinitely. */
static bool wg_client_is_expired(const wg_client* client, wg_time now) {
    wg_time limit = wg_client_state_timeout(client);
    wg_time spent = now - client->state_since;
    if (limit == 0 || spent < limit) {
        return false;
    }
    if (!wg_client_is_sending(client) && wg_client_is_reading(client, now, limit)) {
        return false;
    }
    bool may_wait =
        wg_client_is_sending(client) ? spent < 2 * limit : client->state == WG_CLIENT_HEAD;
    return !may_wait || !wg_client_has_unread(client);
}

bool wg_client_any_sending(const wg_entry* e) {
    for (guint i = 0; i < e->clients->len; i++) {
        const wg_client* client = e->clients->pdata[i];
        bool may_wait = client->state == WG_CLIENT_HEAD || client->dropping;
        bool waits = may_wait && wg_client_has_unread(client);
        if (waits || wg_client_is_sending(client)) {
            return true;
        }
    }
    return false;
}

size_t wg_client_undelivered(const wg_entry* e) {
    size_t bytes = 0;
    for (guint i = 0; i < e->clients->len; i++) {
        const wg_client* client = e->clients->pdata[i];
        bytes += evbuffer_get_length(bufferevent_get_output(client->bev)) +
                 wg_socket_unacknowledged(bufferevent_getfd(client->bev));
    }
    return bytes;
}

/* Earliest time at which a connection that is not expired can expire. One whose limit is over, but
   whose input was not read yet, is looked at in the next tick. */
static wg_time wg_client_due_at(const wg_client* client, wg_time now) {
    wg_time limit = wg_client_state_timeout(client);
    return limit > 0 ? MAX(client->state_since + limit, now) : WG_TIME_NEVER;
}

/* Looks at all connections only when one of them can have exceeded its limit. States that begin
   later last for the shortest limit at least. */
void wg_client_tick(wg_entry* e, wg_time now) {
    uint64_t version = e->config ? e->config->version : 0;
    if (now < e->clients_due_at && version == e->clients_due_version) {
        return;
    }
    wg_time shortest = MIN(wg_client_head_timeout(e), wg_client_idle_timeout(e));
    e->clients_due_at = now + MIN(shortest, (wg_time)WG_ENDING_TIMEOUT);
    e->clients_due_version = version;
    for (guint i = e->clients->len; i > 0; i--) {
        wg_client* client = e->clients->pdata[i - 1];
        if (!wg_client_is_expired(client, now)) {
            e->clients_due_at = MIN(e->clients_due_at, wg_client_due_at(client, now));
            continue;
        }
        if (wg_client_is_sending(client)) {
            wg_client_reject(client, 408, "request_too_slow");
        } else {
            wg_client_close(client);
        }
    }
}
