/* stage.c -- see stage.h */
#include "stage.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    FRONT_PORT = 8783,
    READY_PORT = 8780,
    CONTROL_PORT = 8785,
    DIRECTORY_PORT = 8789,
    WORKER_PORT = 9470,
    PART_WORKERS = 16,
    RANGE_FIRST = 7400,
    RANGE_SECOND = 7401,
    LIMIT_S = 115, /* of a whole case */
    READY_MS = 20000,
    HEARTBEAT_MS = 1200,
    SURPLUS_MS = 10, /* after a whole answer, once to four times as long */
    SURPLUS_STEPS = 4,
    CRASH_STATUS = 70,
    CHILDREN_MAX = 64
};

static int record_fd = -1;
static int64_t record_began;
static pid_t children[CHILDREN_MAX];
static int children_num;
static volatile sig_atomic_t says_draining;

/* ---- time and record ------------------------------------------------------------------------- */

int64_t stage_now_ms(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void stage_sleep(int ms) {
    struct timespec wait = {.tv_sec = ms / 1000, .tv_nsec = (long)(ms % 1000) * 1000000};
    while (nanosleep(&wait, &wait) != 0 && errno == EINTR) {
    }
}

void stage_sleep_until(int64_t ms) {
    int64_t left = ms - stage_now_ms();
    if (left > 0) {
        stage_sleep((int)left);
    }
}

void stage_record(const char* format, ...) {
    char line[1024];
    int size =
        snprintf(line, sizeof line, "%8.3f ", (double)(stage_now_ms() - record_began) / 1000);
    va_list args;
    va_start(args, format);
    int more = vsnprintf(line + size, sizeof line - (size_t)size - 1, format, args);
    va_end(args);
    size += more < (int)sizeof line - size - 2 ? more : (int)sizeof line - size - 2;
    line[size++] = '\n';
    if (write(record_fd, line, (size_t)size) < 0) {
        perror("record");
    }
    if (write(STDERR_FILENO, line, (size_t)size) < 0) {
        return;
    }
}

/* ---- processes ------------------------------------------------------------------------------- */

static void end_children(void) {
    for (int i = 0; i < children_num; i++) {
        if (children[i] > 0) {
            kill(children[i], SIGKILL);
            kill(children[i], SIGCONT);
            waitpid(children[i], NULL, 0);
        }
    }
    children_num = 0;
}

static void forget_child(pid_t pid) {
    for (int i = 0; i < children_num; i++) {
        if (children[i] == pid) {
            children[i] = 0;
        }
    }
}

static void on_limit(int number) {
    (void)number;
    for (int i = 0; i < children_num; i++) {
        if (children[i] > 0) {
            kill(children[i], SIGKILL);
        }
    }
    _exit(STAGE_NOT_RUN);
}

static pid_t add_child(pid_t pid) {
    if (pid > 0 && children_num < CHILDREN_MAX) {
        children[children_num++] = pid;
    }
    return pid;
}

static pid_t start_program(const stage* s, const char* program, const char* settings,
                           const char* log) {
    char path[STAGE_TEXT * 2];
    snprintf(path, sizeof path, "%s/%s", s->folder, log);
    pid_t parent = getpid();
    pid_t pid = fork();
    if (pid != 0) {
        return add_child(pid);
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(1);
    }
    int out = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl(program, program, "--settings", settings, (char*)NULL);
    _exit(127);
}

bool stage_has_ended(const char* name, pid_t pid, int* how) {
    int status;
    if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid) {
        return false;
    }
    forget_child(pid);
    *how = WIFSIGNALED(status) ? WTERMSIG(status) : -WEXITSTATUS(status);
    if (WIFSIGNALED(status)) {
        stage_record("%s ended by itself: signal %d", name, WTERMSIG(status));
    } else {
        stage_record("%s ended by itself: status %d", name, WEXITSTATUS(status));
    }
    return true;
}

/* ---- settings -------------------------------------------------------------------------------- */

typedef struct {
    const char* name;
    char value[STAGE_TEXT * 2];
} gap;

static char* read_file(const char* path) {
    FILE* file = fopen(path, "r");
    if (!file) {
        return NULL;
    }
    char* text = calloc(1, 65536);
    size_t size = fread(text, 1, 65535, file);
    text[size] = 0;
    fclose(file);
    return text;
}

