/* test_share.c -- the leader's accounts and slot leases, pacing of reports, sample traces */
#include "sim_fleet.h"
#include "wg_test.h"

enum {
    SERVICE = 1,
    TARGET = 10,
    TARGETS = 4,
    SLOTS = 8
};

static wgf_share* share_with_targets(void) {
    wgf_share* s = wgf_setup(&(wgf_desc){.now = SECOND,
                                         .routers_max = 8,
                                         .targets_max = 16,
                                         .flows_max = 64,
                                         .accounts_max = 256},
                             NULL);
    wgf_config_begin(s);
    wgf_config_service(s, SERVICE, 0, 100);
    for (uint32_t t = 0; t < TARGETS; t++) {
        wgf_config_target(s, TARGET + t, SERVICE, SLOTS, false, "dc");
    }
    wgf_config_end(s);
    return s;
}

static void report(wgf_share* s, wg_time now, wgf_router r, bool full, uint64_t applied,
                   uint32_t workspace, uint64_t served, uint32_t queued) {
    wgf_account account = {
        .service = SERVICE, .workspace = workspace, .served = served, .queued = queued};
    wgf_report(s, now, r,
               &(wgf_report_desc){
                   .full = full, .applied = applied, .accounts = &account, .accounts_num = 1});
}

static int granted(const wgf_orders* orders) {
    int sum = 0;
    for (int i = 0; i < orders->grants_num; i++) {
        sum += (int)orders->grants[i].add;
    }
    return sum;
}

START_TEST(repeated_and_late_reports_count_once) {
    wgf_share* s = share_with_targets();
    wgf_router r = wgf_router_up(s, SECOND, "r1", 5, "dc");
    report(s, SECOND, r, true, 0, 1, 0, 1);
    report(s, SECOND, r, false, 0, 1, 500, 1);
    uint64_t counted = wgf_query_virtual_time(s, SERVICE, 1);
    ck_assert_uint_eq(counted, 500ull * WGF_SCALE / 100);
    report(s, SECOND, r, false, 0, 1, 500, 1);
    report(s, SECOND, r, false, 0, 1, 300, 1);
    ck_assert_uint_eq(wgf_query_virtual_time(s, SERVICE, 1), counted);
    /* The same incarnation repeats its totals on a new link. */
    r = wgf_router_up(s, SECOND, "r1", 5, "dc");
    report(s, SECOND, r, true, 0, 1, 500, 1);
    ck_assert_uint_eq(wgf_query_virtual_time(s, SERVICE, 1), counted);
    /* A new incarnation counts from zero; the virtual time does not decrease. */
    r = wgf_router_up(s, SECOND, "r1", 6, "dc");
    report(s, SECOND, r, true, 0, 1, 0, 1);
    report(s, SECOND, r, false, 0, 1, 40, 1);
    ck_assert_uint_eq(wgf_query_virtual_time(s, SERVICE, 1), 540ull * WGF_SCALE / 100);
    wgf_shutdown(s);
}
END_TEST

START_TEST(new_leader_grants_only_after_old_leases_ended) {
    wgf_share* s = share_with_targets();
    wgf_router r = wgf_router_up(s, SECOND, "r1", 5, "dc");
    static wgf_orders orders;
    report(s, SECOND, r, true, 0, 1, 0, 9);
    wgf_plan(s, SECOND + MSEC);
    wgf_take_orders(s, r, 1, &orders);
    ck_assert_int_eq(granted(&orders), 0);
    report(s, 3 * SECOND, r, false, 0, 1, 0, 9);
    wgf_plan(s, 3 * SECOND);
    ck_assert(wgf_take_orders(s, r, 2, &orders));
    ck_assert_int_ge(granted(&orders), 9);
    wgf_shutdown(s);
}
END_TEST

