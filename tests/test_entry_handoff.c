/* test_entry_handoff.c -- requests that one entry host hands off to another

   First the entry host is the owner, which hands off to hosts that the test simulates; then it is
   the peer of an owner that the test simulates; last, two entry hosts are linked. Leaders, targets
   and callers run in the process of the test, too. */
#include "one_entry.h"
#include "proxy.h"
#include "wg_entry_internal.h"

#include <signal.h>
#include <unistd.h>

enum {
    TIMEOUT_MS = 2000,       /* of the route */
    LONG_TIMEOUT_MS = 60000, /* of the route, where the test skips time */
    STOP_MIN_MS = 3300,      /* minimum length of a planned stop */
    REPORT_MS = 20000,       /* interval of reports, so that a silent leader counts as present */
    DELAY_MS = 1000,         /* handoff_delay_ms; more than the turns of a test take */
    KB = 1024,
    RECORDED_MAX = 16,  /* requests that a simulated peer records */
    TICKETS_MAX = 8,    /* tickets of a simulated owner, from 1 */
    SHORT_BY = 1000,    /* descriptors that a host seems to use when it is short of them */
    SHORT_LIMIT = 1500, /* limit of descriptors then: more than 60% are in use */
    SMALL_RECEIVE_BUFFER = 16 * KB /* of a slow caller, so that answers wait at the owner */
};

#define MORE WGPB__HANDOFF_END__HANDOFF_END_MORE
#define COMPLETE WGPB__HANDOFF_END__HANDOFF_END_COMPLETE
#define COMPLETE_CLOSE WGPB__HANDOFF_END__HANDOFF_END_COMPLETE_CLOSE
#define CUT WGPB__HANDOFF_END__HANDOFF_END_CUT
#define DECLINED WGPB__HANDOFF_END__HANDOFF_END_DECLINED
#define CALLER_LEFT WGPB__HANDOFF_WHAT__HANDOFF_WHAT_CALLER_LEFT
#define PAUSE WGPB__HANDOFF_WHAT__HANDOFF_WHAT_PAUSE
#define RESUME WGPB__HANDOFF_WHAT__HANDOFF_WHAT_RESUME

static const char document[] =
    "{\"version\":%d,\"services\":[{\"name\":\"e\"}],\"routes\":[{\"name\":\"r\",\"host\":\"h\","
    "\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_ms\":%d,\"objective_ms\":500,"
    "\"attempts\":2,\"service\":\"e\"}],\"limits\":{},\"workspaces\":[]}";

/* ---- log ------------------------------------------------------------------------------------- */

static GString* log_text;

static GLogWriterOutput record_log(GLogLevelFlags level, const GLogField* fields, gsize num,
                                   gpointer user_data) {
    (void)level;
    (void)user_data;
    for (gsize i = 0; i < num; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            g_string_append_printf(log_text, "%s\n", (const char*)fields[i].value);
        }
    }
    return G_LOG_WRITER_HANDLED;
}

static void record_all(void) {
    signal(SIGPIPE, SIG_IGN); /* as the daemons do */
    if (!log_text) {
        log_text = g_string_new(NULL);
        g_log_set_writer_func(record_log, NULL, NULL);
    }
    g_string_truncate(log_text, 0);
}

/* ---- simulated hosts ------------------------------------------------------------------------- */

typedef struct {
    uint64_t ticket;
    GString* head;
    GString* body;
    uint64_t waited_us;
    uint64_t version;
} recorded_request;

/* What an owner received for one of its tickets. */
typedef struct {
    GString* bytes;
    int frames;
    size_t first_size; /* bytes in the first frame */
    int ends;
    Wgpb__HandoffEnd end;
    bool by_connection; /* of the last frame with bytes */
} recorded_answer;

typedef struct {
    wgn_net* net;
    wgn_link link; /* that carried the last request; of an owner: the one that it dialled */
    int links_up;
    int links_down;
    recorded_request requests[RECORDED_MAX];
    int requests_num;
    Wgpb__HandoffWhat notes[RECORDED_MAX];
    uint64_t note_tickets[RECORDED_MAX];
    int notes_num;
    recorded_answer answers[TICKETS_MAX + 1];
    bool told_stopping;
} simulated_host;

static simulated_host there; /* a peer */
static simulated_host third; /* another one */
static simulated_host owner;

static void simulated_on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    simulated_host* s = user_data;
    (void)peer;
    s->links_up++;
    s->link = link;
}

static void simulated_on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    simulated_host* s = user_data;
    (void)link;
    s->links_down += peer != NULL;
}

static void record_request(simulated_host* s, const Wgpb__HandoffRequest* in) {
    ck_assert_int_lt(s->requests_num, RECORDED_MAX);
    recorded_request* r = &s->requests[s->requests_num++];
    r->ticket = in->ticket;
    r->head = g_string_new_len((char*)in->head.data, (gssize)in->head.len);
    r->body = g_string_new_len((char*)in->body.data, (gssize)in->body.len);
    r->waited_us = in->waited_us;
    r->version = in->version;
}

static void record_answer(simulated_host* s, const Wgpb__HandoffAnswer* in) {
    if (in->ticket == 0) {
        ck_assert_int_eq(in->end, DECLINED);
        s->told_stopping = true;
        return;
    }
    ck_assert_uint_le(in->ticket, TICKETS_MAX);
    recorded_answer* a = &s->answers[in->ticket];
    if (!a->bytes) {
        a->bytes = g_string_new(NULL);
        a->first_size = in->bytes.len;
    }
    ck_assert_int_eq(a->ends, 0); /* nothing follows the end */
    a->frames++;
    g_string_append_len(a->bytes, (char*)in->bytes.data, (gssize)in->bytes.len);
    a->by_connection = in->bytes.len > 0 ? in->by_connection : a->by_connection;
    a->end = in->end;
    a->ends += in->end != MORE;
}

static void simulated_on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    simulated_host* s = user_data;
    if (frame->type == WGW_TYPE_HANDOFF_REQUEST) {
        Wgpb__HandoffRequest* in = wgpb__handoff_request__unpack(NULL, frame->size, frame->payload);
        s->link = link;
        record_request(s, in);
        wgpb__handoff_request__free_unpacked(in, NULL);
    } else if (frame->type == WGW_TYPE_HANDOFF_NOTE) {
        Wgpb__HandoffNote* in = wgpb__handoff_note__unpack(NULL, frame->size, frame->payload);
        ck_assert_int_lt(s->notes_num, RECORDED_MAX);
        s->notes[s->notes_num] = in->what;
        s->note_tickets[s->notes_num++] = in->ticket;
        wgpb__handoff_note__free_unpacked(in, NULL);
    } else if (frame->type == WGW_TYPE_HANDOFF_ANSWER) {
        Wgpb__HandoffAnswer* in = wgpb__handoff_answer__unpack(NULL, frame->size, frame->payload);
        record_answer(s, in);
        wgpb__handoff_answer__free_unpacked(in, NULL);
    }
}

static void simulated_setup(simulated_host* s, const char* name) {
    *s = (simulated_host){0};
    wgn_peer self = {.role = WGW_ROLE_ENTRY, .address = "127.0.0.1:1", .data_centre = "dc"};
    wg_copy_name(self.name, sizeof self.name, name);
    s->net = wgn_setup(&(wgn_desc){.base = base,
                                   .fleet_key = "a key for the fleet",
                                   .self = self,
                                   .on_up = simulated_on_up,
                                   .on_frame = simulated_on_frame,
                                   .on_down = simulated_on_down,
                                   .user_data = s},
                       NULL);
}

/* A host that the entry host connects to. */
static void simulated_listen(simulated_host* s, const char* name, int number) {
    char* fleet = local_address(number, 18005);
    simulated_setup(s, name);
    ck_assert(wgn_listen(s->net, fleet, NULL));
    g_free(fleet);
}

static void simulated_end(simulated_host* s) {
    if (s->net) {
        wgn_shutdown(s->net);
    }
    for (int i = 0; i < s->requests_num; i++) {
        g_string_free(s->requests[i].head, TRUE);
        g_string_free(s->requests[i].body, TRUE);
    }
    for (int i = 0; i <= TICKETS_MAX; i++) {
        if (s->answers[i].bytes) {
            g_string_free(s->answers[i].bytes, TRUE);
        }
    }
    *s = (simulated_host){0};
}

/* Waits until the expression is true, at most for some turns of 1 ms; false: it did not become
   true. */
#define BECOMES_WITHIN(expression, turns)                                                          \
    ({                                                                                             \
        for (int turn_ = 0; turn_ < (turns) && !(expression); turn_++) {                           \
            local_run_loop(base);                                                                  \
        }                                                                                          \
        (expression);                                                                              \
    })
#define BECOMES(expression) BECOMES_WITHIN(expression, TURNS_MAX)

static void send_answer_bytes(simulated_host* s, uint64_t ticket, const void* bytes, size_t size,
                              Wgpb__HandoffEnd end) {
    Wgpb__HandoffAnswer out = WGPB__HANDOFF_ANSWER__INIT;
    out.ticket = ticket;
    out.bytes = (ProtobufCBinaryData){size, (uint8_t*)bytes};
    out.end = end;
    ck_assert(wgn_send(s->net, s->link, WGW_TYPE_HANDOFF_ANSWER, &out.base));
}

static void send_answer(simulated_host* s, uint64_t ticket, const char* text,
                        Wgpb__HandoffEnd end) {
    send_answer_bytes(s, ticket, text, strlen(text), end);
}

static void acknowledge(simulated_host* s, uint64_t ticket) {
    send_answer(s, ticket, "", MORE);
}

