/* test_entry_hold.c -- admission requests that wait for room at a coordinator

   One entry host as coordinator, for its own callers and for another host that the test simulates;
   and one entry host that asks a coordinator that the test simulates. Leader, target, callers and
   the other host run in the process of the test. */
#include <math.h>

#include "one_entry.h"

enum {
    OBJECTIVE_MS = 500,
    HOLD_PERCENT = 30,
    HOLD_MS = OBJECTIVE_MS * HOLD_PERCENT / 100,
    LONG_HOLD_PERCENT = 90,
    UNANSWERED_MS = 30, /* after which a host decides alone */
    SLOTS = 4
};

/* Version, and further members of the workspace with a leading comma. */
static const char document_format[] =
    "{\"version\":%d,\"services\":[{\"name\":\"e\",\"engine\":{\"slots\":4,\"memory_tokens\":"
    "1000000}}],\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":"
    "\"safe\",\"timeout_ms\":3000,\"objective_ms\":500,\"attempts\":1,\"priority\":2,"
    "\"service\":\"e\"}],\"limits\":{},\"workspaces\":[{\"name\":\"w\",\"keys\":[\"k\"]%s}]}";
static char document[sizeof document_format + 64];
static const char* workspace_members = ""; /* of the next test's first document */

/* Limits of the host are 475 ms, at 30 tokens per ms and 12 ms per prompt. */
static const char prompt_of_400_ms[] = "Walnutgate-Key: k\r\n"
                                       "Walnutgate-Prompt-Parts: a1:12000\r\n"
                                       "Walnutgate-Prompt-Tokens: 12000,10\r\n";
static const char prompt_of_100_ms[] = "Walnutgate-Key: k\r\n"
                                       "Walnutgate-Prompt-Parts: b2:3000\r\n"
                                       "Walnutgate-Prompt-Tokens: 3000,10\r\n";
static const char prompt_of_300_ms[] = "Walnutgate-Key: k\r\n"
                                       "Walnutgate-Prompt-Parts: c3:9000\r\n"
                                       "Walnutgate-Prompt-Tokens: 9000,10\r\n";

/* ---- set-up ---------------------------------------------------------------------------------- */

static char* last_ended;   /* details of the last REQUEST_ENDED */
static char* last_refused; /* of the last CONFIGURATION_REFUSED */

static void record_line(const char* line, const char* event, char** last) {
    if (strstr(line, event)) {
        g_free(*last);
        *last = g_strdup(line);
    }
}

static GLogWriterOutput record_log(GLogLevelFlags level, const GLogField* fields, gsize num,
                                   gpointer user_data) {
    (void)level;
    (void)user_data;
    for (gsize i = 0; i < num; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            record_line(fields[i].value, "REQUEST_ENDED", &last_ended);
            record_line(fields[i].value, "CONFIGURATION_REFUSED", &last_refused);
        }
    }
    return G_LOG_WRITER_HANDLED;
}

static int held_ms(void) {
    const char* at = last_ended ? strstr(last_ended, "held_ms=") : NULL;
    ck_assert_ptr_nonnull(at);
    return (int)strtol(at + strlen("held_ms="), NULL, 10);
}

static void make_document(int version, const char* members) {
    g_snprintf(document, sizeof document, document_format, version, members);
}

static void begin(int hold_percent) {
    static bool logs;
    if (!logs) {
        g_log_set_writer_func(record_log, NULL, NULL);
        logs = true;
    }
    fake_entry_hold_percent = hold_percent;
    make_document(1, workspace_members);
    one_entry_begin();
    fake_control_send_leader_state(
        &leader, &(fake_update){.version = 1, .document = document, .target = target_address});
    run_turns(20);
}

static bool target_got(const char* path, int ms) {
    char* wanted = g_strdup_printf("GET %s ", path);
    bool got = false;
    for (int i = 0; i < ms && !got; i++) {
        local_run_loop(base);
        got = strstr(target_received->str, wanted) != NULL;
    }
    g_free(wanted);
    return got;
}

/* Lets the coordinator's account of the target become old enough that it counts on nothing but its
   own admissions. */
static void begin_with_known_target(int hold_percent) {
    enum {
        FRESH_MS = 1600,
        STATE_INTERVAL_MS = 200 /* keeps the link to the leader */
    };
    char answer[1024];
    begin(hold_percent);
    int fd = send_get("/known", prompt_of_100_ms);
    ck_assert(target_got("/known", TURNS_MAX));
    target_answer("x");
    ck_assert_int_eq(status_of(fd, answer), 200);
    close(fd);
    for (int ms = 0; ms < FRESH_MS; ms += STATE_INTERVAL_MS) {
        fake_control_send_leader_state(
            &leader, &(fake_update){.version = 1, .document = document, .target = target_address});
        run_turns(STATE_INTERVAL_MS);
    }
}

static void end(void) {
    one_entry_end();
    fake_entry_hold_percent = 0;
    workspace_members = "";
}

