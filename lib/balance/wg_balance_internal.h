#pragma once
/* wg_balance_internal.h -- state shared by the files of lib/balance; not installed */
#include "wg_balance.h"

enum {
    WG_RANKED = 6 /* targets kept in a ranking: two homes, and some that fail or leave */
};

typedef struct {
    uint32_t number;
    uint64_t id_hash;
    const wg_backoff* backoff; /* of the desc */
    uint64_t key;              /* of this start, for `backoff` */
    char service[WG_NAME_MAX];
    bool ready;
    bool draining;
    bool moved;      /* another incarnation answers at its address */
    uint64_t change; /* of its record */
    bool near;
    uint32_t slots;
    uint32_t own_unread;
    uint32_t own_running;
    uint32_t other_unread;
    uint32_t other_running;
    uint32_t lately_unread; /* of others, fading */
    wg_time told_at;        /* loads were told by the target's coordinator; 0: never */
    double speed;           /* prompt tokens read in a microsecond */
    double work; /* microseconds of one request without a prompt, when it need not wait */
    int failures;
    wg_time aside_until;
    GHashTable* cached; /* part -> wg_time* when it was last sent there */
} wg_balance_target;

/* The targets of a service that rank highest for one part, whatever their state. */
typedef struct {
    uint64_t part;
    wg_balance_target* best[WG_RANKED]; /* highest rank first; NULL behind the last */
    wg_balance_target* near[WG_RANKED]; /* the same, in this host's data centre */
} wg_balance_ranking;

/* Targets of one service. */
typedef struct {
    char name[WG_NAME_MAX];
    GPtrArray* targets;   /* wg_balance_target* */
    int ready;            /* of them */
    GHashTable* rankings; /* part -> wg_balance_ranking* */
} wg_balance_service;

/* Homes of a prefix: the two targets of highest rank among those that are up, and one that drains,
   whose rank is higher still. */
typedef struct {
    const wg_balance_target* first;
    const wg_balance_target* second;
    const wg_balance_target* leaving;
    const wg_balance_target* near; /* of highest rank here, where it is worth a copy; or NULL */
    uint32_t near_extra; /* what it costs, in tokens, that the near one often lacks the prefix */
} wg_balance_homes;

/* Could the target be sent the request if it does not rest? */
bool wg_balance_is_there(const wg_balance_target* target, const wg_need* need);
/* May the target be sent the request at all? */
bool wg_balance_takes(const wg_balance_target* target, wg_time now, const wg_need* need);
void wg_balance_service_free(void* service);
/* Homes of the prefix that ends with `part`; none when it is 0. */
wg_balance_homes wg_balance_find_homes(wg_balance_service* service, wg_time now,
                                       const wg_need* need, uint64_t part);
