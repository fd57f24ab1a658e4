/* wg_balance.c -- see wg_balance.h */
#include "wg_balance_internal.h"

#include <math.h>
#include <string.h>

/* ---- types and constants ------------------------------------------------------------------- */

enum {
    WG_CACHED_TIME = 8 * WG_USEC_PER_SEC,      /* how long a sent part counts as cached */
    WG_WARM_UP_TIME = 2500 * WG_USEC_PER_MSEC, /* from the first prompt until homes count as warm */
    WG_CACHED_MAX = 8192,                      /* parts remembered per target */
    WG_EJECTION_MIN = 300 * WG_USEC_PER_MSEC,
    WG_EJECTION_MAX = 4 * WG_USEC_PER_SEC,
    WG_FRESH_TIME = 25 * WG_USEC_PER_MSEC, /* how long a coordinator's report is fresh */
    /* How long a reported lateness counts. Longer than a report is fresh: a late target is asked
       for less often, and a stall lasts some tenths of a second. */
    WG_LATE_TIME = 100 * WG_USEC_PER_MSEC,
    /* Highest lateness that a coordinator reports (WG_ADMIT_LATE_MAX). Reports are bounded by it,
       as they come from the wire. */
    WG_LATE_MAX = 3 * WG_USEC_PER_SEC,
    WG_OVER_LIMIT_PENALTY = 10 * WG_USEC_PER_SEC,
    /* Penalty of a target that refuses every request: about the time after which a refused caller
       returns. */
    WG_REFUSAL_PENALTY = 1 * WG_USEC_PER_SEC,
    WG_ROOM_INTERVAL = 50 * WG_USEC_PER_MSEC, /* until idle targets are counted again */
    WG_SAMPLED_MIN = 3,
    WG_SAMPLED_HOSTS = 11, /* expected number of hosts that sample a given target */
    WG_FAILURES_BEFORE_EJECTION = 2,
    WG_REMOTE_PENALTY_TOKENS = 400, /* penalty of a remote target */
    /* Penalty of a remote target if a home exists in this data centre. Higher, since waiting
       locally is often cheaper than sending the bytes to a remote data centre: it takes about a
       tenth of a second of waiting until they are sent there. */
    WG_REMOTE_PENALTY_LOCAL_HOME_TOKENS = 4000,
    WG_RUNNING_COST_TOKENS = 20,         /* cost of each running request to the next */
    WG_SECOND_HOME_PENALTY_TOKENS = 400, /* penalty of the second home */
    WG_RECOMPUTE_PENALTY_FACTOR = 12     /* penalty per shared token that is computed again */
};

/* Weight of a new sample of the prompt speed, without `learn_base`. */
static const double WG_BALANCE_SPEED_WEIGHT = 0.08;

/* Service time in microseconds of a request without a prompt, initial value for a target. */
static const double WG_SERVICE_TIME_DEFAULT = 10 * WG_USEC_PER_MSEC;
static const double WG_SERVICE_TIME_MIN = 500;
static const double WG_SERVICE_TIME_MAX = 10.0 * WG_USEC_PER_SEC;
/* Weight of a new sample; low, since single requests vary widely. */
static const double WG_SERVICE_TIME_WEIGHT = 0.05;

/* Fraction of prompts whose third home held their prefix: initial value and weight of a new
   sample. */
static const double WG_THIRD_HIT_RATE_DEFAULT = 0.7;
static const double WG_THIRD_HIT_RATE_WEIGHT = 0.03;
/* Fraction of the miss rate that is dropped at each choice of another target, so that a third home
   is tried again. */
static const double WG_THIRD_HIT_RATE_RECOVERY = 0.002;

/* With this many hosts, 1/e of the load that other hosts reported remains after the next report. */
static const double WG_DECAY_HOSTS = 24;

struct wg_balance {
    wg_balance_desc desc;
    GHashTable* targets;   /* number -> wg_balance_target* */
    GHashTable* services;  /* name -> wg_balance_service* */
    wg_time warm_at;       /* time from which homes count as holding their prefixes; 0: not set */
    int hosts;             /* number of hosts that decide on the same loads */
    double third_hit_rate; /* recent fraction of prompts whose third home held their prefix */
    GPtrArray* unsampled;  /* wg_balance_target* not yet sampled in the current choice */
    uint64_t counter;
};

