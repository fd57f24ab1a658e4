#pragma once
/*
    wg_base.h -- shared ground of all walnutgate libraries

    WHAT IT DOES
        Defines what every other library speaks: the verdict on a request, time, handles into fixed
        pools, the GError domain, numbered log events, and a seeded source of jitter.

    FEATURES
        - wg_verdict: says whether a request may have run at a target
        - wg_time: microseconds on one host's own clock, never compared between hosts
        - wg_pool: slot index plus generation, so that a stale handle is found out
        - wg_log(): numbered events through GLib's structured logging
        - wg_jitter(): deterministic pseudo-random numbers out of (seed, counter)

    USE
        1. wg_pool_setup(&pool, &(wg_pool_desc){.capacity = 64});
        2. wg_handle h = wg_pool_alloc(&pool);             // .id == 0 when full
        3. int slot = wg_pool_slot(&pool, h);              // -1 when the handle is stale
        4. wg_pool_free(&pool, h); wg_pool_shutdown(&pool);

    THE CALLER OWNS
        all structs handed in; a pool owns only its slot array. Nothing here reads a clock except
        wg_now(), which only daemons call.
*/
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wg_events.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Invariants stay on in release builds unless WG_NO_ASSERT is defined. */
#if defined(WG_NO_ASSERT)
#define WG_ASSERT(c) ((void)0)
#else
#define WG_ASSERT(c) ((c) ? (void)0 : wg_assert_failed(#c, __FILE__, __LINE__))
#endif

/* A point in time or a duration, in microseconds. */
typedef int64_t wg_time;

enum {
    WG_USEC_PER_MSEC = 1000,
    WG_USEC_PER_SEC = 1000000,
    WG_NAME_MAX = 64,     /* bytes of a name with its final zero */
    WG_ADDRESS_MAX = 64,  /* bytes of "ip:port" with its final zero */
    WG_KEY_HASH_SIZE = 32 /* bytes of a SHA-256 digest */
};

/* No deadline. */
#define WG_TIME_NEVER INT64_MAX

/* Whether a request may have run at a target. */
typedef enum {
    WG_VERDICT_DEFAULT = 0,  /* not decided yet */
    WG_VERDICT_NOT_RUN,      /* no target that could act on it saw a byte, or it said so itself */
    WG_VERDICT_RAN,          /* the whole answer came */
    WG_VERDICT_MAY_HAVE_RUN, /* all else */
    WG_VERDICT_NUM
} wg_verdict;

/* Name of a verdict as it stands in the answer's header and error body. */
const char* wg_verdict_name(wg_verdict verdict);

/* GError domain of all libraries. */
#define WG_ERROR (wg_error_quark())
typedef enum {
    WG_ERROR_DEFAULT = 0,
    WG_ERROR_INVALID,  /* an argument, a setting or a message is malformed */
    WG_ERROR_CONFLICT, /* somebody else changed the same thing first */
    WG_ERROR_FULL,     /* a fixed capacity is used up */
    WG_ERROR_IO,       /* the operating system refused a read, write or sync */
    WG_ERROR_CORRUPT,  /* stored data fails its checksum */
    WG_ERROR_DISK, /* the disk takes no writes now: full, read-only, or it fails; it may again */
    WG_ERROR_NUM
} wg_error_code;
/* Domain of WG_ERROR; use the macro. */
GQuark wg_error_quark(void);

/* One number of a desc and the range it may have. */
typedef struct {
    const char* name; /* "library_desc.field" */
    int64_t value;
    int64_t max; /* 0: any that is not negative */
} wg_desc_field;

/* True when all fields are in their ranges, from 0 (the default) to `max`; else an error
   (WG_ERROR_INVALID) that names the first one that is not, and its range. */
bool wg_desc_check(const wg_desc_field* fields, int num, GError** error);

