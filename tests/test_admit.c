/* test_admit.c -- the coordinator of a target decides on admissions for all hosts */
#include "wg_admit.h"
#include "wg_test.h"

static const wg_admit_limits in_time = {570 * MSEC, 570 * MSEC, 180 * MSEC};

static wg_admit_request request(uint64_t holder, uint64_t ticket, uint32_t own) {
    return (wg_admit_request){.holder = holder,
                              .ticket = ticket,
                              .target = 7,
                              .parts = {100, 200},
                              .sizes = {2500, 3800},
                              .parts_num = 2,
                              .tokens = 6300 + own,
                              .answer = 50,
                              .memory = 200000,
                              .limits = in_time};
}

static wg_admit* admit;

static wg_admit_answer decide(wg_time now, uint64_t holder, uint64_t ticket) {
    wg_admit_request r = request(holder, ticket, 2900);
    return wg_admit_decide(admit, now, &r);
}

/* Admissions to many hosts at once must not exceed what the target can read in time. */
START_TEST(admissions_to_many_hosts_are_bounded) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    int granted = 0;
    uint64_t unread = 0;
    for (uint64_t holder = 1; holder <= 69; holder++) {
        wg_admit_answer answer = decide(0, holder, 1);
        granted += answer.granted;
        unread += answer.granted ? answer.unread : 0;
    }
    ck_assert_int_ge(granted, 3);
    ck_assert_uint_le(unread, 17100); /* tokens: 570 ms at 30 tokens/ms */
    ck_assert_int_eq(wg_admit_num(admit), granted);
    wg_admit_shutdown(admit);
}
END_TEST

START_TEST(shared_parts_are_read_once) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    ck_assert_uint_eq(decide(0, 1, 1).unread, 9200);
    wg_admit_answer second = decide(1, 2, 1);
    ck_assert_uint_eq(second.unread, 2900);
    ck_assert_uint_eq(second.held, 6300);
    ck_assert_uint_eq(second.ahead, 9200);
    wg_admit_shutdown(admit);
}
END_TEST

/* A new coordinator takes the parts that the target reports as cached into its account. */
START_TEST(fresh_account_includes_reported_parts) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    const uint64_t first_only[] = {100, 999};
    wg_admit_record_held_parts(admit, 0, 7, first_only, 2);
    ck_assert_uint_eq(decide(0, 1, 1).held, 2500);
    const uint64_t both[] = {100, 200};
    wg_admit_record_held_parts(admit, 0, 8, both, 2);
    wg_admit_request r = request(1, 2, 2900);
    r.target = 8;
    wg_admit_answer answer = wg_admit_decide(admit, 0, &r);
    ck_assert_uint_eq(answer.held, 6300);
    ck_assert_uint_eq(answer.unread, 2900);
    wg_admit_shutdown(admit);
}
END_TEST

/* A cold target gets no more than its rate in any second. */
START_TEST(admissions_to_a_cold_target_keep_its_rate) {
    enum {
        HOSTS = 90,
        STEPS = 4000 /* milliseconds */
    };
    admit = wg_admit_setup(&(wg_admit_desc){0});
    wg_time grants[STEPS];
    int num = 0;
    for (int ms = 0; ms < STEPS; ms++) {
        wg_admit_request r = request((uint64_t)ms % HOSTS, (uint64_t)ms, 10);
        r.limits = (wg_admit_limits){WG_TIME_NEVER, WG_TIME_NEVER, WG_TIME_NEVER, false};
        r.rate_max = 9.8;
        if (wg_jitter(5, (uint64_t)ms) % 3 && wg_admit_decide(admit, ms * MSEC, &r).granted) {
            grants[num++] = ms * MSEC;
        }
    }
    for (int i = 9; i < num; i++) {
        ck_assert_int_gt(grants[i] - grants[i - 9], SECOND);
    }
    ck_assert_int_ge(num, 9 * STEPS / 1000);
    wg_admit_request warm = request(1, STEPS, 10);
    warm.limits = (wg_admit_limits){WG_TIME_NEVER, WG_TIME_NEVER, WG_TIME_NEVER, false};
    ck_assert(wg_admit_decide(admit, STEPS * MSEC, &warm).granted);
    wg_admit_shutdown(admit);
}
END_TEST

