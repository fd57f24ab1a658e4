/* test_http_server.c -- servers over evhttp: callers that send what is no request, without end */
#include <errno.h>
#include <sys/socket.h>

#include "local_control.h"
#include "wg_http.h"
#include "wg_net.h"
#include "wg_test.h"

enum {
    SEND_MS = 2000,   /* for which a caller sends */
    KEPT_MAX_MB = 12, /* what the server may hold, with what the kernel holds for it */
    PORT = 18011
};

typedef struct {
    const char* name;
    const char* begin;
    const char* block; /* again and again */
} flood;

#define CHUNKED "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

static const flood floods[] = {
    {"request line", "GET /", "aaaaaaaaaaaaaaaa"},
    {"header line", "GET / HTTP/1.1\r\nHost: h\r\nA: ", "aaaaaaaaaaaaaaaa"},
    {"header lines", "GET / HTTP/1.1\r\nHost: h\r\n", "Aa: aaaaaaaaaa\r\n"},
    {"empty lines", "", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"},
    {"size of a chunk", CHUNKED, "0000000000000000"},
    {"extension of a chunk", CHUNKED "1;", "aaaaaaaaaaaaaaaa"},
    {"chunks", CHUNKED, "4\r\naaaa\r\n4\r\naaaa\r\n"},
    {"trailers", CHUNKED "0\r\n", "Aa: aaaaaaaaaa\r\n"},
    {"body beyond its length", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n",
     "aaaaaaaaaaaaaaaa"}};

static void on_request(struct evhttp_request* request, void* user_data) {
    (void)user_data;
    wgh_reply_text(request, 200, "text/plain", "ok\n");
}

static int64_t resident_mb(void) {
    char* text = NULL;
    g_file_get_contents("/proc/self/status", &text, NULL, NULL);
    const char* at = text ? strstr(text, "VmRSS:") : NULL;
    int64_t kb = at ? g_ascii_strtoll(at + strlen("VmRSS:"), NULL, 10) : 0;
    g_free(text);
    return kb / 1024;
}

/* Sends without end. Returns whether the server closed the connection; `sent` receives the bytes
   that it and the kernels took. */
static bool play(struct event_base* base, const char* address, const flood* f, size_t* sent) {
    struct sockaddr_storage to;
    int size;
    GString* block = g_string_new(NULL);
    while (block->len < 64 * 1024) {
        g_string_append(block, f->block);
    }
    ck_assert(wgn_parse_address(address, &to, &size));
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    ck_assert_int_eq(connect(fd, (struct sockaddr*)&to, (socklen_t)size), 0);
    *sent = (size_t)send(fd, f->begin, strlen(f->begin), MSG_NOSIGNAL);
    wg_time until = wg_now() + SEND_MS * MSEC;
    bool closed = false;
    while (!closed && wg_now() < until) {
        ssize_t result = send(fd, block->str, block->len, MSG_NOSIGNAL | MSG_DONTWAIT);
        *sent += result > 0 ? (size_t)result : 0;
        closed = result < 0 && errno != EAGAIN;
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
    close(fd);
    event_base_loop(base, EVLOOP_NONBLOCK);
    g_string_free(block, TRUE);
    return closed;
}

/* Guards against a server that keeps, or reads, what is no request for as long as a caller sends.
 */
START_TEST(requests_without_end_are_given_up) {
    struct event_base* base = local_event_base();
    wgh_server server;
    GError* error = NULL;
    char* address = local_address(1, PORT);
    ck_assert(wgh_listen(&server, base, address, &(wgh_limits){.body_max = 1 << 20}, &error));
    evhttp_set_gencb(server.http, on_request, NULL);
    int bad = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(floods); i++) {
        size_t sent;
        int64_t before = resident_mb();
        bool closed = play(base, address, &floods[i], &sent);
        int64_t grown = resident_mb() - before;
        printf("%s: closed %d, %zu MB taken, memory +%d MB\n", floods[i].name, closed, sent >> 20,
               (int)grown);
        bad += !closed || (int64_t)(sent >> 20) > KEPT_MAX_MB || grown > KEPT_MAX_MB;
    }
    fflush(stdout);
    wgh_close(&server);
    event_base_free(base);
    g_free(address);
    ck_assert_int_eq(bad, 0);
}
END_TEST

WG_TEST_MAIN("servers", requests_without_end_are_given_up)
