#pragma once
/*
    fake_sender.h -- checks that hosts obey the backoff hints and the draining notice of a target

    The header SENDER_HEADER names the host that forwarded a request. A host that got a backoff
    hint may send SENDER_BACKOFF_REQUESTS_MAX requests from SENDER_IN_FLIGHT_US after the answer
    until the backoff period ends. A host that was notified that the target is draining may send
    none later than SENDER_DRAIN_US afterwards.
*/
#include "fake.h"

#define SENDER_HEADER "Asked-Host"

enum {
    SENDERS_MAX = 64,
    SENDER_BACKOFFS_MAX = 512,                    /* current backoff periods per host */
    SENDER_IN_FLIGHT_US = 500 * WG_USEC_PER_MSEC, /* grace for requests in flight */
    SENDER_BACKOFF_REQUESTS_MAX = 2,              /* requests allowed in a backoff period */
    /* 2 s for the notice to spread, and the time that a request may have waited at its host. */
    SENDER_DRAIN_US = 2200 * WG_USEC_PER_MSEC
};

typedef struct {
    wg_time from; /* the answer's time plus SENDER_IN_FLIGHT_US */
    wg_time until;
    int arrivals;
} sender_backoff;

typedef struct {
    char name[32];
    sender_backoff backoffs[SENDER_BACKOFFS_MAX];
    int backoffs_num;
    wg_time drain_notified_at; /* 0: not notified */
} sender;

/* The rules that a request violates. */
typedef struct {
    bool in_backoff;
    bool after_drain;
    wg_time since; /* start of the backoff period, or time of the notice */
} sender_violation;

static sender senders[SENDERS_MAX];
static int senders_num;

static sender* sender_find(const char* name) {
    for (int i = 0; i < senders_num; i++) {
        if (strcmp(senders[i].name, name) == 0) {
            return &senders[i];
        }
    }
    WG_ASSERT(senders_num < SENDERS_MAX);
    sender* s = &senders[senders_num++];
    g_strlcpy(s->name, name, sizeof s->name);
    return s;
}

static void sender_drop_expired(sender* s, wg_time now) {
    int kept_num = 0;
    for (int i = 0; i < s->backoffs_num; i++) {
        if (s->backoffs[i].until >= now) {
            s->backoffs[kept_num++] = s->backoffs[i];
        }
    }
    s->backoffs_num = kept_num;
}

static void sender_begin_backoff(sender* s, wg_time now, wg_time backoff) {
    sender_drop_expired(s, now);
    if (s->backoffs_num < SENDER_BACKOFFS_MAX && backoff > SENDER_IN_FLIGHT_US) {
        s->backoffs[s->backoffs_num++] =
            (sender_backoff){.from = now + SENDER_IN_FLIGHT_US, .until = now + backoff};
    }
}

static void sender_notify_drain(sender* s, wg_time now) {
    s->drain_notified_at = s->drain_notified_at ? s->drain_notified_at : now;
}

static sender_violation sender_record_request(sender* s, wg_time now) {
    sender_violation violation = {0};
    for (int i = 0; i < s->backoffs_num; i++) {
        sender_backoff* r = &s->backoffs[i];
        r->arrivals += now >= r->from && now <= r->until;
        if (r->arrivals == SENDER_BACKOFF_REQUESTS_MAX + 1) {
            violation.in_backoff = true;
            violation.since = r->from;
        }
    }
    if (s->drain_notified_at && now - s->drain_notified_at > SENDER_DRAIN_US) {
        violation.after_drain = true;
        violation.since = s->drain_notified_at;
    }
    return violation;
}

static sender* sender_of(struct evhttp_request* request) {
    const char* name = evhttp_find_header(evhttp_request_get_input_headers(request), SENDER_HEADER);
    return sender_find(name ? name : "");
}

/* Checks a request against the hints that its host received; while the target is draining, adds the
   notice to the answer. */
static sender_violation sender_check(struct evhttp_request* request) {
    wg_time now = wg_now();
    sender* s = sender_of(request);
    sender_violation violation = sender_record_request(s, now);
    if (fake.leaving) {
        evhttp_add_header(evhttp_request_get_output_headers(request), "Target-Leaving", "1");
        sender_notify_drain(s, now);
    }
    return violation;
}

/* Refuses a request as not run; a 503 carries a backoff hint if fault rest_ms is set. */
static void sender_refuse(struct evhttp_request* request, int status) {
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Target-Not-Run", "1");
    if (status == 503 && fake.rest_ms > 0) {
        char seconds[32];
        g_snprintf(seconds, sizeof seconds, "%.3f", (double)fake.rest_ms / 1000);
        evhttp_add_header(out, "Retry-After", seconds);
        sender_begin_backoff(sender_of(request), wg_now(), fake.rest_ms * WG_USEC_PER_MSEC);
    }
    wgh_reply_text(request, status, "text/plain", "not run\n");
}
