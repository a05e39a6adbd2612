/* Private to process/fleet*.c. */
#ifndef LIBFLEET_H
#define LIBFLEET_H

#include <ev.h>
#include <glib.h>

#include "ibisloom/evacuation.h"
#include "ibisloom/fleet.h"
#include "ibisloom/members.h"
#include "ibisloom/origin.h"
#include "ibisloom/prior.h"
#include "ibisloom/probe.h"
#include "ibisloom/quarantine.h"
#include "ibisloom/storecall.h"

enum
{
  FLEET_PEERS_MAX = 2048,
  FLEET_HEARTBEAT_MS = 200
};

/* Requests of a peer in progress at one target. */
struct fleet_load
{
  uint64_t target;
  uint64_t serial;   /* of the registered target that counts them, 0: none */
  uint64_t sequence; /* of the peer's datagram that reported them */
  int32_t load;
};

/* Another instance. */
struct fleet_peer
{
  uint32_t id;
  struct sockaddr_in address;
  uint64_t incarnation;
  uint64_t sequence;
  uint32_t domain;
  enum wire_store store;
  enum member_state state;
  clk_ms last_seen_ms;        /* time of the last datagram; 0: none */
  GArray *loads;              /* of struct fleet_load, as last reported */
  clk_ms loads_ms;            /* when they were reported */
  uint64_t loads_incarnation; /* of the process that reported them */
  uint64_t loads_sequence;    /* of its last heartbeat, which replaced all */
  uint64_t capabilities;
  uint64_t capabilities_incarnation; /* of the process that told them */
  uint32_t capability_rounds; /* heartbeats in which those of this instance
                                 might have been told */
  uint64_t running; /* its incarnation, when ends were last counted; 0: it was
                       silent */
};

/* Relay of another failure domain for this instance. */
struct fleet_relay
{
  uint32_t domain;
  uint32_t id; /* 0: none */
};

/* Services short of capacity that this instance coordinates; see
   fleet_demand.c. */
struct fleet_demands;

/* Instance that shares the room of brittle targets. */
struct fleet_member
{
  uint32_t id;
  struct sockaddr_in address;
};

/* Handles MESSAGE of PEER. */
typedef void (*fleet_receive_fn) (struct fleet *fleet, struct fleet_peer *peer,
                                  const struct wire_message *message);

/* Returns whether PEER is to get a message. */
typedef int (*fleet_select_fn) (const struct fleet *fleet,
                                const struct fleet_peer *peer, void *closure);

struct fleet
{
  struct ev_loop *loop;
  struct out_pool *pool;
  const struct settings *settings;
  const struct watch_protocol *store;
  const char *kind;
  struct registry *registry;
  struct affinity *affinity;
  struct wire_key key;
  uint32_t self;
  uint64_t incarnation;
  uint64_t sequence;
  struct fleet_traffic traffic[WIRE_KIND_COUNT];
  uint64_t unreadable; /* datagrams received that were not understood */
  uint64_t heartbeat_count;
  int fd;
  ev_io io;
  ev_timer heartbeat;
  ev_timer retry;
  ev_timer rejoin; /* until the fleet's objects are written anew */
  struct store_call *call;
  uint8_t is_registered;
  uint64_t registered_epoch; /* of the store, when it was registered */
  uint64_t epoch; /* of the store; what was written in older ones is lost */
  uint8_t is_listed;
  uint8_t is_informed;  /* by an instance that knows what is in quarantine */
  GString *listed_name; /* last one of the list that is being read */
  uint8_t is_leaving;
  GHashTable *peers; /* id to struct fleet_peer */
  fleet_receive_fn receive;
  uint32_t domain;
  struct snapshot_state known;
  enum wire_store store_state;
  fleet_update_fn on_update;
  void *closure;
  const struct fleet_reach_ops *reach_ops;
  void *reach_closure;
  ev_timer update; /* until the next load update is sent */
  clk_ms update_due_ms;
  clk_ms updated_ms;         /* time of the last load update */
  uint32_t update_datagrams; /* see fleet_update_datagrams */
  GArray *relays;            /* of struct fleet_relay, as last chosen */
  int64_t forward_credit;    /* datagrams that a relay may still pass on */
  clk_ms forward_credit_ms;
  uint8_t is_forward_limited;
  uint8_t has_told_capabilities;
  ev_timer work_timer; /* until the next datagram on unread tokens is sent */
  clk_ms work_told_ms; /* time of the last one */
  uint8_t affinity_received; /* the table of another instance has arrived */
  struct quarantine *quarantine;
  GQueue *probes;  /* of targets that may have crashed */
  GArray *crashes; /* of struct quar_crash, recent ones, to be told again */
  GArray *writes;  /* of parts whose state the store is to keep */
  struct store_call *write_call; /* in progress, for the first; or NULL */
  int write_creates;             /* it creates the object of the part */
  ev_timer write_retry;
  struct fleet_held *held; /* see fleet_held.c; NULL: not asked for */
  struct origins *origins;
  struct fleet_origin_store *origin_store; /* see fleet_origin_store.c */
  GArray *noted;                           /* versions that the store names */
  GPtrArray *origin_objects; /* of other instances, in the store */
  GArray *untold_origins;    /* of struct origin_record, to be told to peers */
  GArray *confirmed;         /* of versions, see fleet_version.c */
  GArray *stored_versions;   /* that the store named in the last reading */
  clk_ms stored_ms;          /* when that reading began; 0: none has ended */
  struct priors *priors;
  GArray *priors_read; /* in the store, see fleet_prior.c */
  uint32_t ends;       /* of other instances, counted while there are priors */
  clk_ms tick_ms;      /* time of the last heartbeat; 0: none */
  clk_ms stalled_ms;   /* end of the last time without any; 0: none */
  struct fleet_demands *demands;
  GArray *members; /* of struct fleet_member; empty if none is brittle */
  uint32_t turn;   /* by which the members' ranks at targets change */
  clk_ms turned_ms;
  clk_ms rooms_alive_ms;          /* when this instance ran last */
  clk_ms rooms_forgotten_ms;      /* when it stood still last */
  uint32_t room_questions;        /* asked so far, see fleet_room_news.c */
  struct evac_state *evacuations; /* NULL: not read */
  guint announced_paces;          /* those of which peers are told */
  GArray *leaves;                 /* see fleet_leaving.c */
  clk_ms leaves_told_ms;          /* time of the last broadcast of them */
  guint next_rate;                /* target whose sharers are found next */
  guint first_told_rate;          /* target whose limit is told first */
  guint told_rates; /* targets whose limits were told in this heartbeat */
};

