/*
    wg_share_plan.c -- computes how many slots each router may use; see wg_share.h

    For each service: shares of workspaces (weighted max-min, corrected by virtual time), then
    quotas of routers (each workspace's share, split by where its demand is), then slots per target
    (reclaim no more than other routers need, grant from free slots).
*/
#include "wg_share_internal.h"

#include <math.h>
#include <string.h>

/* ---- types -------------------------------------------------------------------------------- */

enum {
    _WGF_FILL_ROUNDS = 40, /* bisection steps for the fill level */
    /* slot lease durations without a report until a router is removed */
    _WGF_REMOVE_AFTER_LEASES = 30
};

/* Bounds of the correction: up to 4 times the weight for a workspace below its fair share, down to
   a quarter for one above. */
static const double _WGF_BOOST_MIN = 0.25;
static const double _WGF_BOOST_MAX = 4.0;

/* ---- helpers: fleet time ------------------------------------------------------------------- */

static void _wgf_advance_fleet_time(wgf_share* s, _wgf_service_t* service) {
    int64_t lowest = INT64_MAX;
    for (int i = 0; i < service->active_num; i++) {
        const _wgf_flow_t* f = &s->flows[service->active[i]];
        if (f->queued > 0) {
            lowest = MIN(lowest, f->virtual_time);
        }
    }
    if (lowest != INT64_MAX) {
        service->fleet_time = MAX(service->fleet_time, lowest);
    }
}

/* ---- helpers: shares of workspaces --------------------------------------------------------- */

static double _wgf_demand(const _wgf_flow_t* f) {
    return (double)(f->queued + f->running);
}

static double _wgf_filled(const wgf_share* s, const _wgf_service_t* service, double level) {
    double sum = 0;
    for (int i = 0; i < service->active_num; i++) {
        int flow = service->active[i];
        if (s->flows[flow].limited) {
            sum += MIN(_wgf_demand(&s->flows[flow]), s->shares[flow] * level);
        }
    }
    return sum;
}

/* Level at which the limited workspaces' weights in `shares` fill the slots. */
static double _wgf_fill_level(const wgf_share* s, const _wgf_service_t* service, double slots) {
    double low = 0;
    double high = MAX(slots, 0);
    for (int i = 0; i < _WGF_FILL_ROUNDS; i++) {
        double level = (low + high) / 2;
        if (_wgf_filled(s, service, level) < slots) {
            low = level;
        } else {
            high = level;
        }
    }
    return high;
}

/* Workspaces whose demand is within their fair share get their demand. The others are limited and
   share the remaining slots, whose number is returned. */
static double _wgf_find_limited(wgf_share* s, const _wgf_service_t* service, double slots) {
    for (int i = 0; i < service->active_num; i++) {
        int flow = service->active[i];
        s->flows[flow].limited = true;
        s->shares[flow] = (double)s->flows[flow].weight;
    }
    double level = _wgf_fill_level(s, service, slots);
    double left = slots;
    for (int i = 0; i < service->active_num; i++) {
        int flow = service->active[i];
        _wgf_flow_t* f = &s->flows[flow];
        f->limited = _wgf_demand(f) > s->shares[flow] * level;
        if (!f->limited) {
            s->shares[flow] = _wgf_demand(f);
            left -= _wgf_demand(f);
        }
    }
    return left;
}

/* Mean virtual time of the limited workspaces, and the amount by which it advances while each of
   their slots completes one request, which is the unit of the correction. */
static void _wgf_mean_time(const wgf_share* s, const _wgf_service_t* service, double slots,
                           double* mean, double* round) {
    double sum = 0;
    double weights = 0;
    double pending = 0;
    double running = 0;
    for (int i = 0; i < service->active_num; i++) {
        const _wgf_flow_t* f = &s->flows[service->active[i]];
        if (f->limited) {
            sum += (double)_wgf_effective_time(f) * (double)f->weight;
            weights += (double)f->weight;
            pending += (double)f->pending;
            running += (double)f->running;
        }
    }
    double cost =
        running > 0 && pending > 0 ? 2.0 * pending / running : (double)service->first_cost;
    *mean = weights > 0 ? sum / weights : 0;
    *round = MAX(1.0, slots * cost * WGF_SCALE / MAX(weights, 1.0));
}

/* Shares the slots among the limited workspaces by weight, corrected by virtual time. */
static void _wgf_share_limited(wgf_share* s, const _wgf_service_t* service, double slots) {
    double mean;
    double round;
    _wgf_mean_time(s, service, slots, &mean, &round);
    for (int i = 0; i < service->active_num; i++) {
        int flow = service->active[i];
        const _wgf_flow_t* f = &s->flows[flow];
        if (f->limited) {
            double behind = (mean - (double)_wgf_effective_time(f)) / round;
            double boost = CLAMP(1.0 + behind, _WGF_BOOST_MIN, _WGF_BOOST_MAX);
            s->shares[flow] = (double)f->weight * boost;
        }
    }
    double level = _wgf_fill_level(s, service, slots);
    for (int i = 0; i < service->active_num; i++) {
        int flow = service->active[i];
        if (s->flows[flow].limited) {
            s->shares[flow] = MIN(_wgf_demand(&s->flows[flow]), s->shares[flow] * level);
        }
    }
}

