/* Byte budget of the control traffic that one instance sends. */
#ifndef IBISLOOM_BUDGET_H
#define IBISLOOM_BUDGET_H

#include <stdint.h>

#include "ibisloom/clock.h"

/* Message classes.  Each leaves a reserve of the budget to more important
   ones. */
enum budget_class
{
  BUDGET_HEARTBEAT,
  BUDGET_ANSWER,    /* answers to admission requests, and releases */
  BUDGET_REQUEST,   /* admission requests */
  BUDGET_CONFIG,    /* configurations for peers */
  BUDGET_RECONCILE, /* reports of the grants in use */
  BUDGET_NOTE,      /* placement notes */
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
int budget_consume (struct byte_budget *byte_budget, enum budget_class class,
                    int64_t bytes, clk_ms now);

#endif
