/* One instance that relays requests between callers and targets. */
#ifndef IBISLOOM_ROUTER_H
#define IBISLOOM_ROUTER_H

#include <ev.h>

#include "ibisloom/caller.h"
#include "ibisloom/affinity.h"
#include "ibisloom/dialect.h"
#include "ibisloom/fleet.h"
#include "ibisloom/outcall.h"
#include "ibisloom/retry.h"
#include "ibisloom/settings.h"
#include "ibisloom/snapshot.h"

struct router
{
  const struct settings *settings;
  struct settings
      *reloaded_settings; /* owned: the settings, if they were read again */
  const struct dialect *dialect;
  struct ev_loop *loop;
  struct caller_site request_listener;
  struct caller_site readiness_listener;
  struct caller_site metrics_listener;
  struct caller_site
      peer_listener; /* other instances ask for the snapshot here */
  struct out_pool pool;
  struct registry *registry;
  struct affinity *contexts;
  struct fleet *fleet;
  struct snp *snapshot;
  struct store_call *snapshot_fetch; /* of another instance's snapshot */
  clk_ms fetch_started_ms;           /* when the last one was begun */
  struct snp_point known;       /* of the store, by itself or from others */
  struct snp_point stale_point; /* what was known when others knew more */
  clk_ms stale_since_ms;        /* since when, 0: not */
  clk_ms started_ms;
  clk_ms short_ms; /* since when watchers are too few */
  clk_ms
      watch_due_ms; /* when it was last due that this one watches the store */
  struct rt_table *table; /* in force; NULL until one is read */
  clk_ms table_ms;        /* when it came into force */
  struct fol config;
  struct fol targets;
  GHashTable *budgets;        /* service, interned, to struct retry_budget */
  const char *failure_domain; /* interned */
  GRand *random;
  ev_timer tick;
  ev_prepare prepare;
  ev_signal signals[3];
  clk_ms stopping_ms; /* when the stop was asked for, 0: not */
  uint32_t open_requests;
};

struct router *router_new (const struct settings *settings,
                           const struct dialect *dialect, GError **error);
void router_run (struct router *router);
void router_free (struct router *router);
int router_is_ready (const struct router *router);
int router_may_start (const struct router *router, int64_t expected_ms);
void router_request_ended (struct router *router);
GString *router_metrics (const struct router *router);
struct retry_budget *router_retry_budget (struct router *router,
                                          const char *service);

#endif
