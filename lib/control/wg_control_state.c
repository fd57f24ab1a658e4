/* wg_control_state.c -- state messages for entry hosts

   A host receives the changes since the versions it holds. Hosts that lack the same share one
   packed message. */
#include "wg_control_internal.h"

#include <string.h>

enum {
    /* A state tells how long targets stay cold, which must not be told long afterwards. */
    WG_SHARED_STATE_LIFETIME = 100 * WG_USEC_PER_MSEC,
    /* Time for running hosts to report to a new leader before it distributes the roster. */
    WG_MEMBERS_SETTLE = 1500 * WG_USEC_PER_MSEC
};

/* Everything an EntryState message points to; freed together after sending. */
typedef struct {
    Wgpb__EntryState message;
    GPtrArray* targets; /* wg_target*, borrowed */
    Wgpb__TargetRecord* records;
    wg_roster_difference roster;
    Wgpb__EntryMember* members;
    Wgpb__TargetLoad* loads;
    Wgpb__WorkspaceUsage* usage;
    Wgpb__ServiceRoom* rooms;
} _wgco_state_t;

static void _wgco_fill_targets(wgco_control* c, const _wgco_entry_t* e, _wgco_state_t* s,
                               wg_time now) {
    bool reset = false;
    s->message.registry_change = wg_registry_change(c->registry);
    if (e->registry_change == s->message.registry_change) {
        return;
    }
    s->targets = wg_registry_changes(c->registry, now, e->registry_change, &reset);
    s->message.registry_reset = reset;
    s->records = g_new(Wgpb__TargetRecord, s->targets->len + 1);
    s->message.targets = g_new(Wgpb__TargetRecord*, s->targets->len + 1);
    for (guint i = 0; i < s->targets->len; i++) {
        wg_target_pack(s->targets->pdata[i], now, &s->records[i]);
        s->message.targets[s->message.n_targets++] = &s->records[i];
    }
    c->targets_packed += s->message.n_targets;
    const GPtrArray* evacuated = wg_registry_evacuated(c->registry);
    s->message.evacuated = (char**)evacuated->pdata;
    s->message.n_evacuated = evacuated->len;
}

bool _wgco_is_settling(const wgco_control* c, wg_time now) {
    return now - c->led_since < WG_MEMBERS_SETTLE;
}

bool _wgco_sends_members(const wgco_control* c, const _wgco_entry_t* e, wg_time now) {
    bool complete = !_wgco_is_settling(c, now) || e->has_no_members;
    return e->roster_change != wg_roster_change(c->roster) && complete;
}

static void _wgco_fill_members(wgco_control* c, const _wgco_entry_t* e, _wgco_state_t* s,
                               bool with_changes, wg_time now) {
    s->message.members_num = (uint32_t)wg_roster_num(c->roster);
    s->message.members_change = e->roster_change;
    if (!with_changes || !_wgco_sends_members(c, e, now)) {
        return;
    }
    s->roster = wg_roster_since(c->roster, e->roster_change);
    s->members = g_new(Wgpb__EntryMember, s->roster.added->len + 1);
    s->message.members = g_new(Wgpb__EntryMember*, s->roster.added->len + 1);
    for (guint i = 0; i < s->roster.added->len; i++) {
        const wg_roster_host* host = s->roster.added->pdata[i];
        wgpb__entry_member__init(&s->members[i]);
        s->members[i].name = (char*)host->name;
        s->members[i].address = (char*)host->address;
        s->members[i].data_centre = (char*)host->data_centre;
        s->message.members[s->message.n_members++] = &s->members[i];
    }
    s->message.members_left = (char**)s->roster.removed->pdata;
    s->message.n_members_left = s->roster.removed->len;
    s->message.members_reset = s->roster.reset;
    s->message.members_change = s->roster.change;
}

