/* test_store.c -- the data folder: lost and flipped bytes, torn tails, snapshots, truncation, disks
   that fail writes, power loss */
#include <fcntl.h>
#include <glib/gstdio.h>
#include <sys/stat.h>
#include <unistd.h>

#include <errno.h>

#include "folder.h"
#include "wg_store.h"
#include "wg_store_file.h"
#include "wg_test.h"

static char folder[64];

static void create_folder(void) {
    g_strlcpy(folder, "/tmp/wgs-XXXXXX", sizeof folder);
    ck_assert_ptr_nonnull(mkdtemp(folder));
}

static void remove_folder(void) {
    folder_wipe(folder);
    g_rmdir(folder);
}

static wgs_store* open_store(GError** error) {
    return wgs_open(
        &(wgs_desc){.folder = folder, .fresh_identity = 42, .segment_bytes = 512, .log_keep = 5},
        error);
}

static void append(wgs_store* store, uint64_t first, int num, uint64_t term) {
    for (int i = 0; i < num; i++) {
        char text[40];
        g_snprintf(text, sizeof text, "entry %d of term %d", (int)first + i, (int)term);
        wgr_entry entry = {.index = first + (uint64_t)i, .term = term, .kind = WGR_ENTRY_DATA};
        entry.data = g_bytes_new(text, strlen(text));
        GError* error = NULL;
        ck_assert(wgs_append(store, &entry, 1, &error));
        g_bytes_unref(entry.data);
    }
}

static char* last_log(void) {
    GDir* dir = g_dir_open(folder, 0, NULL);
    char* newest = NULL;
    const char* name;
    while ((name = g_dir_read_name(dir))) {
        if (g_str_has_prefix(name, "log-") && (!newest || strcmp(name, newest) > 0)) {
            g_free(newest);
            newest = g_strdup(name);
        }
    }
    g_dir_close(dir);
    char* path = g_build_filename(folder, newest, NULL);
    g_free(newest);
    return path;
}

static int entries_found(GError** error) {
    wgs_store* store = open_store(error);
    if (!store) {
        return -1;
    }
    int num = wgs_query_content(store)->restored.entries_num;
    wgs_close(store);
    return num;
}

START_TEST(synced_state_is_restored) {
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    ck_assert(wgs_query_content(store)->fresh);
    append(store, 1, 40, 3);
    ck_assert(wgs_save_hard_state(store, 7, 99, &error));
    wgs_close(store);
    store = open_store(&error);
    const wgs_content* content = wgs_query_content(store);
    ck_assert(!content->fresh);
    ck_assert_uint_eq(content->identity, 42);
    ck_assert_int_eq(content->restored.entries_num, 40);
    ck_assert_uint_eq(content->restored.term, 7);
    ck_assert_uint_eq(content->restored.voted_for, 99);
    ck_assert_uint_eq(content->restored.entries[39].index, 40);
    wgs_close(store);
    remove_folder();
}
END_TEST

START_TEST(two_processes_cannot_share_a_folder) {
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    ck_assert_ptr_null(open_store(&error));
    ck_assert_ptr_nonnull(strstr(error->message, "another process"));
    g_clear_error(&error);
    wgs_close(store);
    remove_folder();
}
END_TEST

/* A synced record that lost bytes, or has a flipped bit, makes the start fail with an error. */
START_TEST(damage_to_a_synced_record_is_found) {
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    append(store, 1, 3, 1);
    wgs_close(store);
    char* path = last_log();
    char* good;
    gsize size;
    ck_assert(g_file_get_contents(path, &good, &size, NULL));
    gsize record = size / 3;
    for (gsize cut = 1; cut <= record; cut++) {
        ck_assert(g_file_set_contents(path, good, (gssize)(size - cut), NULL));
        ck_assert_int_eq(entries_found(&error), -1);
        ck_assert_ptr_nonnull(error);
        g_clear_error(&error);
    }
    for (gsize bit = 0; bit < record * 8; bit++) {
        char* bad = g_memdup2(good, size);
        bad[size - record + bit / 8] ^= (char)(1 << (bit % 8));
        ck_assert(g_file_set_contents(path, bad, (gssize)size, NULL));
        ck_assert_int_eq(entries_found(&error), -1);
        g_clear_error(&error);
        /* A failed start leaves the damaged file unchanged for analysis. */
        char* after;
        gsize after_size;
        ck_assert(g_file_get_contents(path, &after, &after_size, NULL));
        ck_assert_uint_eq(after_size, size);
        ck_assert_int_eq(memcmp(after, bad, size), 0);
        g_free(after);
        g_free(bad);
    }
    ck_assert(g_file_set_contents(path, good, (gssize)size, NULL));
    ck_assert_int_eq(entries_found(&error), 3);
    g_free(good);
    g_free(path);
    remove_folder();
}
END_TEST

