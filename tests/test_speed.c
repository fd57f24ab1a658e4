/* test_speed.c -- base time and reading speed of a target are learned from its first events */
#include "wg_speed.h"
#include "wg_test.h"

#include <math.h>

/* A target as seen by its coordinator; times in microseconds. */
typedef struct {
    double base;
    double speed;    /* tokens per microsecond */
    bool stalls;     /* 2.5 times slower for 0.6 s, 15% of the time */
    wg_time between; /* time between two prompts */
} target;

static const target first_target = {.base = 47000, .speed = 0.112, .between = 60 * MSEC};
static const target second_target = {.base = 13000, .speed = 0.057, .between = 60 * MSEC};

static uint64_t counter;

/* Prompt sizes of the load that showed the fault: short ones, ones with short answers, long ones.
 */
static double mixed_tokens(uint64_t seed) {
    switch (wg_jitter(seed, ++counter) % 3) {
    case 0:
        return (double)wg_jitter_range(seed, ++counter, 400, 1300);
    case 1:
        return (double)wg_jitter_range(seed, ++counter, 1800, 3000);
    default:
        return (double)wg_jitter_range(seed, ++counter, 2000, 22000);
    }
}

static double true_time(const target* t, double tokens) {
    return t->base + tokens / t->speed;
}

/* Time of a prompt, with a spread of 5%. */
static wg_time sample_time(const target* t, uint64_t seed, int i, double tokens) {
    double factor = (double)wg_jitter_range(seed, ++counter, 950, 1050) / 1000;
    bool stalled = t->stalls && i * t->between % (4 * SECOND) < 600 * MSEC;
    return (wg_time)(true_time(t, tokens) * factor * (stalled ? 2.5 : 1));
}

/* Records `num` samples; `tokens` 0: mixed sizes. */
static void learn(wg_speed* s, const target* t, uint64_t seed, int num, double tokens) {
    for (int i = 0; i < num; i++) {
        double size = tokens > 0 ? tokens : mixed_tokens(seed);
        wg_speed_record(s, size, sample_time(t, seed, i, size));
    }
}

static wg_speed setup(bool learn_base) {
    wg_speed s;
    wg_speed_setup(&s, &(wg_speed_desc){.learn_base = learn_base});
    return s;
}

/* Checks predictions from a prompt that is cached up to one of 60,000 tokens. */
static void check_predictions(const wg_speed* s, const target* t, double share) {
    static const double sizes[] = {0, 830, 2400, 12000, 60000};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        double expected = true_time(t, sizes[i]);
        double error = fabs((double)wg_speed_wait(s, sizes[i]) - expected);
        ck_assert_msg(error <= share * expected + 5 * MSEC,
                      "%.0f tokens: predicted %.1f ms, needs %.1f ms", sizes[i],
                      (double)wg_speed_wait(s, sizes[i]) / MSEC, expected / MSEC);
    }
}

/* Prompts were expected 31 ms too early (short) to 137 ms too late (long) with a fixed base time
   and a bounded speed. */
START_TEST(few_mixed_samples_are_enough) {
    for (uint64_t seed = 1; seed <= 50; seed++) {
        wg_speed first = setup(true);
        learn(&first, &first_target, seed, 20, 0);
        check_predictions(&first, &first_target, 0.12);
        wg_speed second = setup(true);
        learn(&second, &second_target, seed, 20, 0);
        check_predictions(&second, &second_target, 0.12);
    }
}
END_TEST

/* A base time of zero, a slow target and a fast one are within the bounds. */
START_TEST(extreme_targets_are_learned) {
    static const target targets[] = {{0, 0.5, false, 0}, {150000, 0.9, false, 0}, {5000, 0.004}};
    for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
        wg_speed s = setup(true);
        learn(&s, &targets[i], 7, 100, 0);
        check_predictions(&s, &targets[i], 0.12);
    }
}
END_TEST

/* Samples of one size cannot tell base time and speed apart; the sums are nearly singular. */
START_TEST(samples_of_one_size_stay_stable) {
    static const double sizes[] = {20, 830, 12000};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        wg_speed s = setup(true);
        learn(&s, &first_target, 3, 5000, sizes[i]);
        double expected = true_time(&first_target, sizes[i]);
        ck_assert_double_le(fabs((double)wg_speed_wait(&s, sizes[i]) - expected), expected / 20);
        wg_speed_values values = wg_speed_values_of(&s);
        ck_assert_double_le(values.base, 80 * MSEC);
        ck_assert_double_ge(values.speed, 0.02);
        ck_assert_double_le(values.speed, 0.2);
        learn(&s, &first_target, 4, 60, 0);
        check_predictions(&s, &first_target, 0.12);
    }
}
END_TEST

/* Samples of one size leave the speed that was learned from several sizes in place. */
START_TEST(one_size_keeps_what_was_learned) {
    wg_speed s = setup(true);
    learn(&s, &first_target, 5, 100, 0);
    learn(&s, &first_target, 5, 5000, 830);
    check_predictions(&s, &first_target, 0.25);
}
END_TEST

/* A target that is 2.5 times slower for 15% of the time must not look like one with a long base
   time: expected waits would exceed the objectives, and all prompts would be refused. */
START_TEST(stalls_do_not_change_the_base) {
    for (uint64_t seed = 1; seed <= 30; seed++) {
        target t = first_target;
        t.stalls = true;
        wg_speed s = setup(true);
        for (int i = 0; i < 1500; i++) {
            double size = mixed_tokens(seed);
            wg_speed_record(&s, size, sample_time(&t, seed, i, size));
            if (i >= 100) {
                check_predictions(&s, &t, 0.5);
            }
        }
    }
}
END_TEST

