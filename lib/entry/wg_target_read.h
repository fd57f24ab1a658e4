#pragma once
/* wg_target_read.h -- what a target says of itself, read strictly

   Others than targets may write to the same page: whatever lacks a field, or has one of another
   type or a state that there is not, names no target, and changes none that there is. */
#include <jansson.h>

#include "wg_registry.h"

/* A heartbeat; false with the reason (WG_ERROR_INVALID) when it is none. */
bool wg_target_read(const json_t* json, const char* id, wg_time now, wg_target* target,
                    GError** error);
/* A leave; `json` NULL: it says no more than the id. */
bool wg_target_read_leave(const json_t* json, const char* id, wg_target* target, GError** error);
