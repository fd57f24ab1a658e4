/* test_soak_rests.c -- short seeded runs of the fault soak with targets that refuse requests with a
   backoff hint or report that they are draining, beside all other faults; see
   test_resting_targets.c */
#include "soak_run.h"
#include "wg_test.h"

static void run(uint64_t seed, bool harsh) {
    soak_result r = soak_run(&(soak_desc){
        .seed = seed, .seconds = 12, .hosts = 5, .disks = 3, .harsh = harsh, .overloads = true});
    ck_assert_msg(r.good, "seed %d: %s; logs in %s", (int)seed, r.reason, r.folder);
    ck_assert_int_gt(r.complete, 100);
    ck_assert_int_ge(r.overloads, 1);
}

START_TEST(backoff_hints_are_followed_under_faults) {
    run(41001, false);
}
END_TEST

START_TEST(backoff_hints_are_followed_under_harsh_faults) {
    run(41002, true);
}
END_TEST

WG_TEST_MAIN("soak rests", backoff_hints_are_followed_under_faults,
             backoff_hints_are_followed_under_harsh_faults)
