#pragma once
/*
    fake_asker.h -- what a target stand-in asked of each host, and whether the host keeps to it

    Requests name the host that they were sent to in the field ASKER_FIELD. A host that was asked
    for rest may send two requests from half a second after the answer until the rest is over; one
    that was told that the target leaves may send none later than ASKER_LEAVES_US afterwards.
*/
#include "fake.h"

#define ASKER_FIELD "Asked-Host"

enum {
    ASKERS_MAX = 64,       /* hosts */
    ASKER_RESTS_MAX = 512, /* that one host was asked for and that are not over */
    ASKER_ON_ITS_WAY_US = 500 * WG_USEC_PER_MSEC,
    ASKER_MOST = 2, /* requests within a rest */
    /* 2 s as of a drain, and what a request may have waited at its host. */
    ASKER_LEAVES_US = 2200 * WG_USEC_PER_MSEC
};

/* From half a second after the answer that asked for it. */
typedef struct {
    wg_time from;
    wg_time until;
    int arrivals;
} asker_rest;

typedef struct {
    char name[32];
    asker_rest rests[ASKER_RESTS_MAX];
    int rests_num;
    wg_time told_leaving_at; /* 0: not told */
} asker;

/* What an arrival breaks; the times tell which answer it broke. */
typedef struct {
    bool in_rest;
    bool after_leaving;
    wg_time since; /* the first moment from which on it was not allowed */
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

/* A request has come: does its host keep to what it was asked for? Where the target leaves, the
   answer says so. */
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

/* Turn a request away as not run; a 503 asks for rest, as the faults say. */
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
