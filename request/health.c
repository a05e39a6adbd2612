/* Passive health check of a target, from the outcomes of recent requests.

   A target that fails is suspended for a time.  After that, one trial request
   at a time is sent to it until one gets a complete response.  The trial is a
   request that another target can serve if it fails, or, if none has come for
   a time, any request.  A target whose only failures are silences on kept
   connections, which may have gone dark, is used if no other one is left.  */
#include <math.h>

#include "ibisloom/health.h"

enum
{
  /* Without a response for this time the error rate fades, and halves in each
     further period of this length.  */
  ERROR_RATE_VALID_MS = 4000,
  /* A queue of plain requests drains in this time.  */
  REJECTED_BACKOFF_MS = 150,
  /* Outlasts a lost packet, but not a restart.  */
  CONNECT_BACKOFF_MS = 500,
  TIMEOUT_BACKOFF_MS = 1000,
  DISCONNECT_BACKOFF_MS = 400,
  /* The registry has the new entry after this time.  */
  MISDIRECTED_BACKOFF_MS = 3000,
  SUSPENSION_MAX_MS = 4000,
  /* Requests that can make a trial come before, if there are any.  */
  TRIAL_OVERDUE_MS = 4000,
  DISCONNECTS_TO_SUSPEND = 2,
  DOUBLINGS_MAX = 4
};

/* Weight of the latest response in the moving average of errors. */
static const double ERROR_RATE_WEIGHT = 0.08;

/* Effect of a failure on its target. */
struct penalty
{
  uint32_t failures_to_suspend; /* consecutive ones; 0: not a failure */
  int64_t backoff_ms;
  int is_exponential; /* the back-off doubles with each further failure */
};

static const struct penalty penalties[HEALTH_EVENT_COUNT] = {
  [HEALTH_REJECTED] = { 1, REJECTED_BACKOFF_MS, 0 },
  [HEALTH_CONNECT_FAILED] = { 1, CONNECT_BACKOFF_MS, 1 },
  [HEALTH_DISCONNECTED] = { DISCONNECTS_TO_SUSPEND, DISCONNECT_BACKOFF_MS, 1 },
  [HEALTH_TIMED_OUT] = { 1, TIMEOUT_BACKOFF_MS, 1 },
  [HEALTH_KEPT_SILENT] = { 1, TIMEOUT_BACKOFF_MS, 1 },
  [HEALTH_MISDIRECTED] = { 1, MISDIRECTED_BACKOFF_MS, 0 },
};

/* Records EVENT, the outcome of a request that ended at NOW.  Any complete
   response ends a suspension, and so does one that goes on after a silence;
   server errors only raise the error rate.  */
void
health_record (struct health *health, enum health_event event, clk_ms now)
{
  const struct penalty *penalty = &penalties[event];
  int64_t backoff_ms = penalty->backoff_ms;
  int was_suspended = health->suspended_until_ms != 0 && !health->in_doubt;
  uint32_t doublings;

  health->in_doubt = event == HEALTH_KEPT_SILENT && !was_suspended;
  if (event == HEALTH_RESPONDED || event == HEALTH_SERVER_ERROR)
    {
      health->error_rate = health_error_rate (health, now);
      health->error_rate += ERROR_RATE_WEIGHT
                            * ((event == HEALTH_SERVER_ERROR ? 1.0 : 0.0)
                               - health->error_rate);
      health->responded_ms = now;
      health->consecutive_failures = 0;
      health->suspended_until_ms = 0;
      health->in_outage = 0;
      return;
    }
  if (event == HEALTH_WENT_ON)
    {
      health->consecutive_failures = 0;
      health->suspended_until_ms = 0;
      health->in_outage = 0;
      return;
    }
  health->consecutive_failures++;
  if (health->consecutive_failures < penalty->failures_to_suspend)
    return;
  health->in_outage |= event == HEALTH_CONNECT_FAILED
                       || event == HEALTH_DISCONNECTED
                       || event == HEALTH_TIMED_OUT;
  doublings = health->consecutive_failures - penalty->failures_to_suspend;
  if (doublings > DOUBLINGS_MAX)
    doublings = DOUBLINGS_MAX;
  if (penalty->is_exponential)
    backoff_ms <<= doublings;
  if (backoff_ms > SUSPENSION_MAX_MS)
    backoff_ms = SUSPENSION_MAX_MS;
  if (now + backoff_ms > health->suspended_until_ms)
    health->suspended_until_ms = now + backoff_ms;
}

/* Returns the error rate of the target at NOW, 0 to 1.  A rate from responses
   of long ago says little, and a target that is avoided for it would get no
   responses that change it.  */
double
health_error_rate (const struct health *health, clk_ms now)
{
  int64_t stale_ms = now - health->responded_ms - ERROR_RATE_VALID_MS;

  if (health->error_rate <= 0 || stale_ms <= 0)
    return health->error_rate;
  return health->error_rate * exp2 (-(double)stale_ms / ERROR_RATE_VALID_MS);
}

/* Counts a request that is sent to the target.  Returns whether it is a trial,
   to be passed to health_end_request.  */
int
health_begin_request (struct health *health)
{
  if (health->suspended_until_ms == 0)
    return 0;
  health->trials_in_flight++;
  return 1;
}

/* Ends a request for which health_begin_request returned IS_TRIAL.  */
void
health_end_request (struct health *health, int is_trial)
{
  if (is_trial && health->trials_in_flight > 0)
    health->trials_in_flight--;
}

/* Returns the state of the target at NOW.  */
enum health_state
health_get_state (const struct health *health, clk_ms now)
{
  if (health->suspended_until_ms == 0)
    return HEALTH_USABLE;
  if (now < health->suspended_until_ms)
    return health->in_doubt ? HEALTH_DOUBTED : HEALTH_SUSPENDED;
  if (health->trials_in_flight > 0)
    return health->in_doubt ? HEALTH_DOUBTED : HEALTH_SUSPENDED;
  return now - health->suspended_until_ms < TRIAL_OVERDUE_MS ? HEALTH_TRIAL
                                                             : HEALTH_USABLE;
}
