#pragma once
/*
    wg_buffers.h -- bound on the bytes that a host holds for peers that read slowly, as a pure state
    machine

    WHAT IT DOES
        Keeps account of the bytes that wait to be read by each caller and each target, of what
        callers have sent ahead, and of the other bytes that a host keeps for its requests. Decides
        for which callers reading from the target pauses, how much may be read at once, which
        requests are refused, and which connections are cut off.

    FEATURES
        - a caller's target is paused above 256 KB unread; above three quarters of the bound, above
          an equal share for each caller that has bytes unread; above seven eighths (full), above 0
        - callers that read everything are never paused
        - full: reading from targets is limited to small portions, so that callers that begin to
          fall behind do not exceed the bound together
        - full: callers that have not read for the time limit are cut off, the longest unread first,
          until the host is no longer full
        - a target that has not read for the time limit is cut off whatever the host holds
        - above the bound, requests that are still being received are refused, the largest first, so
          that a large caller gives way and not its neighbours; small ones never
        - time in which the host itself stood still does not count
        - with bytes_max and unread_max at 0, only the pause at 256 KB remains

    USE
        1. wg_buffers* b = wg_buffers_setup(&(wg_buffers_desc){.bytes_max = bytes});
        2. wg_buffers_add(b, &peer, WG_BUFFERS_CALLER);         // once per connection
        3. wg_buffers_record_held(b, now, &peer, bytes);        // bytes were queued for the peer
           wg_buffers_record_read(b, now, &peer, bytes);        // the peer read a part of them
        4. if (wg_buffers_pauses(b, &peer)) { stop reading from the target until unread is 0 }
           wg_buffers_record_ahead(b, &peer, change);           // input that waits to be examined
        5. while ((peer = wg_buffers_next_refused(b))) { refuse its request, release its bytes }
        6. periodically: while ((peer = wg_buffers_next_cut(b, now))) { close its connection, which
           includes wg_buffers_remove(b, peer) }

    THE CALLER OWNS
        the peers, which must not move while they are added. Sizes are bytes, times microseconds of
        the host's own clock.
*/
#include "wg_base.h"

enum {
    WG_BUFFERS_UNREAD_MAX = 256 * 1024, /* unread bytes of a caller above which its target pauses */
    WG_BUFFERS_SHARE_MIN = 16 * 1024,   /* smallest share of a caller */
    WG_BUFFERS_PORTION_FULL = 1024,     /* largest read from a target while the host is full */
    WG_BUFFERS_SMALL = 8 * 1024         /* a request that holds less is received in any case */
};

typedef enum {
    WG_BUFFERS_CALLER = 0,
    WG_BUFFERS_TARGET,
    WG_BUFFERS_KINDS_NUM
} wg_buffers_kind;

typedef enum {
    WG_BUFFERS_NORMAL = 0, /* below three quarters of the bound, or no bound */
    WG_BUFFERS_SHARED,     /* each caller has an equal share */
    WG_BUFFERS_FULL        /* from seven eighths of the bound */
} wg_buffers_level;

/* A connection. Zero-initialise it; read-only for the caller, except for `user_data`. */
typedef struct {
    wg_buffers_kind kind;
    int64_t unread;  /* bytes that wait to be read by the peer */
    int64_t kept;    /* other bytes that the host keeps for requests of this connection */
    int64_t ahead;   /* bytes received from a caller that were not examined yet */
    wg_time read_at; /* last read, or when bytes began to wait; without stalls of the host */
    void* user_data;
    GList link;     /* in the list of its kind while `unread` is above 0 */
    bool receiving; /* a request of this caller is being received, and may be refused */
    GList receiving_link;
} wg_buffers_peer;

typedef struct {
    int64_t bytes_max;  /* bound for the host, bytes; default 0: none */
    wg_time unread_max; /* time without reading after which a peer may be cut off, microseconds;
                           default 0: never */
} wg_buffers_desc;

typedef struct wg_buffers wg_buffers;

wg_buffers* wg_buffers_setup(const wg_buffers_desc* desc);
void wg_buffers_shutdown(wg_buffers* buffers);

void wg_buffers_add(wg_buffers* buffers, wg_buffers_peer* peer, wg_buffers_kind kind);
/* Everything held for the peer was released. */
void wg_buffers_remove(wg_buffers* buffers, wg_buffers_peer* peer);

/* Bytes were queued for the peer. Those for a target are part of a request body, which is kept for
   its caller; they do not count twice for the host. */
void wg_buffers_record_held(wg_buffers* buffers, wg_time now, wg_buffers_peer* peer, int64_t bytes);
/* The peer read bytes that were queued for it. */
void wg_buffers_record_read(wg_buffers* buffers, wg_time now, wg_buffers_peer* peer, int64_t bytes);
/* The peer can take bytes, which the host has not written yet: the time without reading starts
   anew. */
void wg_buffers_record_ready(wg_buffers* buffers, wg_time now, wg_buffers_peer* peer);
/* Sets the other bytes kept: a request body until its request ends, an incomplete answer. */
void wg_buffers_set_kept(wg_buffers* buffers, wg_buffers_peer* peer, int64_t bytes);
/* Bytes of a caller's input came (`change` above 0) or were taken from it. */
void wg_buffers_record_ahead(wg_buffers* buffers, wg_buffers_peer* peer, int64_t change);
/* Whether a request of the caller is being received, so that nothing of it has run. */
void wg_buffers_set_receiving(wg_buffers* buffers, wg_buffers_peer* peer, bool receiving);
/* The host stood still for `duration` microseconds, which do not count as time without reading. */
void wg_buffers_record_stall(wg_buffers* buffers, wg_time duration);

wg_buffers_level wg_buffers_level_of(const wg_buffers* buffers);
/* Whether reading from the target of this caller has to pause now. A pause ends when everything is
   read. */
bool wg_buffers_pauses(const wg_buffers* buffers, const wg_buffers_peer* peer);
/* Largest read from a target, bytes; 0: not limited. */
int64_t wg_buffers_portion(const wg_buffers* buffers);
/* Whether the host holds more than its bound, so that no more requests are accepted. */
bool wg_buffers_exceeded(const wg_buffers* buffers);
/* Whether the peer still reads what waits for it: there is a time limit, and it has not passed. A
   connection must then not be closed as idle. */
bool wg_buffers_is_reading(const wg_buffers* buffers, wg_time now, const wg_buffers_peer* peer);

/* Returns the caller whose request, which is still being received, is to be refused next as the
   host holds more than its bound; NULL: none. */
wg_buffers_peer* wg_buffers_next_refused(const wg_buffers* buffers);
/* Returns the connection to be cut off next; NULL: none. */
wg_buffers_peer* wg_buffers_next_cut(const wg_buffers* buffers, wg_time now);
/* Time since the peer last read, microseconds, without time in which the host stood still. */
wg_time wg_buffers_unread_time(const wg_buffers* buffers, wg_time now, const wg_buffers_peer* peer);

/* Bytes that wait to be read by all peers of a kind. */
int64_t wg_buffers_unread(const wg_buffers* buffers, wg_buffers_kind kind);
/* Other bytes kept for all peers. */
int64_t wg_buffers_kept(const wg_buffers* buffers);
/* Bytes received from all callers that were not examined yet. */
int64_t wg_buffers_ahead(const wg_buffers* buffers);
/* All bytes that count for the bound. */
int64_t wg_buffers_held(const wg_buffers* buffers);
