/* test_entry_standby.c -- an entry host that starts while no leader can be elected

   Without a quorum such a host must serve by the state of any replica instead of refusing all
   requests for lack of a configuration. */
#include "one_entry.h"

enum {
    STANDBY_MS = 500
};

static const char document[] =
    "{\"version\":5,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
    "\"path_prefix\":\"/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"objective_ms\":500,"
    "\"attempts\":1,\"service\":\"e\"}],\"limits\":{},"
    "\"workspaces\":[{\"name\":\"w\",\"keys\":[\"known\"]}]}";

static fake_word update_with(uint64_t version, const char* text) {
    return (fake_word){.version = version, .document = text, .target = target_address};
}

static void begin(int standby_ms) {
    fake_entry_standby_ms = standby_ms;
    one_entry_begin();
    fake_control_says(&leader, NULL);
}

static void wait_without_leader(int ms) {
    for (int i = 0; i < ms; i++) {
        run_turns(1);
    }
}

static bool wait_for_standby_request(int ms) {
    for (int i = 0; i < ms && leader.standby_requests == 0; i++) {
        run_turns(1);
    }
    return leader.standby_requests > 0;
}

static void send_standby_state(const fake_word* update) {
    ck_assert(wait_for_standby_request(TURNS_MAX));
    fake_control_send_standby_state(&leader, update);
    run_turns(20);
}

START_TEST(a_host_without_a_leader_serves_by_what_a_replica_holds) {
    begin(STANDBY_MS);
    fake_word update = update_with(5, document);
    send_standby_state(&update);
    int fd = send_get("/x", "Walnutgate-Key: known\r\n");
    ck_assert(target_got_request());
    target_answer("whole");
    char answer[1024];
    ck_assert_int_eq(status_of(fd, answer), 200);
    close(fd);
    one_entry_end();
}
END_TEST

START_TEST(it_waits_for_a_leader_first) {
    begin(10 * STANDBY_MS);
    wait_without_leader(4 * STANDBY_MS);
    ck_assert_int_eq(leader.standby_requests, 0);
    one_entry_end();
}
END_TEST

START_TEST(it_never_does_when_told_so) {
    begin(0);
    wait_without_leader(2 * STANDBY_MS);
    ck_assert_int_eq(leader.standby_requests, 0);
    one_entry_end();
}
END_TEST

/* A newer configuration may have the key or the route: the answer is 503 with Retry-After, not a
   denial. */
START_TEST(what_that_does_not_allow_is_no_denial) {
    begin(STANDBY_MS);
    fake_word update = update_with(5, document);
    send_standby_state(&update);
    char answer[1024];
    int fd = send_get("/x", "Walnutgate-Key: other\r\n");
    ck_assert_int_eq(status_of(fd, answer), 503);
    ck_assert_ptr_nonnull(strstr(answer, "Retry-After"));
    close(fd);
    one_entry_end();
}
END_TEST

START_TEST(a_leader_that_comes_decides_again) {
    begin(STANDBY_MS);
    fake_word update = update_with(5, document);
    send_standby_state(&update);
    fake_control_leads(&leader, &update);
    run_turns(20);
    char answer[1024];
    int fd = send_get("/x", "Walnutgate-Key: other\r\n");
    ck_assert_int_eq(status_of(fd, answer), 401);
    close(fd);
    one_entry_end();
}
END_TEST

/* The state of a replica that lags does not replace newer state from a leader. */
START_TEST(an_older_configuration_is_not_taken) {
    begin(STANDBY_MS);
    fake_word update = update_with(5, document);
    fake_control_leads(&leader, &update);
    run_turns(20);
    fake_control_says(&leader, NULL);
    static const char older[] = "{\"version\":4,\"services\":[{\"name\":\"e\"}],\"routes\":[],"
                                "\"limits\":{},\"workspaces\":[]}";
    fake_word outdated = update_with(4, older);
    send_standby_state(&outdated);
    int fd = send_get("/x", "Walnutgate-Key: known\r\n");
    ck_assert(target_got_request());
    close(fd);
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("entry_standby", a_host_without_a_leader_serves_by_what_a_replica_holds,
             it_waits_for_a_leader_first, it_never_does_when_told_so,
             what_that_does_not_allow_is_no_denial, a_leader_that_comes_decides_again,
             an_older_configuration_is_not_taken)
