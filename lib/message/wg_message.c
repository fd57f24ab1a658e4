/* wg_message.c -- see wg_message.h */
#include "wg_message.h"

#include <string.h>

/* ---- texts --------------------------------------------------------------------------------- */

/* Inlined, unlike g_ascii_tolower(), as each name of a head is compared. */
static char wg_lower(char c) {
    return c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
}

/* Compares the last character first: names of the same length often begin alike. Equal names are
   mostly written alike. */
static bool wg_matches_nocase(const char* text, const char* word, size_t size) {
    if (size > 0 && wg_lower(text[size - 1]) != wg_lower(word[size - 1])) {
        return false;
    }
    return memcmp(text, word, size) == 0 || g_ascii_strncasecmp(text, word, size) == 0;
}

/* `size`: length of `word`, so that a search determines it once. */
static inline bool wg_text_equals_sized(wg_text text, const char* word, size_t size) {
    return text.size == size && text.text && wg_matches_nocase(text.text, word, size);
}

bool wg_text_equals_nocase(wg_text text, const char* word) {
    return wg_text_equals_sized(text, word, strlen(word));
}

bool wg_text_number(wg_text text, int64_t* number) {
    enum {
        DIGITS_MAX = 15
    };
    if (!text.text || text.size == 0 || text.size > DIGITS_MAX) {
        return false;
    }
    int64_t value = 0;
    for (size_t i = 0; i < text.size; i++) {
        if (!g_ascii_isdigit(text.text[i])) {
            return false;
        }
        value = value * 10 + (text.text[i] - '0');
    }
    *number = value;
    return true;
}

char* wg_text_dup(wg_text text) {
    return text.text ? g_strndup(text.text, text.size) : NULL;
}

static wg_text wg_text_trim(wg_text text) {
    while (text.size && (text.text[0] == ' ' || text.text[0] == '\t')) {
        text.text++;
        text.size--;
    }
    while (text.size && (text.text[text.size - 1] == ' ' || text.text[text.size - 1] == '\t')) {
        text.size--;
    }
    return text;
}

/* Takes the next item off a comma-separated list. False at its end. */
static bool wg_text_next_item(wg_text* list, wg_text* item) {
    if (list->size == 0) {
        return false;
    }
    const char* comma = memchr(list->text, ',', list->size);
    size_t size = comma ? (size_t)(comma - list->text) : list->size;
    *item = wg_text_trim((wg_text){list->text, size});
    size_t step = comma ? size + 1 : size;
    list->text += step;
    list->size -= step;
    return true;
}

/* ---- characters ---------------------------------------------------------------------------- */

/* tchar of RFC 9110, 5.6.2 */
static bool wg_is_token_char(char c) {
    return g_ascii_isalnum(c) || c == '-' || (c && strchr("!#$%&'*+.^_`|~", c));
}

static bool wg_is_token(wg_text text) {
    for (size_t i = 0; i < text.size; i++) {
        if (!wg_is_token_char(text.text[i])) {
            return false;
        }
    }
    return text.size > 0;
}

static bool wg_is_field_value(wg_text text) {
    for (size_t i = 0; i < text.size; i++) {
        unsigned char c = (unsigned char)text.text[i];
        if ((c < 0x20 && c != '\t') || c == 0x7f) {
            return false;
        }
    }
    return true;
}

/* ---- heads --------------------------------------------------------------------------------- */

size_t wg_message_head_size(const char* bytes, size_t size) {
    const char* end = bytes + size;
    const char* at = bytes;
    while ((at = memchr(at, '\n', (size_t)(end - at)))) {
        at++;
        if (at - bytes >= 4 && memcmp(at - 4, "\r\n\r\n", 4) == 0) {
            return (size_t)(at - bytes);
        }
    }
    return 0;
}

wg_text wg_message_field(const wg_message_head* head, const char* name) {
    size_t size = strlen(name);
    for (int i = 0; i < head->fields_num; i++) {
        if (wg_text_equals_sized(head->fields[i].name, name, size)) {
            return head->fields[i].value;
        }
    }
    return (wg_text){0};
}

