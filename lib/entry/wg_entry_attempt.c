/* wg_entry_attempt.c -- request dispatch: latency limits, queueing, target selection, retries */
#include "wg_entry_internal.h"

enum {
    WG_RETRY_TIME_MIN = 15 * WG_USEC_PER_MSEC, /* minimum time left for a retry */
    WG_ANSWER_TOKENS_FACTOR = 2,               /* cost of a generated token in prompt tokens */
    WG_CANDIDATES_MAX = 6,                     /* targets considered per selection */
    /* Between two looks whether the targets are sure again. */
    WG_UNSURE_RETRY_INTERVAL = 10 * WG_USEC_PER_MSEC,
    WG_UNSENT_ATTEMPTS_MAX = 4 /* attempts per request that reached no target */
};

static void wg_call_choose(wg_call* call, const wg_policy_terms* terms, wg_time now);

/* ---- helpers: retries ------------------------------------------------------------------------ */

static wg_retry_rules wg_call_retry_rules(const wg_entry* e) {
    return (wg_retry_rules){.percent = e->settings->retry_percent,
                            .slack = e->settings->retry_slack,
                            .window = e->settings->retry_window_ms * WG_USEC_PER_MSEC,
                            .hosts = MAX(wg_roster_num(e->roster), 3)};
}

static wg_retry* wg_call_retry_budget(const wg_call* call) {
    wg_entry* e = call->entry;
    const char* name = call->config->services[call->service].name;
    wg_retry* retry = g_hash_table_lookup(e->retries, name);
    if (!retry) {
        retry = g_new0(wg_retry, 1);
        g_hash_table_insert(e->retries, g_strdup(name), retry);
    }
    return retry;
}

/* ---- helpers: the queue ---------------------------------------------------------------------- */

static GQueue* wg_call_queue(const wg_call* call) {
    wg_entry* e = call->entry;
    const char* name = call->config->services[call->service].name;
    GQueue* queue = g_hash_table_lookup(e->queues, name);
    if (!queue) {
        queue = g_queue_new();
        g_hash_table_insert(e->queues, g_strdup(name), queue);
    }
    return queue;
}

void wg_call_unqueue(wg_call* call) {
    if (call->queued) {
        g_queue_unlink(wg_call_queue(call), &call->queue_link);
        call->queued = false;
    }
}

/* ---- helpers: usage of workspaces ------------------------------------------------------------ */

uint32_t wg_charged_tokens(uint32_t prompt, uint32_t answer) {
    return prompt + WG_ANSWER_TOKENS_FACTOR * answer;
}

uint32_t wg_call_tokens(const wg_call* call) {
    return wg_charged_tokens(call->prompt.tokens, call->prompt.answer);
}

double wg_call_usage(const wg_call* call) {
    return wg_usage_per_weight(call->entry->usage, call->workspace->hash);
}

double wg_call_weight(const wg_call* call) {
    return call->workspace ? wg_usage_weight_of(call->entry->usage, call->workspace->hash) : 1;
}

/* Longest wait for a target by the workspace's queue_ms, microseconds. */
static wg_time wg_call_queue_max(const wg_call* call) {
    return call->workspace ? call->workspace->queue_max : WG_TIME_NEVER;
}

bool wg_call_is_charged(const wg_call* call) {
    return call->workspace && call->has_prompt;
}

static wg_policy_terms wg_call_terms(const wg_call* call) {
    wg_entry* e = call->entry;
    bool counts = wg_call_is_charged(call);
    wg_time objective = call->route->objective;
    return (wg_policy_terms){
        .counts = counts,
        .used = counts ? wg_call_usage(call) : 0,
        .levels = wg_usage_levels(e->usage),
        .margin = &e->margin,
        .has_prompt = call->has_prompt,
        .has_room = wg_entry_has_room(e, wg_now(), call->selection.service),
        .route_limits = e->settings->route_limits != 0,
        .sent_before = call->attempts > 0,
        .relaxed = call->relaxed,
        .started = call->started,
        .objective = objective,
        .tightest_objective =
            MIN(call->config->services[call->service].tightest_objective, objective)};
}

