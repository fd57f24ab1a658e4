/* test_lost_majority.c -- real processes: the majority of the replicas is lost for good, then every
   host starts anew

   What users saw, and the evidence: see test_entry_standby.c. Here the replica that is left holds
   the configuration and the targets; each host has to serve callers by it, and says 503 to whoever
   reads the configuration, since nobody can be sure of the newest. */
#include <errno.h>
#include <signal.h>
#include <sys/wait.h>

#include "hosts_operator.h"
#include "wg_test.h"

enum {
    HOSTS = 3,
    TARGETS = 1,
    SERVE_MS = 12000, /* from the start of the hosts; they wait 3 s for a leader here */
    LEASE_MS = 1000,  /* the replica that is left may lead for 0.4 s more */
    FORM_MS = 30000
};

static void end(pid_t* pid) {
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
    ck_assert(hosts_put_until(h, 1, FORM_MS));
    hosts_start_target(h, &h->targets[0]);
    for (int i = 0; i < HOSTS; i++) {
        ck_assert(hosts_serves_until(h, &h->hosts[i], FORM_MS));
    }
}

static void finish(hosts* h, struct event_base* base, bool good) {
    hosts_end(h, !good);
    event_base_free(base);
}

START_TEST(hosts_that_start_without_a_majority_serve) {
    struct event_base* base = event_base_new();
    hosts h;
    begin(&h, base);
    /* Two disks are lost at once: more than three replicas bear. One after the other, the first is
       in the set again before the second one goes. */
    for (int i = 1; i < HOSTS; i++) {
        end(&h.hosts[i].replica);
        hosts_wipe(&h, &h.hosts[i]);
    }
    for (int i = 1; i < HOSTS; i++) {
        hosts_start_replica(&h, &h.hosts[i]);
    }
    hosts_run_for(&h, LEASE_MS);
    for (int i = 0; i < HOSTS; i++) {
        end(&h.hosts[i].entry);
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

WG_TEST_MAIN("lost_majority", hosts_that_start_without_a_majority_serve)
