/* bench_capacity.c -- `make bench-capacity`: cost by size for docs/CAPACITY.md, each figure at
   three sizes or more with a linear fit */
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

#include "bench.h"
#include "proc.h"
#include "sim_fleet.h"
#include "wg_claim.h"
#include "wg_hold.h"
#include "wg_queue.h"
#include "wg_share.h"
#include "wg_store.h"
#include "wg_table.h"
#include "wg_usage.h"

/* ---- the leader's plan ---------------------------------------------------------------------- */

enum {
    PLAN_TARGETS = 700,
    PLAN_SERVICES = 3,
    PLAN_WORKSPACES = 2500,
    ROUTERS_PER_WORKSPACE = 4
};

static wgf_share* plan_setup(int routers, int workspaces, wgf_router* handles) {
    wgf_share* s = wgf_setup(&(wgf_desc){.now = WG_USEC_PER_SEC}, NULL);
    wgf_config_begin(s);
    for (uint32_t i = 1; i <= PLAN_SERVICES; i++) {
        wgf_config_service(s, i, 0, 400);
    }
    for (uint32_t t = 0; t < PLAN_TARGETS; t++) {
        wgf_config_target(s, 100 + t, 1 + t % PLAN_SERVICES, 163, false, "dc");
    }
    wgf_config_end(s);
    for (int r = 0; r < routers; r++) {
        char name[16];
        g_snprintf(name, sizeof name, "r%d", r);
        handles[r] = wgf_router_up(s, WG_USEC_PER_SEC, name, (uint64_t)r + 1, "dc");
        wgf_report(s, 4 * (wg_time)WG_USEC_PER_SEC, handles[r], &(wgf_report_desc){.full = true});
    }
    for (int w = 0; w < workspaces; w++) {
        for (int i = 0; i < ROUTERS_PER_WORKSPACE; i++) {
            int r = (int)(wg_jitter((uint64_t)w, (uint64_t)i) % (uint64_t)routers);
            wgf_account account = {.service = 1 + (uint32_t)w % PLAN_SERVICES,
                                   .workspace = (uint32_t)w + 1,
                                   .queued = 10,
                                   .running = 12,
                                   .pending = 3000};
            wgf_report(s, 4 * (wg_time)WG_USEC_PER_SEC, handles[r],
                       &(wgf_report_desc){.accounts = &account, .accounts_num = 1});
        }
    }
    return s;
}

static void take_all_orders(wgf_share* s, const wgf_router* handles, int routers) {
    static wgf_orders orders;
    for (int r = 0; r < routers; r++) {
        while (wgf_take_orders(s, handles[r], 1, &orders)) {
        }
    }
}

static void plan_memory(int routers) {
    static wgf_router handles[512];
    wgf_share* s = plan_setup(routers, PLAN_WORKSPACES, handles);
    wgf_plan(s, 4 * (wg_time)WG_USEC_PER_SEC);
}

