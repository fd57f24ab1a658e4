/* wg_entry.c -- settings, setup, periodic tick and planned stop; see wg_entry.h */
#include "wg_entry_internal.h"

#include <string.h>
#include <sys/random.h>

/* ---- settings ------------------------------------------------------------------------------- */

#define WG_NUMBER(group, field, def, min, max, unit, help)                                         \
    WGI_NUMBER(wg_entry_settings, group, field, def, min, max, unit, help)
#define WG_REAL(group, field, def, min, max, unit, help)                                           \
    WGI_REAL(wg_entry_settings, group, field, def, min, max, unit, help)
#define WG_TEXT(kind, group, field, def, help)                                                     \
    WGI_TEXT(wg_entry_settings, kind, group, field, def, help)

const wgi_key wg_entry_keys[] = {
    WG_TEXT(TEXT, "entry", name, NULL, "name of this entry host, unique in the fleet"),
    WG_TEXT(TEXT, "entry", data_centre, "", "data centre of this entry host"),
    WG_TEXT(ADDRESS, "entry", callers_listen, NULL, "address that callers connect to"),
    WG_TEXT(ADDRESS, "entry", ready_listen, NULL, "address for readiness checks and metrics"),
    WG_TEXT(ADDRESS, "entry", entry_listen, NULL,
            "address at which callers request the list of entry hosts"),
    WG_TEXT(ADDRESS, "entry", orders_listen, NULL,
            "address that operators and targets send orders to"),
    WG_TEXT(LIST, "entry", seeds, NULL, "ip:port of some controls; the port is ignored"),
    WG_NUMBER("entry", fleet_port, "7100", 1, 65535, "", "port of fleet_listen on all controls"),
    WG_TEXT(ADDRESS, "entry", fleet_listen, NULL,
            "address that other fleet processes connect to; the port must be the same on all entry "
            "hosts"),
    WG_TEXT(SECRET, "keys", fleet_key, NULL, "file with the key that all fleet processes share"),
    WG_TEXT(TEXT, "log", log_level, "info", "debug, info, warn or error"),
    WG_TEXT(TEXT, "log", log_target, "stderr", "stderr, stdout or a file"),
    WG_NUMBER("timing", entry_keep_s, "1", 1, 3600, "s",
              "how long callers may cache an answer about entry hosts"),
    WG_REAL("timing", grace_s, "8", 1, 3600, "s",
            "longest planned stop; requests still running shortly before its end are aborted"),
    WG_NUMBER("timing", link_silence_ms, "1200", 300, 60000, "ms",
              "time without contact after which the link to a control is closed"),
    WG_REAL("timing", configuration_ms, "2000", 0, 60000, "ms",
            "time after the acknowledgement of a configuration within which each host in contact "
            "obeys it; a host without word of a leader for most of it looks for one before it "
            "decides; 0: it decides by what it has"),
    WG_REAL(
        "timing", drain_ms, "0", 0, 600000, "ms",
        "how long targets serve on at least after their leaving was acknowledged: one that ends "
        "before has crashed; 0: not known, each target that has deregistered ends as planned"),
    WG_NUMBER("timing", order_ms, "900", 50, 60000, "ms",
              "longest wait for the leader's answer to an order"),
    /* Covers an election (0.5 s) and the 1.5 s after which a new leader distributes the roster,
       with some room. */
    WG_NUMBER(
        "timing", cold_settle_ms, "3000", 0, 60000, "ms",
        "time after the start during which this host neither sends requests to cold targets nor "
        "grants them to others"),
    /* Longer than the fleet needs to recover from a fault by itself. */
    WG_NUMBER("timing", standby_ms, "15000", 0, 3600000, "ms",
              "wait for a leader before this host uses the state of a replica that has no leader "
              "either; 0: never"),
    /* Longer than a handshake between data centres. */
    WG_NUMBER("timing", recovery_query_ms, "150", 1, 60000, "ms",
              "wait after the start for other entry hosts to tell of a forced recovery, before a "
              "leader is followed; a seed that is down delays a start by this"),
    WG_NUMBER("retry", retry_percent, "20", 0, 100, "%",
              "retries of the whole fleet, relative to first sends"),
    WG_REAL("retry", retry_slack, "20", 0, 1000000, "sends",
            "additional retries of the whole fleet per window"),
    WG_NUMBER("retry", retry_window_ms, "10000", 100, 600000, "ms", "window of the retry budget"),
    WG_NUMBER(
        "limits", callers_max, "3000", 1, 1000000, "",
        "maximum number of callers' connections; the longest idle one is closed for a new one"),
    WG_NUMBER("limits", target_rest_max_s, "3600", 1, 86400, "s",
              "longest backoff that a target may request by Retry-After; longer ones are clamped"),
    WG_NUMBER("limits", descriptors, "0", 0, 1000000, "",
              "descriptor limit of the process; bounds callers_max; 0: unknown"),
    WG_NUMBER("limits", spare_descriptors, "0", 0, 1, "",
              "1: idle connections are closed and requests refused before descriptors run out; 0: "
              "only callers' connections are bounded"),
    WG_REAL("limits", memory_mb, "0", 0, 1000000, "MB",
            "memory limit of the process; bounds data queued on links; 0: unknown"),
    WG_NUMBER("admission", learn_base, "0", 0, 1, "",
              "1: learn the time to a target's first event besides reading, and any speed; 0: a "
              "fixed time and a bounded speed"),
    WG_NUMBER("admission", room_wait_ms, "0", 0, 60000, "ms",
              "reading time up to which a target with free slots has room; the leader has to tell "
              "room as well, by its own setting of this name; 0: only idle targets have room"),
    WG_NUMBER("admission", route_limits, "0", 0, 1, "",
              "1: a prompt may take its own route's objective; 0: the tightest one of the service"),
    WG_NUMBER("admission", hold_percent, "0", 0, 90, "%",
              "longest wait for room at a coordinator, relative to the objective; 0: none"),
    WG_NUMBER(
        "admission", retry_after_percent, "0", 0, 100, "%",
        "longest time after which a refused caller is asked to retry, relative to what is left "
        "of the objective; 0: 100 to 300 ms"),
    WG_NUMBER("admission", refuse_over_share, "0", 0, 1, "",
              "1: a workspace that is far above its share is refused at once, with the time after "
              "which it may send again; 0: its requests wait in the queue first"),
    WG_NUMBER("handoff", handoff_delay_ms, "0", 0, 60000, "ms",
              "delay of callers' input from which requests are handed off to other hosts of the "
              "data centre; 0: never"),
    WG_NUMBER("overload", input_delay_ms, "0", 0, 60000, "ms",
              "delay of callers' input above which requests are refused on arrival; 0: never"),
    WG_REAL("limits", held_mb, "0", 0, 1000000, "MB",
            "maximum size of what is held for callers: answers not read, input, heads and bodies; "
            "0: a quarter of memory_mb, or of the machine's memory"),
    WG_REAL("limits", ports_held_mb, "0", 0, 1000000, "MB",
            "maximum size of what connections to each of ready_listen, entry_listen and "
            "orders_listen hold, at least one order of the largest size; 0: a sixteenth of "
            "memory_mb, or of the machine's memory"),
    WG_NUMBER("limits", port_connections, "0", 0, 1000000, "",
              "maximum number of connections to each of these; the longest idle one is closed for "
              "a new one; 0: an eighth of descriptors, at least 64, or 1024 if that is not known"),
    WG_NUMBER("limits", unread_ms, "0", 0, 600000, "ms",
              "time without reading after which a caller or target may be disconnected; 0: never"),
};
const int wg_entry_keys_num = G_N_ELEMENTS(wg_entry_keys);

