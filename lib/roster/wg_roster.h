#pragma once
/*
    wg_roster.h -- versioned list of the entry hosts that callers may be sent to, with incremental
    updates for its copies

    WHAT IT DOES
        The leader maintains the roster from reports of hosts; each host keeps a copy. Every change
        has a number. A copy that states its number gets the hosts added and removed since, or the
        full list when its number is too old or from another leader.

    FEATURES
        - the size of an update does not depend on the number of hosts
        - change numbers of different leaders never overlap: each leader begins at a number derived
          from its term, or above the numbers it has already used in that term
        - a caller gets the same hosts in successive answers
        - pure: no clock, socket or file of its own

    USE
        1. wg_roster* r = wg_roster_setup();
        2. wg_roster_begin(r, term); wg_roster_record_report(r, now, &host);
           wg_roster_leave(r, name);
        3. wg_roster_difference d = wg_roster_since(r, change); ... wg_roster_difference_clear(&d);
        4. copies: wg_roster_copy_reset/add/remove(), then wg_roster_copy_set_change().

    THE CALLER OWNS
        nothing that the roster stores; hosts that it returns are valid until the next change.
*/
#include "wg_base.h"

enum {
    WG_ROSTER_PICK_MAX = 64, /* hosts in one answer */
    WG_ROSTER_LOCAL_MIN = 2  /* local hosts; with fewer, remote ones are added */
};

typedef struct {
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX]; /* address for callers */
    char data_centre[WG_NAME_MAX];
    wg_time last_contact_at; /* leader only: time of the last report */
    uint64_t change;         /* number of the host's last change */
} wg_roster_host;

/* Changes that a copy is missing. */
typedef struct {
    bool reset;         /* `added` is the full list */
    GPtrArray* added;   /* const wg_roster_host*, borrowed */
    GPtrArray* removed; /* names, const char*, borrowed */
    uint64_t change;    /* number of the copy after it applied the difference */
} wg_roster_difference;

typedef struct wg_roster wg_roster;

wg_roster* wg_roster_setup(void);
void wg_roster_shutdown(wg_roster* roster);
/* Hosts by position; the order is stable while nothing changes. */
int wg_roster_num(const wg_roster* roster);
const wg_roster_host* wg_roster_at(const wg_roster* roster, int at);
/* NULL if the host isn't listed. */
const wg_roster_host* wg_roster_find(const wg_roster* roster, const char* name);
/* Number of the last change; 0: none yet. */
uint64_t wg_roster_change(const wg_roster* roster);

/* Empties the list for a new leader; copies from another term are replaced in full. */
void wg_roster_begin(wg_roster* roster, uint64_t term);
/* Records a report of a host that accepts callers; true when the list changed. */
bool wg_roster_record_report(wg_roster* roster, wg_time now, const wg_roster_host* host);
/* Removes a host that no longer accepts callers; true when it was listed. */
bool wg_roster_leave(wg_roster* roster, const char* name);
/* Extends all deadlines by `time` after a stall of this process: reports were not read
   meanwhile. */
void wg_roster_extend_deadlines(wg_roster* roster, wg_time now, wg_time time);
/* Removes one host whose last report is older than `limit` (microseconds) and copies its name to
   `name`. Returns false when there is none. */
bool wg_roster_remove_unresponsive(wg_roster* roster, wg_time now, wg_time limit,
                                   char name[WG_NAME_MAX]);
/* Changes for a copy whose number is `since`. */
wg_roster_difference wg_roster_since(const wg_roster* roster, uint64_t since);
void wg_roster_difference_clear(wg_roster_difference* difference);

void wg_roster_copy_reset(wg_roster* copy);
void wg_roster_copy_add(wg_roster* copy, const wg_roster_host* host);
void wg_roster_copy_remove(wg_roster* copy, const char* name);
void wg_roster_copy_set_change(wg_roster* copy, uint64_t change);

/* Selection of hosts for a caller. */
typedef struct {
    const char* data_centre; /* the caller's data centre; "" or unknown: all hosts are remote */
    uint64_t caller;         /* hash that identifies the caller and selects its hosts */
    const char* excluded;    /* name of a host to exclude; NULL: none */
} wg_roster_query;

/* Returns at most WG_ROSTER_PICK_MAX hosts (const wg_roster_host*, borrowed): those of the
   caller's data centre, and remote ones too when there are fewer than WG_ROSTER_LOCAL_MIN. Unref
   the array after use. */
GPtrArray* wg_roster_pick(const wg_roster* roster, const wg_roster_query* query);
