/* wg_claim.c -- see wg_claim.h */
#include "wg_claim.h"

#include <string.h>

/* ---- types -------------------------------------------------------------------------------- */

typedef struct {
    Wgpb__ClaimRecord* record;
    GList* order; /* node in wgk_claims.order */
} _wgk_claim_t;

struct wgk_claims {
    wgk_desc desc;
    GHashTable* by_key; /* set of _wgk_claim_t* */
    GQueue order;       /* oldest first */
    uint64_t now_seconds;
    wgk_stats stats;
};

/* ---- helpers ------------------------------------------------------------------------------ */

static guint _wgk_hash(const void* data) {
    const Wgpb__Claim* claim = ((const _wgk_claim_t*)data)->record->claim;
    uint64_t hash = wg_hash(claim->workspace, strlen(claim->workspace), 0);
    return (guint)wg_hash(claim->key.data, claim->key.len, hash);
}

static gboolean _wgk_equal(const void* a, const void* b) {
    const Wgpb__Claim* left = ((const _wgk_claim_t*)a)->record->claim;
    const Wgpb__Claim* right = ((const _wgk_claim_t*)b)->record->claim;
    return left->key.len == right->key.len &&
           memcmp(left->key.data, right->key.data, left->key.len) == 0 &&
           strcmp(left->workspace, right->workspace) == 0;
}

static void _wgk_free(gpointer data) {
    _wgk_claim_t* claim = data;
    wgpb__claim_record__free_unpacked(claim->record, NULL);
    g_free(claim);
}

/* Deep copy by packing and unpacking. */
static Wgpb__ClaimRecord* _wgk_copy(Wgpb__Claim* claim, Wgpb__ClaimEnd* end) {
    Wgpb__ClaimRecord record = WGPB__CLAIM_RECORD__INIT;
    record.claim = claim;
    record.end = end;
    GByteArray* packed = wgw_pack(&record.base);
    Wgpb__ClaimRecord* copy = wgpb__claim_record__unpack(NULL, packed->len, packed->data);
    g_byte_array_unref(packed);
    return copy;
}

static _wgk_claim_t* _wgk_find(const wgk_claims* c, const char* workspace,
                               ProtobufCBinaryData key) {
    Wgpb__Claim claim = WGPB__CLAIM__INIT;
    claim.workspace = (char*)workspace;
    claim.key = key;
    Wgpb__ClaimRecord record = WGPB__CLAIM_RECORD__INIT;
    record.claim = &claim;
    _wgk_claim_t probe = {.record = &record};
    return g_hash_table_lookup(c->by_key, &probe);
}

static void _wgk_remove(wgk_claims* c, _wgk_claim_t* claim) {
    g_queue_delete_link(&c->order, claim->order);
    g_hash_table_remove(c->by_key, claim);
}

static void _wgk_add(wgk_claims* c, Wgpb__ClaimRecord* record) {
    _wgk_claim_t* claim = g_new0(_wgk_claim_t, 1);
    claim->record = record;
    g_queue_push_tail(&c->order, claim);
    claim->order = c->order.tail;
    g_hash_table_add(c->by_key, claim);
}

static void _wgk_expire(wgk_claims* c) {
    for (;;) {
        _wgk_claim_t* oldest = g_queue_peek_head(&c->order);
        if (!oldest) {
            return;
        }
        uint64_t until = oldest->record->claim->now_seconds + (uint64_t)c->desc.keep_seconds;
        if (until > c->now_seconds) {
            return;
        }
        _wgk_remove(c, oldest);
    }
}

/* ---- public functions --------------------------------------------------------------------- */

