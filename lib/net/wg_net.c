/* wg_net.c -- see wg_net.h */
#include "wg_net_internal.h"
#include "wg_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/random.h>

/* ---- types -------------------------------------------------------------------------------- */

typedef struct {
    wgn_net* net;
    wg_handle handle;
    struct bufferevent* bev;
    bool dialer;
    bool up;
    bool closing;
    bool slow; /* the peer does not read fast enough; the next tick closes the link */
    wg_time opened_at;
    wg_time received_at;
    wg_time sent_at;
    wg_time receive_deadline;
    wg_time ping_interval;
    wgn_peer peer;
    GByteArray* own_hello;
    GByteArray* peer_hello;
} _wgn_link_t;

struct wgn_net {
    wgn_desc desc;
    wg_pool pool;
    _wgn_link_t* links;
    struct evconnlistener* listener;
    struct event* tick;
    int unproven; /* accepted links that are not up */
    wg_time replaced_logged_at;
    wg_time ticked_at; /* time of the last tick, at first of the setup */
    _wgn_budget budget;
    wgn_stats stats;
};

enum {
    /* Bytes from which a payload is shared by reference. Below it a copy is cheaper than the
       evbuffer chain that a reference needs. */
    _WGN_SHARED_MIN = 1024,
    _WGN_TICK = 250 * WG_USEC_PER_MSEC,
    /* Time after which an accepted link without a hello, or without a proof, may give way. */
    _WGN_SILENT_MIN = 250 * WG_USEC_PER_MSEC,
    _WGN_UNPROVEN_MIN = WG_USEC_PER_SEC,
    _WGN_LOG_INTERVAL = WG_USEC_PER_SEC,
    /* Delay of a tick from which this process counts as stalled. */
    _WGN_STALL_MIN = 100 * WG_USEC_PER_MSEC
};

/* ---- helpers ------------------------------------------------------------------------------ */

static wgn_desc _wgn_desc_def(const wgn_desc* desc) {
    wgn_desc d = *desc;
    d.links_max = d.links_max ? d.links_max : WGN_LINKS_DEFAULT;
    d.unproven_max = d.unproven_max ? d.unproven_max : d.links_max / 2;
    d.frame_max = d.frame_max ? d.frame_max : WGW_FRAME_MAX_DEFAULT;
    d.unsent_max = d.unsent_max ? d.unsent_max : WGN_UNSENT_MAX_DEFAULT;
    d.waiting_max = d.waiting_max ? d.waiting_max : WGN_WAITING_MAX_DEFAULT;
    d.proof_deadline = d.proof_deadline ? d.proof_deadline : WGN_PROOF_DEADLINE_DEFAULT;
    d.receive_deadline = d.receive_deadline ? d.receive_deadline : WGN_RECEIVE_DEADLINE_DEFAULT;
    d.ping_interval = d.ping_interval ? d.ping_interval : WGN_PING_INTERVAL_DEFAULT;
    return d;
}

static bool _wgn_desc_check(const wgn_desc* desc, GError** error) {
    const char* field = NULL;
    if (!desc->base) {
        field = "base";
    } else if (!desc->fleet_key || !desc->fleet_key[0]) {
        field = "fleet_key";
    } else if (!desc->on_up || !desc->on_frame || !desc->on_down) {
        field = "on_up/on_frame/on_down";
    } else if (desc->self.role <= WGW_ROLE_DEFAULT || desc->self.role >= WGW_ROLE_NUM) {
        field = "self.role";
    }
    if (field) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "wgn_desc.%s is missing or invalid", field);
    }
    return field == NULL;
}

static _wgn_link_t* _wgn_find(const wgn_net* net, wgn_link link) {
    int slot = wg_pool_slot(&net->pool, (wg_handle){link.id});
    return slot < 0 ? NULL : &net->links[slot];
}

static wgn_link _wgn_id(const _wgn_link_t* l) {
    return (wgn_link){l->handle.id};
}