int wg_message_field_num(const wg_message_head* head, const char* name) {
    int num = 0;
    size_t size = strlen(name);
    for (int i = 0; i < head->fields_num; i++) {
        num += wg_text_equals_sized(head->fields[i].name, name, size);
    }
    return num;
}

/* Reads one line that ends with CR LF. False if there is none, or if it has a bare CR or LF. */
static bool wg_next_line(const char** at, const char* end, wg_text* line) {
    const char* newline = memchr(*at, '\n', (size_t)(end - *at));
    if (!newline || newline == *at || newline[-1] != '\r') {
        return false;
    }
    *line = (wg_text){*at, (size_t)(newline - 1 - *at)};
    *at = newline + 1;
    return memchr(line->text, '\r', line->size) == NULL;
}

/* Returns 0, or the HTTP status to refuse the head with. */
static int wg_parse_fields(const char* at, const char* end, wg_message_head* head) {
    for (;;) {
        wg_text line;
        if (!wg_next_line(&at, end, &line)) {
            return 400;
        }
        if (line.size == 0) {
            return 0;
        }
        const char* colon = memchr(line.text, ':', line.size);
        if (!colon) {
            return 400;
        }
        wg_text name = {line.text, (size_t)(colon - line.text)};
        wg_text value = {colon + 1, line.size - name.size - 1};
        value = wg_text_trim(value);
        if (!wg_is_token(name) || !wg_is_field_value(value)) {
            return 400;
        }
        if (head->fields_num == WG_MESSAGE_FIELDS_MAX) {
            return 431;
        }
        head->fields[head->fields_num++] = (wg_message_pair){name, value};
    }
}

static bool wg_field_has_item(const wg_message_head* head, const char* field, const char* word) {
    size_t size = strlen(field);
    for (int i = 0; i < head->fields_num; i++) {
        if (!wg_text_equals_sized(head->fields[i].name, field, size)) {
            continue;
        }
        wg_text list = head->fields[i].value;
        wg_text item;
        while (wg_text_next_item(&list, &item)) {
            if (wg_text_equals_nocase(item, word)) {
                return true;
            }
        }
    }
    return false;
}

static void wg_parse_keep_alive(wg_message_head* head) {
    head->keep_alive = head->minor >= 1 ? !wg_field_has_item(head, "Connection", "close")
                                        : wg_field_has_item(head, "Connection", "keep-alive");
    head->keep_alive_seconds = -1;
    wg_text list = wg_message_field(head, "Keep-Alive");
    wg_text item;
    while (list.text && wg_text_next_item(&list, &item)) {
        static const char key[] = "timeout=";
        size_t skip = sizeof key - 1;
        if (item.size > skip && g_ascii_strncasecmp(item.text, key, skip) == 0) {
            wg_text_number((wg_text){item.text + skip, item.size - skip},
                           &head->keep_alive_seconds);
        }
    }
}

/* Sets the framing from Content-Length and Transfer-Encoding. False if they are ambiguous. */
static bool wg_parse_framing(wg_message_head* head) {
    int lengths = wg_message_field_num(head, "Content-Length");
    int codings = wg_message_field_num(head, "Transfer-Encoding");
    head->framing = WG_FRAMING_NONE;
    if (lengths > 1 || codings > 1 || (lengths && codings)) {
        return false;
    }
    if (codings) {
        head->framing = WG_FRAMING_CHUNKED;
        return head->minor >= 1 &&
               wg_text_equals_nocase(wg_message_field(head, "Transfer-Encoding"), "chunked");
    }
    if (lengths) {
        head->framing = WG_FRAMING_LENGTH;
        return wg_text_number(wg_message_field(head, "Content-Length"), &head->length);
    }
    return true;
}

static bool wg_parse_version(wg_text text, wg_message_head* head) {
    static const char prefix[] = "HTTP/1.";
    size_t skip = sizeof prefix - 1;
    if (text.size != skip + 1 || memcmp(text.text, prefix, skip) != 0 ||
        !g_ascii_isdigit(text.text[skip])) {
        return false;
    }
    head->minor = text.text[skip] - '0';
    return true;
}

static bool wg_split_word(wg_text* line, wg_text* word) {
    const char* blank = memchr(line->text, ' ', line->size);
    if (!blank || blank == line->text) {
        return false;
    }
    *word = (wg_text){line->text, (size_t)(blank - line->text)};
    line->text = blank + 1;
    line->size -= word->size + 1;
    return true;
}

