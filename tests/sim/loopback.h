#pragma once
/*
    loopback.h -- parts of the loopback addresses, each used by one test process at a time

    WHAT IT DOES
        Test programs run at once and listen on addresses 127.x.x.x. A part, 2 to 241, stands for
   one of those numbers; it is locked by a file until the process ends, however it ends.

    THE CALLER OWNS
        nothing.
*/
#include <stdbool.h>

/* Locks a part that no other process has and of which `is_free` says that nothing is left of an
   earlier one; NULL: no such look. Each call takes another part. */
int loopback_take(bool (*is_free)(int part));

/* The part that this process has for addresses of its own; taken by the first call. */
int loopback_part(void);
