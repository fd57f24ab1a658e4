/* wg_place.c -- see wg_place.h */
#include "wg_place.h"

#include "wg_acceptance.h"

#include <limits.h>
#include <string.h>

/* ---- types -------------------------------------------------------------------------------- */

enum {
    _WGP_REFUSAL_LOAD = 1000 /* a target that refuses all counts as fully loaded, per mille */
};

typedef struct {
    wgp_target_info info;
    bool live;
    bool seen;
    bool row_draining;
    bool reported_draining;       /* an answer of the target or a host list reported it */
    uint64_t draining_at_version; /* last host list that reported draining; 0: none */
    uint64_t row_version;
    int sent_since_report;
    int in_reserve; /* running requests beyond the leased slots */
    int consecutive_failures;
    int ejections;
    wg_acceptance acceptance;
    bool probing; /* a probe request is running */
    bool version_known;
    char version[WG_NAME_MAX]; /* of its software, by its last answer */
} _wgp_target_t;

typedef struct {
    uint64_t prefix;
    uint32_t target;
} _wgp_prefix_t;

struct wgp_place {
    wgp_desc desc;
    _wgp_target_t* targets;
    int targets_num;
    GHashTable* by_id;
    wg_backoff* backoff;     /* backoff periods by target */
    _wgp_prefix_t* prefixes; /* direct-mapped by hash */
    wg_time lease_until;
    struct {
        uint32_t service;
        uint32_t max;
    } quotas[WGP_SERVICES_MAX];
    int quotas_num;
    bool report_due;
    uint64_t counter;
    wgp_stats stats;
};

/* ---- helpers ------------------------------------------------------------------------------ */

static wgp_desc _wgp_desc_def(const wgp_desc* desc) {
    wgp_desc d = *desc;
    d.targets_max = d.targets_max ? d.targets_max : WGP_TARGETS_DEFAULT;
    d.prefixes_max = d.prefixes_max ? d.prefixes_max : WGP_PREFIXES_DEFAULT;
    d.failures = d.failures ? d.failures : WGP_FAILURES_DEFAULT;
    d.ejection_min = d.ejection_min ? d.ejection_min : WGP_EJECTION_MIN_DEFAULT;
    d.ejection_max = d.ejection_max ? d.ejection_max : WGP_EJECTION_MAX_DEFAULT;
    d.reserve = d.reserve ? d.reserve : WGP_RESERVE_DEFAULT;
    return d;
}

static _wgp_target_t* _wgp_find(const wgp_place* p, uint32_t id) {
    int i = GPOINTER_TO_INT(g_hash_table_lookup(p->by_id, GUINT_TO_POINTER(id))) - 1;
    return i < 0 ? NULL : &p->targets[i];
}

static bool _wgp_is_draining(const _wgp_target_t* t) {
    return t->row_draining || t->reported_draining;
}

/* Includes the address: a target that a table edit moved to another address does not inherit a
   backoff period. */
static uint64_t _wgp_backoff_key(const _wgp_target_t* t) {
    return wg_hash(t->info.address, strlen(t->info.address), t->info.id);
}

static wg_time _wgp_backoff_until(const wgp_place* p, const _wgp_target_t* t, wg_time now) {
    return wg_backoff_ends_at(p->backoff, now, _wgp_backoff_key(t));
}

static bool _wgp_has_version(const _wgp_target_t* t, const char* version) {
    return !version || !t->version_known || strcmp(t->version, version) == 0;
}

static bool _wgp_may_send(const wgp_place* p, const _wgp_target_t* t, wg_time now) {
    return t->live && !_wgp_is_draining(t) && _wgp_backoff_until(p, t, now) == 0;
}

static bool _wgp_is_usable(const wgp_place* p, const _wgp_target_t* t, wg_time now) {
    if (!_wgp_may_send(p, t, now)) {
        return false;
    }
    if (t->info.ejected_until == 0) {
        return true;
    }
    return now >= t->info.ejected_until && !t->probing;
}

/* Whether a usable target of the service is expected to accept requests. */
static bool _wgp_any_accepts(const wgp_place* p, uint32_t service, wg_time now) {
    for (int i = 0; i < p->targets_num; i++) {
        const _wgp_target_t* t = &p->targets[i];
        if (t->info.service == service && _wgp_is_usable(p, t, now) &&
            !wg_acceptance_is_refusing(&t->acceptance, now)) {
            return true;
        }
    }
    return false;
}

