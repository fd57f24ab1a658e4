#pragma once
/* crowd_entry.h -- a fleet of entry hosts with lowered limits, for tests of crowds

   Three hosts, a target that answers and one that does not. The crowd comes to the first host. */
#include "crowd.h"
#include "hosts.h"
#include "hosts_operator.h"

enum {
    CROWD_HOSTS = 3,
    CROWD_FORM_MS = 30000,
    CROWD_ROUTE_MS = 60000 /* time limit of the route to the target that does not answer */
};

#define CROWD_FIELDS "Host: h\r\nWalnutgate-Request: r1\r\nWalnutgate-Deadline-Ms: 60000\r\n"
#define CROWD_ORDINARY "GET /ordinary HTTP/1.1\r\nHost: h\r\nWalnutgate-Request: o1\r\n\r\n"

static hosts crowd_hosts;

static void crowd_run_hosts(void) {
    event_base_loop(crowd_hosts.base, EVLOOP_NONBLOCK);
}

/* A path at /slow/ is never answered. */
static void crowd_put_document(hosts* h) {
    static const char text[] =
        "{\"version\":1,\"services\":[{\"name\":\"app\"},{\"name\":\"slow\"}],\"routes\":["
        "{\"name\":\"slow\",\"host\":\"h\",\"path_prefix\":\"/slow/\",\"kind\":\"safe\",\"open\":"
        "true,\"timeout_ms\":%d,\"objective_ms\":500,\"attempts\":1,\"service\":\"slow\"},"
        "{\"name\":\"stream\",\"host\":\"h\",\"path_prefix\":\"/stream/\",\"kind\":\"stream\","
        "\"open\":true,\"timeout_ms\":%d,\"objective_ms\":500,\"attempts\":1,\"service\":\"app\"},"
        "{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"safe\",\"open\":true,"
        "\"timeout_ms\":%d,\"objective_ms\":500,\"attempts\":2,\"service\":\"app\"}],"
        "\"limits\":{},\"workspaces\":[]}";
    wg_time until = wg_now() + CROWD_FORM_MS * MSEC;
    while (hosts_put_document(
               h, &h->hosts[0],
               g_strdup_printf(text, CROWD_ROUTE_MS, CROWD_ROUTE_MS, CROWD_ROUTE_MS)) != 200) {
        ck_assert_int_lt(wg_now(), until);
        hosts_run_for(h, 100);
    }
}

/* `extra`: settings of the entry processes, with their groups. */
static void crowd_hosts_begin(const char* extra, bool handoff) {
    hosts* h = &crowd_hosts;
    hosts_setup(h, event_base_new(), CROWD_HOSTS, CROWD_HOSTS, 2);
    hosts_use_deployed_timing(h);
    h->direct_targets = true;
    h->entry_extra = extra;
    h->handoff = handoff;
    for (int i = 0; i < CROWD_HOSTS; i++) {
        hosts_start_entry(h, &h->hosts[i]);
        hosts_start_replica(h, &h->hosts[i]);
    }
    crowd_put_document(h);
    h->targets[0].service = "app";
    h->targets[1].service = "slow";
    hosts_start_target(h, &h->targets[0]);
    hosts_start_target(h, &h->targets[1]);
    ck_assert(hosts_serves_until(h, &h->hosts[0], CROWD_FORM_MS));
    ck_assert(hosts_set_faults(h, &h->targets[1], "work_us=600000000"));
    hosts_run_for(h, 1000); /* until the host knows both targets */
}

static void crowd_hosts_end(bool good) {
    struct event_base* base = crowd_hosts.base;
    hosts_shutdown(&crowd_hosts, !good);
    event_base_free(base);
}
