/* test_roster.c -- the list of entry hosts, and copies that are told what changed */
#include "wg_roster.h"
#include "wg_test.h"

enum {
    HOSTS = 300,
    STEPS = 20000,
    GONE = 1500 * WG_USEC_PER_MSEC
};

static wg_roster_host host(int number, int variant) {
    wg_roster_host h = {0};
    g_snprintf(h.name, sizeof h.name, "h%d", number);
    g_snprintf(h.address, sizeof h.address, "10.0.0.%d:%d", number % 250, 80 + variant);
    g_snprintf(h.data_centre, sizeof h.data_centre, "dc%d", number % 5);
    return h;
}

/* Returns how many hosts and names were told. */
static int tell(const wg_roster* from, wg_roster* copy) {
    wg_roster_difference d = wg_roster_since(from, wg_roster_change(copy));
    if (d.reset) {
        wg_roster_copy_reset(copy);
    }
    for (guint i = 0; i < d.left->len; i++) {
        wg_roster_copy_remove(copy, d.left->pdata[i]);
    }
    for (guint i = 0; i < d.came->len; i++) {
        wg_roster_copy_add(copy, d.came->pdata[i]);
    }
    wg_roster_copy_set_change(copy, d.change);
    int told = (int)(d.came->len + d.left->len);
    wg_roster_difference_clear(&d);
    return told;
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

START_TEST(one_change_is_told_alone) {
    wg_roster* leader = wg_roster_setup();
    wg_roster* copy = wg_roster_setup();
    wg_roster_begin(leader, 3);
    for (int i = 0; i < HOSTS; i++) {
        wg_roster_host h = host(i, 0);
        ck_assert(wg_roster_hear(leader, SECOND, &h));
        ck_assert(!wg_roster_hear(leader, SECOND, &h));
    }
    ck_assert_int_eq(tell(leader, copy), HOSTS);
    ck_assert_int_eq(tell(leader, copy), 0);
    ck_assert(wg_roster_leave(leader, "h7"));
    ck_assert(!wg_roster_leave(leader, "h7"));
    ck_assert_int_eq(tell(leader, copy), 1);
    ck_assert_ptr_null(wg_roster_find(copy, "h7"));
    wg_roster_host moved = host(9, 1);
    ck_assert(wg_roster_hear(leader, SECOND, &moved));
    ck_assert_int_eq(tell(leader, copy), 1);
    expect_equal(leader, copy);
    char name[WG_NAME_MAX];
    ck_assert(!wg_roster_drop_silent(leader, SECOND + GONE, GONE, name));
    ck_assert(wg_roster_drop_silent(leader, SECOND + GONE + 1, GONE, name));
    ck_assert_int_eq(tell(leader, copy), 1);
    expect_equal(leader, copy);
    wg_roster_shutdown(copy);
    wg_roster_shutdown(leader);
}
END_TEST

/* Copies of different ages, some out of touch for long, leaders that change. */
START_TEST(copies_always_come_to_the_same_list) {
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
        int what = (int)wg_jitter_range(5, ++random, 0, 999);
        wg_roster_host h = host(number, what % 2);
        if (what == 0) {
            term += 1 + (uint64_t)(number % 2);
            wg_roster_begin(leader, term);
        } else if (what < 450) {
            wg_roster_leave(leader, h.name);
        } else if (what < 900) {
            wg_roster_hear(leader, step, &h);
        } else {
            wg_roster* copy = copies[MIN(number % 40, COPIES - 1)];
            tell(leader, copy);
            expect_equal(leader, copy);
        }
    }
    for (int i = 0; i < COPIES; i++) {
        wg_roster_shutdown(copies[i]);
    }
    wg_roster_shutdown(leader);
}
END_TEST

WG_TEST_MAIN("roster", one_change_is_told_alone, copies_always_come_to_the_same_list)
