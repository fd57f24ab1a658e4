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

void wg_loop_put_first(struct bufferevent* bev, bool under_way) {
    if (event_base_get_npriorities(bufferevent_get_base(bev)) == WG_LOOP_CLASSES) {
        bufferevent_priority_set(bev, under_way ? WG_LOOP_UNDER_WAY : WG_LOOP_CLASSES / 2);
    }
}
