/* test_table.c -- rows, edits, copies, snapshots, CSV and bad input */
#include "wg_table.h"
#include "wg_test.h"

static const char key_a[] = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

static wgt_outcome edit(wgt_table* t, uint64_t index, const wgt_row* row, uint64_t base,
                        wgt_result* result) {
    wgt_edit_row edit_row = {.row = *row, .base_version = base};
    wgt_edit e = {.rows = &edit_row, .rows_num = 1};
    memcpy(e.id, &index, sizeof index);
    wgt_apply(t, &e, index, result);
    return result->outcome;
}

static wgt_row workspace(const char* name, int64_t weight, const char* keys) {
    wgt_row row;
    wgt_row_init(&row, WGT_KIND_WORKSPACE, name);
    row.workspace.weight = weight;
    wg_copy_name(row.workspace.keys, sizeof row.workspace.keys, keys);
    return row;
}

START_TEST(one_of_two_edits_of_a_version_wins) {
    wgt_table* t = wgt_setup(&(wgt_desc){0}, NULL);
    wgt_result result;
    wgt_row row = workspace("a", 10, "");
    ck_assert_int_eq(edit(t, 1, &row, 0, &result), WGT_OUTCOME_ACCEPTED);
    row.workspace.weight = 20;
    ck_assert_int_eq(edit(t, 2, &row, 1, &result), WGT_OUTCOME_ACCEPTED);
    row.workspace.weight = 30;
    ck_assert_int_eq(edit(t, 3, &row, 1, &result), WGT_OUTCOME_CONFLICT);
    ck_assert_ptr_nonnull(strstr(result.reason, "version 2"));
    ck_assert_int_eq(wgt_find(t, WGT_KIND_WORKSPACE, "a")->workspace.weight, 20);
    /* A resent edit gets its first answer, whatever changed since. */
    wgt_row first = workspace("a", 10, "");
    wgt_edit_row edit_row = {.row = first};
    wgt_edit e = {.rows = &edit_row, .rows_num = 1};
    uint64_t id = 1;
    memcpy(e.id, &id, sizeof id);
    wgt_apply(t, &e, 9, &result);
    ck_assert(result.resent);
    ck_assert_int_eq(result.outcome, WGT_OUTCOME_ACCEPTED);
    ck_assert_uint_eq(result.version, 1);
    wgt_shutdown(t);
}
END_TEST

START_TEST(edit_applies_all_rows_or_none) {
    wgt_table* t = wgt_setup(&(wgt_desc){0}, NULL);
    wgt_edit_row rows[2] = {{.row = workspace("a", 10, "")}, {.row = workspace("b", 0, "")}};
    wgt_edit e = {.rows = rows, .rows_num = 2};
    wgt_result result;
    wgt_apply(t, &e, 1, &result);
    ck_assert_int_eq(result.outcome, WGT_OUTCOME_INVALID);
    ck_assert_ptr_nonnull(strstr(result.reason, "weight"));
    ck_assert_ptr_null(wgt_find(t, WGT_KIND_WORKSPACE, "a"));
    ck_assert_uint_eq(wgt_version(t), 0);
    wgt_shutdown(t);
}
END_TEST

START_TEST(references_and_keys_are_checked) {
    wgt_table* t = wgt_setup(&(wgt_desc){0}, NULL);
    wgt_result result;
    wgt_row target;
    wgt_row_init(&target, WGT_KIND_TARGET, "t");
    wg_copy_name(target.target.service, WG_NAME_MAX, "s");
    wg_copy_name(target.target.address, WG_ADDRESS_MAX, "127.0.0.1:9");
    ck_assert_int_eq(edit(t, 1, &target, 0, &result), WGT_OUTCOME_INVALID);
    wgt_row service;
    wgt_row_init(&service, WGT_KIND_SERVICE, "s");
    ck_assert_int_eq(edit(t, 2, &service, 0, &result), WGT_OUTCOME_ACCEPTED);
    ck_assert_int_eq(edit(t, 3, &target, 0, &result), WGT_OUTCOME_ACCEPTED);
    service.deleted = true;
    ck_assert_int_eq(edit(t, 4, &service, 2, &result), WGT_OUTCOME_INVALID);
    wgt_row a = workspace("a", 10, key_a);
    wgt_row b = workspace("b", 10, key_a);
    ck_assert_int_eq(edit(t, 5, &a, 0, &result), WGT_OUTCOME_ACCEPTED);
    ck_assert_int_eq(edit(t, 6, &b, 0, &result), WGT_OUTCOME_INVALID);
    uint8_t hash[WG_KEY_HASH_SIZE];
    memset(hash, 0xaa, sizeof hash);
    ck_assert_str_eq(wgt_find_key(t, hash)->name, "a");
    a.deleted = true;
    ck_assert_int_eq(edit(t, 7, &a, 5, &result), WGT_OUTCOME_ACCEPTED);
    ck_assert_ptr_null(wgt_find_key(t, hash));
    ck_assert_int_eq(edit(t, 8, &b, 0, &result), WGT_OUTCOME_ACCEPTED);
    wgt_shutdown(t);
}
END_TEST