/* ---- helpers ------------------------------------------------------------------------------- */

static void wg_balance_target_free(void* data) {
    wg_balance_target* t = data;
    g_hash_table_unref(t->cached);
    g_free(t);
}

static wg_balance_target* wg_balance_find(const wg_balance* b, uint32_t number) {
    return g_hash_table_lookup(b->targets, GUINT_TO_POINTER(number));
}

/* True if the part was recorded in the table less than `time` ago. */
static bool wg_parts_contain(GHashTable* parts, wg_time now, uint64_t part, wg_time time) {
    const wg_time* sent = g_hash_table_lookup(parts, &part);
    return sent && now - *sent < time;
}

static void wg_parts_record(GHashTable* parts, wg_time now, uint64_t part) {
    wg_time* sent = g_hash_table_lookup(parts, &part);
    if (sent) {
        *sent = now;
        return;
    }
    if (g_hash_table_size(parts) >= WG_CACHED_MAX) {
        g_hash_table_remove_all(parts);
    }
    uint64_t* pair = g_new(uint64_t, 2);
    pair[0] = part;
    pair[1] = (uint64_t)now;
    g_hash_table_insert(parts, pair, (wg_time*)(pair + 1));
}

/* Tokens of the prompt's shared parts that are expected to be cached at the target. */
static uint32_t wg_balance_cached(const wg_balance* b, const wg_balance_target* t, wg_time now,
                                  const wg_prompt* prompt, bool home) {
    bool warm = home && b->warm_at > 0 && now >= b->warm_at;
    uint32_t cached = 0;
    for (int i = 0; i + 1 < prompt->num; i++) {
        if (!warm && !wg_parts_contain(t->cached, now, prompt->parts[i], WG_CACHED_TIME)) {
            break;
        }
        cached += prompt->sizes[i];
    }
    return MIN(cached, prompt->tokens);
}

static bool wg_balance_is_denied(const wg_balance_request* request, uint32_t number) {
    for (int i = 0; i < request->denied_num; i++) {
        if (request->denied[i] == number) {
            return true;
        }
    }
    return false;
}

/* Returns the target that a new first home copies a prefix from: the draining previous home or the
   second home. */
static uint32_t wg_balance_previous_home(const wg_balance_homes* homes) {
    const wg_balance_target* previous = homes->draining_home ? homes->draining_home : homes->second;
    return previous ? previous->number : 0;
}

/* Returns the target to copy missing shared parts from: the first home. Set even for a target
   expected to hold everything, since only the target knows what it holds and copies only what it
   lacks. The home may have evicted the parts, so the estimate does not count on the copy. */
static uint32_t wg_balance_source(const wg_balance_target* t, const wg_balance_homes* homes) {
    if (t == homes->first) {
        return wg_balance_previous_home(homes);
    }
    return homes->first ? homes->first->number : 0;
}

/* Requests of all hosts in progress at the target, as far as this host knows. */
static uint32_t wg_balance_running(const wg_balance_target* t) {
    return t->own_running + t->other_running;
}

/* Prompt tokens that the target processes before a new prompt, as far as this host knows. */
static uint32_t wg_balance_ahead(const wg_balance_target* t) {
    return t->own_unread + MAX(t->other_unread, t->recent_unread);
}

/* Lateness that the coordinator reported; 0 once the report is too old. */
static wg_time wg_balance_late(const wg_balance_target* t, wg_time now) {
    return now - t->late_at < WG_LATE_TIME ? t->late : 0;
}

