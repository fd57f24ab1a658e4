/* test_overload.c -- which requests an overloaded host refuses on arrival

   A model of a host: one queue of unread requests, served in order. A refused request costs a
   fortieth of an admitted one. Ticks are in time, as they have a higher priority than input. */
#include "wg_overload.h"
#include "wg_test.h"

enum {
    DELAY_MAX_MS = 60,
    WORKSPACES_MAX = 400,
    QUEUE_MAX = 200000,
    BUSY = 1,            /* workspace with the load that exceeds the host */
    ADMITTED_COST = 400, /* microseconds */
    REFUSED_COST = 10,   /* microseconds */
    HOST_RATE = WG_USEC_PER_SEC / ADMITTED_COST,
    PROBE = -1 /* entry of the queue that measures its delay */
};

static const double per_usec = 1.0 / WG_USEC_PER_SEC;

typedef struct {
    int refused;
    int admitted;
    double rate; /* requests per second */
    double due;  /* fraction of the next request */
} model_caller;

/* The host and its callers. Workspace 0 has no name. */
typedef struct {
    wg_overload* overload;
    wg_time now;
    wg_time busy_until;
    wg_time refused_cost;
    wg_time tick_at;
    wg_time freeze; /* the host stands still for this time after the next tick */
    wg_time frozen_until;
    wg_time stall_ended_at;
    int* queue;
    int head;
    int tail;
    wg_time probe_since; /* 0: not queued */
    wg_overload_sample sample;
    model_caller callers[WORKSPACES_MAX];
    int callers_num;
    int begun;
    int ended;
    wg_time delay_last;
    wg_time delay_max; /* largest measured since it was reset */
    int run;           /* requests of BUSY admitted in a row */
    int run_max;
} model;

static void model_begin(model* m, int callers_num, double rate) {
    *m = (model){.now = 1000 * SECOND, .callers_num = callers_num, .refused_cost = REFUSED_COST};
    m->busy_until = m->now;
    m->tick_at = m->now;
    m->queue = g_new0(int, QUEUE_MAX);
    m->overload =
        wg_overload_setup(&(wg_overload_desc){.delay_max = DELAY_MAX_MS * MSEC, .seed = 7});
    for (int i = 0; i < callers_num; i++) {
        m->callers[i].rate = rate;
        m->callers[i].due = (double)i / callers_num;
    }
}

static void model_end(model* m) {
    wg_overload_shutdown(m->overload);
    g_free(m->queue);
}

static void model_push(model* m, int entry) {
    m->queue[m->tail] = entry;
    m->tail = (m->tail + 1) % QUEUE_MAX;
    ck_assert_int_ne(m->head, m->tail);
}

static void model_send(model* m, wg_time duration) {
    for (int i = 0; i < m->callers_num; i++) {
        model_caller* caller = &m->callers[i];
        caller->due += caller->rate * per_usec * (double)duration;
        for (; caller->due >= 1; caller->due -= 1) {
            model_push(m, i);
        }
    }
}

static void model_tick(model* m) {
    wg_overload_sample sample = m->sample;
    wg_time waits = m->probe_since ? m->now - m->probe_since : 0;
    if (waits > sample.delay) {
        sample.delay = waits;
        sample.since = m->probe_since;
    }
    sample.stall_ended_at = m->stall_ended_at;
    m->delay_last = sample.delay;
    m->delay_max = MAX(m->delay_max, sample.delay);
    wg_overload_change change = wg_overload_tick(m->overload, m->now, &sample);
    m->begun += change == WG_OVERLOAD_BEGUN;
    m->ended += change == WG_OVERLOAD_ENDED;
    if (!m->probe_since) {
        m->probe_since = m->now;
        model_push(m, PROBE);
    }
    m->tick_at += WG_OVERLOAD_PERIOD;
}

