/* soak_faults.c -- injects faults into the processes of a soak from outside, and ends them */
#include <errno.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include "soak_internal.h"

typedef struct {
    wg_time at;
    repair_kind kind;
    int number; /* index of the host or target */
    bool target;
    int disturbance;
} repair;

static void reap(pid_t* pid) {
    while (*pid > 0 && waitpid(*pid, NULL, 0) < 0 && errno == EINTR) {
    }
    *pid = 0;
}

void soak_kill(pid_t* pid) {
    if (*pid > 0) {
        kill(*pid, SIGKILL);
        reap(pid);
    }
}

/* Simulates a full disk: the replica's file size limit is 0. */
static void set_disk_full(const host* w, bool full) {
    struct rlimit limit;
    if (w->replica > 0 && prlimit(w->replica, RLIMIT_FSIZE, NULL, &limit) == 0) {
        limit.rlim_cur = full ? 0 : limit.rlim_max;
        prlimit(w->replica, RLIMIT_FSIZE, &limit, NULL);
    }
}

void soak_plan_repair(soak* s, repair_kind kind, int number, bool target, int ms, int at) {
    repair* r = g_new(repair, 1);
    *r = (repair){.at = wg_now() + (wg_time)ms * WG_USEC_PER_MSEC,
                  .kind = kind,
                  .number = number,
                  .target = target,
                  .disturbance = at};
    g_queue_push_tail(&s->repairs, r);
    disturbance* d = &s->disturbances[at];
    d->entry = kind == REPAIR_ENTRY || kind == REPAIR_CONTINUE_ENTRY ? number + 1 : 0;
    d->target_links = kind == REPAIR_LINKS && target ? number + 1 : 0;
}

static void repair_one(soak* s, const repair* r) {
    host* w = r->target ? NULL : &s->h.hosts[r->number];
    host_target* t = r->target ? &s->h.targets[r->number] : NULL;
    switch (r->kind) {
    case REPAIR_ENTRY:
        reap(&w->entry);
        hosts_start_entry(&s->h, w);
        break;
    case REPAIR_REPLICA:
        reap(&w->replica);
        hosts_start_replica(&s->h, w);
        soak_record_replica_start(s);
        break;
    case REPAIR_TARGET:
        soak_kill(&t->pid);
        soak_start_target(s, t);
        break;
    case REPAIR_CONTINUE_ENTRY:
        kill(w->entry, SIGCONT);
        break;
    case REPAIR_CONTINUE_REPLICA:
        kill(w->replica, SIGCONT);
        break;
    case REPAIR_DISK:
        set_disk_full(w, false);
        break;
    case REPAIR_OVERLOAD:
        soak_end_overload(s, r->number);
        break;
    case REPAIR_LINKS:
        proxy_set(r->target ? t->links : w->links, PROXY_PASS);
        break;
    }
    s->disturbances[r->disturbance].until = wg_now();
    s->last_fault = wg_now();
}

bool soak_is_repairing(const soak* s, int number, bool target) {
    for (GList* at = s->repairs.head; at; at = at->next) {
        const repair* r = at->data;
        if (r->number == number && r->target == target) {
            return true;
        }
    }
    return false;
}

bool soak_is_repairing_replicas(const soak* s) {
    for (GList* at = s->repairs.head; at; at = at->next) {
        const repair* r = at->data;
        bool of_entry = r->kind == REPAIR_ENTRY || r->kind == REPAIR_CONTINUE_ENTRY;
        if (!r->target && !of_entry && s->h.hosts[r->number].disk) {
            return true;
        }
    }
    return false;
}

void soak_repair(soak* s, wg_time now) {
    GList* next;
    for (GList* at = s->repairs.head; at; at = next) {
        next = at->next;
        repair* r = at->data;
        if (now >= r->at) {
            g_queue_delete_link(&s->repairs, at);
            repair_one(s, r);
            g_free(r);
        }
    }
}

void soak_fault_entry(soak* s, int number) {
    host* w = &s->h.hosts[number];
    int at = soak_begin_disturbance(s);
    switch (soak_random(s, 4)) {
    case 0:
        soak_kill(&w->entry);
        soak_plan_repair(s, REPAIR_ENTRY, number, false, 100 + (int)soak_random(s, 1500), at);
        break;
    case 1: /* planned stop; restarts after the grace period for open connections */
        kill(w->entry, SIGTERM);
        soak_plan_repair(s, REPAIR_ENTRY, number, false, 300, at);
        ((repair*)s->repairs.tail->data)->at = wg_now() + 8500 * WG_USEC_PER_MSEC;
        break;
    case 2:
        kill(w->entry, SIGSTOP);
        soak_plan_repair(s, REPAIR_CONTINUE_ENTRY, number, false, 300 + (int)soak_random(s, 3000),
                         at);
        break;
    default:
        kill(w->entry, SIGHUP);
        s->disturbances[at].until = wg_now();
        break;
    }
}