static bool _wgp_lease_holds(const wgp_place* p, wg_time now) {
    return now < p->lease_until;
}

static bool _wgp_has_slot(const _wgp_target_t* t) {
    return t->info.in_use < t->info.leased;
}

/* Estimated load per mille of the slots: last reported load plus requests sent since then. */
static int _wgp_load(const _wgp_target_t* t) {
    int known = MAX(t->info.reported + t->sent_since_report, t->info.in_use);
    return known * 1000 / MAX(t->info.slots, 1);
}

/* Requests started as a reserve. Requests above a lease that shrank later do not count. */
static int _wgp_reserve_used(const wgp_place* p, uint32_t service) {
    int num = 0;
    for (int i = 0; i < p->targets_num; i++) {
        if (p->targets[i].info.service == service) {
            num += p->targets[i].in_reserve;
        }
    }
    return num;
}

static bool _wgp_reserve_free(const wgp_place* p, uint32_t service) {
    return _wgp_reserve_used(p, service) < p->desc.reserve;
}

static _wgp_prefix_t* _wgp_prefix_entry(const wgp_place* p, uint64_t prefix) {
    return &p->prefixes[prefix % (uint64_t)p->desc.prefixes_max];
}

/* Whether the target can be sent a request of the service. `any_accepts`: another target of the
   service is expected to accept requests, so that a refusing one is left out. */
static bool _wgp_fits(const wgp_place* p, const _wgp_target_t* t, wg_time now, uint32_t service,
                      bool use_reserve, bool any_accepts) {
    return t->info.service == service && _wgp_is_usable(p, t, now) &&
           (use_reserve || _wgp_has_slot(t)) &&
           !(any_accepts && wg_acceptance_is_refusing(&t->acceptance, now));
}

/* The target that may have the prefix cached, if it can accept the request; else NULL. */
static _wgp_target_t* _wgp_cached_target(wgp_place* p, wg_time now, const wgp_request* request,
                                         bool use_reserve) {
    const _wgp_prefix_t* entry = _wgp_prefix_entry(p, request->prefix);
    if (request->prefix == 0 || entry->prefix != request->prefix) {
        return NULL;
    }
    _wgp_target_t* t = _wgp_find(p, entry->target);
    bool any_accepts = _wgp_any_accepts(p, request->service, now);
    bool fits = t && _wgp_fits(p, t, now, request->service, use_reserve, any_accepts) &&
                t->info.id != request->not_target && _wgp_has_version(t, request->version);
    if (!fits) {
        p->stats.prefix_overruled++;
    }
    return fits ? t : NULL;
}

/* Smaller is better. Targets in other data centres, and those that refuse, get a penalty; ties are
   broken at random. */
static int64_t _wgp_score(const wgp_place* p, const _wgp_target_t* t, wg_time now,
                          const wgp_request* request) {
    double refusal = 1 - wg_acceptance_chance(&t->acceptance, now);
    int64_t score = ((int64_t)_wgp_load(t) + (int64_t)(refusal * _WGP_REFUSAL_LOAD)) * 16;
    if (strcmp(t->info.data_centre, p->desc.data_centre) != 0) {
        score += 16 * 20;
    }
    if (t->info.id == request->not_target) {
        score += 16 * 100000; /* only without alternative */
    }
    if (!_wgp_has_version(t, request->version)) {
        score += 16 * 1000000; /* rather the target of the last attempt */
    }
    return score;
}

static _wgp_target_t* _wgp_least_loaded(wgp_place* p, wg_time now, const wgp_request* request,
                                        bool use_reserve) {
    _wgp_target_t* best = NULL;
    int64_t best_score = 0;
    int ties = 0;
    bool any_accepts = _wgp_any_accepts(p, request->service, now);
    for (int i = 0; i < p->targets_num; i++) {
        _wgp_target_t* t = &p->targets[i];
        if (!_wgp_fits(p, t, now, request->service, use_reserve, any_accepts)) {
            continue;
        }
        int64_t score = _wgp_score(p, t, now, request);
        ties = best && score == best_score ? ties + 1 : 1;
        bool wins_tie = wg_jitter(p->desc.seed, p->counter + (uint64_t)i) % (uint64_t)ties == 0;
        if (!best || score < best_score || (score == best_score && wins_tie)) {
            best = t;
            best_score = score;
        }
    }
    p->counter += 1;
    return best;
}

