/* wg_entry_turns.c -- turns of connections to targets

   Answers of targets have priority over new requests, so a target that sends without end, to a
   caller that reads as fast, would leave no time for anything else. After WG_TURN_BYTES a
   connection is not read until the events of lower priority that were pending then have run. */
#include "wg_entry_internal.h"

enum {
    WG_TURN_BYTES = 64 * 1024 /* as much as a large answer, and some ms of a small host's time */
};

static void wg_turns_on_turn(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_entry* e = user_data;
    wg_upstream* up;
    while ((up = g_queue_peek_head(&e->turns))) {
        wg_upstream_end_turn(up);
        if (!up->paused) {
            bufferevent_enable(up->bev, EV_READ);
        }
    }
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_turns_setup(wg_entry* e) {
    g_queue_init(&e->turns);
    e->turn = event_new(e->base, -1, 0, wg_turns_on_turn, e);
}

void wg_entry_turns_shutdown(wg_entry* e) {
    g_clear_pointer(&e->turn, event_free);
}

void wg_upstream_count_turn(wg_upstream* up) {
    wg_entry* e = up->entry;
    if (up->turn_bytes < WG_TURN_BYTES || up->waits_turn) {
        return;
    }
    up->waits_turn = true;
    up->turn_link = (GList){.data = up};
    g_queue_push_tail_link(&e->turns, &up->turn_link);
    bufferevent_disable(up->bev, EV_READ);
    event_active(e->turn, EV_TIMEOUT, 1);
}

void wg_upstream_end_turn(wg_upstream* up) {
    up->turn_bytes = 0;
    if (up->waits_turn) {
        up->waits_turn = false;
        g_queue_unlink(&up->entry->turns, &up->turn_link);
    }
}
