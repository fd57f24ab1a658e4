/* test_target_read.c -- parsing of heartbeats and deregistrations, well-formed and not */
#include "wg_target_read.h"
#include "wg_test.h"

static const char good[] =
    "{\"service\":\"app\",\"address\":\"10.0.0.1:80\",\"data_centre\":\"dc\","
    "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"sequence\":4,"
    "\"cold_ms\":1500.5,\"born\":1774879200000}";

static bool read_text(const char* text, wg_target* target) {
    json_t* json = json_loads(text, 0, NULL);
    ck_assert_ptr_nonnull(json);
    GError* error = NULL;
    bool is_good = wg_target_read(json, "t-1", SECOND, target, &error);
    ck_assert(is_good == (error == NULL));
    g_clear_error(&error);
    json_decref(json);
    return is_good;
}

START_TEST(heartbeat_is_parsed) {
    wg_target target;
    ck_assert(read_text(good, &target));
    ck_assert_str_eq(target.id, "t-1");
    ck_assert_str_eq(target.service, "app");
    ck_assert_str_eq(target.address, "10.0.0.1:80");
    ck_assert_str_eq(target.data_centre, "dc");
    ck_assert_uint_eq(target.slots, 6);
    ck_assert_int_eq(target.state, WG_TARGET_READY);
    ck_assert_uint_eq(target.sequence, 4);
    ck_assert_uint_eq(target.born, 1774879200000);
    ck_assert_int_eq(target.cold_until, SECOND + 1500 * MSEC + 500);
}
END_TEST

/* Each field in turn is missing or of another type. Only cold_ms and born may be missing. */
START_TEST(missing_field_or_wrong_type_is_an_error) {
    static const char* const fields[] = {"service", "address",  "data_centre", "version", "slots",
                                         "state",   "sequence", "cold_ms",     "born"};
    static const char* const others[] = {"null", "true", "[]", "{}", "-1", "\"\\u00e9?\"", "1.5"};
    for (size_t f = 0; f < G_N_ELEMENTS(fields); f++) {
        bool may_be_missing = strcmp(fields[f], "cold_ms") == 0 || strcmp(fields[f], "born") == 0;
        wg_target target;
        json_t* json = json_loads(good, 0, NULL);
        json_object_del(json, fields[f]);
        char* text = json_dumps(json, 0);
        ck_assert_msg(read_text(text, &target) == may_be_missing, "without %s", fields[f]);
        free(text);
        for (size_t o = 0; o < G_N_ELEMENTS(others); o++) {
            json_t* other = json_loads(others[o], JSON_DECODE_ANY, NULL);
            bool is_text = json_is_string(other) && (f == 0 || f == 2 || f == 3);
            bool is_time = json_is_real(other) && strcmp(fields[f], "cold_ms") == 0;
            json_object_set_new(json, fields[f], other);
            text = json_dumps(json, 0);
            ck_assert_msg(read_text(text, &target) == (is_text || is_time), "%s: %s", fields[f],
                          others[o]);
            free(text);
        }
        json_decref(json);
    }
}
END_TEST

START_TEST(unknown_state_or_invalid_address_is_an_error) {
    static const char* const states[] = {"", "Ready", "ready ", "gone", "silent", "starting"};
    static const char* const addresses[] = {"", "10.0.0.1", "host:80", "10.0.0.1:0x50", ":80"};
    wg_target target;
    json_t* json = json_loads(good, 0, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
        json_object_set_new(json, "state", json_string(states[i]));
        char* text = json_dumps(json, 0);
        ck_assert_msg(!read_text(text, &target), "state %s", states[i]);
        free(text);
    }
    json_object_set_new(json, "state", json_string("draining"));
    for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
        json_object_set_new(json, "address", json_string(addresses[i]));
        char* text = json_dumps(json, 0);
        ck_assert_msg(!read_text(text, &target), "address %s", addresses[i]);
        free(text);
    }
    json_decref(json);
    ck_assert(!read_text("[]", &target));
    ck_assert(!read_text("{}", &target));
}
END_TEST

START_TEST(deregistration_may_name_the_incarnation) {
    wg_target target;
    ck_assert(wg_target_read_deregistration(NULL, "t-1", &target, NULL));
    ck_assert_uint_eq(target.born, 0);
    json_t* json = json_loads("{\"born\":7}", 0, NULL);
    ck_assert(wg_target_read_deregistration(json, "t-1", &target, NULL));
    ck_assert_uint_eq(target.born, 7);
    ck_assert_int_eq(target.state, WG_TARGET_REMOVED);
    json_object_set_new(json, "born", json_string("7"));
    ck_assert(!wg_target_read_deregistration(json, "t-1", &target, NULL));
    json_decref(json);
    ck_assert(!wg_target_read_deregistration(NULL, "", &target, NULL));
}
END_TEST

WG_TEST_MAIN("target read", heartbeat_is_parsed, missing_field_or_wrong_type_is_an_error,
             unknown_state_or_invalid_address_is_an_error, deregistration_may_name_the_incarnation)
