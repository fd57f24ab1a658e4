/* test_quorum_start.c -- immediate election when all voters have just started, message by message
 */
#include <string.h>

#include "wg_quorum.h"
#include "wg_test.h"

enum {
    SELF = 10, /* id of the replica under test */
    OTHER = 20,
    THIRD = 30,
    ROUND_GAP = 25 * WG_USEC_PER_MSEC /* a little longer than the interval between two rounds */
};

static wg_time now;
static wgr_node* node;

/* Sets up one replica of a set of three; its log has `entries` entries of term 1 after the
   snapshot. */
static void start(uint64_t seed, int entries) {
    wgr_set set = {.num = 3};
    const uint64_t ids[] = {SELF, OTHER, THIRD};
    for (int i = 0; i < 3; i++) {
        set.replicas[i].id = ids[i];
        set.replicas[i].voter = true;
        g_snprintf(set.replicas[i].name, sizeof set.replicas[i].name, "c%d", i);
    }
    wgr_entry log[8];
    GBytes* data = g_bytes_new_static("x", 1);
    for (int i = 0; i < entries; i++) {
        log[i] =
            (wgr_entry){.index = 2 + (uint64_t)i, .term = 1, .kind = WGR_ENTRY_DATA, .data = data};
    }
    wgr_restored restored = {.term = 1,
                             .snapshot_index = 1,
                             .snapshot_term = 1,
                             .set = set,
                             .entries = log,
                             .entries_num = entries};
    now = 1000 * SECOND;
    node =
        wgr_setup(&(wgr_desc){.self = SELF, .seed = seed, .now = now, .restored = &restored}, NULL);
    ck_assert_ptr_nonnull(node);
    g_bytes_unref(data);
}

static void end(void) {
    wgr_shutdown(node);
}

/* Takes all pending output of the node. Returns the number of messages of `type` and copies the
   last one to `last`. */
static int take_sent(wgr_message_type type, wgr_message* last) {
    wgr_output out;
    int num = 0;
    while (wgr_output_next(node, &out)) {
        for (int i = 0; i < out.messages_num; i++) {
            if (out.messages[i].type == type) {
                num++;
                *last = out.messages[i];
                last->entries = NULL;
                last->chunk = NULL;
            }
        }
        wgr_output_done(node, now);
    }
    return num;
}

/* Ticks the node into its next round of start queries. Returns the round, or 0 if none was sent. */
static wg_time next_query_round(void) {
    wgr_message query = {0};
    now += ROUND_GAP;
    wgr_tick(node, now);
    return take_sent(WGR_MESSAGE_START_QUERY, &query) ? query.echo : 0;
}

static void send_start_reply(uint64_t from, wg_time round, uint64_t incarnation_id,
                             uint64_t log_index) {
    wgr_message m = {.type = WGR_MESSAGE_START_REPLY,
                     .from = from,
                     .to = SELF,
                     .term = 1,
                     .echo = round,
                     .incarnation = incarnation_id,
                     .log_index = log_index,
                     .log_term = 1};
    wgr_step(node, now, &m);
}

static int votes_requested(wgr_message* last) {
    return take_sent(WGR_MESSAGE_VOTE, last);
}

static wgr_message query_node(void) {
    wgr_message m = {.type = WGR_MESSAGE_START_QUERY, .from = OTHER, .to = SELF, .echo = 5};
    wgr_message reply = {0};
    wgr_step(node, now, &m);
    ck_assert_int_eq(take_sent(WGR_MESSAGE_START_REPLY, &reply), 1);
    return reply;
}

/* Whether the node grants its vote to a candidate that names this incarnation of the node. */
static bool grants_vote(uint64_t incarnation_id) {
    wgr_message m = {.type = WGR_MESSAGE_VOTE,
                     .from = OTHER,
                     .to = SELF,
                     .term = 9,
                     .log_index = 50,
                     .log_term = 8,
                     .incarnation = incarnation_id};
    wgr_message reply = {0};
    wgr_step(node, now, &m);
    return take_sent(WGR_MESSAGE_VOTE_REPLY, &reply) == 1 && !reply.reject;
}

static void receive_append(void) {
    wgr_message m = {.type = WGR_MESSAGE_APPEND,
                     .from = THIRD,
                     .to = SELF,
                     .term = 2,
                     .log_index = 1,
                     .log_term = 1};
    wgr_message reply = {0};
    wgr_step(node, now, &m);
    ck_assert_int_eq(take_sent(WGR_MESSAGE_APPEND_REPLY, &reply), 1);
    ck_assert(!reply.reject);
}

