/* folder.c -- see folder.h */
#include "folder.h"

#include <glib.h>
#include <glib/gstdio.h>

void folder_wipe(const char* folder) {
    GDir* dir = g_dir_open(folder, 0, NULL);
    if (!dir) {
        return;
    }
    const char* name;
    while ((name = g_dir_read_name(dir))) {
        char* path = g_build_filename(folder, name, NULL);
        g_unlink(path);
        g_free(path);
    }
    g_dir_close(dir);
}
