/* test_crowd_ports.c -- real processes: crowds at the ports of an entry host that are not its
   callers' port: ready, entry hosts, orders, and the fleet's */
#include "crowd_entry.h"

enum {
    MEMORY_MB = 64,    /* of the machine: setting memory_mb */
    DESCRIPTORS = 400, /* of the process: setting descriptors */
    CONNECTIONS = 300,
    MORE_THAN_DESCRIPTORS = 800,
    FEW = 40,
    DEPLOYED_MEMORY_MB = 110,
    DEPLOYED_DESCRIPTORS = 4100,
    DEPLOYED_CONNECTIONS = 1200
};

static const char settings[] = "[limits]\nmemory_mb=64\ndescriptors=400\nspare_descriptors=1\n"
                               "held_mb=8\nunread_ms=5000\n";
static const char deployed_settings[] =
    "[limits]\nmemory_mb=110\ndescriptors=4100\nspare_descriptors=1\nheld_mb=24\nunread_ms=5000\n"
    "callers_max=1000000\n";

#define READY "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n"
#define ENTRY "GET /v1/entry?name=h HTTP/1.1\r\nHost: h\r\n\r\n"
#define ORDER "GET /v1/configuration HTTP/1.1\r\nHost: h\r\n\r\n"
#define METRICS "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
#define HEARTBEAT_BODY                                                                             \
    "{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"data_centre\":\"dc\",\"version\":\"v1\","  \
    "\"slots\":1,\"state\":\"ready\",\"sequence\":1,\"cold_ms\":0,\"born\":1}"

typedef enum {
    PORT_READY = 0,
    PORT_ENTRY,
    PORT_ORDERS,
    PORT_FLEET
} port;

static bool play_with(const char* extra, const crowd_kind* kind, port at, int memory_mb,
                      int descriptors) {
    char fleet[WG_ADDRESS_MAX];
    crowd_hosts_begin(extra, false);
    const host* h = &crowd_hosts.hosts[0];
    g_snprintf(fleet, sizeof fleet, "127.%d.1.1:7101", crowd_hosts.loopback_part_number);
    const char* addresses[] = {h->ready, h->entries, h->orders, fleet};
    const char* asked[] = {h->ready, h->entries, h->orders, h->ready};
    static const char* const asks[] = {READY, ENTRY, ORDER, READY};
    bool good = crowd_holds(kind, addresses[at], h->entry, crowd_run_hosts,
                            &(crowd_bounds){.ask_address = asked[at],
                                            .ask = asks[at],
                                            .other_address = h->callers,
                                            .other = CROWD_ORDINARY,
                                            .memory_mb = memory_mb,
                                            .descriptors = descriptors});
    crowd_hosts_end(good);
    return good;
}

static bool play(const crowd_kind* kind, port at) {
    return play_with(settings, kind, at, MEMORY_MB, DESCRIPTORS);
}

static bool play_deployed(const crowd_kind* kind, port at) {
    return play_with(deployed_settings, kind, at, DEPLOYED_MEMORY_MB, DEPLOYED_DESCRIPTORS);
}

/* ---- ready ------------------------------------------------------------------------------------
 */

START_TEST(ready_requests_ahead) {
    ck_assert(play(&(crowd_kind){.name = "ready: requests ahead",
                                 .block = READY,
                                 .connections = CONNECTIONS,
                                 .kb = 1000},
                   PORT_READY));
}
END_TEST

START_TEST(ready_metrics_ahead) {
    ck_assert(play(&(crowd_kind){.name = "ready: metrics ahead",
                                 .block = METRICS,
                                 .connections = CONNECTIONS,
                                 .kb = 1000},
                   PORT_READY));
}
END_TEST

START_TEST(ready_heads_that_do_not_end) {
    ck_assert(play(&(crowd_kind){.name = "ready: heads without end",
                                 .first = "GET /v1/ready HTTP/1.1\r\nHost: h\r\n",
                                 .block = "a:\r\n",
                                 .connections = CONNECTIONS,
                                 .kb = 1000},
                   PORT_READY));
}
END_TEST

