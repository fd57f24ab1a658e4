/* test_usage.c -- usage of workspaces at a host, with a leader and without */
#include <math.h>

#include "wg_test.h"
#include "wg_usage.h"

enum {
    HEAVY = 1,
    OTHER = 2,
    HOSTS = 10
};

static void apply(wg_usage_ledger* ledger, wg_time now, const wg_usage* list, size_t num) {
    wg_usage_report report = {.list = list, .num = num};
    wg_usage_apply_report(ledger, now, &report, 0);
}

/* A ledger with a report: HEAVY has eight times the usage of OTHER, both demand more. */
static wg_usage_ledger* ledger_with_report(wg_time now) {
    static const wg_usage report[] = {{HEAVY, 800000, 900000}, {OTHER, 100000, 900000}};
    wg_usage_ledger* ledger = wg_usage_setup();
    apply(ledger, now, report, G_N_ELEMENTS(report));
    return ledger;
}

static void advance(wg_usage_ledger* ledger, wg_time* now, wg_time duration, uint64_t workspace,
                    uint64_t tokens_per_tick) {
    for (wg_time until = *now + duration; *now < until;) {
        *now += 50 * MSEC;
        wg_usage_record_demand(ledger, workspace, tokens_per_tick);
        wg_usage_record_served(ledger, workspace, tokens_per_tick);
        wg_usage_decay(ledger, *now, HOSTS, 0);
    }
}

START_TEST(fresh_report_is_used_unchanged) {
    wg_time now = 100 * SECOND;
    wg_usage_ledger* ledger = ledger_with_report(now);
    advance(ledger, &now, 900 * MSEC, OTHER, 1000);
    ck_assert(fabs(wg_usage_of(ledger, HEAVY) - 800000) < 1);
    ck_assert(fabs(wg_usage_of(ledger, OTHER) - 100000) < 1);
    ck_assert(fabs(wg_usage_levels(ledger)->served - 450000) < 1);
    ck_assert(wg_fair_wait_tolerance(wg_usage_of(ledger, HEAVY), wg_usage_levels(ledger)) <= 0);
    wg_usage_shutdown(ledger);
}
END_TEST

/* A report decays without a leader, so that a workspace above the level does not stay refused. */
START_TEST(old_report_decays_and_is_dropped) {
    wg_time now = 100 * SECOND;
    wg_usage_ledger* ledger = ledger_with_report(now);
    advance(ledger, &now, 1200 * MSEC, OTHER, 0);
    ck_assert(fabs(wg_usage_of(ledger, HEAVY) - 400000) < 4000);
    ck_assert(wg_fair_wait_tolerance(wg_usage_of(ledger, HEAVY), wg_usage_levels(ledger)) <= 0);
    advance(ledger, &now, 3800 * MSEC, OTHER, 0);
    ck_assert(wg_fair_wait_tolerance(wg_usage_of(ledger, HEAVY), wg_usage_levels(ledger)) >= 1);
    wg_usage_shutdown(ledger);
}
END_TEST

/* Without a leader a host extrapolates its own usage to all hosts: 20,000 tokens/s on one of ten
   hosts stand for 200,000 tokens/s, or 346,000 tokens in the usage window. */
START_TEST(own_usage_is_extrapolated_to_all_hosts) {
    wg_time now = 100 * SECOND;
    wg_usage_ledger* ledger = ledger_with_report(now);
    advance(ledger, &now, 15 * SECOND, OTHER, 1000);
    ck_assert(fabs(wg_usage_of(ledger, OTHER) - 346000) < 20000);
    wg_usage_record_demand(ledger, HEAVY, 100000);
    advance(ledger, &now, 100 * MSEC, OTHER, 1000);
    ck_assert(wg_fair_wait_tolerance(wg_usage_of(ledger, HEAVY), wg_usage_levels(ledger)) >= 1);
    ck_assert(wg_fair_wait_tolerance(wg_usage_of(ledger, OTHER), wg_usage_levels(ledger)) < 1);
    wg_usage_shutdown(ledger);
}
END_TEST

/* A new report replaces the estimate; usage from before the report is not counted again. */
START_TEST(new_report_replaces_the_estimate) {
    static const wg_usage report[] = {{OTHER, 5000, 6000}};
    wg_time now = 100 * SECOND;
    wg_usage_ledger* ledger = ledger_with_report(now);
    advance(ledger, &now, 5 * SECOND, HEAVY, 1000);
    apply(ledger, now, report, G_N_ELEMENTS(report));
    ck_assert(fabs(wg_usage_of(ledger, HEAVY)) < 1);
    ck_assert(fabs(wg_usage_of(ledger, OTHER) - 5000) < 1);
    advance(ledger, &now, 1050 * MSEC, OTHER, 0);
    ck_assert(wg_usage_of(ledger, HEAVY) < 1);
    wg_usage_shutdown(ledger);
}
END_TEST

