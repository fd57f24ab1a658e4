/* test_backoff.c -- backoff and draining hints in answers of targets, and how long they hold */
#include "wg_backoff.h"
#include "wg_test.h"

enum {
    UNIX_TIME = 784111777 /* Sun, 06 Nov 1994 08:49:37 GMT */
};

static wg_text text_of(const char* text) {
    return (wg_text){text, strlen(text)};
}

static wg_backoff_hint hint_of(int status, const char* name, const char* value) {
    wg_backoff_hint hint = {.status = status};
    wg_backoff_read_field(&hint, "Target-Leaving", text_of(name), text_of(value));
    return hint;
}

/* Backoff period of a 503 with this Retry-After, at most one hour. */
static wg_time period_of(const char* value) {
    wg_backoff_hint hint = hint_of(503, "retry-after", value);
    return wg_backoff_hint_period(&hint, UNIX_TIME, 3600 * SECOND);
}

START_TEST(retry_after_is_parsed_in_all_formats) {
    ck_assert_int_eq(period_of("3"), 3 * SECOND);
    ck_assert_int_eq(period_of(" 0.25 "), 250 * MSEC);
    ck_assert_int_eq(period_of("2."), 2 * SECOND);
    ck_assert_int_eq(period_of("0"), 0);
    ck_assert_int_eq(period_of("100000000000000000000"), 3600 * SECOND);
    ck_assert_int_eq(period_of("Sun, 06 Nov 1994 08:49:47 GMT"), 10 * SECOND);
    ck_assert_int_eq(period_of("Sunday, 06-Nov-94 08:49:39 GMT"), 2 * SECOND);
    ck_assert_int_eq(period_of("Sun Nov  6 08:49:38 1994"), 1 * SECOND);
    ck_assert_int_eq(period_of("Sun, 06 Nov 1994 08:49:17 GMT"), 0);
    ck_assert_int_eq(period_of("Fri, 31 Dec 9999 23:59:59 GMT"), 3600 * SECOND);
}
END_TEST

START_TEST(unreadable_hint_has_no_period) {
    static const char* const values[] = {
        "-3",   "soon", "",   "1e3",   "3s", "nan",      "inf",         "3, 4",
        "0x10", "..",   ".5", "1.2.3", "+3", "\xff\xfe", "Sun, 06 Nov", "3 4"};
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        wg_backoff_hint hint = hint_of(503, "Retry-After", values[i]);
        ck_assert_msg(hint.unreadable, "%s", values[i]);
        ck_assert_int_eq(wg_backoff_hint_period(&hint, UNIX_TIME, SECOND), 0);
    }
    char* endless = g_strnfill(100000, '9');
    ck_assert_int_eq(period_of(endless), 0);
    g_free(endless);
}
END_TEST

START_TEST(longest_of_several_hints_counts) {
    wg_backoff_hint hint = hint_of(503, "Retry-After", "2");
    wg_text name = text_of("Retry-After");
    wg_backoff_read_field(&hint, "Target-Leaving", name, text_of("later"));
    wg_backoff_read_field(&hint, "Target-Leaving", name, text_of("5"));
    wg_backoff_read_field(&hint, "Target-Leaving", name, text_of("1"));
    ck_assert_int_eq(wg_backoff_hint_period(&hint, UNIX_TIME, 60 * SECOND), 5 * SECOND);
    wg_backoff_read_field(&hint, "Target-Leaving", name, text_of("Sun, 06 Nov 1994 08:49:47 GMT"));
    ck_assert_int_eq(wg_backoff_hint_period(&hint, UNIX_TIME, 60 * SECOND), 10 * SECOND);
}
END_TEST

/* A clock difference of an hour between host and target must not change the period. */
START_TEST(retry_date_counts_from_the_date_of_the_answer) {
    wg_backoff_hint hint = hint_of(503, "Retry-After", "Sun, 06 Nov 1994 08:49:40 GMT");
    wg_backoff_read_field(&hint, "Target-Leaving", text_of("Date"),
                          text_of("Sun, 06 Nov 1994 08:49:37 GMT"));
    ck_assert_int_eq(wg_backoff_hint_period(&hint, UNIX_TIME - 3600, 60 * SECOND), 3 * SECOND);
    ck_assert_int_eq(wg_backoff_hint_period(&hint, UNIX_TIME + 3600, 60 * SECOND), 3 * SECOND);
}
END_TEST

/* With other statuses Retry-After is meant for the caller. */
START_TEST(only_status_503_starts_a_backoff) {
    static const int others[] = {200, 301, 413, 429, 500, 502, 504};
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        wg_backoff_hint hint = hint_of(others[i], "Retry-After", "3");
        ck_assert_int_eq(wg_backoff_hint_period(&hint, UNIX_TIME, 60 * SECOND), 0);
    }
}
END_TEST

static wg_backoff_update record_backoff(wg_backoff* b, wg_time now, uint64_t target,
                                        const char* seconds) {
    wg_backoff_hint hint = hint_of(503, "Retry-After", seconds);
    return wg_backoff_record(b, now, target, &hint, UNIX_TIME);
}

