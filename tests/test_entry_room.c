/* test_entry_room.c -- one entry host that uses the room which the leader tells, and limits by
   route

   Workspace "most" is far above the level of the others, so that its requests yield unless the
   service has room. Leader, target and callers run in the process of the test. */
#include "one_entry.h"
#include "wg_config.h"

enum {
    WORKSPACES = 5, /* "most" and those that it is compared with */
    REPORT_MS = 400,
    LIFETIME_TURNS = 3 * REPORT_MS,
    SENT_TURNS_MAX = 300, /* a request is refused after 110 ms in the queue */
    ROOM_WAIT_MS = 40,
    TARGETS = 60, /* as told; the host knows one */
    VERSION = 9
};

static const char document[] =
    "{\"version\":9,\"services\":[{\"name\":\"e\",\"engine\":{\"slots\":8,"
    "\"memory_tokens\":100000}}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
    "\"path_prefix\":\"/a/\",\"kind\":\"stream\",\"timeout_ms\":2000,\"objective_ms\":1000,"
    "\"attempts\":1,\"service\":\"e\",\"affinity\":true},{\"name\":\"tight\",\"host\":\"h\","
    "\"path_prefix\":\"/t/\",\"kind\":\"stream\",\"timeout_ms\":2000,\"objective_ms\":300,"
    "\"attempts\":1,\"service\":\"e\",\"affinity\":true}],\"limits\":{},"
    "\"workspaces\":[{\"name\":\"most\",\"keys\":[\"key-most\"]},"
    "{\"name\":\"least\",\"keys\":[\"key-least\"]}]}";

/* Answers reports with the fields set in `update`. */
static void lead(fake_update update) {
    Wgpb__WorkspaceUsage items[WORKSPACES];
    Wgpb__WorkspaceUsage* usage[WORKSPACES];
    wg_config* config = wg_config_parse(document, strlen(document), NULL);
    ck_assert_ptr_nonnull(config);
    for (int i = 0; i < WORKSPACES; i++) {
        wgpb__workspace_usage__init(&items[i]);
        items[i].workspace = i ? (uint64_t)i : config->workspaces[0].hash;
        items[i].tokens = i ? 100000 : 800000;
        items[i].asked = 800000;
        usage[i] = &items[i];
    }
    wg_config_unref(config);
    update.version = VERSION;
    update.document = document;
    update.target = target_address;
    update.usage = usage;
    update.usage_num = WORKSPACES;
    update.report_ms = REPORT_MS;
    fake_control_send_leader_state(&leader, &update);
    run_turns(20);
}

static void begin(int64_t room_wait_ms) {
    fake_entry_room_wait_ms = room_wait_ms;
    one_entry_begin();
}

/* Sends a prompt of `tokens` tokens; returns the caller's connection. */
static int send_prompt(const char* path, const char* key, int tokens) {
    char* fields = g_strdup_printf("Walnutgate-Key: %s\r\n"
                                   "Walnutgate-Prompt-Parts: 5c1e:800,91bd:410\r\n"
                                   "Walnutgate-Prompt-Tokens: %d,80\r\n",
                                   key, tokens);
    int fd = send_get(path, fields);
    g_free(fields);
    return fd;
}

static bool arrives_at_target(const char* path) {
    for (int i = 0; i < SENT_TURNS_MAX && !strstr(target_received->str, path); i++) {
        local_run_loop(base);
    }
    return strstr(target_received->str, path) != NULL;
}

static bool reaches_target(const char* path) {
    int fd = send_prompt(path, "key-most", 1210);
    bool arrived = arrives_at_target(path);
    close(fd);
    run_turns(20);
    return arrived;
}

/* Guards against deciding by idle targets: the only target that the host knows is in use, but the
   leader tells that the service has room. */
START_TEST(no_workspace_yields_while_the_leader_tells_room) {
    begin(ROOM_WAIT_MS);
    lead((fake_update){.running = 1, .room_ready = TARGETS, .room_targets = TARGETS / 2});
    ck_assert(one_entry_metrics_contain("walnutgate_entry_room{service=\"e\"} 1\n"
                                        "walnutgate_entry_room_told{service=\"e\"} 1\n"
                                        "walnutgate_entry_room_targets_ready{service=\"e\"} 60\n"
                                        "walnutgate_entry_room_targets{service=\"e\"} 30\n"));
    ck_assert(reaches_target("/a/room"));
    one_entry_end();
}
END_TEST

