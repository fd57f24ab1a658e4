/* ctl.c -- walnutgatectl: edits the table, manages replicas, prints status and state dumps */
#include <argtable2.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "wg_exchange.h"
#include "wg_http.h"
#include "wg_net.h"
#include "wg_table.h"
#include "wg_version.h"

/* ---- types -------------------------------------------------------------------------------- */

enum {
    EXIT_REFUSED = 1, /* a control refused the command: conflict, invalid, not found */
    EXIT_USAGE = 2,   /* nothing was sent: bad command line or unreadable file */
    EXIT_NO_RESPONSE = 3,
    RESPONSE_TIMEOUT = 5 * WG_USEC_PER_SEC, /* without a byte */
    ROUNDS_MAX = 40,                        /* rounds over all controls until the leader answers */
    ROUND_DELAY_MS = 250
};

typedef struct {
    char** controls; /* ip:port of operator endpoints */
    char* key;
    bool csv;
} options_t;

typedef struct {
    struct event_base* base;
    wg_exchange* exchange;
    int status; /* 0: no response */
    GString* body;
} response_t;

/* ---- HTTP ---------------------------------------------------------------------------------- */

static void on_done(wg_exchange_result result, void* user_data) {
    response_t* response = user_data;
    if (result != WG_EXCHANGE_FAILED) {
        response->status = wg_exchange_head(response->exchange)->status;
        struct evbuffer* body = wg_exchange_body(response->exchange);
        size_t size = evbuffer_get_length(body);
        if (size > 0) {
            g_string_append_len(response->body, (const char*)evbuffer_pullup(body, -1),
                                (gssize)size);
        }
    }
    event_base_loopbreak(response->base);
}

/* Sends one request to one address. The caller frees the body of the response. */
static response_t send_request(const char* address, const char* key, const char* path,
                               const char* body) {
    static const wg_exchange_handler handler = {.on_done = on_done};
    response_t response = {.base = event_base_new(), .body = g_string_new(NULL)};
    response.exchange =
        wg_exchange_open(&(wg_exchange_desc){.base = response.base, .address = address});
    if (response.exchange) {
        struct evbuffer* fields = evbuffer_new();
        struct evbuffer* content = evbuffer_new();
        evbuffer_add_printf(fields, "Authorization: Bearer %s\r\nHost: %s\r\n", key, address);
        evbuffer_add(content, body ? body : "", body ? strlen(body) : 0);
        wg_exchange_send(response.exchange,
                         &(wg_exchange_request){.method = body ? "POST" : "GET",
                                                .target = path,
                                                .fields = fields,
                                                .body = content,
                                                .idle_timeout = RESPONSE_TIMEOUT},
                         &handler, &response);
        event_base_dispatch(response.base);
        wg_exchange_close(response.exchange);
        response.exchange = NULL;
        evbuffer_free(fields);
        evbuffer_free(content);
    }
    event_base_free(response.base);
    response.base = NULL;
    return response;
}

/* Sends the request to each control in turn until the leader answers. Retries are safe because
   edits have an id. */
static response_t send_to_leader(const options_t* options, const char* path, const char* body) {
    response_t response = {0};
    for (int i = 0; i < ROUNDS_MAX; i++) {
        for (int c = 0; options->controls[c]; c++) {
            response = send_request(options->controls[c], options->key, path, body);
            bool try_next =
                response.status == 0 || response.status == 421 || response.status == 503;
            if (!try_next) {
                return response;
            }
            g_string_free(response.body, TRUE);
        }
        g_usleep(ROUND_DELAY_MS * 1000);
    }
    response.status = 0;
    response.body = g_string_new(NULL);
    return response;
}

/* Prints the body of the response and returns the exit status for it. Frees the body. */
static int print_response(response_t* response) {
    int result = response->status == 200 ? EXIT_SUCCESS
                 : response->status == 0 ? EXIT_NO_RESPONSE
                                         : EXIT_REFUSED;
    if (response->status == 0) {
        fprintf(stderr, "walnutgatectl: no response from a leading control\n");
    } else {
        FILE* out = result == EXIT_SUCCESS ? stdout : stderr;
        fprintf(out, "%s%s", response->body->str,
                g_str_has_suffix(response->body->str, "\n") ? "" : "\n");
    }
    g_string_free(response->body, TRUE);
    return result;
}

