#pragma once
/*
    wg_incarnation.h -- whether the process at a target's address is the one that the registry names

    WHAT IT DOES
        A target may restart under its id with another version of its software, and its first
        heartbeat may come late: until then, the registry names a process that has ended. What two
        versions write does not fit together, so a host that continues a stream at a target, or
        records at which version one begins, has to know which process it talks to. The target tells
        when it is asked; this decides when to ask, and what an answer is worth. Pure state machine.

    FEATURES
        - a connection that was established before a question to its target, which then answered as
          the process that the registry names, leads to that process: another one cannot have been
          there before it. This ends only with the connection
        - a stream is continued only on such a connection
        - a stream begins without a question unless the target is in doubt: one that this host knows
          only since a moment ago, or that broke a connection off or refused one, until it has
          answered a question, or for as long as the first heartbeat of a restarted one may take
        - a target that does not tell when it started is one that has restarted unnoticed unless the
          leader hears its heartbeats in their usual interval, the last one since this host has
          had reason to doubt

    USE
        1. wg_incarnations* x = wg_incarnations_setup();
        2. wg_incarnations_doubt(x, now, target);       // new record, broken or refused connection
           wg_incarnations_doubt_all(x, now);           // own start, or this process stood still
        3. switch (wg_incarnations_continue(x, now, target, established_at)) ...
           wg_incarnations_answer(x, now, target, asked_at, answer);
           wg_incarnations_heard(x, now, target, &heartbeats);
        4. wg_incarnations_forget(x, target);           // its record was removed

    THE CALLER OWNS
        nothing that is passed in.
*/
#include "wg_base.h"

enum {
    /* For how long a target is in doubt: it sends its first heartbeat within this time, and one
       more second passes until hosts know. Microseconds. */
    WG_INCARNATION_DOUBT_TIME = 6 * WG_USEC_PER_SEC,
    /* For how long a target counts as another process after it said so. Microseconds. */
    WG_INCARNATION_OTHER_TIME = 2 * WG_USEC_PER_SEC,
    /* Until the leader is asked again about a target that was not heard of. Microseconds. */
    WG_INCARNATION_SILENT_TIME = 200 * WG_USEC_PER_MSEC,
    /* Tolerates that heartbeats come somewhat later than the interval of the last two, which is
       believed up to a limit. Microseconds. */
    WG_HEARTBEAT_TOLERANCE = 200 * WG_USEC_PER_MSEC,
    WG_HEARTBEAT_INTERVAL_MAX = 2 * WG_USEC_PER_SEC
};

/* What to do before a request is sent on a connection. */
typedef enum {
    WG_INCARNATION_SURE = 0,   /* send it */
    WG_INCARNATION_ASK,        /* ask on this connection first */
    WG_INCARNATION_ASK_LEADER, /* ask the leader first when the target was heard of */
    WG_INCARNATION_AVOID       /* send it to another target */
} wg_incarnation_step;

typedef enum {
    WG_INCARNATION_UNTOLD = 0, /* the target does not tell when it started */
    WG_INCARNATION_SAME,       /* it started when the registry says */
    WG_INCARNATION_OTHER
} wg_incarnation_answer;

/* What the leader has heard of a target. */
typedef struct {
    bool heard;       /* more than one heartbeat of this incarnation */
    wg_time silence;  /* since the last one, microseconds */
    wg_time interval; /* between the last two, microseconds */
} wg_heartbeats;

typedef struct wg_incarnations wg_incarnations;

wg_incarnations* wg_incarnations_setup(void);
void wg_incarnations_shutdown(wg_incarnations* incarnations);
/* The target may have restarted. */
void wg_incarnations_doubt(wg_incarnations* incarnations, wg_time now, uint32_t target);
/* Any target may have. */
void wg_incarnations_doubt_all(wg_incarnations* incarnations, wg_time now);
void wg_incarnations_forget(wg_incarnations* incarnations, uint32_t target);
/* Records the answer to a question that was sent at `asked_at`. */
void wg_incarnations_answer(wg_incarnations* incarnations, wg_time now, uint32_t target,
                            wg_time asked_at, wg_incarnation_answer answer);
/* Records the leader's answer, or that it cannot be asked: `heartbeats` is all 0 then. */
void wg_incarnations_heard(wg_incarnations* incarnations, wg_time now, uint32_t target,
                           const wg_heartbeats* heartbeats);
/* Decides on a request that continues a stream, on a connection established at `established_at`. */
wg_incarnation_step wg_incarnations_continue(const wg_incarnations* incarnations, wg_time now,
                                             uint32_t target, wg_time established_at);
/* Decides on a request that may begin a stream which others can continue. */
wg_incarnation_step wg_incarnations_begin(const wg_incarnations* incarnations, wg_time now,
                                          uint32_t target);
/* Whether a connection established at `established_at` leads to the process that the registry
   names, by its own word. */
bool wg_incarnations_is_confirmed(const wg_incarnations* incarnations, uint32_t target,
                                  wg_time established_at);
/* Whether the target may be chosen, before there is a connection. `continues`: the request
   continues a stream. */
bool wg_incarnations_may_choose(const wg_incarnations* incarnations, wg_time now, uint32_t target,
                                bool continues);
