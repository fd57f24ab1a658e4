/* wg_control_orders.c -- orders forwarded by entry hosts from operators and targets

   A configuration, an evacuation or a target change becomes a log entry and is acknowledged once
   applied. A heartbeat without changes is acknowledged immediately. */
#include "wg_document.h"

#include "wg_control_internal.h"

#include <string.h>

/* ---- helpers ------------------------------------------------------------------------------- */

static void _wgco_answer_order(wgco_control* c, wgn_link link, uint64_t ticket,
                               wg_order_outcome outcome) {
    Wgpb__OrderAnswer answer = WGPB__ORDER_ANSWER__INIT;
    answer.ticket = ticket;
    answer.outcome = outcome;
    _wgco_confirm_send_answer(c, link, &answer);
}

static void _wgco_answer_configuration(wgco_control* c, wgn_link link, uint64_t ticket) {
    Wgpb__Configuration configuration;
    if (!_wgco_documents_fill(&c->documents, &configuration)) {
        _wgco_answer_order(c, link, ticket, WG_ORDER_NO_CONFIGURATION);
        return;
    }
    Wgpb__OrderAnswer answer = WGPB__ORDER_ANSWER__INIT;
    answer.ticket = ticket;
    answer.outcome = WG_ORDER_DONE;
    answer.configuration = &configuration;
    _wgco_confirm_send_answer(c, link, &answer);
}

static void _wgco_propose_order(wgco_control* c, wgn_link link, uint64_t ticket,
                                const Wgpb__Command* command) {
    _wgco_waiter_t* waiter = g_new0(_wgco_waiter_t, 1);
    waiter->link = link;
    waiter->ticket = ticket;
    waiter->order = true;
    if (!_wgco_propose(c, &command->base, waiter)) {
        _wgco_answer_order(c, link, ticket, WG_ORDER_NOT_LEADER);
    }
}

static void _wgco_order_configuration(wgco_control* c, wgn_link link, const Wgpb__Order* in) {
    if (in->configuration->version <= c->documents.version) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_DONE);
        return;
    }
    GBytes* document = wg_document_unpack_message(in->configuration, NULL, NULL);
    if (!document) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_INVALID);
        return;
    }
    g_bytes_unref(document);
    Wgpb__Command command = WGPB__COMMAND__INIT;
    command.configuration = in->configuration;
    _wgco_propose_order(c, link, in->ticket, &command);
}

/* A heartbeat of a process that ended before the one at its address started. */
static void _wgco_log_superseded(wgco_control* c, const wg_target* update) {
    const wg_target* holder = wg_registry_holder(c->registry, update->address);
    c->heartbeats_superseded++;
    wg_log(WG_EVENT_TARGET_SUPERSEDED,
           "target=%s born=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT
           " address=%s holder=%s holder_born=%" G_GUINT64_FORMAT
           " holder_silent_ms=%" G_GINT64_FORMAT,
           update->id, update->born, update->sequence, update->address, holder->id, holder->born,
           (wg_now() - holder->last_contact_at) / WG_USEC_PER_MSEC);
}

static void _wgco_order_target(wgco_control* c, wgn_link link, const Wgpb__Order* in) {
    wg_target update;
    if (!wg_target_unpack(in->target, wg_now(), &update)) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_INVALID);
        return;
    }
    wg_heartbeat_result result = wg_registry_receive(c->registry, wg_now(), &update);
    if (result == WG_HEARTBEAT_SUPERSEDED) {
        _wgco_log_superseded(c, &update);
    }
    if (result != WG_HEARTBEAT_CHANGED) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_DONE);
        return;
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    command.target = in->target;
    _wgco_propose_order(c, link, in->ticket, &command);
}

static bool _wgco_is_name(const char* text) {
    return text[0] && strlen(text) < WG_NAME_MAX;
}

/* An evacuation that is already in force is proposed as well: an earlier opposite order may still
   be uncommitted. */
static void _wgco_order_evacuation(wgco_control* c, wgn_link link, const Wgpb__Order* in) {
    if (!_wgco_is_name(in->evacuation->data_centre)) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_INVALID);
        return;
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    command.evacuation = in->evacuation;
    _wgco_propose_order(c, link, in->ticket, &command);
}

