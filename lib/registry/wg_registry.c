/* wg_registry.c -- see wg_registry.h */
#include "wg_registry.h"

#include <string.h>

enum {
    /* Tolerates delayed heartbeats, which report a cold time that ends later than it does. */
    WG_COLD_TOLERANCE = 100 * WG_USEC_PER_MSEC,
    /* Tolerates that a host learns of a target's leaving later than the target itself. */
    WG_LEAVING_TOLERANCE = 500 * WG_USEC_PER_MSEC
};

struct wg_registry {
    wg_registry_desc desc;
    GPtrArray* evacuated; /* char*, names of data centres */
    GPtrArray* records;   /* wg_target*, in ascending order of numbers */
    GHashTable* by_id;    /* id -> wg_target*, latest incarnation */
    /* address -> wg_target* that has not ended; an applied change leaves one at an address */
    GHashTable* by_address;
    GQueue ended; /* wg_target*, ended records in ascending order of change numbers */
    uint64_t change;
    /* copies older than this change number may lack the removal of a dropped record */
    uint64_t floor;
    uint32_t next_number;
    wg_time oldest_contact_at; /* no target in use had its last contact before this */
};

/* ---- helpers ------------------------------------------------------------------------------- */

static bool wg_target_ended(const wg_target* target) {
    return target->state == WG_TARGET_REMOVED;
}

static bool wg_target_is_leaving(wg_target_state state) {
    return state == WG_TARGET_DRAINING || state == WG_TARGET_REMOVED;
}

static void wg_registry_record_change(wg_registry* r, wg_target* target) {
    target->change = ++r->change;
}

/* Enters a record that is complete into the indexes. Records that end in order are appended; only a
   copy that is loaded may have to search. */
static void wg_registry_index(wg_registry* r, wg_target* target) {
    if (!wg_target_ended(target)) {
        g_hash_table_replace(r->by_address, target->address, target);
        r->oldest_contact_at = MIN(r->oldest_contact_at, target->last_contact_at);
        return;
    }
    GList* before = r->ended.tail;
    while (before && ((wg_target*)before->data)->change > target->change) {
        before = before->prev;
    }
    if (before) {
        g_queue_insert_after(&r->ended, before, target);
    } else {
        g_queue_push_head(&r->ended, target);
    }
}

/* Has to be called before the address or the state of a record changes. */
static void wg_registry_unindex(wg_registry* r, wg_target* target) {
    if (wg_target_ended(target)) {
        g_queue_remove(&r->ended, target);
    } else if (g_hash_table_lookup(r->by_address, target->address) == target) {
        g_hash_table_remove(r->by_address, target->address);
    }
}

/* Takes over the state of a record, and notes since when the target is leaving. */
static void wg_target_set_state(wg_target* target, wg_time now, wg_target_state state) {
    bool leaving = wg_target_is_leaving(state);
    bool was_leaving = wg_target_is_leaving(target->state);
    target->leaving_at = !leaving ? 0 : was_leaving ? target->leaving_at : now;
    target->ended_at = state == WG_TARGET_REMOVED ? now : 0;
    target->deregistered = target->deregistered && leaving;
    target->state = state;
}

static void wg_registry_end(wg_registry* r, wg_time now, wg_target* target) {
    if (!wg_target_ended(target)) {
        wg_registry_unindex(r, target);
        wg_target_set_state(target, now, WG_TARGET_REMOVED);
        wg_registry_record_change(r, target);
        wg_registry_index(r, target);
    }
}

static void wg_registry_remove_id(wg_registry* r, const wg_target* target) {
    if (g_hash_table_lookup(r->by_id, target->id) == target) {
        g_hash_table_remove(r->by_id, target->id);
    }
}

/* Position of the first record with a number above `after`. */
static guint wg_registry_position(const wg_registry* r, uint32_t after) {
    guint low = 0;
    guint high = r->records->len;
    while (low < high) {
        guint middle = (low + high) / 2;
        if (((wg_target*)r->records->pdata[middle])->number <= after) {
            low = middle + 1;
        } else {
            high = middle;
        }
    }
    return low;
}

