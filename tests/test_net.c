/* test_net.c -- links between processes: priority over other events, stalled processes, shared
   frames, peers that do not read */
#include <event2/event.h>
#include <unistd.h>

#include "loopback.h"
#include "wg_net.h"
#include "wg_test.h"

enum {
    FLOOD_EVENTS = 2000,  /* events that are always active */
    FLOOD_EVENT_US = 100, /* run time of a flood event */
    CALLBACKS_PER_TURN = 32,
    FRAMES = 10
};

static struct event_base* base;
static struct event* flood[FLOOD_EVENTS];
static wgn_net* client_net;
static wgn_net* server_net;
static wgn_link link_up;
static int frames;
static wg_time sent_at;
static wg_time longest_delay;

static void on_flood(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_time until = wg_now() + FLOOD_EVENT_US;
    while (wg_now() < until) {
    }
    event_active(*(struct event**)user_data, EV_TIMEOUT, 1);
}

static void send_next(void) {
    Wgpb__AdmitNote note = WGPB__ADMIT_NOTE__INIT;
    sent_at = wg_now();
    ck_assert(wgn_send(client_net, link_up, WGW_TYPE_ADMIT_NOTE, &note.base));
}

static void on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)peer;
    if (user_data == &client_net) {
        link_up = link;
        send_next();
    }
}

static void on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    (void)link;
    (void)frame;
    (void)user_data;
    longest_delay = MAX(longest_delay, wg_now() - sent_at);
    if (++frames == FRAMES) {
        event_base_loopbreak(base);
    } else {
        send_next();
    }
}

static void on_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    (void)peer;
    (void)user_data;
}

static wgn_net* net(wgn_net** which) {
    return wgn_setup(&(wgn_desc){.base = base,
                                 .fleet_key = "key",
                                 .self = {.name = "n", .role = WGW_ROLE_ENTRY},
                                 .on_up = on_up,
                                 .on_frame = on_frame,
                                 .on_down = on_down,
                                 .user_data = which},
                     NULL);
}

/* A host that is flooded by callers still receives messages of the fleet in time. */
START_TEST(links_have_priority_over_a_flood) {
    struct event_config* config = event_config_new();
    struct timeval turn = {.tv_usec = 2000};
    event_config_set_max_dispatch_interval(config, &turn, CALLBACKS_PER_TURN, WGN_PRIORITIES - 1);
    base = event_base_new_with_config(config);
    event_config_free(config);
    event_base_priority_init(base, WGN_PRIORITIES);
    client_net = net(&client_net);
    server_net = net(&server_net);
    char* address = g_strdup_printf("127.78.%d.1:%d", loopback_part(), 18000 + getpid() % 9000);
    ck_assert(wgn_listen(server_net, address, NULL));
    ck_assert_uint_ne(wgn_dial(client_net, address).id, 0);
    for (int i = 0; i < FLOOD_EVENTS; i++) {
        flood[i] = event_new(base, -1, EV_PERSIST, on_flood, &flood[i]);
        event_active(flood[i], EV_TIMEOUT, 1);
    }
    event_base_dispatch(base);
    ck_assert_int_eq(frames, FRAMES);
    /* A round of the flood takes 200 ms, a turn of CALLBACKS_PER_TURN events 3 ms. */
    ck_assert_int_lt(longest_delay, 60 * MSEC);
    for (int i = 0; i < FLOOD_EVENTS; i++) {
        event_free(flood[i]);
    }
    wgn_shutdown(client_net);
    wgn_shutdown(server_net);
    event_base_free(base);
    g_free(address);
}
END_TEST

/* ---- stalled process --------------------------------------------------------------------------
 */

static int stalled_ups;
static int stalled_downs;

static void on_stalled_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    (void)peer;
    (void)user_data;
    stalled_ups++;
}

static void on_stalled_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    (void)peer;
    (void)user_data;
    stalled_downs++;
}

static wgn_net* stalled_net(void) {
    return wgn_setup(&(wgn_desc){.base = base,
                                 .fleet_key = "key",
                                 .self = {.name = "n", .role = WGW_ROLE_CONTROL},
                                 .receive_deadline = 600 * MSEC,
                                 .ping_interval = 150 * MSEC,
                                 .on_up = on_stalled_up,
                                 .on_frame = on_frame,
                                 .on_down = on_stalled_down},
                     NULL);
}

static void run_for(int ms) {
    struct timeval time = {.tv_sec = ms / 1000, .tv_usec = ms % 1000 * 1000};
    event_base_loopexit(base, &time);
    event_base_dispatch(base);
}

/* A process that was stalled for longer than `receive_deadline` keeps its links: it must not take
   its own lag for unresponsive peers. */
