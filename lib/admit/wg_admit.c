/* wg_admit.c -- see wg_admit.h */
#include "wg_admit.h"

#include <string.h>

/* ---- types and constants ------------------------------------------------------------------- */

enum {
    /* An account newer than this may lack requests that the target already has. */
    WG_ADMIT_FRESH_TIME = 1500 * WG_USEC_PER_MSEC,
    WG_ADMIT_RUNNING_COST_TOKENS = 20,     /* cost of each running request to the next */
    WG_ADMIT_FAILURES_BEFORE_EJECTION = 3, /* consecutive, over all hosts */
    WG_ADMIT_EJECTION_MIN = 300 * WG_USEC_PER_MSEC,
    WG_ADMIT_EJECTION_DOUBLINGS_MAX = 4,
    WG_ADMIT_PARTS_HELD_MAX = 8192,
    WG_ADMIT_MEMORY_DEFAULT = 200000,       /* capacity of a target's cache in tokens */
    WG_ADMIT_RATE_WINDOW = WG_USEC_PER_SEC, /* period over which a cold target's rate is enforced */
    WG_ADMIT_RATE_MAX = 4096,               /* higher rates are not enforced */
    /* Samples that an account needs before its values are used for the mean of its service and to
       detect late prompts. */
    WG_ADMIT_SAMPLES_MIN = 10,
    /* An answer that ends within this time after its first event came at once, not as a stream. */
    WG_ADMIT_AT_ONCE_TIME = 2 * WG_USEC_PER_MSEC,
    /* A prompt that is later than this does not count: the target may have lost it, and without
       new prompts nothing would show that it reads again. */
    WG_ADMIT_LATE_MAX = 3 * WG_USEC_PER_SEC,
    /* Lateness above which a target counts as stalled, and below which it recovers. They differ,
       and the second has to last, so that a lateness around one value does not alternate events. */
    WG_ADMIT_STALL_LATE = 100 * WG_USEC_PER_MSEC,
    WG_ADMIT_RECOVERED_LATE = 50 * WG_USEC_PER_MSEC,
    WG_ADMIT_RECOVERY_TIME = 200 * WG_USEC_PER_MSEC, /* for which the lateness has to stay low */
    WG_ADMIT_STALL_INTERVAL = WG_USEC_PER_SEC /* least time between two stalls or two recoveries */
};

/* Fraction of a target's cache assumed to hold recently used parts; the rest is for running
   requests. */
static const double WG_ADMIT_MEMORY_SHARE = 0.7;

/* Requests per second that one coordinator grants to a cold target: a fraction of the target's
   rate plus a constant. */
static const double WG_ADMIT_COLD_SHARE = 0.75;
static const double WG_ADMIT_COLD_EXTRA = 2.5;

/* Weight of a new sample of the speed, without `learn_base`. */
static const double WG_ADMIT_SPEED_WEIGHT = 0.05;

typedef struct {
    uint64_t holder;
    uint64_t ticket;
} wg_admit_key;

/* Whether a target counts as stalled. */
typedef struct {
    bool active;
    wg_time began_at;     /* of the last stall */
    wg_time recovered_at; /* from the last stall */
    wg_time timely_since; /* when the lateness fell below the limit; WG_TIME_NEVER: it has not */
} wg_admit_stall_state;

/* The load of the fleet at one target. */
typedef struct {
    uint32_t number;
    uint64_t service; /* hash of its name; 0: not known */
    wg_time created_at;
    uint64_t unread;
    uint32_t running;
    uint64_t admitted; /* total tokens admitted; the clock by which parts are evicted */
    int failures;      /* since the last success */
    wg_time ejected_until;
    wg_speed speed;
    wg_speed speed_before; /* without the last sample */
    wg_admit_key sampled;  /* admission of the last sample */
    wg_time sampled_at;
    wg_time read_until; /* when the target will have read `unread`, by its speed */
    /* admissions of prompts that no later one has overtaken, in order of their grants */
    GQueue unread_order;
    wg_admit_stall_state stall;
    wg_time* grant_times; /* ring of the times of the last `grant_times_num` grants */
    int grant_times_num;
    int oldest_grant;  /* index of the oldest grant in `grant_times` */
    GHashTable* parts; /* part id -> uint64_t*, value of `admitted` when the part was last used */
} wg_admit_account;

