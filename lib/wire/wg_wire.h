#pragma once
/*
    wg_wire.h -- frames and messages between walnutgate's own processes

    WHAT IT DOES
        Splits a byte stream into frames and defines their message types. Payloads are protobuf-c
        messages of proto/walnutgate.proto; the generated code is in this directory.

    FEATURES
        - 8-byte header: payload length (big-endian u32), magic byte, version, type, zero
        - a length over the limit or a wrong magic, version or type is an error
        - proof of the fleet key: HMAC-SHA256 over both hellos, with one label for each direction

    USE
        1. wgw_frame_header_pack(head, type, payload_size);
        2. switch (wgw_frame_parse(bytes, size, max, &frame)) { case WGW_PARSE_COMPLETE: ... }

    THE CALLER OWNS
        all buffers. wgw_frame.payload points into the caller's bytes.
*/
#include "wg_base.h"
#include "walnutgate.pb-c.h"

enum {
    WGW_HEADER_SIZE = 8,
    WGW_VERSION = 1,
    WGW_MAGIC = 0xA7,
    WGW_FRAME_MAX_DEFAULT = 4 << 20, /* bytes of payload */
    WGW_MAC_SIZE = 32,
    WGW_NONCE_SIZE = 16
};

/* Message type of a frame; the numbers are part of the wire format. */
typedef enum {
    WGW_TYPE_DEFAULT = 0, /* never on the wire */
    WGW_TYPE_HELLO,
    WGW_TYPE_PROOF,
    WGW_TYPE_PING, /* without payload; keeps an idle link alive */
    WGW_TYPE_QUORUM,
    WGW_TYPE_REPORT,
    WGW_TYPE_REPLY,
    WGW_TYPE_ROW_QUERY,
    WGW_TYPE_ROW_ANSWER,
    WGW_TYPE_CLAIM_ASK,
    WGW_TYPE_CLAIM_ANSWER,
    WGW_TYPE_ENTRY_REPORT,
    WGW_TYPE_ENTRY_STATE,
    WGW_TYPE_ORDER,
    WGW_TYPE_ORDER_ANSWER,
    WGW_TYPE_ADMIT_ASK,
    WGW_TYPE_ADMIT_ANSWER,
    WGW_TYPE_ADMIT_NOTE,
    WGW_TYPE_CONFIGURATION, /* from the leader, in full or as a difference */
    WGW_TYPE_HANDOFF_REQUEST,
    WGW_TYPE_HANDOFF_ANSWER,
    WGW_TYPE_HANDOFF_NOTE,
    WGW_TYPE_ORIGIN_NOTE,
    WGW_TYPE_ORIGIN_ASK,
    WGW_TYPE_ORIGIN_ANSWER,
    WGW_TYPE_LEADER_ASK,
    WGW_TYPE_LEADER_ANSWER,
    WGW_TYPE_TARGET_ASK,
    WGW_TYPE_TARGET_ANSWER,
    WGW_TYPE_NUM
} wgw_type;

/* Name of a message type in metrics. */
const char* wgw_type_name(wgw_type type);

/* Outcome of an order; the numbers are part of the wire format. */
typedef enum {
    WG_ORDER_DEFAULT = 0,
    WG_ORDER_DONE,
    WG_ORDER_NOT_LEADER, /* try another control; nothing was changed */
    WG_ORDER_UNKNOWN,    /* may or may not have been committed */
    WG_ORDER_INVALID,
    WG_ORDER_NO_CONFIGURATION, /* no configuration exists yet */
    WG_ORDER_NUM
} wg_order_outcome;

/* Name of an outcome in logs. */
const char* wgw_outcome_name(wg_order_outcome outcome);

/* Role of a process on a link; the numbers are part of the wire format. */
typedef enum {
    WGW_ROLE_DEFAULT = 0,
    WGW_ROLE_CONTROL,
    WGW_ROLE_ROUTER,
    WGW_ROLE_ENTRY, /* entry host */
    WGW_ROLE_NUM
} wgw_role;

typedef enum {
    WGW_PARSE_DEFAULT = 0,
    WGW_PARSE_MORE,     /* incomplete; more bytes are needed */
    WGW_PARSE_COMPLETE, /* complete; frame.size bytes of payload follow the header */
    WGW_PARSE_BAD,      /* invalid, close the link; frame.reason is set */
    WGW_PARSE_NUM
} wgw_parse;

typedef struct {
    wgw_type type;
    bool compressed; /* the payload is a zstd frame */
    const uint8_t* payload;
    size_t size;
    const char* reason;
} wgw_frame;

/* Writes the header of a frame. */
void wgw_frame_header_pack(uint8_t head[WGW_HEADER_SIZE], wgw_type type, size_t payload_size);
/* Marks the payload after a header as compressed. */
void wgw_frame_header_mark_compressed(uint8_t head[WGW_HEADER_SIZE]);
/* Parses the frame at the start of `bytes`. `max` limits the payload; 0 means
   WGW_FRAME_MAX_DEFAULT. If the header is complete, frame.size is set even for WGW_PARSE_MORE. */
wgw_parse wgw_frame_parse(const uint8_t* bytes, size_t size, size_t max, wgw_frame* frame);

/* Computes the proof that the sender holds the fleet key. `label` is "dialer" or "acceptor". */
void wgw_proof(const char* fleet_key, const char* label, const uint8_t* dialer_hello,
               size_t dialer_size, const uint8_t* acceptor_hello, size_t acceptor_size,
               uint8_t out[WGW_MAC_SIZE]);
/* Compares two proofs in constant time. */
bool wgw_proof_equal(const uint8_t* a, const uint8_t* b);

/* A HandoffAnswer. `bytes` points into the payload that it was parsed from. */
typedef struct {
    uint64_t ticket;      /* of the owner's request, unique on its link */
    const uint8_t* bytes; /* next part of the HTTP answer; NULL: none */
    size_t size;          /* of `bytes` */
    Wgpb__HandoffEnd end;
    bool by_connection; /* the answer has neither a length nor chunks */
} wgw_handoff_answer;

/* Parses a packed HandoffAnswer without a copy of its bytes: an overloaded host receives one for
   each part of an answer that it relays. False if it is malformed. */
bool wgw_handoff_answer_parse(const uint8_t* payload, size_t size, wgw_handoff_answer* answer);

/* Packs a protobuf-c message into a new GByteArray, which the caller unrefs. */
GByteArray* wgw_pack(const ProtobufCMessage* message);
