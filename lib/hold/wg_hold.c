/* wg_hold.c -- see wg_hold.h

   Each target with waiting requests has a sequence of groups, one for each workspace, ordered by
   usage. A group has a bucket for each rank and size class, ordered by the time left. So a decision
   looks at the heads of a few buckets, however many requests wait. */
#include "wg_hold.h"

#include "wg_fair.h"

#include <math.h>
#include <string.h>

/* ---- types and constants ------------------------------------------------------------------- */

enum {
    /* Time constant with which a charged grant gives way to reported usage: hosts and the leader
       report each 100 to 140 ms, so a grant is reported after some 150 ms in the mean. */
    _WG_HOLD_CHARGE_TIME = 150 * WG_USEC_PER_MSEC,
    /* Shortest time from one look at a target (an examination of its requests) to the next one that
       is due by time, so that small differences do not cause many looks. Looks caused by messages
       are not delayed. */
    _WG_HOLD_LOOK_GAP_MIN = 10 * WG_USEC_PER_MSEC,
    /* Bounds of one look, as it takes time of the event loop. */
    _WG_HOLD_DECISIONS_MAX = 32,    /* calls of `decide` */
    _WG_HOLD_EXAMINED_MAX = 512,    /* requests examined */
    _WG_HOLD_RANKS_MAX = 4,         /* lower priorities share the last rank */
    _WG_HOLD_SIZE_TOKENS_MIN = 512, /* upper bound of the first size class */
    _WG_HOLD_SIZE_FACTOR = 4,       /* ratio of the bounds of two size classes */
    _WG_HOLD_SIZES_MAX = 8
};

/* Longest wait and limit that are kept, so that sums of times do not overflow. */
static const wg_time _WG_HOLD_TIME_MAX = 3600 * (wg_time)WG_USEC_PER_SEC;

/* Buckets of a group are marked in a word of 32 bits. */
_Static_assert(_WG_HOLD_RANKS_MAX* _WG_HOLD_SIZES_MAX <= 32, "buckets of a group");

typedef struct _wg_hold_target _wg_hold_target;
typedef struct _wg_hold_group _wg_hold_group;
typedef struct _wg_hold_bucket _wg_hold_bucket;

/* Item of the sequence of times at which something is due: a request or a target. */
typedef struct {
    wg_time at;
    uint64_t number;              /* distinguishes items of the same time */
    struct _wg_hold_entry* entry; /* NULL: a target */
    _wg_hold_target* target;
    GSequenceIter* place; /* NULL: not due */
} _wg_hold_due;

typedef struct {
    uint64_t holder;
    uint64_t ticket;
} _wg_hold_key;

/* A waiting request. */
typedef struct _wg_hold_entry {
    _wg_hold_key key;
    wg_hold_request request;
    uint64_t number;
    wg_time since;
    wg_time expires_at;
    /* latest time at which it would be in time at a target with nothing to read, as of the last
       estimate; WG_TIME_NEVER for a prompt that alone takes longer than its limit */
    wg_time latest;
    bool aged; /* has waited for half of its time */
    _wg_hold_bucket* bucket;
    GSequenceIter* place; /* in the bucket */
    _wg_hold_due due;
} _wg_hold_entry;

struct _wg_hold_bucket {
    _wg_hold_group* group;
    uint32_t rank;
    int size_class;
    GSequence* entries; /* _wg_hold_entry*, by `latest` */
};

typedef struct {
    uint64_t id;
    double weight;
    double reported; /* usage as last reported, tokens */
    double charge;   /* granted since, as of `charged_at` */
    wg_time charged_at;
    GPtrArray* groups; /* _wg_hold_group*, one for each target at which it waits */
} _wg_hold_workspace;

/* The requests of one workspace for one target. */
struct _wg_hold_group {
    _wg_hold_target* target;
    _wg_hold_workspace* workspace;
    double usage;         /* key in target->groups */
    GSequenceIter* place; /* in target->groups */
    GPtrArray* buckets;   /* _wg_hold_bucket*, never empty ones */
};

struct _wg_hold_target {
    uint32_t number;
    GSequence* groups;       /* _wg_hold_group*, by `usage` */
    _wg_hold_entry* barrier; /* requests behind this one wait; NULL: none */
    bool has_room;           /* linked in hold->with_room */
    GList room_link;
    _wg_hold_due due;
};

