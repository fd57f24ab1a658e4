#pragma once
/*
    proxy.h -- a loopback proxy that spoils connections, for soaks of real processes

    Each proxy listens at one address and passes bytes on to another, in one libevent loop. What it
    does to them can change at any moment, for connections that are open and for new ones.
*/
#include <event2/event.h>
#include <stdbool.h>

typedef enum {
    PROXY_PASS = 0,
    PROXY_DELAY,       /* each piece waits a while */
    PROXY_SILENT,      /* nothing passes, nothing is closed */
    PROXY_SILENT_TO,   /* nothing passes towards the far end */
    PROXY_SILENT_BACK, /* nothing passes back from it */
    PROXY_MODES
} proxy_mode;

typedef struct proxy proxy;

/* Aborts when the address cannot be listened on. Addresses are "ip:port". */
proxy* proxy_start(struct event_base* base, const char* listen, const char* far_end);
void proxy_stop(proxy* p);
void proxy_set(proxy* p, proxy_mode mode);
/* Reset all open connections. */
void proxy_reset(proxy* p);
