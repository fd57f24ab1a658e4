/* test_config.c -- configuration documents: validation, errors and route lookup */
#include <stdio.h>

#include "wg_config.h"
#include "wg_test.h"

#define SERVICES                                                                                   \
    "\"services\":[{\"name\":\"m\",\"connections\":9,\"engine\":{\"slots\":64,"                    \
    "\"memory_tokens\":1000,\"event_tokens\":3},\"cold_s\":3.5,\"cold_per_second\":9.8},"          \
    "{\"name\":\"p\"}]"
#define ROUTE(extra)                                                                               \
    "{\"name\":\"r\",\"host\":\"A.example\",\"path_prefix\":\"/x/\",\"kind\":\"stream\","          \
    "\"timeout_ms\":6000,\"objective_ms\":600,\"resumable\":true" extra "}"

static wg_config* parse(const char* text, char* reason, size_t size) {
    GError* error = NULL;
    wg_config* config = wg_config_parse(text, strlen(text), &error);
    ck_assert((config == NULL) == (error != NULL));
    if (error) {
        g_strlcpy(reason, error->message, size);
        g_error_free(error);
    }
    return config;
}

static wg_text text_of(const char* text) {
    return (wg_text){text, strlen(text)};
}

static const char* const complete =
    "{\"version\":7,\"unknown\":1," SERVICES ",\"routes\":["
    "{\"name\":\"long\",\"host\":\"a.example\",\"path_prefix\":\"/x/y/\",\"kind\":\"safe\","
    "\"timeout_ms\":800,\"service\":\"p\",\"attempts\":2,\"open\":true},"
    "{\"name\":\"short\",\"host\":\"a.example\",\"path_prefix\":\"/x/\",\"kind\":\"stream\","
    "\"timeout_ms\":6000,\"objective_ms\":600,\"pause_ms\":250,\"split\":[{\"service\":\"m\","
    "\"weight\":90},{\"service\":\"p\",\"weight\":10}],\"resumable\":true}],"
    "\"limits\":{\"head_bytes\":99,\"idle_ms\":15000,\"tokens_per_second\":440000},"
    "\"workspaces\":[{\"name\":\"w\",\"keys\":[\"k1\",\"k2\"],\"priority\":1,\"weight\":2.5,"
    "\"queue_ms\":40},{\"name\":\"v\",\"keys\":[\"k3\"]}]}";

START_TEST(complete_configuration_is_read) {
    char reason[200];
    wg_config* c = parse(complete, reason, sizeof reason);
    ck_assert_ptr_nonnull(c);
    ck_assert_uint_eq(c->version, 7);
    ck_assert_int_eq(c->limits.head_bytes, 99);
    ck_assert_int_eq(c->limits.idle_time, 15 * SECOND);
    ck_assert_int_eq(c->services[0].slots, 64);
    ck_assert_int_eq(c->services[0].tightest_objective, 600 * MSEC);
    ck_assert(c->services[0].engine && !c->services[1].engine);
    ck_assert_int_eq(c->services[0].cold_time, 3500 * MSEC);
    ck_assert_double_eq(c->services[0].cold_rate, 9.8);
    ck_assert_double_eq(c->services[1].cold_rate, 0);
    ck_assert_int_eq(wg_config_cold_time_max(c), 3500 * MSEC);
    const wg_route* r = wg_config_route(c, text_of("A.EXAMPLE:8080"), text_of("/x/y/z?q=/"));
    ck_assert_str_eq(r->name, "long");
    ck_assert(wg_route_is_repeatable(r));
    r = wg_config_route(c, text_of("a.example"), text_of("/x/yy"));
    ck_assert_str_eq(r->name, "short");
    ck_assert_int_eq(r->pause, 250 * MSEC);
    ck_assert_ptr_null(wg_config_route(c, text_of("a.example"), text_of("/x")));
    ck_assert_ptr_null(wg_config_route(c, text_of("b.example"), text_of("/x/")));
    /* A path prefix does not match within the query. */
    ck_assert_ptr_null(wg_config_route(c, text_of("a.example"), text_of("/?/x/")));
    ck_assert_str_eq(wg_config_workspace(c, text_of("k2"))->name, "w");
    ck_assert_double_eq(wg_config_workspace(c, text_of("k2"))->weight, 2.5);
    ck_assert_int_eq(wg_config_workspace(c, text_of("k2"))->queue_max, 40 * MSEC);
    ck_assert_double_eq(wg_config_workspace(c, text_of("k3"))->weight, 1);
    ck_assert_int_eq(wg_config_workspace(c, text_of("k3"))->queue_max, WG_TIME_NEVER);
    ck_assert_ptr_null(wg_config_workspace(c, text_of("k")));
    ck_assert_ptr_null(wg_config_workspace(c, (wg_text){0}));
    wg_config_unref(c);
}
END_TEST

START_TEST(weights_split_requests) {
    char reason[200];
    wg_config* c = parse(complete, reason, sizeof reason);
    const wg_route* r = wg_config_route(c, text_of("a.example"), text_of("/x/"));
    int first = 0;
    for (uint64_t i = 0; i < 1000; i++) {
        first += wg_route_pick(r, wg_jitter(5, i)) == 0;
    }
    ck_assert_int_gt(first, 870);
    ck_assert_int_lt(first, 930);
    wg_config_unref(c);
}
END_TEST

