/* wg_buffers.c -- see wg_buffers.h */
#include "wg_buffers.h"

enum {
    WG_BUFFERS_SHARED_EIGHTHS = 6, /* of the bound: callers' equal shares begin */
    /* Of the bound: the host is full. The rest is a reserve for one portion each of the callers
       that had read everything until then. */
    WG_BUFFERS_FULL_EIGHTHS = 7
};

struct wg_buffers {
    wg_buffers_desc desc;
    /* Peers with bytes unread; longest without reading first. */
    GQueue waiting[WG_BUFFERS_KINDS_NUM];
    int64_t unread[WG_BUFFERS_KINDS_NUM];
    int64_t kept;
    int64_t ahead;
    GQueue receiving; /* callers whose requests are being received */
    wg_time stalled;  /* duration of all stalls of the host */
};

/* ---- helpers --------------------------------------------------------------------------------- */

static void _wg_buffers_enqueue(wg_buffers* b, wg_time now, wg_buffers_peer* peer) {
    peer->read_at = now - b->stalled;
    peer->link = (GList){.data = peer};
    g_queue_push_tail_link(&b->waiting[peer->kind], &peer->link);
}

static int64_t _wg_buffers_eighths(const wg_buffers* b, int eighths) {
    return b->desc.bytes_max / 8 * eighths;
}

/* Unread bytes of one caller above which its target pauses. */
static int64_t _wg_buffers_limit(const wg_buffers* b) {
    wg_buffers_level level = wg_buffers_level_of(b);
    if (level == WG_BUFFERS_NORMAL) {
        return WG_BUFFERS_UNREAD_MAX;
    }
    if (level == WG_BUFFERS_FULL) {
        return 0;
    }
    int64_t callers = MAX((int64_t)b->waiting[WG_BUFFERS_CALLER].length, 1);
    int64_t share = _wg_buffers_eighths(b, WG_BUFFERS_SHARED_EIGHTHS) / callers;
    return CLAMP(share, WG_BUFFERS_SHARE_MIN, WG_BUFFERS_UNREAD_MAX);
}

/* The peer of a kind that has not read for longest, if that is at least the time limit. */
static wg_buffers_peer* _wg_buffers_overdue(const wg_buffers* b, wg_time now,
                                            wg_buffers_kind kind) {
    const GList* head = b->waiting[kind].head;
    wg_buffers_peer* peer = head ? head->data : NULL;
    bool overdue = peer && b->desc.unread_max > 0 &&
                   wg_buffers_unread_time(b, now, peer) >= b->desc.unread_max;
    return overdue ? peer : NULL;
}

/* ---- public functions ------------------------------------------------------------------------ */

wg_buffers* wg_buffers_setup(const wg_buffers_desc* desc) {
    WG_ASSERT(desc->bytes_max >= 0 && desc->unread_max >= 0);
    wg_buffers* b = g_new0(wg_buffers, 1);
    b->desc = *desc;
    for (int kind = 0; kind < WG_BUFFERS_KINDS_NUM; kind++) {
        g_queue_init(&b->waiting[kind]);
    }
    g_queue_init(&b->receiving);
    return b;
}

void wg_buffers_shutdown(wg_buffers* b) {
    g_free(b);
}

void wg_buffers_add(wg_buffers* b, wg_buffers_peer* peer, wg_buffers_kind kind) {
    (void)b;
    WG_ASSERT(peer->unread == 0 && peer->kept == 0 && peer->ahead == 0);
    peer->kind = kind;
}

void wg_buffers_remove(wg_buffers* b, wg_buffers_peer* peer) {
    wg_buffers_record_read(b, 0, peer, peer->unread);
    wg_buffers_set_kept(b, peer, 0);
    wg_buffers_record_ahead(b, peer, -peer->ahead);
    wg_buffers_set_receiving(b, peer, false);
}

void wg_buffers_record_held(wg_buffers* b, wg_time now, wg_buffers_peer* peer, int64_t bytes) {
    WG_ASSERT(bytes >= 0);
    if (bytes > 0 && peer->unread == 0) {
        _wg_buffers_enqueue(b, now, peer);
    }
    peer->unread += bytes;
    b->unread[peer->kind] += bytes;
}

void wg_buffers_record_read(wg_buffers* b, wg_time now, wg_buffers_peer* peer, int64_t bytes) {
    WG_ASSERT(bytes >= 0 && bytes <= peer->unread);
    if (bytes == 0) {
        return;
    }
    g_queue_unlink(&b->waiting[peer->kind], &peer->link);
    peer->unread -= bytes;
    b->unread[peer->kind] -= bytes;
    if (peer->unread > 0) {
        _wg_buffers_enqueue(b, now, peer);
    }
}