START_TEST(unresponsive_router_loses_its_slots_after_the_lease) {
    wgf_share* s = share_with_targets();
    static wgf_orders orders;
    wgf_router a = wgf_router_up(s, SECOND, "a", 1, "dc");
    wgf_router b = wgf_router_up(s, SECOND, "b", 2, "dc");
    wg_time now = 4 * SECOND;
    report(s, now, a, true, 0, 1, 0, 100);
    report(s, now, b, true, 0, 2, 0, 0);
    wgf_plan(s, now);
    wgf_take_orders(s, a, 1, &orders);
    ck_assert_int_eq(granted(&orders), TARGETS * SLOTS);
    /* While a is unresponsive, b gets no slots until a's lease has expired. */
    report(s, now + SECOND, b, false, 0, 2, 0, 100);
    wgf_plan(s, now + SECOND);
    wgf_take_orders(s, b, 1, &orders);
    ck_assert_int_eq(granted(&orders), 0);
    report(s, now + 2 * SECOND + 1, b, false, 1, 2, 0, 100);
    wgf_plan(s, now + 2 * SECOND + 1);
    ck_assert(wgf_take_orders(s, b, 2, &orders));
    ck_assert_int_eq(granted(&orders), TARGETS * SLOTS);
    /* A later report by a that still counts on its lease is ignored as stale. */
    report(s, now + 2 * SECOND + 2, a, false, 1, 1, 0, 100);
    ck_assert_uint_eq(wgf_query_stats(s).stale_reports, 1);
    wgf_shutdown(s);
}
END_TEST

START_TEST(draining_target_is_not_leased) {
    wgf_share* s = share_with_targets();
    static wgf_orders orders;
    wgf_router a = wgf_router_up(s, SECOND, "a", 1, "dc");
    wgf_config_begin(s);
    wgf_config_service(s, SERVICE, 0, 100);
    wgf_config_target(s, TARGET, SERVICE, SLOTS, true, "dc");
    wgf_config_target(s, TARGET + 1, SERVICE, SLOTS, false, "dc");
    wgf_config_end(s);
    report(s, 4 * SECOND, a, true, 0, 1, 0, 100);
    wgf_plan(s, 4 * SECOND);
    wgf_take_orders(s, a, 1, &orders);
    ck_assert_int_eq(orders.grants_num, 1);
    ck_assert_uint_eq(orders.grants[0].target, TARGET + 1);
    ck_assert_int_eq(granted(&orders), SLOTS);
    wgf_shutdown(s);
}
END_TEST

START_TEST(shares_follow_weights_and_demand) {
    wgf_share* s = share_with_targets();
    static wgf_orders orders;
    wgf_router a = wgf_router_up(s, SECOND, "a", 1, "dc");
    wgf_router b = wgf_router_up(s, SECOND, "b", 2, "dc");
    wgf_set_weight(s, 1, 300);
    report(s, 4 * SECOND, a, true, 0, 1, 0, 100);
    report(s, 4 * SECOND, b, true, 0, 2, 0, 100);
    wgf_plan(s, 4 * SECOND);
    wgf_take_orders(s, a, 1, &orders);
    ck_assert_int_eq(granted(&orders), 24);
    wgf_take_orders(s, b, 1, &orders);
    ck_assert_int_eq(granted(&orders), 8);
    wgf_shutdown(s);
}
END_TEST

/* With a slow clock a router may report after the leader has ended its leases: the leader requests
   a full report. */
START_TEST(router_with_expired_leases_must_report_in_full) {
    wgf_share* s = share_with_targets();
    static wgf_orders orders;
    wgf_router a = wgf_router_up(s, SECOND, "a", 1, "dc");
    ck_assert(wgf_needs_full_report(s, a));
    report(s, 4 * SECOND, a, true, 0, 1, 0, 9);
    ck_assert(!wgf_needs_full_report(s, a));
    wgf_plan(s, 4 * SECOND);
    wgf_take_orders(s, a, 1, &orders);
    wgf_plan(s, 6 * SECOND + 10 * MSEC);
    report(s, 6 * SECOND + 20 * MSEC, a, false, 1, 1, 0, 9);
    ck_assert(wgf_needs_full_report(s, a));
    report(s, 6 * SECOND + 40 * MSEC, a, true, 1, 1, 0, 9);
    wgf_plan(s, 6 * SECOND + 50 * MSEC);
    ck_assert(wgf_take_orders(s, a, 2, &orders));
    ck_assert_int_ge(granted(&orders), 9);
    wgf_shutdown(s);
}
END_TEST

