/* Byte budget of the control traffic that one instance sends: a token bucket
   with a reserve for important messages. */
#include "ibisloom/budget.h"

enum
{
  MILLIBYTES_PER_BYTE = 1000,
  BURST_S = 2,
  PERCENT = 100
};

/* Share of a full bucket, in percent, that a class must leave to more
   important ones. */
static const int64_t reserve_percent[BUDGET_CLASS_COUNT] = {
  [BUDGET_HEARTBEAT] = 0, [BUDGET_ANSWER] = 5,     [BUDGET_REQUEST] = 25,
  [BUDGET_CONFIG] = 15,   [BUDGET_RECONCILE] = 30, [BUDGET_NOTE] = 45,
};

/* Initialises BYTE_BUDGET, with a full bucket, for RATE_BYTES_PER_S.  */
void
budget_init (struct byte_budget *byte_budget, int64_t rate_bytes_per_s,
             clk_ms now)
{
  byte_budget->rate_bytes_per_s = rate_bytes_per_s;
  byte_budget->level_millibytes
      = rate_bytes_per_s * BURST_S * MILLIBYTES_PER_BYTE;
  byte_budget->refilled_ms = now;
}

/* Takes BYTES for a message of CLASS at NOW.  Returns 1, or 0 if the message
   has to be dropped to keep the rate, with bursts of up to BURST_S. */
int
budget_consume (struct byte_budget *byte_budget, enum budget_class class,
                int64_t bytes, clk_ms now)
{
  int64_t capacity
      = byte_budget->rate_bytes_per_s * BURST_S * MILLIBYTES_PER_BYTE;
  int64_t reserve = capacity / PERCENT * reserve_percent[class];

  if (now > byte_budget->refilled_ms)
    {
      byte_budget->level_millibytes
          += byte_budget->rate_bytes_per_s * (now - byte_budget->refilled_ms);
      byte_budget->refilled_ms = now;
    }
  if (byte_budget->level_millibytes > capacity)
    byte_budget->level_millibytes = capacity;
  if (byte_budget->level_millibytes - bytes * MILLIBYTES_PER_BYTE < reserve)
    return 0;
  byte_budget->level_millibytes -= bytes * MILLIBYTES_PER_BYTE;
  return 1;
}
