/* test_hangup.c -- ends of connections that are found without reading */
#include <sys/socket.h>
#include <unistd.h>

#include "local_control.h"
#include "wg_hangup.h"
#include "wg_test.h"

enum {
    PAIRS = 4,
    TURNS = 3000 /* of 1 ms, after which something counts as missing */
};

typedef struct {
    int here;
    int there;
    int reported;
    wg_hangup watch;
    wg_hangup* also_ends; /* NULL: nothing */
} pair;

static pair pairs[PAIRS];

static void on_hangup(void* user_data) {
    pair* p = user_data;
    p->reported++;
    if (p->also_ends) {
        wg_hangups_forget(p->also_ends);
    }
}

static void open_pair(pair* p) {
    int fds[2];
    ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
    *p = (pair){.here = fds[0], .there = fds[1]};
    p->watch = (wg_hangup){.fd = fds[0], .on_hangup = on_hangup, .user_data = p};
}

static void run_until_reported(struct event_base* base, const pair* p) {
    for (int i = 0; i < TURNS && p->reported == 0; i++) {
        local_run_loop(base);
    }
}

/* Bytes that wait do not report a peer, nor hide that it has closed. */
START_TEST(peer_that_closes_is_found_behind_its_bytes) {
    struct event_base* base = local_event_base();
    wg_hangups* h = wg_hangups_setup(base);
    open_pair(&pairs[0]);
    ck_assert_int_eq(write(pairs[0].there, "ahead", 5), 5);
    wg_hangups_watch(h, &pairs[0].watch);
    wg_hangups_watch(h, &pairs[0].watch);
    for (int i = 0; i < 100; i++) {
        local_run_loop(base);
    }
    ck_assert_int_eq(pairs[0].reported, 0);
    close(pairs[0].there);
    run_until_reported(base, &pairs[0]);
    ck_assert_int_eq(pairs[0].reported, 1);
    close(pairs[0].here);
    wg_hangups_shutdown(h);
    event_base_free(base);
}
END_TEST

/* Several peers close at once, and the report of one ends the watch of another. */
START_TEST(watch_that_a_report_ends_is_not_reported) {
    struct event_base* base = local_event_base();
    wg_hangups* h = wg_hangups_setup(base);
    for (int i = 0; i < PAIRS; i++) {
        open_pair(&pairs[i]);
        wg_hangups_watch(h, &pairs[i].watch);
    }
    pairs[0].also_ends = &pairs[1].watch;
    pairs[2].also_ends = &pairs[3].watch;
    wg_hangups_forget(&pairs[2].watch);
    wg_hangups_forget(&pairs[2].watch);
    for (int i = 0; i < PAIRS; i++) {
        close(pairs[i].there);
    }
    run_until_reported(base, &pairs[3]);
    ck_assert_int_eq(pairs[0].reported, 1);
    ck_assert_int_eq(pairs[1].reported, 0);
    ck_assert_int_eq(pairs[2].reported, 0);
    ck_assert_int_eq(pairs[3].reported, 1);
    for (int i = 0; i < PAIRS; i++) {
        close(pairs[i].here);
    }
    wg_hangups_shutdown(h);
    event_base_free(base);
}
END_TEST

/* A process that stops keeps connections whose requests run until its end. */
START_TEST(shutdown_ends_watches) {
    struct event_base* base = local_event_base();
    wg_hangups* h = wg_hangups_setup(base);
    open_pair(&pairs[0]);
    wg_hangups_watch(h, &pairs[0].watch);
    wg_hangups_shutdown(h);
    ck_assert_ptr_null(pairs[0].watch.queue);
    wg_hangups_forget(&pairs[0].watch);
    close(pairs[0].here);
    close(pairs[0].there);
    event_base_free(base);
}
END_TEST

WG_TEST_MAIN("hangup", peer_that_closes_is_found_behind_its_bytes,
             watch_that_a_report_ends_is_not_reported, shutdown_ends_watches)