START_TEST(copy_applies_changes_and_never_reverts) {
    wgt_table* t = wgt_setup(&(wgt_desc){0}, NULL);
    wgt_table* copy = wgt_setup(&(wgt_desc){0}, NULL);
    wgt_result result;
    const wgt_row** rows = g_new(const wgt_row*, WGT_EDIT_ROWS_MAX + 1);
    for (uint64_t i = 1; i <= 500; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "w%d", (int)(i % 37));
        const wgt_row* old = wgt_find(t, WGT_KIND_WORKSPACE, name);
        wgt_row row = workspace(name, (int64_t)i, "");
        row.deleted = old && i % 5 == 0;
        edit(t, i, &row, old ? old->version : 0, &result);
        if (i % 7 == 0) {
            bool more;
            int num = wgt_changes(t, wgt_version(copy), rows, WGT_EDIT_ROWS_MAX + 1, &more);
            ck_assert_int_ge(num, 0);
            wgt_row older = {0};
            for (int r = 0; r < num; r++) {
                wgt_put(copy, rows[r]);
                older = *rows[r];
            }
            if (num > 0) {
                older.version--;
                ck_assert(!wgt_put(copy, &older));
            }
            wgt_set_version(copy, wgt_version(t));
            ck_assert_int_eq(wgt_query_stats(copy).workspaces, wgt_query_stats(t).workspaces);
        }
    }
    g_free(rows);
    wgt_shutdown(t);
    wgt_shutdown(copy);
}
END_TEST

START_TEST(rows_of_one_edit_stay_together) {
    wgt_table* t = wgt_setup(&(wgt_desc){0}, NULL);
    wgt_result result;
    wgt_edit_row* rows = g_new0(wgt_edit_row, WGT_EDIT_ROWS_MAX);
    for (int i = 0; i < WGT_EDIT_ROWS_MAX; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "w%d", i);
        rows[i].row = workspace(name, 1, "");
    }
    for (uint64_t e = 1; e <= 3; e++) {
        wgt_edit many = {.rows = rows, .rows_num = e == 1 ? 10 : WGT_EDIT_ROWS_MAX};
        memcpy(many.id, &e, sizeof e);
        for (int i = 0; i < many.rows_num; i++) {
            const wgt_row* old = wgt_find(t, WGT_KIND_WORKSPACE, rows[i].row.name);
            rows[i].base_version = old ? old->version : 0;
        }
        wgt_apply(t, &many, e, &result);
        ck_assert_int_eq(result.outcome, WGT_OUTCOME_ACCEPTED);
    }
    const wgt_row* page[WGT_EDIT_ROWS_MAX + 1];
    bool more;
    ck_assert_int_eq(wgt_changes(t, 0, page, WGT_EDIT_ROWS_MAX + 1, &more), WGT_EDIT_ROWS_MAX);
    g_free(rows);
    wgt_shutdown(t);
}
END_TEST

START_TEST(dropped_tombstones_require_a_reset) {
    wgt_table* t = wgt_setup(&(wgt_desc){.tombstones_max = 2}, NULL);
    wgt_result result;
    for (uint64_t i = 1; i <= 10; i += 2) {
        char name[16];
        g_snprintf(name, sizeof name, "w%d", (int)i);
        wgt_row row = workspace(name, 1, "");
        edit(t, i, &row, 0, &result);
        row.deleted = true;
        edit(t, i + 1, &row, i, &result);
    }
    const wgt_row* page[WGT_EDIT_ROWS_MAX + 1];
    bool more;
    ck_assert_int_eq(wgt_changes(t, 3, page, WGT_EDIT_ROWS_MAX + 1, &more), -1);
    ck_assert_int_eq(wgt_changes(t, 0, page, WGT_EDIT_ROWS_MAX + 1, &more), 2);
    wgt_shutdown(t);
}
END_TEST

