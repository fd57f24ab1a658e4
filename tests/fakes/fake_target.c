/* fake_target.c -- stand-in for a target that registers itself: plain calls and event streams

   Arguments: address=ip:port id=NAME service=NAME orders=ip:port,... (where it registers)
   advertise=ip:port (the address that it registers, by default its own) runs=FILE data_centre=NAME
   cold_ms=N (how long after its start it is cold) first_heartbeat_ms=N (when it first registers,
   after its start) and the faults of fake.h. SIGHUP drains it: it serves on for
   DRAIN_SERVE_TIME_US, deregisters, and ends with its last request. A request whose body begins
   with CRASH_BODY ends the process when its work_us are over. A request with the part CRASH_PART in
   its prompt, but not as its last one, ends it after 0 to 3 events. It keeps no cache list. A
   request for .../large/N is answered with N further bytes, see large_byte().

   Events are appended to the file `runs`, which outlives a killed process, one line each:
     run ID              a request ran; the next line is its data centre and time, "NAME TIME"
     drained ID          a drain was acknowledged
     late TIME           a request ran later than DRAIN_BOUND_US after an acknowledged drain
     cold TIME           more than COLD_ARRIVALS_MAX requests came in a second of the cold time
     crash-part TIME     a request with CRASH_PART came
     cold-most N         highest number of requests in a second of the cold time so far
     in-rest HOST SINCE TIME         a request came from a host that has to back off
     after-leaving HOST SINCE TIME   a request came from a host that knows of the drain */
#include <fcntl.h>
#include <unistd.h>

#include "fake_answer.h"
#include "fake_sender.h"

#define CRASH_BODY "ends the target"
#define CRASH_PART "dead"
#define PARTS_FIELD "Walnutgate-Prompt-Parts"

enum {
    HEARTBEAT_US = 400 * 1000,
    DRAIN_SERVE_TIME_US = 3000 * 1000,
    DRAIN_BOUND_US = 2000 * 1000, /* no connected entry host sends a request later */
    ARRIVALS_MAX = 128,           /* arrivals kept for the count per second */
    COLD_ARRIVALS_MAX = 17 /* requests in any second: 8 by each of two coordinators, and one more */
};

typedef struct {
    struct evhttp_request* request;
    struct event* timer;
    int64_t next; /* id of the next event */
    int64_t last;
    int events; /* sent */
    bool fails;
    bool crashes;
    int crash_after; /* events, if `crashes` */
    bool raw;        /* answered by fake_answer.h */
} job_t;

static struct event_base* target_base;
static const char* target_id = "t";
static const char* target_service = "app";
static const char* data_centre = "dc";
static wg_time cold_time;
static wg_time first_heartbeat_time; /* after the start */
static wg_time started_at;
static wg_time arrival_times[ARRIVALS_MAX]; /* a ring */
static int newest_arrival;                  /* index of the newest arrival */
static int cold_peak_arrivals;              /* max arrivals in a second while the target was cold */
static const char* registered_address;      /* NULL: fake_address */
static char** order_addresses;
static int runs_fd = -1;
static int64_t sequence;
static int64_t incarnation; /* start time, Unix time in ms */
static guint order_address_next;
static bool draining;
static bool drain_acked;
static wg_time drain_acked_at;
static struct event* heartbeat;
static int jobs_num;
static bool deregistered; /* ends with its last request */

static void write_record(const char* what, const char* id) {
    char line[160];
    int size = g_snprintf(line, sizeof line, "%s %s\n", what, id);
    if (write(runs_fd, line, (size_t)size) != size) {
        exit(3);
    }
}

static void write_time_record(const char* what) {
    char at[24];
    g_snprintf(at, sizeof at, "%" G_GINT64_FORMAT, wg_now());
    write_record(what, at);
}

static wg_time cold_time_left(void) {
    return MAX(started_at + cold_time - wg_now(), 0);
}

/* Arrivals within the last second, the newest included. */
static int count_recent_arrivals(wg_time now) {
    int num = 0;
    while (num < ARRIVALS_MAX) {
        wg_time at = arrival_times[(newest_arrival + ARRIVALS_MAX - num) % ARRIVALS_MAX];
        if (at < started_at || at <= now - WG_USEC_PER_SEC) {
            break;
        }
        num++;
    }
    return num;
}

/* Records an arrival, and whether a second within the cold time had more than COLD_ARRIVALS_MAX. */
static void record_arrival(void) {
    wg_time now = wg_now();
    newest_arrival = (newest_arrival + 1) % ARRIVALS_MAX;
    arrival_times[newest_arrival] = now;
    if (cold_time_left() == 0) {
        return;
    }
    int num = count_recent_arrivals(now);
    if (num > COLD_ARRIVALS_MAX) {
        write_time_record("cold");
    }
    if (num > cold_peak_arrivals) {
        char count_text[16];
        cold_peak_arrivals = num;
        g_snprintf(count_text, sizeof count_text, "%d", num);
        write_record("cold-most", count_text);
    }
}

