#pragma once
/* stream_fleet.h -- real processes: a fleet whose callers each take one stream up until it is whole

   Targets name their software version in each event, so that a stream of two versions is seen. */
#include <event2/buffer.h>
#include <event2/http.h>
#include <signal.h>
#include <sys/wait.h>

#include "hosts_operator.h"
#include "wg_net.h"
#include "wg_test.h"

enum {
    HOSTS = 5,
    DISKS = 3,
    FORM_MS = 30000,
    STREAMS = 48,
    EVENTS = 60,      /* of a stream */
    SPREAD_MS = 400,  /* in which the streams start */
    BREAK_MS = 550,   /* after the first one started: all are in progress */
    ATTEMPTS_MAX = 8, /* of a caller for one stream */
    RETURN_MS = 50,   /* until a caller whose stream broke off takes it up */
    DONE_MS = 8000,   /* until all callers are done */
    ANSWER_S = 4
};

/* Four targets have as many slots as there are streams, so that all of them are used. */
#define TARGET_FAULTS "pace_us=10000&slots=12"

typedef struct fleet fleet;

/* A caller and its stream. */
typedef struct {
    fleet* f;
    int number;
    int attempts;
    char first_id[32]; /* of the attempt that brought the first event */
    char last_id[32];  /* of the last attempt */
    int last_event;
    unsigned versions; /* bit mask of the versions that made events */
    struct evbuffer* bytes;
    struct event* timer;
    bool taken_up; /* after its first event it asked another host or again */
    bool whole;
    bool done;
} stream;

struct fleet {
    struct event_base* base;
    hosts h;
    int first_host; /* callers use the hosts from this one on */
    bool paused;    /* callers whose stream broke off wait */
    stream streams[STREAMS];
    int refused; /* answers 503 */
};

/* ---- callers --------------------------------------------------------------------------------- */

static void stream_send(stream* s);

static void stream_schedule(stream* s, int ms) {
    struct timeval wait = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_add(s->timer, &wait);
}

static void on_stream_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    stream* s = user_data;
    if (s->f->paused && s->attempts > 0) {
        stream_schedule(s, RETURN_MS);
    } else {
        stream_send(s);
    }
}

static void read_line(stream* s, const char* line) {
    if (g_str_has_prefix(line, "id: ")) {
        int id = atoi(line + strlen("id: "));
        ck_assert_msg(id == s->last_event + 1, "stream %d: event %d after %d", s->number, id,
                      s->last_event);
        s->last_event = id;
        g_strlcpy(s->first_id, s->first_id[0] ? s->first_id : s->last_id, sizeof s->first_id);
    }
    if (g_str_has_prefix(line, "event: v")) {
        s->versions |= 1U << atoi(line + strlen("event: v"));
    }
}

static void on_chunk(struct evhttp_request* request, void* user_data) {
    stream* s = user_data;
    if (evhttp_request_get_response_code(request) != 200) {
        return;
    }
    evbuffer_add_buffer(s->bytes, evhttp_request_get_input_buffer(request));
    for (char* line; (line = evbuffer_readln(s->bytes, NULL, EVBUFFER_EOL_LF));) {
        read_line(s, line);
        free(line);
    }
}

static void on_end(struct evhttp_request* request, void* user_data) {
    stream* s = user_data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    s->f->refused += status == 503;
    s->whole = s->last_event == EVENTS;
    s->done = s->whole || s->attempts == ATTEMPTS_MAX;
    if (!s->done) {
        stream_schedule(s, RETURN_MS);
    }
}

static void stream_send(stream* s) {
    fleet* f = s->f;
    int used = HOSTS - f->first_host;
    const host* w = &f->h.hosts[f->first_host + (s->number + s->attempts) % used];
    char ip[WG_ADDRESS_MAX];
    char text[16];
    uint16_t port;
    s->attempts++;
    s->taken_up = s->taken_up || s->first_id[0];
    evbuffer_drain(s->bytes, evbuffer_get_length(s->bytes));
    wgn_split_address(w->callers, ip, &port);
    struct evhttp_connection* connection = evhttp_connection_base_new(f->base, NULL, ip, port);
    evhttp_connection_set_timeout(connection, ANSWER_S);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_free_on_completion(connection);
    struct evhttp_request* request = evhttp_request_new(on_end, s);
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_request_set_chunked_cb(request, on_chunk);
    g_snprintf(s->last_id, sizeof s->last_id, "s%d-%d", s->number, s->attempts);
    evhttp_add_header(out, "Host", "h");
    evhttp_add_header(out, "Walnutgate-Request", s->last_id);
    if (s->first_id[0]) {
        g_snprintf(text, sizeof text, "%d", s->last_event);
        evhttp_add_header(out, "Walnutgate-Resumes", s->first_id);
        evhttp_add_header(out, "Last-Event-ID", text);
    }
    char* path = g_strdup_printf("/stream/%d", EVENTS);
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, path);
    g_free(path);
}

