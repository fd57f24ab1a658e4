/* test_successions.c -- real processes: fault soak seeds with a replaced host, failing leaders and
   a lost disk

   Guards against losing the majority for good, see test_quorum_leaders_change.c. */
#include "soak_run.h"
#include "wg_test.h"

static void run_host_replacements(uint64_t seed) {
    soak_result r = soak_run(&(soak_desc){
        .seed = seed, .hosts = 4, .disks = 3, .harsh = true, .host_replacements = true});
    ck_assert_msg(r.good, "seed %d: %s; logs in %s", (int)seed, r.reason, r.folder);
    ck_assert_int_eq(r.replaced, 1);
    ck_assert_int_eq(r.disks_lost, 1);
}

START_TEST(disk_is_lost_after_leaders_failed) {
    run_host_replacements(1026);
}
END_TEST

START_TEST(disk_is_lost_after_leaders_failed_again) {
    run_host_replacements(1027);
}
END_TEST

START_TEST(seed_that_lost_its_majority_recovers) {
    soak_result r = soak_run(
        &(soak_desc){.seed = 990124, .seconds = 20, .hosts = 5, .disks = 3, .harsh = true});
    ck_assert_msg(r.good, "%s; logs in %s", r.reason, r.folder);
}
END_TEST

WG_TEST_MAIN("successions", disk_is_lost_after_leaders_failed,
             disk_is_lost_after_leaders_failed_again, seed_that_lost_its_majority_recovers)
