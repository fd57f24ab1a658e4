/* test_entry_descriptors.c -- an entry host that runs short of file descriptors

   Guards against a loop that spins on a failing accept(), and against callers that get no answer
   because idle connections hold the descriptors that others need. */
#include "one_entry.h"

#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

enum {
    FAILURE_MS = 500,   /* time for which accept() fails */
    FAILURES_MAX = 30,  /* one each 20 ms, and some for a late loop */
    WAITING_CALLERS = 3 /* in the backlog while accept() fails */
};

static int accepts_failed; /* accept4() calls of the process that failed for lack of descriptors */

/* Replaces the function of the C library in libevent, to count failures. */
int accept4(int fd, struct sockaddr* address, socklen_t* size, int flags) {
    int accepted = (int)syscall(SYS_accept4, fd, address, size, flags);
    accepts_failed += accepted < 0 && errno == EMFILE;
    return accepted;
}

/* ---- accept() fails -------------------------------------------------------------------------- */

/* Runs the loop without pauses of its own, so that a readable socket wakes it at once. */
static void run_for(int ms) {
    struct timeval time = {.tv_usec = ms * 1000};
    event_base_loopexit(base, &time);
    event_base_dispatch(base);
}

/* Lowers the limit of the process so that no more descriptor can be opened; returns the limit that
   was in force. */
static struct rlimit exhaust_descriptors(void) {
    struct rlimit before;
    ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &before), 0);
    int lowest_free = dup(STDIN_FILENO);
    ck_assert_int_ge(lowest_free, 0);
    close(lowest_free);
    struct rlimit none_left = {.rlim_cur = (rlim_t)lowest_free, .rlim_max = before.rlim_max};
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &none_left), 0);
    return before;
}

/* With the old listener, the loop called accept() without a pause as long as it failed, which took
   the whole processor share of the host. Callers in the backlog must be served afterwards. */
START_TEST(loop_does_not_spin_while_accept_fails) {
    static const char request[] = "GET /none/ HTTP/1.1\r\nHost: h\r\n\r\n";
    char answer[1024];
    char* address = local_address(11, CALLERS_PORT);
    struct sockaddr_storage to;
    int size;
    int callers[WAITING_CALLERS];
    one_entry_begin();
    one_entry_lead(&(one_route){.version = 1, .prefix = "/a/", .timeout_ms = 5000});
    ck_assert(wgn_parse_address(address, &to, &size));
    for (int i = 0; i < WAITING_CALLERS; i++) {
        callers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    }
    struct rlimit before = exhaust_descriptors();
    for (int i = 0; i < WAITING_CALLERS; i++) {
        ck_assert(connect(callers[i], (struct sockaddr*)&to, (socklen_t)size) == 0 ||
                  errno == EINPROGRESS);
    }
    run_for(FAILURE_MS);
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &before), 0);
    ck_assert_int_gt(accepts_failed, 1); /* it is tried again */
    ck_assert_int_le(accepts_failed, FAILURES_MAX);
    for (int i = 0; i < WAITING_CALLERS; i++) {
        ck_assert_int_gt(send(callers[i], request, sizeof request - 1, MSG_NOSIGNAL), 0);
        ck_assert_int_eq(status_of(callers[i], answer), 404);
        close(callers[i]);
    }
    g_free(address);
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("entry_descriptors", loop_does_not_spin_while_accept_fails)
