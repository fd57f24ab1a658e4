/* test_entry_overload.c -- one entry host that refuses requests on arrival

   Guards against refusals that run a request, break the caller's connection, or cost what a routed
   request costs. */
#include "one_entry.h"

#include "wg_entry_internal.h"

#include <signal.h>

enum {
    DELAY_MAX_MS = 60,
    TIMEOUT_MS = 30000,
    IDLE_MS = 10000,
    FLOOD_NUM = 300, /* callers; fewer than the 512 of the listen backlog */
    BUSY_NUM = 150,
    BUSY_MS = 1,
    CAPACITY_PER_TICK = 5,
    COUNTED_NUM = 2000,  /* a multiple of the capacity per tick */
    BODY_SIZE = 3 << 20, /* more than the sockets hold */
    STOP_MIN_MS = 3300   /* minimum length of a planned stop */
};

/* ---- helpers --------------------------------------------------------------------------------- */

static void begin_with_delay(int delay_ms) {
    signal(SIGPIPE, SIG_IGN); /* as the daemons do */
    fake_entry_input_delay_ms = delay_ms;
    one_entry_begin();
    one_entry_lead(
        &(one_route){.version = 5, .prefix = "/a/", .timeout_ms = TIMEOUT_MS, .idle_ms = IDLE_MS});
}

/* Counts requests as if they had been read. */
static void count_requests(int num) {
    for (int i = 0; i < num; i++) {
        wg_overload_admits(entry->overload, wg_now(), WG_OVERLOAD_NO_WORKSPACE);
    }
}

/* Uses up the share of requests without a workspace: the next ones are refused until the next
   tick. */
static void use_up_share(void) {
    count_requests(COUNTED_NUM);
}

/* Starts a host whose limit is in force, without a load that would slow the test down. */
static void begin_overloaded(void) {
    begin_with_delay(DELAY_MAX_MS);
    wg_time start = wg_now() + SECOND;
    wg_now_skip(2 * SECOND);
    for (wg_time now = start; now < wg_now(); now += WG_OVERLOAD_PERIOD) {
        count_requests(CAPACITY_PER_TICK);
        wg_overload_tick(entry->overload, now,
                         &(wg_overload_sample){.delay = 2 * DELAY_MAX_MS * MSEC, .since = now});
    }
    ck_assert(wg_overload_is_limited(entry->overload));
    use_up_share();
}

static void end(void) {
    one_entry_end();
    fake_entry_input_delay_ms = 0;
}

static int connect_caller(void) {
    char* callers = local_address(11, CALLERS_PORT);
    int fd = connect_to(callers);
    g_free(callers);
    return fd;
}

