/* fuzz_settings.c -- libFuzzer: settings files of a router */
#include <unistd.h>

#include "wg_router.h"

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
    static char path[32];
    if (!path[0]) {
        g_strlcpy(path, "/tmp/wgi-fuzz-XXXXXX", sizeof path);
        close(g_mkstemp(path));
    }
    g_file_set_contents(path, (const char*)data, (gssize)size, NULL);
    wgro_settings settings = {0};
    GError* error = NULL;
    if (!wgi_load(path, wgro_keys, wgro_keys_num, &settings, &error)) {
        WG_ASSERT(error && error->message[0]);
        g_error_free(error);
    }
    wgi_clear(wgro_keys, wgro_keys_num, &settings);
    return 0;
}
