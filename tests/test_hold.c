/* test_hold.c -- requests that wait for a target at its coordinator, and the load of many hosts */
#include "wg_hold.h"
#include "wg_policy.h"
#include "wg_test.h"
#include "wg_usage.h"

#include <math.h>

/* ---- one target, 30 tokens per ms ------------------------------------------------------------ */

enum {
    TARGET = 7,
    TOKENS_PER_MS = 30,
    BLOCKER = 999, /* ticket of the prompt that the target reads at first */
    HOLDER = 5
};

static wg_admit* admit;
static wg_hold* hold;
static double usages[10]; /* by workspace */

static wg_admit_answer decide(wg_admit_request* request, wg_time now, void* user_data) {
    (void)user_data;
    return wg_admit_decide(admit, now, request);
}

static double usage_of(uint64_t workspace, void* user_data) {
    (void)user_data;
    return usages[workspace % G_N_ELEMENTS(usages)];
}

static wg_hold_request question(uint64_t ticket, uint64_t workspace, uint32_t tokens) {
    return (wg_hold_request){
        .admit = {.holder = HOLDER,
                  .ticket = ticket,
                  .target = TARGET,
                  .tokens = tokens,
                  .limits = {.total = 400 * MSEC, .ahead = 20 * MSEC, .ahead_large = 20 * MSEC}},
        .workspace = workspace,
        .charge = tokens,
        .hold = 100 * MSEC};
}

/* The target reads a prompt that takes `ms`. */
static void begin(int ms) {
    memset(usages, 0, sizeof usages);
    admit = wg_admit_setup(&(wg_admit_desc){0});
    hold = wg_hold_setup(&(wg_hold_desc){.decide = decide, .usage = usage_of});
    wg_admit_request blocker = {.ticket = BLOCKER,
                                .target = TARGET,
                                .tokens = (uint32_t)(TOKENS_PER_MS * ms),
                                .limits = {SECOND, SECOND, SECOND, false}};
    ck_assert(wg_admit_decide(admit, 0, &blocker).granted);
}

static void end(void) {
    wg_hold_shutdown(hold);
    wg_admit_shutdown(admit);
}

static void add(wg_time now, uint64_t ticket, uint64_t workspace, uint32_t tokens) {
    wg_hold_request request = question(ticket, workspace, tokens);
    ck_assert(wg_hold_add(hold, now, &request));
}

static void read_prompt(wg_time now, uint64_t holder, uint64_t ticket) {
    wg_admit_first_event(admit, now, holder, ticket);
    wg_hold_notify_room(hold, TARGET);
}

/* Ticket of the next grant; 0: none. No denial may come. */
static uint64_t granted(wg_time now) {
    wg_hold_action action;
    if (!wg_hold_next(hold, now, &action)) {
        return 0;
    }
    ck_assert_int_eq(action.outcome, WG_HOLD_GRANTED);
    ck_assert(action.answer.granted);
    return action.ticket;
}

/* Grants and reads prompts until none is granted; returns the tickets as digits in order. */
static uint64_t grant_order(wg_time now) {
    uint64_t order = 0;
    uint64_t ticket;
    read_prompt(now, 0, BLOCKER);
    while ((ticket = granted(now)) > 0) {
        order = order * 10 + ticket;
        read_prompt(now, HOLDER, ticket);
    }
    return order;
}

/* Guards against grants in order of arrival: a workspace that asks most would get most. */
START_TEST(least_used_workspace_is_granted_first) {
    begin(100);
    usages[1] = 5000;
    usages[2] = 100;
    usages[3] = 800;
    add(0, 1, 1, 900);
    add(0, 2, 2, 900);
    add(0, 3, 3, 900);
    ck_assert_uint_eq(granted(1), 0);
    ck_assert_uint_eq(grant_order(1 * MSEC), 231);
    end();
}
END_TEST

static void add_weighted(uint64_t ticket, uint64_t workspace, double weight) {
    wg_hold_request request = question(ticket, workspace, 900);
    request.weight = weight;
    ck_assert(wg_hold_add(hold, 0, &request));
}

/* Guards against an order by usage alone, and a charge that ignores the weight: the second grant to
   workspace 1 comes while the first one counts 900 / 4. */
START_TEST(usage_counts_per_unit_of_weight) {
    begin(100);
    usages[1] = 3000;
    usages[2] = 1000;
    add_weighted(1, 1, 4);
    add_weighted(2, 2, 1);
    add_weighted(3, 1, 4);
    ck_assert_uint_eq(grant_order(1 * MSEC), 132);
    end();
}
END_TEST

/* Guards against the weight of an older configuration that stays in force for requests that wait
   already. */
START_TEST(weight_of_the_latest_request_applies) {
    begin(100);
    usages[1] = 3000;
    usages[2] = 1000;
    add_weighted(1, 1, 0);
    add_weighted(2, 2, 0);
    wg_hold_request changed = question(3, 1, 900);
    changed.weight = 4;
    changed.admit.limits.ahead = 0;
    ck_assert(wg_hold_add(hold, 0, &changed));
    ck_assert_uint_eq(grant_order(1 * MSEC) / 10, 1);
    end();
}
END_TEST

