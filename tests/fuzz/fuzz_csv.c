/* fuzz_csv.c -- libFuzzer: CSV of each kind of table row; rows that are read must pack and unpack
 */
#include "wg_table.h"

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
    for (int kind = WGT_KIND_WORKSPACE; kind < WGT_KIND_NUM; kind++) {
        GArray* rows = NULL;
        GError* error = NULL;
        if (!wgt_csv_read((const char*)data, size, (wgt_kind)kind, &rows, &error)) {
            WG_ASSERT(error && error->message[0]);
            g_error_free(error);
            continue;
        }
        for (guint i = 0; i < rows->len; i++) {
            const wgt_row* row = &g_array_index(rows, wgt_row, i);
            Wgpb__Row packed;
            wgt_row_scratch scratch;
            wgt_row back;
            wgt_row_pack(row, &packed, &scratch);
            WG_ASSERT(wgt_row_unpack(&packed, &back));
        }
        g_array_unref(rows);
    }
    return 0;
}
