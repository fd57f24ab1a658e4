#pragma once
/* folder.h -- folders that tests make and remove */

/* Remove all files of a folder, not the folder; one that cannot be read is left as it is. */
void folder_wipe(const char* folder);
