/* bench_router.c -- throughput and latency through one router, compared with a target alone; idle
   cost of the daemons */
#include <signal.h>

#include "bench.h"
#include "load.h"
#include "proc.h"

#include <arpa/inet.h>
#include <sys/socket.h>

enum {
    THREADS = 4
};

static proc_fleet fleet;

typedef struct {
    load_desc desc;
    load_result result;
} worker;

static gpointer run_worker(gpointer data) {
    worker* w = data;
    load_run(&w->desc, &w->result);
    return NULL;
}

/* Runs the load from several threads at once and returns the sum of their results. */
static load_result run(const load_desc* desc, int threads) {
    static worker workers[THREADS];
    GThread* handles[THREADS];
    for (int i = 0; i < threads; i++) {
        workers[i].desc = *desc;
        workers[i].desc.seed = (uint64_t)i + 1;
        handles[i] = g_thread_new("load", run_worker, &workers[i]);
    }
    load_result sum = {0};
    for (int i = 0; i < threads; i++) {
        g_thread_join(handles[i]);
        const load_result* r = &workers[i].result;
        sum.complete += r->complete;
        sum.failed += r->failed;
        sum.elapsed = MAX(sum.elapsed, r->elapsed);
        for (int b = 0; b < WG_HIST_BUCKETS; b++) {
            sum.latency.counts[b] += r->latency.counts[b];
            sum.first_token.counts[b] += r->first_token.counts[b];
        }
        sum.latency.num += r->latency.num;
        sum.latency.max = MAX(sum.latency.max, r->latency.max);
        sum.latency.sum += r->latency.sum;
        sum.first_token.num += r->first_token.num;
        sum.first_token.max = MAX(sum.first_token.max, r->first_token.max);
        sum.first_token.sum += r->first_token.sum;
        load_clear(&workers[i].result);
    }
    return sum;
}

static load_desc load_of(const proc_process* target, load_kind kind, int callers) {
    return (load_desc){.hosts = {target->address},
                       .hosts_num = 1,
                       .kind = kind,
                       .callers = callers,
                       .tokens = 50,
                       .duration = 4 * (wg_time)WG_USEC_PER_SEC,
                       .key = "key-w0"};
}

static double rate(const load_result* r) {
    return (double)r->complete / ((double)r->elapsed / 1e6);
}

static double mean(const wg_hist* hist) {
    return hist->num ? (double)hist->sum / (double)hist->num : 0;
}

static void measure_small_requests(void) {
    proc_process* router = proc_find(&fleet, "r1");
    proc_process* target = proc_find(&fleet, "service1");
    load_desc desc = load_of(target, LOAD_KIND_PLAIN, 16);
    load_result alone = run(&desc, THREADS);
    desc = load_of(router, LOAD_KIND_DEFAULT, 16);
    double cpu = bench_process_cpu_us(router->pid);
    load_result routed = run(&desc, THREADS);
    cpu = bench_process_cpu_us(router->pid) - cpu;
    bench_print("small requests, stand-in alone", rate(&alone), "requests/s");
    bench_print("small requests, one router, saturated", rate(&routed), "requests/s");
    bench_print("  ratio to the stand-in alone", rate(&routed) / rate(&alone), "");
    bench_print("  processor time of the router a request", cpu / (double)routed.complete, "us");
    bench_print("  so one core carries", 1e6 * (double)routed.complete / cpu, "requests/s");
    bench_print("  failed", (double)routed.failed, "requests");
    desc = load_of(target, LOAD_KIND_PLAIN, 2);
    alone = run(&desc, 1);
    desc = load_of(router, LOAD_KIND_DEFAULT, 2);
    routed = run(&desc, 1);
    bench_print("small requests below saturation, alone, mean", mean(&alone.latency) / 1000, "ms");
    bench_print("  added by the router, mean",
                (mean(&routed.latency) - mean(&alone.latency)) / 1000, "ms");
    bench_print("  added by the router, median",
                ((double)wg_hist_quantile(&routed.latency, 0.5) -
                 (double)wg_hist_quantile(&alone.latency, 0.5)) /
                    1000,
                "ms");
    bench_print("  added by the router, 99th percentile",
                ((double)wg_hist_quantile(&routed.latency, 0.99) -
                 (double)wg_hist_quantile(&alone.latency, 0.99)) /
                    1000,
                "ms");
}

