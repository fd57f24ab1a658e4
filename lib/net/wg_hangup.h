#pragma once
/*
    wg_hangup.h -- tells when peers have closed their connections, without reading from them

    WHAT IT DOES
        Watches sockets from which nothing is to be read now, though bytes may wait there. An event
        for reading would be ready all the time, and reading the bytes only to find the end of the
        connection behind them would make this process hold whatever the peer sends.

    FEATURES
        - a peer that closes, ends its sending or resets is found within WG_HANGUP_INTERVAL
        - costs nothing while no socket is watched, and one system call an interval for all of them

    USE
        1. wg_hangups* h = wg_hangups_setup(base);
        2. wg_hangups_watch(h, &watch) with watch.fd, on_hangup and user_data set; a watch ends when
           it was reported, or by wg_hangups_forget(h, &watch)

    THE CALLER OWNS
        the watches, which must not move while they are watched. A callback may end any watch.
*/
#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>

#include "wg_base.h"

enum {
    WG_HANGUP_INTERVAL = 20 * WG_USEC_PER_MSEC /* between two looks at all sockets */
};

/* A socket that is watched. Zero-initialise it, then set the first three fields. */
typedef struct {
    evutil_socket_t fd;
    void (*on_hangup)(void* user_data);
    void* user_data;
    GQueue* queue; /* that `link` is in; NULL: not watched */
    GList link;
} wg_hangup;

typedef struct wg_hangups wg_hangups;

wg_hangups* wg_hangups_setup(struct event_base* base);
/* Not from a callback. Ends all watches. */
void wg_hangups_shutdown(wg_hangups* hangups);
/* Nothing if it is watched already. */
void wg_hangups_watch(wg_hangups* hangups, wg_hangup* watch);
/* Nothing if it is not watched. */
void wg_hangups_forget(wg_hangup* watch);
