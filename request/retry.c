/* Retry policy: decides what follows a failed attempt. */
#include <glib.h>

#include "ibisloom/retry.h"

enum
{
  ATTEMPTS_MAX_DEFAULT = 6,
  /* A request that so many targets broke off at once may have crashed
     them.  */
  DISCONNECTS_MAX = 3,
  RESUMES_MAX = 1,
  DEADLINE_MARGIN_MS = 20
};

static const double BUDGET_MAX_TOKENS = 100;
static const double BUDGET_INITIAL_TOKENS = 20;

static void give_up (const struct retry_state *state, enum retry_reason reason,
                     struct retry_decision *decision);

/* Whether the target may have executed a request whose attempt ended with the
   fault. */
static const enum retry_run run_by_fault[RETRY_FAULT_COUNT] = {
  [RETRY_FAULT_CONNECT] = RETRY_NOT_RUN,
  [RETRY_FAULT_ERROR_STATUS] = RETRY_MAY_HAVE_RUN,
  [RETRY_FAULT_REJECTED] = RETRY_NOT_RUN,
  [RETRY_FAULT_DISCONNECTED] = RETRY_MAY_HAVE_RUN,
  [RETRY_FAULT_READ_TIMEOUT] = RETRY_MAY_HAVE_RUN,
  [RETRY_FAULT_INVALID_RESPONSE] = RETRY_MAY_HAVE_RUN,
  [RETRY_FAULT_UNREAD] = RETRY_MAY_HAVE_RUN,
};

const enum metric_counter retry_counters[RETRY_FAULT_COUNT] = {
  [RETRY_FAULT_CONNECT] = METRIC_RETRY_CONNECT,
  [RETRY_FAULT_ERROR_STATUS] = METRIC_RETRY_STATUS,
  [RETRY_FAULT_REJECTED] = METRIC_RETRY_STATUS,
  [RETRY_FAULT_DISCONNECTED] = METRIC_RETRY_DISCONNECTED,
  [RETRY_FAULT_READ_TIMEOUT] = METRIC_RETRY_READ_TIMEOUT,
  [RETRY_FAULT_INVALID_RESPONSE] = METRIC_RETRY_INVALID_RESPONSE,
  [RETRY_FAULT_UNREAD] = METRIC_RETRY_UNREAD,
};

/* Initializes BUDGET with a reserve for faults before the first deposits.  */
void
retry_budget_init (struct retry_budget *budget)
{
  budget->tokens = BUDGET_INITIAL_TOKENS;
  budget->max = BUDGET_MAX_TOKENS;
}

/* Sets the capacity of BUDGET to MAX tokens.  Tokens in excess of MAX are
   lost; a zeroed budget starts full.  */
void
retry_budget_set_max (struct retry_budget *budget, double max)
{
  if (budget->max == 0 || budget->tokens > max)
    budget->tokens = max;
  budget->max = max;
}

/* Adds SHARE of a token to BUDGET for a new request, up to its capacity.  */
void
retry_budget_deposit (struct retry_budget *budget, double share)
{
  budget->tokens += share;
  if (budget->tokens > budget->max)
    budget->tokens = budget->max;
}

/* Returns whether BUDGET may allow a retry now.  The share of an instance of a
   large fleet may be less than a token: then it is full with that.  */
int
retry_budget_has_token (const struct retry_budget *budget)
{
  return budget->tokens > 0 && budget->tokens >= MIN (budget->max, 1);
}

/* Takes a token from BUDGET.  Returns whether a retry is allowed.  One in so
   many of the instances whose share is less than a token goes into debt, so
   that all together spend their shares.  */
int
retry_budget_take (struct retry_budget *budget)
{
  if (!retry_budget_has_token (budget)
      || (budget->max < 1 && g_random_double () >= budget->max))
    return 0;
  budget->tokens -= 1;
  return 1;
}

/* Decides at NOW what follows the fault in STATE and writes it to DECISION.  A
   request that may not be repeated is sent to another target only if it cannot
   have run.  A stream that has begun is resumed at its own target first, which
   repeats no work and therefore costs no budget, and is continued at another
   target only if resuming makes no progress.  */
void
retry_decide (const struct retry_state *state, struct retry_budget *budget,
              clk_ms now, struct retry_decision *decision)
{
  decision->reason = RETRY_REASON_NONE;
  decision->run = RETRY_NOT_RUN;
  if (!state->repeatable && run_by_fault[state->fault] != RETRY_NOT_RUN)
    {
      give_up (state, RETRY_REASON_MAY_HAVE_RUN, decision);
      return;
    }
  if (now + DEADLINE_MARGIN_MS >= state->deadline_ms)
    {
      give_up (state, RETRY_REASON_DEADLINE, decision);
      return;
    }
  if (state->is_stream && state->tokens > 0 && !state->resumes_at_any_target
      && state->resumes < RESUMES_MAX
      && (state->fault == RETRY_FAULT_DISCONNECTED
          || state->fault == RETRY_FAULT_UNREAD
          || state->fault == RETRY_FAULT_READ_TIMEOUT))
    {
      decision->action = RETRY_RESUME;
      return;
    }
  if (state->attempts >= (state->attempts_max > 0 ? state->attempts_max
                                                  : ATTEMPTS_MAX_DEFAULT)
      || state->disconnects >= DISCONNECTS_MAX)
    {
      give_up (state, RETRY_REASON_ATTEMPTS, decision);
      return;
    }
  if (state->attempts > 0 && !retry_budget_take (budget))
    {
      give_up (state, RETRY_REASON_BUDGET, decision);
      return;
    }
  decision->action = state->tokens > 0 ? RETRY_CONTINUE : RETRY_OTHER_TARGET;
}

/* Sets DECISION to end the request for REASON.  It is reported as not run only
   if no attempt, including this one, can have been executed.  */
static void
give_up (const struct retry_state *state, enum retry_reason reason,
         struct retry_decision *decision)
{
  decision->action = RETRY_GIVE_UP;
  decision->reason = reason;
  decision->run = run_by_fault[state->fault];
  if (state->may_have_run)
    decision->run = RETRY_MAY_HAVE_RUN;
}
