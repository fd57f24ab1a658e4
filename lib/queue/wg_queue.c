/* wg_queue.c -- see wg_queue.h */
#include "wg_queue.h"

#include "wg_queue_heap.h"

/* ---- types -------------------------------------------------------------------------------- */

enum {
    _WGQ_REQUESTS_LIMIT = 65000 /* a slot has to fit in 16 bits of a handle */
};

typedef enum {
    _WGQ_FREE = 0,
    _WGQ_WAITING,
    _WGQ_RUNNING
} _wgq_state;

/* Waiting requests of one workspace and class, linked by slot; -1: end of list. */
typedef struct {
    int head;
    int tail;
    int num;
} _wgq_list_t;

typedef struct {
    wgq_request desc;
    _wgq_state state;
    wg_handle handle;
    int flow;
    int next;
    int prev;
    int64_t estimate;
    int64_t charged; /* cost settled so far */
    wg_time picked_at;
} _wgq_request_t;

/* State of one workspace. */
typedef struct {
    uint32_t workspace;
    wgq_limits limits;
    _wgq_list_t normal;
    _wgq_list_t urgent;
    int running;
    uint64_t served;
    uint64_t acked;  /* `served` that virtual_base contains */
    int64_t pending; /* estimated cost of running requests that is not settled yet */
    int64_t virtual_base;
    int64_t floor;       /* fleet time when the workspace last became backlogged */
    int64_t urgent_time; /* virtual time of the urgent requests alone */
    int64_t urgent_cost; /* estimated cost of urgent requests picked recently, decays by halving */
    int64_t all_cost;    /* estimated cost of all requests picked recently, decays by halving */
    bool changed;        /* since the last wgq_take_accounts(); the flow is listed in `dirty` */
    int64_t average_cost;
    int64_t average_caller_estimate; /* average caller estimate of finished requests */
    wg_time average_run;
    wg_time average_interval; /* average time between picks while backlogged */
    wg_time last_pick;
    wg_time backlogged_since;
    double rate_tokens;
    wg_time rate_at;
    double cost_tokens;
    wg_time cost_at;
} _wgq_flow_t;

struct wgq_queue {
    wgq_desc desc;
    wg_pool requests_pool;
    _wgq_request_t* requests;
    _wgq_flow_t* flows;
    int flows_num;
    GHashTable* by_workspace; /* workspace -> flow + 1 */
    _wgq_heap_t ready;        /* flows that may be picked, by virtual time */
    _wgq_heap_t ready_urgent; /* flows with urgent requests, by urgent time */
    _wgq_heap_t expiry;       /* waiting requests, by the time they expire */
    int* dirty;
    int dirty_num;
    int64_t fleet_time;
    bool fleet_known;
    int64_t local_time;   /* highest virtual time picked; used while the fleet time is unknown */
    int64_t average_cost; /* over all workspaces */
    wg_time average_run;
    wgq_stats stats;
};

/* ---- helpers: lists ------------------------------------------------------------------------ */

static void _wgq_list_push(wgq_queue* q, _wgq_list_t* list, int slot, bool at_head) {
    _wgq_request_t* r = &q->requests[slot];
    r->next = at_head ? list->head : -1;
    r->prev = at_head ? -1 : list->tail;
    if (r->prev >= 0) {
        q->requests[r->prev].next = slot;
    } else {
        list->head = slot;
    }
    if (r->next >= 0) {
        q->requests[r->next].prev = slot;
    } else {
        list->tail = slot;
    }
    list->num++;
}

static void _wgq_list_remove(wgq_queue* q, _wgq_list_t* list, int slot) {
    _wgq_request_t* r = &q->requests[slot];
    if (r->prev >= 0) {
        q->requests[r->prev].next = r->next;
    } else {
        list->head = r->next;
    }
    if (r->next >= 0) {
        q->requests[r->next].prev = r->prev;
    } else {
        list->tail = r->prev;
    }
    list->num--;
}

/* ---- helpers: flows ------------------------------------------------------------------------ */

static int _wgq_queued(const _wgq_flow_t* f) {
    return f->normal.num + f->urgent.num;
}

static int64_t _wgq_virtual_time(const _wgq_flow_t* f) {
    int64_t own = (int64_t)(f->served - f->acked) + f->pending;
    return f->virtual_base + own * WGQ_SCALE / f->limits.weight;
}