/* Two hosts that both take themselves for the coordinator together stay within a bound. */
START_TEST(two_coordinators_keep_a_cold_target_bounded) {
    static const double rates[] = {0.5, 1, 3, 9.8, 10, 30, 400};
    for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
        int granted = 0;
        for (int coordinator = 0; coordinator < 2; coordinator++) {
            admit = wg_admit_setup(&(wg_admit_desc){0});
            for (int ms = 0; ms < 1000; ms++) {
                wg_admit_request r = request(1, (uint64_t)ms, 10);
                r.limits = (wg_admit_limits){WG_TIME_NEVER, WG_TIME_NEVER, WG_TIME_NEVER, false};
                r.rate_max = rates[i];
                granted += wg_admit_decide(admit, ms * MSEC, &r).granted;
            }
            wg_admit_shutdown(admit);
        }
        ck_assert_int_le(granted, (int)(1.5 * rates[i] + 5));
        ck_assert_int_ge(granted, (int)(1.5 * rates[i]));
    }
}
END_TEST

/* Cached parts are evicted in order of last use, as in engines. */
START_TEST(least_recently_used_parts_are_evicted) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    decide(0, 1, 1);
    wg_admit_first_event(admit, SECOND, 1, 1);
    for (uint64_t i = 2; i < 30; i++) {
        wg_admit_request other = request(1, i, 6000);
        other.parts[0] = 1000 + i;
        other.parts_num = 1;
        other.limits = (wg_admit_limits){WG_TIME_NEVER, WG_TIME_NEVER, WG_TIME_NEVER};
        ck_assert(wg_admit_decide(admit, SECOND, &other).granted);
        wg_admit_end(admit, SECOND, 1, i, false);
    }
    ck_assert_uint_eq(decide(2 * SECOND, 2, 1).held, 0);
    wg_admit_shutdown(admit);
}
END_TEST

START_TEST(copied_parts_are_not_read) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    wg_admit_request r = request(1, 1, 2900);
    r.copied = 6300;
    ck_assert_uint_eq(wg_admit_decide(admit, 0, &r).unread, 2900);
    wg_admit_shutdown(admit);
}
END_TEST

START_TEST(refusal_reserves_nothing) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    ck_assert(decide(0, 9, 9).granted);
    wg_admit_request r = request(1, 1, 2900);
    r.parts[0] = 300;
    r.limits.ahead = r.limits.total = r.limits.ahead_large = 1;
    ck_assert(!wg_admit_decide(admit, 0, &r).granted);
    ck_assert_int_eq(wg_admit_num(admit), 1);
    r.limits = in_time;
    wg_admit_answer next = wg_admit_decide(admit, 0, &r);
    ck_assert_uint_eq(next.ahead, 9200);
    ck_assert_uint_eq(next.held, 0);
    wg_admit_shutdown(admit);
}
END_TEST

/* With `counts_missing`, shared parts that the target would have to read count against the limit.
 */
START_TEST(shared_parts_can_count_as_ahead) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    wg_admit_request r = request(1, 1, 2900);
    r.limits.ahead = 30 * MSEC;
    r.limits.counts_missing = true;
    /* The 6300 shared tokens take longer than the limit. */
    ck_assert(!wg_admit_decide(admit, 0, &r).granted);
    r.copied = 6300;
    ck_assert(wg_admit_decide(admit, 0, &r).granted);
    wg_admit_end(admit, 0, 1, 1, false);
    r.copied = 0; /* the target holds the shared parts now */
    ck_assert(wg_admit_decide(admit, 0, &r).granted);
    wg_admit_shutdown(admit);
}
END_TEST

