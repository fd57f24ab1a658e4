/* test_entry_descriptors.c -- an entry host that runs short of file descriptors

   Guards against a loop that spins on a failing accept(), and against callers that get no answer
   because idle connections hold the descriptors that others need. */
#include "one_entry.h"

#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

enum {
    SMALL_RECEIVE_BUFFER = 16 * 1024, /* so that the answer waits at the entry host */
    FAILURE_MS = 500,                 /* time for which accept() fails */
    FAILURES_MAX = 30,                /* one each 20 ms, and some for a late loop */
    WAITING_CALLERS = 3,              /* in the backlog while accept() fails */

    DESCRIPTORS = 40,      /* with one link: idle connections give way above 32 */
    STREAMS_MAX = 17,      /* 35 with the link; an 18th would need 37, and targets stop at 36 */
    CALLERS_MAX = 18,      /* then: half of 37 */
    ROOMY = 60,            /* descriptors; idle connections give way above 48 */
    IDLE_MIN_MS = 100,     /* a younger connection counts as used */
    IDLE_TIMEOUT_MS = 5000 /* idle connections to targets are closed before */
};

static int accepts_failed; /* accept4() calls of the process that failed for lack of descriptors */

/* Replaces the function of the C library in libevent, to count failures. */
int accept4(int fd, struct sockaddr* address, socklen_t* size, int flags) {
    int accepted = (int)syscall(SYS_accept4, fd, address, size, flags);
    accepts_failed += accepted < 0 && errno == EMFILE;
    return accepted;
}

/* ---- accept() fails -------------------------------------------------------------------------- */

/* Runs the loop without pauses of its own, so that a readable socket wakes it at once. */
static void run_for(int ms) {
    struct timeval time = {.tv_usec = ms * 1000};
    event_base_loopexit(base, &time);
    event_base_dispatch(base);
}

/* Lowers the limit of the process so that no more descriptor can be opened; returns the limit that
   was in force. */
static struct rlimit exhaust_descriptors(void) {
    struct rlimit before;
    ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &before), 0);
    int lowest_free = dup(STDIN_FILENO);
    ck_assert_int_ge(lowest_free, 0);
    close(lowest_free);
    struct rlimit none_left = {.rlim_cur = (rlim_t)lowest_free, .rlim_max = before.rlim_max};
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &none_left), 0);
    return before;
}

static void connect_socket(int fd) {
    char* address = local_address(11, CALLERS_PORT);
    struct sockaddr_storage to;
    int size;
    ck_assert(wgn_parse_address(address, &to, &size));
    ck_assert(connect(fd, (struct sockaddr*)&to, (socklen_t)size) == 0 || errno == EINPROGRESS);
    g_free(address);
}

static void send_on(int fd, const char* path) {
    char* request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path);
    ck_assert_int_eq(send(fd, request, strlen(request), MSG_NOSIGNAL), (ssize_t)strlen(request));
    g_free(request);
}

/* Without the pause, the loop calls accept() again and again while it fails, which takes the
   whole processor share of the host. Callers in the backlog must be served afterwards. */
START_TEST(loop_does_not_spin_while_accept_fails) {
    char answer[1024];
    int callers[WAITING_CALLERS];
    one_entry_begin();
    one_entry_lead(&(one_route){.version = 1, .prefix = "/a/", .timeout_ms = 5000});
    for (int i = 0; i < WAITING_CALLERS; i++) {
        callers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    }
    struct rlimit before = exhaust_descriptors();
    for (int i = 0; i < WAITING_CALLERS; i++) {
        connect_socket(callers[i]);
    }
    run_for(FAILURE_MS);
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &before), 0);
    ck_assert_int_gt(accepts_failed, 1); /* it is tried again */
    ck_assert_int_le(accepts_failed, FAILURES_MAX);
    for (int i = 0; i < WAITING_CALLERS; i++) {
        send_on(callers[i], "/none/");
        ck_assert_int_eq(status_of(callers[i], answer), 404);
        close(callers[i]);
    }
    one_entry_end();
}
END_TEST

