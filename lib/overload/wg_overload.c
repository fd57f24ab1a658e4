/* wg_overload.c -- see wg_overload.h */
#include "wg_overload.h"

#include "wg_fair.h"

enum {
    /* Averaging time of rates, microseconds. Longer than the pauses of a process that gets a small
       part of a core in each 100 ms. */
    _WG_OVERLOAD_AVERAGING = 200 * WG_USEC_PER_MSEC,
    /* Ticks in a row whose samples are dropped because of a stall. A stall affects two: the one at
       its end, and the next, which still has the sample of the same measurement. A process that
       always lags is overloaded. */
    _WG_OVERLOAD_DROPPED_MAX = 3,
    /* Samples in a row above the maximum delay at which a limit begins. */
    _WG_OVERLOAD_HIGH_MIN = 2,
    /* Ticks of its share that a workspace below its share may send at once. */
    _WG_OVERLOAD_BURST_TICKS = 2,
    /* Shortest and longest Retry-After while the requests just reach the limit, microseconds. Both
       are multiplied by requests read / limit. */
    _WG_OVERLOAD_RETRY_FROM = 100 * WG_USEC_PER_MSEC,
    _WG_OVERLOAD_RETRY_TO = 400 * WG_USEC_PER_MSEC,
    /* Callers honour a Retry-After up to the time left until their deadline divided by this. */
    _WG_OVERLOAD_HONOURED_DIVISOR = 3,
    /* Smallest step of an increase, requests per second. */
    _WG_OVERLOAD_STEP_MIN = 1
};

/* Fraction of the capacity below which the limit does not fall at once. Input that waits was
   sent before the limit fell, so the effect of a decrease shows late; without a minimum the share
   falls below what small workspaces send. */
static const double _WG_OVERLOAD_CAPACITY_KEPT = 0.25;
/* Fraction of its equal part of the capacity that a workspace may always use. While a backlog is
   read, the requests of small workspaces are read faster than they are sent. */
static const double _WG_OVERLOAD_SHARE_KEPT = 0.5;
/* Factor of the capacity per decrease, for requests that became more costly. */
static const double _WG_OVERLOAD_CAPACITY_DECAY = 0.98;

/* Requests per second below which a workspace without new requests is forgotten. */
static const double _WG_OVERLOAD_RATE_FORGOTTEN = 0.1;

typedef struct {
    uint64_t workspace;
    int read;     /* requests since the last tick */
    double rate;  /* requests read per second */
    double burst; /* requests that it may send at once while it is below its share */
    double part;  /* fraction of an admission gained by requests refused before */
    bool is_over; /* above its share */
} _wg_overload_account;

struct wg_overload {
    wg_overload_desc desc;
    GHashTable* accounts; /* workspace -> _wg_overload_account* */
    wg_time ticked_at;    /* 0: not yet */
    int admitted;         /* since the last tick */
    double admitted_now;  /* requests per second, until the last tick */
    double admitted_rate; /* requests per second, average */
    double read_rate;     /* requests per second, average */
    double limit;         /* requests per second; 0: none */
    double share;         /* of one workspace, requests per second */
    int high_num;         /* samples in a row above the maximum */
    int dropped_num;      /* samples in a row dropped because of a stall */
    bool is_falling;      /* the delay falls without another decrease */
    wg_overload_sample last;
    double capacity;    /* highest rate that the host coped with lately, requests per second */
    wg_time high_at;    /* last sample above the maximum */
    wg_time refused_at; /* last refusal */
    uint64_t refused;
    uint64_t counter;
};

/* ---- helpers: accounts ---------------------------------------------------------------------- */

static double _wg_overload_burst_max(const wg_overload* o) {
    double ticks = o->share * _WG_OVERLOAD_BURST_TICKS * WG_OVERLOAD_PERIOD / WG_USEC_PER_SEC;
    return MAX(ticks, WG_OVERLOAD_BURST_MIN);
}

static _wg_overload_account* _wg_overload_account_of(wg_overload* o, uint64_t workspace) {
    _wg_overload_account* account = g_hash_table_lookup(o->accounts, &workspace);
    if (!account) {
        account = g_new0(_wg_overload_account, 1);
        account->workspace = workspace;
        account->burst = _wg_overload_burst_max(o);
        g_hash_table_insert(o->accounts, &account->workspace, account);
    }
    return account;
}

static double _wg_overload_per_second(int num, wg_time elapsed) {
    return (double)num * WG_USEC_PER_SEC / (double)elapsed;
}

