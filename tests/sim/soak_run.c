/* soak_run.c -- see soak_run.h */
#include "soak_run.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include "hosts.h"
#include "wg_event_stream.h"
#include "wg_http.h"
#include "wg_message.h"
#include "wg_net.h"

enum {
    CALLERS = 16,
    VERSIONS_MAX = 400,
    STREAM_EVENTS = 25,
    PROMPT_PARTS = 12, /* shared between streams */
    DISTURBANCES_MAX = 1000,
    CALL_TIME = 4 * WG_USEC_PER_SEC,
    CALM_TIME = 5 * WG_USEC_PER_SEC,        /* after a fault, before bounds in time hold again */
    FAULTS_AFTER = 1500 * WG_USEC_PER_MSEC, /* of the callers' begin */
    FORM_TIME = 60 * WG_USEC_PER_SEC,       /* for the fleet to serve for the first time */
    SETTLE_TIME = 20 * WG_USEC_PER_SEC      /* after the last fault, to serve everywhere */
};

typedef enum {
    CALL_UNSAFE = 0,
    CALL_SAFE,
    CALL_STREAM,
    CALL_KINDS
} call_kind;

typedef struct soak soak;

/* A caller with one request at a time. */
typedef struct {
    soak* s;
    int number;
    struct bufferevent* bev;
    struct event* timer; /* next step: start, or give up */
    bool busy;
    call_kind kind;
    char id[40];
    bool head_read;
    wg_message_head head;
    char* bytes;
    wg_body body;
    struct evbuffer* content;
    struct evbuffer* events;
    int events_seen;
} caller;

typedef struct {
    wg_time from;
    wg_time until; /* 0: goes on */
    bool planned;  /* bounds in time hold all the same */
} disturbance;

typedef struct {
    soak* s;
    bool put;
    int version; /* put: that is sent; get: acknowledged when it was asked for */
} order;

struct soak {
    soak_desc desc;
    soak_result result;
    struct event_base* base;
    hosts h;
    uint64_t counter;
    caller callers[CALLERS];
    bool formed; /* the fleet has served everywhere */
    bool quiet;  /* faults are over */
    bool ended;
    GHashTable* promised;   /* ids that were refused as not run */
    GHashTable* unsafe_ids; /* ids of requests that may not be repeated */
    int version;            /* last one made */
    int acknowledged;
    bool put_open;
    wg_time faults_until;
    wg_time last_fault;
    wg_time wiped_at;
    disturbance disturbances[DISTURBANCES_MAX];
    int disturbances_num;
    struct event* tick;
    wg_time operator_at;
    wg_time fault_at;
    GQueue repairs; /* repair*, by time */
    uint32_t served_hosts;
};

typedef enum {
    REPAIR_ENTRY = 0, /* start it again */
    REPAIR_REPLICA,
    REPAIR_TARGET,
    REPAIR_CONTINUE_ENTRY, /* after SIGSTOP */
    REPAIR_CONTINUE_REPLICA,
    REPAIR_DISK,
    REPAIR_LINKS
} repair_kind;

typedef struct {
    wg_time at;
    repair_kind kind;
    int number; /* host or target */
    bool target;
    int disturbance;
} repair;

/* ---- helpers ----------------------------------------------------------------------------------
 */

static uint64_t draw(soak* s, uint64_t below) {
    return wg_jitter(s->desc.seed, ++s->counter) % below;
}

static void broken(soak* s, const char* format, ...) G_GNUC_PRINTF(2, 3);
static void broken(soak* s, const char* format, ...) {
    if (s->result.good) {
        va_list list;
        va_start(list, format);
        g_vsnprintf(s->result.reason, sizeof s->result.reason, format, list);
        va_end(list);
        s->result.good = false;
    }
}

static host* any_host(soak* s) {
    return &s->h.hosts[draw(s, (uint64_t)s->h.num)];
}

static int disturb(soak* s) {
    int at = s->disturbances_num < DISTURBANCES_MAX ? s->disturbances_num++ : DISTURBANCES_MAX - 1;
    s->disturbances[at] = (disturbance){.from = wg_now()};
    s->last_fault = wg_now();
    s->result.faults++;
    return at;
}

static bool is_calm_at(const soak* s, wg_time at) {
    for (int i = 0; i < s->disturbances_num; i++) {
        const disturbance* d = &s->disturbances[i];
        if (!d->planned && at >= d->from && (d->until == 0 || at <= d->until + CALM_TIME)) {
            return false;
        }
    }
    return true;
}

