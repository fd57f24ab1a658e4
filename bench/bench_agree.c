/* bench_agree.c -- compares real processes with the replay under the same load

   3 routers, 4 engines of 8 slots, 5 ms per token, streams of 60 tokens. Workspace w0 sends through
   one router, w1 through all, w2 through two; each always has requests waiting. Weights 100, 300,
   200. */
#include "bench.h"
#include "load.h"
#include "proc.h"
#include "sim_fleet.h"

enum {
    SECONDS = 20,
    TOKENS = 60,
    WORKSPACES = 3
};

static proc_fleet fleet;
static const int weights[WORKSPACES] = {100, 300, 200};
static const int first_router[WORKSPACES] = {1, 1, 2};
static const int last_router[WORKSPACES] = {1, 3, 3};

typedef struct {
    load_desc desc;
    load_result result;
} worker;

static worker workers[WORKSPACES];

static gpointer run_worker(gpointer data) {
    worker* w = data;
    load_run(&w->desc, &w->result);
    return NULL;
}

static void start_worker(int w, GThread** thread) {
    static char keys[WORKSPACES][16];
    g_snprintf(keys[w], sizeof keys[w], "key-w%d", w);
    load_desc* d = &workers[w].desc;
    *d = (load_desc){.key = keys[w],
                     .kind = LOAD_KIND_STREAM,
                     .callers = 60,
                     .tokens = TOKENS,
                     .duration = SECONDS * (wg_time)WG_USEC_PER_SEC,
                     .seed = (uint64_t)w};
    for (int r = first_router[w]; r <= last_router[w]; r++) {
        char name[8];
        g_snprintf(name, sizeof name, "r%d", r);
        d->hosts[d->hosts_num++] = proc_find(&fleet, name)->address;
    }
    *thread = g_thread_new("load", run_worker, &workers[w]);
}

/* Widest difference between workspaces of completed tokens per 100 of weight, once all run. */
static double measure_max_gap(void) {
    double base[WORKSPACES] = {0};
    double max_gap = 0;
    for (int step = 0; step < SECONDS * 10 - 10; step++) {
        double weighted_tokens[WORKSPACES];
        proc_sleep(100);
        for (int w = 0; w < WORKSPACES; w++) {
            weighted_tokens[w] = (double)workers[w].result.complete * TOKENS * 100.0 / weights[w];
            if (step <= 20) {
                base[w] = weighted_tokens[w];
            }
        }
        for (int a = 0; a < WORKSPACES; a++) {
            for (int b = 0; b < WORKSPACES; b++) {
                max_gap =
                    MAX(max_gap, (weighted_tokens[a] - base[a]) - (weighted_tokens[b] - base[b]));
            }
        }
    }
    return max_gap;
}

int main(void) {
    proc_fleet_start(&fleet, &(proc_desc){.controls = 3,
                                          .routers = 3,
                                          .engines = 4,
                                          .services = 1,
                                          .engine_slots = 8,
                                          .engine_pace_us = 5000});
    for (int w = 0; w < WORKSPACES; w++) {
        char name[8];
        char weight[24];
        g_snprintf(name, sizeof name, "w%d", w);
        g_snprintf(weight, sizeof weight, "weight=%d", weights[w]);
        proc_run_ctl(&fleet, NULL, "table", "set", "workspaces", name, weight, NULL);
    }
    int64_t tokens_made = 0;
    for (int e = 1; e <= 4; e++) {
        char name[16];
        g_snprintf(name, sizeof name, "engine%d", e);
        tokens_made -= proc_journal_number(proc_find(&fleet, name), "tokens");
    }
    GThread* threads[WORKSPACES];
    for (int w = 0; w < WORKSPACES; w++) {
        start_worker(w, &threads[w]);
    }
    double gap = measure_max_gap();
    for (int w = 0; w < WORKSPACES; w++) {
        g_thread_join(threads[w]);
    }
    for (int e = 1; e <= 4; e++) {
        char name[16];
        g_snprintf(name, sizeof name, "engine%d", e);
        tokens_made += proc_journal_number(proc_find(&fleet, name), "tokens");
    }
    double sum = 0;
    for (int w = 0; w < WORKSPACES; w++) {
        sum += (double)workers[w].result.complete;
    }
    char line[80];
    for (int w = 0; w < WORKSPACES; w++) {
        g_snprintf(line, sizeof line,
                   "processes: w%d of weight %d, part of the service (want %.4f)", w, weights[w],
                   weights[w] / 600.0);
        bench_print(line, (double)workers[w].result.complete / sum, "");
    }
    bench_print("processes: worst gap, completed tokens", gap, "tokens per 100");
    proc_process* router = proc_find(&fleet, "r1");
    bench_print("processes: control payload of r1",
                (double)(proc_state_number(&fleet, router, "link.bytes_sent") +
                         proc_state_number(&fleet, router, "link.bytes_received")) /
                    (SECONDS + 4),
                "bytes/s");
    /* Counted by the engines, because timers make a token take longer than the configured pace. */
    bench_print("processes: tokens made a second", (double)tokens_made / SECONDS, "tokens/s");
    static simf_trace trace;
    GError* error = NULL;
    if (!simf_trace_parse("fleet seed=1 routers=3 targets=4 slots=8 pace_ms=5 duration_s=20\n"
                          "workspace w0 100\nworkspace w1 300\nworkspace w2 200\n"
                          "load w0 rate=100 tokens_min=60 tokens_max=60 routers=0\n"
                          "load w1 rate=100 tokens_min=60 tokens_max=60 routers=0-2\n"
                          "load w2 rate=100 tokens_min=60 tokens_max=60 routers=1-2\n",
                          &trace, &error)) {
        fprintf(stderr, "%s\n", error->message);
        return 1;
    }
    simf_result replay = simf_run(&trace, SIMF_POLICY_LEASED);
    bench_print("replay: worst gap, tokens as they flow", replay.gap_worst, "tokens per 100");
    bench_print("replay: slots busy while requests waited", replay.busy, "");
    bench_print("replay: tokens a second", replay.tokens / SECONDS, "tokens/s");
    bench_print("replay: control a router, all heads", replay.control_bytes, "bytes/s");
    proc_fleet_kill(&fleet);
    return 0;
}
