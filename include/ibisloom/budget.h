/* Byte budget of the control traffic that one instance sends. */
#ifndef IBISLOOM_BUDGET_H
#define IBISLOOM_BUDGET_H

#include <stdint.h>

#include "ibisloom/clock.h"

/* Most useful first: each class may use the budget down to its own floor. */
enum budget_class
{
  BUDGET_HEARTBEAT,
  BUDGET_ANSWER, /* answers to asks, and ends of grants */
  BUDGET_ASK,
  BUDGET_CONFIG,
  BUDGET_REPAIR,
  BUDGET_NOTE,
  BUDGET_CLASS_COUNT
};

struct byte_budget
{
  int64_t rate_bytes_per_s;
  int64_t level_millibytes;
  clk_ms refilled_ms;
};

void budget_init (struct byte_budget *byte_budget, int64_t rate_bytes_per_s,
                  clk_ms now);
int budget_take (struct byte_budget *byte_budget, enum budget_class class,
                 int64_t bytes, clk_ms now);

#endif
