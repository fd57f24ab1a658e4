/* test_balance.c -- target choice, fair shares and the retry budget */
#include <math.h>

#include "wg_balance.h"
#include "wg_fair.h"
#include "wg_retry.h"
#include "wg_test.h"

static wg_registry* registry;
static wg_balance* balance;

static void begin(int targets) {
    registry = wg_registry_setup(&(wg_registry_desc){0});
    for (int i = 1; i <= targets; i++) {
        wg_target t = {.state = WG_TARGET_READY, .sequence = 1, .slots = 64};
        g_snprintf(t.id, sizeof t.id, "target-%d", i);
        g_snprintf(t.address, sizeof t.address, "10.0.0.%d:1", i);
        g_snprintf(t.service, sizeof t.service, "m");
        wg_registry_apply(registry, 0, &t);
    }
    balance = wg_balance_setup(&(wg_balance_desc){.data_centre = "", .seed = 3});
    wg_balance_sync(balance, registry);
}

/* The target reports a software version, and the balance takes it over. */
static void set_version(int number, wg_target_state state, const char* version) {
    static uint64_t sequence = 1;
    wg_target t = *wg_registry_find(registry, (uint32_t)number);
    t.state = state;
    t.sequence = ++sequence;
    wg_copy_name(t.version, sizeof t.version, version);
    wg_registry_apply(registry, 0, &t);
    wg_balance_sync_target(balance, registry, (uint32_t)number);
}

static void end(void) {
    wg_balance_shutdown(balance);
    wg_registry_shutdown(registry);
}

static wg_prompt prompt(uint64_t shared, uint64_t own) {
    return (wg_prompt){.parts = {1, shared, own},
                       .sizes = {2500, 3800, 2900},
                       .num = 3,
                       .tokens = 9200,
                       .answer = 50};
}

static wg_balance_choice choose(const wg_prompt* p, wg_time now) {
    wg_balance_request need = {.service = "m", .prompt = p, .slots = 64};
    return wg_balance_choose(balance, now, &need);
}

/* Hosts agree on the homes of a prefix without communication. */
START_TEST(hosts_agree_on_the_homes_of_a_prefix) {
    begin(18);
    wg_balance* other = wg_balance_setup(&(wg_balance_desc){.data_centre = "", .seed = 99});
    wg_balance_sync(other, registry);
    int used[19] = {0};
    for (uint64_t part = 1000; part < 1300; part++) {
        wg_prompt p = prompt(part, part + 5000);
        wg_balance_request need = {.service = "m", .prompt = &p, .slots = 64};
        wg_balance_choice a = wg_balance_choose(balance, 0, &need);
        wg_balance_choice b = wg_balance_choose(other, 0, &need);
        ck_assert_uint_eq(a.target, b.target);
        ck_assert_uint_eq(a.unread, 9200); /* no target has read the prefix yet */
        used[a.target]++;
    }
    for (int i = 1; i <= 18; i++) {
        ck_assert_int_gt(used[i], 4);
        ck_assert_int_lt(used[i], 40);
    }
    wg_balance_shutdown(other);
    end();
}
END_TEST

START_TEST(loaded_home_spills_over_to_the_second) {
    begin(18);
    wg_prompt p = prompt(77, 78);
    uint32_t first = choose(&p, 0).target;
    uint32_t second = 0;
    for (int i = 0; i < 4; i++) {
        wg_balance_choice c = choose(&p, 0);
        wg_balance_begin(balance, 0, &c);
        if (c.target != first) {
            ck_assert(second == 0 || second == c.target);
            second = c.target;
        }
    }
    ck_assert_uint_ne(second, 0);
    end();
}
END_TEST

/* A target that is no home copies missing parts from a home. */
START_TEST(missing_parts_are_copied_from_a_home) {
    begin(18);
    wg_prompt p = prompt(77, 78);
    wg_balance_request need = {.service = "m", .prompt = &p, .slots = 64, .copies = true};
    uint32_t home = wg_balance_choose(balance, 0, &need).target;
    wg_balance_record_prompt(balance, 0, home, &p);
    wg_balance_choice again = wg_balance_choose(balance, 1, &need);
    ck_assert_uint_eq(again.target, home);
    ck_assert_uint_ne(again.source, 0); /* the second home, for parts that were evicted here */
    ck_assert_uint_ne(again.source, home);
    wg_balance_set_others_load(balance, home, 500000, 3);
    wg_balance_choice elsewhere = wg_balance_choose(balance, 1, &need);
    ck_assert_uint_ne(elsewhere.target, home);
    ck_assert_uint_eq(elsewhere.source, home);
    ck_assert_uint_eq(elsewhere.unread, 9200);
    need.copies = false;
    ck_assert_uint_eq(wg_balance_choose(balance, 1, &need).source, 0);
    end();
}
END_TEST

/* The second home is assumed to hold the parts but may have evicted them, so the choice still names
   the first home as source. */
START_TEST(second_home_copies_missing_parts) {
    begin(18);
    wg_prompt p = prompt(77, 78);
    wg_balance_request need = {.service = "m", .prompt = &p, .slots = 64, .copies = true};
    uint32_t home = wg_balance_choose(balance, 0, &need).target;
    wg_balance_record_prompt(balance, 0, home, &p);
    wg_balance_set_others_load(balance, home, 500000, 3);
    wg_balance_choice second = wg_balance_choose(balance, 5 * SECOND, &need);
    ck_assert_uint_ne(second.target, home);
    ck_assert_uint_eq(second.unread, 2900);
    ck_assert_uint_eq(second.source, home);
    end();
}
END_TEST

