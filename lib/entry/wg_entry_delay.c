/* wg_entry_delay.c -- how long callers wait for this host to look at what they sent

   A host that callers ask for more than its processor can do answers late whatever it decides: its
   events of callers' connections stand in line. The probe stands in the same line, behind all that
   are ready when the tick puts it there, so its wait is theirs. */
#include "wg_entry_internal.h"

static void wg_entry_on_probe(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_entry* e = user_data;
    e->delay = wg_now() - e->delay_since;
    e->delay_since = 0;
}

/* ---- functions of the library -------------------------------------------------------------- */

bool wg_entry_delay_setup(wg_entry* e) {
    e->delay_probe = event_new(e->base, -1, 0, wg_entry_on_probe, e); /* priority as callers' */
    return e->delay_probe != NULL;
}

void wg_entry_delay_shutdown(wg_entry* e) {
    g_clear_pointer(&e->delay_probe, event_free);
}

void wg_entry_delay_tick(wg_entry* e, wg_time now) {
    if (e->delay_since == 0) {
        e->delay_since = now;
        event_active(e->delay_probe, EV_TIMEOUT, 1);
    }
}

wg_time wg_entry_delay(const wg_entry* e, wg_time now) {
    wg_time waits = e->delay_since > 0 ? now - e->delay_since : 0;
    return MAX(e->delay, waits);
}
