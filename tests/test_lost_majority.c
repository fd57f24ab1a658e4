/* test_lost_majority.c -- real processes: a majority of the replicas is lost for good

   Guards against hosts that do not serve from the remaining replica, and against a forced recovery
   that loses committed changes or lets the previous majority lead again. */
#include <errno.h>
#include <signal.h>
#include <sys/wait.h>

#include "hosts_operator.h"
#include "wg_test.h"

enum {
    HOSTS = 3,
    TARGETS = 1,
    SERVE_MS = 12000,    /* time for a restarted host to serve; includes standby_ms */
    RECOVERY_MS = 12000, /* time until the configuration can be read */
    JOIN_MS = 4000,      /* time for wiped replicas to get their votes */
    POLL_MS = 300,
    LEASE_MS = 1000, /* longer than the lease of the remaining replica */
    STARTUP_MS = 30000
};

static void kill_and_wait(pid_t* pid) {
    kill(*pid, SIGKILL);
    while (waitpid(*pid, NULL, 0) < 0 && errno == EINTR) {
    }
    *pid = 0;
}

static void begin(hosts* h, struct event_base* base) {
    hosts_setup(h, base, HOSTS, HOSTS, TARGETS);
    hosts_use_deployed_timing(h);
    h->standby_ms = 3000;
    for (int i = 0; i < HOSTS; i++) {
        hosts_start_replica(h, &h->hosts[i]);
        hosts_start_entry(h, &h->hosts[i]);
    }
    h->started_before = true;
    ck_assert(hosts_put_until(h, 1, STARTUP_MS));
    hosts_start_target(h, &h->targets[0]);
    for (int i = 0; i < HOSTS; i++) {
        ck_assert(hosts_serves_until(h, &h->hosts[i], STARTUP_MS));
    }
}

static void finish(hosts* h, struct event_base* base, bool good) {
    hosts_shutdown(h, !good);
    event_base_free(base);
}

START_TEST(hosts_that_start_without_a_majority_serve) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    /* Both replicas end before one is restarted: restarted in turn, the first would be in the set
       again before the second one ends. */
    for (int i = 1; i < HOSTS; i++) {
        kill_and_wait(&h.hosts[i].replica);
        hosts_wipe_disk(&h, &h.hosts[i]);
    }
    for (int i = 1; i < HOSTS; i++) {
        hosts_start_replica(&h, &h.hosts[i]);
    }
    hosts_run_for(&h, LEASE_MS);
    for (int i = 0; i < HOSTS; i++) {
        kill_and_wait(&h.hosts[i].entry);
        hosts_start_entry(&h, &h.hosts[i]);
    }
    bool good = true;
    for (int i = 0; i < HOSTS; i++) {
        good = good && hosts_serves_until(&h, &h.hosts[i], SERVE_MS);
        good = good && hosts_get_version(&h, &h.hosts[i]) == 0;
    }
    finish(&h, base, good);
    ck_assert_msg(good, "a host does not serve; logs in %s", h.folder);
}
END_TEST

/* ---- forced recovery by an operator -----------------------------------------------------------
 */

static char* replica_names(const hosts* h, int first, int last) {
    GString* list = g_string_new(NULL);
    for (int i = first; i <= last; i++) {
        g_string_append_printf(list, "%s127.%d.1.%d", i > first ? "," : "", h->loopback_part_number,
                               i);
    }
    return g_string_free(list, FALSE);
}

static int recover_set(hosts* h, int first, int last) {
    char* removed = replica_names(h, first, last);
    int status = hosts_recover_set(h, &h->hosts[0], removed);
    g_free(removed);
    return status;
}

/* Kills all replicas but the first; `wiped`: their disks are lost too. */
static void lose_majority(hosts* h, bool wiped) {
    for (int i = 1; i < HOSTS; i++) {
        kill_and_wait(&h->hosts[i].replica);
        if (wiped) {
            hosts_wipe_disk(h, &h->hosts[i]);
        }
    }
    hosts_run_for(h, LEASE_MS);
}

/* A forced recovery keeps all committed changes; the wiped replicas join, so that the remaining
   replica may fail afterwards. */
START_TEST(operator_recovers_the_set) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    lose_majority(&h, true);
    ck_assert_int_eq(recover_set(&h, 2, 3), 200);
    bool good = hosts_get_until(&h, 1, RECOVERY_MS) && hosts_put_until(&h, 2, RECOVERY_MS);
    for (int i = 1; i < HOSTS; i++) {
        hosts_start_replica(&h, &h.hosts[i]);
    }
    hosts_run_for(&h, JOIN_MS);
    good = good && hosts_put_until(&h, 3, RECOVERY_MS);
    kill_and_wait(&h.hosts[0].replica);
    good = good && hosts_put_until(&h, 4, RECOVERY_MS);
    finish(&h, base, good);
    ck_assert_msg(good, "the set was not recovered; logs in %s", h.folder);
}
END_TEST

/* Wiped replicas that connected before the forced recovery join the recovered set. */
START_TEST(wiped_replicas_join_the_recovered_set) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    lose_majority(&h, true);
    for (int i = 1; i < HOSTS; i++) {
        hosts_start_replica(&h, &h.hosts[i]);
    }
    hosts_run_for(&h, LEASE_MS);
    ck_assert_int_eq(recover_set(&h, 2, 3), 200);
    bool good = hosts_put_until(&h, 2, RECOVERY_MS);
    hosts_run_for(&h, JOIN_MS);
    kill_and_wait(&h.hosts[0].replica);
    good = good && hosts_put_until(&h, 3, RECOVERY_MS);
    finish(&h, base, good);
    ck_assert_msg(good, "the set was not recovered; logs in %s", h.folder);
}
END_TEST

/* walnutgatectl is given two running controls and recovers the set from the one with the newest
   log. */