/* When orders and reports cross, the leader's count of leased slots equals what the router holds.
 */
START_TEST(crossing_grants_are_counted_once) {
    wgf_share* s = share_with_targets();
    static wgf_orders orders;
    wgf_router a = wgf_router_up(s, SECOND, "a", 1, "dc");
    report(s, 4 * SECOND, a, true, 0, 1, 0, 4);
    wgf_plan(s, 4 * SECOND);
    ck_assert(wgf_take_orders(s, a, 1, &orders));
    int router_slots[TARGETS] = {0};
    for (int i = 0; i < orders.grants_num; i++) {
        router_slots[orders.grants[i].target - TARGET] += (int)orders.grants[i].add;
    }
    wgf_held_slots held[TARGETS];
    for (uint32_t t = 0; t < TARGETS; t++) {
        held[t] = (wgf_held_slots){TARGET + t, (uint32_t)router_slots[t]};
    }
    /* Further orders leave before the report that confirms the first ones arrives. */
    report(s, 4 * SECOND, a, false, 0, 1, 0, 9);
    wgf_plan(s, 4 * SECOND);
    ck_assert(wgf_take_orders(s, a, 2, &orders));
    wgf_report(s, 4 * SECOND, a,
               &(wgf_report_desc){.applied = 1, .held = held, .held_num = TARGETS});
    wgf_held_slots changed[TARGETS];
    for (int i = 0; i < orders.grants_num; i++) {
        uint32_t t = orders.grants[i].target - TARGET;
        router_slots[t] += (int)orders.grants[i].add;
        changed[i] = (wgf_held_slots){TARGET + t, (uint32_t)router_slots[t]};
    }
    /* The second report names only the targets whose slots the second orders changed. */
    wgf_report(s, 4 * SECOND, a,
               &(wgf_report_desc){.applied = 2, .held = changed, .held_num = orders.grants_num});
    for (uint32_t t = 0; t < TARGETS; t++) {
        ck_assert_int_eq(wgf_query_leased(s, TARGET + t), router_slots[t]);
    }
    wgf_shutdown(s);
}
END_TEST

START_TEST(pacer_holds_to_its_budget) {
    wgf_pacer pacer;
    wgf_pacer_setup(&pacer, &(wgf_pacer_desc){.now = 0, .budget = 1000});
    uint64_t bytes = 0;
    for (wg_time now = 0; now < 100 * SECOND; now += 10 * MSEC) {
        wgf_pacer_request(&pacer);
        if (wgf_pacer_due(&pacer, now, bytes)) {
            bytes += 200;
            wgf_pacer_sent(&pacer, now, true);
        }
    }
    ck_assert_uint_le(bytes, 101 * 1000 + 200);
    ck_assert_uint_ge(bytes, 95 * 1000);
    ck_assert_uint_gt(pacer.deferred, 0);
    /* Idle routers report rarely, but report a request that begins to wait within 20 ms. */
    wgf_pacer_setup(&pacer, &(wgf_pacer_desc){.now = 0});
    ck_assert(!wgf_pacer_due(&pacer, 499 * MSEC, 0));
    wgf_pacer_update(&pacer, &(wgf_pacer_load){.at_work = true});
    ck_assert(wgf_pacer_due(&pacer, 200 * MSEC, 0));
    wgf_pacer_update(&pacer, &(wgf_pacer_load){.at_work = true, .waiting = true});
    ck_assert(wgf_pacer_due(&pacer, 20 * MSEC, 0));
    /* Reports that keep leases alive are sent regardless of the budget. */
    wgf_pacer_setup(&pacer, &(wgf_pacer_desc){.now = 0, .budget = 1});
    ck_assert(!wgf_pacer_due(&pacer, 300 * MSEC, 1000000));
    ck_assert(wgf_pacer_due(&pacer, 500 * MSEC, 1000000));
}
END_TEST

