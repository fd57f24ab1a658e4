/* test_leader_links.c -- how entry hosts find the leader, and what a new leader sends them

   An entry host or a control runs within the test process. */
#include <glib/gstdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include "folder.h"
#include "fake_control.h"
#include "local_control.h"
#include "wg_cache_list.h"
#include "wg_entry.h"
#include "wg_test.h"

enum {
    TURNS = 2000, /* loop turns of 1 ms to wait for an expected event */
    ATTEMPTS_MAX = 20,
    LEADERLESS_TIME = 300 * WG_USEC_PER_MSEC, /* stay with a control that knows no leader */
    SETTLE_TIME = 1500 * WG_USEC_PER_MSEC     /* time that hosts get to report to a new leader */
};

static struct event_base* base;

static void begin(void) {
    base = local_event_base();
}

static void turn(void) {
    local_run_loop(base);
}

/* Runs the loop for `ms` while the host is connected to a follower that knows no leader. Returns
   the time since `since` in microseconds, which is longer if the process stalled. */
static wg_time wait_connected(const fake_control* follower, wg_time since, int ms) {
    wg_time now;
    do {
        turn();
        now = wg_now();
        ck_assert(follower->links_down == 0 || now - since >= LEADERLESS_TIME);
    } while (now - since < ms * (wg_time)WG_USEC_PER_MSEC);
    return now - since;
}

/* One attempt of the test below. False if this process stalled for as long as the host waits, so
   that the attempt proves nothing. */
static bool host_waits_for_leader(void) {
    fake_control follower;
    fake_control leader;
    begin();
    fake_control_begin(base, &follower, 1);
    fake_control_begin(base, &leader, 2);
    char* seeds[] = {follower.address, NULL};
    wg_entry* entry = fake_control_entry(base, seeds);
    for (int i = 0; i < TURNS && follower.links_up == 0; i++) {
        turn();
    }
    ck_assert_int_eq(follower.links_up, 1);
    wg_time since = wg_now();
    fake_control_send_leader(&follower, NULL);
    bool in_time = wait_connected(&follower, since, 100) < LEADERLESS_TIME;
    if (in_time) {
        ck_assert_int_eq(follower.links_down, 0);
        fake_control_send_leader(&follower, leader.address);
        for (int i = 0; i < TURNS && leader.reports == 0; i++) {
            turn();
        }
        ck_assert_int_eq(follower.links_down, 1);
        ck_assert_int_eq(leader.links_up, 1);
        ck_assert_int_gt(leader.reports, 0);
    }
    wg_entry_shutdown(entry);
    fake_control_end(&follower);
    fake_control_end(&leader);
    event_base_free(base);
    return in_time;
}

/* An entry host stays connected for LEADERLESS_TIME to a control that knows no leader, since the
   control learns of a new leader sooner than the host finds it by connecting to others. */
START_TEST(entry_host_waits_where_no_leader_is_known_yet) {
    int attempts = 0;
    while (!host_waits_for_leader()) {
        ck_assert_int_lt(attempts++, ATTEMPTS_MAX);
    }
}
END_TEST

/* A seed address may belong to an entry host, which never leads: no wait there. */
START_TEST(entry_host_does_not_wait_at_another_entry_host) {
    fake_control other;
    begin();
    fake_control_begin_as(base, &other, 1, WGW_ROLE_ENTRY);
    char* seeds[] = {other.address, NULL};
    wg_entry* entry = fake_control_entry(base, seeds);
    for (int i = 0; i < TURNS && other.links_up == 0; i++) {
        turn();
    }
    fake_control_send_leader(&other, NULL);
    for (int i = 0; i < 100 && other.links_down == 0; i++) {
        turn();
    }
    ck_assert_int_eq(other.links_down, 1);
    wg_entry_shutdown(entry);
    fake_control_end(&other);
    event_base_free(base);
}
END_TEST

/* A control that learns of no leader may be partitioned: the host disconnects after
   LEADERLESS_TIME. */
START_TEST(control_without_a_leader_is_disconnected) {
    fake_control follower;
    begin();
    fake_control_begin(base, &follower, 1);
    char* seeds[] = {follower.address, NULL};
    wg_entry* entry = fake_control_entry(base, seeds);
    for (int i = 0; i < TURNS && follower.links_down == 0; i++) {
        turn();
        if (follower.links_up > 0 && follower.links_down == 0) {
            fake_control_send_leader(&follower, NULL);
        }
    }
    ck_assert_int_eq(follower.links_down, 1);
    wg_entry_shutdown(entry);
    fake_control_end(&follower);
    event_base_free(base);
}
END_TEST

/* ---- cache lists of targets -------------------------------------------------------------------
 */

