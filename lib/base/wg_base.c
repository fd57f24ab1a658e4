/* wg_base.c -- see wg_base.h */
#include "wg_base.h"

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

/* ---- types -------------------------------------------------------------------------------- */

typedef struct {
    int number;
    const char* name;
    GLogLevelFlags level;
    const char* text;
} _wg_event_row_t;

/* ---- private state ------------------------------------------------------------------------ */

#define _WG_LEVEL_DEBUG G_LOG_LEVEL_DEBUG
#define _WG_LEVEL_INFO G_LOG_LEVEL_INFO
#define _WG_LEVEL_WARN G_LOG_LEVEL_WARNING
#define _WG_LEVEL_ERROR G_LOG_LEVEL_CRITICAL
#define _WG_EVENT_ROW(number, name, level, text) {number, #name, _WG_LEVEL_##level, text},
static const _wg_event_row_t _wg_events[] = {WG_EVENT_LIST(_WG_EVENT_ROW)};

static wg_time _wg_clock_offset;
static GLogLevelFlags _wg_level_limit = G_LOG_LEVEL_INFO;
static FILE* _wg_log_file;
static bool _wg_log_may_lose;     /* the log does not wait for its reader */
static bool _wg_log_torn;         /* the last line was written in part */
static int _wg_log_lost;          /* lines lost since the last one that was written */
static uint64_t _wg_log_lost_all; /* since the start */

/* ---- helpers ------------------------------------------------------------------------------ */

static const _wg_event_row_t* _wg_event_find(wg_event event) {
    for (size_t i = 0; i < G_N_ELEMENTS(_wg_events); i++) {
        if (_wg_events[i].number == (int)event) {
            return &_wg_events[i];
        }
    }
    return NULL;
}

static char _wg_level_letter(GLogLevelFlags level) {
    switch (level) {
    case G_LOG_LEVEL_CRITICAL:
        return 'E';
    case G_LOG_LEVEL_WARNING:
        return 'W';
    case G_LOG_LEVEL_INFO:
        return 'I';
    default:
        return 'D';
    }
}

static void _wg_log_append(GString* out, const char* stamp, char level, const char* message) {
    g_string_append_printf(out, "%s %c %s\n", stamp, level, message);
}

/* Writes a line, after a line on those lost before it. What the reader does not accept is lost. */
static void _wg_log_write_or_lose(const char* stamp, char level, const char* message) {
    GString* out = g_string_new(_wg_log_torn ? "\n" : "");
    if (_wg_log_lost > 0) {
        const _wg_event_row_t* row = _wg_event_find(WG_EVENT_LOG_LOST);
        char* notice = g_strdup_printf("WG%d %s: %s: lines=%d", row->number, row->name, row->text,
                                       _wg_log_lost);
        _wg_log_append(out, stamp, _wg_level_letter(row->level), notice);
        g_free(notice);
    }
    _wg_log_append(out, stamp, level, message);
    ssize_t written = write(fileno(_wg_log_file), out->str, out->len);
    if (written == (ssize_t)out->len) {
        _wg_log_torn = false;
        _wg_log_lost = 0;
    } else {
        _wg_log_torn = _wg_log_torn || written > 0;
        _wg_log_lost++;
        _wg_log_lost_all++;
    }
    g_string_free(out, TRUE);
}

static GLogWriterOutput _wg_log_writer(GLogLevelFlags level, const GLogField* fields, gsize count,
                                       gpointer user_data) {
    (void)user_data;
    GLogLevelFlags severity = level & G_LOG_LEVEL_MASK;
    if (severity > _wg_level_limit) {
        return G_LOG_WRITER_HANDLED;
    }
    const char* message = "";
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            message = fields[i].value;
        }
    }
    struct timespec now;
    struct tm utc;
    char second[32];
    char stamp[48];
    clock_gettime(CLOCK_REALTIME, &now);
    gmtime_r(&now.tv_sec, &utc);
    strftime(second, sizeof second, "%Y-%m-%dT%H:%M:%S", &utc);
    g_snprintf(stamp, sizeof stamp, "%s.%06ldZ", second, now.tv_nsec / 1000);
    if (_wg_log_may_lose) {
        _wg_log_write_or_lose(stamp, _wg_level_letter(severity), message);
        return G_LOG_WRITER_HANDLED;
    }
    FILE* out = _wg_log_file ? _wg_log_file : stderr;
    fprintf(out, "%s %c %s\n", stamp, _wg_level_letter(severity), message);
    fflush(out);
    return G_LOG_WRITER_HANDLED;
}

/* ---- public functions --------------------------------------------------------------------- */

const char* wg_verdict_name(wg_verdict verdict) {
    static const char* names[WG_VERDICT_NUM] = {"undecided", "not-run", "ran", "may-have-run"};
    WG_ASSERT(verdict >= 0 && verdict < WG_VERDICT_NUM);
    return names[verdict];
}

GQuark wg_error_quark(void) {
    return g_quark_from_static_string("walnutgate-error");
}

void wg_log(wg_event event, const char* details, ...) {
    const _wg_event_row_t* row = _wg_event_find(event);
    WG_ASSERT(row != NULL);
    if (row->level > _wg_level_limit) {
        return;
    }
    va_list args;
    va_start(args, details);
    char* text = g_strdup_vprintf(details, args);
    va_end(args);
    g_log_structured("walnutgate", row->level, "MESSAGE", "WG%d %s: %s%s%s", row->number, row->name,
                     row->text, text[0] ? ": " : "", text);
    g_free(text);
}

