#pragma once
/*
    wg_document.h -- whole documents as compressed bytes, alone or as the difference to another one

    WHAT IT DOES
        Packs a document for the wire and the log. With a base (an earlier document that the
        receiver holds) the result is what changed: a configuration of 700 routes takes about a
        hundred bytes for one changed route, whatever its size.

    FEATURES
        - no state: bytes in, bytes out
        - the packed bytes carry the document's size and a checksum; a wrong base, damaged or cut
          bytes are an error, never another document
        - a limit on the unpacked size, checked before memory is taken

    USE
        1. GBytes* packed = wg_document_pack(document, base);
        2. GBytes* document = wg_document_unpack(bytes, size, base, &error);
        3. GBytes* document = wg_document_read(message, base, &error);   // of a message

    THE CALLER OWNS
        all documents; results are released with g_bytes_unref().
*/
#include "wg_wire.h"

enum {
    WG_DOCUMENT_MAX = 16 << 20 /* bytes of one document, as large as an operator's order may be */
};

/* The document as what changed since `base`, or whole when `base` is NULL. Never NULL. */
GBytes* wg_document_pack(GBytes* document, GBytes* base);
/* The document that was packed with the same base; NULL with WG_ERROR_CORRUPT when the bytes or the
   base are not those, or when it would be larger than WG_DOCUMENT_MAX. */
GBytes* wg_document_unpack(const void* packed, size_t size, GBytes* base, GError** error);
/* The document of a message, packed or as it is; errors as above. */
GBytes* wg_document_read(const Wgpb__Configuration* message, GBytes* base, GError** error);
/* Put a packed document into a message, which borrows the bytes. */
void wg_document_fill(Wgpb__Configuration* message, uint64_t version, GBytes* packed);
