/* wg_entry_incarnation.c -- asks targets when they started, see lib/incarnation

   A target answers `GET` on the path `wg_entry_names.state` with a JSON object whose member `born`
   is the start time of its process, as in its heartbeats. The question goes out on the connection
   on which the request follows. */
#include "wg_entry_internal.h"

#include <string.h>

enum {
    WG_STATE_BYTES_MAX = 64 * 1024, /* of a target's answer */
    WG_STATE_TIMEOUT = 250 * WG_USEC_PER_MSEC,
    WG_HEARD_TIME_MAX = 600 * WG_USEC_PER_SEC, /* longer times in a message are not believed */
    /* Shorter than that, no target ends and starts again while its connections' ends are unread. */
    WG_RESTART_TIME_MIN = 200 * WG_USEC_PER_MSEC
};

/* ---- helpers --------------------------------------------------------------------------------- */

/* Whether other requests may continue the stream that this one begins. */
static bool wg_call_can_begin_stream(const wg_call* call) {
    return call->route->resumable;
}

/* A target that states no start time in its heartbeats does not restart under its id. */
static bool wg_entry_may_restart(const wg_entry* e, const wg_target* target) {
    return e->names->state && target->born != 0;
}

static wg_incarnation_answer wg_upstream_read_born(const wg_upstream* up, const wg_target* target) {
    enum {
        MISDIRECTED = 421 /* it is not the target that was asked for */
    };
    if (up->answer.head.status == MISDIRECTED) {
        return WG_INCARNATION_OTHER;
    }
    size_t size = evbuffer_get_length(up->content);
    const char* text = (const char*)evbuffer_pullup(up->content, -1);
    json_t* json = up->answer.head.status == 200 && text ? json_loadb(text, size, 0, NULL) : NULL;
    json_t* born = json_object_get(json, "born");
    wg_incarnation_answer answer = WG_INCARNATION_UNTOLD;
    if (json_is_integer(born)) {
        bool same = (uint64_t)json_integer_value(born) == target->born;
        answer = same ? WG_INCARNATION_SAME : WG_INCARNATION_OTHER;
    }
    json_decref(json);
    return answer;
}

