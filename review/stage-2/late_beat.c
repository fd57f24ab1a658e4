/* late_beat.c -- a heartbeat that was delayed by a cut arrives after its sender has crashed

   Worker w-old starts at an address, its first heartbeat is held up, and it crashes. A new
   incarnation, w-new, registers at the same address and serves. Then the first heartbeat of w-old
   arrives. Clients with kept connections wait for answers of w-new and six others meanwhile. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

enum {
    WORKERS = 7, /* one of them is struck: 0.143 of the service */
    CLIENTS = 21,
    LOST_MAX = 3, /* LOST: "on more than three occasions" */
    FIRST_MS = 7000,
    STEP_MS = 100,
    BEAT_AT_MS = 500 /* the delayed heartbeat, after the requests were sent */
};

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"app.example\",\"path_prefix\":\"/app/\","
    "\"kind\":\"unsafe\",\"timeout_ms\":15000,\"objective_ms\":12000,\"priority\":1,\"service\":"
    "\"app\",\"attempts\":1,\"open\":true,\"affinity\":false,\"resumable\":false}],"
    "\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"connections\":370,"
    "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"head_bytes\":16384,\"body_bytes\":4194304,"
    "\"head_ms\":3000,\"idle_ms\":15000}}";

static void send_requests(const char* front, int sockets[CLIENTS]) {
    for (int i = 0; i < CLIENTS; i++) {
        char id[32];
        char path[64];
        stage_answer answer;
        sockets[i] = client_open(front);
        snprintf(id, sizeof id, "first%011d", i);
        client_send(sockets[i], "POST", "/app/work-10", id, "Deadline-Ms: 1500\r\n");
        client_read(sockets[i], 3000, &answer);
        stage_record("client %d: %s answered with %d, kept=%d", i, id, answer.status, answer.keep);
        client_clear(&answer);
        snprintf(id, sizeof id, "long%012d", i);
        snprintf(path, sizeof path, "/app/work-%d", FIRST_MS + i * STEP_MS);
        client_send(sockets[i], "POST", path, id, "Deadline-Ms: 15000\r\n");
        stage_record("client %d: sent %s, POST %s", i, id, path);
    }
}

/* Returns how many requests of kept connections ended with the connection and no answer. */
static int read_answers(const int sockets[CLIENTS], int* served) {
    int lost = 0;
    for (int i = 0; i < CLIENTS; i++) {
        stage_answer answer;
        client_read(sockets[i], 16000, &answer);
        stage_record("client %d: status=%d whole=%d reset=%d", i, answer.status, answer.whole,
                     answer.reset);
        lost += answer.status == 0;
        *served += answer.status == 200 && answer.whole;
        client_clear(&answer);
        close(sockets[i]);
    }
    return lost;
}

int main(int argc, char** argv) {
    static stage s;
    stage_worker old_worker;
    stage_worker workers[WORKERS];
    char front[64];
    int sockets[CLIENTS];
    int served = 0;
    int how = 0;
    stage_begin(&s, argc > 1 ? argv[1] : "record.txt");
    if (!stage_put(&s, configuration, 15000) || !stage_wait_ready(&s)) {
        stage_end(&s, STAGE_NOT_RUN);
    }
    worker_init(&s, &old_worker, "w-old", "app", 1);
    stage_sleep(50);
    for (int i = 0; i < WORKERS; i++) {
        char id[32];
        snprintf(id, sizeof id, i == 0 ? "w-new" : "w-other-%d", i);
        worker_init(&s, &workers[i], id, "app", i + 1);
        worker_start(&s, &workers[i], false);
    }
    stage_sleep(4000); /* the machines are in touch, and the workers registered */
    stage_address(&s, 0, 8783, front);
    send_requests(front, sockets);
    stage_sleep(BEAT_AT_MS);
    if (s.trouble) {
        int status = worker_beat(&s, &old_worker, 1);
        stage_record("the first heartbeat of w-old arrives at machine 2: %d", status);
    }
    int lost = read_answers(sockets, &served);
    bool ended = stage_has_ended("the entry process of machine 1", s.machines[0].entry, &how);
    stage_record("served=%d lost=%d ended=%d", served, lost, ended);
    stage_end(&s, lost > LOST_MAX ? STAGE_BROKEN : served == CLIENTS ? STAGE_HELD : STAGE_NOT_RUN);
}