static wg_balance_choice wg_balance_estimate_prompt(const wg_balance* b, const wg_balance_target* t,
                                                    wg_time now, const wg_balance_request* request,
                                                    const wg_balance_homes* homes) {
    bool home = t == homes->first || t == homes->second || t == homes->local;
    uint32_t running = wg_balance_running(t);
    uint32_t cached = wg_balance_cached(b, t, now, request->prompt, home);
    wg_balance_choice c = {.target = t->number, .running = running};
    c.is_fresh = t->reported_at > 0 && now - t->reported_at < WG_FRESH_TIME;
    if (request->copies && request->source_tokens > cached && request->source != t->number) {
        c.source = request->source;
        c.copied = MIN(request->source_tokens, request->prompt->tokens);
    } else if (request->copies) {
        c.source = wg_balance_source(t, homes);
    }
    c.unread = request->prompt->tokens - MAX(cached, c.copied);
    c.ahead = wg_balance_ahead(t);
    uint32_t tokens = c.unread + c.ahead + running * WG_RUNNING_COST_TOKENS;
    c.late = wg_balance_late(t, now);
    c.wait = wg_speed_wait(&t->speed, tokens) + c.late;
    c.wait_ahead = wg_speed_read_time(&t->speed, c.ahead) + c.late;
    return c;
}

/* Returns the number of rounds, of one request per slot, in which a target processes `running`
   requests and one more. */
static double wg_balance_rounds(const wg_balance_target* t, uint32_t running) {
    uint32_t slots = t->slots ? t->slots : 1;
    return MAX((running + 1.0) / slots, 1.0);
}

static wg_balance_choice wg_balance_estimate_plain(const wg_balance_target* t, uint32_t running) {
    return (wg_balance_choice){.target = t->number,
                               .plain = true,
                               .running = running,
                               .wait = (wg_time)(t->service_time * wg_balance_rounds(t, running))};
}

static wg_balance_choice wg_balance_estimate(const wg_balance* b, const wg_balance_target* t,
                                             wg_time now, const wg_balance_request* request,
                                             const wg_balance_homes* homes) {
    if (request->prompt) {
        return wg_balance_estimate_prompt(b, t, now, request, homes);
    }
    return wg_balance_estimate_plain(t, wg_balance_running(t));
}

/* ---- public functions ---------------------------------------------------------------------- */

wg_balance* wg_balance_setup(const wg_balance_desc* desc) {
    wg_balance* b = g_new0(wg_balance, 1);
    b->desc = *desc;
    b->targets = g_hash_table_new_full(NULL, NULL, NULL, wg_balance_target_free);
    b->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, wg_balance_service_free);
    b->unsampled = g_ptr_array_new();
    b->hosts = 1;
    b->third_hit_rate = WG_THIRD_HIT_RATE_DEFAULT;
    return b;
}

void wg_balance_shutdown(wg_balance* b) {
    g_hash_table_unref(b->services);
    g_hash_table_unref(b->targets);
    g_ptr_array_unref(b->unsampled);
    g_free(b);
}

static wg_balance_service* wg_balance_service_of(wg_balance* b, const char* name) {
    wg_balance_service* service = g_hash_table_lookup(b->services, name);
    if (!service) {
        service = g_new0(wg_balance_service, 1);
        wg_copy_name(service->name, sizeof service->name, name);
        service->targets = g_ptr_array_new();
        service->rankings = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
        g_hash_table_insert(b->services, service->name, service);
    }
    return service;
}

static wg_balance_target* wg_balance_target_new(const wg_balance* b, const wg_target* record) {
    wg_balance_target* t = g_new0(wg_balance_target, 1);
    t->number = record->number;
    t->id_hash = wg_hash(record->id, strlen(record->id), 0);
    t->key = wg_target_key(record);
    t->backoff = b->desc.backoff;
    wg_speed_setup(&t->speed, &(wg_speed_desc){.learn_base = b->desc.learn_base,
                                               .weight = WG_BALANCE_SPEED_WEIGHT});
    t->service_time = WG_SERVICE_TIME_DEFAULT;
    t->cached = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    return t;
}

static void wg_balance_leave_service(wg_balance* b, wg_balance_target* t) {
    wg_balance_service* service = g_hash_table_lookup(b->services, t->service);
    if (service && g_ptr_array_remove(service->targets, t)) {
        service->ready -= t->ready;
        t->ready = false;
        t->listed = false;
        wg_balance_rankings_remove(service, t);
    }
}