/* A record that was partly written at a crash is truncated. */
START_TEST(torn_tail_is_truncated) {
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    append(store, 1, 2, 1);
    char* path = last_log();
    char* synced_path = g_build_filename(folder, "synced", NULL);
    char* synced;
    gsize synced_size;
    ck_assert(g_file_get_contents(synced_path, &synced, &synced_size, NULL));
    struct stat before;
    ck_assert_int_eq(g_stat(path, &before), 0);
    append(store, 3, 1, 1);
    wgs_close(store);
    char* log;
    gsize size;
    ck_assert(g_file_get_contents(path, &log, &size, NULL));
    for (gsize kept = (gsize)before.st_size; kept < size; kept++) {
        ck_assert(g_file_set_contents(path, log, (gssize)kept, NULL));
        ck_assert(g_file_set_contents(synced_path, synced, (gssize)synced_size, NULL));
        ck_assert_int_eq(entries_found(&error), 2);
        struct stat after;
        ck_assert_int_eq(g_stat(path, &after), 0);
        ck_assert_int_eq(after.st_size, before.st_size);
    }
    g_free(log);
    g_free(synced);
    g_free(synced_path);
    g_free(path);
    remove_folder();
}
END_TEST

START_TEST(damage_before_the_tail_stops_the_start) {
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    append(store, 1, 30, 1);
    wgs_close(store);
    char* path = g_build_filename(folder, "log-00000000000000000001", NULL);
    char* log;
    gsize size;
    ck_assert(g_file_get_contents(path, &log, &size, NULL));
    log[size / 2] ^= 4;
    ck_assert(g_file_set_contents(path, log, (gssize)size, NULL));
    ck_assert_int_eq(entries_found(&error), -1);
    ck_assert_int_eq(error->code, WG_ERROR_CORRUPT);
    g_clear_error(&error);
    g_unlink(path);
    ck_assert_int_eq(entries_found(&error), -1);
    g_clear_error(&error);
    g_free(log);
    g_free(path);
    remove_folder();
}
END_TEST

START_TEST(damaged_small_files_stop_the_start) {
    static const char* names[] = {"state", "synced"};
    for (size_t n = 0; n < G_N_ELEMENTS(names); n++) {
        create_folder();
        GError* error = NULL;
        wgs_store* store = open_store(&error);
        append(store, 1, 3, 1);
        wgs_close(store);
        char* path = g_build_filename(folder, names[n], NULL);
        char* content;
        gsize size;
        ck_assert(g_file_get_contents(path, &content, &size, NULL));
        for (gsize i = 0; i < size; i++) {
            content[i] ^= 1;
        }
        ck_assert(g_file_set_contents(path, content, (gssize)size, NULL));
        ck_assert_int_eq(entries_found(&error), -1);
        g_clear_error(&error);
        g_free(content);
        g_free(path);
        remove_folder();
    }
    /* A folder that has a log but no identity must not be taken for a new one. */
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    append(store, 1, 3, 1);
    wgs_close(store);
    char* path = g_build_filename(folder, "state", NULL);
    g_unlink(path);
    ck_assert_int_eq(entries_found(&error), -1);
    g_clear_error(&error);
    g_free(path);
    remove_folder();
}
END_TEST

/* A power loss may damage all unsynced slots of the marker file, which must not stop the start. */
START_TEST(power_loss_may_damage_the_unsynced_marker) {
    enum {
        UNSYNCED_SLOTS = 64 /* size in bytes of the slots that are written without a sync */
    };
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    append(store, 1, 4, 1);
    wgs_close(store);
    char* path = g_build_filename(folder, "synced", NULL);
    char* content;
    gsize size;
    ck_assert(g_file_get_contents(path, &content, &size, NULL));
    for (gsize i = 0; i < MIN(size, UNSYNCED_SLOTS); i++) {
        content[i] ^= 1;
    }
    ck_assert(g_file_set_contents(path, content, (gssize)size, NULL));
    ck_assert_int_eq(entries_found(&error), 4);
    ck_assert_int_eq(entries_found(&error), 4);
    g_free(content);
    g_free(path);
    remove_folder();
}
END_TEST

