/* loopback.c -- see loopback.h */
#include "loopback.h"

#include "wg_net.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    PART_MIN = 2,
    PARTS_NUM = 240
};

bool loopback_is_bindable(const char* address) {
    struct sockaddr_storage at;
    int size = 0;
    WG_ASSERT(wgn_parse_address(address, &at, &size));
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    bool free = bind(fd, (struct sockaddr*)&at, (socklen_t)size) == 0;
    close(fd);
    return free;
}

bool loopback_are_bindable(int part, const char* const* patterns, int num) {
    for (int i = 0; i < num; i++) {
        char address[WG_ADDRESS_MAX];
        g_snprintf(address, sizeof address, patterns[i], part);
        if (!loopback_is_bindable(address)) {
            return false;
        }
    }
    return true;
}

int loopback_reserve(bool (*is_free)(int part)) {
    for (int i = 0; i < PARTS_NUM; i++) {
        int part = PART_MIN + (getpid() + i) % PARTS_NUM;
        char path[48];
        g_snprintf(path, sizeof path, "/tmp/wg-fleet-host-%d.lock", part);
        int fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (fd >= 0 && flock(fd, LOCK_EX | LOCK_NB) == 0 && (!is_free || is_free(part))) {
            return part; /* the lock is held until this process exits */
        }
        close(fd);
    }
    wg_assert_failed("a free part of the loopback addresses", __FILE__, __LINE__);
}

int loopback_part(void) {
    static int part;
    static pid_t owner; /* a forked child takes a part of its own */
    if (owner != getpid()) {
        owner = getpid();
        part = loopback_reserve(NULL);
    }
    return part;
}
