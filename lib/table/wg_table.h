#pragma once
/*
    wg_table.h -- the operators' table: workspaces, services and targets, with versions

    WHAT IT DOES
        Holds the rows that operators edit. The replicated log applies edits to it in the same order
        on every control; routers keep a copy that only ever moves forward. Pure: no clock, no
   files.

    FEATURES
        - one column list per kind drives checks, CSV, JSON and the wire form
        - edits carry a base version per row (two editors: one wins) and an edit id (a resent edit
          gets its first answer)
        - changes since a version in order, deleted rows included, so a copy catches up by a tail
        - a copy never takes a row older than the one it has
        - the whole state packs into a snapshot and back

    USE
        1. wgt_table* t = wgt_setup(&(wgt_desc){0}, &error);
        2. wgt_apply(t, &edit, log_index, &result);
        3. const wgt_row* row = wgt_find(t, WGT_KIND_WORKSPACE, "ham-dakar");
        4. wgt_changes(t, known_version, rows, 64, &more);
        5. wgt_shutdown(t);

    THE CALLER OWNS
        edits and result structs. Row pointers stay valid until the next wgt_apply/wgt_put/wgt_load.
*/
#include "wg_wire.h"

#include <jansson.h>

enum {
    WGT_ROWS_DEFAULT = 32768,      /* rows, all kinds, deleted ones included */
    WGT_RESULTS_DEFAULT = 4096,    /* remembered answers to edits */
    WGT_TOMBSTONES_DEFAULT = 2048, /* deleted rows remembered for copies that lag */
    WGT_EDIT_ID_SIZE = 16,
    WGT_EDIT_ROWS_MAX = 1024,
    WGT_REASON_MAX = 192,
    WGT_KEYS_MAX = 4, /* API keys of a workspace */
    WGT_KEYS_TEXT = WGT_KEYS_MAX * 65
};

typedef enum {
    WGT_KIND_DEFAULT = 0,
    WGT_KIND_WORKSPACE,
    WGT_KIND_SERVICE,
    WGT_KIND_TARGET,
    WGT_KIND_NUM
} wgt_kind;

/* Limits of 0 mean "no limit". */
typedef struct {
    int64_t weight;            /* share of capacity against other workspaces */
    int64_t rate;              /* requests per second */
    int64_t burst;             /* requests above the rate at once */
    int64_t in_flight;         /* requests at targets at once, per router */
    int64_t queue;             /* waiting requests, per router */
    int64_t tokens_per_minute; /* budget of tokens, per router */
    int64_t urgent_percent;    /* part of its own share that urgent requests may take first */
    int64_t entry_hosts;       /* entry hosts that its callers are spread over */
    char keys[WGT_KEYS_TEXT];  /* SHA-256 of each API key in hex, space between */
} wgt_workspace;

typedef struct {
    char kind[8];          /* "model" or "app" */
    char repeatable[160];  /* app: "METHOD" or "METHOD:/path" items, space between */
    int64_t deadline_ms;   /* whole request */
    int64_t queue_ms;      /* longest wait for a slot */
    int64_t cost;          /* first estimate of a request's cost, tokens or milliseconds */
    int64_t retry_percent; /* retries allowed per hundred first attempts */
    int64_t resume;        /* 1: a broken stream may be resumed at another target */
    int64_t over_percent;  /* slots leased beyond a target's own, for its queue */
} wgt_service;

typedef struct {
    char service[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX];
    char data_centre[WG_NAME_MAX];
    int64_t slots;   /* requests it works on at once */
    int64_t leaving; /* 1: no new work */
} wgt_target;

typedef struct {
    wgt_kind kind;
    char name[WG_NAME_MAX];
    uint64_t version; /* log index of the last accepted edit, 0 for a new row */
    uint32_t id;      /* short number given at creation, never given again */
    bool deleted;
    union {
        wgt_workspace workspace;
        wgt_service service;
        wgt_target target;
    };
} wgt_row;

typedef enum {
    WGT_COLUMN_DEFAULT = 0,
    WGT_COLUMN_NUMBER,
    WGT_COLUMN_TEXT,
    WGT_COLUMN_NUM
} wgt_column_type;

/* One column of a kind. */
typedef struct {
    const char* name;
    wgt_column_type type;
    size_t offset; /* in wgt_row */
    size_t size;   /* bytes of a text field */
    int64_t min;
    int64_t max;
    int64_t def;
    const char* help; /* unit and meaning */
} wgt_column;

typedef enum {
    WGT_OUTCOME_DEFAULT = 0,
    WGT_OUTCOME_ACCEPTED,
    WGT_OUTCOME_CONFLICT, /* a row changed since its base version */
    WGT_OUTCOME_INVALID,  /* a value or a reference is wrong */
    WGT_OUTCOME_NUM
} wgt_outcome;

