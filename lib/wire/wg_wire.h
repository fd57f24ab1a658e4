#pragma once
/*
    wg_wire.h -- frames and messages between walnutgate's own processes

    WHAT IT DOES
        Cuts a byte stream into frames and names the message types that travel in them. Payloads are
        protobuf-c messages from proto/walnutgate.proto (generated code beside this file).

    FEATURES
        - 8-byte head: payload length (big endian u32), magic byte, version, type, zero
        - a length over the limit, a wrong magic, version or type is an error, never a guess
        - the proof of the fleet key: HMAC-SHA256 over both hellos, one label per direction

    USE
        1. wgw_frame_head_pack(head, type, payload_size);
        2. switch (wgw_frame_parse(bytes, size, max, &frame)) { WGW_PARSE_WHOLE: ... }

    THE CALLER OWNS
        all buffers. wgw_frame.payload points into the caller's bytes.
*/
#include "wg_base.h"
#include "walnutgate.pb-c.h"

enum {
    WGW_HEAD_SIZE = 8,
    WGW_VERSION = 1,
    WGW_MAGIC = 0xA7,
    WGW_FRAME_MAX_DEFAULT = 4 << 20, /* bytes of payload */
    WGW_MAC_SIZE = 32,
    WGW_NONCE_SIZE = 16
};

/* What a frame carries. */
typedef enum {
    WGW_TYPE_DEFAULT = 0, /* never on the wire */
    WGW_TYPE_HELLO,
    WGW_TYPE_PROOF,
    WGW_TYPE_PING, /* empty; keeps a quiet link alive */
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
    WGW_TYPE_CONFIGURATION, /* of the leader, whole or as what changed */
    WGW_TYPE_NUM
} wgw_type;

/* Name of a frame's type, as metrics show it. */
const char* wgw_type_name(wgw_type type);

/* What became of an order. */
typedef enum {
    WG_ORDER_DEFAULT = 0,
    WG_ORDER_DONE,
    WG_ORDER_NOT_LEADER, /* ask another control; nothing was done */
    WG_ORDER_UNKNOWN,    /* may or may not be agreed on */
    WG_ORDER_INVALID,
    WG_ORDER_NOTHING, /* there is no configuration yet */
    WG_ORDER_NUM
} wg_order_outcome;

/* Name of an outcome, as logs show it. */
const char* wgw_outcome_name(wg_order_outcome outcome);

/* Who is at the other end of a link. */
typedef enum {
    WGW_ROLE_DEFAULT = 0,
    WGW_ROLE_CONTROL,
    WGW_ROLE_ROUTER,
    WGW_ROLE_ENTRY, /* an entry host that serves routes */
    WGW_ROLE_NUM
} wgw_role;

typedef enum {
    WGW_PARSE_DEFAULT = 0,
    WGW_PARSE_MORE,  /* not a whole frame yet */
    WGW_PARSE_WHOLE, /* frame filled in; frame.size bytes of payload follow the head */
    WGW_PARSE_BAD,   /* close the link; frame.reason says why */
    WGW_PARSE_NUM
} wgw_parse;

typedef struct {
    wgw_type type;
    const uint8_t* payload;
    size_t size;
    const char* reason;
} wgw_frame;

/* Fill the head of a frame. */
void wgw_frame_head_pack(uint8_t head[WGW_HEAD_SIZE], wgw_type type, size_t payload_size);
/* Look at the first bytes of a stream. `max` limits the payload (0: WGW_FRAME_MAX_DEFAULT). */
wgw_parse wgw_frame_parse(const uint8_t* bytes, size_t size, size_t max, wgw_frame* frame);

/* Proof that the sender holds the fleet key. `label` is "dialer" or "acceptor". */
void wgw_proof(const char* fleet_key, const char* label, const uint8_t* dialer_hello,
               size_t dialer_size, const uint8_t* acceptor_hello, size_t acceptor_size,
               uint8_t out[WGW_MAC_SIZE]);
/* Compare two proofs in constant time. */
bool wgw_proof_equal(const uint8_t* a, const uint8_t* b);

/* Pack any protobuf-c message into a fresh GByteArray; the caller unrefs it. */
GByteArray* wgw_pack(const ProtobufCMessage* message);
