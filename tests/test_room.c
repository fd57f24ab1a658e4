/* test_room.c -- whether a service has room, from the loads of its targets */
#include "wg_room.h"
#include "wg_test.h"

enum {
    SLOTS = 32,
    WAIT_MAX = 40 * MSEC,
    REPORT_INTERVAL = 100 * MSEC,
    LIFETIME = 3 * REPORT_INTERVAL,
    TARGETS = 60
};

static wg_room_target target(uint32_t running, wg_time read_time) {
    return (wg_room_target){
        .ready = true, .slots = SLOTS, .running = running, .read_time = read_time};
}

static bool target_has_room(uint32_t running, wg_time read_time) {
    wg_room_target t = target(running, read_time);
    return wg_room_target_has_room(&t, WAIT_MAX);
}

/* Guards against counting targets as busy for each stream they have: streams last seconds, while
   the target can process prompts. */
START_TEST(target_has_room_with_free_slots_and_short_reading) {
    ck_assert(target_has_room(0, 0));
    ck_assert(target_has_room(1, 5 * MSEC));
    ck_assert(target_has_room(SLOTS / 2, WAIT_MAX));
    ck_assert(!target_has_room(SLOTS / 2 + 1, 0));
    ck_assert(!target_has_room(0, WAIT_MAX + 1));
}
END_TEST

/* Guards against absolute thresholds: targets differ in slots and speed. Of an odd number of slots
   at most half are used; a target that reports no slots has room only while idle. */
START_TEST(unequal_targets_are_judged_by_their_own_slots_and_speed) {
    wg_room_target small = {.ready = true, .slots = 5, .running = 2};
    wg_room_target large = {.ready = true, .slots = 64, .running = 20};
    wg_room_target unknown = {.ready = true};
    ck_assert(wg_room_target_has_room(&small, WAIT_MAX));
    ck_assert(wg_room_target_has_room(&large, WAIT_MAX));
    ck_assert(wg_room_target_has_room(&unknown, WAIT_MAX));
    small.running = 3;
    unknown.running = 1;
    ck_assert(!wg_room_target_has_room(&small, WAIT_MAX));
    ck_assert(!wg_room_target_has_room(&unknown, WAIT_MAX));
    /* 3,000 unread tokens at 112 and at 57 tokens per ms */
    wg_room_target fast = target(4, 3000 * MSEC / 112);
    wg_room_target slow = target(4, 3000 * MSEC / 57);
    ck_assert(wg_room_target_has_room(&fast, WAIT_MAX));
    ck_assert(!wg_room_target_has_room(&slow, WAIT_MAX));
}
END_TEST

static bool decide(wg_room_state* state, wg_time now, uint32_t with_room, uint32_t ready) {
    return wg_room_update(state, now, &(wg_room_count){.ready = ready, .with_room = with_room});
}

/* Guards against unready targets counting as capacity, with or without load: a service of which
   most targets drain has room only if half of the others have. */
START_TEST(unready_targets_do_not_count) {
    wg_room_count count = {0};
    wg_room_target idle = target(0, 0);
    wg_room_target busy = target(SLOTS, 0);
    wg_room_target draining = {.slots = SLOTS};
    for (int i = 0; i < TARGETS; i++) {
        wg_room_add(&count, &draining, WAIT_MAX);
    }
    ck_assert_uint_eq(count.ready, 0);
    ck_assert_uint_eq(count.with_room, 0);
    wg_room_state state = {0};
    ck_assert(!wg_room_update(&state, 0, &count)); /* no ready target: no room */
    wg_room_add(&count, &idle, WAIT_MAX);
    wg_room_add(&count, &busy, WAIT_MAX);
    ck_assert_uint_eq(count.ready, 2);
    ck_assert_uint_eq(count.with_room, 1);
    state = (wg_room_state){0};
    ck_assert(wg_room_update(&state, 0, &count));
    wg_room_add(&count, &busy, WAIT_MAX);
    ck_assert(!wg_room_update(&state, 0, &count));
}
END_TEST

/* Guards against loads beyond a bounded list counting as idle: 5,000 loaded targets of 10,000 leave
   room, one more does not. */
