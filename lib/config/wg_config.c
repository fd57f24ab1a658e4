/* wg_config.c -- see wg_config.h */
#include "wg_config.h"

#include "wg_fair.h"

#include <jansson.h>
#include <string.h>

/* ---- types and defaults -------------------------------------------------------------------- */

enum {
    WG_HEAD_BYTES_DEFAULT = 16 * 1024,
    WG_BODY_BYTES_DEFAULT = 4 << 20,
    WG_HEAD_MS_DEFAULT = 3000,
    WG_IDLE_MS_DEFAULT = 15000,
    WG_PAUSE_MS_DEFAULT = 200,
    WG_EVENT_TOKENS_DEFAULT = 1,
    WG_CONNECTIONS_DEFAULT = 256,
    WG_PRIORITY_DEFAULT = 1,
    WG_COLD_SECONDS_MAX = 300, /* longer cold times are refused as mistakes */
    WG_QUEUE_MS_MAX = 600000   /* longer waits are refused as mistakes */
};

static bool wg_config_fail(GError** error, const char* where, const char* name, const char* what) {
    g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "%s \"%s\": %s", where, name ? name : "", what);
    return false;
}

static int64_t wg_json_number(const json_t* object, const char* name, int64_t fallback) {
    const json_t* value = json_object_get(object, name);
    return json_is_number(value) ? (int64_t)json_number_value(value) : fallback;
}

static const char* wg_json_text(const json_t* object, const char* name) {
    return json_string_value(json_object_get(object, name));
}

/* ---- services ------------------------------------------------------------------------------ */

static bool wg_parse_cold_start(const json_t* json, wg_service* service, GError** error) {
    double seconds = json_number_value(json_object_get(json, "cold_s"));
    double rate = json_number_value(json_object_get(json, "cold_per_second"));
    if (!(seconds >= 0 && seconds <= WG_COLD_SECONDS_MAX) || !(rate >= 0)) {
        return wg_config_fail(error, "service", service->name,
                              "has cold_s or cold_per_second out of range");
    }
    service->cold_time = (wg_time)(seconds * WG_USEC_PER_SEC);
    service->cold_rate = rate;
    return true;
}

static bool wg_parse_service(const json_t* json, wg_service* service, GError** error) {
    const char* name = wg_json_text(json, "name");
    if (!name || !name[0]) {
        return wg_config_fail(error, "service", name, "has no name");
    }
    service->name = g_strdup(name);
    service->tightest_objective = WG_TIME_NEVER;
    service->connections = (int)wg_json_number(json, "connections", WG_CONNECTIONS_DEFAULT);
    if (!wg_parse_cold_start(json, service, error)) {
        return false;
    }
    const json_t* engine = json_object_get(json, "engine");
    service->engine = json_is_object(engine);
    if (service->engine) {
        service->slots = (int)wg_json_number(engine, "slots", 0);
        service->memory_tokens = wg_json_number(engine, "memory_tokens", 0);
        service->copies = json_is_true(json_object_get(engine, "copies"));
        service->event_tokens =
            (int)wg_json_number(engine, "event_tokens", WG_EVENT_TOKENS_DEFAULT);
        service->event_calls = (int)wg_json_number(engine, "event_calls", 0);
    }
    return true;
}

static bool wg_parse_services(wg_config* c, const json_t* list, GError** error) {
    if (!json_is_array(list)) {
        return wg_config_fail(error, "services", NULL, "must be an array");
    }
    c->services = g_new0(wg_service, json_array_size(list) + 1);
    for (size_t i = 0; i < json_array_size(list); i++) {
        wg_service* service = &c->services[c->services_num];
        if (!wg_parse_service(json_array_get(list, i), service, error)) {
            g_free(service->name);
            return false;
        }
        if (wg_config_service(c, service->name) >= 0) {
            wg_config_fail(error, "service", service->name, "is defined twice");
            g_free(service->name);
            return false;
        }
        c->services_num++;
    }
    return true;
}

/* ---- routes -------------------------------------------------------------------------------- */

static bool wg_add_split(const wg_config* c, wg_route* route, const char* service, int64_t weight,
                         GError** error) {
    int index = service ? wg_config_service(c, service) : -1;
    if (index < 0) {
        return wg_config_fail(error, "route", route->name, "names an unknown service");
    }
    if (weight < 0 || weight > G_MAXINT / WG_SPLITS_MAX || route->splits_num == WG_SPLITS_MAX) {
        return wg_config_fail(error, "route", route->name, "has a wrong weight or too many splits");
    }
    route->splits[route->splits_num++] = (wg_split){index, (int)weight};
    route->weight_sum += (int)weight;
    if (weight > 0) {
        wg_service* split_service = &c->services[index];
        split_service->tightest_objective =
            MIN(split_service->tightest_objective, route->objective);
    }
    return true;
}

