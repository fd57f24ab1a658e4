#pragma once
/*
    wg_member.h -- membership of routers, and selection of entry hosts for a caller

    WHAT IT DOES
        The leader records the heartbeats of routers; routers keep a copy of the member list. From
        it they answer which entry hosts a caller should use. Pure.

    FEATURES
        - a restarted router has a new incarnation; messages of previous incarnations are ignored
        - a router without heartbeats for gone_after is marked unreachable; a router that is leaving
          is excluded from answers immediately
        - each change has a version, so that copies receive only changes
        - rendezvous hashing (Thaler and Ravishankar 1998) by workspace keeps a workspace on few
          routers, local data centre first

    USE
        1. wgm_members* m = wgm_setup(&(wgm_desc){.members_max = 512}, &error);
        2. leader: wgm_record_heartbeat(m, now, &member); failed = wgm_tick(m, now);
        3. copy:   wgm_put(m, &member);
        4. num = wgm_pick_entry_hosts(m, "ham-dakar", "plateau", 3, list, 8);
        5. wgm_shutdown(m);

    THE CALLER OWNS
        everything passed in; returned pointers stay valid until the next change.
*/
#include "wg_base.h"

enum {
    WGM_MEMBERS_DEFAULT = 512,
    WGM_GONE_AFTER_DEFAULT = 3 * WG_USEC_PER_SEC,
    WGM_ENTRY_HOSTS_DEFAULT = 3,
    WGM_RETIRED_MAX = 4 /* previous incarnations remembered per name */
};

typedef enum {
    WGM_STATE_DEFAULT = 0,
    WGM_STATE_UP,
    WGM_STATE_LEAVING, /* completes its requests, gets no new ones */
    WGM_STATE_UNREACHABLE,
    WGM_STATE_NUM
} wgm_state;

typedef struct {
    char name[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX]; /* address for callers */
    char data_centre[WG_NAME_MAX];
    uint64_t incarnation;
    wgm_state state;
    uint64_t version;        /* version of the last change */
    wg_time last_contact_at; /* leader only: time of the last heartbeat */
    uint64_t retired[WGM_RETIRED_MAX];
} wgm_member;

typedef enum {
    WGM_EVENT_DEFAULT = 0, /* no change */
    WGM_EVENT_UP,          /* a new member, or one that was unreachable */
    WGM_EVENT_RESTARTED,   /* the same name with a new incarnation */
    WGM_EVENT_LEAVING,
    WGM_EVENT_STALE, /* message of a previous incarnation; ignored */
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
    int unreachable;
} wgm_stats;

typedef struct wgm_members wgm_members;

/* NULL with an error (WG_ERROR_INVALID) when a field of `desc` is wrong. */
wgm_members* wgm_setup(const wgm_desc* desc, GError** error);
void wgm_shutdown(wgm_members* members);
/* Leader: records a heartbeat. Uses name, address, data_centre, incarnation and state. */
wgm_event wgm_record_heartbeat(wgm_members* members, wg_time now, const wgm_member* heartbeat);
/* Leader: extends all deadlines by `time` after a stall of this process: heartbeats were not read
   meanwhile. */
void wgm_extend_deadlines(wgm_members* members, wg_time now, wg_time time);
/* Leader: marks routers without heartbeats for gone_after as unreachable. Returns one per call, or
   NULL. */
const wgm_member* wgm_tick(wgm_members* members, wg_time now);
/* Copy: stores a member received from the leader, unless the stored version is newer. */
void wgm_put(wgm_members* members, const wgm_member* member);
void wgm_clear(wgm_members* members);
/* Member at position i, or NULL past the end. */
const wgm_member* wgm_at(const wgm_members* members, int i);
const wgm_member* wgm_find(const wgm_members* members, const char* name);
/* Version of the newest change. */
uint64_t wgm_version(const wgm_members* members);
/* Fills `list` with entry hosts for a workspace: `spread` routers (0: default) by rendezvous
   hashing, those of `data_centre` first. Only routers that are up are included. Returns the number
   of hosts. */
int wgm_pick_entry_hosts(const wgm_members* members, const char* workspace, const char* data_centre,
                         int spread, const wgm_member** list, int list_max);
wgm_stats wgm_query_stats(const wgm_members* members);
