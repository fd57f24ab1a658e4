/* wg_entry_handoff.c -- requests that are handed off to another entry host, and requests of other
   hosts that this one took

   lib/handoff decides when, and to which peer. As owner, this host sends the request of a caller on
   a link that it dialled, and relays the bytes of the answer without parsing them. As peer, it
   serves the request as a wg_client without a connection, whose output it sends back in frames. */
#include "wg_entry_internal.h"

#include <string.h>

enum {
    WG_HANDED_BODY_MAX = 256 * 1024, /* larger requests are kept */
    WG_HANDED_SENDS_MAX = 3,         /* peers that may decline a request before it is kept */
    /* Time after the end of a request's time in which the peer's own answer may still arrive. Below
       the 0.5 s by which a request may exceed its time, with room for a tick. */
    WG_HANDED_MARGIN = 250 * WG_USEC_PER_MSEC,
    /* Time for which all requests are kept until HANDOFF_ENDED is logged. Without it, a host at the
       limit of a shortage logs several lines a second. */
    WG_HANDOFF_END_DELAY = WG_USEC_PER_SEC,
    WG_HANDED_DIAL_INTERVAL = 250 * WG_USEC_PER_MSEC,
    /* Bytes that wait on the link to a peer above which it gets no further request. Bounds the
       copies of request bodies if a peer stands still. */
    WG_HANDED_UNSENT_MAX = 1024 * 1024,
    /* Bytes that wait on the link to an owner above which answers wait at this host, where they
       count as held and pause their targets. */
    WG_TAKEN_UNSENT_MAX = 256 * 1024,
    WG_TAKEN_FRAME_MAX = 64 * 1024, /* bytes of an answer in one frame */
    /* Time between two frames of an answer, unless they are full. Each frame costs the owner, which
       is short of processor time, a write to its caller. */
    WG_TAKEN_FRAME_INTERVAL = 10 * WG_USEC_PER_MSEC,
    WG_TAKEN_WAITED_MAX = 600 * WG_USEC_PER_SEC /* largest wait that a message may state */
};

/* A host that this one hands requests off to, and the link that this host dialled for that. */
typedef struct {
    char name[WG_NAME_MAX];
    int slot; /* in lib/handoff; -1: no longer a peer, it finishes the requests that it has */
    wgn_link link;
    bool up;
    bool stopping; /* it takes nothing more on this link */
    wg_time dial_at;
    int requests; /* in progress there */
} wg_handed_peer;

/* A request of a caller of this host that is at a peer. */
struct wg_handed {
    wg_client* client;
    wg_handed_peer* peer;
    uint64_t ticket;
    uint32_t tried; /* slots of the peers that it was offered to */
    int sends;
    char* head_bytes; /* this and the next three until a peer takes the request */
    size_t head_size;
    wg_message_head* head;
    struct evbuffer* body;
    bool head_only; /* method is HEAD */
    bool acknowledged;
    bool late;   /* the peer did not acknowledge it in time */
    bool paused; /* the peer was asked to pause the answer */
    wg_time arrived_at;
    wg_time expires_at; /* end of the route's timeout, or the caller's deadline */
    wg_time sent_at;
    wg_time first_at; /* first byte of the answer; 0: none yet */
    uint64_t bytes;   /* of the answer */
    GList link;
};

/* A host that hands requests off to this one, by the link that it dialled. */
typedef struct {
    wgn_link link;
    char name[WG_NAME_MAX];
    GHashTable* taken; /* ticket -> wg_taken */
    bool told_stopping;
} wg_taken_owner;

/* A request of another host that this one serves. */
struct wg_taken {
    wg_client client; /* without a connection */
    wg_taken_owner* owner;
    uint64_t ticket;
    struct evbuffer* output; /* waits for room on the link, or for the time of the next frame */
    wg_time sent_at;         /* last frame with a part of the answer; 0: none yet */
    bool paused;             /* the owner asked to pause the answer */
    bool gone;               /* the owner no longer waits for the answer */
    bool answered;           /* the answer is complete, a part of it is in `output` */
    Wgpb__HandoffEnd end;    /* if `answered` */
    bool waiting;            /* linked in `waiting` of the entry host */
    GList link;
};

