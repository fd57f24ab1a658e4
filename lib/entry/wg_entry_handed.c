/* wg_entry_handed.c -- requests of this host's callers that are handed off to a peer

   As owner, this host sends the request of a caller on a link that it dialled, and relays the bytes
   of the answer without parsing them. */
#include "wg_entry_handoff_internal.h"

#include <string.h>

enum {
    /* Bytes. Sending a larger body costs the owner more than the handoff saves, so the request is
       kept. */
    WG_HANDED_BODY_MAX = 256 * 1024,
    WG_HANDED_SENDS_MAX = 3, /* peers that may decline a request before it is kept */
    /* Time after the end of a request's time in which the peer's own answer may still arrive. Below
       the 0.5 s by which a request may exceed its time, with room for a tick. */
    WG_HANDED_MARGIN = 250 * WG_USEC_PER_MSEC,
    /* Minimum time between two attempts to open a link; up to twice that, by jitter, so that owners
       do not dial a restarted peer all at once. */
    WG_HANDED_DIAL_INTERVAL = 250 * WG_USEC_PER_MSEC,
    /* Bytes that wait on the link to a peer above which it gets no further request. Bounds the
       copies of request bodies if a peer stalls. */
    WG_HANDED_UNSENT_MAX = 1024 * 1024,
    /* Bytes of an answer unread by its caller above which the peer has heeded no pause: more than
       was under way when it was asked to. */
    WG_HANDED_UNREAD_MAX = 2 * 1024 * 1024,
};

/* ---- peers of this host ---------------------------------------------------------------------- */

wg_handed_peer* wg_handed_peer_of(const wg_entry* e, wgn_link link) {
    const wg_entry_handoff* h = e->handoff;
    for (guint i = 0; h && link.id && i < h->peers->len; i++) {
        wg_handed_peer* peer = h->peers->pdata[i];
        if (peer->link.id == link.id) {
            return peer;
        }
    }
    return NULL;
}

static wg_handed_peer* wg_handed_peer_named(const wg_entry_handoff* h, const char* name) {
    for (guint i = 0; i < h->peers->len; i++) {
        wg_handed_peer* peer = h->peers->pdata[i];
        if (strcmp(peer->name, name) == 0) {
            return peer;
        }
    }
    return NULL;
}

/* Assigns the slots of lib/handoff to peers. A host without a slot stays a peer until its requests
   have ended: one that leaves the roster for a planned stop finishes them. */
static void wg_handed_assign_slots(wg_entry* e, wg_time now) {
    wg_entry_handoff* h = e->handoff;
    for (guint i = 0; i < h->peers->len; i++) {
        wg_handed_peer* peer = h->peers->pdata[i];
        const char* name = peer->slot >= 0 ? wg_handoff_peer_name(h->decision, peer->slot) : NULL;
        if (peer->slot >= 0 && (!name || strcmp(name, peer->name) != 0)) {
            wg_handoff_peer_down(h->decision, now, peer->slot);
            peer->slot = -1;
        }
    }
    for (int i = 0; i < WG_HANDOFF_PEERS_MAX; i++) {
        const char* name = wg_handoff_peer_name(h->decision, i);
        wg_handed_peer* peer = name ? wg_handed_peer_named(h, name) : NULL;
        if (name && !peer) {
            peer = g_new0(wg_handed_peer, 1);
            peer->slot = i;
            wg_copy_name(peer->name, sizeof peer->name, name);
            g_ptr_array_add(h->peers, peer);
        } else if (peer && peer->slot != i) {
            peer->slot = i;
            if (peer->up && !peer->stopping) {
                wg_handoff_peer_up(h->decision, i);
            }
        }
        h->slots[i] = peer;
    }
}

void wg_handed_update_peers(wg_entry* e, wg_time now) {
    wg_entry_handoff* h = e->handoff;
    uint64_t change = wg_roster_change(e->roster);
    if (change == h->roster_change) {
        return;
    }
    h->roster_change = change;
    GPtrArray* names = g_ptr_array_new();
    for (int i = 0; i < wg_roster_num(e->roster); i++) {
        const wg_roster_host* host = wg_roster_at(e->roster, i);
        if (strcmp(host->data_centre, e->settings->data_centre) == 0) {
            g_ptr_array_add(names, (char*)host->name);
        }
    }
    wg_handoff_set_hosts(h->decision, (const char* const*)names->pdata, (int)names->len);
    g_ptr_array_unref(names);
    wg_handed_assign_slots(e, now);
}

static void wg_handed_dial(wg_entry* e, wg_handed_peer* peer, wg_time now) {
    const wg_roster_host* host = wg_roster_find(e->roster, peer->name);
    char address[WG_ADDRESS_MAX + 8];
    peer->dial_at = now + wg_jitter_range(e->seed, ++e->counter, WG_HANDED_DIAL_INTERVAL,
                                          2 * WG_HANDED_DIAL_INTERVAL);
    if (host && wg_entry_host_address(e, host->address, address, sizeof address)) {
        peer->link = wgn_dial(e->net, address);
    }
}

