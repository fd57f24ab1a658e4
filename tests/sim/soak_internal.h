#pragma once
/* soak_internal.h -- state of a fault soak, shared by the files soak_*.c */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "hosts.h"
#include "soak_run.h"
#include "wg_message.h"
#include "wg_watch.h"

enum {
    CALLERS = 16,
    VERSIONS_MAX = 400,
    STREAM_EVENTS = 25,
    PROMPT_PARTS = 12, /* shared between streams */
    DISTURBANCES_MAX = 1000,
    EVACUATIONS_MAX = 100,
    EVACUATION_BOUND = 2 * WG_USEC_PER_SEC, /* after its acknowledgement nothing more comes */
    CALL_TIME = 4 * WG_USEC_PER_SEC,
    CALM_TIME = 5 * WG_USEC_PER_SEC,        /* after a fault, before bounds in time hold again */
    FAULTS_AFTER = 1500 * WG_USEC_PER_MSEC, /* of the callers' begin */
    FORM_TIME = 60 * WG_USEC_PER_SEC,       /* for the fleet to serve for the first time */
    SETTLE_TIME = 20 * WG_USEC_PER_SEC,     /* after the last fault, to serve everywhere */
    CATCH_UP_TIME = 4 * WG_USEC_PER_SEC,    /* for a replica that is back with an empty disk */
    SPARES = 2                              /* hosts that may come in place of others */
};

/* What each host is asked at the end. */
typedef enum {
    PROBE_SERVICE = 0, /* a page of the plain service */
    PROBE_ENGINE,
    PROBE_NEWEST, /* a route that only the newest configuration has */
    PROBE_FORMER, /* a route that only the one before it had */
    PROBE_READ,   /* the configuration, read back */
    PROBES
} probe_kind;

typedef enum {
    CALL_UNSAFE = 0,
    CALL_SAFE,
    CALL_STREAM,
    CALL_KINDS
} call_kind;

typedef struct soak soak;

/* A caller with one request at a time. */
typedef struct {
    soak* s;
    int number;
    int host; /* number of the one that it is connected to */
    struct bufferevent* bev;
    struct event* timer; /* next step: start, or give up */
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
} caller;

typedef struct {
    wg_time from;
    wg_time until;    /* 0: goes on */
    bool planned;     /* bounds in time hold all the same */
    int entry;        /* number of the host whose entry process it concerns; 0: of none */
    int target_links; /* number of the target whose links it spoils; 0: of none */
} disturbance;

/* From the acknowledgement of an evacuation until its end was ordered first. */
typedef struct {
    wg_time from;
    wg_time until; /* 0: goes on */
} evacuation;

typedef struct {
    soak* s;
    bool put;
    int version; /* put: that is sent; get: acknowledged when it was asked for */
} order;

struct soak {
    soak_desc desc;
    soak_result result;
    struct event_base* base;
    hosts h;
    uint64_t counter;
    caller callers[CALLERS];
    bool formed; /* the fleet has served everywhere */
    bool quiet;  /* faults are over */
    bool ended;
    GHashTable* promised;   /* ids that were refused as not run */
    GHashTable* unsafe_ids; /* ids of requests that may not be repeated */
    int version;            /* last one made */
    int acknowledged;
    bool put_open;
    bool evacuating; /* the order now is to begin an evacuation; else to end one */
    bool evacuation_acknowledged;
    bool evacuation_open; /* an order is on its way */
    evacuation evacuations[EVACUATIONS_MAX];
    int evacuations_num;
    wg_time faults_until;
    wg_time last_fault;
    wg_time wiped_at;
    disturbance disturbances[DISTURBANCES_MAX];
    int disturbances_num;
    struct event* tick;
    wg_time operator_at;
    wg_time fault_at;
    wg_time crash_at; /* when the request that ends targets comes next */
    int crashes_sent;
    wg_time third_crash_at;
    wg_time last_crashes_at;        /* faults are over, the request still comes; 0: not yet */
    int crashes_late;               /* targets that it ended when all hosts had to know */
    GQueue repairs;                 /* repair*, by time */
    bool passed[HOSTS_MAX][PROBES]; /* since the last fault, with the newest version */
    int passed_version;
    wg_lag_monitor pulse; /* how late this process is */
    wg_time lost_until;   /* a lost disk counts until then */
    bool catches_up;      /* a disk is lost, or a host replaced, and counts still */
    wg_time lose_at;      /* successions: when a disk is lost; 0: nobody was replaced yet */
};

