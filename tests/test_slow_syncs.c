/* test_slow_syncs.c -- real processes: controls whose disk syncs take long

   Other programs that write to the same disk delay syncs. Guards against a control that syncs once
   for each request, and so serves next to nothing while a sync takes 50 ms, and against edits whose
   outcome is lost while the leader's lease is late. */
#include "fleet_common.h"

enum {
    CALLERS = 16,
    RUN_S = 6,
    SYNC_MS = 50,       /* a disk that is busy with other writers */
    LONG_SYNC_MS = 400, /* leader and follower together take longer than the lease */
    COMPLETE_MIN = 100
};

START_TEST(actions_are_served_while_syncs_are_slow) {
    start_fleet(
        &(proc_desc){.controls = 3, .routers = 3, .services = 2, .engines = 1, .slow_syncs = true});
    proc_set_sync_delay(&fleet, SYNC_MS);
    load_desc desc = caller_load(LOAD_KIND_ACTION, CALLERS, RUN_S * SECOND);
    load_result result;
    load_run(&desc, &result);
    printf("%lu complete, %lu failed\n", result.complete, result.failed);
    fflush(stdout);
    ck_assert_uint_gt(result.complete, COMPLETE_MIN);
    ck_assert_uint_eq(result.mismatched, 0);
    ck_actions_ran_once(&result);
    load_clear(&result);
    proc_fleet_kill(&fleet);
}
END_TEST

START_TEST(edit_is_answered_after_the_lease_was_late) {
    start_fleet(
        &(proc_desc){.controls = 3, .routers = 1, .services = 1, .engines = 1, .slow_syncs = true});
    proc_set_sync_delay(&fleet, LONG_SYNC_MS);
    char* out = NULL;
    int status = proc_run_ctl(&fleet, &out, "table", "set", "workspaces", "w1", "weight=7", NULL);
    ck_assert_msg(status == 0, "exit status %d: %s", status, out);
    g_free(out);
    proc_fleet_kill(&fleet);
}
END_TEST

WG_TEST_MAIN("slow syncs", actions_are_served_while_syncs_are_slow,
             edit_is_answered_after_the_lease_was_late)
