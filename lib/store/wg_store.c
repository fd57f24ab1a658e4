/* wg_store.c -- see wg_store.h */
#include "wg_store.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "wg_store_file.h"
#include "wg_wire.h"

/* ---- types -------------------------------------------------------------------------------- */

enum {
    _WGS_MARKER_SLOT_SIZE = 32,
    _WGS_MARKER_SLOTS_NUM = 4, /* two slots written without a sync, then two synced slots */
    _WGS_NAME_SIZE = 40
};

/* A log file; offsets[i] is the file offset of the record of entry first + i. */
typedef struct {
    uint64_t first;
    int fd;
    GArray* offsets;
    uint64_t size;
} _wgs_segment_t;

struct wgs_store {
    wgs_desc desc;
    int folder_fd;
    int lock_fd;
    int synced_fd;
    uint64_t marker_seq;
    uint64_t marker_syncs; /* synced writes of the marker; selects the next synced slot */
    uint64_t synced_index;
    uint64_t term;
    uint64_t voted_for;
    uint64_t snapshot_index;
    GPtrArray* segments; /* _wgs_segment_t*, oldest first */
    GArray* entries;     /* wgr_entry, read by wgs_open() */
    wgs_content content;
    wgs_stats stats;
};

/* ---- helpers: listing ----------------------------------------------------------------------- */

static gint _wgs_compare_index(gconstpointer a, gconstpointer b) {
    uint64_t left = *(const uint64_t*)a;
    uint64_t right = *(const uint64_t*)b;
    return left < right ? -1 : left > right ? 1 : 0;
}

/* Lists the indexes in the names of files with a prefix, in ascending order. */
static GArray* _wgs_list_indexes(const char* folder, const char* prefix) {
    GArray* found = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GDir* dir = g_dir_open(folder, 0, NULL);
    const char* name;
    while (dir && (name = g_dir_read_name(dir))) {
        guint64 index;
        if (g_str_has_prefix(name, prefix) &&
            g_ascii_string_to_unsigned(name + strlen(prefix), 10, 0, UINT64_MAX, &index, NULL)) {
            uint64_t value = index;
            g_array_append_val(found, value);
        }
    }
    if (dir) {
        g_dir_close(dir);
    }
    g_array_sort(found, _wgs_compare_index);
    return found;
}

/* ---- helpers: small files ------------------------------------------------------------------ */

static wgs_desc _wgs_desc_def(const wgs_desc* desc) {
    wgs_desc d = *desc;
    d.segment_bytes = d.segment_bytes ? d.segment_bytes : WGS_SEGMENT_BYTES_DEFAULT;
    d.log_keep = d.log_keep ? d.log_keep : WGR_LOG_KEEP_DEFAULT;
    return d;
}

static bool _wgs_corrupt(GError** error, const char* name, const char* why) {
    g_set_error(error, WG_ERROR, WG_ERROR_CORRUPT, "data file %s: %s", name, why);
    return false;
}

static bool _wgs_write_state(wgs_store* s, GError** error) {
    Wgpb__HardState state = WGPB__HARD_STATE__INIT;
    state.cluster = s->content.cluster;
    state.identity = s->content.identity;
    state.term = s->term;
    state.voted_for = s->voted_for;
    state.superseded_by = s->content.superseded_by;
    GByteArray* packed = wgw_pack(&state.base);
    GByteArray* file = g_byte_array_new();
    _wgs_record_append(file, packed->data, packed->len);
    bool good = _wgs_replace_file(s->folder_fd, "state", file, error);
    g_byte_array_unref(packed);
    g_byte_array_unref(file);
    s->stats.syncs += 2;
    return good;
}

