/* wg_handoff.c -- see wg_handoff.h */
#include "wg_handoff.h"

#include <string.h>

enum {
    /* Ticks that come earlier after the last one are ignored, microseconds. */
    _WG_HANDOFF_PERIOD_MIN = 25 * WG_USEC_PER_MSEC,
    /* Samples in a row that are dropped because of a stall. A stall affects two: the one at its
       end, and the next, which still has the same measurement. A process that always lags is
       overloaded. */
    _WG_HANDOFF_DROPPED_MAX = 3,
    /* A tick that is overdue by this time shows that this host stands still, microseconds. */
    _WG_HANDOFF_TICK_OVERDUE = 150 * WG_USEC_PER_MSEC,
    /* Links are kept for this time after the last request was to be handed off, microseconds. */
    _WG_HANDOFF_LINKS_KEPT = 10 * WG_USEC_PER_SEC,
    /* Times for which a peer is set aside, microseconds. */
    _WG_HANDOFF_DECLINED_ASIDE = 100 * WG_USEC_PER_MSEC,
    _WG_HANDOFF_DOWN_ASIDE = 500 * WG_USEC_PER_MSEC,
    _WG_HANDOFF_LATE_ASIDE = 500 * WG_USEC_PER_MSEC,
    /* Late first bytes in a row after which a peer is set aside. */
    _WG_HANDOFF_LATE_NUM = 8,
    /* Smallest limit of a peer: enough to notice that it has capacity again. */
    _WG_HANDOFF_LIMIT_MIN = 4,
    /* Step of a limit that is used, per tick. */
    _WG_HANDOFF_LIMIT_STEP = 1,
    /* Percent of the descriptors above which nothing is kept, and above which requests of other
       hosts are declined. */
    _WG_HANDOFF_KEPT_PERCENT = 60,
    _WG_HANDOFF_TAKEN_PERCENT = 50
};

static const double _WG_HANDOFF_DECREASE = 0.7;   /* factor of the local share per tick */
static const double _WG_HANDOFF_INCREASE = 0.02;  /* step of the local share per tick */
static const double _WG_HANDOFF_SHARE_MIN = 0.02; /* enough to notice that there is capacity */
/* Local share below which a host declines requests of others. A host that had one short peak has
   capacity again long before its share is 1. */
static const double _WG_HANDOFF_SHARE_TAKEN = 0.5;
/* Limit of a peer that declined or was late, as a fraction of the requests in progress there. */
static const double _WG_HANDOFF_LIMIT_KEPT = 0.9;
/* Fraction of a limit from which it counts as used. */
static const double _WG_HANDOFF_LIMIT_USED = 0.9;

typedef struct {
    char* name; /* NULL: the slot is empty */
    bool is_up;
    int in_progress;
    /* Largest in_progress. Work of a request arises over the time of its answer, so the delay that
       makes a peer decline shows late; without a limit all that a peer finished meanwhile would be
       sent to it at once when it is no longer set aside. */
    double limit;
    int late_num;        /* late first bytes in a row */
    wg_time aside_until; /* gets no requests until then */
} _wg_handoff_peer;

/* A host in the rendezvous order; the highest rank comes first. */
typedef struct {
    const char* name;
    uint64_t rank;
} _wg_handoff_ranked;

struct wg_handoff {
    wg_handoff_desc desc;
    char* name;
    _wg_handoff_peer peers[WG_HANDOFF_PEERS_MAX];
    wg_time ticked_at; /* 0: not yet */
    double share;      /* fraction of new requests that is kept, without regard to descriptors */
    bool short_of_descriptors;
    double due;             /* accumulator of 1 - local share; at 1, a request is handed off */
    int dropped_num;        /* samples in a row dropped because of a stall */
    wg_time stall_ended_at; /* 0: none */
    wg_time short_at;       /* last tick at which not all requests were kept; 0: none */
    uint64_t handed_off;
    uint64_t kept;
    uint64_t declined;
    uint64_t counter; /* of random draws */
};

/* ---- helpers: load -------------------------------------------------------------------------- */

