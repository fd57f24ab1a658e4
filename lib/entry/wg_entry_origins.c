/* wg_entry_origins.c -- streams that callers take up: at which software version they began

   A host that relays the first event of a stream tells a few coordinators (lib/origin) at which
   version it began, before the event leaves: it may be lost before a second version serves. If the
   service has several versions, the leader learns of it with the next report. A host at which a
   caller takes up a stream that it does not know asks the coordinators, then also the replica to
   which it has a link. */
#include "wg_entry_internal.h"

#include <string.h>

enum {
    /* How long callers may take a stream up, at least: deadlines are their own, and a configuration
       may shorten the timeouts of its routes meanwhile. */
    WG_STREAM_LIFE_MIN = 30 * WG_USEC_PER_SEC,
    WG_STREAM_LIFE_TIMEOUTS = 2, /* the same, in timeouts of the slowest route for streams */
    /* A connection that still brings events this long after its target is known to have restarted
       is one to the later start: those of the earlier one ended with it, and bytes that were on
       their way have arrived. */
    WG_RESTART_SETTLE_TIME = 500 * WG_USEC_PER_MSEC,
    WG_ORIGINS_UNREPORTED_MAX = 4096,
    WG_ORIGINS_REPORTED_MAX = 1024 /* in one report, 30 KB; the remainder follows in the next one */
};

/* ---- helpers --------------------------------------------------------------------------------- */

static wg_time wg_entry_stream_life(const wg_entry* e) {
    wg_time life = WG_STREAM_LIFE_TIMEOUTS * e->config->stream_timeout_max;
    return CLAMP(life, (wg_time)WG_STREAM_LIFE_MIN, (wg_time)WG_REGISTRY_ENDED_TIME);
}

/* The version of the service's targets if no other one can have begun a stream that a caller may
   still take up, as far as this host knows; or NULL. */
static const char* wg_entry_only_version(const wg_entry* e, const char* service) {
    return wg_registry_only_version(e->registry, wg_now(), service, wg_entry_stream_life(e));
}

static void wg_entry_origin_keep(wg_entry* e, uint64_t stream, const wg_origin* origin) {
    wg_origins_record(e->origins, wg_now(), stream, origin, wg_entry_stream_life(e));
}

static wg_origin wg_call_origin(const wg_call* call) {
    return (wg_origin){call->version, call->began_target, call->began_at};
}

/* Whether the version of a record is that of the process that began the stream: the target may have
   restarted with another one before this was known to the host that relayed the stream. */
static bool wg_entry_origin_is_certain(const wg_entry* e, const wg_origin* origin) {
    return origin->target == 0 ||
           !wg_registry_may_have_restarted(e->registry, origin->target, origin->began_at);
}

bool wg_call_origin_is_certain(const wg_call* call) {
    wg_origin origin = wg_call_origin(call);
    return wg_entry_origin_is_certain(call->entry, &origin);
}

/* ---- telling other hosts --------------------------------------------------------------------- */

static bool wg_call_was_told(const wg_call* call, const wg_coordinator* c) {
    for (int i = 0; i < call->keepers_num; i++) {
        if (call->keepers[i] == c->rank) {
            return true;
        }
    }
    return false;
}

/* Writes the indexes of the coordinators that keep the stream, of those that can be told now;
   returns their number. */
static int wg_entry_origin_keepers(const wg_entry* e, uint64_t stream,
                                   int keepers[WG_ORIGIN_KEEPERS]) {
    uint64_t hosts[WG_COORDINATORS_MAX];
    int indexes[WG_COORDINATORS_MAX];
    int hosts_num = 0;
    for (int i = 0; i < e->coordinators_num; i++) {
        if (e->coordinators[i].self || e->coordinators[i].up) {
            indexes[hosts_num] = i;
            hosts[hosts_num++] = e->coordinators[i].rank;
        }
    }
    int num = wg_origin_select(stream, hosts, hosts_num, keepers);
    for (int i = 0; i < num; i++) {
        keepers[i] = indexes[keepers[i]];
    }
    return num;
}

