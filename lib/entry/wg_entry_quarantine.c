/* wg_entry_quarantine.c -- requests and parts of prompts that crash targets: local evidence and the
   leader's quarantine

   Evidence is sent to the leader with the next report. The leader's quarantine list arrives with
   the state and applies at once, also to queued requests and to those that a target has not started
   to answer. Without a leader this host uses its own evidence. */
#include "wg_entry_internal.h"

enum {
    /* Per report, 40 KB at most; the remainder follows in the next one. */
    WG_CRASHES_REPORTED_MAX = 256,
    WG_COMPLETIONS_MAX = 256, /* between two reports; as many as a quarantine list may have */
    WG_SUSPECTS_INTERVAL = WG_USEC_PER_SEC,
    WG_BEGIN_EVENTS = 4 /* events of a run after which its target is past the beginning */
};

/* Seconds. Longer than callers usually retry, and shorter than the quarantine, so that a request
   released early is not delayed much. */
static const double WG_QUARANTINE_RETRY_AFTER = 60;

/* ---- helpers --------------------------------------------------------------------------------- */

/* A call may be stopped until its target starts to answer: a target drops a request that is still
   in its queue when the connection closes. */
static bool _wg_call_may_stop(const wg_call* call) {
    return !call->upstream || call->upstream->state == WG_UPSTREAM_CONNECTING ||
           call->upstream->state == WG_UPSTREAM_HEAD;
}

/* The last part of a prompt is the request's own, so the request's fingerprint stands for it. */
static bool _wg_call_has(const wg_call* call, uint64_t fingerprint) {
    for (int i = 0; i < call->parts_num - 1; i++) {
        if (call->parts[i] == fingerprint) {
            return true;
        }
    }
    return call->fingerprint == fingerprint;
}

/* Refuses the calls that have the fingerprint and may be stopped. */
static void _wg_entry_stop_calls_of(const GPtrArray* clients, uint64_t fingerprint) {
    GPtrArray* calls = g_ptr_array_new();
    for (guint i = 0; i < clients->len; i++) {
        const wg_client* client = clients->pdata[i];
        wg_call* call = client->call;
        if (call && _wg_call_has(call, fingerprint) && _wg_call_may_stop(call)) {
            g_ptr_array_add(calls, call);
        }
    }
    for (guint i = 0; i < calls->len; i++) {
        wg_call_refuse_quarantined(calls->pdata[i]);
    }
    g_ptr_array_unref(calls);
}

static void _wg_entry_stop_calls(const wg_entry* e, uint64_t fingerprint) {
    _wg_entry_stop_calls_of(e->clients, fingerprint);
    _wg_entry_stop_calls_of(e->taken_clients, fingerprint);
}

static bool _wg_entry_is_quarantined(const wg_entry* e, uint64_t fingerprint) {
    const wg_suspect* suspect = wg_suspects_find(e->suspects, fingerprint);
    return wg_quarantine_contains(e->quarantine, fingerprint) ||
           (suspect && wg_suspect_is_due(suspect));
}

static void _wg_entry_queue_completion(wg_entry* e, uint64_t fingerprint) {
    if (e->ended_well->len < WG_COMPLETIONS_MAX) {
        g_array_append_val(e->ended_well, fingerprint);
        e->report_at = 0;
    }
}

/* Next fingerprint in `q` from index `*at` that is not in `other`; advances `*at`. 0: none. */
static uint64_t _wg_quarantine_next_new(const wg_quarantine* q, const wg_quarantine* other,
                                        int* at) {
    const wg_quarantined* entry;
    while ((entry = wg_quarantine_at(q, (*at)++))) {
        if (!wg_quarantine_contains(other, entry->fingerprint)) {
            return entry->fingerprint;
        }
    }
    return 0;
}

