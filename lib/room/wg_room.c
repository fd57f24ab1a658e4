/* wg_room.c -- see wg_room.h */
#include "wg_room.h"

/* A service in a host's copy. */
typedef struct {
    wg_room_count count;
    wg_room_state state;
    bool has_room;
    uint64_t report; /* number of the last report that lists the service */
} _wg_room_service;

struct wg_room_copy {
    GHashTable* services; /* name -> _wg_room_service* */
    uint64_t reports;     /* reports applied */
    wg_time lifetime;     /* microseconds */
    wg_time told_at;      /* valid with `known` */
    bool known;           /* the last report lists services */
};

/* ---- counts ---------------------------------------------------------------------------------- */

bool wg_room_target_has_room(const wg_room_target* target, wg_time wait_max) {
    bool slots_free = 2 * (uint64_t)target->running <= target->slots;
    return target->ready && slots_free && target->read_time <= wait_max;
}

void wg_room_add(wg_room_count* count, const wg_room_target* target, wg_time wait_max) {
    count->ready += target->ready;
    count->with_room += wg_room_target_has_room(target, wait_max);
}

bool wg_room_update(wg_room_state* state, wg_time now, const wg_room_count* count) {
    uint64_t ready = count->ready;
    uint64_t with_room = count->with_room;
    bool enough = with_room > 0 && 2 * with_room >= ready;
    bool plenty = enough && 3 * with_room >= 2 * ready;
    if (enough && !state->enough) {
        state->enough_since = now;
    }
    state->enough = enough;
    if (!enough) {
        state->lost = true;
    } else if (plenty || now - state->enough_since >= WG_ROOM_REGAIN_TIME) {
        state->lost = false;
    }
    return !state->lost;
}

bool wg_room_lead_update(wg_room_lead* lead, bool settled, int missing) {
    WG_ASSERT(missing >= 0);
    lead->complete = lead->complete || (settled && missing == 0);
    return lead->complete;
}

/* ---- the copy of a host ---------------------------------------------------------------------- */

wg_room_copy* wg_room_copy_setup(void) {
    wg_room_copy* copy = g_new0(wg_room_copy, 1);
    copy->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return copy;
}

void wg_room_copy_shutdown(wg_room_copy* copy) {
    g_hash_table_unref(copy->services);
    g_free(copy);
}

void wg_room_copy_set_lifetime(wg_room_copy* copy, wg_time lifetime) {
    copy->lifetime = lifetime;
}

static bool _wg_room_copy_is_fresh(const wg_room_copy* copy, wg_time now) {
    return copy->known && now - copy->told_at < copy->lifetime;
}

static _wg_room_service* _wg_room_copy_service(wg_room_copy* copy, const char* name) {
    _wg_room_service* service = g_hash_table_lookup(copy->services, name);
    if (!service) {
        service = g_new0(_wg_room_service, 1);
        g_hash_table_insert(copy->services, g_strdup(name), service);
    }
    return service;
}

/* The time in which nothing was known does not count as time with room. */
static void _wg_room_copy_interrupt(wg_room_copy* copy) {
    GHashTableIter iter;
    gpointer service;
    g_hash_table_iter_init(&iter, copy->services);
    while (g_hash_table_iter_next(&iter, NULL, &service)) {
        ((_wg_room_service*)service)->state.enough = false;
    }
}

static gboolean _wg_room_copy_is_unlisted(gpointer name, gpointer service, gpointer copy) {
    (void)name;
    return ((const _wg_room_service*)service)->report != ((const wg_room_copy*)copy)->reports;
}

void wg_room_copy_apply(wg_room_copy* copy, wg_time now, const wg_room_report* list, size_t num) {
    if (!_wg_room_copy_is_fresh(copy, now)) {
        _wg_room_copy_interrupt(copy);
    }
    copy->known = num > 0;
    copy->told_at = now;
    copy->reports++;
    for (size_t i = 0; i < num; i++) {
        _wg_room_service* service = _wg_room_copy_service(copy, list[i].service);
        service->count = list[i].count;
        service->has_room = wg_room_update(&service->state, now, &list[i].count);
        service->report = copy->reports;
    }
    if (copy->known) {
        g_hash_table_foreach_remove(copy->services, _wg_room_copy_is_unlisted, copy);
    }
}

wg_room_answer wg_room_copy_query(const wg_room_copy* copy, wg_time now, const char* name,
                                  wg_room_count* count) {
    const _wg_room_service* service = g_hash_table_lookup(copy->services, name);
    if (count) {
        *count = service ? service->count : (wg_room_count){0};
    }
    if (!service || !_wg_room_copy_is_fresh(copy, now)) {
        return WG_ROOM_UNKNOWN;
    }
    return service->has_room ? WG_ROOM_FREE : WG_ROOM_NONE;
}
