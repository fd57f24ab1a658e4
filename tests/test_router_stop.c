/* test_router_stop.c -- real processes: planned stop of a router whose callers still read

   Guards against an answer that is cut off because the router takes it for delivered once it is in
   a buffer, and against a stop that does not end because a caller reads nothing. */
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>

#include "fleet_common.h"
#include "wg_net.h"

enum {
    ANSWER_BYTES = 12 * 1000 * 1000, /* more than kernels hold */
    SMALL_RECEIVE_BUFFER = 4 * 1024,
    PART_BYTES = 64 * 1024,
    STOP_MIN_MS = 1000, /* entry_keep_ms and stop_wait_ms of these routers */
    READ_FROM_MS = 2000,
    GRACE_MS = 8000, /* grace_ms of routers */
    LATE_MS = 1500   /* to exit, on a busy machine */
};

static int send_slow_request(void) {
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    int receive = SMALL_RECEIVE_BUFFER;
    const char* router = proc_find(&fleet, "r1")->address;
    ck_assert(wgn_split_address(router, ip, &port));
    struct sockaddr_in to = {.sin_family = AF_INET, .sin_port = htons(port)};
    ck_assert_int_eq(inet_pton(AF_INET, ip, &to.sin_addr), 1);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive, sizeof receive);
    ck_assert_int_eq(connect(fd, (struct sockaddr*)&to, sizeof to), 0);
    char* request = g_strdup_printf("GET /v1/app/app/x?size=%d HTTP/1.1\r\nHost: %s\r\n"
                                    "Authorization: Bearer key-w0\r\n\r\n",
                                    ANSWER_BYTES, router);
    ck_assert_int_eq(send(fd, request, strlen(request), MSG_NOSIGNAL), (ssize_t)strlen(request));
    g_free(request);
    return fd;
}

/* Bytes until the connection ends, or nothing comes for a second. */
static size_t read_to_end(int fd) {
    char part[PART_BYTES];
    size_t size = 0;
    struct pollfd state = {.fd = fd, .events = POLLIN};
    while (poll(&state, 1, 1000) > 0) {
        ssize_t got = recv(fd, part, sizeof part, 0);
        if (got <= 0) {
            break;
        }
        size += (size_t)got;
    }
    return size;
}

static int begin_stop(void) {
    start_fleet(&(proc_desc){.controls = 1,
                             .routers = 1,
                             .services = 1,
                             .engines = 1,
                             .router_extra = "[limits]\nhigh_water=67108864\n"});
    int fd = send_slow_request();
    g_usleep(500 * WG_USEC_PER_MSEC); /* the target has answered */
    proc_signal(proc_find(&fleet, "r1"), SIGTERM);
    return fd;
}

/* Guards against an answer that is cut off although its caller reads it. */
START_TEST(planned_stop_of_a_router_waits_for_callers_that_still_read) {
    int fd = begin_stop();
    g_usleep(READ_FROM_MS * WG_USEC_PER_MSEC);
    size_t size = read_to_end(fd);
    wg_time since = wg_now();
    int status = proc_wait(proc_find(&fleet, "r1"));
    wg_time left = wg_now() - since;
    close(fd);
    proc_fleet_stop(&fleet);
    ck_assert_uint_gt(size, ANSWER_BYTES); /* with its head */
    ck_assert_int_eq(status, 0);
    ck_assert_int_lt(left, LATE_MS * MSEC);
}
END_TEST

/* Guards against a stop that waits for a caller that reads nothing, and against one that does not
   wait at all. */
START_TEST(planned_stop_of_a_router_ends_if_a_caller_reads_nothing) {
    int fd = begin_stop();
    wg_time since = wg_now();
    int status = proc_wait(proc_find(&fleet, "r1"));
    wg_time took = wg_now() - since;
    close(fd);
    proc_fleet_stop(&fleet);
    ck_assert_int_eq(status, 0);
    ck_assert_int_gt(took, (STOP_MIN_MS + LATE_MS) * MSEC);
    ck_assert_int_lt(took, (GRACE_MS + LATE_MS) * MSEC);
}
END_TEST

