/* bench_faults.c -- `make bench-faults`: recovery times and failed requests of a real fleet, for
   each kind of fault */
#include <signal.h>
#include <string.h>

#include "bench.h"
#include "load.h"
#include "proc.h"

static proc_fleet fleet;

static load_desc callers(load_kind kind, int num, int seconds, const char* key) {
    load_desc desc = {.kind = kind,
                      .callers = num,
                      .duration = seconds * (wg_time)WG_USEC_PER_SEC,
                      .key = key,
                      .tokens = 20,
                      .seed = 1,
                      .follow_entry = true,
                      .attempts_max = 20};
    for (int i = 0; i < fleet.num; i++) {
        if (fleet.processes[i].name[0] == 'r') {
            desc.hosts[desc.hosts_num++] = fleet.processes[i].address;
        }
    }
    return desc;
}

static int64_t metric(proc_process* p, const char* name) {
    proc_answer answer = proc_request(p->operators, "GET", "/metrics", NULL, NULL, NULL);
    char* line = g_strdup_printf("%s ", name);
    const char* at = answer.body ? strstr(answer.body, line) : NULL;
    int64_t value = at ? g_ascii_strtoll(at + strlen(line), NULL, 10) : -1;
    g_free(line);
    proc_answer_clear(&answer);
    return value;
}

static void print_hist(const char* name, const wg_hist* hist) {
    char line[80];
    g_snprintf(line, sizeof line, "%s, median of %d", name, (int)hist->num);
    bench_print(line, (double)wg_hist_quantile(hist, 0.5) / 1000, "ms");
    g_snprintf(line, sizeof line, "%s, worst", name);
    bench_print(line, (double)hist->max / 1000, "ms");
}

/* Time from the start of an operator's command until every router has the new table version. */
static void measure_edit_propagation(void) {
    wg_hist hist = {0};
    for (int e = 0; e < 30; e++) {
        char weight[32];
        char* out = NULL;
        g_snprintf(weight, sizeof weight, "weight=%d", 100 + e);
        gint64 begin = g_get_monotonic_time();
        proc_run_ctl(&fleet, &out, "table", "set", "workspaces", "w2", weight, NULL);
        int64_t version = proc_json_number(out, "version");
        g_free(out);
        for (int r = 1; r <= fleet.desc.routers; r++) {
            char name[8];
            g_snprintf(name, sizeof name, "r%d", r);
            while (metric(proc_find(&fleet, name), "walnutgate_table_version") < version) {
            }
        }
        wg_hist_add(&hist, g_get_monotonic_time() - begin);
    }
    print_hist("edit: command to in force at every router", &hist);
}

static bool another_leads(proc_process* old) {
    for (int i = 0; i < fleet.desc.controls; i++) {
        proc_process* p = &fleet.processes[i];
        if (p != old && p->pid && metric(p, "walnutgate_leads") == 1) {
            return true;
        }
    }
    return false;
}

static void measure_leader_outages(bool stall) {
    wg_hist hist = {0};
    for (int i = 0; i < 8; i++) {
        proc_process* leader = proc_leader(&fleet);
        gint64 begin = g_get_monotonic_time();
        if (stall) {
            proc_signal(leader, SIGSTOP);
        } else {
            proc_kill(leader);
        }
        while (!another_leads(leader)) {
            proc_sleep(2);
        }
        wg_hist_add(&hist, g_get_monotonic_time() - begin);
        if (stall) {
            proc_signal(leader, SIGCONT);
        } else {
            proc_start(&fleet, leader);
        }
        proc_sleep(1500);
    }
    print_hist(stall ? "no leader after a freeze (silent cut)" : "no leader after a kill", &hist);
}

/* A fault that is injected 2 s after a load has begun. */
static struct {
    void (*fault)(void);
    bool done;
} scenario;

static void inject_fault(void* user_data, wg_time since) {
    (void)user_data;
    if (!scenario.done && since > 2 * (wg_time)WG_USEC_PER_SEC) {
        scenario.done = true;
        scenario.fault();
    }
}

static void kill_leader(void) {
    proc_process* leader = proc_leader(&fleet);
    proc_kill(leader);
    proc_start(&fleet, leader);
}

static void kill_router(void) {
    proc_kill(proc_find(&fleet, "r1"));
    proc_start(&fleet, proc_find(&fleet, "r1"));
}

static void stop_router(void) {
    proc_signal(proc_find(&fleet, "r2"), SIGTERM);
}

static void kill_target(void) {
    proc_kill(proc_find(&fleet, "service1"));
}

static void measure_fault(const char* name, void (*fault)(void), load_kind kind) {
    scenario.fault = fault;
    scenario.done = false;
    load_desc desc = callers(kind, 16, 6, "key-w0");
    desc.on_tick = inject_fault;
    load_result result;
    load_run(&desc, &result);
    char line[80];
    g_snprintf(line, sizeof line, "%s: whole answers", name);
    bench_print(line, (double)result.complete, "requests");
    g_snprintf(line, sizeof line, "%s: failed", name);
    bench_print(line, (double)result.failed, "requests");
    if (result.failed > 0) {
        printf("  last: %s\n", result.last_error);
    }
    g_snprintf(line, sizeof line, "%s: longest time without an answer", name);
    bench_print(line, (double)result.longest_gap / 1000, "ms");
    load_clear(&result);
}

