/* wg_socket.c -- see wg_socket.h */
#include "wg_socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

enum {
    /* Bytes from which a buffer's memory is moved. Below it a copy takes less: what is moved keeps
       its whole allocation of 1 KB or more, also for an event of 100 bytes. */
    _WG_MOVED_MIN = 4 * 1024
};

void wg_buffer_append(struct evbuffer* out, struct evbuffer* bytes) {
    size_t size = evbuffer_get_length(bytes);
    if (size >= _WG_MOVED_MIN) {
        evbuffer_add_buffer(out, bytes);
    } else if (size > 0) {
        evbuffer_add(out, evbuffer_pullup(bytes, -1), size);
        evbuffer_drain(bytes, size);
    }
}

void wg_socket_write(struct bufferevent* bev, struct evbuffer* bytes) {
    struct evbuffer* out = bufferevent_get_output(bev);
    evutil_socket_t fd = bufferevent_getfd(bev);
    if (evbuffer_get_length(out) == 0 && fd >= 0) {
        while (evbuffer_get_length(bytes) > 0 && evbuffer_write(bytes, fd) > 0) {
        }
    }
    wg_buffer_append(out, bytes); /* errors are reported when the loop writes */
}

void wg_socket_write_bytes(struct bufferevent* bev, const void* bytes, size_t size) {
    struct evbuffer* out = bufferevent_get_output(bev);
    evutil_socket_t fd = bufferevent_getfd(bev);
    size_t sent = 0;
    if (evbuffer_get_length(out) == 0 && fd >= 0) {
        ssize_t result = send(fd, bytes, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        sent = result > 0 ? (size_t)result : 0;
    }
    if (sent < size) {
        evbuffer_add(out, (const char*)bytes + sent, size - sent);
    }
}

void wg_socket_reset_on_close(struct bufferevent* bev, bool reset) {
    struct linger linger = {.l_onoff = reset, .l_linger = 0};
    setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

void wg_socket_close_and_free(struct bufferevent* bev) {
    evutil_socket_t socket = bufferevent_getfd(bev);
    if (socket >= 0) {
        bufferevent_setfd(bev, -1);
        evutil_closesocket(socket);
    }
    bufferevent_free(bev);
}

void wg_socket_limit_received(evutil_socket_t socket, int64_t bytes) {
    int half = (int)(bytes / 2); /* the kernel doubles it */
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &half, sizeof half);
}

void wg_socket_limit_unsent(evutil_socket_t socket, int64_t bytes) {
    int max = (int)bytes;
    setsockopt(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max, sizeof max);
}

int64_t wg_socket_share(int64_t bytes, int64_t num) {
    return CLAMP(bytes / MAX(num, 1), (int64_t)WG_RECEIVE_BUFFER_MIN,
                 (int64_t)WG_RECEIVE_BUFFER_MAX);
}

bool wg_socket_peer_has_closed(struct bufferevent* bev) {
    char byte;
    return recv(bufferevent_getfd(bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void wg_socket_acknowledge_at_once(struct bufferevent* bev) {
    int on = 1;
    setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_QUICKACK, &on, sizeof on);
}

size_t wg_socket_unacknowledged(evutil_socket_t socket) {
    int bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? (size_t)bytes : 0;
}

wg_socket_end wg_socket_end_of(struct bufferevent* bev, short what) {
    bool written = evbuffer_get_length(bufferevent_get_output(bev)) == 0;
    return (wg_socket_end){
        .orderly = (what & BEV_EVENT_EOF) && !(what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)),
        .received = written && wg_socket_unacknowledged(bufferevent_getfd(bev)) == 0};
}