START_TEST(snapshot_restores_the_table) {
    wgt_table* t = wgt_setup(&(wgt_desc){0}, NULL);
    wgt_result result;
    wgt_row row = workspace("a", 10, key_a);
    edit(t, 1, &row, 0, &result);
    edit(t, 2, &row, 7, &result);
    Wgpb__TableState* state = wgt_dump(t);
    wgt_table* other = wgt_setup(&(wgt_desc){0}, NULL);
    ck_assert(wgt_load(other, state));
    wgpb__table_state__free_unpacked(state, NULL);
    ck_assert_uint_eq(wgt_version(other), 1);
    ck_assert_str_eq(wgt_find(other, WGT_KIND_WORKSPACE, "a")->workspace.keys, key_a);
    wgt_apply(other, &(wgt_edit){.id = {2}}, 9, &result);
    ck_assert(result.resent);
    ck_assert_int_eq(result.outcome, WGT_OUTCOME_CONFLICT);
    wgt_shutdown(t);
    wgt_shutdown(other);
}
END_TEST

static void check_csv(const char* text, gsize size, const char* reason) {
    GArray* rows = NULL;
    GError* error = NULL;
    ck_assert(!wgt_csv_read(text, size, WGT_KIND_WORKSPACE, &rows, &error));
    ck_assert_msg(strstr(error->message, reason) != NULL, "\"%s\" lacks \"%s\"", error->message,
                  reason);
    g_error_free(error);
}

START_TEST(csv_errors_name_the_place) {
    static const struct {
        const char* text;
        const char* reason;
    } cases[] = {{"", "no header"},
                 {"weight\n5\n", "no column \"name\""},
                 {"name,weight,weight\na,1,1\n", "twice"},
                 {"name,size\na,1\n", "no such column"},
                 {"name,weight\na\n", "line 2: number of cells"},
                 {"name,weight\na,1,2\n", "line 2: number of cells"},
                 {"name,weight\na,1\na,2\n", "line 3: a row with this name"},
                 {"name,weight\na,-1\n", "not within"},
                 {"name,weight\na,99999999999999999999\n", "wrong type"},
                 {"name,weight\na,1e3\n", "wrong type"},
                 {"name,weight\na b,1\n", "name"},
                 {"name,weight\n\"a,1\n", "quote"},
                 {"name,keys\na,xyz\n", "SHA-256"},
                 {"name,weight\na\xff,1\n", "UTF-8"},
                 {"na\xffme,weight\na,1\n", "name"},
                 {"name,version\na,-5\n", "version"}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_csv(cases[i].text, strlen(cases[i].text), cases[i].reason);
    }
    check_csv("name,weight\na\0b,1\n", 18, "zero byte");
}
END_TEST

START_TEST(csv_round_trip) {
    wgt_table* t = wgt_setup(&(wgt_desc){0}, NULL);
    wgt_result result;
    wgt_row row;
    wgt_row_init(&row, WGT_KIND_SERVICE, "confirm");
    wg_copy_name(row.service.kind, sizeof row.service.kind, "app");
    wg_copy_name(row.service.repeatable, sizeof row.service.repeatable, "GET POST:/look");
    edit(t, 1, &row, 0, &result);
    GString* csv = wgt_csv_write(t, WGT_KIND_SERVICE);
    GArray* rows;
    ck_assert(wgt_csv_read(csv->str, csv->len, WGT_KIND_SERVICE, &rows, NULL));
    const wgt_row* back = &g_array_index(rows, wgt_row, 0);
    ck_assert_str_eq(back->service.repeatable, "GET POST:/look");
    ck_assert_uint_eq(back->version, 1);
    ck_assert(wgt_is_repeatable(back, "GET", "/x"));
    ck_assert(wgt_is_repeatable(back, "POST", "/lookup"));
    ck_assert(!wgt_is_repeatable(back, "POST", "/confirm"));
    ck_assert(!wgt_is_repeatable(back, "GE", "/x"));
    g_array_unref(rows);
    g_string_free(csv, TRUE);
    wgt_shutdown(t);
}
END_TEST

START_TEST(full_table_refuses_and_loses_nothing) {
    wgt_table* t = wgt_setup(&(wgt_desc){.rows_max = 3}, NULL);
    wgt_result result;
    for (uint64_t i = 1; i <= 5; i++) {
        char name[16];
        g_snprintf(name, sizeof name, "w%d", (int)i);
        wgt_row row = workspace(name, 1, "");
        ck_assert_int_eq(edit(t, i, &row, 0, &result),
                         i <= 3 ? WGT_OUTCOME_ACCEPTED : WGT_OUTCOME_INVALID);
    }
    ck_assert_int_eq(wgt_query_stats(t).workspaces, 3);
    wgt_shutdown(t);
}
END_TEST

WG_TEST_MAIN("table", one_of_two_edits_of_a_version_wins, edit_applies_all_rows_or_none,
             references_and_keys_are_checked, copy_applies_changes_and_never_reverts,
             rows_of_one_edit_stay_together, dropped_tombstones_require_a_reset,
             snapshot_restores_the_table, csv_errors_name_the_place, csv_round_trip,
             full_table_refuses_and_loses_nothing)
