/* wg_entry_admit.c -- coordinators of targets: selection, admission requests and answers

   All entry hosts select the same few hosts as coordinators and assign each target to one of these
   by rendezvous hashing. A coordinator admits prompts to its targets for the whole fleet
   (lib/admit). Its answers are advisory: without one in time, the host with the request decides
   alone. */
#include "wg_entry_internal.h"

#include <string.h>

enum {
    WG_ADMIT_TIMEOUT = 30 * WG_USEC_PER_MSEC, /* wait for a coordinator's answer */
    WG_ADMIT_HOLD_MAX = 60 * WG_USEC_PER_SEC, /* largest wait that a message may state */
    WG_ADMIT_TIMEOUTS_MAX = 2, /* consecutive, until a coordinator counts as unresponsive */
    WG_COORDINATOR_UNRESPONSIVE_TIME = 500 * WG_USEC_PER_MSEC,
    WG_COORDINATOR_DIAL_INTERVAL = 60 * WG_USEC_PER_MSEC,
    WG_COORDINATOR_PING = 2 * WG_USEC_PER_SEC,
    WG_COORDINATOR_TIMEOUT = 7 * WG_USEC_PER_SEC,
    WG_STALLS_MAX = 16 /* changes of stalled targets that one tick logs; the others follow */
};

/* ---- helpers: who coordinates ---------------------------------------------------------------- */

static uint64_t wg_member_rank(const wg_roster_host* member) {
    return wg_hash(member->name, strlen(member->name), 0);
}

static wg_coordinator* wg_coordinator_by_rank(wg_entry* e, uint64_t rank) {
    for (int i = 0; i < e->coordinators_num; i++) {
        if (e->coordinators[i].rank == rank) {
            return &e->coordinators[i];
        }
    }
    return NULL;
}

static wg_coordinator* wg_coordinator_by_link(wg_entry* e, wgn_link link) {
    for (int i = 0; i < e->coordinators_num; i++) {
        if (link.id && e->coordinators[i].link.id == link.id) {
            return &e->coordinators[i];
        }
    }
    return NULL;
}

/* Rendezvous hashing: adding or removing a coordinator reassigns only its own targets. */
static wg_coordinator* wg_coordinator_of(wg_entry* e, uint32_t target) {
    wg_coordinator* best = NULL;
    uint64_t best_rank = 0;
    for (int i = 0; i < e->coordinators_num; i++) {
        uint64_t rank = wg_hash(&target, sizeof target, e->coordinators[i].rank);
        if (!best || rank > best_rank) {
            best = &e->coordinators[i];
            best_rank = rank;
        }
    }
    return best;
}

bool wg_entry_admit_coordinates(wg_entry* e, uint32_t target) {
    const wg_coordinator* c = wg_coordinator_of(e, target);
    return c && c->self;
}

bool wg_entry_admit_is_coordinator(const wg_entry* e) {
    for (int i = 0; i < e->coordinators_num; i++) {
        if (e->coordinators[i].self) {
            return true;
        }
    }
    return false;
}

static wg_coordinator wg_coordinator_new(const wg_entry* e, const wg_roster_host* member) {
    wg_coordinator c = {.rank = wg_member_rank(member),
                        .self = strcmp(member->name, e->settings->name) == 0};
    char ip[WG_ADDRESS_MAX];
    char own_ip[WG_ADDRESS_MAX];
    uint16_t port = 0;
    uint16_t fleet_port = 0;
    wg_copy_name(c.name, sizeof c.name, member->name);
    if (wgn_split_address(member->address, ip, &port) &&
        wgn_split_address(e->settings->fleet_listen, own_ip, &fleet_port)) {
        g_snprintf(c.address, sizeof c.address, "%s:%d", ip, (int)fleet_port);
    }
    return c;
}

/* Selects the entry hosts of the highest rank and keeps their existing links. */
static int wg_coordinators_pick(wg_entry* e, wg_coordinator* picked) {
    int num = 0;
    for (int i = 0; i < wg_roster_num(e->roster); i++) {
        const wg_roster_host* member = wg_roster_at(e->roster, i);
        uint64_t rank = wg_member_rank(member);
        int at = num;
        while (at > 0 && picked[at - 1].rank < rank) {
            at--;
        }
        if (at == WG_COORDINATORS_MAX) {
            continue;
        }
        num = MIN(num + 1, WG_COORDINATORS_MAX);
        memmove(&picked[at + 1], &picked[at], sizeof *picked * (size_t)(num - 1 - at));
        const wg_coordinator* known = wg_coordinator_by_rank(e, rank);
        picked[at] = known ? *known : wg_coordinator_new(e, member);
    }
    return num;
}

