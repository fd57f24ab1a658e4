/* test_crowd_entry.c -- real processes: crowds of callers that do not behave, at an entry host */
#include "crowd_entry.h"

enum {
    MEMORY_MB = 64,    /* of the machine: setting memory_mb */
    DESCRIPTORS = 400, /* of the process: setting descriptors */
    CONNECTIONS = 40,
    MANY = 200
};

static const char settings[] = "[limits]\nmemory_mb=64\ndescriptors=400\nspare_descriptors=1\n"
                               "held_mb=8\nunread_ms=5000\n";

#define SLOW "GET /slow/x HTTP/1.1\r\n" CROWD_FIELDS "\r\n"
#define SMALL "GET /small HTTP/1.1\r\n" CROWD_FIELDS "\r\n"

static bool play(const crowd_kind* kind) {
    crowd_hosts_begin(settings, false);
    const host* h = &crowd_hosts.hosts[0];
    bool good = crowd_holds(kind, h->callers, h->entry, crowd_run_hosts,
                            &(crowd_bounds){.ask_address = h->callers,
                                            .ask = CROWD_ORDINARY,
                                            .memory_mb = MEMORY_MB,
                                            .descriptors = DESCRIPTORS});
    crowd_hosts_end(good);
    return good;
}

/* Text of `kb` times 1000 bytes. */
static char* text_of(const char* before, int kb, const char* after) {
    char* filling = g_strnfill((gsize)kb * 1000, 'a');
    char* text = g_strconcat(before, filling, after, NULL);
    g_free(filling);
    return text;
}

/* ---- requests sent ahead ----------------------------------------------------------------------
 */

START_TEST(bytes_behind_a_slow_request) {
    ck_assert(play(&(crowd_kind){.name = "bytes behind a slow request",
                                 .first = SLOW,
                                 .block = "xxxxxxxxxxxxxxxx",
                                 .connections = CONNECTIONS,
                                 .kb = 6000}));
}
END_TEST

START_TEST(requests_behind_a_slow_request) {
    ck_assert(play(&(crowd_kind){.name = "requests behind a slow request",
                                 .first = SLOW,
                                 .block = SMALL,
                                 .connections = CONNECTIONS,
                                 .kb = 6000}));
}
END_TEST

START_TEST(requests_behind_a_stream) {
    ck_assert(play(&(crowd_kind){.name = "requests behind a stream",
                                 .first = "GET /stream/100000 HTTP/1.1\r\n" CROWD_FIELDS "\r\n",
                                 .block = SMALL,
                                 .connections = CONNECTIONS,
                                 .kb = 6000}));
}
END_TEST

START_TEST(requests_without_usual_fields) {
    ck_assert(play(&(crowd_kind){.name = "requests without an id",
                                 .block = "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                                 .connections = CONNECTIONS,
                                 .kb = 6000}));
}
END_TEST

START_TEST(requests_for_heads) {
    ck_assert(play(&(crowd_kind){.name = "HEAD without an id",
                                 .block = "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n",
                                 .connections = CONNECTIONS,
                                 .kb = 6000}));
}
END_TEST

START_TEST(requests_of_an_earlier_protocol) {
    ck_assert(play(&(crowd_kind){
        .name = "HTTP/1.0, kept",
        .block = "GET /small HTTP/1.0\r\nConnection: keep-alive\r\n" CROWD_FIELDS "\r\n",
        .connections = CONNECTIONS,
        .kb = 6000}));
}
END_TEST

START_TEST(requests_without_a_deadline) {
    ck_assert(play(
        &(crowd_kind){.name = "no deadline",
                      .block = "GET /small HTTP/1.1\r\nHost: h\r\nWalnutgate-Request: r1\r\n\r\n",
                      .connections = CONNECTIONS,
                      .kb = 6000}));
}
END_TEST

START_TEST(requests_that_expect_to_go_on) {
    ck_assert(play(&(crowd_kind){
        .name = "Expect without a body",
        .block = "GET /small HTTP/1.1\r\nExpect: 100-continue\r\n" CROWD_FIELDS "\r\n",
        .connections = CONNECTIONS,
        .kb = 6000}));
}
END_TEST

START_TEST(usual_requests) {
    ck_assert(play(&(crowd_kind){
        .name = "usual requests", .block = SMALL, .connections = CONNECTIONS, .kb = 6000}));
}
END_TEST

START_TEST(requests_for_large_answers) {
    ck_assert(play(&(crowd_kind){.name = "answers of 1 MB",
                                 .block = "GET /large/1000000 HTTP/1.1\r\n" CROWD_FIELDS "\r\n",
                                 .connections = CONNECTIONS,
                                 .kb = 6000}));
}
END_TEST