/* ---- callers ----------------------------------------------------------------------------------
 */

static void caller_next(caller* c, int ms) {
    struct timeval wait = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_add(c->timer, &wait);
}

static void caller_done(caller* c, bool keep) {
    c->busy = false;
    g_free(c->bytes);
    c->bytes = NULL;
    if (!keep && c->bev) {
        bufferevent_free(c->bev);
        c->bev = NULL;
    }
    caller_next(c, 5 + (int)draw(c->s, 30));
}

static void caller_fail(caller* c) {
    c->s->result.failed++;
    caller_done(c, false);
}

static void check_events(caller* c) {
    char id[16] = "";
    struct evbuffer* event = evbuffer_new();
    while (wg_event_stream_next(c->content, event, id, sizeof id) == WG_EVENT_STREAM_EVENT) {
        char expected[96];
        int number = ++c->events_seen;
        int size =
            g_snprintf(expected, sizeof expected, "id: %d\ndata: %s-%d\n\n", number, c->id, number);
        size_t have = evbuffer_get_length(event);
        if (have != (size_t)size || memcmp(evbuffer_pullup(event, -1), expected, have) != 0) {
            broken(c->s, "%s: event %d is \"%.*s\"", c->id, number, (int)have,
                   (const char*)evbuffer_pullup(event, -1));
        }
        evbuffer_drain(event, have);
    }
    evbuffer_free(event);
}

static void check_whole(caller* c) {
    soak* s = c->s;
    int status = c->head.status;
    wg_text echoed = wg_message_field(&c->head, "Walnutgate-Request");
    if (echoed.text && (echoed.size != strlen(c->id) || memcmp(echoed.text, c->id, echoed.size))) {
        broken(s, "%s got the answer of %.*s", c->id, (int)echoed.size, echoed.text);
    }
    if (status == 200 && c->kind == CALL_STREAM) {
        check_events(c);
        if (c->events_seen != STREAM_EVENTS || evbuffer_get_length(c->content) > 0) {
            broken(s, "%s: a stream ended as whole after %d events", c->id, c->events_seen);
        }
    } else if (status == 200) {
        char expected[64];
        int size = g_snprintf(expected, sizeof expected, "whole %s", c->id);
        size_t have = evbuffer_get_length(c->content);
        if (have != (size_t)size || memcmp(evbuffer_pullup(c->content, -1), expected, have) != 0) {
            broken(s, "%s: wrong body of %zu bytes", c->id, have);
        }
    } else if (status == 429 || status == 503) {
        if (c->kind == CALL_UNSAFE) {
            g_hash_table_add(s->promised, g_strdup(c->id));
        }
    } else if (status == 401 || status == 404 || status == 403 || status == 400) {
        broken(s, "%s was denied with %d", c->id, status);
    }
    s->result.whole += status == 200;
    s->result.refused += status == 503 || status == 429;
    s->result.failed += status != 200 && status != 503 && status != 429;
}

static void caller_on_read(struct bufferevent* bev, void* user_data) {
    caller* c = user_data;
    struct evbuffer* in = bufferevent_get_input(bev);
    if (!c->busy) {
        if (evbuffer_get_length(in) > 0) {
            broken(c->s, "%s: bytes after the whole answer", c->id);
        }
        return;
    }
    if (!c->head_read) {
        size_t have = evbuffer_get_length(in);
        size_t size = wg_message_head_size((const char*)evbuffer_pullup(in, -1), have);
        if (size == 0) {
            return;
        }
        c->bytes = g_malloc(size);
        evbuffer_remove(in, c->bytes, size);
        if (!wg_message_parse_answer(c->bytes, size, false, &c->head)) {
            broken(c->s, "%s: the head of the answer is malformed", c->id);
            caller_fail(c);
            return;
        }
        c->head_read = true;
        wg_body_begin(&c->body, &c->head);
    }
    wg_body_state state = wg_body_read(&c->body, in, c->content);
    if (c->kind == CALL_STREAM && c->head.status == 200) {
        check_events(c);
    }
    if (state == WG_BODY_BAD) {
        broken(c->s, "%s: the body is malformed", c->id);
        caller_fail(c);
    } else if (state == WG_BODY_WHOLE) {
        check_whole(c);
        caller_done(c, c->head.keep_alive);
    }
}

