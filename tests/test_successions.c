/* test_successions.c -- real processes: seeds of the fault soak in which a host was replaced,
   leaders fell, and a disk was lost

   What users saw, and the evidence: see test_quorum_leaders_change.c. Seeds 1026 and 1027 are runs
   of nothing else; never served again on the code in which silence counted anew with each leader.
   In seed 990124, a harsh run, it happened once in five plays beside seven other runs. */
#include "soak_run.h"
#include "wg_test.h"

static void run_successions(uint64_t seed) {
    soak_result r = soak_run(
        &(soak_desc){.seed = seed, .hosts = 4, .disks = 3, .harsh = true, .successions = true});
    ck_assert_msg(r.good, "seed %d: %s; logs in %s", (int)seed, r.reason, r.folder);
    ck_assert_int_eq(r.replaced, 1);
    ck_assert_int_eq(r.disks_lost, 1);
}

START_TEST(a_disk_is_lost_after_leaders_fell) {
    run_successions(1026);
}
END_TEST

START_TEST(a_disk_is_lost_after_leaders_fell_again) {
    run_successions(1027);
}
END_TEST

START_TEST(a_fleet_that_never_served_again) {
    soak_result r = soak_run(
        &(soak_desc){.seed = 990124, .seconds = 20, .hosts = 5, .disks = 3, .harsh = true});
    ck_assert_msg(r.good, "%s; logs in %s", r.reason, r.folder);
}
END_TEST

WG_TEST_MAIN("successions", a_disk_is_lost_after_leaders_fell,
             a_disk_is_lost_after_leaders_fell_again, a_fleet_that_never_served_again)