struct wg_hold {
    wg_hold_desc desc;
    GHashTable* entries;    /* _wg_hold_key* -> _wg_hold_entry* */
    GHashTable* targets;    /* number -> _wg_hold_target* */
    GHashTable* workspaces; /* id -> _wg_hold_workspace* */
    GSequence* dues;        /* _wg_hold_due* */
    GQueue with_room;       /* _wg_hold_target* to be examined */
    uint64_t counter;
    wg_hold_counters counters;
    uint64_t operations;
};

/* One examination of the requests that wait for a target. */
typedef struct {
    wg_hold* hold;
    _wg_hold_target* target;
    wg_time now;
    wg_time ahead;    /* known lower bound of the time to read what is ahead */
    uint32_t running; /* known lower bound of the requests in progress */
    wg_time look_gap; /* time until the first request may fit */
    int decisions;
    int examined;
    wg_admit_answer answer; /* of the last decision */
} _wg_hold_scan;

/* ---- helpers: orders ----------------------------------------------------------------------- */

static int _wg_hold_compare_times(wg_time a, wg_time b, uint64_t a_number, uint64_t b_number) {
    if (a != b) {
        return a < b ? -1 : 1;
    }
    return a_number < b_number ? -1 : a_number > b_number;
}

static int _wg_hold_compare_dues(gconstpointer a, gconstpointer b, gpointer user_data) {
    const _wg_hold_due* first = a;
    const _wg_hold_due* second = b;
    ((wg_hold*)user_data)->operations++;
    return _wg_hold_compare_times(first->at, second->at, first->number, second->number);
}

static int _wg_hold_compare_entries(gconstpointer a, gconstpointer b, gpointer user_data) {
    const _wg_hold_entry* first = a;
    const _wg_hold_entry* second = b;
    ((wg_hold*)user_data)->operations++;
    return _wg_hold_compare_times(first->latest, second->latest, first->number, second->number);
}

static int _wg_hold_compare_groups(gconstpointer a, gconstpointer b, gpointer user_data) {
    const _wg_hold_group* first = a;
    const _wg_hold_group* second = b;
    ((wg_hold*)user_data)->operations++;
    if (first->usage != second->usage) {
        return first->usage < second->usage ? -1 : 1;
    }
    uint64_t first_id = first->workspace->id;
    uint64_t second_id = second->workspace->id;
    return first_id < second_id ? -1 : first_id > second_id;
}

static guint _wg_hold_key_hash(gconstpointer key) {
    return (guint)wg_hash(key, sizeof(_wg_hold_key), 0);
}

static gboolean _wg_hold_key_equal(gconstpointer a, gconstpointer b) {
    return memcmp(a, b, sizeof(_wg_hold_key)) == 0;
}

/* ---- helpers: due times -------------------------------------------------------------------- */

static void _wg_hold_cancel_due(_wg_hold_due* due) {
    if (due->place) {
        g_sequence_remove(due->place);
        due->place = NULL;
    }
}

static void _wg_hold_set_due(wg_hold* h, _wg_hold_due* due, wg_time at) {
    _wg_hold_cancel_due(due);
    due->at = at;
    due->place = g_sequence_insert_sorted(h->dues, due, _wg_hold_compare_dues, h);
}

/* The request is looked at after half of its wait, and when it has to be denied. */
static void _wg_hold_schedule(wg_hold* h, _wg_hold_entry* entry) {
    wg_time end = entry->expires_at;
    if (entry->latest < end) {
        end = entry->latest + 1;
    }
    wg_time half = entry->since + entry->request.hold / 2;
    _wg_hold_set_due(h, &entry->due, entry->aged ? end : MIN(end, half));
}

static void _wg_hold_notify(wg_hold* h, _wg_hold_target* target) {
    if (!target->has_room) {
        target->has_room = true;
        target->room_link = (GList){.data = target};
        g_queue_push_tail_link(&h->with_room, &target->room_link);
    }
}

/* ---- helpers: usage of workspaces ---------------------------------------------------------- */

static void _wg_hold_workspace_free(void* data) {
    _wg_hold_workspace* workspace = data;
    g_ptr_array_unref(workspace->groups);
    g_free(workspace);
}

static _wg_hold_workspace* _wg_hold_workspace_of(wg_hold* h, wg_time now, uint64_t id) {
    _wg_hold_workspace* workspace = g_hash_table_lookup(h->workspaces, &id);
    if (!workspace) {
        workspace = g_new0(_wg_hold_workspace, 1);
        workspace->id = id;
        workspace->weight = 1;
        workspace->reported = h->desc.usage ? h->desc.usage(id, h->desc.user_data) : 0;
        workspace->charged_at = now;
        workspace->groups = g_ptr_array_new();
        g_hash_table_insert(h->workspaces, &workspace->id, workspace);
    }
    return workspace;
}

