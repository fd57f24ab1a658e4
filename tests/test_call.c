/* test_call.c -- state machine of one request: verdicts, retries, claims, resumed streams, events
   of abandoned attempts */
#include "wg_call.h"
#include "wg_test.h"

static wgc_budget budget;
static wgc_call call;

static void begin(bool repeatable, bool keyed, bool resumable) {
    budget = (wgc_budget){.hundredths = 1000};
    wgc_begin(&call, &(wgc_desc){.deadline = 10 * SECOND,
                                 .repeatable = repeatable,
                                 .keyed = keyed,
                                 .resumable = resumable,
                                 .retry_percent = 20,
                                 .seed = 1,
                                 .budget = &budget});
}

static wgc_action step(wgc_event_type type) {
    return wgc_step(&call, SECOND, &(wgc_event){.type = type, .attempt = call.attempt});
}

START_TEST(refused_connection_is_not_run_and_retried) {
    begin(false, true, false);
    ck_assert_int_eq(step(WGC_EVENT_SLOT).type, WGC_ACTION_CLAIM);
    ck_assert_int_eq(step(WGC_EVENT_CLAIMED).type, WGC_ACTION_SEND);
    ck_assert_int_eq(step(WGC_EVENT_FAILED).type, WGC_ACTION_WAIT);
    ck_assert_int_eq(step(WGC_EVENT_WAITED).type, WGC_ACTION_QUEUE);
    ck_assert_int_eq(step(WGC_EVENT_SLOT).type, WGC_ACTION_SEND);
    ck_assert_int_eq(step(WGC_EVENT_WRITTEN).type, WGC_ACTION_DEFAULT);
    wgc_action end = step(WGC_EVENT_FAILED);
    ck_assert_int_eq(end.type, WGC_ACTION_ANSWER);
    ck_assert_int_eq(end.verdict, WG_VERDICT_MAY_HAVE_RUN);
    ck_assert(end.end_claim);
}
END_TEST

/* The error code tells a request that ran nowhere from one that a target may have run. */
START_TEST(call_without_a_target_in_time_ends_at_once) {
    begin(true, false, false);
    wgc_action end = step(WGC_EVENT_NO_TARGET);
    ck_assert_int_eq(end.type, WGC_ACTION_ANSWER);
    ck_assert_int_eq(end.code, WGC_CODE_NO_CAPACITY);
    ck_assert_int_eq(end.verdict, WG_VERDICT_NOT_RUN);
    begin(true, false, false);
    step(WGC_EVENT_SLOT);
    step(WGC_EVENT_WRITTEN);
    step(WGC_EVENT_NOT_RUN_REPORTED);
    step(WGC_EVENT_WAITED);
    end = step(WGC_EVENT_NO_TARGET);
    ck_assert_int_eq(end.code, WGC_CODE_NO_CAPACITY);
    ck_assert_int_eq(end.verdict, WG_VERDICT_NOT_RUN);
    begin(true, false, false);
    step(WGC_EVENT_SLOT);
    step(WGC_EVENT_WRITTEN);
    step(WGC_EVENT_FAILED);
    step(WGC_EVENT_WAITED);
    end = step(WGC_EVENT_NO_TARGET);
    ck_assert_int_eq(end.code, WGC_CODE_TARGET_FAILED);
    ck_assert_int_eq(end.verdict, WG_VERDICT_MAY_HAVE_RUN);
}
END_TEST

START_TEST(sent_byte_ends_retries_of_an_unrepeatable_request) {
    begin(false, false, false);
    step(WGC_EVENT_SLOT);
    step(WGC_EVENT_WRITTEN);
    wgc_action end = step(WGC_EVENT_FAILED);
    ck_assert_int_eq(end.type, WGC_ACTION_ANSWER);
    ck_assert_int_eq(end.verdict, WG_VERDICT_MAY_HAVE_RUN);
}
END_TEST

