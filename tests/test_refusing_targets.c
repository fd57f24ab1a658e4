/* test_refusing_targets.c -- targets that refuse requests without a backoff hint, pure

   A target that refuses has nothing in progress. Guards against its drawing the requests that other
   targets could serve, at entry hosts and at routers, and against never trying it again. */
#include "wg_acceptance.h"
#include "wg_balance.h"
#include "wg_place.h"
#include "wg_test.h"

enum {
    SERVICE = 7,
    BUSY_REQUESTS = 6,   /* in progress at the other target */
    REFUSALS = 12,       /* until a target counts as refusing */
    BRIEF_TIME_MS = 500, /* too short for a refusing target to be tried again by many */
    RECOVERY_TIME_S = 30 /* long enough for a target to count as accepting again */
};

/* ---- the estimate ---------------------------------------------------------------------------- */

START_TEST(chance_falls_with_refusals_and_recovers) {
    wg_acceptance a = {0};
    ck_assert_double_eq(wg_acceptance_chance(&a, SECOND), 1);
    for (int i = 0; i < REFUSALS; i++) {
        wg_acceptance_record(&a, SECOND, false);
    }
    ck_assert(wg_acceptance_is_refusing(&a, SECOND));
    ck_assert_double_lt(wg_acceptance_chance(&a, SECOND), 0.1);
    ck_assert(!wg_acceptance_is_refusing(&a, RECOVERY_TIME_S * SECOND));
    wg_acceptance_record(&a, SECOND, true);
    wg_acceptance_record(&a, SECOND, true);
    ck_assert(!wg_acceptance_is_refusing(&a, SECOND));
}
END_TEST

/* ---- entry hosts ----------------------------------------------------------------------------- */

static wg_registry* registry;
static wg_balance* balance;

static void begin_balance(int targets) {
    registry = wg_registry_setup(&(wg_registry_desc){0});
    for (int i = 1; i <= targets; i++) {
        wg_target t = {.state = WG_TARGET_READY, .sequence = 1, .slots = 16};
        g_snprintf(t.id, sizeof t.id, "target-%d", i);
        g_snprintf(t.address, sizeof t.address, "10.0.0.%d:1", i);
        g_snprintf(t.service, sizeof t.service, "m");
        wg_registry_apply(registry, 0, &t);
    }
    balance = wg_balance_setup(&(wg_balance_desc){.data_centre = "", .seed = 3});
    wg_balance_sync(balance, registry);
}

static void end_balance(void) {
    wg_balance_shutdown(balance);
    wg_registry_shutdown(registry);
}

static wg_balance_choice choose(wg_time now) {
    wg_balance_request request = {.service = "m", .slots = 16};
    return wg_balance_choose(balance, now, &request);
}

/* Sends a request to the target; a refusal arrives at once, another answer after 10 ms. */
static void answer(uint32_t target, wg_time now, wg_result result) {
    wg_balance_choice c = {.target = target, .plain = true};
    wg_time after = result == WG_RESULT_REFUSED ? 1 * MSEC : 10 * MSEC;
    wg_balance_begin(balance, now, &c);
    wg_balance_end(balance, now + after, &c, result);
}

START_TEST(refusing_target_does_not_draw_requests) {
    begin_balance(2);
    wg_balance_choice busy[BUSY_REQUESTS];
    for (int i = 0; i < BUSY_REQUESTS; i++) {
        busy[i] = (wg_balance_choice){.target = 2, .plain = true};
        wg_balance_begin(balance, 0, &busy[i]);
    }
    int refused = 0;
    for (wg_time now = 0; now < 5 * SECOND; now += 20 * MSEC) {
        if (choose(now).target == 1) {
            answer(1, now, WG_RESULT_REFUSED);
            refused++;
        }
    }
    ck_assert_int_gt(refused, 0);
    ck_assert_int_lt(refused, 5 * SECOND / (20 * MSEC) / 10);
    end_balance();
}
END_TEST

START_TEST(sole_refusing_target_is_still_asked) {
    begin_balance(1);
    for (int i = 0; i < REFUSALS; i++) {
        answer(1, 0, WG_RESULT_REFUSED);
    }
    ck_assert_uint_eq(choose(0).target, 1);
    end_balance();
}
END_TEST