/* ---- helpers: attempts ----------------------------------------------------------------------- */

/* Microseconds until the caller's deadline; without one, until the time-out of the route. */
static wg_time wg_call_time_left(const wg_call* call, wg_time now) {
    return (call->deadline == WG_TIME_NEVER ? call->expires_at : call->deadline) - now;
}

/* Tried targets are considered again, as the caller's next request is a new one. */
double wg_call_retry_after(const wg_call* call) {
    wg_entry* e = call->entry;
    wg_time now = wg_now();
    wg_balance_request again = call->selection;
    again.tried_num = 0;
    wg_backoff_period backoff = wg_balance_backoff(e->balance, now, &again);
    wg_time left = wg_call_time_left(call, now);
    wg_time requested = MAX(backoff.requested_until - now, 0);
    wg_time objective_left = call->started + call->route->objective - now;
    wg_time after = wg_policy_retry_within(e->seed, ++e->counter, objective_left,
                                           e->settings->retry_after_percent);
    if (backoff.ends_at) {
        after = wg_policy_retry_after_backoff(e->seed, e->counter, requested, left);
        after = wg_policy_return_after_host(after, requested, backoff.ends_at - now);
    } else if (call->room_at > now) {
        after = wg_policy_retry_after_backoff(e->seed, e->counter, call->room_at - now, left);
    }
    return (double)after / WG_USEC_PER_SEC;
}

/* ---- helpers: waiting for room at a coordinator ---------------------------------------------- */

/* Time for which the request may still wait for room at a coordinator; 0: none. */
static wg_time wg_call_hold_left(const wg_call* call, wg_time now) {
    wg_time hold_max = call->route->objective * call->entry->settings->hold_percent / 100;
    hold_max = MIN(hold_max, wg_call_queue_max(call));
    return MAX(MIN(call->started + hold_max, call->expires_at) - now, 0);
}

static bool wg_call_may_hold(const wg_call* call) {
    bool first = call->attempts == 0 && !call->held;
    return first && call->has_prompt && call->entry->settings->hold_percent > 0;
}

/* Records the denial of the proposed target. */
static void wg_call_record_denial(wg_call* call, const wg_policy_terms* terms,
                                  const wg_admit_answer* answer, wg_time now) {
    if (!wg_call_may_hold(call)) {
        return;
    }
    wg_admit_limits limits = wg_policy_limits(terms, now);
    wg_admit_request request = wg_entry_admit_request_of(call, &limits);
    if (wg_hold_denies_for_wait(&request, answer)) {
        call->denied_for_wait = true;
    }
    wg_time room = answer->room > 0 ? answer->room : wg_hold_room_after(&limits, answer);
    if (room > 0 && (!call->room_at || now + room < call->room_at)) {
        call->room_at = now + room;
    }
    bool least = !call->least_busy.target || answer->wait < call->least_busy.wait;
    if (least && !wg_hold_is_hopeless(&request, answer, wg_call_hold_left(call, now))) {
        call->least_busy = call->proposed;
    }
}

/* Records a target that would deny the request by its last answer. */
static void wg_call_record_skipped(wg_call* call, const wg_policy_terms* terms,
                                   const wg_balance_choice* choice, wg_time now) {
    if (wg_call_may_hold(call)) {
        wg_admit_answer answer = {.wait = choice->wait, .wait_ahead = choice->wait_ahead};
        call->proposed = *choice;
        wg_call_record_denial(call, terms, &answer, now);
    }
}

/* Asks the coordinator of the denied target with the smallest expected wait again, which keeps the
   request for at most `hold`. */
static void wg_call_begin_hold(wg_call* call, const wg_policy_terms* terms, wg_time hold,
                               wg_time now) {
    wg_call_unqueue(call);
    call->held = true;
    call->held_since = now;
    call->proposed = call->least_busy;
    call->admit_requests_total++;
    wg_admit_limits limits = wg_policy_limits(terms, now);
    wg_entry_admit_request(call, &limits, hold, now);
}

