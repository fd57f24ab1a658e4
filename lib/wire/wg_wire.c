/* wg_wire.c -- see wg_wire.h */
#include "wg_wire.h"

#include <string.h>

enum {
    WGW_FLAG_COMPRESSED = 1 /* in the last byte of a header */
};

/* ---- helpers: protobuf -------------------------------------------------------------------- */

/* Wire types of the protobuf encoding, the low three bits of a field's tag. */
enum {
    _WGW_WIRE_VARINT = 0,
    _WGW_WIRE_64 = 1,    /* 8 bytes */
    _WGW_WIRE_BYTES = 2, /* length as a varint, then that many bytes */
    _WGW_WIRE_32 = 5     /* 4 bytes */
};

typedef struct {
    const uint8_t* at;
    const uint8_t* end;
} _wgw_reader;

static bool _wgw_read_varint(_wgw_reader* r, uint64_t* value) {
    *value = 0;
    for (int shift = 0; shift < 64 && r->at < r->end; shift += 7) {
        uint8_t byte = *r->at++;
        *value |= (uint64_t)(byte & 0x7f) << shift;
        if (!(byte & 0x80)) {
            return true;
        }
    }
    return false;
}

static bool _wgw_read_bytes(_wgw_reader* r, uint64_t size, const uint8_t** bytes) {
    if (size > (size_t)(r->end - r->at)) {
        return false;
    }
    *bytes = r->at;
    r->at += size;
    return true;
}

/* Skips a field that a later release may have added. */
static bool _wgw_skip_field(_wgw_reader* r, uint64_t wire) {
    uint64_t size = wire == _WGW_WIRE_64 ? 8 : 4;
    const uint8_t* bytes;
    if (wire == _WGW_WIRE_VARINT) {
        return _wgw_read_varint(r, &size);
    }
    if (wire == _WGW_WIRE_BYTES && !_wgw_read_varint(r, &size)) {
        return false;
    }
    return (wire == _WGW_WIRE_BYTES || wire == _WGW_WIRE_64 || wire == _WGW_WIRE_32) &&
           _wgw_read_bytes(r, size, &bytes);
}

/* ---- public functions --------------------------------------------------------------------- */

void wgw_frame_header_pack(uint8_t head[WGW_HEADER_SIZE], wgw_type type, size_t payload_size) {
    head[0] = (uint8_t)(payload_size >> 24);
    head[1] = (uint8_t)(payload_size >> 16);
    head[2] = (uint8_t)(payload_size >> 8);
    head[3] = (uint8_t)payload_size;
    head[4] = WGW_MAGIC;
    head[5] = WGW_VERSION;
    head[6] = (uint8_t)type;
    head[7] = 0;
}

void wgw_frame_header_mark_compressed(uint8_t head[WGW_HEADER_SIZE]) {
    head[7] |= WGW_FLAG_COMPRESSED;
}

const char* wgw_outcome_name(wg_order_outcome outcome) {
    static const char* names[WG_ORDER_NUM] = {"none",    "done",    "not-leader",
                                              "unknown", "invalid", "no-configuration"};
    return outcome >= 0 && outcome < WG_ORDER_NUM ? names[outcome] : "unheard-of";
}

const char* wgw_type_name(wgw_type type) {
    static const char* const names[WGW_TYPE_NUM] = {[WGW_TYPE_DEFAULT] = "none",
                                                    [WGW_TYPE_HELLO] = "hello",
                                                    [WGW_TYPE_PROOF] = "proof",
                                                    [WGW_TYPE_PING] = "ping",
                                                    [WGW_TYPE_QUORUM] = "quorum",
                                                    [WGW_TYPE_REPORT] = "report",
                                                    [WGW_TYPE_REPLY] = "reply",
                                                    [WGW_TYPE_ROW_QUERY] = "row_query",
                                                    [WGW_TYPE_ROW_ANSWER] = "row_answer",
                                                    [WGW_TYPE_CLAIM_ASK] = "claim_ask",
                                                    [WGW_TYPE_CLAIM_ANSWER] = "claim_answer",
                                                    [WGW_TYPE_ENTRY_REPORT] = "entry_report",
                                                    [WGW_TYPE_ENTRY_STATE] = "entry_state",
                                                    [WGW_TYPE_ORDER] = "order",
                                                    [WGW_TYPE_ORDER_ANSWER] = "order_answer",
                                                    [WGW_TYPE_ADMIT_ASK] = "admit_ask",
                                                    [WGW_TYPE_ADMIT_ANSWER] = "admit_answer",
                                                    [WGW_TYPE_ADMIT_NOTE] = "admit_note",
                                                    [WGW_TYPE_CONFIGURATION] = "configuration",
                                                    [WGW_TYPE_HANDOFF_REQUEST] = "handoff_request",
                                                    [WGW_TYPE_HANDOFF_ANSWER] = "handoff_answer",
                                                    [WGW_TYPE_HANDOFF_NOTE] = "handoff_note",
                                                    [WGW_TYPE_ORIGIN_NOTE] = "origin_note",
                                                    [WGW_TYPE_ORIGIN_ASK] = "origin_ask",
                                                    [WGW_TYPE_ORIGIN_ANSWER] = "origin_answer",
                                                    [WGW_TYPE_LEADER_ASK] = "leader_ask",
                                                    [WGW_TYPE_LEADER_ANSWER] = "leader_answer",
                                                    [WGW_TYPE_TARGET_ASK] = "target_ask",
                                                    [WGW_TYPE_TARGET_ANSWER] = "target_answer"};
    WG_ASSERT(type >= 0 && type < WGW_TYPE_NUM);
    return names[type];
}

