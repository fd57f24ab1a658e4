/* wg_settings.c -- see wg_settings.h */
#include "wg_settings.h"

#include <event2/util.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* ---- helpers ------------------------------------------------------------------------------ */

static void* _wgi_field(const wgi_key* key, const void* settings) {
    return (char*)settings + key->offset;
}

static bool _wgi_has_range(const wgi_key* key) {
    return key->type == WGI_TYPE_NUMBER || key->type == WGI_TYPE_REAL;
}

static bool _wgi_fail(GError** error, const char* path, const wgi_key* key, const char* why) {
    g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "%s: [%s] %s: %s", path, key->group, key->key,
                why);
    return false;
}

static bool _wgi_parse_number(const char* path, const wgi_key* key, const char* text,
                              void* settings, GError** error) {
    gint64 value;
    if (!g_ascii_string_to_signed(text, 10, key->min, key->max, &value, NULL)) {
        char why[128];
        g_snprintf(why, sizeof why,
                   "\"%.40s\" is not an integer within %" G_GINT64_FORMAT "..%" G_GINT64_FORMAT,
                   text, key->min, key->max);
        return _wgi_fail(error, path, key, why);
    }
    *(int64_t*)_wgi_field(key, settings) = value;
    return true;
}

static bool _wgi_parse_real(const char* path, const wgi_key* key, const char* text, void* settings,
                            GError** error) {
    char* end;
    double value = g_ascii_strtod(text, &end);
    bool complete = text[0] && *end == 0;
    /* The comparison is false for a value that is not a number. */
    if (!complete || !(value >= (double)key->min && value <= (double)key->max)) {
        char why[128];
        g_snprintf(why, sizeof why,
                   "\"%.40s\" is not a number within %" G_GINT64_FORMAT "..%" G_GINT64_FORMAT, text,
                   key->min, key->max);
        return _wgi_fail(error, path, key, why);
    }
    *(double*)_wgi_field(key, settings) = value;
    return true;
}

static bool _wgi_is_address_valid(const char* text) {
    struct sockaddr_storage storage;
    int size = sizeof storage;
    return strrchr(text, ':') &&
           evutil_parse_sockaddr_port(text, (struct sockaddr*)&storage, &size) == 0;
}

static char** _wgi_split_list(const char* text) {
    char** raw = g_strsplit_set(text, " ,\t", -1);
    GPtrArray* items = g_ptr_array_new();
    for (int i = 0; raw[i]; i++) {
        if (raw[i][0]) {
            g_ptr_array_add(items, g_strdup(raw[i]));
        }
    }
    g_strfreev(raw);
    g_ptr_array_add(items, NULL);
    return (char**)g_ptr_array_free(items, FALSE);
}

static bool _wgi_read_secret(const char* path, const wgi_key* key, const char* text, void* settings,
                             GError** error) {
    char* content = NULL;
    if (text[0] && !g_file_get_contents(text, &content, NULL, NULL)) {
        return _wgi_fail(error, path, key, "the file that the value names cannot be read");
    }
    if (content) {
        content[strcspn(content, "\r\n")] = 0;
    }
    if (content && strlen(content) < 16) {
        g_free(content);
        return _wgi_fail(error, path, key,
                         "the first line of the file is shorter than 16 characters");
    }
    *(char**)_wgi_field(key, settings) = content ? content : g_strdup("");
    return true;
}

static bool _wgi_parse_value(const char* path, const wgi_key* key, const char* text, void* settings,
                             GError** error) {
    switch (key->type) {
    case WGI_TYPE_NUMBER:
        return _wgi_parse_number(path, key, text, settings, error);
    case WGI_TYPE_REAL:
        return _wgi_parse_real(path, key, text, settings, error);
    case WGI_TYPE_ADDRESS:
        if (text[0] && !_wgi_is_address_valid(text)) {
            return _wgi_fail(error, path, key, "want ip:port");
        }
        *(char**)_wgi_field(key, settings) = g_strdup(text);
        return true;
    case WGI_TYPE_LIST:
        *(char***)_wgi_field(key, settings) = _wgi_split_list(text);
        return true;
    case WGI_TYPE_SECRET:
        return _wgi_read_secret(path, key, text, settings, error);
    default:
        *(char**)_wgi_field(key, settings) = g_strdup(text);
        return true;
    }
}

