/* test_entry_targets.c -- heartbeats and deregistrations at one entry host, well-formed and not;
   the leader runs in the process of the test

   Malformed requests are answered and not passed on: an order that reached the leader could end the
   target with that id or address. */
#include "one_entry.h"

static void begin(void) {
    static const char document[] =
        "{\"version\":5,\"services\":[{\"name\":\"app\"}],\"routes\":[],\"limits\":{},"
        "\"workspaces\":[]}";
    one_entry_begin();
    fake_control_send_leader_state(
        &leader, &(fake_update){.version = 5, .document = document, .target = "10.0.0.9:80"});
    run_turns(20);
}

/* Sends an order for target "t-7"; returns the status of the answer, 0: none. */
static int order(const char* method, const char* body, size_t size) {
    char answer[1024];
    char length[48];
    g_snprintf(length, sizeof length, "Content-Length: %zu\r\nConnection: close\r\n", size);
    int fd = send_request(ORDERS_PORT, method, "/v1/targets/t-7", length);
    ck_assert_int_eq(send(fd, body, size, MSG_NOSIGNAL), (ssize_t)size);
    int status = status_of(fd, answer);
    close(fd);
    return status;
}

static int put(const char* body) {
    return order("PUT", body, strlen(body));
}

#define HEARTBEAT(service, state)                                                                  \
    "{\"service\":\"" service "\",\"address\":\"10.0.0.1:80\",\"data_centre\":\"dc\","             \
    "\"version\":\"v1\",\"slots\":6,\"state\":\"" state "\",\"sequence\":4,\"born\":77}"

START_TEST(heartbeat_is_forwarded_to_the_leader) {
    begin();
    ck_assert_int_eq(put(HEARTBEAT("app", "ready")), 200);
    ck_assert_int_eq(leader.target_orders, 1);
    ck_assert_uint_eq(leader.target_born, 77);
    ck_assert_int_eq(order("DELETE", "", 0), 200);
    ck_assert_int_eq(leader.target_orders, 2);
    ck_assert_uint_eq(leader.target_born, 0);
    ck_assert_int_eq(order("DELETE", "{\"born\":78}", 11), 200);
    ck_assert_uint_eq(leader.target_born, 78);
    one_entry_end();
}
END_TEST

START_TEST(malformed_orders_are_not_forwarded) {
    begin();
    ck_assert_int_eq(put(HEARTBEAT("app", "unheard-of")), 400);
    ck_assert_int_eq(put(HEARTBEAT("unheard-of", "ready")), 400);
    ck_assert_int_eq(put("{\"service\":\"app\",\"address\":\"10.0.0.1:80\"}"), 400);
    ck_assert_int_eq(put("[1,2]"), 400);
    ck_assert_int_eq(put("not json"), 400);
    ck_assert_int_eq(put(""), 400);
    ck_assert_int_eq(order("PUT", "{\"\0\xff\xfe\x80}", 7), 400);
    ck_assert_int_eq(order("DELETE", "\xff\xfe", 2), 400);
    ck_assert_int_eq(order("DELETE", "{\"born\":\"7\"}", 12), 400);
    ck_assert_int_eq(leader.target_orders, 0);
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("entry targets", heartbeat_is_forwarded_to_the_leader,
             malformed_orders_are_not_forwarded)