void wg_handed_update_links(wg_entry* e, wg_time now) {
    wg_entry_handoff* h = e->handoff;
    for (guint i = h->peers->len; i > 0; i--) {
        wg_handed_peer* peer = h->peers->pdata[i - 1];
        bool needed = peer->slot >= 0 && h->active;
        if (needed && !peer->link.id && now >= peer->dial_at) {
            wg_handed_dial(e, peer, now);
        } else if (!needed && peer->requests == 0) {
            wgn_close(e->net, peer->link);
            if (peer->slot < 0) {
                g_ptr_array_remove_index_fast(h->peers, i - 1);
                g_free(peer);
            }
        }
    }
}

/* ---- requests that are handed off ------------------------------------------------------------ */

void wg_handed_notify(const wg_handed* handed, Wgpb__HandoffWhat what) {
    Wgpb__HandoffNote note = WGPB__HANDOFF_NOTE__INIT;
    note.ticket = handed->ticket;
    note.what = what;
    wgn_send(handed->client->entry->net, handed->peer->link, WGW_TYPE_HANDOFF_NOTE, &note.base);
}

/* Releases what is needed to send the request again or to keep it. */
static void wg_handed_free_request(wg_handed* handed) {
    g_clear_pointer(&handed->head_bytes, g_free);
    g_clear_pointer(&handed->head, g_free);
    g_clear_pointer(&handed->body, evbuffer_free);
    wg_buffers_set_kept(handed->client->entry->buffers, &handed->client->held, 0);
}

/* The request is no longer at its peer. */
static void wg_handed_detach(wg_handed* handed) {
    wg_entry_handoff* h = handed->client->entry->handoff;
    g_hash_table_remove(h->handed, &handed->ticket);
    g_queue_unlink(&h->handed_list, &handed->link);
    handed->peer->requests--;
}

static void wg_handed_free(wg_handed* handed) {
    wg_handed_free_request(handed);
    handed->client->handed = NULL;
    g_free(handed);
}

static void wg_handed_log_end(const wg_handed* handed, const char* end, wg_time now) {
    if (!wg_entry_may_log(handed->client->entry, now)) {
        return;
    }
    wg_log(WG_EVENT_REQUEST_HANDED_OFF,
           "id=%s peer=%s ticket=%" G_GUINT64_FORMAT " end=%s first_ms=%" G_GINT64_FORMAT
           " total_ms=%" G_GINT64_FORMAT " bytes=%" G_GUINT64_FORMAT,
           handed->client->last_id, handed->peer->name, handed->ticket, end,
           handed->first_at ? (handed->first_at - handed->arrived_at) / WG_USEC_PER_MSEC : -1,
           (now - handed->arrived_at) / WG_USEC_PER_MSEC, handed->bytes);
}

void wg_handed_end(wg_handed* handed, const char* end) {
    wg_entry* e = handed->client->entry;
    e->counters.handed_off++;
    wg_handed_log_end(handed, end, wg_now());
    if (handed->peer->up && handed->peer->slot >= 0) {
        wg_handoff_end(e->handoff->decision, handed->peer->slot);
    }
    wg_handed_detach(handed);
    wg_handed_free(handed);
}

/* No complete answer arrives. The request may have run, so it is neither sent again nor kept. */
static void wg_handed_fail(wg_handed* handed, int status, const char* reason) {
    wg_client* client = handed->client;
    wg_entry* e = client->entry;
    bool begun = handed->bytes > 0;
    bool head_only = handed->head_only;
    bool keep = client->keep && !e->stopping;
    e->counters.handoffs_failed++;
    wg_handed_end(handed, reason);
    if (begun) {
        /* A truncated answer must not look complete. */
        e->counters.aborted++;
        wg_socket_reset_on_close(client->bev, true);
        wg_client_close(client);
        return;
    }
    e->counters.failed++;
    wg_client_write_error(client, &(wg_error_answer){.status = status,
                                                     .code = reason,
                                                     .verdict = WG_VERDICT_MAY_HAVE_RUN,
                                                     .id = client->last_id,
                                                     .keep = keep,
                                                     .head_only = head_only});
    wg_client_call_ended(client, keep);
}

