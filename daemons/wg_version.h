#pragma once
/* wg_version.h -- version of the programs and of the library */
#define WG_VERSION "0.1.0"