/* ---- heartbeats -------------------------------------------------------------------------------
 */

static void send_heartbeat(void);

static void end_if_done(void) {
    if (deregistered && jobs_num == 0) {
        event_base_loopbreak(target_base);
    }
}

/* Sends a message about this target to the next host. */
static void send_order(struct evhttp_request* request, enum evhttp_cmd_type method) {
    char ip[64];
    char path[96];
    g_strlcpy(ip, order_addresses[order_address_next % g_strv_length(order_addresses)], sizeof ip);
    char* colon = strchr(ip, ':');
    *colon = 0;
    struct evhttp_connection* connection =
        evhttp_connection_base_new(target_base, NULL, ip, (ev_uint16_t)atoi(colon + 1));
    evhttp_connection_set_timeout(connection, 1);
    evhttp_connection_free_on_completion(connection);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "orders");
    g_snprintf(path, sizeof path, "/v1/targets/%s", target_id);
    evhttp_make_request(connection, request, method, path);
}

static void on_deregistered(struct evhttp_request* request, void* user_data) {
    (void)request;
    (void)user_data;
    deregistered = true;
    end_if_done();
}

static void on_serve_time_over(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    (void)user_data;
    event_del(heartbeat);
    send_order(evhttp_request_new(on_deregistered, NULL), EVHTTP_REQ_DELETE);
}

static void on_heartbeat_done(struct evhttp_request* request, void* user_data) {
    bool drain = user_data != NULL;
    bool good = request && evhttp_request_get_response_code(request) == 200;
    if (!good) {
        order_address_next++;
    } else if (drain && !drain_acked) {
        drain_acked = true;
        drain_acked_at = wg_now();
        write_record("drained", target_id);
        struct timeval wait = {.tv_sec = DRAIN_SERVE_TIME_US / 1000000,
                               .tv_usec = DRAIN_SERVE_TIME_US % 1000000};
        event_base_once(target_base, -1, EV_TIMEOUT, on_serve_time_over, NULL, &wait);
    }
}

static void send_heartbeat(void) {
    if (wg_now() < started_at + first_heartbeat_time) {
        return;
    }
    struct evhttp_request* request =
        evhttp_request_new(on_heartbeat_done, draining ? &draining : NULL);
    evbuffer_add_printf(
        evhttp_request_get_output_buffer(request),
        "{\"service\":\"%s\",\"address\":\"%s\",\"data_centre\":\"%s\",\"version\":\"v%d\","
        "\"slots\":%d,\"state\":\"%s\",\"sequence\":%d,\"cold_ms\":%d,\"born\":%" G_GINT64_FORMAT
        "}",
        target_service, registered_address ? registered_address : fake_address, data_centre,
        (int)MAX(fake.version, 1), (int)fake.slots, draining ? "draining" : "ready",
        (int)++sequence, (int)(cold_time_left() / WG_USEC_PER_MSEC), incarnation);
    send_order(request, EVHTTP_REQ_PUT);
}

static void on_heartbeat(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    (void)user_data;
    send_heartbeat();
}

static void on_drain(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    (void)user_data;
    draining = true;
    fake.leaving = 1;
    send_heartbeat();
}

/* ---- requests ----------------------------------------------------------------------------------
 */

static void job_end(job_t* job) {
    event_free(job->timer);
    g_free(job);
    jobs_num--;
    end_if_done();
}

static void on_caller_disconnected(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    job_t* job = user_data;
    wgh_free_unanswered(job->request);
    job->request = NULL;
}

static const char* field(struct evhttp_request* request, const char* name) {
    const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value ? value : "";
}

/* Byte of a large answer; the callers of the soak expect the same. */
static char large_byte(int at) {
    return (char)('a' + (at + at / 251) % 26);
}

static void add_large_answer(struct evhttp_request* request, struct evbuffer* out) {
    static const char large[] = "/large/";
    const char* path = strstr(evhttp_request_get_uri(request), large);
    int size = path ? atoi(path + sizeof large - 1) : 0;
    for (int i = 0; i < size; i++) {
        char byte = large_byte(i);
        evbuffer_add(out, &byte, 1);
    }
}

static void abort_answer(job_t* job) {
    struct evhttp_connection* connection = evhttp_request_get_connection(job->request);
    evhttp_connection_set_closecb(connection, NULL, NULL);
    evhttp_connection_free(connection);
    job_end(job);
}

static void write_event(const job_t* job, struct evbuffer* out) {
    evbuffer_add_printf(out, "id: %d\n", (int)job->next);
    fake_add_version_line(out);
    evbuffer_add_printf(out, "data: %s-%d\n\n", field(job->request, "Walnutgate-Request"),
                        (int)job->next);
}

