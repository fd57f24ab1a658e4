/* wg_call.c -- see wg_call.h */
#include "wg_call.h"

/* ---- helpers ------------------------------------------------------------------------------ */

static wgc_action _wgc_no_action(void) {
    return (wgc_action){.type = WGC_ACTION_DEFAULT};
}

static bool _wgc_attempt_running(const wgc_call* c) {
    return c->state == WGC_STATE_RUNNING;
}

/* Verdict when no complete answer will be received. */
static wg_verdict _wgc_failed_verdict(const wgc_call* c) {
    bool this_may_have_run = c->written && !c->reported_not_run;
    return this_may_have_run || c->verdict == WG_VERDICT_MAY_HAVE_RUN ? WG_VERDICT_MAY_HAVE_RUN
                                                                      : WG_VERDICT_NOT_RUN;
}

static wgc_action _wgc_end(wgc_call* c, wgc_action_type type, wgc_code code) {
    wgc_action action = {.type = type, .code = code, .attempt = c->attempt};
    action.verdict = _wgc_failed_verdict(c);
    action.abort_attempt = _wgc_attempt_running(c);
    /* A claim in progress may still be granted later, so it has to be ended too. */
    action.end_claim = c->claimed || c->state == WGC_STATE_CLAIMING;
    c->state = WGC_STATE_DONE;
    c->verdict = action.verdict;
    WG_ASSERT(!(action.verdict == WG_VERDICT_NOT_RUN && c->head_relayed && c->written));
    return action;
}

static wgc_action _wgc_fail(wgc_call* c, wgc_code code) {
    return _wgc_end(c, c->head_relayed ? WGC_ACTION_ABORT : WGC_ACTION_ANSWER, code);
}

static bool _wgc_needs_claim(const wgc_call* c) {
    return !c->desc.repeatable && c->desc.keyed && !c->claimed;
}

static wgc_action _wgc_send(wgc_call* c) {
    WG_ASSERT(c->desc.repeatable || c->verdict != WG_VERDICT_MAY_HAVE_RUN);
    WG_ASSERT(!_wgc_needs_claim(c));
    c->attempt++;
    c->state = WGC_STATE_RUNNING;
    c->written = false;
    c->reported_not_run = false;
    if (c->attempt == 1) {
        c->desc.budget->first_attempts++;
        int64_t max = WGC_BUDGET_MAX * 100;
        c->desc.budget->hundredths = MIN(c->desc.budget->hundredths + c->desc.retry_percent, max);
    }
    return (wgc_action){.type = WGC_ACTION_SEND, .attempt = c->attempt, .resume_from = c->tokens};
}

static bool _wgc_may_retry(const wgc_call* c) {
    if (c->attempt >= WGC_ATTEMPTS_MAX) {
        return false;
    }
    if (c->head_relayed) {
        return c->desc.resumable;
    }
    bool not_run = !c->written || c->reported_not_run;
    return not_run || c->desc.repeatable;
}

static bool _wgc_spend_retry(wgc_budget* budget) {
    if (budget->hundredths < 100) {
        budget->refused++;
        return false;
    }
    budget->hundredths -= 100;
    budget->retries++;
    return true;
}

static wgc_action _wgc_after_failure(wgc_call* c, wg_time now) {
    wg_time max_wait = MIN(WGC_RETRY_WAIT_MIN << (2 * (c->attempt - 1)), WGC_RETRY_WAIT_MAX);
    wg_time wait = wg_jitter_range(c->desc.seed, (uint64_t)c->attempt, max_wait / 2, max_wait);
    bool retry = _wgc_may_retry(c) && now + wait < c->desc.deadline;
    if (!retry || !_wgc_spend_retry(c->desc.budget)) {
        c->state = WGC_STATE_WAITING; /* the attempt has ended, so it needs no abort */
        return _wgc_fail(c, WGC_CODE_TARGET_FAILED);
    }
    c->verdict = _wgc_failed_verdict(c);
    c->state = WGC_STATE_WAITING;
    return (wgc_action){.type = WGC_ACTION_WAIT, .wait = wait, .attempt = c->attempt};
}