/* Guards against an order that is undefined (usage that is not a number) or upside down, because
   another host states a weight that no configuration can have. */
START_TEST(stated_weights_are_bounded) {
    static const double absurd[] = {NAN, INFINITY, -INFINITY, -4, 0};
    for (size_t i = 0; i < G_N_ELEMENTS(absurd); i++) {
        begin(100);
        usages[1] = 3000;
        usages[2] = 1000;
        usages[3] = 5000;
        add_weighted(1, 1, absurd[i]); /* counts as 1 */
        add_weighted(2, 2, 1);
        add_weighted(3, 3, 1);
        ck_assert_uint_eq(grant_order(1 * MSEC), 213);
        end();
    }
    begin(100);
    usages[1] = 300000;
    usages[2] = 1000;
    add_weighted(1, 1, 1e300); /* counts as 100 */
    add_weighted(2, 2, 1);
    ck_assert_uint_eq(grant_order(1 * MSEC), 21);
    end();
}
END_TEST

/* Reports of usage are older than the last grants: without the coordinator's own count, all room
   between two reports would go to one workspace. */
START_TEST(grants_count_before_they_are_reported) {
    begin(100);
    usages[1] = 100;
    usages[2] = 200;
    for (uint64_t ticket = 1; ticket <= 4; ticket++) {
        add(0, ticket, ticket <= 2 ? 1 : 2, 900);
    }
    ck_assert_uint_eq(grant_order(1 * MSEC), 1324);
    end();
}
END_TEST

/* Guards against an order by the usage as of the time at which the requests were added. */
START_TEST(changed_usage_changes_the_order) {
    begin(100);
    usages[1] = 100;
    usages[2] = 200;
    add(0, 1, 1, 900);
    add(0, 2, 2, 900);
    usages[1] = 300;
    wg_hold_update_usage(hold, 1 * MSEC);
    ck_assert_uint_eq(grant_order(1 * MSEC), 21);
    end();
}
END_TEST

/* Guards against requests of a workspace that become late behind less urgent ones. */
START_TEST(within_a_workspace_rank_then_time_left_decide) {
    begin(100);
    wg_hold_request request = question(1, 1, 900);
    request.rank = 1;
    ck_assert(wg_hold_add(hold, 0, &request));
    request = question(2, 1, 900);
    ck_assert(wg_hold_add(hold, 0, &request));
    request = question(3, 1, 900);
    request.admit.limits.total -= 10 * MSEC;
    ck_assert(wg_hold_add(hold, 0, &request));
    ck_assert_uint_eq(grant_order(1 * MSEC), 321);
    end();
}
END_TEST

/* A long prompt must not keep short ones out. The short one joins the 15 ms that are ahead; the
   long one may have nothing ahead of it. */
START_TEST(prompt_that_does_not_fit_is_passed_over) {
    begin(15);
    usages[2] = 100;
    wg_hold_request large = question(1, 1, 9000);
    large.admit.limits.ahead = 1 * MSEC;
    ck_assert(wg_hold_add(hold, 0, &large));
    add(0, 2, 2, 60);
    wg_hold_notify_room(hold, TARGET);
    ck_assert_uint_eq(granted(1 * MSEC), 2);
    ck_assert_uint_eq(granted(1 * MSEC), 0);
    ck_assert_int_eq(wg_hold_num(hold), 1);
    end();
}
END_TEST

/* Requests of half the wait and more must not be passed over for ever. */
START_TEST(after_half_of_its_wait_requests_behind_it_wait) {
    begin(15);
    usages[2] = 100;
    wg_hold_request large = question(1, 1, 9000);
    large.admit.limits.ahead = 1 * MSEC;
    ck_assert(wg_hold_add(hold, 0, &large));
    ck_assert_uint_eq(granted(50 * MSEC), 0);
    wg_hold_request behind = question(2, 2, 60);
    wg_admit_answer answer;
    ck_assert(wg_hold_ask(hold, 50 * MSEC, &behind, &answer));
    behind.admit.ticket = 3;
    behind.hold = 0;
    ck_assert(!wg_hold_ask(hold, 50 * MSEC, &behind, &answer));
    ck_assert(!answer.granted);
    /* Its host must be able to tell that it may wait here. */
    ck_assert(!wg_hold_is_hopeless(&behind.admit, &answer, 50 * MSEC));
    wg_hold_notify_room(hold, TARGET);
    ck_assert_uint_eq(granted(51 * MSEC), 0);
    read_prompt(52 * MSEC, 0, BLOCKER);
    ck_assert_uint_eq(granted(52 * MSEC), 1);
    ck_assert(!wg_hold_must_wait(hold, 52 * MSEC, &behind));
    end();
}
END_TEST

/* A workspace above its share may have little ahead of it: it must not make others wait for that.
 */
