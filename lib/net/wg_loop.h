#pragma once
/*
    wg_loop.h -- the event loop of a fleet process: what goes first when more is due than there is
    time for

    WHAT IT DOES
        Makes the loop, with classes of work. One class is worked through before the next; after
   some callbacks the loop looks whether something of an earlier class has come.

    FEATURES
        - links to other fleet processes and ticks first (WGN_PRIORITY)
        - then what is under way: answers of targets, the end of a caller who waits for one
        - then all else: what callers send, their new connections, pages

    USE
        1. struct event_base* base = wg_loop_setup();
        2. wg_loop_put_connection_first(bev) before the connection is used, and after connecting;
           wg_loop_put_event_first(event) before the event is added.

    THE CALLER OWNS
        the loop; event_base_free() ends it. On a loop made another way the other functions do
   nothing.
*/
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <stdbool.h>

enum {
    /* Work for callers that had left went on for up to 1 s at a flooded host, behind new requests.
       Worth of the work in vain, six days of 60 s of a fleet with such hosts: 71 to 220 on four and
       none on two; with this class 0.3 on one and none on five. */
    WG_LOOP_UNDER_WAY = 1,
    /* An event that names no class gets the middle one, the third of four. */
    WG_LOOP_CLASSES = 4,
    /* Of one class before the loop looks for earlier ones. A host of 0.09 of a core took in 2,878
       requests in a second: 22 ms, of 500 in which work for a caller that left has to stop. */
    WG_LOOP_CALLBACKS = 64
};

struct event_base* wg_loop_setup(void);

/* The connection's events go before new requests. Its class is set once and again after connecting,
   which sets it back, and is the same each time: were it changed while a callback waits, the
   callback would be taken out of the wrong line, and what comes next in either would be lost. */
void wg_loop_put_connection_first(struct bufferevent* bev);
/* The same of an event that is not added yet. */
void wg_loop_put_event_first(struct event* event);
