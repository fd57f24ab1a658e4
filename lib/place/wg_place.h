#pragma once
/*
    wg_place.h -- which target a router gives its next request to

    WHAT IT DOES
        Keeps, on one router, what is known of each target: leased slots, own requests, load as
   lately reported, health, whether it is leaving, and which prompt prefixes it may have cached.
   Pure.

    FEATURES
        - only leased slots are used, and only until the lease ends; urgent requests may go one
          reserve beyond
        - reported load lags: what was sent since the report is added
        - a target that fails is put aside for growing, jittered times and let back by one request
        - a target that asked for rest is left alone until it is over; its slots but one go back
        - leaving once seen is not unseen by an older host list; a list that vanishes changes
   nothing
        - prefix affinity is a hint: it gives way to load beyond a tolerance

    USE
        1. wgp_place* p = wgp_setup(&(wgp_desc){.seed = s}, &error);
        2. wgp_config_begin(p); wgp_config_target(...); wgp_config_end(p);
        3. wgp_add_slots(p, target, num); wgp_set_quota(p, service, most); wgp_set_lease(p, until);
        4. if (wgp_pick(p, now, &(wgp_request){.service = id}, &choice)) wgp_sent(p, &choice);
        5. wgp_done(p, now, &choice, WGP_RESULT_GOOD);
        6. wgp_shutdown(p);

    THE CALLER OWNS
        everything passed in. Targets are named by their row id.
*/
#include "wg_backoff.h"

enum {
    WGP_TARGETS_DEFAULT = 1024,
    WGP_PREFIXES_DEFAULT = 8192,
    WGP_FAILURES_DEFAULT = 3, /* failures in a row that put a target aside */
    WGP_ASIDE_MIN_DEFAULT = 500 * WG_USEC_PER_MSEC,
    WGP_ASIDE_MAX_DEFAULT = 30 * WG_USEC_PER_SEC,
    WGP_RESERVE_DEFAULT = 1, /* urgent requests beyond the leases, per service */
    WGP_SERVICES_MAX = 32,
    WGP_TOLERANCE_PERCENT = 25 /* load that a cached prefix may cost, percent of slots */
};

typedef struct {
    uint64_t seed;
    int targets_max;
    int prefixes_max;
    int failures;
    wg_time aside_min;
    wg_time aside_max;
    wg_time rest_max; /* longest rest that a target may ask for; 0: wg_backoff's default */
    int reserve;
    char data_centre[WG_NAME_MAX];
} wgp_desc;

typedef struct {
    uint32_t service;
    bool urgent;
    uint64_t prefix;     /* hash of the prompt's start; 0: none */
    uint32_t not_target; /* where the last attempt failed; 0: none */
} wgp_request;

/* Where a request goes. */
typedef struct {
    uint32_t target; /* 0: none */
    bool reserve;    /* beyond the leased slots */
} wgp_choice;

typedef enum {
    WGP_RESULT_DEFAULT = 0,
    WGP_RESULT_GOOD,
    WGP_RESULT_BAD,       /* refused, cut off, timed out, or 5xx of its own */
    WGP_RESULT_CANCELLED, /* ended by us; says nothing about its health */
    WGP_RESULT_NUM
} wgp_result;

/* What changed for the caller's log. */
typedef enum {
    WGP_EVENT_DEFAULT = 0,
    WGP_EVENT_ASIDE,
    WGP_EVENT_BACK,
    WGP_EVENT_LEAVING,
    WGP_EVENT_RESTS,
    WGP_EVENT_NUM
} wgp_event;

typedef struct {
    uint32_t id;
    uint32_t service;
    int slots;
    int leased;
    int in_use;
    int reported; /* its own count when it last said */
    bool leaving;
    wg_time aside_until; /* 0: healthy */
    bool rested;         /* it asked for rest and has served nothing here since it was over */
    uint64_t requests;
    uint64_t failures;
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX];
    char data_centre[WG_NAME_MAX];
} wgp_target_info;

