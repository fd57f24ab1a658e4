/* test_lease.c -- until when an entry host may decide by its configuration */
#include "wg_lease.h"
#include "wg_test.h"

enum {
    DURATION = 1500 * 1000, /* microseconds */
    INTERVAL = 100 * 1000
};

static wg_lease lease;

/* A host whose report 1, sent at one second, was answered. */
static void begin(void) {
    wg_lease_begin(&lease, DURATION);
    wg_lease_report_sent(&lease, SECOND, 1);
    ck_assert(wg_lease_report_answered(&lease, 1));
}

START_TEST(lease_counts_from_the_report_not_from_its_answer) {
    wg_lease_begin(&lease, DURATION);
    ck_assert_int_eq(wg_lease_query(&lease, SECOND), WG_BASIS_NONE);
    ck_assert_int_eq(wg_lease_age(&lease, SECOND), -1);
    wg_lease_report_sent(&lease, SECOND, 7);
    /* The answer waited for five seconds, as the process stood still. */
    ck_assert(wg_lease_report_answered(&lease, 7));
    ck_assert_int_eq(wg_lease_query(&lease, 6 * SECOND), WG_BASIS_NONE);
    ck_assert_int_eq(wg_lease_query(&lease, SECOND + DURATION), WG_BASIS_LEADER);
    ck_assert_int_eq(wg_lease_age(&lease, 6 * SECOND), 5 * SECOND);
}
END_TEST

START_TEST(answer_to_a_report_that_was_not_sent_is_ignored) {
    begin();
    ck_assert(!wg_lease_report_answered(&lease, 0));
    ck_assert(!wg_lease_report_answered(&lease, 2));
    wg_lease_report_sent(&lease, 2 * SECOND, 1 + WG_LEASE_REPORTS);
    ck_assert(!wg_lease_report_answered(&lease, 1));
    ck_assert_int_eq(wg_lease_age(&lease, SECOND + MSEC), MSEC);
}
END_TEST

START_TEST(earlier_answer_does_not_shorten_the_lease) {
    begin();
    wg_lease_report_sent(&lease, 2 * SECOND, 2);
    wg_lease_report_sent(&lease, 3 * SECOND, 3);
    ck_assert(wg_lease_report_answered(&lease, 3));
    ck_assert(wg_lease_report_answered(&lease, 2));
    ck_assert_int_eq(wg_lease_age(&lease, 3 * SECOND), 0);
}
END_TEST

START_TEST(lease_of_no_duration_never_lapses) {
    wg_lease_begin(&lease, 0);
    ck_assert_int_eq(wg_lease_query(&lease, 100 * SECOND), WG_BASIS_LEADER);
    ck_assert(!wg_lease_search_due(&lease, 100 * SECOND, INTERVAL));
}
END_TEST

/* Searches of a host without a leader overlap, so that it always has a basis. */
START_TEST(host_without_a_leader_never_lacks_a_basis_while_searches_end) {
    begin();
    int searches = 0;
    wg_time ends_at = 0;
    for (wg_time now = SECOND; now < 60 * SECOND; now += 50 * MSEC) {
        wg_lease_tick(&lease, now);
        if (wg_lease_search_due(&lease, now, INTERVAL)) {
            wg_lease_search_begin(&lease, now, 3);
            searches++;
            ends_at = now + WG_LEASE_SEARCH_TIME;
        }
        ck_assert_int_ne(wg_lease_query(&lease, now), WG_BASIS_NONE);
    }
    ck_assert_int_gt(ends_at, 0);
    ck_assert_int_le(searches, 60 * SECOND / (DURATION / 4));
}
END_TEST

/* The reports of a large fleet are almost as far apart as the lease is long. */
START_TEST(host_with_a_leader_does_not_search_between_two_reports) {
    begin();
    ck_assert(!wg_lease_search_due(&lease, SECOND + 1100 * MSEC, SECOND));
    ck_assert(wg_lease_search_due(&lease, SECOND + 1400 * MSEC, SECOND));
    ck_assert(wg_lease_search_due(&lease, SECOND + 800 * MSEC, INTERVAL));
}
END_TEST

