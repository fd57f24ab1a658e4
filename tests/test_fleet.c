/* test_fleet.c -- real processes under failure: outcomes, never times */
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include "load.h"
#include "proc.h"
#include "wg_test.h"

static proc_fleet fleet;

static void start(const proc_desc* desc) {
    proc_fleet_start(&fleet, desc);
}

static int ask_status(const char* router, const char* method, const char* path, const char* key,
                      const char* headers, const char* body) {
    proc_answer answer =
        proc_ask(proc_find(&fleet, router)->address, method, path, key, headers, body);
    int status = answer.status;
    proc_answer_clear(&answer);
    return status;
}

static load_desc callers(load_kind kind, int num, wg_time duration) {
    load_desc desc = {.kind = kind,
                      .callers = num,
                      .duration = duration,
                      .key = "key-w0",
                      .tokens = 20,
                      .seed = 1,
                      .follow_entry = true};
    for (int i = 0; i < fleet.num; i++) {
        if (fleet.processes[i].name[0] == 'r') {
            desc.hosts[desc.hosts_num++] = fleet.processes[i].address;
        }
    }
    return desc;
}

static void ck_clean(const load_result* result) {
    ck_assert_msg(result->failed == 0, "%lu failed, last: %s", result->failed, result->last_error);
    ck_assert_uint_eq(result->wrong, 0);
    ck_assert_uint_eq(result->doubled, 0);
    ck_assert_uint_gt(result->whole, 0);
}

/* Told "did not run" means that no stand-in saw it; nothing ran twice. */
static void ck_actions(const load_result* result) {
    for (int i = 0; i < fleet.num; i++) {
        proc_process* p = &fleet.processes[i];
        if (!g_str_has_prefix(p->name, "service")) {
            continue;
        }
        ck_assert_int_le(proc_journal(p, "most_runs"), 1);
        for (guint n = 0; n < result->not_run_ids->len; n++) {
            char* path =
                g_strdup_printf("runs.%s", (char*)g_ptr_array_index(result->not_run_ids, n));
            ck_assert_int_eq(proc_journal(p, path), -1);
            g_free(path);
        }
    }
}