static void _wg_hold_decay_charge(_wg_hold_workspace* workspace, wg_time now) {
    double age = (double)(now - workspace->charged_at);
    workspace->charge *= exp(-age / _WG_HOLD_CHARGE_TIME);
    workspace->charged_at = now;
}

/* Usage per unit of weight. Requests without a workspace come first among those without usage. */
static double _wg_hold_usage(const _wg_hold_workspace* workspace) {
    return workspace->id ? (workspace->reported + workspace->charge) / workspace->weight : 0;
}

static void _wg_hold_sort_groups(wg_hold* h, _wg_hold_workspace* workspace) {
    for (guint i = 0; i < workspace->groups->len; i++) {
        _wg_hold_group* group = workspace->groups->pdata[i];
        group->usage = _wg_hold_usage(workspace);
        g_sequence_sort_changed(group->place, _wg_hold_compare_groups, h);
    }
}

/* The workspace of a request, with the weight that the request states: hosts may have a newer
   configuration than this one. */
static _wg_hold_workspace* _wg_hold_workspace_for(wg_hold* h, wg_time now,
                                                  const wg_hold_request* request) {
    _wg_hold_workspace* workspace = _wg_hold_workspace_of(h, now, request->workspace);
    double weight = wg_fair_weight(request->weight);
    if (workspace->weight != weight) {
        workspace->weight = weight;
        _wg_hold_sort_groups(h, workspace);
    }
    return workspace;
}

/* ---- helpers: groups and buckets ----------------------------------------------------------- */

static _wg_hold_target* _wg_hold_target_of(wg_hold* h, uint32_t number) {
    _wg_hold_target* target = g_hash_table_lookup(h->targets, GUINT_TO_POINTER(number));
    if (!target) {
        target = g_new0(_wg_hold_target, 1);
        target->number = number;
        target->groups = g_sequence_new(NULL);
        target->due = (_wg_hold_due){.number = ++h->counter, .target = target};
        g_hash_table_insert(h->targets, GUINT_TO_POINTER(number), target);
    }
    return target;
}

static void _wg_hold_target_free(wg_hold* h, _wg_hold_target* target) {
    _wg_hold_cancel_due(&target->due);
    if (target->has_room) {
        g_queue_unlink(&h->with_room, &target->room_link);
    }
    g_sequence_free(target->groups);
    g_hash_table_remove(h->targets, GUINT_TO_POINTER(target->number));
    g_free(target);
}

static _wg_hold_group* _wg_hold_group_of(wg_hold* h, _wg_hold_target* target,
                                         _wg_hold_workspace* workspace) {
    for (guint i = 0; i < workspace->groups->len; i++) {
        _wg_hold_group* group = workspace->groups->pdata[i];
        if (group->target == target) {
            return group;
        }
    }
    _wg_hold_group* group = g_new0(_wg_hold_group, 1);
    group->target = target;
    group->workspace = workspace;
    group->usage = _wg_hold_usage(workspace);
    group->buckets = g_ptr_array_new();
    group->place = g_sequence_insert_sorted(target->groups, group, _wg_hold_compare_groups, h);
    g_ptr_array_add(workspace->groups, group);
    return group;
}

static void _wg_hold_group_free(wg_hold* h, _wg_hold_group* group) {
    _wg_hold_target* target = group->target;
    g_ptr_array_remove_fast(group->workspace->groups, group);
    g_sequence_remove(group->place);
    g_ptr_array_unref(group->buckets);
    g_free(group);
    if (g_sequence_is_empty(target->groups)) {
        _wg_hold_target_free(h, target);
    }
}

static int _wg_hold_size_class(uint32_t tokens) {
    int size_class = 0;
    uint64_t bound = _WG_HOLD_SIZE_TOKENS_MIN;
    while (tokens > bound && size_class < _WG_HOLD_SIZES_MAX - 1) {
        bound *= _WG_HOLD_SIZE_FACTOR;
        size_class++;
    }
    return size_class;
}

static _wg_hold_bucket* _wg_hold_bucket_of(_wg_hold_group* group, uint32_t rank, int size_class) {
    for (guint i = 0; i < group->buckets->len; i++) {
        _wg_hold_bucket* bucket = group->buckets->pdata[i];
        if (bucket->rank == rank && bucket->size_class == size_class) {
            return bucket;
        }
    }
    _wg_hold_bucket* bucket = g_new0(_wg_hold_bucket, 1);
    bucket->group = group;
    bucket->rank = rank;
    bucket->size_class = size_class;
    bucket->entries = g_sequence_new(NULL);
    g_ptr_array_add(group->buckets, bucket);
    return bucket;
}

