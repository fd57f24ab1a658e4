/* test_registry.c -- outdated heartbeats, draining, reused addresses, restarts of targets */
#include <stdio.h>

#include "wg_registry.h"
#include "wg_test.h"

static wg_target record(const char* id, wg_target_state state, uint64_t sequence,
                        const char* address) {
    wg_target t = {.slots = 6, .state = state, .sequence = sequence};
    wg_copy_name(t.id, sizeof t.id, id);
    wg_copy_name(t.service, sizeof t.service, "app");
    wg_copy_name(t.address, sizeof t.address, address);
    return t;
}

static wg_heartbeat_result receive(wg_registry* r, wg_time now, const char* id,
                                   wg_target_state state, uint64_t sequence) {
    wg_target t = record(id, state, sequence, "10.0.0.1:1");
    wg_heartbeat_result result = wg_registry_receive(r, now, &t);
    if (result == WG_HEARTBEAT_CHANGED) {
        wg_registry_apply(r, now, &t);
    }
    return result;
}

static wg_target_state state_of(const wg_registry* r, const char* id) {
    const wg_target* t = NULL;
    while ((t = wg_registry_next(r, t ? t->number : 0))) {
        if (strcmp(t->id, id) == 0) {
            return t->state;
        }
    }
    return WG_TARGET_DEFAULT;
}

START_TEST(unchanged_heartbeats_change_nothing) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    ck_assert_int_eq(receive(r, 0, "a", WG_TARGET_READY, 1), WG_HEARTBEAT_CHANGED);
    uint64_t change = wg_registry_change(r);
    ck_assert_int_eq(receive(r, 1, "a", WG_TARGET_READY, 2), WG_HEARTBEAT_UNCHANGED);
    ck_assert_int_eq(receive(r, 2, "a", WG_TARGET_READY, 2), WG_HEARTBEAT_OUTDATED);
    ck_assert_uint_eq(wg_registry_change(r), change);
    wg_registry_shutdown(r);
}
END_TEST

static void receive_version(wg_registry* r, wg_time now, const char* id, wg_target_state state,
                            const char* version) {
    static uint64_t sequence = 1;
    char address[WG_ADDRESS_MAX];
    g_snprintf(address, sizeof address, "10.0.0.%d:1", (int)id[0]);
    wg_target t = record(id, state, ++sequence, address);
    wg_copy_name(t.version, sizeof t.version, version);
    wg_registry_apply(r, now, &t);
}

/* Guards against a host that takes the version that serves now for the one that began a stream: a
   version counts until its last target has been gone for long, also in a copy that is made later
   and in one loaded from a snapshot. */
START_TEST(version_counts_for_some_time_after_its_last_target) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    wg_registry* copy = wg_registry_setup(&(wg_registry_desc){0});
    wg_registry* loaded = wg_registry_setup(&(wg_registry_desc){0});
    wg_time life = 30 * SECOND;
    ck_assert_ptr_null(wg_registry_only_version(r, 0, "app", life));
    receive_version(r, 0, "a", WG_TARGET_READY, "v1");
    receive_version(r, 0, "b", WG_TARGET_READY, "v1");
    ck_assert_str_eq(wg_registry_only_version(r, 0, "app", life), "v1");
    ck_assert_ptr_null(wg_registry_only_version(r, 0, "other", life));
    receive_version(r, 1 * SECOND, "c", WG_TARGET_READY, "v2");
    receive_version(r, 1 * SECOND, "a", WG_TARGET_DRAINING, "v1");
    ck_assert_ptr_null(wg_registry_only_version(r, 1 * SECOND, "app", life));
    receive_version(r, 2 * SECOND, "a", WG_TARGET_REMOVED, "");
    receive_version(r, 2 * SECOND, "b", WG_TARGET_REMOVED, "");
    Wgpb__RegistryState* state = wg_registry_dump(r, 12 * SECOND);
    bool reset = false;
    GPtrArray* changes = wg_registry_changes(r, 12 * SECOND, UINT64_MAX, &reset);
    ck_assert(reset);
    for (guint i = 0; i < changes->len; i++) {
        Wgpb__TargetRecord packed;
        wg_target_pack(changes->pdata[i], 12 * SECOND, &packed);
        ck_assert(wg_registry_merge(copy, 1012 * SECOND, &packed)); /* by another clock */
    }
    ck_assert(wg_registry_load(loaded, 12 * SECOND, state));
    ck_assert_ptr_null(wg_registry_only_version(r, 32 * SECOND, "app", life));
    ck_assert_ptr_null(wg_registry_only_version(loaded, 32 * SECOND, "app", life));
    ck_assert_ptr_null(wg_registry_only_version(copy, 1032 * SECOND, "app", life));
    ck_assert_str_eq(wg_registry_only_version(r, 33 * SECOND, "app", life), "v2");
    ck_assert_str_eq(wg_registry_only_version(loaded, 33 * SECOND, "app", life), "v2");
    ck_assert_str_eq(wg_registry_only_version(copy, 1033 * SECOND, "app", life), "v2");
    g_ptr_array_unref(changes);
    wgpb__registry_state__free_unpacked(state, NULL);
    wg_registry_shutdown(loaded);
    wg_registry_shutdown(copy);
    wg_registry_shutdown(r);
}
END_TEST