static void send_event(job_t* job) {
    struct evbuffer* out = evbuffer_new();
    write_event(job, out);
    job->next++;
    job->events++;
    evhttp_send_reply_chunk(job->request, out);
    evbuffer_free(out);
}

/* Fields of an answer that fake_answer.h writes. */
static char* raw_fields(const job_t* job) {
    return g_strdup_printf("Walnutgate-Request: %s\r\n", field(job->request, "Walnutgate-Request"));
}

static void send_raw_plain(job_t* job) {
    struct evbuffer* body = evbuffer_new();
    char* fields = raw_fields(job);
    evhttp_connection_set_closecb(evhttp_request_get_connection(job->request), NULL, NULL);
    evbuffer_add_printf(body, "whole %s", field(job->request, "Walnutgate-Request"));
    add_large_answer(job->request, body);
    evbuffer_add(body, "", 1);
    fake_answer_plain(job->request, fields, (const char*)evbuffer_pullup(body, -1));
    g_free(fields);
    evbuffer_free(body);
    job_end(job);
}

/* Sends the next event of a stream, ends it, or breaks it off. */
static void send_raw_event(job_t* job) {
    if (job->next > job->last) {
        fake_answer_end(job->request, true);
        job_end(job);
        return;
    }
    struct evbuffer* event = evbuffer_new();
    write_event(job, event);
    evbuffer_add(event, "", 1);
    const char* text = (const char*)evbuffer_pullup(event, -1);
    bool breaks = fake.ends && job->events == fake.break_after;
    if (breaks) {
        fake_answer_break(job->request, text);
        job_end(job);
    } else {
        struct timeval wait = {.tv_usec = fake.pace_us};
        fake_answer_write_part(job->request, text);
        job->next++;
        job->events++;
        event_add(job->timer, &wait);
    }
    evbuffer_free(event);
}

static void on_job(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    job_t* job = user_data;
    if (job->crashes && job->events == job->crash_after) {
        _exit(FAKE_CRASH_STATUS);
    }
    if (!job->request) {
        job_end(job);
        return;
    }
    if (fake_fault_occurs(fake.cut)) {
        abort_answer(job);
        return;
    }
    if (job->raw && job->last > 0) {
        send_raw_event(job);
        return;
    }
    if (job->raw) {
        send_raw_plain(job);
        return;
    }
    if (job->last == 0) {
        bool fails = job->fails || fake_fault_occurs(fake.fail);
        evhttp_connection_set_closecb(evhttp_request_get_connection(job->request), NULL, NULL);
        struct evbuffer* out = evbuffer_new();
        evbuffer_add_printf(out, "whole %s", field(job->request, "Walnutgate-Request"));
        add_large_answer(job->request, out);
        evhttp_send_reply(job->request, fails ? 500 : 200, fails ? "Error" : "OK", out);
        evbuffer_free(out);
        job_end(job);
        return;
    }
    if (job->next <= job->last) {
        send_event(job);
        struct timeval wait = {.tv_usec = fake.pace_us};
        event_add(job->timer, &wait);
        return;
    }
    evhttp_connection_set_closecb(evhttp_request_get_connection(job->request), NULL, NULL);
    evhttp_send_reply_end(job->request);
    job_end(job);
}

static void write_violation(const char* what, const char* host, wg_time since) {
    char text[96];
    g_snprintf(text, sizeof text, "%s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT, host, since,
               wg_now());
    write_record(what, text);
}

static void check_sender(struct evhttp_request* request) {
    const char* host = field(request, SENDER_HEADER);
    sender_violation violation = sender_check(request);
    if (violation.in_backoff) {
        write_violation("in-rest", host, violation.since);
    }
    if (violation.after_drain) {
        write_violation("after-leaving", host, violation.since);
    }
}

static bool has_crash_body(struct evhttp_request* request) {
    struct evbuffer* body = evhttp_request_get_input_buffer(request);
    char begin[sizeof CRASH_BODY - 1];
    return evbuffer_copyout(body, begin, sizeof begin) == sizeof begin &&
           memcmp(begin, CRASH_BODY, sizeof begin) == 0;
}

/* Whether a part that is not the last one of the prompt is CRASH_PART. */
static bool has_crash_part(struct evhttp_request* request) {
    char** parts = g_strsplit(field(request, PARTS_FIELD), ",", 0);
    bool found = false;
    for (int i = 0; parts[i] && parts[i + 1]; i++) {
        found = found || g_str_has_prefix(parts[i], CRASH_PART ":");
    }
    g_strfreev(parts);
    return found;
}

/* Tells when this process started, unless `untold` is set. */
static void reply_state(struct evhttp_request* request) {
    if (fake.untold) {
        wgh_reply_text(request, 404, "text/plain", "no state\n");
        return;
    }
    wgh_reply_json(request, 200, json_pack("{s:I}", "born", (json_int_t)incarnation));
}