/* ---- table --------------------------------------------------------------------------------- */

static int usage(const char* message) {
    fprintf(stderr, "walnutgatectl: %s\n", message);
    return EXIT_USAGE;
}

static int table_get(const options_t* options, const char* kind) {
    char* path = g_strdup_printf("/v1/table/%s?format=%s", kind, options->csv ? "csv" : "json");
    response_t response = send_to_leader(options, path, NULL);
    g_free(path);
    return print_response(&response);
}

/* Fetches the current rows, by name. On failure, prints the reason, sets `result` and returns
   NULL. */
static json_t* fetch_rows(const options_t* options, const char* kind, int* result) {
    char* path = g_strdup_printf("/v1/table/%s?format=json", kind);
    response_t response = send_to_leader(options, path, NULL);
    g_free(path);
    if (response.status != 200) {
        *result = print_response(&response);
        return NULL;
    }
    json_t* json = json_loads(response.body->str, 0, NULL);
    g_string_free(response.body, TRUE);
    json_t* rows = json_object();
    size_t i;
    json_t* row;
    json_array_foreach(json_object_get(json, "rows"), i, row) {
        json_object_set(rows, json_string_value(json_object_get(row, "name")), row);
    }
    json_decref(json);
    return rows;
}

static int send_edit(const options_t* options, json_t* rows) {
    uint8_t id[WGT_EDIT_ID_SIZE];
    if (getrandom(id, sizeof id, 0) != (ssize_t)sizeof id) {
        json_decref(rows);
        return usage("cannot get random bytes for the edit id");
    }
    char hex[2 * WGT_EDIT_ID_SIZE + 1];
    for (size_t i = 0; i < sizeof id; i++) {
        g_snprintf(hex + 2 * i, 3, "%02x", id[i]);
    }
    const char* user = g_get_user_name();
    json_t* edit =
        json_pack("{s:s,s:s,s:o}", "edit_id", hex, "editor", user ? user : "", "rows", rows);
    char* text = json_dumps(edit, JSON_COMPACT);
    response_t response = send_to_leader(options, "/v1/table/edit", text);
    free(text);
    json_decref(edit);
    return print_response(&response);
}

static void add_edit_row(json_t* rows, const char* kind, json_t* row) {
    json_object_set_new(row, "kind_of_row", json_string(kind));
    json_array_append_new(rows, row);
}

static int table_put(const options_t* options, const char* kind_name, const char* file) {
    wgt_kind kind = wgt_kind_parse(kind_name);
    char* text = NULL;
    gsize size;
    GError* error = NULL;
    GArray* rows = NULL;
    if (!g_file_get_contents(file, &text, &size, &error) ||
        !wgt_csv_read(text, size, kind, &rows, &error)) {
        fprintf(stderr, "walnutgatectl: %s: %s\n", file, error->message);
        g_error_free(error);
        g_free(text);
        return EXIT_USAGE;
    }
    g_free(text);
    int result = EXIT_SUCCESS;
    json_t* current = fetch_rows(options, kind_name, &result);
    if (!current) {
        g_array_unref(rows);
        return result;
    }
    json_t* changed = json_array();
    for (guint i = 0; i < rows->len; i++) {
        const wgt_row* row = &g_array_index(rows, wgt_row, i);
        json_t* json = wgt_row_to_json(row);
        /* Unchanged rows are not sent, so they cannot conflict with concurrent edits. */
        if (json_equal(json, json_object_get(current, row->name))) {
            json_decref(json);
        } else {
            add_edit_row(changed, wgt_kind_name(kind), json);
        }
    }
    json_decref(current);
    g_array_unref(rows);
    if (json_array_size(changed) == 0) {
        json_decref(changed);
        printf("nothing changed\n");
        return EXIT_SUCCESS;
    }
    return send_edit(options, changed);
}

static bool set_column(json_t* row, wgt_kind kind, const char* assignment) {
    const char* equals = strchr(assignment, '=');
    if (!equals) {
        return false;
    }
    char* name = g_strndup(assignment, (gsize)(equals - assignment));
    int num;
    const wgt_column* columns = wgt_columns(kind, &num);
    bool known = false;
    for (int i = 0; i < num; i++) {
        if (strcmp(columns[i].name, name) != 0) {
            continue;
        }
        gint64 number;
        known = true;
        if (columns[i].type == WGT_COLUMN_TEXT) {
            json_object_set_new(row, name, json_string(equals + 1));
        } else if (g_ascii_string_to_signed(equals + 1, 10, INT64_MIN, INT64_MAX, &number, NULL)) {
            json_object_set_new(row, name, json_integer(number));
        } else {
            known = false;
        }
    }
    g_free(name);
    return known;
}

