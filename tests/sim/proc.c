/* proc.c -- see proc.h */
#include "proc.h"

#include "folder.h"
#include "loopback.h"
#include "program.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

/* ---- helpers ------------------------------------------------------------------------------ */

static void write_file(const proc_fleet* f, const char* name, const char* text) {
    char* path = g_build_filename(f->folder, name, NULL);
    WG_ASSERT(g_file_set_contents(path, text, -1, NULL));
    g_free(path);
}

static bool is_kind(const proc_process* p, const char* prefix) {
    return g_str_has_prefix(p->name, prefix);
}

static char* control_addresses(const proc_fleet* f, bool operators) {
    GString* list = g_string_new(NULL);
    for (int i = 0; i < f->desc.controls; i++) {
        if (operators) {
            g_string_append_printf(list, "%s127.%d.1.%d:7200", i ? "," : "",
                                   f->loopback_part_number, i + 1);
        } else {
            g_string_append_printf(list, "%sc%d@127.%d.1.%d:7100", i ? " " : "", i + 1,
                                   f->loopback_part_number, i + 1);
        }
    }
    return g_string_free(list, FALSE);
}

static proc_process* add_process(proc_fleet* f, const char* kind, int i) {
    WG_ASSERT(f->num < PROC_MAX);
    proc_process* p = &f->processes[f->num++];
    g_snprintf(p->name, sizeof p->name, "%s%d", kind, i);
    return p;
}

static void add_control(proc_fleet* f, int i) {
    proc_process* p = add_process(f, "c", i);
    char* list = control_addresses(f, false);
    g_snprintf(p->address, sizeof p->address, "127.%d.1.%d:7100", f->loopback_part_number, i);
    g_snprintf(p->operators, sizeof p->operators, "127.%d.1.%d:7200", f->loopback_part_number, i);
    g_snprintf(p->settings, sizeof p->settings, "%s.ini", p->name);
    char* text = g_strdup_printf("[control]\nname=%s\ndata_centre=dc%d\nfleet_listen=%s\n"
                                 "operators_listen=%s\ndata_folder=data-%s\ncontrols=%s\n"
                                 "[keys]\nfleet_key=fleet.key\noperator_key=operator.key\n"
                                 "[log]\nlog_target=%s.log\n%s",
                                 p->name, i % 3, p->address, p->operators, p->name, list, p->name,
                                 f->desc.control_extra ? f->desc.control_extra : "");
    write_file(f, p->settings, text);
    g_free(text);
    g_free(list);
}

static void add_router(proc_fleet* f, int i) {
    proc_process* p = add_process(f, "r", i);
    char* list = control_addresses(f, false);
    g_snprintf(p->address, sizeof p->address, "127.%d.2.%d:8000", f->loopback_part_number, i);
    g_snprintf(p->operators, sizeof p->operators, "127.%d.2.%d:7300", f->loopback_part_number, i);
    g_snprintf(p->settings, sizeof p->settings, "%s.ini", p->name);
    char* extra = g_strdup(f->desc.router_extra ? f->desc.router_extra : "");
    char* place = strstr(extra, "%d");
    if (place) {
        *place = 0;
        char* filled = g_strdup_printf("%s%d%s", extra, f->loopback_part_number, place + 2);
        g_free(extra);
        extra = filled;
    }
    char* text = g_strdup_printf("[router]\nname=%s\ndata_centre=dc%d\ncallers_listen=%s\n"
                                 "operators_listen=%s\ncontrols=%s\n"
                                 "[keys]\nfleet_key=fleet.key\noperator_key=operator.key\n"
                                 "[log]\nlog_target=%s.log\n[control]\nentry_keep_ms=500\n"
                                 "stop_wait_ms=500\n%s",
                                 p->name, i % 3, p->address, p->operators, list, p->name, extra);
    g_free(extra);
    write_file(f, p->settings, text);
    g_free(text);
    g_free(list);
}

static void add_target(proc_fleet* f, const char* kind, int i, int subnet) {
    proc_process* p = add_process(f, kind, i);
    g_snprintf(p->address, sizeof p->address, "127.%d.%d.%d:9000", f->loopback_part_number, subnet,
               i);
}