/* Guards against a lasting speed change that is taken for outliers or a stall. */
START_TEST(change_of_speed_is_followed) {
    for (uint64_t seed = 1; seed <= 30; seed++) {
        wg_speed s = setup(true);
        learn(&s, &first_target, seed, 300, 0);
        target slower = first_target;
        slower.speed /= 2.5;
        learn(&s, &slower, seed, 150, 0);
        check_predictions(&s, &slower, 0.2);
        learn(&s, &first_target, seed, 150, 0);
        check_predictions(&s, &first_target, 0.2);
    }
}
END_TEST

/* Whatever the samples are, values stay within the bounds and are numbers. */
START_TEST(values_stay_within_bounds) {
    wg_speed s = setup(true);
    for (int i = 0; i < 20000; i++) {
        double tokens = (double)wg_jitter_range(9, ++counter, 0, 100000);
        wg_time time = wg_jitter_range(9, ++counter, -MSEC, 30 * SECOND);
        wg_speed_record(&s, i % 7 == 0 ? 0 : tokens, i % 5 == 0 ? 1 : time);
        wg_speed_values values = wg_speed_values_of(&s);
        ck_assert_double_ge(values.base, 0);
        ck_assert_double_le(values.base, 200 * MSEC);
        ck_assert_double_ge(values.speed, 0.002);
        ck_assert_double_le(values.speed, 1.0);
        ck_assert_uint_le(values.samples, WG_SPEED_SAMPLES_MAX);
    }
}
END_TEST

/* The next coordinator continues from what the last one learned, and forgets it with its own
   samples. */
START_TEST(adopted_values_continue) {
    wg_speed old = setup(true);
    learn(&old, &first_target, 11, 200, 0);
    wg_speed_values values = wg_speed_values_of(&old);
    ck_assert_uint_eq(values.samples, WG_SPEED_SAMPLES_MAX);
    wg_speed next = setup(true);
    ck_assert(wg_speed_adopt(&next, &values));
    ck_assert_int_eq(wg_speed_wait(&next, 12000), wg_speed_wait(&old, 12000));
    learn(&next, &first_target, 12, 1, 0);
    check_predictions(&next, &first_target, 0.12);
    learn(&next, &second_target, 12, 200, 0);
    check_predictions(&next, &second_target, 0.2);
}
END_TEST

/* Guards against values from the wire without samples, out of bounds or not a number. */
START_TEST(invalid_values_are_not_adopted) {
    static const wg_speed_values invalid[] = {
        {47000, 0.112, 0}, {-1, 0.112, 10},  {200001, 0.112, 10},   {47000, 0, 10},
        {47000, -0.1, 10}, {47000, 1.1, 10}, {(double)NAN, 0.1, 1}, {47000, (double)NAN, 1}};
    wg_speed s = setup(true);
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        ck_assert(!wg_speed_adopt(&s, &invalid[i]));
        ck_assert_int_eq(wg_speed_wait(&s, 3000), 112 * MSEC);
    }
}
END_TEST

/* The values of similar targets replace the start values, and no learned ones. */
START_TEST(start_values_apply_before_samples) {
    wg_speed s = setup(true);
    wg_speed_values mean = {47000, 0.1, 0};
    wg_speed_start(&s, &mean);
    ck_assert_int_eq(wg_speed_wait(&s, 1000), 57 * MSEC);
    ck_assert_uint_eq(wg_speed_values_of(&s).samples, 0);
    learn(&s, &second_target, 13, 40, 0);
    wg_time learned = wg_speed_wait(&s, 1000);
    wg_speed_start(&s, &mean);
    ck_assert_int_eq(wg_speed_wait(&s, 1000), learned);
}
END_TEST

/* With the setting off, the base time is fixed, samples below 1,500 tokens do not count, and the
   speed is bounded, as for earlier deployments. */
START_TEST(fixed_base_is_unchanged) {
    wg_speed s = setup(false);
    ck_assert_int_eq(wg_speed_wait(&s, 3000), 112 * MSEC);
    ck_assert_int_eq(wg_speed_read_time(&s, 3000), 100 * MSEC);
    wg_speed_record(&s, 1499, SECOND);
    wg_speed_record(&s, 9000, 12 * MSEC);
    ck_assert_int_eq(wg_speed_wait(&s, 3000), 112 * MSEC);
    wg_speed_record(&s, 2000, 206 * MSEC); /* 10 tokens per ms */
    ck_assert_int_eq(wg_speed_read_time(&s, 2900), 100 * MSEC);
    for (int i = 0; i < 500; i++) {
        wg_speed_record(&s, 20000, 20 * MSEC);
    }
    ck_assert_double_eq_tol(wg_speed_values_of(&s).speed, 0.08, 1e-9);
    ck_assert(!wg_speed_adopt(&s, &(wg_speed_values){47000, 0.112, 50}));
    wg_speed_start(&s, &(wg_speed_values){47000, 0.112, 50});
    ck_assert_double_eq(wg_speed_values_of(&s).base, 12 * MSEC);
    ck_assert_uint_eq(wg_speed_values_of(&s).samples, 0);
}
END_TEST

WG_TEST_MAIN("speed", few_mixed_samples_are_enough, extreme_targets_are_learned,
             samples_of_one_size_stay_stable, one_size_keeps_what_was_learned,
             stalls_do_not_change_the_base, change_of_speed_is_followed, values_stay_within_bounds,
             adopted_values_continue, invalid_values_are_not_adopted,
             start_values_apply_before_samples, fixed_base_is_unchanged)
