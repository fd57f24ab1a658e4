/* test_queue.c -- the weighted fair queue of one router */
#include "wg_queue.h"
#include "wg_test.h"

static wgq_handle push(wgq_queue* q, wg_time now, uint32_t workspace, int64_t weight, bool urgent) {
    wgq_refusal refusal;
    return wgq_push(q, now,
                    &(wgq_request){.workspace = workspace,
                                   .limits = {.weight = weight, .urgent_percent = 20},
                                   .urgent = urgent,
                                   .wait_until = WG_TIME_NEVER,
                                   .deadline = WG_TIME_NEVER,
                                   .user_data = GUINT_TO_POINTER(workspace)},
                    &refusal);
}

static uint32_t pick(wgq_queue* q, wg_time now, wgq_handle* picked) {
    return wgq_pick(q, now, false, picked) ? GPOINTER_TO_UINT(wgq_user_data(q, *picked)) : 0;
}

START_TEST(service_follows_weights) {
    wgq_queue* q = wgq_setup(&(wgq_desc){0}, NULL);
    int64_t served[4] = {0};
    for (int i = 0; i < 2000; i++) {
        for (uint32_t w = 1; w <= 3; w++) {
            push(q, i, w, w * 100, false);
        }
    }
    for (int i = 0; i < 1200; i++) {
        wgq_handle picked;
        uint32_t w = pick(q, SECOND + i, &picked);
        int64_t cost = 50 + (int64_t)(wg_jitter(1, (uint64_t)i) % 100);
        wgq_finish(q, SECOND + i, picked, cost);
        served[w] += cost;
    }
    for (uint32_t w = 1; w <= 3; w++) {
        double fraction = (double)served[w] / (double)(served[1] + served[2] + served[3]);
        ck_assert_double_eq_tol(fraction, w / 6.0, 0.01);
    }
    wgq_shutdown(q);
}
END_TEST

START_TEST(no_workspace_starves_under_a_flood) {
    wgq_queue* q = wgq_setup(&(wgq_desc){.requests_max = 20000}, NULL);
    for (int i = 0; i < 10000; i++) {
        push(q, 0, 1, 100, false);
    }
    int waited = 0;
    for (int i = 0; i < 500; i++) {
        wgq_handle picked;
        if (i % 10 == 0) {
            push(q, i, 2, 100, false);
            waited = 0;
        }
        uint32_t w = pick(q, i, &picked);
        wgq_finish(q, i, picked, 100);
        waited++;
        if (w == 2) {
            ck_assert_int_le(waited, 3);
        }
    }
    wgq_shutdown(q);
}
END_TEST

START_TEST(idle_time_earns_no_credit) {
    wgq_queue* q = wgq_setup(&(wgq_desc){0}, NULL);
    wgq_handle picked;
    for (int i = 0; i < 1000; i++) {
        push(q, i, 1, 100, false);
        pick(q, i, &picked);
        wgq_finish(q, i, picked, 1000);
    }
    for (int i = 0; i < 100; i++) {
        push(q, 2000, 1, 100, false);
        push(q, 2000, 2, 100, false);
    }
    int second = 0;
    for (int i = 0; i < 40; i++) {
        second += pick(q, 2000, &picked) == 2;
        wgq_finish(q, 2000, picked, 1000);
    }
    ck_assert_int_ge(second, 19);
    ck_assert_int_le(second, 23);
    wgq_shutdown(q);
}
END_TEST

START_TEST(fleet_virtual_time_includes_service_elsewhere) {
    wgq_queue* q = wgq_setup(&(wgq_desc){0}, NULL);
    wgq_handle picked;
    for (int i = 0; i < 10; i++) {
        push(q, 0, 1, 100, false);
        push(q, 0, 2, 100, false);
    }
    /* Other routers have already served 10,000 tokens to workspace 1. */
    wgq_sync(q, 1, 10000ull * WGQ_SCALE / 100, 0);
    for (int i = 0; i < 10; i++) {
        ck_assert_uint_eq(pick(q, 1, &picked), 2);
        wgq_finish(q, 1, picked, 100);
    }
    ck_assert_uint_eq(pick(q, 1, &picked), 1);
    /* A sync that is older than the service given here since does not lower the virtual time. */
    wgq_finish(q, 1, picked, 500);
    uint64_t before = wgq_query_virtual_time(q, 1);
    wgq_sync(q, 1, 10000ull * WGQ_SCALE / 100, 0);
    ck_assert_uint_eq(wgq_query_virtual_time(q, 1), before);
    wgq_shutdown(q);
}
END_TEST

