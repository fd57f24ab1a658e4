/* routerd.c -- walnutgate-routerd: main program of lib/router */
#include "wg_daemon.h"
#include "wg_router.h"

static wgro_settings settings;
static wgro_router* router;

static bool start(struct event_base* base, GError** error) {
    router = wgro_setup(&(wgro_desc){.base = base, .settings = &settings}, error);
    return router != NULL;
}

static void stop(void) {
    wgro_stop(router);
}

static json_t* dump(void) {
    return wgro_dump(router);
}

static bool end(void) {
    wgro_shutdown(router);
    return true;
}

int main(int argc, char** argv) {
    return wgd_main(&(wgd_desc){.name = "walnutgate-routerd",
                                .keys = wgro_keys,
                                .keys_num = wgro_keys_num,
                                .settings = &settings,
                                .log_level = &settings.log_level,
                                .log_target = &settings.log_target,
                                .start = start,
                                .stop = stop,
                                .dump = dump,
                                .end = end},
                    argc, argv);
}
