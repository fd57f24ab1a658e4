/* wg_router_call.c -- calls: queue admission, dispatch to slots, state machine actions */
#include "wg_router_internal.h"

#include <string.h>

/* ---- types -------------------------------------------------------------------------------- */

/* How a refusal by the queue is reported to the caller. */
static const struct {
    int status;
    const char* code;
    const char* message;
} _wgro_refusals[WGQ_REFUSAL_NUM] = {
    [WGQ_REFUSAL_RATE] = {429, "rate_limit", "request rate limit of the workspace exceeded"},
    [WGQ_REFUSAL_IN_FLIGHT] = {429, "in_flight_limit",
                               "too many requests of the workspace running and waiting"},
    [WGQ_REFUSAL_QUEUE] = {429, "queue_limit", "the workspace's queue is full"},
    [WGQ_REFUSAL_TOKENS] = {429, "token_limit",
                            "tokens-per-minute limit of the workspace exceeded"},
    [WGQ_REFUSAL_FULL] = {503, "no_capacity",
                          "this router has reached its limit of requests or workspaces"},
    [WGQ_REFUSAL_LATE] = {503, "no_capacity", "cannot be served in time"},
};

/* ---- helpers: ends of a call --------------------------------------------------------------- */

static _wgro_service_t* _wgro_service_of(_wgro_call_t* call) {
    return &call->router->services[call->service];
}

static void _wgro_detach_caller(_wgro_call_t* call) {
    if (call->request) {
        struct evhttp_connection* connection = evhttp_request_get_connection(call->request);
        wgh_set_closed_cb(connection, NULL, NULL);
        evhttp_connection_set_timeout(connection, (int)call->router->settings->idle_s);
    }
}

static void _wgro_on_reply_closed(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    wgro_router* r = user_data;
    r->replies_unsent--;
}

static void _wgro_on_reply_sent(struct evhttp_request* request, void* user_data) {
    wgro_router* r = user_data;
    r->replies_unsent--;
    wgh_set_closed_cb(evhttp_request_get_connection(request), NULL, NULL);
}

/* Call it before the last part of a reply is written: counts the reply until its caller has taken
   it, or has closed. */
static void _wgro_await_reply_sent(wgro_router* r, struct evhttp_request* request) {
    r->replies_unsent++;
    wgh_set_replied_cb(request, _wgro_on_reply_sent, r);
    wgh_set_closed_cb(evhttp_request_get_connection(request), _wgro_on_reply_closed, r);
}

static void _wgro_free_call(_wgro_call_t* call) {
    wgro_router* r = call->router;
    if (call->attempt) {
        call->attempt->call = (wg_handle){0};
    }
    event_del(call->timer);
    evbuffer_free(call->body);
    g_free(call->uri);
    call->body = NULL;
    call->uri = NULL;
    call->request = NULL;
    call->attempt = NULL;
    wg_pool_free(&r->calls_pool, call->handle);
}

/* Releases the target slot and the queue entry. `cost` is charged to the workspace. */
static void _wgro_release(_wgro_call_t* call, int64_t cost, wgp_result result) {
    wgro_router* r = call->router;
    wg_time now = wg_now();
    if (call->choice.target) {
        wgp_event event = wgp_done(r->place, now, &call->choice, result);
        if (event == WGP_EVENT_EJECTED || event == WGP_EVENT_RESTORED) {
            wgp_target_info info;
            wgp_query_target_id(r->place, call->choice.target, &info);
            wg_log(event == WGP_EVENT_EJECTED ? WG_EVENT_TARGET_ASIDE : WG_EVENT_TARGET_BACK,
                   "target=%s", info.name);
        }
        call->last_target = call->choice.target;
        call->choice = (wgp_choice){0};
    }
    if (call->queued.id) {
        wgq_finish(_wgro_service_of(call)->queue, now, call->queued, cost);
        wgq_drop(_wgro_service_of(call)->queue, call->queued);
        call->queued = (wgq_handle){0};
    }
}