struct wg_entry_handoff {
    wg_handoff* decision;
    bool active; /* as of the last tick: requests may be handed off, links are needed */
    uint64_t roster_change;
    GPtrArray* peers; /* wg_handed_peer */
    wg_handed_peer* slots[WG_HANDOFF_PEERS_MAX];
    GHashTable* handed;  /* ticket -> wg_handed */
    GQueue handed_list;  /* the same, in the order in which they were handed off */
    GHashTable* owners;  /* id of a link -> wg_taken_owner */
    GQueue waiting;      /* wg_taken whose output waits */
    struct event* retry; /* looks at `waiting` */
    bool begun;          /* HANDOFF_BEGUN was logged; the next three are valid */
    wg_time begun_at;
    wg_time short_at;      /* last tick at which not all requests were kept */
    wg_handoff_stats then; /* when it was logged */
};

/* ---- helpers: load --------------------------------------------------------------------------- */

static wg_handoff_load wg_entry_handoff_load(const wg_entry* e, wg_time now) {
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
        h->short_at = now;
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
        h->then = stats;
    } else if (h->begun && now - h->short_at >= WG_HANDOFF_END_DELAY) {
        wg_log(WG_EVENT_HANDOFF_ENDED,
               "after_ms=%" G_GINT64_FORMAT " handed_off=%" G_GUINT64_FORMAT
               " kept=%" G_GUINT64_FORMAT " declined=%" G_GUINT64_FORMAT,
               (h->short_at - h->begun_at) / WG_USEC_PER_MSEC,
               stats.handed_off - h->then.handed_off, stats.kept - h->then.kept,
               stats.declined - h->then.declined);
        h->begun = false;
    }
}

/* ---- helpers: peers of this host ------------------------------------------------------------- */

