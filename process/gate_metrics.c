/* Counters, histograms and present values of a gate, as text. */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/gate.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"

static void add_gauge (GString *out, const char *name, int64_t value);
static void count_targets (const struct gate *gate, clk_ms now, GString *out);

/* Returns GATE's metrics in the Prometheus text format, newly allocated.  */
GString *
gate_metrics (const struct gate *gate)
{
  GString *out = g_string_new (NULL);
  clk_ms now = clk_now (clk_monotonic ());

  met_print (out);
  add_gauge (out, "ibisloom_ready", gate_is_ready (gate));
  add_gauge (out, "ibisloom_stopping", gate->stopping_ms != 0);
  add_gauge (out, "ibisloom_open_requests", gate->open_requests);
  add_gauge (out, "ibisloom_target_connections", gate->pool.open_count);
  add_gauge (out, "ibisloom_target_connections_idle", gate->pool.idle_count);
  add_gauge (out, "ibisloom_version_in_force",
             gate->table ? (int64_t)gate->table->version : 0);
  add_gauge (out, "ibisloom_version_in_force_age_ms",
             gate->table ? now - gate->table_ms : -1);
  add_gauge (out, "ibisloom_store_revision_config",
             (int64_t)gate->known.config);
  add_gauge (out, "ibisloom_store_revision_targets",
             (int64_t)gate->known.targets);
  add_gauge (out, "ibisloom_store_lost",
             gate->config.down || gate->targets.down);
  add_gauge (out, "ibisloom_store_watched", !gate->config.unwanted);
  add_gauge (out, "ibisloom_store_calls",
             (int64_t)(gate->config.calls + gate->targets.calls));
  add_gauge (out, "ibisloom_instances", flt_size (gate->fleet));
  add_gauge (out, "ibisloom_log_lines_dropped", (int64_t)log_dropped ());
  count_targets (gate, now, out);
  return out;
}

/* Appends one value.  */
static void
add_gauge (GString *out, const char *name, int64_t value)
{
  g_string_append_printf (out, "# TYPE %s gauge\n%s %" PRId64 "\n", name, name,
                          value);
}

/* Appends how many targets there are in which state.  */
static void
count_targets (const struct gate *gate, clk_ms now, GString *out)
{
  int64_t leaving = 0;
  int64_t missing = 0;
  int64_t suspected = 0;
  int64_t usable = 0;

  for (guint i = 0; i < gate->registry->array->len; i++)
    {
      const struct reg_target *target
          = g_ptr_array_index (gate->registry->array, i);

      if (target->leaving)
        leaving++;
      else if (target->missing_until_ms != 0)
        missing++;
      else if (tru_judge (&target->trust, now) != TRU_USABLE)
        suspected++;
      else
        usable++;
    }
  add_gauge (out, "ibisloom_targets_usable", usable);
  add_gauge (out, "ibisloom_targets_suspected", suspected);
  add_gauge (out, "ibisloom_targets_missing", missing);
  add_gauge (out, "ibisloom_targets_leaving", leaving);
}