static const wg_entry_names wg_default_names = {.request_id = "Walnutgate-Request",
                                                .key = "Walnutgate-Key",
                                                .deadline = "Walnutgate-Deadline-Ms",
                                                .prompt_parts = "Walnutgate-Prompt-Parts",
                                                .prompt_tokens = "Walnutgate-Prompt-Tokens",
                                                .last_event = "Last-Event-ID",
                                                .resumes = "Walnutgate-Resumes",
                                                .workspace = "Walnutgate-Workspace",
                                                .expected_target = "Walnutgate-Expect-Target",
                                                .copy_from = "Walnutgate-Copy-From",
                                                .not_run = "Target-Not-Run",
                                                .draining = "Target-Leaving",
                                                .target_version = "Target-Version",
                                                .cache_list = "/v1/cache",
                                                .state = "/v1/state",
                                                .query_data_centre = "data_centre"};

enum {
    WG_TICK = 50 * WG_USEC_PER_MSEC,
    WG_LOG_LINES_MAX = 200,    /* lines about requests, per second */
    WG_DENIAL_LINES_MAX = 100, /* lines about denied requests, per second */
    WG_STOP_CLOSE_DELAY = 300 * WG_USEC_PER_MSEC,
    WG_STOP_REFUSE_AFTER = 2800 * WG_USEC_PER_MSEC,
    WG_STOP_MARGIN = 250 * WG_USEC_PER_MSEC /* time to exit before the grace period ends */
};

