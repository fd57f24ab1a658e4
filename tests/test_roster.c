/* test_roster.c -- the roster of entry hosts, and copies that follow it by its changes */
#include "wg_roster.h"
#include "wg_test.h"

enum {
    HOSTS = 300,
    STEPS = 20000,
    REMOVAL_TIME = 1500 * WG_USEC_PER_MSEC
};

static wg_roster_host host(int number, int variant) {
    wg_roster_host h = {0};
    g_snprintf(h.name, sizeof h.name, "h%d", number);
    g_snprintf(h.address, sizeof h.address, "10.0.0.%d:%d", number % 250, 80 + variant);
    g_snprintf(h.data_centre, sizeof h.data_centre, "dc%d", number % 5);
    return h;
}

/* Applies the changes since the last update to a copy. Returns the number of added and removed
   hosts. */
static int update_copy(const wg_roster* from, wg_roster* copy) {
    wg_roster_difference d = wg_roster_since(from, wg_roster_change(copy));
    if (d.reset) {
        wg_roster_copy_reset(copy);
    }
    for (guint i = 0; i < d.removed->len; i++) {
        wg_roster_copy_remove(copy, d.removed->pdata[i]);
    }
    for (guint i = 0; i < d.added->len; i++) {
        wg_roster_copy_add(copy, d.added->pdata[i]);
    }
    wg_roster_copy_set_change(copy, d.change);
    int changes = (int)(d.added->len + d.removed->len);
    wg_roster_difference_clear(&d);
    return changes;
}

static void expect_equal(const wg_roster* from, const wg_roster* copy) {
    ck_assert_int_eq(wg_roster_num(from), wg_roster_num(copy));
    for (int i = 0; i < wg_roster_num(from); i++) {
        const wg_roster_host* a = wg_roster_at(from, i);
        const wg_roster_host* b = wg_roster_find(copy, a->name);
        ck_assert_ptr_nonnull(b);
        ck_assert_str_eq(a->address, b->address);
        ck_assert_str_eq(a->data_centre, b->data_centre);
    }
}

START_TEST(only_changes_are_sent) {
    wg_roster* leader = wg_roster_setup();
    wg_roster* copy = wg_roster_setup();
    wg_roster_begin(leader, 3);
    for (int i = 0; i < HOSTS; i++) {
        wg_roster_host h = host(i, 0);
        ck_assert(wg_roster_record_report(leader, SECOND, &h));
        ck_assert(!wg_roster_record_report(leader, SECOND, &h));
    }
    ck_assert_int_eq(update_copy(leader, copy), HOSTS);
    ck_assert_int_eq(update_copy(leader, copy), 0);
    ck_assert(wg_roster_leave(leader, "h7"));
    ck_assert(!wg_roster_leave(leader, "h7"));
    ck_assert_int_eq(update_copy(leader, copy), 1);
    ck_assert_ptr_null(wg_roster_find(copy, "h7"));
    wg_roster_host moved = host(9, 1);
    ck_assert(wg_roster_record_report(leader, SECOND, &moved));
    ck_assert_int_eq(update_copy(leader, copy), 1);
    expect_equal(leader, copy);
    char name[WG_NAME_MAX];
    ck_assert(!wg_roster_remove_unresponsive(leader, SECOND + REMOVAL_TIME, REMOVAL_TIME, name));
    ck_assert(wg_roster_remove_unresponsive(leader, SECOND + REMOVAL_TIME + 1, REMOVAL_TIME, name));
    ck_assert_int_eq(update_copy(leader, copy), 1);
    expect_equal(leader, copy);
    wg_roster_shutdown(copy);
    wg_roster_shutdown(leader);
}
END_TEST

/* A leader that loses its lease and regains it in the same term begins a new roster. A copy of the
   previous roster must notice, even when both have seen the same number of changes. */
START_TEST(roster_begun_again_in_a_term_resets_copies) {
    enum {
        TERM = 3,
        KNOWN = 5
    };
    wg_roster* leader = wg_roster_setup();
    wg_roster* copy = wg_roster_setup();
    wg_roster_begin(leader, TERM);
    for (int i = 0; i < KNOWN; i++) {
        wg_roster_host h = host(i, 0);
        wg_roster_record_report(leader, SECOND, &h);
    }
    update_copy(leader, copy);
    wg_roster_begin(leader, TERM);
    for (int i = 0; i < KNOWN - 1; i++) {
        wg_roster_host h = host(i, 0);
        wg_roster_record_report(leader, 2 * SECOND, &h);
    }
    wg_roster_host joined = host(KNOWN, 0);
    wg_roster_record_report(leader, 2 * SECOND, &joined);
    ck_assert_uint_ne(wg_roster_change(leader), wg_roster_change(copy));
    update_copy(leader, copy);
    expect_equal(leader, copy);
    wg_roster_shutdown(copy);
    wg_roster_shutdown(leader);
}
END_TEST

