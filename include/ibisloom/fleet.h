/* The other instances of the fleet: their requests in progress at the targets
   and the store revisions that they have. */
#ifndef IBISLOOM_FLEET_H
#define IBISLOOM_FLEET_H

#include <ev.h>
#include <netinet/in.h>

#include "ibisloom/affinity.h"
#include "ibisloom/elect.h"
#include "ibisloom/held.h"
#include "ibisloom/origin.h"
#include "ibisloom/quarantine.h"
#include "ibisloom/watch.h"
#include "ibisloom/registry.h"
#include "ibisloom/settings.h"
#include "ibisloom/snapshot.h"
#include "ibisloom/wire.h"

/* View of the other instances, and the exchange of datagrams with them. */
struct fleet;
struct rt_table;

/* What another instance reports that it knows of the store. */
struct fleet_update
{
  struct sockaddr_in address;
  struct snapshot_state known;
  int is_local; /* in the same failure domain */
};

typedef void (*fleet_update_fn) (void *closure,
                                 const struct fleet_update *update);

/* Datagrams of one kind, exchanged with the other instances so far. */
struct fleet_traffic
{
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t received;
  uint64_t received_bytes;
};

/* Exchange of which instances reach the targets of a service. */
struct fleet_reach_ops
{
  /* Returns whether REACH, of the service that it names, was filled in to be
     told to an instance that asks.  */
  int (*asked) (void *closure, struct wire_reach *reach);
  /* The instance PEER has told REACH.  */
  void (*told) (void *closure, uint32_t peer, const struct wire_reach *reach);
};

/* What the head of a target's response says of its capacity. */
enum fleet_response
{
  FLEET_SUCCEEDED,
  FLEET_REJECTED, /* the request did not run, for want of capacity */
  FLEET_ERROR     /* nothing */
};

/* Called with a LEVEL of the coordinator that ranks RANK. */
typedef void (*fleet_level_fn) (void *closure, uint32_t rank,
                                const struct demand_level *level);

/* Parses the list of what a target holds, as struct dialect does. */
typedef int (*fleet_read_held_fn) (const char *text, size_t length,
                                   GArray *parts, uint32_t *unreadable);

struct fleet *fleet_new (const struct settings *settings, struct ev_loop *loop,
                         struct out_pool *pool,
                         const struct watch_protocol *store, const char *kind,
                         struct registry *registry, struct affinity *affinity,
                         GError **error);
void fleet_on_update (struct fleet *fleet, fleet_update_fn fn, void *closure);
void fleet_set_state (struct fleet *fleet, const struct snapshot_state *known,
                      enum wire_store store);
void fleet_set_epoch (struct fleet *fleet, uint64_t epoch);
void fleet_set_leaving (struct fleet *fleet);
void fleet_count_watchers (const struct fleet *fleet, struct elect_view *view);
int fleet_has_watcher (const struct fleet *fleet);
void fleet_set_settings (struct fleet *fleet, const struct settings *settings);
void fleet_start (struct fleet *fleet);
void fleet_free (struct fleet *fleet);
void fleet_announce_holder (struct fleet *fleet, uint64_t context,
                            uint64_t target);
void fleet_keep_held (struct fleet *fleet, struct held *held,
                      struct rt_table *const *table, const char *path,
                      fleet_read_held_fn read);
void fleet_report_crash (struct fleet *fleet,
                         const struct sockaddr_in *address,
                         const struct quar_crash *crash);
void fleet_report_success (struct fleet *fleet, const uint64_t *parts,
                           uint32_t count);
int fleet_would_admit_parts (const struct fleet *fleet, const uint64_t *parts,
                             uint32_t count, int64_t *wait_ms);
int fleet_admits_parts (struct fleet *fleet, const uint64_t *parts,
                        uint32_t count, int64_t *wait_ms);
int fleet_observe_rate (struct fleet *fleet, struct reg_target *target,
                        int is_named, double per_s, clk_ms sent_ms);
int fleet_observe_brittle (struct fleet *fleet, struct reg_target *target,
                           int is_said, uint32_t rejections_max,
                           clk_ms sent_ms);
void fleet_count_arrival (struct fleet *fleet, const char *service);
void fleet_hear_loads (struct fleet *fleet);
int32_t fleet_reject_room (struct fleet *fleet, struct reg_target *target,
                           int32_t running, clk_ms sent_ms);
