/* wg_entry_check.c -- distinguishes a target that ended from one that only closed a connection

   A connection that ends mid-request can mean either. A check opens a new connection: if it is
   refused, the target has ended. If it is accepted, the result is unresolved, as a proxy, a
   supervisor or a restarted target may accept it, and an overloaded target may close it at once.
   The registry then resolves it within seconds, if the target's incarnation becomes unresponsive
   or is replaced.

   Requests in progress at a target that ended are recorded as crash evidence. */
#include "wg_entry_internal.h"
#include "wg_prompt_read.h"

#include <errno.h>
#include <string.h>

enum {
    WG_CHECK_TIMEOUT = 250 * WG_USEC_PER_MSEC, /* to connect; the same as for requests */
    /* A connection that stays open for this long counts as accepted. */
    WG_CHECK_OPEN_TIME = 30 * WG_USEC_PER_MSEC,
    WG_CHECK_RETRY_DELAY = 50 * WG_USEC_PER_MSEC, /* until an ending process has exited */
    /* Limits the load of checks: a target accepts some tens of connections per second, and when all
       connections of a fleet are reset at once, each host has to check a few targets only. */
    WG_CHECKS_PER_SECOND = 4,
    WG_CHECK_TRIES = 2,
    /* Minimum duration of a connection to a live target. A proxy closes a connection to an ended
       target sooner. */
    WG_SERVED_CONNECTION_TIME = 100 * WG_USEC_PER_MSEC,
    /* Wait for the registry to report that the target ended or was replaced. A target that
       restarts is back after some seconds and registers at once. */
    WG_UNRESOLVED_TIMEOUT = 5 * WG_USEC_PER_SEC,
    WG_UNRESOLVED_MAX = 256,
    WG_PARTS_KEPT = 256, /* bytes of the stated parts of a prompt */
    WG_PARTS_SHOWN = 95  /* bytes of them in the log */
};

/* Request whose connection ended before a complete answer. */
typedef struct {
    char id[WG_NAME_MAX];
    wg_crash crash;                      /* evidence to record if the target has ended */
    char stated_parts[WG_PARTS_KEPT];    /* of its prompt, by its caller; "-": no prompt */
    uint64_t parts[WG_PROMPT_PARTS_MAX]; /* fingerprints of those that may have crashed it */
    int parts_num;
    bool parts_early; /* the target had begun to write on them */
    int64_t events;
    wg_time sent_at;
    wg_time aborted_at;
    bool was_served; /* the target was alive when it received the request */
} wg_aborted_request;

typedef struct {
    wg_entry* entry;
    uint32_t target;
    struct bufferevent* bev;
    struct event* timer;
    bool connected;
    bool retry_pending; /* waits before the second try */
    int tries;
    wg_time since;
    GArray* aborted; /* wg_aborted_request: aborted requests at the target */
} wg_check;

/* ---- helpers --------------------------------------------------------------------------------- */

static void _wg_check_disconnect(wg_check* check) {
    g_clear_pointer(&check->bev, bufferevent_free);
}

static void _wg_check_free(void* data) {
    wg_check* check = data;
    _wg_check_disconnect(check);
    event_free(check->timer);
    g_array_unref(check->aborted);
    g_free(check);
}

static void _wg_record_evidence(wg_entry* e, const wg_aborted_request* aborted) {
    const wg_crash* crash = &aborted->crash;
    wg_log(WG_EVENT_CRASH_EVIDENCE,
           "id=%s fingerprint=%016" G_GINT64_MODIFIER
           "x workspace=%s path=%s target=%u early=%d events=%" G_GINT64_FORMAT
           " after_ms=%" G_GINT64_FORMAT " parts=%.*s",
           aborted->id, crash->fingerprint, crash->workspace, crash->path, crash->target,
           crash->early, aborted->events,
           (aborted->aborted_at - aborted->sent_at) / WG_USEC_PER_MSEC, WG_PARTS_SHOWN,
           aborted->stated_parts);
    wg_entry_record_crash(e, crash);
    for (int i = 0; i < aborted->parts_num; i++) {
        wg_crash part = *crash;
        wg_text stated = {aborted->stated_parts, strlen(aborted->stated_parts)};
        wg_text id = wg_prompt_part_id(stated, i);
        part.fingerprint = aborted->parts[i];
        part.early = aborted->parts_early;
        g_snprintf(part.path, sizeof part.path, "part:%.*s", (int)id.size, id.text ? id.text : "?");
        wg_entry_record_crash(e, &part);
    }
}