static void measure_attempts(int percent) {
    char faults[32];
    g_snprintf(faults, sizeof faults, "fail=0&refuse=%d", percent);
    proc_set_faults(proc_find(&fleet, "service1"), faults);
    proc_set_faults(proc_find(&fleet, "service2"), faults);
    int64_t before = 0;
    int64_t requests_before = 0;
    load_desc desc = callers(LOAD_KIND_DEFAULT, 8, 3, "key-w1");
    desc.attempts_max = 1;
    for (int r = 1; r <= fleet.desc.routers; r++) {
        char name[8];
        g_snprintf(name, sizeof name, "r%d", r);
        before += metric(proc_find(&fleet, name), "walnutgate_retries_total");
        requests_before += metric(proc_find(&fleet, name), "walnutgate_requests_total");
    }
    load_result result;
    load_run(&desc, &result);
    for (int r = 1; r <= fleet.desc.routers; r++) {
        char name[8];
        g_snprintf(name, sizeof name, "r%d", r);
        before -= metric(proc_find(&fleet, name), "walnutgate_retries_total");
        requests_before -= metric(proc_find(&fleet, name), "walnutgate_requests_total");
    }
    char line[64];
    g_snprintf(line, sizeof line, "attempts a request, targets refuse %d%%", percent);
    bench_print(line, 1 + (double)before / (double)MIN(requests_before, -1), "");
    load_clear(&result);
    proc_set_faults(proc_find(&fleet, "service1"), "fail=0&refuse=0");
    proc_set_faults(proc_find(&fleet, "service2"), "fail=0&refuse=0");
}

static void measure_catch_up(void) {
    proc_process* leader = proc_leader(&fleet);
    proc_process* stopped = &fleet.processes[leader == &fleet.processes[0] ? 1 : 0];
    proc_kill(stopped);
    for (int n = 0; n < 1000; n++) {
        char* body =
            g_strdup_printf("{\"edit_id\":\"%032x\",\"rows\":[{\"kind_of_row\":\"workspace\","
                            "\"name\":\"many%d\",\"version\":0,\"weight\":5}]}",
                            n + 1, n);
        proc_answer answer = proc_request(leader->operators, "POST", "/v1/table/edit",
                                          fleet.operator_key, NULL, body);
        WG_ASSERT(answer.status == 200);
        proc_answer_clear(&answer);
        g_free(body);
    }
    int64_t commit = proc_state_number(&fleet, leader, "log.commit");
    gint64 begin = g_get_monotonic_time();
    proc_start(&fleet, stopped);
    while (proc_state_number(&fleet, stopped, "log.commit") < commit) {
        proc_sleep(2);
    }
    bench_print("restart after 1,000 changes: caught up after",
                (double)(g_get_monotonic_time() - begin) / 1000, "ms");
    bench_print("log on disk after 1,000 changes",
                (double)proc_state_number(&fleet, stopped, "store.log_bytes"), "bytes");
}

static void measure_drain(void) {
    proc_set_faults(proc_find(&fleet, "service2"), "leaving=1");
    load_desc desc = callers(LOAD_KIND_DEFAULT, 8, 4, "key-w1");
    load_result result;
    int64_t last = proc_journal_number(proc_find(&fleet, "service2"), "lookups");
    load_run(&desc, &result);
    bench_print("leaving said by a target itself: requests it got after",
                (double)(proc_journal_number(proc_find(&fleet, "service2"), "lookups") - last),
                "requests");
    bench_print("  of all in the time", (double)result.complete, "requests");
    load_clear(&result);
    proc_set_faults(proc_find(&fleet, "service2"), "leaving=0");
    /* Draining that a target reported itself ends only by an operator's edit. */
    proc_run_ctl(&fleet, NULL, "table", "set", "targets", "service2", "leaving=1", NULL);
    proc_run_ctl(&fleet, NULL, "table", "set", "targets", "service2", "leaving=0", NULL);
    proc_sleep(500);
}

int main(void) {
    proc_fleet_start(&fleet,
                     &(proc_desc){.controls = 3, .routers = 3, .engines = 2, .services = 2});
    measure_edit_propagation();
    measure_attempts(0);
    measure_attempts(10);
    measure_attempts(50);
    measure_attempts(100);
    measure_leader_outages(false);
    measure_leader_outages(true);
    measure_fault("leader killed under streams", kill_leader, LOAD_KIND_STREAM);
    measure_fault("leader killed under lookups", kill_leader, LOAD_KIND_DEFAULT);
    measure_fault("router killed under streams", kill_router, LOAD_KIND_STREAM);
    measure_fault("router killed under lookups", kill_router, LOAD_KIND_DEFAULT);
    measure_fault("router stopped in the planned way", stop_router, LOAD_KIND_STREAM);
    proc_wait(proc_find(&fleet, "r2"));
    proc_start(&fleet, proc_find(&fleet, "r2"));
    proc_sleep(1000);
    measure_drain();
    measure_fault("application target killed", kill_target, LOAD_KIND_DEFAULT);
    proc_start(&fleet, proc_find(&fleet, "service1"));
    measure_catch_up();
    proc_fleet_kill(&fleet);
    return 0;
}
