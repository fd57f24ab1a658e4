/* test_suspended_host.c -- an entry host that was suspended for some seconds; leader and target run
   in the process of the test

   The host's clock includes the time of suspension, timers of the event loop do not; deadlines that
   passed meanwhile must be handled at once after the host resumes. */
#include "one_entry.h"

enum {
    SUSPENDED_MS = 5000,
    AWAKE_MS = 300 /* limit for answers to expired requests */
};

static void begin(void) {
    one_entry_begin();
    one_entry_lead(&(one_route){.version = 5, .prefix = "/a/", .timeout_ms = 2000});
}

START_TEST(expired_request_is_answered_at_once_after_a_suspension) {
    char answer[1024];
    begin();
    int fd = send_get("/a/x", "");
    ck_assert(target_got_request());
    wg_now_skip(SUSPENDED_MS * MSEC);
    ck_assert_int_eq(status_within(fd, answer, AWAKE_MS), 504);
    close(fd);
    one_entry_end();
}
END_TEST

/* After a suspension the time since last contact must not count against the link to the leader. */
START_TEST(resumed_host_keeps_its_leader) {
    begin();
    int reports = leader.reports;
    wg_now_skip(SUSPENDED_MS * MSEC);
    run_turns(AWAKE_MS);
    ck_assert_int_eq(leader.links_down, 0);
    ck_assert_int_gt(leader.reports, reports);
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("suspended host", expired_request_is_answered_at_once_after_a_suspension,
             resumed_host_keeps_its_leader)