/* ---- set-up ---------------------------------------------------------------------------------- */

/* Sends a state with these entry hosts beside "here", which are numbered from 12. */
static void lead_members(fake_control* f, const char* const* names, int num, uint64_t change) {
    Wgpb__EntryState state = WGPB__ENTRY_STATE__INIT;
    Wgpb__EntryMember members[4];
    Wgpb__EntryMember* list[4];
    for (int i = 0; i <= num; i++) {
        wgpb__entry_member__init(&members[i]);
        members[i].name = (char*)(i ? names[i - 1] : "here");
        members[i].address = local_address(11 + i, CALLERS_PORT);
        members[i].data_centre = (char*)"dc";
        list[i] = &members[i];
    }
    state.leads = true;
    state.term = 1;
    state.leader_address = f->address;
    state.registry_change = 1;
    state.members = list;
    state.n_members = (size_t)num + 1;
    state.members_change = change;
    state.members_reset = true;
    state.members_num = (uint32_t)num + 1;
    state.report_ms = REPORT_MS;
    ck_assert(wgn_send(f->net, f->link, WGW_TYPE_ENTRY_STATE, &state.base));
    for (int i = 0; i <= num; i++) {
        g_free(members[i].address);
    }
}

static void lead(fake_control* f, uint64_t version, int timeout_ms) {
    char* text = g_strdup_printf(document, (int)version, timeout_ms);
    fake_control_send_leader_state(f, &(fake_update){.version = version,
                                                     .document = text,
                                                     .target = target_address,
                                                     .report_ms = REPORT_MS});
    g_free(text);
    run_turns(20);
}

static int route_timeout_ms = TIMEOUT_MS;

static void begin(int delay_ms) {
    record_all();
    fake_entry_handoff_delay_ms = delay_ms;
    one_entry_begin();
    lead(&leader, 1, route_timeout_ms);
}

static void end(void) {
    run_turns(20); /* closed connections are noticed */
    simulated_end(&there);
    simulated_end(&third);
    simulated_end(&owner);
    one_entry_end();
    fake_entry_handoff_delay_ms = 0;
    fake_entry_held_mb = 0;
    route_timeout_ms = TIMEOUT_MS;
}

/* Makes the host short of descriptors, as if it had many connections: it keeps no request. */
static void set_short(wg_entry* e, bool is_short) {
    ((wg_entry_settings*)e->settings)->descriptors = is_short ? SHORT_LIMIT : 0;
    e->upstreams_num += is_short ? SHORT_BY : -SHORT_BY;
}

/* The entry host knows "there", and "third" if `peers_num` is 2. */
static void begin_with_peers(int delay_ms, int peers_num) {
    static const char* const names[] = {"there", "third"};
    begin(delay_ms);
    simulated_listen(&there, "there", 12);
    if (peers_num > 1) {
        simulated_listen(&third, "third", 13);
    }
    lead_members(&leader, names, peers_num, 2);
    ck_assert(BECOMES(there.links_up == 1 && (peers_num < 2 || third.links_up == 1)));
}

/* The entry host hands all requests off; its links to the peers are up. The first link to each is
   for admissions. */
static void begin_owner(int peers_num) {
    begin_with_peers(DELAY_MS, peers_num);
    set_short(entry, true);
    ck_assert(BECOMES(there.links_up == 2 && (peers_num < 2 || third.links_up == 2)));
    run_turns(20);
}

static void end_owner(void) {
    set_short(entry, false);
    end();
}

/* ---- callers --------------------------------------------------------------------------------- */

static const char get_request[] = "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n";
static const char answer_of_5[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

static void send_text(int fd, const char* text) {
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL), (ssize_t)strlen(text));
}

static int connect_caller(int number) {
    char* address = local_address(number, CALLERS_PORT);
    int fd = connect_to(address);
    g_free(address);
    return fd;
}

/* Sends a request that is handed off; returns the connection. */
static int hand_off(const char* fields) {
    int before = there.requests_num;
    int fd = send_get("/a/x", fields);
    ck_assert(BECOMES(there.requests_num > before));
    return fd;
}

static uint64_t last_ticket(void) {
    return there.requests[there.requests_num - 1].ticket;
}

typedef enum {
    READ_MORE = 0, /* nothing arrived for the time, the connection is open */
    READ_CLOSED,
    READ_RESET
} read_end;

/* Reads until the connection ends, `size` bytes were read, or nothing arrives for `ms`. */
static read_end read_some(int fd, GString* out, size_t size, int ms) {
    static char bytes[64 * KB];
    for (int still = 0; still < ms && out->len < size; still++) {
        local_run_loop(base);
        ssize_t got = recv(fd, bytes, MIN(sizeof bytes, size - out->len), 0);
        if (got > 0) {
            g_string_append_len(out, bytes, got);
            still = 0;
        } else if (got == 0) {
            return READ_CLOSED;
        } else if (errno != EAGAIN) {
            return READ_RESET;
        }
    }
    return READ_MORE;
}

/* The caller gets exactly this, and nothing else for a while. */
static void check_answer(int fd, const char* expected) {
    GString* got = g_string_new(NULL);
    read_some(fd, got, strlen(expected), TURNS_MAX);
    ck_assert_str_eq(got->str, expected);
    ck_assert_int_eq(read_some(fd, got, got->len + 1, 20), READ_MORE);
    ck_assert_uint_eq(got->len, strlen(expected));
    g_string_free(got, TRUE);
}

static char byte_at(size_t at) {
    return (char)(at * 2654435761U >> 7);
}

/* ---- the owner: bytes ------------------------------------------------------------------------ */

/* The peer serves the request from what it gets here: the head has to be as the caller sent it, and
   the body without its chunks. */
