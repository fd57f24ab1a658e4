/* wg_table_csv.c -- CSV import and export, over libcsv; see wg_table.h */
#include "wg_table.h"

#include <csv.h>
#include <string.h>

/* ---- types -------------------------------------------------------------------------------- */

enum {
    _WGT_CSV_FIELDS_MAX = 24
};

typedef struct {
    wgt_kind kind;
    GArray* rows;
    GPtrArray* fields; /* cells of the current line */
    char** header;     /* column names in the order of the file; NULL before the first line */
    GHashTable* names; /* row names read so far, to find duplicates */
    int line;
    GError* error;
} _wgt_csv_t;

/* ---- helpers ------------------------------------------------------------------------------ */

static void _wgt_csv_fail(_wgt_csv_t* csv, const char* why) {
    if (!csv->error) {
        g_set_error(&csv->error, WG_ERROR, WG_ERROR_INVALID, "line %d: %s", csv->line, why);
    }
}

static void _wgt_csv_on_field(void* data, size_t size, void* user_data) {
    _wgt_csv_t* csv = user_data;
    if (csv->fields->len >= _WGT_CSV_FIELDS_MAX) {
        _wgt_csv_fail(csv, "too many columns");
        return;
    }
    if (data && memchr(data, 0, size)) {
        _wgt_csv_fail(csv, "a cell contains a zero byte");
    }
    g_ptr_array_add(csv->fields, g_strndup(data ? data : "", size));
}

static void _wgt_csv_parse_header(_wgt_csv_t* csv) {
    g_ptr_array_add(csv->fields, NULL);
    csv->header = g_strdupv((char**)csv->fields->pdata);
    bool has_name = false;
    for (int i = 0; csv->header[i]; i++) {
        has_name = has_name || strcmp(csv->header[i], "name") == 0;
        for (int j = 0; j < i; j++) {
            if (strcmp(csv->header[i], csv->header[j]) == 0) {
                _wgt_csv_fail(csv, "a column appears twice");
            }
        }
    }
    if (!has_name) {
        _wgt_csv_fail(csv, "no column \"name\"");
    }
}

/* Converts a cell to JSON, so that wgt_row_from_json() checks its type. Numbers must be
   integers. */
static json_t* _wgt_csv_cell_to_json(wgt_kind kind, const char* column, const char* text) {
    if (strcmp(column, "deleted") == 0) {
        return json_boolean(strcmp(text, "1") == 0 || strcmp(text, "true") == 0);
    }
    bool number = strcmp(column, "version") == 0;
    int num;
    const wgt_column* columns = wgt_columns(kind, &num);
    for (int i = 0; i < num; i++) {
        if (strcmp(columns[i].name, column) == 0) {
            number = columns[i].type == WGT_COLUMN_NUMBER;
        }
    }
    gint64 value;
    if (number && g_ascii_string_to_signed(text, 10, INT64_MIN, INT64_MAX, &value, NULL)) {
        return json_integer(value);
    }
    return json_string(text); /* NULL when it is not UTF-8 */
}

static void _wgt_csv_parse_row(_wgt_csv_t* csv) {
    if (csv->fields->len != g_strv_length(csv->header)) {
        _wgt_csv_fail(csv, "number of cells differs from the header's");
        return;
    }
    json_t* json = json_object();
    for (guint i = 0; i < csv->fields->len; i++) {
        const char* text = g_ptr_array_index(csv->fields, i);
        json_t* cell = _wgt_csv_cell_to_json(csv->kind, csv->header[i], text);
        if (!cell) {
            _wgt_csv_fail(csv, "text is not UTF-8");
        } else if (json_object_set_new(json, csv->header[i], cell) < 0) {
            _wgt_csv_fail(csv, "header is not UTF-8");
        }
    }
    wgt_row row;
    GError* error = NULL;
    if (!csv->error && !wgt_row_from_json(json, csv->kind, &row, &error)) {
        _wgt_csv_fail(csv, error->message);
        g_error_free(error);
    }
    json_decref(json);
    if (csv->error) {
        return;
    }
    if (!g_hash_table_add(csv->names, g_strdup(row.name))) {
        _wgt_csv_fail(csv, "a row with this name appears earlier");
        return;
    }
    g_array_append_val(csv->rows, row);
}

