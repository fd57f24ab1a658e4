/* wg_router.c -- setup, configuration, tick and planned stop; see wg_router.h */
#include "wg_router_internal.h"

#include <string.h>
#include <sys/random.h>

/* ---- settings ------------------------------------------------------------------------------ */

#define _NUMBER(group, field, def, min, max, unit, help)                                           \
    WGI_NUMBER(wgro_settings, group, field, def, min, max, unit, help)
#define _TEXT(kind, group, field, def, help) WGI_TEXT(wgro_settings, kind, group, field, def, help)

const wgi_key wgro_keys[] = {
    _TEXT(TEXT, "router", name, NULL, "name of this router, unique in the fleet"),
    _TEXT(TEXT, "router", data_centre, "", "data centre of this router"),
    _TEXT(ADDRESS, "router", callers_listen, NULL, "address that callers connect to"),
    _TEXT(ADDRESS, "router", callers_address, "",
          "address advertised to callers, if it differs from callers_listen"),
    _TEXT(ADDRESS, "router", operators_listen, "127.0.0.1:7300",
          "address that operators connect to"),
    _TEXT(LIST, "router", controls, NULL, "all controls as name@ip:port"),
    _TEXT(SECRET, "keys", fleet_key, NULL, "file with the key that all fleet processes share"),
    _TEXT(SECRET, "keys", operator_key, NULL, "file with the operators' key"),
    _TEXT(TEXT, "log", log_level, "info", "debug, info, warn or error"),
    _TEXT(TEXT, "log", log_target, "stderr", "stderr or a file"),
    _TEXT(TEXT, "table", rows, "all",
          "all: hold the rows of all workspaces; demand: fetch a row when its key is first used"),
    _TEXT(TEXT, "table", lease_lost, "refuse",
          "without a table lease: refuse new requests, or serve with a table that may be stale"),
    _TEXT(TEXT, "platform", hosts_url, "",
          "http:// URL of the platform's list of live and leaving hosts"),
    _NUMBER("platform", hosts_ms, "1000", 100, 60000, "ms",
            "time between two polls of the host list"),
    _NUMBER("limits", target_rest_max_s, "3600", 1, 86400, "s",
            "longest backoff that a target may request by Retry-After; longer ones are clamped"),
    _NUMBER("limits", calls_max, "4096", 16, 60000, "requests",
            "requests running or waiting at once"),
    _NUMBER("limits", head_max, "16384", 1024, 1048576, "bytes", "request line and headers"),
    _NUMBER("limits", body_max, "4194304", 1024, 1073741824, "bytes", "body of a request"),
    _NUMBER("limits", files_max, "16384", 64, 1000000, "files",
            "open files (one per connection) above which no new connections are accepted"),
    _NUMBER("limits", idle_s, "60", 1, 3600, "s", "idle timeout of a caller's connection"),
    _NUMBER("limits", high_water, "262144", 4096, 67108864, "bytes",
            "unsent bytes of an answer above which reading from the target pauses"),
    WGI_REAL(wgro_settings, "limits", held_mb, "0", 0, 1000000, "MB",
             "maximum size of what all connections of callers hold; 0: a quarter of the machine's "
             "memory"),
    _NUMBER("control", report_ms, "200", 20, 1000, "ms", "time between two reports to the leader"),
    _NUMBER("control", report_gap_ms, "20", 1, 1000, "ms", "shortest time between two reports"),
    _NUMBER("control", budget_bytes, "6000", 500, 100000000, "bytes/s",
            "control traffic of this router, both directions"),
    _NUMBER("control", entry_keep_ms, "5000", 100, 3600000, "ms",
            "how long callers may cache an answer about entry hosts"),
    _NUMBER("control", claim_wait_ms, "3000", 100, 60000, "ms",
            "longest wait for the claim of an idempotency key"),
    _NUMBER("control", stop_wait_ms, "1000", 0, 600000, "ms",
            "planned stop: time to keep serving after entry_keep_ms"),
    _NUMBER("control", grace_ms, "8000", 0, 3600000, "ms",
            "planned stop: it ends by then; requests are refused after 35% of it; 0: no limit"),
    _NUMBER("control", urgent_reserve, "1", 1, 1000, "requests",
            "urgent requests beyond the leased slots, per service"),
};
const int wgro_keys_num = G_N_ELEMENTS(wgro_keys);

/* ---- configuration ------------------------------------------------------------------------- */