/* A prompt too large to be in time is still admitted if little is ahead of it. */
START_TEST(large_prompts_have_a_limit_of_their_own) {
    ck_assert(wg_admit_fits(&in_time, 2000 * MSEC, 100 * MSEC));
    ck_assert(!wg_admit_fits(&in_time, 2000 * MSEC, 200 * MSEC));
    ck_assert(wg_admit_fits(&in_time, 560 * MSEC, 500 * MSEC));
    ck_assert(!wg_admit_fits(&in_time, 600 * MSEC, 500 * MSEC));
    const wg_admit_limits none = {.total = 570 * MSEC};
    ck_assert(!wg_admit_fits(&none, 100 * MSEC, 0)); /* no wait tolerance: nothing is admitted */
}
END_TEST

/* The coordinator ejects a target after three failures on any hosts, for a period that doubles. */
START_TEST(failing_target_is_ejected) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    for (uint32_t target = 1; target <= 7; target++) {
        wg_admit_request r = request(9, target, 100);
        r.target = target;
        ck_assert(wg_admit_decide(admit, 0, &r).granted);
    }
    for (uint64_t holder = 1; holder <= 3; holder++) {
        ck_assert(decide(0, holder, 1).granted);
        wg_admit_end(admit, 0, holder, 1, true);
    }
    ck_assert(!decide(100 * MSEC, 4, 1).granted);
    ck_assert(decide(400 * MSEC, 4, 1).granted); /* ejection period is over */
    wg_admit_end(admit, 400 * MSEC, 4, 1, true);
    ck_assert(!decide(900 * MSEC, 4, 2).granted); /* second, longer ejection */
    ck_assert(decide(1100 * MSEC, 4, 2).granted);
    /* The first event resets the failure count, so one more failure ejects nothing. */
    wg_admit_first_event(admit, 1200 * MSEC, 4, 2);
    wg_admit_end(admit, 1200 * MSEC, 4, 2, true);
    ck_assert(decide(1210 * MSEC, 4, 3).granted);
    wg_admit_shutdown(admit);
}
END_TEST

/* If all targets fail, ejection would leave none. */
START_TEST(no_target_is_ejected_if_all_fail) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    for (uint32_t target = 1; target <= 4; target++) {
        for (uint64_t ticket = 1; ticket <= 3; ticket++) {
            wg_admit_request r = request(1, ticket, 100);
            r.target = target;
            wg_admit_decide(admit, 0, &r);
            wg_admit_end(admit, 0, 1, ticket, true);
        }
    }
    wg_admit_request r = request(1, 9, 100);
    r.target = 1;
    ck_assert(wg_admit_decide(admit, 1, &r).granted);
    wg_admit_shutdown(admit);
}
END_TEST

START_TEST(slots_limit_running_requests) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    wg_admit_request r = request(1, 1, 10);
    r.running_max = 1;
    ck_assert(wg_admit_decide(admit, 0, &r).granted);
    r.ticket = 2;
    ck_assert(!wg_admit_decide(admit, 0, &r).granted);
    wg_admit_end(admit, 0, 1, 1, false);
    ck_assert(wg_admit_decide(admit, 0, &r).granted);
    wg_admit_shutdown(admit);
}
END_TEST

/* A new coordinator does not know earlier admissions and uses `floor_unread` until it does. */
START_TEST(fresh_account_uses_the_given_floor) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    wg_admit_request r = request(1, 1, 2900);
    r.floor_unread = 4000;
    ck_assert_uint_eq(wg_admit_decide(admit, 0, &r).ahead, 4000);
    r.ticket = 2;
    ck_assert_uint_eq(wg_admit_decide(admit, 2 * SECOND, &r).ahead, 9200);
    wg_admit_shutdown(admit);
}
END_TEST

START_TEST(reading_speed_is_learnt) {
    admit = wg_admit_setup(&(wg_admit_desc){0});
    wg_time before = decide(0, 1, 1000).wait;
    wg_admit_end(admit, 0, 1, 1000, false);
    for (uint64_t i = 1; i < 200; i++) {
        wg_admit_request r = request(1, i, 2900);
        r.parts_num = 0;
        wg_admit_decide(admit, (wg_time)i * SECOND, &r);
        wg_admit_first_event(admit, (wg_time)i * SECOND + 920 * MSEC, 1, i); /* 10 tokens/ms */
        wg_admit_end(admit, SECOND, 1, i, false);
    }
    wg_admit_request r = request(1, 1000, 2900);
    r.parts_num = 0;
    ck_assert(wg_admit_decide(admit, 300 * SECOND, &r).wait > 2 * before);
    wg_admit_shutdown(admit);
}
END_TEST