START_TEST(backoff_is_never_shortened) {
    wg_backoff* b = wg_backoff_setup(&(wg_backoff_desc){0});
    wg_time at = 7 * SECOND;
    ck_assert_int_eq(wg_backoff_ends_at(b, at, 1), 0);
    ck_assert(record_backoff(b, at, 1, "3").backoff_started);
    wg_time end = wg_backoff_ends_at(b, at, 1);
    ck_assert_int_ge(end, at + 3 * SECOND);
    ck_assert_int_lt(end, at + 3 * SECOND + 400 * MSEC);
    ck_assert_int_eq(wg_backoff_ends_at(b, at, 2), 0);
    ck_assert(!record_backoff(b, at + SECOND, 1, "0.5").backoff_started);
    wg_backoff_hint served = {.status = 200};
    wg_backoff_record(b, at + SECOND, 1, &served, UNIX_TIME);
    ck_assert_int_eq(wg_backoff_ends_at(b, at + 2 * SECOND, 1), end);
    ck_assert_int_eq(wg_backoff_active_num(b, at + 2 * SECOND), 1);
    ck_assert(!record_backoff(b, at + 2 * SECOND, 1, "2").backoff_started);
    end = wg_backoff_ends_at(b, at + 3 * SECOND, 1);
    ck_assert_int_ge(end, at + 4 * SECOND);
    ck_assert_int_lt(end, at + 4 * SECOND + 300 * MSEC);
    ck_assert_int_eq(wg_backoff_ends_at(b, end, 1), 0);
    ck_assert_int_eq(wg_backoff_active_num(b, end), 0);
    wg_backoff_shutdown(b);
}
END_TEST

/* Hosts that were refused at the same time must return at different times, or the target would
   refuse most of them again. */
START_TEST(hosts_return_from_backoff_at_different_times) {
    enum {
        HOSTS = 100
    };
    wg_time at = 7 * SECOND;
    int early = 0; /* hosts that return within 50 ms after the period */
    for (uint64_t host = 1; host <= HOSTS; host++) {
        wg_backoff* b = wg_backoff_setup(&(wg_backoff_desc){.seed = host});
        record_backoff(b, at, 1, "3");
        wg_time back_at = wg_backoff_ends_at(b, at, 1);
        ck_assert_int_ge(back_at, at + 3 * SECOND);
        ck_assert_int_le(back_at, at + 3 * SECOND + 400 * MSEC);
        early += back_at < at + 3 * SECOND + 50 * MSEC;
        record_backoff(b, at, 2, "3000");
        ck_assert_int_le(wg_backoff_ends_at(b, at, 2), at + 3001 * SECOND);
        wg_backoff_shutdown(b);
    }
    ck_assert_int_lt(early, HOSTS / 4);
}
END_TEST

START_TEST(draining_is_final) {
    wg_backoff* b = wg_backoff_setup(&(wg_backoff_desc){0});
    wg_backoff_hint draining = hint_of(200, "target-leaving", "1");
    wg_backoff_hint not_draining = hint_of(200, "Target-Leaving", "0");
    ck_assert(!wg_backoff_record(b, SECOND, 1, &not_draining, UNIX_TIME).draining_started);
    ck_assert(wg_backoff_record(b, SECOND, 1, &draining, UNIX_TIME).draining_started);
    ck_assert(!wg_backoff_record(b, SECOND, 1, &draining, UNIX_TIME).draining_started);
    wg_backoff_record(b, SECOND, 1, &not_draining, UNIX_TIME);
    ck_assert(wg_backoff_ends_at(b, 3600 * SECOND, 1) == WG_TIME_NEVER);
    ck_assert(wg_backoff_is_draining(b, 1));
    ck_assert(!wg_backoff_is_draining(b, 2));
    wg_backoff_shutdown(b);
}
END_TEST

/* An unreadable hint is reported once per target, and only with status 503. */
START_TEST(unreadable_hint_is_reported_once_per_target) {
    wg_backoff* b = wg_backoff_setup(&(wg_backoff_desc){0});
    ck_assert(record_backoff(b, SECOND, 1, "soon").unreadable);
    ck_assert(!record_backoff(b, 2 * SECOND, 1, "soon").unreadable);
    ck_assert(record_backoff(b, 2 * SECOND, 2, "soon").unreadable);
    wg_backoff_hint other_status = hint_of(200, "Retry-After", "soon");
    ck_assert(!wg_backoff_record(b, SECOND, 3, &other_status, UNIX_TIME).unreadable);
    ck_assert_int_eq(wg_backoff_ends_at(b, 2 * SECOND, 1), 0);
    wg_backoff_shutdown(b);
}
END_TEST

/* Expired backoffs are evicted first, then the oldest entries. */
START_TEST(backoff_entries_are_bounded) {
    enum {
        TARGETS_MAX = 8
    };
    wg_backoff* b = wg_backoff_setup(&(wg_backoff_desc){.targets_max = TARGETS_MAX});
    wg_backoff_hint draining = hint_of(200, "Target-Leaving", "1");
    wg_backoff_record(b, SECOND, 100, &draining, UNIX_TIME);
    for (uint64_t target = 1; target < TARGETS_MAX; target++) {
        record_backoff(b, SECOND, target, "1");
    }
    record_backoff(b, 3 * SECOND, 200, "9");
    ck_assert(wg_backoff_is_draining(b, 100));
    ck_assert_int_eq(wg_backoff_active_num(b, 3 * SECOND), 1);
    for (uint64_t target = 1; target <= TARGETS_MAX; target++) {
        record_backoff(b, 4 * SECOND, target, "9");
    }
    ck_assert_int_eq(wg_backoff_active_num(b, 4 * SECOND), TARGETS_MAX);
    ck_assert(!wg_backoff_is_draining(b, 100));
    wg_backoff_shutdown(b);
}
END_TEST

WG_TEST_MAIN("backoff", retry_after_is_parsed_in_all_formats, unreadable_hint_has_no_period,
             longest_of_several_hints_counts, retry_date_counts_from_the_date_of_the_answer,
             only_status_503_starts_a_backoff, backoff_is_never_shortened,
             hosts_return_from_backoff_at_different_times, draining_is_final,
             unreadable_hint_is_reported_once_per_target, backoff_entries_are_bounded)
