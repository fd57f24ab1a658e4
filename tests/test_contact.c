/* test_contact.c -- reports and time-outs between entry hosts and the leader, at any fleet size */
#include "wg_contact.h"
#include "wg_test.h"

enum {
    HOSTS_MAX = 4000,
    CONTACT_MAX = 6 * WG_USEC_PER_SEC, /* time after which a host may count as out of contact */
    SILENCE = 1200 * WG_USEC_PER_MSEC
};

/* A host whose report is late by an interval is neither counted as failed nor closes its link, and
   its copy of the usage does not count as outdated. */
START_TEST(time_outs_outlast_a_lost_report) {
    for (int hosts = 0; hosts <= HOSTS_MAX; hosts++) {
        wg_time interval = wg_contact_report_interval(hosts);
        ck_assert_int_ge(wg_contact_host_timeout(interval), 2 * interval);
        ck_assert_int_ge(wg_contact_leader_timeout(interval, SILENCE), 2 * interval);
        ck_assert_int_ge(wg_contact_usage_lifetime(interval), 2 * interval);
        ck_assert_int_eq(wg_contact_room_lifetime(interval), 3 * interval);
    }
}
END_TEST

/* A failure is noticed within the time that the deployment allows, whatever the fleet's size. */
START_TEST(time_outs_are_bounded) {
    for (int hosts = 0; hosts <= HOSTS_MAX; hosts++) {
        wg_time interval = wg_contact_report_interval(hosts);
        ck_assert_int_lt(wg_contact_host_timeout(interval), CONTACT_MAX / 2);
        ck_assert_int_lt(wg_contact_leader_timeout(interval, SILENCE), CONTACT_MAX / 2);
    }
}
END_TEST

/* The leader's reports per second grow no faster than the fleet. */
START_TEST(reports_grow_with_the_fleet) {
    for (int hosts = 50; hosts <= HOSTS_MAX; hosts++) {
        double reports = hosts * (double)WG_USEC_PER_SEC;
        double per_second = reports / (double)wg_contact_report_interval(hosts);
        ck_assert_double_le(per_second, MAX(500.0, hosts));
    }
}
END_TEST

WG_TEST_MAIN("contact", time_outs_outlast_a_lost_report, time_outs_are_bounded,
             reports_grow_with_the_fleet)
