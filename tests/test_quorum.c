/* test_quorum.c -- replicated log: elections, leader leases, lost disks, leadership transfer,
   randomised runs */
#include "sim_quorum.h"
#include "wg_test.h"

static simq_run* setup_without_faults(int replicas) {
    return simq_setup(&(simq_desc){.seed = 7, .replicas = replicas});
}

static int wait_leader(simq_run* run) {
    for (int i = 0; i < 1000 && simq_leader(run) < 0; i++) {
        simq_tick(run);
    }
    ck_assert_int_ge(simq_leader(run), 0);
    return simq_leader(run);
}

/* The slot of the n-th replica after the leader. */
static int nth_other(int leader, int n, int replicas) {
    return (leader + 1 + n) % replicas;
}

static void cut_both(simq_run* run, int a, int b, bool cut) {
    simq_cut(run, a, b, cut);
    simq_cut(run, b, a, cut);
}

static void isolate(simq_run* run, int slot, int replicas, bool cut) {
    for (int i = 0; i < replicas; i++) {
        cut_both(run, i, slot, cut && i != slot);
    }
}

START_TEST(one_replica_leads_itself) {
    simq_run* run = setup_without_faults(1);
    wait_leader(run);
    uint64_t index = simq_edit(run, "w", 5, 0, 1);
    simq_run_for(run, SECOND / 10);
    ck_assert_uint_ge(simq_acknowledged(run), index);
    simq_shutdown(run);
}
END_TEST

START_TEST(one_replica_leads_itself_at_once_after_a_restart) {
    simq_run* run = setup_without_faults(1);
    wait_leader(run);
    simq_run_for(run, SECOND);
    simq_crash(run, 0);
    simq_restart(run, 0);
    simq_run_for(run, 50 * MSEC);
    ck_assert_int_eq(simq_leader(run), 0);
    simq_shutdown(run);
}
END_TEST

START_TEST(five_replicas_survive_two_failures) {
    simq_run* run = setup_without_faults(5);
    int leader = wait_leader(run);
    simq_edit(run, "w", 5, 0, 1);
    simq_run_for(run, SECOND);
    simq_crash(run, leader);
    simq_crash(run, nth_other(leader, 0, 5));
    simq_run_for(run, 4 * SECOND);
    int next = wait_leader(run);
    ck_assert_int_ne(next, leader);
    ck_assert_ptr_nonnull(wgt_find(simq_table(run, next), WGT_KIND_WORKSPACE, "w"));
    simq_settle(run, 20 * SECOND);
    simq_shutdown(run);
}
END_TEST

START_TEST(no_leader_without_a_majority) {
    simq_run* run = setup_without_faults(3);
    int leader = wait_leader(run);
    simq_crash(run, nth_other(leader, 0, 3));
    simq_crash(run, nth_other(leader, 1, 3));
    simq_run_for(run, 2 * SECOND);
    ck_assert_int_eq(simq_leader(run), -1);
    simq_shutdown(run);
}
END_TEST

/* A leader whose links are cut keeps its lease until it expires; a follower that acknowledged it
   must not vote for another replica before that. */
START_TEST(promise_to_a_leader_is_kept) {
    simq_run* run = setup_without_faults(3);
    int leader = wait_leader(run);
    int follower = nth_other(leader, 0, 3);
    int isolated = nth_other(leader, 1, 3);
    simq_run_for(run, SECOND);
    cut_both(run, leader, isolated, true);
    /* `isolated` starts election after election. A vote by `follower` while its messages to the
       leader are cut would make two leaders; simq_tick asserts that there is at most one. */
    for (int i = 0; i < 400; i++) {
        simq_cut(run, follower, leader, i % 40 >= 20);
        simq_tick(run);
    }
    simq_settle(run, 20 * SECOND);
    simq_shutdown(run);
}
END_TEST