static void wg_balance_forget(wg_balance* b, wg_balance_target* t) {
    wg_balance_leave_service(b, t);
    g_hash_table_remove(b->targets, GUINT_TO_POINTER(t->number));
}

/* The target is not selected any more. Its load is kept while requests run there: the same
   incarnation may come back, and they still run at it then. */
static void wg_balance_drop(wg_balance* b, uint32_t number) {
    wg_balance_target* t = wg_balance_find(b, number);
    if (t && t->own_running > 0) {
        wg_balance_leave_service(b, t);
    } else if (t) {
        wg_balance_forget(b, t);
    }
}

/* Returns the record of the target's incarnation; NULL: none. A registry that was built anew may
   use the number of another target again, at which none of this host's requests run. */
static wg_balance_target* wg_balance_find_incarnation(wg_balance* b, const wg_target* record) {
    wg_balance_target* t = wg_balance_find(b, record->number);
    if (t && t->key != wg_target_key(record)) {
        wg_balance_forget(b, t);
        return NULL;
    }
    return t;
}

/* Adds the target, or moves it if its service or data centre changed. */
static wg_balance_target* wg_balance_place(wg_balance* b, const wg_target* record) {
    wg_balance_target* t = wg_balance_find_incarnation(b, record);
    bool local = strcmp(record->data_centre, b->desc.data_centre) == 0;
    if (t && t->listed && t->local == local && strcmp(t->service, record->service) == 0) {
        return t;
    }
    if (t) {
        wg_balance_leave_service(b, t);
    } else {
        t = wg_balance_target_new(b, record);
        g_hash_table_insert(b->targets, GUINT_TO_POINTER(t->number), t);
    }
    wg_balance_service* service = wg_balance_service_of(b, record->service);
    wg_copy_name(t->service, sizeof t->service, record->service);
    t->local = local;
    t->listed = true;
    g_ptr_array_add(service->targets, t);
    wg_balance_rankings_add(service, t);
    return t;
}

void wg_balance_sync_target(wg_balance* b, const wg_registry* registry, uint32_t number) {
    const wg_target* record = wg_registry_find(registry, number);
    if (!record || record->state == WG_TARGET_REMOVED) {
        wg_balance_drop(b, number);
        return;
    }
    wg_balance_target* t = wg_balance_place(b, record);
    bool ready = wg_registry_accepts(registry, record);
    wg_balance_service_of(b, t->service)->ready += ready - t->ready;
    t->ready = ready;
    t->draining = record->state == WG_TARGET_DRAINING;
    t->replaced = t->replaced && t->change == record->change;
    t->change = record->change;
    t->slots = record->slots;
    wg_copy_name(t->version, sizeof t->version, record->version);
}

void wg_balance_sync(wg_balance* b, const wg_registry* registry) {
    GList* numbers = g_hash_table_get_keys(b->targets);
    for (const GList* at = numbers; at; at = at->next) {
        if (!wg_registry_find(registry, GPOINTER_TO_UINT(at->data))) {
            wg_balance_drop(b, GPOINTER_TO_UINT(at->data));
        }
    }
    g_list_free(numbers);
    const wg_target* record = NULL;
    while ((record = wg_registry_next(registry, record ? record->number : 0))) {
        wg_balance_sync_target(b, registry, record->number);
    }
}

void wg_balance_clear_others_load(wg_balance* b) {
    double keep = exp(-WG_DECAY_HOSTS / b->hosts);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_balance_target* t = value;
        t->recent_unread = (uint32_t)(MAX(t->recent_unread, t->other_unread) * keep);
        t->other_unread = 0;
        t->other_running = 0;
    }
}

void wg_balance_set_hosts(wg_balance* b, int hosts) {
    b->hosts = MAX(hosts, 1);
}

void wg_balance_set_others_load(wg_balance* b, uint32_t target, uint32_t unread, uint32_t running) {
    wg_balance_target* t = wg_balance_find(b, target);
    if (t) {
        t->other_unread = unread;
        t->other_running = running;
    }
}

