#pragma once
/* fake_control.h -- a scripted control and an entry host that is linked to it, both in the process
   of the test */
#include <string.h>

#include "local_control.h"
#include "wg_entry.h"

typedef struct {
    wgn_net* net;
    char* address;
    wgn_link link; /* to the entry host */
    int links_up;
    int links_down;
    int reports;
    int refusals;                /* number of following orders to answer with "not the leader" */
    int evacuations;             /* orders to begin or end an evacuation */
    char evacuated[WG_NAME_MAX]; /* data centre of the last evacuation order */
    bool evacuation_begins;
    uint64_t evacuation_cold_us;
    int crashes;                   /* crashes in all reports so far */
    uint64_t crash_fingerprint;    /* fingerprint of the last crash reported */
    bool crash_was_early;          /* early flag of the last crash reported */
    uint64_t ended_well;           /* last fingerprint reported as ended well; 0: none */
    uint64_t released_fingerprint; /* fingerprint that an order released; 0: none */
    uint64_t recovery;             /* forced recovery in the last report */
    int roster_names;              /* names of entry hosts in all reports so far */
    int standby_requests;     /* reports that request the state of a replica without a leader */
    int target_orders;        /* heartbeats and deregistrations */
    uint64_t target_born;     /* incarnation in the last target order */
    uint32_t unread_max;      /* most unread tokens at one target in any report */
    uint64_t read_us;         /* time to process them, as reported with them */
    bool confirms;            /* leads, in the first term */
    bool answers_reports;     /* as leader that has nothing new */
    bool answers_search;      /* answers entry hosts that search for a leader */
    uint64_t version;         /* configuration in these answers */
    uint64_t registry_change; /* and targets */
} fake_control;

static inline void fake_control_on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    fake_control* f = user_data;
    if (peer->role == WGW_ROLE_ENTRY) {
        f->link = wgn_query_peer(f->net, f->link) ? f->link : link; /* not that of a search */
        f->links_up++;
    }
}

/* Records and acknowledges orders about evacuations, targets and quarantines. */
static inline void fake_control_handle_order(fake_control* f, wgn_link link,
                                             const wgw_frame* frame) {
    Wgpb__Order* in = wgpb__order__unpack(NULL, frame->size, frame->payload);
    Wgpb__OrderAnswer answer = WGPB__ORDER_ANSWER__INIT;
    if (in && in->evacuation) {
        f->evacuations++;
        wg_copy_name(f->evacuated, sizeof f->evacuated, in->evacuation->data_centre);
        f->evacuation_begins = in->evacuation->begins;
        f->evacuation_cold_us = in->evacuation->cold_us;
        answer.ticket = in->ticket;
        answer.outcome = f->refusals > 0 ? WG_ORDER_NOT_LEADER : WG_ORDER_DONE;
        f->refusals -= f->refusals > 0;
        wgn_send(f->net, link, WGW_TYPE_ORDER_ANSWER, &answer.base);
    }
    if (in && in->target) {
        f->target_orders++;
        f->target_born = in->target->born;
        answer.ticket = in->ticket;
        answer.outcome = WG_ORDER_DONE;
        wgn_send(f->net, link, WGW_TYPE_ORDER_ANSWER, &answer.base);
    }
    if (in && in->quarantine) {
        f->released_fingerprint = in->quarantine->fingerprint;
        answer.ticket = in->ticket;
        answer.outcome = WG_ORDER_DONE;
        wgn_send(f->net, link, WGW_TYPE_ORDER_ANSWER, &answer.base);
    }
    wgpb__order__free_unpacked(in, NULL);
}

/* Answers a report as a leader that has nothing new. */
static inline void fake_control_confirm(fake_control* f, const Wgpb__EntryReport* in) {
    Wgpb__EntryState state = WGPB__ENTRY_STATE__INIT;
    state.leads = true;
    state.term = 1;
    state.report_seq = in->seq;
    state.configuration_version = in->configuration_version;
    state.registry_change = in->registry_change;
    state.members_change = in->members_change;
    state.quarantine_change = in->quarantine_change;
    state.report_ms = 100;
    wgn_send(f->net, f->link, WGW_TYPE_ENTRY_STATE, &state.base);
}