/* Cost of the call so far: tokens for a model service, else milliseconds at the target. */
static int64_t _wgro_cost(const _wgro_call_t* call) {
    const _wgro_service_t* service = &call->router->services[call->service];
    if (strcmp(service->row.service.kind, "model") != 0) {
        return call->picked_at ? MAX((wg_now() - call->picked_at) / WG_USEC_PER_MSEC, 1) : 0;
    }
    int64_t usage = call->attempt ? call->attempt->usage : -1;
    return MAX(usage, call->tokens);
}

static wgp_result _wgro_result_of(const wgc_action* action, const _wgro_call_t* call) {
    if (action->type == WGC_ACTION_CANCEL || !call->attempt || call->other_version) {
        return WGP_RESULT_CANCELLED;
    }
    if (action->type == WGC_ACTION_FINISH && call->attempt->status < 500) {
        return WGP_RESULT_SUCCESS;
    }
    return call->attempt->reported_not_run ? WGP_RESULT_REFUSED : WGP_RESULT_FAILED;
}

static wg_time _wgro_retry_after(_wgro_call_t* call) {
    enum {
        RETRY_AFTER_MIN = 200 * WG_USEC_PER_MSEC
    };
    wg_time now = wg_now();
    const _wgro_service_t* service = _wgro_service_of(call);
    wg_time wait = wgq_expected_wait(service->queue, now, call->workspace);
    wg_time backoff_end = wgp_backoff_ends_at(call->router->place, now, service->row.id);
    return MAX(MAX(wait, backoff_end - now), RETRY_AFTER_MIN);
}

/* Latest time at which the call may still be waiting for a slot. */
static wg_time _wgro_wait_until(_wgro_call_t* call, wg_time now) {
    wg_time max_wait = _wgro_service_of(call)->row.service.queue_ms * WG_USEC_PER_MSEC;
    return MIN(now + max_wait, call->deadline);
}

static void _wgro_answer_error(_wgro_call_t* call, const wgc_action* action) {
    static const char* messages[WGC_CODE_NUM] = {
        "",
        "the target failed",
        "the deadline of the request passed",
        "no target capacity became free in time",
        "the idempotency key could not be claimed; the request did not run",
        "an earlier request with this idempotency key has not ended and may have run",
    };
    call->router->counters.failed++;
    _wgro_detach_caller(call);
    _wgro_await_reply_sent(call->router, call->request);
    wgh_reply_error(call->request, &(wgh_error){.status = wgc_code_status(action->code),
                                                .code = wgc_code_name(action->code),
                                                .verdict = action->verdict,
                                                .retry_after = _wgro_retry_after(call),
                                                .message = messages[action->code]});
}

/* A caller's connection that must be closed from the event loop: evhttp does not allow freeing a
   connection inside its own callbacks. */
typedef struct {
    struct event_base* base;
    struct evhttp_connection* connection; /* NULL once the caller has closed it */
    bool scheduled;                       /* _wgro_close_deferred() follows */
} _wgro_deferred_close_t;

static void _wgro_close_deferred(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    _wgro_deferred_close_t* deferred = user_data;
    if (deferred->connection) {
        wgh_set_closed_cb(deferred->connection, NULL, NULL);
        evhttp_connection_free(deferred->connection);
    }
    g_free(deferred);
}

static void _wgro_schedule_close(_wgro_deferred_close_t* deferred) {
    struct timeval no_delay = {0};
    deferred->scheduled = true;
    event_base_once(deferred->base, -1, EV_TIMEOUT, _wgro_close_deferred, deferred, &no_delay);
}

static void _wgro_on_deferred_closed(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    _wgro_deferred_close_t* deferred = user_data;
    deferred->connection = NULL;
    if (!deferred->scheduled) {
        g_free(deferred); /* closed before the last event was written */
    }
}

static void _wgro_on_last_event_written(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    _wgro_deferred_close_t* deferred = user_data;
    if (!deferred->scheduled) {
        _wgro_schedule_close(deferred);
    }
}

/* Aborts an answer of which a part was already sent: closes the connection before the length is met
   or the last chunk is sent, so that the caller cannot take the truncated answer for a complete
   one. A stream ends with an error event first. */
