/* soak_callers.c -- callers of the fault soak; each checks its answers */
#include <string.h>
#include <sys/socket.h>

#include "soak_internal.h"
#include "wg_event_stream.h"
#include "wg_net.h"

enum {
    LARGE_BYTES = 400 * 1000,        /* more than the kernel buffers at both ends of a connection */
    SMALL_RECEIVE_BUFFER = 16 * 1024 /* of callers in a run with slow callers */
};

static void caller_schedule(caller* c, int ms) {
    struct timeval wait = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_add(c->timer, &wait);
}

/* Whether the caller takes up the stream that has just ended. */
static bool caller_takes_up(const caller* c) {
    return c->s->desc.releases && c->kind == CALL_STREAM && c->events_seen > 0 &&
           c->events_seen < STREAM_EVENTS && c->take_ups < TAKE_UPS_MAX;
}

static void caller_done(caller* c, bool keep) {
    c->busy = false;
    c->takes_up = caller_takes_up(c);
    keep = keep && c->pace == PACE_NORMAL;
    event_del(c->reader);
    g_free(c->bytes);
    c->bytes = NULL;
    if ((!keep || c->takes_up) && c->bev) {
        bufferevent_free(c->bev);
        c->bev = NULL;
    }
    caller_schedule(c, 5 + (int)soak_random(c->s, 30));
}

static void caller_fail(caller* c) {
    c->s->result.failed++;
    c->s->result.slow_broken += c->pace == PACE_SLOW;
    caller_done(c, false);
}

/* Version named in an event, "event: vN"; 0: none. */
static int event_version(const char* event, size_t size) {
    static const char line[] = "\nevent: v";
    const char* at = g_strstr_len(event, (gssize)size, line);
    return at ? atoi(at + sizeof line - 1) : 0;
}

static void check_version(caller* c, int version) {
    if (c->events_seen == 1) {
        c->stream_version = version;
        g_strlcpy(c->stream_id, c->id, sizeof c->stream_id);
    } else if (version != c->stream_version) {
        soak_record_violation(c->s, "%s: event %d of version %d in stream %s of version %d", c->id,
                              c->events_seen, version, c->stream_id, c->stream_version);
    }
}

static void check_events(caller* c) {
    char id[16] = "";
    struct evbuffer* event = evbuffer_new();
    while (wg_event_stream_next(c->content, event, id, sizeof id) == WG_EVENT_STREAM_EVENT) {
        char expected[96];
        char named[24] = "";
        int number = ++c->events_seen;
        size_t have = evbuffer_get_length(event);
        const char* text = (const char*)evbuffer_pullup(event, -1);
        int version = event_version(text, have);
        check_version(c, version);
        g_snprintf(named, sizeof named, "event: v%d\n", version);
        int size = g_snprintf(expected, sizeof expected, "id: %d\n%sdata: %s-%d\n\n", number,
                              version ? named : "", c->id, number);
        if (have != (size_t)size || memcmp(text, expected, have) != 0) {
            soak_record_violation(c->s, "%s: unexpected event %d: \"%.*s\"", c->id, number,
                                  (int)have, text);
        }
        evbuffer_drain(event, have);
    }
    evbuffer_free(event);
}

/* The same bytes as large_byte() of the targets. */
static void add_large_answer(GString* out, int size) {
    for (int i = 0; i < size; i++) {
        g_string_append_c(out, (char)('a' + (i + i / 251) % 26));
    }
}

