#pragma once
/*
    wg_room.h -- whether a service has room for further prompts, as pure functions

    WHAT IT DOES
        A target has room while at most half of its slots are in use and the prompts that it has not
        processed take at most a given time. A service has room while at least half of its ready
        targets have room. While it has room, no workspace has to yield to others.

        The leader knows the loads of all targets and counts those with room. Hosts are told the
        counts, keep a copy of them, and decide from them.

    FEATURES
        - hysteresis: a service that has lost room regains it at once when two thirds of its ready
          targets have room, or when half of them have had room for WG_ROOM_REGAIN_TIME
        - a new leader counts only once all hosts have reported, as unreported loads count as room
        - a copy that is not renewed becomes unknown; the host then decides on what it knows itself

    USE
        leader: 1. wg_room_lead lead = {0};                       // at the start of each leadership
                2. if (wg_room_lead_update(&lead, settled, missing)) {
                       wg_room_count count = {0};
                       wg_room_add(&count, &target, wait_max);    // for each target of a service
                   }
        host:   1. wg_room_copy* c = wg_room_copy_setup();
                2. wg_room_copy_set_lifetime(c, lifetime);
                   wg_room_copy_apply(c, now, list, num);         // each answer of the leader
                3. wg_room_copy_query(c, now, service, &count);

    THE CALLER OWNS
        everything passed in, and the clock.
*/
#include "wg_base.h"

enum {
    /* Microseconds for which half of the ready targets must have had room until a service regains
       it. Two report intervals of a small fleet: one favourable count is noise. */
    WG_ROOM_REGAIN_TIME = 200 * WG_USEC_PER_MSEC,
    /* Slots assumed for a target that reports none. */
    WG_ROOM_SLOTS_DEFAULT = 16
};

/* Load of one target, from all hosts. */
typedef struct {
    bool ready;
    uint32_t slots;    /* requests that it processes at a time; 0: it has room only while idle */
    uint32_t running;  /* requests in progress */
    wg_time read_time; /* expected microseconds to process the prompt tokens sent so far */
} wg_room_target;

/* Ready targets of a service, and those of them that have room. */
typedef struct {
    uint32_t ready;
    uint32_t with_room;
} wg_room_count;

/* True if the target has room. `wait_max`: longest time, in microseconds, that a new prompt may
   wait for the prompts before it. */
bool wg_room_target_has_room(const wg_room_target* target, wg_time wait_max);
/* Counts one target of the service; ignores targets that are not ready. */
void wg_room_add(wg_room_count* count, const wg_room_target* target, wg_time wait_max);

/* Decision on one service; starts as {0}. */
typedef struct {
    bool lost;            /* the service has lost room and not regained it */
    bool enough;          /* it has lost room, but half of the ready targets have room again */
    wg_time enough_since; /* valid with `enough` */
} wg_room_state;

/* Updates the decision with a new count; returns whether the service has room. */
bool wg_room_update(wg_room_state* state, wg_time now, const wg_room_count* count);

/* Whether a leader knows the loads of all hosts; starts as {0} with each leadership. */
typedef struct {
    bool complete;
} wg_room_lead;

/* Returns whether the leader may tell counts. `settled`: running hosts have had the time to connect
   to this leader. `missing`: hosts that it lists, or that are connected, without a report. Once
   true it stays true: a host that leaves later takes its loads along. */
bool wg_room_lead_update(wg_room_lead* lead, bool settled, int missing);

/* What the leader tells of a service. */
typedef struct {
    const char* service;
    wg_room_count count;
} wg_room_report;

typedef enum {
    WG_ROOM_UNKNOWN = 0, /* not told, or outdated */
    WG_ROOM_NONE,
    WG_ROOM_FREE
} wg_room_answer;

/* A host's copy of the counts that the leader tells. */
typedef struct wg_room_copy wg_room_copy;

wg_room_copy* wg_room_copy_setup(void);
void wg_room_copy_shutdown(wg_room_copy* copy);
/* Sets the time in microseconds from a report of the leader until it is outdated; 0 before the
   first call: always outdated. */
void wg_room_copy_set_lifetime(wg_room_copy* copy, wg_time lifetime);
/* Takes over a report of the leader. With `num` 0 the leader knows nothing: all services become
   unknown at once. */
void wg_room_copy_apply(wg_room_copy* copy, wg_time now, const wg_room_report* list, size_t num);
/* Returns whether the service has room. Sets `count`, unless NULL, to the counts last told. */
wg_room_answer wg_room_copy_query(const wg_room_copy* copy, wg_time now, const char* service,
                                  wg_room_count* count);