/* Once all admission requests were denied, waits at the target with the smallest expected wait.
   Refuses at once if that is hopeless. False if the request was not denied for lack of room. */
static bool wg_call_hold(wg_call* call, wg_time now) {
    if (!wg_call_may_hold(call)) {
        return false;
    }
    wg_policy_terms terms = wg_call_terms(call);
    bool yields = wg_policy_admission_requests_max(&terms) == 0;
    if (!call->denied_for_wait && !yields) {
        return false;
    }
    wg_time hold = wg_call_hold_left(call, now);
    if (!call->least_busy.target || yields || hold == 0) {
        wg_call_refuse(call, 503, "no_capacity", wg_call_retry_after(call));
        return true;
    }
    wg_call_begin_hold(call, &terms, hold, now);
    return true;
}

wg_time wg_call_held_time(const wg_call* call, wg_time now) {
    return call->held_since ? call->held_time + now - call->held_since : call->held_time;
}

/* The wait at the coordinator is over. Returns whether there was one. */
static bool wg_call_end_hold(wg_call* call, wg_time now) {
    bool held = call->held_since != 0;
    call->held_time = wg_call_held_time(call, now);
    call->held_since = 0;
    return held;
}

void wg_call_refuse_queued(wg_call* call) {
    wg_call_refuse(call, call->may_have_run ? 502 : 503, "no_capacity", wg_call_retry_after(call));
}

/* End of the request's time in the queue of this host. */
static wg_time wg_call_queued_until(const wg_call* call) {
    wg_time queue_max = wg_policy_queue_time_max(call->route->objective, wg_call_queue_max(call));
    return call->started + queue_max;
}

/* Queues the request, or refuses it at once if its time in the queue is over, or if every target
   stays in backoff until then. Decided here and not only at the timer: on a host that is late, each
   tick schedules the next selection before the timer is processed. */
static void wg_call_enqueue(wg_call* call, wg_time now) {
    if (wg_call_hold(call, now)) {
        return;
    }
    wg_time wait_until = wg_call_queued_until(call);
    if (now >= wait_until) {
        wg_call_refuse_queued(call);
        return;
    }
    wg_backoff_period backoff = wg_balance_backoff(call->entry->balance, now, &call->selection);
    if (backoff.ends_at > wait_until) {
        call->entry->counters.backoff_refusals++;
        wg_call_refuse(call, call->may_have_run ? 502 : 503, "targets_rest",
                       wg_call_retry_after(call));
        return;
    }
    if (!call->queued) {
        call->queued = true;
        call->queued_until = wait_until;
        call->queue_link = (GList){.data = call};
        g_queue_push_tail_link(wg_call_queue(call), &call->queue_link);
    }
    wg_call_set_timer(call, now);
}

/* Refuses the request on its first try if no target may be asked for it within its time in the
   queue, as its workspace is far above its share. Not later: known usage does not decay between two
   reports, so each request that waits would be refused before its time is over. A request that an
   earlier attempt was sent for has no yield time. False: it is not refused. */
static bool wg_call_refuse_over_share(wg_call* call, const wg_policy_terms* terms, wg_time now) {
    wg_entry* e = call->entry;
    if (!e->settings->refuse_over_share || call->queued) {
        return false;
    }
    call->yield_time = wg_policy_yield_time(terms);
    wg_time wait_until = wg_call_queued_until(call);
    if (call->yield_time == 0 || now + call->yield_time <= wait_until) {
        return false;
    }
    /* Targets that are all in backoff may be so for longer. */
    wg_backoff_period backoff = wg_balance_backoff(e->balance, now, &call->selection);
    wg_time time = MAX(call->yield_time, backoff.ends_at - now);
    wg_time after =
        wg_policy_retry_after_yield(e->seed, ++e->counter, time, wg_call_time_left(call, now));
    e->counters.over_share_refusals++;
    wg_call_refuse(call, 503, "over_share", (double)after / WG_USEC_PER_SEC);
    return true;
}