static bool wg_handed_send_to(wg_handed* handed, wg_handed_peer* peer, wg_time now) {
    wg_entry* e = handed->client->entry;
    Wgpb__HandoffRequest out = WGPB__HANDOFF_REQUEST__INIT;
    size_t size = evbuffer_get_length(handed->body);
    out.ticket = ++e->counter;
    out.head = (ProtobufCBinaryData){handed->head_size, (uint8_t*)handed->head_bytes};
    out.body = (ProtobufCBinaryData){size, evbuffer_pullup(handed->body, -1)};
    out.waited_us = (uint64_t)MAX(now - handed->arrived_at, 0);
    out.version = e->config->version;
    if (wgn_query_unsent(e->net, peer->link) > WG_HANDED_UNSENT_MAX ||
        !wgn_send(e->net, peer->link, WGW_TYPE_HANDOFF_REQUEST, &out.base)) {
        return false;
    }
    handed->ticket = out.ticket;
    handed->peer = peer;
    handed->sent_at = now;
    handed->late = false;
    handed->sends++;
    peer->requests++;
    wg_handoff_begin(e->handoff->decision, peer->slot);
    g_hash_table_insert(e->handoff->handed, &handed->ticket, handed);
    handed->link = (GList){.data = handed};
    g_queue_push_tail_link(&e->handoff->handed_list, &handed->link);
    return true;
}

/* Sends the request to a peer that was not tried yet. False if there is none. */
static bool wg_handed_send(wg_handed* handed, wg_time now) {
    wg_entry_handoff* h = handed->client->entry->handoff;
    int slot;
    while ((slot = wg_handoff_pick(h->decision, now, handed->tried)) >= 0) {
        handed->tried |= 1U << slot;
        if (h->slots[slot] && wg_handed_send_to(handed, h->slots[slot], now)) {
            return true;
        }
    }
    return false;
}

/* Serves the request at this host. Frees `handed`. */
static void wg_handed_keep(wg_handed* handed) {
    wg_client* client = handed->client;
    char* bytes = g_steal_pointer(&handed->head_bytes);
    wg_message_head* head = g_steal_pointer(&handed->head);
    struct evbuffer* body = g_steal_pointer(&handed->body);
    client->arrived_at = handed->arrived_at;
    client->handed = NULL;
    g_free(handed);
    wg_entry_lease_begin_call(client, bytes, head, body);
}

static void wg_handed_declined(wg_handed* handed, wg_time now) {
    wg_entry_handoff* h = handed->client->entry->handoff;
    if (handed->peer->up && handed->peer->slot >= 0) {
        wg_handoff_declined(h->decision, now, handed->peer->slot);
    }
    wg_handed_detach(handed);
    if (handed->sends >= WG_HANDED_SENDS_MAX || !wg_handed_send(handed, now)) {
        wg_handed_keep(handed);
    }
}

/* Tells lib/handoff of the acknowledgement, or that there was none in time. */
static void wg_handed_record_wait(wg_handed* handed, wg_time now) {
    if (!handed->late && handed->peer->up && handed->peer->slot >= 0) {
        wg_handoff_first_byte(handed->client->entry->handoff->decision, now, handed->peer->slot,
                              now - handed->sent_at);
    }
    handed->late = handed->late || now - handed->sent_at >= WG_HANDOFF_LATE;
}

static void wg_handed_acknowledged(wg_handed* handed) {
    wg_handed_record_wait(handed, wg_now());
    handed->acknowledged = true;
    wg_handed_free_request(handed);
}

/* False if the answer was cut. */
static bool wg_handed_relay(wg_handed* handed, const wgw_handoff_answer* answer) {
    if (!handed->first_at) {
        handed->first_at = wg_now();
    }
    handed->bytes += answer->size;
    if (answer->by_connection && !handed->client->by_connection) {
        wg_client_delimit_by_connection(handed->client);
    }
    wg_socket_write_bytes(handed->client->bev, answer->bytes, answer->size);
    if (handed->client->held.unread > WG_HANDED_UNREAD_MAX) {
        wg_handed_notify(handed, WGPB__HANDOFF_WHAT__HANDOFF_WHAT_CALLER_LEFT);
        wg_handed_fail(handed, 502, "peer_heeds_no_pause");
        return false;
    }
    wg_entry_buffers_control(handed->client);
    return true;
}

static void wg_handed_answered(wg_handed* handed, Wgpb__HandoffEnd end) {
    wg_client* client = handed->client;
    bool keep = end == WGPB__HANDOFF_END__HANDOFF_END_COMPLETE && client->keep;
    if (end == WGPB__HANDOFF_END__HANDOFF_END_CUT || handed->bytes == 0) {
        wg_handed_fail(handed, 502, "peer_cut");
        return;
    }
    wg_handed_end(handed, keep ? "whole" : "whole-close");
    wg_client_call_ended(client, keep);
}

