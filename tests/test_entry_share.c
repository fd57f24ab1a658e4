/* test_entry_share.c -- one entry host that refuses requests of a workspace far above its share at
   once

   Workspace "most" is far above the level of the others and the service has no room, so that no
   target may be asked for its requests. Leader, target and callers run in the process of the test.
 */
#include "one_entry.h"
#include "wg_config.h"
#include "wg_usage.h"

enum {
    WORKSPACES = 5,   /* "most" and those that it is compared with */
    OTHERS = 100000,  /* usage of each of the others */
    FAR = 8 * OTHERS, /* usage far above the level, 240,000; the time is 1.63 s */
    FAR_YIELD = 1630, /* ms */
    NEAR_YIELD = 60,  /* ms, at most; usage that has decayed enough before the queue time is over */
    QUEUE_MS = 110,   /* time in the queue, of an objective of 1 s */
    AT_ONCE_MS = 50,
    CALLERS = 40,
    RETRIES = 1000,
    ROOM_TURNS = 100, /* until the host determines room again */
    DROPPED_TURNS = WG_USAGE_DROPPED_AFTER / MSEC + 1000,
    VERSION = 9
};

static const char document[] =
    "{\"version\":9,\"services\":[{\"name\":\"e\",\"engine\":{\"slots\":8,"
    "\"memory_tokens\":100000}}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
    "\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_ms\":20000,\"objective_ms\":1000,"
    "\"attempts\":3,\"service\":\"e\"},{\"name\":\"short\",\"host\":\"h\","
    "\"path_prefix\":\"/s/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"objective_ms\":1000,"
    "\"attempts\":3,\"service\":\"e\"}],\"limits\":{},"
    "\"workspaces\":[{\"name\":\"most\",\"keys\":[\"key-most\"]}]}";

/* Tells the usage of "most", and as many requests of others at the target; 0: there is room. */
static void lead(uint64_t tokens, uint32_t running) {
    Wgpb__WorkspaceUsage items[WORKSPACES];
    Wgpb__WorkspaceUsage* usage[WORKSPACES];
    wg_config* config = wg_config_parse(document, strlen(document), NULL);
    ck_assert_ptr_nonnull(config);
    for (int i = 0; i < WORKSPACES; i++) {
        wgpb__workspace_usage__init(&items[i]);
        items[i].workspace = i ? (uint64_t)i : config->workspaces[0].hash;
        items[i].tokens = i ? OTHERS : tokens;
        items[i].asked = FAR;
        usage[i] = &items[i];
    }
    wg_config_unref(config);
    fake_control_send_leader_state(&leader, &(fake_update){.version = VERSION,
                                                           .document = document,
                                                           .target = target_address,
                                                           .usage = usage,
                                                           .usage_num = WORKSPACES,
                                                           .running = running,
                                                           .report_ms = 2000});
    run_turns(20);
}

static void begin(int refuse_over_share) {
    fake_entry_refuse_over_share = refuse_over_share;
    one_entry_begin();
}

static const char prompt[] = "Walnutgate-Key: key-most\r\n"
                             "Walnutgate-Prompt-Parts: 5c1e:800,91bd:410\r\n"
                             "Walnutgate-Prompt-Tokens: 1210,80\r\n";

static double retry_after_of(const char* answer) {
    const char* field = strstr(answer, "Retry-After: ");
    return field ? strtod(field + strlen("Retry-After: "), NULL) : -1;
}

/* ---- the log -------------------------------------------------------------------------------- */

static int yield_ms(void) {
    const char* at = strstr(one_entry_ended, " yield_ms=");
    ck_assert_ptr_nonnull(at);
    return (int)strtol(at + strlen(" yield_ms="), NULL, 10);
}

/* The target also receives queries for cached prompts. */
static bool arrives_at_target(const char* path) {
    for (int i = 0; i < TURNS_MAX && !strstr(target_received->str, path); i++) {
        local_run_loop(base);
    }
    return strstr(target_received->str, path) != NULL;
}

/* Waits until the host has noticed that the caller left. */
static bool ends_without_caller(void) {
    for (int i = 0; i < TURNS_MAX && !strstr(one_entry_ended, "reason=caller-left"); i++) {
        local_run_loop(base);
    }
    return strstr(one_entry_ended, "reason=caller-left") != NULL;
}

/* ---- tests ---------------------------------------------------------------------------------- */

/* Guards against requests that wait for a target that may not be asked, and against callers that
   are told to return before they can be served. */