START_TEST(served_totals_never_decrease) {
    wgq_queue* q = wgq_setup(&(wgq_desc){0}, NULL);
    uint64_t last = 0;
    for (uint64_t i = 0; i < 300; i++) {
        wgq_handle picked;
        wgq_account account;
        push(q, (wg_time)i, 1, 100, false);
        pick(q, (wg_time)i, &picked);
        wgq_charge(q, picked, (int64_t)(wg_jitter(3, i) % 500));
        ck_assert_int_eq(wgq_take_accounts(q, false, &account, 1), 1);
        ck_assert_uint_ge(account.served, last);
        last = account.served;
        wgq_finish(q, (wg_time)i, picked, (int64_t)(wg_jitter(4, i) % 500));
    }
    wgq_account account;
    ck_assert_int_eq(wgq_take_accounts(q, false, &account, 1), 1);
    ck_assert_uint_eq(account.pending, 0);
    ck_assert_uint_eq(account.running, 0);
    ck_assert_int_eq(wgq_take_accounts(q, false, &account, 1), 0);
    wgq_shutdown(q);
}
END_TEST

static wgq_refusal_code push_with_limits(wgq_queue* q, wg_time now, const wgq_limits* limits,
                                         wg_time* retry_after) {
    wgq_refusal refusal = {0};
    wgq_push(q, now,
             &(wgq_request){.workspace = 9,
                            .limits = *limits,
                            .wait_until = now + SECOND,
                            .deadline = now + 60 * SECOND},
             &refusal);
    *retry_after = refusal.retry_after;
    return refusal.code;
}

START_TEST(refusals_by_limits_give_retry_after) {
    wgq_queue* q = wgq_setup(&(wgq_desc){0}, NULL);
    wg_time after;
    wgq_limits rate = {.weight = 1, .rate = 2, .burst = 2};
    ck_assert_int_eq(push_with_limits(q, SECOND, &rate, &after), WGQ_REFUSAL_DEFAULT);
    ck_assert_int_eq(push_with_limits(q, SECOND, &rate, &after), WGQ_REFUSAL_DEFAULT);
    ck_assert_int_eq(push_with_limits(q, SECOND, &rate, &after), WGQ_REFUSAL_RATE);
    ck_assert_int_ge(after, 400 * MSEC);
    ck_assert_int_le(after, 600 * MSEC);
    ck_assert_int_eq(push_with_limits(q, SECOND + after, &rate, &after), WGQ_REFUSAL_DEFAULT);
    wgq_shutdown(q);

    q = wgq_setup(&(wgq_desc){0}, NULL);
    wgq_limits queue = {.weight = 1, .queue = 2};
    push_with_limits(q, 0, &queue, &after);
    push_with_limits(q, 0, &queue, &after);
    ck_assert_int_eq(push_with_limits(q, 0, &queue, &after), WGQ_REFUSAL_QUEUE);
    wgq_shutdown(q);

    q = wgq_setup(&(wgq_desc){0}, NULL);
    wgq_limits flight = {.weight = 1, .in_flight = 1, .queue = 1};
    wgq_handle picked;
    push_with_limits(q, 0, &flight, &after);
    ck_assert(wgq_pick(q, 0, false, &picked));
    push_with_limits(q, 0, &flight, &after);
    wgq_handle none;
    ck_assert(!wgq_pick(q, 0, false, &none));
    ck_assert_int_eq(push_with_limits(q, 0, &flight, &after), WGQ_REFUSAL_IN_FLIGHT);
    wgq_finish(q, 0, picked, 1);
    ck_assert(wgq_pick(q, 0, false, &picked));
    wgq_shutdown(q);

    q = wgq_setup(&(wgq_desc){0}, NULL);
    wgq_limits tokens = {.weight = 1, .tokens_per_minute = 600};
    push_with_limits(q, 0, &tokens, &after);
    wgq_pick(q, 0, false, &picked);
    wgq_finish(q, 0, picked, 900);
    ck_assert_int_eq(push_with_limits(q, 0, &tokens, &after), WGQ_REFUSAL_TOKENS);
    ck_assert_int_ge(after, 30 * SECOND);
    ck_assert_int_le(after, 31 * SECOND);
    wgq_shutdown(q);
}
END_TEST