/* Drops the records that ended first, beyond the limit. */
static void wg_registry_prune(wg_registry* r) {
    while (r->ended.length > (guint)r->desc.ended_max) {
        wg_target* target = g_queue_pop_head(&r->ended);
        r->floor = MAX(r->floor, target->change);
        wg_registry_remove_id(r, target);
        g_ptr_array_remove_index(r->records, wg_registry_position(r, target->number - 1));
    }
}

static wg_target* wg_registry_add(wg_registry* r, const wg_target* record) {
    wg_target* target = g_new(wg_target, 1);
    *target = *record;
    g_ptr_array_insert(r->records, (gint)wg_registry_position(r, target->number), target);
    const wg_target* listed = g_hash_table_lookup(r->by_id, target->id);
    if (!listed || listed->number < target->number) {
        g_hash_table_replace(r->by_id, target->id, target);
    }
    return target;
}

/* True if `received` is from a later incarnation under the same id. */
static bool wg_target_is_later_incarnation(const wg_target* current, const wg_target* received) {
    return received->born > current->born;
}

/* True if `received` is from or meant for an earlier incarnation. A message without a start time
   counts as current. */
static bool wg_target_is_earlier_incarnation(const wg_target* current, const wg_target* received) {
    return received->born != 0 && received->born < current->born;
}

/* Ends another target at the address of `holder`, which is not indexed yet. */
static void wg_registry_free_address(wg_registry* r, wg_time now, const wg_target* holder) {
    wg_target* other = g_hash_table_lookup(r->by_address, holder->address);
    if (other && other != holder) {
        other->replaced = other->state != WG_TARGET_DRAINING;
        wg_registry_end(r, now, other);
    }
}

/* True if the process of `a` is known to have started before that of `b`. Of two processes at one
   address, the earlier one has ended. */
static bool wg_target_started_before(const wg_target* a, const wg_target* b) {
    return a->born != 0 && a->born < b->born;
}

/* True if another target at this one's address had contact recently. */
static bool wg_registry_holder_is_live(const wg_registry* r, wg_time now, const wg_target* target) {
    const wg_target* holder = wg_registry_holder(r, target->address);
    return holder && strcmp(holder->id, target->id) != 0 &&
           now - holder->last_contact_at <= r->desc.holder_timeout;
}

/* True if a later process than that of `received` sends heartbeats from its address. */
static bool wg_registry_is_superseded(const wg_registry* r, wg_time now,
                                      const wg_target* received) {
    return received->state != WG_TARGET_REMOVED && wg_registry_holder_is_live(r, now, received) &&
           wg_target_started_before(received, wg_registry_holder(r, received->address));
}

/* True if the replaced target gave way to a target that is still at its address. */
static bool wg_registry_stays_replaced(const wg_registry* r, wg_time now,
                                       const wg_target* replaced) {
    return wg_registry_holder_is_live(r, now, replaced) &&
           !wg_target_started_before(wg_registry_holder(r, replaced->address), replaced);
}

/* A replaced target may have been ended wrongly. Depends on replicated fields only, for
   determinism. */
static bool wg_registry_may_revive(const wg_target* target, const wg_target* record) {
    bool live = record->state == WG_TARGET_READY || record->state == WG_TARGET_DRAINING;
    return target->replaced && live && record->sequence > target->sequence;
}

static bool wg_target_became_cold(const wg_target* known, const wg_target* received, wg_time now) {
    return received->cold_until > MAX(known->cold_until, now) + WG_COLD_TOLERANCE;
}

static bool wg_target_is_unchanged(const wg_target* a, const wg_target* b) {
    return a->state == b->state && a->slots == b->slots && strcmp(a->service, b->service) == 0 &&
           strcmp(a->address, b->address) == 0 && strcmp(a->data_centre, b->data_centre) == 0 &&
           strcmp(a->version, b->version) == 0;
}