/* Discards unsent output. The bufferevent can outlive the net by one iteration of the loop, and its
   output may refer to the budget of the net. */
static void _wgn_discard_unsent(_wgn_link_t* l) {
    struct evbuffer* out = bufferevent_get_output(l->bev);
    evbuffer_unfreeze(out, 1); /* a bufferevent freezes the front of its output */
    evbuffer_drain(out, evbuffer_get_length(out));
}

static void _wgn_drop(_wgn_link_t* l) {
    if (l->closing) {
        return;
    }
    l->closing = true;
    wgn_net* net = l->net;
    net->unproven -= !l->dialer && !l->up;
    net->desc.on_down(_wgn_id(l), l->up ? &l->peer : NULL, net->desc.user_data);
    _wgn_discard_unsent(l);
    wg_socket_close_and_free(l->bev);
    g_byte_array_unref(l->own_hello);
    if (l->peer_hello) {
        g_byte_array_unref(l->peer_hello);
    }
    wg_pool_free(&net->pool, l->handle);
    net->stats.links--;
}

/* True if the peer is in another data centre. False before the peer's hello, and if one of the ends
   has no data centre set. */
static bool _wgn_is_remote(const _wgn_link_t* l) {
    const char* own = l->net->desc.self.data_centre;
    const char* other = l->peer.data_centre;
    return own[0] && other[0] && strcmp(own, other) != 0;
}

/* Writes the header of a frame and updates the counters. Returns the output buffer. */
static struct evbuffer* _wgn_write_header(_wgn_link_t* l, wgw_type type, size_t size,
                                          bool compressed) {
    uint8_t head[WGW_HEADER_SIZE];
    wgn_stats* stats = &l->net->stats;
    wgw_frame_header_pack(head, type, size);
    if (compressed) {
        wgw_frame_header_mark_compressed(head);
    }
    struct evbuffer* out = bufferevent_get_output(l->bev);
    evbuffer_add(out, head, sizeof head);
    l->sent_at = wg_now();
    stats->bytes_sent += sizeof head + size;
    stats->frames_sent++;
    stats->sent[type].bytes += sizeof head + size;
    stats->sent[type].remote_bytes += _wgn_is_remote(l) ? sizeof head + size : 0;
    stats->sent[type].frames++;
    return out;
}

static void _wgn_write(_wgn_link_t* l, wgw_type type, const uint8_t* payload, size_t size) {
    evbuffer_add(_wgn_write_header(l, type, size, false), payload, size);
}

/* True if `size` more bytes may be queued on the link. Otherwise marks the link as slow, which
   closes it in the next tick; the peer reconnects and gets the current state. */
static bool _wgn_has_room(_wgn_link_t* l, size_t size) {
    wgn_net* net = l->net;
    size_t unsent = evbuffer_get_length(bufferevent_get_output(l->bev));
    bool over_total = net->budget.waiting + size > net->desc.waiting_max && unsent > 0;
    if (!over_total && unsent + size <= net->desc.unsent_max) {
        return true;
    }
    l->slow = true;
    net->stats.links_slow++;
    wg_log(WG_EVENT_LINK_SLOW, "peer=%s unsent=%zu waiting=%zu frame=%zu", l->peer.name, unsent,
           net->budget.waiting, size);
    event_active(net->tick, EV_TIMEOUT, 1);
    return false;
}

static void _wgn_send_hello(_wgn_link_t* l) {
    const wgn_peer* self = &l->net->desc.self;
    uint8_t nonce[WGW_NONCE_SIZE];
    if (getrandom(nonce, sizeof nonce, 0) != (ssize_t)sizeof nonce) {
        wg_assert_failed("getrandom", __FILE__, __LINE__);
    }
    Wgpb__Hello hello = WGPB__HELLO__INIT;
    hello.name = (char*)self->name;
    hello.role = self->role;
    hello.cluster = self->cluster;
    hello.identity = self->identity;
    hello.incarnation = self->incarnation;
    hello.nonce = (ProtobufCBinaryData){sizeof nonce, nonce};
    hello.address = (char*)self->address;
    hello.data_centre = (char*)self->data_centre;
    l->own_hello = wgw_pack(&hello.base);
    _wgn_write(l, WGW_TYPE_HELLO, l->own_hello->data, l->own_hello->len);
}

