#pragma once
/*
    wg_net.h -- framed links between walnutgate's own processes, over libevent

    WHAT IT DOES
        Keeps TCP links that carry frames of lib/wire. Both ends prove that they hold the fleet key
        before any other frame is taken.

    FEATURES
        - dial and accept, one proof each way, deadline on the proof
        - a quiet link sends a ping each second; silence past the deadline closes the link, so a
          silent cut is noticed without a TCP reset
        - a peer that does not read is cut off at a limit of unsent bytes, or when all links
          together wait with more than the process may hold
        - a message for many links is packed once and its bytes are shared by them
        - links go before other events where the base has priorities: a host that is flooded by
          callers still hears the leader
        - counters of frames and bytes by type, which the control budget is held to

    USE
        1. wgn_setup(&net, &(wgn_desc){.base = base, .fleet_key = key, .self = {...}, .on_up =
   ...});
        2. wgn_listen(&net, "127.0.0.1:7100", &error);
        3. wgn_link link = wgn_dial(&net, "127.0.0.1:7101");
        4. wgn_send(&net, link, WGW_TYPE_PING, NULL);
        5. wgn_shutdown(&net);

    THE CALLER OWNS
        the event base and whatever user_data points at. Peers returned by wgn_query_peer() are
   valid until the link closes. Callbacks may call wgn_close() and wgn_send().
*/
#include "wg_wire.h"

#include <event2/event.h>

enum {
    WGN_PRIORITY = 0,   /* of links in the event loop: before all else */
    WGN_PRIORITIES = 2, /* for event_base_priority_init(); other events take the last one */
    WGN_LINKS_DEFAULT = 1024,
    WGN_PROOF_DEADLINE_DEFAULT = 2 * WG_USEC_PER_SEC,
    WGN_SILENCE_DEADLINE_DEFAULT = 4 * WG_USEC_PER_SEC,
    WGN_PING_INTERVAL_DEFAULT = 1 * WG_USEC_PER_SEC,
    WGN_UNSENT_MAX_DEFAULT = 32 << 20,
    WGN_WAITING_MAX_DEFAULT = 64 << 20,
    /* Of the memory that a process may take, one part in so many may wait on links: a log entry,
       its copies on the way to the other replicas and the documents take the rest. */
    WGN_WAITING_PART = 4
};

/* A link; id 0 is none. */
typedef struct {
    uint32_t id;
} wgn_link;

/* What each end says of itself. */
typedef struct {
    char name[WG_NAME_MAX];
    wgw_role role;
    uint64_t cluster;     /* 0 while unknown */
    uint64_t identity;    /* replica identity; 0 for routers */
    uint64_t incarnation; /* differs at each start */
    char address[WG_ADDRESS_MAX];
    char data_centre[WG_NAME_MAX];
} wgn_peer;

typedef struct wgn_net wgn_net;
/* A message that was packed once, for any number of links. */
typedef struct wgn_frame wgn_frame;

typedef struct {
    struct event_base* base; /* required */
    const char* fleet_key;   /* required, kept by reference */
    wgn_peer self;
    int links_max;            /* default WGN_LINKS_DEFAULT */
    size_t frame_max;         /* bytes, default WGW_FRAME_MAX_DEFAULT */
    size_t unsent_max;        /* bytes of one link, default WGN_UNSENT_MAX_DEFAULT */
    size_t waiting_max;       /* bytes of large frames that wait on all links together, each frame
                                 counted once; default WGN_WAITING_MAX_DEFAULT */
    wg_time proof_deadline;   /* default WGN_PROOF_DEADLINE_DEFAULT */
    wg_time silence_deadline; /* default WGN_SILENCE_DEADLINE_DEFAULT */
    wg_time ping_interval;    /* default WGN_PING_INTERVAL_DEFAULT */
    /* The proof of the other end was right; the link carries frames from now on. */
    void (*on_up)(wgn_link link, const wgn_peer* peer, void* user_data);
    void (*on_frame)(wgn_link link, const wgw_frame* frame, void* user_data);
    /* The link ended, also one that never came up. */
    void (*on_down)(wgn_link link, const wgn_peer* peer, void* user_data);
    void* user_data;
} wgn_desc;

/* Frames of one type that were sent, and their bytes with heads. */
typedef struct {
    uint64_t frames;
    uint64_t bytes;
    uint64_t far_bytes; /* of them, to another data centre */
} wgn_type_stats;

typedef struct {
    uint64_t bytes_sent;
    uint64_t bytes_received;
    uint64_t frames_sent;
    uint64_t frames_received;
    uint64_t frames_bad;
    uint64_t proofs_bad;
    uint64_t links_slow; /* closed because they did not take what was sent */
    uint64_t waiting;    /* bytes of large frames that wait, each counted once */
    int links;
    wgn_type_stats sent[WGW_TYPE_NUM]; /* by type */
} wgn_stats;

/* wgn_desc.waiting_max for a process that may take so much memory, in MB; 0: not told. */
static inline size_t wgn_waiting_max(int64_t memory_mb) {
    return (size_t)memory_mb * (1 << 20) / WGN_WAITING_PART;
}
/* Returns NULL with an error when the desc is wrong. */
wgn_net* wgn_setup(const wgn_desc* desc, GError** error);
void wgn_shutdown(wgn_net* net);
/* Accept links on "ip:port". */
bool wgn_listen(wgn_net* net, const char* address, GError** error);
/* Begin a link; id 0 when the address is malformed or no slot is free. */
wgn_link wgn_dial(wgn_net* net, const char* address);
/* Send one message; false when the link is gone, not up yet, or about to be closed because it does
   not take what is sent. */
bool wgn_send(wgn_net* net, wgn_link link, wgw_type type, const ProtobufCMessage* message);
/* Pack a message; the caller holds a reference. */
wgn_frame* wgn_frame_pack(wgw_type type, const ProtobufCMessage* message);
wgn_frame* wgn_frame_ref(wgn_frame* frame);
/* NULL is passed over. */
void wgn_frame_unref(wgn_frame* frame);
/* The same as wgn_send() with the message of the frame. */
bool wgn_send_frame(wgn_net* net, wgn_link link, wgn_frame* frame);
/* A link that matters less than others: pings and silence of its own, at both ends alike. */
void wgn_set_pace(wgn_net* net, wgn_link link, wg_time ping_interval, wg_time silence_deadline);
/* Close at once; on_down is called before this returns. */
void wgn_close(wgn_net* net, wgn_link link);
/* The other end, or NULL while the link is not up. */
const wgn_peer* wgn_query_peer(const wgn_net* net, wgn_link link);
wgn_stats wgn_query_stats(const wgn_net* net);
/* Metrics of what was sent, by type of frame, and of what waits (Prometheus text). */
void wgn_print_metrics(const wgn_net* net, GString* out);
/* Change what later hellos say (the cluster becomes known after the first contact). */
void wgn_set_cluster(wgn_net* net, uint64_t cluster);

/* Parse "ip:port" ("[v6]:port" too) into a socket address; false when malformed. */
bool wgn_parse_address(const char* text, struct sockaddr_storage* out, int* out_size);
/* Split "ip:port" into its parts; `ip` has WG_ADDRESS_MAX bytes. */
bool wgn_split_address(const char* text, char* ip, uint16_t* port);