/* ---- helpers -------------------------------------------------------------------------------- */

bool wg_entry_is_ready(const wg_entry* e) {
    return e->config && e->registry_known && !e->stopping;
}

static wg_time wg_entry_stop_time(const wg_entry* e) {
    return (wg_time)(e->settings->grace_s * WG_USEC_PER_SEC) - WG_STOP_MARGIN;
}

bool wg_entry_refuses_new(const wg_entry* e, wg_time duration) {
    wg_time since = wg_now() - e->stop_at;
    return e->stopping &&
           (since > WG_STOP_REFUSE_AFTER || since + duration > wg_entry_stop_time(e));
}

static bool wg_entry_take_log_line(wg_entry* e, wg_log_limit* limit, wg_time now, int max,
                                   const char* kind) {
    int left_out;
    bool may = wg_log_limit_take(limit, now, max, &left_out);
    if (left_out > 0) {
        wg_log(WG_EVENT_LOG_SHORTENED, "left_out=%d kind=%s", left_out, kind);
    }
    e->counters.log_lines_dropped += !may;
    return may;
}

bool wg_entry_may_log(wg_entry* e, wg_time now) {
    return wg_entry_take_log_line(e, &e->log_limit, now, WG_LOG_LINES_MAX, "requests");
}

bool wg_entry_may_log_denial(wg_entry* e, wg_time now) {
    return wg_entry_take_log_line(e, &e->denial_log_limit, now, WG_DENIAL_LINES_MAX, "denials");
}

int64_t wg_entry_state_age_ms(const wg_entry* e, wg_time now) {
    return e->heard_at ? (now - e->heard_at) / WG_USEC_PER_MSEC : -1;
}

int64_t wg_entry_confirmed_ms(const wg_entry* e, wg_time now) {
    wg_time age = wg_lease_age(&e->lease, now);
    return age < 0 ? -1 : age / WG_USEC_PER_MSEC;
}

static void wg_entry_advance_retries(wg_entry* e) {
    wg_retry_rules rules = {.percent = e->settings->retry_percent,
                            .slack = e->settings->retry_slack,
                            .window = e->settings->retry_window_ms * WG_USEC_PER_MSEC,
                            .hosts = MAX(wg_roster_num(e->roster), 3)};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, e->retries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_retry_refill(value, WG_TICK, &rules);
    }
}

/* Ends the loop when no call is in progress, no request is unread, no caller waits to be accepted,
   all answers are received, and no caller can still have an entry answer that names this host; at
   the latest at the end of the grace period, for callers that do not read. */
static void wg_entry_stop_tick(wg_entry* e, wg_time now) {
    wg_time stop_max = wg_entry_stop_time(e);
    wg_time stop_min = 3 * e->settings->entry_keep_s * WG_USEC_PER_SEC + WG_STOP_CLOSE_DELAY;
    wg_time since = now - e->stop_at;
    bool over =
        since >= stop_max || (since >= stop_min && e->calls_num == 0 && e->unsure.length == 0 &&
                              wg_entry_accepts(e) && !wg_client_any_sending(e) &&
                              wg_client_undelivered(e) == 0 && wg_entry_handoff_is_drained(e));
    if (!over) {
        return;
    }
    wg_log(WG_EVENT_STOP_DRAINED, "calls=%d callers=%u undelivered=%zu after_ms=%" G_GINT64_FORMAT,
           e->calls_num, e->clients->len, wg_client_undelivered(e), since / WG_USEC_PER_MSEC);
    event_base_loopbreak(e->base);
}