int _wgro_find_service(const wgro_router* r, const char* name) {
    for (int i = 0; i < r->services_num; i++) {
        if (r->services[i].live && strcmp(r->services[i].row.name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static int _wgro_get_service(wgro_router* r, const wgt_row* row) {
    for (int i = 0; i < r->services_num; i++) {
        if (r->services[i].row.id == row->id) {
            return i;
        }
    }
    if (r->services_num == _WGRO_SERVICES_MAX) {
        return -1;
    }
    _wgro_service_t* service = &r->services[r->services_num];
    service->queue = wgq_setup(
        &(wgq_desc){.requests_max = (int)r->settings->calls_max, .first_cost = row->service.cost},
        NULL);
    return r->services_num++;
}

static void _wgro_configure_services(wgro_router* r) {
    for (int i = 0; i < r->services_num; i++) {
        r->services[i].live = false;
    }
    int at = -1;
    for (const wgt_row* row; (row = wgt_next(r->table, WGT_KIND_SERVICE, &at));) {
        int i = _wgro_get_service(r, row);
        if (i >= 0) {
            r->services[i].row = *row;
            r->services[i].live = true;
        }
    }
}

static void _wgro_configure_targets(wgro_router* r) {
    wgp_config_begin(r->place);
    int at = -1;
    for (const wgt_row* row; (row = wgt_next(r->table, WGT_KIND_TARGET, &at));) {
        const wgt_row* service = wgt_find(r->table, WGT_KIND_SERVICE, row->target.service);
        if (service) {
            wgp_config_target(r->place, row->id, service->id, row->name, row->target.address,
                              row->target.data_centre, (int)row->target.slots,
                              row->target.leaving != 0, row->version);
        }
    }
    wgp_config_end(r->place);
}

static void _wgro_configure_weights(wgro_router* r) {
    int at = -1;
    for (const wgt_row* row; (row = wgt_next(r->table, WGT_KIND_WORKSPACE, &at));) {
        if (row->version <= r->configured_version) {
            continue;
        }
        for (int i = 0; i < r->services_num; i++) {
            wgq_set_weight(r->services[i].queue, row->id, row->workspace.weight);
        }
    }
}

void _wgro_configure(wgro_router* r) {
    _wgro_configure_services(r);
    _wgro_configure_targets(r);
    _wgro_configure_weights(r);
    r->configured_version = wgt_version(r->table);
}

bool _wgro_in_force(wgro_router* r, wg_time now) {
    bool serve_on = strcmp(r->settings->lease_lost, "serve") == 0 && r->configured_version > 0;
    return now < r->table_lease_until || serve_on;
}

enum {
    /* Requests that come later in a planned stop are refused: of the grace period, enough is left
       for most of those that were taken. */
    _WGRO_STOP_TAKES_PERCENT = 35,
    _WGRO_STOP_MARGIN = 250 * WG_USEC_PER_MSEC /* to exit before the grace period ends */
};

/* ---- tick and stop -------------------------------------------------------------------------- */

static void _wgro_update_lease_state(wgro_router* r, wg_time now) {
    bool in_force = _wgro_in_force(r, now);
    if (in_force != r->table_in_force) {
        r->table_in_force = in_force;
        wg_log(in_force ? WG_EVENT_TABLE_LEASE_HELD : WG_EVENT_TABLE_LEASE_LOST,
               "version=%" G_GUINT64_FORMAT, wgt_version(r->table));
        if (!in_force) {
            _wgro_fail_queued(r);
        }
    }
}

/* Whether callers have taken their answers. Those that do not read are waited for until the end of
   the grace period. */
static bool _wgro_replies_are_sent(const wgro_router* r, wg_time now) {
    return r->replies_unsent == 0 || now >= r->stop_at + r->settings->grace_ms * WG_USEC_PER_MSEC;
}

/* Microseconds of a planned stop that are left, at least 0. */
static wg_time _wgro_stop_time_left(const wgro_router* r, wg_time now) {
    wg_time end = r->stop_at + r->settings->grace_ms * WG_USEC_PER_MSEC - _WGRO_STOP_MARGIN;
    return MAX(end - now, 0);
}

bool _wgro_refuses_new(const wgro_router* r, wg_time now) {
    wg_time grace = r->settings->grace_ms * WG_USEC_PER_MSEC;
    wg_time taken = grace * _WGRO_STOP_TAKES_PERCENT / 100;
    return r->stopping && grace > 0 && now - r->stop_at > taken;
}

/* Leaves the event loop once every entry-host answer that names this router has expired, no call,
   claim or parked request remains, and callers have taken their answers; at the end of the grace
   period in any case. */
static void _wgro_stop_tick(wgro_router* r, wg_time now) {
    if (r->settings->grace_ms > 0 && _wgro_stop_time_left(r, now) == 0) {
        wg_log(WG_EVENT_STOP_HURRIED, "cut_off=%d", r->calls_pool.used);
        event_base_loopbreak(r->base);
        return;
    }
    wg_time kept = (r->settings->entry_keep_ms + r->settings->stop_wait_ms) * WG_USEC_PER_MSEC;
    if (now < r->stop_at + kept || r->calls_pool.used > 0 || g_hash_table_size(r->claim_ends) > 0 ||
        r->parked.length > 0 || !_wgro_replies_are_sent(r, now)) {
        return;
    }
    wg_log(WG_EVENT_STOP_DRAINED, "replies_unsent=%d", r->replies_unsent);
    event_base_loopbreak(r->base);
}

static void _wgro_on_tick(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wgro_router* r = user_data;
    wg_time now = wg_now();
    _wgro_link_tick(r, now);
    _wgro_update_lease_state(r, now);
    _wgro_expire(r, now);
    _wgro_fail_backoff_waits(r, now);
    _wgro_parked_tick(r, now);
    _wgro_hosts_tick(r, now);
    wgh_update_accepting(&r->callers, r->settings->files_max);
    _wgro_dispatch(r);
    if (r->stopping) {
        _wgro_stop_tick(r, now);
    }
}

/* ---- public functions --------------------------------------------------------------------- */

static uint64_t _wgro_random(void) {
    uint64_t value;
    if (getrandom(&value, sizeof value, 0) != (ssize_t)sizeof value) {
        wg_assert_failed("getrandom", __FILE__, __LINE__);
    }
    return value | 1;
}

static bool _wgro_check_settings(const wgro_settings* s, GError** error) {
    const char* wrong = NULL;
    if (strcmp(s->rows, "all") != 0 && strcmp(s->rows, "demand") != 0) {
        wrong = "[table] rows: must be all or demand";
    } else if (strcmp(s->lease_lost, "refuse") != 0 && strcmp(s->lease_lost, "serve") != 0) {
        wrong = "[table] lease_lost: must be refuse or serve";
    }
    if (wrong) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "%s", wrong);
    }
    return wrong == NULL;
}

static bool _wgro_setup_parts(wgro_router* r, GError** error) {
    const wgro_settings* s = r->settings;
    wgp_desc place = {.seed = r->seed,
                      .backoff_max = s->target_rest_max_s * WG_USEC_PER_SEC,
                      .reserve = (int)s->urgent_reserve};
    wg_copy_name(place.data_centre, sizeof place.data_centre, s->data_centre);
    r->table = wgt_setup(&(wgt_desc){0}, error);
    r->members = wgm_setup(&(wgm_desc){0}, error);
    r->place = wgp_setup(&place, error);
    r->conns = g_hash_table_new(g_direct_hash, g_direct_equal);
    wg_pool_setup(&r->calls_pool, &(wg_pool_desc){.capacity = (int)s->calls_max});
    r->calls = g_new0(_wgro_call_t, s->calls_max);
    g_queue_init(&r->parked);
    wg_copy_name(r->callers_address, sizeof r->callers_address,
                 s->callers_address[0] ? s->callers_address : s->callers_listen);
    return r->table && r->members && r->place;
}

wgro_router* wgro_setup(const wgro_desc* desc, GError** error) {
    if (!_wgro_check_settings(desc->settings, error)) {
        return NULL;
    }
    wgro_router* r = g_new0(wgro_router, 1);
    r->settings = desc->settings;
    r->base = desc->base;
    r->seed = _wgro_random();
    r->incarnation = _wgro_random();
    r->counter = r->incarnation >> 16;
    r->started_at = wg_now();
    wgf_pacer_setup(&r->pacer,
                    &(wgf_pacer_desc){.now = r->started_at,
                                      .interval = r->settings->report_ms * WG_USEC_PER_MSEC,
                                      .min_interval = r->settings->report_gap_ms * WG_USEC_PER_MSEC,
                                      .budget = r->settings->budget_bytes});
    if (!_wgro_setup_parts(r, error) || !_wgro_accept_setup(r, error) ||
        !_wgro_operators_setup(r, error) || !_wgro_link_setup(r, error)) {
        wgro_shutdown(r);
        return NULL;
    }
    r->tick = event_new(r->base, -1, EV_PERSIST, _wgro_on_tick, r);
    struct timeval period = {.tv_usec = 10 * WG_USEC_PER_MSEC};
    event_add(r->tick, &period);
    return r;
}

void wgro_shutdown(wgro_router* r) {
    if (r->tick) {
        event_free(r->tick);
    }
    wgh_close(&r->callers);
    wgh_close(&r->operators);
    if (r->hosts_exchange) {
        wg_exchange_close(r->hosts_exchange);
    }
    if (r->net) {
        r->link = (wgn_link){0};
        wgn_shutdown(r->net);
    }
    if (r->conns) {
        _wgro_conns_shutdown(r);
    }
    for (int i = 0; i < r->services_num; i++) {
        wgq_shutdown(r->services[i].queue);
    }
    if (r->calls) {
        for (int i = 0; i < r->calls_pool.capacity; i++) {
            if (r->calls[i].timer) {
                event_free(r->calls[i].timer);
            }
        }
        g_free(r->calls);
        wg_pool_shutdown(&r->calls_pool);
    }
    if (r->place) {
        wgp_shutdown(r->place);
        wgm_shutdown(r->members);
        wgt_shutdown(r->table);
    }
    if (r->claim_ends) {
        g_hash_table_unref(r->claim_ends);
        g_hash_table_unref(r->held_reported);
    }
    g_free(r);
}

void wgro_stop(wgro_router* r) {
    if (r->stopping) {
        _wgro_abort_all(r);
        event_base_loopbreak(r->base);
        return;
    }
    r->stopping = true;
    r->stop_at = wg_now();
    wg_log(WG_EVENT_STOP_BEGUN, "at_work=%d", r->calls_pool.used);
    _wgro_report_soon(r);
}