typedef struct {
    uint64_t picks;
    uint64_t prefix_hits;
    uint64_t prefix_overruled; /* a cached prefix lost against load, health or leaving */
    uint64_t reserve_picks;
    int targets;
} wgp_stats;

typedef struct wgp_place wgp_place;

/* NULL with an error (WG_ERROR_INVALID) when a field of `desc` is wrong. */
wgp_place* wgp_setup(const wgp_desc* desc, GError** error);
void wgp_shutdown(wgp_place* place);

/* Begin a new list of targets; one that is not named until wgp_config_end() is dropped. */
void wgp_config_begin(wgp_place* place);
/* `version`: of the table row; a newer one may end "leaving". */
bool wgp_config_target(wgp_place* place, uint32_t id, uint32_t service, const char* name,
                       const char* address, const char* data_centre, int slots, bool leaving,
                       uint64_t version);
void wgp_config_end(wgp_place* place);

/* More leased slots of a target, and until when all leases of this router hold. */
void wgp_add_slots(wgp_place* place, uint32_t target, int num);
void wgp_set_lease(wgp_place* place, wg_time until);
/* Slots of a service held beyond `most` are given back as they fall idle. */
void wgp_set_quota(wgp_place* place, uint32_t service, uint32_t most);
/* All leases ended. */
void wgp_clear_slots(wgp_place* place);
/* Whether slots were given back, or a target put aside or taken back, since this was last asked. */
bool wgp_take_given_back(wgp_place* place);

/* Whether a request of the service could start now. `reserve`: as an urgent one. */
bool wgp_has_room(const wgp_place* place, wg_time now, uint32_t service, bool reserve);
bool wgp_pick(wgp_place* place, wg_time now, const wgp_request* request, wgp_choice* choice);
/* A request went to the target; every wgp_sent() is followed by one wgp_done(). */
void wgp_sent(wgp_place* place, const wgp_choice* choice);
wgp_event wgp_done(wgp_place* place, wg_time now, const wgp_choice* choice, wgp_result result);
/* The target said how much it works on (its own count, all routers). */
void wgp_note_load(wgp_place* place, uint32_t target, int running);
/* The target said that it leaves (in an answer of its own). */
wgp_event wgp_note_leaving(wgp_place* place, uint32_t target);
/* The target has answered; `unix_time` in seconds. Only the rest that it asks for counts here. */
wgp_event wgp_note_answer(wgp_place* place, wg_time now, uint32_t target,
                          const wg_backoff_wish* wish, int64_t unix_time);
/* One line of the platform's host list, of version `list_version`. */
wgp_event wgp_note_host(wgp_place* place, const char* address, bool leaving, uint64_t list_version);
/* A prefix was worked on at a target; or the target said that it dropped it. */
void wgp_note_prefix(wgp_place* place, uint64_t prefix, uint32_t target);
void wgp_forget_prefix(wgp_place* place, uint64_t prefix, uint32_t target);

/* Whether a request that is placed may still go to the target: it neither leaves nor rests. */
bool wgp_may_send(const wgp_place* place, wg_time now, uint32_t target);
/* Whether a target takes new work: known, not leaving, not resting, not aside. */
bool wgp_is_usable(const wgp_place* place, wg_time now, uint32_t target);
/* When the first target of a service is back, if all of them that do not leave rest; 0: one does
   not, or there is none. */
wg_time wgp_back_at(const wgp_place* place, wg_time now, uint32_t service);
/* Target at position 0..n-1; false past the end. */
bool wgp_query_target(const wgp_place* place, int i, wgp_target_info* info);
bool wgp_query_target_id(const wgp_place* place, uint32_t id, wgp_target_info* info);
/* Free leased slots of a service. */
int wgp_query_free(const wgp_place* place, wg_time now, uint32_t service);
wgp_stats wgp_query_stats(const wgp_place* place);
