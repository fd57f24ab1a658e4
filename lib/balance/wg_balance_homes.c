/* wg_balance_homes.c -- assigns prefixes to home targets by rendezvous hashing, the same on
   every host. Rankings are cached per prefix and do not depend on the state of targets, which is
   checked for each request. */
#include "wg_balance_internal.h"

#include <string.h>

enum {
    WG_RANKINGS_MAX = 8192 /* per service; the cache is emptied when full */
};

/* Bytes sent between data centres that cost as much as copying one prompt token. Where such bytes
   are expensive, the prices of deployments put it between 1.2 and 3.8. */
static const double WG_COPIED_TOKEN_BYTES = 2.5;

static uint64_t wg_balance_rank(uint64_t part, const wg_balance_target* t) {
    return wg_hash(&part, sizeof part, t->id_hash);
}

static bool wg_balance_is_tried(const wg_balance_request* request, uint32_t number) {
    for (int i = 0; i < request->tried_num; i++) {
        if (request->tried[i] == number) {
            return true;
        }
    }
    return false;
}

bool wg_balance_is_eligible(const wg_balance_target* t, const wg_balance_request* request) {
    bool suits = !request->version || strcmp(t->version, request->version) == 0;
    return suits && t->ready && !t->replaced && !wg_balance_is_tried(request, t->number);
}

/* Checks the backoff too: a target that refuses everything has nothing in progress, would look idle
   and attract every request. */
bool wg_balance_accepts(const wg_balance_target* t, wg_time now,
                        const wg_balance_request* request) {
    return wg_balance_is_eligible(t, request) &&
           (!t->backoff || wg_backoff_ends_at(t->backoff, now, t->key) == 0);
}

static bool wg_balance_is_draining(const wg_balance_target* t) {
    return t->draining || (t->backoff && wg_backoff_is_draining(t->backoff, t->key));
}

static void wg_balance_rank_in(uint64_t part, wg_balance_target** best, wg_balance_target* t) {
    uint64_t rank = wg_balance_rank(part, t);
    for (int i = 0; t && i < WG_RANKED_MAX; i++) {
        wg_balance_target* other = best[i];
        if (other && wg_balance_rank(part, other) >= rank) {
            continue;
        }
        best[i] = t;
        t = other;
        rank = other ? wg_balance_rank(part, other) : 0;
    }
}

static void wg_balance_ranking_add(wg_balance_ranking* ranking, wg_balance_target* t) {
    wg_balance_rank_in(ranking->part, ranking->best, t);
    if (t->local) {
        wg_balance_rank_in(ranking->part, ranking->local, t);
    }
}

static gboolean wg_balance_ranking_lists(gpointer key, gpointer value, gpointer target) {
    (void)key;
    const wg_balance_ranking* ranking = value;
    for (int i = 0; i < WG_RANKED_MAX; i++) {
        if (ranking->best[i] == target || ranking->local[i] == target) {
            return TRUE;
        }
    }
    return FALSE;
}

void wg_balance_rankings_add(wg_balance_service* service, wg_balance_target* target) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->rankings);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_balance_ranking_add(value, target);
    }
}

void wg_balance_rankings_remove(wg_balance_service* service, wg_balance_target* target) {
    g_hash_table_foreach_remove(service->rankings, wg_balance_ranking_lists, target);
}

static const wg_balance_ranking* wg_balance_ranking_of(wg_balance_service* service, uint64_t part) {
    wg_balance_ranking* ranking = g_hash_table_lookup(service->rankings, &part);
    if (ranking) {
        return ranking;
    }
    if (g_hash_table_size(service->rankings) >= WG_RANKINGS_MAX) {
        g_hash_table_remove_all(service->rankings);
    }
    ranking = g_new0(wg_balance_ranking, 1);
    ranking->part = part;
    for (guint i = 0; i < service->targets->len; i++) {
        wg_balance_ranking_add(ranking, service->targets->pdata[i]);
    }
    g_hash_table_insert(service->rankings, &ranking->part, ranking);
    return ranking;
}

uint32_t wg_prompt_shared(const wg_prompt* prompt) {
    uint32_t own = prompt->num > 0 ? prompt->sizes[prompt->num - 1] : 0;
    return prompt->tokens > own ? prompt->tokens - own : 0;
}

/* True if sending the request to a remote data centre costs more than copying shared parts. */
static bool wg_balance_prefers_local_home(const wg_balance_request* request) {
    const wg_prompt* prompt = request->prompt;
    if (!request->copies || !prompt || prompt->num < 2) {
        return false;
    }
    return wg_prompt_shared(prompt) * WG_COPIED_TOKEN_BYTES <= request->bytes;
}

static const wg_balance_target* wg_balance_find_local(const wg_balance_ranking* ranking,
                                                      wg_time now,
                                                      const wg_balance_request* request) {
    for (int i = 0; i < WG_RANKED_MAX && ranking->local[i]; i++) {
        const wg_balance_target* t = ranking->local[i];
        if (wg_balance_accepts(t, now, request) && now >= t->ejected_until) {
            return t;
        }
    }
    return NULL;
}

wg_balance_homes wg_balance_find_homes(wg_balance_service* service, wg_time now,
                                       const wg_balance_request* request, uint64_t part) {
    wg_balance_homes homes = {0};
    const wg_balance_ranking* ranking = part ? wg_balance_ranking_of(service, part) : NULL;
    for (int i = 0; ranking && i < WG_RANKED_MAX && ranking->best[i] && !homes.second; i++) {
        const wg_balance_target* t = ranking->best[i];
        bool accepts = wg_balance_accepts(t, now, request) && now >= t->ejected_until;
        if (accepts && !homes.first) {
            homes.first = t;
        } else if (accepts) {
            homes.second = t;
        } else if (wg_balance_is_draining(t) && !homes.first && !homes.draining_home) {
            homes.draining_home = t; /* it was the first home before it drained */
        }
    }
    if (ranking && wg_balance_prefers_local_home(request)) {
        homes.local = wg_balance_find_local(ranking, now, request);
    }
    return homes;
}

void wg_balance_service_free(void* data) {
    wg_balance_service* service = data;
    g_hash_table_unref(service->rankings);
    g_ptr_array_unref(service->targets);
    g_free(service);
}