/* Log events: WG_EVENT_STARTED and so on. */
typedef enum {
    WG_EVENT_DEFAULT = 0,
#define _WG_EVENT_ENUM(number, name, level, text) WG_EVENT_##name = number,
    WG_EVENT_LIST(_WG_EVENT_ENUM)
#undef _WG_EVENT_ENUM
    WG_EVENT_NUM
} wg_event;

/* Log one event with printf-like details. Never pass keys or request bodies. */
void wg_log(wg_event event, const char* details, ...) G_GNUC_PRINTF(2, 3);
/* Level ("debug", "info", "warn", "error") and target ("stderr" or a file path) of the log.
   Returns false with an error when a name is unknown or the file cannot be opened. */
bool wg_log_setup(const char* level, const char* target, GError** error);

/* Current time of this host's clock that also counts while the host is suspended. */
wg_time wg_now(void);
/* For tests: from now on wg_now() is so much later, as if the host had been suspended for that
   time. Timers of the loop count time awake only, and fire late by it. */
void wg_now_skip(wg_time time);

/* Deterministic pseudo-random 64 bits out of a seed and a counter (xxHash). */
uint64_t wg_jitter(uint64_t seed, uint64_t counter);
/* The same, reduced to the range [low, high]. */
int64_t wg_jitter_range(uint64_t seed, uint64_t counter, int64_t low, int64_t high);
/* 64-bit hash of some bytes (xxHash). */
uint64_t wg_hash(const void* data, size_t size, uint64_t seed);
/* Copy a string into a fixed field; false (and an empty field) when it does not fit. */
bool wg_copy_name(char* field, size_t size, const char* text);

/* SHA-256 of a key, as it stands in the table. Result has WG_KEY_HASH_SIZE bytes. */
void wg_key_hash(const char* key, uint8_t out[WG_KEY_HASH_SIZE]);

/* Called when an invariant does not hold: prints and aborts. */
G_NORETURN void wg_assert_failed(const char* condition, const char* file, int line);

/* A handle into a pool; id 0 is never valid. */
typedef struct {
    uint32_t id;
} wg_handle;

typedef struct {
    int capacity; /* slots, 1..65535; default 256 */
} wg_pool_desc;

/* Fixed pool of slots; the caller keeps its objects in an array of the same capacity. */
typedef struct {
    int capacity;
    int used;
    uint16_t* generations;
    uint16_t* free_slots;
    uint8_t* taken;
} wg_pool;

/* Aborts when the capacity is out of range. */
void wg_pool_setup(wg_pool* pool, const wg_pool_desc* desc);
void wg_pool_shutdown(wg_pool* pool);
/* A fresh handle, or id 0 when the pool is full. */
wg_handle wg_pool_alloc(wg_pool* pool);
/* Slot of a live handle, or -1. */
int wg_pool_slot(const wg_pool* pool, wg_handle handle);
/* Handle of a taken slot, or id 0. */
wg_handle wg_pool_handle_at(const wg_pool* pool, int slot);
/* Returns false when the handle was stale. */
bool wg_pool_free(wg_pool* pool, wg_handle handle);

/* Buckets of a histogram: four per doubling, from 1 up. */
enum {
    WG_HIST_BUCKETS = 160
};

/* Log-bucket histogram of non-negative values; relative error of a quantile at most 1/8. */
typedef struct {
    uint64_t counts[WG_HIST_BUCKETS];
    uint64_t num;
    uint64_t sum;
    uint64_t max;
} wg_hist;

/* Count one value, in the unit that the caller chose; a negative one counts as 0. */
void wg_hist_add(wg_hist* hist, int64_t value);
/* Value below which `quantile` (0..1) of all values lie; 0 when empty. */
uint64_t wg_hist_quantile(const wg_hist* hist, double quantile);
/* Prometheus text of a histogram as a summary; `scale` divides values (1e6: microseconds to s). */
void wg_hist_print(const wg_hist* hist, const char* name, const char* labels, double scale,
                   GString* out);

#ifdef __cplusplus
}
#endif
