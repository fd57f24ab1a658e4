/* soak_eras.c -- routes that a version added some seconds ago, asked at every host all the time

   A host may be unable to serve them, but none may say that they do not exist: neither one that
   stood still or is cut off, nor one that has just started. */
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "soak_internal.h"
#include "wg_net.h"

enum {
    CHECK_INTERVAL = 200 * WG_USEC_PER_MSEC,
    ANSWER_S = 8 /* longer than a host stands still */
};

typedef struct {
    soak* s;
    int number; /* index of the host */
    int era;
    wg_time sent_at;
} era_request;

/* ---- helpers --------------------------------------------------------------------------------- */

static void on_era_answer(struct evhttp_request* request, void* user_data) {
    era_request* r = user_data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    if (status == 401 || status == 403 || status == 404) {
        soak_record_violation(
            r->s, "host %d answered %d for a route that was acknowledged %d ms before the request",
            r->number + 1, status, (int)((r->sent_at - r->s->eras[r->era]) / WG_USEC_PER_MSEC));
    }
    g_free(r);
}

static void ask_host(soak* s, int number, int era) {
    char ip[WG_ADDRESS_MAX];
    char path[32];
    uint16_t port;
    era_request* r = g_new(era_request, 1);
    *r = (era_request){s, number, era, wg_now()};
    wgn_split_address(s->h.hosts[number].callers, ip, &port);
    struct evhttp_connection* connection = evhttp_connection_base_new(s->base, NULL, ip, port);
    evhttp_connection_set_timeout(connection, ANSWER_S);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_free_on_completion(connection);
    struct evhttp_request* request = evhttp_request_new(on_era_answer, r);
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Host", "soak");
    evhttp_add_header(out, "Walnutgate-Key", "key");
    g_snprintf(path, sizeof path, "/era-%d/x", era);
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, path);
}

/* The newest era that all hosts have to obey; 0: none. */
static int newest_era(const soak* s, wg_time now) {
    int newest = 0;
    for (int era = 1; era < (int)G_N_ELEMENTS(s->eras); era++) {
        newest = s->eras[era] > 0 && now - s->eras[era] > CHANGE_TIME ? era : newest;
    }
    return newest;
}

/* ---- functions of the soak ------------------------------------------------------------------- */

void soak_record_era(soak* s, int version) {
    wg_time* acknowledged_at = &s->eras[version / ERA_VERSIONS];
    *acknowledged_at = *acknowledged_at ? *acknowledged_at : wg_now();
}

void soak_check_eras(soak* s, wg_time now) {
    int era = newest_era(s, now);
    if (era == 0 || s->ended || now < s->next_era_check_at) {
        return;
    }
    s->next_era_check_at = now + CHECK_INTERVAL;
    for (int i = 0; i < s->h.num; i++) {
        if (!s->h.hosts[i].absent && s->h.hosts[i].entry > 0) {
            ask_host(s, i, era);
        }
    }
}
