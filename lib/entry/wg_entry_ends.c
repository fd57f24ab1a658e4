/* wg_entry_ends.c -- answers that end with their connection

   Such an answer ends in the same way whether it is whole or its target ended. A check opens a new
   connection: if it is refused, the target has ended, and the answer is not complete. Otherwise its
   end is as sure as its target made it.

   A target that ends as planned has finished its answers. It has deregistered before, which this
   host may learn a little later than that it refuses connections: only then is that waited for.

   The request of such an answer counts as one that ended well only once its target has outlived the
   answer for some seconds. */
#include "wg_entry_internal.h"

#include <errno.h>

enum {
    /* Until the check connects: a process that ends may close its listening socket after its
       connections, within a few milliseconds. */
    WG_END_CHECK_DELAY = 5 * WG_USEC_PER_MSEC,
    /* Answers of the same target that end within this time share a check. */
    WG_END_CHECK_SHARED = 2 * WG_USEC_PER_MSEC,
    WG_END_CHECK_TIMEOUT = 250 * WG_USEC_PER_MSEC, /* to connect; the same as for requests */
    WG_END_CHECK_TRIES = 2,
    /* For the deregistration of a draining target that refuses connections: a commit, and the
       interval at which a large fleet tells its hosts of changes. */
    WG_DEREGISTRATION_WAIT = 1500 * WG_USEC_PER_MSEC,
    WG_DEREGISTRATION_INTERVAL = 50 * WG_USEC_PER_MSEC, /* between two looks at the registry */
    /* As long as the registry may take to report that a target ended or was replaced. */
    WG_OUTLIVED_TIME = 5 * WG_USEC_PER_SEC,
    /* Requests and parts of prompts, 128 KB; beyond it the oldest are not cleared. */
    WG_UNSURE_ENDS_MAX = 4096
};

struct wg_end_check {
    wg_entry* entry;
    uint32_t target;
    wg_time since;
    struct bufferevent* bev; /* NULL: waits before it connects */
    struct event* timer;
    int tries;
    wg_time refused_at; /* since when it waits for a deregistration; 0: it does not */
    GPtrArray* ended;   /* wg_upstream whose answers wait for the result */
};

/* Request whose answer ended with its connection, or a part of its prompt. */
typedef struct {
    wg_completion completion;
    uint32_t target;
    wg_time at;
} wg_unsure_end;

/* ---- helpers: checks ------------------------------------------------------------------------- */

static void _wg_end_check_free(void* data) {
    wg_end_check* check = data;
    for (guint i = 0; i < check->ended->len; i++) {
        ((wg_upstream*)check->ended->pdata[i])->end_check = NULL;
    }
    g_clear_pointer(&check->bev, bufferevent_free);
    event_free(check->timer);
    g_ptr_array_unref(check->ended);
    g_free(check);
}

static void _wg_end_check_wait(const wg_end_check* check, wg_time time) {
    struct timeval tv = {.tv_usec = time};
    event_add(check->timer, &tv);
}

/* Tells the answers that wait and frees the check. An answer may close others with it. */
static void _wg_end_check_finish(wg_end_check* check, bool target_ended) {
    wg_entry* e = check->entry;
    while (check->ended->len > 0) {
        wg_upstream* up = g_ptr_array_steal_index(check->ended, check->ended->len - 1);
        up->end_check = NULL;
        if (target_ended) {
            wg_entry_check_target(e, up->call, up);
        }
        wg_call_answer_checked(up->call, up, target_ended);
    }
    g_ptr_array_remove_fast(e->end_checks, check);
}

/* The target has ended: whether as planned may not be known yet. */
static void _wg_end_check_refused(wg_end_check* check) {
    static const char* const kinds[] = {[WG_END_UNPLANNED] = "unplanned",
                                        [WG_END_UNDECIDED] = "undecided",
                                        [WG_END_PLANNED] = "planned"};
    wg_time now = wg_now();
    wg_end_kind kind = wg_entry_end_kind(check->entry, check->target, now);
    check->refused_at = check->refused_at ? check->refused_at : now;
    if (kind == WG_END_UNDECIDED && now - check->refused_at < WG_DEREGISTRATION_WAIT) {
        _wg_end_check_wait(check, WG_DEREGISTRATION_INTERVAL);
        return;
    }
    wg_log(WG_EVENT_ANSWERS_CUT, "target=%u end=%s answers=%u waited_ms=%" G_GINT64_FORMAT,
           check->target, kinds[kind], check->ended->len,
           (now - check->refused_at) / WG_USEC_PER_MSEC);
    wg_entry_doubt_target(check->entry, check->target);
    _wg_end_check_finish(check, kind != WG_END_PLANNED);
}

/* The connection takes the place of those that ended with their answers, so that checks open none
   beyond those of requests. */