/* Value of a metric of the entry host. */
static int metric(const char* name) {
    char answer[16384];
    char* wanted = g_strdup_printf("\nwalnutgate_entry_%s ", name);
    GString* text = g_string_new(NULL);
    int fd = send_request(READY_PORT, "GET", "/metrics", "Connection: close\r\n");
    for (int i = 0; i < TURNS_MAX && !strstr(text->str, "total_seconds"); i++) {
        local_run_loop(base);
        ssize_t got = recv(fd, answer, sizeof answer, 0);
        g_string_append_len(text, answer, MAX(got, 0));
    }
    close(fd);
    const char* at = strstr(text->str, wanted);
    ck_assert_msg(at != NULL, "%s", text->str);
    int value = (int)strtol(at + strlen(wanted), NULL, 10);
    g_free(wanted);
    g_string_free(text, TRUE);
    return value;
}

/* Value of Retry-After in ms; 0: none. */
static int retry_after_ms(const char* answer) {
    static const char name[] = "Retry-After: ";
    const char* at = strstr(answer, name);
    return at ? (int)(1000 * g_ascii_strtod(at + sizeof name - 1, NULL) + 0.5) : 0;
}

/* ---- callers of the coordinator -------------------------------------------------------------- */

/* Guards against a refusal of a request for which there is room within its longest wait. */
START_TEST(request_waits_until_the_target_has_read) {
    char answer[1024];
    /* The wait ends 450 ms after the request: turns of 1 ms take longer on a busy machine. */
    begin_with_known_target(LONG_HOLD_PERCENT);
    int first = send_get("/first", prompt_of_400_ms);
    ck_assert(target_got("/first", TURNS_MAX));
    int second = send_get("/second", prompt_of_100_ms);
    ck_assert(!target_got("/second", 70)); /* longer than the wait in a queue of the host */
    ck_assert_int_eq(metric("hold_waiting"), 1);
    target_answer("x");
    ck_assert(target_got("/second", 50));
    target_answer("y");
    ck_assert_int_eq(status_of(second, answer), 200);
    ck_assert_int_ge(held_ms(), 50);
    ck_assert_int_eq(metric("hold_waiting"), 0);
    ck_assert_int_eq(metric("hold_granted_total"), 1);
    close(first);
    close(second);
    end();
}
END_TEST

/* Guards against a wait without an end, and a refusal without the time of room. */
START_TEST(request_is_refused_after_the_longest_wait) {
    char answer[1024];
    begin(HOLD_PERCENT);
    int first = send_get("/first", prompt_of_400_ms);
    ck_assert(target_got("/first", TURNS_MAX));
    wg_time before = wg_now();
    int second = send_get("/second", prompt_of_100_ms);
    ck_assert_int_eq(status_of(second, answer), 503);
    ck_assert_int_ge(wg_now() - before, (HOLD_MS - 10) * MSEC);
    ck_assert_int_ge(retry_after_ms(answer), 100); /* 38 ms until there is room, and a jitter */
    ck_assert_int_le(retry_after_ms(answer), 360);
    ck_assert_int_ge(held_ms(), HOLD_MS - 10);
    ck_assert_int_eq(metric("hold_expired_total"), 1);
    ck_assert(!target_got("/second", 20));
    close(first);
    close(second);
    end();
}
END_TEST

/* The wait is 250 ms too long, and it may be 150 ms. */
START_TEST(hopeless_request_is_refused_at_once_until_there_is_room) {
    char answer[1024];
    begin(HOLD_PERCENT);
    int first = send_get("/first", prompt_of_400_ms);
    ck_assert(target_got("/first", TURNS_MAX));
    int second = send_get("/second", prompt_of_300_ms);
    ck_assert_int_eq(status_within(second, answer, 20), 503);
    ck_assert_int_ge(retry_after_ms(answer), 340); /* 238 ms until there is room, and a jitter */
    ck_assert_int_eq(held_ms(), 0);
    ck_assert_int_eq(metric("hold_expired_total"), 0);
    close(first);
    close(second);
    end();
}
END_TEST

/* Guards against a prompt that is sent for a caller that has left. */
START_TEST(request_of_a_caller_that_leaves_is_dropped) {
    begin(LONG_HOLD_PERCENT);
    int first = send_get("/first", prompt_of_400_ms);
    ck_assert(target_got("/first", TURNS_MAX));
    int second = send_get("/second", prompt_of_100_ms);
    run_turns(30);
    ck_assert_int_eq(metric("hold_waiting"), 1);
    close(second);
    run_turns(30);
    ck_assert_int_eq(metric("hold_waiting"), 0);
    ck_assert_int_eq(metric("hold_dropped_total"), 1);
    target_answer("x");
    ck_assert(!target_got("/second", 50));
    close(first);
    end();
}
END_TEST

/* The registry may change while a request waits: a grant must not reach a target that takes
 * nothing.
 */
