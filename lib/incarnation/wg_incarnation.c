/* wg_incarnation.c -- see wg_incarnation.h */
#include "wg_incarnation.h"

typedef struct {
    wg_time doubted_at;
    wg_time confirmed_at; /* when the last question was sent that its process answered; 0: none */
    wg_time other_until;  /* until then it counts as another process; 0: it does not */
    bool untold;          /* it does not tell when it started */
    wg_time heard_at;     /* of the last heartbeat that the leader told of; 0: none */
    wg_time heard_until;  /* the next one is due by then */
    wg_time silent_until; /* the leader is not asked until then */
} wg_incarnation;

struct wg_incarnations {
    GHashTable* targets; /* number -> wg_incarnation* */
    wg_time doubted_at;  /* since when any target may have restarted */
};

/* ---- helpers ------------------------------------------------------------------------------- */

static const wg_incarnation* _wg_incarnation_find(const wg_incarnations* x, uint32_t target) {
    static const wg_incarnation unknown;
    const wg_incarnation* i = g_hash_table_lookup(x->targets, GUINT_TO_POINTER(target));
    return i ? i : &unknown;
}

static wg_incarnation* _wg_incarnation_of(wg_incarnations* x, uint32_t target) {
    wg_incarnation* i = g_hash_table_lookup(x->targets, GUINT_TO_POINTER(target));
    if (!i) {
        i = g_new0(wg_incarnation, 1);
        g_hash_table_insert(x->targets, GUINT_TO_POINTER(target), i);
    }
    return i;
}

static wg_time _wg_incarnation_doubted_at(const wg_incarnations* x, const wg_incarnation* i) {
    return MAX(i->doubted_at, x->doubted_at);
}

static bool _wg_incarnation_is_in_doubt(const wg_incarnations* x, const wg_incarnation* i,
                                        wg_time now) {
    wg_time doubted_at = _wg_incarnation_doubted_at(x, i);
    return i->confirmed_at < doubted_at && now - doubted_at < WG_INCARNATION_DOUBT_TIME;
}

static bool _wg_incarnation_is_heard(const wg_incarnations* x, const wg_incarnation* i,
                                     wg_time now) {
    return i->heard_at > _wg_incarnation_doubted_at(x, i) && now <= i->heard_until;
}

/* ---- public functions ---------------------------------------------------------------------- */

wg_incarnations* wg_incarnations_setup(void) {
    wg_incarnations* x = g_new0(wg_incarnations, 1);
    x->targets = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    return x;
}

void wg_incarnations_shutdown(wg_incarnations* x) {
    g_hash_table_unref(x->targets);
    g_free(x);
}

void wg_incarnations_doubt(wg_incarnations* x, wg_time now, uint32_t target) {
    _wg_incarnation_of(x, target)->doubted_at = now;
}

void wg_incarnations_doubt_all(wg_incarnations* x, wg_time now) {
    x->doubted_at = now;
}

void wg_incarnations_forget(wg_incarnations* x, uint32_t target) {
    g_hash_table_remove(x->targets, GUINT_TO_POINTER(target));
}

void wg_incarnations_answer(wg_incarnations* x, wg_time now, uint32_t target, wg_time asked_at,
                            wg_incarnation_answer answer) {
    wg_incarnation* i = _wg_incarnation_of(x, target);
    i->untold = answer == WG_INCARNATION_UNTOLD;
    i->other_until = answer == WG_INCARNATION_OTHER ? now + WG_INCARNATION_OTHER_TIME : 0;
    if (answer == WG_INCARNATION_SAME) {
        i->confirmed_at = MAX(i->confirmed_at, asked_at);
    } else if (answer == WG_INCARNATION_OTHER) {
        i->confirmed_at = 0;
        i->doubted_at = now;
    }
}

void wg_incarnations_heard(wg_incarnations* x, wg_time now, uint32_t target,
                           const wg_heartbeats* heartbeats) {
    wg_incarnation* i = _wg_incarnation_of(x, target);
    wg_time interval = MIN(heartbeats->interval, WG_HEARTBEAT_INTERVAL_MAX);
    i->heard_at = heartbeats->heard ? now - heartbeats->silence : 0;
    i->heard_until = i->heard_at + interval + interval / 2 + WG_HEARTBEAT_TOLERANCE;
    i->silent_until = _wg_incarnation_is_heard(x, i, now) ? 0 : now + WG_INCARNATION_SILENT_TIME;
}

bool wg_incarnations_is_confirmed(const wg_incarnations* x, uint32_t target,
                                  wg_time established_at) {
    wg_time confirmed_at = _wg_incarnation_find(x, target)->confirmed_at;
    return confirmed_at > 0 && established_at <= confirmed_at;
}

wg_incarnation_step wg_incarnations_continue(const wg_incarnations* x, wg_time now, uint32_t target,
                                             wg_time established_at) {
    const wg_incarnation* i = _wg_incarnation_find(x, target);
    if (!wg_incarnations_may_choose(x, now, target, true)) {
        return WG_INCARNATION_AVOID;
    }
    if (wg_incarnations_is_confirmed(x, target, established_at) ||
        (i->untold && _wg_incarnation_is_heard(x, i, now))) {
        return WG_INCARNATION_SURE;
    }
    return i->untold ? WG_INCARNATION_ASK_LEADER : WG_INCARNATION_ASK;
}

wg_incarnation_step wg_incarnations_begin(const wg_incarnations* x, wg_time now, uint32_t target) {
    const wg_incarnation* i = _wg_incarnation_find(x, target);
    if (!wg_incarnations_may_choose(x, now, target, false)) {
        return WG_INCARNATION_AVOID;
    }
    bool sure = i->untold || !_wg_incarnation_is_in_doubt(x, i, now);
    return sure ? WG_INCARNATION_SURE : WG_INCARNATION_ASK;
}

bool wg_incarnations_may_choose(const wg_incarnations* x, wg_time now, uint32_t target,
                                bool continues) {
    const wg_incarnation* i = _wg_incarnation_find(x, target);
    bool cannot_tell = continues && i->untold && now < i->silent_until;
    return now >= i->other_until && !cannot_tell;
}
