/* wg_control_quarantine.c -- quarantine of requests that crash targets

   Entry hosts report the requests that were in progress at targets that crashed. This evidence is
   not replicated: each new leader collects it again from the hosts. A quarantine is committed in
   the replicated log, so it survives leader changes and restarts, and reaches all hosts with the
   next state. Counting the failures against the targets does not contain such a request: each
   host that does not know it would send it to another target. */
#include "wg_control_internal.h"

#include <string.h>

enum {
    /* A few requests per workspace of a large fleet; 1.2 MB when full. */
    _WGCO_SUSPECTS_MAX = 4096,
    /* Time before a change is proposed again; longer than a log entry takes to commit on a slow
       disk (0.1 s). */
    _WGCO_QUARANTINE_PROPOSE_INTERVAL = 500 * WG_USEC_PER_MSEC
};

/* ---- helpers: evidence --------------------------------------------------------------------- */

static bool _wgco_unpack_crash(const Wgpb__Crash* in, wg_crash* crash) {
    *crash = (wg_crash){.fingerprint = in->fingerprint, .target = in->target, .early = in->early};
    return in->fingerprint != 0 && in->target != 0 &&
           wg_copy_name(crash->workspace, sizeof crash->workspace, in->workspace) &&
           wg_copy_name(crash->path, sizeof crash->path, in->path);
}

static void _wgco_receive_crash(wgco_control* c, const _wgco_entry_t* e, const Wgpb__Crash* in,
                                wg_time now) {
    wg_crash crash;
    if (!_wgco_unpack_crash(in, &crash)) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=crash-evidence entry=%s", e->name);
        return;
    }
    const wg_suspect* before = wg_suspects_find(c->suspects, crash.fingerprint);
    int targets_before = before ? before->targets_num : 0;
    const wg_suspect* suspect = wg_suspects_add(c->suspects, now, &crash);
    if (suspect && targets_before > 0 && suspect->targets_num > targets_before) {
        wg_log(WG_EVENT_SUSPECT_SEEN_AGAIN,
               "fingerprint=%016" G_GINT64_MODIFIER
               "x workspace=%s path=%s ends=%d target=%u early=%d entry=%s due=%d",
               suspect->fingerprint, suspect->workspace, suspect->path, suspect->targets_num,
               crash.target, crash.early, e->name, wg_suspect_is_due(suspect));
    }
}

static void _wgco_receive_ended_well(wgco_control* c, uint64_t fingerprint, wg_time now) {
    wg_quarantined* entry = wg_quarantine_find(c->quarantine, fingerprint);
    wg_suspects_clear(c->suspects, now, fingerprint);
    if (entry) {
        entry->ended_well = true;
    }
}

/* ---- helpers: proposals -------------------------------------------------------------------- */

static void _wgco_propose_quarantine(wgco_control* c, const Wgpb__Quarantine* change) {
    Wgpb__Command command = WGPB__COMMAND__INIT;
    command.quarantine = (Wgpb__Quarantine*)change;
    _wgco_propose(c, &command.base, NULL);
}

static void _wgco_begin_quarantine(wgco_control* c, const wg_suspect* suspect, wg_time now) {
    wg_quarantined entry = {.fingerprint = suspect->fingerprint,
                            .crashes_num = suspect->targets_num,
                            .until = now + c->settings->quarantine_s * WG_USEC_PER_SEC};
    Wgpb__Quarantine change;
    wg_copy_name(entry.workspace, sizeof entry.workspace, suspect->workspace);
    wg_copy_name(entry.path, sizeof entry.path, suspect->path);
    wg_quarantined_pack(&entry, now, &change);
    _wgco_propose_quarantine(c, &change);
}

static bool _wgco_was_proposed(wg_time proposed_at, wg_time now) {
    return proposed_at && now - proposed_at < _WGCO_QUARANTINE_PROPOSE_INTERVAL;
}

/* Returns a suspect whose quarantine is due and not proposed recently, or NULL. */
static wg_suspect* _wgco_next_to_begin(const wgco_control* c, wg_time now) {
    GPtrArray* list = wg_suspects_list(c->suspects);
    wg_suspect* due = NULL;
    for (guint i = 0; i < list->len && !due; i++) {
        wg_suspect* suspect = list->pdata[i];
        if (wg_suspect_is_due(suspect) && !_wgco_was_proposed(suspect->proposed_at, now) &&
            !wg_quarantine_contains(c->quarantine, suspect->fingerprint)) {
            due = suspect;
        }
    }
    g_ptr_array_unref(list);
    return due;
}

static void _wgco_end_quarantine(wgco_control* c, uint64_t fingerprint, wg_quarantine_end reason) {
    Wgpb__Quarantine change = WGPB__QUARANTINE__INIT;
    change.fingerprint = fingerprint;
    change.reason = reason;
    _wgco_propose_quarantine(c, &change);
}

