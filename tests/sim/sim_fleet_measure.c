/* sim_fleet_measure.c -- measures service gaps and use of capacity; metrics of a replay */
#include <math.h>
#include <string.h>

#include "sim_fleet_internal.h"

double _simf_tokens_so_far(const run_t* s, const request_t* q) {
    if (!q->started || s->now <= q->started) {
        return 0;
    }
    double tokens = (double)(s->now - q->started) / (double)s->trace->pace;
    return MIN(tokens, (double)q->tokens);
}

/* Bound on the service gap of a pair of workspaces, in tokens per 100 of weight: one round of
   requests in all slots, the tokens served during two exchanges with the leader, and two requests,
   which cannot be split. Derived in docs/design/fairness.md. */
static double pair_bound(const run_t* s, int a, int b) {
    const simf_trace* t = s->trace;
    double slots = (double)t->targets * t->slots * (100 + t->over_percent) / 100;
    double capacity = slots * 1e6 / (double)t->pace; /* tokens per second */
    double exchange = (double)(t->report + 2 * t->delay + PLAN_DELAY) / WG_USEC_PER_SEC;
    double both = (double)(s->weights[a] + s->weights[b]);
    double lighter = (double)MIN(s->weights[a], s->weights[b]);
    double round = slots * s->request_tokens_max;
    return (round + 2 * capacity * exchange) * 100 / both +
           2 * s->request_tokens_max * 100 / lighter;
}

void _simf_take_sample(run_t* s) {
    int num = s->trace->workspaces_num;
    double tokens[SIMF_WORKSPACES_MAX];
    memcpy(tokens, s->delivered, sizeof tokens);
    for (guint i = 0; i < s->running->len; i++) {
        const request_t* q = g_ptr_array_index(s->running, i);
        tokens[q->workspace] += _simf_tokens_so_far(s, q);
    }
    for (int w = 0; w < num; w++) {
        s->normalized[w] += (tokens[w] - s->last_tokens[w]) * 100.0 / (double)s->weights[w];
        s->last_tokens[w] = tokens[w];
    }
    double widest = 0;
    for (int a = 0; a < num; a++) {
        for (int b = a + 1; b < num; b++) {
            pair_t* pair = &s->pairs[a][b];
            bool backlogged = !s->emptied[a] && !s->emptied[b] && s->now != s->settled_from;
            if (backlogged && !pair->backlogged) {
                pair->base_a = s->normalized[a];
                pair->base_b = s->normalized[b];
            }
            pair->backlogged = backlogged;
            if (backlogged) {
                double gap =
                    fabs((s->normalized[a] - pair->base_a) - (s->normalized[b] - pair->base_b));
                g_array_append_val(s->gaps, gap);
                double over = gap / pair_bound(s, a, b);
                widest = MAX(widest, over);
            }
        }
    }
    for (int w = 0; w < num; w++) {
        s->emptied[w] = s->queued[w] == 0;
    }
    s->over_bound = MAX(s->over_bound, widest);
    if (s->now > s->settled_from) {
        s->over_bound_calm = MAX(s->over_bound_calm, widest);
    }
    if (widest > 1 && s->last_fault_end > 0) {
        s->last_out_of_bound_at = s->now;
    }
}

/* Adds up used and available slot time while any request waits. */
void _simf_add_slot_time(run_t* s, wg_time until) {
    int waiting = 0;
    for (int w = 0; w < s->trace->workspaces_num; w++) {
        waiting += s->queued[w];
    }
    if (waiting == 0 || until <= s->now) {
        return;
    }
    double span = (double)(until - s->now);
    for (int g = 0; g < s->trace->targets; g++) {
        if (!s->targets[g].removed && !s->targets[g].unreachable) {
            s->slot_time += span * s->trace->slots;
            s->busy_time += span * MIN(s->targets[g].in_slots, s->trace->slots);
        }
    }
}

static gint compare_doubles(gconstpointer a, gconstpointer b) {
    double left = *(const double*)a;
    double right = *(const double*)b;
    return left < right ? -1 : left > right;
}

static double quantile(const GArray* sorted, double part) {
    if (sorted->len == 0) {
        return 0;
    }
    guint i = (guint)((double)(sorted->len - 1) * part);
    return g_array_index(sorted, double, i);
}

simf_result _simf_collect(run_t* s) {
    const simf_trace* t = s->trace;
    double seconds = (double)t->duration / WG_USEC_PER_SEC;
    g_array_sort(s->gaps, compare_doubles);
    uint64_t bytes = 0;
    for (int i = 0; i < t->routers; i++) {
        bytes += s->routers[i].bytes;
    }
    double all = s->tokens_in_time + s->tokens_late;
    simf_result result = {.gap_median = quantile(s->gaps, 0.5),
                          .gap_p99 = quantile(s->gaps, 0.99),
                          .gap_worst = quantile(s->gaps, 1.0),
                          .gap_over_bound = s->over_bound,
                          .gap_over_bound_calm = s->over_bound_calm,
                          .busy = s->slot_time > 0 ? s->busy_time / s->slot_time : 1,
                          .tokens = s->tokens_in_time,
                          .wasted = all > 0 ? s->tokens_late / all : 0,
                          .wait_p99 = (double)wg_hist_quantile(&s->wait, 0.99) / 1e6,
                          .wait_worst = (double)s->wait.max / 1e6,
                          .urgent_wait_worst = (double)s->urgent_wait / 1e6,
                          .refused = s->requests ? (double)s->refused / (double)s->requests : 0,
                          .control_bytes = (double)bytes / t->routers / seconds,
                          .leader_bytes = (double)s->leader_bytes / seconds,
                          .finished = s->finished,
                          .requests = s->requests};
    if (s->last_fault_end > 0) {
        result.recovery = (double)(s->last_out_of_bound_at - s->last_fault_end) / 1e6;
    }
    /* Tokens of running requests count too, so that policies are compared at the same time. */
    for (guint i = 0; i < s->running->len; i++) {
        result.tokens += _simf_tokens_so_far(s, g_ptr_array_index(s->running, i));
    }
    return result;
}

bool simf_metric(const simf_result* result, const char* name, double* value) {
    const struct {
        const char* name;
        double value;
    } metrics[] = {{"gap_median", result->gap_median},
                   {"gap_p99", result->gap_p99},
                   {"gap_worst", result->gap_worst},
                   {"gap_over_bound", result->gap_over_bound},
                   {"gap_over_bound_calm", result->gap_over_bound_calm},
                   {"busy", result->busy},
                   {"tokens", result->tokens},
                   {"wasted", result->wasted},
                   {"wait_p99", result->wait_p99},
                   {"wait_worst", result->wait_worst},
                   {"urgent_wait_worst", result->urgent_wait_worst},
                   {"refused", result->refused},
                   {"control_bytes", result->control_bytes},
                   {"leader_bytes", result->leader_bytes},
                   {"recovery", result->recovery}};
    for (size_t i = 0; i < G_N_ELEMENTS(metrics); i++) {
        if (strcmp(metrics[i].name, name) == 0) {
            *value = metrics[i].value;
            return true;
        }
    }
    return false;
}