static wgc_action _wgc_on_attempt(wgc_call* c, wg_time now, const wgc_event* event) {
    if (c->state != WGC_STATE_RUNNING || event->attempt != c->attempt) {
        return _wgc_no_action(); /* event of a previous attempt */
    }
    switch (event->type) {
    case WGC_EVENT_WRITTEN:
        c->written = true;
        return _wgc_no_action();
    case WGC_EVENT_HEAD:
        c->head_relayed = true;
        return (wgc_action){.type = WGC_ACTION_RELAY, .attempt = c->attempt};
    case WGC_EVENT_PROGRESS:
        WG_ASSERT(event->tokens >= c->tokens);
        c->tokens = event->tokens;
        return _wgc_no_action();
    case WGC_EVENT_COMPLETE:
        c->state = WGC_STATE_DONE;
        c->verdict = WG_VERDICT_RAN;
        return (wgc_action){.type = WGC_ACTION_FINISH,
                            .verdict = WG_VERDICT_RAN,
                            .attempt = c->attempt,
                            .end_claim = c->claimed};
    case WGC_EVENT_NOT_RUN_REPORTED:
        c->reported_not_run = true;
        return _wgc_after_failure(c, now);
    default:
        return _wgc_after_failure(c, now);
    }
}

static wgc_action _wgc_on_claim(wgc_call* c, wgc_event_type type) {
    if (c->state != WGC_STATE_CLAIMING) {
        return _wgc_no_action();
    }
    switch (type) {
    case WGC_EVENT_CLAIMED:
        c->claimed = true;
        return _wgc_send(c);
    case WGC_EVENT_CLAIM_ENDED:
        c->state = WGC_STATE_DONE;
        return (wgc_action){.type = WGC_ACTION_REPLAY};
    case WGC_EVENT_CLAIM_RUNNING:
        c->state = WGC_STATE_DONE;
        c->verdict = WG_VERDICT_MAY_HAVE_RUN;
        return (wgc_action){.type = WGC_ACTION_ANSWER,
                            .code = WGC_CODE_CLAIM_RUNNING,
                            .verdict = WG_VERDICT_MAY_HAVE_RUN};
    default:
        return _wgc_fail(c, WGC_CODE_CLAIM_UNAVAILABLE);
    }
}

/* ---- public functions --------------------------------------------------------------------- */

void wgc_begin(wgc_call* call, const wgc_desc* desc) {
    WG_ASSERT(desc->budget != NULL);
    *call = (wgc_call){.desc = *desc, .state = WGC_STATE_QUEUED};
}

wgc_action wgc_step(wgc_call* c, wg_time now, const wgc_event* event) {
    if (c->state == WGC_STATE_DONE) {
        return _wgc_no_action();
    }
    switch (event->type) {
    case WGC_EVENT_SLOT:
        WG_ASSERT(c->state == WGC_STATE_QUEUED);
        if (!_wgc_needs_claim(c)) {
            return _wgc_send(c);
        }
        c->state = WGC_STATE_CLAIMING;
        return (wgc_action){.type = WGC_ACTION_CLAIM};
    case WGC_EVENT_CLAIMED:
    case WGC_EVENT_CLAIM_ENDED:
    case WGC_EVENT_CLAIM_RUNNING:
    case WGC_EVENT_CLAIM_REFUSED:
        return _wgc_on_claim(c, event->type);
    case WGC_EVENT_WAITED:
        if (c->state != WGC_STATE_WAITING) {
            return _wgc_no_action();
        }
        c->state = WGC_STATE_QUEUED;
        return (wgc_action){.type = WGC_ACTION_QUEUE};
    case WGC_EVENT_DEADLINE: {
        bool never_sent = c->attempt == 0;
        return _wgc_fail(c, never_sent ? WGC_CODE_NO_CAPACITY : WGC_CODE_DEADLINE);
    }
    case WGC_EVENT_NO_TARGET: {
        bool not_run = c->attempt == 0 || c->verdict == WG_VERDICT_NOT_RUN;
        return _wgc_fail(c, not_run ? WGC_CODE_NO_CAPACITY : WGC_CODE_TARGET_FAILED);
    }
    case WGC_EVENT_CALLER_DISCONNECTED:
        return _wgc_end(c, WGC_ACTION_CANCEL, WGC_CODE_DEFAULT);
    default:
        return _wgc_on_attempt(c, now, event);
    }
}

const char* wgc_code_name(wgc_code code) {
    static const char* names[WGC_CODE_NUM] = {
        "", "target_failed", "deadline", "no_capacity", "claim_unavailable", "claim_running"};
    WG_ASSERT(code >= 0 && code < WGC_CODE_NUM);
    return names[code];
}

int wgc_code_status(wgc_code code) {
    switch (code) {
    case WGC_CODE_TARGET_FAILED:
        return 502;
    case WGC_CODE_DEADLINE:
        return 504;
    case WGC_CODE_CLAIM_RUNNING:
        return 409;
    default:
        return 503;
    }
}
