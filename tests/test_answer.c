/* test_answer.c -- the one reader of answers: what is none, and what ends one */
#include "wg_answer.h"
#include "wg_test.h"

static wg_answer_state read_all(const char* bytes, size_t size, wg_answer* answer,
                                struct evbuffer* body) {
    struct evbuffer* in = evbuffer_new();
    evbuffer_add(in, bytes, size);
    wg_answer_begin(answer, &(wg_answer_desc){0});
    wg_answer_state state = wg_answer_read_head(answer, in);
    state = state == WG_ANSWER_COMPLETE ? wg_answer_read_body(answer, in, body) : state;
    evbuffer_free(in);
    return state;
}

/* Guards against a caller that gets as an answer what a target in trouble sent: a status, a name of
   a field, or a length that are none. */
START_TEST(head_that_is_none_is_malformed) {
#define HEAD(line)                                                                                 \
    { line "\r\nContent-Length: 0\r\n\r\n", sizeof line - 1 + 23 }
#define FIELD(line)                                                                                \
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" line "\r\n\r\n", sizeof line - 1 + 40 }
#define LENGTH(line)                                                                               \
    { "HTTP/1.1 200 OK\r\n" line "\r\n\r\n1234567", sizeof line - 1 + 28 }
    static const struct {
        const char* bytes;
        size_t size;
    } heads[] = {HEAD("HTTP/1.1 000 OK"),
                 HEAD("HTTP/1.1 099 OK"),
                 HEAD("HTTP/1.1 600 OK"),
                 HEAD("HTTP/1.1 999 OK"),
                 HEAD("HTTP/1.1 -20 OK"),
                 HEAD("HTTP/1.1 +20 OK"),
                 HEAD("HTTP/1.1 20 OK"),
                 HEAD("HTTP/1.1 0200 OK"),
                 HEAD("HTTP/1.1 200x OK"),
                 HEAD("HTTP/1.1  200 OK"),
                 HEAD("HTTP/2.0 200 OK"),
                 HEAD("HTTP/1.1 101 Switching"),
                 HEAD("200 OK"),
                 FIELD("A b: 1"),
                 FIELD("A : 1"),
                 FIELD("A\tb: 1"),
                 FIELD("A\x01: 1"),
                 FIELD("A\x00: 1"),
                 FIELD("A\r: 1"),
                 FIELD("A\xe9: 1"),
                 FIELD(": 1"),
                 FIELD("A"),
                 FIELD("A: 1\r\n folded"),
                 FIELD("A: \x00"),
                 FIELD("A: 1\r2"),
                 FIELD("A: 1\x7f"),
                 FIELD("Content-Length: 0"),
                 FIELD("Transfer-Encoding: chunked"),
                 LENGTH("Content-Length: +7"),
                 LENGTH("Content-Length: -7"),
                 LENGTH("Content-Length: 7,7"),
                 LENGTH("Content-Length: 0x7"),
                 LENGTH("Content-Length : 7"),
                 LENGTH("Content-Length: 4\r\nContent-Length: 7"),
                 LENGTH("Transfer-Encoding: gzip, chunked"),
                 LENGTH("Transfer-Encoding: identity")};
    struct evbuffer* body = evbuffer_new();
    wg_answer answer = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        wg_answer_state state = read_all(heads[i].bytes, heads[i].size, &answer, body);
        ck_assert_msg(state == WG_ANSWER_MALFORMED, "head %zu: state %d", i, state);
    }
    wg_answer_clear(&answer);
    evbuffer_free(body);
}
END_TEST

/* Guards against a strictness that refuses what is an answer. */
START_TEST(answers_are_read_with_each_framing) {
    static const struct {
        const char* bytes;
        int status;
        const char* body;
        wg_answer_state state;
    } answers[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcd", 200, "abc", WG_ANSWER_COMPLETE},
        {"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", 200, "", WG_ANSWER_COMPLETE},
        {"HTTP/1.1 503 Busy\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 503, "ab",
         WG_ANSWER_COMPLETE},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\nab", 204, "", WG_ANSWER_COMPLETE},
        {"HTTP/1.0 200 OK\r\n\r\nab", 200, "ab", WG_ANSWER_MORE},
        {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", 200, "ab", WG_ANSWER_MORE}};
    wg_answer answer = {0};
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        struct evbuffer* body = evbuffer_new();
        wg_answer_state state = read_all(answers[i].bytes, strlen(answers[i].bytes), &answer, body);
        evbuffer_add(body, "", 1);
        ck_assert_int_eq(state, answers[i].state);
        ck_assert_int_eq(answer.head.status, answers[i].status);
        ck_assert_str_eq((const char*)evbuffer_pullup(body, -1), answers[i].body);
        evbuffer_free(body);
    }
    wg_answer_clear(&answer);
}
END_TEST

/* Guards against an end that is taken for that of an answer although the connection was reset, or
   the request was not there yet, or the framing asks for more. */
START_TEST(connection_ends_an_answer_only_in_order_and_after_the_request) {
    struct evbuffer* body = evbuffer_new();
    wg_answer answer = {0};
    static const char open[] = "HTTP/1.1 200 OK\r\n\r\nab";
    read_all(open, sizeof open - 1, &answer, body);
    ck_assert(wg_answer_is_ended_by(&answer, true, true));
    ck_assert(!wg_answer_is_ended_by(&answer, true, false));
    ck_assert(!wg_answer_is_ended_by(&answer, false, true));
    static const char length[] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab";
    read_all(length, sizeof length - 1, &answer, body);
    ck_assert(!wg_answer_is_ended_by(&answer, true, true));
    wg_answer_clear(&answer);
    evbuffer_free(body);
}
END_TEST

/* Guards against heads and informational answers without end. */
START_TEST(heads_without_end_are_too_long) {
    wg_answer answer = {0};
    struct evbuffer* in = evbuffer_new();
    wg_answer_begin(&answer, &(wg_answer_desc){.head_max = 100});
    wg_answer_state state = WG_ANSWER_MORE;
    for (int i = 0; i < 5 && state == WG_ANSWER_MORE; i++) {
        evbuffer_add_printf(in, "HTTP/1.1 100 Continue\r\n\r\n");
        state = wg_answer_read_head(&answer, in);
    }
    ck_assert_int_eq(state, WG_ANSWER_TOO_LONG);
    evbuffer_drain(in, evbuffer_get_length(in));
    wg_answer_begin(&answer, &(wg_answer_desc){.head_max = 100});
    for (int i = 0; i < 100; i++) {
        evbuffer_add(in, "a", 1);
        ck_assert_int_eq(wg_answer_read_head(&answer, in), WG_ANSWER_MORE);
    }
    evbuffer_add(in, "a", 1);
    ck_assert_int_eq(wg_answer_read_head(&answer, in), WG_ANSWER_TOO_LONG);
    evbuffer_free(in);
    wg_answer_clear(&answer);
}
END_TEST

WG_TEST_MAIN("answers", head_that_is_none_is_malformed, answers_are_read_with_each_framing,
             connection_ends_an_answer_only_in_order_and_after_the_request,
             heads_without_end_are_too_long)
