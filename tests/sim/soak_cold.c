/* soak_cold.c -- targets restart cold while their coordinators change

   Replicas stall until the leader changes. A new leader lists hosts as their links come up, so the
   coordinator of a target can change several times in quick succession: this guards against more
   than two coordinators granting the same cold target. Hosts restart rarely, because a host that
   has just started grants nothing. */
#include <signal.h>

#include "soak_internal.h"

enum {
    GAP_MS_MIN = 100, /* between two faults */
    GAP_MS_SPAN = 500,
    TARGET_DOWN_MS = 200,
    ENTRY_DOWN_MS_MIN = 100,
    ENTRY_DOWN_MS_SPAN = 1500,
    STALL_MS_MIN = 300,
    STALL_MS_SPAN = 700
};

/* ---- helpers --------------------------------------------------------------------------------- */

static void restart_target(soak* s) {
    int number = (int)soak_random(s, (uint64_t)s->h.targets_num);
    if (soak_is_repairing(s, number, true)) {
        return;
    }
    soak_kill(&s->h.targets[number].pid);
    soak_plan_repair(s, REPAIR_TARGET, number, true, TARGET_DOWN_MS, soak_begin_disturbance(s));
}

static void restart_entry(soak* s, int number) {
    if (soak_is_repairing(s, number, false)) {
        return;
    }
    soak_kill(&s->h.hosts[number].entry);
    int ms = ENTRY_DOWN_MS_MIN + (int)soak_random(s, ENTRY_DOWN_MS_SPAN);
    soak_plan_repair(s, REPAIR_ENTRY, number, false, ms, soak_begin_disturbance(s));
}

static void stall_replica(soak* s) {
    host* w = soak_random_host(s);
    int number = w->number - 1;
    if (w->replica <= 0 || soak_is_repairing(s, number, false)) {
        return;
    }
    kill(w->replica, SIGSTOP);
    int ms = STALL_MS_MIN + (int)soak_random(s, STALL_MS_SPAN);
    soak_plan_repair(s, REPAIR_CONTINUE_REPLICA, number, false, ms, soak_begin_disturbance(s));
}

/* ---- functions of the soak ------------------------------------------------------------------- */

void soak_inject_cold_fault(soak* s, wg_time now) {
    s->next_fault_at = now + (GAP_MS_MIN + (wg_time)soak_random(s, GAP_MS_SPAN)) * WG_USEC_PER_MSEC;
    switch (soak_random(s, 10)) {
    case 0:
        restart_entry(s, soak_random_host(s)->number - 1);
        break;
    case 1:
    case 2:
    case 3:
    case 4:
        restart_target(s);
        break;
    default:
        stall_replica(s);
        break;
    }
}