/* ---- public functions ---------------------------------------------------------------------- */

wg_registry* wg_registry_setup(const wg_registry_desc* desc) {
    wg_registry* r = g_new0(wg_registry, 1);
    r->desc = *desc;
    r->desc.ended_max = desc->ended_max ? desc->ended_max : WG_REGISTRY_ENDED_DEFAULT;
    r->desc.holder_timeout =
        desc->holder_timeout ? desc->holder_timeout : WG_REGISTRY_HOLDER_TIMEOUT_DEFAULT;
    r->evacuated = g_ptr_array_new_with_free_func(g_free);
    r->records = g_ptr_array_new_with_free_func(g_free);
    r->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    r->by_address = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&r->ended);
    r->oldest_contact_at = WG_TIME_NEVER;
    r->next_number = 1;
    return r;
}

void wg_registry_shutdown(wg_registry* r) {
    g_hash_table_unref(r->by_id);
    g_hash_table_unref(r->by_address);
    g_queue_clear(&r->ended);
    g_ptr_array_unref(r->records);
    g_ptr_array_unref(r->evacuated);
    g_free(r);
}

const wg_target* wg_registry_holder(const wg_registry* r, const char* address) {
    return g_hash_table_lookup(r->by_address, address);
}

wg_heartbeat_result wg_registry_receive(wg_registry* r, wg_time now, const wg_target* received) {
    wg_target* target = g_hash_table_lookup(r->by_id, received->id);
    if (wg_registry_is_superseded(r, now, received)) {
        return WG_HEARTBEAT_SUPERSEDED;
    }
    if (!target || wg_target_is_later_incarnation(target, received)) {
        return WG_HEARTBEAT_CHANGED;
    }
    if (wg_target_is_earlier_incarnation(target, received)) {
        return WG_HEARTBEAT_OUTDATED;
    }
    if (wg_target_ended(target)) {
        bool revive = received->sequence > target->received_sequence &&
                      wg_registry_may_revive(target, received) &&
                      !wg_registry_stays_replaced(r, now, target);
        return revive ? WG_HEARTBEAT_CHANGED : WG_HEARTBEAT_OUTDATED;
    }
    bool leave = received->state == WG_TARGET_REMOVED;
    uint64_t newest = MAX(target->sequence, target->received_sequence);
    if (!leave && received->sequence <= newest && newest > 0) {
        return WG_HEARTBEAT_OUTDATED;
    }
    target->last_contact_at = now;
    target->heard_interval = target->heard_at ? now - target->heard_at : 0;
    target->heard_at = now;
    bool reverted = target->state == WG_TARGET_DRAINING && received->state == WG_TARGET_READY;
    bool is_changed =
        !wg_target_is_unchanged(target, received) || wg_target_became_cold(target, received, now);
    if (leave || (!reverted && is_changed)) {
        return WG_HEARTBEAT_CHANGED; /* its sequence number counts once the change is agreed on */
    }
    target->received_sequence = received->sequence;
    return WG_HEARTBEAT_UNCHANGED;
}

static void wg_registry_create(wg_registry* r, wg_time now, const wg_target* record) {
    wg_target numbered = *record;
    numbered.number = r->next_number++;
    numbered.deregistered = wg_target_ended(record);
    numbered.state = WG_TARGET_DEFAULT;
    numbered.heard_at = 0;
    numbered.heard_interval = 0;
    wg_target_set_state(&numbered, now, record->state);
    wg_target* target = wg_registry_add(r, &numbered);
    target->last_contact_at = now;
    target->received_sequence = record->sequence;
    wg_registry_record_change(r, target);
    if (!wg_target_ended(target)) {
        wg_registry_free_address(r, now, target);
    }
    wg_registry_index(r, target);
    wg_registry_prune(r);
}

