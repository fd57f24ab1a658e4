/* wg_entry_answer.c -- answers of targets: relaying, how they end, and the end of an attempt */
#include "wg_entry_internal.h"

#include <string.h>

/* ---- helpers: what is sent to the caller ----------------------------------------------------- */

/* How the answer is delimited for the caller. Never by more than its target did, as a length or a
   last chunk would claim that an answer is complete which only ended with its connection. */
static wg_framing wg_call_choose_framing(const wg_call* call, const wg_upstream* up,
                                         int64_t length) {
    if (call->head_only || up->answer.head.status == 204 || up->answer.head.status == 304) {
        return WG_FRAMING_NONE;
    }
    if (up->answer.body.framing == WG_FRAMING_CLOSE) {
        return WG_FRAMING_CLOSE;
    }
    bool takes_chunks = call->head.minor >= 1;
    return length >= 0 ? WG_FRAMING_LENGTH : takes_chunks ? WG_FRAMING_CHUNKED : WG_FRAMING_CLOSE;
}

/* `length` < 0: not known. */
static void wg_call_write_head(wg_call* call, const wg_upstream* up, int64_t length,
                               struct evbuffer* out) {
    const wg_message_head* head = &up->answer.head;
    bool head_length = call->head_only && length >= 0;
    call->framing = wg_call_choose_framing(call, up, length);
    if (call->framing == WG_FRAMING_CLOSE) {
        wg_client_delimit_by_connection(call->client);
    }
    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", head->status, wgh_reason(head->status));
    for (int i = 0; i < head->fields_num; i++) {
        const wg_message_pair* f = &head->fields[i];
        if (!wg_message_is_hop_field(head, f->name)) {
            evbuffer_add_printf(out, "%.*s: %.*s\r\n", (int)f->name.size, f->name.text,
                                (int)f->value.size, f->value.text);
        }
    }
    if (call->framing == WG_FRAMING_CHUNKED) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
    } else if (call->framing == WG_FRAMING_LENGTH || head_length) {
        evbuffer_add_printf(out, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
    }
    evbuffer_add_printf(out, "%s\r\n",
                        wg_call_keeps_connection(call) ? "" : "Connection: close\r\n");
    call->head_sent = true;
}

static void wg_call_write(wg_call* call, struct evbuffer* out) {
    wg_client_write(call->client, out);
    wg_entry_buffers_control(call->client);
}

/* Moves `data` to `out` as one chunk. Formatted without printf, as this runs for each event. */
static void wg_call_add_chunk(struct evbuffer* out, struct evbuffer* data) {
    static const char digits[] = "0123456789abcdef";
    char line[2 * sizeof(size_t) + 2];
    char* at = line + sizeof line;
    WG_ASSERT(evbuffer_get_length(data) > 0); /* an empty chunk would end the answer */
    *--at = '\n';
    *--at = '\r';
    for (size_t size = evbuffer_get_length(data); size > 0; size /= 16) {
        *--at = digits[size % 16];
    }
    evbuffer_add(out, at, (size_t)(line + sizeof line - at));
    evbuffer_add_buffer(out, data);
    evbuffer_add(out, "\r\n", 2);
}

/* Moves a part of the body to `out`. */
static void wg_call_add_body(const wg_call* call, struct evbuffer* out, struct evbuffer* data) {
    if (call->framing != WG_FRAMING_CHUNKED) {
        evbuffer_add_buffer(out, data);
    } else if (evbuffer_get_length(data) > 0) {
        wg_call_add_chunk(out, data);
    }
}

static void wg_call_record_first_byte(wg_call* call) {
    bool first = !call->first_event_at;
    if (first) {
        call->first_event_at = wg_now();
        wg_hist_add(&call->entry->first_byte_time, call->first_event_at - call->started);
        if (call->has_prompt && call->expected <= call->limit) {
            wg_fair_update_margin(&call->entry->margin,
                                  call->first_event_at - call->started <= call->route->objective);
        }
    }
    wg_balance_first_event(call->entry->balance, wg_now(), &call->choice);
    wg_entry_admit_read(call);
    if (first) {
        /* The target has processed the prompt: it may have capacity for another request. */
        wg_call_queue_run(call->entry);
    }
}

/* ---- helpers: streams ------------------------------------------------------------------------ */

/* The first event binds the stream to the software version of its target. */
static void wg_call_bind_version(wg_call* call) {
    if (!call->version) {
        wg_call_set_origin(call, &(wg_origin){call->sent_version, call->sent_target, wg_now()});
    } else if (strcmp(call->version, call->sent_version) != 0) {
        call->entry->counters.versions_joined++;
    }
}

