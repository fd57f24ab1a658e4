/* wg_control_entry.c -- the leader's state for entry hosts

   Configurations and target changes are committed in the replicated log and pushed to every entry
   host once applied. Loads, usage and the roster of entry hosts are not replicated: each new leader
   rebuilds them from the hosts' reports.

   A host receives the changes since the versions it holds. Whatever was sent on a link counts as
   held: links preserve order, and a host that cannot apply a message closes the link and
   reconnects. */
#include "wg_contact.h"
#include "wg_control_internal.h"
#include "wg_usage.h"

#include <math.h>
#include <string.h>

enum {
    /* Interval between pushes per connected entry host, so that changes made together are sent
       together. */
    WG_PUSH_INTERVAL_PER_ENTRY = 100, /* microseconds */
    /* Loads told to a host at once. Beyond this number the fullest targets are told. */
    WG_LOADS_TOLD_MAX = 256,
    WG_LOADS_TOLD_INTERVAL = 100 * WG_USEC_PER_MSEC, /* until they are selected again */
    WG_SLOTS_UNKNOWN = 16,  /* assumed for a target that reports no slots */
    WG_UNREAD_FULL = 20000, /* prompt tokens that keep a target busy for about an objective */
    /* A workspace is listed to hosts from this fraction of the largest demand on. */
    WG_USAGE_LISTED_DIVISOR = 256,
    /* Time for running hosts to report to a new leader before it distributes the roster. */
    WG_MEMBERS_SETTLE = 1500 * WG_USEC_PER_MSEC
};

/* Fullness from which a load is told when there are too many. */
static const double WG_FULLNESS_TOLD_MIN = 1.0 / 16;

/* ---- helpers: entry hosts ------------------------------------------------------------------ */

static void _wgco_entry_free(void* data) {
    _wgco_entry_t* e = data;
    g_hash_table_unref(e->loads);
    g_hash_table_unref(e->usage);
    g_free(e);
}

static _wgco_entry_t* _wgco_find_entry(const wgco_control* c, wgn_link link) {
    return g_hash_table_lookup(c->entries, GUINT_TO_POINTER(link.id));
}

static void _wgco_add_load(wgco_control* c, const Wgpb__TargetLoad* load, int sign) {
    Wgpb__TargetLoad* total = g_hash_table_lookup(c->load_totals, GUINT_TO_POINTER(load->target));
    if (!total) {
        total = g_new(Wgpb__TargetLoad, 1);
        wgpb__target_load__init(total);
        total->target = load->target;
        g_hash_table_insert(c->load_totals, GUINT_TO_POINTER(load->target), total);
    }
    WG_ASSERT(sign > 0 || (total->unread >= load->unread && total->running >= load->running));
    total->unread += (uint32_t)sign * load->unread;
    total->running += (uint32_t)sign * load->running;
    if (total->unread == 0 && total->running == 0) {
        g_hash_table_remove(c->load_totals, GUINT_TO_POINTER(load->target));
    }
}

static void _wgco_remove_loads(wgco_control* c, _wgco_entry_t* e) {
    GHashTableIter iter;
    gpointer load;
    g_hash_table_iter_init(&iter, e->loads);
    while (g_hash_table_iter_next(&iter, NULL, &load)) {
        _wgco_add_load(c, load, -1);
    }
    g_hash_table_remove_all(e->loads);
}

static void _wgco_replace_loads(wgco_control* c, _wgco_entry_t* e, const Wgpb__EntryReport* in) {
    _wgco_remove_loads(c, e);
    for (size_t i = 0; i < in->n_loads; i++) {
        gpointer key = GUINT_TO_POINTER(in->loads[i]->target);
        if (g_hash_table_contains(e->loads, key)) {
            continue; /* duplicate target: the first one counts */
        }
        Wgpb__TargetLoad* load = g_new(Wgpb__TargetLoad, 1);
        wgpb__target_load__init(load);
        load->target = in->loads[i]->target;
        load->unread = in->loads[i]->unread;
        load->running = in->loads[i]->running;
        g_hash_table_insert(e->loads, key, load);
        _wgco_add_load(c, load, 1);
    }
}

