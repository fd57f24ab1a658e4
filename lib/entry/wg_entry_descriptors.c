/* wg_entry_descriptors.c -- file descriptors of this host: pauses of the callers' listener */
#include "wg_entry_internal.h"

enum {
    /* Shortest pause of the callers' listener. While accept() fails, the listener stays readable
       and would wake the loop without an end. */
    WG_ACCEPT_PAUSE = 20 * WG_USEC_PER_MSEC
};

/* ---- helpers: the listener ------------------------------------------------------------------- */

static void wg_accept_pause(wg_entry* e, wg_time now) {
    struct timeval pause = {.tv_usec = WG_ACCEPT_PAUSE};
    if (e->accept_paused_at == 0) {
        e->accept_paused_at = now;
        e->counters.accept_pauses++;
        evconnlistener_disable(e->listener);
        event_add(e->accept_timer, &pause);
    }
}

static void wg_accept_resume(wg_entry* e) {
    e->accept_paused_at = 0;
    event_del(e->accept_timer);
    evconnlistener_enable(e->listener);
}

static void wg_accept_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_accept_resume(user_data);
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

void wg_entry_descriptors_print_metrics(const wg_entry* e, GString* out) {
    g_string_append_printf(out, "walnutgate_entry_accept_pauses_total %" G_GUINT64_FORMAT "\n",
                           e->counters.accept_pauses);
}