static bool wg_call_fits(const wg_call* call, const wg_policy_terms* terms,
                         const wg_balance_choice* choice, wg_time now) {
    if (!call->has_prompt) {
        return true;
    }
    wg_admit_limits limits = wg_policy_limits(terms, now);
    return wg_admit_fits(&limits, choice->wait, choice->wait_ahead);
}

/* ---- helpers: sending ------------------------------------------------------------------------ */

/* Whether the attempt, 1 for the first one, has to use a new connection. */
static bool wg_call_needs_fresh(const wg_call* call, int attempt) {
    return !wg_route_is_repeatable(call->route) && attempt > 1;
}

/* Refuses the request if it cannot be sent to the target for lack of descriptors. Returns whether
   it did. No other target is tried: any idle connection would have been closed for a new one, so
   none of them can be reached either. */
static bool wg_call_refuse_without_descriptor(wg_call* call, const wg_target* target) {
    wg_entry* e = call->entry;
    bool fresh = wg_call_needs_fresh(call, call->attempts + 1);
    wg_descriptors_kind kind =
        call->attempts > 0 ? WG_DESCRIPTORS_TARGET_AGAIN : WG_DESCRIPTORS_TARGET;
    if ((!fresh && wg_upstream_has_idle(e, target)) || wg_entry_may_open(e, kind)) {
        return false;
    }
    e->counters.descriptor_refusals++;
    wg_call_refuse(call, call->may_have_run ? 502 : 503, "no_descriptors",
                   wg_entry_descriptors_retry_after(e));
    return true;
}

/* Whether the proposed target is expected to meet the limits of the request. */
static bool wg_call_proposed_fits(const wg_call* call, wg_time now) {
    wg_policy_terms terms = wg_call_terms(call);
    return wg_call_fits(call, &terms, &call->proposed, now);
}

/* Logs that the attempt continues a stream, inside this answer or of another request. */
static void wg_call_log_continuation(const wg_call* call, const wg_target* target, wg_time now) {
    bool inside = call->events > 0;
    if ((!inside && !call->resumes[0]) || !wg_entry_may_log(call->entry, now)) {
        return;
    }
    wg_log(WG_EVENT_STREAM_CONTINUED,
           "id=%s resumes=%s inside=%d events=%" G_GINT64_FORMAT
           " began_version=%s target=%u target_id=%s target_version=%s attempt=%d",
           call->id, call->resumes[0] ? call->resumes : "-", inside, call->events,
           call->version ? call->version : "?", target->number, target->id, target->version,
           call->attempts);
}

static void wg_call_send(wg_call* call, const wg_target* target, wg_time now) {
    wg_entry* e = call->entry;
    wg_retry_rules rules = wg_call_retry_rules(e);
    if (call->attempts == 0) {
        wg_retry_record_first_send(wg_call_retry_budget(call), &rules);
        if (wg_call_is_charged(call)) {
            wg_usage_record_served(e->usage, call->workspace->hash, wg_call_tokens(call));
        }
    }
    call->attempts++;
    call->sent_at = now;
    call->events_before = call->events;
    wg_call_log_continuation(call, target, now);
    if (call->selection.tried_num < WG_TRIED_MAX) {
        call->selection.tried[call->selection.tried_num++] = target->number;
    }
    wg_balance_begin(e->balance, now, &call->choice);
    if (call->has_prompt) {
        wg_balance_record_prompt(e->balance, now, target->number, &call->prompt);
    }
    wg_upstream* up = wg_upstream_open(e, target, wg_call_needs_fresh(call, call->attempts));
    if (!up) {
        wg_call_attempt_failed(call, NULL, "no-connection");
        return;
    }
    wg_call_set_timer(call, now);
    wg_upstream_send(up, call);
}

/* Excludes the proposed target for the remainder of this selection. */
static void wg_call_exclude_proposed(wg_call* call) {
    wg_balance_request* selection = &call->selection;
    if (selection->denied_num < WG_DENIED_MAX) {
        selection->denied[selection->denied_num++] = call->proposed.target;
    }
}