START_TEST(grant_for_a_target_that_takes_nothing_is_not_used) {
    char answer[1024];
    begin_with_known_target(LONG_HOLD_PERCENT);
    int first = send_get("/first", prompt_of_400_ms);
    ck_assert(target_got("/first", TURNS_MAX));
    int second = send_get("/second", prompt_of_100_ms);
    run_turns(30);
    ck_assert_int_eq(metric("hold_waiting"), 1);
    fake_control_send_leader_state(&leader, &(fake_update){.version = 1,
                                                           .document = document,
                                                           .target = target_address,
                                                           .change = 2,
                                                           .evacuated = "dc"});
    run_turns(20);
    target_answer("x");
    ck_assert_int_eq(status_within(second, answer, 200), 503);
    ck_assert(!target_got("/second", 20));
    ck_assert_int_eq(metric("hold_granted_total"), 1);
    close(first);
    close(second);
    end();
}
END_TEST

/* Guards against a change of behaviour without the setting. */
START_TEST(nothing_waits_while_the_setting_is_off) {
    char answer[1024];
    begin(0);
    int first = send_get("/first", prompt_of_400_ms);
    ck_assert(target_got("/first", TURNS_MAX));
    wg_time before = wg_now();
    int second = send_get("/second", prompt_of_100_ms);
    ck_assert_int_eq(status_of(second, answer), 503);
    ck_assert_int_lt(wg_now() - before, (HOLD_MS - 10) * MSEC);
    ck_assert_int_ge(wg_now() - before, 40 * MSEC); /* the queue of the host, as without waiting */
    ck_assert_int_eq(held_ms(), 0);
    ck_assert_int_eq(metric("hold_granted_total"), 0);
    ck_assert_int_eq(metric("hold_expired_total"), 0);
    close(first);
    close(second);
    end();
}
END_TEST

/* Guards against a refused caller that is told to return when its answer can only be late. */
START_TEST(refused_caller_is_told_to_return_within_its_objective) {
    enum {
        PERCENT = 20
    };
    char answer[1024];
    fake_entry_retry_after_percent = PERCENT;
    begin(0);
    int first = send_get("/first", prompt_of_400_ms);
    ck_assert(target_got("/first", TURNS_MAX));
    int second = send_get("/second", prompt_of_100_ms);
    ck_assert_int_eq(status_of(second, answer), 503);
    ck_assert_int_gt(retry_after_ms(answer), 0);
    ck_assert_int_le(retry_after_ms(answer), OBJECTIVE_MS * PERCENT / 100);
    close(first);
    close(second);
    end();
    fake_entry_retry_after_percent = 0;
}
END_TEST

/* ---- longest wait of a workspace (queue_ms) -------------------------------------------------- */

enum {
    AT_ONCE_TURNS = 20 /* turns of 1 ms take longer on a busy machine */
};

/* Time until a request that finds no room is refused, microseconds; within `turns` of the loop. */
static wg_time time_to_refusal(int hold_percent, const char* members, int turns) {
    char answer[1024];
    workspace_members = members;
    begin(hold_percent);
    int first = send_get("/first", prompt_of_400_ms);
    ck_assert(target_got("/first", TURNS_MAX));
    wg_time before = wg_now();
    int second = send_get("/second", prompt_of_100_ms);
    ck_assert_int_eq(status_within(second, answer, turns), 503);
    wg_time time = wg_now() - before;
    ck_assert_int_gt(retry_after_ms(answer), 0);
    ck_assert(!target_got("/second", 20));
    close(first);
    close(second);
    end();
    return time;
}

/* The queue of the host ends after 55 ms by the policy. Guards against a limit that is ignored, and
   one that makes waits longer. */
START_TEST(workspace_limits_the_wait_in_the_queue_of_the_host) {
    time_to_refusal(0, ",\"queue_ms\":0", AT_ONCE_TURNS);
    ck_assert_int_ge(time_to_refusal(0, ",\"queue_ms\":30", TURNS_MAX), 30 * MSEC);
    wg_time longer = time_to_refusal(0, ",\"queue_ms\":600000", TURNS_MAX);
    ck_assert_int_ge(longer, 55 * MSEC);
    ck_assert_int_lt(longer, 300 * MSEC);
}
END_TEST

/* Guards against a limit that holds at the host only. The wait at the coordinator would end after
   363 ms, when the request could no longer be in time (475 ms less 112 ms for its own prompt). */
START_TEST(workspace_limits_the_wait_at_the_coordinator) {
    time_to_refusal(LONG_HOLD_PERCENT, ",\"queue_ms\":0", AT_ONCE_TURNS);
    wg_time shorter = time_to_refusal(LONG_HOLD_PERCENT, ",\"queue_ms\":100", TURNS_MAX);
    ck_assert_int_ge(shorter, 100 * MSEC);
    ck_assert_int_lt(shorter, 300 * MSEC);
    wg_time longer = time_to_refusal(LONG_HOLD_PERCENT, ",\"queue_ms\":600000", TURNS_MAX);
    ck_assert_int_ge(longer, 350 * MSEC);
}
END_TEST

