/* test_policy.c -- wait limits of requests by objective, fair share and confidence */
#include "wg_policy.h"

#include <math.h>

#include "wg_test.h"
#include "wg_usage.h"

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
/* Load: more is asked than targets process, and callers with an objective of 300 ms are refused
   after 33 ms. One that returns within the rest of its objective can still be served in time; after
   100 to 300 ms most cannot. */
START_TEST(refused_callers_return_within_their_objective) {
    enum {
        OBJECTIVE = 300 * MSEC,
        REFUSED_AFTER = 33 * MSEC,
        SERVICE_TIME = 86 * MSEC, /* until the first event, once admitted */
        CALLERS = 1000
    };
    int in_time = 0;
    int in_time_before = 0;
    wg_time earliest = OBJECTIVE;
    wg_time latest = 0;
    for (uint64_t i = 0; i < CALLERS; i++) {
        wg_time after = wg_policy_retry_within(7, i, OBJECTIVE - REFUSED_AFTER, 20);
        wg_time before = wg_policy_retry_within(7, i, OBJECTIVE - REFUSED_AFTER, 0);
        ck_assert_int_eq(before, wg_policy_retry_after(7, i));
        in_time += REFUSED_AFTER + after + SERVICE_TIME <= OBJECTIVE;
        in_time_before += REFUSED_AFTER + before + SERVICE_TIME <= OBJECTIVE;
        earliest = MIN(earliest, after);
        latest = MAX(latest, after);
    }
    ck_assert_int_eq(in_time, CALLERS);
    ck_assert_int_lt(in_time_before, CALLERS / 2);
    /* They do not return all at once. */
    ck_assert_int_gt(latest, 2 * earliest);
}
END_TEST

/* Guards against a caller that is told to return at once, again and again, after its objective. */
START_TEST(late_callers_return_after_the_usual_time) {
    ck_assert_int_eq(wg_policy_retry_within(7, 1, 0, 20), wg_policy_retry_after(7, 1));
    ck_assert_int_eq(wg_policy_retry_within(7, 1, -SECOND, 20), wg_policy_retry_after(7, 1));
    ck_assert_int_eq(wg_policy_retry_within(7, 1, 20 * MSEC, 20), wg_policy_retry_after(7, 1));
    ck_assert_int_ge(wg_policy_retry_within(7, 1, 25 * MSEC, 20), MSEC);
}
END_TEST

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

/* ---- time until a workspace far above its share may be served again ------------------------ */

enum {
    OTHERS = 4,               /* workspaces beside the one that yields */
    OTHERS_USAGE = 1000,      /* of each, at first */
    LOAD_STEP = 10 * MSEC,    /* of the simulated load */
    DEMAND_FACTOR = 10,       /* all ask for more than they get */
    YIELD_MARGIN = 30 * MSEC, /* three steps */
    YIELD_MARGIN_PERCENT = 5
};

/* Usage of one workspace, `most`, and of others that are served on, with the levels that follow. */
typedef struct {
    double most;
    double other;
    bool others_take_over; /* the others are served what `most` leaves; else the same as before */
    wg_fair_levels levels;
} load;

static void load_set_levels(load* l) {
    double demand[OTHERS + 1];
    for (int i = 0; i <= OTHERS; i++) {
        demand[i] = DEMAND_FACTOR * OTHERS_USAGE;
    }
    l->levels.served = wg_fair_level(demand, OTHERS + 1, l->most + OTHERS * l->other);
}

static load load_begin(double ratio, bool others_take_over) {
    load l = {
        .most = ratio * OTHERS_USAGE, .other = OTHERS_USAGE, .others_take_over = others_take_over};
    load_set_levels(&l);
    return l;
}

/* Usage that decays is replaced by what is served in the same time. */
static void load_step(load* l) {
    double lost = l->most * (1 - exp2(-(double)LOAD_STEP / WG_USAGE_HALF_LIFE));
    l->most -= lost;
    l->other += l->others_take_over ? lost / OTHERS : 0;
    load_set_levels(l);
}

static wg_policy_terms load_terms(const load* l) {
    wg_policy_terms t = terms(l->most);
    t.levels = &l->levels;
    return t;
}

/* Time until targets may be asked for requests of `most`, which is not served until then. */
static wg_time load_yield_time(load* l) {
    wg_time time = 0;
    wg_policy_terms t = load_terms(l);
    while (wg_policy_admission_requests_max(&t) == 0) {
        load_step(l);
        time += LOAD_STEP;
        t = load_terms(l);
    }
    return time;
}

/* Guards against callers that return to be refused again, or that stay away although they could be
   served: one workspace at 1.3 to 3 times the others, which are served what it leaves. */