static void wg_entry_on_delay_probe(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_entry* e = user_data;
    wg_time now = wg_now();
    wg_time waited;
    if (wg_lag_monitor_record(&e->input_lag, now, now - e->probe_since, &waited)) {
        wg_log(WG_EVENT_LOOP_BEHIND, "waited_ms=%" G_GINT64_FORMAT " calls=%d callers=%u",
               waited / WG_USEC_PER_MSEC, e->calls_num, e->clients->len);
    }
    e->last_probe_since = e->probe_since;
    e->probe_since = 0;
}

wg_time wg_entry_input_delay(const wg_entry* e, wg_time now) {
    wg_time waits = e->probe_since ? now - e->probe_since : 0;
    return MAX(waits, e->input_lag.lag_last);
}

/* Queues an event of the same priority as callers' input to measure the delay of that input. Ticks
   and links have a higher priority and do not show it. */
static void wg_entry_queue_delay_probe(wg_entry* e, wg_time now) {
    if (!e->probe_since) {
        e->probe_since = now;
        event_active(e->delay_probe, EV_TIMEOUT, 1);
    }
}

static void wg_entry_on_tick(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_entry* e = user_data;
    wg_time now = wg_now();
    wg_time delay;
    if (wg_lag_monitor_tick(&e->tick_lag, now, WG_TICK, &delay)) {
        wg_log(WG_EVENT_LOOP_LATE, "late_ms=%" G_GINT64_FORMAT " calls=%d callers=%u",
               delay / WG_USEC_PER_MSEC, e->calls_num, e->clients->len);
    }
    if (e->tick_lag.lag_last > WG_LAG_LOG_MIN) {
        e->stall_ended_at = now;
        wg_buffers_record_stall(e->buffers, e->tick_lag.lag_last);
        wg_entry_recovery_record_stall(e, e->tick_lag.lag_last);
        wg_lease_record_stall(&e->lease, now);
        wg_entry_incarnations_record_stall(e, e->tick_lag.lag_last);
        wg_call_reset_timers(e, now);
    }
    wg_entry_link_tick(e, now);
    wg_entry_lease_tick(e, now);
    wg_entry_decay_usage(e, now);
    wg_entry_admit_tick(e, now);
    wg_entry_hold_tick(e, now);
    wg_entry_origins_tick(e, now);
    wg_entry_cache_tick(e, now);
    wg_entry_check_unresolved(e, now);
    wg_entry_ends_tick(e, now);
    wg_entry_quarantine_tick(e, now);
    wg_client_tick(e, now);
    wg_upstream_tick(e, now);
    wg_entry_buffers_tick(e, now);
    wg_entry_advance_retries(e);
    wg_call_queue_run(e);
    wg_entry_overload_tick(e, now);
    wg_entry_descriptors_tick(e, now);
    wg_entry_handoff_tick(e, now);
    wg_entry_queue_delay_probe(e, now);
    if (e->stopping) {
        wg_entry_stop_tick(e, now);
    }
}

static uint64_t wg_entry_random(void) {
    uint64_t value = 0;
    if (getrandom(&value, sizeof value, 0) != (ssize_t)sizeof value) {
        wg_assert_failed("getrandom", __FILE__, __LINE__);
    }
    return value;
}

/* ---- public functions ----------------------------------------------------------------------- */

