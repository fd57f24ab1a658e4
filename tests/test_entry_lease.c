/* test_entry_lease.c -- decisions of an entry host that has no word of a leader; leader, another
   control and target run in the process of the test */
#include "one_entry.h"

enum {
    CONFIGURATION_MS = 2000,
    TIMEOUT_MS = 8000, /* of the route: far longer than any wait for a sure configuration */
    SOON_MS = 1200     /* 1 ms turns: the wait for a sure configuration, and room */
};

static void lead(uint64_t version, const char* prefix) {
    one_entry_lead(&(one_route){.version = version, .prefix = prefix, .timeout_ms = TIMEOUT_MS});
}

static void begin(void) {
    fake_entry_configuration_ms = CONFIGURATION_MS;
    one_entry_begin();
    leader.confirms = true;
    leader.answers_reports = true;
    leader.answers_search = true;
    lead(5, "/a/");
    run_turns(150); /* a report and its answer */
}

static void end(void) {
    one_entry_end();
}

static void fall_silent(void) {
    leader.confirms = false;
    leader.answers_search = false;
}

/* State of a leader in whose registry this is the last change. */
static Wgpb__EntryState make_state(uint64_t registry_change) {
    Wgpb__EntryState state = WGPB__ENTRY_STATE__INIT;
    state.leads = true;
    state.term = 1;
    state.registry_change = registry_change;
    state.members_change = 1;
    state.report_ms = 100;
    return state;
}

static void expect_served(int fd) {
    char answer[1024];
    ck_assert(target_got_request());
    target_answer("whole");
    ck_assert_int_eq(status_of(fd, answer), 200);
}

START_TEST(unknown_route_is_refused_for_good_by_word_of_the_leader) {
    char answer[1024];
    begin();
    int fd = send_get("/b/x", "");
    ck_assert_int_eq(status_of(fd, answer), 404);
    close(fd);
    end();
}
END_TEST

/* Guards against 404 by a configuration that may be outdated, and against 503 for all. */
START_TEST(host_without_a_leader_refuses_only_what_it_does_not_know) {
    char answer[1024];
    begin();
    fall_silent();
    run_turns(CONFIGURATION_MS + 500);
    int unknown = send_get("/b/x", "");
    ck_assert_int_eq(status_within(unknown, answer, SOON_MS), 503);
    ck_assert_ptr_nonnull(strstr(answer, "Retry-After: "));
    ck_assert_ptr_nonnull(strstr(answer, "configuration_unsure"));
    int known = send_get("/a/x", "");
    expect_served(known);
    close(unknown);
    close(known);
    end();
}
END_TEST

/* Guards against decisions by the configuration of before a stall: the request waits for the
   leader's word, and is served by the version that the word brings. */
START_TEST(request_after_a_standstill_is_handled_by_the_version_of_the_leader) {
    begin();
    fall_silent();
    wg_now_skip(5 * SECOND);
    int fd = send_get("/b/x", "");
    run_turns(3); /* read before the leader's word */
    leader.confirms = true;
    lead(6, "/b/");
    expect_served(fd);
    close(fd);
    end();
}
END_TEST

START_TEST(request_after_a_standstill_without_a_leader_is_not_held_long) {
    begin();
    fall_silent();
    run_turns(50);
    wg_now_skip(5 * SECOND);
    wg_time since = wg_now();
    int fd = send_get("/a/x", "");
    expect_served(fd);
    ck_assert_int_lt(wg_now() - since, SOON_MS * MSEC);
    close(fd);
    end();
}
END_TEST

/* Guards against requests that are run by an older version although a newer one is known. */
START_TEST(host_that_misses_a_version_known_to_a_replica_serves_nothing_by_its_own) {
    char answer[1024];
    begin();
    leader.confirms = false; /* it no longer leads, but has what it acknowledged last */
    leader.version = 6;
    run_turns(CONFIGURATION_MS + 500);
    int fd = send_get("/a/x", "");
    ck_assert_int_eq(status_within(fd, answer, SOON_MS), 503);
    ck_assert_ptr_nonnull(strstr(answer, "Retry-After: "));
    ck_assert_int_eq(requests_at_target(), 0);
    close(fd);
    end();
}
END_TEST

