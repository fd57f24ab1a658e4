/* soak_succession.c -- a host is replaced, leaders lose their majority, then a disk is lost

   Until the disk is lost, replicas stall one at a time for longer than the longest election
   timeout. With one voter of three removed, each stall costs the leader its majority. The disk is
   lost at least CATCH_UP_TIME after the replacement started: from then on the fleet has to bear
   it. */
#include <signal.h>

#include "soak_internal.h"

enum {
    STALL_MS_MIN = 550, /* above the election timeouts of deploy/replica.ini, 300 to 500 ms */
    STALL_MS_SPAN = 350,
    STALL_GAP_MS_MIN = 500, /* between two stalls */
    STALL_GAP_MS_SPAN = 1500,
    REPLACEMENT_START_MS = 1000, /* until the replacement starts */
    LOSS_MS_SPAN = 11000
};

static int random_replica_index(soak* s) {
    int number;
    do {
        number = (int)soak_random(s, (uint64_t)s->h.num);
    } while (s->h.hosts[number].absent || !s->h.hosts[number].disk);
    return number;
}

static void replace_random_host(soak* s, wg_time now) {
    if (!soak_replace_host(s, random_replica_index(s), now)) {
        return;
    }
    wg_time loss = REPLACEMENT_START_MS + (wg_time)soak_random(s, LOSS_MS_SPAN);
    s->next_loss_at = now + CATCH_UP_TIME + loss * WG_USEC_PER_MSEC;
    s->faults_until = s->next_loss_at + WG_USEC_PER_SEC;
}

static void stall_random_replica(soak* s) {
    int number = random_replica_index(s);
    if (soak_is_repairing(s, number, false) || s->h.hosts[number].replica <= 0) {
        return;
    }
    kill(s->h.hosts[number].replica, SIGSTOP);
    int ms = STALL_MS_MIN + (int)soak_random(s, STALL_MS_SPAN);
    soak_plan_repair(s, REPAIR_CONTINUE_REPLICA, number, false, ms, soak_begin_disturbance(s));
}

/* ---- functions of the soak ------------------------------------------------------------------- */

void soak_inject_replacement_fault(soak* s, wg_time now) {
    if (s->next_loss_at == 0) {
        replace_random_host(s, now);
        s->next_fault_at = now + REPLACEMENT_START_MS * WG_USEC_PER_MSEC / 2;
        return;
    }
    if (now < s->next_loss_at) {
        stall_random_replica(s);
        wg_time gap = STALL_GAP_MS_MIN + (wg_time)soak_random(s, STALL_GAP_MS_SPAN);
        s->next_fault_at = MIN(now + gap * WG_USEC_PER_MSEC, s->next_loss_at);
        return;
    }
    soak_power_off_all(s, soak_random(s, 2), 1);
    s->next_fault_at = WG_TIME_NEVER;
}