/* When a home drains, the new home copies the prefix from the previous one. */
START_TEST(new_home_copies_from_the_previous) {
    begin(18);
    wg_prompt p = prompt(77, 78);
    wg_balance_request need = {.service = "m", .prompt = &p, .slots = 64, .copies = true};
    wg_balance_choice first = wg_balance_choose(balance, 0, &need);
    ck_assert_uint_ne(first.source, first.target);
    wg_target draining = *wg_registry_find(registry, first.target);
    draining.state = WG_TARGET_DRAINING;
    draining.sequence++;
    wg_registry_apply(registry, 1, &draining);
    wg_balance_sync(balance, registry);
    wg_balance_choice after = wg_balance_choose(balance, 1, &need);
    ck_assert_uint_ne(after.target, first.target);
    ck_assert_uint_eq(after.source, first.target);
    draining.state = WG_TARGET_REMOVED;
    draining.sequence++;
    wg_registry_apply(registry, 2, &draining);
    wg_balance_sync(balance, registry);
    wg_balance_choice removed = wg_balance_choose(balance, 2, &need);
    ck_assert_uint_eq(removed.target, after.target);
    ck_assert_uint_ne(removed.source, first.target);
    end();
}
END_TEST

/* A home that denied the request remains a copy source if it is known to hold the parts. */
START_TEST(denied_home_is_a_copy_source) {
    begin(18);
    wg_prompt p = prompt(77, 78);
    wg_balance_request need = {.service = "m", .prompt = &p, .slots = 64, .copies = true};
    uint32_t home = wg_balance_choose(balance, 0, &need).target;
    need.denied[need.denied_num++] = home;
    need.source = home;
    need.source_tokens = 6300;
    wg_balance_choice c = wg_balance_choose(balance, 0, &need);
    ck_assert_uint_ne(c.target, home);
    ck_assert_uint_ne(c.target, 0);
    ck_assert_uint_eq(c.source, home);
    ck_assert_uint_eq(c.copied, 6300);
    ck_assert_uint_eq(c.unread, 2900);
    end();
}
END_TEST

/* A load reported by a coordinator replaces the leader's until it is no longer fresh. */
START_TEST(newer_load_replaces_the_reported_one) {
    begin(1);
    wg_prompt p = prompt(77, 78);
    uint32_t unread = 0;
    uint32_t running = 0;
    wg_balance_set_others_load(balance, 1, 60000, 9);
    ck_assert(!choose(&p, SECOND).is_fresh);
    wg_balance_update_load(balance, SECOND, 1, 1000, 2);
    wg_balance_load_of(balance, 1, &unread, &running);
    ck_assert_uint_eq(unread, 1000);
    ck_assert_uint_eq(running, 2);
    wg_balance_choice c = choose(&p, SECOND);
    ck_assert(c.is_fresh);
    ck_assert_uint_eq(c.ahead, 1000);
    ck_assert(!choose(&p, 2 * SECOND).is_fresh);
    end();
}
END_TEST

/* Rendezvous hashing: the removal of a target leaves the prefixes of others in place. */
START_TEST(removed_target_moves_only_its_own_prefixes) {
    begin(18);
    uint32_t before[200];
    for (uint64_t i = 0; i < G_N_ELEMENTS(before); i++) {
        wg_prompt p = prompt(i + 1, i + 9000);
        before[i] = choose(&p, 0).target;
    }
    wg_target removed = *wg_registry_find(registry, 7);
    removed.state = WG_TARGET_REMOVED;
    wg_registry_apply(registry, 1, &removed);
    wg_balance_sync(balance, registry);
    for (uint64_t i = 0; i < G_N_ELEMENTS(before); i++) {
        wg_prompt p = prompt(i + 1, i + 9000);
        uint32_t now = choose(&p, 1).target;
        ck_assert(before[i] == 7 ? now != 7 : now == before[i]);
    }
    end();
}
END_TEST

/* Many hosts with the same outdated loads must not all choose the least loaded target. */
START_TEST(hosts_do_not_all_choose_the_least_loaded) {
    begin(90);
    int sent[91] = {0};
    for (uint64_t h = 0; h < 69; h++) {
        wg_balance* other = wg_balance_setup(&(wg_balance_desc){.data_centre = "", .seed = h + 7});
        wg_balance_sync(other, registry);
        wg_balance_set_hosts(other, 69);
        for (uint32_t t = 1; t <= 90; t++) {
            wg_balance_set_others_load(other, t, 3000 + 40 * t, 5);
        }
        wg_prompt p = {.parts = {h + 1000}, .sizes = {1800}, .num = 1, .tokens = 1800};
        wg_balance_request need = {.service = "m", .prompt = &p, .slots = 64};
        sent[wg_balance_choose(other, 0, &need).target]++;
        wg_balance_shutdown(other);
    }
    for (int i = 1; i <= 90; i++) {
        ck_assert_int_lt(sent[i], 15);
    }
    end();
}
END_TEST

static wg_time wait_after_flood(int hosts, int reports) {
    begin(1);
    wg_prompt p = prompt(77, 78);
    wg_balance_set_hosts(balance, hosts);
    wg_balance_clear_others_load(balance);
    wg_balance_set_others_load(balance, 1, 60000, 3);
    for (int i = 0; i < reports; i++) {
        wg_balance_clear_others_load(balance);
    }
    wg_time wait = choose(&p, 0).wait;
    end();
    return wait;
}

/* The load of other hosts decays over reports, faster in a small fleet. */
START_TEST(load_of_other_hosts_decays) {
    wg_time flooded = wait_after_flood(69, 0);
    ck_assert(wait_after_flood(69, 1) > flooded / 2);
    ck_assert(wait_after_flood(69, 1) < flooded);
    ck_assert(wait_after_flood(69, 20) < flooded / 4);
    ck_assert(wait_after_flood(9, 1) < flooded / 4);
    ck_assert_int_eq(wait_after_flood(1, 0), flooded);
}
END_TEST

