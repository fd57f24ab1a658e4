#pragma once
/*
    wg_control.h -- a control: replicated state, the leader's duties and the operator endpoints

    WHAT IT DOES
        Runs one replica of the log on a data folder and applies the log to the table, the claims,
        the configuration and the registry. While it leads, it answers routers and entry hosts,
        plans capacity and accepts operators' edits.

    FEATURES
        - persists before it sends; while the disk accepts no writes the replica suspends, and
          reopens its folder once writes succeed; corrupt data ends the process
        - table leases: a router's copy is in force only while a leader with a majority renews it
        - a control with an empty folder waits to be added: the leader adds a listed name that is
          new to the set; a known name with a new folder needs an operator's command
        - with seeds instead of a list, controls find each other and replace lost replicas
        - operator endpoints: table, edits, replicas, status, state dump, metrics, health

    USE
        1. wgi_load(path, wgco_keys, wgco_keys_num, &settings, &error);
        2. wgco_control* c = wgco_setup(&(wgco_desc){.base = base, .settings = &settings}, &error);
        3. event_base_dispatch(base);
        4. wgco_stop(c) transfers leadership and leaves the loop when done; wgco_shutdown(c);

    THE CALLER OWNS
        base and settings, which have to outlive the control.
*/
#include "wg_claim.h"
#include "wg_http.h"
#include "wg_member.h"
#include "wg_net.h"
#include "wg_quorum.h"
#include "wg_registry.h"
#include "wg_roster.h"
#include "wg_settings.h"
#include "wg_share.h"
#include "wg_store.h"
#include "wg_table.h"

typedef struct {
    char* name;
    char* data_centre;
    char* fleet_listen;
    char* fleet_address;
    char* operators_listen;
    char* data_folder;
    char** controls;
    char** seeds;
    char* first_start;
    int64_t fleet_port;
    int64_t entry_port;
    int64_t losses;
    int64_t replica_gone_ms;
    int64_t target_silent_ms;
    int64_t tick_ms;
    int64_t link_silence_ms;
    int64_t log_keep;
    char* fleet_key;
    char* operator_key;
    char* log_level;
    char* log_target;
    int64_t election_min_ms;
    int64_t election_max_ms;
    int64_t heartbeat_ms;
    int64_t table_lease_ms;
    int64_t slot_lease_ms;
    int64_t router_gone_ms;
    int64_t plan_ms;
    int64_t snapshot_entries;
    int64_t descriptors;
    double memory_mb;
    double held_mb;
    int64_t claims_max;
    int64_t claim_keep_s;
    int64_t quarantine_s;
    int64_t room_wait_ms;
} wgco_settings;

extern const wgi_key wgco_keys[];
extern const int wgco_keys_num;

typedef struct {
    struct event_base* base;
    const wgco_settings* settings;
    bool init; /* create a new cluster with this replica alone; the data folder is empty */
} wgco_desc;

typedef struct wgco_control wgco_control;

/* Returns NULL with an error if the data folder, the ports or the settings are unusable. */
wgco_control* wgco_setup(const wgco_desc* desc, GError** error);
void wgco_shutdown(wgco_control* control);
/* Starts a planned stop: transfers leadership, then leaves the loop. A second call leaves the
   loop at once. */
void wgco_stop(wgco_control* control);
/* Applies the seeds of `settings`; ignored with a fixed list of controls. */
void wgco_reload(wgco_control* control, const wgco_settings* settings);
/* Returns a state dump that the caller releases. */
json_t* wgco_dump(wgco_control* control);
/* Creates a data folder for a new cluster; false with WG_ERROR_CONFLICT if the folder is in use. */
bool wgco_init_folder(const wgco_settings* settings, GError** error);
/* True if the loop was left because the data folder cannot be used. */
bool wgco_failed(const wgco_control* control);
