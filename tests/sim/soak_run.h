#pragma once
/*
    soak_run.h -- one run of the fault soak: real processes, faults from outside, promises checked

    What callers, operators and targets see is checked:
        - a request that may not be repeated runs at most once; one that was refused with 429 or 503
          never runs
        - an answer is whole and belongs to its request; a stream that ends as whole has every event
          once, in order
        - an acknowledged configuration is never lost: no later read is older, and each version
          reads back as it was sent
        - no request reaches a target two seconds after its acknowledged drain, while no fault is
          near
        - a target that is cold gets no more in any second than two coordinators may grant it,
          whatever faults there are
        - no request reaches a target of an evacuated data centre from two seconds after the
          evacuation was acknowledged until its end is ordered, while no fault is near; also when
          all replicas ended meanwhile
        - more than two requests reach a target from a host within a rest that it had asked that
          host for, or one later than two seconds after it had told that host that it leaves, only
          where that host's process or the links to the target were disturbed meanwhile
        - a request under which three targets had ended is sent to three more at most once the
   faults are over, by all hosts together
        - soon after the last fault every entry host serves again, obeys the newest configuration
          that was acknowledged and no older one, and reads it back
*/
#include "wg_base.h"

typedef struct {
    uint64_t seed;
    int seconds;  /* of faults, default 12 */
    int hosts;    /* default 4 */
    int disks;    /* of them, default 3 */
    bool calm;    /* no faults at all */
    bool drains;  /* no faults but planned drains of targets */
    bool harsh;   /* the deployed waits; processes that are late, losses of power with disks, hosts
                     that are replaced for good */
    bool crashes; /* a request that ends each target that runs it comes again and again */
    bool successions; /* harsh, and no other faults: a host is replaced, leaders fall, and some
                         seconds after the newcomer's start a disk is lost with all power */
    bool colds; /* harsh, and no other faults: targets start again, cold, while the hosts that grant
them requests come and go */
    bool rests; /* targets turn requests away and ask for rest, beside all other faults */
    bool spoiled; /* targets cut off, fail and refuse a part of their requests */
    bool keep;    /* the folder with the logs, also after a good run */
} soak_desc;

typedef struct {
    bool good;
    char reason[400]; /* of the first broken promise */
    char folder[64];
    int requests;
    int whole;
    int refused;
    int failed;
    int faults;
    int acknowledged; /* configurations */
    int evacuations;  /* acknowledged */
    int replaced;     /* hosts, for good */
    int disks_lost;   /* in losses of power */
    int cold_most;    /* requests that a cold target got in a second */
    int crashes;      /* targets that a request ended */
    int busy;         /* times that a target turned requests away */
    int excused;      /* requests against a target's wish, each for a fault of that moment */
    int late_ms;      /* at most, of this process itself */
    wg_time back;     /* from the last fault until all served again */
} soak_result;

soak_result soak_run(const soak_desc* desc);
