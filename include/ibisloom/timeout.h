/* For how long the silence of a target is borne. */
#ifndef IBISLOOM_TIMEOUT_H
#define IBISLOOM_TIMEOUT_H

#include <stdint.h>

#include "ibisloom/routes.h"

struct timeout_state
{
  enum rt_kind kind;
  int repeatable;
  int is_last_attempt; /* no other target may be tried */
  int64_t objective_ms;
  int64_t pause_ms;
  uint32_t events; /* passed on so far */
};

int64_t timeout_read_ms (const struct timeout_state *state);

#endif