static void _wgro_abort_answer(_wgro_call_t* call, const wgc_action* action) {
    call->router->counters.answers_aborted++;
    _wgro_detach_caller(call);
    _wgro_deferred_close_t* deferred = g_new0(_wgro_deferred_close_t, 1);
    deferred->base = call->router->base;
    deferred->connection = evhttp_request_get_connection(call->request);
    wgh_set_closed_cb(deferred->connection, _wgro_on_deferred_closed, deferred);
    if (!call->attempt || !call->attempt->stream) {
        _wgro_schedule_close(deferred);
        return;
    }
    struct evbuffer* last = evbuffer_new();
    evbuffer_add_printf(last,
                        "event: error\ndata: {\"error\":{\"code\":\"%s\",\"verdict\":\"%s\"}}\n\n",
                        wgc_code_name(action->code), wg_verdict_name(action->verdict));
    evhttp_send_reply_chunk_with_cb(call->request, last, _wgro_on_last_event_written, deferred);
    evbuffer_free(last);
}

static void _wgro_copy_headers(_wgro_call_t* call) {
    struct evkeyvalq* out = evhttp_request_get_output_headers(call->request);
    _wgro_copy_fields(call->attempt->head, out);
    char attempts[16];
    g_snprintf(attempts, sizeof attempts, "%d", call->machine.attempt);
    evhttp_add_header(out, WGH_HEADER_ATTEMPTS, attempts);
}

static void _wgro_finish(_wgro_call_t* call) {
    wgro_router* r = call->router;
    r->counters.complete++;
    _wgro_detach_caller(call);
    _wgro_await_reply_sent(r, call->request);
    if (call->head_sent) {
        _wgro_relay(call);
        evhttp_send_reply_end(call->request);
    } else {
        _wgro_copy_headers(call);
        struct evkeyvalq* out = evhttp_request_get_output_headers(call->request);
        evhttp_add_header(out, WGH_HEADER_VERDICT, wg_verdict_name(WG_VERDICT_RAN));
        evhttp_send_reply(call->request, call->attempt->status, wgh_reason(call->attempt->status),
                          call->attempt->buffered);
    }
    wg_hist_add(&_wgro_service_of(call)->total_time, wg_now() - call->started);
}

static void _wgro_end_claim_for(_wgro_call_t* call, const wgc_action* action) {
    if (!action->end_claim) {
        return;
    }
    char* type = NULL;
    struct evbuffer* body = NULL;
    int status = 0;
    if (action->verdict == WG_VERDICT_RAN && call->attempt) {
        status = call->attempt->status;
        type = wg_text_dup(wg_message_field(call->attempt->head, "Content-Type"));
        body = call->head_sent ? NULL : call->attempt->buffered;
    }
    _wgro_end_claim(call->router, call, action->verdict, status, type, body);
    g_free(type);
}

/* ---- helpers: actions ---------------------------------------------------------------------- */

static void _wgro_set_timer(_wgro_call_t* call, wg_time at, wgc_event_type event) {
    wg_time wait = MAX(at - wg_now(), 0);
    struct timeval tv = {.tv_sec = wait / WG_USEC_PER_SEC, .tv_usec = wait % WG_USEC_PER_SEC};
    call->timer_event = event;
    event_add(call->timer, &tv);
}

static void _wgro_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    _wgro_call_t* call = user_data;
    _wgro_call_event(call, &(wgc_event){.type = call->timer_event});
}

static bool _wgro_push(_wgro_call_t* call, bool retry, wgq_refusal* refusal) {
    _wgro_service_t* service = _wgro_service_of(call);
    wg_time now = wg_now();
    call->wait_until = _wgro_wait_until(call, now);
    call->queued = wgq_push(service->queue, now,
                            &(wgq_request){.workspace = call->workspace,
                                           .limits = call->limits,
                                           .urgent = call->urgent,
                                           .retry = retry,
                                           .wait_until = call->wait_until,
                                           .deadline = call->deadline,
                                           .user_data = call},
                            refusal);
    return call->queued.id != 0;
}

static void _wgro_abort_attempt(_wgro_call_t* call) {
    if (call->attempt) {
        _wgro_attempt_abort(call->attempt);
        call->attempt = NULL;
    }
}

