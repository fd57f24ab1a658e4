/* test_quorum_successor.c -- a failed replica loses its vote when its replacement joins

   Guards against losing the majority for good: a replacement that votes beside the failed replica
   enlarges the set, and the next lost disk leaves too few voters to elect a leader. */
#include "sim_quorum.h"
#include "wg_test.h"

enum {
    SEEDS = 20,
    SLOTS_MAX = 8
};

/* The faults of a run: `replaced` replicas are replaced, later `lost` disks are lost at once. */
typedef struct {
    int voters;
    int replaced;
    int lost;
} fault_plan;

static simq_run* begin(const fault_plan* plan, int seed) {
    /* The timeouts of deploy/replica.ini. */
    simq_run* run = simq_setup(&(simq_desc){.seed = (uint64_t)seed,
                                            .replicas = plan->voters + plan->replaced,
                                            .voters = plan->voters,
                                            .election_min = 300 * MSEC,
                                            .election_max = 500 * MSEC,
                                            .heartbeat = 60 * MSEC,
                                            .gone_after = 1600 * MSEC,
                                            .losses = plan->lost});
    simq_run_for(run, 2 * SECOND);
    ck_assert_int_ge(simq_leader(run), 0);
    return run;
}

/* Runs for `duration`; replacements are added to the set as soon as the leader reaches them. */
static void run_and_add(simq_run* run, const fault_plan* plan, wg_time duration) {
    for (wg_time until = simq_now(run) + duration; simq_now(run) < until;) {
        for (int i = plan->voters; i < plan->voters + plan->replaced; i++) {
            simq_replace(run, i);
        }
        simq_tick(run);
    }
}

/* Crashes `plan->replaced` voters for good, marks them in `failed`, and starts as many empty
   replicas one second later. */
static void replace_voters(simq_run* run, const fault_plan* plan, int seed,
                           bool failed[SLOTS_MAX]) {
    int first = seed % 2 ? simq_leader(run) : seed % plan->voters;
    for (int i = 0; i < plan->replaced; i++) {
        int slot = (first + i) % plan->voters;
        failed[slot] = true;
        simq_crash(run, slot);
    }
    run_and_add(run, plan, SECOND);
    for (int i = plan->voters; i < plan->voters + plan->replaced; i++) {
        simq_restart(run, i);
    }
}

/* Crashes all replicas, then restarts those not in `failed`, the first `plan->lost` with an empty
   disk. */
static void crash_all_and_lose_disks(simq_run* run, const fault_plan* plan, int seed,
                                     const bool failed[SLOTS_MAX]) {
    int num = plan->voters + plan->replaced;
    int lost = 0;
    simq_crash_all(run);
    for (int i = 0; i < num; i++) {
        int slot = (i + seed) % num;
        if (failed[slot]) {
            continue;
        }
        if (lost < plan->lost) {
            simq_lose_disk(run, slot);
            lost++;
        } else {
            simq_restart(run, slot);
        }
    }
}

static void check_disk_loss(const fault_plan* plan) {
    for (int seed = 0; seed < SEEDS; seed++) {
        bool failed[SLOTS_MAX] = {false};
        simq_run* run = begin(plan, seed);
        replace_voters(run, plan, seed, failed);
        /* Time for the replacement to catch up. */
        run_and_add(run, plan, 4 * SECOND);
        uint64_t index = simq_edit(run, "w", 5, 0, 1);
        ck_assert_uint_gt(index, 0);
        simq_run_for(run, 200 * MSEC);
        ck_assert_uint_ge(simq_acknowledged(run), index);
        crash_all_and_lose_disks(run, plan, seed, failed);
        simq_run_for(run, 3 * SECOND);
        int leader = simq_leader(run);
        ck_assert_msg(leader >= 0, "seed %d: %d of %d replaced, then %d disks lost: no leader",
                      seed, plan->replaced, plan->voters, plan->lost);
        ck_assert_ptr_nonnull(wgt_find(simq_table(run, leader), WGT_KIND_WORKSPACE, "w"));
        simq_shutdown(run);
    }
}

START_TEST(replaced_replica_has_no_vote) {
    static const fault_plan plans[] = {{.voters = 3, .replaced = 1, .lost = 1},
                                       {.voters = 4, .replaced = 1, .lost = 1},
                                       {.voters = 5, .replaced = 1, .lost = 2},
                                       {.voters = 6, .replaced = 2, .lost = 2}};
    for (size_t i = 0; i < G_N_ELEMENTS(plans); i++) {
        check_disk_loss(&plans[i]);
    }
}
END_TEST

/* The replacement loses its disk while it joins, and all other replicas lose power. Had it counted
   beside the replica it replaces for any time, only two voters of four would be left. */
