/* wg_entry_descriptors.c -- file descriptors of this host: idle connections that give way, pauses
   of the callers' listener */
#include "wg_entry_internal.h"

enum {
    /* Shortest pause of the callers' listener, microseconds. While accept() fails, the listener
       stays readable and would wake the loop without an end. */
    WG_ACCEPT_PAUSE = 20 * WG_USEC_PER_MSEC,
    /* Connections to the other ports that the part of the descriptors which is left free is for. */
    WG_PORTS_RESERVED = 16
};

/* ---- helpers: counts ------------------------------------------------------------------------- */

/* `idle_callers` is an upper bound, as some of these connections may have input that is unread. */
static wg_descriptors_counts wg_descriptors_counts_of(const wg_entry* e) {
    int ports = wgh_connections_num(&e->ready_server) + wgh_connections_num(&e->entry_server) +
                wgh_connections_num(&e->orders_server);
    int beyond = MAX(ports - WG_PORTS_RESERVED, 0);
    return (wg_descriptors_counts){.limit = (int)e->settings->descriptors,
                                   .callers = (int)e->clients->len,
                                   .callers_max = (int)e->settings->callers_max,
                                   .targets = e->upstreams_num,
                                   .links = wgn_query_stats(e->net).links + beyond,
                                   .idle_callers = (int)e->idle_clients.length,
                                   .idle_targets = (int)e->idle_upstreams.length};
}

/* Decides by the present counts. `oldest` receives the connection to close if the verdict is
   CLOSE_CALLER. Decides again if that verdict names a connection that is in use after all. */
static wg_descriptors_verdict wg_descriptors_decide_now(wg_entry* e, wg_descriptors_kind kind,
                                                        wg_client** oldest) {
    wg_descriptors_counts counts = wg_descriptors_counts_of(e);
    wg_descriptors_verdict verdict = wg_descriptors_decide(&counts, kind);
    *oldest = NULL;
    if (verdict == WG_DESCRIPTORS_CLOSE_CALLER) {
        *oldest = wg_client_longest_idle(e, wg_now());
        counts.idle_callers = *oldest ? 1 : 0;
        verdict = wg_descriptors_decide(&counts, kind);
    }
    return verdict;
}

/* ---- helpers: the listener ------------------------------------------------------------------- */

static void wg_accept_start_timer(wg_entry* e) {
    struct timeval pause = {.tv_usec = WG_ACCEPT_PAUSE};
    event_add(e->accept_timer, &pause);
}

static void wg_accept_pause(wg_entry* e, wg_time now) {
    if (wg_entry_accepts(e)) {
        e->accept_paused_at = now;
        e->counters.accept_pauses++;
        evconnlistener_disable(e->listener);
        wg_accept_start_timer(e);
    }
}

/* Ends the pause if it has lasted long enough and a caller's connection may be opened. */
static void wg_accept_resume(wg_entry* e, wg_time now) {
    bool is_over = now - e->accept_paused_at >= WG_ACCEPT_PAUSE;
    if (is_over && wg_entry_may_open(e, WG_DESCRIPTORS_CALLER)) {
        e->accept_paused_at = 0;
        event_del(e->accept_timer);
        evconnlistener_enable(e->listener);
    }
}

static void wg_accept_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_entry* e = user_data;
    wg_accept_resume(e, wg_now());
    if (!wg_entry_accepts(e)) {
        wg_accept_start_timer(e);
    }
}

