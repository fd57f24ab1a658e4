/* sim_fleet_faults.c -- injects a trace's faults into routers, targets and the leader */
#include <string.h>

#include "sim_fleet_internal.h"

static void end_request(run_t* s, request_t* q) {
    g_ptr_array_remove_fast(s->running, q);
    if (q->in_slot) {
        _simf_target_of(s, q)->in_slots--;
        q->in_slot = false; /* freed by its EVENT_FINISH */
    }
}

/* Cancels a running request without an answer. */
static void cancel_running(run_t* s, const request_t* q) {
    router_t* r = &s->routers[_simf_queue_router(s, q->router)];
    wgq_finish(r->queue, s->now, q->handle, (int64_t)_simf_tokens_so_far(s, q));
    wgp_done(r->place, s->now, &q->choice, WGP_RESULT_CANCELLED);
}

/* The first request that runs or waits at the target; NULL: none. */
static request_t* request_at(run_t* s, const target_t* target) {
    for (guint i = 0; i < s->running->len; i++) {
        request_t* q = g_ptr_array_index(s->running, i);
        if (_simf_target_of(s, q) == target) {
            return q;
        }
    }
    return NULL;
}

static void restart_router(run_t* s, int router) {
    for (guint i = 0; i < s->running->len;) {
        request_t* q = g_ptr_array_index(s->running, i);
        if (q->router != router) {
            i++;
            continue;
        }
        target_t* target = _simf_target_of(s, q);
        bool waited = g_queue_remove(&target->waiting, q);
        end_request(s, q);
        if (_simf_is_central(s)) {
            cancel_running(s, q); /* the central queue survives the restart */
        }
        if (waited) {
            g_free(q);
        }
        _simf_target_start_next(s, target);
    }
    if (_simf_is_central(s)) {
        _simf_dispatch(s, 0);
        return;
    }
    wgq_account accounts[SIMF_WORKSPACES_MAX];
    int num = wgq_take_accounts(s->routers[router].queue, true, accounts, SIMF_WORKSPACES_MAX);
    for (int i = 0; i < num; i++) {
        s->queued[accounts[i].workspace - 1] -= (int)accounts[i].queued;
    }
    _simf_router_start(s, router);
    wgf_pacer_request(&s->routers[router].pacer);
    _simf_schedule_report(s, router);
}

static void lose_targets(run_t* s, const simf_fault* fault, bool begin) {
    for (int g = fault->a; g <= fault->b && g < s->trace->targets; g++) {
        s->targets[g].removed = begin;
        request_t* q;
        while (begin && (q = request_at(s, &s->targets[g]))) {
            bool waited = g_queue_remove(&s->targets[g].waiting, q);
            end_request(s, q);
            cancel_running(s, q);
            if (waited) {
                g_free(q);
            }
        }
    }
    for (int i = 0; i < s->trace->routers; i++) {
        wgp_config_begin(s->routers[i].place);
        for (int g = 0; g < s->trace->targets; g++) {
            wgp_config_target(s->routers[i].place, TARGET_ID_FIRST + (uint32_t)g, SERVICE_ID, "",
                              "", "", s->trace->slots, s->targets[g].removed, 1);
        }
        wgp_config_end(s->routers[i].place);
        for (int g = fault->a; !begin && g <= fault->b && g < s->trace->targets; g++) {
            /* Slots of a removed target were lost with it. */
            wgp_target_info info;
            wgp_query_target(s->routers[i].place, g, &info);
            wgp_add_slots(s->routers[i].place, info.id,
                          MAX(_simf_fixed_slots(s, i, g) - info.leased, 0));
        }
        _simf_dispatch(s, i);
    }
    if (s->share) {
        _simf_share_config(s);
        _simf_schedule_plan(s);
    }
}

/* Requests at the targets fail too and return to their queues. */
static void kill_targets(run_t* s, const simf_fault* f, bool begin) {
    for (int g = f->a; g <= f->b && g < s->trace->targets; g++) {
        s->targets[g].unreachable = begin;
        request_t* q;
        while (begin && (q = request_at(s, &s->targets[g]))) {
            bool waited = g_queue_remove(&s->targets[g].waiting, q);
            request_t* retried = waited ? q : g_memdup2(q, sizeof *q);
            end_request(s, q); /* freed by its EVENT_FINISH if it ran */
            if (!waited) {
                wgq_set_user_data(s->routers[_simf_queue_router(s, q->router)].queue, q->handle,
                                  retried);
                retried->in_slot = retried->running = false;
                retried->started = 0;
            }
            _simf_schedule(s, s->now + s->trace->delay, EVENT_REFUSED, 0, retried);
        }
    }
}

void _simf_inject_fault(run_t* s, const simf_fault* f, bool begin) {
    switch (f->type) {
    case SIMF_FAULT_CUT_ROUTER:
        s->routers[f->a].cut = begin;
        s->routers[f->a].report_full = true;
        break;
    case SIMF_FAULT_RESTART_ROUTER:
        if (begin) {
            restart_router(s, f->a);
        }
        break;
    case SIMF_FAULT_LOSE_LEADER:
        if (begin && s->share) {
            wgf_shutdown(s->share);
            s->share = NULL;
        } else if (!begin && s->policy == SIMF_POLICY_LEASED) {
            _simf_leader_start(s);
        }
        break;
    case SIMF_FAULT_LOSE_TARGETS:
        lose_targets(s, f, begin);
        break;
    case SIMF_FAULT_KILL_TARGETS:
        kill_targets(s, f, begin);
        break;
    case SIMF_FAULT_SET_WEIGHT:
        if (begin) {
            s->weights[f->a] = f->b;
            for (int i = 0; i < s->trace->routers; i++) {
                wgq_set_weight(s->routers[i].queue, (uint32_t)f->a + 1, f->b);
            }
            if (s->share) {
                wgf_set_weight(s->share, (uint32_t)f->a + 1, f->b);
            }
        }
        break;
    default:
        break;
    }
    s->last_fault_end = s->now;
    s->last_out_of_bound_at = s->now;
    wg_time settled = MAX(s->now, f->to) + SETTLE_TIME;
    s->settled_from =
        MAX(s->settled_from, (settled + SAMPLE_INTERVAL - 1) / SAMPLE_INTERVAL * SAMPLE_INTERVAL);
}
