/* test_soak_releases.c -- short seeded runs of the fault soak with targets of two software
   versions: a stream keeps to one version, inside an answer and when its caller takes it up
   elsewhere */
#include "soak_run.h"
#include "wg_test.h"

/* A run in which no stream is taken up would show nothing. */
static void run(const soak_desc* desc) {
    soak_result r = soak_run(desc);
    ck_assert_msg(r.good, "seed %d: %s; logs in %s", (int)desc->seed, r.reason, r.folder);
    ck_assert_int_gt(r.complete, 100);
    ck_assert_int_ge(r.taken_up, 12);
}

START_TEST(streams_keep_to_one_version_under_faults) {
    run(&(soak_desc){
        .seed = 540101, .seconds = 10, .hosts = 5, .releases = true, .target_faults = true});
}
END_TEST

/* Hosts that hand requests off relay streams whose callers are connected elsewhere. */
START_TEST(streams_keep_to_one_version_under_harsh_faults_with_handoff) {
    run(&(soak_desc){.seed = 540102,
                     .seconds = 10,
                     .hosts = 5,
                     .harsh = true,
                     .handoff = true,
                     .releases = true,
                     .target_faults = true});
}
END_TEST

WG_TEST_MAIN("soak releases", streams_keep_to_one_version_under_faults,
             streams_keep_to_one_version_under_harsh_faults_with_handoff)
