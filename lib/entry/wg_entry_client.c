/* wg_entry_client.c -- callers' connections: how they begin and end, limits, timeouts */
#include "wg_entry_client_internal.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
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

/* ---- helpers -------------------------------------------------------------------------------- */

void wg_client_write(wg_client* client, struct evbuffer* bytes) {
    if (client->taken) {
        wg_entry_handoff_write(client, bytes);
    } else {
        wg_socket_write(client->bev, bytes);
    }
}

void wg_client_leave_idle(wg_client* client) {
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
    wg_hangups_forget(&client->hangup);
    wg_entry_buffers_remove_client(client);
    wg_socket_close_and_free(client->bev);
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
        wg_hangups_forget(&client->hangup);
    }
    client->watched = busy;
}

static void wg_client_on_hangup(void* user_data) {
    wg_client_close(user_data);
}

/* The caller closed the connection, or sent its next request already. That stays in the socket, and
   the end of the connection is looked for without reading it. */
static void wg_client_on_watch(evutil_socket_t fd, short what, void* user_data) {
    (void)what;
    wg_client* client = user_data;
    char byte;
    ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR)) {
        wg_client_close(client);
        return;
    }
    wg_hangups_watch(client->entry->hangups, &client->hangup);
}

void wg_client_set_input_max(wg_client* client, size_t bytes) {
    client->input_max = bytes;
    bufferevent_setwatermark(client->bev, EV_READ, 0, bytes);
}

void wg_client_set_state(wg_client* client, wg_client_state state) {
    client->state = state;
    client->state_since = wg_now();
    client->head_started = false;
    client->bytes_examined = 0;
    client->dropping = false;
    client->arrived_at = 0;
    wg_client_watch(client, state == WG_CLIENT_BUSY);
    wg_client_set_input_max(client,
                            state == WG_CLIENT_HEAD ? WG_INPUT_PORTION : WG_INPUT_BODY_PORTION);
    wg_buffers_set_receiving(client->entry->buffers, &client->held,
                             state == WG_CLIENT_HEAD || state == WG_CLIENT_BODY);
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

void wg_client_end(wg_client* client) {
    wg_client_set_state(client, WG_CLIENT_ENDING);
    if (evbuffer_get_length(bufferevent_get_output(client->bev)) == 0) {
        wg_client_end_output(client);
    }
}

void wg_client_refuse(wg_client* client, const wg_error_answer* refusal) {
    client->entry->counters.refused++;
    wg_client_write_error(client, refusal);
}

void wg_client_reject(wg_client* client, int status, const char* code) {
    if (wg_entry_may_log(client->entry, wg_now())) {
        wg_log(WG_EVENT_CONNECTION_REFUSED, "status=%d code=%s", status, code);
    }
    wg_client_refuse(
        client, &(wg_error_answer){.status = status, .code = code, .verdict = WG_VERDICT_NOT_RUN});
    wg_client_end(client);
}

/* Whether there is input that was not examined yet. On an overloaded host such a connection must be
   treated neither as idle nor as slow: a request that was sent in time would get no answer or be
   refused as too slow. */
static bool wg_client_has_unread(const wg_client* client) {
    char byte;
    return evbuffer_get_length(bufferevent_get_input(client->bev)) > client->bytes_examined ||
           recv(bufferevent_getfd(client->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* ---- events ---------------------------------------------------------------------------------- */

/* The caller has read its answers: continues with its next request. */
static void wg_client_end_delay(wg_client* client) {
    client->delayed = false;
    bufferevent_enable(client->bev, EV_READ);
    bufferevent_trigger(client->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

static void wg_client_on_read(struct bufferevent* bev, void* user_data) {
    (void)bev;
    wg_client_receive(user_data);
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
    client->hangup = (wg_hangup){.fd = fd, .on_hangup = wg_client_on_hangup, .user_data = client};
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
    wg_socket_limit_received(evconnlistener_get_fd(e->listener), WG_RECEIVE_BUFFER_MAX);
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