static void _wg_overload_average(double* rate, double current, wg_time elapsed) {
    double weight = MIN((double)elapsed / _WG_OVERLOAD_AVERAGING, 1);
    *rate += weight * (current - *rate);
}

/* Updates all rates and forgets workspaces without requests. */
static void _wg_overload_update_rates(wg_overload* o, wg_time elapsed) {
    int read = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, o->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wg_overload_account* account = value;
        read += account->read;
        _wg_overload_average(&account->rate, _wg_overload_per_second(account->read, elapsed),
                             elapsed);
        account->read = 0;
        if (account->rate < _WG_OVERLOAD_RATE_FORGOTTEN) {
            g_hash_table_iter_remove(&iter);
        }
    }
    o->admitted_now = _wg_overload_per_second(o->admitted, elapsed);
    o->admitted = 0;
    _wg_overload_average(&o->read_rate, _wg_overload_per_second(read, elapsed), elapsed);
    _wg_overload_average(&o->admitted_rate, o->admitted_now, elapsed);
}

/* ---- helpers: limit ------------------------------------------------------------------------- */

/* Whether the sample is unusable because the process stood still while the probe waited. */
static bool _wg_overload_is_stalled(wg_overload* o, const wg_overload_sample* sample) {
    bool stalled = sample->stall_ended_at > 0 && sample->since < sample->stall_ended_at;
    o->dropped_num = stalled ? o->dropped_num + 1 : 0;
    return stalled && o->dropped_num <= _WG_OVERLOAD_DROPPED_MAX;
}

/* Whether the sample is the one of the last tick. */
static bool _wg_overload_is_repeated(const wg_overload* o, const wg_overload_sample* sample) {
    return sample->since == o->last.since && sample->delay <= o->last.delay;
}

/* Starts from the rate that the host coped with last. The average alone would be too low at the
   beginning of a peak. */
static void _wg_overload_decrease(wg_overload* o) {
    double from = MAX(o->admitted_rate, o->admitted_now);
    if (o->limit > 0) {
        from = MIN(from, o->limit);
    }
    o->capacity = o->limit > 0 ? _WG_OVERLOAD_CAPACITY_DECAY * o->capacity : from;
    double limit_min = MAX(_WG_OVERLOAD_CAPACITY_KEPT * o->capacity, WG_OVERLOAD_LIMIT_MIN);
    o->limit = MAX(WG_OVERLOAD_DECREASE * from, limit_min);
}

static void _wg_overload_increase(wg_overload* o) {
    o->limit += MAX(WG_OVERLOAD_INCREASE * o->limit, _WG_OVERLOAD_STEP_MIN);
    o->capacity = MAX(o->capacity, o->limit);
}

static wg_overload_change _wg_overload_handle_high(wg_overload* o, wg_time now) {
    o->high_at = now;
    bool begins = !(o->limit > 0);
    if (o->is_falling || (begins && o->high_num < _WG_OVERLOAD_HIGH_MIN)) {
        return WG_OVERLOAD_UNCHANGED;
    }
    _wg_overload_decrease(o);
    return begins ? WG_OVERLOAD_BEGUN : WG_OVERLOAD_UNCHANGED;
}

static wg_overload_change _wg_overload_handle_low(wg_overload* o, wg_time now) {
    if (!(o->limit > 0)) {
        return WG_OVERLOAD_UNCHANGED;
    }
    if (now - MAX(o->refused_at, o->high_at) >= WG_OVERLOAD_LIFT_AFTER) {
        o->limit = 0;
        return WG_OVERLOAD_ENDED;
    }
    _wg_overload_increase(o);
    return WG_OVERLOAD_UNCHANGED;
}

static wg_overload_change _wg_overload_adjust(wg_overload* o, wg_time now,
                                              const wg_overload_sample* sample) {
    if (_wg_overload_is_stalled(o, sample)) {
        return WG_OVERLOAD_UNCHANGED;
    }
    bool high = sample->delay > o->desc.delay_max;
    if (!_wg_overload_is_repeated(o, sample)) {
        o->high_num = high ? o->high_num + 1 : 0;
        o->is_falling = (double)sample->delay < WG_OVERLOAD_DECREASE * (double)o->last.delay;
        o->last = *sample;
    }
    return high ? _wg_overload_handle_high(o, now) : _wg_overload_handle_low(o, now);
}

/* ---- helpers: shares ------------------------------------------------------------------------ */

