/* wg_share.c -- accounts, routers and configuration; wg_share_plan.c computes the plan */
#include "wg_share_internal.h"

#include <string.h>

enum {
    _WGF_ROUTERS_LIMIT = 32767 /* a handle has 16 bits for the index */
};

/* ---- helpers: slots ------------------------------------------------------------------------ */

_wgf_slot_t* _wgf_slot(const wgf_share* s, int router, int target) {
    return &s->slots[(size_t)router * (size_t)s->desc.targets_max + (size_t)target];
}

int _wgf_slot_sum(const _wgf_slot_t* slot) {
    return slot->held + slot->sent + slot->unsent;
}

static int _wgf_is_holder(const _wgf_slot_t* slot) {
    return _wgf_slot_sum(slot) > 0 && !slot->ejected ? 1 : 0;
}

void _wgf_set_slot(wgf_share* s, int router, int target, _wgf_slot_t slot) {
    _wgf_slot_t* current = _wgf_slot(s, router, target);
    int added = _wgf_slot_sum(&slot) - _wgf_slot_sum(current);
    s->targets[target].ejected_num += slot.ejected - current->ejected;
    s->targets[target].holders += _wgf_is_holder(&slot) - _wgf_is_holder(current);
    s->targets[target].counted += added;
    s->stats.leased += added;
    *current = slot;
    WG_ASSERT(s->targets[target].counted >= 0);
}

void _wgf_clear_router_slots(wgf_share* s, int router) {
    for (int t = 0; t < s->targets_num; t++) {
        _wgf_set_slot(s, router, t, (_wgf_slot_t){0});
    }
    s->routers[router].has_orders = false;
}

int _wgf_capacity(const wgf_share* s, const _wgf_target_t* target) {
    bool failed_for_all = target->ejected_num > 0 && target->holders == 0;
    if (!target->live || target->draining || failed_for_all) {
        return 0;
    }
    return target->slots * (100 + s->services[target->service].over_percent) / 100;
}

/* ---- helpers: flows and accounts ----------------------------------------------------------- */

int64_t _wgf_effective_time(const _wgf_flow_t* f) {
    return f->virtual_time + f->pending * WGF_SCALE / f->weight;
}

static int _wgf_find_service(const wgf_share* s, uint32_t id) {
    for (int i = 0; i < s->services_num; i++) {
        if (s->services[i].live && s->services[i].id == id) {
            return i;
        }
    }
    return -1;
}

static int64_t _wgf_weight(const wgf_share* s, uint32_t workspace) {
    gpointer weight = g_hash_table_lookup(s->weights, GUINT_TO_POINTER(workspace));
    return weight ? GPOINTER_TO_INT(weight) : 100;
}

static gint64 _wgf_flow_key(int service, uint32_t workspace) {
    return ((gint64)service << 32) | workspace;
}

static int _wgf_find_flow(const wgf_share* s, int service, uint32_t workspace) {
    gint64 key = _wgf_flow_key(service, workspace);
    return GPOINTER_TO_INT(g_hash_table_lookup(s->flow_by_key, &key)) - 1;
}

static int _wgf_get_flow(wgf_share* s, int service, uint32_t workspace) {
    int flow = _wgf_find_flow(s, service, workspace);
    if (flow >= 0 || s->flows_num == s->desc.flows_max) {
        return flow;
    }
    flow = s->flows_num++;
    _wgf_flow_t* f = &s->flows[flow];
    *f = (_wgf_flow_t){.key = _wgf_flow_key(service, workspace),
                       .service = service,
                       .workspace = workspace,
                       .weight = _wgf_weight(s, workspace),
                       .first_account = -1,
                       .active_index = -1};
    f->virtual_time = s->services[service].fleet_time;
    g_hash_table_insert(s->flow_by_key, &f->key, GINT_TO_POINTER(flow + 1));
    return flow;
}

/* Adds the flow to the service's list of flows with demand, or removes it. */
static void _wgf_update_active(wgf_share* s, int flow) {
    _wgf_flow_t* f = &s->flows[flow];
    _wgf_service_t* service = &s->services[f->service];
    bool demand = f->queued + f->running > 0;
    if (demand && f->active_index < 0) {
        f->active_index = service->active_num;
        service->active[service->active_num++] = flow;
    } else if (!demand && f->active_index >= 0) {
        int last = service->active[--service->active_num];
        service->active[f->active_index] = last;
        s->flows[last].active_index = f->active_index;
        f->active_index = -1;
    }
}