static bool wg_coordinator_is_among(const wg_coordinator* list, int num, uint64_t rank) {
    for (int i = 0; i < num; i++) {
        if (list[i].rank == rank) {
            return true;
        }
    }
    return false;
}

void wg_entry_admit_update_members(wg_entry* e) {
    wg_coordinator picked[WG_COORDINATORS_MAX + 1];
    wgn_link dropped[WG_COORDINATORS_MAX];
    int dropped_num = 0;
    int left = 0;
    int num = wg_coordinators_pick(e, picked);
    for (int i = 0; i < e->coordinators_num; i++) {
        const wg_coordinator* c = &e->coordinators[i];
        if (wg_coordinator_is_among(picked, num, c->rank)) {
            continue;
        }
        left++;
        if (c->link.id) {
            dropped[dropped_num++] = c->link;
        }
    }
    if (wg_entry_record_coordinators(e, picked, num, wg_now())) {
        e->cache_outdated = true;
    }
    memcpy(e->coordinators, picked, sizeof *picked * (size_t)num);
    e->coordinators_num = num;
    for (int i = 0; i < dropped_num; i++) {
        wgn_close(e->net, dropped[i]);
    }
    if (left > 0) {
        wg_entry_origins_begin_records(e);
    }
    wg_entry_origins_update_keepers(e);
}

static void wg_entry_log_stalls(wg_entry* e, wg_time now) {
    wg_admit_stall changes[WG_STALLS_MAX];
    int num = wg_admit_check_stalls(e->admit, now, changes, WG_STALLS_MAX);
    for (int i = 0; i < num; i++) {
        const wg_target* target = wg_registry_find(e->registry, changes[i].target);
        const char* id = target ? target->id : "-";
        e->counters.target_stalls += changes[i].stalled;
        if (changes[i].stalled) {
            wg_log(WG_EVENT_TARGET_STALLED, "target=%u id=%s late_ms=%" G_GINT64_FORMAT,
                   changes[i].target, id, changes[i].late / WG_USEC_PER_MSEC);
        } else {
            wg_log(WG_EVENT_TARGET_RECOVERED, "target=%u id=%s stalled_ms=%" G_GINT64_FORMAT,
                   changes[i].target, id, changes[i].duration / WG_USEC_PER_MSEC);
        }
    }
}

void wg_entry_admit_tick(wg_entry* e, wg_time now) {
    wg_entry_log_stalls(e, now);
    for (int i = 0; i < e->coordinators_num; i++) {
        wg_coordinator* c = &e->coordinators[i];
        if (c->self || c->link.id || now < c->dial_at) {
            continue;
        }
        c->dial_at = now + wg_jitter_range(e->seed, ++e->counter, WG_COORDINATOR_DIAL_INTERVAL,
                                           2 * WG_COORDINATOR_DIAL_INTERVAL);
        c->link = wgn_dial(e->net, c->address);
    }
}

/* ---- helpers: admission requests ------------------------------------------------------------- */

static wg_speed_values wg_speed_of_wire(uint64_t base_us, double tokens_per_ms, uint32_t samples) {
    return (wg_speed_values){(double)base_us, tokens_per_ms / WG_USEC_PER_MSEC, samples};
}

wg_admit_request wg_entry_admit_request_of(const wg_call* call, const wg_admit_limits* limits) {
    const wg_prompt* prompt = &call->prompt;
    const wg_service* service = &call->config->services[call->service];
    const wg_balance_request* selection = &call->selection;
    wg_admit_request r = {.target = call->proposed.target,
                          .tokens = prompt->tokens,
                          .answer = prompt->answer,
                          .copied = call->proposed.copied,
                          .memory = service->memory_tokens,
                          .speed = wg_balance_speed_of(call->entry->balance, call->proposed.target),
                          .limits = *limits};
    const wg_target* target = wg_registry_find(call->entry->registry, r.target);
    uint32_t slots = target && target->slots ? target->slots : (uint32_t)MAX(selection->slots, 0);
    double share = selection->slots_share > 0 ? selection->slots_share : 1;
    r.running_max = slots ? MAX((uint32_t)(slots * share), 1) : 0;
    r.parts_num = CLAMP(prompt->num - 1, 0, WG_ADMIT_PARTS_MAX);
    r.rate_max = wg_entry_cold_rate(call->entry, r.target);
    for (int i = 0; i < r.parts_num; i++) {
        r.parts[i] = prompt->parts[i];
        r.sizes[i] = prompt->sizes[i];
    }
    return r;
}

