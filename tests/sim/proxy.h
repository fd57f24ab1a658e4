#pragma once
/*
    proxy.h -- a loopback proxy that injects network faults between real processes

    Each proxy listens at one address and forwards bytes to another, on the caller's libevent loop.
    The mode can change at any time and applies to open and new connections.
*/
#include <event2/event.h>
#include <stdbool.h>

typedef enum {
    PROXY_PASS = 0,
    PROXY_DELAY,      /* each read is forwarded after PROXY_DELAY_US */
    PROXY_BLOCK,      /* forwards nothing either way, closes nothing */
    PROXY_BLOCK_TO,   /* forwards nothing to the upstream */
    PROXY_BLOCK_FROM, /* forwards nothing from the upstream */
    PROXY_MODES_NUM
} proxy_mode;

typedef struct proxy proxy;

/* Addresses are "ip:port". Aborts when it cannot listen. */
proxy* proxy_start(struct event_base* base, const char* listen, const char* upstream);
void proxy_stop(proxy* p);
void proxy_set(proxy* p, proxy_mode mode);
/* Resets all open connections. */
void proxy_reset(proxy* p);
