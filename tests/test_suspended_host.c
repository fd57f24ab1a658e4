/* test_suspended_host.c -- an entry host that was suspended for some seconds, with a leader and a
   target that run within the test

   The clock of all decisions counts the time in which the host was suspended, timers of the loop do
   not: whatever a timer guards is late by that time. Seen on this test before the mend: a caller
   whose time was over when the host woke got its answer 1.9 s later. */
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "fake_control.h"

enum {
    TURNS = 3000, /* of the loop, a millisecond each, before something counts as missing */
    TIMEOUT_MS = 2000,
    SUSPENDED_MS = 5000,
    AWAKE_MS = 300 /* in which what is over has to be answered */
};

static struct event_base* base;
static fake_control leader;
static wg_entry* entry;
static char* target_at;
static struct evconnlistener* listener;
static int asked; /* requests that the target got; it answers none */

static void turns(int num) {
    for (int i = 0; i < num; i++) {
        local_turn(base);
    }
}

static void target_on_read(struct bufferevent* bev, void* user_data) {
    (void)user_data;
    struct evbuffer* in = bufferevent_get_input(bev);
    evbuffer_drain(in, evbuffer_get_length(in));
    asked++;
}

static void target_on_event(struct bufferevent* bev, short what, void* user_data) {
    (void)what;
    (void)user_data;
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

static void begin(void) {
    static const char document[] =
        "{\"version\":5,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"objective_ms\":500,"
        "\"attempts\":1,\"service\":\"e\"}],\"limits\":{},\"workspaces\":[]}";
    struct sockaddr_storage at;
    int size;
    base = local_base();
    asked = 0;
    target_at = local_address(31, 18007);
    ck_assert(wgn_parse_address(target_at, &at, &size));
    listener = evconnlistener_new_bind(base, target_accept, NULL,
                                       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
                                       (struct sockaddr*)&at, size);
    ck_assert_ptr_nonnull(listener);
    fake_control_begin(base, &leader, 1);
    char* seeds[] = {leader.address, NULL};
    entry = fake_control_entry(base, seeds);
    for (int i = 0; i < TURNS && leader.ups == 0; i++) {
        local_turn(base);
    }
    fake_control_leads(&leader,
                       &(fake_word){.version = 5, .document = document, .target = target_at});
    turns(20);
}

static void end(void) {
    wg_entry_shutdown(entry);
    fake_control_end(&leader);
    evconnlistener_free(listener);
    event_base_free(base);
    g_free(target_at);
}

static int caller(void) {
    static const char request[] = "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n";
    char* address = local_address(11, 18001);
    struct sockaddr_storage to;
    int size;
    ck_assert(wgn_parse_address(address, &to, &size));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ck_assert(connect(fd, (struct sockaddr*)&to, (socklen_t)size) == 0 || errno == EINPROGRESS);
    turns(2);
    ck_assert_int_eq(send(fd, request, sizeof request - 1, MSG_NOSIGNAL), sizeof request - 1);
    g_free(address);
    return fd;
}

/* Status of the answer; 0: none came in so many milliseconds. */
static int status_within(int fd, int ms) {
    char answer[1024] = "";
    for (int i = 0; i < ms; i++) {
        local_turn(base);
        if (recv(fd, answer, sizeof answer - 1, 0) > 0) {
            return (int)strtol(answer + strlen("HTTP/1.1 "), NULL, 10);
        }
    }
    return 0;
}

START_TEST(a_request_whose_time_is_over_is_answered_at_once) {
    begin();
    int fd = caller();
    for (int i = 0; i < TURNS && asked == 0; i++) {
        local_turn(base);
    }
    ck_assert_int_eq(asked, 1);
    wg_now_skip(SUSPENDED_MS * MSEC);
    ck_assert_int_eq(status_within(fd, AWAKE_MS), 504);
    close(fd);
    end();
}
END_TEST

/* The link to the leader was not silent, this host did not listen. */
START_TEST(a_host_that_wakes_keeps_its_leader) {
    begin();
    int reports = leader.reports;
    wg_now_skip(SUSPENDED_MS * MSEC);
    turns(AWAKE_MS);
    ck_assert_int_eq(leader.downs, 0);
    ck_assert_int_gt(leader.reports, reports);
    end();
}
END_TEST

WG_TEST_MAIN("suspended host", a_request_whose_time_is_over_is_answered_at_once,
             a_host_that_wakes_keeps_its_leader)
