/* test_stream_versions.c -- real processes: targets of two software versions serve side by side

   What two versions write does not fit together, so a stream that breaks off may go on only at the
   version that began it: inside the same answer, or when its caller takes it up at any host. */
#include "stream_fleet.h"

/* ---- tests ----------------------------------------------------------------------------------- */

static const int two_each[] = {1, 1, 2, 2, 0};

/* Guards against a host that continues a stream inside an answer at another version. */
START_TEST(stream_that_breaks_off_continues_at_its_version) {
    fleet f;
    begin(&f, two_each);
    for (int i = 0; two_each[i]; i++) {
        ck_assert(hosts_set_faults(&f.h, &f.h.targets[i], "cut=2"));
    }
    start_streams(&f);
    run_until_done(&f);
    outcome o = outcome_of(&f);
    bool good = o.joined == 0 && o.whole >= STREAMS / 2;
    end(&f, good);
    ck_assert_int_eq(o.joined, 0);
    ck_assert_int_ge(o.whole, STREAMS / 2);
}
END_TEST

/* Guards against a host that sends a stream which another host began to any version, and against
   one that refuses it although targets of its version serve. */
START_TEST(stream_taken_up_at_another_host_continues_at_its_version) {
    fleet f;
    begin(&f, two_each);
    start_streams(&f);
    hosts_run_for(&f.h, BREAK_MS);
    for (f.first_host = 0; f.first_host < 2; f.first_host++) {
        kill_entry(&f, f.first_host);
    }
    run_until_done(&f);
    outcome o = outcome_of(&f);
    bool good = o.joined == 0 && o.taken_up >= 12 && 2 * o.taken_up_whole >= o.taken_up;
    end(&f, good);
    ck_assert_int_eq(o.joined, 0);
    ck_assert_int_ge(o.taken_up, 12);
    ck_assert_int_ge(2 * o.taken_up_whole, o.taken_up);
}
END_TEST

/* Guards against streams that began before the second version served, and that no host has told
   the others of. */
START_TEST(stream_that_began_before_a_release_continues_at_its_version) {
    static const int before[] = {1, 1, 0}; /* full */
    fleet f;
    begin(&f, before);
    start_streams(&f);
    hosts_run_for(&f.h, SPREAD_MS);
    target_start(&f, 4, 2);
    target_start(&f, 5, 2);
    hosts_run_for(&f.h, BREAK_MS - SPREAD_MS);
    for (f.first_host = 0; f.first_host < 2; f.first_host++) {
        kill_entry(&f, f.first_host);
    }
    run_until_done(&f);
    outcome o = outcome_of(&f);
    bool good = o.joined == 0 && 2 * o.taken_up_whole >= o.taken_up;
    end(&f, good);
    ck_assert_int_eq(o.joined, 0);
    ck_assert_int_ge(2 * o.taken_up_whole, o.taken_up);
}
END_TEST

/* Guards against a host that sends a stream to another version because the one that began it has
   no target left, or its only target restarted under the same id with another version. */
START_TEST(stream_whose_version_has_gone_is_refused) {
    static const int one_of_two[] = {1, 1, 2, 1, 0};
    fleet f;
    begin(&f, one_of_two);
    f.h.targets[2].reuses_id = true;
    f.h.targets[2].states_version = true;
    kill_process(&f.h.targets[2].pid);
    target_start(&f, 2, 2);
    hosts_run_for(&f.h, 500);
    start_streams(&f);
    hosts_run_for(&f.h, BREAK_MS);
    kill_process(&f.h.targets[2].pid);
    target_start(&f, 2, 1);
    run_until_done(&f);
    outcome o = outcome_of(&f);
    end(&f, o.joined == 0);
    ck_assert_int_eq(o.joined, 0);
}
END_TEST

/* Guards against streams of which nobody knows the version after all processes were killed. */
START_TEST(stream_continues_at_its_version_after_all_processes_were_killed) {
    fleet f;
    begin(&f, two_each);
    start_streams(&f);
    hosts_run_for(&f.h, BREAK_MS);
    kill_replicas(&f);
    restart_entries(&f);
    run_until_done(&f);
    outcome o = outcome_of(&f);
    bool good = o.joined == 0 && o.taken_up >= 12 && 2 * o.taken_up_whole >= o.taken_up;
    end(&f, good);
    ck_assert_int_eq(o.joined, 0);
    ck_assert_int_ge(o.taken_up, 12);
    ck_assert_int_ge(2 * o.taken_up_whole, o.taken_up);
}
END_TEST

/* Guards against streams in progress of which the leader is not told when a second version
   comes. */
