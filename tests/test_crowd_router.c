/* test_crowd_router.c -- real processes: crowds at a router and at a control */
#include "fleet_common.h"

#include "crowd.h"

enum {
    KB = 1024,
    CONNECTIONS = 100,
    /* Settings of the router. */
    FILES_MAX = 400,
    HEAD_MAX = 4 * KB,
    BODY_MAX = 16 * KB,
    HIGH_WATER = 16 * KB,
    /* What a connection takes by itself, with the buffers of the kernel, and a process without
       callers. */
    CONNECTION = 64 * KB,
    PROCESS = 10 * KB * KB,
    ROUTER_MB =
        (PROCESS + CONNECTIONS * (HEAD_MAX + BODY_MAX + HIGH_WATER + CONNECTION)) / (KB * KB),
    /* Settings of the control. */
    CONTROL_MB = 48,
    CONTROL_DESCRIPTORS = 400,
    MORE_THAN_FILES = 800,
    /* Of a router with the default size of bodies: each connection has one, and one is parsed. */
    LARGE_BODY_MAX = 4 * KB * KB,
    LARGE_CONNECTIONS = 4,
    LARGE_MB = PROCESS / (KB * KB) + LARGE_CONNECTIONS * 2 * LARGE_BODY_MAX / (KB * KB)
};

static const char router_settings[] =
    "[limits]\nfiles_max=400\nhead_max=4096\nbody_max=16384\nhigh_water=16384\n";
static const char large_settings[] = "[limits]\nfiles_max=400\nhead_max=4096\nhigh_water=16384\n";
static const char control_settings[] = "[limits]\nmemory_mb=48\ndescriptors=400\n";

#define KEY "Host: h\r\nAuthorization: Bearer key-w0\r\n"
#define CALL "GET /v1/app/app/x HTTP/1.1\r\n" KEY "\r\n"
#define CHAT "{\"model\":\"model\",\"messages\":[],\"max_tokens\":3}"
#define ORDINARY                                                                                   \
    "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-w1\r\n"            \
    "Content-Length: 46\r\n\r\n" CHAT
#define HEALTH "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"

static void begin(const char* router_extra) {
    G_STATIC_ASSERT(sizeof CHAT - 1 == 46);
    start_fleet(&(proc_desc){.controls = 1,
                             .routers = 1,
                             .services = 1,
                             .engines = 1,
                             .router_extra = router_extra,
                             .control_extra = control_settings});
}

/* At the router's port for callers. `answers`: the service answers requests. */
static bool play_callers(const crowd_kind* kind, bool answers) {
    begin(router_settings);
    const proc_process* router = proc_find(&fleet, "r1");
    if (!answers) {
        proc_set_faults(proc_find(&fleet, "service1"), "work_us=600000000");
    }
    bool good = crowd_holds(kind, router->address, router->pid, NULL,
                            &(crowd_bounds){.ask_address = router->address,
                                            .ask = ORDINARY,
                                            .memory_mb = ROUTER_MB,
                                            .descriptors = FILES_MAX});
    proc_fleet_kill(&fleet);
    return good;
}

static bool play_router(const crowd_kind* kind) {
    return play_callers(kind, true);
}

static bool play_slow(const crowd_kind* kind) {
    return play_callers(kind, false);
}

/* At the router's port for operators. */
static bool play_router_operators(const crowd_kind* kind) {
    begin(router_settings);
    const proc_process* router = proc_find(&fleet, "r1");
    bool good = crowd_holds(kind, router->operators, router->pid, NULL,
                            &(crowd_bounds){.ask_address = router->operators,
                                            .ask = HEALTH,
                                            .other_address = router->address,
                                            .other = ORDINARY,
                                            .memory_mb = ROUTER_MB,
                                            .descriptors = FILES_MAX});
    proc_fleet_kill(&fleet);
    return good;
}

/* At a port of the control. */
static bool play_control(const crowd_kind* kind, bool operators) {
    begin(router_settings);
    const proc_process* control = proc_find(&fleet, "c1");
    bool good =
        crowd_holds(kind, operators ? control->operators : control->address, control->pid, NULL,
                    &(crowd_bounds){.ask_address = control->operators,
                                    .ask = HEALTH,
                                    .other_address = proc_find(&fleet, "r1")->address,
                                    .other = ORDINARY,
                                    .memory_mb = CONTROL_MB,
                                    .descriptors = CONTROL_DESCRIPTORS});
    proc_fleet_kill(&fleet);
    return good;
}

static crowd_kind ahead(const char* name, const char* first, const char* block) {
    return (crowd_kind){
        .name = name, .first = first, .block = block, .connections = CONNECTIONS, .kb = 2000};
}

