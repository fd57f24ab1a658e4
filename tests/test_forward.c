/* test_forward.c -- headers passed to targets: callers cannot set fields reserved for the system */
#include <string.h>

#include "platform_names.h"
#include "wg_forward.h"
#include "wg_test.h"

static char* forward(const char* fields, const char* last_event) {
    char* text =
        g_strdup_printf("POST /p/x?y=1 HTTP/1.1\r\nHost: h\r\n%sContent-Length: 3\r\n\r\n", fields);
    wg_message_head head;
    ck_assert_int_eq(wg_message_parse_request(text, strlen(text), &head), 0);
    struct evbuffer* out = evbuffer_new();
    wg_forward_write(&platform_entry_names,
                     &(wg_forward){.head = &head,
                                   .deadline_ms = 700,
                                   .target_id = "t-1",
                                   .workspace = "w",
                                   .copy_from = "10.0.0.9:80",
                                   .last_event = last_event,
                                   .body_size = 3},
                     out);
    evbuffer_add(out, "", 1);
    char* sent = g_strdup((const char*)evbuffer_pullup(out, -1));
    evbuffer_free(out);
    g_free(text);
    return sent;
}

static int occurrences(const char* text, const char* line) {
    int num = 0;
    for (const char* at = text; (at = strstr(at, line)); at++) {
        num++;
    }
    return num;
}

/* Reserved fields are dropped in any case of letters, also if repeated. */
START_TEST(fields_that_the_system_sets_are_withheld) {
    static const char* const names[] = {"Hold",     "Pin-Ms",          "Kv-Backup",      "Kv-From",
                                        "Kv-Fetch", "Expect-Instance", "Expect-Version", "Tenant",
                                        "Key",      "Wait-Ms",         "Deadline-Ms"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char* lower = g_ascii_strdown(names[i], -1);
        char* upper = g_ascii_strup(names[i], -1);
        char* fields = g_strdup_printf("%s: made-up\r\nX-Own: 1\r\n%s: made-up\r\n%s: made-up\r\n",
                                       names[i], lower, upper);
        char* sent = forward(fields, "");
        ck_assert_msg(!strstr(sent, "made-up"), "%s was passed on:\n%s", names[i], sent);
        ck_assert_int_eq(occurrences(sent, "X-Own: 1\r\n"), 1);
        g_free(sent);
        g_free(fields);
        g_free(upper);
        g_free(lower);
    }
}
END_TEST

START_TEST(system_fields_are_sent_once) {
    char* sent = forward("Attempt-Id: a1\r\nPrompt-Prefix: 5c:800,91:410\r\n"
                         "Token-Usage: 1210,80\r\nModel: m\r\nDeadline-Ms: 9000\r\n",
                         "");
    ck_assert_int_eq(strncmp(sent, "POST /p/x?y=1 HTTP/1.1\r\n", 24), 0);
    ck_assert_int_eq(occurrences(sent, "Attempt-Id: a1\r\n"), 1);
    ck_assert_int_eq(occurrences(sent, "Prompt-Prefix: 5c:800,91:410\r\n"), 1);
    ck_assert_int_eq(occurrences(sent, "Token-Usage: 1210,80\r\n"), 1);
    ck_assert_int_eq(occurrences(sent, "Model: m\r\n"), 1);
    ck_assert_int_eq(occurrences(sent, "Deadline-Ms: "), 1);
    ck_assert_int_eq(occurrences(sent, "Deadline-Ms: 700\r\n"), 1);
    ck_assert_int_eq(occurrences(sent, "Expect-Instance: t-1\r\n"), 1);
    ck_assert_int_eq(occurrences(sent, "Tenant: w\r\n"), 1);
    ck_assert_int_eq(occurrences(sent, "Kv-Fetch: 10.0.0.9:80\r\n"), 1);
    ck_assert_int_eq(occurrences(sent, "Content-Length: 3\r\n"), 1);
    ck_assert_int_eq(occurrences(sent, "\r\n\r\n"), 1);
    g_free(sent);
}
END_TEST

/* Last-Event-Id of the caller is passed on until this host has a later one. */
START_TEST(newest_last_event_id_is_sent) {
    char* sent = forward("Last-Event-Id: 4\r\n", "");
    ck_assert_int_eq(occurrences(sent, "Last-Event-Id: 4\r\n"), 1);
    g_free(sent);
    sent = forward("Last-Event-Id: 4\r\n", "9");
    ck_assert_int_eq(occurrences(sent, "Last-Event-Id: "), 1);
    ck_assert_int_eq(occurrences(sent, "Last-Event-Id: 9\r\n"), 1);
    g_free(sent);
}
END_TEST

/* Trailer fields of a chunked body are consumed and dropped. */
START_TEST(trailers_are_not_forwarded) {
    static const char head_text[] =
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    wg_message_head head;
    ck_assert_int_eq(wg_message_parse_request(head_text, sizeof head_text - 1, &head), 0);
    wg_body body = {0};
    wg_body_begin(&body, &head);
    struct evbuffer* in = evbuffer_new();
    struct evbuffer* out = evbuffer_new();
    evbuffer_add_printf(in, "3\r\nabc\r\n0\r\nKv-From: 1.2.3.4:5/6\r\nHold: x\r\n\r\n");
    ck_assert_int_eq(wg_body_read(&body, in, out), WG_BODY_COMPLETE);
    ck_assert_uint_eq(evbuffer_get_length(in), 0);
    ck_assert_uint_eq(evbuffer_get_length(out), 3);
    evbuffer_free(in);
    evbuffer_free(out);
}
END_TEST

WG_TEST_MAIN("forward", fields_that_the_system_sets_are_withheld, system_fields_are_sent_once,
             newest_last_event_id_is_sent, trailers_are_not_forwarded)
