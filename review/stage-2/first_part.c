/* first_part.c -- a part of a prompt crashes workers; other requests share its first part

   Sound requests with a first part are served. After a time without any, requests come again: two
   with a part that crashes each worker that begins to write on it, then sound ones and such ones
   by turns. The sound ones have the same key and the same first part. */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "stage.h"

enum {
    WORKERS = 7,
    BEFORE = 30, /* sound requests outside of the disruption */
    BEFORE_GAP_MS = 150,
    QUIET_MS = 35000, /* no request of this caller */
    FIRST = 2,        /* requests with the part, before the others */
    FIRST_GAP_MS = 300,
    ROUNDS = 100, /* of the mix: each round a sound request, each fourth one with the part */
    ROUND_MS = 200,
    SETTLE_MS = 6000, /* 2 x contactMs */
    BACK_MS = 3000,   /* a worker that crashed is back */
    CRASHES = 5,
    ENOUGH = 20
};

static const char configuration[] =
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"app.example\",\"path_prefix\":\"/llm/\","
    "\"kind\":\"stream\",\"timeout_ms\":6000,\"objective_ms\":1000,\"pause_ms\":200,\"priority\":1,"
    "\"service\":\"llm\",\"attempts\":1,\"open\":false,\"affinity\":true,\"resumable\":false}],"
    "\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"connections\":370,"
    "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"memory_tokens\":232000,"
    "\"copies\":true,\"event_tokens\":3,\"event_calls\":12,\"models\":[{\"name\":\"m\"}]}}],"
    "\"limits\":{\"head_bytes\":16384,\"body_bytes\":4194304,\"head_ms\":3000,\"idle_ms\":15000,"
    "\"tokens_per_second\":390000},\"workspaces\":[{\"name\":\"tenant-a\",\"keys\":[\"key-a\"],"
    "\"priority\":1}]}";

typedef struct {
    char front[64];
    char id[32];
    bool has_part; /* the part that crashes workers */
    atomic_int* sent;
    atomic_int* begun;
} request;

static void* run_request(void* data) {
    request* r = data;
    char fields[512];
    stage_answer answer = {0};
    int fd = client_open(r->front);
    snprintf(fields, sizeof fields,
             "Key: key-a\r\nModel: m\r\nToken-Usage: 1000,60\r\n"
             "Prompt-Prefix: 5a5a0001:400,%s:300,%s:300\r\nDeadline-Ms: 6000\r\n",
             r->has_part ? "bad0bad0" : "900d0001", r->id + 4);
    (*r->sent)++;
    if (client_send(fd, "POST", "/llm/events-20-50-chunks", r->id, fields)) {
        client_read(fd, 7000, &answer);
    }
    bool begun = answer.status == 200 && strstr(answer.body, "data: ");
    *r->begun += begun;
    stage_record("%s request %s: status=%d begun=%d whole=%d%s", r->has_part ? "other" : "sound",
                 r->id, answer.status, begun, answer.whole,
                 answer.body && strstr(answer.body, "quarantined") ? " quarantined" : "");
    client_clear(&answer);
    close(fd);
    free(r);
    return NULL;
}

static stage s;
static stage_worker workers[WORKERS];
static int64_t back_at[WORKERS];
static int crashes;
static int64_t last_crash_at;
static int requests;

static void keep_workers(int ms) {
    int64_t until = stage_now_ms() + ms;
    do {
        for (int i = 0; i < WORKERS; i++) {
            if (worker_restart_if_ended(&s, &workers[i], &back_at[i], BACK_MS)) {
                last_crash_at = ++crashes <= CRASHES ? stage_now_ms() : last_crash_at;
            }
        }
        stage_sleep(10);
    } while (stage_now_ms() < until);
}

static void send_request(bool has_part, atomic_int* sent, atomic_int* begun) {
    pthread_t thread;
    request* r = malloc(sizeof *r);
    *r = (request){.has_part = has_part, .sent = sent, .begun = begun};
    stage_address(&s, requests % STAGE_MACHINES, 8783, r->front);
    snprintf(r->id, sizeof r->id, "%s%08x", has_part ? "part" : "good", 0x100 + requests++);
    pthread_create(&thread, NULL, run_request, r);
    pthread_detach(thread);
}

int main(int argc, char** argv) {
    atomic_int before_sent = 0;
    atomic_int before_begun = 0;
    atomic_int early_sent = 0;
    atomic_int early_begun = 0;
    atomic_int sent = 0;
    atomic_int begun = 0;
    atomic_int others_sent = 0;
    atomic_int others_begun = 0;
    stage_begin(&s, argc > 1 ? argv[1] : "record.txt");
    if (!stage_put(&s, configuration, 15000) || !stage_wait_ready(&s)) {
        stage_end(&s, STAGE_NOT_RUN);
    }
    for (int i = 0; i < WORKERS; i++) {
        char id[32];
        snprintf(id, sizeof id, "w-%d", i + 1);
        worker_init(&s, &workers[i], id, "llm", i + 1);
        workers[i].crash_part = s.trouble ? "bad0bad0" : NULL;
        worker_start(&s, &workers[i], false);
    }
    keep_workers(4000);
    for (int i = 0; i < BEFORE; i++) {
        send_request(false, &before_sent, &before_begun);
        keep_workers(BEFORE_GAP_MS);
    }
    keep_workers(QUIET_MS);
    for (int i = 0; i < FIRST; i++) {
        send_request(true, &others_sent, &others_begun);
        keep_workers(FIRST_GAP_MS);
    }
    for (int i = 0; i < ROUNDS; i++) {
        bool counts = stage_now_ms() - last_crash_at > SETTLE_MS;
        send_request(false, counts ? &sent : &early_sent, counts ? &begun : &early_begun);
        if (i % 4 == 3) {
            send_request(true, &others_sent, &others_begun);
        }
        keep_workers(ROUND_MS);
    }
    keep_workers(2000);
    stage_record(
        "crashes=%d; before: %d of %d begun; while such requests come, from %d ms after the "
        "last of the first %d crashes: %d of %d begun (%d of %d until then)",
        crashes, before_begun, before_sent, SETTLE_MS, CRASHES, begun, sent, early_begun,
        early_sent);
    bool enough = before_sent >= ENOUGH && sent >= ENOUGH && (crashes > 0 || !s.trouble);
    bool broken = (double)begun / sent < 0.5 * before_begun / before_sent;
    stage_end(&s, !enough ? STAGE_NOT_RUN : broken ? STAGE_BROKEN : STAGE_HELD);
}
