/* Private to process/peer*.c. */
#ifndef LIBPEER_H
#define LIBPEER_H

#include <pthread.h>

#include "ibisloom/budget.h"
#include "ibisloom/metrics.h"
#include "ibisloom/peer.h"
#include "ibisloom/wire.h"

enum
{
  PEER_TICK_MS = 10,
  PEER_IDLE_TICK_MS = 25,
  PEER_HEARTBEAT_INTERVAL_MS = 350,
  PEER_EXPIRE_BATCH = 8,
  PEER_LOCAL_FANOUT = 4,
  PEER_ADMISSION_TIMEOUT_MS = 60,
  PEER_HOLD_INTERVAL_MS = 2000,
  PEER_REFRESH_INTERVAL_MS = 100,
  PEER_UNOWNED_TTL_MS = 3000,
  PEER_MEMBERS_MAX = 256,
  PEER_LOAD_TTL_MS = 3000,
  PEER_MEAN_SLOTS = 16,
  PEER_MEAN_SLOT_MS = 500,
  PEER_GRANT_SHARDS = 16
};

/* An admission request that awaits its answer. */
struct peer_pending_request
{
  struct wire_admission_request admission_request;
  uint32_t domain;
  uint32_t attempt; /* 0: the first */
  clk_ms sent_ms;
  peer_reply_fn fn;
  void *closure;
  uint64_t tag;
};

/* Admission requests and grants, sharded by grant number to reduce lock
   contention. */
struct peer_grant_shard
{
  pthread_mutex_t lock;
  GHashTable *pending; /* grant number to struct peer_pending_request */
  GHashTable *held;    /* grant number to struct peer_grant */
};

/* Grant that this instance holds for one of its requests. */
struct peer_grant
{
  uint32_t grant;
  uint64_t target;
  uint32_t domain;
  uint32_t owner;
};

/* Load of a target as its owner last reported it. */
struct peer_target_load
{
  uint64_t target;
  int32_t load;
  int down;
  clk_ms reported_ms;
};

/* Mean load of the targets of one service, and its minimum in each of the
   last PEER_MEAN_SLOTS time slots. */
struct peer_mean_load
{
  uint64_t service;
  double now;        /* current mean */
  double ready_mean; /* mean of the targets that accept requests */
  double minimum[PEER_MEAN_SLOTS];
  clk_ms slot_ms[PEER_MEAN_SLOTS]; /* start of each slot */
  uint32_t targets;                /* number of targets in the mean */
};

struct peer
{
  const struct settings *settings;
  struct ver_store *store;
  struct ver_reader *reader;
  struct adm_state *adm_state;
  struct member_table *member_table;
  struct wire_key key;
  struct byte_budget byte_budget;
  pthread_mutex_t budget_lock;
  uint32_t self;
  uint32_t domain;
  uint64_t incarnation;
  uint64_t sequence;
  uint32_t next_grant;
  enum member_state state;
  int udp_fd;
  int stopping;
  int announce_due;
  pthread_t thread;
  clk_ms next_heartbeat_ms;
  clk_ms next_refresh_ms;
  size_t rotation; /* number of the heartbeat round; selects the recipients */
  struct peer_grant_shard grant_shards[PEER_GRANT_SHARDS];
  pthread_mutex_t mean_lock;
  GArray *means;      /* of struct peer_mean_load */
  GHashTable *loads;  /* target to struct peer_target_load; mean_lock */
  GHashTable *owners; /* target to the id of its owner; owner_lock */
  pthread_mutex_t owner_lock;
  uint64_t owner_view_hash; /* of the revision and members for owners */
  /* Only the peer thread uses owned, unowned, last_hold_owner and
     next_hold_ms.  */
  GArray *owned;       /* of uint64_t: targets that this instance owns */
  GHashTable *unowned; /* target to clk_ms from which another owns it */
  /* Target to the owner that the last hold message on it was sent to.  */
  GHashTable *last_hold_owner;
  clk_ms next_hold_ms;
  pthread_mutex_t leaving_lock;
  GArray *leaving; /* of struct peer_leaving_target */
  peer_revision_fn revision_fn;
  void *revision_closure;
  peer_crash_fn crash_fn;
  peer_success_fn success_fn;
  void *crash_closure;
};

/* Target that the platform's list or a peer reports as leaving. */
struct peer_leaving_target
{
  uint64_t target;
  clk_ms since_ms;
  clk_ms expires_at_ms;
  int from_platform; /* read from the platform's list by this instance */
};

int peer_send (struct peer *peer, const struct sockaddr_in *to,
               struct wire_message *message, enum budget_class traffic_class,
               enum metric_counter counter);
void heartbeat_apply (struct peer *peer, const struct wire_message *message,
                      const struct sockaddr_in *from, clk_ms now);
void heartbeat_send_all (struct peer *peer, clk_ms now);
void admit_handle_request (struct peer *peer,
                           const struct wire_message *message,
                           const struct sockaddr_in *from, clk_ms now);
void admit_handle_answer (struct peer *peer,
                          const struct wire_admission_answer *answer);
void admit_handle_release (struct peer *peer,
                           const struct wire_message *message, clk_ms now);
void admit_handle_hold (struct peer *peer, const struct wire_message *message,
                        clk_ms now);
void admit_handle_notes (struct peer *peer, const struct wire_message *message,
                         clk_ms now);
int peer_has_left (struct peer *peer, uint64_t target, clk_ms now);
void leaving_record (struct peer *peer, uint64_t target, int from_platform,
                     clk_ms now);
size_t leaving_copy (struct peer *peer, uint64_t *targets, size_t capacity,
                     clk_ms now);
int admit_is_idle (struct peer *peer);
void admit_answer_waiters (struct peer *peer, clk_ms now);
void admit_retry_overdue (struct peer *peer, clk_ms now);
void admit_refresh (struct peer *peer, const struct ver_snapshot *version,
                    clk_ms now);
void load_fill_heartbeat (struct peer *peer, struct wire_heartbeat *heartbeat);
void load_record_heartbeat (struct peer *peer,
                            const struct wire_heartbeat *heartbeat,
                            clk_ms now);
void admit_free (struct peer *peer);
int owner_find (struct peer *peer, uint64_t target, uint32_t domain,
                clk_ms now, struct member_info *owner);
void owner_update (struct peer *peer, const struct ver_snapshot *version,
                   clk_ms now);
void admit_init (struct peer *peer);
double load_bounding_mean (struct peer *peer, uint64_t service, double factor,
                           clk_ms now);
struct peer_mean_load *load_get_mean (struct peer *peer, uint64_t service);
void load_update_means (struct peer *peer, const struct ver_snapshot *version,
                        clk_ms now);
void load_record_target (struct peer *peer, uint64_t target, uint32_t load,
                         clk_ms now);
void hold_send_all (struct peer *peer, clk_ms now);
void note_transfer_all (struct peer *peer, const struct ver_target *target);

#endif