enum {
    LISTS_FAILED_FIRST = 1 /* error answers before the list is returned */
};

static int lists_requested;

static void on_list_request(struct evhttp_request* request, void* user_data) {
    (void)user_data;
    lists_requested++;
    const char* expected =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Walnutgate-Expect-Target");
    ck_assert_str_eq(expected ? expected : "", "t-1");
    if (lists_requested <= LISTS_FAILED_FIRST) {
        evhttp_send_reply(request, 503, "busy", NULL);
        return;
    }
    struct evbuffer* out = evbuffer_new();
    evbuffer_add_printf(out, "{\"epoch\":1,\"held\":[[\"\",\"5c1e\",800,\"m\"]]}");
    evhttp_send_reply(request, 200, "OK", out);
    evbuffer_free(out);
}

static const char engine_document[] =
    "{\"version\":1,\"services\":[{\"name\":\"e\",\"engine\":{\"slots\":4,"
    "\"memory_tokens\":1000}}],\"routes\":[],\"limits\":{},\"workspaces\":[]}";

static void send_leader_state(fake_control* f, const char* target) {
    fake_control_send_leader_state(
        f, &(fake_update){.version = 1, .document = engine_document, .target = target});
}

/* A new coordinator of a target requests its cache list once, and again after a failed request. */
START_TEST(new_coordinator_requests_cache_lists) {
    fake_control leader;
    begin();
    fake_control_begin(base, &leader, 1);
    char* target = local_address(31, 18007);
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    wgn_split_address(target, ip, &port);
    struct evhttp* http = evhttp_new(base);
    ck_assert_int_eq(evhttp_bind_socket(http, ip, port), 0);
    evhttp_set_cb(http, "/v1/cache", on_list_request, NULL);
    char* seeds[] = {leader.address, NULL};
    lists_requested = 0;
    wg_entry* entry = fake_control_entry(base, seeds);
    for (int i = 0; i < TURNS && lists_requested <= LISTS_FAILED_FIRST; i++) {
        turn();
        if (leader.links_up > 0 && i % 100 == 0) {
            send_leader_state(&leader, target);
        }
    }
    ck_assert_int_eq(lists_requested, LISTS_FAILED_FIRST + 1);
    for (int i = 0; i < 900; i++) {
        turn();
        if (i % 100 == 0) {
            send_leader_state(&leader, target);
        }
    }
    ck_assert_int_eq(lists_requested, LISTS_FAILED_FIRST + 1);
    wg_entry_shutdown(entry);
    evhttp_free(http);
    fake_control_end(&leader);
    event_base_free(base);
    g_free(target);
}
END_TEST

/* ---- orders that a leader refuses -------------------------------------------------------------
 */

static int order_status;

static void on_order_answer(struct evhttp_request* request, void* user_data) {
    (void)user_data;
    order_status = request ? evhttp_request_get_response_code(request) : -1;
}

/* A stalled leader may refuse an order and then renew its lease without announcing that it lost it.
   The host must send the order again, or the operator's request fails with 503. */
START_TEST(refused_order_is_sent_again) {
    enum {
        ORDER_TURNS = 600 /* loop turns of 1 ms, fewer than the 900 ms timeout of the order */
    };
    fake_control leader;
    begin();
    fake_control_begin(base, &leader, 1);
    char* seeds[] = {leader.address, NULL};
    wg_entry* entry = fake_control_entry(base, seeds);
    for (int i = 0; i < TURNS && leader.reports == 0; i++) {
        turn();
    }
    fake_control_send_leader_state(
        &leader, &(fake_update){.version = 1, .document = "{}", .target = "127.0.0.1:9"});
    for (int i = 0; i < 100; i++) {
        turn();
    }
    leader.refusals = 1;
    char* orders = local_address(11, 18004);
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    ck_assert(wgn_split_address(orders, ip, &port));
    struct evhttp_connection* connection = evhttp_connection_base_new(base, NULL, ip, port);
    struct evhttp_request* request = evhttp_request_new(on_order_answer, NULL);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "orders");
    order_status = 0;
    evhttp_make_request(connection, request, EVHTTP_REQ_PUT, "/v1/evacuations/dc");
    for (int i = 0; i < ORDER_TURNS && order_status == 0; i++) {
        turn();
    }
    ck_assert_int_eq(order_status, 200);
    ck_assert_int_eq(leader.evacuations, 2);
    evhttp_connection_free(connection);
    wg_entry_shutdown(entry);
    fake_control_end(&leader);
    event_base_free(base);
    g_free(orders);
}
END_TEST

