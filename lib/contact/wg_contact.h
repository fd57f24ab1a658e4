#pragma once
/*
    wg_contact.h -- how often an entry host reports to the leader, and after which silence each side
    gives up on the other

    WHAT IT DOES
        Derives the interval between reports from the number of hosts, and every time-out that waits
        for a report or for its answer from that interval. A time-out that did not follow the
        interval would count all hosts of a large fleet as failed between two reports. Pure.

    USE
        leader: wg_contact_report_interval(hosts), told to the hosts with each state;
                wg_contact_host_timeout(interval)
        host:   wg_contact_leader_timeout(interval, silence), wg_contact_usage_lifetime(interval),
                wg_contact_room_lifetime(interval)

    All times are in microseconds.
*/
#include "wg_base.h"

/* Interval between two reports of one host. Grows with the number of hosts, so that the leader's
   load does not, up to a second: what a report tells is outdated then. */
wg_time wg_contact_report_interval(int hosts);
/* Time since the last report after which the leader counts a host as failed: one report may be
   lost or late. */
wg_time wg_contact_host_timeout(wg_time report_interval);
/* Time since the last state after which a host closes its link to the leader. `silence`: setting
   for links that are in use all the time. */
wg_time wg_contact_leader_timeout(wg_time report_interval, wg_time silence);
/* Time since the last answer to a report until its usage counts as outdated. */
wg_time wg_contact_usage_lifetime(wg_time report_interval);
/* Time since the last answer to a report until the room that it tells of counts as outdated. Not
   longer than needed for one lost or late answer, as room changes within tenths of a second. */
wg_time wg_contact_room_lifetime(wg_time report_interval);