/* Guards against hosts that cannot tell software versions apart: a copy, also from a snapshot, has
   the version of each target, and a changed one is a change. */
START_TEST(version_of_a_target_reaches_all_copies) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    wg_registry* copy = wg_registry_setup(&(wg_registry_desc){0});
    wg_target t = record("a", WG_TARGET_READY, 1, "10.0.0.1:1");
    wg_copy_name(t.version, sizeof t.version, "v1");
    wg_registry_apply(r, 0, &t);
    t.sequence = 2;
    wg_copy_name(t.version, sizeof t.version, "v2");
    ck_assert_int_eq(wg_registry_receive(r, 1, &t), WG_HEARTBEAT_CHANGED);
    wg_registry_apply(r, 1, &t);
    Wgpb__RegistryState* state = wg_registry_dump(r, 1);
    ck_assert(wg_registry_load(copy, 1, state));
    ck_assert_str_eq(wg_registry_next(copy, 0)->version, "v2");
    wgpb__registry_state__free_unpacked(state, NULL);
    wg_registry_shutdown(copy);
    wg_registry_shutdown(r);
}
END_TEST

/* A heartbeat sent before the target began to drain and received later must not revive it. */
START_TEST(late_heartbeat_does_not_revive_a_target) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive(r, 0, "a", WG_TARGET_READY, 1);
    ck_assert_int_eq(receive(r, 1, "a", WG_TARGET_DRAINING, 5), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(receive(r, 2, "a", WG_TARGET_READY, 4), WG_HEARTBEAT_OUTDATED);
    ck_assert_int_eq(receive(r, 3, "a", WG_TARGET_READY, 6), WG_HEARTBEAT_UNCHANGED);
    ck_assert_int_eq(state_of(r, "a"), WG_TARGET_DRAINING);
    ck_assert_int_eq(receive(r, 4, "a", WG_TARGET_REMOVED, 0), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(receive(r, 5, "a", WG_TARGET_READY, 99), WG_HEARTBEAT_OUTDATED);
    ck_assert_int_eq(state_of(r, "a"), WG_TARGET_REMOVED);
    wg_registry_shutdown(r);
}
END_TEST

/* A change that was received but not committed must be proposed again, not acknowledged. */
START_TEST(uncommitted_change_is_proposed_again) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive(r, 0, "a", WG_TARGET_READY, 1);
    wg_target drain = record("a", WG_TARGET_DRAINING, 2, "10.0.0.1:1");
    ck_assert_int_eq(wg_registry_receive(r, 1, &drain), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(wg_registry_receive(r, 2, &drain), WG_HEARTBEAT_CHANGED);
    wg_registry_shutdown(r);
}
END_TEST

/* A late heartbeat must not register a target that has deregistered. */
START_TEST(deregistration_without_a_record_is_kept) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    ck_assert_int_eq(receive(r, 0, "a", WG_TARGET_REMOVED, 0), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(receive(r, 1, "a", WG_TARGET_READY, 7), WG_HEARTBEAT_OUTDATED);
    wg_registry_shutdown(r);
}
END_TEST

START_TEST(new_incarnation_ends_the_one_at_its_address) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive(r, 0, "a", WG_TARGET_READY, 1);
    receive(r, 1, "b", WG_TARGET_READY, 1);
    ck_assert_int_eq(state_of(r, "a"), WG_TARGET_REMOVED);
    ck_assert_int_eq(state_of(r, "b"), WG_TARGET_READY);
    wg_registry_shutdown(r);
}
END_TEST

