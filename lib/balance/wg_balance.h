#pragma once
/*
    wg_balance.h -- which target a routed request goes to, as a pure state machine

    WHAT IT DOES
        Estimates for each target of a service how long a request would wait for its first event
        there: prompt tokens sent and not yet read, by this host and by all others, and the tokens
        of the request itself that are not cached there. The shortest wait wins.

    FEATURES
        - a shared prefix has two homes: the targets that rendezvous hashing gives it, the same on
          every host without a message; a long prefix goes elsewhere only at a price
        - a prefix that is small beside the bytes of its requests has a third home in each host's
          own data centre: a copy costs less than bytes between data centres; less so the more
          seldom such homes turn out to hold what they should
        - every target but the first home copies what it lacks of the prompt from there, where
          engines can do that: far less work than reading it again
        - a prefix counts as cached at its homes some time after the first prompt was sent; a fleet
          that starts cold is not filled as if it were warm
        - the more hosts decide at once on the same old loads, the fewer targets each weighs beside
          the homes, drawn by lot, so that they do not all take the same one, and the longer what
          others had at a target counts on: one that was flooded a moment ago is about to be again
        - the speed of each target is learnt from first events, the work that a request without a
          prompt takes there from whole answers; a target that fails is put aside for growing,
          jittered times
        - a target that asked this host for rest, or said that it leaves, is not there meanwhile:
          it is no home and is not drawn, however little it has to do
        - a request without a prompt may wait in the queue of a busy target, as long as it would
          still be answered within its limit
        - one request, one account: begin, read (first event), end

    USE
        1. wg_balance* b = wg_balance_setup(&(wg_balance_desc){.data_centre = dc, .seed = s});
        2. wg_balance_sync(b, now, registry);            // after each change
        3. wg_balance_set_others(b, now, number, unread, running);
        4. wg_choice c = wg_balance_choose(b, now, &need);
        5. wg_balance_begin(b, now, &c); wg_balance_read(b, now, &c); wg_balance_end(b, now, &c, r);

    THE CALLER OWNS
        the registry and the prompt. Choices are plain values.
*/
#include "wg_backoff.h"
#include "wg_registry.h"

enum {
    WG_PROMPT_PARTS_MAX = 16,
    WG_TRIED_MAX = 16,
    WG_DENIED_MAX = 8
};

/* Parts of a prompt in their order, as the caller named them. */
typedef struct {
    uint64_t parts[WG_PROMPT_PARTS_MAX]; /* ids */
    uint32_t sizes[WG_PROMPT_PARTS_MAX]; /* tokens */
    int num;
    uint32_t tokens; /* of the whole prompt */
    uint32_t answer; /* tokens made at most */
} wg_prompt;

/* What a request needs. */
typedef struct {
    const char* service;
    const wg_prompt* prompt; /* NULL for plain services */
    int slots;               /* of one target, when it told none */
    bool copies;             /* targets can copy what they hold of a prompt to each other */
    double slots_share;      /* part of a target's slots that may be taken before; 0: all */
    wg_time limit;  /* a target with a longer wait is chosen last, without a prompt not at all; 0 or
                       never: none */
    uint32_t bytes; /* of the request and its answer, about; 0: not known */
    uint32_t tried[WG_TRIED_MAX];
    int tried_num;
    uint32_t denied[WG_DENIED_MAX]; /* not now; they stay homes */
    int denied_num;
    uint32_t source;        /* a target that is known to hold the start of the prompt; 0: none */
    uint32_t source_tokens; /* so many */
} wg_need;

typedef struct {
    uint32_t target;    /* number in the registry; 0: none can take it */
    uint32_t unread;    /* tokens that the target has to read for it */
    uint32_t ahead;     /* tokens that it reads before */
    uint32_t source;    /* number of the target that it copies the rest from; 0: none */
    bool plain;         /* the request has no prompt */
    bool at_third;      /* the target is a third home of the prefix, in this data centre */
    uint32_t running;   /* requests that are under way there before it */
    bool is_fresh;      /* loads are as its coordinator told them a moment ago */
    uint32_t copied;    /* tokens from the start of the prompt that are sure to be there */
    wg_time wait;       /* estimate, to the first event */
    wg_time wait_ahead; /* the part of it that is others' prompts */
    wg_time begun;
    uint64_t home; /* last shared part, 0 none */
} wg_choice;

typedef enum {
    WG_RESULT_DEFAULT = 0,
    WG_RESULT_GOOD,
    WG_RESULT_FAILED,  /* broke off, hung, or answered with an error of its own */
    WG_RESULT_REFUSED, /* did not take the request */
    WG_RESULT_MOVED,   /* another incarnation answers at its address: it is gone */
    WG_RESULT_LEFT     /* the caller left: says nothing of the target */
} wg_result;

typedef struct {
    const char* data_centre; /* of this host; kept by reference */
    uint64_t seed;
    const wg_backoff* backoff; /* what targets ask of this host; by reference; NULL: nothing */
} wg_balance_desc;

/* What this host has under way at a target. */
typedef struct {
    uint32_t target;
    uint32_t unread;
    uint32_t running;
} wg_balance_load;

typedef struct wg_balance wg_balance;

/* Tokens of the prompt that other requests share: all parts but the last. */
uint32_t wg_prompt_shared(const wg_prompt* prompt);

wg_balance* wg_balance_setup(const wg_balance_desc* desc);
void wg_balance_shutdown(wg_balance* balance);
void wg_balance_sync(wg_balance* balance, wg_time now, const wg_registry* registry);
/* Loads of all other hosts: those not set since wg_balance_clear_others() count as 0. */
void wg_balance_clear_others(wg_balance* balance);
/* How many hosts decide on the same loads at once, this one too; 1 until told. */
void wg_balance_set_hosts(wg_balance* balance, int hosts);
void wg_balance_set_others(wg_balance* balance, uint32_t target, uint32_t unread, uint32_t running);
/* All that is known to be under way at a target: tokens to be read, requests. */
void wg_balance_load_of(const wg_balance* balance, uint32_t target, uint32_t* unread,
                        uint32_t* running);
/* Newer word of the same, of all hosts together. */
void wg_balance_note_load(wg_balance* balance, wg_time now, uint32_t target, uint32_t unread,
                          uint32_t running);
wg_choice wg_balance_choose(wg_balance* balance, wg_time now, const wg_need* need);
/* The prompt was sent to the target: its shared parts count as cached there for a while. */
void wg_balance_note_prompt(wg_balance* balance, wg_time now, uint32_t target,
                            const wg_prompt* prompt);
/* Of a prompt that was to go to a third home: did the home hold its shared parts? Where it seldom
   does, prompts go to the fleet's two homes again. */
void wg_balance_note_third(wg_balance* balance, bool held);
void wg_balance_begin(wg_balance* balance, wg_time now, wg_choice* choice);
/* The first event came: the prompt is read. */
void wg_balance_read(wg_balance* balance, wg_time now, wg_choice* choice);
void wg_balance_end(wg_balance* balance, wg_time now, wg_choice* choice, wg_result result);
/* Own loads that are not 0; at most `max`. */
int wg_balance_loads(const wg_balance* balance, wg_balance_load* loads, int max);
/* When a target is back for the request, if all that it may be sent to rest; 0: one does not, or
   there is none, also none that rests. */
wg_time wg_balance_back_at(const wg_balance* balance, wg_time now, const wg_need* need);