/* Tells the stream's keepers, but those that were told already. */
static void wg_call_tell_keepers(wg_call* call) {
    wg_entry* e = call->entry;
    int keepers[WG_ORIGIN_KEEPERS];
    uint64_t told[WG_ORIGIN_KEEPERS];
    Wgpb__OriginNote note = WGPB__ORIGIN_NOTE__INIT;
    note.stream = call->stream;
    note.version = call->version_text;
    note.life_us = (uint64_t)wg_entry_stream_life(e);
    note.target = call->began_target;
    note.age_us = (uint64_t)MAX(wg_now() - call->began_at, 0);
    int num = wg_entry_origin_keepers(e, call->stream, keepers);
    for (int i = 0; i < num; i++) {
        const wg_coordinator* c = &e->coordinators[keepers[i]];
        if (!c->self && !wg_call_was_told(call, c)) {
            wgn_send(e->net, c->link, WGW_TYPE_ORIGIN_NOTE, &note.base);
        }
        told[i] = c->rank;
    }
    memcpy(call->keepers, told, sizeof *told * (size_t)num);
    call->keepers_num = num;
}

/* The leader commits what it learns, so it is told only of what matters to those who come back
   after all processes have ended. Without a leader, this host may miss that another version
   serves. */
static void wg_call_report_origin(wg_call* call) {
    wg_entry* e = call->entry;
    if (e->leader_known && wg_entry_only_version(e, call->selection.service)) {
        return;
    }
    wg_origin origin = wg_call_origin(call);
    call->origin_reported = true;
    wg_origins_record(e->unreported_origins, wg_now(), call->stream, &origin,
                      wg_entry_stream_life(e));
}

static bool wg_call_has_origin(const wg_call* call) {
    return call && call->stream && call->version;
}

void wg_entry_origin_record(wg_call* call) {
    if (!wg_call_has_origin(call)) {
        return;
    }
    wg_origin origin = wg_call_origin(call);
    call->entry->counters.origins_told++;
    wg_entry_origin_keep(call->entry, call->stream, &origin);
    wg_call_tell_keepers(call);
    wg_call_report_origin(call);
}

/* The stream began at this later start of its target. */
static void wg_call_correct_origin(wg_call* call, const wg_target* latest) {
    wg_log(WG_EVENT_STREAM_VERSION_CORRECTED,
           "id=%s began_version=%s target=%u corrected=%s corrected_target=%u", call->id,
           call->version, call->began_target, latest->version, latest->number);
    wg_call_set_origin(call, &(wg_origin){latest->version, latest->number, call->began_at});
    wg_copy_name(call->sent_version, sizeof call->sent_version, latest->version);
    call->sent_target = latest->number;
    call->doubted_at = 0;
    call->keepers_num = 0;
    wg_entry_origin_record(call);
}

void wg_entry_origin_on_events(wg_call* call, const wg_upstream* up) {
    wg_time now = wg_now();
    if (!call->version || up->target != call->began_target || wg_call_origin_is_certain(call)) {
        return;
    }
    const wg_target* latest = wg_registry_latest(call->entry->registry, call->began_target);
    if (!call->doubted_at) {
        call->doubted_at = now;
    } else if (latest && latest->state != WG_TARGET_REMOVED &&
               now - call->doubted_at >= WG_RESTART_SETTLE_TIME) {
        wg_call_correct_origin(call, latest);
    }
}

/* Whether a keeper that was told of the stream may have lost the record, or not received it. */
static bool wg_call_lacks_keepers(const wg_call* call) {
    const wg_entry* e = call->entry;
    int left = 0;
    for (int i = 0; i < e->coordinators_num; i++) {
        const wg_coordinator* c = &e->coordinators[i];
        left += (c->self || c->up) && wg_call_was_told(call, c);
    }
    return left < MIN(WG_ORIGIN_KEEPERS, e->coordinators_num);
}

static void wg_entry_origins_tell_again_of(const GPtrArray* clients) {
    for (guint i = 0; i < clients->len; i++) {
        const wg_client* client = clients->pdata[i];
        wg_call* call = client->call;
        if (wg_call_has_origin(call) && call->head_sent && wg_call_lacks_keepers(call)) {
            wg_call_tell_keepers(call);
        }
    }
}

void wg_entry_origins_update_keepers(wg_entry* e) {
    if (e->config && e->calls_num > 0) {
        wg_entry_origins_tell_again_of(e->clients);
        wg_entry_origins_tell_again_of(e->taken_clients);
    }
}

static void wg_entry_origins_report_of(const GPtrArray* clients, const char* service) {
    for (guint i = 0; i < clients->len; i++) {
        const wg_client* client = clients->pdata[i];
        wg_call* call = client->call;
        if (wg_call_has_origin(call) && !call->origin_reported &&
            strcmp(call->selection.service, service) == 0) {
            wg_call_report_origin(call);
        }
    }
}

