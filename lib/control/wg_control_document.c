/* wg_control_document.c -- the newest configuration, and the differences from previous ones

   A connected host holds the configuration last sent to it, so a push carries only the
   difference. Each difference is packed once and shared by all hosts that need it. */
#include "wg_document.h"

#include "wg_control_internal.h"

enum {
    /* Previous configurations kept as bases. Connected hosts need one or two; the others let a
       host that reconnects after a few changes receive a difference instead of the complete
       document. */
    _WGCO_BASES_MAX = 6,
    _WGCO_BASES_SIZE = 2 << 20 /* total bytes of the bases; the newest is kept at any size */
};

/* ---- helpers ------------------------------------------------------------------------------- */

static void _wgco_base_free(void* data) {
    _wgco_base_t* base = data;
    g_bytes_unref(base->document);
    wgn_frame_unref(base->difference);
    g_free(base);
}

static void _wgco_bases_trim(GPtrArray* bases) {
    size_t size = 0;
    guint keep = 0;
    while (keep < MIN(bases->len, (guint)_WGCO_BASES_MAX)) {
        const _wgco_base_t* base = bases->pdata[keep];
        size += g_bytes_get_size(base->document);
        if (keep > 0 && size > _WGCO_BASES_SIZE) {
            break;
        }
        keep++;
    }
    g_ptr_array_set_size(bases, (gint)keep);
}

/* Turns the current document into a base and drops the frames that lead to it. */
static void _wgco_documents_retire(_wgco_documents_t* d) {
    for (guint i = 0; i < d->bases->len; i++) {
        _wgco_base_t* base = d->bases->pdata[i];
        g_clear_pointer(&base->difference, wgn_frame_unref);
    }
    g_clear_pointer(&d->complete_frame, wgn_frame_unref);
    if (d->document) {
        _wgco_base_t* base = g_new0(_wgco_base_t, 1);
        base->version = d->version;
        base->document = d->document;
        g_ptr_array_insert(d->bases, 0, base);
    }
    g_clear_pointer(&d->packed, g_bytes_unref);
}

static wgn_frame* _wgco_documents_pack(uint64_t version, GBytes* packed, uint64_t base_version) {
    Wgpb__Configuration message;
    wg_document_fill_message(&message, version, packed);
    message.base_version = base_version;
    return wgn_frame_pack(WGW_TYPE_CONFIGURATION, &message.base);
}

static wgn_frame* _wgco_documents_complete(_wgco_documents_t* d) {
    if (!d->complete_frame) {
        d->complete_frame = _wgco_documents_pack(d->version, d->packed, 0);
    }
    return d->complete_frame;
}

static wgn_frame* _wgco_base_difference(const _wgco_documents_t* d, _wgco_base_t* base) {
    if (!base->difference) {
        GBytes* packed = wg_document_pack(d->document, base->document);
        base->difference = _wgco_documents_pack(d->version, packed, base->version);
        g_bytes_unref(packed);
    }
    return base->difference;
}

/* ---- functions of the library -------------------------------------------------------------- */

void _wgco_documents_setup(_wgco_documents_t* d) {
    *d = (_wgco_documents_t){.bases = g_ptr_array_new_with_free_func(_wgco_base_free)};
}

void _wgco_documents_clear(_wgco_documents_t* d) {
    g_clear_pointer(&d->bases, g_ptr_array_unref);
    g_clear_pointer(&d->complete_frame, wgn_frame_unref);
    g_clear_pointer(&d->document, g_bytes_unref);
    g_clear_pointer(&d->packed, g_bytes_unref);
    d->version = 0;
}

bool _wgco_documents_apply(_wgco_documents_t* d, const Wgpb__Configuration* in, GError** error) {
    if (in->version <= d->version) {
        return false;
    }
    GBytes* document = wg_document_unpack_message(in, NULL, error);
    if (!document) {
        return false;
    }
    _wgco_documents_retire(d);
    d->version = in->version;
    d->document = document;
    d->packed = in->packed.len > 0 ? g_bytes_new(in->packed.data, in->packed.len)
                                   : wg_document_pack(document, NULL);
    _wgco_bases_trim(d->bases);
    return true;
}

wgn_frame* _wgco_documents_frame(_wgco_documents_t* d, uint64_t version) {
    if (!d->document || version >= d->version) {
        return NULL;
    }
    for (guint i = 0; i < d->bases->len; i++) {
        _wgco_base_t* base = d->bases->pdata[i];
        if (base->version == version) {
            return _wgco_base_difference(d, base);
        }
    }
    return _wgco_documents_complete(d);
}

bool _wgco_documents_fill(const _wgco_documents_t* d, Wgpb__Configuration* out) {
    if (d->packed) {
        wg_document_fill_message(out, d->version, d->packed);
    }
    return d->packed != NULL;
}
