/* wg_entry_call.c -- one request's life: route, wait, attempts, answer */
#include "wg_entry_internal.h"

#include <stdlib.h>
#include <string.h>

enum {
    WG_WAIT_PERCENT = 18, /* of the objective that a request may wait here before it is refused */
    WG_WAIT_MIN = 5 * WG_USEC_PER_MSEC,
    WG_RETRY_WAIT = 15 * WG_USEC_PER_MSEC,
    WG_ANSWER_TOKEN_TIME = 12 * WG_USEC_PER_MSEC, /* to make one, on the safe side */
    WG_ANSWER_TOKENS_FACTOR = 2                   /* a token made counts as two that are read */
};

/* Share of the objective that the first event may be expected to take, for a send now. */
static const double WG_LIMIT = 0.95;
/* Part of that share which is left while estimates cannot be trusted at all. */
static const double WG_LIMIT_TRUSTLESS = 0.6;
/* How much longer than the limit a modest workspace's request may be expected to take. */
static const double WG_MODEST_FACTOR = 2;
/* Part of a target's slots for those who have more than they are owed, by their patience. */
static const double WG_SLOTS_LEAST = 0.55;
static const double WG_SLOTS_SPAN = 0.35;
/* Share of it that others' prompts may take before that of a request too large to be in time. */
static const double WG_LIMIT_LARGE = 0.3;

/* Seconds; other entry hosts take the request at once. */
static const double WG_STOPPING_RETRY_AFTER = 0.02;

static void wg_call_try(wg_call* call);
static uint32_t wg_call_tokens(const wg_call* call);
static double wg_call_usage(const wg_call* call);

/* ---- helpers: the end of a call -------------------------------------------------------------- */

static wg_retry_rules wg_call_retry_rules(const wg_entry* e) {
    return (wg_retry_rules){.percent = e->settings->retry_percent,
                            .slack = e->settings->retry_slack,
                            .window = e->settings->retry_window_ms * WG_USEC_PER_MSEC,
                            .hosts = MAX(e->members_num, 3)};
}

static wg_retry* wg_call_retry(const wg_call* call) {
    wg_entry* e = call->entry;
    const char* name = call->config->services[call->service].name;
    wg_retry* retry = g_hash_table_lookup(e->retries, name);
    if (!retry) {
        retry = g_new0(wg_retry, 1);
        g_hash_table_insert(e->retries, g_strdup(name), retry);
    }
    return retry;
}

static GQueue* wg_call_queue(const wg_call* call) {
    wg_entry* e = call->entry;
    const char* name = call->config->services[call->service].name;
    GQueue* queue = g_hash_table_lookup(e->queues, name);
    if (!queue) {
        queue = g_queue_new();
        g_hash_table_insert(e->queues, g_strdup(name), queue);
    }
    return queue;
}

static void wg_call_unqueue(wg_call* call) {
    if (call->queued) {
        g_queue_unlink(wg_call_queue(call), &call->queue_link);
        call->queued = false;
    }
}

/* Give the target's account back. */
static void wg_call_settle(wg_call* call, wg_result result) {
    if (call->choice.target) {
        wg_balance_end(call->entry->balance, wg_now(), &call->choice, result);
        call->choice = (wg_choice){0};
    }
}

static void wg_call_log_end(const wg_call* call, const wg_call_end* end, wg_time now) {
    if (!wg_entry_may_log(call->entry, now)) {
        return;
    }
    wg_log(WG_EVENT_REQUEST_ENDED,
           "id=%s status=%d verdict=%s reason=%s route=%s version=%" G_GUINT64_FORMAT
           " workspace=%s target=%u attempts=%d first_ms=%" G_GINT64_FORMAT
           " total_ms=%" G_GINT64_FORMAT " events=%" G_GINT64_FORMAT
           " tokens=%u expected_ms=%" G_GINT64_FORMAT " limit_ms=%" G_GINT64_FORMAT
           " used=%.0f level=%.0f owed=%.0f state_age_ms=%" G_GINT64_FORMAT,
           call->id, end->status, wg_verdict_name(end->verdict), end->reason, call->route->name,
           call->config->version, call->workspace ? call->workspace->name : "-",
           call->need.tried_num ? call->need.tried[call->need.tried_num - 1] : 0, call->attempts,
           call->first_event_at ? (call->first_event_at - call->started) / WG_USEC_PER_MSEC : -1,
           (now - call->started) / WG_USEC_PER_MSEC, call->events,
           call->has_prompt ? wg_call_tokens(call) : 0, call->expected / WG_USEC_PER_MSEC,
           call->limit / WG_USEC_PER_MSEC, call->workspace ? wg_call_usage(call) : 0,
           call->entry->levels.served, call->entry->levels.owed,
           (now - call->entry->state_at) / WG_USEC_PER_MSEC);
}