/* Computes the proof of the dialer (`dialer_side`) or of the acceptor. */
static void _wgn_make_proof(const _wgn_link_t* l, bool dialer_side, uint8_t out[WGW_MAC_SIZE]) {
    const GByteArray* dialer = l->dialer ? l->own_hello : l->peer_hello;
    const GByteArray* acceptor = l->dialer ? l->peer_hello : l->own_hello;
    wgw_proof(l->net->desc.fleet_key, dialer_side ? "dialer" : "acceptor", dialer->data,
              dialer->len, acceptor->data, acceptor->len, out);
}

static bool _wgn_receive_hello(_wgn_link_t* l, const wgw_frame* frame) {
    Wgpb__Hello* hello = wgpb__hello__unpack(NULL, frame->size, frame->payload);
    if (!hello) {
        return false;
    }
    bool good = hello->nonce.len == WGW_NONCE_SIZE && hello->role > WGW_ROLE_DEFAULT &&
                hello->role < WGW_ROLE_NUM &&
                wg_copy_name(l->peer.name, sizeof l->peer.name, hello->name) &&
                wg_copy_name(l->peer.address, sizeof l->peer.address, hello->address) &&
                wg_copy_name(l->peer.data_centre, sizeof l->peer.data_centre, hello->data_centre);
    l->peer.role = (wgw_role)hello->role;
    l->peer.cluster = hello->cluster;
    l->peer.identity = hello->identity;
    l->peer.incarnation = hello->incarnation;
    wgpb__hello__free_unpacked(hello, NULL);
    if (!good) {
        return false;
    }
    l->peer_hello = g_byte_array_new();
    g_byte_array_append(l->peer_hello, frame->payload, (guint)frame->size);
    uint8_t mac[WGW_MAC_SIZE];
    _wgn_make_proof(l, l->dialer, mac);
    Wgpb__Proof proof = WGPB__PROOF__INIT;
    proof.mac = (ProtobufCBinaryData){sizeof mac, mac};
    GByteArray* packed = wgw_pack(&proof.base);
    _wgn_write(l, WGW_TYPE_PROOF, packed->data, packed->len);
    g_byte_array_unref(packed);
    return true;
}

/* Flushes the output before the link is closed, so that the peer still gets our proof and can
   report the wrong key itself. */
static void _wgn_flush(const _wgn_link_t* l) {
    evbuffer_write(bufferevent_get_output(l->bev), bufferevent_getfd(l->bev));
}

static bool _wgn_receive_proof(_wgn_link_t* l, const wgw_frame* frame) {
    Wgpb__Proof* proof = wgpb__proof__unpack(NULL, frame->size, frame->payload);
    if (!proof) {
        return false;
    }
    uint8_t expected[WGW_MAC_SIZE];
    _wgn_make_proof(l, !l->dialer, expected);
    bool good = proof->mac.len == WGW_MAC_SIZE && wgw_proof_equal(proof->mac.data, expected);
    wgpb__proof__free_unpacked(proof, NULL);
    if (!good) {
        l->net->stats.proofs_bad++;
        _wgn_flush(l);
        wg_log(WG_EVENT_LINK_REFUSED, "peer=%s", l->peer.name);
        return false;
    }
    l->up = true;
    l->net->unproven -= !l->dialer;
    l->net->desc.on_up(_wgn_id(l), &l->peer, l->net->desc.user_data);
    return true;
}

