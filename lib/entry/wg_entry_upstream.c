/* wg_entry_upstream.c -- connections to targets, and answers received on them */
#include "wg_entry_internal.h"
#include "wg_forward.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

enum {
    WG_CONNECT_TIMEOUT = 250 * WG_USEC_PER_MSEC,
    WG_IDLE_TIMEOUT = 4 * WG_USEC_PER_SEC,  /* if the target reports no keep-alive time */
    WG_IDLE_MARGIN = 700 * WG_USEC_PER_MSEC /* subtracted from the reported keep-alive time */
};

static void wg_upstream_on_read(struct bufferevent* bev, void* user_data);
/* Starts the time limit for connecting. */
static void wg_upstream_limit_connecting(wg_upstream* up) {
    struct timeval limit = {.tv_usec = WG_CONNECT_TIMEOUT};
    up->connecting_since = wg_now();
    bufferevent_enable(up->bev, EV_READ | EV_WRITE);
    bufferevent_set_timeouts(up->bev, &limit, &limit);
}

/* Whether connecting took too long only because this process, or its host, stood still. */
static bool wg_upstream_stalled_while_connecting(const wg_upstream* up, short what) {
    return up->state == WG_UPSTREAM_CONNECTING && (what & BEV_EVENT_TIMEOUT) &&
           up->entry->stall_ended_at > up->connecting_since;
}

static void wg_upstream_on_event(struct bufferevent* bev, short what, void* user_data);

/* ---- helpers: counts ------------------------------------------------------------------------ */

static void wg_upstream_count_out(const wg_upstream* up, size_t bytes) {
    up->entry->counters.target_bytes_out += bytes;
    up->entry->counters.target_remote_bytes_out += up->remote ? bytes : 0;
}

static void wg_upstream_count_in(struct evbuffer* buffer, const struct evbuffer_cb_info* info,
                                 void* user_data) {
    (void)buffer;
    wg_upstream* up = user_data;
    up->turn_bytes += info->n_added;
    up->entry->counters.target_bytes_in += info->n_added;
    up->entry->counters.target_remote_bytes_in += up->remote ? info->n_added : 0;
}

/* ---- helpers: idle connections -------------------------------------------------------------- */

static GQueue* wg_upstream_idle(wg_entry* e, uint32_t target) {
    GQueue* queue = g_hash_table_lookup(e->idle, GUINT_TO_POINTER(target));
    if (!queue) {
        queue = g_queue_new();
        g_hash_table_insert(e->idle, GUINT_TO_POINTER(target), queue);
    }
    return queue;
}

static void wg_upstream_clear_answer(wg_upstream* up) {
    wg_answer_clear(&up->answer);
    up->is_event_stream = false;
    wg_upstream_end_pause(up);
    evbuffer_drain(up->content, evbuffer_get_length(up->content));
}

/* Removes the connection from the idle ones, for use or to be closed. */
static void wg_upstream_leave_idle(wg_upstream* up) {
    g_queue_unlink(wg_upstream_idle(up->entry, up->target), &up->idle_link);
    g_queue_unlink(&up->entry->idle_upstreams, &up->idle_order);
    up->state = WG_UPSTREAM_HEAD;
}

static void wg_upstream_enter_idle(wg_upstream* up) {
    up->state = WG_UPSTREAM_IDLE;
    up->idle_link = (GList){.data = up};
    up->idle_order = (GList){.data = up};
    g_queue_push_head_link(wg_upstream_idle(up->entry, up->target), &up->idle_link);
    g_queue_push_tail_link(&up->entry->idle_upstreams, &up->idle_order);
}

void wg_upstream_close(wg_upstream* up) {
    wg_entry* e = up->entry;
    if (up->state == WG_UPSTREAM_IDLE) {
        wg_upstream_leave_idle(up);
    }
    if (up->call) {
        up->call->upstream = NULL;
    }
    e->upstreams_num--;
    wg_entry_ends_forget(up);
    wg_upstream_forget_ask(up);
    wg_upstream_end_pause(up);
    wg_upstream_end_turn(up);
    wg_entry_buffers_remove_upstream(up);
    bufferevent_free(up->bev);
    evbuffer_free(up->content);
    wg_answer_clear(&up->answer);
    g_free(up);
    wg_entry_descriptors_closed(e);
}

