/* One instance that relays requests between callers and targets. */
#ifndef IBISLOOM_GATE_H
#define IBISLOOM_GATE_H

#include <ev.h>

#include "ibisloom/caller.h"
#include "ibisloom/context.h"
#include "ibisloom/dialect.h"
#include "ibisloom/fleet.h"
#include "ibisloom/outcall.h"
#include "ibisloom/retry.h"
#include "ibisloom/settings.h"
#include "ibisloom/snapshot.h"

struct gate
{
  const struct settings *settings;
  struct settings *reloaded; /* owned: the settings, if they were read again */
  const struct dialect *dialect;
  struct ev_loop *loop;
  struct caller_site front;
  struct caller_site ready;
  struct caller_site metrics;
  struct caller_site peers; /* other instances ask for the snapshot here */
  struct out_pool pool;
  struct registry *registry;
  struct ctx *contexts;
  struct flt *fleet;
  struct snp *snapshot;
  struct stc *fetch;       /* of another instance's snapshot */
  clk_ms fetched_ms;       /* when the last one was begun */
  struct snp_point known;  /* of the store, by itself or from others */
  struct snp_point behind; /* what was known when others knew more */
  clk_ms behind_ms;        /* since when, 0: not */
  clk_ms started_ms;
  clk_ms short_ms; /* since when watchers are too few */
  clk_ms watch_ms; /* when it was last due that this one watches the store */
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

struct gate *gate_new (const struct settings *settings,
                       const struct dialect *dialect, GError **error);
void gate_run (struct gate *gate);
void gate_free (struct gate *gate);
int gate_is_ready (const struct gate *gate);
int gate_has_time (const struct gate *gate, int64_t expected_ms);
void gate_request_ended (struct gate *gate);
GString *gate_metrics (const struct gate *gate);
struct retry_budget *gate_budget (struct gate *gate, const char *service);

#endif
