/* test_entry_recovery.c -- an entry host that knows of a forced recovery of the replica set

   Guards against a host that follows, or applies a configuration of, a leader of the replaced
   set. */
#include "one_entry.h"
#include "wg_term.h"

enum {
    ENTRY_PORT = 18005,
    QUERY_MS = 150,        /* for which a host waits for the answers of other hosts */
    QUERY_MS_LONG = 20000, /* longer than a test takes, also on a busy machine */
    QUERY_MS_STALL = 2000
};

static char document[512];

static fake_update update_of(uint64_t version, uint64_t term) {
    g_snprintf(document, sizeof document,
               "{\"version\":%d,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":\"r\","
               "\"host\":\"h\",\"path_prefix\":\"/v%d\",\"kind\":\"safe\",\"timeout_ms\":2000,"
               "\"objective_ms\":500,\"attempts\":1,\"service\":\"e\"}],\"limits\":{},"
               "\"workspaces\":[]}",
               (int)version, (int)version);
    return (fake_update){
        .version = version, .document = document, .term = term, .target = target_address};
}

static void lead(uint64_t version, uint64_t term) {
    fake_update update = update_of(version, term);
    fake_control_send_leader_state(&leader, &update);
    run_turns(50);
}

static void wait_for_link(int links_up) {
    for (int i = 0; i < TURNS_MAX && leader.links_up < links_up; i++) {
        run_turns(1);
    }
    ck_assert_int_ge(leader.links_up, links_up);
}

static int status_of_path(const char* path) {
    char answer[1024];
    int fd = send_get(path, "");
    int status = status_within(fd, answer, 200);
    close(fd);
    return status;
}

/* The reports tell a control of the recovery, and name all hosts once. */
START_TEST(reports_tell_of_a_recovery) {
    one_entry_begin();
    lead(1, 1);
    ck_assert_uint_eq(leader.recovery, 0);
    ck_assert_int_eq(leader.roster_names, 0);
    fake_control_send_leader(&leader, NULL);
    run_turns(20);
    lead(2, wg_recovery_first_term(1) + 1);
    for (int i = 0; i < TURNS_MAX && leader.recovery == 0; i++) {
        run_turns(1);
    }
    ck_assert_uint_eq(leader.recovery, 1);
    run_turns(300);
    ck_assert_int_eq(leader.roster_names, 1);
    one_entry_end();
}
END_TEST

START_TEST(configuration_of_a_replaced_set_is_not_applied) {
    one_entry_begin();
    lead(1, wg_recovery_first_term(1) + 1);
    ck_assert_int_eq(status_of_path("/other"), 404);
    fake_control_send_leader(&leader, NULL);
    run_turns(20);
    lead(9, 7);
    wait_for_link(2);
    ck_assert_int_eq(status_of_path("/v9"), 404);
    one_entry_end();
}
END_TEST

/* A host at the same address as the control, which answers when this host has just started. */
static fake_control other_host;

/* `query_ms`: time for which the entry host waits for the answer of the other one. */
static void begin_beside_other_host(int query_ms) {
    one_entry_begin();
    wg_entry_shutdown(entry);
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    ck_assert(wgn_split_address(leader.address, ip, &port));
    fake_control_begin_as(base, &other_host, 2, WGW_ROLE_ENTRY);
    char* address = g_strdup_printf("%s:%d", ip, ENTRY_PORT);
    ck_assert(wgn_listen(other_host.net, address, NULL));
    char* seeds[] = {leader.address, NULL};
    leader.links_up = 0;
    fake_entry_recovery_query_ms = query_ms;
    entry = fake_control_entry(base, seeds);
    fake_entry_recovery_query_ms = QUERY_MS;
    wait_for_link(1);
    for (int i = 0; i < TURNS_MAX && other_host.links_up == 0; i++) {
        run_turns(1);
    }
    ck_assert_int_gt(other_host.links_up, 0);
    g_free(address);
}

/* The other host's links are closed while the event loop, which one_entry_end() frees, exists. */
static void end_beside_other_host(void) {
    fake_control_end(&other_host);
    one_entry_end();
}

static void other_host_sends_hello(uint64_t term) {
    Wgpb__EntryState state = WGPB__ENTRY_STATE__INIT;
    state.term = term;
    ck_assert(wgn_send(other_host.net, other_host.link, WGW_TYPE_ENTRY_STATE, &state.base));
    run_turns(20);
}

START_TEST(restarted_host_learns_of_a_recovery_from_other_hosts) {
    begin_beside_other_host(QUERY_MS_LONG);
    lead(9, 7);
    ck_assert_int_eq(status_of_path("/v9"), 503);
    other_host_sends_hello(wg_recovery_first_term(1) + 4);
    wait_for_link(2);
    run_turns(50);
    ck_assert_int_eq(status_of_path("/v9"), 503);
    ck_assert_uint_eq(leader.recovery, 1);
    end_beside_other_host();
}
END_TEST

START_TEST(restarted_host_follows_once_another_host_has_answered) {
    begin_beside_other_host(QUERY_MS_LONG);
    lead(9, 7);
    other_host_sends_hello(6);
    ck_assert_int_eq(status_of_path("/other"), 404);
    end_beside_other_host();
}
END_TEST

START_TEST(restarted_host_follows_without_an_answer_after_a_wait) {
    begin_beside_other_host(QUERY_MS);
    lead(9, 7);
    run_turns(1000);
    ck_assert_int_eq(status_of_path("/other"), 404);
    end_beside_other_host();
}
END_TEST

/* Guards against a host that stood still while others answered: it must read their answers before
   it follows a leader of a replaced set. */
START_TEST(time_in_which_the_host_stood_still_is_no_wait) {
    begin_beside_other_host(QUERY_MS_STALL);
    lead(9, 7);
    g_usleep((QUERY_MS_STALL + 500) * 1000);
    ck_assert_int_eq(status_of_path("/v9"), 503);
    other_host_sends_hello(wg_recovery_first_term(1) + 4);
    wait_for_link(2);
    run_turns(50);
    ck_assert_int_eq(status_of_path("/v9"), 503);
    end_beside_other_host();
}
END_TEST

WG_TEST_MAIN("entry_recovery", reports_tell_of_a_recovery,
             configuration_of_a_replaced_set_is_not_applied,
             restarted_host_learns_of_a_recovery_from_other_hosts,
             restarted_host_follows_once_another_host_has_answered,
             restarted_host_follows_without_an_answer_after_a_wait,
             time_in_which_the_host_stood_still_is_no_wait)