START_TEST(invalid_configurations_are_refused_with_the_reason) {
    static const struct {
        const char* text;
        const char* reason;
    } bad[] = {
        {"", "cannot be read"},
        {"[]", "not an object"},
        {"{\"version\":1", "cannot be read"},
        {"{\"version\":1} x", "cannot be read"},
        {"{" SERVICES ",\"routes\":[]}", "version"},
        {"{\"version\":0," SERVICES ",\"routes\":[]}", "version"},
        {"{\"version\":\"1\"," SERVICES ",\"routes\":[]}", "version"},
        {"{\"version\":1,\"routes\":[]}", "services"},
        {"{\"version\":1," SERVICES "}", "routes"},
        {"{\"version\":1," SERVICES ",\"routes\":[" ROUTE("") "]}", "unknown service"},
        {"{\"version\":1," SERVICES ",\"routes\":[" ROUTE(",\"service\":\"q\"") "]}",
         "unknown service"},
        {"{\"version\":1," SERVICES ",\"routes\":[" ROUTE(
             ",\"split\":[{\"service\":\"m\",\"weight\":1},{\"service\":\"q\",\"weight\":0}]") "]}",
         "unknown service"},
        {"{\"version\":1," SERVICES
         ",\"routes\":[" ROUTE(",\"split\":[{\"service\":\"m\",\"weight\":0}]") "]}",
         "add up to 0"},
        {"{\"version\":1," SERVICES
         ",\"routes\":[" ROUTE(",\"split\":[{\"service\":\"m\",\"weight\":-1}]") "]}",
         "wrong weight"},
        {"{\"version\":1," SERVICES ",\"routes\":[{\"name\":\"r\",\"host\":\"h\","
         "\"path_prefix\":\"/\",\"kind\":\"safe\",\"timeout_ms\":0,\"service\":\"p\"}]}",
         "timeout_ms"},
        {"{\"version\":1," SERVICES ",\"routes\":[{\"name\":\"r\",\"host\":\"h\","
         "\"path_prefix\":\"/\",\"kind\":\"other\",\"timeout_ms\":5,\"service\":\"p\"}]}",
         "kind"},
        {"{\"version\":1," SERVICES
         ",\"routes\":[" ROUTE(",\"service\":\"m\"") "," ROUTE(",\"service\":\"p\"") "]}",
         "shares host and prefix"},
        {"{\"version\":1,\"services\":[{\"name\":\"m\",\"cold_s\":-1}],\"routes\":[]}", "cold"},
        {"{\"version\":1,\"services\":[{\"name\":\"m\",\"cold_per_second\":-1}],\"routes\":[]}",
         "cold"},
        {"{\"version\":1," SERVICES ",\"routes\":[],\"workspaces\":[{\"name\":\"a\",\"keys\":"
         "[\"k\"]},{\"name\":\"b\",\"keys\":[\"k\"]}]}",
         "shares a key"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        char reason[200] = "";
        ck_assert_msg(parse(bad[i].text, reason, sizeof reason) == NULL, "%s", bad[i].text);
        ck_assert_msg(strstr(reason, bad[i].reason) != NULL, "%s: %s", bad[i].text, reason);
    }
}
END_TEST

/* Parses a document with one workspace "a" that has the member. */
static wg_config* parse_member(const char* member, char* reason, size_t size) {
    char* text = g_strdup_printf("{\"version\":1," SERVICES ",\"routes\":[],\"workspaces\":["
                                 "{\"name\":\"a\",\"keys\":[\"k\"],%s}]}",
                                 member);
    wg_config* config = parse(text, reason, size);
    g_free(text);
    return config;
}

/* Guards against a weight that lets a workspace have everything or nothing, and a value that is
   taken for the default: the reason has to name the workspace and the member. */
START_TEST(weights_and_longest_waits_out_of_range_are_refused) {
    static const char* const bad_weights[] = {"0",     "-1",   "0.009", "100.5", "1e300",
                                              "\"2\"", "null", "true",  "[1]",   "{}"};
    static const char* const bad_waits[] = {
        "-1", "600001", "0.5", "1e3", "9223372036854775807", "\"10\"", "null", "true", "[]"};
    char reason[200];
    char member[80];
    for (size_t i = 0; i < G_N_ELEMENTS(bad_weights); i++) {
        g_snprintf(member, sizeof member, "\"weight\":%s", bad_weights[i]);
        ck_assert_msg(!parse_member(member, reason, sizeof reason), "%s", member);
        ck_assert_msg(strstr(reason, "\"a\": weight") != NULL, "%s: %s", member, reason);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(bad_waits); i++) {
        g_snprintf(member, sizeof member, "\"queue_ms\":%s", bad_waits[i]);
        ck_assert_msg(!parse_member(member, reason, sizeof reason), "%s", member);
        ck_assert_msg(strstr(reason, "\"a\": queue_ms") != NULL, "%s: %s", member, reason);
    }
    static const char* const good[] = {"\"weight\":0.01", "\"weight\":100", "\"queue_ms\":0",
                                       "\"queue_ms\":600000"};
    for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
        wg_config* c = parse_member(good[i], reason, sizeof reason);
        ck_assert_msg(c != NULL, "%s: %s", good[i], reason);
        wg_config_unref(c);
    }
}
END_TEST

/* A document truncated at any byte is refused, never applied in part. */
START_TEST(truncated_document_is_refused) {
    for (size_t size = 0; size < strlen(complete); size++) {
        GError* error = NULL;
        ck_assert_ptr_null(wg_config_parse(complete, size, &error));
        g_clear_error(&error);
    }
}
END_TEST

WG_TEST_MAIN("config", complete_configuration_is_read, weights_split_requests,
             invalid_configurations_are_refused_with_the_reason,
             weights_and_longest_waits_out_of_range_are_refused, truncated_document_is_refused)