static void start_streams(fleet* f) {
    for (int i = 0; i < STREAMS; i++) {
        stream* s = &f->streams[i];
        *s = (stream){.f = f, .number = i, .bytes = evbuffer_new()};
        s->timer = evtimer_new(f->base, on_stream_timer, s);
        stream_schedule(s, i * SPREAD_MS / STREAMS);
    }
}

static bool all_done(const fleet* f) {
    for (int i = 0; i < STREAMS; i++) {
        if (!f->streams[i].done) {
            return false;
        }
    }
    return true;
}

static void run_until_done(fleet* f) {
    wg_time until = wg_now() + DONE_MS * MSEC;
    while (!all_done(f) && wg_now() < until) {
        hosts_run_for(&f->h, 20);
    }
}

typedef struct {
    int whole;
    int taken_up;       /* streams that their callers took up */
    int taken_up_whole; /* of these, streams that went on to their end */
    int joined;         /* streams with events of more than one version */
} outcome;

static outcome outcome_of(const fleet* f) {
    outcome o = {0};
    for (int i = 0; i < STREAMS; i++) {
        const stream* s = &f->streams[i];
        o.whole += s->whole;
        o.taken_up += s->taken_up;
        o.taken_up_whole += s->taken_up && s->whole;
        o.joined += (s->versions & (s->versions - 1)) != 0;
    }
    printf(
        "%d of %d streams whole, %d taken up, %d of them whole, %d of two versions, %d refusals\n",
        o.whole, STREAMS, o.taken_up, o.taken_up_whole, o.joined, f->refused);
    fflush(stdout);
    return o;
}

/* ---- the fleet ------------------------------------------------------------------------------- */

static void target_start(fleet* f, int number, int version) {
    host_target* t = &f->h.targets[number];
    t->version = version;
    hosts_start_target(&f->h, t);
    wg_time until = wg_now() + FORM_MS * MSEC;
    while (!hosts_set_faults(&f->h, t, TARGET_FAULTS) && wg_now() < until) {
        hosts_run_for(&f->h, 20);
    }
}

/* `list`: versions of the targets, then 0. */
static void begin(fleet* f, const int* list) {
    *f = (fleet){.base = event_base_new()};
    hosts_setup(&f->h, f->base, HOSTS, DISKS, HOST_TARGETS_MAX);
    hosts_use_deployed_timing(&f->h);
    f->h.direct_targets = true; /* a proxy would accept connections for a target that has ended */
    for (int i = 0; i < HOSTS; i++) {
        hosts_start_entry(&f->h, &f->h.hosts[i]);
        if (f->h.hosts[i].disk) {
            hosts_start_replica(&f->h, &f->h.hosts[i]);
        }
    }
    f->h.started_before = true;
    for (int i = 0; i < HOST_TARGETS_MAX; i++) {
        f->h.targets[i].service = "app";
    }
    ck_assert(hosts_put_until(&f->h, 1, FORM_MS));
    for (int i = 0; list[i]; i++) {
        target_start(f, i, list[i]);
    }
    for (int i = 0; i < HOSTS; i++) {
        ck_assert(hosts_serves_until(&f->h, &f->h.hosts[i], FORM_MS));
    }
    hosts_run_for(&f->h, 500); /* all hosts know all targets */
}

static void end(fleet* f, bool good) {
    hosts_shutdown(&f->h, !good);
    for (int i = 0; i < STREAMS; i++) {
        event_free(f->streams[i].timer);
        evbuffer_free(f->streams[i].bytes);
    }
    event_base_free(f->base);
}

static void kill_process(pid_t* pid) {
    kill(*pid, SIGKILL);
    waitpid(*pid, NULL, 0);
    *pid = 0;
}

static void kill_entry(fleet* f, int number) {
    kill_process(&f->h.hosts[number].entry);
}

static void kill_replicas(fleet* f) {
    for (int i = 0; i < DISKS; i++) {
        kill_process(&f->h.hosts[i].replica);
    }
}

/* Kills all entry processes, and starts them again, with the replicas that have ended. */
static void restart_entries(fleet* f) {
    f->paused = true;
    for (int i = 0; i < HOSTS; i++) {
        kill_entry(f, i);
    }
    for (int i = 0; i < HOSTS; i++) {
        hosts_start_entry(&f->h, &f->h.hosts[i]);
        if (f->h.hosts[i].disk && !f->h.hosts[i].replica) {
            hosts_start_replica(&f->h, &f->h.hosts[i]);
        }
    }
    for (int i = 0; i < HOSTS; i++) {
        ck_assert(hosts_serves_until(&f->h, &f->h.hosts[i], FORM_MS));
    }
    f->paused = false;
}
