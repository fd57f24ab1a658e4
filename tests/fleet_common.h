#pragma once
/* fleet_common.h -- helpers shared by the tests that start real processes */
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include "load.h"
#include "proc.h"
#include "wg_test.h"

/* The fleet of the test program. Programs that use only some of the helpers need
   -Wno-unused-function. */
static proc_fleet fleet;

static void start_fleet(const proc_desc* desc) {
    proc_fleet_start(&fleet, desc);
}

static int fetch_status(const char* router, const char* method, const char* path, const char* key,
                        const char* headers, const char* body) {
    proc_answer answer =
        proc_request(proc_find(&fleet, router)->address, method, path, key, headers, body);
    int status = answer.status;
    proc_answer_clear(&answer);
    return status;
}

static load_desc caller_load(load_kind kind, int num, wg_time duration) {
    load_desc desc = {.kind = kind,
                      .callers = num,
                      .duration = duration,
                      .key = "key-w0",
                      .tokens = 20,
                      .seed = 1,
                      .follow_entry = true};
    for (int i = 0; i < fleet.num; i++) {
        if (fleet.processes[i].name[0] == 'r') {
            desc.hosts[desc.hosts_num++] = fleet.processes[i].address;
        }
    }
    return desc;
}

static void ck_no_failures(const load_result* result) {
    ck_assert_msg(result->failed == 0, "%lu failed, last: %s", result->failed, result->last_error);
    ck_assert_uint_eq(result->mismatched, 0);
    ck_assert_uint_eq(result->token_errors, 0);
    ck_assert_uint_gt(result->complete, 0);
}

/* Checks that no action ran twice, and that none reported as not run reached a service. */
static void ck_actions_ran_once(const load_result* result) {
    for (int i = 0; i < fleet.num; i++) {
        proc_process* p = &fleet.processes[i];
        if (!g_str_has_prefix(p->name, "service")) {
            continue;
        }
        ck_assert_int_le(proc_journal_number(p, "most_runs"), 1);
        for (guint n = 0; n < result->not_run_ids->len; n++) {
            char* path =
                g_strdup_printf("runs.%s", (char*)g_ptr_array_index(result->not_run_ids, n));
            ck_assert_int_eq(proc_journal_number(p, path), -1);
            g_free(path);
        }
    }
}
