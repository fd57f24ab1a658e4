/* soak_standstill.c -- faults of a run with `standstills`

   A host whose processes all stand still for seconds, as on a machine that swaps or whose
   hypervisor moves it; a replica whose links answer nothing, as if its machine had gone without a
   reset; both at once. At most as many replicas are affected at a time as the fleet has to bear. */
#include <signal.h>

#include "soak_internal.h"

enum {
    STILL_MS_MIN = 1500,
    STILL_MS_SPAN = 4500, /* to well beyond the time within which a change is in force */
    GAP_MS_MIN = 300,
    GAP_MS_SPAN = 1500
};

/* ---- helpers --------------------------------------------------------------------------------- */

static int replicas_affected(const soak* s) {
    int num = 0;
    for (int i = 0; i < s->h.num; i++) {
        num += s->h.hosts[i].disk && soak_is_repairing(s, i, false);
    }
    return num;
}

static int random_still_ms(soak* s) {
    return STILL_MS_MIN + (int)soak_random(s, STILL_MS_SPAN);
}

static void stop_host(soak* s, int number, int ms) {
    host* w = &s->h.hosts[number];
    int at = soak_begin_disturbance(s);
    kill(w->entry, SIGSTOP);
    soak_plan_repair(s, REPAIR_CONTINUE_ENTRY, number, false, ms, at);
    if (w->disk) {
        kill(w->replica, SIGSTOP);
        soak_plan_repair(s, REPAIR_CONTINUE_REPLICA, number, false, ms, at);
    }
}

static void silence_replica(soak* s, int number, int ms) {
    static const proxy_mode modes[] = {PROXY_BLOCK, PROXY_BLOCK_TO, PROXY_BLOCK_FROM};
    proxy_set(s->h.hosts[number].links, modes[soak_random(s, G_N_ELEMENTS(modes))]);
    soak_plan_repair(s, REPAIR_LINKS, number, false, ms, soak_begin_disturbance(s));
}

/* ---- functions of the soak ------------------------------------------------------------------- */

void soak_inject_standstill_fault(soak* s, wg_time now) {
    s->next_fault_at = now + (GAP_MS_MIN + (wg_time)soak_random(s, GAP_MS_SPAN)) * WG_USEC_PER_MSEC;
    int number = (int)soak_random(s, (uint64_t)s->h.num);
    const host* w = &s->h.hosts[number];
    bool bears = !w->disk || replicas_affected(s) < s->h.losses;
    if (w->absent || soak_is_repairing(s, number, false) || !bears) {
        return;
    }
    int ms = random_still_ms(s);
    if (w->disk && soak_random(s, 3) == 0) {
        silence_replica(s, number, ms);
    } else {
        stop_host(s, number, ms);
    }
}
