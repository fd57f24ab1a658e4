#pragma once
/*
    wg_place.h -- picks the target of a router's next request

    WHAT IT DOES
        Keeps, on one router, what is known of each target: leased slots, own requests, last
        reported load, health, whether it is draining, and which prompt prefixes it may have cached.
        Pure.

    FEATURES
        - uses only leased slots, and only until the lease ends; urgent requests may exceed them by
          a reserve per service
        - the reported load lags, so requests sent since the last report are added to it
        - a target that recently refused most requests is tried again by a few only, unless all
          targets of its service do
        - ejects a target after consecutive failures, for growing, jittered times; a single probe
          request decides whether it returns
        - sends nothing to a target in a backoff period, and releases its idle slots but one
        - an older host list cannot revoke draining, and a host list that is unavailable changes
          nothing
        - prefix affinity is a preference: it yields to load beyond a tolerance
        - a stream that goes on prefers targets of the software version that began it, as far as
          their answers have told theirs

    USE
        1. wgp_place* p = wgp_setup(&(wgp_desc){.seed = s}, &error);
        2. wgp_config_begin(p); wgp_config_target(...); wgp_config_end(p);
        3. wgp_add_slots(p, target, num); wgp_set_quota(p, service, max); wgp_set_lease(p, until);
        4. if (wgp_pick(p, now, &(wgp_request){.service = id}, &choice)) wgp_sent(p, &choice);
        5. wgp_done(p, now, &choice, WGP_RESULT_SUCCESS);
        6. wgp_shutdown(p);

    THE CALLER OWNS
        all arguments. Targets are identified by their row id.
*/
#include "wg_backoff.h"

enum {
    WGP_TARGETS_DEFAULT = 1024,
    WGP_PREFIXES_DEFAULT = 8192,
    WGP_FAILURES_DEFAULT = 3, /* consecutive failures that eject a target */
    WGP_EJECTION_MIN_DEFAULT = 500 * WG_USEC_PER_MSEC,
    WGP_EJECTION_MAX_DEFAULT = 30 * WG_USEC_PER_SEC,
    WGP_RESERVE_DEFAULT = 1, /* urgent requests beyond the leased slots, per service */
    WGP_SERVICES_MAX = 32,
    WGP_TOLERANCE_PERCENT = 25 /* extra load accepted for a cached prefix, percent of slots */
};

typedef struct {
    uint64_t seed;
    int targets_max;
    int prefixes_max;
    int failures;
    wg_time ejection_min;
    wg_time ejection_max;
    wg_time backoff_max; /* longest backoff that a target may request; 0: default of wg_backoff */
    int reserve;
    char data_centre[WG_NAME_MAX];
} wgp_desc;

typedef struct {
    uint32_t service;
    bool urgent;
    uint64_t prefix;     /* hash of the prompt's first bytes; 0: none */
    uint32_t not_target; /* target of the last attempt, picked only without alternative; 0: none */
    const char* version; /* software version at which the stream began; NULL: none has begun */
} wgp_request;

/* Result of a pick. */
typedef struct {
    uint32_t target; /* 0: none */
    bool reserve;    /* the request exceeds the leased slots */
} wgp_choice;

typedef enum {
    WGP_RESULT_DEFAULT = 0,
    WGP_RESULT_SUCCESS,
    WGP_RESULT_FAILED,    /* connection refused or aborted, timeout, or 5xx from the target */
    WGP_RESULT_REFUSED,   /* the target reported that it did not run the request */
    WGP_RESULT_CANCELLED, /* ended by the router; no evidence of the target's health */
    WGP_RESULT_NUM
} wgp_result;

/* State change of a target, for the caller's log. */
typedef enum {
    WGP_EVENT_DEFAULT = 0,
    WGP_EVENT_EJECTED,
    WGP_EVENT_RESTORED,
    WGP_EVENT_DRAINING,
    WGP_EVENT_BACKOFF,
    WGP_EVENT_NUM
} wgp_event;

typedef struct {
    uint32_t id;
    uint32_t service;
    int slots;
    int leased;
    int in_use;
    int reported; /* running requests as last reported by the target, all routers */
    bool draining;
    wg_time ejected_until; /* when the next probe may be sent; 0: not ejected */
    bool backed_off; /* requested backoff and has not served this router since the period ended */
    uint64_t requests;
    uint64_t failures;
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX];
    char data_centre[WG_NAME_MAX];
} wgp_target_info;

