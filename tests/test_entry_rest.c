/* test_entry_rest.c -- one entry host and a target that sends backoff hints or reports that it is
   draining; leader, target and callers run in the process of the test

   A hint holds for one incarnation of the target, whatever changes in the registry, the leader, the
   configuration or the settings. */
#include "one_entry.h"

enum {
    BACKOFF_S = 3,
    RETURN_SPREAD_MS = 400 /* maximum random delay of hosts after the backoff period */
};

static const char document[] =
    "{\"version\":1,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
    "\"path_prefix\":\"/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"objective_ms\":500,"
    "\"attempts\":1,\"service\":\"e\"}],\"limits\":{},\"workspaces\":[]}";

static const fake_update first_incarnation = {
    .version = 1, .document = document, .id = "t", .born = 1000};

/* Sends `update` as leader, with the address of the target. */
static void lead(fake_update update) {
    update.target = target_address;
    fake_control_send_leader_state(&leader, &update);
    run_turns(20);
}

static void begin(void) {
    one_entry_begin();
    lead(first_incarnation);
}

/* Sends a request that reaches the target; returns the caller's connection. */
static int send_get_to_target(void) {
    g_string_truncate(target_received, 0);
    int fd = send_get("/x", "");
    ck_assert(target_got_request());
    return fd;
}

static int status_and_close(int fd) {
    char answer[1024];
    int status = status_of(fd, answer);
    close(fd);
    return status;
}

/* Value of Retry-After in seconds; 0: none. */
static double retry_after(const char* answer) {
    static const char name[] = "Retry-After: ";
    const char* at = strstr(answer, name);
    return at ? g_ascii_strtod(at + sizeof name - 1, NULL) : 0;
}

