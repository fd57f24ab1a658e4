#pragma once
/*
    wg_retry.h -- one host's part of the fleet's retry budget, as a pure state machine

    WHAT IT DOES
        Allows a share of the first sends to be sent again, plus a small number at any time that all
        hosts divide among themselves. Over any window the fleet then stays below
        percent/100 * first sends + slack.

    USE
        1. wg_retry r = {0};
        2. wg_retry_first(&r, now, &rules);   // a first send
        3. if (wg_retry_take(&r, now, &rules)) { send again }
*/
#include "wg_base.h"

typedef struct {
    int64_t percent; /* of the first sends */
    int64_t slack;   /* sends beyond, of all hosts together, in one window */
    wg_time window;
    int hosts; /* that share the slack */
} wg_retry_rules;

typedef struct {
    double tokens;
    bool begun;
} wg_retry;

void wg_retry_first(wg_retry* retry, const wg_retry_rules* rules);
/* True when one more send is within the budget; it is then counted. */
bool wg_retry_take(wg_retry* retry, const wg_retry_rules* rules);
/* Let time pass: a part of the slack comes back. */
void wg_retry_pass(wg_retry* retry, wg_time time, const wg_retry_rules* rules);