START_TEST(stream_that_began_before_a_release_continues_after_all_processes_were_killed) {
    enum {
        KNOWN_MS = 900, /* until the hosts know the second version, and replicas their streams */
        TARGETS = 2
    };
    static const int before[] = {1, 1, 0};
    fleet f;
    begin(&f, before);
    for (int i = 0; i < TARGETS; i++) {
        ck_assert(hosts_set_faults(&f.h, &f.h.targets[i], "pace_us=40000&slots=24"));
    }
    start_streams(&f);
    hosts_run_for(&f.h, SPREAD_MS);
    target_start(&f, 4, 2);
    hosts_run_for(&f.h, KNOWN_MS);
    kill_replicas(&f);
    restart_entries(&f);
    run_until_done(&f);
    outcome o = outcome_of(&f);
    bool good = o.joined == 0 && o.taken_up >= 12 && 2 * o.taken_up_whole >= o.taken_up;
    end(&f, good);
    ck_assert_int_eq(o.joined, 0);
    ck_assert_int_ge(o.taken_up, 12);
    ck_assert_int_ge(2 * o.taken_up_whole, o.taken_up);
}
END_TEST

/* Guards against a host that takes any version for a stream of which no host knows anything. */
START_TEST(stream_that_no_host_knows_is_refused) {
    fleet f;
    begin(&f, two_each);
    kill_replicas(&f); /* none of them learns of the streams */
    start_streams(&f);
    hosts_run_for(&f.h, BREAK_MS);
    restart_entries(&f);
    run_until_done(&f);
    outcome o = outcome_of(&f);
    bool good = o.joined == 0 && o.taken_up >= 12 && f.refused >= o.taken_up;
    end(&f, good);
    ck_assert_int_eq(o.joined, 0);
    ck_assert_int_ge(o.taken_up, 12);
    ck_assert_int_ge(f.refused, o.taken_up);
}
END_TEST

/* Guards against refusals where only one version has served: any of its targets will do. */
START_TEST(stream_of_the_only_version_continues_although_no_host_knows_it) {
    static const int one[] = {1, 1, 1, 1, 0};
    fleet f;
    begin(&f, one);
    start_streams(&f);
    hosts_run_for(&f.h, BREAK_MS);
    restart_entries(&f);
    run_until_done(&f);
    outcome o = outcome_of(&f);
    bool good = o.taken_up >= 12 && 2 * o.taken_up_whole >= o.taken_up;
    end(&f, good);
    ck_assert_int_ge(o.taken_up, 12);
    ck_assert_int_ge(2 * o.taken_up_whole, o.taken_up);
}
END_TEST

/* Guards against refusals while the hosts have no leader: most of them say that they know of no
   other version. */
START_TEST(stream_of_the_only_version_continues_without_a_leader) {
    static const int one[] = {1, 1, 1, 1, 0};
    fleet f;
    begin(&f, one);
    start_streams(&f);
    hosts_run_for(&f.h, BREAK_MS);
    kill_replicas(&f);
    for (f.first_host = 0; f.first_host < 2; f.first_host++) {
        kill_entry(&f, f.first_host);
    }
    run_until_done(&f);
    outcome o = outcome_of(&f);
    bool good = o.taken_up >= 12 && 2 * o.taken_up_whole >= o.taken_up;
    end(&f, good);
    ck_assert_int_ge(o.taken_up, 12);
    ck_assert_int_ge(2 * o.taken_up_whole, o.taken_up);
}
END_TEST

/* Guards against a host that is cut off from the leader, misses that a second version serves, and
   tells nobody of its streams: here no answers of most hosts make up for it. */
START_TEST(stream_that_began_without_a_leader_is_known_to_other_hosts) {
    enum {
        LEADERLESS_MS = 2500 /* the hosts are sure that there is no leader */
    };
    static const int one[] = {1, 1, 1, 1, 0};
    fleet f;
    begin(&f, one);
    kill_replicas(&f);
    hosts_run_for(&f.h, LEADERLESS_MS);
    start_streams(&f);
    hosts_run_for(&f.h, BREAK_MS);
    for (f.first_host = 0; f.first_host < 3; f.first_host++) {
        kill_entry(&f, f.first_host);
    }
    run_until_done(&f);
    outcome o = outcome_of(&f);
    bool good = o.taken_up >= 12 && 2 * o.taken_up_whole >= o.taken_up;
    end(&f, good);
    ck_assert_int_ge(o.taken_up, 12);
    ck_assert_int_ge(2 * o.taken_up_whole, o.taken_up);
}
END_TEST

WG_TEST_MAIN("stream_versions", stream_that_breaks_off_continues_at_its_version,
             stream_taken_up_at_another_host_continues_at_its_version,
             stream_that_began_before_a_release_continues_at_its_version,
             stream_whose_version_has_gone_is_refused,
             stream_continues_at_its_version_after_all_processes_were_killed,
             stream_that_began_before_a_release_continues_after_all_processes_were_killed,
             stream_that_no_host_knows_is_refused,
             stream_of_the_only_version_continues_although_no_host_knows_it,
             stream_of_the_only_version_continues_without_a_leader,
             stream_that_began_without_a_leader_is_known_to_other_hosts)