static void wg_call_free(wg_call* call) {
    wg_entry* e = call->entry;
    wg_call_unqueue(call);
    wg_call_settle(call, WG_RESULT_LEFT);
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

static bool wg_call_keeps(const wg_call* call) {
    return call->client->keep && !call->entry->stopping;
}

static void wg_call_ended(wg_call* call, const wg_call_end* end) {
    wg_time now = wg_now();
    wg_hist_add(&call->entry->total_time, now - call->started);
    wg_call_log_end(call, end, now);
    wg_call_free(call);
}

/* May a target have begun to work on the request, as far as this host knows? */
static bool wg_call_may_have_run(const wg_call* call) {
    return call->may_have_run || (call->upstream && call->upstream->written);
}

/* A final answer of ours, at once. */
static void wg_call_refuse(wg_call* call, int status, const char* reason, double retry_after) {
    wg_client* client = call->client;
    bool may_have_run = wg_call_may_have_run(call);
    wg_verdict verdict = may_have_run ? WG_VERDICT_MAY_HAVE_RUN : WG_VERDICT_NOT_RUN;
    wg_call_end end = {status, verdict, reason};
    if (client && call->head_sent) {
        call->entry->counters.cut++;
        call->client = NULL;
        client->call = NULL;
        wg_client_close(client); /* an answer that ends early must not look whole */
    } else if (client) {
        bool keep = wg_call_keeps(call);
        struct evbuffer* out = evbuffer_new();
        char body[160];
        int size = g_snprintf(body, sizeof body, "{\"code\":\"%s\",\"verdict\":\"%s\"}", reason,
                              wg_verdict_name(verdict));
        evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n", status,
                            wgh_reason(status));
        if (call->id[0]) {
            evbuffer_add_printf(out, "%s: %s\r\n", call->entry->names->request_id, call->id);
        }
        if (retry_after > 0 && !may_have_run) {
            evbuffer_add_printf(out, "Retry-After: %.2f\r\n", retry_after);
        }
        evbuffer_add_printf(out, "Content-Length: %d\r\n%s\r\n%s", size,
                            keep ? "" : "Connection: close\r\n", call->head_only ? "" : body);
        wg_socket_write(client->bev, out);
        evbuffer_free(out);
        call->entry->counters.refused += status == 503 || status == 429;
        call->entry->counters.failed += status >= 500 && status != 503;
        call->client = NULL;
        wg_client_call_over(client, keep);
    }
    wg_call_ended(call, &end);
}

/* ---- helpers: reading the request ------------------------------------------------------------ */

static bool wg_parse_prompt(wg_text parts, wg_text tokens, wg_prompt* prompt) {
    *prompt = (wg_prompt){0};
    char* list = wg_text_dup(parts);
    char** items = g_strsplit(list, ",", WG_PROMPT_PARTS_MAX + 1);
    uint32_t sum = 0;
    for (int i = 0; items[i] && i < WG_PROMPT_PARTS_MAX; i++) {
        char* colon = strchr(items[i], ':');
        if (!colon) {
            continue;
        }
        *colon = 0;
        char* id = g_strstrip(items[i]);
        prompt->parts[prompt->num] = wg_hash(id, strlen(id), 0);
        prompt->sizes[prompt->num] = (uint32_t)strtoul(colon + 1, NULL, 10);
        sum += prompt->sizes[prompt->num];
        prompt->num++;
    }
    g_strfreev(items);
    g_free(list);
    prompt->tokens = sum;
    if (tokens.text) {
        char* text = wg_text_dup(tokens);
        char* comma = strchr(text, ',');
        prompt->tokens = MAX(sum, (uint32_t)strtoul(text, NULL, 10));
        prompt->answer = comma ? (uint32_t)strtoul(comma + 1, NULL, 10) : 0;
        g_free(text);
    }
    return prompt->num > 0;
}

