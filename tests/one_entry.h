#pragma once
/* one_entry.h -- one entry host with a leader, a target and callers, all in the process of the test

   The target records what it receives and answers as the test directs. Not every program uses every
   helper (-Wno-unused-function). */
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "fake_control.h"

enum {
    TURNS_MAX = 3000, /* 1 ms loop turns to wait before something counts as missing */
    CALLERS_PORT = 18001,
    READY_PORT = 18002,
    ORDERS_PORT = 18004
};

static struct event_base* base;
static fake_control leader;
static wg_entry* entry;
static char* target_address;
static struct evconnlistener* listener; /* listener of the target; NULL: the target has stopped */

/* Bytes that the target received, and the connections on which the last ones came. */
static GString* target_received;
static struct bufferevent* target_connection; /* of the last request */
/* Of the last query for cached prompts. Queries are repeated while nothing answers them, at any
   moment of a test: the answer to a request must not go to one of them. */
static struct bufferevent* target_query;
static bool target_disconnected;
static bool target_reads = true; /* new connections of the target read */
static int target_connections;   /* connections that the target accepted */

static void run_turns(int num) {
    for (int i = 0; i < num; i++) {
        local_run_loop(base);
    }
}

/* ---- the target -------------------------------------------------------------------------------
 */

static void target_on_read(struct bufferevent* bev, void* user_data) {
    (void)user_data;
    char bytes[2048];
    size_t got = bufferevent_read(bev, bytes, sizeof bytes - 1);
    bytes[got] = 0;
    g_string_append_len(target_received, bytes, (gssize)got);
    bool is_query = g_str_has_prefix(bytes, "GET /v1/cache ");
    target_connection = is_query ? target_connection : bev;
    target_query = is_query ? bev : target_query;
}

static void target_on_event(struct bufferevent* bev, short what, void* user_data) {
    (void)what;
    (void)user_data;
    target_disconnected = true;
    if (target_connection == bev) {
        target_connection = NULL;
    }
    if (target_query == bev) {
        target_query = NULL;
    }
    bufferevent_free(bev);
}

static void target_accept(struct evconnlistener* l, evutil_socket_t fd, struct sockaddr* from,
                          int size, void* user_data) {
    (void)l;
    (void)from;
    (void)size;
    (void)user_data;
    struct bufferevent* bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(bev, target_on_read, NULL, target_on_event, NULL);
    bufferevent_enable(bev, target_reads ? EV_READ | EV_WRITE : EV_WRITE);
    target_connection = target_reads ? target_connection : bev;
    target_connections++;
}

static void target_start(void) {
    struct sockaddr_storage at;
    int size;
    ck_assert(wgn_parse_address(target_address, &at, &size));
    listener = evconnlistener_new_bind(base, target_accept, NULL,
                                       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
                                       (struct sockaddr*)&at, size);
    ck_assert_ptr_nonnull(listener);
}

static void target_send(const char* bytes) {
    bufferevent_write(target_connection, bytes, strlen(bytes));
    run_turns(20);
}

static void target_answer(const char* body) {
    struct evbuffer* out = bufferevent_get_output(target_connection);
    evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(body),
                        body);
}

static void target_close_connection(void) {
    bufferevent_free(target_connection);
    target_connection = NULL;
}

static void target_stop(void) {
    evconnlistener_free(listener);
    listener = NULL;
    target_close_connection();
}

static bool target_got_request(void) {
    for (int i = 0; i < TURNS_MAX && !strstr(target_received->str, "\r\n\r\n"); i++) {
        local_run_loop(base);
    }
    return strstr(target_received->str, "\r\n\r\n") != NULL;
}

/* Requests that the target received on all connections. */
static int requests_at_target(void) {
    int num = 0;
    for (const char* at = target_received->str; (at = strstr(at, " HTTP/1.1\r\n")); at++) {
        num++;
    }
    return num;
}

/* ---- set-up -----------------------------------------------------------------------------------
 */

/* Starts the target, the leader and the entry host; the leader has sent nothing yet. */
static void one_entry_begin(void) {
    base = local_event_base();
    target_received = g_string_new(NULL);
    target_connection = NULL;
    target_query = NULL;
    target_disconnected = false;
    target_connections = 0;
    target_address = local_address(31, 18007);
    target_start();
    fake_control_begin(base, &leader, 1);
    char* seeds[] = {leader.address, NULL};
    entry = fake_control_entry(base, seeds);
    for (int i = 0; i < TURNS_MAX && leader.links_up == 0; i++) {
        local_run_loop(base);
    }
}

static void one_entry_end(void) {
    wg_entry_shutdown(entry);
    fake_control_end(&leader);
    if (listener) {
        evconnlistener_free(listener);
    }
    event_base_free(base);
    g_string_free(target_received, TRUE);
    g_free(target_address);
}

/* A route of kind "safe" with one attempt to service "e". */
typedef struct {
    uint64_t version; /* version of the configuration that holds the route */
    const char* prefix;
    int timeout_ms;
    int idle_ms; /* 0: the default */
} one_route;