static inline void fake_control_handle_search(fake_control* f, wgn_link link,
                                              const wgw_frame* frame) {
    Wgpb__LeaderAsk* in = wgpb__leader_ask__unpack(NULL, frame->size, frame->payload);
    Wgpb__LeaderAnswer answer = WGPB__LEADER_ANSWER__INIT;
    answer.ticket = in->ticket;
    answer.leads = f->confirms;
    answer.term = 1;
    answer.configuration_version = f->version;
    answer.registry_change = f->registry_change;
    wgn_send(f->net, link, WGW_TYPE_LEADER_ANSWER, &answer.base);
    wgpb__leader_ask__free_unpacked(in, NULL);
}

static inline void fake_control_handle_report(fake_control* f, const wgw_frame* frame) {
    Wgpb__EntryReport* in = wgpb__entry_report__unpack(NULL, frame->size, frame->payload);
    f->reports++;
    f->crashes += (int)in->n_crashes;
    if (in->n_crashes > 0) {
        f->crash_fingerprint = in->crashes[in->n_crashes - 1]->fingerprint;
        f->crash_was_early = in->crashes[in->n_crashes - 1]->early;
    }
    f->standby_requests += in->standby;
    f->recovery = in->recovery;
    f->roster_names += (int)in->n_members;
    for (size_t i = 0; i < in->n_loads; i++) {
        if (in->loads[i]->unread > f->unread_max) {
            f->unread_max = in->loads[i]->unread;
            f->read_us = in->loads[i]->read_us;
        }
    }
    if (in->n_ended_well > 0) {
        f->ended_well = in->ended_well[0];
    }
    if (f->confirms && f->answers_reports) {
        fake_control_confirm(f, in);
    }
    wgpb__entry_report__free_unpacked(in, NULL);
}

static inline void fake_control_on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    fake_control* f = user_data;
    if (frame->type == WGW_TYPE_ENTRY_REPORT) {
        f->link = link;
        fake_control_handle_report(f, frame);
    }
    if (frame->type == WGW_TYPE_LEADER_ASK && f->answers_search) {
        fake_control_handle_search(f, link, frame);
    }
    if (frame->type == WGW_TYPE_ORDER) {
        fake_control_handle_order(f, link, frame);
    }
}

static inline void fake_control_on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    ((fake_control*)user_data)->links_down += peer != NULL;
}

static inline void fake_control_begin_as(struct event_base* base, fake_control* f, int number,
                                         wgw_role role) {
    *f = (fake_control){.address = local_address(number, LOCAL_FLEET_PORT)};
    wgn_peer self = {.role = role, .identity = (uint64_t)number, .cluster = 1};
    g_snprintf(self.name, sizeof self.name, "c%d", number);
    wg_copy_name(self.address, sizeof self.address, f->address);
    f->net = wgn_setup(&(wgn_desc){.base = base,
                                   .fleet_key = "a key for the fleet",
                                   .self = self,
                                   .on_up = fake_control_on_up,
                                   .on_frame = fake_control_on_frame,
                                   .on_down = fake_control_on_down,
                                   .user_data = f},
                       NULL);
    ck_assert(wgn_listen(f->net, f->address, NULL));
}

static inline void fake_control_begin(struct event_base* base, fake_control* f, int number) {
    fake_control_begin_as(base, f, number, WGW_ROLE_CONTROL);
}

static inline void fake_control_end(fake_control* f) {
    if (f->net) { /* NULL: a test has shut it down */
        wgn_shutdown(f->net);
    }
    g_free(f->address);
}

/* Sends that this control does not lead. `leader`: address of the leader, NULL if unknown. */
static inline void fake_control_send_leader(fake_control* f, const char* leader) {
    Wgpb__EntryState state = WGPB__ENTRY_STATE__INIT;
    state.leader_address = (char*)(leader ? leader : "");
    ck_assert(wgn_send(f->net, f->link, WGW_TYPE_ENTRY_STATE, &state.base));
}

/* Descriptor limit of the next entry host; 0: unset. */
static int64_t fake_entry_descriptors;

/* Time after its start in which the next entry host sends nothing to cold targets. */
static int64_t fake_entry_cold_settle_ms;

/* Whether the next entry host learns base times of targets. */
static bool fake_entry_learn_base;

/* Setting hold_percent of the next entry host. */
static int64_t fake_entry_hold_percent;

/* Time for which the next entry host waits for a leader before it takes the state of a replica. */
static int64_t fake_entry_standby_ms;

/* Time after its acknowledgement within which the next entry host obeys a configuration; 0: it
   decides by what it has. */
static int64_t fake_entry_configuration_ms;

/* Time after its start in which the next entry host waits for the answers of other hosts. */
static int64_t fake_entry_recovery_query_ms = 150;

