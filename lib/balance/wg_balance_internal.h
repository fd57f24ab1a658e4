#pragma once
/* wg_balance_internal.h -- state shared by the files of lib/balance; not installed */
#include "wg_acceptance.h"
#include "wg_balance.h"

enum {
    WG_RANKED_MAX = 6 /* targets kept per ranking: two homes and fallbacks for failures */
};

typedef struct {
    uint32_t number;
    uint64_t id_hash;
    const wg_backoff* backoff; /* borrowed from wg_balance_desc; may be NULL */
    uint64_t key;              /* key of this incarnation in `backoff` */
    char service[WG_NAME_MAX];
    char version[WG_NAME_MAX]; /* of its software */
    bool listed; /* in the list of its service; false: only requests in progress are left */
    bool ready;
    bool draining;
    bool replaced;   /* another incarnation answers at this target's address */
    uint64_t change; /* change number of the registry record */
    bool local;
    uint32_t slots;
    uint32_t own_unread;
    uint32_t own_running;
    uint32_t other_unread;
    uint32_t other_running;
    uint32_t recent_unread; /* recent prompt tokens of other hosts, decaying with each report */
    wg_time reported_at;    /* when the coordinator last reported the load; 0: never */
    wg_speed speed;         /* of processing prompts */
    bool speed_reported;    /* `speed` was reported by the coordinator */
    wg_time late;           /* lateness that the coordinator reported at `late_at` */
    wg_time late_at;
    double service_time; /* microseconds for one request without a prompt that does not queue */
    wg_acceptance acceptance;
    int failures;
    wg_time ejected_until;
    GHashTable* cached; /* part id -> wg_time*, when the part was last sent to the target */
} wg_balance_target;

/* The targets of a service that rank highest for one part, whatever their state. */
typedef struct {
    uint64_t part;
    /* Targets of all data centres and of this host's own; highest rank first, then NULL. */
    wg_balance_target* best[WG_RANKED_MAX];
    wg_balance_target* local[WG_RANKED_MAX];
} wg_balance_ranking;

typedef struct {
    char name[WG_NAME_MAX];
    GPtrArray* targets;   /* wg_balance_target* */
    int ready;            /* targets in this list that are ready */
    bool has_room;        /* at `room_at`, at least half of them had nothing in progress */
    wg_time room_at;      /* 0: not counted yet */
    GHashTable* rankings; /* part id -> wg_balance_ranking* */
} wg_balance_service;

/* Homes of a prefix: the two highest-ranked targets that are up, and a draining one that ranks
   above both. */
typedef struct {
    const wg_balance_target* first;
    const wg_balance_target* second;
    const wg_balance_target* draining_home;
    /* Highest-ranked target in this data centre, if a copy there pays off; or NULL. */
    const wg_balance_target* local;
    uint32_t local_penalty; /* penalty in tokens for the chance that `local` lacks the prefix */
} wg_balance_homes;

/* True if the target could be sent the request, disregarding backoff. */
bool wg_balance_is_eligible(const wg_balance_target* target, const wg_balance_request* request);
/* True if the target may be sent the request now. */
bool wg_balance_accepts(const wg_balance_target* target, wg_time now,
                        const wg_balance_request* request);
void wg_balance_service_free(void* service);
/* Enters a new target of the service into its cached rankings. */
void wg_balance_rankings_add(wg_balance_service* service, wg_balance_target* target);
/* Drops the cached rankings that list a target which leaves the service. */
void wg_balance_rankings_remove(wg_balance_service* service, wg_balance_target* target);
/* Finds the homes of the prefix that ends with `part`; none if `part` is 0. */
wg_balance_homes wg_balance_find_homes(wg_balance_service* service, wg_time now,
                                       const wg_balance_request* request, uint64_t part);
