/* test_entry_flooded.c -- one entry host with more callers than it can serve at once

   Guards against disconnects, deadlines and idle timeouts that are handled late or wrongly when
   the event loop lags behind. */
#include "one_entry.h"

#include <signal.h>

enum {
    FLOOD_NUM = 480, /* callers; fewer than the 512 of the listen backlog */
    TIMEOUT_MS = 30000,
    IDLE_MS = 10000, /* longer than a test takes on a busy machine */
    TICK_MS = 60,    /* a little more than the tick of an entry host */
    BUSY_NUM = 150,
    BUSY_MS = 1,
    /* Minimum length of a planned stop: three times entry_keep_s, and the close delay. */
    STOP_MIN_MS = 3300,
    /* Flood requests that may be answered before the work of a disconnected caller is stopped: the
       loop's limit between two checks for higher priorities, for each of the two steps. */
    ANSWERED_BEFORE_MAX = 2 * 64
};

static const char complete_answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

static int flood[FLOOD_NUM];

/* Advances the host's clock without running the loop; the next tick is then due before any read. */
static void advance_clock(int ms) {
    wg_now_skip(ms * MSEC);
    g_usleep(TICK_MS * WG_USEC_PER_MSEC);
}

static void run_for(int ms) {
    struct timeval time = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_base_loopexit(base, &time);
    event_base_dispatch(base);
}

/* ---- helpers ----------------------------------------------------------------------------------
 */

static void begin(void) {
    one_entry_begin();
    one_entry_lead(
        &(one_route){.version = 5, .prefix = "/a/", .timeout_ms = TIMEOUT_MS, .idle_ms = IDLE_MS});
}

/* Connects without running the loop, so the host need not have accepted the connection. */
static int connect_only(void) {
    struct sockaddr_storage to;
    int size;
    char* callers = local_address(11, CALLERS_PORT);
    ck_assert(wgn_parse_address(callers, &to, &size));
    g_free(callers);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ck_assert(connect(fd, (struct sockaddr*)&to, (socklen_t)size) == 0 || errno == EINPROGRESS);
    return fd;
}

static void flood_connect(void) {
    for (int i = 0; i < FLOOD_NUM; i++) {
        flood[i] = connect_only();
    }
    run_turns(50);
}

/* Sends `request` on each connection without running the loop. */
static void flood_send(const char* request) {
    for (int i = 0; i < FLOOD_NUM; i++) {
        ck_assert_int_eq(send(flood[i], request, strlen(request), MSG_NOSIGNAL),
                         (ssize_t)strlen(request));
    }
}

/* Reads an answer on each connection, so that later answers can be counted. */
static void flood_read_answers(void) {
    char bytes[1024];
    for (int i = 0; i < FLOOD_NUM; i++) {
        ssize_t got = 0;
        for (int k = 0; k < TURNS_MAX && got <= 0; k++) {
            got = recv(flood[i], bytes, sizeof bytes, 0);
            if (got <= 0) {
                local_run_loop(base);
            }
        }
        ck_assert_int_gt(got, 0);
    }
}

static int flood_answered(void) {
    int num = 0;
    char byte;
    for (int i = 0; i < FLOOD_NUM; i++) {
        num += recv(flood[i], &byte, 1, MSG_PEEK) > 0;
    }
    return num;
}

static void flood_close(void) {
    for (int i = 0; i < FLOOD_NUM; i++) {
        close(flood[i]);
    }
}

static int answered_before; /* flood answers when the target connection closed; -1: still open */

static void on_work_stopped(struct bufferevent* bev, short what, void* user_data) {
    (void)bev;
    (void)what;
    (void)user_data;
    answered_before = flood_answered();
    event_base_loopbreak(base);
}

/* Reports the close of the target's connection with the highest priority. */
static void watch_target_connection(void) {
    answered_before = -1;
    bufferevent_setcb(target_connection, NULL, NULL, on_work_stopped, NULL);
    bufferevent_priority_set(target_connection, WGN_PRIORITY);
}

/* ---- tests ------------------------------------------------------------------------------------
 */

/* A disconnect of a caller must not queue behind the requests of all other callers. */
START_TEST(caller_disconnect_is_handled_before_new_requests) {
    static const char request[] = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n";
    begin();
    int fd = send_get("/a/x", "");
    ck_assert(target_got_request());
    watch_target_connection();
    flood_connect();
    flood_send(request);
    flood_read_answers(); /* libevent now returns this many events in one poll */
    flood_send(request);
    close(fd);
    for (int i = 0; i < TURNS_MAX && answered_before < 0; i++) {
        local_run_loop(base);
    }
    ck_assert_int_ge(answered_before, 0);
    ck_assert_int_le(answered_before, ANSWERED_BEFORE_MAX);
    bufferevent_free(target_connection);
    flood_close();
    one_entry_end();
}
END_TEST

