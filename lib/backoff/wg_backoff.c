/* wg_backoff.c -- see wg_backoff.h */
#include "wg_backoff.h"

#include <math.h>
#include <string.h>
#include <time.h>

/* ---- types ----------------------------------------------------------------------------------- */

typedef struct {
    uint64_t target;
    wg_time requested_until; /* end of the requested backoff period */
    wg_time until;           /* the same with this host's jitter */
    wg_time updated_at;
    bool draining;
    bool unreadable; /* an unreadable Retry-After was reported */
} _wg_backoff_target;

enum {
    /* hosts return at random times within the backoff period divided by this, after its end */
    _WG_SPREAD_DIVISOR = 8,
    _WG_SPREAD_MAX = 1 * WG_USEC_PER_SEC /* upper limit of that spread */
};

struct wg_backoff {
    wg_backoff_desc desc;
    uint64_t counter;
    GHashTable* targets; /* key -> _wg_backoff_target* */
};

/* ---- helpers: fields of an answer ------------------------------------------------------------ */

enum {
    _WG_FIELD_MAX = 64,   /* maximum size of a field value; a date takes 29 bytes */
    _WG_UNAVAILABLE = 503 /* status of a refused request */
};

/* Copies the value without surrounding blanks; false if it is too long to be valid. */
static bool _wg_field_text(wg_text value, char text[_WG_FIELD_MAX]) {
    g_snprintf(text, _WG_FIELD_MAX, "%.*s", (int)MIN(value.size, _WG_FIELD_MAX - 1), value.text);
    g_strstrip(text);
    return value.size < _WG_FIELD_MAX;
}

/* Parses a decimal number with an optional fraction; the result may be infinite. */
static bool _wg_read_seconds(const char* text, double* seconds) {
    size_t digits = strspn(text, "0123456789");
    size_t size = digits;
    if (text[size] == '.') {
        size += 1 + strspn(text + size + 1, "0123456789");
    }
    if (digits == 0 || text[size] != 0) {
        return false;
    }
    *seconds = g_ascii_strtod(text, NULL);
    return true;
}

/* Parses a date in one of the three formats of HTTP (RFC 9110, 5.6.7) to Unix seconds. */
static bool _wg_read_date(const char* text, int64_t* unix_time) {
    static const char* const formats[] = {"%a, %d %b %Y %H:%M:%S GMT", "%A, %d-%b-%y %H:%M:%S GMT",
                                          "%a %b %d %H:%M:%S %Y"};
    for (size_t i = 0; i < G_N_ELEMENTS(formats); i++) {
        struct tm parts = {0};
        const char* end = strptime(text, formats[i], &parts);
        if (end && *end == 0) {
            *unix_time = timegm(&parts);
            return *unix_time > 0;
        }
    }
    return false;
}

/* Converts seconds to microseconds, limited to the range of wg_time. */
static wg_time _wg_time_from_seconds(double seconds) {
    double max = (double)(WG_TIME_NEVER / 2);
    return (wg_time)fmin(seconds * (double)WG_USEC_PER_SEC, max);
}

static void _wg_read_retry_after(wg_backoff_hint* hint, const char* text) {
    double seconds;
    int64_t date;
    if (_wg_read_seconds(text, &seconds)) {
        hint->period = MAX(hint->period, _wg_time_from_seconds(seconds));
    } else if (_wg_read_date(text, &date)) {
        hint->until = MAX(hint->until, date);
    } else {
        hint->unreadable = true;
    }
}

/* ---- helpers: targets ------------------------------------------------------------------------ */

/* Called for each target that a selection considers; most of the time no target is in backoff. */
static _wg_backoff_target* _wg_backoff_find(const wg_backoff* b, uint64_t target) {
    return g_hash_table_size(b->targets) > 0 ? g_hash_table_lookup(b->targets, &target) : NULL;
}

static gboolean _wg_backoff_is_expired(gpointer key, gpointer value, gpointer now) {
    (void)key;
    const _wg_backoff_target* t = value;
    return !t->draining && t->until <= *(const wg_time*)now;
}

static void _wg_backoff_drop_oldest(wg_backoff* b) {
    GHashTableIter iter;
    gpointer value;
    const _wg_backoff_target* oldest = NULL;
    g_hash_table_iter_init(&iter, b->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _wg_backoff_target* t = value;
        oldest = !oldest || t->updated_at < oldest->updated_at ? t : oldest;
    }
    if (oldest) {
        uint64_t key = oldest->target;
        g_hash_table_remove(b->targets, &key);
    }
}

/* Returns when backoff ends, with jitter so that hosts do not return at the same time. */
static wg_time _wg_backoff_end(wg_backoff* b, wg_time now, wg_time period) {
    wg_time spread = MIN(period / _WG_SPREAD_DIVISOR, (wg_time)_WG_SPREAD_MAX);
    return now + period + wg_jitter_range(b->desc.seed, ++b->counter, 0, spread);
}

