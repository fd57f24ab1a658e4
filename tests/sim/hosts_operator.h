#pragma once
/*
    hosts_operator.h -- an operator of hosts.h that waits for its answers

    Sends configurations and reads them back through a host's orders address, while the loop that
    the proxies need goes on.
*/
#include "hosts.h"

/* Let the loop run for so many milliseconds. */
void hosts_run_for(hosts* h, int ms);
/* Ask the replica of a host to form the set anew, without the hosts whose names are given, "a,b";
   the status, 0 when none came. */
int hosts_form_anew(hosts* h, const host* at, const char* gone);
/* Send a configuration of this version with two routes; the status, 0 when none came in 2 s. */
int hosts_put_version(hosts* h, const host* at, int version);
/* The version that a host reads back; 0 when it answers with anything but 200. */
int hosts_get_version(hosts* h, const host* at);
/* Try again at hosts that have an entry process, in turn, until one acknowledges, or reads back at
   least this version; false when none did within so many milliseconds. */
bool hosts_put_until(hosts* h, int version, int ms);
bool hosts_get_until(hosts* h, int version, int ms);
/* The same for a request of a caller at this host, until it is answered with 200. */
bool hosts_serves_until(hosts* h, const host* at, int ms);
