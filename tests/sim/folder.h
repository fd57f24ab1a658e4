#pragma once
/* folder.h -- helpers for temporary folders of tests */

/* Removes all files in a folder but not the folder itself; does nothing if it cannot be read. */
void folder_wipe(const char* folder);