static void send_text(int fd, const char* text) {
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

/* Runs the loop until `size` bytes are sent, with the host refusing all the while. */
static void send_filler(int fd, size_t size) {
    static char bytes[16384];
    memset(bytes, 'x', sizeof bytes);
    for (int i = 0; i < TURNS_MAX && size > 0; i++) {
        ssize_t sent = send(fd, bytes, MIN(size, sizeof bytes), MSG_NOSIGNAL);
        ck_assert(sent > 0 || errno == EAGAIN);
        if (sent > 0) {
            size -= (size_t)sent;
        } else {
            local_run_loop(base);
        }
    }
    ck_assert_int_eq(size, 0);
}

static int refused_status(int fd, char answer[1024]) {
    use_up_share();
    return status_of(fd, answer);
}

/* Requests that the host treated as calls; a refusal on arrival is none. */
static uint64_t tries(void) {
    return entry->counters.tries;
}

static int answers_in(const char* text) {
    int num = 0;
    for (const char* at = text; (at = strstr(at, "HTTP/1.1 ")); at++) {
        num++;
    }
    return num;
}

/* Whether the host closes the connection without a further answer. */
static bool has_closed(int fd) {
    char byte;
    for (int i = 0; i < TURNS_MAX; i++) {
        ssize_t got = recv(fd, &byte, 1, 0);
        if (got >= 0) {
            return got == 0;
        }
        local_run_loop(base);
    }
    return false;
}

/* Keeps the loop busy: each round of all these events takes BUSY_NUM * BUSY_MS. */
static void on_busy(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    g_usleep(BUSY_MS * WG_USEC_PER_MSEC);
    event_active(*(struct event**)user_data, EV_TIMEOUT, 1);
}

/* ---- tests ----------------------------------------------------------------------------------- */

/* A refused request must not run, and the connection must serve the next one. */
START_TEST(refused_request_has_not_run_and_keeps_the_connection) {
    char answer[1024];
    begin_overloaded();
    int fd = send_get("/a/x", "");
    ck_assert_int_eq(refused_status(fd, answer), 503);
    ck_assert_ptr_nonnull(strstr(answer, "\"code\":\"overloaded\",\"verdict\":\"not-run\""));
    ck_assert_ptr_nonnull(strstr(answer, "Retry-After: "));
    ck_assert_ptr_null(strstr(answer, "Connection: close"));
    ck_assert_int_eq(requests_at_target(), 0);
    ck_assert_int_eq(tries(), 0);
    ck_assert_int_eq(entry->calls_num, 0);
    for (int i = 0; i < TURNS_MAX && wg_overload_is_limited(entry->overload); i++) {
        local_run_loop(base);
    }
    ck_assert(!wg_overload_is_limited(entry->overload));
    send_text(fd, "GET /a/y HTTP/1.1\r\nHost: h\r\n\r\n");
    ck_assert(target_got_request());
    target_answer("whole");
    ck_assert_int_eq(status_of(fd, answer), 200);
    ck_assert_int_eq(requests_at_target(), 1);
    close(fd);
    end();
}
END_TEST

/* The answer comes before the body, which is then neither kept nor taken for the next request. */
START_TEST(large_body_of_a_refused_request_is_dropped) {
    char answer[1024];
    begin_overloaded();
    int fd = connect_caller();
    char* head = g_strdup_printf("POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n",
                                 (int)BODY_SIZE);
    send_text(fd, head);
    ck_assert_int_eq(refused_status(fd, answer), 503);
    send_filler(fd, BODY_SIZE);
    run_turns(20);
    ck_assert_int_eq(entry->clients->len, 1);
    const wg_client* client = entry->clients->pdata[0];
    ck_assert_ptr_null(client->body_bytes);
    ck_assert_int_eq(evbuffer_get_length(bufferevent_get_input(client->bev)), 0);
    ck_assert_int_eq(evbuffer_get_length(entry->dropped_bytes), 0);
    send_text(fd, "GET /a/y HTTP/1.1\r\nHost: h\r\n\r\n");
    ck_assert_int_eq(refused_status(fd, answer), 503);
    ck_assert_int_eq(answers_in(answer), 1);
    ck_assert_int_eq(requests_at_target(), 0);
    g_free(head);
    close(fd);
    end();
}
END_TEST

/* Chunks may contain what looks like a request, and may arrive byte by byte. */
START_TEST(chunked_body_of_a_refused_request_is_dropped) {
    static const char body[] = "1e\r\nGET /a/y HTTP/1.1\r\nHost: h\r\n\r\n\r\n5;x=y\r\nabcde\r\n"
                               "0\r\nTrailer: t\r\n\r\n";
    char answer[1024];
    begin_overloaded();
    int fd = connect_caller();
    send_text(fd, "POST /a/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    ck_assert_int_eq(refused_status(fd, answer), 503);
    for (size_t i = 0; i < sizeof body - 1; i++) {
        use_up_share();
        ck_assert_int_eq(send(fd, &body[i], 1, MSG_NOSIGNAL), 1);
        run_turns(1);
    }
    run_turns(20);
    ck_assert_int_eq(recv(fd, answer, sizeof answer, 0), -1);
    send_text(fd, "GET /a/z HTTP/1.1\r\nHost: h\r\n\r\n");
    ck_assert_int_eq(refused_status(fd, answer), 503);
    ck_assert_int_eq(requests_at_target(), 0);
    close(fd);
    end();
}
END_TEST

/* A malformed body after the answer must not cause a second answer. */
START_TEST(malformed_body_after_a_refusal_closes_the_connection) {
    char answer[1024];
    begin_overloaded();
    int fd = connect_caller();
    send_text(fd, "POST /a/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    ck_assert_int_eq(refused_status(fd, answer), 503);
    ck_assert_int_eq(answers_in(answer), 1);
    ck_assert(has_closed(fd));
    close(fd);
    end();
}
END_TEST

/* A body that does not arrive must neither hold the connection for good nor be answered twice. */
START_TEST(missing_body_of_a_refused_request_times_out) {
    char answer[1024];
    begin_overloaded();
    int fd = connect_caller();
    send_text(fd, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    ck_assert_int_eq(refused_status(fd, answer), 503);
    wg_now_skip(IDLE_MS * MSEC);
    ck_assert(has_closed(fd));
    close(fd);
    end();
}
END_TEST

/* Each pipelined request gets one answer, in order. */
START_TEST(pipelined_requests_are_all_answered) {
    static const char requests[] = "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n"
                                   "POST /a/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
                                   "HEAD /a/3 HTTP/1.1\r\nHost: h\r\n\r\n"
                                   "GET /a/4 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    GString* answers = g_string_new(NULL);
    char bytes[1024];
    ssize_t got = -1;
    begin_overloaded();
    int fd = connect_caller();
    send_text(fd, requests);
    for (int i = 0; i < TURNS_MAX && got != 0; i++) {
        use_up_share();
        local_run_loop(base);
        got = recv(fd, bytes, sizeof bytes, 0);
        g_string_append_len(answers, bytes, MAX(got, 0));
    }
    ck_assert_int_eq(got, 0);
    ck_assert_int_eq(answers_in(answers->str), 4);
    ck_assert_ptr_nonnull(strstr(answers->str, "\r\n\r\nHTTP/1.1 503")); /* after the HEAD */
    ck_assert_int_eq(requests_at_target(), 0);
    g_string_free(answers, TRUE);
    close(fd);
    end();
}
END_TEST

/* A caller that waits for "100 Continue" may omit the body after an error, so the next bytes could
   be either: the connection must not be reused. */
START_TEST(refused_request_that_awaits_continue_ends_the_connection) {
    char answer[1024];
    begin_overloaded();
    int fd = connect_caller();
    send_text(fd, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                  "Expect: 100-continue\r\n\r\n");
    ck_assert_int_eq(refused_status(fd, answer), 503);
    ck_assert_int_eq(answers_in(answer), 1);
    ck_assert_ptr_nonnull(strstr(answer, "Connection: close"));
    ck_assert(has_closed(fd));
    close(fd);
    /* With the body already sent there is no doubt. */
    fd = connect_caller();
    send_text(fd, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                  "Expect: 100-continue\r\n\r\nabc");
    ck_assert_int_eq(refused_status(fd, answer), 503);
    ck_assert_ptr_null(strstr(answer, "Connection: close"));
    send_text(fd, "GET /a/y HTTP/1.1\r\nHost: h\r\n\r\n");
    ck_assert_int_eq(refused_status(fd, answer), 503);
    close(fd);
    end();
}
END_TEST

/* Requests of callers that have closed must take neither the share of others nor be answered. */
START_TEST(request_of_a_closed_caller_is_dropped_unread) {
    begin_overloaded();
    uint64_t requests = entry->counters.requests;
    int fd = connect_caller();
    run_turns(5);
    send_text(fd, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nabc");
    close(fd);
    run_turns(20);
    ck_assert_int_eq(entry->clients->len, 0);
    ck_assert_int_eq(entry->counters.requests, requests);
    ck_assert_int_eq(entry->counters.caller_disconnects, 1);
    ck_assert_int_eq(requests_at_target(), 0);
    end();
}
END_TEST

/* Callers honour a Retry-After of at most a third of the time left until their deadline. */
START_TEST(retry_after_fits_the_deadline) {
    char answer[1024];
    begin_overloaded();
    for (int i = 0; i < 20; i++) {
        int fd = send_get("/a/x", "Walnutgate-Deadline-Ms: 900\r\n");
        ck_assert_int_eq(refused_status(fd, answer), 503);
        const char* after = strstr(answer, "Retry-After: ");
        ck_assert_ptr_nonnull(after);
        double seconds = g_ascii_strtod(after + strlen("Retry-After: "), NULL);
        ck_assert(seconds > 0 && seconds <= 0.3);
        close(fd);
    }
    end();
}
END_TEST

/* A planned stop answers requests that wait, sends callers to other hosts at once, and does not
   wait for bodies of requests that are answered. */
START_TEST(planned_stop_of_an_overloaded_host_answers_all) {
    char answer[1024];
    begin_overloaded();
    int unfinished = connect_caller();
    send_text(unfinished, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    ck_assert_int_eq(refused_status(unfinished, answer), 503);
    int fd = connect_caller();
    run_turns(10);
    wg_entry_stop(entry);
    send_text(fd, "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n");
    wg_now_skip(STOP_MIN_MS * MSEC);
    use_up_share();
    g_usleep(60 * WG_USEC_PER_MSEC); /* the next tick is due before any read */
    for (int i = 0; i < TURNS_MAX && !event_base_got_break(base); i++) {
        use_up_share();
        local_run_loop(base);
    }
    ck_assert(event_base_got_break(base));
    ssize_t got = recv(fd, answer, sizeof answer - 1, 0);
    ck_assert_int_gt(got, 0);
    answer[got] = 0;
    ck_assert_ptr_nonnull(strstr(answer, "\"code\":\"stopping\""));
    ck_assert_ptr_nonnull(strstr(answer, "Retry-After: 0.02"));
    ck_assert_ptr_nonnull(strstr(answer, "Connection: close"));
    close(fd);
    close(unfinished);
    end();
}
END_TEST

static uint64_t metric(const char* name) {
    char text[65536];
    size_t size = 0;
    int fd = send_request(READY_PORT, "GET", "/metrics", "Connection: close\r\n");
    for (int i = 0; i < TURNS_MAX; i++) {
        local_run_loop(base);
        ssize_t got = recv(fd, text + size, sizeof text - 1 - size, 0);
        size += (size_t)MAX(got, 0);
        if (got == 0) {
            break;
        }
    }
    text[size] = 0;
    close(fd);
    const char* at = strstr(text, name);
    ck_assert_msg(at != NULL, "no %s in: %.300s", name, text);
    return strtoull(at + strlen(name), NULL, 10);
}

/* Floods a host whose loop is busy. Returns the number of answers 503 "overloaded", which the
   metrics have to tell. */
static int flood_busy_host(int delay_ms) {
    struct event* busy[BUSY_NUM];
    int fds[FLOOD_NUM];
    char answer[1024];
    begin_with_delay(delay_ms);
    for (int i = 0; i < FLOOD_NUM; i++) {
        fds[i] = connect_caller();
    }
    run_turns(50);
    for (int i = 0; i < BUSY_NUM; i++) {
        busy[i] = event_new(base, -1, 0, on_busy, &busy[i]);
        event_active(busy[i], EV_TIMEOUT, 1);
    }
    int refused = 0;
    for (int round = 0; round < 4; round++) {
        for (int i = 0; i < FLOOD_NUM; i++) {
            send(fds[i], "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n", 31, MSG_NOSIGNAL);
        }
        struct timeval time = {.tv_usec = 400 * WG_USEC_PER_MSEC};
        event_base_loopexit(base, &time);
        event_base_dispatch(base);
        for (int i = 0; i < FLOOD_NUM; i++) {
            ssize_t got = recv(fds[i], answer, sizeof answer - 1, 0);
            answer[MAX(got, 0)] = 0;
            refused += strstr(answer, "\"code\":\"overloaded\"") != NULL;
        }
    }
    for (int i = 0; i < BUSY_NUM; i++) {
        event_free(busy[i]);
    }
    ck_assert_int_eq(metric("walnutgate_entry_refused_on_arrival_total "), refused);
    ck_assert_int_eq(metric("walnutgate_entry_arrival_limit_per_second ") > 0, refused > 0);
    for (int i = 0; i < FLOOD_NUM; i++) {
        close(fds[i]);
    }
    end();
    return refused;
}

/* The measured delay of the loop must cause refusals; the other tests set the delay themselves. */
START_TEST(flooded_host_refuses_on_arrival) {
    ck_assert_int_gt(flood_busy_host(DELAY_MAX_MS), 0);
}
END_TEST

/* With the default setting the host behaves as without overload control. */
START_TEST(refusals_are_off_by_default) {
    ck_assert_int_eq(flood_busy_host(0), 0);
}
END_TEST

WG_TEST_MAIN("entry overload", refused_request_has_not_run_and_keeps_the_connection,
             large_body_of_a_refused_request_is_dropped,
             chunked_body_of_a_refused_request_is_dropped,
             malformed_body_after_a_refusal_closes_the_connection,
             missing_body_of_a_refused_request_times_out, pipelined_requests_are_all_answered,
             refused_request_that_awaits_continue_ends_the_connection,
             request_of_a_closed_caller_is_dropped_unread, retry_after_fits_the_deadline,
             planned_stop_of_an_overloaded_host_answers_all, flooded_host_refuses_on_arrival,
             refusals_are_off_by_default)