static void _wgro_do_send(_wgro_call_t* call, const wgc_action* action) {
    if (action->attempt > 1 && action->resume_from > 0) {
        call->router->counters.resumes++;
        wg_log(WG_EVENT_STREAM_RESUMED, "token=%" G_GINT64_FORMAT " began_version=%s target=%u",
               action->resume_from, call->version ? call->version : "?", call->choice.target);
    }
    _wgro_set_timer(call, call->deadline, WGC_EVENT_DEADLINE);
    if (!_wgro_attempt_begin(call, action->attempt, action->resume_from)) {
        _wgro_call_event(call, &(wgc_event){.type = WGC_EVENT_FAILED, .attempt = action->attempt});
    }
}

static void _wgro_do_wait(_wgro_call_t* call, const wgc_action* action) {
    call->router->counters.retries++;
    wg_log(WG_EVENT_ATTEMPT_FAILED, "attempt=%d wait_us=%" G_GINT64_FORMAT, action->attempt,
           action->wait);
    bool refused = call->attempt && call->attempt->reported_not_run;
    wgp_result result = refused               ? WGP_RESULT_REFUSED
                        : call->other_version ? WGP_RESULT_CANCELLED
                                              : WGP_RESULT_FAILED;
    _wgro_release(call, _wgro_cost(call), result);
    _wgro_abort_attempt(call);
    _wgro_set_timer(call, wg_now() + action->wait, WGC_EVENT_WAITED);
}

static void _wgro_do_queue(_wgro_call_t* call) {
    wgq_refusal refusal;
    _wgro_set_timer(call, call->deadline, WGC_EVENT_DEADLINE);
    if (!_wgro_push(call, true, &refusal)) {
        _wgro_call_event(call, &(wgc_event){.type = WGC_EVENT_DEADLINE});
        return;
    }
    _wgro_dispatch(call->router);
}

static void _wgro_do_claim(_wgro_call_t* call) {
    wgro_router* r = call->router;
    call->claim_ticket = ++r->counter;
    call->claim_attempt = wg_jitter(r->incarnation, call->claim_ticket);
    wg_time until = wg_now() + r->settings->claim_wait_ms * WG_USEC_PER_MSEC;
    _wgro_set_timer(call, MIN(until, call->deadline), WGC_EVENT_CLAIM_REFUSED);
    _wgro_request_claim(r, call); /* without a link, sent when the next one is up */
}

/* Runs the final action of a call: answers the caller, then releases and frees the call. */
static void _wgro_do_end(_wgro_call_t* call, const wgc_action* action) {
    wgro_router* r = call->router;
    int64_t cost = _wgro_cost(call);
    wgp_result result = _wgro_result_of(action, call);
    _wgro_end_claim_for(call, action);
    if (call->request && action->type == WGC_ACTION_FINISH) {
        _wgro_finish(call);
    } else if (call->request && action->type == WGC_ACTION_ANSWER) {
        _wgro_answer_error(call, action);
    } else if (call->request && action->type == WGC_ACTION_ABORT) {
        _wgro_abort_answer(call, action);
    } else if (action->type == WGC_ACTION_CANCEL) {
        r->counters.caller_disconnects++;
        wg_log(WG_EVENT_CALLER_LEFT, "%s", "");
    }
    _wgro_abort_attempt(call);
    _wgro_release(call, cost, result);
    _wgro_free_call(call);
    _wgro_dispatch(r);
}

static void _wgro_do_action(_wgro_call_t* call, const wgc_action* action) {
    switch (action->type) {
    case WGC_ACTION_CLAIM:
        _wgro_do_claim(call);
        return;
    case WGC_ACTION_SEND:
        _wgro_do_send(call, action);
        return;
    case WGC_ACTION_RELAY:
        _wgro_relay(call);
        return;
    case WGC_ACTION_WAIT:
        _wgro_do_wait(call, action);
        _wgro_dispatch(call->router);
        return;
    case WGC_ACTION_QUEUE:
        _wgro_do_queue(call);
        return;
    case WGC_ACTION_FINISH:
    case WGC_ACTION_ANSWER:
    case WGC_ACTION_ABORT:
    case WGC_ACTION_CANCEL:
        _wgro_do_end(call, action);
        return;
    default:
        return;
    }
}

/* ---- helpers: callers ---------------------------------------------------------------------- */

