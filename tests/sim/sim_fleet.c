/* sim_fleet.c -- see sim_fleet.h */
#include <math.h>
#include <string.h>

#include "sim_fleet_internal.h"

/* ---- helpers: events ------------------------------------------------------------------------ */

static bool is_before(const event_t* a, const event_t* b) {
    return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static event_t* event_at(run_t* s, guint i) {
    return &g_array_index(s->heap, event_t, i);
}

static void swap(run_t* s, guint a, guint b) {
    event_t keep = *event_at(s, a);
    *event_at(s, a) = *event_at(s, b);
    *event_at(s, b) = keep;
}

void _simf_schedule(run_t* s, wg_time at, event_type type, int a, void* data) {
    event_t event = {.at = at, .order = ++s->order, .type = type, .a = a, .data = data};
    g_array_append_val(s->heap, event);
    guint i = s->heap->len - 1;
    while (i > 0 && is_before(event_at(s, i), event_at(s, (i - 1) / 2))) {
        swap(s, i, (i - 1) / 2);
        i = (i - 1) / 2;
    }
}

static event_t pop_event(run_t* s) {
    event_t first = *event_at(s, 0);
    *event_at(s, 0) = *event_at(s, s->heap->len - 1);
    g_array_set_size(s->heap, s->heap->len - 1);
    for (guint i = 0; 2 * i + 1 < s->heap->len;) {
        guint child = 2 * i + 1;
        if (child + 1 < s->heap->len && is_before(event_at(s, child + 1), event_at(s, child))) {
            child++;
        }
        if (!is_before(event_at(s, child), event_at(s, i))) {
            break;
        }
        swap(s, i, child);
        i = child;
    }
    return first;
}

static uint64_t next_random(run_t* s) {
    return wg_jitter(s->trace->seed, ++s->counter);
}

static double uniform(run_t* s) {
    return ((double)(next_random(s) >> 11) + 1.0) / 9007199254740993.0;
}

/* ---- helpers: set-up ------------------------------------------------------------------------ */

bool _simf_is_central(const run_t* s) {
    return s->policy == SIMF_POLICY_ARBITER || s->policy == SIMF_POLICY_OMNISCIENT;
}

/* Slots of a target that a router has without leases: all of them with a central queue, an equal
   part with the policy `alone`. */
int _simf_fixed_slots(const run_t* s, int router, int target) {
    const simf_trace* t = s->trace;
    if (s->policy == SIMF_POLICY_LEASED) {
        return 0;
    }
    bool extra = (target + router) % t->routers < t->slots % t->routers;
    return _simf_is_central(s) ? t->slots : t->slots / t->routers + (extra ? 1 : 0);
}

static void free_waiting(router_t* r) {
    wgq_handle handle;
    while (wgq_expire(r->queue, WG_TIME_NEVER, &handle)) {
        g_free(wgq_user_data(r->queue, handle));
        wgq_drop(r->queue, handle);
    }
}

void _simf_router_start(run_t* s, int i) {
    const simf_trace* t = s->trace;
    router_t* r = &s->routers[i];
    if (r->queue) {
        free_waiting(r);
        wgq_shutdown(r->queue);
        wgp_shutdown(r->place);
    }
    uint64_t bytes = r->bytes;
    uint32_t* reported = r->reported_slots ? r->reported_slots : g_new0(uint32_t, t->targets);
    memset(reported, 0, sizeof(uint32_t) * (size_t)t->targets);
    *r = (router_t){.incarnation = r->incarnation + 1, .report_full = true, .bytes = bytes};
    r->reported_slots = reported;
    wgf_pacer_setup(&r->pacer, &(wgf_pacer_desc){.now = s->now, .interval = t->report});
    r->queue = wgq_setup(&(wgq_desc){.flows_max = 256, .requests_max = 60000}, NULL);
    r->place = wgp_setup(
        &(wgp_desc){.seed = next_random(s), .targets_max = t->targets, .prefixes_max = 64}, NULL);
    wgp_config_begin(r->place);
    for (int g = 0; g < t->targets; g++) {
        uint32_t id = TARGET_ID_FIRST + (uint32_t)g;
        wgp_config_target(r->place, id, SERVICE_ID, "", "", "", t->slots, s->targets[g].removed, 1);
        wgp_add_slots(r->place, id, _simf_fixed_slots(s, i, g));
    }
    wgp_config_end(r->place);
    wgp_set_lease(r->place, s->policy == SIMF_POLICY_LEASED ? 0 : WG_TIME_NEVER);
}

void _simf_share_config(run_t* s) {
    const simf_trace* t = s->trace;
    wgf_config_begin(s->share);
    wgf_config_service(s->share, SERVICE_ID, t->over_percent, 200);
    for (int g = 0; g < t->targets; g++) {
        wgf_config_target(s->share, TARGET_ID_FIRST + (uint32_t)g, SERVICE_ID, t->slots,
                          s->targets[g].removed, "");
    }
    wgf_config_end(s->share);
    for (int w = 0; w < t->workspaces_num; w++) {
        wgf_set_weight(s->share, (uint32_t)w + 1, s->weights[w]);
    }
}

void _simf_leader_start(run_t* s) {
    s->share = wgf_setup(&(wgf_desc){.now = s->now,
                                     .routers_max = s->trace->routers,
                                     .targets_max = s->trace->targets,
                                     .flows_max = 256,
                                     .accounts_max = 65536,
                                     .slot_lease = LEASE_TERM},
                         NULL);
    s->leader++;
    /* During its first lease term a new leader learns which slots are leased. */
    s->counts_from = s->now + LEASE_TERM;
    _simf_share_config(s);
    for (int i = 0; i < s->trace->routers; i++) {
        s->routers[i].at_leader = (wgf_router){0};
        s->routers[i].report_full = true;
    }
}

/* ---- helpers: targets ------------------------------------------------------------------------ */

void _simf_target_start_next(run_t* s, target_t* target) {
    while (target->in_slots < s->trace->slots && target->waiting.length > 0) {
        request_t* q = g_queue_pop_head(&target->waiting);
        target->in_slots++;
        q->in_slot = true;
        q->started = s->now;
        _simf_schedule(s, s->now + q->tokens * s->trace->pace, EVENT_FINISH, 0, q);
    }
}

target_t* _simf_target_of(run_t* s, const request_t* q) {
    return &s->targets[q->choice.target - TARGET_ID_FIRST];
}

static void target_accept(run_t* s, request_t* q) {
    target_t* target = _simf_target_of(s, q);
    if (target->unreachable) {
        _simf_schedule(s, s->now + s->trace->delay, EVENT_REFUSED, 0, q);
        return;
    }
    q->running = true;
    g_ptr_array_add(s->running, q);
    if (q->urgent) {
        g_queue_push_head(&target->waiting, q);
    } else {
        g_queue_push_tail(&target->waiting, q);
    }
    _simf_target_start_next(s, target);
}

/* ---- helpers: routers ------------------------------------------------------------------------ */

int _simf_queue_router(const run_t* s, int router) {
    return _simf_is_central(s) ? 0 : router;
}

void _simf_schedule_report(run_t* s, int router) {
    router_t* r = &s->routers[router];
    if (s->policy == SIMF_POLICY_LEASED && r->pacer.wanted && !r->report_scheduled) {
        r->report_scheduled = true;
        _simf_schedule(s, MAX(s->now, wgf_pacer_next(&r->pacer)), EVENT_REPORT, router, NULL);
    }
}

static void record_dequeued(run_t* s, int workspace) {
    s->queued[workspace]--;
    s->emptied[workspace] = s->emptied[workspace] || s->queued[workspace] == 0;
}

static void start_request(run_t* s, int router, wgq_handle picked) {
    router_t* r = &s->routers[router];
    request_t* q = wgq_user_data(r->queue, picked);
    record_dequeued(s, q->workspace);
    wg_hist_add(&s->wait, s->now - q->arrived);
    if (q->urgent) {
        s->urgent_wait = MAX(s->urgent_wait, s->now - q->arrived);
    }
    bool placed = wgp_pick(r->place, s->now,
                           &(wgp_request){.service = SERVICE_ID, .urgent = q->urgent}, &q->choice);
    WG_ASSERT(placed);
    wgp_sent(r->place, &q->choice);
    if (s->policy == SIMF_POLICY_ARBITER) {
        /* The slot is occupied while request and grant are in flight. */
        s->routers[q->router].bytes += 2 * GRANT_BYTES;
        s->leader_bytes += 2 * GRANT_BYTES;
        _simf_schedule(s, s->now + 2 * s->trace->delay, EVENT_GRANTED, 0, q);
    } else {
        target_accept(s, q);
    }
}

void _simf_dispatch(run_t* s, int router) {
    router_t* r = &s->routers[router];
    wgq_handle picked;
    for (;;) {
        if (wgq_query_stats(r->queue).queued == 0) {
            break;
        }
        bool room = wgp_has_room(r->place, s->now, SERVICE_ID, false);
        bool reserve = !room && wgp_has_room(r->place, s->now, SERVICE_ID, true);
        if ((!room && !reserve) || !wgq_pick(r->queue, s->now, reserve, &picked)) {
            break;
        }
        start_request(s, router, picked);
    }
    wgq_stats stats = wgq_query_stats(r->queue);
    if (wgp_take_report_due(r->place)) {
        wgf_pacer_request(&r->pacer);
    }
    wgf_pacer_update(&r->pacer,
                     &(wgf_pacer_load){.at_work = stats.queued + stats.running > 0,
                                       .waiting = stats.queued > 0,
                                       .idle = wgp_query_free(r->place, s->now, SERVICE_ID) > 0});
    _simf_schedule_report(s, router);
}

/* The target refused the request: it returns to the head of its queue. */
static void requeue_refused(run_t* s, request_t* q) {
    int router = _simf_queue_router(s, q->router);
    router_t* r = &s->routers[router];
    if (wgq_user_data(r->queue, q->handle) != q) {
        g_free(q); /* its router has restarted */
        return;
    }
    wgq_finish(r->queue, s->now, q->handle, 0);
    wgp_done(r->place, s->now, &q->choice, WGP_RESULT_FAILED);
    wgq_refusal refusal;
    q->handle = wgq_push(r->queue, s->now,
                         &(wgq_request){.workspace = (uint32_t)q->workspace + 1,
                                        .limits = {.weight = s->weights[q->workspace],
                                                   .queue = s->trace->queue_limit,
                                                   .urgent_percent = 20},
                                        .urgent = q->urgent,
                                        .retry = true,
                                        .wait_until = s->now + s->trace->queue_wait,
                                        .deadline = q->deadline,
                                        .user_data = q},
                         &refusal);
    if (q->handle.id == 0) {
        s->refused++;
        g_free(q);
    } else {
        s->queued[q->workspace]++;
    }
    _simf_dispatch(s, router);
}

static void refuse_request(run_t* s, request_t* q, bool was_queued) {
    s->refused++;
    if (was_queued) {
        record_dequeued(s, q->workspace);
    }
    g_free(q);
}

static void expire_queued(run_t* s, int router) {
    router_t* r = &s->routers[router];
    wgq_handle expired;
    while (wgq_expire(r->queue, s->now, &expired)) {
        request_t* q = wgq_user_data(r->queue, expired);
        wgq_drop(r->queue, expired);
        refuse_request(s, q, true);
    }
}

static void handle_arrival(run_t* s, int load_index) {
    const simf_trace* t = s->trace;
    const simf_load* load = &t->loads[load_index];
    if (s->now >= load->from && s->now < load->to) {
        request_t* q = g_new0(request_t, 1);
        int span = load->router_last - load->router_first + 1;
        q->workspace = load->workspace;
        q->router = load->router_first + (int)(next_random(s) % (uint64_t)span);
        for (int i = 0; i < t->routers && s->routers[q->router].cut; i++) {
            q->router = (q->router + 1) % t->routers; /* callers avoid routers that are cut off */
        }
        q->tokens = load->tokens_min +
                    (int64_t)(next_random(s) % (uint64_t)(load->tokens_max - load->tokens_min + 1));
        q->urgent = load->urgent;
        q->arrived = s->now;
        q->deadline = s->now + t->deadline;
        s->requests++;
        int router = _simf_queue_router(s, q->router);
        wgq_refusal refusal;
        q->handle = wgq_push(s->routers[router].queue, s->now,
                             &(wgq_request){.workspace = (uint32_t)q->workspace + 1,
                                            .limits = {.weight = s->weights[q->workspace],
                                                       .queue = t->queue_limit,
                                                       .urgent_percent = 20},
                                            .urgent = q->urgent,
                                            .estimate = load->estimate,
                                            .wait_until = s->now + t->queue_wait,
                                            .deadline = q->deadline,
                                            .user_data = q},
                             &refusal);
        if (q->handle.id == 0) {
            refuse_request(s, q, false);
        } else {
            s->queued[q->workspace]++;
            _simf_dispatch(s, router);
            if (wgq_query_waiting(s->routers[router].queue, (uint32_t)load->workspace + 1) == 1) {
                wgf_pacer_request(&s->routers[router].pacer);
                _simf_schedule_report(s, router);
            }
        }
    }
    wg_time wait = (wg_time)(-log(uniform(s)) / load->rate * WG_USEC_PER_SEC);
    if (s->now + wait < load->to) {
        _simf_schedule(s, MAX(s->now + wait, load->from), EVENT_ARRIVAL, load_index, NULL);
    }
}

static void finish_request(run_t* s, request_t* q) {
    if (!q->in_slot) {
        return; /* its target was removed, which ended the request */
    }
    router_t* r = &s->routers[_simf_queue_router(s, q->router)];
    target_t* target = _simf_target_of(s, q);
    target->in_slots--;
    s->delivered[q->workspace] += (double)q->tokens;
    *(s->now <= q->deadline ? &s->tokens_in_time : &s->tokens_late) += (double)q->tokens;
    s->finished++;
    g_ptr_array_remove_fast(s->running, q);
    wgp_target_info info;
    if (wgq_user_data(r->queue, q->handle) == q &&
        wgp_query_target_id(r->place, q->choice.target, &info) && info.in_use > 0) {
        wgq_finish(r->queue, s->now, q->handle, q->tokens);
        wgp_done(r->place, s->now, &q->choice, WGP_RESULT_SUCCESS);
    }
    int router = _simf_queue_router(s, q->router);
    g_free(q);
    _simf_target_start_next(s, target);
    _simf_dispatch(s, router);
}

/* ---- helpers: reports and replies ------------------------------------------------------------ */

static void charge_running(run_t* s, int router) {
    for (guint i = 0; i < s->running->len; i++) {
        const request_t* q = g_ptr_array_index(s->running, i);
        if (_simf_queue_router(s, q->router) == router) {
            wgq_charge(s->routers[router].queue, q->handle, (int64_t)_simf_tokens_so_far(s, q));
        }
    }
}

static void fill_report(run_t* s, int router, report_t* out) {
    router_t* r = &s->routers[router];
    wgq_account accounts[SIMF_WORKSPACES_MAX];
    out->accounts_num = wgq_take_accounts(r->queue, r->report_full, accounts, SIMF_WORKSPACES_MAX);
    for (int i = 0; i < out->accounts_num; i++) {
        out->accounts[i] =
            (wgf_account){.service = SERVICE_ID,
                          .workspace = accounts[i].workspace,
                          .served = accounts[i].served,
                          .pending = accounts[i].pending,
                          .queued = accounts[i].queued,
                          .running = accounts[i].running,
                          .virtual_time = wgq_query_virtual_time(r->queue, accounts[i].workspace)};
    }
    out->held = g_new(wgf_held_slots, s->trace->targets);
    wgp_target_info info;
    for (int g = 0; wgp_query_target(r->place, g, &info); g++) {
        bool ejected = info.ejected_until != 0;
        uint32_t now = (uint32_t)info.leased << 1 | (ejected ? 1 : 0);
        if (r->report_full || r->reported_slots[g] != now) {
            r->reported_slots[g] = now;
            out->held[out->held_num++] = (wgf_held_slots){info.id, (uint32_t)info.leased};
        }
    }
}

static void send_report(run_t* s, int router) {
    router_t* r = &s->routers[router];
    wgf_pacer_sent(&r->pacer, s->now, wgq_query_stats(r->queue).queued > 0);
    charge_running(s, router);
    if (r->cut || s->leader == 0 || !s->share) {
        r->report_full = true;
        return;
    }
    report_t* out = g_new0(report_t, 1);
    out->router = router;
    out->incarnation = r->incarnation;
    out->sent_at = s->now;
    out->full = r->report_full;
    out->applied = r->applied;
    fill_report(s, router, out);
    r->report_full = false;
    uint64_t bytes = REPORT_BYTES + (uint64_t)out->accounts_num * ACCOUNT_BYTES +
                     (uint64_t)out->held_num * HELD_BYTES;
    r->bytes += bytes;
    s->leader_bytes += bytes;
    _simf_schedule(s, s->now + s->trace->delay, EVENT_AT_LEADER, 0, out);
}

static void send_reply(run_t* s, int router, wg_time echo, bool fairs) {
    router_t* r = &s->routers[router];
    reply_t* out = g_new0(reply_t, 1);
    out->router = router;
    out->incarnation = r->incarnation;
    out->leader = s->leader;
    out->seq = ++r->seq;
    out->echo = echo;
    out->fleet_time = wgf_query_fleet_time(s->share, SERVICE_ID);
    wgf_take_orders(s->share, r->at_leader, out->seq, &out->orders);
    if (fairs) {
        out->fairs_num =
            wgf_take_virtual_times(s->share, r->at_leader, out->fairs, SIMF_WORKSPACES_MAX);
    }
    uint64_t bytes = REPLY_BYTES + (uint64_t)out->fairs_num * FAIR_BYTES +
                     (uint64_t)(out->orders.grants_num + out->orders.quotas_num) * SLOT_BYTES;
    r->bytes += bytes;
    s->leader_bytes += bytes;
    if (r->cut) {
        g_free(out);
        return;
    }
    _simf_schedule(s, s->now + s->trace->delay, EVENT_AT_ROUTER, 0, out);
}

void _simf_schedule_plan(run_t* s) {
    if (!s->plan_scheduled) {
        s->plan_scheduled = true;
        _simf_schedule(s, s->now + PLAN_DELAY, EVENT_PLAN, 0, NULL);
    }
}

static void at_leader(run_t* s, report_t* in) {
    router_t* r = &s->routers[in->router];
    bool current = s->share && r->incarnation == in->incarnation && !r->cut;
    bool known = r->at_leader.id != 0;
    if (current && (known || in->full)) {
        if (in->full) {
            char name[16];
            g_snprintf(name, sizeof name, "r%d", in->router);
            r->at_leader = wgf_router_up(s->share, s->now, name, in->incarnation, "");
            r->seq = 0;
        }
        wgf_report(s->share, s->now, r->at_leader,
                   &(wgf_report_desc){.full = in->full,
                                      .applied = in->applied,
                                      .accounts = in->accounts,
                                      .accounts_num = in->accounts_num,
                                      .held = in->held,
                                      .held_num = in->held_num});
        _simf_schedule_plan(s);
        send_reply(s, in->router, in->sent_at, true);
    }
    g_free(in->held);
    g_free(in);
}

/* Asserts that the unexpired leases on a target never exceed its slots. */
static void check_leases(run_t* s) {
    for (int g = 0; g < s->trace->targets; g++) {
        int capacity = s->trace->slots * (100 + s->trace->over_percent) / 100;
        int held = 0;
        for (int i = 0; i < s->trace->routers; i++) {
            wgp_target_info info;
            bool leased = s->now < s->routers[i].lease_until;
            if (leased && wgp_query_target(s->routers[i].place, g, &info)) {
                held += info.leased;
            }
        }
        WG_ASSERT(s->targets[g].removed || held <= capacity);
        /* The leader never counts fewer leased slots than routers have. */
        int counted = wgf_query_leased(s->share, TARGET_ID_FIRST + (uint32_t)g);
        WG_ASSERT(s->targets[g].removed || s->now < s->counts_from || held <= counted);
    }
}

static void plan_leases(run_t* s) {
    s->plan_scheduled = false;
    if (!s->share) {
        return;
    }
    wgf_plan(s->share, s->now);
    check_leases(s);
    for (int i = 0; i < s->trace->routers; i++) {
        router_t* r = &s->routers[i];
        if (r->at_leader.id && wgf_has_orders(s->share, r->at_leader)) {
            send_reply(s, i, r->pacer.sent_at, false);
        }
    }
}

static void at_router(run_t* s, reply_t* in) {
    router_t* r = &s->routers[in->router];
    if (r->incarnation == in->incarnation && in->leader == s->leader && !r->cut) {
        r->applied = in->seq;
        wgq_set_fleet_time(r->queue, in->fleet_time);
        for (int i = 0; i < in->fairs_num; i++) {
            wgq_sync(r->queue, in->fairs[i].workspace, in->fairs[i].virtual_time,
                     in->fairs[i].acked);
        }
        for (int i = 0; i < in->orders.quotas_num; i++) {
            wgp_set_quota(r->place, in->orders.quotas[i].service, in->orders.quotas[i].max);
        }
        for (int i = 0; i < in->orders.grants_num; i++) {
            wgp_add_slots(r->place, in->orders.grants[i].target, (int)in->orders.grants[i].add);
            /* Report the slots next time, even if they were released at once. */
            r->reported_slots[in->orders.grants[i].target - TARGET_ID_FIRST] = UINT32_MAX;
        }
        r->lease_until = in->echo + LEASE_TERM;
        wgp_set_lease(r->place, r->lease_until);
        _simf_dispatch(s, in->router);
    }
    g_free(in);
}

/* ---- helpers: the run ------------------------------------------------------------------------ */

static void report_if_due(run_t* s, int router) {
    router_t* r = &s->routers[router];
    r->report_scheduled = false;
    if (r->lease_until > 0 && s->now >= r->lease_until) {
        r->lease_until = 0;
        wgp_clear_slots(r->place);
        r->report_full = true;
    }
    if (wgf_pacer_due(&r->pacer, s->now, r->bytes)) {
        send_report(s, router);
    }
}

static void handle_event(run_t* s, const event_t* event) {
    switch (event->type) {
    case EVENT_ARRIVAL:
        handle_arrival(s, event->a);
        break;
    case EVENT_FINISH:
        if (!((request_t*)event->data)->in_slot) {
            g_free(event->data);
        } else {
            finish_request(s, event->data);
        }
        break;
    case EVENT_REPORT:
        report_if_due(s, event->a);
        break;
    case EVENT_AT_LEADER:
        at_leader(s, event->data);
        break;
    case EVENT_PLAN:
        plan_leases(s);
        break;
    case EVENT_AT_ROUTER:
        at_router(s, event->data);
        break;
    case EVENT_GRANTED:
        target_accept(s, event->data);
        break;
    case EVENT_REFUSED:
        requeue_refused(s, event->data);
        break;
    case EVENT_SAMPLE:
        _simf_take_sample(s);
        if (_simf_is_central(s)) {
            charge_running(s, 0);
        }
        for (int i = 0; i < s->trace->routers; i++) {
            expire_queued(s, i);
            if (s->policy == SIMF_POLICY_LEASED) {
                report_if_due(s, i);
            }
        }
        _simf_schedule(s, s->now + SAMPLE_INTERVAL, EVENT_SAMPLE, 0, NULL);
        break;
    case EVENT_FAULT:
        _simf_inject_fault(s, event->data, event->a != 0);
        break;
    }
}

static void release_run(run_t* s) {
    while (s->heap->len > 0) {
        event_t event = pop_event(s);
        if (event.type == EVENT_AT_LEADER) {
            g_free(((report_t*)event.data)->held);
        }
        if (event.type != EVENT_FAULT) {
            g_free(event.data);
        }
    }
    for (int i = 0; i < s->trace->routers; i++) {
        free_waiting(&s->routers[i]);
        wgq_shutdown(s->routers[i].queue);
        wgp_shutdown(s->routers[i].place);
        g_free(s->routers[i].reported_slots);
    }
    if (s->share) {
        wgf_shutdown(s->share);
    }
    for (int g = 0; g < s->trace->targets; g++) {
        g_queue_clear_full(&s->targets[g].waiting, g_free);
    }
    g_array_unref(s->heap);
    g_array_unref(s->gaps);
    g_ptr_array_unref(s->running);
    g_free(s->routers);
    g_free(s->targets);
}

/* ---- public functions --------------------------------------------------------------------- */

simf_result simf_run(const simf_trace* trace, simf_policy policy) {
    run_t* s = g_new0(run_t, 1);
    s->trace = trace;
    s->policy = policy;
    for (int i = 0; i < trace->loads_num; i++) {
        s->request_tokens_max = MAX(s->request_tokens_max, (double)trace->loads[i].tokens_max);
    }
    s->heap = g_array_new(FALSE, TRUE, sizeof(event_t));
    s->gaps = g_array_new(FALSE, TRUE, sizeof(double));
    s->running = g_ptr_array_new();
    s->routers = g_new0(router_t, trace->routers);
    s->targets = g_new0(target_t, trace->targets);
    for (int w = 0; w < trace->workspaces_num; w++) {
        s->weights[w] = trace->workspaces[w].weight;
    }
    /* Leaders wait one lease term before they grant; the load starts after that. */
    s->now = -2 * LEASE_TERM;
    for (int i = 0; i < trace->routers; i++) {
        _simf_router_start(s, i);
        s->routers[i].pacer.sent_at -= (wg_time)(next_random(s) % (uint64_t)trace->report);
    }
    if (policy == SIMF_POLICY_LEASED) {
        _simf_leader_start(s);
    }
    _simf_schedule(s, s->now, EVENT_SAMPLE, 0, NULL);
    for (int i = 0; i < trace->loads_num; i++) {
        _simf_schedule(s, trace->loads[i].from, EVENT_ARRIVAL, i, NULL);
    }
    for (int i = 0; i < trace->faults_num; i++) {
        _simf_schedule(s, trace->faults[i].from, EVENT_FAULT, 1, (void*)&trace->faults[i]);
        if (trace->faults[i].to > 0) {
            _simf_schedule(s, trace->faults[i].to, EVENT_FAULT, 0, (void*)&trace->faults[i]);
        }
    }
    while (event_at(s, 0)->at < trace->duration) {
        event_t event = pop_event(s);
        _simf_add_slot_time(s, event.at);
        s->now = event.at;
        handle_event(s, &event);
    }
    s->now = trace->duration;
    simf_result result = _simf_collect(s);
    release_run(s);
    g_free(s);
    return result;
}

const char* simf_policy_name(simf_policy policy) {
    static const char* names[SIMF_POLICY_NUM] = {"", "alone", "arbiter", "leased", "omniscient"};
    return names[policy];
}
