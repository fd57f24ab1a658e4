/* test_leader_links.c -- how entry hosts find the leader, and what a new leader tells them, with an
   entry host or a control that runs within the test */
#include <glib/gstdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include "folder.h"
#include "local_control.h"
#include "wg_cache_list.h"
#include "wg_entry.h"
#include "wg_test.h"

enum {
    TURNS = 2000, /* of the loop, a millisecond each, before something counts as missing */
    SETTLE_TIME = 1500 * WG_USEC_PER_MSEC /* of a new leader, for all to report to it */
};

static struct event_base* base;

static void begin(void) {
    base = local_base();
}

static void turn(void) {
    local_turn(base);
}

/* ---- a control that only says what it is told to ----------------------------------------------
 */

typedef struct {
    wgn_net* net;
    char* address;
    wgn_link link; /* of the entry host */
    int ups;
    int downs;
    int reports;
} fake_control;

static void on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    fake_control* f = user_data;
    if (peer->role == WGW_ROLE_ENTRY) {
        f->link = link;
        f->ups++;
    }
}

static void on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    (void)link;
    ((fake_control*)user_data)->reports += frame->type == WGW_TYPE_ENTRY_REPORT;
}

static void on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    ((fake_control*)user_data)->downs += peer != NULL;
}

static void fake_begin_as(fake_control* f, int number, wgw_role role) {
    *f = (fake_control){.address = local_address(number, LOCAL_FLEET_PORT)};
    wgn_peer self = {.role = role, .identity = (uint64_t)number, .cluster = 1};
    g_snprintf(self.name, sizeof self.name, "c%d", number);
    wg_copy_name(self.address, sizeof self.address, f->address);
    f->net = wgn_setup(&(wgn_desc){.base = base,
                                   .fleet_key = "a key for the fleet",
                                   .self = self,
                                   .on_up = on_up,
                                   .on_frame = on_frame,
                                   .on_down = on_down,
                                   .user_data = f},
                       NULL);
    ck_assert(wgn_listen(f->net, f->address, NULL));
}

static void fake_begin(fake_control* f, int number) {
    fake_begin_as(f, number, WGW_ROLE_CONTROL);
}

static void fake_end(fake_control* f) {
    wgn_shutdown(f->net);
    g_free(f->address);
}

/* It does not lead; `leader` NULL: it knows of none. */
static void fake_says(fake_control* f, const char* leader) {
    Wgpb__EntryState state = WGPB__ENTRY_STATE__INIT;
    state.leader_address = (char*)(leader ? leader : "");
    ck_assert(wgn_send(f->net, f->link, WGW_TYPE_ENTRY_STATE, &state.base));
}

static wg_entry* entry_begin(char** seeds) {
    static wg_entry_settings settings;
    settings = (wg_entry_settings){.name = "here",
                                   .data_centre = "dc",
                                   .callers_listen = local_address(11, 18001),
                                   .ready_listen = local_address(11, 18002),
                                   .entry_listen = local_address(11, 18003),
                                   .orders_listen = local_address(11, 18004),
                                   .fleet_listen = local_address(11, 18005),
                                   .seeds = seeds,
                                   .fleet_port = LOCAL_FLEET_PORT,
                                   .fleet_key = "a key for the fleet",
                                   .entry_keep_s = 1,
                                   .grace_s = 8,
                                   .link_silence_ms = 1200,
                                   .order_ms = 900,
                                   .retry_window_ms = 10000,
                                   .callers_max = 10};
    GError* error = NULL;
    wg_entry* entry = wg_entry_setup(&(wg_entry_desc){.base = base, .settings = &settings}, &error);
    ck_assert_msg(entry != NULL, "%s", error ? error->message : "");
    return entry;
}

/* A control that knows no leader yet hears of one sooner than the host finds one by asking others
   in turn. */
START_TEST(an_entry_host_waits_where_no_leader_is_known_yet) {
    fake_control follower;
    fake_control leader;
    begin();
    fake_begin(&follower, 1);
    fake_begin(&leader, 2);
    char* seeds[] = {follower.address, NULL};
    wg_entry* entry = entry_begin(seeds);
    for (int i = 0; i < TURNS && follower.ups == 0; i++) {
        turn();
    }
    ck_assert_int_eq(follower.ups, 1);
    fake_says(&follower, NULL);
    for (int i = 0; i < 100; i++) {
        turn();
    }
    ck_assert_int_eq(follower.downs, 0);
    fake_says(&follower, leader.address);
    for (int i = 0; i < TURNS && leader.reports == 0; i++) {
        turn();
    }
    ck_assert_int_eq(follower.downs, 1);
    ck_assert_int_eq(leader.ups, 1);
    ck_assert_int_gt(leader.reports, 0);
    wg_entry_shutdown(entry);
    fake_end(&follower);
    fake_end(&leader);
    event_base_free(base);
}
END_TEST

