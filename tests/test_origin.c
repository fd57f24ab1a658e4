/* test_origin.c -- records of the versions at which streams began, and whom a host asks for them */
#include <string.h>

#include "wg_origin.h"
#include "wg_test.h"

static void record(wg_origins* o, wg_time now, uint64_t stream, const char* version, wg_time life) {
    wg_origins_record(o, now, stream, &(wg_origin){version, (uint32_t)stream, now}, life);
}

/* NULL: the stream is not known. */
static const char* version_of(const wg_origins* o, wg_time now, uint64_t stream) {
    const wg_origin* origin = wg_origins_find(o, now, stream);
    return origin ? origin->version : NULL;
}

/* Guards against a stream that goes on at the version of an earlier one under the same id. */
START_TEST(later_record_of_a_stream_wins) {
    wg_origins* o = wg_origins_setup(&(wg_origins_desc){0});
    record(o, 0, 7, "v1", 10 * SECOND);
    ck_assert_str_eq(version_of(o, 1, 7), "v1");
    ck_assert_ptr_null(version_of(o, 1, 8));
    record(o, 2, 7, "v2", 10 * SECOND);
    ck_assert_str_eq(version_of(o, 3, 7), "v2");
    ck_assert_int_eq(wg_origins_num(o), 1);
    wg_origins_shutdown(o);
}
END_TEST

/* Guards against records that outlive their streams, or fill the memory of a host. */
START_TEST(records_are_bounded_in_time_and_number) {
    wg_origins* o = wg_origins_setup(&(wg_origins_desc){.max = 3});
    for (uint64_t stream = 1; stream <= 5; stream++) {
        record(o, (wg_time)stream, stream, "", SECOND);
    }
    ck_assert_int_eq(wg_origins_num(o), 3);
    ck_assert_ptr_null(version_of(o, 6, 2));
    ck_assert_str_eq(version_of(o, 6, 3), "");
    ck_assert_ptr_null(version_of(o, SECOND + 3, 3));
    wg_origins_expire(o, SECOND + 4);
    ck_assert_int_eq(wg_origins_num(o), 1);
    wg_origins_shutdown(o);
}
END_TEST

/* Guards against records that get lost, or live longer, on their way through a message. */
START_TEST(records_survive_a_message) {
    wg_origins* o = wg_origins_setup(&(wg_origins_desc){0});
    wg_origins* copy = wg_origins_setup(&(wg_origins_desc){0});
    for (uint64_t stream = 1; stream <= 5; stream++) {
        record(o, 0, stream, stream == 5 ? "" : "v1", SECOND);
    }
    Wgpb__OriginNotes* first = wg_origins_take(o, SECOND / 2, 3);
    Wgpb__OriginNotes* rest = wg_origins_dump(o, SECOND / 2, 3);
    ck_assert_uint_eq(first->n_notes, 3);
    ck_assert_uint_eq(rest->n_notes, 2);
    ck_assert_int_eq(wg_origins_num(o), 2);
    ck_assert_int_eq(wg_origins_record_notes(copy, SECOND, first->notes, first->n_notes), 0);
    ck_assert_int_eq(wg_origins_record_notes(copy, SECOND, rest->notes, rest->n_notes), 0);
    ck_assert_int_eq(wg_origins_num(copy), 5);
    ck_assert_str_eq(version_of(copy, SECOND, 1), "v1");
    ck_assert_str_eq(version_of(copy, SECOND, 5), "");
    ck_assert_uint_eq(wg_origins_find(copy, SECOND, 5)->target, 5);
    ck_assert_int_eq(wg_origins_find(copy, SECOND, 5)->began_at, SECOND / 2);
    ck_assert_ptr_null(version_of(copy, SECOND + SECOND / 2, 1));
    wgpb__origin_notes__free_unpacked(first, NULL);
    wgpb__origin_notes__free_unpacked(rest, NULL);
    wg_origins_shutdown(o);
    wg_origins_shutdown(copy);
}
END_TEST

/* Guards against hosts that look for a stream at other keepers than those that were told of it: the
   order of the list does not matter, and a host that left moves only its own streams. */