START_TEST(unresponsive_target_returns_by_a_newer_heartbeat_only) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive(r, 0, "a", WG_TARGET_READY, 3);
    ck_assert_ptr_null(wg_registry_find_unresponsive(r, 5 * SECOND, 5 * SECOND));
    const wg_target* unresponsive = wg_registry_find_unresponsive(r, 5 * SECOND + 1, 5 * SECOND);
    ck_assert_ptr_nonnull(unresponsive);
    wg_target unresponsive_record = *unresponsive;
    unresponsive_record.state = WG_TARGET_UNRESPONSIVE;
    wg_registry_apply(r, 6 * SECOND, &unresponsive_record);
    ck_assert_int_eq(state_of(r, "a"), WG_TARGET_UNRESPONSIVE);
    ck_assert_int_eq(receive(r, 7 * SECOND, "a", WG_TARGET_READY, 3), WG_HEARTBEAT_OUTDATED);
    ck_assert_int_eq(receive(r, 8 * SECOND, "a", WG_TARGET_READY, 4), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(state_of(r, "a"), WG_TARGET_READY);
    wg_registry_shutdown(r);
}
END_TEST

/* The first heartbeat of a crashed target may arrive after that of its replacement; the target that
   continues to send heartbeats keeps the address. */
START_TEST(late_first_heartbeat_does_not_end_a_live_target) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive(r, 0, "lives", WG_TARGET_READY, 1);
    receive(r, SECOND, "crashed", WG_TARGET_READY, 1);
    ck_assert_int_eq(state_of(r, "lives"), WG_TARGET_REMOVED);
    ck_assert_int_eq(receive(r, 2 * SECOND, "lives", WG_TARGET_READY, 2), WG_HEARTBEAT_OUTDATED);
    ck_assert_int_eq(receive(r, 4 * SECOND, "lives", WG_TARGET_READY, 3), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(state_of(r, "lives"), WG_TARGET_READY);
    ck_assert_int_eq(state_of(r, "crashed"), WG_TARGET_REMOVED);
    wg_registry_shutdown(r);
}
END_TEST

/* Late heartbeats of a crashed target must not replace its replacement, and the replacement's
   deregistration is final. */
START_TEST(late_heartbeat_does_not_replace_the_replacement) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive(r, 0, "crashed", WG_TARGET_READY, 1);
    receive(r, 1 * SECOND, "lives", WG_TARGET_READY, 1);
    for (uint64_t i = 2; i < 10; i++) {
        ck_assert_int_eq(receive(r, (wg_time)i * SECOND, "crashed", WG_TARGET_READY, i),
                         WG_HEARTBEAT_OUTDATED);
        receive(r, (wg_time)i * SECOND, "lives", WG_TARGET_READY, i);
    }
    ck_assert_int_eq(state_of(r, "lives"), WG_TARGET_READY);
    ck_assert_int_eq(receive(r, 20 * SECOND, "lives", WG_TARGET_REMOVED, 0), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(receive(r, 30 * SECOND, "lives", WG_TARGET_READY, 99), WG_HEARTBEAT_OUTDATED);
    wg_registry_shutdown(r);
}
END_TEST

static wg_heartbeat_result receive_cold(wg_registry* r, wg_time now, uint64_t sequence,
                                        wg_time cold) {
    wg_target t = record("a", WG_TARGET_READY, sequence, "10.0.0.1:1");
    t.cold_until = cold ? now + cold : 0;
    wg_heartbeat_result result = wg_registry_receive(r, now, &t);
    if (result == WG_HEARTBEAT_CHANGED) {
        wg_registry_apply(r, now, &t);
    }
    return result;
}

/* Only the transition to cold is a change, not the remaining cold time in each heartbeat. */
START_TEST(transition_to_cold_is_a_change) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive_cold(r, 0, 1, 3 * SECOND);
    ck_assert_int_eq(wg_registry_find(r, 1)->cold_until, 3 * SECOND);
    ck_assert_int_eq(receive_cold(r, 1 * SECOND, 2, 2 * SECOND), WG_HEARTBEAT_UNCHANGED);
    ck_assert_int_eq(receive_cold(r, 5 * SECOND, 3, 0), WG_HEARTBEAT_UNCHANGED);
    ck_assert_int_eq(receive_cold(r, 6 * SECOND, 4, 2 * SECOND), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(wg_registry_find(r, 1)->cold_until, 8 * SECOND);
    Wgpb__TargetRecord packed;
    wg_target unpacked;
    wg_target_pack(wg_registry_find(r, 1), 7 * SECOND, &packed);
    ck_assert(wg_target_unpack(&packed, 100 * SECOND, &unpacked));
    ck_assert_int_eq(unpacked.cold_until, 101 * SECOND);
    wg_registry_shutdown(r);
}
END_TEST

static void evacuate(wg_registry* r, wg_time now, bool begins, bool changes) {
    wg_evacuation evacuation = {.data_centre = "dc", .begins = begins, .cold_time = 3 * SECOND};
    ck_assert_int_eq(wg_registry_evacuate(r, now, &evacuation), changes);
}