void wg_entry_origins_update_target(wg_entry* e, uint32_t number) {
    const wg_target* target = wg_registry_find(e->registry, number);
    bool in_use = target && e->config && e->calls_num > 0;
    if (in_use && !wg_entry_only_version(e, target->service)) {
        wg_entry_origins_report_of(e->clients, target->service);
        wg_entry_origins_report_of(e->taken_clients, target->service);
    }
}

Wgpb__OriginNotes* wg_entry_fill_origins(wg_entry* e, Wgpb__EntryReport* report) {
    if (!e->leader_known || wg_origins_num(e->unreported_origins) == 0) {
        return NULL;
    }
    Wgpb__OriginNotes* notes =
        wg_origins_take(e->unreported_origins, wg_now(), WG_ORIGINS_REPORTED_MAX);
    report->origins = notes->notes;
    report->n_origins = notes->n_notes;
    return notes;
}

/* ---- finding out ----------------------------------------------------------------------------- */

static void wg_call_log_origin(const wg_call* call, const char* outcome) {
    if (!wg_entry_may_log(call->entry, wg_now())) {
        return;
    }
    wg_log(
        WG_EVENT_STREAM_TAKEN_UP,
        "id=%s resumes=%s origin=%s began_version=%s answers=%d all=%d after_ms=%" G_GINT64_FORMAT
        " service=%s",
        call->id, call->resumes[0] ? call->resumes : "-", outcome,
        call->version ? call->version : "?", call->origin_lookup.answered,
        call->origin_lookup.asked_all, (wg_now() - call->started) / WG_USEC_PER_MSEC,
        call->selection.service);
}

static void wg_call_end_lookup(wg_call* call) {
    if (call->origin_ticket) {
        g_hash_table_remove(call->entry->pending_origins, &call->origin_ticket);
        call->origin_ticket = 0;
    }
}

/* Goes on with the request, at the version of this origin only. */
static void wg_call_continue(wg_call* call, const wg_origin* origin, const char* outcome) {
    wg_call_end_lookup(call);
    wg_call_set_origin(call, origin);
    wg_call_log_origin(call, outcome);
    wg_call_try(call);
}

/* Whether no host can know of a version that this one does not know. Without a leader, this host
   may be cut off from hosts that have one: then most of them have to have answered, none with a
   newer registry. */
static bool wg_call_knows_versions(const wg_call* call) {
    const wg_entry* e = call->entry;
    const wg_origin_lookup* lookup = &call->origin_lookup;
    bool alone = e->coordinators_num == 0 || (e->coordinators_num == 1 && e->coordinators[0].self);
    if (e->leader_known && !e->on_standby) {
        return alone || lookup->answered > 0;
    }
    return 2 * (lookup->answered + 1) > e->coordinators_num &&
           lookup->registry_change_max <= wg_registry_change(e->registry);
}

/* Without a record, the only version that has served will do. Another one is never the answer. */
static bool wg_call_continue_at_only(wg_call* call) {
    const char* only = wg_entry_only_version(call->entry, call->selection.service);
    if (!only || !wg_call_knows_versions(call)) {
        return false;
    }
    call->entry->counters.origins_only++;
    wg_call_continue(call, &(wg_origin){only, 0, wg_now()}, "only");
    return true;
}

/* A stream that no coordinator knows did not begin at a target that registered after the records of
   all of them begin: one was told. If only one version served before, it began there. Not if a
   coordinator did not answer, or a record is in doubt. */
static bool wg_call_continue_at_earlier(wg_call* call) {
    const wg_entry* e = call->entry;
    const wg_origin_lookup* lookup = &call->origin_lookup;
    int others = e->coordinators_num - wg_entry_admit_is_coordinator(e);
    bool sure = e->leader_known && !e->on_standby && e->origins_from_known &&
                lookup->answered >= others && !lookup->doubted;
    uint32_t from = MAX(lookup->records_from, e->origins_from);
    const char* version =
        sure ? wg_registry_only_version_to(e->registry, wg_now(), call->selection.service,
                                           wg_entry_stream_life(e), from)
             : NULL;
    if (!version) {
        return false;
    }
    call->entry->counters.origins_earlier++;
    wg_call_continue(call, &(wg_origin){version, 0, wg_now()}, "earlier");
    return true;
}

static void wg_call_refuse_unknown(wg_call* call) {
    wg_call_end_lookup(call);
    call->entry->counters.origins_unknown++;
    wg_call_log_origin(call, "unknown");
    wg_call_refuse(call, 503, "version_unknown", wg_call_retry_after(call));
}

static void wg_call_send_ask(const wg_call* call, wgn_link link) {
    Wgpb__OriginAsk ask = WGPB__ORIGIN_ASK__INIT;
    ask.ticket = call->origin_ticket;
    ask.stream = call->stream;
    wgn_send(call->entry->net, link, WGW_TYPE_ORIGIN_ASK, &ask.base);
}

