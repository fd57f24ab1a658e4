/* test_descriptors.c -- which connections give way when descriptors run short

   Guards against a host whose callers or targets take all descriptors, so that requests get no
   answer or cannot be sent. */
#include "wg_descriptors.h"
#include "wg_test.h"

enum {
    LIMIT = 1000,
    LINKS = 20,
    SHORT = 800,       /* descriptors in use from which idle connections are replaced */
    TARGETS_MAX = 900, /* descriptors in use that a connection to a target may reach */
    MAX_USED = 950,    /* and one of a caller */
    FOR_TARGETS = 250, /* left to targets at least */
    MORE_TARGETS = 100 /* left to targets beyond those in use */
};

static wg_descriptors_counts counts_of(int callers, int targets) {
    return (wg_descriptors_counts){.limit = LIMIT,
                                   .callers = callers,
                                   .callers_max = INT_MAX,
                                   .targets = targets,
                                   .links = LINKS};
}

static wg_descriptors_verdict decide(wg_descriptors_counts counts, wg_descriptors_kind kind) {
    return wg_descriptors_decide(&counts, kind);
}

/* ---- single decisions ------------------------------------------------------------------------ */

/* Idle connections must be kept while there are enough descriptors. */
START_TEST(nothing_is_closed_while_enough_is_free) {
    wg_descriptors_counts counts = counts_of(400, SHORT - LINKS - 400 - 1);
    counts.idle_targets = 50;
    counts.idle_callers = 50;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_OPEN);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_OPEN);
    counts.targets++;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_CLOSE_TARGET);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_CLOSE_TARGET);
}
END_TEST

/* A caller whose connection is closed may have sent a request meanwhile, so connections to targets
   give way first. */
START_TEST(connections_to_targets_give_way_first) {
    wg_descriptors_counts counts = counts_of(420, 390);
    counts.idle_callers = 1;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_CLOSE_CALLER);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_CLOSE_CALLER);
    counts.idle_targets = 1;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_CLOSE_TARGET);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_CLOSE_TARGET);
}
END_TEST

/* Connections to targets must not use the descriptors with which callers are answered, and neither
   kind may use the reserve. */
START_TEST(nothing_idle_refuses_at_the_limit_of_each_kind) {
    wg_descriptors_counts counts = counts_of(400, TARGETS_MAX - LINKS - 400 - 1);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_OPEN);
    counts.targets++;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_REFUSE);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_OPEN);
    counts.callers += MAX_USED - TARGETS_MAX - 1;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_OPEN);
    counts.callers++;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_REFUSE);
}
END_TEST

/* A request, or a stream in progress, whose connection broke must not fail because other callers
   took the descriptor meanwhile. */
START_TEST(further_attempt_may_use_the_part_for_answers) {
    wg_descriptors_counts counts = counts_of(460, MAX_USED - LINKS - 460 - 1);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_REFUSE);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET_AGAIN), WG_DESCRIPTORS_OPEN);
    counts.targets++;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET_AGAIN), WG_DESCRIPTORS_REFUSE);
}
END_TEST

/* A new connection in place of an idle one takes nothing from the reserve, however many links the
   host has by now. */
START_TEST(replacing_is_possible_above_the_limit) {
    wg_descriptors_counts counts = counts_of(400, 480);
    counts.links = 90;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_REFUSE);
    counts.idle_targets = 1;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_CLOSE_TARGET);
    counts.idle_targets = 0;
    counts.idle_callers = 1;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_CLOSE_CALLER);
}
END_TEST

/* Callers that hold connections and send nothing must leave descriptors to targets. */
START_TEST(callers_leave_a_part_to_targets) {
    int max = MAX_USED - LINKS - FOR_TARGETS;
    wg_descriptors_counts counts = counts_of(max - 1, 0);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_OPEN);
    counts.callers++;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_REFUSE);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_OPEN);
    counts.idle_callers = 1;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_CLOSE_CALLER);
    /* Idle connections to targets are no use of them. */
    counts.targets = counts.idle_targets = FOR_TARGETS;
    ck_assert_int_eq(wg_descriptors_callers_max(&counts), max);
    counts.targets += FOR_TARGETS - MORE_TARGETS;
    ck_assert_int_eq(wg_descriptors_callers_max(&counts), max);
    counts.targets += 100;
    ck_assert_int_eq(wg_descriptors_callers_max(&counts), max - 100);
    counts.targets += 400;
    ck_assert_int_eq(wg_descriptors_callers_max(&counts), (MAX_USED - LINKS) / 2);
}
END_TEST