/* Relays complete events. False if the stream is malformed. */
static bool wg_call_relay_events(wg_call* call, wg_upstream* up) {
    struct evbuffer* data = call->entry->relayed_events;
    wg_event_stream_result result;
    while ((result = wg_event_stream_next(up->content, data, call->last_event,
                                          sizeof call->last_event)) == WG_EVENT_STREAM_EVENT) {
        call->events++;
    }
    if (evbuffer_get_length(data) > 0) {
        struct evbuffer* out = call->entry->relayed_bytes;
        wg_call_record_first_byte(call);
        wg_call_bind_version(call);
        wg_entry_origin_on_events(call, up);
        if (!call->head_sent) {
            wg_entry_origin_record(call);
            wg_call_write_head(call, up, -1, out);
        }
        wg_call_add_body(call, out, data);
        wg_call_write(call, out);
    }
    return result != WG_EVENT_STREAM_BAD;
}

static bool wg_call_is_stream(const wg_call* call, const wg_upstream* up) {
    return up->is_event_stream && up->answer.head.status >= 200 && up->answer.head.status < 300 &&
           !call->head_only;
}

/* The target's own word goes before the registry, which may not yet know that it restarted with
   another version. */
static void wg_call_read_version(wg_call* call, const wg_upstream* up) {
    const char* name = call->entry->names->target_version;
    wg_text version = name ? wg_message_field(&up->answer.head, name) : (wg_text){0};
    if (version.text) {
        g_snprintf(call->sent_version, sizeof call->sent_version, "%.*s", (int)version.size,
                   version.text);
        call->sent_target = 0;
    }
}

/* ---- helpers: the end of an answer ----------------------------------------------------------- */

static bool wg_call_was_not_run(const wg_call* call, const wg_upstream* up) {
    return up->answer.head.status == 421 ||
           wg_message_field(&up->answer.head, call->entry->names->not_run).text != NULL;
}

/* The target did not run the request: retry on another target, or refuse. */
static void wg_call_handle_refusal(wg_call* call, wg_upstream* up) {
    int status = up->answer.head.status;
    wg_log(WG_EVENT_ATTEMPT_ENDED,
           "id=%s target=%u reason=refused status=%d rest_ms=%" G_GINT64_FORMAT
           " after_ms=%" G_GINT64_FORMAT,
           call->id, up->target, up->answer.head.status, up->backoff_time / WG_USEC_PER_MSEC,
           (wg_now() - call->sent_at) / WG_USEC_PER_MSEC);
    call->upstream = NULL;
    up->call = NULL;
    wg_upstream_close(up);
    wg_call_release_target(call, status == 421 ? WG_RESULT_REPLACED : WG_RESULT_REFUSED);
    if (!wg_call_schedule_retry(call, false)) {
        wg_call_refuse(call, call->may_have_run ? 502 : 503, "targets_refused",
                       wg_call_retry_after(call));
    }
}

/* Whether an error answer may be discarded and the request retried. */
static bool wg_call_may_retry_answer(const wg_call* call, const wg_upstream* up) {
    return up->answer.head.status >= 500 && !call->head_sent && wg_route_is_repeatable(call->route);
}

static void wg_call_record_first_served(wg_entry* e) {
    if (!e->served) {
        e->served = true;
        wg_log(WG_EVENT_FIRST_SERVED, "after_ms=%" G_GINT64_FORMAT,
               (wg_now() - e->started_at) / WG_USEC_PER_MSEC);
    }
}

/* Length of the answer's body, of which nothing was relayed; -1: not known. */
static int64_t wg_call_body_length(const wg_call* call, const wg_upstream* up) {
    if (call->head_only) {
        return wg_message_field(&up->answer.head, "Content-Length").text ? up->answer.head.length
                                                                         : -1;
    }
    return wg_call_is_stream(call, up) ? -1 : (int64_t)evbuffer_get_length(up->content);
}

/* Writes what is left of the answer, and its end. */
static void wg_call_write_end(wg_call* call, wg_upstream* up) {
    struct evbuffer* out = evbuffer_new();
    if (!call->head_sent) {
        wg_call_record_first_byte(call);
        wg_call_write_head(call, up, wg_call_body_length(call, up), out);
    }
    wg_call_add_body(call, out, up->content);
    if (call->framing == WG_FRAMING_CHUNKED) {
        evbuffer_add(out, "0\r\n\r\n", 5);
    }
    wg_client_write(call->client, out);
    evbuffer_free(out);
}

static const char* wg_call_end_reason(const wg_upstream* up) {
    if (up->answer.head.status >= 500) {
        return "target-error";
    }
    return up->answer.body.framing == WG_FRAMING_CLOSE ? "by-connection" : "whole";
}

