/* wg_store_file.c -- see wg_store_file.h */
#include "wg_store_file.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "wg_store.h"

bool _wgs_fail(GError** error, const char* what, const char* name) {
    g_set_error(error, WG_ERROR, WG_ERROR_IO, "%s %s: %s", what, name, g_strerror(errno));
    return false;
}

void _wgs_record_append(GByteArray* out, const uint8_t* payload, size_t size) {
    uint32_t length = GUINT32_TO_LE((uint32_t)size);
    uint64_t sum = GUINT64_TO_LE(wg_hash(payload, size, size));
    g_byte_array_append(out, (const guint8*)&length, sizeof length);
    g_byte_array_append(out, (const guint8*)&sum, sizeof sum);
    g_byte_array_append(out, payload, (guint)size);
}

_wgs_record _wgs_record_parse(const uint8_t* bytes, size_t size, const uint8_t** payload,
                              size_t* payload_size) {
    if (size < _WGS_RECORD_HEAD) {
        return _WGS_RECORD_SHORT;
    }
    uint32_t length;
    uint64_t sum;
    memcpy(&length, bytes, sizeof length);
    memcpy(&sum, bytes + sizeof length, sizeof sum);
    length = GUINT32_FROM_LE(length);
    sum = GUINT64_FROM_LE(sum);
    if (length > WGS_RECORD_MAX) {
        return _WGS_RECORD_DAMAGED;
    }
    if (size - _WGS_RECORD_HEAD < length) {
        return _WGS_RECORD_SHORT;
    }
    if (wg_hash(bytes + _WGS_RECORD_HEAD, length, length) != sum) {
        return _WGS_RECORD_DAMAGED;
    }
    *payload = bytes + _WGS_RECORD_HEAD;
    *payload_size = length;
    return _WGS_RECORD_WHOLE;
}

bool _wgs_write_all(int fd, const uint8_t* data, size_t size, GError** error) {
    while (size > 0) {
        ssize_t written = write(fd, data, size);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return _wgs_fail(error, "cannot write", "data file");
        }
        data += written;
        size -= (size_t)written;
    }
    return true;
}

bool _wgs_sync_folder(int folder_fd, GError** error) {
    if (fsync(folder_fd) != 0) {
        return _wgs_fail(error, "cannot sync", "data folder");
    }
    return true;
}

bool _wgs_replace_file(int folder_fd, const char* name, const GByteArray* content, GError** error) {
    char temporary[80];
    g_snprintf(temporary, sizeof temporary, "%s.new", name);
    int fd = openat(folder_fd, temporary, O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
    if (fd < 0) {
        return _wgs_fail(error, "cannot create", temporary);
    }
    bool good = _wgs_write_all(fd, content->data, content->len, error);
    if (good && fsync(fd) != 0) {
        good = _wgs_fail(error, "cannot sync", temporary);
    }
    close(fd);
    if (good && renameat(folder_fd, temporary, folder_fd, name) != 0) {
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