static void _wg_end_check_connected(wg_end_check* check) {
    wg_entry* e = check->entry;
    uint32_t target = check->target;
    struct bufferevent* bev = g_steal_pointer(&check->bev);
    _wg_end_check_finish(check, false);
    wg_upstream_adopt(e, target, bev);
}

static void _wg_end_check_on_event(struct bufferevent* bev, short what, void* user_data) {
    (void)bev;
    wg_end_check* check = user_data;
    if (what & BEV_EVENT_CONNECTED) {
        _wg_end_check_connected(check);
    } else if (EVUTIL_SOCKET_ERROR() == ECONNREFUSED) {
        _wg_end_check_refused(check);
    } else {
        _wg_end_check_finish(check, false);
    }
}

static bool _wg_end_check_connect(wg_end_check* check) {
    wg_entry* e = check->entry;
    const wg_target* target = wg_registry_find(e->registry, check->target);
    struct sockaddr_storage address;
    int size;
    if (!target || !wgn_parse_address(target->address, &address, &size)) {
        return false;
    }
    check->tries++;
    g_clear_pointer(&check->bev, bufferevent_free);
    check->bev =
        bufferevent_socket_new(e->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(check->bev, NULL, NULL, _wg_end_check_on_event, check);
    _wg_end_check_wait(check, WG_END_CHECK_TIMEOUT);
    return bufferevent_socket_connect(check->bev, (struct sockaddr*)&address, size) == 0;
}

static void _wg_end_check_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_end_check* check = user_data;
    if (check->refused_at) {
        _wg_end_check_refused(check);
    } else if (check->tries == WG_END_CHECK_TRIES || !_wg_end_check_connect(check)) {
        _wg_end_check_finish(check, false);
    }
}

static wg_end_check* _wg_end_check_begin(wg_entry* e, uint32_t target, wg_time now) {
    wg_end_check* check = g_new0(wg_end_check, 1);
    check->entry = e;
    check->target = target;
    check->since = now;
    check->ended = g_ptr_array_new();
    check->timer = evtimer_new(e->base, _wg_end_check_on_timer, check);
    _wg_end_check_wait(check, WG_END_CHECK_DELAY);
    g_ptr_array_add(e->end_checks, check);
    return check;
}

/* Returns a check that an answer of the target may share; NULL: none. */
static wg_end_check* _wg_end_check_find(const wg_entry* e, uint32_t target, wg_time now) {
    for (guint i = 0; i < e->end_checks->len; i++) {
        wg_end_check* check = e->end_checks->pdata[i];
        if (check->target == target && now - check->since <= WG_END_CHECK_SHARED) {
            return check;
        }
    }
    return NULL;
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_ends_setup(wg_entry* e) {
    e->end_checks = g_ptr_array_new_with_free_func(_wg_end_check_free);
    e->unsure_ends = g_array_new(FALSE, FALSE, sizeof(wg_unsure_end));
}

void wg_entry_ends_shutdown(wg_entry* e) {
    g_ptr_array_unref(e->end_checks);
    g_array_unref(e->unsure_ends);
}

wg_end_kind wg_entry_end_kind(const wg_entry* e, uint32_t number, wg_time now) {
    wg_time drain_time = (wg_time)(e->settings->drain_ms * WG_USEC_PER_MSEC);
    return wg_target_end_kind(wg_registry_find(e->registry, number), now, drain_time);
}

bool wg_entry_ends_check(wg_entry* e, wg_upstream* up) {
    wg_time now = wg_now();
    if (wg_entry_end_kind(e, up->target, now) == WG_END_PLANNED) {
        return false;
    }
    wg_end_check* check = _wg_end_check_find(e, up->target, now);
    check = check ? check : _wg_end_check_begin(e, up->target, now);
    up->state = WG_UPSTREAM_ENDED;
    up->end_check = check;
    g_ptr_array_add(check->ended, up);
    return true;
}

void wg_entry_ends_forget(wg_upstream* up) {
    if (up->end_check) {
        g_ptr_array_remove_fast(up->end_check->ended, up);
        up->end_check = NULL;
    }
}

void wg_entry_ends_record(wg_entry* e, uint32_t target, wg_completion completion) {
    wg_unsure_end end = {completion, target, wg_now()};
    if (e->unsure_ends->len >= WG_UNSURE_ENDS_MAX) {
        g_array_remove_index(e->unsure_ends, 0);
    }
    g_array_append_val(e->unsure_ends, end);
}

void wg_entry_ends_tick(wg_entry* e, wg_time now) {
    guint due = 0;
    for (; due < e->unsure_ends->len; due++) {
        const wg_unsure_end* end = &g_array_index(e->unsure_ends, wg_unsure_end, due);
        if (now - end->at < WG_OUTLIVED_TIME) {
            break;
        }
        const wg_target* target = wg_registry_find(e->registry, end->target);
        if (target && target->state == WG_TARGET_READY && !target->replaced) {
            wg_entry_record_completion(e, end->completion);
        }
    }
    g_array_remove_range(e->unsure_ends, 0, due);
}
