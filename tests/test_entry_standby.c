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

static fake_update update_with(uint64_t version, const char* text) {
    return (fake_update){.version = version, .document = text, .target = target_address};
}

static void begin(int standby_ms) {
    fake_entry_standby_ms = standby_ms;
    one_entry_begin();
    fake_control_send_leader(&leader, NULL);
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

static void send_standby_state(const fake_update* update) {
    ck_assert(wait_for_standby_request(TURNS_MAX));
    fake_control_send_standby_state(&leader, update);
    run_turns(20);
}

START_TEST(host_without_a_leader_serves_by_a_replicas_state) {
    begin(STANDBY_MS);
    fake_update update = update_with(5, document);
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

START_TEST(standby_state_is_requested_after_a_wait_only) {
    begin(10 * STANDBY_MS);
    wait_without_leader(4 * STANDBY_MS);
    ck_assert_int_eq(leader.standby_requests, 0);
    one_entry_end();
}
END_TEST

START_TEST(standby_can_be_disabled) {
    begin(0);
    wait_without_leader(2 * STANDBY_MS);
    ck_assert_int_eq(leader.standby_requests, 0);
    one_entry_end();
}
END_TEST

/* A newer configuration may have the key or the route: the answer is 503 with Retry-After, not a
   denial. */
START_TEST(standby_refusal_is_retryable) {
    begin(STANDBY_MS);
    fake_update update = update_with(5, document);
    send_standby_state(&update);
    char answer[1024];
    int fd = send_get("/x", "Walnutgate-Key: other\r\n");
    ck_assert_int_eq(status_of(fd, answer), 503);
    ck_assert_ptr_nonnull(strstr(answer, "Retry-After"));
    close(fd);
    one_entry_end();
}
END_TEST

START_TEST(new_leader_replaces_standby_state) {
    begin(STANDBY_MS);
    fake_update update = update_with(5, document);
    send_standby_state(&update);
    fake_control_send_leader_state(&leader, &update);
    run_turns(20);
    char answer[1024];
    int fd = send_get("/x", "Walnutgate-Key: other\r\n");
    ck_assert_int_eq(status_of(fd, answer), 401);
    close(fd);
    one_entry_end();
}
END_TEST

/* The state of a replica that lags does not replace newer state from a leader. */
START_TEST(older_standby_configuration_is_ignored) {
    begin(STANDBY_MS);
    fake_update update = update_with(5, document);
    fake_control_send_leader_state(&leader, &update);
    run_turns(20);
    fake_control_send_leader(&leader, NULL);
    static const char older[] = "{\"version\":4,\"services\":[{\"name\":\"e\"}],\"routes\":[],"
                                "\"limits\":{},\"workspaces\":[]}";
    fake_update outdated = update_with(4, older);
    send_standby_state(&outdated);
    int fd = send_get("/x", "Walnutgate-Key: known\r\n");
    ck_assert(target_got_request());
    close(fd);
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("entry_standby", host_without_a_leader_serves_by_a_replicas_state,
             standby_state_is_requested_after_a_wait_only, standby_can_be_disabled,
             standby_refusal_is_retryable, new_leader_replaces_standby_state,
             older_standby_configuration_is_ignored)