/* A stop must not end while callers may wait in the backlog of a paused listener: they would get no
   answer. */
START_TEST(planned_stop_waits_for_a_paused_listener) {
    enum {
        STOP_MIN_MS = 3300, /* a stop without any request takes as long */
        STOP_MAX_MS = 7750
    };
    char answer[1024];
    struct rlimit before;
    int caller;
    one_entry_begin();
    one_entry_lead(&(one_route){.version = 1, .prefix = "/a/", .timeout_ms = 5000});
    caller = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    before = exhaust_descriptors();
    connect_socket(caller);
    wg_entry_stop(entry);
    wg_time end = wg_now() + (STOP_MIN_MS + 500) * MSEC;
    while (wg_now() < end) {
        /* Keeps the link up: its end would leave a descriptor to the caller. */
        one_entry_lead(&(one_route){.version = 1, .prefix = "/a/", .timeout_ms = 5000});
        for (int i = 0; i < 100; i++) { /* each turn of the loop resets what is checked */
            run_turns(1);
            ck_assert(!event_base_got_break(base));
        }
    }
    ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &before), 0);
    run_turns(50);
    send_on(caller, "/none/");
    ck_assert_int_eq(status_of(caller, answer), 404);
    for (int i = 0; i < 500 && !event_base_got_break(base); i++) {
        run_turns(1);
    }
    ck_assert(event_base_got_break(base));
    ck_assert_int_lt(wg_now() - end, (STOP_MAX_MS - STOP_MIN_MS - 500) * MSEC);
    close(caller);
    one_entry_end();
}
END_TEST

/* ---- with spare_descriptors ------------------------------------------------------------------ */

typedef struct {
    int caller;
    struct bufferevent* target;
} stream;

static GString* log_lines; /* WG2034 and WG2035 */

static GLogWriterOutput record_log(GLogLevelFlags level, const GLogField* fields, gsize num,
                                   gpointer user_data) {
    (void)level;
    (void)user_data;
    for (gsize i = 0; i < num; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0 && strstr(fields[i].value, "DESCRIPTORS_")) {
            g_string_append_printf(log_lines, "%s\n", (const char*)fields[i].value);
        }
    }
    return G_LOG_WRITER_HANDLED;
}

static void begin_sparing(int64_t descriptors) {
    log_lines = g_string_new(NULL);
    g_log_set_writer_func(record_log, NULL, NULL);
    fake_entry_spare_descriptors = 1;
    fake_entry_descriptors = descriptors;
    one_entry_begin();
    one_entry_lead(&(one_route){.version = 1, .prefix = "/a/", .timeout_ms = 20000});
}

static int metric(const char* name) {
    char* full = g_strdup_printf("walnutgate_entry_%s", name);
    int64_t value = one_entry_metric(full);
    g_free(full);
    return (int)value;
}

static void end_sparing(void) {
    /* The target frees its connections when the entry host closes them. */
    wg_time limit = wg_now() + IDLE_TIMEOUT_MS * MSEC;
    while (wg_now() < limit && metric("descriptors") > 1) {
        run_turns(50);
    }
    one_entry_end();
    g_string_free(log_lines, TRUE);
}

static bool is_closed(int fd) {
    char byte;
    return recv(fd, &byte, 1, MSG_PEEK) == 0;
}

/* Requests whose answers the target does not begin. */
static void open_streams(stream* streams, int num) {
    for (int i = 0; i < num; i++) {
        g_string_truncate(target_received, 0);
        streams[i].caller = send_get("/a/x", "");
        ck_assert(target_got_request());
        streams[i].target = target_connection;
    }
    g_string_truncate(target_received, 0);
}

/* Both connections of the stream become idle. */
static void finish_stream(const stream* s) {
    char answer[1024];
    target_connection = s->target;
    target_answer("done");
    ck_assert_int_eq(status_of(s->caller, answer), 200);
}