static bool _wgs_read_state(wgs_store* s, GError** error) {
    GError* failure = NULL;
    GByteArray* file = _wgs_read_file(s->folder_fd, "state", &failure);
    if (failure) {
        g_propagate_error(error, failure);
        return false;
    }
    if (!file) {
        GArray* logs = _wgs_list_indexes(s->desc.folder, "log-");
        guint logs_num = logs->len;
        g_array_unref(logs);
        if (logs_num > 0) {
            return _wgs_corrupt(error, "state", "missing although log segments exist");
        }
        s->content.fresh = true;
        s->content.identity = s->desc.fresh_identity;
        s->content.cluster = s->desc.fresh_cluster;
        return _wgs_write_state(s, error);
    }
    const uint8_t* payload;
    size_t size;
    Wgpb__HardState* state = NULL;
    if (_wgs_record_parse(file->data, file->len, &payload, &size) == _WGS_RECORD_COMPLETE &&
        size + _WGS_RECORD_HEADER_SIZE == file->len) {
        state = wgpb__hard_state__unpack(NULL, size, payload);
    }
    g_byte_array_unref(file);
    if (!state) {
        return _wgs_corrupt(error, "state", "truncated or corrupt");
    }
    s->content.identity = state->identity;
    s->content.cluster = state->cluster;
    s->content.superseded_by = state->superseded_by;
    s->term = state->term;
    s->voted_for = state->voted_for;
    wgpb__hard_state__free_unpacked(state, NULL);
    return true;
}

/* The marker is written after the log is synced, without a sync of its own. After a process crash
   it is exact. After a power loss it may lag behind the log, and a damaged record beyond it counts
   as a torn tail. A power loss may corrupt both unsynced slots, but at most one of the two synced
   slots. */
static bool _wgs_write_marker(wgs_store* s, uint64_t index, bool sync, GError** error) {
    s->marker_seq++;
    s->synced_index = index;
    uint64_t slot[4] = {GUINT64_TO_LE(s->marker_seq), GUINT64_TO_LE(index), 0, 0};
    slot[3] = GUINT64_TO_LE(wg_hash(slot, 24, 1));
    off_t at =
        (off_t)(sync ? 2 + s->marker_syncs++ % 2 : s->marker_seq % 2) * _WGS_MARKER_SLOT_SIZE;
    ssize_t written = _wgs_pwrite(s->synced_fd, slot, sizeof slot, at);
    if (written != (ssize_t)sizeof slot) {
        errno = written < 0 ? errno : ENOSPC; /* a short write: the disk is full */
        return _wgs_fail(error, "cannot write", "synced");
    }
    if (sync && _wgs_sync_data(s->synced_fd) != 0) {
        return _wgs_fail(error, "cannot sync", "synced");
    }
    return true;
}

static bool _wgs_read_marker(wgs_store* s, GError** error) {
    s->synced_fd = _wgs_create(s->folder_fd, "synced", O_RDWR);
    if (s->synced_fd < 0) {
        return _wgs_fail(error, "cannot open", "synced");
    }
    int damaged = 0;
    for (int i = 0; i < _WGS_MARKER_SLOTS_NUM; i++) {
        static const uint64_t never_written[4] = {0};
        uint64_t slot[4] = {0};
        ssize_t got = pread(s->synced_fd, slot, sizeof slot, i * _WGS_MARKER_SLOT_SIZE);
        if (got < 0) {
            return _wgs_fail(error, "cannot read", "synced");
        }
        if (memcmp(slot, never_written, sizeof slot) == 0) {
            continue;
        }
        if (GUINT64_FROM_LE(slot[3]) != wg_hash(slot, 24, 1)) {
            damaged++;
        } else if (GUINT64_FROM_LE(slot[0]) > s->marker_seq) {
            s->marker_seq = GUINT64_FROM_LE(slot[0]);
            s->synced_index = GUINT64_FROM_LE(slot[1]);
            s->marker_syncs = i < 2 ? 0 : (uint64_t)i - 1; /* next: the other synced slot */
        }
    }
    if (damaged > 0 && s->marker_seq == 0) {
        return _wgs_corrupt(error, "synced", "no slot has a valid checksum");
    }
    return _wgs_write_marker(s, s->synced_index, true, error) &&
           _wgs_sync_folder(s->folder_fd, error);
}

