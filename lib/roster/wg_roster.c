/* wg_roster.c -- see wg_roster.h */
#include "wg_roster.h"

#include <string.h>

enum {
    WG_ROSTER_TERM_SHIFT = 24, /* bits: 16 million changes in one term */
    /* Removals remembered for copies that still list the host. A copy that has missed more removals
       is replaced in full. */
    WG_ROSTER_REMOVALS_MAX = 512
};

/* A host that was removed. */
typedef struct {
    char name[WG_NAME_MAX];
    uint64_t change;
} wg_roster_removal;

struct wg_roster {
    GPtrArray* hosts;    /* wg_roster_host* */
    GHashTable* by_name; /* name -> wg_roster_host* */
    GQueue removals;     /* wg_roster_removal*, oldest first */
    uint64_t change;
    uint64_t floor; /* copies older than this change are replaced in full */
};

/* ---- helpers ------------------------------------------------------------------------------- */

static void wg_roster_record_removal(wg_roster* r, const char* name) {
    wg_roster_removal* removal = g_new0(wg_roster_removal, 1);
    wg_copy_name(removal->name, sizeof removal->name, name);
    removal->change = ++r->change;
    g_queue_push_tail(&r->removals, removal);
    if (r->removals.length > WG_ROSTER_REMOVALS_MAX) {
        wg_roster_removal* oldest = g_queue_pop_head(&r->removals);
        r->floor = oldest->change;
        g_free(oldest);
    }
}

static wg_roster_host* wg_roster_add(wg_roster* r, const wg_roster_host* host) {
    wg_roster_host* added = g_new(wg_roster_host, 1);
    *added = *host;
    g_ptr_array_add(r->hosts, added);
    g_hash_table_insert(r->by_name, added->name, added);
    return added;
}

static bool wg_roster_remove(wg_roster* r, const char* name) {
    wg_roster_host* host = g_hash_table_lookup(r->by_name, name);
    if (host) {
        g_hash_table_remove(r->by_name, name);
        g_ptr_array_remove(r->hosts, host);
    }
    return host != NULL;
}

static void wg_roster_clear(wg_roster* r) {
    g_hash_table_remove_all(r->by_name);
    g_ptr_array_set_size(r->hosts, 0);
    g_queue_clear_full(&r->removals, g_free);
}

/* ---- public functions: leader and copies -------------------------------------------------- */

wg_roster* wg_roster_setup(void) {
    wg_roster* r = g_new0(wg_roster, 1);
    r->hosts = g_ptr_array_new_with_free_func(g_free);
    r->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&r->removals);
    return r;
}

void wg_roster_shutdown(wg_roster* r) {
    wg_roster_clear(r);
    g_hash_table_unref(r->by_name);
    g_ptr_array_unref(r->hosts);
    g_free(r);
}

int wg_roster_num(const wg_roster* r) {
    return (int)r->hosts->len;
}

const wg_roster_host* wg_roster_at(const wg_roster* r, int at) {
    WG_ASSERT(at >= 0 && at < (int)r->hosts->len);
    return r->hosts->pdata[at];
}

const wg_roster_host* wg_roster_find(const wg_roster* r, const char* name) {
    return g_hash_table_lookup(r->by_name, name);
}

uint64_t wg_roster_change(const wg_roster* r) {
    return r->change;
}

/* ---- public functions: leader ------------------------------------------------------------- */

void wg_roster_begin(wg_roster* r, uint64_t term) {
    wg_roster_clear(r);
    /* Also exceeds this roster's own numbers: a leader that briefly lost its lease may begin again
       in the same term, and a copy with an equal number would not be updated. */
    r->change = MAX(r->change + 1, MAX(term, 1) << WG_ROSTER_TERM_SHIFT);
    r->floor = r->change;
}

bool wg_roster_record_report(wg_roster* r, wg_time now, const wg_roster_host* report) {
    wg_roster_host* host = g_hash_table_lookup(r->by_name, report->name);
    bool same = host && strcmp(host->address, report->address) == 0 &&
                strcmp(host->data_centre, report->data_centre) == 0;
    if (!host) {
        host = wg_roster_add(r, report);
    }
    host->last_contact_at = now;
    if (same) {
        return false;
    }
    wg_copy_name(host->address, sizeof host->address, report->address);
    wg_copy_name(host->data_centre, sizeof host->data_centre, report->data_centre);
    host->change = ++r->change;
    return true;
}

bool wg_roster_leave(wg_roster* r, const char* name) {
    char copy[WG_NAME_MAX]; /* `name` may point into the host that is removed */
    wg_copy_name(copy, sizeof copy, name);
    if (!wg_roster_remove(r, copy)) {
        return false;
    }
    wg_roster_record_removal(r, copy);
    return true;
}

void wg_roster_extend_deadlines(wg_roster* r, wg_time now, wg_time time) {
    for (guint i = 0; i < r->hosts->len; i++) {
        wg_roster_host* host = r->hosts->pdata[i];
        host->last_contact_at = MIN(host->last_contact_at + time, now);
    }
}

bool wg_roster_remove_unresponsive(wg_roster* r, wg_time now, wg_time limit,
                                   char name[WG_NAME_MAX]) {
    for (guint i = 0; i < r->hosts->len; i++) {
        const wg_roster_host* host = r->hosts->pdata[i];
        if (now - host->last_contact_at > limit) {
            wg_copy_name(name, WG_NAME_MAX, host->name);
            return wg_roster_leave(r, name);
        }
    }
    return false;
}

wg_roster_difference wg_roster_since(const wg_roster* r, uint64_t since) {
    wg_roster_difference d = {.reset = since < r->floor || since > r->change,
                              .added = g_ptr_array_new(),
                              .removed = g_ptr_array_new(),
                              .change = r->change};
    for (guint i = 0; i < r->hosts->len; i++) {
        wg_roster_host* host = r->hosts->pdata[i];
        if (d.reset || host->change > since) {
            g_ptr_array_add(d.added, host);
        }
    }
    for (const GList* at = r->removals.tail; at && !d.reset; at = at->prev) {
        wg_roster_removal* removal = at->data;
        if (removal->change <= since) {
            break;
        }
        if (!wg_roster_find(r, removal->name)) {
            g_ptr_array_add(d.removed, removal->name);
        }
    }
    return d;
}

void wg_roster_difference_clear(wg_roster_difference* d) {
    g_clear_pointer(&d->added, g_ptr_array_unref);
    g_clear_pointer(&d->removed, g_ptr_array_unref);
}

/* ---- public functions: copies ------------------------------------------------------------- */

void wg_roster_copy_reset(wg_roster* r) {
    wg_roster_clear(r);
}

void wg_roster_copy_add(wg_roster* r, const wg_roster_host* host) {
    wg_roster_host* known = g_hash_table_lookup(r->by_name, host->name);
    if (known) {
        wg_copy_name(known->address, sizeof known->address, host->address);
        wg_copy_name(known->data_centre, sizeof known->data_centre, host->data_centre);
    } else {
        wg_roster_add(r, host);
    }
}

void wg_roster_copy_remove(wg_roster* r, const char* name) {
    wg_roster_remove(r, name);
}

void wg_roster_copy_set_change(wg_roster* r, uint64_t change) {
    r->change = change;
}
