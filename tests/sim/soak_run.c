/* soak_run.c -- see soak_run.h */
#include <inttypes.h>

#include "soak_internal.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

enum {
    TICK = 20 * WG_USEC_PER_MSEC,
    SLOW_UNREAD_MS = 400
};

/* Two or three callers that read nothing fill a host. */
static const double SLOW_HELD_MB = 0.1;

/* ---- helpers --------------------------------------------------------------------------------- */

uint64_t soak_random(soak* s, uint64_t below) {
    return wg_jitter(s->desc.seed, ++s->counter) % below;
}

void soak_record_violation(soak* s, const char* format, ...) {
    if (s->result.good) {
        va_list list;
        va_start(list, format);
        g_vsnprintf(s->result.reason, sizeof s->result.reason, format, list);
        va_end(list);
        s->result.good = false;
    }
}

host* soak_random_host(soak* s) {
    host* w;
    do {
        w = &s->h.hosts[soak_random(s, (uint64_t)s->h.num)];
    } while (w->absent);
    return w;
}

int soak_begin_disturbance(soak* s) {
    int at = s->disturbances_num < DISTURBANCES_MAX ? s->disturbances_num++ : DISTURBANCES_MAX - 1;
    s->disturbances[at] = (disturbance){.from = wg_now()};
    s->last_fault = wg_now();
    s->result.faults++;
    return at;
}

static bool is_undisturbed_at(const soak* s, wg_time at) {
    for (int i = 0; i < s->disturbances_num; i++) {
        const disturbance* d = &s->disturbances[i];
        if (!d->planned && at >= d->from && (d->until == 0 || at <= d->until + FAULT_GRACE_TIME)) {
            return false;
        }
    }
    return true;
}

/* ---- the end --------------------------------------------------------------------------------- */

/* Starts callers and faults once all hosts serve. */
static void await_fleet(soak* s, wg_time now) {
    soak_probe(s);
    if (soak_all_passed(s)) {
        s->formed = true;
        memset(s->probes_passed, 0, sizeof s->probes_passed);
        s->last_fault = now;
        s->next_fault_at = now + FAULTS_DELAY;
        s->faults_until = s->next_fault_at + (wg_time)s->desc.seconds * WG_USEC_PER_SEC;
        soak_callers_start(s);
    } else if (now - s->last_fault > FORM_TIMEOUT) {
        char* missing = soak_describe_probes(s);
        soak_record_violation(
            s, "the fleet did not start to serve in time; failed probes (host:probe):%s", missing);
        g_free(missing);
        event_base_loopbreak(s->base);
    }
}

static void finish_after_crash_check(soak* s, wg_time now) {
    if (soak_run_crash_check(s, now)) {
        event_base_loopbreak(s->base);
    }
}

/* A failed run reports the event-loop delay of this process: on a machine that stalls, faults last
   longer than planned. */
/* Reports entry processes that ended by themselves, for lack of memory or after a fault. */
static void check_entries(soak* s) {
    for (int i = 0; i < s->h.num; i++) {
        const host* w = &s->h.hosts[i];
        siginfo_t ended = {0};
        if (w->entry > 0 && !soak_is_repairing(s, i, false) &&
            waitid(P_PID, (id_t)w->entry, &ended, WEXITED | WNOHANG | WNOWAIT) == 0 &&
            ended.si_pid != 0) {
            soak_record_violation(s, "the entry process of host %d ended: code %d, status %d",
                                  w->number, ended.si_code, ended.si_status);
        }
    }
}

static int count_in(const char* text, const char* word) {
    int num = 0;
    for (const char* at = text; at && (at = strstr(at, word)); at++) {
        num++;
    }
    return num;
}

static void count_in_logs(soak* s) {
    for (int i = 0; i < s->h.num; i++) {
        char* path = g_strdup_printf("%s/entry-%d.log", s->h.folder, i + 1);
        char* text = NULL;
        g_file_get_contents(path, &text, NULL, NULL);
        s->result.cut += count_in(text, "CALLER_CUT");
        s->result.handed_off += count_in(text, "REQUEST_HANDED_OFF");
        g_free(text);
        g_free(path);
    }
}

static void report_loop_lag(soak* s) {
    s->result.loop_lag_ms = (int)(s->lag_monitor.lag_hist.max / WG_USEC_PER_MSEC);
    if (!s->result.good) {
        char text[64];
        g_snprintf(text, sizeof text, "; max event-loop delay of the soak process: %d ms",
                   s->result.loop_lag_ms);
        g_strlcat(s->result.reason, text, sizeof s->result.reason);
    }
}

static void on_tick(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    soak* s = user_data;
    wg_time now = wg_now();
    wg_time lag;
    wg_lag_monitor_tick(&s->lag_monitor, now, TICK, &lag);
    soak_reap_targets(s);
    check_entries(s);
    soak_repair(s, now);
    soak_run_operator(s, now);
    soak_check_eras(s, now);
    if (!s->formed) {
        await_fleet(s, now);
        return;
    }
    if (!s->faults_over) {
        soak_inject_fault(s, now);
        soak_send_crashing_request(s, now);
        s->faults_over = now >= s->faults_until;
        return;
    }
    if (s->crash_check_at > 0) {
        finish_after_crash_check(s, now);
        return;
    }
    if (s->repairs.length > 0) {
        return;
    }
    soak_probe(s);
    if (soak_all_passed(s)) {
        s->result.recovery_time = now - s->last_fault;
        finish_after_crash_check(s, now);
    } else if (now - MAX(s->last_fault, s->faults_until) > RECOVERY_TIMEOUT) {
        char* missing = soak_describe_probes(s);
        soak_record_violation(
            s,
            "not all hosts serve again; version %d, acknowledged %d, failed probes (host:probe):%s",
            s->version, s->acknowledged, missing);
        g_free(missing);
        event_base_loopbreak(s->base);
    }
}

