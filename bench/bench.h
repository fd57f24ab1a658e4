#pragma once
/* bench.h -- measures time and memory, prints one line per figure: name, value, unit */
#include <stdio.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "wg_base.h"

static inline void bench_print(const char* name, double value, const char* unit) {
    printf("%-52s %14.3f %s\n", name, value, unit);
    fflush(stdout);
}

/* CPU time of this process in microseconds. */
static inline double bench_cpu_us(void) {
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Resident memory of a process in bytes; pid 0: this process. */
static inline double bench_rss(int pid) {
    char path[48];
    long pages = 0;
    long resident = 0;
    g_snprintf(path, sizeof path, pid ? "/proc/%d/statm" : "/proc/self/statm", pid);
    FILE* file = fopen(path, "r");
    if (file) {
        if (fscanf(file, "%ld %ld", &pages, &resident) != 2) {
            resident = 0;
        }
        fclose(file);
    }
    return (double)resident * (double)sysconf(_SC_PAGESIZE);
}

/* Resident memory in bytes that `work` adds; runs it in a child process, so that it cannot reuse
   memory that was freed before. */
static inline double bench_memory(void (*work)(int size), int size) {
    int pipe_fds[2];
    double added = 0;
    if (pipe(pipe_fds) != 0) {
        return 0;
    }
    pid_t child = fork();
    if (child == 0) {
        double before = bench_rss(0);
        work(size);
        added = bench_rss(0) - before;
        ssize_t written = write(pipe_fds[1], &added, sizeof added);
        _exit(written == (ssize_t)sizeof added ? 0 : 1);
    }
    close(pipe_fds[1]);
    if (read(pipe_fds[0], &added, sizeof added) != (ssize_t)sizeof added) {
        added = 0;
    }
    close(pipe_fds[0]);
    waitpid(child, NULL, 0);
    return added;
}

/* CPU time of another process in microseconds. */
static inline double bench_process_cpu_us(int pid) {
    char path[48];
    unsigned long user = 0;
    unsigned long system = 0;
    g_snprintf(path, sizeof path, "/proc/%d/stat", pid);
    FILE* file = fopen(path, "r");
    if (file) {
        if (fscanf(file, "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
                   &system) != 2) {
            user = system = 0;
        }
        fclose(file);
    }
    return (double)(user + system) * 1e6 / (double)sysconf(_SC_CLK_TCK);
}

/* Fits a least-squares line through (x, y); prints intercept, slope and largest relative error. */
static inline void bench_fit(const char* name, const double* x, const double* y, int num,
                             const char* unit) {
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (int i = 0; i < num; i++) {
        sx += x[i];
        sy += y[i];
        sxx += x[i] * x[i];
        sxy += x[i] * y[i];
    }
    double slope = (num * sxy - sx * sy) / (num * sxx - sx * sx);
    double intercept = (sy - slope * sx) / num;
    double worst = 0;
    for (int i = 0; i < num; i++) {
        double error = y[i] != 0 ? (intercept + slope * x[i] - y[i]) / y[i] : 0;
        worst = error > worst ? error : -error > worst ? -error : worst;
    }
    printf("%-52s %14.6g + %.6g x  %s (fit off by %.0f%% at most)\n", name, intercept, slope, unit,
           worst * 100);
}
