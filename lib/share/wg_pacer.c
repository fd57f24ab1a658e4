/* wg_pacer.c -- see wg_pacer.h */
#include "wg_pacer.h"

/* ---- helpers ------------------------------------------------------------------------------ */

static wgf_pacer_desc _wgf_pacer_desc_def(const wgf_pacer_desc* desc) {
    wgf_pacer_desc d = *desc;
    d.interval = d.interval ? d.interval : WGF_PACER_INTERVAL_DEFAULT;
    d.quiet = d.quiet ? d.quiet : MAX(WGF_PACER_QUIET_DEFAULT, d.interval);
    d.gap = d.gap ? d.gap : WGF_PACER_GAP_DEFAULT;
    d.vital = d.vital ? d.vital : WGF_PACER_VITAL_DEFAULT;
    d.budget = d.budget ? d.budget : WGF_PACER_BUDGET_DEFAULT;
    return d;
}

static bool _wgf_pacer_within_budget(wgf_pacer* p, wg_time now, uint64_t bytes) {
    double per_second = (double)p->desc.budget;
    double earned = per_second * (double)(now - p->left_at) / WG_USEC_PER_SEC;
    double limit = per_second * WGF_PACER_SAVED_SECONDS;
    p->left = MIN(limit, p->left + earned) - (double)(bytes - p->counted);
    p->left_at = now;
    p->counted = bytes;
    return p->left > 0;
}

/* ---- public functions --------------------------------------------------------------------- */

void wgf_pacer_setup(wgf_pacer* pacer, const wgf_pacer_desc* desc) {
    *pacer = (wgf_pacer){.desc = _wgf_pacer_desc_def(desc), .left_at = desc->now};
    pacer->sent_at = desc->now;
    pacer->left = (double)pacer->desc.budget;
}

void wgf_pacer_want(wgf_pacer* p) {
    p->wanted = true;
}

void wgf_pacer_state(wgf_pacer* p, const wgf_pacer_news* news) {
    bool wait_begins = news->waiting && !p->waiting_told;
    bool wait_ends = !news->waiting && p->waiting_told && news->idle;
    p->at_work = news->at_work;
    p->wanted = p->wanted || wait_begins || wait_ends;
}

bool wgf_pacer_due(wgf_pacer* p, wg_time now, uint64_t bytes) {
    if (now < wgf_pacer_next(p)) {
        return false;
    }
    bool within_budget = _wgf_pacer_within_budget(p, now, bytes);
    bool vital = now - p->sent_at >= p->desc.vital;
    p->held_back += within_budget || vital ? 0 : 1;
    return within_budget || vital;
}

void wgf_pacer_sent(wgf_pacer* p, wg_time now, bool waiting) {
    p->sent_at = now;
    p->wanted = false;
    p->waiting_told = waiting;
}

wg_time wgf_pacer_next(const wgf_pacer* p) {
    if (p->wanted) {
        return p->sent_at + p->desc.gap;
    }
    return p->sent_at + (p->at_work ? p->desc.interval : p->desc.quiet);
}