/* ---- soak_run.c ---- */
/* The run's next random number; it depends on the seed and on what was drawn before. */
uint64_t soak_draw(soak* s, uint64_t below);
/* A promise is broken; the first one is told. */
void soak_broken(soak* s, const char* format, ...) G_GNUC_PRINTF(2, 3);
host* soak_any_host(soak* s);
/* A fault begins; its place among the disturbances. */
int soak_disturb(soak* s);

/* ---- soak_probe.c ---- */
/* Ask each host what it has not passed yet. */
void soak_probe(soak* s);
bool soak_all_passed(const soak* s);
/* What is missing, for the report of a broken run; the caller frees it. */
char* soak_describe_probes(const soak* s);

/* ---- soak_harsh.c ---- */
/* One of the harsh faults; replicas and entry hosts are started again by soak_repair. */
void soak_strike_harsh(soak* s, wg_time now);

/* A host with a disk is replaced by a spare; false when none is left or may go now. */
bool soak_replace_host(soak* s, int number, wg_time now);
/* Short of power at once: all hosts; so many of them lose their disks too. */
void soak_power_off_all(soak* s, bool entries, int lose);
/* A replica has started, perhaps one that catches up. */
void soak_note_replica_start(soak* s);

/* ---- soak_succession.c ---- */
/* The next fault of a run that has successions only. */
void soak_strike_succession(soak* s, wg_time now);

/* ---- soak_cold.c ---- */
/* The next fault of a run that has cold targets only. */
void soak_strike_cold(soak* s, wg_time now);

/* ---- soak_crasher.c ---- */
/* Note targets that ended by themselves; those that a request ended start again. */
void soak_crash_watch(soak* s);
/* Let the request come when it is due. */
void soak_crash(soak* s, wg_time now);
/* After all other faults: the request comes for some seconds more; true once that is over. */
bool soak_crash_is_known(soak* s, wg_time now);

/* ---- soak_rest.c ---- */
/* A target turns requests away for a while and asks for rest; false when it cannot now. */
bool soak_make_busy(soak* s, int number);
void soak_end_busy(soak* s, int number);
/* What came to targets against their wish. */
void soak_check_unheeded(soak* s, const hosts_notes* notes);

/* ---- soak_callers.c ---- */
void soak_callers_make(soak* s);
void soak_callers_start(soak* s);
void soak_callers_end(soak* s);

/* ---- soak_operator.c ---- */
/* Send configurations and reads of them, and check what comes back. */
void soak_operate(soak* s, wg_time now);

/* ---- soak_faults.c ---- */
/* Let a fault strike when one is due. */
void soak_strike(soak* s, wg_time now);
/* End the faults whose time is over. */
void soak_repair(soak* s, wg_time now);
typedef enum {
    REPAIR_ENTRY = 0, /* start it again */
    REPAIR_REPLICA,
    REPAIR_TARGET,
    REPAIR_CONTINUE_ENTRY, /* after SIGSTOP */
    REPAIR_CONTINUE_REPLICA,
    REPAIR_DISK,
    REPAIR_LINKS,
    REPAIR_BUSY /* a target turns requests away */
} repair_kind;
/* End a fault after so many milliseconds; `at`: its place among the disturbances. */
void soak_plan_repair(soak* s, repair_kind kind, int number, bool target, int ms, int at);
bool soak_is_repairing(const soak* s, int number, bool target);
/* Is a replica down, standing still, or behind spoilt links now? */
bool soak_is_repairing_replicas(const soak* s);
/* SIGKILL, and wait for the end. */
void soak_kill(pid_t* pid);
/* The faults of a run that is not harsh, on one host or target. */
void soak_fault_entry(soak* s, int number);
void soak_fault_links(soak* s, int number, bool target);
void soak_fault_target(soak* s, int number);