static int _wgf_find_account(const wgf_share* s, int flow, int router) {
    gint64 key = ((gint64)flow << 16) | router;
    return GPOINTER_TO_INT(g_hash_table_lookup(s->account_by_key, &key)) - 1;
}

static int _wgf_add_account(wgf_share* s, int flow, int router) {
    int account = s->free_account;
    if (account >= 0) {
        s->free_account = s->accounts[account].next_of_flow;
    } else if (s->accounts_num < s->desc.accounts_max) {
        account = s->accounts_num++;
    } else {
        return -1;
    }
    _wgf_account_t* a = &s->accounts[account];
    *a = (_wgf_account_t){.flow = flow, .router = router, .key = ((gint64)flow << 16) | router};
    a->next_of_flow = s->flows[flow].first_account;
    s->flows[flow].first_account = account;
    a->next_of_router = s->routers[router].first_account;
    s->routers[router].first_account = account;
    g_hash_table_insert(s->account_by_key, &a->key, GINT_TO_POINTER(account + 1));
    s->stats.accounts++;
    return account;
}

/* Clears the demand of an account; its past usage stays in the flow's virtual time. */
static void _wgf_clear_demand(wgf_share* s, _wgf_account_t* a) {
    _wgf_flow_t* f = &s->flows[a->flow];
    f->queued -= a->queued;
    f->running -= a->running;
    f->pending -= a->pending;
    a->queued = a->running = a->pending = 0;
    _wgf_update_active(s, a->flow);
}

void _wgf_clear_router_demand(wgf_share* s, int router) {
    for (int a = s->routers[router].first_account; a >= 0; a = s->accounts[a].next_of_router) {
        _wgf_clear_demand(s, &s->accounts[a]);
    }
}

static void _wgf_remove_accounts(wgf_share* s, int router) {
    int account = s->routers[router].first_account;
    while (account >= 0) {
        _wgf_account_t* a = &s->accounts[account];
        int next = a->next_of_router;
        _wgf_clear_demand(s, a);
        int* link = &s->flows[a->flow].first_account;
        while (*link != account) {
            link = &s->accounts[*link].next_of_flow;
        }
        *link = a->next_of_flow;
        g_hash_table_remove(s->account_by_key, &a->key);
        a->next_of_flow = s->free_account;
        s->free_account = account;
        s->stats.accounts--;
        account = next;
    }
    s->routers[router].first_account = -1;
}

static void _wgf_merge_demand(wgf_share* s, _wgf_account_t* a, const wgf_account* in) {
    _wgf_flow_t* f = &s->flows[a->flow];
    bool was_waiting = f->queued > 0;
    f->queued += (int64_t)in->queued - a->queued;
    f->running += (int64_t)in->running - a->running;
    f->pending += (int64_t)in->pending - a->pending;
    a->queued = in->queued;
    a->running = in->running;
    a->pending = in->pending;
    WG_ASSERT(f->queued >= 0 && f->running >= 0 && f->pending >= 0);
    if (!was_waiting && f->queued > 0) {
        f->virtual_time = MAX(f->virtual_time, s->services[f->service].fleet_time);
    }
    _wgf_update_active(s, a->flow);
}

static void _wgf_merge_account(wgf_share* s, int router, const wgf_account* in, bool full) {
    int service = _wgf_find_service(s, in->service);
    int flow = service < 0 ? -1 : _wgf_get_flow(s, service, in->workspace);
    if (flow < 0) {
        return;
    }
    _wgf_flow_t* f = &s->flows[flow];
    int account = _wgf_find_account(s, flow, router);
    bool is_new = account < 0;
    if (is_new) {
        account = _wgf_add_account(s, flow, router);
        if (account < 0) {
            return;
        }
        /* Earlier usage is already part of the virtual time in a full report, since a router serves
           requests only under a leader. An incremental report for a new account comes from a router
           known since its start, so all its usage counts. */
        s->accounts[account].served = full ? in->served : 0;
        if (full) {
            f->virtual_time = MAX(f->virtual_time, (int64_t)in->virtual_time);
        }
    }
    _wgf_account_t* a = &s->accounts[account];
    if (in->served > a->served) {
        f->virtual_time += (int64_t)(in->served - a->served) * WGF_SCALE / f->weight;
        f->served += in->served - a->served;
        a->served = in->served;
    }
    _wgf_merge_demand(s, a, in);
}

static int _wgf_find_target(const wgf_share* s, uint32_t id) {
    return GPOINTER_TO_INT(g_hash_table_lookup(s->target_by_id, GUINT_TO_POINTER(id))) - 1;
}

