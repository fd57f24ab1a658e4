/* wg_control_room.c -- room of services, counted by the leader from the loads of all targets

   Hosts are told the loads of some targets only (wg_control_usage.c), so they cannot count room in
   a large fleet. Not replicated: each new leader counts once all hosts have reported to it. */
#include "wg_control_internal.h"

enum {
    /* Shortest time until targets are counted again. Half of the shortest report interval: no host
       is told a count that misses more than one of its reports. */
    WG_ROOMS_COUNT_INTERVAL_MIN = 50 * WG_USEC_PER_MSEC,
    /* Counts in each report interval. In a large fleet loads are as old as the interval, and
       counting all targets more often costs the leader time. */
    WG_ROOMS_COUNTS_PER_REPORT = 4
};

static wg_time _wgco_rooms_count_interval(const wgco_control* c) {
    wg_time interval = _wgco_report_interval(c) / WG_ROOMS_COUNTS_PER_REPORT;
    return MAX(interval, (wg_time)WG_ROOMS_COUNT_INTERVAL_MIN);
}

/* Number of hosts, connected or listed, whose loads this leader does not know. */
static int _wgco_hosts_missing(const wgco_control* c) {
    int missing = 0;
    GHashTable* reported = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wgco_entry_t* e = value;
        missing += !e->reported;
        if (e->reported) {
            g_hash_table_add(reported, e->name);
        }
    }
    for (int i = 0; i < wg_roster_num(c->roster); i++) {
        missing += !g_hash_table_contains(reported, wg_roster_at(c->roster, i)->name);
    }
    g_hash_table_unref(reported);
    return missing;
}

static wg_room_count* _wgco_room_count_of(wgco_control* c, GHashTable* positions,
                                          const char* service) {
    gpointer position = g_hash_table_lookup(positions, service); /* index + 1 */
    if (!position) {
        _wgco_room_t room = {0};
        wg_copy_name(room.service, sizeof room.service, service);
        g_array_append_val(c->rooms, room);
        position = GUINT_TO_POINTER(c->rooms->len);
        g_hash_table_insert(positions, (char*)service, position);
    }
    return &g_array_index(c->rooms, _wgco_room_t, GPOINTER_TO_UINT(position) - 1).count;
}

static wg_room_target _wgco_room_target(const wgco_control* c, const wg_target* target) {
    const Wgpb__TargetLoad* load =
        g_hash_table_lookup(c->load_totals, GUINT_TO_POINTER(target->number));
    return (wg_room_target){.ready = wg_registry_accepts(c->registry, target),
                            .slots = _wgco_target_slots(target),
                            .running = load ? load->running : 0,
                            .read_time = load ? (wg_time)load->read_us : 0};
}

static void _wgco_count_rooms(wgco_control* c) {
    wg_time wait_max = c->settings->room_wait_ms * WG_USEC_PER_MSEC;
    GHashTable* positions = g_hash_table_new(g_str_hash, g_str_equal);
    g_array_set_size(c->rooms, 0);
    const wg_target* record = NULL;
    while ((record = wg_registry_next(c->registry, record ? record->number : 0))) {
        if (record->state == WG_TARGET_REMOVED) {
            continue;
        }
        wg_room_target target = _wgco_room_target(c, record);
        wg_room_add(_wgco_room_count_of(c, positions, record->service), &target, wait_max);
    }
    g_hash_table_unref(positions);
}

const GArray* _wgco_rooms(wgco_control* c, wg_time now) {
    if (c->settings->room_wait_ms == 0) {
        return NULL;
    }
    if (c->rooms_at > 0 && now - c->rooms_at < _wgco_rooms_count_interval(c)) {
        return c->rooms;
    }
    int missing = c->room_lead.complete ? 0 : _wgco_hosts_missing(c);
    if (!wg_room_lead_update(&c->room_lead, !_wgco_is_settling(c, now), missing)) {
        return NULL;
    }
    _wgco_count_rooms(c);
    c->rooms_at = now;
    return c->rooms;
}

void _wgco_rooms_lead_begin(wgco_control* c) {
    c->room_lead = (wg_room_lead){0};
    c->rooms_at = 0;
}
