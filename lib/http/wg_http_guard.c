/* wg_http_guard.c -- bounds on what callers make a server over evhttp hold, and on their number

   evhttp keeps what a connection sends until it is understood, a body until it is whole, and reads
   on while it answers. Here each connection is created with callbacks that count what it holds, and
   with a limit to what is read ahead of the request that is due. */
#include "wg_http_internal.h"

#include "wg_hangup.h"
#include "wg_socket.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/bufferevent_struct.h>
#include <event2/listener.h>

/* ---- types ----------------------------------------------------------------------------------- */

enum {
    _WGH_INPUT_PORTION = 4 * 1024, /* bytes read of a head before its lines are looked at */
    _WGH_INPUT_MARGIN = 16 * 1024, /* bytes read beyond the limit of a head or a body */
    _WGH_FIELDS_MAX = 256,         /* lines of a head */
    _WGH_FIELD_BYTES = 128,        /* that evhttp takes for a field beside its text */
    _WGH_SMALL = 8 * 1024,         /* a connection that holds less is not closed for it */
    _WGH_KERNEL_DIVISOR = 4,       /* of the bound: kept by the kernel in one direction */
    _WGH_IDLE_MIN = 100 * WG_USEC_PER_MSEC, /* a request may be on its way */
    _WGH_SLOW_MIN = WG_USEC_PER_SEC,        /* for a request, or for reading an answer */
    _WGH_PAUSE = 20 * WG_USEC_PER_MSEC,     /* until connections that may give way are looked for */
    _WGH_LOG_INTERVAL = WG_USEC_PER_SEC
};

typedef enum {
    _WGH_HEAD = 0, /* waits for a request, or receives its head */
    _WGH_BODY,
    _WGH_RUNNING /* the request is handled, or its answer is written */
} _wgh_phase;

typedef struct {
    void (*call)(struct evhttp_connection* connection, void* user_data);
    void* user_data;
} _wgh_closed_cb;

typedef struct {
    void (*call)(struct evhttp_request* request, void* user_data);
    void* user_data;
} _wgh_replied_cb;

typedef struct {
    _wgh_guard* guard;
    struct bufferevent* bev;
    struct evhttp_connection* connection; /* NULL until it is adopted */
    _wgh_phase phase;
    wg_time since;    /* start of the phase */
    size_t input_max; /* bytes that are read ahead */
    size_t line_size; /* bytes of the line of the head that is received */
    int lines;        /* of the head */
    bool bad;         /* its head has too many lines; it is closed */
    bool watched;     /* the end of the connection is looked for while its request runs */
    int64_t taken;    /* bytes of the request that evhttp has taken from the input */
    int64_t kept;     /* other bytes that are kept for the request, see wgh_set_kept() */
    int64_t held;     /* bytes in the guard's account */
    _wgh_closed_cb on_closed;
    _wgh_replied_cb on_replied;
    wg_hangup hangup;
    GList link;
} _wgh_connection;

struct _wgh_guard {
    wgh_limits limits;
    struct evconnlistener* listener;
    struct event* work;  /* active: there are connections to adopt or to close */
    struct event* timer; /* while no connection may give way to new ones */
    wg_hangups* hangups;
    GQueue connections; /* _wgh_connection */
    int fresh;          /* of them, not adopted */
    int suspects;       /* of them, that may have to be closed for what they sent */
    int64_t held;
    bool full;   /* accepting is paused, as there are too many connections */
    bool paused; /* accepting is paused by the owner */
    wgh_request_cb handler;
    void* user_data;
    uint64_t closed_for_bytes;
    uint64_t closed_for_others;
    uint64_t refused;
    uint64_t logged; /* sum of the three when the last line was logged */
    wg_time logged_at;
};

/* evhttp_connection -> _wgh_connection, of all servers of this process */
static GHashTable* _wgh_adopted;

/* ---- helpers: accounts ----------------------------------------------------------------------- */

static _wgh_connection* _wgh_find(struct evhttp_connection* connection) {
    return _wgh_adopted && connection ? g_hash_table_lookup(_wgh_adopted, connection) : NULL;
}

static size_t _wgh_input_size(const _wgh_connection* c) {
    return evbuffer_get_length(bufferevent_get_input(c->bev));
}

static size_t _wgh_output_size(const _wgh_connection* c) {
    return evbuffer_get_length(bufferevent_get_output(c->bev));
}

static bool _wgh_is_exceeded(const _wgh_guard* g) {
    return g->held > g->limits.held_max;
}

