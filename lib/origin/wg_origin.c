/* wg_origin.c -- see wg_origin.h */
#include "wg_origin.h"

#include <string.h>

typedef struct {
    uint64_t stream;
    wg_origin origin; /* its version is a GRefString, shared by all records of the version */
    wg_time expires_at;
    GList link;
} wg_origin_record;

struct wg_origins {
    wg_origins_desc desc;
    GHashTable* records; /* stream -> wg_origin_record* */
    GQueue order;        /* the same, by their last change, oldest first */
};

/* ---- helpers ------------------------------------------------------------------------------- */

static void _wg_origin_record_free(void* data) {
    wg_origin_record* record = data;
    g_ref_string_release((char*)record->origin.version);
    g_free(record);
}

static void _wg_origins_drop(wg_origins* o, wg_origin_record* record) {
    g_queue_unlink(&o->order, &record->link);
    g_hash_table_remove(o->records, &record->stream);
}

/* ---- records ------------------------------------------------------------------------------- */

wg_origins* wg_origins_setup(const wg_origins_desc* desc) {
    wg_origins* o = g_new0(wg_origins, 1);
    o->desc = *desc;
    o->desc.max = desc->max ? desc->max : WG_ORIGINS_MAX_DEFAULT;
    o->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, _wg_origin_record_free);
    g_queue_init(&o->order);
    return o;
}

void wg_origins_shutdown(wg_origins* o) {
    g_hash_table_unref(o->records);
    g_free(o);
}

void wg_origins_record(wg_origins* o, wg_time now, uint64_t stream, const wg_origin* origin,
                       wg_time life) {
    wg_origin_record* record = g_hash_table_lookup(o->records, &stream);
    if (record) {
        _wg_origins_drop(o, record);
    } else if (o->order.length >= (guint)o->desc.max) {
        _wg_origins_drop(o, o->order.head->data);
    }
    record = g_new0(wg_origin_record, 1);
    record->stream = stream;
    record->origin = *origin;
    record->origin.version = g_ref_string_new_intern(origin->version);
    record->expires_at = now + life;
    record->link = (GList){.data = record};
    g_hash_table_insert(o->records, &record->stream, record);
    g_queue_push_tail_link(&o->order, &record->link);
}

const wg_origin* wg_origins_find(const wg_origins* o, wg_time now, uint64_t stream) {
    const wg_origin_record* record = g_hash_table_lookup(o->records, &stream);
    return record && now < record->expires_at ? &record->origin : NULL;
}

/* Lives differ little, so a record that has not expired yet hides others for a short time only. */
void wg_origins_expire(wg_origins* o, wg_time now) {
    wg_origin_record* oldest;
    while ((oldest = o->order.head ? o->order.head->data : NULL) && now >= oldest->expires_at) {
        _wg_origins_drop(o, oldest);
    }
}

int wg_origins_num(const wg_origins* o) {
    return (int)o->order.length;
}

/* ---- messages -------------------------------------------------------------------------------- */

wg_time wg_origin_began_at(wg_time now, uint64_t age_us) {
    return now - (wg_time)MIN(age_us, (uint64_t)WG_ORIGIN_LIFE_MAX);
}

int wg_origins_record_notes(wg_origins* o, wg_time now, Wgpb__OriginNote* const* notes,
                            size_t num) {
    int malformed = 0;
    for (size_t i = 0; i < num; i++) {
        const Wgpb__OriginNote* note = notes[i];
        if (note->stream == 0 || strlen(note->version) >= WG_NAME_MAX) {
            malformed++;
            continue;
        }
        wg_time life = (wg_time)MIN(note->life_us, (uint64_t)WG_ORIGIN_LIFE_MAX);
        wg_origin origin = {note->version, note->target, wg_origin_began_at(now, note->age_us)};
        wg_origins_record(o, now, note->stream, &origin, life);
    }
    return malformed;
}

