#pragma once
/*
    wg_balance.h -- target selection for routed requests, as a pure state machine

    WHAT IT DOES
        Considers the home targets of a request's prompt prefix, and some other targets of the
        service at random. Estimates for each the time to the first event: the prompt tokens that
        all hosts have queued there, plus the tokens of this request that the target does not have
        cached. Picks the target with the lowest cost, that is the estimate plus penalties.

    FEATURES
        - prefix affinity: rendezvous hashing gives each shared prefix two home targets, the same on
          every host without communication; a long prefix goes elsewhere only at a penalty
        - a prefix that is small compared to the bytes of its requests has a third home in each
          host's own data centre, since copying the prefix is cheaper than sending the bytes to a
          remote data centre; the penalty of a third home grows as its hit rate falls
        - every target but the first home copies the missing part of a prompt from the first home,
          where engines support it, which is far cheaper than computing it again
        - homes count as holding their prefixes only some time after the first prompt was sent, so
          that a fleet that starts cold is not loaded as if it were warm
        - the more hosts decide on the same outdated loads, the fewer targets beside the homes each
          host samples at random, so that they do not all pick the same one, and the more slowly
          the load that other hosts reported for a target decays, since a target that was just
          overloaded is likely to be overloaded again
        - prompt speed is learned from times to the first event (lib/speed) until the target's
          coordinator reports its own values, the service time of requests
          without a prompt from complete answers; a failing target is ejected for jittered periods
          that grow with each failure
        - a target that asked this host to back off, or that is draining, is no home and is not
          sampled, however little load it has
        - a stream that an earlier request began is restricted to targets with the software version
          that began it, wherever these are homes or sampled
        - a request without a prompt may queue at a busy target if it would still be answered within
          its limit
        - each request is accounted for by three calls: begin, first event, end

    USE
        1. wg_balance* b = wg_balance_setup(&(wg_balance_desc){.data_centre = dc, .seed = s});
        2. wg_balance_sync_target(b, registry, number);  // after each change of a target
           wg_balance_sync(b, registry);                 // after a change that concerns all of them
        3. wg_balance_set_others_load(b, number, unread, running);
        4. wg_balance_choice c = wg_balance_choose(b, now, &request);
        5. wg_balance_begin(b, now, &c);                 // the request is sent
           wg_balance_first_event(b, now, &c);
           wg_balance_end(b, now, &c, result);

    THE CALLER OWNS
        the registry and the prompt. Choices are plain values.
*/
#include "wg_backoff.h"
#include "wg_registry.h"
#include "wg_room.h"
#include "wg_speed.h"

enum {
    WG_PROMPT_PARTS_MAX = 16,
    /* More tokens stated for a prompt or an answer are cut to this. 4,096 such prompts at one
       target fit into 32 bits, in which their sum is kept. */
    WG_PROMPT_TOKENS_MAX = (1 << 20) - 1,
    WG_TRIED_MAX = 16,
    WG_DENIED_MAX = 8
};

/* The parts of a prompt, in order, identified by ids of the caller. */
typedef struct {
    uint64_t parts[WG_PROMPT_PARTS_MAX];
    uint32_t sizes[WG_PROMPT_PARTS_MAX]; /* tokens */
    int num;
    uint32_t tokens; /* length of the complete prompt */
    uint32_t answer; /* maximum number of answer tokens */
} wg_prompt;

/* What a request needs of a target: the input of wg_balance_choose(). */
typedef struct {
    const char* service;
    const wg_prompt* prompt; /* NULL: the request has no prompt */
    int slots;               /* per target, for targets that report no slots of their own */
    bool copies;             /* targets can copy cached prompt parts from each other */
    double slots_share;      /* fraction of a target's slots that may be in use already; 0: all */
    /* Longest estimated wait, microseconds; 0: no limit. Targets with a longer wait are chosen
       last. Without a prompt, a target whose slots are all in use is chosen only within a limit
       that is not 0. */
    wg_time wait_max;
    uint32_t bytes;               /* estimated size of the request and its answer; 0: not known */
    const char* version;          /* only targets with this software version; NULL: any */
    uint32_t tried[WG_TRIED_MAX]; /* targets that the request was sent to before; not eligible */
    int tried_num;
    /* targets excluded from this selection, mostly by a denial of their coordinator; they still
       count as homes */
    uint32_t denied[WG_DENIED_MAX];
    int denied_num;
    uint32_t source;        /* number of a target known to hold the start of the prompt; 0: none */
    uint32_t source_tokens; /* length of the start of the prompt that `source` holds */
} wg_balance_request;

/* Whether targets of a software version serve. */
typedef enum {
    WG_VERSION_GONE = 0, /* no target is left, or only draining ones */
    WG_VERSION_AWAY,     /* its targets accept no requests now, but may again */
    WG_VERSION_SERVES
} wg_version_presence;

/* The target selected for a request, with the estimates that led to it. */
typedef struct {
    uint32_t target;    /* number in the registry; 0: no target can take the request */
    uint32_t unread;    /* prompt tokens of this request that the target has to process */
    uint32_t ahead;     /* prompt tokens of other requests that are queued before this one */
    uint32_t source;    /* number of the target to copy missing prompt parts from; 0: none */
    bool plain;         /* the request has no prompt */
    bool is_third_home; /* the target is the third home of the prefix, in this data centre */
    uint32_t running;   /* requests in progress at the target before this one */
    bool is_read;       /* the first event was received */
    bool is_fresh;      /* the estimate uses a recent report of the target's coordinator */
    uint32_t copied;    /* tokens at the start of the prompt that `source` is known to hold */
    wg_time wait;       /* estimated time to the first event, without a prompt to the answer */
    wg_time wait_ahead; /* the part of `wait` caused by prompts of other requests */
    wg_time late;       /* lateness of the target, a part of both waits */
    wg_time started_at; /* set by wg_balance_begin() */
    /* Incarnation at whose load the request counts, set by wg_balance_begin(); 0: at none. */
    uint64_t incarnation;
    uint64_t prefix; /* id of the last shared part of the prompt; 0: none */
} wg_balance_choice;

