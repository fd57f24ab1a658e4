/* bench_prefix.c -- prefix hits and balance of prefix affinity, random and least-loaded choice

   One router, virtual time. 20 targets each cache 64 of 400 prompt prefixes, whose frequency falls
   with their rank; a request with a cached prefix takes half the time. Every third notice of a
   dropped prefix is lost. */
#include <math.h>
#include <string.h>

#include "bench.h"
#include "wg_place.h"

enum {
    TARGETS = 20,
    SLOTS = 8,
    CACHE_PREFIXES = 64,
    PREFIXES = 400,
    REQUESTS = 60000,
    WORK_TIME = 100
};

typedef enum {
    POLICY_RANDOM = 0,
    POLICY_LEAST_LOADED,
    POLICY_AFFINITY,
    POLICY_NUM
} policy;

typedef struct {
    uint64_t cached[CACHE_PREFIXES];
    int next;
    wg_time ends[SLOTS]; /* 0: free */
    int running;
} target;

static target targets[TARGETS];
static wgp_place* place;

static void finish_until(wg_time now) {
    for (int t = 0; t < TARGETS; t++) {
        for (int s = 0; s < SLOTS; s++) {
            if (targets[t].ends[s] > 0 && targets[t].ends[s] <= now) {
                targets[t].ends[s] = 0;
                targets[t].running--;
                wgp_done(place, now, &(wgp_choice){.target = (uint32_t)t + 1}, WGP_RESULT_SUCCESS);
            }
        }
    }
}

static bool start_request(target* t, uint64_t prefix, wg_time now, uint64_t request) {
    bool hit = false;
    for (int i = 0; i < CACHE_PREFIXES; i++) {
        hit = hit || t->cached[i] == prefix;
    }
    if (!hit) {
        uint64_t dropped = t->cached[t->next];
        t->cached[t->next] = prefix;
        t->next = (t->next + 1) % CACHE_PREFIXES;
        if (dropped && request % 3 != 0) {
            wgp_forget_prefix(place, dropped, (uint32_t)(t - targets) + 1);
        }
    }
    for (int s = 0; s < SLOTS; s++) {
        if (t->ends[s] == 0) {
            t->ends[s] = now + (hit ? WORK_TIME / 2 : WORK_TIME);
            t->running++;
            break;
        }
    }
    return hit;
}

/* Prefix k has a frequency proportional to 1/k. */
static uint64_t sample_prefix(uint64_t request) {
    double u = (double)(wg_jitter(5, request) >> 11) / 9007199254740992.0;
    uint64_t rank = (uint64_t)exp(u * log(PREFIXES + 1.0));
    return MIN(rank, PREFIXES);
}

static uint32_t choose(policy chosen_policy, uint64_t prefix, wg_time now, uint64_t request) {
    if (chosen_policy == POLICY_RANDOM) {
        for (uint64_t i = 0;; i++) {
            uint32_t t = (uint32_t)(wg_jitter(9 + request, i) % TARGETS);
            if (targets[t].running < SLOTS) {
                return t + 1;
            }
        }
    }
    wgp_choice choice = {0};
    wgp_pick(place, now,
             &(wgp_request){.service = 1, .prefix = chosen_policy == POLICY_AFFINITY ? prefix : 0},
             &choice);
    return choice.target;
}

static void run(policy chosen_policy) {
    static const char* names[POLICY_NUM] = {"chance", "least-loaded", "affinity"};
    memset(targets, 0, sizeof targets);
    place = wgp_setup(&(wgp_desc){.seed = 4}, NULL);
    wgp_config_begin(place);
    for (uint32_t t = 0; t < TARGETS; t++) {
        wgp_config_target(place, t + 1, 1, "t", "127.0.0.1:1", "dc", SLOTS, false, 1);
        wgp_add_slots(place, t + 1, SLOTS);
    }
    wgp_config_end(place);
    wgp_set_lease(place, WG_TIME_NEVER);
    uint64_t hits = 0;
    double spread = 0;
    wg_time now = 1;
    for (uint64_t i = 0; i < REQUESTS; i++) {
        /* Without hits, about two thirds of the slots are busy. */
        now += 1 + (wg_time)(wg_jitter(2, i) % 2);
        finish_until(now);
        uint64_t prefix = sample_prefix(i);
        uint32_t id = choose(chosen_policy, prefix, now, i);
        if (id == 0) {
            continue;
        }
        wgp_choice choice = {.target = id};
        wgp_sent(place, &choice);
        hits += start_request(&targets[id - 1], prefix, now, i);
        wgp_record_prefix(place, prefix, id);
        int max_running = 0;
        int running_sum = 0;
        for (int t = 0; t < TARGETS; t++) {
            max_running = MAX(max_running, targets[t].running);
            running_sum += targets[t].running;
        }
        spread += max_running - (double)running_sum / TARGETS;
    }
    char line[64];
    g_snprintf(line, sizeof line, "targets by %s: prefix hits", names[chosen_policy]);
    bench_print(line, 100.0 * (double)hits / REQUESTS, "%");
    g_snprintf(line, sizeof line, "targets by %s: fullest over mean", names[chosen_policy]);
    bench_print(line, spread / REQUESTS, "requests");
    wgp_shutdown(place);
}

int main(void) {
    run(POLICY_RANDOM);
    run(POLICY_LEAST_LOADED);
    run(POLICY_AFFINITY);
    return 0;
}