wgw_parse wgw_frame_parse(const uint8_t* bytes, size_t size, size_t max, wgw_frame* frame) {
    *frame = (wgw_frame){0};
    if (size < WGW_HEADER_SIZE) {
        return WGW_PARSE_MORE;
    }
    size_t length = ((size_t)bytes[0] << 24) | ((size_t)bytes[1] << 16) | ((size_t)bytes[2] << 8) |
                    (size_t)bytes[3];
    if (bytes[4] != WGW_MAGIC) {
        frame->reason = "wrong magic";
    } else if (bytes[5] != WGW_VERSION) {
        frame->reason = "wrong version";
    } else if (bytes[6] == WGW_TYPE_DEFAULT || bytes[6] >= WGW_TYPE_NUM ||
               (bytes[7] & ~WGW_FLAG_COMPRESSED) != 0) {
        frame->reason = "wrong type";
    } else if (length > (max ? max : WGW_FRAME_MAX_DEFAULT)) {
        frame->reason = "payload too long";
    }
    if (frame->reason) {
        return WGW_PARSE_BAD;
    }
    if (size - WGW_HEADER_SIZE < length) {
        frame->size = length;
        return WGW_PARSE_MORE;
    }
    frame->type = (wgw_type)bytes[6];
    frame->compressed = (bytes[7] & WGW_FLAG_COMPRESSED) != 0;
    frame->payload = bytes + WGW_HEADER_SIZE;
    frame->size = length;
    return WGW_PARSE_COMPLETE;
}

void wgw_proof(const char* fleet_key, const char* label, const uint8_t* dialer_hello,
               size_t dialer_size, const uint8_t* acceptor_hello, size_t acceptor_size,
               uint8_t out[WGW_MAC_SIZE]) {
    GHmac* hmac = g_hmac_new(G_CHECKSUM_SHA256, (const guchar*)fleet_key, strlen(fleet_key));
    gsize size = WGW_MAC_SIZE;
    g_hmac_update(hmac, (const guchar*)label, (gssize)strlen(label));
    g_hmac_update(hmac, dialer_hello, (gssize)dialer_size);
    g_hmac_update(hmac, acceptor_hello, (gssize)acceptor_size);
    g_hmac_get_digest(hmac, out, &size);
    g_hmac_unref(hmac);
}

bool wgw_proof_equal(const uint8_t* a, const uint8_t* b) {
    uint8_t difference = 0;
    for (int i = 0; i < WGW_MAC_SIZE; i++) {
        difference |= (uint8_t)(a[i] ^ b[i]);
    }
    return difference == 0;
}

bool wgw_handoff_answer_parse(const uint8_t* payload, size_t size, wgw_handoff_answer* answer) {
    enum {
        TICKET = 1 << 3 | _WGW_WIRE_VARINT,
        BYTES = 2 << 3 | _WGW_WIRE_BYTES,
        END = 3 << 3 | _WGW_WIRE_VARINT,
        BY_CONNECTION = 4 << 3 | _WGW_WIRE_VARINT
    };
    _wgw_reader r = {payload, payload + size};
    uint64_t end = 0;
    uint64_t by_connection = 0;
    *answer = (wgw_handoff_answer){0};
    while (r.at < r.end) {
        uint64_t tag;
        uint64_t length;
        bool good = _wgw_read_varint(&r, &tag);
        if (good && tag == TICKET) {
            good = _wgw_read_varint(&r, &answer->ticket);
        } else if (good && tag == END) {
            good = _wgw_read_varint(&r, &end);
        } else if (good && tag == BY_CONNECTION) {
            good = _wgw_read_varint(&r, &by_connection);
        } else if (good && tag == BYTES) {
            good = _wgw_read_varint(&r, &length) && _wgw_read_bytes(&r, length, &answer->bytes);
            answer->size = good ? (size_t)length : 0;
        } else if (good) {
            good = _wgw_skip_field(&r, tag & 7);
        }
        if (!good) {
            return false;
        }
    }
    answer->end = (Wgpb__HandoffEnd)end;
    answer->by_connection = by_connection != 0;
    return end <= WGPB__HANDOFF_END__HANDOFF_END_DECLINED;
}

GByteArray* wgw_pack(const ProtobufCMessage* message) {
    GByteArray* bytes = g_byte_array_new();
    g_byte_array_set_size(bytes, (guint)protobuf_c_message_get_packed_size(message));
    protobuf_c_message_pack(message, bytes->data);
    return bytes;
}