/* Changes columns of one row, which is created if it does not exist, or deletes it. */
static int table_change(const options_t* options, const char* kind_name, const char* name,
                        const char** assignments, int num, bool delete) {
    wgt_kind kind = wgt_kind_parse(kind_name);
    int result = EXIT_SUCCESS;
    json_t* current = fetch_rows(options, kind_name, &result);
    if (!current) {
        return result;
    }
    json_t* row = json_copy(json_object_get(current, name));
    json_decref(current);
    if (!row) {
        wgt_row new_row;
        wgt_row_init(&new_row, kind, name);
        row = wgt_row_to_json(&new_row);
    }
    for (int i = 0; i < num; i++) {
        if (!set_column(row, kind, assignments[i])) {
            fprintf(
                stderr,
                "walnutgatectl: \"%s\" is not column=value with a known column and a valid value\n",
                assignments[i]);
            json_decref(row);
            return EXIT_USAGE;
        }
    }
    if (delete) {
        json_object_set_new(row, "deleted", json_true());
    }
    json_t* rows = json_array();
    add_edit_row(rows, wgt_kind_name(kind), row);
    return send_edit(options, rows);
}

static int table_command(const options_t* options, const char** args, int num) {
    const char* verb = num > 0 ? args[0] : "";
    if (num < 2 || wgt_kind_parse(args[1]) == WGT_KIND_DEFAULT) {
        return usage("table get|put|set|delete workspaces|services|targets ...");
    }
    if (strcmp(verb, "get") == 0 && num == 2) {
        return table_get(options, args[1]);
    }
    if (strcmp(verb, "put") == 0 && num == 3) {
        return table_put(options, args[1], args[2]);
    }
    if (strcmp(verb, "set") == 0 && num >= 3) {
        return table_change(options, args[1], args[2], args + 3, num - 3, false);
    }
    if (strcmp(verb, "delete") == 0 && num == 3) {
        return table_change(options, args[1], args[2], NULL, 0, true);
    }
    return usage("table get <kind> | put <kind> <file.csv> | set <kind> <name> column=value ... | "
                 "delete <kind> <name>");
}

/* ---- other commands ------------------------------------------------------------------------- */

static int dump_one(const options_t* options, const char* address) {
    response_t response = send_request(address, options->key, "/debug/state", NULL);
    if (response.status != 200) {
        fprintf(stderr, "walnutgatectl: %s: cannot read the state (status %d)\n", address,
                response.status);
        g_string_free(response.body, TRUE);
        return EXIT_NO_RESPONSE;
    }
    json_t* json = json_loads(response.body->str, 0, NULL);
    g_string_free(response.body, TRUE);
    json_dumpf(json, stdout, JSON_INDENT(2));
    printf("\n");
    json_decref(json);
    return EXIT_SUCCESS;
}

static int status(const options_t* options) {
    int result = EXIT_SUCCESS;
    for (int c = 0; options->controls[c]; c++) {
        response_t response =
            send_request(options->controls[c], options->key, "/debug/state", NULL);
        json_t* json = json_loads(response.body->str, 0, NULL);
        if (response.status != 200 || !json) {
            printf("%-22s no response\n", options->controls[c]);
            result = EXIT_NO_RESPONSE;
        } else {
            json_t* log = json_object_get(json, "log");
            json_t* table = json_object_get(json, "table");
            printf("%-22s %-10s %-8s term=%" JSON_INTEGER_FORMAT " commit=%" JSON_INTEGER_FORMAT
                   " table=%" JSON_INTEGER_FORMAT " replicas=%zu routers=%zu\n",
                   options->controls[c], json_string_value(json_object_get(json, "name")),
                   json_is_true(json_object_get(json, "leads")) ? "leads" : "follows",
                   json_integer_value(json_object_get(log, "term")),
                   json_integer_value(json_object_get(log, "commit")),
                   json_integer_value(json_object_get(table, "version")),
                   json_array_size(json_object_get(json, "replicas")),
                   json_array_size(json_object_get(json, "routers")));
        }
        json_decref(json);
        g_string_free(response.body, TRUE);
    }
    return result;
}

