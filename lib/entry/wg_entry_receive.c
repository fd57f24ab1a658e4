/* wg_entry_receive.c -- reads callers' requests: strict parsing, limits, refusals

   No more is read of a connection than the request needs that is due. What a caller sends ahead
   stays in its socket, except for a portion that came together with the request before. */
#include "wg_entry_client_internal.h"

#include <poll.h>

/* Seconds; for a request that does not fit. Short, as other hosts may have room. This host has room
   again when bodies were answered or callers that read nothing were cut off. */
static const double WG_BUFFERS_RETRY_AFTER = 0.5;

/* ---- helpers --------------------------------------------------------------------------------- */

static size_t wg_client_head_max(const wg_entry* e) {
    return e->config ? (size_t)e->config->limits.head_bytes : WG_HEAD_BYTES_START;
}

static int64_t wg_client_body_max(const wg_entry* e) {
    int64_t limit = e->config ? e->config->limits.body_bytes : WGH_BODY_MAX_DEFAULT;
    return MIN(limit, wg_entry_buffers_body_max(e));
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

/* Refuses the request that is being received, as the host is above its bound on held bytes. */
static void wg_client_refuse_received(wg_client* client) {
    static const char code[] = "buffers_full";
    wg_entry* e = client->entry;
    e->counters.bodies_refused++;
    if (wg_entry_may_log(e, wg_now())) {
        wg_log(WG_EVENT_CONNECTION_REFUSED,
               "status=503 code=%s held=%" G_GINT64_FORMAT " of_caller=%" G_GINT64_FORMAT, code,
               wg_buffers_held(e->buffers), client->held.kept + client->held.ahead);
    }
    if (client->body_bytes) {
        evbuffer_drain(client->body_bytes, evbuffer_get_length(client->body_bytes));
    }
    wg_buffers_set_kept(e->buffers, &client->held, 0);
    if (!client->dropping) {
        wg_client_refuse(client, &(wg_error_answer){.status = 503,
                                                    .code = code,
                                                    .verdict = WG_VERDICT_NOT_RUN,
                                                    .retry_after = WG_BUFFERS_RETRY_AFTER});
    }
    wg_client_end(client);
    struct evbuffer* in = bufferevent_get_input(client->bev);
    evbuffer_drain(in, evbuffer_get_length(in));
}

/* Refuses requests that are being received until the host is within its bound, those of the callers
   that make it hold most first. False if this caller's was one of them. */
static bool wg_client_fits(const wg_client* client) {
    wg_buffers_peer* peer;
    bool fits = true;
    while ((peer = wg_buffers_next_refused(client->entry->buffers))) {
        fits = fits && peer->user_data != client;
        wg_client_refuse_received(peer->user_data);
    }
    return fits;
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
                        (int64_t)(client->head_size + evbuffer_get_length(client->body_bytes)));
    return wg_client_fits(client) && state == WG_BODY_COMPLETE;
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

/* Size of the head at the start of the input, 0 if it is incomplete. `bytes` receives the head.
   Looks at the first part of the buffer alone first: what follows it are later requests mostly. */
static size_t wg_client_find_head(struct evbuffer* in, size_t max, const char** bytes) {
    size_t look = MIN(evbuffer_get_length(in), max + 1);
    size_t first = MIN(evbuffer_get_contiguous_space(in), look);
    *bytes = (const char*)evbuffer_pullup(in, (ev_ssize_t)first);
    size_t size = wg_message_head_size(*bytes, first);
    if (size == 0 && first < look) {
        *bytes = (const char*)evbuffer_pullup(in, (ev_ssize_t)look);
        size = wg_message_head_size(*bytes, look);
    }
    return size;
}

/* A head is incomplete: more of it is read, up to the limit of a head. */
static bool wg_client_await_head(wg_client* client, size_t have, size_t max) {
    client->bytes_examined = have;
    if (have > max) {
        wg_client_reject(client, 431, "head_too_large");
    } else if (wg_client_fits(client) && have >= client->input_max) {
        wg_client_set_input_max(client, max + 1);
    }
    return false;
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
    const char* bytes;
    size_t size = wg_client_find_head(in, max, &bytes);
    if (size == 0 || size > max) {
        return wg_client_await_head(client, have, max);
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

void wg_client_receive(wg_client* client) {
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
