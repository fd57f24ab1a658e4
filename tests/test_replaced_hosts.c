/* test_replaced_hosts.c -- real processes: a host with a disk is replaced, then another disk is
   lost

   Guards against losing the majority when the replaced host keeps its vote, after a crash and after
   a planned stop. */
#include <errno.h>
#include <signal.h>
#include <sys/wait.h>

#include "hosts_operator.h"
#include "wg_test.h"

enum {
    INITIAL_HOSTS = 3,   /* hosts at the start */
    ALL_HOSTS = 4,       /* hosts including the replacement */
    CATCH_UP_MS = 4000,  /* time for a replacement to start and catch up */
    JOIN_MS = 2000,      /* time for a replica to join a set whose voters are all up */
    STOP_MS = 2000,      /* time for a planned stop of a replica */
    DOWN_MS = 1000,      /* time between the power loss and the restart */
    RECOVERY_MS = 12000, /* time until the configuration can be read */
    STARTUP_MS = 30000
};

static void signal_and_wait(pid_t* pid, int signal) {
    kill(*pid, signal);
    while (waitpid(*pid, NULL, 0) < 0 && errno == EINTR) {
    }
    *pid = 0;
}

static void start(hosts* h, host* w) {
    hosts_start_replica(h, w);
    hosts_start_entry(h, w);
}

static void begin(hosts* h, struct event_base* base) {
    hosts_setup(h, base, ALL_HOSTS, ALL_HOSTS, 0);
    hosts_use_deployed_timing(h);
    for (int i = 0; i < INITIAL_HOSTS; i++) {
        start(h, &h->hosts[i]);
    }
    h->started_before = true;
    ck_assert(hosts_put_until(h, 1, STARTUP_MS));
}

/* Kills all running processes, wipes the disk of `lost` and restarts them after DOWN_MS. */
static void lose_power(hosts* h, host* lost) {
    bool was_running[ALL_HOSTS] = {false};
    for (int i = 0; i < ALL_HOSTS; i++) {
        host* w = &h->hosts[i];
        was_running[i] = w->replica > 0;
        if (was_running[i]) {
            signal_and_wait(&w->replica, SIGKILL);
            signal_and_wait(&w->entry, SIGKILL);
        }
    }
    hosts_wipe_disk(h, lost);
    hosts_run_for(h, DOWN_MS);
    for (int i = 0; i < ALL_HOSTS; i++) {
        if (was_running[i]) {
            start(h, &h->hosts[i]);
        }
    }
}

static void finish(hosts* h, struct event_base* base, int version) {
    bool back = hosts_get_until(h, version, RECOVERY_MS);
    hosts_shutdown(h, !back);
    event_base_free(base);
    ck_assert_msg(back, "version %d cannot be read after a lost disk; logs in %s", version,
                  h->folder);
}

START_TEST(disk_is_lost_after_a_host_was_replaced) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    signal_and_wait(&h.hosts[2].replica, SIGKILL);
    signal_and_wait(&h.hosts[2].entry, SIGKILL);
    hosts_run_for(&h, 1000);
    start(&h, &h.hosts[3]);
    hosts_run_for(&h, CATCH_UP_MS);
    ck_assert(hosts_put_until(&h, 2, STARTUP_MS));
    lose_power(&h, &h.hosts[1]);
    finish(&h, base, 2);
}
END_TEST

START_TEST(disk_is_lost_after_a_planned_replacement) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    start(&h, &h.hosts[3]);
    hosts_run_for(&h, JOIN_MS);
    kill(h.hosts[2].replica, SIGTERM);
    hosts_run_for(&h, STOP_MS);
    signal_and_wait(&h.hosts[2].replica, SIGKILL);
    signal_and_wait(&h.hosts[2].entry, SIGKILL);
    ck_assert(hosts_put_until(&h, 2, STARTUP_MS));
    lose_power(&h, &h.hosts[1]);
    finish(&h, base, 2);
}
END_TEST

WG_TEST_MAIN("replaced_hosts", disk_is_lost_after_a_host_was_replaced,
             disk_is_lost_after_a_planned_replacement)