START_TEST(promise_survives_a_restart) {
    for (int after = 0; after < 150; after++) {
        simq_run* run = setup_without_faults(3);
        int leader = wait_leader(run);
        int follower = nth_other(leader, 0, 3);
        int isolated = nth_other(leader, 1, 3);
        simq_run_for(run, SECOND);
        cut_both(run, leader, isolated, true);
        simq_run_for(run, SECOND + after * 10 * MSEC);
        simq_crash(run, follower);
        simq_restart(run, follower);
        cut_both(run, follower, leader, true);
        simq_run_for(run, SECOND);
        simq_shutdown(run);
    }
}
END_TEST

/* When every voter has just started, no lease can be held, so the election need not wait for one
   to expire. */
START_TEST(simultaneous_start_elects_at_once) {
    for (int seed = 0; seed < 20; seed++) {
        simq_run* run = simq_setup(&(simq_desc){.seed = (uint64_t)seed, .replicas = 3});
        wait_leader(run);
        uint64_t index = simq_edit(run, "w", 5, 0, 1);
        simq_run_for(run, SECOND);
        ck_assert_uint_ge(simq_acknowledged(run), index);
        simq_crash_all(run);
        for (int i = 0; i < 3; i++) {
            simq_restart(run, i);
        }
        simq_run_for(run, 120 * MSEC);
        ck_assert_int_ge(simq_leader(run), 0);
        simq_shutdown(run);
    }
}
END_TEST

/* A replica that starts with an empty disk holds no promises, so the election need not wait for
   them. */
START_TEST(simultaneous_start_with_a_lost_disk_elects_at_once) {
    for (int seed = 0; seed < 20; seed++) {
        simq_run* run = simq_setup(&(simq_desc){.seed = (uint64_t)seed, .replicas = 3});
        wait_leader(run);
        uint64_t index = simq_edit(run, "w", 5, 0, 1);
        simq_run_for(run, SECOND);
        simq_crash_all(run);
        for (int i = 0; i < 3; i++) {
            simq_restart(run, i);
        }
        simq_lose_disk(run, seed % 3);
        simq_run_for(run, 120 * MSEC);
        ck_assert_int_ge(simq_leader(run), 0);
        ck_assert_uint_ge(simq_acknowledged(run), index);
        simq_settle(run, 20 * SECOND);
        simq_shutdown(run);
    }
}
END_TEST

/* A voter that did not restart may be a leader that still holds its lease: the others wait for the
   normal election timeout. */
START_TEST(running_voter_delays_the_election) {
    for (int seed = 0; seed < 20; seed++) {
        simq_run* run = simq_setup(&(simq_desc){.seed = (uint64_t)seed, .replicas = 3});
        int leader = wait_leader(run);
        simq_run_for(run, SECOND);
        isolate(run, leader, 3, true);
        for (int i = 0; i < 3; i++) {
            if (i != leader) {
                simq_crash(run, i);
                simq_restart(run, i);
            }
        }
        for (int i = 0; i < 60; i++) { /* simq_tick asserts that there is at most one leader */
            simq_tick(run);
            ck_assert(simq_leader(run) < 0 || simq_leader(run) == leader);
        }
        simq_run_for(run, SECOND); /* the lease has expired */
        ck_assert_int_ne(wait_leader(run), leader);
        simq_shutdown(run);
    }
}
END_TEST

/* With the timeouts of deploy/replica.ini, lost messages and delays longer than the shortest
   election timeout do not unseat a running leader. */
START_TEST(short_timeouts_keep_a_leader_on_a_bad_network) {
    uint64_t elections = 0;
    for (int seed = 0; seed < 20; seed++) {
        simq_run* run = simq_setup(&(simq_desc){.seed = (uint64_t)seed,
                                                .replicas = 3,
                                                .faults = true,
                                                .election_min = 300 * MSEC,
                                                .election_max = 500 * MSEC,
                                                .heartbeat = 60 * MSEC});
        wait_leader(run);
        uint64_t before = simq_query_counts(run).elections;
        simq_run_for(run, 60 * SECOND);
        elections += simq_query_counts(run).elections - before;
        simq_shutdown(run);
    }
    ck_assert_uint_eq(elections, 0);
}
END_TEST

