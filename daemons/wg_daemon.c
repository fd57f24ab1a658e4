/* wg_daemon.c -- see wg_daemon.h */
#include "wg_daemon.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "wg_loop.h"
#include "wg_version.h"

/* ---- types -------------------------------------------------------------------------------- */

enum {
    _WGD_EXIT_FAILED = 1,
    _WGD_EXIT_NOT_STARTED = 2
};

typedef struct {
    const char* settings;
    bool check;
    bool print;
    bool init;
    int status; /* >= 0: exit immediately with this status */
} _wgd_options_t;

static const char* _wgd_settings_path;

/* ---- helpers ------------------------------------------------------------------------------ */

static _wgd_options_t _wgd_parse(const wgd_desc* desc, int argc, char** argv) {
    struct arg_file* settings = arg_file0("s", "settings", "<file>", "settings file in INI format");
    struct arg_lit* check = arg_lit0(NULL, "check-settings", "check the settings and exit");
    struct arg_lit* print =
        arg_lit0(NULL, "print-settings", "print the effective settings and exit");
    struct arg_lit* keys =
        arg_lit0(NULL, "list-settings", "print all keys as a Markdown table and exit");
    struct arg_lit* init =
        arg_lit0(NULL, "init", "initialise a new cluster in an empty data folder and exit");
    struct arg_lit* help = arg_lit0("h", "help", "print this help and exit");
    struct arg_lit* version = arg_lit0(NULL, "version", "print the version and exit");
    struct arg_end* end = arg_end(8);
    void* table[] = {settings, check, print, keys, help, version, init, end};
    if (!desc->can_init) {
        table[6] = end;
    }
    _wgd_options_t options = {.status = -1};
    int errors = arg_parse(argc, argv, table);
    if (help->count) {
        printf("Usage: %s", desc->name);
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-28s %s\n");
        options.status = EXIT_SUCCESS;
    } else if (version->count) {
        printf("%s %s\n", desc->name, WG_VERSION);
        options.status = EXIT_SUCCESS;
    } else if (keys->count) {
        wgi_print_help(desc->keys, desc->keys_num);
        options.status = EXIT_SUCCESS;
    } else if (errors > 0 || settings->count == 0) {
        arg_print_errors(stderr, end, desc->name);
        fprintf(stderr, "%s: --settings <file> is required; see --help\n", desc->name);
        options.status = _WGD_EXIT_NOT_STARTED;
    }
    if (options.status < 0) {
        options.settings = g_strdup(settings->filename[0]);
        options.check = check->count > 0;
        options.print = print->count > 0;
        options.init = desc->can_init && init->count > 0;
    }
    void* to_release[] = {settings, check, print, keys, help, version, init, end};
    arg_freetable(to_release, G_N_ELEMENTS(to_release));
    return options;
}

static int _wgd_start_failed(const wgd_desc* desc, GError* error) {
    fprintf(stderr, "%s: %s\n", desc->name, error ? error->message : "cannot start");
    g_clear_error(&error);
    return _WGD_EXIT_NOT_STARTED;
}

static void _wgd_on_stop(evutil_socket_t signal, short what, void* user_data) {
    (void)signal;
    (void)what;
    ((const wgd_desc*)user_data)->stop();
}

static void _wgd_on_dump(evutil_socket_t signal, short what, void* user_data) {
    (void)signal;
    (void)what;
    json_t* json = ((const wgd_desc*)user_data)->dump();
    char* text = json_dumps(json, JSON_COMPACT);
    wg_log(WG_EVENT_STATE_DUMP, "%s", text);
    free(text);
    json_decref(json);
}

/* Reloads the settings file. An invalid file changes nothing. */
static void _wgd_on_reload(evutil_socket_t signal, short what, void* user_data) {
    (void)signal;
    (void)what;
    const wgd_desc* desc = user_data;
    GError* error = NULL;
    void* settings = g_malloc0(desc->settings_size + 1);
    if (!desc->reload) {
        wg_log(WG_EVENT_RELOADED, "taken_over=nothing");
    } else if (wgi_load(_wgd_settings_path, desc->keys, desc->keys_num, settings, &error)) {
        desc->reload(settings);
        wg_log(WG_EVENT_RELOADED, "file=%s", _wgd_settings_path);
        wgi_clear(desc->keys, desc->keys_num, settings);
    } else {
        wg_log(WG_EVENT_RELOAD_REFUSED, "%s", error->message);
        g_error_free(error);
    }
    g_free(settings);
}

/* Raises the limit of open files to the hard limit: each caller and target connection needs one. */
static void _wgd_raise_file_limit(void) {
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

static int _wgd_run(const wgd_desc* desc) {
    GError* error = NULL;
    struct event_base* base = wg_loop_setup();
    if (!desc->start(base, &error)) {
        event_base_free(base);
        return _wgd_start_failed(desc, error);
    }
    const struct {
        int signal;
        event_callback_fn callback;
    } signals[] = {{SIGTERM, _wgd_on_stop},
                   {SIGINT, _wgd_on_stop},
                   {SIGHUP, _wgd_on_reload},
                   {SIGUSR1, _wgd_on_dump}};
    struct event* events[G_N_ELEMENTS(signals)];
    for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
        events[i] = evsignal_new(base, signals[i].signal, signals[i].callback, (void*)desc);
        event_add(events[i], NULL);
    }
    wg_log(WG_EVENT_STARTED, "program=%s version=%s", desc->name, WG_VERSION);
    event_base_dispatch(base);
    bool good = desc->end();
    wg_log(WG_EVENT_STOPPED, "%s", "");
    for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
        event_free(events[i]);
    }
    event_base_free(base);
    return good ? EXIT_SUCCESS : _WGD_EXIT_FAILED;
}

/* ---- public functions --------------------------------------------------------------------- */

int wgd_main(const wgd_desc* desc, int argc, char** argv) {
    signal(SIGPIPE, SIG_IGN);
    signal(SIGHUP, SIG_IGN); /* until the event loop handles it */
    /* A write beyond a file size limit fails with an error, as on a full disk. */
    signal(SIGXFSZ, SIG_IGN);
    _wgd_options_t options = _wgd_parse(desc, argc, argv);
    if (options.status >= 0) {
        return options.status;
    }
    GError* error = NULL;
    _wgd_settings_path = options.settings;
    if (!wgi_load(options.settings, desc->keys, desc->keys_num, desc->settings, &error)) {
        return _wgd_start_failed(desc, error);
    }
    int status = EXIT_SUCCESS;
    if (options.print) {
        wgi_print(desc->keys, desc->keys_num, desc->settings);
    } else if (options.check) {
        printf("%s: settings are valid\n", options.settings);
    } else if (!wg_log_setup(*desc->log_level, *desc->log_target, &error)) {
        status = _wgd_start_failed(desc, error);
    } else if (options.init) {
        status = desc->init(&error) ? EXIT_SUCCESS : _wgd_start_failed(desc, error);
    } else {
        _wgd_raise_file_limit();
        status = _wgd_run(desc);
    }
    wgi_clear(desc->keys, desc->keys_num, desc->settings);
    g_free((char*)options.settings);
    return status;
}