static const char* gap_value(const gap* gaps, int num, const char* name, size_t size) {
    for (int i = 0; i < num; i++) {
        if (strlen(gaps[i].name) == size && memcmp(gaps[i].name, name, size) == 0) {
            return gaps[i].value;
        }
    }
    return "";
}

/* Fills a template as the platform does. The replica's operators_listen is on 127.0.0.1, which all
   machines share here: it becomes an address of the machine. */
static bool fill_template(const char* path, const char* out_path, const gap* gaps, int num,
                          const char* own) {
    static const char shared[] = "127.0.0.1:";
    char* text = read_file(path);
    FILE* out = fopen(out_path, "w");
    if (!text || !out) {
        return false;
    }
    for (const char* at = text; *at;) {
        const char* end = strncmp(at, "{{", 2) == 0 ? strstr(at, "}}") : NULL;
        if (end) {
            fputs(gap_value(gaps, num, at + 2, (size_t)(end - at) - 2), out);
            at = end + 2;
        } else if (strncmp(at, shared, sizeof shared - 1) == 0) {
            fprintf(out, "%s:", own);
            at += sizeof shared - 1;
        } else {
            fputc(*at++, out);
        }
    }
    fclose(out);
    free(text);
    return true;
}

void stage_address(const stage* s, int machine, int port, char out[64]) {
    snprintf(out, 64, "%s:%d", s->machines[machine].ip, port);
}

static void write_settings(const stage* s, int machine, bool entry, bool first, char* out,
                           size_t size) {
    const stage_machine* m = &s->machines[machine];
    char own[32];
    gap gaps[] = {{"ip", ""},
                  {"data_centre", ""},
                  {"listen.front", ""},
                  {"listen.ready", ""},
                  {"listen.directory", ""},
                  {"listen.control", ""},
                  {"seeds", ""},
                  {"dataDir", ""},
                  {"portRange.0", "7400"},
                  {"portRange.1", "7401"},
                  {"bounds.budgetSlack", "58"},
                  {"bounds.graceS", "8"},
                  {"bounds.configApplyMs", "2000"},
                  {"limits.maxFds", "4100"},
                  {"limits.memoryMb", "110"},
                  {"faultTolerance.machines", "1"},
                  {"bootstrap", ""}};
    snprintf(gaps[0].value, sizeof gaps[0].value, "%s", m->ip);
    snprintf(gaps[1].value, sizeof gaps[1].value, "zone-%d", machine + 1);
    const int ports[] = {FRONT_PORT, READY_PORT, DIRECTORY_PORT, CONTROL_PORT};
    for (int i = 0; i < 4; i++) {
        stage_address(s, machine, ports[i], gaps[2 + i].value);
    }
    for (int i = 0; i < STAGE_MACHINES; i++) {
        size_t used = strlen(gaps[6].value);
        snprintf(gaps[6].value + used, sizeof gaps[6].value - used, "%s%s:%d", i ? "," : "",
                 s->machines[i].ip, CONTROL_PORT);
    }
    snprintf(gaps[7].value, sizeof gaps[7].value, "%s/data-%d", s->folder, machine + 1);
    snprintf(gaps[16].value, sizeof gaps[16].value, "%s", first ? "true" : "false");
    snprintf(own, sizeof own, "127.%d.2.%d", s->part, machine + 1);
    snprintf(out, size, "%s/%s-%d.ini", s->folder, entry ? "entry" : "replica", machine + 1);
    if (!fill_template(entry ? "deploy/entry.ini" : "deploy/replica.ini", out, gaps,
                       sizeof gaps / sizeof gaps[0], own)) {
        stage_record("cannot write %s", out);
        exit(STAGE_NOT_RUN);
    }
}

static bool has_started[STAGE_MACHINES];

void stage_start_entry(stage* s, int machine) {
    char settings[STAGE_TEXT * 2];
    char log[64];
    write_settings(s, machine, true, false, settings, sizeof settings);
    snprintf(log, sizeof log, "entry-%d.log", machine + 1);
    s->machines[machine].entry =
        start_program(s, "target/walnutgate-platform-entryd", settings, log);
}

