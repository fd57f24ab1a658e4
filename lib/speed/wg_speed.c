/* wg_speed.c -- see wg_speed.h */
#include "wg_speed.h"

#include <math.h>

/* ---- constants ----------------------------------------------------------------------------- */

enum {
    WG_SPEED_BASE_DEFAULT = 12 * WG_USEC_PER_MSEC,
    /* With a fixed base time: the smallest sample. Smaller ones are too noisy. */
    WG_SPEED_FIXED_TOKENS_MIN = 1500
};

/* Tokens per microsecond. */
static const double WG_SPEED_DEFAULT = 0.030;
static const double WG_SPEED_MIN = 0.002;
static const double WG_SPEED_MAX = 1.0;
static const double WG_SPEED_FIXED_MAX = 0.080; /* with a fixed base time */

static const double WG_SPEED_FIXED_WEIGHT = 0.05;

/* Weight that remains of a sample after the next one: about 50 samples count. */
static const double WG_SPEED_KEEP = 0.98;
/* Tokens at which the spread of a sample is twice that of a prompt without tokens. */
static const double WG_SPEED_SPREAD_TOKENS = 2000;
/* A sample that deviates from the prediction by more than this tolerance counts less, inversely to
   its deviation, down to the minimum. */
static const double WG_SPEED_TOLERANCE_TIME = 10 * WG_USEC_PER_MSEC;
static const double WG_SPEED_TOLERANCE_SHARE = 0.25;
static const double WG_SPEED_OUTLIER_WEIGHT_MIN = 0.2;

/* Tokens of the larger one of the two points by which given values enter the sums; the other one is
   0. Near the mean of long prompts, whose samples decide on the speed. */
static const double WG_SPEED_POINT_TOKENS = 8000;
/* Start values count as this many samples. They are forgotten sooner than samples, since they may
   be off by a factor of four, and never completely, so that the solution stays unique. */
static const double WG_SPEED_START_SAMPLES = 4;
static const double WG_SPEED_ANCHOR_KEEP = 0.85;
static const double WG_SPEED_ANCHOR_WEIGHT_MIN = 0.1;

/* ---- helpers ------------------------------------------------------------------------------- */

static double wg_speed_size_weight(double tokens) {
    double spread = 1 + tokens / WG_SPEED_SPREAD_TOKENS;
    return 1 / (spread * spread);
}

static void wg_speed_sums_add(wg_speed_sums* sums, double weight, double tokens, double time) {
    sums->w += weight;
    sums->wx += weight * tokens;
    sums->wy += weight * time;
    sums->wxx += weight * tokens * tokens;
    sums->wxy += weight * tokens * time;
}

static void wg_speed_sums_scale(wg_speed_sums* sums, double factor) {
    sums->w *= factor;
    sums->wx *= factor;
    sums->wy *= factor;
    sums->wxx *= factor;
    sums->wxy *= factor;
}

/* Adds two points on the line of the values, which together count as `samples`. */
static void wg_speed_sums_add_values(wg_speed_sums* sums, const wg_speed_values* values,
                                     double samples) {
    double time = values->base + WG_SPEED_POINT_TOKENS / values->speed;
    double weight = wg_speed_size_weight(WG_SPEED_POINT_TOKENS);
    wg_speed_sums_add(sums, samples / 2, 0, values->base);
    wg_speed_sums_add(sums, samples / 2 * weight, WG_SPEED_POINT_TOKENS, time);
}

static double wg_speed_clamp_base(double base) {
    return CLAMP(base, WG_SPEED_BASE_MIN, WG_SPEED_BASE_MAX);
}

/* Least squares over samples and anchor, within the bounds. The anchor's two points keep the
   determinant positive. */
static void wg_speed_solve(wg_speed* s) {
    wg_speed_sums sums = s->sums;
    wg_speed_sums_add_values(&sums, &s->anchor, s->anchor_weight);
    double determinant = sums.w * sums.wxx - sums.wx * sums.wx;
    double slope = (sums.w * sums.wxy - sums.wx * sums.wy) / determinant;
    double base = (sums.wy - slope * sums.wx) / sums.w;
    if (base != wg_speed_clamp_base(base)) {
        base = wg_speed_clamp_base(base);
        slope = (sums.wxy - base * sums.wx) / sums.wxx;
    }
    double slope_bounded = CLAMP(slope, 1 / WG_SPEED_MAX, 1 / WG_SPEED_MIN);
    if (slope != slope_bounded) {
        slope = slope_bounded;
        base = wg_speed_clamp_base((sums.wy - slope * sums.wx) / sums.w);
    }
    s->values.base = base;
    s->values.speed = 1 / slope;
}

