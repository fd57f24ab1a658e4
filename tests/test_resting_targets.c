/* test_resting_targets.c -- real processes: targets that refuse requests with a backoff hint, and
   targets that report that they are draining

   A target that refuses quickly looks idle; without backoff it would draw most requests while other
   targets have free slots. */
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "hosts_operator.h"
#include "wg_net.h"
#include "wg_test.h"

enum {
    HOSTS = 3,
    DISKS = 3,
    TARGETS = 4, /* every other one serves the requested service */
    FORM_MS = 30000,
    REQUEST_INTERVAL_MS = 16, /* between two requests */
    RUN_MS = 5000,
    ANSWER_S = 4,
    COMPLETE_PERCENT = 95
};

typedef struct {
    int sent;
    int complete;
    int refused; /* 503 */
    int failed;
} answers;

typedef struct {
    struct event_base* base;
    hosts h;
    int requests;
    answers got;
} fleet;

/* ---- callers ----------------------------------------------------------------------------------
 */

static void on_answer(struct evhttp_request* request, void* user_data) {
    answers* got = user_data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    got->complete += status == 200;
    got->refused += status == 503;
    got->failed += status != 200 && status != 503;
}

static void send_request(fleet* f, int host_number) {
    const host* w = &f->h.hosts[host_number - 1];
    char ip[WG_ADDRESS_MAX];
    char text[32];
    uint16_t port;
    f->got.sent++;
    f->requests++;
    wgn_split_address(w->callers, ip, &port);
    struct evhttp_connection* connection = evhttp_connection_base_new(f->base, NULL, ip, port);
    evhttp_connection_set_timeout(connection, ANSWER_S);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_free_on_completion(connection);
    struct evhttp_request* request = evhttp_request_new(on_answer, &f->got);
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Host", "h");
    g_snprintf(text, sizeof text, "q%d", f->requests);
    evhttp_add_header(out, "Walnutgate-Request", text);
    g_snprintf(text, sizeof text, "%d", host_number);
    evhttp_add_header(out, "Asked-Host", text);
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, "/work");
}

/* Sends requests to the first `num` hosts in turn. */
static void send_for(fleet* f, int num, int ms) {
    wg_time until = wg_now() + ms * MSEC;
    while (wg_now() < until) {
        send_request(f, 1 + f->requests % num);
        hosts_run_for(&f->h, REQUEST_INTERVAL_MS);
    }
}

/* ---- the fleet --------------------------------------------------------------------------------
 */

static host_target* first_target(fleet* f) {
    return &f->h.targets[0];
}

static host_target* second_target(fleet* f) {
    return &f->h.targets[2];
}

static void begin(fleet* f) {
    *f = (fleet){.base = event_base_new()};
    hosts_setup(&f->h, f->base, HOSTS, DISKS, TARGETS);
    hosts_use_deployed_timing(&f->h);
    f->h.direct_targets = true;
    for (int i = 0; i < HOSTS; i++) {
        hosts_start_entry(&f->h, &f->h.hosts[i]);
        hosts_start_replica(&f->h, &f->h.hosts[i]);
    }
    f->h.started_before = true;
    for (int i = 0; i < TARGETS; i++) {
        hosts_start_target(&f->h, &f->h.targets[i]);
    }
    ck_assert(hosts_put_until(&f->h, 1, FORM_MS));
    for (int i = 0; i < HOSTS; i++) {
        ck_assert(hosts_serves_until(&f->h, &f->h.hosts[i], FORM_MS));
    }
    ck_assert(hosts_set_faults(&f->h, first_target(f), "refuse=0&fail=0"));
    ck_assert(hosts_set_faults(&f->h, second_target(f), "refuse=0&fail=0&work_us=60000"));
    send_for(f, HOSTS, 500);
    hosts_run_for(&f->h, 200);
    f->got = (answers){0};
}

/* Requests that targets received in spite of a backoff or draining hint. */
static int unheeded(fleet* f) {
    hosts_events notes = hosts_read_events(&f->h);
    int num = (int)notes.hint_violations->len;
    hosts_events_clear(&notes);
    return num;
}

static void print_result(const char* what, const fleet* f, int num) {
    printf("%s: %d sent, %d complete, %d refused, %d failed; %d against a target's hint\n", what,
           f->got.sent, f->got.complete, f->got.refused, f->got.failed, num);
    fflush(stdout);
}

static void end(fleet* f, bool good) {
    hosts_shutdown(&f->h, !good);
    event_base_free(f->base);
}

/* ---- tests ------------------------------------------------------------------------------------
 */

static void check_backoff(const char* what, int hosts_num) {
    fleet f;
    begin(&f);
    ck_assert(hosts_set_faults(&f.h, first_target(&f), "refuse=100&rest_ms=3000"));
    send_for(&f, hosts_num, RUN_MS);
    hosts_run_for(&f.h, 300);
    int num = unheeded(&f);
    bool good = num == 0 && f.got.complete >= f.got.sent * COMPLETE_PERCENT / 100;
    print_result(what, &f, num);
    end(&f, good);
    ck_assert_msg(good,
                  "%d backoff periods with more than two requests, %d of %d complete; logs in %s",
                  num, f.got.complete, f.got.sent, f.h.folder);
}

START_TEST(target_in_backoff_gets_no_requests_from_one_host) {
    check_backoff("one host", 1);
}
END_TEST

START_TEST(target_in_backoff_gets_no_requests_from_all_hosts) {
    check_backoff("three hosts", HOSTS);
}
END_TEST

/* A target that refuses all requests without a hint must not draw requests either. */
START_TEST(target_that_refuses_all_does_not_draw_requests) {
    fleet f;
    begin(&f);
    ck_assert(hosts_set_faults(&f.h, first_target(&f), "refuse=100"));
    send_for(&f, HOSTS, RUN_MS);
    hosts_run_for(&f.h, 300);
    bool good = f.got.complete >= f.got.sent * COMPLETE_PERCENT / 100;
    print_result("refused without a hint", &f, 0);
    end(&f, good);
    ck_assert_msg(good, "%d of %d complete; logs in %s", f.got.complete, f.got.sent, f.h.folder);
}
END_TEST

/* The target reports that it drains only in its answers, and continues to serve. */
START_TEST(reported_draining_stops_requests) {
    fleet f;
    begin(&f);
    ck_assert(hosts_set_faults(&f.h, first_target(&f), "leaving=1"));
    send_for(&f, HOSTS, RUN_MS);
    hosts_run_for(&f.h, 300);
    int num = unheeded(&f);
    bool good = num == 0 && f.got.complete >= f.got.sent * COMPLETE_PERCENT / 100;
    print_result("draining", &f, num);
    end(&f, good);
    ck_assert_msg(good, "%d requests arrived more than 2.2 s after the draining report; logs in %s",
                  num, f.h.folder);
}
END_TEST

WG_TEST_MAIN("resting_targets", target_in_backoff_gets_no_requests_from_one_host,
             target_in_backoff_gets_no_requests_from_all_hosts,
             target_that_refuses_all_does_not_draw_requests, reported_draining_stops_requests)
