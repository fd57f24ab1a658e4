#pragma once
/* flood_play.h -- plays a flooding target: requests to it, and to a sound one meanwhile */
#include <event2/buffer.h>
#include <event2/http.h>

#include "flooder.h"

enum {
    FLOOD_REQUESTS = 4,      /* to the flooding target at once */
    FLOOD_TIMEOUT_MS = 2500, /* of their route */
    FLOOD_LATE_MS = 500,     /* by which a request may exceed it */
    FLOOD_CLOSED_MS = 1000,  /* until the connection to a target that sends no answer is closed */
    FLOOD_SOUND_MS = 50,     /* between two requests to the sound target */
    FLOOD_SOUND_LATE_MS = 1000,
    FLOOD_SOUND_MAX = 400,
    FLOOD_GROWTH_MB = 32,
    FLOOD_PROCESSES_MAX = 3
};

/* Where the floods are played. */
typedef struct {
    struct event_base* base;
    flooder* flooding;
    const char* addresses[FLOOD_PROCESSES_MAX]; /* for callers, of the processes that are watched */
    pid_t processes[FLOOD_PROCESSES_MAX];
    int processes_num;
    const char* flood_path;
    const char* sound_path;
    const char* key; /* NULL: none */
    int requests;    /* to the flooding target; 0: it is asked by the processes themselves */
    void (*on_second)(void);
} flood_site;

typedef struct {
    wg_time sent_at;
    int64_t took_ms; /* -1: not over */
    int status;
} flood_ask;

typedef struct {
    int64_t longest_ms; /* of the requests to the flooding target */
    int unanswered;     /* of these, at the end */
    int connections;    /* on which the target sent */
    int connection_ms;  /* longest life of one of them */
    int sound;          /* requests to the sound target */
    int sound_bad;      /* of these, not served in time */
    int64_t growth_mb;  /* of the memory of a process */
} flood_outcome;

static void flood_on_chunk(struct evhttp_request* request, void* user_data) {
    (void)user_data;
    struct evbuffer* in = evhttp_request_get_input_buffer(request);
    evbuffer_drain(in, evbuffer_get_length(in));
}

static void flood_on_answer(struct evhttp_request* request, void* user_data) {
    flood_ask* a = user_data;
    a->took_ms = (wg_now() - a->sent_at) / MSEC;
    a->status = request ? evhttp_request_get_response_code(request) : 0;
}

static struct evhttp_connection* flood_connect(struct event_base* base, const char* address) {
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    wgn_split_address(address, ip, &port);
    struct evhttp_connection* connection = evhttp_connection_base_new(base, NULL, ip, port);
    evhttp_connection_set_timeout(connection, FLOOD_MAX_S + 4);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_free_on_completion(connection);
    return connection;
}

static void flood_send(const flood_site* site, flood_ask* a, const char* address,
                       const char* path) {
    *a = (flood_ask){.sent_at = wg_now(), .took_ms = -1};
    struct evhttp_request* request = evhttp_request_new(flood_on_answer, a);
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_request_set_chunked_cb(request, flood_on_chunk);
    evhttp_add_header(out, "Host", "h");
    if (site->key) {
        evhttp_add_header(out, "Authorization", site->key);
    }
    evhttp_make_request(flood_connect(site->base, address), request, EVHTTP_REQ_GET, path);
}

static void flood_run_for(const flood_site* site, int ms) {
    struct timeval time = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_base_loopexit(site->base, &time);
    event_base_dispatch(site->base);
}

/* Memory of the process that uses most, in MB. */
static int64_t flood_highest_mb(const flood_site* site) {
    int64_t highest = 0;
    for (int i = 0; i < site->processes_num; i++) {
        highest = MAX(highest, resident_mb(site->processes[i]));
    }
    return highest;
}

static bool flood_is_over(const flood_site* site, const flood_ask* asks) {
    for (int i = 0; i < site->requests; i++) {
        if (asks[i].took_ms < 0) {
            return false;
        }
    }
    return g_atomic_int_get(&site->flooding->connections) > 0 &&
           g_atomic_int_get(&site->flooding->open) == 0;
}

static flood_outcome flood_play(const flood_site* site, const flood* kind) {
    static flood_ask floods_sent[FLOOD_REQUESTS];
    static flood_ask sound[FLOOD_SOUND_MAX];
    flooder* flooding = site->flooding;
    flood_outcome o = {0};
    int64_t before_mb = flood_highest_mb(site);
    int64_t highest_mb = before_mb;
    flooding->kind = kind;
    g_atomic_int_set(&flooding->longest_ms, 0);
    g_atomic_int_set(&flooding->connections, 0);
    if (site->on_second) {
        site->on_second();
    }
    for (int i = 0; i < site->requests; i++) {
        flood_send(site, &floods_sent[i], site->addresses[0], site->flood_path);
    }
    wg_time since = wg_now();
    wg_time second_at = since;
    bool over = false;
    while (!over && wg_now() - since < (FLOOD_TIMEOUT_MS + 2000) * MSEC) {
        int at = site->requests ? 0 : o.sound % site->processes_num;
        ck_assert_int_lt(o.sound, FLOOD_SOUND_MAX);
        flood_send(site, &sound[o.sound++], site->addresses[at], site->sound_path);
        flood_run_for(site, FLOOD_SOUND_MS);
        if (site->on_second && wg_now() - second_at > SECOND) {
            second_at = wg_now();
            site->on_second();
        }
        highest_mb = MAX(highest_mb, flood_highest_mb(site));
        over = flood_is_over(site, floods_sent) && wg_now() - since > 500 * MSEC;
    }
    flood_run_for(site, FLOOD_SOUND_LATE_MS);
    for (int i = 0; i < site->requests; i++) {
        o.unanswered += floods_sent[i].took_ms < 0;
        o.longest_ms = MAX(o.longest_ms, floods_sent[i].took_ms);
    }
    for (int i = 0; i < o.sound; i++) {
        bool in_time = sound[i].took_ms >= 0 && sound[i].took_ms <= FLOOD_SOUND_LATE_MS;
        o.sound_bad += sound[i].status != 200 || !in_time;
    }
    o.connections = g_atomic_int_get(&flooding->connections);
    o.connection_ms = g_atomic_int_get(&flooding->longest_ms);
    o.growth_mb = highest_mb - before_mb;
    printf("%s: %d answered (status %d) after %d ms, %d not; connections open for %d ms, %d still; "
           "%d of %d sound requests not served in time; memory +%d MB\n",
           kind->name, site->requests - o.unanswered, site->requests ? floods_sent[0].status : 0,
           (int)o.longest_ms, o.unanswered, o.connection_ms, g_atomic_int_get(&flooding->open),
           o.sound_bad, o.sound, (int)o.growth_mb);
    fflush(stdout);
    return o;
}

static bool flood_is_good(const flood* kind, const flood_outcome* o) {
    int longest_ms = FLOOD_TIMEOUT_MS + FLOOD_LATE_MS;
    int closed_ms = kind->is_answer ? longest_ms : FLOOD_CLOSED_MS;
    return o->unanswered == 0 && o->longest_ms <= longest_ms && o->sound_bad == 0 &&
           o->connections > 0 && o->connection_ms <= closed_ms && o->growth_mb <= FLOOD_GROWTH_MB;
}

/* Plays all kinds; returns how many were not good. */
static int flood_play_all(const flood_site* site) {
    int bad = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(floods); i++) {
        flood_outcome o = flood_play(site, &floods[i]);
        bad += !flood_is_good(&floods[i], &o);
    }
    return bad;
}