START_TEST(lost_replacement_costs_no_majority) {
    static const fault_plan plan = {.voters = 3, .replaced = 1, .lost = 1};
    enum {
        REPLACEMENT = 3,
        STEP_MS = 25 /* each run fails this much later after the start of the replacement */
    };
    for (int seed = 0; seed < 3 * SEEDS; seed++) {
        bool failed[SLOTS_MAX] = {false};
        simq_run* run = begin(&plan, seed);
        replace_voters(run, &plan, seed, failed);
        run_and_add(run, &plan, seed * STEP_MS * MSEC);
        simq_crash_all(run);
        for (int i = 0; i < plan.voters; i++) {
            if (!failed[i]) {
                simq_restart(run, i);
            }
        }
        simq_lose_disk(run, REPLACEMENT);
        simq_run_for(run, 3 * SECOND);
        ck_assert_msg(simq_leader(run) >= 0, "seed %d: no leader", seed);
        simq_shutdown(run);
    }
}
END_TEST

static int count_voters(simq_run* run) {
    const wgr_set* set = simq_set(run, simq_leader(run));
    int num = 0;
    for (int i = 0; i < set->num; i++) {
        num += set->replicas[i].voter;
    }
    return num;
}

/* A voter that fails while its replacement starts still counts as reachable for a short time; the
   replacement must not get a vote beside it. */
START_TEST(replacement_does_not_vote_beside_a_failing_voter) {
    static const fault_plan plan = {.voters = 3, .replaced = 1, .lost = 1};
    enum {
        REPLACEMENT = 3,
        STEP_MS = 25 /* each run adds this much between the start and the crash */
    };
    for (int seed = 0; seed < 2 * SEEDS; seed++) {
        bool failed[SLOTS_MAX] = {false};
        simq_run* run = begin(&plan, seed);
        int slot = seed % 2 ? simq_leader(run) : seed % plan.voters;
        simq_restart(run, REPLACEMENT);
        run_and_add(run, &plan, seed * STEP_MS * MSEC);
        simq_crash(run, slot);
        failed[slot] = true;
        for (int i = 0; i < 300; i++) {
            run_and_add(run, &plan, 10 * MSEC);
            ck_assert(simq_leader(run) < 0 || count_voters(run) <= 3);
        }
        crash_all_and_lose_disks(run, &plan, seed, failed);
        simq_run_for(run, 3 * SECOND);
        ck_assert_msg(simq_leader(run) >= 0, "seed %d: no leader", seed);
        simq_shutdown(run);
    }
}
END_TEST

/* A learner that has not answered since it was added is given time to start: it must not be removed
   from the set and added again. */
START_TEST(learner_has_time_to_answer) {
    static const fault_plan plan = {.voters = 3, .replaced = 1, .lost = 1};
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(&plan, seed);
        simq_run_for(run, 3 * SECOND);
        simq_restart(run, 3);
        for (int i = 0; i < 3; i++) {
            simq_cut(run, 3, i, true);
        }
        run_and_add(run, &plan, 50 * MSEC);
        for (int i = 0; i < 50; i++) {
            simq_tick(run);
            ck_assert_int_eq(simq_set(run, simq_leader(run))->num, 4);
        }
        simq_shutdown(run);
    }
}
END_TEST

static simq_run* begin_without_replacement(int voters, int seed) {
    return begin(&(fault_plan){.voters = voters, .replaced = 0, .lost = 1}, seed);
}

static int pick_follower(simq_run* run, int seed, int voters) {
    int slot = seed % voters;
    return slot == simq_leader(run) ? (slot + 1) % voters : slot;
}

/* After a planned stop of one of four voters, the set survives the loss of another disk at once. */
START_TEST(leaving_voter_loses_its_vote_at_once) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin_without_replacement(4, seed);
        int leaving = pick_follower(run, seed, 4);
        int leader = simq_leader(run);
        simq_leave(run, leaving);
        simq_run_for(run, 300 * MSEC);
        ck_assert(simq_has_left(run, leaving));
        ck_assert_int_eq(simq_set(run, leader)->num, 3);
        ck_assert(!simq_replace(run, leaving)); /* not added again while it stops */
        simq_crash(run, leaving);
        uint64_t index = simq_edit(run, "w", 5, 0, 1);
        simq_run_for(run, 200 * MSEC);
        ck_assert_uint_ge(simq_acknowledged(run), index);
        bool failed[SLOTS_MAX] = {false};
        failed[leaving] = true;
        crash_all_and_lose_disks(run, &(fault_plan){.voters = 4, .lost = 1}, seed, failed);
        simq_run_for(run, 3 * SECOND);
        ck_assert_int_ge(simq_leader(run), 0);
        simq_shutdown(run);
    }
}
END_TEST

/* A voter that left and restarts with the same identity gets its vote back within a second after
   the period that a learner of a full set waits (1.6 s here). */