/* Repeated orders change nothing, snapshots contain evacuations, targets are cold afterwards. */
START_TEST(evacuated_targets_accept_nothing) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    wg_target t = record("a", WG_TARGET_READY, 1, "10.0.0.1:1");
    wg_copy_name(t.data_centre, sizeof t.data_centre, "dc");
    wg_registry_apply(r, 0, &t);
    wg_target other = record("b", WG_TARGET_READY, 1, "10.0.0.2:1");
    wg_registry_apply(r, 0, &other);
    uint64_t change = wg_registry_change(r);
    evacuate(r, 1, true, true);
    evacuate(r, 2, true, false);
    ck_assert_uint_eq(wg_registry_change(r), change + 1);
    ck_assert(!wg_registry_accepts(r, wg_registry_find(r, 1)));
    ck_assert(wg_registry_accepts(r, wg_registry_find(r, 2)));

    Wgpb__RegistryState* state = wg_registry_dump(r, 3);
    wg_registry* loaded = wg_registry_setup(&(wg_registry_desc){0});
    ck_assert(wg_registry_load(loaded, 3, state));
    ck_assert(wg_registry_is_evacuated(loaded, "dc"));
    wgpb__registry_state__free_unpacked(state, NULL);
    wg_registry_shutdown(loaded);

    evacuate(r, 10 * SECOND, false, true);
    evacuate(r, 11 * SECOND, false, false);
    ck_assert(wg_registry_accepts(r, wg_registry_find(r, 1)));
    ck_assert_int_eq(wg_registry_find(r, 1)->cold_until, 13 * SECOND);
    ck_assert_int_eq(wg_registry_find(r, 2)->cold_until, 0);
    wg_registry_shutdown(r);
}
END_TEST

static void copy_changes(const wg_registry* from, wg_registry* to, uint64_t since) {
    bool reset = false;
    GPtrArray* changes = wg_registry_changes(from, 0, since, &reset);
    if (reset) {
        wg_registry_clear(to);
    }
    for (guint i = 0; i < changes->len; i++) {
        Wgpb__TargetRecord packed;
        wg_target_pack(changes->pdata[i], 0, &packed);
        ck_assert(wg_registry_merge(to, 0, &packed));
    }
    wg_registry_set_change(to, wg_registry_change(from));
    g_ptr_array_unref(changes);
}

/* Copies that are updated irregularly, and one loaded from a snapshot, match the original even
   after ended records were dropped. */
START_TEST(copies_match_after_ended_records_are_dropped) {
    for (uint64_t seed = 1; seed <= 20; seed++) {
        wg_registry* r = wg_registry_setup(&(wg_registry_desc){.ended_max = 8});
        wg_registry* copy = wg_registry_setup(&(wg_registry_desc){.ended_max = 8});
        uint64_t since = 0;
        for (uint64_t step = 1; step <= 600; step++) {
            uint64_t random = wg_jitter(seed, step);
            char id[16];
            char address[24];
            g_snprintf(id, sizeof id, "i%d", (int)(random % 60));
            g_snprintf(address, sizeof address, "10.0.0.%d:1", (int)(random / 60 % 12));
            wg_target t = record(id, (wg_target_state)(1 + random / 720 % 4), step / 3, address);
            if (wg_registry_receive(r, (wg_time)step, &t) == WG_HEARTBEAT_CHANGED) {
                wg_registry_apply(r, (wg_time)step, &t);
            }
            if (random % 17 == 0) {
                copy_changes(r, copy, since);
                since = wg_registry_change(r);
                const wg_target* mine = NULL;
                while ((mine = wg_registry_next(r, mine ? mine->number : 0))) {
                    bool ended = mine->state == WG_TARGET_REMOVED;
                    const wg_target* theirs = wg_registry_find(copy, mine->number);
                    ck_assert(theirs ? theirs->state == mine->state : ended);
                }
                const wg_target* theirs = NULL;
                while ((theirs = wg_registry_next(copy, theirs ? theirs->number : 0))) {
                    ck_assert(theirs->state == WG_TARGET_REMOVED ||
                              wg_registry_find(r, theirs->number) != NULL);
                }
            }
        }
        Wgpb__RegistryState* state = wg_registry_dump(r, 0);
        wg_registry* loaded = wg_registry_setup(&(wg_registry_desc){.ended_max = 8});
        ck_assert(wg_registry_load(loaded, 0, state));
        ck_assert_uint_eq(wg_registry_change(loaded), wg_registry_change(r));
        wgpb__registry_state__free_unpacked(state, NULL);
        wg_registry_shutdown(loaded);
        wg_registry_shutdown(copy);
        wg_registry_shutdown(r);
    }
}
END_TEST

/* ---- restarts under the same id ---- */

