/* test_buffers.c -- bound on the bytes held for callers and targets that read slowly

   Guards against a host that ends for lack of memory, and against pauses and cut-offs of peers that
   read. */
#include "wg_buffers.h"
#include "wg_test.h"

enum {
    KB = 1024,
    MB = 1024 * 1024,
    PORTION = 16 * KB /* largest read from a target while it is not limited */
};

static wg_buffers* buffers_of(int64_t bytes_max, wg_time unread_max) {
    return wg_buffers_setup(&(wg_buffers_desc){.bytes_max = bytes_max, .unread_max = unread_max});
}

/* ---- callers that read nothing beside callers that read -------------------------------------- */

enum {
    SILENT_NUM = 1000,
    READERS_NUM = 100,
    CALLERS_NUM = SILENT_NUM + READERS_NUM,
    BOUND = 24 * MB
};

#define STEP (10 * MSEC)
#define DURATION (20 * SECOND)
#define ARRIVALS (3 * SECOND) /* time over which the connections begin */
#define UNREAD_MAX (5 * SECOND)
#define PAUSE_MAX (50 * MSEC) /* two reads of a caller that reads every second step */

typedef struct {
    wg_buffers_peer peer;
    bool reads;
    bool paused;
    wg_time paused_at;
    wg_time begins_at;
    int cuts;
} caller;

typedef struct {
    wg_buffers* b;
    caller callers[CALLERS_NUM];
    wg_time longest_pause; /* of the callers that read */
    int64_t most_held;
    int cuts;
} crowd;

static void crowd_begin(crowd* c, uint64_t seed) {
    *c = (crowd){.b = buffers_of(BOUND, UNREAD_MAX)};
    for (int i = 0; i < CALLERS_NUM; i++) {
        c->callers[i].reads = i % (CALLERS_NUM / READERS_NUM) == 0;
        c->callers[i].begins_at =
            (wg_time)(wg_jitter(seed, (uint64_t)i) % (uint64_t)ARRIVALS) / STEP * STEP;
        wg_buffers_add(c->b, &c->callers[i].peer, WG_BUFFERS_CALLER);
    }
}

static void crowd_read(crowd* c, caller* who, wg_time now) {
    wg_buffers_record_read(c->b, now, &who->peer, who->peer.unread);
    if (who->paused) {
        who->paused = false;
        c->longest_pause = MAX(c->longest_pause, now - who->paused_at);
    }
}

/* The target of the caller has more to send. */
static void crowd_send(crowd* c, caller* who, wg_time now) {
    if (!who->paused && wg_buffers_pauses(c->b, &who->peer)) {
        who->paused = true;
        who->paused_at = now;
    }
    if (!who->paused) {
        int64_t portion = wg_buffers_portion(c->b);
        wg_buffers_record_held(c->b, now, &who->peer, portion ? portion : PORTION);
    }
    c->most_held = MAX(c->most_held, wg_buffers_held(c->b));
}

static wg_time crowd_longest_unread(const crowd* c, wg_time now) {
    wg_time longest = 0;
    for (int i = 0; i < CALLERS_NUM; i++) {
        const wg_buffers_peer* peer = &c->callers[i].peer;
        if (peer->unread > 0) {
            longest = MAX(longest, now - peer->read_at);
        }
    }
    return longest;
}

/* Cuts connections off. Their callers connect again at once and read nothing again. */
static void crowd_cut(crowd* c, wg_time now) {
    wg_buffers_peer* peer;
    while ((peer = wg_buffers_next_cut(c->b, now))) {
        caller* who = (caller*)peer; /* the first member */
        wg_time unread = now - peer->read_at;
        ck_assert_int_ge(unread, UNREAD_MAX);
        ck_assert_int_eq(unread, crowd_longest_unread(c, now));
        ck_assert(!who->reads);
        wg_buffers_remove(c->b, peer);
        *peer = (wg_buffers_peer){0};
        wg_buffers_add(c->b, peer, WG_BUFFERS_CALLER);
        who->paused = false;
        who->cuts++;
        c->cuts++;
    }
}