static bool _wgi_check_unknown_keys(const char* path, GKeyFile* file, const wgi_key* keys, int num,
                                    GError** error) {
    char** groups = g_key_file_get_groups(file, NULL);
    bool good = true;
    for (int g = 0; groups[g] && good; g++) {
        char** names = g_key_file_get_keys(file, groups[g], NULL, NULL);
        for (int n = 0; names && names[n] && good; n++) {
            bool known = false;
            for (int i = 0; i < num; i++) {
                known =
                    known || (!strcmp(keys[i].group, groups[g]) && !strcmp(keys[i].key, names[n]));
            }
            good = known;
            if (!known) {
                g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "%s: [%s] %s: no such key", path,
                            groups[g], names[n]);
            }
        }
        g_strfreev(names);
    }
    g_strfreev(groups);
    return good;
}

/* ---- public functions --------------------------------------------------------------------- */

bool wgi_load(const char* path, const wgi_key* keys, int num, void* settings, GError** error) {
    GKeyFile* file = g_key_file_new();
    GError* failure = NULL;
    if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &failure)) {
        g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "%s: %s", path, failure->message);
        g_error_free(failure);
        g_key_file_free(file);
        return false;
    }
    bool good = _wgi_check_unknown_keys(path, file, keys, num, error);
    for (int i = 0; i < num && good; i++) {
        char* text = g_key_file_get_value(file, keys[i].group, keys[i].key, NULL);
        if (!text && !keys[i].def) {
            good = _wgi_fail(error, path, &keys[i], "required key is missing");
        } else {
            good = _wgi_parse_value(path, &keys[i], text ? g_strstrip(text) : keys[i].def, settings,
                                    error);
        }
        g_free(text);
    }
    g_key_file_free(file);
    return good;
}

void wgi_print(const wgi_key* keys, int num, const void* settings) {
    const char* group = "";
    for (int i = 0; i < num; i++) {
        if (strcmp(group, keys[i].group) != 0) {
            group = keys[i].group;
            printf("%s[%s]\n", i ? "\n" : "", group);
        }
        const void* field = _wgi_field(&keys[i], settings);
        if (keys[i].type == WGI_TYPE_NUMBER) {
            printf("%s=%" G_GINT64_FORMAT "\n", keys[i].key, *(const int64_t*)field);
        } else if (keys[i].type == WGI_TYPE_REAL) {
            printf("%s=%.15g\n", keys[i].key, *(const double*)field);
        } else if (keys[i].type == WGI_TYPE_LIST) {
            char* joined = g_strjoinv(" ", *(char** const*)field);
            printf("%s=%s\n", keys[i].key, joined);
            g_free(joined);
        } else if (keys[i].type == WGI_TYPE_SECRET) {
            printf("# %s is read from its file and not printed\n", keys[i].key);
        } else {
            printf("%s=%s\n", keys[i].key, *(char* const*)field);
        }
    }
}

void wgi_print_help(const wgi_key* keys, int num) {
    printf("| group | key | default | range | unit | meaning |\n|---|---|---|---|---|---|\n");
    for (int i = 0; i < num; i++) {
        char range[64] = "";
        if (_wgi_has_range(&keys[i])) {
            g_snprintf(range, sizeof range, "%" G_GINT64_FORMAT "..%" G_GINT64_FORMAT, keys[i].min,
                       keys[i].max);
        }
        const char* def = keys[i].def ? keys[i].def : "required";
        printf("| %s | %s | %s | %s | %s | %s |\n", keys[i].group, keys[i].key,
               def[0] ? def : "none", range, keys[i].unit, keys[i].help);
    }
}

void wgi_clear(const wgi_key* keys, int num, void* settings) {
    for (int i = 0; i < num; i++) {
        void* field = _wgi_field(&keys[i], settings);
        if (keys[i].type == WGI_TYPE_LIST) {
            g_strfreev(*(char***)field);
            *(char***)field = NULL;
        } else if (!_wgi_has_range(&keys[i])) {
            g_free(*(char**)field);
            *(char**)field = NULL;
        }
    }
}