static wg_heartbeat_result receive_incarnation(wg_registry* r, wg_time now, uint64_t born,
                                               wg_target_state state, uint64_t sequence) {
    wg_target t = record("a", state, sequence, "10.0.0.1:1");
    t.born = born;
    wg_heartbeat_result result = wg_registry_receive(r, now, &t);
    if (result == WG_HEARTBEAT_CHANGED) {
        wg_registry_apply(r, now, &t);
    }
    return result;
}

static const wg_target* last_record(const wg_registry* r) {
    const wg_target* last = NULL;
    const wg_target* t = NULL;
    while ((t = wg_registry_next(r, t ? t->number : 0))) {
        last = t;
    }
    return last;
}

/* A restarted target counts heartbeats from one again; they must not be taken for outdated ones. */
START_TEST(restarted_target_is_another_incarnation) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive_incarnation(r, 0, 1000, WG_TARGET_READY, 1);
    receive_incarnation(r, SECOND, 1000, WG_TARGET_READY, 501);
    uint32_t previous = last_record(r)->number;
    ck_assert_int_eq(receive_incarnation(r, 3 * SECOND, 2000, WG_TARGET_READY, 1),
                     WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(receive_incarnation(r, 4 * SECOND, 2000, WG_TARGET_READY, 2),
                     WG_HEARTBEAT_UNCHANGED);
    const wg_target* target = last_record(r);
    ck_assert_uint_ne(target->number, previous);
    ck_assert_int_eq(target->state, WG_TARGET_READY);
    ck_assert_int_eq(wg_registry_find(r, previous)->state, WG_TARGET_REMOVED);
    wg_registry_shutdown(r);
}
END_TEST

/* Guards against a version that is taken for sure although the target had already restarted with
   another one, which only a later heartbeat told. */
START_TEST(version_is_in_doubt_around_a_restart_that_came_to_be_known_late) {
    enum {
        KNOWN_AT = 20 * SECOND, /* when the later start registers */
        FIRST_IN_DOUBT = KNOWN_AT - WG_REGISTRY_RESTART_UNNOTICED_MAX
    };
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    wg_registry* copy = wg_registry_setup(&(wg_registry_desc){0});
    const uint64_t starts[] = {1000, 2000, 3000};
    const char* versions[] = {"v1", "v2", "v1"};
    for (int i = 0; i < 3; i++) {
        wg_target t = record("a", WG_TARGET_READY, 1, "10.0.0.1:1");
        t.born = starts[i];
        wg_copy_name(t.version, sizeof t.version, versions[i]);
        wg_registry_apply(r, i * KNOWN_AT, &t);
        ck_assert(!wg_registry_may_have_restarted(r, last_record(r)->number, i * KNOWN_AT));
    }
    uint32_t first = wg_registry_next(r, 0)->number;
    Wgpb__RegistryState* state = wg_registry_dump(r, 2 * KNOWN_AT);
    ck_assert(wg_registry_load(copy, 2 * KNOWN_AT, state));
    wgpb__registry_state__free_unpacked(state, NULL);
    wg_registry* both[] = {r, copy};
    for (int i = 0; i < 2; i++) {
        uint32_t unknown = last_record(both[i])->number + 1;
        ck_assert(wg_registry_may_have_restarted(both[i], unknown, 0));
        ck_assert(!wg_registry_may_have_restarted(both[i], first, FIRST_IN_DOUBT - 1));
        ck_assert(wg_registry_may_have_restarted(both[i], first, FIRST_IN_DOUBT));
        ck_assert(wg_registry_may_have_restarted(both[i], first, 2 * KNOWN_AT));
    }
    wg_registry_shutdown(copy);
    wg_registry_shutdown(r);
}
END_TEST

/* Guards against doubt about targets whose records were dropped, as after a release of many. */
START_TEST(version_of_a_target_whose_record_was_dropped_is_sure) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){.ended_max = 1});
    for (uint64_t born = 1; born <= 4; born++) {
        receive_incarnation(r, SECOND, born, WG_TARGET_READY, 1);
    }
    ck_assert_ptr_null(wg_registry_find(r, 1));
    ck_assert(!wg_registry_may_have_restarted(r, 1, SECOND));
    wg_registry_shutdown(r);
}
END_TEST

/* Guards against doubt where a target restarts with the version that it had. */
START_TEST(version_is_sure_if_the_target_restarts_with_it) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive_incarnation(r, 0, 1000, WG_TARGET_READY, 1);
    uint32_t first = last_record(r)->number;
    receive_incarnation(r, SECOND, 2000, WG_TARGET_READY, 1);
    ck_assert(!wg_registry_may_have_restarted(r, first, SECOND));
    wg_registry_shutdown(r);
}
END_TEST

