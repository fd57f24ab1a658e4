/* test_message.c -- strict parsing of heads, decoding of bodies, splitting of event streams */
#include <stdio.h>

#include "wg_event_stream.h"
#include "wg_message.h"
#include "wg_test.h"

static int request_status(const char* text, wg_message_head* head) {
    ck_assert_uint_eq(wg_message_head_size(text, strlen(text)), strlen(text));
    return wg_message_parse_request(text, strlen(text), head);
}

START_TEST(plain_request_is_parsed) {
    wg_message_head head;
    const char* text = "POST /a/b?c=1 HTTP/1.1\r\nHost: Some.Example:80\r\nContent-Length: 12\r\n"
                       "X-Empty:\r\nKeep-Alive: timeout=7, max=3\r\n\r\n";
    ck_assert_int_eq(request_status(text, &head), 0);
    ck_assert(wg_text_equals_nocase(head.method, "POST"));
    ck_assert(wg_text_equals_nocase(head.target, "/a/b?c=1"));
    ck_assert_int_eq(head.framing, WG_FRAMING_LENGTH);
    ck_assert_int_eq(head.length, 12);
    ck_assert(head.keep_alive);
    ck_assert_int_eq(head.keep_alive_seconds, 7);
    ck_assert_uint_eq(wg_message_field(&head, "x-empty").size, 0);
    ck_assert_ptr_null(wg_message_field(&head, "x-none").text);
}
END_TEST

/* A head that two parsers could read differently may smuggle a request past one of them. */
START_TEST(ambiguous_requests_are_refused) {
    static const char* const bad[] = {
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: -4\r\n",
        "Content-Length: 4,4\r\n",
        "Content-Length: 0x4\r\n",
        "Content-Length:\r\n",
        "Content-Length : 4\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: identity\r\n",
        "X-Folded: a\r\n b\r\n",
        " X-Blank: a\r\n",
        "X-Control: a\x01\r\n",
        "X-Bare: a\rb\r\n",
        "no colon\r\n",
        ": no name\r\n",
        "Host: b\r\n",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        wg_message_head head;
        char* text = g_strdup_printf("POST / HTTP/1.1\r\nHost: a\r\n%s\r\n", bad[i]);
        int status = wg_message_parse_request(text, strlen(text), &head);
        ck_assert_msg(status == 400, "%s gave %d", bad[i], status);
        g_free(text);
    }
    static const char* const lines[] = {
        "GET / HTTP/1.1\nHost: a\r\n\r\n",      "GET  / HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", "GET a HTTP/1.1\r\nHost: a\r\n\r\n",
        "G(T / HTTP/1.1\r\nHost: a\r\n\r\n",    "GET / HTTP/1.1\r\n\r\n",
        "GET / FTP/1.1\r\nHost: a\r\n\r\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        wg_message_head head;
        int status = wg_message_parse_request(lines[i], strlen(lines[i]), &head);
        ck_assert_msg(status == 400, "%s gave %d", lines[i], status);
    }
    wg_message_head head;
    ck_assert_int_eq(request_status("GET / HTTP/2.0\r\nHost: a\r\n\r\n", &head), 505);
}
END_TEST

START_TEST(too_many_fields_are_refused) {
    GString* text = g_string_new("GET / HTTP/1.1\r\nHost: a\r\n");
    for (int i = 0; i < WG_MESSAGE_FIELDS_MAX; i++) {
        g_string_append_printf(text, "X-%d: y\r\n", i);
    }
    g_string_append(text, "\r\n");
    wg_message_head head;
    ck_assert_int_eq(wg_message_parse_request(text->str, text->len, &head), 431);
    g_string_free(text, TRUE);
}
END_TEST

START_TEST(head_is_complete_only_with_its_empty_line) {
    const char* text = "GET / HTTP/1.1\r\nHost: a\r\n\r\nmore";
    size_t head_size = strlen(text) - strlen("more");
    for (size_t size = 0; size < head_size; size++) {
        ck_assert_uint_eq(wg_message_head_size(text, size), 0);
    }
    ck_assert_uint_eq(wg_message_head_size(text, strlen(text)), head_size);
}
END_TEST