static wg_hold_request wg_call_hold_request(const wg_call* call, const wg_admit_limits* limits,
                                            uint64_t ticket, wg_time hold) {
    const wg_workspace* workspace = call->workspace;
    bool own_priority = workspace && workspace->priority >= 0;
    wg_hold_request r = {
        .admit = wg_entry_admit_request_of(call, limits),
        .workspace = workspace ? workspace->hash : 0,
        .weight = wg_call_weight(call),
        .rank = (uint32_t)MAX(own_priority ? workspace->priority : call->route->priority, 0),
        .charge = wg_call_tokens(call),
        .hold = hold};
    r.admit.ticket = ticket;
    return r;
}

wg_admit_answer wg_entry_admit_decide(wg_entry* e, wg_admit_request* request) {
    const wg_target* target = wg_registry_find(e->registry, request->target);
    wg_balance_load_of(e->balance, request->target, &request->floor_unread,
                       &request->floor_running);
    request->service = target ? wg_hash(target->service, strlen(target->service), 0) : 0;
    if (request->rate_max > 0 && !wg_entry_may_grant_cold(e, request->target, wg_now())) {
        return (wg_admit_answer){.ahead = request->floor_unread, .running = request->floor_running};
    }
    return wg_admit_decide(e->admit, wg_now(), request);
}

static bool wg_coordinator_send_request(wg_entry* e, const wg_coordinator* c,
                                        wg_hold_request* hold_request) {
    wg_admit_request* request = &hold_request->admit;
    Wgpb__AdmitAsk ask = WGPB__ADMIT_ASK__INIT;
    ask.ticket = request->ticket;
    ask.target = request->target;
    ask.parts = request->parts;
    ask.n_parts = (size_t)request->parts_num;
    ask.sizes = request->sizes;
    ask.n_sizes = (size_t)request->parts_num;
    ask.tokens = request->tokens;
    ask.answer = request->answer;
    ask.copied = request->copied;
    ask.running_most = request->running_max;
    ask.whole_us = (uint64_t)request->limits.total;
    ask.ahead_us = (uint64_t)request->limits.ahead;
    ask.ahead_large_us = (uint64_t)request->limits.ahead_large;
    ask.spares_shared = request->limits.counts_missing;
    ask.cold_rate = request->rate_max;
    if (request->speed.samples > 0) {
        ask.base_us = (uint64_t)request->speed.base;
        ask.tokens_per_ms = request->speed.speed * WG_USEC_PER_MSEC;
        ask.samples = request->speed.samples;
    }
    if (e->settings->hold_percent > 0) {
        ask.hold_us = (uint64_t)hold_request->hold;
        ask.workspace = hold_request->workspace;
        ask.rank = hold_request->rank;
        ask.weight = hold_request->weight == 1 ? 0 : hold_request->weight;
    }
    return wgn_send(e->net, c->link, WGW_TYPE_ADMIT_ASK, &ask.base);
}

static void wg_call_apply_admission(wg_call* call, const wg_coordinator* c, uint64_t ticket,
                                    const wg_admit_answer* answer) {
    if (answer->granted) {
        call->admission_ticket = ticket;
        call->coordinator_rank = c->rank;
    }
    wg_call_admit_answered(call, answer);
}

static void wg_call_begin_admit_request(wg_call* call, const wg_coordinator* c, uint64_t ticket,
                                        wg_time expires_at) {
    call->admit_ticket = ticket;
    call->admit_expires_at = expires_at;
    call->coordinator_rank = c->rank;
    g_hash_table_insert(call->entry->pending_admissions, &call->admit_ticket, call);
    wg_call_set_timer(call, wg_now());
}

void wg_entry_admit_request(wg_call* call, const wg_admit_limits* limits, wg_time hold,
                            wg_time now) {
    wg_entry* e = call->entry;
    wg_coordinator* c = wg_coordinator_of(e, call->proposed.target);
    uint64_t ticket = ++e->counter;
    wg_hold_request request = wg_call_hold_request(call, limits, ticket, hold);
    if (request.admit.rate_max > 0 && !wg_entry_may_use_cold(e, now)) {
        wg_call_admit_unanswered(call, now);
        return;
    }
    if (c && c->self) {
        wg_admit_answer answer;
        if (!wg_entry_hold_ask(e, &request, &answer)) {
            wg_call_apply_admission(call, c, ticket, &answer);
            return;
        }
    } else if (!c || !c->up || now < c->unresponsive_until ||
               !wg_coordinator_send_request(e, c, &request)) {
        wg_call_admit_unanswered(call, now);
        return;
    }
    wg_call_begin_admit_request(call, c, ticket, now + hold + WG_ADMIT_TIMEOUT);
}

