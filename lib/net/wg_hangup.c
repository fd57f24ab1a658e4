/* wg_hangup.c -- see wg_hangup.h */
#include "wg_hangup.h"

#include "wg_loop.h"

#include <poll.h>

struct wg_hangups {
    struct event* timer;
    GQueue watched; /* wg_hangup */
    GQueue ended;   /* wg_hangup whose peers have closed, to be reported */
    GArray* polled; /* struct pollfd, used within a look */
};

/* ---- helpers --------------------------------------------------------------------------------- */

static void _wg_hangups_schedule(wg_hangups* h) {
    struct timeval interval = {.tv_usec = WG_HANGUP_INTERVAL};
    if (h->watched.length > 0 && !event_pending(h->timer, EV_TIMEOUT, NULL)) {
        event_add(h->timer, &interval);
    }
}

static void _wg_hangup_move(wg_hangup* watch, GQueue* queue) {
    wg_hangups_forget(watch);
    watch->queue = queue;
    watch->link = (GList){.data = watch};
    g_queue_push_tail_link(queue, &watch->link);
}

/* Moves the watches whose peers have closed to `ended`. */
static void _wg_hangups_look(wg_hangups* h) {
    g_array_set_size(h->polled, 0);
    for (GList* at = h->watched.head; at; at = at->next) {
        const wg_hangup* watch = at->data;
        struct pollfd one = {.fd = watch->fd, .events = POLLRDHUP};
        g_array_append_val(h->polled, one);
    }
    if (poll((struct pollfd*)(void*)h->polled->data, h->polled->len, 0) <= 0) {
        return;
    }
    GList* next;
    guint i = 0;
    for (GList* at = h->watched.head; at; at = next) {
        next = at->next;
        if (g_array_index(h->polled, struct pollfd, i++).revents) {
            _wg_hangup_move(at->data, &h->ended);
        }
    }
}

static void _wg_hangups_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_hangups* h = user_data;
    _wg_hangups_look(h);
    while (h->ended.head) {
        wg_hangup* watch = h->ended.head->data;
        wg_hangups_forget(watch);
        watch->on_hangup(watch->user_data);
    }
    _wg_hangups_schedule(h);
}

/* ---- public functions ------------------------------------------------------------------------ */

wg_hangups* wg_hangups_setup(struct event_base* base) {
    wg_hangups* h = g_new0(wg_hangups, 1);
    g_queue_init(&h->watched);
    g_queue_init(&h->ended);
    h->polled = g_array_new(FALSE, FALSE, sizeof(struct pollfd));
    h->timer = evtimer_new(base, _wg_hangups_on_timer, h);
    wg_loop_prioritize_event(h->timer);
    return h;
}

void wg_hangups_shutdown(wg_hangups* h) {
    while (h->watched.head) {
        wg_hangups_forget(h->watched.head->data);
    }
    event_free(h->timer);
    g_array_unref(h->polled);
    g_free(h);
}

void wg_hangups_watch(wg_hangups* h, wg_hangup* watch) {
    if (!watch->queue) {
        _wg_hangup_move(watch, &h->watched);
        _wg_hangups_schedule(h);
    }
}

void wg_hangups_forget(wg_hangup* watch) {
    if (watch->queue) {
        g_queue_unlink(watch->queue, &watch->link);
        watch->queue = NULL;
    }
}
