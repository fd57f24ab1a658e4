/* wg_document.c -- see wg_document.h */
#include "wg_document.h"

#include <zstd.h>

enum {
    WG_DOCUMENT_LEVEL = 3,       /* zstd compression level, 1 to 22 */
    WG_DOCUMENT_WINDOW_MIN = 17, /* log2 of bytes; smaller windows save little memory */
    WG_DOCUMENT_WINDOW_MAX = 25  /* log2 of bytes; spans two documents of WG_DOCUMENT_MAX bytes */
};

/* ---- helpers ------------------------------------------------------------------------------- */

/* Returns log2 of a window that spans the document and its base. */
static int wg_document_window(size_t size, size_t base_size) {
    int window_log = WG_DOCUMENT_WINDOW_MIN;
    while (window_log < WG_DOCUMENT_WINDOW_MAX && ((size_t)1 << window_log) < size + base_size) {
        window_log++;
    }
    return window_log;
}

static GBytes* wg_document_error(GError** error, const char* why) {
    g_set_error(error, WG_ERROR, WG_ERROR_CORRUPT, "packed document: %s", why);
    return NULL;
}

/* ---- public functions ---------------------------------------------------------------------- */

GBytes* wg_document_pack(GBytes* document, GBytes* base) {
    gsize size = 0;
    gsize base_size = 0;
    const void* data = g_bytes_get_data(document, &size);
    const void* base_data = base ? g_bytes_get_data(base, &base_size) : NULL;
    ZSTD_CCtx* context = ZSTD_createCCtx();
    ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, WG_DOCUMENT_LEVEL);
    ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
    if (base) {
        int window = wg_document_window(size, base_size);
        ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, window);
        ZSTD_CCtx_refPrefix(context, base_data, base_size);
    }
    size_t packed_max = ZSTD_compressBound(size);
    void* packed = g_malloc(packed_max);
    size_t packed_size = ZSTD_compress2(context, packed, packed_max, data, size);
    ZSTD_freeCCtx(context);
    WG_ASSERT(!ZSTD_isError(packed_size)); /* packed_max is the worst case */
    return g_bytes_new_take(g_realloc(packed, MAX(packed_size, 1)), packed_size);
}

GBytes* wg_document_unpack(const void* packed, size_t size, GBytes* base, GError** error) {
    unsigned long long content_size = ZSTD_getFrameContentSize(packed, size);
    if (content_size == ZSTD_CONTENTSIZE_UNKNOWN || content_size == ZSTD_CONTENTSIZE_ERROR) {
        return wg_document_error(error, "the header is damaged");
    }
    if (content_size > WG_DOCUMENT_MAX) {
        return wg_document_error(error, "it exceeds the size limit");
    }
    gsize base_size = 0;
    const void* base_data = base ? g_bytes_get_data(base, &base_size) : NULL;
    ZSTD_DCtx* context = ZSTD_createDCtx();
    ZSTD_DCtx_refPrefix(context, base_data, base_size);
    void* document = g_malloc(MAX(content_size, 1));
    size_t unpacked_size = ZSTD_decompressDCtx(context, document, content_size, packed, size);
    ZSTD_freeDCtx(context);
    if (ZSTD_isError(unpacked_size) || unpacked_size != content_size) {
        g_free(document);
        return wg_document_error(error, ZSTD_isError(unpacked_size)
                                            ? ZSTD_getErrorName(unpacked_size)
                                            : "it is truncated");
    }
    return g_bytes_new_take(document, content_size);
}

GBytes* wg_document_unpack_message(const Wgpb__Configuration* message, GBytes* base,
                                   GError** error) {
    if (message->packed.len > 0) {
        return wg_document_unpack(message->packed.data, message->packed.len, base, error);
    }
    return g_bytes_new(message->document.data, message->document.len);
}

void wg_document_fill_message(Wgpb__Configuration* message, uint64_t version, GBytes* packed) {
    gsize size;
    const void* data = g_bytes_get_data(packed, &size);
    wgpb__configuration__init(message);
    message->version = version;
    message->packed = (ProtobufCBinaryData){size, (uint8_t*)data};
}
