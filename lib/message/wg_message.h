#pragma once
/*
    wg_message.h -- strict parser for HTTP/1.1 message heads and bodies; pure functions

    WHAT IT DOES
        Parses the head of a request or an answer (RFC 9112) and decodes a body by its framing.
        Anything that two parsers could interpret differently is an error: two lengths, a signed
        length, whitespace before a colon, a length together with chunks, a folded line.

    FEATURES
        - heads point into the caller's bytes; nothing is copied
        - one function decides the framing of requests and answers
        - the body decoder reports the end of the body; bytes after it stay in the input buffer

    USE
        1. wg_message_parse_request(bytes, size, &head)
        2. wg_message_field(&head, "Host")
        3. wg_body_begin(&body, &head); wg_body_read(&body, input, output)

    THE CALLER OWNS
        the bytes, which have to outlive the head, and the buffers of a body.
*/
#include "wg_base.h"

#include <event2/buffer.h>

enum {
    WG_MESSAGE_FIELDS_MAX = 64,
    WG_CHUNK_LINE_MAX = 256,    /* bytes of a chunk size line or a trailer line */
    WG_TRAILERS_MAX = 16 * 1024 /* bytes of all trailer lines of a body */
};

/* Slice of the caller's bytes, not zero-terminated. */
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
    WG_FRAMING_CLOSE /* ends when the connection closes; a truncation cannot be detected */
} wg_framing;

typedef struct {
    wg_text method; /* of a request */
    wg_text target; /* of a request: path with query */
    int status;     /* of an answer */
    int minor;      /* HTTP/1.minor */
    wg_message_pair fields[WG_MESSAGE_FIELDS_MAX];
    int fields_num;
    wg_framing framing;
    int64_t length;             /* bytes of body for WG_FRAMING_LENGTH */
    bool keep_alive;            /* the connection can be reused */
    int64_t keep_alive_seconds; /* seconds of the Keep-Alive timeout, -1 if none */
} wg_message_head;

/* Size of the head at the start of `bytes`, including its empty line; 0 if it is incomplete. */
size_t wg_message_head_size(const char* bytes, size_t size);
/* Parses a complete request head. Returns 0, or the HTTP status to refuse the request with. */
int wg_message_parse_request(const char* bytes, size_t size, wg_message_head* head);
/* Parses a complete answer head. `bodiless` means that the request was a HEAD. False if the head is
   malformed. */
bool wg_message_parse_answer(const char* bytes, size_t size, bool bodiless, wg_message_head* head);
/* Value of the first field with this name, case-insensitive; its text is NULL if there is none. */
wg_text wg_message_field(const wg_message_head* head, const char* name);
/* Number of fields with this name, case-insensitive. */
int wg_message_field_num(const wg_message_head* head, const char* name);
/* True for hop-by-hop fields (RFC 9110, 7.6.1), including those that `Connection` lists, and for
   fields that the framing sets anew: lengths, codings, Expect. */
bool wg_message_is_hop_field(const wg_message_head* head, wg_text name);
bool wg_text_equals_nocase(wg_text text, const char* word); /* case-insensitive comparison */
bool wg_text_number(wg_text text, int64_t* number);         /* decimal digits only */
char* wg_text_dup(wg_text text);                            /* freed with g_free() */

typedef enum {
    WG_BODY_MORE = 0,
    WG_BODY_COMPLETE,
    WG_BODY_BAD
} wg_body_state;

/* State of a body decoder; initialised by wg_body_begin(). */
typedef struct {
    wg_framing framing;
    int64_t remaining; /* bytes left of the body or of the current chunk */
    int step;          /* position within a chunked body */
    int64_t decoded;   /* bytes of body decoded so far */
    int64_t trailers;  /* bytes of trailer lines read so far */
} wg_body;

void wg_body_begin(wg_body* body, const wg_message_head* head);
/* Moves body bytes from `in` to `out`, without chunk headers and trailers. */
wg_body_state wg_body_read(wg_body* body, struct evbuffer* in, struct evbuffer* out);
