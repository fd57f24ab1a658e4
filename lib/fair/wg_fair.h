#pragma once
/*
    wg_fair.h -- how much of a crowded service a workspace may take next, as pure functions

    WHAT IT DOES
        From what the fleet lately served each workspace, and what each asked for, it finds the
        max-min level: whoever asked for less has all of it, the others the level. Whoever is above
        gives way first; nobody gives way while there is room.

    USE
        1. wg_fair_level(asked, num, served) once a report
        2. wg_fair_patience(used_by_one, level) with each request
*/
#include "wg_base.h"

/* Level at which the sum of min(asked, level) is `served`; the most asked for when all of it is. */
double wg_fair_level(const double* asked, int num, double served);
/* Share of its objective that a request of a workspace may be expected to wait, 0..1. */
double wg_fair_patience(double used, double level);