/* One granted request. */
typedef struct {
    wg_admit_key key;
    uint32_t target;
    uint32_t unread;   /* prompt tokens not yet processed; 0 after the first event */
    uint32_t expected; /* tokens to be processed until the first event, as of the grant */
    wg_time wait;      /* expected at the grant */
    wg_time granted_at;
    bool is_sample;   /* the time to its first event is to be recorded */
    bool is_in_order; /* linked in `unread_order` */
    GList order_link;
} wg_admission;

struct wg_admit {
    wg_admit_desc desc;
    GHashTable* accounts;   /* target number -> wg_admit_account* */
    GHashTable* admissions; /* wg_admit_key* -> wg_admission* */
};

/* ---- helpers ------------------------------------------------------------------------------- */

static guint wg_admit_key_hash(gconstpointer key) {
    return (guint)wg_hash(key, sizeof(wg_admit_key), 0);
}

static gboolean wg_admit_key_equal(gconstpointer a, gconstpointer b) {
    return memcmp(a, b, sizeof(wg_admit_key)) == 0;
}

static void wg_admit_account_free(void* data) {
    wg_admit_account* account = data;
    g_hash_table_unref(account->parts);
    g_free(account->grant_times);
    g_free(account);
}

static wg_admit_account* wg_admit_find(const wg_admit* a, uint32_t target) {
    return g_hash_table_lookup(a->accounts, GUINT_TO_POINTER(target));
}

static gboolean wg_admit_is_unused(gpointer key, gpointer value, gpointer user_data) {
    (void)key;
    (void)user_data;
    return ((wg_admit_account*)value)->running == 0;
}

static wg_admit_account* wg_admit_account_of(wg_admit* a, wg_time now, uint32_t target) {
    wg_admit_account* account = wg_admit_find(a, target);
    if (account) {
        return account;
    }
    if (g_hash_table_size(a->accounts) >= (guint)a->desc.targets_max) {
        g_hash_table_foreach_remove(a->accounts, wg_admit_is_unused, NULL);
    }
    account = g_new0(wg_admit_account, 1);
    account->number = target;
    account->created_at = now;
    account->stall = (wg_admit_stall_state){.began_at = now - WG_ADMIT_STALL_INTERVAL,
                                            .recovered_at = now - WG_ADMIT_STALL_INTERVAL,
                                            .timely_since = WG_TIME_NEVER};
    wg_speed_setup(&account->speed, &(wg_speed_desc){.learn_base = a->desc.learn_base,
                                                     .weight = WG_ADMIT_SPEED_WEIGHT});
    account->parts = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_hash_table_insert(a->accounts, GUINT_TO_POINTER(target), account);
    return account;
}

/* Tokens at the start of the prompt that the target should still hold. */
static uint32_t wg_admit_held(const wg_admit_account* account, const wg_admit_request* request) {
    double memory = request->memory > 0 ? (double)request->memory : WG_ADMIT_MEMORY_DEFAULT;
    uint64_t capacity = (uint64_t)(memory * WG_ADMIT_MEMORY_SHARE);
    uint32_t held = 0;
    for (int i = 0; i < request->parts_num; i++) {
        const uint64_t* used_at = g_hash_table_lookup(account->parts, &request->parts[i]);
        if (!used_at || account->admitted - *used_at > capacity) {
            break;
        }
        held += request->sizes[i];
    }
    return MIN(held, request->tokens);
}

static void wg_admit_record_part(wg_admit_account* account, uint64_t part) {
    uint64_t* used_at = g_hash_table_lookup(account->parts, &part);
    if (!used_at) {
        if (g_hash_table_size(account->parts) >= WG_ADMIT_PARTS_HELD_MAX) {
            g_hash_table_remove_all(account->parts);
        }
        uint64_t* pair = g_new(uint64_t, 2);
        pair[0] = part;
        used_at = pair + 1;
        g_hash_table_insert(account->parts, pair, used_at);
    }
    *used_at = account->admitted;
}

static void wg_admit_record_parts(wg_admit_account* account, const wg_admit_request* request) {
    for (int i = 0; i < request->parts_num; i++) {
        wg_admit_record_part(account, request->parts[i]);
    }
}

