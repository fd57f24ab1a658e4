#pragma once
/*
    wg_net.h -- framed links between walnutgate's own processes, over libevent

    WHAT IT DOES
        Keeps TCP links that carry the frames of lib/wire. Both ends prove that they hold the fleet
        key before any other frame is accepted.

    FEATURES
        - dials and accepts links; mutual proof of the fleet key, with a deadline
        - an idle link sends pings; a link that receives nothing until its deadline is closed, so a
          network failure is detected without a TCP reset
        - a link whose peer does not read is closed when its unsent bytes reach a limit, or when the
          queued bytes of all links together do
        - a message for many links is packed and compressed once, and the links share its bytes
        - links have the highest priority where the event base has priorities, so an overloaded host
          still receives the leader's messages
        - counters of frames and bytes by type, for the limits on control traffic

    USE
        1. wgn_setup(&(wgn_desc){.base = base, .fleet_key = key, .self = {...}, .on_up = ...},
                     &error);
        2. wgn_listen(net, "127.0.0.1:7100", &error);
        3. wgn_link link = wgn_dial(net, "127.0.0.1:7101");
        4. wgn_send(net, link, WGW_TYPE_PING, &message.base);
        5. wgn_shutdown(net);

    THE CALLER OWNS
        the event base and whatever user_data points at. Peers returned by wgn_query_peer() are
        valid until the link closes. Callbacks may call wgn_close() and wgn_send().
*/
#include "wg_wire.h"

#include <event2/event.h>

enum {
    WGN_PRIORITY = 0,   /* highest priority of the event loop, for links and their tick */
    WGN_PRIORITIES = 2, /* minimum of an event loop with priorities: links, then all other events */
    WGN_LINKS_DEFAULT = 1024,
    WGN_UNPROVEN_MIN = 64,   /* smallest value of wgn_desc.unproven_max for a known limit */
    WGN_LINKS_LIMIT = 65000, /* what handles of links can tell apart */
    WGN_PROOF_DEADLINE_DEFAULT = 2 * WG_USEC_PER_SEC,
    WGN_RECEIVE_DEADLINE_DEFAULT = 4 * WG_USEC_PER_SEC,
    WGN_PING_INTERVAL_DEFAULT = 1 * WG_USEC_PER_SEC,
    WGN_UNSENT_MAX_DEFAULT = 32 << 20,
    WGN_WAITING_MAX_DEFAULT = 64 << 20,
    /* Share of the memory limit of a process that queued frames may use, as a divisor. The rest is
       for log entries, their copies in flight to replicas, and documents. */
    WGN_WAITING_MEMORY_DIVISOR = 4
};

/* Handle of a link; id 0 is invalid. */
typedef struct {
    uint32_t id;
} wgn_link;

/* What an end of a link states about itself in its hello. */
typedef struct {
    char name[WG_NAME_MAX];
    wgw_role role;
    uint64_t cluster;     /* 0 while unknown */
    uint64_t identity;    /* replica identity; 0 for routers */
    uint64_t incarnation; /* differs between starts of a process */
    char address[WG_ADDRESS_MAX];
    char data_centre[WG_NAME_MAX];
} wgn_peer;

typedef struct wgn_net wgn_net;
/* A message packed once for any number of links; reference-counted. */
typedef struct wgn_frame wgn_frame;

typedef struct {
    struct event_base* base; /* required */
    const char* fleet_key;   /* required; not copied */
    wgn_peer self;
    int links_max;            /* default WGN_LINKS_DEFAULT */
    int unproven_max;         /* accepted links whose peers have not proved the fleet key; default:
                                 half of links_max */
    size_t frame_max;         /* bytes of payload, default WGW_FRAME_MAX_DEFAULT */
    size_t unsent_max;        /* unsent bytes of one link, default WGN_UNSENT_MAX_DEFAULT */
    size_t waiting_max;       /* unsent bytes of shared frames on all links together, each frame
                                 counted once; default WGN_WAITING_MAX_DEFAULT */
    wg_time proof_deadline;   /* default WGN_PROOF_DEADLINE_DEFAULT */
    wg_time receive_deadline; /* default WGN_RECEIVE_DEADLINE_DEFAULT */
    wg_time ping_interval;    /* default WGN_PING_INTERVAL_DEFAULT */
    /* The peer's proof was valid; frames can be sent from now on. */
    void (*on_up)(wgn_link link, const wgn_peer* peer, void* user_data);
    void (*on_frame)(wgn_link link, const wgw_frame* frame, void* user_data);
    /* The link was closed; also called for a link that never came up, with peer NULL. */
    void (*on_down)(wgn_link link, const wgn_peer* peer, void* user_data);
    void* user_data;
} wgn_desc;