/* ---- helpers: usage ------------------------------------------------------------------------ */

static void _wgco_decay_usage(wgco_control* c, wg_time now) {
    double keep = exp2(-(double)(now - c->usage_at) / WG_USAGE_HALF_LIFE);
    c->usage_at = now;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->usage);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wgco_usage_t* usage = value;
        usage->tokens *= keep;
        usage->asked *= keep;
        if (usage->asked < 1) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void _wgco_add_usage(wgco_control* c, uint64_t workspace, uint64_t tokens, uint64_t asked) {
    _wgco_usage_t* usage = g_hash_table_lookup(c->usage, &workspace);
    if (!usage) {
        usage = g_new0(_wgco_usage_t, 1);
        usage->workspace = workspace;
        g_hash_table_insert(c->usage, &usage->workspace, usage);
    }
    usage->tokens += (double)tokens;
    usage->asked += (double)asked;
}

/* Adds what the workspaces used since their last report. The first report on a link lists all that
   the host has counted, which is where counting begins; a workspace that appears later starts from
   zero. In a large fleet most workspaces send a host one request only. */
static void _wgco_update_usage(wgco_control* c, _wgco_entry_t* e, const Wgpb__EntryReport* in,
                               bool first) {
    for (size_t i = 0; i < in->n_usage; i++) {
        const Wgpb__WorkspaceUsage* now = in->usage[i];
        uint64_t workspace = now->workspace;
        _wgco_reported_t* before = g_hash_table_lookup(e->usage, &workspace);
        if (!before) {
            before = g_new0(_wgco_reported_t, 1);
            before->workspace = workspace;
            g_hash_table_insert(e->usage, &before->workspace, before);
        }
        if (!first && now->tokens >= before->tokens && now->asked >= before->asked) {
            _wgco_add_usage(c, workspace, now->tokens - before->tokens, now->asked - before->asked);
        }
        before->tokens = now->tokens;
        before->asked = now->asked;
    }
}

/* ---- helpers: members ---------------------------------------------------------------------- */

static void _wgco_update_member(wgco_control* c, const _wgco_entry_t* e, wg_time now) {
    if (!e->ready || e->leaving) {
        if (wg_roster_leave(c->roster, e->name)) {
            wg_log(WG_EVENT_MEMBER_LEAVING, "entry=%s", e->name);
            _wgco_entry_schedule_push(c);
        }
        return;
    }
    wg_roster_host host = {0};
    wg_copy_name(host.name, sizeof host.name, e->name);
    wg_copy_name(host.address, sizeof host.address, e->address);
    wg_copy_name(host.data_centre, sizeof host.data_centre, e->data_centre);
    if (wg_roster_record_report(c->roster, now, &host)) {
        wg_log(WG_EVENT_MEMBER_UP, "entry=%s", e->name);
        _wgco_entry_schedule_push(c);
    }
}

static wg_time _wgco_report_interval(const wgco_control* c) {
    return wg_contact_report_interval((int)g_hash_table_size(c->entries));
}

static void _wgco_remove_unresponsive_members(wgco_control* c, wg_time now) {
    char name[WG_NAME_MAX];
    wg_time timeout = wg_contact_host_timeout(_wgco_report_interval(c));
    while (wg_roster_remove_unresponsive(c->roster, now, timeout, name)) {
        wg_log(WG_EVENT_MEMBER_GONE, "entry=%s", name);
        _wgco_entry_schedule_push(c);
    }
}

/* ---- helpers: states ----------------------------------------------------------------------- */

/* Everything an EntryState message points to; freed together after sending. */
typedef struct {
    Wgpb__EntryState message;
    GPtrArray* targets; /* wg_target*, borrowed */
    Wgpb__TargetRecord* records;
    wg_roster_difference roster;
    Wgpb__EntryMember* members;
    Wgpb__TargetLoad* loads;
    Wgpb__WorkspaceUsage* usage;
} _wgco_state_t;