static void _wgh_count(_wgh_connection* c) {
    _wgh_guard* g = c->guard;
    int64_t held = (int64_t)(_wgh_input_size(c) + _wgh_output_size(c)) + c->taken + c->kept +
                   (int64_t)c->lines * _WGH_FIELD_BYTES;
    g->held += held - c->held;
    c->held = held;
    if (_wgh_is_exceeded(g)) {
        event_active(g->work, EV_TIMEOUT, 1);
    }
}

/* The connection is looked at once evhttp has taken what it understands. */
static void _wgh_suspect(_wgh_connection* c) {
    c->guard->suspects++;
    event_active(c->guard->work, EV_TIMEOUT, 1);
}

static void _wgh_set_input_max(_wgh_connection* c, size_t bytes) {
    if (bytes != c->input_max) {
        c->input_max = bytes;
        bufferevent_setwatermark(c->bev, EV_READ, 0, bytes);
    }
}

/* ---- helpers: heads -------------------------------------------------------------------------- */

static void _wgh_enter(_wgh_connection* c, _wgh_phase phase) {
    c->phase = phase;
    c->since = wg_now();
    if (phase == _WGH_BODY) {
        _wgh_set_input_max(c, (size_t)(c->guard->limits.body_max + _WGH_INPUT_MARGIN));
    } else if (phase == _WGH_RUNNING) {
        _wgh_set_input_max(c, 1); /* enough to find the end of the connection */
    }
}

/* One byte of a head. False once the head is complete. */
static bool _wgh_scan_byte(_wgh_connection* c, char byte) {
    if (byte != '\n') {
        c->line_size += byte != '\r';
        return true;
    }
    bool ends = c->line_size == 0 && c->lines > 0;
    c->lines += c->line_size > 0;
    c->line_size = 0;
    if (c->lines > _WGH_FIELDS_MAX && !c->bad) {
        c->bad = true;
        _wgh_suspect(c);
    }
    return !ends;
}

/* Counts the lines of a head in the last `size` bytes of the input. What follows the head is looked
   at when the request was answered. */
static void _wgh_scan(_wgh_connection* c, struct evbuffer* in, size_t size) {
    struct evbuffer_ptr at;
    struct evbuffer_iovec parts[8];
    size_t have = evbuffer_get_length(in);
    for (size_t left = size; left > 0;) {
        evbuffer_ptr_set(in, &at, have - left, EVBUFFER_PTR_SET);
        int num = evbuffer_peek(in, (ev_ssize_t)left, &at, parts, G_N_ELEMENTS(parts));
        num = MIN(num, (int)G_N_ELEMENTS(parts));
        for (int i = 0; i < num && left > 0; i++) {
            size_t part = MIN(parts[i].iov_len, left);
            for (size_t n = 0; n < part; n++) {
                if (!_wgh_scan_byte(c, ((const char*)parts[i].iov_base)[n])) {
                    _wgh_enter(c, _WGH_BODY);
                    return;
                }
            }
            left -= part;
        }
    }
    size_t max = (size_t)(c->guard->limits.head_max + _WGH_INPUT_MARGIN);
    _wgh_set_input_max(c, MIN(2 * c->line_size + _WGH_INPUT_PORTION, max));
}

static void _wgh_begin_head(_wgh_connection* c) {
    struct evbuffer* in = bufferevent_get_input(c->bev);
    c->line_size = 0;
    c->lines = 0;
    c->taken = 0;
    c->kept = 0;
    _wgh_enter(c, _WGH_HEAD);
    _wgh_scan(c, in, evbuffer_get_length(in));
    _wgh_count(c);
}

/* ---- helpers: connections -------------------------------------------------------------------- */

/* Whether a request has filled the input: more than the largest one takes, a line of a chunk
   without end. */
static bool _wgh_is_filled(const _wgh_connection* c) {
    return c->phase == _WGH_BODY && _wgh_input_size(c) >= c->input_max;
}

static void _wgh_on_input(struct evbuffer* in, const struct evbuffer_cb_info* info,
                          void* user_data) {
    _wgh_connection* c = user_data;
    if (c->phase != _WGH_RUNNING) {
        c->taken += c->guard->handler ? (int64_t)info->n_deleted : 0;
    } else if (info->n_added > 0 && c->watched) {
        wg_hangups_watch(c->guard->hangups, &c->hangup);
    }
    if (c->phase == _WGH_HEAD && info->n_added > 0) {
        _wgh_scan(c, in, info->n_added);
    }
    if (_wgh_is_filled(c)) {
        _wgh_suspect(c);
    }
    _wgh_count(c);
}

static void _wgh_on_output(struct evbuffer* out, const struct evbuffer_cb_info* info,
                           void* user_data) {
    (void)out;
    (void)info;
    _wgh_count(user_data);
}