START_TEST(requests_before_it_in_order_do_not_wait) {
    begin(15);
    usages[1] = 100;
    wg_hold_request large = question(1, 1, 9000);
    large.admit.limits.ahead = 1 * MSEC;
    ck_assert(wg_hold_add(hold, 0, &large));
    ck_assert_uint_eq(granted(50 * MSEC), 0);
    wg_hold_request before = question(2, 2, 60);
    wg_admit_answer answer;
    ck_assert(!wg_hold_ask(hold, 50 * MSEC, &before, &answer));
    ck_assert(answer.granted);
    end();
}
END_TEST

/* A request that waits for a slot must not keep the target idle: streams last for seconds. */
START_TEST(request_that_waits_for_a_slot_blocks_nobody) {
    begin(15);
    usages[2] = 100;
    wg_hold_request few_slots = question(1, 1, 60);
    few_slots.admit.running_max = 1;
    ck_assert(wg_hold_add(hold, 0, &few_slots));
    ck_assert_uint_eq(granted(60 * MSEC), 0);
    add(60 * MSEC, 2, 2, 60);
    wg_hold_notify_room(hold, TARGET);
    ck_assert_uint_eq(granted(60 * MSEC), 2);
    wg_admit_end(admit, 61 * MSEC, 0, BLOCKER, false);
    wg_admit_end(admit, 61 * MSEC, HOLDER, 2, false);
    wg_hold_notify_room(hold, TARGET);
    ck_assert_uint_eq(granted(61 * MSEC), 1);
    end();
}
END_TEST

/* Guards against requests that wait beyond their time, and denials without the time of room. */
START_TEST(wait_ends_with_a_denial_that_tells_when_there_is_room) {
    begin(100);
    add(0, 1, 1, 900);
    ck_assert_uint_eq(granted(99 * MSEC), 0);
    wg_hold_action action;
    ck_assert(wg_hold_next(hold, 100 * MSEC, &action));
    ck_assert_int_eq(action.outcome, WG_HOLD_EXPIRED);
    ck_assert(!action.answer.granted);
    ck_assert_int_eq(action.answer.room, 80 * MSEC); /* 100 ms are ahead, 20 ms may be */
    ck_assert_int_eq(action.waited, 100 * MSEC);
    ck_assert_int_eq(wg_hold_num(hold), 0);
    ck_assert_uint_eq(wg_hold_count(hold)->expired, 1);
    ck_assert_int_eq(wg_hold_due_at(hold), WG_TIME_NEVER);
    end();
}
END_TEST

/* The prompt takes 300 ms + 12 ms: with a limit of 350 ms it is in time until 38 ms have passed. */
START_TEST(request_that_cannot_be_in_time_is_denied_at_once) {
    begin(100);
    wg_hold_request request = question(1, 1, 9000);
    request.admit.limits.total = 350 * MSEC;
    ck_assert(wg_hold_add(hold, 0, &request));
    ck_assert_uint_eq(granted(30 * MSEC), 0);
    ck_assert_int_le(wg_hold_due_at(hold), 40 * MSEC);
    wg_hold_action action;
    ck_assert(wg_hold_next(hold, 40 * MSEC, &action));
    ck_assert_int_eq(action.outcome, WG_HOLD_LATE);
    end();
}
END_TEST

/* Room for 20 ms ahead is no room for a request whose time is used up by its wait. */
START_TEST(limits_shrink_by_the_time_waited) {
    begin(40);
    wg_hold_request request = question(1, 1, 9000); /* 312 ms */
    request.admit.limits.total = 350 * MSEC;
    ck_assert(wg_hold_add(hold, 0, &request));
    wg_admit_request other = {.ticket = 2,
                              .target = TARGET,
                              .tokens = 15 * TOKENS_PER_MS,
                              .limits = {SECOND, SECOND, SECOND, false}};
    ck_assert(wg_admit_decide(admit, 0, &other).granted);
    read_prompt(30 * MSEC, 0, BLOCKER);
    ck_assert_uint_eq(granted(30 * MSEC), 0);
    read_prompt(31 * MSEC, 0, 2);
    ck_assert_uint_eq(granted(31 * MSEC), 1);
    end();
}
END_TEST

/* A prompt that alone takes longer than its limit waits for its other limit. */
START_TEST(prompt_beyond_its_limit_waits_for_little_ahead) {
    begin(100);
    add(0, 1, 1, 15000);
    read_prompt(90 * MSEC, 0, BLOCKER);
    ck_assert_uint_eq(granted(90 * MSEC), 1);
    end();
}
END_TEST

/* The time of the next look is needed where room appears by time alone. */
START_TEST(target_is_looked_at_when_room_is_expected) {
    begin(40);
    add(0, 1, 1, 900);
    wg_hold_notify_room(hold, TARGET);
    ck_assert_int_eq(wg_hold_due_at(hold), 0);
    ck_assert_uint_eq(granted(0), 0);
    ck_assert_int_eq(wg_hold_due_at(hold), 20 * MSEC);
    end();
}
END_TEST

/* Guards against a request that waits for half of its time although the target has read enough, as
   no message comes that would cause a look. */
