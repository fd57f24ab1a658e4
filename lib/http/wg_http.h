#pragma once
/*
    wg_http.h -- helpers over evhttp that routers and controls share

    WHAT IT DOES
        Listens with limits, sends JSON and error answers, reads bearer keys, paths, queries and
        JSON bodies, and detects requests whose length is ambiguous.

    FEATURES
        - every error answer is JSON with code, verdict, message and an optional retry_after_ms,
          together with a Retry-After header in whole seconds, rounded up
        - limits on sizes, on the number of connections, and on the bytes that all of them together
          make the process hold: input, heads, bodies, answers not read, and what evhttp keeps.
          Nothing is read ahead of the request that is due; above the bound the connections that
          hold most are closed, above the number those that are idle for longest
        - documents of more values than a parser should keep are refused before they are parsed

    USE
        1. wgh_listen(&server, base, "127.0.0.1:8080", &(wgh_limits){0}, &error);
           wgh_handle(&server, on_request, user_data);
        2. wgh_reply_json(request, 200, json);  wgh_reply_error(request, &(wgh_error){...});

    THE CALLER OWNS
        the server struct. Callbacks for the end of a connection or of a reply are set here, not
        with evhttp, which has one of each. A reply function takes ownership of the JSON passed to
   it.
*/
#include "wg_base.h"

#include <event2/http.h>
#include <jansson.h>

/* Header fields of walnutgate. */
#define WGH_HEADER_VERDICT "Walnutgate-Verdict"
#define WGH_HEADER_ATTEMPTS "Walnutgate-Attempts"
#define WGH_HEADER_PREFIX "Walnutgate-"

enum {
    WGH_HEAD_MAX_DEFAULT = 16 * 1024,
    WGH_BODY_MAX_DEFAULT = 4 << 20,
    WGH_IDLE_SECONDS_DEFAULT = 60,
    WGH_CONNECTIONS_DEFAULT = 1024,
    WGH_HELD_DEFAULT = 64 << 20,
    /* Values of a JSON document. One takes two bytes on the wire and up to 260 in memory. */
    WGH_JSON_VALUES_MAX = 400 * 1000
};

typedef void (*wgh_request_cb)(struct evhttp_request* request, void* user_data);

typedef struct {
    int64_t head_max;     /* bytes of request line and header fields */
    int64_t body_max;     /* bytes of a request body */
    int64_t idle_seconds; /* timeout between and within requests of a connection */
    int connections_max;
    /* Bytes that all connections hold; raised to what one request of the largest size takes. */
    int64_t held_max;
    const char* name; /* of the port, for the log; default: its address */
} wgh_limits;

/* A listening server that can pause accepting connections. */
typedef struct {
    struct evhttp* http;
    struct _wgh_guard* guard; /* its connections */
    char* name;
} wgh_server;

typedef struct {
    int status;
    const char* code;
    wg_verdict verdict;
    wg_time retry_after; /* 0: no Retry-After */
    const char* message;
    json_t* extra; /* additional members; ownership is transferred; may be NULL */
} wgh_error;

/* False with an error if the address cannot be bound. */
bool wgh_listen(wgh_server* server, struct event_base* base, const char* address,
                const wgh_limits* limits, GError** error);
void wgh_close(wgh_server* server);
/* Sets the function that is called for each request. */
void wgh_handle(wgh_server* server, wgh_request_cb handler, void* user_data);
/* Connections that one port may have in a process with this descriptor limit; 0: unknown. */
int wgh_connections_of(int64_t descriptors);
/* Open connections. */
int wgh_connections_num(const wgh_server* server);
void wgh_print_metrics(const wgh_server* server, const char* port, GString* out);
/* Sets what is called when the connection has closed, like evhttp_connection_set_closecb(). */
void wgh_set_closed_cb(struct evhttp_connection* connection,
                       void (*call)(struct evhttp_connection*, void*), void* user_data);
/* Sets what is called when the reply was written, like evhttp_request_set_on_complete_cb(). */
void wgh_set_replied_cb(struct evhttp_request* request, void (*call)(struct evhttp_request*, void*),
                        void* user_data);
/* Looks for the end of the connection while its request is handled; evhttp does not. What the
   caller sends ahead stays in its socket. */
void wgh_watch_closed(struct evhttp_connection* connection);
/* Sets the bytes that are kept for the request beside it and what was written of its answer. */
void wgh_set_kept(struct evhttp_request* request, int64_t bytes);
/* Pauses accepting connections while the process has `files_max` or more files open, and resumes it
   afterwards. New connections wait in the kernel's backlog. Has to be called periodically. */
void wgh_update_accepting(wgh_server* server, int64_t files_max);
void wgh_reply_json(struct evhttp_request* request, int status, json_t* json);
void wgh_reply_text(struct evhttp_request* request, int status, const char* type, const char* text);
void wgh_reply_error(struct evhttp_request* request, const wgh_error* error);
/* True if another parser could determine a different request length than evhttp (RFC 9112, 6.3).
   Answer 400 and close the connection, which prevents request smuggling. */
bool wgh_is_ambiguous(struct evhttp_request* request);
/* Key of "Authorization: Bearer <key>", or NULL. */
const char* wgh_bearer(struct evhttp_request* request);
/* Copies the path of the request without its query, truncated to `size` bytes. */
void wgh_path(struct evhttp_request* request, char* path, size_t size);
/* Value of a query parameter, or NULL; free it with g_free(). */
char* wgh_query(struct evhttp_request* request, const char* name);
const char* wgh_method(struct evhttp_request* request);
/* Whether the body has few enough values to be parsed as JSON. */
bool wgh_body_is_small_json(struct evhttp_request* request);
/* Parses the body as JSON. NULL with a message if it is malformed, or has too many values. */
json_t* wgh_body_json(struct evhttp_request* request, char* message, size_t size);
/* Frees a request whose connection was closed before it was answered. For close callbacks: evhttp
   leaves the ownership of such a request to the caller. */
void wgh_free_unanswered(struct evhttp_request* request);
/* Reason phrase of a status; "Other" if unknown. */
const char* wgh_reason(int status);
