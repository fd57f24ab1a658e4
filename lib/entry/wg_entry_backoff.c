/* wg_entry_backoff.c -- applies backoff hints of targets' answers */
#include "wg_entry_internal.h"

#include <string.h>

wg_time wg_entry_record_answer(wg_entry* e, uint32_t number, const wg_backoff_hint* hint,
                               const char* id) {
    enum {
        MISDIRECTED = 421 /* answered by another incarnation or another target */
    };
    const wg_target* target = wg_registry_find(e->registry, number);
    if (!target || hint->status == MISDIRECTED) {
        return 0;
    }
    int64_t unix_time = g_get_real_time() / WG_USEC_PER_SEC;
    wg_backoff_update update =
        wg_backoff_record(e->backoff, wg_now(), wg_target_key(target), hint, unix_time);
    e->counters.backoffs += update.backoff_started;
    e->counters.drains_reported += update.draining_started;
    if (update.backoff_started) {
        wg_log(WG_EVENT_TARGET_RESTS, "target=%u id=%s rest_ms=%" G_GINT64_FORMAT " request=%s",
               number, target->id, update.period / WG_USEC_PER_MSEC, id);
    }
    if (update.draining_started) {
        wg_log(WG_EVENT_TARGET_LEAVING, "source=answer target=%u id=%s request=%s", number,
               target->id, id);
    }
    if (update.unreadable) {
        wg_log(WG_EVENT_RETRY_AFTER_UNREADABLE, "target=%u id=%s request=%s", number, target->id,
               id);
    }
    return update.period;
}

bool wg_entry_may_send(const wg_entry* e, const wg_target* target, wg_time now) {
    return target && wg_registry_accepts(e->registry, target) &&
           wg_backoff_ends_at(e->backoff, now, wg_target_key(target)) == 0;
}

bool wg_call_may_send(const wg_call* call, const wg_target* target, wg_time now) {
    return wg_entry_may_send(call->entry, target, now) &&
           (!call->version || strcmp(call->version, target->version) == 0) &&
           wg_call_may_choose_incarnation(call, target, now);
}

bool wg_entry_may_keep(const wg_entry* e, const wg_target* target) {
    return target && wg_registry_accepts(e->registry, target) &&
           !wg_backoff_is_draining(e->backoff, wg_target_key(target));
}