/* Aborts with the command's output if it fails. */
static void put_rows(proc_fleet* f, const char* kind, const char* file) {
    char* out = NULL;
    int status = proc_run_ctl(f, &out, "table", "put", kind, file, NULL);
    if (status != 0) {
        fprintf(stderr, "table put %s: exit status %d: %s", kind, status, out ? out : "");
    }
    WG_ASSERT(status == 0);
    g_free(out);
}

static void put_table(proc_fleet* f) {
    GString* csv = g_string_new("name,version,kind,repeatable,resume,over_percent,deadline_ms\n");
    g_string_append_printf(csv, "model,0,model,,1,%d,30000\n", f->desc.over_percent);
    g_string_append(csv, "app,0,app,GET HEAD,0,0,10000\n");
    write_file(f, "services.csv", csv->str);
    g_string_assign(csv, "name,version,service,address,data_centre,slots\n");
    for (int i = 0; i < f->num; i++) {
        const proc_process* p = &f->processes[i];
        if (is_kind(p, "engine") || is_kind(p, "service")) {
            bool engine = is_kind(p, "engine");
            g_string_append_printf(csv, "%s,0,%s,%s,dc%d,%d\n", p->name, engine ? "model" : "app",
                                   p->address, i % 3, engine ? f->desc.engine_slots : 64);
        }
    }
    write_file(f, "targets.csv", csv->str);
    g_string_assign(csv, "name,version,weight,queue,keys\n");
    for (int i = 0; i < f->desc.workspaces; i++) {
        char key[32];
        uint8_t hash[WG_KEY_HASH_SIZE];
        g_snprintf(key, sizeof key, "key-w%d", i);
        wg_key_hash(key, hash);
        g_string_append_printf(csv, "w%d,0,100,2000,", i);
        for (size_t b = 0; b < sizeof hash; b++) {
            g_string_append_printf(csv, "%02x", hash[b]);
        }
        g_string_append_c(csv, '\n');
    }
    write_file(f, "workspaces.csv", csv->str);
    g_string_free(csv, TRUE);
    put_rows(f, "services", "services.csv");
    put_rows(f, "targets", "targets.csv");
    put_rows(f, "workspaces", "workspaces.csv");
}

static bool router_serves(void* user_data) {
    const proc_process* p = user_data;
    proc_answer answer = proc_request(p->address, "GET", "/v1/app/app/warm", "key-w0", NULL, NULL);
    bool good = answer.status == 200;
    proc_answer_clear(&answer);
    return good;
}

typedef struct {
    proc_fleet* fleet;
    int64_t replicas;
} voter_wait;

static bool all_replicas_vote(void* user_data) {
    voter_wait* wait = user_data;
    proc_process* leader = proc_leader(wait->fleet);
    proc_answer answer = proc_request(leader->operators, "GET", "/debug/state",
                                      wait->fleet->operator_key, NULL, NULL);
    json_t* json = json_loads(answer.body ? answer.body : "", 0, NULL);
    int64_t voters = 0;
    size_t i;
    json_t* replica;
    json_array_foreach(json_object_get(json, "replicas"), i, replica) {
        voters += json_is_true(json_object_get(replica, "voter"));
    }
    json_decref(json);
    proc_answer_clear(&answer);
    return voters == wait->replicas;
}

/* ---- processes ------------------------------------------------------------------------------ */

/* Controls sync through slow_sync.c, which takes the delay from the file that is named here. */
static pid_t spawn(const proc_fleet* f, const char* program, const char* log, char* const* argv) {
    char* preload = g_strdup_printf("LD_PRELOAD=%s/libslow_sync.so", f->bin);
    char* file = g_strdup_printf("WG_SLOW_SYNC_FILE=%s/sync_delay", f->folder);
    char* environment[] = {preload, file, NULL};
    bool slow = f->desc.slow_syncs && strcmp(program, "walnutgate-controld") == 0;
    pid_t pid = program_start(&(program_desc){.bin = f->bin,
                                              .program = program,
                                              .arguments = argv,
                                              .folder = f->folder,
                                              .log = log,
                                              .environment = slow ? environment : NULL});
    g_free(file);
    g_free(preload);
    return pid;
}

void proc_set_sync_delay(const proc_fleet* f, int ms) {
    char* text = g_strdup_printf("%d\n", ms);
    write_file(f, "sync_delay", text);
    g_free(text);
}

