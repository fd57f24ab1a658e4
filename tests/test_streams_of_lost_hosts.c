/* test_streams_of_lost_hosts.c -- real processes: a host is lost before a second version serves

   A host that cannot speak any more when the second version of its targets' software becomes known
   tells nobody of its streams then. Their callers take them up at other hosts. */
#include "stream_fleet.h"

enum {
    LOST = 2,            /* hosts 0 to LOST - 1 are lost, with the streams that began there */
    KNOWN_MS = 500,      /* until all hosts know a target that registered */
    UNNOTICED_MS = 2400, /* until a target that restarted sends its first heartbeat */
    SETTLED_MS = 800,    /* until hosts send to the restarted target again */
    RESTARTED_MIN = 3,   /* streams that begin at it meanwhile, for the test to count */
    COLD_MS = 2500       /* a target that was started again is cold for 2 s */
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

/* Starts a target of v1 under an id that it keeps, and again with v2, which it first tells of after
   UNNOTICED_MS. */
static void restart_unnoticed(fleet* f) {
    host_target* t = &f->h.targets[0];
    t->reuses_id = true;
    kill_process(&t->pid);
    target_start(f, 0, 1);
    hosts_run_for(&f->h, COLD_MS);
    kill_process(&t->pid);
    t->first_heartbeat_ms = UNNOTICED_MS;
    target_start(f, 0, 2);
}

/* Guards against a record that names the earlier version of a target which had restarted unnoticed
   under its id when the stream began there, and did not say so when asked. */
START_TEST(stream_of_a_target_that_had_restarted_unnoticed_never_joins_two_versions) {
    static const int before[] = {1, 1, 0};
    fleet f;
    begin(&f, before);
    restart_unnoticed(&f);
    ck_assert(hosts_set_faults(&f.h, &f.h.targets[0], "untold=1"));
    hosts_run_for(&f.h, SETTLED_MS);
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

/* Streams that began at the restarted target, and what became of them. */
typedef struct {
    int num;
    int whole;
    int joined;
} restarted_outcome;

static restarted_outcome restarted_outcome_of(const fleet* f) {
    restarted_outcome o = {0};
    for (int i = 0; i < STREAMS; i++) {
        const stream* s = &f->streams[i];
        bool began_there = (s->versions & 1U << 2) != 0;
        o.num += began_there;
        o.whole += began_there && s->whole;
        o.joined += (s->versions & (s->versions - 1)) != 0;
    }
    printf("%d streams of v2, %d of them whole, %d of two versions\n", o.num, o.whole, o.joined);
    fflush(stdout);
    return o;
}

/* Streams begin at a target that has restarted unnoticed with v2; `ended_ms` after its first
   heartbeat it ends, while two other targets of v2 serve. */
static restarted_outcome play_restart_once(int ended_ms) {
    static const int before[] = {1, 1, 0};
    /* Streams of 3.6 s. The hosts cannot ask which process they begin at. */
    static const char slow[] = "pace_us=60000&slots=48&untold=1";
    fleet f;
    begin(&f, before);
    restart_unnoticed(&f);
    ck_assert(hosts_set_faults(&f.h, &f.h.targets[0], slow));
    ck_assert(hosts_set_faults(&f.h, &f.h.targets[1], slow));
    wg_time heard_at = wg_now() + UNNOTICED_MS * MSEC;
    hosts_run_for(&f.h, SETTLED_MS);
    start_streams(&f);
    hosts_run_for(&f.h, SPREAD_MS);
    target_start(&f, 4, 2);
    target_start(&f, 5, 2);
    hosts_run_for(&f.h, (int)((heard_at - wg_now()) / MSEC) + ended_ms);
    kill_process(&f.h.targets[0].pid);
    run_until_done(&f);
    restarted_outcome o = restarted_outcome_of(&f);
    end(&f, o.joined == 0);
    return o;
}

/* Again if the hosts had set the target aside after its end, and streams did not begin there. */
static restarted_outcome play_restart(int ended_ms) {
    enum {
        PLAYS_MAX = 4
    };
    restarted_outcome o = {0};
    for (int i = 0; i < PLAYS_MAX && o.num < RESTARTED_MIN && o.joined == 0; i++) {
        o = play_restart_once(ended_ms);
    }
    return o;
}

/* Guards against a stream that goes on at the version which its target had before it restarted,
   long after all hosts know of the restart. */
START_TEST(stream_of_a_target_known_to_have_restarted_continues_at_its_version) {
    restarted_outcome o = play_restart(1500);
    ck_assert_int_eq(o.joined, 0);
    ck_assert_int_ge(o.num, RESTARTED_MIN);
    ck_assert_int_ge(2 * o.whole, o.num);
}
END_TEST

/* Guards against the same right after the first heartbeat, while the version is in doubt. */
START_TEST(stream_of_a_target_that_ends_after_its_first_heartbeat_never_joins_two_versions) {
    restarted_outcome o = play_restart(400);
    ck_assert_int_eq(o.joined, 0);
    ck_assert_int_ge(o.num, RESTARTED_MIN);
}
END_TEST

WG_TEST_MAIN("streams_of_lost_hosts",
             stream_of_a_killed_host_continues_beside_a_version_that_came_later,
             stream_of_a_frozen_host_continues_beside_a_version_that_came_later,
             stream_that_has_just_begun_at_a_killed_host_continues_at_its_version,
             stream_of_a_target_that_had_restarted_unnoticed_never_joins_two_versions,
             stream_of_a_target_known_to_have_restarted_continues_at_its_version,
             stream_of_a_target_that_ends_after_its_first_heartbeat_never_joins_two_versions)