START_TEST(draining_targets_get_nothing) {
    begin(2);
    wg_target drain = *wg_registry_find(registry, 1);
    drain.state = WG_TARGET_DRAINING;
    drain.sequence++;
    wg_registry_apply(registry, 1, &drain);
    wg_balance_sync(balance, registry);
    for (uint64_t i = 0; i < 50; i++) {
        wg_prompt p = prompt(i + 1, i + 100);
        ck_assert_uint_eq(choose(&p, 1).target, 2);
    }
    wg_balance_request tried = {.service = "m", .slots = 64, .tried = {2}, .tried_num = 1};
    ck_assert_uint_eq(wg_balance_choose(balance, 1, &tried).target, 0);
    end();
}
END_TEST

START_TEST(targets_of_an_evacuated_data_centre_get_nothing) {
    begin(2);
    wg_target moved = *wg_registry_find(registry, 1);
    wg_copy_name(moved.data_centre, sizeof moved.data_centre, "left");
    moved.sequence++;
    wg_registry_apply(registry, 1, &moved);
    wg_registry_evacuate(registry, 1, &(wg_evacuation){.data_centre = "left", .begins = true});
    wg_balance_sync(balance, registry);
    for (uint64_t i = 0; i < 50; i++) {
        wg_prompt p = prompt(i + 1, i + 100);
        ck_assert_uint_eq(choose(&p, 1).target, 2);
    }
    wg_registry_evacuate(registry, 2, &(wg_evacuation){.data_centre = "left"});
    wg_balance_sync(balance, registry);
    bool used = false;
    for (uint64_t i = 0; i < 50; i++) {
        wg_prompt p = prompt(i + 1, i + 100);
        used = used || choose(&p, 2).target == 1;
    }
    ck_assert(used);
    end();
}
END_TEST

enum {
    WORK_MS = 60,
    PLAIN_SLOTS = 6
};

static wg_balance_choice choose_plain(wg_time now, wg_time limit) {
    wg_balance_request need = {.service = "m", .slots = PLAIN_SLOTS, .wait_max = limit};
    return wg_balance_choose(balance, now, &need);
}

/* One target with PLAIN_SLOTS slots, whose service time is learnt. */
static void begin_plain(void) {
    begin(1);
    wg_target slots = *wg_registry_find(registry, 1);
    slots.slots = PLAIN_SLOTS;
    slots.sequence++;
    wg_registry_apply(registry, 1, &slots);
    wg_balance_sync(balance, registry);
    for (int i = 0; i < 200; i++) {
        wg_balance_choice c = choose_plain(0, SECOND);
        wg_balance_begin(balance, 0, &c);
        wg_balance_end(balance, WORK_MS * MSEC, &c, WG_RESULT_SUCCESS);
    }
}

/* Plain requests may queue at a target beyond its slots as long as they can be answered within the
   limit. */
START_TEST(plain_request_queues_at_a_target_that_answers_in_time) {
    begin_plain();
    wg_time limit = 4 * WORK_MS * MSEC;
    int sent = 0;
    for (; sent < 100; sent++) {
        wg_balance_choice c = choose_plain(SECOND, limit);
        if (!c.target) {
            break;
        }
        ck_assert_int_le(c.wait, limit + WORK_MS * MSEC / 2);
        wg_balance_begin(balance, SECOND, &c);
    }
    ck_assert_int_ge(sent, 3 * PLAIN_SLOTS);
    ck_assert_int_le(sent, 5 * PLAIN_SLOTS);
    end();
}
END_TEST

/* Time spent queued behind other requests must not count as service time. */
START_TEST(service_time_excludes_queue_time) {
    enum {
        AT_ONCE = 4 * PLAIN_SLOTS
    };
    begin_plain();
    for (int round = 0; round < 20; round++) {
        wg_balance_choice c[AT_ONCE];
        for (int i = 0; i < AT_ONCE; i++) {
            c[i] = choose_plain(0, SECOND);
            wg_balance_begin(balance, 0, &c[i]);
        }
        for (int i = 0; i < AT_ONCE; i++) {
            wg_time duration = (i / PLAIN_SLOTS + 1) * WORK_MS * MSEC;
            wg_balance_end(balance, duration, &c[i], WG_RESULT_SUCCESS);
        }
    }
    wg_time alone = choose_plain(0, SECOND).wait;
    ck_assert_int_ge(alone, WORK_MS * MSEC * 8 / 10);
    ck_assert_int_le(alone, WORK_MS * MSEC * 12 / 10);
    end();
}
END_TEST

/* `each` targets in each of two data centres; this host is in "here". */
static void begin_two_data_centres(int each) {
    begin(2 * each);
    for (uint32_t i = 1; i <= 2 * (uint32_t)each; i++) {
        wg_target t = *wg_registry_find(registry, i);
        wg_copy_name(t.data_centre, sizeof t.data_centre, i % 2 ? "here" : "there");
        t.sequence++;
        wg_registry_apply(registry, 1, &t);
    }
    wg_balance_shutdown(balance);
    balance = wg_balance_setup(&(wg_balance_desc){.data_centre = "here", .seed = 3});
    wg_balance_sync(balance, registry);
}

static int chosen_local_num(uint32_t bytes) {
    int here = 0;
    for (uint64_t i = 0; i < 200; i++) {
        wg_prompt p = {
            .parts = {1000 + i, i + 9000}, .sizes = {570, 1800}, .num = 2, .tokens = 2370};
        wg_balance_request need = {
            .service = "m", .prompt = &p, .slots = 64, .copies = true, .bytes = bytes};
        here += wg_balance_choose(balance, 1, &need).target % 2;
    }
    return here;
}

