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

    USE
        1. wg_socket_write(bev, bytes);
        2. in the event callback: wg_socket_end end = wg_socket_end_of(bev, what);

    THE CALLER OWNS
        the connections and all buffers.
*/
#include "wg_base.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

/* How a connection has ended. */
typedef struct {
    bool orderly;  /* the peer closed it; no error in either direction */
    bool received; /* the peer's kernel had received all that was written to it */
} wg_socket_end;

/* Writes what the socket accepts now and buffers the remainder. Empties `bytes`. */
void wg_socket_write(struct bufferevent* bev, struct evbuffer* bytes);
/* The same with bytes that the caller keeps. Copies only what the socket does not accept now. */
void wg_socket_write_bytes(struct bufferevent* bev, const void* bytes, size_t size);
/* Selects whether a close resets the connection; the kernel then drops what the peer has not
   received. */
void wg_socket_reset_on_close(struct bufferevent* bev, bool reset);
/* Whether the peer has closed and nothing is left to read. */
bool wg_socket_peer_has_closed(struct bufferevent* bev);
/* Acknowledges what arrives next at once: a peer that collects small writes until the previous one
   is acknowledged would otherwise wait, as after each exchange of a question and an answer. */
void wg_socket_acknowledge_at_once(struct bufferevent* bev);
/* Bytes written to the connection that the peer's kernel has not acknowledged. */
size_t wg_socket_unacknowledged(evutil_socket_t socket);
/* `what`: the flags of the connection's event callback. */
wg_socket_end wg_socket_end_of(struct bufferevent* bev, short what);