static bool wg_is_target(wg_text target) {
    for (size_t i = 0; i < target.size; i++) {
        unsigned char c = (unsigned char)target.text[i];
        if (c <= 0x20 || c >= 0x7f) {
            return false;
        }
    }
    return target.size > 0 && (target.text[0] == '/' || wg_text_equals_nocase(target, "*"));
}

int wg_message_parse_request(const char* bytes, size_t size, wg_message_head* head) {
    const char* at = bytes;
    wg_text line;
    *head = (wg_message_head){.keep_alive_seconds = -1};
    if (!wg_next_line(&at, bytes + size, &line) || !wg_split_word(&line, &head->method) ||
        !wg_split_word(&line, &head->target)) {
        return 400;
    }
    if (!wg_is_token(head->method) || !wg_is_target(head->target)) {
        return 400;
    }
    if (!wg_parse_version(line, head)) {
        return line.size > 5 && memcmp(line.text, "HTTP/", 5) == 0 ? 505 : 400;
    }
    int status = wg_parse_fields(at, bytes + size, head);
    if (status) {
        return status;
    }
    int hosts = wg_message_field_num(head, "Host");
    if (hosts > 1 || (hosts == 0 && head->minor >= 1) || !wg_parse_framing(head)) {
        return 400;
    }
    wg_parse_keep_alive(head);
    return 0;
}

bool wg_message_parse_answer(const char* bytes, size_t size, bool bodiless, wg_message_head* head) {
    const char* at = bytes;
    wg_text line;
    wg_text version;
    int64_t status;
    *head = (wg_message_head){.keep_alive_seconds = -1};
    if (!wg_next_line(&at, bytes + size, &line) || !wg_split_word(&line, &version) ||
        !wg_parse_version(version, head) || line.size < 3 ||
        !wg_text_number((wg_text){line.text, 3}, &status) ||
        (line.size > 3 && line.text[3] != ' ')) {
        return false;
    }
    head->status = (int)status;
    if (status < 100 || status > 599 || wg_parse_fields(at, bytes + size, head) != 0 ||
        !wg_parse_framing(head)) {
        return false;
    }
    wg_parse_keep_alive(head);
    if (bodiless || status < 200 || status == 204 || status == 304) {
        head->framing = WG_FRAMING_NONE;
    } else if (head->framing == WG_FRAMING_NONE) {
        head->framing = WG_FRAMING_CLOSE;
        head->keep_alive = false;
    }
    return true;
}

bool wg_message_is_hop_field(const wg_message_head* head, wg_text name) {
    static const char* const hop[] = {"Connection",
                                      "Keep-Alive",
                                      "Proxy-Authenticate",
                                      "Transfer-Encoding",
                                      "TE",
                                      "Trailer",
                                      "Proxy-Connection",
                                      "Proxy-Authorization",
                                      "Upgrade",
                                      "Content-Length",
                                      "Expect"};
    for (size_t i = 0; i < G_N_ELEMENTS(hop); i++) {
        if (wg_text_equals_nocase(name, hop[i])) {
            return true;
        }
    }
    char word[WG_NAME_MAX];
    if (name.size >= sizeof word) {
        return false;
    }
    memcpy(word, name.text, name.size);
    word[name.size] = 0;
    return wg_field_has_item(head, "Connection", word);
}

/* ---- bodies -------------------------------------------------------------------------------- */

enum {
    WG_CHUNK_SIZE_LINE = 0,
    WG_CHUNK_DATA,
    WG_CHUNK_DATA_END,
    WG_CHUNK_TRAILER
};

void wg_body_begin(wg_body* body, const wg_message_head* head) {
    *body = (wg_body){.framing = head->framing, .remaining = head->length};
}

static void wg_body_move(wg_body* body, struct evbuffer* in, struct evbuffer* out) {
    size_t available = evbuffer_get_length(in);
    size_t moved = body->framing == WG_FRAMING_CLOSE
                       ? available
                       : (size_t)MIN((int64_t)available, body->remaining);
    if (moved == available && evbuffer_get_length(out) == 0) {
        evbuffer_add_buffer(out, in);
    } else {
        evbuffer_remove_buffer(in, out, moved);
    }
    body->decoded += (int64_t)moved;
    if (body->framing != WG_FRAMING_CLOSE) {
        body->remaining -= (int64_t)moved;
    }
}