START_TEST(answers_have_one_framing) {
    wg_message_head head;
    const char* until_close = "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\n";
    ck_assert(wg_message_parse_answer(until_close, strlen(until_close), false, &head));
    ck_assert_int_eq(head.framing, WG_FRAMING_CLOSE);
    ck_assert(!head.keep_alive);
    const char* none = "HTTP/1.1 204 No Content\r\n\r\n";
    ck_assert(wg_message_parse_answer(none, strlen(none), false, &head));
    ck_assert_int_eq(head.framing, WG_FRAMING_NONE);
    ck_assert(head.keep_alive);
    const char* head_only = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
    ck_assert(wg_message_parse_answer(head_only, strlen(head_only), true, &head));
    ck_assert_int_eq(head.framing, WG_FRAMING_NONE);
    static const char* const bad[] = {"HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n",
                                      "HTTP/1.1 999 OK\r\n\r\n", "200 OK\r\n\r\n",
                                      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        ck_assert(!wg_message_parse_answer(bad[i], strlen(bad[i]), false, &head));
    }
}
END_TEST

START_TEST(hop_by_hop_fields_are_recognised) {
    wg_message_head head;
    const char* text = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close, X-Own\r\nX-Own: 1\r\n"
                       "X-Other: 2\r\n\r\n";
    ck_assert_int_eq(request_status(text, &head), 0);
    ck_assert(!head.keep_alive);
    ck_assert(wg_message_is_hop_field(&head, (wg_text){"connection", 10}));
    ck_assert(wg_message_is_hop_field(&head, (wg_text){"x-own", 5}));
    ck_assert(!wg_message_is_hop_field(&head, (wg_text){"X-Other", 7}));
}
END_TEST

/* A chunked body decodes to the same content, whatever the size of the pieces that arrive. */
START_TEST(chunks_decode_in_pieces_of_any_size) {
    static const char wire[] = "4;x=y\r\nwall\r\n0A\r\nnutgate...\r\n0\r\nTrailer: a\r\n\r\nNEXT";
    for (size_t piece = 1; piece < sizeof wire; piece++) {
        struct evbuffer* in = evbuffer_new();
        struct evbuffer* out = evbuffer_new();
        wg_body body;
        wg_body_begin(&body, &(wg_message_head){.framing = WG_FRAMING_CHUNKED});
        wg_body_state state = WG_BODY_MORE;
        for (size_t at = 0; at < sizeof wire - 1; at += piece) {
            evbuffer_add(in, wire + at, MIN(piece, sizeof wire - 1 - at));
            if (state == WG_BODY_MORE) {
                state = wg_body_read(&body, in, out);
            }
        }
        ck_assert_int_eq(state, WG_BODY_COMPLETE);
        ck_assert_uint_eq(evbuffer_get_length(out), 14);
        ck_assert_int_eq(memcmp(evbuffer_pullup(out, -1), "wallnutgate...", 14), 0);
        ck_assert_uint_eq(evbuffer_get_length(in), 4);
        evbuffer_free(in);
        evbuffer_free(out);
    }
}
END_TEST

START_TEST(malformed_chunks_are_rejected) {
    static const char* const bad[] = {"g\r\n",          "-1\r\n",         "+4\r\nwall\r\n",
                                      "4 \r\nwall\r\n", "4\r\nwallx\r\n", "\r\n",
                                      "123456789\r\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        struct evbuffer* in = evbuffer_new();
        struct evbuffer* out = evbuffer_new();
        wg_body body;
        wg_body_begin(&body, &(wg_message_head){.framing = WG_FRAMING_CHUNKED});
        evbuffer_add(in, bad[i], strlen(bad[i]));
        ck_assert_msg(wg_body_read(&body, in, out) == WG_BODY_BAD, "%s", bad[i]);
        evbuffer_free(in);
        evbuffer_free(out);
    }
}
END_TEST

/* The longest line of a chunked body is accepted, however it arrives; a longer one is refused as
   soon as that is certain, so that a sender cannot make a host hold more. */
