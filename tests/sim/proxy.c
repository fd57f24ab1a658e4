/* proxy.c -- see proxy.h */
#include "proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "wg_net.h"

enum {
    PROXY_DELAY_US = 60 * 1000
};

typedef struct {
    proxy* owner;
    struct bufferevent* ends[2]; /* 0: the client, 1: the upstream */
    struct event* timers[2];     /* PROXY_DELAY: forwards what was read from an end */
} pair_t;

struct proxy {
    struct event_base* base;
    struct evconnlistener* listener;
    struct sockaddr_storage upstream;
    int upstream_size;
    proxy_mode mode;
    GPtrArray* pairs;
};

static bool is_blocked(const proxy* p, int from) {
    return p->mode == PROXY_BLOCK || (p->mode == PROXY_BLOCK_TO && from == 0) ||
           (p->mode == PROXY_BLOCK_FROM && from == 1);
}

static void pair_free(pair_t* pair) {
    g_ptr_array_remove_fast(pair->owner->pairs, pair);
    for (int i = 0; i < 2; i++) {
        event_free(pair->timers[i]);
        bufferevent_free(pair->ends[i]);
    }
    g_free(pair);
}

static void forward(pair_t* pair, int from) {
    bufferevent_read_buffer(pair->ends[from], bufferevent_get_output(pair->ends[1 - from]));
}

static int end_index(const pair_t* pair, const struct bufferevent* bev) {
    return pair->ends[0] == bev ? 0 : 1;
}

static void on_read(struct bufferevent* bev, void* user_data) {
    pair_t* pair = user_data;
    int from = end_index(pair, bev);
    if (is_blocked(pair->owner, from)) {
        bufferevent_disable(bev, EV_READ);
    } else if (pair->owner->mode == PROXY_DELAY) {
        struct timeval wait = {.tv_usec = PROXY_DELAY_US};
        bufferevent_disable(bev, EV_READ);
        event_add(pair->timers[from], &wait);
    } else {
        forward(pair, from);
    }
}

static void on_delay(pair_t* pair, int from) {
    if (!is_blocked(pair->owner, from)) {
        forward(pair, from);
        bufferevent_enable(pair->ends[from], EV_READ);
    }
}

static void on_delay_0(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    on_delay(user_data, 0);
}

static void on_delay_1(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    on_delay(user_data, 1);
}

/* When one end closes, flushes what it sent and closes the other end. */
static void on_event(struct bufferevent* bev, short what, void* user_data) {
    pair_t* pair = user_data;
    if (what & BEV_EVENT_CONNECTED) {
        return;
    }
    int from = end_index(pair, bev);
    if (!is_blocked(pair->owner, from)) {
        forward(pair, from);
        struct evbuffer* out = bufferevent_get_output(pair->ends[1 - from]);
        evbuffer_write(out, bufferevent_getfd(pair->ends[1 - from]));
    }
    pair_free(pair);
}

static void on_accept(struct evconnlistener* listener, evutil_socket_t fd, struct sockaddr* address,
                      int size, void* user_data) {
    (void)listener;
    (void)address;
    (void)size;
    proxy* p = user_data;
    pair_t* pair = g_new0(pair_t, 1);
    pair->owner = p;
    pair->ends[0] =
        bufferevent_socket_new(p->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    pair->ends[1] =
        bufferevent_socket_new(p->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    pair->timers[0] = evtimer_new(p->base, on_delay_0, pair);
    pair->timers[1] = evtimer_new(p->base, on_delay_1, pair);
    g_ptr_array_add(p->pairs, pair);
    for (int i = 0; i < 2; i++) {
        bufferevent_setcb(pair->ends[i], on_read, NULL, on_event, pair);
        bufferevent_enable(pair->ends[i], EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(pair->ends[1], (struct sockaddr*)&p->upstream, p->upstream_size);
}

proxy* proxy_start(struct event_base* base, const char* listen, const char* upstream) {
    proxy* p = g_new0(proxy, 1);
    struct sockaddr_storage address;
    int size;
    p->base = base;
    p->pairs = g_ptr_array_new();
    WG_ASSERT(wgn_parse_address(listen, &address, &size));
    WG_ASSERT(wgn_parse_address(upstream, &p->upstream, &p->upstream_size));
    p->listener =
        evconnlistener_new_bind(base, on_accept, p, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                (struct sockaddr*)&address, size);
    WG_ASSERT(p->listener != NULL);
    return p;
}

void proxy_set(proxy* p, proxy_mode mode) {
    p->mode = mode;
    for (guint i = 0; i < p->pairs->len; i++) {
        pair_t* pair = p->pairs->pdata[i];
        for (int from = 0; from < 2; from++) {
            if (!is_blocked(p, from)) {
                forward(pair, from);
                bufferevent_enable(pair->ends[from], EV_READ);
            }
        }
    }
}

void proxy_reset(proxy* p) {
    while (p->pairs->len > 0) {
        pair_t* pair = p->pairs->pdata[0];
        struct linger now = {.l_onoff = 1};
        for (int i = 0; i < 2; i++) {
            setsockopt(bufferevent_getfd(pair->ends[i]), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        pair_free(pair);
    }
}

void proxy_stop(proxy* p) {
    proxy_reset(p);
    evconnlistener_free(p->listener);
    g_ptr_array_unref(p->pairs);
    g_free(p);
}
