/* test_log.c -- log lines when the reader of standard output is slow */
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "wg_base.h"
#include "wg_test.h"

enum {
    PIPE_BYTES = 4096,
    LINES = 100 /* more than the pipe holds */
};

static int reader; /* end of the pipe that standard output writes to */

static void begin(void) {
    int ends[2];
    ck_assert_int_eq(pipe2(ends, O_NONBLOCK), 0);
    ck_assert_int_gt(fcntl(ends[1], F_SETPIPE_SZ, PIPE_BYTES), 0);
    ck_assert_int_eq(dup2(ends[1], STDOUT_FILENO), STDOUT_FILENO);
    reader = ends[0];
    ck_assert(wg_log_setup("info", "stdout", NULL));
}

static char* read_all(void) {
    GString* text = g_string_new(NULL);
    char bytes[1024];
    for (ssize_t got; (got = read(reader, bytes, sizeof bytes)) > 0;) {
        g_string_append_len(text, bytes, got);
    }
    return g_string_free(text, FALSE);
}

/* Guards against an absent line being taken for an event that did not happen. */
START_TEST(lost_lines_are_counted_and_told) {
    begin();
    for (int i = 0; i < LINES; i++) {
        wg_log(WG_EVENT_CONNECTION_REFUSED, "id=%d and a text that fills the pipe sooner", i);
    }
    uint64_t lost = wg_log_lost();
    ck_assert_uint_gt(lost, 0);
    ck_assert_uint_lt(lost, LINES);
    g_free(read_all());
    wg_log(WG_EVENT_CONNECTION_REFUSED, "id=%d", LINES);
    char* text = read_all();
    char* told =
        g_strdup_printf("LOG_LOST: %s: lines=%d\n",
                        "log lines lost, as the reader of the log did not keep up", (int)lost);
    ck_assert_ptr_nonnull(strstr(text, told));
    ck_assert_ptr_nonnull(strstr(text, ": id=100\n"));
    ck_assert_uint_eq(wg_log_lost(), lost);
    g_free(told);
    g_free(text);
}
END_TEST

WG_TEST_MAIN("log", lost_lines_are_counted_and_told)