static void _wgh_listen(_wgh_guard* g) {
    bool accepts = !g->full && !g->paused;
    if (accepts) {
        evconnlistener_enable(g->listener);
    } else {
        evconnlistener_disable(g->listener);
    }
}

static void _wgh_set_full(_wgh_guard* g, bool full) {
    if (full != g->full) {
        g->full = full;
        _wgh_listen(g);
    }
}

static void _wgh_remove(_wgh_connection* c) {
    _wgh_guard* g = c->guard;
    evbuffer_remove_cb(bufferevent_get_input(c->bev), _wgh_on_input, c);
    evbuffer_remove_cb(bufferevent_get_output(c->bev), _wgh_on_output, c);
    wg_hangups_forget(&c->hangup);
    g->held -= c->held;
    g->fresh -= c->connection == NULL;
    g_queue_unlink(&g->connections, &c->link);
    if (c->connection) {
        g_hash_table_remove(_wgh_adopted, c->connection);
    }
    g_free(c);
    if ((int)g->connections.length < g->limits.connections_max) {
        _wgh_set_full(g, false);
    }
}

static void _wgh_on_closed(struct evhttp_connection* connection, void* user_data) {
    _wgh_connection* c = user_data;
    _wgh_closed_cb on_closed = c->on_closed;
    _wgh_remove(c);
    if (on_closed.call) {
        on_closed.call(connection, on_closed.user_data);
    }
}

static void _wgh_on_hangup(void* user_data) {
    _wgh_connection* c = user_data;
    bufferevent_trigger_event(c->bev, BEV_EVENT_READING | BEV_EVENT_EOF, BEV_TRIG_DEFER_CALLBACKS);
}

/* Creates the buffered connection of a new caller, as evhttp does. */
static struct bufferevent* _wgh_new_connection(struct event_base* base, void* user_data) {
    _wgh_guard* g = user_data;
    struct bufferevent* bev = bufferevent_socket_new(base, -1, 0);
    if (!bev) {
        return NULL;
    }
    _wgh_connection* c = g_new0(_wgh_connection, 1);
    c->guard = g;
    c->bev = bev;
    c->since = wg_now();
    c->link = (GList){.data = c};
    _wgh_set_input_max(c, _WGH_INPUT_PORTION);
    evbuffer_add_cb(bufferevent_get_input(bev), _wgh_on_input, c);
    evbuffer_add_cb(bufferevent_get_output(bev), _wgh_on_output, c);
    g_queue_push_tail_link(&g->connections, &c->link);
    g->fresh++;
    if ((int)g->connections.length >= g->limits.connections_max) {
        _wgh_set_full(g, true);
    }
    event_active(g->work, EV_TIMEOUT, 1);
    return bev;
}

/* evhttp's connection is known once it has set its callbacks. */
static void _wgh_adopt(_wgh_connection* c) {
    _wgh_guard* g = c->guard;
    void* connection = NULL;
    bufferevent_getcb(c->bev, NULL, NULL, NULL, &connection);
    c->connection = connection;
    g->fresh--;
    g_hash_table_insert(_wgh_adopted, connection, c);
    evhttp_connection_set_closecb(c->connection, _wgh_on_closed, c);
    evutil_socket_t fd = bufferevent_getfd(c->bev);
    int64_t share =
        wg_socket_share(g->limits.held_max / _WGH_KERNEL_DIVISOR, g->connections.length);
    c->hangup = (wg_hangup){.fd = fd, .on_hangup = _wgh_on_hangup, .user_data = c};
    wg_socket_limit_unsent(fd, share);
    if (share < WG_RECEIVE_BUFFER_MAX) {
        wg_socket_limit_received(fd, share);
    }
}

static void _wgh_adopt_all(_wgh_guard* g) {
    for (GList* at = g->connections.tail; at && g->fresh > 0; at = at->prev) {
        _wgh_connection* c = at->data;
        if (!c->connection) {
            _wgh_adopt(c);
        }
    }
}

/* ---- helpers: closing ------------------------------------------------------------------------ */

/* Whether closing it cuts no request that is handled now. */
static bool _wgh_may_close(const _wgh_connection* c) {
    return c->phase != _WGH_RUNNING || _wgh_output_size(c) > 0;
}

static bool _wgh_is_idle(const _wgh_connection* c) {
    return c->phase == _WGH_HEAD && c->held == 0;
}

