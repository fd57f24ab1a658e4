/* soak_harsh.c -- faults of a harsh run

   Repeated process stalls of tens to hundreds of milliseconds, as on a machine that is overloaded
   or waits for its disk; simultaneous power losses with as many lost disks as the fleet has to
   bear; hosts that are permanently replaced by empty ones.

   At most as many disks are lost as the fleet can bear: further ones only CATCH_UP_TIME after the
   replicas that lost theirs, or the replacement host, have started. Until then replicas have only
   short stalls and an occasional power loss on all of them, which restarts that period. */
#include <signal.h>

#include "soak_internal.h"

enum {
    STALL_MS_MIN = 50,
    STALL_MS_SPAN = 750,
    STALLED_MAX = 6,
    DOWN_MS_MIN = 300,
    DOWN_MS_SPAN = 1500
};

/* ---- helpers --------------------------------------------------------------------------------- */

static int random_host_index(soak* s) {
    int number;
    do {
        number = (int)soak_random(s, (uint64_t)s->h.num);
    } while (s->h.hosts[number].absent);
    return number;
}

static bool all_replicas_current(const soak* s, wg_time now) {
    return !soak_is_repairing_replicas(s) && now >= s->loss_until;
}

static void stall_processes(soak* s) {
    int num = 1 + (int)soak_random(s, STALLED_MAX);
    for (int i = 0; i < num; i++) {
        int number = random_host_index(s);
        host* w = &s->h.hosts[number];
        int ms = STALL_MS_MIN + (int)soak_random(s, STALL_MS_SPAN);
        bool replica = w->disk && soak_random(s, 2);
        if (soak_is_repairing(s, number, false)) {
            continue;
        }
        kill(replica ? w->replica : w->entry, SIGSTOP);
        soak_plan_repair(s, replica ? REPAIR_CONTINUE_REPLICA : REPAIR_CONTINUE_ENTRY, number,
                         false, ms, soak_begin_disturbance(s));
    }
}

static int random_downtime_ms(soak* s) {
    return DOWN_MS_MIN + (int)soak_random(s, DOWN_MS_SPAN);
}

/* A replica that lost its disk, or replaces another, has CATCH_UP_TIME from its start. The start is
   assumed at the end of the longest downtime; soak_record_replica_start() corrects it if later. */
static void begin_catch_up(soak* s) {
    wg_time down = (DOWN_MS_MIN + DOWN_MS_SPAN) * (wg_time)WG_USEC_PER_MSEC;
    s->loss_until = wg_now() + down + CATCH_UP_TIME;
    s->catching_up = true;
}

static void power_off_host(soak* s, int number, bool entries) {
    host* w = &s->h.hosts[number];
    if (soak_is_repairing(s, number, false)) {
        return;
    }
    int ms = random_downtime_ms(s);
    if (w->disk) {
        soak_kill(&w->replica);
        soak_plan_repair(s, REPAIR_REPLICA, number, false, ms, soak_begin_disturbance(s));
    }
    if (entries) {
        soak_kill(&w->entry);
        soak_plan_repair(s, REPAIR_ENTRY, number, false, ms, soak_begin_disturbance(s));
    }
}

/* Wipes the disks of up to `num` random hosts whose replicas are down. */
static void lose_disks(soak* s, int num) {
    enum {
        TRIES = 4 * HOSTS_MAX
    };
    bool lost[HOSTS_MAX] = {false};
    for (int tries = 0; num > 0 && tries < TRIES; tries++) {
        int number = random_host_index(s);
        host* w = &s->h.hosts[number];
        if (w->disk && w->replica == 0 && !lost[number]) {
            lost[number] = true;
            hosts_wipe_disk(&s->h, w);
            s->result.disks_lost++;
            num--;
        }
    }
}