static void measure_streams(void) {
    proc_process* router = proc_find(&fleet, "r1");
    proc_process* target = proc_find(&fleet, "engine1");
    load_desc desc = load_of(target, LOAD_KIND_PLAIN_STREAM, 16);
    load_result alone = run(&desc, 1);
    desc = load_of(router, LOAD_KIND_STREAM, 16);
    double cpu = bench_process_cpu_us(router->pid);
    load_result routed = run(&desc, 1);
    cpu = bench_process_cpu_us(router->pid) - cpu;
    bench_print("streams of 50 tokens, alone", rate(&alone), "streams/s");
    bench_print("streams of 50 tokens, one router", rate(&routed), "streams/s");
    bench_print("  ratio to the stand-in alone", rate(&routed) / rate(&alone), "");
    bench_print("  added to the first token, mean",
                (mean(&routed.first_token) - mean(&alone.first_token)) / 1000, "ms");
    bench_print("  added to the whole stream, mean",
                (mean(&routed.latency) - mean(&alone.latency)) / 1000, "ms");
    bench_print("  processor time of the router a token", cpu / (double)routed.complete / 50, "us");
}

static void measure_idle_connections(void) {
    enum {
        CONNECTIONS = 2000
    };
    proc_process* router = proc_find(&fleet, "r1");
    static int fds[CONNECTIONS];
    double before = bench_rss(router->pid);
    char ip[64];
    g_strlcpy(ip, router->address, sizeof ip);
    *strrchr(ip, ':') = 0;
    struct sockaddr_in in = {.sin_family = AF_INET, .sin_port = htons(8000)};
    inet_pton(AF_INET, ip, &in.sin_addr);
    int open = 0;
    for (int i = 0; i < CONNECTIONS; i++) {
        fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        open += fds[i] >= 0 && connect(fds[i], (struct sockaddr*)&in, sizeof in) == 0;
    }
    proc_sleep(1000);
    bench_print("memory an idle connection", (bench_rss(router->pid) - before) / MAX(open, 1),
                "bytes");
    for (int i = 0; i < CONNECTIONS; i++) {
        close(fds[i]);
    }
}

static void measure_idle_daemons(void) {
    enum {
        SECONDS = 8
    };
    static const char* names[] = {"c1", "c2", "r1"};
    double cpu[3];
    int64_t bytes[3];
    for (int sample = 0; sample < 2; sample++) {
        for (int i = 0; i < 3; i++) {
            proc_process* p = proc_find(&fleet, names[i]);
            const char* prefix = names[i][0] == 'c' ? "links." : "link.";
            char sent[32];
            char received[32];
            g_snprintf(sent, sizeof sent, "%sbytes_sent", prefix);
            g_snprintf(received, sizeof received, "%sbytes_received", prefix);
            double cpu_now = bench_process_cpu_us(p->pid);
            int64_t bytes_now =
                proc_state_number(&fleet, p, sent) + proc_state_number(&fleet, p, received);
            if (sample == 1) {
                char line[64];
                g_snprintf(line, sizeof line, "idle %s: control payload, both ways", names[i]);
                bench_print(line, (double)(bytes_now - bytes[i]) / SECONDS, "bytes/s");
                g_snprintf(line, sizeof line, "idle %s: processor", names[i]);
                bench_print(line, (cpu_now - cpu[i]) / SECONDS / 1e4, "% of a core");
                g_snprintf(line, sizeof line, "idle %s: memory", names[i]);
                bench_print(line, bench_rss(p->pid) / 1048576, "MiB");
            }
            cpu[i] = cpu_now;
            bytes[i] = bytes_now;
        }
        if (sample == 0) {
            proc_sleep(SECONDS * 1000);
        }
    }
}

int main(void) {
    proc_fleet_start(&fleet, &(proc_desc){.controls = 3,
                                          .routers = 1,
                                          .engines = 1,
                                          .services = 1,
                                          .engine_slots = 64,
                                          .engine_pace_us = 2000});
    proc_set_faults(proc_find(&fleet, "service1"), "work_us=0");
    measure_small_requests();
    measure_streams();
    measure_idle_connections();
    measure_idle_daemons();
    proc_fleet_kill(&fleet);
    return 0;
}
