/* fake_engine.c -- stand-in for a model engine: continuous batching with slots and a token pace,
   resumable and cancellable streams, delayed load reports, a prefix cache */
#include "fake.h"

enum {
    PREFIXES_MAX = 64,
    DEFAULT_TOKENS = 20,
    PREFIX_SPEEDUP = 4
};

typedef struct {
    struct evhttp_request* request;
    struct event* timer;
    int64_t sent;
    int64_t total;
    int64_t first_wait_us;
    bool stream;
    bool started;
    bool running;
    bool urgent;
    bool cut;
    bool no_marker;
    GString* content;
} job_t;

static struct event_base* engine_base;
static GQueue waiting = G_QUEUE_INIT;
static int64_t running;
static int64_t reported_running; /* `running` as of the last load report */
static uint64_t runs;
static uint64_t tokens_made;
static uint64_t cancelled;
static uint64_t prefix_hits;
static uint64_t prefixes[PREFIXES_MAX];
static uint64_t dropped_prefix;

static void start_next(void);

static void end_job(job_t* job) {
    if (job->request) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(job->request), NULL, NULL);
    }
    if (job->running) {
        running--;
    } else {
        g_queue_remove(&waiting, job);
    }
    event_free(job->timer);
    g_string_free(job->content, TRUE);
    g_free(job);
    start_next();
}

static void on_caller_disconnected(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    job_t* job = user_data;
    cancelled++;
    wgh_free_unanswered(job->request);
    job->request = NULL;
    end_job(job);
}

static void start_timer(job_t* job, int64_t us) {
    struct timeval tv = {.tv_sec = us / 1000000, .tv_usec = us % 1000000};
    event_add(job->timer, &tv);
}

static void add_load_headers(struct evhttp_request* request) {
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    char text[32];
    g_snprintf(text, sizeof text, "%" G_GINT64_FORMAT, reported_running);
    evhttp_add_header(out, "Target-Running", text);
    if (fake.leaving) {
        evhttp_add_header(out, "Target-Leaving", "1");
    }
    if (dropped_prefix) {
        g_snprintf(text, sizeof text, "%016" G_GINT64_MODIFIER "x", dropped_prefix);
        evhttp_add_header(out, "Target-Dropped-Prefix", text);
        dropped_prefix = 0;
    }
}

static void send_event(job_t* job, const char* text) {
    struct evbuffer* out = evbuffer_new();
    fake_add_version_line(out);
    evbuffer_add(out, text, strlen(text));
    evhttp_send_reply_chunk(job->request, out);
    evbuffer_free(out);
}

static void finish_stream(job_t* job) {
    char text[160];
    if (!job->no_marker) {
        g_snprintf(
            text, sizeof text,
            "data: "
            "{\"choices\":[],\"usage\":{\"prompt_tokens\":0,\"completion_tokens\":%" G_GINT64_FORMAT
            "}}\nid: %" G_GINT64_FORMAT "\n\n",
            job->total, job->total + 1);
        send_event(job, text);
        send_event(job, "data: [DONE]\n\n");
    }
    evhttp_send_reply_end(job->request);
}

static void finish_complete(job_t* job) {
    add_load_headers(job->request);
    char usage[128];
    g_snprintf(usage, sizeof usage,
               "\"usage\":{\"prompt_tokens\":0,\"completion_tokens\":%" G_GINT64_FORMAT "}",
               job->total);
    char* text = g_strdup_printf(
        "{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"%s\"}}],%s}",
        job->content->str, usage);
    wgh_reply_text(job->request, 200, "application/json", text);
    g_free(text);
}

static void on_token(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    job_t* job = user_data;
    if (fake.stall) {
        start_timer(job, 100000);
        return;
    }
    if (job->stream && !job->started) {
        job->started = true;
        add_load_headers(job->request);
        fake_add_version_header(job->request);
        evhttp_add_header(evhttp_request_get_output_headers(job->request), "Content-Type",
                          "text/event-stream");
        evhttp_send_reply_start(job->request, 200, "OK");
    }
    bool resumed_at_end = job->sent >= job->total;
    job->sent += resumed_at_end ? 0 : 1;
    tokens_made += resumed_at_end ? 0 : 1;
    char text[160];
    if (job->stream && !resumed_at_end) {
        g_snprintf(text, sizeof text,
                   "id: %" G_GINT64_FORMAT
                   "\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":"
                   "\"t%" G_GINT64_FORMAT " \"}}]}\n\n",
                   job->sent, job->sent);
        send_event(job, text);
    } else if (!job->stream) {
        g_string_append_printf(job->content, "t%" G_GINT64_FORMAT " ", job->sent);
    }
    if (job->cut && job->sent >= (job->total + 1) / 2) {
        struct evhttp_connection* connection = evhttp_request_get_connection(job->request);
        job->request = NULL;
        evhttp_connection_set_closecb(connection, NULL, NULL);
        end_job(job);
        evhttp_connection_free(connection);
        return;
    }
    if (job->sent < job->total) {
        start_timer(job, fake.pace_us);
        return;
    }
    if (job->stream) {
        finish_stream(job);
    } else {
        finish_complete(job);
    }
    struct evhttp_connection* connection = evhttp_request_get_connection(job->request);
    if (connection) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
    }
    job->request = NULL;
    end_job(job);
}

