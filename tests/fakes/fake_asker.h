#pragma once
/*
    fake_asker.h -- checks that hosts obey the backoff hints and the draining notice of a target

    The header ASKER_FIELD names the host that forwarded a request. A host that got a backoff hint may
    send ASKER_MOST requests from ASKER_ON_ITS_WAY_US after the answer until the backoff period
    ends. A host that was notified that the target is draining may send none later than
    ASKER_LEAVES_US afterwards.
*/
#include "fake.h"

#define ASKER_FIELD "Asked-Host"

enum {
    ASKERS_MAX = 64,
    ASKER_RESTS_MAX = 512,                        /* current backoff periods per host */
    ASKER_ON_ITS_WAY_US = 500 * WG_USEC_PER_MSEC, /* grace for requests in flight */
    ASKER_MOST = 2,                               /* requests allowed in a backoff period */
    /* 2 s for the notice to spread, and the time that a request may have waited at its host. */
    ASKER_LEAVES_US = 2200 * WG_USEC_PER_MSEC
};

typedef struct {
    wg_time from; /* the answer's time plus ASKER_ON_ITS_WAY_US */
    wg_time until;
    int arrivals;
} asker_rest;

typedef struct {
    char name[32];
    asker_rest rests[ASKER_RESTS_MAX];
    int rests_num;
    wg_time told_leaving_at; /* 0: not notified */
} asker;

/* The rules that a request violates. */
typedef struct {
    bool in_rest;
    bool after_leaving;
    wg_time since; /* start of the backoff period, or time of the notice */
} asker_broken;

static asker askers[ASKERS_MAX];
static int askers_num;

static asker* asker_find(const char* name) {
    for (int i = 0; i < askers_num; i++) {
        if (strcmp(askers[i].name, name) == 0) {
            return &askers[i];
        }
    }
    WG_ASSERT(askers_num < ASKERS_MAX);
    asker* a = &askers[askers_num++];
    g_strlcpy(a->name, name, sizeof a->name);
    return a;
}

static void asker_drop_over(asker* a, wg_time now) {
    int kept = 0;
    for (int i = 0; i < a->rests_num; i++) {
        if (a->rests[i].until >= now) {
            a->rests[kept++] = a->rests[i];
        }
    }
    a->rests_num = kept;
}

static void asker_ask_for_rest(asker* a, wg_time now, wg_time rest) {
    asker_drop_over(a, now);
    if (a->rests_num < ASKER_RESTS_MAX && rest > ASKER_ON_ITS_WAY_US) {
        a->rests[a->rests_num++] =
            (asker_rest){.from = now + ASKER_ON_ITS_WAY_US, .until = now + rest};
    }
}

static void asker_tell_leaving(asker* a, wg_time now) {
    a->told_leaving_at = a->told_leaving_at ? a->told_leaving_at : now;
}

static asker_broken asker_note_arrival(asker* a, wg_time now) {
    asker_broken broken = {0};
    for (int i = 0; i < a->rests_num; i++) {
        asker_rest* r = &a->rests[i];
        r->arrivals += now >= r->from && now <= r->until;
        if (r->arrivals == ASKER_MOST + 1) {
            broken.in_rest = true;
            broken.since = r->from;
        }
    }
    if (a->told_leaving_at && now - a->told_leaving_at > ASKER_LEAVES_US) {
        broken.after_leaving = true;
        broken.since = a->told_leaving_at;
    }
    return broken;
}

static asker* asker_of(struct evhttp_request* request) {
    const char* name = evhttp_find_header(evhttp_request_get_input_headers(request), ASKER_FIELD);
    return asker_find(name ? name : "");
}

/* Checks a request against what its host was asked for; while the target is draining, adds the
   notice to the answer. */
static asker_broken asker_check(struct evhttp_request* request) {
    wg_time now = wg_now();
    asker* a = asker_of(request);
    asker_broken broken = asker_note_arrival(a, now);
    if (fake.leaving) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Target-Leaving", "1");
        asker_tell_leaving(a, now);
    }
    return broken;
}

/* Refuses a request as not run; a 503 carries a backoff hint if fault rest_ms is set. */
static void asker_refuse(struct evhttp_request* request, int status) {
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Target-Not-Run", "1");
    if (status == 503 && fake.rest_ms > 0) {
        char seconds[32];
        g_snprintf(seconds, sizeof seconds, "%.3f", (double)fake.rest_ms / 1000);
        evhttp_add_header(out, "Retry-After", seconds);
        asker_ask_for_rest(asker_of(request), wg_now(), fake.rest_ms * WG_USEC_PER_MSEC);
    }
    wgh_reply_text(request, status, "text/plain", "not run\n");
}