void proc_start(proc_fleet* f, proc_process* p) {
    char address[96];
    char pace[48];
    char slots[48];
    char out[48];
    g_snprintf(out, sizeof out, "%s.out", p->name);
    if (is_kind(p, "engine") || is_kind(p, "service")) {
        bool engine = is_kind(p, "engine");
        g_snprintf(address, sizeof address, "address=%s", p->address);
        g_snprintf(pace, sizeof pace, "pace_us=%d", f->desc.engine_pace_us);
        g_snprintf(slots, sizeof slots, "slots=%d", f->desc.engine_slots);
        char* argv[] = {address, pace, slots, NULL};
        p->pid = spawn(f, engine ? "fake_engine" : "fake_service", out, argv);
    } else {
        char* argv[] = {(char*)"--settings", p->settings, NULL};
        p->pid =
            spawn(f, is_kind(p, "c") ? "walnutgate-controld" : "walnutgate-routerd", out, argv);
    }
}

void proc_signal(proc_process* p, int signal) {
    if (p->pid > 0) {
        kill(p->pid, signal);
    }
}

int proc_wait(proc_process* p) {
    return program_wait(&p->pid);
}

void proc_kill(proc_process* p) {
    program_kill(&p->pid);
}

void proc_wipe_disk(proc_fleet* f, proc_process* p) {
    char* folder = g_strdup_printf("%s/data-%s", f->folder, p->name);
    folder_wipe(folder);
    g_free(folder);
}

proc_process* proc_find(proc_fleet* f, const char* name) {
    for (int i = 0; i < f->num; i++) {
        if (strcmp(f->processes[i].name, name) == 0) {
            return &f->processes[i];
        }
    }
    wg_assert_failed(name, __FILE__, __LINE__);
}

proc_process* proc_leader(proc_fleet* f) {
    for (int round = 0; round < 600; round++) {
        for (int i = 0; i < f->desc.controls; i++) {
            proc_process* p = &f->processes[i];
            if (p->pid == 0) {
                continue;
            }
            proc_answer answer = proc_request(p->operators, "GET", "/metrics", NULL, NULL, NULL);
            bool leads = answer.body && strstr(answer.body, "walnutgate_leads 1");
            proc_answer_clear(&answer);
            if (leads) {
                return p;
            }
        }
        proc_sleep(20);
    }
    wg_assert_failed("a control leads", __FILE__, __LINE__);
}

/* Are the first addresses of controls, routers and targets free? */
static bool is_free_part(int part) {
    static const char* const first[] = {"127.%d.1.1:7100", "127.%d.1.1:7200", "127.%d.2.1:8000",
                                        "127.%d.3.1:9000", "127.%d.4.1:9000"};
    return loopback_are_bindable(part, first, G_N_ELEMENTS(first));
}

void proc_fleet_start(proc_fleet* f, const proc_desc* desc) {
    *f = (proc_fleet){.desc = *desc};
    f->desc.engine_slots = desc->engine_slots ? desc->engine_slots : 8;
    f->desc.engine_pace_us = desc->engine_pace_us ? desc->engine_pace_us : 2000;
    f->desc.workspaces = desc->workspaces ? desc->workspaces : 3;
    f->loopback_part_number = loopback_reserve(is_free_part);
    program_find_folder(f->bin, sizeof f->bin);
    g_strlcpy(f->folder, "/tmp/wg-fleet-XXXXXX", sizeof f->folder);
    WG_ASSERT(mkdtemp(f->folder) != NULL);
    g_snprintf(f->operator_key, sizeof f->operator_key, "operator-key-of-the-tests");
    write_file(f, "fleet.key", "fleet-key-of-the-tests\n");
    write_file(f, "operator.key", "operator-key-of-the-tests\n");
    for (int i = 1; i <= desc->controls; i++) {
        add_control(f, i);
    }
    for (int i = 1; i <= desc->routers; i++) {
        add_router(f, i);
    }
    for (int i = 1; i <= desc->engines; i++) {
        add_target(f, "engine", i, 3);
    }
    for (int i = 1; i <= desc->services; i++) {
        add_target(f, "service", i, 4);
    }
    char* argv[] = {(char*)"--settings", f->processes[0].settings, (char*)"--init", NULL};
    proc_process init = {.pid = spawn(f, "walnutgate-controld", "init.out", argv)};
    WG_ASSERT(proc_wait(&init) == 0);
    for (int i = 0; i < f->num; i++) {
        proc_start(f, &f->processes[i]);
    }
    voter_wait wait = {f, desc->controls};
    WG_ASSERT(proc_wait_until(all_replicas_vote, &wait, 30));
    put_table(f);
    for (int i = 0; i < f->num && desc->services > 0; i++) {
        if (is_kind(&f->processes[i], "r")) {
            WG_ASSERT(proc_wait_until(router_serves, &f->processes[i], 30));
        }
    }
}

