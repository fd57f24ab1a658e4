/* wg_entry_check.c -- has a target ended, or did it only drop a connection?

   A connection that ends while the target owes an answer says either. A new connection tells them
   apart: where the process is gone it is refused, or taken by a kernel or a proxy on its behalf and
   closed at once. Requests that were under way at a target that has ended may have ended it. */
#include "wg_entry_internal.h"

#include <string.h>

enum {
    WG_CHECK_TIME = 250 * WG_USEC_PER_MSEC, /* for the connection, as for requests */
    /* A connection that stays open for so long was taken by a live process: one that is about to go
       closes it in less, through a proxy too. */
    WG_CHECK_STAYS = 100 * WG_USEC_PER_MSEC,
    /* Begun in one second: a target takes some tens of connections a second, and when all
       connections of a fleet are reset at once each host needs to know of a few targets only. */
    WG_CHECKS_PER_SECOND = 4,
    WG_CHECK_PATH_SHOWN = 96 /* bytes; paths longer than that are cut off in the log */
};

/* A request that was under way when its connection ended. */
typedef struct {
    char id[WG_NAME_MAX];
    char workspace[WG_NAME_MAX];
    char path[WG_CHECK_PATH_SHOWN];
    uint64_t fingerprint;
    bool began; /* the head of the answer came */
    int64_t events;
    wg_time sent_at;
} wg_broken;

typedef struct {
    wg_entry* entry;
    uint32_t target;
    struct bufferevent* bev;
    struct event* timer;
    bool connected;
    wg_time since;
    GArray* broken; /* wg_broken */
} wg_check;

/* ---- helpers --------------------------------------------------------------------------------- */

static void _wg_check_free(void* data) {
    wg_check* check = data;
    bufferevent_free(check->bev);
    event_free(check->timer);
    g_array_unref(check->broken);
    g_free(check);
}

static void _wg_check_log_evidence(const wg_check* check, const wg_broken* broken, wg_time now) {
    if (!wg_entry_may_log(check->entry, now)) {
        return;
    }
    wg_log(WG_EVENT_CRASH_EVIDENCE,
           "id=%s fingerprint=%016" G_GINT64_MODIFIER
           "x workspace=%s path=%s target=%u began=%d events=%" G_GINT64_FORMAT
           " after_ms=%" G_GINT64_FORMAT,
           broken->id, broken->fingerprint, broken->workspace, broken->path, check->target,
           broken->began, broken->events, (check->since - broken->sent_at) / WG_USEC_PER_MSEC);
}

static void _wg_check_target_ended(wg_check* check, const char* how, wg_time now) {
    const wg_target* target = wg_registry_find(check->entry->registry, check->target);
    check->entry->counters.targets_ended++;
    wg_log(WG_EVENT_TARGET_ENDED, "target=%u id=%s address=%s how=%s broken=%u", check->target,
           target ? target->id : "-", target ? target->address : "-", how, check->broken->len);
    for (guint i = 0; i < check->broken->len; i++) {
        _wg_check_log_evidence(check, &g_array_index(check->broken, wg_broken, i), now);
    }
}

static void _wg_check_target_stays(wg_check* check, const char* how) {
    check->entry->counters.targets_stayed++;
    wg_log(WG_EVENT_TARGET_STAYS, "target=%u how=%s broken=%u", check->target, how,
           check->broken->len);
}

static void _wg_check_over(wg_check* check, bool ended, const char* how) {
    if (ended) {
        _wg_check_target_ended(check, how, wg_now());
    } else {
        _wg_check_target_stays(check, how);
    }
    g_hash_table_remove(check->entry->checks, GUINT_TO_POINTER(check->target));
}

static void _wg_check_wait(wg_check* check, wg_time time) {
    struct timeval tv = {.tv_usec = time};
    event_add(check->timer, &tv);
}

static void _wg_check_on_event(struct bufferevent* bev, short what, void* user_data) {
    (void)bev;
    wg_check* check = user_data;
    if (what & BEV_EVENT_CONNECTED) {
        check->connected = true;
        _wg_check_wait(check, WG_CHECK_STAYS);
        return;
    }
    _wg_check_over(check, true, check->connected ? "closed-at-once" : "refused");
}

/* Nothing came of a connection in time: a cut, not an end, as far as this host can see. */
static void _wg_check_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_check* check = user_data;
    _wg_check_over(check, false, check->connected ? "connected" : "no-answer");
}

static bool _wg_check_may_begin(wg_entry* e, wg_time now) {
    if (now - e->checks_since >= WG_USEC_PER_SEC) {
        e->checks_since = now;
        e->checks_num = 0;
    }
    bool may = e->checks_num < WG_CHECKS_PER_SECOND;
    e->checks_num += may;
    e->counters.checks_left_out += !may;
    return may;
}

static wg_check* _wg_check_begin(wg_entry* e, const wg_target* target, wg_time now) {
    struct sockaddr_storage address;
    int size;
    if (!_wg_check_may_begin(e, now) || !wgn_parse_address(target->address, &address, &size)) {
        return NULL;
    }
    wg_check* check = g_new0(wg_check, 1);
    check->entry = e;
    check->target = target->number;
    check->since = now;
    check->broken = g_array_new(FALSE, FALSE, sizeof(wg_broken));
    check->timer = evtimer_new(e->base, _wg_check_on_timer, check);
    check->bev =
        bufferevent_socket_new(e->base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(check->bev, NULL, NULL, _wg_check_on_event, check);
    bufferevent_enable(check->bev, EV_READ);
    if (bufferevent_socket_connect(check->bev, (struct sockaddr*)&address, size) != 0) {
        _wg_check_free(check);
        return NULL;
    }
    g_hash_table_insert(e->checks, GUINT_TO_POINTER(target->number), check);
    _wg_check_wait(check, WG_CHECK_TIME);
    return check;
}

static void _wg_check_add(wg_check* check, const wg_call* call, const wg_upstream* up) {
    wg_broken broken = {.fingerprint = call->fingerprint,
                        .began = up->state == WG_UPSTREAM_BODY,
                        .events = call->events,
                        .sent_at = call->sent_at};
    wg_copy_name(broken.id, sizeof broken.id, call->id);
    wg_copy_name(broken.workspace, sizeof broken.workspace,
                 call->workspace ? call->workspace->name : "-");
    g_snprintf(broken.path, sizeof broken.path, "%.*s",
               (int)MIN(call->head.target.size, sizeof broken.path - 1), call->head.target.text);
    g_array_append_val(check->broken, broken);
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_check_setup(wg_entry* e) {
    e->checks = g_hash_table_new_full(NULL, NULL, NULL, _wg_check_free);
}

void wg_entry_check_shutdown(wg_entry* e) {
    g_hash_table_unref(e->checks);
}

void wg_entry_check_broken(wg_entry* e, const wg_call* call, const wg_upstream* up) {
    const wg_target* target = wg_registry_find(e->registry, up->target);
    if (!target || target->state != WG_TARGET_READY) {
        return; /* it is leaving, or known to be gone: its end is no surprise */
    }
    wg_check* check = g_hash_table_lookup(e->checks, GUINT_TO_POINTER(up->target));
    if (!check) {
        check = _wg_check_begin(e, target, wg_now());
    }
    if (check) {
        _wg_check_add(check, call, up);
    }
}
