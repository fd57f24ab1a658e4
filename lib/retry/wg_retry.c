/* wg_retry.c -- see wg_retry.h. A token bucket that holds at most `cap` retries. In any window a
   host sends at most the tokens in the bucket at the start plus the refill by first sends and time;
   the three fractions below keep the sum over all hosts within the budget. */
#include "wg_retry.h"

/* Fractions of the budget that the bucket may use. */
static const double WG_RETRY_FIRST_SENDS_SHARE = 0.8; /* fraction of the percentage */
static const double WG_RETRY_CAP = 0.45;              /* fraction of the slack, bucket size */
static const double WG_RETRY_REFILL = 0.35; /* fraction of the slack, refilled per window */

static double wg_retry_cap(const wg_retry_rules* rules) {
    double cap = WG_RETRY_CAP * rules->slack / MAX(rules->hosts, 1);
    return MAX(cap, 1.0);
}

static void wg_retry_init(wg_retry* r, const wg_retry_rules* rules) {
    if (!r->initialized) {
        r->initialized = true;
        r->tokens = wg_retry_cap(rules) / 2;
    }
}

static void wg_retry_add(wg_retry* r, double tokens, const wg_retry_rules* rules) {
    r->tokens = MIN(r->tokens + tokens, wg_retry_cap(rules));
}

void wg_retry_record_first_send(wg_retry* r, const wg_retry_rules* rules) {
    wg_retry_init(r, rules);
    wg_retry_add(r, WG_RETRY_FIRST_SENDS_SHARE * (double)rules->percent / 100, rules);
}

void wg_retry_refill(wg_retry* r, wg_time time, const wg_retry_rules* rules) {
    wg_retry_init(r, rules);
    double part = WG_RETRY_REFILL * rules->slack / MAX(rules->hosts, 1);
    wg_retry_add(r, part * (double)time / (double)rules->window, rules);
}

bool wg_retry_take(wg_retry* r, const wg_retry_rules* rules) {
    wg_retry_init(r, rules);
    if (r->tokens < 1) {
        return false;
    }
    r->tokens -= 1;
    return true;
}