/* ---- helpers: quotas of routers ------------------------------------------------------------ */

static bool _wgf_accepts_slots(const _wgf_router_t* router) {
    return router->live && router->reported && !router->lapsed;
}

static void _wgf_count_demand(wgf_share* s, const _wgf_service_t* service) {
    for (int r = 0; r < s->desc.routers_max; r++) {
        s->routers[r].exact_quota = 0;
        s->routers[r].demand = 0;
    }
    for (int i = 0; i < service->active_num; i++) {
        const _wgf_flow_t* f = &s->flows[service->active[i]];
        for (int a = f->first_account; a >= 0; a = s->accounts[a].next_of_flow) {
            s->routers[s->accounts[a].router].demand +=
                s->accounts[a].queued + s->accounts[a].running;
        }
    }
}

/* Demand exceeds the slots: each workspace's share is split by where its demand is. */
static void _wgf_quotas_contended(wgf_share* s, const _wgf_service_t* service, double slots) {
    double left = _wgf_find_limited(s, service, slots);
    _wgf_share_limited(s, service, left);
    for (int i = 0; i < service->active_num; i++) {
        int flow = service->active[i];
        const _wgf_flow_t* f = &s->flows[flow];
        for (int a = f->first_account; a >= 0; a = s->accounts[a].next_of_flow) {
            double demand = s->accounts[a].queued + s->accounts[a].running;
            s->routers[s->accounts[a].router].exact_quota +=
                s->shares[flow] * demand / _wgf_demand(f);
        }
    }
}

/* Enough slots: demand is met, and most of the unused slots are spread evenly. */
static void _wgf_quotas_uncontended(wgf_share* s, double slots, double demand, int routers) {
    double spread = (slots - demand) * (100 - WGF_UNUSED_RESERVE_PERCENT) / 100.0 / MAX(routers, 1);
    for (int r = 0; r < s->desc.routers_max; r++) {
        if (_wgf_accepts_slots(&s->routers[r])) {
            bool in_service = !s->routers[r].leaving;
            s->routers[r].exact_quota = (double)s->routers[r].demand + (in_service ? spread : 0);
        }
    }
}

/* Rounds quotas to whole slots, carrying each fraction over to the next router. */
static void _wgf_round_quotas(wgf_share* s) {
    double carry = 0;
    for (int r = 0; r < s->desc.routers_max; r++) {
        _wgf_router_t* router = &s->routers[r];
        if (!_wgf_accepts_slots(router)) {
            router->wanted_slots = 0;
            continue;
        }
        double exact_quota = router->exact_quota + carry;
        router->wanted_slots = (int)floor(exact_quota + 1e-6);
        carry = exact_quota - router->wanted_slots;
    }
}

/* ---- helpers: limits per target ------------------------------------------------------------ */

static bool _wgf_serves(const _wgf_target_t* target, int service) {
    return target->live && target->service == service;
}

static void _wgf_count_holdings(wgf_share* s, int service) {
    for (int r = 0; r < s->desc.routers_max; r++) {
        _wgf_router_t* router = &s->routers[r];
        router->held_slots = 0;
        for (int t = 0; router->live && t < s->targets_num; t++) {
            /* Slots of a target that is draining or has failed cannot be used. */
            if (_wgf_serves(&s->targets[t], service) && _wgf_capacity(s, &s->targets[t]) > 0) {
                router->held_slots += _wgf_slot_sum(_wgf_slot(s, r, t));
            }
        }
    }
}

static void _wgf_set_quota(wgf_share* s, int r, int service, uint32_t quota) {
    _wgf_router_t* router = &s->routers[r];
    router->quota[service] = quota;
    if (quota != router->quota_sent[service]) {
        router->has_orders = true;
    }
}

/* Reclaims the slots that other routers need, largest surplus first; routers with nothing to return
   have no quota. */
static void _wgf_reclaim(wgf_share* s, int service, int needed) {
    for (int r = 0; r < s->desc.routers_max; r++) {
        if (s->routers[r].live) {
            s->routers[r].reclaimed = 0;
        }
    }
    while (needed > 0) {
        int largest = -1;
        for (int r = 0; r < s->desc.routers_max; r++) {
            const _wgf_router_t* router = &s->routers[r];
            int surplus =
                router->live ? router->held_slots - router->wanted_slots - router->reclaimed : 0;
            if (surplus > 0 && (largest < 0 || surplus > s->routers[largest].held_slots -
                                                             s->routers[largest].wanted_slots -
                                                             s->routers[largest].reclaimed)) {
                largest = r;
            }
        }
        if (largest < 0) {
            break;
        }
        int part = MAX(1, (s->routers[largest].held_slots - s->routers[largest].wanted_slots -
                           s->routers[largest].reclaimed) /
                              2);
        part = MIN(part, needed);
        s->routers[largest].reclaimed += part;
        needed -= part;
    }
    for (int r = 0; r < s->desc.routers_max; r++) {
        const _wgf_router_t* router = &s->routers[r];
        if (router->live) {
            uint32_t quota = router->reclaimed > 0
                                 ? (uint32_t)(router->held_slots - router->reclaimed)
                                 : WGF_NO_QUOTA;
            _wgf_set_quota(s, r, service, quota);
        }
    }
}

