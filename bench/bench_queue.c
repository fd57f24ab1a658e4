/* bench_queue.c -- CPU time and memory of queue and target choice, at several sizes */
#include "bench.h"
#include "wg_place.h"
#include "wg_queue.h"
#include "wg_table.h"

enum {
    ROUNDS = 400000
};

static void measure_queue(int workspaces, const char* name) {
    double before = bench_rss(0);
    wgq_queue* q = wgq_setup(&(wgq_desc){.flows_max = 32768, .requests_max = 60000}, NULL);
    wgq_refusal refusal;
    for (int w = 0; w < workspaces; w++) {
        /* Every workspace keeps one request waiting. */
        wgq_push(q, 0,
                 &(wgq_request){.workspace = (uint32_t)w + 1,
                                .limits = {.weight = 1 + w % 7},
                                .wait_until = WG_TIME_NEVER,
                                .deadline = WG_TIME_NEVER},
                 &refusal);
    }
    double begin = bench_cpu_us();
    for (int i = 0; i < ROUNDS; i++) {
        uint32_t workspace = (uint32_t)(wg_jitter(1, (uint64_t)i) % (uint64_t)workspaces) + 1;
        wgq_push(q, i,
                 &(wgq_request){.workspace = workspace,
                                .limits = {.weight = 1 + (workspace - 1) % 7},
                                .wait_until = WG_TIME_NEVER,
                                .deadline = WG_TIME_NEVER},
                 &refusal);
        wgq_handle picked;
        wgq_pick(q, i, false, &picked);
        wgq_finish(q, i, picked, 100 + i % 50);
    }
    char line[80];
    g_snprintf(line, sizeof line, "queue: push + pick + finish, %s workspaces", name);
    bench_print(line, (bench_cpu_us() - begin) * 1000 / ROUNDS, "ns");
    if (workspaces >= 2500) {
        g_snprintf(line, sizeof line, "queue: memory a workspace, %s workspaces", name);
        bench_print(line, (bench_rss(0) - before) / workspaces, "bytes");
    }
    wgq_shutdown(q);
}

static void measure_place(int targets) {
    wgp_place* p = wgp_setup(&(wgp_desc){.seed = 1}, NULL);
    wgp_config_begin(p);
    for (int t = 0; t < targets; t++) {
        wgp_config_target(p, (uint32_t)t + 1, 1, "t", "127.0.0.1:1", "dc", 64, false, 1);
        wgp_add_slots(p, (uint32_t)t + 1, 64);
    }
    wgp_config_end(p);
    wgp_set_lease(p, WG_TIME_NEVER);
    double begin = bench_cpu_us();
    for (int i = 0; i < ROUNDS / 20; i++) {
        wgp_choice choice;
        wgp_pick(p, 0, &(wgp_request){.service = 1}, &choice);
        wgp_sent(p, &choice);
        wgp_done(p, 0, &choice, WGP_RESULT_SUCCESS);
    }
    char line[64];
    g_snprintf(line, sizeof line, "place: pick + sent + done, %d targets", targets);
    bench_print(line, (bench_cpu_us() - begin) * 1000 / (ROUNDS / 20), "ns");
    wgp_shutdown(p);
}

int main(void) {
    measure_queue(10, "10");
    measure_queue(2500, "2,500");
    measure_queue(25000, "25,000");
    measure_place(20);
    measure_place(200);
    measure_place(700);
    return 0;
}