/* True if the target is excluded from this selection, or the slots that the request may use are
   taken. Requests that other hosts are sending are not known yet, so `slots_share` keeps slots free
   for workspaces below their fair share. */
static bool wg_balance_is_full(const wg_balance_target* t, const wg_balance_request* request) {
    double slots = t->slots ? (double)t->slots : (double)request->slots;
    double share = request->slots_share > 0 ? request->slots_share : 1;
    if (wg_balance_is_denied(request, t->number)) {
        return true;
    }
    uint32_t running = wg_balance_running(t);
    if (!request->prompt && request->wait_max > 0) {
        bool in_time = wg_balance_estimate_plain(t, running).wait <= request->wait_max;
        return slots > 0 && running >= slots && !in_time;
    }
    return slots > 0 && running >= slots * share;
}

/* Penalty of sending a prompt to the target, in tokens, in addition to the wait. */
static uint32_t wg_balance_penalty_tokens(const wg_balance_target* t, const wg_balance_homes* homes,
                                          const wg_balance_choice* choice,
                                          const wg_balance_request* request) {
    uint32_t remote_penalty =
        homes->local ? WG_REMOTE_PENALTY_LOCAL_HOME_TOKENS : WG_REMOTE_PENALTY_TOKENS;
    uint32_t penalty = t->local ? 0 : remote_penalty;
    if (!homes->first) {
        return penalty;
    }
    if (t == homes->local) {
        return penalty + homes->local_penalty;
    }
    if (t == homes->second) {
        return penalty + WG_SECOND_HOME_PENALTY_TOKENS;
    }
    uint32_t own = request->prompt->sizes[request->prompt->num - 1];
    uint32_t recompute_tokens = choice->unread > own ? choice->unread - own : 0;
    return penalty + (t == homes->first ? 0 : WG_RECOMPUTE_PENALTY_FACTOR * recompute_tokens);
}

/* Penalty of sending any request to the target, in microseconds. Without a prompt, a remote data
   centre costs as much as one more queued request. */
static double wg_balance_penalty_time(const wg_balance_target* t, const wg_balance_homes* homes,
                                      const wg_balance_choice* choice,
                                      const wg_balance_request* request) {
    if (request->prompt) {
        uint32_t penalty = wg_balance_penalty_tokens(t, homes, choice, request);
        return penalty / wg_speed_values_of(&t->speed).speed;
    }
    return t->local ? 0 : t->service_time;
}

/* A choice and its cost in microseconds; lower is better. */
typedef struct {
    wg_balance_choice choice;
    int64_t cost;
} wg_candidate;

static void wg_balance_consider(wg_balance* b, const wg_balance_target* t, wg_time now,
                                const wg_balance_request* request, const wg_balance_homes* homes,
                                wg_candidate* best) {
    WG_ASSERT(t != NULL);
    wg_balance_choice c = wg_balance_estimate(b, t, now, request, homes);
    int64_t cost = c.wait + (int64_t)wg_balance_penalty_time(t, homes, &c, request);
    cost += (int64_t)((1 - wg_acceptance_chance(&t->acceptance, now)) * WG_REFUSAL_PENALTY);
    if (now < t->ejected_until) {
        cost += WG_EJECTION_MAX; /* last resort */
    }
    if (request->wait_max && c.wait > request->wait_max) {
        cost += WG_OVER_LIMIT_PENALTY;
    }
    if (best->choice.target == 0 || cost < best->cost) {
        *best = (wg_candidate){c, cost};
    }
}

/* Considers a few targets at random beside the homes. If many hosts all picked the least loaded
   target of the same outdated report, they would overload it at once. */