/* Copies that are updated at different intervals equal the roster, also when leaders change. */
START_TEST(copies_converge_to_the_same_roster) {
    enum {
        COPIES = 6
    };
    wg_roster* leader = wg_roster_setup();
    wg_roster* copies[COPIES];
    uint64_t term = 1;
    uint64_t random = 0;
    wg_roster_begin(leader, term);
    for (int i = 0; i < COPIES; i++) {
        copies[i] = wg_roster_setup();
    }
    for (int step = 0; step < STEPS; step++) {
        int number = (int)wg_jitter_range(5, ++random, 0, HOSTS);
        int action = (int)wg_jitter_range(5, ++random, 0, 999);
        wg_roster_host h = host(number, action % 2);
        if (action == 0) {
            term += 1 + (uint64_t)(number % 2);
            wg_roster_begin(leader, term);
        } else if (action < 450) {
            wg_roster_leave(leader, h.name);
        } else if (action < 900) {
            wg_roster_record_report(leader, step, &h);
        } else {
            wg_roster* copy = copies[MIN(number % 40, COPIES - 1)];
            update_copy(leader, copy);
            expect_equal(leader, copy);
        }
    }
    for (int i = 0; i < COPIES; i++) {
        wg_roster_shutdown(copies[i]);
    }
    wg_roster_shutdown(leader);
}
END_TEST

enum {
    DATA_CENTRES = 5,
    CALLERS = 600,
    HOSTS_PER_DATA_CENTRE = 100 /* more than one answer names */
};

static wg_roster* roster_of(int hosts) {
    wg_roster* r = wg_roster_setup();
    wg_roster_begin(r, 1);
    for (int i = 0; i < hosts; i++) {
        wg_roster_host h = host(i, 0);
        wg_roster_record_report(r, SECOND, &h);
    }
    return r;
}

/* Answers spread callers over all hosts of the data centre. */
START_TEST(every_host_is_offered_to_some_caller) {
    wg_roster* r = roster_of(HOSTS_PER_DATA_CENTRE * DATA_CENTRES);
    GHashTable* seen = g_hash_table_new(NULL, NULL);
    for (int i = 0; i < CALLERS; i++) {
        wg_roster_query query = {.data_centre = "dc1", .caller = wg_jitter(77, (uint64_t)i)};
        GPtrArray* picked = wg_roster_pick(r, &query);
        ck_assert_uint_eq(picked->len, WG_ROSTER_PICK_MAX);
        for (guint k = 0; k < picked->len; k++) {
            g_hash_table_add(seen, picked->pdata[k]);
        }
        g_ptr_array_unref(picked);
    }
    ck_assert_uint_eq(g_hash_table_size(seen), HOSTS_PER_DATA_CENTRE);
    g_hash_table_unref(seen);
    wg_roster_shutdown(r);
}
END_TEST

/* Excluding a host changes only the answers that named it, by one host each. */
START_TEST(caller_is_offered_stable_hosts) {
    wg_roster* r = roster_of(HOSTS_PER_DATA_CENTRE * DATA_CENTRES);
    int changed = 0;
    for (int i = 0; i < CALLERS; i++) {
        wg_roster_query all = {.data_centre = "dc1", .caller = wg_jitter(3, (uint64_t)i)};
        wg_roster_query without_h6 = all;
        without_h6.excluded = "h6";
        GPtrArray* before = wg_roster_pick(r, &all);
        GPtrArray* after = wg_roster_pick(r, &without_h6);
        ck_assert_uint_eq(before->len, WG_ROSTER_PICK_MAX);
        ck_assert_uint_eq(after->len, WG_ROSTER_PICK_MAX);
        int kept = 0;
        for (guint k = 0; k < after->len; k++) {
            kept += g_ptr_array_find(before, after->pdata[k], NULL);
            ck_assert_str_eq(((wg_roster_host*)after->pdata[k])->data_centre, "dc1");
        }
        ck_assert_int_ge(kept, WG_ROSTER_PICK_MAX - 1);
        changed += kept < WG_ROSTER_PICK_MAX;
        g_ptr_array_unref(before);
        g_ptr_array_unref(after);
    }
    ck_assert_int_gt(changed, CALLERS / 2);
    ck_assert_int_lt(changed, CALLERS * 8 / 10);
    wg_roster_shutdown(r);
}
END_TEST

START_TEST(remote_hosts_are_offered_when_local_ones_are_too_few) {
    wg_roster* r = roster_of(3 * DATA_CENTRES);
    wg_roster_query query = {.data_centre = "dc1", .caller = 5};
    GPtrArray* picked = wg_roster_pick(r, &query);
    ck_assert_uint_eq(picked->len, 3);
    g_ptr_array_unref(picked);
    wg_roster_leave(r, "h1");
    wg_roster_leave(r, "h6");
    picked = wg_roster_pick(r, &query); /* one local host and twelve remote ones */
    ck_assert_uint_eq(picked->len, 13);
    g_ptr_array_unref(picked);
    query.data_centre = "";
    picked = wg_roster_pick(r, &query);
    ck_assert_uint_eq(picked->len, 13);
    g_ptr_array_unref(picked);
    wg_roster_shutdown(r);
}
END_TEST

WG_TEST_MAIN("roster", only_changes_are_sent, roster_begun_again_in_a_term_resets_copies,
             copies_converge_to_the_same_roster, every_host_is_offered_to_some_caller,
             caller_is_offered_stable_hosts, remote_hosts_are_offered_when_local_ones_are_too_few)
