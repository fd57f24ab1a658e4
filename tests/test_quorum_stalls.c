/* test_quorum_stalls.c -- replicas that stand still together, and a leader that the others cannot
   replace

   What users saw: on a machine that stood still for half a second, or while a voter was gone, the
   fleet was without a leader for half a second more, each time. Order of events: the leader stands
   still for longer than the longest election wait, and the others cannot elect another one, as they
   stand still too or are too few. Cause: when it ran again the leader ended its term, and followers
   stood for election, before they had read what had come meanwhile.

   Evidence: four terms in seven seconds of a run with one voter of three gone, each of which ended
   in the line after the leader's own "LOOP_LATE late_ms=761" (645, 686, 1565), and the next leader,
   the same replica three times, 0.4 s later. */
#include "sim_quorum.h"
#include "wg_test.h"

enum {
    VOTERS = 3,
    SEEDS = 40,
    STAND_MS = 700, /* longer than the longest election wait, 500 ms */
    BACK_MS = 100   /* for a round of heartbeats; an election takes 300 ms and more */
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
    simq_run_for(run, BACK_MS * MSEC);
    ck_assert_msg(simq_leader(run) == leader && simq_stats(run, leader).term == term,
                  "run %d: leader %d of term %d before, %d now", seed, leader, (int)term,
                  simq_leader(run));
}

START_TEST(a_machine_that_stands_still_costs_no_election) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(seed);
        int leader = simq_leader(run);
        uint64_t term = simq_stats(run, leader).term;
        for (int i = 0; i < VOTERS; i++) {
            simq_freeze(run, i, STAND_MS * MSEC);
        }
        simq_run_for(run, STAND_MS * MSEC);
        check_same_term(run, leader, term, seed);
        simq_shutdown(run);
    }
}
END_TEST

START_TEST(a_leader_that_nobody_can_replace_goes_on) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(seed);
        int leader = simq_leader(run);
        uint64_t term = simq_stats(run, leader).term;
        simq_crash(run, (leader + 1) % VOTERS);
        simq_freeze(run, leader, STAND_MS * MSEC);
        simq_run_for(run, STAND_MS * MSEC);
        check_same_term(run, leader, term, seed);
        simq_shutdown(run);
    }
}
END_TEST

/* One that can be replaced is, while it stands still, and follows when it is back. */
START_TEST(a_leader_that_can_be_replaced_is) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(seed);
        int leader = simq_leader(run);
        simq_freeze(run, leader, 2 * SECOND);
        simq_run_for(run, 2 * SECOND);
        int next = simq_leader(run);
        ck_assert(next >= 0 && next != leader);
        simq_run_for(run, BACK_MS * MSEC);
        ck_assert_int_eq(simq_leader(run), next);
        ck_assert_int_eq(simq_stats(run, leader).role, WGR_ROLE_FOLLOWER);
        simq_shutdown(run);
    }
}
END_TEST

/* A leader whose loop always turns late serves nobody: the others, which run, get another one. */
START_TEST(a_replica_that_is_always_late_does_not_hold_on) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(seed);
        int leader = simq_leader(run);
        for (int i = 0; i < 6; i++) {
            simq_freeze(run, leader, STAND_MS * MSEC);
            simq_run_for(run, (STAND_MS + 20) * MSEC);
        }
        ck_assert_int_ne(simq_leader(run), leader);
        simq_shutdown(run);
    }
}
END_TEST

WG_TEST_MAIN("quorum_stalls", a_machine_that_stands_still_costs_no_election,
             a_leader_that_nobody_can_replace_goes_on, a_leader_that_can_be_replaced_is,
             a_replica_that_is_always_late_does_not_hold_on)