static int _wgf_free_slots(const wgf_share* s, int service) {
    int num = 0;
    for (int t = 0; t < s->targets_num; t++) {
        if (_wgf_serves(&s->targets[t], service)) {
            num += MAX(_wgf_capacity(s, &s->targets[t]) - s->targets[t].counted, 0);
        }
    }
    return num;
}

/* Target to grant from: the one with most free slots, with a small bonus for the router's own data
   centre. */
static int _wgf_best_target(const wgf_share* s, int r, int service) {
    int best = -1;
    int best_score = 0;
    for (int t = 0; t < s->targets_num; t++) {
        const _wgf_target_t* target = &s->targets[t];
        if (!_wgf_serves(target, service) || _wgf_slot(s, r, t)->ejected) {
            continue;
        }
        int score = 4 * (_wgf_capacity(s, target) - target->counted);
        bool local = strcmp(target->data_centre, s->routers[r].data_centre) == 0;
        if (score > 0 && score + (local ? 3 : 0) > best_score) {
            best = t;
            best_score = score + (local ? 3 : 0);
        }
    }
    return best;
}

static void _wgf_grant(wgf_share* s, int r, int service, int num) {
    while (num > 0) {
        int t = _wgf_best_target(s, r, service);
        if (t < 0) {
            return;
        }
        int left = _wgf_capacity(s, &s->targets[t]) - s->targets[t].counted;
        int granted = MIN(num, MAX(1, left / 4));
        _wgf_slot_t slot = *_wgf_slot(s, r, t);
        slot.unsent += (uint16_t)granted;
        _wgf_set_slot(s, r, t, slot);
        s->routers[r].has_orders = true;
        WG_ASSERT(s->targets[t].counted <= _wgf_capacity(s, &s->targets[t]));
        num -= granted;
        s->routers[r].held_slots += granted;
    }
}

static void _wgf_move_slots(wgf_share* s, int service, wg_time now) {
    _wgf_count_holdings(s, service);
    int shortage = 0;
    for (int r = 0; r < s->desc.routers_max; r++) {
        shortage += MAX(s->routers[r].wanted_slots - s->routers[r].held_slots, 0);
    }
    _wgf_reclaim(s, service, shortage - _wgf_free_slots(s, service));
    if (now < s->may_grant_at) {
        return;
    }
    for (int r = 0; r < s->desc.routers_max; r++) {
        if (_wgf_accepts_slots(&s->routers[r]) &&
            s->routers[r].wanted_slots > s->routers[r].held_slots) {
            _wgf_grant(s, r, service, s->routers[r].wanted_slots - s->routers[r].held_slots);
        }
    }
}

static void _wgf_plan_service(wgf_share* s, int i, wg_time now) {
    _wgf_service_t* service = &s->services[i];
    _wgf_advance_fleet_time(s, service);
    _wgf_count_demand(s, service);
    double slots = 0;
    for (int t = 0; t < s->targets_num; t++) {
        if (_wgf_serves(&s->targets[t], i)) {
            slots += _wgf_capacity(s, &s->targets[t]);
        }
    }
    double demand = 0;
    int routers = 0;
    for (int r = 0; r < s->desc.routers_max; r++) {
        demand += (double)s->routers[r].demand;
        routers += _wgf_accepts_slots(&s->routers[r]) && !s->routers[r].leaving ? 1 : 0;
    }
    if (demand > slots) {
        _wgf_quotas_contended(s, service, slots);
    } else {
        _wgf_quotas_uncontended(s, slots, demand, routers);
    }
    _wgf_round_quotas(s);
    _wgf_move_slots(s, i, now);
}

/* Expires the leases of routers that don't report, and removes routers after a longer time. */
static void _wgf_end_leases(wgf_share* s, wg_time now) {
    for (int r = 0; r < s->desc.routers_max; r++) {
        _wgf_router_t* router = &s->routers[r];
        wg_time since_contact = router->live ? now - router->last_contact_at : 0;
        if (since_contact > _WGF_REMOVE_AFTER_LEASES * s->desc.slot_lease) {
            wgf_remove_router(s, (wgf_router){wg_pool_handle_at(&s->routers_pool, r).id});
        } else if (since_contact > s->desc.slot_lease && !router->lapsed) {
            router->lapsed = true;
            s->stats.lapsed++;
            _wgf_clear_router_slots(s, r);
            _wgf_clear_router_demand(s, r);
        }
    }
}

/* ---- public functions --------------------------------------------------------------------- */

void wgf_plan(wgf_share* s, wg_time now) {
    s->stats.plans++;
    _wgf_end_leases(s, now);
    for (int i = 0; i < s->services_num; i++) {
        if (s->services[i].live) {
            _wgf_plan_service(s, i, now);
        }
    }
}
