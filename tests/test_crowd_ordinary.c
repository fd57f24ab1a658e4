/* test_crowd_ordinary.c -- real processes: what ordinary callers need stays while the bytes that a
   connection may hold are bounded */
#include "crowd_entry.h"

enum {
    EARLY_MAX = 300, /* requests sent at once */
    GUARD_MS = 20000 /* shorter than the route's time limit; nothing takes this long */
};

static const char settings[] = "[limits]\nmemory_mb=64\ndescriptors=400\nspare_descriptors=1\n"
                               "held_mb=8\nunread_ms=5000\n";

#define SLOW "GET /slow/x HTTP/1.1\r\n" CROWD_FIELDS "\r\n"
#define SMALL "GET /small HTTP/1.1\r\n" CROWD_FIELDS "\r\n"
#define STATE "GET /v1/state HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

/* ---- callers that leave -----------------------------------------------------------------------
 */

typedef struct {
    const char* name;
    int bytes;   /* sent behind the request */
    bool resets; /* else the caller closes */
} departure;

static const departure departures[] = {
    {"closes", 0, false},
    {"resets", 0, true},
    {"closes, a request behind", sizeof SMALL - 1, false},
    {"resets, a request behind", sizeof SMALL - 1, true},
    {"closes, 100 KB behind", 100 * 1000, false},
    {"resets, 100 KB behind", 100 * 1000, true},
    {"closes, 2 MB behind", 2000 * 1000, false},
    {"resets, 2 MB behind", 2000 * 1000, true},
};

/* Requests in progress at the first host, by its state; -1: it does not tell. */
static int64_t calls_in_progress(void) {
    static const char name[] = "\"calls\":";
    char text[4096] = "";
    size_t have = 0;
    bool asked = false;
    int fd = crowd_connect(crowd_hosts.hosts[0].ready);
    wg_time until = wg_now() + GUARD_MS * MSEC;
    while (fd >= 0 && wg_now() < until && have < sizeof text - 1) {
        asked = asked || send(fd, STATE, sizeof STATE - 1, MSG_NOSIGNAL) > 0;
        ssize_t got = recv(fd, text + have, sizeof text - 1 - have, MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != ENOTCONN)) {
            break;
        }
        have += got > 0 ? (size_t)got : 0;
        text[have] = 0;
        crowd_run_hosts();
    }
    close(fd);
    const char* at = strstr(text, name);
    return at ? g_ascii_strtoll(at + sizeof name - 1, NULL, 10) : -1;
}

static bool wait_for_calls(int64_t num) {
    wg_time until = wg_now() + GUARD_MS * MSEC;
    while (wg_now() < until) {
        if (calls_in_progress() == num) {
            return true;
        }
        hosts_run_for(&crowd_hosts, 20);
    }
    return false;
}

/* Sends the request and what follows, as far as the host and the kernels take it. */
static int connect_and_send(int behind) {
    GString* bytes = g_string_new(SLOW);
    while (behind > 0 && bytes->len < sizeof SLOW - 1 + (size_t)behind) {
        g_string_append(bytes, SMALL);
    }
    int fd = crowd_connect(crowd_hosts.hosts[0].callers);
    ck_assert_int_ge(fd, 0);
    size_t sent = 0;
    wg_time sent_at = wg_now();
    while (sent < bytes->len && wg_now() - sent_at < 300 * MSEC) {
        ssize_t size = send(fd, bytes->str + sent, bytes->len - sent, MSG_NOSIGNAL);
        if (size > 0) {
            sent += (size_t)size;
            sent_at = wg_now();
        }
        hosts_run_for(&crowd_hosts, 1);
    }
    g_string_free(bytes, TRUE);
    return fd;
}

static void leave(int fd, bool resets) {
    struct linger linger = {.l_onoff = resets};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    close(fd);
}

/* Guards against a request that goes on, and keeps its place, though its caller has left: also
   where more of its caller's bytes wait to be read. */
START_TEST(callers_that_leave_are_noticed) {
    int bad = 0;
    crowd_hosts_begin(settings, false);
    for (size_t i = 0; i < G_N_ELEMENTS(departures); i++) {
        const departure* d = &departures[i];
        int fd = connect_and_send(d->bytes);
        bool runs = wait_for_calls(1);
        hosts_run_for(&crowd_hosts, 300);
        bool stays = calls_in_progress() == 1;
        leave(fd, d->resets);
        bool noticed = wait_for_calls(0);
        printf("caller %s: runs %d, stays %d, noticed %d\n", d->name, runs, stays, noticed);
        fflush(stdout);
        bad += !runs || !stays || !noticed;
    }
    crowd_hosts_end(bad == 0);
    ck_assert_int_eq(bad, 0);
}
END_TEST

/* ---- requests sent early ----------------------------------------------------------------------
 */

