#pragma once
/*
    fake.h -- command line, faults and main loop of the target stand-ins

    Arguments are address=ip:port and key=value pairs of fake_faults; see docs/TARGET-PROTOCOL.md.
    POST /fake/set?key=value sets a fault while the stand-in runs. fake_engine and fake_service
    answer GET /fake/journal with counts of what they ran.
*/
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "wg_http.h"

typedef struct {
    int64_t slots;
    int64_t pace_us;       /* time between two tokens */
    int64_t work_us;       /* run time of an application call */
    int64_t refuse;        /* percent of requests refused as not run */
    int64_t fail;          /* percent of requests that run, then answer 500 */
    int64_t cut;           /* percent of answers aborted in the middle */
    int64_t stall;         /* 1: answers nothing */
    int64_t late_us;       /* delay before the first byte of an answer */
    int64_t no_marker;     /* percent of streams that end without their end marker */
    int64_t leaving;       /* 1: answers report that the target is draining */
    int64_t untold;        /* 1: the target does not tell when it started */
    int64_t rest_ms;       /* backoff hint in Retry-After of 503 answers; 0: none */
    int64_t version;       /* of the software, named in each event; 0: not named */
    int64_t state_version; /* 1: heads of answers state the version too */
    int64_t framing;       /* how answers are delimited and how they end, see fake_answer.h */
    int64_t ends;
    int64_t break_after; /* events of a stream before `ends` applies */
    int64_t seed;
} fake_faults;

static fake_faults fake = {.slots = 8, .pace_us = 20000, .work_us = 2000, .seed = 1};
static const char* fake_address = "127.0.0.1:9000";
static uint64_t fake_counter;
static struct event* fake_own_event; /* optional event that setup() creates; fake_run frees it */

static int64_t* fake_find_field(const char* name) {
    static const struct {
        const char* name;
        int64_t* field;
    } fields[] = {{"slots", &fake.slots},
                  {"pace_us", &fake.pace_us},
                  {"work_us", &fake.work_us},
                  {"refuse", &fake.refuse},
                  {"fail", &fake.fail},
                  {"cut", &fake.cut},
                  {"stall", &fake.stall},
                  {"late_us", &fake.late_us},
                  {"no_marker", &fake.no_marker},
                  {"leaving", &fake.leaving},
                  {"untold", &fake.untold},
                  {"rest_ms", &fake.rest_ms},
                  {"seed", &fake.seed},
                  {"version", &fake.version},
                  {"state_version", &fake.state_version},
                  {"framing", &fake.framing},
                  {"ends", &fake.ends},
                  {"break_after", &fake.break_after}};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (strcmp(fields[i].name, name) == 0) {
            return fields[i].field;
        }
    }
    return NULL;
}

static bool fake_set(const char* name, const char* value) {
    int64_t* field = fake_find_field(name);
    if (field) {
        *field = g_ascii_strtoll(value, NULL, 10);
    }
    return field != NULL;
}

/* States the version in the head of an answer. */
static void fake_add_version_header(struct evhttp_request* request) {
    char text[24];
    g_snprintf(text, sizeof text, "v%" G_GINT64_FORMAT, fake.version);
    if (fake.state_version) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Target-Version", text);
    }
}

/* States the version in an event. */
static void fake_add_version_line(struct evbuffer* out) {
    if (fake.version > 0) {
        evbuffer_add_printf(out, "event: v%" G_GINT64_FORMAT "\n", fake.version);
    }
}

static void fake_parse_arguments(int argc, char** argv) {
    for (int i = 1; i < argc; i++) {
        char** parts = g_strsplit(argv[i], "=", 2);
        if (parts[0] && parts[1] && strcmp(parts[0], "address") == 0) {
            fake_address = g_strdup(parts[1]);
        } else if (!parts[1] || !fake_set(parts[0], parts[1])) {
            fprintf(stderr, "unknown argument %s\n", argv[i]);
            exit(2);
        }
        g_strfreev(parts);
    }
}

/* Whether a fault with this probability occurs now; the same seed gives the same sequence. */
static bool fake_fault_occurs(int64_t percent) {
    return (int64_t)(wg_jitter((uint64_t)fake.seed, ++fake_counter) % 100) < percent;
}

/* POST /fake/set?name=value&... */
static void fake_on_set(struct evhttp_request* request) {
    const char* uri = evhttp_request_get_uri(request);
    struct evkeyvalq params;
    bool good = evhttp_parse_query_str(strchr(uri, '?') ? strchr(uri, '?') + 1 : "", &params) == 0;
    for (struct evkeyval* p = good ? params.tqh_first : NULL; p; p = p->next.tqe_next) {
        good = fake_set(p->key, p->value) && good;
    }
    evhttp_clear_headers(&params);
    wgh_reply_text(request, good ? 200 : 400, "text/plain", good ? "set\n" : "unknown name\n");
}

static void fake_on_stop(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    event_base_loopbreak(user_data);
}

static int fake_run(int argc, char** argv, void (*setup)(struct event_base* base),
                    void (*on_request)(struct evhttp_request*, void*)) {
    signal(SIGPIPE, SIG_IGN);
    fake_parse_arguments(argc, argv);
    /* Without this flag timers have a resolution of about 4 ms. */
    struct event_config* config = event_config_new();
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    struct event_base* base = event_base_new_with_config(config);
    event_config_free(config);
    struct evhttp* http = evhttp_new(base);
    char* ip = g_strndup(fake_address, strcspn(fake_address, ":"));
    int port = atoi(fake_address + strlen(ip) + 1);
    evhttp_set_max_headers_size(http, 64 << 10);
    evhttp_set_max_body_size(http, 64 << 20);
    evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                         EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
    if (evhttp_bind_socket(http, ip, (ev_uint16_t)port) != 0) {
        fprintf(stderr, "cannot listen on %s\n", fake_address);
        return 2;
    }
    g_free(ip);
    setup(base);
    evhttp_set_gencb(http, on_request, NULL);
    struct event* stop = evsignal_new(base, SIGTERM, fake_on_stop, base);
    event_add(stop, NULL);
    event_base_dispatch(base);
    event_free(stop);
    if (fake_own_event) {
        event_free(fake_own_event);
    }
    evhttp_free(http);
    event_base_free(base);
    return 0;
}