START_TEST(stalled_process_keeps_its_links) {
    base = event_base_new();
    event_base_priority_init(base, WGN_PRIORITIES);
    wgn_net* client = stalled_net();
    wgn_net* server = stalled_net();
    char* address = g_strdup_printf("127.80.%d.1:%d", loopback_part(), 18000 + getpid() % 9000);
    ck_assert(wgn_listen(server, address, NULL));
    ck_assert_uint_ne(wgn_dial(client, address).id, 0);
    run_for(300);
    ck_assert_int_eq(stalled_ups, 2);
    for (int i = 0; i < 5; i++) {
        g_usleep(800 * 1000);
        run_for(700);
        ck_assert_int_eq(stalled_downs, 0);
    }
    wgn_shutdown(client);
    wgn_shutdown(server);
    event_base_free(base);
    g_free(address);
}
END_TEST

/* ---- links that do not read -------------------------------------------------------------------
 */

enum {
    READERS = 60,
    FRAME_SIZE = 1 << 20,
    WAITING_BYTES_MAX = 8 << 20 /* bytes that the sender may hold for all links */
};

static struct event_base* server_base;
static wgn_link links[READERS];
static int links_num;
static int links_closed;
static int configurations;

static void on_reader_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)peer;
    if (user_data == &client_net) {
        links[links_num++] = link;
    }
}

static void on_reader_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    (void)link;
    (void)user_data;
    configurations += frame->type == WGW_TYPE_CONFIGURATION && frame->size > FRAME_SIZE;
}

static void on_reader_down(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)link;
    (void)peer;
    links_closed += user_data == &client_net;
}

static wgn_net* reader_net(struct event_base* of, wgn_net** which) {
    wgn_peer self = {.name = "n", .role = WGW_ROLE_ENTRY};
    g_strlcpy(self.data_centre, which == &client_net ? "here" : "there", sizeof self.data_centre);
    return wgn_setup(&(wgn_desc){.base = of,
                                 .fleet_key = "key",
                                 .self = self,
                                 .waiting_max = WAITING_BYTES_MAX,
                                 .on_up = on_reader_up,
                                 .on_frame = on_reader_frame,
                                 .on_down = on_reader_down,
                                 .user_data = which},
                     NULL);
}

static void readers_setup(void) {
    base = event_base_new();
    server_base = event_base_new();
    event_base_priority_init(base, WGN_PRIORITIES);
    event_base_priority_init(server_base, WGN_PRIORITIES);
    client_net = reader_net(base, &client_net);
    server_net = reader_net(server_base, &server_net);
    links_num = links_closed = configurations = 0;
    char* address = g_strdup_printf("127.78.%d.2:%d", loopback_part(), 18000 + getpid() % 9000);
    ck_assert(wgn_listen(server_net, address, NULL));
    for (int i = 0; i < READERS; i++) {
        ck_assert_uint_ne(wgn_dial(client_net, address).id, 0);
    }
    for (int i = 0; i < 3000 && links_num < READERS; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        event_base_loop(server_base, EVLOOP_NONBLOCK);
    }
    ck_assert_int_eq(links_num, READERS);
    g_free(address);
}

static void readers_shutdown(void) {
    wgn_shutdown(client_net);
    wgn_shutdown(server_net);
    event_base_free(base);
    event_base_free(server_base);
}

static wgn_frame* large_frame(int seed) {
    static uint8_t bytes[FRAME_SIZE];
    Wgpb__Configuration message = WGPB__CONFIGURATION__INIT;
    message.version = (uint64_t)seed;
    message.document = (ProtobufCBinaryData){sizeof bytes, bytes};
    return wgn_frame_pack(WGW_TYPE_CONFIGURATION, &message.base);
}

static void send_to_all(wgn_frame* frame) {
    for (int i = 0; i < READERS; i++) {
        wgn_send_frame(client_net, links[i], frame);
    }
}

/* A frame that is sent on many links is held in memory once and reaches every peer. */
START_TEST(frame_for_many_links_is_stored_once) {
    readers_setup();
    wgn_frame* frame = large_frame(1);
    send_to_all(frame);
    wgn_frame_unref(frame);
    event_base_loop(base, EVLOOP_NONBLOCK);
    ck_assert_uint_lt(wgn_query_stats(client_net).waiting, FRAME_SIZE + 100);
    wgn_type_stats sent = wgn_query_stats(client_net).sent[WGW_TYPE_CONFIGURATION];
    ck_assert_uint_eq(sent.frames, READERS);
    ck_assert_uint_eq(sent.remote_bytes, sent.bytes); /* the readers are in another data centre */
    for (int i = 0; i < 20000 && configurations < READERS; i++) {
        event_base_loop(base, EVLOOP_NONBLOCK);
        event_base_loop(server_base, EVLOOP_NONBLOCK);
    }
    ck_assert_int_eq(configurations, READERS);
    ck_assert_uint_eq(wgn_query_stats(client_net).waiting, 0);
    ck_assert_int_eq(links_closed, 0);
    readers_shutdown();
}
END_TEST