static void wg_handed_apply(wg_handed* handed, const wgw_handoff_answer* answer) {
    bool declined = answer->end == WGPB__HANDOFF_END__HANDOFF_END_DECLINED;
    if (declined && !handed->acknowledged) {
        wg_handed_declined(handed, wg_now());
        return;
    }
    if (declined) {
        wg_handed_fail(handed, 502, "peer_cut"); /* it was taken, so it may have run */
        return;
    }
    if (!handed->acknowledged) {
        wg_handed_acknowledged(handed);
    }
    if (answer->size > 0 && !wg_handed_relay(handed, answer)) {
        return;
    }
    if (answer->end != WGPB__HANDOFF_END__HANDOFF_END_MORE) {
        wg_handed_answered(handed, answer->end);
    }
}

/* The peer has begun a planned stop and takes nothing more on this link. */
static void wg_handed_peer_stopping(wg_entry* e, wg_handed_peer* peer) {
    peer->stopping = true;
    if (peer->slot >= 0) {
        wg_handoff_peer_down(e->handoff->decision, wg_now(), peer->slot);
    }
}

bool wg_handed_on_answer(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    wgw_handoff_answer answer;
    wg_handed_peer* peer = wg_handed_peer_of(e, link);
    if (!peer || !wgw_handoff_answer_parse(frame->payload, frame->size, &answer)) {
        return false;
    }
    if (answer.ticket == 0) {
        wg_handed_peer_stopping(e, peer);
        return answer.end == WGPB__HANDOFF_END__HANDOFF_END_DECLINED;
    }
    wg_handed* handed = g_hash_table_lookup(e->handoff->handed, &answer.ticket);
    if (handed && handed->peer == peer) {
        wg_handed_apply(handed, &answer);
    }
    return true; /* also if the request has ended here: the answer was in flight */
}

/* The link to a peer closed: its requests may have run. */
void wg_handed_lose_peer(wg_entry* e, wg_handed_peer* peer) {
    wg_entry_handoff* h = e->handoff;
    if (peer->up) {
        wg_log(WG_EVENT_LINK_DOWN, "handoff_peer=%s requests=%d", peer->name, peer->requests);
    }
    peer->link = (wgn_link){0};
    peer->up = false;
    if (peer->slot >= 0) {
        wg_handoff_peer_down(h->decision, wg_now(), peer->slot);
    }
    for (GList* at = h->handed_list.head; at;) {
        GList* next = at->next;
        wg_handed* handed = at->data;
        if (handed->peer == peer) {
            wg_handed_fail(handed, 502, "peer_lost");
        }
        at = next;
    }
}

void wg_handed_tick(wg_handed* handed, wg_time now) {
    if (!handed->acknowledged && now - handed->sent_at >= WG_HANDOFF_LATE) {
        wg_handed_record_wait(handed, now);
    }
    if (now >= handed->expires_at + WG_HANDED_MARGIN) {
        wg_handed_notify(handed, WGPB__HANDOFF_WHAT__HANDOFF_WHAT_CALLER_LEFT);
        wg_handed_fail(handed, 504, "timeout");
    }
}

/* Whether the request may be handed off at all: not without a leader, since peers may then have
   configurations that this host does not get. Writes the end of its time to `expires_at`. */
static bool wg_handed_is_eligible(const wg_client* client, const wg_message_head* head,
                                  const struct evbuffer* body, wg_time now, wg_time arrived_at,
                                  wg_time* expires_at) {
    const wg_entry* e = client->entry;
    if (!e->config || !e->registry_known || !e->leader_known ||
        evbuffer_get_length(body) > WG_HANDED_BODY_MAX ||
        (e->stopping && wg_entry_refuses_new(e, wg_call_answer_time(e, head)))) {
        return false;
    }
    const wg_route* route =
        wg_config_route(e->config, wg_message_field(head, "Host"), head->target);
    if (!route) {
        return false;
    }
    *expires_at = MIN(arrived_at + route->timeout, wg_call_deadline(e, head, arrived_at));
    return now < *expires_at;
}

bool wg_handed_begin(wg_client* client, char* bytes, wg_message_head* head, struct evbuffer* body) {
    wg_entry* e = client->entry;
    wg_time now = wg_now();
    wg_time arrived_at = now - wg_entry_input_delay(e, now);
    wg_time expires_at = 0;
    if (!wg_handed_is_eligible(client, head, body, now, arrived_at, &expires_at) ||
        !wg_handoff_wants(e->handoff->decision)) {
        return false;
    }
    wg_handed* handed = g_new0(wg_handed, 1);
    handed->client = client;
    handed->head_bytes = bytes;
    handed->head_size = client->head_size;
    handed->head = head;
    handed->body = body;
    handed->head_only = wg_text_equals_nocase(head->method, "HEAD");
    handed->arrived_at = arrived_at;
    handed->expires_at = expires_at;
    if (!wg_handed_send(handed, now)) {
        g_free(handed);
        return false;
    }
    client->handed = handed;
    wg_text id = wg_message_field(head, e->names->request_id);
    g_snprintf(client->last_id, sizeof client->last_id, "%.*s", (int)id.size,
               id.text ? id.text : "");
    return true;
}
