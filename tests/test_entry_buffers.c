/* test_entry_buffers.c -- callers and targets that read slowly, at one entry host

   Guards against a host that holds more than its bound, and against answers that are lost, closed
   or complete by mistake because their callers read slowly. */
#include "one_entry.h"
#include "wg_buffers.h"

#include <netinet/in.h>
#include <unistd.h>

enum {
    KB = 1024,
    STREAM_BYTES = 12 * 1024 * KB, /* more than the kernel buffers on both connections */
    UNREAD_MS = 1500,
    IDLE_MS = 800,
    SMALL_RECEIVE_BUFFER = 16 * KB,
    SILENT_NUM = 20
};

/* Less than the smallest shares of SILENT_NUM callers, so that they fill the host. */
static const double HELD_MB = 0.25;
static const int64_t HELD_BYTES = 250 * 1000;

/* ---- set-up ---------------------------------------------------------------------------------- */

static void begin_with(double held_mb, int64_t unread_ms, const char* kind) {
    fake_entry_held_mb = held_mb;
    fake_entry_unread_ms = unread_ms;
    one_entry_begin();
    char* document =
        g_strdup_printf("{\"version\":1,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":"
                        "\"r\",\"host\":\"h\",\"path_prefix\":\"/a/\",\"kind\":\"%s\","
                        "\"timeout_ms\":20000,\"objective_ms\":500,\"attempts\":2,\"service\":"
                        "\"e\"}],\"limits\":{\"idle_ms\":%d},\"workspaces\":[]}",
                        kind, IDLE_MS);
    fake_control_send_leader_state(
        &leader, &(fake_update){.version = 1, .document = document, .target = target_address});
    g_free(document);
    run_turns(20);
}

static void end(void) {
    run_turns(50); /* the target's connections are closed */
    one_entry_end();
    fake_entry_held_mb = 0;
    fake_entry_unread_ms = 0;
    target_reads = true;
}

static char byte_at(size_t at) {
    return (char)('!' + (at * 2654435761U >> 7) % 90);
}

static GString* bytes_of(size_t size) {
    GString* bytes = g_string_sized_new(size);
    for (size_t i = 0; i < size; i++) {
        g_string_append_c(bytes, byte_at(i));
    }
    return bytes;
}

/* A caller whose kernel buffers little, so that bytes wait at the entry host. */
static void send_all(int fd, const char* bytes, size_t size) {
    for (size_t at = 0; at < size;) {
        ssize_t sent = send(fd, bytes + at, size - at, MSG_NOSIGNAL);
        ck_assert(sent > 0 || errno == EAGAIN);
        at += sent > 0 ? (size_t)sent : 0;
        run_turns(1);
    }
}

static int request_stream(void) {
    static const char request[] = "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n";
    int fd = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    send_all(fd, request, sizeof request - 1);
    ck_assert(target_got_request());
    return fd;
}

static int send_post(size_t size, const GString* body) {
    char head[160];
    int head_size = g_snprintf(
        head, sizeof head, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n", size);
    int fd = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    send_all(fd, head, (size_t)head_size);
    send_all(fd, body->str, size);
    return fd;
}

/* The target answers with a complete chunked stream of the bytes. */
static void target_stream(const GString* bytes) {
    struct evbuffer* out = bufferevent_get_output(target_connection);
    evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%zx\r\n",
                        bytes->len);
    evbuffer_add(out, bytes->str, bytes->len);
    evbuffer_add_printf(out, "\r\n0\r\n\r\n");
}

/* Callers that request streams and read nothing. */
static void request_unread_streams(const GString* stream, int fds[SILENT_NUM]) {
    for (int i = 0; i < SILENT_NUM; i++) {
        g_string_truncate(target_received, 0);
        fds[i] = request_stream();
        target_stream(stream);
        run_turns(5);
    }
    g_string_truncate(target_received, 0);
}

/* Content of a chunked answer, without its head; the answer must be complete. */
static GString* content_of(const GString* answer) {
    GString* content = g_string_new(NULL);
    const char* at = strstr(answer->str, "\r\n\r\n");
    ck_assert_ptr_nonnull(at);
    at += 4;
    for (;;) {
        char* rest;
        size_t size = strtoul(at, &rest, 16);
        ck_assert_int_eq(memcmp(rest, "\r\n", 2), 0);
        if (size == 0) {
            break;
        }
        g_string_append_len(content, rest + 2, (gssize)size);
        at = rest + 2 + size + 2;
        ck_assert(at < answer->str + answer->len);
    }
    return content;
}

/* Reads until the answer ends, at most `portion` bytes in each turn. False: the connection ended
   before. */