/* A failed leader is replaced within twice the longest election timeout. */
START_TEST(short_timeouts_replace_a_failed_leader_soon) {
    for (int seed = 0; seed < 20; seed++) {
        simq_run* run = simq_setup(&(simq_desc){.seed = (uint64_t)seed,
                                                .replicas = 3,
                                                .election_min = 300 * MSEC,
                                                .election_max = 500 * MSEC,
                                                .heartbeat = 60 * MSEC});
        int leader = wait_leader(run);
        simq_run_for(run, SECOND);
        simq_crash(run, leader);
        simq_run_for(run, SECOND);
        ck_assert_int_ge(simq_leader(run), 0);
        simq_shutdown(run);
    }
}
END_TEST

START_TEST(leadership_transfer_ends_the_lease_first) {
    for (int seed = 0; seed < 10; seed++) {
        simq_run* run = simq_setup(&(simq_desc){.seed = (uint64_t)seed, .replicas = 3});
        int leader = wait_leader(run);
        simq_run_for(run, SECOND);
        simq_transfer_leadership(run, leader);
        ck_assert(!simq_believes_to_lead(run, leader));
        /* The previous leader receives nothing from the new one. */
        simq_cut(run, nth_other(leader, 0, 3), leader, true);
        simq_cut(run, nth_other(leader, 1, 3), leader, true);
        simq_run_for(run, 200 * MSEC);
        ck_assert_int_ge(simq_leader(run), 0);
        ck_assert_int_ne(simq_leader(run), leader);
        simq_shutdown(run);
    }
}
END_TEST

START_TEST(stalled_leader_does_not_lead_when_it_resumes) {
    simq_run* run = setup_without_faults(3);
    int leader = wait_leader(run);
    simq_freeze(run, leader, 3 * SECOND);
    simq_run_for(run, 3 * SECOND - 10 * MSEC);
    ck_assert_int_ge(simq_leader(run), 0);
    ck_assert_int_ne(simq_leader(run), leader);
    simq_run_for(run, 20 * MSEC);
    ck_assert(!simq_believes_to_lead(run, leader));
    simq_settle(run, 10 * SECOND);
    simq_shutdown(run);
}
END_TEST

START_TEST(partitioned_replica_does_not_unseat_the_leader) {
    simq_run* run = setup_without_faults(3);
    int leader = wait_leader(run);
    int cut = nth_other(leader, 0, 3);
    uint64_t term = simq_stats(run, leader).term;
    isolate(run, cut, 3, true);
    simq_run_for(run, 10 * SECOND);
    isolate(run, cut, 3, false);
    simq_run_for(run, 3 * SECOND);
    ck_assert_int_eq(simq_leader(run), leader);
    ck_assert_uint_eq(simq_stats(run, leader).term, term);
    simq_shutdown(run);
}
END_TEST

START_TEST(one_way_cut_of_a_leader_ends_its_lease) {
    simq_run* run = setup_without_faults(3);
    int leader = wait_leader(run);
    /* The leader still sends, but receives nothing. */
    simq_cut(run, nth_other(leader, 0, 3), leader, true);
    simq_cut(run, nth_other(leader, 1, 3), leader, true);
    simq_run_for(run, 2 * SECOND);
    ck_assert(!simq_believes_to_lead(run, leader));
    simq_run_for(run, 4 * SECOND);
    ck_assert_int_ge(simq_leader(run), 0);
    simq_shutdown(run);
}
END_TEST

