/* test_configuration_age.c -- real processes: hosts that miss a change of the configuration

   Each version adds a route and a key and moves another route to another service. Once it has been
   acknowledged for CHANGE_MS, no host may refuse what it added, or use the former service. */
#include <event2/http.h>
#include <signal.h>
#include <sys/wait.h>

#include "hosts_operator.h"
#include "wg_net.h"
#include "wg_test.h"

enum {
    HOSTS = 7,
    DISKS = 3,
    MORE_DISKS = 5,
    TARGETS = 4,
    FORM_MS = 30000,
    ACK_MS = 6000,    /* for a leader to be elected and to acknowledge */
    CHANGE_MS = 2000, /* after the acknowledgement a change is in force at each host */
    STILL_MS = 5000,  /* for which a host stands still */
    AFTER_MS = 1000,  /* in which callers go on afterwards */
    SEND_MS = 20,     /* between two rounds of requests */
    SOON_MS = 500,    /* after which a host that goes on has to serve */
    ANSWER_S = 8,
    ASKS_MAX = 2000
};

typedef enum {
    ASK_ADDED = 0, /* a route of the newest version */
    ASK_MOVED,     /* a route that it moved to another service */
    ASK_KEYED,     /* a key of the newest version */
    ASK_KINDS
} ask_kind;

typedef struct fleet fleet;

typedef struct {
    fleet* f;
    ask_kind kind;
    int version;
    wg_time sent_at;
    char id[32];
    int status; /* 0: none */
    bool done;
} ask;

struct fleet {
    struct event_base* base;
    hosts h;
    ask asks[ASKS_MAX];
    int asks_num;
};

/* ---- the operator ---------------------------------------------------------------------------- */

static const char* service_of(int version) {
    return version % 2 ? "app" : "other";
}

static char* make_document(int version) {
    static const char route[] =
        "{\"name\":\"%s\",\"host\":\"h\",\"path_prefix\":\"/%s\",\"kind\":\"safe\",\"open\":%s,"
        "\"timeout_ms\":2500,\"objective_ms\":500,\"attempts\":2,\"service\":\"%s\"},";
    GString* text = g_string_new(NULL);
    char name[32];
    g_string_append_printf(text, "{\"version\":%d,\"services\":[{\"name\":\"app\"},", version);
    g_string_append(text, "{\"name\":\"other\"}],\"routes\":[");
    g_string_append_printf(text, route, "moved", "moved/", "true", service_of(version));
    g_string_append_printf(text, route, "keyed", "keyed/", "false", "app");
    for (int v = 1; v <= version; v++) {
        g_snprintf(name, sizeof name, "added-%d/", v);
        g_string_append_printf(text, route, name, name, "true", "app");
    }
    g_string_append_printf(text, route, "r", "", "true", "app");
    g_string_truncate(text, text->len - 1);
    g_string_append(text, "],\"limits\":{},\"workspaces\":[{\"name\":\"w\",\"keys\":[");
    for (int v = 1; v <= version; v++) {
        g_string_append_printf(text, "%s\"key-%d\"", v > 1 ? "," : "", v);
    }
    g_string_append(text, "]}]}");
    return g_string_free(text, FALSE);
}

/* Retries at all hosts but those that `may_ask` rejects. */
static bool put_until(fleet* f, int version, bool (*may_ask)(const host*)) {
    wg_time until = wg_now() + ACK_MS * MSEC;
    for (int i = 0; wg_now() < until; i++) {
        const host* at = &f->h.hosts[i % HOSTS];
        if (may_ask(at) && hosts_put_document(&f->h, at, make_document(version)) == 200) {
            return true;
        }
        hosts_run_for(&f->h, 20);
    }
    return false;
}

/* ---- callers --------------------------------------------------------------------------------- */

static void on_answer(struct evhttp_request* request, void* user_data) {
    ask* a = user_data;
    a->done = true;
    a->status = request ? evhttp_request_get_response_code(request) : 0;
}

