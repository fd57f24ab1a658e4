#pragma once
/*
    wg_base.h -- common definitions of all walnutgate libraries

    WHAT IT DOES
        Defines the verdict on a request, time, handles into fixed-size pools, the GError domain,
        numbered log events, histograms, and a seeded source of jitter.

    FEATURES
        - wg_verdict: whether a request may have run at a target
        - wg_time: microseconds of one host's own clock, never compared between hosts
        - wg_pool: handles of slot index and generation, so that a stale handle is detected
        - wg_log(): numbered events through GLib's structured logging
        - wg_jitter(): deterministic pseudo-random numbers from a seed and a counter

    USE
        1. wg_pool_setup(&pool, &(wg_pool_desc){.capacity = 64});
        2. wg_handle h = wg_pool_alloc(&pool);             // .id == 0 when full
        3. int slot = wg_pool_slot(&pool, h);              // -1 when the handle is stale
        4. wg_pool_free(&pool, h); wg_pool_shutdown(&pool);

    THE CALLER OWNS
        all structs passed in; a pool owns only its slot arrays. Only wg_now() reads a clock;
        libraries that are called pure get the time from their caller.
*/
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "wg_events.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Checks an invariant, in release builds too unless WG_NO_ASSERT is defined. */
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
    WG_NAME_MAX = 64,     /* bytes of a name, including the terminating zero */
    WG_ADDRESS_MAX = 64,  /* bytes of "ip:port", including the terminating zero */
    WG_KEY_HASH_SIZE = 32 /* bytes of a SHA-256 digest */
};

#define WG_TIME_NEVER INT64_MAX /* a deadline that never passes */

/* Whether a request may have run at a target. */
typedef enum {
    WG_VERDICT_DEFAULT = 0,  /* not decided yet */
    WG_VERDICT_NOT_RUN,      /* no byte reached a target that could run it, or the target reported
                                that it did not run */
    WG_VERDICT_RAN,          /* a complete answer was received */
    WG_VERDICT_MAY_HAVE_RUN, /* any other case */
    WG_VERDICT_NUM
} wg_verdict;

/* Name of a verdict in the header and the error body of an answer. */
const char* wg_verdict_name(wg_verdict verdict);

/* GError domain of all libraries. */
#define WG_ERROR (wg_error_quark())
typedef enum {
    WG_ERROR_DEFAULT = 0,
    WG_ERROR_INVALID,  /* an argument, a setting or a message is malformed */
    WG_ERROR_CONFLICT, /* a concurrent change was made first */
    WG_ERROR_FULL,     /* a fixed capacity is exhausted */
    WG_ERROR_IO,       /* a system call failed */
    WG_ERROR_CORRUPT,  /* stored data does not match its checksum */
    WG_ERROR_DISK,     /* the disk is not writable: full, read-only or failing; may be transient */
    WG_ERROR_NUM
} wg_error_code;
GQuark wg_error_quark(void);

/* A numeric field of a desc and its valid range. */
typedef struct {
    const char* name; /* "library_desc.field" */
    int64_t value;
    int64_t max; /* 0: no upper limit */
} wg_desc_field;

/* Checks that each field is between 0 (the default) and its `max`. Otherwise false, with a
   WG_ERROR_INVALID that names the first invalid field and its range. */
bool wg_desc_check(const wg_desc_field* fields, int num, GError** error);

/* Log events of wg_events.h: WG_EVENT_STARTED and so on. */
typedef enum {
    WG_EVENT_DEFAULT = 0,
#define _WG_EVENT_ENUM(number, name, level, text) WG_EVENT_##name = number,
    WG_EVENT_LIST(_WG_EVENT_ENUM)
#undef _WG_EVENT_ENUM
    WG_EVENT_NUM
} wg_event;

/* Logs one event with printf-style details. Never pass secrets or request bodies. */
void wg_log(wg_event event, const char* details, ...) G_GNUC_PRINTF(2, 3);
/* Sets the level ("debug", "info", "warn" or "error") and the target ("stderr", "stdout" or a file
   path) of the log. False with an error if the level is unknown or the file cannot be opened. */
bool wg_log_setup(const char* level, const char* target, GError** error);
/* Log lines lost since the start, as the reader of standard output did not keep up. */
uint64_t wg_log_lost(void);

/* Current time of CLOCK_BOOTTIME, which continues while the host is suspended. */
wg_time wg_now(void);
/* Bytes of memory that the process may use: `memory_mb` from its settings, or, if that is 0, the
   memory of the machine. */
int64_t wg_memory_bytes(double memory_mb);
/* For tests: advances wg_now() as if the host had been suspended for that time. Timers of the event
   loop do not count suspended time, so they fire late. */
void wg_now_skip(wg_time time);

/* Deterministic pseudo-random 64 bits from a seed and a counter (xxHash). */
uint64_t wg_jitter(uint64_t seed, uint64_t counter);
/* Deterministic pseudo-random number in [low, high]. */
int64_t wg_jitter_range(uint64_t seed, uint64_t counter, int64_t low, int64_t high);
/* 64-bit xxHash. */
uint64_t wg_hash(const void* data, size_t size, uint64_t seed);
/* Copies a string into a fixed-size field. False, with an empty field, if `text` is NULL or too
   long. */
bool wg_copy_name(char* field, size_t size, const char* text);

/* SHA-256 of a workspace key, as the table stores it. */
void wg_key_hash(const char* key, uint8_t out[WG_KEY_HASH_SIZE]);

/* Prints the failed invariant and aborts. */
G_NORETURN void wg_assert_failed(const char* condition, const char* file, int line);

/* Handle of a pool slot; id 0 is invalid. */
typedef struct {
    uint32_t id;
} wg_handle;

typedef struct {
    int capacity; /* slots, 1..65534; default 256 */
} wg_pool_desc;

/* Fixed-size pool of slots. The caller keeps its objects in an array of the same capacity. */
typedef struct {
    int capacity;
    int used;
    uint16_t* generations;
    uint16_t* free_slots;
    uint8_t* taken;
} wg_pool;

/* Aborts if the capacity is out of range. */
void wg_pool_setup(wg_pool* pool, const wg_pool_desc* desc);
void wg_pool_shutdown(wg_pool* pool);
/* A new handle, or id 0 if the pool is full. */
wg_handle wg_pool_alloc(wg_pool* pool);
/* Slot of a valid handle, or -1 if it is stale. */
int wg_pool_slot(const wg_pool* pool, wg_handle handle);
/* Handle of an allocated slot, or id 0. */
wg_handle wg_pool_handle_at(const wg_pool* pool, int slot);
/* False if the handle is stale. */
bool wg_pool_free(wg_pool* pool, wg_handle handle);

enum {
    WG_HIST_BUCKETS = 160 /* four for each power of two */
};

/* Histogram of non-negative values with logarithmic buckets. The relative error of a quantile is at
   most 1/8. */
typedef struct {
    uint64_t counts[WG_HIST_BUCKETS];
    uint64_t num;
    uint64_t sum;
    uint64_t max;
} wg_hist;

/* Adds one value, in any unit; a negative one counts as 0. */
void wg_hist_add(wg_hist* hist, int64_t value);
/* Approximate quantile, from 0 to 1; 0 if the histogram is empty. */
uint64_t wg_hist_quantile(const wg_hist* hist, double quantile);
/* Appends the histogram as a Prometheus summary. Values are divided by `scale`: 1e6 turns
   microseconds into seconds. */
void wg_hist_print(const wg_hist* hist, const char* name, const char* labels, double scale,
                   GString* out);

#ifdef __cplusplus
}
#endif