bool wg_log_setup(const char* level, const char* target, GError** error) {
    static const struct {
        const char* name;
        GLogLevelFlags flag;
    } levels[] = {{"debug", G_LOG_LEVEL_DEBUG},
                  {"info", G_LOG_LEVEL_INFO},
                  {"warn", G_LOG_LEVEL_WARNING},
                  {"error", G_LOG_LEVEL_CRITICAL}};
    bool known = false;
    for (size_t i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (strcmp(levels[i].name, level) == 0) {
            _wg_level_limit = levels[i].flag;
            known = true;
        }
    }
    if (!known) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "unknown log level \"%s\"", level);
        return false;
    }
    if (strcmp(target, "stdout") == 0) {
        /* A slow reader of a pipe must not block the process: lines that do not fit are dropped. */
        fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
        _wg_log_file = stdout;
        _wg_log_may_lose = true;
    } else if (strcmp(target, "stderr") != 0) {
        _wg_log_file = fopen(target, "a");
        if (!_wg_log_file) {
            g_set_error(error, WG_ERROR, WG_ERROR_IO, "cannot open log file \"%s\"", target);
            return false;
        }
    }
    g_log_set_writer_func(_wg_log_writer, NULL, NULL);
    return true;
}

uint64_t wg_log_lost(void) {
    return _wg_log_lost_all;
}

int64_t wg_memory_bytes(double memory_mb) {
    if (memory_mb > 0) {
        return (int64_t)(memory_mb * 1e6);
    }
    return (int64_t)sysconf(_SC_PHYS_PAGES) * sysconf(_SC_PAGESIZE);
}

wg_time wg_now(void) {
    struct timespec ts;
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return (wg_time)ts.tv_sec * WG_USEC_PER_SEC + ts.tv_nsec / 1000 + _wg_clock_offset;
}

void wg_now_skip(wg_time time) {
    _wg_clock_offset += time;
}

uint64_t wg_jitter(uint64_t seed, uint64_t counter) {
    return XXH3_64bits_withSeed(&counter, sizeof counter, seed);
}

int64_t wg_jitter_range(uint64_t seed, uint64_t counter, int64_t low, int64_t high) {
    WG_ASSERT(low <= high);
    uint64_t span = (uint64_t)(high - low) + 1;
    return low + (int64_t)(wg_jitter(seed, counter) % span);
}

uint64_t wg_hash(const void* data, size_t size, uint64_t seed) {
    return XXH3_64bits_withSeed(data, size, seed);
}

bool wg_copy_name(char* field, size_t size, const char* text) {
    size_t length = text ? strlen(text) : size;
    if (length >= size) {
        field[0] = 0;
        return false;
    }
    memcpy(field, text, length + 1);
    return true;
}

void wg_key_hash(const char* key, uint8_t out[WG_KEY_HASH_SIZE]) {
    GChecksum* sum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize size = WG_KEY_HASH_SIZE;
    g_checksum_update(sum, (const guchar*)key, (gssize)strlen(key));
    g_checksum_get_digest(sum, out, &size);
    g_checksum_free(sum);
}

void wg_assert_failed(const char* condition, const char* file, int line) {
    fprintf(stderr, "%s:%d: invariant does not hold: %s\n", file, line, condition);
    abort();
}

bool wg_desc_check(const wg_desc_field* fields, int num, GError** error) {
    for (int i = 0; i < num; i++) {
        int64_t max = fields[i].max ? fields[i].max : INT64_MAX;
        if (fields[i].value < 0 || fields[i].value > max) {
            g_set_error(error, WG_ERROR, WG_ERROR_INVALID,
                        "%s is %" G_GINT64_FORMAT ", must be between 0 and %" G_GINT64_FORMAT,
                        fields[i].name, fields[i].value, max);
            return false;
        }
    }
    return true;
}

/* In a pool free_slots is a stack; a handle is (generation << 16) | (slot + 1). */

void wg_pool_setup(wg_pool* pool, const wg_pool_desc* desc) {
    int capacity = desc->capacity ? desc->capacity : 256;
    WG_ASSERT(capacity > 0 && capacity < 65535);
    *pool = (wg_pool){.capacity = capacity};
    pool->generations = g_new0(uint16_t, capacity);
    pool->free_slots = g_new0(uint16_t, capacity);
    pool->taken = g_new0(uint8_t, capacity);
    for (int i = 0; i < capacity; i++) {
        pool->free_slots[i] = (uint16_t)(capacity - 1 - i);
    }
}

void wg_pool_shutdown(wg_pool* pool) {
    g_free(pool->generations);
    g_free(pool->free_slots);
    g_free(pool->taken);
    *pool = (wg_pool){0};
}

wg_handle wg_pool_alloc(wg_pool* pool) {
    if (pool->used == pool->capacity) {
        return (wg_handle){0};
    }
    int slot = pool->free_slots[pool->capacity - pool->used - 1];
    pool->used++;
    pool->taken[slot] = 1;
    pool->generations[slot]++;
    return wg_pool_handle_at(pool, slot);
}

int wg_pool_slot(const wg_pool* pool, wg_handle handle) {
    int slot = (int)(handle.id & 0xffff) - 1;
    if (slot < 0 || slot >= pool->capacity || !pool->taken[slot]) {
        return -1;
    }
    return pool->generations[slot] == (handle.id >> 16) ? slot : -1;
}

wg_handle wg_pool_handle_at(const wg_pool* pool, int slot) {
    if (slot < 0 || slot >= pool->capacity || !pool->taken[slot]) {
        return (wg_handle){0};
    }
    return (wg_handle){((uint32_t)pool->generations[slot] << 16) | (uint32_t)(slot + 1)};
}

bool wg_pool_free(wg_pool* pool, wg_handle handle) {
    int slot = wg_pool_slot(pool, handle);
    if (slot < 0) {
        return false;
    }
    pool->taken[slot] = 0;
    pool->used--;
    pool->free_slots[pool->capacity - pool->used - 1] = (uint16_t)slot;
    return true;
}
