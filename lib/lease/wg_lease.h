#pragma once
/*
    wg_lease.h -- until when an entry host may decide by the configuration that it holds

    WHAT IT DOES
        A change is in force at each host in contact within a bounded time after its
        acknowledgement, though the leader does not wait for hosts. So a host may decide by its
        configuration only for a part of that time after it last knew it to be the newest. What it
        knows has one of two sources:
        - a leader. Each report of the host has a number, and the leader's answer repeats it. A
          leader that answers a report led after the report was sent, and its answer follows every
          configuration that it had acknowledged by then. However long the answer was on its way or
          waited to be read, the host knows everything acknowledged before it sent the report.
        - a search for a leader that found none: all controls were asked at once, and none that
          answered leads or has a newer configuration. While nobody leads, nothing is acknowledged.
        Pure.

    FEATURES
        - a lease counts from when the question was sent, and time in which the process stood still
          is part of it
        - a search begins before the lease lapses, and at once when it has lapsed
        - a search in which the process stood still waits anew for its answers

    USE
        1. wg_lease_begin(&l, duration);
        2. wg_lease_report_sent(&l, now, seq);           // each report
           wg_lease_report_answered(&l, seq);            // each answer of a leader, once applied
        3. if (wg_lease_search_due(&l, now, interval)) { wg_lease_search_begin(&l, now, asked); }
           wg_lease_search_answer(&l, &answer);          // or wg_lease_search_unreachable(&l)
           wg_lease_tick(&l, now);
        4. switch (wg_lease_query(&l, now)) { ... }

    THE CALLER OWNS
        the struct. All times are those of this host's clock, which includes time in which the
        process stood still; microseconds.
*/
#include "wg_base.h"

enum {
    /* Reports whose time is remembered. Answers to earlier ones are ignored. */
    WG_LEASE_REPORTS = 64,
    /* Longest wait for the answers to a search: several times what a handshake between data centres
       takes. */
    WG_LEASE_SEARCH_TIME = 350 * WG_USEC_PER_MSEC
};

/* What a decision can be based on. */
typedef enum {
    WG_BASIS_NONE = 0,  /* the configuration may be outdated */
    WG_BASIS_LEADER,    /* it is the newest one acknowledged */
    WG_BASIS_NO_LEADER, /* no leader was found, and nobody who answered has a newer one */
    WG_BASIS_NUM
} wg_lease_basis;

typedef struct {
    uint64_t seq;
    wg_time sent_at;
} wg_lease_report;

/* Answer of a control to a search. */
typedef struct {
    bool leads;
    bool newer; /* it has a newer configuration than this host, or a leader newer targets */
} wg_lease_answer;

typedef struct {
    wg_time duration;
    wg_lease_report reports[WG_LEASE_REPORTS]; /* by `seq` modulo their number */
    wg_time confirmed_at; /* the host knows what was acknowledged before; 0: no leader answered */
    wg_time no_leader_at; /* start of the last search that found no leader; 0: none */
    bool searching;
    wg_time searched_at; /* start of the last search */
    wg_time search_expires_at;
    int unanswered;    /* controls whose answers the search waits for */
    bool newer_exists; /* one that answered has a newer configuration */
} wg_lease;

/* Name of a basis in logs. */
const char* wg_lease_basis_name(wg_lease_basis basis);

/* `duration` of the lease; 0: it never lapses. */
void wg_lease_begin(wg_lease* lease, wg_time duration);
/* A report with this number was sent. */
void wg_lease_report_sent(wg_lease* lease, wg_time now, uint64_t seq);
/* A leader answered it. False if it is too old to be remembered, or was not sent. */
bool wg_lease_report_answered(wg_lease* lease, uint64_t seq);
wg_lease_basis wg_lease_query(const wg_lease* lease, wg_time now);
/* Time since the host knew all that was acknowledged; -1: it never did. */
wg_time wg_lease_age(const wg_lease* lease, wg_time now);

/* Whether a search has to begin. `report_interval`: of this host, which the lease of a host with a
   leader exceeds regularly if it is long. */
bool wg_lease_search_due(const wg_lease* lease, wg_time now, wg_time report_interval);
/* `asked`: number of controls asked. With none, the search ends at once and finds no leader. */
void wg_lease_search_begin(wg_lease* lease, wg_time now, int asked);
/* `more` controls are asked; the search waits for their answers as for the first ones. */
void wg_lease_search_widen(wg_lease* lease, wg_time now, int more);
/* A control answered. One that leads ends the search. */
void wg_lease_search_answer(wg_lease* lease, const wg_lease_answer* answer);
/* A control will not answer. */
void wg_lease_search_unreachable(wg_lease* lease);
/* This process stood still until `now`. */
void wg_lease_record_stall(wg_lease* lease, wg_time now);
/* Ends a search whose time is over. */
void wg_lease_tick(wg_lease* lease, wg_time now);
