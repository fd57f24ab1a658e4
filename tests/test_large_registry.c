/* test_large_registry.c -- twenty thousand targets: a change costs a host and a replica the same as
   among few

   Processor time is measured, so that other load on the machine does not count. */
#include <time.h>

#include "wg_balance.h"
#include "wg_registry.h"
#include "wg_test.h"

enum {
    TARGETS = 20000,
    CHANGES = 400,
    HOSTS = 2000,
    /* Control may take 4.7% of a core; a tenth of that for changes of targets, which come ten times
       a second. */
    CHANGE_MAX_US = 470,
    /* A new host, or a replica that starts, has this long for all targets, on a tenth of a core. */
    START_MAX_MS = 200
};

static double cpu_ms(void) {
    return (double)clock() * 1000 / CLOCKS_PER_SEC;
}

static wg_target target_number(int number, uint64_t sequence) {
    wg_target t = {.state = WG_TARGET_READY, .slots = 64, .sequence = sequence, .born = 1};
    g_snprintf(t.id, sizeof t.id, "engine-%d", number);
    g_snprintf(t.service, sizeof t.service, "engine");
    g_snprintf(t.address, sizeof t.address, "10.%d.%d.%d:80", number % 5, number / 200,
               number % 200);
    g_snprintf(t.data_centre, sizeof t.data_centre, "dc%d", number % 5);
    return t;
}

static wg_registry* registry_with_all(void) {
    wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
    for (int i = 1; i <= TARGETS; i++) {
        wg_target t = target_number(i, 1);
        wg_registry_apply(r, 0, &t);
    }
    return r;
}

static void copy_changes(wg_registry* from, wg_registry* to, wg_balance* balance) {
    bool reset;
    GPtrArray* changes = wg_registry_changes(from, 0, wg_registry_change(to), &reset);
    ck_assert(!reset);
    for (guint i = 0; i < changes->len; i++) {
        Wgpb__TargetRecord packed;
        wg_target_pack(changes->pdata[i], 0, &packed);
        ck_assert(wg_registry_merge(to, 0, &packed));
        wg_balance_sync_target(balance, to, packed.number);
    }
    wg_registry_set_change(to, wg_registry_change(from));
    g_ptr_array_unref(changes);
}

/* Registering a target compares it with the one at its address, not with all others. */
START_TEST(replica_registers_all_in_time) {
    double start = cpu_ms();
    wg_registry* r = registry_with_all();
    ck_assert_double_le(cpu_ms() - start, START_MAX_MS);
    wg_registry_shutdown(r);
}
END_TEST

/* A new host takes over all targets without sorting the list for each of them. */
START_TEST(host_takes_over_all_in_time) {
    wg_registry* leader = registry_with_all();
    wg_registry* copy = wg_registry_setup(&(wg_registry_desc){0});
    wg_balance* balance = wg_balance_setup(&(wg_balance_desc){.data_centre = "dc1"});
    double start = cpu_ms();
    copy_changes(leader, copy, balance);
    ck_assert_double_le(cpu_ms() - start, START_MAX_MS);
    wg_balance_shutdown(balance);
    wg_registry_shutdown(copy);
    wg_registry_shutdown(leader);
}
END_TEST

/* The prompts' homes and the list of targets are kept when one target changes. */
START_TEST(change_costs_a_host_little) {
    wg_registry* leader = registry_with_all();
    wg_registry* copy = wg_registry_setup(&(wg_registry_desc){0});
    wg_balance* balance = wg_balance_setup(&(wg_balance_desc){.data_centre = "dc1"});
    wg_prompt prompt = {.parts = {1, 2}, .sizes = {5000, 500}, .num = 2, .tokens = 5500};
    wg_balance_request request = {.service = "engine", .prompt = &prompt, .slots = 64};
    copy_changes(leader, copy, balance);
    wg_balance_set_hosts(balance, HOSTS);
    double spent = 0;
    for (int i = 1; i <= CHANGES; i++) {
        wg_target t = target_number(i * 7, 2);
        t.slots = 63;
        wg_registry_apply(leader, 0, &t);
        double start = cpu_ms();
        copy_changes(leader, copy, balance);
        ck_assert_uint_ne(wg_balance_choose(balance, 0, &request).target, 0);
        spent += cpu_ms() - start;
    }
    ck_assert_double_le(spent * 1000 / CHANGES, CHANGE_MAX_US);
    wg_balance_shutdown(balance);
    wg_registry_shutdown(copy);
    wg_registry_shutdown(leader);
}
END_TEST

/* The leader looks for targets without contact at each tick, a hundred times a second. */
START_TEST(search_for_unresponsive_targets_costs_little) {
    enum {
        TICKS = 1000,
        TICK_US = 10000
    };
    wg_registry* r = registry_with_all();
    double start = cpu_ms();
    for (int i = 0; i < TICKS; i++) {
        wg_time now = (wg_time)i * TICK_US;
        ck_assert_ptr_null(wg_registry_find_unresponsive(r, now, TICKS * TICK_US));
    }
    ck_assert_double_le(cpu_ms() - start, 0.0047 * TICKS * TICK_US / 1000);
    wg_registry_shutdown(r);
}
END_TEST

WG_TEST_MAIN("large registry", replica_registers_all_in_time, host_takes_over_all_in_time,
             change_costs_a_host_little, search_for_unresponsive_targets_costs_little)
