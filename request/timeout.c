/* Read timeout of requests to targets. */
#include <glib.h>

#include "ibisloom/timeout.h"

enum
{
  /* Targets often send nothing for up to this time while they process a long
     prompt.  */
  READ_TIMEOUT_MIN_MS = 600,
  READ_TIMEOUT_MAX_MS = 1800,
  OBJECTIVE_FACTOR = 2, /* by then, the objective is missed anyway */
  PAUSE_FACTOR = 3
};

/* Returns the time without a byte, in milliseconds, after which a request in
   STATE is sent to another target.  Returns 0 for no timeout, if the request
   may not run twice or has no further attempt.  */
int64_t
timeout_read_ms (const struct timeout_state *state)
{
  int64_t ms = state->objective_ms * OBJECTIVE_FACTOR;

  if (!state->repeatable || state->is_last_attempt)
    return 0;
  if (state->kind == RT_STREAM && state->events > 0)
    ms = state->pause_ms * PAUSE_FACTOR;
  return CLAMP (ms, READ_TIMEOUT_MIN_MS, READ_TIMEOUT_MAX_MS);
}
