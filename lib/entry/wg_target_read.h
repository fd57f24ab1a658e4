#pragma once
/* wg_target_read.h -- strict parser of targets' heartbeats and deregistrations

   Processes other than targets may write to the same endpoint, so a body with a missing field, a
   wrong type or an unknown state is rejected and changes no target. */
#include <jansson.h>

#include "wg_registry.h"

/* Reads a heartbeat. Returns false and sets WG_ERROR_INVALID if it is malformed. */
bool wg_target_read(const json_t* json, const char* id, wg_time now, wg_target* target,
                    GError** error);
/* Reads a deregistration; `json` may be NULL (no body). */
bool wg_target_read_deregistration(const json_t* json, const char* id, wg_target* target,
                                   GError** error);