/* The idle timeout must not close a connection whose request waits unread while the loop lags: the
   caller would get no answer. */
START_TEST(unread_request_keeps_its_connection_open) {
    static const char request[] = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n";
    char answer[1024];
    begin();
    int fd = connect_only();
    run_turns(10);
    ck_assert_int_eq(send(fd, request, sizeof request - 1, MSG_NOSIGNAL), sizeof request - 1);
    advance_clock(IDLE_MS);
    ck_assert_int_eq(status_of(fd, answer), 404);
    close(fd);
    one_entry_end();
}
END_TEST

/* The timeout of a partly read request must not count time in which the remainder waited unread. */
START_TEST(unread_remainder_of_a_request_does_not_time_out) {
    static const char first[] = "POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab";
    char answer[1024];
    begin();
    int fd = connect_only();
    ck_assert_int_eq(send(fd, first, sizeof first - 1, MSG_NOSIGNAL), sizeof first - 1);
    run_turns(10);
    ck_assert_int_eq(send(fd, "cd", 2, MSG_NOSIGNAL), 2);
    advance_clock(IDLE_MS);
    ck_assert_int_eq(status_of(fd, answer), 404);
    close(fd);
    one_entry_end();
}
END_TEST

START_TEST(idle_connection_is_closed) {
    char byte;
    begin();
    int fd = connect_only();
    run_turns(10);
    advance_clock(IDLE_MS);
    run_turns(200);
    ck_assert_int_eq(recv(fd, &byte, 1, 0), 0);
    close(fd);
    one_entry_end();
}
END_TEST

/* A shorter limit of a new configuration applies to connections that are open already. */
START_TEST(idle_connection_is_closed_after_a_shorter_limit) {
    enum {
        SHORTER_MS = 1000
    };
    char byte;
    begin();
    int fd = connect_only();
    run_turns(100); /* more than one tick */
    one_entry_lead(&(one_route){
        .version = 6, .prefix = "/a/", .timeout_ms = TIMEOUT_MS, .idle_ms = SHORTER_MS});
    advance_clock(SHORTER_MS);
    run_turns(200);
    ck_assert_int_eq(recv(fd, &byte, 1, 0), 0);
    close(fd);
    one_entry_end();
}
END_TEST

/* A planned stop must not end while a request waits unread: its connection would close without an
   answer. */
START_TEST(planned_stop_answers_unread_requests) {
    static const char request[] = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n";
    char byte;
    begin();
    int fd = connect_only();
    run_turns(10);
    wg_entry_stop(entry);
    run_turns(10);
    ck_assert(!event_base_got_break(base));
    ck_assert_int_eq(send(fd, request, sizeof request - 1, MSG_NOSIGNAL), sizeof request - 1);
    advance_clock(STOP_MIN_MS);
    for (int i = 0; i < TURNS_MAX && !event_base_got_break(base); i++) {
        local_run_loop(base);
    }
    ck_assert(event_base_got_break(base));
    ck_assert_int_gt(recv(fd, &byte, 1, 0), 0);
    close(fd);
    one_entry_end();
}
END_TEST

/* Keeps the loop busy: each round of all these events takes BUSY_NUM * BUSY_MS. */
static void on_busy(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    g_usleep(BUSY_MS * WG_USEC_PER_MSEC);
    event_active(*(struct event**)user_data, EV_TIMEOUT, 1);
}

/* The time that a request waited unread must be deducted from the deadline passed to a target;
   otherwise targets work on after the caller's deadline. */
START_TEST(deadline_includes_time_unread) {
    static const char request[] =
        "GET /a/x HTTP/1.1\r\nHost: h\r\nWalnutgate-Deadline-Ms: 20000\r\n\r\n";
    struct event* busy[BUSY_NUM];
    signal(SIGPIPE, SIG_IGN); /* as the daemons do */
    begin();
    for (int i = 0; i < BUSY_NUM; i++) {
        busy[i] = event_new(base, -1, 0, on_busy, &busy[i]);
        event_active(busy[i], EV_TIMEOUT, 1);
    }
    run_for(1000);
    int fd = connect_only();
    ck_assert_int_eq(send(fd, request, sizeof request - 1, MSG_NOSIGNAL), sizeof request - 1);
    for (int i = 0; i < 80 && target_received->len == 0; i++) {
        run_for(250);
    }
    const char* deadline_field = strstr(target_received->str, "Walnutgate-Deadline-Ms: ");
    ck_assert_ptr_nonnull(deadline_field);
    int64_t ms = strtol(deadline_field + strlen("Walnutgate-Deadline-Ms: "), NULL, 10);
    ck_assert_int_le(ms, 20000 - BUSY_NUM * BUSY_MS);
    for (int i = 0; i < BUSY_NUM; i++) {
        event_free(busy[i]);
    }
    close(fd);
    one_entry_end();
}
END_TEST