/* A power loss may undo any file removal that no folder sync followed. */
START_TEST(power_loss_may_restore_a_removed_segment) {
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    append(store, 1, 40, 1);
    char* path = g_build_filename(folder, "log-00000000000000000001", NULL);
    char* log;
    gsize size;
    ck_assert(g_file_get_contents(path, &log, &size, NULL));
    wgr_set set = {.num = 1, .replicas = {{.id = 42, .voter = true}}};
    GBytes* state = g_bytes_new("state", 5);
    ck_assert(wgs_save_snapshot(store, 36, 1, &set, state, false, &error));
    wgs_close(store);
    int before = entries_found(&error);
    ck_assert_int_gt(before, 0);
    ck_assert(!g_file_test(path, G_FILE_TEST_EXISTS));
    ck_assert(g_file_set_contents(path, log, (gssize)size, NULL));
    ck_assert_int_eq(entries_found(&error), before);
    ck_assert(!g_file_test(path, G_FILE_TEST_EXISTS));
    g_bytes_unref(state);
    g_free(log);
    g_free(path);
    remove_folder();
}
END_TEST

START_TEST(truncation_and_new_entries) {
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    append(store, 1, 40, 1);
    ck_assert(wgs_truncate(store, 11, &error));
    append(store, 11, 3, 2);
    wgs_close(store);
    store = open_store(&error);
    const wgr_restored* r = &wgs_query_content(store)->restored;
    ck_assert_int_eq(r->entries_num, 13);
    ck_assert_uint_eq(r->entries[12].term, 2);
    wgs_close(store);
    remove_folder();
}
END_TEST

START_TEST(snapshot_bounds_the_log) {
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    wgr_set set = {.num = 1, .replicas = {{.id = 42, .name = "c1", .voter = true}}};
    uint64_t largest = 0;
    for (uint64_t round = 0; round < 30; round++) {
        append(store, round * 20 + 1, 20, 1);
        GBytes* state = g_bytes_new("state", 5);
        ck_assert(wgs_save_snapshot(store, round * 20 + 20, 1, &set, state, false, &error));
        g_bytes_unref(state);
        largest = MAX(largest, wgs_query_stats(store).log_bytes);
    }
    ck_assert_uint_lt(largest, 60 * 60);
    wgs_close(store);
    store = open_store(&error);
    const wgr_restored* r = &wgs_query_content(store)->restored;
    ck_assert_uint_eq(r->snapshot_index, 600);
    ck_assert_uint_eq(g_bytes_get_size(r->snapshot), 5);
    ck_assert_int_eq(r->set.num, 1);
    wgs_close(store);
    /* A damaged snapshot makes the start fail, since the log before it was removed. */
    char* path = g_build_filename(folder, "snapshot-00000000000000000600", NULL);
    ck_assert(g_file_set_contents(path, "damaged", -1, NULL));
    ck_assert_int_eq(entries_found(&error), -1);
    g_clear_error(&error);
    g_free(path);
    remove_folder();
}
END_TEST

START_TEST(snapshot_from_the_leader_replaces_the_log) {
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    append(store, 1, 10, 1);
    wgr_set set = {.num = 1, .replicas = {{.id = 42, .name = "c1", .voter = true}}};
    GBytes* state = g_bytes_new("far", 3);
    ck_assert(wgs_save_snapshot(store, 100, 5, &set, state, true, &error));
    g_bytes_unref(state);
    append(store, 101, 4, 5);
    wgs_close(store);
    store = open_store(&error);
    const wgr_restored* r = &wgs_query_content(store)->restored;
    ck_assert_int_eq(r->entries_num, 4);
    ck_assert_uint_eq(r->entries[0].index, 101);
    ck_assert_uint_eq(r->snapshot_index, 100);
    wgs_close(store);
    remove_folder();
}
END_TEST

