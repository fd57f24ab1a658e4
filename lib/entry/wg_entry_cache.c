/* wg_entry_cache.c -- initial query of a target's prompt cache by its new coordinator

   A coordinator tracks the cached prompt parts of a target from its own admissions. After a
   restart, or when it takes over a target from another coordinator, it knows none and would assume
   that every prompt has to be processed completely. So it queries the target for its cached parts,
   at most WG_CACHE_TRIES times. Only targets that changed are looked at, and all of them when the
   coordinators do: most hosts coordinate none of many targets. */
#include <string.h>

#include "wg_cache_list.h"
#include "wg_entry_internal.h"
#include "wg_exchange.h"

enum {
    WG_CACHE_QUERIES_MAX = 4, /* concurrent, since a list may have tens of kilobytes */
    WG_CACHE_IDLE_TIMEOUT = 1 * WG_USEC_PER_SEC, /* without a byte */
    WG_CACHE_TIME_MAX = 3 * WG_USEC_PER_SEC,     /* of the whole query */
    WG_CACHE_TRIES = 3,
    WG_CACHE_RETRY_INTERVAL = 500 * WG_USEC_PER_MSEC,
    WG_CACHE_BYTES_MAX = 1 << 20
};

/* State of the query for a target that this host coordinates. */
typedef struct {
    wg_entry* entry;
    uint32_t target;
    wg_exchange* exchange; /* NULL if no query is in progress */
    bool known;
    int tries;
    wg_time next_at;
} wg_cache_query;

static void wg_cache_query_free(void* data) {
    wg_cache_query* query = data;
    if (query->exchange) {
        wg_exchange_close(query->exchange);
    }
    g_free(query);
}

static int wg_cache_queries_active(const wg_entry* e) {
    int num = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, e->cache_queries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        num += ((wg_cache_query*)value)->exchange != NULL;
    }
    return num;
}

static void wg_cache_apply_list(wg_cache_query* query) {
    struct evbuffer* in = wg_exchange_body(query->exchange);
    size_t size = evbuffer_get_length(in);
    GArray* parts = wg_cache_list_parse((const char*)evbuffer_pullup(in, -1), size);
    if (!parts) {
        wg_log(WG_EVENT_CACHE_UNKNOWN, "target=%u reason=malformed bytes=%zu", query->target, size);
        return;
    }
    query->known = true;
    wg_admit_record_held_parts(query->entry->admit, wg_now(), query->target,
                               (const uint64_t*)(void*)parts->data, (int)parts->len);
    wg_log(WG_EVENT_CACHE_KNOWN, "target=%u parts=%u bytes=%zu", query->target, parts->len, size);
    g_array_unref(parts);
}

/* Answers to cache queries carry backoff hints as answers to requests do. */
static bool wg_cache_on_head(const wg_message_head* head, void* user_data) {
    const wg_cache_query* query = user_data;
    wg_entry* e = query->entry;
    wg_backoff_hint hint = {.status = head->status};
    for (int i = 0; i < head->fields_num; i++) {
        const wg_message_pair* f = &head->fields[i];
        wg_backoff_read_field(&hint, e->names->draining, f->name, f->value);
    }
    wg_entry_record_answer(e, query->target, &hint, "-");
    return true;
}

static void wg_cache_on_done(wg_exchange_result result, void* user_data) {
    enum {
        OK = 200,
        NOT_FOUND = 404
    };
    wg_cache_query* query = user_data;
    int status = result == WG_EXCHANGE_FAILED ? 0 : wg_exchange_head(query->exchange)->status;
    if (status == OK) {
        wg_cache_apply_list(query);
    } else if (status == NOT_FOUND) {
        query->known = true; /* the target does not provide a list */
    } else {
        wg_log(WG_EVENT_CACHE_UNKNOWN, "target=%u status=%d try=%d", query->target, status,
               query->tries);
    }
    wg_exchange_close(query->exchange);
    query->exchange = NULL;
}

static const wg_exchange_handler wg_cache_handler = {.on_head = wg_cache_on_head,
                                                     .on_done = wg_cache_on_done};