/* Settings of the next entry host: use of room as told by the leader, and limits by route. */
static int64_t fake_entry_room_wait_ms;
static int64_t fake_entry_route_limits;

/* Input delay above which the next entry host refuses requests on arrival; 0: never. */
static int64_t fake_entry_input_delay_ms;

/* Input delay above which the next entry host hands requests off; 0: never. */
static int64_t fake_entry_handoff_delay_ms;

/* Settings of the next entry host: whether idle connections give way when descriptors run short,
   and whether a workspace far above its share is refused at once. */
static int64_t fake_entry_spare_descriptors;
static int64_t fake_entry_refuse_over_share;

/* Setting retry_after_percent of the next entry host. */
static int64_t fake_entry_retry_after_percent;

/* Retries of the next entry host per window of 10 s; 0: none. */
static double fake_entry_retry_slack;

/* Bound on held bytes of the next entry host, and its limit of the time without reading; 0: none.
 */
static double fake_entry_held_mb;
static int64_t fake_entry_unread_ms;

/* Connections of callers that the next entry host accepts; 0: 1000. */
static int64_t fake_entry_callers_max;

static inline wg_entry* fake_control_entry(struct event_base* base, char** seeds) {
    static wg_entry_settings settings;
    settings =
        (wg_entry_settings){.name = "here",
                            .data_centre = "dc",
                            .callers_listen = local_address(11, 18001),
                            .ready_listen = local_address(11, 18002),
                            .entry_listen = local_address(11, 18003),
                            .orders_listen = local_address(11, 18004),
                            .fleet_listen = local_address(11, 18005),
                            .seeds = seeds,
                            .fleet_port = LOCAL_FLEET_PORT,
                            .fleet_key = "a key for the fleet",
                            .entry_keep_s = 1,
                            .grace_s = 8,
                            .link_silence_ms = 1200,
                            .order_ms = 900,
                            .configuration_ms = fake_entry_configuration_ms,
                            .cold_settle_ms = fake_entry_cold_settle_ms,
                            .standby_ms = fake_entry_standby_ms,
                            .recovery_query_ms = fake_entry_recovery_query_ms,
                            .retry_window_ms = 10000,
                            .retry_slack = fake_entry_retry_slack,
                            .learn_base = fake_entry_learn_base,
                            .target_rest_max_s = 3600,
                            .hold_percent = fake_entry_hold_percent,
                            .descriptors = fake_entry_descriptors,
                            .room_wait_ms = fake_entry_room_wait_ms,
                            .route_limits = fake_entry_route_limits,
                            .input_delay_ms = fake_entry_input_delay_ms,
                            .held_mb = fake_entry_held_mb,
                            .unread_ms = fake_entry_unread_ms,
                            .handoff_delay_ms = fake_entry_handoff_delay_ms,
                            .spare_descriptors = fake_entry_spare_descriptors,
                            .refuse_over_share = fake_entry_refuse_over_share,
                            .retry_after_percent = fake_entry_retry_after_percent,
                            .callers_max = fake_entry_callers_max ? fake_entry_callers_max : 1000};
    GError* error = NULL;
    wg_entry* entry = wg_entry_setup(&(wg_entry_desc){.base = base, .settings = &settings}, &error);
    ck_assert_msg(entry != NULL, "%s", error ? error->message : "");
    return entry;
}

/* Content of a state update: a configuration, one target of service "e", and the entry host "here"
   as the only member unless `other_member` is set. */
typedef struct {
    uint64_t version;
    const char* document;
    uint64_t term;         /* term of the sender; 0 counts as 1 */
    const char* target;    /* ip:port */
    const char* evacuated; /* evacuated data centre, NULL: none; the target is in "dc" */
    uint32_t number;       /* number of the target; 0 counts as 1 */
    const char* id;        /* id of the target; NULL: made from its number */
    uint64_t born;         /* incarnation of the target */
    uint64_t cold_us;      /* time for which the target remains cold */
    uint64_t change;       /* change number of the registry; 0 counts as 1 */
    Wgpb__WorkspaceUsage** usage;
    size_t usage_num;
    uint32_t replaced_number;    /* number of the target that this one replaced; 0: none */
    const char* other_member;    /* name of another entry host; NULL none */
    const char* other_address;   /* of its callers' listener; NULL: not reachable */
    uint64_t members_change;     /* change number of the members; 0 counts as 1 */
    const uint64_t* quarantined; /* fingerprints */
    size_t quarantined_num;
    uint64_t quarantine_change;
    uint32_t running; /* requests of other hosts at the target; told with the usage */
    uint32_t unread;  /* prompt tokens of these requests */
    /* Room of service "e", told with the usage; 0 ready targets: nothing is told. */
    uint32_t room_ready;
    uint32_t room_targets;
    uint32_t report_ms; /* interval between reports; 0 counts as 100 */
} fake_update;