static bool read_answer(int fd, size_t portion, GString* answer) {
    static char bytes[256 * KB];
    enum {
        STILL_MAX = 3000 /* turns without a byte */
    };
    for (int still = 0; still < STILL_MAX; still++) {
        local_run_loop(base);
        ssize_t got = recv(fd, bytes, MIN(portion, sizeof bytes), 0);
        if (got == 0 || (got < 0 && errno != EAGAIN)) {
            return false;
        }
        if (got > 0) {
            still = 0;
            g_string_append_len(answer, bytes, got);
        }
        if (answer->len > 5 && strcmp(answer->str + answer->len - 5, "0\r\n\r\n") == 0) {
            return true;
        }
    }
    return false;
}

static void check_whole(const GString* answer, const GString* sent) {
    GString* content = content_of(answer);
    ck_assert(g_string_equal(content, sent));
    g_string_free(content, TRUE);
}

/* Runs the loop; checks the bound all the time. */
static void run_within_bound(int turns) {
    for (int i = 0; i < turns; i += 50) {
        run_turns(50);
        ck_assert_int_le(one_entry_metric("walnutgate_entry_held_bytes{for=\"callers\"}"),
                         HELD_BYTES);
    }
}

/* ---- callers --------------------------------------------------------------------------------- */

/* Without a cut-off, callers that read nothing hold the memory of the host for the time of their
   routes. What the caller got must not look complete, and the target's work has to end. */
START_TEST(caller_that_reads_nothing_is_cut_off_on_a_full_host) {
    begin_with(HELD_MB, UNREAD_MS, "safe");
    GString* stream = bytes_of(STREAM_BYTES);
    GString* answer = g_string_new(NULL);
    int fds[SILENT_NUM];
    request_unread_streams(stream, fds);
    for (int i = 0; i < 100 && one_entry_metric("walnutgate_entry_answers_paused") < SILENT_NUM;
         i++) {
        run_turns(5);
    }
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_answers_paused"), SILENT_NUM);
    ck_assert(!target_disconnected);
    run_within_bound(2 * UNREAD_MS);
    int64_t cut_num = one_entry_metric("walnutgate_entry_callers_cut_total");
    ck_assert_int_gt(cut_num, 0);
    ck_assert_int_lt(cut_num, SILENT_NUM); /* the others fit */
    ck_assert(target_disconnected);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_caller_left_total"), 0);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_calls"), SILENT_NUM - cut_num);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_answers_paused"), SILENT_NUM - cut_num);
    /* The first began to wait first. The last goes on when it reads. */
    ck_assert(!read_answer(fds[0], STREAM_BYTES, answer));
    ck_assert_int_lt(answer->len, STREAM_BYTES);
    g_string_truncate(answer, 0);
    ck_assert(read_answer(fds[SILENT_NUM - 1], STREAM_BYTES, answer));
    check_whole(answer, stream);
    for (int i = 0; i < SILENT_NUM; i++) {
        close(fds[i]);
    }
    run_turns(50);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_held_bytes{for=\"callers\"}"), 0);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_answers_paused"), 0);
    g_string_free(stream, TRUE);
    g_string_free(answer, TRUE);
    end();
}
END_TEST

/* A caller that reads slowly but steadily must get everything, also on a full host, and also the
   part that waits after its target has finished. */
static void slow_caller_gets_everything(double held_mb, int64_t unread_ms, size_t size,
                                        size_t portion) {
    begin_with(held_mb, unread_ms, "safe");
    GString* stream = bytes_of(size);
    GString* answer = g_string_new(NULL);
    int fd = request_stream();
    target_stream(stream);
    ck_assert(read_answer(fd, portion, answer));
    check_whole(answer, stream);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_callers_cut_total"), 0);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_whole_total"), 1);
    close(fd);
    g_string_free(stream, TRUE);
    g_string_free(answer, TRUE);
    end();
}

/* Pauses and portions on a host with a bound must not lose or reorder bytes. */
START_TEST(slow_caller_gets_everything_with_the_bound) {
    slow_caller_gets_everything(HELD_MB, UNREAD_MS, 3 * 1024 * KB, KB);
}
END_TEST

/* The target finishes long before the caller has read its answer: the connection must not be closed
   as idle. */
START_TEST(caller_that_still_reads_is_not_closed_as_idle) {
    slow_caller_gets_everything(4, UNREAD_MS, 240 * KB, 100);
}
END_TEST

/* Guards against a connection that is cut off some time after its last answer although its caller
   reads, on a host without a limit on reading. */
START_TEST(caller_that_still_reads_its_last_answer_is_not_cut_off) {
    static const char request[] = "GET /a/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    begin_with(4, 0, "safe");
    GString* stream = bytes_of(240 * KB);
    GString* answer = g_string_new(NULL);
    int fd = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    send_all(fd, request, sizeof request - 1);
    ck_assert(target_got_request());
    target_stream(stream);
    ck_assert(read_answer(fd, 60, answer));
    check_whole(answer, stream);
    close(fd);
    g_string_free(stream, TRUE);
    g_string_free(answer, TRUE);
    end();
}
END_TEST

