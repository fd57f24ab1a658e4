/* wg_event_stream.c -- see wg_event_stream.h */
#include "wg_event_stream.h"

#include <string.h>

size_t wg_event_size(const char* bytes, size_t size) {
    size_t line = 0;
    for (size_t i = 0; i < size; i++) {
        if (bytes[i] != '\n') {
            continue;
        }
        bool blank = i == line || (i == line + 1 && bytes[line] == '\r');
        if (blank && i > 1) {
            return i + 1;
        }
        line = i + 1;
    }
    return 0;
}

bool wg_event_next_line(const char** at, const char* end, const char** line, size_t* size) {
    if (*at >= end) {
        return false;
    }
    const char* newline = memchr(*at, '\n', (size_t)(end - *at));
    *line = *at;
    *size = (size_t)((newline ? newline : end) - *at);
    *at = newline ? newline + 1 : end;
    if (*size > 0 && (*line)[*size - 1] == '\r') {
        (*size)--;
    }
    return true;
}

bool wg_event_is_open(const char* bytes, size_t size) {
    const char* at = bytes;
    const char* end = bytes + size;
    const char* line;
    size_t length;
    while (wg_event_next_line(&at, end, &line, &length)) {
        bool ended = at[-1] == '\n';
        bool comment = length > 0 && line[0] == ':' && ended;
        if (length > 0 && !comment) {
            return true;
        }
    }
    return false;
}

static void wg_event_copy_id(const char* bytes, size_t size, char* id, size_t id_size) {
    const char* at = bytes;
    const char* line;
    size_t length;
    while (wg_event_next_line(&at, bytes + size, &line, &length)) {
        if (length <= 3 || memcmp(line, "id:", 3) != 0) {
            continue;
        }
        size_t skip = line[3] == ' ' ? 4 : 3;
        if (length - skip < id_size) {
            memcpy(id, line + skip, length - skip);
            id[length - skip] = 0;
        }
    }
}

wg_event_stream_result wg_event_stream_next(struct evbuffer* in, struct evbuffer* out, char* id,
                                            size_t id_size) {
    size_t available = evbuffer_get_length(in);
    if (available == 0) {
        return WG_EVENT_STREAM_MORE;
    }
    const char* bytes = (const char*)evbuffer_pullup(in, -1);
    size_t size = wg_event_size(bytes, available);
    if (size == 0) {
        return available > WG_EVENT_BYTES_MAX ? WG_EVENT_STREAM_BAD : WG_EVENT_STREAM_MORE;
    }
    wg_event_copy_id(bytes, size, id, id_size);
    evbuffer_remove_buffer(in, out, size);
    return WG_EVENT_STREAM_EVENT;
}