START_TEST(yield_time_is_the_time_until_targets_may_be_asked) {
    for (int percent = 130; percent <= 300; percent += 5) {
        load l = load_begin(percent / 100.0, true);
        wg_policy_terms t = load_terms(&l);
        wg_time told = wg_policy_yield_time(&t);
        wg_time real = load_yield_time(&l);
        ck_assert_int_le(ABS(told - real), YIELD_MARGIN + real * YIELD_MARGIN_PERCENT / 100);
    }
}
END_TEST

/* If the others do not take what the workspace leaves, the level falls with its usage. The time is
   then too short by at most 34% of the real one, never too long. */
START_TEST(yield_time_is_never_too_long_while_others_are_served) {
    for (int percent = 130; percent <= 300; percent += 5) {
        load l = load_begin(percent / 100.0, false);
        wg_policy_terms t = load_terms(&l);
        wg_time told = wg_policy_yield_time(&t);
        wg_time real = load_yield_time(&l);
        ck_assert_int_le(told, real + YIELD_MARGIN);
        ck_assert_int_ge(told, real * 66 / 100 - YIELD_MARGIN);
    }
}
END_TEST

/* Guards against a time for requests that may be sent now, and against one that is not finite. */
START_TEST(only_a_workspace_far_above_its_share_has_a_yield_time) {
    wg_policy_terms t = terms(1290);
    ck_assert_int_eq(wg_policy_yield_time(&t), 0);
    t.used = 1300;
    ck_assert_int_gt(wg_policy_yield_time(&t), 0);
    ck_assert_int_lt(wg_policy_yield_time(&t), MSEC);
    t.used = 2 * 1300;
    ck_assert_int_eq(wg_policy_yield_time(&t) / MSEC, WG_USAGE_HALF_LIFE / MSEC);
    t.has_room = true;
    ck_assert_int_eq(wg_policy_yield_time(&t), 0);
    t.has_room = false;
    t.sent_before = true;
    ck_assert_int_eq(wg_policy_yield_time(&t), 0);
    t.sent_before = false;
    t.counts = false;
    ck_assert_int_eq(wg_policy_yield_time(&t), 0);
    wg_fair_levels unknown = {0};
    t.counts = true;
    t.levels = &unknown;
    ck_assert_int_eq(wg_policy_yield_time(&t), 0);
    wg_fair_levels tiny = {.served = 5e-324};
    t.levels = &tiny;
    ck_assert_int_eq(wg_policy_yield_time(&t), 60 * SECOND);
}
END_TEST

/* Guards against callers that return together, before the time, or later than they can be served.
 */
START_TEST(retry_after_yield_is_spread_and_honoured) {
    wg_time min = WG_TIME_NEVER;
    wg_time max = 0;
    wg_time min_honoured = WG_TIME_NEVER;
    wg_time max_honoured = 0;
    for (uint64_t i = 0; i < 200; i++) {
        wg_time after = wg_policy_retry_after_yield(7, i, 1200 * MSEC, 30 * SECOND);
        min = MIN(min, after);
        max = MAX(max, after);
        wg_time honoured = wg_policy_retry_after_yield(7, i, 1200 * MSEC, 3 * SECOND);
        min_honoured = MIN(min_honoured, honoured);
        max_honoured = MAX(max_honoured, honoured);
        ck_assert_int_eq(wg_policy_retry_after_yield(7, i, 1200 * MSEC, -SECOND), 0);
        ck_assert_int_le(wg_policy_retry_after_yield(7, i, WG_TIME_NEVER, 3 * SECOND), SECOND);
        ck_assert_int_ge(wg_policy_retry_after_yield(7, i, WG_TIME_NEVER, 3 * SECOND), SECOND / 2);
    }
    ck_assert_int_ge(min, 1200 * MSEC);
    ck_assert_int_le(max, 1600 * MSEC);
    ck_assert_int_ge(max - min, 300 * MSEC);
    ck_assert_int_ge(min_honoured, 800 * MSEC);
    ck_assert_int_le(max_honoured, SECOND);
    ck_assert_int_ge(max_honoured - min_honoured, 150 * MSEC);
}
END_TEST

WG_TEST_MAIN("policy", no_workspace_yields_while_there_is_room, tightest_objective_limits_all_waits,
             own_objective_limits_the_wait_with_limits_by_route, limits_by_route_scale_as_others_do,
             limits_by_route_concern_prompts_only, workspaces_above_the_level_wait_less,
             retry_has_all_admission_requests, workspaces_below_their_share_may_be_late,
             uncharged_requests_have_full_wait_tolerance,
             refusal_comes_within_a_quarter_of_the_objective,
             refused_callers_return_within_their_objective,
             late_callers_return_after_the_usual_time,
             yield_time_is_the_time_until_targets_may_be_asked,
             yield_time_is_never_too_long_while_others_are_served,
             only_a_workspace_far_above_its_share_has_a_yield_time,
             retry_after_yield_is_spread_and_honoured, retry_after_is_past_the_backoff_and_spread,
             jitter_of_host_and_callers_does_not_add_up)