/* Tokens of the shared parts that are neither held nor copied. */
static uint32_t wg_admit_missing(const wg_admit_request* request, uint32_t available) {
    uint32_t shared = 0;
    for (int i = 0; i < request->parts_num; i++) {
        shared += request->sizes[i];
    }
    return shared > available ? shared - available : 0;
}

/* Starts a new account of the service from the mean of the others, which are more alike than the
   default values. */
static void wg_admit_start_speed(const wg_admit* a, wg_admit_account* account) {
    wg_speed_values sum = {0};
    int num = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, a->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wg_admit_account* other = value;
        wg_speed_values values = wg_speed_values_of(&other->speed);
        if (other->service == account->service && values.samples >= WG_ADMIT_SAMPLES_MIN) {
            sum.base += values.base;
            sum.speed += values.speed;
            num++;
        }
    }
    if (num > 0) {
        wg_speed_start(&account->speed, &(wg_speed_values){sum.base / num, sum.speed / num, 0});
    }
}

/* Takes over what the request states about the target, if it is based on more samples. */
static void wg_admit_update_speed(const wg_admit* a, wg_admit_account* account,
                                  const wg_admit_request* request) {
    if (!a->desc.learn_base) {
        return;
    }
    if (account->service == 0 && request->service != 0) {
        account->service = request->service;
        wg_admit_start_speed(a, account);
    }
    if (request->speed.samples > wg_speed_values_of(&account->speed).samples) {
        wg_speed_adopt(&account->speed, &request->speed);
    }
}

/* Lateness of the oldest unread prompt, compared to the wait expected at its grant. A target that
   reads later prompts first does not stall, so an overtaken prompt does not count. */
static wg_time wg_admit_late(const wg_admit_account* account, wg_time now) {
    if (wg_speed_values_of(&account->speed).samples < WG_ADMIT_SAMPLES_MIN) {
        return 0;
    }
    for (const GList* at = account->unread_order.head; at; at = at->next) {
        const wg_admission* oldest = at->data;
        wg_time late = now - oldest->granted_at - oldest->wait;
        if (late <= WG_ADMIT_LATE_MAX) {
            return MAX(late, 0);
        }
    }
    return 0;
}

/* Part of the `ahead` tokens that the target still has to read. Prompts count as unread until their
   first event, which comes some time after they were read; taken as a whole they would make the
   target look faster than it is. Without learn_base they count as a whole. */
static uint32_t wg_admit_queued(const wg_admit_account* account, wg_time now, uint32_t ahead) {
    if (!account->speed.desc.learn_base) {
        return ahead;
    }
    double left = (double)(account->read_until - now) * wg_speed_values_of(&account->speed).speed;
    uint32_t read = (uint32_t)(account->unread - CLAMP(left, 0, (double)account->unread));
    return ahead - MIN(read, ahead);
}

static wg_admit_answer wg_admit_estimate(const wg_admit_account* account, wg_time now,
                                         const wg_admit_request* request) {
    bool fresh = now - account->created_at < WG_ADMIT_FRESH_TIME;
    wg_admit_answer answer = {.ahead = (uint32_t)account->unread, .running = account->running};
    if (fresh) {
        answer.ahead = MAX(answer.ahead, request->floor_unread);
        answer.running = MAX(answer.running, request->floor_running);
    }
    answer.held = wg_admit_held(account, request);
    uint32_t available = MIN(MAX(answer.held, request->copied), request->tokens);
    answer.unread = request->tokens - available;
    uint32_t queued = wg_admit_queued(account, now, answer.ahead);
    uint32_t tokens = queued + answer.unread + answer.running * WG_ADMIT_RUNNING_COST_TOKENS;
    answer.late = wg_admit_late(account, now);
    answer.wait = wg_speed_wait(&account->speed, tokens) + answer.late;
    uint32_t before = queued;
    if (request->limits.counts_missing) {
        before += wg_admit_missing(request, available);
    }
    answer.wait_ahead = wg_speed_read_time(&account->speed, before) + answer.late;
    answer.speed = wg_speed_values_of(&account->speed);
    return answer;
}

static void wg_admit_enter_order(wg_admit_account* account, wg_admission* admission) {
    admission->is_in_order = true;
    admission->order_link = (GList){.data = admission};
    g_queue_push_tail_link(&account->unread_order, &admission->order_link);
}

