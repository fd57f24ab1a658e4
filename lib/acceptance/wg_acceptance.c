/* wg_acceptance.c -- see wg_acceptance.h */
#include "wg_acceptance.h"

#include <math.h>

/* Time in which the refusal rate halves without new answers. */
static const double WG_REFUSAL_HALF_LIFE = 3.0 * WG_USEC_PER_SEC;
/* A lower rate counts as 0, so that an idle target is not left out for the remains of refusals. */
static const double WG_REFUSAL_RATE_MIN = 0.01;
/* Weight of a new answer. */
static const double WG_REFUSED_WEIGHT = 0.25;
static const double WG_ACCEPTED_WEIGHT = 0.5;

static double wg_refusal_rate(const wg_acceptance* a, wg_time now) {
    if (a->refusal_rate == 0) { /* most targets refuse nothing, and exp2() is expensive */
        return 0;
    }
    double rate = a->refusal_rate * exp2(-(double)(now - a->updated_at) / WG_REFUSAL_HALF_LIFE);
    return rate < WG_REFUSAL_RATE_MIN ? 0 : rate;
}

void wg_acceptance_record(wg_acceptance* a, wg_time now, bool accepted) {
    double rate = wg_refusal_rate(a, now);
    a->refusal_rate =
        accepted ? rate * (1 - WG_ACCEPTED_WEIGHT) : rate + (1 - rate) * WG_REFUSED_WEIGHT;
    a->updated_at = now;
}

double wg_acceptance_chance(const wg_acceptance* a, wg_time now) {
    return 1 - wg_refusal_rate(a, now);
}

bool wg_acceptance_is_refusing(const wg_acceptance* a, wg_time now) {
    return wg_acceptance_chance(a, now) < 0.5;
}
