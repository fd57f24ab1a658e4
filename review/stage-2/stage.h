#pragma once
/*
    stage.h -- a small deployment of real processes for the cases of this review

    WHAT IT DOES
        Starts three machines on loopback addresses, 127.P.1.1 to 127.P.1.3. Each runs the two
        programs of deploy/system.toml, with the templates of deploy/ filled in. Workers, clients
        and the operator are stand-ins in this file; a worker is a process of its own, so that it
        can be killed. What was sent, answered and run goes to record.txt.

    USE
        1. stage_begin() starts the machines
        2. stage_put(), stage_wait_ready(), worker_start()
        3. client_open(), client_send(), client_read()
        4. stage_end() ends all processes and exits
*/
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
    STAGE_MACHINES = 3,
    STAGE_TEXT = 256,
    STAGE_BODY = 1 << 20
};

/* Exit statuses of a case. */
enum {
    STAGE_HELD = 0,
    STAGE_BROKEN = 1,
    STAGE_NOT_RUN = 2
};

typedef struct {
    char ip[32];
    pid_t entry;
    pid_t replica;
} stage_machine;

typedef struct {
    char folder[STAGE_TEXT];
    int part;     /* P of the addresses 127.P.x.y */
    bool trouble; /* false: TROUBLE=0 */
    int64_t began;
    stage_machine machines[STAGE_MACHINES];
} stage;

/* A worker's registration, and the process that serves its address. */
typedef struct {
    char id[64];
    char service[32];
    char address[64];
    char zone[32];
    int slots;
    int64_t born;
    int sequence;
    const char* state; /* "ready" or "draining" */
    const char* version;
    int first_beat_ms;      /* after its start: its first heartbeat comes late */
    const char* crash_part; /* of a prompt: it crashes once it has begun to write on it; or NULL */
    int surplus_each;       /* it sends more after each n-th whole answer; 0: never */
    pid_t pid;              /* of the process that serves and sends heartbeats; 0: none */
} stage_worker;

/* An answer as a client sees it. */
typedef struct {
    int status; /* 0: none */
    bool whole; /* it ended as its head says, or with a closed connection if that says nothing */
    bool reset; /* the connection was reset */
    bool keep;  /* the connection may be used again */
    size_t size;
    char head[8192];
    char* body;
} stage_answer;

/* ---- the deployment ---- */

void stage_begin(stage* s, const char* record);
void stage_end(stage* s, int status);
void stage_start_entry(stage* s, int machine);
void stage_start_replica(stage* s, int machine);
void stage_address(const stage* s, int machine, int port, char out[64]);
/* Waits until all machines are ready; they are once they have a configuration. */
bool stage_wait_ready(const stage* s);
/* Sends a whole configuration until a machine acknowledges it. */
bool stage_put(const stage* s, const char* document, int ms);
/* Whether the process has ended by itself; records how. */
bool stage_has_ended(const char* name, pid_t pid, int* how);
void stage_record(const char* format, ...) __attribute__((format(printf, 1, 2)));
int64_t stage_now_ms(void);
void stage_sleep_until(int64_t ms);
void stage_sleep(int ms);

/* ---- workers ----

   A path tells the worker what to do: /.../work-MS answers after MS; /.../events-N-MS-FRAMING sends
   N events, one each MS, delimited by "chunks" or by the "connection". */

void worker_init(const stage* s, stage_worker* w, const char* id, const char* service, int host);
/* Starts the process that serves the address. Unless `silent`, it sends heartbeats each 1,200 ms.
   SIGUSR1 makes it say `draining` from then on. */
void worker_start(stage* s, stage_worker* w, bool silent);
/* One heartbeat to a machine; returns the status. */
int worker_beat(const stage* s, stage_worker* w, int machine);
/* Sends "deregister" to a machine; returns the status. */
int worker_deregister(const stage* s, const stage_worker* w, int machine);
void worker_kill(stage_worker* w, int how);
/* Returns whether the process has just ended; starts a worker that has ended again after `back_ms`,
   under a new id. */
bool worker_restart_if_ended(stage* s, stage_worker* w, int64_t* back_at, int back_ms);

/* ---- clients ---- */

int client_open(const char* address);
bool client_send(int socket, const char* method, const char* path, const char* id,
                 const char* more_fields);
/* Reads one answer; false if nothing came within `ms`. */
bool client_read(int socket, int ms, stage_answer* answer);
void client_clear(stage_answer* answer);
/* A whole exchange on a connection of its own. */
int client_call(const char* address, const char* method, const char* path, const char* body, int ms,
                char* out, size_t out_size);