static void wg_call_record_completion(const wg_call* call, const wg_upstream* up,
                                      wg_completion completion) {
    if (up->answer.body.framing == WG_FRAMING_CLOSE) {
        wg_entry_ends_record(call->entry, up->target, completion);
    } else {
        wg_entry_record_completion(call->entry, completion);
    }
}

/* A target that turns a request down has not written on the parts of its prompt. */
static void wg_call_record_good_end(const wg_call* call, const wg_upstream* up) {
    call->entry->counters.completed += up->answer.body.framing != WG_FRAMING_CLOSE;
    wg_call_record_completion(call, up, (wg_completion){.fingerprint = call->fingerprint});
    bool is_short = wg_call_is_stream(call, up) && wg_call_is_at_beginning(call);
    for (int i = 0; up->answer.head.status < 300 && i < call->parts_num; i++) {
        wg_call_record_completion(call, up, (wg_completion){call->parts[i], is_short});
    }
}

static void wg_call_finish(wg_call* call, wg_upstream* up) {
    wg_client* client = call->client;
    bool good = up->answer.head.status < 500;
    wg_call_end end = {up->answer.head.status, WG_VERDICT_RAN, wg_call_end_reason(up)};
    wg_call_write_end(call, up);
    bool keep = wg_call_keeps_connection(call);
    call->entry->counters.failed += !good;
    if (good) {
        wg_call_record_first_served(call->entry);
        wg_call_record_good_end(call, up);
    }
    call->upstream = NULL;
    wg_call_release_target(call, good ? WG_RESULT_SUCCESS : WG_RESULT_FAILED);
    wg_upstream_release(up);
    call->client = NULL;
    wg_client_call_ended(client, keep);
    wg_entry* e = call->entry;
    wg_call_log_and_free(call, &end);
    wg_call_queue_run(e);
}

/* Bytes of the event within which a stream ended; 0: it did not end within one. */
static size_t wg_call_open_event(const wg_call* call, const wg_upstream* up) {
    size_t size = evbuffer_get_length(up->content);
    if (size == 0 || !wg_call_is_stream(call, up)) {
        return 0;
    }
    return wg_event_is_open((const char*)evbuffer_pullup(up->content, -1), size) ? size : 0;
}

/* Records an answer whose bytes do not show that it is complete. */
static void wg_call_record_unsure_end(const wg_call* call, const wg_upstream* up) {
    static const char* const framings[] = {[WG_FRAMING_NONE] = "none",
                                           [WG_FRAMING_LENGTH] = "length",
                                           [WG_FRAMING_CHUNKED] = "chunks",
                                           [WG_FRAMING_CLOSE] = "connection"};
    wg_entry* e = call->entry;
    bool by_connection = up->answer.body.framing == WG_FRAMING_CLOSE;
    size_t rest = wg_call_open_event(call, up);
    e->counters.answers_by_connection += by_connection;
    e->counters.answers_in_event += rest > 0;
    if ((by_connection || rest > 0) && wg_entry_may_log(e, wg_now())) {
        wg_log(WG_EVENT_ANSWER_END_UNSURE,
               "id=%s target=%u status=%d framing=%s bytes=%" G_GINT64_FORMAT
               " events=%" G_GINT64_FORMAT " rest=%zu after_ms=%" G_GINT64_FORMAT,
               call->id, up->target, up->answer.head.status, framings[up->answer.body.framing],
               up->answer.body.decoded, call->events, rest,
               (wg_now() - call->sent_at) / WG_USEC_PER_MSEC);
    }
}

static void wg_call_end_attempt(wg_call* call, wg_upstream* up, const char* reason,
                                wg_result result) {
    bool written = up && up->written;
    bool began = up && wg_upstream_has_begun(up);
    uint32_t target = call->choice.target;
    call->may_have_run = call->may_have_run || written;
    call->unsent += !written;
    call->upstream = NULL;
    if (up) {
        wg_upstream_end_pause(up);
        up->call = NULL;
        wg_upstream_close(up);
    }
    wg_call_release_target(call, result);
    wg_log(WG_EVENT_ATTEMPT_ENDED,
           "id=%s target=%u reason=%s written=%d began=%d events=%" G_GINT64_FORMAT
           " after_ms=%" G_GINT64_FORMAT " fingerprint=%016" G_GINT64_MODIFIER
           "x target_version=%s",
           call->id, target, reason, written, began, call->events,
           (wg_now() - call->sent_at) / WG_USEC_PER_MSEC, call->fingerprint, call->sent_version);
    bool can_resume =
        !call->head_sent || (call->route->resumable && call->last_event[0] && call->events > 0);
    if (can_resume && wg_call_schedule_retry(call, !written)) {
        return;
    }
    wg_call_refuse(call, call->may_have_run ? 502 : 503, reason, wg_call_retry_after(call));
}