/* Guards against an answer that is cut off because its connection, idle for longest, gives way to a
   new one at the limit of connections. */
START_TEST(caller_that_still_reads_does_not_give_way_to_a_new_one) {
    char answer_text[1024];
    fake_entry_callers_max = 2;
    begin_with(4, 0, "safe");
    GString* stream = bytes_of(240 * KB);
    GString* answer = g_string_new(NULL);
    int slow = request_stream();
    target_stream(stream);
    run_turns(50);
    g_string_truncate(target_received, 0);
    int idle = send_get("/none", "");
    ck_assert_int_eq(status_of(idle, answer_text), 404);
    int last = send_get("/none", "");
    ck_assert_int_eq(status_of(last, answer_text), 404);
    ck_assert_int_eq(recv(idle, answer_text, sizeof answer_text, 0), 0); /* gave way */
    ck_assert(read_answer(slow, 4 * KB, answer));
    check_whole(answer, stream);
    close(slow);
    close(idle);
    close(last);
    g_string_free(stream, TRUE);
    g_string_free(answer, TRUE);
    end();
    fake_entry_callers_max = 0;
}
END_TEST

/* With the settings off, a slow caller must get all as before. */
START_TEST(slow_caller_gets_everything_without_a_bound) {
    slow_caller_gets_everything(0, 0, 3 * 1024 * KB, 4 * KB);
}
END_TEST

/* With the settings off, a caller may stop reading for any time within its route's timeout. */
START_TEST(caller_is_not_cut_off_by_default) {
    begin_with(0, 0, "safe");
    GString* stream = bytes_of(STREAM_BYTES);
    GString* answer = g_string_new(NULL);
    int fd = request_stream();
    target_stream(stream);
    run_turns(2 * UNREAD_MS);
    ck_assert(!target_disconnected);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_answers_paused"), 1);
    ck_assert_int_gt(one_entry_metric("walnutgate_entry_held_bytes{for=\"callers\"}"), HELD_BYTES);
    ck_assert(read_answer(fd, STREAM_BYTES, answer));
    check_whole(answer, stream);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_held_bytes{for=\"callers\"}"), 0);
    close(fd);
    g_string_free(stream, TRUE);
    g_string_free(answer, TRUE);
    end();
}
END_TEST

/* On a full host, another caller must neither wait nor be cut off. */
START_TEST(caller_that_reads_is_served_beside_one_that_reads_nothing) {
    begin_with(HELD_MB, 10000, "safe");
    GString* stream = bytes_of(STREAM_BYTES);
    GString* small = bytes_of(600 * KB);
    GString* answer = g_string_new(NULL);
    int silent[SILENT_NUM];
    request_unread_streams(stream, silent);
    run_within_bound(200);
    ck_assert_int_ge(one_entry_metric("walnutgate_entry_held_bytes{for=\"callers\"}"),
                     HELD_BYTES / 8 * 7);
    int fd = request_stream();
    target_stream(small);
    ck_assert(read_answer(fd, 64 * KB, answer));
    check_whole(answer, small);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_callers_cut_total"), 0);
    close(fd);
    for (int i = 0; i < SILENT_NUM; i++) {
        close(silent[i]);
    }
    g_string_free(stream, TRUE);
    g_string_free(small, TRUE);
    g_string_free(answer, TRUE);
    end();
}
END_TEST

/* Without the delay of its next request, a caller that sends many requests at once and reads no
   answer makes the host hold all the answers. */
START_TEST(next_request_waits_until_answers_are_read) {
    enum {
        REQUESTS = 60,
        ANSWER = 50 * KB
    };
    static const char request[] = "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n";
    begin_with(16, 0, "safe");
    GString* body = bytes_of(ANSWER);
    GString* answers = g_string_new(NULL);
    char bytes[64 * KB];
    int fd = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    for (int i = 0; i < REQUESTS; i++) {
        send_all(fd, request, sizeof request - 1);
    }
    size_t answer_size = ANSWER;
    for (int i = 0; i < 8 * TURNS_MAX && answers->len < REQUESTS * answer_size; i++) {
        run_turns(1);
        if (strstr(target_received->str, "\r\n\r\n")) {
            g_string_truncate(target_received, 0);
            target_answer(body->str);
        }
        if (i % 100 == 0) {
            ck_assert_int_le(one_entry_metric("walnutgate_entry_held_bytes{for=\"callers\"}"),
                             WG_BUFFERS_UNREAD_MAX + ANSWER);
        }
        ssize_t got = i < 2000 ? 0 : recv(fd, bytes, sizeof bytes, 0);
        if (got > 0) {
            g_string_append_len(answers, bytes, got);
        }
        if (i == 1999) { /* the caller has read nothing until now */
            ck_assert_int_lt(one_entry_metric("walnutgate_entry_whole_total"), REQUESTS);
        }
    }
    run_turns(50);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_whole_total"), REQUESTS);
    close(fd);
    g_string_free(body, TRUE);
    g_string_free(answers, TRUE);
    end();
}
END_TEST

