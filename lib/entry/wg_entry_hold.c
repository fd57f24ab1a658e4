/* wg_entry_hold.c -- admission requests that wait at this coordinator

   Connects the queue (lib/hold) with the admissions of this host, with its links, and with a timer.
   Answers are sent from the timer and never from within the event that made room, as that event may
   end a call of this host. */
#include "wg_entry_internal.h"

/* ---- helpers --------------------------------------------------------------------------------- */

static bool wg_entry_holds(const wg_entry* e) {
    return e->settings->hold_percent > 0;
}

/* A target may have become cold while the request waited. */
static wg_admit_answer wg_entry_hold_decide(wg_admit_request* request, wg_time now,
                                            void* user_data) {
    (void)now;
    wg_entry* e = user_data;
    double rate = wg_entry_cold_rate(e, request->target);
    if (rate > 0) {
        request->rate_max = request->rate_max > 0 ? MIN(request->rate_max, rate) : rate;
    }
    return wg_entry_admit_decide(e, request);
}

static double wg_entry_hold_usage(uint64_t workspace, void* user_data) {
    const wg_entry* e = user_data;
    return wg_usage_of(e->usage, workspace);
}

static void wg_entry_hold_schedule(wg_entry* e) {
    wg_time at = wg_hold_due_at(e->hold);
    if (at == WG_TIME_NEVER) {
        event_del(e->hold_timer);
        return;
    }
    wg_time wait = MAX(at - wg_now(), 0);
    struct timeval tv = {.tv_sec = wait / WG_USEC_PER_SEC, .tv_usec = wait % WG_USEC_PER_SEC};
    event_add(e->hold_timer, &tv);
}

static void wg_entry_hold_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_entry* e = user_data;
    wg_hold_action action;
    while (wg_hold_next(e->hold, wg_now(), &action)) {
        wg_entry_admit_answer(e, action.holder, action.ticket, &action.answer);
    }
    wg_entry_hold_schedule(e);
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_hold_setup(wg_entry* e) {
    e->hold = wg_hold_setup(&(wg_hold_desc){
        .decide = wg_entry_hold_decide, .usage = wg_entry_hold_usage, .user_data = e});
    e->hold_timer = evtimer_new(e->base, wg_entry_hold_on_timer, e);
    event_priority_set(e->hold_timer, WGN_PRIORITY);
}

void wg_entry_hold_shutdown(wg_entry* e) {
    event_free(e->hold_timer);
    wg_hold_shutdown(e->hold);
}

bool wg_entry_hold_ask(wg_entry* e, wg_hold_request* request, wg_admit_answer* answer) {
    if (!wg_entry_holds(e)) {
        *answer = wg_entry_admit_decide(e, &request->admit);
        return false;
    }
    bool waits = wg_hold_ask(e->hold, wg_now(), request, answer);
    if (waits) {
        wg_entry_hold_schedule(e);
    }
    return waits;
}

void wg_entry_hold_read(wg_entry* e, uint64_t holder, uint64_t ticket) {
    uint32_t target = wg_admit_target(e->admit, holder, ticket);
    wg_admit_first_event(e->admit, wg_now(), holder, ticket);
    wg_hold_notify_room(e->hold, target);
    wg_entry_hold_schedule(e);
}

void wg_entry_hold_end(wg_entry* e, uint64_t holder, uint64_t ticket, bool failed) {
    uint32_t target = wg_admit_target(e->admit, holder, ticket);
    wg_admit_end(e->admit, wg_now(), holder, ticket, failed);
    wg_hold_remove(e->hold, holder, ticket);
    wg_hold_notify_room(e->hold, target);
    wg_entry_hold_schedule(e);
}

void wg_entry_hold_release_holder(wg_entry* e, uint64_t holder) {
    wg_admit_release_holder(e->admit, holder);
    wg_hold_remove_holder(e->hold, holder);
    wg_hold_notify_all(e->hold);
    wg_entry_hold_schedule(e);
}

void wg_entry_hold_tick(wg_entry* e, wg_time now) {
    if (wg_entry_holds(e)) {
        wg_hold_update_usage(e->hold, now);
        wg_entry_hold_schedule(e); /* event-loop timers are late after a suspension of the host */
    }
}