/* Fills in the loads of all other hosts: the totals less the host's own report. */
static void _wgco_fill_loads(wgco_control* c, const _wgco_entry_t* e, _wgco_state_t* s,
                             wg_time now) {
    GPtrArray* told = _wgco_told_loads(c, now);
    s->loads = g_new(Wgpb__TargetLoad, told->len + 1);
    s->message.loads = g_new(Wgpb__TargetLoad*, told->len + 1);
    for (guint i = 0; i < told->len; i++) {
        const Wgpb__TargetLoad* total = told->pdata[i];
        const Wgpb__TargetLoad* own =
            g_hash_table_lookup(e->loads, GUINT_TO_POINTER(total->target));
        Wgpb__TargetLoad* out = &s->loads[s->message.n_loads];
        wgpb__target_load__init(out);
        out->target = total->target;
        out->unread = total->unread - (own ? own->unread : 0);
        out->running = total->running - (own ? own->running : 0);
        if (out->unread || out->running) {
            s->message.loads[s->message.n_loads++] = out;
        }
    }
    g_ptr_array_unref(told);
}

/* Lists the workspaces whose usage decides anything, and the sum of the others: of thousands of
   workspaces few use a notable part of the fleet. */
static void _wgco_fill_usage(wgco_control* c, _wgco_state_t* s, wg_time now) {
    _wgco_decay_usage(c, now);
    guint num = g_hash_table_size(c->usage);
    double small_tokens = 0;
    double small_asked = 0;
    double listed_from = _wgco_usage_listed_from(c);
    s->usage = g_new(Wgpb__WorkspaceUsage, num + 1);
    s->message.usage = g_new(Wgpb__WorkspaceUsage*, num + 1);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->usage);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _wgco_usage_t* usage = value;
        if (usage->asked < listed_from) {
            s->message.usage_small_num++;
            small_tokens += usage->tokens;
            small_asked += usage->asked;
            continue;
        }
        Wgpb__WorkspaceUsage* out = &s->usage[s->message.n_usage];
        wgpb__workspace_usage__init(out);
        out->workspace = usage->workspace;
        out->tokens = (uint64_t)usage->tokens;
        out->asked = (uint64_t)usage->asked;
        s->message.usage[s->message.n_usage++] = out;
    }
    s->message.usage_small_tokens = (uint64_t)small_tokens;
    s->message.usage_small_asked = (uint64_t)small_asked;
}

static void _wgco_fill_rooms(wgco_control* c, _wgco_state_t* s, wg_time now) {
    const GArray* rooms = _wgco_rooms(c, now);
    if (!rooms) {
        return;
    }
    s->rooms = g_new(Wgpb__ServiceRoom, rooms->len + 1);
    s->message.rooms = g_new(Wgpb__ServiceRoom*, rooms->len + 1);
    for (guint i = 0; i < rooms->len; i++) {
        const _wgco_room_t* room = &g_array_index(rooms, _wgco_room_t, i);
        Wgpb__ServiceRoom* out = &s->rooms[i];
        wgpb__service_room__init(out);
        out->name = (char*)room->service;
        out->ready = room->count.ready;
        out->with_room = room->count.with_room;
        s->message.rooms[s->message.n_rooms++] = out;
    }
}

static void _wgco_fill_quarantine(const wgco_control* c, const _wgco_entry_t* e, _wgco_state_t* s) {
    s->message.quarantine_change = wg_quarantine_change(c->quarantine);
    if (e->quarantine_change != s->message.quarantine_change) {
        s->message.quarantined = wg_quarantine_fingerprints(c->quarantine);
        s->message.n_quarantined = (size_t)wg_quarantine_num(c->quarantine);
    }
}

static void _wgco_state_clear(_wgco_state_t* s) {
    if (s->targets) {
        g_ptr_array_unref(s->targets);
    }
    g_free(s->records);
    g_free(s->message.targets);
    wg_roster_difference_clear(&s->roster);
    g_free(s->message.controls);
    g_free(s->members);
    g_free(s->message.members);
    g_free(s->loads);
    g_free(s->message.loads);
    g_free(s->usage);
    g_free(s->message.usage);
    g_free(s->rooms);
    g_free(s->message.rooms);
    g_free(s->message.quarantined);
}

static void _wgco_fill_controls(_wgco_state_t* s, const wgr_set* set) {
    s->message.controls = g_new(char*, WGR_REPLICAS_MAX);
    for (int i = 0; i < set->num; i++) {
        s->message.controls[s->message.n_controls++] = (char*)set->replicas[i].address;
    }
}

bool _wgco_serves_standby(const wgco_control* c, const _wgco_entry_t* e, wg_time now) {
    return e->standby && !c->leads && wgr_query_stats(c->node, now).leader == 0;
}

