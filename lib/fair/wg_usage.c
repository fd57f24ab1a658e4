/* wg_usage.c -- see wg_usage.h */
#include "wg_usage.h"

#include <math.h>

enum {
    /* Microseconds between two decay steps; short compared to the half-life. */
    WG_USAGE_DECAY_STEP = 100 * WG_USEC_PER_MSEC
};

/* In doubles, as usage decays in small steps. */
typedef struct {
    double tokens;
    double demand;
} wg_usage_amount;

/* Usage of one workspace in the whole fleet. */
typedef struct {
    uint64_t workspace;
    double weight;
    wg_usage_amount reported;  /* reported by the leader */
    wg_usage_amount estimated; /* estimated since that report from this host's own usage */
} wg_usage_copy;

/* This host's totals, and the part of them that the copy already contains. */
typedef struct {
    wg_usage total;
    uint64_t tokens_counted;
    uint64_t demand_counted;
    bool changed; /* since it was last taken for a report */
} wg_usage_total;

struct wg_usage_ledger {
    GHashTable* fleet;   /* workspace -> wg_usage_copy* */
    GHashTable* own;     /* workspace -> wg_usage_total* */
    GHashTable* weights; /* workspace -> wg_usage_weight*; those that are not listed have 1 */
    wg_time reported_at; /* 0: never */
    wg_time lifetime;    /* since `reported_at`, until the copy decays */
    wg_time decayed_at;
    wg_usage_amount small; /* of the workspaces that the leader did not list, together */
    size_t small_num;
    wg_fair_levels levels;
};

/* ---- helpers --------------------------------------------------------------------------------- */

static wg_usage_total* wg_usage_own_of(wg_usage_ledger* ledger, uint64_t workspace) {
    wg_usage_total* own = g_hash_table_lookup(ledger->own, &workspace);
    if (!own) {
        own = g_new0(wg_usage_total, 1);
        own->total.workspace = workspace;
        g_hash_table_insert(ledger->own, &own->total.workspace, own);
    }
    return own;
}

static double wg_usage_configured_weight(const wg_usage_ledger* ledger, uint64_t workspace) {
    const wg_usage_weight* weight = g_hash_table_lookup(ledger->weights, &workspace);
    return weight ? weight->weight : 1;
}

static wg_usage_copy* wg_usage_copy_of(wg_usage_ledger* ledger, uint64_t workspace) {
    wg_usage_copy* copy = g_hash_table_lookup(ledger->fleet, &workspace);
    if (!copy) {
        copy = g_new0(wg_usage_copy, 1);
        copy->workspace = workspace;
        copy->weight = wg_usage_configured_weight(ledger, workspace);
        g_hash_table_insert(ledger->fleet, &copy->workspace, copy);
    }
    return copy;
}

static void wg_usage_set_levels(wg_usage_ledger* ledger, double total_share) {
    size_t num = g_hash_table_size(ledger->fleet) + ledger->small_num;
    double* demand = g_new(double, num + 1);
    double* weights = g_new(double, num + 1);
    double served = ledger->small.tokens;
    int filled = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->fleet);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wg_usage_copy* copy = value;
        double tokens = copy->reported.tokens + copy->estimated.tokens;
        weights[filled] = copy->weight;
        demand[filled++] = MAX(copy->reported.demand + copy->estimated.demand, tokens);
        served += tokens;
    }
    for (size_t i = 0; i < ledger->small_num; i++) {
        weights[filled] = 1; /* which workspaces these are is not known */
        demand[filled++] = ledger->small.demand / (double)ledger->small_num;
    }
    ledger->levels = wg_fair_weighted_levels(demand, weights, filled, served, total_share);
    g_free(demand);
    g_free(weights);
}

static wg_usage_amount wg_usage_scale(wg_usage_amount amount, double factor) {
    return (wg_usage_amount){amount.tokens * factor, amount.demand * factor};
}

static void wg_usage_decay_copy(wg_usage_ledger* ledger, double keep, bool drop) {
    ledger->small = wg_usage_scale(ledger->small, drop ? 0 : keep);
    ledger->small_num = drop ? 0 : ledger->small_num;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->fleet);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_usage_copy* copy = value;
        copy->reported = wg_usage_scale(copy->reported, drop ? 0 : keep);
        copy->estimated = wg_usage_scale(copy->estimated, keep);
        if (copy->reported.demand + copy->estimated.demand < 1) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Adds this host's usage since the last update to the copy, multiplied by `factor`. */
static void wg_usage_count_own(wg_usage_ledger* ledger, double factor) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->own);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_usage_total* own = value;
        uint64_t tokens = own->total.tokens - own->tokens_counted;
        uint64_t demand = own->total.demand - own->demand_counted;
        own->tokens_counted = own->total.tokens;
        own->demand_counted = own->total.demand;
        if (factor > 0 && (tokens > 0 || demand > 0)) {
            wg_usage_copy* copy = wg_usage_copy_of(ledger, own->total.workspace);
            copy->estimated.tokens += factor * (double)tokens;
            copy->estimated.demand += factor * (double)demand;
        }
    }
}

