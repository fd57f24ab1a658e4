#pragma once
/*
    wg_origin.h -- software versions at which streams began, and how a host finds one out

    WHAT IT DOES
        Targets of several software versions may serve side by side, and a stream may go on only at
        the version that began it. wg_origins keeps the version of each stream, by a hash of the id
        of the request that brought its first event. wg_origin_lookup decides whom a host asks that
        does not know a stream, and when it stops asking. Pure state machines.

    FEATURES
        - a stream is told to WG_ORIGIN_KEEPERS hosts, selected by rendezvous hashing: they are
          known to any host without a message, and outlive the host that began the stream
        - a lookup asks these first. Unless one knows the stream, it asks all hosts: lists of hosts
          may differ for a moment, and the message that tells the keepers may still be on its way
        - replicas of the control plane keep records too, in their replicated state: they outlive
          all processes
        - records are bounded in number and time; the oldest give way

    USE
        1. wg_origins* o = wg_origins_setup(&(wg_origins_desc){0});
        2. wg_origins_record(o, now, wg_origin_stream(id, workspace), &origin, life);
        3. wg_origins_find(o, now, stream);       // NULL: ask other hosts
        4. wg_origin_lookup l; wg_origin_lookup_begin(&l, now, asked);
           wg_origin_lookup_answer(&l, change);      // for each host that does not know it
           wg_origin_lookup_step(&l, now);           // whom to ask next, or that nobody knows it
        5. wg_origins_shutdown(o);

    THE CALLER OWNS
        all arguments. An origin that is returned is valid until the next change.
*/
#include "walnutgate.pb-c.h"
#include "wg_base.h"

enum {
    WG_ORIGIN_KEEPERS = 3, /* hosts that are told of a stream */
    WG_ORIGINS_MAX_DEFAULT = 128 * 1024,
    WG_ORIGIN_LIFE_MAX = 600 * WG_USEC_PER_SEC, /* of a record; longer ones are shortened */
    /* How long a round of a lookup waits for answers. Hosts of other data centres answer within a
       few milliseconds; a busy one takes longer. Microseconds. */
    WG_ORIGIN_ROUND_TIME = 40 * WG_USEC_PER_MSEC
};

typedef struct {
    int max; /* records; default WG_ORIGINS_MAX_DEFAULT */
} wg_origins_desc;

/* Where and when a stream began. */
typedef struct {
    const char* version; /* of its target's software */
    /* Number of the target in the registry, if the version is that of the registry; 0: the target
       itself stated the version, or that it is the process that the registry names. */
    uint32_t target;
    wg_time began_at;
} wg_origin;

typedef struct wg_origins wg_origins;

wg_origins* wg_origins_setup(const wg_origins_desc* desc);
void wg_origins_shutdown(wg_origins* origins);
/* Records where the stream began, for `life` microseconds. A later record of the stream replaces an
   earlier one. */
void wg_origins_record(wg_origins* origins, wg_time now, uint64_t stream, const wg_origin* origin,
                       wg_time life);
/* NULL if the stream is not known. */
const wg_origin* wg_origins_find(const wg_origins* origins, wg_time now, uint64_t stream);
/* When a stream began whose first event was `age_us` ago, as a message states it. */
wg_time wg_origin_began_at(wg_time now, uint64_t age_us);
/* Records all notes but malformed ones; returns the number of these. */
int wg_origins_record_notes(wg_origins* origins, wg_time now, Wgpb__OriginNote* const* notes,
                            size_t num);
/* States in an answer where a stream began, or that it is not known (NULL). The answer borrows the
   version. */
void wg_origin_fill_answer(Wgpb__OriginAnswer* answer, wg_time now, const wg_origin* origin);
/* The oldest `max` records, with the lives that are left to them. The caller frees the message. */
Wgpb__OriginNotes* wg_origins_dump(const wg_origins* origins, wg_time now, int max);
/* The same, and removes them. */
Wgpb__OriginNotes* wg_origins_take(wg_origins* origins, wg_time now, int max);
/* Drops expired records. */
void wg_origins_expire(wg_origins* origins, wg_time now);
int wg_origins_num(const wg_origins* origins);

/* Identifies a stream by the id of the request that brought its first event, and the hash of its
   workspace. Never 0. */
uint64_t wg_origin_stream(const char* id, uint64_t workspace);
/* Writes the indexes of the hosts that keep the stream to `keepers`, highest rank first; returns
   their number. `hosts`: hashes of their names. */
int wg_origin_select(uint64_t stream, const uint64_t* hosts, int num,
                     int keepers[WG_ORIGIN_KEEPERS]);

typedef enum {
    WG_ORIGIN_WAIT = 0,
    WG_ORIGIN_ASK_ALL, /* the keepers do not know the stream: ask all hosts, then call
                          wg_origin_lookup_ask_all() */
    WG_ORIGIN_UNKNOWN  /* nobody knows it */
} wg_origin_step;

/* State of a lookup. */
typedef struct {
    bool asked_all;
    int pending;                  /* asked in this round, not answered */
    int answered;                 /* answers of hosts in this round */
    wg_time expires_at;           /* end of this round */
    uint64_t registry_change_max; /* newest registry of a host that answered, as a change number */
    uint32_t records_from; /* highest number of hosts that answered, see wg_origin_host_answer */
    bool doubted;          /* a host has a record that is in doubt */
} wg_origin_lookup;

/* What a host says that does not know a stream. */
typedef struct {
    uint64_t registry_change; /* change number of its registry */
    /* Number of the last target that was registered when the host's records begin: it was told of
       streams at later ones, if it was to keep them. */
    uint32_t records_from;
    bool doubted; /* it has a record, but the target may have restarted around then */
} wg_origin_host_answer;

/* `asked`: number of keepers that were asked. */
void wg_origin_lookup_begin(wg_origin_lookup* lookup, wg_time now, int asked);
void wg_origin_lookup_ask_all(wg_origin_lookup* lookup, wg_time now, int asked);
/* A host answered that it does not know the stream. */
void wg_origin_lookup_answer(wg_origin_lookup* lookup, const wg_origin_host_answer* answer);
/* A replica answered that it does not know the stream. It says nothing of what hosts know. */
void wg_origin_lookup_replica_answer(wg_origin_lookup* lookup);
wg_origin_step wg_origin_lookup_step(const wg_origin_lookup* lookup, wg_time now);