/* ---- public functions: set-up and configuration -------------------------------------------- */

wgf_share* wgf_setup(const wgf_desc* desc, GError** error) {
    const wg_desc_field fields[] = {
        {"wgf_desc.routers_max", desc->routers_max, _WGF_ROUTERS_LIMIT},
        {"wgf_desc.targets_max", desc->targets_max, 0},
        {"wgf_desc.flows_max", desc->flows_max, 0},
        {"wgf_desc.accounts_max", desc->accounts_max, 0},
        {"wgf_desc.slot_lease", desc->slot_lease, 0},
    };
    if (!wg_desc_check(fields, G_N_ELEMENTS(fields), error)) {
        return NULL;
    }
    wgf_share* s = g_new0(wgf_share, 1);
    wgf_desc* d = &s->desc;
    *d = *desc;
    d->routers_max = d->routers_max ? d->routers_max : WGF_ROUTERS_DEFAULT;
    d->targets_max = d->targets_max ? d->targets_max : WGF_TARGETS_DEFAULT;
    d->flows_max = d->flows_max ? d->flows_max : WGF_FLOWS_DEFAULT;
    d->accounts_max = d->accounts_max ? d->accounts_max : WGF_ACCOUNTS_DEFAULT;
    d->slot_lease = d->slot_lease ? d->slot_lease : WGF_SLOT_LEASE_DEFAULT;
    s->may_grant_at = d->now + d->slot_lease;
    wg_pool_setup(&s->routers_pool, &(wg_pool_desc){.capacity = d->routers_max});
    s->routers = g_new0(_wgf_router_t, d->routers_max);
    s->targets = g_new0(_wgf_target_t, d->targets_max);
    s->flows = g_new0(_wgf_flow_t, d->flows_max);
    s->shares = g_new0(double, d->flows_max);
    s->accounts = g_new0(_wgf_account_t, d->accounts_max);
    s->slots = g_new0(_wgf_slot_t, (size_t)d->routers_max * (size_t)d->targets_max);
    s->free_account = -1;
    s->target_by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
    s->weights = g_hash_table_new(g_direct_hash, g_direct_equal);
    s->flow_by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    s->account_by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    return s;
}

void wgf_shutdown(wgf_share* s) {
    wg_pool_shutdown(&s->routers_pool);
    for (int i = 0; i < s->services_num; i++) {
        g_free(s->services[i].active);
    }
    g_hash_table_unref(s->target_by_id);
    g_hash_table_unref(s->weights);
    g_hash_table_unref(s->flow_by_key);
    g_hash_table_unref(s->account_by_key);
    g_free(s->routers);
    g_free(s->targets);
    g_free(s->flows);
    g_free(s->shares);
    g_free(s->accounts);
    g_free(s->slots);
    g_free(s);
}

void wgf_config_begin(wgf_share* s) {
    for (int i = 0; i < s->services_num; i++) {
        s->services[i].seen = false;
    }
    for (int t = 0; t < s->targets_num; t++) {
        s->targets[t].seen = false;
    }
}

bool wgf_config_service(wgf_share* s, uint32_t id, int over_percent, int64_t first_cost) {
    int i = _wgf_find_service(s, id);
    if (i < 0) {
        if (s->services_num == WGF_SERVICES_MAX) {
            return false;
        }
        i = s->services_num++;
        s->services[i].active = g_new0(int, s->desc.flows_max);
    }
    _wgf_service_t* service = &s->services[i];
    service->id = id;
    service->live = service->seen = true;
    service->over_percent = over_percent;
    service->first_cost = first_cost;
    return true;
}

bool wgf_config_target(wgf_share* s, uint32_t id, uint32_t service_id, int slots, bool draining,
                       const char* data_centre) {
    int service = _wgf_find_service(s, service_id);
    int t = _wgf_find_target(s, id);
    if (service < 0) {
        return false;
    }
    if (t < 0) {
        /* Reuse the entry of a target that was removed and has no leases. */
        for (int i = 0; i < s->targets_num && t < 0; i++) {
            t = !s->targets[i].live && s->targets[i].counted == 0 ? i : -1;
        }
        if (t < 0 && s->targets_num == s->desc.targets_max) {
            return false;
        }
        t = t < 0 ? s->targets_num++ : t;
        s->targets[t] = (_wgf_target_t){.id = id};
        g_hash_table_insert(s->target_by_id, GUINT_TO_POINTER(id), GINT_TO_POINTER(t + 1));
    }
    _wgf_target_t* target = &s->targets[t];
    target->live = target->seen = true;
    target->service = service;
    target->slots = slots;
    target->draining = draining;
    wg_copy_name(target->data_centre, sizeof target->data_centre, data_centre);
    return true;
}