/* Each file uses only functions of those above it. */

/* fleet_peer.c */
GHashTable *fleet_peers_new (void);
struct fleet_peer *fleet_get_peer (struct fleet *fleet, uint32_t id);
int fleet_is_silent (const struct fleet *fleet, const struct fleet_peer *peer,
                     clk_ms now);
uint32_t fleet_heartbeat_stride (const struct fleet *fleet);
uint32_t fleet_top_peers (const struct fleet *fleet, uint64_t key, clk_ms now,
                          const struct fleet_peer **top, uint32_t max);
int fleet_hears_most (const struct fleet *fleet, clk_ms now);
int fleet_ranks_first (const struct fleet *fleet, uint64_t key, clk_ms now);

/* fleet_send.c */
void fleet_on_datagram (struct ev_loop *loop, ev_io *io, int events);
void fleet_broadcast (struct fleet *fleet, struct wire_message *message);
uint32_t fleet_send_each (struct fleet *fleet, struct wire_message *message,
                          fleet_select_fn select, void *closure);
void fleet_send (struct fleet *fleet, const struct sockaddr_in *address,
                 struct wire_message *message);
void fleet_send_many (struct fleet *fleet, struct wire_message *message,
                      const struct sockaddr_in *addresses, uint32_t count);

/* fleet_room_rank.c */
void fleet_rank_rooms (struct fleet *fleet, clk_ms now);
uint32_t fleet_own_member (const struct fleet *fleet);
void fleet_tell_room (struct fleet *fleet, const struct reg_target *target,
                      struct wire_message *message);

/* fleet_room_news.c */
void fleet_room_check_stall (struct fleet *fleet, clk_ms now);
void fleet_ask_rooms (struct fleet *fleet, clk_ms now);
void fleet_answer_rooms (struct fleet *fleet, const struct fleet_peer *peer,
                         const struct wire_room_query *query);
void fleet_apply_rooms (struct fleet *fleet, const struct wire_rooms *rooms);

/* fleet_room.c */
void fleet_room_init (struct fleet *fleet);
void fleet_room_clear (struct fleet *fleet);
void fleet_room_tick (struct fleet *fleet, clk_ms now);
void fleet_send_brittle (struct fleet *fleet,
                         const struct sockaddr_in *address);
void fleet_apply_brittle (struct fleet *fleet,
                          const struct wire_brittle *brittle);
void fleet_apply_limit (struct fleet *fleet, const struct wire_rejected *told);
void fleet_apply_rejected (struct fleet *fleet,
                           const struct wire_rejected *rejected);
int fleet_tell_load (struct fleet *fleet, struct reg_target *target);

