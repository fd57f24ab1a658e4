/* wg_exchange.c -- see wg_exchange.h */
#include "wg_exchange.h"

#include "wg_net.h"
#include "wg_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

typedef enum {
    WG_EXCHANGE_IDLE = 0,
    WG_EXCHANGE_HEAD, /* connects, sends the request, or waits for the head of its answer */
    WG_EXCHANGE_BODY,
    WG_EXCHANGE_BROKEN /* cannot be used again */
} wg_exchange_state;

struct wg_exchange {
    struct bufferevent* bev;
    struct event* timer; /* of the whole exchange */
    wg_exchange_state state;
    size_t head_max;
    size_t body_max;
    wg_answer answer;
    struct evbuffer* body;
    const wg_exchange_handler* handler;
    void* user_data;
    int callbacks; /* of the handler that are running */
    bool closed;   /* in one of them */
};

/* ---- helpers ------------------------------------------------------------------------------- */

static void _wg_exchange_free(wg_exchange* x) {
    bufferevent_free(x->bev);
    event_free(x->timer);
    wg_answer_clear(&x->answer);
    evbuffer_free(x->body);
    g_free(x);
}

/* False if the owner has closed the connection: it is freed. */
static bool _wg_exchange_leave_callback(wg_exchange* x) {
    x->callbacks--;
    if (x->closed && x->callbacks == 0) {
        _wg_exchange_free(x);
        return false;
    }
    return !x->closed;
}

static void _wg_exchange_break(wg_exchange* x) {
    x->state = WG_EXCHANGE_BROKEN;
    bufferevent_disable(x->bev, EV_READ | EV_WRITE);
}

/* Ends the exchange. The connection may be freed. */
static void _wg_exchange_finish(wg_exchange* x, wg_exchange_result result) {
    bool kept = result == WG_EXCHANGE_WHOLE && x->answer.head.keep_alive &&
                evbuffer_get_length(bufferevent_get_input(x->bev)) == 0 &&
                evbuffer_get_length(bufferevent_get_output(x->bev)) == 0;
    event_del(x->timer);
    bufferevent_set_timeouts(x->bev, NULL, NULL);
    x->state = WG_EXCHANGE_IDLE;
    if (!kept) {
        _wg_exchange_break(x);
    }
    x->callbacks++;
    x->handler->on_done(result, x->user_data);
    _wg_exchange_leave_callback(x);
}

static bool _wg_exchange_is_active(const wg_exchange* x) {
    return x->state == WG_EXCHANGE_HEAD || x->state == WG_EXCHANGE_BODY;
}

/* False if the exchange is over or waits for more bytes. */
static bool _wg_exchange_read_head(wg_exchange* x) {
    wg_answer_state state = wg_answer_read_head(&x->answer, bufferevent_get_input(x->bev));
    if (state == WG_ANSWER_MORE) {
        return false;
    }
    if (state != WG_ANSWER_COMPLETE) {
        _wg_exchange_finish(x, WG_EXCHANGE_FAILED);
        return false;
    }
    x->state = WG_EXCHANGE_BODY;
    if (!x->handler->on_head) {
        return true;
    }
    x->callbacks++;
    bool goes_on = x->handler->on_head(&x->answer.head, x->user_data);
    if (!_wg_exchange_leave_callback(x)) {
        return false;
    }
    if (!goes_on) {
        _wg_exchange_finish(x, WG_EXCHANGE_FAILED);
    }
    return goes_on;
}

/* Passes on what was read of the body. False if the connection was freed. */
static bool _wg_exchange_pass_body(wg_exchange* x) {
    if (!x->handler->on_body || evbuffer_get_length(x->body) == 0) {
        return true;
    }
    x->callbacks++;
    x->handler->on_body(x->body, x->user_data);
    return _wg_exchange_leave_callback(x);
}

static void _wg_exchange_read_body(wg_exchange* x) {
    wg_answer_state state = wg_answer_read_body(&x->answer, bufferevent_get_input(x->bev), x->body);
    if (!_wg_exchange_pass_body(x)) {
        return;
    }
    bool too_long = x->body_max && evbuffer_get_length(x->body) > x->body_max;
    if (state == WG_ANSWER_MALFORMED || too_long) {
        _wg_exchange_finish(x, WG_EXCHANGE_FAILED);
    } else if (state == WG_ANSWER_COMPLETE) {
        _wg_exchange_finish(x, WG_EXCHANGE_WHOLE);
    }
}

static void _wg_exchange_on_read(struct bufferevent* bev, void* user_data) {
    (void)bev;
    wg_exchange* x = user_data;
    if (!_wg_exchange_is_active(x)) {
        _wg_exchange_break(x); /* what comes without a request belongs to none */
        return;
    }
    if (x->state == WG_EXCHANGE_HEAD && !_wg_exchange_read_head(x)) {
        return;
    }
    _wg_exchange_read_body(x);
}

static void _wg_exchange_on_event(struct bufferevent* bev, short what, void* user_data) {
    wg_exchange* x = user_data;
    if (what & BEV_EVENT_CONNECTED) {
        int on = 1;
        setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return;
    }
    wg_socket_end end = wg_socket_end_of(bev, what);
    if (!_wg_exchange_is_active(x)) {
        _wg_exchange_break(x);
        return;
    }
    bool whole = x->state == WG_EXCHANGE_BODY &&
                 wg_answer_is_ended_by(&x->answer, end.orderly, end.received);
    _wg_exchange_finish(x, whole ? WG_EXCHANGE_WHOLE_BY_CONNECTION : WG_EXCHANGE_FAILED);
}

