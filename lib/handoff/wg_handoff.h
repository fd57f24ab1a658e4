#pragma once
/*
    wg_handoff.h -- which requests an overloaded host hands off to other hosts, as a pure state
    machine

    WHAT IT DOES
        A host whose callers' input waits too long, or that runs short of descriptors, keeps only a
        part of its new requests and hands the others off to a few peers of its data centre. A peer
        accepts while it has capacity to spare, and declines otherwise.

    FEATURES
        - the part that is kept falls quickly while input waits, and rises slowly afterwards, so
          that a peak is handed off within half a second and work does not swing back at once
        - it does not rise while this host refuses requests: a request that is handed off leaves
          more capacity for others than one that is served here
        - requests that are kept are spaced evenly
        - peers are selected by rendezvous hashing of the names of both hosts, so that overloaded
          hosts spread over different peers
        - of two peers at random the less busy one is used; one that declines, whose link closed, or
          that answers late is set aside for a while, and gets fewer requests at once afterwards

    USE
        1. wg_handoff* h = wg_handoff_setup(&(wg_handoff_desc){.name = name, .delay_max = max});
        2. wg_handoff_set_hosts(h, names, num);             // after each change of the roster
        3. wg_handoff_tick(h, now, &load);                  // each tick
        4. if (wg_handoff_needs_links(h, now)) { ... }      // connect to wg_handoff_peer_name()
           wg_handoff_peer_up(h, peer); wg_handoff_peer_down(h, now, peer);
        5. if (wg_handoff_wants(h)) { int peer = wg_handoff_pick(h, now); ... }
           wg_handoff_begin(h, peer);
           wg_handoff_declined(h, now, peer), or
           wg_handoff_first_byte(h, now, peer, waited); wg_handoff_end(h, peer);
        6. as peer: if (wg_handoff_accepts(h, &load, taken)) { ... }

    THE CALLER OWNS
        the clock, the links and the requests. Peers are slots, 0 to WG_HANDOFF_PEERS_MAX - 1; a
        slot keeps its host until wg_handoff_set_hosts() replaces it.
*/
#include "wg_base.h"

enum {
    WG_HANDOFF_PEERS_MAX = 8,         /* hosts to which one host hands off */
    WG_HANDOFF_IN_PROGRESS_MAX = 512, /* requests of this host at one peer */
    WG_HANDOFF_TAKEN_MAX = 2048,      /* requests of other hosts at this one */
    /* A first byte after this time is late, microseconds. */
    WG_HANDOFF_LATE = 250 * WG_USEC_PER_MSEC
};

typedef struct {
    const char* name;  /* of this host; copied */
    wg_time delay_max; /* input delay, microseconds, from which requests are handed off; 0: never,
                          and no requests of others are taken */
    uint64_t seed;
} wg_handoff_desc;

/* What a host measures of itself. */
typedef struct {
    wg_time input_delay; /* microseconds that callers' input waits until it is read */
    bool stalled;        /* the process stood still since the last tick; the delay shows nothing */
    bool refuses;        /* requests are refused on arrival, see lib/overload */
    int descriptors;     /* in use */
    int descriptors_max; /* limit of the process; 0: unknown */
} wg_handoff_load;

typedef struct {
    double local_share; /* fraction of new requests that this host keeps */
    int peers_up;
    int in_progress;     /* handed off and not ended */
    uint64_t handed_off; /* sent to peers, including those that were declined; a request that is
                            sent to several peers counts for each */
    uint64_t kept;       /* while less than all requests were kept; one each time that
                            wg_handoff_wants() is false or wg_handoff_pick() finds no peer */
    uint64_t declined;   /* by peers; a request that several peers decline counts for each */
} wg_handoff_stats;

typedef struct wg_handoff wg_handoff;

wg_handoff* wg_handoff_setup(const wg_handoff_desc* desc);
void wg_handoff_shutdown(wg_handoff* handoff);
/* Selects the peers among the hosts of this data centre; this host and repeated names are ignored.
   A slot whose host is no longer selected becomes empty or gets another host at once, without
   requests in progress; wg_handoff_peer_down() has to follow for the link of the earlier host, and
   wg_handoff_end() is not called for its requests. */
void wg_handoff_set_hosts(wg_handoff* handoff, const char* const* names, int num);
/* Name of the host in a slot; NULL: the slot is empty. Valid until the next
   wg_handoff_set_hosts(). */
const char* wg_handoff_peer_name(const wg_handoff* handoff, int peer);
/* Adjusts the local share by one step, however late the tick is. To be called each 50 ms; a tick
   within 25 ms of the last one is ignored. */
void wg_handoff_tick(wg_handoff* handoff, wg_time now, const wg_handoff_load* load);
/* Whether links to the peers are needed: less than all requests are kept, or were a short while
   ago. */
bool wg_handoff_needs_links(const wg_handoff* handoff, wg_time now);
/* The link to the peer is up; no request is in progress there. */
void wg_handoff_peer_up(wg_handoff* handoff, int peer);
/* The link to the peer closed, or could not be opened; its requests have ended. */
void wg_handoff_peer_down(wg_handoff* handoff, wg_time now, int peer);
/* Returns whether to hand one new request off; each call counts as one request. */
bool wg_handoff_wants(wg_handoff* handoff);
/* Returns the peer for a request; -1: none is available, and the request is kept. `tried`: bit set
   of peers that declined this request. */
int wg_handoff_pick(wg_handoff* handoff, wg_time now, uint32_t tried);
/* The request was sent to the peer. */
void wg_handoff_begin(wg_handoff* handoff, int peer);
/* The peer did not take the request. */
void wg_handoff_declined(wg_handoff* handoff, wg_time now, int peer);
/* The peer acknowledged the request, or sent the first byte of its answer, `waited` microseconds
   after it was sent. Without either, call it once when `waited` passes WG_HANDOFF_LATE. */
void wg_handoff_first_byte(wg_handoff* handoff, wg_time now, int peer, wg_time waited);
/* A request that the peer took has ended. */
void wg_handoff_end(wg_handoff* handoff, int peer);
/* As peer: whether this host takes a request of another one. `taken`: requests of other hosts that
   are in progress here. */
bool wg_handoff_accepts(const wg_handoff* handoff, const wg_handoff_load* load, int taken);
wg_handoff_stats wg_handoff_query_stats(const wg_handoff* handoff);