static void close_callers(const stream* streams, int num) {
    for (int i = 0; i < num; i++) {
        close(streams[i].caller);
    }
    run_turns(50);
}

/* A caller that is answered without a target. */
static int connect_answered_caller(void) {
    char answer[1024];
    int fd = send_get("/none/", "");
    ck_assert_int_eq(status_of(fd, answer), 404);
    return fd;
}

/* Idle connections to targets must give way before callers' connections, one for one, and none
   while there are descriptors. */
START_TEST(idle_target_connections_give_way_to_callers) {
    enum {
        STREAMS = 20, /* 41 in use with the link */
        IDLE = 10,
        FREE = 7, /* until 48 are in use */
        MORE = 3
    };
    stream streams[STREAMS];
    int callers[FREE + MORE];
    begin_sparing(ROOMY);
    open_streams(streams, STREAMS);
    for (int i = 0; i < IDLE; i++) {
        finish_stream(&streams[i]);
    }
    ck_assert_int_eq(metric("descriptors"), 2 * STREAMS + 1);
    run_turns(IDLE_MIN_MS + 20);
    for (int i = 0; i < FREE; i++) {
        callers[i] = connect_answered_caller();
    }
    ck_assert_int_eq(metric("idle_targets_closed_total"), 0);
    ck_assert(!target_disconnected);
    for (int i = 0; i < MORE; i++) {
        callers[FREE + i] = connect_answered_caller();
        ck_assert_int_eq(metric("idle_targets_closed_total"), i + 1);
    }
    ck_assert(target_disconnected);
    ck_assert_int_eq(metric("callers_replaced_total"), 0);
    ck_assert_int_eq(metric("descriptors"), 48);
    for (int i = 0; i < STREAMS; i++) {
        ck_assert(!is_closed(streams[i].caller));
    }
    for (int i = 0; i < FREE + MORE; i++) {
        close(callers[i]);
    }
    close_callers(streams, STREAMS);
    end_sparing();
}
END_TEST

/* Without the refusal, connecting fails for lack of a descriptor, or the caller gets no answer. The
   request must not count as an attempt, and the connection stays usable. */
START_TEST(request_is_refused_when_its_connection_would_use_the_last_descriptors) {
    stream streams[STREAMS_MAX];
    char answer[1024];
    begin_sparing(DESCRIPTORS);
    open_streams(streams, STREAMS_MAX);
    ck_assert_int_eq(metric("descriptor_refusals_total"), 0);
    int caller = send_get("/a/x", "");
    ck_assert_int_eq(status_of(caller, answer), 503);
    ck_assert_ptr_nonnull(strstr(answer, "\"no_descriptors\""));
    ck_assert_ptr_nonnull(strstr(answer, "\"not-run\""));
    const char* after = strstr(answer, "Retry-After: ");
    ck_assert_ptr_nonnull(after);
    double seconds = g_ascii_strtod(after + strlen("Retry-After: "), NULL);
    ck_assert(seconds >= 0.5 && seconds <= 1.0);
    ck_assert_int_eq(requests_at_target(), 0);
    ck_assert_int_eq(metric("descriptor_refusals_total"), 1);
    ck_assert_int_eq(metric("connects_total"), STREAMS_MAX);
    ck_assert_int_eq(metric("failed_total"), 0);
    ck_assert_int_eq(metric("retries_total"), 0);
    ck_assert(!is_closed(caller));
    /* An idle connection to the target is used. */
    finish_stream(&streams[0]);
    send_on(caller, "/a/x");
    ck_assert(target_got_request());
    target_answer("done");
    ck_assert_int_eq(status_of(caller, answer), 200);
    ck_assert_int_eq(metric("connects_total"), STREAMS_MAX);
    ck_assert_int_eq(metric("descriptor_refusals_total"), 1);
    close(caller);
    close_callers(streams, STREAMS_MAX);
    end_sparing();
}
END_TEST