/* An operator's order to end a quarantine. */
static void _wgco_order_quarantine(wgco_control* c, wgn_link link, const Wgpb__Order* in) {
    if (in->quarantine->begins || in->quarantine->fingerprint == 0) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_INVALID);
        return;
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    command.quarantine = in->quarantine;
    _wgco_propose_order(c, link, in->ticket, &command);
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgco_receive_order(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    Wgpb__Order* in = wgpb__order__unpack(NULL, frame->size, frame->payload);
    if (!in) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=order");
        return;
    }
    if (!c->leads || !wgr_leads(c->node, wg_now())) {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_NOT_LEADER);
    } else if (in->read_configuration) {
        _wgco_answer_configuration(c, link, in->ticket);
    } else if (in->configuration) {
        _wgco_order_configuration(c, link, in);
    } else if (in->target) {
        _wgco_order_target(c, link, in);
    } else if (in->evacuation) {
        _wgco_order_evacuation(c, link, in);
    } else if (in->quarantine) {
        _wgco_order_quarantine(c, link, in);
    } else {
        _wgco_answer_order(c, link, in->ticket, WG_ORDER_INVALID);
    }
    wgpb__order__free_unpacked(in, NULL);
}

void _wgco_complete_order(wgco_control* c, const _wgco_waiter_t* waiter, bool committed) {
    _wgco_answer_order(c, waiter->link, waiter->ticket,
                       committed ? WG_ORDER_DONE : WG_ORDER_UNKNOWN);
}

/* The replicas that hold the entry are known only on the leader, and not while a snapshot is
   loaded. */
static void _wgco_log_configuration(const wgco_control* c) {
    char* holders = c->node && c->leads ? _wgco_describe_holders(c, c->applied) : g_strdup("-");
    wg_log(WG_EVENT_CONFIGURATION_AGREED,
           "version=%" G_GUINT64_FORMAT " index=%" G_GUINT64_FORMAT " term=%" G_GUINT64_FORMAT
           " holders=%s bytes=%zu packed=%zu",
           c->documents.version, c->applied, c->applied_term, holders,
           g_bytes_get_size(c->documents.document), g_bytes_get_size(c->documents.packed));
    g_free(holders);
}

void _wgco_apply_configuration(wgco_control* c, const Wgpb__Configuration* in) {
    GError* error = NULL;
    if (_wgco_documents_apply(&c->documents, in, &error)) {
        _wgco_log_configuration(c);
        _wgco_entry_schedule_push(c);
    } else if (error) {
        wg_log(WG_EVENT_CONFIGURATION_REFUSED, "version=%" G_GUINT64_FORMAT " %s", in->version,
               error->message);
        g_error_free(error);
    }
}

void _wgco_apply_target(wgco_control* c, const Wgpb__TargetRecord* in) {
    wg_target record;
    uint64_t before = wg_registry_change(c->registry);
    if (!wg_target_unpack(in, wg_now(), &record)) {
        return;
    }
    wg_registry_apply(c->registry, wg_now(), &record);
    if (wg_registry_change(c->registry) != before) {
        wg_log(WG_EVENT_TARGET_AGREED,
               "target=%s address=%s state=%d sequence=%" G_GUINT64_FORMAT
               " cold_ms=%" G_GUINT64_FORMAT " target_version=%s",
               record.id, record.address, record.state, record.sequence,
               in->cold_us / WG_USEC_PER_MSEC, record.version);
        _wgco_entry_schedule_push(c);
    }
}

void _wgco_apply_evacuation(wgco_control* c, const Wgpb__Evacuation* in) {
    wg_evacuation evacuation = {.data_centre = in->data_centre,
                                .begins = in->begins,
                                .cold_time = (wg_time)MIN(in->cold_us, WG_TARGET_COLD_MAX)};
    if (wg_registry_evacuate(c->registry, wg_now(), &evacuation)) {
        wg_log(WG_EVENT_EVACUATION_AGREED, "data_centre=%s begins=%d cold_ms=%" G_GUINT64_FORMAT,
               in->data_centre, in->begins, in->cold_us / WG_USEC_PER_MSEC);
        _wgco_entry_schedule_push(c);
    }
}

void _wgco_receive_target_ask(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    Wgpb__TargetAsk* in = wgpb__target_ask__unpack(NULL, frame->size, frame->payload);
    if (!in) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=target-ask");
        return;
    }
    wg_time now = wg_now();
    const wg_target* target = wg_registry_find(c->registry, in->target);
    bool leads = c->leads && wgr_leads(c->node, now);
    Wgpb__TargetAnswer answer = WGPB__TARGET_ANSWER__INIT;
    answer.ticket = in->ticket;
    answer.target = in->target;
    if (leads && target && target->heard_interval > 0) {
        answer.heard = true;
        answer.silent_us = (uint64_t)MAX(now - target->heard_at, 0);
        answer.interval_us = (uint64_t)target->heard_interval;
    }
    wgn_send(c->net, link, WGW_TYPE_TARGET_ANSWER, &answer.base);
    wgpb__target_ask__free_unpacked(in, NULL);
}