static _wg_hold_entry* _wg_hold_head(const _wg_hold_bucket* bucket) {
    return g_sequence_get(g_sequence_get_begin_iter(bucket->entries));
}

/* Removes the request, with its bucket, group and target where they become empty. */
static void _wg_hold_entry_free(wg_hold* h, _wg_hold_entry* entry) {
    _wg_hold_bucket* bucket = entry->bucket;
    _wg_hold_group* group = bucket->group;
    _wg_hold_target* target = group->target;
    if (target->barrier == entry) {
        target->barrier = NULL;
        _wg_hold_notify(h, target); /* others waited for it */
    }
    _wg_hold_cancel_due(&entry->due);
    g_sequence_remove(entry->place);
    g_hash_table_remove(h->entries, &entry->key);
    g_free(entry);
    if (!g_sequence_is_empty(bucket->entries)) {
        return;
    }
    g_ptr_array_remove_fast(group->buckets, bucket);
    g_sequence_free(bucket->entries);
    g_free(bucket);
    if (group->buckets->len == 0) {
        _wg_hold_group_free(h, group);
    }
}

/* ---- helpers: decisions -------------------------------------------------------------------- */

/* Time that the request takes at a target with nothing to read. */
static wg_time _wg_hold_own_time(const wg_admit_answer* answer) {
    return answer->wait - answer->wait_ahead;
}

/* True for a prompt that alone takes longer than its limit. */
static bool _wg_hold_is_large(const wg_admit_limits* limits, const wg_admit_answer* answer) {
    return _wg_hold_own_time(answer) > limits->total;
}

/* Time by which the wait exceeds its limits. */
static wg_time _wg_hold_excess(const wg_admit_limits* limits, const wg_admit_answer* answer) {
    if (_wg_hold_is_large(limits, answer)) {
        return answer->wait_ahead - limits->ahead_large;
    }
    return MAX(answer->wait - limits->total, answer->wait_ahead - limits->ahead);
}

/* The request with limits that take account of the time waited. */
static wg_admit_request _wg_hold_shrink(const _wg_hold_entry* entry, wg_time now) {
    wg_admit_request request = entry->request.admit;
    wg_time waited = now - entry->since;
    request.limits.total = MAX(request.limits.total - waited, 0);
    if (entry->latest != WG_TIME_NEVER) {
        /* The request was not large when it was added. The shrunk limit must not make it one, to
           which the limit for large prompts would apply. */
        request.limits.ahead_large = -1;
    }
    return request;
}

/* Estimates without a grant. */
static wg_admit_answer _wg_hold_estimate(wg_hold* h, const _wg_hold_entry* entry, wg_time now) {
    wg_admit_request request = entry->request.admit;
    request.limits.ahead = 0;
    return h->desc.decide(&request, now, h->desc.user_data);
}

static wg_time _wg_hold_latest(const _wg_hold_entry* entry, const wg_admit_answer* answer) {
    return entry->since + entry->request.admit.limits.total - _wg_hold_own_time(answer);
}

static void _wg_hold_deny(wg_hold* h, _wg_hold_entry* entry, const wg_admit_answer* answer,
                          wg_time now, wg_hold_action* action) {
    const wg_admit_limits* limits = &entry->request.admit.limits;
    *action = (wg_hold_action){.outcome = now >= entry->expires_at ? WG_HOLD_EXPIRED : WG_HOLD_LATE,
                               .holder = entry->key.holder,
                               .ticket = entry->key.ticket,
                               .answer = *answer,
                               .waited = now - entry->since};
    action->answer.room = wg_hold_room_after(limits, answer);
    h->counters.expired++;
    _wg_hold_entry_free(h, entry);
}

/* Processes a request whose time has come; true if it was denied. */
static bool _wg_hold_process_due(wg_hold* h, _wg_hold_entry* entry, wg_time now,
                                 wg_hold_action* action) {
    wg_admit_answer answer = _wg_hold_estimate(h, entry, now);
    if (entry->latest != WG_TIME_NEVER) {
        /* What the target holds may have changed, and with it the time that the prompt takes. */
        entry->latest = _wg_hold_latest(entry, &answer);
        g_sequence_sort_changed(entry->place, _wg_hold_compare_entries, h);
    }
    if (now >= entry->expires_at || now > entry->latest) {
        _wg_hold_deny(h, entry, &answer, now, action);
        return true;
    }
    if (now >= entry->since + entry->request.hold / 2) {
        entry->aged = true;
        _wg_hold_notify(h, entry->bucket->group->target);
    }
    _wg_hold_schedule(h, entry);
    return false;
}

