/* drain_crash.c -- a worker crashes while it drains, in the middle of streams that end with their
   connection

   Seven workers serve. One says `draining`, is acknowledged, and crashes a second later, before it
   may end as planned. Its streams have neither a length nor chunks. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

enum {
    WORKERS = 7,
    CLIENTS = 42,
    EVENTS = 40,
    DRAIN_AT_MS = 1000,
    CRASH_AFTER_MS = 1000 /* below drainTimeoutMs (2000) */
};

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"app.example\",\"path_prefix\":\"/app/\","
    "\"kind\":\"stream\",\"timeout_ms\":15000,\"objective_ms\":1000,\"pause_ms\":200,\"priority\":"
    "1,"
    "\"service\":\"app\",\"attempts\":1,\"open\":true,\"affinity\":false,\"resumable\":false}],"
    "\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"connections\":370,"
    "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"head_bytes\":16384,\"body_bytes\":4194304,"
    "\"head_ms\":3000,\"idle_ms\":15000}}";

/* Pieces of a stream that a client has received. */
static int pieces(const stage_answer* answer) {
    int num = 0;
    for (const char* at = answer->body; (at = strstr(at, "data: ")); at++) {
        num++;
    }
    return num;
}

static int read_answers(const int sockets[CLIENTS], int* whole) {
    int broken = 0;
    for (int i = 0; i < CLIENTS; i++) {
        stage_answer answer;
        client_read(sockets[i], 16000, &answer);
        int num = pieces(&answer);
        bool complete = answer.status == 200 && answer.whole;
        stage_record("client %d: status=%d pieces=%d of %d, ends as %s", i, answer.status, num,
                     EVENTS, complete ? "complete" : "broken off");
        broken += complete && num < EVENTS;
        *whole += complete && num == EVENTS;
        client_clear(&answer);
        close(sockets[i]);
    }
    return broken;
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
        worker_start(&s, &workers[i], false);
    }
    stage_sleep(4000); /* the machines are in touch, and the workers registered */
    for (int i = 0; i < CLIENTS; i++) {
        char id[32];
        stage_address(&s, i % STAGE_MACHINES, 8783, front);
        snprintf(id, sizeof id, "stream%010d", i);
        sockets[i] = client_open(front);
        client_send(sockets[i], "POST", "/app/events-40-150-connection", id,
                    "Deadline-Ms: 15000\r\n");
        stage_record("client %d: sent %s to machine %d", i, id, 1 + i % STAGE_MACHINES);
    }
    stage_sleep(DRAIN_AT_MS);
    kill(workers[0].pid, SIGUSR1);
    stage_sleep(CRASH_AFTER_MS);
    if (s.trouble) {
        worker_kill(&workers[0], SIGKILL);
        stage_record("worker w-1 has crashed");
    }
    int broken = read_answers(sockets, &whole);
    stage_record("whole=%d of %d, ended early as complete=%d", whole, CLIENTS, broken);
    stage_end(&s, broken > 0 ? STAGE_BROKEN : whole > 0 ? STAGE_HELD : STAGE_NOT_RUN);
}
