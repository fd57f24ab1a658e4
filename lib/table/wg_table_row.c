/* wg_table_row.c -- columns, checks, wire and JSON forms of a row; see wg_table.h */
#include "wg_table.h"

#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>

/* ---- private state ------------------------------------------------------------------------ */

#define _WGT_NUMBER(part, field, low, high, default_value, text)                                   \
    {                                                                                              \
        .name = #field, .type = WGT_COLUMN_NUMBER, .offset = offsetof(wgt_row, part.field),        \
        .min = low, .max = high, .def = default_value, .help = text                                \
    }
#define _WGT_TEXT(part, field, text)                                                               \
    {                                                                                              \
        .name = #field, .type = WGT_COLUMN_TEXT, .offset = offsetof(wgt_row, part.field),          \
        .size = sizeof(((wgt_row*)0)->part.field), .help = text                                    \
    }

static const wgt_column _wgt_workspace_columns[] = {
    _WGT_NUMBER(workspace, weight, 1, 1000000, 100, "relative share of capacity among workspaces"),
    _WGT_NUMBER(workspace, rate, 0, 1000000, 0, "requests per second, 0 no limit"),
    _WGT_NUMBER(workspace, burst, 0, 1000000, 0, "requests above the rate that may arrive at once"),
    _WGT_NUMBER(workspace, in_flight, 0, 100000, 0,
                "concurrent requests at targets per router, 0 no limit"),
    _WGT_NUMBER(workspace, queue, 1, 100000, 200, "queued requests per router"),
    _WGT_NUMBER(workspace, tokens_per_minute, 0, 1000000000, 0, "tokens per minute, 0 no limit"),
    _WGT_NUMBER(workspace, urgent_percent, 0, 100, 20,
                "percent of its share that urgent requests may use first"),
    _WGT_NUMBER(workspace, entry_hosts, 0, 64, 0, "entry hosts for its callers, 0 automatic"),
    _WGT_TEXT(workspace, keys, "SHA-256 of each API key in hex, separated by spaces"),
};
static const wgt_column _wgt_service_columns[] = {
    _WGT_TEXT(service, kind, "model or app"),
    _WGT_TEXT(service, repeatable, "METHOD or METHOD:/path items, separated by spaces"),
    _WGT_NUMBER(service, deadline_ms, 10, 86400000, 60000, "milliseconds for a complete request"),
    _WGT_NUMBER(service, queue_ms, 1, 86400000, 10000, "maximum milliseconds in the queue"),
    _WGT_NUMBER(service, cost, 1, 1000000, 200, "initial cost estimate, tokens or milliseconds"),
    _WGT_NUMBER(service, retry_percent, 0, 100, 20, "retries per 100 first attempts"),
    _WGT_NUMBER(service, resume, 0, 1, 0,
                "1: an interrupted stream may be resumed at another target"),
    _WGT_NUMBER(service, over_percent, 0, 100, 0,
                "slots leased for the queue, percent of the target's slots"),
};
static const wgt_column _wgt_target_columns[] = {
    _WGT_TEXT(target, service, "name of the service"),
    _WGT_TEXT(target, address, "ip:port"),
    _WGT_TEXT(target, data_centre, "data centre of the target"),
    _WGT_NUMBER(target, slots, 1, 4096, 8, "requests that the target runs concurrently"),
    _WGT_NUMBER(target, leaving, 0, 1, 0, "1: draining, gets no new requests"),
};

static const char* _wgt_kind_names[WGT_KIND_NUM] = {"", "workspace", "service", "target"};

/* ---- helpers ------------------------------------------------------------------------------ */

static int64_t* _wgt_number(const wgt_row* row, const wgt_column* column) {
    return (int64_t*)((char*)row + column->offset);
}

static char* _wgt_text(const wgt_row* row, const wgt_column* column) {
    return (char*)row + column->offset;
}

static bool _wgt_is_name_valid(const char* name) {
    if (!name[0] || name[0] == '-' || name[0] == '.') {
        return false;
    }
    for (const char* c = name; *c; c++) {
        if (!g_ascii_isalnum(*c) && !strchr("-_.", *c)) {
            return false;
        }
    }
    return true;
}

static bool _wgt_fail(GError** error, const wgt_row* row, const char* column, const char* why) {
    g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "%s \"%s\", column %s: %s",
                _wgt_kind_names[row->kind], row->name, column, why);
    return false;
}

static bool _wgt_are_keys_valid(const char* keys) {
    char** items = g_strsplit(keys, " ", -1);
    bool good = g_strv_length(items) <= WGT_KEYS_MAX;
    for (int i = 0; items[i] && good; i++) {
        bool empty_text = !items[0][0] && !items[1];
        good = empty_text || strlen(items[i]) == 2 * WG_KEY_HASH_SIZE;
        for (const char* c = items[i]; *c && good; c++) {
            good = g_ascii_isdigit(*c) || (*c >= 'a' && *c <= 'f');
        }
    }
    g_strfreev(items);
    return good;
}