START_TEST(added_request_is_looked_at_when_room_is_expected) {
    begin(40);
    add(0, 1, 1, 900);
    ck_assert_int_eq(wg_hold_due_at(hold), 20 * MSEC);
    /* One that expects room later does not delay the look. */
    wg_hold_request later = question(2, 1, 900);
    later.admit.limits.ahead = 5 * MSEC;
    ck_assert(wg_hold_add(hold, 0, &later));
    ck_assert_int_eq(wg_hold_due_at(hold), 20 * MSEC);
    end();
}
END_TEST

/* Guards against room reserved for requests whose caller or host is gone. */
START_TEST(removed_requests_are_not_granted) {
    begin(100);
    add(0, 1, 1, 900);
    add(0, 2, 1, 900);
    add(0, 3, 2, 900);
    wg_hold_request other = question(4, 1, 900);
    other.admit.holder = HOLDER + 1;
    ck_assert(wg_hold_add(hold, 0, &other));
    ck_assert(wg_hold_remove(hold, HOLDER, 2));
    ck_assert(!wg_hold_remove(hold, HOLDER, 2));
    wg_hold_remove_holder(hold, HOLDER);
    ck_assert_int_eq(wg_hold_num(hold), 1);
    ck_assert_uint_eq(wg_hold_count(hold)->dropped, 3);
    read_prompt(1 * MSEC, 0, BLOCKER);
    ck_assert_uint_eq(granted(1 * MSEC), 4);
    ck_assert_uint_eq(granted(1 * MSEC), 0);
    end();
}
END_TEST

/* Guards against a removed request that still blocks those behind it. */
START_TEST(removal_of_a_request_that_others_waited_for_lets_them_in) {
    begin(15);
    usages[2] = 100;
    wg_hold_request large = question(1, 1, 9000);
    large.admit.limits.ahead = 1 * MSEC;
    ck_assert(wg_hold_add(hold, 0, &large));
    ck_assert_uint_eq(granted(50 * MSEC), 0);
    add(50 * MSEC, 2, 2, 60);
    ck_assert_uint_eq(granted(51 * MSEC), 0);
    ck_assert(wg_hold_remove(hold, HOLDER, 1));
    ck_assert_uint_eq(granted(51 * MSEC), 2);
    end();
}
END_TEST

/* A retry has no limits and has waited before. */
START_TEST(request_without_limits_does_not_wait) {
    begin(15);
    wg_hold_request large = question(1, 1, 9000);
    large.admit.limits.ahead = 1 * MSEC;
    ck_assert(wg_hold_add(hold, 0, &large));
    ck_assert_uint_eq(granted(50 * MSEC), 0);
    wg_hold_request retry = question(2, 2, 60);
    retry.admit.limits = (wg_admit_limits){WG_TIME_NEVER, WG_TIME_NEVER, WG_TIME_NEVER, false};
    retry.hold = 0;
    usages[2] = 100;
    wg_admit_answer answer;
    ck_assert(!wg_hold_ask(hold, 50 * MSEC, &retry, &answer));
    ck_assert(answer.granted);
    end();
}
END_TEST

/* Guards against unbounded memory, and against a request that is in the queue twice. */
START_TEST(queue_is_bounded) {
    begin(100);
    wg_hold_shutdown(hold);
    hold = wg_hold_setup(&(wg_hold_desc){.decide = decide, .usage = usage_of, .waiting_max = 2});
    add(0, 1, 1, 900);
    wg_hold_request again = question(1, 1, 900);
    ck_assert(!wg_hold_add(hold, 0, &again));
    add(0, 2, 1, 900);
    wg_hold_request third = question(3, 1, 900);
    ck_assert(!wg_hold_add(hold, 0, &third));
    ck_assert_int_eq(wg_hold_num(hold), 2);
    end();
}
END_TEST

/* Requests must not wait for what a wait cannot give. */
START_TEST(hopeless_waits) {
    wg_admit_request request = question(1, 1, 900).admit;
    wg_admit_answer busy = {.wait = 150 * MSEC, .wait_ahead = 100 * MSEC};
    ck_assert(!wg_hold_is_hopeless(&request, &busy, 80 * MSEC));
    ck_assert(wg_hold_is_hopeless(&request, &busy, 79 * MSEC));
    ck_assert(wg_hold_is_hopeless(&request, &busy, 0));
    wg_admit_answer late = {.wait = 490 * MSEC, .wait_ahead = 100 * MSEC};
    ck_assert(!wg_hold_is_hopeless(&request, &late, 90 * MSEC));
    ck_assert(wg_hold_is_hopeless(&request, &late, 89 * MSEC));
    wg_admit_answer ejected = {.wait = 50 * MSEC, .wait_ahead = 0, .running = 3};
    ck_assert(wg_hold_is_hopeless(&request, &ejected, 80 * MSEC));
    request.running_max = 3;
    ck_assert(!wg_hold_is_hopeless(&request, &ejected, 80 * MSEC));
    request.rate_max = 1;
    ck_assert(wg_hold_is_hopeless(&request, &ejected, 80 * MSEC));
    request.rate_max = 0;
    request.limits.ahead = 0;
    ck_assert(wg_hold_is_hopeless(&request, &busy, 80 * MSEC));
}
END_TEST

/* ---- cost ------------------------------------------------------------------------------------ */