/* ---- with learn_base: base time and speed are learned, stalls are detected ---- */

/* What the target of the first deployment needs, in microseconds. */
static wg_time first_event_time(uint32_t tokens) {
    return 47 * MSEC + (wg_time)(tokens / 0.112);
}

static void begin_learning(void) {
    admit = wg_admit_setup(&(wg_admit_desc){.learn_base = true});
}

static wg_admit_request plain_prompt(uint64_t ticket, uint32_t target, uint32_t tokens) {
    return (wg_admit_request){.holder = 1,
                              .ticket = ticket,
                              .target = target,
                              .service = 5,
                              .tokens = tokens,
                              .limits = {WG_TIME_NEVER, WG_TIME_NEVER, WG_TIME_NEVER, false}};
}

static uint64_t last_ticket;

static wg_admit_answer admit_prompt(wg_time now, uint32_t target, uint32_t tokens) {
    wg_admit_request r = plain_prompt(++last_ticket, target, tokens);
    return wg_admit_decide(admit, now, &r);
}

/* Lets the target read `num` prompts of different sizes, one after the other, until before `now`.
 */
static void learn(wg_time now, uint32_t target, int num) {
    static const uint32_t sizes[] = {830, 12000, 2400};
    for (int i = 0; i < num; i++) {
        wg_time at = now - (num - i) * SECOND;
        uint32_t tokens = sizes[i % 3];
        ck_assert(admit_prompt(at, target, tokens).granted);
        wg_admit_first_event(admit, at + first_event_time(tokens), 1, last_ticket);
        wg_admit_end(admit, at + SECOND, 1, last_ticket, false);
    }
}

/* Expected wait of a prompt that is not admitted. */
static wg_admit_answer ask(wg_time now, uint32_t target, uint32_t tokens) {
    wg_admit_request r = plain_prompt(0, target, tokens);
    r.limits = (wg_admit_limits){0};
    return wg_admit_decide(admit, now, &r);
}

static void check_wait(wg_time wait, wg_time expected) {
    ck_assert_int_ge(wait, expected - expected / 8);
    ck_assert_int_le(wait, expected + expected / 8);
}

/* With a fixed base time, short prompts were expected 31 ms too early and long ones 137 ms too
   late. */
START_TEST(base_time_and_speed_are_learned) {
    begin_learning();
    learn(100 * SECOND, 7, 21);
    check_wait(ask(100 * SECOND, 7, 830).wait, first_event_time(830));
    check_wait(ask(100 * SECOND, 7, 12000).wait, first_event_time(12000));
    ck_assert_uint_eq(ask(100 * SECOND, 7, 830).speed.samples, 21);
    wg_admit_shutdown(admit);
}
END_TEST

/* Under load each prompt waits for those before it. Without their tokens a target under load would
   look as if it had a long base time. */
START_TEST(samples_include_the_prompts_ahead) {
    begin_learning();
    wg_time at = 0;
    for (int round = 0; round < 30; round++, at += 2 * SECOND) {
        uint64_t first = last_ticket + 1;
        for (uint32_t i = 1; i <= 4; i++) {
            ck_assert_uint_eq(admit_prompt(at, 7, 2400).ahead, (i - 1) * 2400);
        }
        for (uint32_t i = 1; i <= 4; i++) {
            wg_admit_first_event(admit, at + first_event_time(i * 2400), 1, first + i - 1);
        }
        for (uint32_t i = 1; i <= 4; i++) {
            wg_admit_end(admit, at + SECOND, 1, first + i - 1, false);
        }
    }
    check_wait(ask(at, 7, 830).wait, first_event_time(830));
    check_wait(ask(at, 7, 12000).wait, first_event_time(12000));
    wg_admit_shutdown(admit);
}
END_TEST

