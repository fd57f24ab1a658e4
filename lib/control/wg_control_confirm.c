/* wg_control_confirm.c -- acknowledgements after a forced recovery

   An acknowledged change is obeyed by every entry host in contact. After a forced recovery, a host
   that has not heard of the new set could still follow the previous one. A leader of a recovered
   set therefore acknowledges nothing until all hosts have reported that they know of the recovery.
   Which hosts there are, it learns from their rosters. A host that cannot be reached delays
   acknowledgements for at most _WGCO_CONFIRM_TIMEOUT. */
#include "wg_control_internal.h"
#include "wg_term.h"

enum {
    /* Hosts without a leader dial every control within this time. Shorter than the time that a
       sender waits for an acknowledgement. */
    _WGCO_CONFIRM_TIMEOUT = 3 * WG_USEC_PER_SEC
};

/* An answer that is sent once the recovery is confirmed. */
typedef struct {
    wgn_link link;
    uint64_t ticket;
    wgn_frame* frame;
} _wgco_held_answer_t;

/* ---- helpers ------------------------------------------------------------------------------- */

static void _wgco_held_answer_free(void* data) {
    _wgco_held_answer_t* held = data;
    wgn_frame_unref(held->frame);
    g_free(held);
}

static void _wgco_confirm_clear(_wgco_confirm_t* confirm) {
    g_queue_clear_full(&confirm->held, _wgco_held_answer_free);
    g_hash_table_remove_all(confirm->confirmed);
    g_hash_table_remove_all(confirm->missing);
    confirm->any_roster = false;
    confirm->pending = false;
}

static char* _wgco_describe_missing(const _wgco_confirm_t* confirm) {
    GString* names = g_string_new(NULL);
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, confirm->missing);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        g_string_append_printf(names, "%s%s", names->len ? "," : "", (const char*)name);
    }
    return g_string_free(names, FALSE);
}

static void _wgco_confirm_release(wgco_control* c, wg_time now) {
    _wgco_confirm_t* confirm = &c->confirm;
    char* missing = _wgco_describe_missing(confirm);
    wg_log(WG_EVENT_RECOVERY_CONFIRMED,
           "recovery=%" G_GUINT64_FORMAT " after_ms=%" G_GINT64_FORMAT
           " confirmed=%u held=%u not_confirmed=%s",
           wg_term_recovery(wgr_query_stats(c->node, now).term),
           (now - confirm->begun_at) / WG_USEC_PER_MSEC, g_hash_table_size(confirm->confirmed),
           confirm->held.length, missing[0] ? missing : "-");
    g_free(missing);
    for (GList* at = confirm->held.head; at; at = at->next) {
        const _wgco_held_answer_t* held = at->data;
        wgn_send_frame(c->net, held->link, held->frame);
    }
    _wgco_confirm_clear(confirm);
}

static void _wgco_confirm_add_roster(_wgco_confirm_t* confirm, const Wgpb__EntryReport* in) {
    for (size_t i = 0; i < in->n_members; i++) {
        confirm->any_roster = true;
        if (!g_hash_table_contains(confirm->confirmed, in->members[i])) {
            g_hash_table_add(confirm->missing, g_strdup(in->members[i]));
        }
    }
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgco_confirm_setup(wgco_control* c) {
    g_queue_init(&c->confirm.held);
    c->confirm.confirmed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->confirm.missing = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void _wgco_confirm_shutdown(wgco_control* c) {
    if (c->confirm.confirmed) {
        _wgco_confirm_clear(&c->confirm);
    }
    g_clear_pointer(&c->confirm.confirmed, g_hash_table_unref);
    g_clear_pointer(&c->confirm.missing, g_hash_table_unref);
}

void _wgco_confirm_lead_begin(wgco_control* c, wg_time now) {
    _wgco_confirm_clear(&c->confirm);
    c->confirm.pending = wg_term_recovery(wgr_query_stats(c->node, now).term) > 0;
    c->confirm.begun_at = now;
}

/* The hosts send the orders whose answers were held to the next leader. */
void _wgco_confirm_lead_end(wgco_control* c) {
    for (GList* at = c->confirm.held.head; at; at = at->next) {
        const _wgco_held_answer_t* held = at->data;
        Wgpb__OrderAnswer answer = WGPB__ORDER_ANSWER__INIT;
        answer.ticket = held->ticket;
        answer.outcome = WG_ORDER_UNKNOWN;
        wgn_send(c->net, held->link, WGW_TYPE_ORDER_ANSWER, &answer.base);
    }
    _wgco_confirm_clear(&c->confirm);
}

void _wgco_confirm_receive_report(wgco_control* c, const _wgco_entry_t* e,
                                  const Wgpb__EntryReport* in) {
    _wgco_confirm_t* confirm = &c->confirm;
    wg_time now = wg_now();
    bool knows = in->recovery >= wg_term_recovery(wgr_query_stats(c->node, now).term);
    if (!confirm->pending || !knows) {
        return;
    }
    g_hash_table_add(confirm->confirmed, g_strdup(e->name));
    g_hash_table_remove(confirm->missing, e->name);
    _wgco_confirm_add_roster(confirm, in);
    if (confirm->any_roster && g_hash_table_size(confirm->missing) == 0) {
        _wgco_confirm_release(c, now);
    }
}

void _wgco_confirm_tick(wgco_control* c, wg_time now) {
    if (c->confirm.pending && now - c->confirm.begun_at > _WGCO_CONFIRM_TIMEOUT) {
        _wgco_confirm_release(c, now);
    }
}

void _wgco_confirm_send_answer(wgco_control* c, wgn_link link, const Wgpb__OrderAnswer* answer) {
    if (!c->confirm.pending || answer->outcome != WG_ORDER_DONE) {
        wgn_send(c->net, link, WGW_TYPE_ORDER_ANSWER, &answer->base);
        return;
    }
    _wgco_held_answer_t* held = g_new0(_wgco_held_answer_t, 1);
    held->link = link;
    held->ticket = answer->ticket;
    held->frame = wgn_frame_pack(WGW_TYPE_ORDER_ANSWER, &answer->base);
    g_queue_push_tail(&c->confirm.held, held);
}
