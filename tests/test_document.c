/* test_document.c -- documents packed complete and as differences to a base */
#include <string.h>

#include "wg_document.h"
#include "wg_test.h"

enum {
    ROUTES = 1400, /* routes of a configuration of some 300 KB */
    ROUTES_MANY = 18000
};

/* A configuration whose route `changed` has a different timeout; -1: no route. */
static GBytes* document(int routes, int changed) {
    GString* out = g_string_new("{\"version\":7,\"routes\":[");
    for (int i = 0; i < routes; i++) {
        uint64_t random = wg_jitter(11, (uint64_t)i);
        g_string_append_printf(
            out,
            "%s{\"name\":\"r-%07" G_GINT64_MODIFIER "x\",\"host\":\"h%02d.example\","
            "\"pathPrefix\":\"/p%08" G_GINT64_MODIFIER "x/\",\"kind\":\"safe\","
            "\"timeoutMs\":%d,\"priority\":1,\"service\":\"one\"}",
            i ? "," : "", random & 0xfffffff, i % 7, random >> 32, i == changed ? 4321 : 800);
    }
    g_string_append(out, "]}");
    return g_string_free_to_bytes(out);
}

static GBytes* unpack(GBytes* packed, GBytes* base, GError** error) {
    gsize size;
    const void* data = g_bytes_get_data(packed, &size);
    return wg_document_unpack(data, size, base, error);
}

static void expect_round_trip(GBytes* complete, GBytes* base) {
    GBytes* packed = wg_document_pack(complete, base);
    GBytes* back = unpack(packed, base, NULL);
    ck_assert_ptr_nonnull(back);
    ck_assert(g_bytes_equal(back, complete));
    g_bytes_unref(back);
    g_bytes_unref(packed);
}

START_TEST(one_changed_route_takes_few_bytes_whatever_the_size) {
    int sizes[] = {ROUTES, ROUTES_MANY};
    for (int i = 0; i < 2; i++) {
        GBytes* before = document(sizes[i], -1);
        GBytes* after = document(sizes[i], sizes[i] / 2);
        GBytes* packed = wg_document_pack(after, before);
        ck_assert_int_lt(g_bytes_get_size(packed), 400);
        expect_round_trip(after, before);
        g_bytes_unref(packed);
        g_bytes_unref(after);
        g_bytes_unref(before);
    }
}
END_TEST

START_TEST(complete_document_shrinks) {
    GBytes* complete = document(ROUTES, -1);
    GBytes* packed = wg_document_pack(complete, NULL);
    ck_assert_int_lt(g_bytes_get_size(packed) * 4, g_bytes_get_size(complete));
    expect_round_trip(complete, NULL);
    g_bytes_unref(packed);
    g_bytes_unref(complete);
    GBytes* empty = g_bytes_new(NULL, 0);
    expect_round_trip(empty, NULL);
    g_bytes_unref(empty);
}
END_TEST

static void expect_refused(const uint8_t* data, size_t size, GBytes* base) {
    GError* error = NULL;
    ck_assert_ptr_null(wg_document_unpack(data, size, base, &error));
    ck_assert(g_error_matches(error, WG_ERROR, WG_ERROR_CORRUPT));
    g_error_free(error);
}

START_TEST(another_base_or_damaged_bytes_are_refused) {
    GBytes* before = document(ROUTES, -1);
    GBytes* other = document(ROUTES, 9);
    GBytes* after = document(ROUTES, 300);
    GBytes* packed = wg_document_pack(after, before);
    gsize size;
    const uint8_t* data = g_bytes_get_data(packed, &size);
    expect_refused(data, size, other);
    expect_refused(data, size, NULL);
    expect_refused(data, 0, before);
    uint8_t* copy = g_memdup2(data, size);
    for (gsize i = 0; i < size; i++) {
        expect_refused(data, i, before); /* truncated */
        copy[i] ^= 0x10;
        GBytes* back = wg_document_unpack(copy, size, before, NULL);
        ck_assert(!back || g_bytes_equal(back, after)); /* some header bits are unused */
        g_clear_pointer(&back, g_bytes_unref);
        copy[i] ^= 0x10;
    }
    g_free(copy);
    g_bytes_unref(packed);
    g_bytes_unref(after);
    g_bytes_unref(other);
    g_bytes_unref(before);
}
END_TEST

START_TEST(document_beyond_the_limit_is_refused) {
    uint8_t* zeros = g_malloc0(WG_DOCUMENT_MAX + 1);
    GBytes* large = g_bytes_new_take(zeros, WG_DOCUMENT_MAX + 1);
    GBytes* packed = wg_document_pack(large, NULL);
    gsize size;
    const uint8_t* data = g_bytes_get_data(packed, &size);
    expect_refused(data, size, NULL);
    g_bytes_unref(packed);
    g_bytes_unref(large);
}
END_TEST

WG_TEST_MAIN("document", one_changed_route_takes_few_bytes_whatever_the_size,
             complete_document_shrinks, another_base_or_damaged_bytes_are_refused,
             document_beyond_the_limit_is_refused)