/* Returns an entry whose end is due and not proposed recently, or NULL. */
static wg_quarantined* _wgco_next_to_end(const wgco_control* c, wg_time now) {
    wg_quarantined* entry;
    for (int i = 0; (entry = wg_quarantine_at(c->quarantine, i)); i++) {
        bool due = entry->ended_well || now >= entry->until;
        if (due && !_wgco_was_proposed(entry->proposed_at, now)) {
            return entry;
        }
    }
    return NULL;
}

/* A proposal may be applied before the call returns, which changes both lists, so each search
   starts over. */
static void _wgco_propose_due(wgco_control* c, wg_time now) {
    wg_suspect* beginning;
    wg_quarantined* ending;
    while ((beginning = _wgco_next_to_begin(c, now))) {
        beginning->proposed_at = now;
        _wgco_begin_quarantine(c, beginning, now);
    }
    while ((ending = _wgco_next_to_end(c, now))) {
        ending->proposed_at = now;
        _wgco_end_quarantine(c, ending->fingerprint,
                             ending->ended_well ? WG_QUARANTINE_END_WELL : WG_QUARANTINE_END_TIME);
    }
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgco_quarantine_setup(wgco_control* c) {
    c->quarantine = wg_quarantine_setup(&(wg_quarantine_desc){0});
    c->suspects = wg_suspects_setup(&(wg_suspects_desc){.max = _WGCO_SUSPECTS_MAX});
}

void _wgco_quarantine_shutdown(wgco_control* c) {
    g_clear_pointer(&c->quarantine, wg_quarantine_shutdown);
    g_clear_pointer(&c->suspects, wg_suspects_shutdown);
}

void _wgco_quarantine_receive_report(wgco_control* c, const _wgco_entry_t* e,
                                     const Wgpb__EntryReport* in) {
    wg_time now = wg_now();
    for (size_t i = 0; i < in->n_crashes; i++) {
        _wgco_receive_crash(c, e, in->crashes[i], now);
    }
    for (size_t i = 0; i < in->n_ended_well; i++) {
        _wgco_receive_ended_well(c, in->ended_well[i], now);
    }
    if (c->leads && (in->n_crashes > 0 || in->n_ended_well > 0)) {
        _wgco_propose_due(c, now);
    }
}

void _wgco_quarantine_tick(wgco_control* c, wg_time now) {
    if (now - c->quarantine_at < _WGCO_QUARANTINE_PROPOSE_INTERVAL) {
        return;
    }
    c->quarantine_at = now;
    wg_suspects_tick(c->suspects, now);
    _wgco_propose_due(c, now);
}

void _wgco_apply_quarantine(wgco_control* c, const Wgpb__Quarantine* in) {
    wg_quarantined dropped;
    if (!wg_quarantine_apply(c->quarantine, wg_now(), in, &dropped)) {
        return;
    }
    if (in->begins) {
        wg_log(WG_EVENT_QUARANTINE_BEGUN,
               "fingerprint=%016" G_GINT64_MODIFIER
               "x workspace=%.63s path=%.95s ends=%u for_s=%" G_GUINT64_FORMAT
               " index=%" G_GUINT64_FORMAT " quarantined=%d",
               in->fingerprint, in->workspace, in->path, in->ends, in->life_us / WG_USEC_PER_SEC,
               c->applied, wg_quarantine_num(c->quarantine));
    } else {
        wg_suspects_remove(c->suspects, in->fingerprint);
        wg_log(WG_EVENT_QUARANTINE_ENDED,
               "fingerprint=%016" G_GINT64_MODIFIER "x reason=%s index=%" G_GUINT64_FORMAT
               " quarantined=%d",
               in->fingerprint, wg_quarantine_end_name((wg_quarantine_end)in->reason), c->applied,
               wg_quarantine_num(c->quarantine));
    }
    if (dropped.fingerprint) {
        wg_log(WG_EVENT_QUARANTINE_DROPPED,
               "fingerprint=%016" G_GINT64_MODIFIER "x workspace=%s path=%s", dropped.fingerprint,
               dropped.workspace, dropped.path);
    }
    _wgco_entry_schedule_push(c);
}

json_t* _wgco_quarantine_dump(const wgco_control* c) {
    json_t* list = json_array();
    wg_time now = wg_now();
    const wg_quarantined* entry;
    for (int i = 0; (entry = wg_quarantine_at(c->quarantine, i)); i++) {
        char fingerprint[20];
        g_snprintf(fingerprint, sizeof fingerprint, "%016" G_GINT64_MODIFIER "x",
                   entry->fingerprint);
        json_array_append_new(
            list, json_pack("{s:s,s:s,s:s,s:i,s:I}", "fingerprint", fingerprint, "workspace",
                            entry->workspace, "path", entry->path, "ends", entry->crashes_num,
                            "left_s", (json_int_t)(MAX(entry->until - now, 0) / WG_USEC_PER_SEC)));
    }
    return list;
}

void _wgco_quarantine_metrics(const wgco_control* c, GString* out) {
    g_string_append_printf(out, "walnutgate_quarantined %d\nwalnutgate_suspects %d\n",
                           wg_quarantine_num(c->quarantine), wg_suspects_num(c->suspects));
}
