/* wg_fair.c -- see wg_fair.h */
#include "wg_fair.h"

#include <math.h>
#include <stdlib.h>

/* Wait tolerance as a function of usage divided by the level. */
typedef struct {
    double full_until; /* tolerance is 1 up to this ratio */
    double min_from;   /* tolerance is `min` from this ratio on */
    double min;
    double zero_from; /* tolerance is 0 from this ratio on */
} wg_fair_slope;

/* Targets have capacity for some usage above the fair share. A higher minimum would cause shared
   parts to be computed again and others to wait. */
static const wg_fair_slope WG_FAIR_SHARE_SLOPE = {
    .full_until = 1.0, .min_from = 1.2, .min = 0.11, .zero_from = 1e9};
static const wg_fair_slope WG_FAIR_SERVED_SLOPE = {
    .full_until = 1.0, .min_from = 1.15, .min = 0.05, .zero_from = 1.3};

/* Demand of one workspace, as sorted for the level. */
typedef struct {
    double per_weight; /* demand / weight */
    double demand;
    double weight_from; /* sum of the weights from this workspace to the last one */
} wg_fair_demand;

static int wg_fair_compare(const void* a, const void* b) {
    double first = ((const wg_fair_demand*)a)->per_weight;
    double second = ((const wg_fair_demand*)b)->per_weight;
    return first < second ? -1 : first > second;
}

/* Returns the demands in order, NULL without any; the caller frees them. Weights are summed up from
   the end: subtraction from the total would leave rounding errors where the weights that remain are
   small against those before them. */
static wg_fair_demand* wg_fair_sort(const double* demand, const double* weights, int num) {
    if (num <= 0) {
        return NULL;
    }
    wg_fair_demand* sorted = g_new(wg_fair_demand, num);
    for (int i = 0; i < num; i++) {
        double weight = weights ? weights[i] : 1;
        sorted[i] = (wg_fair_demand){demand[i] / weight, demand[i], weight};
    }
    qsort(sorted, (size_t)num, sizeof *sorted, wg_fair_compare);
    double sum = 0;
    for (int i = num - 1; i >= 0; i--) {
        sum += sorted[i].weight_from;
        sorted[i].weight_from = sum;
    }
    return sorted;
}

static double wg_fair_level_of(const wg_fair_demand* sorted, int num, double served) {
    double left = served;
    for (int i = 0; i < num; i++) {
        double even = left / sorted[i].weight_from;
        if (sorted[i].per_weight > even) {
            return even;
        }
        left -= sorted[i].demand;
    }
    return num > 0 ? sorted[num - 1].per_weight : 0;
}

double wg_fair_weighted_level(const double* demand, const double* weights, int num, double served) {
    wg_fair_demand* sorted = wg_fair_sort(demand, weights, num);
    double level = wg_fair_level_of(sorted, num, served);
    g_free(sorted);
    return level;
}

double wg_fair_level(const double* demand, int num, double served) {
    return wg_fair_weighted_level(demand, NULL, num, served);
}

wg_fair_levels wg_fair_weighted_levels(const double* demand, const double* weights, int num,
                                       double served, double total_share) {
    wg_fair_demand* sorted = wg_fair_sort(demand, weights, num);
    wg_fair_levels levels = {.fair_share =
                                 total_share > 0 ? wg_fair_level_of(sorted, num, total_share) : 0,
                             .served = wg_fair_level_of(sorted, num, served)};
    g_free(sorted);
    return levels;
}

double wg_fair_weight(double weight) {
    if (!isfinite(weight) || weight <= 0) {
        return 1;
    }
    return CLAMP(weight, WG_FAIR_WEIGHT_MIN, WG_FAIR_WEIGHT_MAX);
}

static double wg_fair_tolerance_at(const wg_fair_slope* slope, double used, double level) {
    double ratio = level > 0 ? used / level : 0;
    if (ratio >= slope->zero_from) {
        return 0;
    }
    double part = (ratio - slope->full_until) / (slope->min_from - slope->full_until);
    return 1 - CLAMP(part, 0, 1) * (1 - slope->min);
}

/* Fractions of the served level: below the first a workspace is behind others, at the second it
   has caught up. */
static const double WG_FAIR_BEHIND = 0.55;
static const double WG_FAIR_CAUGHT_UP = 0.75;

bool wg_fair_is_behind(double used, const wg_fair_levels* levels) {
    return used < WG_FAIR_BEHIND * levels->served;
}

/* Wait tolerance of a workspace that was served less than others: 1 without usage, 0 once it has
   caught up. */
static double wg_fair_catch_up_tolerance(double used, const wg_fair_levels* levels) {
    double enough = WG_FAIR_CAUGHT_UP * levels->served;
    return used < enough ? 1 - used / enough : 0;
}

double wg_fair_wait_tolerance(double used, const wg_fair_levels* levels) {
    double fair_share = wg_fair_tolerance_at(&WG_FAIR_SHARE_SLOPE, used, levels->fair_share);
    fair_share = MAX(fair_share, wg_fair_catch_up_tolerance(used, levels));
    double served = wg_fair_tolerance_at(&WG_FAIR_SERVED_SLOPE, used, levels->served);
    /* Of two workspaces above their fair share, the one with higher usage yields. */
    return fair_share * served;
}

wg_time wg_fair_try_gap(double tolerance) {
    enum {
        TRY_GAP = 60 * WG_USEC_PER_MSEC
    };
    return tolerance < 1 ? TRY_GAP : 0;
}

/* Fraction of the level below which requests are sent late rather than refused. */
static const double WG_FAIR_LOW_USAGE = 0.5;

bool wg_fair_is_far_below_share(double used, const wg_fair_levels* levels) {
    double level =
        levels->fair_share > 0 ? MIN(levels->fair_share, levels->served) : levels->served;
    return used < WG_FAIR_LOW_USAGE * level;
}

/* ---- margin --------------------------------------------------------------------------------- */

/* Near 1, the margin is stable while about one first event in eleven is late. */
static const double WG_MARGIN_LOSS = 0.06; /* fraction lost per late event */
static const double WG_MARGIN_GAIN = 0.006;
static const double WG_MARGIN_MIN = 0.12;

double wg_fair_confidence(const wg_fair_margin* margin) {
    return margin->value > 0 ? margin->value : 1;
}

void wg_fair_update_margin(wg_fair_margin* margin, bool in_time) {
    double value = wg_fair_confidence(margin);
    value = in_time ? value + WG_MARGIN_GAIN : value * (1 - WG_MARGIN_LOSS);
    margin->value = CLAMP(value, WG_MARGIN_MIN, 1);
}