START_TEST(own_totals_only_grow) {
    wg_time now = 100 * SECOND;
    wg_usage_ledger* ledger = ledger_with_report(now);
    advance(ledger, &now, 5 * SECOND, OTHER, 1000);
    GPtrArray* own = wg_usage_take_changed(ledger);
    ck_assert_uint_eq(own->len, 1);
    const wg_usage* total = own->pdata[0];
    ck_assert_uint_eq(total->workspace, OTHER);
    ck_assert_uint_eq(total->tokens, 100000);
    ck_assert_uint_eq(total->demand, 100000);
    g_ptr_array_unref(own);
    wg_usage_shutdown(ledger);
}
END_TEST

static guint count_changed(wg_usage_ledger* ledger) {
    GPtrArray* changed = wg_usage_take_changed(ledger);
    guint num = changed->len;
    g_ptr_array_unref(changed);
    return num;
}

/* A report holds what changed since the last one, however many workspaces the host has seen, and
   all of them for the next leader. */
START_TEST(only_changed_totals_are_taken) {
    wg_usage_ledger* ledger = wg_usage_setup();
    for (uint64_t workspace = 1; workspace <= 100; workspace++) {
        wg_usage_record_demand(ledger, workspace, 10);
    }
    ck_assert_uint_eq(count_changed(ledger), 100);
    ck_assert_uint_eq(count_changed(ledger), 0);
    wg_usage_record_served(ledger, 7, 10);
    ck_assert_uint_eq(count_changed(ledger), 1);
    wg_usage_take_again(ledger);
    ck_assert_uint_eq(count_changed(ledger), 100);
    wg_usage_shutdown(ledger);
}
END_TEST

/* Workspaces that the leader sums up count for the levels as if they were listed. */
START_TEST(small_workspaces_count_without_being_listed) {
    wg_usage all[11] = {{HEAVY, 500000, 900000}};
    for (uint64_t i = 1; i < G_N_ELEMENTS(all); i++) {
        all[i] = (wg_usage){100 + i, 1000, 1000};
    }
    wg_usage_ledger* listed = wg_usage_setup();
    wg_usage_ledger* summed = wg_usage_setup();
    wg_usage_report report = {.list = all, .num = G_N_ELEMENTS(all)};
    wg_usage_apply_report(listed, 0, &report, 300000);
    report = (wg_usage_report){.list = all,
                               .num = 1,
                               .small = {.tokens = 10000, .demand = 10000},
                               .small_num = G_N_ELEMENTS(all) - 1};
    wg_usage_apply_report(summed, 0, &report, 300000);
    const wg_fair_levels* expected = wg_usage_levels(listed);
    const wg_fair_levels* levels = wg_usage_levels(summed);
    ck_assert_double_eq_tol(levels->served, expected->served, 1);
    ck_assert_double_eq_tol(levels->fair_share, expected->fair_share, 1);
    ck_assert_double_eq_tol(wg_usage_of(summed, 101), wg_usage_of(listed, 101), 1);
    wg_usage_shutdown(listed);
    wg_usage_shutdown(summed);
}
END_TEST

/* ---- weights --------------------------------------------------------------------------------- */

static int compare_doubles(const void* a, const void* b) {
    double first = *(const double*)a;
    double second = *(const double*)b;
    return first < second ? -1 : first > second;
}

/* The level as it was computed before there were weights. Sorts `demand`. */
static double level_before(double* demand, int num, double served) {
    qsort(demand, (size_t)num, sizeof *demand, compare_doubles);
    double left = served;
    for (int i = 0; i < num; i++) {
        double even = left / (num - i);
        if (demand[i] > even) {
            return even;
        }
        left -= demand[i];
    }
    return demand[num - 1];
}

enum {
    RANDOM_MAX = 60 /* workspaces */
};

/* Guards against a change of levels, down to the last digit, for fleets without weights. */
START_TEST(without_weights_levels_and_usage_are_as_before) {
    for (uint64_t seed = 1; seed <= 500; seed++) {
        int num = 1 + (int)(wg_jitter(seed, 0) % RANDOM_MAX);
        wg_usage list[RANDOM_MAX];
        double demand[RANDOM_MAX];
        double served = 0;
        for (int i = 0; i < num; i++) {
            uint64_t asked = wg_jitter(seed, (uint64_t)i + 1) % 1000000;
            list[i] = (wg_usage){(uint64_t)i + 1, asked / (1 + asked % 7), asked};
            demand[i] = (double)asked;
            served += (double)list[i].tokens;
        }
        double share = 1000.0 / 3 * (double)num;
        wg_usage_ledger* ledger = wg_usage_setup();
        wg_usage_report report = {.list = list, .num = (size_t)num};
        wg_usage_apply_report(ledger, 0, &report, share);
        ck_assert_double_eq(wg_usage_levels(ledger)->served, level_before(demand, num, served));
        ck_assert_double_eq(wg_usage_levels(ledger)->fair_share, level_before(demand, num, share));
        ck_assert_double_eq(wg_fair_level(demand, num, share), level_before(demand, num, share));
        for (int i = 0; i < num; i++) {
            double used = wg_usage_of(ledger, (uint64_t)i + 1);
            ck_assert_double_eq(wg_usage_per_weight(ledger, (uint64_t)i + 1), used);
        }
        wg_usage_shutdown(ledger);
    }
}
END_TEST

