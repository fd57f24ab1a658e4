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
    STALLED_MOST = 6,
    DOWN_MS_MIN = 300,
    DOWN_MS_SPAN = 1500
};

/* ---- helpers --------------------------------------------------------------------------------- */

static int draw_host(soak* s) {
    int number;
    do {
        number = (int)soak_draw(s, (uint64_t)s->h.num);
    } while (s->h.hosts[number].away);
    return number;
}

static bool is_whole(const soak* s, wg_time now) {
    return !soak_is_repairing_replicas(s) && now >= s->lost_until;
}

static void stall_some(soak* s) {
    int num = 1 + (int)soak_draw(s, STALLED_MOST);
    for (int i = 0; i < num; i++) {
        int number = draw_host(s);
        host* w = &s->h.hosts[number];
        int ms = STALL_MS_MIN + (int)soak_draw(s, STALL_MS_SPAN);
        bool replica = w->disk && soak_draw(s, 2);
        if (soak_is_repairing(s, number, false)) {
            continue;
        }
        kill(replica ? w->replica : w->entry, SIGSTOP);
        soak_plan_repair(s, replica ? REPAIR_CONTINUE_REPLICA : REPAIR_CONTINUE_ENTRY, number,
                         false, ms, soak_disturb(s));
    }
}

static int down_ms(soak* s) {
    return DOWN_MS_MIN + (int)soak_draw(s, DOWN_MS_SPAN);
}

/* A replica that lost its disk, or replaces another, has CATCH_UP_TIME from its start. The start is
   assumed at the end of the longest downtime; soak_note_replica_start() corrects it if later. */
static void begin_catch_up(soak* s) {
    wg_time down = (DOWN_MS_MIN + DOWN_MS_SPAN) * (wg_time)WG_USEC_PER_MSEC;
    s->lost_until = wg_now() + down + CATCH_UP_TIME;
    s->catches_up = true;
}

static void power_off(soak* s, int number, bool entries) {
    host* w = &s->h.hosts[number];
    if (soak_is_repairing(s, number, false)) {
        return;
    }
    int ms = down_ms(s);
    if (w->disk) {
        soak_kill(&w->replica);
        soak_plan_repair(s, REPAIR_REPLICA, number, false, ms, soak_disturb(s));
    }
    if (entries) {
        soak_kill(&w->entry);
        soak_plan_repair(s, REPAIR_ENTRY, number, false, ms, soak_disturb(s));
    }
}

/* Wipes the disks of up to `num` random hosts whose replicas are down. */
static void lose_disks(soak* s, int num) {
    enum {
        TRIES = 4 * HOSTS_MAX
    };
    bool lost[HOSTS_MAX] = {false};
    for (int tries = 0; num > 0 && tries < TRIES; tries++) {
        int number = draw_host(s);
        host* w = &s->h.hosts[number];
        if (w->disk && w->replica == 0 && !lost[number]) {
            lost[number] = true;
            hosts_wipe(&s->h, w);
            s->result.disks_lost++;
            num--;
        }
    }
}

/* Power loss on all replicas or on all hosts; disks are lost only when none counts as lost yet. */
static void power_off_all(soak* s, wg_time now, bool entries) {
    int lose = is_whole(s, now) ? (int)soak_draw(s, (uint64_t)s->h.losses + 1) : 0;
    if (now < s->lost_until || lose > 0) {
        begin_catch_up(s);
    }
    soak_power_off_all(s, entries, lose);
}

/* Index of an unused spare host; -1: none. */
static int find_spare(const soak* s) {
    for (int i = s->desc.hosts; i < s->h.num; i++) {
        if (s->h.hosts[i].away && !s->h.hosts[i].spent) {
            return i;
        }
    }
    return -1;
}

/* The replacement starts before the host is killed if `beside`, else a second later. */
static void start_successor(soak* s, int number, bool beside) {
    int at = soak_disturb(s);
    host* w = &s->h.hosts[number];
    w->away = false;
    if (beside) {
        hosts_start_replica(&s->h, w);
        hosts_start_entry(&s->h, w);
        s->disturbances[at].until = wg_now();
    } else {
        soak_plan_repair(s, REPAIR_REPLICA, number, false, 1000, at);
        soak_plan_repair(s, REPAIR_ENTRY, number, false, 1000, at);
    }
}

/* ---- functions of the soak --------------------------------------------------------------------
 */

/* On a machine that stalls a replica can start later than planned: without the correction the next
   disk could be lost before the replica has caught up. */
void soak_note_replica_start(soak* s) {
    wg_time caught_up = wg_now() + CATCH_UP_TIME;
    if (s->catches_up) {
        s->lost_until = MAX(s->lost_until, caught_up);
        s->lose_at = s->lose_at ? MAX(s->lose_at, caught_up) : 0;
    }
}

void soak_power_off_all(soak* s, bool entries, int lose) {
    for (int i = 0; i < s->h.num; i++) {
        if (!s->h.hosts[i].away && (entries || s->h.hosts[i].disk)) {
            power_off(s, i, entries);
        }
    }
    lose_disks(s, lose);
}

bool soak_replace_host(soak* s, int number, wg_time now) {
    int spare = find_spare(s);
    host* w = &s->h.hosts[number];
    if (spare < 0 || !w->disk || w->away || !is_whole(s, now)) {
        return false;
    }
    start_successor(s, spare, soak_draw(s, 2));
    soak_kill(&w->replica);
    soak_kill(&w->entry);
    w->away = true;
    w->spent = true;
    s->result.replaced++;
    begin_catch_up(s);
    return true;
}

void soak_strike_harsh(soak* s, wg_time now) {
    enum {
        KINDS = 12,
        KINDS_OF_REPLICAS = 4, /* kinds below this one affect replicas */
        OVERLAP_ONE_IN = 6     /* of the replica faults drawn during catch-up */
    };
    int number = draw_host(s);
    int target = (int)soak_draw(s, (uint64_t)s->h.targets_num);
    uint64_t kind = soak_draw(s, KINDS);
    s->catches_up = s->catches_up && !is_whole(s, now);
    bool overlaps = now < s->lost_until && kind < KINDS_OF_REPLICAS;
    if (overlaps && soak_draw(s, OVERLAP_ONE_IN)) {
        stall_some(s);
        return;
    }
    switch (kind) {
    case 0:
        power_off_all(s, now, false);
        break;
    case 1:
        power_off_all(s, now, true);
        break;
    case 2:
    case 3:
        soak_replace_host(s, draw_host(s), now);
        break;
    case 4:
        if (!soak_is_repairing(s, number, false)) {
            soak_fault_entry(s, number);
        }
        break;
    case 5:
        if (now >= s->lost_until && s->h.hosts[number].disk &&
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
        stall_some(s);
        break;
    }
}
