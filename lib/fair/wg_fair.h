#pragma once
/*
    wg_fair.h -- max-min fair sharing of a busy service between workspaces, as pure functions

    WHAT IT DOES
        Computes the max-min fair level from the recent usage and demand of each workspace: a
        workspace whose demand is below the level gets all of it, the others get the level.
        Workspaces above the level yield first; none yields while there is free capacity.

    FEATURES
        - a margin that shrinks while first events come late, whatever the estimates were, so that
          hosts that decide on outdated loads keep capacity free for workspaces below their fair
          share
        - a workspace that is above its fair share but far below what others are served may catch up
        - two levels: the fair share of the capacity that the operator configured, and of the
          capacity that was really served
        - weights: a workspace is entitled to its weight times the level

    USE
        1. wg_fair_weighted_levels(demand, weights, num, served, total_share) once per report
        2. wg_fair_wait_tolerance(used_by_one / weight, &levels) for each request
*/
#include "wg_base.h"

/* Weights outside of this range are refused in a configuration, and clamped in messages. */
#define WG_FAIR_WEIGHT_MIN 0.01
#define WG_FAIR_WEIGHT_MAX 100.0

/* Returns the level at which the sum of min(demand, level) is `served`; the largest demand if all
   demand is served. */
double wg_fair_level(const double* demand, int num, double served);
/* Returns the level per unit of weight, at which the sum of min(demand, weight * level) is
   `served`; the largest demand / weight if all demand is served. `weights`: above 0; NULL: all are
   1. Costs as much as sorting. */
double wg_fair_weighted_level(const double* demand, const double* weights, int num, double served);
/* Returns a weight from a message within the valid range; 1 for one that is not finite or not above
   0. */
double wg_fair_weight(double weight);

/* Levels per unit of weight, tokens. Usage divided by the workspace's weight is compared with them.
 */
typedef struct {
    double fair_share; /* fair share of the configured capacity; 0: not known */
    double served;     /* fair share of the capacity that was served; 0: not known */
} wg_fair_levels;

/* Returns both levels of wg_fair_weighted_level(), for what was `served` and for the configured
   capacity `total_share` (0: not known), with one sort. All amounts are tokens. */
wg_fair_levels wg_fair_weighted_levels(const double* demand, const double* weights, int num,
                                       double served, double total_share);

/* True if the workspace was served about half of what others were, or less. It may still be
   above its fair share. `used` is usage / weight, here and below. */
bool wg_fair_is_behind(double used, const wg_fair_levels* levels);

/* True if the workspace is so far below its fair share that its requests are sent late rather
   than refused. */
bool wg_fair_is_far_below_share(double used, const wg_fair_levels* levels);

/* Confidence in wait estimates, learned from the times of first events; 1: full. */
typedef struct {
    double value; /* 0: no event yet, counts as 1 */
} wg_fair_margin;

/* Updates the margin after a first event. */
void wg_fair_update_margin(wg_fair_margin* margin, bool in_time);
double wg_fair_confidence(const wg_fair_margin* margin);

/* Returns the wait tolerance: the fraction of its objective that a request of the workspace may
   queue behind others, 0..1. At 0 the request is not sent, since its workspace has far more than
   others that are refused. */
double wg_fair_wait_tolerance(double used, const wg_fair_levels* levels);

/* Returns the usage divided by the usage from which on the wait tolerance is 0 (a ratio; 1 or more:
   the tolerance is 0). 0 without a known level. */
double wg_fair_excess(double used, const wg_fair_levels* levels);

/* Returns the microseconds between two tries of a queued request. Workspaces above their fair
   share retry at intervals, so that their share does not depend on how many requests their host has
   queued. */
wg_time wg_fair_try_gap(double tolerance);
