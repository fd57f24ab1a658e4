/* test_planned_stop.c -- planned stop of an entry host whose callers still read their answers

   Guards against an answer that is cut off because the host takes it for delivered once it is in a
   buffer, and against a stop that takes longer than its grace period. */
#include "one_entry.h"

#include <netinet/in.h>
#include <unistd.h>

enum {
    KB = 1024,
    ANSWER_BYTES = 300 * 1000, /* more than the kernel takes for a caller that reads nothing */
    KERNEL_BYTES = 40 * KB,    /* the kernel of the host takes them, that of the caller does not */
    SMALL_RECEIVE_BUFFER = 4 * KB,
    STOP_MIN_MS = 3300, /* minimum length of a planned stop */
    GRACE_MS = 8000,
    UNREAD_MS = 5000
};

typedef enum {
    BY_LENGTH = 0,
    BY_CHUNKS,
    BY_CONNECTION,
    FRAMINGS_NUM
} framing;

/* ---- helpers --------------------------------------------------------------------------------- */

static void begin(void) {
    fake_entry_unread_ms = UNREAD_MS;
    one_entry_begin();
    one_entry_lead(&(one_route){.version = 1, .prefix = "/a/", .timeout_ms = 20000});
}

static void end(void) {
    one_entry_end();
    fake_entry_unread_ms = 0;
}

/* The kernel of this caller buffers little. */
static GString* body_of(size_t size, char first) {
    GString* body = g_string_sized_new(size);
    for (size_t i = 0; i < size; i++) {
        g_string_append_c(body, (char)(first + (int)(i * 7 % 13)));
    }
    return body;
}

static void answer(framing how, const GString* body) {
    struct evbuffer* out = bufferevent_get_output(target_connection);
    evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\n");
    if (how == BY_LENGTH) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n\r\n", body->len);
    } else if (how == BY_CHUNKS) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n", body->len);
    } else {
        evbuffer_add_printf(out, "Connection: close\r\n\r\n");
    }
    evbuffer_add(out, body->str, body->len);
    if (how == BY_CHUNKS) {
        evbuffer_add_printf(out, "\r\n0\r\n\r\n");
    }
}

/* Sends a request whose answer the target ends, and of which the caller reads nothing yet. */
static int request_answer(framing how, const GString* body) {
    static const char request[] = "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n";
    int fd = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    g_string_truncate(target_received, 0);
    ck_assert_int_eq(send(fd, request, sizeof request - 1, MSG_NOSIGNAL), sizeof request - 1);
    ck_assert(target_got_request());
    answer(how, body);
    for (int i = 0;
         i < TURNS_MAX && evbuffer_get_length(bufferevent_get_output(target_connection)) > 0; i++) {
        run_turns(1);
    }
    if (how == BY_CONNECTION) {
        target_close_connection();
    }
    run_turns(100);
    return fd;
}

/* Whether the stop ends within this number of turns. */
static bool stop_ends_within(int turns) {
    for (int i = 0; i < turns; i++) {
        local_run_loop(base);
        if (event_base_got_break(base)) {
            return true;
        }
    }
    return false;
}

/* Joins the chunks that are there, in place. */
static void join_chunks(GString* text, size_t head_size) {
    size_t at = head_size;
    size_t to = head_size;
    size_t size;
    while (at < text->len && (size = strtoul(text->str + at, NULL, 16)) > 0) {
        const char* line_end = strstr(text->str + at, "\r\n");
        size_t from = line_end ? (size_t)(line_end + 2 - text->str) : text->len;
        size = MIN(size, text->len - from);
        memmove(text->str + to, text->str + from, size);
        to += size;
        at = from + size + 2;
    }
    g_string_truncate(text, to);
}

/* Reads to the end of the answer; the host runs as long as its stop is not over. */
static GString* read_answer(int fd, size_t body_size, bool* stopped) {
    GString* text = g_string_new(NULL);
    const char* body = NULL;
    for (int i = 0; i < 2 * TURNS_MAX; i++) {
        char part[2 * KB];
        ssize_t got = recv(fd, part, sizeof part, 0);
        if (got == 0) {
            break;
        }
        g_string_append_len(text, part, MAX(got, 0));
        body = strstr(text->str, "\r\n\r\n");
        bool chunked = body && strstr(text->str, "chunked");
        size_t size = body ? text->len - (size_t)(body + 4 - text->str) : 0;
        if (chunked ? g_str_has_suffix(text->str, "\r\n0\r\n\r\n") : size >= body_size) {
            break;
        }
        *stopped = *stopped || stop_ends_within(1);
    }
    return text;
}