/* Operations per decision with `num` waiting requests of `workspaces` workspaces. */
static double operations_per_decision(int num, int workspaces) {
    enum {
        DECISIONS = 200
    };
    begin(100);
    wg_hold_shutdown(hold);
    hold = wg_hold_setup(&(wg_hold_desc){.decide = decide, .usage = usage_of, .waiting_max = num});
    uint64_t before = wg_hold_operations(hold);
    for (int i = 0; i < num; i++) {
        wg_hold_request request = question((uint64_t)i + 1, 1 + (uint64_t)(i % workspaces),
                                           (uint32_t)(50 + 37 * (i % 300)));
        request.hold = 300 * MSEC;
        ck_assert(wg_hold_add(hold, i, &request));
    }
    double per_add = (double)(wg_hold_operations(hold) - before) / num;
    ck_assert(per_add < 100);
    before = wg_hold_operations(hold);
    uint64_t ticket = BLOCKER;
    uint64_t holder = 0;
    for (int i = 0; i < DECISIONS; i++) {
        read_prompt(20 * MSEC, holder, ticket);
        ticket = granted(20 * MSEC);
        ck_assert_uint_ne(ticket, 0);
        holder = HOLDER;
    }
    double per_decision = (double)(wg_hold_operations(hold) - before) / DECISIONS;
    end();
    return per_decision;
}

/* Guards against decisions that examine all waiting requests. */
START_TEST(cost_of_a_decision_is_logarithmic) {
    const int workspaces[] = {1, 30, 1000};
    for (size_t i = 0; i < G_N_ELEMENTS(workspaces); i++) {
        double few = operations_per_decision(1000, workspaces[i]);
        double many = operations_per_decision(10000, workspaces[i]);
        ck_assert_msg(many < few + 40 && many < 150,
                      "%d workspaces: %.1f with 1000, %.1f with 10000", workspaces[i], few, many);
    }
}
END_TEST

/* The worst case: nothing fits, so that a look finds no grant. */
START_TEST(look_without_a_grant_examines_a_bounded_number) {
    begin(100);
    wg_hold_shutdown(hold);
    hold =
        wg_hold_setup(&(wg_hold_desc){.decide = decide, .usage = usage_of, .waiting_max = 10000});
    for (uint64_t i = 1; i <= 10000; i++) {
        add(0, i, i, (uint32_t)(50 + 37 * (i % 300)));
    }
    uint64_t before = wg_hold_operations(hold);
    wg_hold_notify_room(hold, TARGET);
    ck_assert_uint_eq(granted(1 * MSEC), 0);
    ck_assert_uint_le(wg_hold_operations(hold) - before, 1200);
    end();
}
END_TEST

/* ---- load: three times what one target reads, from 100 hosts --------------------------------- */

enum {
    LOAD_HOSTS = 100,
    LOAD_WORKSPACES_MAX = 30,
    LOAD_SIZES = 3,
    LOAD_MS = 14000,
    LOAD_WARM_UP_MS = 2000,
    LOAD_WINDOW_MS = 4000,
    LOAD_SPEED = 80, /* tokens per ms */
    LOAD_DEMAND = 3, /* times the speed */
    LOAD_OBJECTIVE_MS = 300,
    LOAD_HOLD_MS = 90,
    LOAD_REPORT_MS = 100,    /* interval of the leader's reports of usage, and their age */
    LOAD_MESSAGE_MS = 1,     /* host to coordinator */
    LOAD_FIRST_EVENT_MS = 12 /* besides reading */
};

/* Tokens of prompts, and how many of 100 prompts have that size. Prompts are granted as a whole, so
   the largest one is small against a tenth of a share: one of 30 workspaces gets 10,667 tokens in
   4 s. */
static const uint32_t load_tokens[LOAD_SIZES] = {30, 100, 300};
static const int load_percent[LOAD_SIZES] = {60, 30, 10};

typedef struct {
    uint64_t ticket;
    uint64_t holder;
    uint32_t tokens;
    int left; /* tokens to be read */
    wg_time asked_at;
    wg_time ready_at; /* arrival at the target */
    wg_time read_at;  /* arrival of the note at the coordinator */
} load_prompt;

typedef struct {
    int workspaces;
    double parts[LOAD_WORKSPACES_MAX];   /* of the demand, sum 1 */
    double weights[LOAD_WORKSPACES_MAX]; /* of the workspaces in the configuration */
    uint64_t counter;
    GQueue unread;     /* load_prompt*, at the target */
    GQueue read;       /* load_prompt*, note on its way */
    GHashTable* asked; /* ticket -> load_prompt*, waiting or granted */
    wg_usage_ledger* usage;
    wg_usage recent[LOAD_WORKSPACES_MAX];         /* decayed totals, as the leader knows them */
    wg_usage report[LOAD_WORKSPACES_MAX];         /* the state that the next report contains */
    double served[LOAD_MS][LOAD_WORKSPACES_MAX];  /* tokens granted up to this ms */
    double offered[LOAD_MS][LOAD_WORKSPACES_MAX]; /* tokens asked for up to this ms */
    double size_served[LOAD_SIZES];
    double size_offered[LOAD_SIZES];
    int busy_ms;
    wg_time waited_max;
    int granted;
    int granted_after_wait;
    int late; /* first events beyond the objective */
} load;

