/* wg_entry_call.c -- lifecycle of a request: routing, waiting, its end */
#include "wg_entry_internal.h"
#include "wg_prompt_read.h"

#include <string.h>

enum {
    WG_ANSWER_TOKEN_TIME = 12 * WG_USEC_PER_MSEC, /* upper estimate to generate one token */
    WG_ANSWER_TOKEN_BYTES = 8                     /* upper estimate per token on the wire */
};

/* ---- helpers: the end of a call -------------------------------------------------------------- */

void wg_call_release_target(wg_call* call, wg_result result) {
    if (call->choice.target) {
        wg_balance_end(call->entry->balance, wg_now(), &call->choice, result);
        call->choice = (wg_balance_choice){0};
    }
    wg_entry_admit_end(call, result == WG_RESULT_FAILED);
}

/* Room of the service at the last selection; "-" if there was none. */
static const char* wg_call_room_name(const wg_call* call) {
    static const char* const names[] = {
        [WG_ROOM_UNKNOWN] = "-", [WG_ROOM_NONE] = "no", [WG_ROOM_FREE] = "yes"};
    return names[call->room];
}

/* Time for which reading the answer was paused as the caller did not read it. */
static wg_time wg_call_paused_time(const wg_call* call, wg_time now) {
    const wg_upstream* up = call->upstream;
    return call->paused_time + (up && up->paused ? now - up->paused_at : 0);
}

/* Writes the field `weight` with a leading space; nothing for weight 1. */
static void wg_call_write_weight(const wg_call* call, char* text, size_t size) {
    double weight = wg_call_weight(call);
    text[0] = 0;
    if (weight != 1) {
        g_snprintf(text, size, " weight=%g", weight);
    }
}

static void wg_call_log_end(const wg_call* call, const wg_call_end* end, wg_time now) {
    if (!wg_entry_may_log(call->entry, now)) {
        return;
    }
    char weight[32];
    wg_call_write_weight(call, weight, sizeof weight);
    wg_log(WG_EVENT_REQUEST_ENDED,
           "id=%s status=%d verdict=%s reason=%s route=%s version=%" G_GUINT64_FORMAT
           " workspace=%s target=%u attempts=%d first_ms=%" G_GINT64_FORMAT
           " total_ms=%" G_GINT64_FORMAT " events=%" G_GINT64_FORMAT
           " tokens=%u expected_ms=%" G_GINT64_FORMAT " late_ms=%" G_GINT64_FORMAT
           " limit_ms=%" G_GINT64_FORMAT " asks=%d admitted=%d used=%.0f level=%.0f owed=%.0f"
           " state_age_ms=%" G_GINT64_FORMAT " room=%s held_ms=%" G_GINT64_FORMAT
           " paused_ms=%" G_GINT64_FORMAT " yield_ms=%" G_GINT64_FORMAT
           " owner=%s target_version=%s%s",
           call->id, end->status, wg_verdict_name(end->verdict), end->reason, call->route->name,
           call->config->version, call->workspace ? call->workspace->name : "-",
           call->selection.tried_num ? call->selection.tried[call->selection.tried_num - 1] : 0,
           call->attempts,
           call->first_event_at ? (call->first_event_at - call->started) / WG_USEC_PER_MSEC : -1,
           (now - call->started) / WG_USEC_PER_MSEC, call->events,
           call->has_prompt ? wg_call_tokens(call) : 0, call->expected / WG_USEC_PER_MSEC,
           call->proposed.late / WG_USEC_PER_MSEC, call->limit / WG_USEC_PER_MSEC,
           call->admit_requests_total, (int)call->was_admitted,
           call->workspace ? wg_call_usage(call) : 0, wg_usage_levels(call->entry->usage)->served,
           wg_usage_levels(call->entry->usage)->fair_share, wg_entry_state_age_ms(call->entry, now),
           wg_call_room_name(call), wg_call_held_time(call, now) / WG_USEC_PER_MSEC,
           wg_call_paused_time(call, now) / WG_USEC_PER_MSEC, call->yield_time / WG_USEC_PER_MSEC,
           call->owner, call->sent_version, weight);
}

static void wg_call_free(wg_call* call) {
    wg_entry* e = call->entry;
    wg_call_unqueue(call);
    wg_entry_admit_cancel(call);
    wg_entry_origin_cancel(call);
    wg_call_release_target(call, WG_RESULT_CALLER_DISCONNECTED);
    if (call->upstream) {
        wg_upstream_close(call->upstream);
    }
    if (call->timer) {
        event_free(call->timer);
    }
    if (call->client) {
        call->client->call = NULL;
    }
    evbuffer_free(call->body);
    wg_config_unref(call->config);
    g_free(call->bytes);
    g_free(call);
    e->calls_num--;
}