void wg_upstream_release(wg_upstream* up) {
    wg_time now = wg_now();
    struct evbuffer* in = bufferevent_get_input(up->bev);
    const wg_target* target = wg_registry_find(up->entry->registry, up->target);
    bool reusable = up->answer.head.keep_alive && evbuffer_get_length(in) == 0 &&
                    evbuffer_get_length(bufferevent_get_output(up->bev)) == 0 &&
                    wg_entry_may_keep(up->entry, target) && !up->entry->stopping;
    wg_time limit = up->answer.head.keep_alive_seconds >= 0
                        ? up->answer.head.keep_alive_seconds * WG_USEC_PER_SEC - WG_IDLE_MARGIN
                        : WG_IDLE_TIMEOUT;
    up->call = NULL;
    if (!reusable || limit <= 0) {
        wg_upstream_close(up);
        return;
    }
    wg_upstream_clear_answer(up);
    up->used = true;
    up->written = false;
    up->idle_since = now;
    up->idle_limit = limit;
    wg_upstream_end_turn(up);
    bufferevent_enable(up->bev, EV_READ);
    wg_upstream_enter_idle(up);
}

static void wg_upstream_close_queue(GQueue* queue) {
    for (wg_upstream* up; (up = g_queue_peek_tail(queue));) {
        wg_upstream_close(up);
    }
}

static bool wg_upstream_is_stale(const GQueue* queue, wg_time now) {
    const wg_upstream* up = queue->tail ? queue->tail->data : NULL;
    return up && now - up->idle_since >= up->idle_limit;
}

void wg_upstream_tick(wg_entry* e, wg_time now) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, e->idle);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GQueue* queue = value;
        while (wg_upstream_is_stale(queue, now)) {
            wg_upstream_close(g_queue_peek_tail(queue));
        }
    }
}

/* Closes idle connections to targets that no longer accept work. */
void wg_upstream_drop_unusable(wg_entry* e) {
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, e->idle);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const wg_target* target = wg_registry_find(e->registry, GPOINTER_TO_UINT(key));
        if (!wg_entry_may_keep(e, target)) {
            wg_upstream_close_queue(value);
        }
        if (!target || target->state == WG_TARGET_REMOVED) {
            g_queue_free(value);
            g_hash_table_iter_remove(&iter);
        }
    }
}

void wg_upstream_shutdown(wg_entry* e) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, e->idle);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_upstream_close_queue(value);
        g_queue_free(value);
    }
    g_hash_table_unref(e->idle);
}

/* ---- helpers: requests ---------------------------------------------------------------------- */

static void wg_upstream_write_request(wg_upstream* up, wg_call* call, const wg_target* target) {
    wg_entry* e = up->entry;
    wg_copy_name(call->sent_version, sizeof call->sent_version, target->version);
    bool confirmed =
        wg_incarnations_is_confirmed(e->incarnations, target->number, up->established_at);
    call->sent_target = confirmed ? 0 : target->number;
    const wg_target* source =
        call->choice.source ? wg_registry_find(e->registry, call->choice.source) : NULL;
    wg_time left = MIN(call->expires_at, call->deadline) - wg_now();
    wg_forward forward = {.head = &call->head,
                          .deadline_ms = MAX(left / WG_USEC_PER_MSEC, 1),
                          .target_id = target->id,
                          .workspace = call->workspace ? call->workspace->name : NULL,
                          .copy_from = source ? source->address : NULL,
                          .last_event = call->last_event,
                          .body_size = evbuffer_get_length(call->body)};
    struct evbuffer* out = evbuffer_new();
    wg_forward_write(e->names, &forward, out);
    evbuffer_add_buffer_reference(out, call->body);
    up->written = true;
    wg_entry_buffers_begin_request(up);
    wg_upstream_count_out(up, evbuffer_get_length(out));
    wg_socket_write(up->bev, out);
    evbuffer_free(out);
    if (up->asked_at) {
        wg_socket_acknowledge_at_once(up->bev);
        up->asked_at = 0;
    }
}