static int64_t _wgp_quota(const wgp_place* p, uint32_t service) {
    for (int i = 0; i < p->quotas_num; i++) {
        if (p->quotas[i].service == service) {
            return p->quotas[i].max;
        }
    }
    return INT64_MAX;
}

static int _wgp_idle(const _wgp_target_t* t) {
    return MAX(t->info.leased - t->info.in_use, 0);
}

static void _wgp_release_slots(wgp_place* p, _wgp_target_t* t, int num) {
    t->info.leased -= num;
    p->report_due = true;
    WG_ASSERT(t->info.leased >= 0);
}

/* Releases idle slots of targets that accept no requests, and idle slots beyond the quota. */
static void _wgp_release_idle(wgp_place* p, uint32_t service) {
    int64_t total = 0;
    for (int i = 0; i < p->targets_num; i++) {
        _wgp_target_t* t = &p->targets[i];
        if (t->info.service != service) {
            continue;
        }
        /* One slot is kept for the probe request. */
        bool probe_only = t->info.ejected_until != 0 || t->info.backed_off;
        int kept = !t->live || _wgp_is_draining(t) ? 0 : probe_only ? 1 : INT_MAX;
        if (_wgp_idle(t) > kept) {
            _wgp_release_slots(p, t, _wgp_idle(t) - kept);
        }
        total += t->info.leased;
    }
    int64_t quota = _wgp_quota(p, service);
    while (total > quota) {
        _wgp_target_t* idlest = NULL;
        for (int i = 0; i < p->targets_num; i++) {
            _wgp_target_t* t = &p->targets[i];
            bool fits = t->info.service == service && _wgp_idle(t) > 0;
            if (fits && (!idlest || _wgp_idle(t) > _wgp_idle(idlest))) {
                idlest = t;
            }
        }
        if (!idlest) {
            return; /* released when the next slot becomes idle */
        }
        _wgp_release_slots(p, idlest, 1);
        total--;
    }
}

static wgp_event _wgp_set_draining(wgp_place* p, _wgp_target_t* t) {
    bool changed = !_wgp_is_draining(t);
    t->reported_draining = true;
    _wgp_release_idle(p, t->info.service);
    return changed ? WGP_EVENT_DRAINING : WGP_EVENT_DEFAULT;
}

static wgp_event _wgp_eject(wgp_place* p, wg_time now, _wgp_target_t* t) {
    int shift = MIN(t->ejections, 16);
    wg_time wait = MIN(p->desc.ejection_min << shift, p->desc.ejection_max);
    t->ejections++;
    t->info.ejected_until =
        now + wait / 2 + wg_jitter_range(p->desc.seed, p->counter++, 0, MAX(wait / 2, 1));
    p->report_due = true; /* the leader needs a report even if no slot was released */
    _wgp_release_idle(p, t->info.service);
    return WGP_EVENT_EJECTED;
}

/* ---- public functions --------------------------------------------------------------------- */

wgp_place* wgp_setup(const wgp_desc* desc, GError** error) {
    const wg_desc_field fields[] = {
        {"wgp_desc.targets_max", desc->targets_max, 0},
        {"wgp_desc.prefixes_max", desc->prefixes_max, 0},
        {"wgp_desc.ejection_min", desc->ejection_min, 0},
        {"wgp_desc.ejection_max", desc->ejection_max, 0},
        {"wgp_desc.backoff_max", desc->backoff_max, 0},
        {"wgp_desc.failures", desc->failures, 0},
        {"wgp_desc.reserve", desc->reserve, 0},
    };
    if (!wg_desc_check(fields, G_N_ELEMENTS(fields), error)) {
        return NULL;
    }
    wgp_place* p = g_new0(wgp_place, 1);
    p->desc = _wgp_desc_def(desc);
    p->targets = g_new0(_wgp_target_t, p->desc.targets_max);
    p->prefixes = g_new0(_wgp_prefix_t, p->desc.prefixes_max);
    p->by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
    p->backoff = wg_backoff_setup(&(wg_backoff_desc){.targets_max = p->desc.targets_max,
                                                     .backoff_max = p->desc.backoff_max,
                                                     .seed = p->desc.seed});
    return p;
}