static void check_answer(caller* c) {
    soak* s = c->s;
    int status = c->head.status;
    wg_text echoed = wg_message_field(&c->head, "Walnutgate-Request");
    if (echoed.text && (echoed.size != strlen(c->id) || memcmp(echoed.text, c->id, echoed.size))) {
        soak_record_violation(s, "%s received the answer to %.*s", c->id, (int)echoed.size,
                              echoed.text);
    }
    if (status == 200 && c->kind == CALL_STREAM) {
        check_events(c);
        if (c->events_seen != STREAM_EVENTS || evbuffer_get_length(c->content) > 0) {
            soak_record_violation(s, "%s: stream ended as complete after %d events", c->id,
                                  c->events_seen);
        }
        s->result.taken_up_complete += c->take_ups > 0;
    } else if (status == 200) {
        GString* expected = g_string_new("whole ");
        g_string_append(expected, c->id);
        add_large_answer(expected, c->large);
        size_t have = evbuffer_get_length(c->content);
        if (have != expected->len ||
            memcmp(evbuffer_pullup(c->content, -1), expected->str, have) != 0) {
            soak_record_violation(s, "%s: wrong body of %zu bytes", c->id, have);
        }
        g_string_free(expected, TRUE);
        s->result.slow_complete += c->pace == PACE_SLOW;
    } else if (status == 429 || status == 503) {
        if (c->kind == CALL_UNSAFE) {
            g_hash_table_add(s->refused_ids, g_strdup(c->id));
        }
    } else if (status == 401 || status == 404 || status == 403 || status == 400) {
        soak_record_violation(s, "%s was rejected with status %d", c->id, status);
    }
    s->result.complete += status == 200;
    s->result.refused += status == 503 || status == 429;
    s->result.failed += status != 200 && status != 503 && status != 429;
}

static void caller_on_read(struct bufferevent* bev, void* user_data) {
    caller* c = user_data;
    struct evbuffer* in = bufferevent_get_input(bev);
    if (!c->busy) {
        if (evbuffer_get_length(in) > 0) {
            soak_record_violation(c->s, "%s: unexpected bytes after the complete answer", c->id);
        }
        return;
    }
    if (!c->head_read) {
        size_t have = evbuffer_get_length(in);
        size_t size = wg_message_head_size((const char*)evbuffer_pullup(in, -1), have);
        if (size == 0) {
            return;
        }
        c->bytes = g_malloc(size);
        evbuffer_remove(in, c->bytes, size);
        if (!wg_message_parse_answer(c->bytes, size, false, &c->head)) {
            soak_record_violation(c->s, "%s: the head of the answer is malformed", c->id);
            caller_fail(c);
            return;
        }
        c->head_read = true;
        wg_body_begin(&c->body, &c->head);
    }
    wg_body_state state = wg_body_read(&c->body, in, c->content);
    if (c->kind == CALL_STREAM && c->head.status == 200) {
        check_events(c);
    }
    if (state == WG_BODY_BAD) {
        soak_record_violation(c->s, "%s: the body is malformed", c->id);
        caller_fail(c);
    } else if (state == WG_BODY_COMPLETE) {
        check_answer(c);
        caller_done(c, c->head.keep_alive);
    }
}

/* Reads a little, then waits. */
static void caller_on_slow_read(struct bufferevent* bev, void* user_data) {
    caller* c = user_data;
    caller_on_read(bev, user_data);
    if (c->busy && c->pace == PACE_SLOW) {
        struct timeval wait = {.tv_usec = 1000 + (suseconds_t)soak_random(c->s, 8000)};
        bufferevent_disable(bev, EV_READ);
        event_add(c->reader, &wait);
    }
}

static void caller_on_reader(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    caller* c = user_data;
    if (c->bev) {
        bufferevent_enable(c->bev, EV_READ);
    }
}

/* Decides by the seed whether the answer is large, and how it is read. */
static void caller_choose_pace(caller* c) {
    c->pace = PACE_NORMAL;
    c->large = 0;
    if (c->s->desc.slow_callers && c->kind == CALL_SAFE) {
        c->large = LARGE_BYTES;
        c->pace = (caller_pace)soak_random(c->s, PACE_SILENT + 1);
    }
}

static evutil_socket_t caller_socket(const soak* s) {
    int receive = SMALL_RECEIVE_BUFFER;
    if (!s->desc.slow_callers) {
        return -1; /* libevent creates it */
    }
    evutil_socket_t fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive, sizeof receive);
    return fd;
}

static void caller_on_event(struct bufferevent* bev, short what, void* user_data) {
    (void)bev;
    caller* c = user_data;
    if (what & BEV_EVENT_CONNECTED) {
        return;
    }
    if (c->busy) {
        caller_fail(c);
    } else if (c->bev) {
        bufferevent_free(c->bev);
        c->bev = NULL;
    }
}

