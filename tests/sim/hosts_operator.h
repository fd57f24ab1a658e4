#pragma once
/*
    hosts_operator.h -- blocking operator requests to a fleet of hosts.h

    Sends configurations and reads them back through a host's orders address. The event loop, which
    the proxies need, runs while a call waits.
*/
#include "hosts.h"

/* Runs the event loop for `ms` milliseconds. */
void hosts_run_for(hosts* h, int ms);
/* Asks the replica of a host for a forced recovery of the set without the hosts named in `removed`,
   "a,b"; returns the HTTP status, 0 without an answer. */
int hosts_recover_set(hosts* h, const host* at, const char* removed);
/* Sends a configuration of this version, with a route for safe calls at "/", one for resumable
   streams at "/stream/" and one for other streams at "/once/", all to service "app"; returns the
   HTTP status, 0 without an answer in time. */
int hosts_put_version(hosts* h, const host* at, int version);
/* Sends a whole configuration; takes ownership of `document`. */
int hosts_put_document(hosts* h, const host* at, char* document);
/* Reads the configuration version at a host; 0 when the status is not 200. */
int hosts_get_version(hosts* h, const host* at);
/* Retries at each host with an entry process in turn until one acknowledges the version, or reads
   back at least this version; false when none did within `ms` milliseconds. */
bool hosts_put_until(hosts* h, int version, int ms);
bool hosts_get_until(hosts* h, int version, int ms);
/* Retries a caller's request at this host until the status is 200; false when it was not within
   `ms` milliseconds. */
bool hosts_serves_until(hosts* h, const host* at, int ms);