static void _wgq_mark_dirty(wgq_queue* q, int flow) {
    if (!q->flows[flow].changed) {
        q->flows[flow].changed = true;
        q->dirty[q->dirty_num++] = flow;
    }
}

/* Updates the position of the flow in the heaps; called after every change of the flow. */
static void _wgq_update_heaps(wgq_queue* q, int flow) {
    _wgq_flow_t* f = &q->flows[flow];
    _wgq_mark_dirty(q, flow);
    bool blocked = f->limits.in_flight > 0 && f->running >= f->limits.in_flight;
    if (_wgq_queued(f) > 0 && !blocked) {
        _wgq_heap_put(&q->ready, flow, _wgq_virtual_time(f));
    } else {
        _wgq_heap_remove(&q->ready, flow);
    }
    if (f->urgent.num > 0 && !blocked) {
        _wgq_heap_put(&q->ready_urgent, flow, f->urgent_time);
    } else {
        _wgq_heap_remove(&q->ready_urgent, flow);
    }
}

static int _wgq_find_flow(const wgq_queue* q, uint32_t workspace) {
    return GPOINTER_TO_INT(g_hash_table_lookup(q->by_workspace, GUINT_TO_POINTER(workspace))) - 1;
}

static int _wgq_get_flow(wgq_queue* q, wg_time now, uint32_t workspace, const wgq_limits* limits) {
    int flow = _wgq_find_flow(q, workspace);
    if (flow < 0) {
        if (q->flows_num == q->desc.flows_max) {
            return -1;
        }
        flow = q->flows_num++;
        _wgq_flow_t* f = &q->flows[flow];
        *f = (_wgq_flow_t){.workspace = workspace, .limits = *limits};
        f->normal = f->urgent = (_wgq_list_t){.head = -1, .tail = -1};
        f->rate_tokens = f->cost_tokens = 1e18; /* full; capped at the next refill */
        f->rate_at = f->cost_at = now;
        g_hash_table_insert(q->by_workspace, GUINT_TO_POINTER(workspace),
                            GINT_TO_POINTER(flow + 1));
    }
    wgq_set_weight(q, workspace, limits->weight);
    q->flows[flow].limits = *limits;
    return flow;
}

/* Virtual time at which an idle flow starts: fleet time if known, else the smallest virtual time of
   a backlogged flow. */
static int64_t _wgq_floor(const wgq_queue* q) {
    if (q->fleet_known) {
        return q->fleet_time;
    }
    int top = _wgq_heap_top(&q->ready);
    return top >= 0 ? q->ready.keys[top] : q->local_time;
}

static void _wgq_activate_flow(wgq_queue* q, wg_time now, _wgq_flow_t* f) {
    f->backlogged_since = now;
    f->floor = MAX(f->floor, _wgq_floor(q));
    int64_t lag = f->floor - _wgq_virtual_time(f);
    if (lag > 0) {
        f->virtual_base += lag;
    }
    int top = _wgq_heap_top(&q->ready_urgent);
    if (top >= 0) {
        f->urgent_time = MAX(f->urgent_time, q->ready_urgent.keys[top]);
    }
}

/* ---- helpers: limits ----------------------------------------------------------------------- */

static void _wgq_refill(double* tokens, wg_time* at, wg_time now, double per_second,
                        double max_tokens) {
    *tokens = MIN(max_tokens, *tokens + per_second * (double)(now - *at) / WG_USEC_PER_SEC);
    *at = now;
}

static wg_time _wgq_seconds(double seconds) {
    return (wg_time)(seconds * WG_USEC_PER_SEC) + 1;
}

static int64_t _wgq_estimate(const wgq_queue* q, const _wgq_flow_t* f, const wgq_request* request) {
    if (request->estimate > 0 && f->average_caller_estimate > 0) {
        /* Corrects the estimate by the past error of the workspace's estimates. */
        return MAX(request->estimate * f->average_cost / f->average_caller_estimate, 1);
    }
    if (f->average_cost > 0) {
        return f->average_cost;
    }
    /* No history: the average of other workspaces. The caller's estimate is ignored until it can be
       corrected, because a wrong one could give the workspace a round of slots more or less. */
    return q->average_cost > 0 ? q->average_cost : q->desc.first_cost;
}

static wg_time _wgq_flow_wait(const _wgq_flow_t* f, wg_time now) {
    int queued = _wgq_queued(f);
    if (queued == 0 || f->average_interval == 0) {
        return 0;
    }
    wg_time since = now - MAX(f->last_pick, f->backlogged_since);
    return queued * MAX(f->average_interval, since);
}

