/* test_router_heads.c -- real processes: a router's target sends heads that are none */
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

#include "fleet_common.h"
#include "wg_net.h"

enum {
    KNOWN_MS = 400, /* until the router has slots of a new target */
    ANSWER_MS = 3000
};

/* What a target answers to each request, and whether it is an answer. */
typedef struct {
    const char* bytes;
    size_t size;
    bool good;
} head;

#define HEAD(line)                                                                                 \
    { line "\r\nContent-Length: 4\r\n\r\nbody", sizeof line - 1 + 27, false }
#define FIELD(line)                                                                                \
    { "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" line "\r\n\r\nbody", sizeof line - 1 + 44, false }
#define LENGTH(line)                                                                               \
    { "HTTP/1.1 200 OK\r\n" line "\r\n\r\nbodybody", sizeof line - 1 + 29, false }

static const head heads[] = {HEAD("HTTP/1.1 000 OK"),
                             HEAD("HTTP/1.1 099 OK"),
                             HEAD("HTTP/1.1 600 OK"),
                             HEAD("HTTP/1.1 999 OK"),
                             HEAD("HTTP/1.1 -20 OK"),
                             HEAD("HTTP/1.1 20 OK"),
                             HEAD("HTTP/1.1 0200 OK"),
                             HEAD("HTTP/1.1 200x OK"),
                             HEAD("HTTP/1.1 101 OK"),
                             FIELD("A b: 1"),
                             FIELD("A : 1"),
                             FIELD("A\tb: 1"),
                             FIELD("A\x01: 1"),
                             FIELD("A\xe9: 1"),
                             FIELD(": 1"),
                             FIELD("A: 1\r\n folded"),
                             FIELD("A: 1\x00 2"),
                             LENGTH("Content-Length : 4"),
                             LENGTH("Content-Length: 4\r\nContent-Length: 8"),
                             LENGTH("Content-Length: +4"),
                             LENGTH("Content-Length: 4\r\nTransfer-Encoding: chunked"),
                             {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", 42, true}};

static int serving = -1; /* index into `heads` */

static void* serve(void* user_data) {
    int listening = *(int*)user_data;
    int fd;
    while ((fd = accept(listening, NULL, NULL)) >= 0) {
        char bytes[8192];
        const head* h = &heads[g_atomic_int_get(&serving)];
        if (recv(fd, bytes, sizeof bytes, 0) > 0) {
            send(fd, h->bytes, h->size, MSG_NOSIGNAL);
        }
        shutdown(fd, SHUT_WR);
        while (recv(fd, bytes, sizeof bytes, 0) > 0) {
        }
        close(fd);
    }
    return NULL;
}

static int start_target(const char* address, pthread_t* thread, int* listening) {
    struct sockaddr_storage at;
    int size;
    int on = 1;
    ck_assert(wgn_parse_address(address, &at, &size));
    *listening = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(*listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ck_assert_int_eq(bind(*listening, (struct sockaddr*)&at, (socklen_t)size), 0);
    ck_assert_int_eq(listen(*listening, 16), 0);
    return pthread_create(thread, NULL, serve, listening);
}

static void run_ctl(const char* verb, const char* kind, const char* name, const char* first,
                    const char* second) {
    ck_assert_int_eq(proc_run_ctl(&fleet, NULL, "table", verb, kind, name, first, second, NULL), 0);
}

/* Status that a caller gets, 0 if none. */
static int ask(void) {
    const char* router = proc_find(&fleet, "r1")->address;
    char* request =
        g_strdup_printf("POST /v1/app/odd/x HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
                        "Authorization: Bearer key-w0\r\nContent-Length: 0\r\n\r\n",
                        router);
    char* text = proc_send_raw(router, request, strlen(request), ANSWER_MS, NULL);
    int status = g_str_has_prefix(text, "HTTP/1.1 ") ? atoi(text + strlen("HTTP/1.1 ")) : 0;
    g_free(request);
    g_free(text);
    return status;
}

/* Guards against a router that reads answers less strictly than entry hosts: heads that are none
   reached callers, with a status, lines or a length that the target did not send as such. */
START_TEST(heads_that_are_none_are_refused) {
    char address[64];
    char row[96];
    pthread_t thread;
    int listening;
    int bad = 0;
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .services = 1, .engines = 1});
    g_snprintf(address, sizeof address, "127.%d.6.9:9000", fleet.loopback_part_number);
    g_snprintf(row, sizeof row, "address=%s", address);
    ck_assert_int_eq(start_target(address, &thread, &listening), 0);
    run_ctl("set", "services", "odd", "kind=app", "deadline_ms=2500");
    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        char name[32];
        g_snprintf(name, sizeof name, "odd-%zu", i);
        g_atomic_int_set(&serving, (int)i);
        run_ctl("set", "targets", name, "service=odd", row);
        proc_sleep(KNOWN_MS);
        int status = ask();
        int expected = heads[i].good ? 200 : 502;
        if (status != expected) {
            printf("head %zu: status %d, not %d\n", i, status, expected);
            bad++;
        }
        run_ctl("delete", "targets", name, NULL, NULL);
    }
    fflush(stdout);
    shutdown(listening, SHUT_RDWR);
    pthread_join(thread, NULL);
    close(listening);
    proc_fleet_stop(&fleet);
    ck_assert_int_eq(bad, 0);
}
END_TEST

WG_TEST_MAIN("heads at a router", heads_that_are_none_are_refused)
