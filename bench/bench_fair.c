/* bench_fair.c -- `make bench-fair`: replays the traces of a folder under each scheduling policy,
   prints a table and writes CSV */
#include <stdio.h>
#include <string.h>

#include "sim_fleet.h"

static gint compare_names(gconstpointer a, gconstpointer b) {
    return strcmp(*(char* const*)a, *(char* const*)b);
}

/* Counts the outcomes stated in a trace that the result misses; for the policy in use only. */
static int check_expects(const simf_trace* trace, const simf_result* result, double best_tokens) {
    int failed = 0;
    for (int i = 0; i < trace->expects_num; i++) {
        const simf_expect* expect = &trace->expects[i];
        double value = 0;
        simf_metric(result, expect->metric, &value);
        if (strcmp(expect->metric, "tokens") == 0) {
            value = value / best_tokens; /* relative to the omniscient policy */
        }
        bool good = expect->op == '<' ? value < expect->value : value > expect->value;
        if (!good) {
            printf("  OUTCOME MISSED: %s is %g, want %c %g\n", expect->metric, value, expect->op,
                   expect->value);
            failed++;
        }
    }
    return failed;
}

static int run_trace(const char* path, FILE* csv) {
    static simf_trace trace;
    GError* error = NULL;
    if (!simf_trace_read(path, &trace, &error)) {
        fprintf(stderr, "%s\n", error->message);
        g_error_free(error);
        return 1;
    }
    static const simf_policy ways[] = {SIMF_POLICY_OMNISCIENT, SIMF_POLICY_ALONE,
                                       SIMF_POLICY_ARBITER, SIMF_POLICY_LEASED};
    printf("%s (gaps in tokens per 100 of weight)\n", trace.name);
    printf("  %-10s %8s %8s %8s %8s %7s %8s %7s %8s %8s %8s %8s\n", "way", "gap p50", "gap p99",
           "worst", "/bound", "busy", "tokens", "wasted", "wait p99", "urgent", "B/s", "recovery");
    double best_tokens = 0;
    int failed = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
        simf_result r = simf_run(&trace, ways[i]);
        if (ways[i] == SIMF_POLICY_OMNISCIENT) {
            best_tokens = r.tokens;
        }
        printf("  %-10s %8.0f %8.0f %8.0f %8.3f %7.4f %8.4f %7.4f %8.2f %8.2f %8.0f %8.2f\n",
               simf_policy_name(ways[i]), r.gap_median, r.gap_p99, r.gap_worst, r.gap_over_bound,
               r.busy, r.tokens / best_tokens, r.wasted, r.wait_p99, r.urgent_wait_worst,
               r.control_bytes, r.recovery);
        fprintf(
            csv, "%s,%s,%.1f,%.1f,%.1f,%.4f,%.5f,%.5f,%.5f,%.3f,%.3f,%.3f,%.5f,%.1f,%.1f,%.2f\n",
            trace.name, simf_policy_name(ways[i]), r.gap_median, r.gap_p99, r.gap_worst,
            r.gap_over_bound, r.busy, r.tokens / best_tokens, r.wasted, r.wait_p99, r.wait_worst,
            r.urgent_wait_worst, r.refused, r.control_bytes, r.leader_bytes, r.recovery);
        if (ways[i] == SIMF_POLICY_LEASED) {
            failed += check_expects(&trace, &r, best_tokens);
        }
        fflush(stdout);
    }
    return failed;
}

int main(int argc, char** argv) {
    const char* folder = argc > 1 ? argv[1] : "samples/traces";
    const char* csv_path = argc > 2 ? argv[2] : "bench-fair.csv";
    FILE* csv = fopen(csv_path, "w");
    GDir* dir = g_dir_open(folder, 0, NULL);
    if (!dir || !csv) {
        fprintf(stderr, "usage: bench_fair <folder of traces> <csv to write>\n");
        return 2;
    }
    fprintf(csv, "trace,way,gap_median,gap_p99,gap_worst,gap_over_bound,busy,tokens_of_best,wasted,"
                 "wait_p99_s,wait_worst_s,urgent_wait_worst_s,refused,control_bytes_per_router_s,"
                 "leader_bytes_s,recovery_s\n");
    GPtrArray* names = g_ptr_array_new_with_free_func(g_free);
    const char* name;
    while ((name = g_dir_read_name(dir))) {
        if (g_str_has_suffix(name, ".trace")) {
            g_ptr_array_add(names, g_build_filename(folder, name, NULL));
        }
    }
    g_ptr_array_sort(names, compare_names);
    int failed = 0;
    for (guint i = 0; i < names->len; i++) {
        failed += run_trace(g_ptr_array_index(names, i), csv);
    }
    g_ptr_array_unref(names);
    g_dir_close(dir);
    fclose(csv);
    printf("outcomes missed: %d\n", failed);
    return failed ? 1 : 0;
}
