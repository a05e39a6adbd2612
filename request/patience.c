/* For how long the silence of a target is borne. */
#include <glib.h>

#include "ibisloom/patience.h"

enum
{
  /* Shorter silences are common where a long prompt is read.  */
  SILENCE_MIN_MS = 600,
  SILENCE_MAX_MS = 1800,
  OBJECTIVES = 2, /* without a first byte: the objective is missed anyway */
  PAUSES = 3
};

/* Returns after how many milliseconds without a byte a request moves to
   another target, or 0 if it stays: it may not run twice, or has no other
   attempt left.  */
int64_t
pat_silence_ms (const struct pat_state *state)
{
  int64_t ms = state->objective_ms * OBJECTIVES;

  if (!state->repeatable || state->is_last)
    return 0;
  if (state->kind == RT_STREAM && state->events > 0)
    ms = state->pause_ms * PAUSES;
  return CLAMP (ms, SILENCE_MIN_MS, SILENCE_MAX_MS);
}
