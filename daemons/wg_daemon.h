#pragma once
/*
    wg_daemon.h -- what both daemons' mains share: command line, settings, signals

    WHAT IT DOES
        Parses the command line, loads and checks the settings, sets the log up, runs the loop, and
        turns signals into calls: SIGTERM and SIGINT a planned stop (a second one hurries it),
        SIGHUP the settings again, SIGUSR1 a state dump to the log.

    USE
        fill a wgd_desc and return wgd_main(&desc, argc, argv) from main().

    THE CALLER OWNS
        the desc. Exit status: 0 stopped in the planned way, 1 failed while running, 2 not started.
*/
#include "wg_settings.h"

#include <event2/event.h>
#include <jansson.h>

typedef struct {
    const char* name;
    const wgi_key* keys;
    int keys_num;
    void* settings; /* filled by the keys */
    char** log_level;
    char** log_target;
    bool can_init; /* the command line has --init */
    bool (*init)(GError** error);
    bool (*start)(struct event_base* base, GError** error);
    void (*stop)(void);
    json_t* (*dump)(void);
    /* SIGHUP: settings were read again into a struct of their own. What can change while the
       daemon runs is taken over; NULL when nothing can. */
    void (*reload)(const void* settings);
    size_t settings_size;
    /* After the loop: false when the daemon failed. */
    bool (*end)(void);
} wgd_desc;

int wgd_main(const wgd_desc* desc, int argc, char** argv);
