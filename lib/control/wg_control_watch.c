/* wg_control_watch.c -- logs and metrics about event-loop delays, the replica set and leader
   outages */
#include "wg_control_internal.h"

#include <string.h>

/* ---- functions of the library -------------------------------------------------------------- */

bool _wgco_is_up(const wgco_control* c, const wgr_replica* replica) {
    if (replica->id == wgs_query_content(c->store)->identity) {
        return true;
    }
    for (int i = 0; i < c->peers_num; i++) {
        if (c->peers[i].up && c->peers[i].identity == replica->id) {
            return true;
        }
    }
    return false;
}

/* ---- helpers ------------------------------------------------------------------------------- */

static void _wgco_append_name(GString* list, const char* name) {
    g_string_append_printf(list, "%s%s", list->len ? "," : "", name);
}

static const char* _wgco_or_dash(const GString* list) {
    return list->len ? list->str : "-";
}

static int _wgco_voters_up(const wgco_control* c) {
    const wgr_set* set = wgr_query_set(c->node);
    int up = 0;
    for (int i = 0; i < set->num; i++) {
        up += set->replicas[i].voter && _wgco_is_up(c, &set->replicas[i]);
    }
    return up;
}

static void _wgco_append_voter(const wgco_control* c, const wgr_replica* voter, wg_time now,
                               GString* list) {
    _wgco_append_name(list, voter->name);
    if (wgr_is_replaced(c->node, voter->id)) {
        g_string_append(list, ":disk-lost");
        return;
    }
    if (_wgco_is_up(c, voter)) {
        g_string_append(list, ":up");
        return;
    }
    wg_time down_at = 0;
    for (int i = 0; i < c->peers_num; i++) {
        if (strcmp(c->peers[i].name, voter->name) == 0) {
            down_at = c->peers[i].down_at;
        }
    }
    if (down_at) {
        g_string_append_printf(list, ":down-for-%" G_GINT64_FORMAT "-ms",
                               (now - down_at) / WG_USEC_PER_MSEC);
    } else {
        g_string_append(list, ":never-seen");
    }
}

/* Lists each voter with its state: up, down and for how long, or disk lost. */
static char* _wgco_describe_voters(const wgco_control* c, wg_time now) {
    const wgr_set* set = wgr_query_set(c->node);
    GString* list = g_string_new(NULL);
    for (int i = 0; i < set->num; i++) {
        if (set->replicas[i].voter) {
            _wgco_append_voter(c, &set->replicas[i], now, list);
        }
    }
    return g_string_free(list, FALSE);
}

static const char* _wgco_role_name(wgr_role role) {
    switch (role) {
    case WGR_ROLE_LEADER:
        return "leader";
    case WGR_ROLE_PRE_CANDIDATE:
    case WGR_ROLE_CANDIDATE:
        return "candidate";
    default:
        return "follower";
    }
}

static void _wgco_log_missing_leader(wgco_control* c, wg_time now) {
    wgr_stats stats = wgr_query_stats(c->node, now);
    bool own = stats.role == WGR_ROLE_LEADER;
    bool present = own ? wgr_leads(c->node, now) : stats.leader != 0;
    if (!wg_outage_update(&c->leaderless, present, now)) {
        return;
    }
    char* set = _wgco_describe_set(c);
    char* voters = _wgco_describe_voters(c, now);
    wg_log(WG_EVENT_MAJORITY_MISSING,
           "for_ms=%" G_GINT64_FORMAT " role=%s term=%" G_GUINT64_FORMAT " last=%" G_GUINT64_FORMAT
           " commit=%" G_GUINT64_FORMAT " voters_up=%d elections=%" G_GUINT64_FORMAT " %s each=%s",
           wg_outage_duration(&c->leaderless, now) / WG_USEC_PER_MSEC, _wgco_role_name(stats.role),
           stats.term, stats.last_index, stats.commit, _wgco_voters_up(c), stats.elections, set,
           voters);
    g_free(voters);
    g_free(set);
}

/* ---- functions of the library -------------------------------------------------------------- */

char* _wgco_describe_set(const wgco_control* c) {
    const wgr_set* set = wgr_query_set(c->node);
    GString* voters = g_string_new(NULL);
    GString* learners = g_string_new(NULL);
    GString* down = g_string_new(NULL);
    for (int i = 0; i < set->num; i++) {
        const wgr_replica* replica = &set->replicas[i];
        _wgco_append_name(replica->voter ? voters : learners, replica->name);
        if (!_wgco_is_up(c, replica)) {
            _wgco_append_name(down, replica->name);
        }
    }
    char* text =
        g_strdup_printf("replicas=%d voters=%s learners=%s down=%s", set->num,
                        _wgco_or_dash(voters), _wgco_or_dash(learners), _wgco_or_dash(down));
    g_string_free(voters, TRUE);
    g_string_free(learners, TRUE);
    g_string_free(down, TRUE);
    return text;
}

char* _wgco_describe_holders(const wgco_control* c, uint64_t index) {
    const wgr_set* set = wgr_query_set(c->node);
    GString* holders = g_string_new(NULL);
    for (int i = 0; i < set->num; i++) {
        if (wgr_query_match(c->node, set->replicas[i].id) >= index) {
            _wgco_append_name(holders, set->replicas[i].name);
        }
    }
    return g_string_free(holders, FALSE);
}

/* Without this, a stall would count as time without contact, and targets, entry hosts and routers
   would be removed before the messages they sent meanwhile are read. */
void _wgco_watch_extend_deadlines(wgco_control* c, wg_time now) {
    enum {
        STALL_MIN = 300 * WG_USEC_PER_MSEC /* three report intervals of an entry host */
    };
    wg_time stalled = c->loop_lag.lag_last;
    if (stalled > STALL_MIN) {
        wg_registry_extend_deadlines(c->registry, now, stalled);
        wg_roster_extend_deadlines(c->roster, now, stalled);
        wgm_extend_deadlines(c->members, now, stalled);
    }
}

void _wgco_watch_tick(wgco_control* c, wg_time now) {
    wg_time lag;
    wg_time period = c->settings->tick_ms * WG_USEC_PER_MSEC;
    if (wg_lag_monitor_tick(&c->loop_lag, now, period, &lag)) {
        wg_log(WG_EVENT_LOOP_LATE, "late_ms=%" G_GINT64_FORMAT " leads=%d entries=%u",
               lag / WG_USEC_PER_MSEC, c->leads, g_hash_table_size(c->entries));
    }
    _wgco_log_missing_leader(c, now);
}

void _wgco_watch_metrics(const wgco_control* c, GString* out) {
    const wgr_set* set = wgr_query_set(c->node);
    int voters = 0;
    for (int i = 0; i < set->num; i++) {
        voters += set->replicas[i].voter;
    }
    g_string_append_printf(out,
                           "walnutgate_voters %d\nwalnutgate_voters_up %d\nwalnutgate_learners %d\n"
                           "walnutgate_leaderless_seconds %.3f\n",
                           voters, _wgco_voters_up(c), set->num - voters,
                           (double)wg_outage_duration(&c->leaderless, wg_now()) / WG_USEC_PER_SEC);
    wg_hist_print(&c->loop_lag.lag_hist, "walnutgate_loop_late_seconds", "", 1e6, out);
}