static void caller_on_event(struct bufferevent* bev, short what, void* user_data) {
    (void)bev;
    caller* c = user_data;
    if (what & BEV_EVENT_CONNECTED) {
        return;
    }
    if (c->busy) {
        caller_fail(c);
    } else if (c->bev) {
        bufferevent_free(c->bev);
        c->bev = NULL;
    }
}

static void caller_start(caller* c) {
    soak* s = c->s;
    static const char* const lines[CALL_KINDS] = {"POST /unsafe/x", "GET /safe/x",
                                                  "POST /stream/25"};
    if (!c->bev) {
        struct sockaddr_storage address;
        int size;
        WG_ASSERT(wgn_parse_address(any_host(s)->callers, &address, &size));
        c->bev =
            bufferevent_socket_new(s->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(c->bev, caller_on_read, NULL, caller_on_event, c);
        bufferevent_enable(c->bev, EV_READ | EV_WRITE);
        bufferevent_socket_connect(c->bev, (struct sockaddr*)&address, size);
    }
    c->busy = true;
    c->head_read = false;
    c->events_seen = 0;
    evbuffer_drain(c->content, evbuffer_get_length(c->content));
    c->kind = (call_kind)draw(s, CALL_KINDS);
    g_snprintf(c->id, sizeof c->id, "q%d-%d", c->number, ++s->result.requests);
    if (c->kind == CALL_UNSAFE) {
        g_hash_table_add(s->unsafe_ids, g_strdup(c->id));
    }
    char prompt[160] = "";
    if (c->kind == CALL_STREAM) {
        /* Entry hosts admit prompts for each other; a few of the parts are shared. */
        g_snprintf(
            prompt, sizeof prompt,
            "Walnutgate-Prompt-Parts: %d:800,%s:200\r\nWalnutgate-Prompt-Tokens: 1000,%d\r\n",
            (int)draw(s, PROMPT_PARTS), c->id, STREAM_EVENTS);
    }
    evbuffer_add_printf(bufferevent_get_output(c->bev),
                        "%s HTTP/1.1\r\nHost: soak\r\nWalnutgate-Request: %s\r\n"
                        "Walnutgate-Key: key\r\nWalnutgate-Deadline-Ms: 3000\r\n"
                        "%sContent-Length: 0\r\n\r\n",
                        lines[c->kind], c->id, prompt);
    struct timeval wait = {.tv_sec = CALL_TIME / WG_USEC_PER_SEC};
    event_add(c->timer, &wait);
}

static void caller_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    caller* c = user_data;
    if (c->busy) {
        caller_fail(c);
    } else if (!c->s->ended) {
        caller_start(c);
    }
}

/* ---- operator ----------------------------------------------------------------------------------
 */

static char* document(int version) {
    return g_strdup_printf(
        "{\"version\":%d,\"note\":\"made-as-%d\",\"services\":[{\"name\":\"app\"},"
        "{\"name\":\"engine\",\"engine\":{\"slots\":64,\"memory_tokens\":200000,"
        "\"copies\":true}}],\"routes\":["
        "{\"name\":\"u\",\"host\":\"soak\",\"path_prefix\":\"/unsafe/\",\"kind\":\"unsafe\","
        "\"timeout_ms\":2500,\"objective_ms\":500,\"attempts\":2,\"service\":\"app\"},"
        "{\"name\":\"s\",\"host\":\"soak\",\"path_prefix\":\"/safe/\",\"kind\":\"safe\","
        "\"timeout_ms\":2500,\"objective_ms\":500,\"attempts\":3,\"service\":\"app\"},"
        "{\"name\":\"e\",\"host\":\"soak\",\"path_prefix\":\"/stream/\",\"kind\":\"stream\","
        "\"timeout_ms\":2500,\"objective_ms\":500,\"attempts\":3,\"resumable\":true,"
        "\"service\":\"engine\"}],\"limits\":{},"
        "\"workspaces\":[{\"name\":\"w\",\"keys\":[\"key\"]}]}",
        version, version);
}

