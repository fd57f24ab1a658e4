/* wg_store_file.c -- see wg_store_file.h */
#include "wg_store_file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "wg_store.h"

static int (*_wgs_fault)(_wgs_change change, void* user_data);
static void* _wgs_fault_data;

void _wgs_set_fault(int (*fault)(_wgs_change change, void* user_data), void* user_data) {
    _wgs_fault = fault;
    _wgs_fault_data = user_data;
}

static bool _wgs_inject_fault(_wgs_change change) {
    int failure = _wgs_fault ? _wgs_fault(change, _wgs_fault_data) : 0;
    if (failure) {
        errno = failure;
    }
    return failure != 0;
}

ssize_t _wgs_write(int fd, const void* data, size_t size) {
    return _wgs_inject_fault(_WGS_CHANGE_WRITE) ? -1 : write(fd, data, size);
}

ssize_t _wgs_pwrite(int fd, const void* data, size_t size, off_t at) {
    return _wgs_inject_fault(_WGS_CHANGE_WRITE) ? -1 : pwrite(fd, data, size, at);
}

int _wgs_truncate_file(int fd, off_t size) {
    return _wgs_inject_fault(_WGS_CHANGE_TRUNCATE) ? -1 : ftruncate(fd, size);
}

int _wgs_sync_data(int fd) {
    return _wgs_inject_fault(_WGS_CHANGE_SYNC_FILE) ? -1 : fdatasync(fd);
}

int _wgs_sync(int fd) {
    return _wgs_inject_fault(_WGS_CHANGE_SYNC_FILE) ? -1 : fsync(fd);
}

int _wgs_create(int folder_fd, const char* name, int flags) {
    return _wgs_inject_fault(_WGS_CHANGE_CREATE)
               ? -1
               : openat(folder_fd, name, flags | O_CREAT | O_CLOEXEC, 0600);
}

int _wgs_rename(int folder_fd, const char* from, const char* to) {
    return _wgs_inject_fault(_WGS_CHANGE_RENAME) ? -1 : renameat(folder_fd, from, folder_fd, to);
}

int _wgs_remove(int folder_fd, const char* name) {
    return _wgs_inject_fault(_WGS_CHANGE_REMOVE) ? -1 : unlinkat(folder_fd, name, 0);
}

bool _wgs_fail(GError** error, const char* what, const char* name) {
    int reason = errno;
    bool is_transient =
        reason == ENOSPC || reason == EDQUOT || reason == EFBIG || reason == EIO || reason == EROFS;
    g_set_error(error, WG_ERROR, is_transient ? WG_ERROR_DISK : WG_ERROR_IO, "%s %s: %s", what,
                name, g_strerror(reason));
    return false;
}

void _wgs_record_append(GByteArray* out, const uint8_t* payload, size_t size) {
    uint32_t length = GUINT32_TO_LE((uint32_t)size);
    uint64_t checksum = GUINT64_TO_LE(wg_hash(payload, size, size));
    g_byte_array_append(out, (const guint8*)&length, sizeof length);
    g_byte_array_append(out, (const guint8*)&checksum, sizeof checksum);
    g_byte_array_append(out, payload, (guint)size);
}

_wgs_record_status _wgs_record_parse(const uint8_t* bytes, size_t size, const uint8_t** payload,
                                     size_t* payload_size) {
    if (size < _WGS_RECORD_HEADER_SIZE) {
        return _WGS_RECORD_TRUNCATED;
    }
    uint32_t length;
    uint64_t checksum;
    memcpy(&length, bytes, sizeof length);
    memcpy(&checksum, bytes + sizeof length, sizeof checksum);
    length = GUINT32_FROM_LE(length);
    checksum = GUINT64_FROM_LE(checksum);
    if (length > WGS_RECORD_SIZE_MAX) {
        return _WGS_RECORD_CORRUPT;
    }
    if (size - _WGS_RECORD_HEADER_SIZE < length) {
        return _WGS_RECORD_TRUNCATED;
    }
    if (wg_hash(bytes + _WGS_RECORD_HEADER_SIZE, length, length) != checksum) {
        return _WGS_RECORD_CORRUPT;
    }
    *payload = bytes + _WGS_RECORD_HEADER_SIZE;
    *payload_size = length;
    return _WGS_RECORD_COMPLETE;
}

bool _wgs_write_all(int fd, const uint8_t* data, size_t size, GError** error) {
    while (size > 0) {
        ssize_t written = _wgs_write(fd, data, size);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            errno = written < 0 ? errno : ENOSPC;
            return _wgs_fail(error, "cannot write", "data file");
        }
        data += written;
        size -= (size_t)written;
    }
    return true;
}

bool _wgs_sync_folder(int folder_fd, GError** error) {
    if (_wgs_inject_fault(_WGS_CHANGE_SYNC_FOLDER) || fsync(folder_fd) != 0) {
        return _wgs_fail(error, "cannot sync", "data folder");
    }
    return true;
}

bool _wgs_replace_file(int folder_fd, const char* name, const GByteArray* content, GError** error) {
    char temporary[80];
    g_snprintf(temporary, sizeof temporary, "%s.new", name);
    int fd = _wgs_create(folder_fd, temporary, O_TRUNC | O_WRONLY);
    if (fd < 0) {
        return _wgs_fail(error, "cannot create", temporary);
    }
    bool good = _wgs_write_all(fd, content->data, content->len, error);
    if (good && _wgs_sync(fd) != 0) {
        good = _wgs_fail(error, "cannot sync", temporary);
    }
    close(fd);
    if (good && _wgs_rename(folder_fd, temporary, name) != 0) {
        good = _wgs_fail(error, "cannot rename", temporary);
    }
    return good && _wgs_sync_folder(folder_fd, error);
}

GByteArray* _wgs_read_file(int folder_fd, const char* name, GError** error) {
    int fd = openat(folder_fd, name, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        if (errno != ENOENT) {
            _wgs_fail(error, "cannot open", name);
        }
        return NULL;
    }
    GByteArray* content = g_byte_array_new();
    uint8_t block[65536];
    ssize_t got;
    while ((got = read(fd, block, sizeof block)) > 0) {
        g_byte_array_append(content, block, (guint)got);
    }
    close(fd);
    if (got < 0) {
        _wgs_fail(error, "cannot read", name);
        g_byte_array_unref(content);
        return NULL;
    }
    return content;
}
