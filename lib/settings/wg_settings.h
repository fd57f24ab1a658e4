#pragma once
/*
    wg_settings.h -- validated settings from INI files, over GLib's key files

    WHAT IT DOES
        Reads an INI file into a plain struct by a list of keys, each with type, unit, default,
        range and description. A key that is not on the list is an error, as is an invalid value;
        errors name file, group and key.

    FEATURES
        - integers and decimal fractions with ranges, texts, addresses, lists, and secrets that are
          read from a file
        - prints the effective settings, and the list of keys as a Markdown table for
          docs/SETTINGS.md

    USE
        1. static const wgi_key keys[] = {WGI_NUMBER(my_settings, "router", limit, ...), ...};
        2. wgi_load("r1.ini", keys, num, &settings, &error);
        3. wgi_print(keys, num, &settings);
        4. wgi_clear(keys, num, &settings);

    THE CALLER OWNS
        the settings struct. Texts in it are allocated by wgi_load() and freed by wgi_clear().
*/
#include "wg_base.h"

typedef enum {
    WGI_TYPE_DEFAULT = 0,
    WGI_TYPE_NUMBER,  /* int64_t */
    WGI_TYPE_REAL,    /* double, decimal fractions allowed */
    WGI_TYPE_TEXT,    /* char* */
    WGI_TYPE_ADDRESS, /* char*, "ip:port" */
    WGI_TYPE_LIST,    /* char**, items separated by spaces, tabs or commas */
    WGI_TYPE_SECRET,  /* char*, first line of the file that the value names; never printed */
    WGI_TYPE_NUM
} wgi_type;

typedef struct {
    const char* group;
    const char* key;
    wgi_type type;
    size_t offset;   /* of the field in the settings struct */
    int64_t min;     /* numbers and reals only */
    int64_t max;     /* numbers and reals only */
    const char* def; /* default as text; NULL: the key is required */
    const char* unit;
    const char* help;
} wgi_key;

/* Initialisers of a wgi_key; the field has the name of the key. */
#define WGI_NUMBER(type_, group_, field, def_, min_, max_, unit_, help_)                           \
    {                                                                                              \
        .group = group_, .key = #field, .type = WGI_TYPE_NUMBER, .offset = offsetof(type_, field), \
        .min = min_, .max = max_, .def = def_, .unit = unit_, .help = help_                        \
    }
#define WGI_REAL(type_, group_, field, def_, min_, max_, unit_, help_)                             \
    {                                                                                              \
        .group = group_, .key = #field, .type = WGI_TYPE_REAL, .offset = offsetof(type_, field),   \
        .min = min_, .max = max_, .def = def_, .unit = unit_, .help = help_                        \
    }
#define WGI_TEXT(type_, kind_, group_, field, def_, help_)                                         \
    {                                                                                              \
        .group = group_, .key = #field, .type = WGI_TYPE_##kind_,                                  \
        .offset = offsetof(type_, field), .def = def_, .unit = "", .help = help_                   \
    }

/* Reads a file into `settings`, zero-initialised by the caller. Returns false with WG_ERROR_INVALID
   on error; `settings` may then be filled in part and must still be cleared. */
bool wgi_load(const char* path, const wgi_key* keys, int num, void* settings, GError** error);
/* Prints all keys with their values, except secrets, as an INI file to standard output. */
void wgi_print(const wgi_key* keys, int num, const void* settings);
/* Prints the list of keys as a Markdown table to standard output. */
void wgi_print_help(const wgi_key* keys, int num);
/* Frees the texts in `settings`. */
void wgi_clear(const wgi_key* keys, int num, void* settings);