typedef enum {
    _WG_HOLD_FITS = 0,
    _WG_HOLD_PASSED, /* does not fit now */
    _WG_HOLD_BLOCKS  /* does not fit now, and requests behind it have to wait */
} _wg_hold_result;

/* Records that a request does not fit for the time `gap`. Returns whether it blocks others. */
static _wg_hold_result _wg_hold_passed(_wg_hold_scan* scan, _wg_hold_entry* entry, wg_time gap) {
    scan->look_gap = MIN(scan->look_gap, MAX(gap, 0));
    if (entry->aged && scan->now <= entry->latest) {
        scan->target->barrier = entry;
        return _WG_HOLD_BLOCKS;
    }
    return _WG_HOLD_PASSED;
}

static _wg_hold_result _wg_hold_examine(_wg_hold_scan* scan, _wg_hold_entry* entry) {
    wg_hold* h = scan->hold;
    wg_admit_request request = _wg_hold_shrink(entry, scan->now);
    const wg_admit_limits* limits = &request.limits;
    wg_time ahead_max = limits->ahead_large >= 0 && entry->latest == WG_TIME_NEVER
                            ? limits->ahead_large
                            : MIN(limits->ahead, limits->total);
    h->operations++;
    scan->examined++;
    if (scan->ahead > ahead_max) {
        return _wg_hold_passed(scan, entry, scan->ahead - ahead_max);
    }
    if (request.running_max > 0 && scan->running >= request.running_max) {
        /* Requests behind it that may use more slots do not wait for it, or the target would become
           idle: streams last longer than any wait here. */
        return _WG_HOLD_PASSED;
    }
    scan->decisions++;
    scan->answer = h->desc.decide(&request, scan->now, h->desc.user_data);
    if (scan->answer.granted) {
        return _WG_HOLD_FITS;
    }
    scan->running = scan->answer.running;
    if (!limits->counts_missing) {
        /* Otherwise it contains tokens of this request, which do not delay others. */
        scan->ahead = scan->answer.wait_ahead;
    }
    if (wg_admit_fits(limits, scan->answer.wait, scan->answer.wait_ahead)) {
        return _WG_HOLD_PASSED; /* it waits for a request to end */
    }
    return _wg_hold_passed(scan, entry, _wg_hold_excess(limits, &scan->answer));
}

static gboolean _wg_hold_is_over(const _wg_hold_scan* scan) {
    return scan->decisions >= _WG_HOLD_DECISIONS_MAX || scan->examined >= _WG_HOLD_EXAMINED_MAX;
}

/* The first request of the bucket that has time for what is ahead; NULL: none but the head. */
static _wg_hold_entry* _wg_hold_first_in_time(_wg_hold_scan* scan, const _wg_hold_bucket* bucket) {
    _wg_hold_entry wanted = {.latest = scan->now + scan->ahead, .number = 0};
    GSequenceIter* at =
        g_sequence_search(bucket->entries, &wanted, _wg_hold_compare_entries, scan->hold);
    bool is_head = g_sequence_iter_is_begin(at);
    return is_head || g_sequence_iter_is_end(at) ? NULL : g_sequence_get(at);
}

/* Examines the request with the least time left, and one that has enough time. */
static _wg_hold_result _wg_hold_examine_bucket(_wg_hold_scan* scan, const _wg_hold_bucket* bucket,
                                               _wg_hold_entry** found) {
    *found = _wg_hold_head(bucket);
    _wg_hold_result result = _wg_hold_examine(scan, *found);
    if (result == _WG_HOLD_PASSED && scan->ahead > 0) {
        _wg_hold_entry* other = _wg_hold_first_in_time(scan, bucket);
        if (other) {
            *found = other;
            result = _wg_hold_examine(scan, other);
        }
    }
    return result;
}

/* The bucket that comes next in order of rank and time left; NULL: none. */
static const _wg_hold_bucket* _wg_hold_next_bucket(const _wg_hold_group* group, uint32_t* done) {
    const _wg_hold_bucket* best = NULL;
    guint best_at = 0;
    for (guint i = 0; i < group->buckets->len; i++) {
        const _wg_hold_bucket* bucket = group->buckets->pdata[i];
        if (*done & 1U << i) {
            continue;
        }
        if (!best || bucket->rank < best->rank ||
            (bucket->rank == best->rank &&
             _wg_hold_head(bucket)->latest < _wg_hold_head(best)->latest)) {
            best = bucket;
            best_at = i;
        }
    }
    *done |= best ? 1U << best_at : 0;
    return best;
}

