/* test_crowd_handoff.c -- real processes: crowds whose requests are handed off to another host

   The first host is short of descriptors, as idle callers keep connections there, so it hands
   requests off. */
#include "crowd_entry.h"

enum {
    MEMORY_MB = 64,    /* of each machine: setting memory_mb */
    DESCRIPTORS = 100, /* of the host that hands off; it is short of them from 60 on */
    IDLE = 56,         /* callers that keep connections */
    CONNECTIONS = 12
};

static const char settings[] =
    "[limits]\nmemory_mb=64\ndescriptors=100\nheld_mb=8\nunread_ms=5000\n";

#define SLOW "GET /slow/x HTTP/1.1\r\n" CROWD_FIELDS "\r\n"
#define SMALL "GET /small HTTP/1.1\r\n" CROWD_FIELDS "\r\n"

/* Requests that the host has handed off, by its metrics. */
static int64_t handed_off(const char* address) {
    static const char name[] = "walnutgate_entry_handed_off_total ";
    static const char now[] = "walnutgate_entry_handoffs ";
    static const char ask[] = "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    int fd = crowd_connect(address);
    GString* text = g_string_new(NULL);
    wg_time until = wg_now() + CROWD_ANSWER_MS * MSEC;
    bool asked = false;
    bool open = fd >= 0;
    while (open && wg_now() < until) {
        char bytes[4096];
        asked = asked || send(fd, ask, sizeof ask - 1, MSG_NOSIGNAL) > 0;
        ssize_t got = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
        open = got > 0 || (got < 0 && (errno == EAGAIN || errno == ENOTCONN));
        g_string_append_len(text, bytes, MAX(got, 0));
        crowd_run_hosts();
    }
    close(fd);
    const char* at = strstr(text->str, name);
    const char* at_now = strstr(text->str, now);
    int64_t num = (at ? g_ascii_strtoll(at + sizeof name - 1, NULL, 10) : 0) +
                  (at_now ? g_ascii_strtoll(at_now + sizeof now - 1, NULL, 10) : 0);
    g_string_free(text, TRUE);
    return num;
}

static bool play(const crowd_kind* kind) {
    crowd_hosts_begin(settings, true);
    const host* owner = &crowd_hosts.hosts[0];
    const host* peer = &crowd_hosts.hosts[1];
    int idle[IDLE];
    for (int i = 0; i < IDLE; i++) {
        idle[i] = crowd_connect(owner->callers);
    }
    hosts_run_for(&crowd_hosts, 2000); /* until the host has links to its peers */
    crowd_reset_memory(peer->entry);
    bool good = crowd_holds(kind, owner->callers, owner->entry, crowd_run_hosts,
                            &(crowd_bounds){.ask_address = owner->callers,
                                            .ask = CROWD_ORDINARY,
                                            .other_address = peer->callers,
                                            .other = CROWD_ORDINARY,
                                            .memory_mb = MEMORY_MB,
                                            .descriptors = DESCRIPTORS});
    int64_t num = handed_off(owner->ready);
    int64_t peer_kb = crowd_status_kb(peer->entry, "VmHWM:");
    printf("%s: %d handed off, the peer held %.1f of %d MB\n", kind->name, (int)num,
           (double)peer_kb / 1024, MEMORY_MB);
    fflush(stdout);
    good = good && num > 0 && peer_kb >= 0 && peer_kb <= MEMORY_MB * 1024;
    for (int i = 0; i < IDLE; i++) {
        close(idle[i]);
    }
    crowd_hosts_end(good);
    return good;
}

static crowd_kind ahead(const char* name, const char* first, const char* block) {
    return (crowd_kind){
        .name = name, .first = first, .block = block, .connections = CONNECTIONS, .kb = 20000};
}

START_TEST(bytes_behind_a_slow_request) {
    crowd_kind kind = ahead("handed off: bytes behind a slow request", SLOW, "xxxxxxxxxxxxxxxx");
    ck_assert(play(&kind));
}
END_TEST

START_TEST(requests_behind_a_slow_request) {
    crowd_kind kind = ahead("handed off: requests behind a slow request", SLOW, SMALL);
    ck_assert(play(&kind));
}
END_TEST

START_TEST(usual_requests) {
    crowd_kind kind = ahead("handed off: usual requests", NULL, SMALL);
    ck_assert(play(&kind));
}
END_TEST

START_TEST(requests_for_large_answers) {
    crowd_kind kind = ahead("handed off: answers of 1 MB", NULL,
                            "GET /large/1000000 HTTP/1.1\r\n" CROWD_FIELDS "\r\n");
    ck_assert(play(&kind));
}
END_TEST

START_TEST(bodies_of_slow_requests) {
    char* filling = g_strnfill(200000, 'a');
    char* first = g_strconcat(
        "POST /slow/x HTTP/1.1\r\nContent-Length: 200000\r\n" CROWD_FIELDS "\r\n", filling, NULL);
    crowd_kind kind = ahead("handed off: bodies of slow requests", first, first);
    ck_assert(play(&kind));
    g_free(first);
    g_free(filling);
}
END_TEST

WG_TEST_MAIN("crowds whose requests are handed off", bytes_behind_a_slow_request,
             requests_behind_a_slow_request, usual_requests, requests_for_large_answers,
             bodies_of_slow_requests)