wgn_frame* _wgco_pack_entry_state(wgco_control* c, const _wgco_entry_t* e, _wgco_content content,
                                  wg_time now) {
    bool with_loads = content == _WGCO_CONTENT_ANSWER;
    _wgco_state_t s = {0};
    wgpb__entry_state__init(&s.message);
    s.message.seq = c->state_seq;
    s.message.term = wgr_query_stats(c->node, now).term;
    s.message.leader_address = (char*)_wgco_leader_address(c);
    s.message.leads = c->leads && wgr_leads(c->node, now);
    s.message.report_ms = (uint32_t)(_wgco_report_interval(c) / WG_USEC_PER_MSEC);
    if (!e->reported || !s.message.leads || with_loads) {
        _wgco_fill_controls(&s, wgr_query_set(c->node));
    }
    s.message.standby = _wgco_serves_standby(c, e, now);
    if ((s.message.leads && e->reported) || s.message.standby) {
        s.message.configuration_version = c->documents.version;
        _wgco_fill_targets(c, e, &s, now);
        _wgco_fill_quarantine(c, e, &s);
    }
    if (s.message.leads && e->reported) {
        _wgco_fill_members(c, e, &s, content != _WGCO_CONTENT_TARGETS, now);
    }
    if (s.message.leads && e->reported && with_loads) {
        s.message.report_seq = e->report_seq;
        _wgco_fill_loads(c, e, &s, now);
        _wgco_fill_usage(c, &s, now);
        _wgco_fill_rooms(c, &s, now);
    }
    bool shared = !with_loads;
    c->states_packed++;
    wgn_frame* frame = shared ? wgn_frame_pack_compressed(WGW_TYPE_ENTRY_STATE, &s.message.base)
                              : wgn_frame_pack(WGW_TYPE_ENTRY_STATE, &s.message.base);
    _wgco_state_clear(&s);
    return frame;
}

/* ---- shared states --------------------------------------------------------------------------- */

/* All that a state without loads depends on, but for the time that targets stay cold. While many
   hosts start, the roster changes with each of them, but not what is told of targets. */
static _wgco_state_key_t _wgco_state_key(const wgco_control* c, const _wgco_entry_t* e,
                                         _wgco_content content, wg_time now) {
    wgr_stats stats = wgr_query_stats(c->node, now);
    bool members = content != _WGCO_CONTENT_TARGETS;
    return (_wgco_state_key_t){
        .has_registry_change = e->registry_change,
        .has_roster_change = e->roster_change,
        .has_quarantine_change = e->quarantine_change,
        .registry_change = wg_registry_change(c->registry),
        .roster_change = members ? wg_roster_change(c->roster) : 0,
        .quarantine_change = wg_quarantine_change(c->quarantine),
        .configuration_version = c->documents.version,
        .term = stats.term,
        .leader = stats.leader,
        .hosts = members ? g_hash_table_size(c->entries) : 0,
        .leads = c->leads && wgr_leads(c->node, now),
        .sends_members = members && _wgco_sends_members(c, e, now),
        .reported = e->reported,
        .standby = _wgco_serves_standby(c, e, now),
        .content = content,
    };
}

const _wgco_shared_state_t* _wgco_shared_state(wgco_control* c, const _wgco_entry_t* e,
                                               _wgco_content content, wg_time now) {
    _wgco_state_key_t key = _wgco_state_key(c, e, content, now);
    for (int i = 0; i < _WGCO_SHARED_STATES_MAX; i++) {
        const _wgco_shared_state_t* shared = &c->shared_states[i];
        if (shared->frame && now - shared->packed_at < WG_SHARED_STATE_LIFETIME &&
            memcmp(&shared->key, &key, sizeof key) == 0) {
            return shared;
        }
    }
    _wgco_shared_state_t* shared = &c->shared_states[c->shared_next++ % _WGCO_SHARED_STATES_MAX];
    wgn_frame_unref(shared->frame);
    c->state_seq++;
    shared->frame = _wgco_pack_entry_state(c, e, content, now);
    shared->seq = c->state_seq;
    shared->packed_at = now;
    shared->key = key;
    return shared;
}

void _wgco_shared_states_clear(wgco_control* c) {
    for (int i = 0; i < _WGCO_SHARED_STATES_MAX; i++) {
        g_clear_pointer(&c->shared_states[i].frame, wgn_frame_unref);
    }
}
