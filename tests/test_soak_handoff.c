/* test_soak_handoff.c -- short seeded runs of the fault soak in which entry hosts hand requests off
   to each other: guarantees must not depend on which host serves a request */
#include "soak_run.h"
#include "wg_test.h"

static soak_result run(const soak_desc* desc) {
    soak_result r = soak_run(desc);
    ck_assert_msg(r.good, "seed %d: %s; logs in %s", (int)desc->seed, r.reason, r.folder);
    ck_assert_int_gt(r.complete, 100);
    return r;
}

START_TEST(guarantees_hold_with_handoff_under_faults) {
    soak_result r =
        run(&(soak_desc){.seed = 46001, .seconds = 12, .hosts = 5, .disks = 3, .handoff = true});
    ck_assert_int_gt(r.handed_off, 0);
}
END_TEST

START_TEST(guarantees_hold_with_handoff_under_harsh_faults) {
    run(&(soak_desc){.seed = 46002,
                     .seconds = 12,
                     .hosts = 5,
                     .disks = 3,
                     .harsh = true,
                     .slow_callers = true,
                     .handoff = true});
}
END_TEST

WG_TEST_MAIN("soak handoff", guarantees_hold_with_handoff_under_faults,
             guarantees_hold_with_handoff_under_harsh_faults)