/* Sends a configuration with this route only, as leader. */
static void one_entry_lead(const one_route* route) {
    char* limits =
        route->idle_ms ? g_strdup_printf("\"idle_ms\":%d", route->idle_ms) : g_strdup("");
    char* document = g_strdup_printf(
        "{\"version\":%d,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":\"r\",\"host\":"
        "\"h\","
        "\"path_prefix\":\"%s\",\"kind\":\"safe\",\"timeout_ms\":%d,\"objective_ms\":500,"
        "\"attempts\":1,\"service\":\"e\"}],\"limits\":{%s},\"workspaces\":[]}",
        (int)route->version, route->prefix, route->timeout_ms, limits);
    fake_control_send_leader_state(
        &leader,
        &(fake_update){.version = route->version, .document = document, .target = target_address});
    g_free(document);
    g_free(limits);
    run_turns(20);
}

/* ---- callers ----------------------------------------------------------------------------------
 */

/* `receive_buffer`: bytes that the caller's kernel takes before the caller reads; 0: the default.
 */
static int connect_with_buffer(const char* address, int receive_buffer) {
    struct sockaddr_storage to;
    int size;
    ck_assert(wgn_parse_address(address, &to, &size));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (receive_buffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    ck_assert(connect(fd, (struct sockaddr*)&to, (socklen_t)size) == 0 || errno == EINPROGRESS);
    run_turns(2);
    return fd;
}

static int connect_to(const char* address) {
    return connect_with_buffer(address, 0);
}

/* A caller whose kernel takes little of an answer that the caller does not read. */
static int connect_slow_caller(int receive_buffer) {
    char* address = local_address(11, CALLERS_PORT);
    int fd = connect_with_buffer(address, receive_buffer);
    g_free(address);
    return fd;
}

/* Sends a request to a port of the entry host; returns the connection. */
static int send_request(int port, const char* method, const char* path, const char* fields) {
    char* address = local_address(11, port);
    char* request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: h\r\n%s\r\n", method, path, fields);
    int fd = connect_to(address);
    ck_assert_int_eq(send(fd, request, strlen(request), MSG_NOSIGNAL), (ssize_t)strlen(request));
    g_free(request);
    g_free(address);
    return fd;
}

static int send_get(const char* path, const char* fields) {
    return send_request(CALLERS_PORT, "GET", path, fields);
}

/* Status of the answer, 0 if none arrives within `ms`; `answer` receives its text. */
static int status_within(int fd, char answer[1024], int ms) {
    answer[0] = 0;
    for (int i = 0; i < ms; i++) {
        local_run_loop(base);
        ssize_t got = recv(fd, answer, 1023, 0);
        if (got > 0) {
            answer[got] = 0;
            return (int)strtol(answer + strlen("HTTP/1.1 "), NULL, 10);
        }
    }
    return 0;
}

static int status_of(int fd, char answer[1024]) {
    return status_within(fd, answer, TURNS_MAX);
}

/* ---- metrics --------------------------------------------------------------------------------- */

/* Metrics of the entry host; the caller frees them. */
static GString* one_entry_metrics(void) {
    GString* text = g_string_new(NULL);
    char part[8 * 1024];
    int fd = send_request(READY_PORT, "GET", "/metrics", "Connection: close\r\n");
    ssize_t got = -1;
    for (int i = 0; i < TURNS_MAX && got != 0; i++) {
        local_run_loop(base);
        while ((got = recv(fd, part, sizeof part, 0)) > 0) {
            g_string_append_len(text, part, got);
        }
    }
    close(fd);
    return text;
}

static bool one_entry_metrics_contain(const char* line) {
    GString* text = one_entry_metrics();
    bool found = strstr(text->str, line) != NULL;
    g_string_free(text, TRUE);
    return found;
}

/* Value of a metric, whose full name is given. Fails if it is missing. */
static int64_t one_entry_metric(const char* name) {
    GString* text = one_entry_metrics();
    char* line = g_strdup_printf("\n%s ", name);
    const char* at = strstr(text->str, line);
    ck_assert_msg(at != NULL, "%s is missing", name);
    int64_t value = g_ascii_strtoll(at + strlen(line), NULL, 10);
    g_free(line);
    g_string_free(text, TRUE);
    return value;
}

/* ---- the log --------------------------------------------------------------------------------- */

static char one_entry_ended[1024]; /* last REQUEST_ENDED line since one_entry_record_ended() */

static GLogWriterOutput one_entry_on_log(GLogLevelFlags level, const GLogField* fields, gsize num,
                                         gpointer user_data) {
    (void)level;
    (void)user_data;
    for (gsize i = 0; i < num; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0 && strstr(fields[i].value, "REQUEST_ENDED")) {
            g_strlcpy(one_entry_ended, fields[i].value, sizeof one_entry_ended);
        }
    }
    return G_LOG_WRITER_HANDLED;
}

/* Keeps the last REQUEST_ENDED line and writes no log. Only once per process. */
static void one_entry_record_ended(void) {
    g_log_set_writer_func(one_entry_on_log, NULL, NULL);
}
