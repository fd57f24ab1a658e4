#pragma once
/*
    wg_acceptance.h -- estimated chance that a target accepts a request

    WHAT IT DOES
        A target that refuses requests answers at once and has nothing in progress, so it looks
        idle and would draw the requests that other targets could serve. This library estimates the
        target's chance of accepting a request from its last answers, for the price of the target in
        a selection. Pure.

    FEATURES
        - a refusal lowers the chance, an accepted request raises it faster
        - without new answers the chance recovers with time, so the target is tried again by a few
          requests
        - zero-initialised state: the target accepts everything

    USE
        1. wg_acceptance a = {0};
        2. wg_acceptance_record(&a, now, accepted);            // for each answer of the target
        3. cost += (1 - wg_acceptance_chance(&a, now)) * cost of a refusal;

    THE CALLER OWNS
        the state, one per target and host. Times are microseconds of the host's own clock.
*/
#include "wg_base.h"

typedef struct {
    double refusal_rate; /* recent fraction of refused requests, as of `updated_at` */
    wg_time updated_at;
} wg_acceptance;

/* Records whether the target accepted a request. */
void wg_acceptance_record(wg_acceptance* acceptance, wg_time now, bool accepted);
/* Chance that the target accepts the next request, 0 to 1. */
double wg_acceptance_chance(const wg_acceptance* acceptance, wg_time now);
/* Whether the target is more likely to refuse the next request than to accept it. */
bool wg_acceptance_is_refusing(const wg_acceptance* acceptance, wg_time now);