static void model_read(model* m) {
    int entry = m->queue[m->head];
    m->head = (m->head + 1) % QUEUE_MAX;
    if (entry == PROBE) {
        m->sample.delay = m->busy_until - m->probe_since;
        m->sample.since = m->probe_since;
        m->probe_since = 0;
        return;
    }
    bool admits = wg_overload_admits(m->overload, m->busy_until, (uint64_t)entry);
    m->callers[entry].refused += !admits;
    m->callers[entry].admitted += admits;
    if (entry == BUSY) {
        m->run = admits ? m->run + 1 : 0;
        m->run_max = MAX(m->run_max, m->run);
    }
    m->busy_until += admits ? ADMITTED_COST : m->refused_cost;
}

static void model_run(model* m, wg_time duration) {
    for (wg_time until = m->now + duration; m->now < until; m->now += MSEC) {
        model_send(m, MSEC);
        if (m->now < m->frozen_until) {
            continue;
        }
        m->busy_until = MAX(m->busy_until, m->now);
        if (m->now >= m->tick_at) {
            if (m->now - m->tick_at > 100 * MSEC) {
                m->stall_ended_at = m->now;
                m->tick_at = m->now;
            }
            model_tick(m);
            if (m->freeze > 0) {
                m->frozen_until = m->now + m->freeze;
                m->freeze = 0;
                continue;
            }
        }
        while (m->head != m->tail && m->busy_until < m->now + MSEC) {
            model_read(m);
        }
    }
}

/* Whether all input was read within the limit at the last tick. */
static bool model_is_in_time(const model* m) {
    return m->delay_last <= DELAY_MAX_MS * MSEC;
}

static int model_refused(const model* m) {
    int num = 0;
    for (int i = 0; i < m->callers_num; i++) {
        num += m->callers[i].refused;
    }
    return num;
}

/* Milliseconds until the delay is within the limit, at most `max`. */
static int model_time_until_in_time(model* m, int max) {
    int ms = 0;
    for (; ms < max && !(m->begun > 0 && model_is_in_time(m)); ms += 10) {
        model_run(m, 10 * MSEC);
    }
    return ms;
}

/* Milliseconds until the limit is lifted, at most `max`. */
static int model_time_until_ended(model* m, int max) {
    int ms = 0;
    for (; ms < max && wg_overload_is_limited(m->overload); ms += 10) {
        model_run(m, 10 * MSEC);
    }
    return ms;
}

/* ---- tests ---------------------------------------------------------------------------------- */

/* One workspace sends ten times what the host reads. Without control the input of all workspaces
   waits for seconds, and requests of small workspaces fail with it. */
START_TEST(small_workspaces_lose_nothing_beside_a_large_one) {
    model m;
    model_begin(&m, 10, 40);
    model_run(&m, 2 * SECOND);
    m.callers[BUSY].rate = 10 * HOST_RATE;
    int ms = model_time_until_in_time(&m, 5000);
    ck_assert_int_le(ms, 1000);
    m.delay_max = 0;
    m.run_max = 0;
    int admitted = m.callers[BUSY].admitted;
    model_run(&m, 19 * SECOND);
    ck_assert_int_eq(model_refused(&m), m.callers[BUSY].refused);
    /* An excess shows at the second tick after it. */
    ck_assert_int_le(m.delay_max, DELAY_MAX_MS * MSEC + 2 * WG_OVERLOAD_PERIOD);
    /* The others take 360 of 2,500 requests per second; refusals take a fourth of the time. */
    ck_assert_int_gt(m.callers[BUSY].admitted - admitted, 19 * HOST_RATE / 2);
    ck_assert_int_eq(m.run_max, 1);
    ck_assert_int_eq(m.begun, 1);
    ck_assert_int_eq(m.ended, 0);
    m.callers[BUSY].rate = 40;
    ck_assert_int_le(model_time_until_ended(&m, 10000), 2000);
    ck_assert_int_eq(m.ended, 1);
    model_end(&m);
}
END_TEST

