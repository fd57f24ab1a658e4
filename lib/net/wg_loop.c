/* wg_loop.c -- see wg_loop.h */
#include "wg_loop.h"

#include "wg_base.h"

struct event_base* wg_loop_setup(void) {
    struct event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_config_set_max_dispatch_interval(config, NULL, WG_LOOP_CALLBACKS_MAX,
                                           WG_LOOP_PRIORITY_IN_PROGRESS);
    struct event_base* base = event_base_new_with_config(config);
    event_config_free(config);
    WG_ASSERT(base != NULL);
    WG_ASSERT(event_base_priority_init(base, WG_LOOP_PRIORITIES) == 0);
    return base;
}

static bool _wg_loop_has_priorities(struct event_base* base) {
    return event_base_get_npriorities(base) == WG_LOOP_PRIORITIES;
}

void wg_loop_prioritize_connection(struct bufferevent* bev) {
    if (_wg_loop_has_priorities(bufferevent_get_base(bev))) {
        bufferevent_priority_set(bev, WG_LOOP_PRIORITY_IN_PROGRESS);
    }
}

void wg_loop_prioritize_event(struct event* event) {
    if (_wg_loop_has_priorities(event_get_base(event))) {
        event_priority_set(event, WG_LOOP_PRIORITY_IN_PROGRESS);
    }
}