/* Guards against loads that are not told counting as idle: all targets that the host knows are
   idle, but the leader tells that the service has no room. */
START_TEST(workspace_yields_while_the_leader_tells_no_room) {
    begin(ROOM_WAIT_MS);
    lead((fake_update){.room_ready = TARGETS, .room_targets = TARGETS / 2 - 1});
    ck_assert(one_entry_metrics_contain("walnutgate_entry_room{service=\"e\"} 0\n"));
    ck_assert(!reaches_target("/a/none"));
    /* Once lost, room is not regained by one count of half, but by one of two thirds. */
    lead((fake_update){.room_ready = TARGETS, .room_targets = TARGETS / 2});
    ck_assert(!reaches_target("/a/half"));
    lead((fake_update){.room_ready = TARGETS, .room_targets = 2 * TARGETS / 3});
    ck_assert(reaches_target("/a/plenty"));
    one_entry_end();
}
END_TEST

/* Guards against a stale count, in both directions: without answers for three report intervals the
   host decides by the targets that it knows. */
START_TEST(outdated_room_is_not_used) {
    begin(ROOM_WAIT_MS);
    lead((fake_update){.room_ready = TARGETS, .room_targets = 0});
    ck_assert(!reaches_target("/a/none"));
    run_turns(LIFETIME_TURNS);
    ck_assert(one_entry_metrics_contain("walnutgate_entry_room_told{service=\"e\"} 0\n"));
    ck_assert(reaches_target("/a/idle"));
    lead((fake_update){.running = 1, .room_ready = TARGETS, .room_targets = TARGETS});
    ck_assert(reaches_target("/a/room"));
    run_turns(LIFETIME_TURNS);
    lead((fake_update){.running = 1}); /* fresh usage, and a leader that tells no room */
    ck_assert(!reaches_target("/a/busy"));
    one_entry_end();
}
END_TEST

/* The leader is lost: its last count holds for three report intervals, then the host's own view. */
START_TEST(lost_leader_leaves_the_decision_to_the_host) {
    begin(ROOM_WAIT_MS);
    lead((fake_update){.running = 1, .room_ready = TARGETS, .room_targets = TARGETS});
    wgn_shutdown(leader.net);
    run_turns(20);
    ck_assert(reaches_target("/a/last-count"));
    run_turns(LIFETIME_TURNS);
    ck_assert(one_entry_metrics_contain("walnutgate_entry_leader_known 0\n"));
    ck_assert(one_entry_metrics_contain("walnutgate_entry_room_told{service=\"e\"} 0\n"));
    ck_assert(one_entry_metrics_contain("walnutgate_entry_room{service=\"e\"} 0\n"));
    leader.net = NULL;
    wg_entry_shutdown(entry);
    g_free(leader.address);
    evconnlistener_free(listener);
    event_base_free(base);
    g_string_free(target_received, TRUE);
    g_free(target_address);
}
END_TEST

/* A new leader that does not know all loads yet tells nothing: the previous leader's count is
   dropped at once, and used again as soon as the new leader tells one. */
START_TEST(new_leader_replaces_the_count) {
    begin(ROOM_WAIT_MS);
    lead((fake_update){.term = 1, .running = 1, .room_ready = TARGETS, .room_targets = TARGETS});
    ck_assert(reaches_target("/a/first-leader"));
    lead((fake_update){.term = 2, .running = 1});
    ck_assert(!reaches_target("/a/second-leader"));
    lead((fake_update){.term = 2, .running = 1, .room_ready = TARGETS, .room_targets = TARGETS});
    ck_assert(reaches_target("/a/all-reports"));
    one_entry_end();
}
END_TEST

/* Without the setting the host ignores what is told and reports no times. */
START_TEST(room_is_not_used_by_default) {
    begin(0);
    lead((fake_update){.running = 1, .room_ready = TARGETS, .room_targets = TARGETS});
    ck_assert(!reaches_target("/a/busy"));
    ck_assert(!one_entry_metrics_contain("walnutgate_entry_room"));
    lead((fake_update){.room_ready = TARGETS, .room_targets = 0});
    int fd = send_prompt("/a/idle", "key-most", 1210);
    ck_assert(arrives_at_target("/a/idle"));
    for (int i = 0; i < TURNS_MAX && leader.unread_max == 0; i++) {
        local_run_loop(base);
    }
    ck_assert_uint_eq(leader.unread_max, 1210);
    ck_assert_uint_eq(leader.read_us, 0);
    close(fd);
    one_entry_end();
}
END_TEST

