/* test_fleet_requests.c -- real processes: answers to callers, at-most-once actions, failing
   targets, restarts */
#include "fleet_common.h"

START_TEST(answers_and_refusals) {
    start_fleet(&(proc_desc){.controls = 1,
                             .routers = 1,
                             .engines = 1,
                             .services = 1,
                             .router_extra = "[limits]\nbody_max=2048\nhead_max=4096\n"});
    load_desc desc = caller_load(LOAD_KIND_STREAM, 4, SECOND);
    load_result result;
    load_run(&desc, &result);
    ck_no_failures(&result);
    load_clear(&result);
    const char* app = "/v1/app/app/x";
    const char* chat = "/v1/chat/completions";
    ck_assert_int_eq(fetch_status("r1", "GET", app, "key-w0", NULL, NULL), 200);
    ck_assert_int_eq(fetch_status("r1", "GET", app, "nobody", NULL, NULL), 401);
    ck_assert_int_eq(fetch_status("r1", "GET", app, NULL, NULL, NULL), 401);
    ck_assert_int_eq(fetch_status("r1", "GET", "/v1/app/none/x", "key-w0", NULL, NULL), 404);
    ck_assert_int_eq(fetch_status("r1", "GET", "/nowhere", "key-w0", NULL, NULL), 404);
    ck_assert_int_eq(fetch_status("r1", "GET", chat, "key-w0", NULL, NULL), 405);
    ck_assert_int_eq(fetch_status("r1", "POST", chat, "key-w0", NULL, "not json"), 400);
    ck_assert_int_eq(fetch_status("r1", "POST", chat, "key-w0", NULL, "{\"model\":5}"), 400);
    ck_assert_int_eq(fetch_status("r1", "POST", chat, "key-w0", NULL, "{\"model\":\"app\"}"), 404);
    char* large = g_strnfill(5000, 'x');
    ck_assert_int_eq(fetch_status("r1", "POST", app, "key-w0", NULL, large), 413);
    char* header = g_strdup_printf("X-Large: %s\r\n", large);
    ck_assert_int_ne(fetch_status("r1", "GET", app, "key-w0", header, NULL), 200);
    g_free(header);
    g_free(large);
    /* Internal headers that a caller sends have no effect. */
    proc_answer answer = proc_request(proc_find(&fleet, "r1")->address, "GET", app, "key-w0",
                                      "Walnutgate-Workspace: w1\r\nTarget-Leaving: 1\r\n", NULL);
    ck_assert_int_eq(answer.status, 200);
    ck_assert_str_eq(answer.verdict, "ran");
    proc_answer_clear(&answer);
    /* Above the rate limit the answer is 429 with Retry-After. */
    ck_assert_int_eq(
        proc_run_ctl(&fleet, NULL, "table", "set", "workspaces", "w1", "rate=1", "burst=1", NULL),
        0);
    int limited = 0;
    for (int i = 0; i < 20; i++) {
        answer = proc_request(proc_find(&fleet, "r1")->address, "GET", app, "key-w1", NULL, NULL);
        if (answer.status == 429) {
            limited++;
            ck_assert_int_ge(answer.retry_after, 1);
            ck_assert_str_eq(answer.verdict, "not-run");
        }
        proc_answer_clear(&answer);
    }
    ck_assert_int_ge(limited, 1);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(malformed_input_does_not_stop_daemons) {
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .engines = 1, .services = 1});
    static const char* requests[] = {
        "\r\n\r\n",
        "GET\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "\x00\xff\x00\xff",
        "POST /v1/app/app/x HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
        "POST /v1/app/app/x HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "POST /v1/app/app/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET /v1/app/app/x HTTP/1.1\r\nAuthorization: Bearer key-w0\r\n\r\n"
        "GET /v1/app/app/y HTTP/1.1\r\nAuthorization: Bearer key-w0\r\n\r\n"
        "GET /v1/app/app/z HTTP/1.1\r\nAuthorization: Bearer key-w0\r\n\r\n",
    };
    const char* ports[] = {proc_find(&fleet, "r1")->address, proc_find(&fleet, "r1")->operators,
                           proc_find(&fleet, "c1")->operators, proc_find(&fleet, "c1")->address};
    for (size_t p = 0; p < G_N_ELEMENTS(ports); p++) {
        for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
            g_free(proc_send_raw(ports[p], requests[i], strlen(requests[i]) + (i == 3), 100, NULL));
        }
        for (uint64_t n = 0; n < 30; n++) {
            uint8_t noise[512];
            for (size_t b = 0; b < sizeof noise; b++) {
                noise[b] = (uint8_t)wg_jitter(n, b);
            }
            g_free(proc_send_raw(ports[p], noise, sizeof noise, 5, NULL));
        }
    }
    /* Pipelined requests are answered in order. */
    char* text = proc_send_raw(ports[0], requests[7], strlen(requests[7]), 500, NULL);
    const char* x = strstr(text, "\"/x\"");
    const char* y = strstr(text, "\"/y\"");
    const char* z = strstr(text, "\"/z\"");
    ck_assert(x && y && z && x < y && y < z);
    g_free(text);
    ck_assert_int_eq(fetch_status("r1", "GET", "/v1/app/app/x", "key-w0", NULL, NULL), 200);
    ck_assert_int_ge(proc_state_number(&fleet, proc_find(&fleet, "c1"), "links.frames_bad"), 1);
    proc_fleet_stop(&fleet);
}
END_TEST