/* Guards against levels at which the workspaces together get more or less than was served. */
START_TEST(weighted_level_is_max_min) {
    static const double choices[] = {0.01, 0.5, 1, 2, 4, 100};
    for (uint64_t seed = 1; seed <= 500; seed++) {
        int num = 1 + (int)(wg_jitter(seed, 0) % RANDOM_MAX);
        double demand[RANDOM_MAX];
        double weights[RANDOM_MAX];
        double sum = 0;
        for (int i = 0; i < num; i++) {
            demand[i] = (double)(wg_jitter(seed, (uint64_t)i + 1) % 1000);
            weights[i] = choices[wg_jitter(seed, (uint64_t)i + 101) % G_N_ELEMENTS(choices)];
            sum += demand[i];
        }
        double served = sum * (double)(wg_jitter(seed, 500) % 101) / 100;
        double level = wg_fair_weighted_level(demand, weights, num, served);
        double got = 0;
        for (int i = 0; i < num; i++) {
            got += MIN(demand[i], weights[i] * level);
        }
        ck_assert_double_eq_tol(got, served, 1e-6);
    }
    const double demand[] = {900, 900, 900};
    ck_assert_double_eq_tol(wg_fair_weighted_level(demand, (double[]){1, 2, 4}, 3, 700), 100, 1e-9);
    /* The first is satisfied; the others share the remainder by weight. */
    const double one_small[] = {50, 900, 900};
    ck_assert_double_eq_tol(wg_fair_weighted_level(one_small, (double[]){1, 2, 4}, 3, 650), 100,
                            1e-9);
}
END_TEST

/* Guards against a weight that only applies from the next report on, or longer than it is
   configured. Without a leader there is no next report. */
START_TEST(changed_weights_apply_at_once) {
    wg_time now = 100 * SECOND;
    wg_usage_ledger* ledger = ledger_with_report(now);
    ck_assert_double_eq_tol(wg_usage_levels(ledger)->served, 450000, 1);
    wg_usage_set_weights(ledger, &(wg_usage_weight){HEAVY, 8}, 1, 0);
    ck_assert_double_eq_tol(wg_usage_levels(ledger)->served, 100000, 1);
    ck_assert_double_eq(wg_usage_weight_of(ledger, HEAVY), 8);
    ck_assert_double_eq(wg_usage_per_weight(ledger, HEAVY), 100000);
    ck_assert_double_eq(wg_usage_of(ledger, HEAVY), 800000);
    ck_assert_double_eq(wg_usage_per_weight(ledger, OTHER), 100000);
    ck_assert(wg_fair_wait_tolerance(wg_usage_per_weight(ledger, HEAVY), wg_usage_levels(ledger)) >=
              1);
    /* Reports contain no weights, and must not reset them. */
    apply(ledger, now, (const wg_usage[]){{HEAVY, 800, 900}, {OTHER, 100, 900}}, 2);
    ck_assert_double_eq(wg_usage_per_weight(ledger, HEAVY), 100);
    ck_assert_double_eq_tol(wg_usage_levels(ledger)->served, 100, 1e-9);
    wg_usage_set_weights(ledger, NULL, 0, 0);
    ck_assert_double_eq(wg_usage_per_weight(ledger, HEAVY), 800);
    ck_assert_double_eq_tol(wg_usage_levels(ledger)->served, 450, 1e-9);
    wg_usage_shutdown(ledger);
}
END_TEST

/* Guards against a level of 0 or infinity from a weight that another host states. */
START_TEST(weights_from_messages_are_bounded) {
    ck_assert_double_eq(wg_fair_weight(0), 1);
    ck_assert_double_eq(wg_fair_weight(-3), 1);
    ck_assert_double_eq(wg_fair_weight(NAN), 1);
    ck_assert_double_eq(wg_fair_weight(INFINITY), 1);
    ck_assert_double_eq(wg_fair_weight(-INFINITY), 1);
    ck_assert_double_eq(wg_fair_weight(1e300), WG_FAIR_WEIGHT_MAX);
    ck_assert_double_eq(wg_fair_weight(1e-300), WG_FAIR_WEIGHT_MIN);
    ck_assert_double_eq(wg_fair_weight(2.5), 2.5);
}
END_TEST

WG_TEST_MAIN("usage", only_changed_totals_are_taken, small_workspaces_count_without_being_listed,
             fresh_report_is_used_unchanged, old_report_decays_and_is_dropped,
             own_usage_is_extrapolated_to_all_hosts, new_report_replaces_the_estimate,
             own_totals_only_grow, without_weights_levels_and_usage_are_as_before,
             weighted_level_is_max_min, changed_weights_apply_at_once,
             weights_from_messages_are_bounded)