/* ---- helpers: segments --------------------------------------------------------------------- */

static void _wgs_segment_name(uint64_t first, char name[_WGS_NAME_SIZE]) {
    g_snprintf(name, _WGS_NAME_SIZE, "log-%020" G_GUINT64_FORMAT, first);
}

static void _wgs_snapshot_name(uint64_t index, char name[_WGS_NAME_SIZE]) {
    g_snprintf(name, _WGS_NAME_SIZE, "snapshot-%020" G_GUINT64_FORMAT, index);
}

static void _wgs_segment_free(gpointer data) {
    _wgs_segment_t* segment = data;
    close(segment->fd);
    g_array_unref(segment->offsets);
    g_free(segment);
}

static _wgs_segment_t* _wgs_segment_at(const wgs_store* s, guint i) {
    return g_ptr_array_index(s->segments, i);
}

static _wgs_segment_t* _wgs_last_segment(const wgs_store* s) {
    return s->segments->len ? _wgs_segment_at(s, s->segments->len - 1) : NULL;
}

static uint64_t _wgs_last_index(const _wgs_segment_t* segment) {
    return segment->first + segment->offsets->len - 1;
}

static _wgs_segment_t* _wgs_open_segment(wgs_store* s, uint64_t first, bool create,
                                         GError** error) {
    char name[_WGS_NAME_SIZE];
    _wgs_segment_name(first, name);
    int flags = O_RDWR | O_APPEND;
    int fd = create ? _wgs_create(s->folder_fd, name, flags | O_EXCL)
                    : openat(s->folder_fd, name, flags | O_CLOEXEC);
    if (fd < 0) {
        _wgs_fail(error, "cannot open", name);
        return NULL;
    }
    if (create && !_wgs_sync_folder(s->folder_fd, error)) {
        close(fd);
        return NULL;
    }
    _wgs_segment_t* segment = g_new0(_wgs_segment_t, 1);
    segment->first = first;
    segment->fd = fd;
    segment->offsets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_ptr_array_add(s->segments, segment);
    s->stats.segments++;
    return segment;
}

static bool _wgs_remove_segment(wgs_store* s, guint i, GError** error) {
    char name[_WGS_NAME_SIZE];
    _wgs_segment_name(_wgs_segment_at(s, i)->first, name);
    if (_wgs_remove(s->folder_fd, name) != 0) {
        return _wgs_fail(error, "cannot remove", name);
    }
    s->stats.log_bytes -= _wgs_segment_at(s, i)->size;
    g_ptr_array_remove_index(s->segments, i);
    s->stats.segments--;
    return true;
}

static void _wgs_entry_clear(gpointer data) {
    wgr_entry* entry = data;
    if (entry->data) {
        g_bytes_unref(entry->data);
    }
}

static bool _wgs_load_record(wgs_store* s, _wgs_segment_t* segment, const uint8_t* payload,
                             size_t size) {
    Wgpb__LogEntry* in = wgpb__log_entry__unpack(NULL, size, payload);
    bool good = in && in->index == segment->first + segment->offsets->len;
    if (good) {
        wgr_entry entry = {.index = in->index, .term = in->term, .kind = (wgr_entry_kind)in->kind};
        entry.data = g_bytes_new(in->data.data, in->data.len);
        g_array_append_val(s->entries, entry);
    }
    if (in) {
        wgpb__log_entry__free_unpacked(in, NULL);
    }
    return good;
}