START_TEST(request_far_above_the_share_is_refused_at_once) {
    one_entry_record_ended();
    char answer[1024];
    begin(1);
    lead(FAR, 1);
    int fd = send_get("/a/x", prompt);
    ck_assert_int_eq(status_within(fd, answer, AT_ONCE_MS), 503);
    ck_assert_ptr_nonnull(strstr(answer, "{\"code\":\"over_share\",\"verdict\":\"not-run\"}"));
    ck_assert_double_ge(retry_after_of(answer), FAR_YIELD / 1000.0 - 0.01);
    ck_assert_double_le(retry_after_of(answer), FAR_YIELD * 4 / 3000.0 + 0.01);
    ck_assert_ptr_nonnull(strstr(one_entry_ended, "verdict=not-run reason=over_share"));
    ck_assert_int_ge(yield_ms(), FAR_YIELD - 10);
    ck_assert_int_le(yield_ms(), FAR_YIELD + 10);
    /* The connection serves the next request. */
    ck_assert_ptr_null(strstr(answer, "Connection: close"));
    char* again = g_strdup_printf("GET /a/y HTTP/1.1\r\nHost: h\r\n%s\r\n", prompt);
    ck_assert_int_eq(send(fd, again, strlen(again), MSG_NOSIGNAL), (ssize_t)strlen(again));
    g_free(again);
    ck_assert_int_eq(status_within(fd, answer, AT_ONCE_MS), 503);
    ck_assert(one_entry_metrics_contain("walnutgate_entry_over_share_refusals_total 2\n"));
    ck_assert(one_entry_metrics_contain("walnutgate_entry_refused_total 2\n"));
    ck_assert_ptr_null(strstr(target_received->str, "GET /a/"));
    close(fd);
    one_entry_end();
}
END_TEST

/* Guards against a Retry-After that callers do not honour, and against callers that return
   together. */
START_TEST(refused_callers_return_spread_within_their_time) {
    char answer[1024];
    double min = 1e9;
    double max = 0;
    begin(1);
    lead(FAR, 1);
    for (int i = 0; i < CALLERS; i++) {
        int fd = send_get("/a/x", prompt);
        ck_assert_int_eq(status_within(fd, answer, AT_ONCE_MS), 503);
        min = MIN(min, retry_after_of(answer));
        max = MAX(max, retry_after_of(answer));
        close(fd);
        fd = send_get("/s/x", prompt); /* time-out of 2 s */
        ck_assert_int_eq(status_within(fd, answer, AT_ONCE_MS), 503);
        ck_assert_double_ge(retry_after_of(answer), 0.4);
        ck_assert_double_le(retry_after_of(answer), 0.67);
        close(fd);
    }
    ck_assert_double_ge(max - min, 0.3);
    one_entry_end();
}
END_TEST

/* Guards against a change without the setting: the request waits in the queue, and its caller is
   told the usual time. */
START_TEST(request_waits_in_the_queue_by_default) {
    one_entry_record_ended();
    char answer[1024];
    begin(0);
    lead(FAR, 1);
    int fd = send_get("/a/x", prompt);
    ck_assert_int_eq(status_within(fd, answer, AT_ONCE_MS), 0);
    ck_assert_int_eq(status_of(fd, answer), 503);
    ck_assert_ptr_nonnull(strstr(answer, "no_capacity"));
    ck_assert_double_le(retry_after_of(answer), 0.3);
    ck_assert_int_eq(yield_ms(), 0);
    ck_assert(one_entry_metrics_contain("walnutgate_entry_over_share_refusals_total 0\n"));
    close(fd);
    one_entry_end();
}
END_TEST

/* Guards against refusing what can be sent within its time in the queue, or while there is room. */
START_TEST(request_that_may_be_sent_in_time_is_not_refused) {
    one_entry_record_ended();
    char answer[1024];
    begin(1);
    /* 1.33 times the level of (usage + 4 * OTHERS) / 5: 40 ms until 1.3 times. */
    lead(OTHERS * 145 / 100, 1);
    int fd = send_get("/a/near", prompt);
    ck_assert_int_eq(status_within(fd, answer, AT_ONCE_MS), 0);
    ck_assert_int_eq(status_of(fd, answer), 503);
    ck_assert_ptr_nonnull(strstr(one_entry_ended, "reason=no_capacity"));
    ck_assert_int_gt(yield_ms(), 0);
    ck_assert_int_le(yield_ms(), NEAR_YIELD);
    close(fd);
    lead(FAR, 0);
    fd = send_get("/a/room", prompt);
    ck_assert(arrives_at_target("/a/room"));
    close(fd);
    ck_assert(ends_without_caller());
    ck_assert_int_eq(yield_ms(), 0);
    one_entry_end();
}
END_TEST

