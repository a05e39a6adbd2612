/* Log lines of requests that wait for capacity, or are refused for want of
   it.  */
#include "ibisloom/log.h"
#include "librelay.h"

/* Logs that RELAY waits, or why it is refused, by what VIEW says, and for how
   long its client is to stay away.  */
void
relay_wait_log (const struct relay *relay, const char *reason,
                const struct wait_view *view, int64_t retry_after_ms,
                clk_ms now)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "queue", relay->id, reason))
    return;
  log_text (&line, "service", relay->service);
  log_text (&line, "customer", relay->customer ? relay->customer->name : NULL);
  log_number (&line, "priority", (int64_t)relay->turn.class - TURN_FIRST);
  log_number (&line, "ahead", view->ahead);
  log_real (&line, "per_s", view->per_s);
  log_number (&line, "expected_ms", view->expected_ms);
  log_number (&line, "left_ms", relay->turn.limit_ms - now);
  log_number (&line, "level_age_ms", view->level_age_ms);
  if (relay->turn.since_ms != 0 && relay->turn.since_ms != now)
    log_number (&line, "waited_ms", now - relay->turn.since_ms);
  if (retry_after_ms > 0)
    log_number (&line, "retry_after_ms", retry_after_ms);
  log_end (&line);
}

/* Logs that the current target of RELAY has turned it away for want of
   capacity, and its LIMIT from now on.  */
void
relay_wait_log_limit (const struct relay *relay, int32_t limit)
{
  const struct reg_target *target = relay->attempt.target;
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "attempt", relay->id, "full"))
    return;
  log_text (&line, "target", target->id);
  log_real (&line, "load", reg_counted_load (target));
  log_number (&line, "limit", limit);
  log_end (&line);
}
