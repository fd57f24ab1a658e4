#pragma once
/*
    wg_events.h -- numbered log events of walnutgate, as an X-macro list

    Each row is: number, name, level, text. Numbers are never reused. Levels are DEBUG, INFO, WARN
    and ERROR. docs/EVENTS.md is generated from this list (`make docs`) and checked in CI.

    Ranges: 1000 process, 2000 requests and targets, 3000 control links, 4000 replication and
    storage, 5000 table and membership, 6000 capacity leases.
*/
#define WG_EVENT_LIST(X)                                                                           \
    X(1001, STARTED, INFO, "process started")                                                      \
    X(1002, STOPPED, INFO, "process stopped")                                                      \
    X(1003, STOP_BEGUN, INFO, "planned stop begun, no new work is invited")                        \
    X(1004, STOP_HURRIED, WARN, "second stop signal, remaining work is cut off")                   \
    X(1005, STATE_DUMP, INFO, "state dump")                                                        \
    X(1006, RELOADED, INFO, "settings read again")                                                 \
    X(1007, RELOAD_REFUSED, WARN, "settings are wrong, the earlier ones stay")                     \
    X(1008, STOP_DRAINED, INFO, "all work finished, stopping")                                     \
    X(1009, FIRST_SERVED, INFO, "first request served since the start")                            \
    X(1010, LOOP_LATE, WARN, "the loop turned late, what was due had to wait")                     \
    X(1011, LOOP_BEHIND, WARN, "what callers sent waits for its turn in the loop")                 \
    X(2001, REQUEST_REFUSED, DEBUG, "request refused")                                             \
    X(2002, ATTEMPT_FAILED, INFO, "attempt failed")                                                \
    X(2003, TARGET_ASIDE, WARN, "target put aside after failures")                                 \
    X(2004, TARGET_BACK, INFO, "target takes work again")                                          \
    X(2005, TARGET_LEAVING, INFO, "target is leaving")                                             \
    X(2006, CALLER_LEFT, DEBUG, "caller closed its connection, work is cancelled")                 \
    X(2007, STREAM_RESUMED, INFO, "broken stream resumed at another target")                       \
    X(2008, HOST_LIST_LOST, WARN, "host list of the platform cannot be read")                      \
    X(3001, LINK_UP, INFO, "link to a fleet process is up")                                        \
    X(3002, LINK_DOWN, WARN, "link to a fleet process is down")                                    \
    X(3003, LINK_REFUSED, WARN, "peer failed the proof of the fleet key")                          \
    X(3004, FRAME_BAD, WARN, "bad frame, link closed")                                             \
    X(3005, TABLE_LEASE_LOST, WARN, "table lease ended, new work is refused")                      \
    X(3006, TABLE_LEASE_HELD, INFO, "table lease held, new work is taken")                         \
    X(3007, LINK_SLOW, WARN, "peer does not take what is sent, link closed")                       \
    X(3008, LEADER_LOST, WARN, "this host has no leader, it goes on with what it has")             \
    X(3009, LEADER_MISSING, WARN, "this host still has no leader")                                 \
    X(3010, STANDBY_TAKEN, WARN, "no leader for long, this host serves by what a replica holds")   \
    X(4001, ROLE_CHANGED, INFO, "replication role changed")                                        \
    X(4002, STORE_FAILED, ERROR, "storage failed, process ends")                                   \
    X(4003, STORE_TAIL_CUT, WARN, "torn tail of the log removed")                                  \
    X(4004, SNAPSHOT_SAVED, INFO, "snapshot saved")                                                \
    X(4005, SNAPSHOT_TAKEN, INFO, "snapshot taken over from the leader")                           \
    X(4006, REPLICA_CHANGE, INFO, "replica set changed")                                           \
    X(4007, STORE_OPENED, INFO, "data folder opened")                                              \
    X(4008, STORE_SUSPENDED, WARN, "disk takes no writes, this replica waits for it")              \
    X(4009, STORE_RESUMED, INFO, "disk takes writes again, this replica takes part again")         \
    X(4010, MAJORITY_MISSING, WARN, "no replica leads as far as this one knows")                   \
    X(4011, SET_FORMED_ANEW, WARN, "an operator forms the set anew from this replica")             \
    X(5001, EDIT_ACCEPTED, INFO, "table edit accepted")                                            \
    X(5002, EDIT_REFUSED, INFO, "table edit refused")                                              \
    X(5003, MEMBER_UP, INFO, "router is a member")                                                 \
    X(5004, MEMBER_GONE, WARN, "router taken as gone")                                             \
    X(5005, MEMBER_LEAVING, INFO, "router is leaving")                                             \
    X(5006, CONFIGURATION_AGREED, INFO, "configuration agreed on")                                 \
    X(5007, CONFIGURATION_IN_FORCE, INFO, "configuration in force at this entry host")             \
    X(5008, CONFIGURATION_REFUSED, WARN, "configuration refused")                                  \
    X(5009, TARGET_AGREED, INFO, "target registered or changed")                                   \
    X(5010, ORDER_ANSWERED, INFO, "order of an operator or a target answered")                     \
    X(5011, EVACUATION_AGREED, INFO, "evacuation of a data centre begun or ended")                 \
    X(5012, EVACUATION_IN_FORCE, INFO, "evacuated data centres as this entry host has them")       \
    X(5013, SUSPECT_SEEN_AGAIN, WARN, "one more target ended while it had this request")           \
    X(5014, QUARANTINE_BEGUN, WARN, "request ends targets, it is refused from now on")             \
    X(5015, QUARANTINE_ENDED, INFO, "request is let through again")                                \
    X(5016, QUARANTINE_DROPPED, WARN, "too many quarantined requests, the oldest is let through")  \
    X(5017, QUARANTINE_IN_FORCE, INFO, "quarantined requests as this entry host has them")         \
    X(5018, TARGET_REFUSED, WARN, "what a target said of itself is refused")                       \
    X(2009, REQUEST_ENDED, INFO, "request of a route ended")                                       \
    X(2010, ATTEMPT_ENDED, INFO, "attempt of a routed request failed")                             \
    X(2011, STREAM_CONTINUED, INFO, "broken stream goes on at another target")                     \
    X(2012, CONNECTION_REFUSED, INFO, "request refused before it was routed")                      \
    X(2013, LOG_SHORTENED, WARN, "log lines were left out")                                        \
    X(2014, COORDINATOR_SILENT, WARN, "coordinator does not answer, this host decides alone")      \
    X(2015, CACHE_KNOWN, INFO, "target told which prompt parts it holds")                          \
    X(2016, CACHE_UNKNOWN, WARN, "target did not tell which prompt parts it holds")                \
    X(2017, TARGET_ENDED, WARN, "target broke off and takes no connections: it has ended")         \
    X(2018, TARGET_STAYS, INFO, "target broke off and takes connections: it may go on")            \
    X(2019, CRASH_EVIDENCE, INFO, "request was under way at a target that ended")                  \
    X(2020, SUSPECT_CLEARED, INFO, "request is no suspect: a copy of it ended well")               \
    X(2021, REQUEST_DUE, WARN, "request ended targets, this host refuses it by itself")            \
    X(2022, REQUEST_QUARANTINED, INFO, "request refused: targets end under it")                    \
    X(2023, TARGET_RESTS, INFO, "target asked this host to send nothing for a while")              \
    X(2024, RETRY_AFTER_UNREADABLE, WARN,                                                          \
      "Retry-After of a target cannot be read, it counts as none")                                 \
    X(6001, LEASES_LAPSED, WARN, "capacity leases of a router lapsed")