static void plan_slopes(void) {
    static const int sizes[] = {40, 80, 160, 320};
    static wgf_router handles[512];
    double x[4];
    double plan[4];
    double merge[4];
    for (int i = 0; i < 4; i++) {
        wgf_share* s = plan_setup(sizes[i], PLAN_WORKSPACES, handles);
        wg_time now = 4 * (wg_time)WG_USEC_PER_SEC;
        wgf_plan(s, now);
        take_all_orders(s, handles, sizes[i]);
        double begin = bench_cpu_us();
        enum {
            PLANS = 20
        };
        for (int p = 0; p < PLANS; p++) {
            /* Demand changes slightly between plans. */
            for (int r = 0; r < sizes[i]; r++) {
                wgf_account account = {.service = 1,
                                       .workspace = (uint32_t)(r % 50) * 3 + 1,
                                       .queued = (uint32_t)(p % 5),
                                       .running = 12};
                wgf_report(
                    s, now, handles[r],
                    &(wgf_report_desc){.applied = 1, .accounts = &account, .accounts_num = 1});
            }
            wgf_plan(s, now);
            take_all_orders(s, handles, sizes[i]);
        }
        x[i] = sizes[i];
        plan[i] = (bench_cpu_us() - begin) / PLANS;
        wgf_account accounts[40];
        for (uint32_t a = 0; a < 40; a++) {
            accounts[a] = (wgf_account){.service = 1, .workspace = a * 3 + 1, .queued = 5};
        }
        begin = bench_cpu_us();
        enum {
            REPORTS = 20000
        };
        for (int p = 0; p < REPORTS; p++) {
            accounts[p % 40].served = (uint64_t)p;
            wgf_report(s, now, handles[p % sizes[i]],
                       &(wgf_report_desc){.applied = 1, .accounts = accounts, .accounts_num = 40});
        }
        merge[i] = (bench_cpu_us() - begin) / REPORTS;
        char line[80];
        g_snprintf(line, sizeof line, "leader: one plan, %d routers, 700 targets, 2,500 waiting",
                   sizes[i]);
        bench_print(line, plan[i], "us");
        g_snprintf(line, sizeof line, "leader: merging a report of 40 accounts, %d routers",
                   sizes[i]);
        bench_print(line, merge[i], "us");
        wgf_shutdown(s);
    }
    bench_fit("fit: plan, x = routers", x, plan, 4, "us");
    bench_fit("fit: merge, x = routers", x, merge, 4, "us");
}

static void plan_by_workspaces(void) {
    static const int sizes[] = {250, 1000, 2500};
    static wgf_router handles[512];
    double x[3];
    double y[3];
    for (int i = 0; i < 3; i++) {
        wgf_share* s = plan_setup(320, sizes[i], handles);
        wg_time now = 4 * (wg_time)WG_USEC_PER_SEC;
        wgf_plan(s, now);
        take_all_orders(s, handles, 320);
        double begin = bench_cpu_us();
        for (int p = 0; p < 20; p++) {
            wgf_plan(s, now);
        }
        x[i] = sizes[i];
        y[i] = (bench_cpu_us() - begin) / 20;
        char line[80];
        g_snprintf(line, sizeof line, "leader: one plan, 320 routers, %d workspaces waiting",
                   sizes[i]);
        bench_print(line, y[i], "us");
        wgf_shutdown(s);
    }
    bench_fit("fit: plan, x = waiting workspaces", x, y, 3, "us");
}

/* ---- message sizes --------------------------------------------------------------------------- */

static double report_bytes(int accounts) {
    Wgpb__Report report = WGPB__REPORT__INIT;
    Wgpb__Account* items = g_new0(Wgpb__Account, accounts + 1);
    Wgpb__Account** list = g_new0(Wgpb__Account*, accounts + 1);
    report.seq = 100000;
    report.sent_at = 1000000000000;
    report.applied = 100000;
    report.table_version = 1000000;
    report.member_version = 1000;
    for (int i = 0; i < accounts; i++) {
        wgpb__account__init(&items[i]);
        items[i].service = 2;
        items[i].workspace = 20000;
        items[i].served = 100000000;
        items[i].queued = 10;
        items[i].running = 12;
        items[i].pending = 3000;
        list[i] = &items[i];
    }
    report.accounts = list;
    report.n_accounts = (size_t)accounts;
    double size = (double)wgpb__report__get_packed_size(&report) + WGW_HEADER_SIZE + 60;
    g_free(items);
    g_free(list);
    return size;
}

static double reply_bytes(int fairs) {
    Wgpb__Reply reply = WGPB__REPLY__INIT;
    Wgpb__Fair* items = g_new0(Wgpb__Fair, fairs + 3);
    Wgpb__Fair** list = g_new0(Wgpb__Fair*, fairs + 3);
    reply.seq = reply.report_seq = 100000;
    reply.echo = 1000000000000;
    reply.term = 100;
    reply.leads = true;
    reply.leader_address = (char*)"10.20.30.40:7100";
    reply.table_lease = 4000000;
    reply.slot_lease = 2000000;
    reply.table_version = 1000000;
    reply.member_version = 1000;
    for (int i = 0; i < fairs + 3; i++) {
        wgpb__fair__init(&items[i]);
        items[i].service = 2;
        items[i].workspace = i < fairs ? 20000 : 0;
        items[i].virtual_time = 100000000000000;
        items[i].acked = i < fairs ? 100000000 : 0;
        list[i] = &items[i];
    }
    reply.fairs = list;
    reply.n_fairs = (size_t)fairs;
    reply.fleet = list + fairs;
    reply.n_fleet = 3;
    double size = (double)wgpb__reply__get_packed_size(&reply) + WGW_HEADER_SIZE + 60;
    g_free(items);
    g_free(list);
    return size;
}