/* Guards against a refusal although a target can take the request. */
START_TEST(request_that_may_not_wait_is_sent_if_there_is_room) {
    char answer[1024];
    workspace_members = ",\"queue_ms\":0";
    begin_with_known_target(HOLD_PERCENT);
    int fd = send_get("/first", prompt_of_100_ms);
    ck_assert(target_got("/first", TURNS_MAX));
    target_answer("x");
    ck_assert_int_eq(status_of(fd, answer), 200);
    close(fd);
    end();
}
END_TEST

/* Guards against a host that terminates when the sizes that callers state exceed 32 bits in their
   sum. */
START_TEST(absurd_prompt_sizes_do_not_overflow) {
    begin(0);
    int first = send_get("/first", prompt_of_100_ms);
    ck_assert(target_got("/first", TURNS_MAX));
    int absurd = send_get("/absurd", "Walnutgate-Key: k\r\n"
                                     "Walnutgate-Prompt-Parts: d4:-1,e5:99999999999999999999\r\n"
                                     "Walnutgate-Prompt-Tokens: -1,-1\r\n");
    ck_assert(target_got("/absurd", TURNS_MAX));
    close(first);
    run_turns(50);
    close(absurd);
    run_turns(50);
    ck_assert_int_eq(metric("hold_waiting"), 0); /* the host still answers */
    end();
}
END_TEST

/* ---- another entry host ---------------------------------------------------------------------- */

enum {
    OTHER_FRAMES_MAX = 32
};

/* The other host, and what it received. */
static wgn_net* other;
static wgn_link other_link;
static struct {
    uint64_t ticket;
    bool granted;
    uint64_t room_us;
} answers[OTHER_FRAMES_MAX];
static int answers_num;
static struct {
    uint64_t ticket;
    uint32_t target;
    uint64_t hold_us;
    uint64_t workspace;
    uint32_t rank;
    double weight;
} questions[OTHER_FRAMES_MAX];
static int questions_num;
static struct {
    uint64_t ticket;
    bool ended;
} notes[OTHER_FRAMES_MAX];
static int notes_num;

static void other_on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)user_data;
    if (peer->role == WGW_ROLE_ENTRY) {
        other_link = link;
    }
}

static void other_on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    (void)link;
    (void)user_data;
    if (frame->type == WGW_TYPE_ADMIT_ANSWER && answers_num < OTHER_FRAMES_MAX) {
        Wgpb__AdmitAnswer* in = wgpb__admit_answer__unpack(NULL, frame->size, frame->payload);
        answers[answers_num].ticket = in->ticket;
        answers[answers_num].granted = in->granted;
        answers[answers_num++].room_us = in->room_us;
        wgpb__admit_answer__free_unpacked(in, NULL);
    } else if (frame->type == WGW_TYPE_ADMIT_ASK && questions_num < OTHER_FRAMES_MAX) {
        Wgpb__AdmitAsk* in = wgpb__admit_ask__unpack(NULL, frame->size, frame->payload);
        questions[questions_num].ticket = in->ticket;
        questions[questions_num].target = in->target;
        questions[questions_num].hold_us = in->hold_us;
        questions[questions_num].workspace = in->workspace;
        questions[questions_num].weight = in->weight;
        questions[questions_num++].rank = in->rank;
        wgpb__admit_ask__free_unpacked(in, NULL);
    } else if (frame->type == WGW_TYPE_ADMIT_NOTE && notes_num < OTHER_FRAMES_MAX) {
        Wgpb__AdmitNote* in = wgpb__admit_note__unpack(NULL, frame->size, frame->payload);
        notes[notes_num].ticket = in->ticket;
        notes[notes_num++].ended = in->ended;
        wgpb__admit_note__free_unpacked(in, NULL);
    }
}

static void other_on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    (void)peer;
    (void)user_data;
}

static void other_setup(const char* name) {
    wgn_peer self = {.role = WGW_ROLE_ENTRY, .address = "127.0.0.1:1"};
    wg_copy_name(self.name, sizeof self.name, name);
    answers_num = questions_num = notes_num = 0;
    other_link = (wgn_link){0};
    other = wgn_setup(&(wgn_desc){.base = base,
                                  .fleet_key = "a key for the fleet",
                                  .self = self,
                                  .on_up = other_on_up,
                                  .on_frame = other_on_frame,
                                  .on_down = other_on_down},
                      NULL);
}

static void other_wait_for_link(void) {
    for (int i = 0; i < TURNS_MAX && !other_link.id; i++) {
        local_run_loop(base);
    }
    ck_assert_uint_ne(other_link.id, 0);
}