typedef enum {
    WG_RESULT_DEFAULT = 0,
    WG_RESULT_SUCCESS,
    WG_RESULT_FAILED, /* the target aborted the request, hung, or answered with an error */
    WG_RESULT_REFUSED,
    WG_RESULT_REPLACED,           /* another incarnation answers at the target's address */
    WG_RESULT_CALLER_DISCONNECTED /* the caller aborted the request; does not count for or against
                                     the target */
} wg_result;

typedef struct {
    const char* data_centre; /* of this host; borrowed */
    uint64_t seed;
    const wg_backoff* backoff; /* backoff state of targets; borrowed; NULL: none */
    bool learn_base;           /* see wg_speed_desc */
} wg_balance_desc;

/* Load that this host has in progress at a target. */
typedef struct {
    uint32_t target;
    uint32_t unread;
    uint32_t running;
} wg_balance_load;

typedef struct wg_balance wg_balance;

/* Tokens of the prompt that other requests may share: all parts but the last. */
uint32_t wg_prompt_shared(const wg_prompt* prompt);

wg_balance* wg_balance_setup(const wg_balance_desc* desc);
void wg_balance_shutdown(wg_balance* balance);
/* Takes over one target of the registry, or drops it if it was removed there. Loads and estimates
   of a known target are kept, and those of a removed one while requests run there. The cost does
   not grow with the number of targets but for moving pointers. */
void wg_balance_sync_target(wg_balance* balance, const wg_registry* registry, uint32_t number);
/* Takes over all targets of the registry. */
void wg_balance_sync(wg_balance* balance, const wg_registry* registry);
/* Resets the loads of other hosts. Targets not set again count as 0. */
void wg_balance_clear_others_load(wg_balance* balance);
/* Sets the number of hosts, including this one, that decide on the same loads; 1 by default. */
void wg_balance_set_hosts(wg_balance* balance, int hosts);
void wg_balance_set_others_load(wg_balance* balance, uint32_t target, uint32_t unread,
                                uint32_t running);
/* Returns the known load of a target from all hosts: prompt tokens not yet processed, and
   requests. */
void wg_balance_load_of(const wg_balance* balance, uint32_t target, uint32_t* unread,
                        uint32_t* running);
/* Returns the requests of this host in progress at a target. */
uint32_t wg_balance_own_running(const wg_balance* balance, uint32_t target);
/* Updates the load of a target with a newer report of the total over all hosts, including this
   one. */
void wg_balance_update_load(wg_balance* balance, wg_time now, uint32_t target, uint32_t unread,
                            uint32_t running);
/* Updates the speed and the lateness of a target with a report of its coordinator; neither has to
   be valid. After a valid speed this host learns no values itself. Does nothing without
   `learn_base`. */
void wg_balance_update_speed(wg_balance* balance, wg_time now, uint32_t target,
                             const wg_speed_values* values, wg_time late);
/* Returns the last known values of a target; no samples: not known. */
wg_speed_values wg_balance_speed_of(const wg_balance* balance, uint32_t target);
wg_balance_choice wg_balance_choose(wg_balance* balance, wg_time now,
                                    const wg_balance_request* request);
wg_version_presence wg_balance_version_presence(const wg_balance* balance, const char* service,
                                                const char* version);
/* Returns the expected time, microseconds, in which the target processes `tokens` prompt tokens; 0
   if the target is not known. */
wg_time wg_balance_read_time(const wg_balance* balance, uint32_t target, uint32_t tokens);
/* True if at least half of the service's ready targets have nothing in progress, as far as this
   host knows. */
bool wg_balance_has_room(wg_balance* balance, wg_time now, const char* service);
/* True if at least half of the service's ready targets have room, as far as this host knows: the
   loads of other hosts may be older, its own are not. `wait_max`: see wg_room_target_has_room().
   Also true for a service without ready targets. */
bool wg_balance_leaves_room(const wg_balance* balance, const char* service, wg_time wait_max);
/* Records that the prompt was sent to the target: its shared parts count as cached there for
   WG_CACHED_TIME. */
void wg_balance_record_prompt(wg_balance* balance, wg_time now, uint32_t target,
                              const wg_prompt* prompt);
/* Records whether the third home of a prefix held the shared parts of a prompt. With a low hit
   rate, prompts go to the two fleet-wide homes instead. */
void wg_balance_record_third_home(wg_balance* balance, bool held);
/* Adds the request to the load of its target. */
void wg_balance_begin(wg_balance* balance, wg_time now, wg_balance_choice* choice);
/* The first event was received: the target has processed the prompt. */
void wg_balance_first_event(wg_balance* balance, wg_time now, wg_balance_choice* choice);
/* Removes the request from the load of its target, and updates the target's health. */
void wg_balance_end(wg_balance* balance, wg_time now, wg_balance_choice* choice, wg_result result);
/* Writes the nonzero loads of this host to `loads`, at most `max`; returns their number. */
int wg_balance_loads(const wg_balance* balance, wg_balance_load* loads, int max);
/* Returns the backoff period that ends first if all eligible targets are in backoff; all 0 if one
   target is not, or if there are no eligible targets. */
wg_backoff_period wg_balance_backoff(const wg_balance* balance, wg_time now,
                                     const wg_balance_request* request);