static void message_slopes(void) {
    static const int sizes[] = {0, 10, 40, 120};
    double x[4];
    double report[4];
    double reply[4];
    for (int i = 0; i < 4; i++) {
        x[i] = sizes[i];
        report[i] = report_bytes(sizes[i]);
        reply[i] = reply_bytes(sizes[i]);
        char line[64];
        g_snprintf(line, sizeof line, "report with %d accounts, heads of all layers", sizes[i]);
        bench_print(line, report[i], "bytes");
        g_snprintf(line, sizeof line, "reply with %d virtual times, heads of all layers", sizes[i]);
        bench_print(line, reply[i], "bytes");
    }
    bench_fit("fit: report, x = accounts", x, report, 4, "bytes");
    bench_fit("fit: reply, x = virtual times", x, reply, 4, "bytes");
}

/* ---- table, snapshot, log -------------------------------------------------------------------- */

static wgt_table* fill_table(int workspaces) {
    wgt_table* t = wgt_setup(&(wgt_desc){0}, NULL);
    for (int w = 0; w < workspaces; w++) {
        wgt_edit_row row = {0};
        char name[32];
        g_snprintf(name, sizeof name, "workspace-%d", w);
        wgt_row_init(&row.row, WGT_KIND_WORKSPACE, name);
        for (int k = 0; k < 64; k++) {
            uint64_t nibble = wg_jitter((uint64_t)w, (uint64_t)k) % 16;
            row.row.workspace.keys[k] = "0123456789abcdef"[nibble];
        }
        wgt_edit edit = {.rows = &row, .rows_num = 1};
        uint64_t index = (uint64_t)w + 1;
        memcpy(edit.id, &index, sizeof index);
        wgt_result result;
        wgt_apply(t, &edit, index, &result);
    }
    return t;
}

static void table_memory(int workspaces) {
    fill_table(workspaces);
}

static void table_slopes(void) {
    static const int sizes[] = {1000, 5000, 25000};
    double x[3];
    double bytes[3];
    double dump[3];
    for (int i = 0; i < 3; i++) {
        wgt_table* t = fill_table(sizes[i]);
        x[i] = sizes[i];
        double begin = bench_cpu_us();
        Wgpb__TableState* state = wgt_dump(t);
        bytes[i] = (double)wgpb__table_state__get_packed_size(state);
        dump[i] = bench_cpu_us() - begin;
        wgpb__table_state__free_unpacked(state, NULL);
        char line[64];
        g_snprintf(line, sizeof line, "table: snapshot, %d workspaces", sizes[i]);
        bench_print(line, bytes[i], "bytes");
        g_snprintf(line, sizeof line, "table: time to make it, %d workspaces", sizes[i]);
        bench_print(line, dump[i] / 1000, "ms");
        wgt_shutdown(t);
    }
    bench_fit("fit: snapshot, x = workspaces", x, bytes, 3, "bytes");
    bench_fit("fit: time of a snapshot, x = workspaces", x, dump, 3, "us");
}