START_TEST(full_disk_is_an_error) {
    /* A folder that cannot be written simulates a full disk. */
    GError* error = NULL;
    ck_assert_ptr_null(wgs_open(&(wgs_desc){.folder = "/proc/none", .fresh_identity = 1}, &error));
    ck_assert_int_eq(error->code, WG_ERROR_IO);
    g_clear_error(&error);
    ck_assert_ptr_null(wgs_open(&(wgs_desc){.folder = "/tmp/x"}, &error));
    ck_assert_ptr_nonnull(strstr(error->message, "fresh_identity"));
    g_clear_error(&error);
}
END_TEST

/* ---- failing disk operations ------------------------------------------------------------------
 */

typedef struct {
    int ops;     /* disk operations so far: writes, syncs, renames and removals */
    int fail_at; /* number of the first operation that fails, from 1; 0: none fails */
    int num;     /* operations in a row that fail */
    int failure; /* errno of the failing operations */
} disk_fault;

static int fault(_wgs_change change, void* user_data) {
    (void)change;
    disk_fault* r = user_data;
    r->ops++;
    return r->fail_at && r->ops >= r->fail_at && r->ops < r->fail_at + r->num ? r->failure : 0;
}

/* State that the store has acknowledged in a run. */
typedef struct {
    uint64_t index;     /* index of the last entry */
    uint64_t min_index; /* last entry that an unfinished truncation cannot have removed */
    uint64_t term;
    uint64_t snapshot;
} acknowledged;

static bool append_one(wgs_store* store, acknowledged* a, GError** error) {
    wgr_entry entry = {.index = a->index + 1, .term = a->term, .kind = WGR_ENTRY_DATA};
    entry.data = g_bytes_new_static("some bytes of an entry", 22);
    bool good = wgs_append(store, &entry, 1, error);
    g_bytes_unref(entry.data);
    a->index += good;
    a->min_index = a->index;
    return good;
}

static bool truncate_to(wgs_store* store, acknowledged* a, uint64_t last, GError** error) {
    a->min_index = last;
    bool good = wgs_truncate(store, last + 1, error);
    a->index = good ? last : a->index;
    return good;
}

static bool save_snapshot(wgs_store* store, acknowledged* a, GError** error) {
    wgr_set set = {.num = 1, .replicas = {{.id = 42, .name = "c1", .voter = true}}};
    GBytes* state = g_bytes_new("state", 5);
    bool good = wgs_save_snapshot(store, a->index, a->term, &set, state, false, error);
    g_bytes_unref(state);
    a->snapshot = good ? a->index : a->snapshot;
    return good;
}

static bool save_term(wgs_store* store, acknowledged* a, GError** error) {
    bool good = wgs_save_hard_state(store, a->term + 1, 7, error);
    a->term += good;
    return good;
}

/* Does all kinds of changes that a replica makes to its folder; stops at the first failure. */
static bool use_store(acknowledged* a, GError** error) {
    wgs_store* store = open_store(error);
    bool good = store != NULL;
    for (int i = 0; i < 14 && good; i++) {
        good = append_one(store, a, error);
    }
    good = good && save_term(store, a, error) && truncate_to(store, a, a->index - 3, error);
    for (int i = 0; i < 6 && good; i++) {
        good = append_one(store, a, error);
    }
    good = good && save_snapshot(store, a, error) && append_one(store, a, error) &&
           save_term(store, a, error);
    for (int i = 0; i < 9 && good; i++) {
        good = append_one(store, a, error);
    }
    good = good && save_snapshot(store, a, error) && append_one(store, a, error);
    if (store) {
        wgs_close(store);
    }
    return good;
}

/* Each write, sync, rename and removal fails once or three times: the error is WG_ERROR_DISK, and
   all acknowledged state is there when the disk works again. */
