#pragma once
/*
    wg_roster.h -- the entry hosts that callers may be sent to, as a list whose copies are told what
    changed

    WHAT IT DOES
        The leader keeps the roster from what hosts report; each host keeps a copy. Every change has
        a number; a copy that names the number it has gets what came and what left since, or the
        whole list when it is too old or of another leader.

    FEATURES
        - bytes for one change do not grow with the number of hosts
        - numbers of different leaders never meet: each begins at its term, or beyond what it had in
   it
        - a caller is named the same hosts from answer to answer
        - pure: no clock, socket or file of its own

    USE
        1. wg_roster* r = wg_roster_setup();
        2. wg_roster_begin(r, term); wg_roster_hear(r, now, &host); wg_roster_leave(r, name);
        3. wg_roster_difference d = wg_roster_since(r, change); ... wg_roster_difference_clear(&d);
        4. at the copy: wg_roster_copy_reset/add/remove(), then wg_roster_copy_set_change().

    THE CALLER OWNS
        nothing that the roster keeps; hosts that it returns are valid until the next change.
*/
#include "wg_base.h"

enum {
    WG_ROSTER_NAMED_MAX = 64, /* hosts in one answer */
    WG_ROSTER_NEAR_ENOUGH = 2 /* of the caller's data centre; with fewer, others are named too */
};

typedef struct {
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX]; /* where callers connect */
    char data_centre[WG_NAME_MAX];
    wg_time heard_at; /* at the leader: when it last reported */
    uint64_t change;  /* at which it last changed */
} wg_roster_host;

/* What a copy lacks. */
typedef struct {
    bool reset;      /* `came` is all there is */
    GPtrArray* came; /* const wg_roster_host*, borrowed */
    GPtrArray* left; /* names, const char*, borrowed */
    uint64_t change; /* of the copy afterwards */
} wg_roster_difference;

typedef struct wg_roster wg_roster;

wg_roster* wg_roster_setup(void);
void wg_roster_shutdown(wg_roster* roster);
/* The first host, the second and so on; the order is the same from call to call while nothing
   changes. */
int wg_roster_num(const wg_roster* roster);
const wg_roster_host* wg_roster_at(const wg_roster* roster, int at);
/* NULL: not listed. */
const wg_roster_host* wg_roster_find(const wg_roster* roster, const char* name);
/* Number of the last change; 0: nothing is known. */
uint64_t wg_roster_change(const wg_roster* roster);

/* A new leader starts with an empty list; copies of another term's are replaced whole. */
void wg_roster_begin(wg_roster* roster, uint64_t term);
/* A host reported that it takes callers; true when the list changed. */
bool wg_roster_hear(wg_roster* roster, wg_time now, const wg_roster_host* host);
/* It takes none any more; true when it was listed. */
bool wg_roster_leave(wg_roster* roster, const char* name);
/* For so long, until `now`, nobody listened: that time is no silence of a host. */
void wg_roster_spare(wg_roster* roster, wg_time now, wg_time time);
/* Take one host out that was silent for longer than `limit` (microseconds); its name goes to
   `name`. False: there is none. */
bool wg_roster_drop_silent(wg_roster* roster, wg_time now, wg_time limit, char name[WG_NAME_MAX]);
/* What a copy lacks that has the changes up to `since`. */
wg_roster_difference wg_roster_since(const wg_roster* roster, uint64_t since);
void wg_roster_difference_clear(wg_roster_difference* difference);

void wg_roster_copy_reset(wg_roster* copy);
void wg_roster_copy_add(wg_roster* copy, const wg_roster_host* host);
void wg_roster_copy_remove(wg_roster* copy, const char* name);
void wg_roster_copy_set_change(wg_roster* copy, uint64_t change);

/* What a caller is named. */
typedef struct {
    const char* data_centre; /* the caller's; "" or unknown: none is near */
    uint64_t caller;         /* hash of who asks; the same caller is named the same hosts */
    const char* without;     /* name of a host that is not named; NULL: none */
} wg_roster_query;

/* Hosts for a caller, const wg_roster_host*, borrowed; the caller of the function unrefs the list.
   At most WG_ROSTER_NAMED_MAX: those of the caller's data centre, and others too when fewer than
   WG_ROSTER_NEAR_ENOUGH are near. */
GPtrArray* wg_roster_pick(const wg_roster* roster, const wg_roster_query* query);