static void send_ask(fleet* f, const host* at, ask_kind kind, int version) {
    static const char* const prefixes[ASK_KINDS] = {"added", "moved", "keyed"};
    char ip[WG_ADDRESS_MAX];
    char path[48];
    char key[32];
    uint16_t port;
    ck_assert_int_lt(f->asks_num, ASKS_MAX);
    ask* a = &f->asks[f->asks_num++];
    *a = (ask){.f = f, .kind = kind, .version = version, .sent_at = wg_now()};
    g_snprintf(a->id, sizeof a->id, "%s-%d-%d", prefixes[kind], version, f->asks_num);
    if (kind == ASK_ADDED) {
        g_snprintf(path, sizeof path, "/added-%d/x", version);
    } else {
        g_snprintf(path, sizeof path, "/%s/x", prefixes[kind]);
    }
    g_snprintf(key, sizeof key, "key-%d", version);
    wgn_split_address(at->callers, ip, &port);
    struct evhttp_connection* connection = evhttp_connection_base_new(f->base, NULL, ip, port);
    evhttp_connection_set_timeout(connection, ANSWER_S);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_free_on_completion(connection);
    struct evhttp_request* request = evhttp_request_new(on_answer, a);
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Host", "h");
    evhttp_add_header(out, "Walnutgate-Request", a->id);
    if (kind == ASK_KEYED) {
        evhttp_add_header(out, "Walnutgate-Key", key);
    }
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, path);
}

static void send_asks_until(fleet* f, const host* at, int version, wg_time until) {
    while (wg_now() < until) {
        for (int kind = 0; kind < ASK_KINDS; kind++) {
            send_ask(f, at, (ask_kind)kind, version);
        }
        hosts_run_for(&f->h, SEND_MS);
    }
}

static void wait_for_answers(fleet* f) {
    for (int i = 0; i < f->asks_num; i++) {
        while (!f->asks[i].done) {
            hosts_run_for(&f->h, SEND_MS);
        }
    }
}

typedef struct {
    int asked;
    int served;
    int refused; /* 401, 403 or 404 */
    int former;  /* run by the service that a route was moved away from */
    int late;    /* sent after the host had to serve, and not served */
} outcome;

/* Whether a target of this service ran the request. */
static bool ran_at(const fleet* f, const char* service, const char* id) {
    bool ran = false;
    for (int i = 0; i < TARGETS; i++) {
        char* path = g_strdup_printf("%s/runs-%d", f->h.folder, i + 1);
        char* line = g_strdup_printf("run %s\n", id);
        char* text = NULL;
        g_file_get_contents(path, &text, NULL, NULL);
        ran = ran || (strcmp(f->h.targets[i].service, service) == 0 && text && strstr(text, line));
        g_free(text);
        g_free(line);
        g_free(path);
    }
    return ran;
}

static outcome outcome_of(const fleet* f, const char* what, wg_time serves_from) {
    outcome o = {.asked = f->asks_num};
    for (int i = 0; i < f->asks_num; i++) {
        const ask* a = &f->asks[i];
        o.served += a->status == 200;
        o.refused += a->status == 401 || a->status == 403 || a->status == 404;
        o.late += a->status != 200 && a->sent_at >= serves_from;
        o.former += a->kind == ASK_MOVED && ran_at(f, service_of(a->version - 1), a->id);
    }
    printf("%s: %d requests, %d served, %d refused, %d run by the former service, %d not served in "
           "time\n",
           what, o.asked, o.served, o.refused, o.former, o.late);
    fflush(stdout);
    return o;
}

/* ---- the fleet ------------------------------------------------------------------------------- */

static bool any_host(const host* at) {
    (void)at;
    return true;
}

static void begin(fleet* f, int disks) {
    *f = (fleet){.base = event_base_new()};
    hosts_setup(&f->h, f->base, HOSTS, disks, TARGETS);
    f->h.losses = disks / 2;
    hosts_use_deployed_timing(&f->h);
    f->h.direct_targets = true;
    for (int i = 0; i < HOSTS; i++) {
        hosts_start_entry(&f->h, &f->h.hosts[i]);
        if (f->h.hosts[i].disk) {
            hosts_start_replica(&f->h, &f->h.hosts[i]);
        }
    }
    f->h.started_before = true;
    ck_assert(put_until(f, 1, any_host));
    for (int i = 0; i < TARGETS; i++) {
        f->h.targets[i].service = service_of(i + 1);
        f->h.targets[i].data_centre = "dc";
        hosts_start_target(&f->h, &f->h.targets[i]);
    }
    for (int i = 0; i < HOSTS; i++) {
        ck_assert(hosts_serves_until(&f->h, &f->h.hosts[i], FORM_MS));
    }
    hosts_run_for(&f->h, 500); /* all hosts know all targets */
}

static void end(fleet* f, bool good) {
    hosts_shutdown(&f->h, !good);
    event_base_free(f->base);
}

static void signal_host(const host* at, int signal) {
    kill(at->entry, signal);
    if (at->replica > 0) {
        kill(at->replica, signal);
    }
}

