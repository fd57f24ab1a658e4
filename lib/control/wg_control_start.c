/* wg_control_start.c -- opening the data folder, and suspension while the disk accepts no writes

   After a failed write a replica must not continue as if the data were stored. It discards its
   state in memory, as if the process had ended, and starts again from the data folder once
   writes succeed. Until then it neither votes nor acknowledges and keeps no links, so the other
   replicas go on without it and entry hosts connect to them. */
#include "wg_control_internal.h"

#include <string.h>
#include <sys/random.h>

enum {
    _WGCO_LOSSES_MAX = (WGR_REPLICAS_MAX - 1) / 2, /* limited by the size of a replica set */
    /* Interval between attempts to open the data folder; short compared with the time that a change
       may take to be acknowledged, long compared with an attempt. */
    WG_DISK_RETRY_INTERVAL = 200 * WG_USEC_PER_MSEC
};

static uint64_t _wgco_random(void) {
    uint64_t value = 0;
    while (value == 0) {
        if (getrandom(&value, sizeof value, 0) != (ssize_t)sizeof value) {
            wg_assert_failed("getrandom", __FILE__, __LINE__);
        }
    }
    return value;
}

bool wgco_init_folder(const wgco_settings* settings, GError** error) {
    wgs_store* store = wgs_open(&(wgs_desc){.folder = settings->data_folder,
                                            .fresh_identity = _wgco_random(),
                                            .fresh_cluster = _wgco_random()},
                                error);
    if (!store) {
        return false;
    }
    bool good = wgs_query_content(store)->fresh;
    if (!good) {
        g_set_error(error, WG_ERROR, WG_ERROR_CONFLICT,
                    "%s is in use already; a new cluster starts "
                    "from an empty folder",
                    settings->data_folder);
    } else {
        wgr_set set = {.num = 1};
        set.replicas[0].id = wgs_query_content(store)->identity;
        set.replicas[0].voter = true;
        wg_copy_name(set.replicas[0].name, WG_NAME_MAX, settings->name);
        wg_copy_name(set.replicas[0].address, WG_ADDRESS_MAX, settings->fleet_listen);
        GBytes* state = g_bytes_new(NULL, 0);
        good = wgs_save_hard_state(store, 1, 0, error) &&
               wgs_save_snapshot(store, 1, 1, &set, state, false, error);
        g_bytes_unref(state);
    }
    wgs_close(store);
    return good;
}

/* 0 with a fixed list of controls, where an operator replaces replicas. */
static wg_time _wgco_replica_timeout(const wgco_control* c) {
    const wgco_settings* s = c->settings;
    int64_t gone_ms = MAX(s->replica_gone_ms, s->election_max_ms);
    return c->discovers ? gone_ms * WG_USEC_PER_MSEC : 0;
}

static bool _wgco_open_state(wgco_control* c, GError** error) {
    const wgco_settings* s = c->settings;
    c->store = wgs_open(&(wgs_desc){.folder = s->data_folder,
                                    .fresh_identity = _wgco_random(),
                                    .log_keep = (int)s->log_keep},
                        error);
    if (!c->store) {
        return false;
    }
    const wgs_content* content = wgs_query_content(c->store);
    wg_log(WG_EVENT_STORE_OPENED, "identity=%016" G_GINT64_MODIFIER "x entries=%d fresh=%d",
           content->identity, content->restored.entries_num, content->fresh);
    if (content->tail_truncated) {
        wg_log(WG_EVENT_STORE_TAIL_CUT, "%s", "");
    }
    if (!_wgco_may_open_folder(content, error)) {
        return false;
    }
    c->registry = wg_registry_setup(&(wg_registry_desc){0});
    c->table = wgt_setup(&(wgt_desc){0}, error);
    c->claims = wgk_setup(
        &(wgk_desc){.claims_max = (int)s->claims_max, .keep_seconds = (int)s->claim_keep_s}, error);
    c->applied = content->restored.snapshot_index;
    c->log_bytes = 0;
    c->snapshot_bytes =
        content->restored.snapshot ? g_bytes_get_size(content->restored.snapshot) : 0;
    if (content->restored.snapshot && !_wgco_load_state(c, content->restored.snapshot)) {
        g_set_error(error, WG_ERROR, WG_ERROR_CORRUPT, "the snapshot's state cannot be read");
        return false;
    }
    c->node = wgr_setup(&(wgr_desc){.self = content->identity,
                                    .seed = _wgco_random(),
                                    .now = wg_now(),
                                    .restored = &content->restored,
                                    .election_min = s->election_min_ms * WG_USEC_PER_MSEC,
                                    .election_max = s->election_max_ms * WG_USEC_PER_MSEC,
                                    .heartbeat = s->heartbeat_ms * WG_USEC_PER_MSEC,
                                    .gone_after = _wgco_replica_timeout(c),
                                    .losses = (int)CLAMP(s->losses, 1, _WGCO_LOSSES_MAX),
                                    .log_keep = (int)s->log_keep},
                        error);
    wgs_release_content(c->store);
    return c->node != NULL;
}