static int count(const char* text, const char* what) {
    int num = 0;
    for (const char* at = text; (at = strstr(at, what)); at++) {
        num++;
    }
    return num;
}

/* Sends `num` requests at once and reads the answers. Returns how many were good. */
static int send_early(const char* request, int num) {
    GString* bytes = g_string_new(NULL);
    GString* answers = g_string_new(NULL);
    size_t sent = 0;
    for (int i = 0; i < num; i++) {
        g_string_append(bytes, request);
    }
    int fd = crowd_connect(crowd_hosts.hosts[0].callers);
    wg_time until = wg_now() + 2 * GUARD_MS * MSEC;
    while (wg_now() < until && count(answers->str, "HTTP/1.1 200") < num) {
        char part[4096];
        ssize_t size = send(fd, bytes->str + sent, bytes->len - sent, MSG_NOSIGNAL);
        sent += size > 0 ? (size_t)size : 0;
        ssize_t got = recv(fd, part, sizeof part, MSG_DONTWAIT);
        if (got == 0) {
            break;
        }
        g_string_append_len(answers, part, MAX(got, 0));
        crowd_run_hosts();
    }
    close(fd);
    int good = count(answers->str, "HTTP/1.1 200");
    g_string_free(answers, TRUE);
    g_string_free(bytes, TRUE);
    return good;
}

START_TEST(requests_sent_early_are_answered) {
    static const int nums[] = {2, 20, EARLY_MAX};
    int bad = 0;
    crowd_hosts_begin(settings, false);
    char* body = g_strnfill(20000, 'b');
    char* post = g_strdup_printf(
        "POST /x HTTP/1.1\r\nContent-Length: 20000\r\n" CROWD_FIELDS "\r\n%s", body);
    for (size_t i = 0; i < G_N_ELEMENTS(nums); i++) {
        int plain = send_early(SMALL, nums[i]);
        int bodies = send_early(post, nums[i]);
        printf("%d at once: %d answered, with bodies %d\n", nums[i], plain, bodies);
        bad += plain != nums[i] || bodies != nums[i];
    }
    fflush(stdout);
    g_free(post);
    g_free(body);
    crowd_hosts_end(bad == 0);
    ck_assert_int_eq(bad, 0);
}
END_TEST

/* The largest request that the limits allow, in calm. */
START_TEST(largest_request_is_served) {
    enum {
        BODY = 4000 * 1000,
        FIELD = 15000
    };
    crowd_hosts_begin(settings, false);
    char* body = g_strnfill(BODY, 'b');
    char* field = g_strnfill(FIELD, 'f');
    char* post =
        g_strdup_printf("POST /x HTTP/1.1\r\nContent-Length: %d\r\nA: %s\r\n" CROWD_FIELDS "\r\n%s",
                        BODY, field, body);
    char* chunked = g_strdup_printf("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\nA: "
                                    "%s\r\n" CROWD_FIELDS "\r\n%x\r\n%s\r\n0\r\n\r\n",
                                    field, BODY, body);
    int with_length = send_early(post, 1);
    int in_chunks = send_early(chunked, 1);
    g_free(chunked);
    g_free(post);
    g_free(field);
    g_free(body);
    crowd_hosts_end(with_length == 1 && in_chunks == 1);
    ck_assert_int_eq(with_length, 1);
    ck_assert_int_eq(in_chunks, 1);
}
END_TEST

/* A caller inside the limits may read slowly: here, 1 MB by a few KB at a time. */
START_TEST(slow_reader_gets_its_answer) {
    enum {
        SIZE = 1000 * 1000
    };
    crowd_hosts_begin(settings, false);
    static const char ask[] =
        "GET /large/1000000 HTTP/1.1\r\nConnection: close\r\n" CROWD_FIELDS "\r\n";
    int fd = crowd_connect(crowd_hosts.hosts[0].callers);
    bool asked = false;
    int64_t got = 0;
    bool open = true;
    wg_time until = wg_now() + 60 * SECOND;
    while (open && wg_now() < until) {
        char part[8192];
        asked = asked || send(fd, ask, sizeof ask - 1, MSG_NOSIGNAL) > 0;
        ssize_t size = recv(fd, part, sizeof part, MSG_DONTWAIT);
        got += MAX(size, 0);
        open = size > 0 || (size < 0 && (errno == EAGAIN || errno == ENOTCONN));
        hosts_run_for(&crowd_hosts, 10);
    }
    close(fd);
    printf("slow reader: %d bytes\n", (int)got);
    fflush(stdout);
    crowd_hosts_end(got > SIZE);
    ck_assert_int_gt(got, SIZE);
}
END_TEST

WG_TEST_MAIN("ordinary callers beside bounds", callers_that_leave_are_noticed,
             requests_sent_early_are_answered, largest_request_is_served,
             slow_reader_gets_its_answer)
