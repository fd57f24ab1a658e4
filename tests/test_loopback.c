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
static pid_t other(char address[ADDRESS_MAX]) {
    int tell[2];
    ck_assert_int_eq(pipe(tell), 0);
    pid_t pid = fork();
    if (pid == 0) {
        char* own = local_address(1, 18000);
        char text[ADDRESS_MAX] = "";
        g_strlcpy(text, own, sizeof text);
        _exit(write(tell[1], text, sizeof text) != (ssize_t)sizeof text || pause());
    }
    close(tell[1]);
    ck_assert_int_eq(read(tell[0], address, ADDRESS_MAX), ADDRESS_MAX);
    close(tell[0]);
    return pid;
}

static void end(pid_t pid) {
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
}

/* Covers two concurrent processes whose ids are equal modulo 250. */
START_TEST(processes_with_similar_ids_have_different_addresses) {
    char first_at[ADDRESS_MAX];
    char second_at[ADDRESS_MAX];
    pid_t first = other(first_at);
    pid_t second = 0;
    for (int i = 0; i < FORKS_MAX && !second; i++) {
        second = other(second_at);
        if (second % 250 != first % 250) {
            end(second);
            second = 0;
        }
    }
    ck_assert_int_ne(second, 0);
    ck_assert_str_ne(first_at, second_at);
    end(second);
    end(first);
}
END_TEST

START_TEST(a_process_keeps_its_part_of_the_addresses) {
    char* first = local_address(1, 18000);
    char* again = local_address(1, 18000);
    ck_assert_str_eq(first, again);
    g_free(first);
    g_free(again);
}
END_TEST

WG_TEST_MAIN("loopback", processes_with_similar_ids_have_different_addresses,
             a_process_keeps_its_part_of_the_addresses)