START_TEST(request_reaches_the_peer_whole) {
    static const char head[] = "POST /a/x?q=1 HTTP/1.1\r\nHost: h\r\nX-Case: A  b\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
    begin_owner(1);
    int fd = connect_caller(11);
    send_text(fd, head);
    send_text(fd, "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ck_assert(BECOMES(there.requests_num == 1));
    ck_assert_str_eq(there.requests[0].head->str, head);
    ck_assert_str_eq(there.requests[0].body->str, "abcde");
    ck_assert_uint_eq(there.requests[0].version, 1);
    ck_assert_uint_lt(there.requests[0].waited_us, 100 * MSEC);
    ck_assert_int_eq(requests_at_target(), 0);
    close(fd);
    end_owner();
}
END_TEST

/* Answers must not be parsed, reordered or framed anew on their way, however they are split. */
START_TEST(bytes_of_answers_reach_the_caller_unchanged) {
    enum {
        SIZE = 300 * KB
    };
    begin_owner(1);
    int fd = hand_off("");
    check_answer(fd, "");
    acknowledge(&there, last_ticket());
    GString* sent = g_string_new("HTTP/1.1 200 OK\r\ncontent-LENGTH: 307200\r\n\r\n");
    for (size_t i = 0; i < SIZE; i++) {
        g_string_append_c(sent, byte_at(i));
    }
    for (size_t at = 0, part = 1; at < sent->len; at += part, part = part * 3 % 60000 + 1) {
        part = MIN(part, sent->len - at);
        bool last = at + part == sent->len;
        send_answer_bytes(&there, last_ticket(), sent->str + at, part, last ? COMPLETE : MORE);
    }
    GString* got = g_string_new(NULL);
    ck_assert_int_eq(read_some(fd, got, sent->len, TURNS_MAX), READ_MORE);
    ck_assert(g_string_equal(got, sent));
    g_string_free(got, TRUE);
    g_string_free(sent, TRUE);
    close(fd);
    end_owner();
}
END_TEST

/* Events of a stream must not wait for one another at the owner. */
START_TEST(events_of_a_stream_reach_the_caller_at_once) {
    begin_owner(1);
    int fd = hand_off("");
    acknowledge(&there, last_ticket());
    send_answer(&there, last_ticket(),
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n", MORE);
    check_answer(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n");
    send_answer(&there, last_ticket(), "9\r\ndata: 2\n\n\r\n", MORE);
    check_answer(fd, "9\r\ndata: 2\n\n\r\n");
    send_answer(&there, last_ticket(), "0\r\n\r\n", COMPLETE);
    check_answer(fd, "0\r\n\r\n");
    ck_assert_ptr_nonnull(strstr(log_text->str, "REQUEST_HANDED_OFF"));
    ck_assert_ptr_nonnull(strstr(log_text->str, "peer=there"));
    ck_assert_ptr_nonnull(strstr(log_text->str, "end=whole "));
    ck_assert_int_eq(entry->counters.handed_off, 1);
    close(fd);
    end_owner();
}
END_TEST

/* The caller's connection has to work after a handed-off answer as after any other, whether its
   next request is sent before or after that. */
START_TEST(connection_is_used_again_after_a_handed_off_answer) {
    static const char next[] = "GET /a/next HTTP/1.1\r\nHost: h\r\n\r\n";
    char answer[1024];
    begin_owner(1);
    int fd = hand_off("");
    send_text(fd, next); /* pipelined */
    run_turns(20);
    ck_assert_int_eq(there.requests_num, 1);
    send_answer(&there, last_ticket(), answer_of_5, COMPLETE);
    ck_assert(BECOMES(there.requests_num == 2));
    ck_assert_str_eq(there.requests[1].head->str, next);
    check_answer(fd, answer_of_5);
    send_answer(&there, last_ticket(), answer_of_5, COMPLETE);
    check_answer(fd, answer_of_5);
    set_short(entry, false);
    run_turns(120); /* two ticks */
    send_text(fd, get_request);
    ck_assert(target_got_request());
    target_answer("own");
    ck_assert_int_eq(status_of(fd, answer), 200);
    ck_assert_ptr_nonnull(strstr(answer, "own"));
    ck_assert_int_eq(there.requests_num, 2);
    close(fd);
    end();
}
END_TEST

/* The peer decides about the connection, as its answer said "Connection: close" or not. */
START_TEST(connection_closes_after_an_answer_that_closes_it) {
    begin_owner(1);
    int fd = hand_off("");
    send_answer(&there, last_ticket(), answer_of_5, COMPLETE_CLOSE);
    GString* got = g_string_new(NULL);
    ck_assert_int_eq(read_some(fd, got, 10 * KB, TURNS_MAX), READ_CLOSED);
    ck_assert_str_eq(got->str, answer_of_5);
    g_string_free(got, TRUE);
    close(fd);
    end_owner();
}
END_TEST

/* Sends a part of an answer that has neither a length nor chunks. */
static void send_part_by_connection(const char* text) {
    Wgpb__HandoffAnswer out = WGPB__HANDOFF_ANSWER__INIT;
    out.ticket = last_ticket();
    out.bytes = (ProtobufCBinaryData){strlen(text), (uint8_t*)text};
    out.by_connection = true;
    ck_assert(wgn_send(there.net, there.link, WGW_TYPE_HANDOFF_ANSWER, &out.base));
}

/* Guards against a whole answer that its caller reads as reset. */
START_TEST(answer_by_connection_ends_with_it) {
    static const char part[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc";
    begin_owner(1);
    int fd = hand_off("");
    send_part_by_connection(part);
    check_answer(fd, part);
    send_answer(&there, last_ticket(), "", COMPLETE_CLOSE);
    GString* got = g_string_new(NULL);
    ck_assert_int_eq(read_some(fd, got, 100, TURNS_MAX), READ_CLOSED);
    g_string_free(got, TRUE);
    close(fd);
    end_owner();
}
END_TEST

/* Guards against an owner whose end closes the connection of such an answer: it must not look
   complete. */
START_TEST(answer_by_connection_is_reset_when_the_owner_ends) {
    static const char part[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc";
    begin_owner(1);
    int fd = hand_off("");
    send_part_by_connection(part);
    check_answer(fd, part);
    int owned = -1;
    for (guint i = 0; i < entry->clients->len; i++) {
        const wg_client* client = entry->clients->pdata[i];
        owned = client->handed ? bufferevent_getfd(client->bev) : owned;
    }
    struct linger linger = {0};
    socklen_t size = sizeof linger;
    ck_assert_int_eq(getsockopt(owned, SOL_SOCKET, SO_LINGER, &linger, &size), 0);
    ck_assert(linger.l_onoff && linger.l_linger == 0); /* any close is a reset, also at exit */
    close(fd);
    end_owner();
}
END_TEST

/* ---- the owner: declined requests ------------------------------------------------------------ */

/* A request that a peer declined has not run: it must get an answer, from the next peer. */
START_TEST(declined_request_goes_to_another_peer) {
    begin_owner(2);
    int fd = send_get("/a/x", "");
    ck_assert(BECOMES(there.requests_num + third.requests_num == 1));
    simulated_host* first = there.requests_num ? &there : &third;
    simulated_host* second = there.requests_num ? &third : &there;
    send_answer(first, first->requests[0].ticket, "", DECLINED);
    ck_assert(BECOMES(second->requests_num == 1));
    ck_assert_str_eq(second->requests[0].head->str, first->requests[0].head->str);
    ck_assert_uint_ge(second->requests[0].waited_us, first->requests[0].waited_us);
    send_answer(second, second->requests[0].ticket, answer_of_5, COMPLETE);
    check_answer(fd, answer_of_5);
    ck_assert_int_eq(first->requests_num, 1);
    ck_assert_int_eq(requests_at_target(), 0);
    close(fd);
    end_owner();
}
END_TEST

/* Guards against a request that is lost or refused because all peers declined it: its head and body
   must still be complete, and the target gets them once. */
START_TEST(request_that_all_peers_decline_is_kept) {
    static const char body[] = "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345";
    char answer[1024];
    begin_owner(2);
    int fd = connect_caller(11);
    send_text(fd, body);
    ck_assert(BECOMES(there.requests_num + third.requests_num == 1));
    simulated_host* first = there.requests_num ? &there : &third;
    simulated_host* second = there.requests_num ? &third : &there;
    send_answer(first, first->requests[0].ticket, "", DECLINED);
    ck_assert(BECOMES(second->requests_num == 1));
    send_answer(second, second->requests[0].ticket, "", DECLINED);
    ck_assert(target_got_request());
    ck_assert_ptr_nonnull(strstr(target_received->str, "\r\n\r\n12345"));
    target_answer("own");
    ck_assert_int_eq(status_of(fd, answer), 200);
    ck_assert_int_eq(first->requests_num + second->requests_num, 2);
    ck_assert_int_eq(requests_at_target(), 1);
    ck_assert_ptr_nonnull(strstr(log_text->str, "owner=-"));
    ck_assert_ptr_null(strstr(log_text->str, "REQUEST_HANDED_OFF"));
    ck_assert_int_eq(entry->counters.handed_off, 0);
    close(fd);
    end_owner();
}
END_TEST

/* Guards against a deadline that starts anew when a peer declines: the target would work beyond the
   time for which the caller waits. */
START_TEST(time_at_a_peer_that_declines_counts) {
    enum {
        WAIT_MS = 300,
        DEADLINE_MS = 1000
    };
    begin_owner(1);
    int fd = hand_off("Walnutgate-Deadline-Ms: 1000\r\n");
    run_turns(WAIT_MS);
    send_answer(&there, last_ticket(), "", DECLINED);
    ck_assert(target_got_request());
    const char* field = strstr(target_received->str, "Walnutgate-Deadline-Ms: ");
    ck_assert_ptr_nonnull(field);
    ck_assert_int_le(strtol(field + strlen("Walnutgate-Deadline-Ms: "), NULL, 10),
                     DEADLINE_MS - WAIT_MS);
    close(fd);
    end_owner();
}
END_TEST

/* Guards against a second run: the peer has acknowledged the request, so it may have run there. */
START_TEST(request_that_was_acknowledged_is_never_sent_again) {
    char answer[1024];
    begin_owner(2);
    int fd = send_get("/a/x", "");
    ck_assert(BECOMES(there.requests_num + third.requests_num == 1));
    simulated_host* first = there.requests_num ? &there : &third;
    acknowledge(first, first->requests[0].ticket);
    send_answer(first, first->requests[0].ticket, "", DECLINED);
    ck_assert_int_eq(status_of(fd, answer), 502);
    ck_assert_ptr_nonnull(strstr(answer, "may-have-run"));
    run_turns(50);
    ck_assert_int_eq(there.requests_num + third.requests_num, 1);
    ck_assert_int_eq(requests_at_target(), 0);
    close(fd);
    end_owner();
}
END_TEST

/* Guards against large bodies in frames: they cost the owner more than the handoff saves. */
START_TEST(request_with_a_large_body_is_kept) {
    enum {
        SIZE = 256 * KB + 1
    };
    begin_owner(1);
    GString* request = g_string_new(NULL);
    g_string_printf(request, "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", SIZE);
    g_string_set_size(request, request->len + SIZE);
    int fd = connect_caller(11);
    for (size_t at = 0; at < request->len;) {
        ssize_t sent = send(fd, request->str + at, request->len - at, MSG_NOSIGNAL);
        ck_assert(sent > 0 || errno == EAGAIN);
        at += sent > 0 ? (size_t)sent : 0;
        run_turns(1);
    }
    ck_assert(target_got_request());
    ck_assert_int_eq(there.requests_num, 0);
    g_string_free(request, TRUE);
    close(fd);
    end_owner();
}
END_TEST

/* ---- the owner: failures of the peer --------------------------------------------------------- */

static void lose_peer(simulated_host* s) {
    wgn_close(s->net, s->link);
}

/* The request may have run at the peer. It must not run a second time, also if the route allows it:
   the peer's target may still run it. */
START_TEST(link_lost_before_the_answer_is_502) {
    for (int acknowledged = 0; acknowledged < 2; acknowledged++) {
        char answer[1024];
        begin_owner(2);
        int fd = send_get("/a/x", "Walnutgate-Request: id-1\r\n");
        ck_assert(BECOMES(there.requests_num + third.requests_num == 1));
        simulated_host* first = there.requests_num ? &there : &third;
        if (acknowledged) {
            acknowledge(first, first->requests[0].ticket);
            run_turns(20);
        }
        lose_peer(first);
        ck_assert_int_eq(status_of(fd, answer), 502);
        ck_assert_ptr_nonnull(strstr(answer, "may-have-run"));
        ck_assert_ptr_nonnull(strstr(answer, "Walnutgate-Request: id-1\r\n"));
        ck_assert_ptr_null(strstr(answer, "Retry-After"));
        run_turns(50);
        ck_assert_int_eq(there.requests_num + third.requests_num, 1);
        ck_assert_int_eq(requests_at_target(), 0);
        ck_assert_int_eq(entry->counters.handoffs_failed, 1);
        close(fd);
        end_owner();
    }
}
END_TEST

/* An answer that ends early must not look complete: the connection is reset. */
START_TEST(link_lost_in_the_answer_resets_the_connection) {
    static const char part[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n";
    begin_owner(1);
    int fd = hand_off("");
    acknowledge(&there, last_ticket());
    send_answer(&there, last_ticket(), part, MORE);
    check_answer(fd, part);
    lose_peer(&there);
    GString* got = g_string_new(NULL);
    ck_assert_int_eq(read_some(fd, got, 100, TURNS_MAX), READ_RESET);
    ck_assert_uint_eq(got->len, 0);
    g_string_free(got, TRUE);
    close(fd);
    end_owner();
}
END_TEST

/* Guards against a truncated answer that looks complete: it is 502 before its first byte, and a
   reset later. */
START_TEST(answer_that_the_peer_cuts_off_is_not_complete) {
    static const char part[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab";
    char answer[1024];
    begin_owner(1);
    int fd = hand_off("");
    acknowledge(&there, last_ticket());
    send_answer(&there, last_ticket(), "", CUT);
    ck_assert_int_eq(status_of(fd, answer), 502);
    int other = hand_off("");
    send_answer(&there, last_ticket(), part, MORE);
    check_answer(other, part);
    send_answer(&there, last_ticket(), "", CUT);
    GString* got = g_string_new(NULL);
    ck_assert_int_eq(read_some(other, got, 100, TURNS_MAX), READ_RESET);
    g_string_free(got, TRUE);
    close(fd);
    close(other);
    end_owner();
}
END_TEST

/* Guards against a caller that waits until its timeout when a peer ends an answer without bytes. */
START_TEST(end_without_an_answer_is_502) {
    char answer[1024];
    begin_owner(1);
    int fd = hand_off("");
    send_answer(&there, last_ticket(), "", COMPLETE);
    ck_assert_int_eq(status_of(fd, answer), 502);
    close(fd);
    end_owner();
}
END_TEST

/* A caller waits no longer than its deadline or the route's timeout for a peer that stalls, and
   the peer is told to stop the work. */
START_TEST(silent_peer_is_504_at_the_end_of_the_time) {
    static const struct {
        const char* fields;
        int ms;
        bool acknowledged;
    } cases[] = {{"Walnutgate-Deadline-Ms: 600\r\n", 600, false},
                 {"Walnutgate-Deadline-Ms: 600\r\n", 600, true},
                 {"", TIMEOUT_MS, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char answer[1024];
        begin_owner(1);
        wg_time since = wg_now();
        int fd = hand_off(cases[i].fields);
        if (cases[i].acknowledged) {
            acknowledge(&there, last_ticket());
        }
        ck_assert_int_eq(status_of(fd, answer), 504);
        wg_time waited = wg_now() - since;
        ck_assert_int_ge(waited, cases[i].ms * MSEC);
        ck_assert_int_lt(waited, (cases[i].ms + 500) * MSEC);
        ck_assert_ptr_nonnull(strstr(answer, "may-have-run"));
        ck_assert(BECOMES(there.notes_num == 1));
        ck_assert_int_eq(there.notes[0], CALLER_LEFT);
        ck_assert_uint_eq(there.note_tickets[0], last_ticket());
        send_answer(&there, last_ticket(), answer_of_5, COMPLETE); /* was in flight */
        check_answer(fd, "");
        close(fd);
        end_owner();
    }
}
END_TEST

/* Guards against a caller that waits beyond its deadline for the remainder of an answer, and
   against a truncated answer that looks complete. */
START_TEST(peer_that_falls_silent_in_the_answer_resets_the_connection) {
    static const char part[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab";
    begin_owner(1);
    wg_time since = wg_now();
    int fd = hand_off("Walnutgate-Deadline-Ms: 500\r\n");
    send_answer(&there, last_ticket(), part, MORE);
    check_answer(fd, part);
    GString* got = g_string_new(NULL);
    ck_assert_int_eq(read_some(fd, got, 100, TURNS_MAX), READ_RESET);
    ck_assert_int_lt(wg_now() - since, 1000 * MSEC);
    ck_assert(BECOMES(there.notes_num == 1));
    ck_assert_int_eq(there.notes[0], CALLER_LEFT);
    g_string_free(got, TRUE);
    close(fd);
    end_owner();
}
END_TEST

/* Guards against a peer that writes to another caller, or ends the owner. */
START_TEST(malformed_or_unknown_answers_harm_no_caller) {
    static const uint8_t bad[] = {0x12, 0x7f};
    char answer[1024];
    begin_owner(1);
    int fd = hand_off("");
    send_answer(&there, last_ticket() + 1, answer_of_5, COMPLETE);
    send_answer(&there, UINT64_MAX, answer_of_5, CUT);
    check_answer(fd, "");
    Wgpb__HandoffAnswer out = WGPB__HANDOFF_ANSWER__INIT;
    ProtobufCMessageUnknownField field = {.tag = 2,
                                          .wire_type = PROTOBUF_C_WIRE_TYPE_LENGTH_PREFIXED,
                                          .len = sizeof bad - 1,
                                          .data = (uint8_t*)bad + 1};
    out.base.n_unknown_fields = 1;
    out.base.unknown_fields = &field;
    ck_assert(wgn_send(there.net, there.link, WGW_TYPE_HANDOFF_ANSWER, &out.base));
    ck_assert_int_eq(status_of(fd, answer), 502);
    ck_assert_int_eq(there.links_down, 1);
    close(fd);
    end_owner();
}
END_TEST

/* ---- the owner: callers ---------------------------------------------------------------------- */

/* Work for a caller that has left has to stop at the peer. */
START_TEST(peer_is_told_when_the_caller_leaves) {
    for (int acknowledged = 0; acknowledged < 2; acknowledged++) {
        begin_owner(1);
        int fd = hand_off("");
        if (acknowledged) {
            acknowledge(&there, last_ticket());
            run_turns(20);
        }
        close(fd);
        ck_assert(BECOMES_WITHIN(there.notes_num == 1, 50));
        ck_assert_int_eq(there.notes[0], CALLER_LEFT);
        ck_assert_uint_eq(there.note_tickets[0], last_ticket());
        send_answer(&there, last_ticket(), answer_of_5, COMPLETE); /* was in flight */
        send_answer(&there, last_ticket(), "", DECLINED);
        run_turns(20);
        ck_assert_int_eq(there.requests_num, 1);
        ck_assert_int_eq(requests_at_target(), 0);
        end_owner();
    }
}
END_TEST

/* Without a pause, a caller that does not read fills the memory of the owner. */
START_TEST(answer_pauses_while_the_caller_does_not_read) {
    enum {
        PART = 32 * KB,
        ANSWER_MAX = 64 * 1024 * KB
    };
    begin_owner(1);
    int fd = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    send_text(fd, get_request);
    ck_assert(BECOMES(there.requests_num == 1));
    GString* sent = g_string_new("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n");
    send_answer(&there, last_ticket(), sent->str, MORE);
    while (there.notes_num == 0 && sent->len < ANSWER_MAX) {
        size_t at = sent->len;
        for (size_t i = 0; i < PART; i++) {
            g_string_append_c(sent, byte_at(at + i));
        }
        send_answer_bytes(&there, last_ticket(), sent->str + at, PART, MORE);
        run_turns(2);
    }
    ck_assert_int_eq(there.notes_num, 1);
    ck_assert_int_eq(there.notes[0], PAUSE);
    ck_assert_uint_eq(there.note_tickets[0], last_ticket());
    ck_assert_int_lt(wg_buffers_held(entry->buffers), 1024 * KB);
    send_answer(&there, last_ticket(), "more", MORE); /* was in flight */
    g_string_append(sent, "more");
    run_turns(50);
    ck_assert_int_eq(there.notes_num, 1);
    GString* got = g_string_new(NULL);
    ck_assert_int_eq(read_some(fd, got, sent->len, TURNS_MAX), READ_MORE);
    ck_assert(g_string_equal(got, sent));
    ck_assert(BECOMES(there.notes_num == 2));
    ck_assert_int_eq(there.notes[1], RESUME);
    ck_assert_int_eq(wg_buffers_held(entry->buffers), 0);
    send_answer(&there, last_ticket(), "end", COMPLETE_CLOSE);
    ck_assert_int_eq(read_some(fd, got, SIZE_MAX, TURNS_MAX), READ_CLOSED);
    ck_assert_uint_eq(got->len, sent->len + 3);
    ck_assert_int_eq(memcmp(got->str + sent->len, "end", 3), 0);
    g_string_free(got, TRUE);
    g_string_free(sent, TRUE);
    close(fd);
    end_owner();
}
END_TEST

/* Guards against a peer that goes on although it was asked to pause: what it sends must not be kept
   without a bound. */
START_TEST(answer_of_a_peer_that_heeds_no_pause_is_cut) {
    enum {
        PART = 32 * KB,
        ANSWER_MAX = 16 * 1024 * KB,
        HELD_MAX = 4 * 1024 * KB
    };
    static char part[PART];
    begin_owner(1);
    int fd = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    send_text(fd, get_request);
    ck_assert(BECOMES(there.requests_num == 1));
    send_answer(&there, last_ticket(), "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", MORE);
    memset(part, 'a', sizeof part);
    int64_t most = 0;
    for (int at = 0; at < ANSWER_MAX; at += PART) {
        send_answer_bytes(&there, last_ticket(), part, PART, MORE);
        run_turns(2);
        most = MAX(most, wg_buffers_held(entry->buffers));
    }
    ck_assert_int_lt(most, HELD_MAX);
    ck_assert(BECOMES(wg_buffers_held(entry->buffers) == 0));
    GString* got = g_string_new(NULL);
    ck_assert_int_eq(read_some(fd, got, SIZE_MAX, TURNS_MAX), READ_RESET);
    ck_assert_uint_lt(got->len, ANSWER_MAX);
    g_string_free(got, TRUE);
    close(fd);
    end_owner();
}
END_TEST

/* ---- the owner: links and planned stops ------------------------------------------------------ */

/* With the setting at its default, nothing may change: no link, no frame. */
START_TEST(nothing_is_handed_off_by_default) {
    begin_with_peers(0, 1);
    set_short(entry, true);
    run_turns(200);
    ck_assert_int_eq(there.links_up, 1);
    int fd = send_get("/a/x", "");
    ck_assert(target_got_request());
    ck_assert_int_eq(there.requests_num, 0);
    ck_assert_int_eq(there.notes_num, 0);
    wgn_stats stats = wgn_query_stats(entry->net);
    for (int type = WGW_TYPE_HANDOFF_REQUEST; type <= WGW_TYPE_HANDOFF_NOTE; type++) {
        ck_assert_uint_eq(stats.sent[type].frames, 0);
    }
    close(fd);
    end_owner();
}
END_TEST

/* With the setting on, a host that has capacity opens no links, and keeps its requests. */
START_TEST(host_with_capacity_opens_no_links) {
    begin_with_peers(DELAY_MS, 1);
    run_turns(200);
    ck_assert_int_eq(there.links_up, 1);
    int fd = send_get("/a/x", "");
    ck_assert(target_got_request());
    ck_assert_int_eq(there.requests_num, 0);
    close(fd);
    end();
}
END_TEST

static void on_busy(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    (void)user_data;
    g_usleep(4 * WG_USEC_PER_MSEC);
}

/* The delay of callers' input has to reach the decision. */
START_TEST(delay_of_input_hands_requests_off) {
    static const char* const names[] = {"there"};
    int fds[8];
    begin_with_peers(2, 1);
    struct event* busy = event_new(base, -1, 0, on_busy, NULL);
    for (int i = 0; i < 200; i++) {
        event_active(busy, EV_TIMEOUT, 1); /* runs before the probe of the delay */
        local_run_loop(base);
        if (i % 50 == 0) {
            lead_members(&leader, names, 1, 2); /* keeps the link to the leader */
        }
    }
    ck_assert_int_eq(there.links_up, 2);
    ck_assert_ptr_nonnull(strstr(log_text->str, "HANDOFF_BEGUN"));
    for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
        fds[i] = send_get("/a/x", "");
    }
    ck_assert(BECOMES(there.requests_num > 0));
    event_free(busy);
    for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
        close(fds[i]);
    }
    end();
}
END_TEST

/* A shortage that comes and goes must not open a link each time; a link that nobody needs must not
   stay for ever. */
START_TEST(links_are_kept_for_a_while) {
    begin_owner(1);
    set_short(entry, false);
    wg_now_skip(8 * SECOND);
    run_turns(100);
    ck_assert_int_eq(there.links_down, 0);
    wg_now_skip(4 * SECOND);
    ck_assert(BECOMES(there.links_down == 1));
    run_turns(100);
    ck_assert_int_eq(there.links_up, 2);
    ck_assert_ptr_nonnull(strstr(log_text->str, "HANDOFF_ENDED"));
    end();
}
END_TEST

/* Streams last longer than a shortage: a link must not close under them. */
START_TEST(link_stays_while_a_request_is_in_progress) {
    route_timeout_ms = LONG_TIMEOUT_MS;
    begin_owner(1);
    int fd = hand_off("");
    set_short(entry, false);
    wg_now_skip(12 * SECOND);
    run_turns(200);
    ck_assert_int_eq(there.links_down, 0);
    send_answer(&there, last_ticket(), answer_of_5, COMPLETE);
    check_answer(fd, answer_of_5);
    ck_assert(BECOMES(there.links_down == 1));
    close(fd);
    end();
}
END_TEST

/* A link that failed is opened again, and requests go to the peer again. */
START_TEST(lost_link_is_opened_again) {
    begin_owner(1);
    int fd = hand_off("");
    lose_peer(&there);
    ck_assert(BECOMES(there.links_up == 3));
    run_turns(600); /* the peer is set aside for 500 ms */
    int other = hand_off("");
    send_answer(&there, last_ticket(), answer_of_5, COMPLETE);
    check_answer(other, answer_of_5);
    close(fd);
    close(other);
    end_owner();
}
END_TEST

/* A peer that stops has left the roster, or has told so itself. Its requests must end well, and no
   further one may be sent to it: it would be lost when the peer's process ends. */
START_TEST(peer_that_stops_finishes_its_requests_and_gets_no_more) {
    for (int by_roster = 0; by_roster < 2; by_roster++) {
        begin_owner(1);
        int fd = hand_off("");
        acknowledge(&there, last_ticket());
        if (by_roster) {
            lead_members(&leader, NULL, 0, 3);
        } else {
            send_answer(&there, 0, "", DECLINED);
        }
        run_turns(200);
        ck_assert_int_eq(there.links_down, by_roster); /* the link for admissions */
        int kept = send_get("/a/x", "");
        ck_assert(target_got_request());
        ck_assert_int_eq(there.requests_num, 1);
        send_answer(&there, last_ticket(), answer_of_5, COMPLETE);
        check_answer(fd, answer_of_5);
        run_turns(200);
        ck_assert_int_eq(there.links_down, 2 * by_roster);
        ck_assert_int_eq(there.links_up, 2);
        close(fd);
        close(kept);
        end_owner();
    }
}
END_TEST

/* A planned stop of the owner must wait for the answers that it relays. */
START_TEST(planned_stop_of_the_owner_waits_for_its_answers) {
    route_timeout_ms = LONG_TIMEOUT_MS;
    begin_owner(1);
    int fd = hand_off("");
    acknowledge(&there, last_ticket());
    wg_entry_stop(entry);
    wg_now_skip(STOP_MIN_MS * MSEC + SECOND);
    ck_assert(!BECOMES_WITHIN(event_base_got_break(base), 200)); /* valid for one turn */
    ck_assert_int_eq(there.notes_num, 0);
    ck_assert_int_eq(there.links_down, 0);
    send_answer(&there, last_ticket(), answer_of_5, COMPLETE);
    check_answer(fd, answer_of_5);
    ck_assert(BECOMES(event_base_got_break(base)));
    close(fd);
    end_owner();
}
END_TEST

/* Guards against a stop that takes the answer of a peer for delivered when the owner has it. */
START_TEST(planned_stop_of_the_owner_waits_for_callers_that_still_read) {
    enum {
        ANSWER_BYTES = 200 * KB /* the owner does not pause it */
    };
    route_timeout_ms = LONG_TIMEOUT_MS;
    fake_entry_unread_ms = STOP_MIN_MS + 2000;
    begin_owner(1);
    int fd = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    send_text(fd, get_request);
    ck_assert(BECOMES(there.requests_num == 1));
    GString* sent = g_string_new("HTTP/1.1 200 OK\r\nContent-Length: 204800\r\n\r\n");
    for (size_t i = 0; i < ANSWER_BYTES; i++) {
        g_string_append_c(sent, byte_at(i));
    }
    send_answer_bytes(&there, last_ticket(), sent->str, sent->len, COMPLETE);
    run_turns(50);
    wg_entry_stop(entry);
    wg_now_skip(STOP_MIN_MS * MSEC + SECOND);
    ck_assert(!BECOMES_WITHIN(event_base_got_break(base), 200)); /* valid for one turn */
    GString* got = g_string_new(NULL);
    ck_assert_int_eq(read_some(fd, got, sent->len, TURNS_MAX), READ_MORE);
    ck_assert(g_string_equal(got, sent));
    ck_assert(BECOMES(event_base_got_break(base)));
    g_string_free(got, TRUE);
    g_string_free(sent, TRUE);
    close(fd);
    end_owner();
    fake_entry_unread_ms = 0;
}
END_TEST

/* What the owner will not be there to relay, it refuses as it would its own. */
START_TEST(stopping_owner_hands_off_only_what_it_can_finish) {
    char answer[1024];
    begin_owner(1);
    wg_entry_stop(entry);
    int fd = hand_off("");
    send_answer(&there, last_ticket(), answer_of_5, COMPLETE);
    check_answer(fd, answer_of_5);
    int late = connect_caller(11);
    wg_now_skip(3 * SECOND); /* new requests are refused after 2.8 s */
    send_text(late, get_request);
    ck_assert_int_eq(status_of(late, answer), 503);
    ck_assert_ptr_nonnull(strstr(answer, "stopping"));
    ck_assert_int_eq(there.requests_num, 1);
    close(fd);
    close(late);
    end_owner();
}
END_TEST

/* ---- the peer -------------------------------------------------------------------------------- */

/* A request as an owner sends it. */
typedef struct {
    uint64_t ticket;
    const char* head; /* NULL: get_request */
    const char* body;
    uint64_t version;
    uint64_t waited_us;
} sent_request;

static void owner_sends(const sent_request* request) {
    Wgpb__HandoffRequest out = WGPB__HANDOFF_REQUEST__INIT;
    const char* head = request->head ? request->head : get_request;
    out.ticket = request->ticket;
    out.head = (ProtobufCBinaryData){strlen(head), (uint8_t*)head};
    if (request->body) {
        out.body = (ProtobufCBinaryData){strlen(request->body), (uint8_t*)request->body};
    }
    out.version = request->version;
    out.waited_us = request->waited_us;
    ck_assert(wgn_send(owner.net, owner.link, WGW_TYPE_HANDOFF_REQUEST, &out.base));
}

static void owner_notes(uint64_t ticket, Wgpb__HandoffWhat what) {
    Wgpb__HandoffNote out = WGPB__HANDOFF_NOTE__INIT;
    out.ticket = ticket;
    out.what = what;
    ck_assert(wgn_send(owner.net, owner.link, WGW_TYPE_HANDOFF_NOTE, &out.base));
}

static void owner_dial(const char* address) {
    simulated_setup(&owner, "owner");
    wgn_dial(owner.net, address);
    ck_assert(BECOMES(owner.links_up == 1));
}

/* The entry host takes requests of a simulated owner that is linked to it. */
static void begin_peer(int delay_ms) {
    char* fleet = local_address(11, 18005);
    begin(delay_ms);
    owner_dial(fleet);
    run_turns(100); /* the host has measured its load */
    g_free(fleet);
}

static const recorded_answer* answer_to(uint64_t ticket) {
    return &owner.answers[ticket];
}

static bool has_ended(uint64_t ticket) {
    return BECOMES(answer_to(ticket)->ends == 1);
}

/* The owner's caller must get what a caller of the peer would get. */
START_TEST(peer_answers_as_it_would_its_own_caller) {
    begin_peer(DELAY_MS);
    int fd = connect_caller(11);
    send_text(fd, get_request);
    ck_assert(target_got_request());
    target_answer("whole");
    GString* own = g_string_new(NULL);
    read_some(fd, own, 10 * KB, 50);
    g_string_truncate(target_received, 0);
    owner_sends(&(sent_request){.ticket = 1, .version = 1});
    ck_assert(target_got_request());
    ck_assert_ptr_nonnull(strstr(target_received->str, "GET /a/x HTTP/1.1\r\n"));
    ck_assert_int_eq(answer_to(1)->frames, 1); /* the acknowledgement */
    ck_assert_uint_eq(answer_to(1)->first_size, 0);
    ck_assert_int_eq(answer_to(1)->end, MORE);
    target_answer("whole");
    ck_assert(has_ended(1));
    ck_assert_int_eq(answer_to(1)->end, COMPLETE);
    ck_assert_str_eq(answer_to(1)->bytes->str, own->str);
    ck_assert_ptr_nonnull(strstr(log_text->str, "owner=owner"));
    ck_assert_int_eq(entry->counters.handoffs_taken, 1);
    ck_assert_int_eq(entry->calls_num, 0);
    ck_assert_int_eq(entry->taken_clients->len, 0);
    g_string_free(own, TRUE);
    close(fd);
    end();
}
END_TEST

/* Guards against a body that is lost, or framed by a header of the caller that no longer applies,
   and against an answer that keeps a connection open which the caller asked to close. */
START_TEST(peer_passes_the_body_on_and_closes_as_asked) {
    static const char head[] = "POST /a/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";
    begin_peer(DELAY_MS);
    owner_sends(&(sent_request){.ticket = 1, .head = head, .body = "abcde", .version = 1});
    ck_assert(target_got_request());
    ck_assert_ptr_nonnull(strstr(target_received->str, "Content-Length: 5\r\n"));
    ck_assert_ptr_nonnull(strstr(target_received->str, "\r\n\r\nabcde"));
    target_answer("x");
    ck_assert(has_ended(1));
    ck_assert_int_eq(answer_to(1)->end, COMPLETE_CLOSE);
    ck_assert_ptr_nonnull(strstr(answer_to(1)->bytes->str, "Connection: close\r\n"));
    end();
}
END_TEST

static const char target_head[] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n";

/* Events must not wait for one another at the peer either. */
START_TEST(peer_sends_events_of_a_stream_at_once) {
    begin_peer(DELAY_MS);
    owner_sends(&(sent_request){.ticket = 1, .version = 1});
    ck_assert(target_got_request());
    target_send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n");
    ck_assert_ptr_nonnull(strstr(answer_to(1)->bytes->str, "data: 1\n\n"));
    target_send("9\r\ndata: 2\n\n\r\n");
    ck_assert_ptr_nonnull(strstr(answer_to(1)->bytes->str, "data: 2\n\n"));
    ck_assert_int_eq(answer_to(1)->ends, 0);
    target_send("0\r\n\r\n");
    ck_assert(has_ended(1));
    ck_assert_int_eq(answer_to(1)->end, COMPLETE);
    ck_assert(g_str_has_suffix(answer_to(1)->bytes->str, "\r\n0\r\n\r\n"));
    end();
}
END_TEST

static void write_to_entry(const char* bytes) {
    bufferevent_write(target_connection, bytes, strlen(bytes));
}

/* Each frame costs the owner a write to its caller. Events that follow each other closely are sent
   together, but none waits for long, and the first and the last ones do not wait. */
START_TEST(peer_collects_events_for_a_short_time) {
    enum {
        EVENTS = 60,
        COLLECTED_MS = 10,
        LATE_MS = 50 /* beside other programs on the machine */
    };
    begin_peer(DELAY_MS);
    owner_sends(&(sent_request){.ticket = 1, .version = 1});
    ck_assert(target_got_request());
    ck_assert(BECOMES(answer_to(1)->frames == 1));
    write_to_entry(target_head);
    wg_time since = wg_now();
    for (int i = 0; i < EVENTS; i++) {
        write_to_entry("9\r\ndata: 1\n\n\r\n");
        run_turns(1);
        ck_assert(i > 0 || BECOMES_WITHIN(answer_to(1)->bytes->len > 0, 5));
    }
    wg_time length = wg_now() - since;
    ck_assert_int_le(answer_to(1)->frames, 3 + length / (COLLECTED_MS * MSEC));
    size_t whole = answer_to(1)->bytes->len;
    write_to_entry("9\r\ndata: 2\n\n\r\n");
    ck_assert(BECOMES_WITHIN(strstr(answer_to(1)->bytes->str + whole, "data: 2"), LATE_MS));
    write_to_entry("9\r\ndata: 3\n\n\r\n0\r\n\r\n");
    ck_assert(has_ended(1));
    ck_assert(g_str_has_suffix(answer_to(1)->bytes->str, "data: 3\n\n\r\n0\r\n\r\n"));
    end();
}
END_TEST

/* Guards against a peer that gives such an answer a length or a last chunk, and against an owner
   that does not learn of its framing. */
START_TEST(peer_hands_on_that_an_answer_ends_with_its_connection) {
    begin_peer(DELAY_MS);
    owner_sends(&(sent_request){.ticket = 1, .version = 1});
    ck_assert(target_got_request());
    target_send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n");
    ck_assert(BECOMES(answer_to(1)->bytes->len > 0));
    ck_assert(answer_to(1)->by_connection);
    target_close_connection();
    ck_assert(has_ended(1));
    ck_assert_int_eq(answer_to(1)->end, COMPLETE_CLOSE);
    ck_assert_str_eq(answer_to(1)->bytes->str,
                     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "Connection: close\r\n\r\ndata: 1\n\n");
    end();
}
END_TEST

/* A stream that breaks off must not look complete at the owner. */
START_TEST(peer_cuts_off_what_breaks_off) {
    begin_peer(DELAY_MS);
    owner_sends(&(sent_request){.ticket = 1, .version = 1});
    ck_assert(target_got_request());
    target_send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n");
    target_close_connection();
    ck_assert(has_ended(1));
    ck_assert_int_eq(answer_to(1)->end, CUT);
    ck_assert_int_eq(entry->taken_clients->len, 0);
    end();
}
END_TEST

/* Guards against an error answer of the peer that is sent as a decline or as a cut-off: the owner
   would run the request again, or reset the caller's connection. */
START_TEST(peer_answers_errors_of_its_own) {
    begin_peer(DELAY_MS);
    owner_sends(&(sent_request){
        .ticket = 1, .head = "GET /none HTTP/1.1\r\nHost: h\r\n\r\n", .version = 1});
    ck_assert(has_ended(1));
    ck_assert_int_eq(answer_to(1)->end, COMPLETE);
    ck_assert_ptr_nonnull(strstr(answer_to(1)->bytes->str, "HTTP/1.1 404 "));
    end();
}
END_TEST

/* Deadline and timeout have to end as if the caller had connected to the peer. */
START_TEST(time_at_the_owner_counts_at_the_peer) {
    static const char head[] =
        "GET /a/x HTTP/1.1\r\nHost: h\r\nWalnutgate-Deadline-Ms: 1000\r\n\r\n";
    begin_peer(DELAY_MS);
    wg_time since = wg_now();
    owner_sends(&(sent_request){.ticket = 1, .head = head, .version = 1, .waited_us = 700 * MSEC});
    ck_assert(target_got_request());
    const char* field = strstr(target_received->str, "Walnutgate-Deadline-Ms: ");
    ck_assert_ptr_nonnull(field);
    ck_assert_int_le(strtol(field + strlen("Walnutgate-Deadline-Ms: "), NULL, 10), 300);
    ck_assert(has_ended(1));
    ck_assert_ptr_nonnull(strstr(answer_to(1)->bytes->str, "HTTP/1.1 504 "));
    ck_assert_int_ge(wg_now() - since, 290 * MSEC);
    ck_assert_int_lt(wg_now() - since, 500 * MSEC);
    /* The timeout of the route is TIMEOUT_MS. */
    since = wg_now();
    owner_sends(&(sent_request){.ticket = 2, .version = 1, .waited_us = (TIMEOUT_MS - 300) * MSEC});
    ck_assert(has_ended(2));
    ck_assert_int_lt(wg_now() - since, 500 * MSEC);
    /* A message may state anything. */
    owner_sends(&(sent_request){.ticket = 3, .version = 1, .waited_us = UINT64_MAX});
    ck_assert(has_ended(3));
    ck_assert_ptr_nonnull(strstr(answer_to(3)->bytes->str, "HTTP/1.1 504 "));
    end();
}
END_TEST

static void check_declined(uint64_t ticket, uint64_t version) {
    owner_sends(&(sent_request){.ticket = ticket, .version = version});
    ck_assert(has_ended(ticket));
    ck_assert_int_eq(answer_to(ticket)->end, DECLINED);
    ck_assert_int_eq(answer_to(ticket)->frames, 1);
    ck_assert_uint_eq(answer_to(ticket)->bytes->len, 0);
    run_turns(20);
    ck_assert_int_eq(requests_at_target(), 0);
    ck_assert_int_eq(entry->taken_clients->len, 0);
}

/* A host that has shown a configuration must not have its requests handled by an older one: neither
   by a peer that has an older one, nor by itself after a peer that has a newer one. */
START_TEST(peer_with_another_configuration_declines) {
    begin_peer(DELAY_MS);
    check_declined(1, 2);
    check_declined(2, 0);
    owner_sends(&(sent_request){.ticket = 3, .version = 1});
    ck_assert(target_got_request());
    end();
}
END_TEST

/* Guards against a configuration that callers see through a peer, while their host, cut off from
   the leader, does not get it. */
START_TEST(host_without_a_leader_keeps_its_requests) {
    begin_owner(1);
    fake_control_send_leader(&leader, NULL);
    ck_assert(BECOMES(!entry->leader_known));
    int fd = connect_caller(11);
    send_text(fd, get_request);
    ck_assert(target_got_request());
    ck_assert_int_eq(there.requests_num, 0);
    close(fd);
    end_owner();
}
END_TEST

/* Guards against a peer that decides by targets and usage that no leader updates. */
START_TEST(peer_without_a_leader_declines) {
    begin_peer(DELAY_MS);
    fake_control_send_leader(&leader, NULL);
    ck_assert(BECOMES(!entry->leader_known));
    check_declined(1, 1);
    end();
}
END_TEST

/* An overloaded host must not take over the load of another. */
START_TEST(peer_that_is_short_itself_declines) {
    begin_peer(DELAY_MS);
    set_short(entry, true);
    check_declined(1, 1);
    set_short(entry, false);
    end();
}
END_TEST

/* Guards against answers of other hosts that fill the memory of a peer above 3/4 of `held_mb`, and
   against a peer that goes on declining once it holds less. */
START_TEST(peer_that_holds_many_bytes_declines) {
    wg_buffers_peer filler = {0};
    fake_entry_held_mb = 1;
    begin_peer(DELAY_MS);
    wg_buffers_add(entry->buffers, &filler, WG_BUFFERS_CALLER);
    wg_buffers_set_kept(entry->buffers, &filler, 800 * 1000);
    check_declined(1, 1);
    wg_buffers_remove(entry->buffers, &filler);
    owner_sends(&(sent_request){.ticket = 2, .version = 1});
    ck_assert(target_got_request());
    end();
}
END_TEST

/* Guards against a host that takes requests although its setting is off, and against a link that
   closes because of its frames. */
START_TEST(peer_with_the_setting_off_declines) {
    begin_peer(0);
    check_declined(1, 1);
    owner_notes(1, CALLER_LEFT);
    run_turns(20);
    ck_assert_int_eq(owner.links_down, 0);
    end();
}
END_TEST

/* The peer's own limits apply; the owner's may be larger. Nothing has run, so the owner can keep
   the request. */
START_TEST(request_beyond_the_limits_of_the_peer_is_declined) {
    begin_peer(DELAY_MS);
    char* field = g_strnfill(20 * KB, 'x');
    char* head = g_strdup_printf("GET /a/x HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", field);
    owner_sends(&(sent_request){.ticket = 1, .head = head, .version = 1});
    ck_assert(has_ended(1));
    ck_assert_int_eq(answer_to(1)->end, DECLINED);
    ck_assert_int_eq(owner.links_down, 0);
    g_free(field);
    g_free(head);
    end();
}
END_TEST

/* Guards against request smuggling: the peer must not trust what another process read as one
   request. */
START_TEST(malformed_requests_close_the_link) {
    static const sent_request bad[] = {
        {.ticket = 1, .version = 1, .head = "not a request\r\n\r\n"},
        {.ticket = 1, .version = 1, .head = "GET /a/x HTTP/1.1\r\nHost: h\r\n"},
        {.ticket = 1,
         .version = 1,
         .head = "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\nGET /a/y HTTP/1.1\r\n\r\n"},
        {.ticket = 1, .version = 1, .body = "a body without a length"},
        {.ticket = 1,
         .version = 1,
         .head = "POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n",
         .body = "four"},
        {.ticket = 0, .version = 1},
        {.ticket = 1, .version = 1, .head = ""}};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        begin_peer(DELAY_MS);
        owner_sends(&bad[i]);
        ck_assert(BECOMES(owner.links_down == 1));
        run_turns(20);
        ck_assert_int_eq(requests_at_target(), 0);
        end();
    }
}
END_TEST

/* Two requests of the same ticket would get each other's answers. */
START_TEST(second_request_of_a_ticket_closes_the_link) {
    begin_peer(DELAY_MS);
    owner_sends(&(sent_request){.ticket = 1, .version = 1});
    ck_assert(target_got_request());
    owner_sends(&(sent_request){.ticket = 1, .version = 1});
    ck_assert(BECOMES(owner.links_down == 1));
    ck_assert(BECOMES_WITHIN(target_disconnected, 50));
    ck_assert_int_eq(requests_at_target(), 1);
    end();
}
END_TEST

/* Guards against work that goes on for a caller that has left: its note, or the end of the owner,
   must reach the target at once. */
START_TEST(work_stops_when_the_caller_or_the_owner_leaves) {
    for (int by_link = 0; by_link < 2; by_link++) {
        begin_peer(DELAY_MS);
        owner_sends(&(sent_request){.ticket = 1, .version = 1});
        ck_assert(target_got_request());
        ck_assert(!target_disconnected);
        if (by_link) {
            wgn_close(owner.net, owner.link);
        } else {
            owner_notes(1, CALLER_LEFT);
        }
        ck_assert(BECOMES_WITHIN(target_disconnected, 50));
        ck_assert_int_eq(entry->calls_num, 0);
        ck_assert_int_eq(entry->taken_clients->len, 0);
        ck_assert_int_eq(answer_to(1)->ends, 0);
        ck_assert_int_eq(wg_buffers_held(entry->buffers), 0);
        end();
    }
}
END_TEST

/* Without the pause, the peer sends what the owner has to hold for its caller. */
START_TEST(peer_stops_reading_while_the_answer_is_paused) {
    enum {
        SIZE = 12 * 1024 * KB, /* more than the kernel buffers on the target's connection */
        UNDER_WAY_MAX = 1024 * KB
    };
    begin_peer(DELAY_MS);
    owner_sends(&(sent_request){.ticket = 1, .version = 1});
    ck_assert(target_got_request());
    owner_notes(1, PAUSE);
    run_turns(20);
    GString* sent = g_string_new(NULL);
    g_string_printf(sent, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", SIZE);
    size_t head_size = sent->len;
    for (size_t i = 0; i < SIZE; i++) {
        g_string_append_c(sent, byte_at(i));
    }
    bufferevent_write(target_connection, sent->str, sent->len);
    run_turns(300);
    ck_assert_uint_lt(answer_to(1)->bytes->len, UNDER_WAY_MAX);
    ck_assert_int_eq(entry->paused_num, 1);
    owner_notes(1, RESUME);
    ck_assert(has_ended(1));
    ck_assert_int_eq(answer_to(1)->end, COMPLETE);
    const GString* got = answer_to(1)->bytes;
    ck_assert_uint_gt(got->len, SIZE);
    ck_assert(memcmp(got->str + got->len - SIZE, sent->str + head_size, SIZE) == 0);
    ck_assert_int_eq(entry->paused_num, 0);
    g_string_free(sent, TRUE);
    end();
}
END_TEST

/* An owner that stalls reads nothing. What waits for it at the peer must be bounded, counted,
   and arrive once it reads again. */
START_TEST(answers_for_an_owner_that_stalls_are_bounded) {
    enum {
        SIZE = 24 * 1024 * KB,
        HELD_MAX = 1024 * KB
    };
    char* through = local_address(41, 18005);
    char* fleet = local_address(11, 18005);
    route_timeout_ms = LONG_TIMEOUT_MS;
    begin(DELAY_MS);
    proxy* p = proxy_start(base, through, fleet);
    owner_dial(through);
    run_turns(100);
    owner_sends(&(sent_request){.ticket = 1, .version = 1});
    ck_assert(target_got_request());
    proxy_set(p, PROXY_BLOCK_FROM);
    GString* sent = g_string_new(NULL);
    g_string_printf(sent, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", SIZE);
    size_t head_size = sent->len;
    for (size_t i = 0; i < SIZE; i++) {
        g_string_append_c(sent, byte_at(i));
    }
    bufferevent_write(target_connection, sent->str, sent->len);
    ck_assert(BECOMES(entry->paused_num == 1));
    run_turns(200);
    ck_assert_int_gt(wg_buffers_held(entry->buffers), 0);
    ck_assert_int_lt(wg_buffers_held(entry->buffers), HELD_MAX);
    ck_assert_int_eq(owner.links_down, 0);
    proxy_set(p, PROXY_PASS);
    ck_assert(BECOMES_WITHIN(answer_to(1)->ends == 1, 10 * TURNS_MAX));
    ck_assert_int_eq(answer_to(1)->end, COMPLETE);
    const GString* got = answer_to(1)->bytes;
    ck_assert(memcmp(got->str + got->len - SIZE, sent->str + head_size, SIZE) == 0);
    ck_assert_int_eq(wg_buffers_held(entry->buffers), 0);
    ck_assert_int_eq(entry->taken_clients->len, 0);
    g_string_free(sent, TRUE);
    proxy_stop(p);
    g_free(through);
    g_free(fleet);
    end();
}
END_TEST

/* A planned stop of the peer must cut off nothing, and the owner must learn of it before it ends:
   a request that is in flight then would be lost. */
START_TEST(planned_stop_of_the_peer_finishes_what_it_took) {
    route_timeout_ms = LONG_TIMEOUT_MS;
    begin_peer(DELAY_MS);
    owner_sends(&(sent_request){.ticket = 1, .version = 1});
    ck_assert(target_got_request());
    wg_entry_stop(entry);
    ck_assert(BECOMES(owner.told_stopping));
    owner_sends(&(sent_request){.ticket = 2, .version = 1});
    ck_assert(has_ended(2));
    ck_assert_int_eq(answer_to(2)->end, DECLINED);
    wg_now_skip(STOP_MIN_MS * MSEC + SECOND);
    ck_assert(!BECOMES_WITHIN(event_base_got_break(base), 200)); /* valid for one turn */
    target_answer("whole");
    ck_assert(has_ended(1));
    ck_assert_int_eq(answer_to(1)->end, COMPLETE); /* the caller's connection is the owner's */
    ck_assert_ptr_null(strstr(answer_to(1)->bytes->str, "Connection: close"));
    ck_assert(BECOMES(event_base_got_break(base)));
    end();
}
END_TEST

/* An owner that comes while the peer stops has to learn of it, too. */
START_TEST(owner_that_connects_to_a_stopping_peer_is_told) {
    begin_peer(DELAY_MS);
    wg_entry_stop(entry);
    run_turns(20);
    ck_assert(!owner.told_stopping);
    check_declined(1, 1);
    ck_assert(BECOMES(owner.told_stopping));
    end();
}
END_TEST

/* ---- two entry hosts ------------------------------------------------------------------------- */

static fake_control other_leader;
static wg_entry* other_entry;

/* The entry host "here" hands all requests off to the entry host "there". */
static void begin_two(void) {
    static wg_entry_settings settings;
    static char* seeds[2];
    static const char* const names[] = {"there"};
    begin(DELAY_MS);
    fake_control_begin(base, &other_leader, 2);
    seeds[0] = other_leader.address;
    settings = *entry->settings;
    settings.name = (char*)"there";
    settings.callers_listen = local_address(12, 18001);
    settings.ready_listen = local_address(12, 18002);
    settings.entry_listen = local_address(12, 18003);
    settings.orders_listen = local_address(12, 18004);
    settings.fleet_listen = local_address(12, 18005);
    settings.seeds = seeds;
    other_entry = wg_entry_setup(&(wg_entry_desc){.base = base, .settings = &settings}, NULL);
    ck_assert_ptr_nonnull(other_entry);
    ck_assert(BECOMES(other_leader.links_up == 1));
    lead(&leader, 2, 20000);
    lead(&other_leader, 2, 20000);
    lead_members(&leader, names, 1, 2);
    lead_members(&other_leader, names, 1, 2);
    set_short(entry, true);
    run_turns(200);
    ck_assert_ptr_nonnull(strstr(log_text->str, "handoff_peer=there"));
}

static void end_two(void) {
    set_short(entry, false);
    if (other_entry) {
        wg_entry_shutdown(other_entry);
    }
    fake_control_end(&other_leader);
    end();
}

/* Guards against an owner and a peer that each pass their tests with a simulated host, but do not
   interoperate. */
START_TEST(request_passes_through_two_hosts) {
    begin_two();
    int fd = connect_caller(11);
    send_text(fd, get_request);
    ck_assert(target_got_request());
    ck_assert_int_eq(entry->calls_num, 0);
    ck_assert_int_eq(other_entry->calls_num, 1);
    target_answer("whole");
    check_answer(fd, answer_of_5);
    g_string_truncate(target_received, 0);
    send_text(fd, "GET /a/stream HTTP/1.1\r\nHost: h\r\n\r\n");
    ck_assert(target_got_request());
    target_send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n");
    check_answer(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n");
    target_send("0\r\n\r\n");
    check_answer(fd, "0\r\n\r\n");
    ck_assert_int_eq(other_entry->counters.handoffs_taken, 2);
    ck_assert_int_eq(entry->counters.handed_off, 2);
    close(fd);
    end_two();
}
END_TEST

/* Work has to stop within 500 ms of the close. The test allows 50 turns of 1 ms, so that a step
   that waits for a tick (50 ms) fails it. */
START_TEST(caller_that_leaves_stops_the_target_through_two_hosts) {
    begin_two();
    int fd = connect_caller(11);
    send_text(fd, get_request);
    ck_assert(target_got_request());
    close(fd);
    ck_assert(BECOMES_WITHIN(target_disconnected, 50));
    ck_assert_int_eq(other_entry->calls_num, 0);
    end_two();
}
END_TEST

/* A slow caller at the owner must pause the target at the peer, and get everything. */
START_TEST(slow_caller_gets_everything_through_two_hosts) {
    enum {
        SIZE = 12 * 1024 * KB
    };
    begin_two();
    int fd = connect_slow_caller(SMALL_RECEIVE_BUFFER);
    send_text(fd, get_request);
    ck_assert(target_got_request());
    GString* sent = g_string_new(NULL);
    g_string_printf(sent, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", SIZE);
    for (size_t i = 0; i < SIZE; i++) {
        g_string_append_c(sent, byte_at(i));
    }
    bufferevent_write(target_connection, sent->str, sent->len);
    ck_assert(BECOMES(other_entry->paused_num == 1));
    run_turns(100);
    ck_assert_int_lt(wg_buffers_held(entry->buffers), 2 * 1024 * KB);
    GString* got = g_string_new(NULL);
    ck_assert_int_eq(read_some(fd, got, sent->len, TURNS_MAX), READ_MORE);
    ck_assert(g_string_equal(got, sent));
    ck_assert_int_eq(other_entry->calls_num, 0);
    g_string_free(got, TRUE);
    g_string_free(sent, TRUE);
    close(fd);
    end_two();
}
END_TEST

/* Guards against targets that go on with answers whose callers were connected to a process that has
   ended. */
START_TEST(end_of_the_owner_stops_the_target) {
    begin_two();
    int fd = connect_caller(11);
    send_text(fd, get_request);
    ck_assert(target_got_request());
    wg_entry_shutdown(entry);
    ck_assert(BECOMES_WITHIN(target_disconnected, 50));
    ck_assert_int_eq(other_entry->calls_num, 0);
    entry = other_entry;
    other_entry = NULL;
    close(fd);
    fake_control_end(&other_leader);
    end();
}
END_TEST

WG_TEST_MAIN(
    "entry handoff", request_reaches_the_peer_whole, bytes_of_answers_reach_the_caller_unchanged,
    events_of_a_stream_reach_the_caller_at_once, connection_is_used_again_after_a_handed_off_answer,
    connection_closes_after_an_answer_that_closes_it, answer_by_connection_ends_with_it,
    answer_by_connection_is_reset_when_the_owner_ends,
    peer_hands_on_that_an_answer_ends_with_its_connection, declined_request_goes_to_another_peer,
    request_that_all_peers_decline_is_kept, time_at_a_peer_that_declines_counts,
    request_that_was_acknowledged_is_never_sent_again, request_with_a_large_body_is_kept,
    link_lost_before_the_answer_is_502, link_lost_in_the_answer_resets_the_connection,
    answer_that_the_peer_cuts_off_is_not_complete, end_without_an_answer_is_502,
    silent_peer_is_504_at_the_end_of_the_time,
    peer_that_falls_silent_in_the_answer_resets_the_connection,
    malformed_or_unknown_answers_harm_no_caller, peer_is_told_when_the_caller_leaves,
    answer_pauses_while_the_caller_does_not_read, answer_of_a_peer_that_heeds_no_pause_is_cut,
    nothing_is_handed_off_by_default, host_with_capacity_opens_no_links,
    delay_of_input_hands_requests_off, links_are_kept_for_a_while,
    link_stays_while_a_request_is_in_progress, lost_link_is_opened_again,
    peer_that_stops_finishes_its_requests_and_gets_no_more,
    planned_stop_of_the_owner_waits_for_its_answers,
    planned_stop_of_the_owner_waits_for_callers_that_still_read,
    stopping_owner_hands_off_only_what_it_can_finish, peer_answers_as_it_would_its_own_caller,
    peer_passes_the_body_on_and_closes_as_asked, peer_sends_events_of_a_stream_at_once,
    peer_collects_events_for_a_short_time, peer_cuts_off_what_breaks_off,
    peer_answers_errors_of_its_own, time_at_the_owner_counts_at_the_peer,
    peer_with_another_configuration_declines, host_without_a_leader_keeps_its_requests,
    peer_without_a_leader_declines, peer_that_is_short_itself_declines,
    peer_that_holds_many_bytes_declines, peer_with_the_setting_off_declines,
    request_beyond_the_limits_of_the_peer_is_declined, malformed_requests_close_the_link,
    second_request_of_a_ticket_closes_the_link, work_stops_when_the_caller_or_the_owner_leaves,
    peer_stops_reading_while_the_answer_is_paused, answers_for_an_owner_that_stalls_are_bounded,
    planned_stop_of_the_peer_finishes_what_it_took, owner_that_connects_to_a_stopping_peer_is_told,
    request_passes_through_two_hosts, caller_that_leaves_stops_the_target_through_two_hosts,
    slow_caller_gets_everything_through_two_hosts, end_of_the_owner_stops_the_target)
