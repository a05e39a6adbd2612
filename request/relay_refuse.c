/* Refusals: status, and when the caller should come back. */
#include "ibisloom/metrics.h"
#include "librelay.h"

enum
{
  JITTER_PARTS = 2
};

/* A status of 429 or 503 promises that the request has not run.  */
static const struct
{
  const char *name;
  enum met_counter counter;
  uint32_t status;
  int64_t retry_after_ms; /* 0: coming back does not help */
} refusals[RLY_REFUSAL_COUNT] = {
  [RLY_BAD_REQUEST] = { "bad_request", MET_REFUSED_BAD_REQUEST, 400, 0 },
  [RLY_UNKNOWN_ROUTE]
  = { "unknown_route", MET_REFUSED_UNKNOWN_SERVICE, 404, 0 },
  [RLY_UNKNOWN_KEY] = { "unknown_key", MET_REFUSED_UNKNOWN_CUSTOMER, 401, 0 },
  [RLY_NOT_CONFIGURED] = { "not_configured", MET_REFUSED_NOT_READY, 503, 500 },
  [RLY_STOPPING] = { "stopping", MET_REFUSED_STOPPING, 503, 100 },
  [RLY_NO_TARGET] = { "no_target", MET_REFUSED_NO_TARGET, 503, 400 },
  [RLY_FULL] = { "all_full", MET_REFUSED_CAPACITY, 503, 300 },
  [RLY_TARGET_FULL] = { "target_full", MET_REFUSED_TARGET_FULL, 503, 150 },
  [RLY_NO_CONNECTION]
  = { "no_connection", MET_REFUSED_NO_CONNECTION, 503, 200 },
  [RLY_TARGET_FAILED]
  = { "target_failed", MET_REFUSED_TARGETS_FAILED, 502, 0 },
  [RLY_DEADLINE] = { "deadline", MET_REFUSED_DEADLINE, 504, 0 },
  [RLY_DEADLINE_UNSENT] = { "deadline_unsent", MET_REFUSED_DEADLINE, 503, 0 },
  [RLY_RETRY_BUDGET] = { "retry_budget", MET_REFUSED_RETRY_BUDGET, 502, 0 }
};

/* Ends RLY without the target's answer.  A stream that has begun is broken
   off so that it does not look complete.  */
void
rly_refuse (struct rly *rly, enum rly_refusal refusal)
{
  struct caller *caller = rly->caller;
  int64_t wait_ms = refusals[refusal].retry_after_ms;
  char field[64] = "";

  met_inc (refusals[refusal].counter);
  rly->caller = NULL;
  if (!rly->begun)
    rly->status = refusals[refusal].status;
  if (rly->begun)
    caller_break (caller);
  else
    {
      if (wait_ms > 0)
        {
          wait_ms += g_rand_int_range (rly->router->random, 0,
                                       (gint32)wait_ms / JITTER_PARTS + 1);
          g_snprintf (field, sizeof field, "%s: %.3f\r\n",
                      rly->router->dialect->field[DLC_RETRY_AFTER],
                      (double)wait_ms / CLK_MS_PER_S);
        }
      caller_answer (caller, refusals[refusal].status, field, NULL, 0);
    }
  rly_finish (rly, refusals[refusal].name);
}