bool wg_call_keeps_connection(const wg_call* call) {
    return call->client->keep && (call->client->taken || !call->entry->stopping);
}

void wg_call_log_and_free(wg_call* call, const wg_call_end* end) {
    wg_time now = wg_now();
    wg_hist_add(&call->entry->total_time, now - call->started);
    wg_call_log_end(call, end, now);
    wg_call_free(call);
}

/* Whether a target may have started to process the request. */
static bool wg_call_may_have_run(const wg_call* call) {
    return call->may_have_run || (call->upstream && call->upstream->written);
}

void wg_call_refuse(wg_call* call, int status, const char* reason, double retry_after) {
    wg_client* client = call->client;
    bool may_have_run = wg_call_may_have_run(call);
    wg_verdict verdict = may_have_run ? WG_VERDICT_MAY_HAVE_RUN : WG_VERDICT_NOT_RUN;
    wg_call_end end = {status, verdict, reason};
    if (client && call->head_sent) {
        call->entry->counters.aborted++;
        call->client = NULL;
        client->call = NULL;
        wg_client_close(client); /* a truncated answer must not look complete */
    } else if (client) {
        bool keep = wg_call_keeps_connection(call);
        wg_client_write_error(client,
                              &(wg_error_answer){.status = status,
                                                 .code = reason,
                                                 .verdict = verdict,
                                                 .id = call->id,
                                                 .retry_after = may_have_run ? 0 : retry_after,
                                                 .keep = keep,
                                                 .head_only = call->head_only});
        call->entry->counters.refused += status == 503 || status == 429;
        call->entry->counters.failed += status >= 500 && status != 503;
        call->client = NULL;
        wg_client_call_ended(client, keep);
    }
    wg_call_log_and_free(call, &end);
}

/* ---- helpers: reading the request ------------------------------------------------------------ */

wg_time wg_call_deadline(const wg_entry* e, const wg_message_head* head, wg_time arrived_at) {
    int64_t ms;
    bool has_deadline = wg_text_number(wg_message_field(head, e->names->deadline), &ms);
    return has_deadline ? arrived_at + ms * WG_USEC_PER_MSEC : WG_TIME_NEVER;
}

static void wg_call_copy_field(const wg_call* call, const char* name, char* out, size_t size) {
    wg_text value = wg_message_field(&call->head, name);
    g_snprintf(out, size, "%.*s", (int)value.size, value.text ? value.text : "");
}

/* Whether the caller takes up a stream that another request began. */
static bool wg_call_takes_up(const wg_call* call) {
    bool stream = call->route->kind == WG_ROUTE_KIND_STREAM;
    wg_text last = wg_message_field(&call->head, call->entry->names->last_event);
    return stream && (call->resumes[0] || last.size > 0);
}

/* Id under which callers may take the stream up: that of the request that brought its first
   event. */
static void wg_call_read_stream(wg_call* call, bool takes_up) {
    const char* id = takes_up ? call->resumes : call->id;
    if (call->route->resumable && id[0]) {
        call->stream = wg_origin_stream(id, call->workspace ? call->workspace->hash : 0);
    }
}

static void wg_call_read_times(wg_call* call) {
    wg_time now = wg_now();
    wg_time arrived_at = call->client->arrived_at;
    /* Counted from arrival, not from when it is read: otherwise an overloaded host would forward
       requests whose callers have already timed out. */
    call->started = arrived_at ? arrived_at : now - wg_entry_input_delay(call->entry, now);
    call->deadline = wg_call_deadline(call->entry, &call->head, call->started);
    call->expires_at = MIN(call->started + call->route->timeout, call->deadline);
}

void wg_call_set_timer(wg_call* call, wg_time now) {
    wg_time at = call->expires_at;
    if (call->admit_ticket) {
        at = MIN(at, call->admit_expires_at);
    }
    if (call->origin_ticket) {
        at = MIN(at, call->origin_lookup.expires_at);
    }
    if (call->queued) {
        at = MIN(at, call->queued_until);
    }
    if (call->retry_at) {
        at = MIN(at, call->retry_at);
    }
    wg_time wait = MAX(at - now, 0);
    struct timeval tv = {.tv_sec = wait / WG_USEC_PER_SEC, .tv_usec = wait % WG_USEC_PER_SEC};
    event_add(call->timer, &tv);
}

/* ---- helpers: attempts ----------------------------------------------------------------------- */