/* A body length that two parsers could read differently must not smuggle in a second request. */
START_TEST(ambiguous_lengths_smuggle_nothing) {
    static const char* const lengths[] = {"Content-Length: 4\r\nContent-Length: 90\r\n",
                                          "Content-Length: +4\r\n", "Content-Length : 4\r\n",
                                          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"};
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .services = 1});
    for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++) {
        char* text = g_strdup_printf("POST /v1/app/app/confirm HTTP/1.1\r\nHost: a\r\n%s"
                                     "Authorization: Bearer key-w0\r\n\r\nxxxx"
                                     "GET /v1/app/app/smuggled HTTP/1.1\r\nHost: a\r\n"
                                     "Authorization: Bearer key-w0\r\n\r\n",
                                     lengths[i]);
        char* answer =
            proc_send_raw(proc_find(&fleet, "r1")->address, text, strlen(text), 1000, NULL);
        ck_assert_msg(strstr(answer, "HTTP/1.1 400") == answer, "%s gave %.60s", lengths[i],
                      answer);
        ck_assert_msg(strstr(answer, "smuggled") == NULL, "%s", lengths[i]);
        ck_assert_msg(strstr(answer + 1, "HTTP/1.1") == NULL, "%s: two answers", lengths[i]);
        g_free(answer);
        g_free(text);
    }
    proc_fleet_stop(&fleet);
}
END_TEST

/* Actions run at most once, and verdicts are true, while routers are killed and targets abort
   answers. */
static void kill_and_restart_routers(void* user_data, wg_time since) {
    (void)user_data;
    static int done;
    int step = (int)(since / (400 * MSEC));
    if (step == 0) {
        done = 0;
    }
    if (step <= done || step > 12) {
        return;
    }
    done = step;
    proc_process* router = proc_find(&fleet, step % 2 ? "r1" : "r2");
    if (step % 4 < 2) {
        proc_kill(router);
        proc_start(&fleet, router);
    } else {
        proc_signal(router, SIGSTOP);
        proc_sleep(50);
        proc_signal(router, SIGCONT);
    }
}

START_TEST(actions_run_at_most_once) {
    start_fleet(&(proc_desc){.controls = 3, .routers = 3, .services = 2, .engines = 1});
    proc_set_faults(proc_find(&fleet, "service1"), "cut=20&refuse=10");
    proc_set_faults(proc_find(&fleet, "service2"), "fail=10&late_us=3000");
    load_desc desc = caller_load(LOAD_KIND_ACTION, 16, 6 * SECOND);
    desc.on_tick = kill_and_restart_routers;
    load_result result;
    load_run(&desc, &result);
    ck_assert_uint_gt(result.complete, 100);
    ck_assert_uint_eq(result.mismatched, 0);
    ck_actions_ran_once(&result);
    load_clear(&result);
    proc_fleet_kill(&fleet);
}
END_TEST