static void check_read(soak* s, const order* o, struct evhttp_request* request) {
    struct evbuffer* in = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(in);
    json_t* json = json_loadb((const char*)evbuffer_pullup(in, -1), size, 0, NULL);
    int version = (int)json_integer_value(json_object_get(json, "version"));
    json_decref(json);
    char* sent = document(version);
    if (version < o->version) {
        broken(s, "read version %d, %d was acknowledged before", version, o->version);
    } else if (size != strlen(sent) || memcmp(evbuffer_pullup(in, -1), sent, size) != 0) {
        broken(s, "version %d reads back otherwise than it was sent", version);
    }
    g_free(sent);
}

static void on_order(struct evhttp_request* request, void* user_data) {
    order* o = user_data;
    soak* s = o->s;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    if (o->put) {
        s->put_open = false;
        if (status == 200) {
            s->acknowledged = MAX(s->acknowledged, o->version);
            s->result.acknowledged++;
        } else if (status >= 400 && status < 500) {
            broken(s, "version %d was refused with %d", o->version, status);
        }
    } else if (status == 200) {
        check_read(s, o, request);
    }
    g_free(o);
}

static void send_order(soak* s, bool put, int version) {
    order* o = g_new0(order, 1);
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    *o = (order){.s = s, .put = put, .version = version};
    wgn_split_address(any_host(s)->orders, ip, &port);
    struct evhttp_connection* connection = evhttp_connection_base_new(s->base, NULL, ip, port);
    evhttp_connection_set_timeout(connection, 2);
    evhttp_connection_free_on_completion(connection);
    struct evhttp_request* request = evhttp_request_new(on_order, o);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "orders");
    if (put) {
        char* text = document(version);
        evbuffer_add(evhttp_request_get_output_buffer(request), text, strlen(text));
        g_free(text);
        s->put_open = true;
    }
    evhttp_make_request(connection, request, put ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET,
                        "/v1/configuration");
}

static void operate(soak* s, wg_time now) {
    if (now < s->operator_at) {
        return;
    }
    s->operator_at = now + 250 * WG_USEC_PER_MSEC;
    send_order(s, false, s->acknowledged);
    if (s->put_open) {
        return;
    }
    /* What got no clear answer goes out again unchanged; sometimes an old version does. */
    bool again = s->acknowledged < s->version;
    if (!again && s->version < VERSIONS_MAX && !s->quiet) {
        s->version++;
    }
    send_order(s, true, s->version);
}

/* ---- faults ------------------------------------------------------------------------------------
 */

static void reap(pid_t* pid) {
    while (*pid > 0 && waitpid(*pid, NULL, 0) < 0 && errno == EINTR) {
    }
    *pid = 0;
}

static void kill_now(pid_t* pid) {
    if (*pid > 0) {
        kill(*pid, SIGKILL);
        reap(pid);
    }
}

/* No file of the replica can grow or be written: to it, a full disk. */
static void set_disk_full(const host* w, bool full) {
    struct rlimit limit;
    if (w->replica > 0 && prlimit(w->replica, RLIMIT_FSIZE, NULL, &limit) == 0) {
        limit.rlim_cur = full ? 0 : limit.rlim_max;
        prlimit(w->replica, RLIMIT_FSIZE, &limit, NULL);
    }
}

static void plan_repair(soak* s, repair_kind kind, int number, bool target, int ms, int at) {
    repair* r = g_new(repair, 1);
    *r = (repair){.at = wg_now() + (wg_time)ms * WG_USEC_PER_MSEC,
                  .kind = kind,
                  .number = number,
                  .target = target,
                  .disturbance = at};
    g_queue_push_tail(&s->repairs, r);
}

static void repair_one(soak* s, const repair* r) {
    host* w = r->target ? NULL : &s->h.hosts[r->number];
    host_target* t = r->target ? &s->h.targets[r->number] : NULL;
    switch (r->kind) {
    case REPAIR_ENTRY:
        reap(&w->entry);
        hosts_start_entry(&s->h, w);
        break;
    case REPAIR_REPLICA:
        reap(&w->replica);
        hosts_start_replica(&s->h, w);
        break;
    case REPAIR_TARGET:
        kill_now(&t->pid);
        hosts_start_target(&s->h, t);
        break;
    case REPAIR_CONTINUE_ENTRY:
        kill(w->entry, SIGCONT);
        break;
    case REPAIR_CONTINUE_REPLICA:
        kill(w->replica, SIGCONT);
        break;
    case REPAIR_DISK:
        set_disk_full(w, false);
        break;
    case REPAIR_LINKS:
        proxy_set(r->target ? t->links : w->links, PROXY_PASS);
        break;
    }
    s->disturbances[r->disturbance].until = wg_now();
    s->last_fault = wg_now();
}