/* A prefix that is cheaper to copy than the request is to send to a remote data centre has a third
   home in the local one. */
START_TEST(small_prefix_has_a_home_in_each_data_centre) {
    begin_two_data_centres(10);
    ck_assert_int_eq(chosen_local_num(3000), 200);
    ck_assert_int_lt(chosen_local_num(1000), 180);
    wg_prompt p = {.parts = {1000, 9000}, .sizes = {570, 1800}, .num = 2, .tokens = 2370};
    wg_balance_request need = {
        .service = "m", .prompt = &p, .slots = 64, .copies = true, .bytes = 3000};
    wg_balance_choice c = wg_balance_choose(balance, 1, &need);
    ck_assert_uint_eq(wg_balance_choose(balance, 1, &need).target, c.target);
    need.copies = false;
    int crossed = 0;
    for (uint64_t i = 0; i < 50; i++) {
        p.parts[0] = 1000 + i;
        crossed += wg_balance_choose(balance, 1, &need).target % 2 == 0;
    }
    ck_assert_int_gt(crossed, 5);
    end();
}
END_TEST

/* Third homes that often lack their prefixes are given up for the two homes of the fleet, because
   reading a prefix again costs more than a remote request. They are used again once they hold their
   prefixes. */
START_TEST(third_homes_without_their_prefixes_are_given_up) {
    begin_two_data_centres(10);
    ck_assert_int_eq(chosen_local_num(3000), 200);
    for (int i = 0; i < 200; i++) {
        wg_balance_record_third_home(balance, false);
    }
    ck_assert_int_lt(chosen_local_num(3000), 160);
    for (int i = 0; i < 200; i++) {
        wg_balance_record_third_home(balance, true);
    }
    ck_assert_int_eq(chosen_local_num(3000), 200);
    end();
}
END_TEST

/* Loads return to zero after any order of events. */
START_TEST(accounts_return_to_zero) {
    for (uint64_t seed = 1; seed <= 30; seed++) {
        begin(5);
        wg_balance_choice open[40] = {0};
        for (uint64_t step = 0; step < 2000; step++) {
            uint64_t random = wg_jitter(seed, step);
            wg_time now = (wg_time)step * 3000;
            wg_balance_choice* c = &open[random % G_N_ELEMENTS(open)];
            if (c->target == 0) {
                wg_prompt p = prompt(random / 64 % 20, step + 100);
                *c = choose(&p, now);
                wg_balance_begin(balance, now, c);
            } else if (random / 64 % 3 == 0) {
                wg_balance_first_event(balance, now, c);
            } else {
                wg_balance_end(balance, now, c, (wg_result)(1 + random / 256 % 4));
                *c = (wg_balance_choice){0};
            }
        }
        for (size_t i = 0; i < G_N_ELEMENTS(open); i++) {
            if (open[i].target) {
                wg_balance_end(balance, 7 * SECOND, &open[i], WG_RESULT_CALLER_DISCONNECTED);
            }
        }
        wg_balance_load loads[8];
        ck_assert_int_eq(wg_balance_loads(balance, loads, 8), 0);
        end();
    }
}
END_TEST

START_TEST(failing_targets_are_ejected_and_return) {
    begin(3);
    wg_balance_request need = {.service = "m", .slots = 64};
    wg_time now = 0;
    for (int i = 0; i < 2; i++) {
        wg_balance_choice c = {.target = 1};
        wg_balance_begin(balance, now, &c);
        wg_balance_end(balance, now, &c, WG_RESULT_FAILED);
    }
    for (int i = 0; i < 100; i++) {
        ck_assert_uint_ne(wg_balance_choose(balance, now, &need).target, 1);
    }
    now = 5 * SECOND;
    bool back = false;
    for (int i = 0; i < 100; i++) {
        back = back || wg_balance_choose(balance, now, &need).target == 1;
    }
    ck_assert(back);
    /* An ejected target is chosen if there is no other. */
    need.tried_num = 2;
    need.tried[0] = 2;
    need.tried[1] = 3;
    ck_assert_uint_eq(wg_balance_choose(balance, 0, &need).target, 1);
    end();
}
END_TEST

/* The registry removes the target, or makes it ready again under its number. */
static void set_state(uint32_t number, wg_target_state state) {
    static uint64_t sequence = 1000;
    Wgpb__TargetRecord packed;
    wg_target t = *wg_registry_find(registry, number);
    t.state = state;
    t.sequence = ++sequence;
    t.change = sequence;
    wg_target_pack(&t, 0, &packed);
    ck_assert(wg_registry_merge(registry, 0, &packed));
    wg_balance_sync_target(balance, registry, number);
}

/* Guards against an abort of the process, and a target that seems idle: its record was removed and
   came back while a request ran there all the time. */
START_TEST(requests_at_a_target_that_was_removed_and_came_back_still_count) {
    begin(2);
    wg_prompt p = prompt(1, 2);
    wg_balance_choice c = choose(&p, 0);
    uint32_t target = c.target;
    wg_balance_begin(balance, 0, &c);
    uint32_t unread = c.unread;
    set_state(target, WG_TARGET_REMOVED);
    ck_assert_uint_ne(choose(&p, 1).target, target);
    set_state(target, WG_TARGET_READY);
    uint32_t unread_there;
    uint32_t running_there;
    wg_balance_load_of(balance, target, &unread_there, &running_there);
    ck_assert_uint_eq(running_there, 1);
    ck_assert_uint_eq(unread_there, unread);
    wg_balance_end(balance, SECOND, &c, WG_RESULT_SUCCESS);
    ck_assert_uint_eq(wg_balance_own_running(balance, target), 0);
    end();
}
END_TEST

/* Guards against requests of an earlier registry that count at another target with the number of
   theirs. */
