#pragma once
/* crowd.h -- clients that do not behave, played by the test against one process of the system

   A crowd is a number of connections that send what they are told to as fast as the process takes
   it, with small receive buffers, and read nothing. A connection that the process closes is opened
   again a few times. The play is over once each connection has sent all it has, was closed for
   good, or nobody could send for a while; then the connections stay open until crowd_end().

   What is checked does not depend on the speed of the machine: whether the process lives, the most
   memory that it held (its own, and what the kernel keeps on the crowd's connections, which counts
   for the machine too), the most descriptors that it had open, and whether one ordinary request is
   answered while the crowd is still connected and once it has left. */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wg_net.h"
#include "wg_test.h"

enum {
    CROWD_CONNECTIONS_MAX = 1600,
    CROWD_OPENED_MAX = 3,            /* times that one connection is opened */
    CROWD_RECEIVE_BUFFER = 4 * 1024, /* bytes, of each connection */
    CROWD_BLOCK = 64 * 1024,         /* bytes of one write */
    CROWD_POLL_MS = 5,
    CROWD_MEASURE_MS = 50,  /* between two measurements */
    CROWD_QUIET_MS = 500,   /* the play is over when nobody could send for this long */
    CROWD_END_MS = 60000,   /* a play that is not over by then fails */
    CROWD_ANSWER_MS = 20000 /* a request without an answer by then has none */
};

/* What each connection of a crowd sends. */
typedef struct {
    const char* name;
    const char* first; /* once, at the beginning; NULL: nothing */
    const char* block; /* then again and again; NULL: nothing */
    int connections;
    int64_t kb; /* 1000 bytes that each connection sends at most */
} crowd_kind;

typedef struct {
    int fd; /* -1: closed for good */
    int opened;
    int64_t sent;
    size_t first_sent;
    size_t block_sent; /* of the present block */
} crowd_connection;

typedef struct {
    const crowd_kind* kind;
    const char* address;
    pid_t process;
    /* Keeps what else runs in the test going; NULL: nothing else does. */
    void (*turn)(void);
    GString* block;
    crowd_connection connections[CROWD_CONNECTIONS_MAX];
    int64_t sent;      /* bytes, by all */
    int closed;        /* connections that the process closed */
    int64_t memory_kb; /* highest, of the process */
    int64_t kernel_kb; /* highest, on the connections to `address` */
    int descriptors;   /* highest */
    wg_time measured_at;
    bool ended_in_time;
} crowd;

/* ---- the process ------------------------------------------------------------------------------
 */

static int64_t crowd_status_kb(pid_t pid, const char* field) {
    char* path = g_strdup_printf("/proc/%d/status", (int)pid);
    char* text = NULL;
    g_file_get_contents(path, &text, NULL, NULL);
    const char* at = text ? strstr(text, field) : NULL;
    int64_t kb = at ? g_ascii_strtoll(at + strlen(field), NULL, 10) : -1;
    g_free(text);
    g_free(path);
    return kb;
}

/* The highest memory counts from now on. */
static void crowd_reset_memory(pid_t pid) {
    char* path = g_strdup_printf("/proc/%d/clear_refs", (int)pid);
    FILE* file = fopen(path, "w");
    ck_assert_ptr_nonnull(file);
    fputs("5", file);
    ck_assert_int_eq(fclose(file), 0);
    g_free(path);
}

static int crowd_count_descriptors(pid_t pid) {
    char* path = g_strdup_printf("/proc/%d/fd", (int)pid);
    DIR* folder = opendir(path);
    int num = 0;
    for (struct dirent* at; folder && (at = readdir(folder));) {
        num += at->d_name[0] != '.';
    }
    if (folder) {
        closedir(folder);
    }
    g_free(path);
    return num;
}

/* A process that has ended has no memory, also while nobody has waited for it. */
static bool crowd_process_lives(pid_t pid) {
    return crowd_status_kb(pid, "VmHWM:") >= 0;
}

/* Bytes that the kernel keeps at the process's end of the connections to `address`: received and
   not read yet, and written and not acknowledged yet. */
static int64_t crowd_kernel_bytes(const char* address) {
    enum {
        LISTENS = 0x0a
    };
    struct sockaddr_storage at;
    int size;
    char* text = NULL;
    int64_t bytes = 0;
    ck_assert(wgn_parse_address(address, &at, &size));
    const struct sockaddr_in* in = (const struct sockaddr_in*)&at;
    g_file_get_contents("/proc/net/tcp", &text, NULL, NULL);
    char** lines = g_strsplit(text ? text : "", "\n", 0);
    for (int i = 1; lines[i]; i++) {
        unsigned ip;
        unsigned port;
        unsigned state;
        unsigned unsent;
        unsigned unread;
        int got =
            sscanf(lines[i], " %*d: %x:%x %*x:%*x %x %x:%x", &ip, &port, &state, &unsent, &unread);
        if (got == 5 && ip == in->sin_addr.s_addr && port == ntohs(in->sin_port) &&
            state != LISTENS) {
            bytes += unsent + unread;
        }
    }
    g_strfreev(lines);
    g_free(text);
    return bytes;
}