static bool is_repairing(const soak* s, int number, bool target) {
    for (GList* at = s->repairs.head; at; at = at->next) {
        const repair* r = at->data;
        if (r->number == number && r->target == target) {
            return true;
        }
    }
    return false;
}

static void run_repairs(soak* s, wg_time now) {
    GList* next;
    for (GList* at = s->repairs.head; at; at = next) {
        next = at->next;
        repair* r = at->data;
        if (now >= r->at) {
            g_queue_delete_link(&s->repairs, at);
            repair_one(s, r);
            g_free(r);
        }
    }
}

static void fault_entry(soak* s, int number) {
    host* w = &s->h.hosts[number];
    int at = disturb(s);
    switch (draw(s, 4)) {
    case 0:
        kill_now(&w->entry);
        plan_repair(s, REPAIR_ENTRY, number, false, 100 + (int)draw(s, 1500), at);
        break;
    case 1: /* a planned stop; callers keep their connections until it is gone */
        kill(w->entry, SIGTERM);
        plan_repair(s, REPAIR_ENTRY, number, false, 300, at);
        ((repair*)s->repairs.tail->data)->at = wg_now() + 8500 * WG_USEC_PER_MSEC;
        break;
    case 2:
        kill(w->entry, SIGSTOP);
        plan_repair(s, REPAIR_CONTINUE_ENTRY, number, false, 300 + (int)draw(s, 3000), at);
        break;
    default:
        kill(w->entry, SIGHUP);
        s->disturbances[at].until = wg_now();
        break;
    }
}

static void fault_replica(soak* s, int number) {
    host* w = &s->h.hosts[number];
    int at = disturb(s);
    uint64_t kind = draw(s, 4);
    bool may_wipe = wg_now() - s->wiped_at > 10 * WG_USEC_PER_SEC && s->repairs.length == 0;
    if (kind == 0) {
        kill(w->replica, SIGSTOP);
        plan_repair(s, REPAIR_CONTINUE_REPLICA, number, false, 300 + (int)draw(s, 3500), at);
        return;
    }
    if (kind == 1) {
        kill(w->replica, SIGTERM);
        plan_repair(s, REPAIR_REPLICA, number, false, 1500, at);
        return;
    }
    kill_now(&w->replica);
    if (kind == 2 && may_wipe) {
        hosts_wipe(&s->h, w);
        s->wiped_at = wg_now();
    }
    plan_repair(s, REPAIR_REPLICA, number, false, 100 + (int)draw(s, 2500), at);
}

static void fault_all_replicas(soak* s) {
    for (int i = 0; i < s->h.num; i++) {
        host* w = &s->h.hosts[i];
        if (w->disk && !is_repairing(s, i, false)) {
            kill_now(&w->replica);
            plan_repair(s, REPAIR_REPLICA, i, false, 50 + (int)draw(s, 900), disturb(s));
        }
    }
}

static void fault_disk(soak* s, int number) {
    set_disk_full(&s->h.hosts[number], true);
    plan_repair(s, REPAIR_DISK, number, false, 300 + (int)draw(s, 3500), disturb(s));
}

static void fault_all_disks(soak* s) {
    for (int i = 0; i < s->h.num; i++) {
        if (s->h.hosts[i].disk && !is_repairing(s, i, false)) {
            fault_disk(s, i);
        }
    }
}

static void fault_links(soak* s, int number, bool target) {
    proxy* links = target ? s->h.targets[number].links : s->h.hosts[number].links;
    int at = disturb(s);
    uint64_t kind = draw(s, PROXY_MODES);
    if (kind == 0) {
        proxy_reset(links);
        s->disturbances[at].until = wg_now();
        return;
    }
    proxy_set(links, (proxy_mode)kind);
    plan_repair(s, REPAIR_LINKS, number, target, 300 + (int)draw(s, 3500), at);
}

static void fault_target(soak* s, int number) {
    host_target* t = &s->h.targets[number];
    int at = disturb(s);
    if (s->desc.drains || draw(s, 2)) {
        kill(t->pid, SIGHUP); /* it drains and leaves */
        plan_repair(s, REPAIR_TARGET, number, true, 5500, at);
        s->disturbances[at].planned = true;
    } else {
        kill_now(&t->pid);
        plan_repair(s, REPAIR_TARGET, number, true, 200 + (int)draw(s, 2000), at);
    }
}