static void wg_call_read_times(wg_call* call) {
    int64_t ms;
    call->started = wg_now();
    call->deadline = WG_TIME_NEVER;
    if (wg_text_number(wg_message_field(&call->head, call->entry->names->deadline), &ms)) {
        call->deadline = call->started + ms * WG_USEC_PER_MSEC;
    }
    call->until = MIN(call->started + call->route->timeout, call->deadline);
}

static void wg_call_set_timer(wg_call* call, wg_time now) {
    wg_time at = call->until;
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

/* ---- helpers: usage of workspaces ------------------------------------------------------------ */

static uint32_t wg_call_tokens(const wg_call* call) {
    return call->prompt.tokens + WG_ANSWER_TOKENS_FACTOR * call->prompt.answer;
}

static double wg_call_usage(const wg_call* call) {
    const wg_entry_usage* usage =
        g_hash_table_lookup(call->entry->usage_fleet, &call->workspace->hash);
    return usage ? (double)usage->tokens : 0;
}

static wg_entry_usage* wg_call_own_usage(const wg_call* call) {
    GHashTable* own = call->entry->usage_own;
    wg_entry_usage* usage = g_hash_table_lookup(own, &call->workspace->hash);
    if (!usage) {
        usage = g_new0(wg_entry_usage, 1);
        usage->workspace = call->workspace->hash;
        g_hash_table_insert(own, &usage->workspace, usage);
    }
    return usage;
}

static bool wg_call_counts(const wg_call* call) {
    return call->workspace && call->has_prompt;
}

static double wg_call_patience(const wg_call* call) {
    if (!wg_call_counts(call)) {
        return 1;
    }
    double patience = wg_fair_patience(wg_call_usage(call), &call->entry->levels);
    return patience < 1 ? patience * wg_fair_trust(&call->entry->margin) : 1;
}

/* ---- helpers: attempts ----------------------------------------------------------------------- */

/* Seconds after which a refused request may come back. */
static double wg_call_retry_after(const wg_call* call) {
    wg_entry* e = call->entry;
    return (double)wg_jitter_range(e->seed, ++e->counter, 250, 700) / 1000;
}

static void wg_call_enqueue(wg_call* call, wg_time now) {
    if (!call->queued) {
        wg_time wait = MAX(call->route->objective * WG_WAIT_PERCENT / 100, WG_WAIT_MIN);
        call->queued = true;
        call->queued_until = call->started + wait;
        call->queue_link = (GList){.data = call};
        g_queue_push_tail_link(wg_call_queue(call), &call->queue_link);
    }
    wg_call_set_timer(call, now);
}

/* The tightest objective of the service: nobody may fill targets beyond it. */
static wg_time wg_call_tightest(const wg_call* call) {
    return MIN(call->config->services[call->service].tightest, call->route->objective);
}

/* Longest expected wait for the first event at which the request is sent. */
static wg_time wg_call_limit(const wg_call* call, wg_time now) {
    wg_time left = call->started + call->route->objective - now;
    double trust = wg_fair_trust(&call->entry->margin);
    double limit = WG_LIMIT * (WG_LIMIT_TRUSTLESS + (1 - WG_LIMIT_TRUSTLESS) * trust);
    return (wg_time)(limit * (double)MIN(left, wg_call_tightest(call)));
}

/* Part of a target's slots that may be taken before this request: less without patience. */
static double wg_call_slots_share(const wg_call* call) {
    double patience = wg_call_patience(call);
    return call->has_prompt && patience < 1 ? WG_SLOTS_LEAST + WG_SLOTS_SPAN * patience : 1;
}

/* Shared parts may be read again elsewhere rather than refuse a workspace below its level. */
static bool wg_call_may_spill(const wg_call* call) {
    return wg_call_counts(call) && wg_call_patience(call) >= 1;
}

/* Rather late than refused, for whoever has far less than others. */
static bool wg_call_is_modest(const wg_call* call) {
    return wg_call_counts(call) && wg_fair_is_modest(wg_call_usage(call), &call->entry->levels);
}

static bool wg_call_fits(const wg_call* call, const wg_choice* choice, wg_time now) {
    if (!call->has_prompt) {
        return true;
    }
    wg_time limit = wg_call_limit(call, now);
    wg_time own = choice->wait - choice->wait_ahead;
    bool too_large = own > limit;
    double ahead = too_large ? WG_LIMIT_LARGE * (double)wg_call_tightest(call) : (double)limit;
    if (wg_call_is_modest(call)) {
        limit = (wg_time)(WG_MODEST_FACTOR * (double)limit);
        ahead *= WG_MODEST_FACTOR;
    }
    return (too_large || choice->wait <= limit) &&
           (double)choice->wait_ahead <= wg_call_patience(call) * ahead;
}

static void wg_call_send(wg_call* call, const wg_target* target, wg_time now) {
    wg_entry* e = call->entry;
    wg_retry_rules rules = wg_call_retry_rules(e);
    if (call->attempts == 0) {
        wg_retry_first(wg_call_retry(call), &rules);
        if (wg_call_counts(call)) {
            wg_call_own_usage(call)->tokens += wg_call_tokens(call);
        }
    }
    call->attempts++;
    if (call->need.tried_num < WG_TRIED_MAX) {
        call->need.tried[call->need.tried_num++] = target->number;
    }
    wg_balance_begin(e->balance, now, &call->choice);
    if (call->has_prompt) {
        wg_balance_note_prompt(e->balance, now, target->number, &call->prompt);
    }
    bool careful = !wg_route_is_repeatable(call->route);
    wg_upstream* up = wg_upstream_open(e, target, careful && call->attempts > 1);
    if (!up) {
        wg_call_attempt_failed(call, NULL, "no-connection");
        return;
    }
    wg_call_set_timer(call, now);
    wg_upstream_send(up, call);
}

/* Choose a target and send, or wait for one. */
static void wg_call_try(wg_call* call) {
    wg_entry* e = call->entry;
    wg_time now = wg_now();
    call->retry_at = 0;
    call->limit = wg_call_limit(call, now);
    call->need.limit = wg_call_may_spill(call) ? call->limit : WG_TIME_NEVER;
    call->need.slots_share = wg_call_slots_share(call);
    wg_choice choice = wg_balance_choose(e->balance, now, &call->need);
    call->expected = choice.wait;
    if (!choice.target || (call->attempts == 0 && !wg_call_fits(call, &choice, now))) {
        wg_call_enqueue(call, now);
        return;
    }
    const wg_target* target = wg_registry_find(e->registry, choice.target);
    WG_ASSERT(target != NULL);
    bool waited = call->queued;
    wg_call_unqueue(call);
    call->choice = choice;
    wg_call_send(call, target, now);
    if (waited) {
        wg_call_queue_run(e); /* there may be room for the next one too */
    }
}

static void wg_call_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_call* call = user_data;
    wg_time now = wg_now();
    if (now >= call->until) {
        if (wg_call_may_have_run(call) || call->head_sent) {
            wg_call_refuse(call, 504, "timeout", 0);
        } else {
            wg_call_refuse(call, 503, "timeout_not_run", wg_call_retry_after(call));
        }
    } else if (call->retry_at && now >= call->retry_at) {
        wg_call_try(call);
    } else if (call->queued && now >= call->queued_until) {
        wg_call_refuse(call, 503, "no_capacity", wg_call_retry_after(call));
    } else {
        wg_call_set_timer(call, now);
    }
}