void wgf_config_end(wgf_share* s) {
    for (int t = 0; t < s->targets_num; t++) {
        _wgf_target_t* target = &s->targets[t];
        if (target->live && !target->seen) {
            target->live = false;
            g_hash_table_remove(s->target_by_id, GUINT_TO_POINTER(target->id));
            for (int r = 0; r < s->desc.routers_max; r++) {
                _wgf_set_slot(s, r, t, (_wgf_slot_t){0});
            }
        }
    }
    for (int i = 0; i < s->services_num; i++) {
        s->services[i].live = s->services[i].seen;
    }
}

void wgf_set_weight(wgf_share* s, uint32_t workspace, int64_t weight) {
    WG_ASSERT(weight > 0);
    g_hash_table_insert(s->weights, GUINT_TO_POINTER(workspace), GINT_TO_POINTER((int)weight));
    for (int i = 0; i < s->services_num; i++) {
        int flow = _wgf_find_flow(s, i, workspace);
        if (flow >= 0) {
            s->flows[flow].weight = weight;
        }
    }
}

/* ---- public functions: routers ------------------------------------------------------------- */

wgf_router wgf_router_up(wgf_share* s, wg_time now, const char* name, uint64_t incarnation,
                         const char* data_centre) {
    for (int r = 0; r < s->desc.routers_max; r++) {
        _wgf_router_t* router = &s->routers[r];
        if (!router->live || strcmp(router->name, name) != 0) {
            continue;
        }
        if (router->incarnation == incarnation) {
            router->last_contact_at = now;
            return (wgf_router){wg_pool_handle_at(&s->routers_pool, r).id};
        }
        wgf_remove_router(s, (wgf_router){wg_pool_handle_at(&s->routers_pool, r).id});
    }
    wg_handle handle = wg_pool_alloc(&s->routers_pool);
    if (handle.id == 0) {
        return (wgf_router){0};
    }
    _wgf_router_t* router = &s->routers[wg_pool_slot(&s->routers_pool, handle)];
    *router = (_wgf_router_t){.live = true, .incarnation = incarnation, .last_contact_at = now};
    router->first_account = -1;
    memset(router->quota, 0xff, sizeof router->quota);
    memset(router->quota_sent, 0xff, sizeof router->quota_sent);
    wg_copy_name(router->name, sizeof router->name, name);
    wg_copy_name(router->data_centre, sizeof router->data_centre, data_centre);
    return (wgf_router){handle.id};
}

void wgf_remove_router(wgf_share* s, wgf_router handle) {
    int r = wg_pool_slot(&s->routers_pool, (wg_handle){handle.id});
    if (r < 0) {
        return;
    }
    _wgf_remove_accounts(s, r);
    _wgf_clear_router_slots(s, r);
    s->routers[r] = (_wgf_router_t){0};
    wg_pool_free(&s->routers_pool, (wg_handle){handle.id});
}

/* Applies the slots that a router reports. The first report after grants includes every target
   granted, so a reported count covers all grants up to `applied`. */
static void _wgf_apply_held(wgf_share* s, int r, const wgf_report_desc* report) {
    for (int i = 0; i < report->held_num; i++) {
        int t = _wgf_find_target(s, report->held[i].target);
        if (t < 0) {
            continue;
        }
        _wgf_slot_t slot = *_wgf_slot(s, r, t);
        slot.held = (uint16_t)report->held[i].slots;
        slot.ejected = report->held[i].ejected;
        if (report->applied >= slot.sent_seq) {
            slot.sent = 0;
        }
        _wgf_set_slot(s, r, t, slot);
    }
}

void wgf_report(wgf_share* s, wg_time now, wgf_router handle, const wgf_report_desc* report) {
    int r = wg_pool_slot(&s->routers_pool, (wg_handle){handle.id});
    if (r < 0) {
        s->stats.stale_reports++;
        return;
    }
    _wgf_router_t* router = &s->routers[r];
    if (!report->full && wgf_needs_full_report(s, handle)) {
        s->stats.stale_reports++;
        return;
    }
    router->last_contact_at = now;
    router->leaving = report->leaving;
    router->lapsed = false;
    if (report->full) {
        _wgf_clear_router_slots(s, r);
        _wgf_clear_router_demand(s, r);
        router->reported = true;
        memset(router->quota_sent, 0xff, sizeof router->quota_sent);
    }
    _wgf_apply_held(s, r, report);
    for (int i = 0; i < report->accounts_num; i++) {
        _wgf_merge_account(s, r, &report->accounts[i], report->full);
    }
}