static void on_request(struct evhttp_request* request, void* user_data) {
    (void)user_data;
    const char* uri = evhttp_request_get_uri(request);
    const char* id = field(request, "Walnutgate-Request");
    const char* expected = field(request, "Walnutgate-Expect-Target");
    if (g_str_has_prefix(uri, "/fake/set")) {
        fake_on_set(request);
        return;
    }
    if (g_str_has_prefix(uri, "/v1/cache")) {
        wgh_reply_text(request, 404, "text/plain", "no list\n");
        return;
    }
    if (g_str_has_prefix(uri, "/v1/state")) {
        reply_state(request);
        return;
    }
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Walnutgate-Request", id);
    fake_add_version_header(request);
    if (expected[0] && strcmp(expected, target_id) != 0) {
        sender_refuse(request, 421);
        return;
    }
    record_arrival();
    check_sender(request);
    if (fake_fault_occurs(fake.refuse)) {
        sender_refuse(request, 503);
        return;
    }
    write_record("run", id);
    write_time_record(data_centre);
    if (drain_acked && wg_now() - drain_acked_at > DRAIN_BOUND_US) {
        write_time_record("late");
    }
    job_t* job = g_new0(job_t, 1);
    jobs_num++;
    job->request = request;
    job->timer = evtimer_new(target_base, on_job, job);
    job->crashes = has_crash_body(request) || has_crash_part(request);
    if (has_crash_part(request)) {
        write_time_record("crash-part");
        job->crash_after = (int)(wg_hash(id, strlen(id), 0) % 4);
    }
    job->raw = fake_answer_is_raw();
    job->fails = strstr(uri, "/stream/") && !job->crashes && fake_fault_occurs(fake.fail);
    if (strstr(uri, "/stream/") && !job->fails) {
        job->next = 1 + atoi(field(request, "Last-Event-ID"));
        job->last = atoi(strstr(uri, "/stream/") + strlen("/stream/"));
    }
    if (job->last > 0 && job->raw) {
        char* fields = raw_fields(job);
        fake_answer_begin(request, fields, -1);
        g_free(fields);
    } else if (job->last > 0) {
        evhttp_add_header(out, "Content-Type", "text/event-stream");
        evhttp_send_reply_start(request, 200, "OK");
    }
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), on_caller_disconnected,
                                  job);
    struct timeval wait = {.tv_usec = fake.work_us};
    event_add(job->timer, &wait);
}

static void setup(struct event_base* base) {
    target_base = base;
    started_at = wg_now();
    incarnation = g_get_real_time() / WG_USEC_PER_MSEC;
    heartbeat = event_new(base, -1, EV_PERSIST, on_heartbeat, NULL);
    struct timeval period = {.tv_usec = HEARTBEAT_US};
    event_add(heartbeat, &period);
    fake_own_event = evsignal_new(base, SIGHUP, on_drain, NULL);
    event_add(fake_own_event, NULL);
    send_heartbeat();
}

/* Consumes this program's own arguments and leaves those of fake.h in argv; returns their count. */
static int parse_own_arguments(int argc, char** argv) {
    int kept_num = 1;
    for (int i = 1; i < argc; i++) {
        if (g_str_has_prefix(argv[i], "id=")) {
            target_id = argv[i] + 3;
        } else if (g_str_has_prefix(argv[i], "service=")) {
            target_service = argv[i] + 8;
        } else if (g_str_has_prefix(argv[i], "orders=")) {
            order_addresses = g_strsplit(argv[i] + 7, ",", 0);
        } else if (g_str_has_prefix(argv[i], "advertise=")) {
            registered_address = argv[i] + strlen("advertise=");
        } else if (g_str_has_prefix(argv[i], "data_centre=")) {
            data_centre = argv[i] + strlen("data_centre=");
        } else if (g_str_has_prefix(argv[i], "cold_ms=")) {
            cold_time = atoi(argv[i] + strlen("cold_ms=")) * (wg_time)WG_USEC_PER_MSEC;
        } else if (g_str_has_prefix(argv[i], "first_heartbeat_ms=")) {
            first_heartbeat_time =
                atoi(argv[i] + strlen("first_heartbeat_ms=")) * (wg_time)WG_USEC_PER_MSEC;
        } else if (g_str_has_prefix(argv[i], "runs=")) {
            runs_fd = open(argv[i] + 5, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        } else {
            argv[kept_num++] = argv[i];
        }
    }
    return kept_num;
}

int main(int argc, char** argv) {
    argc = parse_own_arguments(argc, argv);
    if (runs_fd < 0 || !order_addresses) {
        fprintf(stderr, "fake_target: arguments orders= and runs= are required\n");
        return 2;
    }
    return fake_run(argc, argv, setup, on_request);
}
