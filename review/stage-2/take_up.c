/* take_up.c -- all processes are killed, and a worker of another version comes while they are down

   Streams begin while only version v1 serves. All processes of the system are killed at once and
   are back within a second. A worker of version v2 registers with them. Then the clients take
   their streams up. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "stage.h"

enum {
    WORKERS = 7,
    STREAMS = 24,
    KILL_AT_MS = 1000,
    DOWN_MS = 500,
    TOUCH_MS = 6500, /* 2 x contactMs and more: the machines are in touch again */
    DEADLINE_MS = 15000,
    LEFT_MS = 7000, /* of the deadline, when the streams are taken up */
    FEW = 12
};

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"app.example\",\"path_prefix\":\"/app/\","
    "\"kind\":\"stream\",\"timeout_ms\":15000,\"objective_ms\":1000,\"pause_ms\":200,\"priority\":"
    "1,"
    "\"service\":\"app\",\"attempts\":2,\"open\":true,\"affinity\":false,\"resumable\":true}],"
    "\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"connections\":370,"
    "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"head_bytes\":16384,\"body_bytes\":4194304,"
    "\"head_ms\":3000,\"idle_ms\":15000}}";

static stage s;

static int open_stream(int i, const char* id, const char* more) {
    char front[64];
    char fields[256];
    stage_address(&s, i % STAGE_MACHINES, 8783, front);
    snprintf(fields, sizeof fields, "Deadline-Ms: %d\r\n%s", more[0] ? LEFT_MS : DEADLINE_MS, more);
    int fd = client_open(front);
    client_send(fd, "POST", "/app/events-80-100-chunks", id, fields);
    return fd;
}

/* Opens a stream, reads its answer to the end and returns whether a piece came. */
static bool begins(int i, const char* id, const char* more) {
    stage_answer answer;
    int fd = open_stream(i, id, more);
    client_read(fd, 9000, &answer);
    bool begun = answer.status == 200 && strstr(answer.body, "data: ");
    stage_record("%s: status=%d begun=%d %s", id, answer.status, begun, begun ? "" : answer.body);
    client_clear(&answer);
    close(fd);
    return begun;
}

typedef struct {
    int number;
    int last; /* piece that the client has; -1: it takes up nothing */
    bool begun;
} attempt;

static void* run_attempt(void* data) {
    attempt* a = data;
    char id[32];
    char more[128] = "";
    snprintf(id, sizeof id, "%s%012d", a->last >= 0 ? "goon" : "anew", a->number);
    if (a->last >= 0) {
        snprintf(more, sizeof more, "Resumes: stream%010d\r\nLast-Event-Id: %d\r\n", a->number,
                 a->last);
    }
    a->begun = begins(a->number, id, more);
    return NULL;
}

static int run_attempts(const int last[STREAMS], bool anew) {
    static attempt attempts[STREAMS];
    pthread_t threads[STREAMS];
    int num = 0;
    for (int i = 0; i < STREAMS; i++) {
        attempts[i] = (attempt){.number = i, .last = anew ? -1 : last[i]};
        pthread_create(&threads[i], NULL, run_attempt, &attempts[i]);
    }
    for (int i = 0; i < STREAMS; i++) {
        pthread_join(threads[i], NULL);
        num += attempts[i].begun;
    }
    return num;
}

static void kill_all(void) {
    for (int i = 0; i < STAGE_MACHINES; i++) {
        kill(s.machines[i].entry, SIGKILL);
        kill(s.machines[i].replica, SIGKILL);
    }
    for (int i = 0; i < STAGE_MACHINES; i++) {
        waitpid(s.machines[i].entry, NULL, 0);
        waitpid(s.machines[i].replica, NULL, 0);
    }
    stage_record("all processes of the system are killed");
    stage_sleep(DOWN_MS);
    for (int i = 0; i < STAGE_MACHINES; i++) {
        stage_start_entry(&s, i);
        stage_start_replica(&s, i);
    }
    stage_record("all processes of the system start again");
}

int main(int argc, char** argv) {
    stage_worker workers[WORKERS + 1];
    int sockets[STREAMS];
    int last[STREAMS];
    stage_begin(&s, argc > 1 ? argv[1] : "record.txt");
    if (!stage_put(&s, configuration, 15000) || !stage_wait_ready(&s)) {
        stage_end(&s, STAGE_NOT_RUN);
    }
    for (int i = 0; i <= WORKERS; i++) {
        char id[32];
        snprintf(id, sizeof id, "w-%d", i + 1);
        worker_init(&s, &workers[i], id, "app", i + 1);
        workers[i].version = i < WORKERS ? "v1" : "v2";
        if (i < WORKERS) {
            worker_start(&s, &workers[i], false);
        }
    }
    stage_sleep(4000); /* the machines are in touch, and the workers registered */
    for (int i = 0; i < STREAMS; i++) {
        char id[32];
        snprintf(id, sizeof id, "stream%010d", i);
        sockets[i] = open_stream(i, id, "");
    }
    stage_sleep(KILL_AT_MS);
    if (s.trouble) {
        kill_all();
    }
    for (int i = 0; i < STREAMS; i++) {
        stage_answer answer;
        client_read(sockets[i], 100, &answer);
        last[i] = -1;
        for (const char* at = answer.body; (at = strstr(at, "id: ")); at++) {
            last[i]++;
        }
        client_clear(&answer);
        close(sockets[i]);
    }
    worker_start(&s, &workers[WORKERS], false);
    if (!stage_wait_ready(&s)) {
        stage_end(&s, STAGE_NOT_RUN);
    }
    stage_sleep(TOUCH_MS);
    int on = run_attempts(last, false);
    int anew = run_attempts(last, true);
    stage_record("taken up: %d of %d go on; new: %d of %d begin", on, STREAMS, anew, STREAMS);
    stage_end(&s, anew < FEW ? STAGE_NOT_RUN : 2 * on < anew ? STAGE_BROKEN : STAGE_HELD);
}
