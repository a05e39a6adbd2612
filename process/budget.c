/* Byte budget of the control traffic that one instance sends. */
#include "ibisloom/budget.h"

enum
{
  MILLI = 1000,
  BURST_S = 2,
  PERCENT = 100
};

/* Part of a full bucket, in percent, that a class must leave to the classes
   before it. */
static const int64_t floor_percent[BUD_CLASS_COUNT] = {
  [BUD_HEARTBEAT] = 0, [BUD_ANSWER] = 5,  [BUD_ASK] = 25,
  [BUD_CONFIG] = 15,   [BUD_REPAIR] = 30, [BUD_NOTE] = 45,
};

/* Prepares BUD, full, for RATE_BYTES_PER_S.  */
void
bud_init (struct bud *bud, int64_t rate_bytes_per_s, clk_ms now)
{
  bud->rate_bytes_per_s = rate_bytes_per_s;
  bud->level_millibytes = rate_bytes_per_s * BURST_S * MILLI;
  bud->filled_ms = now;
}

/* Takes BYTES for a message of class USE at NOW.  Returns 0 if the message
   has to be dropped so that the rate, with a burst of two seconds, is kept. */
int
bud_take (struct bud *bud, enum bud_class use, int64_t bytes, clk_ms now)
{
  int64_t full = bud->rate_bytes_per_s * BURST_S * MILLI;
  int64_t floor = full / PERCENT * floor_percent[use];

  if (now > bud->filled_ms)
    {
      bud->level_millibytes += bud->rate_bytes_per_s * (now - bud->filled_ms);
      bud->filled_ms = now;
    }
  if (bud->level_millibytes > full)
    bud->level_millibytes = full;
  if (bud->level_millibytes - bytes * MILLI < floor)
    return 0;
  bud->level_millibytes -= bytes * MILLI;
  return 1;
}
