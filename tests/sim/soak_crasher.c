/* soak_crasher.c -- a caller of the fault soak whose request crashes each target that runs it

   The request is sent repeatedly, to random hosts, beside all other faults. Once the fault phase is
   over and all hosts serve, it is sent for CRASH_CHECK_TIME more: by then all hosts have to refuse
   it. */
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/wait.h>

#include "soak_internal.h"
#include "wg_net.h"

enum {
    CRASH_STATUS = 70, /* exit status of a fake target that a request crashed */
    CRASH_GAP_MS = 400,
    CRASH_SPAN_MS = 1200,
    DOWN_MS = 300,
    DOWN_SPAN_MS = 2000,
    ENDS_KNOWN = 3, /* crashes after which all hosts have to refuse the request */
    KNOWN_AFTER = 4 * WG_USEC_PER_SEC,
    ENDS_LATE_MOST = 3, /* crashes allowed after KNOWN_AFTER */
    LAST_TIME =
        14 * WG_USEC_PER_SEC, /* long enough to exceed ENDS_LATE_MOST if hosts don't refuse */
    LAST_GAP_MS = 250
};

/* ---- helpers --------------------------------------------------------------------------------- */

static void on_answer(struct evhttp_request* request, void* user_data) {
    soak* s = user_data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    if (status == 200) {
        soak_broken(s, "a request that ends targets was answered as whole");
    }
}

static void send_crashing(soak* s, const host* w) {
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    wgn_split_address(w->callers, ip, &port);
    struct evhttp_connection* connection = evhttp_connection_base_new(s->base, NULL, ip, port);
    evhttp_connection_set_timeout(connection, 3);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_free_on_completion(connection);
    struct evhttp_request* request = evhttp_request_new(on_answer, s);
    struct evkeyvalq* out = evhttp_request_get_output_headers(request);
    char id[32];
    g_snprintf(id, sizeof id, "crash-%d", ++s->crashes_sent);
    evhttp_add_header(out, "Host", "soak");
    evhttp_add_header(out, "Walnutgate-Request", id);
    evhttp_add_header(out, "Walnutgate-Key", "key");
    evhttp_add_header(out, "Walnutgate-Prompt-Parts", "1:800,crash:200");
    evhttp_add_header(out, "Walnutgate-Prompt-Tokens", "1000,25");
    evbuffer_add_printf(evhttp_request_get_output_buffer(request), "ends the target");
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, "/stream/25");
}

/* A crash counts as late only during the crash check, when there are no other faults. */
static void note_crash(soak* s, wg_time now) {
    s->result.crashes++;
    if (s->result.crashes == ENDS_KNOWN) {
        s->third_crash_at = now;
    }
    bool late = s->result.crashes > ENDS_KNOWN && now > s->third_crash_at + KNOWN_AFTER;
    s->crashes_late += late && s->last_crashes_at > 0;
}

/* ---- functions of the soak ------------------------------------------------------------------- */

void soak_crash_watch(soak* s) {
    for (int i = 0; i < s->h.targets_num; i++) {
        host_target* t = &s->h.targets[i];
        int status;
        if (t->pid <= 0 || waitpid(t->pid, &status, WNOHANG) != t->pid) {
            continue;
        }
        t->pid = 0;
        if (WIFEXITED(status) && WEXITSTATUS(status) == CRASH_STATUS) {
            note_crash(s, wg_now());
        }
        if (!soak_is_repairing(s, i, true)) {
            soak_plan_repair(s, REPAIR_TARGET, i, true, DOWN_MS + (int)soak_draw(s, DOWN_SPAN_MS),
                             soak_disturb(s));
        }
    }
}

void soak_crash(soak* s, wg_time now) {
    if (!s->desc.crashes || now < s->crash_at) {
        return;
    }
    s->crash_at = now + (CRASH_GAP_MS + (wg_time)soak_draw(s, CRASH_SPAN_MS)) * WG_USEC_PER_MSEC;
    send_crashing(s, soak_any_host(s));
}

bool soak_crash_is_known(soak* s, wg_time now) {
    if (!s->desc.crashes) {
        return true;
    }
    s->last_crashes_at = s->last_crashes_at ? s->last_crashes_at : now;
    if (now >= s->crash_at) {
        s->crash_at = now + LAST_GAP_MS * WG_USEC_PER_MSEC;
        send_crashing(s, soak_any_host(s));
    }
    if (s->crashes_late > ENDS_LATE_MOST) {
        soak_broken(s, "a request under which three targets had ended was sent to %d more",
                    s->crashes_late);
    }
    return now - s->last_crashes_at >= LAST_TIME;
}
