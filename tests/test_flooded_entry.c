/* test_flooded_entry.c -- real processes: a target whose answers are bytes without end, at entry
   hosts that serve other callers meanwhile */
#include <signal.h>
#include <sys/wait.h>

#include "flood_play.h"
#include "hosts_operator.h"

enum {
    HOSTS = 3,
    FORM_MS = 30000
};

static hosts h;
static struct event_base* base;
static flooder flooding;
static char flooding_address[64];
static int sequence;
static int target_number; /* part of the flooding target's id */

/* ---- the fleet ------------------------------------------------------------------------------- */

static void on_heartbeat_done(struct evhttp_request* request, void* user_data) {
    (void)request;
    (void)user_data;
}

static void send_heartbeat(void) {
    struct evhttp_request* request = evhttp_request_new(on_heartbeat_done, NULL);
    char path[32];
    g_snprintf(path, sizeof path, "/v1/targets/flooding-%d", target_number);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "orders");
    evbuffer_add_printf(
        evhttp_request_get_output_buffer(request),
        "{\"service\":\"flood\",\"address\":\"%s\",\"data_centre\":\"dc\",\"version\":\"v1\","
        "\"slots\":64,\"state\":\"ready\",\"sequence\":%d,\"cold_ms\":0,\"born\":1}",
        flooding_address, ++sequence);
    evhttp_make_request(flood_connect(base, h.hosts[1].orders), request, EVHTTP_REQ_PUT, path);
}

static char* make_document(bool engine) {
    static const char text[] =
        "{\"version\":%d,\"services\":[{\"name\":\"app\"},{\"name\":\"flood\"%s}],\"routes\":["
        "{\"name\":\"f\",\"host\":\"h\",\"path_prefix\":\"/flood/\",\"kind\":\"safe\",\"open\":"
        "true,\"timeout_ms\":%d,\"objective_ms\":500,\"attempts\":1,\"service\":\"flood\"},"
        "{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"safe\",\"open\":true,"
        "\"timeout_ms\":%d,\"objective_ms\":500,\"attempts\":2,\"service\":\"app\"}],"
        "\"limits\":{},\"workspaces\":[]}";
    static int version;
    return g_strdup_printf(text, ++version,
                           engine ? ",\"engine\":{\"slots\":64,\"memory_tokens\":1000000}" : "",
                           FLOOD_TIMEOUT_MS, FLOOD_TIMEOUT_MS);
}

static void put_document(bool engine) {
    wg_time until = wg_now() + FORM_MS * MSEC;
    while (hosts_put_document(&h, &h.hosts[0], make_document(engine)) != 200) {
        ck_assert_int_lt(wg_now(), until);
        hosts_run_for(&h, 100);
    }
}

static void begin(bool engine) {
    base = event_base_new();
    hosts_setup(&h, base, HOSTS, HOSTS, 1);
    hosts_use_deployed_timing(&h);
    h.direct_targets = true;
    for (int i = 0; i < HOSTS; i++) {
        hosts_start_entry(&h, &h.hosts[i]);
        hosts_start_replica(&h, &h.hosts[i]);
    }
    put_document(engine);
    h.targets[0].service = "app";
    hosts_start_target(&h, &h.targets[0]);
    g_snprintf(flooding_address, sizeof flooding_address, "127.%d.6.9:9000",
               h.loopback_part_number);
    flooder_start(&flooding, flooding_address);
    ck_assert(hosts_serves_until(&h, &h.hosts[0], FORM_MS));
    send_heartbeat();
    hosts_run_for(&h, 500);
}

static void end(bool good) {
    flooder_stop(&flooding);
    hosts_run_for(&h, 300);
    hosts_shutdown(&h, !good);
    event_base_free(base);
}

static flood_site make_site(int requests) {
    flood_site site = {.base = base,
                       .flooding = &flooding,
                       .processes_num = HOSTS,
                       .flood_path = "/flood/x",
                       .sound_path = "/sound",
                       .requests = requests,
                       .on_second = send_heartbeat};
    for (int i = 0; i < HOSTS; i++) {
        site.addresses[i] = h.hosts[i].callers;
        site.processes[i] = h.hosts[i].entry;
    }
    return site;
}

/* ---- tests ----------------------------------------------------------------------------------- */

/* Guards against a host that reads, or keeps, what is no answer as long as a target sends it. */
START_TEST(answer_without_end_is_given_up_while_others_are_served) {
    begin(false);
    flood_site site = make_site(FLOOD_REQUESTS);
    int bad = flood_play_all(&site);
    end(bad == 0);
    ck_assert_int_eq(bad, 0);
}
END_TEST

/* The same when hosts ask a target for what it has cached. */
START_TEST(list_without_end_is_given_up_while_others_are_served) {
    int bad = 0;
    begin(true);
    flood_site site = make_site(0);
    for (size_t i = 0; i < G_N_ELEMENTS(floods); i++) {
        target_number++; /* a new target is asked anew */
        flood_outcome o = flood_play(&site, &floods[i]);
        bad += !flood_is_good(&floods[i], &o);
    }
    end(bad == 0);
    ck_assert_int_eq(bad, 0);
}
END_TEST

WG_TEST_MAIN("flooded entry host", answer_without_end_is_given_up_while_others_are_served,
             list_without_end_is_given_up_while_others_are_served)