/* Another attempt, when the rules and the budget allow it. False: the call has to end. */
static bool wg_call_again(wg_call* call) {
    wg_entry* e = call->entry;
    wg_time now = wg_now();
    wg_retry_rules rules = wg_call_retry_rules(e);
    bool may = !call->may_have_run || wg_route_is_repeatable(call->route);
    if (!may || call->attempts >= call->route->attempts || now + WG_RETRY_WAIT >= call->until ||
        !wg_retry_take(wg_call_retry(call), &rules)) {
        return false;
    }
    e->counters.retries++;
    e->counters.resumes += call->head_sent;
    call->retry_at = now + 1;
    wg_call_set_timer(call, now);
    return true;
}

/* ---- answers --------------------------------------------------------------------------------- */

static bool wg_call_was_not_run(const wg_call* call, const wg_upstream* up) {
    return up->head.status == 421 ||
           wg_message_field(&up->head, call->entry->names->not_run).text != NULL;
}

/* The answer says that the request did not run: try elsewhere, or refuse. */
static void wg_call_take_refusal(wg_call* call, wg_upstream* up) {
    int status = up->head.status;
    wg_log(WG_EVENT_ATTEMPT_ENDED, "id=%s target=%u reason=refused status=%d", call->id, up->target,
           up->head.status);
    call->upstream = NULL;
    up->call = NULL;
    wg_upstream_close(up);
    wg_call_settle(call, status == 421 ? WG_RESULT_MOVED : WG_RESULT_REFUSED);
    if (!wg_call_again(call)) {
        wg_call_refuse(call, call->may_have_run ? 502 : 503, "targets_refused",
                       wg_call_retry_after(call));
    }
}