static void _wgt_csv_on_line(int separator, void* user_data) {
    (void)separator;
    _wgt_csv_t* csv = user_data;
    csv->line++;
    if (csv->error) {
        return;
    }
    if (!csv->header) {
        _wgt_csv_parse_header(csv);
    } else {
        _wgt_csv_parse_row(csv);
    }
    g_ptr_array_set_size(csv->fields, 0);
}

static void _wgt_csv_append(GString* out, const char* text) {
    if (!strpbrk(text, ",\"\r\n")) {
        g_string_append(out, text);
        return;
    }
    g_string_append_c(out, '"');
    for (const char* c = text; *c; c++) {
        g_string_append(out, *c == '"' ? "\"\"" : (char[]){*c, 0});
    }
    g_string_append_c(out, '"');
}

static int _wgt_csv_compare(const void* a, const void* b) {
    return strcmp((*(const wgt_row* const*)a)->name, (*(const wgt_row* const*)b)->name);
}

/* ---- public functions --------------------------------------------------------------------- */

GString* wgt_csv_write(const wgt_table* table, wgt_kind kind) {
    int num;
    const wgt_column* columns = wgt_columns(kind, &num);
    GString* out = g_string_new("name,version");
    for (int i = 0; i < num; i++) {
        g_string_append_printf(out, ",%s", columns[i].name);
    }
    g_string_append_c(out, '\n');
    GPtrArray* rows = g_ptr_array_new();
    int at = -1;
    for (const wgt_row* row; (row = wgt_next(table, kind, &at));) {
        g_ptr_array_add(rows, (void*)row);
    }
    g_ptr_array_sort(rows, _wgt_csv_compare);
    for (guint r = 0; r < rows->len; r++) {
        const wgt_row* row = g_ptr_array_index(rows, r);
        g_string_append_printf(out, "%s,%" G_GUINT64_FORMAT, row->name, row->version);
        for (int i = 0; i < num; i++) {
            g_string_append_c(out, ',');
            if (columns[i].type == WGT_COLUMN_NUMBER) {
                int64_t value = *(const int64_t*)((const char*)row + columns[i].offset);
                g_string_append_printf(out, "%" G_GINT64_FORMAT, value);
            } else {
                _wgt_csv_append(out, (const char*)row + columns[i].offset);
            }
        }
        g_string_append_c(out, '\n');
    }
    g_ptr_array_free(rows, TRUE);
    return out;
}

bool wgt_csv_read(const char* text, size_t size, wgt_kind kind, GArray** rows, GError** error) {
    _wgt_csv_t csv = {.kind = kind, .rows = g_array_new(FALSE, TRUE, sizeof(wgt_row))};
    csv.fields = g_ptr_array_new_with_free_func(g_free);
    csv.names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct csv_parser parser;
    csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI);
    if (csv_parse(&parser, text, size, _wgt_csv_on_field, _wgt_csv_on_line, &csv) != size ||
        csv_fini(&parser, _wgt_csv_on_field, _wgt_csv_on_line, &csv) != 0) {
        csv.line++;
        _wgt_csv_fail(&csv, "a quote is misplaced or not closed");
    }
    csv_free(&parser);
    if (!csv.header) {
        _wgt_csv_fail(&csv, "no header");
    }
    g_ptr_array_free(csv.fields, TRUE);
    g_hash_table_unref(csv.names);
    g_strfreev(csv.header);
    if (csv.error) {
        g_propagate_error(error, csv.error);
        g_array_unref(csv.rows);
        return false;
    }
    *rows = csv.rows;
    return true;
}
