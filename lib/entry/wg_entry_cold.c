/* wg_entry_cold.c -- cold targets: their request rate, and which host may grant requests to them

   The request rate of a cold target is limited across all hosts, so only its coordinator grants
   requests. A new coordinator grants nothing until the previous one knows of the change and its
   last grants have left the one-second rate window. */
#include "wg_entry_internal.h"

#include <string.h>

enum {
    /* The rate window of one second, plus the 0.2 s until all hosts know of a change. Prevents
       several successive coordinators from granting within the same second: where hosts came up
       one after the other, a third one granted beside two. */
    WG_COLD_TRANSFER_TIME = 1200 * WG_USEC_PER_MSEC
};

/* ---- helpers --------------------------------------------------------------------------------- */

/* Returns the rank of the host that coordinates `target`, by rendezvous hashing; 0: none. */
static uint64_t _wg_coordinating_rank(const uint64_t* ranks, int num, uint32_t target) {
    uint64_t best = 0;
    uint64_t best_weight = 0;
    for (int i = 0; i < num; i++) {
        uint64_t weight = wg_hash(&target, sizeof target, ranks[i]);
        if (best == 0 || weight > best_weight) {
            best = ranks[i];
            best_weight = weight;
        }
    }
    return best;
}

static wg_time _wg_cold_transfer_time(const wg_entry* e) {
    return MIN(WG_COLD_TRANSFER_TIME, e->settings->cold_settle_ms * WG_USEC_PER_MSEC);
}

static void _wg_drop_previous_coordinators(wg_entry* e, int num) {
    e->previous_coordinators_num -= num;
    memmove(&e->previous_coordinators[0], &e->previous_coordinators[num],
            sizeof e->previous_coordinators[0] * (size_t)e->previous_coordinators_num);
}

static bool _wg_is_same_list(const wg_entry* e, const wg_coordinator* list, int num) {
    bool same = num == e->coordinators_num;
    for (int i = 0; same && i < num; i++) {
        same = list[i].rank == e->coordinators[i].rank;
    }
    return same;
}

static uint64_t _wg_own_rank(const wg_entry* e) {
    return wg_hash(e->settings->name, strlen(e->settings->name), 0);
}

/* ---- functions of the library ---------------------------------------------------------------- */

const wg_service* wg_entry_service_of(const wg_entry* e, uint32_t number) {
    const wg_target* target = wg_registry_find(e->registry, number);
    int service = target && e->config ? wg_config_service(e->config, target->service) : -1;
    return service >= 0 ? &e->config->services[service] : NULL;
}

double wg_entry_cold_rate(const wg_entry* e, uint32_t number) {
    const wg_target* target = wg_registry_find(e->registry, number);
    if (!target || wg_now() >= target->cold_until) {
        return 0;
    }
    const wg_service* service = wg_entry_service_of(e, number);
    return service ? service->cold_rate : 0;
}

bool wg_entry_may_use_cold(const wg_entry* e, wg_time now) {
    return now - e->started_at >= e->settings->cold_settle_ms * WG_USEC_PER_MSEC;
}

bool wg_entry_record_coordinators(wg_entry* e, const wg_coordinator* list, int num, wg_time now) {
    if (_wg_is_same_list(e, list, num)) {
        return false;
    }
    int over = 0;
    while (over < e->previous_coordinators_num &&
           now - e->previous_coordinators[over].replaced_at >= WG_COLD_TRANSFER_TIME) {
        over++;
    }
    _wg_drop_previous_coordinators(e, over);
    if (e->previous_coordinators_num == WG_PREVIOUS_COORDINATORS_MAX) {
        _wg_drop_previous_coordinators(e, 1);
    }
    wg_previous_coordinators* previous = &e->previous_coordinators[e->previous_coordinators_num++];
    *previous = (wg_previous_coordinators){.num = e->coordinators_num, .replaced_at = now};
    for (int i = 0; i < e->coordinators_num; i++) {
        previous->ranks[i] = e->coordinators[i].rank;
    }
    return true;
}

bool wg_entry_may_grant_cold(const wg_entry* e, uint32_t target, wg_time now) {
    uint64_t own = _wg_own_rank(e);
    uint64_t ranks[WG_COORDINATORS_MAX];
    for (int i = 0; i < e->coordinators_num; i++) {
        ranks[i] = e->coordinators[i].rank;
    }
    bool grants = wg_entry_may_use_cold(e, now) &&
                  _wg_coordinating_rank(ranks, e->coordinators_num, target) == own;
    for (int i = 0; grants && i < e->previous_coordinators_num; i++) {
        const wg_previous_coordinators* previous = &e->previous_coordinators[i];
        bool counts = now - previous->replaced_at < _wg_cold_transfer_time(e);
        grants = !counts || _wg_coordinating_rank(previous->ranks, previous->num, target) == own;
    }
    return grants;
}
