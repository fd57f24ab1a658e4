#pragma once
/*
    loopback.h -- allocates parts of the loopback address range to test processes

    WHAT IT DOES
        Test programs run in parallel and listen on addresses 127.P.x.x. Each uses a part P of its
        own, 2 to 241, which a lock file reserves until the process exits.

    THE CALLER OWNS
        nothing.
*/
#include <stdbool.h>

/* Locks a part that no other process has locked and for which `is_free`, if not NULL, returns true:
   processes of an aborted run may still use it. Each call takes another part. Aborts when none is
   left. */
int loopback_reserve(bool (*is_free)(int part));

/* Whether a socket can listen at "ip:port". Processes left over from an aborted run still hold
   their addresses. */
bool loopback_is_bindable(const char* address);
/* The same for all addresses of a part; `patterns` as in "127.%d.1.1:7100". */
bool loopback_are_bindable(int part, const char* const* patterns, int num);

/* The part of this process; the first call takes it. */
int loopback_part(void);