static void remove_folder(const proc_fleet* f) {
    char* command[] = {(char*)"/bin/rm", (char*)"-rf", (char*)f->folder, NULL};
    pid_t pid;
    if (posix_spawn(&pid, command[0], NULL, NULL, command, environ) == 0) {
        waitpid(pid, NULL, 0);
    }
}

void proc_fleet_stop(proc_fleet* f) {
    for (int i = f->desc.controls; i < f->num; i++) {
        proc_signal(&f->processes[i], SIGTERM);
    }
    for (int i = f->desc.controls; i < f->num; i++) {
        if (f->processes[i].pid > 0) {
            WG_ASSERT(proc_wait(&f->processes[i]) == 0);
        }
    }
    for (int i = 0; i < f->desc.controls; i++) {
        if (f->processes[i].pid > 0) {
            proc_signal(&f->processes[i], SIGTERM);
            WG_ASSERT(proc_wait(&f->processes[i]) == 0);
        }
    }
    if (!f->keep) {
        remove_folder(f);
    }
}

void proc_fleet_kill(proc_fleet* f) {
    for (int i = 0; i < f->num; i++) {
        proc_kill(&f->processes[i]);
    }
    if (!f->keep) {
        remove_folder(f);
    }
}

/* ---- requests ------------------------------------------------------------------------------- */

static int connect_to(const char* address) {
    char* ip = g_strdup(address);
    char* colon = strrchr(ip, ':');
    WG_ASSERT(colon != NULL);
    *colon = 0;
    struct sockaddr_in in = {.sin_family = AF_INET, .sin_port = htons((uint16_t)atoi(colon + 1))};
    inet_pton(AF_INET, ip, &in.sin_addr);
    g_free(ip);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    if (connect(fd, (struct sockaddr*)&in, sizeof in) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

char* proc_send_raw(const char* address, const void* bytes, size_t size, int ms, gsize* out_size) {
    int fd = connect_to(address);
    GString* got = g_string_new(NULL);
    if (fd >= 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);
        (void)sent;
        gint64 until = g_get_monotonic_time() + (gint64)ms * 1000;
        for (;;) {
            gint64 left = (until - g_get_monotonic_time()) / 1000;
            struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
            char block[65536];
            if (left <= 0 || poll(&poll_fd, 1, (int)left) <= 0) {
                break;
            }
            ssize_t num = recv(fd, block, sizeof block, 0);
            if (num <= 0) {
                break;
            }
            g_string_append_len(got, block, num);
        }
        close(fd);
    }
    if (out_size) {
        *out_size = got->len;
    }
    return g_string_free(got, FALSE);
}

static char* find_header(const char* head, const char* name) {
    char* needle = g_strdup_printf("\r\n%s: ", name);
    const char* at = strcasestr(head, needle);
    char* value = at ? g_strndup(at + strlen(needle), strcspn(at + strlen(needle), "\r")) : NULL;
    g_free(needle);
    return value;
}

static char* decode_chunks(const char* text) {
    GString* out = g_string_new(NULL);
    for (;;) {
        char* end;
        unsigned long size = strtoul(text, &end, 16);
        if (end == text || size == 0 || strlen(end) < size + 2) {
            break;
        }
        g_string_append_len(out, end + 2, (gssize)size);
        text = end + 2 + size + 2;
    }
    return g_string_free(out, FALSE);
}

proc_answer proc_request(const char* address, const char* method, const char* path, const char* key,
                         const char* headers, const char* body) {
    char* request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%s%s%s%s"
                                    "Content-Length: %zu\r\n\r\n%s",
                                    method, path, address, key ? "Authorization: Bearer " : "",
                                    key ? key : "", key ? "\r\n" : "", headers ? headers : "",
                                    body ? strlen(body) : 0, body ? body : "");
    char* text = proc_send_raw(address, request, strlen(request), 40000, NULL);
    g_free(request);
    proc_answer answer = {.retry_after = -1};
    char* split = strstr(text, "\r\n\r\n");
    if (split && sscanf(text, "HTTP/1.%*d %d", &answer.status) == 1) {
        char* head = g_strndup(text, (gsize)(split - text) + 2);
        char* verdict = find_header(head, "Walnutgate-Verdict");
        char* retry = find_header(head, "Retry-After");
        char* coding = find_header(head, "Transfer-Encoding");
        g_strlcpy(answer.verdict, verdict ? verdict : "", sizeof answer.verdict);
        answer.retry_after = retry ? atoi(retry) : -1;
        answer.body = coding ? decode_chunks(split + 4) : g_strdup(split + 4);
        g_free(verdict);
        g_free(retry);
        g_free(coding);
        g_free(head);
    }
    g_free(text);
    return answer;
}

