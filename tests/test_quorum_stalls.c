/* test_quorum_stalls.c -- stalled replicas

   Guards against needless elections after a stall: replicas must read the messages that arrived
   meanwhile before a leader ends its term or a follower starts an election. */
#include "sim_quorum.h"
#include "wg_test.h"

enum {
    VOTERS = 3,
    SEEDS = 40,
    STALL_MS = 700,   /* longer than the longest election timeout, 500 ms */
    RECOVERY_MS = 100 /* enough for a heartbeat round, too short for an election */
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

static void check_same_term(simq_run* run, int leader, uint64_t term, int seed) {
    simq_run_for(run, RECOVERY_MS * MSEC);
    ck_assert_msg(simq_leader(run) == leader && simq_stats(run, leader).term == term,
                  "seed %d: leader was %d in term %d, is %d", seed, leader, (int)term,
                  simq_leader(run));
}

START_TEST(stall_of_all_replicas_causes_no_election) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(seed);
        int leader = simq_leader(run);
        uint64_t term = simq_stats(run, leader).term;
        for (int i = 0; i < VOTERS; i++) {
            simq_freeze(run, i, STALL_MS * MSEC);
        }
        simq_run_for(run, STALL_MS * MSEC);
        check_same_term(run, leader, term, seed);
        simq_shutdown(run);
    }
}
END_TEST

START_TEST(irreplaceable_leader_continues_after_a_stall) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(seed);
        int leader = simq_leader(run);
        uint64_t term = simq_stats(run, leader).term;
        simq_crash(run, (leader + 1) % VOTERS);
        simq_freeze(run, leader, STALL_MS * MSEC);
        simq_run_for(run, STALL_MS * MSEC);
        check_same_term(run, leader, term, seed);
        simq_shutdown(run);
    }
}
END_TEST

/* A stalled leader is replaced while the other replicas run, and follows the new leader
   afterwards. */
START_TEST(stalled_leader_is_replaced) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(seed);
        int leader = simq_leader(run);
        simq_freeze(run, leader, 2 * SECOND);
        simq_run_for(run, 2 * SECOND);
        int next = simq_leader(run);
        ck_assert(next >= 0 && next != leader);
        simq_run_for(run, RECOVERY_MS * MSEC);
        ck_assert_int_eq(simq_leader(run), next);
        ck_assert_int_eq(simq_stats(run, leader).role, WGR_ROLE_FOLLOWER);
        simq_shutdown(run);
    }
}
END_TEST

/* A leader whose event loop is delayed again and again is replaced by the running replicas. */
START_TEST(repeatedly_stalled_leader_is_replaced) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(seed);
        int leader = simq_leader(run);
        for (int i = 0; i < 6; i++) {
            simq_freeze(run, leader, STALL_MS * MSEC);
            simq_run_for(run, (STALL_MS + 20) * MSEC);
        }
        ck_assert_int_ne(simq_leader(run), leader);
        simq_shutdown(run);
    }
}
END_TEST

/* The leader's own stall does not count as time without contact: it must not remove the learner
   that replaces a failed voter. */
START_TEST(stalled_leader_removes_no_replica) {
    enum {
        LEARNER = 3,
        /* longer than the time without contact after which a replica is removed */
        LONG_STALL_MS = 1300
    };
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = simq_setup(&(simq_desc){.seed = (uint64_t)seed,
                                                .replicas = VOTERS + 1,
                                                .voters = VOTERS,
                                                .election_min = 300 * MSEC,
                                                .election_max = 500 * MSEC,
                                                .heartbeat = 60 * MSEC,
                                                .gone_after = 1000 * MSEC,
                                                .losses = 1});
        simq_run_for(run, 2 * SECOND);
        int leader = simq_leader(run);
        int other = (leader + 1) % VOTERS;
        simq_restart(run, LEARNER);
        while (simq_set(run, leader)->num <= VOTERS) {
            simq_replace(run, LEARNER);
            simq_tick(run);
        }
        simq_run_for(run, 100 * MSEC);
        simq_crash(run, other); /* no other replica can win an election now */
        simq_freeze(run, leader, LONG_STALL_MS * MSEC);
        simq_run_for(run, LONG_STALL_MS * MSEC);
        for (int i = 0; i < 20; i++) {
            simq_tick(run);
            const wgr_set* set = simq_set(run, leader);
            bool kept = false;
            for (int j = 0; j < set->num; j++) {
                kept = kept || set->replicas[j].name[1] == '0' + LEARNER;
            }
            ck_assert_msg(kept, "seed %d: learner removed from the set", seed);
        }
        simq_shutdown(run);
    }
}
END_TEST

WG_TEST_MAIN("quorum_stalls", stall_of_all_replicas_causes_no_election,
             irreplaceable_leader_continues_after_a_stall, stalled_leader_is_replaced,
             repeatedly_stalled_leader_is_replaced, stalled_leader_removes_no_replica)