/* Whether more than `percent` of the descriptors are in use. */
static bool _wg_handoff_uses(const wg_handoff_load* load, int percent) {
    return load->descriptors_max > 0 &&
           (int64_t)load->descriptors * 100 > (int64_t)load->descriptors_max * percent;
}

static double _wg_handoff_local_share(const wg_handoff* h) {
    return h->short_of_descriptors ? 0 : h->share;
}

/* Whether the sample of the delay spans a stall. It began at least the delay ago. */
static bool _wg_handoff_is_stalled(wg_handoff* h, wg_time now, const wg_handoff_load* load) {
    if (load->stalled) {
        h->stall_ended_at = now;
    }
    bool stalled = h->stall_ended_at > 0 && now - load->input_delay < h->stall_ended_at;
    stalled = stalled || load->stalled;
    h->dropped_num = stalled ? h->dropped_num + 1 : 0;
    return stalled && h->dropped_num <= _WG_HANDOFF_DROPPED_MAX;
}

static void _wg_handoff_adjust(wg_handoff* h, wg_time now, const wg_handoff_load* load) {
    if (_wg_handoff_is_stalled(h, now, load)) {
        return;
    }
    if (load->input_delay >= h->desc.delay_max) {
        h->share = MAX(_WG_HANDOFF_DECREASE * h->share, _WG_HANDOFF_SHARE_MIN);
    } else if (!load->refuses) {
        h->share = MIN(h->share + _WG_HANDOFF_INCREASE, 1);
    }
}

/* Limits rise only while they are used; others would show nothing about the peer. */
static void _wg_handoff_raise_limits(wg_handoff* h) {
    for (int i = 0; i < WG_HANDOFF_PEERS_MAX; i++) {
        _wg_handoff_peer* peer = &h->peers[i];
        if (peer->in_progress + 1 >= _WG_HANDOFF_LIMIT_USED * peer->limit) {
            peer->limit = MIN(peer->limit + _WG_HANDOFF_LIMIT_STEP, WG_HANDOFF_IN_PROGRESS_MAX);
        }
    }
}

/* ---- helpers: peers ------------------------------------------------------------------------- */

static _wg_handoff_peer* _wg_handoff_peer_at(wg_handoff* h, int peer) {
    WG_ASSERT(peer >= 0 && peer < WG_HANDOFF_PEERS_MAX);
    return &h->peers[peer];
}

static void _wg_handoff_set_aside(_wg_handoff_peer* peer, wg_time now, wg_time duration) {
    peer->aside_until = MAX(peer->aside_until, now + duration);
}

/* Sets a peer aside that showed that it has no capacity. Answers to requests that were sent before
   lower its limit once. */
static void _wg_handoff_set_busy(_wg_handoff_peer* peer, wg_time now, wg_time duration) {
    if (now >= peer->aside_until) {
        double limit = _WG_HANDOFF_LIMIT_KEPT * MIN(peer->limit, peer->in_progress);
        peer->limit = MAX(limit, _WG_HANDOFF_LIMIT_MIN);
    }
    _wg_handoff_set_aside(peer, now, duration);
}

static bool _wg_handoff_is_available(const _wg_handoff_peer* peer, wg_time now) {
    return peer->name && peer->is_up && now >= peer->aside_until && peer->in_progress < peer->limit;
}

static void _wg_handoff_clear(_wg_handoff_peer* peer) {
    g_free(peer->name);
    *peer = (_wg_handoff_peer){0};
}

static int _wg_handoff_random(wg_handoff* h, int num) {
    return (int)(wg_jitter(h->desc.seed, ++h->counter) % (uint64_t)num);
}

static int _wg_handoff_compare(const void* a, const void* b) {
    const _wg_handoff_ranked* first = a;
    const _wg_handoff_ranked* second = b;
    if (first->rank != second->rank) {
        return first->rank > second->rank ? -1 : 1;
    }
    return strcmp(first->name, second->name);
}

