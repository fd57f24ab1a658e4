/* test_router_rest.c -- real processes: targets of a router that refuse requests with a backoff
   hint

   Without backoff, requests would fail at such a target while another target has free slots. */
#include "fleet_common.h"

enum {
    CALLERS = 8, /* concurrent callers, each without a pause */
    BACKOFF_S = 3,
    AT_ONCE_MS = 100 /* limit for an answer that needs no target */
};

static load_result run_load(int seconds) {
    load_desc desc = caller_load(LOAD_KIND_DEFAULT, CALLERS, seconds * SECOND);
    load_result result;
    load_run(&desc, &result);
    return result;
}

static int64_t lookups_at(const char* service) {
    return proc_journal_number(proc_find(&fleet, service), "lookups");
}

START_TEST(target_in_backoff_gets_no_requests) {
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .engines = 1, .services = 2});
    load_result result = run_load(1);
    ck_no_failures(&result);
    load_clear(&result);
    proc_process* target = proc_find(&fleet, "service1");
    ck_assert_int_gt(lookups_at("service1"), 0);
    proc_set_faults(target, "refuse=100&rest_ms=3000");
    result = run_load(2 * BACKOFF_S);
    int64_t num = proc_journal_number(target, "unheeded");
    printf("%lu complete, %lu failed; %d backoff periods with more than two requests\n",
           result.complete, result.failed, (int)num);
    fflush(stdout);
    ck_no_failures(&result);
    load_clear(&result);
    ck_assert_int_eq(num, 0);
    proc_set_faults(target, "refuse=0");
    proc_sleep(BACKOFF_S * 1000 + 500);
    int64_t before = lookups_at("service1");
    result = run_load(1);
    load_clear(&result);
    ck_assert_int_gt(lookups_at("service1"), before); /* the backoff period is over */
    proc_fleet_stop(&fleet);
}
END_TEST

/* A target that refuses all requests without a hint must not draw requests either. */
START_TEST(target_that_refuses_all_does_not_draw_requests) {
    enum {
        COMPLETE_PERCENT = 95
    };
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .engines = 1, .services = 2});
    proc_set_faults(proc_find(&fleet, "service1"), "refuse=100");
    load_result result = run_load(6);
    uint64_t all = result.complete + result.failed;
    printf("%lu complete, %lu failed\n", result.complete, result.failed);
    fflush(stdout);
    ck_assert_uint_ge(result.complete, all * COMPLETE_PERCENT / 100);
    load_clear(&result);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(callers_are_refused_at_once_while_all_targets_back_off) {
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .engines = 1, .services = 2});
    for (int i = 1; i <= 2; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "service%d", i);
        proc_set_faults(proc_find(&fleet, name), "refuse=100&rest_ms=20000");
    }
    load_result result = run_load(1); /* puts both targets in backoff */
    load_clear(&result);
    wg_time at = wg_now();
    proc_answer answer = proc_request(proc_find(&fleet, "r1")->address, "GET", "/v1/app/app/x",
                                      "key-w0", NULL, NULL);
    int64_t elapsed = (wg_now() - at) / MSEC;
    ck_assert_int_eq(answer.status, 503);
    ck_assert_str_eq(answer.verdict, "not-run");
    ck_assert_int_ge(answer.retry_after, 10);
    ck_assert_int_lt(elapsed, AT_ONCE_MS);
    proc_answer_clear(&answer);
    proc_fleet_stop(&fleet);
}
END_TEST

WG_TEST_MAIN("router rest", target_in_backoff_gets_no_requests,
             target_that_refuses_all_does_not_draw_requests,
             callers_are_refused_at_once_while_all_targets_back_off)