/* Relays what is left of a stream. False if the stream is not complete: the attempt has ended. */
static bool wg_call_relay_rest(wg_call* call, wg_upstream* up) {
    if (wg_call_is_stream(call, up) && !wg_call_relay_events(call, up)) {
        wg_call_attempt_failed(call, up, "event-too-long");
        return false;
    }
    wg_call_record_unsure_end(call, up);
    if (wg_call_open_event(call, up) == 0) {
        return true;
    }
    if (up->answer.body.framing == WG_FRAMING_CLOSE) {
        wg_entry_check_target(call->entry, call, up);
    }
    wg_call_attempt_failed(call, up, "event-incomplete");
    return false;
}

/* Ends the answer, or retries the request in place of an error answer. */
static void wg_call_end_answer(wg_call* call, wg_upstream* up) {
    if (wg_call_may_retry_answer(call, up) && wg_call_schedule_retry(call, false)) {
        wg_log(WG_EVENT_ATTEMPT_ENDED, "id=%s target=%u reason=target-error status=%d", call->id,
               up->target, up->answer.head.status);
        call->upstream = NULL;
        wg_call_release_target(call, WG_RESULT_FAILED);
        wg_upstream_release(up);
    } else if (up->answer.body.framing == WG_FRAMING_CLOSE && call->head_sent &&
               call->framing == WG_FRAMING_CHUNKED) {
        /* The last chunk would claim an end that the target's connection does not show. */
        wg_call_attempt_withdrawn(call, up, "end-unknown");
    } else {
        wg_call_finish(call, up);
    }
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_call_set_origin(wg_call* call, const wg_origin* origin) {
    wg_copy_name(call->version_text, sizeof call->version_text, origin->version);
    call->began_target = origin->target;
    call->began_at = origin->began_at;
    call->version = call->version_text;
    call->selection.version = call->version;
}

bool wg_call_answer_head(wg_call* call, wg_upstream* up) {
    if (wg_call_was_not_run(call, up)) {
        wg_call_handle_refusal(call, up);
        return false;
    }
    call->may_have_run = true;
    wg_call_read_version(call, up);
    if (call->version && strcmp(call->version, call->sent_version) != 0) {
        wg_call_attempt_withdrawn(call, up, "other-version");
        return false;
    }
    if (call->head_sent && !wg_call_is_stream(call, up)) {
        /* A resumed event stream can only be continued with events. */
        wg_call_attempt_failed(call, up, "resume-failed");
        return false;
    }
    return true;
}

void wg_call_answer_data(wg_call* call, wg_upstream* up) {
    if (wg_call_is_stream(call, up)) {
        if (!wg_call_relay_events(call, up)) {
            wg_call_attempt_failed(call, up, "event-too-long");
        }
        return;
    }
    if (call->head_sent && call->framing != WG_FRAMING_CHUNKED) {
        wg_call_write(call, up->content);
    } else if (call->head_sent || evbuffer_get_length(up->content) > WG_BUFFERED_ANSWER_MAX) {
        struct evbuffer* out = evbuffer_new();
        if (!call->head_sent) {
            wg_call_record_first_byte(call);
            wg_call_write_head(
                call, up,
                up->answer.body.framing == WG_FRAMING_LENGTH ? up->answer.head.length : -1, out);
        }
        wg_call_add_body(call, out, up->content);
        wg_call_write(call, out);
        evbuffer_free(out);
    }
}

void wg_call_answer_complete(wg_call* call, wg_upstream* up) {
    if (wg_call_relay_rest(call, up)) {
        wg_call_end_answer(call, up);
    }
}

void wg_call_answer_closed(wg_call* call, wg_upstream* up) {
    if (wg_call_relay_rest(call, up) && !wg_entry_ends_check(call->entry, up)) {
        wg_call_end_answer(call, up);
    }
}

void wg_call_answer_checked(wg_call* call, wg_upstream* up, bool target_ended) {
    if (target_ended) {
        wg_call_attempt_failed(call, up, "target-ended");
    } else {
        wg_call_end_answer(call, up);
    }
}

void wg_call_attempt_failed(wg_call* call, wg_upstream* up, const char* reason) {
    wg_call_end_attempt(call, up, reason, WG_RESULT_FAILED);
}

void wg_call_attempt_withdrawn(wg_call* call, wg_upstream* up, const char* reason) {
    wg_call_end_attempt(call, up, reason, WG_RESULT_CALLER_DISCONNECTED);
}