static void strike(soak* s, wg_time now) {
    if (now < s->fault_at || s->desc.calm) {
        return;
    }
    s->fault_at = now + (wg_time)(100 + draw(s, 900)) * WG_USEC_PER_MSEC;
    int number = (int)draw(s, (uint64_t)s->h.num);
    int target = (int)draw(s, (uint64_t)s->h.targets_num);
    if (s->desc.drains) {
        if (!is_repairing(s, target, true)) {
            fault_target(s, target);
        }
        return;
    }
    uint64_t kind = draw(s, 12);
    if (kind == 0) {
        fault_all_replicas(s);
    } else if (kind == 10 && draw(s, 4) == 0) {
        fault_all_disks(s);
    } else if (kind >= 10 && s->h.hosts[number].disk && !is_repairing(s, number, false)) {
        fault_disk(s, number);
    } else if (kind < 4 && !is_repairing(s, number, false)) {
        fault_entry(s, number);
    } else if (kind < 6 && s->h.hosts[number].disk && !is_repairing(s, number, false)) {
        fault_replica(s, number);
    } else if (kind < 8 && s->h.hosts[number].disk && !is_repairing(s, number, false)) {
        fault_links(s, number, false);
    } else if (kind == 8 && !is_repairing(s, target, true)) {
        fault_target(s, target);
    } else if (kind == 9 && !is_repairing(s, target, true)) {
        fault_links(s, target, true);
    }
}

/* ---- the end ------------------------------------------------------------------------------------
 */

/* Each host is asked for a page of each service. */
static const char* const probe_paths[] = {"/safe/probe", "/stream/1"};

typedef struct {
    soak* s;
    uint32_t bit;
} probe;

static void on_probe(struct evhttp_request* request, void* user_data) {
    probe* p = user_data;
    if (request && evhttp_request_get_response_code(request) == 200) {
        p->s->served_hosts |= p->bit;
    }
    g_free(p);
}

static void probe_hosts(soak* s) {
    for (int i = 0; i < s->h.num * (int)G_N_ELEMENTS(probe_paths); i++) {
        char ip[WG_ADDRESS_MAX];
        uint16_t port;
        if (s->served_hosts & (1u << i)) {
            continue;
        }
        probe* p = g_new(probe, 1);
        *p = (probe){s, 1u << i};
        wgn_split_address(s->h.hosts[i % s->h.num].callers, ip, &port);
        struct evhttp_connection* connection = evhttp_connection_base_new(s->base, NULL, ip, port);
        evhttp_connection_set_timeout(connection, 1);
        evhttp_connection_free_on_completion(connection);
        struct evhttp_request* request = evhttp_request_new(on_probe, p);
        struct evkeyvalq* out = evhttp_request_get_output_headers(request);
        evhttp_add_header(out, "Host", "soak");
        evhttp_add_header(out, "Walnutgate-Key", "key");
        evhttp_make_request(connection, request, EVHTTP_REQ_GET, probe_paths[i / s->h.num]);
    }
}

static bool all_served(const soak* s) {
    uint32_t all = (1u << (s->h.num * (int)G_N_ELEMENTS(probe_paths))) - 1;
    return s->served_hosts == all && s->acknowledged > 0 && s->acknowledged == s->version;
}

static void start_callers(soak* s) {
    for (int i = 0; i < CALLERS; i++) {
        caller_next(&s->callers[i], i * 20);
    }
}

/* Callers and faults begin once the fleet serves everywhere, however long the machine takes. */
static void await_fleet(soak* s, wg_time now) {
    probe_hosts(s);
    if (all_served(s)) {
        s->formed = true;
        s->served_hosts = 0;
        s->last_fault = now;
        s->fault_at = now + FAULTS_AFTER;
        s->faults_until = s->fault_at + (wg_time)s->desc.seconds * WG_USEC_PER_SEC;
        start_callers(s);
    } else if (now - s->last_fault > FORM_TIME) {
        broken(s, "the fleet never served: %x of %d", s->served_hosts, s->h.num);
        event_base_loopbreak(s->base);
    }
}