START_TEST(messages_of_a_previous_incarnation_are_ignored) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive_incarnation(r, 0, 1000, WG_TARGET_READY, 500);
    receive_incarnation(r, SECOND, 2000, WG_TARGET_READY, 1);
    uint64_t change = wg_registry_change(r);
    ck_assert_int_eq(receive_incarnation(r, 2 * SECOND, 1000, WG_TARGET_READY, 501),
                     WG_HEARTBEAT_OUTDATED);
    ck_assert_int_eq(receive_incarnation(r, 2 * SECOND, 1000, WG_TARGET_DRAINING, 502),
                     WG_HEARTBEAT_OUTDATED);
    ck_assert_int_eq(receive_incarnation(r, 2 * SECOND, 1000, WG_TARGET_REMOVED, 0),
                     WG_HEARTBEAT_OUTDATED);
    /* A change of the previous incarnation, committed after the restart. */
    wg_target unresponsive = record("a", WG_TARGET_UNRESPONSIVE, 500, "10.0.0.1:1");
    unresponsive.born = 1000;
    wg_registry_apply(r, 2 * SECOND, &unresponsive);
    ck_assert_uint_eq(wg_registry_change(r), change);
    ck_assert_int_eq(last_record(r)->state, WG_TARGET_READY);
    wg_registry_shutdown(r);
}
END_TEST

/* ---- processes that follow each other at one address ---- */

static wg_heartbeat_result receive_started(wg_registry* r, wg_time now, const char* id,
                                           uint64_t born, uint64_t sequence) {
    wg_target t = record(id, WG_TARGET_READY, sequence, "10.0.0.1:1");
    t.born = born;
    wg_heartbeat_result result = wg_registry_receive(r, now, &t);
    if (result == WG_HEARTBEAT_CHANGED) {
        wg_registry_apply(r, now, &t);
    }
    return result;
}

/* Guards against the end of a target that serves, for a first heartbeat that was delayed until
   after its sender had crashed: of an id that was never heard of, or of a later start of one. */
START_TEST(late_first_heartbeat_does_not_end_the_target_that_holds_its_address) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive_started(r, 0, "earlier", 1000, 1);
    receive_started(r, 0, "serves", 3000, 1);
    for (uint64_t i = 2; i < 8; i++) {
        wg_time now = (wg_time)i * SECOND;
        ck_assert_int_eq(receive_started(r, now, "never-heard", 2000, i), WG_HEARTBEAT_SUPERSEDED);
        ck_assert_int_eq(receive_started(r, now, "earlier", 2500, i), WG_HEARTBEAT_SUPERSEDED);
        ck_assert_int_eq(receive_started(r, now, "serves", 3000, i), WG_HEARTBEAT_UNCHANGED);
        ck_assert_int_eq(state_of(r, "serves"), WG_TARGET_READY);
    }
    ck_assert_int_eq(state_of(r, "never-heard"), WG_TARGET_DEFAULT);
    wg_registry_shutdown(r);
}
END_TEST

/* Guards against a replacement that has to wait until its predecessor counts as silent, and against
   an address that stays with a target that sends no heartbeats. */