START_TEST(cache_lists_are_parsed_strictly) {
    static const char good[] =
        "{\"epoch\":3,\"held\":[[\"\",\"5c1e\",800,\"m\"],[\"\",\"aa\",0,\"m\"],[\"\",7,5],"
        "[],3,[\"\",\"91bd\",1,\"m\"]]}";
    GArray* parts = wg_cache_list_parse(good, sizeof good - 1);
    ck_assert_ptr_nonnull(parts);
    ck_assert_uint_eq(parts->len, 2);
    ck_assert_uint_eq(g_array_index(parts, uint64_t, 0), wg_hash("5c1e", 4, 0));
    ck_assert_uint_eq(g_array_index(parts, uint64_t, 1), wg_hash("91bd", 4, 0));
    g_array_unref(parts);
    static const char* const bad[] = {"", "{", "[]", "{}", "{\"held\":{}}", "{\"held\":3}"};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        ck_assert_ptr_null(wg_cache_list_parse(bad[i], strlen(bad[i])));
    }
}
END_TEST

/* A host without a member list gets each list at once. A host that has a list gets the new leader's
   only after SETTLE_TIME, since an incomplete list would redirect callers. */
START_TEST(hosts_without_a_member_list_get_it_at_once) {
    char folder[] = "/tmp/wg-links-XXXXXX";
    ck_assert_ptr_nonnull(mkdtemp(folder));
    wgco_settings settings;
    const char* listen = local_control_settings(&settings, folder);
    GError* error = NULL;
    begin();
    wgco_control* control = wgco_setup(&(wgco_desc){.base = base, .settings = &settings}, &error);
    ck_assert_msg(control != NULL, "%s", error ? error->message : "");
    local_entry first = {.base = base};
    local_entry second = {.base = base};
    local_entry third = {.base = base, .members_change = 77}; /* has a list of a previous leader */
    local_entry_setup(&first, 1, listen);
    local_entry_setup(&second, 2, listen);
    local_entry_setup(&third, 3, listen);
    wg_time started_at = wg_now();
    for (int i = 0; i < TURNS && (first.members < 3 || second.members < 3); i++) {
        turn();
        if (i % 100 == 99) {
            local_entry_report(&first);
            local_entry_report(&second);
            local_entry_report(&third);
        }
    }
    ck_assert_int_eq(first.members, 3);
    ck_assert_int_eq(second.members, 3);
    ck_assert_int_lt(wg_now() - started_at, SETTLE_TIME);
    ck_assert_int_eq(third.members, -1);
    for (int i = 0; i < 2 * TURNS && third.members < 3; i++) {
        turn();
        if (i % 100 == 99) {
            local_entry_report(&first);
            local_entry_report(&second);
            local_entry_report(&third);
        }
    }
    ck_assert_int_eq(third.members, 3);
    ck_assert_int_ge(wg_now() - started_at, SETTLE_TIME);
    wgn_shutdown(first.net);
    wgn_shutdown(second.net);
    wgn_shutdown(third.net);
    wgco_shutdown(control);
    event_base_free(base);
    folder_wipe(folder);
    g_rmdir(folder);
}
END_TEST

/* Returns a listening socket that accepts connections and sends nothing, like a host that is just
   starting. */
static int unresponsive_listener(const char* where) {
    struct sockaddr_storage at;
    int size;
    int on = 1;
    ck_assert(wgn_parse_address(where, &at, &size));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ck_assert_int_eq(bind(fd, (struct sockaddr*)&at, (socklen_t)size), 0);
    ck_assert_int_eq(listen(fd, 8), 0);
    return fd;
}

static int accepted_within(int fd, int turns) {
    int num = 0;
    for (int i = 0; i < turns && num == 0; i++) {
        turn();
        num += accept(fd, NULL, NULL) >= 0;
    }
    return num;
}

/* A control redials a replica that did not answer as soon as that replica connects to it. */
START_TEST(connecting_replica_is_dialled_back_at_once) {
    char folder[] = "/tmp/wg-links-XXXXXX";
    ck_assert_ptr_nonnull(mkdtemp(folder));
    wgco_settings settings;
    const char* listen_at = local_control_settings(&settings, folder);
    char* other = local_address(22, LOCAL_FLEET_PORT);
    settings.seeds[1] = other;
    begin();
    int unresponsive = unresponsive_listener(other);
    wgco_control* control = wgco_setup(&(wgco_desc){.base = base, .settings = &settings}, NULL);
    ck_assert_ptr_nonnull(control);
    ck_assert_int_eq(accepted_within(unresponsive, 300), 1);
    ck_assert_int_eq(accepted_within(unresponsive, 300), 0); /* the control waits for an answer */
    fake_control starting = {0};
    wgn_peer self = {.role = WGW_ROLE_CONTROL, .identity = 5};
    uint16_t port;
    wgn_split_address(other, self.name, &port);
    wg_copy_name(self.address, sizeof self.address, other);
    starting.net = wgn_setup(&(wgn_desc){.base = base,
                                         .fleet_key = "a key for the fleet",
                                         .self = self,
                                         .on_up = fake_control_on_up,
                                         .on_frame = fake_control_on_frame,
                                         .on_down = fake_control_on_down,
                                         .user_data = &starting},
                             NULL);
    wgn_dial(starting.net, listen_at);
    ck_assert_int_eq(accepted_within(unresponsive, 300), 1);
    wgn_shutdown(starting.net);
    wgco_shutdown(control);
    close(unresponsive);
    event_base_free(base);
    folder_wipe(folder);
    g_rmdir(folder);
    g_free(other);
}
END_TEST