static void log_slopes(void) {
    static const int sizes[] = {1, 8, 64};
    char folder[] = "/tmp/wg-bench-XXXXXX";
    if (!mkdtemp(folder)) {
        return;
    }
    wgs_store* store = wgs_open(&(wgs_desc){.folder = folder, .fresh_identity = 1}, NULL);
    uint64_t index = 0;
    for (int i = 0; i < 3; i++) {
        wgr_entry entries[64] = {0};
        GBytes* data = g_bytes_new(folder, sizeof folder);
        enum {
            BATCHES = 200
        };
        gint64 begin = g_get_monotonic_time();
        for (int b = 0; b < BATCHES; b++) {
            for (int e = 0; e < sizes[i]; e++) {
                entries[e] =
                    (wgr_entry){.index = ++index, .term = 1, .kind = WGR_ENTRY_DATA, .data = data};
            }
            wgs_append(store, entries, sizes[i], NULL);
        }
        char line[64];
        g_snprintf(line, sizeof line, "log: append and sync %d entries", sizes[i]);
        bench_print(line, (double)(g_get_monotonic_time() - begin) / BATCHES, "us");
        g_bytes_unref(data);
    }
    wgs_close(store);
    GDir* dir = g_dir_open(folder, 0, NULL);
    const char* name;
    while ((name = g_dir_read_name(dir))) {
        char* path = g_build_filename(folder, name, NULL);
        g_unlink(path);
        g_free(path);
    }
    g_dir_close(dir);
    g_rmdir(folder);
}

/* ---- real fleets ----------------------------------------------------------------------------- */

static bool all_routers_have(proc_fleet* fleet, int64_t version) {
    for (int i = 0; i < fleet->num; i++) {
        proc_process* p = &fleet->processes[i];
        if (p->name[0] == 'r' && proc_state_number(fleet, p, "table_version") < version) {
            return false;
        }
    }
    return true;
}

static void fleet_slopes(void) {
    static const int sizes[] = {8, 32, 96};
    double x[3];
    double leader_cpu[3];
    double leader_bytes[3];
    double router_bytes[3];
    for (int i = 0; i < 3; i++) {
        static proc_fleet fleet;
        proc_fleet_start(
            &fleet, &(proc_desc){.controls = 3, .routers = sizes[i], .engines = 4, .services = 1});
        proc_process* leader = proc_leader(&fleet);
        proc_process* router = proc_find(&fleet, "r1");
        proc_sleep(3000);
        enum {
            SECONDS = 6
        };
        double cpu = bench_process_cpu_us(leader->pid);
        double router_cpu = bench_process_cpu_us(router->pid);
        int64_t bytes = proc_state_number(&fleet, leader, "links.bytes_sent") +
                        proc_state_number(&fleet, leader, "links.bytes_received");
        int64_t own = proc_state_number(&fleet, router, "link.bytes_sent") +
                      proc_state_number(&fleet, router, "link.bytes_received");
        proc_sleep(SECONDS * 1000);
        x[i] = sizes[i];
        leader_cpu[i] = (bench_process_cpu_us(leader->pid) - cpu) / SECONDS / 1e4;
        router_cpu = (bench_process_cpu_us(router->pid) - router_cpu) / SECONDS / 1e4;
        leader_bytes[i] =
            (double)(proc_state_number(&fleet, leader, "links.bytes_sent") +
                     proc_state_number(&fleet, leader, "links.bytes_received") - bytes) /
            SECONDS;
        router_bytes[i] = (double)(proc_state_number(&fleet, router, "link.bytes_sent") +
                                   proc_state_number(&fleet, router, "link.bytes_received") - own) /
                          SECONDS;
        char line[80];
        g_snprintf(line, sizeof line, "real fleet of %d routers, idle: leader's processor",
                   sizes[i]);
        bench_print(line, leader_cpu[i], "% of a core");
        g_snprintf(line, sizeof line, "real fleet of %d routers, idle: leader's payload", sizes[i]);
        bench_print(line, leader_bytes[i], "bytes/s");
        g_snprintf(line, sizeof line, "real fleet of %d routers, idle: leader's memory", sizes[i]);
        bench_print(line, bench_rss(leader->pid) / 1048576, "MiB");
        g_snprintf(line, sizeof line, "real fleet of %d routers, idle: a router's payload",
                   sizes[i]);
        bench_print(line, router_bytes[i], "bytes/s");
        g_snprintf(line, sizeof line, "real fleet of %d routers, idle: a router's processor",
                   sizes[i]);
        bench_print(line, router_cpu, "% of a core");
        g_snprintf(line, sizeof line, "real fleet of %d routers: a router's memory", sizes[i]);
        bench_print(line, bench_rss(router->pid) / 1048576, "MiB");
        wg_hist in_force = {0};
        for (int e = 0; e < 5; e++) {
            char weight[32];
            char* out = NULL;
            g_snprintf(weight, sizeof weight, "weight=%d", 300 + e);
            proc_run_ctl(&fleet, &out, "table", "set", "workspaces", "w1", weight, NULL);
            gint64 begin = g_get_monotonic_time();
            int64_t version = proc_json_number(out, "version");
            while (!all_routers_have(&fleet, version)) {
            }
            wg_hist_add(&in_force, g_get_monotonic_time() - begin);
            g_free(out);
        }
        g_snprintf(line, sizeof line, "real fleet of %d routers: edit in force, looking included",
                   sizes[i]);
        bench_print(line, (double)wg_hist_quantile(&in_force, 0.5) / 1000, "ms (median of 5)");
        proc_fleet_kill(&fleet);
    }
    bench_fit("fit: leader's processor, x = routers", x, leader_cpu, 3, "% of a core");
    bench_fit("fit: leader's payload, x = routers", x, leader_bytes, 3, "bytes/s");
    bench_fit("fit: a router's payload, x = routers", x, router_bytes, 3, "bytes/s");
}