static void wg_call_end_admit_request(wg_call* call) {
    g_hash_table_remove(call->entry->pending_admissions, &call->admit_ticket);
    call->admit_ticket = 0;
}

static void wg_coordinator_record_timeout(wg_coordinator* c, const wg_call* call, wg_time now) {
    if (++c->timeouts_num >= WG_ADMIT_TIMEOUTS_MAX) {
        c->timeouts_num = 0;
        c->unresponsive_until = now + WG_COORDINATOR_UNRESPONSIVE_TIME;
        wg_log(WG_EVENT_COORDINATOR_SILENT, "coordinator=%s target=%u id=%s", c->name,
               call->proposed.target, call->id);
    }
}

/* ---- helpers: notifications ------------------------------------------------------------------ */

typedef enum {
    WG_NOTE_READ = 0,
    WG_NOTE_ENDED,
    WG_NOTE_FAILED /* ended by a failure of the target */
} wg_admit_note;

static void wg_coordinator_notify(wg_entry* e, uint64_t rank, uint64_t ticket, wg_admit_note what) {
    const wg_coordinator* c = wg_coordinator_by_rank(e, rank);
    if (!c) {
        return;
    }
    bool ended = what != WG_NOTE_READ;
    bool failed = what == WG_NOTE_FAILED;
    if (c->self && ended) {
        wg_entry_hold_end(e, 0, ticket, failed);
    } else if (c->self) {
        wg_entry_hold_read(e, 0, ticket);
    } else {
        Wgpb__AdmitNote note = WGPB__ADMIT_NOTE__INIT;
        note.ticket = ticket;
        note.ended = ended;
        note.failed = failed;
        wgn_send(e->net, c->link, WGW_TYPE_ADMIT_NOTE, &note.base);
    }
}

void wg_entry_admit_read(wg_call* call) {
    if (call->admission_ticket && !call->admission_read) {
        call->admission_read = true;
        wg_coordinator_notify(call->entry, call->coordinator_rank, call->admission_ticket,
                              WG_NOTE_READ);
    }
}

void wg_entry_admit_end(wg_call* call, bool failed) {
    if (call->admission_ticket) {
        wg_coordinator_notify(call->entry, call->coordinator_rank, call->admission_ticket,
                              failed ? WG_NOTE_FAILED : WG_NOTE_ENDED);
        call->admission_ticket = 0;
        call->admission_read = false;
    }
}

/* Drops the pending request. A coordinator that keeps it until there is room is notified, so that
   it grants it to nobody. */
static void wg_call_drop_admit_request(wg_call* call) {
    if (call->held_since) {
        wg_coordinator_notify(call->entry, call->coordinator_rank, call->admit_ticket,
                              WG_NOTE_ENDED);
    }
    wg_call_end_admit_request(call);
}

void wg_entry_admit_unanswered(wg_call* call, wg_time now) {
    wg_entry* e = call->entry;
    wg_coordinator* c = wg_coordinator_by_rank(e, call->coordinator_rank);
    wg_call_drop_admit_request(call);
    if (c && !c->self) {
        wg_coordinator_record_timeout(c, call, now);
    }
    wg_call_admit_unanswered(call, now);
}

void wg_entry_admit_cancel(wg_call* call) {
    if (call->admit_ticket) {
        wg_call_drop_admit_request(call);
    }
    wg_entry_admit_end(call, false);
}

/* ---- links ----------------------------------------------------------------------------------- */

bool wg_entry_admit_on_up(wg_entry* e, wgn_link link) {
    wg_coordinator* c = wg_coordinator_by_link(e, link);
    if (!c) {
        return false;
    }
    c->up = true;
    c->timeouts_num = 0;
    wgn_set_timing(e->net, link, WG_COORDINATOR_PING, WG_COORDINATOR_TIMEOUT);
    wg_log(WG_EVENT_LINK_UP, "coordinator=%s", c->name);
    wg_entry_origins_update_keepers(e);
    return true;
}