static void crowd_measure(crowd* c) {
    wg_time now = wg_now();
    if (now - c->measured_at < CROWD_MEASURE_MS * MSEC) {
        return;
    }
    c->measured_at = now;
    c->memory_kb = MAX(c->memory_kb, crowd_status_kb(c->process, "VmHWM:"));
    c->kernel_kb = MAX(c->kernel_kb, crowd_kernel_bytes(c->address) / 1024);
    c->descriptors = MAX(c->descriptors, crowd_count_descriptors(c->process));
}

/* ---- connections ------------------------------------------------------------------------------
 */

static int crowd_connect(const char* address) {
    struct sockaddr_storage to;
    int size;
    int bytes = CROWD_RECEIVE_BUFFER;
    ck_assert(wgn_parse_address(address, &to, &size));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ck_assert_int_ge(fd, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    if (connect(fd, (struct sockaddr*)&to, (socklen_t)size) < 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

static void crowd_open(crowd* c, crowd_connection* one) {
    one->fd = crowd_connect(c->address);
    one->opened++;
    one->first_sent = 0;
    one->block_sent = 0;
}

static void crowd_lost(crowd* c, crowd_connection* one) {
    close(one->fd);
    one->fd = -1;
    c->closed++;
    if (one->opened < CROWD_OPENED_MAX) {
        crowd_open(c, one);
    }
}

static bool crowd_has_more(const crowd* c, const crowd_connection* one) {
    size_t first_size = c->kind->first ? strlen(c->kind->first) : 0;
    bool first = one->first_sent < first_size;
    return first || (c->block->len > 0 && one->sent < c->kind->kb * 1000);
}

/* Sends once. Returns the bytes sent; -1: the connection is closed. */
static ssize_t crowd_send(crowd* c, crowd_connection* one) {
    size_t first_size = c->kind->first ? strlen(c->kind->first) : 0;
    const char* bytes = c->block->str + one->block_sent;
    size_t size = c->block->len - one->block_sent;
    bool first = one->first_sent < first_size;
    if (first) {
        bytes = c->kind->first + one->first_sent;
        size = first_size - one->first_sent;
    }
    ssize_t sent = send(one->fd, bytes, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
        return errno == EAGAIN || errno == ENOTCONN ? 0 : -1;
    }
    one->sent += sent;
    c->sent += sent;
    if (first) {
        one->first_sent += (size_t)sent;
    } else {
        one->block_sent = (one->block_sent + (size_t)sent) % c->block->len;
    }
    return sent;
}

/* One turn of a connection. Returns whether it could send, or was opened anew. */
static bool crowd_step(crowd* c, crowd_connection* one, short ready) {
    bool broken = (ready & (POLLERR | POLLHUP | POLLRDHUP)) != 0;
    ssize_t sent = 0;
    if (!broken && (ready & POLLOUT) && crowd_has_more(c, one)) {
        sent = crowd_send(c, one);
    }
    if (broken || sent < 0) {
        crowd_lost(c, one);
        return true;
    }
    return sent > 0;
}

/* One turn of all connections. Returns whether any could send. */
static bool crowd_turn(crowd* c) {
    static struct pollfd fds[CROWD_CONNECTIONS_MAX];
    int num = c->kind->connections;
    for (int i = 0; i < num; i++) {
        const crowd_connection* one = &c->connections[i];
        short sends = crowd_has_more(c, one) ? POLLOUT : 0;
        fds[i] = (struct pollfd){.fd = one->fd, .events = (short)(sends | POLLRDHUP)};
    }
    poll(fds, (nfds_t)num, CROWD_POLL_MS);
    bool any = false;
    for (int i = 0; i < num; i++) {
        if (c->connections[i].fd >= 0 && fds[i].revents) {
            any = crowd_step(c, &c->connections[i], fds[i].revents) || any;
        }
    }
    if (c->turn) {
        c->turn();
    }
    return any;
}

/* ---- the play ---------------------------------------------------------------------------------
 */

static crowd* crowd_begin(const crowd_kind* kind, const char* address, pid_t process,
                          void (*turn)(void)) {
    ck_assert_int_le(kind->connections, CROWD_CONNECTIONS_MAX);
    crowd* c = g_new0(crowd, 1);
    c->kind = kind;
    c->address = address;
    c->process = process;
    c->turn = turn;
    c->block = g_string_new(NULL);
    while (kind->block && c->block->len < CROWD_BLOCK) {
        g_string_append(c->block, kind->block);
    }
    crowd_reset_memory(process);
    for (int i = 0; i < kind->connections; i++) {
        crowd_open(c, &c->connections[i]);
        if (i % 64 == 63) {
            crowd_turn(c);
        }
    }
    return c;
}

/* Plays until nobody sends any more. */
static void crowd_play(crowd* c) {
    wg_time since = wg_now();
    wg_time sent_at = since;
    while (wg_now() - sent_at < CROWD_QUIET_MS * MSEC && wg_now() - since < CROWD_END_MS * MSEC) {
        if (crowd_turn(c)) {
            sent_at = wg_now();
        }
        crowd_measure(c);
    }
    c->ended_in_time = wg_now() - since < CROWD_END_MS * MSEC;
}

static void crowd_leave(crowd* c) {
    for (int i = 0; i < c->kind->connections; i++) {
        if (c->connections[i].fd >= 0) {
            close(c->connections[i].fd);
        }
        c->connections[i].fd = -1;
    }
}

/* Sends one ordinary request on a connection of its own. Returns the status of its answer, 0 if
   there was none. */
static int crowd_ask(const char* address, const char* request, void (*turn)(void)) {
    char bytes[512] = "";
    size_t have = 0;
    size_t sent = 0;
    int fd = crowd_connect(address);
    wg_time until = wg_now() + CROWD_ANSWER_MS * MSEC;
    while (fd >= 0 && wg_now() < until && !strstr(bytes, "\r\n\r\n")) {
        bool sends = sent < strlen(request);
        struct pollfd ready = {.fd = fd, .events = (short)(POLLIN | (sends ? POLLOUT : 0))};
        poll(&ready, 1, CROWD_POLL_MS);
        if (sends && (ready.revents & POLLOUT)) {
            ssize_t size = send(fd, request + sent, strlen(request) - sent, MSG_NOSIGNAL);
            sent += size > 0 ? (size_t)size : 0;
        }
        if (ready.revents & (POLLIN | POLLHUP | POLLERR)) {
            ssize_t size = recv(fd, bytes + have, sizeof bytes - 1 - have, MSG_DONTWAIT);
            if (size == 0 || (size < 0 && errno != EAGAIN) || have == sizeof bytes - 1) {
                break;
            }
            have += size > 0 ? (size_t)size : 0;
            bytes[have] = 0;
        }
        if (turn) {
            turn();
        }
    }
    if (fd >= 0) {
        close(fd);
    }
    bool complete = strstr(bytes, "\r\n\r\n") && g_str_has_prefix(bytes, "HTTP/1.1 ");
    return complete ? atoi(bytes + strlen("HTTP/1.1 ")) : 0;
}

static void crowd_end(crowd* c) {
    crowd_leave(c);
    g_string_free(c->block, TRUE);
    g_free(c);
}

/* What must hold, from the settings of the process. */
typedef struct {
    const char* ask_address; /* where the ordinary request goes */
    const char* ask;
    const char* other_address; /* of a second ordinary request; NULL: there is none */
    const char* other;
    int64_t memory_mb;
    int descriptors;
} crowd_bounds;

typedef struct {
    int first;
    int other;
} crowd_answers;

static crowd_answers crowd_ask_both(const crowd_bounds* bounds, void (*turn)(void)) {
    crowd_answers answers = {.first = crowd_ask(bounds->ask_address, bounds->ask, turn),
                             .other = 200};
    if (bounds->other_address) {
        answers.other = crowd_ask(bounds->other_address, bounds->other, turn);
    }
    return answers;
}

/* Plays a crowd and checks the bounds. Returns whether all hold, and prints what was measured. */
static bool crowd_holds(const crowd_kind* kind, const char* address, pid_t process,
                        void (*turn)(void), const crowd_bounds* bounds) {
    crowd* c = crowd_begin(kind, address, process, turn);
    crowd_play(c);
    crowd_answers during = crowd_ask_both(bounds, turn);
    crowd_measure(c);
    crowd_leave(c);
    crowd_answers after = crowd_ask_both(bounds, turn);
    c->measured_at = 0;
    crowd_measure(c);
    bool lives = crowd_process_lives(process);
    int64_t held_kb = c->memory_kb + c->kernel_kb;
    bool good = lives && c->ended_in_time && held_kb <= bounds->memory_mb * 1024 &&
                c->descriptors <= bounds->descriptors && during.first > 0 && during.other > 0 &&
                after.first == 200 && after.other == 200;
    printf("%s: %s, lives %d, memory %.1f + %.1f of %d MB, descriptors %d of %d, taken %.1f MB, "
           "closed %d, ended %d, ordinary requests: %d, %d with the crowd, %d, %d after it\n",
           kind->name, good ? "holds" : "BROKEN", lives, (double)c->memory_kb / 1024,
           (double)c->kernel_kb / 1024, (int)bounds->memory_mb, c->descriptors, bounds->descriptors,
           (double)c->sent / 1e6, c->closed, c->ended_in_time, during.first, during.other,
           after.first, after.other);
    fflush(stdout);
    crowd_end(c);
    return good;
}