void wg_registry_apply(wg_registry* r, wg_time now, const wg_target* record) {
    wg_target* target = g_hash_table_lookup(r->by_id, record->id);
    if (target && wg_target_is_earlier_incarnation(target, record)) {
        return;
    }
    if (target && wg_target_is_later_incarnation(target, record)) {
        target->replaced = target->state != WG_TARGET_DRAINING && !wg_target_ended(target);
        wg_registry_end(r, now, target);
        target = NULL;
    }
    if (!target) {
        wg_registry_create(r, now, record);
        return;
    }
    if (wg_target_ended(target) && !wg_registry_may_revive(target, record)) {
        target->replaced = target->replaced && record->state != WG_TARGET_REMOVED;
        return;
    }
    if (record->state == WG_TARGET_REMOVED) {
        target->deregistered = true;
        wg_registry_end(r, now, target);
        wg_registry_prune(r);
        return;
    }
    if (record->state == WG_TARGET_UNRESPONSIVE) {
        /* Applies only to the state it was proposed for: a newer heartbeat wins. */
        if (record->sequence == target->sequence && target->state != WG_TARGET_UNRESPONSIVE) {
            bool draining = target->state == WG_TARGET_DRAINING;
            if (draining) {
                wg_registry_end(r, now, target);
            } else {
                target->state = WG_TARGET_UNRESPONSIVE;
                wg_registry_record_change(r, target);
            }
        }
        return;
    }
    if (record->sequence <= target->sequence && record->state != WG_TARGET_DRAINING) {
        return;
    }
    wg_target_state state =
        target->state == WG_TARGET_DRAINING ? WG_TARGET_DRAINING : record->state;
    wg_registry_unindex(r, target);
    target->replaced = false;
    wg_copy_name(target->service, sizeof target->service, record->service);
    wg_copy_name(target->address, sizeof target->address, record->address);
    wg_copy_name(target->data_centre, sizeof target->data_centre, record->data_centre);
    wg_copy_name(target->version, sizeof target->version, record->version);
    target->slots = record->slots;
    target->cold_until = MAX(target->cold_until, record->cold_until);
    wg_target_set_state(target, now, state);
    target->sequence = MAX(target->sequence, record->sequence);
    target->received_sequence = MAX(target->received_sequence, target->sequence);
    target->last_contact_at = now;
    wg_registry_record_change(r, target);
    wg_registry_free_address(r, now, target);
    wg_registry_index(r, target);
    wg_registry_prune(r);
}

/* Marks the targets of a data centre cold, as they may have lost their caches or restarted. */
static void wg_registry_mark_cold(wg_registry* r, wg_time now, const wg_evacuation* evacuation) {
    for (guint i = 0; i < r->records->len; i++) {
        wg_target* target = r->records->pdata[i];
        bool is_inside = strcmp(target->data_centre, evacuation->data_centre) == 0;
        if (is_inside && !wg_target_ended(target) && evacuation->cold_time > 0) {
            target->cold_until = MAX(target->cold_until, now + evacuation->cold_time);
            wg_registry_record_change(r, target);
        }
    }
}

static bool wg_registry_find_evacuated(const wg_registry* r, const char* data_centre, guint* at) {
    for (guint i = 0; i < r->evacuated->len; i++) {
        if (strcmp(r->evacuated->pdata[i], data_centre) == 0) {
            *at = i;
            return true;
        }
    }
    return false;
}

bool wg_registry_evacuate(wg_registry* r, wg_time now, const wg_evacuation* evacuation) {
    guint at;
    bool is_evacuated = wg_registry_find_evacuated(r, evacuation->data_centre, &at);
    if (is_evacuated == evacuation->begins ||
        (!is_evacuated && r->evacuated->len >= WG_REGISTRY_EVACUATED_MAX)) {
        return false;
    }
    if (evacuation->begins) {
        g_ptr_array_add(r->evacuated, g_strdup(evacuation->data_centre));
    } else {
        wg_registry_mark_cold(r, now, evacuation);
        g_ptr_array_remove_index(r->evacuated, at);
    }
    r->change++;
    return true;
}