static load* sim; /* the simulation that runs */

static double load_usage(uint64_t workspace, void* user_data) {
    (void)user_data;
    return wg_usage_of(sim->usage, workspace);
}

static double load_random(void) {
    return (double)(wg_jitter(42, ++sim->counter) >> 11) / (double)(1ULL << 53);
}

static int load_size(void) {
    int at = (int)(100 * load_random());
    int size = 0;
    while (size < LOAD_SIZES - 1 && at >= load_percent[size]) {
        at -= load_percent[size++];
    }
    return size;
}

static double load_mean_tokens(void) {
    double mean = 0;
    for (int i = 0; i < LOAD_SIZES; i++) {
        mean += load_tokens[i] * load_percent[i] / 100.0;
    }
    return mean;
}

static int load_workspace_of(const load_prompt* prompt) {
    return (int)(prompt->ticket % LOAD_WORKSPACES_MAX);
}

static int load_size_of(const load_prompt* prompt) {
    int size = 0;
    while (size < LOAD_SIZES - 1 && load_tokens[size] != prompt->tokens) {
        size++;
    }
    return size;
}

static void load_grant(load_prompt* prompt, wg_time now) {
    int workspace = load_workspace_of(prompt);
    sim->granted++;
    sim->served[now / MSEC][workspace] += prompt->tokens;
    sim->recent[workspace].tokens += prompt->tokens;
    sim->size_served[load_size_of(prompt)] += prompt->tokens;
    prompt->ready_at = now + 2 * LOAD_MESSAGE_MS * MSEC;
    g_queue_push_tail(&sim->unread, prompt);
}

/* A host asks, as wg_entry_attempt.c does: it waits when the request was denied and the wait is not
   hopeless. */
static void load_ask(int workspace, wg_time now) {
    int size = load_size();
    uint32_t tokens = load_tokens[size];
    uint64_t id = (uint64_t)workspace + 1;
    sim->offered[now / MSEC][workspace] += tokens;
    sim->recent[workspace].demand += tokens;
    sim->size_offered[size] += tokens;
    wg_fair_margin margin = {0};
    wg_policy_terms terms = {.counts = true,
                             .used = wg_usage_per_weight(sim->usage, id),
                             .levels = wg_usage_levels(sim->usage),
                             .margin = &margin,
                             .has_prompt = true,
                             .started = now,
                             .objective = LOAD_OBJECTIVE_MS * MSEC,
                             .tightest_objective = LOAD_OBJECTIVE_MS * MSEC};
    if (wg_policy_admission_requests_max(&terms) == 0) {
        return;
    }
    uint64_t number = ++sim->counter;
    wg_hold_request request = {
        .admit = {.holder = 1 + wg_jitter(1, number) % LOAD_HOSTS,
                  .ticket = number * LOAD_WORKSPACES_MAX + (uint64_t)workspace,
                  .target = TARGET,
                  .tokens = tokens,
                  .limits = wg_policy_limits(&terms, now)},
        .workspace = id,
        .weight = sim->weights[workspace],
        .charge = tokens,
        .hold = LOAD_HOLD_MS * MSEC};
    load_prompt* prompt = g_new0(load_prompt, 1);
    *prompt = (load_prompt){.ticket = request.admit.ticket,
                            .holder = request.admit.holder,
                            .tokens = tokens,
                            .left = (int)tokens,
                            .asked_at = now};
    wg_admit_answer answer;
    if (wg_hold_ask(hold, now, &request, &answer)) {
        g_hash_table_insert(sim->asked, &prompt->ticket, prompt);
    } else if (answer.granted) {
        load_grant(prompt, now);
    } else {
        g_free(prompt);
    }
}

static void load_arrivals(wg_time now) {
    double prompts_per_ms = LOAD_DEMAND * LOAD_SPEED / load_mean_tokens();
    for (int i = 0; i < sim->workspaces; i++) {
        double left = prompts_per_ms * sim->parts[i];
        while (load_random() < left) {
            load_ask(i, now);
            left -= 1;
        }
    }
}

/* The target reads prompts in order of arrival. */
static void load_read(wg_time now) {
    int budget = LOAD_SPEED;
    load_prompt* prompt;
    while (budget > 0 && (prompt = g_queue_peek_head(&sim->unread)) && prompt->ready_at <= now) {
        int part = MIN(budget, prompt->left);
        prompt->left -= part;
        budget -= part;
        if (prompt->left == 0) {
            g_queue_pop_head(&sim->unread);
            prompt->read_at = now + (LOAD_FIRST_EVENT_MS + LOAD_MESSAGE_MS) * MSEC;
            sim->late += prompt->read_at - prompt->asked_at > LOAD_OBJECTIVE_MS * MSEC;
            g_queue_push_tail(&sim->read, prompt);
        }
    }
    if (now >= LOAD_WARM_UP_MS * MSEC) {
        sim->busy_ms += budget < LOAD_SPEED;
    }
}