static bool _wgq_refuse(wgq_queue* q, wgq_refusal* refusal, wgq_refusal_code code, wg_time after) {
    q->stats.refused[code]++;
    *refusal = (wgq_refusal){.code = code, .retry_after = MAX(after, 1)};
    return false;
}

static bool _wgq_admit_rates(wgq_queue* q, wg_time now, _wgq_flow_t* f, const wgq_request* request,
                             wgq_refusal* refusal) {
    const wgq_limits* l = &f->limits;
    if (l->tokens_per_minute > 0) {
        double per_second = (double)l->tokens_per_minute / 60.0;
        _wgq_refill(&f->cost_tokens, &f->cost_at, now, per_second, (double)l->tokens_per_minute);
        if (f->cost_tokens <= 0) {
            wg_time after = _wgq_seconds((1 - f->cost_tokens) / per_second);
            return _wgq_refuse(q, refusal, WGQ_REFUSAL_TOKENS, after);
        }
    }
    if (l->rate > 0 && !request->retry) {
        double max_tokens = (double)MAX(l->burst, l->rate);
        _wgq_refill(&f->rate_tokens, &f->rate_at, now, (double)l->rate, max_tokens);
        if (f->rate_tokens < 1) {
            wg_time after = _wgq_seconds((1 - f->rate_tokens) / (double)l->rate);
            return _wgq_refuse(q, refusal, WGQ_REFUSAL_RATE, after);
        }
        f->rate_tokens -= 1;
    }
    return true;
}

static bool _wgq_admit(wgq_queue* q, wg_time now, _wgq_flow_t* f, const wgq_request* request,
                       wgq_refusal* refusal) {
    wg_time wait = _wgq_flow_wait(f, now);
    if (!request->retry && f->limits.queue > 0 && _wgq_queued(f) >= f->limits.queue) {
        bool in_flight_full = f->limits.in_flight > 0 && f->running >= f->limits.in_flight;
        wgq_refusal_code code = in_flight_full ? WGQ_REFUSAL_IN_FLIGHT : WGQ_REFUSAL_QUEUE;
        return _wgq_refuse(q, refusal, code, MAX(wait, f->average_run));
    }
    /* Urgent requests are not queued behind the workspace's other requests. */
    bool too_late = !request->urgent && now + wait > request->wait_until;
    if (too_late || now + f->average_run > request->deadline) {
        return _wgq_refuse(q, refusal, WGQ_REFUSAL_LATE, MAX(wait, f->average_run));
    }
    return _wgq_admit_rates(q, now, f, request, refusal);
}

/* ---- helpers: requests --------------------------------------------------------------------- */

static _wgq_request_t* _wgq_find(const wgq_queue* q, wgq_handle handle, _wgq_state state) {
    int slot = wg_pool_slot(&q->requests_pool, (wg_handle){handle.id});
    if (slot < 0 || q->requests[slot].state != state) {
        return NULL;
    }
    return &q->requests[slot];
}

static int _wgq_slot(const wgq_queue* q, const _wgq_request_t* r) {
    return (int)(r - q->requests);
}

static _wgq_list_t* _wgq_list_of(_wgq_flow_t* f, const _wgq_request_t* r) {
    return r->desc.urgent ? &f->urgent : &f->normal;
}

static void _wgq_remove_waiting(wgq_queue* q, _wgq_request_t* r) {
    _wgq_flow_t* f = &q->flows[r->flow];
    _wgq_list_remove(q, _wgq_list_of(f, r), _wgq_slot(q, r));
    _wgq_heap_remove(&q->expiry, _wgq_slot(q, r));
    q->stats.queued--;
    q->stats.urgent_queued -= r->desc.urgent ? 1 : 0;
}

/* Whether the next request of the flow is an urgent one: urgent requests go first up to
   urgent_percent of the flow's cost. */
static bool _wgq_urgent_first(const _wgq_flow_t* f) {
    if (f->urgent.num == 0 || f->normal.num == 0) {
        return f->urgent.num > 0;
    }
    return f->urgent_cost * 100 <= f->limits.urgent_percent * f->all_cost;
}