static void wg_call_ask(const wg_call* call, const wg_coordinator* c) {
    if (!c->self && c->up) {
        wg_call_send_ask(call, c->link);
    }
}

/* Returns the number of replicas asked. */
static int wg_call_ask_replica(const wg_call* call) {
    const wg_entry* e = call->entry;
    if (e->link_up) {
        wg_call_send_ask(call, e->link);
    }
    return e->link_up;
}

/* Starts a round. Its answers have a ticket of their own, so that those of an earlier one do not
   end it. */
static void wg_call_begin_round(wg_call* call) {
    wg_entry* e = call->entry;
    wg_call_end_lookup(call);
    call->origin_ticket = ++e->counter;
    g_hash_table_insert(e->pending_origins, &call->origin_ticket, call);
}

static void wg_call_ask_keepers(wg_call* call) {
    const wg_entry* e = call->entry;
    int keepers[WG_ORIGIN_KEEPERS];
    int asked = 0;
    int num = wg_entry_origin_keepers(e, call->stream, keepers);
    wg_call_begin_round(call);
    for (int i = 0; i < num; i++) {
        const wg_coordinator* c = &e->coordinators[keepers[i]];
        wg_call_ask(call, c);
        asked += !c->self;
    }
    wg_origin_lookup_begin(&call->origin_lookup, wg_now(), asked);
}

static void wg_call_ask_all(wg_call* call) {
    const wg_entry* e = call->entry;
    int asked = 0;
    wg_call_begin_round(call);
    for (int i = 0; i < e->coordinators_num; i++) {
        wg_call_ask(call, &e->coordinators[i]);
        asked += !e->coordinators[i].self;
    }
    asked += wg_call_ask_replica(call);
    wg_origin_lookup_ask_all(&call->origin_lookup, wg_now(), asked);
}

/* Goes on as far as the answers until now allow. May free the call. */
static void wg_call_step_lookup(wg_call* call) {
    wg_time now = wg_now();
    wg_origin_step step = wg_origin_lookup_step(&call->origin_lookup, now);
    if (step != WG_ORIGIN_WAIT && wg_call_continue_at_only(call)) {
        return;
    }
    if (step == WG_ORIGIN_ASK_ALL) {
        wg_call_ask_all(call);
        step = wg_origin_lookup_step(&call->origin_lookup, now);
    }
    if (step == WG_ORIGIN_UNKNOWN) {
        if (!wg_call_continue_at_earlier(call)) {
            wg_call_refuse_unknown(call);
        }
    } else {
        wg_call_set_timer(call, now);
    }
}

/* Where the stream began as this host has recorded it; NULL: not known, or its target may already
   have restarted with another version. */
static const wg_origin* wg_entry_origin_recorded(const wg_entry* e, uint64_t stream) {
    const wg_origin* origin = stream ? wg_origins_find(e->origins, wg_now(), stream) : NULL;
    return origin && wg_entry_origin_is_certain(e, origin) ? origin : NULL;
}

/* This host's own record of the stream is in doubt. */
static bool wg_call_origin_is_doubted(const wg_call* call) {
    return call->stream && wg_origins_find(call->entry->origins, wg_now(), call->stream) != NULL;
}

void wg_entry_origins_begin_records(wg_entry* e) {
    e->origins_from = wg_registry_last_number(e->registry);
    e->origins_from_known = true;
}

void wg_entry_origin_find(wg_call* call) {
    wg_entry* e = call->entry;
    const wg_origin* origin = wg_entry_origin_recorded(e, call->stream);
    if (origin) {
        e->counters.origins_here++;
        wg_call_continue(call, origin, "here");
        return;
    }
    wg_call_ask_keepers(call);
    call->origin_lookup.doubted = wg_call_origin_is_doubted(call);
    wg_call_step_lookup(call);
}

void wg_entry_origin_expired(wg_call* call) {
    wg_call_step_lookup(call);
}

void wg_entry_origin_cancel(wg_call* call) {
    wg_call_end_lookup(call);
}

/* ---- frames ---------------------------------------------------------------------------------- */

static bool wg_entry_origin_on_note(wg_entry* e, const wgw_frame* frame) {
    Wgpb__OriginNote* in = wgpb__origin_note__unpack(NULL, frame->size, frame->payload);
    bool good = in && wg_origins_record_notes(e->origins, wg_now(), &in, 1) == 0;
    wgpb__origin_note__free_unpacked(in, NULL);
    return good;
}

