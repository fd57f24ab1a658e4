/* wg_lease.c -- see wg_lease.h */
#include "wg_lease.h"

void wg_lease_report_sent(wg_lease* lease, wg_time now, uint64_t seq) {
    lease->reports[seq % WG_LEASE_REPORTS] = (wg_lease_report){seq, now};
}

bool wg_lease_report_answered(wg_lease* lease, uint64_t seq) {
    const wg_lease_report* report = &lease->reports[seq % WG_LEASE_REPORTS];
    if (seq == 0 || report->seq != seq) {
        return false;
    }
    lease->confirmed_at = MAX(lease->confirmed_at, report->sent_at);
    return true;
}

wg_time wg_lease_age(const wg_lease* lease, wg_time now) {
    return lease->confirmed_at ? now - lease->confirmed_at : -1;
}
