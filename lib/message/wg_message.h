#pragma once
/*
    wg_message.h -- HTTP/1.1 message heads and bodies, read strictly, as pure functions

    WHAT IT DOES
        Reads the head of a request or an answer out of plain bytes (RFC 9112) and takes a body
        apart by its framing. Whatever two readers could understand differently is an error: two
        lengths, a signed length, a blank before a colon, a length beside chunks, a folded line.

    FEATURES
        - heads point into the caller's bytes; nothing is copied
        - the framing is decided in one place for requests and answers
        - a body decoder that says when the body is whole, and what is left belongs to nobody yet

    USE
        1. wg_message_parse_request(bytes, size, &head, &error_status)
        2. wg_message_field(&head, "Host")
        3. wg_body_begin(&body, &head); wg_body_read(&body, input, output)

    THE CALLER OWNS
        the bytes, for as long as the head is used, and the buffers of a body.
*/
#include "wg_base.h"

#include <event2/buffer.h>

enum {
    WG_MESSAGE_FIELDS_MAX = 64,
    WG_CHUNK_LINE_MAX = 256 /* bytes of a chunk's size line, and of a trailer line */
};

/* A piece of the caller's bytes. */
typedef struct {
    const char* text;
    size_t size;
} wg_text;

typedef struct {
    wg_text name;
    wg_text value;
} wg_message_pair;

typedef enum {
    WG_FRAMING_NONE = 0, /* no body */
    WG_FRAMING_LENGTH,
    WG_FRAMING_CHUNKED,
    WG_FRAMING_CLOSE /* an answer that ends with its connection: its end proves nothing */
} wg_framing;

typedef struct {
    wg_text method; /* requests */
    wg_text target; /* requests: path with its query */
    int status;     /* answers */
    int minor;      /* HTTP/1.minor */
    wg_message_pair fields[WG_MESSAGE_FIELDS_MAX];
    int fields_num;
    wg_framing framing;
    int64_t length;    /* bytes, for WG_FRAMING_LENGTH */
    bool keep_alive;   /* the connection may be used again */
    int64_t keep_time; /* seconds told by Keep-Alive, -1 when none */
} wg_message_head;

/* Bytes of a head with its empty line at the start of `bytes`, or 0 while it is not whole. */
size_t wg_message_head_size(const char* bytes, size_t size);
/* Read a whole head. 0 when good, else the status that refuses it (400, 431, 501 or 505). */
int wg_message_parse_request(const char* bytes, size_t size, wg_message_head* head);
/* Read the head of an answer to a request with or without a body in its answer (`bodiless`: the
   request was a HEAD). False when it is malformed. */
bool wg_message_parse_answer(const char* bytes, size_t size, bool bodiless, wg_message_head* head);
/* First field of a name, in any case; text NULL when there is none. */
wg_text wg_message_field(const wg_message_head* head, const char* name);
/* Number of fields of a name. */
int wg_message_field_num(const wg_message_head* head, const char* name);
/* True for fields that concern one connection only (RFC 9110, 7.6.1), those that `Connection`
   names included, and for the lengths. */
bool wg_message_is_hop_field(const wg_message_head* head, wg_text name);
bool wg_text_is(wg_text text, const char* word);    /* the same, in any case of letters */
bool wg_text_number(wg_text text, int64_t* number); /* decimal digits only */
char* wg_text_dup(wg_text text);                    /* freed with g_free() */

typedef enum {
    WG_BODY_MORE = 0,
    WG_BODY_WHOLE,
    WG_BODY_BAD
} wg_body_state;

/* Takes a body apart; zero-initialised, then wg_body_begin(). */
typedef struct {
    wg_framing framing;
    int64_t left; /* bytes of the body or of the present chunk */
    int step;     /* within a chunked body */
    int64_t taken;
} wg_body;

void wg_body_begin(wg_body* body, const wg_message_head* head);
/* Move what belongs to the body from `in` to `out`. */
wg_body_state wg_body_read(wg_body* body, struct evbuffer* in, struct evbuffer* out);