/* The connection that holds most, of those that may be closed; NULL: none holds much. */
static _wgh_connection* _wgh_largest(const _wgh_guard* g) {
    _wgh_connection* largest = NULL;
    int64_t most = _WGH_SMALL;
    for (const GList* at = g->connections.head; at; at = at->next) {
        _wgh_connection* c = at->data;
        if (c->held > most && _wgh_may_close(c)) {
            most = c->held;
            largest = c;
        }
    }
    return largest;
}

/* The connection that gives way to a new one: the one idle for longest, or the one slowest; NULL:
   none may. */
static _wgh_connection* _wgh_longest(const _wgh_guard* g, wg_time now) {
    _wgh_connection* idle = NULL;
    _wgh_connection* slow = NULL;
    for (const GList* at = g->connections.head; at; at = at->next) {
        _wgh_connection* c = at->data;
        if (_wgh_is_idle(c) && now - c->since >= _WGH_IDLE_MIN &&
            (!idle || c->since < idle->since)) {
            idle = c;
        } else if (_wgh_may_close(c) && now - c->since >= _WGH_SLOW_MIN &&
                   (!slow || c->since < slow->since)) {
            slow = c;
        }
    }
    return idle ? idle : slow;
}

static void _wgh_close(_wgh_connection* c) {
    evhttp_connection_free(c->connection);
}

static void _wgh_close_bad(_wgh_guard* g) {
    GList* at = g->suspects > 0 ? g->connections.head : NULL;
    g->suspects = 0;
    while (at) {
        _wgh_connection* c = at->data;
        at = at->next;
        if (c->bad || _wgh_is_filled(c)) {
            g->refused++;
            _wgh_close(c);
        }
    }
}

static void _wgh_close_largest(_wgh_guard* g) {
    _wgh_connection* c;
    while (_wgh_is_exceeded(g) && (c = _wgh_largest(g))) {
        g->closed_for_bytes++;
        _wgh_close(c);
    }
}

static void _wgh_make_room(_wgh_guard* g, wg_time now) {
    _wgh_connection* c = g->full ? _wgh_longest(g, now) : NULL;
    if (c) {
        g->closed_for_others++;
        _wgh_close(c);
    } else if (g->full) {
        struct timeval pause = {.tv_usec = _WGH_PAUSE};
        event_add(g->timer, &pause);
    }
}

static void _wgh_log(_wgh_guard* g, wg_time now) {
    uint64_t sum = g->closed_for_bytes + g->closed_for_others + g->refused;
    if (sum == g->logged || (g->logged_at && now - g->logged_at < _WGH_LOG_INTERVAL)) {
        return;
    }
    wg_log(WG_EVENT_PORT_CROWDED,
           "port=%s connections=%u of=%d held=%" G_GINT64_FORMAT " of=%" G_GINT64_FORMAT
           " closed_for_bytes=%" G_GUINT64_FORMAT " closed_for_others=%" G_GUINT64_FORMAT
           " refused=%" G_GUINT64_FORMAT,
           g->limits.name, g->connections.length, g->limits.connections_max, g->held,
           g->limits.held_max, g->closed_for_bytes, g->closed_for_others, g->refused);
    g->logged = sum;
    g->logged_at = now;
}

static void _wgh_on_work(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    _wgh_guard* g = user_data;
    wg_time now = wg_now();
    _wgh_adopt_all(g);
    _wgh_close_bad(g);
    _wgh_close_largest(g);
    _wgh_make_room(g, now);
    _wgh_log(g, now);
}

/* ---- helpers: requests ----------------------------------------------------------------------- */

static void _wgh_on_replied(struct evhttp_request* request, void* user_data) {
    _wgh_connection* c = user_data;
    _wgh_replied_cb on_replied = c->on_replied;
    c->on_replied = (_wgh_replied_cb){0};
    c->watched = false;
    wg_hangups_forget(&c->hangup);
    if (on_replied.call) {
        on_replied.call(request, on_replied.user_data);
    }
    _wgh_begin_head(c);
}

static void _wgh_refuse(_wgh_guard* g, struct evhttp_request* request) {
    g->refused++;
    wgh_reply_error(request, &(wgh_error){.status = 503,
                                          .code = "buffers_full",
                                          .verdict = WG_VERDICT_NOT_RUN,
                                          .retry_after = WG_USEC_PER_SEC / 2,
                                          .message = "this process holds too many requests"});
}

static void _wgh_on_request(struct evhttp_request* request, void* user_data) {
    _wgh_guard* g = user_data;
    _wgh_connection* c = _wgh_find(evhttp_request_get_connection(request));
    WG_ASSERT(c != NULL && g->handler);
    _wgh_enter(c, _WGH_RUNNING);
    evhttp_request_set_on_complete_cb(request, _wgh_on_replied, c);
    if (g->full) {
        /* Others wait to be accepted. */
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    }
    if (_wgh_is_exceeded(g) && c->held > _WGH_SMALL) {
        _wgh_refuse(g, request);
    } else {
        g->handler(request, g->user_data);
    }
}

