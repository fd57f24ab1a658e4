/* slow_sync.c -- preloaded into a process, delays its disk syncs

   Stands in for a disk whose syncs take long while other programs write. The environment variable
   WG_SLOW_SYNC_FILE names a file that holds the delay in milliseconds; it is read at each sync, so
   that a test can change the delay. No file, or no number in it: no delay. */
#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

typedef int (*sync_function)(int fd);

static void wait_before_sync(void) {
    const char* path = getenv("WG_SLOW_SYNC_FILE");
    FILE* file = path ? fopen(path, "re") : NULL;
    int ms = 0;
    if (!file) {
        return;
    }
    if (fscanf(file, "%d", &ms) == 1 && ms > 0) {
        usleep((useconds_t)ms * 1000);
    }
    fclose(file);
}

static int sync_with(const char* name, int fd) {
    sync_function next = (sync_function)dlsym(RTLD_NEXT, name);
    wait_before_sync();
    return next(fd);
}

int fsync(int fd) {
    return sync_with("fsync", fd);
}

int fdatasync(int fd) {
    return sync_with("fdatasync", fd);
}