/* accept() failed: the process, or the machine, is out of descriptors or memory. */
static void wg_accept_on_error(struct evconnlistener* listener, void* user_data) {
    (void)listener;
    int error = EVUTIL_SOCKET_ERROR();
    wg_entry* e = user_data;
    wg_time now = wg_now();
    if (e->accept_logged_at == 0 || now - e->accept_logged_at >= WG_USEC_PER_SEC) {
        e->accept_logged_at = now;
        wg_log(WG_EVENT_DESCRIPTORS_SHORT,
               "accept_error=\"%s\" limit=%" G_GINT64_FORMAT " callers=%u targets=%d links=%d",
               evutil_socket_error_to_string(error), e->settings->descriptors, e->clients->len,
               e->upstreams_num, wgn_query_stats(e->net).links);
    }
    wg_accept_pause(e, now);
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_descriptors_setup(wg_entry* e) {
    e->spares_descriptors = e->settings->spare_descriptors && e->settings->descriptors > 0;
    e->accept_timer = event_new(e->base, -1, 0, wg_accept_on_timer, e);
}

void wg_entry_descriptors_shutdown(wg_entry* e) {
    event_free(e->accept_timer);
}

void wg_entry_descriptors_watch_listener(wg_entry* e) {
    evconnlistener_set_error_cb(e->listener, wg_accept_on_error);
}

bool wg_entry_accepts(const wg_entry* e) {
    return e->accept_paused_at == 0;
}

int wg_entry_descriptors(const wg_entry* e, int* max) {
    wg_descriptors_counts counts = wg_descriptors_counts_of(e);
    *max = counts.limit;
    return wg_descriptors_used(&counts);
}

bool wg_entry_may_open(wg_entry* e, wg_descriptors_kind kind) {
    wg_client* oldest;
    return !e->spares_descriptors ||
           wg_descriptors_decide_now(e, kind, &oldest) != WG_DESCRIPTORS_REFUSE;
}

void wg_entry_make_room(wg_entry* e, wg_descriptors_kind kind) {
    if (!e->spares_descriptors) {
        return;
    }
    wg_client* oldest;
    wg_descriptors_verdict verdict = wg_descriptors_decide_now(e, kind, &oldest);
    if (verdict == WG_DESCRIPTORS_CLOSE_TARGET) {
        e->counters.idle_targets_closed++;
        wg_upstream_close(e->idle_upstreams.head->data);
    } else if (verdict == WG_DESCRIPTORS_CLOSE_CALLER) {
        e->counters.callers_replaced++;
        wg_client_close(oldest);
    }
}

void wg_entry_descriptors_accepted(wg_entry* e) {
    if (!wg_entry_may_open(e, WG_DESCRIPTORS_CALLER)) {
        wg_accept_pause(e, wg_now());
    }
}

void wg_entry_descriptors_closed(wg_entry* e) {
    if (e->listener && !wg_entry_accepts(e)) {
        wg_accept_resume(e, wg_now());
    }
}

double wg_entry_descriptors_retry_after(wg_entry* e) {
    return (double)wg_descriptors_retry_after(e->seed, ++e->counter) / WG_USEC_PER_SEC;
}

void wg_entry_descriptors_tick(wg_entry* e, wg_time now) {
    if (!e->spares_descriptors) {
        return;
    }
    wg_time since = e->descriptors_watch.short_since;
    wg_descriptors_counts counts = wg_descriptors_counts_of(e);
    wg_descriptors_change change =
        wg_descriptors_observe(&e->descriptors_watch, now, &counts, !wg_entry_accepts(e));
    if (change == WG_DESCRIPTORS_BEGUN) {
        e->refused_before_shortage = e->counters.descriptor_refusals;
        wg_log(WG_EVENT_DESCRIPTORS_SHORT,
               "limit=%d callers=%d targets=%d idle_targets=%d idle_callers=%d links=%d",
               counts.limit, counts.callers, counts.targets, counts.idle_targets,
               counts.idle_callers, counts.links);
    } else if (change == WG_DESCRIPTORS_ENDED) {
        wg_log(WG_EVENT_DESCRIPTORS_FREED,
               "duration_ms=%" G_GINT64_FORMAT " refused=%" G_GUINT64_FORMAT
               " callers=%d targets=%d links=%d",
               (now - since) / WG_USEC_PER_MSEC,
               e->counters.descriptor_refusals - e->refused_before_shortage, counts.callers,
               counts.targets, counts.links);
    }
}

void wg_entry_descriptors_print_metrics(const wg_entry* e, GString* out) {
    int max;
    g_string_append_printf(out,
                           "walnutgate_entry_descriptors %d\n"
                           "walnutgate_entry_descriptor_refusals_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_accept_pauses_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_idle_targets_closed_total %" G_GUINT64_FORMAT "\n",
                           wg_entry_descriptors(e, &max), e->counters.descriptor_refusals,
                           e->counters.accept_pauses, e->counters.idle_targets_closed);
}