bool wg_registry_is_evacuated(const wg_registry* r, const char* data_centre) {
    guint at;
    return wg_registry_find_evacuated(r, data_centre, &at);
}

const GPtrArray* wg_registry_evacuated(const wg_registry* r) {
    return r->evacuated;
}

bool wg_registry_accepts(const wg_registry* r, const wg_target* target) {
    return target->state == WG_TARGET_READY && !wg_registry_is_evacuated(r, target->data_centre);
}

void wg_registry_reset_contacts(wg_registry* r, wg_time now) {
    for (guint i = 0; i < r->records->len; i++) {
        wg_target* target = r->records->pdata[i];
        target->last_contact_at = now;
        target->heard_at = 0;
        target->heard_interval = 0;
    }
    r->oldest_contact_at = now;
}

void wg_registry_extend_deadlines(wg_registry* r, wg_time now, wg_time time) {
    for (guint i = 0; i < r->records->len; i++) {
        wg_target* target = r->records->pdata[i];
        target->last_contact_at = MIN(target->last_contact_at + time, now);
    }
}

wg_end_kind wg_target_end_kind(const wg_target* target, wg_time now, wg_time drain_time) {
    if (!target) {
        return WG_END_PLANNED;
    }
    if (!wg_target_is_leaving(target->state) || target->replaced) {
        return WG_END_UNPLANNED;
    }
    if (drain_time > 0 && now - target->leaving_at < drain_time - WG_LEAVING_TOLERANCE) {
        return WG_END_UNPLANNED;
    }
    if (target->deregistered) {
        return WG_END_PLANNED;
    }
    return target->state == WG_TARGET_DRAINING ? WG_END_UNDECIDED : WG_END_UNPLANNED;
}

static bool wg_target_is_in_use(const wg_target* target) {
    return target->state == WG_TARGET_READY || target->state == WG_TARGET_DRAINING;
}

/* Contacts only become newer, so nothing is searched until the oldest one is due. */
const wg_target* wg_registry_find_unresponsive(wg_registry* r, wg_time now, wg_time limit) {
    if (r->oldest_contact_at == WG_TIME_NEVER || now - r->oldest_contact_at <= limit) {
        return NULL;
    }
    const wg_target* oldest = NULL;
    for (guint i = 0; i < r->records->len; i++) {
        const wg_target* target = r->records->pdata[i];
        if (wg_target_is_in_use(target) &&
            (!oldest || target->last_contact_at < oldest->last_contact_at)) {
            oldest = target;
        }
    }
    r->oldest_contact_at = oldest ? oldest->last_contact_at : WG_TIME_NEVER;
    return oldest && now - oldest->last_contact_at > limit ? oldest : NULL;
}

void wg_registry_record_proposal(wg_registry* r, uint32_t number, wg_time now) {
    wg_target* target = (wg_target*)wg_registry_find(r, number);
    if (target) {
        target->last_contact_at = now;
    }
}

const wg_target* wg_registry_next(const wg_registry* r, uint32_t after) {
    guint at = wg_registry_position(r, after);
    return at < r->records->len ? r->records->pdata[at] : NULL;
}

const wg_target* wg_registry_find(const wg_registry* r, uint32_t number) {
    const wg_target* target = number ? wg_registry_next(r, number - 1) : NULL;
    return target && target->number == number ? target : NULL;
}

uint64_t wg_target_key(const wg_target* target) {
    return wg_hash(target->id, strlen(target->id), target->born);
}

uint64_t wg_registry_change(const wg_registry* r) {
    return r->change;
}

/* Whether the target serves, or has served within the last `time` microseconds. */
static bool wg_target_served(const wg_target* target, wg_time now, wg_time time) {
    return !wg_target_ended(target) || now - target->ended_at <= time;
}

