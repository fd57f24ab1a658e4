#pragma once
/*
    wg_http.h -- helpers over evhttp that routers and controls share

    WHAT IT DOES
        Listens with limits, sends JSON and error answers, reads bearer keys, paths, queries and
        JSON bodies, and detects requests whose length is ambiguous.

    FEATURES
        - every error answer is JSON with code, verdict, message and an optional retry_after_ms,
          together with a Retry-After header in whole seconds, rounded up
        - limits on connections and sizes, also on what a caller sends that is no request, without
          end

    USE
        1. wgh_listen(&server, base, "127.0.0.1:8080", &(wgh_limits){0}, &error);
        2. wgh_reply_json(request, 200, json);  wgh_reply_error(request, &(wgh_error){...});

    THE CALLER OWNS
        the server struct. A reply function takes ownership of the JSON passed to it.
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
    WGH_IDLE_SECONDS_DEFAULT = 60
};

typedef struct {
    int64_t head_max;     /* bytes of request line and header fields */
    int64_t body_max;     /* bytes of a request body */
    int64_t idle_seconds; /* timeout between and within requests of a connection */
} wgh_limits;

/* A listening server that can pause accepting connections. */
typedef struct {
    struct evhttp* http;
    struct evconnlistener* listener;
    bool paused;
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
/* Parses the body as JSON. NULL with a message if it is malformed. */
json_t* wgh_body_json(struct evhttp_request* request, char* message, size_t size);
/* Frees a request whose connection was closed before it was answered. For close callbacks: evhttp
   leaves the ownership of such a request to the caller. */
void wgh_free_unanswered(struct evhttp_request* request);
/* Reason phrase of a status; "Other" if unknown. */
const char* wgh_reason(int status);
