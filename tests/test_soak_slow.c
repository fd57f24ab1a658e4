/* test_soak_slow.c -- short seeded runs of the fault soak with callers that read large answers
   slowly or not at all, beside all other faults. Entry hosts have a bound on held bytes that a few
   such callers exceed. */
#include "soak_run.h"
#include "wg_test.h"

static soak_result run(uint64_t seed, bool calm, bool harsh) {
    soak_result r = soak_run(&(soak_desc){.seed = seed,
                                          .seconds = 12,
                                          .hosts = 4,
                                          .disks = 3,
                                          .calm = calm,
                                          .harsh = harsh,
                                          .slow_callers = true});
    ck_assert_msg(r.good, "seed %d: %s; logs in %s", (int)seed, r.reason, r.folder);
    ck_assert_int_gt(r.complete, 100);
    ck_assert_int_ge(r.slow_complete, 5);
    ck_assert_int_ge(r.cut, 1);
    return r;
}

/* Callers that read nothing are cut off; those that read slowly are not. */
START_TEST(slow_callers_are_not_cut_off_without_faults) {
    soak_result r = run(42003, true, false);
    ck_assert_int_eq(r.slow_broken, 0);
}
END_TEST

START_TEST(slow_callers_get_whole_answers_under_faults) {
    run(42001, false, false);
}
END_TEST

START_TEST(slow_callers_get_whole_answers_under_harsh_faults) {
    run(42002, false, true);
}
END_TEST

WG_TEST_MAIN("soak slow", slow_callers_are_not_cut_off_without_faults,
             slow_callers_get_whole_answers_under_faults,
             slow_callers_get_whole_answers_under_harsh_faults)
