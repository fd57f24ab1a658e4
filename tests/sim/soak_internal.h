#pragma once
/* soak_internal.h -- state of a fault soak run, shared by the files soak_*.c */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "hosts.h"
#include "soak_run.h"
#include "wg_message.h"
#include "wg_watch.h"

enum {
    CALLERS_NUM = 16,
    VERSIONS_MAX = 400,
    STREAM_EVENTS = 25,
    PROMPT_PARTS = 12, /* distinct shared prompt parts of streams */
    DISTURBANCES_MAX = 1000,
    EVACUATIONS_MAX = 100,
    EVACUATION_TIMEOUT = 2 * WG_USEC_PER_SEC, /* from acknowledgement to effect */
    CALL_TIMEOUT = 4 * WG_USEC_PER_SEC,
    FAULT_GRACE_TIME = 5 * WG_USEC_PER_SEC,  /* no time bounds after a fault */
    FAULTS_DELAY = 1500 * WG_USEC_PER_MSEC,  /* from the start of the callers to the first fault */
    FORM_TIMEOUT = 60 * WG_USEC_PER_SEC,     /* from the start until all hosts serve */
    RECOVERY_TIMEOUT = 20 * WG_USEC_PER_SEC, /* from the last fault until all hosts serve */
    CATCH_UP_TIME = 4 * WG_USEC_PER_SEC,     /* for a replica that restarted with an empty disk */
    SPARE_HOSTS_NUM = 2,                     /* hosts that replace others during a run */
    TARGETS_NUM = 5,
    RELEASE_TARGETS_NUM = 9,           /* targets of a run with releases */
    ERA_VERSIONS = 4,                  /* versions after which another route is added for good */
    CHANGE_TIME = 2 * WG_USEC_PER_SEC, /* from an acknowledgement until all hosts obey */
    TAKE_UPS_MAX = 4                   /* requests that take up one stream */
};

/* Requests that check each host before the first and after the last fault. */
typedef enum {
    PROBE_SERVICE = 0, /* a request to the plain service */
    PROBE_ENGINE,
    PROBE_NEWEST,   /* a route that exists only in the newest configuration */
    PROBE_PREVIOUS, /* a route that existed only in the previous configuration */
    PROBE_READ,     /* the configuration, read back */
    PROBES_NUM
} probe_kind;

typedef enum {
    CALL_UNSAFE = 0,
    CALL_SAFE,
    CALL_STREAM,
    CALL_KINDS_NUM
} call_kind;

/* How a caller reads its answer. */
typedef enum {
    PACE_NORMAL = 0,
    PACE_SLOW,  /* a little at a time */
    PACE_SILENT /* nothing, then it disconnects */
} caller_pace;

typedef struct soak soak;

/* A caller with at most one request in flight. */
typedef struct {
    soak* s;
    int number;
    int host; /* number of the host that it is connected to */
    struct bufferevent* bev;
    struct event* timer; /* starts the next request, or times out the current one */
    bool busy;
    call_kind kind;
    char id[40];
    bool head_read;
    wg_message_head head;
    char* bytes;
    wg_body body;
    struct evbuffer* content;
    struct evbuffer* events;
    int events_seen;
    /* The next two are valid while `events_seen` is above 0. */
    char stream_id[40]; /* id of the request that brought the first event */
    int stream_version; /* version of the target that made it; 0: not named */
    int take_ups;       /* requests that have taken the stream up; 0: none */
    bool takes_up;      /* the next request takes the stream up */
    caller_pace pace;
    int large;            /* bytes of a large answer after its usual text; 0: not large */
    struct event* reader; /* continues reading at PACE_SLOW */
} caller;

typedef struct {
    wg_time from;
    wg_time until;    /* 0: still active */
    bool planned;     /* time bounds are checked during this fault */
    int entry;        /* number of the host whose entry process is affected; 0: none */
    int target_links; /* number of the target whose links are impaired; 0: none */
} disturbance;

/* From the acknowledgement of an evacuation until the first request to end it was sent. */
typedef struct {
    wg_time from;
    wg_time until; /* 0: still active */
} evacuation;

typedef struct {
    soak* s;
    bool put;
    int version; /* put: version sent; get: version acknowledged when the read was sent */
} operator_request;

struct soak {
    soak_desc desc;
    soak_result result;
    struct event_base* base;
    hosts h;
    uint64_t counter;
    caller callers[CALLERS_NUM];
    bool formed; /* all hosts have served once; callers and faults have started */
    bool faults_over;
    bool ended;
    GHashTable* refused_ids; /* ids of unsafe requests refused with 429 or 503 */
    GHashTable* unsafe_ids;  /* ids of requests that must run at most once */
    int version;             /* newest configuration version sent */
    int acknowledged;
    /* when the first version of each era was acknowledged; 0: not yet */
    wg_time eras[VERSIONS_MAX / ERA_VERSIONS + 1];
    wg_time next_era_check_at;
    bool put_in_flight;
    bool evacuating; /* the operator wants the data centre evacuated */
    bool evacuation_acknowledged;
    bool evacuation_in_flight;
    evacuation evacuations[EVACUATIONS_MAX];
    int evacuations_num;
    wg_time faults_until;
    wg_time last_fault;
    wg_time wiped_at;
    disturbance disturbances[DISTURBANCES_MAX];
    int disturbances_num;
    struct event* tick;
    wg_time next_operator_at;
    wg_time next_fault_at;
    wg_time next_crash_at;
    int crashes_sent;
    wg_time quarantine_at;  /* when the request had crashed QUARANTINE_CRASHES targets */
    wg_time crash_check_at; /* start of the crash check after the fault phase; 0: not started */
    int late_crashes;       /* crashes at a time when all hosts had to refuse the request */
    GQueue repairs;         /* repair* */
    bool probes_passed[HOSTS_MAX][PROBES_NUM]; /* with passed_version */
    int passed_version;
    wg_lag_monitor lag_monitor; /* of the soak process */
    wg_time loss_until;   /* the last lost disk or replaced host counts as a loss until then */
    bool catching_up;     /* a lost disk or replaced host still counts as a loss */
    wg_time next_loss_at; /* host_replacements: when a disk is lost; 0: no host replaced */
};

