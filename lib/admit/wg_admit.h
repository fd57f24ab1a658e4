#pragma once
/*
    wg_admit.h -- fleet-wide admission control for targets, as a pure state machine

    WHAT IT DOES
        Each target has one coordinating entry host. The other hosts request an admission from it
        before they send a prompt to the target. The coordinator knows everything that was admitted
        and not yet processed, so that hosts that decide at the same time do not overload the same
        target. Its answer contains the expected wait of the request.

    FEATURES
        - an account per target: prompt tokens not yet processed, requests in progress
        - tracks which shared parts a target still holds by the tokens admitted since their last
          use, as engines evict the least recently used parts
        - limits the rate of admissions to a cold target
        - learns the speed of a target from the times at which prompts were processed (lib/speed); a
          new coordinator continues from the values that hosts state in their requests
        - detects a target that stalls: the lateness of its oldest unprocessed prompt counts towards
          every expected wait there
        - ejects a target that fails several requests in a row, for periods that grow with each
          failure, unless more than half of all targets are ejected
        - answers are advisory, except for cold targets: a host that receives no answer in time
          decides on its own
        - releases all admissions of a host when its link closes

    USE
        1. wg_admit* a = wg_admit_setup(&(wg_admit_desc){0});
        2. wg_admit_answer answer = wg_admit_decide(a, now, &request);
        3. wg_admit_first_event(a, now, holder, ticket);
           wg_admit_end(a, now, holder, ticket, failed);
        4. wg_admit_release_holder(a, holder);      // the holder's link closed
        5. num = wg_admit_check_stalls(a, now, changes, max);  // each tick

    THE CALLER OWNS
        links, tickets and the choice of coordinators. Requests and answers are plain values.
*/
#include "wg_speed.h"

enum {
    WG_ADMIT_PARTS_MAX = 16,
    WG_ADMIT_TARGETS_MAX_DEFAULT = 4096
};

/* Longest waits in microseconds at which a request is admitted. */
typedef struct {
    wg_time total; /* limit for the complete wait until the first event */
    /* limit for the part of the wait caused by prompts of other requests; 0: never admitted */
    wg_time ahead;
    /* replaces `ahead` when the request's own prompt alone takes longer than `total` */
    wg_time ahead_large;
    bool counts_missing; /* shared parts that the target lacks count towards `ahead` */
} wg_admit_limits;

typedef struct {
    uint64_t holder;                    /* the host that requests the admission */
    uint64_t ticket;                    /* identifies a request of the holder */
    uint32_t target;                    /* number in the registry */
    uint64_t service;                   /* hash of the target's service; 0: not known */
    wg_speed_values speed;              /* as last known to the holder; no samples: not known */
    uint64_t parts[WG_ADMIT_PARTS_MAX]; /* ids of the shared parts, in prompt order */
    uint32_t sizes[WG_ADMIT_PARTS_MAX]; /* tokens */
    int parts_num;
    uint32_t tokens; /* length of the complete prompt */
    uint32_t answer; /* maximum number of answer tokens */
    /* tokens at the start of the prompt that are copied from another target */
    uint32_t copied;
    /* requests that the target may have in progress before this one; 0: any */
    uint32_t running_max;
    int64_t memory;  /* capacity of the target's cache in tokens; 0: not known */
    double rate_max; /* admissions per second, for a cold target; 0: any */
    wg_admit_limits limits;
    uint32_t floor_unread;  /* lower bound on unprocessed tokens while the account is fresh */
    uint32_t floor_running; /* lower bound on requests in progress while the account is fresh */
} wg_admit_request;

typedef struct {
    bool granted;
    wg_time wait;          /* expected wait until the first event */
    wg_time wait_ahead;    /* the part of `wait` caused by prompts of other requests */
    uint32_t unread;       /* prompt tokens of this request that the target has to process */
    uint32_t held;         /* tokens at the start of the prompt that the target holds */
    uint32_t ahead;        /* unprocessed prompt tokens of all hosts before this request */
    uint32_t running;      /* requests of all hosts in progress before this one */
    wg_time late;          /* lateness of the target, a part of both waits */
    wg_speed_values speed; /* learned values of the target; no samples: not known */
    wg_time room;          /* denied: time after which room is expected (lib/hold); 0: not known */
} wg_admit_answer;

/* A target that begins to stall, or has recovered. */
typedef struct {
    uint32_t target;
    bool stalled;
    wg_time late;     /* current lateness */
    wg_time duration; /* recovered: time since the stall was reported */
} wg_admit_stall;

/* Learned values of all targets with samples, and the number of stalled ones. */
typedef struct {
    wg_hist bases;  /* microseconds */
    wg_hist speeds; /* tokens per second */
    int stalled;
} wg_admit_summary;

typedef struct {
    int targets_max; /* accounts kept; default WG_ADMIT_TARGETS_MAX_DEFAULT */
    bool learn_base; /* learn base times and detect stalls; see wg_speed_desc */
} wg_admit_desc;

typedef struct wg_admit wg_admit;

/* True if a request with these waits stays within the limits. */
bool wg_admit_fits(const wg_admit_limits* limits, wg_time wait, wg_time wait_ahead);

wg_admit* wg_admit_setup(const wg_admit_desc* desc);
void wg_admit_shutdown(wg_admit* admit);
/* Decides on a request. A granted request counts until wg_admit_end(), its tokens until
   wg_admit_first_event(). */
wg_admit_answer wg_admit_decide(wg_admit* admit, wg_time now, const wg_admit_request* request);
/* The first event was received: the target has processed the prompt. Ignores an unknown
   admission. */
void wg_admit_first_event(wg_admit* admit, wg_time now, uint64_t holder, uint64_t ticket);
/* The request ended or was never sent. `failed`: the target aborted it or was unreachable. */
void wg_admit_end(wg_admit* admit, wg_time now, uint64_t holder, uint64_t ticket, bool failed);
/* The target reports that it holds these parts; other known parts are kept. */
void wg_admit_record_held_parts(wg_admit* admit, wg_time now, uint32_t target,
                                const uint64_t* parts, int num);
/* Releases all admissions of the holder. */
void wg_admit_release_holder(wg_admit* admit, uint64_t holder);
/* Writes the targets that began to stall or recovered since the last call to `changes`, at most
   `max`; returns their number. Each target changes in either direction at most once a second.
   Without `learn_base` there are none. */
int wg_admit_check_stalls(wg_admit* admit, wg_time now, wg_admit_stall* changes, int max);
/* Adds the learned values of all targets to an empty summary. */
void wg_admit_summarize(const wg_admit* admit, wg_admit_summary* summary);
/* Returns the target of an admission that has not ended; 0 if it is unknown. */
uint32_t wg_admit_target(const wg_admit* admit, uint64_t holder, uint64_t ticket);
/* Returns the number of admissions that have not ended. */
int wg_admit_num(const wg_admit* admit);