static void wg_balance_sample(wg_balance* b, const wg_balance_service* service, wg_time now,
                              const wg_balance_request* request, const wg_balance_homes* homes,
                              wg_candidate* best) {
    int left = MAX(WG_SAMPLED_MIN, service->ready * WG_SAMPLED_HOSTS / b->hosts);
    g_ptr_array_set_size(b->unsampled, 0);
    g_ptr_array_extend(b->unsampled, service->targets, NULL, NULL);
    gpointer* unsampled = b->unsampled->pdata;
    guint num = b->unsampled->len;
    while (left > 0 && num > 0) {
        guint at = (guint)(wg_jitter(b->desc.seed, ++b->counter) % num);
        const wg_balance_target* t = unsampled[at];
        unsampled[at] = unsampled[--num];
        /* Backoff is looked up last: on a busy fleet, most targets are full. */
        if (!wg_balance_is_full(t, request) && wg_balance_accepts(t, now, request)) {
            wg_balance_consider(b, t, now, request, homes, best);
            left--;
        }
    }
}

wg_balance_choice wg_balance_choose(wg_balance* b, wg_time now, const wg_balance_request* request) {
    const wg_prompt* prompt = request->prompt;
    uint64_t part = prompt && prompt->num > 1 ? prompt->parts[prompt->num - 2] : 0;
    wg_balance_service* service = g_hash_table_lookup(b->services, request->service);
    wg_candidate best = {0};
    if (!service) {
        return best.choice;
    }
    wg_balance_homes homes = wg_balance_find_homes(service, now, request, part);
    bool has_third = homes.local && homes.local != homes.first && homes.local != homes.second;
    if (has_third) {
        double recompute_penalty = WG_RECOMPUTE_PENALTY_FACTOR * (double)wg_prompt_shared(prompt);
        homes.local_penalty = (uint32_t)((1 - b->third_hit_rate) * recompute_penalty);
    }
    if (homes.first && !wg_balance_is_full(homes.first, request)) {
        wg_balance_consider(b, homes.first, now, request, &homes, &best);
    }
    if (homes.second && !wg_balance_is_full(homes.second, request)) {
        wg_balance_consider(b, homes.second, now, request, &homes, &best);
    }
    if (has_third && !wg_balance_is_full(homes.local, request)) {
        wg_balance_consider(b, homes.local, now, request, &homes, &best);
    }
    wg_balance_sample(b, service, now, request, &homes, &best);
    best.choice.prefix = part;
    best.choice.is_third_home = has_third && best.choice.target == homes.local->number;
    if (has_third && !best.choice.is_third_home) {
        b->third_hit_rate += WG_THIRD_HIT_RATE_RECOVERY * (1 - b->third_hit_rate);
    }
    return best.choice;
}

wg_version_presence wg_balance_version_presence(const wg_balance* b, const char* name,
                                                const char* version) {
    const wg_balance_service* service = g_hash_table_lookup(b->services, name);
    wg_version_presence presence = WG_VERSION_GONE;
    for (guint i = 0; service && i < service->targets->len; i++) {
        const wg_balance_target* t = service->targets->pdata[i];
        if (strcmp(t->version, version) != 0 || t->draining) {
            continue;
        }
        if (t->ready && !t->replaced) {
            return WG_VERSION_SERVES;
        }
        presence = WG_VERSION_AWAY;
    }
    return presence;
}

static bool wg_balance_is_idle(const wg_balance_target* t) {
    return wg_balance_running(t) == 0 && t->own_unread + t->other_unread == 0;
}

static bool wg_balance_count_room(const wg_balance_service* service) {
    int idle = 0;
    for (guint i = 0; i < service->targets->len; i++) {
        const wg_balance_target* t = service->targets->pdata[i];
        idle += t->ready && wg_balance_is_idle(t);
    }
    return idle > 0 && idle >= service->ready - idle;
}

bool wg_balance_has_room(wg_balance* b, wg_time now, const char* name) {
    wg_balance_service* service = g_hash_table_lookup(b->services, name);
    if (service && (service->room_at == 0 || now - service->room_at >= WG_ROOM_INTERVAL)) {
        service->has_room = wg_balance_count_room(service);
        service->room_at = now;
    }
    return service && service->has_room;
}

