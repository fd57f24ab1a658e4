/* wg_control_recovery.c -- forced recovery of the replica set by an operator

   After more disks are lost than the set tolerates, no leader can be elected. The operator names
   the replicas that will not come back; the replica with the newest log then continues alone as a
   new cluster, and others join it with empty data folders.

   Recovery is refused while a majority of the set may still come back, because two sets could
   then acknowledge conflicting changes. If replicas named as lost do come back, three things keep
   them out: links between clusters are refused, entry hosts that know of the recovery (wg_term.h)
   do not follow the previous set, and a replica that any of these hosts contacts records that it
   was superseded and ends. */
#include "wg_control_internal.h"
#include "wg_term.h"

#include <string.h>

enum {
    /* Time for the HTTP answer to be sent before the endpoints close. */
    _WGCO_RECOVERY_REOPEN_DELAY = 100 * WG_USEC_PER_MSEC
};

/* ---- helpers ------------------------------------------------------------------------------- */

static bool _wgco_refuse_recovery(GError** error, const char* why, const char* names) {
    g_set_error(error, WG_ERROR, WG_ERROR_CONFLICT, "%s%s", why, names);
    return false;
}

/* Fails if a majority of the voters may come back, or if a replica named as lost is up. */
static bool _wgco_check_majority(const wgco_control* c, char** lost, GError** error) {
    const wgr_set* set = wgr_query_set(c->node);
    GString* returning_names = g_string_new(NULL);
    int voters = 0;
    int returning = 0;
    bool good = true;
    for (int i = 0; i < set->num && good; i++) {
        const wgr_replica* replica = &set->replicas[i];
        bool self = replica->id == wgs_query_content(c->store)->identity;
        bool named = g_strv_contains((const char* const*)lost, replica->name);
        if (!replica->voter) {
            continue;
        }
        voters++;
        if (named && (self || _wgco_is_up(c, replica))) {
            good = _wgco_refuse_recovery(error, "named as lost, but up: ", replica->name);
        } else if (!named && !wgr_is_replaced(c->node, replica->id)) {
            returning++;
            g_string_append_printf(returning_names, "%s%s", returning_names->len ? "," : "",
                                   replica->name);
        }
    }
    if (good && returning > voters / 2) {
        good =
            _wgco_refuse_recovery(error, "a majority may still come back: ", returning_names->str);
    }
    g_string_free(returning_names, TRUE);
    return good;
}

/* Stores the new cluster and the higher term before the new set. If power is lost in between,
   the log still holds the previous set and the command can be repeated. */
static bool _wgco_store_new_set(wgco_control* c, GError** error) {
    wgr_stats stats = wgr_query_stats(c->node, wg_now());
    const wgs_content* content = wgs_query_content(c->store);
    wgr_set set = {.num = 1};
    wgr_replica* self = &set.replicas[0];
    self->id = content->identity;
    self->voter = true;
    bool fits = wg_copy_name(self->name, sizeof self->name, c->settings->name) &&
                wg_copy_name(self->address, sizeof self->address,
                             c->settings->fleet_address[0] ? c->settings->fleet_address
                                                           : c->settings->fleet_listen);
    WG_ASSERT(fits); /* checked at startup */
    uint64_t term = wg_recovery_first_term(wg_term_recovery(stats.term) + 1);
    uint64_t cluster = wg_hash(&content->cluster, sizeof content->cluster, term) | 1;
    wgr_entry entry = {.index = stats.last_index + 1, .term = term, .kind = WGR_ENTRY_REPLICAS};
    entry.data = wgr_set_pack(&set);
    bool good = wgs_switch_cluster(c->store, cluster, term, error) &&
                wgs_append(c->store, &entry, 1, error);
    g_bytes_unref(entry.data);
    return good;
}

/* ---- functions of the library -------------------------------------------------------------- */

bool _wgco_recover_set(wgco_control* c, char** lost, GError** error) {
    wgr_stats stats = wgr_query_stats(c->node, wg_now());
    if (stats.role == WGR_ROLE_LEADER || stats.leader != 0) {
        return _wgco_refuse_recovery(error, "the replica set has a leader", "");
    }
    if (stats.last_index == 0) {
        return _wgco_refuse_recovery(error, "the log of this replica is empty", "");
    }
    if (!_wgco_check_majority(c, lost, error)) {
        return false;
    }
    char* previous_set = _wgco_describe_set(c);
    char* names = g_strjoinv(",", lost);
    c->failed = true; /* this run of the replica may write nothing more */
    GError* failure = NULL;
    bool good = _wgco_store_new_set(c, &failure);
    wg_log(WG_EVENT_SET_FORMED_ANEW,
           "good=%d gone=%s last=%" G_GUINT64_FORMAT " commit=%" G_GUINT64_FORMAT
           " term=%" G_GUINT64_FORMAT " former: %s",
           good, names, stats.last_index, stats.commit, stats.term, previous_set);
    g_free(names);
    g_free(previous_set);
    if (!good) {
        g_propagate_error(error, failure);
    }
    struct timeval delay = {.tv_usec = _WGCO_RECOVERY_REOPEN_DELAY};
    event_add(c->reopen_event, &delay);
    return good;
}

bool _wgco_check_superseded(wgco_control* c, uint64_t recovery, const wgn_peer* reporter) {
    wgr_stats stats = wgr_query_stats(c->node, wg_now());
    bool joins = stats.last_index == 0; /* with an empty folder, after the recovery */
    if (joins || recovery <= wg_term_recovery(stats.term)) {
        return false;
    }
    GError* error = NULL;
    bool saved = wgs_save_superseded(c->store, recovery, &error);
    wg_log(WG_EVENT_REPLICA_SUPERSEDED,
           "recovery=%" G_GUINT64_FORMAT " told_by=%s term=%" G_GUINT64_FORMAT
           " led=%d last=%" G_GUINT64_FORMAT " saved=%d%s%s",
           recovery, reporter->name, stats.term, c->leads, stats.last_index, saved,
           error ? " " : "", error ? error->message : "");
    g_clear_error(&error);
    c->failed = true;
    c->unrecoverable = true;
    event_base_loopbreak(c->base);
    return true;
}

bool _wgco_may_open_folder(const wgs_content* content, GError** error) {
    if (content->superseded_by <= wg_term_recovery(content->restored.term)) {
        return true;
    }
    g_set_error(error, WG_ERROR, WG_ERROR_CONFLICT,
                "forced recovery %" G_GUINT64_FORMAT
                " of the replica set removed this replica; empty its data folder to let it join",
                content->superseded_by);
    return false;
}
