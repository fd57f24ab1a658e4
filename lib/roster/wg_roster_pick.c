/* wg_roster_pick.c -- which entry hosts a caller is named

   Callers of one workspace may all prefer the same one of the hosts that they are named, whatever
   the reason: then a workspace that floods the fleet would flood one host of it. So each caller is
   named its own few, by rendezvous hashing: of 60 hosts that all prefer alike, the first gets 8 in
   60 of the callers instead of all, and a host that comes or goes changes few answers. */
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

/* How many of `num` hosts one caller is named. */
static guint wg_roster_named(guint num) {
    guint root = 0;
    while (root * root < num) {
        root++;
    }
    return MIN(CLAMP(root, WG_ROSTER_NAMED_MIN, WG_ROSTER_NAMED_MAX), num);
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
    for (guint i = 0; i < wg_roster_named(ranked->len); i++) {
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
