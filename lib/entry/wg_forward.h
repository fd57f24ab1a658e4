#pragma once
/*
    wg_forward.h -- builds the request head sent to a target, as a pure function

    WHAT IT DOES
        Copies the caller's header fields except hop-by-hop fields, fields that entry hosts set,
        and reserved fields (wg_entry_names.reserved). Targets trust the latter two (for example to
        reserve memory or to copy it from another target), so all occurrences in a caller's request
        are removed, regardless of case.

    USE
        wg_forward_write(names, &(wg_forward){.head = &head, .target_id = id, ...}, out);

    THE CALLER OWNS
        all arguments; no reference is kept.
*/
#include "wg_entry.h"
#include "wg_message.h"

/* Values of the fields added to the caller's. */
typedef struct {
    const wg_message_head* head; /* head of the caller's request */
    int64_t deadline_ms;         /* milliseconds left */
    const char* target_id;       /* id of the intended target */
    const char* workspace;       /* NULL on open routes */
    const char* copy_from;  /* ip:port of a target that has a part of the prompt cached, or NULL */
    const char* last_event; /* id of the event after which a stream resumes; "": none */
    size_t body_size;       /* bytes; ignored if the request has no body */
} wg_forward;

/* Whether a caller's field of this name is removed. `resumes`: a stream is resumed, so this host
   sets the id of the last event itself. */
bool wg_forward_removes_field(const wg_entry_names* names, const wg_message_head* head,
                              wg_text name, bool resumes);
/* Appends the complete head, including the empty line. */
void wg_forward_write(const wg_entry_names* names, const wg_forward* forward, struct evbuffer* out);