static void print_shares(const json_t* state) {
    printf("%-20s %-20s %8s %12s %16s\n", "service", "workspace", "weight", "cost", "cost/weight");
    size_t i;
    json_t* share;
    json_array_foreach(json_object_get(state, "shares"), i, share) {
        json_int_t cost = json_integer_value(json_object_get(share, "cost"));
        json_int_t weight = json_integer_value(json_object_get(share, "weight"));
        printf("%-20s %-20s %8" JSON_INTEGER_FORMAT " %12" JSON_INTEGER_FORMAT " %16.2f\n",
               json_string_value(json_object_get(share, "service")),
               json_string_value(json_object_get(share, "workspace")), weight, cost,
               (double)cost / (double)weight);
    }
}

/* Prints the usage of each workspace from the leader's accounts. */
static int fairness(const options_t* options) {
    for (int c = 0; options->controls[c]; c++) {
        response_t response =
            send_request(options->controls[c], options->key, "/debug/state", NULL);
        json_t* json = json_loads(response.body->str, 0, NULL);
        bool leads = json_is_true(json_object_get(json, "leads"));
        if (leads) {
            print_shares(json);
        }
        json_decref(json);
        g_string_free(response.body, TRUE);
        if (leads) {
            return EXIT_SUCCESS;
        }
    }
    fprintf(stderr, "walnutgatectl: no response from a leading control\n");
    return EXIT_NO_RESPONSE;
}

static int replica_command(const options_t* options, const char* action, const char* name) {
    json_t* json = json_pack("{s:s,s:s}", "action", action, "name", name);
    char* text = json_dumps(json, JSON_COMPACT);
    response_t response = send_to_leader(options, "/v1/replicas", text);
    free(text);
    json_decref(json);
    return print_response(&response);
}

/* Last entry of a control's log; compared by term first, as in elections. */
typedef struct {
    const char* control;
    json_int_t term;
    json_int_t last;
    bool leads;
} log_end_t;

static bool read_log_end(const options_t* options, const char* control, log_end_t* end) {
    response_t response = send_request(control, options->key, "/debug/state", NULL);
    json_t* json = json_loads(response.body->str, 0, NULL);
    json_t* log = json_object_get(json, "log");
    bool good = response.status == 200 && log;
    *end = (log_end_t){.control = control,
                       .term = json_integer_value(json_object_get(log, "last_term")),
                       .last = json_integer_value(json_object_get(log, "last")),
                       .leads = json_is_true(json_object_get(json, "leads"))};
    json_decref(json);
    g_string_free(response.body, TRUE);
    return good;
}

/* Recovers the set from the remaining control with the newest log. It continues alone; the others
   have to join with empty data folders. */
static int recover_set(const options_t* options, const char* removed) {
    log_end_t best = {0};
    for (int c = 0; options->controls[c]; c++) {
        log_end_t end;
        if (!read_log_end(options, options->controls[c], &end)) {
            fprintf(stderr,
                    "walnutgatectl: %s: cannot read the state; list only controls that are up\n",
                    options->controls[c]);
            return EXIT_NO_RESPONSE;
        }
        if (end.leads) {
            fprintf(stderr, "walnutgatectl: %s leads; forced recovery refused\n", end.control);
            return EXIT_REFUSED;
        }
        bool newer = end.term > best.term || (end.term == best.term && end.last > best.last);
        best = !best.control || newer ? end : best;
    }
    json_t* json = json_pack("{s:s,s:s}", "action", "form-anew", "gone", removed);
    char* text = json_dumps(json, JSON_COMPACT);
    printf("recovering from %s, which has the newest log (term %" JSON_INTEGER_FORMAT
           ", entry %" JSON_INTEGER_FORMAT ")\n",
           best.control, best.term, best.last);
    response_t response = send_request(best.control, options->key, "/v1/replicas", text);
    free(text);
    json_decref(json);
    return print_response(&response);
}

static int key_hash(const char* key) {
    uint8_t hash[WG_KEY_HASH_SIZE];
    wg_key_hash(key, hash);
    for (size_t i = 0; i < sizeof hash; i++) {
        printf("%02x", hash[i]);
    }
    printf("\n");
    return EXIT_SUCCESS;
}

