#pragma once
/*
    wg_table.h -- versioned table of workspaces, services and targets

    WHAT IT DOES
        Holds the rows that operators edit. The replicated log applies edits in the same order on
        every control replica; routers keep a copy whose version never decreases. Pure: reads no
        clock and no files.

    FEATURES
        - one column list per kind defines checks, CSV, JSON and the wire form
        - optimistic concurrency: an edit carries a base version per row, so that one of two
          concurrent edits of a row is refused
        - idempotent edits: an edit with a known id gets its stored result
        - lists the changes since a version in order, deleted rows included, so that a copy fetches
          only what it lacks
        - a copy never replaces a row with an older version
        - the whole state packs into a snapshot and back

    USE
        1. wgt_table* t = wgt_setup(&(wgt_desc){0}, &error);
        2. wgt_apply(t, &edit, log_index, &result);
        3. const wgt_row* row = wgt_find(t, WGT_KIND_WORKSPACE, "ham-dakar");
        4. wgt_changes(t, known_version, rows, num, &more);
        5. wgt_shutdown(t);

    THE CALLER OWNS
        edits and result structs. Row pointers stay valid until the next change of the table.
*/
#include "wg_wire.h"

#include <jansson.h>

enum {
    WGT_ROWS_DEFAULT = 32768,      /* rows of all kinds, including deleted rows */
    WGT_RESULTS_DEFAULT = 4096,    /* stored results of edits */
    WGT_TOMBSTONES_DEFAULT = 2048, /* deleted rows retained for lagging copies */
    WGT_EDIT_ID_SIZE = 16,
    WGT_EDIT_ROWS_MAX = 1024,
    WGT_REASON_MAX = 192,                  /* bytes with the final zero */
    WGT_KEYS_MAX = 4,                      /* API keys of a workspace */
    WGT_KEYS_TEXT_SIZE = WGT_KEYS_MAX * 65 /* bytes: 64 hex digits and a separator per key */
};

typedef enum {
    WGT_KIND_DEFAULT = 0,
    WGT_KIND_WORKSPACE,
    WGT_KIND_SERVICE,
    WGT_KIND_TARGET,
    WGT_KIND_NUM
} wgt_kind;

/* Columns of a workspace. A limit of 0 means "no limit". */
typedef struct {
    int64_t weight;                /* relative share of capacity among workspaces */
    int64_t rate;                  /* requests per second */
    int64_t burst;                 /* requests above the rate that may arrive at once */
    int64_t in_flight;             /* concurrent requests at targets, per router */
    int64_t queue;                 /* queued requests, per router */
    int64_t tokens_per_minute;     /* token budget, per router */
    int64_t urgent_percent;        /* part of its share that urgent requests may use first */
    int64_t entry_hosts;           /* entry hosts that its callers are spread over; 0: automatic */
    char keys[WGT_KEYS_TEXT_SIZE]; /* SHA-256 of each API key in hex, separated by spaces */
} wgt_workspace;

typedef struct {
    char kind[8];          /* "model" or "app" */
    char repeatable[160];  /* app: "METHOD" or "METHOD:/path" items, separated by spaces */
    int64_t deadline_ms;   /* limit for a complete request */
    int64_t queue_ms;      /* maximum wait for a slot */
    int64_t cost;          /* initial estimate of the cost of a request, tokens or milliseconds */
    int64_t retry_percent; /* retries allowed per 100 first attempts */
    int64_t resume;        /* 1: an interrupted stream may be resumed at another target */
    int64_t over_percent;  /* slots leased for the queue of a target, percent of its slots */
} wgt_service;

typedef struct {
    char service[WG_NAME_MAX];
    char address[WG_ADDRESS_MAX];
    char data_centre[WG_NAME_MAX];
    int64_t slots;   /* requests that the target runs concurrently */
    int64_t leaving; /* 1: the target is draining and gets no new requests */
} wgt_target;

