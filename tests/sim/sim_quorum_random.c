/* sim_quorum_random.c -- random edits, claims and faults */
#include <stdio.h>
#include <string.h>

#include "sim_quorum_internal.h"

static void random_edit(simq_run* s, int leader) {
    char name[16];
    g_snprintf(name, sizeof name, "w%d", (int)(_simq_random(s) % 20));
    const wgt_row* row = wgt_find(s->nodes[leader].table, WGT_KIND_WORKSPACE, name);
    uint64_t base = row ? row->version : 0;
    if (_simq_one_in(s, 5)) {
        base = base > 0 ? base - 1 : 1; /* an edit based on an outdated row */
    }
    uint64_t number =
        _simq_one_in(s, 4) && s->last_edit_number ? s->last_edit_number : ++s->next_edit;
    simq_edit(s, name, (int64_t)(_simq_random(s) % 100 + 1), base, number);
}

static void random_claim(simq_run* s, int leader) {
    uint8_t key[WGK_KEY_SIZE] = {(uint8_t)(_simq_random(s) % 24)};
    Wgpb__Command command = WGPB__COMMAND__INIT;
    Wgpb__Claim claim = WGPB__CLAIM__INIT;
    Wgpb__ClaimEnd end = WGPB__CLAIM_END__INIT;
    claim.workspace = end.workspace = (char*)"w";
    claim.key = end.key = (ProtobufCBinaryData){sizeof key, key};
    claim.attempt = end.attempt = _simq_random(s) % 3 + 1;
    claim.now_seconds = (uint64_t)(s->now / WG_USEC_PER_SEC);
    end.verdict = (uint32_t)(_simq_random(s) % WG_VERDICT_NUM);
    if (_simq_one_in(s, 2)) {
        command.claim = &claim;
    } else {
        command.claim_end = &end;
    }
    _simq_propose(s, leader, &command.base);
}

static int count_intact_voters(simq_run* s, const wgr_set* set) {
    int num = 0;
    for (int i = 0; i < set->num; i++) {
        num += set->replicas[i].voter && _simq_find_slot(s, set->replicas[i].id) >= 0;
    }
    return num;
}

/* Loses a disk only while a majority of the voters keeps theirs; more losses are not survivable. */
static void random_disk_loss(simq_run* s) {
    int leader = simq_leader(s);
    if (leader < 0) {
        return;
    }
    const wgr_set* set = wgr_query_set(s->nodes[leader].node);
    int slot = (int)(_simq_random(s) % (uint64_t)s->desc.replicas);
    const wgr_replica* lost = wgr_set_find(set, s->nodes[slot].disk.identity);
    bool settled = set->num == s->desc.replicas && _simq_count_voters(set) == set->num;
    bool enough = count_intact_voters(s, set) - 1 > _simq_count_voters(set) / 2;
    if (slot != leader && lost && settled && enough) {
        simq_lose_disk(s, slot);
    }
}

static void random_fault(simq_run* s) {
    int a = (int)(_simq_random(s) % (uint64_t)s->desc.replicas);
    int b = (int)(_simq_random(s) % (uint64_t)s->desc.replicas);
    switch (_simq_random(s) % 22) {
    case 20: /* all crash and restart individually later */
        simq_crash_all(s);
        s->counts.crashes += (uint64_t)s->desc.replicas;
        break;
    case 21: /* all crash and restart at once, except perhaps one */
        simq_crash_all(s);
        for (int i = 0; i < s->desc.replicas; i++) {
            if (i != a || a == b) {
                simq_restart(s, i);
            }
        }
        s->counts.crashes += (uint64_t)s->desc.replicas;
        break;
    case 16:
    case 17:
    case 18:
    case 19: /* restart at once, while promises of the previous incarnation still hold */
        simq_crash(s, a);
        simq_restart(s, a);
        s->counts.crashes++;
        break;
    case 0:
    case 1:
        s->cut[a][b] = a != b;
        s->counts.link_cuts++;
        break;
    case 2:
        s->cut[a][b] = s->cut[b][a] = a != b;
        s->counts.link_cuts++;
        break;
    case 3:
    case 4:
    case 5:
    case 6:
        memset(s->cut, 0, sizeof s->cut);
        break;
    case 7:
    case 8:
        if (s->nodes[a].up) {
            s->nodes[a].crash_at = 1 + (int)(_simq_random(s) % 3);
            s->counts.crashes++;
        }
        break;
    case 9:
    case 10:
    case 11:
        simq_restart(s, a);
        break;
    case 12:
        simq_freeze(s, a, (wg_time)(_simq_random(s) % (4 * WG_USEC_PER_SEC)));
        break;
    case 13:
        random_disk_loss(s);
        break;
    case 14:
        if (simq_leader(s) >= 0) {
            simq_transfer_leadership(s, simq_leader(s));
            s->counts.leadership_transfers++;
        }
        break;
    default:
        for (int i = 0; i < s->desc.replicas; i++) {
            simq_replace(s, i);
        }
        break;
    }
}

/* Begins planned stops at random; stops the replica once it has left the set. */
static void random_stop(simq_run* s) {
    int slot = (int)(_simq_random(s) % (uint64_t)s->desc.replicas);
    if (s->nodes[slot].up && _simq_one_in(s, 200)) {
        wgr_leave(s->nodes[slot].node);
        s->nodes[slot].stopping = true;
    }
    for (int i = 0; i < s->desc.replicas; i++) {
        node_t* n = &s->nodes[i];
        bool settled = n->up && n->stopping && wgr_leave_is_settled(n->node);
        if (settled || !n->up) {
            s->counts.planned_stops += settled;
            n->stopping = false;
        }
        if (settled) {
            simq_crash(s, i);
        }
    }
}

/* ---- public functions ---------------------------------------------------------------------- */

void simq_steps(simq_run* s, uint64_t steps) {
    for (uint64_t i = 0; i < steps; i++) {
        if (s->desc.faults && _simq_one_in(s, 40)) {
            random_fault(s);
        }
        if (s->desc.gone_after) {
            random_stop(s);
        }
        int leader = simq_leader(s);
        if (leader >= 0 && _simq_one_in(s, 3)) {
            random_edit(s, leader);
        }
        leader = simq_leader(s);
        if (leader >= 0 && _simq_one_in(s, 4)) {
            random_claim(s, leader);
        }
        simq_tick(s);
    }
}
