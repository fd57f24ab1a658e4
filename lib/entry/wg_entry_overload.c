/* wg_entry_overload.c -- overload control of this host: measurements for lib/overload, log lines */
#include "wg_entry_internal.h"

enum {
    /* Log lines per second about requests refused on arrival. Writing one costs more than a
       refusal. */
    WG_OVERLOAD_LINES_MAX = 20
};

void wg_entry_overload_setup(wg_entry* e) {
    if (e->settings->input_delay_ms > 0) {
        e->overload = wg_overload_setup(&(wg_overload_desc){
            .delay_max = e->settings->input_delay_ms * WG_USEC_PER_MSEC, .seed = e->seed});
        e->dropped_bytes = evbuffer_new();
    }
}

void wg_entry_overload_shutdown(wg_entry* e) {
    if (e->overload) {
        wg_overload_shutdown(e->overload);
        evbuffer_free(e->dropped_bytes);
    }
}

static const char* wg_entry_workspace_name(const wg_entry* e, uint64_t hash) {
    for (int i = 0; e->config && i < e->config->workspaces_num; i++) {
        if (e->config->workspaces[i].hash == hash) {
            return e->config->workspaces[i].name;
        }
    }
    return "-";
}

/* The delay of wg_entry_input_delay(), and when its measurement started. */
static wg_overload_sample wg_entry_overload_sample(const wg_entry* e, wg_time now) {
    wg_overload_sample sample = {.delay = e->input_lag.lag_last,
                                 .since = e->last_probe_since,
                                 .stall_ended_at = e->stall_ended_at};
    if (e->probe_since && now - e->probe_since > sample.delay) {
        sample.delay = now - e->probe_since;
        sample.since = e->probe_since;
    }
    return sample;
}

void wg_entry_overload_tick(wg_entry* e, wg_time now) {
    if (!e->overload) {
        return;
    }
    wg_overload_sample sample = wg_entry_overload_sample(e, now);
    wg_overload_change change = wg_overload_tick(e->overload, now, &sample);
    if (change == WG_OVERLOAD_UNCHANGED) {
        return;
    }
    wg_overload_stats stats = wg_overload_query_stats(e->overload);
    if (change == WG_OVERLOAD_BEGUN) {
        e->refused_before_overload = stats.refused;
        wg_log(WG_EVENT_OVERLOAD_BEGUN,
               "rate=%.0f limit=%.0f delay_ms=%" G_GINT64_FORMAT
               " largest_workspace=%s largest_rate=%.0f callers=%u calls=%d",
               stats.read, stats.limit, sample.delay / WG_USEC_PER_MSEC,
               wg_entry_workspace_name(e, stats.largest), stats.largest_read, e->clients->len,
               e->calls_num);
    } else {
        wg_log(WG_EVENT_OVERLOAD_ENDED,
               "rate=%.0f delay_ms=%" G_GINT64_FORMAT " refused=%" G_GUINT64_FORMAT, stats.read,
               sample.delay / WG_USEC_PER_MSEC, stats.refused - e->refused_before_overload);
    }
}

/* Workspace of a request, from its head; NULL: none. Requests with unknown keys count together as
   those of no workspace, as a caller can send any number of different keys. */
static const wg_workspace* wg_entry_workspace_of(const wg_entry* e, const wg_message_head* head) {
    return e->config ? wg_config_workspace(e->config, wg_message_field(head, e->names->key)) : NULL;
}

bool wg_entry_overload_admits(wg_entry* e, const wg_message_head* head, wg_time now) {
    const wg_workspace* workspace = wg_entry_workspace_of(e, head);
    return wg_overload_admits(e->overload, now,
                              workspace ? workspace->hash : WG_OVERLOAD_NO_WORKSPACE);
}

double wg_entry_overload_retry_after(wg_entry* e, const wg_message_head* head, wg_time now) {
    if (e->stopping) {
        return WG_STOPPING_RETRY_AFTER;
    }
    int64_t ms;
    wg_time left = WG_TIME_NEVER;
    if (wg_text_number(wg_message_field(head, e->names->deadline), &ms)) {
        left = ms * WG_USEC_PER_MSEC - wg_entry_input_delay(e, now);
    }
    return (double)wg_overload_retry_after(e->overload, left) / WG_USEC_PER_SEC;
}

void wg_entry_overload_log(wg_entry* e, const wg_message_head* head, double retry_after,
                           wg_time now) {
    if (now - e->overload_log_second >= WG_USEC_PER_SEC) {
        e->overload_log_second = now;
        e->overload_log_lines = 0;
    }
    if (++e->overload_log_lines > WG_OVERLOAD_LINES_MAX || !wg_entry_may_log(e, now)) {
        return;
    }
    enum {
        ID_SHOWN = 64 /* bytes; longer ids are truncated in the log */
    };
    const wg_workspace* workspace = wg_entry_workspace_of(e, head);
    wg_text id = wg_message_field(head, e->names->request_id);
    wg_log(WG_EVENT_CONNECTION_REFUSED,
           "id=%.*s status=503 code=overloaded workspace=%s limit=%.0f delay_ms=%" G_GINT64_FORMAT
           " retry_after=%.2f",
           (int)MIN(id.size, (size_t)ID_SHOWN), id.text ? id.text : "",
           workspace ? workspace->name : "-", wg_overload_query_stats(e->overload).limit,
           wg_entry_input_delay(e, now) / WG_USEC_PER_MSEC, retry_after);
}