enum {
    SENDERS = 8,
    WORK_US = 300 * 1000 /* of each request */
};

/* A caller that sends requests until nobody takes its connection. */
typedef struct {
    char address[WG_ADDRESS_MAX];
    int answered;
    int refused;
    int lost; /* sent as a whole, and the connection ended with no answer */
} sender;

static void* send_until_gone(void* user_data) {
    sender* s = user_data;
    for (;;) {
        struct sockaddr_storage to;
        int size;
        char text[4096] = "";
        size_t have = 0;
        wgn_parse_address(s->address, &to, &size);
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(fd, (struct sockaddr*)&to, (socklen_t)size) != 0) {
            close(fd);
            return NULL;
        }
        char* request = g_strdup_printf("POST /v1/app/app/x HTTP/1.1\r\nHost: %s\r\nAuthorization: "
                                        "Bearer key-w0\r\nContent-Length: 0\r\n\r\n",
                                        s->address);
        bool sent = send(fd, request, strlen(request), MSG_NOSIGNAL) == (ssize_t)strlen(request);
        g_free(request);
        ssize_t got = 1;
        while (sent && got > 0 && !strstr(text, "\r\n\r\n")) {
            got = recv(fd, text + have, sizeof text - 1 - have, 0);
            have += got > 0 ? (size_t)got : 0;
        }
        close(fd);
        s->answered += g_str_has_prefix(text, "HTTP/1.1 200");
        s->refused += g_str_has_prefix(text, "HTTP/1.1 503");
        s->lost += sent && have == 0;
        g_usleep(g_str_has_prefix(text, "HTTP/1.1 200") ? 0 : 20 * WG_USEC_PER_MSEC);
    }
}

/* Guards against a router that takes requests to the end of its grace period, so that it never
   comes to rest, and the last ones, which may not be repeated, are cut off with it. */
START_TEST(planned_stop_of_a_router_refuses_requests_that_come_late) {
    sender senders[SENDERS] = {0};
    pthread_t threads[SENDERS];
    int answered = 0;
    int refused = 0;
    int lost = 0;
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .services = 1, .engines = 1});
    char faults[32];
    g_snprintf(faults, sizeof faults, "work_us=%d", WORK_US);
    proc_set_faults(proc_find(&fleet, "service1"), faults);
    for (int i = 0; i < SENDERS; i++) {
        g_strlcpy(senders[i].address, proc_find(&fleet, "r1")->address, WG_ADDRESS_MAX);
        ck_assert_int_eq(pthread_create(&threads[i], NULL, send_until_gone, &senders[i]), 0);
    }
    g_usleep(1 * WG_USEC_PER_SEC);
    wg_time since = wg_now();
    proc_signal(proc_find(&fleet, "r1"), SIGTERM);
    int status = proc_wait(proc_find(&fleet, "r1"));
    wg_time took = wg_now() - since;
    for (int i = 0; i < SENDERS; i++) {
        pthread_join(threads[i], NULL);
        answered += senders[i].answered;
        refused += senders[i].refused;
        lost += senders[i].lost;
    }
    proc_fleet_stop(&fleet);
    printf("%d answered, %d refused, %d lost; exited after %d ms\n", answered, refused, lost,
           (int)(took / MSEC));
    fflush(stdout);
    ck_assert_int_eq(status, 0);
    ck_assert_int_lt(took, GRACE_MS * MSEC);
    ck_assert_int_gt(answered, 0);
    ck_assert_int_eq(lost, 0);
}
END_TEST

WG_TEST_MAIN("planned stop of a router", planned_stop_of_a_router_waits_for_callers_that_still_read,
             planned_stop_of_a_router_ends_if_a_caller_reads_nothing,
             planned_stop_of_a_router_refuses_requests_that_come_late)
