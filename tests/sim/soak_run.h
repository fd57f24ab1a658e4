#pragma once
/*
    soak_run.h -- one run of the fault soak: real processes under injected faults

    Guarantees checked, as callers, operators and targets observe them:
        - a request that must not be repeated runs at most once; one refused with 429 or 503 never
          runs
        - an answer is complete and belongs to its request; a stream that ends as complete has every
          event once, in order
        - an acknowledged configuration is never lost: no later read is older, and each version
          reads back as it was sent
        - no request reaches a target later than two seconds after its drain was acknowledged,
          except around faults
        - a cold target receives no more requests in any second than two coordinators may grant,
          under any faults
        - no request reaches a target of an evacuated data centre from two seconds after the
          evacuation was acknowledged until its end is requested, except around faults; this holds
          even if all replicas restarted in between
        - a host sends at most two requests to a target within a backoff period that the target
          asked it for, and none later than two seconds after the target notified it of draining,
          unless the host's process or the links to the target were disturbed
        - in a run with releases, all events of a stream are of one software version, also if its
          caller takes it up at another host
        - no entry process ends unless a fault ends it; in a run with slow callers, answers to
          callers that read slowly are right too
        - once the fault phase is over, a request that crashed three targets is sent to at most
          three more by all hosts together
        - no host refuses a route for good (401, 403, 404) that was added more than two seconds
          before the request was sent, whatever faults there are
        - within a bounded time after the last fault every entry host serves, applies the newest
          acknowledged configuration and no older one, and reads it back
*/
#include "wg_base.h"

typedef struct {
    uint64_t seed;
    int seconds;  /* length of the fault phase, default 12 */
    int hosts;    /* default 4 */
    int disks;    /* hosts with a disk, default 3 */
    bool calm;    /* no faults */
    bool drains;  /* planned drains of targets are the only faults */
    bool harsh;   /* deployed timing; process stalls, power losses with lost disks, permanently
                     replaced hosts */
    bool crashes; /* a request that crashes each target that runs it is sent repeatedly */
    /* with `crashes`: the requests have a part of their prompts in common, and nothing else */
    bool crash_parts;
    bool host_replacements; /* harsh, these faults only: a host is replaced, leaders stall, and all
                               power and one disk are lost seconds after the replacement started */
    bool standstills;       /* these faults only: hosts with all their processes stand still for
                               seconds, replicas answer nothing, or both at once */
    bool colds;         /* harsh, these faults only: targets restart cold while their coordinators
                             change */
    bool overloads;     /* targets refuse requests with backoff hints, beside all other faults */
    bool slow_callers;  /* some callers read slowly or nothing; hosts have a bound on held bytes */
    bool load_control;  /* admission and overload control are on */
    bool handoff;       /* entry hosts hand requests off to each other */
    bool releases;      /* targets of two software versions; a restarted one may have the other.
                           Callers take up streams that broke off */
    bool target_faults; /* targets abort, fail and refuse a part of their requests */
    bool keep;          /* keep the folder with the logs after a good run too */
} soak_desc;

typedef struct {
    bool good;
    char reason[400]; /* first violated guarantee */
    char folder[64];
    int requests;
    int complete;
    int refused;
    int failed;
    int faults;
    int acknowledged;      /* acknowledged configurations */
    int evacuations;       /* acknowledged evacuations */
    int replaced;          /* permanently replaced hosts */
    int disks_lost;        /* disks lost in power losses */
    int cold_max;          /* max requests that a cold target received in a second */
    int crashes;           /* targets that a request crashed */
    int overloads;         /* overloads of targets that were injected */
    int excused;           /* requests against a target's hint or drain, excused by a fault */
    int slow_complete;     /* whole answers to callers that read slowly */
    int slow_broken;       /* answers to such callers that broke off */
    int cut;               /* callers that hosts cut off, as far as their logs tell */
    int taken_up;          /* streams that callers took up */
    int taken_up_complete; /* those of them that went on to their end */
    int handed_off;        /* handed-off requests that ended, as far as logs tell */
    int loop_lag_ms;       /* max event-loop delay of the soak process, milliseconds */
    wg_time recovery_time; /* from the last fault until all hosts served again */
} soak_result;

soak_result soak_run(const soak_desc* desc);