static void crowd_run(crowd* c, uint64_t seed) {
    uint64_t counter = CALLERS_NUM;
    for (wg_time now = 0; now < DURATION; now += STEP) {
        for (int i = 0; i < CALLERS_NUM; i++) {
            caller* who = &c->callers[i];
            bool due = (now / STEP + i) % 2 == 0;
            if (now < who->begins_at) {
                continue;
            }
            if (who->reads && due) {
                crowd_read(c, who, now);
            }
            if (wg_jitter(seed, ++counter) % 4 > 0) {
                crowd_send(c, who, now);
            }
        }
        crowd_cut(c, now);
    }
}

/* Without a bound for the host, 1,000 callers that read nothing hold 256 KB each, and the process
   ends for lack of memory, for all callers. */
START_TEST(bound_holds_while_a_thousand_callers_read_nothing) {
    for (uint64_t seed = 1; seed <= 3; seed++) {
        crowd* c = g_new(crowd, 1);
        crowd_begin(c, seed);
        crowd_run(c, seed);
        ck_assert_int_le(c->most_held, BOUND);
        ck_assert_int_gt(c->most_held, BOUND / 2);
        ck_assert_int_gt(c->cuts, 0);
        ck_assert_int_le(c->longest_pause, PAUSE_MAX);
        for (int i = 0; i < CALLERS_NUM; i++) {
            ck_assert(!c->callers[i].reads || c->callers[i].cuts == 0);
            wg_buffers_remove(c->b, &c->callers[i].peer);
        }
        ck_assert_int_eq(wg_buffers_held(c->b), 0);
        wg_buffers_shutdown(c->b);
        g_free(c);
    }
}
END_TEST

/* ---- single rules ---------------------------------------------------------------------------- */

/* With the settings off, nothing but the limit of a caller may pause or cut off. */
START_TEST(without_a_bound_only_the_limit_of_a_caller_pauses) {
    wg_buffers_peer peer = {0};
    wg_buffers* b = buffers_of(0, 0);
    wg_buffers_add(b, &peer, WG_BUFFERS_CALLER);
    wg_buffers_record_held(b, 0, &peer, WG_BUFFERS_UNREAD_MAX);
    ck_assert(!wg_buffers_pauses(b, &peer));
    wg_buffers_record_held(b, 0, &peer, 1);
    ck_assert(wg_buffers_pauses(b, &peer));
    wg_buffers_set_kept(b, &peer, 1000 * (int64_t)MB);
    ck_assert_int_eq(wg_buffers_level_of(b), WG_BUFFERS_NORMAL);
    ck_assert(!wg_buffers_exceeded(b));
    ck_assert_int_eq(wg_buffers_portion(b), 0);
    ck_assert_ptr_null(wg_buffers_next_cut(b, 3600 * SECOND));
    ck_assert(!wg_buffers_is_reading(b, 0, &peer));
    wg_buffers_remove(b, &peer);
    wg_buffers_shutdown(b);
}
END_TEST

/* Above three quarters of the bound, callers above their equal share must pause, and no others:
   otherwise one caller takes the memory of all. */
START_TEST(above_three_quarters_callers_pause_at_equal_shares) {
    enum {
        NUM = 6
    };
    wg_buffers_peer peers[NUM] = {0};
    wg_buffers* b = buffers_of(800 * KB, SECOND);
    for (int i = 0; i < NUM; i++) {
        wg_buffers_add(b, &peers[i], WG_BUFFERS_CALLER);
    }
    wg_buffers_record_held(b, 0, &peers[0], 200 * KB);
    for (int i = 1; i < NUM; i++) {
        wg_buffers_record_held(b, 0, &peers[i], 79 * KB);
    }
    ck_assert_int_eq(wg_buffers_level_of(b), WG_BUFFERS_NORMAL);
    ck_assert(!wg_buffers_pauses(b, &peers[0]));
    wg_buffers_record_held(b, 0, &peers[1], 22 * KB);
    ck_assert_int_eq(wg_buffers_level_of(b), WG_BUFFERS_SHARED); /* shares of 100 KB */
    ck_assert(wg_buffers_pauses(b, &peers[0]));
    ck_assert(wg_buffers_pauses(b, &peers[1]));
    ck_assert(!wg_buffers_pauses(b, &peers[2]));
    wg_buffers_record_read(b, 0, &peers[0], 100 * KB);
    ck_assert_int_eq(wg_buffers_level_of(b), WG_BUFFERS_NORMAL);
    ck_assert(!wg_buffers_pauses(b, &peers[1]));
    for (int i = 0; i < NUM; i++) {
        wg_buffers_remove(b, &peers[i]);
    }
    wg_buffers_shutdown(b);
}
END_TEST