static bool _wgco_open_links(wgco_control* c, GError** error) {
    const wgco_settings* s = c->settings;
    wgn_peer self = {.role = WGW_ROLE_CONTROL};
    self.identity = wgs_query_content(c->store)->identity;
    self.cluster = wgs_query_content(c->store)->cluster;
    self.incarnation = _wgco_random();
    bool fits = wg_copy_name(self.name, sizeof self.name, s->name) &&
                wg_copy_name(self.address, sizeof self.address,
                             s->fleet_address[0] ? s->fleet_address : s->fleet_listen) &&
                wg_copy_name(self.data_centre, sizeof self.data_centre, s->data_centre);
    if (!fits) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID,
                    "[control] name, fleet address or data_centre is too long");
        return false;
    }
    c->net = wgn_setup(&(wgn_desc){.base = c->base,
                                   .fleet_key = s->fleet_key,
                                   .self = self,
                                   .links_max = wgn_links_max(s->descriptors),
                                   .unproven_max = wgn_unproven_max(s->descriptors),
                                   .waiting_max = wgn_waiting_max(s->memory_mb),
                                   .receive_deadline = s->link_silence_ms * WG_USEC_PER_MSEC,
                                   .ping_interval = s->link_silence_ms * WG_USEC_PER_MSEC / 4,
                                   .on_up = _wgco_on_up,
                                   .on_frame = _wgco_on_frame,
                                   .on_down = _wgco_on_down,
                                   .user_data = c},
                       error);
    return c->net && wgn_listen(c->net, s->fleet_listen, error) && _wgco_http_setup(c, error);
}

/* ---- functions of the library -------------------------------------------------------------- */

/* Opens everything that depends on the data folder. */
static bool _wgco_open(wgco_control* c, GError** error) {
    _wgco_entry_setup(c);
    _wgco_quarantine_setup(c);
    _wgco_origins_setup(c);
    return (!c->discovers || _wgco_discovery_bootstrap(c, error)) && _wgco_open_state(c, error) &&
           _wgco_open_links(c, error);
}

static void _wgco_close(wgco_control* c) {
    if (c->leads) {
        _wgco_lead_end(c);
    }
    _wgco_fail_waiters(c);
    wgh_close(&c->http);
    g_clear_pointer(&c->net, wgn_shutdown);
    g_clear_pointer(&c->node, wgr_shutdown);
    g_clear_pointer(&c->table, wgt_shutdown);
    g_clear_pointer(&c->claims, wgk_shutdown);
    _wgco_entry_shutdown(c);
    _wgco_quarantine_shutdown(c);
    _wgco_origins_shutdown(c);
    g_clear_pointer(&c->store, wgs_close);
    for (int i = 0; i < c->peers_num; i++) {
        c->peers[i].link = (wgn_link){0};
        c->peers[i].up = false;
    }
    c->announce_link = (wgn_link){0};
    c->role_logged = WGR_ROLE_DEFAULT;
    c->announced_leader[0] = 0;
    c->failed = false;
}

static void _wgco_schedule_reopen(wgco_control* c) {
    struct timeval wait = {.tv_usec = WG_DISK_RETRY_INTERVAL};
    event_add(c->reopen_event, &wait);
}

static void _wgco_on_reopen(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wgco_control* c = user_data;
    _wgco_close(c);
    if (c->stopping) {
        event_base_loopbreak(c->base);
        return;
    }
    GError* error = NULL;
    if (_wgco_open(c, &error)) {
        if (c->suspended_at == 0) {
            return; /* reopened after a forced recovery */
        }
        wg_log(WG_EVENT_STORE_RESUMED, "after_ms=%" G_GINT64_FORMAT,
               (wg_now() - c->suspended_at) / WG_USEC_PER_MSEC);
        c->suspended_at = 0;
        return;
    }
    if (!g_error_matches(error, WG_ERROR, WG_ERROR_DISK)) {
        wg_log(WG_EVENT_STORE_FAILED, "%s", error->message);
        c->unrecoverable = true;
        event_base_loopbreak(c->base);
    } else {
        _wgco_schedule_reopen(c);
    }
    g_error_free(error);
}

static void _wgco_suspend(wgco_control* c, const GError* error) {
    wg_log(WG_EVENT_STORE_SUSPENDED, "%s", error->message);
    c->failed = true;
    c->suspended_at = wg_now();
}

bool _wgco_start(wgco_control* c, GError** error) {
    GError* failure = NULL;
    c->reopen_event = evtimer_new(c->base, _wgco_on_reopen, c);
    if (_wgco_open(c, &failure)) {
        return true;
    }
    if (!g_error_matches(failure, WG_ERROR, WG_ERROR_DISK)) {
        g_propagate_error(error, failure);
        return false;
    }
    _wgco_close(c);
    _wgco_suspend(c, failure);
    g_error_free(failure);
    _wgco_schedule_reopen(c);
    return true;
}

void _wgco_end(wgco_control* c) {
    _wgco_close(c);
    if (c->reopen_event) {
        event_free(c->reopen_event);
        c->reopen_event = NULL;
    }
}

void _wgco_storage_failed(wgco_control* c, GError* error) {
    if (c->failed) {
        g_error_free(error);
        return;
    }
    if (g_error_matches(error, WG_ERROR, WG_ERROR_DISK)) {
        struct timeval at_once = {0};
        _wgco_suspend(c, error);
        /* Deferred to the loop, as a link callback may be running. */
        event_add(c->reopen_event, &at_once);
    } else {
        wg_log(WG_EVENT_STORE_FAILED, "%s", error->message);
        c->failed = true;
        c->unrecoverable = true;
        event_base_loopbreak(c->base);
    }
    g_error_free(error);
}
