#pragma once
/*
    wg_document.h -- compresses documents, alone or as the difference from a base

    WHAT IT DOES
        Packs a document for the wire and the log. With a base (an earlier document that the
        receiver holds) the result holds only what changed, so its size depends on the change and
        not on the document.

    FEATURES
        - no state: bytes in, bytes out
        - the packed bytes carry the document's size and a checksum; a wrong base, damaged or
          truncated bytes are an error, never another document
        - the unpacked size is limited and checked before memory is allocated

    USE
        1. GBytes* packed = wg_document_pack(document, base);
        2. GBytes* document = wg_document_unpack(bytes, size, base, &error);
        3. GBytes* document = wg_document_unpack_message(message, base, &error);   // from a message

    THE CALLER OWNS
        all documents; results are released with g_bytes_unref().
*/
#include "wg_wire.h"

enum {
    WG_DOCUMENT_MAX = 16 << 20 /* bytes of a document, as for an operator's order */
};

/* Packs `document` as a difference from `base`, or completely if `base` is NULL. Never NULL. */
GBytes* wg_document_pack(GBytes* document, GBytes* base);
/* Unpacks a document that was packed with the same `base`. NULL with WG_ERROR_CORRUPT if the
   bytes are damaged, the base differs, or the document would exceed WG_DOCUMENT_MAX. */
GBytes* wg_document_unpack(const void* packed, size_t size, GBytes* base, GError** error);
/* Returns a message's document, packed or plain; fails like wg_document_unpack(). */
GBytes* wg_document_unpack_message(const Wgpb__Configuration* message, GBytes* base,
                                   GError** error);
/* Initialises a message with a packed document, whose bytes it borrows. */
void wg_document_fill_message(Wgpb__Configuration* message, uint64_t version, GBytes* packed);
