/* test_entry_speed.c -- learned speeds pass between an entry host and the coordinator of a target

   If they were lost with a coordinator, the next one would refuse long prompts until it has learned
   again. The test simulates the other entry host, "there". */
#include "one_entry.h"

enum {
    CALLS_MAX = 40,
    BASE_US = 47000,
    TOKENS_PER_MS = 112,
    SAMPLES = 60,
    PROMPT_TOKENS = 1210
};

/* ---- the other entry host ----------------------------------------------------------------------
 */

static wgn_net* other_net;
static wgn_link other_link; /* by which it sends its own requests */
static char* other_callers;
static Wgpb__AdmitAsk* request_received;   /* last admission request of the tested host; or NULL */
static Wgpb__AdmitAnswer* answer_received; /* last answer of the tested host; or NULL */

static void other_on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    (void)peer;
    (void)user_data;
}

/* Grants a request and states what it knows about the target. */
static void other_on_request(wgn_link link, const wgw_frame* frame) {
    wgpb__admit_ask__free_unpacked(request_received, NULL);
    request_received = wgpb__admit_ask__unpack(NULL, frame->size, frame->payload);
    Wgpb__AdmitAnswer answer = WGPB__ADMIT_ANSWER__INIT;
    answer.ticket = request_received->ticket;
    answer.granted = true;
    answer.base_us = BASE_US;
    answer.tokens_per_ms = TOKENS_PER_MS;
    answer.samples = SAMPLES;
    ck_assert(wgn_send(other_net, link, WGW_TYPE_ADMIT_ANSWER, &answer.base));
}

static void other_on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    (void)user_data;
    if (frame->type == WGW_TYPE_ADMIT_ASK) {
        other_on_request(link, frame);
    } else if (frame->type == WGW_TYPE_ADMIT_ANSWER) {
        wgpb__admit_answer__free_unpacked(answer_received, NULL);
        answer_received = wgpb__admit_answer__unpack(NULL, frame->size, frame->payload);
    }
}

static void other_on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    (void)peer;
    (void)user_data;
}

static void other_begin(void) {
    wgn_peer self = {.name = "there", .role = WGW_ROLE_ENTRY, .address = "127.0.0.1:1"};
    char* fleet = local_address(12, 18005);
    char* tested = local_address(11, 18005);
    other_callers = local_address(12, 18001);
    other_net = wgn_setup(&(wgn_desc){.base = base,
                                      .fleet_key = "a key for the fleet",
                                      .self = self,
                                      .on_up = other_on_up,
                                      .on_frame = other_on_frame,
                                      .on_down = other_on_down},
                          NULL);
    ck_assert(wgn_listen(other_net, fleet, NULL));
    other_link = wgn_dial(other_net, tested);
    run_turns(50);
    g_free(tested);
    g_free(fleet);
}

static void other_end(void) {
    wgn_shutdown(other_net);
    g_clear_pointer(&other_callers, g_free);
    wgpb__admit_ask__free_unpacked(request_received, NULL);
    wgpb__admit_answer__free_unpacked(answer_received, NULL);
    request_received = NULL;
    answer_received = NULL;
}

/* Requests an admission from the tested host; returns its answer. `samples` 0: states no speed. */
static const Wgpb__AdmitAnswer* ask(uint32_t target, uint32_t samples) {
    static uint64_t ticket;
    Wgpb__AdmitAsk request = WGPB__ADMIT_ASK__INIT;
    request.ticket = ++ticket;
    request.target = target;
    request.tokens = PROMPT_TOKENS;
    request.whole_us = request.ahead_us = request.ahead_large_us = 1000 * WG_USEC_PER_SEC;
    request.base_us = samples ? BASE_US : 0;
    request.tokens_per_ms = samples ? TOKENS_PER_MS : 0;
    request.samples = samples;
    ck_assert(wgn_send(other_net, other_link, WGW_TYPE_ADMIT_ASK, &request.base));
    for (int i = 0; i < TURNS_MAX && (!answer_received || answer_received->ticket != ticket); i++) {
        local_run_loop(base);
    }
    ck_assert(answer_received && answer_received->ticket == ticket);
    return answer_received;
}

/* ---- the tested host ---------------------------------------------------------------------------
 */

/* Lists both hosts as coordinators, or the tested one only. */
static void lead(uint32_t target, bool with_other) {
    static uint64_t members_change;
    static const char document[] =
        "{\"version\":5,\"services\":[{\"name\":\"e\",\"engine\":{\"slots\":8}}],"
        "\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/p\",\"kind\":\"safe\","
        "\"timeout_ms\":5000,\"objective_ms\":2000,\"attempts\":1,\"service\":\"e\"}],"
        "\"limits\":{},\"workspaces\":[]}";
    fake_control_send_leader_state(&leader,
                                   &(fake_update){.version = 5,
                                                  .document = document,
                                                  .target = target_address,
                                                  .number = target,
                                                  .other_member = with_other ? "there" : NULL,
                                                  .other_address = other_callers,
                                                  .members_change = ++members_change});
    run_turns(200);
}