START_TEST(lost_disk_votes_only_after_replacement) {
    simq_run* run = setup_without_faults(3);
    int leader = wait_leader(run);
    int lost = nth_other(leader, 0, 3);
    int third = nth_other(leader, 1, 3);
    for (uint64_t i = 0; i < 100; i++) {
        simq_edit(run, "w", (int64_t)i + 1, simq_acknowledged(run), i + 1);
        simq_run_for(run, 20 * MSEC);
    }
    uint64_t answered = simq_acknowledged(run);
    simq_lose_disk(run, lost);
    simq_run_for(run, 3 * SECOND);
    /* With the third replica down, an empty replica must not complete a majority. */
    simq_crash(run, third);
    simq_run_for(run, 3 * SECOND);
    ck_assert_int_eq(simq_leader(run), -1);
    simq_restart(run, third);
    simq_run_for(run, 3 * SECOND);
    wait_leader(run);
    ck_assert(simq_replace(run, lost));
    simq_run_for(run, 5 * SECOND);
    leader = wait_leader(run);
    ck_assert_int_eq(simq_set(run, leader)->num, 3);
    /* A second failure right after the replacement loses no accepted edit. */
    simq_crash(run, third);
    simq_run_for(run, 5 * SECOND);
    leader = wait_leader(run);
    ck_assert_uint_ge(simq_stats(run, leader).commit, answered);
    simq_settle(run, 20 * SECOND);
    simq_shutdown(run);
}
END_TEST

/* Raft paper, figure 8: an entry of an older term that is stored on a majority may still be
   overwritten, so it must not be committed by counting replicas. */
START_TEST(older_terms_are_not_committed_by_counting) {
    simq_run* run = setup_without_faults(5);
    int a = wait_leader(run);
    int b = nth_other(a, 0, 5);
    simq_run_for(run, SECOND);
    for (int i = 1; i < 4; i++) {
        cut_both(run, a, nth_other(a, i, 5), true);
        cut_both(run, b, nth_other(a, i, 5), true);
    }
    uint64_t index = simq_propose_bytes(run, a, 900);
    simq_run_for(run, 50 * MSEC);
    simq_crash(run, a);
    simq_crash(run, b);
    /* One of the three other replicas is elected, but its first entry reaches no other replica. */
    int x = -1;
    for (int t = 0; t < 1000 && x < 0; t++) {
        simq_tick(run);
        for (int i = 1; i < 4; i++) {
            if (simq_stats(run, nth_other(a, i, 5)).role == WGR_ROLE_CANDIDATE) {
                x = nth_other(a, i, 5);
            }
        }
    }
    ck_assert_int_ge(x, 0);
    simq_tick(run);
    for (int i = 0; i < 5; i++) {
        simq_cut(run, x, i, i != x);
    }
    simq_run_for(run, 30 * MSEC);
    ck_assert_int_eq(simq_stats(run, x).role, WGR_ROLE_LEADER);
    ck_assert_uint_eq(simq_stats(run, x).last_index, index);
    simq_crash(run, x);
    /* Replicas a and b restart and replicate their entry, one entry a message. */
    for (int i = 0; i < 5; i++) {
        for (int j = 0; j < 5; j++) {
            simq_cut(run, i, j, false);
        }
    }
    simq_restart(run, a);
    simq_restart(run, b);
    bool replicated = false;
    for (int t = 0; t < 1000 && !replicated; t++) {
        simq_tick(run);
        for (int i = 1; i < 4; i++) {
            int c = nth_other(a, i, 5);
            replicated = replicated || (c != x && simq_stats(run, c).last_index == index);
        }
    }
    ck_assert(replicated);
    /* Replicas a and b still receive acknowledgements, but their messages are cut. */
    for (int i = 1; i < 4; i++) {
        simq_cut(run, a, nth_other(a, i, 5), true);
        simq_cut(run, b, nth_other(a, i, 5), true);
    }
    simq_tick(run);
    simq_crash(run, a);
    simq_crash(run, b);
    simq_restart(run, x);
    simq_run_for(run, 6 * SECOND); /* asserts equal entries at equal indexes */
    simq_settle(run, 20 * SECOND);
    simq_shutdown(run);
}
END_TEST