/* Hands a frame of a link that is up to the owner. False if it cannot be decompressed. */
static bool _wgn_deliver(_wgn_link_t* l, const wgw_frame* frame) {
    const wgn_desc* desc = &l->net->desc;
    if (!frame->compressed) {
        desc->on_frame(_wgn_id(l), frame, desc->user_data);
        return true;
    }
    GByteArray* bytes = _wgn_decompress(frame->payload, frame->size, desc->frame_max);
    if (!bytes) {
        wg_log(WG_EVENT_FRAME_BAD, "peer=%s reason=compressed-payload", l->peer.name);
        return false;
    }
    wgw_frame whole = {.type = frame->type, .payload = bytes->data, .size = bytes->len};
    desc->on_frame(_wgn_id(l), &whole, desc->user_data);
    g_byte_array_unref(bytes);
    return true;
}

/* Handles one frame. False if the link has to be closed. */
static bool _wgn_handle_frame(_wgn_link_t* l, const wgw_frame* frame) {
    l->net->stats.frames_received++;
    if (l->up) {
        bool handshake = frame->type == WGW_TYPE_HELLO || frame->type == WGW_TYPE_PROOF;
        if (handshake || frame->type == WGW_TYPE_PING) {
            return !handshake;
        }
        return _wgn_deliver(l, frame);
    }
    if (frame->compressed) {
        return false;
    }
    if (frame->type == WGW_TYPE_HELLO && !l->peer_hello) {
        return _wgn_receive_hello(l, frame);
    }
    if (frame->type == WGW_TYPE_PROOF && l->peer_hello) {
        return _wgn_receive_proof(l, frame);
    }
    return false;
}

static void _wgn_on_read(struct bufferevent* bev, void* user_data) {
    _wgn_link_t* l = user_data;
    wgn_net* net = l->net;
    wg_handle handle = l->handle;
    struct evbuffer* in = bufferevent_get_input(bev);
    l->received_at = wg_now();
    for (;;) {
        size_t size = evbuffer_get_length(in);
        uint8_t head[WGW_HEADER_SIZE];
        if (size < sizeof head) {
            return;
        }
        evbuffer_copyout(in, head, sizeof head);
        wgw_frame frame;
        /* Limits the memory that an unauthenticated peer can use. */
        size_t max = l->up ? net->desc.frame_max : 1024;
        wgw_parse parse = wgw_frame_parse(head, sizeof head, max, &frame);
        size_t frame_size = WGW_HEADER_SIZE + frame.size;
        if (parse == WGW_PARSE_MORE && size < frame_size) {
            return;
        }
        if (parse != WGW_PARSE_BAD) {
            parse = wgw_frame_parse(evbuffer_pullup(in, (ev_ssize_t)frame_size), frame_size, max,
                                    &frame);
        }
        if (parse == WGW_PARSE_BAD) {
            net->stats.frames_bad++;
            wg_log(WG_EVENT_FRAME_BAD, "peer=%s reason=%s", l->peer.name, frame.reason);
            _wgn_drop(l);
            return;
        }
        net->stats.bytes_received += frame_size;
        bool keep = _wgn_handle_frame(l, &frame);
        if (wg_pool_slot(&net->pool, handle) < 0) {
            return; /* a callback closed the link */
        }
        if (!keep) {
            net->stats.frames_bad++;
            _wgn_drop(l);
            return;
        }
        evbuffer_drain(in, frame_size);
    }
}

static void _wgn_on_event(struct bufferevent* bev, short what, void* user_data) {
    (void)bev;
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) {
        _wgn_drop(user_data);
    }
}