/* The target refuses a request with a backoff hint. */
static void start_backoff(void) {
    char answer[1024];
    int fd = send_get_to_target();
    target_send("HTTP/1.1 503 Busy\r\nTarget-Not-Run: 1\r\nRetry-After: 3\r\n"
                "Content-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_of(fd, answer), 503);
    ck_assert_double_ge(retry_after(answer), 0.4); /* a third of the route's 2 s, jittered */
    close(fd);
}

static void ck_target_gets_no_request(void) {
    g_string_truncate(target_received, 0);
    ck_assert_int_eq(status_and_close(send_get("/x", "")), 503);
    ck_assert_int_eq(requests_at_target(), 0);
}

static void ck_target_serves(void) {
    int fd = send_get_to_target();
    target_answer("x");
    ck_assert_int_eq(status_and_close(fd), 200);
}

START_TEST(backoff_ends_after_its_period) {
    begin();
    start_backoff();
    ck_target_gets_no_request();
    wg_now_skip((BACKOFF_S - 1) * SECOND);
    run_turns(60);
    ck_target_gets_no_request();
    wg_now_skip(SECOND + RETURN_SPREAD_MS * MSEC);
    run_turns(60);
    ck_target_serves();
    one_entry_end();
}
END_TEST

/* A hint counts also in a 503 that is passed to the caller because the request may have run. */
START_TEST(hint_counts_in_a_503_that_may_have_run) {
    begin();
    int fd = send_get_to_target();
    target_send("HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_and_close(fd), 503);
    ck_target_gets_no_request();
    one_entry_end();
}
END_TEST

START_TEST(other_statuses_start_no_backoff) {
    begin();
    int fd = send_get_to_target();
    target_send("HTTP/1.1 429 Slow\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_and_close(fd), 429);
    ck_target_serves();
    fd = send_get_to_target();
    target_send("HTTP/1.1 503 Busy\r\nRetry-After: in a moment\r\nContent-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_and_close(fd), 503);
    ck_target_serves();
    one_entry_end();
}
END_TEST

/* A backoff survives renumbered targets, a new configuration and a reload of the settings. */
START_TEST(backoff_survives_new_lists_and_configurations) {
    begin();
    start_backoff();
    fake_update update = first_incarnation;
    update.number = 9;
    update.change = 4;
    lead(update);
    ck_target_gets_no_request();
    update.version = 2;
    lead(update);
    ck_target_gets_no_request();
    char* seeds[] = {leader.address, NULL};
    wg_entry_settings settings = {.fleet_listen = leader.address, .seeds = seeds};
    wg_entry_reload(entry, &settings);
    ck_target_gets_no_request();
    one_entry_end();
}
END_TEST

START_TEST(backoff_does_not_apply_to_a_new_incarnation) {
    begin();
    start_backoff();
    fake_update update = first_incarnation;
    update.born = 2000;
    update.number = 2;
    update.change = 2;
    lead(update);
    ck_target_serves();
    one_entry_end();
}
END_TEST

/* A 421 comes from another process at the target's address; its fields are ignored. */
START_TEST(fields_of_a_misdirected_answer_are_ignored) {
    begin();
    int fd = send_get_to_target();
    target_send("HTTP/1.1 421 Other\r\nTarget-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_and_close(fd), 503);
    fake_update update = first_incarnation;
    update.change = 2; /* a heartbeat of the target itself */
    lead(update);
    ck_target_serves();
    one_entry_end();
}
END_TEST

/* A draining target finishes its requests and gets no new ones, also without a leader. */
START_TEST(draining_target_gets_no_more_requests) {
    begin();
    int fd = send_get_to_target();
    target_send("HTTP/1.1 200 OK\r\nTarget-Leaving: 1\r\nContent-Length: 1\r\n\r\nx");
    ck_assert_int_eq(status_and_close(fd), 200);
    ck_target_gets_no_request();
    wgn_close(leader.net, leader.link);
    run_turns(100);
    wg_now_skip(60 * SECOND);
    run_turns(60);
    ck_target_gets_no_request();
    one_entry_end();
}
END_TEST

static void ck_refused_at_once(const char* fields, double min, double max) {
    char answer[1024];
    int fd = send_get("/x", fields);
    ck_assert_int_eq(status_within(fd, answer, 20), 503);
    ck_assert(strstr(answer, "not-run"));
    ck_assert_double_ge(retry_after(answer), min);
    ck_assert_double_le(retry_after(answer), max);
    close(fd);
}

/* While all targets are in backoff, callers are refused without a wait, with a Retry-After that
   reaches to the end of the backoff or a third of the caller's deadline. */
START_TEST(callers_are_refused_at_once_while_all_targets_back_off) {
    begin();
    start_backoff();
    ck_refused_at_once("Walnutgate-Deadline-Ms: 30000\r\n", 2.5, 3.5);
    ck_refused_at_once("Walnutgate-Deadline-Ms: 3000\r\n", 0.7, 1.0);
    ck_refused_at_once("", 0.4, 0.67); /* without a caller deadline: the route's 2 s */
    one_entry_end();
}
END_TEST

/* A backoff that ends within the queue time delays a request instead of refusing it. */
START_TEST(short_backoff_is_waited_for) {
    begin();
    int fd = send_get_to_target();
    target_send("HTTP/1.1 503 Busy\r\nTarget-Not-Run: 1\r\nRetry-After: 0.04\r\n"
                "Content-Length: 0\r\n\r\n");
    ck_assert_int_eq(status_and_close(fd), 503);
    ck_target_serves();
    one_entry_end();
}
END_TEST

/* A new coordinator queries a target for its cached prompts, up to three times; these queries
   observe backoff hints and receive them. */
START_TEST(cache_queries_observe_and_start_backoff) {
    one_entry_begin();
    fake_update update = first_incarnation;
    update.document =
        "{\"version\":1,\"services\":[{\"name\":\"e\",\"engine\":{\"slots\":4,"
        "\"memory_tokens\":100000}}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"path_prefix\":\"/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"objective_ms\":500,"
        "\"attempts\":1,\"service\":\"e\"}],\"limits\":{},\"workspaces\":[]}";
    lead(update);
    ck_assert(target_got_request());
    ck_assert(strstr(target_received->str, "GET /v1/cache"));
    target_connection = target_query;
    target_send("HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n");
    ck_target_gets_no_request();
    wg_now_skip(SECOND); /* beyond the query's retry interval of 0.5 s */
    run_turns(60);
    ck_assert_int_eq(requests_at_target(), 0);
    wg_now_skip(BACKOFF_S * SECOND + RETURN_SPREAD_MS * MSEC);
    ck_assert(target_got_request());
    ck_assert(strstr(target_received->str, "GET /v1/cache"));
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("entry rest", backoff_ends_after_its_period, hint_counts_in_a_503_that_may_have_run,
             other_statuses_start_no_backoff, backoff_survives_new_lists_and_configurations,
             backoff_does_not_apply_to_a_new_incarnation,
             fields_of_a_misdirected_answer_are_ignored, draining_target_gets_no_more_requests,
             callers_are_refused_at_once_while_all_targets_back_off, short_backoff_is_waited_for,
             cache_queries_observe_and_start_backoff)