static void wg_upstream_log_answer(const wg_upstream* up, const wg_target* target,
                                   wg_incarnation_answer answer) {
    static const char* const names[] = {[WG_INCARNATION_UNTOLD] = "untold",
                                        [WG_INCARNATION_SAME] = "same",
                                        [WG_INCARNATION_OTHER] = "other"};
    if (answer != WG_INCARNATION_SAME && wg_entry_may_log(up->entry, wg_now())) {
        wg_log(WG_EVENT_TARGET_IDENTITY,
               "target=%u id=%s born=%" G_GUINT64_FORMAT " answer=%s status=%d request=%s",
               up->target, target->id, target->born, names[answer], up->answer.head.status,
               up->call->id);
    }
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_incarnations_setup(wg_entry* e) {
    e->incarnations = wg_incarnations_setup();
    e->target_asks = g_hash_table_new(g_int64_hash, g_int64_equal);
    wg_incarnations_doubt_all(e->incarnations, wg_now());
}

void wg_entry_incarnations_shutdown(wg_entry* e) {
    g_hash_table_unref(e->target_asks);
    wg_incarnations_shutdown(e->incarnations);
}

void wg_entry_incarnations_record_stall(wg_entry* e, wg_time duration) {
    if (duration >= WG_RESTART_TIME_MIN) {
        wg_incarnations_doubt_all(e->incarnations, wg_now());
    }
}

void wg_entry_doubt_target(wg_entry* e, uint32_t target) {
    wg_incarnations_doubt(e->incarnations, wg_now(), target);
}

bool wg_call_may_choose_incarnation(const wg_call* call, const wg_target* target, wg_time now) {
    const wg_entry* e = call->entry;
    bool concerns = call->version || wg_call_can_begin_stream(call);
    return !concerns || !wg_entry_may_restart(e, target) ||
           wg_incarnations_may_choose(e->incarnations, now, target->number, call->version != NULL);
}

wg_incarnation_step wg_upstream_incarnation_step(const wg_upstream* up, const wg_target* target) {
    const wg_entry* e = up->entry;
    const wg_call* call = up->call;
    wg_time now = wg_now();
    if (!wg_entry_may_restart(e, target)) {
        return WG_INCARNATION_SURE;
    }
    if (call->version) {
        return wg_incarnations_continue(e->incarnations, now, target->number, up->established_at);
    }
    return wg_call_can_begin_stream(call)
               ? wg_incarnations_begin(e->incarnations, now, target->number)
               : WG_INCARNATION_SURE;
}

void wg_upstream_ask(wg_upstream* up, const wg_target* target) {
    wg_entry* e = up->entry;
    struct timeval limit = {.tv_usec = WG_STATE_TIMEOUT};
    struct evbuffer* out = evbuffer_new();
    wg_upstream_expect_answer(up, false);
    up->asking = true;
    up->asked_at = wg_now();
    e->counters.incarnation_questions++;
    evbuffer_add_printf(out, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", e->names->state,
                        target->address, e->names->expected_target, target->id);
    bufferevent_set_timeouts(up->bev, &limit, &limit);
    wg_socket_write(up->bev, out);
    evbuffer_free(out);
}

void wg_upstream_ask_leader(wg_upstream* up) {
    wg_entry* e = up->entry;
    if (!e->leader_known || !e->link_up || e->on_standby) {
        wg_incarnations_heard(e->incarnations, wg_now(), up->target, &(wg_heartbeats){0});
        wg_call_attempt_withdrawn(up->call, up, "target-may-have-restarted");
        return;
    }
    struct timeval limit = {.tv_usec = WG_STATE_TIMEOUT};
    Wgpb__TargetAsk ask = WGPB__TARGET_ASK__INIT;
    up->state = WG_UPSTREAM_HEAD;
    up->leader_ticket = ++e->counter;
    ask.ticket = up->leader_ticket;
    ask.target = up->target;
    g_hash_table_insert(e->target_asks, &up->leader_ticket, up);
    bufferevent_set_timeouts(up->bev, &limit, &limit);
    wgn_send(e->net, e->link, WGW_TYPE_TARGET_ASK, &ask.base);
}

void wg_upstream_forget_ask(wg_upstream* up) {
    if (up->leader_ticket) {
        g_hash_table_remove(up->entry->target_asks, &up->leader_ticket);
        up->leader_ticket = 0;
    }
}

static void wg_entry_apply_target_answer(wg_entry* e, const Wgpb__TargetAnswer* in) {
    wg_upstream* up = g_hash_table_lookup(e->target_asks, &in->ticket);
    if (!up || up->target != in->target) {
        return;
    }
    wg_heartbeats heartbeats = {in->heard, (wg_time)MIN(in->silent_us, (uint64_t)WG_HEARD_TIME_MAX),
                                (wg_time)MIN(in->interval_us, (uint64_t)WG_HEARD_TIME_MAX)};
    wg_incarnations_heard(e->incarnations, wg_now(), up->target, &heartbeats);
    wg_upstream_forget_ask(up);
    bufferevent_set_timeouts(up->bev, NULL, NULL);
    wg_upstream_begin_exchange(up);
}

bool wg_entry_incarnations_on_frame(wg_entry* e, const wgw_frame* frame) {
    if (frame->type != WGW_TYPE_TARGET_ANSWER) {
        return false;
    }
    Wgpb__TargetAnswer* in = wgpb__target_answer__unpack(NULL, frame->size, frame->payload);
    if (in) {
        wg_entry_apply_target_answer(e, in);
        wgpb__target_answer__free_unpacked(in, NULL);
    } else {
        wg_log(WG_EVENT_FRAME_BAD, "reason=target-answer");
    }
    return true;
}

bool wg_upstream_is_told_too_much(const wg_upstream* up) {
    return evbuffer_get_length(up->content) > WG_STATE_BYTES_MAX;
}

bool wg_upstream_told(wg_upstream* up) {
    wg_entry* e = up->entry;
    const wg_target* target = wg_registry_find(e->registry, up->target);
    bool is_reusable =
        up->answer.head.keep_alive && evbuffer_get_length(bufferevent_get_input(up->bev)) == 0;
    up->asking = false;
    bufferevent_set_timeouts(up->bev, NULL, NULL);
    if (target && up->answer.head.status < 500) {
        wg_incarnation_answer answer = wg_upstream_read_born(up, target);
        wg_upstream_log_answer(up, target, answer);
        /* What came after this answer must not pass for the answer to the request. */
        up->echoes = up->echoes || answer == WG_INCARNATION_SAME;
        e->counters.incarnations_other += answer == WG_INCARNATION_OTHER;
        wg_incarnations_answer(e->incarnations, wg_now(), up->target, up->asked_at, answer);
    }
    return target && up->answer.head.status < 500 && is_reusable;
}