/* Whether the request waits, or was refused, because the registry may be outdated: targets may have
   left since. */
static bool wg_call_waits_for_targets(wg_call* call, wg_time now) {
    if (wg_entry_basis(call->entry, now) != WG_BASIS_NONE) {
        call->unsure_since = 0;
        return false;
    }
    call->unsure_since = call->unsure_since ? call->unsure_since : now;
    if (now - call->unsure_since >= WG_UNSURE_WAIT_MAX) {
        wg_call_refuse(call, call->may_have_run ? 502 : 503, "targets_unsure",
                       wg_call_retry_after(call));
        return true;
    }
    call->retry_at = now + WG_UNSURE_RETRY_INTERVAL;
    wg_call_set_timer(call, now);
    return true;
}

/* Sends the request to the proposed target, or selects another one if it no longer accepts work. */
static void wg_call_dispatch(wg_call* call, wg_time now) {
    wg_entry* e = call->entry;
    if (wg_entry_basis(e, now) == WG_BASIS_NONE) {
        wg_entry_admit_end(call, false);
        wg_call_waits_for_targets(call, now);
        return;
    }
    const wg_target* target = wg_registry_find(e->registry, call->proposed.target);
    if (!wg_call_may_send(call, target, now)) {
        wg_entry_admit_end(call, false);
        wg_call_exclude_proposed(call);
        wg_policy_terms terms = wg_call_terms(call);
        wg_call_choose(call, &terms, now);
        return;
    }
    if (wg_call_refuse_without_descriptor(call, target)) {
        return;
    }
    bool waited = call->queued;
    wg_call_unqueue(call);
    call->choice = call->proposed;
    wg_call_send(call, target, now);
    if (waited) {
        wg_call_queue_run(e); /* there may be capacity for the next request */
    }
}

/* The coordinator's figures replace this host's estimate. */
static void wg_call_apply_admit_answer(wg_call* call, const wg_admit_answer* answer) {
    wg_balance_choice* choice = &call->proposed;
    wg_balance_update_load(call->entry->balance, wg_now(), choice->target, answer->ahead,
                           answer->running);
    wg_balance_update_speed(call->entry->balance, wg_now(), choice->target, &answer->speed,
                            answer->late);
    choice->unread = answer->unread;
    choice->ahead = answer->ahead;
    choice->wait = answer->wait;
    choice->wait_ahead = answer->wait_ahead;
    choice->late = answer->late;
    call->expected = answer->wait;
    if (choice->is_third_home) {
        wg_balance_record_third_home(call->entry->balance,
                                     answer->held >= wg_prompt_shared(&call->prompt));
    }
}

/* Selects another target after a denial. A workspace above its fair share may only use one that can
   copy at least half of the shared prompt tokens instead of computing them again. */
static void wg_call_handle_denial(wg_call* call, const wg_admit_answer* answer, wg_time now) {
    wg_balance_request* selection = &call->selection;
    call->entry->counters.cold_denials +=
        wg_entry_cold_rate(call->entry, call->proposed.target) > 0;
    wg_policy_terms terms = wg_call_terms(call);
    wg_call_record_denial(call, &terms, answer, now);
    if (answer->held > selection->source_tokens) {
        selection->source = call->proposed.target;
        selection->source_tokens = answer->held;
    }
    wg_call_exclude_proposed(call);
    if (!wg_policy_may_spill_over(&terms) &&
        selection->source_tokens < wg_prompt_shared(&call->prompt) / 2) {
        wg_call_enqueue(call, now);
        return;
    }
    wg_call_choose(call, &terms, now);
}

void wg_call_admit_answered(wg_call* call, const wg_admit_answer* answer) {
    wg_time now = wg_now();
    bool waited = wg_call_end_hold(call, now);
    wg_call_apply_admit_answer(call, answer);
    if (answer->granted) {
        call->was_admitted = true;
        wg_call_dispatch(call, now);
    } else if (waited) {
        call->room_at = answer->room > 0 ? now + answer->room : call->room_at;
        wg_call_refuse(call, 503, "no_capacity", wg_call_retry_after(call));
    } else {
        wg_call_handle_denial(call, answer, now);
    }
}