static _wg_hold_result _wg_hold_examine_group(_wg_hold_scan* scan, const _wg_hold_group* group,
                                              _wg_hold_entry** found) {
    const _wg_hold_bucket* bucket;
    uint32_t done = 0;
    while (!_wg_hold_is_over(scan) && (bucket = _wg_hold_next_bucket(group, &done))) {
        _wg_hold_result result = _wg_hold_examine_bucket(scan, bucket, found);
        if (result != _WG_HOLD_PASSED) {
            return result;
        }
    }
    return _WG_HOLD_PASSED;
}

/* Schedules the next look at a target at which nothing fits now. */
static void _wg_hold_schedule_look(const _wg_hold_scan* scan) {
    _wg_hold_due* due = &scan->target->due;
    if (scan->look_gap == WG_TIME_NEVER) {
        _wg_hold_cancel_due(due);
    } else {
        wg_time gap = MAX(scan->look_gap, (wg_time)_WG_HOLD_LOOK_GAP_MIN);
        _wg_hold_set_due(scan->hold, due, scan->now + gap);
    }
}

/* Removes a request that `decide` has granted, and charges its workspace. */
static void _wg_hold_grant(const _wg_hold_scan* scan, _wg_hold_entry* entry,
                           wg_hold_action* action) {
    wg_hold* h = scan->hold;
    *action = (wg_hold_action){.outcome = WG_HOLD_GRANTED,
                               .holder = entry->key.holder,
                               .ticket = entry->key.ticket,
                               .answer = scan->answer,
                               .waited = scan->now - entry->since};
    h->counters.granted++;
    uint64_t workspace = entry->request.workspace;
    uint32_t charge = entry->request.charge;
    _wg_hold_entry_free(h, entry);
    wg_hold_charge(h, scan->now, workspace, charge);
}

/* Grants the first request that fits; false: none does. */
static bool _wg_hold_examine_target(wg_hold* h, _wg_hold_target* target, wg_time now,
                                    wg_hold_action* action) {
    _wg_hold_scan scan = {.hold = h, .target = target, .now = now, .look_gap = WG_TIME_NEVER};
    _wg_hold_result result = _WG_HOLD_PASSED;
    _wg_hold_entry* entry = NULL;
    target->barrier = NULL;
    for (GSequenceIter* at = g_sequence_get_begin_iter(target->groups);
         result == _WG_HOLD_PASSED && !g_sequence_iter_is_end(at) && !_wg_hold_is_over(&scan);
         at = g_sequence_iter_next(at)) {
        result = _wg_hold_examine_group(&scan, g_sequence_get(at), &entry);
    }
    if (result != _WG_HOLD_FITS) {
        _wg_hold_schedule_look(&scan);
        return false;
    }
    _wg_hold_grant(&scan, entry, action);
    return true;
}

static _wg_hold_entry* _wg_hold_find(const wg_hold* h, uint64_t holder, uint64_t ticket) {
    _wg_hold_key key = {holder, ticket};
    return g_hash_table_lookup(h->entries, &key);
}

/* Looks at the target at the latest when the wait of the denial has shrunk to the limits; no
   message has to come until then. */
static void _wg_hold_expect_room(wg_hold* h, _wg_hold_target* target, wg_time now,
                                 const wg_admit_limits* limits, const wg_admit_answer* answer) {
    wg_time excess = _wg_hold_excess(limits, answer);
    wg_time at = now + MAX(excess, (wg_time)_WG_HOLD_LOOK_GAP_MIN);
    if (excess > 0 && (!target->due.place || at < target->due.at)) {
        _wg_hold_set_due(h, &target->due, at);
    }
}

/* Removes the requests of a holder, or all if `holder` is NULL. Returns their number. */
static guint _wg_hold_remove_all(wg_hold* h, const uint64_t* holder) {
    GPtrArray* found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, h->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _wg_hold_entry* entry = value;
        if (!holder || entry->key.holder == *holder) {
            g_ptr_array_add(found, value);
        }
    }
    guint num = found->len;
    for (guint i = 0; i < num; i++) {
        _wg_hold_entry_free(h, found->pdata[i]);
    }
    g_ptr_array_unref(found);
    return num;
}

static uint32_t _wg_hold_rank(const wg_hold_request* request) {
    return MIN(request->rank, _WG_HOLD_RANKS_MAX - 1);
}

