#pragma once
/*
    wg_lease.h -- as of when an entry host's configuration is known to be the newest

    WHAT IT DOES
        Each report of a host to the leader has a number, and the leader's answer repeats it. A
        leader that answers a report led after the report was sent, and its answer follows every
        configuration that it had acknowledged by then. So the host knows everything that was
        acknowledged before it sent the report, however long the answer was on its way or waited to
        be read. Pure.

    USE
        1. wg_lease l = {0};
        2. wg_lease_report_sent(&l, now, seq);    // each report
        3. wg_lease_report_answered(&l, seq);     // each answer of a leader, once it is applied
        4. wg_lease_age(&l, now);

    THE CALLER OWNS
        the struct. All times are those of this host's clock, which includes time in which the
        process stood still; microseconds.
*/
#include "wg_base.h"

enum {
    /* Reports whose time is remembered. Answers to earlier ones are ignored. */
    WG_LEASE_REPORTS = 64
};

typedef struct {
    uint64_t seq;
    wg_time sent_at;
} wg_lease_report;

typedef struct {
    wg_lease_report reports[WG_LEASE_REPORTS]; /* by `seq` modulo their number */
    wg_time confirmed_at; /* the host knows what was acknowledged before; 0: no leader answered */
} wg_lease;

/* A report with this number was sent. */
void wg_lease_report_sent(wg_lease* lease, wg_time now, uint64_t seq);
/* A leader answered it. False if it is too old to be remembered, or was not sent. */
bool wg_lease_report_answered(wg_lease* lease, uint64_t seq);
/* Time since the host knew all that was acknowledged; -1: it never did. */
wg_time wg_lease_age(const wg_lease* lease, wg_time now);