/* The setting callers_max must not be raised by what the descriptors allow. */
START_TEST(setting_limits_callers_too) {
    wg_descriptors_counts counts = counts_of(100, 0);
    counts.callers_max = 100;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_REFUSE);
    counts.callers_max = 101;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_OPEN);
}
END_TEST

/* A host that does not know its limit must not refuse anything for it. */
START_TEST(unknown_limit_refuses_nothing) {
    wg_descriptors_watch watch = {0};
    wg_descriptors_counts counts = counts_of(100000, 100000);
    counts.limit = 0;
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_TARGET), WG_DESCRIPTORS_OPEN);
    ck_assert_int_eq(decide(counts, WG_DESCRIPTORS_CALLER), WG_DESCRIPTORS_OPEN);
    ck_assert_int_eq(wg_descriptors_observe(&watch, SECOND, &counts, false),
                     WG_DESCRIPTORS_UNCHANGED);
}
END_TEST

/* ---- a crowd of callers ---------------------------------------------------------------------- */

enum {
    STEPS = 6000,     /* of 1 ms */
    SETTLED = 1000,   /* step from which on the numbers are checked */
    ARRIVALS = 8,     /* callers that connect per step; two of them can be served */
    STREAM_MIN = 100, /* steps for which a stream lasts */
    STREAM_MAX = 300,
    SENDING_MAX = 40,     /* steps from a caller's connection to its complete request */
    REFUSED_STEPS = 100,  /* steps until a refused caller counts as idle */
    STREAMS_MIN = 360,    /* in progress at any time; half of all descriptors would be 440 */
    ANSWERS_MIN = 80,     /* refused callers per second that get an answer, beside 2,200 served */
    RING = STREAM_MAX + 1 /* more than the longest duration above */
};

/* Counts by the step at which they end. */
typedef struct {
    wg_descriptors_counts counts;
    int requests[RING]; /* callers that have sent their request */
    int streams[RING];  /* streams that end; their callers close */
    int idle[RING];     /* refused callers that become idle */
    uint64_t seed;
    uint64_t counter;
    int refused;
} crowd;

static int crowd_at(crowd* c, int step, int least, int most) {
    return (int)((step + wg_jitter_range(c->seed, c->counter++, least, most)) % RING);
}

static void crowd_make_room(crowd* c, wg_descriptors_verdict verdict) {
    if (verdict == WG_DESCRIPTORS_CLOSE_TARGET) {
        c->counts.targets--;
        c->counts.idle_targets--;
    } else if (verdict == WG_DESCRIPTORS_CLOSE_CALLER) {
        c->counts.callers--;
        c->counts.idle_callers--;
    }
}

static void crowd_arrive(crowd* c, int step) {
    wg_descriptors_verdict verdict = decide(c->counts, WG_DESCRIPTORS_CALLER);
    if (verdict != WG_DESCRIPTORS_REFUSE) { /* otherwise it waits in the backlog */
        crowd_make_room(c, verdict);
        c->counts.callers++;
        c->requests[crowd_at(c, step, 1, SENDING_MAX)]++;
    }
}

static void crowd_request(crowd* c, int step) {
    wg_descriptors_verdict verdict = decide(c->counts, WG_DESCRIPTORS_TARGET);
    if (verdict == WG_DESCRIPTORS_REFUSE) {
        c->refused++;
        c->idle[(step + REFUSED_STEPS) % RING]++;
        return;
    }
    crowd_make_room(c, verdict);
    c->counts.targets++;
    c->streams[crowd_at(c, step, STREAM_MIN, STREAM_MAX)]++;
}

