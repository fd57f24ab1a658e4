/* test_surplus_answers.c -- one entry host: a target sends more after a whole answer

   What comes too much belongs to no request, also if it looks like an answer and arrives once the
   next request has been sent on that connection. */
#include "one_entry.h"

/* Sends a request with an id and returns the caller's connection once the target has it. */
static int ask(int number) {
    char fields[64];
    g_snprintf(fields, sizeof fields, "Walnutgate-Request: id-%d\r\n", number);
    g_string_truncate(target_received, 0);
    int fd = send_get("/w/x", fields);
    ck_assert(target_got_request());
    return fd;
}

/* `id`: number of the request whose id is echoed; 0: none is. */
static void answer(int id, const char* body) {
    char echo[64] = "";
    if (id) {
        g_snprintf(echo, sizeof echo, "Walnutgate-Request: id-%d\r\n", id);
    }
    char* text = g_strdup_printf("HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s", echo,
                                 strlen(body), body);
    target_send(text);
    g_free(text);
}

static void begin(void) {
    one_entry_begin();
    one_entry_lead(&(one_route){.version = 1, .prefix = "/w/", .timeout_ms = 2000});
}

/* Plays two requests on one connection of the target; the second gets a surplus answer before its
   own. Returns the status that its caller gets; `text` receives the answer. */
static int play_surplus(int surplus_id, char text[1024]) {
    begin();
    int first = ask(1);
    answer(1, "one");
    ck_assert_int_eq(status_of(first, text), 200);
    int connections = target_connections;
    int second = ask(2);
    ck_assert_int_eq(target_connections, connections); /* the same one */
    answer(surplus_id, "surplus");
    int status = status_of(second, text);
    close(first);
    close(second);
    one_entry_end();
    return status;
}

/* Guards against a caller that gets as its answer what a target sent after an earlier one. */
START_TEST(surplus_without_an_id_is_no_answer) {
    char text[1024];
    int status = play_surplus(0, text);
    ck_assert_int_eq(status, 502);
    ck_assert_ptr_null(strstr(text, "surplus"));
}
END_TEST

START_TEST(surplus_with_another_id_is_no_answer) {
    char text[1024];
    int status = play_surplus(1, text);
    ck_assert_int_eq(status, 502);
    ck_assert_ptr_null(strstr(text, "surplus"));
}
END_TEST

/* Guards against a strictness that refuses the answers of targets that echo no ids. */
START_TEST(target_that_echoes_no_ids_is_understood) {
    char text[1024];
    begin();
    for (int i = 1; i <= 3; i++) {
        int fd = ask(i);
        answer(0, "plain");
        ck_assert_int_eq(status_of(fd, text), 200);
        close(fd);
    }
    one_entry_end();
}
END_TEST

WG_TEST_MAIN("surplus answers", surplus_without_an_id_is_no_answer,
             surplus_with_another_id_is_no_answer, target_that_echoes_no_ids_is_understood)
