/* wg_control_usage.c -- loads of targets and usage of workspaces, summed over entry hosts

   Not replicated: each new leader sums up what the hosts report. What is told to hosts is bounded,
   however many targets and workspaces there are. */
#include "wg_control_internal.h"
#include "wg_usage.h"

#include <math.h>

enum {
    /* Loads told to a host at once. Beyond this number the fullest targets are told. */
    WG_LOADS_TOLD_MAX = 256,
    WG_LOADS_TOLD_INTERVAL = 100 * WG_USEC_PER_MSEC, /* until they are selected again */
    WG_UNREAD_FULL = 20000, /* prompt tokens that keep a target busy for about an objective */
    /* More tokens or requests at one target in a host's report are cut to this. Callers state the
       tokens of prompts, so they may be absurd; the sum of 4,096 hosts fits into 32 bits. */
    WG_LOAD_MAX = (1 << 20) - 1,
    /* Longer times to process prompts in a host's report are cut to this, so that sums of absurd
       values do not overflow. */
    WG_READ_TIME_MAX = 600 * WG_USEC_PER_SEC,
    /* Prompt tokens per millisecond assumed for loads reported without a time, by hosts that do not
       use room. The start value of lib/speed. */
    WG_TOKENS_PER_MS_UNKNOWN = 30,
    /* A workspace is listed to hosts from this fraction of the largest demand on. */
    WG_USAGE_LISTED_DIVISOR = 256
};

/* Fullness from which a load is told when there are too many. */
static const double WG_FULLNESS_TOLD_MIN = 1.0 / 16;

/* ---- helpers: loads ---------------------------------------------------------------------------
 */

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
    total->read_us += (uint64_t)(int64_t)sign * load->read_us;
    if (total->unread == 0 && total->running == 0) {
        g_hash_table_remove(c->load_totals, GUINT_TO_POINTER(load->target));
    }
}

void _wgco_remove_loads(wgco_control* c, _wgco_entry_t* e) {
    GHashTableIter iter;
    gpointer load;
    g_hash_table_iter_init(&iter, e->loads);
    while (g_hash_table_iter_next(&iter, NULL, &load)) {
        _wgco_add_load(c, load, -1);
    }
    g_hash_table_remove_all(e->loads);
}

/* Expected microseconds to process the unread tokens of one host. */
static uint64_t _wgco_read_time(const Wgpb__TargetLoad* in) {
    uint64_t unknown = (uint64_t)in->unread * WG_USEC_PER_MSEC / WG_TOKENS_PER_MS_UNKNOWN;
    if (in->unread == 0) {
        return 0; /* totals are dropped once their tokens and requests are 0 */
    }
    return MIN(in->read_us ? in->read_us : unknown, (uint64_t)WG_READ_TIME_MAX);
}

void _wgco_replace_loads(wgco_control* c, _wgco_entry_t* e, const Wgpb__EntryReport* in) {
    _wgco_remove_loads(c, e);
    for (size_t i = 0; i < in->n_loads; i++) {
        gpointer key = GUINT_TO_POINTER(in->loads[i]->target);
        if (g_hash_table_contains(e->loads, key)) {
            continue; /* duplicate target: the first one counts */
        }
        Wgpb__TargetLoad* load = g_new(Wgpb__TargetLoad, 1);
        wgpb__target_load__init(load);
        load->target = in->loads[i]->target;
        load->unread = MIN(in->loads[i]->unread, WG_LOAD_MAX);
        load->running = MIN(in->loads[i]->running, WG_LOAD_MAX);
        load->read_us = _wgco_read_time(in->loads[i]);
        g_hash_table_insert(e->loads, key, load);
        _wgco_add_load(c, load, 1);
    }
}

uint32_t _wgco_target_slots(const wg_target* target) {
    return target->slots ? target->slots : WG_ROOM_SLOTS_DEFAULT;
}

/* How far the known load fills a target; 1: about as much as it takes. */
static double _wgco_fullness(const wgco_control* c, const Wgpb__TargetLoad* total) {
    const wg_target* target = wg_registry_find(c->registry, total->target);
    uint32_t slots = target ? _wgco_target_slots(target) : WG_ROOM_SLOTS_DEFAULT;
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

GPtrArray* _wgco_told_loads(wgco_control* c, wg_time now) {
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

/* ---- helpers: usage ---------------------------------------------------------------------------
 */

void _wgco_decay_usage(wgco_control* c, wg_time now) {
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

void _wgco_update_usage(wgco_control* c, _wgco_entry_t* e, const Wgpb__EntryReport* in) {
    for (size_t i = 0; i < in->n_usage; i++) {
        const Wgpb__WorkspaceUsage* now = in->usage[i];
        uint64_t workspace = now->workspace;
        _wgco_reported_t* before = g_hash_table_lookup(e->usage, &workspace);
        if (!before) {
            /* The first report to this leader is the baseline. */
            before = g_new0(_wgco_reported_t, 1);
            before->workspace = workspace;
            g_hash_table_insert(e->usage, &before->workspace, before);
        } else if (now->tokens >= before->tokens && now->asked >= before->asked) {
            _wgco_add_usage(c, workspace, now->tokens - before->tokens, now->asked - before->asked);
        }
        before->tokens = now->tokens;
        before->asked = now->asked;
    }
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

double _wgco_usage_listed_from(const wgco_control* c) {
    return _wgco_largest_demand(c) / WG_USAGE_LISTED_DIVISOR;
}