/* ---- control traffic in replay --------------------------------------------------------------- */

/* Each workspace sends through a few routers, all together more than the fleet's capacity. */
static void exchange_slopes(void) {
    static const int sizes[] = {20, 60, 180};
    double x[3];
    double own[3];
    double leader[3];
    for (int i = 0; i < 3; i++) {
        static simf_trace trace;
        GString* text = g_string_new(NULL);
        int workspaces = MIN(sizes[i], 60);
        int spread = sizes[i] / workspaces + 3;
        g_string_append_printf(text, "fleet seed=1 routers=%d targets=%d slots=4 duration_s=20\n",
                               sizes[i], sizes[i]);
        double rate = 1.5 * sizes[i] * 4 * 50 / 150 / workspaces; /* 1.5 times the capacity */
        for (int w = 0; w < workspaces; w++) {
            int first = (int)((double)w * (sizes[i] - spread) / workspaces);
            g_string_append_printf(text, "workspace w%d %d\n", w, 50 + 10 * (w % 20));
            g_string_append_printf(text,
                                   "load w%d rate=%.3f tokens_min=50 tokens_max=250 "
                                   "routers=%d-%d\n",
                                   w, rate, first, first + spread);
        }
        simf_trace_parse(text->str, &trace, NULL);
        g_string_free(text, TRUE);
        double begin = bench_cpu_us();
        simf_result result = simf_run(&trace, SIMF_POLICY_LEASED);
        x[i] = sizes[i];
        own[i] = result.control_bytes;
        leader[i] = result.leader_bytes;
        char line[80];
        g_snprintf(line, sizeof line, "replay of %d routers under load: a router's control",
                   sizes[i]);
        bench_print(line, own[i], "bytes/s");
        g_snprintf(line, sizeof line, "replay of %d routers under load: the leader's control",
                   sizes[i]);
        bench_print(line, leader[i], "bytes/s");
        g_snprintf(line, sizeof line, "replay of %d routers under load: worst gap over bound",
                   sizes[i]);
        bench_print(line, result.gap_over_bound, "");
        g_snprintf(line, sizeof line, "replay of %d routers under load: slots busy", sizes[i]);
        bench_print(line, result.busy, "");
        g_snprintf(line, sizeof line, "  (replay took)");
        bench_print(line, (bench_cpu_us() - begin) / 1e6, "s");
    }
    bench_fit("fit: a router's control under load, x = routers", x, own, 3, "bytes/s");
    bench_fit("fit: leader's control under load, x = routers", x, leader, 3, "bytes/s");
}

/* ---- admission decisions of a coordinator ---------------------------------------------------- */

