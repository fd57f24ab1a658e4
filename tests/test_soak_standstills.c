/* test_soak_standstills.c -- short seeded runs of the fault soak in which hosts stand still for
   seconds and replicas answer nothing. No host may refuse a route that was added long before the
   request was sent. */
#include "soak_run.h"
#include "wg_test.h"

static void run(uint64_t seed) {
    soak_result r = soak_run(&(soak_desc){
        .seed = seed, .seconds = 12, .hosts = 5, .disks = 3, .harsh = true, .standstills = true});
    ck_assert_msg(r.good, "seed %d: %s; logs in %s", (int)seed, r.reason, r.folder);
    ck_assert_int_gt(r.complete, 100);
    ck_assert_int_ge(r.faults, 3);
}

START_TEST(hosts_that_stand_still_refuse_no_route_by_an_older_version) {
    run(610011);
}
END_TEST

START_TEST(hosts_beside_silent_replicas_refuse_no_route_by_an_older_version) {
    run(610041);
}
END_TEST

WG_TEST_MAIN("soak standstills", hosts_that_stand_still_refuse_no_route_by_an_older_version,
             hosts_beside_silent_replicas_refuse_no_route_by_an_older_version)