/* Reads one segment. Only the last segment may have a torn tail. */
static bool _wgs_read_segment(wgs_store* s, uint64_t first, bool last, GError** error) {
    char name[_WGS_NAME_SIZE];
    _wgs_segment_name(first, name);
    GByteArray* file = _wgs_read_file(s->folder_fd, name, error);
    _wgs_segment_t* segment = file ? _wgs_open_segment(s, first, false, error) : NULL;
    if (!segment) {
        if (file) {
            g_byte_array_unref(file);
        }
        return false;
    }
    bool good = true;
    uint64_t at = 0;
    while (good && at < file->len) {
        const uint8_t* payload;
        size_t size;
        _wgs_record_status record =
            _wgs_record_parse(file->data + at, file->len - at, &payload, &size);
        uint64_t index = segment->first + segment->offsets->len;
        if (record != _WGS_RECORD_COMPLETE) {
            if (!last || index <= s->synced_index) {
                good = _wgs_corrupt(error, name, "a synced record is truncated or corrupt");
                break;
            }
            s->content.tail_truncated = true;
            if (_wgs_truncate_file(segment->fd, (off_t)at) != 0 ||
                _wgs_sync_data(segment->fd) != 0) {
                good = _wgs_fail(error, "cannot truncate the torn tail of", name);
            }
            break;
        }
        if (!_wgs_load_record(s, segment, payload, size)) {
            good = _wgs_corrupt(error, name, "a record is malformed or out of order");
            break;
        }
        g_array_append_val(segment->offsets, at);
        at += _WGS_RECORD_HEADER_SIZE + size;
    }
    segment->size = at;
    s->stats.log_bytes += at;
    g_byte_array_unref(file);
    return good;
}

/* ---- helpers: open ------------------------------------------------------------------------- */

static bool _wgs_read_snapshot(wgs_store* s, GError** error) {
    GArray* found = _wgs_list_indexes(s->desc.folder, "snapshot-");
    if (found->len == 0) {
        g_array_unref(found);
        return true;
    }
    uint64_t newest = g_array_index(found, uint64_t, found->len - 1);
    g_array_unref(found);
    char name[_WGS_NAME_SIZE];
    _wgs_snapshot_name(newest, name);
    GByteArray* file = _wgs_read_file(s->folder_fd, name, error);
    if (!file) {
        return false;
    }
    const uint8_t* payload;
    size_t size;
    Wgpb__SnapshotFile* in = NULL;
    if (_wgs_record_parse(file->data, file->len, &payload, &size) == _WGS_RECORD_COMPLETE &&
        size + _WGS_RECORD_HEADER_SIZE == file->len) {
        in = wgpb__snapshot_file__unpack(NULL, size, payload);
    }
    g_byte_array_unref(file);
    wgr_restored* r = &s->content.restored;
    bool good = in && in->replicas && in->index == newest;
    if (good) {
        GByteArray* set = wgw_pack(&in->replicas->base);
        GBytes* set_bytes = g_byte_array_free_to_bytes(set);
        good = wgr_set_unpack(set_bytes, &r->set);
        g_bytes_unref(set_bytes);
        r->snapshot_index = in->index;
        r->snapshot_term = in->term;
        r->snapshot = g_bytes_new(in->state.data, in->state.len);
        s->snapshot_index = in->index;
    }
    if (in) {
        wgpb__snapshot_file__free_unpacked(in, NULL);
    }
    return good || _wgs_corrupt(error, name, "truncated or corrupt");
}

/* Removes all segments read so far. */
static bool _wgs_remove_log(wgs_store* s, GError** error) {
    g_array_set_size(s->entries, 0);
    while (s->segments->len > 0) {
        if (!_wgs_remove_segment(s, s->segments->len - 1, error)) {
            return false;
        }
    }
    return _wgs_sync_folder(s->folder_fd, error);
}

/* Removes a log that does not continue the snapshot: a crash may have left it behind when a
   snapshot from the leader replaced it. */
