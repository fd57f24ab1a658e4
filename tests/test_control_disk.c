/* test_control_disk.c -- a control whose disk fails writes gives up leadership and recovers when
   the disk works again; the control runs within the test process */
#include <errno.h>
#include <glib/gstdio.h>
#include <stdlib.h>

#include "folder.h"
#include "local_control.h"
#include "wg_registry.h"
#include "wg_store_file.h"

enum {
    TURNS = 4000, /* loop turns of 1 ms to wait for an expected event */
    CONNECT_TURNS = 50
};

static struct event_base* base;
static char folder[40];
static wgco_settings settings;
static const char* listen_at;
static wgco_control* control;
static local_entry entry;

static int failure;     /* errno of failing disk operations; 0: none fails */
static int passes_left; /* disk operations that succeed before the first failure */

static int fault(_wgs_change change, void* user_data) {
    (void)change;
    (void)user_data;
    return passes_left-- > 0 ? 0 : failure;
}

static void fail_with(int error, int after) {
    failure = error;
    passes_left = after;
    _wgs_set_fault(error ? fault : NULL, NULL);
}

static void begin(void) {
    g_strlcpy(folder, "/tmp/wg-disk-XXXXXX", sizeof folder);
    ck_assert_ptr_nonnull(mkdtemp(folder));
    base = local_event_base();
    listen_at = local_control_settings(&settings, folder);
    GError* error = NULL;
    control = wgco_setup(&(wgco_desc){.base = base, .settings = &settings}, &error);
    ck_assert_msg(control != NULL, "%s", error ? error->message : "");
}

static void end(void) {
    wgn_shutdown(entry.net);
    wgco_shutdown(control);
    event_base_free(base);
    folder_wipe(folder);
    g_rmdir(folder);
}

/* Runs the loop, connecting as needed, until the control leads; false after TURNS without a
   leader. */
static bool wait_for_leadership(void) {
    for (int i = 0; i < TURNS && !entry.leads; i++) {
        if (!entry.link.id && i % CONNECT_TURNS == 0) {
            entry.link = wgn_dial(entry.net, listen_at);
        }
        if (entry.connected && i % CONNECT_TURNS == 0) {
            local_entry_report(&entry);
        }
        local_run_loop(base);
    }
    return entry.leads;
}

static void begin_as_leader(void) {
    begin();
    entry = (local_entry){.base = base};
    local_entry_setup(&entry, 1, listen_at);
    ck_assert(wait_for_leadership());
}

static void order(uint64_t version, bool read) {
    Wgpb__Configuration configuration = WGPB__CONFIGURATION__INIT;
    Wgpb__Order message = WGPB__ORDER__INIT;
    configuration.version = version;
    configuration.document = (ProtobufCBinaryData){2, (uint8_t*)"{}"};
    message.ticket = version;
    message.configuration = read ? NULL : &configuration;
    message.read_configuration = read;
    entry.outcome = -1;
    wgn_send(entry.net, entry.link, WGW_TYPE_ORDER, &message.base);
}

static int outcome_within(int turns) {
    for (int i = 0; i < turns && entry.outcome < 0; i++) {
        local_run_loop(base);
    }
    return entry.outcome;
}

static void put_version(uint64_t version) {
    order(version, false);
    ck_assert_int_eq(outcome_within(TURNS), WG_ORDER_DONE);
}

static uint64_t read_version(void) {
    order(1, true);
    ck_assert_int_eq(outcome_within(TURNS), WG_ORDER_DONE);
    return entry.read_version;
}

/* Whichever write fails, only changes that are on the disk are acknowledged, the process keeps
   running, and all acknowledged changes are there when the disk works again. */
START_TEST(control_gives_up_leadership_while_writes_fail) {
    static const int failures[] = {ENOSPC, EIO, EROFS};
    for (size_t kind = 0; kind < G_N_ELEMENTS(failures); kind++) {
        for (int after = 0; after < 4; after++) {
            begin_as_leader();
            put_version(10);
            fail_with(failures[kind], after);
            order(20, false);
            bool done =
                outcome_within(200) == WG_ORDER_DONE; /* possible if the first writes succeed */
            order(21, false);
            ck_assert_int_ne(outcome_within(200), WG_ORDER_DONE);
            ck_assert(!wgco_failed(control));
            for (int i = 0; i < 300; i++) {
                local_run_loop(base); /* several attempts to reopen the folder fail */
            }
            ck_assert(!wgco_failed(control));
            ck_assert(!entry.leads);
            fail_with(0, 0);
            ck_assert(wait_for_leadership());
            uint64_t version = read_version();
            ck_assert(version >= (done ? 20 : 10) && version <= 21);
            put_version(30);
            ck_assert_uint_eq(read_version(), 30);
            end();
        }
    }
}
END_TEST

/* A control that starts on a failing disk leads once the disk works. */
START_TEST(control_leads_once_the_disk_works) {
    fail_with(ENOSPC, 0);
    begin();
    entry = (local_entry){.base = base};
    local_entry_setup(&entry, 1, listen_at);
    for (int i = 0; i < 300; i++) {
        local_run_loop(base);
    }
    ck_assert(!wgco_failed(control));
    ck_assert(!entry.leads);
    json_t* dump = wgco_dump(control);
    ck_assert(json_object_get(dump, "disk_takes_no_writes_for_ms") != NULL);
    json_decref(dump);
    fail_with(0, 0);
    ck_assert(wait_for_leadership());
    put_version(10);
    end();
}
END_TEST

/* A planned stop does not wait for a failing disk. */
START_TEST(control_with_a_failing_disk_can_be_stopped) {
    fail_with(EROFS, 0);
    begin();
    wgco_stop(control);
    event_base_dispatch(base);
    ck_assert(!wgco_failed(control));
    fail_with(0, 0);
    entry = (local_entry){.base = base};
    local_entry_setup(&entry, 1, listen_at);
    end();
}
END_TEST

/* A damaged data file ends the process instead of being retried. */
START_TEST(damaged_folder_ends_the_process) {
    begin_as_leader();
    put_version(10);
    fail_with(EIO, 0);
    order(20, false);
    outcome_within(100);
    char* path = g_build_filename(folder, "state", NULL);
    ck_assert(g_file_set_contents(path, "damaged", -1, NULL));
    g_free(path);
    fail_with(0, 0);
    event_base_dispatch(base);
    ck_assert(wgco_failed(control));
    end();
}
END_TEST

WG_TEST_MAIN("control disk", control_gives_up_leadership_while_writes_fail,
             control_leads_once_the_disk_works, control_with_a_failing_disk_can_be_stopped,
             damaged_folder_ends_the_process)
