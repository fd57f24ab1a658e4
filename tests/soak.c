/* soak.c -- long randomised simulations of quorum and fleet; `make soak SEED=n STEPS=n` */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "sim_fleet.h"
#include "sim_quorum.h"

static char failure_text[128];

static void on_abort(int signal) {
    (void)signal;
    ssize_t written = write(STDERR_FILENO, failure_text, strlen(failure_text));
    (void)written;
    _exit(1);
}

/* A replica set that changes: planned stops, replaced replicas, two replicas that join later. */
static simq_desc changing_set(uint64_t seed, int replicas) {
    return (simq_desc){.seed = seed,
                       .replicas = replicas + 2,
                       .voters = replicas,
                       .faults = true,
                       .election_min = 300 * (wg_time)WG_USEC_PER_MSEC,
                       .election_max = 500 * (wg_time)WG_USEC_PER_MSEC,
                       .heartbeat = 60 * (wg_time)WG_USEC_PER_MSEC,
                       .gone_after = 1600 * (wg_time)WG_USEC_PER_MSEC,
                       .losses = replicas >= 5 ? 2 : 1};
}

static void run_quorum(const simq_desc* desc, uint64_t steps) {
    uint64_t seed = desc->seed;
    int replicas = desc->replicas;
    g_snprintf(failure_text, sizeof failure_text,
               "soak: failed with seed %" G_GUINT64_FORMAT ", quorum of %d, %" G_GUINT64_FORMAT
               " steps\n",
               seed, replicas, steps);
    simq_run* run = simq_setup(desc);
    simq_steps(run, steps);
    simq_settle(run, 30 * (wg_time)WG_USEC_PER_SEC);
    simq_counts c = simq_query_counts(run);
    printf("quorum of %d, seed %" G_GUINT64_FORMAT ": %" G_GUINT64_FORMAT
           " steps, trace %016" G_GINT64_MODIFIER "x\n",
           replicas, seed, steps, simq_query_trace(run));
    printf(
        "  committed %lu, edits accepted %lu conflict %lu resent %lu, claims granted %lu repeated "
        "%lu\n",
        c.committed, c.edits_accepted, c.edits_conflict, c.edits_resent, c.claims_granted,
        c.claims_repeated);
    printf("  faults: lost %lu duplicated %lu link cuts %lu crashes %lu freezes %lu lost disks %lu "
           "replaced %lu leadership transfers %lu planned stops %lu snapshots sent %lu\n",
           c.lost, c.duplicated, c.link_cuts, c.crashes, c.freezes, c.disks_lost, c.replaced,
           c.leadership_transfers, c.planned_stops, c.snapshots_sent);
    simq_shutdown(run);
}

/* Replays a fleet under random load and faults. simf_run() asserts that leases never exceed the
   slots of a target; this function asserts the bound of the service gap between faults. */
static void run_fleet(uint64_t seed, int seconds) {
    g_snprintf(failure_text, sizeof failure_text,
               "soak: failed with seed %" G_GUINT64_FORMAT ", fleet for %d s\n", seed, seconds);
    int routers = 2 + (int)(wg_jitter(seed, 1) % 12);
    int targets = 4 + (int)(wg_jitter(seed, 2) % 20);
    GString* text = g_string_new(NULL);
    g_string_append_printf(text, "fleet seed=%d routers=%d targets=%d slots=%d duration_s=%d\n",
                           (int)seed, routers, targets, 2 + (int)(wg_jitter(seed, 3) % 8), seconds);
    for (uint64_t w = 0; w < 8; w++) {
        int first = (int)(wg_jitter(seed, 40 + w) % (uint64_t)routers);
        int last = first + (int)(wg_jitter(seed, 50 + w) % (uint64_t)(routers - first));
        g_string_append_printf(text, "workspace w%d %d\n", (int)w,
                               30 + (int)(wg_jitter(seed, 10 + w) % 400));
        g_string_append_printf(text, "load w%d rate=%d tokens_min=10 tokens_max=%d routers=%d-%d\n",
                               (int)w, 1 + (int)(wg_jitter(seed, 20 + w) % 40),
                               50 + (int)(wg_jitter(seed, 30 + w) % 400), first, last);
    }
    for (int at = 10; at < seconds - 10; at += 15) {
        uint64_t kind = wg_jitter(seed, 1000 + (uint64_t)at);
        int router = (int)(kind / 8 % (uint64_t)routers);
        if (kind % 4 == 0) {
            g_string_append_printf(text, "fault cut_router router=%d from_s=%d to_s=%d\n", router,
                                   at, at + 6);
        } else if (kind % 4 == 1) {
            g_string_append_printf(text, "fault lose_leader from_s=%d to_s=%d.5\n", at, at + 1);
        } else if (kind % 4 == 2) {
            g_string_append_printf(text, "fault restart_router router=%d from_s=%d\n", router, at);
        } else {
            g_string_append_printf(text, "fault lose_targets first=0 last=%d from_s=%d to_s=%d\n",
                                   targets / 10, at, at + 8);
        }
    }
    static simf_trace trace;
    bool good = simf_trace_parse(text->str, &trace, NULL);
    WG_ASSERT(good);
    simf_result result = simf_run(&trace, SIMF_POLICY_LEASED);
    printf("fleet, seed %" G_GUINT64_FORMAT ": %d routers, %d targets, %d s, %" G_GUINT64_FORMAT
           " requests, gap %.3f of its bound between faults, busy %.4f\n",
           seed, routers, targets, seconds, result.requests, result.gap_over_bound_calm,
           result.busy);
    if (result.gap_over_bound_calm >= 1) {
        fprintf(stderr, "%s", text->str); /* bench_fair can replay this trace */
    }
    WG_ASSERT(result.gap_over_bound_calm < 1);
    g_string_free(text, TRUE);
}

int main(int argc, char** argv) {
    struct arg_int* seed = arg_int0(NULL, "seed", "<n>", "first seed");
    struct arg_int* seeds = arg_int0(NULL, "seeds", "<n>", "number of seeds, default 1");
    struct arg_int* steps = arg_int0(NULL, "steps", "<n>", "ticks of each run, default 100000");
    struct arg_end* end = arg_end(4);
    void* table[] = {seed, seeds, steps, end};
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "soak");
        return 2;
    }
    signal(SIGABRT, on_abort);
    uint64_t first = seed->count ? (uint64_t)seed->ival[0] : 1;
    uint64_t num = seeds->count ? (uint64_t)seeds->ival[0] : 1;
    uint64_t length = steps->count ? (uint64_t)steps->ival[0] : 100000;
    for (uint64_t s = first; s < first + num; s++) {
        simq_desc changing = changing_set(s, s % 2 ? 3 : 5);
        run_quorum(&(simq_desc){.seed = s, .replicas = 3, .faults = true}, length);
        run_quorum(&(simq_desc){.seed = s, .replicas = 5, .faults = true}, length);
        run_quorum(&changing, length);
        run_fleet(s, (int)CLAMP(length / 100, 60, 3600));
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return 0;
}
