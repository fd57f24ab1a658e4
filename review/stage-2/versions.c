/* versions.c -- a worker comes back under its id with another version, and its heartbeat is late

   Two workers of version v1 serve beside six of v2. One of v1 crashes and is back after 2 s, under
   the same id and with v2; its first heartbeat comes 2.5 s later. Before that the other one of v1
   crashes, and its streams go on. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

enum {
    WORKERS = 8,
    CLIENTS = 120,
    EVENTS = 60,
    JOINED_MAX = 2, /* ORDER: "more than two streams" */
    DOWN_MS = 2000,
    LATE_MS = 2500,
    BEFORE_MS = 700, /* from its return until the other one crashes */
};

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"app.example\",\"path_prefix\":\"/app/\","
    "\"kind\":\"stream\",\"timeout_ms\":15000,\"objective_ms\":1000,\"pause_ms\":200,\"priority\":"
    "1,"
    "\"service\":\"app\",\"attempts\":2,\"open\":true,\"affinity\":false,\"resumable\":true}],"
    "\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"connections\":370,"
    "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"head_bytes\":16384,\"body_bytes\":4194304,"
    "\"head_ms\":3000,\"idle_ms\":15000}}";

static int count(const char* text, const char* word) {
    int num = 0;
    for (const char* at = text; (at = strstr(at, word)); at++) {
        num++;
    }
    return num;
}

static int read_answers(const int sockets[CLIENTS], int* whole) {
    int joined = 0;
    for (int i = 0; i < CLIENTS; i++) {
        stage_answer answer;
        client_read(sockets[i], 16000, &answer);
        int first = count(answer.body, " by v1\n");
        int second = count(answer.body, " by v2\n");
        stage_record("client %d: status=%d whole=%d pieces of v1=%d of v2=%d", i, answer.status,
                     answer.whole, first, second);
        joined += first > 0 && second > 0;
        *whole += answer.whole && first + second == EVENTS;
        client_clear(&answer);
        close(sockets[i]);
    }
    return joined;
}

int main(int argc, char** argv) {
    static stage s;
    stage_worker workers[WORKERS];
    char front[64];
    int sockets[CLIENTS];
    int whole = 0;
    stage_begin(&s, argc > 1 ? argv[1] : "record.txt");
    if (!stage_put(&s, configuration, 15000) || !stage_wait_ready(&s)) {
        stage_end(&s, STAGE_NOT_RUN);
    }
    for (int i = 0; i < WORKERS; i++) {
        char id[32];
        snprintf(id, sizeof id, "w-%d", i + 1);
        worker_init(&s, &workers[i], id, "app", i + 1);
        workers[i].version = i < 2 ? "v1" : "v2";
        worker_start(&s, &workers[i], false);
    }
    stage_sleep(4000); /* the machines are in touch, and the workers registered */
    for (int i = 0; i < CLIENTS; i++) {
        char id[32];
        stage_address(&s, i % STAGE_MACHINES, 8783, front);
        snprintf(id, sizeof id, "stream%010d", i);
        sockets[i] = client_open(front);
        client_send(sockets[i], "POST", "/app/events-60-150-chunks", id, "Deadline-Ms: 15000\r\n");
    }
    stage_sleep(500);
    if (s.trouble) {
        worker_kill(&workers[1], SIGKILL);
        stage_record("worker w-2 (v1) has crashed");
        stage_sleep(DOWN_MS);
        workers[1].born += DOWN_MS + 4500;
        workers[1].sequence = 0;
        workers[1].version = "v2";
        workers[1].first_beat_ms = LATE_MS;
        worker_start(&s, &workers[1], false);
        stage_record("worker w-2 is back under its id, with v2; its first heartbeat is late");
        stage_sleep(BEFORE_MS);
        worker_kill(&workers[0], SIGKILL);
        stage_record("worker w-1 (v1) has crashed");
    }
    int joined = read_answers(sockets, &whole);
    stage_record("whole=%d of %d, with pieces of two versions=%d", whole, CLIENTS, joined);
    stage_end(&s, joined > JOINED_MAX ? STAGE_BROKEN : whole > 0 ? STAGE_HELD : STAGE_NOT_RUN);
}