const char* wg_registry_only_version(const wg_registry* r, wg_time now, const char* service,
                                     wg_time time) {
    return wg_registry_only_version_to(r, now, service, time, UINT32_MAX);
}

uint32_t wg_registry_last_number(const wg_registry* r) {
    return r->records->len ? ((wg_target*)r->records->pdata[r->records->len - 1])->number : 0;
}

const char* wg_registry_only_version_to(const wg_registry* r, wg_time now, const char* service,
                                        wg_time time, uint32_t number) {
    const char* only = NULL;
    for (guint i = 0; i < r->records->len; i++) {
        const wg_target* target = r->records->pdata[i];
        if (target->number > number) {
            break;
        }
        if (strcmp(target->service, service) != 0 || !wg_target_served(target, now, time)) {
            continue;
        }
        if (only && strcmp(only, target->version) != 0) {
            return NULL;
        }
        only = target->version;
    }
    return only;
}

const wg_target* wg_registry_latest(const wg_registry* r, uint32_t number) {
    const wg_target* target = wg_registry_find(r, number);
    return target ? g_hash_table_lookup(r->by_id, target->id) : NULL;
}

bool wg_registry_may_have_restarted(const wg_registry* r, uint32_t number, wg_time at) {
    const wg_target* target = wg_registry_find(r, number);
    if (!target) {
        return !wg_registry_next(
            r, number); /* newer than this registry; else its record was dropped */
    }
    if (!wg_target_ended(target) || at < target->ended_at - WG_REGISTRY_RESTART_UNNOTICED_MAX) {
        return false;
    }
    const wg_target* later = target;
    while ((later = wg_registry_next(r, later->number))) {
        if (strcmp(later->id, target->id) == 0 && strcmp(later->version, target->version) != 0) {
            return true;
        }
    }
    return false;
}

GPtrArray* wg_registry_changes(const wg_registry* r, wg_time now, uint64_t since, bool* reset) {
    *reset = since < r->floor || since > r->change;
    GPtrArray* list = g_ptr_array_new();
    for (guint i = 0; i < r->records->len; i++) {
        wg_target* target = r->records->pdata[i];
        bool served = wg_target_served(target, now, WG_REGISTRY_ENDED_TIME);
        if (*reset ? served : target->change > since) {
            g_ptr_array_add(list, target);
        }
    }
    return list;
}

/* ---- copies -------------------------------------------------------------------------------- */

void wg_registry_clear(wg_registry* r) {
    g_hash_table_remove_all(r->by_id);
    g_hash_table_remove_all(r->by_address);
    g_queue_clear(&r->ended);
    g_ptr_array_set_size(r->records, 0);
    r->oldest_contact_at = WG_TIME_NEVER;
}

bool wg_registry_merge(wg_registry* r, wg_time now, const Wgpb__TargetRecord* record) {
    wg_target in = {0};
    if (!wg_target_unpack(record, now, &in) || in.number == 0) {
        return false;
    }
    wg_target* target = (wg_target*)wg_registry_find(r, in.number);
    if (!target) {
        wg_registry_index(r, wg_registry_add(r, &in));
    } else if (in.change > target->change) {
        wg_registry_unindex(r, target);
        *target = in;
        wg_registry_index(r, target);
    }
    wg_registry_prune(r);
    return true;
}

void wg_registry_set_change(wg_registry* r, uint64_t change) {
    r->change = change;
}

void wg_registry_set_evacuated(wg_registry* r, char* const* names, size_t num) {
    g_ptr_array_set_size(r->evacuated, 0);
    for (size_t i = 0; i < MIN(num, (size_t)WG_REGISTRY_EVACUATED_MAX); i++) {
        g_ptr_array_add(r->evacuated, g_strdup(names[i]));
    }
}

/* ---- messages ------------------------------------------------------------------------------ */