static double wg_speed_outlier_weight(const wg_speed* s, double tokens, double time) {
    double expected = s->values.base + tokens / s->values.speed;
    double tolerance = WG_SPEED_TOLERANCE_TIME + WG_SPEED_TOLERANCE_SHARE * expected;
    double deviation = fabs(time - expected);
    if (deviation <= tolerance) {
        return 1;
    }
    return MAX(tolerance / deviation, WG_SPEED_OUTLIER_WEIGHT_MIN);
}

/* Once the start values are forgotten, the anchor follows the solution. */
static void wg_speed_update_anchor(wg_speed* s) {
    if (s->anchor_weight > WG_SPEED_ANCHOR_WEIGHT_MIN) {
        s->anchor_weight *= WG_SPEED_ANCHOR_KEEP;
        s->anchor_weight = MAX(s->anchor_weight, WG_SPEED_ANCHOR_WEIGHT_MIN);
    } else {
        s->anchor = s->values;
    }
}

/* With a fixed base time: learns the speed alone, as if all of the time except half of the base
   time was spent on reading. */
static void wg_speed_record_fixed(wg_speed* s, double tokens, wg_time time) {
    if (tokens < WG_SPEED_FIXED_TOKENS_MIN || time <= WG_SPEED_BASE_DEFAULT) {
        return;
    }
    wg_time reading = time - WG_SPEED_BASE_DEFAULT / 2;
    double sample = tokens / (double)reading;
    sample = CLAMP(sample, WG_SPEED_MIN, WG_SPEED_FIXED_MAX);
    s->values.speed += s->desc.weight * (sample - s->values.speed);
}

/* True if both values are within the bounds; false for values that are not numbers. */
static bool wg_speed_is_valid(const wg_speed_values* values) {
    return values->base >= WG_SPEED_BASE_MIN && values->base <= WG_SPEED_BASE_MAX &&
           values->speed >= WG_SPEED_MIN && values->speed <= WG_SPEED_MAX;
}

/* ---- public functions ---------------------------------------------------------------------- */

void wg_speed_setup(wg_speed* s, const wg_speed_desc* desc) {
    *s = (wg_speed){.desc = *desc};
    s->desc.weight = desc->weight > 0 ? desc->weight : WG_SPEED_FIXED_WEIGHT;
    s->values.base = WG_SPEED_BASE_DEFAULT;
    s->values.speed = WG_SPEED_DEFAULT;
    s->anchor = s->values;
    s->anchor_weight = WG_SPEED_START_SAMPLES;
}

void wg_speed_start(wg_speed* s, const wg_speed_values* values) {
    if (s->desc.learn_base && s->values.samples == 0 && wg_speed_is_valid(values)) {
        s->values.base = values->base;
        s->values.speed = values->speed;
        s->anchor = s->values;
    }
}

bool wg_speed_adopt(wg_speed* s, const wg_speed_values* values) {
    if (!s->desc.learn_base || values->samples == 0 || !wg_speed_is_valid(values)) {
        return false;
    }
    s->values = *values;
    s->values.samples = MIN(values->samples, WG_SPEED_SAMPLES_MAX);
    s->anchor = s->values;
    s->anchor_weight = WG_SPEED_ANCHOR_WEIGHT_MIN;
    s->sums = (wg_speed_sums){0};
    wg_speed_sums_add_values(&s->sums, &s->values,
                             MIN((double)s->values.samples, 1 / (1 - WG_SPEED_KEEP)));
    return true;
}

void wg_speed_record(wg_speed* s, double tokens, wg_time time) {
    if (!s->desc.learn_base) {
        wg_speed_record_fixed(s, tokens, time);
        return;
    }
    if (tokens < 0 || time <= 0) {
        return;
    }
    double weight = wg_speed_size_weight(tokens) * wg_speed_outlier_weight(s, tokens, (double)time);
    wg_speed_sums_scale(&s->sums, WG_SPEED_KEEP);
    wg_speed_sums_add(&s->sums, weight, tokens, (double)time);
    wg_speed_update_anchor(s);
    wg_speed_solve(s);
    s->values.samples = MIN(s->values.samples + 1, WG_SPEED_SAMPLES_MAX);
}

wg_speed_values wg_speed_values_of(const wg_speed* s) {
    return s->values;
}

wg_time wg_speed_read_time(const wg_speed* s, double tokens) {
    return (wg_time)(tokens / s->values.speed);
}

wg_time wg_speed_wait(const wg_speed* s, double tokens) {
    return (wg_time)s->values.base + wg_speed_read_time(s, tokens);
}
