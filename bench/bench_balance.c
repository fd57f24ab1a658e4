/* bench_balance.c -- CPU time of choosing a target, by number of targets */
#include <string.h>

#include "bench.h"
#include "wg_balance.h"

enum {
    CHOICES = 20000,
    PLAIN_TARGETS = 6, /* targets of another service */
    HOSTS = 90
};

static void add_target(wg_registry* registry, int number, const char* service) {
    wg_target t = {.state = WG_TARGET_READY, .sequence = 1, .slots = 16};
    g_snprintf(t.id, sizeof t.id, "t-%d", number);
    g_snprintf(t.address, sizeof t.address, "10.0.%d.%d:80", number / 250, number % 250 + 1);
    wg_copy_name(t.service, sizeof t.service, service);
    wg_copy_name(t.data_centre, sizeof t.data_centre, number % 3 ? "a" : "b");
    wg_registry_apply(registry, 0, &t);
}

static void measure_choice(int targets) {
    wg_registry* registry = wg_registry_setup(&(wg_registry_desc){0});
    wg_balance* b = wg_balance_setup(&(wg_balance_desc){.data_centre = "a", .seed = 3});
    for (int i = 0; i < targets; i++) {
        add_target(registry, i, "an-engine-service");
    }
    for (int i = 0; i < PLAIN_TARGETS; i++) {
        add_target(registry, targets + i, "a-plain-service");
    }
    wg_balance_sync(b, registry);
    wg_balance_set_hosts(b, HOSTS);
    double begin = bench_cpu_us();
    for (int i = 0; i < CHOICES; i++) {
        wg_prompt prompt = {.parts = {(uint64_t)i % 229 + 1, (uint64_t)i + 1000000},
                            .sizes = {5400, 6600},
                            .num = 2,
                            .tokens = 12000,
                            .answer = 300};
        wg_balance_request need = {
            .service = "an-engine-service", .prompt = &prompt, .slots = 16, .copies = true};
        wg_balance_choice choice = wg_balance_choose(b, i, &need);
        wg_balance_begin(b, i, &choice);
        wg_balance_end(b, i, &choice, WG_RESULT_SUCCESS);
    }
    char line[80];
    g_snprintf(line, sizeof line, "balance: choice of a target, %d targets, %d hosts", targets,
               HOSTS);
    bench_print(line, (bench_cpu_us() - begin) / CHOICES, "us");
    wg_balance_shutdown(b);
    wg_registry_shutdown(registry);
}

int main(void) {
    measure_choice(20);
    measure_choice(200);
    measure_choice(700);
    return 0;
}