START_TEST(requests_without_a_route) {
    ck_assert(play(
        &(crowd_kind){.name = "no route",
                      .block = "GET / HTTP/1.1\r\nHost: other\r\nWalnutgate-Request: r1\r\n\r\n",
                      .connections = CONNECTIONS,
                      .kb = 6000}));
}
END_TEST

/* ---- bodies and heads -------------------------------------------------------------------------
 */

START_TEST(bodies_sent_ahead) {
    char* block =
        text_of("POST /x HTTP/1.1\r\nContent-Length: 1000000\r\n" CROWD_FIELDS "\r\n", 1000, "");
    bool good = play(&(crowd_kind){
        .name = "bodies of 1 MB", .block = block, .connections = CONNECTIONS, .kb = 6000});
    g_free(block);
    ck_assert(good);
}
END_TEST

START_TEST(bodies_of_slow_requests) {
    char* first =
        text_of("POST /slow/x HTTP/1.1\r\nContent-Length: 100000\r\n" CROWD_FIELDS "\r\n", 100, "");
    bool good = play(&(crowd_kind){.name = "slow requests with 100 KB each",
                                   .first = first,
                                   .block = SMALL,
                                   .connections = MANY,
                                   .kb = 1000});
    g_free(first);
    ck_assert(good);
}
END_TEST

START_TEST(bodies_that_do_not_end) {
    ck_assert(play(&(crowd_kind){
        .name = "bodies that end late",
        .first = "POST /x HTTP/1.1\r\nContent-Length: 4000000\r\n" CROWD_FIELDS "\r\n",
        .block = "aaaaaaaaaaaaaaaa",
        .connections = MANY,
        .kb = 3999}));
}
END_TEST

START_TEST(bodies_in_chunks_of_one_byte) {
    ck_assert(play(&(crowd_kind){
        .name = "chunks of one byte",
        .first = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n" CROWD_FIELDS "\r\n",
        .block = "1\r\na\r\n",
        .connections = MANY,
        .kb = 6000}));
}
END_TEST

START_TEST(bodies_of_requests_without_an_id) {
    char* block =
        text_of("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n", 1000, "");
    bool good = play(&(crowd_kind){.name = "bodies of 1 MB without an id",
                                   .block = block,
                                   .connections = CONNECTIONS,
                                   .kb = 6000});
    g_free(block);
    ck_assert(good);
}
END_TEST

START_TEST(long_heads) {
    char* block = text_of("GET /small HTTP/1.1\r\n" CROWD_FIELDS "A: ", 15, "\r\n\r\n");
    bool good = play(
        &(crowd_kind){.name = "heads of 15 KB", .block = block, .connections = MANY, .kb = 2000});
    g_free(block);
    ck_assert(good);
}
END_TEST

START_TEST(long_heads_of_slow_requests) {
    char* first = text_of("GET /slow/x HTTP/1.1\r\n" CROWD_FIELDS "A: ", 15, "\r\n\r\n");
    bool good = play(&(crowd_kind){.name = "slow requests with heads of 15 KB",
                                   .first = first,
                                   .block = first,
                                   .connections = MANY,
                                   .kb = 1000});
    g_free(first);
    ck_assert(good);
}
END_TEST

START_TEST(heads_that_do_not_end) {
    ck_assert(play(&(crowd_kind){.name = "heads without end",
                                 .first = "GET /small HTTP/1.1\r\n" CROWD_FIELDS,
                                 .block = "a:\r\n",
                                 .connections = MANY,
                                 .kb = 1000}));
}
END_TEST

START_TEST(no_requests) {
    ck_assert(play(&(crowd_kind){
        .name = "nonsense", .block = "\r\n\x01\x02 \n", .connections = MANY, .kb = 1000}));
}
END_TEST

START_TEST(connections_that_send_nothing) {
    ck_assert(play(&(crowd_kind){.name = "idle connections", .connections = 800}));
}
END_TEST

WG_TEST_MAIN("crowds at entry hosts", bytes_behind_a_slow_request, requests_behind_a_slow_request,
             requests_behind_a_stream, requests_without_usual_fields, requests_for_heads,
             requests_of_an_earlier_protocol, requests_without_a_deadline,
             requests_that_expect_to_go_on, usual_requests, requests_for_large_answers,
             requests_without_a_route, bodies_sent_ahead, bodies_of_slow_requests,
             bodies_that_do_not_end, bodies_in_chunks_of_one_byte, bodies_of_requests_without_an_id,
             long_heads, long_heads_of_slow_requests, heads_that_do_not_end, no_requests,
             connections_that_send_nothing)