/* An entry host at a seed names controls and will never lead: nothing is waited for there. */
START_TEST(an_entry_host_does_not_wait_at_another_one) {
    fake_control other;
    begin();
    fake_begin_as(&other, 1, WGW_ROLE_ENTRY);
    char* seeds[] = {other.address, NULL};
    wg_entry* entry = entry_begin(seeds);
    for (int i = 0; i < TURNS && other.ups == 0; i++) {
        turn();
    }
    fake_says(&other, NULL);
    for (int i = 0; i < 100 && other.downs == 0; i++) {
        turn();
    }
    ck_assert_int_eq(other.downs, 1);
    wg_entry_shutdown(entry);
    fake_end(&other);
    event_base_free(base);
}
END_TEST

/* It may be cut off from the others: after a while another one is asked. */
START_TEST(a_control_that_hears_of_no_leader_is_left) {
    fake_control follower;
    begin();
    fake_begin(&follower, 1);
    char* seeds[] = {follower.address, NULL};
    wg_entry* entry = entry_begin(seeds);
    for (int i = 0; i < TURNS && follower.downs == 0; i++) {
        turn();
        if (follower.ups > 0 && follower.downs == 0) {
            fake_says(&follower, NULL);
        }
    }
    ck_assert_int_eq(follower.downs, 1);
    wg_entry_shutdown(entry);
    fake_end(&follower);
    event_base_free(base);
}
END_TEST

/* ---- what targets hold -------------------------------------------------------------------------
 */

enum {
    LISTS_FAILED_FIRST = 1 /* answers with an error before the list is told */
};

static int lists_asked;

static void on_list(struct evhttp_request* request, void* user_data) {
    (void)user_data;
    lists_asked++;
    const char* expected =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Walnutgate-Expect-Target");
    ck_assert_str_eq(expected ? expected : "", "t-1");
    if (lists_asked <= LISTS_FAILED_FIRST) {
        evhttp_send_reply(request, 503, "busy", NULL);
        return;
    }
    struct evbuffer* out = evbuffer_new();
    evbuffer_add_printf(out, "{\"epoch\":1,\"held\":[[\"\",\"5c1e\",800,\"m\"]]}");
    evhttp_send_reply(request, 200, "OK", out);
    evbuffer_free(out);
}

/* The leader's word: one engine, and this host the only one, so it coordinates it. */
static void fake_leads(fake_control* f, const char* target) {
    static const char document[] =
        "{\"version\":1,\"services\":[{\"name\":\"e\",\"engine\":{\"slots\":4,"
        "\"memory_tokens\":1000}}],\"routes\":[],\"limits\":{},\"workspaces\":[]}";
    Wgpb__Configuration configuration = WGPB__CONFIGURATION__INIT;
    Wgpb__EntryState state = WGPB__ENTRY_STATE__INIT;
    Wgpb__TargetRecord record = WGPB__TARGET_RECORD__INIT;
    Wgpb__EntryMember member = WGPB__ENTRY_MEMBER__INIT;
    Wgpb__TargetRecord* records[] = {&record};
    Wgpb__EntryMember* members[] = {&member};
    char* callers = local_address(11, 18001);
    record.id = (char*)"t-1";
    record.service = (char*)"e";
    record.address = (char*)target;
    record.data_centre = (char*)"dc";
    record.state = WG_TARGET_READY;
    record.number = 1;
    record.change = 1;
    member.name = (char*)"here";
    member.address = callers;
    member.data_centre = (char*)"dc";
    configuration.version = 1;
    configuration.document = (ProtobufCBinaryData){sizeof document - 1, (uint8_t*)document};
    state.leads = true;
    state.term = 1;
    state.leader_address = f->address;
    state.configuration = &configuration;
    state.targets = records;
    state.n_targets = 1;
    state.registry_change = 1;
    state.registry_reset = true;
    state.members = members;
    state.n_members = 1;
    state.members_change = 1;
    state.members_num = 1;
    state.report_ms = 100;
    ck_assert(wgn_send(f->net, f->link, WGW_TYPE_ENTRY_STATE, &state.base));
    g_free(callers);
}