/* ---- a scripted leader ------------------------------------------------------------------------
 */

enum {
    LEADER_ID = 5
};

static uint64_t control_id; /* identity of the connected control; 0: none */

static void on_control_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    (void)user_data;
    control_id = peer->identity;
}

static void send_quorum(wgn_net* net, wgn_link link, wgr_message_type type, const char* leader) {
    Wgpb__Quorum out = WGPB__QUORUM__INIT;
    Wgpb__Replica replica = WGPB__REPLICA__INIT;
    Wgpb__Replica* replicas[] = {&replica};
    Wgpb__ReplicaSet set = WGPB__REPLICA_SET__INIT;
    out.type = type;
    out.from = LEADER_ID;
    out.to = control_id;
    out.term = 2;
    out.log_index = 7;
    out.log_term = 1;
    out.snapshot_index = 7;
    out.snapshot_term = 1;
    replica.id = LEADER_ID;
    replica.name = (char*)"leader";
    replica.address = (char*)leader;
    replica.voter = true;
    set.replicas = replicas;
    set.n_replicas = 1;
    out.replicas = type == WGR_MESSAGE_SNAPSHOT ? &set : NULL;
    ck_assert(wgn_send(net, link, WGW_TYPE_QUORUM, &out.base));
}

/* A replica that lost its disk learns of a leader before it knows its address: hosts get the leader
   only once the address is known. */
START_TEST(hosts_get_the_leader_address_once_known) {
    static const char leader[] = "10.9.8.7:17000";
    char folder[] = "/tmp/wg-links-XXXXXX";
    ck_assert_ptr_nonnull(mkdtemp(folder));
    wgco_settings settings;
    const char* listen_at = local_control_settings(&settings, folder);
    settings.first_start = (char*)"false";
    begin();
    wgco_control* control = wgco_setup(&(wgco_desc){.base = base, .settings = &settings}, NULL);
    ck_assert_ptr_nonnull(control);
    wgn_peer self = {
        .role = WGW_ROLE_CONTROL, .identity = LEADER_ID, .cluster = 3, .name = "leader"};
    wgn_net* net = wgn_setup(&(wgn_desc){.base = base,
                                         .fleet_key = "a key for the fleet",
                                         .self = self,
                                         .on_up = on_control_up,
                                         .on_frame = local_entry_on_frame,
                                         .on_down = local_entry_on_down,
                                         .user_data = &(local_entry){0}},
                             NULL);
    wgn_link link = wgn_dial(net, listen_at);
    local_entry host = {.base = base};
    local_entry_setup(&host, 1, listen_at);
    control_id = 0;
    for (int i = 0; i < TURNS && (!control_id || !host.connected); i++) {
        turn();
    }
    send_quorum(net, link, WGR_MESSAGE_APPEND, "");
    for (int i = 0; i < 60; i++) {
        turn();
    }
    ck_assert_str_eq(host.leader, "");
    send_quorum(net, link, WGR_MESSAGE_SNAPSHOT, leader);
    for (int i = 0; i < 200 && !host.leader[0]; i++) {
        turn();
    }
    ck_assert_str_eq(host.leader, leader);
    wgn_shutdown(host.net);
    wgn_shutdown(net);
    wgco_shutdown(control);
    event_base_free(base);
    folder_wipe(folder);
    g_rmdir(folder);
}
END_TEST

WG_TEST_MAIN("leader links", hosts_get_the_leader_address_once_known,
             connecting_replica_is_dialled_back_at_once, new_coordinator_requests_cache_lists,
             cache_lists_are_parsed_strictly, entry_host_waits_where_no_leader_is_known_yet,
             entry_host_does_not_wait_at_another_entry_host,
             control_without_a_leader_is_disconnected, refused_order_is_sent_again,
             hosts_without_a_member_list_get_it_at_once)