static void wg_call_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_call* call = user_data;
    wg_time now = wg_now();
    bool ended = call->upstream && call->upstream->state == WG_UPSTREAM_ENDED;
    if (now >= call->expires_at && ended) {
        wg_call_answer_checked(call, call->upstream, false);
    } else if (now >= call->expires_at) {
        if (wg_call_may_have_run(call) || call->head_sent) {
            wg_call_refuse(call, 504, "timeout", 0);
        } else {
            wg_call_refuse(call, 503, "timeout_not_run", wg_call_retry_after(call));
        }
    } else if (call->admit_ticket && now >= call->admit_expires_at) {
        wg_entry_admit_unanswered(call, now);
    } else if (call->origin_ticket && now >= call->origin_lookup.expires_at) {
        wg_entry_origin_expired(call);
    } else if (call->retry_at && now >= call->retry_at) {
        wg_call_try(call);
    } else if (call->queued && !call->admit_ticket && now >= call->queued_until) {
        wg_call_refuse_queued(call);
    } else {
        wg_call_set_timer(call, now);
    }
}

/* ---- functions of the library ---------------------------------------------------------------- */

wg_time wg_call_answer_time(const wg_entry* e, const wg_message_head* head) {
    wg_text tokens = wg_message_field(head, e->names->prompt_tokens);
    wg_text parts = wg_message_field(head, e->names->prompt_parts);
    wg_prompt prompt;
    return parts.text && wg_prompt_read(parts, tokens, &prompt)
               ? WG_ANSWER_TOKEN_TIME * prompt.answer
               : 0;
}

static void wg_call_log_denial(const wg_client* client, const wg_message_head* head, int status,
                               const char* code) {
    enum {
        ID_SHOWN = 64 /* bytes; longer ids are truncated in the log */
    };
    wg_entry* e = client->entry;
    wg_time now = wg_now();
    wg_text id = wg_message_field(head, e->names->request_id);
    if (!wg_entry_may_log_denial(e, now)) {
        return;
    }
    const wgn_peer* control = wgn_query_peer(e->net, e->link);
    wg_log(WG_EVENT_CONNECTION_REFUSED,
           "id=%.*s status=%d code=%s version=%" G_GUINT64_FORMAT
           " basis=%s leader=%d control=%s term=%" G_GUINT64_FORMAT
           " confirmed_ms=%" G_GINT64_FORMAT " state_age_ms=%" G_GINT64_FORMAT
           " delay_ms=%" G_GINT64_FORMAT " since_stall_ms=%" G_GINT64_FORMAT " owner=%s",
           (int)MIN(id.size, (size_t)ID_SHOWN), id.text ? id.text : "", status, code,
           e->config ? e->config->version : 0, wg_lease_basis_name(wg_entry_basis(e, now)),
           e->leader_known, control ? control->name : "-", e->term_followed,
           wg_entry_confirmed_ms(e, now), wg_entry_state_age_ms(e, now),
           wg_entry_input_delay(e, now) / WG_USEC_PER_MSEC,
           e->stall_ended_at ? (now - e->stall_ended_at) / WG_USEC_PER_MSEC : -1,
           wg_entry_handoff_owner(client));
}

void wg_call_deny(wg_client* client, char* bytes, struct evbuffer* body,
                  const wg_message_head* head, int status, const char* code) {
    wg_entry* e = client->entry;
    bool keep = client->keep && !e->stopping;
    wg_call_log_denial(client, head, status, code);
    wg_client_refuse(client,
                     &(wg_error_answer){.status = status,
                                        .verdict = WG_VERDICT_NOT_RUN,
                                        .code = code,
                                        .retry_after = status == 503 ? 0.5 : 0,
                                        .keep = keep,
                                        .head_only = wg_text_equals_nocase(head->method, "HEAD")});
    evbuffer_free(body);
    g_free(bytes);
    wg_client_call_ended(client, keep);
}

/* Denies an unknown route or key. Without a leader the configuration may be outdated, so the answer
   is then a retryable 503. */
static void wg_call_deny_unknown(wg_client* client, char* bytes, struct evbuffer* body,
                                 const wg_message_head* head, int status, const char* code) {
    wg_entry_counters* counters = &client->entry->counters;
    bool sure = wg_entry_basis(client->entry, wg_now()) == WG_BASIS_LEADER;
    if (client->entry->on_standby || !sure) {
        counters->denied_unsure++;
        wg_call_deny(client, bytes, body, head, 503, "configuration_unsure");
    } else {
        counters->denied_routes += status == 404;
        counters->denied_keys += status == 401;
        wg_call_deny(client, bytes, body, head, status, code);
    }
}