static void wg_call_write_head(wg_call* call, const wg_upstream* up, int64_t length,
                               struct evbuffer* out) {
    const wg_message_head* head = &up->head;
    evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", head->status, wgh_reason(head->status));
    for (int i = 0; i < head->fields_num; i++) {
        const wg_message_pair* f = &head->fields[i];
        if (!wg_message_is_hop_field(head, f->name)) {
            evbuffer_add_printf(out, "%.*s: %.*s\r\n", (int)f->name.size, f->name.text,
                                (int)f->value.size, f->value.text);
        }
    }
    bool bodiless = head->status == 204 || head->status == 304;
    call->chunked = length < 0 && !bodiless && !call->head_only;
    if (call->chunked) {
        evbuffer_add_printf(out, "Transfer-Encoding: chunked\r\n");
    } else if (length >= 0 && !bodiless) {
        evbuffer_add_printf(out, "Content-Length: %" G_GINT64_FORMAT "\r\n", length);
    }
    evbuffer_add_printf(out, "%s\r\n", wg_call_keeps(call) ? "" : "Connection: close\r\n");
    call->head_sent = true;
}

static void wg_call_write(wg_call* call, struct evbuffer* out) {
    struct bufferevent* bev = call->client->bev;
    wg_socket_write(bev, out);
    bool full = evbuffer_get_length(bufferevent_get_output(bev)) > WG_OUTPUT_HIGH;
    if (full && call->upstream && !call->upstream->paused) {
        call->upstream->paused = true;
        bufferevent_disable(call->upstream->bev, EV_READ);
    }
}

/* Wrap what is in `data` as one chunk. */
static void wg_call_add_chunk(struct evbuffer* out, struct evbuffer* data) {
    evbuffer_add_printf(out, "%zx\r\n", evbuffer_get_length(data));
    evbuffer_add_buffer(out, data);
    evbuffer_add(out, "\r\n", 2);
}

static void wg_call_note_first(wg_call* call) {
    if (!call->first_event_at) {
        call->first_event_at = wg_now();
        wg_hist_add(&call->entry->first_time, call->first_event_at - call->started);
        if (call->has_prompt && call->expected <= call->limit) {
            wg_fair_learn(&call->entry->margin,
                          call->first_event_at - call->started <= call->route->objective);
        }
    }
    wg_balance_read(call->entry->balance, wg_now(), &call->choice);
}

/* Pass whole events on. False when the stream is malformed. */
static bool wg_call_relay_events(wg_call* call, wg_upstream* up) {
    struct evbuffer* data = evbuffer_new();
    wg_event_stream_result result;
    while ((result = wg_event_stream_next(up->content, data, call->last_event,
                                          sizeof call->last_event)) == WG_EVENT_STREAM_EVENT) {
        call->events++;
    }
    if (evbuffer_get_length(data) > 0) {
        struct evbuffer* out = evbuffer_new();
        wg_call_note_first(call);
        if (!call->head_sent) {
            wg_call_write_head(call, up, -1, out);
        }
        wg_call_add_chunk(out, data);
        wg_call_write(call, out);
        evbuffer_free(out);
        wg_call_queue_run(call->entry);
    }
    evbuffer_free(data);
    return result != WG_EVENT_STREAM_BAD;
}

static bool wg_call_is_stream(const wg_call* call, const wg_upstream* up) {
    return up->events && up->head.status >= 200 && up->head.status < 300 && !call->head_only;
}

void wg_call_answer_head(wg_call* call, wg_upstream* up) {
    if (wg_call_was_not_run(call, up)) {
        wg_call_take_refusal(call, up);
        return;
    }
    call->may_have_run = true;
    if (call->head_sent && !wg_call_is_stream(call, up)) {
        /* Only events may follow events, whatever this target says. */
        wg_call_attempt_failed(call, up, "resume-failed");
    }
}

