#pragma once
/*
    wg_call.h -- life cycle of one request on a router, as a pure state machine

    WHAT IT DOES
        Decides what happens next to a request: claim, send, retry, resume, answer. The caller
        passes in events; each event returns one action. The verdict (whether the request ran)
        follows from the events.

    FEATURES
        - the verdict is not-run only if no byte of the request can have reached a target that could
          act on it, or if the target reported that it did not run it
        - a request that must not be repeated is claimed by its idempotency key, if it has one,
          before its first byte is sent; after that it is sent again only if the target reported
          that it did not run it
        - retries draw on a budget per service (a share of first attempts) and wait with jitter
        - a stream that its target aborted resumes at another target after the last complete token,
          where the service allows it
        - events of a previous attempt are ignored: each event carries its attempt number

    USE
        1. wgc_begin(&call, &(wgc_desc){.deadline = d, .repeatable = true, .budget = &budget});
        2. action = wgc_step(&call, now, &(wgc_event){.type = WGC_EVENT_SLOT});
        3. carry out action.type; repeat until call.state is WGC_STATE_DONE.

    THE CALLER OWNS
        the call struct (plain data, no clean-up) and the budget.
*/
#include "wg_base.h"

enum {
    WGC_ATTEMPTS_MAX = 4, /* sends of one request, resumes included */
    WGC_RETRY_WAIT_MIN = 10 * WG_USEC_PER_MSEC,
    WGC_RETRY_WAIT_MAX = 500 * WG_USEC_PER_MSEC,
    WGC_BUDGET_MAX = 20 /* retries that the budget of a service can hold */
};

/* Retry budget of a service, in hundredths of a retry. */
typedef struct {
    int64_t hundredths;
    uint64_t first_attempts;
    uint64_t retries;
    uint64_t refused;
} wgc_budget;

typedef enum {
    WGC_STATE_DEFAULT = 0,
    WGC_STATE_QUEUED,   /* waiting for a slot */
    WGC_STATE_CLAIMING, /* holds a slot, waiting for the claim */
    WGC_STATE_RUNNING,  /* an attempt is in progress */
    WGC_STATE_WAITING,  /* waiting before the next attempt */
    WGC_STATE_DONE,
    WGC_STATE_NUM
} wgc_state;

typedef enum {
    WGC_EVENT_DEFAULT = 0,
    WGC_EVENT_SLOT,          /* the queue assigned a slot */
    WGC_EVENT_CLAIMED,       /* the claim was granted */
    WGC_EVENT_CLAIM_ENDED,   /* an earlier request with this key has ended; its result is known */
    WGC_EVENT_CLAIM_RUNNING, /* an earlier request with this key is not known to have ended */
    WGC_EVENT_CLAIM_REFUSED, /* no majority, no room for claims, or no answer in time */
    WGC_EVENT_WRITTEN,       /* a byte of the request was sent to the target */
    WGC_EVENT_HEAD,          /* the answer's head was received: `status` */
    WGC_EVENT_PROGRESS,      /* `tokens` complete tokens have been relayed in total */
    WGC_EVENT_COMPLETE,      /* the complete answer was received */
    WGC_EVENT_FAILED,        /* the attempt ended without a complete answer */
    WGC_EVENT_NOT_RUN_REPORTED, /* the target reported that it did not run the request */
    WGC_EVENT_WAITED,           /* the wait before the next attempt has ended */
    WGC_EVENT_DEADLINE,         /* the request's deadline passed, or it expired in the queue */
    WGC_EVENT_NO_TARGET, /* no target will accept the request before its wait for a slot ends */
    WGC_EVENT_CALLER_DISCONNECTED, /* the caller closed the connection */
    WGC_EVENT_NUM
} wgc_event_type;

typedef struct {
    wgc_event_type type;
    int attempt; /* number of the attempt; an event of a previous attempt is ignored */
    int status;
    int64_t tokens;
} wgc_event;

typedef enum {
    WGC_ACTION_DEFAULT = 0, /* no action */
    WGC_ACTION_CLAIM,       /* request the claim */
    WGC_ACTION_SEND,        /* send attempt `attempt`, from token `resume_from` */
    WGC_ACTION_RELAY,       /* relay what was received */
    WGC_ACTION_FINISH,      /* the answer is complete: end it */
    WGC_ACTION_WAIT,        /* release the slot, send WGC_EVENT_WAITED after `wait` */
    WGC_ACTION_QUEUE,       /* queue again for a slot, at the head */
    WGC_ACTION_ANSWER,      /* answer the caller with the final error `code` */
    WGC_ACTION_ABORT,       /* part of an answer was relayed: abort the answer with `code` */
    WGC_ACTION_REPLAY,      /* answer the caller with the stored answer of the earlier request */
    WGC_ACTION_CANCEL, /* the caller closed the connection: abort the attempt, send no answer */
    WGC_ACTION_NUM
} wgc_action_type;

/* Final errors of a call. */
typedef enum {
    WGC_CODE_DEFAULT = 0,
    WGC_CODE_TARGET_FAILED,
    WGC_CODE_DEADLINE,
    WGC_CODE_NO_CAPACITY, /* no slot in time */
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
    bool abort_attempt; /* an attempt is in progress: cancel it at the target */
    bool end_claim;     /* end the claim with `verdict` */
} wgc_action;

typedef struct {
    wg_time deadline;
    bool repeatable;
    bool keyed; /* the caller sent an idempotency key; without one there is nothing to claim */
    bool resumable;
    int64_t retry_percent;
    uint64_t seed;
    wgc_budget* budget; /* retry budget of the service; required */
} wgc_desc;

typedef struct {
    wgc_desc desc;
    wgc_state state;
    wg_verdict verdict; /* worst case over all attempts */
    int attempt;        /* number of the current attempt, from 1; 0: none yet */
    bool claimed;
    bool written;      /* a byte of the current attempt was sent */
    bool head_relayed; /* the head of an answer was sent to the caller */
    bool reported_not_run;
    int64_t tokens; /* complete tokens relayed */
} wgc_call;

/* Initialises `call` for a new request; previous content is overwritten. */
void wgc_begin(wgc_call* call, const wgc_desc* desc);
/* Processes one event; returns what the caller of the library has to do next. */
wgc_action wgc_step(wgc_call* call, wg_time now, const wgc_event* event);
/* The code as written in an error body; a static string. */
const char* wgc_code_name(wgc_code code);
int wgc_code_status(wgc_code code);