/* fleet_relay.c */
void fleet_relay_init (struct fleet *fleet);
void fleet_relay_clear (struct fleet *fleet);
int fleet_can_relay (const struct fleet_peer *peer);
const struct fleet_peer *fleet_pick_relay (const struct fleet *fleet,
                                           uint32_t domain, clk_ms now,
                                           uint32_t *candidates);
void fleet_send_update (struct fleet *fleet, const struct wire_loads *loads);
uint32_t fleet_update_datagrams (const struct fleet *fleet);
void fleet_forward_loads (struct fleet *fleet, const struct fleet_peer *origin,
                          const struct wire_loads *loads);
void fleet_send_capabilities (struct fleet *fleet, struct fleet_peer *peer);
void fleet_repeat_capabilities (struct fleet *fleet);
void fleet_apply_capabilities (struct fleet_peer *peer,
                               const struct wire_capabilities *capabilities);

/* fleet_load.c */
void fleet_watch_loads (struct fleet *fleet);
void fleet_unwatch_loads (struct fleet *fleet);
void fleet_set_loads (struct fleet *fleet, struct fleet_peer *peer,
                      const struct wire_heartbeat *heartbeat);
void fleet_update_loads (struct fleet *fleet, struct fleet_peer *peer,
                         const struct wire_loads *loads);
void fleet_apply_relayed (struct fleet *fleet,
                          const struct wire_relayed *relayed);
void fleet_drop_loads (struct fleet *fleet, struct fleet_peer *peer);

/* fleet_work.c */
void fleet_work_init (struct fleet *fleet);
void fleet_work_clear (struct fleet *fleet);
void fleet_work_tick (struct fleet *fleet, clk_ms now);
void fleet_apply_work (struct fleet *fleet, const struct fleet_peer *peer,
                       const struct wire_work *work);

/* fleet_pace.c */
void fleet_pace_tick (struct fleet *fleet, clk_ms now);
void fleet_send_paces (struct fleet *fleet, const struct sockaddr_in *address);
void fleet_apply_paces (struct fleet *fleet, const struct wire_paces *paces);

/* fleet_cold.c */
void fleet_arrange_cold (const struct fleet *fleet, struct reg_target *target,
                         clk_ms now);
void fleet_apply_cold (struct fleet *fleet, const struct wire_cold *cold);

/* fleet_rate.c */
void fleet_rate_tick (struct fleet *fleet, clk_ms now);
void fleet_send_rates (struct fleet *fleet, const struct sockaddr_in *address);
void fleet_apply_rates (struct fleet *fleet, const struct wire_rates *rates);
void fleet_apply_sent (struct fleet *fleet, const struct wire_sent *sent);

/* fleet_context.c */
void fleet_send_affinity (struct fleet *fleet, const struct fleet_peer *peer);
void fleet_apply_notes (struct fleet *fleet, const struct wire_notes *notes);

/* fleet_part.c */
void fleet_part_init (struct fleet *fleet);
void fleet_part_clear (struct fleet *fleet);
void fleet_write_part (struct fleet *fleet, uint64_t part);
uint32_t fleet_rewrite_parts (struct fleet *fleet);

/* fleet_quarantine.c */
void fleet_quarantine_init (struct fleet *fleet);
void fleet_quarantine_clear (struct fleet *fleet);
void fleet_quarantine_tick (struct fleet *fleet, clk_ms now);
void fleet_announce_state (struct fleet *fleet, const struct quar_state *state,
                           const char *reason);
void fleet_adopt_state (struct fleet *fleet, const struct quar_state *state,
                        clk_ms now);
void fleet_log_state (const struct quar_state *state, const char *reason);
void fleet_send_states (struct fleet *fleet,
                        const struct sockaddr_in *address);
void fleet_apply_states (struct fleet *fleet,
                         const struct wire_quarantine *quarantine);
void fleet_apply_success (struct fleet *fleet,
                          const struct wire_success *success);
int fleet_read_part (struct fleet *fleet, const json_t *content);

/* fleet_crash.c */
void fleet_crash_init (struct fleet *fleet);
void fleet_crash_clear (struct fleet *fleet);
void fleet_crash_tick (struct fleet *fleet, clk_ms now);
void fleet_apply_crash (struct fleet *fleet,
                        const struct wire_crash *reported);

/* fleet_prior.c */
void fleet_prior_init (struct fleet *fleet);
void fleet_prior_clear (struct fleet *fleet);
void fleet_prior_tick (struct fleet *fleet, clk_ms now);
void fleet_note_prior (struct fleet *fleet,
                       const struct origin_version *version, clk_ms now);
void fleet_pack_priors (const struct fleet *fleet, json_t *content);
void fleet_priors_written (struct fleet *fleet, const json_t *content);
void fleet_read_priors (struct fleet *fleet);
void fleet_read_prior (struct fleet *fleet, const json_t *content);
void fleet_adopt_priors (struct fleet *fleet, clk_ms now);
void fleet_infer_priors (struct fleet *fleet, clk_ms now);