static void wg_admit_leave_order(wg_admit_account* account, wg_admission* admission) {
    if (admission->is_in_order) {
        g_queue_unlink(&account->unread_order, &admission->order_link);
        admission->is_in_order = false;
    }
}

/* Removes an admission whose prompt was read, and all that it has overtaken. */
static void wg_admit_advance_order(wg_admit_account* account, wg_admission* read) {
    while (read->is_in_order) {
        wg_admit_leave_order(account, g_queue_peek_head(&account->unread_order));
    }
}

static void wg_admit_grant(wg_admit* a, wg_admit_account* account, wg_time now,
                           const wg_admit_request* request, const wg_admit_answer* answer) {
    wg_admission* admission = g_new0(wg_admission, 1);
    admission->key = (wg_admit_key){request->holder, request->ticket};
    admission->target = request->target;
    admission->unread = answer->unread;
    admission->expected = wg_admit_queued(account, now, answer->ahead) + answer->unread;
    admission->wait = answer->wait;
    admission->granted_at = now;
    /* When a request without a prompt gets its first event depends on the request. */
    admission->is_sample = !a->desc.learn_base || request->tokens > 0;
    if (a->desc.learn_base && request->tokens > 0) {
        admission->expected += answer->running * WG_ADMIT_RUNNING_COST_TOKENS;
        wg_admit_enter_order(account, admission);
    }
    account->unread += answer->unread;
    account->read_until =
        MAX(account->read_until, now) + wg_speed_read_time(&account->speed, answer->unread);
    account->running++;
    account->admitted += answer->unread + request->answer;
    wg_admit_record_parts(account, request);
    g_hash_table_insert(a->admissions, &admission->key, admission);
}

/* Subtracts the tokens of an admission from the target's unprocessed tokens. */
static void wg_admit_settle_read(wg_admit* a, wg_admission* admission) {
    wg_admit_account* account = wg_admit_find(a, admission->target);
    WG_ASSERT(account && account->unread >= admission->unread);
    account->unread -= admission->unread;
    account->read_until -= wg_speed_read_time(&account->speed, admission->unread);
    admission->unread = 0;
    wg_admit_leave_order(account, admission);
}

static void wg_admit_settle(wg_admit* a, wg_admission* admission) {
    wg_admit_settle_read(a, admission);
    wg_admit_account* account = wg_admit_find(a, admission->target);
    WG_ASSERT(account->running > 0);
    account->running--;
}

static void wg_admit_record_failure(wg_admit_account* account, wg_time now) {
    if (++account->failures < WG_ADMIT_FAILURES_BEFORE_EJECTION) {
        return;
    }
    int doublings =
        MIN(account->failures - WG_ADMIT_FAILURES_BEFORE_EJECTION, WG_ADMIT_EJECTION_DOUBLINGS_MAX);
    account->ejected_until = now + ((wg_time)WG_ADMIT_EJECTION_MIN << doublings);
}

/* True if the target is ejected. If more than half of all targets are, the cause lies elsewhere
   and none counts as ejected. */
static bool wg_admit_is_ejected(const wg_admit* a, const wg_admit_account* account, wg_time now) {
    if (now >= account->ejected_until) {
        return false;
    }
    guint ejected = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, a->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ejected += now < ((const wg_admit_account*)value)->ejected_until;
    }
    return ejected * 2 <= g_hash_table_size(a->accounts);
}

/* Requests per second granted to a cold target. Hosts may briefly disagree on who coordinates
   it: two coordinators together stay within one and a half times its rate plus five requests. */
static int wg_admit_cold_rate(double rate) {
    return MAX((int)MIN(rate, WG_ADMIT_COLD_SHARE * rate + WG_ADMIT_COLD_EXTRA), 1);
}

/* True if a cold target has been granted its rate for the current window. */
static bool wg_admit_is_over_rate(wg_admit_account* account, wg_time now, double rate) {
    if (!(rate > 0) || rate > WG_ADMIT_RATE_MAX) {
        return false;
    }
    int rate_limit = wg_admit_cold_rate(rate);
    if (account->grant_times_num != rate_limit) {
        account->grant_times = g_renew(wg_time, account->grant_times, rate_limit);
        account->grant_times_num = rate_limit;
        account->oldest_grant = 0;
        for (int i = 0; i < rate_limit; i++) {
            account->grant_times[i] = -WG_ADMIT_RATE_WINDOW;
        }
    }
    return now - account->grant_times[account->oldest_grant] <= WG_ADMIT_RATE_WINDOW;
}