/* Refusals that take half of the host at this load leave less time for the backlog, not less for
   small workspaces. */
START_TEST(small_workspaces_lose_nothing_while_refusals_are_costly) {
    model m;
    model_begin(&m, 10, 40);
    m.refused_cost = 2 * REFUSED_COST;
    model_run(&m, 2 * SECOND);
    m.callers[BUSY].rate = 10 * HOST_RATE;
    ck_assert_int_le(model_time_until_in_time(&m, 5000), 2000);
    m.delay_max = 0;
    model_run(&m, 18 * SECOND);
    ck_assert_int_eq(model_refused(&m), m.callers[BUSY].refused);
    ck_assert_int_le(m.delay_max, DELAY_MAX_MS * MSEC + 2 * WG_OVERLOAD_PERIOD);
    model_end(&m);
}
END_TEST

/* After a peak the limit must not keep refusing what the host can read. */
START_TEST(rate_recovers_after_a_peak) {
    model m;
    model_begin(&m, 10, 40);
    m.callers[BUSY].rate = 10 * HOST_RATE;
    model_run(&m, 10 * SECOND);
    m.callers[BUSY].rate = HOST_RATE * 7 / 10;
    ck_assert_int_le(model_time_until_ended(&m, 10000), 4000);
    int refused = model_refused(&m);
    model_run(&m, 5 * SECOND);
    ck_assert_int_eq(model_refused(&m), refused);
    model_end(&m);
}
END_TEST

/* A host that stood still measures one long delay; the requests that came meanwhile are read. */
START_TEST(host_that_stood_still_refuses_nothing) {
    static const int stalls_ms[] = {90, 250, 1000, 20000};
    for (size_t i = 0; i < G_N_ELEMENTS(stalls_ms); i++) {
        model m;
        model_begin(&m, 4, 20);
        model_run(&m, 2 * SECOND);
        m.freeze = stalls_ms[i] * MSEC;
        model_run(&m, (stalls_ms[i] + 5000) * MSEC);
        ck_assert_int_ge(m.delay_max, (stalls_ms[i] - 50) * MSEC);
        ck_assert_int_eq(m.begun, 0);
        ck_assert_int_eq(model_refused(&m), 0);
        model_end(&m);
    }
}
END_TEST

/* Ticks that always come late are no reason to drop every sample: such a host is overloaded. */
START_TEST(host_that_lags_all_the_time_refuses) {
    wg_overload* o =
        wg_overload_setup(&(wg_overload_desc){.delay_max = DELAY_MAX_MS * MSEC, .seed = 1});
    wg_time now = 100 * SECOND;
    for (int i = 0; i < 10; i++) {
        now += 200 * MSEC;
        for (int k = 0; k < 100; k++) {
            wg_overload_admits(o, now, BUSY);
        }
        wg_overload_tick(o, now,
                         &(wg_overload_sample){.delay = 200 * MSEC,
                                               .since = now - 200 * MSEC,
                                               .stall_ended_at = now});
    }
    ck_assert(wg_overload_is_limited(o));
    wg_overload_shutdown(o);
}
END_TEST

/* No workspace may be preferred, for example by its place in a table. */
START_TEST(equal_workspaces_get_equal_shares) {
    model m;
    model_begin(&m, 300, 4.0 * HOST_RATE / 300);
    model_run(&m, 20 * SECOND);
    int least = INT32_MAX;
    int most = 0;
    for (int i = 0; i < m.callers_num; i++) {
        least = MIN(least, m.callers[i].admitted);
        most = MAX(most, m.callers[i].admitted);
    }
    ck_assert_int_gt(model_refused(&m), 0);
    ck_assert_int_gt(least, 0);
    ck_assert_int_le(most - least, most / 4);
    ck_assert_int_le(m.delay_last, DELAY_MAX_MS * MSEC + 2 * WG_OVERLOAD_PERIOD);
    model_end(&m);
}
END_TEST

