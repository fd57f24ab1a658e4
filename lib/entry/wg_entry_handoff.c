/* wg_entry_handoff.c -- handoff of requests between entry hosts: set-up, tick, links and frames

   lib/handoff decides when, and to which peer. wg_entry_handed.c has the requests of this host's
   callers that are at a peer, wg_entry_taken.c those of other hosts that this one took. */
#include "wg_entry_handoff_internal.h"

enum {
    /* Time for which all requests are kept until HANDOFF_ENDED is logged. Without it, a host at the
       limit of a shortage logs several lines a second. */
    WG_HANDOFF_END_DELAY = WG_USEC_PER_SEC,
};

/* ---- helpers: load --------------------------------------------------------------------------- */

wg_handoff_load wg_entry_handoff_load(const wg_entry* e, wg_time now) {
    int descriptors_max;
    int descriptors = wg_entry_descriptors(e, &descriptors_max);
    return (wg_handoff_load){.input_delay = wg_entry_input_delay(e, now),
                             .stalled = e->stall_ended_at == now,
                             .refuses = e->overload && wg_overload_is_limited(e->overload),
                             .descriptors = descriptors,
                             .descriptors_max = descriptors_max};
}

static void wg_entry_handoff_log_change(wg_entry* e, wg_time now, const wg_handoff_load* load) {
    wg_entry_handoff* h = e->handoff;
    wg_handoff_stats stats = wg_handoff_query_stats(h->decision);
    if (stats.local_share < 1) {
        h->last_short_at = now;
    }
    if (!h->begun && stats.local_share < 1) {
        int peers = 0;
        for (int i = 0; i < WG_HANDOFF_PEERS_MAX; i++) {
            peers += wg_handoff_peer_name(h->decision, i) != NULL;
        }
        wg_log(WG_EVENT_HANDOFF_BEGUN,
               "delay_ms=%" G_GINT64_FORMAT " descriptors=%d of=%d peers=%d callers=%u",
               load->input_delay / WG_USEC_PER_MSEC, load->descriptors, load->descriptors_max,
               peers, e->clients->len);
        h->begun = true;
        h->begun_at = now;
        h->begun_stats = stats;
    } else if (h->begun && now - h->last_short_at >= WG_HANDOFF_END_DELAY) {
        wg_log(WG_EVENT_HANDOFF_ENDED,
               "after_ms=%" G_GINT64_FORMAT " handed_off=%" G_GUINT64_FORMAT
               " kept=%" G_GUINT64_FORMAT " declined=%" G_GUINT64_FORMAT,
               (h->last_short_at - h->begun_at) / WG_USEC_PER_MSEC,
               stats.handed_off - h->begun_stats.handed_off, stats.kept - h->begun_stats.kept,
               stats.declined - h->begun_stats.declined);
        h->begun = false;
    }
}

/* ---- links ----------------------------------------------------------------------------------- */

bool wg_entry_handoff_on_up(wg_entry* e, wgn_link link, const wgn_peer* other) {
    wg_handed_peer* peer = wg_handed_peer_of(e, link);
    if (!peer) {
        return false;
    }
    peer->up = true;
    peer->stopping = false;
    /* The peer sets this timing at its end, too. */
    wg_entry_admit_on_peer_up(e, link, other);
    if (peer->slot >= 0) {
        wg_handoff_peer_up(e->handoff->decision, peer->slot);
    }
    wg_log(WG_EVENT_LINK_UP, "handoff_peer=%s", peer->name);
    return true;
}

void wg_entry_handoff_on_down(wg_entry* e, wgn_link link) {
    wg_handed_peer* peer = wg_handed_peer_of(e, link);
    wg_taken_owner* owner = wg_taken_owner_of(e, link);
    if (peer) {
        wg_handed_lose_peer(e, peer);
    }
    if (owner) {
        wg_taken_lose_owner(e, owner);
    }
}

bool wg_entry_handoff_on_frame(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    bool good = true;
    switch (frame->type) {
    case WGW_TYPE_HANDOFF_ANSWER:
        good = wg_handed_on_answer(e, link, frame);
        break;
    case WGW_TYPE_HANDOFF_REQUEST:
        good = wg_taken_on_request(e, link, frame);
        break;
    case WGW_TYPE_HANDOFF_NOTE:
        good = wg_taken_on_note(e, link, frame);
        break;
    default:
        return false;
    }
    if (!good) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=handoff-malformed");
        wgn_close(e->net, link);
    }
    return true;
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_handoff_setup(wg_entry* e) {
    if (e->settings->handoff_delay_ms == 0) {
        return;
    }
    wg_entry_handoff* h = g_new0(wg_entry_handoff, 1);
    h->decision = wg_handoff_setup(
        &(wg_handoff_desc){.name = e->settings->name,
                           .delay_max = e->settings->handoff_delay_ms * WG_USEC_PER_MSEC,
                           .seed = e->seed});
    h->peers = g_ptr_array_new();
    h->handed = g_hash_table_new(g_int64_hash, g_int64_equal);
    h->owners = g_hash_table_new_full(NULL, NULL, NULL, wg_taken_owner_free);
    h->flush_timer = evtimer_new(e->base, wg_taken_on_flush_timer, e);
    wg_loop_prioritize_event(h->flush_timer);
    e->handoff = h;
}

