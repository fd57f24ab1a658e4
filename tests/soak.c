/* soak.c -- long randomised runs over the pure state machines; `make soak SEED=n STEPS=n` */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "sim_quorum.h"

static char failure_note[128];

static void on_abort(int signal) {
    (void)signal;
    ssize_t written = write(STDERR_FILENO, failure_note, strlen(failure_note));
    (void)written;
    _exit(1);
}

static void run_quorum(uint64_t seed, int replicas, uint64_t steps) {
    g_snprintf(failure_note, sizeof failure_note,
               "soak: failed with seed %" G_GUINT64_FORMAT ", quorum of %d, %" G_GUINT64_FORMAT
               " steps\n",
               seed, replicas, steps);
    simq_run* run = simq_setup(
        &(simq_desc){.seed = seed, .replicas = replicas, .steps = steps, .faults = true});
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
    printf("  faults: lost %lu doubled %lu cuts %lu crashes %lu freezes %lu disks %lu replaced %lu "
           "hand-overs %lu snapshots %lu\n",
           c.lost, c.doubled, c.cuts, c.crashes, c.freezes, c.disks_lost, c.replaced, c.hand_overs,
           c.snapshots_sent);
    simq_shutdown(run);
}

int main(int argc, char** argv) {
    struct arg_int* seed = arg_int0(NULL, "seed", "<n>", "first seed");
    struct arg_int* seeds = arg_int0(NULL, "seeds", "<n>", "how many seeds, default 1");
    struct arg_int* steps = arg_int0(NULL, "steps", "<n>", "steps of each run");
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
        run_quorum(s, 3, length);
        run_quorum(s, 5, length);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return 0;
}