static void _wg_check_target_ended(wg_check* check, const char* how) {
    const wg_target* target = wg_registry_find(check->entry->registry, check->target);
    check->entry->counters.targets_ended++;
    wg_log(WG_EVENT_TARGET_ENDED, "target=%u id=%s address=%s how=%s broken=%u", check->target,
           target ? target->id : "-", target ? target->address : "-", how, check->aborted->len);
    for (guint i = 0; i < check->aborted->len; i++) {
        _wg_record_evidence(check->entry, &g_array_index(check->aborted, wg_aborted_request, i));
    }
    /* Report at once: until all hosts know, each copy of the request may crash another target. */
    wg_entry_report(check->entry, wg_now());
}

/* Keeps possible evidence until the registry resolves it; drops the oldest if the list is full. */
static void _wg_add_unresolved(wg_entry* e, const wg_aborted_request* aborted) {
    if (!aborted->was_served) {
        return;
    }
    if (e->unresolved->len >= WG_UNRESOLVED_MAX) {
        g_array_remove_index(e->unresolved, 0);
    }
    g_array_append_val(e->unresolved, *aborted);
}

static void _wg_check_target_alive(wg_check* check, const char* how) {
    check->entry->counters.targets_alive++;
    wg_log(WG_EVENT_TARGET_STAYS, "target=%u how=%s broken=%u", check->target, how,
           check->aborted->len);
    for (guint i = 0; i < check->aborted->len; i++) {
        _wg_add_unresolved(check->entry, &g_array_index(check->aborted, wg_aborted_request, i));
    }
}