enum {
    ADMIT_SIZES = 4,
    ADMIT_PARTS = 4,                     /* shared parts of a prompt */
    ADMIT_TOKENS_PER_MS = 30,            /* speed that lib/speed assumes without samples */
    ADMIT_CYCLE_US = 50,                 /* from one request to the next: 20,000 per second */
    ADMIT_HOLD_US = 60 * WG_USEC_PER_SEC /* nothing expires during a measurement */
};

/* Targets that are full, and requests that wait for them at one coordinator. Prompts have the size
   that the targets together read at the rate of requests. */
typedef struct {
    wg_admit* admit;
    wg_hold* hold;
    int targets;
    int workspaces;
    uint64_t tickets;
    GQueue* reads; /* by target: tickets of the prompts that it reads, as pointers */
    wg_time now;
} admission_bench;

static wg_admit_answer admission_decide(wg_admit_request* request, wg_time now, void* user_data) {
    return wg_admit_decide(((admission_bench*)user_data)->admit, now, request);
}

static double admission_usage(uint64_t workspace, void* user_data) {
    (void)user_data;
    return (double)(wg_jitter(workspace, 1) % 100000);
}

static wg_hold_request admission_request(admission_bench* b, uint32_t target) {
    uint64_t ticket = ++b->tickets;
    uint64_t workspace = 1 + wg_jitter(ticket, 2) % (uint64_t)b->workspaces;
    wg_time read_time = (wg_time)b->targets * ADMIT_CYCLE_US;
    uint32_t tokens = (uint32_t)(read_time * ADMIT_TOKENS_PER_MS / WG_USEC_PER_MSEC);
    wg_hold_request r = {
        .admit = {.holder = 1,
                  .ticket = ticket,
                  .target = target,
                  .tokens = tokens,
                  .parts_num = ADMIT_PARTS,
                  .limits = {.total = 10 * (wg_time)WG_USEC_PER_SEC, .ahead = read_time / 2}},
        .workspace = workspace,
        .weight = 1 + (double)(workspace % 4),
        .charge = tokens,
        .hold = ADMIT_HOLD_US};
    for (int i = 0; i < ADMIT_PARTS; i++) {
        r.admit.parts[i] = 1 + wg_jitter(ticket, 3 + (uint64_t)i) % 1000;
        r.admit.sizes[i] = tokens / 10;
    }
    return r;
}

static void admission_begin_read(admission_bench* b, uint32_t target, uint64_t ticket) {
    g_queue_push_tail(&b->reads[target - 1], GSIZE_TO_POINTER(ticket));
}

/* Asks for an admission, as a host does. */
static void admission_ask(admission_bench* b, uint32_t target) {
    wg_hold_request request = admission_request(b, target);
    wg_admit_answer answer;
    if (!wg_hold_ask(b->hold, b->now, &request, &answer)) {
        WG_ASSERT(answer.granted);
        admission_begin_read(b, target, request.admit.ticket);
    }
}

static void admission_setup(admission_bench* b, int targets, int waiting, int workspaces) {
    *b = (admission_bench){.targets = targets, .workspaces = workspaces, .now = WG_USEC_PER_SEC};
    b->admit = wg_admit_setup(&(wg_admit_desc){.targets_max = targets});
    b->hold = wg_hold_setup(&(wg_hold_desc){.decide = admission_decide,
                                            .usage = admission_usage,
                                            .user_data = b,
                                            .waiting_max = 2 * waiting});
    b->reads = g_new0(GQueue, targets);
    for (int t = 1; t <= targets; t++) {
        admission_ask(b, (uint32_t)t);
    }
}

static void admission_shutdown(admission_bench* b) {
    wg_hold_shutdown(b->hold);
    wg_admit_shutdown(b->admit);
    for (int t = 0; t < b->targets; t++) {
        g_queue_clear(&b->reads[t]);
    }
    g_free(b->reads);
}

/* A target has read its oldest prompt, and the requests that fit now are granted. Returns their
   number. */