/* A chunked body as one chunk of this many bytes. */
static char* one_chunk(int size) {
    char* filling = g_strnfill((gsize)size, 'a');
    char* text = g_strdup_printf("POST /v1/app/app/x HTTP/1.1\r\n" KEY
                                 "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
                                 size, filling);
    g_free(filling);
    return text;
}

/* ---- a router's callers -----------------------------------------------------------------------
 */

START_TEST(bytes_behind_a_slow_request) {
    crowd_kind kind = ahead("router: bytes behind a slow request", CALL, "xxxxxxxxxxxxxxxx");
    ck_assert(play_slow(&kind));
}
END_TEST

START_TEST(requests_behind_a_slow_request) {
    crowd_kind kind = ahead("router: requests behind a slow request", CALL, CALL);
    ck_assert(play_slow(&kind));
}
END_TEST

START_TEST(usual_requests) {
    crowd_kind kind = ahead("router: usual requests", NULL, CALL);
    ck_assert(play_router(&kind));
}
END_TEST

START_TEST(requests_without_a_key) {
    crowd_kind kind =
        ahead("router: no key", NULL, "GET /v1/app/app/x HTTP/1.1\r\nHost: h\r\n\r\n");
    ck_assert(play_router(&kind));
}
END_TEST

START_TEST(requests_for_no_path) {
    crowd_kind kind = ahead("router: no such path", NULL, "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\n");
    ck_assert(play_router(&kind));
}
END_TEST

START_TEST(streams_that_nobody_reads) {
    static const char body[] =
        "{\"model\":\"model\",\"messages\":[],\"max_tokens\":100000,\"stream\":true}";
    char* first = g_strdup_printf("POST /v1/chat/completions HTTP/1.1\r\n" KEY
                                  "Content-Length: %zu\r\n\r\n%s",
                                  sizeof body - 1, body);
    crowd_kind kind = ahead("router: requests behind a stream", first, CALL);
    ck_assert(play_router(&kind));
    g_free(first);
}
END_TEST

START_TEST(bodies_of_slow_requests) {
    char* filling = g_strnfill(BODY_MAX, 'a');
    char* first = g_strdup_printf(
        "POST /v1/app/app/x HTTP/1.1\r\n" KEY "Content-Length: %d\r\n\r\n%s", BODY_MAX, filling);
    crowd_kind kind = ahead("router: bodies of slow requests", first, first);
    ck_assert(play_slow(&kind));
    g_free(first);
    g_free(filling);
}
END_TEST

START_TEST(bodies_in_chunks_of_one_byte) {
    crowd_kind kind = ahead(
        "router: chunks of one byte",
        "POST /v1/app/app/x HTTP/1.1\r\n" KEY "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n");
    ck_assert(play_router(&kind));
}
END_TEST

START_TEST(lines_of_chunks_that_do_not_end) {
    crowd_kind kind =
        ahead("router: a chunk's line without end",
              "POST /v1/app/app/x HTTP/1.1\r\n" KEY "Transfer-Encoding: chunked\r\n\r\n1;",
              "aaaaaaaaaaaaaaaa");
    ck_assert(play_router(&kind));
}
END_TEST

START_TEST(heads_that_do_not_end) {
    crowd_kind kind = ahead("router: heads without end", "GET / HTTP/1.1\r\n" KEY, "a:\r\n");
    ck_assert(play_router(&kind));
}
END_TEST

START_TEST(heads_of_many_fields) {
    GString* first = g_string_new("GET /v1/app/app/x HTTP/1.1\r\n" KEY);
    while (first->len < HEAD_MAX - 100) {
        g_string_append(first, "a:\r\n");
    }
    crowd_kind kind = ahead("router: unfinished heads of many fields", first->str, NULL);
    ck_assert(play_router(&kind));
    g_string_free(first, TRUE);
}
END_TEST

START_TEST(no_requests) {
    crowd_kind kind = ahead("router: nonsense", NULL, "\r\n\x01\x02 \n");
    ck_assert(play_router(&kind));
}
END_TEST

START_TEST(more_connections_than_files) {
    ck_assert(play_router(
        &(crowd_kind){.name = "router: idle connections", .connections = MORE_THAN_FILES}));
}
END_TEST

START_TEST(prompts_of_many_values) {
    GString* first = g_string_new(NULL);
    g_string_printf(first,
                    "POST /v1/chat/completions HTTP/1.1\r\n" KEY "Content-Length: %d\r\n\r\n[1",
                    LARGE_BODY_MAX - 1);
    size_t head = first->len - 2;
    while (first->len - head < LARGE_BODY_MAX - 2) {
        g_string_append(first, ",1");
    }
    g_string_append(first, "]");
    begin(large_settings);
    const proc_process* router = proc_find(&fleet, "r1");
    bool good = crowd_holds(&(crowd_kind){.name = "router: prompts of many values",
                                          .first = first->str,
                                          .connections = LARGE_CONNECTIONS},
                            router->address, router->pid, NULL,
                            &(crowd_bounds){.ask_address = router->address,
                                            .ask = ORDINARY,
                                            .memory_mb = LARGE_MB,
                                            .descriptors = FILES_MAX});
    proc_fleet_kill(&fleet);
    g_string_free(first, TRUE);
    ck_assert(good);
}
END_TEST