static bool wg_entry_origin_on_ask(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    Wgpb__OriginAsk* in = wgpb__origin_ask__unpack(NULL, frame->size, frame->payload);
    bool good = in != NULL;
    if (good) {
        Wgpb__OriginAnswer answer = WGPB__ORIGIN_ANSWER__INIT;
        const wg_origin* kept = wg_origins_find(e->origins, wg_now(), in->stream);
        wg_origin_fill_answer(&answer, wg_now(), wg_entry_origin_recorded(e, in->stream));
        answer.doubted = kept && !answer.known;
        answer.records_from = e->origins_from_known ? e->origins_from + 1 : 0;
        answer.ticket = in->ticket;
        answer.registry_change = e->registry_known ? wg_registry_change(e->registry) : 0;
        wgn_send(e->net, link, WGW_TYPE_ORIGIN_ANSWER, &answer.base);
    }
    wgpb__origin_ask__free_unpacked(in, NULL);
    return good;
}

static void wg_call_apply_origin_answer(wg_call* call, const Wgpb__OriginAnswer* in) {
    if (in->replica) {
        wg_origin_lookup_replica_answer(&call->origin_lookup);
    } else {
        uint32_t records_from = in->records_from ? in->records_from - 1 : UINT32_MAX;
        wg_origin_host_answer answer = {in->registry_change, records_from, in->doubted};
        wg_origin_lookup_answer(&call->origin_lookup, &answer);
    }
    wg_origin origin = {in->version, in->target, wg_origin_began_at(wg_now(), in->age_us)};
    if (in->known && wg_entry_origin_is_certain(call->entry, &origin)) {
        wg_entry_origin_keep(call->entry, call->stream, &origin);
        call->entry->counters.origins_asked++;
        wg_call_continue(call, &origin, "asked");
    } else {
        wg_call_step_lookup(call);
    }
}

static bool wg_entry_origin_on_answer(wg_entry* e, const wgw_frame* frame) {
    Wgpb__OriginAnswer* in = wgpb__origin_answer__unpack(NULL, frame->size, frame->payload);
    bool good = in && strlen(in->version) < WG_NAME_MAX;
    wg_call* call = good ? g_hash_table_lookup(e->pending_origins, &in->ticket) : NULL;
    if (call) {
        wg_call_apply_origin_answer(call, in);
    }
    wgpb__origin_answer__free_unpacked(in, NULL);
    return good;
}

bool wg_entry_origins_on_frame(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    bool good = true;
    switch (frame->type) {
    case WGW_TYPE_ORIGIN_NOTE:
        good = wg_entry_origin_on_note(e, frame);
        break;
    case WGW_TYPE_ORIGIN_ASK:
        good = wg_entry_origin_on_ask(e, link, frame);
        break;
    case WGW_TYPE_ORIGIN_ANSWER:
        good = wg_entry_origin_on_answer(e, frame);
        break;
    default:
        return false;
    }
    if (!good) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=origin-malformed");
        wgn_close(e->net, link);
    }
    return true;
}

/* ---- set-up ---------------------------------------------------------------------------------- */

void wg_entry_origins_setup(wg_entry* e) {
    e->origins = wg_origins_setup(&(wg_origins_desc){0});
    e->unreported_origins = wg_origins_setup(&(wg_origins_desc){.max = WG_ORIGINS_UNREPORTED_MAX});
    e->pending_origins = g_hash_table_new(g_int64_hash, g_int64_equal);
}

void wg_entry_origins_shutdown(wg_entry* e) {
    g_hash_table_unref(e->pending_origins);
    wg_origins_shutdown(e->origins);
    wg_origins_shutdown(e->unreported_origins);
}

void wg_entry_origins_tick(wg_entry* e, wg_time now) {
    wg_origins_expire(e->origins, now);
    wg_origins_expire(e->unreported_origins, now);
}

void wg_entry_origins_print_metrics(const wg_entry* e, GString* out) {
    const wg_entry_counters* c = &e->counters;
    g_string_append_printf(out,
                           "walnutgate_entry_origins %d\n"
                           "walnutgate_entry_origins_told_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_origins_known_here_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_origins_known_elsewhere_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_origins_only_version_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_origins_earlier_version_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_origins_unknown_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_versions_doubted_total %" G_GUINT64_FORMAT "\n",
                           wg_origins_num(e->origins), c->origins_told, c->origins_here,
                           c->origins_asked, c->origins_only, c->origins_earlier,
                           c->origins_unknown, c->versions_doubted);
}