static bool _wgt_is_address_valid(const char* text) {
    struct sockaddr_storage storage;
    int size = sizeof storage;
    const char* colon = strrchr(text, ':');
    return colon && evutil_parse_sockaddr_port(text, (struct sockaddr*)&storage, &size) == 0;
}

static bool _wgt_check_numbers(const wgt_row* row, GError** error) {
    int num;
    const wgt_column* columns = wgt_columns(row->kind, &num);
    for (int i = 0; i < num; i++) {
        if (columns[i].type != WGT_COLUMN_NUMBER) {
            continue;
        }
        int64_t value = *_wgt_number(row, &columns[i]);
        if (value < columns[i].min || value > columns[i].max) {
            g_set_error(error, WG_ERROR, WG_ERROR_INVALID,
                        "%s \"%s\", column %s: %" G_GINT64_FORMAT " is not within %" G_GINT64_FORMAT
                        "..%" G_GINT64_FORMAT,
                        _wgt_kind_names[row->kind], row->name, columns[i].name, value,
                        columns[i].min, columns[i].max);
            return false;
        }
    }
    return true;
}

static bool _wgt_is_repeatable_valid(const char* text) {
    char** items = g_strsplit(text, " ", -1);
    bool good = true;
    for (int i = 0; items[i] && good; i++) {
        char* colon = strchr(items[i], ':');
        good = !colon || colon[1] == '/';
        for (const char* c = items[i]; *c && c != colon && good; c++) {
            good = g_ascii_isupper(*c);
        }
    }
    g_strfreev(items);
    return good;
}

static bool _wgt_check_texts(const wgt_row* row, GError** error) {
    switch (row->kind) {
    case WGT_KIND_WORKSPACE:
        if (!_wgt_are_keys_valid(row->workspace.keys)) {
            return _wgt_fail(error, row, "keys", "want at most 4 SHA-256 in lower-case hex");
        }
        return true;
    case WGT_KIND_SERVICE:
        if (strcmp(row->service.kind, "model") != 0 && strcmp(row->service.kind, "app") != 0) {
            return _wgt_fail(error, row, "kind", "want model or app");
        }
        if (!_wgt_is_repeatable_valid(row->service.repeatable)) {
            return _wgt_fail(error, row, "repeatable", "want METHOD or METHOD:/path items");
        }
        return true;
    case WGT_KIND_TARGET:
        if (!_wgt_is_name_valid(row->target.service)) {
            return _wgt_fail(error, row, "service", "want the name of a service");
        }
        if (!_wgt_is_address_valid(row->target.address)) {
            return _wgt_fail(error, row, "address", "want ip:port");
        }
        return true;
    default:
        return false;
    }
}

/* ---- public functions --------------------------------------------------------------------- */

const wgt_column* wgt_columns(wgt_kind kind, int* num) {
    switch (kind) {
    case WGT_KIND_WORKSPACE:
        *num = G_N_ELEMENTS(_wgt_workspace_columns);
        return _wgt_workspace_columns;
    case WGT_KIND_SERVICE:
        *num = G_N_ELEMENTS(_wgt_service_columns);
        return _wgt_service_columns;
    case WGT_KIND_TARGET:
        *num = G_N_ELEMENTS(_wgt_target_columns);
        return _wgt_target_columns;
    default:
        *num = 0;
        return NULL;
    }
}

const char* wgt_kind_name(wgt_kind kind) {
    WG_ASSERT(kind >= 0 && kind < WGT_KIND_NUM);
    return _wgt_kind_names[kind];
}

wgt_kind wgt_kind_parse(const char* name) {
    for (int kind = WGT_KIND_DEFAULT + 1; kind < WGT_KIND_NUM; kind++) {
        size_t length = strlen(_wgt_kind_names[kind]);
        bool singular = strcmp(name, _wgt_kind_names[kind]) == 0;
        bool plural =
            strncmp(name, _wgt_kind_names[kind], length) == 0 && strcmp(name + length, "s") == 0;
        if (singular || plural) {
            return (wgt_kind)kind;
        }
    }
    return WGT_KIND_DEFAULT;
}

void wgt_row_init(wgt_row* row, wgt_kind kind, const char* name) {
    *row = (wgt_row){.kind = kind};
    if (!wg_copy_name(row->name, sizeof row->name, name)) {
        row->name[0] = 0; /* wgt_row_check() refuses an empty name */
    }
    int num;
    const wgt_column* columns = wgt_columns(kind, &num);
    for (int i = 0; i < num; i++) {
        if (columns[i].type == WGT_COLUMN_NUMBER) {
            *_wgt_number(row, &columns[i]) = columns[i].def;
        }
    }
    if (kind == WGT_KIND_SERVICE) {
        wg_copy_name(row->service.kind, sizeof row->service.kind, "model");
    }
}

bool wgt_row_check(const wgt_row* row, GError** error) {
    if (row->kind <= WGT_KIND_DEFAULT || row->kind >= WGT_KIND_NUM) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "unknown kind of row");
        return false;
    }
    if (!_wgt_is_name_valid(row->name)) {
        return _wgt_fail(error, row, "name", "want 1..63 of letters, digits, - _ .");
    }
    if (row->deleted) {
        return true;
    }
    return _wgt_check_numbers(row, error) && _wgt_check_texts(row, error);
}

