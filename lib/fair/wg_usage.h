#pragma once
/*
    wg_usage.h -- what the fleet lately served each workspace, as one entry host has it

    WHAT IT DOES
        Keeps the leader's word on all workspaces' usage beside what this host itself served, and
   the max-min levels that follow. While no word comes the copy fades as the leader's would, and
        what this host serves meanwhile stands for what each other host serves. Pure.

    FEATURES
        - a workspace that had most when the leader was lost is not held to that for ever
        - own totals only grow, so that any leader can take the difference between two reports

    USE
        1. wg_usage_book* b = wg_usage_setup();
        2. wg_usage_ask(b, workspace, tokens); wg_usage_serve(b, workspace, tokens);
        3. wg_usage_hear(b, now, list, num, owed);                       // the leader's word
        4. wg_usage_fade(b, now, hosts, owed);                           // each tick without it
        5. wg_usage_of(b, workspace); wg_usage_levels(b);

    THE CALLER OWNS
        everything passed in; lists that are returned stay the book's.
*/
#include "wg_fair.h"

enum {
    /* Usage halves so often in microseconds, at the leader and here. */
    WG_USAGE_HALF_LIFE = 1200 * WG_USEC_PER_MSEC,
    /* Without word for so long a copy begins to fade, microseconds: longer than an election (0.5 s)
       and than the gap between reports at 300 hosts (0.6 s). */
    WG_USAGE_STALE = WG_USEC_PER_SEC,
    /* And for so long it is dropped, four half-lives: what is left of it keeps its proportions
       however small it is, and would go on to hold workspaces back where little else is served. */
    WG_USAGE_DROPPED = 4 * WG_USAGE_HALF_LIFE
};

/* Tokens of a workspace. */
typedef struct {
    uint64_t workspace; /* hash of its name */
    uint64_t tokens;    /* served */
    uint64_t asked;     /* the same, of all that it asked for, refused or not */
} wg_usage;

typedef struct wg_usage_book wg_usage_book;

wg_usage_book* wg_usage_setup(void);
void wg_usage_shutdown(wg_usage_book* book);
/* A request of so many tokens came here, or was sent to a target from here. */
void wg_usage_ask(wg_usage_book* book, uint64_t workspace, uint64_t tokens);
void wg_usage_serve(wg_usage_book* book, uint64_t workspace, uint64_t tokens);
/* The leader's word replaces the copy. `owed`: tokens that all workspaces together are owed in the
   time that usage stands for; 0: not known. */
void wg_usage_hear(wg_usage_book* book, wg_time now, const wg_usage* list, size_t num, double owed);
/* Time passes; does nothing while word is fresh. `hosts`: entry hosts among which callers spread.
 */
void wg_usage_fade(wg_usage_book* book, wg_time now, int hosts, double owed);
/* Tokens that the workspace lately had in the whole fleet. */
double wg_usage_of(const wg_usage_book* book, uint64_t workspace);
const wg_fair_levels* wg_usage_levels(const wg_usage_book* book);
/* This host's own totals so far, wg_usage*, in no order; the caller frees the list alone. */
GPtrArray* wg_usage_own(const wg_usage_book* book);
