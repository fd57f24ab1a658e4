/* test_policy.c -- wait limits of requests by objective, fair share and confidence */
#include "wg_policy.h"
#include "wg_test.h"

static const wg_fair_levels levels = {.fair_share = 1000, .served = 1000};
static const wg_fair_margin full_confidence = {.value = 1};

static wg_policy_terms terms(double used) {
    return (wg_policy_terms){.counts = true,
                             .used = used,
                             .levels = &levels,
                             .margin = &full_confidence,
                             .has_prompt = true,
                             .objective = 800 * MSEC,
                             .tightest_objective = 400 * MSEC};
}

START_TEST(tightest_objective_limits_all_waits) {
    wg_policy_terms t = terms(0);
    ck_assert_int_eq(wg_policy_limit(&t, 0), 380 * MSEC);
    ck_assert_int_eq(wg_policy_limit(&t, 600 * MSEC), 190 * MSEC); /* from the remaining 200 ms */
    wg_fair_margin low_confidence = {.value = 0.12};
    t.margin = &low_confidence;
    ck_assert_int_lt(wg_policy_limit(&t, 0), 250 * MSEC);
    ck_assert_int_gt(wg_policy_limit(&t, 0), 220 * MSEC);
}
END_TEST

/* With limits by route, the class with the longer objective may take that objective; its part of
   the queue stays within the tightest one, so that the other class is still in time behind it. */
START_TEST(own_objective_limits_the_wait_with_limits_by_route) {
    wg_policy_terms loose = terms(0);
    wg_policy_terms tight = terms(0);
    loose.route_limits = true;
    tight.route_limits = true;
    tight.objective = tight.tightest_objective;
    ck_assert_int_eq(wg_policy_limit(&loose, 0), 760 * MSEC);
    ck_assert_int_eq(wg_policy_limits(&loose, 0).total, 760 * MSEC);
    ck_assert_int_eq(wg_policy_limits(&loose, 0).ahead, 380 * MSEC);
    ck_assert_int_eq(wg_policy_limits(&tight, 0).total, 380 * MSEC);
    ck_assert_int_eq(wg_policy_limits(&tight, 0).ahead, 380 * MSEC);
    /* A request that has waited has less left, for both parts. */
    ck_assert_int_eq(wg_policy_limits(&loose, 200 * MSEC).total, 570 * MSEC);
    ck_assert_int_eq(wg_policy_limits(&loose, 200 * MSEC).ahead, 380 * MSEC);
    ck_assert_int_eq(wg_policy_limits(&loose, 600 * MSEC).total, 190 * MSEC);
    ck_assert_int_eq(wg_policy_limits(&loose, 600 * MSEC).ahead, 190 * MSEC);
    ck_assert_int_eq(wg_policy_limits(&tight, 200 * MSEC).ahead, 190 * MSEC);
}
END_TEST

/* Guards against limits by route that bypass confidence, tolerance or the part for large prompts.
 */
START_TEST(limits_by_route_scale_as_others_do) {
    wg_policy_terms one = terms(0);
    wg_policy_terms each = terms(0);
    each.route_limits = true;
    wg_fair_margin low_confidence = {.value = 0.12};
    one.margin = each.margin = &low_confidence;
    ck_assert_int_eq(wg_policy_limits(&each, 0).total, 2 * wg_policy_limits(&one, 0).total);
    ck_assert_int_eq(wg_policy_limits(&each, 0).ahead, wg_policy_limits(&one, 0).ahead);
    one.used = each.used = 1100; /* above the level */
    ck_assert_int_lt(wg_policy_limits(&each, 0).ahead, wg_policy_limits(&each, 0).total / 4);
    ck_assert_int_eq(wg_policy_limits(&each, 0).ahead, wg_policy_limits(&one, 0).ahead);
    ck_assert_int_eq(wg_policy_limits(&each, 0).ahead_large, wg_policy_limits(&one, 0).ahead_large);
    ck_assert(wg_policy_limits(&each, 0).counts_missing);
    one.used = each.used = 1400; /* far above the level */
    ck_assert_int_eq(wg_policy_limits(&each, 0).ahead, 0);
    one.used = each.used = 400;
    one.relaxed = each.relaxed = true;
    ck_assert_int_eq(wg_policy_limits(&each, 0).total, 2 * wg_policy_limits(&one, 0).total);
    ck_assert_int_eq(wg_policy_limits(&each, 0).ahead, wg_policy_limits(&one, 0).ahead);
}
END_TEST