void wg_origin_fill_answer(Wgpb__OriginAnswer* answer, wg_time now, const wg_origin* origin) {
    answer->known = origin != NULL;
    if (origin) {
        answer->version = (char*)origin->version;
        answer->target = origin->target;
        answer->age_us = (uint64_t)MAX(now - origin->began_at, 0);
    }
}

Wgpb__OriginNotes* wg_origins_dump(const wg_origins* o, wg_time now, int max) {
    size_t num = MIN((guint)max, o->order.length);
    Wgpb__OriginNotes* out = g_new(Wgpb__OriginNotes, 1);
    wgpb__origin_notes__init(out);
    out->notes = g_new(Wgpb__OriginNote*, num + 1);
    for (const GList* at = o->order.head; at && out->n_notes < num; at = at->next) {
        const wg_origin_record* record = at->data;
        Wgpb__OriginNote* note = g_new(Wgpb__OriginNote, 1);
        wgpb__origin_note__init(note);
        note->stream = record->stream;
        note->version = g_strdup(record->origin.version);
        note->target = record->origin.target;
        note->age_us = (uint64_t)MAX(now - record->origin.began_at, 0);
        note->life_us = (uint64_t)MAX(record->expires_at - now, 0);
        out->notes[out->n_notes++] = note;
    }
    return out;
}

Wgpb__OriginNotes* wg_origins_take(wg_origins* o, wg_time now, int max) {
    Wgpb__OriginNotes* out = wg_origins_dump(o, now, max);
    for (size_t i = 0; i < out->n_notes; i++) {
        _wg_origins_drop(o, o->order.head->data);
    }
    return out;
}

/* ---- who keeps a stream -------------------------------------------------------------------- */

uint64_t wg_origin_stream(const char* id, uint64_t workspace) {
    return MAX(wg_hash(id, strlen(id), workspace), 1);
}

int wg_origin_select(uint64_t stream, const uint64_t* hosts, int num,
                     int keepers[WG_ORIGIN_KEEPERS]) {
    uint64_t ranks[WG_ORIGIN_KEEPERS];
    int found = 0;
    for (int i = 0; i < num; i++) {
        uint64_t rank = wg_hash(&stream, sizeof stream, hosts[i]);
        int at = found;
        for (; at > 0 && ranks[at - 1] < rank; at--) {
            if (at < WG_ORIGIN_KEEPERS) {
                ranks[at] = ranks[at - 1];
                keepers[at] = keepers[at - 1];
            }
        }
        if (at < WG_ORIGIN_KEEPERS) {
            ranks[at] = rank;
            keepers[at] = i;
            found = MIN(found + 1, WG_ORIGIN_KEEPERS);
        }
    }
    return found;
}

/* ---- lookups ------------------------------------------------------------------------------- */

void wg_origin_lookup_begin(wg_origin_lookup* l, wg_time now, int asked) {
    *l = (wg_origin_lookup){.pending = asked, .expires_at = now + WG_ORIGIN_ROUND_TIME};
}

void wg_origin_lookup_ask_all(wg_origin_lookup* l, wg_time now, int asked) {
    l->asked_all = true;
    l->pending = asked;
    l->answered = 0;
    l->expires_at = now + WG_ORIGIN_ROUND_TIME;
}

void wg_origin_lookup_answer(wg_origin_lookup* l, const wg_origin_host_answer* answer) {
    l->pending -= l->pending > 0;
    l->answered++;
    l->registry_change_max = MAX(l->registry_change_max, answer->registry_change);
    l->records_from = MAX(l->records_from, answer->records_from);
    l->doubted = l->doubted || answer->doubted;
}

void wg_origin_lookup_replica_answer(wg_origin_lookup* l) {
    l->pending -= l->pending > 0;
}

wg_origin_step wg_origin_lookup_step(const wg_origin_lookup* l, wg_time now) {
    if (l->pending > 0 && now < l->expires_at) {
        return WG_ORIGIN_WAIT;
    }
    return l->asked_all ? WG_ORIGIN_UNKNOWN : WG_ORIGIN_ASK_ALL;
}