static void start_next(void) {
    while (running < fake.slots && waiting.length > 0) {
        job_t* job = g_queue_pop_head(&waiting);
        job->running = true;
        running++;
        runs++;
        start_timer(job, fake.late_us + job->first_wait_us);
    }
}

static int64_t header_number(struct evhttp_request* request, const char* name, guint base) {
    const char* text = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return text ? (int64_t)g_ascii_strtoull(text, NULL, base) : 0;
}

static bool use_prefix(struct evhttp_request* request) {
    uint64_t prefix = (uint64_t)header_number(request, "Walnutgate-Prefix", 16);
    uint64_t* entry = &prefixes[prefix % PREFIXES_MAX];
    bool hit = prefix != 0 && *entry == prefix;
    if (prefix != 0 && !hit) {
        dropped_prefix = *entry;
        *entry = prefix;
    }
    prefix_hits += hit;
    return hit;
}

static void on_completion(struct evhttp_request* request) {
    char message[128];
    json_t* json = wgh_body_json(request, message, sizeof message);
    if (!json || fake_fault_occurs(fake.refuse)) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Target-Not-Run", "1");
        wgh_reply_text(request, json ? 503 : 400, "text/plain", "not run\n");
        json_decref(json);
        return;
    }
    if (fake_fault_occurs(fake.fail)) {
        runs++;
        wgh_reply_text(request, 500, "text/plain", "failed\n");
        json_decref(json);
        return;
    }
    job_t* job = g_new0(job_t, 1);
    job->request = request;
    job->timer = evtimer_new(engine_base, on_token, job);
    job->content = g_string_new(NULL);
    job->stream = json_is_true(json_object_get(json, "stream"));
    json_t* max_tokens = json_object_get(json, "max_tokens");
    job->total = max_tokens ? json_integer_value(max_tokens) : DEFAULT_TOKENS;
    job->sent = header_number(request, "Last-Event-ID", 10);
    job->cut = fake_fault_occurs(fake.cut);
    job->no_marker = fake_fault_occurs(fake.no_marker);
    job->first_wait_us = fake.pace_us / (use_prefix(request) ? PREFIX_SPEEDUP : 1);
    const char* priority =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Priority");
    job->urgent = priority && (strstr(priority, "u=0") || strstr(priority, "u=1"));
    json_decref(json);
    struct evhttp_connection* connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(connection, on_caller_disconnected, job);
    struct bufferevent* bev = evhttp_connection_get_bufferevent(connection);
    bufferevent_data_cb read_cb;
    bufferevent_data_cb write_cb;
    bufferevent_event_cb event_cb;
    void* arg;
    bufferevent_getcb(bev, &read_cb, &write_cb, &event_cb, &arg);
    bufferevent_setcb(bev, NULL, write_cb, event_cb, arg);
    bufferevent_enable(bev, EV_READ);
    if (job->urgent) {
        g_queue_push_head(&waiting, job);
    } else {
        g_queue_push_tail(&waiting, job);
    }
    start_next();
}

static void on_journal(struct evhttp_request* request) {
    json_t* json = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I}", "runs", (json_int_t)runs, "tokens",
                             (json_int_t)tokens_made, "cancelled", (json_int_t)cancelled, "running",
                             (json_int_t)running, "waiting", (json_int_t)waiting.length,
                             "prefix_hits", (json_int_t)prefix_hits);
    wgh_reply_json(request, 200, json);
}

static void on_load_report(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    (void)user_data;
    reported_running = running;
}

static void setup(struct event_base* base) {
    engine_base = base;
    struct timeval lag = {.tv_usec = 500000};
    fake_own_event = event_new(base, -1, EV_PERSIST, on_load_report, NULL);
    event_add(fake_own_event, &lag);
}

static void on_request(struct evhttp_request* request, void* user_data) {
    (void)user_data;
    char path[128];
    wgh_path(request, path, sizeof path);
    if (strcmp(path, "/v1/chat/completions") == 0) {
        on_completion(request);
    } else if (strcmp(path, "/fake/journal") == 0) {
        on_journal(request);
    } else if (strcmp(path, "/fake/set") == 0) {
        fake_on_set(request);
    } else {
        wgh_reply_text(request, 404, "text/plain", "no such path\n");
    }
}

int main(int argc, char** argv) {
    return fake_run(argc, argv, setup, on_request);
}
