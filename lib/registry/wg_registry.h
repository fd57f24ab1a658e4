#pragma once
/*
    wg_registry.h -- self-registering targets, as replicated state

    WHAT IT DOES
        Keeps one record per incarnation of a target, that is per start of its process: its address
        and service, whether it is ready, draining, unresponsive or removed, and for how long it is
        cold. Keeps which data centres are evacuated. Every change increments a change number, so
        that copies of the registry can be updated incrementally.

    FEATURES
        - heartbeats carry a sequence number of the target; an older one changes nothing
        - draining and removed are final for an incarnation; only an unresponsive one comes back
        - a target may restart under the same id: the later start is a new incarnation with its own
          number and sequence and ends the earlier one, whose late messages change nothing
        - a new incarnation at an address replaces the previous holder. The first heartbeat of a
          target that crashed may arrive after those of its replacement: the later start holds the
          address as long as it sends heartbeats, and takes it back with its next one. Where start
          times are not reported, the previous holder comes back only if it sends heartbeats while
          the new one does not
        - tells the planned end of a target's process from any other: a target serves on for some
          time after its leaving was acknowledged, and deregisters before it ends
        - targets of an evacuated data centre accept no work; when the evacuation ends they count as
          cold, since they may have lost their caches meanwhile
        - a bounded number of ended records is kept, so that late heartbeats do not revive them

    USE
        1. wg_registry* r = wg_registry_setup(&(wg_registry_desc){0});
        2. if (wg_registry_receive(r, now, &record) == WG_HEARTBEAT_CHANGED) { agree on it, then }
           wg_registry_apply(r, now, &record);
        3. wg_registry_find_unresponsive(r, now, limit)   // an unresponsive target
        4. wg_registry_changes(r, since, ...)  // for copies; wg_registry_merge() at the copy

    THE CALLER OWNS
        records passed in. Pointers into the registry are valid until its next change.

    CLOCKS
        Times are local to one process. Messages carry the remaining time instead.
*/
#include "wg_base.h"
#include "walnutgate.pb-c.h"

enum {
    WG_REGISTRY_ENDED_DEFAULT = 512, /* maximum number of ended records */
    /* The holder of an address may be the wrong incarnation after this time without contact,
       two heartbeat intervals of targets that send one each 1.2 s. Microseconds. */
    WG_REGISTRY_HOLDER_TIMEOUT_DEFAULT = 2500 * WG_USEC_PER_MSEC,
    WG_REGISTRY_EVACUATED_MAX = 64, /* data centres */
    /* How long a removed target counts as one that served: new copies are told of it, and
       wg_registry_only_version() looks back no further. Microseconds. */
    WG_REGISTRY_ENDED_TIME = 600 * WG_USEC_PER_SEC,
    /* A target that restarts sends its first heartbeat within this time. Microseconds. */
    WG_REGISTRY_RESTART_UNNOTICED_MAX = 5 * WG_USEC_PER_SEC,
    /* Upper limit of the cold time in a message, microseconds. */
    WG_TARGET_COLD_MAX = 300 * WG_USEC_PER_SEC
};

typedef enum {
    WG_TARGET_DEFAULT = 0,
    WG_TARGET_READY,
    WG_TARGET_DRAINING,
    /* no recent heartbeat; a newer one ends this state */
    WG_TARGET_UNRESPONSIVE,
    WG_TARGET_REMOVED
} wg_target_state;

/* One incarnation of a target. */
typedef struct {
    char id[WG_NAME_MAX];
    uint64_t born; /* start time, Unix milliseconds by the target's clock; 0: not reported */
    char service[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX];
    char data_centre[WG_NAME_MAX];
    char version[WG_NAME_MAX]; /* of the target's software; "": not reported */
    uint32_t slots;
    wg_target_state state;
    uint64_t sequence;
    uint32_t number;         /* short identifier of the incarnation, never 0 */
    uint64_t change;         /* change number of the registry at the last change of this record */
    wg_time cold_until;      /* end of the period with reduced load; 0: not cold */
    bool replaced;           /* removed because another incarnation took its id or address */
    wg_time ended_at;        /* of a removed one: when; 0: not removed */
    wg_time leaving_at;      /* when it became draining or removed; 0: neither */
    bool deregistered;       /* removed by its own word */
    wg_time last_contact_at; /* not replicated */
    uint64_t received_sequence; /* not replicated */
    wg_time heard_at; /* last heartbeat of this incarnation that this process received; 0: none;
                         not replicated */
    wg_time heard_interval; /* between the last two of them; 0: fewer; not replicated */
} wg_target;

typedef enum {
    WG_HEARTBEAT_OUTDATED = 0, /* outdated, or of an ended incarnation: only acknowledge it */
    /* Of a process that has ended, as a later one sends heartbeats from its address: the same. */
    WG_HEARTBEAT_SUPERSEDED,
    WG_HEARTBEAT_UNCHANGED, /* a newer heartbeat without changes */
    WG_HEARTBEAT_CHANGED    /* a change that has to be agreed on before it is acknowledged */
} wg_heartbeat_result;

/* What it shows that a target's process has ended. */
typedef enum {
    WG_END_UNPLANNED = 0, /* the target crashed: what it was sending is not whole */
    WG_END_UNDECIDED,     /* planned if its deregistration is on its way to this host */
    WG_END_PLANNED
} wg_end_kind;

typedef struct {
    int ended_max;          /* default WG_REGISTRY_ENDED_DEFAULT */
    wg_time holder_timeout; /* microseconds; default WG_REGISTRY_HOLDER_TIMEOUT_DEFAULT */
} wg_registry_desc;

