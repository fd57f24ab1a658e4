/* wg_entry_lease.c -- what this host's decisions are based on, and the search for a leader

   lib/lease decides until when the configuration may be used, and when a leader has to be looked
   for. Requests that come when it may not be used wait for the outcome of the search, which takes
   as long as a handshake with the controls. */
#include "wg_entry_internal.h"
#include "wg_term.h"

#include <string.h>

enum {
    /* Part of `configuration_ms` for which a host decides without further word of a leader. The
       rest covers what lies between a decision and the moment at which its caller sent the
       request. */
    WG_LEASE_PERCENT = 75,
    /* Wait for the leader that this host follows, before all controls are asked: in a large fleet a
       busy leader answers late, and must not be asked for more. */
    WG_SEARCH_NARROW_TIME = 100 * WG_USEC_PER_MSEC
};

/* A request that waits for a sure configuration. */
struct wg_unsure {
    wg_client* client;
    char* bytes;
    wg_message_head* head; /* points into `bytes` */
    struct evbuffer* body;
    wg_time expires_at;
    GList link;
};

/* ---- helpers: the search --------------------------------------------------------------------- */

static wgn_link* wg_search_find(wg_entry* e, wgn_link link) {
    for (int i = 0; link.id && i < e->search.num; i++) {
        if (e->search.links[i].id == link.id) {
            return &e->search.links[i];
        }
    }
    return NULL;
}

static bool wg_search_has_asked(const wg_entry* e, const char* address) {
    for (int i = 0; i < e->search.num; i++) {
        if (strcmp(e->search.addresses[i], address) == 0) {
            return true;
        }
    }
    return false;
}

/* False if the address was asked before or cannot be dialled. */
static bool wg_search_dial(wg_entry* e, const char* address) {
    wg_leader_search* s = &e->search;
    if (s->num == WG_CONTROLS_MAX || wg_search_has_asked(e, address)) {
        return false;
    }
    wgn_link link = wgn_dial(e->net, address);
    if (!link.id) {
        return false;
    }
    s->links[s->num] = link;
    wg_copy_name(s->addresses[s->num++], WG_ADDRESS_MAX, address);
    return true;
}

static void wg_search_send_ask(wg_entry* e, wgn_link link) {
    Wgpb__LeaderAsk ask = WGPB__LEADER_ASK__INIT;
    ask.ticket = e->search.ticket;
    wgn_send(e->net, link, WGW_TYPE_LEADER_ASK, &ask.base);
}

/* Asks the control that this host is linked to. False if there is none, or it may be of a release
   that closes links on this question. */
static bool wg_search_ask_own(wg_entry* e) {
    const wgn_peer* peer = wgn_query_peer(e->net, e->link);
    if (!e->link_up || !e->link_confirms || !peer) {
        return false;
    }
    wg_leader_search* s = &e->search;
    s->links[s->num] = (wgn_link){0};
    wg_copy_name(s->addresses[s->num++], WG_ADDRESS_MAX, peer->address);
    wg_search_send_ask(e, e->link);
    return true;
}

/* Whether an address of a seed is that of a control, not of an entry host. */
static bool wg_search_is_control(const wg_entry* e, const char* address) {
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    return wgn_split_address(address, ip, &port) && port == e->settings->fleet_port;
}

static void wg_search_close(wg_entry* e) {
    wg_leader_search* s = &e->search;
    int num = s->num;
    s->num = 0; /* closing must not count as a lost answer */
    for (int i = 0; i < num; i++) {
        wgn_close(e->net, s->links[i]);
    }
}

/* Asks all controls that were not asked; returns their number. */
static int wg_search_ask_all(wg_entry* e) {
    int asked = 0;
    e->search.wide = true;
    for (int i = 0; i < e->controls.num; i++) {
        asked += wg_search_dial(e, e->controls.list[i]);
    }
    for (int i = 0; i < e->seed_addresses.num; i++) {
        const char* address = e->seed_addresses.list[i];
        asked += wg_search_is_control(e, address) && wg_search_dial(e, address);
    }
    return asked;
}

/* Asks the leader that this host follows, and all other controls too if there is none or requests
   wait. */
static void wg_search_begin(wg_entry* e, wg_time now) {
    wg_search_close(e);
    e->search.ticket = ++e->counter;
    e->search.wide = false;
    e->counters.leader_searches++;
    int asked = wg_search_ask_own(e);
    if (asked == 0 || !e->leader_known || wg_entry_basis(e, now) == WG_BASIS_NONE) {
        asked += wg_search_ask_all(e);
    }
    wg_lease_search_begin(&e->lease, now, asked);
}

