/* test_entry_rest.c -- one entry host and a target that asks it for rest, or says that it leaves;
   leader, target and callers run within the test

   What holds for a start of a target holds whatever else changes: the list of targets, its numbers,
   the leader, the configuration, the settings. Another start of it asked for nothing. */
#include "one_entry.h"

enum {
    REST_S = 3,
    SPREAD_MS = 400 /* in which hosts come back */
};

static const char document[] =
    "{\"version\":1,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
    "\"path_prefix\":\"/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"objective_ms\":500,"
    "\"attempts\":1,\"service\":\"e\"}],\"limits\":{},\"workspaces\":[]}";

static const fake_word first_start = {.version = 1, .document = document, .id = "t", .born = 1000};

/* The leader tells of the target, as `word` says beside its address. */
static void lead(fake_word word) {
    word.target = target_at;
    fake_control_leads(&leader, &word);
    turns(20);
}

static void begin(void) {
    one_entry_begin();
    lead(first_start);
}

/* A caller asks; the request is at the target. */
static int asked_caller(void) {
    g_string_truncate(asked, 0);
    int fd = caller("/x", "");
    ck_assert(target_was_asked());
    return fd;
}

static int status_and_close(int fd) {
    char answer[1024];
    int status = status_of(fd, answer);
    close(fd);
    return status;
}

/* Seconds after which a refused caller may come back; 0: it is not told. */
static double retry_after(const char* answer) {
    static const char name[] = "Retry-After: ";
    const char* at = strstr(answer, name);
    return at ? g_ascii_strtod(at + sizeof name - 1, NULL) : 0;
}