static void check_answer_is_whole(int fd, const GString* body, bool* stopped) {
    GString* text = read_answer(fd, body->len, stopped);
    const char* at = strstr(text->str, "\r\n\r\n");
    ck_assert_ptr_nonnull(at);
    if (strstr(text->str, "chunked")) {
        join_chunks(text, (size_t)(at + 4 - text->str));
    }
    ck_assert_msg(strstr(at, body->str) != NULL, "%zu bytes of the answer, body of %zu", text->len,
                  body->len);
    g_string_free(text, TRUE);
    close(fd);
}

/* ---- tests ----------------------------------------------------------------------------------- */

/* Guards against answers that are cut off although their callers read them, in each framing. */
START_TEST(planned_stop_waits_for_callers_that_still_read) {
    GString* bodies[FRAMINGS_NUM];
    int fds[FRAMINGS_NUM];
    bool stopped = false;
    begin();
    for (int how = 0; how < FRAMINGS_NUM; how++) {
        bodies[how] = body_of(ANSWER_BYTES, (char)('A' + how));
        fds[how] = request_answer((framing)how, bodies[how]);
    }
    wg_entry_stop(entry);
    wg_now_skip(STOP_MIN_MS * MSEC + SECOND);
    ck_assert(!stop_ends_within(200));
    for (int how = 0; how < FRAMINGS_NUM; how++) {
        check_answer_is_whole(fds[how], bodies[how], &stopped);
        g_string_free(bodies[how], TRUE);
    }
    ck_assert(stopped || stop_ends_within(TURNS_MAX));
    end();
}
END_TEST

/* Guards against bytes that the kernel holds and that count as delivered: they are lost with the
   machine, and with a reset of the connection. */
START_TEST(planned_stop_waits_for_what_the_kernel_holds) {
    bool stopped = false;
    begin();
    GString* body = body_of(KERNEL_BYTES, 'A');
    int fd = request_answer(BY_LENGTH, body);
    wg_entry_stop(entry);
    wg_now_skip(STOP_MIN_MS * MSEC + SECOND);
    ck_assert(!stop_ends_within(200));
    check_answer_is_whole(fd, body, &stopped);
    ck_assert(stopped || stop_ends_within(TURNS_MAX));
    g_string_free(body, TRUE);
    end();
}
END_TEST

/* Guards against a stop that outlasts its grace period because of a caller that reads nothing. */
START_TEST(planned_stop_ends_within_its_grace_if_a_caller_reads_nothing) {
    begin();
    GString* body = body_of(ANSWER_BYTES, 'A');
    int fd = request_answer(BY_LENGTH, body);
    wg_entry_stop(entry);
    wg_now_skip(STOP_MIN_MS * MSEC);
    ck_assert(!stop_ends_within(100));
    wg_now_skip((GRACE_MS - STOP_MIN_MS) * MSEC - 200 * MSEC);
    ck_assert(stop_ends_within(150));
    g_string_free(body, TRUE);
    close(fd);
    end();
}
END_TEST

/* Guards against a stop that waits for callers that have received everything. */
START_TEST(planned_stop_waits_for_no_caller_that_has_read_its_answer) {
    bool stopped = false;
    begin();
    GString* body = body_of(ANSWER_BYTES, 'A');
    int fd = request_answer(BY_LENGTH, body);
    check_answer_is_whole(fd, body, &stopped);
    int idle = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    wg_entry_stop(entry);
    wg_now_skip(STOP_MIN_MS * MSEC + 100 * MSEC);
    ck_assert(stop_ends_within(200));
    g_string_free(body, TRUE);
    close(idle);
    end();
}
END_TEST

WG_TEST_MAIN("planned_stop", planned_stop_waits_for_callers_that_still_read,
             planned_stop_waits_for_what_the_kernel_holds,
             planned_stop_ends_within_its_grace_if_a_caller_reads_nothing,
             planned_stop_waits_for_no_caller_that_has_read_its_answer)