static void _wgq_record_pick(_wgq_flow_t* f, wg_time now, const _wgq_request_t* r) {
    wg_time since = now - MAX(f->last_pick, f->backlogged_since);
    f->average_interval = f->average_interval ? (f->average_interval * 7 + since) / 8 : since;
    f->last_pick = now;
    f->all_cost += r->estimate;
    if (r->desc.urgent) {
        f->urgent_cost += r->estimate;
        f->urgent_time += r->estimate * WGQ_SCALE / f->limits.weight;
    }
    if (f->all_cost > 256 * r->estimate) {
        f->all_cost /= 2;
        f->urgent_cost /= 2;
    }
}

static void _wgq_start(wgq_queue* q, wg_time now, _wgq_request_t* r) {
    _wgq_flow_t* f = &q->flows[r->flow];
    _wgq_remove_waiting(q, r);
    r->state = _WGQ_RUNNING;
    r->picked_at = now;
    f->running++;
    f->pending += r->estimate;
    q->stats.running++;
    q->stats.picked++;
    _wgq_record_pick(f, now, r);
    _wgq_update_heaps(q, r->flow);
}

/* Settles the cost of a running request up to `cost`; settled cost never falls. */
static void _wgq_settle(wgq_queue* q, _wgq_request_t* r, int64_t cost) {
    _wgq_flow_t* f = &q->flows[r->flow];
    int64_t more = cost - r->charged;
    if (more <= 0) {
        return;
    }
    int64_t from_estimate = MIN(more, MAX(r->estimate - r->charged, 0));
    f->pending -= from_estimate;
    f->served += (uint64_t)more;
    f->cost_tokens -= (double)more;
    r->charged = cost;
    q->stats.served += (uint64_t)more;
    WG_ASSERT(f->pending >= 0);
}

/* ---- public functions --------------------------------------------------------------------- */

wgq_queue* wgq_setup(const wgq_desc* desc, GError** error) {
    const wg_desc_field fields[] = {
        {"wgq_desc.flows_max", desc->flows_max, 0},
        {"wgq_desc.requests_max", desc->requests_max, _WGQ_REQUESTS_LIMIT},
        {"wgq_desc.first_cost", desc->first_cost, 0},
    };
    if (!wg_desc_check(fields, G_N_ELEMENTS(fields), error)) {
        return NULL;
    }
    wgq_queue* q = g_new0(wgq_queue, 1);
    q->desc.flows_max = desc->flows_max ? desc->flows_max : WGQ_FLOWS_DEFAULT;
    q->desc.requests_max = desc->requests_max ? desc->requests_max : WGQ_REQUESTS_DEFAULT;
    q->desc.first_cost = desc->first_cost ? desc->first_cost : 200;
    wg_pool_setup(&q->requests_pool, &(wg_pool_desc){.capacity = q->desc.requests_max});
    q->requests = g_new0(_wgq_request_t, q->desc.requests_max);
    q->flows = g_new0(_wgq_flow_t, q->desc.flows_max);
    q->dirty = g_new0(int, q->desc.flows_max);
    q->by_workspace = g_hash_table_new(g_direct_hash, g_direct_equal);
    _wgq_heap_setup(&q->ready, q->desc.flows_max);
    _wgq_heap_setup(&q->ready_urgent, q->desc.flows_max);
    _wgq_heap_setup(&q->expiry, q->desc.requests_max);
    return q;
}

void wgq_shutdown(wgq_queue* q) {
    wg_pool_shutdown(&q->requests_pool);
    _wgq_heap_shutdown(&q->ready);
    _wgq_heap_shutdown(&q->ready_urgent);
    _wgq_heap_shutdown(&q->expiry);
    g_hash_table_unref(q->by_workspace);
    g_free(q->requests);
    g_free(q->flows);
    g_free(q->dirty);
    g_free(q);
}

wgq_handle wgq_push(wgq_queue* q, wg_time now, const wgq_request* request, wgq_refusal* refusal) {
    WG_ASSERT(request->limits.weight > 0);
    int flow = _wgq_get_flow(q, now, request->workspace, &request->limits);
    bool room = flow >= 0 && q->requests_pool.used < q->requests_pool.capacity;
    if (!room) {
        _wgq_refuse(q, refusal, WGQ_REFUSAL_FULL, WG_USEC_PER_SEC);
        return (wgq_handle){0};
    }
    _wgq_flow_t* f = &q->flows[flow];
    if (!_wgq_admit(q, now, f, request, refusal)) {
        return (wgq_handle){0};
    }
    wg_handle handle = wg_pool_alloc(&q->requests_pool);
    int slot = wg_pool_slot(&q->requests_pool, handle);
    _wgq_request_t* r = &q->requests[slot];
    *r = (_wgq_request_t){.desc = *request, .state = _WGQ_WAITING, .handle = handle, .flow = flow};
    r->estimate = _wgq_estimate(q, f, request);
    if (_wgq_queued(f) == 0) {
        _wgq_activate_flow(q, now, f);
    }
    _wgq_list_push(q, _wgq_list_of(f, r), slot, request->retry);
    wg_time leave_at = MIN(request->wait_until, request->deadline - f->average_run);
    _wgq_heap_put(&q->expiry, slot, leave_at);
    q->stats.queued++;
    q->stats.urgent_queued += request->urgent ? 1 : 0;
    q->stats.pushed++;
    _wgq_update_heaps(q, flow);
    return (wgq_handle){handle.id};
}

