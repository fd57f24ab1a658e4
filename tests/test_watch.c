/* test_watch.c -- rate limits of log lines about event-loop lag and outages */
#include "wg_test.h"
#include "wg_watch.h"

START_TEST(loop_without_lag_logs_nothing) {
    wg_lag_monitor monitor = {0};
    wg_time late = 0;
    for (int i = 1; i <= 1000; i++) {
        ck_assert(!wg_lag_monitor_tick(&monitor, i * 10 * MSEC, 10 * MSEC, &late));
    }
    ck_assert_uint_eq(monitor.lag_hist.max, 0);
}
END_TEST

START_TEST(loop_lag_is_logged_once_a_second_with_its_maximum) {
    wg_lag_monitor monitor = {0};
    wg_time late = 0;
    wg_time now = 100 * SECOND;
    wg_lag_monitor_tick(&monitor, now, 10 * MSEC, &late);
    now += 210 * MSEC;
    ck_assert(wg_lag_monitor_tick(&monitor, now, 10 * MSEC, &late));
    ck_assert_int_eq(late, 200 * MSEC);
    now += 310 * MSEC;
    ck_assert(!wg_lag_monitor_tick(&monitor, now, 10 * MSEC, &late));
    now += 160 * MSEC;
    ck_assert(!wg_lag_monitor_tick(&monitor, now, 10 * MSEC, &late));
    now += SECOND + 10 * MSEC;
    ck_assert(wg_lag_monitor_tick(&monitor, now, 10 * MSEC, &late));
    ck_assert_int_eq(late, SECOND);
    ck_assert_uint_eq(monitor.lag_hist.num, 4);
}
END_TEST

START_TEST(outage_is_logged_at_doubling_intervals) {
    wg_outage outage = {0};
    int lines = 0;
    for (wg_time now = SECOND; now <= 65 * SECOND; now += 50 * MSEC) {
        lines += wg_outage_update(&outage, false, now);
    }
    ck_assert_int_eq(lines, 7); /* after 1, 2, 4, 8, 16, 32 and 64 seconds */
    ck_assert_int_eq(wg_outage_duration(&outage, 65 * SECOND), 64 * SECOND);
}
END_TEST

START_TEST(outage_ends_on_return) {
    wg_outage outage = {0};
    ck_assert(!wg_outage_update(&outage, false, SECOND));
    ck_assert(!wg_outage_update(&outage, true, SECOND + 900 * MSEC));
    ck_assert_int_eq(wg_outage_duration(&outage, SECOND + 900 * MSEC), 0);
    ck_assert(!wg_outage_update(&outage, false, 2 * SECOND));
    ck_assert(!wg_outage_update(&outage, false, 2 * SECOND + 900 * MSEC));
    ck_assert(wg_outage_update(&outage, false, 3 * SECOND));
}
END_TEST

START_TEST(lines_of_one_kind_are_limited_each_second) {
    wg_log_limit limit = {0};
    int left_out;
    int written = 0;
    for (int i = 0; i < 30; i++) {
        written += wg_log_limit_take(&limit, SECOND + i * MSEC, 20, &left_out);
        ck_assert_int_eq(left_out, 0);
    }
    ck_assert_int_eq(written, 20);
    ck_assert(wg_log_limit_take(&limit, 2 * SECOND, 20, &left_out));
    ck_assert_int_eq(left_out, 10);
    ck_assert(wg_log_limit_take(&limit, 3 * SECOND, 20, &left_out));
    ck_assert_int_eq(left_out, 0);
}
END_TEST

WG_TEST_MAIN("watch", lines_of_one_kind_are_limited_each_second, loop_without_lag_logs_nothing,
             loop_lag_is_logged_once_a_second_with_its_maximum,
             outage_is_logged_at_doubling_intervals, outage_ends_on_return)
