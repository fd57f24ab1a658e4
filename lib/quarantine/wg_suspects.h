#pragma once
/*
    wg_suspects.h -- requests in progress at targets that crashed, as a pure state machine

    WHAT IT DOES
        Counts for each request (by its fingerprint) the targets that crashed while they had it,
        until it is due for quarantine. This separates requests that crash targets from requests
        that were merely present. An entry host keeps the evidence it saw itself, the leader the
        evidence of all hosts.

    FEATURES
        - a target counts once for a request, however many copies of the request it had
        - a crash before the first event of the answer has more weight: two such crashes make a
          request due, otherwise three
        - a request that ended well (with a complete answer) is not a suspect, and cannot become
          one for some time, since a request that crashes targets never ends well; this clears
          requests that were merely running on many targets when these crashed
        - the same for parts of prompts, by fingerprints of their own; as requests with a part
          differ, one short answer on it shows little
        - bounded: beyond the limit the oldest suspect of the workspace with the most suspects is
          evicted

    USE
        1. wg_suspects* s = wg_suspects_setup(&(wg_suspects_desc){0});
        2. wg_suspect* suspect = wg_suspects_add(s, now, &crash);
           if (suspect && wg_suspect_is_due(suspect)) { quarantine the request }
        3. wg_suspects_clear(s, now, fingerprint);       // a copy of it ended well
        4. wg_suspects_crashes(s);                       // all evidence, to send to the leader

    THE CALLER OWNS
        everything passed in. A returned suspect is valid until the next change.
*/
#include "wg_base.h"

enum {
    WG_SUSPECTS_MAX_DEFAULT = 1024,
    /* Seconds until a suspect expires. Requests repeated less often than this are not caught. */
    WG_SUSPECT_LIFETIME_DEFAULT_S = 600,
    /* Seconds for which a request that ended well is no suspect. Covers the time in which callers
       repeat a request. Longer would protect one that crashes a new release of its targets. */
    WG_SUSPECT_CLEARED_DEFAULT_S = 30,
    WG_SUSPECT_PATH_MAX = 96, /* bytes including the terminating zero; longer paths are truncated */
    WG_SUSPECT_TARGETS_MAX = 3
};

/* A target that crashed while it had a request. */
typedef struct {
    uint64_t fingerprint;
    uint32_t target; /* number in the registry, one incarnation of a target */
    bool early;      /* the target had begun the request and had sent no event */
    char workspace[WG_NAME_MAX];
    char path[WG_SUSPECT_PATH_MAX];
} wg_crash;

typedef struct {
    uint64_t fingerprint;
    char workspace[WG_NAME_MAX];
    char path[WG_SUSPECT_PATH_MAX];
    uint32_t targets[WG_SUSPECT_TARGETS_MAX]; /* numbers of targets that crashed */
    bool early[WG_SUSPECT_TARGETS_MAX];
    int targets_num;
    int weight;
    wg_time last_crash_at;
    wg_time proposed_at; /* for use by the caller: when it last proposed a quarantine */
} wg_suspect;

typedef struct {
    int max;          /* maximum number of suspects; default WG_SUSPECTS_MAX_DEFAULT */
    wg_time lifetime; /* microseconds after the last crash; default WG_SUSPECT_LIFETIME_DEFAULT_S */
    /* microseconds for which a request that ended well is no suspect; default
       WG_SUSPECT_CLEARED_DEFAULT_S */
    wg_time cleared_time;
} wg_suspects_desc;

typedef struct wg_suspects wg_suspects;

wg_suspects* wg_suspects_setup(const wg_suspects_desc* desc);
void wg_suspects_shutdown(wg_suspects* suspects);
/* Adds evidence and returns the updated suspect; NULL if the request recently ended well. */
wg_suspect* wg_suspects_add(wg_suspects* suspects, wg_time now, const wg_crash* crash);
/* True if there is enough evidence to quarantine the request. */
bool wg_suspect_is_due(const wg_suspect* suspect);
/* Returns NULL if the request is not a suspect. */
wg_suspect* wg_suspects_find(const wg_suspects* suspects, uint64_t fingerprint);
/* Records that a copy of the request ended well. True if it was a suspect. */
bool wg_suspects_clear(wg_suspects* suspects, wg_time now, uint64_t fingerprint);
/* Records an answer that was over while its target was still at the beginning, where a crash was to
   be expected. Several without a crash between them clear as wg_suspects_clear(); true then. */
bool wg_suspects_record_short_end(wg_suspects* suspects, wg_time now, uint64_t fingerprint);
bool wg_suspects_ended_well(const wg_suspects* suspects, wg_time now, uint64_t fingerprint);
/* Drops the evidence against the request without recording that it ended well. */
void wg_suspects_remove(wg_suspects* suspects, uint64_t fingerprint);
/* Drops expired suspects. */
void wg_suspects_tick(wg_suspects* suspects, wg_time now);
int wg_suspects_num(const wg_suspects* suspects);
/* Returns all suspects, wg_suspect*, in no particular order; the caller frees the list only. */
GPtrArray* wg_suspects_list(const wg_suspects* suspects);
/* Returns all evidence, wg_crash; the caller unrefs the array. */
GArray* wg_suspects_crashes(const wg_suspects* suspects);