/* fleet_origin.c */
void fleet_origin_init (struct fleet *fleet);
void fleet_origin_clear (struct fleet *fleet);
void fleet_see_version (struct fleet *fleet,
                        const struct origin_version *version, clk_ms seen_ms);
void fleet_origin_tick (struct fleet *fleet, clk_ms now);
int fleet_told_peers_answer (const struct fleet *fleet, uint64_t attempt,
                             clk_ms asked_ms);
void fleet_apply_origins (struct fleet *fleet, const struct fleet_peer *peer,
                          const struct wire_origins *origins);
void fleet_answer_origin (struct fleet *fleet, const struct fleet_peer *peer,
                          const struct wire_origin_query *query);

/* fleet_version.c */
void fleet_version_init (struct fleet *fleet);
void fleet_version_clear (struct fleet *fleet);
void fleet_version_tick (struct fleet *fleet, clk_ms now);
void fleet_answer_versions (struct fleet *fleet, const struct fleet_peer *peer,
                            const struct wire_version_query *query);
void fleet_apply_versions (struct fleet *fleet,
                           const struct wire_versions *versions);

/* fleet_reach.c */
void fleet_answer_reach (struct fleet *fleet, const struct fleet_peer *peer,
                         const struct wire_reach_query *query);
void fleet_apply_reach (struct fleet *fleet, const struct fleet_peer *peer,
                        const struct wire_reach *reach);

/* fleet_leaving.c */
void fleet_leaving_init (struct fleet *fleet);
void fleet_leaving_clear (struct fleet *fleet);
void fleet_leaving_tick (struct fleet *fleet, clk_ms now);
void fleet_send_leaves (struct fleet *fleet,
                        const struct sockaddr_in *address);
void fleet_apply_leaves (struct fleet *fleet,
                         const struct wire_leaves *leaves);

/* fleet_pause.c */
void fleet_pause_tick (struct fleet *fleet, clk_ms now);

/* fleet_evacuation.c */
void fleet_evacuation_init (struct fleet *fleet);
void fleet_evacuation_clear (struct fleet *fleet);
void fleet_evacuation_tick (struct fleet *fleet, clk_ms now);
void fleet_send_evacuations (struct fleet *fleet,
                             const struct sockaddr_in *address);
void fleet_apply_evacuations (struct fleet *fleet,
                              const struct fleet_peer *peer,
                              const struct wire_evacuations *evacuations);

/* fleet_demand.c */
void fleet_demand_init (struct fleet *fleet);
void fleet_demand_clear (struct fleet *fleet);
void fleet_apply_demand (struct fleet *fleet, const struct fleet_peer *peer,
                         const struct demand_report *report);
void fleet_apply_level (struct fleet *fleet, const struct fleet_peer *peer,
                        const struct demand_level *level);

/* fleet_held.c */
void fleet_held_clear (struct fleet *fleet);
void fleet_apply_held (struct fleet *fleet, const struct wire_held *told);
void fleet_answer_held (struct fleet *fleet, const struct fleet_peer *peer);

/* fleet_origin_note.c */
GArray *fleet_noted_new (void);
void fleet_note_stored (struct fleet *fleet, const json_t *content);
void fleet_note_written (struct fleet *fleet, const json_t *content);
void fleet_open_noted (struct fleet *fleet);

/* fleet_origin_gone.c */
GPtrArray *fleet_objects_new (void);
void fleet_remember_object (struct fleet *fleet,
                            const struct watch_object *object);
int fleet_next_removal (struct fleet *fleet, const char *kind, GString *url);

/* fleet_origin_store.c */
void fleet_origin_store_init (struct fleet *fleet);
void fleet_origin_store_clear (struct fleet *fleet);

/* fleet_join.c */
void fleet_join (struct fleet *fleet);
void fleet_on_retry (struct ev_loop *loop, ev_timer *timer, int events);
void fleet_on_rejoin_due (struct ev_loop *loop, ev_timer *timer, int events);

/* fleet_heartbeat.c */
void fleet_on_heartbeat_due (struct ev_loop *loop, ev_timer *timer,
                             int events);
void fleet_apply_heartbeat (struct fleet *fleet, struct fleet_peer *peer,
                            const struct wire_heartbeat *heartbeat);
void fleet_apply_incarnation (struct fleet *fleet,
                              const struct fleet_peer *peer,
                              const struct wire_incarnation *incarnation);
void fleet_apply_state (struct fleet *fleet, const struct fleet_peer *peer,
                        const struct wire_store_state *state);

#endif