/* If a full host read as before, callers that begin to fall behind would take it above its bound;
   if it read nothing, callers that read would wait for the others. */
START_TEST(full_host_reads_small_portions_and_only_for_callers_that_read) {
    wg_buffers_peer silent = {0};
    wg_buffers_peer reader = {0};
    wg_buffers* b = buffers_of(80 * KB, SECOND);
    wg_buffers_add(b, &silent, WG_BUFFERS_CALLER);
    wg_buffers_add(b, &reader, WG_BUFFERS_CALLER);
    wg_buffers_record_held(b, 0, &silent, 70 * KB);
    ck_assert_int_eq(wg_buffers_level_of(b), WG_BUFFERS_FULL);
    ck_assert_int_eq(wg_buffers_portion(b), WG_BUFFERS_PORTION_FULL);
    ck_assert(!wg_buffers_pauses(b, &reader));
    wg_buffers_record_held(b, 0, &reader, 1);
    ck_assert(wg_buffers_pauses(b, &reader));
    wg_buffers_record_read(b, 0, &reader, 1);
    ck_assert(!wg_buffers_pauses(b, &reader));
    wg_buffers_remove(b, &silent);
    wg_buffers_shutdown(b);
}
END_TEST

/* A caller that began to wait first but has read since must not be cut off before one that has
   read nothing. */
START_TEST(longest_unread_is_cut_off_first_and_a_caller_that_reads_goes_on) {
    wg_buffers_peer peers[3] = {0};
    wg_buffers* b = buffers_of(80 * KB, 5 * SECOND);
    for (int i = 0; i < 3; i++) {
        wg_buffers_add(b, &peers[i], WG_BUFFERS_CALLER);
        wg_buffers_record_held(b, i * SECOND, &peers[i], 30 * KB);
    }
    wg_buffers_record_read(b, 3 * SECOND, &peers[0], 10);
    ck_assert_ptr_null(wg_buffers_next_cut(b, 6 * SECOND - 1));
    ck_assert_ptr_eq(wg_buffers_next_cut(b, 6 * SECOND), &peers[1]);
    ck_assert_ptr_eq(wg_buffers_next_cut(b, 60 * SECOND), &peers[1]);
    ck_assert(wg_buffers_pauses(b, &peers[0]));
    wg_buffers_remove(b, &peers[1]);
    /* The others fit in the bound: they may take as long as they like. */
    ck_assert_ptr_null(wg_buffers_next_cut(b, 60 * SECOND));
    wg_buffers_record_read(b, 61 * SECOND, &peers[0], peers[0].unread);
    ck_assert(!wg_buffers_pauses(b, &peers[0]));
    wg_buffers_remove(b, &peers[0]);
    wg_buffers_remove(b, &peers[2]);
    ck_assert_int_eq(wg_buffers_held(b), 0);
    wg_buffers_shutdown(b);
}
END_TEST