static size_t received_size;
static uint32_t received_sum;

static void on_compressed_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    (void)link;
    (void)user_data;
    received_size = frame->size;
    for (size_t i = 0; i < frame->size; i++) {
        received_sum += frame->payload[i];
    }
    ck_assert(!frame->compressed);
}

static void on_any_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)peer;
    if (user_data == &client_net) {
        links[links_num++] = link;
    }
}

static wgn_net* compressing_net(wgn_net** which) {
    wgn_peer self = {.name = "n", .role = WGW_ROLE_ENTRY};
    return wgn_setup(&(wgn_desc){.base = base,
                                 .fleet_key = "key",
                                 .self = self,
                                 .frame_max = FRAME_SIZE + 100,
                                 .on_up = on_any_up,
                                 .on_frame = on_compressed_frame,
                                 .on_down = on_reader_down,
                                 .user_data = which},
                     NULL);
}

/* A compressed message arrives as it was packed; one that unpacks to more than a frame may hold
   closes the link and is not delivered. */
START_TEST(compressed_frame_arrives_whole) {
    static uint8_t bytes[2 * FRAME_SIZE];
    base = event_base_new();
    event_base_priority_init(base, WGN_PRIORITIES);
    client_net = compressing_net(&client_net);
    server_net = compressing_net(&server_net);
    links_num = links_closed = 0;
    received_size = received_sum = 0;
    char* address = g_strdup_printf("127.78.%d.3:%d", loopback_part(), 18000 + getpid() % 9000);
    ck_assert(wgn_listen(server_net, address, NULL));
    ck_assert_uint_ne(wgn_dial(client_net, address).id, 0);
    run_for(200);
    ck_assert_int_eq(links_num, 1);
    memset(bytes, 1, sizeof bytes);
    Wgpb__Configuration message = WGPB__CONFIGURATION__INIT;
    message.document = (ProtobufCBinaryData){FRAME_SIZE, bytes};
    wgn_frame* plain = wgn_frame_pack(WGW_TYPE_CONFIGURATION, &message.base);
    wgn_frame* frame = wgn_frame_pack_compressed(WGW_TYPE_CONFIGURATION, &message.base);
    ck_assert(wgn_send_frame(client_net, links[0], frame));
    run_for(200);
    size_t size = received_size;
    uint32_t sum = received_sum;
    ck_assert_uint_gt(size, FRAME_SIZE);
    ck_assert_uint_lt(wgn_query_stats(client_net).sent[WGW_TYPE_CONFIGURATION].bytes, 10000);
    ck_assert(wgn_send_frame(client_net, links[0], plain));
    run_for(200);
    ck_assert_uint_eq(received_size, size);
    ck_assert_uint_eq(received_sum, 2 * sum);
    wgn_frame_unref(plain);
    wgn_frame_unref(frame);
    message.document.len = sizeof bytes;
    frame = wgn_frame_pack_compressed(WGW_TYPE_CONFIGURATION, &message.base);
    ck_assert(wgn_send_frame(client_net, links[0], frame));
    wgn_frame_unref(frame);
    run_for(200);
    ck_assert_uint_eq(received_sum, 2 * sum);
    ck_assert_int_eq(links_closed, 1);
    wgn_shutdown(client_net);
    wgn_shutdown(server_net);
    event_base_free(base);
    g_free(address);
}
END_TEST

/* Links whose peers do not read are closed before they exceed the process's memory limit. */
START_TEST(links_that_are_not_read_are_closed_at_the_limit) {
    readers_setup();
    for (int i = 0; i < 30; i++) {
        wgn_frame* frame = large_frame(i);
        send_to_all(frame);
        wgn_frame_unref(frame);
        ck_assert_uint_lt(wgn_query_stats(client_net).waiting,
                          WAITING_BYTES_MAX + FRAME_SIZE + 100);
        event_base_loop(base, EVLOOP_NONBLOCK);
    }
    ck_assert_int_eq(links_closed, READERS);
    ck_assert_uint_eq(wgn_query_stats(client_net).links_slow, READERS);
    ck_assert_uint_eq(wgn_query_stats(client_net).waiting, 0);
    readers_shutdown();
}
END_TEST

WG_TEST_MAIN("net", links_have_priority_over_a_flood, stalled_process_keeps_its_links,
             frame_for_many_links_is_stored_once, links_that_are_not_read_are_closed_at_the_limit,
             compressed_frame_arrives_whole)
