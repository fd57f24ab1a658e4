/* wg_cache_list.c -- see wg_cache_list.h */
#include "wg_cache_list.h"

#include <jansson.h>
#include <string.h>

enum {
    _WG_CACHE_ID = 1, /* indices in the array of a part */
    _WG_CACHE_TOKENS = 2
};

GArray* wg_cache_list_parse(const char* bytes, size_t size) {
    json_t* json = json_loadb(bytes, size, 0, NULL);
    const json_t* held = json_object_get(json, "held");
    if (!json_is_array(held)) {
        json_decref(json);
        return NULL;
    }
    GArray* parts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (size_t i = 0; i < json_array_size(held); i++) {
        const json_t* part = json_array_get(held, i);
        const char* id = json_string_value(json_array_get(part, _WG_CACHE_ID));
        if (id && json_number_value(json_array_get(part, _WG_CACHE_TOKENS)) > 0) {
            uint64_t hash = wg_hash(id, strlen(id), 0);
            g_array_append_val(parts, hash);
        }
    }
    json_decref(json);
    return parts;
}