/* The other host is linked to the entry host, which is the only coordinator. */
static void begin_with_requester(int hold_percent) {
    begin_with_known_target(hold_percent);
    char* fleet = local_address(11, 18005);
    other_setup("other");
    wgn_dial(other, fleet);
    other_wait_for_link();
    g_free(fleet);
}

/* Asks for target 1 with limits of 475 ms. */
static void ask_for(uint64_t ticket, uint32_t tokens, int hold_ms_max, uint64_t workspace,
                    double weight) {
    Wgpb__AdmitAsk out = WGPB__ADMIT_ASK__INIT;
    out.ticket = ticket;
    out.target = 1;
    out.tokens = tokens;
    out.whole_us = out.ahead_us = out.ahead_large_us = 475 * MSEC;
    out.hold_us = (uint64_t)(hold_ms_max * MSEC);
    out.workspace = workspace;
    out.weight = weight;
    ck_assert(wgn_send(other, other_link, WGW_TYPE_ADMIT_ASK, &out.base));
}

static void ask(uint64_t ticket, uint32_t tokens, int hold_ms_max) {
    ask_for(ticket, tokens, hold_ms_max, 77, 0);
}

static void send_note(uint64_t ticket, bool ended) {
    Wgpb__AdmitNote out = WGPB__ADMIT_NOTE__INIT;
    out.ticket = ticket;
    out.ended = ended;
    ck_assert(wgn_send(other, other_link, WGW_TYPE_ADMIT_NOTE, &out.base));
}

/* Waits for the answers up to this number. */
static bool got_answers(int num, int ms) {
    for (int i = 0; i < ms && answers_num < num; i++) {
        local_run_loop(base);
    }
    return answers_num >= num;
}

/* Guards against waiting requests that are not examined when room appears. */
START_TEST(coordinator_grants_when_a_prompt_was_read) {
    begin_with_requester(HOLD_PERCENT);
    ask(1, 12000, 0);
    ck_assert(got_answers(1, TURNS_MAX));
    ck_assert(answers[0].granted);
    ask(2, 3000, 400);
    ck_assert(!got_answers(2, 60));
    send_note(1, false);
    ck_assert(got_answers(2, 50));
    ck_assert_uint_eq(answers[1].ticket, 2);
    ck_assert(answers[1].granted);
    wgn_shutdown(other);
    end();
}
END_TEST

/* Order in which two waiting requests are granted: ticket 3 of workspace 77, which was granted
   8,000 tokens, and ticket 4 of workspace 78, which was granted 300. */
static uint64_t first_granted(double weight) {
    begin_with_requester(LONG_HOLD_PERCENT);
    ask_for(1, 8000, 0, 77, weight);
    ask_for(2, 300, 0, 78, 0);
    ask_for(3, 6000, 400, 77, weight);
    ask_for(4, 6000, 400, 78, 0);
    ck_assert(got_answers(2, TURNS_MAX));
    ck_assert(answers[0].granted && answers[1].granted);
    run_turns(20);
    ck_assert_int_eq(metric("hold_waiting"), 2);
    send_note(1, false);
    ck_assert(got_answers(3, 50));
    ck_assert(answers[2].granted);
    uint64_t ticket = answers[2].ticket;
    wgn_shutdown(other);
    end();
    return ticket;
}

/* Guards against a coordinator that does not read the weight, and one that believes any. */
START_TEST(coordinator_orders_requests_by_usage_per_unit_of_weight) {
    ck_assert_uint_eq(first_granted(0), 4);
    ck_assert_uint_eq(first_granted(100), 3);
    ck_assert_uint_eq(first_granted(NAN), 4);
    ck_assert_uint_eq(first_granted(-100), 4);
}
END_TEST

/* Guards against a question that the coordinator leaves without an answer. */
START_TEST(coordinator_denies_after_the_stated_time) {
    enum {
        STATED_MS = 100
    };
    begin_with_requester(HOLD_PERCENT);
    ask(1, 12000, 0);
    wg_time before = wg_now();
    ask(2, 3000, STATED_MS);
    ck_assert(got_answers(2, TURNS_MAX));
    ck_assert_int_ge(wg_now() - before, STATED_MS * MSEC);
    ck_assert_uint_eq(answers[0].ticket, 1);
    ck_assert_uint_eq(answers[1].ticket, 2);
    ck_assert(!answers[1].granted);
    ck_assert_uint_gt(answers[1].room_us, 0);
    wgn_shutdown(other);
    end();
}
END_TEST

/* Guards against a grant of room to a request that has ended. */
START_TEST(coordinator_drops_a_request_that_is_no_longer_needed) {
    begin_with_requester(HOLD_PERCENT);
    ask(1, 12000, 0);
    ask(2, 3000, 400);
    ck_assert(got_answers(1, TURNS_MAX));
    run_turns(20);
    ck_assert_int_eq(metric("hold_waiting"), 1);
    send_note(2, true);
    send_note(1, true);
    ck_assert(!got_answers(2, 50));
    ck_assert_int_eq(metric("hold_waiting"), 0);
    ck_assert_int_eq(metric("hold_dropped_total"), 1);
    wgn_shutdown(other);
    end();
}
END_TEST

