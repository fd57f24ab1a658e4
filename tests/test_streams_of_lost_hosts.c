/* test_streams_of_lost_hosts.c -- real processes: a host is lost before a second version serves

   A host that cannot speak any more when the second version of its targets' software becomes known
   tells nobody of its streams then. Their callers take them up at other hosts. */
#include "stream_fleet.h"

enum {
    LOST = 2,            /* hosts 0 to LOST - 1 are lost, with the streams that began there */
    KNOWN_MS = 500,      /* until all hosts know a target that registered */
    UNNOTICED_MS = 1500, /* until a target that restarted sends its first heartbeat */
};

typedef void (*lose_host)(fleet* f, int number);

static void freeze_entry(fleet* f, int number) {
    kill(f->h.hosts[number].entry, SIGSTOP);
}

static void lose_hosts(fleet* f, lose_host lose) {
    for (f->first_host = 0; f->first_host < LOST; f->first_host++) {
        lose(f, f->first_host);
    }
}

static void start_second_version(fleet* f) {
    target_start(f, 4, 2);
    target_start(f, 5, 2);
    hosts_run_for(&f->h, KNOWN_MS);
}

/* Loses hosts `lost_ms` after the first stream began; a second version then comes, and the callers
   take their streams up. */
static outcome play_lost_hosts(lose_host lose, int lost_ms) {
    static const int before[] = {1, 1, 1, 1, 0};
    fleet f;
    begin(&f, before);
    start_streams(&f);
    hosts_run_for(&f.h, lost_ms);
    f.paused = true;
    lose_hosts(&f, lose);
    start_second_version(&f);
    f.paused = false;
    run_until_done(&f);
    outcome o = outcome_of(&f);
    end(&f, o.joined == 0 && 2 * o.taken_up_whole >= o.taken_up);
    return o;
}

static void check_most_go_on(outcome o) {
    ck_assert_int_eq(o.joined, 0);
    ck_assert_int_ge(o.taken_up, 12);
    ck_assert_int_ge(2 * o.taken_up_whole, o.taken_up);
}

/* Guards against streams whose version was told to nobody when their host was killed. */
START_TEST(stream_of_a_killed_host_continues_beside_a_version_that_came_later) {
    check_most_go_on(play_lost_hosts(kill_entry, BREAK_MS));
}
END_TEST

/* Guards against the same for a host that freezes and cannot tell of its streams in time. */
START_TEST(stream_of_a_frozen_host_continues_beside_a_version_that_came_later) {
    check_most_go_on(play_lost_hosts(freeze_entry, BREAK_MS));
}
END_TEST

/* Guards against records of streams that are told too long after the first event. */
START_TEST(stream_that_has_just_begun_at_a_killed_host_continues_at_its_version) {
    check_most_go_on(play_lost_hosts(kill_entry, SPREAD_MS + 50));
}
END_TEST

/* Guards against a record that names the earlier version of a target which had restarted unnoticed
   under its id when the stream began there. */
START_TEST(stream_of_a_target_that_had_restarted_unnoticed_never_joins_two_versions) {
    static const int before[] = {1, 1, 0};
    fleet f;
    begin(&f, before);
    host_target* t = &f.h.targets[0];
    t->reuses_id = true;
    kill_process(&t->pid);
    target_start(&f, 0, 1);
    hosts_run_for(&f.h, KNOWN_MS);
    kill_process(&t->pid);
    t->first_heartbeat_ms = UNNOTICED_MS;
    target_start(&f, 0, 2);
    start_streams(&f);
    hosts_run_for(&f.h, BREAK_MS);
    f.paused = true;
    lose_hosts(&f, kill_entry);
    hosts_run_for(&f.h, UNNOTICED_MS + KNOWN_MS);
    f.paused = false;
    run_until_done(&f);
    outcome o = outcome_of(&f);
    end(&f, o.joined == 0);
    ck_assert_int_ge(o.taken_up, 12);
    ck_assert_int_eq(o.joined, 0);
}
END_TEST

WG_TEST_MAIN("streams_of_lost_hosts",
             stream_of_a_killed_host_continues_beside_a_version_that_came_later,
             stream_of_a_frozen_host_continues_beside_a_version_that_came_later,
             stream_that_has_just_begun_at_a_killed_host_continues_at_its_version,
             stream_of_a_target_that_had_restarted_unnoticed_never_joins_two_versions)