START_TEST(one_of_two_edits_wins_and_a_resend_gets_the_first_answer) {
    simq_run* run = setup_without_faults(3);
    wait_leader(run);
    simq_edit(run, "w", 5, 0, 1);
    simq_edit(run, "w", 6, 0, 2);
    simq_edit(run, "w", 5, 0, 1);
    simq_run_for(run, SECOND);
    simq_counts counts = simq_query_counts(run);
    ck_assert_uint_eq(counts.edits_accepted, 1);
    ck_assert_uint_eq(counts.edits_conflict, 1);
    ck_assert_uint_eq(counts.edits_resent, 1);
    /* The first answer is also given by a new leader, and after snapshots. */
    for (uint64_t i = 10; i < 60; i++) {
        simq_edit(run, "v", (int64_t)i, 0, i);
        simq_run_for(run, 20 * MSEC);
    }
    int leader = simq_leader(run);
    simq_transfer_leadership(run, leader);
    simq_run_for(run, SECOND);
    ck_assert_int_ne(wait_leader(run), leader);
    simq_edit(run, "w", 5, 0, 1);
    simq_run_for(run, SECOND);
    ck_assert_uint_eq(simq_query_counts(run).edits_resent, 2);
    simq_shutdown(run);
}
END_TEST

START_TEST(random_runs_are_consistent_and_reproducible) {
    for (uint64_t seed = 100; seed < 106; seed++) {
        uint64_t traces[2];
        for (int again = 0; again < 2; again++) {
            simq_run* run = simq_setup(
                &(simq_desc){.seed = seed, .replicas = seed % 2 ? 3 : 5, .faults = true});
            simq_steps(run, 6000);
            simq_settle(run, 30 * SECOND);
            traces[again] = simq_query_trace(run);
            simq_shutdown(run);
        }
        ck_assert_uint_eq(traces[0], traces[1]);
    }
}
END_TEST

START_TEST(random_runs_outlast_the_retention_of_claims) {
    simq_run* run = simq_setup(&(simq_desc){.seed = 90711, .replicas = 3, .faults = true});
    simq_steps(run, 200000);
    simq_settle(run, 30 * SECOND);
    simq_shutdown(run);
}
END_TEST

START_TEST(bad_descs_name_the_field) {
    GError* error = NULL;
    ck_assert_ptr_null(wgr_setup(&(wgr_desc){0}, &error));
    ck_assert_ptr_nonnull(strstr(error->message, "self"));
    g_clear_error(&error);
    ck_assert_ptr_null(wgr_setup(&(wgr_desc){.self = 1, .heartbeat = SECOND}, &error));
    ck_assert_ptr_nonnull(strstr(error->message, "heartbeat"));
    g_clear_error(&error);
}
END_TEST

WG_TEST_MAIN("quorum", one_replica_leads_itself, one_replica_leads_itself_at_once_after_a_restart,
             five_replicas_survive_two_failures, no_leader_without_a_majority,
             promise_to_a_leader_is_kept, promise_survives_a_restart,
             simultaneous_start_elects_at_once, simultaneous_start_with_a_lost_disk_elects_at_once,
             running_voter_delays_the_election, short_timeouts_keep_a_leader_on_a_bad_network,
             short_timeouts_replace_a_failed_leader_soon, leadership_transfer_ends_the_lease_first,
             stalled_leader_does_not_lead_when_it_resumes,
             partitioned_replica_does_not_unseat_the_leader, one_way_cut_of_a_leader_ends_its_lease,
             lost_disk_votes_only_after_replacement, older_terms_are_not_committed_by_counting,
             one_of_two_edits_wins_and_a_resend_gets_the_first_answer,
             random_runs_are_consistent_and_reproducible,
             random_runs_outlast_the_retention_of_claims, bad_descs_name_the_field)