/* Size in a chunk size line, -1 if malformed. */
static int64_t wg_chunk_size(const char* line, size_t size) {
    enum {
        HEX_DIGITS_MAX = 8
    };
    int64_t value = 0;
    size_t i = 0;
    for (; i < size && g_ascii_isxdigit(line[i]); i++) {
        if (i == HEX_DIGITS_MAX) {
            return -1;
        }
        value = value * 16 + g_ascii_xdigit_value(line[i]);
    }
    bool terminated = i == size || line[i] == ';';
    return i > 0 && terminated ? value : -1;
}

/* First line ending in `bytes`, NULL if there is none. */
static const char* wg_line_end(const char* bytes, size_t size) {
    const char* end = bytes + size;
    const char* at = bytes;
    while (at < end && (at = memchr(at, '\n', (size_t)(end - at)))) {
        if (at > bytes && at[-1] == '\r') {
            return at - 1;
        }
        at++;
    }
    return NULL;
}

/* Reads one line of a chunked body. Returns 1 for a line, 0 if more bytes are needed, -1 if it is
   malformed. */
static int wg_chunk_line(struct evbuffer* in, char* line, size_t* size) {
    enum {
        LOOK_MAX = WG_CHUNK_LINE_MAX + 1 /* the longest line and its ending */
    };
    size_t available = evbuffer_get_length(in);
    size_t look = MIN(available, (size_t)LOOK_MAX);
    if (look == 0) {
        return 0;
    }
    const char* bytes = (const char*)evbuffer_pullup(in, (ev_ssize_t)look);
    const char* end = wg_line_end(bytes, look);
    if (!end) {
        return available > WG_CHUNK_LINE_MAX ? -1 : 0;
    }
    *size = (size_t)(end - bytes);
    memcpy(line, bytes, *size);
    evbuffer_drain(in, *size + 2);
    return 1;
}

static wg_body_state wg_body_read_chunked(wg_body* body, struct evbuffer* in,
                                          struct evbuffer* out) {
    char line[WG_CHUNK_LINE_MAX];
    size_t size;
    for (;;) {
        if (body->step == WG_CHUNK_DATA) {
            wg_body_move(body, in, out);
            if (body->remaining > 0) {
                return WG_BODY_MORE;
            }
            body->step = WG_CHUNK_DATA_END;
        }
        int result = wg_chunk_line(in, line, &size);
        if (result <= 0) {
            return result < 0 ? WG_BODY_BAD : WG_BODY_MORE;
        }
        if (body->step == WG_CHUNK_DATA_END) {
            if (size != 0) {
                return WG_BODY_BAD;
            }
            body->step = WG_CHUNK_SIZE_LINE;
        } else if (body->step == WG_CHUNK_TRAILER) {
            if (size == 0) {
                return WG_BODY_COMPLETE;
            }
            body->trailers += (int64_t)size;
            if (body->trailers > WG_TRAILERS_MAX) {
                return WG_BODY_BAD;
            }
        } else {
            body->remaining = wg_chunk_size(line, size);
            if (body->remaining < 0) {
                return WG_BODY_BAD;
            }
            body->step = body->remaining == 0 ? WG_CHUNK_TRAILER : WG_CHUNK_DATA;
        }
    }
}

wg_body_state wg_body_read(wg_body* body, struct evbuffer* in, struct evbuffer* out) {
    switch (body->framing) {
    case WG_FRAMING_NONE:
        return WG_BODY_COMPLETE;
    case WG_FRAMING_LENGTH:
        wg_body_move(body, in, out);
        return body->remaining == 0 ? WG_BODY_COMPLETE : WG_BODY_MORE;
    case WG_FRAMING_CHUNKED:
        return wg_body_read_chunked(body, in, out);
    case WG_FRAMING_CLOSE:
        wg_body_move(body, in, out);
        return WG_BODY_MORE;
    }
    return WG_BODY_BAD;
}