/* ---- public functions ------------------------------------------------------------------------ */

wg_usage_ledger* wg_usage_setup(void) {
    wg_usage_ledger* ledger = g_new0(wg_usage_ledger, 1);
    ledger->lifetime = WG_USAGE_LIFETIME_DEFAULT;
    ledger->fleet = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    ledger->own = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    ledger->weights = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return ledger;
}

void wg_usage_shutdown(wg_usage_ledger* ledger) {
    g_hash_table_unref(ledger->fleet);
    g_hash_table_unref(ledger->own);
    g_hash_table_unref(ledger->weights);
    g_free(ledger);
}

void wg_usage_record_demand(wg_usage_ledger* ledger, uint64_t workspace, uint64_t tokens) {
    wg_usage_total* own = wg_usage_own_of(ledger, workspace);
    own->total.demand += tokens;
    own->changed = true;
}

void wg_usage_record_served(wg_usage_ledger* ledger, uint64_t workspace, uint64_t tokens) {
    wg_usage_total* own = wg_usage_own_of(ledger, workspace);
    own->total.tokens += tokens;
    own->changed = true;
}

static wg_usage_amount wg_usage_amount_of(const wg_usage* usage) {
    return (wg_usage_amount){(double)usage->tokens, (double)usage->demand};
}

void wg_usage_apply_report(wg_usage_ledger* ledger, wg_time now, const wg_usage_report* report,
                           double total_share) {
    g_hash_table_remove_all(ledger->fleet);
    for (size_t i = 0; i < report->num; i++) {
        wg_usage_copy* copy = wg_usage_copy_of(ledger, report->list[i].workspace);
        copy->reported = wg_usage_amount_of(&report->list[i]);
    }
    ledger->small = wg_usage_amount_of(&report->small);
    ledger->small_num = report->small_num;
    wg_usage_count_own(ledger, 0);
    ledger->reported_at = now;
    ledger->decayed_at = now;
    wg_usage_set_levels(ledger, total_share);
}

void wg_usage_set_lifetime(wg_usage_ledger* ledger, wg_time lifetime) {
    ledger->lifetime = lifetime;
}

void wg_usage_decay(wg_usage_ledger* ledger, wg_time now, int hosts, double total_share) {
    bool fresh = ledger->reported_at == 0 || now - ledger->reported_at < ledger->lifetime;
    if (fresh || now - ledger->decayed_at < WG_USAGE_DECAY_STEP) {
        return;
    }
    double keep = exp2(-(double)(now - ledger->decayed_at) / WG_USAGE_HALF_LIFE);
    wg_usage_decay_copy(ledger, keep, now - ledger->reported_at > WG_USAGE_DROPPED_AFTER);
    wg_usage_count_own(ledger, MAX(hosts, 1));
    ledger->decayed_at = now;
    wg_usage_set_levels(ledger, total_share);
}

double wg_usage_of(const wg_usage_ledger* ledger, uint64_t workspace) {
    const wg_usage_copy* copy = g_hash_table_lookup(ledger->fleet, &workspace);
    if (copy) {
        return copy->reported.tokens + copy->estimated.tokens;
    }
    return ledger->small_num > 0 ? ledger->small.tokens / (double)ledger->small_num : 0;
}

double wg_usage_weight_of(const wg_usage_ledger* ledger, uint64_t workspace) {
    const wg_usage_copy* copy = g_hash_table_lookup(ledger->fleet, &workspace);
    return copy ? copy->weight : wg_usage_configured_weight(ledger, workspace);
}

double wg_usage_per_weight(const wg_usage_ledger* ledger, uint64_t workspace) {
    return wg_usage_of(ledger, workspace) / wg_usage_weight_of(ledger, workspace);
}

void wg_usage_set_weights(wg_usage_ledger* ledger, const wg_usage_weight* list, size_t num,
                          double total_share) {
    g_hash_table_remove_all(ledger->weights);
    for (size_t i = 0; i < num; i++) {
        wg_usage_weight* weight = g_new(wg_usage_weight, 1);
        *weight = list[i];
        g_hash_table_replace(ledger->weights, &weight->workspace, weight);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->fleet);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_usage_copy* copy = value;
        copy->weight = wg_usage_configured_weight(ledger, copy->workspace);
    }
    wg_usage_set_levels(ledger, total_share);
}

const wg_fair_levels* wg_usage_levels(const wg_usage_ledger* ledger) {
    return &ledger->levels;
}

GPtrArray* wg_usage_take_changed(wg_usage_ledger* ledger) {
    GPtrArray* list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->own);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_usage_total* own = value;
        if (own->changed) {
            own->changed = false;
            g_ptr_array_add(list, &own->total);
        }
    }
    return list;
}

void wg_usage_take_again(wg_usage_ledger* ledger) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, ledger->own);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((wg_usage_total*)value)->changed = true;
    }
}
