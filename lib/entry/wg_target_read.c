/* wg_target_read.c -- see wg_target_read.h */
#include "wg_target_read.h"

#include "wg_net.h"

#include <string.h>

enum {
    WG_TARGET_SLOTS_MAX = 1000000
};

/* ---- helpers --------------------------------------------------------------------------------- */

static bool _wg_target_error(GError** error, const char* field, const char* what) {
    g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "%s: %s", field, what);
    return false;
}

/* Reads a required string of at least `size_min` bytes. */
static bool _wg_read_text(const json_t* json, const char* name, size_t size_min, char* out,
                          size_t size, GError** error) {
    const char* text = json_string_value(json_object_get(json, name));
    if (!text || strlen(text) < size_min) {
        return _wg_target_error(error, name, "missing, empty or not a string");
    }
    return wg_copy_name(out, size, text) || _wg_target_error(error, name, "too long");
}

/* Reads a required integer from 0 to `number_max`. */
static bool _wg_read_integer(const json_t* json, const char* name, json_int_t number_max,
                             uint64_t* out, GError** error) {
    const json_t* value = json_object_get(json, name);
    json_int_t number = json_integer_value(value);
    if (!json_is_integer(value) || number < 0 || number > number_max) {
        return _wg_target_error(error, name, "not an integer in the allowed range");
    }
    *out = (uint64_t)number;
    return true;
}

static bool _wg_read_state(const json_t* json, wg_target_state* state, GError** error) {
    const char* text = json_string_value(json_object_get(json, "state"));
    if (text && strcmp(text, "ready") == 0) {
        *state = WG_TARGET_READY;
    } else if (text && strcmp(text, "draining") == 0) {
        *state = WG_TARGET_DRAINING;
    } else {
        return _wg_target_error(error, "state", "neither ready nor draining");
    }
    return true;
}

static bool _wg_read_address(const json_t* json, wg_target* target, GError** error) {
    struct sockaddr_storage storage;
    int size;
    return _wg_read_text(json, "address", 1, target->address, sizeof target->address, error) &&
           (wgn_parse_address(target->address, &storage, &size) ||
            _wg_target_error(error, "address", "not ip:port"));
}

static bool _wg_read_cold(const json_t* json, wg_time now, wg_target* target, GError** error) {
    const json_t* value = json_object_get(json, "cold_ms");
    double cold_ms = json_number_value(value);
    if (value && (!json_is_number(value) || cold_ms < 0)) {
        return _wg_target_error(error, "cold_ms", "not a non-negative number");
    }
    if (cold_ms > 0) {
        double cold_max = (double)WG_TARGET_COLD_MAX;
        target->cold_until = now + (wg_time)MIN(cold_ms * WG_USEC_PER_MSEC, cold_max);
    }
    return true;
}

/* Optional, as targets of earlier releases do not send it. */
static bool _wg_read_incarnation(const json_t* json, wg_target* target, GError** error) {
    return !json_object_get(json, "born") ||
           _wg_read_integer(json, "born", G_MAXINT64, &target->born, error);
}

static bool _wg_read_id(const char* id, wg_target* target, GError** error) {
    return (id[0] && wg_copy_name(target->id, sizeof target->id, id)) ||
           _wg_target_error(error, "id", "empty or too long");
}

/* ---- functions ------------------------------------------------------------------------------- */

bool wg_target_read(const json_t* json, const char* id, wg_time now, wg_target* target,
                    GError** error) {
    uint64_t slots = 0;
    *target = (wg_target){0};
    bool good = _wg_read_id(id, target, error) &&
                _wg_read_text(json, "service", 1, target->service, sizeof target->service, error) &&
                _wg_read_address(json, target, error) &&
                _wg_read_text(json, "data_centre", 0, target->data_centre,
                              sizeof target->data_centre, error) &&
                _wg_read_text(json, "version", 0, target->version, sizeof target->version, error) &&
                _wg_read_integer(json, "slots", WG_TARGET_SLOTS_MAX, &slots, error) &&
                _wg_read_integer(json, "sequence", G_MAXINT64, &target->sequence, error) &&
                _wg_read_state(json, &target->state, error) &&
                _wg_read_cold(json, now, target, error) &&
                _wg_read_incarnation(json, target, error);
    target->slots = (uint32_t)slots;
    return good;
}

bool wg_target_read_deregistration(const json_t* json, const char* id, wg_target* target,
                                   GError** error) {
    *target = (wg_target){.state = WG_TARGET_REMOVED};
    if (json && !json_is_object(json)) {
        return _wg_target_error(error, "body", "not an object");
    }
    return _wg_read_id(id, target, error) && (!json || _wg_read_incarnation(json, target, error));
}