START_TEST(election_starts_after_a_second_round_of_answers) {
    start(1, 3);
    wg_time first = next_query_round();
    ck_assert_int_gt(first, 0);
    wgr_message vote = {0};
    send_start_reply(OTHER, first, 7, 2);
    send_start_reply(THIRD, first, 8, 2);
    ck_assert_int_eq(votes_requested(&vote), 0);
    wg_time second = next_query_round();
    ck_assert_int_gt(second, first);
    send_start_reply(OTHER, second, 7, 2);
    ck_assert_int_eq(votes_requested(&vote), 0);
    send_start_reply(THIRD, second, 8, 2);
    ck_assert_int_eq(votes_requested(&vote), 2);
    ck_assert_uint_eq(vote.incarnation, vote.to == OTHER ? 7 : 8);
    end();
}
END_TEST

/* Late answers to the first round do not count as answers to the second. */
START_TEST(late_answers_of_the_first_round_do_not_count) {
    start(1, 3);
    wgr_message vote = {0};
    wg_time first = next_query_round();
    send_start_reply(OTHER, first, 7, 2);
    send_start_reply(THIRD, first, 8, 2);
    send_start_reply(OTHER, first, 7, 2);
    send_start_reply(THIRD, first, 8, 2);
    ck_assert_int_eq(votes_requested(&vote), 0);
    end();
}
END_TEST

START_TEST(restart_between_rounds_requires_another_round) {
    start(1, 3);
    wgr_message vote = {0};
    wg_time first = next_query_round();
    send_start_reply(OTHER, first, 7, 2);
    send_start_reply(THIRD, first, 8, 2);
    wg_time second = next_query_round();
    send_start_reply(OTHER, second, 7, 2);
    send_start_reply(THIRD, second, 99, 2); /* a new incarnation */
    ck_assert_int_eq(votes_requested(&vote), 0);
    wg_time third = next_query_round();
    send_start_reply(OTHER, third, 7, 2);
    send_start_reply(THIRD, third, 99, 2);
    ck_assert_int_eq(votes_requested(&vote), 2);
    end();
}
END_TEST

START_TEST(newest_log_starts_the_election) {
    wgr_message vote = {0};
    /* The log of the node ends at index 4. */
    for (uint64_t other_last_index = 3; other_last_index <= 5; other_last_index++) {
        int votes = 0;
        start(1, 3);
        for (int i = 0; i < 2; i++) {
            wg_time round = next_query_round();
            send_start_reply(OTHER, round, 7, other_last_index);
            send_start_reply(THIRD, round, 8, 2);
            votes += votes_requested(&vote);
        }
        ck_assert_int_eq(votes, other_last_index == 5 ? 0 : 2);
        end();
    }
}
END_TEST

START_TEST(refusal_by_a_follower_ends_the_queries) {
    start(1, 3);
    wgr_message vote = {0};
    wg_time first = next_query_round();
    send_start_reply(OTHER, first, 7, 2);
    wgr_message refusal = {
        .type = WGR_MESSAGE_START_REPLY, .from = THIRD, .to = SELF, .echo = first, .reject = true};
    wgr_step(node, now, &refusal);
    ck_assert_int_eq(next_query_round(), 0);
    send_start_reply(OTHER, first + 1, 7, 2);
    send_start_reply(THIRD, first + 1, 8, 2);
    ck_assert_int_eq(votes_requested(&vote), 0);
    end();
}
END_TEST

START_TEST(promise_is_reported_and_kept) {
    start(1, 0);
    wgr_message before = query_node();
    ck_assert(!before.reject);
    ck_assert_uint_ne(before.incarnation, 0);
    receive_append();
    ck_assert(query_node().reject);
    ck_assert(!grants_vote(before.incarnation));
    end();
}
END_TEST

START_TEST(vote_requires_the_reported_incarnation) {
    start(1, 0);
    uint64_t incarnation_id = query_node().incarnation;
    ck_assert(grants_vote(incarnation_id));
    end();
    start(2, 0); /* the node restarts: a new incarnation */
    ck_assert(!grants_vote(incarnation_id));
    ck_assert(!grants_vote(0));
    ck_assert(grants_vote(query_node().incarnation));
    end();
}
END_TEST

START_TEST(replica_with_a_lost_disk_need_not_answer) {
    start(1, 3);
    wgr_message vote = {0};
    wgr_record_replaced(node, THIRD);
    for (int i = 0; i < 2; i++) {
        send_start_reply(OTHER, next_query_round(), 7, 2);
    }
    ck_assert_int_eq(votes_requested(&vote), 2);
    end();
}
END_TEST

WG_TEST_MAIN("quorum start", election_starts_after_a_second_round_of_answers,
             late_answers_of_the_first_round_do_not_count,
             restart_between_rounds_requires_another_round, newest_log_starts_the_election,
             refusal_by_a_follower_ends_the_queries, promise_is_reported_and_kept,
             vote_requires_the_reported_incarnation, replica_with_a_lost_disk_need_not_answer)
