#pragma once
/*
    proc.h -- a fleet of real processes for tests and benches, on loopback addresses of its own

    Starts the built programs in a temporary folder; waits are by condition, with a generous end.
    Programs are found in the folder of the running test program.
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
    const char* router_extra; /* lines of further settings, each with its group; %d: the host part
                                 of the fleet's addresses, 127.%d.x.y */
    const char* control_extra;
    int workspaces; /* w0.. with keys key-w0.. ; default 3 */
    int over_percent;
} proc_desc;

typedef struct {
    char name[32];
    pid_t pid;        /* 0: not running */
    char address[64]; /* callers' (router), target's, fleet's (control) */
    char operators[64];
    char settings[128];
} proc_process;

typedef struct {
    proc_desc desc;
    char folder[64];
    char bin[256];
    char operator_key[65];
    int host; /* part of the loopback addresses */
    proc_process processes[PROC_MAX];
    int num;
    bool keep; /* the folder, for a look after a failure */
} proc_fleet;

typedef struct {
    int status; /* 0: no answer */
    char* body;
    char verdict[24];
    int retry_after; /* seconds, -1 without the header */
} proc_answer;

/* Start everything and wait until each router serves each service. */
void proc_fleet_start(proc_fleet* fleet, const proc_desc* desc);
/* Planned stop of all; asserts that each daemon leaves with status 0. */
void proc_fleet_stop(proc_fleet* fleet);
/* End all at once; nothing is asserted. */
void proc_fleet_kill(proc_fleet* fleet);
proc_process* proc_find(proc_fleet* fleet, const char* name);
void proc_start(proc_fleet* fleet, proc_process* process);
/* Send a signal. */
void proc_signal(proc_process* process, int signal);
/* Wait for the end of a process; its exit status, or -1 when a signal ended it. */
int proc_wait(proc_process* process);
/* kill -9 and wait. */
void proc_kill(proc_process* process);
/* Remove a control's data folder. */
void proc_wipe(proc_fleet* fleet, proc_process* process);
/* Name of the control that leads; waits for one. */
proc_process* proc_leader(proc_fleet* fleet);

/* One request; waits for the answer. `headers` are lines "Name: value\r\n" or NULL. */
proc_answer proc_ask(const char* address, const char* method, const char* path, const char* key,
                     const char* headers, const char* body);
void proc_answer_clear(proc_answer* answer);
/* Send raw bytes, read what comes until the peer closes or `ms` pass. */
char* proc_raw(const char* address, const void* bytes, size_t size, int ms, gsize* out_size);
/* Run walnutgatectl; its exit status; output in *out when not NULL. */
int proc_ctl(proc_fleet* fleet, char** out, const char* first, ...) G_GNUC_NULL_TERMINATED;
/* A number out of a JSON document, by a path such as "log.term"; -1 when it is not there. */
int64_t proc_number(const char* json, const char* path);
/* The same out of a daemon's state dump, or of a stand-in's journal. */
int64_t proc_state(proc_fleet* fleet, proc_process* process, const char* path);
int64_t proc_journal(proc_process* process, const char* path);
/* Set faults of a stand-in: "name=value&name=value". */
void proc_faults(proc_process* process, const char* faults);
/* Wait until `condition` holds, at most `seconds`; false when it did not. */
bool proc_until(bool (*condition)(void* user_data), void* user_data, int seconds);
void proc_sleep(int ms);