/* ---- soak_run.c ---- */
/* Random number below `below`; depends only on the seed and the number of earlier calls. */
uint64_t soak_random(soak* s, uint64_t below);
/* Records a violated guarantee; only the first one is reported. */
void soak_record_violation(soak* s, const char* format, ...) G_GNUC_PRINTF(2, 3);
/* A random host that is part of the fleet. */
host* soak_random_host(soak* s);
/* Starts a target, in a run with releases with a version drawn by the seed. */
void soak_start_target(soak* s, host_target* target);
/* Records the start of a fault; returns its index in `disturbances`. */
int soak_begin_disturbance(soak* s);

/* ---- soak_probe.c ---- */
/* Sends each host the probes that it has not passed yet. */
void soak_probe(soak* s);
bool soak_all_passed(const soak* s);
/* The probes that have not passed, for the report of a failed run; freed by the caller. */
char* soak_describe_probes(const soak* s);

/* ---- soak_harsh.c ---- */
/* Injects one harsh fault; soak_repair() restarts replicas and entry processes. */
void soak_inject_harsh_fault(soak* s, wg_time now);

/* Replaces a host that has a disk by a spare; false when no spare is left or the fleet could not
   bear another loss now. */
bool soak_replace_host(soak* s, int number, wg_time now);
/* Power loss on all replicas, and on all entry processes if `entries`; `lose` hosts lose their
   disks too. */
void soak_power_off_all(soak* s, bool entries, int lose);
/* A replica has started: extends the catch-up period when one is running. */
void soak_record_replica_start(soak* s);

/* ---- soak_succession.c ---- */
/* Injects the next fault of a run with `host_replacements`. */
void soak_inject_replacement_fault(soak* s, wg_time now);

/* ---- soak_eras.c ---- */
/* A version was acknowledged. */
void soak_record_era(soak* s, int version);
/* Checks that no host refuses a route that was added long ago, whatever happens to it. */
void soak_check_eras(soak* s, wg_time now);

/* ---- soak_standstill.c ---- */
/* Injects the next fault of a run with `standstills`. */
void soak_inject_standstill_fault(soak* s, wg_time now);

/* ---- soak_cold.c ---- */
/* Injects the next fault of a run with `colds`. */
void soak_inject_cold_fault(soak* s, wg_time now);

/* ---- soak_crasher.c ---- */
/* Reaps targets that exited by themselves, counts crashes, and schedules restarts. */
void soak_reap_targets(soak* s);
/* Sends the crashing request when it is due. */
void soak_send_crashing_request(soak* s, wg_time now);
/* After the fault phase: keeps sending the crashing request and checks that hosts refuse it; true
   once that check is over. */
bool soak_run_crash_check(soak* s, wg_time now);

/* ---- soak_rest.c ---- */
/* Makes a target refuse requests with a backoff hint; false when it is down or already faulty. */
bool soak_begin_overload(soak* s, int number);
void soak_end_overload(soak* s, int number);
/* Checks the requests that reached targets against a backoff hint or while draining. */
void soak_check_hints(soak* s, const hosts_events* events);

/* ---- soak_callers.c ---- */
void soak_callers_create(soak* s);
void soak_callers_start(soak* s);
void soak_callers_destroy(soak* s);

/* ---- soak_operator.c ---- */
/* Sends configurations, reads and evacuations, and checks the answers. */
void soak_run_operator(soak* s, wg_time now);

/* ---- soak_faults.c ---- */
/* Injects a fault when one is due. */
void soak_inject_fault(soak* s, wg_time now);
/* Ends the faults whose time is over. */
void soak_repair(soak* s, wg_time now);
typedef enum {
    REPAIR_ENTRY = 0, /* restart the entry process */
    REPAIR_REPLICA,
    REPAIR_TARGET,
    REPAIR_CONTINUE_ENTRY, /* after SIGSTOP */
    REPAIR_CONTINUE_REPLICA,
    REPAIR_DISK,
    REPAIR_LINKS,
    REPAIR_OVERLOAD /* end a target's overload */
} repair_kind;
/* Schedules the end of a fault after `ms` milliseconds; `at`: its index in `disturbances`. */
void soak_plan_repair(soak* s, repair_kind kind, int number, bool target, int ms, int at);
bool soak_is_repairing(const soak* s, int number, bool target);
/* Is a replica down, stopped, or behind impaired links now? */
bool soak_is_repairing_replicas(const soak* s);
/* Sends SIGKILL and waits for the process to exit. */
void soak_kill(pid_t* pid);
/* Faults on one host or target. */
void soak_fault_entry(soak* s, int number);
void soak_fault_links(soak* s, int number, bool target);
void soak_fault_target(soak* s, int number);
