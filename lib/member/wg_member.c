/* wg_member.c -- see wg_member.h */
#include "wg_member.h"

#include <string.h>

/* ---- types -------------------------------------------------------------------------------- */

struct wgm_members {
    wgm_desc desc;
    wgm_member* items;
    int num;
    uint64_t version;
};

typedef struct {
    uint64_t score;
    const wgm_member* member;
} _wgm_scored_t;

/* ---- helpers ------------------------------------------------------------------------------ */

static wgm_member* _wgm_find(const wgm_members* m, const char* name) {
    for (int i = 0; i < m->num; i++) {
        if (strcmp(m->items[i].name, name) == 0) {
            return &m->items[i];
        }
    }
    return NULL;
}

static wgm_member* _wgm_add(wgm_members* m, const char* name) {
    if (m->num < m->desc.members_max) {
        wgm_member* member = &m->items[m->num++];
        *member = (wgm_member){0};
        wg_copy_name(member->name, sizeof member->name, name);
        return member;
    }
    /* The table is full: reuse the entry of an unreachable router. */
    for (int i = 0; i < m->num; i++) {
        if (m->items[i].state == WGM_STATE_UNREACHABLE) {
            m->items[i] = (wgm_member){0};
            wg_copy_name(m->items[i].name, sizeof m->items[i].name, name);
            return &m->items[i];
        }
    }
    return NULL;
}

static bool _wgm_is_retired(const wgm_member* member, uint64_t incarnation) {
    for (int i = 0; i < WGM_RETIRED_MAX; i++) {
        if (member->retired[i] == incarnation) {
            return true;
        }
    }
    return false;
}

static void _wgm_retire(wgm_member* member) {
    memmove(&member->retired[1], &member->retired[0],
            sizeof member->retired - sizeof member->retired[0]);
    member->retired[0] = member->incarnation;
}

static int _wgm_compare(const void* a, const void* b) {
    const _wgm_scored_t* left = a;
    const _wgm_scored_t* right = b;
    return left->score < right->score ? 1 : left->score > right->score ? -1 : 0;
}

/* ---- public functions --------------------------------------------------------------------- */

wgm_members* wgm_setup(const wgm_desc* desc, GError** error) {
    const wg_desc_field fields[] = {
        {"wgm_desc.members_max", desc->members_max, 0},
        {"wgm_desc.gone_after", desc->gone_after, 0},
    };
    if (!wg_desc_check(fields, G_N_ELEMENTS(fields), error)) {
        return NULL;
    }
    wgm_members* m = g_new0(wgm_members, 1);
    m->desc.members_max = desc->members_max ? desc->members_max : WGM_MEMBERS_DEFAULT;
    m->desc.gone_after = desc->gone_after ? desc->gone_after : WGM_GONE_AFTER_DEFAULT;
    m->items = g_new0(wgm_member, m->desc.members_max);
    return m;
}

void wgm_shutdown(wgm_members* m) {
    g_free(m->items);
    g_free(m);
}

wgm_event wgm_record_heartbeat(wgm_members* m, wg_time now, const wgm_member* heartbeat) {
    wgm_member* member = _wgm_find(m, heartbeat->name);
    wgm_event event = WGM_EVENT_DEFAULT;
    if (!member) {
        member = _wgm_add(m, heartbeat->name);
        if (!member) {
            return WGM_EVENT_FULL;
        }
        event = WGM_EVENT_UP;
    } else if (_wgm_is_retired(member, heartbeat->incarnation)) {
        return WGM_EVENT_STALE;
    } else if (member->incarnation != heartbeat->incarnation) {
        _wgm_retire(member);
        event = WGM_EVENT_RESTARTED;
    } else if (member->state == WGM_STATE_UNREACHABLE) {
        event = WGM_EVENT_UP;
    } else if (member->state == WGM_STATE_UP && heartbeat->state == WGM_STATE_LEAVING) {
        event = WGM_EVENT_LEAVING;
    }
    /* Within one incarnation, a router that is leaving does not return to service. */
    bool still_leaving = event == WGM_EVENT_DEFAULT && member->state == WGM_STATE_LEAVING;
    if (event != WGM_EVENT_DEFAULT) {
        member->version = ++m->version;
    }
    member->incarnation = heartbeat->incarnation;
    member->state = still_leaving ? WGM_STATE_LEAVING : heartbeat->state;
    wg_copy_name(member->address, sizeof member->address, heartbeat->address);
    wg_copy_name(member->data_centre, sizeof member->data_centre, heartbeat->data_centre);
    member->last_contact_at = now;
    return event;
}

void wgm_extend_deadlines(wgm_members* m, wg_time now, wg_time time) {
    for (int i = 0; i < m->num; i++) {
        wgm_member* member = &m->items[i];
        member->last_contact_at = MIN(member->last_contact_at + time, now);
    }
}

const wgm_member* wgm_tick(wgm_members* m, wg_time now) {
    for (int i = 0; i < m->num; i++) {
        wgm_member* member = &m->items[i];
        if (member->state != WGM_STATE_UNREACHABLE &&
            now - member->last_contact_at > m->desc.gone_after) {
            member->state = WGM_STATE_UNREACHABLE;
            member->version = ++m->version;
            return member;
        }
    }
    return NULL;
}

void wgm_put(wgm_members* m, const wgm_member* put) {
    wgm_member* member = _wgm_find(m, put->name);
    if (!member) {
        member = _wgm_add(m, put->name);
    }
    if (!member || put->version < member->version) {
        return;
    }
    *member = *put;
    m->version = MAX(m->version, put->version);
}

void wgm_clear(wgm_members* m) {
    m->num = 0;
    m->version = 0;
}

const wgm_member* wgm_at(const wgm_members* m, int i) {
    return i >= 0 && i < m->num ? &m->items[i] : NULL;
}

const wgm_member* wgm_find(const wgm_members* m, const char* name) {
    return _wgm_find(m, name);
}

uint64_t wgm_version(const wgm_members* m) {
    return m->version;
}

int wgm_pick_entry_hosts(const wgm_members* m, const char* workspace, const char* data_centre,
                         int spread, const wgm_member** list, int list_max) {
    uint64_t seed = wg_hash(workspace, strlen(workspace), 0);
    _wgm_scored_t* scored = g_new(_wgm_scored_t, m->num + 1);
    int num = 0;
    for (int i = 0; i < m->num; i++) {
        if (m->items[i].state == WGM_STATE_UP) {
            const char* name = m->items[i].name;
            scored[num].score = wg_hash(name, strlen(name), seed);
            scored[num++].member = &m->items[i];
        }
    }
    qsort(scored, (size_t)num, sizeof *scored, _wgm_compare);
    int wanted = MIN(MIN(num, list_max), spread > 0 ? spread : WGM_ENTRY_HOSTS_DEFAULT);
    int filled = 0;
    for (int local = 1; local >= 0; local--) {
        for (int i = 0; i < wanted; i++) {
            bool is_local = strcmp(scored[i].member->data_centre, data_centre) == 0;
            if (is_local == (local == 1)) {
                list[filled++] = scored[i].member;
            }
        }
    }
    g_free(scored);
    return filled;
}

wgm_stats wgm_query_stats(const wgm_members* m) {
    wgm_stats stats = {0};
    for (int i = 0; i < m->num; i++) {
        stats.up += m->items[i].state == WGM_STATE_UP;
        stats.leaving += m->items[i].state == WGM_STATE_LEAVING;
        stats.unreachable += m->items[i].state == WGM_STATE_UNREACHABLE;
    }
    return stats;
}