START_TEST(answers_and_refusals) {
    start(&(proc_desc){.controls = 1,
                       .routers = 1,
                       .engines = 1,
                       .services = 1,
                       .router_extra = "[limits]\nbody_max=2048\nhead_max=4096\n"});
    load_desc desc = callers(LOAD_KIND_STREAM, 4, SECOND);
    load_result result;
    load_run(&desc, &result);
    ck_clean(&result);
    load_clear(&result);
    const char* app = "/v1/app/app/x";
    const char* chat = "/v1/chat/completions";
    ck_assert_int_eq(ask_status("r1", "GET", app, "key-w0", NULL, NULL), 200);
    ck_assert_int_eq(ask_status("r1", "GET", app, "nobody", NULL, NULL), 401);
    ck_assert_int_eq(ask_status("r1", "GET", app, NULL, NULL, NULL), 401);
    ck_assert_int_eq(ask_status("r1", "GET", "/v1/app/none/x", "key-w0", NULL, NULL), 404);
    ck_assert_int_eq(ask_status("r1", "GET", "/nowhere", "key-w0", NULL, NULL), 404);
    ck_assert_int_eq(ask_status("r1", "GET", chat, "key-w0", NULL, NULL), 405);
    ck_assert_int_eq(ask_status("r1", "POST", chat, "key-w0", NULL, "not json"), 400);
    ck_assert_int_eq(ask_status("r1", "POST", chat, "key-w0", NULL, "{\"model\":5}"), 400);
    ck_assert_int_eq(ask_status("r1", "POST", chat, "key-w0", NULL, "{\"model\":\"app\"}"), 404);
    char* large = g_strnfill(5000, 'x');
    ck_assert_int_eq(ask_status("r1", "POST", app, "key-w0", NULL, large), 413);
    char* header = g_strdup_printf("X-Large: %s\r\n", large);
    ck_assert_int_ne(ask_status("r1", "GET", app, "key-w0", header, NULL), 200);
    g_free(header);
    g_free(large);
    /* A caller cannot speak for the system. */
    proc_answer answer = proc_ask(proc_find(&fleet, "r1")->address, "GET", app, "key-w0",
                                  "Walnutgate-Workspace: w1\r\nTarget-Leaving: 1\r\n", NULL);
    ck_assert_int_eq(answer.status, 200);
    ck_assert_str_eq(answer.verdict, "ran");
    proc_answer_clear(&answer);
    /* Over a limit: 429 with when to come back. */
    ck_assert_int_eq(
        proc_ctl(&fleet, NULL, "table", "set", "workspaces", "w1", "rate=1", "burst=1", NULL), 0);
    int limited = 0;
    for (int i = 0; i < 20; i++) {
        answer = proc_ask(proc_find(&fleet, "r1")->address, "GET", app, "key-w1", NULL, NULL);
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

START_TEST(malformed_bytes_leave_the_daemons_up) {
    start(&(proc_desc){.controls = 1, .routers = 1, .engines = 1, .services = 1});
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
            g_free(proc_raw(ports[p], requests[i], strlen(requests[i]) + (i == 3), 100, NULL));
        }
        for (uint64_t n = 0; n < 30; n++) {
            uint8_t noise[512];
            for (size_t b = 0; b < sizeof noise; b++) {
                noise[b] = (uint8_t)wg_jitter(n, b);
            }
            g_free(proc_raw(ports[p], noise, sizeof noise, 5, NULL));
        }
    }
    /* Pipelined requests are answered in order. */
    char* text = proc_raw(ports[0], requests[7], strlen(requests[7]), 500, NULL);
    const char* x = strstr(text, "\"/x\"");
    const char* y = strstr(text, "\"/y\"");
    const char* z = strstr(text, "\"/z\"");
    ck_assert(x && y && z && x < y && y < z);
    g_free(text);
    ck_assert_int_eq(ask_status("r1", "GET", "/v1/app/app/x", "key-w0", NULL, NULL), 200);
    ck_assert_int_ge(proc_state(&fleet, proc_find(&fleet, "c1"), "links.frames_bad"), 1);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(wrong_fleet_key_is_kept_out) {
    start(&(proc_desc){.controls = 1, .routers = 1, .services = 1, .engines = 1});
    proc_process* router = proc_find(&fleet, "r1");
    proc_signal(router, SIGTERM);
    ck_assert_int_eq(proc_wait(router), 0);
    char* path = g_build_filename(fleet.folder, "fleet.key", NULL);
    ck_assert(g_file_set_contents(path, "another-key-altogether\n", -1, NULL));
    g_free(path);
    proc_start(&fleet, router);
    proc_sleep(1500);
    proc_answer answer = proc_ask(router->address, "GET", "/v1/app/app/x", "key-w0", NULL, NULL);
    ck_assert_int_eq(answer.status, 503);
    ck_assert_str_eq(answer.verdict, "not-run");
    proc_answer_clear(&answer);
    ck_assert_int_ge(proc_state(&fleet, proc_find(&fleet, "c1"), "links.proofs_bad"), 1);
    proc_fleet_kill(&fleet);
}
END_TEST

/* Kill the leader again and again while operators edit: what was accepted stays, in order. */
static struct {
    int64_t accepted;
    int64_t versions[8];
} edits;

START_TEST(accepted_edits_survive_leader_kills) {
    start(&(proc_desc){.controls = 3, .routers = 3, .services = 1, .engines = 1});
    memset(&edits, 0, sizeof edits);
    for (int round = 0; round < 4; round++) {
        proc_process* leader = proc_leader(&fleet);
        char weight[32];
        char* out = NULL;
        g_snprintf(weight, sizeof weight, "weight=%d", 200 + round);
        ck_assert_int_eq(proc_ctl(&fleet, &out, "table", "set", "workspaces", "w1", weight, NULL),
                         0);
        int64_t version = proc_number(out, "version");
        ck_assert_int_gt(version, edits.accepted);
        edits.accepted = version;
        g_free(out);
        if (round % 2 == 0) {
            proc_kill(leader);
        } else {
            proc_signal(leader, SIGSTOP);
        }
        proc_process* next = NULL;
        for (int i = 0; i < 600 && !next; i++) {
            for (int c = 0; c < 3 && !next; c++) {
                proc_process* p = &fleet.processes[c];
                if (p != leader && proc_state(&fleet, p, "leads") == 1) {
                    next = p;
                }
            }
            proc_sleep(20);
        }
        ck_assert_ptr_nonnull(next);
        ck_assert_int_ge(proc_state(&fleet, next, "table.version"), edits.accepted);
        if (round % 2 == 0) {
            proc_start(&fleet, leader);
        } else {
            proc_signal(leader, SIGCONT);
        }
        for (int i = 1; i <= 3; i++) {
            char name[8];
            g_snprintf(name, sizeof name, "r%d", i);
            int64_t at = proc_state(&fleet, proc_find(&fleet, name), "table_version");
            ck_assert_int_ge(at, edits.versions[i]); /* never back */
            edits.versions[i] = at;
        }
    }
    proc_fleet_kill(&fleet);
}
END_TEST

static bool router_takes_work(void* user_data) {
    proc_process* router = user_data;
    proc_answer answer = proc_ask(router->operators, "GET", "/readyz", NULL, NULL, NULL);
    bool ready = answer.status == 200;
    proc_answer_clear(&answer);
    return ready;
}

static bool three_voters(void* user_data) {
    (void)user_data;
    char* out = NULL;
    proc_ctl(&fleet, &out, "status", NULL);
    int whole = 0;
    for (const char* at = out; at && (at = strstr(at, "replicas=3")); at++) {
        whole++;
    }
    g_free(out);
    return whole == 3;
}

START_TEST(lost_disk_is_replaced_by_one_command) {
    start(&(proc_desc){.controls = 3, .routers = 1, .services = 1, .engines = 1});
    proc_process* leader = proc_leader(&fleet);
    proc_process* lost = &fleet.processes[leader == &fleet.processes[0] ? 1 : 0];
    proc_process* third = NULL;
    for (int i = 0; i < 3; i++) {
        if (&fleet.processes[i] != leader && &fleet.processes[i] != lost) {
            third = &fleet.processes[i];
        }
    }
    proc_kill(lost);
    proc_wipe(&fleet, lost);
    ck_assert_int_eq(proc_ctl(&fleet, NULL, "table", "set", "workspaces", "w1", "weight=7", NULL),
                     0);
    proc_start(&fleet, lost);
    /* Its empty folder does not count: without the third there is no majority. */
    proc_kill(third);
    proc_sleep(2500);
    ck_assert_int_eq(proc_state(&fleet, leader, "leads"), 0);
    ck_assert_int_eq(proc_state(&fleet, lost, "leads"), 0);
    proc_start(&fleet, third);
    proc_leader(&fleet);
    bool begun = false;
    for (int i = 0; i < 100 && !begun; i++) {
        begun = proc_ctl(&fleet, NULL, "replica", "replace", lost->name, NULL) == 0;
        proc_sleep(50);
    }
    ck_assert(begun);
    ck_assert(proc_until(three_voters, NULL, 30));
    /* A second failure right after the repair. */
    proc_kill(third);
    char* out = NULL;
    ck_assert_int_eq(proc_ctl(&fleet, &out, "table", "get", "workspaces", NULL), 0);
    ck_assert_ptr_nonnull(strstr(out, "\"weight\":7"));
    g_free(out);
    proc_fleet_kill(&fleet);
}
END_TEST

START_TEST(folder_of_another_cluster_is_refused) {
    start(&(proc_desc){.controls = 3, .routers = 1, .services = 1, .engines = 1});
    proc_process* one =
        proc_leader(&fleet) == &fleet.processes[0] ? &fleet.processes[1] : &fleet.processes[0];
    proc_kill(one);
    proc_wipe(&fleet, one);
    /* An operator who begins a new cluster by mistake must not bring the old one down. */
    char* command = g_strdup_printf("cd %s && %s/walnutgate-controld --settings %s --init",
                                    fleet.folder, fleet.bin, one->settings);
    ck_assert_int_eq(system(command), 0);
    g_free(command);
    proc_start(&fleet, one);
    proc_sleep(1500);
    proc_process* leader = proc_leader(&fleet);
    for (int i = 0; i < 3; i++) {
        if (&fleet.processes[i] != one) {
            ck_assert_int_ge(proc_state(&fleet, &fleet.processes[i], "table.workspaces"), 3);
        }
    }
    (void)leader;
    proc_fleet_kill(&fleet);
}
END_TEST

/* Actions while routers are killed and targets cut off: at most once, and verdicts hold. */
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
    start(&(proc_desc){.controls = 3, .routers = 3, .services = 2, .engines = 1});
    proc_faults(proc_find(&fleet, "service1"), "cut=20&refuse=10");
    proc_faults(proc_find(&fleet, "service2"), "fail=10&late_us=3000");
    load_desc desc = callers(LOAD_KIND_ACTION, 16, 6 * SECOND);
    desc.on_tick = kill_and_restart_routers;
    load_result result;
    load_run(&desc, &result);
    ck_assert_uint_gt(result.whole, 100);
    ck_assert_uint_eq(result.wrong, 0);
    ck_actions(&result);
    load_clear(&result);
    proc_fleet_kill(&fleet);
}
END_TEST

