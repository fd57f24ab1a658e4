#pragma once
/*
    wg_daemon.h -- main program shared by all daemons: command line, settings, signals

    WHAT IT DOES
        Parses the command line, loads and checks the settings, sets up the log, runs the event loop
        and handles signals: SIGTERM and SIGINT begin a planned stop, a second one speeds it up;
        SIGHUP reloads the settings; SIGUSR1 writes a state dump to the log.

    USE
        fill a wgd_desc and return wgd_main(&desc, argc, argv) from main().

    THE CALLER OWNS
        the desc. Exit status: 0 after a planned stop, 1 after a failure while running, 2 if the
        daemon did not start.
*/
#include "wg_settings.h"

#include <event2/event.h>
#include <jansson.h>

typedef struct {
    const char* name;
    const wgi_key* keys;
    int keys_num;
    void* settings; /* struct that `keys` describes; filled from the file */
    char** log_level;
    char** log_target;
    bool can_init; /* offer --init, which calls init() */
    bool (*init)(GError** error);
    bool (*start)(struct event_base* base, GError** error);
    void (*stop)(void);
    json_t* (*dump)(void);
    /* SIGHUP: applies those of the reloaded settings that can change while the daemon runs. They
       are valid during the call only. NULL if no setting can change. */
    void (*reload)(const void* settings);
    size_t settings_size; /* bytes of the settings struct; required with reload */
    /* Called after the event loop ended. False if the daemon failed. */
    bool (*end)(void);
} wgd_desc;

int wgd_main(const wgd_desc* desc, int argc, char** argv);