/* ---- functions of the library ---------------------------------------------------------------- */

_wgh_guard* _wgh_guard_setup(struct event_base* base, struct evhttp* http,
                             struct evconnlistener* listener, const wgh_limits* limits) {
    _wgh_guard* g = g_new0(_wgh_guard, 1);
    g->limits = *limits;
    g->listener = listener;
    g->work = event_new(base, -1, 0, _wgh_on_work, g);
    g->timer = event_new(base, -1, 0, _wgh_on_work, g);
    event_priority_set(g->work, 0);
    g->hangups = wg_hangups_setup(base);
    g_queue_init(&g->connections);
    if (!_wgh_adopted) {
        _wgh_adopted = g_hash_table_new(NULL, NULL);
    }
    wg_socket_limit_received(evconnlistener_get_fd(listener), WG_RECEIVE_BUFFER_MAX);
    evhttp_set_bevcb(http, _wgh_new_connection, g);
    evhttp_set_gencb(http, _wgh_on_request, g);
    return g;
}

void _wgh_guard_shutdown(_wgh_guard* g) {
    while (g->connections.head) {
        /* Not adopted, so evhttp has not reported its end; its buffers are gone. */
        GList* link = g_queue_pop_head_link(&g->connections);
        g_free(link->data);
    }
    event_free(g->work);
    event_free(g->timer);
    wg_hangups_shutdown(g->hangups);
    g_free(g);
}

void _wgh_guard_handle(_wgh_guard* g, wgh_request_cb handler, void* user_data) {
    g->handler = handler;
    g->user_data = user_data;
}

void _wgh_guard_set_paused(_wgh_guard* g, bool paused) {
    if (paused != g->paused) {
        g->paused = paused;
        _wgh_listen(g);
    }
}

int _wgh_guard_connections(const _wgh_guard* g) {
    return (int)g->connections.length;
}

void _wgh_guard_print_metrics(const _wgh_guard* g, const char* port, GString* out) {
    g_string_append_printf(
        out,
        "walnutgate_port_connections{port=\"%s\"} %u\n"
        "walnutgate_port_held_bytes{port=\"%s\"} %" G_GINT64_FORMAT "\n"
        "walnutgate_port_closed_total{port=\"%s\",for=\"bytes\"} %" G_GUINT64_FORMAT "\n"
        "walnutgate_port_closed_total{port=\"%s\",for=\"others\"} %" G_GUINT64_FORMAT "\n"
        "walnutgate_port_refused_total{port=\"%s\"} %" G_GUINT64_FORMAT "\n",
        port, g->connections.length, port, g->held, port, g->closed_for_bytes, port,
        g->closed_for_others, port, g->refused);
}

/* ---- public functions of wg_http.h ----------------------------------------------------------- */

void wgh_set_closed_cb(struct evhttp_connection* connection,
                       void (*call)(struct evhttp_connection*, void*), void* user_data) {
    _wgh_connection* c = _wgh_find(connection);
    if (c) {
        c->on_closed = (_wgh_closed_cb){call, user_data};
    }
}

void wgh_set_replied_cb(struct evhttp_request* request, void (*call)(struct evhttp_request*, void*),
                        void* user_data) {
    _wgh_connection* c = _wgh_find(evhttp_request_get_connection(request));
    if (c) {
        c->on_replied = (_wgh_replied_cb){call, user_data};
    }
}

void wgh_watch_closed(struct evhttp_connection* connection) {
    _wgh_connection* c = _wgh_find(connection);
    bufferevent_data_cb read_cb;
    bufferevent_data_cb write_cb;
    bufferevent_event_cb event_cb;
    void* arg;
    if (!c) {
        return;
    }
    c->watched = true;
    bufferevent_getcb(c->bev, &read_cb, &write_cb, &event_cb, &arg);
    bufferevent_setcb(c->bev, NULL, write_cb, event_cb, arg);
    bufferevent_enable(c->bev, EV_READ);
    if (_wgh_input_size(c) > 0) {
        wg_hangups_watch(c->guard->hangups, &c->hangup);
    }
}

void wgh_set_kept(struct evhttp_request* request, int64_t bytes) {
    _wgh_connection* c = _wgh_find(evhttp_request_get_connection(request));
    if (c && c->kept != bytes) {
        c->kept = bytes;
        _wgh_count(c);
    }
}