static void _wgco_fill_targets(wgco_control* c, const _wgco_entry_t* e, _wgco_state_t* s,
                               wg_time now) {
    bool reset = false;
    s->message.registry_change = wg_registry_change(c->registry);
    if (e->registry_change == s->message.registry_change) {
        return;
    }
    s->targets = wg_registry_changes(c->registry, e->registry_change, &reset);
    s->message.registry_reset = reset;
    s->records = g_new(Wgpb__TargetRecord, s->targets->len + 1);
    s->message.targets = g_new(Wgpb__TargetRecord*, s->targets->len + 1);
    for (guint i = 0; i < s->targets->len; i++) {
        wg_target_pack(s->targets->pdata[i], now, &s->records[i]);
        s->message.targets[s->message.n_targets++] = &s->records[i];
    }
    const GPtrArray* evacuated = wg_registry_evacuated(c->registry);
    s->message.evacuated = (char**)evacuated->pdata;
    s->message.n_evacuated = evacuated->len;
}

/* True if the host should receive roster changes. An incomplete roster would turn callers away
   from hosts that are up, so it is withheld while a new leader waits for reports. */
static bool _wgco_sends_members(const wgco_control* c, const _wgco_entry_t* e, wg_time now) {
    bool settling = now - c->led_since < WG_MEMBERS_SETTLE;
    return e->roster_change != wg_roster_change(c->roster) && (!settling || e->has_no_members);
}

static void _wgco_fill_members(wgco_control* c, const _wgco_entry_t* e, _wgco_state_t* s,
                               wg_time now) {
    s->message.members_num = (uint32_t)wg_roster_num(c->roster);
    s->message.members_change = e->roster_change;
    if (!_wgco_sends_members(c, e, now)) {
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

/* How far the known load fills a target; 1: about as much as it takes. */
static double _wgco_fullness(const wgco_control* c, const Wgpb__TargetLoad* total) {
    const wg_target* target = wg_registry_find(c->registry, total->target);
    uint32_t slots = target && target->slots ? target->slots : WG_SLOTS_UNKNOWN;
    return (double)total->running / slots + (double)total->unread / WG_UNREAD_FULL;
}

typedef struct {
    uint32_t target;
    double fullness;
} _wgco_loaded_t;

static int _wgco_compare_loaded(const void* a, const void* b) {
    double first = ((const _wgco_loaded_t*)a)->fullness;
    double second = ((const _wgco_loaded_t*)b)->fullness;
    return first > second ? -1 : first < second;
}

/* Selects the targets whose loads are told to hosts: all, or of very many the fullest ones. The
   others have room, whoever sends to them. */
static void _wgco_select_loads(wgco_control* c, wg_time now) {
    if (c->loads_told->len > 0 && now - c->loads_told_at < WG_LOADS_TOLD_INTERVAL) {
        return;
    }
    GArray* loaded = g_array_new(FALSE, FALSE, sizeof(_wgco_loaded_t));
    bool all = g_hash_table_size(c->load_totals) <= WG_LOADS_TOLD_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->load_totals);
    while (!all && g_hash_table_iter_next(&iter, NULL, &value)) {
        const Wgpb__TargetLoad* total = value;
        _wgco_loaded_t item = {total->target, _wgco_fullness(c, total)};
        if (item.fullness >= WG_FULLNESS_TOLD_MIN) {
            g_array_append_val(loaded, item);
        }
    }
    g_array_sort(loaded, _wgco_compare_loaded);
    g_array_set_size(c->loads_told, 0);
    for (guint i = 0; i < MIN(loaded->len, (guint)WG_LOADS_TOLD_MAX); i++) {
        uint32_t number = g_array_index(loaded, _wgco_loaded_t, i).target;
        g_array_append_val(c->loads_told, number);
    }
    c->loads_told_at = now;
    g_array_unref(loaded);
}

/* The loads that are told, const Wgpb__TargetLoad*; the caller frees the array only. */
static GPtrArray* _wgco_told_loads(wgco_control* c, wg_time now) {
    GPtrArray* list = g_ptr_array_new();
    if (g_hash_table_size(c->load_totals) <= WG_LOADS_TOLD_MAX) {
        GHashTableIter iter;
        gpointer total;
        g_hash_table_iter_init(&iter, c->load_totals);
        while (g_hash_table_iter_next(&iter, NULL, &total)) {
            g_ptr_array_add(list, total);
        }
        return list;
    }
    _wgco_select_loads(c, now);
    for (guint i = 0; i < c->loads_told->len; i++) {
        gpointer key = GUINT_TO_POINTER(g_array_index(c->loads_told, uint32_t, i));
        Wgpb__TargetLoad* total = g_hash_table_lookup(c->load_totals, key);
        if (total) {
            g_ptr_array_add(list, total);
        }
    }
    return list;
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

static double _wgco_largest_demand(const wgco_control* c) {
    double largest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->usage);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        largest = MAX(largest, ((const _wgco_usage_t*)value)->asked);
    }
    return largest;
}

