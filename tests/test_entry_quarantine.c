/* test_entry_quarantine.c -- one entry host and requests that end targets: what it tells the
   leader, and what it does with the leader's word; the leader and the target run within the test

   test_crashing_request.c tells the story. */
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "fake_control.h"
#include "wg_fingerprint.h"

enum {
    TURNS = 3000 /* of the loop, a millisecond each, before something counts as missing */
};

static struct event_base* base;
static fake_control leader;
static wg_entry* entry;
static char* target_at;
static struct evconnlistener* listener;
static struct bufferevent* asked_on; /* the connection on which a request came */
static int asked;                    /* requests that the target got */

static void turns(int num) {
    for (int i = 0; i < num; i++) {
        local_turn(base);
    }
}

/* ---- the target -------------------------------------------------------------------------------
 */

static void target_on_read(struct bufferevent* bev, void* user_data) {
    (void)user_data;
    struct evbuffer* in = bufferevent_get_input(bev);
    evbuffer_drain(in, evbuffer_get_length(in));
    asked_on = bev;
    asked++;
}

static void target_on_event(struct bufferevent* bev, short what, void* user_data) {
    (void)what;
    (void)user_data;
    if (asked_on == bev) {
        asked_on = NULL;
    }
    bufferevent_free(bev);
}

static void target_accept(struct evconnlistener* l, evutil_socket_t fd, struct sockaddr* from,
                          int size, void* user_data) {
    (void)l;
    (void)from;
    (void)size;
    (void)user_data;
    struct bufferevent* bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, target_on_read, NULL, target_on_event, NULL);
    bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void target_start(void) {
    struct sockaddr_storage at;
    int size;
    ck_assert(wgn_parse_address(target_at, &at, &size));
    listener = evconnlistener_new_bind(base, target_accept, NULL,
                                       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
                                       (struct sockaddr*)&at, size);
    ck_assert_ptr_nonnull(listener);
}

static void target_says(const char* bytes) {
    bufferevent_write(asked_on, bytes, strlen(bytes));
    turns(20);
}

