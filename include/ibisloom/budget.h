/* Byte budget of the control traffic that one instance sends. */
#ifndef IBISLOOM_BUDGET_H
#define IBISLOOM_BUDGET_H

#include <stdint.h>

#include "ibisloom/clock.h"

/* Most useful first: each class may use the budget down to its own floor. */
enum bud_class
{
  BUD_HEARTBEAT,
  BUD_ANSWER, /* answers to asks, and ends of grants */
  BUD_ASK,
  BUD_CONFIG,
  BUD_REPAIR,
  BUD_NOTE,
  BUD_CLASS_COUNT
};

struct bud
{
  int64_t rate_bytes_per_s;
  int64_t level_millibytes;
  clk_ms filled_ms;
};

void bud_init (struct bud *bud, int64_t rate_bytes_per_s, clk_ms now);
int bud_take (struct bud *bud, enum bud_class use, int64_t bytes, clk_ms now);

#endif