void wg_call_answer_data(wg_call* call, wg_upstream* up) {
    if (wg_call_is_stream(call, up)) {
        if (!wg_call_relay_events(call, up)) {
            wg_call_attempt_failed(call, up, "event-too-long");
        }
        return;
    }
    if (call->head_sent && !call->chunked) {
        wg_call_write(call, up->content);
    } else if (call->head_sent || evbuffer_get_length(up->content) > WG_WHOLE_MAX) {
        struct evbuffer* out = evbuffer_new();
        if (!call->head_sent) {
            wg_call_note_first(call);
            wg_call_write_head(call, up,
                               up->body.framing == WG_FRAMING_LENGTH ? up->head.length : -1, out);
        }
        if (call->chunked) {
            wg_call_add_chunk(out, up->content);
        } else {
            evbuffer_add_buffer(out, up->content);
        }
        wg_call_write(call, out);
        evbuffer_free(out);
    }
}

/* A failure of the target itself, of a request that may run again. */
static bool wg_call_may_replace(const wg_call* call, const wg_upstream* up) {
    return up->head.status >= 500 && !call->head_sent && wg_route_is_repeatable(call->route);
}

static void wg_call_finish(wg_call* call, wg_upstream* up) {
    struct evbuffer* out = evbuffer_new();
    wg_client* client = call->client;
    bool good = up->head.status < 500;
    bool keep = wg_call_keeps(call);
    wg_call_end end = {up->head.status, WG_VERDICT_RAN, good ? "whole" : "target-error"};
    if (!call->head_sent) {
        wg_call_note_first(call);
        if (wg_call_is_stream(call, up)) {
            wg_call_write_head(call, up, -1, out);
        } else {
            int64_t length = (int64_t)evbuffer_get_length(up->content);
            wg_call_write_head(call, up, call->head_only ? up->head.length : length, out);
        }
    }
    if (call->chunked) {
        if (evbuffer_get_length(up->content) > 0) {
            wg_call_add_chunk(out, up->content);
        }
        evbuffer_add(out, "0\r\n\r\n", 5);
    } else {
        evbuffer_add_buffer(out, up->content);
    }
    wg_socket_write(client->bev, out);
    evbuffer_free(out);
    call->entry->counters.whole += good;
    call->entry->counters.failed += !good;
    call->upstream = NULL;
    wg_call_settle(call, good ? WG_RESULT_GOOD : WG_RESULT_FAILED);
    wg_upstream_release(up);
    call->client = NULL;
    wg_client_call_over(client, keep);
    wg_entry* e = call->entry;
    wg_call_ended(call, &end);
    wg_call_queue_run(e);
}

void wg_call_answer_whole(wg_call* call, wg_upstream* up) {
    if (wg_call_is_stream(call, up) && !wg_call_relay_events(call, up)) {
        wg_call_attempt_failed(call, up, "event-too-long");
        return;
    }
    if (wg_call_may_replace(call, up) && wg_call_again(call)) {
        wg_log(WG_EVENT_ATTEMPT_ENDED, "id=%s target=%u reason=target-error status=%d", call->id,
               up->target, up->head.status);
        call->upstream = NULL;
        wg_call_settle(call, WG_RESULT_FAILED);
        wg_upstream_release(up);
        return;
    }
    wg_call_finish(call, up);
}

void wg_call_attempt_failed(wg_call* call, wg_upstream* up, const char* reason) {
    bool written = up && up->written;
    uint32_t target = call->choice.target;
    call->may_have_run = call->may_have_run || written;
    call->upstream = NULL;
    if (up) {
        up->call = NULL;
        wg_upstream_close(up);
    }
    wg_call_settle(call, WG_RESULT_FAILED);
    wg_log(WG_EVENT_ATTEMPT_ENDED, "id=%s target=%u reason=%s written=%d events=%" G_GINT64_FORMAT,
           call->id, target, reason, written, call->events);
    bool can_resume = !call->head_sent || (call->chunked && call->route->resumable &&
                                           call->last_event[0] && call->events > 0);
    if (can_resume && wg_call_again(call)) {
        return;
    }
    wg_call_refuse(call, call->may_have_run ? 502 : 503, reason, wg_call_retry_after(call));
}

/* ---- functions of the library ---------------------------------------------------------------- */