/* A single request inside the limits is served: one chunk may be as long as a body. */
START_TEST(body_of_one_chunk_is_served) {
    enum {
        SIZE = 1000 * 1000
    };
    begin(large_settings);
    const proc_process* router = proc_find(&fleet, "r1");
    char* request = one_chunk(SIZE);
    int status = crowd_ask(router->address, request, NULL);
    proc_fleet_kill(&fleet);
    g_free(request);
    ck_assert_int_eq(status, 200);
}
END_TEST

/* The same with a length. */
START_TEST(body_with_a_length_is_served) {
    enum {
        SIZE = 4000 * 1000
    };
    begin(large_settings);
    const proc_process* router = proc_find(&fleet, "r1");
    char* body = g_strnfill(SIZE, 'a');
    char* request = g_strdup_printf(
        "POST /v1/app/app/x HTTP/1.1\r\n" KEY "Content-Length: %d\r\n\r\n%s", SIZE, body);
    int status = crowd_ask(router->address, request, NULL);
    proc_fleet_kill(&fleet);
    g_free(request);
    g_free(body);
    ck_assert_int_eq(status, 200);
}
END_TEST

/* ---- operators' ports -------------------------------------------------------------------------
 */

START_TEST(router_operators_requests_ahead) {
    crowd_kind kind =
        ahead("router, operators: metrics ahead", NULL, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
    ck_assert(play_router_operators(&kind));
}
END_TEST

START_TEST(router_operators_idle_connections) {
    ck_assert(play_router_operators(&(crowd_kind){.name = "router, operators: idle connections",
                                                  .connections = MORE_THAN_FILES}));
}
END_TEST

START_TEST(control_requests_ahead) {
    ck_assert(play_control(&(crowd_kind){.name = "control: metrics ahead",
                                         .block = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                                         .connections = 300,
                                         .kb = 1000},
                           true));
}
END_TEST

START_TEST(control_bodies_that_do_not_end) {
    ck_assert(play_control(&(crowd_kind){.name = "control: bodies that end late",
                                         .first = "POST /v1/table/edit HTTP/1.1\r\nHost: h\r\n"
                                                  "Content-Length: 16000000\r\n\r\n",
                                         .block = "aaaaaaaaaaaaaaaa",
                                         .connections = 40,
                                         .kb = 8000},
                           true));
}
END_TEST

START_TEST(control_heads_of_many_fields) {
    GString* first = g_string_new("GET /healthz HTTP/1.1\r\nHost: h\r\n");
    while (first->len < 15000) {
        g_string_append(first, "a:\r\n");
    }
    bool good = play_control(&(crowd_kind){.name = "control: unfinished heads of many fields",
                                           .first = first->str,
                                           .connections = 300},
                             true);
    g_string_free(first, TRUE);
    ck_assert(good);
}
END_TEST

START_TEST(control_idle_connections) {
    ck_assert(play_control(
        &(crowd_kind){.name = "control: idle connections", .connections = MORE_THAN_FILES}, true));
}
END_TEST

/* ---- the fleet's port of a control ------------------------------------------------------------
 */

START_TEST(control_fleet_port_bytes_that_are_no_frames) {
    ck_assert(play_control(&(crowd_kind){.name = "control, fleet: bytes that are no frames",
                                         .block = "xxxxxxxxxxxxxxxx",
                                         .connections = 300,
                                         .kb = 1000},
                           false));
}
END_TEST

START_TEST(control_fleet_port_idle_connections) {
    ck_assert(play_control(
        &(crowd_kind){.name = "control, fleet: idle connections", .connections = MORE_THAN_FILES},
        false));
}
END_TEST

WG_TEST_MAIN("crowds at routers and controls", bytes_behind_a_slow_request,
             requests_behind_a_slow_request, usual_requests, requests_without_a_key,
             requests_for_no_path, streams_that_nobody_reads, bodies_of_slow_requests,
             bodies_in_chunks_of_one_byte, lines_of_chunks_that_do_not_end, heads_that_do_not_end,
             heads_of_many_fields, no_requests, more_connections_than_files, prompts_of_many_values,
             body_of_one_chunk_is_served, body_with_a_length_is_served,
             router_operators_requests_ahead, router_operators_idle_connections,
             control_requests_ahead, control_bodies_that_do_not_end, control_heads_of_many_fields,
             control_idle_connections, control_fleet_port_bytes_that_are_no_frames,
             control_fleet_port_idle_connections)