static bool _wgs_reconcile_log(wgs_store* s, GError** error) {
    const wgr_restored* r = &s->content.restored;
    if (s->entries->len == 0) {
        return true;
    }
    const wgr_entry* first = &g_array_index(s->entries, wgr_entry, 0);
    uint64_t last = first->index + s->entries->len - 1;
    if (first->index > r->snapshot_index + 1 && s->synced_index > r->snapshot_index) {
        return _wgs_corrupt(error, "log", "entries between the snapshot and the log are missing");
    }
    bool is_contiguous = first->index <= r->snapshot_index + 1 && last >= r->snapshot_index;
    if (is_contiguous && r->snapshot_index >= first->index) {
        const wgr_entry* at_snapshot =
            &g_array_index(s->entries, wgr_entry, r->snapshot_index - first->index);
        is_contiguous = at_snapshot->term == r->snapshot_term;
    }
    return is_contiguous || _wgs_remove_log(s, error);
}

static bool _wgs_read_log(wgs_store* s, GError** error) {
    GArray* found = _wgs_list_indexes(s->desc.folder, "log-");
    bool good = true;
    for (guint i = 0; i < found->len && good; i++) {
        uint64_t first = g_array_index(found, uint64_t, i);
        const _wgs_segment_t* previous = _wgs_last_segment(s);
        bool gap = previous && first != _wgs_last_index(previous) + 1;
        if (gap && _wgs_last_index(previous) <= s->snapshot_index) {
            good = _wgs_remove_log(s, error); /* a power loss undid the removal of these segments */
        } else if (gap) {
            good = _wgs_corrupt(error, "log", "a segment is missing");
        }
        good = good && _wgs_read_segment(s, first, i + 1 == found->len, error);
    }
    g_array_unref(found);
    if (!good || !_wgs_reconcile_log(s, error)) {
        return false;
    }
    const _wgs_segment_t* last = _wgs_last_segment(s);
    uint64_t last_index = last ? _wgs_last_index(last) : 0;
    if (MAX(last_index, s->snapshot_index) < s->synced_index) {
        return _wgs_corrupt(error, "log", "synced entries are missing at the end");
    }
    return true;
}

static bool _wgs_lock_folder(wgs_store* s, GError** error) {
    if (g_mkdir_with_parents(s->desc.folder, 0700) != 0) {
        return _wgs_fail(error, "cannot create", s->desc.folder);
    }
    s->folder_fd = open(s->desc.folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (s->folder_fd < 0) {
        return _wgs_fail(error, "cannot open", s->desc.folder);
    }
    s->lock_fd = _wgs_create(s->folder_fd, "lock", O_RDWR);
    if (s->lock_fd < 0) {
        return _wgs_fail(error, "cannot open", "lock");
    }
    if (flock(s->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        return _wgs_fail(error, "another process uses", s->desc.folder);
    }
    return true;
}

/* ---- public functions --------------------------------------------------------------------- */

wgs_store* wgs_open(const wgs_desc* desc, GError** error) {
    if (!desc->folder || !desc->folder[0] || desc->fresh_identity == 0) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID,
                    "wgs_desc.folder or wgs_desc.fresh_identity is missing");
        return NULL;
    }
    wgs_store* s = g_new0(wgs_store, 1);
    s->desc = _wgs_desc_def(desc);
    s->folder_fd = s->lock_fd = s->synced_fd = -1;
    s->segments = g_ptr_array_new_with_free_func(_wgs_segment_free);
    s->entries = g_array_new(FALSE, TRUE, sizeof(wgr_entry));
    g_array_set_clear_func(s->entries, _wgs_entry_clear);
    bool good = _wgs_lock_folder(s, error) && _wgs_read_state(s, error) &&
                _wgs_read_snapshot(s, error) && _wgs_read_marker(s, error) &&
                _wgs_read_log(s, error);
    if (!good) {
        wgs_close(s);
        return NULL;
    }
    wgr_restored* r = &s->content.restored;
    r->term = s->term;
    r->voted_for = s->voted_for;
    r->entries = (const wgr_entry*)(void*)s->entries->data;
    r->entries_num = (int)s->entries->len;
    return s;
}