void wg_entry_admit_on_peer_up(wg_entry* e, wgn_link link, const wgn_peer* peer) {
    if (peer->role == WGW_ROLE_ENTRY) {
        wgn_set_timing(e->net, link, WG_COORDINATOR_PING, WG_COORDINATOR_TIMEOUT);
    }
}

/* Whether the call waits for room at a coordinator to which there is no link any more. */
static bool wg_call_has_lost_coordinator(const wg_call* call) {
    const wg_coordinator* c = wg_coordinator_by_rank(call->entry, call->coordinator_rank);
    return call->held_since && (!c || (!c->self && !c->up));
}

/* This host decides at once about its requests that waited at a coordinator whose link closed. */
static void wg_entry_admit_leave_lost_coordinators(wg_entry* e) {
    GArray* tickets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, e->pending_admissions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wg_call* call = value;
        if (wg_call_has_lost_coordinator(call)) {
            g_array_append_val(tickets, call->admit_ticket);
        }
    }
    for (guint i = 0; i < tickets->len; i++) {
        uint64_t ticket = g_array_index(tickets, uint64_t, i);
        wg_call* call = g_hash_table_lookup(e->pending_admissions, &ticket);
        if (call) {
            wg_call_end_admit_request(call);
            wg_call_admit_unanswered(call, wg_now());
        }
    }
    g_array_unref(tickets);
}

void wg_entry_admit_on_down(wg_entry* e, wgn_link link) {
    wg_coordinator* c = wg_coordinator_by_link(e, link);
    wg_entry_hold_release_holder(e, link.id);
    if (c && c->up) {
        wg_log(WG_EVENT_LINK_DOWN, "coordinator=%s", c->name);
    }
    if (c) {
        c->link = (wgn_link){0};
        c->up = false;
        wg_entry_origins_update_keepers(e);
    }
    wg_entry_admit_leave_lost_coordinators(e);
}

static void wg_entry_admit_send_answer(wg_entry* e, wgn_link link, uint64_t ticket,
                                       const wg_admit_answer* answer) {
    Wgpb__AdmitAnswer out = WGPB__ADMIT_ANSWER__INIT;
    out.ticket = ticket;
    out.granted = answer->granted;
    out.wait_us = (uint64_t)answer->wait;
    out.wait_ahead_us = (uint64_t)answer->wait_ahead;
    out.unread = answer->unread;
    out.held = answer->held;
    out.ahead = answer->ahead;
    out.running = answer->running;
    out.late_us = (uint64_t)answer->late;
    out.room_us = (uint64_t)answer->room;
    if (answer->speed.samples > 0) {
        out.base_us = (uint64_t)answer->speed.base;
        out.tokens_per_ms = answer->speed.speed * WG_USEC_PER_MSEC;
        out.samples = answer->speed.samples;
    }
    wgn_send(e->net, link, WGW_TYPE_ADMIT_ANSWER, &out.base);
}

/* Applies an answer of coordinator `c` to the call that requested it. */
static void wg_entry_admit_apply_answer(wg_entry* e, const wg_coordinator* c, uint64_t ticket,
                                        const wg_admit_answer* answer) {
    wg_call* call = g_hash_table_lookup(e->pending_admissions, &ticket);
    if (call) {
        wg_call_end_admit_request(call);
        wg_call_apply_admission(call, c, ticket, answer);
    } else if (answer->granted) {
        wg_coordinator_notify(e, c->rank, ticket, WG_NOTE_ENDED); /* received after the timeout */
    }
}

void wg_entry_admit_answer(wg_entry* e, uint64_t holder, uint64_t ticket,
                           const wg_admit_answer* answer) {
    if (holder) {
        wg_entry_admit_send_answer(e, (wgn_link){.id = (uint32_t)holder}, ticket, answer);
        return;
    }
    for (int i = 0; i < e->coordinators_num; i++) {
        if (e->coordinators[i].self) {
            wg_entry_admit_apply_answer(e, &e->coordinators[i], ticket, answer);
            return;
        }
    }
    if (answer->granted) {
        /* This host is no longer a coordinator; the call decides alone at its time limit. */
        wg_entry_hold_end(e, 0, ticket, false);
    }
}

/* Combines the requester's rate with this host's, as a coordinator without a leader may not know
   that the target is cold. If both have a limit, the lower one applies. */
static double wg_coordinator_cold_rate(const wg_entry* e, const Wgpb__AdmitAsk* ask) {
    double own = wg_entry_cold_rate(e, ask->target);
    if (own <= 0 || ask->cold_rate <= 0) {
        return MAX(own, ask->cold_rate);
    }
    return MIN(own, ask->cold_rate);
}