void wg_upstream_begin_exchange(wg_upstream* up) {
    const wg_target* target = wg_registry_find(up->entry->registry, up->target);
    switch (wg_upstream_incarnation_step(up, target)) {
    case WG_INCARNATION_ASK:
        wg_upstream_ask(up, target);
        break;
    case WG_INCARNATION_ASK_LEADER:
        wg_upstream_ask_leader(up);
        break;
    case WG_INCARNATION_AVOID:
        wg_call_attempt_withdrawn(up->call, up, "target-may-have-restarted");
        break;
    default:
        wg_upstream_expect_answer(up, up->call->head_only);
        wg_upstream_write_request(up, up->call, target);
        break;
    }
}

void wg_upstream_send(wg_upstream* up, wg_call* call) {
    up->call = call;
    call->upstream = up;
    if (up->state != WG_UPSTREAM_CONNECTING) { /* else when the connection is established */
        wg_upstream_begin_exchange(up);
    }
}

/* ---- helpers: answers ----------------------------------------------------------------------- */

static void wg_upstream_fail(wg_upstream* up, const char* reason) {
    wg_call* call = up->call;
    if (!call) {
        wg_upstream_close(up);
        return;
    }
    wg_call_attempt_failed(call, up, reason);
}

/* Targets echo the request id; with a different id, the answer belongs to an earlier request.
   Without one, it belongs to none if the target has echoed ids on this connection before: bytes
   that came after an earlier answer. */
static bool wg_upstream_matches_call(wg_upstream* up) {
    wg_text echoed = wg_message_field(&up->answer.head, up->entry->names->request_id);
    if (!up->call->id[0]) {
        return true;
    }
    if (!echoed.text) {
        return !up->echoes;
    }
    up->echoes =
        echoed.size == strlen(up->call->id) && memcmp(echoed.text, up->call->id, echoed.size) == 0;
    return up->echoes;
}

/* Backoff hints apply whichever request the answer belongs to. */
static void wg_upstream_record_hint(wg_upstream* up) {
    wg_entry* e = up->entry;
    wg_backoff_hint hint = {.status = up->answer.head.status};
    for (int i = 0; i < up->answer.head.fields_num; i++) {
        const wg_message_pair* f = &up->answer.head.fields[i];
        wg_backoff_read_field(&hint, e->names->draining, f->name, f->value);
    }
    up->backoff_time = wg_entry_record_answer(e, up->target, &hint, up->call->id);
}

/* The target's answer to a question is complete: the request follows. */
static void wg_upstream_on_told(wg_upstream* up) {
    wg_entry* e = up->entry;
    bool is_usable = wg_upstream_told(up);
    const wg_target* target = wg_registry_find(e->registry, up->target);
    wg_time now = wg_now();
    wg_upstream_clear_answer(up);
    if (!is_usable || wg_entry_basis(e, now) == WG_BASIS_NONE ||
        !wg_call_may_send(up->call, target, now)) {
        wg_call_attempt_withdrawn(up->call, up, "target-may-have-restarted");
        return;
    }
    wg_upstream_begin_exchange(up);
}

/* Reads the answer to a question about the target. */
static void wg_upstream_read_state(wg_upstream* up) {
    wg_answer_state state =
        wg_answer_read_body(&up->answer, bufferevent_get_input(up->bev), up->content);
    if (state == WG_ANSWER_MALFORMED || wg_upstream_is_told_too_much(up)) {
        wg_upstream_fail(up, "state-malformed");
    } else if (state == WG_ANSWER_COMPLETE) {
        wg_upstream_on_told(up);
    }
}

/* Begins to wait for an answer. */
void wg_upstream_expect_answer(wg_upstream* up, bool bodiless) {
    up->state = WG_UPSTREAM_HEAD;
    wg_answer_begin(&up->answer, &(wg_answer_desc){.bodiless = bodiless});
}