void fleet_limit_room (struct fleet *fleet, struct reg_target *target,
                       int32_t limit);
void fleet_count_request (struct fleet *fleet, struct reg_target *target);
void fleet_limit_cold (struct fleet *fleet, struct reg_target *target,
                       double per_s, int is_told);
void fleet_begin_pace (struct fleet *fleet, struct reg_target *target,
                       const char *cause);
void fleet_pace_response (struct fleet *fleet, struct reg_target *target,
                          enum fleet_response response, clk_ms sent_ms,
                          int64_t read_ms);
void fleet_pace_failure (struct fleet *fleet, struct reg_target *target,
                         clk_ms sent_ms);
uint32_t fleet_quarantined_count (const struct fleet *fleet);

/* fleet_work.c */
void fleet_work_changed (struct fleet *fleet, const struct reg_target *target);
/* fleet_leaving.c, fleet_pause.c */
void fleet_observe_leaving (struct fleet *fleet, struct reg_target *target,
                            uint32_t process);
void fleet_observe_pause (struct fleet *fleet, struct reg_target *target,
                          uint32_t process, int64_t asked_ms);

/* fleet_evacuation.c */
void fleet_see_evacuation (struct fleet *fleet, const char *domain,
                           struct position position, int is_in_force);
void fleet_list_evacuations (struct fleet *fleet);
void fleet_end_evacuation_list (struct fleet *fleet, struct position position);
int fleet_evacuations_are_read (const struct fleet *fleet);
int fleet_knows_evacuations (const struct fleet *fleet);
int fleet_evacuations_have_room (const struct fleet *fleet);
uint32_t fleet_evacuated_count (const struct fleet *fleet);

struct origins *fleet_origins (struct fleet *fleet);
void fleet_add_origin (struct fleet *fleet,
                       const struct origin_record *record);
void fleet_ask_origin (struct fleet *fleet, uint64_t attempt);
void fleet_ask_versions (struct fleet *fleet, uint64_t service);
uint64_t fleet_only_version (const struct fleet *fleet, uint64_t service,
                             clk_ms arrived_ms);
uint64_t fleet_prior_version (const struct fleet *fleet, uint64_t service,
                              uint64_t attempt, clk_ms asked_ms);
void fleet_on_reach (struct fleet *fleet, const struct fleet_reach_ops *ops,
                     void *closure);
void fleet_ask_reach (struct fleet *fleet, uint32_t peer, uint64_t service);
uint32_t fleet_pick_peer (const struct fleet *fleet, int is_local,
                          int (*is_taken) (void *closure, uint32_t peer),
                          void *closure);
int64_t fleet_peer_silent_ms (const struct fleet *fleet, uint32_t peer);
const struct sockaddr_in *fleet_peer_address (const struct fleet *fleet,
                                              uint32_t peer);
uint32_t fleet_self (const struct fleet *fleet);
void fleet_on_level (struct fleet *fleet, fleet_level_fn fn, void *closure);
void fleet_tell_demand (struct fleet *fleet,
                        const struct demand_report *report);
int64_t fleet_demand_interval_ms (const struct fleet *fleet);
void fleet_correct_origins (struct fleet *fleet,
                            const struct reg_target *target);
void fleet_see_target (struct fleet *fleet, const struct reg_target *target);
int fleet_knows_quarantine (const struct fleet *fleet);
int fleet_knows_members (const struct fleet *fleet);
void fleet_keep_origins (struct fleet *fleet, const char *kind);
int fleet_origins_are_read (const struct fleet *fleet);
int fleet_knows_past (const struct fleet *fleet);
int64_t fleet_past_wait_ms (const struct fleet *fleet, clk_ms now);
void fleet_look_up_origins (struct fleet *fleet);
int fleet_software_is_noted (const struct fleet *fleet, uint64_t software);
const struct fleet_traffic *fleet_traffic (const struct fleet *fleet,
                                           enum wire_kind kind);
uint64_t fleet_unreadable_count (const struct fleet *fleet);
uint32_t fleet_size (const struct fleet *fleet);
uint32_t fleet_heard_count (const struct fleet *fleet);
int fleet_hears_peers (const struct fleet *fleet);
int64_t fleet_loads_age_ms (const struct fleet *fleet);

#endif
