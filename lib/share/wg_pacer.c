/* wg_pacer.c -- see wg_pacer.h */
#include "wg_pacer.h"

/* ---- helpers ------------------------------------------------------------------------------ */

static wgf_pacer_desc _wgf_pacer_desc_def(const wgf_pacer_desc* desc) {
    wgf_pacer_desc d = *desc;
    d.interval = d.interval ? d.interval : WGF_PACER_INTERVAL_DEFAULT;
    d.idle_interval =
        d.idle_interval ? d.idle_interval : MAX(WGF_PACER_IDLE_INTERVAL_DEFAULT, d.interval);
    d.min_interval = d.min_interval ? d.min_interval : WGF_PACER_MIN_INTERVAL_DEFAULT;
    d.max_interval = d.max_interval ? d.max_interval : WGF_PACER_MAX_INTERVAL_DEFAULT;
    d.budget = d.budget ? d.budget : WGF_PACER_BUDGET_DEFAULT;
    return d;
}

static bool _wgf_pacer_within_budget(wgf_pacer* p, wg_time now, uint64_t bytes) {
    double per_second = (double)p->desc.budget;
    double earned = per_second * (double)(now - p->allowance_at) / WG_USEC_PER_SEC;
    double limit = per_second * WGF_PACER_SAVED_SECONDS;
    p->allowance = MIN(limit, p->allowance + earned) - (double)(bytes - p->counted_bytes);
    p->allowance_at = now;
    p->counted_bytes = bytes;
    return p->allowance > 0;
}

/* ---- public functions --------------------------------------------------------------------- */

void wgf_pacer_setup(wgf_pacer* pacer, const wgf_pacer_desc* desc) {
    *pacer = (wgf_pacer){.desc = _wgf_pacer_desc_def(desc), .allowance_at = desc->now};
    pacer->sent_at = desc->now;
    pacer->allowance = (double)pacer->desc.budget;
}

void wgf_pacer_request(wgf_pacer* p) {
    p->wanted = true;
}

void wgf_pacer_update(wgf_pacer* p, const wgf_pacer_load* load) {
    bool wait_begins = load->waiting && !p->waiting_reported;
    bool wait_ends = !load->waiting && p->waiting_reported && load->idle;
    p->at_work = load->at_work;
    p->wanted = p->wanted || wait_begins || wait_ends;
}

bool wgf_pacer_due(wgf_pacer* p, wg_time now, uint64_t bytes) {
    if (now < wgf_pacer_next(p)) {
        return false;
    }
    bool within_budget = _wgf_pacer_within_budget(p, now, bytes);
    bool overdue = now - p->sent_at >= p->desc.max_interval;
    p->deferred += within_budget || overdue ? 0 : 1;
    return within_budget || overdue;
}

void wgf_pacer_sent(wgf_pacer* p, wg_time now, bool waiting) {
    p->sent_at = now;
    p->wanted = false;
    p->waiting_reported = waiting;
}

wg_time wgf_pacer_next(const wgf_pacer* p) {
    if (p->wanted) {
        return p->sent_at + p->desc.min_interval;
    }
    return p->sent_at + (p->at_work ? p->desc.interval : p->desc.idle_interval);
}