/* Requests without a workspace must not escape the limit, nor take the share of workspaces. */
START_TEST(requests_without_a_workspace_count_as_one) {
    model m;
    model_begin(&m, 10, 40);
    m.callers[WG_OVERLOAD_NO_WORKSPACE].rate = 10 * HOST_RATE;
    model_run(&m, 10 * SECOND);
    ck_assert_int_gt(m.callers[WG_OVERLOAD_NO_WORKSPACE].refused, 0);
    ck_assert_int_eq(model_refused(&m), m.callers[WG_OVERLOAD_NO_WORKSPACE].refused);
    model_end(&m);
}
END_TEST

/* A small workspace that sends several requests at once is below its share all the same. */
START_TEST(burst_of_a_small_workspace_is_admitted) {
    enum {
        BURST = 15
    };
    model m;
    model_begin(&m, 10, 40);
    m.callers[BUSY].rate = 10 * HOST_RATE;
    m.callers[2].rate = 0;
    for (int i = 0; i < 20; i++) {
        model_run(&m, SECOND);
        for (int k = 0; k < BURST; k++) {
            model_push(&m, 2);
        }
    }
    model_run(&m, SECOND);
    ck_assert_int_eq(m.callers[2].refused, 0);
    ck_assert_int_eq(m.callers[2].admitted, 20 * BURST);
    model_end(&m);
}
END_TEST

/* A load that comes and goes must not flood the log with events. */
START_TEST(limit_begins_and_ends_at_most_once_a_second) {
    enum {
        SECONDS = 20
    };
    model m;
    model_begin(&m, 4, 20);
    for (int i = 0; i < 2 * SECONDS; i++) {
        m.callers[BUSY].rate = 10 * HOST_RATE;
        model_run(&m, 150 * MSEC);
        m.callers[BUSY].rate = 20;
        model_run(&m, 350 * MSEC);
    }
    ck_assert_int_gt(m.begun, 0);
    ck_assert_int_le(m.begun, SECONDS);
    model_end(&m);
}
END_TEST

/* Retry-After must be one that callers honour, and spread callers that are refused together. */
START_TEST(retry_after_grows_with_the_load) {
    model m;
    wg_time shortest = WG_TIME_NEVER;
    wg_time longest = 0;
    model_begin(&m, 10, 40);
    ck_assert_int_eq(wg_overload_retry_after(m.overload, 0), 0);
    ck_assert_int_eq(wg_overload_retry_after(m.overload, -SECOND), 0);
    ck_assert_int_le(wg_overload_retry_after(m.overload, WG_TIME_NEVER), 400 * MSEC);
    m.callers[BUSY].rate = 10 * HOST_RATE;
    model_run(&m, 5 * SECOND);
    for (int i = 0; i < 1000; i++) {
        wg_time after = wg_overload_retry_after(m.overload, WG_TIME_NEVER);
        shortest = MIN(shortest, after);
        longest = MAX(longest, after);
        ck_assert_int_le(wg_overload_retry_after(m.overload, 3 * SECOND), SECOND);
        ck_assert_int_gt(wg_overload_retry_after(m.overload, 3 * SECOND), 0);
    }
    ck_assert_int_gt(shortest, 400 * MSEC);
    ck_assert_int_gt(longest, 2 * shortest - 100 * MSEC);
    ck_assert_int_le(longest, WG_OVERLOAD_RETRY_MAX);
    model_end(&m);
}
END_TEST

WG_TEST_MAIN("overload", small_workspaces_lose_nothing_beside_a_large_one,
             small_workspaces_lose_nothing_while_refusals_are_costly, rate_recovers_after_a_peak,
             host_that_stood_still_refuses_nothing, host_that_lags_all_the_time_refuses,
             equal_workspaces_get_equal_shares, requests_without_a_workspace_count_as_one,
             burst_of_a_small_workspace_is_admitted, limit_begins_and_ends_at_most_once_a_second,
             retry_after_grows_with_the_load)