void wgp_shutdown(wgp_place* p) {
    g_hash_table_unref(p->by_id);
    wg_backoff_shutdown(p->backoff);
    g_free(p->targets);
    g_free(p->prefixes);
    g_free(p);
}

void wgp_config_begin(wgp_place* p) {
    for (int i = 0; i < p->targets_num; i++) {
        p->targets[i].seen = false;
    }
}

static _wgp_target_t* _wgp_add(wgp_place* p, uint32_t id) {
    int index = -1;
    WG_ASSERT(p->targets != NULL);
    for (int i = 0; i < p->targets_num && index < 0; i++) {
        bool unused = !p->targets[i].live && p->targets[i].info.in_use == 0;
        index = unused ? i : -1;
    }
    if (index < 0) {
        if (p->targets_num == p->desc.targets_max) {
            return NULL;
        }
        index = p->targets_num++;
    }
    g_hash_table_remove(p->by_id, GUINT_TO_POINTER(p->targets[index].info.id));
    p->targets[index] = (_wgp_target_t){.info.id = id};
    g_hash_table_insert(p->by_id, GUINT_TO_POINTER(id), GINT_TO_POINTER(index + 1));
    return &p->targets[index];
}

bool wgp_config_target(wgp_place* p, uint32_t id, uint32_t service, const char* name,
                       const char* address, const char* data_centre, int slots, bool draining,
                       uint64_t version) {
    _wgp_target_t* t = _wgp_find(p, id);
    if (!t) {
        t = _wgp_add(p, id);
    }
    if (!t) {
        return false;
    }
    bool edited = version > t->row_version;
    bool draining_cancelled = t->row_draining && !draining;
    if (edited && draining_cancelled) {
        t->reported_draining = false; /* an operator has cancelled draining */
    }
    t->live = t->seen = true;
    t->row_version = version;
    t->row_draining = draining;
    t->version_known = t->version_known && strcmp(t->info.address, address) == 0;
    t->info.service = service;
    t->info.slots = slots;
    wg_copy_name(t->info.name, sizeof t->info.name, name);
    wg_copy_name(t->info.address, sizeof t->info.address, address);
    wg_copy_name(t->info.data_centre, sizeof t->info.data_centre, data_centre);
    return true;
}

void wgp_config_end(wgp_place* p) {
    for (int i = 0; i < p->targets_num; i++) {
        p->targets[i].live = p->targets[i].live && p->targets[i].seen;
        _wgp_release_idle(p, p->targets[i].info.service);
    }
}

void wgp_add_slots(wgp_place* p, uint32_t target, int num) {
    _wgp_target_t* t = _wgp_find(p, target);
    if (t) {
        t->info.leased += num;
        _wgp_release_idle(p, t->info.service);
    }
}

void wgp_set_quota(wgp_place* p, uint32_t service, uint32_t max) {
    int i = 0;
    while (i < p->quotas_num && p->quotas[i].service != service) {
        i++;
    }
    if (i == WGP_SERVICES_MAX) {
        return;
    }
    p->quotas_num = MAX(p->quotas_num, i + 1);
    p->quotas[i].service = service;
    p->quotas[i].max = max;
    _wgp_release_idle(p, service);
}

void wgp_set_lease(wgp_place* p, wg_time until) {
    p->lease_until = until;
}

void wgp_clear_slots(wgp_place* p) {
    for (int i = 0; i < p->targets_num; i++) {
        p->targets[i].info.leased = 0;
    }
    p->quotas_num = 0;
    p->lease_until = 0;
}

bool wgp_take_report_due(wgp_place* p) {
    bool report_due = p->report_due;
    p->report_due = false;
    return report_due;
}

bool wgp_has_room(const wgp_place* p, wg_time now, uint32_t service, bool reserve) {
    if (!_wgp_lease_holds(p, now)) {
        return false;
    }
    bool use_reserve = reserve && _wgp_reserve_free(p, service);
    bool any_accepts = _wgp_any_accepts(p, service, now);
    for (int i = 0; i < p->targets_num; i++) {
        if (_wgp_fits(p, &p->targets[i], now, service, use_reserve, any_accepts)) {
            return true;
        }
    }
    return false;
}

