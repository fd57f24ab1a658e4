#pragma once
/*
    wg_fair.h -- how much of a crowded service a workspace may take next, as pure functions

    WHAT IT DOES
        From what the fleet lately served each workspace it finds the level up to which all are
        treated alike, and says how far above it one of them is. Those above give way first, so that
        workspaces that want more than an even share come to have the same; nobody gives way while
        there is room.

    FEATURES
        - max-min: the level fills up to a share of all that was served; light ones stay below it
        - no demand has to be known: who is refused while others are above the level gains

    USE
        1. wg_fair_level(used, num) once a report
        2. wg_fair_patience(used_by_one, level) with each request
*/
#include "wg_base.h"

/* Level at which the sum of min(used, level) is WG_FAIR_FILL of all used; 0 when nothing was. */
double wg_fair_level(const double* used, int num);
/* Share of its objective that a request of a workspace may be expected to wait, 0..1. */
double wg_fair_patience(double used, double level);