/* Guards against requests of lost hosts that fill the queue. */
START_TEST(coordinator_drops_the_requests_of_a_host_whose_link_closes) {
    begin_with_requester(HOLD_PERCENT);
    ask(1, 12000, 0);
    ask(2, 3000, 2000);
    ask(3, 3000, 2000);
    ck_assert(got_answers(1, TURNS_MAX));
    run_turns(20);
    ck_assert_int_eq(metric("hold_waiting"), 2);
    wgn_shutdown(other);
    run_turns(30);
    ck_assert_int_eq(metric("hold_waiting"), 0);
    ck_assert_int_eq(metric("hold_dropped_total"), 2);
    end();
}
END_TEST

/* The requests of a lost host must not keep others waiting until the end of their time. */
START_TEST(room_of_a_lost_host_is_granted_at_once) {
    begin_with_requester(LONG_HOLD_PERCENT);
    ask(1, 12000, 0);
    ck_assert(got_answers(1, TURNS_MAX));
    int waiting = send_get("/waiting", prompt_of_100_ms);
    ck_assert(!target_got("/waiting", 40));
    wgn_shutdown(other);
    ck_assert(target_got("/waiting", 100));
    close(waiting);
    end();
}
END_TEST

/* Requests that waited must not exceed the rate of a target that has become cold meanwhile. */
START_TEST(target_that_becomes_cold_gets_no_more_than_its_rate) {
    static const char cold_document[] =
        "{\"version\":2,\"services\":[{\"name\":\"e\",\"cold_s\":3,\"cold_per_second\":1,"
        "\"engine\":{\"slots\":4,\"memory_tokens\":1000000}}],\"routes\":[],\"limits\":{},"
        "\"workspaces\":[]}";
    begin_with_requester(HOLD_PERCENT);
    ask(1, 12000, 0);
    ask(2, 3000, 2000);
    ask(3, 3000, 2000);
    ck_assert(got_answers(1, TURNS_MAX));
    run_turns(20);
    ck_assert_int_eq(metric("hold_waiting"), 2);
    fake_control_send_leader_state(&leader, &(fake_update){.version = 2,
                                                           .document = cold_document,
                                                           .target = target_address,
                                                           .change = 2,
                                                           .cold_us = 60 * WG_USEC_PER_SEC});
    run_turns(20);
    send_note(1, true);
    ck_assert(got_answers(2, 50));
    ck_assert(answers[1].granted);
    ck_assert(!got_answers(3, 200));
    wgn_shutdown(other);
    end();
}
END_TEST

/* Guards against a coordinator that keeps questions without the setting. */
START_TEST(coordinator_with_the_setting_off_answers_at_once) {
    begin_with_requester(0);
    ask(1, 12000, 0);
    ask(2, 3000, 2000);
    ck_assert(got_answers(2, 50));
    ck_assert(!answers[1].granted);
    ck_assert_uint_eq(answers[1].room_us, 0);
    wgn_shutdown(other);
    end();
}
END_TEST

/* ---- a coordinator that the test simulates --------------------------------------------------- */

/* The first target of which `there` is the coordinator. */
static uint32_t target_coordinated_by_there(void) {
    uint64_t here = wg_hash("here", strlen("here"), 0);
    uint64_t there = wg_hash("there", strlen("there"), 0);
    uint32_t target = 1;
    while (wg_hash(&target, sizeof target, there) < wg_hash(&target, sizeof target, here)) {
        target++;
    }
    return target;
}

/* The leader sends a document, and that `there` is another entry host. */
static void send_document(int version, const char* members) {
    char* callers = local_address(12, CALLERS_PORT);
    make_document(version, members);
    fake_control_send_leader_state(&leader, &(fake_update){.version = (uint64_t)version,
                                                           .document = document,
                                                           .target = target_address,
                                                           .number = target_coordinated_by_there(),
                                                           .change = 2,
                                                           .other_member = "there",
                                                           .other_address = callers,
                                                           .members_change = 2});
    run_turns(30);
    g_free(callers);
}

/* The entry host is linked to the coordinator `there`. */
static void begin_with_coordinator(int hold_percent) {
    begin(hold_percent);
    char* fleet = local_address(12, 18005);
    other_setup("there");
    ck_assert(wgn_listen(other, fleet, NULL));
    send_document(1, workspace_members);
    other_wait_for_link();
    run_turns(20);
    g_free(fleet);
}

static bool got_questions(int num, int ms) {
    for (int i = 0; i < ms && questions_num < num; i++) {
        local_run_loop(base);
    }
    return questions_num >= num;
}

static bool got_notes(int num, int ms) {
    for (int i = 0; i < ms && notes_num < num; i++) {
        local_run_loop(base);
    }
    return notes_num >= num;
}