/* False if the head is incomplete, or `up` was closed. */
static bool wg_upstream_read_head(wg_upstream* up) {
    switch (wg_answer_read_head(&up->answer, bufferevent_get_input(up->bev))) {
    case WG_ANSWER_MORE:
        return false;
    case WG_ANSWER_TOO_LONG:
        wg_upstream_fail(up, "answer-head-too-long");
        return false;
    case WG_ANSWER_MALFORMED:
        wg_upstream_fail(up, "answer-malformed");
        return false;
    default:
        break;
    }
    wg_upstream_record_hint(up);
    if (!up->asking && !wg_upstream_matches_call(up)) {
        wg_upstream_fail(up, "answer-of-another-request");
        return false;
    }
    wg_text type = wg_message_field(&up->answer.head, "Content-Type");
    static const char event_stream[] = "text/event-stream";
    up->is_event_stream =
        type.size >= sizeof event_stream - 1 &&
        g_ascii_strncasecmp(type.text, event_stream, sizeof event_stream - 1) == 0;
    up->state = WG_UPSTREAM_BODY;
    return true;
}

static void wg_upstream_on_read(struct bufferevent* bev, void* user_data) {
    (void)bev;
    wg_upstream* up = user_data;
    if (up->state == WG_UPSTREAM_IDLE || !up->call) {
        wg_upstream_close(up); /* unsolicited data */
        return;
    }
    wg_upstream_count_turn(up);
    if (up->state == WG_UPSTREAM_HEAD) {
        if (!wg_upstream_read_head(up)) {
            return;
        }
        if (!up->asking && !wg_call_answer_head(up->call, up)) {
            return;
        }
    }
    if (up->state != WG_UPSTREAM_BODY) {
        return;
    }
    if (up->asking) {
        wg_upstream_read_state(up);
        return;
    }
    wg_answer_state state =
        wg_answer_read_body(&up->answer, bufferevent_get_input(up->bev), up->content);
    wg_call* call = up->call;
    if (state == WG_ANSWER_MALFORMED) {
        wg_upstream_fail(up, "answer-body-malformed");
        return;
    }
    if (state == WG_ANSWER_COMPLETE) {
        wg_call_answer_complete(call, up);
        return;
    }
    if (evbuffer_get_length(up->content) > 0) {
        wg_call_answer_data(call, up);
    }
}

/* Takes ownership of `bev`. */
static wg_upstream* wg_upstream_create(wg_entry* e, const wg_target* target,
                                       struct bufferevent* bev) {
    wg_upstream* up = g_new0(wg_upstream, 1);
    up->entry = e;
    up->target = target->number;
    up->content = evbuffer_new();
    up->bev = bev;
    wg_loop_prioritize_connection(bev);
    up->remote = strcmp(target->data_centre, e->settings->data_centre) != 0;
    evbuffer_add_cb(bufferevent_get_input(bev), wg_upstream_count_in, up);
    wg_entry_buffers_add_upstream(up);
    bufferevent_setcb(bev, wg_upstream_on_read, NULL, wg_upstream_on_event, up);
    e->counters.connects++;
    e->upstreams_num++;
    return up;
}