static void crowd_step(crowd* c, int step) {
    int at = step % RING;
    c->counts.targets -= c->streams[at];
    c->counts.callers -= c->streams[at];
    c->counts.idle_callers += c->idle[at];
    for (int i = 0; i < c->requests[at]; i++) {
        crowd_request(c, step);
    }
    c->requests[at] = c->streams[at] = c->idle[at] = 0;
    for (int i = 0; i < ARRIVALS; i++) {
        crowd_arrive(c, step);
    }
    ck_assert_int_le(wg_descriptors_used(&c->counts), MAX_USED);
}

/* Callers that are accepted first must not take the descriptors that their streams need, and
   streams must not keep further callers from an answer. */
START_TEST(neither_callers_nor_targets_starve) {
    for (uint64_t seed = 1; seed <= 20; seed++) {
        crowd c = {.counts = counts_of(0, 0), .seed = seed};
        int refused_before = 0;
        for (int step = 0; step < STEPS; step++) {
            crowd_step(&c, step);
            if (step == SETTLED) {
                refused_before = c.refused;
            }
            if (step > SETTLED) {
                ck_assert_int_ge(c.counts.targets, STREAMS_MIN);
            }
        }
        ck_assert_int_ge((c.refused - refused_before) / ((STEPS - SETTLED) / 1000), ANSWERS_MIN);
    }
}
END_TEST

/* ---- begin and end of a shortage ------------------------------------------------------------- */

/* Use that goes up and down must not fill the log. */
START_TEST(shortage_is_reported_once) {
    wg_descriptors_watch watch = {0};
    wg_descriptors_counts low = counts_of(100, 100);
    wg_descriptors_counts high = counts_of(400, SHORT - LINKS - 400);
    wg_descriptors_counts between = counts_of(400, SHORT - LINKS - 400 - 1);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 1, &between, false), WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 2, &high, false), WG_DESCRIPTORS_BEGUN);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 3, &high, false), WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(watch.short_since, 2);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 10, &low, false), WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 11, &between, false), WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 12, &low, false), WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 11 + SECOND, &low, false),
                     WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 12 + SECOND, &low, false),
                     WG_DESCRIPTORS_ENDED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 13 + SECOND, &low, false),
                     WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 14 + SECOND, &high, false),
                     WG_DESCRIPTORS_BEGUN);
}
END_TEST

/* A host whose callers are at their limit, or whose accept() fails, is short whatever is in use. */
START_TEST(refusing_is_a_shortage) {
    wg_descriptors_watch watch = {0};
    wg_descriptors_counts low = counts_of(100, 100);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 1, &low, true), WG_DESCRIPTORS_BEGUN);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 2, &low, false), WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 3, &low, true), WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 4, &low, false), WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 3 + SECOND, &low, false),
                     WG_DESCRIPTORS_UNCHANGED);
    ck_assert_int_eq(wg_descriptors_observe(&watch, 4 + SECOND, &low, false), WG_DESCRIPTORS_ENDED);
}
END_TEST

/* Refused callers must not return at once, all together, or later than short requests take. */
START_TEST(retry_after_is_within_its_bounds) {
    wg_time least = WG_TIME_NEVER;
    wg_time most = 0;
    for (uint64_t i = 0; i < 1000; i++) {
        wg_time after = wg_descriptors_retry_after(7, i);
        least = MIN(least, after);
        most = MAX(most, after);
    }
    ck_assert_int_ge(least, SECOND / 2);
    ck_assert_int_lt(least, SECOND * 55 / 100); /* spread, so that callers do not return at once */
    ck_assert_int_gt(most, SECOND * 95 / 100);
    ck_assert_int_le(most, SECOND);
}
END_TEST

WG_TEST_MAIN("descriptors", nothing_is_closed_while_enough_is_free,
             connections_to_targets_give_way_first, nothing_idle_refuses_at_the_limit_of_each_kind,
             further_attempt_may_use_the_part_for_answers, replacing_is_possible_above_the_limit,
             callers_leave_a_part_to_targets, setting_limits_callers_too,
             unknown_limit_refuses_nothing, neither_callers_nor_targets_starve,
             shortage_is_reported_once, refusing_is_a_shortage, retry_after_is_within_its_bounds)