void wg_target_pack(const wg_target* target, wg_time now, Wgpb__TargetRecord* out) {
    wgpb__target_record__init(out);
    out->id = (char*)target->id;
    out->service = (char*)target->service;
    out->address = (char*)target->address;
    out->data_centre = (char*)target->data_centre;
    out->version = (char*)target->version;
    out->born = target->born;
    out->slots = target->slots;
    out->state = target->state;
    out->sequence = target->sequence;
    out->number = target->number;
    out->change = target->change;
    out->cold_us = (uint64_t)MAX(target->cold_until - now, 0);
    out->replaced = target->replaced;
    out->ended_us = wg_target_ended(target) ? (uint64_t)MAX(now - target->ended_at, 0) : 0;
    out->leaving_us = target->leaving_at ? (uint64_t)MAX(now - target->leaving_at, 0) : 0;
    out->deregistered = target->deregistered;
}

bool wg_target_unpack(const Wgpb__TargetRecord* in, wg_time now, wg_target* target) {
    wg_time cold = (wg_time)MIN(in->cold_us, (uint64_t)WG_TARGET_COLD_MAX);
    wg_time ended = (wg_time)MIN(in->ended_us, 2 * (uint64_t)WG_REGISTRY_ENDED_TIME);
    wg_time leaving = (wg_time)MIN(in->leaving_us, 2 * (uint64_t)WG_REGISTRY_ENDED_TIME);
    bool leaves = wg_target_is_leaving((wg_target_state)in->state);
    *target = (wg_target){.born = in->born,
                          .slots = in->slots,
                          .state = (wg_target_state)in->state,
                          .sequence = in->sequence,
                          .number = in->number,
                          .change = in->change,
                          .cold_until = cold > 0 ? now + cold : 0,
                          .ended_at = in->state == WG_TARGET_REMOVED ? now - ended : 0,
                          .leaving_at = leaves ? now - leaving : 0,
                          .deregistered = in->deregistered,
                          .replaced = in->replaced};
    return in->id[0] && in->state > WG_TARGET_DEFAULT && in->state <= WG_TARGET_REMOVED &&
           wg_copy_name(target->id, sizeof target->id, in->id) &&
           wg_copy_name(target->service, sizeof target->service, in->service) &&
           wg_copy_name(target->address, sizeof target->address, in->address) &&
           wg_copy_name(target->data_centre, sizeof target->data_centre, in->data_centre) &&
           wg_copy_name(target->version, sizeof target->version, in->version);
}

Wgpb__RegistryState* wg_registry_dump(const wg_registry* r, wg_time now) {
    Wgpb__RegistryState state = WGPB__REGISTRY_STATE__INIT;
    Wgpb__TargetRecord* items = g_new(Wgpb__TargetRecord, r->records->len + 1);
    state.targets = g_new(Wgpb__TargetRecord*, r->records->len + 1);
    for (guint i = 0; i < r->records->len; i++) {
        wg_target_pack(r->records->pdata[i], now, &items[i]);
        state.targets[state.n_targets++] = &items[i];
    }
    state.change = r->change;
    state.next_number = r->next_number;
    state.evacuated = (char**)r->evacuated->pdata;
    state.n_evacuated = r->evacuated->len;
    size_t size = wgpb__registry_state__get_packed_size(&state);
    uint8_t* bytes = g_malloc(size + 1);
    wgpb__registry_state__pack(&state, bytes);
    Wgpb__RegistryState* out = wgpb__registry_state__unpack(NULL, size, bytes);
    g_free(bytes);
    g_free(state.targets);
    g_free(items);
    return out;
}

bool wg_registry_load(wg_registry* r, wg_time now, const Wgpb__RegistryState* state) {
    wg_registry_clear(r);
    for (size_t i = 0; i < state->n_targets; i++) {
        if (!wg_registry_merge(r, now, state->targets[i])) {
            return false;
        }
    }
    r->change = state->change;
    r->floor = state->change; /* records dropped before the snapshot are not known */
    r->next_number = MAX(state->next_number, 1);
    wg_registry_set_evacuated(r, state->evacuated, state->n_evacuated);
    return true;
}
