/* program.c -- see program.h */
#include "program.h"

#include "wg_base.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

void program_find_folder(char* bin, size_t size) {
    char self[256] = "";
    WG_ASSERT(readlink("/proc/self/exe", self, sizeof self - 1) > 0);
    char* folder = g_path_get_dirname(self);
    g_strlcpy(bin, folder, size);
    g_free(folder);
}

static GPtrArray* make_environment(char* const* added) {
    GPtrArray* all = g_ptr_array_new();
    for (char** at = environ; *at; at++) {
        g_ptr_array_add(all, *at);
    }
    for (char* const* at = added; at && *at; at++) {
        g_ptr_array_add(all, *at);
    }
    g_ptr_array_add(all, NULL);
    return all;
}

pid_t program_start(const program_desc* desc) {
    GPtrArray* argv = g_ptr_array_new();
    char* path = g_build_filename(desc->bin, desc->program, NULL);
    char* out = g_build_filename(desc->folder, desc->log, NULL);
    g_ptr_array_add(argv, path);
    for (char* const* at = desc->arguments; *at; at++) {
        g_ptr_array_add(argv, *at);
    }
    g_ptr_array_add(argv, NULL);
    signal(SIGPIPE, SIG_IGN);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, out, O_CREAT | O_WRONLY | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    posix_spawn_file_actions_addchdir_np(&actions, desc->folder);
    /* An inherited descriptor would keep connections open that the test closes, and addresses in
       use after an aborted run. */
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    GPtrArray* environment = make_environment(desc->environment);
    pid_t pid = 0;
    int failed = posix_spawn(&pid, path, &actions, NULL, (char* const*)argv->pdata,
                             (char* const*)environment->pdata);
    posix_spawn_file_actions_destroy(&actions);
    g_ptr_array_unref(environment);
    g_ptr_array_unref(argv);
    g_free(out);
    g_free(path);
    WG_ASSERT(failed == 0);
    return pid;
}

int program_wait(pid_t* pid) {
    int status = 0;
    WG_ASSERT(*pid > 0);
    while (waitpid(*pid, &status, 0) < 0 && errno == EINTR) {
    }
    *pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void program_kill(pid_t* pid) {
    if (*pid > 0) {
        kill(*pid, SIGKILL);
        program_wait(pid);
    }
}