/* Lists the workspaces whose usage decides anything, and the sum of the others: of thousands of
   workspaces few use a notable part of the fleet. */
static void _wgco_fill_usage(wgco_control* c, _wgco_state_t* s, wg_time now) {
    _wgco_decay_usage(c, now);
    guint num = g_hash_table_size(c->usage);
    double small_tokens = 0;
    double small_asked = 0;
    double listed_from = _wgco_largest_demand(c) / WG_USAGE_LISTED_DIVISOR;
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
    g_free(s->message.quarantined);
}

static void _wgco_fill_controls(_wgco_state_t* s, const wgr_set* set) {
    s->message.controls = g_new(char*, WGR_REPLICAS_MAX);
    for (int i = 0; i < set->num; i++) {
        s->message.controls[s->message.n_controls++] = (char*)set->replicas[i].address;
    }
}

/* True if a replica without a known leader may send its applied state to the host. That state is
   committed but may be outdated. */
static bool _wgco_serves_standby(const wgco_control* c, const _wgco_entry_t* e, wg_time now) {
    return e->standby && !c->leads && wgr_query_stats(c->node, now).leader == 0;
}

/* Packs the state that `e` lacks. */
static wgn_frame* _wgco_pack_entry_state(wgco_control* c, const _wgco_entry_t* e, bool with_loads,
                                         wg_time now) {
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
        _wgco_fill_members(c, e, &s, now);
    }
    if (s.message.leads && e->reported && with_loads) {
        _wgco_fill_loads(c, e, &s, now);
        _wgco_fill_usage(c, &s, now);
    }
    wgn_frame* frame = wgn_frame_pack(WGW_TYPE_ENTRY_STATE, &s.message.base);
    _wgco_state_clear(&s);
    return frame;
}

static void _wgco_send_configuration(wgco_control* c, _wgco_entry_t* e) {
    wgn_frame* frame = _wgco_documents_frame(&c->documents, e->configuration_version);
    if (frame && wgn_send_frame(c->net, e->link, frame)) {
        e->configuration_version = c->documents.version;
    }
}

/* Sends a state and records what the host then holds. */
static void _wgco_send_frame(wgco_control* c, _wgco_entry_t* e, wgn_frame* state, wg_time now) {
    bool leads = c->leads && wgr_leads(c->node, now) && e->reported;
    bool sends_state = leads || _wgco_serves_standby(c, e, now);
    if (sends_state) {
        _wgco_send_configuration(c, e);
    }
    if (!wgn_send_frame(c->net, e->link, state)) {
        return;
    }
    e->state_seq = c->state_seq;
    if (sends_state) {
        e->registry_change = wg_registry_change(c->registry);
        e->quarantine_change = wg_quarantine_change(c->quarantine);
    }
    if (leads && _wgco_sends_members(c, e, now)) {
        e->roster_change = wg_roster_change(c->roster);
    }
}

