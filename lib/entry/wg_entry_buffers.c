/* wg_entry_buffers.c -- bytes held for callers and targets that read slowly: account, pauses,
   cut-offs */
#include "wg_entry_internal.h"

#include <poll.h>

enum {
    WG_BYTES_PER_MB = 1000 * 1000,
    /* Without the setting `held_mb`, the bound is this part of the memory. */
    WG_HELD_MEMORY_DIVISOR = 4,
    /* What the first callers' connections may make the kernel keep in one direction, as a part of
       the memory, see wg_socket_share(). */
    WG_KERNEL_MEMORY_DIVISOR = 16
};

/* ---- helpers --------------------------------------------------------------------------------- */

static void wg_entry_buffers_count(wg_entry* e, wg_buffers_peer* peer,
                                   const struct evbuffer_cb_info* info) {
    wg_time now = wg_now();
    wg_buffers_record_held(e->buffers, now, peer, (int64_t)info->n_added);
    wg_buffers_record_read(e->buffers, now, peer, (int64_t)info->n_deleted);
}

static void wg_entry_buffers_on_client_output(struct evbuffer* buffer,
                                              const struct evbuffer_cb_info* info,
                                              void* user_data) {
    (void)buffer;
    wg_client* client = user_data;
    wg_entry_buffers_count(client->entry, &client->held, info);
}

static void wg_entry_buffers_on_client_input(struct evbuffer* buffer,
                                             const struct evbuffer_cb_info* info, void* user_data) {
    (void)buffer;
    wg_client* client = user_data;
    wg_buffers_record_ahead(client->entry->buffers, &client->held,
                            (int64_t)info->n_added - (int64_t)info->n_deleted);
}

static void wg_entry_buffers_on_upstream_output(struct evbuffer* buffer,
                                                const struct evbuffer_cb_info* info,
                                                void* user_data) {
    (void)buffer;
    wg_upstream* up = user_data;
    wg_entry_buffers_count(up->entry, &up->held, info);
}

/* Content of an answer that is not relayed yet. */
static void wg_entry_buffers_on_content(struct evbuffer* buffer,
                                        const struct evbuffer_cb_info* info, void* user_data) {
    (void)info;
    wg_upstream* up = user_data;
    wg_buffers_set_kept(up->entry->buffers, &up->held, (int64_t)evbuffer_get_length(buffer));
}

static void wg_entry_buffers_limit_portion(const wg_upstream* up) {
    bufferevent_set_max_single_read(up->bev, (size_t)wg_buffers_portion(up->entry->buffers));
}

/* Pauses the answer to the client as needed. */
static void wg_entry_buffers_check_pause(const wg_client* client) {
    wg_upstream* up = client->call ? client->call->upstream : NULL;
    bool pauses = wg_buffers_pauses(client->entry->buffers, &client->held);
    if (client->handed && pauses) {
        wg_entry_handoff_pause(client);
    } else if (up && (pauses || wg_entry_handoff_is_paused(client))) {
        wg_upstream_pause(up);
    }
}

static void wg_entry_buffers_apply_level_to(const GPtrArray* clients) {
    for (guint i = 0; i < clients->len; i++) {
        const wg_client* client = clients->pdata[i];
        if (client->call && client->call->upstream) {
            wg_entry_buffers_limit_portion(client->call->upstream);
        }
        wg_entry_buffers_check_pause(client);
    }
}

/* Applies the present level to all answers in progress. */
static void wg_entry_buffers_apply_level(wg_entry* e) {
    e->buffers_level = wg_buffers_level_of(e->buffers);
    wg_entry_buffers_apply_level_to(e->clients);
    wg_entry_buffers_apply_level_to(e->taken_clients);
}

static void wg_entry_buffers_log_cut(wg_entry* e, wg_time now, wg_event event, const char* id,
                                     const wg_buffers_peer* peer) {
    if (wg_entry_may_log(e, now)) {
        wg_log(event,
               "id=%s held=%" G_GINT64_FORMAT " unread_ms=%" G_GINT64_FORMAT
               " held_by_host=%" G_GINT64_FORMAT,
               id, peer->unread, wg_buffers_unread_time(e->buffers, now, peer) / WG_USEC_PER_MSEC,
               wg_buffers_held(e->buffers));
    }
}

