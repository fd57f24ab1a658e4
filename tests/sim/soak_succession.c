/* soak_succession.c -- a host is replaced, leaders lose their majority, then a disk is lost

   Until the disk is lost, replicas stall one at a time for longer than the longest election
   timeout. With one voter of three removed, each stall costs the leader its majority. The disk is
   lost at least CATCH_UP_TIME after the replacement started: from then on the fleet has to bear
   it. */
#include <signal.h>

#include "soak_internal.h"

enum {
    STAND_MS_MIN = 550, /* above the election timeouts of deploy/replica.ini, 300 to 500 ms */
    STAND_MS_SPAN = 350,
    LEAD_MS_MIN = 500, /* between two stalls */
    LEAD_MS_SPAN = 1500,
    NEWCOMER_MS = 1000, /* until the replacement starts */
    LOSS_MS_SPAN = 11000
};

static int draw_replica(soak* s) {
    int number;
    do {
        number = (int)soak_draw(s, (uint64_t)s->h.num);
    } while (s->h.hosts[number].away || !s->h.hosts[number].disk);
    return number;
}

static void replace_one(soak* s, wg_time now) {
    if (!soak_replace_host(s, draw_replica(s), now)) {
        return;
    }
    wg_time loss = NEWCOMER_MS + (wg_time)soak_draw(s, LOSS_MS_SPAN);
    s->lose_at = now + CATCH_UP_TIME + loss * WG_USEC_PER_MSEC;
    s->faults_until = s->lose_at + WG_USEC_PER_SEC;
}

static void let_stand(soak* s) {
    int number = draw_replica(s);
    if (soak_is_repairing(s, number, false) || s->h.hosts[number].replica <= 0) {
        return;
    }
    kill(s->h.hosts[number].replica, SIGSTOP);
    int ms = STAND_MS_MIN + (int)soak_draw(s, STAND_MS_SPAN);
    soak_plan_repair(s, REPAIR_CONTINUE_REPLICA, number, false, ms, soak_disturb(s));
}

/* ---- functions of the soak --------------------------------------------------------------------
 */

void soak_strike_succession(soak* s, wg_time now) {
    if (s->lose_at == 0) {
        replace_one(s, now);
        s->fault_at = now + NEWCOMER_MS * WG_USEC_PER_MSEC / 2;
        return;
    }
    if (now < s->lose_at) {
        let_stand(s);
        wg_time lead = LEAD_MS_MIN + (wg_time)soak_draw(s, LEAD_MS_SPAN);
        s->fault_at = MIN(now + lead * WG_USEC_PER_MSEC, s->lose_at);
        return;
    }
    soak_power_off_all(s, soak_draw(s, 2), 1);
    s->fault_at = WG_TIME_NEVER;
}