/* A request without a prompt reads nothing at the target; its limits stay. */
START_TEST(limits_by_route_concern_prompts_only) {
    wg_policy_terms one = terms(0);
    one.has_prompt = false;
    wg_policy_terms each = one;
    each.route_limits = true;
    ck_assert_int_eq(wg_policy_limit(&each, 0), wg_policy_limit(&one, 0));
    ck_assert_int_eq(wg_policy_limits(&each, 0).total, wg_policy_limits(&one, 0).total);
    ck_assert_int_eq(wg_policy_plain_limit(&each, 0), wg_policy_plain_limit(&one, 0));
}
END_TEST

/* Wait tolerance is full below the level, reduced above it, none far above it. */
START_TEST(workspaces_above_the_level_wait_less) {
    wg_policy_terms below = terms(900);
    wg_policy_terms above = terms(1100);
    wg_policy_terms far_above = terms(1400);
    wg_admit_limits b = wg_policy_limits(&below, 0);
    wg_admit_limits a = wg_policy_limits(&above, 0);
    wg_admit_limits f = wg_policy_limits(&far_above, 0);
    ck_assert_int_eq(b.ahead, b.total);
    ck_assert_int_lt(a.ahead, b.ahead);
    ck_assert_int_eq(f.ahead, 0);
    ck_assert(!b.counts_missing);
    ck_assert(a.counts_missing);
    ck_assert(wg_policy_may_spill_over(&below));
    ck_assert(!wg_policy_may_spill_over(&above));
    ck_assert_int_eq(wg_policy_admission_requests_max(&below), 3);
    ck_assert_int_eq(wg_policy_admission_requests_max(&above), 2);
    ck_assert_int_eq(wg_policy_admission_requests_max(&far_above), 0);
    ck_assert_int_eq(wg_policy_try_gap(&below), 0);
    ck_assert_int_gt(wg_policy_try_gap(&above), 0);
    ck_assert_double_eq(wg_policy_slots_share(&below), 1);
    ck_assert(wg_policy_slots_share(&above) < 1);
    ck_assert(wg_policy_slots_share(&above) > wg_policy_slots_share(&far_above));
}
END_TEST

/* While many targets have nothing to do nobody waits for what a workspace uses, however much that
   is, and shared parts that no target holds yet have to be computed by one. */
START_TEST(no_workspace_yields_while_there_is_room) {
    wg_policy_terms t = terms(5000);
    t.has_room = true;
    wg_admit_limits limits = wg_policy_limits(&t, 0);
    ck_assert_int_eq(limits.ahead, limits.total);
    ck_assert(!limits.counts_missing);
    ck_assert(wg_policy_may_spill_over(&t));
    ck_assert_int_eq(wg_policy_admission_requests_max(&t), 3);
    ck_assert_double_eq(wg_policy_slots_share(&t), 1);
}
END_TEST

/* A retry may request the maximum number of admissions, whatever the usage of its workspace. */
START_TEST(retry_has_all_admission_requests) {
    wg_policy_terms far_above = terms(5000);
    far_above.sent_before = true;
    ck_assert_int_eq(wg_policy_admission_requests_max(&far_above), 3);
}
END_TEST

/* Requests of workspaces far below their fair share may be late instead of refused; relaxed limits
   double the time that they may take. */
START_TEST(workspaces_below_their_share_may_be_late) {
    wg_policy_terms t = terms(400);
    ck_assert(wg_policy_may_be_late(&t));
    wg_time before = wg_policy_limits(&t, 0).total;
    t.relaxed = true;
    ck_assert_int_eq(wg_policy_limits(&t, 0).total, 2 * before);
    t.used = 600;
    ck_assert(!wg_policy_may_be_late(&t));
}
END_TEST