static void wg_admit_record_grant(wg_admit_account* account, wg_time now) {
    if (account->grant_times_num > 0) {
        account->grant_times[account->oldest_grant] = now;
        account->oldest_grant = (account->oldest_grant + 1) % account->grant_times_num;
    }
}

/* Records the time to the first event of a prompt, once. */
static void wg_admit_record_sample(wg_admit_account* account, wg_time now,
                                   wg_admission* admission) {
    if (!admission->is_sample) {
        return;
    }
    admission->is_sample = false;
    account->speed_before = account->speed;
    account->sampled = admission->key;
    account->sampled_at = now;
    wg_speed_record(&account->speed, admission->expected, now - admission->granted_at);
}

/* Withdraws the sample of an answer that came at once: its time contains the complete answer. */
static void wg_admit_withdraw_sample(const wg_admit* a, wg_admit_account* account, wg_time now,
                                     const wg_admission* admission) {
    bool was_last = wg_admit_key_equal(&account->sampled, &admission->key);
    if (a->desc.learn_base && was_last && now - account->sampled_at < WG_ADMIT_AT_ONCE_TIME) {
        account->speed = account->speed_before;
        account->sampled = (wg_admit_key){0};
    }
}

static bool wg_admit_is_timely(wg_admit_stall_state* stall, wg_time now, wg_time late) {
    if (late >= WG_ADMIT_RECOVERED_LATE) {
        stall->timely_since = WG_TIME_NEVER;
    } else if (stall->timely_since == WG_TIME_NEVER) {
        stall->timely_since = now;
    }
    return stall->timely_since != WG_TIME_NEVER &&
           now - stall->timely_since >= WG_ADMIT_RECOVERY_TIME;
}

/* True if the target began to stall or has recovered. */
static bool wg_admit_update_stall(wg_admit_stall_state* stall, wg_time now, wg_time late) {
    bool timely = wg_admit_is_timely(stall, now, late);
    if (!stall->active && late > WG_ADMIT_STALL_LATE &&
        now - stall->began_at >= WG_ADMIT_STALL_INTERVAL) {
        stall->active = true;
        stall->began_at = now;
        return true;
    }
    if (stall->active && timely && now - stall->recovered_at >= WG_ADMIT_STALL_INTERVAL) {
        stall->active = false;
        stall->recovered_at = now;
        return true;
    }
    return false;
}

/* The target has read a prompt and goes on with the next one. Some targets do so before the base
   time of the first one is over, others afterwards; half of it is assumed. */
static void wg_admit_update_read_until(wg_admit_account* account, wg_time now) {
    wg_time base = (wg_time)wg_speed_values_of(&account->speed).base;
    wg_time left = wg_speed_read_time(&account->speed, (double)account->unread);
    account->read_until = now - base / 2 + left;
}

static wg_admission* wg_admit_admission(const wg_admit* a, uint64_t holder, uint64_t ticket) {
    wg_admit_key key = {holder, ticket};
    return g_hash_table_lookup(a->admissions, &key);
}

/* ---- public functions ---------------------------------------------------------------------- */

bool wg_admit_fits(const wg_admit_limits* limits, wg_time wait, wg_time wait_ahead) {
    if (limits->ahead <= 0) {
        return false;
    }
    bool large = wait - wait_ahead > limits->total;
    if (large) {
        return wait_ahead <= limits->ahead_large;
    }
    return wait <= limits->total && wait_ahead <= limits->ahead;
}

wg_admit* wg_admit_setup(const wg_admit_desc* desc) {
    wg_admit* a = g_new0(wg_admit, 1);
    a->desc = *desc;
    a->desc.targets_max = desc->targets_max ? desc->targets_max : WG_ADMIT_TARGETS_MAX_DEFAULT;
    a->accounts = g_hash_table_new_full(NULL, NULL, NULL, wg_admit_account_free);
    a->admissions = g_hash_table_new_full(wg_admit_key_hash, wg_admit_key_equal, NULL, g_free);
    return a;
}

