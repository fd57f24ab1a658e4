#pragma once
/*
    program.h -- starts and ends the programs of a test

    WHAT IT DOES
        Starts a program of this build in a folder of the test, with its output in a log file there.
        Starting one ignores SIGPIPE in the test process, as the daemons do: a peer that ends must
        not end the test.

    THE CALLER OWNS
        the process; it is not ended with the test.
*/
#include <sys/types.h>

typedef struct {
    const char* bin;          /* folder of the programs */
    const char* program;      /* name in `bin` */
    char* const* arguments;   /* NULL-terminated, without the program's name */
    const char* folder;       /* working directory */
    const char* log;          /* output file in `folder`, appended to */
    char* const* environment; /* "NAME=value", NULL-terminated, added to the own one; NULL: none */
} program_desc;

/* Writes the folder of the running program to `bin`. */
void program_find_folder(char* bin, size_t size);
/* Aborts if the program cannot be started. */
pid_t program_start(const program_desc* desc);
/* Waits until the process exits and sets *pid to 0; returns its exit status, or -1 when a signal
   ended it. */
int program_wait(pid_t* pid);
/* Sends SIGKILL and waits. Nothing happens if *pid is 0. */
void program_kill(pid_t* pid);