START_TEST(requests_do_not_count_at_another_target_with_the_number_of_theirs) {
    begin(1);
    wg_balance_choice c = {.target = 1, .unread = 7};
    wg_balance_begin(balance, 0, &c);
    wg_registry_clear(registry);
    Wgpb__TargetRecord packed;
    wg_target other = {.state = WG_TARGET_READY, .sequence = 1, .number = 1, .change = 1};
    g_strlcpy(other.id, "other", sizeof other.id);
    g_strlcpy(other.service, "m", sizeof other.service);
    wg_target_pack(&other, 0, &packed);
    ck_assert(wg_registry_merge(registry, 0, &packed));
    wg_balance_sync(balance, registry);
    ck_assert_uint_eq(wg_balance_own_running(balance, 1), 0);
    wg_balance_choice at_other = {.target = 1};
    wg_balance_begin(balance, 0, &at_other);
    wg_balance_first_event(balance, 1, &c);
    wg_balance_end(balance, 1, &c, WG_RESULT_FAILED);
    ck_assert_uint_eq(wg_balance_own_running(balance, 1), 1);
    wg_balance_end(balance, 2, &at_other, WG_RESULT_SUCCESS);
    ck_assert_uint_eq(wg_balance_own_running(balance, 1), 0);
    end();
}
END_TEST

/* Guards against counts that are lost in any order of removals, returns, begins and ends. */
START_TEST(counts_are_right_in_any_order_of_removals_and_returns) {
    enum {
        TARGETS = 3,
        STEPS = 3000,
        OPEN_MAX = 12
    };
    for (uint64_t seed = 1; seed <= 10; seed++) {
        begin(TARGETS);
        wg_balance_choice open[OPEN_MAX] = {0};
        uint32_t expected[TARGETS + 1] = {0};
        for (uint64_t step = 0; step < STEPS; step++) {
            uint64_t random = wg_jitter(seed, step);
            uint32_t number = 1 + (uint32_t)(random / 16 % TARGETS);
            wg_balance_choice* c = &open[random / 64 % OPEN_MAX];
            if (random % 4 == 0) {
                set_state(number, random / 8 % 2 ? WG_TARGET_REMOVED : WG_TARGET_READY);
            } else if (c->target) {
                expected[c->target]--;
                wg_balance_end(balance, (wg_time)step, c, WG_RESULT_SUCCESS);
                *c = (wg_balance_choice){0};
            } else if (wg_registry_find(registry, number)->state == WG_TARGET_READY) {
                *c = (wg_balance_choice){.target = number, .unread = 10};
                wg_balance_begin(balance, (wg_time)step, c);
                expected[number]++;
            }
            for (uint32_t i = 1; i <= TARGETS; i++) {
                ck_assert_uint_eq(wg_balance_own_running(balance, i), expected[i]);
            }
        }
        end();
    }
}
END_TEST

/* The address of a crashed target was reused before a leader could report it. */
START_TEST(replaced_target_gets_nothing_until_its_record_changes) {
    begin(2);
    wg_balance_choice c = {.target = 1};
    wg_balance_begin(balance, 0, &c);
    wg_balance_end(balance, 0, &c, WG_RESULT_REPLACED);
    wg_balance_request need = {.service = "m", .slots = 64};
    for (int i = 0; i < 50; i++) {
        ck_assert_uint_eq(wg_balance_choose(balance, 20 * SECOND, &need).target, 2);
    }
    wg_balance_sync(balance, registry);
    need.tried[need.tried_num++] = 2;
    ck_assert_uint_eq(wg_balance_choose(balance, 0, &need).target, 0);
    wg_target again = *wg_registry_find(registry, 1);
    again.sequence++;
    again.slots++;
    wg_registry_apply(registry, 1, &again);
    wg_balance_sync(balance, registry);
    ck_assert_uint_eq(wg_balance_choose(balance, 1, &need).target, 1);
    end();
}
END_TEST

/* A home counts as holding a prefix only after a prompt was sent or a warm-up time has passed. */
START_TEST(homes_count_as_cached_after_warm_up_only) {
    begin(18);
    wg_prompt p = prompt(77, 78);
    wg_balance_choice c = choose(&p, 0);
    ck_assert_uint_eq(c.unread, p.tokens);
    wg_balance_record_prompt(balance, 0, c.target, &p);
    ck_assert_uint_eq(choose(&p, 1).unread, 2900);
    wg_prompt other = prompt(177, 178);
    ck_assert_uint_eq(choose(&other, 1 * SECOND).unread, other.tokens);
    ck_assert_uint_eq(choose(&other, 5 * SECOND).unread, 2900);
    end();
}
END_TEST

START_TEST(slots_are_reserved_for_workspaces_within_their_share) {
    begin(1);
    for (int i = 0; i < 32; i++) {
        wg_balance_choice c = {.target = 1};
        wg_balance_begin(balance, 0, &c);
    }
    wg_balance_request fair = {.service = "m", .slots = 64};
    wg_balance_request beyond = {.service = "m", .slots = 64, .slots_share = 0.5};
    ck_assert_uint_eq(wg_balance_choose(balance, 0, &fair).target, 1);
    ck_assert_uint_eq(wg_balance_choose(balance, 0, &beyond).target, 0);
    end();
}
END_TEST

