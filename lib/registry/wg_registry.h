#pragma once
/*
    wg_registry.h -- targets that register themselves, as replicated state

    WHAT IT DOES
        Keeps one record for each incarnation of a target, one start of it: where it is, what it
        serves, whether it is ready, draining, silent or gone, and for how long it is cold. Keeps
        which data centres are evacuated. Every change raises a number, so that a copy of the
   registry can be brought up to date by what changed since.

    FEATURES
        - heartbeats carry a sequence of the target's own: an older one changes nothing
        - draining and gone are final for an incarnation; only a silent one comes back
        - a target may start again under its id: the later start is another incarnation with another
          number and a sequence of its own, and ends the earlier one; what the earlier one said
          and comes late changes nothing
        - a new incarnation at an address replaces the one that had it before; that one comes back
          only when it is heard of while the new one is not, since the first heartbeat of a target
          that crashed may arrive after those of its successor
        - targets of an evacuated data centre take no work; when the evacuation ends they count as
          cold, since they may have been emptied meanwhile
        - a bounded number of ended records is kept, so that late heartbeats revive none of them

    USE
        1. wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
        2. if (wg_registry_hear(r, now, &record) == WG_HEARD_CHANGE) { agree on it, then }
           wg_registry_apply(r, now, &record);
        3. wg_registry_silent(r, now, limit)   // whom nobody has heard of
        4. wg_registry_changes(r, since, ...)  // for copies; wg_registry_merge() at the copy

    THE CALLER OWNS
        records passed in. Pointers into the registry hold until its next change.

    CLOCKS
        Times in a registry are those of one process. In messages stands what is left of them.
*/
#include "wg_base.h"
#include "walnutgate.pb-c.h"

enum {
    WG_REGISTRY_ENDED_DEFAULT = 512, /* ended records kept */
    /* A holder of an address that was not heard of for so long may be the wrong one: two heartbeats
       of targets that send one each 1.2 s. */
    WG_REGISTRY_HOLDER_TIME_DEFAULT = 2500 * WG_USEC_PER_MSEC,
    WG_REGISTRY_EVACUATED_MAX = 64, /* data centres */
    /* Longest cold time that is believed. */
    WG_TARGET_COLD_MAX = 300 * WG_USEC_PER_SEC
};

typedef enum {
    WG_TARGET_DEFAULT = 0,
    WG_TARGET_READY,
    WG_TARGET_DRAINING,
    WG_TARGET_SILENT, /* no heartbeat for too long; a newer one brings it back */
    WG_TARGET_GONE
} wg_target_state;

/* One incarnation of a target. */
typedef struct {
    char id[WG_NAME_MAX];
    uint64_t born; /* when it started, milliseconds of its own time of day; 0: it did not say */
    char service[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX];
    char data_centre[WG_NAME_MAX];
    uint32_t slots;
    wg_target_state state;
    uint64_t sequence;
    uint32_t number;         /* short for id and start, never 0 */
    uint64_t change;         /* of the registry, when this record last changed */
    wg_time cold_until;      /* until then it bears less work than usual; 0: it is not cold */
    bool replaced;           /* gone because another incarnation came in its place */
    wg_time heard_at;        /* not replicated */
    uint64_t heard_sequence; /* not replicated */
} wg_target;

typedef enum {
    WG_HEARD_OLD = 0, /* an earlier heartbeat, or of an ended incarnation: acknowledge, no more */
    WG_HEARD_SAME,    /* fresh, and nothing new */
    WG_HEARD_CHANGE   /* to be agreed on before it is acknowledged */
} wg_heard;

typedef struct {
    int ended_max;       /* default WG_REGISTRY_ENDED_DEFAULT */
    wg_time holder_time; /* microseconds; default WG_REGISTRY_HOLDER_TIME_DEFAULT */
} wg_registry_desc;

/* Nothing more is to be sent to the targets of a data centre, or it may be sent again. */
typedef struct {
    const char* data_centre;
    bool begins;
    wg_time cold_time; /* microseconds for which its targets count as cold at the end */
} wg_evacuation;

typedef struct wg_registry wg_registry;

wg_registry* wg_registry_setup(const wg_registry_desc* desc);
void wg_registry_shutdown(wg_registry* registry);
/* What a heartbeat or a leave means. Notes that the target was heard of. */
wg_heard wg_registry_hear(wg_registry* registry, wg_time now, const wg_target* heard);
/* Take an agreed change; the same on every replica. */
void wg_registry_apply(wg_registry* registry, wg_time now, const wg_target* record);
/* Take an agreed evacuation; false when it changes nothing, or would be one too many. */
bool wg_registry_evacuate(wg_registry* registry, wg_time now, const wg_evacuation* evacuation);
bool wg_registry_is_evacuated(const wg_registry* registry, const char* data_centre);
/* Names of the evacuated data centres; belongs to the registry. */
const GPtrArray* wg_registry_evacuated(const wg_registry* registry);
/* May work be sent to the target? It is ready, and its data centre is not evacuated. */
bool wg_registry_takes(const wg_registry* registry, const wg_target* target);
/* Count every target as heard of at `now`: a new leader has not listened before. */
void wg_registry_hear_all(wg_registry* registry, wg_time now);
/* For so long, until `now`, nobody listened: that time is no silence of a target. */
void wg_registry_spare(wg_registry* registry, wg_time now, wg_time time);
/* A ready or draining target not heard of for `limit` microseconds, or NULL. */
const wg_target* wg_registry_silent(const wg_registry* registry, wg_time now, wg_time limit);
/* Ask about a silent target again only after another `limit`. */
void wg_registry_note_asked(wg_registry* registry, uint32_t number, wg_time now);
/* Next record, in the order of their numbers, after number `after` (0: the first); or NULL. */
const wg_target* wg_registry_next(const wg_registry* registry, uint32_t after);
const wg_target* wg_registry_find(const wg_registry* registry, uint32_t number);
/* Stands for one start of a target; unlike its number the same in every registry. */
uint64_t wg_target_key(const wg_target* target);
uint64_t wg_registry_change(const wg_registry* registry);
/* Records that changed after `since`; `reset` is set when a copy at `since` has to be emptied
   first. The caller frees the array, not what it points to. */
GPtrArray* wg_registry_changes(const wg_registry* registry, uint64_t since, bool* reset);

/* ---- copies ---- */
void wg_registry_clear(wg_registry* registry);
/* Take a record as it stands in the registry that is copied. False when malformed. */
bool wg_registry_merge(wg_registry* registry, wg_time now, const Wgpb__TargetRecord* record);
void wg_registry_set_change(wg_registry* registry, uint64_t change);
/* Take the evacuated data centres of the registry that is copied, all of them. */
void wg_registry_set_evacuated(wg_registry* registry, char* const* names, size_t num);

/* ---- messages ---- */
/* The packed record borrows the texts of `target`; of its cold time it says what is left at `now`.
 */
void wg_target_pack(const wg_target* target, wg_time now, Wgpb__TargetRecord* out);
/* False when a text does not fit. */
bool wg_target_unpack(const Wgpb__TargetRecord* in, wg_time now, wg_target* target);
/* For snapshots; freed with wgpb__registry_state__free_unpacked(). */
Wgpb__RegistryState* wg_registry_dump(const wg_registry* registry, wg_time now);
/* Whoever was cold when the snapshot was made counts as cold for as long again. */
bool wg_registry_load(wg_registry* registry, wg_time now, const Wgpb__RegistryState* state);
