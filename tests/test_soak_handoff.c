/* test_soak_handoff.c -- short seeded runs of the fault soak in which entry hosts hand requests off
   to each other: guarantees must not depend on which host serves a request */
#include "soak_run.h"
#include "wg_test.h"

/* A run in which nothing is handed off would show nothing. */
static void run(const soak_desc* desc) {
    soak_result r = soak_run(desc);
    ck_assert_msg(r.good, "seed %d: %s; logs in %s", (int)desc->seed, r.reason, r.folder);
    ck_assert_int_gt(r.complete, 100);
    ck_assert_int_gt(r.handed_off, 0);
}

/* Faults of hosts, links and targets while the owner and the peer of a request differ. */
START_TEST(guarantees_hold_with_handoff_under_faults) {
    run(&(soak_desc){.seed = 46001, .seconds = 12, .hosts = 5, .disks = 3, .handoff = true});
}
END_TEST

/* The same with faults that overlap, and callers whose unread answers pause the peer. */
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