typedef struct {
    const char* router;
    int status;
    char verdict[24];
} resend_call;

static gpointer resend_thread(gpointer data) {
    resend_call* r = data;
    proc_answer answer =
        proc_request(proc_find(&fleet, r->router)->address, "POST", "/v1/app/app/act", "key-w0",
                     "Idempotency-Key: same\r\nX-Request-Id: same\r\n", "go");
    r->status = answer.status;
    g_strlcpy(r->verdict, answer.verdict, sizeof r->verdict);
    proc_answer_clear(&answer);
    return NULL;
}

START_TEST(one_key_through_three_routers_runs_once) {
    start_fleet(&(proc_desc){.controls = 3, .routers = 3, .services = 2, .engines = 1});
    proc_set_faults(proc_find(&fleet, "service1"), "work_us=300000");
    proc_set_faults(proc_find(&fleet, "service2"), "work_us=300000");
    resend_call resends[6] = {{.router = "r1"}, {.router = "r2"}, {.router = "r3"},
                              {.router = "r1"}, {.router = "r2"}, {.router = "r3"}};
    GThread* threads[6];
    for (int i = 0; i < 6; i++) {
        threads[i] = g_thread_new("resend", resend_thread, &resends[i]);
    }
    int succeeded = 0;
    for (int i = 0; i < 6; i++) {
        g_thread_join(threads[i]);
        succeeded += resends[i].status == 200;
        ck_assert(resends[i].status == 200 || resends[i].status == 409);
        ck_assert_str_ne(resends[i].verdict, "not-run");
    }
    ck_assert_int_ge(succeeded, 1);
    ck_assert_int_eq(proc_journal_number(proc_find(&fleet, "service1"), "actions") +
                         proc_journal_number(proc_find(&fleet, "service2"), "actions"),
                     1);
    /* A later resend through another router gets the answer of the first request. */
    resend_call later = {.router = "r2"};
    resend_thread(&later);
    ck_assert_int_eq(later.status, 200);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(every_caller_gets_its_own_complete_answer_or_an_error) {
    start_fleet(&(proc_desc){.controls = 1, .routers = 2, .services = 2, .engines = 3});
    proc_set_faults(proc_find(&fleet, "engine1"), "cut=40");
    proc_set_faults(proc_find(&fleet, "engine2"), "no_marker=20&refuse=20");
    proc_set_faults(proc_find(&fleet, "service1"), "cut=30&late_us=20000");
    load_desc streams = caller_load(LOAD_KIND_STREAM, 16, 4 * SECOND);
    load_result result;
    load_run(&streams, &result);
    ck_assert_uint_eq(result.mismatched, 0);
    ck_assert_uint_eq(result.token_errors, 0);
    ck_assert_uint_gt(result.complete, 50);
    int64_t resumes = proc_state_number(&fleet, proc_find(&fleet, "r1"), "requests.resumes") +
                      proc_state_number(&fleet, proc_find(&fleet, "r2"), "requests.resumes");
    ck_assert_int_gt(resumes, 0);
    load_clear(&result);
    load_desc lookups = caller_load(LOAD_KIND_DEFAULT, 16, 3 * SECOND);
    load_run(&lookups, &result);
    ck_assert_uint_eq(result.mismatched, 0);
    ck_assert_uint_gt(result.complete, 50);
    load_clear(&result);
    proc_fleet_stop(&fleet);
}
END_TEST

static void kill_target(void* user_data, wg_time since) {
    bool* done = user_data;
    if (!*done && since > SECOND) {
        *done = true;
        proc_kill(proc_find(&fleet, "service1"));
    }
}

/* Lookups may be repeated: when their target is killed, the other one answers. */
START_TEST(killed_target_fails_no_lookup) {
    start_fleet(&(proc_desc){.controls = 1, .routers = 3, .services = 2, .engines = 1});
    bool done = false;
    load_desc desc = caller_load(LOAD_KIND_DEFAULT, 16, 4 * SECOND);
    desc.on_tick = kill_target;
    desc.user_data = &done;
    load_result result;
    load_run(&desc, &result);
    ck_assert(done);
    ck_no_failures(&result);
    load_clear(&result);
    proc_fleet_kill(&fleet);
}
END_TEST

/* Stops every daemon in turn with SIGTERM and starts it again, under load. */
static void rolling_restart(void* user_data, wg_time since) {
    (void)since;
    int* next_daemon = user_data;
    static proc_process* stopping;
    if (stopping) {
        int status = 0;
        if (waitpid(stopping->pid, &status, 1 /* WNOHANG */) != stopping->pid) {
            return;
        }
        ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
        proc_start(&fleet, stopping);
        stopping = NULL;
        *next_daemon += 1;
        return;
    }
    int daemons = fleet.desc.controls + fleet.desc.routers;
    if (*next_daemon >= daemons) {
        return;
    }
    if (*next_daemon > 0) {
        /* As an operator does, waits until the daemon restarted last is ready. */
        proc_process* last = &fleet.processes[*next_daemon - 1];
        proc_answer answer = proc_request(last->operators, "GET", "/readyz", NULL, NULL, NULL);
        bool ready = answer.status == 200;
        proc_answer_clear(&answer);
        if (!ready) {
            return;
        }
    }
    stopping = &fleet.processes[*next_daemon];
    proc_signal(stopping, SIGTERM);
}

START_TEST(rolling_restart_fails_no_request) {
    start_fleet(&(proc_desc){.controls = 3, .routers = 3, .services = 2, .engines = 2});
    int next_daemon = 0;
    load_desc desc = caller_load(LOAD_KIND_STREAM, 12, 25 * SECOND);
    desc.on_tick = rolling_restart;
    desc.user_data = &next_daemon;
    desc.attempts_max = 40;
    load_result result;
    load_run(&desc, &result);
    ck_assert_int_eq(next_daemon, 6);
    ck_no_failures(&result);
    ck_assert_uint_eq(result.aborted, 0);
    load_clear(&result);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(caller_disconnect_cancels_the_request) {
    start_fleet(&(proc_desc){
        .controls = 1, .routers = 1, .services = 1, .engines = 1, .engine_pace_us = 50000});
    const char* body = "{\"model\":\"model\",\"stream\":true,\"max_tokens\":10000,\"messages\":[]}";
    char* request = g_strdup_printf("POST /v1/chat/completions HTTP/1.1\r\n"
                                    "Authorization: Bearer key-w0\r\nContent-Length: %zu\r\n\r\n%s",
                                    strlen(body), body);
    for (int i = 0; i < 5; i++) {
        g_free(
            proc_send_raw(proc_find(&fleet, "r1")->address, request, strlen(request), 300, NULL));
    }
    g_free(request);
    for (int i = 0; i < 200 && proc_journal_number(proc_find(&fleet, "engine1"), "running") > 0;
         i++) {
        proc_sleep(20);
    }
    ck_assert_int_eq(proc_journal_number(proc_find(&fleet, "engine1"), "running"), 0);
    ck_assert_int_eq(proc_journal_number(proc_find(&fleet, "engine1"), "cancelled"), 5);
    ck_assert_int_eq(proc_state_number(&fleet, proc_find(&fleet, "r1"), "requests.at_work"), 0);
    proc_fleet_stop(&fleet);
}
END_TEST

static int64_t resident_bytes(const proc_process* p) {
    char* path = g_strdup_printf("/proc/%d/statm", (int)p->pid);
    char* text = NULL;
    g_file_get_contents(path, &text, NULL, NULL);
    char* resident = text ? strchr(text, ' ') : NULL;
    int64_t bytes = resident ? g_ascii_strtoll(resident, NULL, 10) * 4096 : 0;
    g_free(path);
    g_free(text);
    return bytes;
}

/* When a caller does not read, the router stops reading from the target. */
START_TEST(slow_caller_does_not_fill_memory) {
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .services = 1, .engines = 1});
    proc_process* router = proc_find(&fleet, "r1");
    int64_t before = resident_bytes(router);
    char ip[64];
    g_strlcpy(ip, router->address, sizeof ip);
    *strrchr(ip, ':') = 0;
    struct sockaddr_in in = {.sin_family = AF_INET, .sin_port = htons(8000)};
    inet_pton(AF_INET, ip, &in.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int window = 16384;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    ck_assert_int_eq(connect(fd, (struct sockaddr*)&in, sizeof in), 0);
    const char* request = "GET /v1/app/app/large?size=60000000 HTTP/1.1\r\n"
                          "Authorization: Bearer key-w0\r\nConnection: close\r\n\r\n";
    ck_assert_int_eq(send(fd, request, strlen(request), 0), (ssize_t)strlen(request));
    proc_sleep(2500);
    ck_assert_int_lt(resident_bytes(router) - before, 12 << 20);
    /* The caller still gets the complete answer. */
    size_t received = 0;
    char* block = g_malloc(1 << 20);
    ssize_t num;
    while ((num = recv(fd, block, 1 << 20, 0)) > 0) {
        received += (size_t)num;
    }
    g_free(block);
    close(fd);
    ck_assert_uint_gt(received, 60000000);
    ck_assert_int_lt(resident_bytes(router) - before, 24 << 20);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(slow_senders_are_closed) {
    start_fleet(&(proc_desc){.controls = 1,
                             .routers = 1,
                             .services = 1,
                             .engines = 1,
                             .router_extra = "[limits]\nidle_s=1\n"});
    const char* partial_requests[] = {
        "GET /v1/app/app/x HT", "GET /v1/app/app/x HTTP/1.1\r\nX-Slow: a",
        "POST /v1/app/app/x HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc"};
    for (size_t i = 0; i < G_N_ELEMENTS(partial_requests); i++) {
        gint64 begin = g_get_monotonic_time();
        g_free(proc_send_raw(proc_find(&fleet, "r1")->address, partial_requests[i],
                             strlen(partial_requests[i]), 30000, NULL));
        ck_assert_int_lt(g_get_monotonic_time() - begin, 25 * G_USEC_PER_SEC);
    }
    ck_assert_int_eq(fetch_status("r1", "GET", "/v1/app/app/x", "key-w0", NULL, NULL), 200);
    proc_fleet_stop(&fleet);
}
END_TEST

/* A target that resets every other connection after reading `read_bytes` bytes of a request, and
   answers the rest with 200, so that the router does not eject it. */
typedef struct {
    int listener;
    int connections;
    int read_bytes;
    bool stop;
} resetting_target;

static void reset_after(int fd, int bytes) {
    char byte;
    struct timeval read_timeout = {.tv_usec = 50000}; /* ends the loop when the request is read */
    /* Wait for the first byte without a timeout: if none was sent, the router may rightly report
       not-run and send the request on a new connection. */
    ssize_t peeked = recv(fd, &byte, 1, MSG_PEEK);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &read_timeout, sizeof read_timeout);
    for (int i = 0; peeked == 1 && i < bytes && recv(fd, &byte, 1, 0) == 1; i++) {
    }
    struct linger reset = {.l_onoff = 1};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

static void answer_ok(int fd) {
    char block[4096];
    if (recv(fd, block, sizeof block, 0) > 0) {
        const char* answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok";
        ssize_t sent = send(fd, answer, strlen(answer), MSG_NOSIGNAL);
        (void)sent;
    }
}

static gpointer resetting_target_thread(gpointer data) {
    resetting_target* t = data;
    while (!t->stop) {
        int fd = accept(t->listener, NULL, NULL);
        if (fd < 0) {
            continue;
        }
        if (t->connections++ % 2 == 0) {
            reset_after(fd, t->read_bytes);
        } else {
            answer_ok(fd);
        }
        close(fd);
    }
    return NULL;
}

static void open_resetting_target(resetting_target* t, char address[64]) {
    struct sockaddr_in in = {.sin_family = AF_INET, .sin_port = htons(9000)};
    char ip[32];
    g_snprintf(ip, sizeof ip, "127.%d.9.1", fleet.loopback_part_number);
    g_snprintf(address, 64, "%s:9000", ip);
    inet_pton(AF_INET, ip, &in.sin_addr);
    t->listener = socket(AF_INET, SOCK_STREAM, 0);
    int one = 1;
    setsockopt(t->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    ck_assert_int_eq(bind(t->listener, (struct sockaddr*)&in, sizeof in), 0);
    ck_assert_int_eq(listen(t->listener, 16), 0);
}

/* Sends an action until the fleet accepts it. While the only control is stalled, leases, table or
   claims may have expired: the router then answers not-run, and no target may have seen a byte. */
static proc_answer send_action_until_accepted(const char* key, const resetting_target* target) {
    enum {
        ATTEMPTS_MAX = 40,
        RETRY_INTERVAL_MS = 250
    };
    for (int i = 0;; i++) {
        int before = target->connections;
        proc_answer answer = proc_request(proc_find(&fleet, "r1")->address, "POST",
                                          "/v1/app/raw/act", "key-w0", key, "go");
        if (answer.status != 503 || i == ATTEMPTS_MAX) {
            return answer;
        }
        ck_assert_str_eq(answer.verdict, "not-run");
        ck_assert_int_eq(target->connections, before);
        proc_answer_clear(&answer);
        proc_sleep(RETRY_INTERVAL_MS);
    }
}

/* An unrepeatable request whose connection is reset after any number of bytes is never sent again,
   and never reported as not run. */
START_TEST(reset_at_any_byte_is_not_retried) {
    enum {
        REQUEST_BYTES = 330
    };
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .services = 1, .engines = 1});
    resetting_target target = {0};
    char address[64] = "address=";
    open_resetting_target(&target, address);
    char* column = g_strdup_printf("address=%s", address);
    GThread* thread = g_thread_new("target", resetting_target_thread, &target);
    ck_assert_int_eq(proc_run_ctl(&fleet, NULL, "table", "set", "services", "raw", "kind=app",
                                  "repeatable=GET", NULL),
                     0);
    ck_assert_int_eq(proc_run_ctl(&fleet, NULL, "table", "set", "targets", "raw1", "service=raw",
                                  column, "slots=8", NULL),
                     0);
    proc_sleep(500);
    for (target.read_bytes = 0; target.read_bytes < REQUEST_BYTES; target.read_bytes++) {
        int before = target.connections;
        char key[64];
        g_snprintf(key, sizeof key, "Idempotency-Key: byte-%d\r\n", target.read_bytes);
        proc_answer answer = send_action_until_accepted(key, &target);
        ck_assert_int_eq(answer.status, 502);
        ck_assert_msg(strcmp(answer.verdict, "may-have-run") == 0, "after %d bytes: %s",
                      target.read_bytes, answer.verdict);
        proc_answer_clear(&answer);
        ck_assert_int_eq(target.connections - before, 1);
        /* A resend of the key gets the same verdict and reaches no target. */
        answer = send_action_until_accepted(key, &target);
        ck_assert_int_eq(answer.status, 409);
        ck_assert_str_eq(answer.verdict, "may-have-run");
        proc_answer_clear(&answer);
        ck_assert_int_eq(target.connections - before, 1);
        answer = send_action_until_accepted(NULL, &target);
        ck_assert_int_eq(answer.status, 200);
        proc_answer_clear(&answer);
    }
    target.stop = true;
    g_free(proc_send_raw(address, "x", 1, 100, NULL));
    g_thread_join(thread);
    close(target.listener);
    g_free(column);
    proc_fleet_stop(&fleet);
}
END_TEST

WG_TEST_MAIN("fleet requests", reset_at_any_byte_is_not_retried, answers_and_refusals,
             malformed_input_does_not_stop_daemons, ambiguous_lengths_smuggle_nothing,
             actions_run_at_most_once, one_key_through_three_routers_runs_once,
             every_caller_gets_its_own_complete_answer_or_an_error, killed_target_fails_no_lookup,
             rolling_restart_fails_no_request, caller_disconnect_cancels_the_request,
             slow_caller_does_not_fill_memory, slow_senders_are_closed)
