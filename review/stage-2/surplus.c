/* surplus.c -- a faulty worker sends more after a whole answer

   Seven workers serve. Three send something more 10 to 40 ms after each fiftieth of their answers:
   bytes that look like an answer, but that name no request. They arrive while the next request
   waits on the same connection. */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

enum {
    WORKERS = 7,
    FAULTY = 3, /* 0.43 of the workers */
    CLIENTS = 42,
    REQUESTS = 120, /* of each client */
    EACH = 50       /* x = 0.02 of the answers */
};

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"app.example\",\"path_prefix\":\"/app/\","
    "\"kind\":\"unsafe\",\"timeout_ms\":5000,\"objective_ms\":1000,\"priority\":1,\"service\":"
    "\"app\",\"attempts\":1,\"open\":true,\"affinity\":false,\"resumable\":false}],"
    "\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"connections\":370,"
    "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"head_bytes\":16384,\"body_bytes\":4194304,"
    "\"head_ms\":3000,\"idle_ms\":15000}}";

typedef struct {
    char front[64];
    int number;
} client;

static atomic_int served;
static atomic_int failed;
static atomic_int foreign;

static void check_answer(const client* c, const char* id, const stage_answer* answer) {
    char seal[128];
    char body[64];
    bool good = answer->status / 100 == 2 && answer->whole;
    snprintf(seal, sizeof seal, "Response-Seal: seal-%s-", id);
    snprintf(body, sizeof body, "done %s by ", id);
    if (good && (!strstr(answer->head, seal) || !strstr(answer->body, body))) {
        foreign++;
        stage_record("client %d: %s is answered with %d without its seal, body \"%.*s\"", c->number,
                     id, answer->status, (int)strcspn(answer->body, "\n"), answer->body);
    } else if (good) {
        served++;
    } else {
        failed++;
        stage_record("client %d: %s is answered with %d, whole=%d", c->number, id, answer->status,
                     answer->whole);
    }
}

static void* run_client(void* data) {
    const client* c = data;
    int fd = client_open(c->front);
    for (int i = 0; i < REQUESTS && fd >= 0; i++) {
        char id[32];
        stage_answer answer;
        char path[32];
        snprintf(id, sizeof id, "c%03dr%011d", c->number, i);
        snprintf(path, sizeof path, "/app/work-%d", 40 + (c->number * 17 + i * 29) % 60);
        client_send(fd, "POST", path, id, "Deadline-Ms: 5000\r\n");
        client_read(fd, 6000, &answer);
        check_answer(c, id, &answer);
        if (!answer.keep || answer.status == 0) {
            close(fd);
            fd = client_open(c->front);
        }
        client_clear(&answer);
    }
    close(fd);
    return NULL;
}

int main(int argc, char** argv) {
    static stage s;
    static client clients[CLIENTS];
    stage_worker workers[WORKERS];
    pthread_t threads[CLIENTS];
    stage_begin(&s, argc > 1 ? argv[1] : "record.txt");
    if (!stage_put(&s, configuration, 15000) || !stage_wait_ready(&s)) {
        stage_end(&s, STAGE_NOT_RUN);
    }
    for (int i = 0; i < WORKERS; i++) {
        char id[32];
        snprintf(id, sizeof id, "w-%d", i + 1);
        worker_init(&s, &workers[i], id, "app", i + 1);
        workers[i].surplus_each = s.trouble && i < FAULTY ? EACH : 0;
        worker_start(&s, &workers[i], false);
    }
    stage_sleep(4000); /* the machines are in touch, and the workers registered */
    for (int i = 0; i < CLIENTS; i++) {
        stage_address(&s, i % STAGE_MACHINES, 8783, clients[i].front);
        clients[i].number = i;
        pthread_create(&threads[i], NULL, run_client, &clients[i]);
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(threads[i], NULL);
    }
    stage_record("served=%d failed=%d foreign=%d", served, failed, foreign);
    stage_end(&s, foreign > 0 ? STAGE_BROKEN : served > 0 ? STAGE_HELD : STAGE_NOT_RUN);
}
