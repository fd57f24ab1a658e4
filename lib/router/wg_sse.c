/* wg_sse.c -- see wg_sse.h */
#include "wg_sse.h"

#include <jansson.h>
#include <string.h>

#include "wg_event_stream.h"

/* ---- helpers ------------------------------------------------------------------------------ */

static void _wgx_parse_line(const char* line, size_t size, wgx_sse_event* event) {
    static const char done[] = "[DONE]";
    if (size >= 5 && memcmp(line, "data:", 5) == 0) {
        const char* value = line + 5;
        size_t length = size - 5;
        if (length > 0 && value[0] == ' ') {
            value++;
            length--;
        }
        event->data = true;
        event->done = length == sizeof done - 1 && memcmp(value, done, length) == 0;
        if (memmem(value, length, "\"usage\"", 7)) {
            event->cost = wgx_usage_cost(value, length);
            event->usage = event->cost >= 0;
        }
    } else if (size > 3 && memcmp(line, "id:", 3) == 0) {
        char text[24] = "";
        memcpy(text, line + 3, MIN(size - 3, sizeof text - 1));
        guint64 id;
        if (g_ascii_string_to_unsigned(g_strstrip(text), 10, 0, INT64_MAX, &id, NULL)) {
            event->id = (int64_t)id;
        }
    }
}

static void _wgx_parse_lines(const char* text, size_t size, wgx_sse_event* event) {
    const char* at = text;
    const char* line;
    size_t length;
    *event = (wgx_sse_event){.id = -1};
    while (wg_event_next_line(&at, text + size, &line, &length)) {
        _wgx_parse_line(line, length, event);
    }
}

/* ---- public functions --------------------------------------------------------------------- */

wgx_sse_result wgx_sse_next(struct evbuffer* in, struct evbuffer* out, wgx_sse_event* event) {
    size_t have = evbuffer_get_length(in);
    const char* text = (const char*)evbuffer_pullup(in, -1);
    size_t length = have ? wg_event_size(text, have) : 0;
    if (length == 0) {
        return have > WG_EVENT_BYTES_MAX ? WGX_SSE_TOO_LONG : WGX_SSE_INCOMPLETE;
    }
    _wgx_parse_lines(text, length, event);
    evbuffer_remove_buffer(in, out, length);
    return WGX_SSE_EVENT;
}

int64_t wgx_usage_cost(const char* text, size_t size) {
    json_t* json = json_loadb(text, size, 0, NULL);
    json_t* usage = json_object_get(json, "usage");
    int64_t cost = -1;
    if (json_is_object(usage)) {
        cost = json_integer_value(json_object_get(usage, "prompt_tokens")) +
               json_integer_value(json_object_get(usage, "completion_tokens"));
    }
    json_decref(json);
    return cost;
}
