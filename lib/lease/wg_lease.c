/* wg_lease.c -- see wg_lease.h */
#include "wg_lease.h"

enum {
    /* Part of the duration after which a search begins. The rest is enough for a search, and for
       another one if a leader is found late. */
    WG_LEASE_SEARCH_PERCENT = 50,
    /* Part of the duration between the starts of two searches. */
    WG_LEASE_AGAIN_PERCENT = 25
};

/* ---- helpers --------------------------------------------------------------------------------- */

/* A search that found nobody who leads or has a newer configuration. */
static void wg_lease_search_end(wg_lease* lease) {
    lease->searching = false;
    if (!lease->newer_exists) {
        lease->no_leader_at = lease->searched_at;
    }
}

static void wg_lease_search_count(wg_lease* lease) {
    if (--lease->unanswered <= 0) {
        wg_lease_search_end(lease);
    }
}

/* ---- functions ------------------------------------------------------------------------------- */

const char* wg_lease_basis_name(wg_lease_basis basis) {
    static const char* const names[WG_BASIS_NUM] = {"none", "leader", "no-leader"};
    WG_ASSERT(basis >= 0 && basis < WG_BASIS_NUM);
    return names[basis];
}

void wg_lease_begin(wg_lease* lease, wg_time duration) {
    *lease = (wg_lease){.duration = duration};
}

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

wg_lease_basis wg_lease_query(const wg_lease* lease, wg_time now) {
    if (lease->duration == 0) {
        return WG_BASIS_LEADER;
    }
    if (lease->confirmed_at && now - lease->confirmed_at <= lease->duration) {
        return WG_BASIS_LEADER;
    }
    bool nobody_leads = lease->no_leader_at && now - lease->no_leader_at <= lease->duration;
    return nobody_leads ? WG_BASIS_NO_LEADER : WG_BASIS_NONE;
}

wg_time wg_lease_age(const wg_lease* lease, wg_time now) {
    return lease->confirmed_at ? now - lease->confirmed_at : -1;
}

bool wg_lease_search_due(const wg_lease* lease, wg_time now, wg_time report_interval) {
    if (lease->duration == 0 || lease->searching ||
        now - lease->searched_at < lease->duration * WG_LEASE_AGAIN_PERCENT / 100) {
        return false;
    }
    wg_time known_at = MAX(lease->confirmed_at, lease->no_leader_at);
    wg_time early = lease->duration * WG_LEASE_SEARCH_PERCENT / 100;
    wg_time age_max = MIN(MAX(early, report_interval + WG_LEASE_SEARCH_TIME), lease->duration);
    return known_at == 0 || now - known_at > age_max;
}

void wg_lease_search_begin(wg_lease* lease, wg_time now, int asked) {
    lease->searching = true;
    lease->searched_at = now;
    lease->search_expires_at = now + WG_LEASE_SEARCH_TIME;
    lease->unanswered = asked;
    lease->newer_exists = false;
    if (asked == 0) {
        wg_lease_search_end(lease);
    }
}

void wg_lease_search_widen(wg_lease* lease, wg_time now, int more) {
    lease->unanswered += more;
    lease->search_expires_at = now + WG_LEASE_SEARCH_TIME;
}

void wg_lease_search_answer(wg_lease* lease, const wg_lease_answer* answer) {
    if (!lease->searching) {
        return;
    }
    if (answer->leads && !answer->newer) {
        lease->confirmed_at = MAX(lease->confirmed_at, lease->searched_at);
    }
    if (answer->leads) {
        lease->searching = false;
        return;
    }
    lease->newer_exists = lease->newer_exists || answer->newer;
    wg_lease_search_count(lease);
}

void wg_lease_search_unreachable(wg_lease* lease) {
    if (lease->searching) {
        wg_lease_search_count(lease);
    }
}

void wg_lease_record_stall(wg_lease* lease, wg_time now) {
    lease->search_expires_at = now + WG_LEASE_SEARCH_TIME;
}

void wg_lease_tick(wg_lease* lease, wg_time now) {
    if (lease->searching && now >= lease->search_expires_at) {
        wg_lease_search_end(lease);
    }
}