/* Denies the request: `running` requests are in progress, or `wait_ms` of prompts are ahead. */
static void deny(uint64_t ticket, uint32_t running, int wait_ms) {
    Wgpb__AdmitAnswer out = WGPB__ADMIT_ANSWER__INIT;
    out.ticket = ticket;
    out.wait_us = (uint64_t)((112 + wait_ms) * MSEC);
    out.wait_ahead_us = (uint64_t)(wait_ms * MSEC);
    out.unread = 3000;
    out.running = running;
    ck_assert(wgn_send(other, other_link, WGW_TYPE_ADMIT_ANSWER, &out.base));
}

static void grant(uint64_t ticket) {
    Wgpb__AdmitAnswer out = WGPB__ADMIT_ANSWER__INIT;
    out.ticket = ticket;
    out.granted = true;
    out.wait_us = 112 * MSEC;
    out.unread = 3000;
    ck_assert(wgn_send(other, other_link, WGW_TYPE_ADMIT_ANSWER, &out.base));
}

/* A caller's request was denied and now waits at the coordinator. Returns the connection. */
static int begin_wait(uint32_t running, int wait_ms) {
    int fd = send_get("/waiting", prompt_of_100_ms);
    ck_assert(got_questions(1, TURNS_MAX));
    ck_assert_uint_eq(questions[0].hold_us, 0);
    deny(questions[0].ticket, running, wait_ms);
    ck_assert(got_questions(2, 30));
    return fd;
}

/* Guards against a wait at a coordinator that does not know its end, workspace or rank. */
START_TEST(host_asks_again_with_the_time_that_the_request_may_wait) {
    char answer[1024];
    begin_with_coordinator(HOLD_PERCENT);
    int fd = begin_wait(0, 400);
    ck_assert_uint_ne(questions[1].ticket, questions[0].ticket);
    ck_assert_uint_eq(questions[1].target, target_coordinated_by_there());
    ck_assert_uint_le(questions[1].hold_us, HOLD_MS * MSEC);
    ck_assert_uint_ge(questions[1].hold_us, (HOLD_MS - 50) * MSEC);
    ck_assert_uint_eq(questions[1].workspace, wg_hash("w", 1, 0));
    ck_assert_uint_eq(questions[1].rank, 2);
    ck_assert(!target_got("/waiting", 80));
    ck_assert_int_eq(questions_num, 2);
    grant(questions[1].ticket);
    ck_assert(target_got("/waiting", 50));
    target_answer("x");
    ck_assert_int_eq(status_of(fd, answer), 200);
    close(fd);
    wgn_shutdown(other);
    end();
}
END_TEST

/* Weight that the coordinator is told with the request's wait. */
static double stated_weight(void) {
    questions_num = 0;
    int fd = begin_wait(0, 400);
    double weight = questions[1].weight;
    close(fd);
    run_turns(30);
    return weight;
}

/* Guards against a weight that is not in force with its configuration, or stays after it; and
   against a document with a bad one that replaces the configuration in force. */
START_TEST(weight_holds_from_the_configuration_that_has_it) {
    begin_with_coordinator(HOLD_PERCENT);
    ck_assert_double_eq(stated_weight(), 0); /* not sent: 1 */
    ck_assert_ptr_null(strstr(last_ended, "weight="));
    send_document(2, ",\"weight\":4");
    ck_assert_double_eq(stated_weight(), 4);
    ck_assert_ptr_nonnull(strstr(last_ended, " weight=4"));
    send_document(3, ",\"weight\":0");
    ck_assert_ptr_nonnull(last_refused);
    ck_assert_ptr_nonnull(strstr(last_refused, "workspace \"w\": weight"));
    ck_assert_double_eq(stated_weight(), 4);
    send_document(4, ",\"queue_ms\":-1");
    ck_assert_ptr_nonnull(strstr(last_refused, "workspace \"w\": queue_ms"));
    ck_assert_double_eq(stated_weight(), 4);
    send_document(5, "");
    ck_assert_double_eq(stated_weight(), 0);
    wgn_shutdown(other);
    end();
}
END_TEST

/* Guards against a change on the wire without the setting. */
START_TEST(host_with_the_setting_off_sends_none_of_it) {
    begin_with_coordinator(0);
    int fd = send_get("/waiting", prompt_of_100_ms);
    ck_assert(got_questions(1, TURNS_MAX));
    deny(questions[0].ticket, 0, 400);
    run_turns(30);
    for (int i = 0; i < questions_num; i++) {
        ck_assert_uint_eq(questions[i].hold_us, 0);
        ck_assert_uint_eq(questions[i].workspace, 0);
        ck_assert_uint_eq(questions[i].rank, 0);
    }
    close(fd);
    wgn_shutdown(other);
    end();
}
END_TEST

