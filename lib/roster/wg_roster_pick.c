/* wg_roster_pick.c -- which entry hosts a caller is named

   All of its data centre. Where these are more than one answer holds, each caller is named its own
   part of them, by rendezvous hashing: no host is left out of all answers, and one that comes or
   goes changes few. */
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

/* Add the caller's hosts of its own data centre, or of all others. */
static void wg_roster_add_ranked(const wg_roster* r, const wg_roster_query* q, bool near,
                                 GPtrArray* list) {
    GArray* ranked = g_array_new(FALSE, FALSE, sizeof(wg_roster_ranked));
    for (int i = 0; i < wg_roster_num(r); i++) {
        const wg_roster_host* host = wg_roster_at(r, i);
        bool is_near = strcmp(host->data_centre, q->data_centre) == 0;
        bool left_out = q->without && strcmp(host->name, q->without) == 0;
        if (is_near == near && !left_out) {
            wg_roster_ranked entry = {host, wg_hash(host->name, strlen(host->name), q->caller)};
            g_array_append_val(ranked, entry);
        }
    }
    g_array_sort(ranked, wg_roster_compare);
    guint num = MIN(ranked->len, WG_ROSTER_NAMED_MAX - list->len);
    for (guint i = 0; i < num; i++) {
        g_ptr_array_add(list, (gpointer)g_array_index(ranked, wg_roster_ranked, i).host);
    }
    g_array_unref(ranked);
}

GPtrArray* wg_roster_pick(const wg_roster* r, const wg_roster_query* query) {
    GPtrArray* list = g_ptr_array_new();
    wg_roster_add_ranked(r, query, true, list);
    if (list->len < WG_ROSTER_NEAR_ENOUGH) {
        wg_roster_add_ranked(r, query, false, list);
    }
    return list;
}
