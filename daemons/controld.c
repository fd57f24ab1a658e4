/* controld.c -- walnutgate-controld: main program of lib/control */
#include "wg_control.h"
#include "wg_daemon.h"

static wgco_settings settings;
static wgco_control* control;

static bool init(GError** error) {
    return wgco_init_folder(&settings, error);
}

static bool start(struct event_base* base, GError** error) {
    control = wgco_setup(&(wgco_desc){.base = base, .settings = &settings}, error);
    return control != NULL;
}

static void stop(void) {
    wgco_stop(control);
}

static json_t* dump(void) {
    return wgco_dump(control);
}

static void reload(const void* changed) {
    wgco_reload(control, changed);
}

static bool end(void) {
    bool good = !wgco_failed(control);
    wgco_shutdown(control);
    return good;
}

int main(int argc, char** argv) {
    return wgd_main(&(wgd_desc){.name = "walnutgate-controld",
                                .keys = wgco_keys,
                                .keys_num = wgco_keys_num,
                                .settings = &settings,
                                .log_level = &settings.log_level,
                                .log_target = &settings.log_target,
                                .can_init = true,
                                .init = init,
                                .start = start,
                                .stop = stop,
                                .dump = dump,
                                .reload = reload,
                                .settings_size = sizeof settings,
                                .end = end},
                    argc, argv);
}