static void wg_call_deny(wg_client* client, char* bytes, struct evbuffer* body, int status,
                         const char* code) {
    wg_entry* e = client->entry;
    bool keep = client->keep && !e->stopping;
    if (wg_entry_may_log(e, wg_now())) {
        wg_log(WG_EVENT_CONNECTION_REFUSED, "status=%d code=%s version=%" G_GUINT64_FORMAT, status,
               code, e->config ? e->config->version : 0);
    }
    wg_client_refuse(client, status, code, status == 503 ? 0.5 : 0, keep);
    evbuffer_free(body);
    g_free(bytes);
    wg_client_call_over(client, keep);
}

void wg_call_begin(wg_client* client, char* bytes, size_t size, struct evbuffer* body) {
    wg_entry* e = client->entry;
    wg_message_head head;
    int bad = wg_message_parse_request(bytes, size, &head);
    WG_ASSERT(bad == 0);
    e->counters.requests++;
    if (!e->config || !e->registry_known) {
        wg_call_deny(client, bytes, body, 503, "no_configuration_yet");
        return;
    }
    const wg_route* route =
        wg_config_route(e->config, wg_message_field(&head, "Host"), head.target);
    if (!route) {
        wg_call_deny(client, bytes, body, 404, "no_route");
        return;
    }
    const wg_workspace* workspace =
        wg_config_workspace(e->config, wg_message_field(&head, e->names->key));
    if (!workspace && !route->open && e->config->workspaces_num > 0) {
        wg_call_deny(client, bytes, body, 401, "unknown_key");
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
    call->head = head;
    call->body = body;
    call->head_only = wg_text_is(head.method, "HEAD");
    wg_text id = wg_message_field(&head, e->names->request_id);
    g_snprintf(call->id, sizeof call->id, "%.*s", (int)id.size, id.text ? id.text : "");
    call->service = wg_route_pick(route, wg_jitter(e->seed, ++e->counter));
    const wg_service* service = &call->config->services[call->service];
    wg_text parts = wg_message_field(&head, e->names->prompt_parts);
    call->has_prompt =
        service->engine && parts.text &&
        wg_parse_prompt(parts, wg_message_field(&head, e->names->prompt_tokens), &call->prompt);
    call->need = (wg_need){.service = service->name,
                           .prompt = call->has_prompt ? &call->prompt : NULL,
                           .copies = service->copies,
                           .slots = service->slots};
    wg_call_read_times(call);
    if (wg_call_counts(call)) {
        wg_call_own_usage(call)->asked += wg_call_tokens(call);
    }
    call->timer = evtimer_new(e->base, wg_call_on_timer, call);
    e->calls_num++;
    if (wg_entry_refuses_new(e, WG_ANSWER_TOKEN_TIME * call->prompt.answer)) {
        wg_call_refuse(call, 503, "stopping", WG_STOPPING_RETRY_AFTER);
        return;
    }
    wg_call_set_timer(call, call->started);
    wg_call_try(call);
}

void wg_call_caller_left(wg_call* call) {
    wg_entry* e = call->entry;
    wg_call_end end = {0, wg_call_may_have_run(call) ? WG_VERDICT_MAY_HAVE_RUN : WG_VERDICT_NOT_RUN,
                       "caller-left"};
    e->counters.left++;
    wg_call_ended(call, &end);
    wg_call_queue_run(e);
}

/* The lightest workspace's oldest request goes first. */
static wg_call* wg_call_queue_first(GQueue* queue) {
    wg_call* best = NULL;
    double best_usage = 0;
    for (GList* at = queue->head; at; at = at->next) {
        wg_call* call = at->data;
        double usage = call->workspace ? wg_call_usage(call) : 0;
        if (!best || usage < best_usage) {
            best = call;
            best_usage = usage;
        }
    }
    return best;
}

void wg_call_queue_run(wg_entry* e) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, e->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GQueue* queue = value;
        wg_call* call = wg_call_queue_first(queue);
        if (call && !call->retry_at) {
            call->retry_at = wg_now(); /* tried from the loop, not from within another call */
            wg_call_set_timer(call, call->retry_at);
        }
    }
}

void wg_call_cut_all(wg_entry* e) {
    for (guint i = e->clients->len; i > 0; i--) {
        wg_client_close(e->clients->pdata[i - 1]);
    }
}
