/* wg_entry_cache.c -- initial query of a target's prompt cache by its new coordinator

   A coordinator tracks the cached prompt parts of a target from its own admissions. After a
   restart, or when it takes over a target from another coordinator, it knows none and would assume
   that every prompt has to be processed completely. So it queries the target for its cached parts,
   at most WG_CACHE_TRIES times. Only targets that changed are looked at, and all of them when the
   coordinators do: most hosts coordinate none of many targets. */
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <string.h>

#include "wg_cache_list.h"
#include "wg_entry_internal.h"

enum {
    WG_CACHE_QUERIES_MAX = 4, /* concurrent, since a list may have tens of kilobytes */
    WG_CACHE_TIMEOUT_S = 1,   /* without a byte */
    WG_CACHE_TIME_MAX = 3 * WG_USEC_PER_SEC, /* of the whole query */
    WG_CACHE_TRIES = 3,
    WG_CACHE_RETRY_INTERVAL = 500 * WG_USEC_PER_MSEC,
    WG_CACHE_BYTES_MAX = 1 << 20,
    WG_CACHE_HEAD_MAX = 16 * 1024 /* bytes */
};

/* State of the query for a target that this host coordinates. */
typedef struct {
    wg_entry* entry;
    uint32_t target;
    struct evhttp_connection* connection; /* NULL if no query is in progress */
    wgh_answer_bounds bounds;
    wg_time sent_at;
    bool known;
    int tries;
    wg_time next_at;
} wg_cache_query;

static void wg_cache_query_free(void* data) {
    wg_cache_query* query = data;
    if (query->connection) {
        evhttp_connection_free(query->connection);
    }
    g_free(query);
}

static int wg_cache_queries_active(const wg_entry* e) {
    int num = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, e->cache_queries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        num += ((wg_cache_query*)value)->connection != NULL;
    }
    return num;
}

static void wg_cache_apply_list(wg_cache_query* query, struct evhttp_request* request) {
    struct evbuffer* in = evhttp_request_get_input_buffer(request);
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
static void wg_cache_record_hint(const wg_cache_query* query, struct evhttp_request* request) {
    wg_entry* e = query->entry;
    wg_backoff_hint hint = {.status = evhttp_request_get_response_code(request)};
    const struct evkeyvalq* fields = evhttp_request_get_input_headers(request);
    for (const struct evkeyval* f = fields->tqh_first; f; f = f->next.tqe_next) {
        wg_backoff_read_field(&hint, e->names->draining, (wg_text){f->key, strlen(f->key)},
                              (wg_text){f->value, strlen(f->value)});
    }
    wg_entry_record_answer(e, query->target, &hint, "-");
}

static void wg_cache_on_answer(struct evhttp_request* request, void* user_data) {
    wg_cache_query* query = user_data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    query->connection = NULL; /* freed by libevent on completion */
    if (status > 0) {
        wg_cache_record_hint(query, request);
    }
    if (status == HTTP_OK) {
        wg_cache_apply_list(query, request);
    } else if (status == HTTP_NOTFOUND) {
        query->known = true; /* the target does not provide a list */
    } else {
        wg_log(WG_EVENT_CACHE_UNKNOWN, "target=%u status=%d try=%d", query->target, status,
               query->tries);
    }
}

static void wg_cache_send(wg_cache_query* query, const wg_target* target, wg_time now) {
    wg_entry* e = query->entry;
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    query->tries++;
    query->next_at = now + WG_CACHE_RETRY_INTERVAL;
    if (!wgn_split_address(target->address, ip, &port)) {
        return;
    }
    query->connection = evhttp_connection_base_new(e->base, NULL, ip, port);
    evhttp_connection_set_timeout(query->connection, WG_CACHE_TIMEOUT_S);
    evhttp_connection_set_max_body_size(query->connection, WG_CACHE_BYTES_MAX);
    wgh_bound_answers(&query->bounds, query->connection,
                      &(wgh_answer_limits){.head_max = WG_CACHE_HEAD_MAX,
                                           .unparsed_max = WG_CACHE_BYTES_MAX + WG_CACHE_HEAD_MAX});
    query->sent_at = now;
    evhttp_connection_free_on_completion(query->connection);
    struct evhttp_request* request = evhttp_request_new(wg_cache_on_answer, query);
    evhttp_request_set_header_cb(request, wgh_refuse_informational);
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Host", target->address);
    evhttp_add_header(out, "Connection", "close");
    evhttp_add_header(out, e->names->expected_target, target->id);
    if (evhttp_make_request(query->connection, request, EVHTTP_REQ_GET, e->names->cache_list) !=
        0) {
        evhttp_connection_free(query->connection);
        query->connection = NULL;
    }
}

/* A target that sends a little now and then never exceeds the timeout without a byte. */
static void wg_cache_end_if_due(wg_cache_query* query, wg_time now) {
    if (!query->connection) {
        return;
    }
    bool slow = now - query->sent_at >= WG_CACHE_TIME_MAX;
    if (slow || query->bounds.exceeded) {
        wg_log(WG_EVENT_CACHE_UNKNOWN, "target=%u reason=%s try=%d", query->target,
               slow ? "too-slow" : "too-long", query->tries);
        evhttp_connection_free(query->connection);
        query->connection = NULL;
    }
}

static bool wg_cache_is_engine(const wg_entry* e, const wg_target* target) {
    int service = wg_config_service(e->config, target->service);
    return service >= 0 && e->config->services[service].engine;
}

static void wg_cache_send_if_due(wg_cache_query* query, wg_time now) {
    wg_entry* e = query->entry;
    const wg_target* target = wg_registry_find(e->registry, query->target);
    if (!target || query->connection || now < query->next_at) {
        return;
    }
    /* The request rate of a cold target is left to callers' requests; its cache is mostly empty. */
    bool cold = wg_entry_cold_rate(e, target->number) > 0;
    if (!cold && wg_entry_may_send(e, target, now) && wg_cache_is_engine(e, target)) {
        wg_cache_send(query, target, now);
    }
}

static bool wg_cache_is_finished(const wg_cache_query* query) {
    return !query->connection && (query->known || query->tries >= WG_CACHE_TRIES);
}

/* Sends the queries that are due, and forgets those that are finished or were dropped. */
static void wg_cache_send_pending(wg_entry* e, wg_time now) {
    guint kept = 0;
    int active = wg_cache_queries_active(e);
    for (guint i = 0; i < e->cache_pending->len; i++) {
        uint32_t number = g_array_index(e->cache_pending, uint32_t, i);
        wg_cache_query* query = g_hash_table_lookup(e->cache_queries, GUINT_TO_POINTER(number));
        if (query) {
            wg_cache_end_if_due(query, now);
        }
        if (!query || wg_cache_is_finished(query)) {
            continue;
        }
        g_array_index(e->cache_pending, uint32_t, kept++) = number;
        if (active < WG_CACHE_QUERIES_MAX && !query->connection) {
            wg_cache_send_if_due(query, now);
            active += query->connection != NULL;
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