/* Just below the limit of a head, so that it is not refused. */
START_TEST(ready_heads_of_many_fields) {
    GString* first = g_string_new("GET /v1/ready HTTP/1.1\r\nHost: h\r\n");
    while (first->len < 15000) {
        g_string_append(first, "a:\r\n");
    }
    bool good = play(&(crowd_kind){.name = "ready: unfinished heads of many fields",
                                   .first = first->str,
                                   .connections = CONNECTIONS},
                     PORT_READY);
    g_string_free(first, TRUE);
    ck_assert(good);
}
END_TEST

START_TEST(ready_idle_connections) {
    ck_assert(
        play(&(crowd_kind){.name = "ready: idle connections", .connections = MORE_THAN_DESCRIPTORS},
             PORT_READY));
}
END_TEST

START_TEST(ready_1200_connections) {
    ck_assert(play_deployed(&(crowd_kind){.name = "ready: 1,200 connections, requests ahead",
                                          .block = READY,
                                          .connections = DEPLOYED_CONNECTIONS,
                                          .kb = 400},
                            PORT_READY));
}
END_TEST

/* ---- entry hosts ------------------------------------------------------------------------------
 */

START_TEST(entry_requests_ahead) {
    ck_assert(play(&(crowd_kind){.name = "entry: requests ahead",
                                 .block = ENTRY,
                                 .connections = CONNECTIONS,
                                 .kb = 1000},
                   PORT_ENTRY));
}
END_TEST

START_TEST(entry_idle_connections) {
    ck_assert(
        play(&(crowd_kind){.name = "entry: idle connections", .connections = MORE_THAN_DESCRIPTORS},
             PORT_ENTRY));
}
END_TEST

START_TEST(entry_1200_connections) {
    ck_assert(play_deployed(&(crowd_kind){.name = "entry: 1,200 connections, requests ahead",
                                          .block = ENTRY,
                                          .connections = DEPLOYED_CONNECTIONS,
                                          .kb = 400},
                            PORT_ENTRY));
}
END_TEST

/* ---- orders -----------------------------------------------------------------------------------
 */

START_TEST(orders_requests_ahead) {
    ck_assert(play(&(crowd_kind){.name = "orders: requests ahead",
                                 .block = ORDER,
                                 .connections = CONNECTIONS,
                                 .kb = 1000},
                   PORT_ORDERS));
}
END_TEST

START_TEST(orders_heartbeats_ahead) {
    char* block = g_strdup_printf("PUT /v1/targets/c HTTP/1.1\r\nHost: h\r\nContent-Length: "
                                  "%zu\r\n\r\n%s",
                                  sizeof HEARTBEAT_BODY - 1, HEARTBEAT_BODY);
    bool good = play(&(crowd_kind){.name = "orders: heartbeats ahead",
                                   .block = block,
                                   .connections = CONNECTIONS,
                                   .kb = 1000},
                     PORT_ORDERS);
    g_free(block);
    ck_assert(good);
}
END_TEST

START_TEST(orders_bytes_behind_a_request) {
    ck_assert(play(&(crowd_kind){.name = "orders: bytes behind a request",
                                 .first = ORDER,
                                 .block = "xxxxxxxxxxxxxxxx",
                                 .connections = CONNECTIONS,
                                 .kb = 1000},
                   PORT_ORDERS));
}
END_TEST

START_TEST(orders_bodies_that_do_not_end) {
    ck_assert(play(&(crowd_kind){.name = "orders: bodies that end late",
                                 .first = "PUT /v1/configuration HTTP/1.1\r\nHost: h\r\n"
                                          "Content-Length: 16000000\r\n\r\n",
                                 .block = "aaaaaaaaaaaaaaaa",
                                 .connections = FEW,
                                 .kb = 8000},
                   PORT_ORDERS));
}
END_TEST

START_TEST(orders_bodies_in_chunks_of_one_byte) {
    ck_assert(play(&(crowd_kind){.name = "orders: chunks of one byte",
                                 .first = "PUT /v1/configuration HTTP/1.1\r\nHost: h\r\n"
                                          "Transfer-Encoding: chunked\r\n\r\n",
                                 .block = "1\r\na\r\n",
                                 .connections = FEW,
                                 .kb = 8000},
                   PORT_ORDERS));
}
END_TEST

