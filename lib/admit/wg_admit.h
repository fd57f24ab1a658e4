#pragma once
/*
    wg_admit.h -- admission to targets by one host for the whole fleet, as a pure state machine

    WHAT IT DOES
        Each target has one coordinating entry host. The others ask it before they send a prompt
        there. It knows all that was admitted and not yet read, so that many hosts that decide at
        once don't fill the same target; it answers with the wait that the request would have.

    FEATURES
        - an account of each target: prompt tokens to be read, requests under way
        - which shared parts a target still holds, by the tokens that were admitted after them:
          engines give up those that were unused for longest
        - a target that is cold gets no more requests in any second than it bears
        - the speed of a target, learnt from when prompts were read
        - a target that fails several hosts in a row gets nothing for growing times, unless half of
          all do
        - an answer only advises, but for a cold target: whoever gets none in time decides by itself
        - all that a host holds is given back when its link ends

    USE
        1. wg_admit* a = wg_admit_setup(&(wg_admit_desc){0});
        2. wg_admit_answer answer = wg_admit_ask(a, now, &request);
        3. wg_admit_read(a, now, holder, ticket); wg_admit_end(a, holder, ticket);
        4. wg_admit_drop_holder(a, holder);      // its link ended

    THE CALLER OWNS
        links, tickets and the choice of coordinators. Requests and answers are plain values.
*/
#include "wg_base.h"

enum {
    WG_ADMIT_PARTS_MAX = 16,
    WG_ADMIT_TARGETS_MAX_DEFAULT = 4096
};

/* Longest waits at which a request is sent, in microseconds. */
typedef struct {
    wg_time whole;       /* to the first event */
    wg_time ahead;       /* the part of it that is others' prompts; 0: not sent at all */
    wg_time ahead_large; /* the same, when its own prompt alone takes longer than `whole` */
    bool spares_shared;  /* shared parts that the target lacks count as others' prompts */
} wg_admit_limits;

typedef struct {
    uint64_t holder;                    /* of the admission: whoever asks */
    uint64_t ticket;                    /* one request of the holder */
    uint32_t target;                    /* number in the registry */
    uint64_t parts[WG_ADMIT_PARTS_MAX]; /* ids of the shared parts, in order */
    uint32_t sizes[WG_ADMIT_PARTS_MAX]; /* tokens */
    int parts_num;
    uint32_t tokens;       /* of the whole prompt */
    uint32_t answer;       /* made at most */
    uint32_t copied;       /* from the start of the prompt, taken from another target */
    uint32_t running_most; /* requests that the target may have under way before; 0: any */
    int64_t memory;        /* tokens that the target can hold, 0: not known */
    double rate_most;      /* admissions a second, for a target that is cold; 0: any */
    wg_admit_limits limits;
    uint32_t floor_unread;  /* what a fresh account of the target counts at least */
    uint32_t floor_running; /* the same, requests */
} wg_admit_request;

typedef struct {
    bool granted;
    wg_time wait;       /* to the first event */
    wg_time wait_ahead; /* the part of it that is others' prompts */
    uint32_t unread;    /* tokens that the target has to read for the request */
    uint32_t held;      /* tokens from the start of the prompt that the target holds */
    uint32_t ahead;     /* tokens to be read before, of all hosts */
    uint32_t running;   /* requests under way before, of all hosts */
} wg_admit_answer;

typedef struct {
    int targets_max; /* accounts kept; default WG_ADMIT_TARGETS_MAX_DEFAULT */
} wg_admit_desc;

typedef struct wg_admit wg_admit;

/* Does a request with these waits stay within the limits? */
bool wg_admit_fits(const wg_admit_limits* limits, wg_time wait, wg_time wait_ahead);

wg_admit* wg_admit_setup(const wg_admit_desc* desc);
void wg_admit_shutdown(wg_admit* admit);
/* Decide on a request; when it is granted its tokens count until it is read or ends. */
wg_admit_answer wg_admit_ask(wg_admit* admit, wg_time now, const wg_admit_request* request);
/* The first event came: the prompt is read. An unknown admission is passed over. */
void wg_admit_read(wg_admit* admit, wg_time now, uint64_t holder, uint64_t ticket);
/* The request is over, or was never sent. `failed`: the target broke off or could not be reached.
 */
void wg_admit_end(wg_admit* admit, wg_time now, uint64_t holder, uint64_t ticket, bool failed);
/* The target says that it holds these parts; others that are known stay. */
void wg_admit_learn(wg_admit* admit, wg_time now, uint32_t target, const uint64_t* parts, int num);
/* Give back all that the holder was granted. */
void wg_admit_drop_holder(wg_admit* admit, uint64_t holder);
/* Admissions that have not ended. */
int wg_admit_num(const wg_admit* admit);