bool wgt_is_repeatable(const wgt_row* service, const char* method, const char* path) {
    size_t method_length = strlen(method);
    const char* item = service->service.repeatable;
    while (*item) {
        size_t length = strcspn(item, " ");
        if (length >= method_length && strncmp(item, method, method_length) == 0) {
            const char* rest = item + method_length;
            size_t rest_length = length - method_length;
            bool any_path = rest_length == 0;
            bool path_matches =
                rest_length > 1 && rest[0] == ':' && strncmp(path, rest + 1, rest_length - 1) == 0;
            if (any_path || path_matches) {
                return true;
            }
        }
        item += length;
        item += strspn(item, " ");
    }
    return false;
}

void wgt_row_pack(const wgt_row* row, Wgpb__Row* out, wgt_row_scratch* scratch) {
    wgpb__row__init(out);
    out->kind = row->kind;
    out->name = (char*)row->name;
    out->version = row->version;
    out->deleted = row->deleted;
    out->id = row->id;
    out->numbers = scratch->numbers;
    out->texts = scratch->texts;
    if (row->deleted) {
        return;
    }
    int num;
    const wgt_column* columns = wgt_columns(row->kind, &num);
    for (int i = 0; i < num; i++) {
        if (columns[i].type == WGT_COLUMN_NUMBER) {
            scratch->numbers[out->n_numbers++] = *_wgt_number(row, &columns[i]);
        } else {
            scratch->texts[out->n_texts++] = _wgt_text(row, &columns[i]);
        }
    }
}

bool wgt_row_unpack(const Wgpb__Row* in, wgt_row* row) {
    wgt_row_init(row, (wgt_kind)in->kind, in->name);
    row->version = in->version;
    row->deleted = in->deleted;
    row->id = in->id;
    int num;
    const wgt_column* columns = wgt_columns(row->kind, &num);
    size_t numbers = 0;
    size_t texts = 0;
    for (int i = 0; i < num; i++) {
        if (columns[i].type == WGT_COLUMN_NUMBER && numbers < in->n_numbers) {
            *_wgt_number(row, &columns[i]) = in->numbers[numbers++];
        }
        if (columns[i].type == WGT_COLUMN_TEXT && texts < in->n_texts) {
            if (!wg_copy_name(_wgt_text(row, &columns[i]), columns[i].size, in->texts[texts++])) {
                return false;
            }
        }
    }
    return wgt_row_check(row, NULL);
}

json_t* wgt_row_to_json(const wgt_row* row) {
    json_t* json = json_object();
    json_object_set_new(json, "name", json_string(row->name));
    json_object_set_new(json, "version", json_integer((json_int_t)row->version));
    if (row->deleted) {
        json_object_set_new(json, "deleted", json_true());
        return json;
    }
    int num;
    const wgt_column* columns = wgt_columns(row->kind, &num);
    for (int i = 0; i < num; i++) {
        json_t* value = columns[i].type == WGT_COLUMN_NUMBER
                            ? json_integer(*_wgt_number(row, &columns[i]))
                            : json_string(_wgt_text(row, &columns[i]));
        json_object_set_new(json, columns[i].name, value);
    }
    return json;
}

static const wgt_column* _wgt_find_column(wgt_kind kind, const char* name) {
    int num;
    const wgt_column* columns = wgt_columns(kind, &num);
    for (int i = 0; i < num; i++) {
        if (strcmp(columns[i].name, name) == 0) {
            return &columns[i];
        }
    }
    return NULL;
}

bool wgt_row_from_json(const json_t* json, wgt_kind kind, wgt_row* row, GError** error) {
    const char* name = json_string_value(json_object_get(json, "name"));
    wgt_row_init(row, kind, name ? name : "");
    const char* key;
    json_t* value;
    json_object_foreach((json_t*)json, key, value) {
        if (strcmp(key, "name") == 0) {
            continue;
        }
        if (strcmp(key, "version") == 0 && json_is_integer(value) &&
            json_integer_value(value) >= 0) {
            row->version = (uint64_t)json_integer_value(value);
            continue;
        }
        if (strcmp(key, "deleted") == 0 && json_is_boolean(value)) {
            row->deleted = json_is_true(value);
            continue;
        }
        const wgt_column* column = _wgt_find_column(kind, key);
        if (!column) {
            return _wgt_fail(error, row, key, "no such column");
        }
        if (column->type == WGT_COLUMN_NUMBER && json_is_integer(value)) {
            *_wgt_number(row, column) = json_integer_value(value);
        } else if (column->type == WGT_COLUMN_TEXT && json_is_string(value)) {
            if (!wg_copy_name(_wgt_text(row, column), column->size, json_string_value(value))) {
                return _wgt_fail(error, row, key, "too long");
            }
        } else {
            return _wgt_fail(error, row, key, "value has the wrong type");
        }
    }
    return wgt_row_check(row, error);
}