/* A caller that was refused, or keeps its connection for later, must not keep others from being
   served: its connection gives way to the connection to a target. */
START_TEST(idle_caller_gives_way_to_a_target_connection) {
    stream streams[STREAMS_MAX];
    begin_sparing(DESCRIPTORS);
    open_streams(streams, STREAMS_MAX - 1);
    int idle = connect_answered_caller();
    run_turns(2 * IDLE_MIN_MS);
    open_streams(&streams[STREAMS_MAX - 1], 1);
    ck_assert(is_closed(idle));
    ck_assert_int_eq(metric("callers_replaced_total"), 1);
    ck_assert_int_eq(metric("descriptor_refusals_total"), 0);
    close(idle);
    close_callers(streams, STREAMS_MAX);
    end_sparing();
}
END_TEST

/* Callers beyond the limit must wait in the backlog, without an end of their connections and
   without a busy loop, and must be accepted soon after a connection closes. */
START_TEST(callers_wait_in_the_backlog_when_nothing_is_idle) {
    static const char part[] = "GET /a/x HTTP/1.1\r\n";
    stream streams[STREAMS_MAX];
    char answer[1024];
    char* address = local_address(11, CALLERS_PORT);
    begin_sparing(DESCRIPTORS);
    open_streams(streams, STREAMS_MAX);
    int sending = connect_to(address);
    ck_assert_int_gt(send(sending, part, sizeof part - 1, MSG_NOSIGNAL), 0);
    run_turns(10);
    ck_assert_int_eq(metric("callers"), CALLERS_MAX);
    int waiting = send_get("/none/", "");
    ck_assert_int_eq(status_within(waiting, answer, 2 * IDLE_MIN_MS), 0);
    ck_assert(!is_closed(waiting));
    ck_assert(!is_closed(sending));
    ck_assert_int_eq(metric("callers"), CALLERS_MAX);
    ck_assert_int_eq(metric("accept_pauses_total"), 1);
    ck_assert_int_eq(metric("callers_turned_away_total"), 0);
    close(sending);
    ck_assert_int_eq(status_within(waiting, answer, 10), 404); /* the pause is 20 ms at least */
    close(waiting);
    close_callers(streams, STREAMS_MAX);
    g_free(address);
    end_sparing();
}
END_TEST

/* The listener must come back by itself when a connection has become idle and none closes. */
START_TEST(listener_comes_back_without_a_closed_connection) {
    stream streams[STREAMS_MAX];
    begin_sparing(DESCRIPTORS);
    open_streams(streams, STREAMS_MAX);
    int idle = connect_answered_caller();
    ck_assert_int_eq(metric("callers"), CALLERS_MAX);
    int waiting = connect_answered_caller(); /* after the time for which `idle` counts as used */
    ck_assert(is_closed(idle));
    ck_assert_int_ge(metric("accept_pauses_total"), 1);
    close(idle);
    close(waiting);
    close_callers(streams, STREAMS_MAX);
    end_sparing();
}
END_TEST

/* Callers that hold connections and send nothing must not keep others from being served. */
START_TEST(silent_callers_do_not_keep_others_out) {
    enum {
        SILENT = 60,
        WAIT_MAX_MS = 2000
    };
    int silent[SILENT];
    char* address = local_address(11, CALLERS_PORT);
    begin_sparing(DESCRIPTORS);
    for (int i = 0; i < SILENT; i++) {
        silent[i] = connect_to(address);
    }
    wg_time since = wg_now();
    stream served;
    open_streams(&served, 1);
    ck_assert_int_lt(wg_now() - since, WAIT_MAX_MS * MSEC);
    finish_stream(&served);
    ck_assert_int_le(metric("descriptors"), DESCRIPTORS * 95 / 100);
    for (int i = 0; i < SILENT; i++) {
        close(silent[i]);
    }
    close(served.caller);
    g_free(address);
    end_sparing();
}
END_TEST