/* ---- public functions ---------------------------------------------------------------------- */

wg_time wg_hold_room_after(const wg_admit_limits* limits, const wg_admit_answer* answer) {
    return limits->ahead > 0 ? MAX(_wg_hold_excess(limits, answer), 0) : 0;
}

bool wg_hold_denies_for_wait(const wg_admit_request* request, const wg_admit_answer* answer) {
    bool full = request->running_max > 0 && answer->running >= request->running_max;
    bool fits = wg_admit_fits(&request->limits, answer->wait, answer->wait_ahead);
    return request->rate_max <= 0 && (full || !fits || answer->room > 0);
}

bool wg_hold_is_hopeless(const wg_admit_request* request, const wg_admit_answer* answer,
                         wg_time hold) {
    if (hold <= 0 || request->limits.ahead <= 0) {
        return true;
    }
    return !wg_hold_denies_for_wait(request, answer) ||
           _wg_hold_excess(&request->limits, answer) > hold;
}

wg_hold* wg_hold_setup(const wg_hold_desc* desc) {
    WG_ASSERT(desc->decide);
    wg_hold* h = g_new0(wg_hold, 1);
    h->desc = *desc;
    h->desc.waiting_max = desc->waiting_max ? desc->waiting_max : WG_HOLD_WAITING_MAX_DEFAULT;
    h->entries = g_hash_table_new(_wg_hold_key_hash, _wg_hold_key_equal);
    h->targets = g_hash_table_new(NULL, NULL);
    h->workspaces =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, _wg_hold_workspace_free);
    h->dues = g_sequence_new(NULL);
    g_queue_init(&h->with_room);
    return h;
}

void wg_hold_shutdown(wg_hold* h) {
    _wg_hold_remove_all(h, NULL);
    g_hash_table_unref(h->entries);
    g_hash_table_unref(h->targets);
    g_hash_table_unref(h->workspaces);
    g_sequence_free(h->dues);
    g_free(h);
}

bool wg_hold_add(wg_hold* h, wg_time now, const wg_hold_request* request) {
    const wg_admit_request* admit = &request->admit;
    if (_wg_hold_find(h, admit->holder, admit->ticket)) {
        return false;
    }
    if (wg_hold_num(h) >= h->desc.waiting_max) {
        h->counters.dropped++;
        return false;
    }
    _wg_hold_entry* entry = g_new0(_wg_hold_entry, 1);
    entry->key = (_wg_hold_key){admit->holder, admit->ticket};
    entry->request = *request;
    entry->request.hold = CLAMP(request->hold, 0, _WG_HOLD_TIME_MAX);
    entry->request.admit.limits.total = CLAMP(admit->limits.total, 0, _WG_HOLD_TIME_MAX);
    entry->number = ++h->counter;
    entry->due = (_wg_hold_due){.number = entry->number, .entry = entry};
    entry->since = now;
    entry->expires_at = now + entry->request.hold;
    wg_admit_answer answer = _wg_hold_estimate(h, entry, now);
    entry->latest = _wg_hold_is_large(&admit->limits, &answer) ? WG_TIME_NEVER
                                                               : _wg_hold_latest(entry, &answer);
    _wg_hold_workspace* workspace = _wg_hold_workspace_for(h, now, request);
    _wg_hold_group* group = _wg_hold_group_of(h, _wg_hold_target_of(h, admit->target), workspace);
    entry->bucket =
        _wg_hold_bucket_of(group, _wg_hold_rank(request), _wg_hold_size_class(answer.unread));
    entry->place =
        g_sequence_insert_sorted(entry->bucket->entries, entry, _wg_hold_compare_entries, h);
    g_hash_table_insert(h->entries, &entry->key, entry);
    _wg_hold_schedule(h, entry);
    _wg_hold_expect_room(h, group->target, now, &entry->request.admit.limits, &answer);
    return true;
}

bool wg_hold_must_wait(wg_hold* h, wg_time now, const wg_hold_request* request) {
    const _wg_hold_target* target =
        g_hash_table_lookup(h->targets, GUINT_TO_POINTER(request->admit.target));
    const _wg_hold_entry* barrier = target ? target->barrier : NULL;
    if (!barrier || request->admit.limits.total >= _WG_HOLD_TIME_MAX) {
        return false; /* a request without limits is a retry, which has waited before */
    }
    const _wg_hold_workspace* first = barrier->bucket->group->workspace;
    const _wg_hold_workspace* own = _wg_hold_workspace_for(h, now, request);
    if (first != own) {
        return _wg_hold_usage(first) < _wg_hold_usage(own);
    }
    uint32_t rank = _wg_hold_rank(request);
    if (barrier->bucket->rank != rank) {
        return barrier->bucket->rank < rank;
    }
    return barrier->since + barrier->request.admit.limits.total < now + request->admit.limits.total;
}