bool wgp_pick(wgp_place* p, wg_time now, const wgp_request* request, wgp_choice* choice) {
    if (!_wgp_lease_holds(p, now)) {
        return false;
    }
    _wgp_target_t* best = _wgp_least_loaded(p, now, request, false);
    bool use_reserve = !best && request->urgent && _wgp_reserve_free(p, request->service);
    if (use_reserve) {
        best = _wgp_least_loaded(p, now, request, true);
    }
    if (!best) {
        return false;
    }
    _wgp_target_t* cached = _wgp_cached_target(p, now, request, use_reserve);
    if (cached && _wgp_load(cached) <= _wgp_load(best) + WGP_TOLERANCE_PERCENT * 10) {
        p->stats.prefix_hits++;
        best = cached;
    } else if (cached) {
        p->stats.prefix_overruled++;
    }
    p->stats.picks++;
    p->stats.reserve_picks += use_reserve ? 1 : 0;
    *choice = (wgp_choice){.target = best->info.id, .reserve = use_reserve};
    return true;
}

void wgp_sent(wgp_place* p, const wgp_choice* choice) {
    _wgp_target_t* t = _wgp_find(p, choice->target);
    if (t) {
        t->info.in_use++;
        t->in_reserve += choice->reserve ? 1 : 0;
        t->sent_since_report++;
        t->info.requests++;
        t->probing = t->info.ejected_until != 0;
    }
}

wgp_event wgp_done(wgp_place* p, wg_time now, const wgp_choice* choice, wgp_result result) {
    _wgp_target_t* t = _wgp_find(p, choice->target);
    if (!t) {
        return WGP_EVENT_DEFAULT;
    }
    t->info.in_use--;
    t->in_reserve -= choice->reserve ? 1 : 0;
    WG_ASSERT(t->info.in_use >= 0 && t->in_reserve >= 0);
    _wgp_release_idle(p, t->info.service);
    t->sent_since_report = MAX(t->sent_since_report - 1, 0);
    bool was_probing = t->probing;
    t->probing = false;
    /* A request that fails during a backoff period was sent before it, or held back: it does not
       count against the target. */
    bool in_backoff = _wgp_backoff_until(p, t, now) > 0;
    if (result == WGP_RESULT_SUCCESS || result == WGP_RESULT_REFUSED) {
        wg_acceptance_record(&t->acceptance, now, result == WGP_RESULT_SUCCESS);
    }
    if (result == WGP_RESULT_CANCELLED || result == WGP_RESULT_REFUSED ||
        (result == WGP_RESULT_FAILED && in_backoff)) {
        return WGP_EVENT_DEFAULT;
    }
    if (result == WGP_RESULT_SUCCESS) {
        bool was_ejected = t->info.ejected_until != 0;
        p->report_due = p->report_due || was_ejected || (t->info.backed_off && !in_backoff);
        t->info.backed_off = t->info.backed_off && in_backoff;
        t->consecutive_failures = 0;
        t->info.ejected_until = 0;
        t->ejections = was_ejected ? t->ejections : 0;
        return was_ejected ? WGP_EVENT_RESTORED : WGP_EVENT_DEFAULT;
    }
    t->info.failures++;
    t->consecutive_failures++;
    bool ejected = t->info.ejected_until > now;
    if (was_probing || (t->consecutive_failures >= p->desc.failures && !ejected)) {
        return _wgp_eject(p, now, t);
    }
    return WGP_EVENT_DEFAULT;
}

void wgp_update_load(wgp_place* p, uint32_t target, int running) {
    _wgp_target_t* t = _wgp_find(p, target);
    if (t) {
        t->info.reported = running;
        t->sent_since_report = 0;
    }
}

void wgp_record_version(wgp_place* p, uint32_t target, const char* version) {
    _wgp_target_t* t = _wgp_find(p, target);
    if (t) {
        t->version_known = true;
        wg_copy_name(t->version, sizeof t->version, version);
    }
}

bool wgp_has_version(const wgp_place* p, uint32_t target, const char* version) {
    const _wgp_target_t* t = _wgp_find(p, target);
    return t && _wgp_has_version(t, version);
}

wgp_event wgp_record_draining(wgp_place* p, uint32_t target) {
    _wgp_target_t* t = _wgp_find(p, target);
    return t ? _wgp_set_draining(p, t) : WGP_EVENT_DEFAULT;
}