static bool wg_parse_splits(const wg_config* c, wg_route* route, const json_t* json,
                            GError** error) {
    const json_t* list = json_object_get(json, "split");
    if (!json_is_array(list)) {
        return wg_add_split(c, route, wg_json_text(json, "service"), 1, error);
    }
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t* part = json_array_get(list, i);
        if (!wg_add_split(c, route, wg_json_text(part, "service"),
                          wg_json_number(part, "weight", -1), error)) {
            return false;
        }
    }
    if (route->weight_sum <= 0) {
        return wg_config_fail(error, "route", route->name, "has weights that add up to 0");
    }
    return true;
}

static bool wg_parse_kind(wg_route* route, const char* kind, GError** error) {
    static const char* const names[] = {[WG_ROUTE_KIND_UNSAFE] = "unsafe",
                                        [WG_ROUTE_KIND_SAFE] = "safe",
                                        [WG_ROUTE_KIND_STREAM] = "stream"};
    for (size_t i = 0; kind && i < G_N_ELEMENTS(names); i++) {
        if (strcmp(kind, names[i]) == 0) {
            route->kind = (wg_route_kind)i;
            return true;
        }
    }
    return wg_config_fail(error, "route", route->name, "has an unknown kind");
}

static bool wg_parse_route(const wg_config* c, const json_t* json, wg_route* route,
                           GError** error) {
    const char* host = wg_json_text(json, "host");
    const char* prefix = wg_json_text(json, "path_prefix");
    route->name = g_strdup(wg_json_text(json, "name"));
    if (!route->name || !host || !prefix || prefix[0] != '/') {
        return wg_config_fail(error, "route", route->name,
                              "must have a name, a host and a path_prefix that begins with /");
    }
    route->host = g_ascii_strdown(host, -1);
    route->prefix = g_strdup(prefix);
    route->timeout = wg_json_number(json, "timeout_ms", 0) * WG_USEC_PER_MSEC;
    if (route->timeout <= 0) {
        return wg_config_fail(error, "route", route->name, "must have timeout_ms above 0");
    }
    route->objective = wg_json_number(json, "objective_ms", 0) * WG_USEC_PER_MSEC;
    route->objective = route->objective > 0 ? route->objective : route->timeout;
    route->pause = wg_json_number(json, "pause_ms", WG_PAUSE_MS_DEFAULT) * WG_USEC_PER_MSEC;
    route->attempts = (int)CLAMP(wg_json_number(json, "attempts", 1), 1, WG_ATTEMPTS_MAX);
    route->priority = (int)wg_json_number(json, "priority", WG_PRIORITY_DEFAULT);
    route->open = json_is_true(json_object_get(json, "open"));
    route->affinity = json_is_true(json_object_get(json, "affinity"));
    route->resumable = json_is_true(json_object_get(json, "resumable"));
    return wg_parse_kind(route, wg_json_text(json, "kind"), error) &&
           wg_parse_splits(c, route, json, error);
}

static void wg_route_clear(wg_route* route) {
    g_free(route->name);
    g_free(route->host);
    g_free(route->prefix);
}

static int wg_compare_prefixes(const void* a, const void* b) {
    const wg_route* first = *(wg_route* const*)a;
    const wg_route* second = *(wg_route* const*)b;
    size_t first_size = strlen(first->prefix);
    size_t second_size = strlen(second->prefix);
    return first_size == second_size  ? strcmp(first->prefix, second->prefix)
           : first_size > second_size ? -1
                                      : 1;
}

static bool wg_index_routes(wg_config* c, GError** error) {
    for (int i = 0; i < c->routes_num; i++) {
        wg_route* route = &c->routes[i];
        GPtrArray* list = g_hash_table_lookup(c->hosts, route->host);
        if (!list) {
            list = g_ptr_array_new();
            g_hash_table_insert(c->hosts, route->host, list);
        }
        g_ptr_array_add(list, route);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        GPtrArray* list = value;
        g_ptr_array_sort(list, wg_compare_prefixes);
        for (guint i = 1; i < list->len; i++) {
            const wg_route* previous = list->pdata[i - 1];
            const wg_route* route = list->pdata[i];
            if (strcmp(previous->prefix, route->prefix) == 0) {
                return wg_config_fail(error, "route", route->name,
                                      "shares host and prefix with another route");
            }
        }
    }
    return true;
}

