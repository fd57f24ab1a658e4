/* wg_hist.c -- histogram with logarithmic buckets; see wg_base.h */
#include "wg_base.h"

/* ---- helpers ------------------------------------------------------------------------------ */

/* Bucket of a value, from its highest set bit and the two bits below it. */
static int _wg_hist_bucket(uint64_t value) {
    if (value < 4) {
        return (int)value;
    }
    int high = 63 - __builtin_clzll(value);
    int bucket = high * 4 + (int)((value >> (high - 2)) & 3) - 4;
    return MIN(bucket, WG_HIST_BUCKETS - 1);
}

/* Midpoint of the range of a bucket. */
static uint64_t _wg_hist_value(int bucket) {
    if (bucket < 4) {
        return (uint64_t)bucket;
    }
    int high = (bucket + 4) / 4;
    uint64_t step = 1ULL << (high - 2);
    return (1ULL << high) + (uint64_t)((bucket + 4) % 4) * step + step / 2;
}

/* ---- public functions --------------------------------------------------------------------- */

void wg_hist_add(wg_hist* hist, int64_t value) {
    uint64_t positive = value > 0 ? (uint64_t)value : 0;
    hist->counts[_wg_hist_bucket(positive)]++;
    hist->num++;
    hist->sum += positive;
    hist->max = MAX(hist->max, positive);
}

uint64_t wg_hist_quantile(const wg_hist* hist, double quantile) {
    uint64_t rank = (uint64_t)((double)hist->num * quantile);
    uint64_t seen = 0;
    for (int i = 0; i < WG_HIST_BUCKETS; i++) {
        seen += hist->counts[i];
        if (seen > rank) {
            return MIN(_wg_hist_value(i), hist->max);
        }
    }
    return hist->max;
}

void wg_hist_print(const wg_hist* hist, const char* name, const char* labels, double scale,
                   GString* out) {
    static const double quantiles[] = {0.5, 0.95, 0.99};
    const char* comma = labels[0] ? "," : "";
    for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
        double value = (double)wg_hist_quantile(hist, quantiles[i]) / scale;
        g_string_append_printf(out, "%s{%s%squantile=\"%g\"} %.6f\n", name, labels, comma,
                               quantiles[i], value);
    }
    g_string_append_printf(out, "%s_sum{%s} %.6f\n", name, labels, (double)hist->sum / scale);
    g_string_append_printf(out, "%s_count{%s} %" G_GUINT64_FORMAT "\n", name, labels, hist->num);
}
