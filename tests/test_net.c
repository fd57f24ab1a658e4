/* test_net.c -- links between processes beside a flood of other events */
#include <event2/event.h>
#include <unistd.h>

#include "wg_net.h"
#include "wg_test.h"

enum {
    FLOOD = 2000,  /* events that are always active */
    WORK_US = 100, /* each takes */
    CALLBACKS = 32,
    FRAMES = 10
};

static struct event_base* base;
static struct event* flood[FLOOD];
static wgn_net* near_net;
static wgn_net* far_net;
static wgn_link link_up;
static int frames;
static wg_time sent_at;
static wg_time longest;

static void on_flood(evutil_socket_t fd, short what, void* user_data) {
    (void)fd;
    (void)what;
    wg_time until = wg_now() + WORK_US;
    while (wg_now() < until) {
    }
    event_active(*(struct event**)user_data, EV_TIMEOUT, 1);
}

static void send_next(void) {
    Wgpb__AdmitNote note = WGPB__ADMIT_NOTE__INIT;
    sent_at = wg_now();
    ck_assert(wgn_send(near_net, link_up, WGW_TYPE_ADMIT_NOTE, &note.base));
}

static void on_up(wgn_link link, const wgn_peer* peer, void* user_data) {
    (void)peer;
    if (user_data == &near_net) {
        link_up = link;
        send_next();
    }
}

static void on_frame(wgn_link link, const wgw_frame* frame, void* user_data) {
    (void)link;
    (void)frame;
    (void)user_data;
    longest = MAX(longest, wg_now() - sent_at);
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

/* A host that is flooded by callers still hears what the fleet says. */
START_TEST(links_go_before_a_flood) {
    struct event_config* config = event_config_new();
    struct timeval turn = {.tv_usec = 2000};
    event_config_set_max_dispatch_interval(config, &turn, CALLBACKS, WGN_PRIORITIES - 1);
    base = event_base_new_with_config(config);
    event_config_free(config);
    event_base_priority_init(base, WGN_PRIORITIES);
    near_net = net(&near_net);
    far_net = net(&far_net);
    char* address = g_strdup_printf("127.78.%d.1:%d", getpid() % 250 + 1, 18000 + getpid() % 9000);
    ck_assert(wgn_listen(far_net, address, NULL));
    ck_assert_uint_ne(wgn_dial(near_net, address).id, 0);
    for (int i = 0; i < FLOOD; i++) {
        flood[i] = event_new(base, -1, EV_PERSIST, on_flood, &flood[i]);
        event_active(flood[i], EV_TIMEOUT, 1);
    }
    event_base_dispatch(base);
    ck_assert_int_eq(frames, FRAMES);
    /* One round of the flood takes 200 ms, a turn of it 3. */
    ck_assert_int_lt(longest, 60 * MSEC);
    for (int i = 0; i < FLOOD; i++) {
        event_free(flood[i]);
    }
    wgn_shutdown(near_net);
    wgn_shutdown(far_net);
    event_base_free(base);
    g_free(address);
}
END_TEST

WG_TEST_MAIN("net", links_go_before_a_flood)