bool wgf_needs_full_report(const wgf_share* s, wgf_router handle) {
    int r = wg_pool_slot(&s->routers_pool, (wg_handle){handle.id});
    return r >= 0 && (s->routers[r].lapsed || !s->routers[r].reported);
}

bool wgf_take_orders(wgf_share* s, wgf_router handle, uint64_t seq, wgf_orders* orders) {
    orders->grants_num = orders->quotas_num = 0;
    int r = wg_pool_slot(&s->routers_pool, (wg_handle){handle.id});
    if (r < 0 || !s->routers[r].has_orders) {
        return false;
    }
    _wgf_router_t* router = &s->routers[r];
    router->has_orders = false;
    for (int t = 0; t < s->targets_num; t++) {
        _wgf_slot_t slot = *_wgf_slot(s, r, t);
        if (slot.unsent == 0) {
            continue;
        }
        if (orders->grants_num == WGF_GRANTS_MAX) {
            router->has_orders = true;
            break;
        }
        orders->grants[orders->grants_num++] = (wgf_grant){s->targets[t].id, slot.unsent};
        slot.sent += slot.unsent;
        slot.sent_seq = (uint32_t)seq;
        slot.unsent = 0;
        _wgf_set_slot(s, r, t, slot);
    }
    for (int i = 0; i < s->services_num; i++) {
        if (router->quota[i] != router->quota_sent[i]) {
            orders->quotas[orders->quotas_num++] = (wgf_quota){s->services[i].id, router->quota[i]};
            router->quota_sent[i] = router->quota[i];
        }
    }
    return true;
}

bool wgf_has_orders(const wgf_share* s, wgf_router handle) {
    int r = wg_pool_slot(&s->routers_pool, (wg_handle){handle.id});
    return r >= 0 && s->routers[r].has_orders;
}

int wgf_take_virtual_times(wgf_share* s, wgf_router handle, wgf_virtual_time* times, int max) {
    int r = wg_pool_slot(&s->routers_pool, (wg_handle){handle.id});
    int num = 0;
    int account = r < 0 ? -1 : s->routers[r].first_account;
    for (; account >= 0 && num < max; account = s->accounts[account].next_of_router) {
        const _wgf_account_t* a = &s->accounts[account];
        if (a->queued + a->running == 0) {
            continue;
        }
        const _wgf_flow_t* f = &s->flows[a->flow];
        int64_t others = (f->pending - a->pending) * WGF_SCALE / f->weight;
        times[num++] = (wgf_virtual_time){.service = s->services[f->service].id,
                                          .workspace = f->workspace,
                                          .virtual_time = (uint64_t)(f->virtual_time + others),
                                          .acked = a->served};
    }
    return num;
}

/* ---- public functions: queries ------------------------------------------------------------- */

uint64_t wgf_query_fleet_time(const wgf_share* s, uint32_t id) {
    int service = _wgf_find_service(s, id);
    return service < 0 ? 0 : (uint64_t)s->services[service].fleet_time;
}

uint64_t wgf_query_virtual_time(const wgf_share* s, uint32_t id, uint32_t workspace) {
    int service = _wgf_find_service(s, id);
    int flow = service < 0 ? -1 : _wgf_find_flow(s, service, workspace);
    return flow < 0 ? 0 : (uint64_t)s->flows[flow].virtual_time;
}

uint64_t wgf_query_served(const wgf_share* s, uint32_t id, uint32_t workspace) {
    int service = _wgf_find_service(s, id);
    int flow = service < 0 ? -1 : _wgf_find_flow(s, service, workspace);
    return flow < 0 ? 0 : s->flows[flow].served;
}

int wgf_query_leased(const wgf_share* s, uint32_t id) {
    int t = _wgf_find_target(s, id);
    return t < 0 ? 0 : s->targets[t].counted;
}

wgf_stats wgf_query_stats(const wgf_share* s) {
    wgf_stats stats = s->stats;
    stats.routers = s->routers_pool.used;
    stats.flows = s->flows_num;
    for (int t = 0; t < s->targets_num; t++) {
        stats.targets += s->targets[t].live ? 1 : 0;
        stats.slots += s->targets[t].live && !s->targets[t].draining ? s->targets[t].slots : 0;
    }
    return stats;
}