static void caller_start(caller* c) {
    soak* s = c->s;
    static const char* const lines[CALL_KINDS_NUM] = {"POST /unsafe/x", "GET /safe/x",
                                                      "POST /stream/25"};
    if (!c->bev) {
        struct sockaddr_storage address;
        int size;
        const host* w = soak_random_host(s);
        c->host = w->number;
        WG_ASSERT(wgn_parse_address(w->callers, &address, &size));
        c->bev = bufferevent_socket_new(s->base, caller_socket(s),
                                        BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(c->bev, caller_on_slow_read, NULL, caller_on_event, c);
        bufferevent_enable(c->bev, EV_READ | EV_WRITE);
        bufferevent_socket_connect(c->bev, (struct sockaddr*)&address, size);
    }
    c->busy = true;
    c->head_read = false;
    evbuffer_drain(c->content, evbuffer_get_length(c->content));
    char resumes[96] = "";
    if (c->takes_up) {
        s->result.taken_up += c->take_ups++ == 0;
        g_snprintf(resumes, sizeof resumes, "Walnutgate-Resumes: %s\r\nLast-Event-ID: %d\r\n",
                   c->stream_id, c->events_seen);
    } else {
        c->events_seen = 0;
        c->take_ups = 0;
        c->kind = (call_kind)soak_random(s, CALL_KINDS_NUM);
        caller_choose_pace(c);
    }
    if (c->pace == PACE_SILENT) {
        bufferevent_disable(c->bev, EV_READ);
    }
    char large[32] = "";
    if (c->large > 0) {
        g_snprintf(large, sizeof large, "/large/%d", c->large);
    }
    g_snprintf(c->id, sizeof c->id, "q%d-%d", c->number, ++s->result.requests);
    if (c->kind == CALL_UNSAFE) {
        g_hash_table_add(s->unsafe_ids, g_strdup(c->id));
    }
    char prompt[160] = "";
    if (c->kind == CALL_STREAM) {
        /* Shared prompt parts, so that entry hosts request admissions from each other. */
        g_snprintf(
            prompt, sizeof prompt,
            "Walnutgate-Prompt-Parts: %d:800,%s:200\r\nWalnutgate-Prompt-Tokens: 1000,%d\r\n",
            (int)soak_random(s, PROMPT_PARTS), c->id, STREAM_EVENTS);
    }
    evbuffer_add_printf(bufferevent_get_output(c->bev),
                        "%s%s HTTP/1.1\r\nHost: soak\r\nWalnutgate-Request: %s\r\n"
                        "Walnutgate-Key: key\r\nWalnutgate-Deadline-Ms: 3000\r\n"
                        "Asked-Host: %d\r\n%s%sContent-Length: 0\r\n\r\n",
                        lines[c->kind], large, c->id, c->host, resumes, prompt);
    caller_schedule(c, c->pace == PACE_SILENT ? 800 + (int)soak_random(s, 1500)
                                              : CALL_TIMEOUT / WG_USEC_PER_MSEC);
}

static void caller_on_timer(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    caller* c = user_data;
    if (c->busy) {
        caller_fail(c);
    } else if (!c->s->ended) {
        caller_start(c);
    }
}

/* ---- functions of the soak ------------------------------------------------------------------- */

void soak_callers_create(soak* s) {
    for (int i = 0; i < CALLERS_NUM; i++) {
        caller* c = &s->callers[i];
        c->s = s;
        c->number = i;
        c->content = evbuffer_new();
        c->timer = evtimer_new(s->base, caller_on_timer, c);
        c->reader = evtimer_new(s->base, caller_on_reader, c);
    }
}

void soak_callers_destroy(soak* s) {
    for (int i = 0; i < CALLERS_NUM; i++) {
        caller* c = &s->callers[i];
        if (c->bev) {
            bufferevent_free(c->bev);
        }
        event_free(c->timer);
        event_free(c->reader);
        evbuffer_free(c->content);
        g_free(c->bytes);
    }
}

void soak_callers_start(soak* s) {
    for (int i = 0; i < CALLERS_NUM; i++) {
        caller_schedule(&s->callers[i], i * 20);
    }
}