void wg_entry_handoff_shutdown(wg_entry* e) {
    wg_entry_handoff* h = e->handoff;
    if (!h) {
        return;
    }
    for (guint i = 0; i < h->peers->len; i++) {
        g_free(h->peers->pdata[i]);
    }
    g_ptr_array_unref(h->peers);
    g_hash_table_unref(h->handed);
    g_hash_table_unref(h->owners);
    event_free(h->flush_timer);
    wg_handoff_shutdown(h->decision);
    g_free(h);
    e->handoff = NULL;
}

void wg_entry_handoff_tick(wg_entry* e, wg_time now) {
    wg_entry_handoff* h = e->handoff;
    if (!h) {
        return;
    }
    wg_handoff_load load = wg_entry_handoff_load(e, now);
    wg_handoff_tick(h->decision, now, &load);
    h->active = wg_handoff_needs_links(h->decision, now);
    wg_handed_update_peers(e, now);
    wg_entry_handoff_log_change(e, now, &load);
    for (GList* at = h->handed_list.head; at;) {
        GList* next = at->next;
        wg_handed_tick(at->data, now);
        at = next;
    }
    wg_handed_update_links(e, now);
}

void wg_entry_handoff_stop(wg_entry* e) {
    GHashTableIter iter;
    gpointer value;
    if (!e->handoff) {
        return;
    }
    g_hash_table_iter_init(&iter, e->handoff->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_taken_owner_tell_stopping(e, value);
    }
}

bool wg_entry_handoff_is_drained(const wg_entry* e) {
    GHashTableIter iter;
    gpointer value;
    if (!e->handoff) {
        return true;
    }
    if (e->handoff->handed_list.length > 0 || e->taken_clients->len > 0) {
        return false;
    }
    g_hash_table_iter_init(&iter, e->handoff->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wg_taken_owner* owner = value;
        if (wgn_query_undelivered(e->net, owner->link) > 0) {
            return false;
        }
    }
    return true;
}

void wg_entry_handoff_print_metrics(const wg_entry* e, GString* out) {
    const wg_entry_handoff* h = e->handoff;
    wg_handoff_stats stats = {.local_share = 1};
    if (h) {
        stats = wg_handoff_query_stats(h->decision);
    }
    g_string_append_printf(out,
                           "walnutgate_entry_handed_off_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_handoffs_declined_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_handoffs_failed_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_handoffs_taken_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_handoff_local_share %.2f\n"
                           "walnutgate_entry_handoffs %u\n",
                           e->counters.handed_off, stats.declined, e->counters.handoffs_failed,
                           e->counters.handoffs_taken, stats.local_share,
                           h ? h->handed_list.length : 0);
}

bool wg_entry_handoff_begin(wg_client* client, char* bytes, wg_message_head* head,
                            struct evbuffer* body) {
    const wg_entry_handoff* h = client->entry->handoff;
    return h && h->active && wg_handed_begin(client, bytes, head, body);
}

void wg_entry_handoff_caller_left(wg_client* client, const char* reason) {
    wg_handed_notify(client->handed, WGPB__HANDOFF_WHAT__HANDOFF_WHAT_CALLER_LEFT);
    wg_handed_end(client->handed, reason);
}

void wg_entry_handoff_pause(const wg_client* client) {
    wg_handed* handed = client->handed;
    if (!handed->paused) {
        handed->paused = true;
        wg_handed_notify(handed, WGPB__HANDOFF_WHAT__HANDOFF_WHAT_PAUSE);
    }
}

void wg_entry_handoff_resume(const wg_client* client) {
    wg_handed* handed = client->handed;
    if (handed->paused) {
        handed->paused = false;
        wg_handed_notify(handed, WGPB__HANDOFF_WHAT__HANDOFF_WHAT_RESUME);
    }
}

void wg_entry_handoff_write(wg_client* client, struct evbuffer* bytes) {
    wg_taken_write(client->taken, bytes);
}

void wg_entry_handoff_answered(wg_client* client, bool keep) {
    wg_taken_answered(client->taken, keep);
}

void wg_entry_handoff_cut(wg_client* client) {
    wg_taken_cut(client->taken);
}

bool wg_entry_handoff_is_paused(const wg_client* client) {
    return client->taken && client->taken->paused;
}

struct evbuffer* wg_entry_handoff_output(const wg_client* client) {
    return client->taken->output;
}

const char* wg_entry_handoff_owner(const wg_client* client) {
    return client->taken ? client->taken->owner->name : "-";
}