/* Number from 0 of the host whose replica was the last to lead, by the replicas' logs. */
static int leader_of(const fleet* f) {
    static const char begin_mark[] = "role=leader term=";
    int leader = 0;
    int64_t highest = 0;
    for (int i = 0; i < HOSTS && f->h.hosts[i].disk; i++) {
        char* path = g_strdup_printf("%s/replica-%d.log", f->h.folder, i + 1);
        char* text = NULL;
        g_file_get_contents(path, &text, NULL, NULL);
        for (const char* at = text; at && (at = strstr(at, begin_mark)); at++) {
            int64_t term = g_ascii_strtoll(at + strlen(begin_mark), NULL, 10);
            leader = term > highest ? i : leader;
            highest = MAX(highest, term);
        }
        g_free(text);
        g_free(path);
    }
    return leader;
}

/* ---- tests ----------------------------------------------------------------------------------- */

static const host* still; /* host that stands still */

static bool is_running(const host* at) {
    return at != still;
}

/* Plays one host that stands still while a version is acknowledged, and goes on. */
static outcome play_standstill(fleet* f, int number, int version) {
    char what[32];
    still = &f->h.hosts[number];
    f->asks_num = 0;
    wg_time since = wg_now();
    signal_host(still, SIGSTOP);
    bool acknowledged = put_until(f, version, is_running);
    wg_time acknowledged_at = wg_now();
    if (acknowledged) {
        hosts_run_for(&f->h, CHANGE_MS + SEND_MS);
        send_asks_until(f, still, version, MAX(since + STILL_MS * MSEC, acknowledged_at));
    }
    signal_host(still, SIGCONT);
    wg_time went_on = wg_now();
    ck_assert(acknowledged);
    send_asks_until(f, still, version, went_on + AFTER_MS * MSEC);
    wait_for_answers(f);
    g_snprintf(what, sizeof what, "host %d", number + 1);
    return outcome_of(f, what, went_on + SOON_MS * MSEC);
}

/* Guards against a host that decides by what it knew before it stood still. */
START_TEST(host_that_stood_still_does_not_decide_by_an_older_version) {
    static fleet f;
    int refused = 0;
    int former = 0;
    int late = 0;
    begin(&f, DISKS);
    for (int i = 0; i < DISKS; i++) { /* one of them has the leader */
        outcome o = play_standstill(&f, i, 2 + i);
        refused += o.refused;
        former += o.former;
        late += o.late;
        hosts_run_for(&f.h, AFTER_MS);
    }
    end(&f, refused == 0 && former == 0 && late == 0);
    ck_assert_int_eq(refused, 0);
    ck_assert_int_eq(former, 0);
    ck_assert_int_eq(late, 0);
}
END_TEST

enum {
    GONE = 2
};

static const host* gone[GONE]; /* hosts whose machines answer nothing */

static bool is_up(const host* at) {
    return at != gone[0] && at != gone[1];
}

/* Guards against hosts that find the new leader late, or decide by what they knew before, while
   machines of the former leader and of another replica answer nothing and reset nothing. */
START_TEST(change_is_in_force_at_all_hosts_although_machines_are_gone) {
    static fleet f;
    begin(&f, MORE_DISKS);
    int leader = leader_of(&f);
    for (int i = 0; i < GONE; i++) {
        gone[i] = &f.h.hosts[(leader + i) % MORE_DISKS];
        proxy_set(gone[i]->links, PROXY_BLOCK);
        signal_host(gone[i], SIGSTOP);
    }
    bool acknowledged = put_until(&f, 2, is_up);
    wg_time from = wg_now() + CHANGE_MS * MSEC;
    hosts_run_for(&f.h, CHANGE_MS);
    while (acknowledged && wg_now() < from + AFTER_MS * MSEC) {
        for (int i = 0; i < HOSTS; i++) {
            const host* at = &f.h.hosts[i];
            if (is_up(at)) {
                send_ask(&f, at, ASK_ADDED, 2);
                send_ask(&f, at, ASK_MOVED, 2);
            }
        }
        hosts_run_for(&f.h, SEND_MS);
    }
    wait_for_answers(&f);
    outcome o = outcome_of(&f, "two machines gone", from);
    end(&f, o.refused == 0 && o.former == 0 && o.late == 0);
    ck_assert(acknowledged);
    ck_assert_int_eq(o.refused, 0);
    ck_assert_int_eq(o.former, 0);
    ck_assert_int_eq(o.late, 0);
}
END_TEST

WG_TEST_MAIN("configuration age", change_is_in_force_at_all_hosts_although_machines_are_gone,
             host_that_stood_still_does_not_decide_by_an_older_version)