void wg_admit_shutdown(wg_admit* a) {
    g_hash_table_unref(a->admissions);
    g_hash_table_unref(a->accounts);
    g_free(a);
}

wg_admit_answer wg_admit_decide(wg_admit* a, wg_time now, const wg_admit_request* request) {
    wg_admit_account* account = wg_admit_account_of(a, now, request->target);
    wg_admit_update_speed(a, account, request);
    wg_admit_answer answer = wg_admit_estimate(account, now, request);
    bool full = request->running_max > 0 && answer.running >= request->running_max;
    bool known = wg_admit_admission(a, request->holder, request->ticket) != NULL;
    bool ejected = wg_admit_is_ejected(a, account, now);
    bool cold = wg_admit_is_over_rate(account, now, request->rate_max);
    answer.granted = !full && !known && !ejected && !cold &&
                     wg_admit_fits(&request->limits, answer.wait, answer.wait_ahead);
    if (answer.granted) {
        wg_admit_record_grant(account, now);
        wg_admit_grant(a, account, now, request, &answer);
    }
    return answer;
}

void wg_admit_first_event(wg_admit* a, wg_time now, uint64_t holder, uint64_t ticket) {
    wg_admission* admission = wg_admit_admission(a, holder, ticket);
    if (!admission) {
        return;
    }
    wg_admit_account* account = wg_admit_find(a, admission->target);
    wg_admit_record_sample(account, now, admission);
    wg_admit_advance_order(account, admission);
    account->failures = 0;
    account->ejected_until = 0;
    wg_admit_settle_read(a, admission);
    wg_admit_update_read_until(account, now);
}

void wg_admit_end(wg_admit* a, wg_time now, uint64_t holder, uint64_t ticket, bool failed) {
    wg_admission* admission = wg_admit_admission(a, holder, ticket);
    if (admission) {
        wg_admit_account* account = wg_admit_find(a, admission->target);
        wg_admit_withdraw_sample(a, account, now, admission);
        if (failed) {
            wg_admit_record_failure(account, now);
        }
        wg_admit_settle(a, admission);
        g_hash_table_remove(a->admissions, &admission->key);
    }
}

void wg_admit_record_held_parts(wg_admit* a, wg_time now, uint32_t target, const uint64_t* parts,
                                int num) {
    wg_admit_account* account = wg_admit_account_of(a, now, target);
    for (int i = 0; i < num; i++) {
        wg_admit_record_part(account, parts[i]);
    }
}

void wg_admit_release_holder(wg_admit* a, uint64_t holder) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, a->admissions);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_admission* admission = value;
        if (admission->key.holder == holder) {
            wg_admit_settle(a, admission);
            g_hash_table_iter_remove(&iter);
        }
    }
}

int wg_admit_check_stalls(wg_admit* a, wg_time now, wg_admit_stall* changes, int max) {
    int num = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, a->accounts);
    while (num < max && g_hash_table_iter_next(&iter, NULL, &value)) {
        wg_admit_account* account = value;
        wg_time late = wg_admit_late(account, now);
        wg_time began_at = account->stall.began_at;
        if (wg_admit_update_stall(&account->stall, now, late)) {
            bool stalled = account->stall.active;
            changes[num++] = (wg_admit_stall){account->number, stalled, late, now - began_at};
        }
    }
    return num;
}

void wg_admit_summarize(const wg_admit* a, wg_admit_summary* summary) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, a->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const wg_admit_account* account = value;
        wg_speed_values values = wg_speed_values_of(&account->speed);
        summary->stalled += account->stall.active;
        if (values.samples > 0) {
            wg_hist_add(&summary->bases, (int64_t)values.base);
            wg_hist_add(&summary->speeds, (int64_t)(values.speed * WG_USEC_PER_SEC));
        }
    }
}

uint32_t wg_admit_target(const wg_admit* a, uint64_t holder, uint64_t ticket) {
    const wg_admission* admission = wg_admit_admission(a, holder, ticket);
    return admission ? admission->target : 0;
}

int wg_admit_num(const wg_admit* a) {
    return (int)g_hash_table_size(a->admissions);
}
