#pragma once
/*
    wg_speed.h -- predicts the time until the first event of a prompt at a target

    WHAT IT DOES
        Models the time to the first event as a base time plus the tokens to be read divided by the
        reading speed. Learns both from pairs of tokens and time. Pure.

    FEATURES
        - weighted least squares with forgetting: a sample counts less the more tokens it has, as
          its spread grows with its size
        - samples far off the prediction count less, so that short stalls of a target do not pass
          for its speed
        - stable with samples of one size: what they cannot tell apart keeps its last value
        - the learned values can be passed on, so that they survive the process that learned them
        - with `learn_base` off: a fixed base time, a narrow range of speeds, large samples only

    USE
        1. wg_speed s;
           wg_speed_setup(&s, &(wg_speed_desc){.learn_base = true});
        2. wg_speed_start(&s, &mean);              // optional: start values of similar targets
           wg_speed_adopt(&s, &values);            // optional: values learned elsewhere
        3. wg_time expected = wg_speed_wait(&s, tokens);
        4. wg_speed_record(&s, tokens, time);      // tokens read until the first event

    THE CALLER OWNS
        the state, one per target, a plain value. Times are microseconds.
*/
#include "wg_base.h"

enum {
    /* Bounds of a learned base time in microseconds. */
    WG_SPEED_BASE_MIN = 0,
    WG_SPEED_BASE_MAX = 200 * WG_USEC_PER_MSEC,
    /* Highest number of samples stated in wg_speed_values. Older samples are forgotten, so more
       samples do not make values better. */
    WG_SPEED_SAMPLES_MAX = 100
};

/* Learned values of a target. */
typedef struct {
    double base;      /* microseconds until the first event besides reading */
    double speed;     /* tokens read per microsecond */
    uint32_t samples; /* samples that the values were learned from; 0: start values */
} wg_speed_values;

typedef struct {
    bool learn_base; /* learn the base time, and speeds in a wide range */
    /* weight of a new sample while `learn_base` is off; default 0.05 */
    double weight;
} wg_speed_desc;

/* Weighted sums over samples (x: tokens, y: microseconds). */
typedef struct {
    double w;
    double wx;
    double wy;
    double wxx;
    double wxy;
} wg_speed_sums;

typedef struct {
    wg_speed_desc desc;
    wg_speed_values values; /* current values; read with wg_speed_values_of() */
    wg_speed_sums sums;     /* of recent samples */
    /* values that hold where samples leave the solution open, and their weight in samples */
    wg_speed_values anchor;
    double anchor_weight;
} wg_speed;

void wg_speed_setup(wg_speed* speed, const wg_speed_desc* desc);
/* Replaces the start values, for example with the mean of similar targets. Does nothing if samples
   are known or `learn_base` is off. */
void wg_speed_start(wg_speed* speed, const wg_speed_values* values);
/* Continues from values learned elsewhere. False, without effect, if they are invalid, if they
   have no samples, or if `learn_base` is off. */
bool wg_speed_adopt(wg_speed* speed, const wg_speed_values* values);
/* Records that the target needed `time` until the first event of a prompt and read `tokens` in that
   time, including those queued before it. */
void wg_speed_record(wg_speed* speed, double tokens, wg_time time);
/* Returns the current values. */
wg_speed_values wg_speed_values_of(const wg_speed* speed);
/* Expected time to read the tokens. */
wg_time wg_speed_read_time(const wg_speed* speed, double tokens);
/* Expected time to the first event if the target has to read that many tokens. */
wg_time wg_speed_wait(const wg_speed* speed, double tokens);
