/* wg_entry_taken.c -- requests of other hosts that this one took

   As peer, this host serves the request as a wg_client without a connection, whose output it sends
   back in frames on the owner's link. */
#include "wg_entry_handoff_internal.h"

enum {
    /* Bytes that wait on the link to an owner above which answers wait at this host, where they
       count as held and pause their targets. */
    WG_TAKEN_UNSENT_MAX = 256 * 1024,
    WG_TAKEN_FRAME_MAX = 64 * 1024, /* bytes of an answer in one frame */
    /* Time between two frames of an answer, unless they are full. Each frame costs the owner, which
       is short of processor time, a write to its caller. */
    WG_TAKEN_FRAME_INTERVAL = 10 * WG_USEC_PER_MSEC,
    /* A message that states a longer wait counts as this one, so that no value of another process
       overflows the arithmetic of times. */
    WG_TAKEN_WAITED_MAX = 600 * WG_USEC_PER_SEC,
};

static bool wg_taken_send_answer(const wg_entry* e, wgn_link link, uint64_t ticket,
                                 Wgpb__HandoffEnd end) {
    Wgpb__HandoffAnswer answer = WGPB__HANDOFF_ANSWER__INIT;
    answer.ticket = ticket;
    answer.end = end;
    return wgn_send(e->net, link, WGW_TYPE_HANDOFF_ANSWER, &answer.base);
}

/* Sends the next part of an answer. */
static bool wg_taken_send_part(const wg_taken* taken, ProtobufCBinaryData bytes) {
    Wgpb__HandoffAnswer answer = WGPB__HANDOFF_ANSWER__INIT;
    answer.ticket = taken->ticket;
    answer.bytes = bytes;
    answer.by_connection = taken->client.by_connection;
    return wgn_send(taken->client.entry->net, taken->owner->link, WGW_TYPE_HANDOFF_ANSWER,
                    &answer.base);
}

static void wg_taken_send_end(const wg_taken* taken, Wgpb__HandoffEnd end) {
    wg_taken_send_answer(taken->client.entry, taken->owner->link, taken->ticket, end);
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
        if (!wg_taken_send_part(taken, part)) {
            return; /* the link closes */
        }
        evbuffer_drain(bytes, size);
        taken->sent_at = wg_now();
    }
}

static void wg_taken_schedule_flush(wg_entry_handoff* h) {
    struct timeval interval = {.tv_usec = WG_TAKEN_FRAME_INTERVAL};
    if (h->waiting.length > 0 && !event_pending(h->flush_timer, EV_TIMEOUT, NULL)) {
        event_add(h->flush_timer, &interval);
    }
}

static void wg_taken_enter_waiting(wg_taken* taken) {
    wg_entry_handoff* h = taken->client.entry->handoff;
    if (!taken->waiting) {
        taken->waiting = true;
        taken->link = (GList){.data = taken};
        g_queue_push_tail_link(&h->waiting, &taken->link);
        wg_taken_schedule_flush(h);
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
        wg_taken_enter_waiting(taken);
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

void wg_taken_on_flush_timer(evutil_socket_t fd, short what, void* user_data) {
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
    wg_taken_schedule_flush(h);
}

wg_taken_owner* wg_taken_owner_of(const wg_entry* e, wgn_link link) {
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

/* Sent whether the owner knows of the stop from the roster or not: without a leader it does not. A
   request that is in flight when this process exits would count as one that may have run. */
void wg_taken_owner_tell_stopping(const wg_entry* e, wg_taken_owner* owner) {
    if (!owner->told_stopping) {
        owner->told_stopping = true;
        wg_taken_send_answer(e, owner->link, 0, WGPB__HANDOFF_END__HANDOFF_END_DECLINED);
    }
}

/* Whether this host takes the request. Nothing has run if it does not. It does not with a newer
   configuration either: the owner would handle later requests by its older one. Nor does it wait
   until its configuration is sure. */
static bool wg_taken_is_accepted(const wg_entry* e, const Wgpb__HandoffRequest* in) {
    const wg_entry_handoff* h = e->handoff;
    bool sure = wg_entry_basis(e, wg_now()) == WG_BASIS_LEADER;
    if (!h || e->stopping || !sure || !e->leader_known || e->on_standby || !e->registry_known ||
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
    wg_buffers_set_kept(e->buffers, &client->held, (int64_t)(in->head.len + in->body.len));
    client->keep = head.keep_alive;
    client->arrived_at = wg_now() - (wg_time)MIN(in->waited_us, (uint64_t)WG_TAKEN_WAITED_MAX);
    e->counters.handoffs_taken++;
    wg_taken_send_end(client->taken, WGPB__HANDOFF_END__HANDOFF_END_MORE);
    wg_call_begin(client, bytes, &head, body); /* may free the client */
    return true;
}

static void wg_taken_decline(wg_entry* e, wgn_link link, uint64_t ticket) {
    wg_taken_owner* owner = wg_taken_owner_of(e, link);
    wg_taken_send_answer(e, link, ticket, WGPB__HANDOFF_END__HANDOFF_END_DECLINED);
    if (e->stopping && owner) {
        wg_taken_owner_tell_stopping(e, owner);
    }
}

bool wg_taken_on_request(wg_entry* e, wgn_link link, const wgw_frame* frame) {
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
    taken->abandoned = true;
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

bool wg_taken_on_note(wg_entry* e, wgn_link link, const wgw_frame* frame) {
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

/* The link of an owner closed: all of its callers count as gone. */
void wg_taken_lose_owner(wg_entry* e, wg_taken_owner* owner) {
    GList* list = g_hash_table_get_values(owner->taken);
    for (GList* at = list; at; at = at->next) {
        wg_taken_abandon(at->data);
    }
    g_list_free(list);
    g_hash_table_remove(e->handoff->owners, GUINT_TO_POINTER(owner->link.id));
}

void wg_taken_owner_free(void* data) {
    wg_taken_owner* owner = data;
    g_hash_table_unref(owner->taken);
    g_free(owner);
}

void wg_taken_write(wg_taken* taken, struct evbuffer* bytes) {
    bool due = wg_now() - taken->sent_at >= WG_TAKEN_FRAME_INTERVAL ||
               evbuffer_get_length(bytes) >= WG_TAKEN_FRAME_MAX;
    if (due && evbuffer_get_length(taken->output) == 0) {
        wg_taken_send(taken, bytes);
    }
    if (evbuffer_get_length(bytes) == 0) {
        return;
    }
    wg_buffer_append(taken->output, bytes);
    wg_taken_enter_waiting(taken);
    if (evbuffer_get_length(taken->output) >= WG_TAKEN_FRAME_MAX) {
        wg_taken_flush(taken);
    }
}

void wg_taken_answered(wg_taken* taken, bool keep) {
    taken->answered = true;
    taken->end = keep ? WGPB__HANDOFF_END__HANDOFF_END_COMPLETE
                      : WGPB__HANDOFF_END__HANDOFF_END_COMPLETE_CLOSE;
    wg_taken_flush(taken);
}

void wg_taken_cut(wg_taken* taken) {
    if (!taken->abandoned) {
        wg_taken_send_end(taken, WGPB__HANDOFF_END__HANDOFF_END_CUT);
    }
    wg_taken_free(taken);
}
