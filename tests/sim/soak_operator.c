/* soak_operator.c -- the operator of the fault soak: configurations, reads and evacuations */
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <string.h>

#include "soak_internal.h"
#include "wg_net.h"

/* Routes that stay: one more every ERA_VERSIONS versions. */
static char* make_eras(int version) {
    GString* routes = g_string_new(NULL);
    for (int era = 1; era <= version / ERA_VERSIONS; era++) {
        g_string_append_printf(
            routes,
            ",{\"name\":\"era-%d\",\"host\":\"soak\",\"path_prefix\":\"/era-%d/"
            "\",\"kind\":\"safe\","
            "\"timeout_ms\":2500,\"objective_ms\":500,\"attempts\":3,\"service\":\"app\"}",
            era, era);
    }
    return g_string_free(routes, FALSE);
}

static char* make_configuration(int version) {
    char* eras = make_eras(version);
    char* text = g_strdup_printf(
        "{\"version\":%d,\"note\":\"made-as-%d\",\"services\":[{\"name\":\"app\",\"cold_s\":2,"
        "\"cold_per_second\":8},"
        "{\"name\":\"engine\",\"cold_s\":2,\"cold_per_second\":8,\"engine\":{\"slots\":64,\"memory_"
        "tokens\":200000,"
        "\"copies\":true}}],\"routes\":["
        "{\"name\":\"u\",\"host\":\"soak\",\"path_prefix\":\"/unsafe/\",\"kind\":\"unsafe\","
        "\"timeout_ms\":2500,\"objective_ms\":500,\"attempts\":2,\"service\":\"app\"},"
        "{\"name\":\"s\",\"host\":\"soak\",\"path_prefix\":\"/safe/\",\"kind\":\"safe\","
        "\"timeout_ms\":2500,\"objective_ms\":500,\"attempts\":3,\"service\":\"app\"},"
        "{\"name\":\"e\",\"host\":\"soak\",\"path_prefix\":\"/stream/\",\"kind\":\"stream\","
        "\"timeout_ms\":2500,\"objective_ms\":500,\"attempts\":3,\"resumable\":true,"
        "\"service\":\"engine\"},"
        "{\"name\":\"n\",\"host\":\"soak\",\"path_prefix\":\"/only-%d/\",\"kind\":\"safe\","
        "\"timeout_ms\":2500,\"objective_ms\":500,\"attempts\":3,\"service\":\"app\"}%s],"
        "\"limits\":{},"
        "\"workspaces\":[{\"name\":\"w\",\"keys\":[\"key\"]}]}",
        version, version, version, eras);
    g_free(eras);
    return text;
}

static void check_read(soak* s, const operator_request* o, struct evhttp_request* request) {
    struct evbuffer* in = evhttp_request_get_input_buffer(request);
    size_t size = evbuffer_get_length(in);
    json_t* json = json_loadb((const char*)evbuffer_pullup(in, -1), size, 0, NULL);
    int version = (int)json_integer_value(json_object_get(json, "version"));
    json_decref(json);
    char* sent = make_configuration(version);
    if (version < o->version) {
        soak_record_violation(
            s, "read configuration version %d although version %d had been acknowledged", version,
            o->version);
    } else if (size != strlen(sent) || memcmp(evbuffer_pullup(in, -1), sent, size) != 0) {
        soak_record_violation(s, "configuration version %d does not read back as it was sent",
                              version);
    }
    g_free(sent);
}

static void on_operator_answer(struct evhttp_request* request, void* user_data) {
    operator_request* o = user_data;
    soak* s = o->s;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    if (o->put) {
        s->put_in_flight = false;
        if (status == 200) {
            s->acknowledged = MAX(s->acknowledged, o->version);
            s->result.acknowledged++;
            soak_record_era(s, o->version);
        } else if (status >= 400 && status < 500) {
            soak_record_violation(s, "configuration version %d was refused with status %d",
                                  o->version, status);
        }
    } else if (status == 200) {
        check_read(s, o, request);
    }
    g_free(o);
}

/* A connection to a random host's orders address; freed after one request. */
static struct evhttp_connection* connect_operator(soak* s) {
    char ip[WG_ADDRESS_MAX];
    uint16_t port;
    wgn_split_address(soak_random_host(s)->orders, ip, &port);
    struct evhttp_connection* connection = evhttp_connection_base_new(s->base, NULL, ip, port);
    evhttp_connection_set_timeout(connection, 2);
    evhttp_connection_free_on_completion(connection);
    return connection;
}

static void send_operator_request(soak* s, bool put, int version) {
    operator_request* o = g_new0(operator_request, 1);
    *o = (operator_request){.s = s, .put = put, .version = version};
    struct evhttp_connection* connection = connect_operator(s);
    struct evhttp_request* request = evhttp_request_new(on_operator_answer, o);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "orders");
    if (put) {
        char* text = make_configuration(version);
        evbuffer_add(evhttp_request_get_output_buffer(request), text, strlen(text));
        g_free(text);
        s->put_in_flight = true;
    }
    evhttp_make_request(connection, request, put ? EVHTTP_REQ_PUT : EVHTTP_REQ_GET,
                        "/v1/configuration");
}

/* ---- evacuations ----------------------------------------------------------------------------- */

static void on_evacuation(struct evhttp_request* request, void* user_data) {
    soak* s = user_data;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    s->evacuation_in_flight = false;
    if (status == 200) {
        s->evacuation_acknowledged = true;
        if (s->evacuating) {
            s->evacuations[s->evacuations_num++] = (evacuation){.from = wg_now()};
            s->result.evacuations++;
        }
    } else if (status >= 400 && status < 500) {
        soak_record_violation(s, "an evacuation request was refused with status %d", status);
    }
}

static void send_evacuation(soak* s) {
    struct evhttp_connection* connection = connect_operator(s);
    struct evhttp_request* request = evhttp_request_new(on_evacuation, s);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "orders");
    s->evacuation_in_flight = true;
    evhttp_make_request(connection, request, s->evacuating ? EVHTTP_REQ_PUT : EVHTTP_REQ_DELETE,
                        "/v1/evacuations/" HOSTS_EVACUABLE);
}

/* Repeats a request until it is acknowledged, then begins or ends an evacuation at random. */
static void run_evacuations(soak* s) {
    enum {
        CHANGE_ONE_IN = 10 /* of the operator's periods */
    };
    if (s->evacuation_in_flight || !s->formed) {
        return;
    }
    bool settled = s->evacuation_acknowledged;
    bool change = settled && soak_random(s, CHANGE_ONE_IN) == 0 && !s->faults_over &&
                  s->evacuations_num < EVACUATIONS_MAX;
    if (change) {
        s->evacuating = !s->evacuating;
        s->evacuation_acknowledged = false;
        if (!s->evacuating) {
            s->evacuations[s->evacuations_num - 1].until = wg_now();
        }
    }
    if (change || !settled) {
        send_evacuation(s);
    }
}

void soak_run_operator(soak* s, wg_time now) {
    if (now < s->next_operator_at) {
        return;
    }
    s->next_operator_at = now + 250 * WG_USEC_PER_MSEC;
    run_evacuations(s);
    send_operator_request(s, false, s->acknowledged);
    if (s->put_in_flight) {
        return;
    }
    /* A configuration that was not acknowledged is sent again unchanged. */
    bool resend = s->acknowledged < s->version;
    if (!resend && s->version < VERSIONS_MAX && !s->faults_over) {
        s->version++;
    }
    send_operator_request(s, true, s->version);
}