/* A prompt that the target has read in part counts with the rest only. */
START_TEST(partly_read_prompts_count_in_part) {
    begin_learning();
    wg_time now = 100 * SECOND;
    learn(now, 7, 60);
    ck_assert(admit_prompt(now, 7, 12000).granted);
    wg_admit_answer answer = ask(now + 60 * MSEC, 7, 830);
    ck_assert_uint_eq(answer.ahead, 12000);
    check_wait(answer.wait, first_event_time(12000 + 830) - 60 * MSEC);
    check_wait(answer.wait_ahead, first_event_time(12000) - 107 * MSEC);
    /* Read, but the first event is not there yet. */
    check_wait(ask(now + 110 * MSEC, 7, 830).wait, first_event_time(830));
    /* The caller leaves: the prompt is not read any more. */
    wg_admit_end(admit, now + 10 * MSEC, 1, last_ticket, false);
    check_wait(ask(now + 10 * MSEC, 7, 830).wait, first_event_time(830));
    wg_admit_shutdown(admit);
}
END_TEST

enum {
    QUEUE_MAX = 2000
};

/* Half of the target's capacity arrives at random times, and it reads one prompt after the other.
   Without regard to what it has read already, it looked 1.7 times as fast as it is, and long
   prompts were expected up to 70 ms too early. */
START_TEST(load_does_not_distort_the_speed) {
    for (uint64_t seed = 1; seed <= 10; seed++) {
        static const uint32_t sizes[] = {830, 830, 2400, 20000};
        static wg_time events_at[QUEUE_MAX];
        wg_time now = SECOND;
        wg_time free_at = 0;
        uint64_t counter = 0;
        int next = 0;
        begin_learning();
        for (int i = 0; i < QUEUE_MAX; i++) {
            now += wg_jitter_range(seed, ++counter, 0, 215 * MSEC); /* 107 ms in the mean */
            for (; next < i && events_at[next] <= now; next++) {
                wg_admit_first_event(admit, events_at[next], 1, (uint64_t)next);
                wg_admit_end(admit, events_at[next] + 3 * MSEC, 1, (uint64_t)next, false);
            }
            uint32_t tokens = sizes[wg_jitter_range(seed, ++counter, 0, 3)];
            wg_admit_request r = plain_prompt((uint64_t)i, 7, tokens);
            ck_assert(wg_admit_decide(admit, now, &r).granted);
            free_at = MAX(free_at, now) + (wg_time)(tokens / 0.112);
            events_at[i] = free_at + 47 * MSEC;
            if (i > 100) {
                wg_speed_values values = ask(now, 7, 1).speed;
                ck_assert_double_le(values.speed, 0.112 * 1.25);
                ck_assert_double_ge(values.speed, 0.112 * 0.8);
                ck_assert_double_le(values.base, 70 * MSEC);
                ck_assert_double_ge(values.base, 30 * MSEC);
            }
        }
        wg_admit_shutdown(admit);
    }
}
END_TEST

/* The time of an answer that comes at once contains its generation. Taken for reading, it would
   make the target look slow, and its prompts late. */
START_TEST(answers_at_once_are_no_samples) {
    begin_learning();
    learn(100 * SECOND, 7, 21);
    wg_admit_answer before = ask(100 * SECOND, 7, 2400);
    for (int i = 0; i < 50; i++) {
        wg_time at = (200 + 10 * i) * SECOND;
        ck_assert(admit_prompt(at, 7, 2400).granted);
        wg_admit_first_event(admit, at + 2 * SECOND, 1, last_ticket);
        wg_admit_end(admit, at + 2 * SECOND + 100, 1, last_ticket, false);
    }
    wg_admit_answer after = ask(1000 * SECOND, 7, 2400);
    ck_assert_int_eq(after.wait, before.wait);
    ck_assert_uint_eq(after.speed.samples, before.speed.samples);
    wg_admit_shutdown(admit);
}
END_TEST

