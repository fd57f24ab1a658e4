/* wg_roster_pick.c -- selects the entry hosts for a caller

   All hosts of the caller's data centre are returned. If they exceed one answer, rendezvous hashing
   selects a subset for each caller, so that every host is used by some callers and a host that is
   added or removed affects few of them. */
#include <string.h>

#include "wg_roster.h"

typedef struct {
    const wg_roster_host* host;
    uint64_t rank;
} wg_roster_ranked;

static int wg_roster_compare(const void* a, const void* b) {
    uint64_t first = ((const wg_roster_ranked*)a)->rank;
    uint64_t second = ((const wg_roster_ranked*)b)->rank;
    return first > second ? -1 : first < second;
}

/* Adds the local or the remote hosts in the caller's rendezvous order. */
static void wg_roster_add_ranked(const wg_roster* r, const wg_roster_query* q, bool local,
                                 GPtrArray* list) {
    GArray* ranked = g_array_new(FALSE, FALSE, sizeof(wg_roster_ranked));
    for (int i = 0; i < wg_roster_num(r); i++) {
        const wg_roster_host* host = wg_roster_at(r, i);
        bool is_local = strcmp(host->data_centre, q->data_centre) == 0;
        bool excluded = q->excluded && strcmp(host->name, q->excluded) == 0;
        if (is_local == local && !excluded) {
            wg_roster_ranked entry = {host, wg_hash(host->name, strlen(host->name), q->caller)};
            g_array_append_val(ranked, entry);
        }
    }
    g_array_sort(ranked, wg_roster_compare);
    guint num = MIN(ranked->len, WG_ROSTER_PICK_MAX - list->len);
    for (guint i = 0; i < num; i++) {
        g_ptr_array_add(list, (gpointer)g_array_index(ranked, wg_roster_ranked, i).host);
    }
    g_array_unref(ranked);
}

GPtrArray* wg_roster_pick(const wg_roster* r, const wg_roster_query* query) {
    GPtrArray* list = g_ptr_array_new();
    wg_roster_add_ranked(r, query, true, list);
    if (list->len < WG_ROSTER_LOCAL_MIN) {
        wg_roster_add_ranked(r, query, false, list);
    }
    return list;
}
