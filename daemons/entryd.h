#pragma once
/*
    entryd.h -- walnutgate-entryd: main program of lib/entry

    USE
        return wg_entryd_main("walnutgate-entryd", NULL, argc, argv);

    THE CALLER OWNS
        the names of header fields; NULL means the default names.
*/
#include "wg_entry.h"

int wg_entryd_main(const char* program, const wg_entry_names* names, int argc, char** argv);
