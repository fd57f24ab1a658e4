/* wg_entry_backoff.c -- applies backoff hints of targets' answers */
#include "wg_entry_internal.h"

wg_time wg_entry_record_answer(wg_entry* e, uint32_t number, const wg_backoff_wish* hint,
                               const char* id) {
    enum {
        MISDIRECTED = 421 /* answered by another incarnation or another target */
    };
    const wg_target* target = wg_registry_find(e->registry, number);
    if (!target || hint->status == MISDIRECTED) {
        return 0;
    }
    int64_t unix_time = g_get_real_time() / WG_USEC_PER_SEC;
    wg_backoff_news update =
        wg_backoff_note(e->backoff, wg_now(), wg_target_key(target), hint, unix_time);
    e->counters.rests += update.rests;
    e->counters.drains_reported += update.leaves;
    if (update.rests) {
        wg_log(WG_EVENT_TARGET_RESTS, "target=%u id=%s rest_ms=%" G_GINT64_FORMAT " request=%s",
               number, target->id, update.rest / WG_USEC_PER_MSEC, id);
    }
    if (update.leaves) {
        wg_log(WG_EVENT_TARGET_LEAVING, "source=answer target=%u id=%s request=%s", number,
               target->id, id);
    }
    if (update.unreadable) {
        wg_log(WG_EVENT_RETRY_AFTER_UNREADABLE, "target=%u id=%s request=%s", number, target->id,
               id);
    }
    return update.rest;
}

bool wg_entry_may_send(const wg_entry* e, const wg_target* target, wg_time now) {
    return target && wg_registry_takes(e->registry, target) &&
           wg_backoff_free_at(e->backoff, now, wg_target_key(target)) == 0;
}

bool wg_entry_may_keep(const wg_entry* e, const wg_target* target) {
    return target && wg_registry_takes(e->registry, target) &&
           !wg_backoff_is_leaving(e->backoff, wg_target_key(target));
}
