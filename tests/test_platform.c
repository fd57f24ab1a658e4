/* test_platform.c -- the adapter's field names agree with the renames in deploy/wire.toml */
#include <string.h>

#include "platform_names.h"
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

WG_TEST_MAIN("platform", callers_data_centre_is_read_under_its_renamed_field)