/* Who begins to coordinate a target asks it what it holds: once, and again when that fails. */
START_TEST(a_coordinator_asks_its_targets_what_they_hold) {
    fake_control leader;
    begin();
    fake_begin(&leader, 1);
    char* target = local_address(31, 18007);
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    wgn_split_address(target, ip, &port);
    struct evhttp* http = evhttp_new(base);
    ck_assert_int_eq(evhttp_bind_socket(http, ip, port), 0);
    evhttp_set_cb(http, "/v1/cache", on_list, NULL);
    char* seeds[] = {leader.address, NULL};
    lists_asked = 0;
    wg_entry* entry = entry_begin(seeds);
    for (int i = 0; i < TURNS && lists_asked <= LISTS_FAILED_FIRST; i++) {
        turn();
        if (leader.ups > 0 && i % 100 == 0) {
            fake_leads(&leader, target);
        }
    }
    ck_assert_int_eq(lists_asked, LISTS_FAILED_FIRST + 1);
    for (int i = 0; i < 900; i++) {
        turn();
        if (i % 100 == 0) {
            fake_leads(&leader, target);
        }
    }
    ck_assert_int_eq(lists_asked, LISTS_FAILED_FIRST + 1);
    wg_entry_shutdown(entry);
    evhttp_free(http);
    fake_end(&leader);
    event_base_free(base);
    g_free(target);
}
END_TEST

START_TEST(lists_of_what_is_held_are_read_strictly) {
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

/* After a restart of the whole fleet hosts learn of each other as they come. One that knows a list
   is told of a new leader's only once all could report: a short one would send callers away. */
START_TEST(hosts_that_know_no_others_are_told_at_once) {
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
    local_entry third = {.base = base, .members_change = 77}; /* it has a list of a former leader */
    local_entry_begin(&first, 1, listen);
    local_entry_begin(&second, 2, listen);
    local_entry_begin(&third, 3, listen);
    wg_time begun = wg_now();
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
    ck_assert_int_lt(wg_now() - begun, SETTLE_TIME);
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
    ck_assert_int_ge(wg_now() - begun, SETTLE_TIME);
    wgn_shutdown(first.net);
    wgn_shutdown(second.net);
    wgn_shutdown(third.net);
    wgco_shutdown(control);
    event_base_free(base);
    folder_wipe(folder);
    g_rmdir(folder);
}
END_TEST

/* Somebody who takes connections and says nothing, as a host that is just starting. */
static int mute_listener(const char* where) {
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

/* A replica that dialled another one too early dials again when that one has come up. */
START_TEST(who_reaches_a_control_is_dialled_at_once) {
    char folder[] = "/tmp/wg-links-XXXXXX";
    ck_assert_ptr_nonnull(mkdtemp(folder));
    wgco_settings settings;
    const char* listen_at = local_control_settings(&settings, folder);
    char* other = local_address(22, LOCAL_FLEET_PORT);
    settings.seeds[1] = other;
    begin();
    int mute = mute_listener(other);
    wgco_control* control = wgco_setup(&(wgco_desc){.base = base, .settings = &settings}, NULL);
    ck_assert_ptr_nonnull(control);
    ck_assert_int_eq(accepted_within(mute, 300), 1);
    ck_assert_int_eq(accepted_within(mute, 300), 0); /* it waits for an answer */
    fake_control starting = {0};
    wgn_peer self = {.role = WGW_ROLE_CONTROL, .identity = 5};
    uint16_t port;
    wgn_split_address(other, self.name, &port);
    wg_copy_name(self.address, sizeof self.address, other);
    starting.net = wgn_setup(&(wgn_desc){.base = base,
                                         .fleet_key = "a key for the fleet",
                                         .self = self,
                                         .on_up = on_up,
                                         .on_frame = on_frame,
                                         .on_down = on_down,
                                         .user_data = &starting},
                             NULL);
    wgn_dial(starting.net, listen_at);
    ck_assert_int_eq(accepted_within(mute, 300), 1);
    wgn_shutdown(starting.net);
    wgco_shutdown(control);
    close(mute);
    event_base_free(base);
    folder_wipe(folder);
    g_rmdir(folder);
    g_free(other);
}
END_TEST

/* ---- a leader that only sends what it is told to ------------------------------------------------
 */

enum {
    LEADER_ID = 5
};

static uint64_t control_id; /* of the control that was reached */

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

/* A replica whose disk was lost hears of a leader before it knows where that is. */
START_TEST(hosts_are_told_where_the_leader_is_once_that_is_known) {
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
    local_entry_begin(&host, 1, listen_at);
    control_id = 0;
    for (int i = 0; i < TURNS && (!control_id || !host.up); i++) {
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

WG_TEST_MAIN("leader links", hosts_are_told_where_the_leader_is_once_that_is_known,
             who_reaches_a_control_is_dialled_at_once,
             a_coordinator_asks_its_targets_what_they_hold, lists_of_what_is_held_are_read_strictly,
             an_entry_host_waits_where_no_leader_is_known_yet,
             an_entry_host_does_not_wait_at_another_one, a_control_that_hears_of_no_leader_is_left,
             hosts_that_know_no_others_are_told_at_once)