typedef struct {
    const char* router;
    int status;
    char verdict[24];
} resend;

static gpointer resend_thread(gpointer data) {
    resend* r = data;
    proc_answer answer =
        proc_ask(proc_find(&fleet, r->router)->address, "POST", "/v1/app/app/act", "key-w0",
                 "Idempotency-Key: same\r\nX-Request-Id: same\r\n", "go");
    r->status = answer.status;
    g_strlcpy(r->verdict, answer.verdict, sizeof r->verdict);
    proc_answer_clear(&answer);
    return NULL;
}

START_TEST(one_key_through_three_routers_runs_once) {
    start(&(proc_desc){.controls = 3, .routers = 3, .services = 2, .engines = 1});
    proc_faults(proc_find(&fleet, "service1"), "work_us=300000");
    proc_faults(proc_find(&fleet, "service2"), "work_us=300000");
    resend resends[6] = {{.router = "r1"}, {.router = "r2"}, {.router = "r3"},
                         {.router = "r1"}, {.router = "r2"}, {.router = "r3"}};
    GThread* threads[6];
    for (int i = 0; i < 6; i++) {
        threads[i] = g_thread_new("resend", resend_thread, &resends[i]);
    }
    int ran = 0;
    for (int i = 0; i < 6; i++) {
        g_thread_join(threads[i]);
        ran += resends[i].status == 200;
        ck_assert(resends[i].status == 200 || resends[i].status == 409);
        ck_assert_str_ne(resends[i].verdict, "not-run");
    }
    ck_assert_int_ge(ran, 1);
    ck_assert_int_eq(proc_journal(proc_find(&fleet, "service1"), "actions") +
                         proc_journal(proc_find(&fleet, "service2"), "actions"),
                     1);
    /* Later, through another router: the first one's answer. */
    resend late = {.router = "r2"};
    resend_thread(&late);
    ck_assert_int_eq(late.status, 200);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(without_a_majority_actions_are_refused_as_not_run) {
    start(
        &(proc_desc){.controls = 3,
                     .routers = 1,
                     .services = 1,
                     .engines = 1,
                     .router_extra = "[table]\nlease_lost=serve\n[control]\nclaim_wait_ms=500\n"});
    proc_kill(&fleet.processes[0]);
    proc_kill(&fleet.processes[1]);
    proc_answer answer = proc_ask(proc_find(&fleet, "r1")->address, "POST", "/v1/app/app/act",
                                  "key-w0", "Idempotency-Key: k\r\nX-Request-Id: k\r\n", "go");
    ck_assert_int_eq(answer.status, 503);
    ck_assert_str_eq(answer.verdict, "not-run");
    ck_assert_int_ge(answer.retry_after, 1);
    proc_answer_clear(&answer);
    ck_assert_int_eq(proc_journal(proc_find(&fleet, "service1"), "actions"), 0);
    proc_fleet_kill(&fleet);
}
END_TEST

static bool refuses_for_its_lease(void* user_data) {
    proc_answer answer = proc_ask(user_data, "GET", "/v1/app/app/x", "key-w0", NULL, NULL);
    bool refuses = answer.status == 503 && strstr(answer.body, "table_not_in_force");
    proc_answer_clear(&answer);
    return refuses;
}

START_TEST(router_without_a_leader_stops_taking_work) {
    start(&(proc_desc){.controls = 3, .routers = 2, .services = 1, .engines = 1});
    for (int i = 0; i < 3; i++) {
        proc_signal(&fleet.processes[i], SIGSTOP);
    }
    ck_assert(proc_until(refuses_for_its_lease, proc_find(&fleet, "r1")->address, 20));
    for (int i = 0; i < 3; i++) {
        proc_signal(&fleet.processes[i], SIGCONT);
    }
    proc_leader(&fleet);
    load_desc desc = callers(LOAD_KIND_DEFAULT, 2, SECOND);
    desc.tries = 100;
    load_result result;
    load_run(&desc, &result);
    ck_clean(&result);
    load_clear(&result);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(every_caller_gets_its_own_whole_answer_or_an_error) {
    start(&(proc_desc){.controls = 1, .routers = 2, .services = 2, .engines = 3});
    proc_faults(proc_find(&fleet, "engine1"), "cut=40");
    proc_faults(proc_find(&fleet, "engine2"), "no_marker=20&refuse=20");
    proc_faults(proc_find(&fleet, "service1"), "cut=30&late_us=20000");
    load_desc streams = callers(LOAD_KIND_STREAM, 16, 4 * SECOND);
    load_result result;
    load_run(&streams, &result);
    ck_assert_uint_eq(result.wrong, 0);
    ck_assert_uint_eq(result.doubled, 0);
    ck_assert_uint_gt(result.whole, 50);
    int64_t resumes = proc_state(&fleet, proc_find(&fleet, "r1"), "requests.resumes") +
                      proc_state(&fleet, proc_find(&fleet, "r2"), "requests.resumes");
    ck_assert_int_gt(resumes, 0);
    load_clear(&result);
    load_desc lookups = callers(LOAD_KIND_DEFAULT, 16, 3 * SECOND);
    load_run(&lookups, &result);
    ck_assert_uint_eq(result.wrong, 0);
    ck_assert_uint_gt(result.whole, 50);
    load_clear(&result);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(leaving_target_gets_no_new_work) {
    start(&(proc_desc){.controls = 1, .routers = 2, .services = 2, .engines = 1});
    ck_assert_int_eq(
        proc_ctl(&fleet, NULL, "table", "set", "targets", "service1", "leaving=1", NULL), 0);
    proc_sleep(3000);
    int64_t before = proc_journal(proc_find(&fleet, "service1"), "lookups");
    load_desc desc = callers(LOAD_KIND_DEFAULT, 8, SECOND);
    load_result result;
    load_run(&desc, &result);
    ck_clean(&result);
    load_clear(&result);
    ck_assert_int_eq(proc_journal(proc_find(&fleet, "service1"), "lookups"), before);
    proc_fleet_stop(&fleet);
}
END_TEST

static void kill_a_target(void* user_data, wg_time since) {
    bool* done = user_data;
    if (!*done && since > SECOND) {
        *done = true;
        proc_kill(proc_find(&fleet, "service1"));
    }
}

/* Lookups may be repeated: when their target dies, the other one answers. */
START_TEST(killed_target_fails_no_lookup) {
    start(&(proc_desc){.controls = 1, .routers = 3, .services = 2, .engines = 1});
    bool done = false;
    load_desc desc = callers(LOAD_KIND_DEFAULT, 16, 4 * SECOND);
    desc.on_tick = kill_a_target;
    desc.user_data = &done;
    load_result result;
    load_run(&desc, &result);
    ck_assert(done);
    ck_clean(&result);
    load_clear(&result);
    proc_fleet_kill(&fleet);
}
END_TEST

/* Stop and start every process in turn, in the planned way, under load. */
static void rolling_restart(void* user_data, wg_time since) {
    (void)since;
    int* at = user_data;
    static proc_process* stopping;
    if (stopping) {
        int status = 0;
        if (waitpid(stopping->pid, &status, 1 /* WNOHANG */) != stopping->pid) {
            return;
        }
        ck_assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
        proc_start(&fleet, stopping);
        stopping = NULL;
        *at += 1;
        return;
    }
    int daemons = fleet.desc.controls + fleet.desc.routers;
    if (*at >= daemons) {
        return;
    }
    if (*at > 0) {
        /* An operator waits until the one before is ready again. */
        proc_process* last = &fleet.processes[*at - 1];
        proc_answer answer = proc_ask(last->operators, "GET", "/readyz", NULL, NULL, NULL);
        bool ready = answer.status == 200;
        proc_answer_clear(&answer);
        if (!ready) {
            return;
        }
    }
    stopping = &fleet.processes[*at];
    proc_signal(stopping, SIGTERM);
}

START_TEST(rolling_restart_fails_no_request) {
    start(&(proc_desc){.controls = 3, .routers = 3, .services = 2, .engines = 2});
    int at = 0;
    load_desc desc = callers(LOAD_KIND_STREAM, 12, 25 * SECOND);
    desc.on_tick = rolling_restart;
    desc.user_data = &at;
    desc.tries = 40;
    load_result result;
    load_run(&desc, &result);
    ck_assert_int_eq(at, 6);
    ck_clean(&result);
    ck_assert_uint_eq(result.broken, 0);
    load_clear(&result);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(caller_who_leaves_cancels_the_work) {
    start(&(proc_desc){
        .controls = 1, .routers = 1, .services = 1, .engines = 1, .engine_pace_us = 50000});
    const char* body = "{\"model\":\"model\",\"stream\":true,\"max_tokens\":10000,\"messages\":[]}";
    char* request = g_strdup_printf("POST /v1/chat/completions HTTP/1.1\r\n"
                                    "Authorization: Bearer key-w0\r\nContent-Length: %zu\r\n\r\n%s",
                                    strlen(body), body);
    for (int i = 0; i < 5; i++) {
        g_free(proc_raw(proc_find(&fleet, "r1")->address, request, strlen(request), 300, NULL));
    }
    g_free(request);
    for (int i = 0; i < 200 && proc_journal(proc_find(&fleet, "engine1"), "running") > 0; i++) {
        proc_sleep(20);
    }
    ck_assert_int_eq(proc_journal(proc_find(&fleet, "engine1"), "running"), 0);
    ck_assert_int_eq(proc_journal(proc_find(&fleet, "engine1"), "cancelled"), 5);
    ck_assert_int_eq(proc_state(&fleet, proc_find(&fleet, "r1"), "requests.at_work"), 0);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(daemons_say_why_they_do_not_start) {
    start(&(proc_desc){.controls = 1, .routers = 1, .services = 1, .engines = 1});
    char* command = g_strdup_printf("cd %s && %s/walnutgate-routerd --settings r1.ini 2>why.txt",
                                    fleet.folder, fleet.bin);
    int status = system(command);
    ck_assert_int_eq(WEXITSTATUS(status), 2); /* its port is in use */
    g_free(command);
    command = g_strdup_printf("cd %s && %s/walnutgate-controld --settings c1.ini 2>why.txt",
                              fleet.folder, fleet.bin);
    status = system(command);
    ck_assert_int_eq(WEXITSTATUS(status), 2); /* its folder is in use */
    char* path = g_build_filename(fleet.folder, "why.txt", NULL);
    char* why = NULL;
    g_file_get_contents(path, &why, NULL, NULL);
    ck_assert_ptr_nonnull(strstr(why, "another process uses"));
    g_free(why);
    g_free(path);
    g_free(command);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(full_disk_ends_a_control_and_no_more) {
    start(&(proc_desc){.controls = 3, .routers = 1, .services = 1, .engines = 1});
    proc_process* leader = proc_leader(&fleet);
    proc_process* full = &fleet.processes[leader == &fleet.processes[0] ? 1 : 0];
    proc_signal(full, SIGTERM);
    ck_assert_int_eq(proc_wait(full), 0);
    fleet.file_limit = 8; /* a file of more than 4 KiB cannot be written */
    proc_start(&fleet, full);
    for (int i = 0; i < 60; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "more%d", i);
        ck_assert_int_eq(
            proc_ctl(&fleet, NULL, "table", "set", "workspaces", name, "weight=5", NULL), 0);
    }
    ck_assert_int_eq(proc_wait(full), 1); /* a failed write is final */
    fleet.file_limit = 0;
    proc_start(&fleet, full);
    ck_assert(proc_until(three_voters, NULL, 30));
    int64_t commit = proc_state(&fleet, proc_leader(&fleet), "log.commit");
    for (int i = 0; i < 400 && proc_state(&fleet, full, "log.commit") < commit; i++) {
        proc_sleep(20);
    }
    ck_assert_int_ge(proc_state(&fleet, full, "table.workspaces"), 63);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(rows_on_demand) {
    start(&(proc_desc){.controls = 3,
                       .routers = 2,
                       .services = 1,
                       .engines = 1,
                       .workspaces = 20,
                       .router_extra = "[table]\nrows=demand\n"});
    proc_process* router = proc_find(&fleet, "r1");
    const char* app = "/v1/app/app/x";
    ck_assert_int_eq(ask_status("r1", "GET", app, "key-w7", NULL, NULL), 200);
    ck_assert_int_eq(ask_status("r1", "GET", app, "nobody", NULL, NULL), 401);
    int64_t queries = proc_state(&fleet, router, "link.row_queries");
    ck_assert_int_eq(ask_status("r1", "GET", app, "key-w7", NULL, NULL), 200);
    ck_assert_int_eq(ask_status("r1", "GET", app, "nobody", NULL, NULL), 401);
    ck_assert_int_eq(proc_state(&fleet, router, "link.row_queries"), queries);
    /* A router that starts afresh holds only what it was asked for. */
    proc_kill(router);
    proc_start(&fleet, router);
    ck_assert(proc_until(router_takes_work, router, 20));
    ck_assert_int_eq(ask_status("r1", "GET", app, "key-w9", NULL, NULL), 200);
    ck_assert_int_le(proc_state(&fleet, router, "table.workspaces"), 2);
    /* A key that was unknown is found as soon as an operator gave it. */
    ck_assert_int_eq(ask_status("r1", "GET", app, "nobody", NULL, NULL), 401);
    uint8_t hash[WG_KEY_HASH_SIZE];
    char keys[80] = "keys=";
    wg_key_hash("nobody", hash);
    for (size_t i = 0; i < sizeof hash; i++) {
        g_snprintf(keys + 5 + 2 * i, 3, "%02x", hash[i]);
    }
    ck_assert_int_eq(proc_ctl(&fleet, NULL, "table", "set", "workspaces", "new", keys, NULL), 0);
    proc_sleep(500);
    ck_assert_int_eq(ask_status("r1", "GET", app, "nobody", NULL, NULL), 200);
    ck_assert_int_eq(proc_ctl(&fleet, NULL, "table", "delete", "workspaces", "new", NULL), 0);
    proc_sleep(500);
    ck_assert_int_eq(ask_status("r1", "GET", app, "nobody", NULL, NULL), 401);
    proc_fleet_stop(&fleet);
}
END_TEST

static int64_t memory_of(const proc_process* p) {
    char* path = g_strdup_printf("/proc/%d/statm", (int)p->pid);
    char* text = NULL;
    g_file_get_contents(path, &text, NULL, NULL);
    char* resident = text ? strchr(text, ' ') : NULL;
    int64_t bytes = resident ? g_ascii_strtoll(resident, NULL, 10) * 4096 : 0;
    g_free(path);
    g_free(text);
    return bytes;
}

/* A caller that does not read: the router stops reading from the target. */
START_TEST(slow_caller_does_not_fill_memory) {
    start(&(proc_desc){.controls = 1, .routers = 1, .services = 1, .engines = 1});
    proc_process* router = proc_find(&fleet, "r1");
    int64_t before = memory_of(router);
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
    ck_assert_int_lt(memory_of(router) - before, 12 << 20);
    /* It still gets the whole of it. */
    size_t got = 0;
    char* block = g_malloc(1 << 20);
    ssize_t num;
    while ((num = recv(fd, block, 1 << 20, 0)) > 0) {
        got += (size_t)num;
    }
    g_free(block);
    close(fd);
    ck_assert_uint_gt(got, 60000000);
    ck_assert_int_lt(memory_of(router) - before, 24 << 20);
    proc_fleet_stop(&fleet);
}
END_TEST

START_TEST(slow_senders_are_closed) {
    start(&(proc_desc){.controls = 1,
                       .routers = 1,
                       .services = 1,
                       .engines = 1,
                       .router_extra = "[limits]\nidle_s=1\n"});
    const char* parts[] = {"GET /v1/app/app/x HT", "GET /v1/app/app/x HTTP/1.1\r\nX-Slow: a",
                           "POST /v1/app/app/x HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc"};
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        gint64 begin = g_get_monotonic_time();
        g_free(proc_raw(proc_find(&fleet, "r1")->address, parts[i], strlen(parts[i]), 30000, NULL));
        ck_assert_int_lt(g_get_monotonic_time() - begin, 25 * G_USEC_PER_SEC);
    }
    ck_assert_int_eq(ask_status("r1", "GET", "/v1/app/app/x", "key-w0", NULL, NULL), 200);
    proc_fleet_stop(&fleet);
}
END_TEST

static void set_hosts(uint64_t version, const char* state) {
    proc_process* platform = proc_find(&fleet, "service1");
    char* list =
        g_strdup_printf("{\"version\":%d,\"hosts\":[{\"address\":\"%s\",\"state\":\"%s\"}]}",
                        (int)version, proc_find(&fleet, "service2")->address, state);
    proc_answer answer = proc_ask(platform->address, "POST", "/fake/hosts", NULL, NULL, list);
    ck_assert_int_eq(answer.status, 200);
    proc_answer_clear(&answer);
    g_free(list);
    proc_sleep(2000);
}

static int64_t lookups_at_second(void) {
    int64_t before = proc_journal(proc_find(&fleet, "service2"), "lookups");
    load_desc desc = callers(LOAD_KIND_DEFAULT, 8, SECOND);
    load_result result;
    load_run(&desc, &result);
    ck_clean(&result);
    load_clear(&result);
    return proc_journal(proc_find(&fleet, "service2"), "lookups") - before;
}

START_TEST(host_list_that_steps_back_or_vanishes) {
    start(&(proc_desc){.controls = 1,
                       .routers = 1,
                       .services = 2,
                       .engines = 1,
                       .router_extra = "[platform]\nhosts_ms=200\n"
                                       "hosts_url=http://127.%d.4.1:9000/fake/hosts\n"});
    set_hosts(5, "live");
    ck_assert_int_gt(lookups_at_second(), 0);
    set_hosts(6, "leaving");
    ck_assert_int_eq(lookups_at_second(), 0);
    set_hosts(4, "live"); /* an older list */
    ck_assert_int_eq(lookups_at_second(), 0);
    set_hosts(6, "live"); /* the same version cannot take it back */
    ck_assert_int_eq(lookups_at_second(), 0);
    set_hosts(7, "live");
    ck_assert_int_gt(lookups_at_second(), 0);
    proc_fleet_stop(&fleet);
}
END_TEST

WG_TEST_MAIN("fleet", full_disk_ends_a_control_and_no_more, rows_on_demand,
             slow_caller_does_not_fill_memory, slow_senders_are_closed,
             host_list_that_steps_back_or_vanishes, answers_and_refusals,
             malformed_bytes_leave_the_daemons_up, wrong_fleet_key_is_kept_out,
             accepted_edits_survive_leader_kills, lost_disk_is_replaced_by_one_command,
             folder_of_another_cluster_is_refused, actions_run_at_most_once,
             one_key_through_three_routers_runs_once,
             without_a_majority_actions_are_refused_as_not_run,
             router_without_a_leader_stops_taking_work,
             every_caller_gets_its_own_whole_answer_or_an_error, leaving_target_gets_no_new_work,
             killed_target_fails_no_lookup, rolling_restart_fails_no_request,
             caller_who_leaves_cancels_the_work, daemons_say_why_they_do_not_start)
