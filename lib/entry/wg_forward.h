#pragma once
/*
    wg_forward.h -- the head of a caller's request as a target gets it, as a pure function

    WHAT IT DOES
        Copies the caller's fields, but for those that concern one connection only, those that
        entry hosts set themselves, and those that only this system may set. A target obeys the
        latter (it sets memory aside, or takes it over from another target), so whatever a caller
        sends under these names is left out, in any case of letters and however often it comes.

    USE
        wg_forward_write(names, &(wg_forward){.head = &head, .target_id = id, ...}, out);

    THE CALLER OWNS
        everything that is passed in; nothing is kept.
*/
#include "wg_entry.h"
#include "wg_message.h"

/* What a target is told beside the caller's own fields. */
typedef struct {
    const wg_message_head* head; /* of the caller's request */
    int64_t deadline_ms;         /* milliseconds that are left */
    const char* target_id;       /* the target that is meant */
    const char* workspace;       /* NULL on open routes */
    const char* copy_from;       /* ip:port of a target that holds a part of the prompt, or NULL */
    const char* last_event;      /* "" unless a stream goes on after this event */
    size_t body_size;            /* bytes; told unless the request has no body */
} wg_forward;

/* Is a caller's field of this name left out? `resumes`: a stream goes on, so this host knows the
   last event better than the caller. */
bool wg_forward_drops(const wg_entry_names* names, const wg_message_head* head, wg_text name,
                      bool resumes);
/* Append the whole head with its empty line. */
void wg_forward_write(const wg_entry_names* names, const wg_forward* forward, struct evbuffer* out);