START_TEST(later_start_takes_the_address_at_once_and_silence_gives_it_to_any) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive_started(r, 0, "first", 1000, 1);
    ck_assert_int_eq(receive_started(r, 1, "second", 2000, 1), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(state_of(r, "first"), WG_TARGET_REMOVED);
    wg_time late = 1 + WG_REGISTRY_HOLDER_TIMEOUT_DEFAULT;
    ck_assert_int_eq(receive_started(r, late, "delayed", 1500, 1), WG_HEARTBEAT_SUPERSEDED);
    ck_assert_int_eq(receive_started(r, late + 1, "delayed", 1500, 2), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(state_of(r, "delayed"), WG_TARGET_READY);
    /* It was alive all the time, and only its heartbeats were held up. */
    ck_assert_int_eq(receive_started(r, late + 2, "second", 2000, 2), WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(state_of(r, "second"), WG_TARGET_READY);
    ck_assert_int_eq(state_of(r, "delayed"), WG_TARGET_REMOVED);
    wg_registry_shutdown(r);
}
END_TEST

/* Guards against the end of a target that is taken for planned because the target was leaving, and
   against a planned one that is taken for a crash; in a copy, too. */
START_TEST(planned_end_is_one_after_a_drain_and_a_deregistration) {
    enum {
        DRAIN = 2 * SECOND,
        SOON = DRAIN / 4,
        LATER = 2 * DRAIN,
        BEGIN = SECOND
    };
    static const struct {
        wg_target_state states[2]; /* that the target reports one after the other */
        bool silent;               /* it counts as unresponsive at the end */
        wg_end_kind soon;          /* it ends before it has drained */
        wg_end_kind later;
        wg_end_kind soon_unknown; /* the host does not know how long targets drain */
    } cases[] = {
        {{WG_TARGET_READY, WG_TARGET_READY},
         false,
         WG_END_UNPLANNED,
         WG_END_UNPLANNED,
         WG_END_UNPLANNED},
        {{WG_TARGET_DRAINING, 0}, false, WG_END_UNPLANNED, WG_END_UNDECIDED, WG_END_UNDECIDED},
        {{WG_TARGET_REMOVED, 0}, false, WG_END_UNPLANNED, WG_END_PLANNED, WG_END_PLANNED},
        {{WG_TARGET_DRAINING, WG_TARGET_REMOVED},
         false,
         WG_END_UNPLANNED,
         WG_END_PLANNED,
         WG_END_PLANNED},
        {{WG_TARGET_DRAINING, 0}, true, WG_END_UNPLANNED, WG_END_UNPLANNED, WG_END_UNPLANNED},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
        wg_registry* copy = wg_registry_setup(&(wg_registry_desc){0});
        receive(r, 0, "a", WG_TARGET_READY, 1);
        for (uint64_t s = 0; s < 2 && cases[i].states[s]; s++) {
            receive(r, BEGIN + (wg_time)s, "a", cases[i].states[s], 2 + s);
        }
        if (cases[i].silent) {
            wg_target unresponsive = record("a", WG_TARGET_UNRESPONSIVE, 2, "10.0.0.1:1");
            wg_registry_apply(r, BEGIN + 1, &unresponsive);
        }
        wg_time copied_at = BEGIN + SOON / 2;
        Wgpb__RegistryState* state = wg_registry_dump(r, copied_at);
        ck_assert(wg_registry_load(copy, copied_at, state));
        wgpb__registry_state__free_unpacked(state, NULL);
        const wg_registry* both[] = {r, copy};
        for (int c = 0; c < 2; c++) {
            const wg_target* t = wg_registry_find(both[c], 1);
            ck_assert_int_eq(wg_target_end_kind(t, BEGIN + SOON, DRAIN), cases[i].soon);
            ck_assert_int_eq(wg_target_end_kind(t, BEGIN + LATER, DRAIN), cases[i].later);
            ck_assert_int_eq(wg_target_end_kind(t, BEGIN + SOON, 0), cases[i].soon_unknown);
        }
        wg_registry_shutdown(copy);
        wg_registry_shutdown(r);
    }
}
END_TEST

/* Guards against a target that was replaced, so that its process has ended, and counts as one that
   ended as planned. */
START_TEST(end_of_a_replaced_target_is_not_planned) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive_started(r, 0, "first", 1000, 1);
    receive_started(r, SECOND, "second", 2000, 1);
    const wg_target* first = wg_registry_find(r, 1);
    ck_assert_int_eq(first->state, WG_TARGET_REMOVED);
    ck_assert_int_eq(wg_target_end_kind(first, 20 * SECOND, 2 * SECOND), WG_END_UNPLANNED);
    wg_registry_shutdown(r);
}
END_TEST

START_TEST(deregistered_target_may_register_again) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    receive_incarnation(r, 0, 1000, WG_TARGET_DRAINING, 5);
    /* A deregistration may lack the incarnation. */
    receive_incarnation(r, SECOND, 0, WG_TARGET_REMOVED, 0);
    ck_assert_int_eq(receive_incarnation(r, 2 * SECOND, 1000, WG_TARGET_READY, 900),
                     WG_HEARTBEAT_OUTDATED);
    ck_assert_int_eq(receive_incarnation(r, 3 * SECOND, 2000, WG_TARGET_READY, 1),
                     WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(last_record(r)->state, WG_TARGET_READY);
    wg_registry_shutdown(r);
}
END_TEST

/* A snapshot distinguishes two incarnations of one id. */
START_TEST(snapshots_distinguish_incarnations) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    wg_registry* loaded = wg_registry_setup(&(wg_registry_desc){0});
    receive_incarnation(r, 0, 1000, WG_TARGET_READY, 7);
    receive_incarnation(r, SECOND, 2000, WG_TARGET_READY, 1);
    Wgpb__RegistryState* state = wg_registry_dump(r, SECOND);
    ck_assert(wg_registry_load(loaded, SECOND, state));
    wgpb__registry_state__free_unpacked(state, NULL);
    ck_assert_int_eq(receive_incarnation(loaded, 2 * SECOND, 1000, WG_TARGET_READY, 8),
                     WG_HEARTBEAT_OUTDATED);
    ck_assert_int_eq(receive_incarnation(loaded, 2 * SECOND, 2000, WG_TARGET_READY, 2),
                     WG_HEARTBEAT_UNCHANGED);
    ck_assert_int_eq(receive_incarnation(loaded, 3 * SECOND, 3000, WG_TARGET_READY, 1),
                     WG_HEARTBEAT_CHANGED);
    ck_assert_int_eq(receive_incarnation(r, 3 * SECOND, 3000, WG_TARGET_READY, 1),
                     WG_HEARTBEAT_CHANGED);
    ck_assert_uint_eq(last_record(loaded)->number, last_record(r)->number);
    wg_registry_shutdown(loaded);
    wg_registry_shutdown(r);
}
END_TEST

