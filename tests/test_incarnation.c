/* test_incarnation.c -- when a host asks which process it talks to, and what it believes */
#include "wg_incarnation.h"
#include "wg_test.h"

enum {
    T = 7,
    START = 100 * SECOND,
    SETTLED = START + WG_INCARNATION_DOUBT_TIME
};

static wg_incarnations* begin(void) {
    wg_incarnations* x = wg_incarnations_setup();
    wg_incarnations_doubt_all(x, START);
    return x;
}

/* Guards against a stream that goes on at a process which nobody asked, and against questions on
   connections whose process is known: it is known for each connection that is older than a question
   that was answered, and for as long as the connection lasts. */
START_TEST(stream_goes_on_only_on_connections_older_than_an_answered_question) {
    wg_incarnations* x = begin();
    wg_time old = SETTLED;
    wg_time asked = old + SECOND;
    wg_time later = asked + 1;
    ck_assert_int_eq(wg_incarnations_continue(x, asked, T, old), WG_INCARNATION_ASK);
    wg_incarnations_answer(x, asked + 1, T, asked, WG_INCARNATION_SAME);
    ck_assert_int_eq(wg_incarnations_continue(x, later, T, old), WG_INCARNATION_SURE);
    ck_assert_int_eq(wg_incarnations_continue(x, later, T, asked), WG_INCARNATION_SURE);
    ck_assert_int_eq(wg_incarnations_continue(x, later, T, later), WG_INCARNATION_ASK);
    wg_incarnations_doubt(x, later, T);
    ck_assert_int_eq(wg_incarnations_continue(x, later, T, old), WG_INCARNATION_SURE);
    wg_incarnations_shutdown(x);
}
END_TEST

/* Guards against a question for each new stream: one for each reason to doubt, and none after the
   time in which a restart would be known. */
START_TEST(new_stream_asks_once_for_each_reason_to_doubt) {
    wg_incarnations* x = begin();
    ck_assert_int_eq(wg_incarnations_begin(x, START, T), WG_INCARNATION_ASK);
    wg_incarnations_answer(x, START + 2, T, START + 1, WG_INCARNATION_SAME);
    ck_assert_int_eq(wg_incarnations_begin(x, START + 3, T), WG_INCARNATION_SURE);
    wg_incarnations_doubt(x, START + 4, T);
    ck_assert_int_eq(wg_incarnations_begin(x, START + 5, T), WG_INCARNATION_ASK);
    ck_assert_int_eq(wg_incarnations_begin(x, SETTLED + 4, T), WG_INCARNATION_SURE);
    ck_assert_int_eq(wg_incarnations_begin(x, SETTLED - 1, T + 1), WG_INCARNATION_ASK);
    ck_assert_int_eq(wg_incarnations_begin(x, SETTLED, T + 1), WG_INCARNATION_SURE);
    wg_incarnations_shutdown(x);
}
END_TEST

/* Guards against streams at a process that said it is another one, and against a target that is
   avoided for good. */
START_TEST(other_process_is_avoided_and_asked_again) {
    wg_incarnations* x = begin();
    wg_time now = SETTLED;
    wg_incarnations_answer(x, now, T, now - 1, WG_INCARNATION_SAME);
    wg_incarnations_answer(x, now + 2, T, now + 1, WG_INCARNATION_OTHER);
    ck_assert(!wg_incarnations_may_choose(x, now + 3, T, true));
    ck_assert(!wg_incarnations_may_choose(x, now + 3, T, false));
    ck_assert_int_eq(wg_incarnations_continue(x, now + 3, T, now - 2), WG_INCARNATION_AVOID);
    now += 2 + WG_INCARNATION_OTHER_TIME;
    ck_assert_int_eq(wg_incarnations_continue(x, now, T, 0), WG_INCARNATION_ASK);
    ck_assert_int_eq(wg_incarnations_begin(x, now, T), WG_INCARNATION_ASK);
    wg_incarnations_forget(x, T);
    ck_assert_int_eq(wg_incarnations_begin(x, now, T), WG_INCARNATION_SURE);
    wg_incarnations_shutdown(x);
}
END_TEST

/* Guards against trust in a target that does not tell and whose heartbeats have ceased, or came
   only before there was a reason to doubt; and against refusals where they go on. */
START_TEST(target_that_does_not_tell_needs_heartbeats_in_time) {
    enum {
        INTERVAL = SECOND
    };
    static const struct {
        wg_heartbeats heartbeats;
        bool believed;
    } cases[] = {
        {{true, INTERVAL / 2, INTERVAL}, true},
        {{true, INTERVAL + INTERVAL / 2 + WG_HEARTBEAT_TOLERANCE, INTERVAL}, true},
        {{true, INTERVAL + INTERVAL / 2 + WG_HEARTBEAT_TOLERANCE + 1, INTERVAL}, false},
        {{true, 10 * SECOND, 60 * SECOND}, false},
        {{false, 0, 0}, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        wg_incarnations* x = begin();
        wg_time now = SETTLED;
        wg_incarnations_answer(x, now, T, now - 1, WG_INCARNATION_UNTOLD);
        ck_assert_int_eq(wg_incarnations_continue(x, now, T, now - 2), WG_INCARNATION_ASK_LEADER);
        wg_incarnations_heard(x, now, T, &cases[i].heartbeats);
        ck_assert_int_eq(wg_incarnations_continue(x, now, T, now - 2),
                         cases[i].believed ? WG_INCARNATION_SURE : WG_INCARNATION_AVOID);
        ck_assert_int_eq(wg_incarnations_may_choose(x, now, T, true), cases[i].believed);
        ck_assert(wg_incarnations_may_choose(x, now, T, false));
        wg_incarnations_doubt(x, now, T);
        wg_time again = now + WG_INCARNATION_SILENT_TIME;
        ck_assert_int_eq(wg_incarnations_continue(x, again, T, now), WG_INCARNATION_ASK_LEADER);
        wg_incarnations_shutdown(x);
    }
}
END_TEST

WG_TEST_MAIN("incarnations", stream_goes_on_only_on_connections_older_than_an_answered_question,
             new_stream_asks_once_for_each_reason_to_doubt,
             other_process_is_avoided_and_asked_again,
             target_that_does_not_tell_needs_heartbeats_in_time)