void proc_answer_clear(proc_answer* answer) {
    g_free(answer->body);
    answer->body = NULL;
}

int proc_run_ctl(proc_fleet* f, char** out, const char* first, ...) {
    GPtrArray* argv = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(argv, g_strdup("--controls"));
    g_ptr_array_add(argv, control_addresses(f, true));
    g_ptr_array_add(argv, g_strdup("--key-file"));
    g_ptr_array_add(argv, g_strdup("operator.key"));
    va_list args;
    va_start(args, first);
    for (const char* word = first; word; word = va_arg(args, const char*)) {
        g_ptr_array_add(argv, g_strdup(word));
    }
    va_end(args);
    g_ptr_array_add(argv, NULL);
    char* path = g_build_filename(f->folder, "ctl.out", NULL);
    g_unlink(path);
    proc_process ctl = {.pid = spawn(f, "walnutgatectl", "ctl.out", (char* const*)argv->pdata)};
    int status = proc_wait(&ctl);
    if (out) {
        g_file_get_contents(path, out, NULL, NULL);
    }
    g_free(path);
    g_ptr_array_unref(argv);
    return status;
}

int64_t proc_json_number(const char* json_text, const char* path) {
    json_t* json = json_loads(json_text ? json_text : "", 0, NULL);
    char** names = g_strsplit(path, ".", -1);
    json_t* at = json;
    for (int i = 0; names[i] && at; i++) {
        at = json_object_get(at, names[i]);
    }
    int64_t value = json_is_integer(at) ? json_integer_value(at) : json_is_true(at) ? 1 : -1;
    if (json_is_false(at)) {
        value = 0;
    }
    g_strfreev(names);
    json_decref(json);
    return value;
}

int64_t proc_state_number(proc_fleet* f, proc_process* p, const char* path) {
    proc_answer answer =
        proc_request(p->operators, "GET", "/debug/state", f->operator_key, NULL, NULL);
    int64_t value = proc_json_number(answer.body, path);
    proc_answer_clear(&answer);
    return value;
}

int64_t proc_journal_number(proc_process* p, const char* path) {
    proc_answer answer = proc_request(p->address, "GET", "/fake/journal", NULL, NULL, NULL);
    int64_t value = proc_json_number(answer.body, path);
    proc_answer_clear(&answer);
    return value;
}

void proc_set_faults(proc_process* p, const char* faults) {
    char* path = g_strdup_printf("/fake/set?%s", faults);
    proc_answer answer = proc_request(p->address, "POST", path, NULL, NULL, "");
    WG_ASSERT(answer.status == 200);
    proc_answer_clear(&answer);
    g_free(path);
}

bool proc_wait_until(bool (*condition)(void* user_data), void* user_data, int seconds) {
    gint64 until = g_get_monotonic_time() + (gint64)seconds * G_USEC_PER_SEC;
    while (!condition(user_data)) {
        if (g_get_monotonic_time() > until) {
            return false;
        }
        proc_sleep(20);
    }
    return true;
}

void proc_sleep(int ms) {
    g_usleep((gulong)ms * 1000);
}