void wgs_close(wgs_store* s) {
    wgs_release_content(s);
    g_ptr_array_unref(s->segments);
    g_array_unref(s->entries);
    if (s->synced_fd >= 0) {
        close(s->synced_fd);
    }
    if (s->lock_fd >= 0) {
        close(s->lock_fd);
    }
    if (s->folder_fd >= 0) {
        close(s->folder_fd);
    }
    g_free(s);
}

const wgs_content* wgs_query_content(const wgs_store* s) {
    return &s->content;
}

void wgs_release_content(wgs_store* s) {
    g_array_set_size(s->entries, 0);
    if (s->content.restored.snapshot) {
        g_bytes_unref(s->content.restored.snapshot);
    }
    s->content.restored.snapshot = NULL;
    s->content.restored.entries = NULL;
    s->content.restored.entries_num = 0;
}

bool wgs_save_hard_state(wgs_store* s, uint64_t term, uint64_t voted_for, GError** error) {
    WG_ASSERT(term >= s->term);
    WG_ASSERT(term > s->term || s->voted_for == 0 || s->voted_for == voted_for);
    s->term = term;
    s->voted_for = voted_for;
    return _wgs_write_state(s, error);
}

bool wgs_save_cluster(wgs_store* s, uint64_t cluster, GError** error) {
    WG_ASSERT(s->content.cluster == 0 || s->content.cluster == cluster || wgs_is_empty(s));
    s->content.cluster = cluster;
    return _wgs_write_state(s, error);
}

bool wgs_save_superseded(wgs_store* s, uint64_t recovery, GError** error) {
    WG_ASSERT(recovery > s->content.superseded_by);
    s->content.superseded_by = recovery;
    return _wgs_write_state(s, error);
}

bool wgs_switch_cluster(wgs_store* s, uint64_t cluster, uint64_t term, GError** error) {
    WG_ASSERT(term > s->term);
    s->content.cluster = cluster;
    s->term = term;
    s->voted_for = 0;
    return _wgs_write_state(s, error);
}

bool wgs_is_empty(const wgs_store* s) {
    return s->snapshot_index == 0 && s->segments->len == 0;
}

bool wgs_append(wgs_store* s, const wgr_entry* entries, int num, GError** error) {
    if (num == 0) {
        return true;
    }
    _wgs_segment_t* segment = _wgs_last_segment(s);
    if (!segment || segment->size >= s->desc.segment_bytes) {
        segment = _wgs_open_segment(s, entries[0].index, true, error);
        if (!segment) {
            return false;
        }
    }
    GByteArray* out = g_byte_array_new();
    for (int i = 0; i < num; i++) {
        WG_ASSERT(entries[i].index == segment->first + segment->offsets->len);
        uint64_t at = segment->size + out->len;
        g_array_append_val(segment->offsets, at);
        Wgpb__LogEntry entry = WGPB__LOG_ENTRY__INIT;
        entry.index = entries[i].index;
        entry.term = entries[i].term;
        entry.kind = entries[i].kind;
        gsize size = 0;
        const void* data = entries[i].data ? g_bytes_get_data(entries[i].data, &size) : NULL;
        entry.data = (ProtobufCBinaryData){size, (uint8_t*)data};
        GByteArray* packed = wgw_pack(&entry.base);
        _wgs_record_append(out, packed->data, packed->len);
        g_byte_array_unref(packed);
    }
    bool good = _wgs_write_all(segment->fd, out->data, out->len, error);
    if (good && _wgs_sync_data(segment->fd) != 0) {
        good = _wgs_fail(error, "cannot sync", "log");
    }
    segment->size += out->len;
    s->stats.log_bytes += out->len;
    s->stats.bytes_written += out->len;
    s->stats.syncs++;
    g_byte_array_unref(out);
    return good && _wgs_write_marker(s, entries[num - 1].index, false, error);
}