/* Without a coordinator's answer this host decides alone, except for a cold target, whose request
   rate is limited across all hosts. */
void wg_call_admit_unanswered(wg_call* call, wg_time now) {
    wg_call_end_hold(call, now);
    if (wg_entry_cold_rate(call->entry, call->proposed.target) > 0) {
        wg_call_handle_denial(call, &(wg_admit_answer){0}, now);
    } else if (call->attempts == 0 && !wg_call_proposed_fits(call, now)) {
        wg_call_enqueue(call, now);
    } else {
        wg_call_dispatch(call, now);
    }
}

static void wg_call_request_admission(wg_call* call, const wg_policy_terms* terms, wg_time now) {
    bool first = call->attempts == 0;
    wg_admit_limits no_limits = {WG_TIME_NEVER, WG_TIME_NEVER, WG_TIME_NEVER, false};
    wg_admit_limits limits = first ? wg_policy_limits(terms, now) : no_limits;
    call->admit_requests++;
    call->admit_requests_total++;
    wg_entry_admit_request(call, &limits, 0, now);
}

/* Skips targets that were recently reported as too busy to meet the limits. */
static wg_balance_choice wg_call_next_choice(wg_call* call, const wg_policy_terms* terms,
                                             wg_time now) {
    wg_balance_request* selection = &call->selection;
    while (selection->denied_num < WG_CANDIDATES_MAX) {
        wg_balance_choice choice = wg_balance_choose(call->entry->balance, now, selection);
        if (!choice.target || !choice.is_fresh || call->attempts > 0 ||
            wg_call_fits(call, terms, &choice, now)) {
            return choice;
        }
        call->expected = choice.wait;
        wg_call_record_skipped(call, terms, &choice, now);
        selection->denied[selection->denied_num++] = choice.target;
    }
    return (wg_balance_choice){0};
}

/* Selects again with wider wait limits, as no target meets the normal ones. */
static void wg_call_relax(wg_call* call, const wg_policy_terms* terms, wg_time now) {
    wg_policy_terms relaxed = *terms;
    relaxed.relaxed = true;
    call->relaxed = true;
    call->admit_requests = 0;
    call->selection.denied_num = 0;
    wg_call_choose(call, &relaxed, now);
}

/* Selects a target, then sends, requests an admission from its coordinator, or queues. `terms`:
   determined once per event, as that counts the targets with room. */
static void wg_call_choose(wg_call* call, const wg_policy_terms* terms, wg_time now) {
    wg_balance_choice choice = {0};
    if (call->admit_requests < wg_policy_admission_requests_max(terms)) {
        choice = wg_call_next_choice(call, terms, now);
    }
    if (!choice.target && !call->relaxed && wg_policy_may_be_late(terms)) {
        wg_call_relax(call, terms, now);
        return;
    }
    if (!choice.target) {
        wg_call_enqueue(call, now);
        return;
    }
    call->expected = choice.wait;
    call->proposed = choice;
    const wg_target* target = wg_registry_find(call->entry->registry, choice.target);
    if (target && wg_call_refuse_without_descriptor(call, target)) {
        return; /* before an admission is requested */
    }
    if (call->has_prompt || wg_entry_cold_rate(call->entry, choice.target) > 0) {
        wg_call_request_admission(call, terms, now);
    } else {
        wg_call_dispatch(call, now);
    }
}

/* Refuses a stream that goes on if the version that began it is in doubt, or no target of it
   serves. Returns whether it did. */
