/* For how long the silence of a target is borne. */
#ifndef IBISLOOM_PATIENCE_H
#define IBISLOOM_PATIENCE_H

#include <stdint.h>

#include "ibisloom/routes.h"

struct pat_state
{
  enum rt_kind kind;
  int repeatable;
  int is_last; /* no other target may be tried */
  int64_t objective_ms;
  int64_t pause_ms;
  uint32_t events; /* passed on so far */
};

int64_t pat_silence_ms (const struct pat_state *state);

#endif