bool wgs_truncate(wgs_store* s, uint64_t from, GError** error) {
    if (!_wgs_write_marker(s, MIN(s->synced_index, from - 1), true, error)) {
        return false;
    }
    /* Newest first, with a folder sync after each removal: if a power loss undid the removal of a
       later segment only, the log would have a gap and the folder would not open. */
    while (s->segments->len > 0 && _wgs_last_segment(s)->first >= from) {
        if (!_wgs_remove_segment(s, s->segments->len - 1, error) ||
            !_wgs_sync_folder(s->folder_fd, error)) {
            return false;
        }
    }
    _wgs_segment_t* segment = _wgs_last_segment(s);
    if (segment && _wgs_last_index(segment) >= from) {
        uint64_t at = g_array_index(segment->offsets, uint64_t, from - segment->first);
        if (_wgs_truncate_file(segment->fd, (off_t)at) != 0 || _wgs_sync_data(segment->fd) != 0) {
            return _wgs_fail(error, "cannot truncate", "log");
        }
        g_array_set_size(segment->offsets, (guint)(from - segment->first));
        s->stats.log_bytes -= segment->size - at;
        segment->size = at;
    }
    return true;
}

/* Removes log segments that the snapshot covers, except for those with entries that lagging
   replicas may need. */
static bool _wgs_compact_log(wgs_store* s, uint64_t index, bool reset, GError** error) {
    if (reset && !_wgs_write_marker(s, index, true, error)) {
        return false;
    }
    while (s->segments->len > (reset ? 0u : 1u)) {
        uint64_t last = _wgs_last_index(_wgs_segment_at(s, 0));
        bool covered = last + (uint64_t)s->desc.log_keep <= index;
        if (!reset && !covered) {
            break;
        }
        if (!_wgs_remove_segment(s, 0, error)) {
            return false;
        }
    }
    /* Start a new segment, so that the current one can be removed after a later snapshot. */
    _wgs_segment_t* segment = _wgs_last_segment(s);
    if (segment && segment->offsets->len > (guint)s->desc.log_keep) {
        return _wgs_open_segment(s, _wgs_last_index(segment) + 1, true, error) != NULL;
    }
    return true;
}

bool wgs_save_snapshot(wgs_store* s, uint64_t index, uint64_t term, const wgr_set* set,
                       GBytes* state, bool reset, GError** error) {
    WG_ASSERT(index >= s->snapshot_index);
    Wgpb__SnapshotFile out = WGPB__SNAPSHOT_FILE__INIT;
    GBytes* set_bytes = wgr_set_pack(set);
    gsize set_size;
    const uint8_t* set_data = g_bytes_get_data(set_bytes, &set_size);
    out.index = index;
    out.term = term;
    out.replicas = wgpb__replica_set__unpack(NULL, set_size, set_data);
    g_bytes_unref(set_bytes);
    gsize size;
    const void* data = g_bytes_get_data(state, &size);
    out.state = (ProtobufCBinaryData){size, (uint8_t*)data};
    GByteArray* packed = wgw_pack(&out.base);
    wgpb__replica_set__free_unpacked(out.replicas, NULL);
    GByteArray* file = g_byte_array_new();
    _wgs_record_append(file, packed->data, packed->len);
    g_byte_array_unref(packed);
    char name[_WGS_NAME_SIZE];
    _wgs_snapshot_name(index, name);
    bool good = _wgs_replace_file(s->folder_fd, name, file, error);
    s->stats.bytes_written += file->len;
    s->stats.snapshots++;
    g_byte_array_unref(file);
    if (!good) {
        return false;
    }
    uint64_t old = s->snapshot_index;
    s->snapshot_index = index;
    if (!_wgs_compact_log(s, index, reset, error)) {
        return false;
    }
    if (old > 0 && old != index) {
        _wgs_snapshot_name(old, name);
        if (_wgs_remove(s->folder_fd, name) != 0) {
            return _wgs_fail(error, "cannot remove", name);
        }
    }
    return _wgs_sync_folder(s->folder_fd, error);
}

wgs_stats wgs_query_stats(const wgs_store* s) {
    return s->stats;
}
