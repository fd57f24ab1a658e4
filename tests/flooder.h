#pragma once
/* flooder.h -- a target that answers each request with bytes without end, in threads of the test

   A connection ends when its peer closes it, or after FLOOD_MAX_S. */
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wg_net.h"
#include "wg_test.h"

enum {
    FLOOD_MAX_S = 12,
    FLOOD_BLOCK = 16 * 1024 /* bytes of one write */
};

typedef struct {
    const char* name;
    const char* begin; /* sent once */
    const char* block; /* sent without end */
    bool is_answer;    /* a body that may be one, however long */
} flood;

static const flood floods[] = {
    {"status line", "", "x", false},
    {"header line", "HTTP/1.1 200 OK\r\nA: ", "x", false},
    {"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
    {"empty lines", "", "\r\n", false},
    {"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n", false},
    {"other informational answers", "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", false},
    {"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1", false},
    {"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", false},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false},
    {"after an answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x", false},
    {"after an answer without a body", "HTTP/1.1 204 No Content\r\n\r\n", "x", false},
    {"body that ends with its connection", "HTTP/1.1 200 OK\r\n\r\n", "x", true},
    {"event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x", true},
};

typedef struct {
    int socket;
    const flood* kind; /* of new connections */
    gint connections;
    gint open;
    gint longest_ms; /* longest flood until its connection was closed */
    gint stopping;
} flooder;

typedef struct {
    flooder* f;
    int socket;
} flooder_connection;

/* Reads until the request has arrived, or the peer has closed. */
static bool flooder_read_request(int socket) {
    char bytes[4096];
    size_t have = 0;
    while (have < sizeof bytes - 1) {
        ssize_t got = recv(socket, bytes + have, sizeof bytes - 1 - have, 0);
        if (got <= 0) {
            return false;
        }
        have += (size_t)got;
        bytes[have] = 0;
        if (strstr(bytes, "\r\n\r\n")) {
            return true;
        }
    }
    return true;
}

static void* flooder_serve(void* user_data) {
    flooder_connection* c = user_data;
    flooder* f = c->f;
    const flood* kind = f->kind;
    GString* block = g_string_new(NULL);
    while (block->len < FLOOD_BLOCK) {
        g_string_append(block, kind->block);
    }
    if (flooder_read_request(c->socket)) {
        wg_time since = wg_now();
        bool open = send(c->socket, kind->begin, strlen(kind->begin), MSG_NOSIGNAL) >= 0;
        while (open && !g_atomic_int_get(&f->stopping) && wg_now() - since < FLOOD_MAX_S * SECOND) {
            ssize_t sent = send(c->socket, block->str, block->len, MSG_NOSIGNAL | MSG_DONTWAIT);
            struct pollfd ready = {.fd = c->socket, .events = POLLOUT};
            open = sent >= 0 || errno == EAGAIN;
            open = open && poll(&ready, 1, 100) >= 0 && !(ready.revents & (POLLERR | POLLHUP));
        }
        gint ms = (gint)((wg_now() - since) / MSEC);
        if (ms > g_atomic_int_get(&f->longest_ms)) {
            g_atomic_int_set(&f->longest_ms, ms);
        }
    }
    g_string_free(block, TRUE);
    close(c->socket);
    g_atomic_int_add(&f->open, -1);
    g_free(c);
    return NULL;
}

static void* flooder_accept(void* user_data) {
    flooder* f = user_data;
    int socket;
    while ((socket = accept(f->socket, NULL, NULL)) >= 0) {
        flooder_connection* c = g_new(flooder_connection, 1);
        *c = (flooder_connection){f, socket};
        g_atomic_int_inc(&f->connections);
        g_atomic_int_inc(&f->open);
        g_thread_unref(g_thread_new("flood", flooder_serve, c));
    }
    return NULL;
}

/* `f` has to outlive the process's threads. */
static void flooder_start(flooder* f, const char* address) {
    struct sockaddr_storage at;
    int size;
    int on = 1;
    *f = (flooder){.kind = &floods[0]};
    ck_assert(wgn_parse_address(address, &at, &size));
    f->socket = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(f->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ck_assert_int_eq(bind(f->socket, (struct sockaddr*)&at, (socklen_t)size), 0);
    ck_assert_int_eq(listen(f->socket, 64), 0);
    g_thread_unref(g_thread_new("flooder", flooder_accept, f));
}

static void flooder_stop(flooder* f) {
    g_atomic_int_set(&f->stopping, 1);
    shutdown(f->socket, SHUT_RDWR);
}

/* Resident memory of a process in MB. */
static int64_t resident_mb(pid_t pid) {
    char* path = g_strdup_printf("/proc/%d/status", (int)pid);
    char* text = NULL;
    g_file_get_contents(path, &text, NULL, NULL);
    const char* at = text ? strstr(text, "VmRSS:") : NULL;
    int64_t kb = at ? g_ascii_strtoll(at + strlen("VmRSS:"), NULL, 10) : 0;
    g_free(text);
    g_free(path);
    return kb / 1024;
}