static wg_handed_peer* wg_handed_peer_of(const wg_entry* e, wgn_link link) {
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

/* Selects the peers anew after a change of the roster. */
static void wg_handed_update_hosts(wg_entry* e, wg_time now) {
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

/* Opens the links that are needed. Closes others once they have no requests. */
static void wg_handed_update_links(wg_entry* e, wg_time now) {
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

/* ---- helpers: requests that are handed off --------------------------------------------------- */

static void wg_handed_notify(const wg_handed* handed, Wgpb__HandoffWhat what) {
    Wgpb__HandoffNote note = WGPB__HANDOFF_NOTE__INIT;
    note.ticket = handed->ticket;
    note.what = what;
    wgn_send(handed->client->entry->net, handed->peer->link, WGW_TYPE_HANDOFF_NOTE, &note.base);
}

/* Releases what is needed to send the request again or to keep it. */
static void wg_handed_forget_request(wg_handed* handed) {
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
    wg_handed_forget_request(handed);
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

/* Ends the handoff; the caller's connection is up to the caller of this function. */
static void wg_handed_end(wg_handed* handed, const char* end) {
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
        wg_entry_buffers_reset_on_close(client->bev);
        wg_client_close(client);
        return;
    }
    e->counters.failed++;
    wg_call_write_error(client, &(wg_call_error){.status = status,
                                                 .reason = reason,
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

/* Sends the request to a peer that was not tried yet. False: there is none. */
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

/* This host serves the request itself. */
static void wg_handed_keep(wg_handed* handed) {
    wg_client* client = handed->client;
    char* bytes = g_steal_pointer(&handed->head_bytes);
    wg_message_head* head = g_steal_pointer(&handed->head);
    struct evbuffer* body = g_steal_pointer(&handed->body);
    client->arrived_at = handed->arrived_at;
    client->handed = NULL;
    g_free(handed);
    wg_call_begin(client, bytes, head, body);
    g_free(head);
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
    wg_handed_forget_request(handed);
}

static void wg_handed_relay(wg_handed* handed, const wgw_handoff_answer* answer) {
    if (!handed->first_at) {
        handed->first_at = wg_now();
    }
    handed->bytes += answer->size;
    wg_socket_write_bytes(handed->client->bev, answer->bytes, answer->size);
    wg_entry_buffers_control(handed->client);
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
    if (answer->size > 0) {
        wg_handed_relay(handed, answer);
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

/* False if the frame is malformed. */
static bool wg_handed_on_answer(wg_entry* e, wgn_link link, const wgw_frame* frame) {
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
    return true; /* also if the request has ended here: the answer was under way */
}

static void wg_handed_tick(wg_handed* handed, wg_time now) {
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

/* ---- helpers: requests of other hosts -------------------------------------------------------- */

static bool wg_taken_send_answer(const wg_entry* e, wgn_link link, uint64_t ticket,
                                 ProtobufCBinaryData bytes, Wgpb__HandoffEnd end) {
    Wgpb__HandoffAnswer answer = WGPB__HANDOFF_ANSWER__INIT;
    answer.ticket = ticket;
    answer.bytes = bytes;
    answer.end = end;
    return wgn_send(e->net, link, WGW_TYPE_HANDOFF_ANSWER, &answer.base);
}

static void wg_taken_send_end(const wg_taken* taken, Wgpb__HandoffEnd end) {
    wg_taken_send_answer(taken->client.entry, taken->owner->link, taken->ticket,
                         (ProtobufCBinaryData){0}, end);
}

static void wg_taken_leave_waiting(wg_taken* taken) {
    if (taken->waiting) {
        g_queue_unlink(&taken->client.entry->handoff->waiting, &taken->link);
        taken->waiting = false;
    }
}

static void wg_taken_free(wg_taken* taken) {
    wg_client* client = &taken->client;
    GPtrArray* clients = client->entry->taken_clients;
    wg_client* last = clients->pdata[clients->len - 1];
    last->index = client->index;
    g_ptr_array_remove_index_fast(clients, client->index);
    g_hash_table_remove(taken->owner->taken, &taken->ticket);
    wg_taken_leave_waiting(taken);
    wg_entry_buffers_remove_client(client);
    evbuffer_free(taken->output);
    g_free(taken);
}

/* Sends as much as the link has room for. */
static void wg_taken_send(wg_taken* taken, struct evbuffer* bytes) {
    const wg_entry* e = taken->client.entry;
    wgn_link link = taken->owner->link;
    size_t size;
    while ((size = MIN(evbuffer_get_length(bytes), (size_t)WG_TAKEN_FRAME_MAX)) > 0 &&
           wgn_query_unsent(e->net, link) <= WG_TAKEN_UNSENT_MAX) {
        ProtobufCBinaryData part = {size, evbuffer_pullup(bytes, (ev_ssize_t)size)};
        if (!wg_taken_send_answer(e, link, taken->ticket, part,
                                  WGPB__HANDOFF_END__HANDOFF_END_MORE)) {
            return; /* the link closes */
        }
        evbuffer_drain(bytes, size);
        taken->sent_at = wg_now();
    }
}

static void wg_taken_schedule_retry(wg_entry_handoff* h) {
    struct timeval interval = {.tv_usec = WG_TAKEN_FRAME_INTERVAL};
    if (h->waiting.length > 0 && !event_pending(h->retry, EV_TIMEOUT, NULL)) {
        event_add(h->retry, &interval);
    }
}

static void wg_taken_wait(wg_taken* taken) {
    wg_entry_handoff* h = taken->client.entry->handoff;
    if (!taken->waiting) {
        taken->waiting = true;
        taken->link = (GList){.data = taken};
        g_queue_push_tail_link(&h->waiting, &taken->link);
        wg_taken_schedule_retry(h);
    }
}

static void wg_taken_resume(const wg_taken* taken) {
    const wg_call* call = taken->client.call;
    if (!taken->paused && evbuffer_get_length(taken->output) == 0 && call && call->upstream) {
        wg_upstream_resume(call->upstream);
    }
}

/* Sends what waits. May free `taken`. An answer that sent a part goes behind the others that wait,
   so that a long one does not take all room of the link. */
static void wg_taken_flush(wg_taken* taken) {
    size_t before = evbuffer_get_length(taken->output);
    wg_taken_send(taken, taken->output);
    size_t left = evbuffer_get_length(taken->output);
    if (left > 0) {
        if (left < before) {
            wg_taken_leave_waiting(taken);
        }
        wg_taken_wait(taken);
        return;
    }
    wg_taken_leave_waiting(taken);
    if (taken->answered) {
        wg_taken_send_end(taken, taken->end);
        wg_taken_free(taken);
    } else {
        wg_taken_resume(taken);
    }
}

static void wg_taken_on_retry(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    const wg_entry* e = user_data;
    wg_entry_handoff* h = e->handoff;
    GList* at = h->waiting.head;
    for (guint left = h->waiting.length; left > 0; left--) {
        GList* next = at->next;
        wg_taken_flush(at->data);
        at = next;
    }
    wg_taken_schedule_retry(h);
}

static wg_taken_owner* wg_taken_owner_of(const wg_entry* e, wgn_link link) {
    return e->handoff ? g_hash_table_lookup(e->handoff->owners, GUINT_TO_POINTER(link.id)) : NULL;
}

static wg_taken_owner* wg_taken_owner_add(wg_entry* e, wgn_link link, const wgn_peer* peer) {
    wg_taken_owner* owner = g_new0(wg_taken_owner, 1);
    owner->link = link;
    wg_copy_name(owner->name, sizeof owner->name, peer->name);
    owner->taken = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_hash_table_insert(e->handoff->owners, GUINT_TO_POINTER(link.id), owner);
    return owner;
}

/* Tells the owner to hand nothing more off on this link, whether it knows from the roster or not.
   A request that is under way when this process exits would count as one that may have run. */
static void wg_taken_owner_tell_stopping(const wg_entry* e, wg_taken_owner* owner) {
    if (!owner->told_stopping) {
        owner->told_stopping = true;
        wg_taken_send_answer(e, owner->link, 0, (ProtobufCBinaryData){0},
                             WGPB__HANDOFF_END__HANDOFF_END_DECLINED);
    }
}

/* Whether this host takes the request. Nothing has run if it does not. It does not with a newer
   configuration either: the owner would handle later requests by its older one. */
static bool wg_taken_is_accepted(const wg_entry* e, const Wgpb__HandoffRequest* in) {
    const wg_entry_handoff* h = e->handoff;
    if (!h || e->stopping || !e->leader_known || e->on_standby || !e->registry_known ||
        !e->config || e->config->version != in->version) {
        return false;
    }
    const wg_config_limits* limits = &e->config->limits;
    int64_t body_max = MIN(limits->body_bytes, wg_entry_buffers_body_max(e));
    if ((int64_t)in->head.len > limits->head_bytes || (int64_t)in->body.len > body_max ||
        wg_buffers_level_of(e->buffers) != WG_BUFFERS_NORMAL) {
        return false;
    }
    wg_handoff_load load = wg_entry_handoff_load(e, wg_now());
    return wg_handoff_accepts(h->decision, &load, (int)e->taken_clients->len);
}

/* Parses a head that the owner has parsed before. False if it is malformed, or does not fit the
   body. */
static bool wg_taken_parse_head(const char* bytes, const Wgpb__HandoffRequest* in,
                                wg_message_head* head) {
    return wg_message_head_size(bytes, in->head.len) == in->head.len &&
           wg_message_parse_request(bytes, in->head.len, head) == 0 &&
           (head->framing != WG_FRAMING_NONE || in->body.len == 0) &&
           (head->framing != WG_FRAMING_LENGTH || head->length == (int64_t)in->body.len);
}

static wg_taken* wg_taken_add(wg_entry* e, wg_taken_owner* owner, uint64_t ticket) {
    wg_taken* taken = g_new0(wg_taken, 1);
    taken->owner = owner;
    taken->ticket = ticket;
    taken->output = evbuffer_new();
    taken->client = (wg_client){.entry = e,
                                .taken = taken,
                                .state = WG_CLIENT_BUSY,
                                .state_since = wg_now(),
                                .index = e->taken_clients->len};
    g_ptr_array_add(e->taken_clients, &taken->client);
    g_hash_table_insert(owner->taken, &taken->ticket, taken);
    wg_entry_buffers_add_client(&taken->client);
    return taken;
}

/* Takes a request: acknowledges it and starts its call. False if it is malformed. */
static bool wg_taken_begin(wg_entry* e, wg_taken_owner* owner, const Wgpb__HandoffRequest* in) {
    wg_message_head head;
    char* bytes = g_memdup2(in->head.data, in->head.len);
    if (!wg_taken_parse_head(bytes, in, &head) ||
        g_hash_table_contains(owner->taken, &in->ticket)) {
        g_free(bytes);
        return false;
    }
    wg_client* client = &wg_taken_add(e, owner, in->ticket)->client;
    struct evbuffer* body = evbuffer_new();
    evbuffer_add(body, in->body.data, in->body.len);
    wg_buffers_set_kept(e->buffers, &client->held, (int64_t)in->body.len);
    client->keep = head.keep_alive;
    client->arrived_at = wg_now() - (wg_time)MIN(in->waited_us, (uint64_t)WG_TAKEN_WAITED_MAX);
    e->counters.handoffs_taken++;
    wg_taken_send_end(client->taken, WGPB__HANDOFF_END__HANDOFF_END_MORE);
    wg_call_begin(client, bytes, &head, body); /* may free the client */
    return true;
}

static void wg_taken_decline(wg_entry* e, wgn_link link, uint64_t ticket) {
    wg_taken_owner* owner = wg_taken_owner_of(e, link);
    wg_taken_send_answer(e, link, ticket, (ProtobufCBinaryData){0},
                         WGPB__HANDOFF_END__HANDOFF_END_DECLINED);
    if (e->stopping && owner) {
        wg_taken_owner_tell_stopping(e, owner);
    }
}

static bool wg_taken_on_request(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    const wgn_peer* peer = wgn_query_peer(e->net, link);
    Wgpb__HandoffRequest* in = wgpb__handoff_request__unpack(NULL, frame->size, frame->payload);
    bool good = in && peer && peer->role == WGW_ROLE_ENTRY && in->ticket != 0 && in->head.len > 0;
    wg_taken_owner* owner = good ? wg_taken_owner_of(e, link) : NULL;
    if (good && !owner && e->handoff) {
        owner = wg_taken_owner_add(e, link, peer);
    }
    if (good && wg_taken_is_accepted(e, in)) {
        good = wg_taken_begin(e, owner, in);
    } else if (good) {
        wg_taken_decline(e, link, in->ticket);
    }
    wgpb__handoff_request__free_unpacked(in, NULL);
    return good;
}

/* The owner no longer waits for the answer: the work for it stops. */
static void wg_taken_abandon(wg_taken* taken) {
    taken->gone = true;
    wg_client_close(&taken->client);
}

static void wg_taken_apply_note(wg_taken* taken, Wgpb__HandoffWhat what) {
    const wg_call* call = taken->client.call;
    switch (what) {
    case WGPB__HANDOFF_WHAT__HANDOFF_WHAT_CALLER_LEFT:
        wg_taken_abandon(taken);
        break;
    case WGPB__HANDOFF_WHAT__HANDOFF_WHAT_PAUSE:
        taken->paused = true;
        if (call && call->upstream) {
            wg_upstream_pause(call->upstream);
        }
        break;
    case WGPB__HANDOFF_WHAT__HANDOFF_WHAT_RESUME:
        taken->paused = false;
        wg_taken_resume(taken);
        break;
    default:
        break; /* of a later release */
    }
}

static bool wg_taken_on_note(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    Wgpb__HandoffNote* in = wgpb__handoff_note__unpack(NULL, frame->size, frame->payload);
    const wg_taken_owner* owner = wg_taken_owner_of(e, link);
    wg_taken* taken = in && owner ? g_hash_table_lookup(owner->taken, &in->ticket) : NULL;
    bool good = in != NULL;
    if (taken) {
        wg_taken_apply_note(taken, in->what);
    }
    wgpb__handoff_note__free_unpacked(in, NULL);
    return good;
}

/* ---- links ----------------------------------------------------------------------------------- */

bool wg_entry_handoff_on_up(wg_entry* e, wgn_link link, const wgn_peer* other) {
    wg_handed_peer* peer = wg_handed_peer_of(e, link);
    if (!peer) {
        return false;
    }
    peer->up = true;
    peer->stopping = false;
    wg_entry_admit_on_peer_up(e, link, other); /* the same timing at both ends */
    if (peer->slot >= 0) {
        wg_handoff_peer_up(e->handoff->decision, peer->slot);
    }
    wg_log(WG_EVENT_LINK_UP, "handoff_peer=%s", peer->name);
    return true;
}

/* The link to a peer closed: its requests may have run. */
static void wg_entry_handoff_lose_peer(wg_entry* e, wg_handed_peer* peer) {
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

/* The link of an owner closed: all of its callers count as gone. */
static void wg_entry_handoff_lose_owner(wg_entry* e, wg_taken_owner* owner) {
    GList* list = g_hash_table_get_values(owner->taken);
    for (GList* at = list; at; at = at->next) {
        wg_taken_abandon(at->data);
    }
    g_list_free(list);
    g_hash_table_remove(e->handoff->owners, GUINT_TO_POINTER(owner->link.id));
}

void wg_entry_handoff_on_down(wg_entry* e, wgn_link link) {
    wg_handed_peer* peer = wg_handed_peer_of(e, link);
    wg_taken_owner* owner = wg_taken_owner_of(e, link);
    if (peer) {
        wg_entry_handoff_lose_peer(e, peer);
    }
    if (owner) {
        wg_entry_handoff_lose_owner(e, owner);
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

static void wg_taken_owner_free(void* data) {
    wg_taken_owner* owner = data;
    g_hash_table_unref(owner->taken);
    g_free(owner);
}

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
    h->retry = evtimer_new(e->base, wg_taken_on_retry, e);
    wg_loop_prioritize_event(h->retry);
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
    event_free(h->retry);
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
    wg_handed_update_hosts(e, now);
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
        if (wgn_query_unsent(e->net, owner->link) > 0) {
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
    wg_entry* e = client->entry;
    wg_entry_handoff* h = e->handoff;
    if (!h || !h->active) {
        return false;
    }
    wg_time now = wg_now();
    wg_time arrived_at = now - wg_entry_input_delay(e, now);
    wg_time expires_at = 0;
    if (!wg_handed_is_eligible(client, head, body, now, arrived_at, &expires_at) ||
        !wg_handoff_wants(h->decision)) {
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
    wg_taken* taken = client->taken;
    bool due = wg_now() - taken->sent_at >= WG_TAKEN_FRAME_INTERVAL ||
               evbuffer_get_length(bytes) >= WG_TAKEN_FRAME_MAX;
    if (due && evbuffer_get_length(taken->output) == 0) {
        wg_taken_send(taken, bytes);
    }
    if (evbuffer_get_length(bytes) == 0) {
        return;
    }
    evbuffer_add_buffer(taken->output, bytes);
    wg_taken_wait(taken);
    if (evbuffer_get_length(taken->output) >= WG_TAKEN_FRAME_MAX) {
        wg_taken_flush(taken);
    }
}

void wg_entry_handoff_answered(wg_client* client, bool keep) {
    wg_taken* taken = client->taken;
    taken->answered = true;
    taken->end = keep ? WGPB__HANDOFF_END__HANDOFF_END_COMPLETE
                      : WGPB__HANDOFF_END__HANDOFF_END_COMPLETE_CLOSE;
    wg_taken_flush(taken);
}

void wg_entry_handoff_cut(wg_client* client) {
    wg_taken* taken = client->taken;
    if (!taken->gone) {
        wg_taken_send_end(taken, WGPB__HANDOFF_END__HANDOFF_END_CUT);
    }
    wg_taken_free(taken);
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