static void target_answers(void) {
    target_says("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
}

static void target_breaks_off(void) {
    bufferevent_free(asked_on);
    asked_on = NULL;
}

static void target_ends(void) {
    evconnlistener_free(listener);
    listener = NULL;
    target_breaks_off();
}

/* ---- set-up -----------------------------------------------------------------------------------
 */

static void lead(const uint64_t* quarantined, size_t num, uint64_t change) {
    static const char document[] =
        "{\"version\":5,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"objective_ms\":500,"
        "\"attempts\":1,\"service\":\"e\"},{\"name\":\"s\",\"host\":\"h\",\"path_prefix\":\"/s/\","
        "\"kind\":\"stream\",\"timeout_ms\":2000,\"objective_ms\":500,\"attempts\":1,"
        "\"service\":\"e\"}],\"limits\":{},\"workspaces\":[]}";
    fake_control_leads(&leader, &(fake_word){.version = 5,
                                             .document = document,
                                             .target = target_at,
                                             .quarantined = quarantined,
                                             .quarantined_num = num,
                                             .quarantine_change = change});
    turns(20);
}

static void begin(void) {
    base = local_base();
    asked_on = NULL;
    asked = 0;
    target_at = local_address(31, 18007);
    target_start();
    fake_control_begin(base, &leader, 1);
    char* seeds[] = {leader.address, NULL};
    entry = fake_control_entry(base, seeds);
    for (int i = 0; i < TURNS && leader.ups == 0; i++) {
        local_turn(base);
    }
    lead(NULL, 0, 0);
}

static void end(void) {
    wg_entry_shutdown(entry);
    fake_control_end(&leader);
    if (listener) {
        evconnlistener_free(listener);
    }
    event_base_free(base);
    g_free(target_at);
}

/* ---- callers ----------------------------------------------------------------------------------
 */

static int connected_to(const char* address) {
    struct sockaddr_storage to;
    int size;
    ck_assert(wgn_parse_address(address, &to, &size));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ck_assert(connect(fd, (struct sockaddr*)&to, (socklen_t)size) == 0 || errno == EINPROGRESS);
    turns(2);
    return fd;
}

static int send_to(int port, const char* method, const char* path) {
    char* address = local_address(11, port);
    char* request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: h\r\n\r\n", method, path);
    int fd = connected_to(address);
    ck_assert_int_eq(send(fd, request, strlen(request), MSG_NOSIGNAL), (ssize_t)strlen(request));
    turns(20);
    g_free(request);
    g_free(address);
    return fd;
}

static int caller(const char* path) {
    return send_to(18001, "GET", path);
}

static int status_of(int fd, char answer[1024]) {
    answer[0] = 0;
    for (int i = 0; i < TURNS; i++) {
        local_turn(base);
        ssize_t got = recv(fd, answer, 1023, 0);
        if (got > 0) {
            answer[got] = 0;
            return (int)strtol(answer + strlen("HTTP/1.1 "), NULL, 10);
        }
    }
    return 0;
}

static uint64_t fingerprint_of(const char* path) {
    uint64_t seed = wg_fingerprint_seed("a key for the fleet");
    return wg_fingerprint(
        &(wg_fingerprint_desc){.seed = seed, .host = {"h", 1}, .path = {path, strlen(path)}});
}

/* ---- evidence ---------------------------------------------------------------------------------
 */

START_TEST(an_end_of_a_target_is_told_with_the_request_that_was_there) {
    begin();
    int fd = caller("/a/x");
    ck_assert_int_eq(asked, 1);
    target_ends();
    turns(200);
    ck_assert_int_eq(leader.crashes, 1);
    ck_assert_uint_eq(leader.crash_of, fingerprint_of("/a/x"));
    ck_assert(!leader.crash_was_early);
    close(fd);
    end();
}
END_TEST

START_TEST(a_stream_that_had_just_begun_is_told_as_such) {
    begin();
    int fd = caller("/s/x");
    target_says("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    target_ends();
    turns(200);
    ck_assert_int_eq(leader.crashes, 1);
    ck_assert(leader.crash_was_early);
    close(fd);
    end();
}
END_TEST

/* Resets, cuts of single answers and connections beyond a target's limit look alike at first. */
START_TEST(a_target_that_only_breaks_off_is_no_evidence) {
    begin();
    int fd = caller("/a/x");
    target_breaks_off();
    turns(300);
    ck_assert_int_eq(leader.crashes, 0);
    close(fd);
    end();
}
END_TEST

START_TEST(a_new_link_is_told_all_evidence_again) {
    begin();
    int fd = caller("/a/x");
    target_ends();
    turns(200);
    ck_assert_int_eq(leader.crashes, 1);
    wgn_close(leader.net, leader.link);
    int ups = leader.ups;
    for (int i = 0; i < TURNS && leader.ups == ups; i++) {
        local_turn(base);
    }
    turns(200);
    ck_assert_int_eq(leader.crashes, 2);
    close(fd);
    end();
}
END_TEST

/* Without a leader a host goes by what it saw. */
START_TEST(a_host_refuses_by_itself_what_ended_targets) {
    char answer[1024];
    begin();
    for (int i = 0; i < 2; i++) {
        int fd = caller("/s/x");
        target_says("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
        target_ends();
        turns(200);
        close(fd);
        target_start();
        /* Another start of a target, at the same address. */
        fake_control_leads(&leader, &(fake_word){.version = 5,
                                                 .document = "",
                                                 .target = target_at,
                                                 .number = (uint32_t)i + 2,
                                                 .change = (uint64_t)i + 2});
        turns(1200);
    }
    int before = asked;
    int fd = caller("/s/x");
    ck_assert_int_eq(status_of(fd, answer), 503);
    ck_assert_int_eq(asked, before);
    close(fd);
    fd = caller("/s/y");
    ck_assert_int_eq(asked, before + 1);
    close(fd);
    end();
}
END_TEST

/* ---- the leader's word ------------------------------------------------------------------------
 */

START_TEST(a_quarantined_request_is_refused_at_once) {
    char answer[1024];
    uint64_t list[] = {fingerprint_of("/a/x")};
    begin();
    lead(list, 1, 1);
    int fd = caller("/a/x");
    ck_assert_int_eq(status_of(fd, answer), 503);
    ck_assert_ptr_nonnull(strstr(answer, "quarantined"));
    ck_assert_ptr_nonnull(strstr(answer, "not-run"));
    ck_assert_ptr_nonnull(strstr(answer, "Retry-After: 60"));
    ck_assert_int_eq(asked, 0);
    close(fd);
    fd = caller("/a/y"); /* others are served */
    target_answers();
    ck_assert_int_eq(status_of(fd, answer), 200);
    close(fd);
    lead(NULL, 0, 2);
    fd = caller("/a/x");
    target_answers();
    ck_assert_int_eq(status_of(fd, answer), 200);
    close(fd);
    end();
}
END_TEST

/* A target that has not begun drops it; that saves the target. It may have run: no promise. */
START_TEST(a_quarantine_stops_what_is_under_way) {
    char answer[1024];
    uint64_t list[] = {fingerprint_of("/a/x")};
    begin();
    int fd = caller("/a/x");
    ck_assert_int_eq(asked, 1);
    lead(list, 1, 1);
    ck_assert_int_eq(status_of(fd, answer), 502);
    ck_assert_ptr_nonnull(strstr(answer, "may-have-run"));
    turns(20);
    ck_assert_ptr_null(asked_on);
    close(fd);
    end();
}
END_TEST

/* One that a target has begun to answer goes on: if it ends well, it was not what ended targets. */
START_TEST(a_request_that_ends_well_is_told) {
    char answer[1024];
    uint64_t list[] = {fingerprint_of("/s/x")};
    begin();
    int fd = caller("/s/x");
    target_says("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    lead(list, 1, 1);
    target_says("f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n");
    ck_assert_int_eq(status_of(fd, answer), 200);
    turns(100);
    ck_assert_uint_eq(leader.ended_well, list[0]);
    close(fd);
    end();
}
END_TEST

START_TEST(a_request_that_ended_well_before_is_told) {
    char answer[1024];
    uint64_t list[] = {fingerprint_of("/a/x")};
    begin();
    int fd = caller("/a/x");
    target_answers();
    ck_assert_int_eq(status_of(fd, answer), 200);
    close(fd);
    lead(list, 1, 1);
    turns(100);
    ck_assert_uint_eq(leader.ended_well, list[0]);
    end();
}
END_TEST

START_TEST(an_operator_lists_and_lets_through) {
    char answer[1024];
    uint64_t list[] = {0x0123456789abcdef};
    begin();
    lead(list, 1, 1);
    int fd = send_to(18002, "GET", "/v1/quarantine");
    ck_assert_int_eq(status_of(fd, answer), 200);
    ck_assert_ptr_nonnull(strstr(answer, "0123456789abcdef"));
    close(fd);
    fd = send_to(18004, "DELETE", "/v1/quarantine/0123456789abcdef");
    ck_assert_int_eq(status_of(fd, answer), 200);
    ck_assert_uint_eq(leader.quarantine_ended, list[0]);
    close(fd);
    fd = send_to(18004, "DELETE", "/v1/quarantine/all");
    ck_assert_int_eq(status_of(fd, answer), 400);
    close(fd);
    end();
}
END_TEST

WG_TEST_MAIN("entry quarantine", an_end_of_a_target_is_told_with_the_request_that_was_there,
             a_stream_that_had_just_begun_is_told_as_such,
             a_target_that_only_breaks_off_is_no_evidence, a_new_link_is_told_all_evidence_again,
             a_host_refuses_by_itself_what_ended_targets, a_quarantined_request_is_refused_at_once,
             a_quarantine_stops_what_is_under_way, a_request_that_ends_well_is_told,
             a_request_that_ended_well_before_is_told, an_operator_lists_and_lets_through)
