#pragma once
/*
    wg_fair.h -- how much of a crowded service a workspace may take next, as pure functions

    WHAT IT DOES
        From what the fleet lately served each workspace, and what each asked for, it finds the
        max-min level: whoever asked for less has all of it, the others the level. Whoever is above
        gives way first; nobody gives way while there is room.

    FEATURES
        - a margin that shrinks while first events come late, whatever the estimates said, so that
          many hosts that decide at once on old loads leave room for those who are owed it
        - whoever has more than is owed, but clearly less than others are served, catches up with
   them
        - two levels: of what the targets make together, as the operator says (beyond it nobody is
          owed anything), and of what they really served (beyond it others are held back)

    USE
        1. wg_fair_level(asked, num, served) once a report, for both
        2. wg_fair_patience(used_by_one, &levels) with each request
*/
#include "wg_base.h"

/* Level at which the sum of min(asked, level) is `served`; the most asked for when all of it is. */
double wg_fair_level(const double* asked, int num, double served);
typedef struct {
    double owed;   /* level of what is owed, 0: not known */
    double served; /* level of what was served, 0: not known */
} wg_fair_levels;

/* Has a workspace, though it may have more than it is owed, about half of what others are served,
   or less? */
bool wg_fair_is_behind(double used, const wg_fair_levels* levels);

/* Has a workspace so little that it is sent though it may come late, rather than refused? */
bool wg_fair_is_modest(double used, const wg_fair_levels* levels);

/* How far estimates of waits can be trusted, learnt from what really came: 1 fully. */
typedef struct {
    double value; /* 0: not begun, counts as 1 */
} wg_fair_margin;

/* A first event came, in time or not. */
void wg_fair_learn(wg_fair_margin* margin, bool in_time);
double wg_fair_trust(const wg_fair_margin* margin);

/* Share of its objective that a request of a workspace may wait behind others, 0..1. At 0 it is not
   sent: the workspace has far more than others that are refused. */
double wg_fair_patience(double used, const wg_fair_levels* levels);

/* Microseconds between two tries of one request that waits. Whoever has more than it is owed tries
   seldom: otherwise what it gets depends on how many others its host has to try for. */
wg_time wg_fair_try_gap(double patience);