static void wg_upstream_set_up_socket(wg_upstream* up) {
    int on = 1;
    setsockopt(bufferevent_getfd(up->bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    wg_entry_buffers_connected(up);
    bufferevent_set_timeouts(up->bev, NULL, NULL);
    up->established_at = wg_now();
}

static const char* wg_upstream_end_reason(const wg_upstream* up, const wg_socket_end* end) {
    if (up->state == WG_UPSTREAM_CONNECTING) {
        return "no-connection";
    }
    if (!end->orderly) {
        return "connection-reset";
    }
    return end->received ? "connection-closed" : "closed-before-the-request";
}

static void wg_upstream_on_event(struct bufferevent* bev, short what, void* user_data) {
    wg_upstream* up = user_data;
    if (what & BEV_EVENT_CONNECTED) {
        wg_upstream_set_up_socket(up);
        const wg_target* target = wg_registry_find(up->entry->registry, up->target);
        if (!up->call) {
            wg_upstream_close(up);
            return;
        }
        wg_time now = wg_now();
        bool sure = wg_entry_basis(up->entry, now) != WG_BASIS_NONE;
        if (!sure || !wg_call_may_send(up->call, target, now)) {
            wg_call_attempt_withdrawn(up->call, up, "target-takes-no-more");
            return;
        }
        wg_upstream_begin_exchange(up);
        return;
    }
    wg_socket_end end = wg_socket_end_of(bev, what);
    if (wg_upstream_stalled_while_connecting(up, what)) {
        wg_upstream_limit_connecting(up);
        return;
    }
    if (up->state == WG_UPSTREAM_ENDED) {
        return;
    }
    if (up->state == WG_UPSTREAM_BODY && up->call && !up->asking &&
        wg_answer_is_ended_by(&up->answer, end.orderly, end.received)) {
        wg_call_answer_closed(up->call, up);
        return;
    }
    wg_entry_doubt_target(up->entry, up->target);
    if (up->call && up->written) {
        wg_entry_check_target(up->entry, up->call, up);
    }
    wg_upstream_fail(up, wg_upstream_end_reason(up, &end));
}

/* ---- functions of the library --------------------------------------------------------------- */

void wg_upstream_adopt(wg_entry* e, uint32_t number, struct bufferevent* bev) {
    const wg_target* target = wg_registry_find(e->registry, number);
    bool useful = !e->stopping && wg_entry_may_keep(e, target) &&
                  evbuffer_get_length(bufferevent_get_input(bev)) == 0;
    if (!useful || !wg_entry_may_open(e, WG_DESCRIPTORS_TARGET)) {
        bufferevent_free(bev);
        return;
    }
    wg_entry_make_room(e, WG_DESCRIPTORS_TARGET);
    wg_upstream* up = wg_upstream_create(e, target, bev);
    wg_upstream_set_up_socket(up);
    up->idle_since = wg_now();
    up->idle_limit = WG_IDLE_TIMEOUT;
    bufferevent_enable(bev, EV_READ | EV_WRITE);
    wg_upstream_enter_idle(up);
}

void wg_upstream_pause(wg_upstream* up) {
    if (!up->paused) {
        up->paused = true;
        up->paused_at = wg_now();
        up->entry->paused_num++;
        bufferevent_disable(up->bev, EV_READ);
    }
}

void wg_upstream_end_pause(wg_upstream* up) {
    if (up->paused) {
        up->paused = false;
        up->entry->paused_num--;
        if (up->call) {
            up->call->paused_time += wg_now() - up->paused_at;
        }
    }
}

void wg_upstream_resume(wg_upstream* up) {
    if (up->paused) {
        wg_upstream_end_pause(up);
        if (!up->waits_turn) {
            bufferevent_enable(up->bev, EV_READ);
        }
    }
}

bool wg_upstream_has_begun(const wg_upstream* up) {
    return (up->state == WG_UPSTREAM_BODY && !up->asking) || up->state == WG_UPSTREAM_ENDED;
}

bool wg_upstream_has_idle(wg_entry* e, const wg_target* target) {
    return wg_upstream_idle(e, target->number)->head != NULL;
}

wg_upstream* wg_upstream_open(wg_entry* e, const wg_target* target, bool fresh) {
    GQueue* queue = wg_upstream_idle(e, target->number);
    if (!fresh && queue->head) {
        wg_upstream* up = queue->head->data;
        wg_upstream_leave_idle(up);
        return up;
    }
    struct sockaddr_storage address;
    int size;
    if (!wgn_parse_address(target->address, &address, &size)) {
        return NULL;
    }
    wg_entry_make_room(e, WG_DESCRIPTORS_TARGET);
    struct bufferevent* bev =
        bufferevent_socket_new(e->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    wg_upstream* up = wg_upstream_create(e, target, bev);
    wg_upstream_limit_connecting(up);
    if (bufferevent_socket_connect(up->bev, (struct sockaddr*)&address, size) != 0) {
        wg_upstream_close(up);
        return NULL;
    }
    wg_loop_prioritize_connection(up->bev); /* connecting resets the priority */
    return up;
}