static void _wg_check_finish(wg_check* check, bool ended, const char* how) {
    if (ended) {
        _wg_check_target_ended(check, how);
    } else {
        _wg_check_target_alive(check, how);
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
    bool refused = !check->connected && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    if (what & BEV_EVENT_CONNECTED) {
        check->connected = true;
        _wg_check_wait(check, WG_CHECK_OPEN_TIME);
    } else if (refused) {
        _wg_check_finish(check, true, "refused");
    } else if (check->tries < WG_CHECK_TRIES) {
        _wg_check_disconnect(check);
        check->retry_pending = true;
        _wg_check_wait(check, WG_CHECK_RETRY_DELAY);
    } else {
        _wg_check_finish(check, false, "closed-at-once");
    }
}

static bool _wg_check_connect(wg_check* check) {
    const wg_target* target = wg_registry_find(check->entry->registry, check->target);
    struct sockaddr_storage address;
    int size;
    if (!target || !wgn_parse_address(target->address, &address, &size)) {
        return false;
    }
    check->tries++;
    check->retry_pending = false;
    check->connected = false;
    check->bev = bufferevent_socket_new(check->entry->base, -1,
                                        BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(check->bev, NULL, NULL, _wg_check_on_event, check);
    bufferevent_enable(check->bev, EV_READ);
    _wg_check_wait(check, WG_CHECK_TIMEOUT);
    return bufferevent_socket_connect(check->bev, (struct sockaddr*)&address, size) == 0;
}

/* A connection that is open or that timed out does not show that the target ended. */
static void _wg_check_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_check* check = user_data;
    if (!check->retry_pending) {
        _wg_check_finish(check, false, check->connected ? "connected" : "no-answer");
    } else if (!_wg_check_connect(check)) {
        _wg_check_finish(check, false, "gone");
    }
}

static bool _wg_check_may_begin(wg_entry* e, wg_time now) {
    if (now - e->checks_window_start >= WG_USEC_PER_SEC) {
        e->checks_window_start = now;
        e->checks_num = 0;
    }
    bool may = e->checks_num < WG_CHECKS_PER_SECOND;
    e->checks_num += may;
    e->counters.checks_skipped += !may;
    return may;
}

static wg_check* _wg_check_begin(wg_entry* e, uint32_t target, wg_time now) {
    if (!_wg_check_may_begin(e, now)) {
        return NULL;
    }
    wg_check* check = g_new0(wg_check, 1);
    check->entry = e;
    check->target = target;
    check->since = now;
    check->aborted = g_array_new(FALSE, FALSE, sizeof(wg_aborted_request));
    check->timer = evtimer_new(e->base, _wg_check_on_timer, check);
    if (!_wg_check_connect(check)) {
        _wg_check_free(check);
        return NULL;
    }
    g_hash_table_insert(e->checks, GUINT_TO_POINTER(target), check);
    return check;
}

static void _wg_aborted_set_parts(wg_aborted_request* aborted, const wg_call* call, bool began) {
    wg_text stated = wg_message_field(&call->head, call->entry->names->prompt_parts);
    g_snprintf(aborted->stated_parts, sizeof aborted->stated_parts, "%.*s",
               stated.text ? (int)stated.size : 1, stated.text ? stated.text : "-");
    bool begins = wg_call_is_at_beginning(call);
    aborted->parts_num = begins ? MAX(call->parts_num - 1, 0) : 0;
    aborted->parts_early = began && begins;
    memcpy(aborted->parts, call->parts, (size_t)aborted->parts_num * sizeof call->parts[0]);
}

static void _wg_check_add(wg_check* check, const wg_call* call, const wg_upstream* up) {
    bool began = wg_upstream_has_begun(up);
    wg_time now = wg_now();
    wg_aborted_request aborted = {.crash = {.fingerprint = call->fingerprint,
                                            .target = up->target,
                                            .early = began && wg_call_attempt_events(call) == 0},
                                  .events = call->events,
                                  .sent_at = call->sent_at,
                                  .aborted_at = now};
    aborted.was_served = began || up->used || now - call->sent_at >= WG_SERVED_CONNECTION_TIME;
    wg_crash* crash = &aborted.crash;
    wg_copy_name(aborted.id, sizeof aborted.id, call->id);
    _wg_aborted_set_parts(&aborted, call, began);
    wg_copy_name(crash->workspace, sizeof crash->workspace,
                 call->workspace ? call->workspace->name : "-");
    g_snprintf(crash->path, sizeof crash->path, "%.*s",
               (int)MIN(call->head.target.size, sizeof crash->path - 1), call->head.target.text);
    g_array_append_val(check->aborted, aborted);
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_check_setup(wg_entry* e) {
    e->checks = g_hash_table_new_full(NULL, NULL, NULL, _wg_check_free);
    e->unresolved = g_array_new(FALSE, FALSE, sizeof(wg_aborted_request));
}

void wg_entry_check_shutdown(wg_entry* e) {
    g_hash_table_unref(e->checks);
    g_array_unref(e->unresolved);
}

void wg_entry_check_unresolved(wg_entry* e, wg_time now) {
    bool resolved = false;
    for (guint i = 0; i < e->unresolved->len;) {
        wg_aborted_request aborted = g_array_index(e->unresolved, wg_aborted_request, i);
        const wg_target* target = wg_registry_find(e->registry, aborted.crash.target);
        bool ended = target && (target->state == WG_TARGET_UNRESPONSIVE || target->replaced);
        bool over = !target || target->state == WG_TARGET_DRAINING ||
                    target->state == WG_TARGET_REMOVED ||
                    now - aborted.aborted_at >= WG_UNRESOLVED_TIMEOUT;
        if (!ended && !over) {
            i++;
            continue;
        }
        g_array_remove_index(e->unresolved, i);
        if (ended) {
            _wg_record_evidence(e, &aborted);
            resolved = true;
        }
    }
    if (resolved) {
        wg_entry_report(e, now);
    }
}

void wg_entry_check_target(wg_entry* e, const wg_call* call, const wg_upstream* up) {
    if (wg_entry_end_kind(e, up->target, wg_now()) != WG_END_UNPLANNED) {
        return; /* it may have ended as planned, which is no evidence against the request */
    }
    wg_check* check = g_hash_table_lookup(e->checks, GUINT_TO_POINTER(up->target));
    if (!check) {
        check = _wg_check_begin(e, up->target, wg_now());
    }
    if (check) {
        _wg_check_add(check, call, up);
    }
}