/* Guards against a request that waits on, or is sent, after its wait ended with a denial. */
START_TEST(denial_after_the_wait_refuses_the_request) {
    char answer[1024];
    begin_with_coordinator(HOLD_PERCENT);
    int fd = begin_wait(0, 400);
    run_turns(20);
    deny(questions[1].ticket, 0, 400);
    ck_assert_int_eq(status_within(fd, answer, 50), 503);
    ck_assert_int_gt(retry_after_ms(answer), 0);
    ck_assert_int_eq(questions_num, 2);
    ck_assert_int_eq(notes_num, 0);
    close(fd);
    wgn_shutdown(other);
    end();
}
END_TEST

/* A coordinator that stalls must not keep the request; its late grant would count at the target for
   ever. The request was denied for its slots, so the host alone would send it. */
START_TEST(host_decides_alone_after_the_stated_time_and_gives_a_late_grant_back) {
    begin_with_coordinator(HOLD_PERCENT);
    wg_time before = wg_now();
    int fd = begin_wait(SLOTS, 0);
    ck_assert(target_got("/waiting", TURNS_MAX));
    ck_assert_int_ge(wg_now() - before, HOLD_MS * MSEC);
    ck_assert_int_le(wg_now() - before, (HOLD_MS + UNANSWERED_MS + 100) * MSEC);
    ck_assert(got_notes(1, 20));
    ck_assert_uint_eq(notes[0].ticket, questions[1].ticket);
    ck_assert(notes[0].ended);
    grant(questions[1].ticket);
    ck_assert(got_notes(2, 50));
    ck_assert_uint_eq(notes[1].ticket, questions[1].ticket);
    ck_assert(notes[1].ended);
    ck_assert_int_eq(questions_num, 2);
    close(fd);
    wgn_shutdown(other);
    end();
}
END_TEST

/* Guards against requests that wait for the answer of a lost coordinator. */
START_TEST(host_decides_alone_at_once_when_the_link_closes) {
    begin_with_coordinator(LONG_HOLD_PERCENT);
    int fd = begin_wait(SLOTS, 0);
    ck_assert(!target_got("/waiting", 30));
    wgn_shutdown(other);
    ck_assert(target_got("/waiting", 100));
    close(fd);
    end();
}
END_TEST

/* Without the coordinator, the host refuses what does not fit by its last answer. */
START_TEST(host_refuses_alone_when_the_link_closes) {
    char answer[1024];
    begin_with_coordinator(LONG_HOLD_PERCENT);
    int fd = begin_wait(0, 600);
    run_turns(60);
    wgn_shutdown(other);
    ck_assert_int_eq(status_within(fd, answer, 100), 503);
    close(fd);
    end();
}
END_TEST

/* Guards against a grant that stays counted for a caller that has left. */
START_TEST(coordinator_is_told_when_the_caller_leaves) {
    begin_with_coordinator(LONG_HOLD_PERCENT);
    int fd = begin_wait(0, 400);
    run_turns(20);
    close(fd);
    ck_assert(got_notes(1, 50));
    ck_assert_uint_eq(notes[0].ticket, questions[1].ticket);
    ck_assert(notes[0].ended);
    grant(questions[1].ticket); /* was under way */
    ck_assert(got_notes(2, 50));
    ck_assert(notes[1].ended);
    ck_assert(!target_got("/waiting", 20));
    wgn_shutdown(other);
    end();
}
END_TEST

WG_TEST_MAIN(
    "entry hold", request_waits_until_the_target_has_read,
    request_is_refused_after_the_longest_wait,
    hopeless_request_is_refused_at_once_until_there_is_room,
    request_of_a_caller_that_leaves_is_dropped, grant_for_a_target_that_takes_nothing_is_not_used,
    nothing_waits_while_the_setting_is_off, refused_caller_is_told_to_return_within_its_objective,
    workspace_limits_the_wait_in_the_queue_of_the_host,
    workspace_limits_the_wait_at_the_coordinator,
    request_that_may_not_wait_is_sent_if_there_is_room, absurd_prompt_sizes_do_not_overflow,
    coordinator_grants_when_a_prompt_was_read,
    coordinator_orders_requests_by_usage_per_unit_of_weight,
    coordinator_denies_after_the_stated_time, coordinator_drops_a_request_that_is_no_longer_needed,
    coordinator_drops_the_requests_of_a_host_whose_link_closes,
    room_of_a_lost_host_is_granted_at_once, target_that_becomes_cold_gets_no_more_than_its_rate,
    coordinator_with_the_setting_off_answers_at_once,
    host_asks_again_with_the_time_that_the_request_may_wait,
    weight_holds_from_the_configuration_that_has_it, host_with_the_setting_off_sends_none_of_it,
    denial_after_the_wait_refuses_the_request,
    host_decides_alone_after_the_stated_time_and_gives_a_late_grant_back,
    host_decides_alone_at_once_when_the_link_closes, host_refuses_alone_when_the_link_closes,
    coordinator_is_told_when_the_caller_leaves)
