/* test_flooded_router.c -- real processes: a target whose answers are bytes without end, at a
   router that serves other callers meanwhile */
#include "fleet_common.h"

#include "flood_play.h"

enum {
    KNOWN_MS = 500 /* until the router has slots of a new target */
};

static flooder flooding;

static void run_ctl(const char* verb, const char* kind, const char* name, const char* first,
                    const char* second, const char* third) {
    ck_assert_int_eq(
        proc_run_ctl(&fleet, NULL, "table", verb, kind, name, first, second, third, NULL), 0);
}

/* A new target for each kind: one that fails is set aside for a while. */
static flood_outcome play_with_new_target(const flood_site* site, const flood* kind,
                                          const char* address) {
    static int number;
    char name[32];
    g_snprintf(name, sizeof name, "flooding-%d", ++number);
    run_ctl("set", "targets", name, "service=flood", address, "slots=64");
    proc_sleep(KNOWN_MS);
    flood_outcome o = flood_play(site, kind);
    run_ctl("delete", "targets", name, NULL, NULL, NULL);
    return o;
}

/* Guards against a router that reads, or keeps, what is no answer as long as a target sends it. */
START_TEST(answer_without_end_is_given_up_while_others_are_served) {
    char address[64];
    char row[96];
    start_fleet(&(proc_desc){.controls = 1, .routers = 1, .services = 1, .engines = 1});
    g_snprintf(address, sizeof address, "127.%d.6.9:9000", fleet.loopback_part_number);
    flooder_start(&flooding, address);
    g_snprintf(row, sizeof row, "address=%s", address);
    run_ctl("set", "services", "flood", "kind=app", "repeatable=GET", "deadline_ms=2500");
    const proc_process* router = proc_find(&fleet, "r1");
    flood_site site = {.base = event_base_new(),
                       .flooding = &flooding,
                       .addresses = {router->address},
                       .processes = {router->pid},
                       .processes_num = 1,
                       .flood_path = "/v1/app/flood/x",
                       .sound_path = "/v1/app/app/x",
                       .key = "Bearer key-w0",
                       .requests = FLOOD_REQUESTS};
    int bad = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(floods); i++) {
        flood_outcome o = play_with_new_target(&site, &floods[i], row);
        bad += !flood_is_good(&floods[i], &o);
    }
    flooder_stop(&flooding);
    event_base_free(site.base);
    proc_fleet_kill(&fleet);
    ck_assert_int_eq(bad, 0);
}
END_TEST

WG_TEST_MAIN("flooded router", answer_without_end_is_given_up_while_others_are_served)
