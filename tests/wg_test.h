#pragma once
/* wg_test.h -- main() of the test programs, and units of time */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "wg_base.h"

#define SECOND ((wg_time)WG_USEC_PER_SEC)
#define MSEC ((wg_time)WG_USEC_PER_MSEC)

/* Defines main() that runs the given START_TEST functions as one suite. */
#define WG_TEST_MAIN(suite_name, ...)                                                              \
    int main(void) {                                                                               \
        const TTest* tests[] = {__VA_ARGS__};                                                      \
        Suite* suite = suite_create(suite_name);                                                   \
        for (size_t i = 0; i < G_N_ELEMENTS(tests); i++) {                                         \
            /* One case per test, so that CK_RUN_CASE=name runs a single test. */                  \
            TCase* tcase = tcase_create(tests[i]->name);                                           \
            tcase_set_timeout(tcase, 120);                                                         \
            tcase_add_test(tcase, tests[i]);                                                       \
            suite_add_tcase(suite, tcase);                                                         \
        }                                                                                          \
        SRunner* runner = srunner_create(suite);                                                   \
        srunner_run_all(runner, CK_NORMAL);                                                        \
        int failed = srunner_ntests_failed(runner);                                                \
        srunner_free(runner);                                                                      \
        return failed ? EXIT_FAILURE : EXIT_SUCCESS;                                               \
    }