/* A caller that reads a little at a time is slow, but reads. */
START_TEST(steady_reader_is_not_cut_off_on_a_full_host) {
    wg_buffers_peer peer = {0};
    wg_buffers* b = buffers_of(80 * KB, 5 * SECOND);
    wg_buffers_add(b, &peer, WG_BUFFERS_CALLER);
    wg_buffers_record_held(b, 0, &peer, 79 * KB);
    for (wg_time now = 4 * SECOND; now < 30 * SECOND; now += 4 * SECOND) {
        ck_assert_ptr_null(wg_buffers_next_cut(b, now));
        ck_assert(wg_buffers_is_reading(b, now, &peer));
        wg_buffers_record_read(b, now, &peer, 100);
    }
    ck_assert_int_eq(wg_buffers_level_of(b), WG_BUFFERS_FULL);
    ck_assert(!wg_buffers_is_reading(b, 60 * SECOND, &peer));
    wg_buffers_remove(b, &peer);
    wg_buffers_shutdown(b);
}
END_TEST

/* A target that reads no body holds up its request whatever the host holds. The body is kept for
   its caller and counts once. */
START_TEST(target_is_cut_off_on_a_host_that_is_not_full) {
    wg_buffers_peer caller_peer = {0};
    wg_buffers_peer target = {0};
    wg_buffers* b = buffers_of(80 * MB, 5 * SECOND);
    wg_buffers_add(b, &caller_peer, WG_BUFFERS_CALLER);
    wg_buffers_add(b, &target, WG_BUFFERS_TARGET);
    wg_buffers_set_kept(b, &caller_peer, 40 * KB);
    wg_buffers_record_held(b, SECOND, &target, 40 * KB);
    ck_assert_int_eq(wg_buffers_held(b), 40 * KB);
    ck_assert_int_eq(wg_buffers_unread(b, WG_BUFFERS_TARGET), 40 * KB);
    ck_assert_ptr_null(wg_buffers_next_cut(b, 6 * SECOND - 1));
    ck_assert_ptr_eq(wg_buffers_next_cut(b, 6 * SECOND), &target);
    wg_buffers_remove(b, &target);
    ck_assert_int_eq(wg_buffers_unread(b, WG_BUFFERS_TARGET), 0);
    wg_buffers_remove(b, &caller_peer);
    ck_assert_int_eq(wg_buffers_held(b), 0);
    wg_buffers_shutdown(b);
}
END_TEST

/* A host that stood still could not write; its peers are not the cause. */
START_TEST(time_in_which_the_host_stood_still_does_not_count) {
    wg_buffers_peer peer = {0};
    wg_buffers* b = buffers_of(80 * KB, 5 * SECOND);
    wg_buffers_add(b, &peer, WG_BUFFERS_CALLER);
    wg_buffers_record_held(b, 0, &peer, 79 * KB);
    wg_buffers_record_stall(b, 10 * SECOND);
    ck_assert_int_eq(wg_buffers_unread_time(b, 12 * SECOND, &peer), 2 * SECOND);
    ck_assert_ptr_null(wg_buffers_next_cut(b, 15 * SECOND - 1));
    ck_assert_ptr_eq(wg_buffers_next_cut(b, 15 * SECOND), &peer);
    wg_buffers_record_read(b, 15 * SECOND, &peer, 1);
    ck_assert_ptr_null(wg_buffers_next_cut(b, 20 * SECOND - 1));
    ck_assert_ptr_eq(wg_buffers_next_cut(b, 20 * SECOND), &peer);
    wg_buffers_remove(b, &peer);
    wg_buffers_shutdown(b);
}
END_TEST

/* On an overloaded host, a peer that reads may wait for the host to write. */
START_TEST(peer_that_can_take_bytes_is_not_cut_off) {
    wg_buffers_peer peer = {0};
    wg_buffers* b = buffers_of(80 * KB, 5 * SECOND);
    wg_buffers_add(b, &peer, WG_BUFFERS_CALLER);
    wg_buffers_record_held(b, 0, &peer, 79 * KB);
    wg_buffers_record_ready(b, 6 * SECOND, &peer);
    ck_assert_ptr_null(wg_buffers_next_cut(b, 11 * SECOND - 1));
    ck_assert_ptr_eq(wg_buffers_next_cut(b, 11 * SECOND), &peer);
    wg_buffers_remove(b, &peer);
    wg_buffers_shutdown(b);
}
END_TEST

