/* test_loopback.c -- test programs that run at the same time use different addresses

   All test programs run at once, each test in a process of its own, and some listen on loopback
   addresses that they made of their process id modulo 250. Ids of processes that live at the same
   moment are often equal modulo 250: the later one could not listen. Evidence: one of 354 tests
   failed in a run on a machine with nothing else to do, and four in three runs at once, three of
   them with "Assertion 'listener != NULL' failed" or "'wgn_listen(...)' failed". */
#include <signal.h>
#include <sys/wait.h>

#include "local_control.h"

enum {
    ADDRESS_MAX = 64,
    FORKS_MAX = 8192
};

/* A process like any test's: it tells its first address and stays until it is ended. */
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

/* Two processes at a time, whose ids are equal modulo 250. */
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
