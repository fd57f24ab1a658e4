#pragma once
/*
    wg_member.h -- which routers there are, and which of them a caller should use

    WHAT IT DOES
        The leader notes each router's heartbeats; routers keep a copy of the result. Out of it
   comes the answer to "which entry hosts should I use". Pure.

    FEATURES
        - a restarted router has a new incarnation and is never taken for its former self
        - silence past a deadline makes a router gone; leaving takes it out of answers at once
        - each change has a version, so that copies are sent only what changed
        - rendezvous hashing (Thaler and Ravishankar 1998) by workspace keeps a workspace on few
          routers, nearest data centre first

    USE
        1. wgm_members* m = wgm_setup(&(wgm_desc){.members_max = 512}, &error);
        2. leader: wgm_heard(m, now, &member); wgm_tick(m, now, &gone);
        3. copy:   wgm_put(m, &member);
        4. num = wgm_entry(m, "ham-dakar", "plateau", 3, list, 8);
        5. wgm_shutdown(m);

    THE CALLER OWNS
        everything passed in; returned pointers stay valid until the next change.
*/
#include "wg_base.h"

enum {
    WGM_MEMBERS_DEFAULT = 512,
    WGM_GONE_AFTER_DEFAULT = 3 * WG_USEC_PER_SEC,
    WGM_ENTRY_HOSTS_DEFAULT = 3,
    WGM_RETIRED_MAX = 4 /* former incarnations remembered per name */
};

typedef enum {
    WGM_STATE_DEFAULT = 0,
    WGM_STATE_UP,
    WGM_STATE_LEAVING, /* finishes its work, is in no answer */
    WGM_STATE_GONE,
    WGM_STATE_NUM
} wgm_state;

typedef struct {
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX]; /* where callers connect */
    char data_centre[WG_NAME_MAX];
    uint64_t incarnation;
    wgm_state state;
    uint64_t version; /* of the last change */
    wg_time heard_at; /* leader only */
    uint64_t retired[WGM_RETIRED_MAX];
} wgm_member;

typedef enum {
    WGM_EVENT_DEFAULT = 0, /* nothing new */
    WGM_EVENT_UP,          /* a new member, or one that came back */
    WGM_EVENT_RESTARTED,   /* the same name with a new incarnation */
    WGM_EVENT_LEAVING,
    WGM_EVENT_STALE, /* a former incarnation spoke; ignored */
    WGM_EVENT_FULL,
    WGM_EVENT_NUM
} wgm_event;

typedef struct {
    int members_max;
    wg_time gone_after;
} wgm_desc;

typedef struct {
    int up;
    int leaving;
    int gone;
} wgm_stats;

typedef struct wgm_members wgm_members;

/* NULL with an error (WG_ERROR_INVALID) when a field of `desc` is wrong. */
wgm_members* wgm_setup(const wgm_desc* desc, GError** error);
void wgm_shutdown(wgm_members* members);
/* Leader: a router was heard. Uses name, address, data_centre, incarnation and state. */
wgm_event wgm_heard(wgm_members* members, wg_time now, const wgm_member* heard);
/* Leader: for so long, until `now`, it did not listen: that time is no silence of a router. */
void wgm_spare(wgm_members* members, wg_time now, wg_time time);
/* Leader: take silent routers as gone. Returns one of them per call, or NULL. */
const wgm_member* wgm_tick(wgm_members* members, wg_time now);
/* Copy: install what the leader said. */
void wgm_put(wgm_members* members, const wgm_member* member);
void wgm_clear(wgm_members* members);
/* The member at a position 0..n-1, or NULL past the end. */
const wgm_member* wgm_at(const wgm_members* members, int i);
const wgm_member* wgm_find(const wgm_members* members, const char* name);
/* Version of the newest change. */
uint64_t wgm_version(const wgm_members* members);
/* Entry hosts for a workspace, best first: `spread` of them by rendezvous (0: default), those of
   `data_centre` first. Leaving and gone routers are left out. Returns how many stand in `list`. */
int wgm_entry(const wgm_members* members, const char* workspace, const char* data_centre,
              int spread, const wgm_member** list, int list_max);
wgm_stats wgm_query_stats(const wgm_members* members);