void wg_call_begin(wg_client* client, char* bytes, const wg_message_head* head,
                   struct evbuffer* body) {
    wg_entry* e = client->entry;
    e->counters.requests++;
    if (!e->config || !e->registry_known) {
        wg_call_deny(client, bytes, body, head, 503, "no_configuration_yet");
        return;
    }
    const wg_route* route =
        wg_config_route(e->config, wg_message_field(head, "Host"), head->target);
    if (!route) {
        wg_call_deny_unknown(client, bytes, body, head, 404, "no_route");
        return;
    }
    const wg_workspace* workspace =
        wg_config_workspace(e->config, wg_message_field(head, e->names->key));
    if (!workspace && !route->open && e->config->workspaces_num > 0) {
        wg_call_deny_unknown(client, bytes, body, head, 401, "unknown_key");
        return;
    }
    wg_call* call = g_new0(wg_call, 1);
    call->entry = e;
    call->client = client;
    client->call = call;
    call->config = wg_config_ref(e->config);
    call->route = route;
    call->workspace = workspace;
    call->bytes = bytes;
    call->head = *head;
    call->body = body;
    call->head_only = wg_text_equals_nocase(head->method, "HEAD");
    wg_call_copy_field(call, e->names->request_id, call->id, sizeof call->id);
    wg_call_copy_field(call, e->names->resumes, call->resumes, sizeof call->resumes);
    g_strlcpy(client->last_id, call->id, sizeof client->last_id);
    g_strlcpy(call->owner, wg_entry_handoff_owner(client), sizeof call->owner);
    call->service = wg_route_pick(route, wg_jitter(e->seed, ++e->counter));
    call->fingerprint =
        wg_fingerprint(&(wg_fingerprint_desc){.seed = e->fingerprint_seed,
                                              .host = wg_message_field(head, "Host"),
                                              .path = head->target,
                                              .workspace = workspace ? workspace->name : NULL,
                                              .body = body});
    const wg_service* service = &call->config->services[call->service];
    wg_text parts = wg_message_field(head, e->names->prompt_parts);
    call->has_prompt =
        service->engine && parts.text &&
        wg_prompt_read(parts, wg_message_field(head, e->names->prompt_tokens), &call->prompt);
    wg_call_read_parts(call);
    call->selection = (wg_balance_request){.service = service->name,
                                           .prompt = call->has_prompt ? &call->prompt : NULL,
                                           .copies = service->copies,
                                           .bytes = (uint32_t)evbuffer_get_length(body) +
                                                    WG_ANSWER_TOKEN_BYTES * call->prompt.answer,
                                           .slots = service->slots};
    wg_call_read_times(call);
    if (wg_call_is_charged(call)) {
        wg_usage_record_demand(e->usage, call->workspace->hash, wg_call_tokens(call));
    }
    call->timer = evtimer_new(e->base, wg_call_on_timer, call);
    e->calls_num++;
    if (wg_entry_refuses_new(e, WG_ANSWER_TOKEN_TIME * call->prompt.answer)) {
        wg_call_refuse(call, 503, "stopping", WG_STOPPING_RETRY_AFTER);
        return;
    }
    wg_call_set_timer(call, wg_now());
    bool takes_up = wg_call_takes_up(call);
    wg_call_read_stream(call, takes_up);
    e->counters.streams_taken_up += takes_up;
    if (takes_up) {
        wg_entry_origin_find(call);
    } else {
        wg_call_try(call);
    }
}

void wg_call_caller_disconnected(wg_call* call) {
    wg_entry* e = call->entry;
    wg_call_end end = {0, wg_call_may_have_run(call) ? WG_VERDICT_MAY_HAVE_RUN : WG_VERDICT_NOT_RUN,
                       call->caller_cut ? "caller-cut" : "caller-left"};
    e->counters.caller_disconnects += !call->caller_cut;
    wg_call_log_and_free(call, &end);
    wg_call_queue_run(e);
}

static void wg_call_reset_timers_of(const GPtrArray* clients, wg_time now) {
    for (guint i = 0; i < clients->len; i++) {
        const wg_client* client = clients->pdata[i];
        if (client->call) {
            wg_call_set_timer(client->call, now);
        }
    }
}

/* Event-loop timers do not advance while the host is suspended and would fire late. */
void wg_call_reset_timers(wg_entry* e, wg_time now) {
    wg_call_reset_timers_of(e->clients, now);
    wg_call_reset_timers_of(e->taken_clients, now);
}

static void wg_call_abort_all_of(const GPtrArray* clients) {
    for (guint i = clients->len; i > 0; i--) {
        wg_client_close(clients->pdata[i - 1]);
    }
}

void wg_call_abort_all(wg_entry* e) {
    wg_call_abort_all_of(e->clients);
    wg_call_abort_all_of(e->taken_clients);
}
