#pragma once
/*
    wg_loop.h -- the event loop of a fleet process and the priorities of its events

    WHAT IT DOES
        Creates a libevent loop with four priorities. Ready events of a higher priority run
        first; after every WG_LOOP_CALLBACKS_MAX callbacks of a lower priority the loop polls again,
        so that new high-priority events do not wait for a long queue.

    FEATURES
        - first: links to other fleet processes and ticks (WGN_PRIORITY)
        - second: requests in progress: answers of targets, disconnects of waiting callers
        - then everything else: requests from callers, new connections, operator endpoints

    USE
        1. struct event_base* base = wg_loop_setup();
        2. wg_loop_prioritize_connection(bev) before the connection is used, and after connecting;
           wg_loop_prioritize_event(event) before the event is added.

    THE CALLER OWNS
        the loop; event_base_free() releases it. On a loop that was created in another way the other
        functions do nothing.
*/
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <stdbool.h>

enum {
    /* Priority of requests in progress. It is higher than that of new requests, so that an
       overloaded host notices a disconnected caller and stops the work for it. */
    WG_LOOP_PRIORITY_IN_PROGRESS = 1,
    /* Number of priorities. libevent gives an event without a priority the middle one, which is
       the third of four: below requests in progress. */
    WG_LOOP_PRIORITIES = 4,
    /* Callbacks of one priority before the loop polls for events of a higher one. Bounds the delay
       of a disconnect behind new requests on a slow host: on 0.09 of a core they take 22 ms, of the
       500 ms within which work for a disconnected caller has to stop. */
    WG_LOOP_CALLBACKS_MAX = 64
};

struct event_base* wg_loop_setup(void);

/* Gives the events of a connection the priority of requests in progress. Call it before the first
   use and again after connecting, which resets the priority. Never change the priority to another
   value while a callback is pending: libevent would remove the callback from the wrong queue. */
void wg_loop_prioritize_connection(struct bufferevent* bev);
/* Gives an event the priority of requests in progress. Call it before event_add(). */
void wg_loop_prioritize_event(struct event* event);
