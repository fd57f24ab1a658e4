/* test_cold_coordinators.c -- which admissions to a cold target an entry host grants to another one

   A host must grant them only while it is the coordinator, and not at once after it became so;
   otherwise several coordinators in short order overload the cold target. */
#include "one_entry.h"

enum {
    COLD_RATE = 3, /* requests a second */
    COLD_CALLS = 12,
    ANY_TARGET = 77, /* a target that is not in this host's registry */
    SETTLE_MS = 1000
};

static void lead(const char* other_member, uint64_t members_change) {
    static const char document[] =
        "{\"version\":5,\"services\":[{\"name\":\"e\"}],\"routes\":[],\"limits\":{},"
        "\"workspaces\":[]}";
    fake_control_send_leader_state(&leader, &(fake_update){.version = 5,
                                                           .document = document,
                                                           .target = target_address,
                                                           .other_member = other_member,
                                                           .members_change = members_change});
    run_turns(20);
}

/* Waits until the host may grant again; repeated states keep its link to the leader. */
static void settle(const char* other_member, uint64_t members_change) {
    enum {
        STATE_INTERVAL_MS = 300
    };
    for (int ms = 0; ms < SETTLE_MS + STATE_INTERVAL_MS; ms += STATE_INTERVAL_MS) {
        lead(other_member, members_change);
        run_turns(STATE_INTERVAL_MS);
    }
}

static void begin(void) {
    one_entry_begin();
    lead(NULL, 1);
}

static void end(void) {
    one_entry_end();
}

/* ---- another entry host that requests admissions ---- */

static wgn_link requester_link;
static int admissions_granted;
static int admissions_answered;

static void requester_on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)peer;
    (void)user_data;
    requester_link = link;
}

static void requester_on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    (void)link;
    (void)user_data;
    if (frame->type == WGW_TYPE_ADMIT_ANSWER) {
        Wgpb__AdmitAnswer* in = wgpb__admit_answer__unpack(NULL, frame->size, frame->payload);
        admissions_answered++;
        admissions_granted += in->granted;
        wgpb__admit_answer__free_unpacked(in, NULL);
    }
}

static void requester_on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    (void)peer;
    (void)user_data;
}

/* Requests COLD_CALLS admissions from this host, as another host that knows the target as cold. */
static void request_admissions(uint32_t target) {
    wgn_peer self = {.name = "other", .role = WGW_ROLE_ENTRY, .address = "127.0.0.1:1"};
    char* fleet = local_address(11, 18005);
    requester_link = (wgn_link){0};
    admissions_answered = admissions_granted = 0;
    wgn_net* net = wgn_setup(&(wgn_desc){.base = base,
                                         .fleet_key = "a key for the fleet",
                                         .self = self,
                                         .on_up = requester_on_up,
                                         .on_frame = requester_on_frame,
                                         .on_down = requester_on_down},
                             NULL);
    wgn_dial(net, fleet);
    for (int i = 0; i < TURNS_MAX && !requester_link.id; i++) {
        local_run_loop(base);
    }
    ck_assert_uint_ne(requester_link.id, 0);
    for (uint64_t ticket = 1; ticket <= COLD_CALLS; ticket++) {
        Wgpb__AdmitAsk request = WGPB__ADMIT_ASK__INIT;
        request.ticket = ticket;
        request.target = target;
        request.tokens = 10;
        request.whole_us = request.ahead_us = request.ahead_large_us = 1000 * WG_USEC_PER_SEC;
        request.cold_rate = COLD_RATE;
        ck_assert(wgn_send(net, requester_link, WGW_TYPE_ADMIT_ASK, &request.base));
    }
    for (int i = 0; i < TURNS_MAX && admissions_answered < COLD_CALLS; i++) {
        local_run_loop(base);
    }
    ck_assert_int_eq(admissions_answered, COLD_CALLS);
    wgn_shutdown(net);
    g_free(fleet);
}

/* A coordinator without a leader may not know a new target, or that it is cold: the request says
   so. */
START_TEST(coordinator_applies_the_cold_rate_of_the_request) {
    begin();
    request_admissions(ANY_TARGET);
    ck_assert_int_eq(admissions_granted, COLD_RATE);
    end();
}
END_TEST

START_TEST(started_coordinator_grants_no_cold_target) {
    fake_entry_cold_settle_ms = 60000;
    begin();
    request_admissions(ANY_TARGET);
    ck_assert_int_eq(admissions_granted, 0);
    end();
    fake_entry_cold_settle_ms = 0;
}
END_TEST

/* The first target of which the other host is the coordinator. */
static uint32_t target_coordinated_by(const char* other) {
    uint64_t here = wg_hash("here", strlen("here"), 0);
    uint64_t there = wg_hash(other, strlen(other), 0);
    uint32_t target = ANY_TARGET;
    while (wg_hash(&target, sizeof target, there) < wg_hash(&target, sizeof target, here)) {
        target++;
    }
    return target;
}

START_TEST(only_the_coordinator_grants_a_cold_target) {
    begin();
    lead("there", 2);
    request_admissions(target_coordinated_by("there"));
    ck_assert_int_eq(admissions_granted, 0);
    end();
}
END_TEST

/* A new coordinator waits until admissions by the previous one no longer count. */
START_TEST(new_coordinator_waits_before_it_grants) {
    fake_entry_cold_settle_ms = SETTLE_MS;
    begin();
    settle("there", 2);
    lead(NULL, 3);
    request_admissions(target_coordinated_by("there"));
    ck_assert_int_eq(admissions_granted, 0);
    settle(NULL, 3);
    request_admissions(target_coordinated_by("there"));
    ck_assert_int_eq(admissions_granted, COLD_RATE);
    end();
    fake_entry_cold_settle_ms = 0;
}
END_TEST

/* A change of members must not delay admissions to targets with an unchanged coordinator. */
START_TEST(unchanged_coordinator_grants_without_a_wait) {
    fake_entry_cold_settle_ms = SETTLE_MS;
    begin();
    settle(NULL, 1);
    lead("there", 2);
    uint32_t own = ANY_TARGET;
    uint64_t here = wg_hash("here", strlen("here"), 0);
    uint64_t there = wg_hash("there", strlen("there"), 0);
    while (wg_hash(&own, sizeof own, there) > wg_hash(&own, sizeof own, here)) {
        own++;
    }
    request_admissions(own);
    ck_assert_int_eq(admissions_granted, COLD_RATE);
    end();
    fake_entry_cold_settle_ms = 0;
}
END_TEST

WG_TEST_MAIN("cold coordinators", coordinator_applies_the_cold_rate_of_the_request,
             started_coordinator_grants_no_cold_target, only_the_coordinator_grants_a_cold_target,
             new_coordinator_waits_before_it_grants, unchanged_coordinator_grants_without_a_wait)
