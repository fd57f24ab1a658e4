/* test_entry_targets.c -- heartbeats and leaves at one entry host, of targets and of others that
   write to the same page; the leader runs within the test

   What is malformed gets an answer and goes no further: an order that reached the leader could end
   the target that has the id or the address. */
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "fake_control.h"

enum {
    TURNS = 2000 /* of the loop, a millisecond each, before an answer counts as missing */
};

static struct event_base* base;
static fake_control leader;
static wg_entry* entry;

static void turns(int num) {
    for (int i = 0; i < num; i++) {
        local_turn(base);
    }
}

static void begin(void) {
    static const char document[] =
        "{\"version\":5,\"services\":[{\"name\":\"app\"}],\"routes\":[],\"limits\":{},"
        "\"workspaces\":[]}";
    base = local_base();
    fake_control_begin(base, &leader, 1);
    char* seeds[] = {leader.address, NULL};
    entry = fake_control_entry(base, seeds);
    for (int i = 0; i < TURNS && leader.ups == 0; i++) {
        local_turn(base);
    }
    fake_control_leads(&leader,
                       &(fake_word){.version = 5, .document = document, .target = "10.0.0.9:80"});
    turns(20);
}

static void end(void) {
    wg_entry_shutdown(entry);
    fake_control_end(&leader);
    event_base_free(base);
}

static int connected_to(const char* address) {
    struct sockaddr_storage to;
    int size;
    ck_assert(wgn_parse_address(address, &to, &size));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ck_assert(connect(fd, (struct sockaddr*)&to, (socklen_t)size) == 0 || errno == EINPROGRESS);
    turns(2);
    return fd;
}

/* Status of the answer; 0: none. */
static int status_of(const char* method, const char* body, size_t size) {
    char* address = local_address(11, 18004);
    char* head = g_strdup_printf("%s /v1/targets/t-7 HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n"
                                 "Connection: close\r\n\r\n",
                                 method, size);
    char answer[512] = "";
    int status = 0;
    int fd = connected_to(address);
    ck_assert_int_eq(send(fd, head, strlen(head), MSG_NOSIGNAL), (ssize_t)strlen(head));
    ck_assert_int_eq(send(fd, body, size, MSG_NOSIGNAL), (ssize_t)size);
    for (int i = 0; i < TURNS && status == 0; i++) {
        local_turn(base);
        if (recv(fd, answer, sizeof answer - 1, 0) > 0) {
            status = (int)strtol(answer + strlen("HTTP/1.1 "), NULL, 10);
        }
    }
    close(fd);
    g_free(head);
    g_free(address);
    return status;
}

static int put(const char* body) {
    return status_of("PUT", body, strlen(body));
}

#define BEAT(service, state)                                                                       \
    "{\"service\":\"" service "\",\"address\":\"10.0.0.1:80\",\"data_centre\":\"dc\","             \
    "\"version\":\"v1\",\"slots\":6,\"state\":\"" state "\",\"sequence\":4,\"born\":77}"

START_TEST(a_heartbeat_goes_to_the_leader) {
    begin();
    ck_assert_int_eq(put(BEAT("app", "ready")), 200);
    ck_assert_int_eq(leader.target_orders, 1);
    ck_assert_uint_eq(leader.target_born, 77);
    ck_assert_int_eq(status_of("DELETE", "", 0), 200);
    ck_assert_int_eq(leader.target_orders, 2);
    ck_assert_uint_eq(leader.target_born, 0);
    ck_assert_int_eq(status_of("DELETE", "{\"born\":78}", 11), 200);
    ck_assert_uint_eq(leader.target_born, 78);
    end();
}
END_TEST

START_TEST(what_others_write_goes_nowhere) {
    begin();
    ck_assert_int_eq(put(BEAT("app", "unheard-of")), 400);
    ck_assert_int_eq(put(BEAT("unheard-of", "ready")), 400);
    ck_assert_int_eq(put("{\"service\":\"app\",\"address\":\"10.0.0.1:80\"}"), 400);
    ck_assert_int_eq(put("[1,2]"), 400);
    ck_assert_int_eq(put("not json"), 400);
    ck_assert_int_eq(put(""), 400);
    ck_assert_int_eq(status_of("PUT", "{\"\0\xff\xfe\x80}", 7), 400);
    ck_assert_int_eq(status_of("DELETE", "\xff\xfe", 2), 400);
    ck_assert_int_eq(status_of("DELETE", "{\"born\":\"7\"}", 12), 400);
    ck_assert_int_eq(leader.target_orders, 0);
    end();
}
END_TEST

WG_TEST_MAIN("entry targets", a_heartbeat_goes_to_the_leader, what_others_write_goes_nowhere)