START_TEST(leader_that_is_found_confirms_as_of_the_search) {
    begin();
    wg_lease_search_begin(&lease, 6 * SECOND, 3);
    wg_lease_search_answer(&lease, &(wg_lease_answer){.leads = true});
    ck_assert(!lease.searching);
    ck_assert_int_eq(wg_lease_query(&lease, 6 * SECOND), WG_BASIS_LEADER);
    ck_assert_int_eq(wg_lease_query(&lease, 6 * SECOND + DURATION + 1), WG_BASIS_NONE);
}
END_TEST

START_TEST(leader_with_a_newer_configuration_confirms_nothing) {
    begin();
    wg_lease_search_begin(&lease, 6 * SECOND, 3);
    wg_lease_search_answer(&lease, &(wg_lease_answer){.leads = true, .newer = true});
    ck_assert(!lease.searching);
    ck_assert_int_eq(wg_lease_query(&lease, 6 * SECOND), WG_BASIS_NONE);
}
END_TEST

START_TEST(search_without_a_leader_ends_with_its_last_answer) {
    begin();
    wg_lease_search_begin(&lease, 6 * SECOND, 2);
    wg_lease_search_widen(&lease, 6 * SECOND, 1);
    wg_lease_search_answer(&lease, &(wg_lease_answer){0});
    wg_lease_search_unreachable(&lease);
    ck_assert_int_eq(wg_lease_query(&lease, 6 * SECOND), WG_BASIS_NONE);
    wg_lease_search_unreachable(&lease);
    ck_assert_int_eq(wg_lease_query(&lease, 6 * SECOND), WG_BASIS_NO_LEADER);
}
END_TEST

START_TEST(replica_with_a_newer_configuration_leaves_no_basis) {
    begin();
    wg_lease_search_begin(&lease, 6 * SECOND, 2);
    wg_lease_search_answer(&lease, &(wg_lease_answer){.newer = true});
    wg_lease_search_unreachable(&lease);
    ck_assert(!lease.searching);
    ck_assert_int_eq(wg_lease_query(&lease, 6 * SECOND), WG_BASIS_NONE);
}
END_TEST

/* Answers that came meanwhile were not read. */
START_TEST(search_in_which_the_process_stood_still_waits_anew) {
    begin();
    wg_lease_search_begin(&lease, 6 * SECOND, 2);
    wg_lease_record_stall(&lease, 8 * SECOND);
    wg_lease_tick(&lease, 8 * SECOND);
    ck_assert(lease.searching);
    wg_lease_tick(&lease, 8 * SECOND + WG_LEASE_SEARCH_TIME);
    ck_assert(!lease.searching);
    ck_assert_int_eq(wg_lease_query(&lease, 8 * SECOND), WG_BASIS_NONE); /* too long ago */
}
END_TEST

START_TEST(search_that_can_ask_nobody_finds_no_leader) {
    wg_lease_begin(&lease, DURATION);
    wg_lease_search_begin(&lease, 6 * SECOND, 0);
    ck_assert_int_eq(wg_lease_query(&lease, 6 * SECOND), WG_BASIS_NO_LEADER);
}
END_TEST

WG_TEST_MAIN("lease", lease_counts_from_the_report_not_from_its_answer,
             answer_to_a_report_that_was_not_sent_is_ignored,
             earlier_answer_does_not_shorten_the_lease, lease_of_no_duration_never_lapses,
             host_without_a_leader_never_lacks_a_basis_while_searches_end,
             host_with_a_leader_does_not_search_between_two_reports,
             leader_that_is_found_confirms_as_of_the_search,
             leader_with_a_newer_configuration_confirms_nothing,
             search_without_a_leader_ends_with_its_last_answer,
             replica_with_a_newer_configuration_leaves_no_basis,
             search_in_which_the_process_stood_still_waits_anew,
             search_that_can_ask_nobody_finds_no_leader)