static void _wgro_on_caller_closed(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    _wgro_call_t* call = user_data;
    wgh_free_unanswered(call->request);
    call->request = NULL;
    _wgro_call_event(call, &(wgc_event){.type = WGC_EVENT_CALLER_DISCONNECTED});
}

/* Notices a close while the request waits and runs. */
static void _wgro_watch_caller(_wgro_call_t* call) {
    struct evhttp_connection* connection = evhttp_request_get_connection(call->request);
    wg_time deadline_s = _wgro_service_of(call)->row.service.deadline_ms / 1000;
    wgh_set_closed_cb(connection, _wgro_on_caller_closed, call);
    evhttp_connection_set_timeout(connection,
                                  (int)deadline_s + (int)call->router->settings->idle_s);
    wgh_watch_closed(connection);
}

static void _wgro_read_key(_wgro_call_t* call) {
    const char* key =
        evhttp_find_header(evhttp_request_get_input_headers(call->request), "Idempotency-Key");
    if (!key || !key[0]) {
        return;
    }
    uint8_t hash[WG_KEY_HASH_SIZE];
    wg_key_hash(key, hash);
    memcpy(call->key, hash, sizeof call->key);
    call->keyed = true;
}

static wgq_limits _wgro_limits(const wgt_workspace* w) {
    return (wgq_limits){.weight = w->weight,
                        .rate = w->rate,
                        .burst = w->burst,
                        .in_flight = w->in_flight,
                        .queue = w->queue,
                        .tokens_per_minute = w->tokens_per_minute,
                        .urgent_percent = w->urgent_percent};
}

static void _wgro_refuse_call(_wgro_call_t* call, const wgq_refusal* refusal) {
    wgro_router* r = call->router;
    r->counters.refused++;
    wg_log(WG_EVENT_REQUEST_REFUSED, "code=%s", _wgro_refusals[refusal->code].code);
    wgh_reply_error(call->request, &(wgh_error){.status = _wgro_refusals[refusal->code].status,
                                                .code = _wgro_refusals[refusal->code].code,
                                                .verdict = WG_VERDICT_NOT_RUN,
                                                .retry_after = refusal->retry_after,
                                                .message = _wgro_refusals[refusal->code].message});
    _wgro_free_call(call);
}

/* ---- internal functions -------------------------------------------------------------------- */

_wgro_call_t* _wgro_call_find(wgro_router* r, wg_handle handle) {
    int slot = wg_pool_slot(&r->calls_pool, handle);
    return slot < 0 ? NULL : &r->calls[slot];
}

void _wgro_call_event(_wgro_call_t* call, const wgc_event* event) {
    wgc_action action = wgc_step(&call->machine, wg_now(), event);
    _wgro_do_action(call, &action);
}

void _wgro_call_begin(wgro_router* r, const _wgro_call_desc* desc) {
    wg_handle handle = wg_pool_alloc(&r->calls_pool);
    if (handle.id == 0) {
        g_free(desc->uri);
        r->counters.refused++;
        wgh_reply_error(desc->request,
                        &(wgh_error){.status = 503,
                                     .code = "no_capacity",
                                     .verdict = WG_VERDICT_NOT_RUN,
                                     .retry_after = WG_USEC_PER_SEC,
                                     .message = "this router has reached its limit of requests"});
        return;
    }
    _wgro_call_t* call = _wgro_call_find(r, handle);
    struct event* timer = call->timer ? call->timer : evtimer_new(r->base, _wgro_on_timer, call);
    wg_time now = wg_now();
    const wgt_service* service = &r->services[desc->service].row.service;
    *call = (_wgro_call_t){.router = r,
                           .handle = handle,
                           .request = desc->request,
                           .service = desc->service,
                           .workspace = desc->workspace->id,
                           .limits = _wgro_limits(&desc->workspace->workspace),
                           .uri = desc->uri,
                           .urgent = desc->urgent,
                           .prefix = desc->prefix,
                           .started = now,
                           .deadline = now + service->deadline_ms * WG_USEC_PER_MSEC,
                           .timer = timer};
    call->body = evbuffer_new();
    evbuffer_add_buffer(call->body, evhttp_request_get_input_buffer(desc->request));
    if (!desc->repeatable) {
        _wgro_read_key(call);
    }
    wgc_begin(&call->machine, &(wgc_desc){.deadline = call->deadline,
                                          .repeatable = desc->repeatable,
                                          .keyed = call->keyed,
                                          .resumable = service->resume != 0,
                                          .retry_percent = service->retry_percent,
                                          .seed = wg_jitter(r->seed, ++r->counter),
                                          .budget = &r->services[desc->service].budget});
    wgq_refusal refusal;
    if (!_wgro_push(call, false, &refusal)) {
        _wgro_refuse_call(call, &refusal);
        return;
    }
    _wgro_watch_caller(call);
    _wgro_set_timer(call, call->deadline, WGC_EVENT_DEADLINE);
    wgq_queue* queue = _wgro_service_of(call)->queue;
    uint32_t workspace = call->workspace;
    _wgro_dispatch(r);
    if (wgq_query_waiting(queue, workspace) == 1) {
        _wgro_report_soon(r); /* the workspace has become backlogged on this router */
    }
}

