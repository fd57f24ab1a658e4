#pragma once
/* wg_http_internal.h -- connections of a server, and the bounds on them; not installed */
#include "wg_http.h"

/* Connections of one server. */
typedef struct _wgh_guard _wgh_guard;

/* `limits` with all defaults filled in. Sets itself as the server's source of connections and
   handler of requests. */
_wgh_guard* _wgh_guard_setup(struct event_base* base, struct evhttp* http,
                             struct evconnlistener* listener, const wgh_limits* limits);
/* After the server was freed. */
void _wgh_guard_shutdown(_wgh_guard* guard);
void _wgh_guard_handle(_wgh_guard* guard, wgh_request_cb handler, void* user_data);
/* Pauses or resumes accepting connections, for a reason of the owner. */
void _wgh_guard_set_paused(_wgh_guard* guard, bool paused);
int _wgh_guard_connections(const _wgh_guard* guard);
void _wgh_guard_print_metrics(const _wgh_guard* guard, const char* port, GString* out);
