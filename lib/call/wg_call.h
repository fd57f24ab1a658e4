#pragma once
/*
    wg_call.h -- one request's life at a router, as a pure state machine

    WHAT IT DOES
        Decides what happens next to a request: claim, send, try again, resume, answer. The caller
        tells it events; each event returns one action. The verdict follows from what was seen.

    FEATURES
        - verdict not-run only when no byte of the request can have reached a target that could act
          on it, or the target said so itself
        - a request that may not be repeated is claimed by its key before its first byte leaves, and
   is never sent again once a byte left
        - retries draw on a budget per service (a share of first attempts) and wait with jitter
        - a stream cut off by its target goes on at another where the service allows it, from the
          last whole token
        - events of an attempt that was given up are ignored: each carries its attempt number

    USE
        1. wgc_begin(&call, &(wgc_desc){.now = now, .deadline = d, .repeatable = true});
        2. action = wgc_step(&call, now, &(wgc_event){.type = WGC_EVENT_SLOT});
        3. do what action.type says; go on until WGC_ACTION_ANSWER or WGC_ACTION_DONE.

    THE CALLER OWNS
        the call struct (plain data, no clean-up) and the budget.
*/
#include "wg_base.h"

enum {
    WGC_ATTEMPTS_MAX = 4, /* sends of one request, resumes included */
    WGC_RETRY_WAIT_MIN = 10 * WG_USEC_PER_MSEC,
    WGC_RETRY_WAIT_MAX = 500 * WG_USEC_PER_MSEC,
    WGC_BUDGET_MOST = 20 /* retries that a quiet service may save up */
};

/* Retries a service may still make, in hundredths. */
typedef struct {
    int64_t hundredths;
    uint64_t first_attempts;
    uint64_t retries;
    uint64_t refused;
} wgc_budget;

typedef enum {
    WGC_STATE_DEFAULT = 0,
    WGC_STATE_QUEUED,   /* waits for a slot */
    WGC_STATE_CLAIMING, /* has a slot, waits for the claim */
    WGC_STATE_RUNNING,  /* an attempt is out */
    WGC_STATE_WAITING,  /* waits before the next attempt */
    WGC_STATE_DONE,
    WGC_STATE_NUM
} wgc_state;

typedef enum {
    WGC_EVENT_DEFAULT = 0,
    WGC_EVENT_SLOT,          /* the queue gave it a slot */
    WGC_EVENT_CLAIMED,       /* the claim was granted */
    WGC_EVENT_CLAIM_ENDED,   /* an earlier request with this key ended; its answer is known */
    WGC_EVENT_CLAIM_RUNNING, /* an earlier one has not ended, as far as is known */
    WGC_EVENT_CLAIM_REFUSED, /* no majority, no room, or no answer in time */
    WGC_EVENT_WRITTEN,       /* a byte of the request left for the target */
    WGC_EVENT_HEAD,          /* status line and head came: `status` */
    WGC_EVENT_PROGRESS,      /* `tokens` whole tokens have been relayed in all */
    WGC_EVENT_WHOLE,         /* the answer came whole */
    WGC_EVENT_FAILED,        /* the attempt ended without a whole answer */
    WGC_EVENT_NOT_RUN_SAID,  /* the target itself said that it did not run it */
    WGC_EVENT_WAITED,        /* the wait before the next attempt is over */
    WGC_EVENT_DEADLINE,      /* the whole request's time is up, or the queue gave it up */
    WGC_EVENT_NO_TARGET,     /* no target will take it before its wait for a slot is over */
    WGC_EVENT_CALLER_GONE,
    WGC_EVENT_NUM
} wgc_event_type;

typedef struct {
    wgc_event_type type;
    int attempt; /* of attempt events; others are ignored when it is not the present one */
    int status;
    int64_t tokens;
} wgc_event;

typedef enum {
    WGC_ACTION_DEFAULT = 0,  /* nothing */
    WGC_ACTION_CLAIM,        /* ask for the claim */
    WGC_ACTION_SEND,         /* send attempt `attempt`, from token `resume_from` */
    WGC_ACTION_RELAY,        /* pass on what came */
    WGC_ACTION_FINISH,       /* the caller has its whole answer: end it */
    WGC_ACTION_WAIT,         /* give the slot back, come back with WAITED after `wait` */
    WGC_ACTION_QUEUE,        /* queue again for a slot, at the head */
    WGC_ACTION_ANSWER,       /* give the caller the final error `code` */
    WGC_ACTION_CUT,          /* part of an answer was relayed: end it as broken, with `code` */
    WGC_ACTION_GIVE_EARLIER, /* give the caller the earlier request's answer */
    WGC_ACTION_CANCEL,       /* the caller left: end the attempt, answer nobody */
    WGC_ACTION_NUM
} wgc_action_type;

/* Final errors of a call. */
typedef enum {
    WGC_CODE_DEFAULT = 0,
    WGC_CODE_TARGET_FAILED,
    WGC_CODE_DEADLINE,
    WGC_CODE_NO_CAPACITY, /* gave up in the queue */
    WGC_CODE_CLAIM_UNAVAILABLE,
    WGC_CODE_CLAIM_RUNNING,
    WGC_CODE_NUM
} wgc_code;

typedef struct {
    wgc_action_type type;
    wgc_code code;
    wg_verdict verdict;
    int attempt;
    int64_t resume_from;
    wg_time wait;
    bool abort_attempt; /* an attempt is still out: cancel it at the target */
    bool end_claim;     /* tell the claim how it ended: `verdict` */
} wgc_action;

typedef struct {
    wg_time deadline;
    bool repeatable;
    bool keyed; /* the caller gave an idempotency key; without one there is nothing to claim */
    bool resumable;
    int64_t retry_percent;
    uint64_t seed;
    wgc_budget* budget; /* of the service; required */
} wgc_desc;

typedef struct {
    wgc_desc desc;
    wgc_state state;
    wg_verdict verdict; /* worst over all attempts */
    int attempt;        /* 1.. */
    bool claimed;
    bool written;      /* a byte of the present attempt left */
    bool head_relayed; /* the caller has seen a status line */
    bool said_not_run;
    int64_t tokens; /* whole tokens relayed */
} wgc_call;

/* Make `call` that of a new request; what it held before is forgotten. */
void wgc_begin(wgc_call* call, const wgc_desc* desc);
/* Take one event; says what the caller of the library has to do next. */
wgc_action wgc_step(wgc_call* call, wg_time now, const wgc_event* event);
/* The code as it stands in an error body; static text. */
const char* wgc_code_name(wgc_code code);
/* HTTP status that goes with a code. */
int wgc_code_status(wgc_code code);