/* A request that no target accepts is refused after its queue time, also when a loop round takes
   longer than a tick: retries at each tick must not restart the queue time. */
START_TEST(request_without_a_target_is_refused_in_time) {
    static const char request[] =
        "GET /a/x HTTP/1.1\r\nHost: h\r\nWalnutgate-Deadline-Ms: 20000\r\n\r\n";
    struct event* busy[BUSY_NUM];
    char byte;
    signal(SIGPIPE, SIG_IGN); /* as the daemons do */
    begin();
    evconnlistener_free(listener);
    listener = NULL;
    for (int i = 0; i < BUSY_NUM; i++) {
        busy[i] = event_new(base, -1, 0, on_busy, &busy[i]);
        event_active(busy[i], EV_TIMEOUT, 1);
    }
    run_for(1000);
    int fd = connect_only();
    ck_assert_int_eq(send(fd, request, sizeof request - 1, MSG_NOSIGNAL), sizeof request - 1);
    ssize_t got = -1;
    for (int i = 0; i < 20 && got < 0; i++) {
        run_for(250);
        got = recv(fd, &byte, 1, 0);
    }
    ck_assert_int_eq(got, 1);
    for (int i = 0; i < BUSY_NUM; i++) {
        event_free(busy[i]);
    }
    close(fd);
    one_entry_end();
}
END_TEST

/* A target that cannot accept connections now: its queue of new connections is full. Returns the
   connection that fills it. */
static int fill_target_queue(void) {
    struct sockaddr_storage to;
    int size;
    ck_assert(wgn_parse_address(target_address, &to, &size));
    ck_assert_int_eq(listen(evconnlistener_get_fd(listener), 0), 0);
    evconnlistener_disable(listener);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ck_assert(connect(fd, (struct sockaddr*)&to, (socklen_t)size) == 0 || errno == EINPROGRESS);
    g_usleep(50 * WG_USEC_PER_MSEC);
    return fd;
}

/* A host that stands still while it connects must not take that time for the target's. The first
   attempt of the handshake is lost; the kernel repeats it after a second, which the host spends
   standing still until shortly before. */
START_TEST(stall_does_not_count_as_time_to_connect) {
    enum {
        STALL_MS = 900
    };
    static const char request[] = "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n";
    begin();
    int filler = fill_target_queue();
    int fd = connect_only();
    ck_assert_int_eq(send(fd, request, sizeof request - 1, MSG_NOSIGNAL), sizeof request - 1);
    run_turns(10); /* the request is read and the connection begun */
    g_usleep(STALL_MS * WG_USEC_PER_MSEC);
    evconnlistener_enable(listener);
    ck_assert(target_got_request());
    close(filler);
    close(fd);
    one_entry_end();
}
END_TEST

/* The priority of a connection must not change while its callback is pending: libevent would remove
   the callback from the wrong queue and lose events. Here an answer and the caller's next request
   arrive at once. */
START_TEST(answer_and_next_request_at_once_are_both_handled) {
    static const char* const requests[] = {"GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n",
                                           "GET /a/2 HTTP/1.1\r\nHost: h\r\n\r\n",
                                           "GET /a/3 HTTP/1.1\r\nHost: h\r\n\r\n"};
    char answer[1024];
    begin();
    int fd = connect_only();
    ck_assert_int_gt(send(fd, requests[0], strlen(requests[0]), MSG_NOSIGNAL), 0);
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        ck_assert(target_got_request());
        g_string_truncate(target_received, 0);
        ck_assert_int_gt(send(bufferevent_getfd(target_connection), complete_answer,
                              strlen(complete_answer), MSG_NOSIGNAL),
                         0);
        if (i + 1 < G_N_ELEMENTS(requests)) {
            ck_assert_int_gt(send(fd, requests[i + 1], strlen(requests[i + 1]), MSG_NOSIGNAL), 0);
        }
        ck_assert_int_eq(status_of(fd, answer), 200);
    }
    close(fd);
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("entry flooded", caller_disconnect_is_handled_before_new_requests,
             unread_request_keeps_its_connection_open,
             unread_remainder_of_a_request_does_not_time_out, idle_connection_is_closed,
             idle_connection_is_closed_after_a_shorter_limit, planned_stop_answers_unread_requests,
             request_without_a_target_is_refused_in_time, deadline_includes_time_unread,
             stall_does_not_count_as_time_to_connect,
             answer_and_next_request_at_once_are_both_handled)
