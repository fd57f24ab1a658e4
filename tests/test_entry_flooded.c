/* test_entry_flooded.c -- one entry host that more callers press than it can serve at once

   A host of 0.09 of a core got all requests of one workspace, 2,000 to 3,500 a second. Callers
   there lost patience and closed their connections, and targets worked on for more than half a
   second for 6 of 13 of them, and later for 4 of 9. The loop's tick and the links to other hosts
   were in time, since they go first. The end of a caller's connection did not: it stood in one line
   with all new requests, and not once but three times: to be read from the socket, to be told to
   the host, and to close the connection to the target. Each time took as long as all callers that
   have sent something take. Evidence: the lines of that host, from 2.4 s to 7.3 s and from 45.7 s
   to 52.9 s of the day, "LOOP_BEHIND: waited_ms=227" to "waited_ms=488" for one round, three of
   which are 0.7 to 1.5 s. */
#include "one_entry.h"

enum {
    FLOOD = 480, /* callers; the listener's queue holds 512 */
    TIMEOUT_MS = 5000,
    /* Of the flood, before the work of a caller that has left is stopped: what the loop may take
       between two looks at what goes first, for each of the three steps that lead there. */
    BEFORE_MOST = 3 * 64
};

static int flood[FLOOD];

/* ---- helpers ----------------------------------------------------------------------------------
 */

static void begin(void) {
    one_entry_begin();
    char* document = g_strdup_printf(
        "{\"version\":5,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_ms\":%d,\"objective_ms\":500,"
        "\"attempts\":1,\"service\":\"e\"}],\"limits\":{},\"workspaces\":[]}",
        TIMEOUT_MS);
    fake_control_leads(&leader,
                       &(fake_word){.version = 5, .document = document, .target = target_at});
    g_free(document);
    turns(20);
}

static void flood_connect(void) {
    struct sockaddr_storage to;
    int size;
    char* callers = local_address(11, CALLERS_PORT);
    ck_assert(wgn_parse_address(callers, &to, &size));
    for (int i = 0; i < FLOOD; i++) {
        flood[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        ck_assert(connect(flood[i], (struct sockaddr*)&to, (socklen_t)size) == 0 ||
                  errno == EINPROGRESS);
    }
    g_free(callers);
    turns(50);
}

/* A request of each caller, all at once and unread by the host. */
static void flood_send(const char* request) {
    for (int i = 0; i < FLOOD; i++) {
        ck_assert_int_eq(send(flood[i], request, strlen(request), MSG_NOSIGNAL),
                         (ssize_t)strlen(request));
    }
}

static int flood_answered(void) {
    int num = 0;
    char byte;
    for (int i = 0; i < FLOOD; i++) {
        num += recv(flood[i], &byte, 1, MSG_PEEK) > 0;
    }
    return num;
}

static void flood_close(void) {
    for (int i = 0; i < FLOOD; i++) {
        close(flood[i]);
    }
}

/* Has the host closed the connection on which the target was asked? */
static bool work_is_stopped(void) {
    char byte;
    return hung_up || recv(bufferevent_getfd(asked_on), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* ---- tests ------------------------------------------------------------------------------------
 */

START_TEST(work_for_a_caller_that_left_stops_before_new_requests_are_taken) {
    begin();
    int fd = caller("/a/x", "");
    ck_assert(target_was_asked());
    flood_connect();
    flood_send("GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
    close(fd);
    int rounds = 0;
    while (!work_is_stopped() && rounds++ < TURNS) {
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
    ck_assert(work_is_stopped());
    ck_assert_int_le(flood_answered(), BEFORE_MOST);
    flood_close();
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("entry flooded", work_for_a_caller_that_left_stops_before_new_requests_are_taken)
