#pragma once
/*
    wg_retry.h -- one host's share of the fleet's retry budget, as a pure state machine

    WHAT IT DOES
        Allows retries for a fraction of the first sends, plus a small slack that all hosts share
        equally. Over any window the fleet's retries stay below percent/100 * first sends + slack.

    USE
        1. wg_retry r = {0};
        2. wg_retry_record_first_send(&r, &rules);   // for each first send
        3. if (wg_retry_take(&r, &rules)) { send again }
*/
#include "wg_base.h"

typedef struct {
    int64_t percent; /* retries per 100 first sends */
    double slack;    /* additional retries of all hosts together in one window */
    wg_time window;
    int hosts; /* number of hosts that share the slack */
} wg_retry_rules;

typedef struct {
    double tokens;
    bool initialized;
} wg_retry;

void wg_retry_record_first_send(wg_retry* retry, const wg_retry_rules* rules);
/* Takes one retry from the budget; false if none is left. */
bool wg_retry_take(wg_retry* retry, const wg_retry_rules* rules);
/* Refills a part of the slack for the elapsed `time`. */
void wg_retry_refill(wg_retry* retry, wg_time time, const wg_retry_rules* rules);