/* The target turns a request away and asks for rest. */
static void rest_begins(void) {
    char answer[1024];
    int fd = asked_caller();
    target_says("HTTP/1.1 503 Busy\r\nTarget-Not-Run: 1\r\nRetry-After: 3\r\n"
                "Content-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_of(fd, answer), 503);
    ck_assert_double_ge(retry_after(answer), 0.4); /* a third of the route's 2 s, drawn apart */
    close(fd);
}

static void ck_target_is_left_alone(void) {
    g_string_truncate(asked, 0);
    ck_assert_int_eq(status_and_close(caller("/x", "")), 503);
    ck_assert_int_eq(requests_at_target(), 0);
}

static void ck_target_serves(void) {
    int fd = asked_caller();
    target_answer("x");
    ck_assert_int_eq(status_and_close(fd), 200);
}

START_TEST(a_rest_ends_after_its_time) {
    begin();
    rest_begins();
    ck_target_is_left_alone();
    wg_now_skip((REST_S - 1) * SECOND);
    turns(60);
    ck_target_is_left_alone();
    wg_now_skip(SECOND + SPREAD_MS * MSEC);
    turns(60);
    ck_target_serves();
    one_entry_end();
}
END_TEST

/* The answer goes to the caller as it is, and asks for rest all the same. */
START_TEST(a_503_that_may_have_run_asks_for_rest_too) {
    begin();
    int fd = asked_caller();
    target_says("HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_and_close(fd), 503);
    ck_target_is_left_alone();
    one_entry_end();
}
END_TEST

START_TEST(other_statuses_ask_for_no_rest) {
    begin();
    int fd = asked_caller();
    target_says("HTTP/1.1 429 Slow\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_and_close(fd), 429);
    ck_target_serves();
    fd = asked_caller();
    target_says("HTTP/1.1 503 Busy\r\nRetry-After: in a moment\r\nContent-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_and_close(fd), 503);
    ck_target_serves();
    one_entry_end();
}
END_TEST

/* The log of the fleet begins anew, and with it the numbers of targets; then a new configuration,
   settings read again. */
START_TEST(a_rest_outlives_lists_and_configurations) {
    begin();
    rest_begins();
    fake_word word = first_start;
    word.number = 9;
    word.change = 4;
    lead(word);
    ck_target_is_left_alone();
    word.version = 2;
    lead(word);
    ck_target_is_left_alone();
    char* seeds[] = {leader.address, NULL};
    wg_entry_settings settings = {.fleet_listen = leader.address, .seeds = seeds};
    wg_entry_reload(entry, &settings);
    ck_target_is_left_alone();
    one_entry_end();
}
END_TEST

START_TEST(another_start_of_the_target_asked_for_nothing) {
    begin();
    rest_begins();
    fake_word word = first_start;
    word.born = 2000;
    word.number = 2;
    word.change = 2;
    lead(word);
    ck_target_serves();
    one_entry_end();
}
END_TEST

/* It serves what is under way, and its word holds without a leader too. */
/* 421: whoever answers at the address is not the target that was meant, and speaks for itself. */
START_TEST(what_another_one_at_its_address_says_is_not_its_word) {
    begin();
    int fd = asked_caller();
    target_says("HTTP/1.1 421 Other\r\nTarget-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_and_close(fd), 503);
    fake_word word = first_start;
    word.change = 2; /* it says of itself that it is there */
    lead(word);
    ck_target_serves();
    one_entry_end();
}
END_TEST

START_TEST(a_target_that_leaves_gets_nothing_more) {
    begin();
    int fd = asked_caller();
    target_says("HTTP/1.1 200 OK\r\nTarget-Leaving: 1\r\nContent-Length: 1\r\n\r\nx");
    ck_assert_int_eq(status_and_close(fd), 200);
    ck_target_is_left_alone();
    wgn_close(leader.net, leader.link);
    turns(100);
    wg_now_skip(60 * SECOND);
    turns(60);
    ck_target_is_left_alone();
    one_entry_end();
}
END_TEST

static void ck_refused_at_once(const char* fields, double least, double most) {
    char answer[1024];
    int fd = caller("/x", fields);
    ck_assert_int_eq(status_within(fd, answer, 20), 503);
    ck_assert(strstr(answer, "not-run"));
    ck_assert_double_ge(retry_after(answer), least);
    ck_assert_double_le(retry_after(answer), most);
    close(fd);
}

/* What callers saw while all targets of a service rested: each request waited 55 ms in vain, and
   its caller was told to come back within 0.1 to 0.3 s, to the same. No target was there for three
   seconds, and the host knew it. A caller heeds a third of the time that it has. */
START_TEST(while_all_targets_rest_callers_are_refused_at_once) {
    begin();
    rest_begins();
    ck_refused_at_once("Walnutgate-Deadline-Ms: 30000\r\n", 2.5, 3.5);
    ck_refused_at_once("Walnutgate-Deadline-Ms: 3000\r\n", 0.7, 1.0);
    ck_refused_at_once("", 0.4, 0.67); /* the route's 2 s are all that is known */
    one_entry_end();
}
END_TEST

/* It ends before a request that waits would be refused. */
START_TEST(a_short_rest_is_waited_for) {
    begin();
    int fd = asked_caller();
    target_says("HTTP/1.1 503 Busy\r\nTarget-Not-Run: 1\r\nRetry-After: 0.04\r\n"
                "Content-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_and_close(fd), 503);
    ck_target_serves();
    one_entry_end();
}
END_TEST

/* A host that begins to coordinate a target asks it what it holds, up to three times. */
START_TEST(questions_for_cached_prompts_heed_it_and_tell_of_it) {
    one_entry_begin();
    fake_word word = first_start;
    word.document =
        "{\"version\":1,\"services\":[{\"name\":\"e\",\"engine\":{\"slots\":4,"
        "\"memory_tokens\":100000}}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"path_prefix\":\"/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"objective_ms\":500,"
        "\"attempts\":1,\"service\":\"e\"}],\"limits\":{},\"workspaces\":[]}";
    lead(word);
    ck_assert(target_was_asked());
    ck_assert(strstr(asked->str, "GET /v1/cache"));
    target_says("HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n");
    ck_target_is_left_alone();
    wg_now_skip(SECOND); /* it would ask again after half a second */
    turns(60);
    ck_assert_int_eq(requests_at_target(), 0);
    wg_now_skip(REST_S * SECOND + SPREAD_MS * MSEC);
    ck_assert(target_was_asked());
    ck_assert(strstr(asked->str, "GET /v1/cache"));
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("entry rest", a_rest_ends_after_its_time, a_503_that_may_have_run_asks_for_rest_too,
             other_statuses_ask_for_no_rest, a_rest_outlives_lists_and_configurations,
             another_start_of_the_target_asked_for_nothing,
             what_another_one_at_its_address_says_is_not_its_word,
             a_target_that_leaves_gets_nothing_more,
             while_all_targets_rest_callers_are_refused_at_once, a_short_rest_is_waited_for,
             questions_for_cached_prompts_heed_it_and_tell_of_it)