static void _wg_entry_apply_new_quarantine(wg_entry* e, uint64_t fingerprint, wg_time now) {
    if (wg_suspects_ended_well(e->suspects, now, fingerprint)) {
        _wg_entry_queue_completion(e, fingerprint);
    }
    _wg_entry_stop_calls(e, fingerprint);
}

static void _wg_entry_log_quarantine(const wg_entry* e, int begun, int ended) {
    wg_log(WG_EVENT_QUARANTINE_IN_FORCE,
           "change=%" G_GUINT64_FORMAT " quarantined=%d begun=%d ended=%d",
           wg_quarantine_change(e->quarantine), wg_quarantine_num(e->quarantine), begun, ended);
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_quarantine_setup(wg_entry* e) {
    e->quarantine = wg_quarantine_setup(&(wg_quarantine_desc){0});
    e->suspects = wg_suspects_setup(&(wg_suspects_desc){0});
    e->crashes = g_array_new(FALSE, FALSE, sizeof(wg_crash));
    e->ended_well = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

void wg_entry_quarantine_shutdown(wg_entry* e) {
    wg_quarantine_shutdown(e->quarantine);
    wg_suspects_shutdown(e->suspects);
    g_array_unref(e->crashes);
    g_array_unref(e->ended_well);
}

void wg_call_read_parts(wg_call* call) {
    const char* service = call->config->services[call->service].name;
    call->parts_num = call->has_prompt ? call->prompt.num : 0;
    for (int i = 0; i < call->parts_num; i++) {
        call->parts[i] =
            wg_fingerprint_of_part(call->entry->fingerprint_seed, service, call->prompt.parts[i]);
    }
}

int64_t wg_call_attempt_events(const wg_call* call) {
    return call->events - call->events_before;
}

bool wg_call_is_at_beginning(const wg_call* call) {
    return wg_call_attempt_events(call) < WG_BEGIN_EVENTS;
}

bool wg_call_is_quarantined(const wg_call* call, uint64_t* fingerprint) {
    const wg_entry* e = call->entry;
    if (wg_quarantine_num(e->quarantine) == 0 && wg_suspects_num(e->suspects) == 0) {
        return false;
    }
    uint64_t found = _wg_entry_is_quarantined(e, call->fingerprint) ? call->fingerprint : 0;
    for (int i = 0; !found && i < call->parts_num - 1; i++) {
        found = _wg_entry_is_quarantined(e, call->parts[i]) ? call->parts[i] : 0;
    }
    if (found && fingerprint) {
        *fingerprint = found;
    }
    return found != 0;
}

void wg_call_refuse_quarantined(wg_call* call) {
    wg_entry* e = call->entry;
    bool may_have_run = call->may_have_run || (call->upstream && call->upstream->written);
    uint64_t fingerprint = call->fingerprint;
    wg_call_is_quarantined(call, &fingerprint);
    e->counters.quarantine_refusals++;
    if (wg_entry_may_log(e, wg_now())) {
        wg_log(WG_EVENT_REQUEST_QUARANTINED,
               "id=%s fingerprint=%016" G_GINT64_MODIFIER "x part=%d change=%" G_GUINT64_FORMAT,
               call->id, fingerprint, fingerprint != call->fingerprint,
               wg_quarantine_change(e->quarantine));
    }
    wg_call_refuse(call, may_have_run ? 502 : 503, "quarantined", WG_QUARANTINE_RETRY_AFTER);
}

void wg_entry_record_crash(wg_entry* e, const wg_crash* crash) {
    wg_time now = wg_now();
    const wg_suspect* before = wg_suspects_find(e->suspects, crash->fingerprint);
    bool was_due = before && wg_suspect_is_due(before);
    const wg_suspect* suspect = wg_suspects_add(e->suspects, now, crash);
    if (!suspect) {
        wg_log(WG_EVENT_SUSPECT_CLEARED, "fingerprint=%016" G_GINT64_MODIFIER "x target=%u",
               crash->fingerprint, crash->target);
        return;
    }
    g_array_append_val(e->crashes, *crash);
    if (wg_suspect_is_due(suspect) && !was_due) {
        wg_log(WG_EVENT_REQUEST_DUE,
               "fingerprint=%016" G_GINT64_MODIFIER "x workspace=%s path=%s ends=%d",
               suspect->fingerprint, suspect->workspace, suspect->path, suspect->targets_num);
        _wg_entry_stop_calls(e, crash->fingerprint);
    }
}

void wg_entry_record_completion(wg_entry* e, wg_completion completion) {
    wg_time now = wg_now();
    uint64_t fingerprint = completion.fingerprint;
    bool clears =
        !completion.is_short || wg_suspects_record_short_end(e->suspects, now, fingerprint);
    if (!completion.is_short) {
        wg_suspects_clear(e->suspects, now, fingerprint);
    }
    if (clears && wg_quarantine_contains(e->quarantine, fingerprint)) {
        _wg_entry_queue_completion(e, fingerprint);
    }
}

void wg_entry_apply_quarantine(wg_entry* e, const Wgpb__EntryState* in) {
    if (in->quarantine_change == wg_quarantine_change(e->quarantine)) {
        return;
    }
    wg_time now = wg_now();
    wg_quarantine* previous = e->quarantine;
    e->quarantine = wg_quarantine_setup(&(wg_quarantine_desc){0});
    wg_quarantine_copy(e->quarantine, in->quarantine_change, in->quarantined, in->n_quarantined);
    int begun = 0;
    int ended = 0;
    uint64_t fingerprint;
    for (int at = 0; (fingerprint = _wg_quarantine_next_new(e->quarantine, previous, &at));) {
        _wg_entry_apply_new_quarantine(e, fingerprint, now);
        begun++;
    }
    for (int at = 0; (fingerprint = _wg_quarantine_next_new(previous, e->quarantine, &at));) {
        wg_suspects_remove(e->suspects, fingerprint);
        ended++;
    }
    wg_quarantine_shutdown(previous);
    _wg_entry_log_quarantine(e, begun, ended);
}

/* A new leader, or a new incarnation of the same one, does not have this host's evidence. */
void wg_entry_requeue_crashes(wg_entry* e) {
    g_array_unref(e->crashes);
    e->crashes = wg_suspects_crashes(e->suspects);
}

wg_crash_report wg_entry_fill_crashes(wg_entry* e, Wgpb__EntryReport* report) {
    guint num = MIN(e->crashes->len, (guint)WG_CRASHES_REPORTED_MAX);
    wg_crash_report out = {
        .items = g_new(Wgpb__Crash, num + 1), .list = g_new(Wgpb__Crash*, num + 1), .num = num};
    for (guint i = 0; i < num; i++) {
        wg_crash* crash = &g_array_index(e->crashes, wg_crash, i);
        wgpb__crash__init(&out.items[i]);
        out.items[i].fingerprint = crash->fingerprint;
        out.items[i].target = crash->target;
        out.items[i].early = crash->early;
        out.items[i].workspace = crash->workspace;
        out.items[i].path = crash->path;
        out.list[i] = &out.items[i];
    }
    report->crashes = out.list;
    report->n_crashes = num;
    report->ended_well = (uint64_t*)(void*)e->ended_well->data;
    report->n_ended_well = e->ended_well->len;
    report->quarantine_change = wg_quarantine_change(e->quarantine);
    return out;
}

void wg_entry_crashes_reported(wg_entry* e, wg_crash_report* report) {
    g_array_remove_range(e->crashes, 0, report->num);
    g_array_set_size(e->ended_well, 0);
    g_free(report->list);
    g_free(report->items);
}

void wg_entry_quarantine_tick(wg_entry* e, wg_time now) {
    if (now - e->suspects_expired_at >= WG_SUSPECTS_INTERVAL) {
        e->suspects_expired_at = now;
        wg_suspects_tick(e->suspects, now);
    }
}