typedef struct {
    uint64_t picks;
    uint64_t prefix_hits;
    uint64_t prefix_overruled; /* cached target not picked because of load, health or draining */
    uint64_t reserve_picks;
    int targets;
} wgp_stats;

typedef struct wgp_place wgp_place;

/* NULL with an error (WG_ERROR_INVALID) when a field of `desc` is wrong. */
wgp_place* wgp_setup(const wgp_desc* desc, GError** error);
void wgp_shutdown(wgp_place* place);

/* Begins a new list of targets; targets not configured before wgp_config_end() are removed. */
void wgp_config_begin(wgp_place* place);
/* `version`: version of the table row; a newer row may end draining. False when
   `targets_max` targets are in use. */
bool wgp_config_target(wgp_place* place, uint32_t id, uint32_t service, const char* name,
                       const char* address, const char* data_centre, int slots, bool draining,
                       uint64_t version);
void wgp_config_end(wgp_place* place);

/* Adds leased slots of a target. */
void wgp_add_slots(wgp_place* place, uint32_t target, int num);
/* Sets the end of all slot leases of this router. */
void wgp_set_lease(wgp_place* place, wg_time until);
/* Limits the leased slots of a service; slots beyond the quota are released as they become idle. */
void wgp_set_quota(wgp_place* place, uint32_t service, uint32_t max);
/* Drops all slots and quotas, after the leases ended. */
void wgp_clear_slots(wgp_place* place);
/* Whether slots were released, or a target was ejected or restored, since the last call. */
bool wgp_take_report_due(wgp_place* place);

/* Whether a request of the service could start now. `reserve`: whether an urgent one could. */
bool wgp_has_room(const wgp_place* place, wg_time now, uint32_t service, bool reserve);
bool wgp_pick(wgp_place* place, wg_time now, const wgp_request* request, wgp_choice* choice);
/* Records that a request was sent; every wgp_sent() must be followed by one wgp_done(). */
void wgp_sent(wgp_place* place, const wgp_choice* choice);
wgp_event wgp_done(wgp_place* place, wg_time now, const wgp_choice* choice, wgp_result result);
/* Updates the number of requests that the target reports as running, for all routers. */
void wgp_update_load(wgp_place* place, uint32_t target, int running);
/* Records the software version that the target stated in an answer; "": it stated none. */
void wgp_record_version(wgp_place* place, uint32_t target, const char* version);
/* Whether a stream that began at `version`, NULL: none has begun, may go on at the target, as far
   as is known. */
bool wgp_has_version(const wgp_place* place, uint32_t target, const char* version);
/* Records that the target announced in an answer that it is draining. */
wgp_event wgp_record_draining(wgp_place* place, uint32_t target);
/* Applies the backoff hint of an answer; `unix_time` in seconds. Its draining flag is ignored. */
wgp_event wgp_record_answer(wgp_place* place, wg_time now, uint32_t target,
                            const wg_backoff_hint* hint, int64_t unix_time);
/* Applies one entry of the platform's host list of version `list_version`. */
wgp_event wgp_update_host(wgp_place* place, const char* address, bool draining,
                          uint64_t list_version);
/* Records that a target processed a prefix. */
void wgp_record_prefix(wgp_place* place, uint64_t prefix, uint32_t target);
/* Records that a target dropped a prefix from its cache. */
void wgp_forget_prefix(wgp_place* place, uint64_t prefix, uint32_t target);

/* Whether a request that was already picked may still be sent: the target is configured, not
   draining and not in backoff. */
bool wgp_may_send(const wgp_place* place, wg_time now, uint32_t target);
/* Whether a target accepts new requests: configured, not draining, not in backoff, and
   not ejected or due for a probe. */
bool wgp_is_usable(const wgp_place* place, wg_time now, uint32_t target);
/* Earliest end of a backoff period when all targets of a service that are not draining are in
   backoff; 0 when one is not, or when there is no such target. */
wg_time wgp_backoff_ends_at(const wgp_place* place, wg_time now, uint32_t service);
/* Target at index `i`; false past the end. */
bool wgp_query_target(const wgp_place* place, int i, wgp_target_info* info);
bool wgp_query_target_id(const wgp_place* place, uint32_t id, wgp_target_info* info);
/* Free leased slots at usable targets of a service. */
int wgp_query_free(const wgp_place* place, wg_time now, uint32_t service);
wgp_stats wgp_query_stats(const wgp_place* place);
