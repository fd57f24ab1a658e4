/* wg_fair.c -- see wg_fair.h */
#include "wg_fair.h"

#include <stdlib.h>
#include <string.h>

/* Up to this many times the level a workspace waits as long as any. */
static const double WG_FAIR_FULL_AT = 1.05;
/* From this many times the level on it has the least patience. */
static const double WG_FAIR_LEAST_AT = 1.4;
static const double WG_FAIR_LEAST = 0.1;

static int wg_fair_compare(const void* a, const void* b) {
    double first = *(const double*)a;
    double second = *(const double*)b;
    return first < second ? -1 : first > second;
}

double wg_fair_level(const double* asked, int num, double served) {
    if (num == 0) {
        return 0;
    }
    double* sorted = g_new(double, num);
    memcpy(sorted, asked, sizeof *sorted * (size_t)num);
    qsort(sorted, (size_t)num, sizeof *sorted, wg_fair_compare);
    double left = served;
    double level = sorted[num - 1];
    for (int i = 0; i < num; i++) {
        double even = left / (num - i);
        if (sorted[i] > even) {
            level = even;
            break;
        }
        left -= sorted[i];
    }
    g_free(sorted);
    return level;
}

double wg_fair_patience(double used, double level) {
    if (level <= 0 || used <= level * WG_FAIR_FULL_AT) {
        return 1;
    }
    double above = (used / level - WG_FAIR_FULL_AT) / (WG_FAIR_LEAST_AT - WG_FAIR_FULL_AT);
    return MAX(1 - above * (1 - WG_FAIR_LEAST), WG_FAIR_LEAST);
}