START_TEST(target_may_report_not_run) {
    begin(false, true, false);
    step(WGC_EVENT_SLOT);
    step(WGC_EVENT_CLAIMED);
    step(WGC_EVENT_WRITTEN);
    ck_assert_int_eq(step(WGC_EVENT_NOT_RUN_REPORTED).type, WGC_ACTION_WAIT);
    budget.hundredths = 0;
    step(WGC_EVENT_WAITED);
    step(WGC_EVENT_SLOT);
    step(WGC_EVENT_WRITTEN);
    wgc_action end = step(WGC_EVENT_NOT_RUN_REPORTED);
    ck_assert_int_eq(end.type, WGC_ACTION_ANSWER);
    ck_assert_int_eq(end.verdict, WG_VERDICT_NOT_RUN);
}
END_TEST

START_TEST(budget_bounds_retries) {
    uint64_t sends = 0;
    wgc_budget shared = {0};
    for (int i = 0; i < 1000; i++) {
        wgc_begin(&call, &(wgc_desc){.deadline = 10 * SECOND,
                                     .repeatable = true,
                                     .retry_percent = 20,
                                     .seed = (uint64_t)i,
                                     .budget = &shared});
        wgc_action action = step(WGC_EVENT_SLOT);
        while (action.type == WGC_ACTION_SEND) {
            sends++;
            action = step(WGC_EVENT_FAILED);
            if (action.type == WGC_ACTION_WAIT) {
                step(WGC_EVENT_WAITED);
                action = step(WGC_EVENT_SLOT);
            }
        }
    }
    ck_assert_uint_le(sends, 1200);
    ck_assert_uint_ge(sends, 1190);
}
END_TEST

START_TEST(events_of_an_abandoned_attempt_are_ignored) {
    begin(true, false, false);
    step(WGC_EVENT_SLOT);
    step(WGC_EVENT_WRITTEN);
    step(WGC_EVENT_FAILED);
    step(WGC_EVENT_WAITED);
    step(WGC_EVENT_SLOT);
    ck_assert_int_eq(call.attempt, 2);
    wgc_event stale = {.type = WGC_EVENT_COMPLETE, .attempt = 1};
    ck_assert_int_eq(wgc_step(&call, SECOND, &stale).type, WGC_ACTION_DEFAULT);
    stale.type = WGC_EVENT_HEAD;
    ck_assert_int_eq(wgc_step(&call, SECOND, &stale).type, WGC_ACTION_DEFAULT);
    ck_assert_int_eq(step(WGC_EVENT_COMPLETE).type, WGC_ACTION_FINISH);
    ck_assert_int_eq(step(WGC_EVENT_FAILED).type, WGC_ACTION_DEFAULT);
}
END_TEST

START_TEST(broken_stream_resumes_after_its_last_token) {
    begin(true, false, true);
    step(WGC_EVENT_SLOT);
    step(WGC_EVENT_WRITTEN);
    ck_assert_int_eq(step(WGC_EVENT_HEAD).type, WGC_ACTION_RELAY);
    wgc_event progress = {.type = WGC_EVENT_PROGRESS, .attempt = 1, .tokens = 17};
    wgc_step(&call, SECOND, &progress);
    ck_assert_int_eq(step(WGC_EVENT_FAILED).type, WGC_ACTION_WAIT);
    step(WGC_EVENT_WAITED);
    wgc_action send = step(WGC_EVENT_SLOT);
    ck_assert_int_eq(send.resume_from, 17);
    /* A broken stream that may not be resumed is aborted with verdict may-have-run. */
    begin(true, false, false);
    step(WGC_EVENT_SLOT);
    step(WGC_EVENT_WRITTEN);
    step(WGC_EVENT_HEAD);
    wgc_action aborted = step(WGC_EVENT_FAILED);
    ck_assert_int_eq(aborted.type, WGC_ACTION_ABORT);
    ck_assert_int_eq(aborted.verdict, WG_VERDICT_MAY_HAVE_RUN);
}
END_TEST

START_TEST(deadline_in_the_queue_is_not_run) {
    begin(false, true, false);
    wgc_action end = step(WGC_EVENT_DEADLINE);
    ck_assert_int_eq(end.type, WGC_ACTION_ANSWER);
    ck_assert_int_eq(end.verdict, WG_VERDICT_NOT_RUN);
    ck_assert_int_eq(wgc_code_status(end.code), 503);
    ck_assert(!end.end_claim);
}
END_TEST