static void fault_replica(soak* s, int number) {
    host* w = &s->h.hosts[number];
    int at = soak_begin_disturbance(s);
    uint64_t kind = soak_random(s, 4);
    bool may_wipe = wg_now() - s->wiped_at > 10 * WG_USEC_PER_SEC && s->repairs.length == 0;
    if (kind == 0) {
        kill(w->replica, SIGSTOP);
        soak_plan_repair(s, REPAIR_CONTINUE_REPLICA, number, false, 300 + (int)soak_random(s, 3500),
                         at);
        return;
    }
    if (kind == 1) {
        kill(w->replica, SIGTERM);
        soak_plan_repair(s, REPAIR_REPLICA, number, false, 1500, at);
        return;
    }
    soak_kill(&w->replica);
    if (kind == 2 && may_wipe) {
        hosts_wipe_disk(&s->h, w);
        s->wiped_at = wg_now();
    }
    soak_plan_repair(s, REPAIR_REPLICA, number, false, 100 + (int)soak_random(s, 2500), at);
}

static void fault_all_replicas(soak* s) {
    for (int i = 0; i < s->h.num; i++) {
        host* w = &s->h.hosts[i];
        if (w->disk && !soak_is_repairing(s, i, false)) {
            soak_kill(&w->replica);
            soak_plan_repair(s, REPAIR_REPLICA, i, false, 50 + (int)soak_random(s, 900),
                             soak_begin_disturbance(s));
        }
    }
}

static void fault_disk(soak* s, int number) {
    set_disk_full(&s->h.hosts[number], true);
    soak_plan_repair(s, REPAIR_DISK, number, false, 300 + (int)soak_random(s, 3500),
                     soak_begin_disturbance(s));
}

static void fault_all_disks(soak* s) {
    for (int i = 0; i < s->h.num; i++) {
        if (s->h.hosts[i].disk && !soak_is_repairing(s, i, false)) {
            fault_disk(s, i);
        }
    }
}

void soak_fault_links(soak* s, int number, bool target) {
    proxy* links = target ? s->h.targets[number].links : s->h.hosts[number].links;
    int at = soak_begin_disturbance(s);
    uint64_t kind = soak_random(s, PROXY_MODES_NUM);
    if (kind == 0) {
        proxy_reset(links);
        s->disturbances[at].until = wg_now();
        s->disturbances[at].target_links = target ? number + 1 : 0;
        return;
    }
    proxy_set(links, (proxy_mode)kind);
    soak_plan_repair(s, REPAIR_LINKS, number, target, 300 + (int)soak_random(s, 3500), at);
}

void soak_fault_target(soak* s, int number) {
    host_target* t = &s->h.targets[number];
    if (t->pid <= 0) {
        return; /* already exited; a signal to pid 0 would reach this process */
    }
    int at = soak_begin_disturbance(s);
    if (s->desc.drains || soak_random(s, 2)) {
        kill(t->pid, SIGHUP); /* planned drain */
        soak_plan_repair(s, REPAIR_TARGET, number, true, 5500, at);
        s->disturbances[at].planned = true;
    } else {
        soak_kill(&t->pid);
        soak_plan_repair(s, REPAIR_TARGET, number, true, 200 + (int)soak_random(s, 2000), at);
    }
}

void soak_inject_fault(soak* s, wg_time now) {
    enum {
        OVERLOAD_ONE_IN = 3 /* of the faults of a run with `overloads` */
    };
    if (now < s->next_fault_at || s->desc.calm) {
        return;
    }
    if (s->desc.overloads && soak_random(s, OVERLOAD_ONE_IN) == 0) {
        soak_begin_overload(s, (int)soak_random(s, (uint64_t)s->h.targets_num));
    }
    if (s->desc.host_replacements) {
        soak_inject_replacement_fault(s, now);
        return;
    }
    if (s->desc.colds) {
        soak_inject_cold_fault(s, now);
        return;
    }
    if (s->desc.standstills) {
        soak_inject_standstill_fault(s, now);
        return;
    }
    s->next_fault_at = now + (wg_time)(100 + soak_random(s, 900)) * WG_USEC_PER_MSEC;
    if (s->desc.harsh) {
        soak_inject_harsh_fault(s, now);
        return;
    }
    int number = (int)soak_random(s, (uint64_t)s->h.num);
    int target = (int)soak_random(s, (uint64_t)s->h.targets_num);
    if (s->desc.drains) {
        if (!soak_is_repairing(s, target, true)) {
            soak_fault_target(s, target);
        }
        return;
    }
    uint64_t kind = soak_random(s, 12);
    if (kind == 0) {
        fault_all_replicas(s);
    } else if (kind == 10 && soak_random(s, 4) == 0) {
        fault_all_disks(s);
    } else if (kind >= 10 && s->h.hosts[number].disk && !soak_is_repairing(s, number, false)) {
        fault_disk(s, number);
    } else if (kind < 4 && !soak_is_repairing(s, number, false)) {
        soak_fault_entry(s, number);
    } else if (kind < 6 && s->h.hosts[number].disk && !soak_is_repairing(s, number, false)) {
        fault_replica(s, number);
    } else if (kind < 8 && s->h.hosts[number].disk && !soak_is_repairing(s, number, false)) {
        soak_fault_links(s, number, false);
    } else if (kind == 8 && !soak_is_repairing(s, target, true)) {
        soak_fault_target(s, target);
    } else if (kind == 9 && !soak_is_repairing(s, target, true)) {
        soak_fault_links(s, target, true);
    }
}