START_TEST(fair_level_is_max_min) {
    ck_assert(fabs(wg_fair_level((double[]){10, 20, 90}, 3, 90) - 60) < 1e-9);
    ck_assert(fabs(wg_fair_level((double[]){50, 50, 50}, 3, 90) - 30) < 1e-9);
    ck_assert(fabs(wg_fair_level((double[]){10, 20, 30}, 3, 60) - 30) < 1e-9);
    ck_assert(wg_fair_level(NULL, 0, 0) == 0);
    for (uint64_t seed = 1; seed <= 200; seed++) {
        double demand[12];
        double sum = 0;
        for (int i = 0; i < 12; i++) {
            demand[i] = (double)(wg_jitter(seed, (uint64_t)i) % 1000);
            sum += demand[i];
        }
        double served = sum * (double)(wg_jitter(seed, 50) % 100) / 100;
        double level = wg_fair_level(demand, 12, served);
        double served_sum = 0;
        for (int i = 0; i < 12; i++) {
            served_sum += MIN(demand[i], level);
        }
        ck_assert(fabs(served_sum - served) < 1e-6);
    }
    const wg_fair_levels served = {.served = 100};
    const wg_fair_levels fair = {.fair_share = 100};
    const wg_fair_levels both = {.served = 100, .fair_share = 100};
    ck_assert(wg_fair_wait_tolerance(99, &both) == 1);
    ck_assert(wg_fair_wait_tolerance(99, &(wg_fair_levels){0}) == 1);
    ck_assert(wg_fair_wait_tolerance(140, &served) < wg_fair_wait_tolerance(120, &served));
    ck_assert(wg_fair_is_far_below_share(40, &both) && !wg_fair_is_far_below_share(60, &both));
    ck_assert(!wg_fair_is_far_below_share(0, &(wg_fair_levels){0}));
    /* Beyond its fair share a workspace still gets unused capacity. */
    ck_assert(wg_fair_wait_tolerance(9000, &fair) > 0);
    const wg_fair_levels crowded = {.served = 100, .fair_share = 40};
    ck_assert(wg_fair_wait_tolerance(130, &crowded) < wg_fair_wait_tolerance(95, &crowded));
    /* Calls with full wait tolerance are tried whenever a slot may be free, others at intervals. */
    ck_assert_int_eq(wg_fair_try_gap(1), 0);
    ck_assert_int_ge(wg_fair_try_gap(0.99), 50 * MSEC);
    /* Of two workspaces beyond their fair share, the one with less usage goes first. */
    const wg_fair_levels roomy = {.served = 400, .fair_share = 100};
    ck_assert(wg_fair_is_behind(194, &roomy) && !wg_fair_is_behind(390, &roomy));
    ck_assert(wg_fair_wait_tolerance(194, &roomy) > 3 * wg_fair_wait_tolerance(390, &roomy));
    ck_assert(!wg_fair_is_behind(99, &both));
    /* A workspace far above the level has no wait tolerance. */
    ck_assert(wg_fair_wait_tolerance(200, &served) == 0);
    ck_assert(wg_fair_wait_tolerance(200, &both) == 0);
}
END_TEST

/* Confidence drops after late first events and recovers after timely ones. */
START_TEST(confidence_follows_timely_first_events) {
    wg_fair_margin margin = {0};
    ck_assert(wg_fair_confidence(&margin) == 1);
    for (int i = 0; i < 200; i++) {
        wg_fair_update_margin(&margin, false);
    }
    ck_assert(wg_fair_confidence(&margin) > 0.05 && wg_fair_confidence(&margin) < 0.2);
    for (int i = 0; i < 400; i++) {
        wg_fair_update_margin(&margin, true);
    }
    ck_assert(wg_fair_confidence(&margin) == 1);
}
END_TEST

/* In every window the fleet stays within the retry budget, though hosts restart and all requests
   fail. */
START_TEST(fleet_stays_within_its_retry_budget) {
    enum {
        STEPS = 6000, /* 10 ms each */
        HOSTS = 11
    };
    const wg_retry_rules rules = {
        .percent = 20, .slack = 58, .window = 10 * SECOND, .hosts = HOSTS};
    for (uint64_t seed = 1; seed <= 12; seed++) {
        wg_retry hosts[HOSTS] = {0};
        static int first_sends[STEPS];
        static int retries[STEPS];
        memset(first_sends, 0, sizeof first_sends);
        memset(retries, 0, sizeof retries);
        for (int step = 0; step < STEPS; step++) {
            bool busy = step / 700 % 2 == 0;
            for (int h = 0; h < HOSTS; h++) {
                uint64_t random = wg_jitter(seed, (uint64_t)(step * HOSTS + h));
                if (random % 4000 == 0) {
                    hosts[h] = (wg_retry){0}; /* restarted */
                }
                wg_retry_refill(&hosts[h], 10 * MSEC, &rules);
                int requests = busy ? (int)(random / 4000 % 3) : random / 4000 % 30 == 0;
                for (int i = 0; i < requests; i++) {
                    wg_retry_record_first_send(&hosts[h], &rules);
                    first_sends[step]++;
                    retries[step] += wg_retry_take(&hosts[h], &rules);
                }
            }
        }
        for (int from = 0; from + 1000 <= STEPS; from += 10) {
            int first = 0;
            int again = 0;
            for (int i = from; i < from + 1000; i++) {
                first += first_sends[i];
                again += retries[i];
            }
            ck_assert_msg(again <= first * 20 / 100 + 58, "seed %d: %d retries of %d first sends",
                          (int)seed, again, first);
        }
    }
}
END_TEST

/* ---- with learn_base: values and lateness that the coordinator reports ---- */

static void begin_learning(int targets) {
    begin(targets);
    wg_balance_shutdown(balance);
    balance =
        wg_balance_setup(&(wg_balance_desc){.data_centre = "", .seed = 3, .learn_base = true});
    wg_balance_sync(balance, registry);
}

/* A host keeps the last values of a coordinator that is lost, and its own first events do not
   change them: it does not know what other hosts sent there. */
