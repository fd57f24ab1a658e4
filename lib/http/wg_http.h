#pragma once
/*
    wg_http.h -- small helpers over evhttp that routers and controls share

    WHAT IT DOES
        Listening with limits, JSON answers, the error answer with code and verdict, bearer keys,
   and the operators' pages that each daemon has.

    FEATURES
        - every error answer is JSON with code, verdict, message and, where it helps,
   retry_after_ms; the Retry-After header goes with it, in whole seconds, rounded up
        - connection and size limits

    USE
        1. wgh_listen(&server, base, "127.0.0.1:8080", &(wgh_limits){0}, &error);
        2. wgh_reply_json(request, 200, json);  wgh_reply_error(request, &(wgh_error){...});

    THE CALLER OWNS
        the server struct; json passed to a reply is released by it.
*/
#include "wg_base.h"

#include <event2/http.h>
#include <jansson.h>

/* Headers of ours. */
#define WGH_HEADER_VERDICT "Walnutgate-Verdict"
#define WGH_HEADER_ATTEMPTS "Walnutgate-Attempts"
#define WGH_HEADER_PREFIX "Walnutgate-"

enum {
    WGH_HEAD_MAX_DEFAULT = 16 * 1024,
    WGH_BODY_MAX_DEFAULT = 4 << 20,
    WGH_IDLE_SECONDS_DEFAULT = 60
};

typedef struct {
    int64_t head_max;     /* bytes of request line and headers */
    int64_t body_max;     /* bytes */
    int64_t idle_seconds; /* of a connection between and within requests */
} wgh_limits;

/* A listening server that can stop taking connections for a while. */
typedef struct {
    struct evhttp* http;
    struct evconnlistener* listener;
    bool paused;
} wgh_server;

typedef struct {
    int status;
    const char* code;
    wg_verdict verdict;
    wg_time retry_after; /* 0: no hint */
    const char* message;
    json_t* more; /* further members, taken over; may be NULL */
} wgh_error;

/* False with the reason when the address cannot be listened on. */
bool wgh_listen(wgh_server* server, struct event_base* base, const char* address,
                const wgh_limits* limits, GError** error);
void wgh_close(wgh_server* server);
/* Call now and then: beyond `files_max` open files of the process (each connection is one) no more
   connections are taken until some end; new ones wait in the kernel's queue. */
void wgh_guard(wgh_server* server, int64_t files_max);
void wgh_reply_json(struct evhttp_request* request, int status, json_t* json);
void wgh_reply_text(struct evhttp_request* request, int status, const char* type, const char* text);
void wgh_reply_error(struct evhttp_request* request, const wgh_error* error);
/* Could another reader understand the request's length otherwise than evhttp did (RFC 9112, 6.3)?
   Such a request has to get 400, and its connection closed: what follows may be smuggled. */
bool wgh_is_ambiguous(struct evhttp_request* request);
/* The key of "Authorization: Bearer <key>", or NULL. */
const char* wgh_bearer(struct evhttp_request* request);
/* Path of the request without its query; at most `size` bytes. */
void wgh_path(struct evhttp_request* request, char* path, size_t size);
/* Value of a query parameter, or NULL; freed with g_free(). */
char* wgh_query(struct evhttp_request* request, const char* name);
const char* wgh_method(struct evhttp_request* request);
/* Parse the body as JSON; NULL with a message when it is not. */
json_t* wgh_body_json(struct evhttp_request* request, char* message, size_t size);
/* For close callbacks: evhttp leaves a request to us that had no answer when its connection ended.
 */
void wgh_request_lost(struct evhttp_request* request);
/* Reason phrase of a status. */
const char* wgh_reason(int status);