static _wgn_link_t* _wgn_open(wgn_net* net, evutil_socket_t fd, bool dialer) {
    wg_handle handle = wg_pool_alloc(&net->pool);
    if (handle.id == 0) {
        return NULL;
    }
    _wgn_link_t* l = &net->links[wg_pool_slot(&net->pool, handle)];
    *l = (_wgn_link_t){.net = net,
                       .handle = handle,
                       .dialer = dialer,
                       .receive_deadline = net->desc.receive_deadline,
                       .ping_interval = net->desc.ping_interval};
    l->opened_at = l->received_at = l->sent_at = wg_now();
    l->bev =
        bufferevent_socket_new(net->desc.base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_priority_set(l->bev, WGN_PRIORITY);
    bufferevent_setcb(l->bev, _wgn_on_read, NULL, _wgn_on_event, l);
    bufferevent_enable(l->bev, EV_READ | EV_WRITE);
    net->stats.links++;
    net->unproven += !dialer;
    _wgn_send_hello(l);
    return l;
}

static void _wgn_no_delay(evutil_socket_t fd) {
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

/* Whether the peer sent nothing that waits to be read: a busy process has not read all hellos. */
static bool _wgn_is_silent(const _wgn_link_t* l) {
    char byte;
    return !l->peer_hello && recv(bufferevent_getfd(l->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
}

/* The accepted link that gives way to a new one: the oldest of those without a hello, else without
   a proof, for longer than a peer takes. NULL: there is none. */
static _wgn_link_t* _wgn_oldest_unproven(const wgn_net* net, wg_time now) {
    _wgn_link_t* oldest = NULL;
    bool silent = false;
    for (int i = 0; i < net->pool.capacity; i++) {
        _wgn_link_t* l = &net->links[i];
        if (!net->pool.taken[i] || l->dialer || l->up || now - l->opened_at < _WGN_SILENT_MIN) {
            continue;
        }
        bool is_silent = _wgn_is_silent(l);
        bool overdue = is_silent || now - l->opened_at >= _WGN_UNPROVEN_MIN;
        bool before = !oldest || is_silent > silent ||
                      (is_silent == silent && l->opened_at < oldest->opened_at);
        if (overdue && before) {
            oldest = l;
            silent = is_silent;
        }
    }
    return oldest;
}

/* Makes room for one more accepted link. False if it has to be refused. */
static bool _wgn_make_room(wgn_net* net) {
    wg_time now = wg_now();
    if (net->unproven < net->desc.unproven_max) {
        return true;
    }
    _wgn_link_t* oldest = _wgn_oldest_unproven(net, now);
    net->stats.links_replaced++;
    if (!net->replaced_logged_at || now - net->replaced_logged_at >= _WGN_LOG_INTERVAL) {
        net->replaced_logged_at = now;
        wg_log(WG_EVENT_PORT_CROWDED,
               "port=fleet unproven=%d of=%d links=%d replaced=%" G_GUINT64_FORMAT, net->unproven,
               net->desc.unproven_max, net->stats.links, net->stats.links_replaced);
    }
    if (oldest) {
        _wgn_drop(oldest);
    }
    return oldest != NULL;
}

static void _wgn_on_accept(struct evconnlistener* listener, evutil_socket_t fd,
                           struct sockaddr* address, int size, void* user_data) {
    (void)listener;
    (void)address;
    (void)size;
    _wgn_no_delay(fd);
    if (!_wgn_make_room(user_data) || !_wgn_open(user_data, fd, false)) {
        evutil_closesocket(fd);
    }
}

/* Time for which this process was stalled before this tick, 0 if it was not. */
static wg_time _wgn_stall_time(wgn_net* net, wg_time now) {
    wg_time over = now - net->ticked_at - _WGN_TICK;
    net->ticked_at = now;
    return over > _WGN_STALL_MIN ? over : 0;
}

/* Closes links past a deadline and sends pings. The tick runs before pending input is read, so the
   deadlines are extended by the time for which this process was stalled: otherwise a process that
   stalled would close all its links, though the peers kept sending. */
static void _wgn_on_tick(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wgn_net* net = user_data;
    wg_time now = wg_now();
    wg_time stall = _wgn_stall_time(net, now);
    for (int i = 0; i < net->pool.capacity; i++) {
        if (!net->pool.taken[i]) {
            continue;
        }
        _wgn_link_t* l = &net->links[i];
        l->opened_at = MIN(l->opened_at + stall, now);
        l->received_at = MIN(l->received_at + stall, now);
        bool proof_overdue = !l->up && now - l->opened_at > net->desc.proof_deadline;
        bool unresponsive = now - l->received_at > l->receive_deadline;
        if (proof_overdue || unresponsive || l->slow) {
            _wgn_drop(l);
        } else if (l->up && now - l->sent_at >= l->ping_interval) {
            _wgn_write(l, WGW_TYPE_PING, NULL, 0);
        }
    }
}

/* ---- public functions --------------------------------------------------------------------- */

wgn_net* wgn_setup(const wgn_desc* desc, GError** error) {
    if (!_wgn_desc_check(desc, error)) {
        return NULL;
    }
    wgn_net* net = g_new0(wgn_net, 1);
    net->desc = _wgn_desc_def(desc);
    wg_pool_setup(&net->pool, &(wg_pool_desc){.capacity = net->desc.links_max});
    net->links = g_new0(_wgn_link_t, net->desc.links_max);
    net->tick = event_new(net->desc.base, -1, EV_PERSIST, _wgn_on_tick, net);
    event_priority_set(net->tick, WGN_PRIORITY);
    net->ticked_at = wg_now();
    struct timeval period = {.tv_usec = _WGN_TICK};
    event_add(net->tick, &period);
    return net;
}

void wgn_shutdown(wgn_net* net) {
    for (int i = 0; i < net->pool.capacity; i++) {
        if (net->pool.taken[i]) {
            _wgn_drop(&net->links[i]);
        }
    }
    if (net->listener) {
        evconnlistener_free(net->listener);
    }
    event_free(net->tick);
    wg_pool_shutdown(&net->pool);
    g_free(net->links);
    g_free(net);
}

bool wgn_parse_address(const char* text, struct sockaddr_storage* out, int* out_size) {
    *out_size = sizeof *out;
    memset(out, 0, sizeof *out);
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    if (!wgn_split_address(text, ip, &port)) {
        return false;
    }
    return evutil_parse_sockaddr_port(text, (struct sockaddr*)out, out_size) == 0;
}

bool wgn_split_address(const char* text, char* ip, uint16_t* port) {
    const char* colon = text ? strrchr(text, ':') : NULL;
    if (!colon || colon == text || (size_t)(colon - text) >= WG_ADDRESS_MAX) {
        return false;
    }
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &number, NULL)) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = 0;
    *port = (uint16_t)number;
    struct sockaddr_storage storage;
    int size = sizeof storage;
    return evutil_parse_sockaddr_port(text, (struct sockaddr*)&storage, &size) == 0;
}

bool wgn_listen(wgn_net* net, const char* address, GError** error) {
    struct sockaddr_storage storage;
    int size;
    if (!wgn_parse_address(address, &storage, &size)) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "malformed address \"%s\"", address);
        return false;
    }
    net->listener = evconnlistener_new_bind(net->desc.base, _wgn_on_accept, net,
                                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 256,
                                            (struct sockaddr*)&storage, size);
    if (!net->listener) {
        g_set_error(error, WG_ERROR, WG_ERROR_IO, "cannot listen on %s: %s", address,
                    g_strerror(errno));
        return false;
    }
    return true;
}