wgp_event wgp_record_answer(wgp_place* p, wg_time now, uint32_t target, const wg_backoff_hint* hint,
                            int64_t unix_time) {
    _wgp_target_t* t = _wgp_find(p, target);
    if (!t) {
        return WGP_EVENT_DEFAULT;
    }
    wg_backoff_hint backoff_only = *hint;
    /* Recorded by wgp_record_draining() instead, since rows and host lists can revoke draining. */
    backoff_only.draining = false;
    wg_backoff_update outcome =
        wg_backoff_record(p->backoff, now, _wgp_backoff_key(t), &backoff_only, unix_time);
    if (!outcome.backoff_started) {
        return WGP_EVENT_DEFAULT;
    }
    t->info.backed_off = true;
    p->report_due = true; /* the leader can assign the slots to other routers */
    _wgp_release_idle(p, t->info.service);
    return WGP_EVENT_BACKOFF;
}

wgp_event wgp_update_host(wgp_place* p, const char* address, bool draining, uint64_t list_version) {
    wgp_event event = WGP_EVENT_DEFAULT;
    for (int i = 0; i < p->targets_num; i++) {
        _wgp_target_t* t = &p->targets[i];
        if (strcmp(t->info.address, address) != 0) {
            continue;
        }
        if (draining) {
            event = _wgp_set_draining(p, t);
            t->draining_at_version = MAX(t->draining_at_version, list_version);
        } else if (t->reported_draining && t->draining_at_version > 0 &&
                   list_version > t->draining_at_version) {
            t->reported_draining = false;
            t->draining_at_version = 0;
        }
    }
    return event;
}

void wgp_record_prefix(wgp_place* p, uint64_t prefix, uint32_t target) {
    if (prefix != 0) {
        *_wgp_prefix_entry(p, prefix) = (_wgp_prefix_t){.prefix = prefix, .target = target};
    }
}

void wgp_forget_prefix(wgp_place* p, uint64_t prefix, uint32_t target) {
    _wgp_prefix_t* entry = _wgp_prefix_entry(p, prefix);
    if (entry->prefix == prefix && entry->target == target) {
        *entry = (_wgp_prefix_t){0};
    }
}

bool wgp_may_send(const wgp_place* p, wg_time now, uint32_t target) {
    const _wgp_target_t* t = _wgp_find(p, target);
    return t && _wgp_may_send(p, t, now);
}

bool wgp_is_usable(const wgp_place* p, wg_time now, uint32_t target) {
    const _wgp_target_t* t = _wgp_find(p, target);
    return t && _wgp_is_usable(p, t, now);
}

wg_time wgp_backoff_ends_at(const wgp_place* p, wg_time now, uint32_t service) {
    wg_time backoff_end = WG_TIME_NEVER;
    for (int i = 0; i < p->targets_num; i++) {
        const _wgp_target_t* t = &p->targets[i];
        if (t->info.service == service && t->live && !_wgp_is_draining(t)) {
            backoff_end = MIN(backoff_end, _wgp_backoff_until(p, t, now));
        }
    }
    return backoff_end == WG_TIME_NEVER ? 0 : backoff_end;
}

static void _wgp_fill_info(const _wgp_target_t* t, wgp_target_info* info) {
    *info = t->info;
    info->draining = _wgp_is_draining(t);
}

bool wgp_query_target(const wgp_place* p, int i, wgp_target_info* info) {
    if (i < 0 || i >= p->targets_num) {
        return false;
    }
    _wgp_fill_info(&p->targets[i], info);
    return true;
}

bool wgp_query_target_id(const wgp_place* p, uint32_t id, wgp_target_info* info) {
    const _wgp_target_t* t = _wgp_find(p, id);
    if (t) {
        _wgp_fill_info(t, info);
    }
    return t != NULL;
}

int wgp_query_free(const wgp_place* p, wg_time now, uint32_t service) {
    int num = 0;
    for (int i = 0; i < p->targets_num && _wgp_lease_holds(p, now); i++) {
        const _wgp_target_t* t = &p->targets[i];
        if (t->info.service == service && _wgp_is_usable(p, t, now)) {
            num += MAX(t->info.leased - t->info.in_use, 0);
        }
    }
    return num;
}

wgp_stats wgp_query_stats(const wgp_place* p) {
    wgp_stats stats = p->stats;
    for (int i = 0; i < p->targets_num; i++) {
        stats.targets += p->targets[i].live ? 1 : 0;
    }
    return stats;
}
