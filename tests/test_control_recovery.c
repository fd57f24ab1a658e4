/* test_control_recovery.c -- a control after a forced recovery of the replica set

   Guards against an acknowledgement that hosts which do not know of the recovery cannot obey, and
   against a replica of the replaced set that goes on. */
#include <glib/gstdio.h>
#include <stdlib.h>

#include "folder.h"
#include "local_control.h"
#include "wg_document.h"
#include "wg_store.h"
#include "wg_term.h"

enum {
    TURNS = 3000,           /* loop turns of 1 ms to wait for an expected event */
    CONFIRM_TURNS = 6000,   /* longer than the leader waits for hosts to confirm */
    UNCONFIRMED_TURNS = 500 /* shorter than that */
};

static struct event_base* base;
static wgco_control* control;
static wgco_settings settings;
static char folder[32];
static const char* listen_at;

static void run_turns(int num) {
    for (int i = 0; i < num; i++) {
        local_run_loop(base);
    }
}

static void start_control(void) {
    GError* error = NULL;
    control = wgco_setup(&(wgco_desc){.base = base, .settings = &settings}, &error);
    ck_assert_msg(control != NULL, "%s", error ? error->message : "");
}

/* Gives the folder the term of a set that was recovered once. */
static void recover_folder(void) {
    GError* error = NULL;
    wgs_store* store = wgs_open(&(wgs_desc){.folder = folder, .fresh_identity = 1}, &error);
    ck_assert_msg(store != NULL, "%s", error ? error->message : "");
    ck_assert(wgs_switch_cluster(store, wgs_query_content(store)->cluster,
                                 wg_recovery_first_term(1), NULL));
    wgs_close(store);
}

static void begin(bool recovered) {
    g_strlcpy(folder, "/tmp/wg-recovery-XXXXXX", sizeof folder);
    ck_assert_ptr_nonnull(mkdtemp(folder));
    listen_at = local_control_settings(&settings, folder);
    base = local_event_base();
    start_control();
    if (recovered) {
        wgco_shutdown(control);
        recover_folder();
        start_control();
    }
}

static void end(void) {
    wgco_shutdown(control);
    event_base_free(base);
    folder_wipe(folder);
    g_rmdir(folder);
}

static void connect_host(local_entry* host, int number) {
    host->base = base;
    ck_assert(local_entry_connect(host, number, listen_at, TURNS));
    local_entry_report(host);
}

static void order_configuration(local_entry* host, int version) {
    char* text = g_strdup_printf("{\"version\":%d,\"routes\":[]}", version);
    GBytes* complete = g_bytes_new_take(text, strlen(text));
    local_entry_order_configuration(host, version, complete);
    g_bytes_unref(complete);
}

static int outcome_within(local_entry* host, int turns) {
    for (int i = 0; i < turns && host->outcome < 0; i++) {
        local_run_loop(base);
    }
    return host->outcome;
}

static char* two_hosts[] = {(char*)"e1", (char*)"e2"};

/* The first host after a recovery names both; the acknowledgement waits for the other one. */
START_TEST(acknowledgement_waits_until_all_hosts_know_of_the_recovery) {
    begin(true);
    local_entry first = {.recovery = 1, .roster = two_hosts, .roster_num = 2};
    local_entry second = {0};
    connect_host(&first, 1);
    order_configuration(&first, 2);
    ck_assert_int_eq(outcome_within(&first, UNCONFIRMED_TURNS), -1);
    connect_host(&second, 2);
    ck_assert_int_eq(outcome_within(&first, UNCONFIRMED_TURNS), -1);
    second.recovery = 1;
    local_entry_report(&second);
    ck_assert_int_eq(outcome_within(&first, UNCONFIRMED_TURNS), WG_ORDER_DONE);
    wgn_shutdown(first.net);
    wgn_shutdown(second.net);
    end();
}
END_TEST

/* A host that cannot be reached does not prevent acknowledgements for good. */
START_TEST(acknowledgement_waits_for_a_bounded_time) {
    begin(true);
    local_entry first = {.recovery = 1, .roster = two_hosts, .roster_num = 2};
    connect_host(&first, 1);
    order_configuration(&first, 2);
    ck_assert_int_eq(outcome_within(&first, CONFIRM_TURNS), WG_ORDER_DONE);
    order_configuration(&first, 3);
    ck_assert_int_eq(outcome_within(&first, UNCONFIRMED_TURNS), WG_ORDER_DONE);
    wgn_shutdown(first.net);
    end();
}
END_TEST

START_TEST(acknowledgement_is_not_delayed_without_a_recovery) {
    begin(false);
    local_entry first = {0};
    connect_host(&first, 1);
    order_configuration(&first, 2);
    ck_assert_int_eq(outcome_within(&first, UNCONFIRMED_TURNS), WG_ORDER_DONE);
    wgn_shutdown(first.net);
    end();
}
END_TEST

/* A replica that a host tells of a recovery ends, and does not start again from its folder. */
START_TEST(replica_of_a_replaced_set_ends) {
    begin(false);
    local_entry host = {0};
    connect_host(&host, 1);
    host.recovery = 1;
    local_entry_report(&host);
    for (int i = 0; i < TURNS && !wgco_failed(control); i++) {
        local_run_loop(base);
    }
    ck_assert(wgco_failed(control));
    wgn_shutdown(host.net);
    wgco_shutdown(control);
    GError* error = NULL;
    control = wgco_setup(&(wgco_desc){.base = base, .settings = &settings}, &error);
    ck_assert_ptr_null(control);
    ck_assert_ptr_nonnull(strstr(error->message, "empty its data folder"));
    g_error_free(error);
    event_base_free(base);
    folder_wipe(folder);
    g_rmdir(folder);
}
END_TEST

WG_TEST_MAIN("control_recovery", acknowledgement_waits_until_all_hosts_know_of_the_recovery,
             acknowledgement_waits_for_a_bounded_time,
             acknowledgement_is_not_delayed_without_a_recovery, replica_of_a_replaced_set_ends)