wgn_link wgn_dial(wgn_net* net, const char* address) {
    struct sockaddr_storage storage;
    int size;
    if (!wgn_parse_address(address, &storage, &size)) {
        return (wgn_link){0};
    }
    _wgn_link_t* l = _wgn_open(net, -1, true);
    if (!l) {
        return (wgn_link){0};
    }
    wgn_link link = _wgn_id(l);
    if (bufferevent_socket_connect(l->bev, (struct sockaddr*)&storage, size) < 0) {
        _wgn_drop(l);
        return (wgn_link){0};
    }
    bufferevent_priority_set(l->bev, WGN_PRIORITY); /* connecting resets the priority */
    _wgn_no_delay(bufferevent_getfd(l->bev));
    return link;
}

/* Returns the link if a payload of `size` bytes can be sent on it now, else NULL. */
static _wgn_link_t* _wgn_sendable_link(const wgn_net* net, wgn_link link, size_t size) {
    _wgn_link_t* l = _wgn_find(net, link);
    bool accepts = l && l->up && !l->closing && !l->slow;
    return accepts && _wgn_has_room(l, size) ? l : NULL;
}

bool wgn_send(wgn_net* net, wgn_link link, wgw_type type, const ProtobufCMessage* message) {
    wgn_frame* frame = wgn_frame_pack(type, message);
    bool sent = wgn_send_frame(net, link, frame);
    wgn_frame_unref(frame);
    return sent;
}