/* ---- targets --------------------------------------------------------------------------------- */

/* A target that reads no body would hold the request until the end of its route's timeout. The
   request may have run, so it must not be sent again. */
START_TEST(target_that_reads_no_body_fails_the_request) {
    char answer[1024];
    GString* body = bytes_of(3 * 1024 * KB);
    target_reads = false;
    begin_with(4, UNREAD_MS, "unsafe");
    int fd = send_post(body->len, body);
    ck_assert_int_eq(target_connections, 1);
    ck_assert_int_gt(one_entry_metric("walnutgate_entry_held_bytes{for=\"targets\"}"), 0);
    ck_assert_int_ge(one_entry_metric("walnutgate_entry_held_bytes{for=\"requests\"}"),
                     (int64_t)body->len);
    ck_assert_int_eq(status_of(fd, answer), 502);
    ck_assert_ptr_nonnull(strstr(answer, "may-have-run"));
    ck_assert_ptr_nonnull(strstr(answer, "request-unread"));
    ck_assert_int_eq(target_connections, 1);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_targets_cut_total"), 1);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_held_bytes{for=\"targets\"}"), 0);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_held_bytes{for=\"requests\"}"), 0);
    close(fd);
    g_string_free(body, TRUE);
    end();
}
END_TEST

/* With the settings off, a target may start to read at any time, and gets the whole body. */
START_TEST(target_is_not_cut_off_by_default) {
    char answer[1024];
    GString* body = bytes_of(3 * 1024 * KB);
    target_reads = false;
    begin_with(0, 0, "unsafe");
    int fd = send_post(body->len, body);
    run_turns(2 * UNREAD_MS);
    ck_assert(!target_disconnected);
    bufferevent_enable(target_connection, EV_READ);
    const char* content = NULL;
    for (int i = 0; i < TURNS_MAX && !(content && strlen(content) == body->len); i++) {
        run_turns(1);
        target_on_read(target_connection, NULL);
        content = strstr(target_received->str, "\r\n\r\n");
        content = content ? content + 4 : NULL;
    }
    ck_assert_ptr_nonnull(content);
    ck_assert_int_eq(strcmp(content, body->str), 0);
    target_answer("done");
    ck_assert_int_eq(status_of(fd, answer), 200);
    close(fd);
    g_string_free(body, TRUE);
    end();
}
END_TEST

/* Bodies of requests in progress count: without a refusal they take the host above its bound. */
START_TEST(body_that_does_not_fit_is_refused_as_not_run) {
    char answer[1024];
    GString* body = bytes_of(400 * KB);
    begin_with(HELD_MB, UNREAD_MS, "safe");
    int first = send_post(200 * KB, body);
    ck_assert(target_got_request());
    int second = send_post(100 * KB, body);
    ck_assert_int_eq(status_of(second, answer), 503);
    ck_assert_ptr_nonnull(strstr(answer, "buffers_full"));
    ck_assert_ptr_nonnull(strstr(answer, "not-run"));
    ck_assert_ptr_nonnull(strstr(answer, "Retry-After"));
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_bodies_refused_total"), 1);
    target_answer("done");
    ck_assert_int_eq(status_of(first, answer), 200);
    ck_assert_int_eq(one_entry_metric("walnutgate_entry_held_bytes{for=\"requests\"}"), 0);
    /* A body that never fits is refused for good, as one above the configured limit. */
    int third = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    static const char head[] = "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n";
    send_all(third, head, sizeof head - 1);
    ck_assert_int_eq(status_of(third, answer), 413);
    close(first);
    close(second);
    close(third);
    g_string_free(body, TRUE);
    end();
}
END_TEST

WG_TEST_MAIN("entry buffers", caller_that_reads_nothing_is_cut_off_on_a_full_host,
             slow_caller_gets_everything_with_the_bound,
             caller_that_still_reads_is_not_closed_as_idle,
             caller_that_still_reads_its_last_answer_is_not_cut_off,
             caller_that_still_reads_does_not_give_way_to_a_new_one,
             slow_caller_gets_everything_without_a_bound, caller_is_not_cut_off_by_default,
             caller_that_reads_is_served_beside_one_that_reads_nothing,
             next_request_waits_until_answers_are_read, target_that_reads_no_body_fails_the_request,
             target_is_not_cut_off_by_default, body_that_does_not_fit_is_refused_as_not_run)