static inline void fake_control_send_state(fake_control* f, const fake_update* update, bool leads) {
    Wgpb__Configuration configuration = WGPB__CONFIGURATION__INIT;
    Wgpb__EntryState state = WGPB__ENTRY_STATE__INIT;
    Wgpb__TargetRecord record = WGPB__TARGET_RECORD__INIT;
    Wgpb__EntryMember member = WGPB__ENTRY_MEMBER__INIT;
    Wgpb__TargetRecord replaced = WGPB__TARGET_RECORD__INIT;
    Wgpb__TargetRecord* records[] = {&record, &replaced};
    Wgpb__EntryMember other = WGPB__ENTRY_MEMBER__INIT;
    Wgpb__EntryMember* members[] = {&member, &other};
    char* callers = local_address(11, 18001);
    char id[16];
    record.number = MAX(update->number, 1);
    g_snprintf(id, sizeof id, "t-%u", record.number);
    record.id = update->id ? (char*)update->id : id;
    record.born = update->born;
    record.service = (char*)"e";
    record.address = (char*)update->target;
    record.data_centre = (char*)"dc";
    record.state = WG_TARGET_READY;
    record.change = MAX(update->change, 1);
    record.cold_us = update->cold_us;
    member.name = (char*)"here";
    member.address = callers;
    member.data_centre = (char*)"dc";
    configuration.version = update->version;
    configuration.document =
        (ProtobufCBinaryData){strlen(update->document), (uint8_t*)update->document};
    state.leads = leads;
    state.standby = !leads;
    state.term = MAX(update->term, 1);
    state.leader_address = leads ? f->address : (char*)"";
    state.targets = records;
    replaced = record;
    replaced.number = update->replaced_number;
    replaced.id = (char*)"t-replaced";
    replaced.state = WG_TARGET_REMOVED;
    replaced.replaced = true;
    state.n_targets = update->replaced_number ? 2 : 1;
    state.registry_change = MAX(update->change, 1);
    state.registry_reset = true;
    state.evacuated = (char**)&update->evacuated;
    state.n_evacuated = update->evacuated ? 1 : 0;
    state.members = members;
    other.name = (char*)update->other_member;
    other.address = update->other_address ? (char*)update->other_address : (char*)"127.0.0.1:1";
    other.data_centre = (char*)"dc";
    state.n_members = update->other_member ? 2 : 1;
    state.members_change = MAX(update->members_change, 1);
    state.members_reset = true;
    state.members_num = 1;
    state.report_ms = update->report_ms ? update->report_ms : 100;
    state.quarantined = (uint64_t*)update->quarantined;
    state.n_quarantined = update->quarantined_num;
    state.quarantine_change = update->quarantine_change;
    char* controls[] = {f->address};
    Wgpb__TargetLoad load = WGPB__TARGET_LOAD__INIT;
    Wgpb__TargetLoad* loads[] = {&load};
    load.target = record.number;
    load.running = update->running;
    load.unread = update->unread;
    Wgpb__ServiceRoom room = WGPB__SERVICE_ROOM__INIT;
    Wgpb__ServiceRoom* rooms[] = {&room};
    room.name = (char*)"e";
    room.ready = update->room_ready;
    room.with_room = update->room_targets;
    if (update->usage_num > 0) { /* an answer to a report, which lists the controls too */
        state.usage = update->usage;
        state.n_usage = update->usage_num;
        state.loads = loads;
        state.n_loads = update->running ? 1 : 0;
        state.rooms = rooms;
        state.n_rooms = update->room_ready ? 1 : 0;
        state.controls = controls;
        state.n_controls = 1;
    }
    ck_assert(wgn_send(f->net, f->link, WGW_TYPE_CONFIGURATION, &configuration.base));
    ck_assert(wgn_send(f->net, f->link, WGW_TYPE_ENTRY_STATE, &state.base));
    g_free(callers);
}

static inline void fake_control_send_leader_state(fake_control* f, const fake_update* update) {
    fake_control_send_state(f, update, true);
}

/* Sends the state that this control has applied, without a leader. */
static inline void fake_control_send_standby_state(fake_control* f, const fake_update* update) {
    fake_control_send_state(f, update, false);
}