static void wg_search_widen_if_due(wg_entry* e, wg_time now) {
    const wg_lease* lease = &e->lease;
    if (lease->searching && !e->search.wide && now - lease->searched_at >= WG_SEARCH_NARROW_TIME) {
        wg_lease_search_widen(&e->lease, now, wg_search_ask_all(e));
    }
}

/* Follows the leader that was found, unless this host follows it already. */
static void wg_search_follow(wg_entry* e, wgn_link link, bool newer) {
    if (link.id == e->link.id) {
        if (newer) {
            wg_entry_report(e, wg_now()); /* the answer brings what is newer */
        }
        return;
    }
    const wgn_peer* found = wgn_query_peer(e->net, link);
    const wgn_peer* followed = wgn_query_peer(e->net, e->link);
    bool same = found && followed && strcmp(found->address, followed->address) == 0;
    if (found && !(same && e->leader_known)) {
        char address[WG_ADDRESS_MAX];
        wg_copy_name(address, sizeof address, found->address);
        wg_entry_reconnect(e, address);
    }
}

/* Whether the control has what this host lacks. Targets change all the time: only what a leader has
   of them counts, as its state brings them at once. */
static bool wg_search_is_newer(const wg_entry* e, const Wgpb__LeaderAnswer* in, bool leads) {
    uint64_t version = e->config ? e->config->version : 0;
    bool targets = leads && in->registry_change > wg_registry_change(e->registry);
    return in->configuration_version > version || targets;
}

static void wg_search_apply_answer(wg_entry* e, wgn_link link, const Wgpb__LeaderAnswer* in) {
    if (in->ticket != e->search.ticket || !e->lease.searching) {
        return;
    }
    bool replaced = wg_term_recovery(in->term) < e->recovery.known;
    bool leads = in->leads && !replaced && in->term >= e->term_followed;
    bool newer = wg_search_is_newer(e, in, leads) && !replaced;
    const char* leader = in->leader_address;
    if (!leads && !e->search.wide) {
        wg_lease_search_widen(&e->lease, wg_now(), wg_search_ask_all(e));
    }
    if (!leads && leader[0] && wg_search_dial(e, leader)) {
        wg_lease_search_widen(&e->lease, wg_now(), 1);
    }
    wg_lease_search_answer(&e->lease, &(wg_lease_answer){.leads = leads, .newer = newer});
    if (leads) {
        wg_search_follow(e, link, newer);
    }
}

/* Ends the links of a search that is over. */
static void wg_search_update(wg_entry* e) {
    if (!e->lease.searching && e->search.num > 0) {
        wg_search_close(e);
        wg_entry_lease_resume(e);
    }
}

/* ---- helpers: requests that wait ------------------------------------------------------------- */

/* Frees a request that was taken out of the queue. */
static void wg_unsure_free(wg_unsure* unsure) {
    unsure->client->unsure = NULL;
    g_clear_pointer(&unsure->bytes, g_free);
    g_clear_pointer(&unsure->head, g_free);
    g_clear_pointer(&unsure->body, evbuffer_free);
    g_free(unsure);
}

static void wg_entry_wait_for_lease(wg_client* client, char* bytes, wg_message_head* head,
                                    struct evbuffer* body, wg_time now) {
    wg_entry* e = client->entry;
    wg_unsure* unsure = g_new0(wg_unsure, 1);
    if (!client->arrived_at) {
        client->arrived_at = now - wg_entry_input_delay(e, now);
    }
    wg_time deadline = wg_call_deadline(e, head, client->arrived_at);
    *unsure = (wg_unsure){.client = client,
                          .bytes = bytes,
                          .head = head,
                          .body = body,
                          .expires_at = MIN(now + WG_UNSURE_WAIT_MAX, deadline)};
    unsure->link = (GList){.data = unsure};
    client->unsure = unsure;
    g_queue_push_tail_link(&e->unsure, &unsure->link);
    e->counters.unsure_waits++;
}

static void wg_entry_begin_call(wg_client* client, char* bytes, wg_message_head* head,
                                struct evbuffer* body) {
    if (wg_entry_handoff_begin(client, bytes, head, body)) {
        return;
    }
    wg_call_begin(client, bytes, head, body);
    g_free(head);
}

/* Ends the wait of the oldest request: begins its call, or refuses it. */
static void wg_unsure_end(wg_entry* e, bool sure) {
    wg_unsure* unsure = g_queue_pop_head_link(&e->unsure)->data;
    wg_client* client = unsure->client;
    char* bytes = g_steal_pointer(&unsure->bytes);
    wg_message_head* head = g_steal_pointer(&unsure->head);
    struct evbuffer* body = g_steal_pointer(&unsure->body);
    wg_unsure_free(unsure);
    if (sure) {
        wg_entry_begin_call(client, bytes, head, body);
        return;
    }
    e->counters.requests++;
    e->counters.denied_unsure++;
    wg_call_deny(client, bytes, body, head, 503, "configuration_unsure");
    g_free(head);
}