/* Without a time limit nothing is cut off, also on a full host. */
START_TEST(nothing_is_cut_off_without_a_time_limit) {
    wg_buffers_peer peer = {0};
    wg_buffers* b = buffers_of(80 * KB, 0);
    wg_buffers_add(b, &peer, WG_BUFFERS_CALLER);
    wg_buffers_record_held(b, 0, &peer, 81 * KB);
    ck_assert(wg_buffers_exceeded(b));
    ck_assert_ptr_null(wg_buffers_next_cut(b, 3600 * SECOND));
    wg_buffers_remove(b, &peer);
    ck_assert(!wg_buffers_exceeded(b));
    wg_buffers_shutdown(b);
}
END_TEST

/* ---- requests that are being received -------------------------------------------------------- */

/* A caller that sends much gives way, not its neighbours; one that is passed on is not refused. */
START_TEST(largest_request_that_is_received_is_refused_first) {
    enum {
        PEERS = 3
    };
    wg_buffers_peer peers[PEERS] = {0};
    wg_buffers* b = buffers_of(100 * KB, 0);
    for (int i = 0; i < PEERS; i++) {
        wg_buffers_add(b, &peers[i], WG_BUFFERS_CALLER);
        wg_buffers_set_receiving(b, &peers[i], true);
    }
    wg_buffers_set_kept(b, &peers[0], 60 * KB);
    wg_buffers_set_receiving(b, &peers[0], false);
    wg_buffers_record_ahead(b, &peers[1], 10 * KB);
    wg_buffers_set_kept(b, &peers[1], 10 * KB);
    ck_assert_int_eq(wg_buffers_ahead(b), 10 * KB);
    ck_assert_ptr_null(wg_buffers_next_refused(b));
    wg_buffers_set_kept(b, &peers[2], 30 * KB);
    ck_assert(wg_buffers_exceeded(b));
    ck_assert_ptr_eq(wg_buffers_next_refused(b), &peers[2]);
    wg_buffers_remove(b, &peers[2]);
    ck_assert_ptr_null(wg_buffers_next_refused(b));
    wg_buffers_remove(b, &peers[0]);
    wg_buffers_remove(b, &peers[1]);
    ck_assert_int_eq(wg_buffers_held(b), 0);
    wg_buffers_shutdown(b);
}
END_TEST

/* An ordinary request gets in although others fill the host. */
START_TEST(small_request_is_received_on_a_full_host) {
    wg_buffers_peer large = {0};
    wg_buffers_peer small = {0};
    wg_buffers* b = buffers_of(100 * KB, 0);
    wg_buffers_add(b, &large, WG_BUFFERS_CALLER);
    wg_buffers_add(b, &small, WG_BUFFERS_CALLER);
    wg_buffers_record_held(b, 0, &large, 101 * KB);
    wg_buffers_set_receiving(b, &small, true);
    wg_buffers_set_kept(b, &small, WG_BUFFERS_SMALL);
    ck_assert(wg_buffers_exceeded(b));
    ck_assert_ptr_null(wg_buffers_next_refused(b));
    wg_buffers_set_kept(b, &small, WG_BUFFERS_SMALL + 1);
    ck_assert_ptr_eq(wg_buffers_next_refused(b), &small);
    wg_buffers_remove(b, &small);
    wg_buffers_remove(b, &large);
    wg_buffers_shutdown(b);
}
END_TEST

WG_TEST_MAIN("buffers", bound_holds_while_a_thousand_callers_read_nothing,
             without_a_bound_only_the_limit_of_a_caller_pauses,
             above_three_quarters_callers_pause_at_equal_shares,
             full_host_reads_small_portions_and_only_for_callers_that_read,
             longest_unread_is_cut_off_first_and_a_caller_that_reads_goes_on,
             steady_reader_is_not_cut_off_on_a_full_host,
             target_is_cut_off_on_a_host_that_is_not_full,
             time_in_which_the_host_stood_still_does_not_count,
             peer_that_can_take_bytes_is_not_cut_off, nothing_is_cut_off_without_a_time_limit,
             largest_request_that_is_received_is_refused_first,
             small_request_is_received_on_a_full_host)