typedef struct {
    wgt_kind kind;
    char name[WG_NAME_MAX];
    uint64_t version; /* log index of the last accepted edit, 0 for a new row */
    uint32_t id;      /* assigned at creation, never reused */
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

typedef struct {
    const char* name;
    wgt_column_type type;
    size_t offset; /* in wgt_row */
    size_t size;   /* bytes of a text field with the final zero */
    int64_t min;
    int64_t max;
    int64_t def;
    const char* help; /* unit and meaning */
} wgt_column;

typedef enum {
    WGT_OUTCOME_DEFAULT = 0,
    WGT_OUTCOME_ACCEPTED,
    WGT_OUTCOME_CONFLICT, /* a row has changed since its base version */
    WGT_OUTCOME_INVALID,  /* a value or a reference is invalid, or the table is full */
    WGT_OUTCOME_NUM
} wgt_outcome;

typedef struct {
    wgt_row row;
    uint64_t base_version; /* row version that the edit is based on; 0: the row must not exist */
} wgt_edit_row;

typedef struct {
    uint8_t id[WGT_EDIT_ID_SIZE];
    const wgt_edit_row* rows;
    int rows_num;
} wgt_edit;

typedef struct {
    uint8_t edit_id[WGT_EDIT_ID_SIZE];
    wgt_outcome outcome;
    uint64_t version; /* version of the table after the edit */
    bool resent;      /* the edit id was known; this is its stored result */
    char reason[WGT_REASON_MAX];
} wgt_result;

/* Fields of 0 take their defaults. */
typedef struct {
    int rows_max;       /* default WGT_ROWS_DEFAULT */
    int results_max;    /* default WGT_RESULTS_DEFAULT */
    int tombstones_max; /* default WGT_TOMBSTONES_DEFAULT */
} wgt_desc;

typedef struct {
    int rows;    /* rows of all kinds, including deleted rows */
    int deleted; /* deleted rows that are retained */
    int workspaces;
    int services;
    int targets;
    uint64_t version;
    uint64_t accepted; /* edits accepted */
    uint64_t refused;  /* edits refused */
} wgt_stats;

typedef struct wgt_table wgt_table;

/* Returns NULL with WG_ERROR_INVALID when a field of `desc` is out of range. */
wgt_table* wgt_setup(const wgt_desc* desc, GError** error);
void wgt_shutdown(wgt_table* table);

/* Columns of a kind; their number is stored in `*num`. */
const wgt_column* wgt_columns(wgt_kind kind, int* num);
const char* wgt_kind_name(wgt_kind kind);
/* Accepts singular and plural ("target", "targets"); WGT_KIND_DEFAULT for an unknown name. */
wgt_kind wgt_kind_parse(const char* name);
/* Initialises a row with every column at its default. A name that is too long becomes empty and
   fails wgt_row_check(). */
void wgt_row_init(wgt_row* row, wgt_kind kind, const char* name);
/* Checks one row without its references: names, ranges, formats. The error (WG_ERROR_INVALID) names
   the column. */
bool wgt_row_check(const wgt_row* row, GError** error);

/* Applies one edit at a log index: all rows or none. Deterministic. An edit with a known id is not
   applied again and gets its stored result. */
void wgt_apply(wgt_table* table, const wgt_edit* edit, uint64_t index, wgt_result* result);
/* Looks up the stored result of an edit; false when there is none. */
bool wgt_result_of(const wgt_table* table, const uint8_t* edit_id, wgt_result* result);
/* Stores a row in a copy. Returns false when the copy has this version of the row or a later one,
   or when the table is full. */
bool wgt_put(wgt_table* table, const wgt_row* row);
/* Removes a row from a copy without retaining it as a deleted row. */
void wgt_remove(wgt_table* table, wgt_kind kind, const char* name);
/* Records that a copy has all changes up to this version, which must not decrease. */
void wgt_set_version(wgt_table* table, uint64_t version);

/* Looks up a row that is not deleted; NULL when there is none. */
const wgt_row* wgt_find(const wgt_table* table, wgt_kind kind, const char* name);
const wgt_row* wgt_find_id(const wgt_table* table, uint32_t id);
/* Looks up the workspace that has an API key; NULL when there is none. */
const wgt_row* wgt_find_key(const wgt_table* table, const uint8_t key_hash[WG_KEY_HASH_SIZE]);
/* Iterates over the rows of a kind that are not deleted. Start with `*at` at -1; NULL at the
   end. */
const wgt_row* wgt_next(const wgt_table* table, wgt_kind kind, int* at);
/* Lists up to `max` rows changed after `version`, oldest first. The rows of one edit are not split,
   so `max` must exceed WGT_EDIT_ROWS_MAX. `*more`: further rows follow. Returns the number of rows,
   or -1 when deleted rows since `version` are no longer retained and the copy must be rebuilt. */
int wgt_changes(const wgt_table* table, uint64_t version, const wgt_row** rows, int max,
                bool* more);
uint64_t wgt_version(const wgt_table* table);
wgt_stats wgt_query_stats(const wgt_table* table);

/* Whether the service allows a request with this method and path to be sent more than once. */
bool wgt_is_repeatable(const wgt_row* service, const char* method, const char* path);

/* Storage for the arrays of a packed row. */
typedef struct {
    int64_t numbers[8];
    char* texts[4];
} wgt_row_scratch;
/* Converts a row to its wire form. `out` points into `row` and `scratch`, which must outlive it. */
void wgt_row_pack(const wgt_row* row, Wgpb__Row* out, wgt_row_scratch* scratch);
/* Converts a row from its wire form; false when it fails wgt_row_check(). */
bool wgt_row_unpack(const Wgpb__Row* in, wgt_row* row);
/* Copies the table to its snapshot form; free it with wgpb__table_state__free_unpacked(). */
Wgpb__TableState* wgt_dump(const wgt_table* table);
/* Replaces the content of the table with a snapshot. After false the content is incomplete. */
bool wgt_load(wgt_table* table, const Wgpb__TableState* state);

/* Converts a row to JSON and from JSON. Errors (WG_ERROR_INVALID) name the column. */
json_t* wgt_row_to_json(const wgt_row* row);
bool wgt_row_from_json(const json_t* json, wgt_kind kind, wgt_row* row, GError** error);
/* Writes the rows of a kind as CSV: name, version, then the columns of the kind; sorted by name. */
GString* wgt_csv_write(const wgt_table* table, wgt_kind kind);
/* Reads rows from CSV into a new GArray of wgt_row. The error (WG_ERROR_INVALID) names the line,
   and the column of an invalid value. */
bool wgt_csv_read(const char* text, size_t size, wgt_kind kind, GArray** rows, GError** error);
