/* wg_loop.c -- see wg_loop.h */
#include "wg_loop.h"

#include "wg_base.h"

struct event_base* wg_loop_setup(void) {
    struct event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_config_set_max_dispatch_interval(config, NULL, WG_LOOP_CALLBACKS, WG_LOOP_UNDER_WAY);
    struct event_base* base = event_base_new_with_config(config);
    event_config_free(config);
    WG_ASSERT(base != NULL);
    WG_ASSERT(event_base_priority_init(base, WG_LOOP_CLASSES) == 0);
    return base;
}

static bool _wg_loop_has_classes(struct event_base* base) {
    return event_base_get_npriorities(base) == WG_LOOP_CLASSES;
}

void wg_loop_put_connection_first(struct bufferevent* bev) {
    if (_wg_loop_has_classes(bufferevent_get_base(bev))) {
        bufferevent_priority_set(bev, WG_LOOP_UNDER_WAY);
    }
}

void wg_loop_put_event_first(struct event* event) {
    if (_wg_loop_has_classes(event_get_base(event))) {
        event_priority_set(event, WG_LOOP_UNDER_WAY);
    }
}