/* Starts one waiting request of a service. False when no request waits or no slot is free. */
static bool _wgro_dispatch_next(wgro_router* r, _wgro_service_t* service, wg_time now) {
    bool room = wgp_has_room(r->place, now, service->row.id, false);
    bool reserve = !room && wgp_has_room(r->place, now, service->row.id, true);
    wgq_handle picked;
    if ((!room && !reserve) || !wgq_pick(service->queue, now, reserve, &picked)) {
        return false;
    }
    _wgro_call_t* call = wgq_user_data(service->queue, picked);
    bool placed = wgp_pick(r->place, now,
                           &(wgp_request){.service = service->row.id,
                                          .urgent = reserve,
                                          .prefix = call->prefix,
                                          .not_target = call->last_target,
                                          .version = call->version},
                           &call->choice);
    WG_ASSERT(placed);
    wgp_sent(r->place, &call->choice);
    call->picked_at = now;
    wg_hist_add(&service->wait_time, now - call->started);
    _wgro_call_event(call, &(wgc_event){.type = WGC_EVENT_SLOT});
    return true;
}

void _wgro_dispatch(wgro_router* r) {
    wg_time now = wg_now();
    wgf_pacer_load activity = {0};
    for (int i = 0; i < r->services_num; i++) {
        _wgro_service_t* service = &r->services[i];
        if (!service->live) {
            continue;
        }
        while (wgq_query_stats(service->queue).queued > 0 && _wgro_dispatch_next(r, service, now)) {
        }
        wgq_stats stats = wgq_query_stats(service->queue);
        activity.at_work = activity.at_work || stats.queued + stats.running > 0;
        activity.waiting = activity.waiting || stats.queued > 0;
        activity.idle = activity.idle || wgp_query_free(r->place, now, service->row.id) > 0;
    }
    wgf_pacer_update(&r->pacer, &activity);
    if (wgp_take_report_due(r->place)) {
        wgf_pacer_request(&r->pacer);
    }
    if (r->pacer.wanted) {
        _wgro_report_soon(r);
    }
}

void _wgro_expire(wgro_router* r, wg_time now) {
    for (int i = 0; i < r->services_num; i++) {
        wgq_handle expired;
        while (r->services[i].queue && wgq_expire(r->services[i].queue, now, &expired)) {
            _wgro_call_t* call = wgq_user_data(r->services[i].queue, expired);
            _wgro_call_event(call, &(wgc_event){.type = WGC_EVENT_DEADLINE});
        }
    }
}

static void _wgro_fail_waits_before(wgro_router* r, int service, wg_time backoff_end) {
    for (int i = 0; i < r->calls_pool.capacity; i++) {
        _wgro_call_t* call = &r->calls[i];
        if (r->calls_pool.taken[i] && call->service == service &&
            call->machine.state == WGC_STATE_QUEUED && backoff_end > call->wait_until) {
            _wgro_call_event(call, &(wgc_event){.type = WGC_EVENT_NO_TARGET});
        }
    }
}

