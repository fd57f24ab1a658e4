#pragma once
/*
    wg_settings.h -- checked settings in INI form, over GLib's key files

    WHAT IT DOES
        Reads an INI file into a plain struct by a list of keys, each with type, unit, default,
   range and a comment. Anything that is not on the list is an error that names file, group and key.

    FEATURES
        - numbers with ranges, texts, addresses, lists, file contents (for keys that are secrets)
        - prints the settings in force, and the list as a Markdown table for docs/SETTINGS.md

    USE
        1. static const wgi_key keys[] = {WGI_NUMBER(my_settings, "router", limit, ...), ...};
        2. wgi_load("r1.ini", keys, num, &settings, &error);
        3. wgi_print(keys, num, &settings);
        4. wgi_clear(keys, num, &settings);

    THE CALLER OWNS
        the struct; texts in it are allocated and freed by wgi_clear().
*/
#include "wg_base.h"

typedef enum {
    WGI_TYPE_DEFAULT = 0,
    WGI_TYPE_NUMBER,  /* int64_t */
    WGI_TYPE_TEXT,    /* char* */
    WGI_TYPE_ADDRESS, /* char*, "ip:port" */
    WGI_TYPE_LIST,    /* char**, items between spaces or commas */
    WGI_TYPE_SECRET,  /* char*, first line of the file that is named; never printed */
    WGI_TYPE_NUM
} wgi_type;

typedef struct {
    const char* group;
    const char* key;
    wgi_type type;
    size_t offset;
    int64_t min;
    int64_t max;
    const char* def; /* NULL: the key is required */
    const char* unit;
    const char* help;
} wgi_key;

#define WGI_NUMBER(type_, group_, field, def_, min_, max_, unit_, help_)                           \
    {                                                                                              \
        .group = group_, .key = #field, .type = WGI_TYPE_NUMBER, .offset = offsetof(type_, field), \
        .min = min_, .max = max_, .def = def_, .unit = unit_, .help = help_                        \
    }
#define WGI_TEXT(type_, kind_, group_, field, def_, help_)                                         \
    {                                                                                              \
        .group = group_, .key = #field, .type = WGI_TYPE_##kind_,                                  \
        .offset = offsetof(type_, field), .def = def_, .unit = "", .help = help_                   \
    }

/* Fill `settings`; false with an error that names file, group and key. */
bool wgi_load(const char* path, const wgi_key* keys, int num, void* settings, GError** error);
/* All keys with their values, as an INI file on standard output. */
void wgi_print(const wgi_key* keys, int num, const void* settings);
/* The list of keys as a Markdown table on standard output. */
void wgi_print_help(const wgi_key* keys, int num);
void wgi_clear(const wgi_key* keys, int num, void* settings);