/* Each sample trace meets the expectations that it states. */
START_TEST(sample_traces_meet_their_expectations) {
    static const char* names[] = {"contest-weekend",  "storm-night", "ordinary-day",
                                  "one-router",       "uneven",      "overload",
                                  "data-centre-gone", "targets-die"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        static simf_trace trace;
        char* path = g_strdup_printf("samples/traces/%s.trace", names[i]);
        GError* error = NULL;
        ck_assert_msg(simf_trace_read(path, &trace, &error), "%s", error ? error->message : "");
        g_free(path);
        simf_result best = simf_run(&trace, SIMF_POLICY_OMNISCIENT);
        simf_result result = simf_run(&trace, SIMF_POLICY_LEASED);
        for (int e = 0; e < trace.expects_num; e++) {
            double value = 0;
            ck_assert(simf_metric(&result, trace.expects[e].metric, &value));
            if (strcmp(trace.expects[e].metric, "tokens") == 0) {
                value /= best.tokens;
            }
            bool good = trace.expects[e].op == '<' ? value < trace.expects[e].value
                                                   : value > trace.expects[e].value;
            ck_assert_msg(good, "%s: %s is %g", names[i], trace.expects[e].metric, value);
        }
    }
}
END_TEST

START_TEST(bad_traces_name_the_line) {
    static simf_trace trace;
    GError* error = NULL;
    ck_assert(!simf_trace_parse("fleet\nload nobody rate=1\n", &trace, &error));
    ck_assert_ptr_nonnull(strstr(error->message, "line 2"));
    g_clear_error(&error);
    ck_assert(!simf_trace_parse("expect joy > 1\n", &trace, &error));
    g_clear_error(&error);
}
END_TEST

/* Random loads and faults; the simulation asserts that no target is leased twice. */
START_TEST(random_fleets_stay_within_the_gap_bound) {
    for (uint64_t seed = 1; seed <= 12; seed++) {
        GString* text = g_string_new(NULL);
        g_string_append_printf(text, "fleet seed=%d routers=%d targets=%d slots=4 duration_s=60\n",
                               (int)seed, 2 + (int)(wg_jitter(seed, 1) % 9),
                               4 + (int)(wg_jitter(seed, 2) % 12));
        for (int w = 0; w < 6; w++) {
            g_string_append_printf(text, "workspace w%d %d\n", w,
                                   50 + (int)(wg_jitter(seed, 10 + (uint64_t)w) % 300));
            g_string_append_printf(text,
                                   "load w%d rate=%d tokens_min=20 tokens_max=%d routers=%d-%d\n",
                                   w, 2 + (int)(wg_jitter(seed, 20 + (uint64_t)w) % 30),
                                   100 + (int)(wg_jitter(seed, 30 + (uint64_t)w) % 200),
                                   (int)(wg_jitter(seed, 40 + (uint64_t)w) % 2), w);
        }
        g_string_append(text, "fault cut_router router=1 from_s=15 to_s=22\n"
                              "fault lose_leader from_s=30 to_s=31.5\n"
                              "fault restart_router router=0 from_s=40\n");
        static simf_trace trace;
        ck_assert(simf_trace_parse(text->str, &trace, NULL));
        simf_result result = simf_run(&trace, SIMF_POLICY_LEASED);
        ck_assert_msg(result.gap_over_bound < 1, "seed %d: gap is %g of its bound", (int)seed,
                      result.gap_over_bound);
        ck_assert_double_lt(result.control_bytes, 6000);
        g_string_free(text, TRUE);
    }
}
END_TEST

WG_TEST_MAIN("share", repeated_and_late_reports_count_once,
             new_leader_grants_only_after_old_leases_ended,
             unresponsive_router_loses_its_slots_after_the_lease, draining_target_is_not_leased,
             shares_follow_weights_and_demand, router_with_expired_leases_must_report_in_full,
             crossing_grants_are_counted_once, pacer_holds_to_its_budget,
             sample_traces_meet_their_expectations, bad_traces_name_the_line,
             random_fleets_stay_within_the_gap_bound)
