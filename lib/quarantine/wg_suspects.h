#pragma once
/*
    wg_suspects.h -- requests that were under way at targets that ended, as a pure state machine

    WHAT IT DOES
        Counts for each request (by its fingerprint) the targets that ended while they had it, until
        it is due to be quarantined: one request that ends targets is told from those that were only
        there. An entry host keeps one of what it saw itself, the leader one of what all hosts saw.

    FEATURES
        - a target counts once for a request, however many copies of it were there
        - a target that had just begun the request, and had sent no event of its answer, weighs
   more: a request that ends targets when they begin it is due after two ends, any other after three
        - a request that ended well is no suspect, and cannot become one for a while: one that ends
          targets never ends well. What ran on half of all targets when they ended is cleared so.
        - bounded: beyond the limit the oldest suspect of the workspace that has most of them goes

    USE
        1. wg_suspects* s = wg_suspects_setup(&(wg_suspects_desc){0});
        2. if (wg_suspects_add(s, now, &crash) != NULL && wg_suspect_is_due(suspect)) { quarantine }
        3. wg_suspects_clear(s, now, fingerprint);       // a copy of it ended well
        4. wg_suspects_crashes(s, now);                  // all that is known, for another book

    THE CALLER OWNS
        everything passed in. A suspect that is returned is valid until the next call that changes
        the book.
*/
#include "wg_base.h"

enum {
    WG_SUSPECTS_MAX_DEFAULT = 1024,
    /* A request that comes seldom is caught too; longer than that between its copies it ends a
       target each time. Seconds. */
    WG_SUSPECT_LIFE_DEFAULT_S = 600,
    /* A request that ended well so lately is not what ends targets. Seconds: callers that repeat a
       request keep to less; longer would spare one that a new release of its targets cannot bear.
     */
    WG_SUSPECT_CLEARED_DEFAULT_S = 30,
    WG_SUSPECT_PATH_MAX = 96, /* bytes with the final zero; longer paths are cut off */
    WG_SUSPECT_TARGETS_MAX = 3
};

/* A target that ended while it had a request. */
typedef struct {
    uint64_t fingerprint;
    uint32_t target; /* number in the registry: one start of a target */
    bool early;      /* it had begun to answer, and had sent no event */
    char workspace[WG_NAME_MAX];
    char path[WG_SUSPECT_PATH_MAX];
} wg_crash;

typedef struct {
    uint64_t fingerprint;
    char workspace[WG_NAME_MAX];
    char path[WG_SUSPECT_PATH_MAX];
    uint32_t targets[WG_SUSPECT_TARGETS_MAX]; /* that ended */
    bool early[WG_SUSPECT_TARGETS_MAX];
    int targets_num;
    int weight;
    wg_time seen_at;  /* the last end */
    wg_time asked_at; /* for the caller's use: when it last asked for a quarantine */
} wg_suspect;

typedef struct {
    int max;              /* suspects; default WG_SUSPECTS_MAX_DEFAULT */
    wg_time life;         /* microseconds after its last end; default WG_SUSPECT_LIFE_DEFAULT_S */
    wg_time cleared_time; /* microseconds; default WG_SUSPECT_CLEARED_DEFAULT_S */
} wg_suspects_desc;

typedef struct wg_suspects wg_suspects;

wg_suspects* wg_suspects_setup(const wg_suspects_desc* desc);
void wg_suspects_shutdown(wg_suspects* suspects);
/* Take evidence; the suspect as it stands then, or NULL when the request ended well lately. */
wg_suspect* wg_suspects_add(wg_suspects* suspects, wg_time now, const wg_crash* crash);
/* Is the evidence enough? */
bool wg_suspect_is_due(const wg_suspect* suspect);
/* NULL: nothing is known of it. */
wg_suspect* wg_suspects_find(const wg_suspects* suspects, uint64_t fingerprint);
/* A copy of the request ended well. True when it was a suspect. */
bool wg_suspects_clear(wg_suspects* suspects, wg_time now, uint64_t fingerprint);
bool wg_suspects_ended_well(const wg_suspects* suspects, wg_time now, uint64_t fingerprint);
/* Begin anew with the request, which did not end well. */
void wg_suspects_forget(wg_suspects* suspects, uint64_t fingerprint);
/* Drop suspects whose life is over. */
void wg_suspects_tick(wg_suspects* suspects, wg_time now);
int wg_suspects_num(const wg_suspects* suspects);
/* All suspects, wg_suspect*, in no order; the caller frees the list alone. */
GPtrArray* wg_suspects_list(const wg_suspects* suspects);
/* All evidence that is kept, wg_crash; the caller unrefs it. */
GArray* wg_suspects_crashes(const wg_suspects* suspects);
