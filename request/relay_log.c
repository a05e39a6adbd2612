/* What the log tells of a request. */
#include <inttypes.h>

#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "librelay.h"

static const char *const fault_names[RETRY_FAULT_COUNT] = {
  [RETRY_FAULT_CONNECT] = "no_connection",
  [RETRY_FAULT_ERROR_STATUS] = "error",
  [RETRY_FAULT_REJECTED] = "refused",
  [RETRY_FAULT_DISCONNECTED] = "broken",
  [RETRY_FAULT_READ_TIMEOUT] = "silent",
  [RETRY_FAULT_INVALID_ANSWER] = "wrong",
};

static const enum met_counter place_counters[BAL_REASON_COUNT] = {
  [BAL_HOLDER] = MET_PLACED_NOTE,    [BAL_HOME] = MET_PLACED_HOME,
  [BAL_NEXT_HOME] = MET_PLACED_WALK, [BAL_LEAST_LOADED] = MET_PLACED_LEAST,
  [BAL_TRIAL] = MET_PLACED_TRIAL,    [BAL_NO_TARGET] = MET_DENIED_DOWN,
  [BAL_ALL_FULL] = MET_DENIED_BOUND,
};

/* Why no other attempt follows. */
static const char *const give_up_names[] = {
  [RETRY_REASON_NONE] = NULL,
  [RETRY_REASON_DEADLINE] = "deadline",
  [RETRY_REASON_BUDGET] = "retry_budget",
  [RETRY_REASON_TRIES] = "attempts_used",
  [RETRY_REASON_MAY_HAVE_RUN] = "may_have_run",
};

/* Logs where RLY goes and why.  */
void
rly_log_place (const struct rly *rly, const struct bal_choice *choice,
               size_t candidates)
{
  struct log_line line;

  met_inc (place_counters[choice->reason]);
  if (!log_begin (&line, LOG_LEVEL_INFO, "place", rly->id,
                  bal_reason_names[choice->reason]))
    return;
  log_text (&line, "target", rly->target ? rly->target->id : NULL);
  log_text (&line, "service", rly->service);
  log_number (&line, "candidates", (int64_t)candidates);
  log_real (&line, "load", choice->load);
  log_real (&line, "mean_load", choice->mean);
  if (rly->context != 0)
    {
      char context[24];

      g_snprintf (context, sizeof context, "%016" PRIx64, rly->context);
      log_text (&line, "context", context);
      log_number (&line, "context_tokens", rly->context_tokens);
      log_text (&line, "holder", bal_skip_names[choice->skip]);
    }
  log_number (&line, "version", (int64_t)rly->table->version);
  log_number (&line, "registry", (int64_t)rly->gate->known.targets);
  log_end (&line);
}

/* Logs that an attempt of RLY ended with FAULT, and what follows.  */
void
rly_log_fault (const struct rly *rly, enum retry_fault fault,
               const struct retry_decision *decision, clk_ms now)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "attempt", rly->id,
                  fault_names[fault]))
    return;
  log_text (&line, "target", rly->target ? rly->target->id : NULL);
  log_number (&line, "target_status", rly->status);
  log_number (&line, "after_ms", now - rly->sent_ms);
  log_number (&line, "silent_ms", now - rly->heard_ms);
  log_number (&line, "sends", rly->sends);
  log_number (&line, "attempts_max", rly->route->attempts_max);
  log_number (&line, "events", rly->events.passed);
  log_text (&line, "next",
            decision->action == RETRY_GIVE_UP ? "give_up" : "elsewhere");
  log_text (&line, "because", give_up_names[decision->reason]);
  log_end (&line);
}

/* Logs how RLY ended.  */
void
rly_log_outcome (const struct rly *rly, const char *outcome, clk_ms now)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "request", rly->id, outcome))
    return;
  log_text (&line, "route", rly->route ? rly->route->name : NULL);
  log_text (&line, "service", rly->service);
  log_text (&line, "customer", rly->customer ? rly->customer->name : NULL);
  log_number (&line, "status", rly->status);
  log_number (&line, "sends", rly->sends);
  log_number (&line, "events", rly->events.passed);
  log_number (&line, "may_have_run", rly->may_have_run);
  log_number (&line, "took_ms", now - rly->arrived_ms);
  if (rly->table != NULL)
    {
      log_number (&line, "version", (int64_t)rly->table->version);
      log_number (&line, "version_age_ms", now - rly->gate->table_ms);
    }
  log_number (&line, "store_lost", rly->gate->config.down);
  log_end (&line);
}