START_TEST(voter_that_left_rejoins) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin_without_replacement(4, seed);
        int leaving = pick_follower(run, seed, 4);
        simq_leave(run, leaving);
        simq_run_for(run, 300 * MSEC);
        simq_crash(run, leaving);
        simq_run_for(run, 300 * MSEC);
        simq_restart(run, leaving);
        for (wg_time until = simq_now(run) + 2600 * MSEC; simq_now(run) < until;) {
            simq_replace(run, leaving);
            simq_tick(run);
        }
        const wgr_set* set = simq_set(run, simq_leader(run));
        ck_assert_int_eq(set->num, 4);
        for (int i = 0; i < set->num; i++) {
            ck_assert(set->replicas[i].voter);
        }
        simq_shutdown(run);
    }
}
END_TEST

/* A set of three keeps all voters, since two could not survive a loss. The voter is notified and
   stops regardless. */
START_TEST(needed_voter_stays_in_the_set) {
    simq_run* run = begin_without_replacement(3, 1);
    int leaving = pick_follower(run, 1, 3);
    simq_leave(run, leaving);
    simq_run_for(run, 300 * MSEC);
    ck_assert(simq_has_left(run, leaving));
    ck_assert_int_eq(simq_set(run, simq_leader(run))->num, 3);
    simq_shutdown(run);
}
END_TEST

/* An unresponsive voter is removed without a replacement, but only while enough voters remain. */
START_TEST(set_keeps_enough_voters) {
    for (int seed = 0; seed < SEEDS; seed++) {
        simq_run* run = begin(&(fault_plan){.voters = 6, .replaced = 0, .lost = 2}, seed);
        int failed[2] = {pick_follower(run, seed, 6), pick_follower(run, seed + 1, 6)};
        simq_crash(run, failed[0]);
        simq_run_for(run, 3 * SECOND);
        ck_assert_int_eq(simq_set(run, simq_leader(run))->num, 5);
        failed[1] = failed[1] == failed[0] ? pick_follower(run, seed + 2, 6) : failed[1];
        failed[1] = failed[1] == failed[0] ? pick_follower(run, seed + 3, 6) : failed[1];
        simq_crash(run, failed[1]);
        simq_run_for(run, 5 * SECOND);
        ck_assert_int_ge(simq_leader(run), 0);
        ck_assert_int_eq(simq_set(run, simq_leader(run))->num, 5);
        simq_shutdown(run);
    }
}
END_TEST

/* A voter that stalls for less than the removal time stays in the set, beside the new replica. */
START_TEST(short_stall_keeps_the_vote) {
    for (int seed = 0; seed < SEEDS; seed++) {
        static const fault_plan plan = {.voters = 3, .replaced = 1, .lost = 1};
        simq_run* run = begin(&plan, seed);
        int stalled = pick_follower(run, seed, 3);
        simq_freeze(run, stalled, SECOND);
        simq_run_for(run, 500 * MSEC);
        simq_restart(run, 3);
        run_and_add(run, &plan, 3 * SECOND);
        const wgr_set* set = simq_set(run, simq_leader(run));
        ck_assert_int_eq(set->num, 4);
        for (int i = 0; i < set->num; i++) {
            ck_assert(set->replicas[i].voter);
        }
        simq_shutdown(run);
    }
}
END_TEST

/* All kinds of random faults, with replacements and planned stops. */
START_TEST(random_runs_are_consistent_with_replacements) {
    for (uint64_t seed = 700; seed < 706; seed++) {
        simq_run* run = simq_setup(&(simq_desc){.seed = seed,
                                                .replicas = seed % 2 ? 4 : 6,
                                                .faults = true,
                                                .election_min = 300 * MSEC,
                                                .election_max = 500 * MSEC,
                                                .heartbeat = 60 * MSEC,
                                                .gone_after = 1600 * MSEC,
                                                .losses = seed % 2 ? 1 : 2});
        simq_steps(run, 20000);
        simq_settle(run, 30 * SECOND);
        simq_counts counts = simq_query_counts(run);
        ck_assert_uint_gt(counts.planned_stops, 0);
        ck_assert_uint_gt(counts.replaced, 0);
        ck_assert_uint_gt(counts.committed, 1000);
        simq_shutdown(run);
    }
}
END_TEST

WG_TEST_MAIN("quorum_successor", replaced_replica_has_no_vote, lost_replacement_costs_no_majority,
             replacement_does_not_vote_beside_a_failing_voter, learner_has_time_to_answer,
             leaving_voter_loses_its_vote_at_once, voter_that_left_rejoins,
             needed_voter_stays_in_the_set, set_keeps_enough_voters, short_stall_keeps_the_vote,
             random_runs_are_consistent_with_replacements)