static _wg_backoff_target* _wg_backoff_get(wg_backoff* b, wg_time now, uint64_t target) {
    _wg_backoff_target* t = _wg_backoff_find(b, target);
    if (t) {
        t->updated_at = now;
        return t;
    }
    guint limit = (guint)b->desc.targets_max;
    if (g_hash_table_size(b->targets) >= limit) {
        g_hash_table_foreach_remove(b->targets, _wg_backoff_is_expired, &now);
    }
    if (g_hash_table_size(b->targets) >= limit) {
        _wg_backoff_drop_oldest(b);
    }
    t = g_new0(_wg_backoff_target, 1);
    t->target = target;
    t->updated_at = now;
    g_hash_table_insert(b->targets, &t->target, t);
    return t;
}

/* ---- public functions ------------------------------------------------------------------------ */

void wg_backoff_read_field(wg_backoff_hint* hint, const char* draining_field, wg_text name,
                           wg_text value) {
    char text[_WG_FIELD_MAX];
    if (wg_text_equals_nocase(name, "Retry-After")) {
        _wg_read_retry_after(hint, _wg_field_text(value, text) ? text : "");
    } else if (wg_text_equals_nocase(name, "Date")) {
        _wg_field_text(value, text);
        _wg_read_date(text, &hint->date);
    } else if (wg_text_equals_nocase(name, draining_field)) {
        _wg_field_text(value, text);
        hint->draining = hint->draining || strcmp(text, "1") == 0;
    }
}

/* Retry-After applies to later requests only in a refusal; in other answers it is meant for the
   caller. */
wg_time wg_backoff_hint_period(const wg_backoff_hint* hint, int64_t unix_time, wg_time max) {
    if (hint->status != _WG_UNAVAILABLE) {
        return 0;
    }
    wg_time period = hint->period;
    if (hint->until > 0) {
        int64_t since = hint->date > 0 ? hint->date : unix_time;
        period = MAX(period, _wg_time_from_seconds((double)(hint->until - since)));
    }
    return CLAMP(period, 0, max);
}

wg_backoff* wg_backoff_setup(const wg_backoff_desc* desc) {
    wg_backoff* b = g_new0(wg_backoff, 1);
    b->desc = *desc;
    b->desc.targets_max = desc->targets_max ? desc->targets_max : WG_BACKOFF_TARGETS_MAX_DEFAULT;
    b->desc.backoff_max = desc->backoff_max
                              ? desc->backoff_max
                              : WG_BACKOFF_PERIOD_MAX_DEFAULT_S * (wg_time)WG_USEC_PER_SEC;
    b->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return b;
}

void wg_backoff_shutdown(wg_backoff* b) {
    g_hash_table_unref(b->targets);
    g_free(b);
}

wg_backoff_update wg_backoff_record(wg_backoff* b, wg_time now, uint64_t target,
                                    const wg_backoff_hint* hint, int64_t unix_time) {
    wg_backoff_update update = {.period =
                                    wg_backoff_hint_period(hint, unix_time, b->desc.backoff_max)};
    bool unreadable = hint->unreadable && hint->status == _WG_UNAVAILABLE;
    if (update.period == 0 && !hint->draining && !unreadable) {
        return update;
    }
    _wg_backoff_target* t = _wg_backoff_get(b, now, target);
    update.backoff_started = update.period > 0 && t->until <= now;
    update.draining_started = hint->draining && !t->draining;
    update.unreadable = unreadable && !t->unreadable;
    if (update.period > 0) {
        t->requested_until = MAX(t->requested_until, now + update.period);
        t->until = MAX(t->until, _wg_backoff_end(b, now, update.period));
    }
    t->draining = t->draining || hint->draining;
    t->unreadable = t->unreadable || unreadable;
    WG_ASSERT(g_hash_table_size(b->targets) <= (guint)b->desc.targets_max);
    return update;
}

wg_backoff_period wg_backoff_period_of(const wg_backoff* b, wg_time now, uint64_t target) {
    const _wg_backoff_target* t = _wg_backoff_find(b, target);
    if (t && t->draining) {
        return (wg_backoff_period){WG_TIME_NEVER, WG_TIME_NEVER};
    }
    if (!t || t->until <= now) {
        return (wg_backoff_period){0};
    }
    return (wg_backoff_period){.requested_until = t->requested_until, .ends_at = t->until};
}

wg_time wg_backoff_ends_at(const wg_backoff* b, wg_time now, uint64_t target) {
    return wg_backoff_period_of(b, now, target).ends_at;
}

bool wg_backoff_is_draining(const wg_backoff* b, uint64_t target) {
    const _wg_backoff_target* t = _wg_backoff_find(b, target);
    return t && t->draining;
}

int wg_backoff_active_num(const wg_backoff* b, wg_time now) {
    int num = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, b->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        num += ((const _wg_backoff_target*)value)->until > now;
    }
    return num;
}