bool wg_hold_ask(wg_hold* h, wg_time now, const wg_hold_request* request, wg_admit_answer* answer) {
    wg_admit_request admit = request->admit;
    bool must_wait = wg_hold_must_wait(h, now, request);
    if (must_wait) {
        admit.limits.ahead = 0; /* an estimate only */
    }
    *answer = h->desc.decide(&admit, now, h->desc.user_data);
    if (answer->granted) {
        wg_hold_charge(h, now, request->workspace, request->charge);
        return false;
    }
    bool fits = wg_admit_fits(&request->admit.limits, answer->wait, answer->wait_ahead);
    bool may_wait = must_wait && fits
                        ? request->hold > 0 && request->admit.rate_max <= 0
                        : !wg_hold_is_hopeless(&request->admit, answer, request->hold);
    if (may_wait && wg_hold_add(h, now, request)) {
        return true;
    }
    answer->room = wg_hold_room_after(&request->admit.limits, answer);
    if (must_wait) {
        answer->room = MAX(answer->room, (wg_time)_WG_HOLD_LOOK_GAP_MIN);
    }
    return false;
}

void wg_hold_charge(wg_hold* h, wg_time now, uint64_t id, uint32_t tokens) {
    if (id == 0) {
        return;
    }
    _wg_hold_workspace* workspace = _wg_hold_workspace_of(h, now, id);
    _wg_hold_decay_charge(workspace, now);
    workspace->charge += tokens;
    _wg_hold_sort_groups(h, workspace);
}

void wg_hold_update_usage(wg_hold* h, wg_time now) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, h->workspaces);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wg_hold_workspace* workspace = value;
        _wg_hold_decay_charge(workspace, now);
        if (workspace->groups->len == 0 && workspace->charge < 1) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        if (h->desc.usage) {
            workspace->reported = h->desc.usage(workspace->id, h->desc.user_data);
        }
        _wg_hold_sort_groups(h, workspace);
    }
}

void wg_hold_notify_room(wg_hold* h, uint32_t number) {
    _wg_hold_target* target = g_hash_table_lookup(h->targets, GUINT_TO_POINTER(number));
    if (target) {
        _wg_hold_notify(h, target);
    }
}

void wg_hold_notify_all(wg_hold* h) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, h->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wg_hold_notify(h, value);
    }
}

bool wg_hold_next(wg_hold* h, wg_time now, wg_hold_action* action) {
    while (!g_sequence_is_empty(h->dues)) {
        _wg_hold_due* due = g_sequence_get(g_sequence_get_begin_iter(h->dues));
        if (due->at > now) {
            break;
        }
        if (!due->entry) {
            _wg_hold_cancel_due(due);
            _wg_hold_notify(h, due->target);
        } else if (_wg_hold_process_due(h, due->entry, now, action)) {
            return true;
        }
    }
    while (h->with_room.head) {
        _wg_hold_target* target = h->with_room.head->data;
        if (_wg_hold_examine_target(h, target, now, action)) {
            return true;
        }
        g_queue_unlink(&h->with_room, &target->room_link);
        target->has_room = false;
    }
    return false;
}

wg_time wg_hold_due_at(const wg_hold* h) {
    if (h->with_room.head) {
        return 0;
    }
    if (g_sequence_is_empty(h->dues)) {
        return WG_TIME_NEVER;
    }
    const _wg_hold_due* due = g_sequence_get(g_sequence_get_begin_iter(h->dues));
    return due->at;
}

bool wg_hold_remove(wg_hold* h, uint64_t holder, uint64_t ticket) {
    _wg_hold_entry* entry = _wg_hold_find(h, holder, ticket);
    if (!entry) {
        return false;
    }
    h->counters.dropped++;
    _wg_hold_entry_free(h, entry);
    return true;
}

void wg_hold_remove_holder(wg_hold* h, uint64_t holder) {
    h->counters.dropped += _wg_hold_remove_all(h, &holder);
}

int wg_hold_num(const wg_hold* h) {
    return (int)g_hash_table_size(h->entries);
}

const wg_hold_counters* wg_hold_count(const wg_hold* h) {
    return &h->counters;
}

uint64_t wg_hold_operations(const wg_hold* h) {
    return h->operations;
}