/* The first hosts in this host's rendezvous order, at most one for each slot; the caller unrefs. */
static GArray* _wg_handoff_rank(const wg_handoff* h, const char* const* names, int num) {
    GArray* ranked = g_array_new(FALSE, FALSE, sizeof(_wg_handoff_ranked));
    GHashTable* known = g_hash_table_new(g_str_hash, g_str_equal);
    uint64_t owner = wg_hash(h->name, strlen(h->name), 0);
    for (int i = 0; i < num; i++) {
        const char* name = names[i];
        if (strcmp(name, h->name) != 0 && g_hash_table_add(known, (gpointer)name)) {
            _wg_handoff_ranked entry = {name, wg_hash(name, strlen(name), owner)};
            g_array_append_val(ranked, entry);
        }
    }
    g_hash_table_unref(known);
    g_array_sort(ranked, _wg_handoff_compare);
    g_array_set_size(ranked, MIN(ranked->len, WG_HANDOFF_PEERS_MAX));
    return ranked;
}

static bool _wg_handoff_is_ranked(const GArray* ranked, const char* name) {
    for (guint i = 0; i < ranked->len; i++) {
        if (strcmp(g_array_index(ranked, _wg_handoff_ranked, i).name, name) == 0) {
            return true;
        }
    }
    return false;
}