/* Answers an admission request of another host. False if it is malformed. */
static bool wg_entry_admit_handle_request(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    Wgpb__AdmitAsk* in = wgpb__admit_ask__unpack(NULL, frame->size, frame->payload);
    if (!in || in->n_parts > WG_ADMIT_PARTS_MAX || in->n_parts != in->n_sizes) {
        wgpb__admit_ask__free_unpacked(in, NULL);
        return false;
    }
    const wg_service* service = wg_entry_service_of(e, in->target);
    wg_hold_request r = {
        .admit = {.holder = link.id,
                  .ticket = in->ticket,
                  .target = in->target,
                  .speed = wg_speed_of_wire(in->base_us, in->tokens_per_ms, in->samples),
                  .parts_num = (int)in->n_parts,
                  .tokens = in->tokens,
                  .answer = in->answer,
                  .copied = in->copied,
                  .running_max = in->running_most,
                  .memory = service ? service->memory_tokens : 0,
                  .rate_max = wg_coordinator_cold_rate(e, in),
                  .limits = {(wg_time)in->whole_us, (wg_time)in->ahead_us,
                             (wg_time)in->ahead_large_us, in->spares_shared}},
        .workspace = in->workspace,
        .weight = in->weight,
        .rank = in->rank,
        .charge = wg_charged_tokens(in->tokens, in->answer),
        .hold = (wg_time)MIN(in->hold_us, (uint64_t)WG_ADMIT_HOLD_MAX)};
    for (size_t i = 0; i < in->n_parts; i++) {
        r.admit.parts[i] = in->parts[i];
        r.admit.sizes[i] = in->sizes[i];
    }
    wgpb__admit_ask__free_unpacked(in, NULL);
    wg_admit_answer answer;
    if (!wg_entry_hold_ask(e, &r, &answer)) {
        wg_entry_admit_answer(e, link.id, r.admit.ticket, &answer);
    }
    return true;
}

static bool wg_entry_admit_handle_note(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    Wgpb__AdmitNote* in = wgpb__admit_note__unpack(NULL, frame->size, frame->payload);
    if (!in) {
        return false;
    }
    if (in->ended) {
        wg_entry_hold_end(e, link.id, in->ticket, in->failed);
    } else {
        wg_entry_hold_read(e, link.id, in->ticket);
    }
    wgpb__admit_note__free_unpacked(in, NULL);
    return true;
}

static bool wg_entry_admit_handle_answer(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    wg_coordinator* c = wg_coordinator_by_link(e, link);
    Wgpb__AdmitAnswer* in = wgpb__admit_answer__unpack(NULL, frame->size, frame->payload);
    if (!in || !c) {
        wgpb__admit_answer__free_unpacked(in, NULL);
        return in != NULL;
    }
    uint64_t ticket = in->ticket;
    wg_admit_answer answer = {.granted = in->granted,
                              .wait = (wg_time)in->wait_us,
                              .wait_ahead = (wg_time)in->wait_ahead_us,
                              .unread = in->unread,
                              .held = in->held,
                              .ahead = in->ahead,
                              .running = in->running,
                              .late = (wg_time)in->late_us,
                              .room = (wg_time)MIN(in->room_us, (uint64_t)WG_ADMIT_HOLD_MAX)};
    answer.speed = wg_speed_of_wire(in->base_us, in->tokens_per_ms, in->samples);
    wgpb__admit_answer__free_unpacked(in, NULL);
    c->timeouts_num = 0;
    wg_entry_admit_apply_answer(e, c, ticket, &answer);
    return true;
}

bool wg_entry_admit_on_frame(wg_entry* e, wgn_link link, const wgw_frame* frame) {
    bool good = true;
    switch (frame->type) {
    case WGW_TYPE_ADMIT_ASK:
        good = wg_entry_admit_handle_request(e, link, frame);
        break;
    case WGW_TYPE_ADMIT_NOTE:
        good = wg_entry_admit_handle_note(e, link, frame);
        break;
    case WGW_TYPE_ADMIT_ANSWER:
        good = wg_entry_admit_handle_answer(e, link, frame);
        break;
    default:
        return false;
    }
    if (!good) {
        wg_log(WG_EVENT_FRAME_BAD, "reason=admission-malformed");
        wgn_close(e->net, link);
    }
    return true;
}
