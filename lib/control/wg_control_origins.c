/* wg_control_origins.c -- versions at which streams began, in the replicated state

   Entry hosts keep these records in memory, at a few coordinators each, and report them to the
   leader. It commits those of several reports together, so that callers can take their streams up
   after all processes were killed. Records are facts that do not change, so any replica answers
   with what it has applied. Those of the last moments before the loss may be missing. */
#include "wg_control_internal.h"

enum {
    /* Records in the replicated state, and waiting at the leader; 1 MB each in memory, and as much
       in a snapshot when full. */
    _WGCO_ORIGINS_MAX = 16 * 1024,
    /* Streams that began meanwhile share a log entry and its sync; short beside their duration. */
    _WGCO_ORIGINS_PROPOSE_INTERVAL = 200 * WG_USEC_PER_MSEC,
    _WGCO_ORIGINS_PROPOSED_MAX = 4096 /* in one log entry; 120 KB */
};

static void _wgco_origins_check(int malformed) {
    if (malformed > 0) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=origin-malformed notes=%d", malformed);
    }
}

void _wgco_origins_setup(wgco_control* c) {
    c->origins = wg_origins_setup(&(wg_origins_desc){.max = _WGCO_ORIGINS_MAX});
    c->reported_origins = wg_origins_setup(&(wg_origins_desc){.max = _WGCO_ORIGINS_MAX});
}

void _wgco_origins_shutdown(wgco_control* c) {
    g_clear_pointer(&c->origins, wg_origins_shutdown);
    g_clear_pointer(&c->reported_origins, wg_origins_shutdown);
}

void _wgco_origins_receive_report(wgco_control* c, const Wgpb__EntryReport* in) {
    if (c->leads && in->n_origins > 0) {
        _wgco_origins_check(
            wg_origins_record_notes(c->reported_origins, wg_now(), in->origins, in->n_origins));
    }
}

void _wgco_origins_tick(wgco_control* c, wg_time now) {
    if (now - c->origins_at < _WGCO_ORIGINS_PROPOSE_INTERVAL ||
        wg_origins_num(c->reported_origins) == 0) {
        return;
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    c->origins_at = now;
    command.origins = wg_origins_take(c->reported_origins, now, _WGCO_ORIGINS_PROPOSED_MAX);
    _wgco_propose(c, &command.base, NULL);
    wgpb__origin_notes__free_unpacked(command.origins, NULL);
}

void _wgco_apply_origins(wgco_control* c, const Wgpb__OriginNotes* in) {
    wg_time now = wg_now();
    wg_origins_expire(c->origins, now);
    _wgco_origins_check(wg_origins_record_notes(c->origins, now, in->notes, in->n_notes));
}

void _wgco_receive_origin_ask(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    Wgpb__OriginAsk* in = wgpb__origin_ask__unpack(NULL, frame->size, frame->payload);
    if (!in) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=origin-ask");
        return;
    }
    wg_time now = wg_now();
    Wgpb__OriginAnswer answer = WGPB__ORIGIN_ANSWER__INIT;
    wg_origin_fill_answer(&answer, now, wg_origins_find(c->origins, now, in->stream));
    answer.ticket = in->ticket;
    answer.replica = true;
    wgn_send(c->net, link, WGW_TYPE_ORIGIN_ANSWER, &answer.base);
    wgpb__origin_ask__free_unpacked(in, NULL);
}

Wgpb__OriginNotes* _wgco_origins_dump(const wgco_control* c) {
    return wg_origins_dump(c->origins, wg_now(), _WGCO_ORIGINS_MAX);
}

void _wgco_origins_metrics(const wgco_control* c, GString* out) {
    g_string_append_printf(out, "walnutgate_control_origins %d\n", wg_origins_num(c->origins));
}
