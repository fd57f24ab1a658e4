/* wg_sse.c -- see wg_sse.h */
#include "wg_sse.h"

#include <jansson.h>
#include <string.h>

/* ---- helpers ------------------------------------------------------------------------------ */

static void _wgx_take_line(const char* line, size_t size, wgx_sse_event* event) {
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

static void _wgx_take_lines(const char* text, size_t size, wgx_sse_event* event) {
    *event = (wgx_sse_event){.id = -1};
    while (size > 0) {
        const char* end = memchr(text, '\n', size);
        size_t length = end ? (size_t)(end - text) : size;
        size_t bare = length > 0 && text[length - 1] == '\r' ? length - 1 : length;
        _wgx_take_line(text, bare, event);
        size_t step = MIN(length + 1, size);
        text += step;
        size -= step;
    }
}

/* Length of the first event with its blank line, or 0. */
static size_t _wgx_event_length(struct evbuffer* in) {
    struct evbuffer_ptr lf = evbuffer_search(in, "\n\n", 2, NULL);
    struct evbuffer_ptr crlf = evbuffer_search(in, "\r\n\r\n", 4, NULL);
    bool crlf_first = crlf.pos >= 0 && (lf.pos < 0 || crlf.pos < lf.pos);
    if (crlf_first) {
        return (size_t)crlf.pos + 4;
    }
    return lf.pos >= 0 ? (size_t)lf.pos + 2 : 0;
}

/* ---- public functions --------------------------------------------------------------------- */

wgx_sse_result wgx_sse_next(struct evbuffer* in, struct evbuffer* out, wgx_sse_event* event) {
    size_t length = _wgx_event_length(in);
    if (length == 0) {
        return evbuffer_get_length(in) > WGX_EVENT_MAX ? WGX_SSE_TOO_LONG : WGX_SSE_MORE;
    }
    const char* text = (const char*)evbuffer_pullup(in, (ev_ssize_t)length);
    _wgx_take_lines(text, length, event);
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