wgk_claims* wgk_setup(const wgk_desc* desc, GError** error) {
    const wg_desc_field fields[] = {
        {"wgk_desc.claims_max", desc->claims_max, 0},
        {"wgk_desc.keep_seconds", desc->keep_seconds, 0},
    };
    if (!wg_desc_check(fields, G_N_ELEMENTS(fields), error)) {
        return NULL;
    }
    wgk_claims* c = g_new0(wgk_claims, 1);
    c->desc.claims_max = desc->claims_max ? desc->claims_max : WGK_CLAIMS_DEFAULT;
    c->desc.keep_seconds = desc->keep_seconds ? desc->keep_seconds : WGK_KEEP_SECONDS_DEFAULT;
    c->by_key = g_hash_table_new_full(_wgk_hash, _wgk_equal, NULL, _wgk_free);
    g_queue_init(&c->order);
    return c;
}

void wgk_shutdown(wgk_claims* c) {
    g_queue_clear(&c->order);
    g_hash_table_unref(c->by_key);
    g_free(c);
}

wgk_outcome wgk_claim(wgk_claims* c, const Wgpb__Claim* claim, const Wgpb__ClaimEnd** end) {
    *end = NULL;
    /* Leaders' clocks differ; keep the maximum so that time never goes backwards. */
    c->now_seconds = MAX(c->now_seconds, claim->now_seconds);
    _wgk_expire(c);
    _wgk_claim_t* known = _wgk_find(c, claim->workspace, claim->key);
    if (known) {
        c->stats.repeated++;
        *end = known->record->end;
        if (*end) {
            return WGK_OUTCOME_ENDED;
        }
        bool same = known->record->claim->attempt == claim->attempt;
        return same ? WGK_OUTCOME_GRANTED : WGK_OUTCOME_RUNNING;
    }
    if ((int)c->order.length >= c->desc.claims_max) {
        c->stats.refused_full++;
        return WGK_OUTCOME_FULL;
    }
    Wgpb__ClaimRecord* record = _wgk_copy((Wgpb__Claim*)claim, NULL);
    record->claim->now_seconds = c->now_seconds;
    _wgk_add(c, record);
    c->stats.granted++;
    return WGK_OUTCOME_GRANTED;
}

void wgk_end(wgk_claims* c, const Wgpb__ClaimEnd* end) {
    _wgk_claim_t* known = _wgk_find(c, end->workspace, end->key);
    if (!known || known->record->claim->attempt != end->attempt || known->record->end) {
        return;
    }
    if (end->verdict == WG_VERDICT_NOT_RUN) {
        _wgk_remove(c, known);
        return;
    }
    Wgpb__ClaimRecord* with_end = _wgk_copy(known->record->claim, (Wgpb__ClaimEnd*)end);
    known->record->end = with_end->end;
    with_end->end = NULL;
    wgpb__claim_record__free_unpacked(with_end, NULL);
}

const Wgpb__ClaimEnd* wgk_find_end(const wgk_claims* c, const Wgpb__ClaimEnd* like) {
    const _wgk_claim_t* known = _wgk_find(c, like->workspace, like->key);
    return known ? known->record->end : NULL;
}

wgk_stats wgk_query_stats(const wgk_claims* c) {
    wgk_stats stats = c->stats;
    stats.claims = (int)c->order.length;
    return stats;
}

Wgpb__ClaimState* wgk_dump(const wgk_claims* c) {
    Wgpb__ClaimState* state = malloc(sizeof *state);
    wgpb__claim_state__init(state);
    state->now_seconds = c->now_seconds;
    state->records = malloc(sizeof(Wgpb__ClaimRecord*) * (c->order.length + 1));
    for (GList* link = c->order.head; link; link = link->next) {
        Wgpb__ClaimRecord* record = ((_wgk_claim_t*)link->data)->record;
        state->records[state->n_records++] = _wgk_copy(record->claim, record->end);
    }
    return state;
}

bool wgk_load(wgk_claims* c, const Wgpb__ClaimState* state) {
    g_queue_clear(&c->order);
    g_hash_table_remove_all(c->by_key);
    c->now_seconds = state->now_seconds;
    for (size_t i = 0; i < state->n_records; i++) {
        if (!state->records[i]->claim) {
            return false;
        }
        _wgk_add(c, _wgk_copy(state->records[i]->claim, state->records[i]->end));
    }
    return true;
}