static int admission_read(admission_bench* b, uint32_t target) {
    uint64_t ticket = GPOINTER_TO_SIZE(g_queue_pop_head(&b->reads[target - 1]));
    wg_admit_first_event(b->admit, b->now, 1, ticket);
    wg_admit_end(b->admit, b->now, 1, ticket, false);
    wg_hold_notify_room(b->hold, target);
    wg_hold_action action;
    int grants = 0;
    while (wg_hold_next(b->hold, b->now, &action)) {
        uint32_t granted = wg_admit_target(b->admit, action.holder, action.ticket);
        admission_begin_read(b, granted, action.ticket);
        grants++;
    }
    return grants;
}

/* Microseconds of processor time by step, but for `operations`. */
typedef struct {
    double operations; /* number of comparisons and examined requests of a grant, as
                          wg_hold_operations() */
    double decide;     /* estimate of one admission */
    double add;        /* decision, and addition to the queue */
    double grant;      /* end of a prompt, and the grant that follows */
    double usage;      /* reading the usage of all waiting workspaces */
} admission_costs;

static admission_costs admission_measure(int targets, int waiting, int workspaces) {
    enum {
        DECISIONS = 100000,
        CYCLES = 20000 /* one second */
    };
    admission_bench b;
    admission_costs costs = {0};
    admission_setup(&b, targets, waiting, workspaces);
    double begin = bench_cpu_us();
    for (int i = 0; i < waiting; i++) {
        admission_ask(&b, 1 + (uint32_t)(i % targets));
    }
    costs.add = (bench_cpu_us() - begin) / waiting;
    begin = bench_cpu_us();
    for (uint64_t i = 0; i < DECISIONS; i++) {
        wg_hold_request request = admission_request(&b, 1 + (uint32_t)(i * 7 % (uint64_t)targets));
        request.admit.limits.ahead = 0; /* an estimate only */
        wg_admit_decide(b.admit, b.now, &request.admit);
    }
    costs.decide = (bench_cpu_us() - begin) / DECISIONS;
    int grants = 0;
    for (int i = 0; i < CYCLES; i++) {
        uint32_t target = 1 + (uint32_t)(i % targets);
        b.now += ADMIT_CYCLE_US;
        uint64_t operations = wg_hold_operations(b.hold);
        begin = bench_cpu_us();
        grants += admission_read(&b, target);
        costs.grant += bench_cpu_us() - begin;
        costs.operations += (double)(wg_hold_operations(b.hold) - operations);
        while (wg_hold_num(b.hold) < waiting) {
            admission_ask(&b, target);
        }
    }
    WG_ASSERT(grants > CYCLES / 2);
    costs.grant /= grants;
    costs.operations /= grants;
    begin = bench_cpu_us();
    wg_hold_update_usage(b.hold, b.now);
    costs.usage = bench_cpu_us() - begin;
    admission_shutdown(&b);
    return costs;
}

/* `step`: what was measured, in a run of the `size`. */
static void admission_print(const char* step, const char* size, double value, const char* unit) {
    char line[100];
    g_snprintf(line, sizeof line, "admission: %s, %s", step, size);
    bench_print(line, value, unit);
}

static void admission_slopes(int workspaces) {
    static const int targets[ADMIT_SIZES] = {40, 100, 300, 1000};
    static const int waiting[ADMIT_SIZES] = {WG_HOLD_WAITING_MAX_DEFAULT, 10000, 30000, 100000};
    double x[ADMIT_SIZES];
    double y[ADMIT_SIZES];
    for (int i = 0; i < ADMIT_SIZES; i++) {
        admission_costs costs = admission_measure(targets[i], waiting[i], workspaces);
        x[i] = waiting[i];
        y[i] = costs.add + costs.grant;
        char size[60];
        g_snprintf(size, sizeof size, "%d targets, %d waiting, %d workspaces", targets[i],
                   waiting[i], workspaces);
        admission_print("decision", size, costs.decide, "us");
        admission_print("addition", size, costs.add, "us");
        admission_print("grant", size, costs.grant, "us");
        admission_print("operations of a grant", size, costs.operations, "");
        admission_print("addition and grant", size, 1e6 / y[i], "requests/s of one core");
        admission_print("update of usage", size, costs.usage / 1000, "ms");
    }
    bench_fit("fit: addition and grant, x = waiting requests", x, y, ADMIT_SIZES, "us");
}

