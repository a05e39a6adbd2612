/* For how long the silence of a target is borne. */
#include <glib.h>

#include "ibisloom/timeout.h"

enum
{
  /* Shorter silences are common where a long prompt is read.  */
  READ_TIMEOUT_MIN_MS = 600,
  READ_TIMEOUT_MAX_MS = 1800,
  OBJECTIVE_FACTOR
  = 2, /* without a first byte: the objective is missed anyway */
  PAUSE_FACTOR = 3
};

/* Returns after how many milliseconds without a byte a request moves to
   another target, or 0 if it stays: it may not run twice, or has no other
   attempt left.  */
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
