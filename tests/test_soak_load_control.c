/* test_soak_load_control.c -- short seeded runs of the fault soak with admission and overload
   control switched on: no guarantee may depend on their being off */
#include "soak_run.h"
#include "wg_test.h"

static void run(const soak_desc* desc) {
    soak_result r = soak_run(desc);
    ck_assert_msg(r.good, "seed %d: %s; logs in %s", (int)desc->seed, r.reason, r.folder);
    ck_assert_int_gt(r.complete, 100);
}

START_TEST(guarantees_hold_with_load_control_under_faults) {
    run(&(soak_desc){.seed = 45001, .seconds = 12, .hosts = 5, .disks = 3, .load_control = true});
}
END_TEST

START_TEST(guarantees_hold_with_load_control_under_harsh_faults) {
    run(&(soak_desc){.seed = 45002,
                     .seconds = 12,
                     .hosts = 5,
                     .disks = 3,
                     .harsh = true,
                     .slow_callers = true,
                     .load_control = true});
}
END_TEST

WG_TEST_MAIN("soak load control", guarantees_hold_with_load_control_under_faults,
             guarantees_hold_with_load_control_under_harsh_faults)
