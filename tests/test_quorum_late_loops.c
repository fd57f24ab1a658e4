/* test_quorum_late_loops.c -- replicas whose event loops are late again and again

   Where a machine is overloaded, no replica answers within an election timeout. Elections then
   collide, but they have to end. */
#include "sim_quorum.h"
#include "wg_test.h"

enum {
    VOTERS = 3,
    SEEDS = 60,
    LATE_MIN_MS = 200,
    LATE_MAX_MS = 600, /* longer than the longest election timeout, 500 ms */
    AWAKE_MS = 30,     /* between two stalls */
    WITHIN_MS =
        6000 /* a host may be without a leader for this long and still count as in contact */
};

static simq_run* begin(int seed) {
    simq_run* run = simq_setup(&(simq_desc){.seed = (uint64_t)seed,
                                            .replicas = VOTERS,
                                            .election_min = 300 * MSEC,
                                            .election_max = 500 * MSEC,
                                            .heartbeat = 60 * MSEC,
                                            .gone_after = 1000 * MSEC,
                                            .losses = 1});
    simq_run_for(run, 2 * SECOND);
    ck_assert_int_ge(simq_leader(run), 0);
    return run;
}

static bool has_committed(simq_run* run, uint64_t before) {
    for (int i = 0; i < VOTERS; i++) {
        wgr_stats stats = simq_stats(run, i);
        if (stats.role == WGR_ROLE_LEADER && stats.commit > before) {
            return true;
        }
    }
    return false;
}

/* All replicas restart, and from then on each one runs for moments only. */
START_TEST(late_replicas_elect_a_leader) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(seed);
        wg_time awake_until[VOTERS] = {0};
        uint64_t random = (uint64_t)seed * 1000;
        uint64_t before = simq_acknowledged(run);
        simq_crash_all(run);
        for (int i = 0; i < VOTERS; i++) {
            simq_restart(run, i);
        }
        wg_time start = simq_now(run);
        while (!has_committed(run, before) && simq_now(run) - start < WITHIN_MS * MSEC) {
            for (int i = 0; i < VOTERS; i++) {
                wg_time late = wg_jitter_range(7, random++, LATE_MIN_MS, LATE_MAX_MS) * MSEC;
                if (simq_now(run) >= awake_until[i]) {
                    simq_freeze(run, i, late);
                    awake_until[i] = simq_now(run) + late + AWAKE_MS * MSEC;
                }
            }
            simq_tick(run);
        }
        ck_assert_msg(has_committed(run, before), "seed %d: no leader", seed);
        simq_shutdown(run);
    }
}
END_TEST

WG_TEST_MAIN("quorum late loops", late_replicas_elect_a_leader)
