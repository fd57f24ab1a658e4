/* test_large_fleet.c -- a leader and hundreds of entry hosts

   A control runs within the test process; the entry hosts are simulated and report at the interval
   that the control tells them. */
#include <glib/gstdio.h>
#include <stdlib.h>

#include "folder.h"
#include "local_control.h"

enum {
    HOSTS = 800,
    START_MS = 30000, /* longest time until every host knows every other one */
    QUIET_MS = 4000   /* time for which nothing changes */
};

static struct event_base* base;
static wgco_control* control;
static wgco_settings settings;
static char folder[32];
static local_entry* hosts;
static wg_time* reported_at;

static void begin(void) {
    GError* error = NULL;
    g_strlcpy(folder, "/tmp/wg-large-XXXXXX", sizeof folder);
    ck_assert_ptr_nonnull(mkdtemp(folder));
    const char* listen_at = local_control_settings(&settings, folder);
    base = local_event_base();
    control = wgco_setup(&(wgco_desc){.base = base, .settings = &settings}, &error);
    ck_assert_msg(control != NULL, "%s", error ? error->message : "");
    hosts = g_new0(local_entry, HOSTS);
    reported_at = g_new0(wg_time, HOSTS);
    hosts[0].base = base;
    ck_assert(local_entry_connect(&hosts[0], 0, listen_at, START_MS));
    for (int i = 1; i < HOSTS; i++) {
        hosts[i].base = base;
        local_entry_setup(&hosts[i], i, listen_at);
        local_run_loop(base);
    }
}

static void end(void) {
    for (int i = 0; i < HOSTS; i++) {
        wgn_shutdown(hosts[i].net);
    }
    wgco_shutdown(control);
    event_base_free(base);
    g_free(hosts);
    g_free(reported_at);
    folder_wipe(folder);
    g_rmdir(folder);
}

/* Runs the loop once; each host whose report is due sends it. */
static void run_hosts(void) {
    wg_time now = wg_now();
    for (int i = 0; i < HOSTS; i++) {
        wg_time interval = MAX(hosts[i].report_ms, 100) * (wg_time)WG_USEC_PER_MSEC;
        if (hosts[i].connected && now - reported_at[i] >= interval) {
            reported_at[i] = now;
            local_entry_report(&hosts[i]);
        }
    }
    local_run_loop(base);
}

static int count_removed(void) {
    int removed = 0;
    for (int i = 0; i < HOSTS; i++) {
        removed += hosts[i].members_left;
    }
    return removed;
}

static bool all_know_all(void) {
    for (int i = 0; i < HOSTS; i++) {
        if (hosts[i].members != HOSTS) {
            return false;
        }
    }
    return true;
}

/* A leader that expects reports more often than it asks for them removes every host between two
   reports, and tells every other host of it. */
START_TEST(hosts_that_report_in_time_stay_listed) {
    begin();
    wg_time started_at = wg_now();
    while (!all_know_all() && wg_now() - started_at < START_MS * WG_USEC_PER_MSEC) {
        run_hosts();
    }
    ck_assert_msg(all_know_all(), "host 0 knows %d of %d hosts", hosts[0].members, HOSTS);
    int removed = count_removed();
    int states = hosts[0].states_received;
    wg_time quiet_since = wg_now();
    while (wg_now() - quiet_since < QUIET_MS * WG_USEC_PER_MSEC) {
        run_hosts();
    }
    ck_assert_int_eq(count_removed() - removed, 0);
    /* Without changes a host gets the answers to its reports only. */
    ck_assert_int_le(hosts[0].states_received - states, QUIET_MS / (int)hosts[0].report_ms + 1);
    end();
}
END_TEST

WG_TEST_MAIN("large fleet", hosts_that_report_in_time_stay_listed)