static void on_tick(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    soak* s = user_data;
    wg_time now = wg_now();
    run_repairs(s, now);
    operate(s, now);
    if (!s->formed) {
        await_fleet(s, now);
        return;
    }
    if (!s->quiet) {
        strike(s, now);
        s->quiet = now >= s->faults_until;
        return;
    }
    if (s->repairs.length > 0) {
        return;
    }
    probe_hosts(s);
    if (all_served(s)) {
        s->result.back = now - s->last_fault;
        event_base_loopbreak(s->base);
    } else if (now - MAX(s->last_fault, s->faults_until) > SETTLE_TIME) {
        broken(s, "hosts that serve again: %x of %d; version %d, acknowledged %d", s->served_hosts,
               s->h.num, s->version, s->acknowledged);
        event_base_loopbreak(s->base);
    }
}

static void check_runs(soak* s) {
    GArray* late = g_array_new(FALSE, FALSE, sizeof(wg_time));
    GHashTable* runs = hosts_runs(&s->h, late);
    GHashTableIter iter;
    gpointer id;
    gpointer num;
    g_hash_table_iter_init(&iter, runs);
    while (g_hash_table_iter_next(&iter, &id, &num)) {
        if (g_hash_table_contains(s->unsafe_ids, id) && GPOINTER_TO_INT(num) > 1) {
            broken(s, "%s ran %d times", (char*)id, GPOINTER_TO_INT(num));
        }
        if (g_hash_table_contains(s->promised, id)) {
            broken(s, "%s ran, though it was refused as not run", (char*)id);
        }
    }
    for (guint i = 0; i < late->len; i++) {
        wg_time at = g_array_index(late, wg_time, i);
        if (is_calm_at(s, at)) {
            broken(s, "a request reached a drained target too late");
        }
    }
    g_hash_table_unref(runs);
    g_array_unref(late);
}

static void start_all(soak* s) {
    for (int i = 0; i < s->h.num; i++) {
        hosts_start_entry(&s->h, &s->h.hosts[i]);
        if (s->h.hosts[i].disk) {
            hosts_start_replica(&s->h, &s->h.hosts[i]);
        }
    }
    s->h.started_before = true;
    for (int i = 0; i < s->h.targets_num; i++) {
        hosts_start_target(&s->h, &s->h.targets[i]);
    }
}

static void make_callers(soak* s) {
    for (int i = 0; i < CALLERS; i++) {
        caller* c = &s->callers[i];
        c->s = s;
        c->number = i;
        c->content = evbuffer_new();
        c->timer = evtimer_new(s->base, caller_on_timer, c);
    }
}

static void end_callers(soak* s) {
    for (int i = 0; i < CALLERS; i++) {
        caller* c = &s->callers[i];
        if (c->bev) {
            bufferevent_free(c->bev);
        }
        event_free(c->timer);
        evbuffer_free(c->content);
        g_free(c->bytes);
    }
}

soak_result soak_run(const soak_desc* desc) {
    soak* s = g_new0(soak, 1);
    signal(SIGPIPE, SIG_IGN);
    s->desc = *desc;
    s->desc.seconds = desc->seconds ? desc->seconds : 12;
    s->desc.hosts = desc->hosts ? desc->hosts : 4;
    s->desc.disks = desc->disks ? desc->disks : 3;
    s->result.good = true;
    s->base = event_base_new();
    s->promised = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->unsafe_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&s->repairs);
    hosts_setup(&s->h, s->base, s->desc.hosts, s->desc.disks, 5);
    g_strlcpy(s->result.folder, s->h.folder, sizeof s->result.folder);
    s->h.spoiled = desc->spoiled;
    start_all(s);
    make_callers(s);
    wg_time now = wg_now();
    s->wiped_at = now;
    s->last_fault = now;
    s->operator_at = now + WG_USEC_PER_SEC;
    s->tick = event_new(s->base, -1, EV_PERSIST, on_tick, s);
    struct timeval period = {.tv_usec = 20 * 1000};
    event_add(s->tick, &period);
    event_base_dispatch(s->base);
    s->ended = true;
    check_runs(s);
    if (s->result.whole == 0) {
        broken(s, "nothing was served");
    }
    end_callers(s);
    hosts_end(&s->h, !s->result.good || desc->keep);
    /* The loop's last requests hold their connections; the process is about to end or to run the
       next seed, with a loop of its own. */
    event_free(s->tick);
    g_hash_table_unref(s->promised);
    g_hash_table_unref(s->unsafe_ids);
    g_queue_clear_full(&s->repairs, g_free);
    soak_result result = s->result;
    return result;
}
