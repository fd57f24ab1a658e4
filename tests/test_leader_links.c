/* test_leader_links.c -- how entry hosts find the leader, and what a new leader tells them, with an
   entry host or a control that runs within the test */
#include <glib/gstdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <event2/event.h>

#include "folder.h"
#include "local_control.h"
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

static void fake_begin(fake_control* f, int number) {
    *f = (fake_control){.address = local_address(number, LOCAL_FLEET_PORT)};
    wgn_peer self = {.role = WGW_ROLE_CONTROL, .identity = (uint64_t)number, .cluster = 1};
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

WG_TEST_MAIN("leader links", an_entry_host_waits_where_no_leader_is_known_yet,
             a_control_that_hears_of_no_leader_is_left, hosts_that_know_no_others_are_told_at_once)
