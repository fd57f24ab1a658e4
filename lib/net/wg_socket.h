#pragma once
/*
    wg_socket.h -- what libevent's buffered connections do not tell or do

    WHAT IT DOES
        Writes at once what the kernel takes, selects whether a close resets the connection, and
        tells how a connection has ended.

    FEATURES
        - an end is orderly only if neither direction had an error: after a failed write took the
          error of a reset, reading shows a plain end
        - whether the peer's kernel has received all that was written
        - bounds on what the kernel keeps of a connection

    USE
        1. wg_socket_write(bev, bytes);
        2. in the event callback: wg_socket_end end = wg_socket_end_of(bev, what);

    THE CALLER OWNS
        the connections and all buffers.
*/
#include "wg_base.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

enum {
    /* Bytes that the kernel keeps of a connection, in either direction, and the smallest bound that
       a process with many connections sets. Without a bound the kernel buffers megabytes for each
       peer that reads nothing, and reports progress of a slow peer only after as much again. */
    WG_RECEIVE_BUFFER_MAX = 64 * 1024,
    WG_RECEIVE_BUFFER_MIN = 4 * 1024
};

/* How a connection has ended. */
typedef struct {
    bool orderly;  /* the peer closed it; no error in either direction */
    bool received; /* the peer's kernel had received all that was written to it */
} wg_socket_end;

/* Appends `bytes` to `out`, and empties them, so that `out` takes little more memory than its
   content. */
void wg_buffer_append(struct evbuffer* out, struct evbuffer* bytes);
/* Writes what the socket accepts now and buffers the remainder. Empties `bytes`. */
void wg_socket_write(struct bufferevent* bev, struct evbuffer* bytes);
/* The same with bytes that the caller keeps. Copies only what the socket does not accept now. */
void wg_socket_write_bytes(struct bufferevent* bev, const void* bytes, size_t size);
/* Selects whether a close resets the connection; the kernel then drops what the peer has not
   received. */
void wg_socket_reset_on_close(struct bufferevent* bev, bool reset);
/* Frees the connection and closes its socket at once. bufferevent_free() closes it in a later turn
   of the loop: many that are closed in one turn would need their descriptors until then. */
void wg_socket_close_and_free(struct bufferevent* bev);
/* Bounds the bytes received that the kernel keeps; for a listening socket: of each connection that
   it accepts. */
void wg_socket_limit_received(evutil_socket_t socket, int64_t bytes);
/* Bounds the bytes written that the kernel keeps before it sends them. */
void wg_socket_limit_unsent(evutil_socket_t socket, int64_t bytes);
/* The bound for one more connection, where `num` share `bytes`. The first ones get the largest, so
   all of them together may get a few times as much. */
int64_t wg_socket_share(int64_t bytes, int64_t num);
/* Whether the peer has closed and nothing is left to read. */
bool wg_socket_peer_has_closed(struct bufferevent* bev);
/* Acknowledges what arrives next at once: a peer that collects small writes until the previous one
   is acknowledged would otherwise wait, as after each exchange of a question and an answer. */
void wg_socket_acknowledge_at_once(struct bufferevent* bev);
/* Bytes written to the connection that the peer's kernel has not acknowledged. */
size_t wg_socket_unacknowledged(evutil_socket_t socket);
/* `what`: the flags of the connection's event callback. */
wg_socket_end wg_socket_end_of(struct bufferevent* bev, short what);