START_TEST(acknowledged_state_survives_each_disk_error) {
    static const int failures[] = {ENOSPC, EDQUOT, EIO, EROFS};
    disk_fault counted = {0};
    acknowledged all = {.term = 1};
    create_folder();
    _wgs_set_fault(fault, &counted);
    ck_assert(use_store(&all, NULL));
    remove_folder();
    ck_assert_int_gt(counted.ops, 60);
    for (int at = 1; at <= counted.ops; at++) {
        for (int kind = 0; kind < 8; kind++) {
            disk_fault r = {.fail_at = at, .num = kind % 2 ? 1 : 3, .failure = failures[kind / 2]};
            acknowledged a = {.term = 1};
            GError* error = NULL;
            create_folder();
            _wgs_set_fault(fault, &r);
            ck_assert(!use_store(&a, &error));
            ck_assert_msg(error->code == WG_ERROR_DISK, "failed operation %d: %s", at,
                          error->message);
            g_clear_error(&error);
            _wgs_set_fault(NULL, NULL);
            wgs_store* store = open_store(&error);
            ck_assert_msg(store != NULL, "failed operation %d: %s", at,
                          error ? error->message : "");
            const wgs_content* content = wgs_query_content(store);
            const wgr_restored* found = &content->restored;
            uint64_t last = found->entries_num ? found->entries[found->entries_num - 1].index
                                               : found->snapshot_index;
            ck_assert_uint_eq(content->identity, 42);
            ck_assert_uint_ge(MAX(last, found->snapshot_index), a.min_index);
            ck_assert_uint_ge(found->term + 1, a.term);
            ck_assert_uint_ge(found->snapshot_index, a.snapshot);
            /* The store accepts new entries. */
            uint64_t next = MAX(last, found->snapshot_index) + 1;
            wgs_release_content(store);
            append(store, next, 3, a.term + 1);
            wgs_close(store);
            ck_assert_int_ge(entries_found(&error), 3);
            remove_folder();
        }
    }
}
END_TEST

/* ---- power loss -------------------------------------------------------------------------------

   Guards against a replica that cannot start after a power loss because a removed log file is back
   while the file before it is truncated: unsynced removals may be undone one by one. */

enum {
    REMOVED_MAX = 8
};

/* Copies of log files whose removal is not synced yet. */
typedef struct {
    disk_fault fault;
    char* names[REMOVED_MAX];
    char* contents[REMOVED_MAX];
    gsize sizes[REMOVED_MAX];
    int num;
} power_loss;

static void forget_removed(power_loss* p) {
    for (int i = 0; i < p->num; i++) {
        g_free(p->names[i]);
        g_free(p->contents[i]);
    }
    p->num = 0;
}

static void save_copy(power_loss* p, const char* name) {
    char* path = g_build_filename(folder, name, NULL);
    ck_assert_int_lt(p->num, REMOVED_MAX);
    ck_assert(g_file_get_contents(path, &p->contents[p->num], &p->sizes[p->num], NULL));
    p->names[p->num++] = path;
}

/* Copies all log files before one is removed; restore_removed() skips those that still exist. */
static void save_copies(power_loss* p) {
    GDir* dir = g_dir_open(folder, 0, NULL);
    const char* name;
    while ((name = g_dir_read_name(dir))) {
        bool known = false;
        for (int i = 0; i < p->num && !known; i++) {
            known = g_str_has_suffix(p->names[i], name);
        }
        if (g_str_has_prefix(name, "log-") && !known) {
            save_copy(p, name);
        }
    }
    g_dir_close(dir);
}

static int lose_power(_wgs_change change, void* user_data) {
    power_loss* p = user_data;
    int failure = fault(change, &p->fault);
    if (failure == 0 && change == _WGS_CHANGE_REMOVE) {
        save_copies(p);
    } else if (failure == 0 && change == _WGS_CHANGE_SYNC_FOLDER) {
        forget_removed(p);
    }
    return failure;
}

/* Restores the removed files whose bit is set in the mask `restored_files`. */
static void restore_removed(const power_loss* p, int restored_files) {
    int removed = 0;
    for (int i = 0; i < p->num; i++) {
        if (g_file_test(p->names[i], G_FILE_TEST_EXISTS)) {
            continue;
        }
        if (restored_files & 1 << removed++) {
            ck_assert(g_file_set_contents(p->names[i], p->contents[i], (gssize)p->sizes[i], NULL));
        }
    }
}

/* Truncates the log over several files with a power loss at one step. False if the truncation has
   fewer steps. */