/* A request that counts for no workspace has full wait tolerance but does not spill over. */
START_TEST(uncharged_requests_have_full_wait_tolerance) {
    wg_policy_terms t = terms(5000);
    t.counts = false;
    ck_assert_int_eq(wg_policy_limits(&t, 0).ahead, wg_policy_limits(&t, 0).total);
    ck_assert(!wg_policy_may_spill_over(&t));
    ck_assert(!wg_policy_may_be_late(&t));
    ck_assert_double_eq(wg_policy_slots_share(&t), 1);
}
END_TEST

START_TEST(refusal_comes_within_a_quarter_of_the_objective) {
    ck_assert_int_eq(wg_policy_queue_time_max(1000 * MSEC, WG_TIME_NEVER), 110 * MSEC);
    ck_assert_int_eq(wg_policy_queue_time_max(10 * MSEC, WG_TIME_NEVER), 5 * MSEC);
    /* The shorter one of the policy's time and the workspace's applies, below the minimum too. */
    ck_assert_int_eq(wg_policy_queue_time_max(1000 * MSEC, 40 * MSEC), 40 * MSEC);
    ck_assert_int_eq(wg_policy_queue_time_max(1000 * MSEC, 600 * SECOND), 110 * MSEC);
    ck_assert_int_eq(wg_policy_queue_time_max(10 * MSEC, 0), 0);
}
END_TEST

/* Retry-After is past the backoff, spread at random, and at most a third of the caller's time. */
START_TEST(retry_after_is_past_the_backoff_and_spread) {
    wg_time min = WG_TIME_NEVER;
    wg_time max = 0;
    for (uint64_t i = 0; i < 200; i++) {
        wg_time after = wg_policy_retry_after_backoff(7, i, 2 * SECOND, 30 * SECOND);
        min = MIN(min, after);
        max = MAX(max, after);
        ck_assert_int_gt(after, 2 * SECOND);
        ck_assert_int_le(wg_policy_retry_after_backoff(7, i, 9 * SECOND, 3 * SECOND), SECOND);
        ck_assert_int_ge(wg_policy_retry_after_backoff(7, i, 9 * SECOND, 3 * SECOND), SECOND / 2);
        ck_assert_int_eq(wg_policy_retry_after_backoff(7, i, 9 * SECOND, -SECOND), 0);
    }
    ck_assert_int_ge(max - min, 150 * MSEC);
}
END_TEST

/* The jitter of the host's backoff (here 0.37 of 3 s) and that of the callers do not add up:
   callers return after the host, spread, and at most a tenth of a second later. */
START_TEST(jitter_of_host_and_callers_does_not_add_up) {
    const wg_time requested = 3 * SECOND;
    const wg_time host = 3370 * MSEC;
    wg_time min = WG_TIME_NEVER;
    wg_time max = 0;
    for (uint64_t i = 0; i < 200; i++) {
        wg_time after = wg_policy_retry_after_backoff(7, i, requested, 30 * SECOND);
        wg_time moved = wg_policy_return_after_host(after, requested, host);
        min = MIN(min, moved);
        max = MAX(max, moved);
        ck_assert_int_eq(wg_policy_return_after_host(after, requested, requested), after);
        ck_assert_int_eq(wg_policy_return_after_host(SECOND, requested, host), SECOND);
    }
    ck_assert_int_gt(min, host);
    ck_assert_int_le(max, host + 100 * MSEC);
    ck_assert_int_ge(max - min, 50 * MSEC);
}
END_TEST

WG_TEST_MAIN("policy", no_workspace_yields_while_there_is_room, tightest_objective_limits_all_waits,
             own_objective_limits_the_wait_with_limits_by_route, limits_by_route_scale_as_others_do,
             limits_by_route_concern_prompts_only, workspaces_above_the_level_wait_less,
             retry_has_all_admission_requests, workspaces_below_their_share_may_be_late,
             uncharged_requests_have_full_wait_tolerance,
             refusal_comes_within_a_quarter_of_the_objective,
             retry_after_is_past_the_backoff_and_spread, jitter_of_host_and_callers_does_not_add_up)