/* Whether the kernel takes more bytes for the peer: on an overloaded host a peer that reads may
   wait for the loop to write. */
static bool wg_entry_buffers_is_ready(struct bufferevent* bev) {
    struct pollfd fd = {.fd = bufferevent_getfd(bev), .events = POLLOUT};
    return poll(&fd, 1, 0) == 1 && fd.revents == POLLOUT;
}

/* NULL for a caller that is connected to another host. */
static struct bufferevent* wg_entry_buffers_connection(const wg_buffers_peer* peer) {
    const wg_client* client = peer->user_data;
    const wg_upstream* up = peer->user_data;
    return peer->kind == WG_BUFFERS_CALLER ? client->bev : up->bev;
}

static void wg_entry_buffers_cut_caller(wg_client* client, wg_time now) {
    wg_entry* e = client->entry;
    wg_entry_buffers_log_cut(e, now, WG_EVENT_CALLER_CUT, client->last_id, &client->held);
    e->counters.callers_cut++;
    if (client->call) {
        client->call->caller_cut = true;
    }
    if (client->handed) {
        wg_entry_handoff_caller_left(client, "caller-cut");
    }
    if (client->bev) {
        wg_socket_reset_on_close(client->bev, true);
    }
    wg_client_close(client);
}

static void wg_entry_buffers_cut_target(wg_upstream* up, wg_time now) {
    wg_entry* e = up->entry;
    wg_entry_buffers_log_cut(e, now, WG_EVENT_TARGET_CUT, up->call ? up->call->id : "", &up->held);
    e->counters.targets_cut++;
    wg_socket_reset_on_close(up->bev, true);
    if (up->call) {
        wg_call_attempt_failed(up->call, up, "request-unread");
    } else {
        wg_upstream_close(up);
    }
}

/* Bound on the bytes held, see the setting `held_mb`. */
static int64_t wg_entry_buffers_bound(const wg_entry* e) {
    const wg_entry_settings* s = e->settings;
    if (s->held_mb > 0) {
        return (int64_t)(s->held_mb * WG_BYTES_PER_MB);
    }
    return wg_memory_bytes(s->memory_mb) / WG_HELD_MEMORY_DIVISOR;
}

/* Bounds what the kernel keeps of a caller's connection. New ones have the listener's bound, which
   is lowered where there are many. */
static void wg_entry_buffers_limit_kernel(const wg_entry* e, evutil_socket_t fd) {
    int64_t memory = wg_memory_bytes(e->settings->memory_mb);
    int64_t share =
        wg_socket_share(memory / WG_KERNEL_MEMORY_DIVISOR, (int64_t)e->clients->len + 1);
    wg_socket_limit_unsent(fd, share);
    if (share < WG_RECEIVE_BUFFER_MAX) {
        wg_socket_limit_received(fd, share);
    }
}

