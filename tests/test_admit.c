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

/* After random requests, ends and closed links, accounts contain running requests only. */
START_TEST(accounts_return_to_zero) {
    for (uint64_t seed = 1; seed <= 50; seed++) {
        admit = wg_admit_setup(&(wg_admit_desc){0});
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
             fresh_account_uses_the_given_floor, reading_speed_is_learnt, accounts_return_to_zero)