static void load_notes(wg_time now) {
    load_prompt* prompt;
    while ((prompt = g_queue_peek_head(&sim->read)) && prompt->read_at <= now) {
        g_queue_pop_head(&sim->read);
        wg_admit_first_event(admit, now, prompt->holder, prompt->ticket);
        wg_admit_end(admit, now, prompt->holder, prompt->ticket, false);
        wg_hold_notify_room(hold, TARGET);
        g_free(prompt);
    }
}

static void load_answers(wg_time now) {
    wg_hold_action action;
    while (wg_hold_next(hold, now, &action)) {
        load_prompt* prompt = g_hash_table_lookup(sim->asked, &action.ticket);
        ck_assert_ptr_nonnull(prompt);
        g_hash_table_remove(sim->asked, &action.ticket);
        sim->waited_max = MAX(sim->waited_max, action.waited);
        if (action.outcome == WG_HOLD_GRANTED) {
            sim->granted_after_wait++;
            load_grant(prompt, now);
        } else {
            g_free(prompt);
        }
    }
}

/* Usage decays each ms; each report contains the state of the last one. */
static void load_report(wg_time now) {
    double keep = exp2(-(double)MSEC / WG_USAGE_HALF_LIFE);
    static double tokens[LOAD_WORKSPACES_MAX];
    static double demand[LOAD_WORKSPACES_MAX];
    if (now == 0) {
        memset(tokens, 0, sizeof tokens);
        memset(demand, 0, sizeof demand);
    }
    for (int i = 0; i < sim->workspaces; i++) {
        tokens[i] = tokens[i] * keep + (double)sim->recent[i].tokens;
        demand[i] = demand[i] * keep + (double)sim->recent[i].demand;
        sim->recent[i] = (wg_usage){0};
    }
    if (now % (LOAD_REPORT_MS * MSEC) != 0) {
        return;
    }
    double share = LOAD_SPEED * (double)WG_USAGE_HALF_LIFE / MSEC / G_LN2;
    wg_usage_report report = {.list = sim->report, .num = (size_t)sim->workspaces};
    wg_usage_apply_report(sim->usage, now, &report, share);
    wg_hold_update_usage(hold, now);
    for (int i = 0; i < sim->workspaces; i++) {
        sim->report[i] = (wg_usage){(uint64_t)i + 1, (uint64_t)tokens[i], (uint64_t)demand[i]};
    }
}

static void load_run(void) {
    for (wg_time now = 0; now < LOAD_MS * MSEC; now += MSEC) {
        load_report(now);
        load_notes(now);
        load_answers(now);
        load_arrivals(now);
        load_read(now);
    }
}

/* Sums up from the start, so that a window is a difference. */
static void load_accumulate(void) {
    for (int ms = 1; ms < LOAD_MS; ms++) {
        for (int i = 0; i < sim->workspaces; i++) {
            sim->served[ms][i] += sim->served[ms - 1][i];
            sim->offered[ms][i] += sim->offered[ms - 1][i];
        }
    }
}

/* Largest difference of any workspace from its weighted max-min share in any window, as a part of
 * the share.
 */
static double load_unfairness(void) {
    double worst = 0;
    for (int ms = LOAD_WARM_UP_MS; ms + LOAD_WINDOW_MS < LOAD_MS; ms += 20) {
        double demand[LOAD_WORKSPACES_MAX] = {0};
        double served = 0;
        for (int i = 0; i < sim->workspaces; i++) {
            demand[i] = sim->offered[ms + LOAD_WINDOW_MS][i] - sim->offered[ms][i];
            served += sim->served[ms + LOAD_WINDOW_MS][i] - sim->served[ms][i];
        }
        double level = wg_fair_weighted_level(demand, sim->weights, sim->workspaces, served);
        for (int i = 0; i < sim->workspaces; i++) {
            double share = MIN(sim->weights[i] * level, demand[i]);
            double got = sim->served[ms + LOAD_WINDOW_MS][i] - sim->served[ms][i];
            worst = MAX(worst, fabs(1 - got / share));
        }
    }
    return worst;
}

static void load_free_prompt(void* key, void* value, void* user_data) {
    (void)key;
    (void)user_data;
    g_free(value);
}

/* Simulates the load and checks what was served. `large`: number of workspaces that make
   `large_part` of the demand. `weights_num` weights are given to the workspaces in turn. */