START_TEST(request_that_cannot_be_served_in_time_is_refused) {
    wgq_queue* q = wgq_setup(&(wgq_desc){0}, NULL);
    wgq_limits limits = {.weight = 1};
    wg_time after;
    wgq_handle picked;
    /* The queue drains one request per second: a wait limit of 1 s cannot be met behind others. */
    for (int i = 0; i < 8; i++) {
        push(q, i * SECOND, 9, 1, false);
        push(q, i * SECOND, 9, 1, false);
        pick(q, i * SECOND, &picked);
        wgq_finish(q, (i + 1) * SECOND, picked, 10);
    }
    ck_assert_int_eq(push_with_limits(q, 8 * SECOND, &limits, &after), WGQ_REFUSAL_LATE);
    ck_assert_int_ge(after, SECOND);
    wgq_shutdown(q);
}
END_TEST

START_TEST(urgent_requests_go_first_within_their_share) {
    wgq_queue* q = wgq_setup(&(wgq_desc){0}, NULL);
    wgq_handle picked;
    for (int i = 0; i < 50; i++) {
        push(q, 0, 1, 100, false);
        push(q, 0, 1, 100, true);
        push(q, 0, 2, 100, false);
    }
    int first = 0;
    for (int i = 0; i < 40; i++) {
        first += pick(q, 0, &picked) == 1;
        wgq_finish(q, 0, picked, 100);
    }
    ck_assert_int_ge(first, 19);
    ck_assert_int_le(first, 21);
    /* Only urgent requests may use the reserve. */
    wgq_queue* reserve_queue = wgq_setup(&(wgq_desc){0}, NULL);
    push(reserve_queue, 0, 1, 100, false);
    ck_assert(!wgq_pick(reserve_queue, 0, true, &picked));
    push(reserve_queue, 0, 2, 100, true);
    ck_assert(wgq_pick(reserve_queue, 0, true, &picked));
    wgq_shutdown(reserve_queue);
    wgq_shutdown(q);
}
END_TEST

START_TEST(expired_and_stale_handles_are_ignored) {
    wgq_queue* q = wgq_setup(&(wgq_desc){.requests_max = 4}, NULL);
    wgq_refusal refusal;
    wgq_handle handle = wgq_push(
        q, 0,
        &(wgq_request){
            .workspace = 1, .limits = {.weight = 1}, .wait_until = SECOND, .deadline = 2 * SECOND},
        &refusal);
    wgq_handle expired;
    ck_assert(!wgq_expire(q, SECOND - 1, &expired));
    ck_assert_int_eq(wgq_next_expiry(q), SECOND);
    ck_assert(wgq_expire(q, SECOND, &expired));
    ck_assert_uint_eq(expired.id, handle.id);
    wgq_drop(q, expired);
    ck_assert(!wgq_expire(q, SECOND, &expired));
    wgq_finish(q, SECOND, handle, 5);
    wgq_drop(q, handle);
    ck_assert_ptr_null(wgq_user_data(q, handle));
    ck_assert_int_eq(wgq_query_stats(q).running, 0);
    for (int i = 0; i < 4; i++) {
        ck_assert_uint_ne(push(q, 0, 1, 1, false).id, 0);
    }
    ck_assert_uint_eq(push(q, 0, 1, 1, false).id, 0);
    wgq_shutdown(q);
}
END_TEST

/* With 2,500 of 25,000 workspaces waiting, the first request of each is served within two rounds,
   also behind requests of a hundred times the usual cost. */