/* Bytes of the answer, with its head; fewer than there are if the connection ended before. */
static size_t read_all(int fd, size_t size) {
    char part[16 * 1024];
    size_t total = 0;
    for (int i = 0; i < TURNS_MAX && total < size; i++) {
        ssize_t got = recv(fd, part, sizeof part, 0);
        if (got == 0) {
            break;
        }
        total += got > 0 ? (size_t)got : 0;
        local_run_loop(base);
    }
    return total;
}

/* An answer that its caller still reads must not be cut off in favour of another caller. */
START_TEST(caller_that_reads_its_answer_is_not_closed) {
    enum {
        LONG = 240 * 1024 /* the target may send it at once; the kernels buffer less */
    };
    stream streams[STREAMS_MAX];
    int idle;
    int waiting;
    char* body = g_strnfill(LONG, 'x');
    fake_entry_held_mb = 4; /* limits what the kernel buffers */
    begin_sparing(DESCRIPTORS);
    int reader = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    send_on(reader, "/a/x");
    ck_assert(target_got_request());
    target_answer(body);
    run_turns(2 * IDLE_MIN_MS);
    ck_assert_int_eq(metric("calls"), 0); /* idle but for the rest of the answer */
    open_streams(streams, STREAMS_MAX - 1);
    idle = connect_answered_caller();
    run_turns(2 * IDLE_MIN_MS);
    waiting = connect_answered_caller();
    ck_assert(is_closed(idle));
    ck_assert_int_ge(read_all(reader, LONG), LONG);
    close(reader);
    close(idle);
    close(waiting);
    close_callers(streams, STREAMS_MAX - 1);
    g_free(body);
    end_sparing();
}
END_TEST

/* Guards against a shortage that operators cannot see, or that fills the log. */
START_TEST(shortage_is_logged) {
    stream streams[STREAMS_MAX];
    begin_sparing(DESCRIPTORS);
    open_streams(streams, STREAMS_MAX);
    run_turns(100);
    ck_assert_ptr_nonnull(strstr(log_lines->str, "WG2034 DESCRIPTORS_SHORT"));
    ck_assert_ptr_nonnull(strstr(log_lines->str, " limit=40 callers="));
    ck_assert_ptr_null(strstr(log_lines->str, "WG2035"));
    close_callers(streams, STREAMS_MAX);
    for (int i = 0; i < TURNS_MAX && !strstr(log_lines->str, "WG2035 DESCRIPTORS_FREED"); i++) {
        local_run_loop(base);
    }
    ck_assert_ptr_nonnull(strstr(log_lines->str, "WG2035 DESCRIPTORS_FREED"));
    ck_assert_ptr_eq(strstr(log_lines->str, "WG2034"), g_strrstr(log_lines->str, "WG2034"));
    end_sparing();
}
END_TEST

/* Without a known limit, the setting must change nothing. */
START_TEST(unknown_limit_changes_nothing) {
    stream streams[STREAMS_MAX + 3];
    begin_sparing(0);
    open_streams(streams, STREAMS_MAX + 3);
    ck_assert_int_eq(metric("descriptor_refusals_total"), 0);
    ck_assert_int_eq(metric("accept_pauses_total"), 0);
    close_callers(streams, STREAMS_MAX + 3);
    end_sparing();
}
END_TEST

WG_TEST_MAIN("entry_descriptors", loop_does_not_spin_while_accept_fails,
             planned_stop_waits_for_a_paused_listener, idle_target_connections_give_way_to_callers,
             request_is_refused_when_its_connection_would_use_the_last_descriptors,
             idle_caller_gives_way_to_a_target_connection,
             callers_wait_in_the_backlog_when_nothing_is_idle,
             listener_comes_back_without_a_closed_connection, silent_callers_do_not_keep_others_out,
             caller_that_reads_its_answer_is_not_closed, shortage_is_logged,
             unknown_limit_changes_nothing)