void wg_buffers_record_ready(wg_buffers* b, wg_time now, wg_buffers_peer* peer) {
    WG_ASSERT(peer->unread > 0);
    g_queue_unlink(&b->waiting[peer->kind], &peer->link);
    _wg_buffers_enqueue(b, now, peer);
}

void wg_buffers_set_kept(wg_buffers* b, wg_buffers_peer* peer, int64_t bytes) {
    WG_ASSERT(bytes >= 0);
    b->kept += bytes - peer->kept;
    peer->kept = bytes;
}

void wg_buffers_record_ahead(wg_buffers* b, wg_buffers_peer* peer, int64_t change) {
    WG_ASSERT(peer->ahead + change >= 0);
    peer->ahead += change;
    b->ahead += change;
}

void wg_buffers_set_receiving(wg_buffers* b, wg_buffers_peer* peer, bool receiving) {
    if (receiving && !peer->receiving) {
        peer->receiving_link = (GList){.data = peer};
        g_queue_push_tail_link(&b->receiving, &peer->receiving_link);
    } else if (!receiving && peer->receiving) {
        g_queue_unlink(&b->receiving, &peer->receiving_link);
    }
    peer->receiving = receiving;
}

void wg_buffers_record_stall(wg_buffers* b, wg_time duration) {
    b->stalled += duration;
}

wg_buffers_level wg_buffers_level_of(const wg_buffers* b) {
    int64_t held = wg_buffers_held(b);
    if (b->desc.bytes_max == 0 || held < _wg_buffers_eighths(b, WG_BUFFERS_SHARED_EIGHTHS)) {
        return WG_BUFFERS_NORMAL;
    }
    return held < _wg_buffers_eighths(b, WG_BUFFERS_FULL_EIGHTHS) ? WG_BUFFERS_SHARED
                                                                  : WG_BUFFERS_FULL;
}

bool wg_buffers_pauses(const wg_buffers* b, const wg_buffers_peer* peer) {
    return peer->unread > _wg_buffers_limit(b);
}

int64_t wg_buffers_portion(const wg_buffers* b) {
    return wg_buffers_level_of(b) == WG_BUFFERS_FULL ? WG_BUFFERS_PORTION_FULL : 0;
}

bool wg_buffers_exceeded(const wg_buffers* b) {
    return b->desc.bytes_max > 0 && wg_buffers_held(b) > b->desc.bytes_max;
}

bool wg_buffers_is_reading(const wg_buffers* b, wg_time now, const wg_buffers_peer* peer) {
    return peer->unread > 0 && b->desc.unread_max > 0 &&
           wg_buffers_unread_time(b, now, peer) < b->desc.unread_max;
}

wg_buffers_peer* wg_buffers_next_refused(const wg_buffers* b) {
    wg_buffers_peer* largest = NULL;
    int64_t most = WG_BUFFERS_SMALL;
    if (!wg_buffers_exceeded(b)) {
        return NULL;
    }
    for (const GList* at = b->receiving.head; at; at = at->next) {
        wg_buffers_peer* peer = at->data;
        if (peer->kept + peer->ahead > most) {
            most = peer->kept + peer->ahead;
            largest = peer;
        }
    }
    return largest;
}

wg_buffers_peer* wg_buffers_next_cut(const wg_buffers* b, wg_time now) {
    wg_buffers_peer* target = _wg_buffers_overdue(b, now, WG_BUFFERS_TARGET);
    if (target || wg_buffers_level_of(b) != WG_BUFFERS_FULL) {
        return target;
    }
    return _wg_buffers_overdue(b, now, WG_BUFFERS_CALLER);
}

wg_time wg_buffers_unread_time(const wg_buffers* b, wg_time now, const wg_buffers_peer* peer) {
    return now - b->stalled - peer->read_at;
}

int64_t wg_buffers_unread(const wg_buffers* b, wg_buffers_kind kind) {
    return b->unread[kind];
}

int64_t wg_buffers_kept(const wg_buffers* b) {
    return b->kept;
}

int64_t wg_buffers_ahead(const wg_buffers* b) {
    return b->ahead;
}

int64_t wg_buffers_held(const wg_buffers* b) {
    return b->unread[WG_BUFFERS_CALLER] + b->kept + b->ahead;
}