/* Stops at half: this runs for each selection while the leader tells room. */
bool wg_balance_leaves_room(const wg_balance* b, const char* name, wg_time wait_max) {
    const wg_balance_service* service = g_hash_table_lookup(b->services, name);
    int with_room = 0;
    for (guint i = 0; service && 2 * with_room < service->ready && i < service->targets->len; i++) {
        const wg_balance_target* t = service->targets->pdata[i];
        uint32_t unread = wg_balance_ahead(t);
        wg_room_target load = {.ready = t->ready,
                               .slots = t->slots ? t->slots : WG_ROOM_SLOTS_DEFAULT,
                               .running = wg_balance_running(t),
                               .read_time = wg_speed_read_time(&t->speed, unread)};
        with_room += wg_room_target_has_room(&load, wait_max);
    }
    return !service || 2 * with_room >= service->ready;
}

void wg_balance_record_third_home(wg_balance* b, bool held) {
    b->third_hit_rate += WG_THIRD_HIT_RATE_WEIGHT * ((held ? 1 : 0) - b->third_hit_rate);
}

void wg_balance_begin(wg_balance* b, wg_time now, wg_balance_choice* choice) {
    wg_balance_target* t = wg_balance_find(b, choice->target);
    choice->started_at = now;
    choice->incarnation = t ? t->key : 0;
    if (t) {
        t->own_unread += choice->unread;
        t->own_running++;
    }
}

/* The target at whose load the request counts; NULL: it is not known any more. */
static wg_balance_target* wg_balance_counted_at(const wg_balance* b,
                                                const wg_balance_choice* choice) {
    wg_balance_target* t = wg_balance_find(b, choice->target);
    return t && t->key == choice->incarnation ? t : NULL;
}

static void wg_balance_settle_unread(wg_balance_target* t, wg_balance_choice* choice) {
    WG_ASSERT(t->own_unread >= choice->unread);
    t->own_unread -= choice->unread;
    choice->unread = 0;
}

void wg_balance_record_prompt(wg_balance* b, wg_time now, uint32_t target,
                              const wg_prompt* prompt) {
    if (b->warm_at == 0) {
        b->warm_at = now + WG_WARM_UP_TIME;
    }
    wg_balance_target* t = wg_balance_find(b, target);
    for (int i = 0; t && i + 1 < prompt->num; i++) {
        wg_parts_record(t->cached, now, prompt->parts[i]);
    }
}

void wg_balance_first_event(wg_balance* b, wg_time now, wg_balance_choice* choice) {
    wg_balance_target* t = wg_balance_counted_at(b, choice);
    wg_time took = now - choice->started_at;
    if (!t) {
        return;
    }
    uint32_t tokens = choice->ahead + choice->unread;
    if (!b->desc.learn_base) {
        wg_speed_record(&t->speed, tokens, took);
    } else if (!choice->plain && !choice->is_read && !t->speed_reported) {
        wg_speed_record(&t->speed, tokens + choice->running * WG_RUNNING_COST_TOKENS, took);
    }
    choice->is_read = true;
    wg_balance_settle_unread(t, choice);
}

/* Updates the service time from a complete answer, without the expected time in the queue. */
static void wg_balance_update_service_time(wg_balance_target* t, wg_time now,
                                           const wg_balance_choice* choice) {
    if (!choice->plain) {
        return;
    }
    double sample = (double)(now - choice->started_at) / wg_balance_rounds(t, choice->running);
    sample = CLAMP(sample, WG_SERVICE_TIME_MIN, WG_SERVICE_TIME_MAX);
    t->service_time += WG_SERVICE_TIME_WEIGHT * (sample - t->service_time);
}

static void wg_balance_record_result(wg_balance* b, wg_balance_target* t, wg_time now,
                                     const wg_balance_choice* choice, wg_result result) {
    t->replaced = t->replaced || result == WG_RESULT_REPLACED;
    if (result == WG_RESULT_SUCCESS || result == WG_RESULT_REFUSED) {
        wg_acceptance_record(&t->acceptance, now, result == WG_RESULT_SUCCESS);
    }
    if (result == WG_RESULT_SUCCESS) {
        wg_balance_update_service_time(t, now, choice);
        t->failures = 0;
        t->ejected_until = 0;
    } else if (result == WG_RESULT_FAILED && ++t->failures >= WG_FAILURES_BEFORE_EJECTION) {
        wg_time max_ejection =
            MIN((wg_time)WG_EJECTION_MIN << MIN(t->failures, 6), (wg_time)WG_EJECTION_MAX);
        t->ejected_until =
            now + wg_jitter_range(b->desc.seed, ++b->counter, max_ejection / 2, max_ejection);
    }
}