static bool is_evacuated_at(const soak* s, wg_time at) {
    for (int i = 0; i < s->evacuations_num; i++) {
        const evacuation* e = &s->evacuations[i];
        if (at > e->from + EVACUATION_TIMEOUT && (e->until == 0 || at < e->until)) {
            return true;
        }
    }
    return false;
}

static void check_arrivals(soak* s, const hosts_events* events) {
    for (guint i = 0; i < events->late->len; i++) {
        if (is_undisturbed_at(s, g_array_index(events->late, wg_time, i))) {
            soak_record_violation(s, "a request reached a target too late after its drain");
        }
    }
    for (guint i = 0; i < events->evacuable->len; i++) {
        wg_time at = g_array_index(events->evacuable, wg_time, i);
        if (is_evacuated_at(s, at) && is_undisturbed_at(s, at)) {
            soak_record_violation(
                s, "a request reached a target of an evacuated data centre at %" PRId64, at);
        }
    }
    s->result.cold_max = events->cold_max;
    if (events->cold->len > 0) {
        soak_record_violation(
            s, "a cold target received more requests in a second than its limit: %u times, max %d",
            events->cold->len, events->cold_max);
    }
}

static void check_runs(soak* s) {
    hosts_events events = hosts_read_events(&s->h);
    GHashTableIter iter;
    gpointer id;
    gpointer num;
    g_hash_table_iter_init(&iter, events.runs);
    while (g_hash_table_iter_next(&iter, &id, &num)) {
        if (g_hash_table_contains(s->unsafe_ids, id) && GPOINTER_TO_INT(num) > 1) {
            soak_record_violation(s, "%s ran %d times", (char*)id, GPOINTER_TO_INT(num));
        }
        if (g_hash_table_contains(s->refused_ids, id)) {
            soak_record_violation(s, "%s ran although it was refused as not run", (char*)id);
        }
    }
    check_arrivals(s, &events);
    soak_check_hints(s, &events);
    hosts_events_clear(&events);
}

void soak_start_target(soak* s, host_target* target) {
    if (s->desc.releases) {
        target->version = 1 + (int)soak_random(s, 2);
    }
    hosts_start_target(&s->h, target);
}

static void start_processes(soak* s) {
    for (int i = 0; i < s->h.num; i++) {
        if (s->h.hosts[i].absent) {
            continue;
        }
        hosts_start_entry(&s->h, &s->h.hosts[i]);
        if (s->h.hosts[i].disk) {
            hosts_start_replica(&s->h, &s->h.hosts[i]);
        }
    }
    s->h.started_before = true;
    for (int i = 0; i < s->h.targets_num; i++) {
        soak_start_target(s, &s->h.targets[i]);
    }
}

static void set_up_harsh(soak* s) {
    hosts_use_deployed_timing(&s->h);
    s->h.losses = MAX((s->desc.disks - 1) / 2, 1);
    for (int i = s->desc.hosts; i < s->h.num; i++) {
        s->h.hosts[i].absent = true;
        hosts_give_disk(&s->h, &s->h.hosts[i]);
    }
}

soak_result soak_run(const soak_desc* desc) {
    soak* s = g_new0(soak, 1);
    signal(SIGPIPE, SIG_IGN);
    s->desc = *desc;
    s->desc.seconds = desc->seconds ? desc->seconds : 12;
    s->desc.hosts = desc->hosts ? desc->hosts : 4;
    s->desc.disks = desc->disks ? desc->disks : 3;
    s->result.good = true;
    s->evacuation_acknowledged = true; /* no evacuation was requested */
    s->base = event_base_new();
    s->refused_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->unsafe_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&s->repairs);
    hosts_setup(&s->h, s->base, s->desc.hosts + (desc->harsh ? SPARE_HOSTS_NUM : 0), s->desc.disks,
                desc->releases ? RELEASE_TARGETS_NUM : TARGETS_NUM);
    if (desc->harsh) {
        set_up_harsh(s);
    }
    g_strlcpy(s->result.folder, s->h.folder, sizeof s->result.folder);
    s->h.target_faults = desc->target_faults;
    s->h.load_control = desc->load_control;
    s->h.handoff = desc->handoff;
    if (desc->slow_callers) {
        s->h.held_mb = SLOW_HELD_MB;
        s->h.unread_ms = SLOW_UNREAD_MS;
    }
    start_processes(s);
    soak_callers_create(s);
    wg_time now = wg_now();
    s->wiped_at = now;
    s->last_fault = now;
    s->next_operator_at = now + WG_USEC_PER_SEC;
    s->tick = event_new(s->base, -1, EV_PERSIST, on_tick, s);
    struct timeval period = {.tv_usec = TICK};
    event_add(s->tick, &period);
    event_base_dispatch(s->base);
    s->ended = true;
    check_runs(s);
    count_in_logs(s);
    if (s->result.complete == 0) {
        soak_record_violation(s, "no request was served");
    }
    soak_callers_destroy(s);
    hosts_shutdown(&s->h, !s->result.good || desc->keep);
    /* The event base is not freed: requests in flight still use its connections. Each run has its
       own base. */
    event_free(s->tick);
    g_hash_table_unref(s->refused_ids);
    g_hash_table_unref(s->unsafe_ids);
    g_queue_clear_full(&s->repairs, g_free);
    report_loop_lag(s);
    soak_result result = s->result;
    return result;
}
