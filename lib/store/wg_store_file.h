#pragma once
/* wg_store_file.h -- atomic file replacement and checksummed records; private to lib/store */
#include <sys/types.h>

#include "wg_base.h"

/* Record header: length (4 bytes, little endian) and checksum (8 bytes) of the payload. */
enum {
    _WGS_RECORD_HEADER_SIZE = 12
};

typedef enum {
    _WGS_RECORD_STATUS_DEFAULT = 0,
    _WGS_RECORD_COMPLETE,
    _WGS_RECORD_TRUNCATED, /* the record extends beyond the end of the data */
    _WGS_RECORD_CORRUPT,   /* length above WGS_RECORD_SIZE_MAX, or a wrong checksum */
    _WGS_RECORD_STATUS_NUM
} _wgs_record_status;

/* Appends a record (header and payload) to `out`. */
void _wgs_record_append(GByteArray* out, const uint8_t* payload, size_t size);
/* Parses the record at the start of `bytes`. `*payload` points into `bytes` and is set only for
   _WGS_RECORD_COMPLETE. */
_wgs_record_status _wgs_record_parse(const uint8_t* bytes, size_t size, const uint8_t** payload,
                                     size_t* payload_size);
/* Replaces a file atomically: after a crash it has either the old or the new content. */
bool _wgs_replace_file(int folder_fd, const char* name, const GByteArray* content, GError** error);
/* Returns NULL with an error when reading fails, NULL without one when the file does not exist. */
GByteArray* _wgs_read_file(int folder_fd, const char* name, GError** error);
bool _wgs_sync_folder(int folder_fd, GError** error);
bool _wgs_write_all(int fd, const uint8_t* data, size_t size, GError** error);
/* Sets an error from errno and returns false: WG_ERROR_DISK when the disk may accept writes later,
   else WG_ERROR_IO. */
bool _wgs_fail(GError** error, const char* what, const char* name);

/* Wrappers for the system calls that change the disk, so that tests can inject faults. They return
   the result of the system call and set errno. */
ssize_t _wgs_write(int fd, const void* data, size_t size);
ssize_t _wgs_pwrite(int fd, const void* data, size_t size, off_t at);
int _wgs_truncate_file(int fd, off_t size);
int _wgs_sync_data(int fd);
int _wgs_sync(int fd);
int _wgs_create(int folder_fd, const char* name, int flags);
int _wgs_rename(int folder_fd, const char* from, const char* to);
int _wgs_remove(int folder_fd, const char* name);

/* Kinds of disk changes, for fault injection. */
typedef enum {
    _WGS_CHANGE_DEFAULT = 0,
    _WGS_CHANGE_WRITE,
    _WGS_CHANGE_TRUNCATE,
    _WGS_CHANGE_SYNC_FILE,
    _WGS_CHANGE_SYNC_FOLDER,
    _WGS_CHANGE_CREATE,
    _WGS_CHANGE_RENAME,
    _WGS_CHANGE_REMOVE,
    _WGS_CHANGE_NUM
} _wgs_change;

/* For tests: sets a function that is called before each change and returns 0, or the errno with
   which the change fails. NULL disables fault injection. */
void _wgs_set_fault(int (*fault)(_wgs_change change, void* user_data), void* user_data);