START_TEST(reported_speed_is_kept) {
    begin_learning(1);
    wg_prompt p = prompt(5, 6);
    wg_balance_choice c = choose(&p, 0);
    wg_balance_begin(balance, 0, &c);
    wg_balance_first_event(balance, SECOND, &c);
    wg_balance_first_event(balance, 2 * SECOND, &c); /* the next event of the stream */
    wg_balance_end(balance, 2 * SECOND, &c, WG_RESULT_SUCCESS);
    ck_assert_uint_eq(wg_balance_speed_of(balance, 1).samples, 1);
    const wg_speed_values values = {47000, 0.112, 60};
    wg_balance_update_speed(balance, 2 * SECOND, 1, &values, 0);
    for (int i = 0; i < 50; i++) {
        c = choose(&p, (3 + i) * SECOND);
        ck_assert_int_eq(c.wait, 47 * MSEC + (wg_time)((c.unread + c.ahead) / 0.112));
        wg_balance_begin(balance, (3 + i) * SECOND, &c);
        wg_balance_first_event(balance, (4 + i) * SECOND, &c);
        wg_balance_end(balance, (4 + i) * SECOND, &c, WG_RESULT_SUCCESS);
    }
    ck_assert_uint_eq(wg_balance_speed_of(balance, 1).samples, 60);
    ck_assert_double_eq(wg_balance_speed_of(balance, 1).base, 47000);
    /* A coordinator that knows nothing yet does not replace them. */
    wg_balance_update_speed(balance, 60 * SECOND, 1, &(wg_speed_values){0}, 0);
    ck_assert_uint_eq(wg_balance_speed_of(balance, 1).samples, 60);
    end();
}
END_TEST

/* Prompts avoid a home that stalls and come back to it: the homes of their prefixes stay. */
START_TEST(stalled_home_is_avoided_and_stays_home) {
    begin_learning(18);
    const wg_speed_values values = {47000, 0.112, 60};
    for (uint32_t target = 1; target <= 18; target++) {
        wg_balance_update_speed(balance, 0, target, &values, 0);
    }
    wg_prompt p = prompt(5, 6);
    wg_balance_choice home = choose(&p, 0);
    wg_balance_record_prompt(balance, 0, home.target, &p);
    ck_assert_uint_eq(choose(&p, 4 * SECOND).target, home.target);
    wg_balance_update_speed(balance, 4 * SECOND, home.target, &values, 300 * MSEC);
    wg_balance_choice other = choose(&p, 4 * SECOND + 90 * MSEC);
    ck_assert_uint_ne(other.target, home.target);
    ck_assert_int_eq(other.late, 0);
    ck_assert_uint_eq(choose(&p, 4 * SECOND + 100 * MSEC).target, home.target);
    wg_balance_update_speed(balance, 5 * SECOND, home.target, &values, 300 * MSEC);
    wg_balance_update_speed(balance, 5 * SECOND, home.target, &values, 0);
    ck_assert_uint_eq(choose(&p, 5 * SECOND).target, home.target);
    end();
}
END_TEST

/* Guards against a lateness from the wire that no coordinator computes: a negative one would
   attract all prompts to the target, and sums with a huge one overflow. */
START_TEST(absurd_lateness_is_bounded) {
    begin_learning(1);
    const wg_speed_values values = {47000, 0.112, 60};
    wg_prompt p = prompt(5, 6);
    wg_balance_update_speed(balance, SECOND, 1, &values, 0);
    wg_time wait = choose(&p, SECOND).wait;
    wg_balance_update_speed(balance, SECOND, 1, &values, -SECOND);
    ck_assert_int_eq(choose(&p, SECOND).wait, wait);
    wg_balance_update_speed(balance, SECOND, 1, &values, G_MAXINT64);
    ck_assert_int_eq(choose(&p, SECOND).wait, wait + 3 * SECOND);
    end();
}
END_TEST

/* Without learn_base a host keeps to its own samples, as for earlier deployments. */
START_TEST(reports_of_speed_are_ignored_when_off) {
    begin(1);
    wg_prompt p = prompt(5, 6);
    wg_time wait = choose(&p, 0).wait;
    ck_assert_int_eq(wait, 12 * MSEC + (wg_time)(9200 / 0.030));
    wg_balance_update_speed(balance, 0, 1, &(wg_speed_values){47000, 0.112, 60}, SECOND);
    ck_assert_int_eq(choose(&p, 0).wait, wait);
    ck_assert_uint_eq(wg_balance_speed_of(balance, 1).samples, 0);
    end();
}
END_TEST

/* Room means that at least half of the ready targets are idle: with other hosts' requests on the
   others, and not only with this host's. */
START_TEST(room_is_half_of_the_targets_idle) {
    begin(10);
    wg_time now = SECOND;
    ck_assert(wg_balance_has_room(balance, now, "m"));
    for (uint32_t i = 1; i <= 5; i++) {
        wg_balance_set_others_load(balance, i, 0, 1);
    }
    now += SECOND;
    ck_assert(wg_balance_has_room(balance, now, "m"));
    wg_balance_set_others_load(balance, 6, 4000, 1);
    now += SECOND;
    ck_assert(!wg_balance_has_room(balance, now, "m"));
    ck_assert(!wg_balance_has_room(balance, now, "unknown"));
    end();
}
END_TEST

/* Guards against a count that ends too early or too late: an odd number of targets, of which some
   drain, and targets that lack slots or have too much to read. */
