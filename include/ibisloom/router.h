/* Router instance: relays requests between clients and targets. */
#ifndef IBISLOOM_ROUTER_H
#define IBISLOOM_ROUTER_H

#include <ev.h>

#include "ibisloom/client.h"
#include "ibisloom/affinity.h"
#include "ibisloom/dialect.h"
#include "ibisloom/fleet.h"
#include "ibisloom/hops.h"
#include "ibisloom/outbound.h"
#include "ibisloom/retry.h"
#include "ibisloom/settings.h"
#include "ibisloom/snapshot.h"

/* What decides whether a request may still start in a shutdown. */
struct router_request
{
  int64_t expected_ms; /* its duration */
  clk_ms deadline_ms;
  uint8_t must_end; /* cannot be answered by the instance at its end */
};

struct router
{
  const struct settings *settings;
  struct settings *reloaded_settings; /* owned; NULL until a reload */
  const struct dialect *dialect;
  struct ev_loop *loop;
  struct client_listener request_listener;
  struct client_listener readiness_listener;
  struct client_listener metrics_listener;
  struct client_listener peer_listener; /* serves the snapshot to peers */
  struct out_pool pool;
  struct registry *registry;
  struct affinity *affinity;
  struct held *held; /* what targets say they hold */
  struct fleet *fleet;
  struct snapshot *snapshot;
  struct store_call *snapshot_fetch; /* from a peer, in progress; or NULL */
  uint8_t fetches_config;  /* the last fetch asked for the configuration */
  uint8_t refuses_delta;   /* the last one fetched builds on another text */
  clk_ms fetch_started_ms; /* start of the last snapshot fetch; 0: none */
  /* Newest state, from the store or from peers.  Its version may not be in
     force, if this build cannot read it.  */
  struct snapshot_state known;
  struct snapshot_state stale_state; /* value of known at stale_since_ms */
  clk_ms stale_since_ms;          /* first report of a newer state; 0: none */
  struct snapshot_state reported; /* last logged, of a peer */
  uint64_t epoch;                 /* of the store; 0: not told */
  clk_ms started_ms;
  clk_ms short_ms;        /* last time that there were enough watchers */
  clk_ms watch_due_ms;    /* last time it was elected to watch; 0: never */
  struct rt_table *table; /* in force; NULL until one has been read */
  clk_ms table_ms;        /* when it came into force */
  uint64_t page_version;  /* newest read from a page of the store; 0: none */
  struct watch_group watches;
  struct watch config;
  struct watch targets;
  struct watch evacuations; /* zeroed: the settings have none read */
  clk_ms informed_ms;  /* last time that a watcher of its domain was heard */
  uint8_t is_standby;  /* other watchers of its failure domain come first */
  GHashTable *reaches; /* service, interned, to struct router_reach */
  uint64_t hop_token;  /* that requests of other instances have to bear */
  uint32_t open_hops;  /* requests of other instances in progress */
  GHashTable *queues;  /* service, interned, to struct relay_queue */
  GHashTable *budgets; /* service, interned, to struct retry_budget */
  uint8_t budgets_are_shared; /* with the other instances, which are known */
  const char *failure_domain; /* interned */
  GRand *random;
  ev_timer tick;
  ev_prepare prepare;
  ev_signal signals[3];
  clk_ms stopping_ms; /* start of the shutdown; 0: not shutting down */
  uint32_t open_requests;
  double context_tokens_mean; /* of recent requests with a context */
};

struct router *router_new (const struct settings *settings,
                           const struct dialect *dialect, GError **error);
void router_run (struct router *router);
void router_free (struct router *router);
int router_is_ready (const struct router *router);
int router_has_read_store (const struct router *router);
int router_may_start (const struct router *router,
                      const struct router_request *request);
void router_request_ended (struct router *router);
GString *router_metrics (const struct router *router);
struct retry_budget *router_retry_budget (struct router *router,
                                          const char *service);
int router_may_retry (const struct router *router, const char *service);

/* router_reach.c */
enum reach_state router_reach_state (const struct router *router,
                                     const char *service);
void router_reach_fail (struct router *router,
                        const struct reg_target *target);
void router_reach_establish (struct router *router,
                             const struct reg_target *target);
void router_reach_respond (struct router *router,
                           const struct reg_target *target);
struct hop_peer *router_hop_choose (struct router *router, const char *service,
                                    const uint32_t *tried,
                                    uint32_t tried_count, int *awaits);
struct hop_peer *router_hop_peer (struct router *router, const char *service,
                                  const struct reg_target *target);
void router_hop_avoid (struct router *router, const char *service,
                       const struct reg_target *target);

#endif