static bool wg_call_refuse_without_version(wg_call* call) {
    if (!call->version) {
        return false;
    }
    wg_entry* e = call->entry;
    int status = call->may_have_run ? 502 : 503;
    if (!wg_call_origin_is_certain(call)) {
        e->counters.versions_doubted++;
        wg_call_refuse(call, status, "version_unknown", wg_call_retry_after(call));
        return true;
    }
    wg_version_presence presence =
        wg_balance_version_presence(e->balance, call->selection.service, call->version);
    if (presence == WG_VERSION_SERVES) {
        return false;
    }
    e->counters.versions_gone++;
    wg_call_refuse(call, status, "version_gone",
                   presence == WG_VERSION_AWAY ? wg_call_retry_after(call) : 0);
    return true;
}

void wg_call_try(wg_call* call) {
    wg_time now = wg_now();
    call->retry_at = 0;
    if (call->admit_ticket || call->origin_ticket || wg_call_waits_for_targets(call, now) ||
        wg_call_refuse_without_version(call)) {
        return;
    }
    if (wg_call_is_quarantined(call, NULL)) {
        wg_call_refuse_quarantined(call);
        return;
    }
    call->entry->counters.tries++;
    call->relaxed = false;
    wg_policy_terms terms = wg_call_terms(call);
    call->room = terms.has_room ? WG_ROOM_FREE : WG_ROOM_NONE;
    call->next_try_at = now + wg_policy_try_gap(&terms);
    call->limit = wg_policy_limit(&terms, now);
    if (wg_call_refuse_over_share(call, &terms, now)) {
        return;
    }
    if (!call->has_prompt) {
        call->selection.wait_max = wg_policy_plain_limit(&terms, now);
    } else {
        call->selection.wait_max = wg_policy_may_spill_over(&terms) ? call->limit : WG_TIME_NEVER;
    }
    call->selection.slots_share = wg_policy_slots_share(&terms);
    call->admit_requests = 0;
    call->selection.denied_num = 0;
    call->selection.source = 0;
    call->selection.source_tokens = 0;
    call->least_busy = (wg_balance_choice){0};
    call->denied_for_wait = false;
    call->room_at = 0;
    wg_call_choose(call, &terms, now);
}

/* An attempt that reached no target counts neither against the route's attempts nor against the
   fleet's retry budget. */
static bool wg_call_may_attempt(const wg_call* call, bool unsent) {
    if (unsent) {
        return call->unsent <= WG_UNSENT_ATTEMPTS_MAX;
    }
    wg_retry_rules rules = wg_call_retry_rules(call->entry);
    return call->attempts - call->unsent < call->route->attempts &&
           wg_retry_take(wg_call_retry_budget(call), &rules);
}

bool wg_call_schedule_retry(wg_call* call, bool unsent) {
    wg_entry* e = call->entry;
    wg_time now = wg_now();
    bool may = !call->may_have_run || wg_route_is_repeatable(call->route);
    if (!may || now + WG_RETRY_TIME_MIN >= call->expires_at || !wg_call_may_attempt(call, unsent)) {
        return false;
    }
    e->counters.retries++;
    e->counters.resumes += call->head_sent;
    call->retry_at = now + 1;
    wg_call_set_timer(call, now);
    return true;
}

/* Returns the oldest queued request of the workspace with the least usage that may be tried now. */
static wg_call* wg_call_queue_first(GQueue* queue) {
    wg_call* best = NULL;
    double best_usage = 0;
    wg_time now = wg_now();
    for (GList* at = queue->head; at; at = at->next) {
        wg_call* call = at->data;
        if (call->admit_ticket || now < call->next_try_at) {
            continue;
        }
        if (best && call->workspace == best->workspace) {
            continue; /* younger, with the same usage */
        }
        double usage = call->workspace ? wg_call_usage(call) : 0;
        if (!best || usage < best_usage) {
            best = call;
            best_usage = usage;
        }
    }
    return best;
}

void wg_call_queue_run(wg_entry* e) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, e->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GQueue* queue = value;
        wg_call* call = wg_call_queue_first(queue);
        if (call && !call->retry_at) {
            call->retry_at = wg_now(); /* runs from the event loop, to avoid recursion */
            wg_call_set_timer(call, call->retry_at);
        }
    }
}
