/* wg_forward.c -- see wg_forward.h */
#include "wg_forward.h"

#include <string.h>

static bool _wg_forward_is_reserved(const wg_entry_names* names, wg_text name) {
    for (const char* const* at = names->reserved; at && *at; at++) {
        if (wg_text_equals_nocase(name, *at)) {
            return true;
        }
    }
    return false;
}

bool wg_forward_removes_field(const wg_entry_names* names, const wg_message_head* head,
                              wg_text name, bool resumes) {
    return wg_message_is_hop_field(head, name) || wg_text_equals_nocase(name, names->key) ||
           wg_text_equals_nocase(name, names->deadline) ||
           wg_text_equals_nocase(name, names->workspace) ||
           wg_text_equals_nocase(name, names->expected_target) ||
           wg_text_equals_nocase(name, names->copy_from) ||
           (resumes && wg_text_equals_nocase(name, names->last_event)) ||
           _wg_forward_is_reserved(names, name);
}

/* Adds one field. Without printf, as this runs for each field of each request. */
static void _wg_forward_add_field(struct evbuffer* out, const wg_message_pair* pair) {
    size_t size = pair->name.size + 2 + pair->value.size + 2;
    struct evbuffer_iovec space;
    int extents = evbuffer_reserve_space(out, (ev_ssize_t)size, &space, 1);
    WG_ASSERT(extents == 1);
    char* at = space.iov_base;
    memcpy(at, pair->name.text, pair->name.size);
    at += pair->name.size;
    *at++ = ':';
    *at++ = ' ';
    memcpy(at, pair->value.text, pair->value.size);
    at += pair->value.size;
    *at++ = '\r';
    *at = '\n';
    space.iov_len = size;
    evbuffer_commit_space(out, &space, 1);
}

static void _wg_forward_fields(const wg_entry_names* names, const wg_forward* f,
                               struct evbuffer* out) {
    const wg_message_head* head = f->head;
    bool resumes = f->last_event[0] != 0;
    for (int i = 0; i < head->fields_num; i++) {
        const wg_message_pair* pair = &head->fields[i];
        if (!wg_forward_removes_field(names, head, pair->name, resumes)) {
            _wg_forward_add_field(out, pair);
        }
    }
}

void wg_forward_write(const wg_entry_names* names, const wg_forward* f, struct evbuffer* out) {
    const wg_message_head* head = f->head;
    evbuffer_add_printf(out, "%.*s %.*s HTTP/1.1\r\n", (int)head->method.size, head->method.text,
                        (int)head->target.size, head->target.text);
    _wg_forward_fields(names, f, out);
    evbuffer_add_printf(out, "%s: %" G_GINT64_FORMAT "\r\n", names->deadline, f->deadline_ms);
    evbuffer_add_printf(out, "%s: %s\r\n", names->expected_target, f->target_id);
    if (f->workspace) {
        evbuffer_add_printf(out, "%s: %s\r\n", names->workspace, f->workspace);
    }
    if (f->copy_from) {
        evbuffer_add_printf(out, "%s: %s\r\n", names->copy_from, f->copy_from);
    }
    if (f->last_event[0]) {
        evbuffer_add_printf(out, "%s: %s\r\n", names->last_event, f->last_event);
    }
    if (head->framing != WG_FRAMING_NONE) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n", f->body_size);
    }
    evbuffer_add(out, "\r\n", 2);
}
