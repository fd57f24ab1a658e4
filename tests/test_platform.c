/* test_platform.c -- the adapter's field names agree with the renames in deploy/wire.toml, and the
   settings templates in deploy/ load with the values that a deployment may fill in */
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "platform_names.h"
#include "wg_control.h"
#include "wg_entry.h"
#include "wg_test.h"

/* Returns the name that deploy/wire.toml gives to a field of the platform, NULL if it keeps its
   own; the caller frees it. */
static char* wire_name(const char* field) {
    char* text = NULL;
    ck_assert(g_file_get_contents("deploy/wire.toml", &text, NULL, NULL));
    char* pattern = g_strdup_printf("(?m)^%s = \"([^\"]+)\"$", field);
    GRegex* regex = g_regex_new(pattern, 0, 0, NULL);
    GMatchInfo* match = NULL;
    g_regex_match(regex, text, 0, &match);
    char* name = g_match_info_matches(match) ? g_match_info_fetch(match, 1) : NULL;
    g_match_info_free(match);
    g_regex_unref(regex);
    g_free(pattern);
    g_free(text);
    return name;
}

/* Renamed fields have their new name in queries too; read under the old one, the caller's data
   centre stays unknown. */
START_TEST(callers_data_centre_is_read_under_its_renamed_field) {
    char* data_centre = wire_name("zone");
    ck_assert_ptr_nonnull(data_centre);
    ck_assert_str_eq(platform_entry_names.query_data_centre, data_centre);
    g_free(data_centre);
}
END_TEST

/* Replaces each {{name}} of a template by `value`, or by an address if the name ends in one. */
static char* fill_template(const char* path, const char* value) {
    char* text = NULL;
    ck_assert(g_file_get_contents(path, &text, NULL, NULL));
    static const char* const whole[] = {"portRange", "maxFds", "machines", NULL};
    GString* out = g_string_new(NULL);
    char** parts = g_strsplit(text, "{{", -1);
    g_string_append(out, parts[0]);
    for (int i = 1; parts[i]; i++) {
        char** gap = g_strsplit(parts[i], "}}", 2);
        bool address = strstr(gap[0], "listen.") || strstr(gap[0], "seeds");
        bool count = false;
        for (int k = 0; whole[k]; k++) {
            count = count || strstr(gap[0], whole[k]);
        }
        bool bound = strstr(gap[0], "bounds.") || strstr(gap[0], "memoryMb");
        const char* filled = address ? "127.0.0.1:1" : count ? "7" : bound ? value : "127.0.0.1";
        g_string_append(out, filled);
        g_string_append(out, gap[1]);
        g_strfreev(gap);
    }
    g_strfreev(parts);
    g_free(text);
    return g_string_free(out, FALSE);
}

static bool load_template(const char* path, const wgi_key* keys, int num, void* settings) {
    char* text = fill_template(path, "33.68421052631579");
    char file[] = "/tmp/wg-template-XXXXXX";
    close(g_mkstemp(file));
    ck_assert(g_file_set_contents(file, text, -1, NULL));
    GError* error = NULL;
    bool good = wgi_load(file, keys, num, settings, &error);
    ck_assert_msg(good, "%s: %s", path, good ? "" : error->message);
    g_unlink(file);
    g_free(text);
    return good;
}

/* Bounds and limits that the operator divides among fleets of other sizes are fractions. A process
   that refuses them never starts. */
START_TEST(bounds_and_limits_may_be_fractions) {
    wg_entry_settings entry = {0};
    ck_assert(load_template("deploy/entry.ini", wg_entry_keys, wg_entry_keys_num, &entry));
    ck_assert_double_eq_tol(entry.retry_slack, 33.684, 0.001);
    ck_assert_double_eq_tol(entry.grace_s, 33.684, 0.001);
    ck_assert_double_eq_tol(entry.memory_mb, 33.684, 0.001);
    wgi_clear(wg_entry_keys, wg_entry_keys_num, &entry);
    wgco_settings control = {0};
    ck_assert(load_template("deploy/replica.ini", wgco_keys, wgco_keys_num, &control));
    ck_assert_double_eq_tol(control.memory_mb, 33.684, 0.001);
    wgi_clear(wgco_keys, wgco_keys_num, &control);
}
END_TEST

/* Guards against room that is used at hosts and told by no control, or told and not used. */
START_TEST(room_is_on_at_hosts_and_controls) {
    wg_entry_settings entry = {0};
    wgco_settings control = {0};
    ck_assert(load_template("deploy/entry.ini", wg_entry_keys, wg_entry_keys_num, &entry));
    ck_assert(load_template("deploy/replica.ini", wgco_keys, wgco_keys_num, &control));
    ck_assert_int_eq(entry.room_wait_ms, 20);
    ck_assert_int_eq(control.room_wait_ms, entry.room_wait_ms);
    ck_assert_int_eq(entry.route_limits, 1);
    ck_assert_int_eq(entry.retry_after_percent, 20);
    ck_assert_int_eq(entry.spare_descriptors, 1);
    ck_assert_int_eq(entry.handoff_delay_ms, 10);
    wgi_clear(wg_entry_keys, wg_entry_keys_num, &entry);
    wgi_clear(wgco_keys, wgco_keys_num, &control);
}
END_TEST

WG_TEST_MAIN("platform", callers_data_centre_is_read_under_its_renamed_field,
             bounds_and_limits_may_be_fractions, room_is_on_at_hosts_and_controls)