/* Ended records of previous incarnations are dropped; the current one stays. */
START_TEST(records_of_incarnations_are_bounded) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){.ended_max = 4});
    for (uint64_t born = 1; born <= 50; born++) {
        ck_assert_int_eq(receive_incarnation(r, (wg_time)born, born, WG_TARGET_READY, 1),
                         WG_HEARTBEAT_CHANGED);
        ck_assert_int_eq(receive_incarnation(r, (wg_time)born, born, WG_TARGET_READY, 2),
                         WG_HEARTBEAT_UNCHANGED);
    }
    int num = 0;
    for (const wg_target* t = NULL; (t = wg_registry_next(r, t ? t->number : 0));) {
        num++;
    }
    ck_assert_int_eq(num, 5);
    ck_assert_int_eq(last_record(r)->state, WG_TARGET_READY);
    wg_registry_shutdown(r);
}
END_TEST

/* A copy finds a record by its number in whatever order the records came, also after some of them
   ended and were dropped. */
START_TEST(copy_takes_records_in_any_order) {
    enum {
        RECORDS = 40,
        KEPT_ENDED = 4
    };
    wg_registry* copy = wg_registry_setup(&(wg_registry_desc){.ended_max = KEPT_ENDED});
    for (int i = RECORDS; i > 0; i--) {
        char id[16];
        Wgpb__TargetRecord record = WGPB__TARGET_RECORD__INIT;
        g_snprintf(id, sizeof id, "t-%d", i);
        record.id = id;
        record.service = (char*)"s";
        record.address = (char*)"10.0.0.1:80";
        record.data_centre = (char*)"dc";
        record.number = (uint32_t)i;
        record.change = (uint64_t)i;
        record.state = i % 2 ? WG_TARGET_REMOVED : WG_TARGET_READY;
        ck_assert(wg_registry_merge(copy, 0, &record));
    }
    uint32_t last = 0;
    int num = 0;
    for (const wg_target* t = NULL; (t = wg_registry_next(copy, t ? t->number : 0)); num++) {
        ck_assert_uint_gt(t->number, last);
        ck_assert_ptr_eq(wg_registry_find(copy, t->number), t);
        last = t->number;
    }
    ck_assert_int_eq(num, RECORDS / 2 + KEPT_ENDED);
    ck_assert_ptr_null(wg_registry_find(copy, 1)); /* ended first */
    ck_assert_ptr_nonnull(wg_registry_find(copy, RECORDS - 1));
    wg_registry_shutdown(copy);
}
END_TEST

WG_TEST_MAIN("registry", copy_takes_records_in_any_order, unchanged_heartbeats_change_nothing,
             version_of_a_target_reaches_all_copies,
             version_counts_for_some_time_after_its_last_target,
             late_heartbeat_does_not_revive_a_target, uncommitted_change_is_proposed_again,
             deregistration_without_a_record_is_kept, new_incarnation_ends_the_one_at_its_address,
             unresponsive_target_returns_by_a_newer_heartbeat_only,
             late_first_heartbeat_does_not_end_a_live_target,
             late_heartbeat_does_not_replace_the_replacement, transition_to_cold_is_a_change,
             evacuated_targets_accept_nothing, copies_match_after_ended_records_are_dropped,
             late_first_heartbeat_does_not_end_the_target_that_holds_its_address,
             later_start_takes_the_address_at_once_and_silence_gives_it_to_any,
             planned_end_is_one_after_a_drain_and_a_deregistration,
             end_of_a_replaced_target_is_not_planned, restarted_target_is_another_incarnation,
             version_is_in_doubt_around_a_restart_that_came_to_be_known_late,
             version_of_a_target_whose_record_was_dropped_is_sure,
             version_is_sure_if_the_target_restarts_with_it,
             messages_of_a_previous_incarnation_are_ignored, deregistered_target_may_register_again,
             snapshots_distinguish_incarnations, records_of_incarnations_are_bounded)