/* The first target that the other host coordinates. */
static uint32_t target_of_other(void) {
    uint64_t here = wg_hash("here", strlen("here"), 0);
    uint64_t there = wg_hash("there", strlen("there"), 0);
    uint32_t target = 1;
    while (wg_hash(&target, sizeof target, there) < wg_hash(&target, sizeof target, here)) {
        target++;
    }
    return target;
}

static void begin(bool learn_base) {
    fake_entry_learn_base = learn_base;
    one_entry_begin();
    other_begin();
}

static void end(void) {
    other_end();
    if (target_connection) {
        target_close_connection();
    }
    one_entry_end();
}

/* Sends a prompt of a caller, which the target answers. */
static void call_once(void) {
    char answer[1024];
    g_string_truncate(target_received, 0);
    int fd = send_get("/p", "Walnutgate-Prompt-Parts: 5c1e:800,91bd:410\r\n"
                            "Walnutgate-Prompt-Tokens: 1210,5\r\n");
    ck_assert(target_got_request());
    target_answer("ok");
    ck_assert_int_eq(status_of(fd, answer), 200);
    close(fd);
    run_turns(20);
}

/* Whether the metrics of the tested host contain the line. */
static bool metrics_contain(const char* line) {
    char answer[16384] = "";
    size_t size = 0;
    int fd = send_request(READY_PORT, "GET", "/metrics", "Connection: close\r\n");
    for (int i = 0; i < TURNS_MAX && !strstr(answer, line); i++) {
        local_run_loop(base);
        ssize_t got = recv(fd, answer + size, sizeof answer - 1 - size, 0);
        if (got == 0) {
            break;
        }
        size += (size_t)MAX(got, 0);
        answer[size] = 0;
    }
    close(fd);
    return strstr(answer, line) != NULL;
}

/* The coordinator is lost: the host passes on what it was told, and the next coordinator, here the
   host itself, continues from it. */
START_TEST(speed_survives_the_coordinator) {
    begin(true);
    uint32_t target = target_of_other();
    lead(target, true);
    call_once();
    ck_assert_ptr_nonnull(request_received);
    ck_assert_uint_eq(request_received->samples, 0); /* a host that has started knows nothing */
    /* An answer after the time-out does not count, so a busy machine may need more than one. */
    for (int i = 0; i < CALLS_MAX && request_received->samples == 0; i++) {
        call_once();
    }
    ck_assert_uint_eq(request_received->samples, SAMPLES);
    ck_assert_uint_eq(request_received->base_us, BASE_US);
    ck_assert_double_eq_tol(request_received->tokens_per_ms, TOKENS_PER_MS, 1e-6);
    lead(target, false);
    call_once();
    const Wgpb__AdmitAnswer* answer = ask(target, 0);
    ck_assert_uint_ge(answer->samples, SAMPLES);
    ck_assert_uint_ge(answer->base_us, BASE_US * 9 / 10);
    ck_assert_uint_le(answer->base_us, BASE_US * 11 / 10);
    end();
}
END_TEST

/* With the setting off no values are passed on, and those of other hosts are not used. */
START_TEST(no_speed_is_passed_on_when_off) {
    begin(false);
    uint32_t target = target_of_other();
    lead(target, true);
    call_once();
    call_once();
    ck_assert_ptr_nonnull(request_received);
    ck_assert_uint_eq(request_received->samples, 0);
    lead(target, false);
    const Wgpb__AdmitAnswer* answer = ask(target, SAMPLES);
    ck_assert_uint_eq(answer->samples, 0);
    ck_assert_uint_eq(answer->wait_us, 12000 + (uint64_t)(PROMPT_TOKENS / 0.030));
    run_turns(500);
    ck_assert_uint_eq(ask(target, SAMPLES)->late_us, 0);
    end();
}
END_TEST

/* A target that stops reading is late within some tenths of a second, and recovers once its prompts
   are gone. */
START_TEST(stall_is_told_and_counted) {
    begin(true);
    lead(1, false);
    ck_assert(metrics_contain("walnutgate_entry_targets_stalled 0\n"));
    ck_assert_uint_eq(ask(1, SAMPLES)->late_us, 0);
    wg_time granted_at = wg_now(); /* at the latest */
    uint64_t wait = answer_received->wait_us;
    ck_assert_uint_eq(wait, BASE_US + (uint64_t)(PROMPT_TOKENS / 0.112));
    while (wg_now() < granted_at + (wg_time)wait + 200 * MSEC) {
        local_run_loop(base);
    }
    ck_assert_uint_ge(ask(1, 0)->late_us, 200 * MSEC);
    ck_assert_uint_ge(answer_received->wait_us, wait + 200 * MSEC);
    ck_assert(metrics_contain("walnutgate_entry_targets_stalled 1\n"));
    ck_assert(metrics_contain("walnutgate_entry_target_stalls_total 1\n"));
    wgn_close(other_net, other_link); /* returns its admissions */
    run_turns(20);
    wg_time closed_at = wg_now();
    while (wg_now() < closed_at + 400 * MSEC) {
        local_run_loop(base);
    }
    ck_assert(metrics_contain("walnutgate_entry_targets_stalled 0\n"));
    end();
}
END_TEST

WG_TEST_MAIN("entry speed", speed_survives_the_coordinator, no_speed_is_passed_on_when_off,
             stall_is_told_and_counted)