/* Once it accepts again, a target gets its part of the requests. */
START_TEST(target_that_accepts_again_is_used_again) {
    begin_balance(2);
    for (int i = 0; i < REFUSALS; i++) {
        answer(1, 0, WG_RESULT_REFUSED);
    }
    int chosen[3] = {0};
    wg_time start = RECOVERY_TIME_S * SECOND;
    for (wg_time now = start; now < start + 10 * SECOND; now += 20 * MSEC) {
        uint32_t target = choose(now).target;
        chosen[target]++;
        answer(target, now, WG_RESULT_SUCCESS);
    }
    ck_assert_int_gt(chosen[1], chosen[2] / 2);
    end_balance();
}
END_TEST

/* ---- routers --------------------------------------------------------------------------------- */

static wgp_place* begin_place(int targets) {
    wgp_place* p = wgp_setup(&(wgp_desc){.seed = 3, .data_centre = "east"}, NULL);
    wgp_config_begin(p);
    for (int i = 1; i <= targets; i++) {
        char address[32];
        g_snprintf(address, sizeof address, "127.0.0.1:%d", 1000 + i);
        wgp_config_target(p, (uint32_t)i, SERVICE, address, address, "east", 2, false, 1);
        wgp_add_slots(p, (uint32_t)i, 2);
    }
    wgp_config_end(p);
    wgp_set_lease(p, 100 * SECOND);
    return p;
}

/* Sends requests one after the other; the first target refuses. Returns how many it received. */
static int run_refusals(wgp_place* p, int num) {
    int refused = 0;
    for (int i = 0; i < num; i++) {
        wgp_choice choice;
        wg_time now = i * MSEC;
        ck_assert(wgp_pick(p, now, &(wgp_request){.service = SERVICE}, &choice));
        wgp_sent(p, &choice);
        bool refuses = choice.target == 1;
        wgp_done(p, now, &choice, refuses ? WGP_RESULT_REFUSED : WGP_RESULT_SUCCESS);
        refused += refuses;
    }
    return refused;
}

START_TEST(router_does_not_send_to_a_refusing_target) {
    wgp_place* p = begin_place(2);
    ck_assert_int_le(run_refusals(p, BRIEF_TIME_MS), 8);
    wgp_shutdown(p);
}
END_TEST

/* While the slots of the other target are in use, requests wait for one of them. */
START_TEST(router_waits_for_a_target_that_accepts) {
    wgp_place* p = begin_place(2);
    wgp_choice choice = {.target = 1};
    for (int i = 0; i < REFUSALS; i++) {
        wgp_sent(p, &choice);
        wgp_done(p, 0, &choice, WGP_RESULT_REFUSED);
    }
    for (int i = 0; i < 2; i++) {
        ck_assert(wgp_pick(p, 0, &(wgp_request){.service = SERVICE}, &choice));
        ck_assert_uint_eq(choice.target, 2);
        wgp_sent(p, &choice);
    }
    ck_assert(!wgp_has_room(p, 0, SERVICE, false));
    ck_assert(!wgp_pick(p, 0, &(wgp_request){.service = SERVICE}, &choice));
    ck_assert(wgp_has_room(p, RECOVERY_TIME_S * SECOND, SERVICE, false));
    wgp_shutdown(p);
}
END_TEST

START_TEST(router_still_asks_its_only_target) {
    wgp_place* p = begin_place(1);
    ck_assert_int_eq(run_refusals(p, REFUSALS), REFUSALS);
    ck_assert(wgp_has_room(p, REFUSALS * MSEC, SERVICE, false));
    wgp_shutdown(p);
}
END_TEST

WG_TEST_MAIN("refusing_targets", chance_falls_with_refusals_and_recovers,
             refusing_target_does_not_draw_requests, sole_refusing_target_is_still_asked,
             target_that_accepts_again_is_used_again, router_does_not_send_to_a_refusing_target,
             router_waits_for_a_target_that_accepts, router_still_asks_its_only_target)