static void wg_entry_expire_unsure(wg_entry* e, wg_time now) {
    while (e->unsure.head && now >= ((const wg_unsure*)e->unsure.head->data)->expires_at) {
        wg_unsure_end(e, false);
    }
}

static void wg_entry_log_basis(wg_entry* e, wg_time now) {
    wg_lease_basis basis = wg_entry_basis(e, now);
    if (basis == e->basis_logged) {
        return;
    }
    e->basis_logged = basis;
    wg_log(WG_EVENT_BASIS_CHANGED,
           "basis=%s version=%" G_GUINT64_FORMAT " confirmed_ms=%" G_GINT64_FORMAT
           " searches=%" G_GUINT64_FORMAT " newer_exists=%d waiting=%u leader=%d",
           wg_lease_basis_name(basis), e->config ? e->config->version : 0,
           wg_entry_confirmed_ms(e, now), e->counters.leader_searches, e->lease.newer_exists,
           e->unsure.length, e->leader_known);
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_lease_setup(wg_entry* e) {
    g_queue_init(&e->unsure);
    wg_time bound = (wg_time)(e->settings->configuration_ms * WG_USEC_PER_MSEC);
    wg_lease_begin(&e->lease, bound * WG_LEASE_PERCENT / 100);
}

wg_lease_basis wg_entry_basis(const wg_entry* e, wg_time now) {
    return wg_lease_query(&e->lease, now);
}

void wg_entry_lease_tick(wg_entry* e, wg_time now) {
    if (e->config && wg_lease_search_due(&e->lease, now, e->report_interval)) {
        wg_search_begin(e, now);
    }
    wg_search_widen_if_due(e, now);
    wg_lease_tick(&e->lease, now);
    wg_search_update(e);
    wg_entry_lease_resume(e);
    wg_entry_expire_unsure(e, now);
    wg_entry_log_basis(e, now);
}

void wg_entry_lease_begin_call(wg_client* client, char* bytes, wg_message_head* head,
                               struct evbuffer* body) {
    wg_entry* e = client->entry;
    wg_time now = wg_now();
    bool has_state = e->config && e->registry_known;
    if (!has_state || wg_entry_basis(e, now) != WG_BASIS_NONE) {
        wg_entry_begin_call(client, bytes, head, body);
        return;
    }
    wg_entry_wait_for_lease(client, bytes, head, body, now);
    if (wg_lease_search_due(&e->lease, now, e->report_interval)) {
        wg_search_begin(e, now);
    }
}

void wg_entry_lease_resume(wg_entry* e) {
    while (e->unsure.head && wg_entry_basis(e, wg_now()) != WG_BASIS_NONE) {
        wg_unsure_end(e, true);
    }
}

void wg_entry_lease_forget(wg_client* client) {
    client->entry->counters.caller_disconnects++;
    g_queue_unlink(&client->entry->unsure, &client->unsure->link);
    wg_unsure_free(client->unsure);
}

bool wg_entry_lease_on_up(wg_entry* e, wgn_link link, const wgn_peer* peer) {
    if (!wg_search_find(e, link)) {
        return false;
    }
    if (peer->role == WGW_ROLE_CONTROL) {
        wg_search_send_ask(e, link);
    } else {
        wgn_close(e->net, link);
    }
    return true;
}

void wg_entry_lease_on_down(wg_entry* e, wgn_link link) {
    wgn_link* asked = wg_search_find(e, link);
    if (asked) {
        *asked = (wgn_link){0};
        wg_lease_search_unreachable(&e->lease);
    }
}

bool wg_entry_lease_on_frame(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    bool asked = wg_search_find(e, link) != NULL;
    if (frame->type != WGW_TYPE_LEADER_ANSWER) {
        return asked;
    }
    Wgpb__LeaderAnswer* in = wgpb__leader_answer__unpack(NULL, frame->size, frame->payload);
    if (!in) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=leader-answer");
        return true;
    }
    if (asked || link.id == e->link.id) {
        wg_search_apply_answer(e, link, in);
        wg_search_update(e);
    }
    wgpb__leader_answer__free_unpacked(in, NULL);
    return true;
}

void wg_entry_lease_print_metrics(const wg_entry* e, GString* out) {
    g_string_append_printf(out,
                           "walnutgate_entry_unsure_waiting %u\n"
                           "walnutgate_entry_unsure_waits_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_leader_searches_total %" G_GUINT64_FORMAT "\n"
                           "walnutgate_entry_basis %d\n",
                           e->unsure.length, e->counters.unsure_waits, e->counters.leader_searches,
                           (int)wg_entry_basis(e, wg_now()));
}
