/* test_suspended_host.c -- an entry host that was suspended for some seconds, with a leader and a
   target that run within the test

   The clock of all decisions counts the time in which the host was suspended, timers of the loop do
   not: whatever a timer guards is late by that time. Seen on this test before the mend: a caller
   whose time was over when the host woke got its answer 1.9 s later. */
#include "one_entry.h"

enum {
    SUSPENDED_MS = 5000,
    AWAKE_MS = 300 /* in which what is over has to be answered */
};

static void begin(void) {
    one_entry_begin();
    one_entry_lead(&(one_route){.version = 5, .prefix = "/a/", .timeout_ms = 2000});
}

START_TEST(a_request_whose_time_is_over_is_answered_at_once) {
    char answer[1024];
    begin();
    int fd = caller("/a/x", "");
    ck_assert(target_was_asked());
    wg_now_skip(SUSPENDED_MS * MSEC);
    ck_assert_int_eq(status_within(fd, answer, AWAKE_MS), 504);
    close(fd);
    one_entry_end();
}
END_TEST

/* The link to the leader was not silent, this host did not listen. */
START_TEST(a_host_that_wakes_keeps_its_leader) {
    begin();
    int reports = leader.reports;
    wg_now_skip(SUSPENDED_MS * MSEC);
    turns(AWAKE_MS);
    ck_assert_int_eq(leader.downs, 0);
    ck_assert_int_gt(leader.reports, reports);
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("suspended host", a_request_whose_time_is_over_is_answered_at_once,
             a_host_that_wakes_keeps_its_leader)
