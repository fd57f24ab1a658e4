/* wg_entry_orders.c -- orders of operators and targets, forwarded to the leader

   An order is pending until a leader answers it or it times out. It is sent again after a link
   failure or a change of leader. */
#include "wg_document.h"

#include "wg_entry_internal.h"

enum {
    WG_ORDERS_MAX = 1024
};

static void wg_entry_order_free(wg_entry_order* order) {
    g_byte_array_unref(order->packed);
    g_free(order);
}

static void wg_entry_order_on_sender_closed(struct evhttp_connection* connection, void* user_data) {
    (void)connection;
    wg_entry_order* order = user_data;
    wgh_free_unanswered(order->request);
    order->request = NULL;
}

static void wg_entry_send_order(wg_entry* e, wg_entry_order* order) {
    if (!e->link_up || !e->leader_known) {
        return;
    }
    Wgpb__Order* message = wgpb__order__unpack(NULL, order->packed->len, order->packed->data);
    order->sent = wgn_send(e->net, e->link, WGW_TYPE_ORDER, &message->base);
    wgpb__order__free_unpacked(message, NULL);
}

void wg_entry_orders_send(wg_entry* e) {
    for (GList* at = e->orders.head; at; at = at->next) {
        wg_entry_send_order(e, at->data);
    }
}

/* Orders of targets are frequent, so only those that were not applied are logged. */
static void wg_entry_log_order(wg_entry* e, const wg_entry_order* order, wg_order_outcome outcome,
                               wg_time now) {
    const wgn_peer* peer = wgn_query_peer(e->net, e->link);
    bool plain = order->from_target && outcome == WG_ORDER_DONE;
    if (plain || !wg_entry_may_log(e, now)) {
        return;
    }
    wg_log(WG_EVENT_ORDER_ANSWERED,
           "kind=%s version=%" G_GUINT64_FORMAT " outcome=%s after_ms=%" G_GINT64_FORMAT
           " control=%s leader=%d leaderless_ms=%" G_GINT64_FORMAT " sender=%s",
           order->from_target ? "target"
           : order->is_read   ? "read"
           : order->version   ? "configuration"
                              : "evacuation",
           order->version, wgw_outcome_name(outcome), (now - order->received_at) / WG_USEC_PER_MSEC,
           peer ? peer->name : "-", e->leader_known,
           wg_outage_duration(&e->leaderless, now) / WG_USEC_PER_MSEC,
           order->request ? "waits" : "left");
}

/* An order whose sender has closed may have been retried at another host and superseded there. */
static bool wg_entry_order_is_stale(struct evhttp_request* request) {
    struct evhttp_connection* connection = evhttp_request_get_connection(request);
    return wg_socket_peer_has_closed(evhttp_connection_get_bufferevent(connection));
}

void wg_entry_order_begin(wg_entry* e, struct evhttp_request* request, const Wgpb__Order* desc) {
    if (e->orders.length >= WG_ORDERS_MAX || wg_entry_order_is_stale(request)) {
        wg_entry_order_answer(request, WG_ORDER_NOT_LEADER, NULL);
        return;
    }
    Wgpb__Order message = *desc;
    wg_entry_order* order = g_new0(wg_entry_order, 1);
    message.ticket = ++e->counter;
    order->ticket = message.ticket;
    order->request = request;
    order->is_read = desc->read_configuration;
    order->from_target = desc->target != NULL;
    order->version = desc->configuration ? desc->configuration->version : 0;
    order->packed = wgw_pack(&message.base);
    order->received_at = wg_now();
    order->expires_at = order->received_at + e->settings->order_ms * WG_USEC_PER_MSEC;
    wgh_set_closed_cb(evhttp_request_get_connection(request), wg_entry_order_on_sender_closed,
                      order);
    g_queue_push_tail(&e->orders, order);
    wg_entry_send_order(e, order);
}

static void wg_entry_order_end(wg_entry* e, GList* at, wg_order_outcome outcome, GBytes* document) {
    wg_entry_order* order = at->data;
    g_queue_delete_link(&e->orders, at);
    wg_entry_log_order(e, order, outcome, wg_now());
    if (order->request) {
        wgh_set_closed_cb(evhttp_request_get_connection(order->request), NULL, NULL);
        wg_entry_order_answer(order->request, outcome, document);
    }
    wg_entry_order_free(order);
}

static void wg_entry_order_apply_outcome(wg_entry* e, GList* at, const Wgpb__OrderAnswer* in) {
    GError* error = NULL;
    GBytes* document =
        in->configuration ? wg_document_unpack_message(in->configuration, NULL, &error) : NULL;
    wg_order_outcome outcome = error ? WG_ORDER_UNKNOWN : (wg_order_outcome)in->outcome;
    if (error) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=%s", error->message);
        g_error_free(error);
    }
    wg_entry_order_end(e, at, outcome, document);
    g_clear_pointer(&document, g_bytes_unref);
}

void wg_entry_orders_apply_answer(wg_entry* e, const Wgpb__OrderAnswer* in) {
    for (GList* at = e->orders.head; at; at = at->next) {
        wg_entry_order* order = at->data;
        if (order->ticket != in->ticket) {
            continue;
        }
        if (in->outcome == WG_ORDER_NOT_LEADER || in->outcome == WG_ORDER_UNKNOWN) {
            order->sent = false; /* sent again at the next tick */
        } else {
            wg_entry_order_apply_outcome(e, at, in);
        }
        return;
    }
}

/* Retries at each tick: a leader may refuse an order while its lease is expired and then renew the
   lease, without any notification of a leader change. */
void wg_entry_orders_tick(wg_entry* e, wg_time now) {
    GList* next;
    for (GList* at = e->orders.head; at; at = next) {
        wg_entry_order* order = at->data;
        next = at->next;
        if (now >= order->expires_at) {
            wg_entry_order_end(e, at, WG_ORDER_UNKNOWN, NULL);
        } else if (!order->sent) {
            wg_entry_send_order(e, order);
        }
    }
}

void wg_entry_orders_link_down(wg_entry* e) {
    for (GList* at = e->orders.head; at; at = at->next) {
        ((wg_entry_order*)at->data)->sent = false;
    }
}

void wg_entry_orders_drop(wg_entry* e) {
    while (e->orders.head) {
        wg_entry_order_end(e, e->orders.head, WG_ORDER_UNKNOWN, NULL);
    }
}