/* A coordinator is lost: the next one starts from what hosts were told, and not from the default
   values, with which half of the long prompts were refused. */
START_TEST(change_of_coordinator_keeps_the_speed) {
    begin_learning();
    learn(100 * SECOND, 7, 60);
    wg_admit_answer told = ask(100 * SECOND, 7, 12000);
    wg_admit_shutdown(admit);
    begin_learning();
    wg_admit_request r = plain_prompt(++last_ticket, 7, 12000);
    r.speed = told.speed;
    wg_admit_answer first = wg_admit_decide(admit, 0, &r);
    ck_assert_int_eq(first.wait, told.wait);
    ck_assert_uint_eq(first.speed.samples, told.speed.samples);
    /* A host that knows less, or nothing, changes nothing. */
    r.speed.samples--;
    r.speed.base *= 2;
    ck_assert_int_eq(wg_admit_decide(admit, 0, &r).speed.base, first.speed.base);
    r.speed = (wg_speed_values){0};
    ck_assert_int_eq(wg_admit_decide(admit, 0, &r).speed.base, first.speed.base);
    wg_admit_shutdown(admit);
}
END_TEST

/* Guards against default values where the speed of similar targets is known, and against the mean
   of another service. */
START_TEST(new_target_starts_from_the_mean_of_its_service) {
    begin_learning();
    learn(100 * SECOND, 7, 60);
    learn(100 * SECOND, 8, 60);
    check_wait(ask(100 * SECOND, 9, 12000).wait, first_event_time(12000));
    wg_admit_request other = plain_prompt(++last_ticket, 10, 3000);
    other.service = 6;
    ck_assert_int_eq(wg_admit_decide(admit, 100 * SECOND, &other).wait, 112 * MSEC);
    wg_admit_shutdown(admit);
}
END_TEST

/* A target that stops reading was only noticed once its prompts had failed. */
START_TEST(stall_adds_to_every_expected_wait) {
    wg_admit_stall changes[4];
    wg_time now = 100 * SECOND;
    begin_learning();
    learn(now, 7, 30);
    learn(now, 8, 30);
    wg_admit_answer before = ask(now, 7, 830);
    ck_assert_int_eq(before.late, 0);
    wg_time wait = admit_prompt(now, 7, 2400).wait;
    uint64_t oldest = last_ticket;
    admit_prompt(now, 8, 2400);
    wg_admit_first_event(admit, now + wait, 1, last_ticket);
    ck_assert_int_eq(ask(now + wait, 7, 830).late, 0);
    ck_assert_int_eq(wg_admit_check_stalls(admit, now + wait + 100 * MSEC, changes, 4), 0);
    now += wait + 200 * MSEC;
    wg_admit_request late = plain_prompt(0, 7, 830);
    late.limits = (wg_admit_limits){240 * MSEC, 240 * MSEC, 240 * MSEC, false};
    wg_admit_answer answer = wg_admit_decide(admit, now, &late);
    ck_assert(!answer.granted);
    ck_assert_int_eq(answer.late, 200 * MSEC);
    ck_assert_int_ge(answer.wait_ahead, 200 * MSEC);
    ck_assert_int_ge(answer.wait, before.wait + 200 * MSEC);
    ck_assert_int_eq(ask(now, 8, 830).late, 0); /* the other target is not affected */
    ck_assert_int_eq(wg_admit_check_stalls(admit, now, changes, 4), 1);
    ck_assert_uint_eq(changes[0].target, 7);
    ck_assert(changes[0].stalled);
    ck_assert_int_eq(changes[0].late, 200 * MSEC);
    wg_admit_first_event(admit, now, 1, oldest);
    late.ticket = ++last_ticket;
    ck_assert(wg_admit_decide(admit, now, &late).granted);
    ck_assert_int_eq(wg_admit_check_stalls(admit, now, changes, 4), 0);
    wg_admit_end(admit, now, 1, late.ticket, false);
    ck_assert_int_eq(wg_admit_check_stalls(admit, now + 199 * MSEC, changes, 4), 0);
    ck_assert_int_eq(wg_admit_check_stalls(admit, now + 200 * MSEC, changes, 4), 1);
    ck_assert(!changes[0].stalled);
    ck_assert_int_eq(changes[0].duration, 200 * MSEC);
    wg_admit_shutdown(admit);
}
END_TEST