static bool truncate_with_power_loss(int step, int restored_files) {
    enum {
        ENTRIES = 40, /* ten entries in a log file */
        KEPT = 14
    };
    power_loss p = {.fault = {.fail_at = step, .num = 1000, .failure = EIO}};
    GError* error = NULL;
    create_folder();
    wgs_store* store = open_store(&error);
    append(store, 1, ENTRIES, 1);
    _wgs_set_fault(lose_power, &p);
    bool finished = wgs_truncate(store, KEPT + 1, NULL);
    _wgs_set_fault(NULL, NULL);
    wgs_close(store);
    restore_removed(&p, restored_files);
    forget_removed(&p);
    store = open_store(&error);
    ck_assert_msg(store != NULL, "power loss at step %d, restored files %d: %s", step,
                  restored_files, error ? error->message : "");
    ck_assert_int_ge(wgs_query_content(store)->restored.entries_num, KEPT);
    wgs_close(store);
    remove_folder();
    return !finished;
}

START_TEST(power_loss_during_truncation) {
    enum {
        COMBINATIONS = 8 /* subsets of three removed files */
    };
    for (int restored_files = 0; restored_files < COMBINATIONS; restored_files++) {
        for (int step = 1; truncate_with_power_loss(step, restored_files); step++) {
        }
    }
}
END_TEST

/* Stores a snapshot with a power loss at one step: of entries in the log, or with `reset` the
   leader's in place of the log. False if storing has fewer steps. */
static bool snapshot_with_power_loss(int step, int restored_files, bool reset) {
    enum {
        ENTRIES = 40,
        OWN_INDEX = 36,
        LEADER_INDEX = 100
    };
    power_loss p = {.fault = {.fail_at = step, .num = 1000, .failure = EIO}};
    GError* error = NULL;
    create_folder();
    wgs_store* store = open_store(&error);
    append(store, 1, ENTRIES, 1);
    wgr_set set = {.num = 1, .replicas = {{.id = 42, .voter = true}}};
    GBytes* state = g_bytes_new("state", 5);
    _wgs_set_fault(lose_power, &p);
    bool finished =
        wgs_save_snapshot(store, reset ? LEADER_INDEX : OWN_INDEX, 1, &set, state, reset, NULL);
    _wgs_set_fault(NULL, NULL);
    wgs_close(store);
    g_bytes_unref(state);
    restore_removed(&p, restored_files);
    forget_removed(&p);
    store = open_store(&error);
    ck_assert_msg(store != NULL, "power loss at step %d, restored files %d: %s", step,
                  restored_files, error ? error->message : "");
    const wgr_restored* found = &wgs_query_content(store)->restored;
    uint64_t last = found->entries_num ? found->entries[found->entries_num - 1].index : 0;
    ck_assert_uint_ge(MAX(last, found->snapshot_index), ENTRIES);
    wgs_close(store);
    remove_folder();
    return !finished;
}

START_TEST(power_loss_during_a_snapshot) {
    enum {
        COMBINATIONS = 16 /* subsets of four removed files */
    };
    for (int restored_files = 0; restored_files < COMBINATIONS; restored_files++) {
        for (int step = 1; snapshot_with_power_loss(step, restored_files, false); step++) {
        }
        for (int step = 1; snapshot_with_power_loss(step, restored_files, true); step++) {
        }
    }
}
END_TEST

/* A folder in use by another process is not reported as a temporary disk error. */
START_TEST(folder_in_use_is_not_a_disk_error) {
    create_folder();
    GError* error = NULL;
    wgs_store* store = open_store(&error);
    ck_assert_ptr_null(open_store(&error));
    ck_assert_int_eq(error->code, WG_ERROR_IO);
    g_clear_error(&error);
    wgs_close(store);
    remove_folder();
}
END_TEST

WG_TEST_MAIN("store", synced_state_is_restored, two_processes_cannot_share_a_folder,
             damage_to_a_synced_record_is_found, torn_tail_is_truncated,
             power_loss_may_damage_the_unsynced_marker, power_loss_may_restore_a_removed_segment,
             damage_before_the_tail_stops_the_start, damaged_small_files_stop_the_start,
             truncation_and_new_entries, snapshot_bounds_the_log,
             snapshot_from_the_leader_replaces_the_log, full_disk_is_an_error,
             acknowledged_state_survives_each_disk_error, power_loss_during_truncation,
             power_loss_during_a_snapshot, folder_in_use_is_not_a_disk_error)
