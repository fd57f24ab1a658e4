/* test_router_versions.c -- real processes: a router before engines of two software versions */
#include <string.h>

#include "fleet_common.h"

enum {
    ENGINES = 4,
    STREAMS = 80,
    TOKENS = 20
};

static const char body_format[] = "{\"model\":\"model\",\"stream\":true,\"max_tokens\":%d,"
                                  "\"messages\":[{\"role\":\"user\",\"content\":\"%d\"}]}";

typedef struct {
    int whole;
    int resumed; /* streams that a second attempt continued */
    int joined;  /* streams with events of both versions */
} outcome;

static void run_stream(int number, outcome* o) {
    char body[256];
    g_snprintf(body, sizeof body, body_format, TOKENS, number);
    proc_answer answer =
        proc_request(proc_find(&fleet, "r1")->address, "POST", "/v1/chat/completions", "key-w0",
                     "Content-Type: application/json\r\n", body);
    const char* text = answer.body ? answer.body : "";
    o->whole += strstr(text, "[DONE]") != NULL;
    o->joined += strstr(text, "event: v1") && strstr(text, "event: v2");
    proc_answer_clear(&answer);
}

/* Guards against a router that continues a stream at an engine of another version. */
START_TEST(stream_that_breaks_off_continues_at_its_version) {
    outcome o = {0};
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .services = 1, .engines = ENGINES});
    for (int i = 0; i < ENGINES; i++) {
        char name[16];
        char faults[48];
        g_snprintf(name, sizeof name, "engine%d", i + 1);
        g_snprintf(faults, sizeof faults, "version=%d&state_version=1&cut=20", 1 + i % 2);
        proc_set_faults(proc_find(&fleet, name), faults);
    }
    for (int i = 0; i < STREAMS; i++) {
        run_stream(i, &o);
    }
    o.resumed = (int)proc_state_number(&fleet, proc_find(&fleet, "r1"), "requests.resumes");
    printf("%d of %d streams whole, %d resumes, %d of two versions\n", o.whole, STREAMS, o.resumed,
           o.joined);
    fflush(stdout);
    proc_fleet_stop(&fleet);
    ck_assert_int_eq(o.joined, 0);
    ck_assert_int_ge(o.resumed, STREAMS / 8);
    ck_assert_int_ge(o.whole, STREAMS / 2);
}
END_TEST

WG_TEST_MAIN("router versions", stream_that_breaks_off_continues_at_its_version)
