/* soak_hosts.c -- runs the fault soak for many seeds, each with its own fleet of processes */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>

#include "soak_run.h"

static uint64_t random_seed(void) {
    uint64_t seed = 0;
    if (getrandom(&seed, sizeof seed, 0) != (ssize_t)sizeof seed) {
        abort();
    }
    return seed % 1000000000;
}

int main(int argc, char** argv) {
    struct arg_int* seed =
        arg_int0(NULL, "seed", "<n>", "first seed; default: a random one for each run");
    struct arg_int* seeds = arg_int0(NULL, "seeds", "<n>", "number of runs, default 1");
    struct arg_int* seconds =
        arg_int0(NULL, "seconds", "<n>", "length of the fault phase, default 12");
    struct arg_int* hosts = arg_int0(NULL, "hosts", "<n>", "number of hosts, default 4");
    struct arg_int* disks = arg_int0(NULL, "disks", "<n>", "hosts with a disk, default 3");
    struct arg_lit* harsh =
        arg_lit0(NULL, "harsh", "deployed timing; stalled processes, lost disks, replaced hosts");
    struct arg_lit* calm = arg_lit0(NULL, "calm", "no faults");
    struct arg_lit* crashes =
        arg_lit0(NULL, "crashes", "also send a request that crashes each target that runs it");
    struct arg_lit* crash_parts =
        arg_lit0(NULL, "crash-parts", "the same, with different requests that share a prompt part");
    struct arg_lit* successions =
        arg_lit0(NULL, "successions", "harsh; a replaced host, stalled leaders, a lost disk");
    struct arg_lit* colds =
        arg_lit0(NULL, "colds", "harsh; cold targets while their coordinators change");
    struct arg_lit* standstills =
        arg_lit0(NULL, "standstills", "hosts stand still for seconds, replicas answer nothing");
    struct arg_lit* rests = arg_lit0(NULL, "rests", "targets refuse requests with backoff hints");
    struct arg_lit* slow =
        arg_lit0(NULL, "slow", "callers read slowly or nothing, with a bound on held bytes");
    struct arg_lit* load_control =
        arg_lit0(NULL, "load-control", "admission and overload control are on");
    struct arg_lit* handoff =
        arg_lit0(NULL, "handoff", "entry hosts hand requests off to each other");
    struct arg_lit* releases =
        arg_lit0(NULL, "releases", "targets of two software versions; callers take up streams");
    struct arg_lit* keep = arg_lit0(NULL, "keep", "keep the folder with the logs");
    struct arg_end* end = arg_end(8);
    void* table[] = {seed,         seeds,       seconds,     hosts, disks,       harsh, calm,
                     crashes,      crash_parts, successions, colds, standstills, rests, slow,
                     load_control, handoff,     releases,    keep,  end};
    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, argv[0]);
        arg_print_glossary(stderr, table, "  %-20s %s\n");
        return 2;
    }
    int failed = 0;
    int runs = seeds->count ? seeds->ival[0] : 1;
    for (int i = 0; i < runs; i++) {
        soak_desc desc = {
            .seed = seed->count ? (uint64_t)seed->ival[0] + (uint64_t)i : random_seed(),
            .seconds = seconds->count ? seconds->ival[0] : 0,
            .hosts = hosts->count ? hosts->ival[0] : 0,
            .disks = disks->count ? disks->ival[0] : 0,
            .harsh = harsh->count + successions->count + colds->count + standstills->count > 0,
            .colds = colds->count > 0,
            .standstills = standstills->count > 0,
            .host_replacements = successions->count > 0,
            .calm = calm->count > 0,
            .crashes = crashes->count + crash_parts->count > 0,
            .crash_parts = crash_parts->count > 0,
            .overloads = rests->count > 0,
            .slow_callers = slow->count > 0,
            .load_control = load_control->count > 0,
            .handoff = handoff->count > 0,
            .releases = releases->count > 0,
            .target_faults = i % 2 == 1 || releases->count > 0,
            .keep = keep->count > 0};
        soak_result r = soak_run(&desc);
        failed += !r.good;
        printf(
            "seed %" G_GUINT64_FORMAT ": %s%s%s; %d requests, %d complete, %d refused, %d failed, "
            "%d faults, %d max per second at a cold target, %d targets crashed, %d overloads, %d "
            "excused, %d slow complete, %d slow broken, %d cut off, %d handed off, "
            "%d of %d streams complete that were taken up, %d disks lost, "
            "%d hosts replaced, %d configurations, %d evacuations, "
            "max event-loop delay %d ms, recovered in %.1f s%s%s\n",
            desc.seed, r.good ? "good" : "BROKEN: ", r.good ? "" : r.reason, "", r.requests,
            r.complete, r.refused, r.failed, r.faults, r.cold_max, r.crashes, r.overloads,
            r.excused, r.slow_complete, r.slow_broken, r.cut, r.handed_off, r.taken_up_complete,
            r.taken_up, r.disks_lost, r.replaced, r.acknowledged, r.evacuations, r.loop_lag_ms,
            (double)r.recovery_time / WG_USEC_PER_SEC, r.good ? "" : ", logs in ",
            r.good ? "" : r.folder);
        fflush(stdout);
    }
    printf("%d runs, %d broken\n", runs, failed);
    return failed ? 1 : 0;
}