static bool wg_parse_routes(wg_config* c, const json_t* list, GError** error) {
    if (!json_is_array(list) || json_array_size(list) > WG_ROUTES_MAX) {
        return wg_config_fail(error, "routes", NULL,
                              "must be an array within the maximum number of routes");
    }
    c->routes = g_new0(wg_route, json_array_size(list) + 1);
    for (size_t i = 0; i < json_array_size(list); i++) {
        wg_route* route = &c->routes[c->routes_num++];
        if (!wg_parse_route(c, json_array_get(list, i), route, error)) {
            return false;
        }
        if (route->kind == WG_ROUTE_KIND_STREAM) {
            c->stream_timeout_max = MAX(c->stream_timeout_max, route->timeout);
        }
    }
    return wg_index_routes(c, error);
}

/* ---- workspaces ---------------------------------------------------------------------------- */

static bool wg_parse_weight(const json_t* json, wg_workspace* workspace, GError** error) {
    const json_t* value = json_object_get(json, "weight");
    workspace->weight = value ? json_number_value(value) : 1;
    if (workspace->weight >= WG_FAIR_WEIGHT_MIN && workspace->weight <= WG_FAIR_WEIGHT_MAX) {
        return true;
    }
    return wg_config_fail(error, "workspace", workspace->name,
                          "weight must be a number from 0.01 to 100");
}

static bool wg_parse_queue_max(const json_t* json, wg_workspace* workspace, GError** error) {
    const json_t* value = json_object_get(json, "queue_ms");
    workspace->queue_max = WG_TIME_NEVER;
    if (!value) {
        return true;
    }
    json_int_t queue_ms = json_integer_value(value);
    if (!json_is_integer(value) || queue_ms < 0 || queue_ms > WG_QUEUE_MS_MAX) {
        return wg_config_fail(error, "workspace", workspace->name,
                              "queue_ms must be a whole number from 0 to 600000");
    }
    workspace->queue_max = queue_ms * WG_USEC_PER_MSEC;
    return true;
}

static bool wg_parse_workspace(wg_config* c, const json_t* json, wg_workspace* workspace,
                               GError** error) {
    const char* name = wg_json_text(json, "name");
    const json_t* keys = json_object_get(json, "keys");
    if (!name || !name[0] || !json_is_array(keys)) {
        return wg_config_fail(error, "workspace", name, "must have a name and an array of keys");
    }
    workspace->name = g_strdup(name);
    workspace->hash = wg_hash(name, strlen(name), 0);
    workspace->priority = (int)wg_json_number(json, "priority", -1);
    if (!wg_parse_weight(json, workspace, error) || !wg_parse_queue_max(json, workspace, error)) {
        return false;
    }
    for (size_t i = 0; i < json_array_size(keys); i++) {
        const char* key = json_string_value(json_array_get(keys, i));
        if (!key || !key[0]) {
            return wg_config_fail(error, "workspace", name,
                                  "has a key that is empty or not a string");
        }
        const wg_workspace* other = g_hash_table_lookup(c->keys, key);
        if (other && other != workspace) {
            return wg_config_fail(error, "workspace", name, "shares a key with another workspace");
        }
        if (!other) {
            g_hash_table_insert(c->keys, g_strdup(key), workspace);
        }
    }
    return true;
}

static bool wg_parse_workspaces(wg_config* c, const json_t* list, GError** error) {
    if (!list) {
        return true;
    }
    if (!json_is_array(list)) {
        return wg_config_fail(error, "workspaces", NULL, "must be an array");
    }
    c->workspaces = g_new0(wg_workspace, json_array_size(list) + 1);
    for (size_t i = 0; i < json_array_size(list); i++) {
        wg_workspace* workspace = &c->workspaces[c->workspaces_num++];
        if (!wg_parse_workspace(c, json_array_get(list, i), workspace, error)) {
            return false;
        }
    }
    return true;
}

static void wg_parse_limits(wg_config* c, const json_t* json) {
    c->limits = (wg_config_limits){
        .head_bytes = wg_json_number(json, "head_bytes", WG_HEAD_BYTES_DEFAULT),
        .body_bytes = wg_json_number(json, "body_bytes", WG_BODY_BYTES_DEFAULT),
        .head_time = wg_json_number(json, "head_ms", WG_HEAD_MS_DEFAULT) * WG_USEC_PER_MSEC,
        .idle_time = wg_json_number(json, "idle_ms", WG_IDLE_MS_DEFAULT) * WG_USEC_PER_MSEC,
        .tokens_per_second = wg_json_number(json, "tokens_per_second", 0)};
}