bool wgq_pick(wgq_queue* q, wg_time now, bool urgent_only, wgq_handle* picked) {
    int flow = _wgq_heap_top(urgent_only ? &q->ready_urgent : &q->ready);
    if (flow < 0) {
        return false;
    }
    _wgq_flow_t* f = &q->flows[flow];
    bool urgent = urgent_only || _wgq_urgent_first(f);
    _wgq_request_t* r = &q->requests[urgent ? f->urgent.head : f->normal.head];
    if (!urgent_only) {
        q->local_time = MAX(q->local_time, _wgq_virtual_time(f));
    }
    _wgq_start(q, now, r);
    *picked = (wgq_handle){r->handle.id};
    return true;
}

void wgq_charge(wgq_queue* q, wgq_handle handle, int64_t cost_so_far) {
    _wgq_request_t* r = _wgq_find(q, handle, _WGQ_RUNNING);
    if (r) {
        _wgq_settle(q, r, cost_so_far);
        _wgq_update_heaps(q, r->flow);
    }
}

void wgq_raise_estimates(wgq_queue* q, wg_time now) {
    if (q->average_run <= 0 || q->stats.running == 0) {
        return;
    }
    for (int slot = 0; slot < q->desc.requests_max; slot++) {
        _wgq_request_t* r = &q->requests[slot];
        if (r->state != _WGQ_RUNNING) {
            continue;
        }
        int64_t expected = (now - r->picked_at) * q->average_cost / q->average_run;
        int64_t covered = MAX(r->estimate, r->charged);
        if (expected > covered) {
            q->flows[r->flow].pending += expected - covered;
            r->estimate = expected;
            _wgq_update_heaps(q, r->flow);
        }
    }
}

void wgq_finish(wgq_queue* q, wg_time now, wgq_handle handle, int64_t cost) {
    _wgq_request_t* r = _wgq_find(q, handle, _WGQ_RUNNING);
    if (!r) {
        return;
    }
    _wgq_flow_t* f = &q->flows[r->flow];
    _wgq_settle(q, r, cost);
    f->pending -= MAX(r->estimate - r->charged, 0);
    f->running--;
    if (cost > 0) {
        wg_time took = now - r->picked_at;
        q->average_run = q->average_run ? (q->average_run * 31 + took + 16) / 32 : took;
        q->average_cost = q->average_cost ? (q->average_cost * 31 + cost + 16) / 32 : cost;
        f->average_cost = f->average_cost ? (f->average_cost * 7 + cost + 4) / 8 : cost;
        int64_t caller_estimate = r->desc.estimate > 0 ? r->desc.estimate : cost;
        f->average_caller_estimate =
            f->average_caller_estimate ? (f->average_caller_estimate * 7 + caller_estimate + 4) / 8
                                       : caller_estimate;
        wg_time run = now - r->picked_at;
        f->average_run = f->average_run ? (f->average_run * 7 + run) / 8 : run;
    }
    WG_ASSERT(f->pending >= 0 && f->running >= 0);
    q->stats.running--;
    q->stats.finished++;
    r->state = _WGQ_FREE;
    int flow = r->flow;
    wg_pool_free(&q->requests_pool, r->handle);
    _wgq_update_heaps(q, flow);
}

bool wgq_expire(wgq_queue* q, wg_time now, wgq_handle* expired) {
    int slot = _wgq_heap_top(&q->expiry);
    if (slot < 0 || q->expiry.keys[slot] > now) {
        return false;
    }
    *expired = (wgq_handle){q->requests[slot].handle.id};
    q->stats.expired++;
    return true;
}