/* Each value takes two bytes on the wire, and many in the memory of a parser. */
START_TEST(orders_of_many_values) {
    enum {
        SIZE = 15000000
    };
    GString* first = g_string_new(NULL);
    g_string_printf(
        first, "PUT /v1/configuration HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n[1", SIZE);
    size_t head = first->len - 2;
    while (first->len - head < SIZE - 1) {
        g_string_append(first, ",1");
    }
    g_string_truncate(first, head + SIZE - 1);
    g_string_append(first, "]");
    bool good = play(&(crowd_kind){.name = "orders: documents of many values",
                                   .first = first->str,
                                   .connections = 2},
                     PORT_ORDERS);
    g_string_free(first, TRUE);
    ck_assert(good);
}
END_TEST

/* A configuration of 10,000 workspaces, more than 1 MB. */
START_TEST(order_of_a_large_document_is_served) {
    static const char begin_text[] =
        "{\"version\":2,\"services\":[{\"name\":\"app\"}],\"routes\":[{\"name\":\"r\",\"host\":"
        "\"h\",\"path_prefix\":\"/\",\"kind\":\"safe\",\"open\":true,\"timeout_ms\":9000,"
        "\"objective_ms\":500,\"attempts\":2,\"service\":\"app\"}],\"limits\":{},"
        "\"workspaces\":[";
    enum {
        WORKSPACES = 10000
    };
    GString* document = g_string_new(begin_text);
    for (int i = 0; i < WORKSPACES; i++) {
        g_string_append_printf(document,
                               "%s{\"name\":\"workspace-%05d\",\"keys\":[\"key-%050d\"],"
                               "\"priority\":1}",
                               i ? "," : "", i, i);
    }
    g_string_append(document, "]}");
    crowd_hosts_begin(settings, false);
    int status = 0;
    wg_time until = wg_now() + CROWD_ANSWER_MS * MSEC;
    while (status != 200 && wg_now() < until) {
        status = hosts_put_document(&crowd_hosts, &crowd_hosts.hosts[0], g_strdup(document->str));
        hosts_run_for(&crowd_hosts, 100);
    }
    g_string_free(document, TRUE);
    crowd_hosts_end(status == 200);
    ck_assert_int_eq(status, 200);
}
END_TEST

START_TEST(orders_idle_connections) {
    ck_assert(play(
        &(crowd_kind){.name = "orders: idle connections", .connections = MORE_THAN_DESCRIPTORS},
        PORT_ORDERS));
}
END_TEST

START_TEST(orders_1200_connections) {
    ck_assert(play_deployed(&(crowd_kind){.name = "orders: 1,200 connections, requests ahead",
                                          .block = ORDER,
                                          .connections = DEPLOYED_CONNECTIONS,
                                          .kb = 400},
                            PORT_ORDERS));
}
END_TEST

/* ---- the fleet's port -------------------------------------------------------------------------
 */

START_TEST(fleet_port_bytes_that_are_no_frames) {
    ck_assert(play(&(crowd_kind){.name = "fleet: bytes that are no frames",
                                 .block = "xxxxxxxxxxxxxxxx",
                                 .connections = CONNECTIONS,
                                 .kb = 1000},
                   PORT_FLEET));
}
END_TEST

START_TEST(fleet_port_idle_connections) {
    ck_assert(
        play(&(crowd_kind){.name = "fleet: idle connections", .connections = MORE_THAN_DESCRIPTORS},
             PORT_FLEET));
}
END_TEST

WG_TEST_MAIN("crowds at ports of entry hosts", ready_requests_ahead, ready_metrics_ahead,
             ready_heads_that_do_not_end, ready_heads_of_many_fields, ready_idle_connections,
             ready_1200_connections, entry_requests_ahead, entry_idle_connections,
             entry_1200_connections, orders_requests_ahead, orders_heartbeats_ahead,
             orders_bytes_behind_a_request, orders_bodies_that_do_not_end,
             orders_bodies_in_chunks_of_one_byte, orders_of_many_values,
             order_of_a_large_document_is_served, orders_idle_connections, orders_1200_connections,
             fleet_port_bytes_that_are_no_frames, fleet_port_idle_connections)