static void load_simulate_weighted(int workspaces, int large, double large_part,
                                   const double* weights, int weights_num) {
    sim = g_new0(load, 1);
    sim->workspaces = workspaces;
    sim->asked = g_hash_table_new(g_int64_hash, g_int64_equal);
    sim->usage = wg_usage_setup();
    wg_usage_weight configured[LOAD_WORKSPACES_MAX];
    for (int i = 0; i < workspaces; i++) {
        sim->parts[i] = i < large ? large_part / large : (1 - large_part) / (workspaces - large);
        sim->weights[i] = weights[i % weights_num];
        configured[i] = (wg_usage_weight){(uint64_t)i + 1, sim->weights[i]};
    }
    wg_usage_set_weights(sim->usage, configured, (size_t)workspaces, 0);
    admit = wg_admit_setup(&(wg_admit_desc){0});
    hold = wg_hold_setup(&(wg_hold_desc){.decide = decide, .usage = load_usage});
    load_run();
    load_accumulate();
    double unfairness = load_unfairness();
    double busy = (double)sim->busy_ms / (LOAD_MS - LOAD_WARM_UP_MS);
    double served[LOAD_SIZES];
    for (int i = 0; i < LOAD_SIZES; i++) {
        served[i] = sim->size_served[i] / sim->size_offered[i];
    }
    char* seen = g_strdup_printf("%d workspaces, %d large: busy %.3f, unfairness %.3f, served by "
                                 "size %.2f %.2f %.2f, waited "
                                 "%d ms at most, %d granted, %d of them after a wait, %d late",
                                 workspaces, large, busy, unfairness, served[0], served[1],
                                 served[2], (int)(sim->waited_max / MSEC), sim->granted,
                                 sim->granted_after_wait, sim->late);
    g_print("%s\n", seen);
    ck_assert_msg(busy > 0.95, "%s", seen);
    ck_assert_msg(unfairness < 0.1, "%s", seen);
    ck_assert_msg(served[0] > 0.1 && served[1] > 0.1 && served[2] > 0.1, "%s", seen);
    ck_assert_msg(sim->waited_max <= LOAD_HOLD_MS * MSEC, "%s", seen);
    ck_assert_msg(sim->late < sim->granted / 20, "%s", seen);
    g_free(seen);
    end();
    g_hash_table_foreach(sim->asked, load_free_prompt, NULL);
    g_hash_table_unref(sim->asked);
    g_queue_clear_full(&sim->unread, g_free);
    g_queue_clear_full(&sim->read, g_free);
    wg_usage_shutdown(sim->usage);
    g_free(sim);
}

static void load_simulate(int workspaces, int large, double large_part) {
    load_simulate_weighted(workspaces, large, large_part, (const double[]){1}, 1);
}

/* The tests of load guard against an idle target, shares that depend on chance, sizes that are
   never granted, and grants that come too late. At this load, hosts that ask again at intervals
   would leave the order of grants to chance. */
START_TEST(one_workspace_keeps_the_target_busy) {
    load_simulate(1, 0, 0);
}
END_TEST

START_TEST(ten_equal_workspaces_get_equal_shares) {
    load_simulate(10, 0, 0);
}
END_TEST

START_TEST(thirty_equal_workspaces_get_equal_shares) {
    load_simulate(30, 0, 0);
}
END_TEST

START_TEST(ten_workspaces_of_which_one_is_large) {
    load_simulate(10, 1, 0.8);
}
END_TEST

START_TEST(thirty_workspaces_of_which_three_are_large) {
    load_simulate(30, 3, 0.8);
}
END_TEST

/* Weights 1, 2 and 4. Guards against levels, wait tolerances or an order of grants that ignore
   them: each of the three alone leaves shares more than a tenth off. */
START_TEST(ten_equal_workspaces_get_shares_by_weight) {
    load_simulate_weighted(10, 0, 0, (const double[]){1, 2, 4}, 3);
}
END_TEST

START_TEST(ten_workspaces_of_which_one_is_large_get_shares_by_weight) {
    load_simulate_weighted(10, 1, 0.8, (const double[]){4, 1, 2}, 3);
}
END_TEST

START_TEST(ten_workspaces_of_which_three_are_large_get_shares_by_weight) {
    load_simulate_weighted(10, 3, 0.8, (const double[]){1, 2, 4}, 3);
}
END_TEST

WG_TEST_MAIN("hold", least_used_workspace_is_granted_first, grants_count_before_they_are_reported,
             changed_usage_changes_the_order, within_a_workspace_rank_then_time_left_decide,
             prompt_that_does_not_fit_is_passed_over,
             after_half_of_its_wait_requests_behind_it_wait,
             requests_before_it_in_order_do_not_wait, request_that_waits_for_a_slot_blocks_nobody,
             wait_ends_with_a_denial_that_tells_when_there_is_room,
             request_that_cannot_be_in_time_is_denied_at_once, limits_shrink_by_the_time_waited,
             prompt_beyond_its_limit_waits_for_little_ahead,
             target_is_looked_at_when_room_is_expected,
             added_request_is_looked_at_when_room_is_expected, removed_requests_are_not_granted,
             removal_of_a_request_that_others_waited_for_lets_them_in,
             request_without_limits_does_not_wait, queue_is_bounded, hopeless_waits,
             cost_of_a_decision_is_logarithmic, look_without_a_grant_examines_a_bounded_number,
             one_workspace_keeps_the_target_busy, ten_equal_workspaces_get_equal_shares,
             thirty_equal_workspaces_get_equal_shares, ten_workspaces_of_which_one_is_large,
             thirty_workspaces_of_which_three_are_large, usage_counts_per_unit_of_weight,
             weight_of_the_latest_request_applies, stated_weights_are_bounded,
             ten_equal_workspaces_get_shares_by_weight,
             ten_workspaces_of_which_one_is_large_get_shares_by_weight,
             ten_workspaces_of_which_three_are_large_get_shares_by_weight)