/* The leader does not know the speed of targets, so hosts report the time with the tokens. */
START_TEST(unread_tokens_are_reported_with_their_time) {
    begin(ROOM_WAIT_MS);
    lead((fake_update){.room_ready = TARGETS, .room_targets = TARGETS});
    int fd = send_prompt("/a/x", "key-most", 1210);
    ck_assert(arrives_at_target("/a/x"));
    for (int i = 0; i < TURNS_MAX && leader.unread_max == 0; i++) {
        local_run_loop(base);
    }
    ck_assert_uint_eq(leader.unread_max, 1210);
    ck_assert_uint_eq(leader.read_us / 1000, 1210 / 30); /* at the speed assumed at first */
    close(fd);
    one_entry_end();
}
END_TEST

/* ---- the log -------------------------------------------------------------------------------- */

static bool ended_with(const char* text) {
    run_turns(150); /* longer than the time in the queue */
    return strstr(one_entry_ended, text) != NULL;
}

/* The log line of a request tells the room on which it was decided. */
START_TEST(end_of_a_request_is_logged_with_room) {
    one_entry_record_ended();
    begin(ROOM_WAIT_MS);
    lead((fake_update){.running = 1, .room_ready = TARGETS, .room_targets = TARGETS});
    ck_assert(reaches_target("/a/room"));
    ck_assert(ended_with(" room=yes"));
    lead((fake_update){.running = 1, .room_ready = TARGETS, .room_targets = 0});
    ck_assert(!reaches_target("/a/none"));
    ck_assert(ended_with(" room=no"));
    one_entry_end();
}
END_TEST

enum {
    TOKENS_PER_MS = 30 /* speed that is assumed of a target at first */
};

/* Guards against targets that one host fills between two reports: the leader's count is older than
   what this host has sent, here to its only target. */
START_TEST(own_load_of_a_host_ends_room) {
    begin(ROOM_WAIT_MS);
    lead((fake_update){.running = 1,
                       .unread = 2 * ROOM_WAIT_MS * TOKENS_PER_MS,
                       .room_ready = TARGETS,
                       .room_targets = TARGETS});
    ck_assert(one_entry_metrics_contain("walnutgate_entry_room{service=\"e\"} 0\n"));
    ck_assert(!reaches_target("/a/filled"));
    one_entry_end();
}
END_TEST

/* ---- limits by route ------------------------------------------------------------------------ */

enum {
    LONG_MS = 500,      /* to process a long prompt */
    LONG_ROOM_MS = 1000 /* reading time up to which targets of these tests have room */
};

/* Whether the target gets a long prompt of the route with an objective of 1 s behind prompts of
   others that take `ahead_ms`. */
static bool long_prompt_reaches_target(const char* path, uint32_t ahead_ms) {
    lead((fake_update){.running = 1,
                       .unread = ahead_ms * TOKENS_PER_MS,
                       .room_ready = TARGETS,
                       .room_targets = TARGETS});
    int fd = send_prompt(path, "key-most", LONG_MS * TOKENS_PER_MS);
    bool arrived = arrives_at_target(path);
    close(fd);
    run_turns(20);
    return arrived;
}

/* Guards against long prompts that are refused for the objective of another route, 300 ms, and
   against long queues in front of that route's requests: 285 ms is the limit for both classes. */
START_TEST(long_prompt_may_take_its_own_objective) {
    fake_entry_route_limits = 1;
    begin(LONG_ROOM_MS);
    ck_assert(long_prompt_reaches_target("/a/behind-200", 200));
    ck_assert(!long_prompt_reaches_target("/a/behind-300", 300));
    one_entry_end();
}
END_TEST

/* Guards against a change of limits without the setting. */
START_TEST(tightest_objective_limits_long_prompts_by_default) {
    begin(LONG_ROOM_MS);
    ck_assert(!long_prompt_reaches_target("/a/behind-200", 200));
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("entry room", no_workspace_yields_while_the_leader_tells_room,
             own_load_of_a_host_ends_room, workspace_yields_while_the_leader_tells_no_room,
             outdated_room_is_not_used, lost_leader_leaves_the_decision_to_the_host,
             new_leader_replaces_the_count, room_is_not_used_by_default,
             unread_tokens_are_reported_with_their_time, end_of_a_request_is_logged_with_room,
             long_prompt_may_take_its_own_objective,
             tightest_objective_limits_long_prompts_by_default)