void wg_balance_end(wg_balance* b, wg_time now, wg_balance_choice* choice, wg_result result) {
    wg_balance_target* t = wg_balance_counted_at(b, choice);
    if (!t) {
        return;
    }
    wg_balance_settle_unread(t, choice);
    WG_ASSERT(t->own_running > 0);
    t->own_running--;
    if (!t->listed && t->own_running == 0) {
        wg_balance_forget(b, t);
        return;
    }
    wg_balance_record_result(b, t, now, choice, result);
}

void wg_balance_load_of(const wg_balance* b, uint32_t target, uint32_t* unread, uint32_t* running) {
    const wg_balance_target* t = wg_balance_find(b, target);
    *unread = t ? t->own_unread + t->other_unread : 0;
    *running = t ? wg_balance_running(t) : 0;
}

uint32_t wg_balance_own_running(const wg_balance* b, uint32_t target) {
    const wg_balance_target* t = wg_balance_find(b, target);
    return t ? t->own_running : 0;
}

void wg_balance_update_speed(wg_balance* b, wg_time now, uint32_t target,
                             const wg_speed_values* values, wg_time late) {
    wg_balance_target* t = wg_balance_find(b, target);
    if (!t || !b->desc.learn_base) {
        return;
    }
    t->speed_reported = wg_speed_adopt(&t->speed, values) || t->speed_reported;
    t->late = CLAMP(late, 0, WG_LATE_MAX);
    t->late_at = now;
}

wg_speed_values wg_balance_speed_of(const wg_balance* b, uint32_t target) {
    const wg_balance_target* t = wg_balance_find(b, target);
    return t ? wg_speed_values_of(&t->speed) : (wg_speed_values){0};
}

void wg_balance_update_load(wg_balance* b, wg_time now, uint32_t target, uint32_t unread,
                            uint32_t running) {
    wg_balance_target* t = wg_balance_find(b, target);
    if (t) {
        t->other_unread = unread > t->own_unread ? unread - t->own_unread : 0;
        t->other_running = running > t->own_running ? running - t->own_running : 0;
        t->recent_unread = 0;
        t->reported_at = now;
    }
}

wg_time wg_balance_read_time(const wg_balance* b, uint32_t target, uint32_t tokens) {
    const wg_balance_target* t = wg_balance_find(b, target);
    return t ? wg_speed_read_time(&t->speed, tokens) : 0;
}

int wg_balance_loads(const wg_balance* b, wg_balance_load* loads, int max) {
    int num = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->targets);
    while (num < max && g_hash_table_iter_next(&iter, NULL, &value)) {
        const wg_balance_target* t = value;
        if (t->own_unread || t->own_running) {
            loads[num++] = (wg_balance_load){t->number, t->own_unread, t->own_running};
        }
    }
    return num;
}

wg_backoff_period wg_balance_backoff(const wg_balance* b, wg_time now,
                                     const wg_balance_request* request) {
    const wg_balance_service* service = g_hash_table_lookup(b->services, request->service);
    wg_backoff_period first = {.ends_at = WG_TIME_NEVER};
    for (guint i = 0; service && b->desc.backoff && i < service->targets->len; i++) {
        const wg_balance_target* t = service->targets->pdata[i];
        if (!wg_balance_is_eligible(t, request)) {
            continue;
        }
        wg_backoff_period period = wg_backoff_period_of(b->desc.backoff, now, t->key);
        first = period.ends_at < first.ends_at ? period : first;
        if (period.ends_at == 0) {
            return first;
        }
    }
    return first.ends_at == WG_TIME_NEVER ? (wg_backoff_period){0} : first;
}
