/* sim_trace.c -- parses traces; see sim_fleet.h and docs/TRACES.md */
#include <string.h>

#include "sim_fleet.h"

/* ---- helpers ------------------------------------------------------------------------------ */

static bool fail(GError** error, int line, const char* why) {
    g_set_error(error, WG_ERROR, WG_ERROR_INVALID, "line %d: %s", line, why);
    return false;
}

/* Value of the option "name=value" in a line, or `def`. */
static const char* option(char** words, const char* name, const char* def) {
    size_t length = strlen(name);
    for (int i = 1; words[i]; i++) {
        if (strncmp(words[i], name, length) == 0 && words[i][length] == '=') {
            return words[i] + length + 1;
        }
    }
    return def;
}

static double number_option(char** words, const char* name, double def) {
    const char* text = option(words, name, NULL);
    return text ? g_ascii_strtod(text, NULL) : def;
}

static wg_time time_option(char** words, const char* name, double def) {
    return (wg_time)(number_option(words, name, def) * WG_USEC_PER_SEC);
}

static int find_workspace(const simf_trace* t, const char* name) {
    for (int i = 0; i < t->workspaces_num; i++) {
        if (strcmp(t->workspaces[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static void parse_fleet(simf_trace* t, char** words) {
    t->seed = (uint64_t)number_option(words, "seed", 1);
    t->routers = (int)CLAMP(number_option(words, "routers", 10), 1, SIMF_ROUTERS_MAX);
    t->targets = (int)CLAMP(number_option(words, "targets", 20), 1, SIMF_TARGETS_MAX);
    t->slots = (int)number_option(words, "slots", 8);
    t->pace = (wg_time)(number_option(words, "pace_ms", 20) * WG_USEC_PER_MSEC);
    t->duration = time_option(words, "duration_s", 60);
    t->delay = (wg_time)(number_option(words, "delay_ms", 1) * WG_USEC_PER_MSEC);
    t->report = (wg_time)(number_option(words, "report_ms", 200) * WG_USEC_PER_MSEC);
    t->queue_wait = time_option(words, "queue_s", 1000);
    t->deadline = time_option(words, "deadline_s", 2000);
    t->over_percent = (int)number_option(words, "over_percent", 0);
    t->queue_limit = (int64_t)number_option(words, "queue_limit", 100000);
}

static bool parse_workspace(simf_trace* t, char** words, int line, GError** error) {
    if (!words[1] || !words[2] || t->workspaces_num == SIMF_WORKSPACES_MAX) {
        return fail(error, line, "expected: workspace <name> <weight>, at most 64 workspaces");
    }
    simf_workspace* w = &t->workspaces[t->workspaces_num++];
    g_strlcpy(w->name, words[1], sizeof w->name);
    w->weight = MAX(g_ascii_strtoll(words[2], NULL, 10), 1);
    return true;
}

static bool parse_load(simf_trace* t, char** words, int line, GError** error) {
    int workspace = words[1] ? find_workspace(t, words[1]) : -1;
    if (workspace < 0 || t->loads_num == SIMF_LOADS_MAX) {
        return fail(error, line, "load for an unknown workspace, or too many loads");
    }
    const char* routers = option(words, "routers", "");
    const char* to = strchr(routers, '-');
    simf_load* load = &t->loads[t->loads_num++];
    *load = (simf_load){.workspace = workspace,
                        .from = time_option(words, "from_s", 0),
                        .to = time_option(words, "to_s", 1e6),
                        .rate = number_option(words, "rate", 1),
                        .tokens_min = (int64_t)number_option(words, "tokens_min", 50),
                        .tokens_max = (int64_t)number_option(words, "tokens_max", 200),
                        .estimate = (int64_t)number_option(words, "estimate", 0),
                        .urgent = number_option(words, "urgent", 0) > 0};
    load->router_first = routers[0] ? (int)g_ascii_strtoll(routers, NULL, 10) : 0;
    load->router_last = to ? (int)g_ascii_strtoll(to + 1, NULL, 10)
                           : (routers[0] ? load->router_first : t->routers - 1);
    load->router_first = CLAMP(load->router_first, 0, t->routers - 1);
    load->router_last = CLAMP(load->router_last, load->router_first, t->routers - 1);
    return true;
}

static bool parse_fault(simf_trace* t, char** words, int line, GError** error) {
    static const char* names[SIMF_FAULT_NUM] = {
        "",           "cut_router",  "restart_router", "lose_leader", "lose_targets",
        "set_weight", "kill_targets"};
    simf_fault fault = {.from = time_option(words, "from_s", 0),
                        .to = time_option(words, "to_s", 0)};
    for (int i = 1; i < SIMF_FAULT_NUM; i++) {
        if (words[1] && strcmp(words[1], names[i]) == 0) {
            fault.type = (simf_fault_type)i;
        }
    }
    if (fault.type == SIMF_FAULT_DEFAULT || t->faults_num == SIMF_FAULTS_MAX) {
        return fail(error, line, "unknown fault type, or too many faults");
    }
    fault.a = (int)number_option(words, "first", number_option(words, "router", 0));
    fault.b = (int)number_option(words, "last", number_option(words, "weight", fault.a));
    const char* workspace = option(words, "workspace", NULL);
    if (workspace) {
        fault.a = find_workspace(t, workspace);
    }
    t->faults[t->faults_num++] = fault;
    return fault.a >= 0 || fail(error, line, "unknown workspace");
}

static bool parse_expect(simf_trace* t, char** words, int line, GError** error) {
    double ignored;
    simf_result none = {0};
    bool good = words[1] && words[2] && words[3] && strchr("<>", words[2][0]) &&
                simf_metric(&none, words[1], &ignored) && t->expects_num < SIMF_EXPECTS_MAX;
    if (!good) {
        return fail(error, line,
                    "expected: expect <metric> < or > <value>, at most 32 expectations");
    }
    simf_expect* expect = &t->expects[t->expects_num++];
    g_strlcpy(expect->metric, words[1], sizeof expect->metric);
    expect->op = words[2][0];
    expect->value = g_ascii_strtod(words[3], NULL);
    return true;
}

static bool parse_line(simf_trace* t, char** words, int line, GError** error) {
    if (!words[0] || words[0][0] == '#') {
        return true;
    }
    if (strcmp(words[0], "trace") == 0 && words[1]) {
        g_strlcpy(t->name, words[1], sizeof t->name);
        return true;
    }
    if (strcmp(words[0], "fleet") == 0) {
        parse_fleet(t, words);
        return true;
    }
    if (strcmp(words[0], "workspace") == 0) {
        return parse_workspace(t, words, line, error);
    }
    if (strcmp(words[0], "load") == 0) {
        return parse_load(t, words, line, error);
    }
    if (strcmp(words[0], "fault") == 0) {
        return parse_fault(t, words, line, error);
    }
    if (strcmp(words[0], "expect") == 0) {
        return parse_expect(t, words, line, error);
    }
    return fail(error, line, "unknown statement");
}

/* ---- public functions --------------------------------------------------------------------- */

bool simf_trace_parse(const char* text, simf_trace* trace, GError** error) {
    *trace = (simf_trace){0};
    parse_fleet(trace, (char*[]){(char*)"fleet", NULL});
    char** lines = g_strsplit(text, "\n", -1);
    bool good = true;
    for (int i = 0; lines[i] && good; i++) {
        char** raw = g_strsplit_set(g_strstrip(lines[i]), " \t", -1);
        char* words[32] = {0};
        int num = 0;
        for (int w = 0; raw[w] && num < 31; w++) {
            if (raw[w][0]) {
                words[num++] = raw[w];
            }
        }
        good = parse_line(trace, words, i + 1, error);
        g_strfreev(raw);
    }
    g_strfreev(lines);
    return good;
}

bool simf_trace_read(const char* path, simf_trace* trace, GError** error) {
    char* text;
    if (!g_file_get_contents(path, &text, NULL, error)) {
        return false;
    }
    bool good = simf_trace_parse(text, trace, error);
    g_free(text);
    if (!good) {
        g_prefix_error(error, "%s: ", path);
    }
    return good;
}