/* Power loss on all replicas or on all hosts; disks are lost only when none counts as lost yet. */
static void power_off_random(soak* s, wg_time now, bool entries) {
    int lose = all_replicas_current(s, now) ? (int)soak_random(s, (uint64_t)s->h.losses + 1) : 0;
    if (now < s->loss_until || lose > 0) {
        begin_catch_up(s);
    }
    soak_power_off_all(s, entries, lose);
}

/* Index of an unused spare host; -1: none. */
static int find_spare(const soak* s) {
    for (int i = s->desc.hosts; i < s->h.num; i++) {
        if (s->h.hosts[i].absent && !s->h.hosts[i].retired) {
            return i;
        }
    }
    return -1;
}

/* The replacement starts before the host is killed if `beside`, else a second later. */
static void start_replacement(soak* s, int number, bool beside) {
    int at = soak_begin_disturbance(s);
    host* w = &s->h.hosts[number];
    w->absent = false;
    if (beside) {
        hosts_start_replica(&s->h, w);
        hosts_start_entry(&s->h, w);
        s->disturbances[at].until = wg_now();
    } else {
        soak_plan_repair(s, REPAIR_REPLICA, number, false, 1000, at);
        soak_plan_repair(s, REPAIR_ENTRY, number, false, 1000, at);
    }
}

/* ---- functions of the soak ------------------------------------------------------------------- */

/* On a machine that stalls a replica can start later than planned: without the correction the next
   disk could be lost before the replica has caught up. */
void soak_record_replica_start(soak* s) {
    wg_time caught_up = wg_now() + CATCH_UP_TIME;
    if (s->catching_up) {
        s->loss_until = MAX(s->loss_until, caught_up);
        s->next_loss_at = s->next_loss_at ? MAX(s->next_loss_at, caught_up) : 0;
    }
}

void soak_power_off_all(soak* s, bool entries, int lose) {
    for (int i = 0; i < s->h.num; i++) {
        if (!s->h.hosts[i].absent && (entries || s->h.hosts[i].disk)) {
            power_off_host(s, i, entries);
        }
    }
    lose_disks(s, lose);
}

bool soak_replace_host(soak* s, int number, wg_time now) {
    int spare = find_spare(s);
    host* w = &s->h.hosts[number];
    if (spare < 0 || !w->disk || w->absent || !all_replicas_current(s, now)) {
        return false;
    }
    start_replacement(s, spare, soak_random(s, 2));
    soak_kill(&w->replica);
    soak_kill(&w->entry);
    w->absent = true;
    w->retired = true;
    s->result.replaced++;
    begin_catch_up(s);
    return true;
}

void soak_inject_harsh_fault(soak* s, wg_time now) {
    enum {
        KINDS = 12,
        REPLICA_KINDS = 4, /* kinds below this one affect replicas */
        OVERLAP_ONE_IN = 6 /* of the replica faults drawn during catch-up */
    };
    int number = random_host_index(s);
    int target = (int)soak_random(s, (uint64_t)s->h.targets_num);
    uint64_t kind = soak_random(s, KINDS);
    s->catching_up = s->catching_up && !all_replicas_current(s, now);
    bool overlaps = now < s->loss_until && kind < REPLICA_KINDS;
    if (overlaps && soak_random(s, OVERLAP_ONE_IN)) {
        stall_processes(s);
        return;
    }
    switch (kind) {
    case 0:
        power_off_random(s, now, false);
        break;
    case 1:
        power_off_random(s, now, true);
        break;
    case 2:
    case 3:
        soak_replace_host(s, random_host_index(s), now);
        break;
    case 4:
        if (!soak_is_repairing(s, number, false)) {
            soak_fault_entry(s, number);
        }
        break;
    case 5:
        if (now >= s->loss_until && s->h.hosts[number].disk &&
            !soak_is_repairing(s, number, false)) {
            soak_fault_links(s, number, false);
        }
        break;
    case 6:
        if (!soak_is_repairing(s, target, true)) {
            soak_fault_target(s, target);
        }
        break;
    default:
        stall_processes(s);
        break;
    }
}
