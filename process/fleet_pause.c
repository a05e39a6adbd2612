/* Pauses that targets have asked this instance for.  Each instance is asked by
   itself, and tells no other.  */
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "libfleet.h"

static void log_pause (const struct reg_target *target,
                       const struct pause_notice *notice, const char *reason,
                       int64_t asked_ms, clk_ms now);

/* Handles that the PROCESS of TARGET, as counted when a request was sent
   there, has turned that away and wants none for ASKED_MS.  */
void
fleet_observe_pause (struct fleet *fleet, struct reg_target *target,
                     uint32_t process, int64_t asked_ms)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct pause_notice *notice
      = reg_find_notice (fleet->registry, target, process);
  int is_capped = pause_cap_ms (asked_ms) < asked_ms;

  if (notice == NULL || !pause_begin (notice, asked_ms, now))
    return;
  metric_inc (METRIC_PAUSES_BEGUN);
  log_pause (target, notice, "begun", asked_ms, now);
  if (!is_capped)
    return;
  metric_inc (METRIC_PAUSES_CAPPED);
  log_pause (target, notice, "capped", asked_ms, now);
}

/* Does the work that is due with each heartbeat: records which pauses have
   ended.  */
void
fleet_pause_tick (struct fleet *fleet, clk_ms now)
{
  const GPtrArray *targets = fleet->registry->array;

  for (guint i = 0; i < targets->len; i++)
    {
      struct reg_target *target = g_ptr_array_index (targets, i);

      if (!pause_end (&target->notice, now))
        continue;
      metric_inc (METRIC_PAUSES_ENDED);
      log_pause (target, &target->notice, "ended", 0, now);
    }
}

/* Logs what has become of the pause in NOTICE, of a process of TARGET, as
   REASON, which asked for ASKED_MS, or has ended.  */
static void
log_pause (const struct reg_target *target, const struct pause_notice *notice,
           const char *reason, int64_t asked_ms, clk_ms now)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "pause", NULL, reason))
    return;
  log_text (&line, "target", target->id);
  log_text (&line, "service", target->service);
  if (asked_ms > 0)
    log_number (&line, "asked_ms", asked_ms);
  log_number (&line, "left_ms", pause_left_ms (notice, now));
  log_number (&line, "paused_ms", now - notice->paused_ms);
  log_number (&line, "in_flight", target->in_flight);
  log_end (&line);
}