/* A target that stalls again and again must not flood the log. */
START_TEST(stalls_are_reported_once_a_second) {
    enum {
        PERIOD = 700 * WG_USEC_PER_MSEC /* between the starts of two stalls */
    };
    wg_admit_stall changes[4];
    begin_learning();
    learn(100 * SECOND, 7, 60);
    int stalls = 0;
    int recoveries = 0;
    for (wg_time now = 100 * SECOND; now < 108 * SECOND; now += PERIOD) {
        wg_time read_at = admit_prompt(now, 7, 830).wait + 250 * MSEC;
        uint64_t ticket = last_ticket;
        for (wg_time at = 0; at < PERIOD; at += 50 * MSEC) {
            if (at >= read_at) {
                wg_admit_end(admit, now + at, 1, ticket, false);
            }
            int num = wg_admit_check_stalls(admit, now + at, changes, 4);
            stalls += num > 0 && changes[0].stalled;
            recoveries += num > 0 && !changes[0].stalled;
        }
    }
    ck_assert_int_ge(stalls, 4);
    ck_assert_int_le(stalls, 8);
    ck_assert_int_ge(recoveries, stalls - 1);
    ck_assert_int_le(recoveries, stalls);
    wg_admit_shutdown(admit);
}
END_TEST

/* One prompt that the target lost, or whose host stands still, must not take the target out of
   use. */
START_TEST(single_late_prompt_is_no_stall) {
    begin_learning();
    learn(100 * SECOND, 7, 30);
    wg_time now = 100 * SECOND;
    wg_time wait = admit_prompt(now, 7, 2400).wait;
    uint64_t lost = last_ticket;
    admit_prompt(now, 7, 830);
    wg_admit_first_event(admit, now + 100 * MSEC, 1, last_ticket);
    ck_assert_int_eq(ask(now + SECOND, 7, 830).late, 0); /* overtaken */
    wg_admit_end(admit, now + SECOND, 1, lost, false);
    now += 2 * SECOND;
    wait = admit_prompt(now, 7, 830).wait;
    ck_assert_int_eq(ask(now + wait + 3 * SECOND, 7, 830).late, 3 * SECOND);
    ck_assert_int_eq(ask(now + wait + 3 * SECOND + 1, 7, 830).late, 0);
    wg_admit_shutdown(admit);
}
END_TEST

/* A prompt is not late while the speed is not known, and a request without a prompt never is. */
START_TEST(lateness_needs_samples_and_a_prompt) {
    begin_learning();
    admit_prompt(0, 7, 830);
    ck_assert_int_eq(ask(SECOND, 7, 830).late, 0);
    learn(100 * SECOND, 8, 30);
    admit_prompt(100 * SECOND, 8, 0);
    ck_assert_int_eq(ask(101 * SECOND, 8, 830).late, 0);
    wg_admit_shutdown(admit);
}
END_TEST

/* Without learn_base nothing is learned but the speed of large prompts, and nothing stalls. */
START_TEST(fixed_base_ignores_lateness_and_stated_values) {
    wg_admit_stall changes[4];
    admit = wg_admit_setup(&(wg_admit_desc){0});
    wg_admit_request r = plain_prompt(++last_ticket, 7, 1400);
    r.speed = (wg_speed_values){47000, 0.112, 100};
    ck_assert_int_eq(wg_admit_decide(admit, 0, &r).wait, 12 * MSEC + (wg_time)(1400 / 0.030));
    wg_admit_answer answer = ask(SECOND, 7, 0);
    ck_assert_int_eq(answer.late, 0);
    ck_assert_uint_eq(answer.speed.samples, 0);
    ck_assert_int_eq(wg_admit_check_stalls(admit, SECOND, changes, 4), 0);
    wg_admit_first_event(admit, SECOND, 1, last_ticket);
    wg_admit_end(admit, SECOND, 1, last_ticket, false);
    for (int i = 0; i < 300; i++) {
        admit_prompt(2 * SECOND, 7, 15000);
        wg_admit_first_event(admit, 2 * SECOND + 20 * MSEC, 1, last_ticket);
        wg_admit_end(admit, 2 * SECOND + 20 * MSEC, 1, last_ticket, false);
    }
    ck_assert_int_ge(ask(3 * SECOND, 7, 8000).wait, 112 * MSEC); /* 80 tokens per ms at most */
    wg_admit_shutdown(admit);
}
END_TEST