static void _wg_exchange_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    _wg_exchange_finish(user_data, WG_EXCHANGE_FAILED);
}

/* Bytes removed from the output buffer were handed to the kernel. */
static void _wg_exchange_on_output(struct evbuffer* buffer, const struct evbuffer_cb_info* info,
                                   void* user_data) {
    (void)buffer;
    wg_exchange* x = user_data;
    if (info->n_deleted > 0 && _wg_exchange_is_active(x) && x->handler->on_written) {
        x->handler->on_written(x->user_data);
    }
}

static struct timeval _wg_exchange_timeval(wg_time time) {
    return (struct timeval){.tv_sec = time / WG_USEC_PER_SEC, .tv_usec = time % WG_USEC_PER_SEC};
}

static bool _wg_exchange_states_length(const wg_exchange_request* request, size_t size) {
    return size > 0 || strcmp(request->method, "POST") == 0 ||
           strcmp(request->method, "PUT") == 0 || strcmp(request->method, "PATCH") == 0;
}

static void _wg_exchange_write(wg_exchange* x, const wg_exchange_request* request) {
    struct evbuffer* out = bufferevent_get_output(x->bev);
    size_t size = request->body ? evbuffer_get_length(request->body) : 0;
    evbuffer_add_printf(out, "%s %s HTTP/1.1\r\n", request->method, request->target);
    evbuffer_add_buffer(out, request->fields);
    if (_wg_exchange_states_length(request, size)) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n", size);
    }
    evbuffer_add(out, "\r\n", 2);
    if (size > 0) {
        evbuffer_add_buffer_reference(out, request->body);
    }
}

/* ---- public functions ---------------------------------------------------------------------- */

wg_exchange* wg_exchange_open(const wg_exchange_desc* desc) {
    struct sockaddr_storage address;
    int size;
    if (!wgn_parse_address(desc->address, &address, &size)) {
        return NULL;
    }
    wg_exchange* x = g_new0(wg_exchange, 1);
    x->head_max = desc->head_max;
    x->body = evbuffer_new();
    x->timer = evtimer_new(desc->base, _wg_exchange_on_timer, x);
    x->bev =
        bufferevent_socket_new(desc->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(x->bev, _wg_exchange_on_read, NULL, _wg_exchange_on_event, x);
    evbuffer_add_cb(bufferevent_get_output(x->bev), _wg_exchange_on_output, x);
    bufferevent_enable(x->bev, EV_READ | EV_WRITE);
    /* A failure is reported by the event callback, once a request waits for its answer. */
    if (bufferevent_socket_connect(x->bev, (struct sockaddr*)&address, size) != 0) {
        _wg_exchange_break(x);
    }
    return x;
}

void wg_exchange_close(wg_exchange* x) {
    x->closed = true;
    event_del(x->timer);
    if (x->callbacks == 0) {
        _wg_exchange_free(x);
    }
}

void wg_exchange_send(wg_exchange* x, const wg_exchange_request* request,
                      const wg_exchange_handler* handler, void* user_data) {
    WG_ASSERT(!_wg_exchange_is_active(x));
    struct timeval timeout = _wg_exchange_timeval(request->timeout);
    struct timeval idle = _wg_exchange_timeval(request->idle_timeout);
    bool bodiless = strcmp(request->method, "HEAD") == 0;
    bool broken = x->state == WG_EXCHANGE_BROKEN;
    x->handler = handler;
    x->user_data = user_data;
    x->body_max = request->body_max;
    evbuffer_drain(x->body, evbuffer_get_length(x->body));
    wg_answer_begin(&x->answer, &(wg_answer_desc){bodiless, x->head_max});
    x->state = WG_EXCHANGE_HEAD;
    if (broken) {
        event_active(x->timer, EV_TIMEOUT, 0); /* fails from the loop */
        return;
    }
    _wg_exchange_write(x, request);
    if (request->timeout) {
        event_add(x->timer, &timeout);
    }
    bufferevent_set_timeouts(x->bev, request->idle_timeout ? &idle : NULL, NULL);
    bufferevent_enable(x->bev, EV_READ);
}

bool wg_exchange_is_usable(const wg_exchange* x) {
    return x->state == WG_EXCHANGE_IDLE && !wg_socket_peer_has_closed(x->bev);
}

const wg_message_head* wg_exchange_head(const wg_exchange* x) {
    return &x->answer.head;
}

struct evbuffer* wg_exchange_body(const wg_exchange* x) {
    return x->body;
}

void wg_exchange_pause(wg_exchange* x) {
    bufferevent_disable(x->bev, EV_READ);
}

void wg_exchange_resume(wg_exchange* x) {
    if (_wg_exchange_is_active(x)) {
        bufferevent_enable(x->bev, EV_READ);
    }
}

void wg_exchange_add_field(struct evbuffer* fields, const char* name, const char* value) {
    evbuffer_add_printf(fields, "%s: %s\r\n", name, value);
}
