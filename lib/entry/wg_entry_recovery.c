/* wg_entry_recovery.c -- forced recoveries of the replica set, as known to an entry host

   A forced recovery replaces a replica set of which a majority was lost. If the lost replicas come
   back, they elect a leader that does not know of the recovery. A host refuses every leader of a
   set before the last recovery it knows of, and tells it in its reports, so that the replica ends.

   A host learns of a recovery from the leader of the recovered set and from other entry hosts. A
   host that has just started knows nothing: it asks the entry hosts on the seeds, and follows no
   leader until one that has followed a leader, or all of them, have answered, for at most the
   setting recovery_query_ms. Time in which this process stood still does not count: answers that
   arrived meanwhile were not read. */
#include "wg_entry_internal.h"
#include "wg_term.h"

/* A frame from the control that is processed once its leader may be followed. */
typedef struct {
    wgw_type type;
    GBytes* payload;
} wg_delayed_frame;

static void wg_delayed_frame_free(void* data) {
    wg_delayed_frame* delayed = data;
    g_bytes_unref(delayed->payload);
    g_free(delayed);
}

static void wg_entry_delay_frame(wg_entry* e, const wgw_frame* frame) {
    wg_delayed_frame* delayed = g_new0(wg_delayed_frame, 1);
    delayed->type = frame->type;
    delayed->payload = g_bytes_new(frame->payload, frame->size);
    g_queue_push_tail(&e->recovery.delayed, delayed);
}

static bool wg_entry_is_querying(const wg_entry* e) {
    return e->recovery.queries_num > 0 && e->term_followed == 0;
}

/* Processes the frames that were put aside, unless one of them closes the link. */
static void wg_entry_apply_delayed_frames(wg_entry* e) {
    GQueue frames = e->recovery.delayed;
    wgn_link link = e->link;
    g_queue_init(&e->recovery.delayed);
    wg_delayed_frame* delayed;
    while ((delayed = g_queue_pop_head(&frames))) {
        gsize size;
        const void* payload = g_bytes_get_data(delayed->payload, &size);
        wgw_frame frame = {.type = delayed->type, .payload = payload, .size = size};
        if (e->link.id == link.id) {
            wg_entry_receive_frame(e, &frame);
        }
        wg_delayed_frame_free(delayed);
    }
}

static void wg_entry_end_queries(wg_entry* e) {
    wg_entry_recovery* r = &e->recovery;
    while (r->queries_num > 0) {
        wgn_close(e->net, r->queries[--r->queries_num]);
    }
    wg_entry_apply_delayed_frames(e);
}

static bool wg_entry_is_query(const wg_entry* e, wgn_link link) {
    for (int i = 0; i < e->recovery.queries_num; i++) {
        if (e->recovery.queries[i].id == link.id) {
            return true;
        }
    }
    return false;
}

static void wg_entry_query(wg_entry* e, const char* seed) {
    wg_entry_recovery* r = &e->recovery;
    char address[WG_ADDRESS_MAX];
    if (r->queries_num == WG_RECOVERY_QUERIES_MAX ||
        !wg_entry_host_address(e, seed, address, sizeof address) ||
        strcmp(address, e->settings->fleet_listen) == 0) {
        return;
    }
    wgn_link link = wgn_dial(e->net, address);
    if (link.id) {
        r->queries[r->queries_num++] = link;
    }
}

/* ---- functions of the library ---------------------------------------------------------------- */

void wg_entry_recovery_setup(wg_entry* e) {
    g_queue_init(&e->recovery.delayed);
    e->recovery.queries_expire_at = wg_now() + e->settings->recovery_query_ms * WG_USEC_PER_MSEC;
    for (int i = 0; e->settings->seeds[i]; i++) {
        wg_entry_query(e, e->settings->seeds[i]);
    }
}

void wg_entry_recovery_shutdown(wg_entry* e) {
    e->recovery.queries_num = 0; /* closing the links must process nothing more */
    wg_entry_recovery_drop_delayed(e);
}

void wg_entry_recovery_record_stall(wg_entry* e, wg_time duration) {
    e->recovery.queries_expire_at += duration;
}

void wg_entry_recovery_tick(wg_entry* e, wg_time now) {
    if (e->recovery.queries_num > 0 && now >= e->recovery.queries_expire_at) {
        wg_entry_end_queries(e);
    }
}

void wg_entry_recovery_record(wg_entry* e, uint64_t recovery, const char* source) {
    if (recovery <= e->recovery.known) {
        return;
    }
    e->recovery.known = recovery;
    e->recovery.roster_due = true;
    wg_log(WG_EVENT_RECOVERY_KNOWN,
           "recovery=%" G_GUINT64_FORMAT " told_by=%s followed=%" G_GUINT64_FORMAT, recovery,
           source, e->term_followed);
}

bool wg_entry_is_outdated_leader(const wg_entry* e, const Wgpb__EntryState* in) {
    bool replaced = wg_term_recovery(in->term) < e->recovery.known;
    return (in->leads && (replaced || in->term < e->term_followed)) || (in->standby && replaced);
}

void wg_entry_recovery_on_hello(wg_entry* e, wgn_link link, const Wgpb__EntryState* in) {
    const wgn_peer* peer = wgn_query_peer(e->net, link);
    wg_entry_recovery_record(e, wg_term_recovery(in->term), peer ? peer->name : "-");
    if (e->leader_known && wg_term_recovery(e->term_followed) < e->recovery.known) {
        wg_entry_reconnect(e, "");
    }
    if (!wg_entry_is_query(e, link)) {
        return;
    }
    if (in->term != 0) {
        wg_entry_end_queries(e);
    } else {
        wgn_close(e->net, link);
    }
}

void wg_entry_recovery_on_down(wg_entry* e, wgn_link link) {
    wg_entry_recovery* r = &e->recovery;
    for (int i = 0; i < r->queries_num; i++) {
        if (r->queries[i].id == link.id) {
            r->queries[i] = r->queries[--r->queries_num];
            if (r->queries_num == 0) {
                wg_entry_apply_delayed_frames(e);
            }
            return;
        }
    }
}

bool wg_entry_recovery_delays(wg_entry* e, const wgw_frame* frame) {
    /* A control sends a configuration before the state that says whether it leads. */
    bool undecided = frame->type == WGW_TYPE_CONFIGURATION && !e->leader_known;
    if (!wg_entry_is_querying(e) && !undecided) {
        return false;
    }
    wg_entry_delay_frame(e, frame);
    return true;
}

void wg_entry_recovery_accept_configurations(wg_entry* e) {
    wg_delayed_frame* delayed;
    while ((delayed = g_queue_pop_head(&e->recovery.delayed))) {
        gsize size;
        const void* payload = g_bytes_get_data(delayed->payload, &size);
        wg_entry_apply_frame(e,
                             &(wgw_frame){.type = delayed->type, .payload = payload, .size = size});
        wg_delayed_frame_free(delayed);
    }
}

void wg_entry_recovery_drop_delayed(wg_entry* e) {
    g_queue_clear_full(&e->recovery.delayed, wg_delayed_frame_free);
}

uint64_t wg_entry_recovery_hello_term(const wg_entry* e) {
    return MAX(e->term_followed, wg_recovery_first_term(e->recovery.known));
}