static int _wg_handoff_slot_of(const wg_handoff* h, const char* name) {
    for (int i = 0; i < WG_HANDOFF_PEERS_MAX; i++) {
        if (h->peers[i].name && strcmp(h->peers[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Puts the host into an empty slot. */
static void _wg_handoff_fill(wg_handoff* h, const char* name) {
    for (int i = 0; i < WG_HANDOFF_PEERS_MAX; i++) {
        if (!h->peers[i].name) {
            h->peers[i].name = g_strdup(name);
            return;
        }
    }
}

/* Whether lateness is that of this host: it stands still, or stood still after the request was
   sent. */
static bool _wg_handoff_own_stall(const wg_handoff* h, wg_time now, wg_time waited) {
    return now - h->ticked_at > _WG_HANDOFF_TICK_OVERDUE || now - waited < h->stall_ended_at;
}

/* ---- public functions ----------------------------------------------------------------------- */

wg_handoff* wg_handoff_setup(const wg_handoff_desc* desc) {
    WG_ASSERT(desc->name && desc->delay_max >= 0);
    wg_handoff* h = g_new0(wg_handoff, 1);
    h->desc = *desc;
    h->name = g_strdup(desc->name);
    h->desc.name = h->name;
    h->share = 1;
    return h;
}

void wg_handoff_shutdown(wg_handoff* h) {
    for (int i = 0; i < WG_HANDOFF_PEERS_MAX; i++) {
        _wg_handoff_clear(&h->peers[i]);
    }
    g_free(h->name);
    g_free(h);
}

void wg_handoff_set_hosts(wg_handoff* h, const char* const* names, int num) {
    GArray* ranked = _wg_handoff_rank(h, names, num);
    for (int i = 0; i < WG_HANDOFF_PEERS_MAX; i++) {
        if (h->peers[i].name && !_wg_handoff_is_ranked(ranked, h->peers[i].name)) {
            _wg_handoff_clear(&h->peers[i]);
        }
    }
    for (guint i = 0; i < ranked->len; i++) {
        const char* name = g_array_index(ranked, _wg_handoff_ranked, i).name;
        if (_wg_handoff_slot_of(h, name) < 0) {
            _wg_handoff_fill(h, name);
        }
    }
    g_array_unref(ranked);
}

const char* wg_handoff_peer_name(const wg_handoff* h, int peer) {
    WG_ASSERT(peer >= 0 && peer < WG_HANDOFF_PEERS_MAX);
    return h->peers[peer].name;
}

void wg_handoff_tick(wg_handoff* h, wg_time now, const wg_handoff_load* load) {
    if (h->desc.delay_max == 0 || (h->ticked_at && now - h->ticked_at < _WG_HANDOFF_PERIOD_MIN)) {
        return;
    }
    h->ticked_at = now;
    h->short_of_descriptors = _wg_handoff_uses(load, _WG_HANDOFF_KEPT_PERCENT);
    _wg_handoff_adjust(h, now, load);
    _wg_handoff_raise_limits(h);
    if (_wg_handoff_local_share(h) < 1) {
        h->short_at = now;
    }
}

bool wg_handoff_needs_links(const wg_handoff* h, wg_time now) {
    return h->short_at > 0 && now - h->short_at < _WG_HANDOFF_LINKS_KEPT;
}

void wg_handoff_peer_up(wg_handoff* h, int peer) {
    _wg_handoff_peer* p = _wg_handoff_peer_at(h, peer);
    p->is_up = p->name != NULL;
    p->in_progress = 0;
    p->limit = WG_HANDOFF_IN_PROGRESS_MAX;
    p->late_num = 0;
}

void wg_handoff_peer_down(wg_handoff* h, wg_time now, int peer) {
    _wg_handoff_peer* p = _wg_handoff_peer_at(h, peer);
    p->is_up = false;
    p->in_progress = 0;
    p->late_num = 0;
    _wg_handoff_set_aside(p, now, _WG_HANDOFF_DOWN_ASIDE);
}

bool wg_handoff_wants(wg_handoff* h) {
    double share = _wg_handoff_local_share(h);
    if (share >= 1) {
        h->due = 0;
        return false;
    }
    h->due += 1 - share;
    if (h->due < 1) {
        h->kept++;
        return false;
    }
    h->due -= 1;
    return true;
}

int wg_handoff_pick(wg_handoff* h, wg_time now, uint32_t tried) {
    int available[WG_HANDOFF_PEERS_MAX];
    int num = 0;
    for (int i = 0; i < WG_HANDOFF_PEERS_MAX; i++) {
        if (!(tried >> i & 1) && _wg_handoff_is_available(&h->peers[i], now)) {
            available[num++] = i;
        }
    }
    if (num == 0) {
        h->kept++;
        return -1;
    }
    int at = _wg_handoff_random(h, num);
    int first = available[at];
    int second = num > 1 ? available[(at + 1 + _wg_handoff_random(h, num - 1)) % num] : first;
    return h->peers[second].in_progress < h->peers[first].in_progress ? second : first;
}

void wg_handoff_begin(wg_handoff* h, int peer) {
    _wg_handoff_peer_at(h, peer)->in_progress++;
    h->handed_off++;
}

void wg_handoff_declined(wg_handoff* h, wg_time now, int peer) {
    h->declined++;
    wg_handoff_end(h, peer);
    _wg_handoff_set_busy(_wg_handoff_peer_at(h, peer), now, _WG_HANDOFF_DECLINED_ASIDE);
}

void wg_handoff_first_byte(wg_handoff* h, wg_time now, int peer, wg_time waited) {
    _wg_handoff_peer* p = _wg_handoff_peer_at(h, peer);
    if (waited < WG_HANDOFF_LATE) {
        p->late_num = 0;
        return;
    }
    if (_wg_handoff_own_stall(h, now, waited)) {
        return;
    }
    p->late_num++;
    if (p->late_num >= _WG_HANDOFF_LATE_NUM) {
        p->late_num = 0;
        _wg_handoff_set_busy(p, now, _WG_HANDOFF_LATE_ASIDE);
    }
}

void wg_handoff_end(wg_handoff* h, int peer) {
    _wg_handoff_peer* p = _wg_handoff_peer_at(h, peer);
    p->in_progress = MAX(p->in_progress - 1, 0);
}

bool wg_handoff_accepts(const wg_handoff* h, const wg_handoff_load* load, int taken) {
    bool is_short = _wg_handoff_local_share(h) < _WG_HANDOFF_SHARE_TAKEN ||
                    load->input_delay >= h->desc.delay_max / 2 ||
                    _wg_handoff_uses(load, _WG_HANDOFF_TAKEN_PERCENT);
    return h->desc.delay_max > 0 && !is_short && taken < WG_HANDOFF_TAKEN_MAX;
}

wg_handoff_stats wg_handoff_query_stats(const wg_handoff* h) {
    wg_handoff_stats stats = {.local_share = _wg_handoff_local_share(h),
                              .handed_off = h->handed_off,
                              .kept = h->kept,
                              .declined = h->declined};
    for (int i = 0; i < WG_HANDOFF_PEERS_MAX; i++) {
        stats.peers_up += h->peers[i].is_up;
        stats.in_progress += h->peers[i].in_progress;
    }
    return stats;
}
