#pragma once
/* wg_entry_client_internal.h -- functions that wg_entry_client.c and wg_entry_receive.c share; not
   installed */
#include "wg_entry_internal.h"

enum {
    /* Bytes of input that are read before they are examined. A portion of requests fits into the
       smallest allocation of a buffer that holds it, with the buffer's own header. */
    WG_INPUT_PORTION = 4096 - 64,
    WG_INPUT_BODY_PORTION = 16 * 1024 /* within a body, and where input is dropped */
};

/* wg_entry_client.c */

void wg_client_set_state(wg_client* client, wg_client_state state);
/* Limits how much of the caller's input is read before it is examined. */
void wg_client_set_input_max(wg_client* client, size_t bytes);
/* The connection does not count as idle any more. */
void wg_client_leave_idle(wg_client* client);
/* Answers a request that is malformed or too large, and closes. */
void wg_client_reject(wg_client* client, int status, const char* code);
/* Closes once the output is flushed. */
void wg_client_end(wg_client* client);

/* wg_entry_receive.c */

/* Advances the connection with the input received. */
void wg_client_receive(wg_client* client);