/* After random requests, ends and closed links, accounts contain running requests only. */
START_TEST(accounts_return_to_zero) {
    for (uint64_t seed = 1; seed <= 50; seed++) {
        admit = wg_admit_setup(&(wg_admit_desc){.learn_base = seed % 2});
        wg_admit_stall changes[5];
        uint64_t counter = 0;
        for (int step = 0; step < 3000; step++) {
            uint64_t holder = wg_jitter(seed, ++counter) % 9 + 1;
            uint64_t ticket = wg_jitter(seed, ++counter) % 40;
            wg_admit_request r = request(holder, ticket, wg_jitter(seed, ++counter) % 9000);
            r.target = wg_jitter(seed, ++counter) % 5 + 1;
            r.parts[1] = wg_jitter(seed, ++counter) % 60;
            switch (wg_jitter(seed, ++counter) % 8) {
            case 0:
                wg_admit_release_holder(admit, holder);
                break;
            case 1:
            case 2:
                wg_admit_first_event(admit, step * 10 * MSEC, holder, ticket);
                break;
            case 3:
            case 4:
                wg_admit_end(admit, step * 10 * MSEC, holder, ticket, false);
                break;
            default:
                wg_admit_decide(admit, step * 10 * MSEC, &r);
                break;
            }
            wg_admit_check_stalls(admit, step * 10 * MSEC, changes, 5);
        }
        for (uint64_t holder = 1; holder <= 9; holder++) {
            wg_admit_release_holder(admit, holder);
        }
        ck_assert_int_eq(wg_admit_num(admit), 0);
        for (uint32_t target = 1; target <= 5; target++) {
            wg_admit_request r = request(1, 1, 2900);
            r.target = target;
            wg_admit_answer answer = wg_admit_decide(admit, 100 * SECOND, &r);
            ck_assert_uint_eq(answer.ahead, 0);
            ck_assert_uint_eq(answer.running, 0);
            ck_assert_int_eq(answer.late, 0);
            wg_admit_end(admit, 0, 1, 1, false);
        }
        wg_admit_shutdown(admit);
    }
}
END_TEST

WG_TEST_MAIN("admit", fresh_account_includes_reported_parts, admissions_to_many_hosts_are_bounded,
             admissions_to_a_cold_target_keep_its_rate, two_coordinators_keep_a_cold_target_bounded,
             shared_parts_are_read_once, least_recently_used_parts_are_evicted,
             copied_parts_are_not_read, refusal_reserves_nothing, shared_parts_can_count_as_ahead,
             large_prompts_have_a_limit_of_their_own, failing_target_is_ejected,
             no_target_is_ejected_if_all_fail, slots_limit_running_requests,
             fresh_account_uses_the_given_floor, reading_speed_is_learnt, accounts_return_to_zero,
             base_time_and_speed_are_learned, samples_include_the_prompts_ahead,
             partly_read_prompts_count_in_part, load_does_not_distort_the_speed,
             answers_at_once_are_no_samples, change_of_coordinator_keeps_the_speed,
             new_target_starts_from_the_mean_of_its_service, stall_adds_to_every_expected_wait,
             stalls_are_reported_once_a_second, single_late_prompt_is_no_stall,
             lateness_needs_samples_and_a_prompt, fixed_base_ignores_lateness_and_stated_values)