/* Tells what it shows that the target's process has ended by `now`. `drain_time`: how long targets
   serve on at least after their leaving was acknowledged, microseconds; 0: not known. `target` may
   be NULL, a record that was dropped. */
wg_end_kind wg_target_end_kind(const wg_target* target, wg_time now, wg_time drain_time);

/* Begins or ends the evacuation of a data centre, whose targets accept no requests meanwhile. */
typedef struct {
    const char* data_centre;
    bool begins;
    wg_time cold_time; /* microseconds for which the targets count as cold after the evacuation */
} wg_evacuation;

typedef struct wg_registry wg_registry;

wg_registry* wg_registry_setup(const wg_registry_desc* desc);
void wg_registry_shutdown(wg_registry* registry);
/* Classifies a heartbeat or a deregistration, and updates the target's last contact. */
wg_heartbeat_result wg_registry_receive(wg_registry* registry, wg_time now,
                                        const wg_target* received);
/* Returns the target at an address that has not ended, or NULL. */
const wg_target* wg_registry_holder(const wg_registry* registry, const char* address);
/* Applies an agreed change; deterministic on every replica. */
void wg_registry_apply(wg_registry* registry, wg_time now, const wg_target* record);
/* Applies an agreed evacuation; false if it changes nothing or exceeds
   WG_REGISTRY_EVACUATED_MAX. */
bool wg_registry_evacuate(wg_registry* registry, wg_time now, const wg_evacuation* evacuation);
bool wg_registry_is_evacuated(const wg_registry* registry, const char* data_centre);
/* Returns the names of the evacuated data centres; owned by the registry. */
const GPtrArray* wg_registry_evacuated(const wg_registry* registry);
/* True if the target may be sent requests: it is ready, and its data centre is not evacuated. */
bool wg_registry_accepts(const wg_registry* registry, const wg_target* target);
/* Sets the last contact of all targets to `now`, for a new leader that has received no heartbeats
   yet: none of them counts as heard. */
void wg_registry_reset_contacts(wg_registry* registry, wg_time now);
/* Extends the deadlines of all targets by `time` microseconds, for a stall that ended at `now`. */
void wg_registry_extend_deadlines(wg_registry* registry, wg_time now, wg_time time);
/* Returns the ready or draining target with the oldest contact, if that is more than `limit`
   microseconds ago; else NULL. */
const wg_target* wg_registry_find_unresponsive(wg_registry* registry, wg_time now, wg_time limit);
/* Skips the target in wg_registry_find_unresponsive() for another limit, after a change of its
   state was proposed. */
void wg_registry_record_proposal(wg_registry* registry, uint32_t number, wg_time now);
/* Returns the software version of the service's targets if no other one has served within the last
   `time` microseconds, at most WG_REGISTRY_ENDED_TIME; NULL: several have, or there was no target.
   Valid until the next change. */
const char* wg_registry_only_version(const wg_registry* registry, wg_time now, const char* service,
                                     wg_time time);
/* The same among the targets up to this number, so among those that registered first. */
const char* wg_registry_only_version_to(const wg_registry* registry, wg_time now,
                                        const char* service, wg_time time, uint32_t number);
/* Returns the highest number of a target that this registry has known; 0: none. */
uint32_t wg_registry_last_number(const wg_registry* registry);
/* Whether at `at` another version than this incarnation's may have served under its id: the target
   restarted with it, and the registry learned of a restart only from a later heartbeat. Also true
   of an incarnation that this registry, a copy that is behind, does not know yet. */
bool wg_registry_may_have_restarted(const wg_registry* registry, uint32_t number, wg_time at);
/* Returns the latest incarnation of the target under its id; NULL if the number is not known. */
const wg_target* wg_registry_latest(const wg_registry* registry, uint32_t number);
/* Returns the record with the lowest number above `after` (0: the first), or NULL. */
const wg_target* wg_registry_next(const wg_registry* registry, uint32_t after);
const wg_target* wg_registry_find(const wg_registry* registry, uint32_t number);
/* Returns a key of the incarnation that, unlike its number, is the same in every registry. */
uint64_t wg_target_key(const wg_target* target);
uint64_t wg_registry_change(const wg_registry* registry);
/* Returns the records that changed after `since`. Sets `reset` if a copy at `since` has to be
   cleared first; it then gets the removed targets of the last WG_REGISTRY_ENDED_TIME too. The
   caller frees the array only. */
GPtrArray* wg_registry_changes(const wg_registry* registry, wg_time now, uint64_t since,
                               bool* reset);

/* ---- copies ---- */
void wg_registry_clear(wg_registry* registry);
/* Takes over a record of the copied registry. False if it is malformed. */
bool wg_registry_merge(wg_registry* registry, wg_time now, const Wgpb__TargetRecord* record);
void wg_registry_set_change(wg_registry* registry, uint64_t change);
/* Replaces the evacuated data centres by those of the copied registry. */
void wg_registry_set_evacuated(wg_registry* registry, char* const* names, size_t num);

/* ---- messages ---- */
/* Packs a record; `out` borrows its texts and carries the cold time left at `now`. */
void wg_target_pack(const wg_target* target, wg_time now, Wgpb__TargetRecord* out);
/* False if the record is malformed or a text is too long. */
bool wg_target_unpack(const Wgpb__TargetRecord* in, wg_time now, wg_target* target);
/* Returns a snapshot; freed with wgpb__registry_state__free_unpacked(). */
Wgpb__RegistryState* wg_registry_dump(const wg_registry* registry, wg_time now);
/* Loads a snapshot; false if it is malformed. Cold targets stay cold for the time that was left
   when the snapshot was made. */
bool wg_registry_load(wg_registry* registry, wg_time now, const Wgpb__RegistryState* state);
