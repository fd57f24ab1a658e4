#pragma once
/*
    proc.h -- a fleet of real processes for tests and benches, on loopback addresses of its own

    Starts the built programs in a temporary folder. Programs are found in the folder of the running
    test program. Waits poll a condition until a timeout.
*/
#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

#include "wg_base.h"

enum {
    PROC_MAX = 160,
    PROC_CONTROLS_MAX = 5
};

typedef struct {
    int controls;
    int routers;
    int engines;
    int services;
    int engine_slots;         /* default 8 */
    int engine_pace_us;       /* default 2000 */
    const char* router_extra; /* further settings, with their groups; %d: the part of the
                                 fleet's loopback addresses, 127.%d.x.y */
    const char* control_extra;
    int workspaces; /* number of workspaces w0, w1, ... with keys key-w0, ...; default 3 */
    int over_percent;
    bool slow_syncs; /* disk syncs of controls can be delayed, see proc_set_sync_delay() */
} proc_desc;

typedef struct {
    char name[32];
    pid_t pid;        /* 0: not running */
    char address[64]; /* for callers (router), requests (target) or the fleet (control) */
    char operators[64];
    char settings[128];
} proc_process;

typedef struct {
    proc_desc desc;
    char folder[64];
    char bin[256];
    char operator_key[65];
    int loopback_part_number; /* P in the fleet's addresses 127.P.x.y */
    proc_process processes[PROC_MAX];
    int num;
    bool keep; /* keep the folder after the run */
} proc_fleet;

typedef struct {
    int status; /* 0: no answer */
    char* body;
    char verdict[24];
    int retry_after; /* seconds, -1 without the header */
} proc_answer;

/* Starts all processes and waits until each router serves. */
void proc_fleet_start(proc_fleet* fleet, const proc_desc* desc);
/* Stops all processes with SIGTERM; asserts that each exits with status 0. */
void proc_fleet_stop(proc_fleet* fleet);
/* Kills all processes. */
void proc_fleet_kill(proc_fleet* fleet);
proc_process* proc_find(proc_fleet* fleet, const char* name);
void proc_start(proc_fleet* fleet, proc_process* process);
void proc_signal(proc_process* process, int signal);
/* Waits until a process exits; returns its exit status, or -1 when a signal ended it. */
int proc_wait(proc_process* process);
/* Sends SIGKILL and waits until the process exits. */
void proc_kill(proc_process* process);
/* Delays all disk syncs of controls that begin from now on; needs `slow_syncs`. */
void proc_set_sync_delay(const proc_fleet* fleet, int ms);
/* Empties a control's data folder. */
void proc_wipe_disk(proc_fleet* fleet, proc_process* process);
/* The control that leads; waits for one, aborts if none does. */
proc_process* proc_leader(proc_fleet* fleet);

/* Sends one request and waits for the answer. `headers`: lines "Name: value\r\n", or NULL. */
proc_answer proc_request(const char* address, const char* method, const char* path, const char* key,
                         const char* headers, const char* body);
void proc_answer_clear(proc_answer* answer);
/* Sends raw bytes and returns what arrives until the peer closes or `ms` have passed. */
char* proc_send_raw(const char* address, const void* bytes, size_t size, int ms, gsize* out_size);
/* Runs walnutgatectl and returns its exit status; its output goes to *out unless NULL. */
int proc_run_ctl(proc_fleet* fleet, char** out, const char* first, ...) G_GNUC_NULL_TERMINATED;
/* An integer or boolean in a JSON document, by a path such as "log.term"; -1 when it is missing. */
int64_t proc_json_number(const char* json, const char* path);
/* proc_json_number() on a daemon's state dump, or on the journal of a fake target. */
int64_t proc_state_number(proc_fleet* fleet, proc_process* process, const char* path);
int64_t proc_journal_number(proc_process* process, const char* path);
/* Sets faults of a fake target: "name=value&name=value". */
void proc_set_faults(proc_process* process, const char* faults);
/* Waits until `condition` holds, at most `seconds`; returns whether it did. */
bool proc_wait_until(bool (*condition)(void* user_data), void* user_data, int seconds);
void proc_sleep(int ms);
