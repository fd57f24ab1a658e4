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
    X(1003, STOP_BEGUN, INFO, "planned stop begun, draining")                                      \
    X(1004, STOP_HURRIED, WARN, "second stop signal, aborting remaining work")                     \
    X(1005, STATE_DUMP, INFO, "state dump")                                                        \
    X(1006, RELOADED, INFO, "settings reloaded")                                                   \
    X(1007, RELOAD_REFUSED, WARN, "settings are invalid, keeping the previous ones")               \
    X(1008, STOP_DRAINED, INFO, "all work finished, stopping")                                     \
    X(1009, FIRST_SERVED, INFO, "first request served since the start")                            \
    X(1010, LOOP_LATE, WARN, "event loop lag, timers fired late")                                  \
    X(1011, LOOP_BEHIND, WARN, "event loop lag, caller requests were delayed")                     \
    X(1012, LOG_LOST, WARN, "log lines lost, as the reader of the log did not keep up")            \
    X(1013, PORT_CROWDED, WARN, "connections closed, too many or holding too much")                \
    X(2001, REQUEST_REFUSED, DEBUG, "request refused")                                             \
    X(2002, ATTEMPT_FAILED, INFO, "attempt failed")                                                \
    X(2003, TARGET_ASIDE, WARN, "target ejected after failures")                                   \
    X(2004, TARGET_BACK, INFO, "target accepts work again")                                        \
    X(2005, TARGET_LEAVING, INFO, "target is draining")                                            \
    X(2006, CALLER_LEFT, DEBUG, "caller closed its connection, work is cancelled")                 \
    X(2007, STREAM_RESUMED, INFO, "interrupted stream resumed at another target")                  \
    X(2008, HOST_LIST_LOST, WARN, "platform's host list cannot be read")                           \
    X(3001, LINK_UP, INFO, "link to a fleet process is up")                                        \
    X(3002, LINK_DOWN, WARN, "link to a fleet process is down")                                    \
    X(3003, LINK_REFUSED, WARN, "peer failed the proof of the fleet key")                          \
    X(3004, FRAME_BAD, WARN, "invalid frame, link closed")                                         \
    X(3005, TABLE_LEASE_LOST, WARN, "table lease expired, new work is refused")                    \
    X(3006, TABLE_LEASE_HELD, INFO, "table lease held, new work is accepted")                      \
    X(3007, LINK_SLOW, WARN, "peer does not read fast enough, link closed")                        \
    X(3008, LEADER_LOST, WARN, "leader lost, continuing with the last known state")                \
    X(3009, LEADER_MISSING, WARN, "still without a leader")                                        \
    X(3010, STANDBY_TAKEN, WARN, "without a leader for long, serving from the state of a replica") \
    X(3011, RECOVERY_KNOWN, WARN,                                                                  \
      "forced recovery of the replica set, leaders of earlier sets are refused")                   \
    X(3012, BASIS_CHANGED, INFO, "what decisions by the configuration are based on has changed")   \
    X(4001, ROLE_CHANGED, INFO, "replication role changed")                                        \
    X(4002, STORE_FAILED, ERROR, "storage failed, process exits")                                  \
    X(4003, STORE_TAIL_CUT, WARN, "torn tail of the log truncated")                                \
    X(4004, SNAPSHOT_SAVED, INFO, "snapshot saved")                                                \
    X(4005, SNAPSHOT_TAKEN, INFO, "snapshot installed from the leader")                            \
    X(4006, REPLICA_CHANGE, INFO, "replica set changed")                                           \
    X(4007, STORE_OPENED, INFO, "data folder opened")                                              \
    X(4008, STORE_SUSPENDED, WARN, "disk is not writable, this replica is suspended")              \
    X(4009, STORE_RESUMED, INFO, "disk is writable again, this replica resumes")                   \
    X(4010, MAJORITY_MISSING, WARN, "no leader known to this replica")                             \
    X(4011, SET_FORMED_ANEW, WARN, "forced recovery of the set from this replica by an operator")  \
    X(4012, REPLICA_SUPERSEDED, ERROR, "forced recovery removed this replica, process exits")      \
    X(4013, RECOVERY_CONFIRMED, WARN, "acknowledgements after a forced recovery begin")            \
    X(5001, EDIT_ACCEPTED, INFO, "table edit accepted")                                            \
    X(5002, EDIT_REFUSED, INFO, "table edit refused")                                              \
    X(5003, MEMBER_UP, INFO, "router became a member")                                             \
    X(5004, MEMBER_GONE, WARN, "router considered failed")                                         \
    X(5005, MEMBER_LEAVING, INFO, "router is leaving")                                             \
    X(5006, CONFIGURATION_AGREED, INFO, "configuration committed")                                 \
    X(5007, CONFIGURATION_IN_FORCE, INFO, "configuration in force at this entry host")             \
    X(5008, CONFIGURATION_REFUSED, WARN, "configuration refused")                                  \
    X(5009, TARGET_AGREED, INFO, "target registered or changed")                                   \
    X(5010, ORDER_ANSWERED, INFO, "order of an operator or a target answered")                     \
    X(5011, EVACUATION_AGREED, INFO, "evacuation of a data centre begun or ended")                 \
    X(5012, EVACUATION_IN_FORCE, INFO, "evacuated data centres known to this entry host")          \
    X(5013, SUSPECT_SEEN_AGAIN, WARN, "another target crashed while it ran this request")          \
    X(5014, QUARANTINE_BEGUN, WARN, "request crashes targets, it is refused from now on")          \
    X(5015, QUARANTINE_ENDED, INFO, "quarantine ended, request is accepted again")                 \
    X(5016, QUARANTINE_DROPPED, WARN, "too many quarantined requests, the oldest is released")     \
    X(5017, QUARANTINE_IN_FORCE, INFO, "quarantined requests known to this entry host")            \
    X(5018, TARGET_REFUSED, WARN, "report of a target about itself refused")                       \
    X(5019, TARGET_SUPERSEDED, INFO, "late heartbeat ignored, a later process is at its address")  \
    X(2009, REQUEST_ENDED, INFO, "routed request ended")                                           \
    X(2010, ATTEMPT_ENDED, INFO, "attempt of a routed request failed")                             \
    X(2011, STREAM_CONTINUED, INFO, "attempt continues a stream that an earlier one began")        \
    X(2012, CONNECTION_REFUSED, INFO, "request refused before routing")                            \
    X(2013, LOG_SHORTENED, WARN, "log lines dropped by the rate limit")                            \
    X(2014, COORDINATOR_SILENT, WARN, "coordinator is unresponsive, this host decides alone")      \
    X(2015, CACHE_KNOWN, INFO, "target reported its cached prompt parts")                          \
    X(2016, CACHE_UNKNOWN, WARN, "target did not report its cached prompt parts")                  \
    X(2017, TARGET_ENDED, WARN, "target aborted requests and accepts no connections: crashed")     \
    X(2018, TARGET_STAYS, INFO, "target aborted requests but accepts connections: may still run")  \
    X(2019, CRASH_EVIDENCE, INFO, "request was in progress at a target that crashed")              \
    X(2020, SUSPECT_CLEARED, INFO, "suspect cleared, a copy of the request completed")             \
    X(2021, REQUEST_DUE, WARN, "request crashed targets, this host refuses it on its own")         \
    X(2022, REQUEST_QUARANTINED, INFO, "quarantined request refused, it crashes targets")          \
    X(2023, TARGET_RESTS, INFO, "target is in backoff, as it asked this host")                     \
    X(2024, RETRY_AFTER_UNREADABLE, WARN, "malformed Retry-After of a target ignored")             \
    X(2025, TARGET_STALLED, INFO, "target processes prompts later than expected")                  \
    X(2026, TARGET_RECOVERED, INFO, "target processes prompts as expected again")                  \
    X(2027, OVERLOAD_BEGUN, WARN, "overloaded, requests are refused on arrival")                   \
    X(2028, OVERLOAD_ENDED, INFO, "no longer overloaded, all requests are read")                   \
    X(2029, CALLER_CUT, WARN, "caller does not read its answer, connection closed")                \
    X(2030, TARGET_CUT, WARN, "target does not read its request, connection closed")               \
    X(2031, HANDOFF_BEGUN, WARN, "short of capacity, requests are handed off to other hosts")      \
    X(2032, HANDOFF_ENDED, INFO, "all requests are kept again")                                    \
    X(2033, REQUEST_HANDED_OFF, INFO, "handed-off request ended")                                  \
    X(2034, DESCRIPTORS_SHORT, WARN, "few descriptors are left, idle connections are closed")      \
    X(2035, DESCRIPTORS_FREED, INFO, "enough descriptors are free again")                          \
    X(2036, STREAM_TAKEN_UP, INFO, "caller takes up a stream that an earlier request began")       \
    X(2037, ANSWER_END_UNSURE, INFO, "answer ended with its connection, or within an event")       \
    X(2038, STREAM_VERSION_CORRECTED, INFO, "stream began at a later start of its target")         \
    X(2039, TARGET_GONE_BUSY, INFO, "target was removed, or came back, as requests ran there")     \
    X(2040, ANSWERS_CUT, INFO, "target has ended as answers ended with their connections")         \
    X(2041, TARGET_IDENTITY, WARN, "target did not say that it is the process that is registered") \
    X(6001, LEASES_LAPSED, WARN, "capacity leases of a router expired")