START_TEST(claims_decide_who_runs) {
    begin(false, true, false);
    step(WGC_EVENT_SLOT);
    ck_assert_int_eq(step(WGC_EVENT_CLAIM_ENDED).type, WGC_ACTION_REPLAY);
    begin(false, true, false);
    step(WGC_EVENT_SLOT);
    wgc_action running = step(WGC_EVENT_CLAIM_RUNNING);
    ck_assert_int_eq(running.verdict, WG_VERDICT_MAY_HAVE_RUN);
    ck_assert_int_eq(wgc_code_status(running.code), 409);
    begin(false, true, false);
    step(WGC_EVENT_SLOT);
    wgc_action refused = step(WGC_EVENT_CLAIM_REFUSED);
    ck_assert_int_eq(refused.verdict, WG_VERDICT_NOT_RUN);
    /* The claim may have been recorded although its answer was lost, so it is ended. */
    ck_assert(refused.end_claim);
    ck_assert_int_eq(step(WGC_EVENT_CLAIMED).type, WGC_ACTION_DEFAULT);
}
END_TEST

START_TEST(caller_disconnect_cancels_the_attempt) {
    begin(true, false, false);
    step(WGC_EVENT_SLOT);
    step(WGC_EVENT_WRITTEN);
    wgc_action cancel = step(WGC_EVENT_CALLER_DISCONNECTED);
    ck_assert_int_eq(cancel.type, WGC_ACTION_CANCEL);
    ck_assert(cancel.abort_attempt);
}
END_TEST

/* Whatever the order of events, an unrepeatable request is not sent again after a byte of it was
   sent, and is then not reported as not run. */
START_TEST(random_event_orders_keep_verdicts_true) {
    for (uint64_t run = 0; run < 20000; run++) {
        bool repeatable = run % 3 == 0;
        begin(repeatable, run % 2 == 0, run % 5 == 0);
        int sends_after_byte = 0;
        bool byte_sent = false;
        bool reported_not_run = false;
        for (uint64_t i = 0; i < 30 && call.state != WGC_STATE_DONE; i++) {
            wgc_event_type type = (wgc_event_type)(wg_jitter(run, i) % (WGC_EVENT_NUM - 1) + 1);
            bool slot_due = call.state == WGC_STATE_QUEUED;
            if ((type == WGC_EVENT_SLOT) != slot_due && type == WGC_EVENT_SLOT) {
                continue;
            }
            wgc_event event = {.type = type, .attempt = call.attempt, .tokens = call.tokens + 1};
            bool running = call.state == WGC_STATE_RUNNING;
            if (type == WGC_EVENT_HEAD && !call.written) {
                continue; /* no answer before a byte of the request was sent */
            }
            if (type == WGC_EVENT_NOT_RUN_REPORTED && call.head_relayed) {
                continue;
            }
            byte_sent = byte_sent || (running && type == WGC_EVENT_WRITTEN);
            reported_not_run = running && type == WGC_EVENT_NOT_RUN_REPORTED;
            wgc_action action = wgc_step(&call, SECOND, &event);
            if (reported_not_run) {
                byte_sent = false;
            }
            sends_after_byte += action.type == WGC_ACTION_SEND && byte_sent;
            if (action.type == WGC_ACTION_ANSWER && action.verdict == WG_VERDICT_NOT_RUN) {
                ck_assert(!byte_sent || repeatable);
            }
        }
        ck_assert(repeatable || sends_after_byte == 0);
    }
}
END_TEST

WG_TEST_MAIN("call", refused_connection_is_not_run_and_retried,
             call_without_a_target_in_time_ends_at_once,
             sent_byte_ends_retries_of_an_unrepeatable_request, target_may_report_not_run,
             budget_bounds_retries, events_of_an_abandoned_attempt_are_ignored,
             broken_stream_resumes_after_its_last_token, deadline_in_the_queue_is_not_run,
             claims_decide_who_runs, caller_disconnect_cancels_the_attempt,
             random_event_orders_keep_verdicts_true)