/* ---- public functions ---------------------------------------------------------------------- */

wg_config* wg_config_parse(const void* bytes, size_t size, GError** error) {
    json_error_t parse_error;
    json_t* json = json_loadb(bytes, size, JSON_REJECT_DUPLICATES, &parse_error);
    if (!json_is_object(json)) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "the document cannot be read: %s",
                    json ? "not an object" : parse_error.text);
        json_decref(json);
        return NULL;
    }
    wg_config* c = g_new0(wg_config, 1);
    c->references = 1;
    c->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
    c->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    const json_t* version = json_object_get(json, "version");
    bool good = json_is_integer(version) && json_integer_value(version) > 0;
    if (!good) {
        wg_config_fail(error, "configuration", NULL, "must have an integer version above 0");
    }
    c->version = good ? (uint64_t)json_integer_value(version) : 0;
    wg_parse_limits(c, json_object_get(json, "limits"));
    good = good && wg_parse_services(c, json_object_get(json, "services"), error) &&
           wg_parse_routes(c, json_object_get(json, "routes"), error) &&
           wg_parse_workspaces(c, json_object_get(json, "workspaces"), error);
    json_decref(json);
    if (!good) {
        wg_config_unref(c);
        return NULL;
    }
    return c;
}

wg_config* wg_config_ref(wg_config* config) {
    config->references++;
    return config;
}

void wg_config_unref(wg_config* c) {
    if (!c || --c->references > 0) {
        return;
    }
    for (int i = 0; i < c->routes_num; i++) {
        wg_route_clear(&c->routes[i]);
    }
    for (int i = 0; i < c->services_num; i++) {
        g_free(c->services[i].name);
    }
    for (int i = 0; i < c->workspaces_num; i++) {
        g_free(c->workspaces[i].name);
    }
    g_free(c->routes);
    g_free(c->services);
    g_free(c->workspaces);
    g_hash_table_unref(c->hosts);
    g_hash_table_unref(c->keys);
    g_free(c);
}

const wg_route* wg_config_route(const wg_config* config, wg_text host, wg_text target) {
    char name[256];
    const char* colon = host.text ? memchr(host.text, ':', host.size) : NULL;
    size_t size = colon ? (size_t)(colon - host.text) : host.size;
    if (!host.text || size >= sizeof name) {
        return NULL;
    }
    for (size_t i = 0; i < size; i++) {
        name[i] = g_ascii_tolower(host.text[i]);
    }
    name[size] = 0;
    const GPtrArray* list = g_hash_table_lookup(config->hosts, name);
    const char* query = memchr(target.text, '?', target.size);
    size_t path = query ? (size_t)(query - target.text) : target.size;
    for (guint i = 0; list && i < list->len; i++) {
        const wg_route* route = list->pdata[i];
        size_t prefix = strlen(route->prefix);
        if (prefix <= path && memcmp(route->prefix, target.text, prefix) == 0) {
            return route;
        }
    }
    return NULL;
}

const wg_workspace* wg_config_workspace(const wg_config* config, wg_text key) {
    char text[256];
    if (!key.text || key.size == 0 || key.size >= sizeof text) {
        return NULL;
    }
    memcpy(text, key.text, key.size);
    text[key.size] = 0;
    return g_hash_table_lookup(config->keys, text);
}

int wg_config_service(const wg_config* config, const char* name) {
    for (int i = 0; i < config->services_num; i++) {
        if (strcmp(config->services[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

wg_time wg_config_cold_time_max(const wg_config* c) {
    wg_time max_cold_time = 0;
    for (int i = 0; i < c->services_num; i++) {
        max_cold_time = MAX(max_cold_time, c->services[i].cold_time);
    }
    return max_cold_time;
}

int wg_route_pick(const wg_route* route, uint64_t random) {
    int at = (int)(random % (uint64_t)route->weight_sum);
    for (int i = 0; i < route->splits_num; i++) {
        at -= route->splits[i].weight;
        if (at < 0) {
            return route->splits[i].service;
        }
    }
    return route->splits[0].service;
}

bool wg_route_is_repeatable(const wg_route* route) {
    return route->kind == WG_ROUTE_KIND_SAFE ||
           (route->kind == WG_ROUTE_KIND_STREAM && route->resumable);
}