START_TEST(all_of_many_targets_count) {
    enum {
        MANY = 10000
    };
    for (uint32_t loaded = MANY / 2; loaded <= MANY / 2 + 1; loaded++) {
        wg_room_count count = {0};
        wg_room_state state = {0};
        for (uint32_t i = 0; i < MANY; i++) {
            wg_room_target t = target(i < loaded ? SLOTS : 0, 0);
            wg_room_add(&count, &t, WAIT_MAX);
        }
        ck_assert_uint_eq(count.ready, MANY);
        ck_assert_uint_eq(count.with_room, MANY - loaded);
        ck_assert(wg_room_update(&state, 0, &count) == (loaded == MANY / 2));
    }
}
END_TEST

/* Guards against room that is regained on one favourable count. */
START_TEST(lost_room_is_regained_late_or_with_plenty) {
    wg_room_state state = {0};
    ck_assert(decide(&state, 0, 30, TARGETS));
    ck_assert(!decide(&state, 100 * MSEC, 29, TARGETS));
    ck_assert(!decide(&state, 200 * MSEC, 30, TARGETS));
    ck_assert(!decide(&state, 300 * MSEC, 39, TARGETS)); /* below two thirds */
    ck_assert(decide(&state, 400 * MSEC, 30, TARGETS));  /* half for 200 ms */
    ck_assert(decide(&state, 500 * MSEC, 30, TARGETS));
    ck_assert(!decide(&state, 600 * MSEC, 0, TARGETS));
    ck_assert(decide(&state, 601 * MSEC, 40, TARGETS)); /* two thirds at once */
    ck_assert(!decide(&state, 700 * MSEC, 29, TARGETS));
    ck_assert(!decide(&state, 800 * MSEC, 30, TARGETS));
    ck_assert(!decide(&state, 900 * MSEC, 29, TARGETS)); /* the 200 ms begin again */
    ck_assert(!decide(&state, 1000 * MSEC, 30, TARGETS));
    ck_assert(!decide(&state, 1199 * MSEC, 30, TARGETS));
    ck_assert(decide(&state, 1200 * MSEC, 30, TARGETS));
}
END_TEST

/* Guards against flapping: with a busy service, single counts that reach half by chance restore no
   room; with a count that varies around half, room is lost and regained far less often than half of
   the targets are reached. */
START_TEST(noisy_loads_do_not_flap) {
    enum {
        REPORTS = 3000
    };
    wg_room_state busy = {0};
    wg_room_state varying = {0};
    int regained = 0;
    int changes = 0;
    int crossings = 0;
    bool had_room = true;
    bool was_half = true;
    decide(&busy, 0, 20, TARGETS);
    for (int i = 1; i <= REPORTS; i++) {
        wg_time now = i * REPORT_INTERVAL;
        uint32_t noise = (uint32_t)wg_jitter_range(7, (uint64_t)i, 0, 12);
        bool peak = i % 3 == 0; /* one count in three is at the upper end */
        regained += decide(&busy, now, peak ? 36 : 18 + noise / 2, TARGETS);
        bool has_room = decide(&varying, now, 24 + noise, TARGETS);
        bool is_half = 24 + noise >= 30;
        changes += has_room != had_room;
        crossings += is_half != was_half;
        had_room = has_room;
        was_half = is_half;
    }
    ck_assert_int_eq(regained, 0);
    ck_assert_int_gt(crossings, REPORTS / 3);
    ck_assert_int_lt(changes, crossings / 2);
}
END_TEST

/* Guards against a new leader that takes the loads of hosts that have not reported yet for room. */
START_TEST(new_leader_counts_after_all_reports) {
    wg_room_lead lead = {0};
    ck_assert(!wg_room_lead_update(&lead, false, 0)); /* hosts may still connect */
    ck_assert(!wg_room_lead_update(&lead, true, 1));
    ck_assert(!wg_room_lead_update(&lead, false, 3));
    ck_assert(wg_room_lead_update(&lead, true, 0));
    ck_assert(wg_room_lead_update(&lead, true, 1)); /* one host reconnects */
    lead = (wg_room_lead){0};
    ck_assert(!wg_room_lead_update(&lead, true, 1)); /* the next leadership */
}
END_TEST