static struct evbuffer* wg_entry_buffers_output(const wg_client* client) {
    return client->bev ? bufferevent_get_output(client->bev) : wg_entry_handoff_output(client);
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_buffers_setup(wg_entry* e) {
    e->buffers = wg_buffers_setup(
        &(wg_buffers_desc){.bytes_max = wg_entry_buffers_bound(e),
                           .unread_max = e->settings->unread_ms * WG_USEC_PER_MSEC});
}

void wg_entry_buffers_add_client(wg_client* client) {
    wg_entry* e = client->entry;
    client->held.user_data = client;
    wg_buffers_add(e->buffers, &client->held, WG_BUFFERS_CALLER);
    if (client->bev) {
        wg_entry_buffers_limit_kernel(e, bufferevent_getfd(client->bev));
        evbuffer_add_cb(bufferevent_get_input(client->bev), wg_entry_buffers_on_client_input,
                        client);
    }
    evbuffer_add_cb(wg_entry_buffers_output(client), wg_entry_buffers_on_client_output, client);
}

void wg_entry_buffers_remove_client(wg_client* client) {
    evbuffer_remove_cb(wg_entry_buffers_output(client), wg_entry_buffers_on_client_output, client);
    if (client->bev) {
        evbuffer_remove_cb(bufferevent_get_input(client->bev), wg_entry_buffers_on_client_input,
                           client);
    }
    wg_buffers_remove(client->entry->buffers, &client->held);
    wg_entry_descriptors_closed(client->entry);
}

void wg_entry_buffers_add_upstream(wg_upstream* up) {
    up->held.user_data = up;
    wg_buffers_add(up->entry->buffers, &up->held, WG_BUFFERS_TARGET);
    evbuffer_add_cb(bufferevent_get_output(up->bev), wg_entry_buffers_on_upstream_output, up);
    evbuffer_add_cb(up->content, wg_entry_buffers_on_content, up);
}

void wg_entry_buffers_remove_upstream(wg_upstream* up) {
    evbuffer_remove_cb(bufferevent_get_output(up->bev), wg_entry_buffers_on_upstream_output, up);
    evbuffer_remove_cb(up->content, wg_entry_buffers_on_content, up);
    wg_buffers_remove(up->entry->buffers, &up->held);
}

void wg_entry_buffers_connected(const wg_upstream* up) {
    wg_socket_limit_unsent(bufferevent_getfd(up->bev), WG_RECEIVE_BUFFER_MAX);
}

void wg_entry_buffers_begin_request(const wg_upstream* up) {
    wg_entry_buffers_limit_portion(up);
}

void wg_entry_buffers_control(wg_client* client) {
    wg_entry* e = client->entry;
    if (wg_buffers_level_of(e->buffers) != e->buffers_level) {
        wg_entry_buffers_apply_level(e);
    } else {
        wg_entry_buffers_check_pause(client);
    }
}

int64_t wg_entry_buffers_body_max(const wg_entry* e) {
    return wg_entry_buffers_bound(e);
}

bool wg_entry_buffers_delays_request(const wg_client* client) {
    return wg_buffers_pauses(client->entry->buffers, &client->held);
}

void wg_entry_buffers_tick(wg_entry* e, wg_time now) {
    wg_buffers_peer* peer;
    while ((peer = wg_buffers_next_cut(e->buffers, now))) {
        struct bufferevent* connection = wg_entry_buffers_connection(peer);
        if (connection && wg_entry_buffers_is_ready(connection)) {
            wg_buffers_record_ready(e->buffers, now, peer);
        } else if (peer->kind == WG_BUFFERS_CALLER) {
            wg_entry_buffers_cut_caller(peer->user_data, now);
        } else {
            wg_entry_buffers_cut_target(peer->user_data, now);
        }
    }
    wg_buffers_level level = wg_buffers_level_of(e->buffers);
    if (level != WG_BUFFERS_NORMAL || level != e->buffers_level) {
        wg_entry_buffers_apply_level(e);
    }
}

void wg_entry_buffers_print_metrics(const wg_entry* e, GString* out) {
    g_string_append_printf(out,
                           "walnutgate_entry_held_bytes{for=\"callers\"} %" G_GINT64_FORMAT "\n"
                           "walnutgate_entry_held_bytes{for=\"targets\"} %" G_GINT64_FORMAT "\n"
                           "walnutgate_entry_held_bytes{for=\"requests\"} %" G_GINT64_FORMAT "\n"
                           "walnutgate_entry_held_bytes{for=\"input\"} %" G_GINT64_FORMAT "\n"
                           "walnutgate_entry_answers_paused %d\n",
                           wg_buffers_unread(e->buffers, WG_BUFFERS_CALLER),
                           wg_buffers_unread(e->buffers, WG_BUFFERS_TARGET),
                           wg_buffers_kept(e->buffers), wg_buffers_ahead(e->buffers),
                           e->paused_num);
}