/* Sent frames of one type; bytes include the frame headers. */
typedef struct {
    uint64_t frames;
    uint64_t bytes;
    uint64_t remote_bytes; /* bytes sent to other data centres */
} wgn_type_stats;

typedef struct {
    uint64_t bytes_sent;
    uint64_t bytes_received;
    uint64_t frames_sent;
    uint64_t frames_received;
    uint64_t frames_bad;
    uint64_t proofs_bad;
    uint64_t links_replaced; /* unproven links closed or refused as there were too many */
    uint64_t links_slow;     /* links closed because the peer did not read fast enough */
    uint64_t waiting;        /* unsent bytes of shared frames, each frame counted once */
    int links;
    wgn_type_stats sent[WGW_TYPE_NUM];
} wgn_stats;

/* Value of wgn_desc.links_max for a process with this descriptor limit; 0 for an unknown limit.
   Every process of the fleet may connect to this one, so only the process's own limit bounds their
   number. */
static inline int wgn_links_max(int64_t descriptors) {
    return (int)CLAMP(descriptors, (int64_t)WGN_LINKS_DEFAULT, (int64_t)WGN_LINKS_LIMIT);
}
/* Value of wgn_desc.unproven_max for a process with this descriptor limit; 0 (the default) for an
   unknown limit. */
static inline int wgn_unproven_max(int64_t descriptors) {
    return descriptors > 0 ? (int)CLAMP(descriptors / 2, (int64_t)WGN_UNPROVEN_MIN,
                                        (int64_t)WGN_LINKS_LIMIT / 2)
                           : 0;
}
/* Value of wgn_desc.waiting_max for a process with this memory limit in MB; 0 (the default) for an
   unknown limit. */
static inline size_t wgn_waiting_max(double memory_mb) {
    return (size_t)(memory_mb * (1 << 20) / WGN_WAITING_MEMORY_DIVISOR);
}
/* Returns NULL with an error if the desc is invalid. */
wgn_net* wgn_setup(const wgn_desc* desc, GError** error);
void wgn_shutdown(wgn_net* net);
/* Starts to accept links on "ip:port". */
bool wgn_listen(wgn_net* net, const char* address, GError** error);
/* Starts to connect to "ip:port". Returns id 0 if the address is malformed or no link is
   free. */
wgn_link wgn_dial(wgn_net* net, const char* address);
/* Queues one message. False if the link is closed or not up yet, or if it is about to be closed
   because the peer does not read fast enough. */
bool wgn_send(wgn_net* net, wgn_link link, wgw_type type, const ProtobufCMessage* message);
/* Packs a message. The caller owns the returned reference. */
wgn_frame* wgn_frame_pack(wgw_type type, const ProtobufCMessage* message);
/* Like wgn_frame_pack(), compressed if that makes it shorter. For a message that is sent on many
   links, since compressing it costs more than sending it once. */
wgn_frame* wgn_frame_pack_compressed(wgw_type type, const ProtobufCMessage* message);
wgn_frame* wgn_frame_ref(wgn_frame* frame);
/* Accepts NULL. */
void wgn_frame_unref(wgn_frame* frame);
/* Like wgn_send(), with a packed message. */
bool wgn_send_frame(wgn_net* net, wgn_link link, wgn_frame* frame);
/* Overrides the ping interval and the receive deadline of one link. Both ends have to use the same
   values. */
void wgn_set_timing(wgn_net* net, wgn_link link, wg_time ping_interval, wg_time receive_deadline);
/* Closes the link at once; on_down is called before this returns. */
void wgn_close(wgn_net* net, wgn_link link);
/* The peer of the link, or NULL if the link is not up. */
const wgn_peer* wgn_query_peer(const wgn_net* net, wgn_link link);
/* Bytes queued on the link that the kernel has not taken yet; 0 if the link is closed. */
size_t wgn_query_unsent(const wgn_net* net, wgn_link link);
/* Bytes that the peer of the link has not received yet, as far as is known here: queued on the
   link, or held by the kernel; 0 if the link is closed. */
size_t wgn_query_undelivered(const wgn_net* net, wgn_link link);
wgn_stats wgn_query_stats(const wgn_net* net);
/* Appends metrics of sent frames by type and of queued bytes, in Prometheus text format. */
void wgn_print_metrics(const wgn_net* net, GString* out);
/* Sets the cluster id of later hellos. A process learns it on first contact with the cluster. */
void wgn_set_cluster(wgn_net* net, uint64_t cluster);

/* Parses "ip:port" or "[v6]:port" into a socket address. False if malformed. */
bool wgn_parse_address(const char* text, struct sockaddr_storage* out, int* out_size);
/* Splits "ip:port"; `ip` has WG_ADDRESS_MAX bytes. False if malformed. */
bool wgn_split_address(const char* text, char* ip, uint16_t* port);
