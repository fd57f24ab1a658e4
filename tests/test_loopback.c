/* test_loopback.c -- concurrent test processes use different loopback addresses

   Guards against tests that cannot listen because another one, whose process id is equal modulo
   250, uses the same address. */
#include <signal.h>
#include <sys/wait.h>

#include "local_control.h"

enum {
    ADDRESS_MAX = 64,
    FORKS_MAX = 8192
};

/* Forks a process that reports its first loopback address and then runs until it is killed. */
static pid_t fork_with_address(char address[ADDRESS_MAX]) {
    int report_pipe[2];
    ck_assert_int_eq(pipe(report_pipe), 0);
    pid_t pid = fork();
    if (pid == 0) {
        char* own = local_address(1, 18000);
        char text[ADDRESS_MAX] = "";
        g_strlcpy(text, own, sizeof text);
        _exit(write(report_pipe[1], text, sizeof text) != (ssize_t)sizeof text || pause());
    }
    close(report_pipe[1]);
    ck_assert_int_eq(read(report_pipe[0], address, ADDRESS_MAX), ADDRESS_MAX);
    close(report_pipe[0]);
    return pid;
}

static void kill_process(pid_t pid) {
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
}

/* Covers two concurrent processes whose ids are equal modulo 250. */
START_TEST(processes_with_similar_ids_have_different_addresses) {
    char first_address[ADDRESS_MAX];
    char second_address[ADDRESS_MAX];
    pid_t first = fork_with_address(first_address);
    pid_t second = 0;
    for (int i = 0; i < FORKS_MAX && !second; i++) {
        second = fork_with_address(second_address);
        if (second % 250 != first % 250) {
            kill_process(second);
            second = 0;
        }
    }
    ck_assert_int_ne(second, 0);
    ck_assert_str_ne(first_address, second_address);
    kill_process(second);
    kill_process(first);
}
END_TEST

START_TEST(process_keeps_its_address_range) {
    char* first = local_address(1, 18000);
    char* again = local_address(1, 18000);
    ck_assert_str_eq(first, again);
    g_free(first);
    g_free(again);
}
END_TEST

WG_TEST_MAIN("loopback", processes_with_similar_ids_have_different_addresses,
             process_keeps_its_address_range)