static wg_room_copy* copy_setup(void) {
    wg_room_copy* copy = wg_room_copy_setup();
    wg_room_copy_set_lifetime(copy, LIFETIME);
    return copy;
}

static void tell(wg_room_copy* copy, wg_time now, uint32_t with_room) {
    wg_room_report list[] = {{"s", {TARGETS, with_room}}, {"other", {TARGETS, TARGETS}}};
    wg_room_copy_apply(copy, now, list, G_N_ELEMENTS(list));
}

static wg_room_answer query(const wg_room_copy* copy, wg_time now) {
    return wg_room_copy_query(copy, now, "s", NULL);
}

/* Guards against decisions on counts of a leader that is lost. */
START_TEST(copy_becomes_unknown_without_reports) {
    wg_room_copy* copy = copy_setup();
    wg_room_count count = {0};
    ck_assert_int_eq(query(copy, 0), WG_ROOM_UNKNOWN);
    tell(copy, 0, 30);
    ck_assert_int_eq(wg_room_copy_query(copy, LIFETIME - 1, "s", &count), WG_ROOM_FREE);
    ck_assert_uint_eq(count.ready, TARGETS);
    ck_assert_uint_eq(count.with_room, 30);
    ck_assert_int_eq(wg_room_copy_query(copy, 0, "absent", &count), WG_ROOM_UNKNOWN);
    ck_assert_uint_eq(count.ready, 0);
    ck_assert_int_eq(query(copy, LIFETIME), WG_ROOM_UNKNOWN);
    tell(copy, 2 * LIFETIME, 29);
    ck_assert_int_eq(query(copy, 2 * LIFETIME), WG_ROOM_NONE);
    wg_room_copy_shutdown(copy);
}
END_TEST

/* Guards against the counts of the previous leader, and against room regained in a time for which
   nothing was known: a new leader tells nothing at first, and the 200 ms begin again after that. */
START_TEST(copy_of_a_new_leader_starts_again) {
    wg_room_copy* copy = copy_setup();
    tell(copy, 0, 29);
    tell(copy, 100 * MSEC, 30);
    ck_assert_int_eq(query(copy, 100 * MSEC), WG_ROOM_NONE);
    wg_room_copy_apply(copy, 150 * MSEC, NULL, 0);
    ck_assert_int_eq(query(copy, 150 * MSEC), WG_ROOM_UNKNOWN);
    tell(copy, 300 * MSEC, 30);
    ck_assert_int_eq(query(copy, 300 * MSEC), WG_ROOM_NONE);
    tell(copy, 400 * MSEC, 30);
    ck_assert_int_eq(query(copy, 400 * MSEC), WG_ROOM_NONE);
    tell(copy, 500 * MSEC, 30);
    ck_assert_int_eq(query(copy, 500 * MSEC), WG_ROOM_FREE);
    tell(copy, 600 * MSEC, 20);
    tell(copy, 700 * MSEC, 30);
    tell(copy, 700 * MSEC + LIFETIME, 30); /* outdated in between */
    ck_assert_int_eq(query(copy, 700 * MSEC + LIFETIME), WG_ROOM_NONE);
    wg_room_copy_shutdown(copy);
}
END_TEST

/* Guards against an answer for a service that no longer exists. */
START_TEST(copy_drops_services_that_are_not_listed) {
    wg_room_copy* copy = copy_setup();
    tell(copy, 0, 30);
    wg_room_report other = {"other", {TARGETS, 0}};
    wg_room_copy_apply(copy, 1, &other, 1);
    ck_assert_int_eq(query(copy, 1), WG_ROOM_UNKNOWN);
    ck_assert_int_eq(wg_room_copy_query(copy, 1, "other", NULL), WG_ROOM_NONE);
    wg_room_copy_shutdown(copy);
}
END_TEST

WG_TEST_MAIN("room", target_has_room_with_free_slots_and_short_reading,
             unequal_targets_are_judged_by_their_own_slots_and_speed, unready_targets_do_not_count,
             all_of_many_targets_count, lost_room_is_regained_late_or_with_plenty,
             noisy_loads_do_not_flap, new_leader_counts_after_all_reports,
             copy_becomes_unknown_without_reports, copy_of_a_new_leader_starts_again,
             copy_drops_services_that_are_not_listed)
