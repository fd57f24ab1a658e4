/* test_early_answers.c -- one entry host: a target answers a long upload before it has read it

   Its answer is whole if its own framing shows that. An answer that ends with its connection is
   not, as the target left before the request was there: it may have answered something else than
   the request, or not to the end. */
#include <signal.h>
#include <sys/wait.h>
#include <time.h>

#include "one_entry.h"

enum {
    UPLOAD = 3 << 20,
    PART = 2000, /* bytes of the body that the target sends */
    ANSWER_MS = 2000
};

typedef enum {
    ENDS_BY_RESET = 0,
    ENDS_BY_CLOSE /* with unread input, so that the kernel resets the connection as well */
} ending;

typedef struct {
    const char* head;
    ending ends;
    int reads;    /* bytes of the request that the target reads before */
    int after_ms; /* between the answer and its end */
} early_answer;

/* What a caller got. */
typedef struct {
    int status;
    size_t size;    /* bytes of the body */
    bool has_ended; /* the connection was closed in order */
    bool was_reset;
} received;

/* The target is a process of its own, so that the host writes while the connection is reset. */
static void write_all(int fd, const char* bytes, size_t size) {
    while (size > 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            _exit(1);
        }
        bytes += sent;
        size -= (size_t)sent;
    }
}

static void target_read(int fd, int size) {
    char bytes[4096];
    for (ssize_t got = 1; size > 0 && got > 0; size -= (int)got) {
        got = recv(fd, bytes, MIN(sizeof bytes, (size_t)size), 0);
    }
}

/* Answers the first connection on which a request comes, and ends. */
static void target_run(int listening, const early_answer* answer) {
    struct linger linger = {.l_onoff = answer->ends == ENDS_BY_RESET, .l_linger = 0};
    struct timespec wait = {.tv_nsec = answer->after_ms * 1000000L};
    GString* bytes = g_string_new(answer->head);
    for (int i = 0; i < PART / 10; i++) {
        g_string_append(bytes, "data: 01\n\n");
    }
    int fd = accept(listening, NULL, NULL);
    target_read(fd, answer->reads);
    write_all(fd, bytes->str, bytes->len);
    nanosleep(&wait, NULL);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    close(fd);
    _exit(0);
}

/* The target's address goes on to accept connections: it has not ended. */
static pid_t target_fork(const early_answer* answer, int* listening_out) {
    struct sockaddr_storage at;
    int size;
    int on = 1;
    evconnlistener_free(listener);
    listener = NULL;
    ck_assert(wgn_parse_address(target_address, &at, &size));
    int listening = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ck_assert_int_eq(bind(listening, (struct sockaddr*)&at, (socklen_t)size), 0);
    ck_assert_int_eq(listen(listening, 4), 0);
    pid_t pid = fork();
    if (pid == 0) {
        target_run(listening, answer);
    }
    *listening_out = listening;
    return pid;
}

/* Sends a large request and whatever of it the host takes. */
static int send_upload(void) {
    char* address = local_address(11, CALLERS_PORT);
    char* head =
        g_strdup_printf("POST /w/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", UPLOAD);
    char* body = g_malloc0(UPLOAD);
    int fd = connect_to(address);
    ck_assert_int_eq(send(fd, head, strlen(head), MSG_NOSIGNAL), (ssize_t)strlen(head));
    size_t sent = 0;
    for (int i = 0; i < TURNS_MAX && sent < UPLOAD; i++) {
        ssize_t result = send(fd, body + sent, UPLOAD - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        sent += result > 0 ? (size_t)result : 0;
        local_run_loop(base);
    }
    ck_assert_uint_eq(sent, UPLOAD);
    g_free(body);
    g_free(head);
    g_free(address);
    return fd;
}

static received receive(int fd) {
    received r = {0};
    GString* text = g_string_new(NULL);
    for (int i = 0; i < ANSWER_MS && !r.has_ended && !r.was_reset; i++) {
        char part[8192];
        local_run_loop(base);
        ssize_t got = recv(fd, part, sizeof part, 0);
        r.has_ended = got == 0;
        r.was_reset = got < 0 && errno != EAGAIN;
        g_string_append_len(text, part, MAX(got, 0));
    }
    const char* end = strstr(text->str, "\r\n\r\n");
    r.status = end ? (int)strtol(text->str + strlen("HTTP/1.1 "), NULL, 10) : 0;
    r.size = end ? text->len - (size_t)(end + 4 - text->str) : 0;
    g_string_free(text, TRUE);
    close(fd);
    return r;
}

static received play(const early_answer* answer) {
    signal(SIGPIPE, SIG_IGN);
    /* The kernel then takes only a part of the upload at once. */
    fake_entry_held_mb = 24;
    fake_entry_unread_ms = 5000;
    one_entry_begin();
    one_entry_lead(&(one_route){.version = 1, .prefix = "/w/", .timeout_ms = 5000});
    int listening;
    pid_t target = target_fork(answer, &listening);
    received r = receive(send_upload());
    waitpid(target, NULL, 0);
    close(listening);
    one_entry_end();
    return r;
}

/* Guards against a caller that gets a part of an answer as complete: the host wrote its upload into
   a connection that the target had reset, and took the end that it read then for the answer's. */
START_TEST(answer_to_a_part_of_an_upload_is_not_complete) {
    static const char plain[] = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    static const char events[] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    static const char old[] = "HTTP/1.0 200 OK\r\n\r\n";
    static const early_answer answers[] = {
        {plain, ENDS_BY_RESET, 1, 0},     {plain, ENDS_BY_RESET, 100000, 0},
        {plain, ENDS_BY_RESET, 1, 50},    {plain, ENDS_BY_RESET, 100000, 300},
        {plain, ENDS_BY_CLOSE, 1, 0},     {plain, ENDS_BY_CLOSE, 100000, 50},
        {events, ENDS_BY_RESET, 1, 50},   {events, ENDS_BY_CLOSE, 100000, 50},
        {old, ENDS_BY_RESET, 100000, 50}, {old, ENDS_BY_CLOSE, 1, 50}};
    int complete = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        received r = play(&answers[i]);
        printf("%zu: status %d, %zu bytes, ended %d, reset %d\n", i, r.status, r.size, r.has_ended,
               r.was_reset);
        complete += r.status == 200 && r.has_ended;
    }
    fflush(stdout);
    ck_assert_int_eq(complete, 0);
}
END_TEST

/* Guards against a host that withholds an early answer which is whole by its own framing. */
START_TEST(early_answer_that_is_whole_by_its_framing_is_delivered) {
    static const char length[] = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n";
    static const early_answer answers[] = {{length, ENDS_BY_RESET, 1, 50},
                                           {length, ENDS_BY_RESET, 100000, 50},
                                           {length, ENDS_BY_CLOSE, 1, 50}};
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        received r = play(&answers[i]);
        ck_assert_int_eq(r.status, 200);
        ck_assert_uint_eq(r.size, PART);
    }
}
END_TEST

/* Guards against a part whose length shows that something is missing. */
START_TEST(early_answer_that_is_short_by_its_framing_is_not_complete) {
    static const early_answer answers[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n", ENDS_BY_RESET, 1, 0},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n", ENDS_BY_RESET, 1, 50}};
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        ck_assert_int_ne(play(&answers[i]).status, 200);
    }
}
END_TEST

WG_TEST_MAIN("early answers", answer_to_a_part_of_an_upload_is_not_complete,
             early_answer_that_is_whole_by_its_framing_is_delivered,
             early_answer_that_is_short_by_its_framing_is_not_complete)
