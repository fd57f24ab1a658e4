#pragma once
/*
    wg_quarantine.h -- requests that are refused because targets crash on them, as replicated state

    WHAT IT DOES
        Keeps which requests (by their fingerprint) are quarantined, and for how long. Every change
        increments a change number, by which a copy knows whether it is up to date; copies hold
        fingerprints only.

    FEATURES
        - deterministic on every replica: limits and order depend on agreed changes only
        - bounded, also per workspace: a workspace that creates many harmful requests evicts its own
          entries
        - a quarantine ends by its expiry, by an operator, or because a copy of the request ended
          well

    USE
        1. wg_quarantine* q = wg_quarantine_setup(&(wg_quarantine_desc){0});
        2. wg_quarantine_apply(q, now, &change, &dropped);     // an agreed change
        3. wg_quarantine_contains(q, fingerprint);
        4. wg_quarantine_fingerprints(q); at a copy: wg_quarantine_copy(q, change, list, num);

    THE CALLER OWNS
        everything passed in. Returned entries are valid until the next change.

    CLOCKS
        Times are local to one process. Messages carry the remaining time instead.
*/
#include "wg_suspects.h"

#include "walnutgate.pb-c.h"

enum {
    WG_QUARANTINE_MAX_DEFAULT = 256, /* bounds the list that copies receive */
    /* An eighth of the entries, so that one workspace cannot fill the quarantine. */
    WG_QUARANTINE_PER_WORKSPACE_DEFAULT = 32,
    /* Upper limit of the duration in a message, one week. Seconds. */
    WG_QUARANTINE_DURATION_MAX_S = 604800
};

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
    int crashes_num; /* number of targets that crashed while they had the request */
    wg_time until;
    bool ended_well; /* for use by the caller: a copy of the request ended well, not agreed yet */
    wg_time proposed_at; /* for use by the caller: last proposal to end the quarantine */
} wg_quarantined;

typedef struct {
    int max; /* maximum number of entries; default WG_QUARANTINE_MAX_DEFAULT */
    /* maximum number of entries per workspace; default WG_QUARANTINE_PER_WORKSPACE_DEFAULT */
    int per_workspace;
} wg_quarantine_desc;

typedef struct wg_quarantine wg_quarantine;

wg_quarantine* wg_quarantine_setup(const wg_quarantine_desc* desc);
void wg_quarantine_shutdown(wg_quarantine* quarantine);
/* Applies an agreed change; false if it changes nothing. `dropped` is set to the entry that was
   evicted (fingerprint 0: none). */
bool wg_quarantine_apply(wg_quarantine* quarantine, wg_time now, const Wgpb__Quarantine* change,
                         wg_quarantined* dropped);
bool wg_quarantine_contains(const wg_quarantine* quarantine, uint64_t fingerprint);
/* Returns NULL if the request is not quarantined. */
wg_quarantined* wg_quarantine_find(const wg_quarantine* quarantine, uint64_t fingerprint);
/* Returns the entry at index `at`, oldest first; NULL after the last. */
wg_quarantined* wg_quarantine_at(const wg_quarantine* quarantine, int at);
int wg_quarantine_num(const wg_quarantine* quarantine);
uint64_t wg_quarantine_change(const wg_quarantine* quarantine);
const char* wg_quarantine_end_name(wg_quarantine_end end);

/* ---- copies ---- */
/* Returns all fingerprints; the caller frees the array. */
uint64_t* wg_quarantine_fingerprints(const wg_quarantine* quarantine);
/* Replaces all entries by the fingerprints, as of this change number. */
void wg_quarantine_copy(wg_quarantine* quarantine, uint64_t change, const uint64_t* fingerprints,
                        size_t num);

/* ---- messages ---- */
/* Packs an entry; `out` borrows its texts. */
void wg_quarantined_pack(const wg_quarantined* entry, wg_time now, Wgpb__Quarantine* out);
/* Returns a snapshot; freed with wgpb__quarantine_state__free_unpacked(). */
Wgpb__QuarantineState* wg_quarantine_dump(const wg_quarantine* quarantine, wg_time now);
/* Loads a snapshot. `state` is NULL if the snapshot contains no quarantine. */
void wg_quarantine_load(wg_quarantine* quarantine, wg_time now, const Wgpb__QuarantineState* state);
