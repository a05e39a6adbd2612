/* Read timeout of requests to targets. */
#ifndef IBISLOOM_TIMEOUT_H
#define IBISLOOM_TIMEOUT_H

#include <stdint.h>

#include "ibisloom/routes.h"

/* State of a request that determines its read timeout. */
struct timeout_state
{
  enum rt_kind kind;
  int repeatable;       /* may run more than once */
  int is_last_attempt;  /* no further attempt is allowed */
  int64_t objective_ms; /* of the route, to the response or the first event */
  int64_t pause_ms;     /* of the route, between two events */
  uint32_t events;      /* relayed to the client so far */
};

int64_t timeout_read_ms (const struct timeout_state *state);

#endif