START_TEST(half_of_the_ready_targets_leaves_room) {
    enum {
        WAIT_MAX = 40 * MSEC,
        TOKENS = 2000 /* 67 ms at the speed assumed at first */
    };
    begin(7);
    ck_assert(wg_balance_leaves_room(balance, "m", WAIT_MAX));
    ck_assert(wg_balance_leaves_room(balance, "unknown", WAIT_MAX));
    wg_balance_set_others_load(balance, 1, TOKENS, 1);
    wg_balance_set_others_load(balance, 7, 0, 33); /* of 64 slots */
    wg_balance_set_others_load(balance, 4, TOKENS, 1);
    ck_assert(wg_balance_leaves_room(balance, "m", WAIT_MAX)); /* 4 of 7 */
    wg_balance_set_others_load(balance, 5, TOKENS, 1);
    ck_assert(!wg_balance_leaves_room(balance, "m", WAIT_MAX));    /* 3 of 7 */
    ck_assert(wg_balance_leaves_room(balance, "m", 2 * WAIT_MAX)); /* 6 of 7 */
    wg_target t = *wg_registry_find(registry, 5);
    t.state = WG_TARGET_DRAINING;
    t.sequence++;
    wg_registry_apply(registry, 0, &t);
    wg_balance_sync(balance, registry);
    ck_assert(wg_balance_leaves_room(balance, "m", WAIT_MAX)); /* 3 of 6 */
    wg_balance_set_others_load(balance, 2, TOKENS, 1);
    ck_assert(!wg_balance_leaves_room(balance, "m", WAIT_MAX)); /* 2 of 6 */
    end();
}
END_TEST

/* Guards against a stream that goes on at another version, and against one that finds none of the
   few targets that a release has left of its version, as home or sampled. */
START_TEST(stream_is_sent_only_to_targets_of_its_version) {
    enum {
        TARGETS = 300,
        OLD = 17 /* the only target of the old version */
    };
    begin(TARGETS);
    wg_balance_set_hosts(balance, 300);
    for (int i = 1; i <= TARGETS; i++) {
        set_version(i, WG_TARGET_READY, i == OLD ? "v1" : "v2");
    }
    for (uint64_t part = 1000; part < 1100; part++) {
        wg_prompt p = prompt(part, part + 5000);
        wg_balance_request need = {.service = "m", .prompt = &p, .slots = 64, .version = "v1"};
        ck_assert_uint_eq(wg_balance_choose(balance, 0, &need).target, OLD);
        need.prompt = NULL;
        ck_assert_uint_eq(wg_balance_choose(balance, 0, &need).target, OLD);
        need.version = "v2";
        ck_assert_uint_ne(wg_balance_choose(balance, 0, &need).target, OLD);
    }
    wg_balance_request need = {.service = "m", .slots = 64, .version = "v1", .tried = {OLD}};
    need.tried_num = 1;
    ck_assert_uint_eq(wg_balance_choose(balance, 0, &need).target, 0);
    end();
}
END_TEST

/* Guards against a caller that is told to come back for a version that never serves again, and
   against one that is sent away for good while its targets are only silent. */
START_TEST(version_is_gone_once_its_targets_drain) {
    begin(3);
    set_version(1, WG_TARGET_READY, "v1");
    set_version(2, WG_TARGET_READY, "v2");
    set_version(3, WG_TARGET_READY, "v2");
    ck_assert_int_eq(wg_balance_version_presence(balance, "m", "v1"), WG_VERSION_SERVES);
    ck_assert_int_eq(wg_balance_version_presence(balance, "m", "v3"), WG_VERSION_GONE);
    ck_assert_int_eq(wg_balance_version_presence(balance, "n", "v1"), WG_VERSION_GONE);
    set_version(1, WG_TARGET_DRAINING, "v1");
    ck_assert_int_eq(wg_balance_version_presence(balance, "m", "v1"), WG_VERSION_GONE);
    wg_target silent = *wg_registry_find(registry, 2);
    silent.state = WG_TARGET_UNRESPONSIVE;
    wg_registry_apply(registry, 0, &silent);
    wg_balance_sync_target(balance, registry, 2);
    ck_assert_int_eq(wg_balance_version_presence(balance, "m", "v2"), WG_VERSION_SERVES);
    silent = *wg_registry_find(registry, 3);
    silent.state = WG_TARGET_UNRESPONSIVE;
    wg_registry_apply(registry, 0, &silent);
    wg_balance_sync_target(balance, registry, 3);
    ck_assert_int_eq(wg_balance_version_presence(balance, "m", "v2"), WG_VERSION_AWAY);
    end();
}
END_TEST

WG_TEST_MAIN("balance", stream_is_sent_only_to_targets_of_its_version,
             version_is_gone_once_its_targets_drain, half_of_the_ready_targets_leaves_room,
             room_is_half_of_the_targets_idle, hosts_agree_on_the_homes_of_a_prefix,
             loaded_home_spills_over_to_the_second, missing_parts_are_copied_from_a_home,
             second_home_copies_missing_parts, new_home_copies_from_the_previous,
             denied_home_is_a_copy_source, newer_load_replaces_the_reported_one,
             load_of_other_hosts_decays, hosts_do_not_all_choose_the_least_loaded,
             removed_target_moves_only_its_own_prefixes, draining_targets_get_nothing,
             small_prefix_has_a_home_in_each_data_centre,
             third_homes_without_their_prefixes_are_given_up,
             plain_request_queues_at_a_target_that_answers_in_time,
             service_time_excludes_queue_time, targets_of_an_evacuated_data_centre_get_nothing,
             accounts_return_to_zero, failing_targets_are_ejected_and_return,
             requests_at_a_target_that_was_removed_and_came_back_still_count,
             requests_do_not_count_at_another_target_with_the_number_of_theirs,
             counts_are_right_in_any_order_of_removals_and_returns,
             replaced_target_gets_nothing_until_its_record_changes,
             slots_are_reserved_for_workspaces_within_their_share,
             homes_count_as_cached_after_warm_up_only, fair_level_is_max_min,
             confidence_follows_timely_first_events, fleet_stays_within_its_retry_budget,
             reported_speed_is_kept, stalled_home_is_avoided_and_stays_home,
             absurd_lateness_is_bounded, reports_of_speed_are_ignored_when_off)