START_TEST(chunk_lines_have_a_limit) {
    for (size_t size = WG_CHUNK_LINE_MAX - 3; size <= WG_CHUNK_LINE_MAX + 3; size++) {
        wg_body_state expected = size < WG_CHUNK_LINE_MAX ? WG_BODY_MORE : WG_BODY_BAD;
        for (size_t piece = 1; piece <= size + 2; piece++) {
            struct evbuffer* in = evbuffer_new();
            struct evbuffer* out = evbuffer_new();
            wg_body body;
            char* line = g_strdup_printf("4;%0*d\r\n", (int)size - 2, 0);
            wg_body_begin(&body, &(wg_message_head){.framing = WG_FRAMING_CHUNKED});
            wg_body_state state = WG_BODY_MORE;
            for (size_t at = 0; at < size + 2 && state == WG_BODY_MORE; at += piece) {
                ck_assert_uint_le(evbuffer_get_length(in), WG_CHUNK_LINE_MAX);
                evbuffer_add(in, line + at, MIN(piece, size + 2 - at));
                state = wg_body_read(&body, in, out);
            }
            ck_assert_int_eq(state, expected);
            ck_assert_int_eq(body.remaining, expected == WG_BODY_MORE ? 4 : 0);
            g_free(line);
            evbuffer_free(in);
            evbuffer_free(out);
        }
    }
}
END_TEST

START_TEST(trailers_have_a_limit) {
    static const char line[] = "A: b\r\n";
    struct evbuffer* in = evbuffer_new();
    struct evbuffer* out = evbuffer_new();
    wg_message_head head = {.framing = WG_FRAMING_CHUNKED};
    wg_body body;
    wg_body_begin(&body, &head);
    evbuffer_add_printf(in, "0\r\n");
    ck_assert_int_eq(wg_body_read(&body, in, out), WG_BODY_MORE);
    int lines = 0;
    wg_body_state state = WG_BODY_MORE;
    while (state == WG_BODY_MORE && lines < WG_TRAILERS_MAX) {
        evbuffer_add(in, line, strlen(line));
        state = wg_body_read(&body, in, out);
        lines++;
    }
    ck_assert_int_eq(state, WG_BODY_BAD);
    ck_assert_int_eq(lines, WG_TRAILERS_MAX / (int)strlen("A: b") + 1);
    evbuffer_free(in);
    evbuffer_free(out);
}
END_TEST

START_TEST(events_end_at_blank_lines) {
    static const char wire[] = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata";
    struct evbuffer* in = evbuffer_new();
    struct evbuffer* out = evbuffer_new();
    char id[8] = "";
    static const char* const ids[] = {"1", "2", "2"};
    evbuffer_add(in, wire, sizeof wire - 1);
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        ck_assert_int_eq(wg_event_stream_next(in, out, id, sizeof id), WG_EVENT_STREAM_EVENT);
        ck_assert_str_eq(id, ids[i]);
    }
    ck_assert_int_eq(wg_event_stream_next(in, out, id, sizeof id), WG_EVENT_STREAM_MORE);
    ck_assert_str_eq(id, "2"); /* id of the last complete event */
    ck_assert_uint_eq(evbuffer_get_length(in), strlen("id: 4\ndata"));
    evbuffer_free(in);
    evbuffer_free(out);
}
END_TEST

/* Guards against a stream that is taken as complete although its last event was cut. */
START_TEST(bytes_after_the_last_event_may_begin_another) {
    static const char* const open[] = {
        "i", "id: 4", "id: 4\ndata: d\n", "\n\ndata", ": not ended", ": ended\nda", "\r\nx"};
    static const char* const nothing[] = {"",   "\n",        "\r\n\r\n",
                                          "\r", ": ended\n", ":\r\n\r\n: b\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(open); i++) {
        ck_assert_msg(wg_event_is_open(open[i], strlen(open[i])), "%s", open[i]);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(nothing); i++) {
        ck_assert_msg(!wg_event_is_open(nothing[i], strlen(nothing[i])), "%s", nothing[i]);
    }
}
END_TEST

WG_TEST_MAIN("message", plain_request_is_parsed, ambiguous_requests_are_refused,
             too_many_fields_are_refused, head_is_complete_only_with_its_empty_line,
             answers_have_one_framing, hop_by_hop_fields_are_recognised,
             chunks_decode_in_pieces_of_any_size, malformed_chunks_are_rejected,
             chunk_lines_have_a_limit, trailers_have_a_limit, events_end_at_blank_lines,
             bytes_after_the_last_event_may_begin_another)