static void _wgco_answer_report(wgco_control* c, _wgco_entry_t* e) {
    wg_time now = wg_now();
    c->state_seq++;
    wgn_frame* state = _wgco_pack_entry_state(c, e, true, now);
    _wgco_send_frame(c, e, state, now);
    wgn_frame_unref(state);
}

/* ---- helpers: pushes ----------------------------------------------------------------------- */

/* A state packed for one host and shared with others that hold the same versions. */
typedef struct {
    wgn_frame* state; /* NULL: not packed yet */
    uint64_t registry_change;
    uint64_t roster_change;
    uint64_t quarantine_change;
    bool has_no_members;
} _wgco_shared_t;

static bool _wgco_can_share_state(const _wgco_shared_t* shared, const _wgco_entry_t* e) {
    return shared->state && shared->registry_change == e->registry_change &&
           shared->roster_change == e->roster_change &&
           shared->quarantine_change == e->quarantine_change &&
           shared->has_no_members == e->has_no_members;
}

static bool _wgco_is_outdated(const wgco_control* c, const _wgco_entry_t* e, wg_time now) {
    return e->configuration_version < c->documents.version ||
           e->registry_change != wg_registry_change(c->registry) ||
           e->quarantine_change != wg_quarantine_change(c->quarantine) ||
           _wgco_sends_members(c, e, now);
}

/* Sends each entry host the state it lacks; with `all`, also notifies up-to-date hosts of the
   leader. */
static void _wgco_push(wgco_control* c, bool all) {
    wg_time now = wg_now();
    _wgco_shared_t shared = {0};
    GHashTableIter iter;
    gpointer value;
    c->push_due = false;
    c->pushed_at = now;
    c->state_seq++;
    g_hash_table_iter_init(&iter, c->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wgco_entry_t* e = value;
        if (!e->reported || (!all && !_wgco_is_outdated(c, e, now))) {
            continue;
        }
        if (!_wgco_can_share_state(&shared, e)) {
            wgn_frame_unref(shared.state);
            shared = (_wgco_shared_t){.state = _wgco_pack_entry_state(c, e, false, now),
                                      .registry_change = e->registry_change,
                                      .roster_change = e->roster_change,
                                      .quarantine_change = e->quarantine_change,
                                      .has_no_members = e->has_no_members};
        }
        _wgco_send_frame(c, e, shared.state, now);
    }
    wgn_frame_unref(shared.state);
}

static void _wgco_push_if_due(wgco_control* c, wg_time now) {
    wg_time gap = WG_PUSH_INTERVAL_PER_ENTRY * (wg_time)g_hash_table_size(c->entries);
    if (c->push_due && now >= c->pushed_at + gap) {
        _wgco_push(c, false);
    }
}

/* ---- functions of the library: links ------------------------------------------------------- */