/* Guards against a host that follows a silent control while another one leads. */
START_TEST(leader_is_found_although_the_one_followed_is_silent) {
    fake_control other;
    begin();
    fake_control_begin(base, &other, 2);
    other.confirms = true;
    other.answers_reports = true;
    other.answers_search = true;
    char* controls[] = {leader.address, other.address};
    Wgpb__EntryState state = make_state(1);
    state.controls = controls;
    state.n_controls = 2;
    ck_assert(wgn_send(leader.net, leader.link, WGW_TYPE_ENTRY_STATE, &state.base));
    run_turns(50);
    fall_silent();
    wg_time since = wg_now();
    for (int i = 0; i < TURNS_MAX && other.reports == 0; i++) {
        local_run_loop(base);
    }
    ck_assert_int_gt(other.reports, 0);
    ck_assert_int_lt(wg_now() - since, 1200 * MSEC); /* not only once the link counts as silent */
    end();
    fake_control_end(&other);
}
END_TEST

/* Adds a second target of the service, at the same address. */
static void add_target(void) {
    Wgpb__EntryState state = make_state(2);
    Wgpb__TargetRecord record = WGPB__TARGET_RECORD__INIT;
    Wgpb__TargetRecord* records[] = {&record};
    record.number = 2;
    record.id = (char*)"t-2";
    record.service = (char*)"e";
    record.address = target_address;
    record.data_centre = (char*)"dc";
    record.state = WG_TARGET_READY;
    record.change = 2;
    state.targets = records;
    state.n_targets = 1;
    ck_assert(wgn_send(leader.net, leader.link, WGW_TYPE_ENTRY_STATE, &state.base));
}

/* Guards against a request that is sent to a target which left during a standstill, by a registry
   that is as old. */
START_TEST(retry_after_a_standstill_waits_for_word_of_the_targets) {
    static const char document[] =
        "{\"version\":6,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_ms\":8000,\"objective_ms\":500,"
        "\"attempts\":3,\"service\":\"e\"}],\"limits\":{},\"workspaces\":[]}";
    fake_entry_retry_slack = 100;
    begin();
    fake_control_send_leader_state(
        &leader, &(fake_update){.version = 6, .document = document, .target = target_address});
    add_target();
    run_turns(150);
    int fd = send_get("/a/x", "");
    ck_assert(target_got_request());
    fall_silent();
    target_close_connection();
    wg_now_skip(5 * SECOND);
    run_turns(100);
    ck_assert_int_eq(requests_at_target(), 1);
    run_turns(SOON_MS); /* no leader is found: the targets known are used */
    ck_assert_int_eq(requests_at_target(), 2);
    close(fd);
    end();
}
END_TEST

/* Guards against a search that confirms the targets of before a standstill although the leader has
   others. */
START_TEST(leader_with_newer_targets_does_not_confirm_older_ones) {
    begin();
    leader.confirms = false;
    run_turns(150);
    leader.confirms = true;
    leader.registry_change = 2;
    leader.answers_reports = false;
    wg_now_skip(5 * SECOND);
    int fd = send_get("/a/x", "");
    run_turns(100);
    ck_assert_int_eq(requests_at_target(), 0);
    close(fd);
    end();
}
END_TEST

START_TEST(caller_that_leaves_while_its_request_waits_is_forgotten) {
    begin();
    fall_silent();
    wg_now_skip(5 * SECOND);
    int fd = send_get("/a/x", "");
    run_turns(3);
    ck_assert_int_eq(requests_at_target(), 0);
    close(fd);
    run_turns(SOON_MS);
    ck_assert_int_eq(requests_at_target(), 0);
    end();
}
END_TEST

WG_TEST_MAIN("entry lease", unknown_route_is_refused_for_good_by_word_of_the_leader,
             host_without_a_leader_refuses_only_what_it_does_not_know,
             request_after_a_standstill_is_handled_by_the_version_of_the_leader,
             request_after_a_standstill_without_a_leader_is_not_held_long,
             host_that_misses_a_version_known_to_a_replica_serves_nothing_by_its_own,
             leader_is_found_although_the_one_followed_is_silent,
             retry_after_a_standstill_waits_for_word_of_the_targets,
             leader_with_newer_targets_does_not_confirm_older_ones,
             caller_that_leaves_while_its_request_waits_is_forgotten)
