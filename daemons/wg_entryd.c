/* wg_entryd.c -- see entryd.h */
#include "entryd.h"
#include "wg_daemon.h"

static wg_entry_settings settings;
static const wg_entry_names* entry_names;
static wg_entry* entry;

static bool start(struct event_base* base, GError** error) {
    entry = wg_entry_setup(
        &(wg_entry_desc){.base = base, .settings = &settings, .names = entry_names}, error);
    return entry != NULL;
}

static void stop(void) {
    wg_entry_stop(entry);
}

static json_t* dump(void) {
    return wg_entry_dump(entry);
}

static void reload(const void* changed) {
    wg_entry_reload(entry, changed);
}

static bool end(void) {
    wg_entry_shutdown(entry);
    return true;
}

int wg_entryd_main(const char* program, const wg_entry_names* names, int argc, char** argv) {
    entry_names = names;
    return wgd_main(&(wgd_desc){.name = program,
                                .keys = wg_entry_keys,
                                .keys_num = wg_entry_keys_num,
                                .settings = &settings,
                                .log_level = &settings.log_level,
                                .log_target = &settings.log_target,
                                .start = start,
                                .stop = stop,
                                .dump = dump,
                                .reload = reload,
                                .settings_size = sizeof settings,
                                .end = end},
                    argc, argv);
}