START_TEST(head_of_line_wait_is_bounded) {
    enum {
        WAITING_WORKSPACES = 2500
    };
    wgq_queue* q = wgq_setup(&(wgq_desc){.requests_max = 20000}, NULL);
    wgq_handle picked;
    for (uint32_t w = 1; w <= 25000; w++) {
        push(q, 0, w, 100, false);
        pick(q, 0, &picked);
        wgq_finish(q, 0, picked, 100);
    }
    for (uint32_t w = 1; w <= WAITING_WORKSPACES; w++) {
        push(q, 0, w * 10, 100, false);
        push(q, 0, w * 10, 100, false);
    }
    static int last[25001];
    int longest = 0;
    for (int i = 1; i <= 2 * WAITING_WORKSPACES; i++) {
        uint32_t w = pick(q, i, &picked);
        ck_assert_uint_ne(w, 0);
        /* The cost of the few expensive requests is charged when they finish. */
        bool expensive = w % 500 == 0;
        wgq_finish(q, i, picked, expensive ? 10000 : 100);
        longest = expensive ? longest : MAX(longest, i - last[w]);
        last[w] = i;
    }
    ck_assert_int_le(longest, 2 * WAITING_WORKSPACES);
    ck_assert_int_eq(wgq_query_stats(q).queued, 0);
    wgq_shutdown(q);
}
END_TEST

/* The first request of a workspace waits behind at most one request of a workspace that floods the
   queue at 100 times its share. */
START_TEST(flood_does_not_lengthen_others_waits) {
    wgq_queue* q = wgq_setup(&(wgq_desc){.requests_max = 20000}, NULL);
    wgq_handle picked;
    for (int i = 0; i < 5000; i++) {
        push(q, 0, 1, 100, false);
    }
    for (int i = 0; i < 100; i++) {
        pick(q, 0, &picked);
        wgq_finish(q, 0, picked, 100);
    }
    push(q, 1, 2, 100, false);
    int before = 0;
    while (pick(q, 1, &picked) != 2) {
        wgq_finish(q, 1, picked, 100);
        before++;
    }
    ck_assert_int_le(before, 1);
    wgq_shutdown(q);
}
END_TEST

/* The estimated cost of a request that reports no progress grows while it runs longer than usual;
   its actual cost replaces the estimate when it finishes. */
START_TEST(cost_estimate_of_long_requests_grows) {
    wgq_queue* q = wgq_setup(&(wgq_desc){0}, NULL);
    wgq_handle picked;
    for (int i = 0; i < 40; i++) {
        push(q, 0, 1, 100, false);
        pick(q, 0, &picked);
        wgq_finish(q, SECOND, picked, 100); /* 100 tokens per second */
    }
    push(q, 10 * SECOND, 1, 100, false);
    pick(q, 10 * SECOND, &picked);
    wgq_account account;
    wgq_raise_estimates(q, 10 * SECOND + SECOND / 2);
    wgq_take_accounts(q, true, &account, 1);
    ck_assert_uint_le(account.pending, 101);
    wgq_raise_estimates(q, 15 * SECOND);
    wgq_take_accounts(q, true, &account, 1);
    ck_assert_uint_ge(account.pending, 450);
    ck_assert_uint_le(account.pending, 550);
    uint64_t served = account.served;
    wgq_finish(q, 16 * SECOND, picked, 300); /* slow, but not expensive */
    wgq_take_accounts(q, true, &account, 1);
    ck_assert_uint_eq(account.pending, 0);
    ck_assert_uint_eq(account.served, served + 300);
    wgq_shutdown(q);
}
END_TEST

WG_TEST_MAIN("queue", cost_estimate_of_long_requests_grows, head_of_line_wait_is_bounded,
             flood_does_not_lengthen_others_waits, service_follows_weights,
             no_workspace_starves_under_a_flood, idle_time_earns_no_credit,
             fleet_virtual_time_includes_service_elsewhere, served_totals_never_decrease,
             refusals_by_limits_give_retry_after, request_that_cannot_be_served_in_time_is_refused,
             urgent_requests_go_first_within_their_share, expired_and_stale_handles_are_ignored)