/* Share of one workspace. What the workspaces together leave of the limit may be used by any. */
static double _wg_overload_share(const wg_overload* o) {
    int num = (int)g_hash_table_size(o->accounts);
    double* rates = g_new(double, num + 1);
    double sum = 0;
    int filled = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, o->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _wg_overload_account* account = value;
        rates[filled++] = account->rate;
        sum += account->rate;
    }
    double share = wg_fair_level(rates, num, o->limit) + MAX(o->limit - sum, 0);
    g_free(rates);
    return MAX(share, _WG_OVERLOAD_SHARE_KEPT * o->capacity / MAX(num, 1));
}

static void _wg_overload_update_shares(wg_overload* o, wg_time elapsed) {
    o->share = o->limit > 0 ? _wg_overload_share(o) : 0;
    double burst_max = _wg_overload_burst_max(o);
    double gained = o->share * (double)elapsed / WG_USEC_PER_SEC;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, o->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _wg_overload_account* account = value;
        account->is_over = o->limit > 0 && account->rate > o->share;
        account->burst = o->limit > 0 ? MIN(account->burst + gained, burst_max) : burst_max;
    }
}

/* Admits the fraction of a workspace's requests that its share allows. */
static bool _wg_overload_admits_part(const wg_overload* o, wg_time now,
                                     _wg_overload_account* account) {
    wg_time elapsed = MAX(now - o->ticked_at, WG_OVERLOAD_PERIOD);
    double current = _wg_overload_per_second(account->read, elapsed);
    double rate = MAX(MAX(account->rate, current), o->share);
    account->part += o->share / rate;
    if (account->part < 1) {
        return false;
    }
    account->part -= 1;
    return true;
}

/* ---- public functions ----------------------------------------------------------------------- */

wg_overload* wg_overload_setup(const wg_overload_desc* desc) {
    WG_ASSERT(desc->delay_max > 0);
    wg_overload* o = g_new0(wg_overload, 1);
    o->desc = *desc;
    o->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return o;
}

void wg_overload_shutdown(wg_overload* o) {
    g_hash_table_unref(o->accounts);
    g_free(o);
}

bool wg_overload_admits(wg_overload* o, wg_time now, uint64_t workspace) {
    _wg_overload_account* account = _wg_overload_account_of(o, workspace);
    account->read++;
    bool admits = true;
    if (o->limit > 0 && !account->is_over && account->burst >= 1) {
        account->burst -= 1;
    } else if (o->limit > 0) {
        admits = _wg_overload_admits_part(o, now, account);
    }
    o->admitted += admits;
    if (!admits) {
        o->refused++;
        o->refused_at = now;
    }
    return admits;
}

wg_overload_change wg_overload_tick(wg_overload* o, wg_time now, const wg_overload_sample* sample) {
    wg_time elapsed = o->ticked_at ? now - o->ticked_at : WG_OVERLOAD_PERIOD;
    if (elapsed <= 0) {
        return WG_OVERLOAD_UNCHANGED;
    }
    o->ticked_at = now;
    _wg_overload_update_rates(o, elapsed);
    wg_overload_change change = _wg_overload_adjust(o, now, sample);
    _wg_overload_update_shares(o, elapsed);
    return change;
}

bool wg_overload_is_limited(const wg_overload* o) {
    return o->limit > 0;
}

wg_time wg_overload_retry_after(wg_overload* o, wg_time left) {
    wg_time max = WG_OVERLOAD_RETRY_MAX;
    if (left != WG_TIME_NEVER) {
        max = MIN(max, left / _WG_OVERLOAD_HONOURED_DIVISOR);
    }
    if (max <= 0) {
        return 0;
    }
    double excess = o->limit > 0 ? MAX(o->read_rate / o->limit, 1) : 1;
    double longest = MIN(excess * _WG_OVERLOAD_RETRY_TO, (double)max);
    double shortest = MIN(excess * _WG_OVERLOAD_RETRY_FROM, longest / 2);
    return wg_jitter_range(o->desc.seed, ++o->counter, (wg_time)shortest, (wg_time)longest);
}

wg_overload_stats wg_overload_query_stats(const wg_overload* o) {
    wg_overload_stats stats = {.limit = o->limit,
                               .read = o->read_rate,
                               .refused = o->refused,
                               .workspace_limit = o->share};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, o->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _wg_overload_account* account = value;
        if (account->rate > stats.largest_read) {
            stats.largest = account->workspace;
            stats.largest_read = account->rate;
        }
    }
    return stats;
}
