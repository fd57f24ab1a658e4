/* wg_contact.c -- see wg_contact.h */
#include "wg_contact.h"

enum {
    WG_REPORT_INTERVAL_MIN = 100 * WG_USEC_PER_MSEC,
    WG_REPORT_INTERVAL_MAX = 1000 * WG_USEC_PER_MSEC,
    WG_REPORT_INTERVAL_PER_HOST = 2 * WG_USEC_PER_MSEC,
    WG_HOST_TIMEOUT_MIN = 1500 * WG_USEC_PER_MSEC,
    /* Longer than an election and the first contact with the new leader. */
    WG_USAGE_LIFETIME_MIN = 1000 * WG_USEC_PER_MSEC,
    WG_INTERVALS_LOST = 2 /* intervals without a report, or an answer, that are waited for */
};

wg_time wg_contact_report_interval(int hosts) {
    wg_time interval = WG_REPORT_INTERVAL_PER_HOST * (wg_time)MAX(hosts, 0);
    return CLAMP(interval, WG_REPORT_INTERVAL_MIN, WG_REPORT_INTERVAL_MAX);
}

wg_time wg_contact_host_timeout(wg_time report_interval) {
    return MAX(WG_INTERVALS_LOST * report_interval + report_interval / 2, WG_HOST_TIMEOUT_MIN);
}

wg_time wg_contact_leader_timeout(wg_time report_interval, wg_time silence) {
    return MAX(WG_INTERVALS_LOST * report_interval, silence);
}

wg_time wg_contact_usage_lifetime(wg_time report_interval) {
    return MAX(WG_INTERVALS_LOST * report_interval, WG_USAGE_LIFETIME_MIN);
}

wg_time wg_contact_room_lifetime(wg_time report_interval) {
    return (WG_INTERVALS_LOST + 1) * report_interval;
}