wg_entry* wg_entry_setup(const wg_entry_desc* desc, GError** error) {
    wg_entry* e = g_new0(wg_entry, 1);
    e->settings = desc->settings;
    e->base = desc->base;
    e->names = desc->names ? desc->names : &wg_default_names;
    e->seed = wg_entry_random();
    e->fingerprint_seed = wg_fingerprint_seed(e->settings->fleet_key);
    e->started_at = wg_now();
    e->clients = g_ptr_array_new();
    e->taken_clients = g_ptr_array_new();
    e->relayed_events = evbuffer_new();
    e->relayed_bytes = evbuffer_new();
    e->idle = g_hash_table_new(NULL, NULL);
    e->queues =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_queue_free);
    e->retries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    e->usage = wg_usage_setup();
    e->room = wg_room_copy_setup();
    e->registry = wg_registry_setup(&(wg_registry_desc){0});
    e->roster = wg_roster_setup();
    e->backoff = wg_backoff_setup(&(wg_backoff_desc){
        .backoff_max = e->settings->target_rest_max_s * WG_USEC_PER_SEC, .seed = e->seed});
    e->balance = wg_balance_setup(&(wg_balance_desc){.data_centre = e->settings->data_centre,
                                                     .seed = e->seed,
                                                     .backoff = e->backoff,
                                                     .learn_base = e->settings->learn_base});
    e->admit = wg_admit_setup(&(wg_admit_desc){.learn_base = e->settings->learn_base});
    wg_entry_hold_setup(e);
    e->pending_admissions = g_hash_table_new(g_int64_hash, g_int64_equal);
    wg_entry_origins_setup(e);
    wg_entry_incarnations_setup(e);
    wg_entry_buffers_setup(e);
    e->hangups = wg_hangups_setup(e->base);
    wg_entry_turns_setup(e);
    wg_entry_cache_setup(e);
    wg_entry_check_setup(e);
    wg_entry_ends_setup(e);
    wg_entry_quarantine_setup(e);
    wg_entry_lease_setup(e);
    wg_entry_overload_setup(e);
    wg_entry_descriptors_setup(e);
    wg_entry_handoff_setup(e);
    g_queue_init(&e->orders);
    g_queue_init(&e->idle_upstreams);
    if (!wg_entry_link_setup(e, error) || !wg_entry_endpoints_setup(e, error) ||
        !wg_client_listen(e, error)) {
        wg_entry_shutdown(e);
        return NULL;
    }
    e->delay_probe = event_new(e->base, -1, 0, wg_entry_on_delay_probe, e);
    e->tick = event_new(e->base, -1, EV_PERSIST, wg_entry_on_tick, e);
    event_priority_set(e->tick, WGN_PRIORITY);
    struct timeval period = {.tv_usec = WG_TICK};
    event_add(e->tick, &period);
    return e;
}

void wg_entry_reload(wg_entry* e, const wg_entry_settings* settings) {
    wg_entry_add_seeds(e, settings, NULL);
}

void wg_entry_stop(wg_entry* e) {
    wg_time now = wg_now();
    if (e->stopping) {
        wg_log(WG_EVENT_STOP_HURRIED, "cut_off=%d", e->calls_num);
        event_base_loopbreak(e->base);
        return;
    }
    e->stopping = true;
    e->stop_at = now;
    wg_log(WG_EVENT_STOP_BEGUN, "calls=%d", e->calls_num);
    wg_entry_handoff_stop(e);
    wg_entry_report(e, now);
}

void wg_entry_shutdown(wg_entry* e) {
    wg_call_abort_all(e);
    if (e->tick) {
        event_free(e->tick);
        event_free(e->delay_probe);
    }
    if (e->listener) {
        evconnlistener_free(e->listener);
        e->listener = NULL; /* connections that close from here on do not resume it */
    }
    wg_entry_orders_drop(e);
    wg_upstream_shutdown(e);
    wg_entry_turns_shutdown(e);
    wgh_close(&e->ready_server);
    wgh_close(&e->entry_server);
    wgh_close(&e->orders_server);
    wg_entry_recovery_shutdown(e);
    if (e->net) {
        wgn_shutdown(e->net);
    }
    wg_entry_recovery_drop_delayed(e);
    wg_entry_cache_shutdown(e);
    wg_entry_check_shutdown(e);
    wg_entry_ends_shutdown(e);
    wg_entry_quarantine_shutdown(e);
    wg_entry_overload_shutdown(e);
    wg_entry_descriptors_shutdown(e);
    wg_entry_handoff_shutdown(e);
    wg_entry_hold_shutdown(e);
    wg_entry_origins_shutdown(e);
    wg_entry_incarnations_shutdown(e);
    wg_buffers_shutdown(e->buffers);
    wg_hangups_shutdown(e->hangups);
    wg_admit_shutdown(e->admit);
    wg_backoff_shutdown(e->backoff);
    g_hash_table_unref(e->pending_admissions);
    wg_balance_shutdown(e->balance);
    wg_registry_shutdown(e->registry);
    wg_roster_shutdown(e->roster);
    wg_config_unref(e->config);
    g_clear_pointer(&e->document, g_bytes_unref);
    g_ptr_array_unref(e->clients);
    g_ptr_array_unref(e->taken_clients);
    evbuffer_free(e->relayed_events);
    evbuffer_free(e->relayed_bytes);
    g_hash_table_unref(e->queues);
    g_hash_table_unref(e->retries);
    wg_usage_shutdown(e->usage);
    wg_room_copy_shutdown(e->room);
    g_free(e);
}