void _wgco_entry_setup(wgco_control* c) {
    c->entries = g_hash_table_new_full(NULL, NULL, NULL, _wgco_entry_free);
    c->roster = wg_roster_setup();
    _wgco_documents_setup(&c->documents);
    _wgco_confirm_setup(c);
    c->load_totals = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    c->loads_told = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    c->usage = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void _wgco_entry_shutdown(wgco_control* c) {
    g_clear_pointer(&c->entries, g_hash_table_unref);
    g_clear_pointer(&c->roster, wg_roster_shutdown);
    _wgco_documents_clear(&c->documents);
    _wgco_confirm_shutdown(c);
    g_clear_pointer(&c->load_totals, g_hash_table_unref);
    g_clear_pointer(&c->loads_told, g_array_unref);
    g_clear_pointer(&c->usage, g_hash_table_unref);
    g_clear_pointer(&c->registry, wg_registry_shutdown);
}

void _wgco_entry_up(wgco_control* c, wgn_link link, const wgn_peer* peer) {
    _wgco_entry_t* e = g_new0(_wgco_entry_t, 1);
    e->link = link;
    wg_copy_name(e->name, sizeof e->name, peer->name);
    wg_copy_name(e->address, sizeof e->address, peer->address);
    wg_copy_name(e->data_centre, sizeof e->data_centre, peer->data_centre);
    e->loads = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    e->usage = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_hash_table_insert(c->entries, GUINT_TO_POINTER(link.id), e);
}

void _wgco_entry_down(wgco_control* c, wgn_link link) {
    _wgco_entry_t* e = _wgco_find_entry(c, link);
    if (e) {
        _wgco_remove_loads(c, e);
        g_hash_table_remove(c->entries, GUINT_TO_POINTER(link.id));
    }
}

void _wgco_entry_receive_report(wgco_control* c, wgn_link link, const wgw_frame* frame) {
    _wgco_entry_t* e = _wgco_find_entry(c, link);
    Wgpb__EntryReport* in =
        e ? wgpb__entry_report__unpack(NULL, frame->size, frame->payload) : NULL;
    if (!in) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=entry-report");
        return;
    }
    if (_wgco_check_superseded(c, in->recovery, wgn_query_peer(c->net, link))) {
        wgpb__entry_report__free_unpacked(in, NULL);
        return;
    }
    _wgco_confirm_receive_report(c, e, in);
    bool first = !e->reported;
    e->has_no_members = e->has_no_members || (first && in->members_change == 0);
    e->reported = true;
    if (in->state_seen == e->state_seq) { /* otherwise a newer state is in transit */
        e->configuration_version = in->configuration_version;
        e->registry_change = in->registry_change;
        e->roster_change = in->members_change;
        e->quarantine_change = in->quarantine_change;
    }
    e->ready = in->ready;
    e->standby = in->standby;
    e->leaving = in->leaving;
    _wgco_replace_loads(c, e, in);
    _wgco_update_usage(c, e, in, first);
    _wgco_quarantine_receive_report(c, e, in);
    if (c->leads) {
        _wgco_update_member(c, e, wg_now());
    }
    wgpb__entry_report__free_unpacked(in, NULL);
    _wgco_answer_report(c, e);
}

void _wgco_entry_schedule_push(wgco_control* c) {
    c->push_due = true;
}

void _wgco_entry_redirect(wgco_control* c) {
    _wgco_push(c, true);
}

/* ---- functions of the library: leadership -------------------------------------------------- */

void _wgco_entry_lead_begin(wgco_control* c, wg_time now) {
    c->led_since = now;
    c->usage_at = now;
    wg_roster_begin(c->roster, wgr_query_stats(c->node, now).term);
    g_hash_table_remove_all(c->usage);
    wg_registry_reset_contacts(c->registry, now);
    _wgco_confirm_lead_begin(c, now);
    _wgco_push(c, true);
}

void _wgco_entry_lead_end(wgco_control* c) {
    _wgco_confirm_lead_end(c);
    _wgco_push(c, true);
}

void _wgco_entry_tick(wgco_control* c, wg_time now) {
    _wgco_remove_unresponsive_members(c, now);
    _wgco_quarantine_tick(c, now);
    _wgco_confirm_tick(c, now);
    _wgco_push_if_due(c, now);
    const wg_target* unresponsive = wg_registry_find_unresponsive(
        c->registry, now, c->settings->target_silent_ms * WG_USEC_PER_MSEC);
    if (!unresponsive) {
        return;
    }
    Wgpb__Command command = WGPB__COMMAND__INIT;
    Wgpb__TargetRecord record;
    wg_target copy = *unresponsive;
    copy.state = WG_TARGET_UNRESPONSIVE;
    wg_target_pack(&copy, now, &record);
    command.target = &record;
    wg_registry_record_proposal(c->registry, copy.number, now);
    _wgco_propose(c, &command.base, NULL);
}