typedef struct {
    wgt_row row;
    uint64_t base_version; /* version the editor saw; 0: the row must not exist */
} wgt_edit_row;

typedef struct {
    uint8_t id[WGT_EDIT_ID_SIZE];
    const wgt_edit_row* rows;
    int rows_num;
} wgt_edit;

typedef struct {
    uint8_t edit_id[WGT_EDIT_ID_SIZE];
    wgt_outcome outcome;
    uint64_t version; /* of the table after an accepted edit */
    bool resent;      /* the edit had been answered before; this is that answer */
    char reason[WGT_REASON_MAX];
} wgt_result;

typedef struct {
    int rows_max;
    int results_max;
    int tombstones_max;
} wgt_desc;

typedef struct {
    int rows;
    int deleted;
    int workspaces;
    int services;
    int targets;
    uint64_t version;
    uint64_t accepted;
    uint64_t refused;
} wgt_stats;

typedef struct wgt_table wgt_table;

/* NULL with an error (WG_ERROR_INVALID) when a field of `desc` is wrong. */
wgt_table* wgt_setup(const wgt_desc* desc, GError** error);
void wgt_shutdown(wgt_table* table);

/* Columns of a kind; the number goes to *num. */
const wgt_column* wgt_columns(wgt_kind kind, int* num);
const char* wgt_kind_name(wgt_kind kind);
wgt_kind wgt_kind_parse(const char* name);
/* A row with every column at its default. */
void wgt_row_init(wgt_row* row, wgt_kind kind, const char* name);
/* Check one row by itself: names, ranges, formats. The error names the column. */
bool wgt_row_check(const wgt_row* row, GError** error);

/* Apply one edit at a log index, all rows or none. Deterministic. */
void wgt_apply(wgt_table* table, const wgt_edit* edit, uint64_t index, wgt_result* result);
/* The remembered answer to an edit id; false when there is none. */
bool wgt_result_of(const wgt_table* table, const uint8_t* edit_id, wgt_result* result);
/* Install a row in a copy; ignored (false) when the copy holds that version or a later one. */
bool wgt_put(wgt_table* table, const wgt_row* row);
/* Forget a row of a copy (not a deletion). */
void wgt_forget(wgt_table* table, wgt_kind kind, const char* name);
/* A copy now holds everything up to this version. Asserts that it never falls. */
void wgt_set_version(wgt_table* table, uint64_t version);

/* Live rows only; NULL when there is none. */
const wgt_row* wgt_find(const wgt_table* table, wgt_kind kind, const char* name);
const wgt_row* wgt_find_id(const wgt_table* table, uint32_t id);
const wgt_row* wgt_find_key(const wgt_table* table, const uint8_t key_hash[WG_KEY_HASH_SIZE]);
/* Next live row of a kind after slot `*at` (start with -1); NULL at the end. */
const wgt_row* wgt_next(const wgt_table* table, wgt_kind kind, int* at);
/* Rows changed after `version`, oldest first, at most `max` (over WGT_EDIT_ROWS_MAX, since rows of
   one edit stay together). *more: others follow. Returns -1 when deletions that old are forgotten:
   the copy must start again. */
int wgt_changes(const wgt_table* table, uint64_t version, const wgt_row** rows, int max,
                bool* more);
uint64_t wgt_version(const wgt_table* table);
wgt_stats wgt_query_stats(const wgt_table* table);

/* Whether a call may be sent twice, by the service row. */
bool wgt_is_repeatable(const wgt_row* service, const char* method, const char* path);

/* Wire form. The packed row borrows from `row` and from `scratch`. */
typedef struct {
    int64_t numbers[8];
    char* texts[4];
} wgt_row_scratch;
/* Message form of a row; `out` points into `row` and `scratch`, which have to outlive it. */
void wgt_row_pack(const wgt_row* row, Wgpb__Row* out, wgt_row_scratch* scratch);
/* False when the message is not a row that the table could hold. */
bool wgt_row_unpack(const Wgpb__Row* in, wgt_row* row);
/* Snapshot form; the caller frees with wgpb__table_state__free_unpacked(). */
Wgpb__TableState* wgt_dump(const wgt_table* table);
bool wgt_load(wgt_table* table, const Wgpb__TableState* state);

/* JSON of one row and back. */
json_t* wgt_row_to_json(const wgt_row* row);
bool wgt_row_from_json(const json_t* json, wgt_kind kind, wgt_row* row, GError** error);
/* CSV with the columns name, version, then those of the kind. */
GString* wgt_csv_write(const wgt_table* table, wgt_kind kind);
/* Rows in `*rows` (g_array of wgt_row); the error names line and column. */
bool wgt_csv_read(const char* text, size_t size, wgt_kind kind, GArray** rows, GError** error);