static int run(const options_t* options, const char** args, int num) {
    const char* command = num > 0 ? args[0] : "";
    if (strcmp(command, "key-hash") == 0 && num == 2) {
        return key_hash(args[1]);
    }
    if (!options->key) {
        return usage("--key-file is required and must name a readable file");
    }
    if (strcmp(command, "table") == 0) {
        return table_command(options, args + 1, num - 1);
    }
    if ((strcmp(command, "services") == 0 || strcmp(command, "targets") == 0) && num == 1) {
        return table_get(options, command);
    }
    if (strcmp(command, "status") == 0 && num == 1) {
        return status(options);
    }
    if (strcmp(command, "fairness") == 0 && num == 1) {
        return fairness(options);
    }
    if (strcmp(command, "dump") == 0 && num == 2) {
        return dump_one(options, args[1]);
    }
    if (strcmp(command, "replica") == 0 && num == 3 && strcmp(args[1], "form-anew") == 0) {
        return recover_set(options, args[2]);
    }
    if (strcmp(command, "replica") == 0 && num == 3) {
        return replica_command(options, args[1], args[2]);
    }
    return usage("unknown command; see --help");
}

static void print_help(void** table) {
    printf("Usage: walnutgatectl");
    arg_print_syntax(stdout, table, "\n");
    arg_print_glossary(stdout, table, "  %-26s %s\n");
    printf("\nCommands:\n"
           "  table get <kind>                    rows of workspaces, services or targets\n"
           "  table put <kind> <file.csv>         send the changed rows of a CSV file\n"
           "  table set <kind> <name> col=value   change columns of one row, or create it\n"
           "  table delete <kind> <name>          delete one row\n"
           "  services | targets                  short for table get services | targets\n"
           "  status                              one line for each control\n"
           "  fairness                            usage of each workspace relative to its weight\n"
           "  dump <ip:port>                      state dump of a daemon, by its operator address\n"
           "  replica replace <name>              let a control with a new data folder join\n"
           "  replica remove <name>               remove a control from the set\n"
           "  replica form-anew <name,name,...>   forced recovery after the permanent loss of a\n"
           "                                      majority: continue from the newest log of the\n"
           "                                      remaining controls (list all of them with -c),\n"
           "                                      without the controls named here\n"
           "  key-hash <key>                      hash of a workspace key, as the table stores it\n"
           "\nExit status: 0 done, 1 refused, 2 bad usage, 3 no response.\n");
}

int main(int argc, char** argv) {
    struct arg_str* controls =
        arg_str0("c", "controls", "<ip:port,...>",
                 "operator addresses of the controls (default 127.0.0.1:7200)");
    struct arg_file* key = arg_file0("k", "key-file", "<file>", "file with the operator key");
    struct arg_lit* csv = arg_lit0(NULL, "csv", "print tables as CSV instead of JSON");
    struct arg_lit* help = arg_lit0("h", "help", "print this help and exit");
    struct arg_lit* version = arg_lit0(NULL, "version", "print the version and exit");
    struct arg_str* args =
        arg_strn(NULL, NULL, "<command>", 0, 32, "command and its arguments, listed below");
    struct arg_end* end = arg_end(8);
    void* table[] = {controls, key, csv, help, version, args, end};
    int errors = arg_parse(argc, argv, table);
    int result = EXIT_SUCCESS;
    if (help->count) {
        print_help(table);
    } else if (version->count) {
        printf("walnutgatectl %s\n", WG_VERSION);
    } else if (errors > 0) {
        arg_print_errors(stderr, end, "walnutgatectl");
        result = EXIT_USAGE;
    } else {
        const char* list = controls->count ? controls->sval[0] : "127.0.0.1:7200";
        options_t options = {.controls = g_strsplit(list, ",", -1), .csv = csv->count > 0};
        if (key->count && g_file_get_contents(key->filename[0], &options.key, NULL, NULL)) {
            options.key[strcspn(options.key, "\r\n")] = 0;
        }
        result = run(&options, args->sval, args->count);
        g_strfreev(options.controls);
        g_free(options.key);
    }
    arg_freetable(table, G_N_ELEMENTS(table));
    return result;
}
