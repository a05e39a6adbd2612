/* What recent calls say about whether a target works. */
#include "ibisloom/health.h"

enum
{
  REJECTED_BACKOFF_MS = 150, /* a queue of plain calls drains in that time */
  CONNECT_BACKOFF_MS = 500,  /* a restart takes longer, a lost packet less */
  TIMEOUT_BACKOFF_MS = 1000,
  DISCONNECT_BACKOFF_MS = 400,
  MISDIRECTED_BACKOFF_MS = 3000, /* until the registry shows the new entry */
  SUSPENSION_MAX_MS = 4000,
  DISCONNECTS_TO_SUSPEND = 2,
  DOUBLINGS_MAX = 4
};

/* Weight of the newest answer in the share of errors. */
static const double ERROR_RATE_WEIGHT = 0.08;

struct penalty
{
  uint32_t failures_to_suspend; /* 0: no fault */
  int64_t backoff_ms;
  int is_exponential; /* the pause, with each fault in a row */
};

static const struct penalty penalties[HEALTH_EVENT_COUNT] = {
  [HEALTH_REJECTED] = { 1, REJECTED_BACKOFF_MS, 0 },
  [HEALTH_CONNECT_FAILED] = { 1, CONNECT_BACKOFF_MS, 1 },
  [HEALTH_DISCONNECTED] = { DISCONNECTS_TO_SUSPEND, DISCONNECT_BACKOFF_MS, 1 },
  [HEALTH_TIMED_OUT] = { 1, TIMEOUT_BACKOFF_MS, 1 },
  [HEALTH_MISDIRECTED] = { 1, MISDIRECTED_BACKOFF_MS, 0 },
};

/* Takes EVENT of a call that ended at NOW into account.  */
void
health_record (struct health *health, enum health_event event, clk_ms now)
{
  const struct penalty *penalty = &penalties[event];
  int64_t backoff_ms = penalty->backoff_ms;
  uint32_t doublings;

  if (event == HEALTH_ANSWERED || event == HEALTH_ERROR)
    {
      health->error_rate
          += ERROR_RATE_WEIGHT
             * ((event == HEALTH_ERROR ? 1.0 : 0.0) - health->error_rate);
      health->consecutive_failures = 0;
      health->suspended_until_ms = 0;
      return;
    }
  health->consecutive_failures++;
  if (health->consecutive_failures < penalty->failures_to_suspend)
    return;
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

/* A request is sent to the target.  Returns whether it is a trial, which the
   end of the request is told with.  */
int
health_begin_request (struct health *health)
{
  if (health->suspended_until_ms == 0)
    return 0;
  health->trials_in_flight++;
  return 1;
}

/* A request that health_begin_request told IS_TRIAL of has ended.  */
void
health_end_request (struct health *health, int is_trial)
{
  if (is_trial && health->trials_in_flight > 0)
    health->trials_in_flight--;
}

/* Returns how far the target may be used at NOW.  */
enum health_state
health_get_state (const struct health *health, clk_ms now)
{
  if (health->suspended_until_ms == 0)
    return HEALTH_USABLE;
  if (now < health->suspended_until_ms)
    return HEALTH_SUSPENDED;
  return health->trials_in_flight > 0 ? HEALTH_SUSPENDED : HEALTH_TRIAL;
}
