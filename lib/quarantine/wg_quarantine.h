#pragma once
/*
    wg_quarantine.h -- requests that are refused because targets end under them, as replicated state

    WHAT IT DOES
        Keeps which requests (by their fingerprint) are quarantined, and for how long. Every change
        raises a number, so that a copy knows whether it is up to date; copies hold fingerprints
        alone.

    FEATURES
        - the same on every replica: bounds and order depend on what was agreed only
        - bounded, and each workspace by itself: one that makes up harmful requests by the thousand
          pushes out its own
        - a quarantine ends with its time, by an operator, or because a copy of the request ended
          well after all

    USE
        1. wg_quarantine* q = wg_quarantine_setup(&(wg_quarantine_desc){0});
        2. wg_quarantine_apply(q, now, &change, &dropped);     // agreed on
        3. wg_quarantine_holds(q, fingerprint);
        4. wg_quarantine_fingerprints(q); at a copy: wg_quarantine_copy(q, change, list, num);

    THE CALLER OWNS
        everything passed in. Entries that are returned are valid until the next change.

    CLOCKS
        Times are those of one process. In messages stands what is left of them.
*/
#include "wg_suspects.h"

#include "walnutgate.pb-c.h"

enum {
    WG_QUARANTINE_MAX_DEFAULT = 256,
    /* A state for copies takes 2 KB at most, and no workspace has more than an eighth of it. */
    WG_QUARANTINE_PER_WORKSPACE_DEFAULT = 32,
    /* Longest time that is believed, a week. Seconds. */
    WG_QUARANTINE_LIFE_MAX_S = 604800
};

/* Why a quarantine ended. */
typedef enum {
    WG_QUARANTINE_END_DEFAULT = 0,
    WG_QUARANTINE_END_TIME,
    WG_QUARANTINE_END_OPERATOR,
    WG_QUARANTINE_END_WELL, /* a copy of the request ended well */
    WG_QUARANTINE_END_NUM
} wg_quarantine_end;

typedef struct {
    uint64_t fingerprint;
    char workspace[WG_NAME_MAX];
    char path[WG_SUSPECT_PATH_MAX];
    int ends; /* targets that ended under it */
    wg_time until;
    bool ended_well;  /* for the caller's use: a copy of it did, which is not agreed on yet */
    wg_time asked_at; /* for the caller's use: when it last asked for the end */
} wg_quarantined;

typedef struct {
    int max;           /* entries; default WG_QUARANTINE_MAX_DEFAULT */
    int per_workspace; /* default WG_QUARANTINE_PER_WORKSPACE_DEFAULT */
} wg_quarantine_desc;

typedef struct wg_quarantine wg_quarantine;

wg_quarantine* wg_quarantine_setup(const wg_quarantine_desc* desc);
void wg_quarantine_shutdown(wg_quarantine* quarantine);
/* Take an agreed change; false when it changes nothing. `dropped` (fingerprint 0: none) is the
   entry that had to give way. */
bool wg_quarantine_apply(wg_quarantine* quarantine, wg_time now, const Wgpb__Quarantine* change,
                         wg_quarantined* dropped);
bool wg_quarantine_holds(const wg_quarantine* quarantine, uint64_t fingerprint);
/* NULL: not quarantined. */
wg_quarantined* wg_quarantine_find(const wg_quarantine* quarantine, uint64_t fingerprint);
/* The first one, the second and so on, oldest first; NULL behind the last. */
wg_quarantined* wg_quarantine_at(const wg_quarantine* quarantine, int at);
int wg_quarantine_num(const wg_quarantine* quarantine);
uint64_t wg_quarantine_change(const wg_quarantine* quarantine);
const char* wg_quarantine_end_name(wg_quarantine_end end);

/* ---- copies ---- */
/* All fingerprints; the caller frees the array. */
uint64_t* wg_quarantine_fingerprints(const wg_quarantine* quarantine);
/* Become a copy of the list that has this change number. */
void wg_quarantine_copy(wg_quarantine* quarantine, uint64_t change, const uint64_t* fingerprints,
                        size_t num);

/* ---- messages ---- */
/* The packed entry borrows the texts. */
void wg_quarantined_pack(const wg_quarantined* entry, wg_time now, Wgpb__Quarantine* out);
/* For snapshots; freed with wgpb__quarantine_state__free_unpacked(). */
Wgpb__QuarantineState* wg_quarantine_dump(const wg_quarantine* quarantine, wg_time now);
/* `state` NULL: of a snapshot that has none. */
void wg_quarantine_load(wg_quarantine* quarantine, wg_time now, const Wgpb__QuarantineState* state);
