#pragma once
/*
    wg_exchange.h -- the client side of HTTP/1.1 on one connection: a request, then its answer

    WHAT IT DOES
        Connects, writes a request, and reads its answer with wg_answer.h: strictly, and bounded
        while it arrives. For all that asks over HTTP, but for the requests of an entry host's
        callers, whose connections do more (lib/entry).

    FEATURES
        - the head and each part of the body are passed on as they come; reading can be paused
        - tells when bytes of the request have left, after which the server may act on it
        - an answer is whole only if its framing says so, or, with neither a length nor chunks, if
          its connection was closed in order after the server had received the whole request
        - a connection is used again only if the answer was whole, the server keeps it, and
          nothing came after the answer; bytes that come between two exchanges close it

    USE
        1. wg_exchange* x = wg_exchange_open(&(wg_exchange_desc){.base = b, .address = "ip:port"});
        2. wg_exchange_send(x, &request, &handler, user_data);
        3. in on_done: wg_exchange_is_usable(x) for the next request, or wg_exchange_close(x)

    THE CALLER OWNS
        the loop, the buffers of a request until wg_exchange_send() returns, and the connection,
        which it closes at any time, also in a callback.
*/
#include "wg_answer.h"

#include <event2/event.h>

typedef struct wg_exchange wg_exchange;

typedef struct {
    struct event_base* base;
    const char* address; /* ip:port */
    size_t head_max;     /* bytes of an answer's head; default WG_ANSWER_HEAD_MAX_DEFAULT */
} wg_exchange_desc;

typedef struct {
    const char* method;
    const char* target;      /* path with query */
    struct evbuffer* fields; /* lines "Name: value" CR LF, `Host` among them; is emptied */
    struct evbuffer* body;   /* NULL: none; is not changed */
    size_t body_max;         /* bytes of the answer's body that are kept; 0: any number */
    wg_time timeout;         /* of the whole exchange, microseconds; 0: none */
    wg_time idle_timeout;    /* without a byte from the server, microseconds; 0: none */
} wg_exchange_request;

typedef enum {
    WG_EXCHANGE_WHOLE = 0,
    WG_EXCHANGE_WHOLE_BY_CONNECTION, /* nothing but the end of its connection shows it */
    WG_EXCHANGE_FAILED
} wg_exchange_result;

/* What is called as an exchange goes on, from the event loop; never by wg_exchange_send(). */
typedef struct {
    /* Bytes of the request were handed to the kernel. May be NULL. */
    void (*on_written)(void* user_data);
    /* The head is complete. False gives the exchange up: it fails. May be NULL. */
    bool (*on_head)(const wg_message_head* head, void* user_data);
    /* A part of the body was added to wg_exchange_body(), and may be taken from it. May be NULL. */
    void (*on_body)(struct evbuffer* body, void* user_data);
    /* The exchange is over. */
    void (*on_done)(wg_exchange_result result, void* user_data);
} wg_exchange_handler;

/* Begins to connect. NULL if the address is malformed. */
wg_exchange* wg_exchange_open(const wg_exchange_desc* desc);
void wg_exchange_close(wg_exchange* exchange);
/* Sends a request on a usable connection. `handler` has to live as long as the exchange. */
void wg_exchange_send(wg_exchange* exchange, const wg_exchange_request* request,
                      const wg_exchange_handler* handler, void* user_data);
/* Whether the next request can be sent. */
bool wg_exchange_is_usable(const wg_exchange* exchange);
/* Head and body of the last answer, valid until the next request or the close. */
const wg_message_head* wg_exchange_head(const wg_exchange* exchange);
struct evbuffer* wg_exchange_body(const wg_exchange* exchange);
/* Stops and resumes reading. */
void wg_exchange_pause(wg_exchange* exchange);
void wg_exchange_resume(wg_exchange* exchange);
/* Writes one field to the fields of a request. */
void wg_exchange_add_field(struct evbuffer* fields, const char* name, const char* value);