void wgq_drop(wgq_queue* q, wgq_handle handle) {
    _wgq_request_t* r = _wgq_find(q, handle, _WGQ_WAITING);
    if (!r) {
        return;
    }
    int flow = r->flow;
    _wgq_remove_waiting(q, r);
    r->state = _WGQ_FREE;
    wg_pool_free(&q->requests_pool, r->handle);
    _wgq_update_heaps(q, flow);
}

wg_time wgq_next_expiry(const wgq_queue* q) {
    int slot = _wgq_heap_top(&q->expiry);
    return slot < 0 ? WG_TIME_NEVER : q->expiry.keys[slot];
}

void* wgq_user_data(const wgq_queue* q, wgq_handle handle) {
    int slot = wg_pool_slot(&q->requests_pool, (wg_handle){handle.id});
    return slot < 0 ? NULL : q->requests[slot].desc.user_data;
}

void wgq_set_user_data(wgq_queue* q, wgq_handle handle, void* user_data) {
    int slot = wg_pool_slot(&q->requests_pool, (wg_handle){handle.id});
    if (slot >= 0) {
        q->requests[slot].desc.user_data = user_data;
    }
}

wg_time wgq_expected_wait(const wgq_queue* q, wg_time now, uint32_t workspace) {
    int flow = _wgq_find_flow(q, workspace);
    return flow < 0 ? 0 : _wgq_flow_wait(&q->flows[flow], now);
}

int wgq_query_waiting(const wgq_queue* q, uint32_t workspace) {
    int flow = _wgq_find_flow(q, workspace);
    return flow < 0 ? 0 : _wgq_queued(&q->flows[flow]);
}

void wgq_sync(wgq_queue* q, uint32_t workspace, uint64_t virtual_time, uint64_t acked) {
    int flow = _wgq_find_flow(q, workspace);
    if (flow < 0) {
        return;
    }
    _wgq_flow_t* f = &q->flows[flow];
    WG_ASSERT(acked <= f->served);
    f->virtual_base = MAX((int64_t)virtual_time, f->floor);
    f->acked = acked;
    if (_wgq_heap_has(&q->ready, flow)) {
        _wgq_heap_put(&q->ready, flow, _wgq_virtual_time(f));
    }
}

void wgq_set_fleet_time(wgq_queue* q, uint64_t virtual_time) {
    q->fleet_known = true;
    q->fleet_time = (int64_t)virtual_time;
}

void wgq_set_weight(wgq_queue* q, uint32_t workspace, int64_t weight) {
    int flow = _wgq_find_flow(q, workspace);
    if (flow < 0 || q->flows[flow].limits.weight == weight) {
        return;
    }
    _wgq_flow_t* f = &q->flows[flow];
    /* Cost settled under the old weight is folded into the base and not rescaled. */
    int64_t settled = (int64_t)(f->served - f->acked);
    f->virtual_base += settled * WGQ_SCALE / f->limits.weight;
    f->acked = f->served;
    f->limits.weight = weight;
    if (_wgq_heap_has(&q->ready, flow)) {
        _wgq_heap_put(&q->ready, flow, _wgq_virtual_time(f));
    }
}

static wgq_account _wgq_account_of(const _wgq_flow_t* f) {
    return (wgq_account){.workspace = f->workspace,
                         .served = f->served,
                         .pending = (uint32_t)MIN(f->pending, (int64_t)UINT32_MAX),
                         .queued = (uint32_t)_wgq_queued(f),
                         .running = (uint32_t)f->running};
}

int wgq_take_accounts(wgq_queue* q, bool all, wgq_account* accounts, int max) {
    if (all) {
        for (int flow = 0; flow < q->flows_num; flow++) {
            _wgq_mark_dirty(q, flow);
        }
    }
    int num = 0;
    while (num < max && q->dirty_num > 0) {
        _wgq_flow_t* f = &q->flows[q->dirty[--q->dirty_num]];
        f->changed = false;
        accounts[num++] = _wgq_account_of(f);
    }
    return num;
}

uint64_t wgq_query_virtual_time(const wgq_queue* q, uint32_t workspace) {
    int flow = _wgq_find_flow(q, workspace);
    return flow < 0 ? 0 : (uint64_t)MAX(_wgq_virtual_time(&q->flows[flow]), 0);
}

wgq_stats wgq_query_stats(const wgq_queue* q) {
    wgq_stats stats = q->stats;
    stats.flows = q->flows_num;
    return stats;
}