static void wg_cache_send(wg_cache_query* query, const wg_target* target, wg_time now) {
    wg_entry* e = query->entry;
    query->tries++;
    query->next_at = now + WG_CACHE_RETRY_INTERVAL;
    query->exchange =
        wg_exchange_open(&(wg_exchange_desc){.base = e->base, .address = target->address});
    if (!query->exchange) {
        return;
    }
    struct evbuffer* fields = evbuffer_new();
    wg_exchange_add_field(fields, "Host", target->address);
    wg_exchange_add_field(fields, "Connection", "close");
    wg_exchange_add_field(fields, e->names->expected_target, target->id);
    wg_exchange_send(query->exchange,
                     &(wg_exchange_request){.method = "GET",
                                            .target = e->names->cache_list,
                                            .fields = fields,
                                            .body_max = WG_CACHE_BYTES_MAX,
                                            .timeout = WG_CACHE_TIME_MAX,
                                            .idle_timeout = WG_CACHE_IDLE_TIMEOUT},
                     &wg_cache_handler, query);
    evbuffer_free(fields);
}

static bool wg_cache_is_engine(const wg_entry* e, const wg_target* target) {
    int service = wg_config_service(e->config, target->service);
    return service >= 0 && e->config->services[service].engine;
}

static void wg_cache_send_if_due(wg_cache_query* query, wg_time now) {
    wg_entry* e = query->entry;
    const wg_target* target = wg_registry_find(e->registry, query->target);
    if (!target || query->exchange || now < query->next_at) {
        return;
    }
    /* The request rate of a cold target is left to callers' requests; its cache is mostly empty. */
    bool cold = wg_entry_cold_rate(e, target->number) > 0;
    if (!cold && wg_entry_may_send(e, target, now) && wg_cache_is_engine(e, target)) {
        wg_cache_send(query, target, now);
    }
}

static bool wg_cache_is_finished(const wg_cache_query* query) {
    return !query->exchange && (query->known || query->tries >= WG_CACHE_TRIES);
}

/* Sends the queries that are due, and forgets those that are finished or were dropped. */
static void wg_cache_send_pending(wg_entry* e, wg_time now) {
    guint kept = 0;
    int active = wg_cache_queries_active(e);
    for (guint i = 0; i < e->cache_pending->len; i++) {
        uint32_t number = g_array_index(e->cache_pending, uint32_t, i);
        wg_cache_query* query = g_hash_table_lookup(e->cache_queries, GUINT_TO_POINTER(number));
        if (!query || wg_cache_is_finished(query)) {
            continue;
        }
        g_array_index(e->cache_pending, uint32_t, kept++) = number;
        if (active < WG_CACHE_QUERIES_MAX && !query->exchange) {
            wg_cache_send_if_due(query, now);
            active += query->exchange != NULL;
        }
    }
    g_array_set_size(e->cache_pending, kept);
}

/* Begins with the targets anew: other targets may be this host's to coordinate. */
static void wg_cache_update_all(wg_entry* e) {
    e->cache_outdated = false;
    if (!wg_entry_admit_is_coordinator(e)) {
        g_hash_table_remove_all(e->cache_queries);
        return;
    }
    const wg_target* target = NULL;
    while ((target = wg_registry_next(e->registry, target ? target->number : 0))) {
        wg_entry_cache_update_target(e, target->number);
    }
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_cache_setup(wg_entry* e) {
    e->cache_queries = g_hash_table_new_full(NULL, NULL, NULL, wg_cache_query_free);
    e->cache_pending = g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

void wg_entry_cache_shutdown(wg_entry* e) {
    g_hash_table_unref(e->cache_queries);
    g_array_unref(e->cache_pending);
}

void wg_entry_cache_update_target(wg_entry* e, uint32_t number) {
    gpointer key = GUINT_TO_POINTER(number);
    const wg_target* target = wg_registry_find(e->registry, number);
    if (!target || !wg_registry_accepts(e->registry, target) ||
        !wg_entry_admit_coordinates(e, number)) {
        g_hash_table_remove(e->cache_queries, key);
        return;
    }
    if (!g_hash_table_contains(e->cache_queries, key)) {
        wg_cache_query* query = g_new0(wg_cache_query, 1);
        query->entry = e;
        query->target = number;
        g_hash_table_insert(e->cache_queries, key, query);
        g_array_append_val(e->cache_pending, number);
    }
}

void wg_entry_cache_tick(wg_entry* e, wg_time now) {
    if (!e->names->cache_list || !e->config) {
        return;
    }
    if (e->cache_outdated) {
        wg_cache_update_all(e);
    }
    wg_cache_send_pending(e, now);
}