void _wgro_fail_backoff_waits(wgro_router* r, wg_time now) {
    for (int i = 0; i < r->services_num; i++) {
        _wgro_service_t* service = &r->services[i];
        bool has_waiting = service->live && wgq_query_stats(service->queue).queued > 0;
        wg_time backoff_end = has_waiting ? wgp_backoff_ends_at(r->place, now, service->row.id) : 0;
        if (backoff_end > 0) {
            _wgro_fail_waits_before(r, i, backoff_end);
        }
    }
}

void _wgro_fail_queued(wgro_router* r) {
    for (int i = 0; i < r->calls_pool.capacity; i++) {
        if (r->calls_pool.taken[i] && r->calls[i].machine.state == WGC_STATE_QUEUED) {
            _wgro_call_event(&r->calls[i], &(wgc_event){.type = WGC_EVENT_DEADLINE});
        }
    }
}

static void _wgro_replay_answer(_wgro_call_t* call, const Wgpb__ClaimEnd* end) {
    call->router->counters.complete++;
    _wgro_detach_caller(call);
    _wgro_await_reply_sent(call->router, call->request);
    bool ran = end && end->verdict == WG_VERDICT_RAN;
    if (!ran || end->body.len == 0) {
        wgh_reply_error(
            call->request,
            &(wgh_error){.status = 409,
                         .code = ran ? "already_ran" : "may_have_run",
                         .verdict = ran ? WG_VERDICT_RAN : WG_VERDICT_MAY_HAVE_RUN,
                         .message =
                             "an earlier request with this idempotency key ended; its answer "
                             "is not kept"});
        return;
    }
    struct evkeyvalq* out = evhttp_request_get_output_headers(call->request);
    evhttp_add_header(out, WGH_HEADER_VERDICT, wg_verdict_name(WG_VERDICT_RAN));
    evhttp_add_header(out, "Walnutgate-Earlier", "1");
    if (end->content_type[0]) {
        evhttp_add_header(out, "Content-Type", end->content_type);
    }
    struct evbuffer* body = evbuffer_new();
    evbuffer_add(body, end->body.data, end->body.len);
    evhttp_send_reply(call->request, (int)end->status, wgh_reason((int)end->status), body);
    evbuffer_free(body);
}

void _wgro_on_claim_answer(wgro_router* r, uint64_t ticket, int outcome,
                           const Wgpb__ClaimEnd* end) {
    _wgro_call_t* call = NULL;
    for (int i = 0; i < r->calls_pool.capacity && !call; i++) {
        bool match = r->calls_pool.taken[i] && r->calls[i].claim_ticket == ticket &&
                     r->calls[i].machine.state == WGC_STATE_CLAIMING;
        call = match ? &r->calls[i] : NULL;
    }
    if (!call) {
        return;
    }
    static const wgc_event_type events[WGK_OUTCOME_NUM] = {
        [WGK_OUTCOME_GRANTED] = WGC_EVENT_CLAIMED,
        [WGK_OUTCOME_ENDED] = WGC_EVENT_CLAIM_ENDED,
        [WGK_OUTCOME_RUNNING] = WGC_EVENT_CLAIM_RUNNING,
        [WGK_OUTCOME_FULL] = WGC_EVENT_CLAIM_REFUSED,
    };
    if (outcome == WGK_OUTCOME_NO_LEADER || outcome <= 0 || outcome >= WGK_OUTCOME_NUM) {
        return; /* requested again over the next link, until the claim wait is over */
    }
    if (outcome == WGK_OUTCOME_ENDED) {
        wgc_step(&call->machine, wg_now(), &(wgc_event){.type = WGC_EVENT_CLAIM_ENDED});
        if (call->request) {
            _wgro_replay_answer(call, end);
        }
        _wgro_release(call, 0, WGP_RESULT_CANCELLED);
        _wgro_free_call(call);
        _wgro_dispatch(r);
        return;
    }
    _wgro_call_event(call, &(wgc_event){.type = events[outcome]});
}

void _wgro_abort_all(wgro_router* r) {
    int num = 0;
    for (int i = 0; i < r->calls_pool.capacity; i++) {
        if (r->calls_pool.taken[i]) {
            num++;
            _wgro_call_event(&r->calls[i], &(wgc_event){.type = WGC_EVENT_DEADLINE});
        }
    }
    wg_log(WG_EVENT_STOP_HURRIED, "cut_off=%d", num);
}