/* Guards against a verdict for a request that a target has had: its workspace is far above its
   share only when the first target refuses it. */
START_TEST(request_that_was_sent_is_not_refused_for_its_share) {
    one_entry_record_ended();
    char answer[1024];
    fake_entry_retry_slack = RETRIES;
    begin(1);
    lead(FAR, 0);
    int fd = send_get("/a/sent", prompt);
    ck_assert(arrives_at_target("/a/sent"));
    lead(FAR, 1);
    run_turns(ROOM_TURNS);
    target_close_connection();
    /* There is no other target, so that the retry ends in the queue. 503 would promise that the
       request has not run. */
    ck_assert_int_eq(status_of(fd, answer), 502);
    ck_assert_ptr_nonnull(strstr(one_entry_ended, "verdict=may-have-run reason=no_capacity"));
    ck_assert_ptr_null(strstr(answer, "Retry-After"));
    ck_assert(one_entry_metrics_contain("walnutgate_entry_retries_total 1\n"));
    ck_assert(one_entry_metrics_contain("walnutgate_entry_over_share_refusals_total 0\n"));
    close(fd);
    one_entry_end();
}
END_TEST

/* Guards against 503 for a request that may have run, whose retry waits in the queue until its time
   there is over. */
START_TEST(end_in_the_queue_of_a_request_that_may_have_run_is_502) {
    one_entry_record_ended();
    char answer[1024];
    fake_entry_retry_slack = RETRIES;
    begin(0);
    lead(OTHERS, 0);
    int fd = send_get("/a/sent", prompt);
    ck_assert(arrives_at_target("/a/sent"));
    target_close_connection();
    ck_assert_int_eq(status_within(fd, answer, AT_ONCE_MS), 0);
    ck_assert_int_eq(status_of(fd, answer), 502);
    ck_assert_ptr_nonnull(strstr(one_entry_ended, "verdict=may-have-run reason=no_capacity"));
    close(fd);
    one_entry_end();
}
END_TEST

/* Guards against a change of the bytes of a refusal: with an id, without, and without a body. */
START_TEST(refusal_has_the_same_bytes) {
    static const char* const cases[][3] = {
        {"GET", "X-Unused: 1\r\n", ""},
        {"GET", "Walnutgate-Request: id-7\r\n", "Walnutgate-Request: id-7\r\n"},
        {"HEAD", "Connection: close\r\n", ""}};
    begin(1);
    lead(FAR, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char answer[1024];
        bool head = strcmp(cases[i][0], "HEAD") == 0;
        char* fields = g_strconcat(prompt, cases[i][1], NULL);
        int fd = send_request(CALLERS_PORT, cases[i][0], "/a/x", fields);
        ck_assert_int_eq(status_within(fd, answer, AT_ONCE_MS), 503);
        char* expected = g_strdup_printf(
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n%s"
            "Retry-After: %.2f\r\nContent-Length: 41\r\n%s\r\n%s",
            cases[i][2], retry_after_of(answer), head ? "Connection: close\r\n" : "",
            head ? "" : "{\"code\":\"over_share\",\"verdict\":\"not-run\"}");
        ck_assert_str_eq(answer, expected);
        g_free(expected);
        g_free(fields);
        close(fd);
    }
    one_entry_end();
}
END_TEST

/* Guards against refusals by outdated usage for as long as there is no leader: its part of the copy
   is dropped, and the host's own usage decides. */
START_TEST(lost_leader_leaves_the_decision_to_the_host) {
    char answer[1024];
    begin(1);
    lead(FAR, 1);
    wgn_shutdown(leader.net);
    run_turns(ROOM_TURNS);
    int fd = send_get("/a/at-once", prompt);
    ck_assert_int_eq(status_within(fd, answer, AT_ONCE_MS), 503);
    ck_assert_ptr_nonnull(strstr(answer, "over_share"));
    close(fd);
    run_turns(DROPPED_TURNS);
    fd = send_get("/a/later", prompt);
    ck_assert(arrives_at_target("/a/later"));
    close(fd);
    leader.net = NULL;
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("entry share", request_far_above_the_share_is_refused_at_once,
             refused_callers_return_spread_within_their_time, request_waits_in_the_queue_by_default,
             request_that_may_be_sent_in_time_is_not_refused,
             request_that_was_sent_is_not_refused_for_its_share, refusal_has_the_same_bytes,
             lost_leader_leaves_the_decision_to_the_host,
             end_in_the_queue_of_a_request_that_may_have_run_is_502)
