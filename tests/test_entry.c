/* test_entry.c -- limit of caller connections at one entry host in the process of the test */
#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>

#include "loopback.h"
#include "wg_entry.h"
#include "wg_test.h"

enum {
    CALLERS_MAX = 8,
    TURNS_MAX = 400 /* 1 ms loop turns to wait before an answer counts as missing */
};

static struct event_base* base;
static wg_entry* entry;
static uint16_t port;

static char* address(int number) {
    return g_strdup_printf("127.77.%d.%d:%d", loopback_part(), number, 18000 + getpid() % 9000);
}

static void begin(int64_t callers_max, int64_t descriptors) {
    static char* seeds[] = {"127.77.0.1:1", NULL};
    wg_entry_settings settings = {.name = "here",
                                  .data_centre = "dc",
                                  .callers_listen = address(1),
                                  .ready_listen = address(2),
                                  .entry_listen = address(3),
                                  .orders_listen = address(4),
                                  .fleet_listen = address(5),
                                  .seeds = seeds,
                                  .fleet_port = 1,
                                  .fleet_key = "a key for the fleet",
                                  .entry_keep_s = 1,
                                  .grace_s = 8,
                                  .link_silence_ms = 1200,
                                  .order_ms = 900,
                                  .retry_window_ms = 10000,
                                  .callers_max = callers_max,
                                  .descriptors = descriptors};
    static wg_entry_settings kept;
    kept = settings;
    GError* error = NULL;
    base = event_base_new();
    entry = wg_entry_setup(&(wg_entry_desc){.base = base, .settings = &kept}, &error);
    ck_assert_msg(entry != NULL, "%s", error ? error->message : "");
    port = (uint16_t)(18000 + getpid() % 9000);
}

static void end(void) {
    wg_entry_shutdown(entry);
    event_base_free(base);
}

static void turn(void) {
    event_base_loop(base, EVLOOP_NONBLOCK);
    g_usleep(1000);
}

static int connect_caller(void) {
    char* text = address(1);
    *strchr(text, ':') = 0;
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(port)};
    ck_assert_int_eq(inet_pton(AF_INET, text, &to.sin_addr), 1);
    g_free(text);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ck_assert(connect(fd, (struct sockaddr*)&to, sizeof to) == 0 || errno == EINPROGRESS);
    turn();
    return fd;
}

/* Status of the answer to one request; 0 if none arrived. */
static int request_status(int fd) {
    static const char request[] = "GET /x/ HTTP/1.1\r\nHost: h\r\n\r\n";
    char answer[512] = "";
    ssize_t sent = -1;
    for (int i = 0; i < TURNS_MAX && sent < 0; i++) {
        turn();
        sent = send(fd, request, sizeof request - 1, MSG_NOSIGNAL);
        if (sent < 0 && errno != EAGAIN && errno != ENOTCONN) {
            return 0;
        }
    }
    for (int i = 0; i < TURNS_MAX; i++) {
        turn();
        ssize_t got = recv(fd, answer, sizeof answer - 1, 0);
        if (got > 0) {
            return (int)strtol(answer + strlen("HTTP/1.1 "), NULL, 10);
        }
        if (got == 0 || errno != EAGAIN) {
            return 0;
        }
    }
    return 0;
}

static bool is_closed(int fd) {
    char byte;
    for (int i = 0; i < 20; i++) {
        turn();
    }
    return recv(fd, &byte, 1, MSG_PEEK) == 0;
}

/* At the limit, a new connection closes the connection that has been idle for longest. */
START_TEST(longest_idle_caller_is_closed_at_the_limit) {
    int callers[CALLERS_MAX + 3];
    begin(CALLERS_MAX, 0);
    for (int i = 0; i < CALLERS_MAX; i++) {
        callers[i] = connect_caller();
        ck_assert_int_eq(request_status(callers[i]), 503);
    }
    /* After this request callers[1] has been idle for longest. */
    ck_assert_int_eq(request_status(callers[0]), 503);
    callers[CALLERS_MAX] = connect_caller();
    ck_assert_int_eq(request_status(callers[CALLERS_MAX]), 503);
    ck_assert(is_closed(callers[1]));
    ck_assert(!is_closed(callers[0]));
    ck_assert(!is_closed(callers[2]));
    for (int i = 0; i <= CALLERS_MAX; i++) {
        close(callers[i]);
    }
    end();
}
END_TEST

/* A connection with a partly received request is not closed for a new one. */
START_TEST(caller_with_a_partial_request_is_not_closed) {
    int callers[CALLERS_MAX];
    begin(CALLERS_MAX, 0);
    for (int i = 0; i < CALLERS_MAX; i++) {
        callers[i] = connect_caller();
        ck_assert_int_eq(send(callers[i], "GET ", 4, MSG_NOSIGNAL), 4);
        turn();
    }
    int last = connect_caller();
    ck_assert_int_eq(request_status(last), 0);
    for (int i = 0; i < CALLERS_MAX; i++) {
        ck_assert(!is_closed(callers[i]));
        close(callers[i]);
    }
    close(last);
    end();
}
END_TEST

/* A connection with an unread request is not closed for a new one: its request would go without an
   answer. */
START_TEST(caller_with_an_unread_request_is_not_closed) {
    static const char request[] = "GET /x/ HTTP/1.1\r\nHost: h\r\n\r\n";
    int callers[CALLERS_MAX];
    char answer[512] = "";
    begin(CALLERS_MAX, 0);
    for (int i = 0; i < CALLERS_MAX; i++) {
        callers[i] = connect_caller();
        ck_assert_int_eq(request_status(callers[i]), 503);
    }
    struct sockaddr_in host;
    socklen_t size = sizeof host;
    ck_assert_int_eq(getpeername(callers[0], (struct sockaddr*)&host, &size), 0);
    int last = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ck_assert(connect(last, (struct sockaddr*)&host, size) == 0 || errno == EINPROGRESS);
    ck_assert_int_gt(send(callers[0], request, sizeof request - 1, MSG_NOSIGNAL), 0);
    for (int i = 0; i < 50; i++) {
        turn();
    }
    ck_assert_int_gt(recv(callers[0], answer, sizeof answer - 1, 0), 0);
    ck_assert_int_eq(strtol(answer + strlen("HTTP/1.1 "), NULL, 10), 503);
    ck_assert(is_closed(callers[1])); /* the longest idle connection without an unread request */
    ck_assert_int_eq(request_status(last), 503);
    for (int i = 0; i < CALLERS_MAX; i++) {
        close(callers[i]);
    }
    close(last);
    end();
}
END_TEST

START_TEST(descriptors_limit_callers) {
    int first;
    begin(1000, 10); /* leaves seven descriptors for callers */
    first = connect_caller();
    ck_assert_int_eq(request_status(first), 503);
    int others[7];
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        others[i] = connect_caller();
        ck_assert_int_eq(request_status(others[i]), 503);
    }
    ck_assert(is_closed(first));
    for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
        close(others[i]);
    }
    close(first);
    end();
}
END_TEST

WG_TEST_MAIN("entry", longest_idle_caller_is_closed_at_the_limit,
             caller_with_a_partial_request_is_not_closed,
             caller_with_an_unread_request_is_not_closed, descriptors_limit_callers)