void stage_start_replica(stage* s, int machine) {
    char settings[STAGE_TEXT * 2];
    char log[64];
    write_settings(s, machine, false, !has_started[machine], settings, sizeof settings);
    has_started[machine] = true;
    snprintf(log, sizeof log, "replica-%d.log", machine + 1);
    s->machines[machine].replica = start_program(s, "target/walnutgate-controld", settings, log);
}

/* ---- sockets --------------------------------------------------------------------------------- */

static bool parse_address(const char* text, struct sockaddr_in* out) {
    char ip[64];
    const char* colon = strrchr(text, ':');
    memset(out, 0, sizeof *out);
    if (!colon || (size_t)(colon - text) >= sizeof ip) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = 0;
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)atoi(colon + 1));
    return inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static int listen_at(const char* address) {
    struct sockaddr_in in;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (!parse_address(address, &in) || bind(fd, (struct sockaddr*)&in, sizeof in) != 0 ||
        listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int client_open(const char* address) {
    struct sockaddr_in in;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!parse_address(address, &in) || connect(fd, (struct sockaddr*)&in, sizeof in) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

static bool send_all(int fd, const char* bytes, size_t size) {
    while (size > 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        size -= (size_t)sent;
    }
    return true;
}

/* ---- reading heads --------------------------------------------------------------------------- */

/* Copies the value of a field; false if the head has none. */
static bool head_field(const char* head, const char* name, char* out, size_t size) {
    size_t length = strlen(name);
    for (const char* at = strchr(head, '\n'); at; at = strchr(at, '\n')) {
        at++;
        if (strncasecmp(at, name, length) == 0 && at[length] == ':') {
            at += length + 1;
            at += strspn(at, " ");
            size_t value = strcspn(at, "\r\n");
            snprintf(out, size, "%.*s", (int)(value < size ? value : size - 1), at);
            return true;
        }
    }
    return false;
}

/* Reads up to the end of a head; the bytes behind it stay in the socket. */
static bool read_head(int fd, char* head, size_t size, int64_t until, bool* reset) {
    size_t have = 0;
    while (have + 1 < size) {
        struct pollfd wait = {.fd = fd, .events = POLLIN};
        int64_t left = until - stage_now_ms();
        if (left <= 0 || poll(&wait, 1, (int)left) <= 0) {
            return false;
        }
        ssize_t got = recv(fd, head + have, 1, 0);
        if (got <= 0) {
            *reset = got < 0;
            return false;
        }
        have += (size_t)got;
        head[have] = 0;
        if (have >= 4 && memcmp(head + have - 4, "\r\n\r\n", 4) == 0) {
            return true;
        }
    }
    return false;
}

typedef enum {
    READ_BYTES,
    READ_END,
    READ_RESET,
    READ_LATE
} read_result;

static read_result read_some(int fd, char* out, size_t size, int64_t until, size_t* got) {
    struct pollfd wait = {.fd = fd, .events = POLLIN};
    int64_t left = until - stage_now_ms();
    if (left <= 0 || poll(&wait, 1, (int)left) <= 0) {
        return READ_LATE;
    }
    ssize_t result = recv(fd, out, size, 0);
    *got = result > 0 ? (size_t)result : 0;
    return result > 0 ? READ_BYTES : result == 0 ? READ_END : READ_RESET;
}

/* Reads exactly `size` bytes. */
static bool read_exactly(int fd, char* out, size_t size, int64_t until, bool* reset) {
    size_t have = 0;
    while (have < size) {
        size_t got;
        read_result result = read_some(fd, out + have, size - have, until, &got);
        if (result != READ_BYTES) {
            *reset = result == READ_RESET;
            return false;
        }
        have += got;
    }
    return true;
}

static bool read_line(int fd, char* line, size_t size, int64_t until, bool* reset) {
    for (size_t at = 0; at + 1 < size; at++) {
        if (!read_exactly(fd, line + at, 1, until, reset)) {
            return false;
        }
        if (at > 0 && line[at] == '\n') {
            line[at + 1] = 0;
            return true;
        }
    }
    return false;
}

/* Reads a chunked body. What arrived before it broke off is kept. */
static bool read_chunks(int fd, stage_answer* answer, int64_t until) {
    char line[128];
    for (;;) {
        if (!read_line(fd, line, sizeof line, until, &answer->reset)) {
            return false;
        }
        size_t size = strtoul(line, NULL, 16);
        if (size == 0) {
            return read_line(fd, line, sizeof line, until, &answer->reset);
        }
        if (answer->size + size > STAGE_BODY ||
            !read_exactly(fd, answer->body + answer->size, size, until, &answer->reset)) {
            return false;
        }
        answer->size += size;
        if (!read_line(fd, line, sizeof line, until, &answer->reset)) {
            return false;
        }
    }
}

static bool read_to_end(int fd, stage_answer* answer, int64_t until) {
    while (answer->size < STAGE_BODY) {
        size_t got;
        read_result result =
            read_some(fd, answer->body + answer->size, STAGE_BODY - answer->size, until, &got);
        answer->size += result == READ_BYTES ? got : 0;
        answer->reset = result == READ_RESET;
        if (result != READ_BYTES) {
            return result == READ_END;
        }
    }
    return false;
}

/* ---- clients --------------------------------------------------------------------------------- */

bool client_send(int fd, const char* method, const char* path, const char* id,
                 const char* more_fields) {
    char head[2048];
    int size = snprintf(head, sizeof head,
                        "%s %s HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: %s\r\n%s"
                        "Content-Length: 0\r\n\r\n",
                        method, path, id, more_fields ? more_fields : "");
    return send_all(fd, head, (size_t)size);
}

bool client_read(int fd, int ms, stage_answer* answer) {
    int64_t until = stage_now_ms() + ms;
    char value[128];
    *answer = (stage_answer){0};
    answer->body = calloc(1, STAGE_BODY + 1);
    if (!read_head(fd, answer->head, sizeof answer->head, until, &answer->reset)) {
        return false;
    }
    answer->status = atoi(answer->head + strlen("HTTP/1.1 "));
    answer->keep = !head_field(answer->head, "Connection", value, sizeof value) ||
                   strcasecmp(value, "close") != 0;
    if (head_field(answer->head, "Content-Length", value, sizeof value)) {
        size_t size = strtoul(value, NULL, 10);
        answer->size = size <= STAGE_BODY ? size : 0;
        answer->whole = read_exactly(fd, answer->body, answer->size, until, &answer->reset);
    } else if (head_field(answer->head, "Transfer-Encoding", value, sizeof value)) {
        answer->whole = read_chunks(fd, answer, until);
    } else {
        answer->keep = false;
        answer->whole = read_to_end(fd, answer, until);
    }
    return true;
}

void client_clear(stage_answer* answer) {
    free(answer->body);
    answer->body = NULL;
}

int client_call(const char* address, const char* method, const char* path, const char* body, int ms,
                char* out, size_t out_size) {
    stage_answer answer = {0};
    char head[512];
    int fd = client_open(address);
    if (fd < 0) {
        return 0;
    }
    int size = snprintf(head, sizeof head,
                        "%s %s HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
                        "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                        method, path, strlen(body));
    if (send_all(fd, head, (size_t)size) && send_all(fd, body, strlen(body))) {
        client_read(fd, ms, &answer);
    }
    if (out) {
        snprintf(out, out_size, "%s", answer.body ? answer.body : "");
    }
    client_clear(&answer);
    close(fd);
    return answer.status;
}

/* ---- workers: serving ------------------------------------------------------------------------ */

typedef struct {
    const stage_worker* worker;
    int fd;
} served;

static void serve_stream(const stage_worker* w, int fd, const char* id, const char* path,
                         const char* head) {
    int num = 0;
    int gap_ms = 0;
    char framing[32] = "chunks";
    char text[512];
    char last[32];
    const char* spec = strstr(path, "events-");
    sscanf(spec, "events-%d-%d-%31s", &num, &gap_ms, framing);
    bool chunks = strcmp(framing, "chunks") == 0;
    int first = head_field(head, "Last-Event-Id", last, sizeof last) ? atoi(last) + 1 : 0;
    int size = snprintf(text, sizeof text,
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\n"
                        "Response-Seal: seal-%s-%s\r\n%s\r\n",
                        id, id, w->id, chunks ? "Transfer-Encoding: chunked\r\n" : "");
    bool good = send_all(fd, text, (size_t)size);
    bool crashes = w->crash_part && strstr(head, w->crash_part);
    for (int i = first; i < num && good; i++) {
        if (crashes && i > first) {
            stage_record("worker %s crashes on %s", w->id, id);
            _exit(CRASH_STATUS);
        }
        char event[128];
        int event_size = snprintf(event, sizeof event, "id: %d\ndata: %s piece %d of %d by %s\n\n",
                                  i, id, i, num, w->version);
        size = chunks ? snprintf(text, sizeof text, "%x\r\n%s\r\n", event_size, event)
                      : snprintf(text, sizeof text, "%s", event);
        good = send_all(fd, text, (size_t)size);
        if (i + 1 < num) {
            stage_sleep(gap_ms);
        }
    }
    if (good && chunks) {
        good = send_all(fd, "0\r\n\r\n", 5);
    }
    stage_record("worker %s %s %s from piece %d", w->id, good ? "has finished" : "could not finish",
                 id, first);
}

/* A second answer, some ms after a whole one: it belongs to no request. */
static void* send_surplus(void* data) {
    static const char surplus[] =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\nsurplus\n";
    static atomic_int sent;
    int fd = (int)(intptr_t)data;
    stage_sleep(SURPLUS_MS * (1 + sent++ % SURPLUS_STEPS));
    send_all(fd, surplus, sizeof surplus - 1);
    close(fd);
    return NULL;
}

static void add_surplus(const stage_worker* w, int fd, const char* id) {
    static atomic_int answers;
    pthread_t thread;
    if (w->surplus_each > 0 && ++answers % w->surplus_each == 0) {
        stage_record("worker %s sends more after its answer to %s", w->id, id);
        pthread_create(&thread, NULL, send_surplus, (void*)(intptr_t)dup(fd));
        pthread_detach(thread);
    }
}

static void serve_work(const stage_worker* w, int fd, const char* id, const char* path) {
    char text[512];
    char body[128];
    const char* spec = strstr(path, "work-");
    stage_sleep(spec ? atoi(spec + strlen("work-")) : 0);
    int body_size = snprintf(body, sizeof body, "done %s by %s\n", id, w->id);
    int size = snprintf(text, sizeof text,
                        "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s-%s\r\n"
                        "Content-Length: %d\r\n\r\n%s",
                        id, id, w->id, body_size, body);
    bool good = send_all(fd, text, (size_t)size);
    stage_record("worker %s %s %s", w->id, good ? "has finished" : "could not finish", id);
    add_surplus(w, fd, id);
}

static bool serve_one(const stage_worker* w, int fd) {
    char head[8192];
    char path[512];
    char id[128] = "";
    char expected[128];
    char length[32];
    bool reset = false;
    if (!read_head(fd, head, sizeof head, stage_now_ms() + 60000, &reset) ||
        sscanf(head, "%*s %511s", path) != 1) {
        return false;
    }
    if (head_field(head, "Content-Length", length, sizeof length)) {
        for (long left = atol(length); left > 0; left--) {
            char byte;
            if (!read_exactly(fd, &byte, 1, stage_now_ms() + 5000, &reset)) {
                return false;
            }
        }
    }
    head_field(head, "Attempt-Id", id, sizeof id);
    if (head_field(head, "Expect-Instance", expected, sizeof expected) &&
        strcmp(expected, w->id) != 0) {
        char text[256];
        int size = snprintf(text, sizeof text,
                            "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
                            "Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
                            w->id, id);
        stage_record("worker %s turns away %s, which is for %s", w->id, id, expected);
        return send_all(fd, text, (size_t)size);
    }
    if (strncmp(path, "/api/", 5) == 0) {
        static const char none[] = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
        return send_all(fd, none, sizeof none - 1);
    }
    stage_record("worker %s runs %s: %s", w->id, id, path);
    if (strstr(path, "events-")) {
        serve_stream(w, fd, id, path, head);
        return strstr(path, "chunks") != NULL;
    }
    serve_work(w, fd, id, path);
    return true;
}

static void* serve_connection(void* data) {
    served* c = data;
    while (serve_one(c->worker, c->fd)) {
    }
    close(c->fd);
    free(c);
    return NULL;
}

static void* serve_connections(void* data) {
    const served* listener = data;
    for (;;) {
        pthread_t thread;
        int on = 1;
        int fd = accept(listener->fd, NULL, NULL);
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        served* c = malloc(sizeof *c);
        *c = (served){listener->worker, fd};
        pthread_create(&thread, NULL, serve_connection, c);
        pthread_detach(thread);
    }
    return NULL;
}

/* ---- workers: heartbeats --------------------------------------------------------------------- */

void worker_init(const stage* s, stage_worker* w, const char* id, const char* service, int host) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    *w = (stage_worker){.slots = 64, .state = "ready", .version = "v1"};
    w->born = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    snprintf(w->id, sizeof w->id, "%s", id);
    snprintf(w->service, sizeof w->service, "%s", service);
    snprintf(w->zone, sizeof w->zone, "zone-%d", 1 + (host - 1) % STAGE_MACHINES);
    snprintf(w->address, sizeof w->address, "127.%d.5.%d:%d", s->part, host, WORKER_PORT);
}

int worker_beat(const stage* s, stage_worker* w, int machine) {
    char address[64];
    char path[128];
    char body[512];
    stage_address(s, machine, CONTROL_PORT, address);
    snprintf(path, sizeof path, "/v1/targets/%s", w->id);
    snprintf(body, sizeof body,
             "{\"service\":\"%s\",\"address\":\"%s\",\"data_centre\":\"%s\",\"version\":\"%s\","
             "\"slots\":%d,\"state\":\"%s\",\"cold_ms\":0,\"sequence\":%d,\"born\":%lld}",
             w->service, w->address, w->zone, w->version, w->slots, w->state, ++w->sequence,
             (long long)w->born);
    return client_call(address, "PUT", path, body, 1000, NULL, 0);
}

int worker_deregister(const stage* s, const stage_worker* w, int machine) {
    char address[64];
    char path[128];
    char body[64];
    stage_address(s, machine, CONTROL_PORT, address);
    snprintf(path, sizeof path, "/v1/targets/%s", w->id);
    snprintf(body, sizeof body, "{\"born\":%lld}", (long long)w->born);
    return client_call(address, "DELETE", path, body, 1000, NULL, 0);
}

static void on_draining(int number) {
    (void)number;
    says_draining = 1;
}

/* Sends heartbeats to one machine after the other until one acknowledges. */
static void send_heartbeats(const stage* s, stage_worker* w) {
    bool acknowledged = false;
    stage_sleep(w->first_beat_ms);
    for (;;) {
        int64_t next = stage_now_ms() + HEARTBEAT_MS;
        bool draining = says_draining != 0;
        w->state = draining ? "draining" : "ready";
        int status = 0;
        for (int i = 0; i < STAGE_MACHINES && status / 100 != 2; i++) {
            status = worker_beat(s, w, i);
        }
        if (draining && !acknowledged && status / 100 == 2) {
            acknowledged = true;
            stage_record("worker %s: `draining` is acknowledged", w->id);
        }
        while (stage_now_ms() < next && (says_draining != 0) == draining) {
            stage_sleep(20);
        }
    }
}

void worker_start(stage* s, stage_worker* w, bool silent) {
    pid_t parent = getpid();
    w->pid = fork();
    if (w->pid != 0) {
        add_child(w->pid);
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(1);
    }
    signal(SIGALRM, SIG_DFL);
    signal(SIGUSR1, on_draining);
    alarm(0);
    children_num = 0;
    pthread_t thread;
    served listener = {w, listen_at(w->address)};
    if (listener.fd < 0) {
        stage_record("worker %s cannot listen at %s", w->id, w->address);
        _exit(1);
    }
    pthread_create(&thread, NULL, serve_connections, &listener);
    if (silent) {
        for (;;) {
            pause();
        }
    }
    send_heartbeats(s, w);
}

bool worker_restart_if_ended(stage* s, stage_worker* w, int64_t* back_at, int back_ms) {
    char id[64];
    bool ended = w->pid > 0 && waitpid(w->pid, NULL, WNOHANG) == w->pid;
    if (ended) {
        forget_child(w->pid);
        w->pid = 0;
        *back_at = stage_now_ms() + back_ms;
    } else if (w->pid == 0 && stage_now_ms() >= *back_at) {
        snprintf(id, sizeof id, "%.40s-again", w->id);
        snprintf(w->id, sizeof w->id, "%s", id);
        w->born += stage_now_ms() - record_began;
        w->sequence = 0;
        stage_record("worker %s starts", w->id);
        worker_start(s, w, false);
    }
    return ended;
}

void worker_kill(stage_worker* w, int how) {
    if (w->pid > 0) {
        kill(w->pid, how);
        waitpid(w->pid, NULL, 0);
        forget_child(w->pid);
        w->pid = 0;
    }
}

/* ---- the deployment -------------------------------------------------------------------------- */

static bool is_ready(const stage* s, int machine) {
    char address[64];
    stage_address(s, machine, READY_PORT, address);
    return client_call(address, "GET", "/v1/ready", "", 500, NULL, 0) == 200;
}

bool stage_put(const stage* s, const char* document, int ms) {
    char address[64];
    int64_t until = stage_now_ms() + ms;
    for (int i = 0; stage_now_ms() < until; i++) {
        stage_address(s, i % STAGE_MACHINES, CONTROL_PORT, address);
        int status = client_call(address, "PUT", "/v1/configuration", document, 1000, NULL, 0);
        if (status == 200) {
            stage_record("a configuration is acknowledged by machine %d", 1 + i % STAGE_MACHINES);
            return true;
        }
        stage_sleep(100);
    }
    stage_record("no machine acknowledges the configuration");
    return false;
}

static bool is_free(const char* address) {
    int fd = listen_at(address);
    if (fd >= 0) {
        close(fd);
    }
    return fd >= 0;
}

/* Whether all addresses that a case may use in a part of the loopback network are free. */
static bool part_is_free(int part) {
    const int ports[] = {FRONT_PORT, READY_PORT, DIRECTORY_PORT, CONTROL_PORT, 7400, 7401};
    char address[64];
    for (int host = 1; host <= STAGE_MACHINES; host++) {
        for (size_t i = 0; i < sizeof ports / sizeof ports[0]; i++) {
            snprintf(address, sizeof address, "127.%d.1.%d:%d", part, host, ports[i]);
            if (!is_free(address)) {
                return false;
            }
        }
    }
    for (int host = 1; host <= PART_WORKERS; host++) {
        snprintf(address, sizeof address, "127.%d.5.%d:%d", part, host, WORKER_PORT);
        if (!is_free(address)) {
            return false;
        }
    }
    return true;
}

static int pick_part(void) {
    for (int i = 0; i < 200; i++) {
        int part = 20 + (int)((getpid() + i) % 200);
        if (part_is_free(part)) {
            return part;
        }
    }
    return 0;
}

void stage_begin(stage* s, const char* record) {
    const char* trouble = getenv("TROUBLE");
    *s = (stage){.trouble = !trouble || strcmp(trouble, "0") != 0};
    record_fd = open(record, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
    record_began = stage_now_ms();
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_limit);
    alarm(LIMIT_S);
    snprintf(s->folder, sizeof s->folder, "/tmp/wg-review-XXXXXX");
    s->part = pick_part();
    if (record_fd < 0 || s->part == 0 || !mkdtemp(s->folder) ||
        access("target/walnutgate-controld", X_OK) != 0) {
        fprintf(stderr, "no record, address, folder or built program\n");
        exit(STAGE_NOT_RUN);
    }
    stage_record("trouble=%d", s->trouble);
    for (int i = 0; i < STAGE_MACHINES; i++) {
        snprintf(s->machines[i].ip, sizeof s->machines[i].ip, "127.%d.1.%d", s->part, i + 1);
    }
    for (int i = 0; i < STAGE_MACHINES; i++) {
        stage_start_entry(s, i);
        stage_start_replica(s, i);
    }
}

void stage_end(stage* s, int status) {
    char command[STAGE_TEXT * 2];
    end_children();
    stage_record("exit %d", status);
    if (!getenv("KEEP")) {
        snprintf(command, sizeof command, "rm -rf '%s'", s->folder);
        if (system(command) != 0) {
            fprintf(stderr, "cannot remove %s\n", s->folder);
        }
    } else {
        fprintf(stderr, "kept: %s\n", s->folder);
    }
    exit(status);
}

bool stage_wait_ready(const stage* s) {
    int64_t until = stage_now_ms() + READY_MS;
    for (int i = 0; i < STAGE_MACHINES; i++) {
        while (!is_ready(s, i)) {
            if (stage_now_ms() > until) {
                stage_record("machine %d is not ready", i + 1);
                return false;
            }
            stage_sleep(50);
        }
    }
    return true;
}
