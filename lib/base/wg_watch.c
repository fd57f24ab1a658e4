/* wg_watch.c -- see wg_watch.h */
#include "wg_watch.h"

bool wg_pulse_beat(wg_pulse* p, wg_time now, wg_time period, wg_time* late) {
    wg_time before = p->beat_at;
    p->beat_at = now;
    if (before == 0) {
        return false;
    }
    wg_time over = MAX(now - before - period, 0);
    return wg_pulse_note(p, now, over, late);
}

bool wg_pulse_note(wg_pulse* p, wg_time now, wg_time over, wg_time* late) {
    p->last = over;
    wg_hist_add(&p->late, over);
    p->worst = MAX(p->worst, over);
    if (p->worst < WG_PULSE_LATE || now - p->told_at < WG_USEC_PER_SEC) {
        return false;
    }
    *late = p->worst;
    p->worst = 0;
    p->told_at = now;
    return true;
}

bool wg_absence_note(wg_absence* a, bool present, wg_time now) {
    if (present) {
        *a = (wg_absence){0};
        return false;
    }
    if (a->since == 0) {
        *a = (wg_absence){.since = now, .say_at = now + WG_ABSENCE_FIRST};
    }
    if (now < a->say_at) {
        return false;
    }
    a->say_at = now + wg_absence_length(a, now);
    return true;
}

wg_time wg_absence_length(const wg_absence* a, wg_time now) {
    return a->since ? now - a->since : 0;
}