START_TEST(recovery_command_finds_the_newest_log) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    lose_majority(&h, true);
    hosts_start_replica(&h, &h.hosts[1]);
    hosts_run_for(&h, LEASE_MS);
    char* removed = replica_names(&h, 2, 3);
    char controls[2 * WG_ADDRESS_MAX];
    g_snprintf(controls, sizeof controls, "--controls=127.%d.9.2:7300,127.%d.9.1:7300",
               h.loopback_part_number, h.loopback_part_number);
    char* arguments[] = {controls,         (char*)"--key-file=operator.key",
                         (char*)"replica", (char*)"form-anew",
                         removed,          NULL};
    int status = hosts_run_program(&h, "walnutgatectl", "ctl.log", arguments);
    bool good = status == 0 && hosts_put_until(&h, 2, RECOVERY_MS);
    g_free(removed);
    finish(&h, base, good);
    ck_assert_msg(good, "exit status %d; logs in %s", status, h.folder);
}
END_TEST

START_TEST(recovery_is_refused_while_a_majority_may_return) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    int status_with_leader = recover_set(&h, 2, 3);
    lose_majority(&h, false);
    int status_one_named = recover_set(&h, 2, 2);
    int status_running_named = recover_set(&h, 1, 3); /* names a replica that is running */
    hosts_start_replica(&h, &h.hosts[1]);
    bool back = hosts_put_until(&h, 2, RECOVERY_MS);
    int status_one_up = recover_set(&h, 2, 3);
    finish(&h, base, back);
    ck_assert_int_eq(status_with_leader, 409);
    ck_assert_int_eq(status_one_named, 409);
    ck_assert_int_eq(status_running_named, 409);
    ck_assert_int_eq(status_one_up, 409);
    ck_assert_msg(back, "the majority did not come back; logs in %s", h.folder);
}
END_TEST

/* Replicas that were named as failed come back with their disks: no host follows them, and no
   change committed since the recovery is lost. */
START_TEST(previous_majority_is_kept_out) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    lose_majority(&h, false);
    ck_assert_int_eq(recover_set(&h, 2, 3), 200);
    bool good = hosts_put_until(&h, 2, RECOVERY_MS);
    for (int i = 1; i < HOSTS; i++) {
        hosts_start_replica(&h, &h.hosts[i]);
    }
    for (int ms = 0; ms < RECOVERY_MS && good; ms += POLL_MS) {
        hosts_run_for(&h, POLL_MS);
        int version = hosts_get_version(&h, &h.hosts[(ms / POLL_MS) % HOSTS]);
        good = version == 0 || version >= 2;
    }
    good = good && hosts_put_until(&h, 3, RECOVERY_MS) && hosts_get_until(&h, 3, RECOVERY_MS);
    finish(&h, base, good);
    ck_assert_msg(good, "a host followed a previous replica; logs in %s", h.folder);
}
END_TEST

/* Replicas that were named as failed elect a leader among themselves while the recovered replica is
   stalled: no host may follow that leader. */
START_TEST(previous_majority_is_not_followed) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    lose_majority(&h, false);
    ck_assert_int_eq(recover_set(&h, 2, 3), 200);
    bool good = hosts_put_until(&h, 2, RECOVERY_MS);
    kill(h.hosts[0].replica, SIGSTOP);
    for (int i = 1; i < HOSTS; i++) {
        hosts_start_replica(&h, &h.hosts[i]);
    }
    for (int ms = 0; ms < JOIN_MS; ms += POLL_MS) {
        hosts_run_for(&h, POLL_MS);
        good = good && hosts_get_version(&h, &h.hosts[(ms / POLL_MS) % HOSTS]) != 1;
    }
    kill(h.hosts[0].replica, SIGCONT);
    good = good && hosts_get_until(&h, 2, RECOVERY_MS) && hosts_put_until(&h, 3, RECOVERY_MS);
    finish(&h, base, good);
    ck_assert_msg(good, "a host followed a previous replica; logs in %s", h.folder);
}
END_TEST

/* A host that restarts after a forced recovery, and so remembers no leader, does not follow the
   previous majority. */
START_TEST(restarted_host_does_not_follow_previous_majority) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    lose_majority(&h, false);
    ck_assert_int_eq(recover_set(&h, 2, 3), 200);
    bool good = hosts_put_until(&h, 2, RECOVERY_MS);
    for (int i = 0; i < HOSTS; i++) {
        good = good && hosts_serves_until(&h, &h.hosts[i], SERVE_MS);
    }
    kill(h.hosts[0].replica, SIGSTOP);
    for (int i = 1; i < HOSTS; i++) {
        hosts_start_replica(&h, &h.hosts[i]);
    }
    host* restarted = &h.hosts[HOSTS - 1];
    kill_and_wait(&restarted->entry);
    hosts_start_entry(&h, restarted);
    for (int ms = 0; ms < JOIN_MS; ms += POLL_MS) {
        hosts_run_for(&h, POLL_MS);
        good = good && hosts_get_version(&h, restarted) != 1;
    }
    kill(h.hosts[0].replica, SIGCONT);
    good = good && hosts_get_until(&h, 2, RECOVERY_MS) && hosts_put_until(&h, 3, RECOVERY_MS);
    finish(&h, base, good);
    ck_assert_msg(good, "a host followed a previous replica; logs in %s", h.folder);
}
END_TEST

WG_TEST_MAIN("lost_majority", hosts_that_start_without_a_majority_serve, operator_recovers_the_set,
             wiped_replicas_join_the_recovered_set, recovery_command_finds_the_newest_log,
             recovery_is_refused_while_a_majority_may_return, previous_majority_is_kept_out,
             previous_majority_is_not_followed, restarted_host_does_not_follow_previous_majority)