bool wgn_send_frame(wgn_net* net, wgn_link link, wgn_frame* frame) {
    _wgn_link_t* l = _wgn_sendable_link(net, link, frame->size);
    if (!l) {
        return false;
    }
    struct evbuffer* out = _wgn_write_header(l, frame->type, frame->size, frame->compressed);
    if (frame->size < _WGN_SHARED_MIN) {
        evbuffer_add(out, frame->payload, frame->size);
    } else {
        _wgn_frame_append(frame, out, &net->budget);
    }
    return true;
}

void wgn_set_timing(wgn_net* net, wgn_link link, wg_time ping_interval, wg_time receive_deadline) {
    _wgn_link_t* l = _wgn_find(net, link);
    if (l) {
        l->ping_interval = ping_interval;
        l->receive_deadline = receive_deadline;
    }
}

void wgn_close(wgn_net* net, wgn_link link) {
    _wgn_link_t* l = _wgn_find(net, link);
    if (l) {
        _wgn_drop(l);
    }
}

const wgn_peer* wgn_query_peer(const wgn_net* net, wgn_link link) {
    _wgn_link_t* l = _wgn_find(net, link);
    return l && l->up ? &l->peer : NULL;
}

size_t wgn_query_unsent(const wgn_net* net, wgn_link link) {
    const _wgn_link_t* l = _wgn_find(net, link);
    return l ? evbuffer_get_length(bufferevent_get_output(l->bev)) : 0;
}

size_t wgn_query_undelivered(const wgn_net* net, wgn_link link) {
    const _wgn_link_t* l = _wgn_find(net, link);
    return l ? wgn_query_unsent(net, link) + wg_socket_unacknowledged(bufferevent_getfd(l->bev))
             : 0;
}

wgn_stats wgn_query_stats(const wgn_net* net) {
    wgn_stats stats = net->stats;
    stats.waiting = net->budget.waiting;
    return stats;
}

void wgn_set_cluster(wgn_net* net, uint64_t cluster) {
    net->desc.self.cluster = cluster;
}

void wgn_print_metrics(const wgn_net* net, GString* out) {
    wgn_stats stats = wgn_query_stats(net);
    for (int type = WGW_TYPE_DEFAULT + 1; type < WGW_TYPE_NUM; type++) {
        const wgn_type_stats* sent = &stats.sent[type];
        if (sent->frames > 0) {
            const char* name = wgw_type_name((wgw_type)type);
            g_string_append_printf(
                out,
                "walnutgate_link_frames_total{type=\"%s\"} %" G_GUINT64_FORMAT
                "\nwalnutgate_link_bytes_total{type=\"%s\"} %" G_GUINT64_FORMAT
                "\nwalnutgate_link_far_bytes_total{type=\"%s\"} %" G_GUINT64_FORMAT "\n",
                name, sent->frames, name, sent->bytes, name, sent->remote_bytes);
        }
    }
    g_string_append_printf(out,
                           "walnutgate_link_waiting_bytes %" G_GUINT64_FORMAT
                           "\nwalnutgate_links_slow_total %" G_GUINT64_FORMAT
                           "\nwalnutgate_links_replaced_total %" G_GUINT64_FORMAT
                           "\nwalnutgate_links %d\n",
                           stats.waiting, stats.links_slow, stats.links_replaced, stats.links);
}
