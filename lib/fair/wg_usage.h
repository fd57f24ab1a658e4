#pragma once
/*
    wg_usage.h -- recent usage of each workspace in the fleet, as known to one entry host

    WHAT IT DOES
        Keeps the usage of all workspaces as reported by the leader, the usage of this host, and the
        max-min levels that follow. Without reports from the leader the copy decays as the leader's
        would, and this host's own usage is used as an estimate of that of every other host. Pure.

    FEATURES
        - a workspace that had the highest usage when the leader was lost is not limited by that for
          good, since usage decays
        - weights of workspaces, as the configuration has them; the leader's reports contain none
        - own totals only grow, so that any leader can compute the difference between two reports

    USE
        1. wg_usage_ledger* l = wg_usage_setup();
        2. wg_usage_record_demand(l, workspace, tokens);
           wg_usage_record_served(l, workspace, tokens);
        3. wg_usage_apply_report(l, now, list, num, total_share);  // a report of the leader
        4. wg_usage_decay(l, now, hosts, total_share);             // each tick
        5. wg_usage_per_weight(l, workspace); wg_usage_levels(l);
        6. wg_usage_take_changed(l);                               // for a report to the leader
        7. wg_usage_set_weights(l, list, num, total_share);        // a new configuration

    THE CALLER OWNS
        everything passed in; returned lists stay owned by the ledger.
*/
#include "wg_fair.h"

enum {
    /* Half-life of usage in microseconds, at the leader and here. */
    WG_USAGE_HALF_LIFE = 1200 * WG_USEC_PER_MSEC,
    /* Microseconds since the last report until a copy decays, by default. */
    WG_USAGE_LIFETIME_DEFAULT = WG_USEC_PER_SEC,
    /* Microseconds since the last report until the leader's part of a copy is dropped. Decay
       alone keeps the proportions between workspaces, so the highest usage would go on to limit its
       workspace even where little else is served. */
    WG_USAGE_DROPPED_AFTER = 4 * WG_USAGE_HALF_LIFE
};

/* Usage of a workspace in tokens. */
typedef struct {
    uint64_t workspace; /* hash of its name */
    uint64_t tokens;    /* served */
    uint64_t demand;    /* demand: all tokens requested, refused or not */
} wg_usage;

typedef struct wg_usage_ledger wg_usage_ledger;

wg_usage_ledger* wg_usage_setup(void);
void wg_usage_shutdown(wg_usage_ledger* ledger);
/* Records a request that this host received. */
void wg_usage_record_demand(wg_usage_ledger* ledger, uint64_t workspace, uint64_t tokens);
/* Records a request that this host sent to a target. */
void wg_usage_record_served(wg_usage_ledger* ledger, uint64_t workspace, uint64_t tokens);
/* Usage of the whole fleet, as the leader reports it. */
typedef struct {
    const wg_usage* list;
    size_t num;
    wg_usage small;   /* sums over the workspaces that are not listed; `workspace` is unused */
    size_t small_num; /* number of these workspaces */
} wg_usage_report;

/* Replaces the copy with the leader's report. `total_share`: tokens of the configured capacity in
   the time that usage covers; 0: not known. */
void wg_usage_apply_report(wg_usage_ledger* ledger, wg_time now, const wg_usage_report* report,
                           double total_share);
/* Sets the time since the last report until the copy decays, in microseconds: longer than the
   interval between two reports. */
void wg_usage_set_lifetime(wg_usage_ledger* ledger, wg_time lifetime);
/* Decays the copy; does nothing while the last report is fresh. `hosts`: number of entry hosts
   that share the load. */
void wg_usage_decay(wg_usage_ledger* ledger, wg_time now, int hosts, double total_share);
/* Returns the recent usage of the workspace in the whole fleet, tokens. */
double wg_usage_of(const wg_usage_ledger* ledger, uint64_t workspace);
/* Returns the weight of the workspace; 1 if it has none. */
double wg_usage_weight_of(const wg_usage_ledger* ledger, uint64_t workspace);
/* Returns the recent usage of the workspace per unit of its weight, which is compared with the
   levels, tokens. */
double wg_usage_per_weight(const wg_usage_ledger* ledger, uint64_t workspace);
const wg_fair_levels* wg_usage_levels(const wg_usage_ledger* ledger);

/* Weight of one workspace. */
typedef struct {
    uint64_t workspace; /* hash of its name */
    double weight;      /* WG_FAIR_WEIGHT_MIN to WG_FAIR_WEIGHT_MAX */
} wg_usage_weight;

/* Replaces the weights of all workspaces and computes the levels again. Workspaces that are not
   listed have weight 1; of two entries for one workspace the last one counts. `total_share`: as in
   wg_usage_apply_report(). */
void wg_usage_set_weights(wg_usage_ledger* ledger, const wg_usage_weight* list, size_t num,
                          double total_share);
/* Returns this host's own totals that changed since they were last taken, wg_usage*, in no
   particular order; the caller frees the list only. */
GPtrArray* wg_usage_take_changed(wg_usage_ledger* ledger);
/* Lets wg_usage_take_changed() return all totals again, as the next leader knows none. */
void wg_usage_take_again(wg_usage_ledger* ledger);
