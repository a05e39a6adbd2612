/* Metrics of a router in the Prometheus text format. */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/buffer.h"
#include "ibisloom/relay.h"
#include "ibisloom/router.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"

static void add_gauge (GString *out, const char *name, int64_t value);
static void add_traffic (const struct fleet *fleet, const char *name,
                         size_t offset, GString *out);
static void count_targets (const struct router *router, clk_ms now,
                           GString *out);

/* Returns the counters, histograms and gauges of ROUTER as newly allocated
   text.  */
GString *
router_metrics (const struct router *router)
{
  GString *out = g_string_new (NULL);
  clk_ms now = clk_now (clk_monotonic ());

  metric_print_all (out);
  add_traffic (router->fleet, "ibisloom_datagrams_sent_total",
               offsetof (struct fleet_traffic, sent), out);
  add_traffic (router->fleet, "ibisloom_datagrams_sent_bytes_total",
               offsetof (struct fleet_traffic, sent_bytes), out);
  add_traffic (router->fleet, "ibisloom_datagrams_received_total",
               offsetof (struct fleet_traffic, received), out);
  add_traffic (router->fleet, "ibisloom_datagrams_received_bytes_total",
               offsetof (struct fleet_traffic, received_bytes), out);
  add_gauge (out, "ibisloom_datagrams_unreadable",
             (int64_t)fleet_unreadable_count (router->fleet));
  add_gauge (out, "ibisloom_ready", router_is_ready (router));
  add_gauge (out, "ibisloom_stopping", router->stopping_ms != 0);
  add_gauge (out, "ibisloom_open_requests", router->open_requests);
  add_gauge (out, "ibisloom_target_connections", router->pool.open_count);
  add_gauge (out, "ibisloom_target_connections_idle", router->pool.idle_count);
  add_gauge (out, "ibisloom_version_in_force",
             router->table ? (int64_t)router->table->version : 0);
  add_gauge (out, "ibisloom_version_in_force_age_ms",
             router->table ? now - router->table_ms : -1);
  add_gauge (out, "ibisloom_store_epoch", (int64_t)router->epoch);
  add_gauge (out, "ibisloom_store_revision_config",
             (int64_t)router->known.config.revision);
  add_gauge (out, "ibisloom_store_revision_targets",
             (int64_t)router->known.targets.revision);
  add_gauge (out, "ibisloom_store_lost",
             router->config.down || router->targets.down);
  add_gauge (out, "ibisloom_store_watched", !router->config.list_only);
  add_gauge (out, "ibisloom_store_calls",
             (int64_t)(router->config.calls + router->targets.calls
                       + router->evacuations.calls));
  add_gauge (out, "ibisloom_instances", fleet_size (router->fleet));
  add_gauge (out, "ibisloom_instances_heard",
             fleet_heard_count (router->fleet));
  add_gauge (out, "ibisloom_quarantined_parts",
             fleet_quarantined_count (router->fleet));
  add_gauge (out, "ibisloom_evacuated_domains",
             fleet_evacuated_count (router->fleet));
  add_gauge (out, "ibisloom_context_lists_parts", held_count (router->held));
  add_gauge (out, "ibisloom_loads_age_ms", fleet_loads_age_ms (router->fleet));
  add_gauge (out, "ibisloom_buffer_pool_bytes", (int64_t)buf_pool_used ());
  add_gauge (out, "ibisloom_buffered_output_bytes",
             (int64_t)buf_used_for (BUF_OUTPUT));
  add_gauge (out, "ibisloom_buffered_request_bytes",
             (int64_t)buf_used_for (BUF_REQUEST));
  add_gauge (out, "ibisloom_buffered_received_bytes",
             (int64_t)buf_used_for (BUF_RECEIVED));
  add_gauge (out, "ibisloom_log_lines_dropped", (int64_t)log_dropped ());
  relay_queues_print (router, out);
  count_targets (router, now, out);
  return out;
}

/* Appends the gauge NAME with VALUE to OUT.  */
static void
add_gauge (GString *out, const char *name, int64_t value)
{
  g_string_append_printf (out, "# TYPE %s gauge\n%s %" PRId64 "\n", name, name,
                          value);
}

/* Appends the counter NAME, the field at OFFSET of struct fleet_traffic, of
   each kind of datagram that was exchanged.  */
static void
add_traffic (const struct fleet *fleet, const char *name, size_t offset,
             GString *out)
{
  g_string_append_printf (out, "# TYPE %s counter\n", name);
  for (int kind = 0; kind < WIRE_KIND_COUNT; kind++)
    {
      const struct fleet_traffic *traffic
          = fleet_traffic (fleet, (enum wire_kind)kind);
      uint64_t value;

      memcpy (&value, (const char *)traffic + offset, sizeof value);
      if (value > 0)
        g_string_append_printf (out, "%s{kind=\"%s\"} %" PRIu64 "\n", name,
                                wire_kind_names[kind], value);
    }
}

/* Appends the number of targets in each state at NOW to OUT.  */
static void
count_targets (const struct router *router, clk_ms now, GString *out)
{
  int64_t leaving = 0;
  int64_t evacuated = 0;
  int64_t missing = 0;
  int64_t suspected = 0;
  int64_t usable = 0;
  int64_t cold = 0;
  int64_t paced = 0;
  int64_t paused = 0;

  for (guint i = 0; i < router->registry->array->len; i++)
    {
      const struct reg_target *target
          = g_ptr_array_index (router->registry->array, i);

      cold += reg_is_cold (target, now);
      paused += pause_left_ms (&target->notice, now) > 0;
      paced += pace_is_in_force (&target->pace);
      if (target->leaving)
        leaving++;
      else if (target->is_evacuated)
        evacuated++;
      else if (target->missing_until_ms != 0)
        missing++;
      else if (health_get_state (&target->health, now) != HEALTH_USABLE)
        suspected++;
      else
        usable++;
    }
  add_gauge (out, "ibisloom_targets_usable", usable);
  add_gauge (out, "ibisloom_targets_suspected", suspected);
  add_gauge (out, "ibisloom_targets_missing", missing);
  add_gauge (out, "ibisloom_targets_leaving", leaving);
  add_gauge (out, "ibisloom_targets_evacuated", evacuated);
  add_gauge (out, "ibisloom_targets_cold", cold);
  add_gauge (out, "ibisloom_targets_paced", paced);
  add_gauge (out, "ibisloom_targets_paused", paused);
}
