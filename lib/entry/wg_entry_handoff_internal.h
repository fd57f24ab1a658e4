#pragma once
/* wg_entry_handoff_internal.h -- state and functions that wg_entry_handoff.c, wg_entry_handed.c and
   wg_entry_taken.c share; not installed */
#include "wg_entry_internal.h"

/* A host that this one hands requests off to, and the link that this host dialled for that. */
typedef struct {
    char name[WG_NAME_MAX];
    int slot; /* in lib/handoff; -1: no longer a peer, it finishes the requests that it has */
    wgn_link link;
    bool up;       /* the handshake of the link is complete */
    bool stopping; /* it takes nothing more on this link */
    wg_time dial_at;
    int requests; /* in progress there */
} wg_handed_peer;

/* A request of a caller of this host that is at a peer. */
struct wg_handed {
    wg_client* client;
    wg_handed_peer* peer;
    uint64_t ticket;
    uint32_t tried; /* bit mask of the slots whose peers were tried */
    int sends;
    char* head_bytes; /* this and the next three until a peer takes the request */
    size_t head_size;
    wg_message_head* head;
    struct evbuffer* body;
    bool head_only; /* method is HEAD */
    bool acknowledged;
    bool late;   /* the peer did not acknowledge it in time */
    bool paused; /* the peer was asked to pause the answer */
    wg_time arrived_at;
    wg_time expires_at; /* end of the route's timeout, or the caller's deadline */
    wg_time sent_at;
    wg_time first_at; /* first byte of the answer; 0: none yet */
    uint64_t bytes;   /* of the answer */
    GList link;
};

/* A host that hands requests off to this one, by the link that it dialled. */
typedef struct {
    wgn_link link;
    char name[WG_NAME_MAX];
    GHashTable* taken; /* ticket -> wg_taken */
    bool told_stopping;
} wg_taken_owner;

/* A request of another host that this one serves. */
struct wg_taken {
    wg_client client; /* without a connection */
    wg_taken_owner* owner;
    uint64_t ticket;
    struct evbuffer* output; /* waits for room on the link, or for the time of the next frame */
    wg_time sent_at;         /* last frame with a part of the answer; 0: none yet */
    bool paused;             /* the owner asked to pause the answer */
    bool abandoned;          /* the owner no longer waits for the answer */
    bool answered;           /* the answer is complete, a part of it is in `output` */
    Wgpb__HandoffEnd end;    /* if `answered` */
    bool waiting;            /* linked in `waiting` of the entry host */
    GList link;
};

struct wg_entry_handoff {
    wg_handoff* decision;
    bool active; /* as of the last tick: requests may be handed off, links are needed */
    uint64_t roster_change;
    GPtrArray* peers; /* wg_handed_peer */
    wg_handed_peer* slots[WG_HANDOFF_PEERS_MAX];
    GHashTable* handed;        /* ticket -> wg_handed */
    GQueue handed_list;        /* the same, in the order in which they were handed off */
    GHashTable* owners;        /* id of a link -> wg_taken_owner */
    GQueue waiting;            /* wg_taken whose output waits */
    struct event* flush_timer; /* sends what is in `waiting` */
    bool begun;                /* HANDOFF_BEGUN was logged; the next three are valid */
    wg_time begun_at;
    wg_time last_short_at;        /* last tick at which not all requests were kept */
    wg_handoff_stats begun_stats; /* at `begun_at` */
};

/* wg_entry_handoff.c */

/* Load of this host, as lib/handoff needs it for decisions as owner and as peer. */
wg_handoff_load wg_entry_handoff_load(const wg_entry* e, wg_time now);

/* wg_entry_handed.c */

/* NULL: the link is not one to a peer. */
wg_handed_peer* wg_handed_peer_of(const wg_entry* e, wgn_link link);
/* Selects the peers anew if the roster has changed. */
void wg_handed_update_peers(wg_entry* e, wg_time now);
/* Opens the links that are needed. Closes others once they have no requests. */
void wg_handed_update_links(wg_entry* e, wg_time now);
/* Hands the request off, as wg_entry_handoff_begin(). Requires `active`. */
bool wg_handed_begin(wg_client* client, char* bytes, wg_message_head* head, struct evbuffer* body);
/* Sends a note about the request to its peer. */
void wg_handed_notify(const wg_handed* handed, Wgpb__HandoffWhat what);
/* Logs the end of the handoff and frees `handed`. Leaves the connection of the caller as it is. */
void wg_handed_end(wg_handed* handed, const char* end);
/* The link closed: ends the requests that are at the peer. */
void wg_handed_lose_peer(wg_entry* e, wg_handed_peer* peer);
/* False if the frame is malformed. */
bool wg_handed_on_answer(wg_entry* e, wgn_link link, const wgw_frame* frame);
/* Records a late acknowledgement, and ends the request after its time. May free `handed`. */
void wg_handed_tick(wg_handed* handed, wg_time now);

/* wg_entry_taken.c */

/* NULL: the link is not one of an owner. */
wg_taken_owner* wg_taken_owner_of(const wg_entry* e, wgn_link link);
/* A GDestroyNotify. */
void wg_taken_owner_free(void* owner);
/* Tells the owner to hand nothing more off on this link, once. */
void wg_taken_owner_tell_stopping(const wg_entry* e, wg_taken_owner* owner);
/* These two return false if the frame is malformed. */
bool wg_taken_on_request(wg_entry* e, wgn_link link, const wgw_frame* frame);
bool wg_taken_on_note(wg_entry* e, wgn_link link, const wgw_frame* frame);
/* The link closed: ends the requests of the owner, and frees it. */
void wg_taken_lose_owner(wg_entry* e, wg_taken_owner* owner);
/* Callback of `flush_timer`; `user_data` is the wg_entry. */
void wg_taken_on_flush_timer(evutil_socket_t fd, short what, void* user_data);
/* These three implement wg_entry_handoff_write(), _answered() and _cut(). */
void wg_taken_write(wg_taken* taken, struct evbuffer* bytes);
void wg_taken_answered(wg_taken* taken, bool keep);
void wg_taken_cut(wg_taken* taken);