/* A report of the leader, and the two levels that follow; each second workspace has a weight. */
static void level_slopes(void) {
    static const int sizes[] = {1000, 5000, 25000};
    double x[3];
    double y[3];
    for (int i = 0; i < 3; i++) {
        enum {
            REPORTS = 20
        };
        wg_usage* list = g_new(wg_usage, sizes[i]);
        wg_usage_weight* weights = g_new(wg_usage_weight, sizes[i]);
        for (int w = 0; w < sizes[i]; w++) {
            uint64_t demand = wg_jitter((uint64_t)w, 6) % 1000000;
            list[w] = (wg_usage){(uint64_t)w + 1, demand / 3, demand};
            weights[w] = (wg_usage_weight){(uint64_t)w + 1, 1 + w % 2};
        }
        wg_usage_ledger* ledger = wg_usage_setup();
        wg_usage_set_weights(ledger, weights, (size_t)sizes[i], 1e9);
        wg_usage_report report = {.list = list, .num = (size_t)sizes[i]};
        double begin = bench_cpu_us();
        for (int r = 0; r < REPORTS; r++) {
            wg_usage_apply_report(ledger, WG_USEC_PER_SEC, &report, 1e9);
        }
        x[i] = sizes[i];
        y[i] = (bench_cpu_us() - begin) / REPORTS;
        char line[80];
        g_snprintf(line, sizeof line, "fair levels: report with %d workspaces", sizes[i]);
        bench_print(line, y[i] / 1000, "ms");
        wg_usage_shutdown(ledger);
        g_free(list);
        g_free(weights);
    }
    bench_fit("fit: report and levels, x = workspaces", x, y, 3, "us");
}

static void admission_all(void) {
    admission_slopes(30);
    admission_slopes(25000);
    level_slopes();
}

/* ---- memory ---------------------------------------------------------------------------------- */

static void queue_memory(int workspaces) {
    wgq_queue* q = wgq_setup(&(wgq_desc){0}, NULL);
    wgq_refusal refusal;
    for (int w = 0; w < workspaces; w++) {
        wgq_push(q, 0,
                 &(wgq_request){.workspace = (uint32_t)w + 1,
                                .limits = {.weight = 1},
                                .wait_until = WG_TIME_NEVER,
                                .deadline = WG_TIME_NEVER},
                 &refusal);
    }
}

static void memory_slope(const char* name, void (*work)(int size), const int* sizes, int num) {
    double x[4];
    double y[4];
    char line[80];
    for (int i = 0; i < num; i++) {
        x[i] = sizes[i];
        y[i] = bench_memory(work, sizes[i]);
        g_snprintf(line, sizeof line, "memory: %s, %d", name, sizes[i]);
        bench_print(line, y[i] / 1048576, "MiB");
    }
    g_snprintf(line, sizeof line, "fit: memory, %s", name);
    bench_fit(line, x, y, num, "bytes");
}

/* Runs first, so that a child process inherits no freed memory that it could reuse. */
static void memory_slopes(void) {
    static const int routers[] = {40, 80, 160, 320};
    static const int workspaces[] = {1000, 5000, 25000};
    memory_slope("leader's accounts and slots, x = routers", plan_memory, routers, 4);
    memory_slope("table, x = workspaces", table_memory, workspaces, 3);
    memory_slope("a router's queue, x = workspaces", queue_memory, workspaces, 3);
}

int main(int argc, char** argv) {
    memory_slopes();
    if (argc > 1 && strcmp(argv[1], "memory") == 0) {
        return 0;
    }
    if (argc > 1 && strcmp(argv[1], "fleets") == 0) {
        fleet_slopes();
        return 0;
    }
    if (argc > 1 && strcmp(argv[1], "admission") == 0) {
        admission_all();
        return 0;
    }
    admission_all();
    plan_slopes();
    exchange_slopes();
    plan_by_workspaces();
    message_slopes();
    table_slopes();
    log_slopes();
    fleet_slopes();
    return 0;
}