START_TEST(all_hosts_select_the_same_keepers) {
    enum {
        HOSTS = 9
    };
    uint64_t hosts[HOSTS];
    uint64_t reversed[HOSTS];
    int used[HOSTS] = {0};
    for (int i = 0; i < HOSTS; i++) {
        hosts[i] = wg_jitter(5, (uint64_t)i);
        reversed[HOSTS - 1 - i] = hosts[i];
    }
    for (uint64_t n = 0; n < 900; n++) {
        uint64_t stream = wg_origin_stream("id", n);
        int a[WG_ORIGIN_KEEPERS];
        int b[WG_ORIGIN_KEEPERS];
        int c[WG_ORIGIN_KEEPERS];
        ck_assert_int_eq(wg_origin_select(stream, hosts, HOSTS, a), WG_ORIGIN_KEEPERS);
        wg_origin_select(stream, reversed, HOSTS, b);
        wg_origin_select(stream, hosts + 1, HOSTS - 1, c); /* the first host has left */
        int left = 0;
        for (int i = 0; i < WG_ORIGIN_KEEPERS; i++) {
            ck_assert_uint_eq(hosts[a[i]], reversed[b[i]]);
            used[a[i]]++;
            left += a[i] == 0;
        }
        for (int i = 0, at = 0; i < WG_ORIGIN_KEEPERS; i++) {
            if (a[i] != 0) {
                ck_assert_int_eq(a[i], c[at++] + 1);
            }
        }
        ck_assert_int_le(left, 1);
    }
    for (int i = 0; i < HOSTS; i++) {
        ck_assert_int_gt(used[i], 200); /* of 300 */
        ck_assert_int_lt(used[i], 400);
    }
    int keepers[WG_ORIGIN_KEEPERS];
    ck_assert_int_eq(wg_origin_select(1, hosts, 2, keepers), 2);
    ck_assert_int_eq(wg_origin_select(1, hosts, 0, keepers), 0);
}
END_TEST

static void answer_with(wg_origin_lookup* l, uint64_t registry_change) {
    wg_origin_lookup_answer(l, &(wg_origin_host_answer){.registry_change = registry_change});
}

/* Guards against a caller that waits for hosts that are down, and against a stream that is given up
   although a host beside the keepers knows it. */
START_TEST(lookup_asks_the_keepers_then_all_hosts) {
    wg_origin_lookup l;
    wg_origin_lookup_begin(&l, 0, 3);
    answer_with(&l, 5);
    answer_with(&l, 4);
    ck_assert_int_eq(wg_origin_lookup_step(&l, 1), WG_ORIGIN_WAIT);
    ck_assert_int_eq(wg_origin_lookup_step(&l, WG_ORIGIN_ROUND_TIME), WG_ORIGIN_ASK_ALL);
    answer_with(&l, 3);
    ck_assert_int_eq(wg_origin_lookup_step(&l, 1), WG_ORIGIN_ASK_ALL);
    wg_origin_lookup_ask_all(&l, 10, 2);
    ck_assert_int_eq(l.answered, 0);
    ck_assert_int_eq(wg_origin_lookup_step(&l, 11), WG_ORIGIN_WAIT);
    answer_with(&l, 1);
    answer_with(&l, 2);
    ck_assert_int_eq(wg_origin_lookup_step(&l, 12), WG_ORIGIN_UNKNOWN);
    ck_assert_uint_eq(l.registry_change_max, 5);
    wg_origin_lookup_ask_all(&l, 10, 2);
    wg_origin_lookup_replica_answer(&l); /* ends no wait for hosts, and stands for none */
    ck_assert_int_eq(l.answered, 0);
    ck_assert_int_eq(wg_origin_lookup_step(&l, 11), WG_ORIGIN_WAIT);
    answer_with(&l, 1);
    ck_assert_int_eq(wg_origin_lookup_step(&l, 11), WG_ORIGIN_UNKNOWN);
    wg_origin_lookup_begin(&l, 0, 0); /* no host to ask */
    ck_assert_int_eq(wg_origin_lookup_step(&l, 0), WG_ORIGIN_ASK_ALL);
}
END_TEST

/* Guards against a conclusion from hosts of which one has not kept records for long enough, or has
   one that is in doubt. */
START_TEST(lookup_keeps_the_shortest_records_and_any_doubt) {
    wg_origin_lookup l;
    wg_origin_lookup_begin(&l, 0, 1);
    wg_origin_lookup_answer(&l, &(wg_origin_host_answer){.records_from = 9});
    wg_origin_lookup_ask_all(&l, 0, 2);
    wg_origin_lookup_answer(&l, &(wg_origin_host_answer){.records_from = 4, .doubted = true});
    wg_origin_lookup_answer(&l, &(wg_origin_host_answer){.records_from = 7});
    ck_assert_uint_eq(l.records_from, 9);
    ck_assert(l.doubted);
}
END_TEST

WG_TEST_MAIN("origin", later_record_of_a_stream_wins, records_are_bounded_in_time_and_number,
             records_survive_a_message, all_hosts_select_the_same_keepers,
             lookup_asks_the_keepers_then_all_hosts,
             lookup_keeps_the_shortest_records_and_any_doubt)
